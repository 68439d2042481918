"""Races between sending a set-up and events that invalidate it.

Each race is forced at its exact point in the code rather than with a sleep; docs/crossings.md lists them.
"""

from __future__ import annotations

import math
import socket
import threading
from collections.abc import Callable
from typing import Any

import pytest

from capershelf import interface
from capershelf.core import model
from capershelf.core.clock import ManualClock, SystemClock
from capershelf.core.planner import LATE_ANSWER_MS, DISCONNECT_GRACE_MS, Planner
from capershelf.net.connection import Connection
from capershelf.net.framing import Lines
from tests.peers import PATIENCE_S, NodeHarness, Peer, until
from tests.rig import listed, settings
from tests.test_planner_states import FakeCaller, FakeServers
from tests.test_stopping import (
    SETTINGS,
    blocked_connection,
    list_update,
    make_planner,
    read_until_partly_written,
    received_lines,
    request,
    run_pending,
)

A, B = "00000000000000a0", "00000000000000a1"
RELEASE_MS = 200.0


class FakeGate:
    """A write gate controlled by the test; counts checks and drops."""

    def __init__(self, is_open: bool = True) -> None:
        self.is_open, self.checks, self.drops = is_open, 0, 0

    def may_write(self) -> bool:
        self.checks += 1
        return self.is_open

    def on_dropped(self) -> None:
        self.drops += 1


# -- the connection checks the gate at the first byte only --------------------------------------------


def test_a_gate_is_checked_only_at_the_first_byte_and_a_dropped_message_is_never_written() -> None:
    connection, far, queued = blocked_connection()
    closed, open_, closed_later = FakeGate(False), FakeGate(), FakeGate()
    for name, gate in (("closed", closed), ("open", open_), ("closed_later", closed_later)):
        assert connection.send(name.encode(), name, gate)
    assert closed.checks == open_.checks == closed_later.checks == 0, "checked before it can be written"
    closed_later.is_open = False  # as if its caller left while it is in the write queue
    connection.close_after_flush()
    assert received_lines(far) == [*queued, "open", ""]
    assert (closed.drops, open_.drops, closed_later.drops) == (1, 0, 1)
    assert open_.checks == 1, "a message that has begun is not checked again"


def test_a_partly_written_message_is_not_dropped_by_its_gate() -> None:
    connection, far, queued = blocked_connection()
    gate = FakeGate()
    assert connection.send(b"y" * 40_000, "a", gate)
    read_until_partly_written(connection, far)
    gate.is_open = False  # dropping the rest would corrupt the stream
    assert connection.send(b"next")
    connection.close_after_flush()
    assert received_lines(far)[-2:] == ["next", ""]
    assert gate.drops == 0


def test_a_message_with_a_closed_gate_is_not_written_when_the_write_queue_is_empty() -> None:
    near, far = socket.socketpair()
    connection = Connection(near, Lines(), lambda line: None, lambda: None, "x", SystemClock(), math.inf)
    connection.start()
    gate = FakeGate(False)
    assert connection.send(b"no", "a", gate)
    assert connection.send(b"yes")
    connection.close_after_flush()
    assert received_lines(far) == ["yes", ""] and gate.drops == 1


# -- the planner's gate: everything that may have changed since the controller decided -----------------


class DisconnectableCaller(FakeCaller):
    """A caller that can disconnect before the planner receives an event for it."""

    def __init__(self) -> None:
        super().__init__(False)
        self.is_connected = True

    def is_waiting(self, call_id: str) -> bool:
        return self.is_connected


def queued_set_up() -> tuple[Planner, FakeServers, Any, DisconnectableCaller]:
    """A call whose set-up is in the write queue of a connection that is not being read."""
    planner, servers, clock = make_planner()
    servers.not_reading.add("s0")
    caller = DisconnectableCaller()
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    run_pending(planner)
    assert servers.queued == {request(1).id: "s0"}
    return planner, servers, clock, caller


def test_a_caller_that_left_is_noticed_before_its_queued_set_up_is_written() -> None:
    planner, servers, _, caller = queued_set_up()
    caller.is_connected = False
    servers.flush("s0")
    assert not servers.in_flight
    run_pending(planner)
    assert not planner.calls.by_key and planner.calls.open_count == 0 and not caller.received


def test_a_pending_drain_update_keeps_a_queued_set_up_from_being_written() -> None:
    planner, servers, _, caller = queued_set_up()
    # Not handled yet: the planner is busy.
    planner.submit_update(list_update(3, "s0", interface.ServerStatus.DRAINING))
    servers.flush("s0")
    assert not servers.in_flight
    servers.draining.add("s0")
    run_pending(planner)
    assert list(servers.in_flight.values()) == ["s1"] and not caller.received


def test_a_queued_set_up_for_a_restarted_server_process_is_not_written() -> None:
    planner, servers, clock, _ = queued_set_up()
    started_ms = clock.now_ms() + 50.0
    clock.advance(100.0)
    restarted = model.LocatedServer(listed("s0", 0, interface.ServerStatus.ACTIVE, started_ms), "127.0.0.1:1")
    planner.submit_update(model.ServerListUpdate(3, False, (restarted,)))
    run_pending(planner)
    servers.flush("s0")
    assert not [call for call, at in servers.in_flight.items() if at == "s0"]


@pytest.mark.parametrize("by_ms", [1499.0, 5000.0], ids=["in time", "late"])
def test_a_queued_set_up_is_not_written_after_its_time_out(by_ms: float) -> None:
    """Its timer is also due, but the planner may run it late."""
    planner, servers, clock, _ = queued_set_up()
    clock.advance(by_ms)
    servers.flush("s0")
    assert bool(servers.in_flight) is (by_ms < 1500.0)


def test_a_set_up_to_a_cold_server_is_not_sent_after_its_begin_deadline() -> None:
    planner, servers, clock = make_planner()
    planner.inbox.put(model.LinkDown("s0", 1))
    planner.inbox.put(model.LinkDown("s1", 1))
    run_pending(planner)
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    run_pending(planner)
    call = planner.calls.by_key[request(1).key]
    assert (attempt := call.attempt) is not None and attempt.epoch is None
    attempt.begin_by_ms = clock.now_ms() + 100.0  # as the controller sets it for a cold server
    server = attempt.server
    clock.advance(101.0)
    planner.inbox.put(model.LinkUp(server, 2))  # after the begin deadline
    run_pending(planner)
    assert attempt.ended and attempt.epoch is None, "it ended without being sent"


# -- callers leave in each state in which a call may wait -----------------------------------------------


@pytest.fixture(params=[False, True], ids=["closes", "gives up"])
def make_caller_leave(request: pytest.FixtureRequest) -> Callable[[Peer, NodeHarness], None]:
    """Makes a caller leave; returns once its session has read that, while the planner is blocked."""
    gives_up: bool = request.param

    def leave(caller: Peer, harness: NodeHarness) -> None:
        (session,) = harness.node.fronts[0]._sessions
        if gives_up:
            caller.send("release", A, cause=16)
        else:
            caller.sock.shutdown(socket.SHUT_RDWR)
        until(lambda: not session.is_waiting(A))

    return leave


class BlockedPlanner:
    """Blocks the planner's thread in the middle of its work until unblock() is called."""

    def __init__(self, planner: Planner) -> None:
        self._reached, self._resume = threading.Event(), threading.Event()
        planner.inbox.put(model.InboxBarrier(self._block))
        assert self._reached.wait(PATIENCE_S)

    def _block(self) -> None:
        self._reached.set()
        assert self._resume.wait(PATIENCE_S)

    def unblock(self) -> None:
        self._resume.set()


def received_set_ups(harness: NodeHarness) -> list[str]:
    """Call ids of the set-ups received by the booking servers, after they have read everything written."""
    harness.settle()
    found = []
    for number, server in enumerate(harness.servers):
        harness.planner.servers.probe(
            f"s{number}", harness.planner._server_states[f"s{number}"].epoch or 0, "f" * 16
        )
        while (got := server.receive())["id"] != "f" * 16:
            if got["type"] == "setup":
                found.append(got["id"])
    return found


@pytest.mark.parametrize("where", ["inbox", "room", "release"])
def test_no_attempt_begins_once_the_caller_has_left(
    where: str, make_caller_leave: Callable[[Peer, NodeHarness], None]
) -> None:
    """The session has read that the caller left, but the event is queued behind a busy planner."""
    harness = NodeHarness(False)
    try:
        caller = harness.caller()
        if where == "inbox":  # its set-up is in the inbox
            blocked = BlockedPlanner(harness.planner)
            caller.set_up(A)
            until(lambda: harness.node.front_contexts[0].pending_set_ups == 1)
        elif where == "room":  # both servers are draining, so the controller holds it
            for server in harness.planner._server_states.values():
                harness.planner.submit_update(
                    model.ServerListUpdate(
                        9,
                        False,
                        (
                            model.LocatedServer(
                                listed(server.id, int(server.id[1]), interface.ServerStatus.DRAINING),
                                server.endpoint,
                            ),
                        ),
                    )
                )
            harness.settle()
            caller.set_up(A)
            harness.until(lambda: bool(harness.planner._controller.held))
            blocked = BlockedPlanner(harness.planner)
        else:  # it was reset and waits for its release gap
            caller.set_up(A)
            assert harness.servers[0].receive()["type"] == "setup"
            harness.links[0].send("release", A, cause=41)
            harness.until(lambda: harness.planner.calls.by_key[int(A, 16)].attempt is None)
            blocked = BlockedPlanner(harness.planner)
        make_caller_leave(caller, harness)
        if where == "room":  # capacity returns now: list updates bypass the inbox
            for number in range(2):
                server = harness.planner._server_states[f"s{number}"]
                harness.planner.submit_update(
                    model.ServerListUpdate(
                        10 + number, False, (model.LocatedServer(listed(server.id, number), server.endpoint),)
                    )
                )
        elif where == "release":
            harness.clock.advance(RELEASE_MS + 30.0)
        blocked.unblock()
        harness.advance(500)
        if where == "room":  # the links were disconnected
            assert not harness.attempts
        else:
            assert received_set_ups(harness) == []
        assert int(A, 16) not in harness.planner.calls.by_key and harness.planner.calls.open_count == 0
    finally:
        harness.end()


def test_no_attempt_begins_if_the_caller_left_while_the_server_was_connecting(
    make_caller_leave: Callable[[Peer, NodeHarness], None],
) -> None:
    harness = NodeHarness(False)
    try:
        for link in harness.links:
            link.disconnect()
        harness.until(lambda: all(known.epoch is None for known in harness.planner._server_states.values()))
        links = harness.planner.servers
        connect, links.connect = links.connect, lambda server: ""  # type: ignore[method-assign]
        caller = harness.caller()
        caller.set_up(A)
        harness.until(
            lambda: (
                (call := harness.planner.calls.by_key.get(int(A, 16))) is not None
                and call.attempt is not None
            )
        )
        blocked = BlockedPlanner(harness.planner)
        make_caller_leave(caller, harness)
        links.connect = connect  # type: ignore[method-assign]
        for number in range(2):  # the events for these connections are queued behind the caller's
            links.connect(f"s{number}")
            harness.servers[number].peer()
        blocked.unblock()
        harness.until(
            lambda: all(known.epoch is not None for known in harness.planner._server_states.values())
        )
        assert received_set_ups(harness) == [] and not harness.attempts
        assert int(A, 16) not in harness.planner.calls.by_key
    finally:
        harness.end()


def test_an_established_call_outlives_its_callers_connection() -> None:
    harness = NodeHarness(False)
    try:
        caller = harness.caller()
        caller.set_up(A)
        assert harness.servers[0].receive()["type"] == "setup"
        harness.links[0].send("answer", A, sdp="v=0")
        assert caller.receive()["type"] == "answer"
        caller.disconnect()
        harness.until(lambda: harness.planner.calls.by_key[int(A, 16)].detached_from is not None)
        other = harness.caller()
        other.send("release", A, cause=16)
        assert harness.servers[0].receive()["type"] == "release"
    finally:
        harness.end()


@pytest.mark.parametrize("websocket", [False, True], ids=["lines", "websocket"])
@pytest.mark.parametrize("released_by", ["its caller", "another client"])
def test_only_its_caller_keeps_a_call_that_the_planner_has_not_seen_from_being_sent(
    released_by: str, websocket: bool
) -> None:
    """Guards against set-ups without an outcome, whose ids another client has released."""
    harness = NodeHarness(websocket)
    try:
        caller, other = harness.caller(), harness.caller()
        blocked = BlockedPlanner(harness.planner)
        caller.set_up(A)
        front = int(websocket)
        until(lambda: harness.node.front_contexts[front].pending_set_ups == 1)
        (session,) = [s for s in harness.node.fronts[front]._sessions if s._open]
        releasing = caller if released_by == "its caller" else other
        releasing.send("release", A, cause=16)
        releasing.send("ping", B, cause=0)
        assert releasing.receive()["type"] == "pong"  # the release was read
        assert session.is_waiting(A) is (releasing is other)
        blocked.unblock()
        harness.settle()
        if releasing is caller:
            assert received_set_ups(harness) == []
            return
        assert harness.servers[0].receive()["id"] == A
        harness.links[0].send("answer", A, sdp="v=0")
        assert caller.receive()["type"] == "answer"
    finally:
        harness.end()


def test_an_answer_to_a_set_up_still_in_the_write_queue_belongs_to_an_earlier_attempt() -> None:
    """The queued attempt stays as it is, and no release is sent after it."""
    planner, servers, _, caller = queued_set_up()
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "of an earlier attempt", None))
    run_pending(planner)
    assert not caller.received and planner.calls.open_count == 1
    servers.flush("s0")
    run_pending(planner)
    assert len(servers.in_flight) == 1, "exactly one attempt is in flight"


def test_a_call_that_ended_before_its_answer_arrived_fails_and_is_not_retried() -> None:
    """The answer was lost or is late: a normal release proves that the call was established and has ended."""
    planner, servers, clock = make_planner()
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    run_pending(planner)
    assert servers.in_flight == {request(1).id: "s0"}
    servers.end_attempt(request(1).id, False)
    planner.inbox.put(
        model.ServerReleased(
            "s0",
            request(1).id,
            model.CAUSE_NORMAL,
            interface.Result.ERROR,
            interface.RefusalReason.UNSPECIFIED,
            None,
        )
    )
    run_pending(planner)
    assert caller.received == [model.Failed(request(1).id, model.CAUSE_NORMAL)]
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "late", None))
    run_pending(planner)
    clock.advance(1000.0)
    run_pending(planner)
    assert (
        not servers.in_flight
        and len(caller.received) == 1
        and not planner.calls.by_key
        and planner.calls.open_count == 0
    )


# -- releases and answers that are duplicated, late, or for another attempt ------------------------------


def after_first_attempt(result: interface.Result, cause: int) -> tuple[Planner, FakeServers, Any]:
    """A call whose first attempt has ended, with only that one server left."""
    planner, servers, clock = make_planner()
    planner.submit_update(
        model.ServerListUpdate(
            3, False, (model.LocatedServer(listed("s1", 1, interface.ServerStatus.REMOVED), "127.0.0.1:2"),)
        )
    )
    planner.inbox.put(model.SetUpReceived(request(1), FakeCaller(False)))
    run_pending(planner)
    assert servers.in_flight == {request(1).id: "s0"}
    servers.end_attempt(request(1).id, False)
    planner.inbox.put(
        model.ServerReleased("s0", request(1).id, cause, result, interface.RefusalReason.UNSPECIFIED, None)
    )
    run_pending(planner)
    return planner, servers, clock


def test_a_duplicate_release_does_not_end_the_next_attempt_at_the_same_server() -> None:
    planner, servers, clock = after_first_attempt(interface.Result.NOT_SENT, 102)
    call = planner.calls.by_key[request(1).key]
    assert not servers.in_flight, "a duplicate may still be in transit"
    copy = model.ServerReleased(
        "s0", request(1).id, 102, interface.Result.NOT_SENT, interface.RefusalReason.UNSPECIFIED, None
    )
    planner.inbox.put(copy)
    run_pending(planner)
    clock.advance(RELEASE_MS)
    run_pending(planner)
    assert servers.in_flight == {request(1).id: "s0"} and call.attempts == 2


def test_an_answer_on_a_replaced_connection_does_not_answer_the_next_attempt() -> None:
    planner, servers, clock = make_planner()
    planner.submit_update(
        model.ServerListUpdate(
            3, False, (model.LocatedServer(listed("s1", 1, interface.ServerStatus.REMOVED), "127.0.0.1:2"),)
        )
    )
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    planner.inbox.put(model.LinkDown("s0", 1))
    planner.inbox.put(model.LinkUp("s0", 2))
    run_pending(planner)
    servers.end_attempt(request(1).id, True)
    for _ in range(10):
        clock.advance(25.0)
        run_pending(planner)
    assert servers.in_flight == {request(1).id: "s0"} and servers.sent[request(1).id] == 2
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "of the first", None, True))
    run_pending(planner)
    assert not caller.received and servers.in_flight, (
        "the first ended with its connection; the second is in flight"
    )
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "of the second", None))
    run_pending(planner)
    assert caller.received == [model.Answered(request(1).id, "of the second")]


@pytest.mark.parametrize("late_ms", [0.0, LATE_ANSWER_MS])
def test_an_answer_read_after_its_connection_closed_is_released(late_ms: float) -> None:
    planner, servers, clock = make_planner()
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1, left_ms=150.0), caller))
    planner.inbox.put(model.LinkDown("s0", 1))
    run_pending(planner)
    for _ in range(8):
        clock.advance(25.0)
        run_pending(planner)
    assert request(1).key not in planner.calls.by_key and len(caller.received) == 1
    planner.inbox.put(model.LinkUp("s0", 2))
    run_pending(planner)
    servers.in_flight.clear()
    servers.established[request(1).id] = "s0"  # the server answered just before it saw the connection close
    clock.advance(late_ms)
    run_pending(planner)
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "sdp", None, True))
    run_pending(planner)
    assert bool(servers.established) is (late_ms > 0.0) and len(caller.received) == 1


def test_an_attempt_reset_with_its_connection_is_released_before_the_server_gets_the_call_again() -> None:
    planner, servers, clock = make_planner()
    planner.inbox.put(model.SetUpReceived(request(1), FakeCaller(False)))
    run_pending(planner)
    servers.in_flight.clear()
    servers.established[request(1).id] = "s0"  # it answered, but the answer was lost with the connection
    servers.not_before[request(1).id] = clock.now_ms() + SETTINGS.release_ms
    planner.inbox.put(model.LinkDown("s0", 1))
    planner.inbox.put(model.LinkUp("s0", 2))
    run_pending(planner)
    assert not servers.established
    for _ in range(10):
        clock.advance(25.0)
        run_pending(planner)
    assert servers.in_flight == {request(1).id: "s0"}


def test_a_call_ended_by_its_caller_while_disconnected_is_released_on_the_next_connection() -> None:
    planner, servers, clock = make_planner()
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    run_pending(planner)
    servers.in_flight.clear()
    servers.established[request(1).id] = "s0"
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "sdp", None))
    planner.inbox.put(model.LinkDown("s0", 1))
    planner.inbox.put(model.CallerReleased(request(1).id, model.CAUSE_NORMAL, caller))
    run_pending(planner)
    assert servers.established, "there is no connection to send the release on"
    clock.advance(100.0)
    planner.inbox.put(model.LinkUp("s0", 2))
    run_pending(planner)
    assert not servers.established
    # They outlast the end of the server's calls, as it may only have been cut off, until it is proved dead.
    servers.established["x" * 16] = "s0"
    planner._server_states["s0"].pending_releases["x" * 16] = model.CAUSE_NORMAL
    planner.inbox.put(model.LinkDown("s0", 2))
    run_pending(planner)
    clock.advance(DISCONNECT_GRACE_MS)
    run_pending(planner)
    planner.inbox.put(model.LinkUp("s0", 3))
    run_pending(planner)
    assert not servers.established and not planner._server_states["s0"].pending_releases
    planner._server_states["s0"].pending_releases["x" * 16] = model.CAUSE_NORMAL
    planner.inbox.put(model.LinkDown("s0", 3))
    planner.inbox.put(model.LinkDown("s0", None, refused=True))
    run_pending(planner)
    assert not planner._server_states["s0"].pending_releases


def test_calls_that_were_cut_with_their_server_out_of_reach_are_released_once_it_is_back() -> None:
    """Guards against calls that a server keeps after a partition in which their callers were told."""
    planner, servers, clock = make_planner()
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    run_pending(planner)
    servers.in_flight.clear()
    servers.established[request(1).id] = "s0"
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "sdp", None))
    planner.inbox.put(model.LinkDown("s0", 1))
    run_pending(planner)
    clock.advance(DISCONNECT_GRACE_MS)
    run_pending(planner)
    assert caller.received[-1] == model.Ended(request(1).id, model.CAUSE_INTERRUPTED)
    planner.inbox.put(model.LinkUp("s0", 2))
    run_pending(planner)
    assert not servers.established


def test_a_failing_action_does_not_skip_the_actions_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    planner, servers, _ = make_planner()
    send = interface.Send(77, "s0", 100.0)  # of an unknown call
    monkeypatch.setattr(
        planner._controller, "handle", lambda now_ms, event: [send, interface.SetTimer(5.0, "x")]
    )
    before = len(planner._timers)
    planner._notify_controller(interface.TimerFired("tick"))
    assert len(planner._timers) == before + 1 and not servers.in_flight


# -- repeated set-ups -------------------------------------------------------------------------------------


def test_a_set_up_repeated_after_its_caller_disconnected_is_a_new_call_after_the_release_gap() -> None:
    planner, servers, clock = make_planner()
    first, second = DisconnectableCaller(), FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), first))
    run_pending(planner)
    assert servers.in_flight == {request(1).id: "s0"}
    first.is_connected = False  # the event for its broken connection is queued behind the set-up
    planner.inbox.put(model.SetUpReceived(request(1), second))
    planner.inbox.put(model.CallerDisconnected(first))
    run_pending(planner)
    assert not second.received and not servers.in_flight
    clock.advance(RELEASE_MS - 1.0)
    run_pending(planner)
    assert not servers.in_flight, "the abandoned attempt may still be held by the server"
    clock.advance(1.0)
    run_pending(planner)
    assert servers.in_flight == {request(1).id: "s0"}
    planner.inbox.put(model.ServerAnswered("s0", request(1).id, "sdp", None))
    run_pending(planner)
    assert second.received == [model.Answered(request(1).id, "sdp")] and not first.received


# -- settings of another deployment ------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("release_ms", "drain_grace_ms", "attempts", "name"),
    [
        (50.0, 500.0, 2, "seat-buy"),
        (750.0, 5000.0, 9, "crane-claim"),
    ],
)
def test_times_class_names_and_limits_come_from_the_settings(
    release_ms: float, drain_grace_ms: float, attempts: int, name: str
) -> None:
    clock, caller = ManualClock(), FakeCaller(False)
    custom_settings = settings(
        release_ms=release_ms,
        drain_grace_ms=drain_grace_ms,
        max_attempts=attempts,
        classes=(interface.CallClass(name, 60_000.0, 90_000.0),),
    )
    planner = Planner(custom_settings, 1, clock, 500.0)
    planner.servers = servers = RecordingServers(clock)
    planner.submit_update(list_update(1, "s0", interface.ServerStatus.ACTIVE))
    planner.inbox.put(model.LinkUp("s0", 1))
    new_set_up = model.SetUp("00000000000000aa", name, clock.now_ms() + 90_000.0, "n", "sdp", 0)
    planner.inbox.put(model.SetUpReceived(new_set_up, caller))
    other = model.SetUp("00000000000000ab", "slot-lookup", new_set_up.expires_ms, "n", "sdp")
    planner.inbox.put(model.SetUpReceived(other, caller))
    run_pending(planner)
    assert caller.received == [model.Failed("00000000000000ab", model.CAUSE_INVALID)], (
        "a class that these settings do not have"
    )
    ended: list[float] = []
    while not caller.received[1:]:
        assert len(ended) <= attempts
        if len(servers.sent_at) > len(ended):  # sent: reset it at once
            ended.append(clock.now_ms())
            planner.inbox.put(
                model.ServerReleased(
                    "s0", new_set_up.id, 41, interface.Result.RESET, interface.RefusalReason.UNSPECIFIED, None
                )
            )
        run_pending(planner)
        clock.advance(10.0)
        run_pending(planner)
    assert len(ended) == attempts
    gaps = [sent - end for end, sent in zip(ended, servers.sent_at[1:], strict=False)]
    assert all(release_ms <= gap < release_ms + 60.0 for gap in gaps), gaps


class RecordingServers(FakeServers):
    """Records send times without FakeServers' checks, which assume the default settings."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.sent_at: list[float] = []

    def set_up(
        self, server: str, epoch: int, request: model.SetUp, remaining_ms: float, gate: model.WriteGate
    ) -> None:
        assert gate.may_write()
        self.sent_at.append(self.clock.now_ms())
