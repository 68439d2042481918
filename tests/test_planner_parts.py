"""The parts of the planner that stand alone: its call table, its probes, the gate that awaits the list."""

from __future__ import annotations

import math

from capershelf.core import model as m
from capershelf.core.call_table import CallTable
from capershelf.core.clock import ManualClock
from capershelf.core.list_gate import MAX_WAIT_MS, CHECK_INTERVAL_MS, BYPASS_MS, ListGate
from capershelf.core.probes import Probes
from capershelf.core.timers import Timers

CALL, OTHER = (f"{n:016x}" for n in (0xA0, 0xA1))


class FakeCaller:
    calls_outlive_connection = False
    host = "127.0.0.1"

    def other_connection(self) -> m.Caller | None:
        return None

    def notify(self, word: m.CallerMessage) -> bool:
        return True

    def is_waiting(self, call_id: str) -> bool:
        return True

    def call_ended(self, call_id: str) -> None:
        """Nobody counts here."""


def request(call_id: str = CALL) -> m.SetUp:
    return m.SetUp(call_id, "usual", 9000.0, "n", "asked for")


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


def test_a_call_that_was_given_up_rests_before_it_comes_again() -> None:
    table = CallTable()
    first, second = (
        table.start_release_gap(int(CALL, 16), 1200.0),
        table.start_release_gap(int(CALL, 16), 1500.0),
    )
    first()  # the later rest holds
    assert table.add(request(), FakeCaller()).not_before_ms == 1500.0
    second()
    assert table.add(request(), FakeCaller()).not_before_ms == -math.inf


def test_forgetting_a_call_leaves_another_of_its_key() -> None:
    table, timers = CallTable(), Timers()
    call = table.add(request(), FakeCaller())
    table.claim_outcome(call)
    fired: list[int] = []
    table.retain_undelivered(call, m.Refused(CALL), timers.schedule(5.0, lambda: fired.append(1)))
    call.lost_caller_host = "127.0.0.1"
    table.undelivered_ends[call.request.key] = call
    assert table.undelivered_ends_for("127.0.0.1") == [call] and table.undelivered_ends_for("127.0.0.2") == []
    newer = table.add(request(), FakeCaller())
    table.remove(call)
    assert table.find(CALL) is newer and not table.undelivered_ends
    for timer in timers.pop_due(10.0):
        timer.fire()
    assert fired == [], "its timer is cancelled"


def test_where_an_attempt_was_reset_is_known_until_it_is_heard_out() -> None:
    table = CallTable()
    heard_out = table.record_reset(int(CALL, 16), "s0")
    assert table.was_reset_at(CALL, "s0") and not table.was_reset_at(CALL, "s1")
    heard_out()
    assert not table.was_reset_at(CALL, "s0")


def test_a_probe_ends_once() -> None:
    probes = Probes()
    token, other = probes.begin("s0"), probes.begin("s1")
    assert token != other and len(token) == 16
    assert probes.end(token) == "s0"
    assert probes.end(token) is None and probes.end("0" * 16) is None
    assert len(probes) == 1


class Waiting:
    """A list gate on a clock that the test moves."""

    def __init__(self) -> None:
        self.clock, self.timers = ManualClock(0.0), Timers()
        self.fresh, self.news = False, False
        self.released: list[float] = []
        self.gate = ListGate(self.clock, self.timers.schedule, lambda: self.news, self.released.append)
        self.gate.is_fresh = lambda: self.fresh

    def advance(self, by_ms: float) -> None:
        until_ms = self.clock.now_ms() + by_ms
        while self.clock.now_ms() < until_ms:
            self.clock.advance(CHECK_INTERVAL_MS)
            for timer in self.timers.pop_due(self.clock.now_ms()):
                timer.fire()


def test_set_ups_wait_for_a_list_that_is_not_fresh_and_go_once_it_is() -> None:
    one = Waiting()
    assert one.gate.must_wait() and one.gate.must_wait()
    assert len(one.timers) == 1, "it is looked for once for all that wait"
    one.fresh = True
    one.advance(CHECK_INTERVAL_MS)
    assert one.released == [CHECK_INTERVAL_MS] and not one.gate.must_wait()


def test_news_that_is_not_dealt_with_holds_whatever_the_time() -> None:
    one = Waiting()
    one.fresh = one.news = True
    assert one.gate.must_wait()
    one.advance(2.0 * MAX_WAIT_MS)
    assert one.released == []
    one.news = False
    one.advance(CHECK_INTERVAL_MS)
    assert len(one.released) == 1


def test_a_list_that_stays_away_stops_no_call() -> None:
    one = Waiting()
    assert one.gate.must_wait()
    one.advance(MAX_WAIT_MS)
    assert one.released == [MAX_WAIT_MS] and not one.gate.must_wait()
    one.advance(BYPASS_MS)
    assert one.gate.must_wait(), "it is looked for again after a while"
