"""Misbehaving clients take neither memory nor processor time of a real proxy process from the usual ones."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from capershelf.core.caller_connections import REPEAT_GRACE_MS
from capershelf.net import websocket as ws
from capershelf.net.connection import wait_shut_down
from capershelf.net.framing import CloseConnectionError
from capershelf.net.http import MAX_HEAD_FIELDS, HttpError, parse_head
from capershelf.net.read_pacing import (
    BURST_UNITS,
    MAX_PAUSE_S,
    PARTIAL_READ_PAUSES_S,
    UNITS_PER_S,
    ReadPacer,
)
from tests.bad_client_rig import CALL_LEFT_MS, ProxyRig, Waits
from tests.peers import Peer, until
from tests.test_framing_states import feed

SLACK_MS = 50.0  # the protocol's, on every time limit
MEMORY_MB, SOCKETS = 48, 4096  # of the process
CROWD = 150  # misbehaving connections at each front
CROWD_S, FLOOD_S = 3.0, 2.5
BEGINNING_S = 0.4  # until the misbehaving clients are at it
FRONTS = pytest.mark.parametrize("websocket", [False, True], ids=["lines", "websocket"])
A = f"{0xA0:016x}"


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[ProxyRig]:
    made = ProxyRig(tmp_path, MEMORY_MB, SOCKETS)
    yield made
    made.end()


def assert_served(rig: ProxyRig, waits: Waits) -> None:
    """Every call of the usual client was answered in time, and the process is within its memory limit."""
    assert rig.program.process.poll() is None
    assert waits.missing == 0 and waits.longest_ms <= CALL_LEFT_MS + SLACK_MS, waits.waits_ms
    assert waits.answered == len(waits.waits_ms)
    assert rig.status("VmHWM") <= rig.memory_mb


@pytest.mark.parametrize("attack", ["slow", "half", "fragments", "short_fields", "same_fields"])
@FRONTS
def test_a_crowd_that_writes_slowly_or_heavily_keeps_within_the_memory_limit(
    rig: ProxyRig, attack: str, websocket: bool
) -> None:
    """Guards against a process over its memory limit, and against usual clients that wait for seconds."""
    crowds = [rig.attack(attack, front, CROWD, CROWD_S) for front in (False, True)]
    time.sleep(BEGINNING_S)
    waits = rig.usual_calls(websocket, CROWD_S - BEGINNING_S)
    for crowd in crowds:
        crowd.communicate()
    assert_served(rig, waits)


@pytest.mark.parametrize(
    "attack",
    [
        "valid_set_ups",
        "taken_back",
        "unknown_releases",
        "unusable",
        "garbage",
        "blank",
        "pings",
        "control_frames",
    ],
)
@FRONTS
def test_usual_clients_are_served_while_one_client_sends_at_full_speed(
    rig: ProxyRig, attack: str, websocket: bool
) -> None:
    """Guards against usual calls that are refused or late because of one client."""
    flood = rig.attack(attack, websocket, 1, FLOOD_S)
    time.sleep(BEGINNING_S)
    waits = rig.usual_calls(websocket, FLOOD_S - BEGINNING_S)
    flood.communicate()
    assert_served(rig, waits)


# -- pacing and limits of what is read -----------------------------------------------------------------


def test_a_connection_that_sends_without_end_is_read_at_a_bounded_rate() -> None:
    pacer = ReadPacer()
    burst = int(BURST_UNITS)
    assert pacer.pause_s(burst - 10, burst - 10, False) == 0.0
    assert pacer.pause_s(110, 110, False) == pytest.approx(100 / UNITS_PER_S, rel=0.2)
    assert pacer.pause_s(0, 100_000, False) == MAX_PAUSE_S, "blank lines"


def test_a_message_in_many_pieces_is_read_in_few_reads() -> None:
    pacer = ReadPacer()
    pauses_s = [pacer.pause_s(0, 0, True) for _ in range(8)]
    assert pauses_s[0] < pauses_s[-1] == PARTIAL_READ_PAUSES_S[-1] and pauses_s == sorted(pauses_s)
    assert pacer.pause_s(1, 1, False) == 0.0, "its end does not slow the next message"
    assert pacer.pause_s(0, 0, True) < PARTIAL_READ_PAUSES_S[-1]


def test_a_pause_ends_as_soon_as_the_connection_is_shut_down() -> None:
    """Guards against evicted slow writers that keep their slot, so that newcomers are turned away."""
    near, far = socket.socketpair()
    far.send(b"x")  # unread data does not end the pause
    began_s = time.monotonic()
    threading.Timer(0.05, near.shutdown, (socket.SHUT_RDWR,)).start()
    wait_shut_down(near, 10.0)
    assert 0.04 <= time.monotonic() - began_s < 5.0


def test_a_head_of_very_many_fields_is_not_parsed() -> None:
    """Guards against memory and processor time that grow with the number of fields."""
    fields = "".join(f"{n:x}:\r\n" for n in range(MAX_HEAD_FIELDS + 1))
    with pytest.raises(HttpError):
        parse_head(f"GET / HTTP/1.1\r\n{fields}".encode())
    opening = ws.WebSocket("h").handshake_data().decode().replace("\r\n", f"\r\n{fields}", 1)
    with pytest.raises(CloseConnectionError) as over:
        feed(ws.WebSocket(), opening.encode())
    assert over.value.final_data.split(b" ")[1] == b"431"


# -- clients that leave ----------------------------------------------------------------------------------


def wait_for_set_ups(rig: ProxyRig, count: int) -> None:
    until(lambda: len(rig.server.set_ups) >= count)


def hang_up(caller: Peer) -> None:
    caller.disconnect()
    caller.sock.close()


@FRONTS
def test_set_ups_of_a_client_that_has_left_are_not_sent_on(rig: ProxyRig, websocket: bool) -> None:
    """Guards against requests that were unread when their client left, and were sent on."""
    caller = rig.caller(websocket)
    rig.server.answers = False
    caller.set_up(A)
    wait_for_set_ups(rig, 1)
    rig.program.process.send_signal(signal.SIGSTOP)  # what comes now is unread when the client leaves
    for number in range(300):
        caller.set_up(f"{number:016x}")
    hang_up(caller)
    rig.program.process.send_signal(signal.SIGCONT)
    rig.server.answers = True
    assert rig.usual_calls(not websocket, 1.0).missing == 0
    usual = sum(call.startswith("feed") for _, call in rig.server.set_ups)
    assert len(rig.server.set_ups) == usual + 1


@pytest.mark.parametrize("answered", [False, True], ids=["unanswered", "answered"])
@FRONTS
def test_an_id_that_comes_again_after_its_client_has_left_runs_once(
    rig: ProxyRig, websocket: bool, answered: bool
) -> None:
    """Guards against an id that runs twice when it came again after its client had left."""
    rig.server.answers = answered
    caller = rig.caller(websocket)
    caller.set_up(A)
    wait_for_set_ups(rig, 1)
    if answered:
        assert caller.receive()["type"] == "answer"
    hang_up(caller)
    again = rig.caller(websocket)
    again.set_up(A)
    if not answered:
        time.sleep(2.0 * REPEAT_GRACE_MS / 1000.0)  # by then the attempt would have been given up
        rig.server.answer(A)
    assert again.receive()["type"] == "answer"
    assert Counter(call for _, call in rig.server.set_ups) == {A: 1} and A not in rig.server.released


def test_the_attempt_of_a_client_that_does_not_come_again_is_given_up(rig: ProxyRig) -> None:
    rig.server.answers = False
    caller = rig.caller(False)
    caller.set_up(A)
    wait_for_set_ups(rig, 1)
    hang_up(caller)
    until(lambda: rig.server.released == [A])
