"""An event loop: one thread that polls many sockets and runs callbacks and timers.

A thread per booking server does not scale to a fleet: 230 processes with 300 servers each would need 69,000
threads, where a machine has 32,768 thread ids (docs/design.md has the figures).  The sockets stay blocking;
only reading is shared by one thread.
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

WAKE_READ_BYTES = 4096  # read from the wake-up pipe at once; their content means nothing


class Poller:
    """Runs all callbacks on one thread; only call_soon(), wake() and end() may be called from others."""

    def __init__(self, clock: Clock, name: str) -> None:
        self.name = name
        self._clock = clock
        self._poll = select.poll()
        self._handlers: dict[int, Callable[[int], None]] = {}
        self._pending: deque[Callable[[], None]] = deque()
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._ended = False
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        os.set_blocking(self._writer, False)
        self._poll.register(self._reader, select.POLLIN)
        clock.add_waiter(self)

    # -- for any thread -------------------------------------------------------------------------------
    def call_soon(self, callback: Callable[[], None]) -> None:
        """Run the callback on the poller's thread."""
        self._pending.append(callback)
        self.wake()

    def wake(self) -> None:
        """Interrupt the wait, as when the clock has been advanced."""
        with contextlib.suppress(BlockingIOError):  # the pipe is full: a wake-up is pending already
            os.write(self._writer, b"\0")

    def end(self) -> None:
        """Stop run() after its current step."""
        self._ended = True
        self.wake()

    # -- for this thread ------------------------------------------------------------------------------
    def register(self, sock: socket.socket, mask: int, handler: Callable[[int], None]) -> None:
        """Call the handler with the poll events whenever the socket is ready."""
        self._handlers[sock.fileno()] = handler
        self._poll.register(sock, mask)

    def unregister(self, sock: socket.socket) -> None:
        """Stop polling a socket; to be called before it is closed, as its descriptor may be reused."""
        if self._handlers.pop(sock.fileno(), None) is not None:
            self._poll.unregister(sock)

    def call_at(self, when_ms: float, callback: Callable[[], None]) -> None:
        """Run the callback at that time."""
        heapq.heappush(self._timers, (when_ms, next(self._sequence), callback))

    def run(self) -> None:
        """Run the loop until end() is called."""
        while not self._ended:
            self.step()

    def step(self) -> None:
        """Wait for a socket, a wake-up or a timer, and run what is ready.

        Sockets are read before timers run, so that a peer whose data arrived in time is not timed out because
        this thread was late.
        """
        wait_s = self._clock.seconds_until(self._timers[0][0] if self._timers else math.inf)
        wait_ms = None if wait_s is None else 0 if self._pending else math.ceil(wait_s * 1000.0)
        for number, events in self._poll.poll(wait_ms):
            if number == self._reader:
                with contextlib.suppress(BlockingIOError):
                    os.read(self._reader, WAKE_READ_BYTES)
            elif (handler := self._handlers.get(number)) is not None:  # else unregistered since
                self._run_logged(lambda handler=handler, events=events: handler(events))  # type: ignore[misc]
        while self._pending:
            self._run_logged(self._pending.popleft())
        now_ms = self._clock.now_ms()
        while self._timers and self._timers[0][0] <= now_ms:
            self._run_logged(heapq.heappop(self._timers)[2])

    def _run_logged(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:  # an error on one socket must not affect the others
            logger.exception("{thread}: a callback failed", event="poller-fault", thread=self.name)
