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
        self._ended = False
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
                sock = connect(self.endpoint, self._clock, self._clock.now_ms() + self._connect_ms)
            except OSError as problem:
                refused = isinstance(problem, ConnectionRefusedError)
                if failures == 0:
                    logger.info("server {}: no connection: {}", self.server, problem)
                self._post(m.LinkDown(self.server, None, refused))
                pause_ms = BACK_OFF_MS[min(failures, len(BACK_OFF_MS) - 1)] * random.uniform(0.8, 1.2)
                failures += 1
                self._pause(self._clock.now_ms() + pause_ms)
                continue
            failures = 0
            framing: Framing = Lines()
            connection = Connection(sock, framing, self._message, lambda: None, f"link {self.server}")
            with self._lock:
                if self._ended:
                    connection.close()
                self._epoch += 1
                self._connection = connection
            self._post(m.LinkUp(self.server, self._epoch))
            connection.read()
            with self._lock:
                self._connection = None
            self._post(m.LinkDown(self.server, self._epoch))

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
