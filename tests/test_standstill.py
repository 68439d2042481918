"""A process that stood still reads late what came meanwhile: no caller may be told after it has left."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator

import pytest

from capershelf import config as configuration
from capershelf.core import clock as clocks
from capershelf.core.clock import BACKLOG_MS, Standstill, SystemClock
from capershelf.fronts.session import MIN_REMAINING_MS
from capershelf.node import Node
from capershelf.registry.board import MAX_LIST_AGE_MS
from tests.peers import OPERATOR, Peer, Stage

A, B = (f"{n:016x}" for n in range(0xA0, 0xA2))
STOOD_MS = 3000.0


class MachineTime:
    """The machine's clock, moved by the test."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def time(self) -> float:
        return self.now_s


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> MachineTime:
    made = MachineTime()
    monkeypatch.setattr(clocks, "time", made)
    return made


def test_a_gap_longer_than_any_threads_wait_is_a_standstill(machine: MachineTime) -> None:
    clock = SystemClock()
    clock.find_standstills(MAX_LIST_AGE_MS)
    machine.now_s += MAX_LIST_AGE_MS / 1000.0
    clock.now_ms()
    assert clock.standstill is None
    began_ms = clock.now_ms()
    machine.now_s += STOOD_MS / 1000.0
    assert clock.now_ms() == began_ms + STOOD_MS
    assert clock.standstill == Standstill(began_ms, began_ms + STOOD_MS)


def test_a_clock_that_need_not_be_read_often_finds_none(machine: MachineTime) -> None:
    clock = SystemClock()
    clock.now_ms()
    machine.now_s += 3600.0
    clock.now_ms()
    assert clock.standstill is None


def test_what_is_read_after_the_backlog_has_not_lain_unread() -> None:
    found = Standstill(1000.0, 4000.0)
    assert found.unread_ms(4000.0) == 3000.0
    assert found.unread_ms(4000.0 + BACKLOG_MS) == 3000.0 + BACKLOG_MS
    assert found.unread_ms(4001.0 + BACKLOG_MS) == 0.0


@pytest.fixture(params=[False, True], ids=["lines", "websocket"])
def stage(request: pytest.FixtureRequest) -> Iterator[Stage]:
    made = Stage(request.param)
    yield made
    made.end()


def time_given(stage: Stage, caller: Peer, call: str, left_ms: int) -> float:
    """For how long the booking server that gets the set-up may take."""
    sent = len(stage.attempts)
    caller.set_up(call, left_ms=left_ms)
    stage.until(lambda: len(stage.attempts) > sent)
    return stage.attempts[sent][3]


def test_a_set_up_that_lay_unread_is_answered_before_its_caller_may_have_left(stage: Stage) -> None:
    """Sent as the standstill began, it has 3 s less than it says; its booking server says nothing."""
    caller = stage.caller()
    now_ms = stage.clock.now_ms()
    stage.clock.standstill = Standstill(now_ms - STOOD_MS, now_ms)
    assert time_given(stage, caller, A, 4000) <= 4000.0 - STOOD_MS
    assert time_given(stage, caller, B, 2250) <= MIN_REMAINING_MS
    stage.advance(MIN_REMAINING_MS)
    assert caller.hear()["id"] == B
    stage.advance(4000.0 - STOOD_MS - MIN_REMAINING_MS)
    assert caller.hear()["id"] == A


def test_a_set_up_has_its_whole_time_once_the_backlog_is_read(stage: Stage) -> None:
    caller = stage.caller()
    now_ms = stage.clock.now_ms()
    stage.clock.standstill = Standstill(now_ms - STOOD_MS, now_ms)
    stage.advance(BACKLOG_MS + 5.0)
    assert time_given(stage, caller, A, 4000) > 4000.0 - STOOD_MS


class NotingClock(clocks.ManualClock):
    """Notes how often its readers say that they read it."""

    def __init__(self) -> None:
        super().__init__()
        self.gaps_ms: list[float] = []

    def find_standstills(self, longest_gap_ms: float) -> None:
        self.gaps_ms.append(longest_gap_ms)


@pytest.mark.parametrize(("board", "gaps_ms"), [("127.0.0.1:9", [MAX_LIST_AGE_MS]), ("", [])])
def test_only_a_proxy_that_follows_a_board_looks_for_standstills(board: str, gaps_ms: list[float]) -> None:
    """The board's thread reads the clock so often; without it a long gap may be rest."""
    table = tomllib.loads(OPERATOR.read_text()) | {"listen": "127.0.0.1:0", "board": board}
    del table["eureka"], table["websocket"]
    clock = NotingClock()
    node = Node(configuration.read(table, {}), clock)
    for front in node.fronts:
        front.stop_accepting()
    assert clock.gaps_ms == gaps_ms
