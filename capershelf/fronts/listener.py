"""Accepts callers for one front, no more than its share of the descriptors."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

from loguru import logger

from capershelf.core.clock import Clock
from capershelf.fronts.session import Route, Session
from capershelf.net.connection import parse_endpoint, start_thread
from capershelf.net.framing import Framing

TURNED_AWAY = 8  # callers over the limit that may be told so at a time; the next are hung up on


class Listener:
    """A listening socket and the sessions that came in on it.

    framing makes one for a new caller: it is told whether the front is full, and None means to hang up.
    """

    def __init__(
        self,
        listen: str,
        framing: Callable[[bool], Framing | None],
        outlived: bool,
        most: int,
        clock: Clock,
        route: Route,
        ready: Callable[[], bool],
        came: Callable[[Session], None],
        lost: Callable[[Session], None],
    ) -> None:
        self._framing, self._outlived, self._most = framing, outlived, most
        self._clock, self._route, self._ready = clock, route, ready
        self._came, self._lost = came, lost
        self._sessions: set[Session] = set()
        self._lock = threading.Lock()
        host, port = parse_endpoint(listen)
        self._sock = socket.create_server((host, port), backlog=512)
        self.port: int = self._sock.getsockname()[1]

    def start(self) -> None:
        start_thread(self._run, "listener")

    def _run(self) -> None:
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError as problem:
                if self._sock.fileno() < 0:
                    return
                logger.warning("accept: {}", problem)  # such as no descriptor left: the next may do
                continue
            try:
                self._admit(sock, f"{address[0]}:{address[1]}")
            except Exception:  # guards the one accepting thread
                logger.exception("a caller could not be taken in")
                sock.close()

    def _admit(self, sock: socket.socket, name: str) -> None:
        with self._lock:
            connected = len(self._sessions)
        full = connected >= self._most
        framing = self._framing(full) if connected < self._most + TURNED_AWAY else None
        if full:
            logger.warning("{}: turned away, {} callers are connected", name, connected)
        if framing is None:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        session = Session(
            sock, framing, name, self._outlived, self._clock, self._route, self._ready, self._came,
            self._ended, self._peer_of,
        )
        with self._lock:
            self._sessions.add(session)
        session.connection.start()

    def _ended(self, session: Session) -> None:
        with self._lock:
            self._sessions.discard(session)
        self._lost(session)

    def _peer_of(self, caller: Session) -> Session | None:
        """Another open session of the same caller host."""
        with self._lock:
            return next((s for s in self._sessions if s is not caller and s.host == caller.host), None)

    def stop_accepting(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self._sock.close()

    def close_all(self) -> None:
        with self._lock:
            sessions = list(self._sessions)
        for session in sessions:
            session.connection.close(1001, "going away")
