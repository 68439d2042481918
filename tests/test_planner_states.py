"""State machine test of the planner: random caller, call and link events; no sockets, a manual clock."""

from __future__ import annotations

from typing import Any

import hypothesis.strategies as st
from hypothesis import seed
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, multiple, rule

from capershelf import interface
from capershelf.core import model
from capershelf.core.clock import ManualClock
from capershelf.core.planner import DEADLINE_MARGIN_MS, Planner
from tests.rig import listed, settings

RELEASE_MS = 200.0
SETTINGS = settings(release_ms=RELEASE_MS, may_probe=True)
SERVERS = ("s0", "s1")


class FakeCaller:
    host, name = "127.0.0.1", "127.0.0.1:1"
    awaiting_first_message, messages_received = False, 1

    def __init__(self, outlived: bool) -> None:
        self.calls_outlive_connection, self.open, self.received = outlived, True, list[model.CallerMessage]()

    def notify(self, message: model.CallerMessage) -> bool:
        if self.open:
            self.received.append(message)
        return self.open

    def call_ended(self, call_id: str) -> None: ...

    def is_waiting(self, call_id: str) -> bool:
        return self.calls_outlive_connection or self.open

    def discard_set_up(self, call_id: str) -> None: ...

    def was_rejected(self, call_id: str) -> bool:
        return any(
            isinstance(one, model.Refused | model.Failed) and one.id == call_id for one in self.received
        )

    def other_connection(self) -> model.Caller | None:
        return None

    def is_reachable(self) -> bool:
        return self.open

    def attach(self, call_id: str) -> None: ...
    def detach(self, call_id: str) -> None: ...
    def close(self, reason: str) -> None: ...

    def ping(self) -> int:
        return 0

    def has_answered_ping(self, number: int) -> bool:
        return self.open


class FakeServers:
    """Records set-ups and releases, and checks the rules on attempts as they are sent."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.in_flight: dict[str, str] = {}  # server by call id
        self.sent: dict[str, int] = {}
        self.established: dict[str, str] = {}
        self.not_before: dict[str, float] = {}
        self.draining, self.not_reading = set[str](), set[str]()
        self.queued: dict[str, str] = {}  # in the write queue of a connection that is not being read
        self.gates: dict[str, model.WriteGate] = {}

    def set_up(
        self, server: str, epoch: int, request: model.SetUp, remaining_ms: float, gate: model.WriteGate
    ) -> None:
        now_ms = self.clock.now_ms()
        assert gate.may_write(), "passed to the link although it must not begin"
        if server in self.not_reading:
            self.gates[request.id] = gate
        assert request.id not in self.in_flight and request.id not in self.queued, "two attempts in flight"
        assert server not in self.draining, "a set-up to a server listed as draining"
        assert now_ms >= self.not_before.get(request.id, 0.0), "sent again before the end of the release gap"
        assert now_ms + remaining_ms <= request.expires_ms
        (self.queued if server in self.not_reading else self.in_flight)[request.id] = server
        self.sent[request.id] = self.sent.get(request.id, 0) + 1
        assert self.sent[request.id] <= SETTINGS.max_attempts

    def end_attempt(self, call: str, with_gap: bool) -> None:
        if self.in_flight.pop(call, None) is not None and with_gap:
            self.not_before[call] = self.clock.now_ms() + RELEASE_MS

    def release(self, server: str, call_id: str, cause: int) -> None:
        assert call_id not in self.queued, "the queued set-up would be written before its release"
        if self.established.get(call_id) == server:
            del self.established[call_id]
        elif self.in_flight.get(call_id) == server:
            self.end_attempt(call_id, True)

    def withdraw(self, server: str, call_id: str = "") -> set[str]:
        found = {call for call, at in self.queued.items() if at == server and call_id in ("", call)}
        for call in found:
            del self.queued[call], self.gates[call]
        return found

    def is_queued(self, server: str, call_id: str) -> bool:
        return self.queued.get(call_id) == server

    def flush(self, server: str) -> None:
        """Write the queue out."""
        self.not_reading.discard(server)
        for call in [call for call, at in self.queued.items() if at == server]:
            assert server not in self.draining, "a set-up written to a server listed as draining"
            del self.queued[call]
            gate = self.gates.pop(call)
            if gate.may_write():
                self.in_flight[call] = server
            else:
                gate.on_dropped()

    def is_flushed(self) -> bool:
        return True

    def open(self, server: str, endpoint: str) -> None: ...
    def close(self, server: str) -> None: ...
    def disconnect(self, server: str) -> None: ...

    def connect(self, server: str) -> str:
        return ""

    def probe(self, server: str, epoch: int, token: str) -> None: ...
    def replace_connection(self, server: str) -> None: ...

    def signs_of_life(self, server: str) -> model.SignsOfLife:
        now_ms = self.clock.now_ms()
        return model.SignsOfLife(now_ms, now_ms, now_ms)


# Written out: hypothesis derives the seed from the test's source text otherwise, so a rename changes it.
@seed(0x4DC344AF04C4AF0CA69D6351A00E9C822FD18078713162BF064D6960C6DED2E467FBF8F0C1028C3F6D8A9B5AAAFB40D5)
class Calls(RuleBasedStateMachine):
    calls: Bundle[str] = Bundle("calls")

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.planner = Planner(SETTINGS, 1, self.clock, 500.0)
        self.servers = self.planner.servers = FakeServers(self.clock)
        self.epochs: dict[str, int] = {}
        self.link_is_up: dict[str, bool] = dict.fromkeys(SERVERS, False)
        self.callers: list[FakeCaller] = []
        self.requests: dict[str, model.SetUp] = {}
        self.caller_of: dict[str, FakeCaller] = {}
        self.claims: dict[str, list[FakeCaller]] = {}  # connections that sent the call's set-up
        self.released_by_one: set[str] = set()  # calls that another connection still claimed
        self.abandoned: set[str] = set()  # by their callers: no outcome is due
        self.version = 1
        self.put(
            model.ServerListUpdate(
                1,
                True,
                tuple(
                    model.LocatedServer(listed(server, place), f"127.0.0.1:{place + 1}")
                    for place, server in enumerate(SERVERS)
                ),
            )
        )

    def put(self, event: model.Event) -> None:
        self.planner.inbox.put(event)
        self.planner.step()

    def caller(self, outlived: bool) -> FakeCaller:
        self.callers.append(FakeCaller(outlived))
        return self.callers[-1]

    def ask(self, call: str, caller: FakeCaller) -> None:
        self.caller_of[call] = caller
        self.claims.setdefault(call, []).append(caller)
        self.put(model.SetUpReceived(self.requests[call], caller))

    def drop_claim(self, call: str, caller: FakeCaller) -> bool:
        """Drop this connection's claim; returns whether another live connection has one."""
        self.claims[call] = [one for one in self.claims[call] if one is not caller and one.open]
        if self.claims[call]:
            self.caller_of[call] = self.claims[call][-1]
        return bool(self.claims[call])

    def outcomes(self, call: str) -> list[list[model.CallerMessage]]:
        final = (model.Answered, model.Refused, model.Failed)
        return [[w for w in c.received if w.id == call and isinstance(w, final)] for c in self.callers]

    # -- steps ----------------------------------------------------------------------------------------
    @rule(
        target=calls,
        outlived=st.booleans(),
        kind=st.sampled_from(["usual", "dear", "what"]),
        left_ms=st.integers(1, 4000),
        place=st.integers(-1, 2),
    )
    def set_up(self, outlived: bool, kind: str, left_ms: int, place: int) -> Any:
        call = f"{len(self.requests) + 1:016x}"
        self.requests[call] = model.SetUp(call, kind, self.clock.now_ms() + left_ms, f"n{call}", "sdp", place)
        self.ask(call, self.caller(outlived))
        return multiple(call)

    @rule(call=calls)
    def repeat_on_its_connection(self, call: str) -> None:
        if self.caller_of[call].open and not any(self.outcomes(call)) and call not in self.abandoned:
            before = self.servers.sent.get(call, 0)
            self.put(model.SetUpReceived(self.requests[call], self.caller_of[call]))
            assert self.servers.sent.get(call, 0) == before

    @rule(call=calls)
    def connection_lost(self, call: str) -> None:
        caller = self.caller_of[call]
        if caller.open:
            caller.open = False
            gives_up = not caller.calls_outlive_connection or call in self.released_by_one
            if not self.drop_claim(call, caller) and gives_up and not any(self.outcomes(call)):
                self.abandoned.add(call)
            self.put(model.CallerDisconnected(caller))

    @rule(call=calls)
    def come_back(self, call: str) -> None:
        caller = self.caller_of[call]
        if (
            caller.calls_outlive_connection
            and not any(self.outcomes(call))
            and call not in self.abandoned
            and (self.clock.now_ms() < self.requests[call].expires_ms)
        ):
            before = self.servers.sent.get(call, 0)
            self.ask(call, self.caller(True))
            assert self.servers.sent.get(call, 0) == before, "reconnecting must not start an attempt"

    @rule(call=calls)
    def give_up(self, call: str) -> None:
        caller, in_flight = self.caller_of[call], self.servers.in_flight.get(call)
        is_claimed = self.drop_claim(call, caller)
        if is_claimed:
            self.released_by_one.add(call)
        elif not any(self.outcomes(call)):
            self.abandoned.add(call)
        self.put(model.CallerReleased(call, model.CAUSE_NORMAL, caller))
        assert self.servers.in_flight.get(call) == (in_flight if is_claimed else None)

    @rule(server=st.sampled_from(SERVERS))
    def link_changes(self, server: str) -> None:
        self.link_is_up[server] = up = not self.link_is_up[server]
        if up:
            self.epochs[server] = self.epochs.get(server, 0) + 1
            self.put(model.LinkUp(server, self.epochs[server]))
            return
        self.servers.flush(server)  # queued set-ups may have been read before the link broke
        for call in [c for c, at in self.servers.in_flight.items() if at == server]:
            self.servers.end_attempt(call, True)
        self.put(model.LinkDown(server, self.epochs[server]))

    @rule(server=st.sampled_from(SERVERS))
    def reads_slowly_or_again(self, server: str) -> None:
        if server in self.servers.not_reading:
            self.servers.flush(server)
        elif self.link_is_up[server]:
            self.servers.not_reading.add(server)

    @rule(server=st.sampled_from(SERVERS))
    def drains_or_is_back(self, server: str) -> None:
        drains = server not in self.servers.draining
        (self.servers.draining.add if drains else self.servers.draining.discard)(server)
        self.version += 1
        place = SERVERS.index(server)
        status = interface.ServerStatus.DRAINING if drains else interface.ServerStatus.ACTIVE
        self.put(
            model.ServerListUpdate(
                self.version,
                False,
                (model.LocatedServer(listed(server, place, status), f"127.0.0.1:{place + 1}"),),
            )
        )

    @rule(server=st.sampled_from(SERVERS), refused=st.booleans())
    def connect_fails(self, server: str, refused: bool) -> None:
        if not self.link_is_up[server]:
            self.put(model.LinkDown(server, None, refused))
            if refused:
                self.servers.established = {c: s for c, s in self.servers.established.items() if s != server}

    @rule(call=calls)
    def server_answers(self, call: str) -> None:
        if (server := self.servers.in_flight.pop(call, None)) is not None:
            self.servers.established[call] = server
            self.put(model.ServerAnswered(server, call, f"of {call}", None))

    @rule(call=calls, server=st.sampled_from(SERVERS))
    def answer_out_of_turn(self, call: str, server: str) -> None:
        if call not in self.servers.in_flight and call not in self.servers.established:
            before = self.outcomes(call)
            self.put(model.ServerAnswered(server, call, "late", None))
            assert self.outcomes(call) == before

    @rule(call=calls, cause=st.sampled_from([17, 34, 41, 47, 102, 16]))
    def server_releases(self, call: str, cause: int) -> None:
        server = self.servers.in_flight.get(call) or self.servers.established.pop(call, None)
        if server is not None:
            self.servers.end_attempt(call, cause == model.CAUSE_INTERRUPTED)
            result = {
                34: interface.Result.FULL,
                41: interface.Result.RESET,
                102: interface.Result.NOT_SENT,
            }.get(cause, interface.Result.ERROR)
            self.put(
                model.ServerReleased(server, call, cause, result, interface.RefusalReason.UNSPECIFIED, None)
            )

    @rule(by_ms=st.sampled_from([1.0, 25.0, 199.0, 200.0, 1000.0]))
    def time_passes(self, by_ms: float) -> None:
        while by_ms > 0:
            self.clock.advance(min(25.0, by_ms))
            by_ms -= 25.0
            self.planner.step()

    # -- invariants -----------------------------------------------------------------------------------
    @invariant()
    def one_outcome_each(self) -> None:
        for call, request in self.requests.items():
            received = self.outcomes(call)
            assert all(len(words) <= 1 for words in received), "two outcomes on one connection"
            kinds = {word for words in received for word in words}
            assert len(kinds) <= 1, "two different outcomes"
            for word in kinds:
                assert not isinstance(word, model.Answered) or word.description == f"of {call}"
            late = self.clock.now_ms() > request.expires_ms - DEADLINE_MARGIN_MS + 25.0
            if late and self.caller_of[call].open and call not in self.abandoned:
                assert kinds, "no outcome although the caller's deadline has passed"

    def teardown(self) -> None:
        self.time_passes(9000.0)
        assert self.planner.calls.open_count == 0
        assert not self.servers.in_flight, "an attempt is still in flight"
        for server in SERVERS:  # no server out of reach can be told; all of them can be now
            if not self.link_is_up[server]:
                self.link_changes(server)
        for call in self.servers.established:
            assert any(self.outcomes(call)), "an established call without a caller"


TestCalls = Calls.TestCase
TestCalls.settings = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=40, database=None
)


def test_a_call_answered_while_its_caller_is_away_does_not_stay_at_a_server_out_of_reach() -> None:
    """Guards against calls that a server keeps after it was only cut off: releases were dropped after 4 s."""
    calls = Calls()
    calls.link_changes("s0")
    calls.drains_or_is_back("s1")
    call = "0000000000000001"
    calls.set_up(True, "usual", 16, 0)
    calls.connection_lost(call)
    calls.server_answers(call)
    calls.link_changes("s0")
    calls.one_outcome_each()
    calls.teardown()


def test_an_answer_out_of_turn_changes_nothing_where_the_attempt_is_not_written() -> None:
    """Guards against a refusal: the queued attempt was withdrawn, and 16 ms are too few for another one."""
    calls = Calls()
    calls.link_changes("s1")
    calls.link_changes("s0")
    calls.reads_slowly_or_again("s1")
    call = "0000000000000001"
    calls.set_up(False, "usual", 16, 1)
    calls.answer_out_of_turn(call, "s1")
