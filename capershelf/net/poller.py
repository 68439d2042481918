"""One thread that waits for many sockets, does what is put to it, and keeps their times.

A thread for each booking server was the house's choice, and it does not hold for a fleet: 230 processes with
300 servers each are 69,000 threads, where a machine has 32,768 ids for them (docs/design.md has the figures).
The sockets stay blocking; only their reading is one thread's for all.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import math
import os
import select
import socket
from collections import deque
from collections.abc import Callable

from loguru import logger

from capershelf.core.clock import Clock

WAKE_BYTES = 4096  # of the pipe, read at once: each is only a knock


class Poller:
    """Whatever is handed in here runs on this thread; only do(), wake() and end() are for others."""

    def __init__(self, clock: Clock, name: str) -> None:
        self.name = name
        self._clock = clock
        self._poll = select.poll()
        self._came: dict[int, Callable[[int], None]] = {}
        self._todo: deque[Callable[[], None]] = deque()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._ended = False
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(self._writer, False)
        self._poll.register(self._reader, select.POLLIN)
        clock.add_waiter(self)

    # -- for any thread -------------------------------------------------------------------------------
    def do(self, what: Callable[[], None]) -> None:
        self._todo.append(what)
        self.wake()

    def wake(self) -> None:
        with contextlib.suppress(BlockingIOError):  # full: it is awake already
            os.write(self._writer, b"\0")

    def end(self) -> None:
        self._ended = True
        self.wake()

    # -- for this thread ------------------------------------------------------------------------------
    def watch(self, sock: socket.socket, mask: int, came: Callable[[int], None]) -> None:
        self._came[sock.fileno()] = came
        self._poll.register(sock, mask)

    def forget(self, sock: socket.socket) -> None:
        """Before the socket is closed: its number may be another's next."""
        if self._came.pop(sock.fileno(), None) is not None:
            self._poll.unregister(sock)

    def at(self, at_ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (at_ms, next(self._count), what))

    def run(self) -> None:
        while not self._ended:
            self.step()

    def step(self) -> None:
        """Wait for the next socket, knock or time.

        What has come is read before the times are looked at: guards a peer that spoke in time from a thread
        that was late to listen.
        """
        left = self._clock.seconds_until(self._timers[0][0] if self._timers else math.inf)
        wait_ms = None if left is None else 0 if self._todo else math.ceil(left * 1000.0)
        for number, what in self._poll.poll(wait_ms):
            if number == self._reader:
                with contextlib.suppress(BlockingIOError):
                    os.read(self._reader, WAKE_BYTES)
            elif (came := self._came.get(number)) is not None:  # else forgotten since
                self._guarded(lambda came=came, what=what: came(what))  # type: ignore[misc]
        while self._todo:
            self._guarded(self._todo.popleft())
        now_ms = self._clock.now_ms()
        while self._timers and self._timers[0][0] <= now_ms:
            self._guarded(heapq.heappop(self._timers)[2])

    def _guarded(self, what: Callable[[], None]) -> None:
        try:
            what()
        except Exception:  # a fault over one socket must not reach the others
            logger.exception(
                "{thread}: something could not be dealt with", event="poller-fault", thread=self.name
            )
