"""An id belongs to its call and client: nobody else who sends it ends anything of theirs."""

from __future__ import annotations

import json
import queue
import socket
from typing import Any

import pytest

from capershelf.core.caller_connections import PING_TIMEOUT_MS
from capershelf.net.framing import Lines
from capershelf.net.websocket import WebSocket
from tests.peers import NodeHarness, Peer, until
from tests.test_call_ends import establish

A, B = (f"{n:016x}" for n in (0xA0, 0xA1))
DESCRIPTION = f"sdp of {A}\r\n"


def connect(harness: NodeHarness, on_websocket: bool, host: str = "127.0.0.1") -> Peer:
    front = harness.node.fronts[int(on_websocket)]
    sock = socket.create_connection(("127.0.0.1", front.port), source_address=(host, 0))
    return Peer(sock, WebSocket("127.0.0.1") if on_websocket else Lines(), queue.SimpleQueue())


def send_set_up(peer: Peer, call: str, kind: str, description: str) -> None:
    peer.send("setup", call, fields={"class": kind, "left": "900"}, sdp=description)


def wait_until_read(peer: Peer) -> list[dict[str, Any]]:
    """What the peer has received, once the proxy has read all that it sent."""
    peer.send("ping", B, cause=0)
    found: list[dict[str, Any]] = []
    while not found or found[-1]["type"] != "pong":
        found.append(peer.receive())
    return found[:-1]


FORMS = {
    "release alone": None,
    "another description": ("slot-confirm", "another"),
    "another class": ("slot-lookup", DESCRIPTION),
    "unknown class": ("none such", DESCRIPTION),
    "no description": ("slot-confirm", ""),
    "the same set-up": ("slot-confirm", DESCRIPTION),
}


def misuse(peer: Peer, form: str, call: str) -> None:
    """Use another client's id for a set-up, and take it back."""
    if (set_up := FORMS[form]) is not None:
        send_set_up(peer, call, *set_up)
    peer.send("release", call, cause=16)


@pytest.mark.parametrize("host", ["127.0.0.1", "127.0.0.2"], ids=["same host", "other host"])
@pytest.mark.parametrize("front", [False, True], ids=["from lines", "from websocket"])
@pytest.mark.parametrize("form", FORMS)
def test_an_open_call_goes_on_whoever_else_uses_its_id(
    harness: NodeHarness, form: str, front: bool, host: str
) -> None:
    """Guards against set-ups without an outcome, as another client released their ids."""
    caller = harness.caller()
    caller.set_up(A)
    assert harness.servers[0].receive()["id"] == A
    other = connect(harness, front, host)
    misuse(other, form, A)
    wait_until_read(other)
    harness.settle()
    other.disconnect()
    harness.settle()
    assert harness.servers[0].received.empty(), "the attempt was given up"
    harness.links[0].send("answer", A, sdp="v=0")
    message = caller.receive()
    assert (message["type"], message["id"], message["sdp"]) == ("answer", A, "v=0")
    assert len(harness.attempts) == 1


@pytest.mark.parametrize("front", [False, True], ids=["from lines", "from websocket"])
@pytest.mark.parametrize("form", [name for name, set_up in FORMS.items() if set_up is not None])
def test_an_established_call_goes_on_whoever_else_sets_up_its_id_and_takes_it_back(
    harness: NodeHarness, form: str, front: bool
) -> None:
    """Guards against calls cut by a client whose own set-up under their id was rejected."""
    caller = harness.caller()
    establish(harness, caller, A)
    other = connect(harness, front)
    misuse(other, form, A)
    wait_until_read(other)
    harness.settle()
    harness.advance(PING_TIMEOUT_MS + 10.0)  # its caller answers pings meanwhile
    assert harness.servers[0].received.empty(), "the call was released"
    harness.links[0].send("release", A, cause=16)
    message = caller.receive()
    assert (message["type"], message["id"], message["cause"]) == ("release", A, 16)


def test_a_connection_that_was_lent_a_call_does_not_own_it(websocket: NodeHarness) -> None:
    """Guards against an open call that ends as another client, lent its messages, uses its id."""
    caller, other = websocket.caller(), websocket.caller()
    caller.set_up(A)
    assert websocket.servers[0].receive()["id"] == A
    caller.disconnect()
    call = websocket.planner.calls.by_key[int(A, 16)]
    websocket.until(lambda: call.detached_from is not None and call.caller is not None)
    misuse(other, "another description", A)
    received = wait_until_read(other)
    websocket.settle()
    received += wait_until_read(other)
    assert [message["cause"] for message in received] == [100]
    assert websocket.servers[0].received.empty(), "the attempt was given up"
    again = websocket.caller()
    websocket.links[0].send("answer", A, sdp="v=0")
    assert again.receive()["type"] == "answer"


def test_a_stranger_that_copies_a_set_up_and_releases_it_ends_nothing_later(websocket: NodeHarness) -> None:
    """Guards against a call that ends with its caller's connection, as a copy of its set-up was released."""
    caller = websocket.caller()
    establish(websocket, caller, A)
    other = websocket.caller()
    misuse(other, "the same set-up", A)
    wait_until_read(other)
    websocket.settle()
    call = websocket.planner.calls.by_key[int(A, 16)]
    session = call.caller
    assert session is not None and call.release_cause is not None
    until(lambda: session.has_answered_ping(1))
    websocket.advance(PING_TIMEOUT_MS + 10.0)
    caller.disconnect()
    websocket.until(lambda: call.detached_from is not None)
    assert websocket.servers[0].received.empty(), "the call was released"


def test_both_connections_that_sent_a_set_up_get_its_outcome(websocket: NodeHarness) -> None:
    """Guards against an outcome that a repetition takes away from a live connection."""
    caller, again = websocket.caller(), websocket.caller()
    caller.set_up(A)
    assert websocket.servers[0].receive()["id"] == A
    again.set_up(A)
    wait_until_read(again)
    websocket.settle()
    websocket.links[0].send("answer", A, sdp="v=0")
    for peer in (caller, again):
        assert peer.receive()["type"] == "answer"
    websocket.settle()
    assert caller.received.empty() and again.received.empty() and len(websocket.attempts) == 1


@pytest.mark.parametrize("leaves", ["releases", "closes", "sends nonsense"])
def test_a_set_up_goes_on_for_the_connection_that_repeated_it(websocket: NodeHarness, leaves: str) -> None:
    """Guards against a repeated set-up without an outcome, as the connection of the first one gave it up."""
    caller, again = websocket.caller(), websocket.caller()
    caller.set_up(A)
    assert websocket.servers[0].receive()["id"] == A
    again.set_up(A)
    wait_until_read(again)
    websocket.settle()
    if leaves == "releases":
        caller.send("release", A, cause=16)
        wait_until_read(caller)
    elif leaves == "closes":
        caller.disconnect()
    else:
        assert caller.connection.send(json.dumps([]).encode())
        assert caller.closed.wait(20.0)
    call = websocket.planner.calls.by_key[int(A, 16)]
    websocket.until(lambda: call.caller is not None and call.requested_on == [call.caller])
    assert websocket.servers[0].received.empty()
    websocket.links[0].send("answer", A, sdp="v=0")
    assert again.receive()["type"] == "answer"
    websocket.settle()
    assert again.received.empty()


@pytest.mark.parametrize("state", ["open", "established"])
def test_a_client_may_release_on_a_new_connection_once_its_old_one_proves_dead(
    websocket: NodeHarness, state: str
) -> None:
    """Guards against calls that nobody is left to end: the old connection was lost without a sign."""
    caller = websocket.caller()
    caller.set_up(A)
    assert websocket.servers[0].receive()["id"] == A
    caller.may_read.clear()
    caller.send("ping", B, cause=0)  # its reading thread now stops at the pong
    until(lambda: not caller.received.empty())
    again = websocket.caller()
    again.set_up(A)
    if state == "established":
        websocket.until(lambda: len(websocket.planner.calls.by_key[int(A, 16)].requested_on) == 2)
        websocket.links[0].send("answer", A, sdp="v=0")
        assert again.receive()["type"] == "answer"
    again.send("release", A, cause=16)
    wait_until_read(again)
    websocket.settle()
    assert websocket.servers[0].received.empty(), "the old connection may be that of a live client"
    websocket.advance(PING_TIMEOUT_MS + 10.0)
    message = websocket.servers[0].receive()
    assert (message["type"], message["id"]) == ("release", A)
    caller.may_read.set()
