"""The interface of a registry client, which publishes ServerListUpdate until it is stopped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from capershelf.core.model import ServerListUpdate

PublishUpdate = Callable[[ServerListUpdate], None]


class Source(Protocol):
    """A registry client that runs on a thread of its own."""

    def run(self) -> None:
        """Publish updates until stopped; a failing registry is retried and the last list stays in use."""

    def deregister(self) -> None:
        """Remove this proxy's own registration; the list is still followed."""

    def move(self, address: str) -> None:
        """Follow the list at another address from now on; the known servers are kept."""

    def stop(self) -> None:
        """Make `run` return."""
