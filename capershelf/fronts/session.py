"""A caller's session, the same for every front: decodes messages, forwards events, delivers outcomes."""

from __future__ import annotations

import math
import socket
import threading
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from capershelf.core import model
from capershelf.core.clock import Clock, Inbox
from capershelf.fronts.recent_ids import RecentIds
from capershelf.net import vocabulary
from capershelf.net.connection import Connection
from capershelf.net.framing import CloseConnectionError, Framing

HANDSHAKE_TIMEOUT_MS = 2000.0
FIRST_MESSAGE_TIMEOUT_MS = 2000.0
PARTIAL_MESSAGE_TIMEOUT_MS = 1000.0  # for the rest of a message after its first bytes
IDLE_TIMEOUT_MS = 6000.0  # without a call; callers close idle connections themselves after 4 s
# Least time left to a set-up that may have stayed unread for longer than its caller waits.
MIN_REMAINING_MS = 200.0
CLOSE_GOING_AWAY = 1001  # close code, where the front has close codes
MAX_ABSENT_HOSTS = 4096  # bounds the memory; the longest absent is forgotten
REJECTION_TIMEOUT_MS = 500.0  # for the planners to end the calls of a rejected caller
# The limit on open set-ups grows with the calls established on the connection: a caller whose calls succeed
# never has hundreds open at once, and each one costs the booking servers work.
BASE_OPEN_SET_UPS = 64  # plus one for each call established on the connection
MAX_OPEN_SET_UPS = 512  # set-ups over the limit are refused at once
# Token bucket for messages without effect, such as set-ups that are released again.
INITIAL_MESSAGE_TOKENS = 256.0
MAX_MESSAGE_TOKENS = 1024.0
MESSAGE_TOKENS_PER_MS = 0.1
TOKENS_PER_OUTCOME = 1.0  # for each outcome of a set-up and each end of a call
TOKENS_PER_ANSWER = 4.0  # in addition, for each established call
MAX_UNUSABLE_SET_UPS = 8  # each established call makes up for one
MAX_REJECTED_IDS = 128  # kept for each connection; the oldest are dropped
MAX_TOLD_IDS = 1024  # likewise
MAX_WARNINGS_PER_WINDOW = 20  # warnings about misbehaving callers; any more are only counted
WARNING_WINDOW_MS = 1000.0

# Returns, for a call id, the function that posts an event to the call's planner.
Route = Callable[[str], Callable[[model.Event], None]]


class WarningLimiter:
    """Rate limit for warnings that callers can cause; protects the log and the processor from a flood."""

    def __init__(self) -> None:
        self._window_start_ms, self._logged, self._suppressed = -math.inf, 0, 0

    def warn(self, now_ms: float, text: str, **fields: object) -> None:
        """Log a warning, or count it if the current window's limit is reached."""
        if now_ms - self._window_start_ms >= WARNING_WINDOW_MS:
            if self._suppressed:
                logger.warning(
                    "{count} more warnings about misbehaving callers were suppressed",
                    event="lines-left-out",
                    count=self._suppressed,
                )
            self._window_start_ms, self._logged, self._suppressed = now_ms, 0, 0
        self._logged += 1
        if self._logged <= MAX_WARNINGS_PER_WINDOW:
            logger.warning(text, **fields)
        else:
            self._suppressed += 1


WARNING_LIMITER = WarningLimiter()


class FrontContext:
    """State and callbacks shared by the sessions of one front."""

    def __init__(
        self,
        clock: Clock,
        terms: vocabulary.SetUpLimits,
        route: Route,
        broadcast: Callable[[model.Event], int],
        is_ready: Callable[[], bool],
        calls_outlive_connection: bool,
        max_description_bytes: int = 1 << 20,
    ) -> None:
        self.clock = clock
        self.terms = terms
        self.route = route
        self.broadcast = broadcast  # posts an event to every planner and returns their number
        self.is_ready = is_ready
        self.calls_outlive_connection = calls_outlive_connection
        self.closed = False  # the proxy is stopping: no more set-ups are accepted
        self.max_description_bytes = max_description_bytes  # in the open set-ups of all callers together
        self._description_bytes = 0
        self.pending_set_ups = 0  # accepted from callers, still without an outcome
        # Hosts that have lost a connection with calls, and have not connected since.
        self._absent_hosts: dict[str, None] = {}
        self._lock = threading.Lock()
        self.on_session_ended: Callable[[Session], None]
        self.other_session_of: Callable[[Session], Session | None]

    def reserve(self, size: int) -> bool:
        """Reserve memory for a set-up; False if the front is closed or the limit is reached.

        The limit keeps hundreds of set-ups of the largest size from exhausting a small memory.
        """
        with self._lock:
            if self.closed or self._description_bytes + size > self.max_description_bytes:
                return False
            self._description_bytes += size
            self.pending_set_ups += 1
            return True

    def free_reservation(self, size: int) -> None:
        """Undo reserve() once the set-up has its outcome."""
        with self._lock:
            self._description_bytes -= size
            self.pending_set_ups -= 1
            was_last = self.closed and not self.pending_set_ups
        if was_last:  # wakes a stopping planner that waits for it
            self.broadcast(model.InboxBarrier(lambda: None))

    def note_absent(self, host: str) -> None:
        """A connection of this host was lost while it had calls."""
        with self._lock:
            self._absent_hosts[host] = None
            if len(self._absent_hosts) > MAX_ABSENT_HOSTS:
                del self._absent_hosts[next(iter(self._absent_hosts))]

    def note_present(self, host: str) -> bool:
        """The host has connected: returns whether it had lost a connection with calls before."""
        with self._lock:
            return self._absent_hosts.pop(host, self) is None

    def close(self) -> None:
        """Refuse every further set-up at once."""
        with self._lock:
            self.closed = True


class Session:
    """One caller connection, its calls and the limits on its requests.

    docs/websocket.md has a rule for each kind of bad input.  Call ids are kept while their calls are open or
    established.
    """

    def __init__(self, sock: socket.socket, framing: Framing, name: str, context: FrontContext) -> None:
        self.name = name
        self.calls_outlive_connection = context.calls_outlive_connection
        self.host = name.rpartition(":")[0]
        self._context, self._clock = context, context.clock
        self._lock = threading.Lock()  # guards the attributes below
        self._open: dict[str, int] = {}  # size of the description by call id
        self._established: set[str] = set()
        self._abandoned: set[str] = set()  # open calls whose caller no longer waits
        self._attached: set[str] = set()  # calls that were set up on another connection
        # Calls whose outcome or end was sent here although no set-up of theirs had been read here.
        self._told_unasked = RecentIds(MAX_TOLD_IDS)
        # Of set-ups on this connection with a negative outcome, in lower case.
        self._rejected_ids = RecentIds(MAX_REJECTED_IDS)
        self._disconnected = False
        self.awaiting_first_message = True  # no complete message has been received
        self.messages_received = 0
        self._pings_sent = 0
        self._end_awaits_ping = False  # an end was sent, and its ping has not been sent yet
        self.last_activity_ms = self._clock.now_ms()  # of the last message in either direction
        self._closing = False
        self._answered_calls, self._unusable_set_ups = 0, 0
        self._message_tokens = INITIAL_MESSAGE_TOKENS
        self._tokens_refilled_ms = self.last_activity_ms
        self.connection = Connection(
            sock,
            framing,
            self._on_message,
            self._on_closed,
            name,
            self._clock,
            self.last_activity_ms + HANDSHAKE_TIMEOUT_MS,
            self._on_opened,
            read_deadline=self._read_deadline_ms,
            on_invalid_message=self._on_violation,
        )

    # -- used by the planners -------------------------------------------------------------------------
    def other_connection(self) -> model.Caller | None:
        """Another reachable connection from the same host to the same front."""
        return self._context.other_session_of(self)

    def is_reachable(self) -> bool:
        """Whether messages sent now can still reach the caller, as far as known."""
        return not (self._closing or self.connection.is_ending() or self.connection.peer_has_closed())

    def attach(self, call_id: str) -> None:
        """Keep the connection open for a call that was set up on another one."""
        with self._lock:
            self._attached.add(call_id)

    def detach(self, call_id: str) -> None:
        """The call is attached to another connection."""
        with self._lock:
            self._forget_call(call_id)

    def ping(self) -> int:
        """Ping the caller, if the front has pings; returns the number for has_answered_ping()."""
        self._end_awaits_ping = False
        self._pings_sent += 1
        self.connection.ping(str(self._pings_sent).encode())
        return self._pings_sent

    def has_answered_ping(self, number: int) -> bool:
        """Whether the caller has answered this ping or a later one.

        On a front without pings, whether its connection has not been reset: a caller that closes it after
        reading all that was sent does not reset it.
        """
        if not self.calls_outlive_connection:
            return not self.connection.was_reset
        answered = self.connection.last_pong()
        return answered.isdigit() and int(answered) >= number

    def close(self, reason: str) -> None:
        """Close the connection."""
        self.connection.close(CLOSE_GOING_AWAY, reason)

    def is_waiting(self, call_id: str) -> bool:
        """Whether the caller still waits for the call's outcome.

        Keeps set-ups of callers that have left from booking servers before the planner processes the event.
        """
        with self._lock:
            if call_id in self._abandoned:
                return False
            if self.calls_outlive_connection:
                return True
            disconnected = self._disconnected
        return not disconnected and not self.connection.peer_has_closed()

    def mark_abandoned(self, call_id: str) -> None:
        """Note that the caller has abandoned the call; the planner receives its own event for that."""
        with self._lock:
            if call_id in self._open or call_id in self._attached:
                self._abandoned.add(call_id)

    def notify(self, message: model.CallerMessage) -> bool:
        """Send the caller an outcome or the end of a call; False if that is no longer possible."""
        with self._lock:
            if isinstance(message, model.Answered) and self._closing:
                return False  # nobody would be left to end the established call
            was_requested = message.id in self._open or message.id in self._established
            self._forget_call(message.id)
            if isinstance(message, model.Refused | model.Failed):
                self._rejected_ids.add(message.id.lower())
            if not self._may_reach_caller(message):
                return False  # another connection of the caller may take it
            if not was_requested:
                self._told_unasked.add(message.id)
            self.last_activity_ms = self._clock.now_ms()
            self._message_tokens += TOKENS_PER_OUTCOME
            self._end_awaits_ping |= isinstance(message, model.Ended)
            if isinstance(message, model.Answered):
                self._established.add(message.id)
                self._answered_calls += 1
                self._unusable_set_ups = max(0, self._unusable_set_ups - 1)
                self._message_tokens += TOKENS_PER_ANSWER
        return self.connection.send(vocabulary.encode_caller_message(message))

    def discard_set_up(self, call_id: str) -> None:
        """Drop a repeated set-up whose outcome was sent here after it had been read."""
        with self._lock:
            self._told_unasked.take(call_id)
            if (size := self._open.pop(call_id, None)) is not None:
                self._context.free_reservation(size)

    def was_rejected(self, call_id: str) -> bool:
        """Whether a set-up with this id on this connection had a negative outcome."""
        with self._lock:
            return call_id.lower() in self._rejected_ids

    def _may_reach_caller(self, message: model.CallerMessage) -> bool:
        """Whether to send the message here, and not on another connection because this one is closed.

        A caller that is being rejected still gets the outcomes of its open calls.
        """
        if isinstance(message, model.Ended):
            return self.is_reachable()
        return not self.calls_outlive_connection or not self.connection.peer_has_closed()

    def call_ended(self, call_id: str) -> None:
        """Note that a call of this caller has ended, whether or not the caller is notified."""
        with self._lock:
            if call_id not in self._open:  # an established call was ended, wherever it was set up
                self._message_tokens += TOKENS_PER_OUTCOME
            self._forget_call(call_id)

    def _forget_call(self, call_id: str) -> None:
        """Drop a call that is neither open nor established any more.  The caller holds the lock."""
        self._established.discard(call_id)
        self._abandoned.discard(call_id)
        self._attached.discard(call_id)
        if (size := self._open.pop(call_id, None)) is not None:
            self._context.free_reservation(size)

    # -- used by the listener -------------------------------------------------------------------------
    def is_idle(self) -> bool:
        """Whether the session has no calls and is not closing."""
        return not (self._open or self._established or self._attached or self._closing)

    def close_if_idle(self, reason: str, at_once: bool = False) -> bool:
        """Close the connection unless it has a call or unread data; returns whether it is being closed.

        at_once: close without waiting for the peer to close its end, because the descriptor is needed.
        """
        if not self.connection.is_idle():
            return False
        with self._lock:
            if not self.is_idle():
                return False
            self._closing = True
        if at_once and self.connection.is_flushed():
            self.connection.close(CLOSE_GOING_AWAY, reason)
        else:
            self.connection.close_after_flush(CLOSE_GOING_AWAY, reason)
        return True

    # -- called on the connection's thread ------------------------------------------------------------
    def _on_opened(self) -> None:
        # A silent connection costs the planners nothing where the host has no calls to be told of.
        if self._context.note_present(self.host) or self.calls_outlive_connection:
            self._context.broadcast(model.CallerConnected(self))

    def _on_closed(self) -> None:
        self._context.on_session_ended(self)
        with self._lock:
            self._disconnected = self._closing = True
            had_calls = bool(self._open or self._established or self._attached)
            is_unconfirmed = self._end_awaits_ping or (
                self._pings_sent > 0 and not self.has_answered_ping(self._pings_sent)
            )
            for call_id in list(self._open):
                self._forget_call(call_id)
        if had_calls or is_unconfirmed:
            self._context.note_absent(self.host)
            self._context.broadcast(model.CallerDisconnected(self))

    def _read_deadline_ms(self, partial_since_ms: float) -> float:
        """When the caller must have sent more; partial_since_ms is infinite without a partial message."""
        if partial_since_ms < math.inf:
            return partial_since_ms + PARTIAL_MESSAGE_TIMEOUT_MS
        with self._lock:
            if self._open or self._established or self._attached:
                return math.inf
        timeout_ms = FIRST_MESSAGE_TIMEOUT_MS if self.awaiting_first_message else IDLE_TIMEOUT_MS
        return self.last_activity_ms + timeout_ms

    def _on_violation(self, reason: str) -> bool:
        """Give the open calls their outcome, then send the caller the reason why its connection is closed."""
        now_ms = self._clock.now_ms()
        WARNING_LIMITER.warn(
            now_ms, "{peer}: closing: {reason}", event="caller-hung-up", peer=self.name, reason=reason
        )
        with self._lock:
            self._closing, has_open_calls = True, bool(self._open)
        if has_open_calls:
            acks: Inbox[bool] = Inbox(self._clock)
            for _ in range(self._context.broadcast(model.CallerRejected(self, lambda: acks.put(True)))):
                acks.take(now_ms + REJECTION_TIMEOUT_MS)
        details = {"reason": reason[:100]}
        return self.connection.send(vocabulary.encode("release", "", model.CAUSE_INVALID, fields=details))

    def _on_message(self, line: bytes) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            if self._closing:
                return  # it crossed this proxy's close
            is_first = self.awaiting_first_message
            self.awaiting_first_message = False
            self.messages_received += 1
            self.last_activity_ms = now_ms
            refill = (now_ms - self._tokens_refilled_ms) * MESSAGE_TOKENS_PER_MS
            self._message_tokens = min(MAX_MESSAGE_TOKENS, self._message_tokens + refill) - 1.0
            self._tokens_refilled_ms = now_ms
            exhausted = self._message_tokens < 0.0
        if is_first and not self.calls_outlive_connection:
            self._context.broadcast(model.CallerConnected(self))
        if exhausted:
            raise CloseConnectionError("too many messages to no effect", invalid_message=True)
        try:
            message = vocabulary.decode(line)
            self._handle(message, now_ms)
        except vocabulary.InvalidSetUpError as error:
            WARNING_LIMITER.warn(
                now_ms,
                "{peer}: the set-up of call {call} is unusable: {problem}",
                event="set-up-unusable",
                peer=self.name,
                call=error.id,
                problem=str(error),
            )
            with self._lock:
                self._unusable_set_ups += 1
                limit_exceeded = self._unusable_set_ups > MAX_UNUSABLE_SET_UPS
            self.notify(model.Failed(error.id, model.CAUSE_INVALID))
            if limit_exceeded:
                raise CloseConnectionError(
                    "too many set-ups that can't be used", invalid_message=True
                ) from error
        except vocabulary.InvalidMessageError as error:
            raise CloseConnectionError(
                f"a message that can't be read: {error}", invalid_message=True
            ) from error

    def _handle(self, message: dict[str, object], now_ms: float) -> None:
        kind = message["type"]
        if kind == "setup":
            self._handle_set_up(message, now_ms)
        elif kind == "release":
            message_id = vocabulary.parse_call_id(message)
            self.mark_abandoned(message_id)
            self._context.route(message_id)(
                model.CallerReleased(message_id, vocabulary.parse_cause(message, message_id), self)
            )
        elif kind == "ping":
            message_id = str(message.get("id", ""))[:16]
            self.connection.send(vocabulary.encode("pong", message_id, int(self._context.is_ready())))
        elif kind not in ("progress", "released", "pong"):
            raise vocabulary.InvalidMessageError(f"unknown type {str(kind)[:40]!r}")

    def _max_unread_ms(self, now_ms: float) -> float:
        """How long a set-up may have stayed unread while this process was not running.

        A set-up's remaining time counts from when it was sent, which the message does not say; subtracting
        this keeps callers from receiving an outcome after they have left.
        """
        standstill = self._clock.last_pause
        return standstill.max_unread_ms(now_ms) if standstill is not None else 0.0

    def _handle_set_up(self, message: dict[str, object], now_ms: float) -> None:
        call = vocabulary.parse_call_id(message)
        with self._lock:
            if self._told_unasked.take(call):
                return  # repeated by a caller that has reconnected, and has been sent its outcome meanwhile
            if call in self._open or call in self._established:
                # An outcome could not be matched to one of the two.
                raise CloseConnectionError(f"two set-ups under the id {call}", invalid_message=True)
        request = vocabulary.parse_set_up(message, now_ms, self._context.terms)
        if (unread_ms := self._max_unread_ms(now_ms)) > 0.0:
            min_expires_ms = min(request.expires_ms, now_ms + MIN_REMAINING_MS)
            request = replace(request, expires_ms=max(min_expires_ms, request.expires_ms - unread_ms))
        with self._lock:
            if self._told_unasked.take(call):
                return
            size = len(request.description)
            accepted = len(self._open) < min(MAX_OPEN_SET_UPS, BASE_OPEN_SET_UPS + self._answered_calls) and (
                self._context.reserve(size)
            )
            if accepted:
                self._open[call] = size
        if not accepted:
            self.notify(model.Refused(call, self._context.terms.retry_after_ms))
        else:
            self._context.route(call)(model.SetUpReceived(request, self))
