"""What a fleet with subsets sends a cold server: those proxies that may send to it share its budget."""

from __future__ import annotations

import math
import random

import pytest

from capershelf import interface as api
from capershelf.control import Controller
from capershelf.core.model import LocatedServer
from capershelf.subset import Membership
from tests.rig import listed, settings
from tests.test_cold import allowed, most_in_a_window

WINDOW_MS, RAMP_MS, SIZE = 1000.0, 14_000.0, 6
NEW, NEW_PLACE = "n0", 99
CALLS_EACH_MS = 60.0


def entry(name: str, place: int, started_ms: float | None = None) -> LocatedServer:
    return LocatedServer(listed(name, place, started_ms=started_ms), f"{name}:1", f"z{place % 3}")


class Gateway:
    """A module behind its subset."""

    def __init__(self, slot: int, fleet: int, servers: int, now_ms: float) -> None:
        self.membership = Membership(slot, SIZE, RAMP_MS)
        self.controller = Controller(
            settings(
                gateway_no=slot,
                gateway_count=fleet,
                fall_multiple=3.0,
                fall_ms=WINDOW_MS,
                cold_from=0.3,
                ramp_ms=RAMP_MS,
            ),
            slot,
        )
        self.version = 0
        self.take(now_ms, [entry(f"s{place}", place) for place in range(servers)], frozenset())

    def take(self, now_ms: float, servers: list[LocatedServer], kept: frozenset[str] | None) -> None:
        update = self.membership.update_list(now_ms, servers, kept)
        self.version += 1
        told = tuple(one.listed for one in update.servers)
        self.controller.handle(now_ms, api.ServerList(self.version, False, told))


class Fleet:
    """All gateways; every call asks for the new server, which answers at once and counts what it gets."""

    def __init__(self, proxies: int, servers: int, per_s: float) -> None:
        self.per_s, self.now_ms, self.calls = per_s, 1000.0, 0
        self.random = random.Random(5)
        self.sent: list[float] = []
        self.gateways = [Gateway(slot, proxies, servers, self.now_ms) for slot in range(proxies)]

    def tell_of_warm(self) -> None:
        for one in self.gateways:
            for server in one.membership.members:
                report = api.LoadReport(80.0, 100.0, None, self.per_s * self.random.uniform(0.88, 1.12))
                one.controller.handle(self.now_ms, api.ServerReport(server, api.Result.OK, report, False))

    def start_new(self, late_list: bool) -> int:
        """A new server starts; with a late list half of the proxies have not heard that others have gone."""
        for number, one in enumerate(self.gateways):
            change = [entry(NEW, NEW_PLACE, self.now_ms)]
            if late_list and number % 2:
                change += [
                    LocatedServer(listed(f"s{place}", place, api.ServerStatus.DRAINING), "")
                    for place in range(4)
                ]
            one.take(self.now_ms, change, None)
        return sum(NEW in one.membership.members for one in self.gateways)

    def play(self, span_ms: float) -> None:
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms:
            self.now_ms += 25.0
            for one in self.gateways:
                actions = one.controller.handle(self.now_ms, api.TimerFired("tick"))
                if self.random.random() < 25.0 / CALLS_EACH_MS:
                    self.calls += 1
                    actions = actions + one.controller.handle(
                        self.now_ms,
                        api.NewCall(self.calls, self.now_ms + 3000.0, "dear", NEW_PLACE, f"n{self.calls}"),
                    )
                for action in actions:
                    if isinstance(action, api.Send):
                        if action.server == NEW:
                            self.sent.append(self.now_ms)
                        one.controller.handle(
                            self.now_ms, api.AttemptSucceeded(action.call, 0, action.server, 20.0)
                        )


@pytest.mark.parametrize(("proxies", "servers", "per_s"), [(30, 12, 20.0), (60, 30, 10.0), (60, 30, 40.0)])
@pytest.mark.parametrize("late_list", [False, True])
def test_the_proxies_that_may_send_to_a_cold_server_share_its_budget(
    proxies: int, servers: int, per_s: float, late_list: bool
) -> None:
    fleet = Fleet(proxies, servers, per_s)
    fleet.tell_of_warm()
    may = fleet.start_new(late_list)
    assert may >= proxies * SIZE // (servers + 1) - 3
    fleet.play(3000.0)
    budget = 3.0 * 0.3 * per_s * WINDOW_MS / 1000.0
    assert most_in_a_window(fleet.sent) <= allowed(budget)
    # Not left idle, as it would be with turns dealt out to all proxies alike.
    assert len(fleet.sent) >= 0.5 * budget


def test_proxies_that_know_nothing_of_sizes_send_no_more_than_any_server_can_do() -> None:
    fleet = Fleet(60, 30, 0.0)
    fleet.start_new(False)
    fleet.play(1500.0)
    rate = fleet.calls / 1.5 / (30 + 1)  # what is asked of the fleet, for each server of the service
    assert most_in_a_window(fleet.sent) <= allowed(max(4.0, 3.0 * 0.3 * rate * math.e))


def test_a_substitute_sends_nothing_to_a_server_that_restarts_cold_there() -> None:
    """It is none of those that share the budget, and a restart is no reason to become one."""
    fleet = Fleet(30, 12, 20.0)
    fleet.tell_of_warm()
    one = fleet.gateways[0]
    lost = sorted(one.membership.members)[0]
    update = one.membership.review(fleet.now_ms, lambda server: server == lost, lambda server: True)
    (substitute,) = update.servers
    one.take(fleet.now_ms, [], None)
    name, place = substitute.listed.server, substitute.listed.pool
    one.controller.handle(fleet.now_ms, api.ServerList(9, False, (substitute.listed,)))
    one.version = 9
    fleet.now_ms += 100.0
    one.take(fleet.now_ms, [entry(name, place, fleet.now_ms)], None)
    for _ in range(200):
        fleet.now_ms += 25.0
        fleet.calls += 1
        actions = one.controller.handle(
            fleet.now_ms, api.NewCall(fleet.calls, fleet.now_ms + 3000.0, "dear", place, f"n{fleet.calls}")
        )
        for action in actions:
            if isinstance(action, api.Send):
                assert action.server != name
                one.controller.handle(fleet.now_ms, api.AttemptSucceeded(action.call, 0, action.server, 20.0))
