"""The overload detector and the gate of docs/design.md, on numbers calculated by hand."""

from __future__ import annotations

import math

import pytest

from capershelf import control
from capershelf import interface as api
from tests.rig import Rig, listed


def gate(**values: float) -> control.Gate:
    made = control.Gate(listed("s0", 0), 0)
    for name, value in values.items():
        setattr(made, name, value)
    return made


def test_averages_are_exponential() -> None:
    g = gate(sent_load=10.0, answered_load=4.0)
    g.update_ratio()
    assert (g.sent_average, g.answered_average) == pytest.approx((3.0, 1.2))  # 0.3 of the newest interval
    g.sent_load, g.answered_load = 2.0, 2.0
    g.update_ratio()
    assert (g.sent_average, g.answered_average) == pytest.approx(
        (2.7, 1.44)
    )  # 3 + 0.3 x (2 - 3), 1.2 + 0.3 x 0.8
    assert (g.sent_load, g.answered_load) == (0.0, 0.0)


def test_a_ratio_above_1_2_sets_the_overload_flag_after_20_set_ups() -> None:
    for set_ups, overloaded in ((19, False), (20, True)):
        g = gate(sent_load=13.0, answered_load=10.0, outstanding=3.0, set_ups=set_ups)
        g.update_ratio()
        g.update_overloaded(0.0, 400.0, waiting=True)
        assert g.overloaded is overloaded


def test_a_ratio_of_exactly_1_2_does_not_set_the_overload_flag() -> None:
    g = gate(sent_load=12.0, answered_load=10.0, outstanding=3.0, set_ups=20)
    g.update_ratio()
    assert not g.ratio_high


def test_one_or_two_outstanding_set_ups_are_no_overload() -> None:
    g = gate(sent_load=2.0, answered_load=0.0, outstanding=2.0, set_ups=20)
    g.update_ratio()
    assert not g.ratio_high


def test_the_ratio_is_not_high_after_an_interval_without_sends() -> None:
    g = gate(sent_average=9.0, answered_average=1.0, outstanding=9.0, set_ups=20, ratio_high=1.0)
    g.update_ratio()
    assert not g.ratio_high


@pytest.mark.parametrize(("outstanding", "threshold"), [(4.0, 10.0), (17.0, 17.0)])
def test_a_high_ratio_sets_the_threshold_to_at_least_ten(outstanding: float, threshold: float) -> None:
    g = gate(sent_load=20.0, answered_load=2.0, outstanding=outstanding, set_ups=20)
    assert g.threshold == math.inf
    g.update_ratio()
    assert g.threshold == threshold


def test_outstanding_above_the_threshold_with_a_low_ratio_raises_it() -> None:
    g = gate(sent_load=10.0, answered_load=10.0, outstanding=14.0, set_ups=20, threshold=10.0)
    g.update_overloaded(0.0, 400.0, waiting=True)
    assert g.overloaded
    g.update_ratio()
    assert g.threshold == 14.0
    g.update_overloaded(0.0, 400.0, waiting=True)
    assert not g.overloaded


def test_the_overload_flag_clears_when_the_ratio_falls_or_nothing_waits() -> None:
    g = gate(sent_load=20.0, answered_load=2.0, outstanding=4.0, set_ups=20)
    g.update_ratio()
    g.update_overloaded(0.0, 400.0, waiting=True)
    assert g.overloaded
    g.update_overloaded(0.0, 400.0, waiting=False)  # nothing waits and 4 is under 10
    assert not g.overloaded
    g.ratio_high = True
    g.update_overloaded(0.0, 400.0, waiting=True)
    assert g.overloaded
    g.sent_load, g.answered_load, g.sent_average, g.answered_average = 5.0, 5.0, 5.0, 5.0
    g.update_ratio()
    g.update_overloaded(0.0, 400.0, waiting=True)
    assert not g.overloaded


def test_a_wait_over_the_limit_sets_the_overload_flag_at_once() -> None:
    rig = Rig(servers=1)
    rig.call(1)
    limit_ms = rig.controller.wait_limit_ms
    rig.tick(limit_ms + 1)
    assert rig.controller.gates["s0"].overloaded
    rig.call(2)
    assert not rig.of(api.Send)


def overloaded_rig() -> Rig:
    """One overloaded server with one pending set-up, and three held calls."""
    rig = Rig(servers=1, gateway_count=16)
    rig.call(1)
    rig.tick(rig.controller.wait_limit_ms + 1)
    rig.call(2)
    rig.tick(1)
    rig.call(3, call_class="dear")
    rig.tick(1)
    rig.call(4)
    assert not rig.of(api.Send)
    return rig


def test_each_answer_releases_its_weight_by_worth_then_age() -> None:
    rig = overloaded_rig()
    g = rig.controller.gates["s0"]
    g.base_latency_ms = 40.0
    rig.controller.wait_limit_ms = 300.0
    # 0.6 of 600 ms: 360 is over the limit of 300, but under the 480 for calls of class dear
    rig.succeed(1, wait_ms=640)
    assert [send.call for send in rig.of(api.Send)] == [3]
    assert g.overloaded


def test_a_heavy_call_is_not_released_by_a_light_answer() -> None:
    rig = Rig(servers=1, gateway_count=16)
    rig.call(1)
    rig.tick(rig.controller.wait_limit_ms + 1)
    rig.call(2, call_class="dear", width=2)
    rig.controller.gates["s0"].base_latency_ms = 40.0
    rig.controller.wait_limit_ms = 300.0
    rig.succeed(1, wait_ms=640)
    assert not rig.of(api.Send)


def test_an_overloaded_server_with_nothing_outstanding_gets_the_oldest_call_after_a_pause() -> None:
    rig = overloaded_rig()
    g = rig.controller.gates["s0"]
    sent_ms = g.last_sent_ms
    g.observed_wait_ms = 430.0
    rig.end_attempt(1, "s0", api.Result.ERROR, reason=api.RefusalReason.NUMBER_BUSY)
    assert not rig.of(api.Send)
    # Two new calls a second, and a single server.
    setattr(rig.controller.new_call_meter, "value", lambda now_ms: 0.002)  # noqa: B010
    pause_ms = 500.0 * control.TRIAL_GAPS * (430.0 / rig.controller.wait_limit_ms) ** 2
    rig.tick(sent_ms + pause_ms - 1 - rig.now_ms)
    assert not rig.of(api.Send)
    rig.tick(2)
    assert [send.call for send in rig.of(api.Send)] == [2]  # the oldest of usual worth
    rig.tick(1)
    assert not rig.of(api.Send)


def test_a_call_is_refused_after_two_servers_answered_full() -> None:
    rig = Rig(servers=3)
    rig.call(1, preferred_pool=1)
    assert [send.server for send in rig.of(api.Send)] == ["s1"]
    others = [name for name in rig.controller.gates if name != "s1"]
    rig.end_attempt(1, "s1", api.Result.FULL, reason=api.RefusalReason.PROCESSOR_FULL)
    assert [send.server for send in rig.of(api.Send)] == [others[0]]  # next in the sender's hash order
    rig.end_attempt(1, others[0], api.Result.FULL, reason=api.RefusalReason.PROCESSOR_FULL)
    assert rig.last[0] == api.Refuse(1)


def test_a_server_that_fails_many_numbers_is_ejected_and_its_calls_are_rerouted() -> None:
    rig = Rig(servers=2)
    for number in range(control.MAX_FAILED_NUMBERS):
        rig.call(number)
        rig.end_attempt(number, "s0", api.Result.ERROR)
        assert [send.server for send in rig.of(api.Send)] == ["s1"]
        rig.succeed(number, "s1")
    assert rig.controller.gates["s0"].ejected
    rig.call(99)
    assert [send.server for send in rig.of(api.Send)] == ["s1"]


def test_one_busy_number_does_not_eject_its_server() -> None:
    rig = Rig(servers=2)
    for call in range(6):
        rig.call(call, number="same")
        rig.end_attempt(call, "s0", api.Result.ERROR, reason=api.RefusalReason.NUMBER_BUSY)
        assert rig.of(api.Fail) == [api.Fail(call)]
    assert not rig.controller.gates["s0"].ejected


def test_held_calls_do_not_pass_a_reopened_gate_in_one_burst() -> None:
    rig = overloaded_rig()
    rig.succeed(1, wait_ms=10)
    assert len(rig.of(api.Send)) == 1
    rig.tick(1)
    assert len(rig.of(api.Send)) == 0


def test_free_lines_are_counted_between_reports() -> None:
    rig = Rig(servers=1)
    report = api.ServerReport("s0", api.Result.OK, api.LoadReport(free_lines=1.0), probe=False)
    rig.feed(report)
    rig.call(1)
    assert [send.call for send in rig.of(api.Send)] == [1]
    rig.succeed(1)
    rig.call(2)
    assert not rig.of(api.Send)  # the gateway's own set-up has taken the last line
    rig.end_attempt(1, "s0", api.Result.OK, call_finished=True)
    assert [send.call for send in rig.of(api.Send)] == [2]  # and the end of the call freed it


def test_a_small_server_does_not_count_as_silent_within_its_usual_answer_time() -> None:
    rig = Rig(servers=2)
    g = rig.controller.gates["s0"]
    g.base_latency_ms = 250.0
    rig.call(1)
    silent_ms = 2 * rig.controller.wait_limit_ms + 3 * 250
    rig.tick(silent_ms - 1)
    assert not g.ejected
    assert not rig.of(api.Cancel)
    rig.tick(2)
    assert g.ejected
    assert rig.of(api.Cancel) == [api.Cancel(1, 0)]


def test_a_late_call_is_not_released_to_an_overloaded_server() -> None:
    rig = overloaded_rig()
    g = rig.controller.gates["s0"]
    g.base_latency_ms = 40.0
    rig.controller.wait_limit_ms = 300.0
    for call in rig.controller.held.values():
        call.aim_due_ms = rig.now_ms
    rig.succeed(1, wait_ms=640)
    assert g.overloaded
    assert not rig.of(api.Send)


def test_the_report_of_a_failed_probe_is_ignored() -> None:
    rig = Rig(servers=1)
    report = api.LoadReport(free_lines=0.0, wait_ms=900.0)
    rig.feed(api.ServerReport("s0", api.Result.TIMEOUT, report, probe=True))
    assert rig.controller.gates["s0"].observed_wait_ms == 0.0
    rig.call(1)
    assert rig.of(api.Send)


def test_an_idle_server_of_a_busy_site_is_not_paced_until_it_was_overloaded() -> None:
    """In the first seconds there are few answers to derive a pace from, and idle servers got no calls."""
    rig = Rig(servers=1)
    gate = rig.controller.gates["s0"]
    rig.list_of(listed("s0", 0, api.ServerStatus.DRAINING), complete=False)
    for number in range(200):
        rig.now_ms += 5
        rig.call(number, expires_in_ms=9000)
    rig.list_of(listed("s0", 0), complete=False)
    rig.tick()
    sent = len(rig.of(api.Send))
    assert 3 <= sent <= 50  # some at once, but no more than fit the wait limit
    for send in rig.of(api.Send):
        rig.succeed(send.call, wait_ms=20)
    gate.last_overload_ms = rig.now_ms
    rig.tick()
    assert len(rig.of(api.Send)) <= 2
    gate.last_overload_ms = -10000.0
    rig.tick()
    assert len(rig.of(api.Send)) >= 3


def test_held_calls_pass_a_server_that_was_overloaded_one_by_one() -> None:
    rig = Rig(servers=1)
    rig.call(1, expires_in_ms=9000)
    rig.tick(600)  # no answer for longer than the wait limit: overloaded
    for number in range(2, 9):
        rig.call(number)
    rig.succeed(1, wait_ms=20)
    assert len(rig.of(api.Send)) <= 2


def test_a_warm_server_that_is_new_to_the_gateway_is_paced_by_its_assumed_rate() -> None:
    """Without an assumed rate an idle server goes unused: it has no answers to derive a pace from."""
    rig = Rig(servers=1)
    for number in range(300):  # 50 a second, all answered: the best rate is known
        rig.now_ms += 20
        rig.call(number)
        rig.succeed(number, wait_ms=20)
    rig.list_of(listed("s0", 0, api.ServerStatus.DRAINING), complete=False)
    for number in range(300, 320):
        rig.call(number, expires_in_ms=9000)
    rig.list_of(listed("s1", 0), complete=False)
    sent = 0
    for _ in range(16):
        for send in rig.tick():
            if isinstance(send, api.Send):
                assert send.server == "s1"
                rig.succeed(send.call, "s1", wait_ms=20)
                sent += 1
    assert sent >= 6, "without the assumed rate there are two, 200 ms apart"


def fail_call(rig: Rig, number: int, *servers: str) -> None:
    """Make a call that gets an error from each of these servers in turn."""
    rig.call(number, preferred_pool=int(servers[0][1]))
    for server in servers:
        rig.end_attempt(number, server, api.Result.ERROR)


def test_a_server_that_fails_some_set_ups_stays_in_use_and_one_that_fails_all_is_ejected() -> None:
    rig = Rig(servers=2)
    gate = rig.controller.gates["s0"]
    for number in range(60):  # two in five fail
        rig.now_ms += 50
        rig.call(number)
        if number % 5 < 2:
            rig.end_attempt(number, "s0", api.Result.ERROR)
            assert [send.server for send in rig.of(api.Send)] == ["s1"]
            rig.succeed(number, "s1")
        else:
            rig.succeed(number)
        assert not gate.ejected
    for number in range(60, 80):
        rig.now_ms += 50
        rig.call(number)
        if rig.of(api.Send)[0].server == "s0":
            rig.end_attempt(number, "s0", api.Result.ERROR)
        rig.succeed(number, "s1")
    assert gate.ejected
    assert gate.ejected_for_errors


def test_numbers_that_fail_at_all_servers_eject_none() -> None:
    """Callers that ask for hundreds of unknown numbers must not get the servers ejected."""
    rig = Rig(servers=2)
    for number in range(100):
        rig.now_ms += 20
        fail_call(rig, number, "s0", "s1")
        assert rig.of(api.Fail) == [api.Fail(number)]
        assert not any(gate.ejected for gate in rig.controller.gates.values())
    for number in range(100, 100 + 3 * 8):  # all at once, before the second server has answered any
        rig.call(number)
    for number in range(100, 100 + 3 * 8):
        rig.end_attempt(number, "s0", api.Result.ERROR)
    assert rig.controller.gates["s0"].ejected_for_errors
    for number in range(100, 100 + 3 * 8):
        if rig.controller.calls.get(number) is not None and rig.controller.calls[number].server == "s1":
            rig.end_attempt(number, "s1", api.Result.ERROR)
    assert not rig.controller.gates["s0"].ejected
    assert len(rig.controller.gates["s0"].failed_numbers) < 8


def test_a_failed_call_is_retried_at_its_server_when_no_other_is_open_up_to_a_limit() -> None:
    rig = Rig(servers=2)
    rig.controller.gates["s1"].overloaded = True
    rig.controller.gates["s1"].observed_wait_ms = 5000.0
    rig.call(1)
    for _ in range(2):
        rig.end_attempt(1, "s0", api.Result.ERROR)
        assert [send.server for send in rig.of(api.Send)] == ["s0"]
    rig.end_attempt(1, "s0", api.Result.ERROR)
    assert rig.of(api.Fail) == [api.Fail(1)]


def test_one_lost_answer_does_not_make_a_working_server_slow() -> None:
    """A processor has a single queue: a set-up is lost if others sent later were answered long ago."""
    rig = Rig(servers=1)
    gate = rig.controller.gates["s0"]
    rig.call(1, expires_in_ms=9000)
    cancelled: list[int] = []
    for number in range(2, 20):
        rig.tick(50)
        cancelled += [action.call for action in rig.of(api.Cancel)]
        rig.call(number)
        assert [send.call for send in rig.of(api.Send)] == [number]
        rig.tick(25)
        rig.succeed(number)
        assert not gate.overloaded
        assert not gate.ejected
        if cancelled:
            break
    assert cancelled == [1], "the attempt is cancelled, to be sent again"
    rig.end_attempt(1, "s0", api.Result.CANCELLED)
    assert gate.observed_wait_ms < 100
    rig.tick(275)
    assert not rig.of(api.Send), "its release is not over"
    rig.tick(50)
    assert [send.call for send in rig.of(api.Send)] == [1], "although the call is older than the longest hold"


def test_a_server_that_stops_answering_counts_as_overloaded() -> None:
    rig = Rig(servers=1)
    gate = rig.controller.gates["s0"]
    rig.call(1)
    rig.tick(50)
    rig.succeed(1)
    for number in range(2, 6):
        rig.call(number)
    rig.tick(700)
    assert gate.overloaded


def test_the_cost_of_a_tick_does_not_grow_with_the_square_of_the_servers() -> None:
    """Counts overload checks instead of time.  All servers are silent and have a pending set-up."""

    def checks(servers: int) -> int:
        rig = Rig(servers=servers, gateway_count=1, release_ms=200.0)
        for number in range(servers):
            rig.call(number, preferred_pool=number, expires_in_ms=9000)
        rig.tick(3000)
        check_overload, count = rig.controller.check_overload, 0

        def counted(gate: control.Gate) -> bool:
            nonlocal count
            count += 1
            return check_overload(gate)

        rig.controller.check_overload = counted  # type: ignore[method-assign]
        rig.tick()
        return count

    assert 0 < checks(160) < 3 * checks(80)


def test_all_servers_with_reported_lines_may_be_removed() -> None:
    """The shares of the remaining servers must not take the minimum of an empty set of line counts."""
    rig = Rig(servers=1)
    rig.feed(api.ServerReport("s0", api.Result.OK, api.LoadReport(5, 10), False))
    rig.now_ms += 1000.0
    rig.list_of(listed("s1", 1))
    rig.now_ms += 61_000.0
    rig.list_of(listed("s1", 1))
    assert [send.server for send in (rig.call(1, preferred_pool=1), rig.of(api.Send))[1]] == ["s1"]
