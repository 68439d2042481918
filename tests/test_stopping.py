"""A stop, a drain or a slow reader must not lose messages.  No test depends on thread timing."""

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

from capershelf import interface
from capershelf.core import model
from capershelf.core.clock import ManualClock, SystemClock
from capershelf.core.planner import Planner
from capershelf.fronts.listener import Listener
from capershelf.fronts.session import FrontContext
from capershelf.net.addresses import parse_endpoint
from capershelf.net.connection import Connection, start_thread
from capershelf.net.framing import Lines
from capershelf.net.vocabulary import SetUpLimits
from tests.peers import PATIENCE_S, BookingServer, Peer, until
from tests.rig import listed, settings
from tests.test_planner_states import FakeCaller, FakeServers
from tests.test_reload import Program, table

SETTINGS = settings(release_ms=200.0)


def make_planner(
    status: interface.ServerStatus = interface.ServerStatus.ACTIVE,
) -> tuple[Planner, FakeServers, ManualClock]:
    clock = ManualClock()
    planner = Planner(SETTINGS, 1, clock, 500.0)
    planner.servers = servers = FakeServers(clock)
    planner.submit_update(list_update(1, "s0", status))
    planner.submit_update(list_update(2, "s1", interface.ServerStatus.ACTIVE))
    for server in ("s0", "s1"):
        planner.inbox.put(model.LinkUp(server, 1))
    run_pending(planner)
    return planner, servers, clock


def list_update(version: int, server: str, status: interface.ServerStatus) -> model.ServerListUpdate:
    pool = int(server[1:])
    return model.ServerListUpdate(
        version, False, (model.LocatedServer(listed(server, pool, status), f"127.0.0.1:{pool + 1}"),)
    )


def run_pending(planner: Planner) -> None:
    while not planner.inbox.empty():
        planner.step()


def request(number: int, left_ms: float = 5000.0, now_ms: float = 1_000_000.0) -> model.SetUp:
    return model.SetUp(f"{number:016x}", "usual", now_ms + left_ms, f"n{number}", "sdp", 0)


def test_a_drain_update_is_handled_before_set_ups_queued_in_the_inbox() -> None:
    planner, servers, _ = make_planner()
    for number in range(1, 4):
        planner.inbox.put(model.SetUpReceived(request(number), FakeCaller(False)))
    servers.draining.add("s0")  # from here on FakeServers rejects set-ups to it
    planner.submit_update(list_update(3, "s0", interface.ServerStatus.DRAINING))
    run_pending(planner)
    assert set(servers.in_flight.values()) == {"s1"}


def test_a_set_up_waiting_for_its_link_is_not_sent_to_a_server_that_starts_draining() -> None:
    planner, servers, _ = make_planner()
    planner.inbox.put(model.LinkDown("s0", 1))
    planner.inbox.put(model.SetUpReceived(request(1), FakeCaller(False)))
    run_pending(planner)
    assert not servers.in_flight
    servers.draining.add("s0")
    planner.submit_update(list_update(3, "s0", interface.ServerStatus.DRAINING))
    planner.inbox.put(model.LinkUp("s0", 2))
    run_pending(planner)
    assert list(servers.in_flight.values()) == ["s1"]


def test_a_stopping_planner_waits_for_a_set_up_that_has_not_reached_it_yet() -> None:
    planner, _, clock = make_planner()
    pending, caller = 1, FakeCaller(False)
    planner.pending_set_ups = lambda: pending
    planner.inbox.put(model.Stop(clock.now_ms() + 9000.0, clock.now_ms() + 3000.0))
    run_pending(planner)
    assert not planner.finished()
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    run_pending(planner)
    planner.inbox.put(
        model.ServerReleased(
            "s0", request(1).id, 17, interface.Result.ERROR, interface.RefusalReason.NUMBER_BUSY, None
        )
    )
    run_pending(planner)
    assert [type(word) for word in caller.received] == [model.Failed]
    pending = 0
    assert planner.finished()


def test_open_calls_get_an_outcome_before_the_platform_kills_the_process() -> None:
    planner, _, clock = make_planner()
    caller = FakeCaller(False)
    planner.inbox.put(model.SetUpReceived(request(1), caller))
    planner.inbox.put(model.Stop(clock.now_ms() + 9000.0, clock.now_ms() + 300.0))
    run_pending(planner)
    clock.advance(299.0)
    run_pending(planner)
    assert not caller.received and not planner.finished()
    clock.advance(1.0)
    run_pending(planner)
    assert caller.received == [model.Refused(request(1).id)] and planner.finished()


class ListenerRig:
    """A listener whose accepting thread is not started yet."""

    def __init__(self) -> None:
        self.put = queue.SimpleQueue[model.Event]()
        self.house = FrontContext(
            SystemClock(),
            SetUpLimits.from_settings(SETTINGS),
            lambda call: self.put.put,
            self.every,
            lambda: True,
            False,
        )
        self.listener = Listener("127.0.0.1:0", lambda full: Lines(), 10, self.house)

    def every(self, event: model.Event) -> int:
        self.put.put(event)
        return 1

    def caller(self) -> Peer:
        sock = socket.create_connection(("127.0.0.1", self.listener.port))
        return Peer(sock, Lines(), queue.SimpleQueue())

    def set_up(self, caller: Peer, call: str) -> None:
        fields = {"class": "usual", "left": "5000"}
        caller.send("setup", call, fields=fields, sdp="v=0")


def test_a_connection_accepted_only_by_the_kernel_is_still_answered() -> None:
    rig = ListenerRig()
    caller = rig.caller()
    rig.set_up(caller, "00000000000000a1")
    rig.house.close()
    rig.listener.stop_accepting()
    rig.listener.close_all(rig.house.clock.now_ms() + 1000.0 * PATIENCE_S)
    assert caller.receive() == {"type": "release", "id": "00000000000000a1", "fields": {}, "cause": 34}
    assert caller.closed.wait(PATIENCE_S)


def test_a_caller_being_admitted_during_the_close_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    rig, entered, resume = ListenerRig(), threading.Event(), threading.Event()
    admit = rig.listener._admit

    def delayed_admit(sock: socket.socket, name: str) -> None:
        entered.set()
        assert resume.wait(PATIENCE_S)
        admit(sock, name)

    monkeypatch.setattr(rig.listener, "_admit", delayed_admit)
    rig.listener.start()
    caller = rig.caller()
    rig.set_up(caller, "00000000000000a1")
    assert entered.wait(PATIENCE_S)
    rig.house.close()
    rig.listener.stop_accepting()
    closing = start_thread(
        lambda: rig.listener.close_all(rig.house.clock.now_ms() + 1000.0 * PATIENCE_S), "close"
    )
    until(lambda: rig.listener._closing)
    assert closing.is_alive(), "the accepting thread is still admitting a caller"
    resume.set()
    assert caller.receive() == {"type": "release", "id": "00000000000000a1", "fields": {}, "cause": 34}
    assert caller.closed.wait(PATIENCE_S)


def test_an_accepted_set_up_is_pending_until_its_outcome_and_none_is_accepted_after_the_close() -> None:
    rig = ListenerRig()
    rig.listener.start()
    caller = rig.caller()
    rig.set_up(caller, "00000000000000a1")
    while not isinstance(event := rig.put.get(timeout=PATIENCE_S), model.SetUpReceived):
        pass
    rig.house.close()
    assert rig.house.pending_set_ups == 1
    rig.set_up(caller, "00000000000000a2")
    assert caller.receive()["id"] == "00000000000000a2"
    event.caller.notify(model.Refused(event.request.id))
    assert isinstance(rig.put.get(timeout=PATIENCE_S), model.InboxBarrier), (
        "the planner waiting for the outcome is woken"
    )
    assert rig.house.pending_set_ups == 0
    rig.listener.stop_accepting()
    rig.listener.close_all()


def blocked_connection() -> tuple[Connection, socket.socket, list[str]]:
    """A connection whose peer does not read, filled until messages remain in its write queue."""
    near, far = socket.socketpair()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    connection = Connection(near, Lines(), lambda line: None, lambda: None, "slow", SystemClock(), math.inf)
    connection.start()
    queued: list[str] = []
    while connection.is_flushed():
        queued.append(json.dumps({"number": len(queued), "filling": "x" * 3000}))
        assert connection.send(queued[-1].encode())
    return connection, far, queued


def received_lines(far: socket.socket) -> list[Any]:
    data = b""
    while more := far.recv(65536):
        data += more
    return data.decode().split("\n")


def test_a_queued_set_up_can_be_withdrawn_until_its_first_byte_is_written() -> None:
    connection, far, queued = blocked_connection()
    for tag in ("a", "b", "c"):
        assert connection.send(tag.encode(), tag)
    assert connection.withdraw("b") == {"b"}
    assert connection.withdraw() == {"a", "c"}
    assert connection.withdraw() == set()
    assert connection.send(b"last")
    connection.close_after_flush()
    assert received_lines(far) == [*queued, "last", ""]


def read_until_partly_written(connection: Connection, far: socket.socket) -> None:
    """Read on the far side until the message of 40,001 bytes under the tag "a" is partly written."""

    def begun() -> bool:
        data, tag, _ = connection._write_queue[0]
        if tag == "a" and len(data) < 40_001:
            return True
        far.recv(1024)
        return False

    until(begun)


def test_a_partly_written_message_is_aborted_only_when_withdrawn_by_name() -> None:
    connection, far, _ = blocked_connection()
    assert connection.send(b"y" * 40_000, "a")
    read_until_partly_written(connection, far)
    assert connection.withdraw() == set(), "its first byte is written: it may arrive"
    assert connection.withdraw("a") == set()
    assert received_lines(far)[-1] != "", "the remainder never arrives"


def test_messages_queued_for_a_slow_reader_are_written_before_the_connection_closes() -> None:
    connection, far, queued = blocked_connection()
    connection.close_after_flush()
    assert not connection.send(b"too late")
    assert received_lines(far) == [*queued, ""]


def test_after_a_pause_no_set_up_is_sent_until_the_list_is_up_to_date() -> None:
    planner, servers, clock = make_planner()
    fresh = False
    planner.list_gate.is_fresh = lambda: fresh
    planner.inbox.put(model.SetUpReceived(request(1), FakeCaller(False)))
    run_pending(planner)
    assert not servers.in_flight
    servers.draining.add("s0")  # listed as draining during the pause, read only now
    planner.submit_update(list_update(3, "s0", interface.ServerStatus.DRAINING))
    fresh = True
    clock.advance(5.0)
    run_pending(planner)
    assert list(servers.in_flight.values()) == ["s1"]


def test_an_update_submitted_while_a_set_up_is_being_dispatched_is_handled_first() -> None:
    planner, servers, clock = make_planner()
    servers.draining.add("s0")

    def fresh() -> bool:  # the registry's thread submits an update at this point
        if len(submitted) < 1:
            submitted.append(1)
            planner.submit_update(list_update(3, "s0", interface.ServerStatus.DRAINING))
        return True

    submitted: list[int] = []
    checks: list[int] = []

    def counting_fresh() -> bool:
        checks.append(1)
        return fresh()

    planner.list_gate.is_fresh = counting_fresh
    for number in range(1, 9):  # all queued before the gate opens: the last finds seven others waiting
        planner.inbox.put(model.SetUpReceived(request(number), FakeCaller(False)))
    planner.step()
    assert not servers.in_flight
    for _ in range(8):
        run_pending(planner)
        clock.advance(5.0)
    assert set(servers.in_flight.values()) == {"s1"} and len(servers.in_flight) == 8
    assert len(checks) < 40, "waiting set-ups must not keep rescheduling each other"


def test_an_unavailable_list_holds_set_ups_only_briefly_and_only_once() -> None:
    planner, servers, clock = make_planner()
    planner.list_gate.is_fresh = lambda: False
    planner.inbox.put(model.SetUpReceived(request(1), FakeCaller(False)))
    run_pending(planner)
    for _ in range(61):
        clock.advance(5.0)
        run_pending(planner)
    assert len(servers.in_flight) == 1
    planner.inbox.put(model.SetUpReceived(request(2), FakeCaller(False)))
    run_pending(planner)
    assert len(servers.in_flight) == 2


def test_a_listed_restart_interrupts_only_the_calls_established_before_it() -> None:
    planner, servers, clock = make_planner()
    callers = [FakeCaller(False), FakeCaller(False)]
    for number, caller in enumerate(callers, 1):
        planner.inbox.put(model.SetUpReceived(request(number), caller))
        run_pending(planner)
        assert servers.in_flight[request(number).id] == "s0"
        planner.inbox.put(model.ServerAnswered("s0", request(number).id, "sdp", None))
        run_pending(planner)
        clock.advance(1000.0)
    # The host was cut off and is back: no connect was refused, and the new process knows neither call.
    restarted = model.LocatedServer(
        listed("s0", 0, interface.ServerStatus.ACTIVE, 1_000_500.0), "127.0.0.1:1"
    )
    planner.submit_update(model.ServerListUpdate(3, False, (restarted,)))
    run_pending(planner)
    assert callers[0].received[1:] == [model.Ended(request(1).id, model.CAUSE_INTERRUPTED)]
    assert not callers[1].received[1:]


def test_every_accepted_call_ends_once_when_the_process_is_stopped(tmp_path: Path) -> None:
    """Calls in each state: attempt in flight, waiting for a release gap, for a connection, established,
    and one set up after the signal."""
    silent, resets = BookingServer(False), BookingServer(False)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    # Connects to it hang once its backlog is full.
    unresponsive = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = []
    for _ in range(4):
        fillers.append(socket.socket())
        fillers[-1].setblocking(False)
        fillers[-1].connect_ex(unresponsive.getsockname())
    endpoints = [silent.endpoint, resets.endpoint, "{}:{}".format(*unresponsive.getsockname())]
    targets = [
        {"uid": f"s{n}", "endpoint": endpoint, "pod_group": n, "state": "up", "boot_ms": 0}
        for n, endpoint in enumerate(endpoints)
    ]
    config = table("") | {
        "listen": listen,
        "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": True, "targets": targets}}]},
    }
    pools = [[0, 1, 2] for _ in config["settings"]["categories"]]
    config["settings"]["family-info"]["pools-by-class"] = pools
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    program = Program(path)
    try:
        program.wait_for_log("serves on")
        links = [silent.peer(), resets.peer()]
        caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
        calls = {
            name: f"{number:016x}"
            for number, name in enumerate(("established", "out", "reset", "connects", "late"), 0xA0)
        }
        caller.set_up(calls["established"], extras="dest:1")
        assert resets.receive()["type"] == "setup"
        links[1].send("answer", calls["established"], sdp="v=0")
        assert caller.receive()["type"] == "answer"

        def reset() -> None:
            while True:
                if (got := resets.received.get())["type"] == "setup":
                    links[1].send("release", got["id"], cause=41)

        threading.Thread(target=reset, daemon=True).start()
        for pool, name in enumerate(("out", "reset", "connects")):
            caller.set_up(calls[name], extras=f"dest:{pool}")
        assert silent.receive()["type"] == "setup"
        program.process.send_signal(signal.SIGTERM)
        program.wait_for_log("stop signal received")
        caller.set_up(calls["late"], extras="dest:1")
        outcomes: dict[str, list[str]] = {}
        while sum(map(len, outcomes.values())) < 4:
            got = caller.receive()
            outcomes.setdefault(got["id"], []).append(got["type"])
        assert outcomes == {calls[name]: ["release"] for name in ("out", "reset", "connects", "late")}
        # The end of an established call is still delivered.
        links[1].send("release", calls["established"], cause=16)
        assert caller.receive()["id"] == calls["established"]
        assert program.process.wait(PATIENCE_S) == 0
        assert caller.closed.wait(PATIENCE_S) and caller.received.empty()
    finally:
        program.process.kill()
        program.process.wait()
        for sock in (unresponsive, *fillers):
            sock.close()
