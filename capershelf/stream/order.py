"""Chooses the control service to try next, and when.  No I/O; jitter comes from a seeded generator.

A service that answers is kept.  After a failure the next one in the list is tried at once.  When all have
failed, exponential backoff with jitter and a cap keeps a fleet from reconnecting to recovering services all
at the same time.
"""

from __future__ import annotations

import random

INITIAL_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 30_000.0


class ServiceFailover:
    """Failover through the list of services, in the operator's order of preference, with backoff."""

    def __init__(self, services: tuple[str, ...], seed: int) -> None:
        self._services = services
        self._random = random.Random(seed)
        self._index = 0
        self._failures = 0

    def next(self, now_ms: float) -> tuple[str, float]:
        """The service to connect to and the earliest time to do so."""
        rounds = self._failures // len(self._services)
        if self._failures % len(self._services) or not rounds:
            return self._services[self._index], now_ms
        backoff_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** min(rounds - 1, 20))
        return self._services[self._index], now_ms + backoff_ms * self._random.uniform(0.5, 1.0)

    def record_success(self) -> None:
        """Record that the service works: resets the backoff."""
        self._failures = 0

    def record_failure(self) -> None:
        """Record a failed or ended connection: moves on to the next service."""
        self._failures += 1
        self._index = (self._index + 1) % len(self._services)
