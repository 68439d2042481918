"""Subsets in the running parts: configuration, planner, odd lists; off unless an operator's file has them."""

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
def test_a_subset_that_makes_no_sense_gets_one_error_with_its_path(
    subset: dict[str, Any], problem: str
) -> None:
    with pytest.raises(ValueError, match=problem.replace(".", r"\.")):
        configuration.read(table(subset=subset), {})


def test_check_config_says_what_the_subset_gives(tmp_path: Path) -> None:
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
    told = CliRunner().invoke(main, ["check-config", "--config", str(path)])
    assert told.exit_code == 0, told.output
    assert "subset: up to 4 servers of each service: 6 links to 12 listed in 2 service(s)" in told.output
    path.write_text(text[: text.index("[unused-eureka]")] + text[text.index("[settings]") :])
    assert "subset: off" in CliRunner().invoke(main, ["check-config", "--config", str(path)]).output


def test_each_planner_has_the_subset_of_its_own_slot_and_none_unless_it_is_turned_on() -> None:
    node = Node(configuration.read(table(subset={"size": SIZE}, planners=2), {}), ManualClock())
    first, second = node.planners
    for planner in node.planners:
        while not planner.inbox.empty():
            planner.step()
    assert len(first._known) == len(second._known) == SIZE
    assert set(first._known) != set(second._known)
    off = Node(configuration.read(table(), {}), ManualClock())
    assert off.planners[0].subset is None
    while not off.planners[0].inbox.empty():
        off.planners[0].step()
    assert len(off.planners[0]._known) == SERVERS
    for planner in (first, second, off.planners[0]):
        for server in list(planner._known):
            planner.servers.close(server)


# -- the planner --------------------------------------------------------------------------------------
class Rig:
    """A planner with a subset, its links up, on a clock moved by hand."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        terms = settings(gateway_count=10)
        self.planner = Planner(terms, 1, self.clock, 500.0)
        self.servers = self.planner.servers = FakeServers(self.clock)
        self.planner.subset = Membership(3, SIZE, terms.ramp_ms)
        self.version = self.epochs = 0
        self.list(*(self.entry(number) for number in range(SERVERS)), whole=True)
        self.planner._review_subset()
        for server in self.members:
            self.up(server)

    @staticmethod
    def entry(number: int, standing: api.ServerStatus = api.ServerStatus.ACTIVE) -> m.LocatedServer:
        return m.LocatedServer(
            listed(f"s{number}", number, standing), f"127.0.0.1:{7000 + number}", f"z{number % 3}"
        )

    @property
    def members(self) -> list[str]:
        return sorted(one.id for one in self.planner._known.values() if not one.draining)

    def list(self, *servers: m.LocatedServer, whole: bool = False) -> None:
        self.version += 1
        self.planner.tell(m.ServerListUpdate(self.version, whole, servers))
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

    def call(self, number: int, far_end: int) -> FakeCaller:
        caller = FakeCaller(False)
        asked = m.SetUp(f"{number:016x}", "usual", self.clock.now_ms() + 3000.0, f"n{number}", "sdp", far_end)
        self.put(m.SetUpReceived(asked, caller))
        return caller


def test_a_first_choice_outside_the_subset_is_served_by_a_member() -> None:
    rig = Rig()
    outside = next(number for number in range(SERVERS) if f"s{number}" not in rig.members)
    rig.call(1, outside)
    (server,) = rig.servers.out.values()
    assert server in rig.members


def test_links_are_held_for_members_only() -> None:
    rig = Rig()
    assert len(rig.planner._known) == len(rig.members) == SIZE


def test_a_member_that_drains_is_replaced_and_gets_nothing_new() -> None:
    rig = Rig()
    drained = rig.members[0]
    rig.servers.drains.add(drained)
    rig.list(rig.entry(int(drained[1:]), api.ServerStatus.DRAINING))
    (substitute,) = set(rig.members) - {drained} - {"s"} - set(Rig().members)
    rig.up(substitute)
    for number in range(1, 30):
        rig.call(number, int(drained[1:]))
        rig.advance(25.0)
    assert len(rig.members) == SIZE and drained not in rig.servers.out.values()


def test_a_call_that_stands_at_a_server_that_left_the_subset_ends_once() -> None:
    rig = Rig()
    before = set(rig.members)
    lost = rig.members[0]
    rig.put(m.LinkDown(lost, None))
    rig.advance(200.0)
    (substitute,) = set(rig.members) - before
    rig.up(substitute)
    for other in before - {lost}:  # so that the substitute is asked
        rig.put(m.LinkDown(other, rig.planner._known[other].epoch))
    caller = rig.call(1, int(substitute[1:]))
    assert rig.servers.out == {f"{1:016x}": substitute}
    rig.servers.ended(f"{1:016x}", False)
    rig.servers.standing[f"{1:016x}"] = substitute
    rig.put(m.ServerAnswered(substitute, f"{1:016x}", "answer", None))
    for server in before:
        rig.up(server)
    rig.advance(7000.0)
    assert rig.planner._known[substitute].draining, "it is not wanted any more"
    assert set(rig.members) == before
    rig.advance(3000.0)
    assert [type(word) for word in caller.heard] == [m.Answered], "and the call stands on"
    rig.put(
        m.ServerReleased(
            substitute, f"{1:016x}", m.CAUSE_NORMAL, api.Result.ERROR, api.RefusalReason.UNSPECIFIED, None
        )
    )
    assert [type(word) for word in caller.heard] == [m.Answered, m.Ended]
    rig.advance(2000.0)
    assert substitute not in rig.planner._known, "no link is held for it"
    assert len(caller.heard) == 2


def test_with_all_members_gone_a_call_goes_to_a_server_that_is_found_before_it_is_refused() -> None:
    rig = Rig()
    before = set(rig.members)
    caller = rig.call(1, 0)
    first = rig.servers.out.pop(f"{1:016x}")
    for server in before:
        rig.put(m.LinkDown(server, rig.planner._known[server].epoch, refused=True))
    rig.advance(225.0)
    substitutes = set(rig.members) - before
    assert len(substitutes) >= SIZE
    for server in sorted(substitutes):
        rig.up(server)
    rig.advance(100.0)  # until its release is over
    assert caller.heard == []
    assert rig.servers.out[f"{1:016x}"] in substitutes - {first}


# -- odd lists ----------------------------------------------------------------------------------------
def test_a_long_list_with_odd_entries_loses_these_alone() -> None:
    lines: queue.SimpleQueue[str] = queue.SimpleQueue()
    sink = logger.add(lambda message: lines.put(str(message)), level="WARNING", format="{message}")
    targets = [target(number) for number in range(1100)]
    targets[5] = target(4)  # a double id
    targets[6] = target(6, az=["z1"])  # no zone
    targets[7] = target(7, service=9)  # no service
    targets[8] = target(8, az="z" * 500)
    targets += [target(9, service="other")]  # one server in two services
    try:
        news = parse_pool({"rev": 1, "all": True, "targets": targets}, True)
    finally:
        logger.remove(sink)
    assert lines.qsize() == 5
    membership = Membership(3, 20, 14_000.0)
    update = membership.update_list(0.0, news.servers, news.retained)
    assert len(news.servers) == 1100 - 4 and len(update.servers) == 20
    names = [one.listed.server for one in news.servers]
    assert len(set(names)) == len(names)
    assert next(one for one in news.servers if one.listed.server == "s9").service == ""


def test_places_are_those_of_all_classes_or_any() -> None:
    def kind(places: tuple[int, ...] | None) -> api.CallClass:
        return api.CallClass("a", 1.0, 2.0, pools=None if places is None else frozenset(places))

    assert reachable_pools(settings(classes=(kind((0, 1)), kind((1, 2))))) == frozenset({0, 1, 2})
    assert reachable_pools(settings(classes=(kind((0, 1)), kind(None)))) is None
