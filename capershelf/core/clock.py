"""The clock, and the queue that waits by it.

Times are Unix milliseconds.  A deadline is a time on this clock; nothing in this program hands a time-out on.
"""

from __future__ import annotations

import math
import queue
import time
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

T = TypeVar("T")

BACKLOG_MS = 200.0  # what came while this process stood still has been read so long after it goes on


@dataclass(frozen=True, slots=True)
class Standstill:
    """A time in which no thread of this process ran: it was stopped, or had no processor."""

    since_ms: float
    until_ms: float

    def unread_ms(self, now_ms: float) -> float:
        """How long what is read now may have lain unread at the most; 0 once the backlog is read."""
        return now_ms - self.since_ms if now_ms - self.until_ms <= BACKLOG_MS else 0.0


class Sleeper(Protocol):
    """What waits by a clock."""

    def wake(self) -> None:
        """Look at the clock again."""


class Clock(Protocol):
    """What tells the time and waits by it."""

    standstill: Standstill | None  # the last that was found

    def now_ms(self) -> float: ...

    def watch(self, sleeper: Sleeper) -> None:
        """Have it woken whenever this clock is moved by hand."""

    def find_standstills(self, longest_gap_ms: float) -> None:
        """Some thread reads this clock at least so often: a longer gap is a standstill of the process."""

    def seconds_until(self, deadline_ms: float) -> float | None:
        """Real seconds to sleep for, None to sleep until woken."""


class SystemClock:
    """The machine's Unix clock, held where it is when the machine's is set back."""

    def __init__(self) -> None:
        self._last_ms = 0.0
        self._longest_gap_ms = math.inf
        self.standstill: Standstill | None = None

    def now_ms(self) -> float:
        # Without a lock, for it is read several times a message: threads that cross here can only leave a
        # mark that is some microseconds old.
        now_ms = time.time() * 1000.0
        if now_ms < self._last_ms:
            return self._last_ms
        if now_ms - self._last_ms > self._longest_gap_ms:
            self.standstill = Standstill(self._last_ms, now_ms)
        self._last_ms = now_ms
        return now_ms

    def find_standstills(self, longest_gap_ms: float) -> None:
        self.now_ms()  # the first gap begins here
        self._longest_gap_ms = longest_gap_ms

    def watch(self, sleeper: Sleeper) -> None:
        """Nobody moves this clock by hand."""

    def seconds_until(self, deadline_ms: float) -> float | None:
        if deadline_ms == math.inf:
            return None
        return min(3600.0, max(0.0, (deadline_ms - self.now_ms()) / 1000.0))


class ManualClock:
    """A clock that stands still until it is advanced."""

    def __init__(self, now_ms: float = 1_000_000.0) -> None:
        self._now_ms = now_ms
        self._watchers: list[Sleeper] = []
        self.standstill: Standstill | None = None

    def now_ms(self) -> float:
        return self._now_ms

    def watch(self, sleeper: Sleeper) -> None:
        self._watchers.append(sleeper)

    def find_standstills(self, longest_gap_ms: float) -> None:
        """This clock stands still by itself: who moves it says so."""

    def seconds_until(self, deadline_ms: float) -> float | None:
        return 0.0 if deadline_ms <= self._now_ms else None

    def advance(self, by_ms: float) -> None:
        self._now_ms += by_ms
        for sleeper in self._watchers:
            sleeper.wake()


class Inbox(Generic[T]):
    """The one way into a thread that owns something: any thread puts, the owner takes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue: queue.SimpleQueue[T | None] = queue.SimpleQueue()
        clock.watch(self)

    def put(self, item: T) -> None:
        self._queue.put(item)

    def empty(self) -> bool:
        return self._queue.empty()

    def wake(self) -> None:
        self._queue.put(None)

    def take(self, deadline_ms: float) -> T | None:
        """The next item; None at the deadline, or when woken to look at the clock again."""
        seconds = self._clock.seconds_until(deadline_ms)
        try:
            return self._queue.get(timeout=seconds) if seconds != 0.0 else self._queue.get_nowait()
        except queue.Empty:
            return None
