"""Links to booking servers: one multiplexed connection each, kept open for what comes unasked."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from loguru import logger

from capershelf.core import model as m
from capershelf.core.clock import Clock, Inbox
from capershelf.net import vocabulary
from capershelf.net.connection import Connection, connect, start_thread
from capershelf.net.framing import Framing, Lines
from capershelf.net.websocket import WebSocket

WS = "ws://"  # an endpoint that begins so is spoken to over WebSocket
BACK_OFF_MS = (50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)

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
        self._ended = self._opened = False
        start_thread(self._run, f"link {server}")

    def wake(self) -> None:
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
        while not self._ended:
            try:
                address = self.endpoint.removeprefix(WS).partition("/")[0]
                sock = connect(address, self._clock, self._clock.now_ms() + self._connect_ms)
            except (OSError, ValueError) as problem:
                if failures == 0:
                    logger.info("server {}: no connection: {}", self.server, problem)
                failures = self._failed(failures, isinstance(problem, ConnectionRefusedError))
                continue
            self._opened = False
            connection = Connection(
                sock, self._framing(), self._message, lambda: None, f"link {self.server}",
                self._clock, self._clock.now_ms() + self._connect_ms, self._open,
            )
            with self._lock:
                self._epoch += 1
                self._connection = connection
                if self._ended:
                    connection.close()
            connection.read()
            with self._lock:
                self._connection = None
            if self._opened:
                failures = 0
                self._post(m.LinkDown(self.server, self._epoch))
            else:  # connected, but no WebSocket came of it
                failures = self._failed(failures, False)

    def _framing(self) -> Framing:
        if self.endpoint.startswith(WS):
            host, slash, path = self.endpoint.removeprefix(WS).partition("/")
            return WebSocket(host, slash + path or "/")
        return Lines()

    def _open(self) -> None:
        self._opened = True
        self._post(m.LinkUp(self.server, self._epoch))

    def _failed(self, failures: int, refused: bool) -> int:
        """Tell that no connection came up, and pause; the number of failures so far."""
        self._post(m.LinkDown(self.server, None, refused))
        pause_ms = BACK_OFF_MS[min(failures, len(BACK_OFF_MS) - 1)] * random.uniform(0.8, 1.2)
        self._pause(self._clock.now_ms() + pause_ms)
        return failures + 1

    def _pause(self, until_ms: float) -> None:
        while self._clock.now_ms() < until_ms and not self._ended:
            if self._wanted.take(until_ms) is not None:
                return

    def _message(self, line: bytes) -> None:
        try:
            event = vocabulary.server_event(self.server, vocabulary.decode(line))
        except vocabulary.UnreadableError as problem:
            logger.warning("server {}: a message was ignored: {}", self.server, problem)
            return
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
