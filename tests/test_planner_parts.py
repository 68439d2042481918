"""Unit tests for the planner's parts: call table, probes and list gate."""

from __future__ import annotations

import math

from capershelf.core import model
from capershelf.core.call_table import CallTable
from capershelf.core.clock import ManualClock
from capershelf.core.list_gate import MAX_WAIT_MS, CHECK_INTERVAL_MS, BYPASS_MS, ListGate
from capershelf.core.probes import Probes
from capershelf.core.timers import Timers

CALL, OTHER = (f"{n:016x}" for n in (0xA0, 0xA1))


class FakeCaller:
    calls_outlive_connection = False
    host, name = "127.0.0.1", "127.0.0.1:1"
    awaiting_first_message, messages_received = False, 1

    def other_connection(self) -> model.Caller | None:
        return None

    def notify(self, message: model.CallerMessage) -> bool:
        return True

    def is_waiting(self, call_id: str) -> bool:
        return True

    def discard_set_up(self, call_id: str) -> None: ...

    def was_rejected(self, call_id: str) -> bool:
        return False

    def call_ended(self, call_id: str) -> None:
        """Not tracked."""

    def is_reachable(self) -> bool:
        return True

    def attach(self, call_id: str) -> None: ...
    def detach(self, call_id: str) -> None: ...
    def close(self, reason: str) -> None: ...

    def ping(self) -> int:
        return 0

    def has_answered_ping(self, number: int) -> bool:
        return True


def request(call_id: str = CALL) -> model.SetUp:
    return model.SetUp(call_id, "usual", 9000.0, "n", "asked for")


def test_an_outcome_is_given_once() -> None:
    table = CallTable()
    call = table.add(request(), FakeCaller())
    assert (table.open_count, table.outcome_count, table.all_ended()) == (1, 0, False)
    assert table.claim_outcome(call)
    assert not table.claim_outcome(call)
    assert (table.open_count, table.outcome_count, table.all_ended()) == (0, 1, True)


def test_calls_are_found_by_id_state_and_caller() -> None:
    table, caller = CallTable(), FakeCaller()
    call, other = table.add(request(), caller), table.add(request(OTHER), FakeCaller())
    assert table.find(CALL) is call and table.find("f" * 16) is None
    table.claim_outcome(other)
    assert table.open_calls() == [call] and table.for_caller(caller) == [call]


def test_a_call_repeated_after_it_was_abandoned_waits_for_the_release_gap() -> None:
    table = CallTable()
    first, second = (
        table.start_release_gap(int(CALL, 16), 1200.0),
        table.start_release_gap(int(CALL, 16), 1500.0),
    )
    first()  # the later gap applies
    assert table.add(request(), FakeCaller()).not_before_ms == 1500.0
    second()
    assert table.add(request(), FakeCaller()).not_before_ms == -math.inf


def test_removing_a_call_leaves_a_newer_one_of_the_same_key() -> None:
    table, timers = CallTable(), Timers()
    call = table.add(request(), FakeCaller())
    table.claim_outcome(call)
    fired: list[int] = []
    table.retain_undelivered(call, model.Refused(CALL), timers.schedule(5.0, lambda: fired.append(1)))
    caller, elsewhere = FakeCaller(), FakeCaller()
    elsewhere.host = "127.0.0.2"
    table.detach(call, caller)
    table.undelivered_ends[call.request.key] = call
    assert table.detached_from(caller) == [call] and table.detached_from(elsewhere) == []
    newer = table.add(request(), FakeCaller())
    table.remove(call, 0.0)
    assert table.find(CALL) is newer and not table.undelivered_ends
    assert table.detached_from(caller) == []
    for timer in timers.pop_due(10.0):
        timer.fire()
    assert fired == [], "its timer was not cancelled"


def test_a_reset_is_recorded_until_its_callback_runs() -> None:
    table = CallTable()
    remove_reset = table.record_reset(int(CALL, 16), "s0")
    assert table.was_reset_at(CALL, "s0") and not table.was_reset_at(CALL, "s1")
    remove_reset()
    assert not table.was_reset_at(CALL, "s0")


def test_a_probe_ends_once() -> None:
    probes = Probes()
    token, other = probes.begin("s0"), probes.begin("s1")
    assert token != other and len(token) == 16
    assert probes.end(token) == "s0"
    assert probes.end(token) is None and probes.end("0" * 16) is None
    assert len(probes) == 1


class ListGateRig:
    """A list gate with a manual clock."""

    def __init__(self) -> None:
        self.clock, self.timers = ManualClock(0.0), Timers()
        self.fresh, self.pending = False, False
        self.opened_ms: list[float] = []
        self.gate = ListGate(self.clock, self.timers.schedule, lambda: self.pending, self.opened_ms.append)
        self.gate.is_fresh = lambda: self.fresh

    def advance(self, by_ms: float) -> None:
        until_ms = self.clock.now_ms() + by_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(CHECK_INTERVAL_MS)
            for timer in self.timers.pop_due(self.clock.now_ms()):
                timer.fire()


def test_set_ups_wait_for_a_stale_list_until_it_is_fresh() -> None:
    rig = ListGateRig()
    assert rig.gate.must_wait() and rig.gate.must_wait()
    assert len(rig.timers) == 1, "one check serves all waiting set-ups"
    rig.fresh = True
    rig.advance(CHECK_INTERVAL_MS)
    assert rig.opened_ms == [CHECK_INTERVAL_MS] and not rig.gate.must_wait()


def test_pending_updates_hold_set_ups_without_a_time_limit() -> None:
    rig = ListGateRig()
    rig.fresh = rig.pending = True
    assert rig.gate.must_wait()
    rig.advance(2.0 * MAX_WAIT_MS)
    assert rig.opened_ms == []
    rig.pending = False
    rig.advance(CHECK_INTERVAL_MS)
    assert len(rig.opened_ms) == 1


def test_an_unavailable_list_holds_set_ups_only_for_the_maximum_wait() -> None:
    rig = ListGateRig()
    assert rig.gate.must_wait()
    rig.advance(MAX_WAIT_MS)
    assert rig.opened_ms == [MAX_WAIT_MS] and not rig.gate.must_wait()
    rig.advance(BYPASS_MS)
    assert rig.gate.must_wait(), "set-ups wait again after the bypass"
