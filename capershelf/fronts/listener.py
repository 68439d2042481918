"""Accepts callers for one front, no more than its share of the descriptors."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable

from loguru import logger

from capershelf.core import model as m
from capershelf.core.clock import Clock
from capershelf.fronts.session import Route, Session
from capershelf.net.connection import parse_endpoint, start_thread
from capershelf.net.framing import Framing


class Listener:
    """A listening socket and the sessions that came in on it."""

    def __init__(
        self,
        listen: str,
        framing: Callable[[], Framing],
        outlived: bool,
        most: int,
        clock: Clock,
        route: Route,
        ready: Callable[[], bool],
        lost: Callable[[Session], None],
    ) -> None:
        self._framing, self._outlived, self._most = framing, outlived, most
        self._clock, self._route, self._ready, self._lost = clock, route, ready, lost
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
            full = len(self._sessions) >= self._most
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if full:
            logger.warning("{}: turned away, {} callers are connected", name, self._most)
            with contextlib.suppress(OSError):
                framing = self._framing()
                sock.send(framing.farewell(1013, "full"), socket.MSG_DONTWAIT)
                framing.done()
            sock.close()
            return
        session = Session(
            sock, self._framing(), name, self._outlived, self._clock, self._route, self._ready, self._ended
        )
        with self._lock:
            self._sessions.add(session)
        session.connection.start()

    def _ended(self, session: Session) -> None:
        with self._lock:
            self._sessions.discard(session)
        self._lost(session)

    def peer_of(self, caller: m.Caller) -> Session | None:
        """Another open session of the same caller host."""
        if not isinstance(caller, Session):
            return None
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
