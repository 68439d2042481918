"""What a stop, a drain or a slow reader must not lose: on sockets, with no thread's luck in it."""

from __future__ import annotations

import json
import math
import queue
import signal
import socket
import threading
from pathlib import Path
from typing import Any

import pytest

from capershelf import interface as api
from capershelf.core import model as m
from capershelf.core.clock import ManualClock, SystemClock
from capershelf.core.planner import Planner
from capershelf.fronts.listener import Listener
from capershelf.fronts.session import FrontContext
from capershelf.net.addresses import parse_endpoint
from capershelf.net.connection import Connection, start_thread
from capershelf.net.framing import Lines
from capershelf.net.vocabulary import Terms
from tests.peers import PATIENCE_S, BookingServer, Peer, until
from tests.rig import listed, settings
from tests.test_planner_states import FakeCaller, FakeServers
from tests.test_reload import Program, table

SETTINGS = settings(release_ms=200.0)


def planner_with(
    standing: api.ServerStatus = api.ServerStatus.ACTIVE,
) -> tuple[Planner, FakeServers, ManualClock]:
    clock = ManualClock()
    planner = Planner(SETTINGS, 1, clock, 500.0)
    planner.servers = servers = FakeServers(clock)
    planner.tell(news(1, "s0", standing))
    planner.tell(news(2, "s1", api.ServerStatus.ACTIVE))
    for server in ("s0", "s1"):
        planner.inbox.put(m.LinkUp(server, 1))
    go_on(planner)
    return planner, servers, clock


def news(version: int, server: str, standing: api.ServerStatus) -> m.ServerListUpdate:
    place = int(server[1:])
    return m.ServerListUpdate(
        version, False, (m.LocatedServer(listed(server, place, standing), f"127.0.0.1:{place + 1}"),)
    )


def go_on(planner: Planner) -> None:
    while not planner.inbox.empty():
        planner.step()


def request(number: int, left_ms: float = 5000.0, now_ms: float = 1_000_000.0) -> m.SetUp:
    return m.SetUp(f"{number:016x}", "usual", now_ms + left_ms, f"n{number}", "sdp", 0)


def test_news_of_a_drain_goes_before_the_set_ups_that_wait_for_a_late_planner() -> None:
    planner, servers, _ = planner_with()
    for number in range(1, 4):
        planner.inbox.put(m.SetUpReceived(request(number), FakeCaller(False)))
    servers.drains.add("s0")  # from here on the stand-in takes a set-up there for a broken rule
    planner.tell(news(3, "s0", api.ServerStatus.DRAINING))
    go_on(planner)
    assert set(servers.out.values()) == {"s1"}


def test_a_set_up_that_waits_for_its_link_does_not_go_to_a_server_that_drains_meanwhile() -> None:
    planner, servers, _ = planner_with()
    planner.inbox.put(m.LinkDown("s0", 1))
    planner.inbox.put(m.SetUpReceived(request(1), FakeCaller(False)))
    go_on(planner)
    assert not servers.out
    servers.drains.add("s0")
    planner.tell(news(3, "s0", api.ServerStatus.DRAINING))
    planner.inbox.put(m.LinkUp("s0", 2))
    go_on(planner)
    assert list(servers.out.values()) == ["s1"]


def test_a_planner_told_to_stop_waits_for_a_set_up_that_is_on_its_way_to_it() -> None:
    planner, _, clock = planner_with()
    owed, caller = 1, FakeCaller(False)
    planner.owed = lambda: owed
    planner.inbox.put(m.Stop(clock.now_ms() + 9000.0, clock.now_ms() + 3000.0))
    go_on(planner)
    assert not planner.finished()
    planner.inbox.put(m.SetUpReceived(request(1), caller))
    go_on(planner)
    planner.inbox.put(
        m.ServerReleased("s0", request(1).id, 17, api.Result.ERROR, api.RefusalReason.NUMBER_BUSY, None)
    )
    go_on(planner)
    assert [type(word) for word in caller.heard] == [m.Failed]
    owed = 0
    assert planner.finished()


def test_whoever_still_waits_is_given_an_outcome_before_the_platform_kills() -> None:
    planner, _, clock = planner_with()
    caller = FakeCaller(False)
    planner.inbox.put(m.SetUpReceived(request(1), caller))
    planner.inbox.put(m.Stop(clock.now_ms() + 9000.0, clock.now_ms() + 300.0))
    go_on(planner)
    clock.advance(299.0)
    go_on(planner)
    assert not caller.heard and not planner.finished()
    clock.advance(1.0)
    go_on(planner)
    assert caller.heard == [m.Refused(request(1).id)] and planner.finished()


class Door:
    """A listener whose accepting thread has not come to it yet."""

    def __init__(self) -> None:
        self.put = queue.SimpleQueue[m.Event]()
        self.house = FrontContext(
            SystemClock(), Terms.of(SETTINGS), lambda call: self.put.put, self.every, lambda: True, False
        )
        self.listener = Listener("127.0.0.1:0", lambda full: Lines(), 10, self.house)

    def every(self, event: m.Event) -> int:
        self.put.put(event)
        return 1

    def caller(self) -> Peer:
        sock = socket.create_connection(("127.0.0.1", self.listener.port))
        return Peer(sock, Lines(), queue.SimpleQueue())

    def set_up(self, caller: Peer, call: str) -> None:
        fields = {"class": "usual", "left": "5000"}
        caller.say("setup", call, fields=fields, sdp="v=0")


def test_a_connection_that_only_the_machine_has_accepted_is_still_answered() -> None:
    door = Door()
    caller = door.caller()
    door.set_up(caller, "00000000000000a1")
    door.house.close()
    door.listener.stop_accepting()
    door.listener.close_all(door.house.clock.now_ms() + 1000.0 * PATIENCE_S)
    assert caller.hear() == {"type": "release", "id": "00000000000000a1", "fields": {}, "cause": 34}
    assert caller.closed.wait(PATIENCE_S)


def test_a_caller_that_is_just_being_let_in_at_the_close_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    door, inside, on = Door(), threading.Event(), threading.Event()
    admit = door.listener._admit

    def held(sock: socket.socket, name: str) -> None:
        inside.set()
        assert on.wait(PATIENCE_S)
        admit(sock, name)

    monkeypatch.setattr(door.listener, "_admit", held)
    door.listener.start()
    caller = door.caller()
    door.set_up(caller, "00000000000000a1")
    assert inside.wait(PATIENCE_S)
    door.house.close()
    door.listener.stop_accepting()
    over = start_thread(
        lambda: door.listener.close_all(door.house.clock.now_ms() + 1000.0 * PATIENCE_S), "close"
    )
    until(lambda: door.listener._closing)
    assert over.is_alive(), "the accepting thread still has one in hand"
    on.set()
    assert caller.hear() == {"type": "release", "id": "00000000000000a1", "fields": {}, "cause": 34}
    assert caller.closed.wait(PATIENCE_S)


def test_a_set_up_taken_is_owed_until_its_outcome_and_none_is_taken_after_the_close() -> None:
    door = Door()
    door.listener.start()
    caller = door.caller()
    door.set_up(caller, "00000000000000a1")
    while not isinstance(came := door.put.get(timeout=PATIENCE_S), m.SetUpReceived):
        pass
    door.house.close()
    assert door.house.pending_set_ups == 1
    door.set_up(caller, "00000000000000a2")
    assert caller.hear()["id"] == "00000000000000a2"
    came.caller.notify(m.Refused(came.request.id))
    assert isinstance(door.put.get(timeout=PATIENCE_S), m.InboxBarrier), (
        "the planner that waits for it is woken"
    )
    assert door.house.pending_set_ups == 0
    door.listener.stop_accepting()
    door.listener.close_all()


def slow_pair() -> tuple[Connection, socket.socket, list[str]]:
    """A connection whose peer does not read, filled until messages wait in its outbox."""
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    connection = Connection(near, Lines(), lambda line: None, lambda: None, "slow", SystemClock(), math.inf)
    connection.start()
    said: list[str] = []
    while connection.written():
        said.append(json.dumps({"number": len(said), "filling": "x" * 3000}))
        assert connection.post(said[-1].encode())
    return connection, far, said


def lines_of(far: socket.socket) -> list[Any]:
    data = b""
    while more := far.recv(65536):
        data += more
    return data.decode().split("\n")


def test_a_set_up_in_an_outbox_can_be_taken_back_until_its_first_byte_is_written() -> None:
    connection, far, said = slow_pair()
    for tag in ("a", "b", "c"):
        assert connection.post(tag.encode(), tag)
    assert connection.withdraw("b") == {"b"}
    assert connection.withdraw() == {"a", "c"}
    assert connection.withdraw() == set()
    assert connection.post(b"last")
    connection.finish()
    assert lines_of(far) == [*said, "last", ""]


def read_until_half_written(connection: Connection, far: socket.socket) -> None:
    """Read on the far side until a part of the message of 40,001 bytes under the tag "a" is written."""

    def begun() -> bool:
        data, tag, _ = connection._outbox[0]
        if tag == "a" and len(data) < 40_001:
            return True
        far.recv(1024)
        return False

    until(begun)


def test_one_that_is_half_written_is_broken_off_where_it_is_asked_for_by_name() -> None:
    connection, far, _ = slow_pair()
    assert connection.post(b"y" * 40_000, "a")
    read_until_half_written(connection, far)
    assert connection.withdraw() == set(), "its first byte is out: it may arrive"
    assert connection.withdraw("a") == set()
    assert lines_of(far)[-1] != "", "its rest never arrives"


def test_what_was_told_a_slow_reader_is_written_before_the_connection_ends() -> None:
    connection, far, said = slow_pair()
    connection.finish()
    assert not connection.post(b"too late")
    assert lines_of(far) == [*said, ""]


def test_a_process_that_stood_still_sends_nothing_before_it_knows_what_the_list_has_told() -> None:
    planner, servers, clock = planner_with()
    fresh = False
    planner.list_gate.fresh = lambda: fresh
    planner.inbox.put(m.SetUpReceived(request(1), FakeCaller(False)))
    go_on(planner)
    assert not servers.out
    servers.drains.add("s0")  # told while the process stood still, and read only now
    planner.tell(news(3, "s0", api.ServerStatus.DRAINING))
    fresh = True
    clock.advance(5.0)
    go_on(planner)
    assert list(servers.out.values()) == ["s1"]


def test_news_that_comes_while_a_set_up_is_on_its_way_out_goes_before_it() -> None:
    planner, servers, clock = planner_with()
    servers.drains.add("s0")

    def fresh() -> bool:  # the registry's thread tells it at this very moment
        if len(told) < 1:
            told.append(1)
            planner.tell(news(3, "s0", api.ServerStatus.DRAINING))
        return True

    told: list[int] = []
    asked: list[int] = []

    def counted() -> bool:
        asked.append(1)
        return fresh()

    planner.list_gate.fresh = counted
    for number in range(1, 9):  # in one event: the last of them finds seven others that wait
        planner.inbox.put(m.SetUpReceived(request(number), FakeCaller(False)))
    planner.step()
    assert not servers.out
    for _ in range(8):
        go_on(planner)
        clock.advance(5.0)
    assert set(servers.out.values()) == {"s1"} and len(servers.out) == 8
    assert len(asked) < 40, "a round without end between those that wait"


def test_a_list_that_stays_away_holds_set_ups_for_a_moment_only_and_not_each_of_them() -> None:
    planner, servers, clock = planner_with()
    planner.list_gate.fresh = lambda: False
    planner.inbox.put(m.SetUpReceived(request(1), FakeCaller(False)))
    go_on(planner)
    for _ in range(61):
        clock.advance(5.0)
        go_on(planner)
    assert len(servers.out) == 1
    planner.inbox.put(m.SetUpReceived(request(2), FakeCaller(False)))
    go_on(planner)
    assert len(servers.out) == 2


def test_calls_go_down_with_the_process_that_the_list_says_was_replaced_and_no_others() -> None:
    planner, servers, clock = planner_with()
    callers = [FakeCaller(False), FakeCaller(False)]
    for number, caller in enumerate(callers, 1):
        planner.inbox.put(m.SetUpReceived(request(number), caller))
        go_on(planner)
        assert servers.out[request(number).id] == "s0"
        planner.inbox.put(m.ServerAnswered("s0", request(number).id, "sdp", None))
        go_on(planner)
        clock.advance(1000.0)
    # Its machine was cut off and is back: no connect was refused, and the new process knows of neither.
    again = m.LocatedServer(listed("s0", 0, api.ServerStatus.ACTIVE, 1_000_500.0), "127.0.0.1:1")
    planner.tell(m.ServerListUpdate(3, False, (again,)))
    go_on(planner)
    assert callers[0].heard[1:] == [m.Ended(request(1).id, m.CAUSE_INTERRUPTED)]
    assert not callers[1].heard[1:]


def test_every_call_taken_ends_once_where_a_process_is_told_to_stop(tmp_path: Path) -> None:
    """One call is out, one waits for its release again and again, one for a connection, one stands, one comes
    after the signal."""
    silent, resets = BookingServer(False), BookingServer(False)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    never = socket.create_server(("127.0.0.1", 0), backlog=0)  # once it is full, no connection comes up
    fillers = []
    for _ in range(4):
        fillers.append(socket.socket())
        fillers[-1].setblocking(False)
        fillers[-1].connect_ex(never.getsockname())
    endpoints = [silent.endpoint, resets.endpoint, "{}:{}".format(*never.getsockname())]
    targets = [
        {"uid": f"s{n}", "endpoint": endpoint, "pod_group": n, "state": "up", "boot_ms": 0}
        for n, endpoint in enumerate(endpoints)
    ]
    config = table("") | {
        "listen": listen,
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": True, "targets": targets}}]},
    }
    places = [[0, 1, 2] for _ in config["settings"]["categories"]]
    config["settings"]["family-info"]["pools-by-class"] = places
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    program = Program(path)
    try:
        program.wait_for_log("serves on")
        links = [silent.peer(), resets.peer()]
        caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
        calls = {
            name: f"{number:016x}"
            for number, name in enumerate(("stands", "out", "reset", "connects", "late"), 0xA0)
        }
        caller.set_up(calls["stands"], extras="dest:1")
        assert resets.hear()["type"] == "setup"
        links[1].say("answer", calls["stands"], sdp="v=0")
        assert caller.hear()["type"] == "answer"

        def reset() -> None:
            while True:
                if (got := resets.got.get())["type"] == "setup":
                    links[1].say("release", got["id"], cause=41)

        threading.Thread(target=reset, daemon=True).start()
        for place, name in enumerate(("out", "reset", "connects")):
            caller.set_up(calls[name], extras=f"dest:{place}")
        assert silent.hear()["type"] == "setup"
        program.process.send_signal(signal.SIGTERM)
        program.wait_for_log("stop signal received")
        caller.set_up(calls["late"], extras="dest:1")
        heard: dict[str, list[str]] = {}
        while sum(map(len, heard.values())) < 4:
            got = caller.hear()
            heard.setdefault(got["id"], []).append(got["type"])
        assert heard == {calls[name]: ["release"] for name in ("out", "reset", "connects", "late")}
        links[1].say("release", calls["stands"], cause=16)  # and what stands is still told its end
        assert caller.hear()["id"] == calls["stands"]
        assert program.process.wait(PATIENCE_S) == 0
        assert caller.closed.wait(PATIENCE_S) and caller.got.empty()
    finally:
        program.process.kill()
        program.process.wait()
        for sock in (never, *fillers):
            sock.close()
