"""Accepts the callers of one front, up to its share of the file descriptors."""

from __future__ import annotations

import contextlib
import math
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from capershelf.fronts.session import WARNING_LIMITER, FrontContext, Session
from capershelf.net.addresses import parse_endpoint
from capershelf.net.connection import start_thread
from capershelf.net.framing import Framing

EVICTION_BATCH = 4  # idle sessions closed at a time to free descriptors
# After an eviction, before the next newcomer is accepted: peers that connect again whenever they are evicted
# would otherwise take the processor from the callers that are connected.
EVICTION_PAUSE_S = 0.02
# Token bucket for evicting sessions that have sent a message; rejecting a newcomer costs less than evicting.
EVICTIONS_PER_MS = 0.1
EVICTION_BURST = 100.0
SLOT_CHECKS = 10  # checks for a descriptor freed by an eviction
ACCEPT_RETRY_S = 0.05  # delay after a failed accept
POLL_INTERVAL_S = 0.01  # between two checks for ended sessions
# Connections over the limit that may be sent a rejection at a time; any more are closed without one.
MAX_PENDING_REJECTIONS = 8


class Listener:
    """A listening socket and the sessions accepted on it.

    make_framing creates the framing of a new connection.  Its argument says whether the front is full; it
    returns None to have the connection closed without a response.
    """

    def __init__(
        self,
        listen: str,
        make_framing: Callable[[bool], Framing | None],
        max_sessions: int,
        context: FrontContext,
    ) -> None:
        self._make_framing, self._max_sessions, self._context = make_framing, max_sessions, context
        context.on_session_ended, context.other_session_of = self._on_session_ended, self._other_session_of
        self._sessions: set[Session] = set()
        self._lock = threading.Lock()
        self._pause, self._slot_freed = threading.Event(), threading.Event()
        self._closing = False
        self._thread: threading.Thread | None = None
        self._eviction_tokens, self._tokens_refilled_ms = EVICTION_BURST, context.clock.now_ms()
        host, port = parse_endpoint(listen)
        self._sock = socket.create_server((host, port), backlog=1024)
        self.port: int = self._sock.getsockname()[1]

    def start(self) -> None:
        """Start the accepting thread."""
        self._thread = start_thread(self._accept_loop, "listener")

    def _accept_loop(self) -> None:
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError as error:
                if self._closing or self._sock.fileno() < 0:
                    return
                # For example, the process has run out of descriptors.
                logger.warning("accept failed: {problem}", event="accept-failed", problem=error)
                self._evict_idle(EVICTION_BATCH)
                self._pause.wait(ACCEPT_RETRY_S)  # avoids a busy loop while accept keeps failing
                continue
            self._admit_safely(sock, address)

    def _admit_safely(self, sock: socket.socket, address: Any) -> None:
        try:
            self._admit(sock, f"{address[0]}:{address[1]}")
        except Exception:  # one connection's fault must not end the accepting thread
            logger.exception("a caller could not be admitted", event="caller-fault")
            sock.close()

    def _admit(self, sock: socket.socket, name: str) -> None:
        with self._lock:
            connected = len(self._sessions)
        had_room = connected < self._max_sessions
        full = not had_room and not (self._evict_idle(EVICTION_BATCH) and self._wait_for_slot())
        framing = (
            self._make_framing(full) if connected < self._max_sessions + MAX_PENDING_REJECTIONS else None
        )
        if full or framing is None:
            WARNING_LIMITER.warn(
                self._context.clock.now_ms(),
                "{peer}: rejected, {count} callers are connected",
                event="caller-turned-away",
                peer=name,
                count=connected,
            )
        if framing is None:
            sock.close()
            return
        self._add_session(sock, framing, name)
        if not had_room:
            self._pause.wait(EVICTION_PAUSE_S)

    def _add_session(self, sock: socket.socket, framing: Framing, name: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        session = Session(sock, framing, name, self._context)
        with self._lock:
            self._sessions.add(session)
        try:
            session.connection.start()
        except Exception:  # for example, no thread could be started
            with self._lock:
                self._sessions.discard(session)
            framing.release_buffers()
            raise

    def _evict_idle(self, count: int) -> bool:
        """Close up to count idle sessions to free descriptors; returns whether one was closed.

        The oldest that never sent a message go first, then those longest without a call.  This keeps regular
        callers reachable when hundreds of connections send nothing, or one request, and stay open.  Sessions
        that have sent a message are evicted at a limited rate, so that a crowd of connections cannot take
        the planners' share of the processor.  Silent ones are evicted at any rate: the newcomer may be a
        caller with a set-up, while pending data on a silent session is seen in its socket (quiet()).
        """
        now_ms = self._context.clock.now_ms()
        with self._lock:
            idle = [session for session in self._sessions if session.is_idle()]
        # Slow writers of a first message must not outlast a newcomer, which is about to send one.
        idle.sort(key=lambda session: (not session.awaiting_first_message, session.last_activity_ms))
        silent = [session for session in idle if session.awaiting_first_message]
        if self._evict(silent, count):
            return True
        self._eviction_tokens = min(
            EVICTION_BURST, self._eviction_tokens + (now_ms - self._tokens_refilled_ms) * EVICTIONS_PER_MS
        )
        self._tokens_refilled_ms = now_ms
        if self._eviction_tokens < count:
            return False
        self._eviction_tokens -= count
        return self._evict(idle[len(silent) :][:count], count)

    @staticmethod
    def _evict(sessions: Iterable[Session], count: int) -> bool:
        """Close the first sessions that can be closed, at most count; returns whether one was closed.

        Sessions with unread data are skipped, so that a newcomer is not rejected because the oldest few have
        some while others could be evicted.
        """
        evicted = 0
        for session in sessions:
            evicted += session.close_if_idle("the front is full", at_once=True)
            if evicted == count:
                break
        return evicted > 0

    def _wait_for_slot(self) -> bool:
        """Wait briefly for an evicted session to free its descriptor; returns whether the front has a slot.

        Nobody is admitted before a slot is free: peers that never close their end would otherwise use up the
        descriptors that the server list and the links to booking servers need.
        """
        for _ in range(SLOT_CHECKS):
            with self._lock:
                if len(self._sessions) < self._max_sessions:
                    return True
            self._slot_freed.wait(POLL_INTERVAL_S)
            self._slot_freed.clear()
        return False

    def _on_session_ended(self, session: Session) -> None:
        with self._lock:
            self._sessions.discard(session)
        self._slot_freed.set()

    def _other_session_of(self, caller: Session) -> Session | None:
        """Another reachable session from the same caller host, one that has sent a message if possible."""
        with self._lock:
            others = [s for s in self._sessions if s is not caller and s.host == caller.host]
        others.sort(key=lambda session: session.awaiting_first_message)
        return next((session for session in others if session.is_reachable()), None)

    def stop_accepting(self) -> None:
        """Close the listening socket, first admitting the connections in its backlog.

        Closing it with connections in the backlog would reset them and lose their calls.
        """
        self._closing = True
        with contextlib.suppress(OSError):  # the backlog is empty, accept failed, or the socket is closed
            self._sock.setblocking(False)
            while True:
                sock, address = self._sock.accept()
                sock.setblocking(True)
                self._admit_safely(sock, address)
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self._sock.close()

    def close_all(self, deadline_ms: float = -math.inf) -> None:
        """Close every session: once it has no calls and no unread data, or at the deadline.

        Waits for the accepting thread first, so that a caller being admitted is not missed.
        """
        while (
            self._thread is not None
            and self._thread.is_alive()
            and self._context.clock.now_ms() < deadline_ms
        ):
            self._pause.wait(POLL_INTERVAL_S)
        while True:
            with self._lock:
                sessions = list(self._sessions)
            if not sessions or self._context.clock.now_ms() >= deadline_ms:
                break
            for session in sessions:
                session.close_if_idle("going away")
            self._pause.wait(POLL_INTERVAL_S)
        for session in sessions:
            session.connection.close(1001, "going away")
