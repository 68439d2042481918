"""Stored knowledge: ageing, trust, writing, and its use by the decision module.  No sockets, no disk."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import replace
from typing import Any

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings

from capershelf import interface
from capershelf.control import ASSUMED_COLD_SET_UPS, ASSUMED_SERVED_SHARE, MIN_THRESHOLD
from capershelf.memory.ageing import (
    CheckpointAge,
    HalfLives,
    age_new_call_rate,
    age_server,
    planner_share,
    latency_only,
    weight,
)
from capershelf.memory.planner_memory import (
    MAX_SERVERS_PER_COLLECT,
    MIN_SNAPSHOT_INTERVAL_MS,
    PlannerMemory,
    Snapshot,
    PlannerMemorySettings,
)
from capershelf.memory.records import Checkpoint, ServerRecord
from capershelf.memory.schedule import MAX_BACKOFF_MS, WriteSchedule, is_large_change, merge_records
from capershelf.memory.trust import Eligibility, assess_records
from capershelf.estimation import RATE_FADE_MS
from capershelf.estimation.cold_budget import fleet_limit
from tests.memory_rig import NOW_MS, checkpoint, located, news, record
from tests.rig import Rig, listed

HALF_LIVES = HalfLives()
HOUR_MS, DAY_MS = 3_600_000.0, 86_400_000.0
MAX_AGE_MS = 7 * DAY_MS
REMOVED, DRAINING = interface.ServerStatus.REMOVED, interface.ServerStatus.DRAINING


# -- ageing -------------------------------------------------------------------------------------------
def aged(age_ms: float, part: float = 1.0, **changes: Any) -> interface.LearnedServer | None:
    return age_server(record(**changes), CheckpointAge(NOW_MS, NOW_MS + age_ms), HALF_LIVES, MAX_AGE_MS, part)


def test_each_kind_of_knowledge_has_its_own_half_life() -> None:
    new = aged(0.0)
    assert new == interface.LearnedServer("s0", 20.0, 100.0, 8.0, 40.0, False)
    soon = aged(15_000.0)
    assert soon is not None
    assert soon.wait_ms == pytest.approx(50.0)
    assert soon.rate_per_s == pytest.approx(20.0, rel=0.001)
    later = aged(12 * HOUR_MS)
    assert later is not None
    assert later.rate_per_s == pytest.approx(10.0)
    assert later.wait_ms == pytest.approx(0.0)
    assert later.threshold is None
    assert later.base_latency_ms == pytest.approx(8.0, rel=0.06)
    assert aged(MAX_AGE_MS + 1.0) is None


def test_ejection_is_remembered_for_one_half_life() -> None:
    for age_ms, silent in ((0.0, True), (9_999.0, True), (10_001.0, False)):
        known = aged(age_ms, silent=True)
        assert known is not None
        assert known.ejected is silent


# Written out: hypothesis derives the seed from the test's source text otherwise, so a rename changes it.
@seed(0xECB7997A347150F4FB27D3DAADF591145A18D2B3563BC0FA85ADD05E65C197BB206B90E985262CB3F83E5A4697EF26A3)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(st.floats(0, 8 * DAY_MS), st.floats(0, 8 * DAY_MS), st.floats(0.01, 4.0))
def test_older_knowledge_never_claims_more(one_ms: float, other_ms: float, part: float) -> None:
    young, old = aged(min(one_ms, other_ms), part), aged(max(one_ms, other_ms), part)
    if young is None:
        assert old is None
        return
    if old is None:
        return
    assert old.rate_per_s <= young.rate_per_s
    assert old.wait_ms <= young.wait_ms
    assert (old.base_latency_ms or math.inf) >= (young.base_latency_ms or math.inf)
    assert (old.threshold or math.inf) >= (young.threshold or math.inf) >= MIN_THRESHOLD


def test_a_clock_step_makes_knowledge_older_never_newer() -> None:
    for step_ms in (-HOUR_MS, HOUR_MS):
        checkpoint_age = CheckpointAge(NOW_MS, NOW_MS + step_ms)
        assert checkpoint_age.age_ms(NOW_MS) == HOUR_MS
        assert checkpoint_age.age_ms(NOW_MS - 5.0) == HOUR_MS + 5.0
        assert (
            checkpoint_age.age_ms(NOW_MS + 5.0) == HOUR_MS
        )  # learned after the write: the clock was set in between
    assert CheckpointAge(NOW_MS, NOW_MS - 3.0).ahead_ms == 3.0
    assert CheckpointAge(NOW_MS, NOW_MS + 3.0).ahead_ms == 0.0


def test_shares_scale_with_the_numbers_of_proxies_and_planners() -> None:
    assert planner_share(4, 8, 1) == 0.5
    assert planner_share(4, 4, 2) == 0.5
    known = aged(0.0, planner_share(4, 8, 2))
    assert known is not None
    assert known.rate_per_s == 5.0
    assert known.threshold == 10.0  # of 40
    assert aged(0.0, 0.1) == replace(known, rate_per_s=2.0, threshold=MIN_THRESHOLD)
    checkpoint_age = CheckpointAge(NOW_MS + 1, NOW_MS + 1)
    assert (
        age_new_call_rate(checkpoint(1, asked_per_s=60.0), checkpoint_age, HALF_LIVES, MAX_AGE_MS, 2) == 30.0
    )
    assert (
        age_new_call_rate(
            checkpoint(1), CheckpointAge(NOW_MS, NOW_MS + 8 * DAY_MS), HALF_LIVES, MAX_AGE_MS, 1
        )
        == 0.0
    )


def test_a_half_life_of_zero_keeps_nothing() -> None:
    assert weight(1.0, 0.0) == 0.0
    assert weight(0.0, 0.0) == 1.0
    assert weight(1e300, 1e-3) < 1e-300


# -- trust --------------------------------------------------------------------------------------------
def eligibility(known: ServerRecord, *servers: object, reports_all_starts: bool = True) -> list[Eligibility]:
    update = news(*servers, reports_all_starts=reports_all_starts)  # type: ignore[arg-type]
    return [one.eligibility for one in assess_records({known.uid: known}, update)]


def test_evidence_that_a_server_is_the_same_process() -> None:
    late = NOW_MS - 1e6
    assert eligibility(record(), located()) == [Eligibility.SAME_PROCESS]
    assert eligibility(record(), located(started_ms=late + 1)) == [Eligibility.STARTED_SINCE]
    assert eligibility(record(started_ms=None), located()) == [Eligibility.STARTED_SINCE]
    assert eligibility(record(), located(started_ms=None)) == [Eligibility.UNPROVEN]
    assert eligibility(record(started_ms=None), located(started_ms=None)) == [Eligibility.SAME_PROCESS]
    assert eligibility(record(started_ms=None), located(started_ms=None), reports_all_starts=False) == [
        Eligibility.UNPROVEN
    ]
    assert eligibility(record(started_ms=None, vouched=False), located(started_ms=None)) == [
        Eligibility.UNPROVEN
    ]
    assert eligibility(record(), located(endpoint="s9:1")) == [Eligibility.MOVED]
    assert eligibility(record(), located(), located("s9", endpoint="s0:1")) == [Eligibility.SHARED]
    assert eligibility(record(), located(), located("s9", endpoint="s0:1", status=REMOVED)) == [
        Eligibility.SAME_PROCESS
    ]
    assert eligibility(record(), located("s9", endpoint="s0:1")) == []  # a successor at its address
    assert eligibility(record(), located(status=DRAINING)) == [Eligibility.LEAVING]
    assert eligibility(record(seen_ms=late - 1), located()) == [Eligibility.IMPOSSIBLE]


def test_without_proof_only_the_base_latency_is_kept() -> None:
    known = aged(0.0)
    assert known is not None
    assert latency_only(known) == interface.LearnedServer("s0", base_latency_ms=8.0)


# -- a planner's memory -------------------------------------------------------------------------------
class FakeLearnedSource:
    """Stands in for a controller's learned state."""

    def __init__(self) -> None:
        self.known: dict[str, interface.LearnedServer] = {}

    def learned(self, server: str) -> interface.LearnedServer | None:
        return self.known.get(server)

    def new_call_rate(self) -> float:
        return 0.05


class PlannerMemoryRig:
    """A planner's memory and the snapshots that it publishes."""

    def __init__(self, known: Checkpoint | None = None, planners: int = 1, senders: int = 4) -> None:
        self.published: list[Snapshot] = []
        self.source = FakeLearnedSource()
        self.memory = PlannerMemory(
            PlannerMemorySettings(0, planners, senders, HALF_LIVES, MAX_AGE_MS), known, self.published.append
        )

    def learn(self, uid: str, now_ms: float, **changes: object) -> None:
        self.source.known[uid] = replace(interface.LearnedServer(uid, 20.0, 5.0, 8.0), **changes)  # type: ignore[arg-type]
        self.memory.mark_changed(uid)
        self.memory.collect(self.source, now_ms, False)


def test_each_planner_restores_each_server_once_and_the_call_rate_at_the_start() -> None:
    rig = PlannerMemoryRig(checkpoint(60, 2))
    first = rig.memory.recall(news(located("s0")), NOW_MS + 60)
    assert first is not None
    assert first.new_calls_per_s == 60.0
    assert [one.server for one in first.servers] == ["s0"]
    assert first.servers[0].rate_per_s == pytest.approx(60.0)
    later = rig.memory.recall(news(located("s1"), complete=False), NOW_MS + 60 + RATE_FADE_MS)
    assert later is not None
    # Decayed as far as in the module, which uses the newest value it is given.
    assert later.new_calls_per_s == pytest.approx(60.0 / math.e)
    assert [one.server for one in later.servers] == ["s1"]
    assert rig.memory.recall(news(located("s0"), located("s1")), NOW_MS + 60) is None


def test_unproven_and_changed_servers_start_without_a_rate() -> None:
    rig = PlannerMemoryRig(checkpoint(60, 3))
    found = rig.memory.recall(
        news(located("s0", started_ms=None), located("s1", started_ms=NOW_MS), located("s2")), NOW_MS + 60
    )
    assert found is not None
    assert [one.server for one in found.servers] == ["s0", "s2"]
    assert [one.rate_per_s for one in found.servers] == pytest.approx([0.0, 60.0])
    assert [one.base_latency_ms for one in found.servers] == pytest.approx([8.0, 8.0])


def test_knowledge_of_a_server_that_drains_leaves_or_restarts_is_dropped() -> None:
    for change in (
        located("s0", status=DRAINING),
        located("s0", status=REMOVED),
        located("s0", started_ms=NOW_MS + 5),
        located("s0", endpoint="elsewhere:1"),
    ):
        rig = PlannerMemoryRig(checkpoint(1, 1))
        rig.memory.recall(news(located("s0"), located("s1")), NOW_MS)
        rig.learn("s0", NOW_MS)
        assert "s0" in rig.memory.servers
        rig.memory.recall(news(change, complete=False), NOW_MS)
        assert "s0" not in rig.memory.servers
    rig.memory.recall(news(located("s1")), NOW_MS)
    rig.learn("s0", NOW_MS)
    assert "s0" not in rig.memory.servers
    restarted = PlannerMemoryRig(
        checkpoint(1, 1)
    )  # a server that drains at the start loses its knowledge too
    restarted.memory.recall(news(located("s0", status=DRAINING)), NOW_MS)
    assert restarted.memory.recall(news(located("s0")), NOW_MS) is None


def test_a_snapshot_does_not_change_and_only_one_is_pending() -> None:
    rig = PlannerMemoryRig()
    rig.memory.recall(news(located("s0"), located("s1")), NOW_MS)
    rig.learn("s0", NOW_MS)
    rig.learn("s0", NOW_MS + 2 * MIN_SNAPSHOT_INTERVAL_MS, rate_per_s=90.0)
    assert len(rig.published) == 1  # the first is still pending
    rig.published[0].taken = True
    rig.learn("s1", NOW_MS + 4 * MIN_SNAPSHOT_INTERVAL_MS)
    assert len(rig.published) == 2
    assert [len(one.servers) for one in rig.published] == [1, 2]
    assert rig.published[0].servers["s0"].rate_per_s == 20.0
    assert rig.published[1].servers["s0"].rate_per_s == 90.0
    rig.learn("s1", NOW_MS + 5 * MIN_SNAPSHOT_INTERVAL_MS, ejected=True)
    assert len(rig.published) == 2
    rig.memory.collect(rig.source, NOW_MS + 5 * MIN_SNAPSHOT_INTERVAL_MS, True)
    assert rig.published[2].servers["s1"].silent


def test_a_step_collects_a_bounded_number_and_the_last_one_all() -> None:
    rig = PlannerMemoryRig()
    uids = [f"s{n}" for n in range(5 * MAX_SERVERS_PER_COLLECT)]
    rig.memory.recall(news(*(located(uid) for uid in uids)), NOW_MS)
    for uid in uids:
        rig.source.known[uid] = interface.LearnedServer(uid)
        rig.memory.mark_changed(uid)
    rig.memory.collect(rig.source, NOW_MS, False)
    assert len(rig.memory.servers) == MAX_SERVERS_PER_COLLECT
    rig.memory.collect(rig.source, NOW_MS, True)
    assert len(rig.memory.servers) == len(uids)


def test_the_best_rate_is_kept_through_a_quiet_hour_and_decays() -> None:
    rig = PlannerMemoryRig()
    rig.memory.recall(news(located("s0")), NOW_MS)
    rig.learn("s0", NOW_MS, rate_per_s=50.0)
    rig.learn("s0", NOW_MS + HOUR_MS, rate_per_s=1.0)
    known = rig.memory.servers["s0"]
    assert (known.rate_per_s, known.rate_ms) == (50.0, NOW_MS)
    rig.learn("s0", NOW_MS + 12 * HOUR_MS, rate_per_s=26.0)
    assert rig.memory.servers["s0"].rate_per_s == 26.0


def test_knowledge_carried_over_two_restarts_keeps_its_age() -> None:
    rig = PlannerMemoryRig(checkpoint(1, 1, asked_per_s=0.0, saved_ms=NOW_MS))
    rig.memory.recall(news(located("s0")), NOW_MS + HOUR_MS)
    rig.memory.collect(rig.source, NOW_MS + HOUR_MS, True)
    assert rig.published[0].servers["s0"].seen_ms == NOW_MS
    # The wait has decayed and must not return to its stored value.
    assert rig.published[0].servers["s0"].wait_ms == pytest.approx(0.0)


# -- writing ------------------------------------------------------------------------------------------
def test_writes_follow_the_period_come_sooner_after_a_large_change_and_back_off_after_failures() -> None:
    schedule = WriteSchedule(10_000.0, NOW_MS)
    assert schedule.due_ms() == math.inf
    schedule.mark_changed(False)
    assert schedule.due_ms() == NOW_MS + 10_000.0
    schedule.mark_changed(True)
    assert schedule.due_ms() == NOW_MS + 1000.0
    waits = [schedule.write_failed(NOW_MS) for _ in range(12)]
    assert waits[:4] == [1000.0, 2000.0, 4000.0, 8000.0]
    assert waits[-1] == MAX_BACKOFF_MS
    assert schedule.due_ms() == NOW_MS + MAX_BACKOFF_MS
    schedule.write_succeeded(NOW_MS)
    assert schedule.due_ms() == math.inf


def test_which_changes_are_large() -> None:
    old = record()
    assert is_large_change(None, old)
    assert not is_large_change(old, msgspec.structs.replace(old, wait_ms=900.0, seen_ms=NOW_MS + 1))
    for changes in ({"silent": True}, {"started_ms": 5.0}, {"rate_per_s": 45.0}):
        assert is_large_change(old, msgspec.structs.replace(old, **changes))
    assert not is_large_change(record(rate_per_s=0.1), record(rate_per_s=0.9))


def test_the_records_of_several_planners_are_merged() -> None:
    one = {"s0": record(), "s1": record("s1")}
    two = {"s0": record(rate_per_s=5.0, base_ms=6.0, threshold=None, seen_ms=NOW_MS + 1, wait_ms=7.0)}
    both = merge_records([one, two])
    assert [r.uid for r in both] == ["s0", "s1"]
    assert (both[0].rate_per_s, both[0].base_ms, both[0].threshold, both[0].wait_ms) == (25.0, 6.0, 40.0, 7.0)
    restarted = {"s0": record(started_ms=NOW_MS, seen_ms=NOW_MS + 2)}
    assert (
        merge_records([one, restarted])[0].rate_per_s == 20.0
    )  # the rate of the previous process is not added


# -- the module ---------------------------------------------------------------------------------------
FIGURES = st.builds(
    interface.LearnedServer,
    st.just("s0"),
    st.floats(0, 1e4),
    st.floats(0, 1e4),
    st.none() | st.floats(0, 1e3),
    st.none() | st.floats(10, 1e3),
    st.just(False),
)


@seed(0x39CA349D07431EC9380653567D87CA843F2CABB8A0CD6EC031465F80FA20EA9C66882CDDF572EE5FDBF8804C2CD94CF2)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=40, database=None)
@given(FIGURES, st.floats(0, 1e4), st.lists(st.integers(1, 60), min_size=30, max_size=60))
def test_restored_knowledge_never_raises_the_cold_budget(
    known: interface.LearnedServer, asked_per_s: float, gaps: list[int]
) -> None:
    """Even where the host restores a cold server's knowledge as if the server were warm.

    The budget is calculated here from what this process has seen: this gateway's share of the fleet's budget.
    """
    rig = Rig(0)
    rig.feed(interface.RestoredKnowledge(asked_per_s, (known,)))
    began_ms = rig.now_ms
    rig.list_of(listed("s0", 0, started_ms=began_ms))
    module, settings = rig.controller, rig.controller.settings
    assert (module.best_rate, module.new_call_meter.value(rig.now_ms)) == (0.0, 0.0)
    sent: deque[float] = deque()
    for number, gap in enumerate(gaps):
        rig.tick(gap)
        rig.call(number, expires_in_ms=9000.0)
        for action in [a for a in rig.all if isinstance(a, interface.Send)]:
            sent.append(rig.now_ms)
            while sent[0] <= rig.now_ms - settings.fall_ms:
                sent.popleft()
            part = (
                settings.cold_from
                + (1 - settings.cold_from) * ((rig.now_ms - began_ms) / settings.ramp_ms) ** 2
            )
            seen = (
                max(ASSUMED_SERVED_SHARE * module.new_call_meter.value(rig.now_ms), module.best_rate)
                * settings.fall_ms
            )
            fleet = max(settings.fall_multiple * part * seen * settings.gateway_count, ASSUMED_COLD_SET_UPS)
            assert len(sent) <= 1.0 + fleet_limit(fleet) / settings.gateway_count
            rig.succeed(action.call)
        rig.all.clear()


def test_the_module_starts_from_restored_knowledge_and_returns_it() -> None:
    rig = Rig(0)
    known = interface.LearnedServer("s0", 30.0, 120.0, 9.0, 25.0, False)
    rig.feed(interface.RestoredKnowledge(40.0, (known, interface.LearnedServer("s9", 1.0))))
    rig.list_of(listed("s0", 0), listed("s1", 1))
    gate = rig.controller.gates["s0"]
    assert (gate.restored_rate_per_ms, gate.observed_wait_ms, gate.base_latency_ms, gate.threshold) == (
        0.03,
        120.0,
        9.0,
        25.0,
    )
    assert rig.controller.new_call_rate() == pytest.approx(0.04)
    assert rig.controller.learned("s0") == replace(known, rate_per_s=0.0)  # own answers only
    assert rig.controller.learned("s1") == interface.LearnedServer("s1")
    assert rig.controller.learned("s9") is None
    rig.list_of(listed("s0", 0, DRAINING), listed("s1", 1))
    assert rig.controller.learned("s0") is None
    rig.list_of(listed("s0", 0, started_ms=rig.now_ms), listed("s1", 1))
    assert rig.controller.gates["s0"].restored_rate_per_ms == 0.0


def sent_after_a_queue(known: interface.LearnedServer | None) -> int:
    """Return how many of ten held calls are sent within 100 ms once their server has free lines again."""
    rig = Rig(0)
    if known is not None:
        rig.feed(interface.RestoredKnowledge(0.0, (known,)))
    rig.list_of(listed("s0", 0))
    rig.feed(interface.ServerReport("s0", interface.Result.OK, interface.LoadReport(0.0, 50.0), False))
    for number in range(1, 11):
        rig.call(number)
    rig.feed(interface.ServerReport("s0", interface.Result.OK, interface.LoadReport(50.0, 50.0), False))
    rig.tick(100)
    return sum(isinstance(action, interface.Send) for action in rig.all)


def test_a_server_with_a_restored_rate_is_paced_faster_than_an_unknown_one() -> None:
    assert sent_after_a_queue(interface.LearnedServer("s0", 200.0)) > sent_after_a_queue(None) + 2


def test_a_server_restored_as_ejected_is_tried_with_the_first_call() -> None:
    rig = Rig(0)
    rig.feed(interface.RestoredKnowledge(40.0, (interface.LearnedServer("s0", ejected=True),)))
    rig.list_of(listed("s0", 0), listed("s1", 1))
    rig.call(1)
    assert [(a.call, a.server) for a in rig.of(interface.Send)] == [(1, "s0")]
    rig.call(2)
    assert [a.server for a in rig.of(interface.Send)] == ["s1"]
    rig.succeed(1)
    assert not rig.controller.gates["s0"].ejected
