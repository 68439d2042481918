"""What one thread has to do at given times: a heap of timers on the planner's clock (Unix milliseconds)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator


class Timer:
    """Something to do at a time.  A cancelled timer lets go of its callback at once, not only when due."""

    __slots__ = ("at_ms", "number", "fire")

    def __init__(self, at_ms: float, number: int, fire: Callable[[], None]) -> None:
        self.at_ms, self.number, self.fire = at_ms, number, fire

    def __lt__(self, other: Timer) -> bool:
        return (self.at_ms, self.number) < (other.at_ms, other.number)

    def cancel(self) -> None:
        self.fire = _do_nothing


def _do_nothing() -> None:
    """What a cancelled timer does."""


class Timers:
    """Timers in the order of their times, those of one time in the order of asking."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._last = 0

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_ms(self) -> float:
        """When the earliest is due; infinite without any."""
        return self._heap[0].at_ms if self._heap else math.inf

    def at(self, when_ms: float, fire: Callable[[], None]) -> Timer:
        """Have this done then."""
        self._last += 1
        timer = Timer(when_ms, self._last, fire)
        heapq.heappush(self._heap, timer)
        return timer

    def due(self, now_ms: float) -> Iterator[Timer]:
        """Take out what is due, also what comes to be due meanwhile."""
        while self.next_ms <= now_ms:
            yield heapq.heappop(self._heap)
