"""A set-up that is sent once more gets its outcome once on each connection, whenever it crosses the close."""

from __future__ import annotations


import pytest

from capershelf.core import finished_calls, model
from capershelf.core.caller_connections import REPEAT_GRACE_MS
from capershelf.core.finished_calls import FinishedCalls
from tests.peers import NodeHarness, Peer, until
from tests.test_crossings import BlockedPlanner
from tests.test_planner_states import FakeCaller
from tests.test_stopping import request

A, B = (f"{n:016x}" for n in (0xA0, 0xA1))
CAUSES = {"answered": None, "refused": 34, "failed": 17}


def give_outcome(harness: NodeHarness, outcome: str) -> None:
    if outcome == "answered":
        harness.links[0].send("answer", A, sdp="v=0")
    else:
        fields = {"note": "sub"} if outcome == "failed" else {}
        harness.links[0].send("release", A, cause=17 if outcome == "failed" else 34, fields=fields)
        if outcome == "refused":  # two servers that are full
            assert harness.servers[1].receive()["id"] == A
            harness.links[1].send("release", A, cause=34)


def wait_for_outcome(harness: NodeHarness) -> None:
    harness.until(lambda: harness.planner.calls.open_count == 0)


def outcomes(harness: NodeHarness, peer: Peer) -> list[tuple[str, int | None]]:
    """The outcomes on this connection, once all that was sent on it has been handled."""
    found = []
    for _ in range(2):  # what it sent has been read after the first pong, and was answered before the second
        peer.send("ping", B, cause=0)
        while (message := peer.receive())["type"] != "pong":
            found.append((message["type"], message.get("cause")))
        harness.settle()
    return found


def expected(outcome: str) -> list[tuple[str, int | None]]:
    return [("answer" if outcome == "answered" else "release", CAUSES[outcome])]


@pytest.mark.parametrize("crossing", ["kept", "queued", "queued before the close", "open beside it"])
@pytest.mark.parametrize("outcome", CAUSES)
def test_a_set_up_that_crosses_the_close_of_its_websocket_gets_one_outcome(
    websocket: NodeHarness, outcome: str, crossing: str
) -> None:
    """Guards against a second outcome, as the set-up was read before the first one was sent."""
    caller = websocket.caller()
    caller.set_up(A)
    assert websocket.servers[0].receive()["id"] == A
    beside = websocket.caller() if crossing == "open beside it" else None
    if crossing != "queued before the close":
        caller.disconnect()
        session_gone = websocket.node.fronts[1]._sessions
        until(lambda: len(session_gone) == (1 if beside else 0))
    if crossing in ("kept", "open beside it"):
        give_outcome(websocket, outcome)
        wait_for_outcome(websocket)
    blocked = BlockedPlanner(websocket.planner)
    again = beside or websocket.caller()
    again.set_up(A)  # read before the planner has sent anything on this connection
    readers = {"open beside it": 0, "queued before the close": 2}.get(crossing, 1)
    until(lambda: sum(A in one._open for one in websocket.node.fronts[1]._sessions) == readers)
    if crossing == "queued before the close":
        caller.disconnect()
    blocked.unblock()
    if crossing == "queued before the close":
        websocket.settle()
    if crossing in ("queued", "queued before the close"):
        give_outcome(websocket, outcome)
        wait_for_outcome(websocket)
    sent = len(websocket.attempts)
    assert outcomes(websocket, again) == expected(outcome)
    assert len(websocket.attempts) == sent <= 2
    assert not any(one._open for one in websocket.node.fronts[1]._sessions)


@pytest.mark.parametrize("returns", ["and listens", "and repeats it", "never"])
def test_a_set_up_that_is_handled_after_its_client_left_begins_when_that_is_back(
    websocket: NodeHarness, returns: str
) -> None:
    """Guards against requests sent on for a client that had left before they were handled."""
    caller = websocket.caller()
    blocked = BlockedPlanner(websocket.planner)
    caller.set_up(A, left_ms=1000)
    until(lambda: websocket.node.front_contexts[1].pending_set_ups == 1)
    caller.disconnect()
    until(lambda: not websocket.node.fronts[1]._sessions)
    blocked.unblock()
    websocket.settle()
    assert not websocket.attempts
    if returns == "never":
        websocket.advance(1000.0)
        assert not websocket.attempts and not websocket.planner.calls.by_key
        return
    again = websocket.caller()
    if returns == "and repeats it":
        again.set_up(A, left_ms=900)
    assert websocket.servers[0].receive()["id"] == A
    websocket.links[0].send("answer", A, sdp="v=0")
    assert again.receive()["type"] == "answer"
    assert outcomes(websocket, again) == [] and len(websocket.attempts) == 1


@pytest.mark.parametrize("answered", ["before it", "while it is held", "after the close"])
def test_a_set_up_that_comes_before_the_close_of_its_first_connection_joins_its_call(answered: str) -> None:
    """Guards against cause 100 for a client whose own close was still on its way, on JSON lines."""
    harness = NodeHarness(False)
    try:
        caller, again = harness.caller(), harness.caller()
        caller.set_up(A)
        assert harness.servers[0].receive()["id"] == A
        if answered == "before it":
            give_outcome(harness, "answered")
            assert caller.receive()["type"] == "answer"
        again.set_up(A)
        harness.until(lambda: bool(harness.planner._ownership._held))
        if answered == "while it is held":
            give_outcome(harness, "answered")
            assert caller.receive()["type"] == "answer"
        caller.disconnect()
        harness.until(
            lambda: not any(one.is_reachable() for one in (harness.planner.calls.by_key[int(A, 16)].told_on))
        )
        harness.advance(REPEAT_GRACE_MS)
        if answered == "after the close":
            give_outcome(harness, "answered")
        assert again.receive()["type"] == "answer"
        assert outcomes(harness, again) == [] and len(harness.attempts) == 1
        assert harness.servers[0].received.empty()
    finally:
        harness.end()


def test_a_held_set_up_of_another_client_is_rejected_and_its_release_ends_nothing() -> None:
    harness = NodeHarness(False)
    try:
        caller, other, late = harness.caller(), harness.caller(), harness.caller()
        caller.set_up(A)
        assert harness.servers[0].receive()["id"] == A
        harness.links[0].send("answer", A, sdp="v=0")
        assert caller.receive()["type"] == "answer"
        late.set_up(A)
        harness.until(lambda: bool(harness.planner._ownership._held))
        other.set_up(A)
        other.send("release", A, cause=16)
        assert outcomes(harness, other) == []
        harness.advance(REPEAT_GRACE_MS)
        assert outcomes(harness, late) == [("release", 100)]
        assert outcomes(harness, other) == []
        assert harness.servers[0].received.empty() and not harness.planner._ownership._held
    finally:
        harness.end()


@pytest.mark.parametrize("state", ["established", "ended", "ended and told"])
def test_a_call_that_stood_is_not_run_again_when_its_set_up_is_repeated(
    harness: NodeHarness, state: str
) -> None:
    """Guards against an id that ran twice when it came again after its client had left."""
    caller = harness.caller()
    caller.set_up(A)
    assert harness.servers[0].receive()["id"] == A
    harness.links[0].send("answer", A, sdp="v=0")
    assert caller.receive()["type"] == "answer"
    if state == "ended and told":
        harness.links[0].send("release", A, cause=16)
        assert caller.receive()["type"] == "release"
    caller.disconnect()
    until(lambda: not harness.node.fronts[int(harness.websocket)]._sessions)
    harness.settle()
    if state == "ended":
        harness.links[0].send("release", A, cause=16)
        harness.until(lambda: harness.planner.calls.all_ended())
    again = harness.caller()
    again.set_up(A)
    found = outcomes(harness, again)
    assert found == ([("answer", None)] if state == "established" else [("release", 16)])
    assert len(harness.attempts) == 1


def test_another_client_may_not_run_the_id_of_a_call_that_stood(harness: NodeHarness) -> None:
    caller, other = harness.caller(), harness.caller()
    caller.set_up(A)
    assert harness.servers[0].receive()["id"] == A
    harness.links[0].send("answer", A, sdp="v=0")
    assert caller.receive()["type"] == "answer"
    caller.send("release", A, cause=16)
    harness.until(lambda: harness.planner.calls.all_ended())
    other.send("setup", A, sdp="another", fields={"class": "slot-confirm", "left": "900"})
    assert outcomes(harness, other) == [("release", 100)]
    assert len(harness.attempts) == 1


def test_both_connections_of_a_repeated_set_up_are_told_of_the_end(websocket: NodeHarness) -> None:
    """Guards against an end that is told late, as it went to a connection that the client had lost."""
    caller, again = websocket.caller(), websocket.caller()
    caller.set_up(A)
    assert websocket.servers[0].receive()["id"] == A
    again.set_up(A)
    websocket.until(lambda: len(websocket.planner.calls.by_key[int(A, 16)].requested_on) == 2)
    websocket.links[0].send("answer", A, sdp="v=0")
    websocket.links[0].send("release", A, cause=16)
    for peer in (caller, again):
        assert [peer.receive()["type"] for _ in range(2)] == ["answer", "release"]


def test_finished_calls_are_kept_until_their_deadline_and_in_bounded_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows with every id ever used."""
    monkeypatch.setattr(finished_calls, "MAX_FINISHED_CALLS", 3)
    finished, caller = FinishedCalls(), FakeCaller(False)
    calls = [model.Call(request(n), caller, model.Client.of(caller)) for n in range(1, 6)]
    for call in calls:
        finished.add(call, 0.0)  # refused where it was set up: nothing to remember
        assert finished.find(call.request.key, 0.0) is None
        call.was_established = True
        finished.add(call, 0.0)
    expires_ms = calls[0].request.expires_ms
    assert [finished.find(call.request.key, 0.0) is not None for call in calls] == [False] * 2 + [True] * 3
    assert finished.find(calls[4].request.key, expires_ms) is None
    finished.add(calls[0], expires_ms)
    assert len(finished._by_key) == 1
