"""Bounds how long calls stay established at a booking server that gives no sign of life.

The heartbeat check of a link depends on what the link has learned of its server.  This check does not: it
covers servers without a known heartbeat, servers that hang while connections to them succeed or load reports
go on, and servers that refuse connections while the open one is silent.  Owned by the planner's thread.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from capershelf.core.clock import Clock
from capershelf.core.timers import Timer

# Callers must be told of the end of a call within 8 s, and a call may end as soon as its server falls silent.
TEST_AFTER_MS = 4500.0  # of silence; a server that drains may send nothing for that long
TEST_TIMEOUT_MS = 1500.0  # also the time to read what arrived while this process was paused


class WatchedServers(Protocol):
    """What the watch needs to know and to do; implemented by the planner."""

    def has_established(self, server: str) -> bool:
        """Whether calls are established at the server."""

    def last_sign_of_life_ms(self, server: str) -> float:
        """When the server last showed that it handles calls."""

    def request_sign_of_life(self, server: str) -> None:
        """Make the server send something, if it can."""

    def interrupt_silent(self, server: str) -> None:
        """End the calls established at the server."""


@dataclass(slots=True)
class Watch:
    """The state of the watch over one server."""

    timer: Timer
    tested_ms: float = -math.inf  # when it was last tested


class SilenceWatch:
    """Tests servers that have been silent with calls established there, and gives up those that stay so."""

    def __init__(
        self,
        clock: Clock,
        schedule: Callable[[float, Callable[[], None]], Timer],
        servers: WatchedServers,
    ) -> None:
        self._clock, self._schedule, self._servers = clock, schedule, servers
        self._watches: dict[str, Watch] = {}

    def watch(self, server: str) -> None:
        """Watch the server for as long as calls are established there."""
        if server not in self._watches:
            self._watches[server] = Watch(self._schedule_check(server, self._clock.now_ms() + TEST_AFTER_MS))

    def check(self, server: str) -> None:
        """Check a watched server now, as its last sign of life may count for less than it did."""
        if (watch := self._watches.get(server)) is not None:
            watch.timer.cancel()
            self._check(server)

    def _schedule_check(self, server: str, when_ms: float) -> Timer:
        return self._schedule(when_ms, lambda: self._check(server))

    def _check(self, server: str) -> None:
        if not self._servers.has_established(server):
            del self._watches[server]
            return
        watch = self._watches[server]
        now_ms, alive_ms = self._clock.now_ms(), self._servers.last_sign_of_life_ms(server)
        if now_ms < alive_ms + TEST_AFTER_MS:
            next_ms = alive_ms + TEST_AFTER_MS
        elif watch.tested_ms <= alive_ms:
            watch.tested_ms = now_ms
            self._servers.request_sign_of_life(server)
            next_ms = now_ms + TEST_TIMEOUT_MS
        elif now_ms < watch.tested_ms + TEST_TIMEOUT_MS:
            next_ms = watch.tested_ms + TEST_TIMEOUT_MS
        else:
            del self._watches[server]
            self._servers.interrupt_silent(server)
            return
        watch.timer = self._schedule_check(server, next_ms)
