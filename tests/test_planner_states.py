"""A model of callers' connections, calls and links under random steps; no socket, a clock moved by hand."""

from __future__ import annotations

from typing import Any

import hypothesis.strategies as st
from hypothesis import seed
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, multiple, rule

from capershelf import interface as api
from capershelf.core import model as m
from capershelf.core.clock import ManualClock
from capershelf.core.planner import DEADLINE_MARGIN_MS, Planner
from tests.rig import listed, settings

RELEASE_MS = 200.0
SETTINGS = settings(release_ms=RELEASE_MS, may_probe=True)
SERVERS = ("s0", "s1")


class FakeCaller:
    host = "127.0.0.1"

    def __init__(self, outlived: bool) -> None:
        self.calls_outlive_connection, self.open, self.heard = outlived, True, list[m.CallerMessage]()

    def notify(self, word: m.CallerMessage) -> bool:
        if self.open:
            self.heard.append(word)
        return self.open

    def call_ended(self, call_id: str) -> None: ...

    def is_waiting(self, call_id: str) -> bool:
        return self.calls_outlive_connection or self.open

    def other_connection(self) -> m.Caller | None:
        return None


class FakeServers:
    """Notes what goes out and checks the rules on attempts as they go."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.out: dict[str, str] = {}  # call: server
        self.sent: dict[str, int] = {}
        self.standing: dict[str, str] = {}
        self.not_before: dict[str, float] = {}
        self.drains, self.slow = set[str](), set[str]()
        self.waiting: dict[str, str] = {}  # in the outbox of a connection that is read slowly
        self.gates: dict[str, m.WriteGate] = {}

    def set_up(
        self, server: str, epoch: int, request: m.SetUp, remaining_ms: float, gate: m.WriteGate
    ) -> None:
        now_ms = self.clock.now_ms()
        assert gate.may_write(), "handed over though it must not begin"
        if server in self.slow:
            self.gates[request.id] = gate
        assert request.id not in self.out and request.id not in self.waiting, "two attempts out"
        assert server not in self.drains, "a set-up after its server's drain was told"
        assert now_ms >= self.not_before.get(request.id, 0.0), "sent again before its release"
        assert now_ms + remaining_ms <= request.expires_ms
        (self.waiting if server in self.slow else self.out)[request.id] = server
        self.sent[request.id] = self.sent.get(request.id, 0) + 1
        assert self.sent[request.id] <= SETTINGS.max_attempts

    def ended(self, call: str, waits: bool) -> None:
        if self.out.pop(call, None) is not None and waits:
            self.not_before[call] = self.clock.now_ms() + RELEASE_MS

    def release(self, server: str, call_id: str, cause: int) -> None:
        assert call_id not in self.waiting, "its set-up would be read just before"
        if self.standing.get(call_id) == server:
            del self.standing[call_id]
        elif self.out.get(call_id) == server:
            self.ended(call_id, True)

    def withdraw(self, server: str, call_id: str = "") -> set[str]:
        found = {call for call, at in self.waiting.items() if at == server and call_id in ("", call)}
        for call in found:
            del self.waiting[call], self.gates[call]
        return found

    def read(self, server: str) -> None:
        """The outbox empties."""
        self.slow.discard(server)
        for call in [call for call, at in self.waiting.items() if at == server]:
            assert server not in self.drains, "a set-up written after its server's drain was told"
            del self.waiting[call]
            gate = self.gates.pop(call)
            if gate.may_write():
                self.out[call] = server
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
        self.links: dict[str, bool] = dict.fromkeys(SERVERS, False)
        self.callers: list[FakeCaller] = []
        self.asked: dict[str, m.SetUp] = {}
        self.at: dict[str, FakeCaller] = {}
        self.left: set[str] = set()  # given up by their callers: nothing is owed
        self.version = 1
        self.put(
            m.ServerListUpdate(
                1,
                True,
                tuple(
                    m.LocatedServer(listed(server, place), f"127.0.0.1:{place + 1}")
                    for place, server in enumerate(SERVERS)
                ),
            )
        )

    def put(self, event: m.Event) -> None:
        self.planner.inbox.put(event)
        self.planner.step()

    def caller(self, outlived: bool) -> FakeCaller:
        self.callers.append(FakeCaller(outlived))
        return self.callers[-1]

    def ask(self, call: str, caller: FakeCaller) -> None:
        self.at[call] = caller
        self.put(m.SetUpReceived(self.asked[call], caller))

    def words(self, call: str) -> list[list[m.CallerMessage]]:
        final = (m.Answered, m.Refused, m.Failed)
        return [[w for w in c.heard if w.id == call and isinstance(w, final)] for c in self.callers]

    # -- steps ----------------------------------------------------------------------------------------
    @rule(
        target=calls,
        outlived=st.booleans(),
        kind=st.sampled_from(["usual", "dear", "what"]),
        left_ms=st.integers(1, 4000),
        place=st.integers(-1, 2),
    )
    def set_up(self, outlived: bool, kind: str, left_ms: int, place: int) -> Any:
        call = f"{len(self.asked) + 1:016x}"
        self.asked[call] = m.SetUp(call, kind, self.clock.now_ms() + left_ms, f"n{call}", "sdp", place)
        self.ask(call, self.caller(outlived))
        return multiple(call)

    @rule(call=calls)
    def repeat_on_its_connection(self, call: str) -> None:
        if self.at[call].open and not any(self.words(call)) and call not in self.left:
            before = self.servers.sent.get(call, 0)
            self.put(m.SetUpReceived(self.asked[call], self.at[call]))
            assert self.servers.sent.get(call, 0) == before

    @rule(call=calls)
    def connection_lost(self, call: str) -> None:
        caller = self.at[call]
        if caller.open:
            caller.open = False
            if not caller.calls_outlive_connection and not any(self.words(call)):
                self.left.add(call)
            self.put(m.CallerDisconnected(caller))

    @rule(call=calls)
    def come_back(self, call: str) -> None:
        caller = self.at[call]
        if (
            caller.calls_outlive_connection
            and not any(self.words(call))
            and call not in self.left
            and (self.clock.now_ms() < self.asked[call].expires_ms)
        ):
            before = self.servers.sent.get(call, 0)
            self.ask(call, self.caller(True))
            assert self.servers.sent.get(call, 0) == before, "an attempt for coming back"

    @rule(call=calls)
    def give_up(self, call: str) -> None:
        if not any(self.words(call)):
            self.left.add(call)
        self.put(m.CallerReleased(call, m.CAUSE_NORMAL, self.at[call]))
        assert call not in self.servers.out

    @rule(server=st.sampled_from(SERVERS))
    def link_changes(self, server: str) -> None:
        self.links[server] = up = not self.links[server]
        if up:
            self.epochs[server] = self.epochs.get(server, 0) + 1
            self.put(m.LinkUp(server, self.epochs[server]))
            return
        self.servers.read(server)  # as far as anybody can tell
        for call in [c for c, at in self.servers.out.items() if at == server]:
            self.servers.ended(call, True)
        self.put(m.LinkDown(server, self.epochs[server]))

    @rule(server=st.sampled_from(SERVERS))
    def reads_slowly_or_again(self, server: str) -> None:
        if server in self.servers.slow:
            self.servers.read(server)
        elif self.links[server]:
            self.servers.slow.add(server)

    @rule(server=st.sampled_from(SERVERS))
    def drains_or_is_back(self, server: str) -> None:
        drains = server not in self.servers.drains
        (self.servers.drains.add if drains else self.servers.drains.discard)(server)
        self.version += 1
        place = SERVERS.index(server)
        standing = api.ServerStatus.DRAINING if drains else api.ServerStatus.ACTIVE
        self.put(
            m.ServerListUpdate(
                self.version,
                False,
                (m.LocatedServer(listed(server, place, standing), f"127.0.0.1:{place + 1}"),),
            )
        )

    @rule(server=st.sampled_from(SERVERS), refused=st.booleans())
    def connect_fails(self, server: str, refused: bool) -> None:
        if not self.links[server]:
            self.put(m.LinkDown(server, None, refused))
            if refused:
                self.servers.standing = {c: s for c, s in self.servers.standing.items() if s != server}

    @rule(call=calls)
    def server_answers(self, call: str) -> None:
        if (server := self.servers.out.pop(call, None)) is not None:
            self.servers.standing[call] = server
            self.put(m.ServerAnswered(server, call, f"of {call}", None))

    @rule(call=calls, server=st.sampled_from(SERVERS))
    def answer_out_of_turn(self, call: str, server: str) -> None:
        if call not in self.servers.out and call not in self.servers.standing:
            before = self.words(call)
            self.put(m.ServerAnswered(server, call, "late", None))
            assert self.words(call) == before

    @rule(call=calls, cause=st.sampled_from([17, 34, 41, 47, 102, 16]))
    def server_releases(self, call: str, cause: int) -> None:
        server = self.servers.out.get(call) or self.servers.standing.pop(call, None)
        if server is not None:
            self.servers.ended(call, cause == m.CAUSE_INTERRUPTED)
            result = {34: api.Result.FULL, 41: api.Result.RESET, 102: api.Result.NOT_SENT}.get(
                cause, api.Result.ERROR
            )
            self.put(m.ServerReleased(server, call, cause, result, api.RefusalReason.UNSPECIFIED, None))

    @rule(by_ms=st.sampled_from([1.0, 25.0, 199.0, 200.0, 1000.0]))
    def time_passes(self, by_ms: float) -> None:
        while by_ms > 0:
            self.clock.advance(min(25.0, by_ms))
            by_ms -= 25.0
            self.planner.step()

    # -- what always holds ----------------------------------------------------------------------------
    @invariant()
    def one_outcome_each(self) -> None:
        for call, request in self.asked.items():
            heard = self.words(call)
            assert all(len(words) <= 1 for words in heard), "two outcomes on one connection"
            kinds = {word for words in heard for word in words}
            assert len(kinds) <= 1, "two outcomes that differ"
            for word in kinds:
                assert not isinstance(word, m.Answered) or word.description == f"of {call}"
            late = self.clock.now_ms() > request.expires_ms - DEADLINE_MARGIN_MS + 25.0
            if late and self.at[call].open and call not in self.left:
                assert kinds, "its caller's time is over and it heard nothing"

    def teardown(self) -> None:
        self.time_passes(9000.0)
        assert self.planner.calls.open_count == 0
        assert not self.servers.out, "an attempt is left out"
        for call in self.servers.standing:
            assert any(self.words(call)), "a call stands for nobody"


TestCalls = Calls.TestCase
TestCalls.settings = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=40, database=None
)


def test_a_call_answered_while_its_caller_is_away_does_not_stay_at_a_server_out_of_reach() -> None:
    """Found with another seed: the answer came after the caller's connection broke, then the link broke."""
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
    """Found with another seed: with 16 ms left the attempt that is taken back ends as a refusal."""
    calls = Calls()
    calls.link_changes("s1")
    calls.link_changes("s0")
    calls.reads_slowly_or_again("s1")
    call = "0000000000000001"
    calls.set_up(False, "usual", 16, 1)
    calls.answer_out_of_turn(call, "s1")
