"""Links to booking servers: one multiplexed connection each, kept open for what comes unasked."""

from __future__ import annotations

import itertools
import math
import random
import socket
import threading
from collections import deque
from collections.abc import Callable

from loguru import logger

from capershelf.core import model as m
from capershelf.core.clock import Clock, Inbox
from capershelf.net import vocabulary
from capershelf.net.connection import Connection, connect, start_thread
from capershelf.net.framing import Framing, Lines, OverError
from capershelf.net.websocket import WebSocket

WS = "ws://"  # an endpoint that begins so is spoken to over WebSocket
# For the rest of a message that a server has begun.  Less than any release time: what is called off while the
# connection is dead and can't say so must not be sent again before its end has given it up at the server.
HALF_MS = 150.0
# Servers tell their state unasked.  Where that comes at even gaps, a connection on which nothing has come for
# somewhat more than one of them is of no further use, whatever is out on it.
PULSES, EVEN = 3, 1.25  # so many gaps, the longest no more than so many times the shortest
LATE_PULSE, LATE_MS = 1.4, 50.0  # gaps, and what may come on top
LATES = 4  # connections that miss it one after another: there is no pulse
BACK_OFF_MS = (50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)

EPOCHS = itertools.count(1)  # of all links: guards a server's new link from the end of its old one
Post = Callable[[m.Event], None]


class Link:
    """Connects, reads, and connects again after a growing pause, which ends at once when a call needs it."""

    def __init__(self, server: str, endpoint: str, clock: Clock, connect_ms: float, post: Post) -> None:
        self.server, self.endpoint = server, endpoint
        self._clock, self._connect_ms, self._post = clock, connect_ms, post
        self._wanted: Inbox[bool] = Inbox(clock)  # True: connect now; False: end
        self._lock = threading.Lock()
        self._connection: Connection | None = None
        self._epoch = 0
        self._ended = self._opened = self._woken = False
        self._heard_ms = self._pulse_ms = clock.now_ms()
        self._states = 0  # told on this connection
        self._lates = 0  # connections that fell silent, one after another
        self._gap_ms = math.inf
        self._pulses: deque[float] = deque(maxlen=PULSES)  # the last gaps between two states
        start_thread(self._run, f"link {server}")

    def wake(self) -> None:
        if not self._woken:  # one is enough: guards the queue while a server stays away
            self._woken = True
            self._wanted.put(True)

    def end(self) -> None:
        with self._lock:
            self._ended = True
            connection = self._connection
        self._wanted.put(False)
        if connection is not None:
            connection.close()

    def send(self, data: bytes, epoch: int | None = None) -> None:
        """Write on the connection of that number, or on the present one; one that is gone says so itself."""
        with self._lock:
            connection = self._connection if epoch is None or epoch == self._epoch else None
        if connection is not None:
            connection.post(data)

    def _run(self) -> None:
        failures = 0
        self._dropped = False
        self._spare: socket.socket | None = None  # connected in place of one that has fallen silent
        while not self._ended:
            try:
                sock, self._spare = self._spare or self._connect(), None
            except (OSError, ValueError) as problem:
                if failures == 0:
                    logger.info(
                        "server {server}: no connection: {problem}", event="link-refused",
                        server=self.server, problem=problem
                    )
                failures = self._failed(failures, isinstance(problem, ConnectionRefusedError))
                continue
            self._opened = False
            connection = Connection(
                sock, self._framing(), self._message, lambda: None, f"link {self.server}",
                self._clock, self._clock.now_ms() + self._connect_ms, self._open, self._due,
                on_late=self._late,
            )
            self._heard_ms, self._states = self._clock.now_ms(), 0
            with self._lock:
                self._epoch = next(EPOCHS)
                self._connection = connection
                if self._ended:
                    connection.close()
            connection.read()
            with self._lock:
                self._connection = None
            self._dropped = False
            if self._opened:
                failures = 0
                if connection.dropped and not self._ended:
                    logger.warning(
                        "server {server}: connection dropped: {reason}", event="link-dropped",
                        server=self.server, reason=connection.dropped
                    )
                    self._dropped = True
                self._post(m.LinkDown(self.server, self._epoch))
            else:  # connected, but no WebSocket came of it
                failures = self._failed(failures, False)
        if self._spare is not None:
            self._spare.close()

    def _framing(self) -> Framing:
        if self.endpoint.startswith(WS):
            host, slash, path = self.endpoint.removeprefix(WS).partition("/")
            return WebSocket(host, slash + path or "/")
        return Lines()

    def _open(self) -> None:
        self._opened = True
        self._post(m.LinkUp(self.server, self._epoch, self._dropped))

    def _due(self, half_ms: float) -> float:
        """When the connection is of no further use if nothing has come by then."""
        return min(self._heard_ms + LATE_PULSE * self._gap_ms + LATE_MS, half_ms + HALF_MS)

    def _pulse(self, now_ms: float) -> None:
        """A state came unasked.  The first of a connection comes with its opening, and tells no gap.

        What was learned holds for the next connections too: guards against one that dies young.
        """
        self._states += 1
        if self._states > 1:
            self._lates = 0
        if self._states > 2:
            self._pulses.append(now_ms - self._pulse_ms)
            if len(self._pulses) == PULSES and max(self._pulses) <= EVEN * min(self._pulses):
                self._gap_ms = max(self._pulses)
        self._pulse_ms = now_ms

    def _unlearn(self) -> None:
        self._pulses.clear()
        self._gap_ms = math.inf

    def _late(self) -> bool:
        """Nothing has come for too long: whether to go on waiting.

        A server that drains is silent too, and takes no new connection.  The old one is kept then, for what
        stands there: guards against calls cut in a drain.
        """
        try:
            self._spare = self._connect()
        except ConnectionRefusedError:
            self._unlearn()
            return True
        except OSError:
            pass
        self._lates += 1
        if self._lates >= LATES:  # it has no pulse any more, and is not to be replaced for that for ever
            self._unlearn()
        return False

    def _connect(self) -> socket.socket:
        address = self.endpoint.removeprefix(WS).partition("/")[0]
        return connect(address, self._clock, self._clock.now_ms() + self._connect_ms)

    def _failed(self, failures: int, refused: bool) -> int:
        """Tell that no connection came up, and pause; the number of failures so far."""
        self._dropped = False
        self._post(m.LinkDown(self.server, None, refused))
        pause_ms = BACK_OFF_MS[min(failures, len(BACK_OFF_MS) - 1)] * random.uniform(0.8, 1.2)
        self._pause(self._clock.now_ms() + pause_ms)
        return failures + 1

    def _pause(self, until_ms: float) -> None:
        while self._clock.now_ms() < until_ms and not self._ended:
            if self._wanted.take(until_ms) is not None:
                self._woken = False
                return

    def _message(self, line: bytes) -> None:
        self._heard_ms = now_ms = self._clock.now_ms()
        try:
            event = vocabulary.server_event(self.server, vocabulary.decode(line))
        except vocabulary.UnreadableError as problem:
            # What follows on this connection can't be trusted either: its calls get their ends by the reset.
            raise OverError(f"a message that can't be read: {problem}", foul=True) from problem
        if isinstance(event, m.ServerTold) and not event.token:
            self._pulse(now_ms)
        if event is not None:
            self._post(event)


class Links:
    """All links of one planner; answers and releases are posted to whoever has the call."""

    def __init__(self, clock: Clock, connect_ms: float, post: Post) -> None:
        self._clock, self._connect_ms, self._post = clock, connect_ms, post
        self._links: dict[str, Link] = {}

    def open(self, server: str, endpoint: str) -> None:
        self.close(server)
        self._links[server] = Link(server, endpoint, self._clock, self._connect_ms, self._post)

    def close(self, server: str) -> None:
        if (link := self._links.pop(server, None)) is not None:
            link.end()

    def wake(self, server: str) -> None:
        if (link := self._links.get(server)) is not None:
            link.wake()

    def set_up(self, server: str, epoch: int, request: m.SetUp, left_ms: float) -> None:
        if (link := self._links.get(server)) is not None:
            link.send(vocabulary.set_up_bytes(request, left_ms), epoch)

    def release(self, server: str, call_id: str, cause: int) -> None:
        if (link := self._links.get(server)) is not None:
            link.send(vocabulary.encode("release", call_id, cause))

    def probe(self, server: str, epoch: int, token: str) -> None:
        if (link := self._links.get(server)) is not None:
            link.send(vocabulary.encode("ping", token, 1), epoch)
