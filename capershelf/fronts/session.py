"""A caller's session, the same over every front: reads the vocabulary, passes events on, tells outcomes."""

from __future__ import annotations

import socket
from collections.abc import Callable

from loguru import logger

from capershelf.core import model as m
from capershelf.core.clock import Clock
from capershelf.net import vocabulary
from capershelf.net.connection import Connection
from capershelf.net.framing import Framing

HANDSHAKE_MS = 3000.0  # a caller has so long to finish a front's handshake
Route = Callable[[str], Callable[[m.Event], None]]


class Session:
    """One caller connection.  One rule meets bad input: a set-up with a readable id is answered at once
    with cause 100, everything else that can't be read is passed over; both leave a log line and the
    connection open.
    """

    def __init__(
        self,
        sock: socket.socket,
        framing: Framing,
        name: str,
        outlived: bool,
        clock: Clock,
        route: Route,
        ready: Callable[[], bool],
        came: Callable[[Session], None],
        on_closed: Callable[[Session], None],
        elsewhere: Callable[[Session], Session | None],
    ) -> None:
        self.name = name
        self.outlived = outlived
        self.host = name.rpartition(":")[0]
        self._clock, self._route, self._ready, self._closed = clock, route, ready, on_closed
        self._elsewhere = elsewhere
        self.connection = Connection(
            sock, framing, self._message, self._ended, name, clock, clock.now_ms() + HANDSHAKE_MS,
            lambda: came(self),
        )

    def elsewhere(self) -> m.Caller | None:
        return None if self.outlived else self._elsewhere(self)

    def tell(self, word: m.Word) -> bool:
        return self.connection.post(vocabulary.word_bytes(word))

    def _ended(self) -> None:
        self._closed(self)

    def _message(self, line: bytes) -> None:
        now_ms = self._clock.now_ms()
        try:
            message = vocabulary.decode(line)
            self._take(message, now_ms)
        except vocabulary.UnreadableError as problem:
            logger.warning("{}: bad message: {}", self.name, problem)
            if problem.id and message["type"] == "setup":
                self.tell(m.Failed(problem.id, m.INVALID))

    def _take(self, message: dict[str, object], now_ms: float) -> None:
        kind = message["type"]
        if kind == "setup":
            request = vocabulary.set_up_of(message, now_ms)
            self._route(request.id)(m.SetUpCame(request, self))
        elif kind == "release":
            named = vocabulary.call_id(message)
            self._route(named)(m.CallerReleased(named, vocabulary.cause_of(message, named), self))
        elif kind == "ping":
            named = str(message.get("id", ""))
            self.connection.post(vocabulary.encode("pong", named, int(self._ready())))
        elif kind not in ("progress", "released", "pong"):
            raise vocabulary.UnreadableError(f"unknown type {kind!r}")
