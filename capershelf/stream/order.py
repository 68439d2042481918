"""Which control service is tried next, and when.  Pure; chance from a seeded generator.

The one that answers is kept.  One that fails is followed by the next in the list at once; after all have
failed the pauses double with jitter, up to a cap, so that a fleet whose services come back does not fall
on them at once.
"""

from __future__ import annotations

import random

FIRST_MS = 250.0
MOST_MS = 30_000.0


class Order:
    """The list of services, from the operator's first choice on."""

    def __init__(self, services: tuple[str, ...], seed: int) -> None:
        self._services = services
        self._random = random.Random(seed)
        self._at = 0
        self._failures = 0

    def next(self, now_ms: float) -> tuple[str, float]:
        """The service to connect to, and no sooner than when."""
        rounds = self._failures // len(self._services)
        if self._failures % len(self._services) or not rounds:
            return self._services[self._at], now_ms
        most_ms = min(MOST_MS, FIRST_MS * 2.0 ** min(rounds - 1, 20))
        return self._services[self._at], now_ms + most_ms * self._random.uniform(0.5, 1.0)

    def served(self) -> None:
        """It has said something of use."""
        self._failures = 0

    def failed(self) -> None:
        """No connection, or it ended."""
        self._failures += 1
        self._at = (self._at + 1) % len(self._services)
