"""Virtual time: what happens next is the earliest thing asked for, in the order of asking."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol


class Time(Protocol):
    """What the lab's booking servers go by: an Engine, or a real clock."""

    @property
    def now_ms(self) -> float: ...

    def after(self, delay_ms: float, what: Callable[..., None], *args: Any) -> None: ...


class Engine:
    """A clock in milliseconds that jumps from one thing to the next."""

    def __init__(self, now_ms: float) -> None:
        self.now_ms = now_ms
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, at_ms: float, what: Callable[..., None], *args: Any) -> None:
        self._count += 1
        heapq.heappush(self._due, (max(at_ms, self.now_ms), self._count, what, args))

    def after(self, delay_ms: float, what: Callable[..., None], *args: Any) -> None:
        self.at(self.now_ms + delay_ms, what, *args)

    def run(self, until_ms: float) -> None:
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, what, args = heapq.heappop(self._due)
            what(*args)
        self.now_ms = until_ms
