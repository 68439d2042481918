"""A process pause delays reading input: callers must still get their outcomes before they leave.

A caller counts its time from when it sent the set-up, so the time that a set-up spent unread is subtracted.
"""

from __future__ import annotations

import tomllib
import pytest

from capershelf import config as configuration
from capershelf.core import clock as clocks
from capershelf.core.clock import PAUSE_BACKLOG_MS, ProcessPause, SystemClock
from capershelf.fronts.session import MIN_REMAINING_MS
from capershelf.node import Node
from capershelf.registry.board import MAX_LIST_AGE_MS
from tests.peers import OPERATOR, NodeHarness, Peer

A, B = (f"{n:016x}" for n in range(0xA0, 0xA2))
PAUSE_MS = 3000.0


class MachineTime:
    """Stands in for the system clock, set by the test."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def time(self) -> float:
        return self.now_s


@pytest.fixture
def machine(monkeypatch: pytest.MonkeyPatch) -> MachineTime:
    made = MachineTime()
    monkeypatch.setattr(clocks, "time", made)
    return made


def test_a_read_gap_longer_than_allowed_is_a_pause(machine: MachineTime) -> None:
    clock = SystemClock()
    clock.detect_pauses(MAX_LIST_AGE_MS)
    machine.now_s += MAX_LIST_AGE_MS / 1000.0
    clock.now_ms()
    assert clock.last_pause is None
    start_ms = clock.now_ms()
    machine.now_s += PAUSE_MS / 1000.0
    assert clock.now_ms() == start_ms + PAUSE_MS
    assert clock.last_pause == ProcessPause(start_ms, start_ms + PAUSE_MS)


def test_a_clock_without_a_read_interval_detects_no_pause(machine: MachineTime) -> None:
    clock = SystemClock()
    clock.now_ms()
    machine.now_s += 3600.0
    clock.now_ms()
    assert clock.last_pause is None


def test_input_read_after_the_backlog_period_was_not_waiting() -> None:
    pause = ProcessPause(1000.0, 4000.0)
    assert pause.max_unread_ms(4000.0) == 3000.0
    assert pause.max_unread_ms(4000.0 + PAUSE_BACKLOG_MS) == 3000.0 + PAUSE_BACKLOG_MS
    assert pause.max_unread_ms(4001.0 + PAUSE_BACKLOG_MS) == 0.0


def attempt_time_ms(harness: NodeHarness, caller: Peer, call: str, left_ms: int) -> float:
    """Time limit of the attempt that results from a new set-up."""
    sent = len(harness.attempts)
    caller.set_up(call, left_ms=left_ms)
    harness.until(lambda: len(harness.attempts) > sent)
    return harness.attempts[sent][3]


def test_a_set_up_unread_during_a_pause_is_answered_before_its_caller_may_have_left(
    harness: NodeHarness,
) -> None:
    """Sent as the pause began, it has 3 s less left than it states; the booking server never answers."""
    caller = harness.caller()
    now_ms = harness.clock.now_ms()
    harness.clock.last_pause = ProcessPause(now_ms - PAUSE_MS, now_ms)
    assert attempt_time_ms(harness, caller, A, 4000) <= 4000.0 - PAUSE_MS
    assert attempt_time_ms(harness, caller, B, 2250) <= MIN_REMAINING_MS
    harness.advance(MIN_REMAINING_MS)
    assert caller.receive()["id"] == B
    harness.advance(4000.0 - PAUSE_MS - MIN_REMAINING_MS)
    assert caller.receive()["id"] == A


def test_a_set_up_has_its_full_time_after_the_backlog_period(harness: NodeHarness) -> None:
    caller = harness.caller()
    now_ms = harness.clock.now_ms()
    harness.clock.last_pause = ProcessPause(now_ms - PAUSE_MS, now_ms)
    harness.advance(PAUSE_BACKLOG_MS + 5.0)
    assert attempt_time_ms(harness, caller, A, 4000) > 4000.0 - PAUSE_MS


class RecordingClock(clocks.ManualClock):
    """Records the read gaps that its users announce."""

    def __init__(self) -> None:
        super().__init__()
        self.gaps_ms: list[float] = []

    def detect_pauses(self, max_read_gap_ms: float) -> None:
        self.gaps_ms.append(max_read_gap_ms)


@pytest.mark.parametrize(("board", "gaps_ms"), [("127.0.0.1:9", [MAX_LIST_AGE_MS]), ("", [])])
def test_only_a_proxy_that_follows_a_notice_board_detects_pauses(board: str, gaps_ms: list[float]) -> None:
    """The board's thread reads the clock regularly; without it, a long gap may just be idle time."""
    table = tomllib.loads(OPERATOR.read_text()) | {"listen": "127.0.0.1:0", "board": board}
    del table["eureka"], table["websocket"]
    clock = RecordingClock()
    node = Node(configuration.read(table, {}), clock)
    for front in node.fronts:
        front.stop_accepting()
    assert clock.gaps_ms == gaps_ms
