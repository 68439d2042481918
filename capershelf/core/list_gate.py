"""Briefly holds set-ups while the server list may contain changes that are not known here yet."""

from __future__ import annotations

import math
from collections.abc import Callable

from capershelf.core.clock import Clock
from capershelf.core.timers import Timer

# How long set-ups wait for an up-to-date list.
MAX_WAIT_MS = 300.0
# Interval between checks while set-ups wait.
CHECK_INTERVAL_MS = 5.0
# After a wait without success, set-ups are not held for a stale list for this long.
BYPASS_MS = 1000.0


class ListGate:
    """Keeps set-ups from draining servers after a pause of the process, when list updates may be unread.

    is_fresh returns whether the list is up to date, has_pending_updates whether updates are still unhandled.
    on_open is called once the list is fresh and fully handled, or the wait has timed out: an unavailable
    list must not stop calls.
    """

    def __init__(
        self,
        clock: Clock,
        schedule: Callable[[float, Callable[[], None]], Timer],
        has_pending_updates: Callable[[], bool],
        on_open: Callable[[float], None],
    ) -> None:
        self.is_fresh: Callable[[], bool] = lambda: True
        self._clock, self._schedule, self._has_pending_updates, self._on_open = (
            clock,
            schedule,
            has_pending_updates,
            on_open,
        )
        self._bypass_until_ms = -math.inf  # until then, a stale list holds no set-ups
        self._is_waiting = False

    def must_wait(self) -> bool:
        """Whether a set-up must wait now; if so, on_open is called later."""
        # In this order: the updates that made the list fresh were submitted before it became fresh.
        stale = not self.is_fresh() and self._clock.now_ms() >= self._bypass_until_ms
        if not (stale or self._has_pending_updates()):
            return False
        if not self._is_waiting:
            self._is_waiting = True
            now_ms = self._clock.now_ms()
            self._schedule_check(now_ms, now_ms + MAX_WAIT_MS)
        return True

    def _schedule_check(self, now_ms: float, until_ms: float) -> None:
        self._schedule(now_ms + CHECK_INTERVAL_MS, lambda: self._check(until_ms))

    def _check(self, until_ms: float) -> None:
        now_ms = self._clock.now_ms()
        fresh = self.is_fresh()
        # Pending updates always come first, or on_open and must_wait() could call each other in a loop.
        if self._has_pending_updates() or not fresh and now_ms < until_ms:
            self._schedule_check(now_ms, until_ms)
            return
        if not fresh:
            self._bypass_until_ms = now_ms + BYPASS_MS
        self._is_waiting = False
        self._on_open(now_ms)
