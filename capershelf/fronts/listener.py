"""Accepts callers for one front, no more than its share of the descriptors."""

from __future__ import annotations

import contextlib
import math
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from capershelf.fronts.session import MUFFLE, House, Session
from capershelf.net.addresses import parse_endpoint
from capershelf.net.connection import start_thread
from capershelf.net.framing import Framing

ROOM = 4  # callers that are hung up on at a time when the front is full
ROOM_PER_MS, MOST_ROOM = 0.1, 100.0  # and so many in time: turning the others away costs less
ROOM_LOOKS = 10  # looks at whether those that were hung up on are gone
PAUSE_S = 0.05  # before the next accept where one has failed
END_S = 0.01  # between two looks at who is still there, at the end
TURNED_AWAY = 8  # callers over the limit that may be told so at a time; the next are hung up on


class Listener:
    """A listening socket and the sessions that came in on it.

    framing makes one for a new caller: it is told whether the front is full, and None means to hang up.
    """

    def __init__(
        self, listen: str, framing: Callable[[bool], Framing | None], most: int, house: House
    ) -> None:
        self._framing, self._most, self._house = framing, most, house
        house.ended, house.peer_of = self._ended, self._peer_of
        self._sessions: set[Session] = set()
        self._lock = threading.Lock()
        self._pause, self._left = threading.Event(), threading.Event()
        self._closing = False
        self._thread: threading.Thread | None = None
        self._may, self._may_ms = MOST_ROOM, house.clock.now_ms()
        host, port = parse_endpoint(listen)
        self._sock = socket.create_server((host, port), backlog=1024)
        self.port: int = self._sock.getsockname()[1]

    def start(self) -> None:
        self._thread = start_thread(self._run, "listener")

    def _run(self) -> None:
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError as problem:
                if self._closing or self._sock.fileno() < 0:
                    return
                # such as no descriptor left
                logger.warning("accept: {problem}", event="accept-failed", problem=problem)
                self._make_room(ROOM)
                self._pause.wait(PAUSE_S)  # guards the processor while that lasts
                continue
            self._take_in(sock, address)

    def _take_in(self, sock: socket.socket, address: Any) -> None:
        try:
            self._admit(sock, f"{address[0]}:{address[1]}")
        except Exception:  # guards the one accepting thread
            logger.exception("a caller could not be taken in", event="caller-fault")
            sock.close()

    def _admit(self, sock: socket.socket, name: str) -> None:
        with self._lock:
            connected = len(self._sessions)
        full = connected >= self._most and not (self._make_room(ROOM) and self._has_room())
        framing = self._framing(full) if connected < self._most + TURNED_AWAY else None
        if full or framing is None:
            MUFFLE.warn(
                self._house.clock.now_ms(),
                "{peer}: turned away, {count} callers are connected",
                event="caller-turned-away",
                peer=name,
                count=connected,
            )
        if framing is None:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        session = Session(sock, framing, name, self._house)
        with self._lock:
            self._sessions.add(session)
        try:
            session.connection.start()
        except Exception:  # such as no thread to be had
            with self._lock:
                self._sessions.discard(session)
            framing.release_buffers()
            raise

    def _make_room(self, most: int) -> bool:
        """Hang up on those who need it least: the oldest that never spoke, else the longest without a call.

        Guards the usual callers against hundreds that connect and say nothing, or ask once and stay.  Some
        go at a time, and of those that have spoken so many a second: guards the planners' share of the
        processor from a crowd's.  Those that never spoke go whatever their number: the newcomer may be a
        caller with a set-up, and of one that has sent anything the socket shows it (quiet()).
        """
        now_ms = self._house.clock.now_ms()
        with self._lock:
            found = [session for session in self._sessions if session.spare()]
        found.sort(
            key=lambda session: (not session.silent, session.connection.has_partial_message(), session.at_ms)
        )
        silent = [session for session in found if session.silent]
        if self._retire(silent, most):
            return True
        self._may = min(MOST_ROOM, self._may + (now_ms - self._may_ms) * ROOM_PER_MS)
        self._may_ms = now_ms
        if self._may < most:
            return False
        self._may -= most
        return self._retire(found[len(silent) :][:most], most)

    @staticmethod
    def _retire(sessions: Iterable[Session], most: int) -> bool:
        """Hang up on the first of these that can go, so many at the most; whether one went.

        Those of whom something lies unread stay: guards a newcomer from being turned away for the oldest
        few of them where the others would make room.
        """
        gone = 0
        for session in sessions:
            gone += session.retire("the front is full", at_once=True)
            if gone == most:
                break
        return gone > 0

    def _has_room(self) -> bool:
        """Whether one of those that were hung up on has given its descriptor back.

        Guards the descriptors of the list and the links from peers that are hung up on and never hang up
        themselves: nobody is let in before a place is free.
        """
        for _ in range(ROOM_LOOKS):
            with self._lock:
                if len(self._sessions) < self._most:
                    return True
            self._left.wait(END_S)
            self._left.clear()
        return False

    def _ended(self, session: Session) -> None:
        with self._lock:
            self._sessions.discard(session)
        self._left.set()

    def _peer_of(self, caller: Session) -> Session | None:
        """Another open session of the same caller host."""
        with self._lock:
            return next((s for s in self._sessions if s is not caller and s.host == caller.host), None)

    def stop_accepting(self) -> None:
        """Close the door behind those whom the machine has let in already: a reset would lose their calls."""
        self._closing = True
        with contextlib.suppress(OSError):  # none is left, none can be taken in, or it is closed already
            self._sock.setblocking(False)
            while True:
                sock, address = self._sock.accept()
                sock.setblocking(True)
                self._take_in(sock, address)
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self._sock.close()

    def close_all(self, by_ms: float = -math.inf) -> None:
        """Hang up on everyone: each once it is owed nothing and nothing of it is unread, or at by_ms.

        After the accepting thread's last: guards the caller that it was just letting in.
        """
        while self._thread is not None and self._thread.is_alive() and self._house.clock.now_ms() < by_ms:
            self._pause.wait(END_S)
        while True:
            with self._lock:
                sessions = list(self._sessions)
            if not sessions or self._house.clock.now_ms() >= by_ms:
                break
            for session in sessions:
                session.retire("going away")
            self._pause.wait(END_S)
        for session in sessions:
            session.connection.close(1001, "going away")
