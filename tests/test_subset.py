"""Subsetting without I/O: an even and stable selection over zones, members and substitutes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import hypothesis.strategies as st
import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from capershelf.core.model import LocatedServer
from capershelf.interface import ListedServer, ServerStatus
from capershelf.subset import Membership, MembershipUpdate, SubsetSizeError
from capershelf.subset.membership import RECOVERY_HOLD_MS
from capershelf.subset.selection import Candidate, fixed_order, proxy_share
from capershelf.subset.sequence import RANGE, position, seed_of

PROXIES, SERVERS, SERVICES, ZONES, SIZE = 1100, 1100, 71, 8, 20
RAMP_MS = 14_000.0
REPRODUCIBLE = hypothesis_settings(derandomize=True, deadline=None, database=None, max_examples=100)


def candidates(count: int, first: int = 0, zones: int = ZONES) -> list[Candidate]:
    return [Candidate(f"s-{number:08x}", f"zone-{number % zones}") for number in range(first, first + count)]


def service_sizes() -> list[int]:
    """71 services of 5 to 60 servers, 1,100 in all: a few large ones and many small."""
    sizes = [5 + (number * 7919) % 56 // (1 + number % 4) for number in range(SERVICES)]
    number = 0
    while sum(sizes) != SERVERS:
        step = 1 if sum(sizes) < SERVERS else -1
        sizes[number % SERVICES] = min(60, max(5, sizes[number % SERVICES] + step))
        number += 1
    return sizes


def subset(slot: int, listed: Iterable[Candidate], size: int = SIZE) -> frozenset[str]:
    return frozenset(fixed_order(slot, size, listed)[:size])


def memberships(listed: list[Candidate], proxies: int = PROXIES) -> list[frozenset[str]]:
    return [subset(slot, listed) for slot in range(proxies)]


def changed_memberships(before: list[frozenset[str]], after: list[frozenset[str]]) -> int:
    return sum(max(len(old - new), len(new - old)) for old, new in zip(before, after, strict=True))


# -- the sequence and the selection -------------------------------------------------------------------
# Written out: hypothesis derives the seed from the test's source text otherwise, so a rename changes it.
@seed(0xB103A179105DF322E0D73F11B8034FE729B821BA4D45C214990A4BB73AB277D2F4D3B6A1679270702DA0B8FC361780FA)
@REPRODUCIBLE
@given(seed=st.integers(0, 2**32 - 1), power=st.integers(0, 8), block=st.integers(0, 20))
def test_consecutive_slots_fall_one_into_each_equal_part_of_the_range(
    seed: int, power: int, block: int
) -> None:
    count = 2**power
    positions = [position(slot, seed) for slot in range(block * count, (block + 1) * count)]
    assert sorted(item * count // RANGE for item in positions) == list(range(count))


def test_every_server_of_every_service_is_in_an_even_number_of_subsets() -> None:
    """The maximum over the mean is at most 1.15 for 1,100 proxies and services of 5 to 60 servers."""
    for size in (5, 19, 21, 25, 28, 37, 45, 54, 60):
        counts = Counter(server for one in memberships(candidates(size)) for server in one)
        mean = PROXIES * min(SIZE, size) / size
        assert sum(counts.values()) == PROXIES * min(SIZE, size)
        assert max(counts.values()) <= 1.15 * mean, (size, max(counts.values()), mean)


def test_adding_or_removing_a_server_changes_under_one_percent_of_all_memberships() -> None:
    sizes = service_sizes()
    total = sum(PROXIES * min(SIZE, size) for size in sizes)
    for size in (min(sizes), max(sizes)):
        listed = candidates(size)
        assert changed_memberships(memberships(listed), memberships(listed[:-1])) < 0.01 * total
    # All servers in one service: 100 proxies are enough, since each one has an equal part of the servers.
    listed = candidates(SERVERS)
    before, after = memberships(listed, 100), memberships(listed[1:], 100)
    assert changed_memberships(before, after) < 0.01 * 100 * SIZE


@seed(0xB24FB3BB5D05825647EA92939CF0040BABB10429D948AF7C0EAF318170F30B95AB12810E02506E3821A6E628B710F2E0)
@REPRODUCIBLE
@given(
    zone_of=st.lists(st.integers(0, 4), min_size=1, max_size=40),
    slot=st.integers(0, 5000),
    size=st.integers(4, 24),
)
def test_a_subset_is_never_within_one_zone(zone_of: list[int], slot: int, size: int) -> None:
    listed = [Candidate(f"s{number}", f"z{zone}") for number, zone in enumerate(zone_of)]
    order = fixed_order(slot, size, listed)
    assert sorted(order) == sorted(one.server for one in listed)
    assert order == fixed_order(slot, size, reversed(listed))
    zones = {one.server: one.zone for one in listed}
    if len(set(zone_of)) > 1:
        assert len({zones[server] for server in order[:size]}) > 1


def test_zones_are_represented_in_proportion_to_their_servers() -> None:
    listed = candidates(60)
    zones = {one.server: one.zone for one in listed}
    for slot in range(200):
        counts = Counter(zones[server] for server in subset(slot, listed))
        for zone in set(zones.values()):
            part = SIZE * sum(1 for one in listed if one.zone == zone) / len(listed)
            assert part - 1.0 < counts[zone] < part + 1.0


def test_seeds_and_positions_are_the_same_on_every_machine() -> None:
    assert [position(slot, seed_of("s-1")) >> 16 for slot in range(4)] == [46904, 14136, 30520, 63288]


# -- members and substitutes --------------------------------------------------------------------------
def located(
    server: str,
    zone: str = "z0",
    status: ServerStatus = ServerStatus.ACTIVE,
    started_ms: float | None = None,
    service: str = "",
    pool: int = 0,
) -> LocatedServer:
    return LocatedServer(ListedServer(server, pool, status, started_ms), f"{server}:1", zone, service)


class Host:
    """Applies the updates as a host does."""

    def __init__(self, membership: Membership) -> None:
        self.membership, self.now_ms = membership, 0.0
        self.statuses: dict[str, ServerStatus] = {}
        self.unavailable: set[str] = set()
        self.busy: set[str] = set()

    def take(self, update: MembershipUpdate) -> MembershipUpdate:
        for one in update.servers:
            if one.listed.status is ServerStatus.REMOVED:
                assert self.statuses.pop(one.listed.server, None) is not None, "removed, but never added"
            else:
                self.statuses[one.listed.server] = one.listed.status
        return update

    def list(self, *servers: LocatedServer, complete: bool = False) -> MembershipUpdate:
        return self.take(self.membership.update_list(self.now_ms, servers, frozenset() if complete else None))

    def review(self, after_ms: float = 100.0) -> MembershipUpdate:
        self.now_ms += after_ms
        return self.take(
            self.membership.review(
                self.now_ms, self.unavailable.__contains__, lambda server: server not in self.busy
            )
        )

    @property
    def active(self) -> set[str]:
        return {server for server, standing in self.statuses.items() if standing is ServerStatus.ACTIVE}


def host(servers: int = 24, size: int = 6, **more: float) -> Host:
    found = Host(Membership(3, size, RAMP_MS))
    found.list(*(located(f"s{number}", f"z{number % 3}") for number in range(servers)), complete=True)
    assert len(found.active) == min(size, servers)
    return found


def test_a_draining_member_is_replaced_at_once() -> None:
    fleet = host()
    drained = sorted(fleet.active)[0]
    update = fleet.list(located(drained, status=ServerStatus.DRAINING))
    assert fleet.statuses[drained] is ServerStatus.DRAINING
    assert len(fleet.active) == 6
    assert len(update.urgent) == 1 and set(update.urgent) <= fleet.active


def test_all_members_that_drain_in_one_update_are_replaced() -> None:
    fleet = host()
    before = set(fleet.active)
    fleet.list(*(located(server, status=ServerStatus.DRAINING) for server in before))
    assert len(fleet.active) == 6 and not fleet.active & before


def test_a_substitute_leaves_some_time_after_the_unavailable_member_recovers() -> None:
    fleet = host()
    before = set(fleet.active)
    lost = sorted(before)[0]
    fleet.unavailable.add(lost)
    update = fleet.review()
    (substitute,) = fleet.active - before
    assert update.urgent == (substitute,)
    assert lost in fleet.active, "it stays a member, to notice its recovery"
    fleet.unavailable.clear()
    fleet.review()
    assert substitute in fleet.active
    fleet.busy.add(substitute)
    fleet.review(RECOVERY_HOLD_MS)
    assert fleet.statuses[substitute] is ServerStatus.DRAINING, "its calls end normally"
    fleet.review()
    assert substitute in fleet.statuses
    fleet.busy.clear()
    fleet.review()
    assert substitute not in fleet.statuses and fleet.active == before


def test_an_unavailable_substitute_stays_until_calls_can_be_released_there() -> None:
    fleet = host()
    before = set(fleet.active)
    fleet.unavailable = {sorted(before)[0]}
    fleet.review()
    (substitute,) = fleet.active - before
    fleet.unavailable = {substitute}
    fleet.review()
    fleet.review(RECOVERY_HOLD_MS)
    assert substitute in fleet.active
    fleet.unavailable.clear()
    fleet.review()
    fleet.review(RECOVERY_HOLD_MS)
    fleet.review()
    assert fleet.active == before


def test_substitutes_join_until_a_server_is_available_or_none_is_left() -> None:
    fleet = host()
    order = fixed_order(3, 6, [Candidate(f"s{number}", f"z{number % 3}") for number in range(24)])
    fleet.unavailable = set(order[:-1])
    for _ in range(40):
        fleet.review()
    assert order[-1] in fleet.active
    fleet.unavailable.add(order[-1])
    fleet.review()
    assert fleet.active == set(order)


def test_substitutes_join_at_a_bounded_rate() -> None:
    fleet = host(servers=200, size=6)
    fleet.unavailable = {f"s{number}" for number in range(200)}
    for _ in range(5):
        fleet.review(20.0)
    assert 6 + 12 <= len(fleet.active) <= 6 + 12 + 2
    for _ in range(10):
        fleet.review(100.0)
    assert 6 + 12 + 8 <= len(fleet.active) <= 6 + 12 + 14


def test_a_cold_server_does_not_become_a_substitute() -> None:
    fleet = Host(Membership(3, 6, RAMP_MS))
    fleet.list(*(located(f"s{number}") for number in range(7)), complete=True)
    (spare,) = {f"s{number}" for number in range(7)} - fleet.active
    fleet.list(located(spare, started_ms=fleet.now_ms))
    fleet.unavailable.add(sorted(fleet.active)[0])
    fleet.review()
    assert spare not in fleet.active
    fleet.review(RAMP_MS)
    assert spare in fleet.active


def test_the_sender_share_is_that_of_the_subset_and_zero_for_a_substitute() -> None:
    fleet = Host(Membership(3, 6, RAMP_MS))
    update = fleet.list(*(located(f"s{number}") for number in range(24)), complete=True)
    assert {one.listed.sender_share for one in update.servers} == {proxy_share(6, 24)} == {0.25}
    fleet.unavailable.add(sorted(fleet.active)[0])
    (substitute,) = fleet.review().servers
    assert substitute.listed.sender_share == 0.0


def test_each_service_has_its_own_subset_and_a_server_belongs_to_one_service() -> None:
    fleet = Host(Membership(3, 4, RAMP_MS))
    fleet.list(
        *(located(f"a{n}", service="a") for n in range(8)),
        *(located(f"b{n}", service="b") for n in range(8)),
        complete=True,
    )
    assert Counter(server[0] for server in fleet.active) == {"a": 4, "b": 4}
    one = sorted(server for server in fleet.active if server[0] == "a")[0]
    fleet.list(located(one, service="b"))
    assert Counter(server[0] for server in fleet.active - {one}) in ({"a": 4, "b": 4}, {"a": 4, "b": 3})


def test_servers_of_unused_pools_are_no_members() -> None:
    fleet = Host(Membership(3, 4, RAMP_MS, frozenset({0, 1})))
    fleet.list(*(located(f"s{n}", pool=n) for n in range(8)), complete=True)
    assert fleet.active == {"s0", "s1"}


def test_a_size_too_small_for_zones_and_attempts_is_rejected() -> None:
    with pytest.raises(SubsetSizeError, match="subset.size must be 4 or more, not 3"):
        Membership(0, 3, RAMP_MS)


@seed(0x6B4F9F601DE6A19BD64E4FED533232C8A1BD329A0E74A20CEB85F3B8CC5AB35DB101C1EC3FB10D7CF8DE26DE30A90545)
class MembershipMachine(RuleBasedStateMachine):
    """Random lists, failures and calls; the host's view must always be consistent with the list."""

    @initialize(size=st.integers(4, 8))
    def begin(self, size: int) -> None:
        self.size = size
        self.host = Host(Membership(7, size, RAMP_MS))
        self.listed: dict[str, ServerStatus] = {}

    servers = st.sampled_from([f"s{number}" for number in range(16)])

    @rule(server=servers, standing=st.sampled_from(list(ServerStatus)))
    def change(self, server: str, standing: ServerStatus) -> None:
        zone = f"z{int(server[1:]) % 3}"
        self.host.list(located(server, zone, standing))
        if standing is ServerStatus.REMOVED:
            self.listed.pop(server, None)
        else:
            self.listed[server] = standing

    @rule(named=st.sets(servers))
    def whole(self, named: set[str]) -> None:
        self.host.list(*(located(one, f"z{int(one[1:]) % 3}") for one in sorted(named)), complete=True)
        self.listed = dict.fromkeys(named, ServerStatus.ACTIVE)

    @rule(unavailable=st.sets(servers), busy=st.sets(servers), after_ms=st.sampled_from([100.0, 6000.0]))
    def review(self, unavailable: set[str], busy: set[str], after_ms: float) -> None:
        self.host.unavailable, self.host.busy = unavailable, busy
        self.host.review(after_ms)

    @rule()
    def settle(self) -> None:
        """Without further events the subset reaches as many usable servers as there are, up to its size."""
        for _ in range(60):
            self.host.review(1000.0)
        active = {server for server, standing in self.listed.items() if standing is ServerStatus.ACTIVE}
        usable = active - self.host.unavailable
        assert len(self.host.active & usable) >= min(self.size, len(usable))
        if not self.host.unavailable & active:
            assert len(self.host.active) == min(self.size, len(active))

    @invariant()
    def the_host_has_only_what_is_listed(self) -> None:
        for server, standing in getattr(self, "host", Host(Membership(0, 4, 0.0))).statuses.items():
            assert server in self.listed
            if standing is ServerStatus.ACTIVE:
                assert self.listed[server] is ServerStatus.ACTIVE


def test_members_follow_the_list_through_random_events() -> None:
    run_state_machine_as_test(
        MembershipMachine,
        settings=hypothesis_settings(
            derandomize=True, deadline=None, database=None, max_examples=60, stateful_step_count=30
        ),
    )
