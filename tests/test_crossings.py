"""What crosses a set-up on its way out: the gate at its first byte, each crossing forced at its exact line.

docs/crossings.md lists them; none is brought about by a sleep.
"""

from __future__ import annotations

import math
import socket
import threading
from collections.abc import Callable
from typing import Any

import pytest

from capershelf import interface as api
from capershelf.core import model as m
from capershelf.core.clock import ManualClock, SystemClock
from capershelf.core.planner import LATE_ANSWER_MS, LOST_AFTER_MS, Planner
from capershelf.net.connection import Connection
from capershelf.net.framing import Lines
from tests.peers import PATIENCE_S, Peer, Stage, until
from tests.rig import listed, settings
from tests.test_planner_states import FakeCaller, FakeServers
from tests.test_stopping import (
    go_on,
    lines_of,
    news,
    planner_with,
    read_until_half_written,
    request,
    slow_pair,
)

A = "00000000000000a0"
RELEASE_MS = 200.0


class Gate:
    """A gate that a test opens and shuts; notes when it was asked."""

    def __init__(self, opens: bool = True) -> None:
        self.opens, self.asked, self.drops = opens, 0, 0

    def may_write(self) -> bool:
        self.asked += 1
        return self.opens

    def on_dropped(self) -> None:
        self.drops += 1


# -- the connection asks at the first byte, and only there --------------------------------------------


def test_a_gate_is_asked_at_the_first_byte_and_a_dropped_message_is_never_written() -> None:
    connection, far, said = slow_pair()
    shut, open_, turned = Gate(False), Gate(), Gate()
    for name, gate in (("shut", shut), ("open", open_), ("turned", turned)):
        assert connection.post(name.encode(), name, gate)
    assert shut.asked == open_.asked == turned.asked == 0, "asked before it can be written"
    turned.opens = False  # its caller leaves while it waits in the outbox
    connection.finish()
    assert lines_of(far) == [*said, "open", ""]
    assert (shut.drops, open_.drops, turned.drops) == (1, 0, 1)
    assert open_.asked == 1, "a message that has begun is not asked for again"


def test_a_message_that_is_half_written_is_not_dropped_by_its_gate() -> None:
    connection, far, said = slow_pair()
    gate = Gate()
    assert connection.post(b"y" * 40_000, "a", gate)
    read_until_half_written(connection, far)
    gate.opens = False  # a rest that never comes would spoil what follows
    assert connection.post(b"next")
    connection.finish()
    assert lines_of(far)[-2:] == ["next", ""]
    assert gate.drops == 0


def test_a_message_with_a_shut_gate_is_not_written_where_nothing_waits_before_it() -> None:
    near, far = socket.socketpair()
    connection = Connection(near, Lines(), lambda line: None, lambda: None, "x", SystemClock(), math.inf)
    connection.start()
    gate = Gate(False)
    assert connection.post(b"no", "a", gate)
    assert connection.post(b"yes")
    connection.finish()
    assert lines_of(far) == ["yes", ""] and gate.drops == 1


# -- the planner's gate: each thing that may have changed since the module decided ---------------------


class Departed(FakeCaller):
    """A caller that has hung up, which no event has told yet."""

    def __init__(self) -> None:
        super().__init__(False)
        self.here = True

    def is_waiting(self, call_id: str) -> bool:
        return self.here


def in_outbox() -> tuple[Planner, FakeServers, Any, Departed]:
    """A call whose set-up waits in the outbox of a connection that is read slowly."""
    planner, servers, clock = planner_with()
    servers.slow.add("s0")
    caller = Departed()
    planner.inbox.put(m.SetUpReceived(request(1), caller))
    go_on(planner)
    assert servers.waiting == {request(1).id: "s0"}
    return planner, servers, clock, caller


def test_a_caller_that_left_unheard_is_seen_where_its_call_leaves_the_outbox() -> None:
    planner, servers, _, caller = in_outbox()
    caller.here = False
    servers.read("s0")
    assert not servers.out
    go_on(planner)
    assert not planner.calls.by_key and planner.calls.open_count == 0 and not caller.heard


def test_a_drain_that_is_told_and_not_dealt_with_stops_what_leaves_an_outbox() -> None:
    planner, servers, _, caller = in_outbox()
    planner.tell(news(3, "s0", api.ServerStatus.DRAINING))  # its planner is at something else
    servers.read("s0")
    assert not servers.out
    servers.drains.add("s0")
    go_on(planner)
    assert list(servers.out.values()) == ["s1"] and not caller.heard


def test_a_set_up_meant_for_a_process_that_was_replaced_does_not_leave_the_outbox() -> None:
    planner, servers, clock, _ = in_outbox()
    started_ms = clock.now_ms() + 50.0
    clock.advance(100.0)
    again = m.LocatedServer(listed("s0", 0, api.ServerStatus.ACTIVE, started_ms), "127.0.0.1:1")
    planner.tell(m.ServerListUpdate(3, False, (again,)))
    go_on(planner)
    servers.read("s0")
    assert not [call for call, at in servers.out.items() if at == "s0"]


@pytest.mark.parametrize("by_ms", [1499.0, 5000.0], ids=["in time", "late"])
def test_a_set_up_begins_only_before_its_time_out(by_ms: float) -> None:
    """Its timer is due too, and the planner may be late for it."""
    planner, servers, clock, _ = in_outbox()
    clock.advance(by_ms)
    servers.read("s0")
    assert bool(servers.out) is (by_ms < 1500.0)


def test_a_set_up_to_a_cold_server_begins_in_its_turn_or_not_at_all() -> None:
    planner, servers, clock = planner_with()
    planner.inbox.put(m.LinkDown("s0", 1))
    planner.inbox.put(m.LinkDown("s1", 1))
    go_on(planner)
    caller = FakeCaller(False)
    planner.inbox.put(m.SetUpReceived(request(1), caller))
    go_on(planner)
    call = planner.calls.by_key[request(1).key]
    assert (attempt := call.attempt) is not None and attempt.epoch is None
    attempt.begin_by_ms = clock.now_ms() + 100.0  # as the module gives it for a cold server
    server = attempt.server
    clock.advance(101.0)
    planner.inbox.put(m.LinkUp(server, 2))  # it comes up after the turn is over
    go_on(planner)
    assert attempt.ended and attempt.epoch is None, "it has ended unsent"


# -- callers leave at each place where a call may wait --------------------------------------------------


@pytest.fixture(params=[False, True], ids=["closes", "gives up"])
def leaves(request: pytest.FixtureRequest) -> Callable[[Peer, Stage], None]:
    """How a caller leaves; returns once its session has read that, while the planner stands still."""
    gives_up: bool = request.param

    def leave(caller: Peer, stage: Stage) -> None:
        (session,) = stage.node.fronts[0]._sessions
        if gives_up:
            caller.say("release", A, cause=16)
        else:
            caller.sock.shutdown(socket.SHUT_RDWR)
        until(lambda: not session.is_waiting(A))

    return leave


class Held:
    """The planner's thread, held up in the middle of its work until it is let go on."""

    def __init__(self, planner: Planner) -> None:
        self._inside, self._on = threading.Event(), threading.Event()
        planner.inbox.put(m.InboxBarrier(self._stand))
        assert self._inside.wait(PATIENCE_S)

    def _stand(self) -> None:
        self._inside.set()
        assert self._on.wait(PATIENCE_S)

    def let_go_on(self) -> None:
        self._on.set()


def setups(stage: Stage) -> list[str]:
    """Set-ups that booking servers have been sent, once they have read all that was written."""
    stage.settle()
    found = []
    for number, server in enumerate(stage.servers):
        stage.planner.servers.probe(f"s{number}", stage.planner._known[f"s{number}"].epoch or 0, "f" * 16)
        while (got := server.hear())["id"] != "f" * 16:
            if got["type"] == "setup":
                found.append(got["id"])
    return found


@pytest.mark.parametrize("where", ["inbox", "room", "release"])
def test_no_attempt_begins_once_the_caller_has_left(
    where: str, leaves: Callable[[Peer, Stage], None]
) -> None:
    """The leaving is read by the session and lies behind a planner that is busy with something else."""
    stage = Stage(False)
    try:
        caller = stage.caller()
        if where == "inbox":  # its set-up waits for the planner
            held = Held(stage.planner)
            caller.set_up(A)
            until(lambda: stage.node.front_contexts[0].pending_set_ups == 1)
        elif where == "room":  # both servers drain: it is held
            for server in stage.planner._known.values():
                stage.planner.tell(
                    m.ServerListUpdate(
                        9,
                        False,
                        (
                            m.LocatedServer(
                                listed(server.id, int(server.id[1]), api.ServerStatus.DRAINING),
                                server.endpoint,
                            ),
                        ),
                    )
                )
            stage.settle()
            caller.set_up(A)
            stage.until(lambda: bool(stage.planner._controller.held))
            held = Held(stage.planner)
        else:  # it was reset, and waits for its release
            caller.set_up(A)
            assert stage.servers[0].hear()["type"] == "setup"
            stage.links[0].say("release", A, cause=41)
            stage.until(lambda: stage.planner.calls.by_key[int(A, 16)].attempt is None)
            held = Held(stage.planner)
        leaves(caller, stage)
        if where == "room":  # just now there is room again: the news goes before what is in the inbox
            for number in range(2):
                server = stage.planner._known[f"s{number}"]
                stage.planner.tell(
                    m.ServerListUpdate(
                        10 + number, False, (m.LocatedServer(listed(server.id, number), server.endpoint),)
                    )
                )
        elif where == "release":
            stage.clock.advance(RELEASE_MS + 30.0)
        held.let_go_on()
        stage.advance(500)
        if where == "room":  # they had rested
            assert not stage.attempts
        else:
            assert setups(stage) == []
        assert int(A, 16) not in stage.planner.calls.by_key and stage.planner.calls.open_count == 0
    finally:
        stage.end()


def test_no_attempt_begins_where_the_caller_left_while_its_connection_was_made(
    leaves: Callable[[Peer, Stage], None],
) -> None:
    stage = Stage(False)
    try:
        for link in stage.links:
            link.leave()
        stage.until(lambda: all(known.epoch is None for known in stage.planner._known.values()))
        links = stage.planner.servers
        wake, links.connect = links.connect, lambda server: ""  # type: ignore[method-assign]
        caller = stage.caller()
        caller.set_up(A)
        stage.until(
            lambda: (
                (call := stage.planner.calls.by_key.get(int(A, 16))) is not None and call.attempt is not None
            )
        )
        held = Held(stage.planner)
        leaves(caller, stage)
        links.connect = wake  # type: ignore[method-assign]
        for number in range(2):  # they come up, which lies behind the leaving in the planner's inbox
            links.connect(f"s{number}")
            stage.servers[number].peer()
        held.let_go_on()
        stage.until(lambda: all(known.epoch is not None for known in stage.planner._known.values()))
        assert setups(stage) == [] and not stage.attempts
        assert int(A, 16) not in stage.planner.calls.by_key
    finally:
        stage.end()


def test_a_call_that_stands_outlives_its_callers_connection() -> None:
    stage = Stage(False)
    try:
        caller = stage.caller()
        caller.set_up(A)
        assert stage.servers[0].hear()["type"] == "setup"
        stage.links[0].say("answer", A, sdp="v=0")
        assert caller.hear()["type"] == "answer"
        caller.leave()
        stage.until(lambda: stage.planner.calls.by_key[int(A, 16)].lost_caller_host != "")
        other = stage.caller()
        other.say("release", A, cause=16)
        assert stage.servers[0].hear()["type"] == "release"
    finally:
        stage.end()


def test_a_call_may_be_given_up_on_another_connection_before_the_planner_hears_of_it() -> None:
    stage = Stage(False)
    try:
        caller, other = stage.caller(), stage.caller()
        held = Held(stage.planner)
        caller.set_up(A)
        until(lambda: stage.node.front_contexts[0].pending_set_ups == 1)
        (asker,) = [s for s in stage.node.fronts[0]._sessions if s._open]
        other.say("release", A, cause=16)
        until(lambda: not asker.is_waiting(A))
        held.let_go_on()
        stage.settle()
        assert setups(stage) == []
    finally:
        stage.end()


def test_an_answer_to_a_set_up_that_is_still_in_the_outbox_is_not_its_answer() -> None:
    """It is an earlier attempt's there: the one that waits is sent anew, nothing is released behind it."""
    planner, servers, _, caller = in_outbox()
    planner.inbox.put(m.ServerAnswered("s0", request(1).id, "of an earlier attempt", None))
    go_on(planner)
    assert not caller.heard and planner.calls.open_count == 1
    servers.read("s0")
    go_on(planner)
    assert len(servers.out) == 1, "one attempt, and it is out"


def test_a_call_that_ended_before_its_answer_came_is_told_to_be_over_and_asked_for_nowhere_else() -> None:
    """Its answer was lost, or is late: the server's normal end says that it stood there and is over."""
    planner, servers, clock = planner_with()
    caller = FakeCaller(False)
    planner.inbox.put(m.SetUpReceived(request(1), caller))
    go_on(planner)
    assert servers.out == {request(1).id: "s0"}
    servers.ended(request(1).id, False)
    planner.inbox.put(
        m.ServerReleased(
            "s0", request(1).id, m.CAUSE_NORMAL, api.Result.ERROR, api.RefusalReason.UNSPECIFIED, None
        )
    )
    go_on(planner)
    assert caller.heard == [m.Failed(request(1).id, m.CAUSE_NORMAL)]
    planner.inbox.put(m.ServerAnswered("s0", request(1).id, "late", None))
    go_on(planner)
    clock.advance(1000.0)
    go_on(planner)
    assert (
        not servers.out
        and len(caller.heard) == 1
        and not planner.calls.by_key
        and planner.calls.open_count == 0
    )


# -- ends that come twice, late, or for another attempt --------------------------------------------------


def out_again(result: api.Result, cause: int) -> tuple[Planner, FakeServers, Any]:
    """A call whose first attempt has ended, at the only server."""
    planner, servers, clock = planner_with()
    planner.tell(
        m.ServerListUpdate(
            3, False, (m.LocatedServer(listed("s1", 1, api.ServerStatus.REMOVED), "127.0.0.1:2"),)
        )
    )
    planner.inbox.put(m.SetUpReceived(request(1), FakeCaller(False)))
    go_on(planner)
    assert servers.out == {request(1).id: "s0"}
    servers.ended(request(1).id, False)
    planner.inbox.put(
        m.ServerReleased("s0", request(1).id, cause, result, api.RefusalReason.UNSPECIFIED, None)
    )
    go_on(planner)
    return planner, servers, clock


def test_an_end_that_comes_twice_does_not_free_the_call_from_its_next_attempt_there() -> None:
    planner, servers, clock = out_again(api.Result.NOT_SENT, 102)
    call = planner.calls.by_key[request(1).key]
    assert not servers.out, "the copy may still be on its way"
    copy = m.ServerReleased(
        "s0", request(1).id, 102, api.Result.NOT_SENT, api.RefusalReason.UNSPECIFIED, None
    )
    planner.inbox.put(copy)
    go_on(planner)
    clock.advance(RELEASE_MS)
    go_on(planner)
    assert servers.out == {request(1).id: "s0"} and call.attempts == 2


def test_an_answer_on_a_connection_that_was_replaced_is_not_the_next_attempts() -> None:
    planner, servers, clock = planner_with()
    planner.tell(
        m.ServerListUpdate(
            3, False, (m.LocatedServer(listed("s1", 1, api.ServerStatus.REMOVED), "127.0.0.1:2"),)
        )
    )
    caller = FakeCaller(False)
    planner.inbox.put(m.SetUpReceived(request(1), caller))
    planner.inbox.put(m.LinkDown("s0", 1))
    planner.inbox.put(m.LinkUp("s0", 2))
    go_on(planner)
    servers.ended(request(1).id, True)
    for _ in range(10):
        clock.advance(25.0)
        go_on(planner)
    assert servers.out == {request(1).id: "s0"} and servers.sent[request(1).id] == 2
    planner.inbox.put(m.ServerAnswered("s0", request(1).id, "of the first", None, True))
    go_on(planner)
    assert not caller.heard and servers.out, "given up with its connection; the second is still out"
    planner.inbox.put(m.ServerAnswered("s0", request(1).id, "of the second", None))
    go_on(planner)
    assert caller.heard == [m.Answered(request(1).id, "of the second")]


@pytest.mark.parametrize("late_ms", [0.0, LATE_ANSWER_MS])
def test_an_answer_that_crosses_its_connections_end_leaves_nothing_standing(late_ms: float) -> None:
    planner, servers, clock = planner_with()
    caller = FakeCaller(False)
    planner.inbox.put(m.SetUpReceived(request(1, left_ms=150.0), caller))
    planner.inbox.put(m.LinkDown("s0", 1))
    go_on(planner)
    for _ in range(8):
        clock.advance(25.0)
        go_on(planner)
    assert request(1).key not in planner.calls.by_key and len(caller.heard) == 1
    servers.out.clear()
    servers.standing[request(1).id] = "s0"  # the server answered just before it saw the end
    clock.advance(late_ms)
    go_on(planner)
    planner.inbox.put(m.ServerAnswered("s0", request(1).id, "sdp", None, True))
    planner.inbox.put(m.LinkUp("s0", 2))
    go_on(planner)
    assert bool(servers.standing) is (late_ms > 0.0) and len(caller.heard) == 1


def test_a_call_that_its_caller_ends_while_no_connection_is_up_is_released_on_the_next() -> None:
    planner, servers, clock = planner_with()
    caller = FakeCaller(False)
    planner.inbox.put(m.SetUpReceived(request(1), caller))
    go_on(planner)
    servers.out.clear()
    servers.standing[request(1).id] = "s0"
    planner.inbox.put(m.ServerAnswered("s0", request(1).id, "sdp", None))
    planner.inbox.put(m.LinkDown("s0", 1))
    planner.inbox.put(m.CallerReleased(request(1).id, m.CAUSE_NORMAL, caller))
    go_on(planner)
    assert servers.standing, "there is no way to say it"
    clock.advance(100.0)
    planner.inbox.put(m.LinkUp("s0", 2))
    go_on(planner)
    assert not servers.standing
    # One that stays away for so long that its calls count as cut is told nothing of them later.
    planner._known["s0"].pending_releases["x"] = m.CAUSE_NORMAL
    planner.inbox.put(m.LinkDown("s0", 2))
    go_on(planner)
    clock.advance(LOST_AFTER_MS)
    go_on(planner)
    assert not planner._known["s0"].pending_releases


def test_one_action_that_can_not_be_carried_out_does_not_cost_those_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    planner, servers, _ = planner_with()
    send = api.Send(77, "s0", 100.0)  # of a call that is not here
    monkeypatch.setattr(planner._controller, "handle", lambda now_ms, event: [send, api.SetTimer(5.0, "x")])
    before = len(planner._timers)
    planner._feed(api.TimerFired("tick"))
    assert len(planner._timers) == before + 1 and not servers.out


# -- the same set-up again --------------------------------------------------------------------------------


def test_a_set_up_that_comes_again_after_its_caller_hung_up_is_a_call_of_its_own_after_the_release() -> None:
    planner, servers, clock = planner_with()
    first, second = Departed(), FakeCaller(False)
    planner.inbox.put(m.SetUpReceived(request(1), first))
    go_on(planner)
    assert servers.out == {request(1).id: "s0"}
    first.here = False  # its connection broke, which lies behind the set-up in the inbox
    planner.inbox.put(m.SetUpReceived(request(1), second))
    planner.inbox.put(m.CallerDisconnected(first))
    go_on(planner)
    assert not second.heard and not servers.out
    clock.advance(RELEASE_MS - 1.0)
    go_on(planner)
    assert not servers.out, "what was given up may still be held there"
    clock.advance(1.0)
    go_on(planner)
    assert servers.out == {request(1).id: "s0"}
    planner.inbox.put(m.ServerAnswered("s0", request(1).id, "sdp", None))
    go_on(planner)
    assert second.heard == [m.Answered(request(1).id, "sdp")] and not first.heard


# -- settings of another customer --------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("release_ms", "drain_grace_ms", "attempts", "name"),
    [
        (50.0, 500.0, 2, "seat-buy"),
        (750.0, 5000.0, 9, "crane-claim"),
    ],
)
def test_times_names_and_bounds_are_the_settings(
    release_ms: float, drain_grace_ms: float, attempts: int, name: str
) -> None:
    clock, caller = ManualClock(), FakeCaller(False)
    terms = settings(
        release_ms=release_ms,
        drain_grace_ms=drain_grace_ms,
        max_attempts=attempts,
        classes=(api.CallClass(name, 60_000.0, 90_000.0),),
    )
    planner = Planner(terms, 1, clock, 500.0)
    planner.servers = servers = Unruled(clock)
    planner.tell(news(1, "s0", api.ServerStatus.ACTIVE))
    planner.inbox.put(m.LinkUp("s0", 1))
    asked = m.SetUp("00000000000000aa", name, clock.now_ms() + 90_000.0, "n", "sdp", 0)
    planner.inbox.put(m.SetUpReceived(asked, caller))
    other = m.SetUp("00000000000000ab", "slot-lookup", asked.expires_ms, "n", "sdp")
    planner.inbox.put(m.SetUpReceived(other, caller))
    go_on(planner)
    assert caller.heard == [m.Failed("00000000000000ab", m.CAUSE_INVALID)], (
        "a class that is not of this customer's"
    )
    ended: list[float] = []
    while not caller.heard[1:]:
        assert len(ended) <= attempts
        if len(servers.sent_at) > len(ended):  # out: it is reset at once
            ended.append(clock.now_ms())
            planner.inbox.put(
                m.ServerReleased("s0", asked.id, 41, api.Result.RESET, api.RefusalReason.UNSPECIFIED, None)
            )
        go_on(planner)
        clock.advance(10.0)
        go_on(planner)
    assert len(ended) == attempts
    gaps = [sent - end for end, sent in zip(ended, servers.sent_at[1:], strict=False)]
    assert all(release_ms <= gap < release_ms + 60.0 for gap in gaps), gaps


class Unruled(FakeServers):
    """Notes when what went out; the figures that it would hold it against are another customer's."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(clock)
        self.sent_at: list[float] = []

    def set_up(
        self, server: str, epoch: int, request: m.SetUp, remaining_ms: float, gate: m.WriteGate
    ) -> None:
        assert gate.may_write()
        self.sent_at.append(self.clock.now_ms())
