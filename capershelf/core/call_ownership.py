"""Decides what a connection may do to a call whose id it names: repeat its set-up, or release it.

An id belongs to the client that set the call up.  That client may repeat the set-up, with the same class and
description, on another connection, and may release an open call on any connection that it sent the set-up
on.  Where two live connections sent it, each has a claim of its own: the call goes on while one of them
waits.  A set-up of anybody else under the id is rejected, and a release from a connection that was rejected
changes nothing.  An established call belongs to no connection: every other one may release it.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from capershelf.core import model
from capershelf.core.caller_connections import REPEAT_GRACE_MS, CallerConnections
from capershelf.core.clock import Clock
from capershelf.core.finished_calls import FinishedCall
from capershelf.core.timers import Timer


class CallOwnership:
    """The claims of connections on a planner's calls.  Planner thread only."""

    def __init__(
        self,
        callers: CallerConnections,
        clock: Clock,
        schedule: Callable[[float, Callable[[], None]], Timer],
        handle_again: Callable[[model.SetUp, model.Caller], None],
    ) -> None:
        self._callers, self._clock, self._schedule = callers, clock, schedule
        self._handle_again = handle_again
        # By key and connection: set-ups that are repetitions if the first connection is lost soon.
        self._held: dict[tuple[int, model.Caller], model.SetUp] = {}

    # -- set-ups of finished calls --------------------------------------------------------------------
    def repeat_finished(self, call: FinishedCall, request: model.SetUp, caller: model.Caller) -> bool:
        """Handle a set-up under the id of a call that has ended; False if it is a new call.

        A call that was established is not run again; one that was not may be.
        """
        if call.was_told_unasked(caller):
            caller.discard_set_up(request.id)
            call.requested_on.add(caller)
            return True
        if not call.was_established:
            return False
        if caller not in call.requested_on and call.is_same_set_up(request, caller):
            call.requested_on.add(caller)
            caller.notify(model.Failed(request.id, model.CAUSE_NORMAL))
        else:
            self._reject(request, caller)
        return True

    @staticmethod
    def _reject(request: model.SetUp, caller: model.Caller) -> None:
        logger.warning("call {call}: id reused for a different call", event="call-id-reused", call=request.id)
        caller.notify(model.Failed(request.id, model.CAUSE_INVALID))

    # -- repeated set-ups -----------------------------------------------------------------------------
    def repeat(self, call: model.Call, request: model.SetUp, caller: model.Caller, may_hold: bool) -> None:
        """Handle a set-up under the id of a known call; never starts an attempt.

        A repetition gets the call's outcome on its own connection, without taking it from another one.
        may_hold: the close of the call's connection may still be on its way.
        """
        if caller in call.requested_on and call.state is model.CallState.OPEN:
            return  # its outcome is sent here anyway
        if call.was_told_unasked(caller):
            caller.discard_set_up(request.id)
            call.requested_on.append(caller)
            return
        if not self.is_repetition(call, request, caller):
            if may_hold and self._is_same_set_up(call, request, caller):
                self._hold(request, caller)
            else:
                self._reject(request, caller)
            return
        logger.info(
            "call {call}: caller reconnected, call state {state}",
            event="caller-back",
            call=call.request.id,
            state=call.state.value,
        )
        call.requested_on.append(caller)
        if not self._is_claimed(call):
            self._callers.take_over(call, caller)
        elif call.state is model.CallState.ESTABLISHED and call.answer is not None:
            self._callers.tell(call, caller, call.answer)

    def is_repetition(self, call: model.Call, request: model.SetUp, caller: model.Caller) -> bool:
        """Whether the set-up is the call's own, sent once more.

        On a front where an open call ends with its connection, only once that connection is lost.
        """
        return self._is_same_set_up(call, request, caller) and (
            caller.calls_outlive_connection or not self._is_claimed(call)
        )

    @staticmethod
    def _is_same_set_up(call: model.Call, request: model.SetUp, caller: model.Caller) -> bool:
        """Whether the client of the call sends its set-up on another connection."""
        return (
            caller not in call.requested_on
            and call.client == model.Client.of(caller)
            and call.request.call_class == request.call_class
            and call.request.description == request.description
        )

    def _hold(self, request: model.SetUp, caller: model.Caller) -> None:
        """Handle the set-up again a little later."""
        held = request.key, caller
        self._held[held] = request

        def handle() -> None:
            if self._held.pop(held, None) is None:
                return
            if caller.is_waiting(request.id):
                self._handle_again(request, caller)
            else:
                caller.call_ended(request.id)

        self._schedule(min(self._clock.now_ms() + REPEAT_GRACE_MS, request.expires_ms), handle)

    def reject_held(self, caller: model.Caller) -> None:
        """Give the held set-ups of a connection that will be closed their outcome."""
        for held, request in list(self._held.items()):
            if held[1] is caller:
                del self._held[held]
                caller.notify(model.Failed(request.id, model.CAUSE_INVALID))

    @staticmethod
    def _is_claimed(call: model.Call) -> bool:
        """Whether the call's messages go to a live connection that the set-up was sent on."""
        caller = call.caller
        return caller is not None and caller in call.requested_on and caller.is_reachable()

    # -- releases -------------------------------------------------------------------------------------
    def release(self, call: model.Call, caller: model.Caller, cause: int) -> bool:
        """Whether a release from this connection ends the call.

        Otherwise it ends this connection's claim, if there is one.
        """
        if self._held.pop((call.request.key, caller), None) is not None:
            caller.call_ended(call.request.id)
            return False
        has_claim = caller in call.requested_on
        if caller is call.caller and (has_claim or not caller.was_rejected(call.request.id)):
            return not self.hand_over(call)
        if not has_claim:
            return self._may_release_unclaimed(call, caller)
        call.requested_on.remove(caller)
        caller.call_ended(call.request.id)
        if not self._is_claimed(call):
            return True
        # The claim that remains may be that of a connection which the client has lost: find out.
        call.release_cause = cause
        self._callers.ping_earlier_connections(caller)
        return False

    @staticmethod
    def _may_release_unclaimed(call: model.Call, caller: model.Caller) -> bool:
        """Whether a connection that has not set up the call may release it."""
        is_abandoned = call.caller is None and call.client == model.Client.of(caller)
        is_releasable = call.state is model.CallState.ESTABLISHED or is_abandoned
        if is_releasable and not caller.was_rejected(call.request.id):
            return True
        logger.info(
            "call {call}: release by {peer} ignored, the call is another client's",
            event="release-ignored",
            call=call.request.id,
            peer=caller.name,
        )
        return False

    def hand_over(self, call: model.Call) -> bool:
        """Give an open call that its caller does not wait for to another connection that waits for it.

        Returns whether there is one.
        """
        caller = call.caller
        if call.state is not model.CallState.OPEN or caller is None:
            return False
        others = [one for one in call.requested_on if one is not caller and one.is_reachable()]
        if not others:
            return False
        caller.call_ended(call.request.id)
        call.requested_on = others
        call.caller = others[-1]
        return True
