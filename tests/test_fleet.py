"""What many gateways do together, each a controller of its own that knows only its own calls."""

from __future__ import annotations

import math

import pytest

from capershelf import interface as api
from tests.rig import Rig, listed

FALL_MS = 3000.0


def cold_sends(gateways: int, warm_first: bool, each_ms: float = 2000.0) -> list[float]:
    """When all gateways sent to one cold server; the warm one, if there was one, is gone by then."""
    sent: list[float] = []
    for number in range(gateways):
        rig = Rig(servers=0, gateway_no=number, gateway_count=gateways)
        start_ms = rig.now_ms
        if warm_first:
            rig.list_of(listed("s0", 0))
        call = 0
        offset_ms = each_ms * number / gateways
        for _ in range(10):  # each meets a call now and then; the warm server answers at once
            call += 1
            rig.tick(offset_ms if call == 1 else each_ms)
            rig.call(call)
            if warm_first:
                rig.succeed(call, "s0", 20)
        rig.tick(start_ms + 11 * each_ms - rig.now_ms)
        rig.all.clear()
        rig.list_of(listed("n0", 0, started_ms=rig.now_ms))
        for _ in range(4):
            call += 1
            sent += [rig.now_ms for a in rig.call(call) if isinstance(a, api.Send)]
            before = len(rig.all)
            rig.tick(each_ms)
            sent += [rig.now_ms for a in rig.all[before:] if isinstance(a, api.Send)]
    return sorted(sent)


@pytest.mark.parametrize("warm_first", [True, False])
def test_hundreds_of_gateways_together_keep_a_cold_servers_budget(warm_first: bool) -> None:
    gateways, each_ms = 250, 2000.0
    sent = cold_sends(gateways, warm_first, each_ms)
    capacity_per_ms = gateways / each_ms  # what the one warm server did for all of them
    budget = 2.0 * 0.35 * capacity_per_ms * FALL_MS  # multiple x least share x capacity x window
    most = max((sum(1 for at in sent if begin <= at < begin + FALL_MS) for begin in sent), default=0)
    assert most <= budget
    assert most > 0  # and it is used at all


def test_trials_of_a_hung_server_stay_a_share_of_its_usual_load() -> None:
    gateways, each_ms, total_ms = 100, 2000.0, 20000.0
    tried = asked = 0
    for number in range(gateways):
        rig = Rig(servers=2, gateway_no=number, gateway_count=gateways, may_probe=True)
        for step in range(int(total_ms / each_ms)):
            call = 1000 + step
            asked += 1
            rig.call(call, expires_in_ms=1900)
            out = [a.server for a in rig.last if isinstance(a, api.Send)]
            tried += out.count("s0")
            if out == ["s1"]:
                rig.succeed(call, "s1", 20)
            before = len(rig.all)
            rig.tick(each_ms)
            tried += sum(1 for a in rig.all[before:] if isinstance(a, api.Send) and a.server == "s0")
            if out == ["s0"] and call in rig.controller.calls:
                rig.end_attempt(call, "s0", api.Result.TIMEOUT)
        probes = [a for a in rig.all if isinstance(a, api.Probe)]
        assert len(probes) <= total_ms / 1000.0
    assert tried <= 0.5 * asked


def test_an_idle_gateway_arms_no_timer() -> None:
    rig = Rig(servers=12)
    rig.call(1)
    rig.succeed(1)
    rig.end_attempt(1, "s0", api.Result.OK, call_finished=True)
    rig.feed(api.TimerFired("tick"), rig.now_ms + 100)
    rig.all.clear()
    for second in range(60):
        report = api.LoadReport(free_lines=50.0 + second, lines=100.0)
        rig.feed(api.ServerReport("s1", api.Result.OK, report, probe=False), rig.now_ms + 1000)
    assert not rig.all


def test_a_gateways_own_pause_is_not_the_silence_of_its_servers() -> None:
    rig = Rig(servers=2)
    rig.call(1)
    rig.feed(api.TimerFired("tick"), rig.now_ms + 1800)  # the timer was due 1.7 s ago
    assert not rig.controller.gates["s0"].ejected
    assert not rig.of(api.Cancel)
    rig.succeed(1, "s0", wait_ms=1800)  # as this host saw it; the server answered long before
    rig.call(2)
    assert [send.server for send in rig.of(api.Send)] == ["s0"]


def test_a_time_out_found_after_a_pause_is_answered_in_the_same_batch() -> None:
    rig = Rig(servers=1, gateway_count=4)
    for number in range(80):
        rig.call(number, expires_in_ms=1000)
    rig.feed(api.TimerFired("tick"), rig.now_ms + 2000)
    for number in sorted(rig.attempts):
        if number in rig.controller.calls:
            rig.end_attempt(number, "s0", api.Result.TIMEOUT)
            assert number not in rig.controller.calls


def test_calls_led_around_go_by_the_servers_lines() -> None:
    rig = Rig(servers=3, gateway_count=1)
    for server, lines in (("s0", 0.0), ("s1", 900.0), ("s2", 100.0)):
        report = api.LoadReport(free_lines=lines and lines / 2, lines=lines or 100.0)
        rig.feed(api.ServerReport(server, api.Result.OK, report, probe=False))
    went = {"s1": 0, "s2": 0}
    for number in range(300):
        rig.call(number)
        server = rig.of(api.Send)[0].server
        went[server] += 1
        rig.succeed(number, server, 20)
        rig.end_attempt(number, server, api.Result.OK, call_finished=True)
    assert 0.8 < went["s1"] / 300 < 0.97


@pytest.mark.parametrize("count", [1, 5000])
def test_any_fleet_size_and_equal_start_times(count: int) -> None:
    rig = Rig(servers=0, gateway_count=count)
    rig.list_of(*(listed(f"s{n}", n, started_ms=rig.now_ms) for n in range(3)))
    for number in range(30):
        rig.call(number, preferred_pool=number % 3)
        rig.tick(100)
    rig.tick(4000)
    assert rig.controller.calls.keys() <= {a.call for a in rig.all if isinstance(a, api.Send)}
    assert math.isfinite(rig.controller.new_call_meter.value(rig.now_ms))


def test_a_call_found_too_late_behind_others_is_answered_at_once() -> None:
    rig = Rig(servers=0)
    for number in range(5):
        rig.call(number)
    rig.call(9, expires_in_ms=15)
    assert rig.of(api.Refuse) == [api.Refuse(9)]


def test_calls_of_little_worth_leave_the_last_lines_and_pressed_servers_to_the_rest() -> None:
    def redialled(free_lines: float, wait_ms: float) -> list[api.Send]:
        rig = Rig(servers=1)
        rig.call(1, number="n")
        rig.feed(api.CallAbandoned(1))
        rig.controller.gates["s0"].observed_wait_ms = 0.0
        report = api.LoadReport(free_lines=free_lines, lines=1000.0)
        rig.feed(api.ServerReport("s0", api.Result.OK, report, probe=False), rig.now_ms + 1600)
        rig.controller.gates["s0"].observed_wait_ms = wait_ms
        rig.call(2, number="n")  # its aim has passed: it is worth a quarter
        return rig.of(api.Send)

    limit_ms = Rig(servers=0).controller.wait_limit_ms
    assert redialled(50.0, 0.4 * limit_ms)
    assert not redialled(50.0, 0.6 * limit_ms)
    assert not redialled(20.0, 0.0)


def test_a_call_is_not_sent_where_the_wait_is_longer_than_its_callers_time() -> None:
    rig = Rig(servers=2)
    rig.controller.gates["s0"].observed_wait_ms = 300.0  # under the threshold: the gate is clear
    rig.call(1, expires_in_ms=250)
    assert [send.server for send in rig.of(api.Send)] == ["s1"]
    rig.tick(500)
    rig.call(2, expires_in_ms=2000)
    assert [send.server for send in rig.of(api.Send)] == ["s0"]


def test_a_server_last_seen_with_a_long_wait_is_still_tried() -> None:
    rig = Rig(servers=1)
    gate = rig.controller.gates["s0"]
    gate.observed_wait_ms, gate.overloaded = 3500.0, True  # longer than any caller stays
    gate.last_sent_ms = -math.inf
    rig.call(1, expires_in_ms=3000)
    assert [send.server for send in rig.of(api.Send)] == ["s0"]
