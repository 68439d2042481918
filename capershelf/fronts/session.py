"""A caller's session, the same over every front: reads the vocabulary, passes events on, tells outcomes."""

from __future__ import annotations

import math
import socket
import threading
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from capershelf.core import model as m
from capershelf.core.clock import Clock, Inbox
from capershelf.net import vocabulary
from capershelf.net.connection import Connection
from capershelf.net.framing import CloseConnectionError, Framing

# A caller has so long
HANDSHAKE_MS = 2000.0  # to finish a front's handshake,
FIRST_MS = 2000.0  # to say anything at all,
HALF_MS = 1000.0  # for the rest of a message that it has begun,
IDLE_MS = 6000.0  # and between messages with no call here: it should itself hang up after 4 s.
LEAST_LEFT_MS = 200.0  # for a set-up that may have lain here unread for longer than its caller waits
BARRED_MS = 500.0  # the planners have so long to end the calls of one that is hung up on
# What a connection may ask for grows with the calls that stood on it: hundreds at once come from no caller
# whose calls do, and what they ask for costs the booking servers work.
OPEN = 64  # set-ups without an outcome, and one more for each call that stood,
MOST_OPEN = 512  # up to this; what is over it is refused at once
CREDIT = 256.0  # messages without any effect, such as set-ups taken back
MOST_CREDIT = 1024.0
CREDIT_PER_MS = 0.1  # that come back with time;
EFFECT = 1.0  # and with each outcome or end;
EARNED = 4.0  # a call that stands brings more
STRIKES = 8  # set-ups that can't be used, less one for each call that stands
LOUD, LOUD_MS = 20, 1000.0  # lines about bad callers in so long; the rest are counted

Route = Callable[[str], Callable[[m.Event], None]]


class Muffle:
    """Log lines that callers bring about: guards the log and the processor against a flood of them."""

    def __init__(self) -> None:
        self._since_ms, self._lines, self._swallowed = -math.inf, 0, 0

    def warn(self, now_ms: float, text: str, **fields: object) -> None:
        if now_ms - self._since_ms >= LOUD_MS:
            if self._swallowed:
                logger.warning(
                    "{count} more lines about bad callers were left out",
                    event="lines-left-out",
                    count=self._swallowed,
                )
            self._since_ms, self._lines, self._swallowed = now_ms, 0, 0
        self._lines += 1
        if self._lines <= LOUD:
            logger.warning(text, **fields)
        else:
            self._swallowed += 1


MUFFLE = Muffle()


class House:
    """What the sessions of one front share: the ways into the planners, and who else is there."""

    def __init__(
        self,
        clock: Clock,
        terms: vocabulary.SetUpLimits,
        route: Route,
        every: Callable[[m.Event], int],
        ready: Callable[[], bool],
        outlived: bool,
        most_bytes: int = 1 << 20,
    ) -> None:
        self.clock, self.terms, self.route, self.every, self.ready = clock, terms, route, every, ready
        self.outlived = outlived
        self.closed = False  # no more set-ups are taken: the proxy stops
        self.most_bytes = most_bytes  # of descriptions in open set-ups, of all callers together
        self._bytes = 0
        self.owed = 0  # set-ups taken from callers and not yet given an outcome
        self._askers: dict[str, Session] = {}  # who waits for the outcome of which
        self._lock = threading.Lock()
        self.ended: Callable[[Session], None]
        self.peer_of: Callable[[Session], Session | None]

    def reserve(self, call_id: str, size: int, asker: Session) -> bool:
        """Guards a small memory against set-ups of the largest size by the hundred."""
        with self._lock:
            if self.closed or self._bytes + size > self.most_bytes:
                return False
            self._bytes += size
            self.owed += 1
            self._askers[call_id] = asker
            return True

    def asker(self, call_id: str) -> Session | None:
        """The session that waits for this call's outcome: a caller may give it up on any connection."""
        with self._lock:
            return self._askers.get(call_id)

    def give_back(self, call_id: str, size: int, asker: Session) -> None:
        with self._lock:
            self._bytes -= size
            self.owed -= 1
            if self._askers.get(call_id) is asker:
                del self._askers[call_id]
            last = self.closed and not self.owed
        if last:  # a planner that stops may be waiting for it
            self.every(m.InboxBarrier(lambda: None))

    def close(self) -> None:
        """Take nothing more: what still comes is refused at once."""
        with self._lock:
            self.closed = True


class Session:
    """One caller connection, and what it may ask of this proxy; docs/websocket.md has a rule for each kind of
    bad input.  The ids of its calls are kept while they are open or stand.
    """

    def __init__(self, sock: socket.socket, framing: Framing, name: str, house: House) -> None:
        self.name = name
        self.calls_outlive_connection = house.outlived
        self.host = name.rpartition(":")[0]
        self._house, self._clock = house, house.clock
        self._lock = threading.Lock()  # over all that follows
        self._open: dict[str, int] = {}  # the size of each description
        self._stands: set[str] = set()
        self._given_up: set[str] = set()  # of the open ones: nobody waits for them any more
        self._gone = False  # the connection has ended
        self.silent = True  # it has never sent a whole message
        self.at_ms = self._clock.now_ms()  # of its last message, or of the last that it was told
        self._leaving = False
        self._stood, self._strikes = 0, 0
        self._credit = CREDIT
        self._credit_ms = self.at_ms
        self.connection = Connection(
            sock,
            framing,
            self._message,
            self._ended,
            name,
            self._clock,
            self.at_ms + HANDSHAKE_MS,
            read_deadline=self._due,
            on_invalid_message=self._foul,
        )

    # -- what the planners see ------------------------------------------------------------------------
    def other_connection(self) -> m.Caller | None:
        return None if self.calls_outlive_connection else self._house.peer_of(self)

    def is_waiting(self, call_id: str) -> bool:
        """Guards booking servers from set-ups for callers that have left, before a planner hears of it."""
        with self._lock:
            if call_id in self._given_up:
                return False
            if self.calls_outlive_connection:
                return True
            gone = self._gone
        return not gone and not self.connection.peer_has_closed()

    def give_up(self, call_id: str) -> None:
        """Its caller has called it off; the planner hears of it in its turn."""
        with self._lock:
            if call_id in self._open:
                self._given_up.add(call_id)

    def notify(self, word: m.CallerMessage) -> bool:
        with self._lock:
            if isinstance(word, m.Answered) and self._leaving:
                return False  # guards against a call that stands for nobody
            self._end(word.id)
            self.at_ms = self._clock.now_ms()
            self._credit += EFFECT
            if isinstance(word, m.Answered):
                self._stands.add(word.id)
                self._stood += 1
                self._strikes = max(0, self._strikes - 1)
                self._credit += EARNED
        return self.connection.send(vocabulary.encode_caller_message(word))

    def call_ended(self, call_id: str) -> None:
        """A call of this caller's is over, whatever it is told of it."""
        with self._lock:
            if call_id not in self._open:  # a call that stood was ended, wherever it was set up
                self._credit += EFFECT
            self._end(call_id)

    def _end(self, call_id: str) -> None:
        """With the lock: neither open nor standing any more."""
        self._stands.discard(call_id)
        self._given_up.discard(call_id)
        if (size := self._open.pop(call_id, None)) is not None:
            self._house.give_back(call_id, size, self)

    # -- what the listener sees -----------------------------------------------------------------------
    def spare(self) -> bool:
        """Whether nobody loses anything by this connection's end."""
        return not (self._open or self._stands or self._leaving)

    def retire(self, reason: str, at_once: bool = False) -> bool:
        """Hang up, unless there is a call on it by now, or a message that may ask for one.

        at_once: its descriptor is needed, and is not left to when its peer hangs up too.
        """
        if not self.connection.is_idle():
            return False
        with self._lock:
            if not self.spare():
                return False
            self._leaving = True
        if at_once and self.connection.is_flushed():
            self.connection.close(1001, reason)
        else:
            self.connection.close_after_flush(1001, reason)
        return True

    # -- the connection's thread ----------------------------------------------------------------------
    def _ended(self) -> None:
        self._house.ended(self)
        with self._lock:
            self._gone, self._leaving, concerned = True, True, bool(self._open or self._stands)
            for call_id in list(self._open):
                self._end(call_id)
        if concerned:
            self._house.every(m.CallerDisconnected(self))

    def _due(self, half_ms: float) -> float:
        if half_ms < math.inf:
            return half_ms + HALF_MS
        if self.silent:
            return self.at_ms + FIRST_MS
        with self._lock:
            return math.inf if self._open or self._stands else self.at_ms + IDLE_MS

    def _foul(self, reason: str) -> bool:
        """Last words: the calls open here get their outcome, then the caller is told why it is hung up on."""
        now_ms = self._clock.now_ms()
        MUFFLE.warn(
            now_ms, "{peer}: hung up on: {reason}", event="caller-hung-up", peer=self.name, reason=reason
        )
        with self._lock:
            self._leaving, owed = True, bool(self._open)
        if owed:
            done: Inbox[bool] = Inbox(self._clock)
            for _ in range(self._house.every(m.CallerRejected(self, lambda: done.put(True)))):
                done.take(now_ms + BARRED_MS)
        why = {"reason": reason[:100]}
        return self.connection.send(vocabulary.encode("release", "", m.CAUSE_INVALID, fields=why))

    def _message(self, line: bytes) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            if self._leaving:
                return  # it crossed the end that this proxy has put to the connection
            came, self.silent, self.at_ms = self.silent, False, now_ms
            earned = (now_ms - self._credit_ms) * CREDIT_PER_MS
            self._credit = min(MOST_CREDIT, self._credit + earned) - 1.0
            self._credit_ms = now_ms
            spent = self._credit < 0.0
        if came:  # with its first message: a connection that says nothing costs the planners nothing
            self._house.every(m.CallerConnected(self))
        if spent:
            raise CloseConnectionError("too many messages to no effect", invalid_message=True)
        try:
            message = vocabulary.decode(line)
            self._take(message, now_ms)
        except vocabulary.InvalidSetUpError as problem:
            MUFFLE.warn(
                now_ms,
                "{peer}: call {call} can't be used: {problem}",
                event="set-up-unusable",
                peer=self.name,
                call=problem.id,
                problem=str(problem),
            )
            with self._lock:
                self._strikes += 1
                out = self._strikes > STRIKES
            self.notify(m.Failed(problem.id, m.CAUSE_INVALID))
            if out:
                raise CloseConnectionError(
                    "too many set-ups that can't be used", invalid_message=True
                ) from problem
        except vocabulary.InvalidMessageError as problem:
            raise CloseConnectionError(
                f"a message that can't be read: {problem}", invalid_message=True
            ) from problem

    def _take(self, message: dict[str, object], now_ms: float) -> None:
        kind = message["type"]
        if kind == "setup":
            self._set_up(message, now_ms)
        elif kind == "release":
            named = vocabulary.parse_call_id(message)
            if (asker := self._house.asker(named)) is not None:
                asker.give_up(named)
            self._house.route(named)(m.CallerReleased(named, vocabulary.parse_cause(message, named), self))
        elif kind == "ping":
            named = str(message.get("id", ""))[:16]
            self.connection.send(vocabulary.encode("pong", named, int(self._house.ready())))
        elif kind not in ("progress", "released", "pong"):
            raise vocabulary.InvalidMessageError(f"unknown type {str(kind)[:40]!r}")

    def _unread_ms(self, now_ms: float) -> float:
        """How long a set-up may have lain here while this process stood still.

        Guards callers from an outcome after they have left: what a set-up has left counts from when it was
        sent, which it does not say.
        """
        standstill = self._clock.standstill
        return standstill.unread_ms(now_ms) if standstill is not None else 0.0

    def _set_up(self, message: dict[str, object], now_ms: float) -> None:
        named = vocabulary.parse_call_id(message)
        with self._lock:
            if named in self._open or named in self._stands:
                # Which of the two an outcome would be for, nobody could tell.
                raise CloseConnectionError(f"two set-ups under the id {named}", invalid_message=True)
        request = vocabulary.parse_set_up(message, now_ms, self._house.terms)
        if (unread_ms := self._unread_ms(now_ms)) > 0.0:
            least_ms = min(request.expires_ms, now_ms + LEAST_LEFT_MS)
            request = replace(request, expires_ms=max(least_ms, request.expires_ms - unread_ms))
        with self._lock:
            size = len(request.description)
            taken = len(self._open) < min(MOST_OPEN, OPEN + self._stood) and (
                self._house.reserve(named, size, self)
            )
            if taken:
                self._open[named] = size
        if not taken:
            self.notify(m.Refused(named, self._house.terms.retry_after_ms))
        else:
            self._house.route(named)(m.SetUpReceived(request, self))
