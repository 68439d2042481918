"""Subsets in the running parts: configuration, planner and invalid lists; off unless configured."""

from __future__ import annotations

import queue
import tomllib
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from loguru import logger

from capershelf import config as configuration
from capershelf import interface as api
from capershelf.cli import main
from capershelf.core import model as m
from capershelf.core.clock import ManualClock
from capershelf.core.planner import Planner
from capershelf.node import Node, reachable_pools
from capershelf.registry.board import parse_pool
from capershelf.subset import Membership
from tests.peers import OPERATOR
from tests.rig import listed, settings
from tests.test_planner_states import FakeCaller, FakeServers

SERVERS, SIZE = 12, 4


def target(number: int, **more: Any) -> dict[str, Any]:
    return {
        "uid": f"s{number}",
        "endpoint": f"127.0.0.1:{7000 + number}",
        "az": f"z{number % 3}",
        "pod_group": number,
        "state": "up",
        "boot_ms": 0,
    } | more


def table(**more: Any) -> dict[str, Any]:
    found = tomllib.loads(OPERATOR.read_text())
    del found["eureka"], found["websocket"]
    found["settings"]["family-info"]["pools-by-class"] = [list(range(SERVERS))] * 2
    pool = {"rev": 1, "all": True, "targets": [target(number) for number in range(SERVERS)]}
    return found | {"listen": "", "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]}} | more


# -- configuration ------------------------------------------------------------------------------------
@pytest.mark.parametrize(
    ("subset", "problem"),
    [
        ({"size": 3}, "subset.size must be 4 or more, not 3"),
        ({"size": 4.5}, "subset.size must be a whole number"),
        ({"size": "4"}, "subset.size must be a number"),
        ({}, "settings lack subset.size"),
        ({"size": 8, "sise": 9}, "subset.sise is not a setting"),
    ],
)
def test_an_invalid_subset_is_rejected_with_the_path_of_the_setting(
    subset: dict[str, Any], problem: str
) -> None:
    with pytest.raises(ValueError, match=problem.replace(".", r"\.")):
        configuration.read(table(subset=subset), {})


def test_check_config_summarizes_the_subset(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    pool = "".join(
        f'\n[[known.notices.pool.targets]]\nuid = "s{n}"\nendpoint = "127.0.0.1:{7000 + n}"\n'
        f'az = "z{n % 3}"\npod_group = {n % 2}\nstate = "up"\nservice = "{"a" if n < 2 else ""}"\n'
        for n in range(12)
    )
    known = "\n[known]\nrev = 1\n[[known.notices]]\nrev = 1\n[known.notices.pool]\nrev = 1\nall = true\n"
    text = OPERATOR.read_text().replace("[eureka]", "[unused-eureka]")
    path.write_text(
        f"{text[: text.index('[unused-eureka]')]}{text[text.index('[settings]') :]}\n"
        f"[subset]\nsize = 4\n{known}{pool}"
    )
    result = CliRunner().invoke(main, ["check-config", "--config", str(path)])
    assert result.exit_code == 0, result.output
    assert "subset: up to 4 servers of each service: 6 links to 12 listed in 2 service(s)" in result.output
    path.write_text(text[: text.index("[unused-eureka]")] + text[text.index("[settings]") :])
    assert "subset: off" in CliRunner().invoke(main, ["check-config", "--config", str(path)]).output


def test_each_planner_has_the_subset_of_its_slot_only_where_subsetting_is_configured() -> None:
    node = Node(configuration.read(table(subset={"size": SIZE}, planners=2), {}), ManualClock())
    first, second = node.planners
    for planner in node.planners:
        while not planner.inbox.empty():
            planner.step()
    assert len(first._server_states) == len(second._server_states) == SIZE
    assert set(first._server_states) != set(second._server_states)
    off = Node(configuration.read(table(), {}), ManualClock())
    assert off.planners[0].subset is None
    while not off.planners[0].inbox.empty():
        off.planners[0].step()
    assert len(off.planners[0]._server_states) == SERVERS
    for planner in (first, second, off.planners[0]):
        for server in list(planner._server_states):
            planner.servers.close(server)


# -- the planner --------------------------------------------------------------------------------------
class Rig:
    """A planner with a subset, its links up, on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        terms = settings(gateway_count=10)
        self.planner = Planner(terms, 1, self.clock, 500.0)
        self.servers = self.planner.servers = FakeServers(self.clock)
        self.planner.subset = Membership(3, SIZE, terms.ramp_ms)
        self.version = self.epochs = 0
        self.list(*(self.entry(number) for number in range(SERVERS)), complete=True)
        self.planner._review_subset()
        for server in self.members:
            self.up(server)

    @staticmethod
    def entry(number: int, status: api.ServerStatus = api.ServerStatus.ACTIVE) -> m.LocatedServer:
        return m.LocatedServer(
            listed(f"s{number}", number, status), f"127.0.0.1:{7000 + number}", f"z{number % 3}"
        )

    @property
    def members(self) -> list[str]:
        return sorted(one.id for one in self.planner._server_states.values() if not one.draining)

    def list(self, *servers: m.LocatedServer, complete: bool = False) -> None:
        self.version += 1
        self.planner.submit_update(m.ServerListUpdate(self.version, complete, servers))
        self.settle()

    def settle(self) -> None:
        while not self.planner.inbox.empty():
            self.planner.step()

    def put(self, event: m.Event) -> None:
        self.planner.inbox.put(event)
        self.settle()

    def up(self, server: str) -> None:
        self.epochs += 1
        self.put(m.LinkUp(server, self.epochs))

    def advance(self, by_ms: float) -> None:
        for _ in range(round(by_ms / 25.0)):
            self.clock.advance(25.0)
            self.put(m.InboxBarrier(lambda: None))

    def call(self, number: int, preferred_pool: int) -> FakeCaller:
        caller = FakeCaller(False)
        request = m.SetUp(
            f"{number:016x}", "usual", self.clock.now_ms() + 3000.0, f"n{number}", "sdp", preferred_pool
        )
        self.put(m.SetUpReceived(request, caller))
        return caller


def test_a_call_that_prefers_a_server_outside_the_subset_goes_to_a_member() -> None:
    rig = Rig()
    outside = next(number for number in range(SERVERS) if f"s{number}" not in rig.members)
    rig.call(1, outside)
    (server,) = rig.servers.in_flight.values()
    assert server in rig.members


def test_links_are_held_for_members_only() -> None:
    rig = Rig()
    assert len(rig.planner._server_states) == len(rig.members) == SIZE


def test_a_draining_member_is_replaced_and_gets_no_new_calls() -> None:
    rig = Rig()
    drained = rig.members[0]
    rig.servers.draining.add(drained)
    rig.list(rig.entry(int(drained[1:]), api.ServerStatus.DRAINING))
    (substitute,) = set(rig.members) - {drained} - {"s"} - set(Rig().members)
    rig.up(substitute)
    for number in range(1, 30):
        rig.call(number, int(drained[1:]))
        rig.advance(25.0)
    assert len(rig.members) == SIZE and drained not in rig.servers.in_flight.values()


def test_an_established_call_at_a_server_that_left_the_subset_ends_once() -> None:
    rig = Rig()
    before = set(rig.members)
    lost = rig.members[0]
    rig.put(m.LinkDown(lost, None))
    rig.advance(200.0)
    (substitute,) = set(rig.members) - before
    rig.up(substitute)
    for other in before - {lost}:  # so that the call goes to the substitute
        rig.put(m.LinkDown(other, rig.planner._server_states[other].epoch))
    caller = rig.call(1, int(substitute[1:]))
    assert rig.servers.in_flight == {f"{1:016x}": substitute}
    rig.servers.end_attempt(f"{1:016x}", False)
    rig.servers.established[f"{1:016x}"] = substitute
    rig.put(m.ServerAnswered(substitute, f"{1:016x}", "answer", None))
    for server in before:
        rig.up(server)
    rig.advance(7000.0)
    assert rig.planner._server_states[substitute].draining, "the substitute is no longer needed"
    assert set(rig.members) == before
    rig.advance(3000.0)
    assert [type(message) for message in caller.received] == [m.Answered], "the call stays established"
    rig.put(
        m.ServerReleased(
            substitute, f"{1:016x}", m.CAUSE_NORMAL, api.Result.ERROR, api.RefusalReason.UNSPECIFIED, None
        )
    )
    assert [type(message) for message in caller.received] == [m.Answered, m.Ended]
    rig.advance(2000.0)
    assert substitute not in rig.planner._server_states, "its link is closed"
    assert len(caller.received) == 2


def test_a_call_goes_to_a_substitute_when_all_members_are_disconnected() -> None:
    rig = Rig()
    before = set(rig.members)
    caller = rig.call(1, 0)
    first = rig.servers.in_flight.pop(f"{1:016x}")
    for server in before:
        rig.put(m.LinkDown(server, rig.planner._server_states[server].epoch, refused=True))
    rig.advance(225.0)
    substitutes = set(rig.members) - before
    assert len(substitutes) >= SIZE
    for server in sorted(substitutes):
        rig.up(server)
    rig.advance(100.0)  # until the first attempt is released
    assert caller.received == []
    assert rig.servers.in_flight[f"{1:016x}"] in substitutes - {first}


# -- invalid lists ------------------------------------------------------------------------------------
def test_invalid_entries_of_a_long_list_are_the_only_ones_dropped() -> None:
    lines: queue.SimpleQueue[str] = queue.SimpleQueue()
    sink = logger.add(lambda message: lines.put(str(message)), level="WARNING", format="{message}")
    targets = [target(number) for number in range(1100)]
    targets[5] = target(4)  # a duplicate id
    targets[6] = target(6, az=["z1"])  # the zone is no text
    targets[7] = target(7, service=9)  # the service is no text
    targets[8] = target(8, az="z" * 500)
    targets += [target(9, service="other")]  # one server in two services
    try:
        update_read = parse_pool({"rev": 1, "all": True, "targets": targets}, True)
    finally:
        logger.remove(sink)
    assert lines.qsize() == 5
    membership = Membership(3, 20, 14_000.0)
    update = membership.update_list(0.0, update_read.servers, update_read.retained)
    assert len(update_read.servers) == 1100 - 4 and len(update.servers) == 20
    names = [one.listed.server for one in update_read.servers]
    assert len(set(names)) == len(names)
    assert next(one for one in update_read.servers if one.listed.server == "s9").service == ""


def test_subset_pools_are_those_of_all_classes_or_unrestricted() -> None:
    def kind(pools: tuple[int, ...] | None) -> api.CallClass:
        return api.CallClass("a", 1.0, 2.0, pools=None if pools is None else frozenset(pools))

    assert reachable_pools(settings(classes=(kind((0, 1)), kind((1, 2))))) == frozenset({0, 1, 2})
    assert reachable_pools(settings(classes=(kind((0, 1)), kind(None)))) is None
