"""The five rules in edge cases, and under arbitrary legal orders of events."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from capershelf import control
from capershelf import interface as api
from tests.rig import Rig, listed
from tests.rig import settings as made_settings


def answers(actions: list[api.Action], call: int) -> int:
    return sum(1 for a in actions if isinstance(a, api.Refuse | api.Fail) and a.call == call)


def test_a_held_call_is_answered_before_its_caller_leaves() -> None:
    rig = Rig(servers=0)
    rig.call(1, expires_in_ms=700)
    while rig.now_ms < 1700 and not answers(rig.all, 1):
        rig.tick()
    assert answers(rig.all, 1) == 1
    assert rig.now_ms < 1700


def test_a_time_out_at_the_callers_deadline_is_answered_at_once() -> None:
    rig = Rig(servers=1)
    rig.call(1, expires_in_ms=1000)
    assert rig.of(api.Send)[0].timeout_ms == 1000
    rig.now_ms += 1000
    rig.end_attempt(1, "s0", api.Result.TIMEOUT)
    assert answers(rig.last, 1) == 1


def test_a_finished_call_is_dropped() -> None:
    rig = Rig(servers=1)
    rig.call(1)
    rig.end_attempt(1, "s0", api.Result.TIMEOUT, call_finished=True)
    assert not rig.of(api.Refuse)
    assert rig.controller.calls == {}


@pytest.mark.parametrize("result", [api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED])
def test_the_next_attempt_waits_for_the_release(result: api.Result) -> None:
    rig = Rig(servers=2)
    rig.call(1, call_class="dear", expires_in_ms=4000)
    rig.end_attempt(1, "s0", result)
    rig.tick(299)
    assert not rig.of(api.Send)
    rig.tick(1)
    assert [send.call for send in rig.of(api.Send)] == [1]


def test_a_call_abandoned_while_held_sent_or_awaiting_release_is_dropped() -> None:
    rig = Rig(servers=0)
    rig.call(1)
    rig.feed(api.CallAbandoned(1))
    rig.list_of(listed("s0", 0))
    assert not rig.of(api.Send)
    rig.call(2)
    rig.feed(api.CallAbandoned(2))
    assert rig.controller.gates["s0"].outstanding == 0
    assert rig.end_attempt(2, "s0", api.Result.OK, call_finished=True) == []
    rig.call(3)
    rig.end_attempt(3, "s0", api.Result.RESET)
    rig.feed(api.CallAbandoned(3))
    rig.tick(400)
    assert not rig.of(api.Send)
    assert rig.controller.calls == {}


def test_a_draining_or_removed_server_gets_no_new_calls() -> None:
    rig = Rig(servers=2)
    rig.list_of(listed("s0", 0, api.ServerStatus.DRAINING), complete=False)
    rig.call(1)
    assert [send.server for send in rig.of(api.Send)] == ["s1"]
    rig.list_of(listed("s0", 0))
    rig.call(2)
    assert [send.server for send in rig.of(api.Send)] == ["s0"]
    assert rig.controller.gates["s1"].status is api.ServerStatus.REMOVED  # not in the complete list
    rig.list_of()
    rig.call(3)
    assert not rig.of(api.Send)


def test_a_replacement_gets_the_calls_held_for_its_pool() -> None:
    """It is cold: the four gateways together may send about 46 set-ups in 3 s, each in its turn."""
    rig = Rig(servers=1)
    rig.feed(api.ServerReport("s0", api.Result.OK, api.LoadReport(10.0, 10.0, None, 50.0), False))
    rig.list_of(listed("s0", 0, api.ServerStatus.DRAINING), complete=False)
    rig.call(1)
    assert not rig.of(api.Send)
    rig.list_of(listed("n0", 0, started_ms=rig.now_ms), complete=False)
    rig.tick(4.0 * 3000.0 / 46.0)
    assert [send.server for send in rig.of(api.Send)] == ["n0"]


def test_a_burst_to_a_server_just_started_stays_within_one_gateways_share() -> None:
    rig = Rig(servers=0)
    rig.list_of(listed("s0", 0, started_ms=rig.now_ms))
    for number in range(50):
        rig.call(number)
    rig.tick(2000)
    sends = [a for a in rig.all if isinstance(a, api.Send)]
    assert len(sends) <= 3  # the gateway knows no server's rate, only its own new calls


def test_a_server_that_returns_under_its_id_is_cold_again() -> None:
    rig = Rig(servers=1)
    rig.list_of(listed("s0", 0, api.ServerStatus.REMOVED), complete=False)
    rig.list_of(listed("s0", 0), complete=False)
    assert rig.controller.gates["s0"].started_ms == rig.now_ms


def test_an_older_list_and_unknown_ids_are_ignored() -> None:
    rig = Rig(servers=1)
    rig.feed(api.ServerList(0, True, ()))
    assert rig.controller.gates["s0"].status is api.ServerStatus.ACTIVE
    assert rig.feed(api.AttemptSucceeded(5, 0, "s0", 3.0)) == []
    assert rig.feed(api.CallAbandoned(5)) == []
    assert rig.feed(api.AttemptEnded(5, 0, "nowhere", api.Result.TIMEOUT, False)) == []
    assert rig.feed(api.TimerFired("what")) == []


def test_invalid_input_from_the_host_raises() -> None:
    rig = Rig(servers=1)
    with pytest.raises(ValueError, match="backwards"):
        rig.feed(api.TimerFired("tick"), 1.0)
    with pytest.raises(TypeError, match="unknown event"):
        rig.controller.handle(5000.0, "call")  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("key", "value"),
    [("gateway_count", 0), ("cold_from", 0.0), ("fall_ms", -1.0), ("release_ms", math.nan), ("classes", ())],
)
def test_an_invalid_setting_is_named(key: str, value: object) -> None:
    with pytest.raises(ValueError, match=key):
        control.Controller(made_settings(**{key: value}), 1)


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[api.Action]:
        rig = Rig(servers=3, tenants=(api.Tenant("a", 2.0), api.Tenant("b", 5.0)))
        for number in range(60):
            kind = "dear" if number % 4 == 0 else "usual"
            rig.call(number, kind, preferred_pool=number % 3, tenant="ab"[number % 2])
            rig.tick()
        return rig.all

    assert play() == play()


STEPS = st.lists(
    st.tuples(st.sampled_from(["call", "end", "end", "tick", "list", "abandon"]), st.integers(0, 10**6)),
    max_size=120,
)


# Written out: hypothesis derives the seed from the test's source text otherwise, so a rename changes it.
@seed(0x58A889FD3AFB00BF5D2865B77C7E9D6D9E85FF2D4F4F3C385AC696DBE5E23888EFC0F7126023EABD8F86F6BA4466BFCF)
@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(STEPS)
def test_the_rules_hold_under_any_legal_order_of_events(steps: list[tuple[str, int]]) -> None:
    rig = Rig(servers=3)
    world = World(rig)
    for step, pick in steps:
        getattr(world, step)(pick)
    while world.unanswered and rig.now_ms < 10**6:
        world.tick(0)
    assert not world.unanswered


class World:
    """Simulates callers and servers in any legal order of events, and checks the rules on every action."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.unanswered: dict[int, float] = {}
        self.sent: dict[int, tuple[int, str, float]] = {}
        self.release_done_ms: dict[int, float] = {}
        self.attempts: dict[int, int] = {}
        self.status = dict.fromkeys(("s0", "s1", "s2"), api.ServerStatus.ACTIVE)
        self.cold: dict[str, float] = {}
        self.cold_sends: dict[str, list[float]] = {}
        self.number = 0

    def check(self, actions: list[api.Action]) -> None:
        now_ms = self.rig.now_ms
        for action in actions:
            if isinstance(action, api.Send):
                call, server = action.call, action.server
                assert call in self.unanswered  # rule 1: nothing after the answer
                assert call not in self.sent  # rule 2
                assert self.status[server] is api.ServerStatus.ACTIVE  # rule 3
                assert now_ms >= self.release_done_ms.get(call, 0.0)  # rule 5
                if now_ms - self.cold.get(server, -1e9) < 12000:
                    window = [at for at in self.cold_sends[server] if at > now_ms - 3000] + [now_ms]
                    self.cold_sends[server] = window
                    assert len(window) <= 30  # rule 4: no rate in this simulation allows more
                self.attempts[call] = self.attempts.get(call, -1) + 1
                assert self.attempts[call] < 6
                self.sent[call] = (self.attempts[call], server, now_ms + max(0.0, action.timeout_ms))
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.call in self.unanswered  # once, and only for a call that is not answered yet
                assert action.call not in self.sent
                assert now_ms <= self.unanswered.pop(action.call) + 20

    def call(self, pick: int) -> None:
        self.number += 1
        self.unanswered[self.number] = self.rig.now_ms + 200 + pick % 4000
        kind = "dear" if pick % 5 == 0 else "usual"
        self.check(self.rig.call(self.number, kind, pick % 4, 200 + pick % 4000, number=f"n{pick % 7}"))

    def finish(
        self, call: int, result: api.Result, reason: api.RefusalReason = api.RefusalReason.UNSPECIFIED
    ) -> None:
        attempt, server, _ = self.sent.pop(call)
        if result in (api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED):
            self.release_done_ms[call] = self.rig.now_ms + 300
        self.check(
            self.rig.feed(
                api.AttemptEnded(call, attempt, server, result, call not in self.unanswered, reason)
            )
        )

    def end(self, pick: int) -> None:
        if not self.sent:
            return
        call = sorted(self.sent)[pick % len(self.sent)]
        result = list(api.Result)[pick // 7 % 8]
        if result is api.Result.OK and call in self.unanswered:
            attempt, server, _ = self.sent.pop(call)
            del self.unanswered[call]
            self.check(self.rig.feed(api.AttemptSucceeded(call, attempt, server, float(pick % 900))))
            return
        self.finish(call, result, list(api.RefusalReason)[pick // 3 % 4])

    def tick(self, pick: int) -> None:
        self.rig.now_ms += 5 + pick % 20
        for call in [c for c, (_, _, due_ms) in self.sent.items() if due_ms <= self.rig.now_ms]:
            self.finish(call, api.Result.TIMEOUT)
        self.check(self.rig.tick(0))

    def list(self, pick: int) -> None:
        server = f"s{pick % 3}"
        status = list(api.ServerStatus)[pick // 3 % 3]
        started_ms = None
        if status is api.ServerStatus.ACTIVE and self.status[server] is not api.ServerStatus.ACTIVE:
            started_ms = self.cold[server] = self.rig.now_ms
            self.cold_sends[server] = []
        elif server in self.cold:
            started_ms = self.cold[server]
        self.status[server] = status
        self.check(self.rig.list_of(listed(server, pick % 3, status, started_ms), complete=False))

    def abandon(self, pick: int) -> None:
        if self.unanswered:
            call = sorted(self.unanswered)[pick % len(self.unanswered)]
            del self.unanswered[call]
            self.check(self.rig.feed(api.CallAbandoned(call)))


def test_many_held_calls_are_all_answered_in_time() -> None:
    rig = Rig(servers=0)
    for number in range(200):
        rig.call(number, expires_in_ms=900)
    while rig.now_ms < 1900:
        rig.tick()
    assert [answers(rig.all, number) for number in range(200)] == [1] * 200
