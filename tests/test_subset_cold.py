"""Cold servers in a fleet with subsets: the proxies that may send to such a server share its budget."""

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
NEW, NEW_POOL = "n0", 99
CALL_INTERVAL_MS = 60.0


def entry(name: str, pool: int, started_ms: float | None = None) -> LocatedServer:
    return LocatedServer(listed(name, pool, started_ms=started_ms), f"{name}:1", f"z{pool % 3}")


class Gateway:
    """A controller with a subset of the servers."""

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
        self.take(now_ms, [entry(f"s{pool}", pool) for pool in range(servers)], frozenset())

    def take(self, now_ms: float, servers: list[LocatedServer], retained: frozenset[str] | None) -> None:
        update = self.membership.update_list(now_ms, servers, retained)
        self.version += 1
        listed_servers = tuple(one.listed for one in update.servers)
        self.controller.handle(now_ms, api.ServerList(self.version, False, listed_servers))


class Fleet:
    """All gateways; every call prefers the new server, which answers at once and counts its set-ups."""

    def __init__(self, proxies: int, servers: int, per_s: float) -> None:
        self.per_s, self.now_ms, self.calls = per_s, 1000.0, 0
        self.random = random.Random(5)
        self.sent: list[float] = []
        self.gateways = [Gateway(slot, proxies, servers, self.now_ms) for slot in range(proxies)]

    def report_warm(self) -> None:
        for one in self.gateways:
            for server in one.membership.members:
                report = api.LoadReport(80.0, 100.0, None, self.per_s * self.random.uniform(0.88, 1.12))
                one.controller.handle(self.now_ms, api.ServerReport(server, api.Result.OK, report, False))

    def start_new(self, late_list: bool) -> int:
        """Start a new server; with late_list half of the proxies also see the first four servers drain.

        So the lists of the proxies differ.  Returns how many have the new server as a member.
        """
        for number, one in enumerate(self.gateways):
            change = [entry(NEW, NEW_POOL, self.now_ms)]
            if late_list and number % 2:
                change += [
                    LocatedServer(listed(f"s{pool}", pool, api.ServerStatus.DRAINING), "")
                    for pool in range(4)
                ]
            one.take(self.now_ms, change, None)
        return sum(NEW in one.membership.members for one in self.gateways)

    def play(self, span_ms: float) -> None:
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms:
            self.now_ms += 25.0
            for one in self.gateways:
                actions = one.controller.handle(self.now_ms, api.TimerFired("tick"))
                if self.random.random() < 25.0 / CALL_INTERVAL_MS:
                    self.calls += 1
                    actions = actions + one.controller.handle(
                        self.now_ms,
                        api.NewCall(self.calls, self.now_ms + 3000.0, "dear", NEW_POOL, f"n{self.calls}"),
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
    fleet.report_warm()
    permitted = fleet.start_new(late_list)
    assert permitted >= proxies * SIZE // (servers + 1) - 3
    fleet.play(3000.0)
    budget = 3.0 * 0.3 * per_s * WINDOW_MS / 1000.0
    assert most_in_a_window(fleet.sent) <= allowed(budget)
    # The server is not left idle, as it would be if tokens were issued to all proxies of the fleet.
    assert len(fleet.sent) >= 0.5 * budget


def test_proxies_without_estimates_send_only_what_any_server_can_handle() -> None:
    fleet = Fleet(60, 30, 0.0)
    fleet.start_new(False)
    fleet.play(1500.0)
    rate = fleet.calls / 1.5 / (30 + 1)  # calls offered to the fleet, per server of the service
    assert most_in_a_window(fleet.sent) <= allowed(max(4.0, 3.0 * 0.3 * rate * math.e))


def test_a_proxy_sends_nothing_to_a_substitute_that_restarts_cold() -> None:
    """A proxy with a server as a substitute has no part of its cold budget, and a restart gives it none."""
    fleet = Fleet(30, 12, 20.0)
    fleet.report_warm()
    one = fleet.gateways[0]
    lost = sorted(one.membership.members)[0]
    update = one.membership.review(fleet.now_ms, lambda server: server == lost, lambda server: True)
    (substitute,) = update.servers
    one.take(fleet.now_ms, [], None)
    name, pool = substitute.listed.server, substitute.listed.pool
    one.controller.handle(fleet.now_ms, api.ServerList(9, False, (substitute.listed,)))
    one.version = 9
    fleet.now_ms += 100.0
    one.take(fleet.now_ms, [entry(name, pool, fleet.now_ms)], None)
    for _ in range(200):
        fleet.now_ms += 25.0
        fleet.calls += 1
        actions = one.controller.handle(
            fleet.now_ms, api.NewCall(fleet.calls, fleet.now_ms + 3000.0, "dear", pool, f"n{fleet.calls}")
        )
        for action in actions:
            if isinstance(action, api.Send):
                assert action.server != name
                one.controller.handle(fleet.now_ms, api.AttemptSucceeded(action.call, 0, action.server, 20.0))
