"""Attaches calls to the connections of their callers, and delivers outcomes and ends on them.

A call outlives the connection that it was set up on: an established call on every front, an open one where
the front says so.  When that connection is lost, the call is attached to another one from the same host, now
or as soon as the host connects, whether or not anything is sent on it.

On a front that can ping, an end counts as delivered once the caller has answered a later ping.  Until then it
is kept, and repeated on another connection if this one closes.  On other fronts it is repeated if the
connection is reset soon after it.  A caller that connects again while its old connection still seems to be
open has the old one pinged, where that is possible, and closed if nothing comes back.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from capershelf.core import model
from capershelf.core.call_table import CallTable
from capershelf.core.clock import Clock
from capershelf.core.timers import Timer

# How long the end of an established call is kept for a caller that has not confirmed it.
UNDELIVERED_END_TTL_MS = 8000.0
# How long it is kept on a front without pings, for a connection that is reset.
END_RESET_WINDOW_MS = 1000.0
# How long a client that closed its connection has to send a set-up once more, before its attempt is given up.
REPEAT_GRACE_MS = 100.0
# How long a connection may stay silent after a ping, once its caller has connected again.
PING_TIMEOUT_MS = 1500.0


class CallerConnections:
    """The connections that a planner's calls are attached to.  Planner thread only."""

    def __init__(
        self,
        calls: CallTable,
        clock: Clock,
        schedule: Callable[[float, Callable[[], None]], Timer],
        begin: Callable[[model.Call], None],
        abandon: Callable[[model.Call], None],
        release: Callable[[model.Call, int], None],
        remove: Callable[[model.Call], None],
    ) -> None:
        self._calls, self._clock, self._schedule = calls, clock, schedule
        self._begin, self._abandon, self._release, self._remove = begin, abandon, release, remove
        self._pinged: set[model.Caller] = set()  # to be closed unless they answer

    # -- connections that open and close --------------------------------------------------------------
    def connected(self, caller: model.Caller) -> None:
        """A caller has connected, or has sent its first message: attach the calls that its host has lost.

        They are taken from another connection of the host too, which may be another client's.  A silent
        connection takes none from there on a front where a connection proves nothing.
        """
        speaks = caller.calls_outlive_connection or not caller.awaiting_first_message
        for call in self._calls.detached_from(caller):
            if call.caller is not caller and (speaks or not self._is_attached(call)):
                self._attach(call, caller)
        if caller.calls_outlive_connection:
            self.ping_earlier_connections(caller)

    def disconnected(self, caller: model.Caller) -> None:
        """A connection is lost: attach its calls to another one of its host, if there is one."""
        for call in self._calls.requested_by(caller):
            call.requested_on.remove(caller)
        for call in self._calls.for_caller(caller):
            if call.state is model.CallState.OPEN and not caller.calls_outlive_connection:
                self._abandon_unless_repeated(call, caller)
            elif call.release_cause is not None and not call.requested_on:
                self._end_released(call, call.release_cause)
            elif call.ping is not None and caller.has_answered_ping(call.ping):
                self._remove(call)  # what it was told last was received
            else:
                self._detach(call, caller)
        other = caller.other_connection()
        if other is not None:
            for call in self._calls.detached_from(caller):
                if not self._is_attached(call):
                    self._attach(call, self._waiting_connection(call) or other)

    def _abandon_unless_repeated(self, call: model.Call, caller: model.Caller) -> None:
        """Abandon a call whose caller has left; an attempt that is out goes on for a while.

        Its client may send the set-up once more, which must not run twice.
        """
        if call.attempt is None or call.attempt.epoch is None:
            self._abandon(call)
            return

        def abandon() -> None:
            if call.state is model.CallState.OPEN and call.caller is caller:
                self._abandon(call)

        self._schedule(self._clock.now_ms() + REPEAT_GRACE_MS, abandon)

    def _end_released(self, call: model.Call, cause: int) -> None:
        """End a call that was released on a connection other than the one lost now."""
        if call.state is model.CallState.OPEN:
            self._abandon(call)
        elif call.state is model.CallState.ESTABLISHED:
            self._release(call, cause)

    @staticmethod
    def _waiting_connection(call: model.Call) -> model.Caller | None:
        """A connection on which the call's set-up was repeated."""
        return next((one for one in reversed(call.requested_on) if one.is_reachable()), None)

    @staticmethod
    def _is_attached(call: model.Call) -> bool:
        return call.caller is not None and call.caller.is_reachable()

    def _detach(self, call: model.Call, caller: model.Caller) -> None:
        self._calls.detach(call, caller)
        if isinstance(call.undelivered, model.Ended) and call.expiry_timer is not None:
            call.expiry_timer.cancel()
            call.expiry_timer = self._schedule_drop(call, UNDELIVERED_END_TTL_MS)
        # An established call keeps it, as another connection of the host may be open when the call ends.
        if call.state is not model.CallState.ESTABLISHED:
            call.caller = None

    def _attach(self, call: model.Call, caller: model.Caller) -> None:
        """Attach a detached call, and deliver what its caller has missed."""
        if call.caller is not None:
            call.caller.detach(call.request.id)
        call.caller = caller
        logger.info(
            "call {call}: caller reconnected, call state {state}",
            event="caller-back",
            call=call.request.id,
            state=call.state.value,
        )
        caller.attach(call.request.id)
        self._resume(call)

    def _resume(self, call: model.Call) -> None:
        """Go on with a call whose client is back on its present connection."""
        if call.is_deferred:
            call.is_deferred = False
            self._begin(call)
        self.deliver_missed(call)

    def take_over(self, call: model.Call, caller: model.Caller) -> None:
        """Send the call's messages to a connection on which its set-up was repeated, from the outcome on."""
        if call.state is model.CallState.ESTABLISHED:
            call.undelivered = call.answer  # the repeated set-up shows that it was not received
        if call.caller is not None:
            call.caller.detach(call.request.id)
        call.caller = caller
        self._resume(call)

    def ping_earlier_connections(self, caller: model.Caller) -> None:
        """Find out whether the caller's earlier connections, if they have calls, are still alive."""
        earlier = {
            call.caller
            for call in self._calls.by_key.values()
            if call.caller is not None
            and call.caller is not caller
            and call.caller.calls_outlive_connection
            and call.caller.host == caller.host
            and call.caller.is_reachable()
        }
        for one in earlier - self._pinged:
            self._pinged.add(one)
            check = self._alive_check(one, one.ping(), one.messages_received)
            self._schedule(self._clock.now_ms() + PING_TIMEOUT_MS, check)

    def _alive_check(self, caller: model.Caller, ping: int, messages_received: int) -> Callable[[], None]:
        def check() -> None:
            self._pinged.discard(caller)
            if caller.has_answered_ping(ping) or caller.messages_received > messages_received:
                for call in self._calls.for_caller(caller):
                    call.release_cause = None  # its client lives, and has not released it
                return
            logger.info(
                "{peer}: closing: a ping is not answered, and its caller has connected again",
                event="caller-silent",
                peer=caller.name,
            )
            caller.close("ping not answered")

        return check

    # -- messages to callers --------------------------------------------------------------------------
    def notify(self, call: model.Call, message: model.CallerMessage) -> bool:
        """Deliver the message on a connection of the call's caller; if it has none, detach it: False."""
        caller = call.caller
        if caller is None:
            return False
        receiver = caller if caller.notify(message) else None
        if receiver is None and (isinstance(message, model.Ended) or caller.calls_outlive_connection):
            other = caller.other_connection()
            receiver = other if other is not None and other.notify(message) else None
        logger.debug(
            "call {call}: {outcome} sent to {peer}",
            event="caller-notified",
            call=call.request.id,
            outcome=type(message).__name__.lower(),
            peer=receiver.name if receiver is not None else "nobody",
        )
        if receiver is None:
            self._calls.detach(call, caller)
        call.caller = receiver
        if receiver is not None and receiver not in call.told_on:
            self._note_told(call, receiver)
        others = [one for one in call.requested_on if one not in (caller, receiver)]
        if isinstance(message, model.Ended):
            told = [one.notify(message) for one in others if one in call.told_on]
        else:
            told = [self.tell(call, one, message) for one in others]
        return receiver is not None or any(told)

    def _note_told(self, call: model.Call, receiver: model.Caller) -> None:
        call.told_on.append(receiver)
        if call.state is model.CallState.ENDED:
            self._calls.finished.add(call, self._clock.now_ms())

    def tell(self, call: model.Call, caller: model.Caller, outcome: model.CallerMessage) -> bool:
        """Send the outcome on a connection on which the call's set-up was repeated, once."""
        if caller in call.told_on or not caller.notify(outcome):
            return False
        self._note_told(call, caller)
        if call.caller is None:
            call.caller = caller
        return True

    def notify_end(self, call: model.Call, message: model.Ended) -> None:
        """Deliver the end of a call that was removed from the table, and keep it until that is confirmed."""
        ttl_ms = UNDELIVERED_END_TTL_MS
        if self.notify(call, message) and call.caller is not None:
            call.ping = call.caller.ping()
            if not call.caller.calls_outlive_connection:
                ttl_ms = END_RESET_WINDOW_MS
        self._calls.retain_end(call, message, self._schedule_drop(call, ttl_ms))

    def _schedule_drop(self, call: model.Call, ttl_ms: float) -> Timer:
        return self._schedule(self._clock.now_ms() + ttl_ms, lambda: self._drop_end(call))

    def deliver_missed(self, call: model.Call) -> None:
        """Deliver the outcome or end that the call's caller has missed, on its present connection."""
        message = call.undelivered
        if message is None or not self.notify(call, message):
            return
        if call.state is not model.CallState.ENDED:
            call.undelivered = None
        elif call.caller is not None and call.caller.calls_outlive_connection:
            call.ping = call.caller.ping()
        else:
            self._remove(call)

    def _drop_end(self, call: model.Call) -> None:
        """Forget the end of a call that its caller has not confirmed, or came for, in time."""
        if call.caller is None:
            logger.info(
                "call {call}: its caller did not come back for its end",
                event="end-undelivered",
                call=call.request.id,
            )
        self._remove(call)
