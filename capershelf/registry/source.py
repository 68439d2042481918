"""What every registry source is: something that tells ServerListUpdate until it is ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from capershelf.core.model import ServerListUpdate

Tell = Callable[[ServerListUpdate], None]


class Source(Protocol):
    def run(self) -> None:
        """Tell what is new, until ended; a failing registry is tried again, and the last list stays."""

    def withdraw(self) -> None:
        """This proxy takes no more calls; the list is still followed."""

    def move(self, address: str) -> None:
        """Follow the list at another address from here on; what is known stays."""

    def end(self) -> None: ...
