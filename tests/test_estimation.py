"""Estimates of one sender against simulated servers, and probabilities that add up over a fleet."""

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
REPORT_MS = 1000.0


def rng_of(*seed: int) -> np.random.Generator:
    return np.random.Generator(np.random.PCG64(list(seed)))


def reported_lines(seed: int, per_s: list[float], hold_ms: float = HOLD_MS) -> list[int]:
    """Lines in use each second, with Poisson arrivals at these rates and exponential hold times."""
    rng = rng_of(seed)
    lines_in_use, found = int(rng.poisson(per_s[0] * hold_ms / 1000.0)), []
    for rate in per_s:
        remaining_part = math.exp(-REPORT_MS / hold_ms)
        arrived = int(rng.poisson(rate * REPORT_MS / 1000.0))
        lines_in_use = int(rng.binomial(lines_in_use, remaining_part)) + int(
            rng.binomial(arrived, hold_ms / REPORT_MS * (1.0 - remaining_part))
        )
        found.append(lines_in_use)
    return found


@given(st.integers(0, 10_000), st.floats(1.0, 200.0), st.integers(1, 40))
def test_the_capacity_estimate_is_within_its_stated_error(seed: int, true: float, reports: int) -> None:
    capacity, rng = Capacity(), rng_of(seed)
    assert capacity.per_s is None and capacity.error == math.inf, "no estimate without a report"
    for n in range(reports):
        capacity.update(n * REPORT_MS, true * math.exp(0.1 * rng.standard_normal()))
    assert capacity.per_s is not None
    assert abs(math.log(capacity.per_s / true)) < 4.0 * max(capacity.error, 0.1)


def test_the_capacity_estimate_follows_a_step_within_a_bounded_number_of_reports() -> None:
    for factor, within in ((2.0, 4), (0.5, 24)):
        capacity = Capacity()
        for n in range(20):
            capacity.update(n * REPORT_MS, 20.0)
        for n in range(within):
            capacity.update((20 + n) * REPORT_MS, 20.0 * factor)
        assert capacity.per_s == pytest.approx(20.0 * factor, rel=0.2)
    capacity.update(99 * REPORT_MS, math.nan)
    capacity.update(99 * REPORT_MS, -1.0)
    assert capacity.per_s == pytest.approx(10.0, rel=0.2), "invalid reports are ignored"


def test_the_arrival_rate_is_within_its_stated_error_and_follows_a_step() -> None:
    covered = samples = 0
    for seed in range(60):
        rate = 5.0 + seed
        arrivals, reported = ArrivalRate(), reported_lines(seed, [rate] * 20 + [2.0 * rate] * 8)
        for n, lines_in_use in enumerate(reported):
            arrivals.update(n * REPORT_MS, float(lines_in_use), HOLD_MS, 1.0)
            if n == 0:
                assert arrivals.per_s is None, "one report gives no rate"
            if 3 <= n < 20:
                samples += 1
                covered += abs((arrivals.per_s or 0.0) - rate) < 2.0 * math.sqrt(arrivals.variance)
        assert arrivals.per_s is not None
        assert abs(arrivals.per_s - 2.0 * rate) < 3.0 * math.sqrt(arrivals.variance) + 0.15 * rate, (
            "the step is followed within eight reports"
        )
    assert covered / samples > 0.9


def estimates_of(per_s: dict[str, float], lines: float = 10_000.0) -> FleetEstimates:
    """Estimates of active servers that have each reported their capacity."""
    estimates = FleetEstimates()
    estimates.timing = TIMING
    estimates.update_servers([(server, True, None) for server in per_s])
    for n in range(20):
        estimates.record_call(0.0, HOLD_MS, 1.0, 3.0 if n % 4 == 0 else 1.0)
    for server, rate in per_s.items():
        estimates.record_report(0.0, server, lines, lines, rate)
    return estimates


def test_capacity_shares_follow_reported_capacity_or_else_lines() -> None:
    estimates = FleetEstimates()
    estimates.timing = TIMING
    estimates.update_servers([("a", True, None), ("b", True, None), ("c", True, None)])
    assert estimates.capacity_share("a") == pytest.approx(1.0 / 3.0), "equal shares while nothing is known"
    for server, lines in (("a", 100.0), ("b", 100.0), ("c", 200.0)):
        estimates.record_report(0.0, server, lines, lines, None)
    assert [estimates.capacity_share(server) for server in "abc"] == pytest.approx([0.25, 0.25, 0.5])
    estimates.record_report(1.0, "a", None, None, 30.0)
    estimates.record_report(1.0, "b", None, None, 10.0)
    assert estimates.capacity_share("a") == pytest.approx(3.0 * estimates.capacity_share("b"))
    assert sum(estimates.capacity_share(server) for server in "abc") == pytest.approx(1.0)


def test_no_call_is_rerouted_or_shed_while_capacity_is_unknown() -> None:
    estimates = FleetEstimates()
    estimates.timing = TIMING
    estimates.update_servers([("a", True, None)])
    for n in range(10):
        estimates.record_report(n * REPORT_MS, "a", 0.0, 100.0, None)
    assert estimates.first_choice_share(10_000.0, "a") == 1.0
    assert not estimates.should_shed(10_000.0, 1.0, 0.0)


@pytest.mark.parametrize("demand", [0.6, 1.6, 3.0])
def test_the_rate_from_all_senders_converges_to_the_servers_capacity(demand: float) -> None:
    """All senders see the same lines, each call draws for itself: they send probability times demand."""
    capacity_per_s, sent = 40.0, []
    estimates = estimates_of({"a": capacity_per_s, "b": 400.0})
    rng, lines_in_use = rng_of(int(10 * demand)), 0.9 * capacity_per_s * HOLD_MS / 1000.0
    for n in range(1, 60):
        rate = demand * capacity_per_s * estimates.first_choice_share(n * REPORT_MS, "a")
        sent.append(rate)
        lines_in_use += rng.poisson(rate) - rng.poisson(lines_in_use * REPORT_MS / HOLD_MS)
        estimates.record_report(n * REPORT_MS, "a", 10_000.0 - lines_in_use, 10_000.0, None)
    late = np.array(sent[25:])
    assert late.mean() == pytest.approx(min(demand, 0.98) * capacity_per_s, rel=0.2)
    assert late.std() < 0.25 * capacity_per_s, "the senders do not oscillate in step"


def test_lines_that_become_free_for_all_senders_at_once_do_not_cause_a_burst() -> None:
    capacity_per_s = 40.0
    estimates = estimates_of({"a": capacity_per_s, "b": 400.0}, lines=360.0)
    for n in range(1, 12):  # full: arrivals equal ended calls
        estimates.record_report(n * REPORT_MS, "a", 0.0, 360.0, None)
    assert estimates.first_choice_share(12_000.0, "a") == 0.0
    estimates.record_report(12_000.0, "a", 10.0, 360.0, None)
    first_second_calls = (
        estimates.first_choice_share(12_000.0, "a") * 3.0 * capacity_per_s
    )  # the demand is three times its capacity
    assert 0.0 < first_second_calls <= 1.5 * capacity_per_s


def test_overload_sheds_the_least_worth_and_ignores_a_few_overloaded_servers() -> None:
    estimates = estimates_of({"a": 40.0, "b": 40.0})
    for n in range(31):
        estimates.record_wait(100.0 + n, "a", 800.0)
    assert estimates.overload(200.0) == 0.0, (
        "the loads are unknown yet: small servers may have this wait normally"
    )
    for n in range(2, 6):  # now the loads are known: 33 of 40 set-ups per second
        for server in ("a", "b"):
            estimates.record_report(n * REPORT_MS, server, 9700.0, 10_000.0, None)
    for n in range(10):  # two in ten waits are long
        estimates.record_wait(5000.0 + n, "a", 2500.0 if n < 2 else 40.0)
    assert estimates.overload(5100.0) == 0.0
    for n in range(31):
        estimates.record_wait(6000.0 + n, "a", 800.0)
    over = estimates.overload(6100.0)
    assert 0.1 < over < 0.75, "less than the part of the calls with little worth"
    cheap = [estimates.should_shed(6100.0, 1.0, (n + 0.5) / 100.0) for n in range(100)]
    assert sum(cheap) == pytest.approx(100.0 * over / 0.75, abs=3.0)
    assert not any(estimates.should_shed(6100.0, 3.0, (n + 0.5) / 100.0) for n in range(100))
    assert estimates.overload(20_000.0) == 0.0, "old waits do not count"


def test_free_lines_do_not_attract_calls_to_a_server_whose_set_ups_were_abandoned() -> None:
    estimates = estimates_of({"a": 40.0, "b": 40.0})
    estimates.record_wait(500.0, "a", 3000.0)
    estimates.record_wait(600.0, "a", 3000.0)
    for n in range(1, 5):  # its lines become free since all its set-ups were abandoned
        estimates.record_report(n * REPORT_MS, "a", 9990.0, 10_000.0, None)
    assert estimates.first_choice_share(4000.0, "a") < 0.5
    assert estimates.reroute_weight(4000.0, "a") < estimates.reroute_weight(4000.0, "b")
    for n in range(10):
        estimates.record_wait(4100.0 + n, "a", 10.0)
    assert estimates.first_choice_share(4300.0, "a") > 0.9
    estimates.update_servers([("a", True, 5000.0), ("b", True, None)])
    assert estimates.servers["a"].arrivals.per_s is None, "a restarted process: its arrival rate starts again"


# -- decisions of the controller based on these estimates -----------------------------------------------


def loaded_rig() -> Rig:
    """Two servers that report their lines each second; they answer after 50 ms, then after 300."""
    rig = Rig(classes=tuple(replace(kind, hold_ms=HOLD_MS) for kind in BASE.classes))
    for n in range(8):
        rig.call(n, preferred_pool=n % 2)
        rig.tick(100)
        rig.succeed(n, f"s{n % 2}", 50.0 if n < 2 else 300.0)
        for server in ("s0", "s1"):
            rig.feed(api.ServerReport(server, api.Result.OK, api.LoadReport(500.0, 550.0, None, 40.0), False))
        rig.tick(900)
    return rig


@pytest.mark.parametrize("reports", [True, False])
def test_a_slow_server_that_reports_keeps_its_set_ups_and_a_silent_one_is_ejected(reports: bool) -> None:
    rig = loaded_rig()
    for call in range(10, 16):  # the other server's waits are normal
        rig.controller.estimates.record_wait(rig.now_ms, "s1", 400.0)
        rig.call(call, preferred_pool=1)
        rig.tick(10)
    rig.call(20, preferred_pool=0)
    assert rig.of(api.Send)[0].server == "s0"
    for n in range(11):  # silence is twice the limit and three usual answer times: 990 ms
        rig.controller.estimates.record_wait(rig.now_ms, "s1", 400.0)
        if reports and n % 10 == 0:
            rig.feed(api.ServerReport("s0", api.Result.OK, api.LoadReport(500.0, 550.0), False))
        rig.tick(100)
    gate = rig.controller.gates["s0"]
    assert gate.is_alive(rig.now_ms) is reports
    assert gate.ejected is not reports


def test_calls_avoid_a_server_overloaded_by_all_senders_and_return_afterwards() -> None:
    rig = loaded_rig()
    estimate = rig.controller.estimates.servers["s0"]
    firsts: list[int] = []
    for integral in (0.0, 2.0, 0.0):
        estimate.load_integral, estimate.load_error = integral, 0.0
        sent_to_first = 0
        for n in range(60):
            call = int(1000 * (1 + len(firsts))) + n
            rig.call(call, preferred_pool=0)
            sent_to_first += rig.of(api.Send)[0].server == "s0"
            rig.succeed(call, rig.of(api.Send)[0].server, 60.0)
        firsts.append(sent_to_first)
    assert firsts[0] == firsts[2] == 60, "the first choice is kept while it has capacity"
    assert 0 < firsts[1] < 25, "a part of the calls, by each call's own draw"


def test_probes_of_all_senders_to_a_loaded_server_stay_within_their_rate() -> None:
    probe_count = 0
    for gateway in range(40):
        rig = Rig(gateway_no=gateway, gateway_count=400, may_probe=True)
        gate = rig.controller.gates["s0"]
        gate.last_probe_ms = (
            rig.now_ms - gateway / 40.0 * rig.controller.probe_interval_ms
        )  # spread evenly over the probe interval
        for n in range(20):
            gate.ejected = True
            rig.call(n, preferred_pool=0)
            probe_count += sum(1 for one in rig.of(api.Probe) if one.server == "s0")
            rig.tick(500)
    assert 0 < probe_count <= 8.0 * 10.0 * 40 / 400 + 1, (
        "40 of 400 senders for ten seconds; all 400 send eight probes per second"
    )
