"""A client that has lost its connection is told of its calls on the next one, whether it sends or listens."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import pytest

from capershelf.core.caller_connections import PING_TIMEOUT_MS, UNDELIVERED_END_TTL_MS
from capershelf.core.model import CallState, WriteGate
from capershelf.fronts.session import FIRST_MESSAGE_TIMEOUT_MS, IDLE_TIMEOUT_MS
from tests.peers import NodeHarness, Peer, until
from tests.test_call_ends import establish

A, B, C = (f"{n:016x}" for n in range(0xA0, 0xA3))


def reset(caller: Peer) -> None:
    caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.disconnect()


def finish_sending(caller: Peer) -> None:
    caller.sock.shutdown(socket.SHUT_WR)


def send_close_frame(caller: Peer) -> None:
    caller.connection.close_after_flush(1000)


def close_going_away(caller: Peer) -> None:
    caller.connection.close(1001)


def send_nonsense(caller: Peer) -> None:
    assert caller.connection.send(b"no JSON")


def send_binary(caller: Peer) -> None:
    caller.connection._enqueue(b"\x82\x80\0\0\0\0\n")


def send_oversized(caller: Peer) -> None:
    caller.connection.send(b"x" * 20_000)


CLOSES: list[Callable[[Peer], None]] = [
    reset,
    Peer.disconnect,
    finish_sending,
    send_close_frame,
    close_going_away,
    send_nonsense,
    send_binary,
    send_oversized,
]


def end(harness: NodeHarness, call: str) -> None:
    harness.links[0].send("release", call, cause=16)
    harness.until(
        lambda: (found := harness.planner.calls.find(call)) is None or found.state is CallState.ENDED
    )


def come_back(harness: NodeHarness, sends: bool) -> Peer:
    caller = harness.caller()
    if sends:
        caller.send("ping", C, cause=0)
    return caller


def ends_told(caller: Peer, count: int) -> set[str]:
    """The calls of which the caller is told that they are over, once it has been told of that many."""
    told: set[str] = set()
    while len(told) < count:
        message = caller.receive()
        if message["type"] == "release" and message["id"]:
            assert message["cause"] == 16
            told.add(message["id"])
    return told


def wait_until_lost(harness: NodeHarness, call: str) -> None:
    harness.until(lambda: harness.planner.calls.by_key[int(call, 16)].detached_from is not None)
    until(lambda: not harness.node.fronts[1 if harness.websocket else 0]._sessions)


@pytest.mark.parametrize("sends", [True, False], ids=["sends", "listens"])
@pytest.mark.parametrize("close", CLOSES)
def test_ends_are_told_on_the_next_connection_however_the_last_one_closed(
    harness: NodeHarness, close: Callable[[Peer], None], sends: bool
) -> None:
    """Guards against ends of calls that a WebSocket client, or one that only listens, is never told of."""
    caller = harness.caller()
    establish(harness, caller, A)
    establish(harness, caller, B)
    close(caller)
    wait_until_lost(harness, A)
    end(harness, A)
    back = come_back(harness, sends)
    assert ends_told(back, 1) == {A}
    end(harness, B)
    assert ends_told(back, 1) == {B}


def test_a_connection_that_only_listens_stays_open_while_its_clients_calls_stand(
    harness: NodeHarness,
) -> None:
    """Guards against ends lost because a client that came back to listen was disconnected as idle."""
    caller = harness.caller()
    establish(harness, caller, A)
    caller.disconnect()
    wait_until_lost(harness, A)
    back = harness.caller()
    front = harness.node.fronts[1 if harness.websocket else 0]
    until(lambda: front._sessions)
    session = next(iter(front._sessions))
    harness.until(lambda: harness.planner.calls.by_key[int(A, 16)].caller is session)
    harness.clock.advance(FIRST_MESSAGE_TIMEOUT_MS + IDLE_TIMEOUT_MS)
    assert session._read_deadline_ms(float("inf")) == float("inf") and not session.is_idle()
    end(harness, A)
    assert ends_told(back, 1) == {A}


@pytest.mark.parametrize("answered", ["before it is back", "after it is back"])
def test_the_outcome_of_an_open_set_up_is_told_once_to_a_client_that_only_listens(
    websocket: NodeHarness, answered: str
) -> None:
    """Guards against a set-up without any outcome after its WebSocket closed, and against two outcomes."""
    caller = websocket.caller()
    caller.set_up(A)
    assert websocket.servers[0].receive()["type"] == "setup"
    caller.disconnect()
    wait_until_lost(websocket, A)
    if answered == "before it is back":
        websocket.links[0].send("answer", A, sdp="v=0")
        websocket.until(lambda: websocket.planner.calls.open_count == 0)
    back = websocket.caller()
    if answered == "after it is back":
        websocket.until(lambda: websocket.planner.calls.by_key[int(A, 16)].caller is not None)
        websocket.links[0].send("answer", A, sdp="v=0")
    message = back.receive()
    assert (message["type"], message["id"], message["sdp"]) == ("answer", A, "v=0")
    back.set_up(A)  # it crossed the answer
    back.send("ping", C, cause=0)
    assert back.receive()["type"] == "pong"
    websocket.settle()
    assert back.received.empty() and len(websocket.attempts) == 1


def test_a_client_that_returns_takes_its_calls_back_from_another_client_at_its_address(
    websocket: NodeHarness,
) -> None:
    """Guards against ends that are told only to another client of the same host."""
    other = websocket.caller()
    caller = websocket.caller()
    establish(websocket, caller, A)
    establish(websocket, caller, B)
    caller.disconnect()
    websocket.until(lambda: websocket.planner.calls.by_key[int(A, 16)].detached_from is not None)
    end(websocket, A)
    assert ends_told(other, 1) == {A}
    back = websocket.caller()
    assert ends_told(back, 1) == {A}
    end(websocket, B)
    assert ends_told(back, 1) == {B}


@pytest.mark.parametrize("returns", ["before the end", "after the end"])
def test_an_end_sent_into_a_connection_that_is_lost_without_a_sign_is_told_again(
    websocket: NodeHarness, returns: str
) -> None:
    """Guards against ends written to a half-open WebSocket, whose client has connected again."""
    caller = websocket.caller()
    establish(websocket, caller, A)
    caller.may_read.clear()
    caller.send("ping", C, cause=0)  # its reading thread now stops at the pong
    until(lambda: not caller.received.empty())
    if returns == "before the end":
        back = websocket.caller()
        end(websocket, A)
    else:
        end(websocket, A)
        back = websocket.caller()
    websocket.settle()
    assert back.received.empty()
    websocket.advance(PING_TIMEOUT_MS + 100.0)
    assert ends_told(back, 1) == {A}
    caller.may_read.set()


def test_an_end_that_a_client_has_not_read_when_it_closes_is_told_again(harness: NodeHarness) -> None:
    """Guards against ends lost because they crossed the close of the connection that they were sent on."""
    caller = harness.caller()
    establish(harness, caller, A)
    caller.may_read.clear()
    caller.send("ping", C, cause=0)  # its reading thread now stops at the pong
    until(lambda: not caller.received.empty())
    end(harness, A)
    caller.sock.close()  # with the end unread, which resets the connection
    caller.may_read.set()
    back = harness.caller()
    assert ends_told(back, 1) == {A}


@pytest.mark.parametrize("closes", ["before the end is written", "before the end is kept"])
def test_an_end_that_crosses_its_clients_close_is_told_again(harness: NodeHarness, closes: str) -> None:
    """Guards against ends lost because the close came between the check for it and the write, or the ping."""
    caller = harness.caller()
    establish(harness, caller, A)
    front = harness.node.fronts[int(harness.websocket)]
    (session,) = front._sessions
    send, ping = session.connection.send, session.ping

    def close() -> None:
        caller.sock.shutdown(socket.SHUT_RDWR)
        caller.sock.close()
        if closes == "before the end is kept":
            until(lambda: not front._sessions)

    def send_after_close(message: bytes, tag: str = "", gate: WriteGate | None = None) -> bool:
        close()
        return send(message, tag, gate)

    def ping_after_close() -> int:
        close()
        return ping()

    if closes == "before the end is written":
        session.connection.send = send_after_close  # type: ignore[method-assign]
    else:
        caller.may_read.clear()
        caller.send("ping", C, cause=0)  # its reading thread now stops at the pong, and the end stays unread
        until(lambda: not caller.received.empty())
        session.ping = ping_after_close  # type: ignore[method-assign]
    end(harness, A)
    until(lambda: not front._sessions)
    caller.may_read.set()
    assert ends_told(harness.caller(), 1) == {A}


def test_an_end_is_kept_no_longer_than_its_caller_may_come_for_it(websocket: NodeHarness) -> None:
    """Guards against calls that stay in memory because no caller confirms their end."""
    caller = websocket.caller()
    establish(websocket, caller, A)
    end(websocket, A)
    assert ends_told(caller, 1) == {A}
    websocket.settle()  # the planner keeps the end after it has sent it
    assert websocket.planner.calls.undelivered_ends
    websocket.advance(UNDELIVERED_END_TTL_MS + 10.0)
    assert not websocket.planner.calls.by_key and not websocket.planner.calls.undelivered_ends
    assert not websocket.planner.calls._detached


def test_a_connection_that_answers_pings_is_kept_when_its_host_connects_again(websocket: NodeHarness) -> None:
    """Guards against closing the live connection of one client because another one has connected."""
    caller = websocket.caller()
    establish(websocket, caller, A)
    other = websocket.caller()
    websocket.until(lambda: bool(websocket.planner._callers._pinged))
    session = next(iter(websocket.planner._callers._pinged))
    until(lambda: session.has_answered_ping(1))
    websocket.advance(PING_TIMEOUT_MS + 10.0)
    end(websocket, A)
    assert ends_told(caller, 1) == {A}
    websocket.settle()
    assert other.received.empty()
