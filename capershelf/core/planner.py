"""The planner: an event loop on one thread that owns a Controller, the call table and the timers.

Other threads reach it through its inbox.  It translates events for the controller, executes the controller's
actions, ends each attempt exactly once and gives each call exactly one outcome.  The controller makes all
decisions, except where there is only one option (a lost link, an expired deadline, a caller that left).
"""

from __future__ import annotations

import dataclasses
import functools
import math
from collections import deque
from collections.abc import Callable, Iterable

from loguru import logger

from capershelf import interface
from capershelf.control import Controller
from capershelf.core import model
from capershelf.core.attempt_gate import AttemptGate
from capershelf.core.call_ownership import CallOwnership
from capershelf.core.call_table import CallTable
from capershelf.core.caller_connections import REPEAT_GRACE_MS, CallerConnections
from capershelf.core.clock import Clock, Inbox
from capershelf.core.list_gate import ListGate
from capershelf.core.lost_connections import LostConnections
from capershelf.core.probes import Probes
from capershelf.core.silence_watch import SilenceWatch
from capershelf.core.timers import Timer, Timers

# Time reserved for delivering an outcome before the caller's deadline.
DEADLINE_MARGIN_MS = 15.0
# Calls established at a server that stays disconnected this long are ended as interrupted.
DISCONNECT_GRACE_MS = 4000.0
# Calls established at a server are ended as interrupted this long after it was removed from the list.
REMOVAL_GRACE_MS = 1000.0
# How long an attempt that was reset may still be answered: a replaced connection is read to its end.
LATE_ANSWER_MS = 2000.0
# Token of pings whose answer only has to arrive; that of no probe.
SIGN_OF_LIFE_TOKEN = "0" * 16
# Call ids listed in one log line.
MAX_LOGGED_CALLS = 20
# Interval between reviews of the subset's members.
SUBSET_REVIEW_INTERVAL_MS = 100.0


class Planner:
    """Handles the calls assigned to it, on its own thread."""

    def __init__(
        self, settings: interface.Settings, seed: int, clock: Clock, connect_ms: float, name: str = "planner"
    ) -> None:
        self.name = name
        self.clock = clock
        self.inbox: Inbox[model.Event] = Inbox(clock)
        self.servers: model.ServerLinks
        self.memory: model.Memory | None = None  # optional, enabled in the operator's configuration
        self.subset: model.Subset | None = None  # optional; without it, all listed servers are connected to
        self._settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        self._controller = Controller(settings, seed)
        self._connect_ms = connect_ms
        self.calls = CallTable()
        self._server_states: dict[str, model.ServerState] = {}
        self._probes = Probes()
        self._controller_events: deque[interface.Event] = deque()
        self._timers = Timers()
        self._stop: model.Stop | None = None
        self._pending_updates: deque[model.ServerListUpdate] = deque()  # handled before the inbox
        self.list_gate = ListGate(clock, self.schedule, self.has_pending_updates, self._resume_held_attempts)
        self._callers = CallerConnections(
            self.calls,
            clock,
            self.schedule,
            self._begin,
            self._abandon,
            self._release_established,
            self._remove_call,
        )
        self._ownership = CallOwnership(self._callers, clock, self.schedule, self._set_up_held)
        self._silence_watch = SilenceWatch(clock, self.schedule, self)
        self._lost_connections = LostConnections(clock, self.schedule, self)
        self._list_version = 0
        # Number of set-ups that sessions have accepted and that have had no outcome yet.
        self.pending_set_ups: Callable[[], int] = lambda: 0
        self._now_ms = 0.0

    # -- event loop -----------------------------------------------------------------------------------
    def run(self) -> None:
        """Run the event loop until a stop was requested and no work is left."""
        if self.memory is not None:
            self._collect_learned()
        if self.subset is not None:
            self._review_subset()
        while not self.finished():
            self.step()

    def submit_update(self, update: model.ServerListUpdate) -> None:
        """Submit a server list update.  Thread-safe.

        Updates bypass the inbox, so that with a long backlog the planner knows which servers are draining
        before it sends any queued set-up.
        """
        self._pending_updates.append(update)
        self.inbox.wake()

    def step(self) -> None:
        """Handle one event, or wait until the next timer is due; then run the due timers."""
        event = self.inbox.take(self._timers.next_ms)
        while self._pending_updates:
            self._handle_safely(self._pending_updates.popleft())
        if event is not None:
            self._handle_safely(event)
        for timer in self._timers.pop_due(self.clock.now_ms()):
            try:
                timer.fire()
            except Exception:  # as in _handle_safely
                logger.exception("{planner}: timer callback failed", event="timer-fault", planner=self.name)

    def _handle_safely(self, event: model.Event) -> None:
        try:
            self.handle(event)
        except Exception:  # one bad event must not end the planner's thread
            logger.exception(
                "{planner}: failed to handle event {what}",
                event="planner-fault",
                planner=self.name,
                what=type(event).__name__,
            )

    def finished(self) -> bool:
        """Whether the planner may exit: a stop was requested, and its work is done or out of time."""
        if self._stop is None or self.calls.open_count or not self.inbox.empty():
            return False
        if self.pending_set_ups() and self.clock.now_ms() < self._stop.answer_by_ms:
            return False  # an accepted set-up has not reached this planner yet
        # Undelivered ends do not delay the exit: no new caller can connect to receive them.
        return self.calls.all_ended() or self.clock.now_ms() >= self._stop.end_by_ms

    def schedule(self, when_ms: float, fire: Callable[[], None]) -> Timer:
        """Run the callback on the planner's thread at the given time."""
        return self._timers.schedule(when_ms, fire)

    def handle(self, event: model.Event) -> None:
        """Handle one event from the inbox."""
        match event:
            case model.SetUpReceived():
                self._set_up(event.request, event.caller)
            case model.CallerReleased():
                self._caller_released(event)
            case model.CallerConnected():
                self._callers.connected(event.caller)
            case model.CallerDisconnected():
                self._callers.disconnected(event.caller)
            case model.CallerRejected(caller, done):
                self._caller_rejected(caller)
                done()
            case model.ServerAnswered():
                self._server_answered(event)
            case model.ServerReleased():
                self._server_released(event)
            case model.SetUpDropped(key, attempt):
                if (call := self.calls.by_key.get(key)) is not None and call.attempt is attempt:
                    self._set_up_dropped(call)
            case model.ServerReported():
                self._server_reported(event)
            case model.LinkUp():
                self._link_up(event)
            case model.LinkDown():
                self._link_down(event)
            case model.ServerListUpdate():
                self._list_updated(event)
            case model.ApplySettings():
                self._apply_settings(event)
            case model.QueryOpenClasses(callback):
                callback({call.request.call_class for call in self.calls.open_calls()})
            case model.InboxBarrier(callback):
                callback()
            case model.Stop():
                self._stop = event
                self.schedule(event.end_by_ms, lambda: None)
                self.schedule(event.answer_by_ms, self._answer_open_calls)
                self.save_learned()  # now, as the process may be killed before the shutdown completes

    # -- callers --------------------------------------------------------------------------------------
    def _set_up_held(self, request: model.SetUp, caller: model.Caller) -> None:
        """Handle a set-up that was held until the connection of its call could have closed."""
        self._set_up(request, caller, may_hold=False)

    def _set_up(self, request: model.SetUp, caller: model.Caller, may_hold: bool = True) -> None:
        known = self.calls.by_key.get(request.key)
        if known is not None and not self._abandon_if_caller_left(known, request, caller):
            self._ownership.repeat(known, request, caller, may_hold)
            return
        now_ms = self.clock.now_ms()
        finished = self.calls.finished.find(request.key, now_ms)
        if finished is not None and self._ownership.repeat_finished(finished, request, caller):
            return
        if request.call_class not in self._classes:
            logger.warning(
                "call {call}: unknown class {call_class!r}",
                event="class-unknown",
                call=request.id,
                call_class=request.call_class,
            )
            caller.notify(model.Failed(request.id, model.CAUSE_INVALID))
            return
        call = self.calls.add(request, caller)
        # Guarantees an outcome by the deadline, whatever the controller does.
        call.expiry_timer = self.schedule(request.expires_ms, lambda: self._expire(call))
        call.is_deferred = caller.calls_outlive_connection and not caller.is_reachable()
        if not call.is_deferred:
            self._begin(call)

    def _begin(self, call: model.Call) -> None:
        """Give a new call to the controller."""
        request = call.request
        expires_ms = max(self.clock.now_ms(), request.expires_ms - DEADLINE_MARGIN_MS)
        self._notify_controller(
            interface.NewCall(
                request.key,
                expires_ms,
                request.call_class,
                request.preferred_pool,
                request.number,
                None,
                request.width,
            )
        )

    def _abandon_if_caller_left(self, call: model.Call, request: model.SetUp, caller: model.Caller) -> bool:
        """Abandon an open call if its caller has disconnected and its set-up is not this one.

        Returns whether it did.  The same set-up, sent again on a new connection, is the same call if an
        attempt is out, which must not run twice, and a new one otherwise.
        """
        previous_caller = call.caller
        if (
            caller.calls_outlive_connection
            or call.state is not model.CallState.OPEN
            or previous_caller is None
            or previous_caller is caller
            or (previous_caller.is_waiting(call.request.id))
        ):
            return False
        is_out = call.attempt is not None and call.attempt.epoch is not None
        if is_out and self._ownership.is_repetition(call, request, caller):
            return False
        self._abandon(call)
        return True

    def _caller_released(self, event: model.CallerReleased) -> None:
        call = self.calls.find(event.id)
        if call is None or call.state is model.CallState.ENDED:
            return
        if not self._ownership.release(call, event.caller, event.cause):
            return
        if call.state is model.CallState.OPEN:
            self._abandon(call)
        else:
            self._release_established(call, event.cause)
            if event.caller is not call.caller:
                event.caller.call_ended(event.id)

    def _release_established(self, call: model.Call, cause: int) -> None:
        """End an established call that its client has released."""
        self._release(call.server, call.request.id, cause)
        self._end_established(call, interface.Result.OK)

    def _caller_rejected(self, caller: model.Caller) -> None:
        """Give the open set-ups of a caller that will be disconnected their outcome."""
        self._ownership.reject_held(caller)
        for call in self.calls.open_calls():
            if call.caller is not caller and caller not in call.requested_on:
                continue
            failed = model.Failed(call.request.id, model.CAUSE_INVALID)
            if call.caller is not caller or self._ownership.hand_over(call):
                if caller in call.requested_on:
                    call.requested_on.remove(caller)
                caller.notify(failed)
            else:
                self._abandon(call)
                self._callers.notify(call, failed)

    def _abandon(self, call: model.Call, result: interface.Result = interface.Result.CANCELLED) -> None:
        """End an open call that its caller gave up or whose deadline has passed, and cancel its attempt."""
        self.calls.claim_outcome(call)
        key, was_sent = call.request.key, call.attempt is not None and call.attempt.epoch is not None
        self._end_attempt(call, result, call_finished=True)
        if was_sent:
            gap_end_ms = self.clock.now_ms() + self._settings.release_ms
            self.schedule(gap_end_ms, self.calls.start_release_gap(key, gap_end_ms))
        if not call.is_deferred:
            self._notify_controller(interface.CallAbandoned(key))
        self._remove_call(call)
        if call.caller is not None:
            call.caller.call_ended(call.request.id)

    def _expire(self, call: model.Call) -> None:
        """Handle the caller's deadline."""
        if call.state is model.CallState.OPEN:
            logger.warning(
                "call {call}: no outcome by its deadline", event="call-expired", call=call.request.id
            )
            if call.attempt is not None:
                self._note_unanswered(call.attempt)
            self._abandon(call, interface.Result.TIMEOUT)
            self._callers.notify(call, model.Refused(call.request.id))
        else:
            self._release_undelivered(call)

    def _release_undelivered(self, call: model.Call) -> None:
        """Release an established call whose caller has not come for the answer."""
        if call.state is model.CallState.ESTABLISHED and isinstance(call.undelivered, model.Answered):
            self._release_established(call, model.CAUSE_NORMAL)

    def _answer_open_calls(self) -> None:
        """Give every open call an outcome: the process may be killed at any time from now on."""
        for call in self.calls.open_calls():
            self._expire(call)

    def _end_without_answer(self, call: model.Call, message: model.Refused | model.Failed) -> None:
        """End the call with a negative outcome, kept until the call's deadline if it cannot be delivered."""
        if not self.calls.claim_outcome(call):
            return
        self.calls.rejected_count += 1
        logger.debug(
            "call {call}: {outcome} after {attempts} attempts",
            event="call-rejected",
            call=call.request.id,
            outcome=type(message).__name__.lower(),
            attempts=call.attempts,
        )
        self._remove_call(call)
        if not self._callers.notify(call, message):
            self.calls.retain_undelivered(
                call, message, self.schedule(call.request.expires_ms, lambda: self._remove_call(call))
            )

    # -- booking servers ------------------------------------------------------------------------------
    def _server_answered(self, event: model.ServerAnswered) -> None:
        now_ms = self.clock.now_ms()
        call = self.calls.find(event.id)
        attempt = call.attempt if call is not None else None
        # An attempt that is still waiting for a connection cannot have been answered: the answer belongs to
        # an earlier attempt.
        sent_there = attempt is not None and attempt.server == event.server and attempt.epoch is not None
        # Attempts on a replaced connection have already been ended as reset.
        is_current = sent_there and not event.on_replaced_connection
        if call is None:
            # The call is unknown, or was released at the server when it ended here.  But if the attempt was
            # reset and its connection read to the end, the server does not know that the call is abandoned.
            if self.calls.was_reset_at(event.id, event.server):
                self._release(event.server, event.id, model.CAUSE_NORMAL)
            return
        if attempt is None or not is_current:
            # If sent_there, this answers an earlier attempt at the same server, on a replaced connection:
            # a release by call id would end the current attempt.
            if not sent_there and (
                call.state is not model.CallState.ESTABLISHED or call.server != event.server
            ):
                # The attempt was given up while the answer was in transit: without a release, the server
                # would keep an established call without a caller.
                self._release(event.server, event.id, model.CAUSE_NORMAL)
            return
        if self.servers.is_queued(event.server, event.id):
            # The answer is to an earlier attempt, whose release was sent when it was abandoned.
            return
        attempt.end()
        call.attempt = None
        if not self.calls.claim_outcome(call):
            return
        call.state = model.CallState.ESTABLISHED
        call.server, call.established_ms, call.was_established = event.server, now_ms, True
        self._silence_watch.watch(event.server)
        logger.debug(
            "call {call}: established at {server}", event="call-stands", call=event.id, server=event.server
        )
        call.answer = model.Answered(event.id, event.description)
        caller = call.caller
        if not self._callers.notify(call, call.answer):
            call.undelivered = call.answer
        self._notify_controller(
            interface.AttemptSucceeded(
                call.request.key, attempt.number, event.server, now_ms - attempt.sent_ms
            )
        )
        if event.report is not None:
            self._notify_controller(
                interface.ServerReport(event.server, interface.Result.OK, event.report, False)
            )
        if call.undelivered is not None and caller is not None and not caller.calls_outlive_connection:
            # Its caller can't reconnect for it, but may send the set-up once more.
            self.schedule(now_ms + REPEAT_GRACE_MS, lambda: self._release_undelivered(call))

    def _server_released(self, event: model.ServerReleased) -> None:
        call = self.calls.find(event.id)
        if call is None:
            return
        if call.state is model.CallState.ESTABLISHED and call.server == event.server:
            if not event.on_replaced_connection:
                self._lost_connections.confirm(event.server, call)
            result = interface.Result.RESET if event.cause == model.CAUSE_INTERRUPTED else interface.Result.OK
            self._end_established(call, result, event.cause, event.report)
        elif (
            (attempt := call.attempt) is not None
            and attempt.server == event.server
            and attempt.epoch is not None
            and (not event.on_replaced_connection)
        ):
            if event.cause == model.CAUSE_NORMAL:
                self._completed_before_answer(call, event)
                return
            call.last_ended_server, call.last_ended_ms = event.server, self.clock.now_ms()
            self._end_attempt(call, event.result, event.reason, event.report)

    def _completed_before_answer(self, call: model.Call, event: model.ServerReleased) -> None:
        """The server ended the call normally before its answer arrived here (lost or delayed).

        The call was served: the caller is notified of its end, and it is not retried at another server.
        """
        self._end_attempt(call, interface.Result.ERROR, report=event.report, call_finished=True)
        self._end_without_answer(call, model.Failed(call.request.id, model.CAUSE_NORMAL))

    def _server_reported(self, event: model.ServerReported) -> None:
        if event.token and self._probes.end(event.token) is None:
            return
        result = interface.Result.OK if event.passed else interface.Result.ERROR
        self._notify_controller(interface.ServerReport(event.server, result, event.report, bool(event.token)))

    def _end_established(
        self,
        call: model.Call,
        result: interface.Result,
        notify_cause: int | None = None,
        report: interface.LoadReport | None = None,
    ) -> None:
        """End an established call; notify_cause is set unless the caller itself ended it."""
        call.state = model.CallState.ENDED
        server, number = call.server, call.attempts - 1
        logger.debug(
            "call {call}: ended at {server}: {result}",
            event="call-over",
            call=call.request.id,
            server=server,
            result=result.value,
        )
        self._remove_call(call)
        if notify_cause is not None:
            self._callers.notify_end(call, model.Ended(call.request.id, notify_cause))
        elif call.caller is not None:
            call.caller.call_ended(call.request.id)
        self._notify_controller(
            interface.AttemptEnded(call.request.key, number, server, result, True, report=report)
        )

    def _end_attempt(
        self,
        call: model.Call,
        result: interface.Result,
        reason: interface.RefusalReason = interface.RefusalReason.UNSPECIFIED,
        report: interface.LoadReport | None = None,
        call_finished: bool = False,
    ) -> None:
        """End the call's current attempt, unless that has happened already."""
        attempt = call.attempt
        if attempt is None or attempt.ended:
            return
        attempt.end()
        call.attempt = None
        key, now_ms = call.request.key, self.clock.now_ms()
        if (server := self._server_states.get(attempt.server)) is not None:
            server.calls.pop(key, None)
        if attempt.epoch is not None and result in (
            interface.Result.TIMEOUT,
            interface.Result.RESET,
            interface.Result.CANCELLED,
        ):
            call.not_before_ms = now_ms + self._settings.release_ms
        if attempt.epoch is not None and result is interface.Result.RESET:
            self.schedule(now_ms + LATE_ANSWER_MS, self.calls.record_reset(key, attempt.server))
            if server is not None and server.epoch is None:
                # The server may have answered it: the answer was lost with the connection.
                server.pending_releases[call.request.id] = model.CAUSE_NORMAL
        logger.debug(
            "call {call}: attempt {attempt} at {server} ended: {result}",
            event="attempt-over",
            call=call.request.id,
            attempt=attempt.number,
            server=attempt.server,
            result=result.value,
        )
        if (
            attempt.epoch is not None
            and result in (interface.Result.TIMEOUT, interface.Result.CANCELLED)
            and (
                # Withdraw first: an unwritten set-up must not be sent once the call is at another server.
                call.request.id not in self.servers.withdraw(attempt.server, call.request.id)
            )
        ):
            self._release(attempt.server, call.request.id, model.CAUSE_NORMAL)
        self._notify_controller(
            interface.AttemptEnded(
                call.request.key, attempt.number, attempt.server, result, call_finished, reason, None, report
            )
        )

    def _remove_call(self, call: model.Call) -> None:
        """Remove the call from the call table and from its servers."""
        self.calls.remove(call, self.clock.now_ms())
        for server_id in {call.server, call.attempt.server if call.attempt else ""}:
            if (server := self._server_states.get(server_id)) is not None:
                server.calls.pop(call.request.key, None)
                self._disconnect_if_drained(server)

    def _release(self, server_id: str, call_id: str, cause: int) -> None:
        """Send a release now, or on the next connection, so that no server keeps an abandoned call.

        A draining server accepts no new connection, so nothing is queued for it.
        """
        server = self._server_states.get(server_id)
        if server is None or server.epoch is not None or server.removed or server.draining:
            self.servers.release(server_id, call_id, cause)
            return
        server.pending_releases[call_id] = cause
        self._mark_link_closed(self.servers.connect(server_id))

    # -- links ----------------------------------------------------------------------------------------
    def _link_up(self, event: model.LinkUp) -> None:
        if (server := self._server_states.get(event.server)) is None:
            return
        server.epoch, server.disconnected_ms, server.link_failed = event.epoch, math.inf, False
        pending, server.pending_releases = server.pending_releases, {}
        for call_id, cause in pending.items():
            self.servers.release(server.id, call_id, cause)
        if event.replaces_broken:
            self._notify_controller(interface.ConnectionReplaced(event.server))
        for call in list(server.calls.values()):
            if call.attempt is not None and call.attempt.epoch is None and call.state is model.CallState.OPEN:
                self._dispatch(call, call.attempt, server)

    def _link_down(self, event: model.LinkDown) -> None:
        if (server := self._server_states.get(event.server)) is None:
            return
        now_ms = self.clock.now_ms()
        server.link_failed |= event.epoch is None or event.epoch == server.epoch
        if event.epoch is not None and event.epoch == server.epoch:
            server.epoch = None
            server.disconnected_ms = now_ms
            self.schedule(now_ms + DISCONNECT_GRACE_MS, lambda: self._interrupt_if_unreachable(server))
            self._lost_connections.connection_lost(server.id, min(event.last_message_ms, now_ms))
            if server.calls:
                # Reconnect at once: a refused connect proves that the process died, but only until another
                # process listens at the address.
                self._mark_link_closed(self.servers.connect(server.id))
        for call in list(server.calls.values()):
            attempt = call.attempt
            if attempt is not None and call.state is model.CallState.OPEN:
                if event.epoch is not None and attempt.epoch == event.epoch:
                    self._end_attempt(call, interface.Result.RESET)
                elif event.epoch is None and attempt.epoch is None:
                    self._end_attempt(call, interface.Result.NO_CONNECTION)
        if event.refused:
            # Nothing listens there: the process died, and its calls are lost.
            self._interrupt_established(server, "connection refused")
            server.pending_releases.clear()

    def has_established(self, server_id: str) -> bool:
        """Whether calls are established at the server."""
        return bool(self.established_at(server_id))

    def established_at(self, server_id: str) -> list[model.Call]:
        """The calls established at the server."""
        server = self._server_states.get(server_id)
        return self._established_calls(server) if server is not None else []

    @staticmethod
    def _established_calls(server: model.ServerState) -> list[model.Call]:
        return [call for call in server.calls.values() if call.state is model.CallState.ESTABLISHED]

    def last_sign_of_life_ms(self, server_id: str) -> float:
        """When the server last showed that it handles calls.

        Its load reports show that as long as no attempt there has remained unanswered, but the one that
        begins each connection does not.  Where pings are not allowed, reports are all that can be asked for,
        and a draining server may send none: that it refuses a second connection shows that it has not ended,
        as the first one would have been reset.
        """
        signs = self.servers.signs_of_life(server_id)
        server = self._server_states[server_id]
        if not self._settings.may_probe:
            return max(signs.message_ms, signs.refusal_ms) if server.draining else signs.message_ms
        if server.unanswered_ms > signs.response_ms:
            return signs.response_ms
        return signs.after_first_report_ms

    def _note_unanswered(self, attempt: model.Attempt) -> None:
        """An attempt ends because its server has not answered it in time."""
        server = self._server_states.get(attempt.server)
        if server is not None and attempt.epoch is not None:
            server.unanswered_ms = self.clock.now_ms()
            self._silence_watch.check(server.id)

    def request_sign_of_life(self, server_id: str) -> None:
        """Ping the server; where that is not allowed connect anew, as it reports on each new connection."""
        server = self._server_states[server_id]
        if server.epoch is None:
            return  # a connection to it is being made already
        if self._settings.may_probe:
            self.servers.probe(server_id, server.epoch, SIGN_OF_LIFE_TOKEN)
        else:
            self.servers.replace_connection(server_id)

    def interrupt_silent(self, server_id: str) -> None:
        """End the calls established at a server that gives no sign of life, and release them there."""
        server = self._server_states[server_id]
        self._interrupt_and_release(server, "no sign of life", self._established_calls(server))

    def interrupt_unconfirmed(self, server_id: str, calls: Iterable[model.Call]) -> None:
        """End calls at a server whose process may be another one since its connection was lost."""
        self._interrupt_and_release(
            self._server_states[server_id], "not confirmed after a lost connection", calls
        )

    def _interrupt_and_release(
        self, server: model.ServerState, reason: str, calls: Iterable[model.Call]
    ) -> None:
        """End calls that the server may still have, and release them there."""
        interrupted = list(calls)
        self._interrupt(server, reason, interrupted)
        for call in interrupted:
            self._release(server.id, call.request.id, model.CAUSE_INTERRUPTED)

    def _interrupt_if_unreachable(self, server: model.ServerState) -> None:
        """End the calls at a server that has stayed disconnected too long, as it may have died silently."""
        if server.epoch is None and self.clock.now_ms() - server.disconnected_ms >= DISCONNECT_GRACE_MS - 1.0:
            calls = self._established_calls(server)
            self._interrupt_established(server, "no connection")
            # If it was only cut off, it still has the calls when it is reached again.
            for call in calls:
                server.pending_releases[call.request.id] = model.CAUSE_INTERRUPTED

    def _interrupt_established(
        self, server: model.ServerState, reason: str, established_before_ms: float = math.inf
    ) -> None:
        """End the calls established at the server before that time as interrupted, and log why."""
        interrupted = [
            call for call in self._established_calls(server) if call.established_ms < established_before_ms
        ]
        self._interrupt(server, reason, interrupted)

    def _interrupt(self, server: model.ServerState, reason: str, interrupted: list[model.Call]) -> None:
        """End these calls as interrupted, and log why."""
        if not interrupted:
            return
        logger.warning(
            "{planner}: {count} calls established at {server} interrupted: {reason}",
            event="calls-interrupted",
            planner=self.name,
            server=server.id,
            reason=reason,
            count=len(interrupted),
            calls=[call.request.id for call in interrupted[:MAX_LOGGED_CALLS]],
        )
        for call in interrupted:
            self._end_established(call, interface.Result.RESET, model.CAUSE_INTERRUPTED)

    def _list_updated(self, event: model.ServerListUpdate) -> None:
        if self.subset is None:
            self._apply_list(event)
            return
        retained = event.retained if event.complete else None
        update = self.subset.update_list(self.clock.now_ms(), event.servers, retained)
        self._apply_subset_update(event, update)

    def _apply_subset_update(self, event: model.ServerListUpdate, update: model.SubsetUpdate) -> None:
        """Apply the subset's changes as if they were a list update."""
        self._apply_list(
            dataclasses.replace(event, complete=False, servers=update.servers, retained=frozenset())
        )
        for server_id in update.urgent:
            self._mark_link_closed(self.servers.connect(server_id))

    def _review_subset(self) -> None:
        """Periodically add substitutes for unavailable members and remove them once those recover."""
        if self.subset is None:
            return
        now_ms = self.clock.now_ms()
        update = self.subset.review(now_ms, self._is_unavailable, self._is_unused)
        if update.servers:
            self._apply_subset_update(model.ServerListUpdate(self._list_version, False, ()), update)
        self.schedule(now_ms + SUBSET_REVIEW_INTERVAL_MS, self._review_subset)

    def _is_unavailable(self, server_id: str) -> bool:
        """Whether the server is unreachable, or the controller has ejected it."""
        server = self._server_states.get(server_id)
        if server is None or server.link_failed:
            return True
        learned = self._controller.learned(server_id)
        return learned is not None and learned.ejected

    def _is_unused(self, server_id: str) -> bool:
        """Whether the server has no attempts, no established calls and no pending releases."""
        server = self._server_states.get(server_id)
        return server is None or not (server.calls or server.pending_releases)

    def _apply_list(self, event: model.ServerListUpdate) -> None:
        """Apply a list update to the server states and links, and pass it on to the controller."""
        self._list_version = max(self._list_version, event.version)
        named = {located.listed.server for located in event.servers} | event.retained
        for located in event.servers:
            listed = located.listed
            server = self._server_states.get(listed.server)
            if server is not None:
                server.draining = listed.status is not interface.ServerStatus.ACTIVE
            if listed.status is interface.ServerStatus.REMOVED:
                if server is not None:
                    self._server_removed(server)
            elif not located.endpoint:
                continue  # draining, and the rest of its entry could not be read
            elif server is None or server.removed or server.endpoint != located.endpoint:
                self._replace_address_owner(located.endpoint, listed.server)
                if server is None:
                    server = self._server_states[listed.server] = model.ServerState(
                        listed.server, located.endpoint
                    )
                    server.draining = listed.status is not interface.ServerStatus.ACTIVE
                server.endpoint, server.removed = located.endpoint, False
                last_message_ms = self.servers.signs_of_life(server.id).message_ms
                self.servers.open(listed.server, located.endpoint)
                if server.epoch is not None:  # a replaced link does not report the end of its connection
                    self._link_down(model.LinkDown(server.id, server.epoch, last_message_ms=last_message_ms))
            if server is not None and listed.started_ms is not None and listed.started_ms > server.started_ms:
                self._server_restarted(server, listed.started_ms)
        if event.complete:
            for server in list(self._server_states.values()):
                if server.id not in named:
                    server.draining = True
                    self._server_removed(server)
        if self.memory is not None and (known := self.memory.recall(event, self.clock.now_ms())) is not None:
            self._notify_controller(known)
        servers, complete = tuple(s.listed for s in event.servers), event.complete
        if complete and event.retained:  # converted to changes for the controller
            removed = [server.id for server in self._server_states.values() if server.id not in named]
            servers += tuple(
                interface.ListedServer(server_id, -1, interface.ServerStatus.REMOVED) for server_id in removed
            )
            complete = False
        self._notify_controller(interface.ServerList(event.version, complete, servers))
        for server in [server for server in self._server_states.values() if server.draining]:
            self._withdraw_unwritten(server)

    def _withdraw_unwritten(self, server: model.ServerState) -> None:
        """Withdraw the set-ups to a draining server of which no byte is written, for another server to take.

        Applies to set-ups that are waiting for a connection as well as to those in the write queue.
        """
        unwritten = self.servers.withdraw(server.id)
        for call in list(server.calls.values()):
            attempt = call.attempt
            if (
                attempt is not None
                and call.state is model.CallState.OPEN
                and (attempt.epoch is None or call.request.id in unwritten)
            ):
                self._end_attempt(call, interface.Result.NOT_SENT)
        self._disconnect_if_drained(server)

    def _server_restarted(self, server: model.ServerState, started_ms: float) -> None:
        """The server's process was restarted: calls established before its start are lost.

        Without this, their callers would never learn of it if the host was cut off from the network during
        the restart: no connect was refused, and the new process does not know the calls.
        """
        server.started_ms = started_ms
        self._interrupt_established(server, "restarted", started_ms)

    def _replace_address_owner(self, endpoint: str, new_id: str) -> None:
        """Drop any other server listed at this address, so that its calls are not sent to the new one."""
        for server in [
            state
            for state in self._server_states.values()
            if state.endpoint == endpoint and state.id != new_id
        ]:
            logger.info(
                "{planner}: server {server} has taken over the address of {before}",
                event="address-taken",
                planner=self.name,
                server=new_id,
                before=server.id,
            )
            server.removed, server.epoch = True, None
            del self._server_states[server.id]
            self.servers.close(server.id)
            self._interrupt_established(server, "address taken over")
            for call in list(server.calls.values()):
                self._end_attempt(call, interface.Result.RESET)
            server.calls.clear()

    def _server_removed(self, server: model.ServerState) -> None:
        """The server was removed from the list: drop it once the grace period is over and it has no calls."""
        if server.removed:
            return
        server.removed = True

        def drop() -> None:
            if server.removed:
                self._interrupt_established(server, "removed from the list")
                if server.calls:  # attempts in progress end by their own deadlines
                    self.schedule(self.clock.now_ms() + REMOVAL_GRACE_MS, drop)
                    return
                if self._server_states.get(server.id) is server:
                    self.servers.close(server.id)
                    del self._server_states[server.id]

        self.schedule(self.clock.now_ms() + REMOVAL_GRACE_MS, drop)

    # -- learned state and settings -------------------------------------------------------------------
    def _collect_learned(self) -> None:
        """Collect learned state for the memory, and reschedule."""
        if self.memory is not None:
            now_ms = self.clock.now_ms()
            self.schedule(
                self.memory.collect(self._controller, now_ms, everything=False), self._collect_learned
            )

    def save_learned(self) -> None:
        """Hand all learned state to the memory: on SIGTERM, and after the planner's thread has ended."""
        if self.memory is not None:
            self.memory.collect(self._controller, self.clock.now_ms(), everything=True)

    def _apply_settings(self, event: model.ApplySettings) -> None:
        """Switch settings between two events, so that no call sees a mix of old and new."""
        self._settings, self._connect_ms = event.settings, event.connect_ms
        self._classes = {kind.name: kind for kind in event.settings.classes}
        self._notify_controller(interface.SettingsChanged(event.settings))
        event.done()

    # -- controller -----------------------------------------------------------------------------------
    def _notify_controller(self, event: interface.Event) -> None:
        """Pass an event to the controller and execute its actions; events raised by these are queued."""
        self._controller_events.append(event)
        if len(self._controller_events) > 1:
            return
        while self._controller_events:
            try:
                # The controller requires a monotonic clock.
                self._now_ms = max(self._now_ms, self.clock.now_ms())
                for action in self._controller.handle(self._now_ms, self._controller_events[0]):
                    self._execute_safely(action)
            except Exception:  # the calls still get their outcomes: the planner keeps their deadlines
                logger.exception(
                    "{planner}: controller failed to handle {what}",
                    event="module-fault",
                    planner=self.name,
                    what=self._controller_events[0],
                )
            finally:
                done = self._controller_events.popleft()
            if self.memory is not None and isinstance(
                done, interface.AttemptSucceeded | interface.AttemptEnded | interface.ServerReport
            ):
                self.memory.mark_changed(done.server)

    def _execute_safely(self, action: interface.Action) -> None:
        """Execute one action; a failure must not skip those after it, such as the controller's timer."""
        try:
            self._execute(action)
        except Exception:
            logger.exception(
                "{planner}: failed to execute {what}",
                event="action-fault",
                planner=self.name,
                what=action,
            )

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.Send(key, server_id, timeout_ms, begin_by_ms):
                self._start_attempt(key, server_id, timeout_ms, begin_by_ms)
            case interface.Refuse(key, retry_after_ms):
                if (call := self.calls.by_key.get(key)) is not None:
                    self._end_without_answer(call, model.Refused(call.request.id, retry_after_ms))
            case interface.Fail(key):
                if (call := self.calls.by_key.get(key)) is not None:
                    self._end_without_answer(call, model.Failed(call.request.id))
            case interface.Cancel(key, number):
                call = self.calls.by_key.get(key)
                if call is not None and call.attempt is not None and call.attempt.number == number:
                    self._note_unanswered(call.attempt)
                    self._end_attempt(call, interface.Result.CANCELLED)
            case interface.Probe(server_id):
                self._probe(server_id)
            case interface.SetTimer(delay_ms, name):
                self.schedule(
                    self.clock.now_ms() + delay_ms,
                    lambda: self._notify_controller(interface.TimerFired(name)),
                )
            case interface.Log(text, server):
                logger.info(
                    "{planner}: {text}", event="decision", planner=self.name, server=server, text=text
                )

    def _start_attempt(self, key: int, server_id: str, timeout_ms: float, begin_by_ms: float) -> None:
        """Start an attempt: dispatch it now, or when the server's link is connected."""
        now_ms = self.clock.now_ms()
        call = self.calls.by_key.get(key)
        server = self._server_states.get(server_id)
        if call is None or call.state is not model.CallState.OPEN or call.attempt is not None:
            raise RuntimeError(f"call {key:016x} is not open or already has an attempt in progress")
        deadline_ms = min(now_ms + timeout_ms, call.request.expires_ms)
        connect_by_ms = min(deadline_ms, now_ms + self._connect_ms)
        started_ms = server.started_ms if server is not None else -math.inf
        attempt = model.Attempt(
            call.attempts, server_id, now_ms, deadline_ms, connect_by_ms, begin_by_ms, started_ms
        )
        call.attempt = attempt
        call.attempts += 1
        attempt.timers.append(self.schedule(deadline_ms, lambda: self._attempt_timed_out(call, attempt)))
        if server is None:
            self._end_attempt(call, interface.Result.NO_CONNECTION)
            return
        if server.draining:  # enforced here too, whatever the controller decides
            self._end_attempt(call, interface.Result.NOT_SENT)
            return
        server.calls[key] = call
        if server.epoch is not None:
            self._dispatch(call, attempt, server)
        else:
            attempt.timers.append(
                self.schedule(connect_by_ms, lambda: self._connect_timed_out(call, attempt))
            )
            self._mark_link_closed(self.servers.connect(server_id))

    def is_idle(self, server_id: str) -> bool:
        """Whether the server has no attempts and no established calls."""
        return (server := self._server_states.get(server_id)) is None or not server.calls

    def _mark_link_closed(self, server_id: str) -> None:
        """Record that the server's link was closed: the next set-up there waits until it is reconnected."""
        if (server := self._server_states.get(server_id)) is not None:
            server.epoch, server.disconnected_ms = None, math.inf

    def _disconnect_if_drained(self, server: model.ServerState) -> None:
        """Disconnect a draining server without calls, to avoid pointless reconnects from the whole fleet."""
        if server.draining and not server.calls:
            self.servers.disconnect(server.id)
            self._mark_link_closed(server.id)

    def has_pending_updates(self) -> bool:
        """Whether a list update has not been handled yet.  Thread-safe."""
        return bool(self._pending_updates)

    def earliest_begin_ms(self, call: model.Call, server_id: str) -> float:
        """The earliest time at which an attempt of the call may begin at the server.  Thread-safe.

        The release gap also applies after the server itself ended an attempt: a duplicate of that release
        would otherwise end the next attempt there, and the call could be sent elsewhere in parallel.
        """
        same_server_ms = (
            call.last_ended_ms + self._settings.release_ms
            if call.last_ended_server == server_id
            else -math.inf
        )
        return max(call.not_before_ms, same_server_ms)

    def _resume_attempt(self, call: model.Call, attempt: model.Attempt) -> None:
        """The release gap of a waiting attempt is over: dispatch it."""
        if call.attempt is not attempt or attempt.epoch is not None:
            return
        server = self._server_states.get(attempt.server)
        if server is None or server.epoch is None:
            self._end_attempt(call, interface.Result.NO_CONNECTION)  # lost while waiting
        else:
            self._dispatch(call, attempt, server)

    def _set_up_dropped(self, call: model.Call) -> None:
        """The gate rejected the set-up before its first byte was written."""
        caller = call.caller
        if (
            caller is not None
            and not caller.is_waiting(call.request.id)
            and not self._ownership.hand_over(call)
        ):
            self._abandon(call)
        else:
            self._end_attempt(call, interface.Result.NOT_SENT)

    def _dispatch(self, call: model.Call, attempt: model.Attempt, server: model.ServerState) -> None:
        """Pass the set-up to the server's link, or hold it during the release gap or for the list gate."""
        if server.epoch is None:
            return
        if (begin_ms := self.earliest_begin_ms(call, server.id)) > self.clock.now_ms():
            attempt.timers.append(self.schedule(begin_ms, lambda: self._resume_attempt(call, attempt)))
            return
        if self.list_gate.must_wait():
            return  # held like a set-up without a connection, which is withdrawn if its server drains
        gate = AttemptGate(self, call, attempt, server)
        if not gate.may_write():
            self._set_up_dropped(call)
            return
        attempt.epoch = server.epoch
        remaining_ms = attempt.deadline_ms - self.clock.now_ms()
        logger.debug(
            "call {call}: attempt {attempt} to {server}",
            event="attempt-out",
            call=call.request.id,
            attempt=attempt.number,
            server=server.id,
        )
        self.servers.set_up(server.id, server.epoch, call.request, remaining_ms, gate)

    def _resume_held_attempts(self, now_ms: float) -> None:
        """Dispatch the attempts that the list gate has held."""
        for server in list(self._server_states.values()):
            for call in list(server.calls.values()):
                attempt = call.attempt
                if attempt is not None and attempt.epoch is None and call.state is model.CallState.OPEN:
                    if server.epoch is not None:
                        self._dispatch(call, attempt, server)
                    elif now_ms >= attempt.connect_by_ms:
                        # The connection was lost while the gate held the attempt.
                        self._end_attempt(call, interface.Result.NO_CONNECTION)
                    else:
                        due = functools.partial(self._connect_timed_out, call, attempt)
                        attempt.timers.append(self.schedule(attempt.connect_by_ms, due))

    def _attempt_timed_out(self, call: model.Call, attempt: model.Attempt) -> None:
        if call.attempt is attempt:
            self._note_unanswered(attempt)
            self._end_attempt(call, interface.Result.TIMEOUT)

    def _connect_timed_out(self, call: model.Call, attempt: model.Attempt) -> None:
        if call.attempt is attempt and attempt.epoch is None:
            self._end_attempt(call, interface.Result.NO_CONNECTION)

    def _probe(self, server_id: str) -> None:
        server = self._server_states.get(server_id)
        if server is None or server.epoch is None:
            self._notify_controller(
                interface.ServerReport(
                    server_id, interface.Result.NO_CONNECTION, interface.LoadReport(), True
                )
            )
            return
        token = self._probes.begin(server_id)
        self.schedule(self.clock.now_ms() + self._connect_ms, lambda: self._probe_timed_out(token))
        self.servers.probe(server_id, server.epoch, token)

    def _probe_timed_out(self, token: str) -> None:
        if (server_id := self._probes.end(token)) is not None:
            self._notify_controller(
                interface.ServerReport(server_id, interface.Result.TIMEOUT, interface.LoadReport(), True)
            )
