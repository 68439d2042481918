"""A long day in small: servers, ids and callers always new.  What is kept for them has an end or a bound."""

from __future__ import annotations

import gc
import weakref

import hypothesis.strategies as st
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings

from capershelf import interface as api
from capershelf.config import read
from capershelf.core import model as m
from capershelf.core.clock import ManualClock
from capershelf.core.planner import Planner
from capershelf.node import BASE_MEMORY_MB, CALLER_MEMORY_MB, max_callers
from tests.rig import listed, settings
from tests.test_planner_states import FakeCaller, FakeServers
from tests.test_reload import table

ENDS = ("stands", "is over", "caller leaves", "caller goes, unheard", "error", "full", "no answer")


class Day:
    """One planner through rounds of a second: one server in place of another, and some calls."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.planner = Planner(settings(release_ms=200.0), 1, self.clock, 500.0)
        self.servers = self.planner.servers = FakeServers(self.clock)
        self.rounds, self.calls = 0, 0
        self.seen: list[weakref.ref[FakeCaller]] = []

    def put(self, event: m.Event) -> None:
        self.planner.inbox.put(event)
        self.planner.step()

    def replace_server(self, reuse: bool) -> str:
        """A new server is listed, the one before drains, the one before that is gone."""
        self.rounds += 1
        now = self.rounds
        address = f"127.0.0.1:{1 + (now % 2 if reuse else now)}"
        states = (api.ServerStatus.ACTIVE, api.ServerStatus.DRAINING, api.ServerStatus.REMOVED)
        standings = [(now - age, state) for age, state in enumerate(states)]
        self.put(
            m.ServerListUpdate(
                now,
                now == 1,
                tuple(
                    m.LocatedServer(
                        listed(f"s{number}", 0, standing), address if number == now else f"old:{number}"
                    )
                    for number, standing in standings
                    if number > 0
                ),
            )
        )
        self.put(m.LinkUp(f"s{now}", 1))
        return f"s{now}"

    def call(self, server: str, end: str) -> None:
        self.calls += 1
        call, caller = f"{self.calls:016x}", FakeCaller(False)
        self.seen.append(weakref.ref(caller))
        self.put(
            m.SetUpReceived(
                m.SetUp(call, "usual", self.clock.now_ms() + 3000.0, f"n{call}", "sdp", 0), caller
            )
        )
        if end in ("stands", "is over", "caller goes, unheard"):
            self.put(m.ServerAnswered(server, call, "v=0", None))
        if end == "caller goes, unheard":
            caller.open = False
            self.put(m.CallerDisconnected(caller))
        if end in ("is over", "caller goes, unheard"):
            self.put(m.ServerReleased(server, call, 16, api.Result.OK, api.RefusalReason.UNSPECIFIED, None))
        if end == "caller leaves":
            self.put(m.CallerReleased(call, 16, caller))
        if end in ("error", "full"):
            cause, result = (47, api.Result.ERROR) if end == "error" else (34, api.Result.FULL)
            self.put(m.ServerReleased(server, call, cause, result, api.RefusalReason.UNSPECIFIED, None))

    def time_passes(self, seconds: int) -> None:
        for _ in range(seconds * 4):
            self.clock.advance(250.0)
            self.put(m.InboxBarrier(lambda: None))
            while not self.planner.inbox.empty():
                self.planner.step()

    def kept(self) -> int:
        """Everything that is kept for a server, a call or a caller."""
        planner, module = self.planner, self.planner._controller
        return (
            len(planner.calls.by_key)
            + len(planner.calls.undelivered_ends)
            + len(planner._server_states)
            + len(planner._probes)
            + len(planner._timers)
            + len(module.gates)
            + len(module.calls)
            + len(module.held)
            + len(module.first_dialled_ms)
            + len(module.number_busy_until_ms)
            + sum(len(s.calls) for s in planner._server_states.values())
            + sum(
                len(gate.failed_numbers) + len(gate.pending) + len(gate.answer_times_ms) + len(gate.tokens)
                for gate in module.gates.values()
            )
        )


# Written out: hypothesis derives the seed from the test's source text otherwise, so a rename changes it.
@seed(0x6D02EED7FBE05450DAC58547C50FEC1075B07AF54301FA5D1239B5BD550829C1E2A95B65727AC9C795460563FF79562D)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=8, database=None)
@given(
    st.lists(st.lists(st.sampled_from(ENDS), min_size=1, max_size=8), min_size=2, max_size=5), st.booleans()
)
def test_what_is_kept_stays_flat_over_a_long_day(rounds: list[list[str]], reuse: bool) -> None:
    day = Day()
    sizes = []
    for number in range(160):
        server = day.replace_server(reuse)
        for end in rounds[number % len(rounds)]:
            day.call(server, end)
        day.time_passes(1)
        sizes.append(day.kept())
    # Numbers are remembered up to a count of their own; all else has come to rest after some seconds.
    numbers = max(len(one) for one in rounds)
    assert sizes[-1] - sizes[79] <= 80 * numbers + 5 * numbers
    day.time_passes(70)
    server = day.replace_server(reuse)
    planner, module = day.planner, day.planner._controller
    day.time_passes(12)
    assert len(module.gates) <= 3
    assert len(planner._server_states) <= 3
    assert not module.calls
    assert not module.held
    assert not planner.calls.undelivered_ends
    assert len(planner._timers) <= 20
    gc.collect()
    alive = sum(1 for caller in day.seen if caller() is not None)
    assert alive <= len(planner.calls.by_key)


def test_callers_take_no_more_than_the_memory_has_room_for() -> None:
    def share(sockets: int, memory_mb: int) -> int:
        return max_callers(read(table("") | {"limits": {"sockets": sockets, "memory_mb": memory_mb}}, {}))

    assert share(256, 192) == 85
    assert share(1024, 192) == 341
    assert share(1024, 32) * CALLER_MEMORY_MB + BASE_MEMORY_MB <= 32
    assert share(1024, 32) >= 85
