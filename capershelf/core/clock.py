"""The clock, and the queue that waits with it.

Times are Unix milliseconds.  A deadline is an absolute time on this clock; the program passes deadlines on
rather than time-outs.
"""

from __future__ import annotations

import contextlib
import math
import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

T = TypeVar("T")

# Time after a pause of the process in which input that arrived during it may still be unread.
PAUSE_BACKLOG_MS = 200.0


@dataclass(frozen=True, slots=True)
class ProcessPause:
    """A period in which no thread of this process ran, because it was stopped or got no processor time."""

    start_ms: float
    end_ms: float

    def max_unread_ms(self, now_ms: float) -> float:
        """Upper bound on how long input read now has been waiting; 0 once the backlog has been read."""
        return now_ms - self.start_ms if now_ms - self.end_ms <= PAUSE_BACKLOG_MS else 0.0


class Waiter(Protocol):
    """Waits for a time on a clock."""

    def wake(self) -> None:
        """Wake up to read the clock again."""


class Clock(Protocol):
    """Source of the current time and of the real time to sleep until a deadline."""

    last_pause: ProcessPause | None  # the latest detected

    def now_ms(self) -> float: ...

    def add_waiter(self, waiter: Waiter) -> None:
        """Register a waiter to be woken whenever this clock is advanced manually."""

    def detect_pauses(self, max_read_gap_ms: float) -> None:
        """Treat a longer gap between reads of this clock as a pause; some thread must read it more often."""

    def seconds_until(self, deadline_ms: float) -> float | None:
        """Real seconds to sleep for; None to sleep until woken."""


class SystemClock:
    """The system's Unix clock; it stays at its last value while the system clock is behind that."""

    def __init__(self) -> None:
        self._last_ms = 0.0
        self._max_read_gap_ms = math.inf
        self.last_pause: ProcessPause | None = None

    def now_ms(self) -> float:
        """The current time; it does not go back when the system clock is set back."""
        # No lock, as this runs several times per message: a race between threads can only leave _last_ms
        # some microseconds behind.
        now_ms = time.time() * 1000.0
        if now_ms < self._last_ms:
            return self._last_ms
        if now_ms - self._last_ms > self._max_read_gap_ms:
            self.last_pause = ProcessPause(self._last_ms, now_ms)
        self._last_ms = now_ms
        return now_ms

    def detect_pauses(self, max_read_gap_ms: float) -> None:
        """Start detecting pauses from now on."""
        self.now_ms()  # the first gap begins here
        self._max_read_gap_ms = max_read_gap_ms

    def add_waiter(self, waiter: Waiter) -> None:
        """No effect: this clock is never advanced manually."""

    def seconds_until(self, deadline_ms: float) -> float | None:
        """Seconds until the deadline, at most an hour; None if there is no deadline."""
        if deadline_ms == math.inf:
            return None
        return min(3600.0, max(0.0, (deadline_ms - self.now_ms()) / 1000.0))


class ManualClock:
    """A clock that only moves when it is advanced; for tests."""

    def __init__(self, now_ms: float = 1_000_000.0) -> None:
        self._now_ms = now_ms
        self._waiters: list[Waiter] = []
        self.last_pause: ProcessPause | None = None

    def now_ms(self) -> float:
        """The time that the clock was last advanced to."""
        return self._now_ms

    def add_waiter(self, waiter: Waiter) -> None:
        """Register a waiter that advance() wakes."""
        self._waiters.append(waiter)

    def detect_pauses(self, max_read_gap_ms: float) -> None:
        """No effect: a test that simulates a pause sets last_pause."""

    def seconds_until(self, deadline_ms: float) -> float | None:
        """0 if the deadline has passed, else None: only advance() can bring it closer."""
        return 0.0 if deadline_ms <= self._now_ms else None

    def advance(self, by_ms: float) -> None:
        """Move the clock forward and wake all waiters."""
        self._now_ms += by_ms
        for waiter in self._waiters:
            waiter.wake()


class Inbox(Generic[T]):
    """Event queue of a thread: any thread may put, only the owner takes.

    Not a queue.SimpleQueue: its get() waits for ever if a signal interrupts it and its timeout has passed
    by then, as after a pause of the process.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._items: deque[T | None] = deque()
        self._not_empty = threading.Lock()  # released by put(); may be free though all items are taken
        self._not_empty.acquire()
        clock.add_waiter(self)

    def put(self, item: T) -> None:
        """Add an item.  Thread-safe."""
        self._append(item)

    def empty(self) -> bool:
        """Whether no item is queued."""
        return not self._items

    def wake(self) -> None:
        """Make take() return without an item.  Thread-safe."""
        self._append(None)

    def _append(self, item: T | None) -> None:
        self._items.append(item)
        if self._not_empty.locked():
            with contextlib.suppress(RuntimeError):  # released by another thread in the meantime
                self._not_empty.release()

    def take(self, deadline_ms: float) -> T | None:
        """Wait for the next item; None at the deadline, or when woken to read the clock again."""
        while not self._items:
            seconds = self._clock.seconds_until(deadline_ms)
            if seconds == 0.0:
                return None
            self._not_empty.acquire(timeout=-1.0 if seconds is None else seconds)
        return self._items.popleft()
