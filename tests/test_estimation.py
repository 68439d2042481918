"""What a sender knows from little: estimates against simulated truth, shares that add up over a fleet."""

from __future__ import annotations

import math
from dataclasses import replace

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from capershelf import interface as api
from capershelf.estimation import FleetEstimates, Timing
from capershelf.estimation.server_rates import ArrivalRate, Capacity
from tests.rig import BASE, Rig

TIMING = Timing(aim_ms=1500.0, cold_from=0.3, ramp_ms=10_000.0)
HOLD_MS = 9000.0
TOLD_MS = 1000.0


def rng_of(*seed: int) -> np.random.Generator:
    return np.random.Generator(np.random.PCG64(list(seed)))


def lines_told(seed: int, per_s: list[float], hold_ms: float = HOLD_MS) -> list[int]:
    """Taken lines each second: calls come by chance at these rates and last by chance."""
    rng = rng_of(seed)
    taken, found = int(rng.poisson(per_s[0] * hold_ms / 1000.0)), []
    for rate in per_s:
        stay = math.exp(-TOLD_MS / hold_ms)
        came = int(rng.poisson(rate * TOLD_MS / 1000.0))
        taken = int(rng.binomial(taken, stay)) + int(rng.binomial(came, hold_ms / TOLD_MS * (1.0 - stay)))
        found.append(taken)
    return found


@given(st.integers(0, 10_000), st.floats(1.0, 200.0), st.integers(1, 40))
def test_a_size_is_told_with_an_error_that_covers_the_truth(seed: int, true: float, tellings: int) -> None:
    capacity, rng = Capacity(), rng_of(seed)
    assert capacity.per_s is None and capacity.error == math.inf, "nothing told, nothing known"
    for n in range(tellings):
        capacity.update(n * TOLD_MS, true * math.exp(0.1 * rng.standard_normal()))
    assert capacity.per_s is not None
    assert abs(math.log(capacity.per_s / true)) < 4.0 * max(capacity.error, 0.1)


def test_a_size_follows_a_step_within_a_stated_number_of_tellings() -> None:
    for factor, within in ((2.0, 4), (0.5, 24)):
        capacity = Capacity()
        for n in range(20):
            capacity.update(n * TOLD_MS, 20.0)
        for n in range(within):
            capacity.update((20 + n) * TOLD_MS, 20.0 * factor)
        assert capacity.per_s == pytest.approx(20.0 * factor, rel=0.2)
    capacity.update(99 * TOLD_MS, math.nan)
    capacity.update(99 * TOLD_MS, -1.0)
    assert capacity.per_s == pytest.approx(10.0, rel=0.2), "what makes no sense is passed over"


def test_a_flow_is_told_with_an_error_that_covers_the_truth_and_follows_a_step() -> None:
    covered = looks = 0
    for seed in range(60):
        rate = 5.0 + seed
        arrivals, told = ArrivalRate(), lines_told(seed, [rate] * 20 + [2.0 * rate] * 8)
        for n, taken in enumerate(told):
            arrivals.update(n * TOLD_MS, float(taken), HOLD_MS, 1.0)
            if n == 0:
                assert arrivals.per_s is None, "one telling is no rate"
            if 3 <= n < 20:
                looks += 1
                covered += abs((arrivals.per_s or 0.0) - rate) < 2.0 * math.sqrt(arrivals.variance)
        assert arrivals.per_s is not None
        assert abs(arrivals.per_s - 2.0 * rate) < 3.0 * math.sqrt(arrivals.variance) + 0.15 * rate, "in eight"
    assert covered / looks > 0.9


def estimates_of(per_s: dict[str, float], lines: float = 10_000.0) -> FleetEstimates:
    """All servers are active, and each has told what it can do."""
    estimates = FleetEstimates()
    estimates.timing = TIMING
    estimates.update_servers([(server, True, None) for server in per_s])
    for n in range(20):
        estimates.record_call(0.0, HOLD_MS, 1.0, 3.0 if n % 4 == 0 else 1.0)
    for server, rate in per_s.items():
        estimates.record_report(0.0, server, lines, lines, rate)
    return estimates


def test_shares_go_by_what_servers_told_and_by_lines_where_they_did_not() -> None:
    estimates = FleetEstimates()
    estimates.timing = TIMING
    estimates.update_servers([("a", True, None), ("b", True, None), ("c", True, None)])
    assert estimates.capacity_share("a") == pytest.approx(1.0 / 3.0), "nothing known: all alike"
    for server, lines in (("a", 100.0), ("b", 100.0), ("c", 200.0)):
        estimates.record_report(0.0, server, lines, lines, None)
    assert [estimates.capacity_share(server) for server in "abc"] == pytest.approx([0.25, 0.25, 0.5])
    estimates.record_report(1.0, "a", None, None, 30.0)
    estimates.record_report(1.0, "b", None, None, 10.0)
    assert estimates.capacity_share("a") == pytest.approx(3.0 * estimates.capacity_share("b"))
    assert sum(estimates.capacity_share(server) for server in "abc") == pytest.approx(1.0)


def test_nothing_is_held_back_where_nothing_is_known() -> None:
    estimates = FleetEstimates()
    estimates.timing = TIMING
    estimates.update_servers([("a", True, None)])
    for n in range(10):
        estimates.record_report(n * TOLD_MS, "a", 0.0, 100.0, None)
    assert estimates.first_choice_share(10_000.0, "a") == 1.0
    assert not estimates.should_shed(10_000.0, 1.0, 0.0)


@pytest.mark.parametrize("wanted", [0.6, 1.6, 3.0])
def test_what_all_senders_send_settles_at_what_a_server_can_take(wanted: float) -> None:
    """All see the same lines and each call draws for itself: the sum is the chance times what is wanted."""
    able, sent = 40.0, []
    estimates = estimates_of({"a": able, "b": 400.0})
    rng, taken = rng_of(int(10 * wanted)), 0.9 * able * HOLD_MS / 1000.0
    for n in range(1, 60):
        rate = wanted * able * estimates.first_choice_share(n * TOLD_MS, "a")
        sent.append(rate)
        taken += rng.poisson(rate) - rng.poisson(taken * TOLD_MS / HOLD_MS)
        estimates.record_report(n * TOLD_MS, "a", 10_000.0 - taken, 10_000.0, None)
    late = np.array(sent[25:])
    assert late.mean() == pytest.approx(min(wanted, 0.98) * able, rel=0.2)
    assert late.std() < 0.25 * able, "no swing of all together"


def test_a_server_that_turns_free_at_one_moment_for_all_is_not_run_over() -> None:
    able = 40.0
    estimates = estimates_of({"a": able, "b": 400.0}, lines=360.0)
    for n in range(1, 12):  # full, as many come as end
        estimates.record_report(n * TOLD_MS, "a", 0.0, 360.0, None)
    assert estimates.first_choice_share(12_000.0, "a") == 0.0
    estimates.record_report(12_000.0, "a", 10.0, 360.0, None)
    first_second = (
        estimates.first_choice_share(12_000.0, "a") * 3.0 * able
    )  # three times what it can do is wanted there
    assert 0.0 < first_second <= 1.5 * able


def test_what_is_too_much_is_refused_by_worth_and_not_for_a_few_crushed_servers() -> None:
    estimates = estimates_of({"a": 40.0, "b": 40.0})
    for n in range(31):
        estimates.record_wait(100.0 + n, "a", 800.0)
    assert estimates.overload(200.0) == 0.0, (
        "nothing tells the loads yet: it may be small servers' usual wait"
    )
    for n in range(2, 6):  # from here on they are known: 33 of 40 a second
        for server in ("a", "b"):
            estimates.record_report(n * TOLD_MS, server, 9700.0, 10_000.0, None)
    for n in range(10):  # two in ten waits are long
        estimates.record_wait(5000.0 + n, "a", 2500.0 if n < 2 else 40.0)
    assert estimates.overload(5100.0) == 0.0
    for n in range(31):
        estimates.record_wait(6000.0 + n, "a", 800.0)
    over = estimates.overload(6100.0)
    assert 0.1 < over < 0.75, "less than the part of the calls that are worth little"
    cheap = [estimates.should_shed(6100.0, 1.0, (n + 0.5) / 100.0) for n in range(100)]
    assert sum(cheap) == pytest.approx(100.0 * over / 0.75, abs=3.0)
    assert not any(estimates.should_shed(6100.0, 3.0, (n + 0.5) / 100.0) for n in range(100))
    assert estimates.overload(20_000.0) == 0.0, "what was seen long ago says nothing of now"


def test_lines_do_not_speak_for_a_server_whose_set_ups_were_given_up() -> None:
    estimates = estimates_of({"a": 40.0, "b": 40.0})
    estimates.record_wait(500.0, "a", 3000.0)
    estimates.record_wait(600.0, "a", 3000.0)
    for n in range(1, 5):  # its lines fall free: all that was sent was given up
        estimates.record_report(n * TOLD_MS, "a", 9990.0, 10_000.0, None)
    assert estimates.first_choice_share(4000.0, "a") < 0.5
    assert estimates.reroute_weight(4000.0, "a") < estimates.reroute_weight(4000.0, "b")
    for n in range(10):
        estimates.record_wait(4100.0 + n, "a", 10.0)
    assert estimates.first_choice_share(4300.0, "a") > 0.9
    estimates.update_servers([("a", True, 5000.0), ("b", True, None)])
    assert estimates.servers["a"].arrivals.per_s is None, "another process: its lines begin anew"


# -- the module by these estimates ----------------------------------------------------------------------


def pressed_rig() -> Rig:
    """Two servers that tell their lines each second; they answer after 50 ms, then after 300."""
    rig = Rig(classes=tuple(replace(kind, hold_ms=HOLD_MS) for kind in BASE.classes))
    for n in range(8):
        rig.call(n, far_end=n % 2)
        rig.tick(100)
        rig.stands(n, f"s{n % 2}", 50.0 if n < 2 else 300.0)
        for server in ("s0", "s1"):
            rig.tell(api.ServerReport(server, api.Result.OK, api.LoadReport(500.0, 550.0, None, 40.0), False))
        rig.tick(900)
    return rig


@pytest.mark.parametrize("tells", [True, False])
def test_a_slow_server_that_tells_its_state_is_left_its_set_ups_a_silent_one_is_not(tells: bool) -> None:
    rig = pressed_rig()
    for call in range(10, 16):  # the others wait their usual time, too
        rig.controller.estimates.record_wait(rig.now_ms, "s1", 400.0)
        rig.call(call, far_end=1)
        rig.tick(10)
    rig.call(20, far_end=0)
    assert rig.of(api.Send)[0].server == "s0"
    for n in range(11):  # as silence counts twice the limit and three usual answers: 990 ms
        rig.controller.estimates.record_wait(rig.now_ms, "s1", 400.0)
        if tells and n % 10 == 0:
            rig.tell(api.ServerReport("s0", api.Result.OK, api.LoadReport(500.0, 550.0), False))
        rig.tick(100)
    gate = rig.controller.gates["s0"]
    assert gate.lives(rig.now_ms) is tells
    assert gate.silent is not tells


def test_calls_go_round_a_server_of_which_all_ask_too_much_and_back_when_they_do_not() -> None:
    rig = pressed_rig()
    seen = rig.controller.estimates.servers["s0"]
    firsts: list[int] = []
    for price in (0.0, 2.0, 0.0):
        seen.load_integral, seen.load_error = price, 0.0
        went = 0
        for n in range(60):
            call = int(1000 * (1 + len(firsts))) + n
            rig.call(call, far_end=0)
            went += rig.of(api.Send)[0].server == "s0"
            rig.stands(call, rig.of(api.Send)[0].server, 60.0)
        firsts.append(went)
    assert firsts[0] == firsts[2] == 60, "the first choice is kept while it has room"
    assert 0 < firsts[1] < 25, "a share of them, drawn by each call for itself"


def test_a_pressed_server_is_asked_no_faster_than_all_senders_together_may() -> None:
    asked = 0
    for gateway in range(40):
        rig = Rig(gateway_no=gateway, gateway_count=400, may_probe=True)
        gate = rig.controller.gates["s0"]
        gate.probed_ms = rig.now_ms - gateway / 40.0 * rig.controller.ask_ms  # their phases are drawn
        for n in range(20):
            gate.silent = True
            rig.call(n, far_end=0)
            asked += sum(1 for one in rig.of(api.Probe) if one.server == "s0")
            rig.tick(500)
    assert 0 < asked <= 8.0 * 10.0 * 40 / 400 + 1, "ten seconds of 40 of 400 senders, eight a second of all"
