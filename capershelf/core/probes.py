"""Pending probes of booking servers, by token."""

from __future__ import annotations

import itertools


class Probes:
    """Assigns each probe a token of 16 hex digits; its answer or its time-out ends it, whichever is first."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._pending: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def begin(self, server: str) -> str:
        """Register a probe of this server and return its token."""
        token = f"{next(self._numbers):016x}"
        self._pending[token] = server
        return token

    def end(self, token: str) -> str | None:
        """End a probe and return its server; None if it has ended already or is unknown."""
        return self._pending.pop(token, None)
