"""Another process at a booking server's address, on real processes."""

from __future__ import annotations

import queue
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from lab.fleet.checker import Contract
from tests.bad_client_rig import CALL_LEFT_MS, ProxyRig
from tests.peers import Peer, until

CALLS = 10
SLACK_MS = 50.0  # the protocol's, on every time limit
LONG_HOLD_MS = 60_000.0


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[ProxyRig]:
    made = ProxyRig(tmp_path)
    yield made
    made.end()


def set_up_all(callers: list[Peer], first: int) -> list[str]:
    """Set up some calls on each connection; returns their ids."""
    calls = []
    for front, caller in enumerate(callers):
        for number in range(CALLS):
            calls.append(f"{0x10000 * (front + 1) + first + number:016x}")
            caller.set_up(calls[-1], CALL_LEFT_MS)
    return calls


def collect(callers: list[Peer], until_s: float) -> list[tuple[str, str, float]]:
    """Type, id and arrival of the messages until then."""
    found = []
    while time.monotonic() < until_s:
        for caller in callers:
            try:
                message = caller.received.get(timeout=0.01)
            except queue.Empty:
                continue
            found.append((message["type"], message["id"], time.monotonic()))
    return found


def test_work_of_a_process_that_is_gone_neither_stays_nor_runs_twice_at_the_next_one(rig: ProxyRig) -> None:
    """Guards against calls that a new process does not have counted as standing there."""
    callers = [rig.caller(websocket) for websocket in (False, True)]
    rig.server.hold_ms = LONG_HOLD_MS
    standing = set_up_all(callers, 0)
    answers = [caller.receive()["type"] for caller in callers for _ in range(CALLS)]
    assert answers == ["answer"] * len(standing)
    rig.server.answers = False
    open_ones = set_up_all(callers, 0x100)
    until(lambda: len(rig.server.processes[0]) == len(standing) + len(open_ones))
    rig.server.restart()
    replaced_s = time.monotonic()
    limit_s = (Contract().undelivered_end_ms + SLACK_MS) / 1000.0
    found = collect(callers, replaced_s + limit_s)
    old, new = rig.server.processes
    assert new and set(new) <= set(open_ones) and max(Counter(new).values()) == 1
    outcomes = Counter(call for _, call, _ in found if call in open_ones)
    answered = [call for kind, call, _ in found if kind == "answer"]
    assert outcomes == dict.fromkeys(open_ones, 1) and sorted(answered) == sorted(new)
    arrivals_ms = [at_ms for at_ms, _ in rig.server.set_ups]
    assert arrivals_ms[len(old)] >= rig.server.replaced_ms + Contract().release_ms
    ended = {call for kind, call, _ in found if kind == "release"}
    assert ended >= set(standing), "their callers are told in time"
