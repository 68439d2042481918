"""Probes of booking servers that wait for their answer, by the tokens that they carry."""

from __future__ import annotations

import itertools


class Probes:
    """Gives each probe a token of 16 hex digits; the answer, or its time-out, ends it once."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._waiting: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def begin(self, server: str) -> str:
        """The token of a new probe of this server."""
        token = f"{next(self._numbers):016x}"
        self._waiting[token] = server
        return token

    def end(self, token: str) -> str | None:
        """The server that was probed; None where the probe is over or was none of ours."""
        return self._waiting.pop(token, None)
