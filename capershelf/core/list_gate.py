"""Holds set-ups back for a moment where the list of booking servers may have told more than is known here."""

from __future__ import annotations

import math
from collections.abc import Callable

from capershelf.core.clock import Clock
from capershelf.core.timers import Timer

# Where this process stood still, what the list has told meanwhile is awaited for so long before anything
# goes out,
LIST_MS = 300.0
LOOK_MS = 5.0  # looked for so often,
PASSES_MS = 1000.0  # and where it does not come, not again before this.


class ListGate:
    """Guards the drain rule where this process stood still: that a server drains may lie unread.

    fresh tells whether what the list has told has come here, has_news whether some of it is not dealt with.
    Once both hold, or the list stays away, release is called: a list that stays away stops no call.
    """

    def __init__(
        self,
        clock: Clock,
        at: Callable[[float, Callable[[], None]], Timer],
        has_news: Callable[[], bool],
        release: Callable[[float], None],
    ) -> None:
        self.fresh: Callable[[], bool] = lambda: True
        self._clock, self._at, self._has_news, self._release = clock, at, has_news, release
        self._passes_ms = -math.inf  # until then set-ups go out though the list is not fresh
        self._waits = False

    def holds(self) -> bool:
        """Whether a set-up must wait; it is released later."""
        # In this order: what has made the list fresh has come here before.
        stale = not self.fresh() and self._clock.now_ms() >= self._passes_ms
        if not (stale or self._has_news()):
            return False
        if not self._waits:
            self._waits = True
            now_ms = self._clock.now_ms()
            self._look_later(now_ms, now_ms + LIST_MS)
        return True

    def _look_later(self, now_ms: float, until_ms: float) -> None:
        self._at(now_ms + LOOK_MS, lambda: self._look(until_ms))

    def _look(self, until_ms: float) -> None:
        now_ms = self._clock.now_ms()
        fresh = self.fresh()
        # A ServerListUpdate goes first, always: guards against a round without end between here and holds().
        if self._has_news() or not fresh and now_ms < until_ms:
            self._look_later(now_ms, until_ms)
            return
        if not fresh:
            self._passes_ms = now_ms + PASSES_MS
        self._waits = False
        self._release(now_ms)
