"""Timers of one thread: a heap ordered by due time on the planner's clock (Unix milliseconds)."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator


class Timer:
    """A callback to run at a given time.  Cancelling drops the callback at once, not only when due."""

    __slots__ = ("at_ms", "number", "fire")

    def __init__(self, at_ms: float, number: int, fire: Callable[[], None]) -> None:
        self.at_ms, self.number, self.fire = at_ms, number, fire

    def __lt__(self, other: Timer) -> bool:
        return (self.at_ms, self.number) < (other.at_ms, other.number)

    def cancel(self) -> None:
        """Drop the callback; the timer still leaves the heap at its due time."""
        self.fire = _do_nothing


def _do_nothing() -> None:
    """Callback of a cancelled timer."""


class Timers:
    """Pending timers, ordered by due time and then by creation."""

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    @property
    def next_ms(self) -> float:
        """Due time of the earliest timer; infinite if there is none."""
        return self._heap[0].at_ms if self._heap else math.inf

    def schedule(self, when_ms: float, fire: Callable[[], None]) -> Timer:
        """Schedule a callback."""
        self._last_number += 1
        timer = Timer(when_ms, self._last_number, fire)
        heapq.heappush(self._heap, timer)
        return timer

    def pop_due(self, now_ms: float) -> Iterator[Timer]:
        """Remove and yield the due timers, including those scheduled during the iteration."""
        while self.next_ms <= now_ms:
            yield heapq.heappop(self._heap)
