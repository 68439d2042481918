"""The bound on calls that a lost connection leaves unconfirmed, on a clock that the test advances."""

from __future__ import annotations

import math
from collections.abc import Iterable

from capershelf import interface
from capershelf.core import model
from capershelf.core.clock import ManualClock
from capershelf.core.lost_connections import CONFIRMATION_TIMEOUT_MS, LostConnections
from capershelf.core.timers import Timers
from tests.rig import listed
from tests.test_planner_states import FakeCaller
from tests.test_stopping import make_planner, request, run_pending


class ConfirmationRig:
    """Calls at one server, and those that were given up."""

    def __init__(self) -> None:
        self.clock, self.timers = ManualClock(), Timers()
        self.calls: list[model.Call] = []
        self.interrupted: list[model.Call] = []
        self.lost = LostConnections(self.clock, self.timers.schedule, self)

    def established_at(self, server: str) -> list[model.Call]:
        return self.calls

    def interrupt_unconfirmed(self, server: str, calls: Iterable[model.Call]) -> None:
        for call in calls:
            self.calls.remove(call)
            self.interrupted.append(call)

    def establish(self) -> model.Call:
        caller = FakeCaller(False)
        call = model.Call(request(len(self.calls) + 1), caller, model.Client.of(caller))
        call.state, call.established_ms = model.CallState.ESTABLISHED, self.clock.now_ms()
        self.calls.append(call)
        return call

    def lose_connection(self) -> None:
        self.lost.connection_lost("s0", self.clock.now_ms())

    def advance(self, by_ms: float) -> None:
        self.clock.advance(by_ms)
        for timer in self.timers.pop_due(self.clock.now_ms()):
            timer.fire()


def test_a_later_loss_does_not_give_calls_more_time() -> None:
    """Guards against calls that stay for good at an address where processes come and go."""
    rig = ConfirmationRig()
    old = rig.establish()
    rig.lose_connection()
    rig.advance(3000.0)
    new = rig.establish()
    rig.lose_connection()
    rig.advance(CONFIRMATION_TIMEOUT_MS - 3000.0)
    assert rig.interrupted == [old] and rig.calls == [new]
    rig.advance(3000.0)
    assert rig.interrupted == [old, new]


def test_a_message_about_a_call_confirms_those_established_since_and_no_older_ones() -> None:
    rig = ConfirmationRig()
    old = rig.establish()
    rig.advance(1.0)
    known = rig.establish()
    rig.advance(1.0)
    new = rig.establish()
    rig.lose_connection()
    rig.lost.confirm("s0", known)
    rig.advance(CONFIRMATION_TIMEOUT_MS)
    assert rig.interrupted == [old] and rig.calls == [known, new]
    assert new.unconfirmed_since_ms == math.inf


def test_calls_end_in_time_where_the_list_moves_their_server_to_another_address() -> None:
    """Guards against calls that the link to a server's new address keeps alive."""
    planner, servers, clock = make_planner()
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    run_pending(planner)
    servers.established[request(1).id] = servers.in_flight.pop(request(1).id)
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "sdp", None))
    run_pending(planner)
    moved = model.LocatedServer(listed("s0", 0, interface.ServerStatus.ACTIVE), "127.0.0.1:9")
    planner.submit_update(model.ServerListUpdate(9, False, (moved,)))
    planner.inbox.put(model.LinkUp("s0", 7))
    run_pending(planner)
    clock.advance(CONFIRMATION_TIMEOUT_MS)
    run_pending(planner)
    assert caller.received[-1] == model.Ended(request(1).id, model.CAUSE_INTERRUPTED)
    assert not servers.established, "the call is released at the new address, too"
