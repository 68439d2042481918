"""A flood of clients that say nothing and never hang up: list, links and callers keep their descriptors."""

from __future__ import annotations

import json
import math
import os
import queue
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from capershelf.core import model as m
from capershelf.core.clock import ManualClock, SystemClock
from capershelf.fronts import listener as door
from capershelf.fronts import session as front
from capershelf.fronts.session import House
from capershelf.net.addresses import parse_endpoint
from capershelf.net.framing import Lines
from capershelf.net.links import REPLACEMENT_RETRY_MS, Link, ReplacementSlots
from capershelf.net.vocabulary import SetUpLimits
from capershelf.node import LEAST_LINKS, OWN_SOCKETS, callers_share, links_share
from tests.peers import PATIENCE_S, BookingServer, Peer, until
from tests.rig import settings
from tests.test_reload import BoardStandIn, Program, table

MOST = 8
HALF = b'{"type":"setup","id":"'


@pytest.fixture
def listener(monkeypatch: pytest.MonkeyPatch) -> Iterator[door.Listener]:
    """A front with few places, whose own times for the silent are far off."""
    for name in ("FIRST_MS", "HALF_MS", "IDLE_MS"):
        monkeypatch.setattr(front, name, 1e9)
    events: queue.SimpleQueue[m.Event] = queue.SimpleQueue()

    def every(event: m.Event) -> int:
        events.put(event)
        return 1

    house = House(
        SystemClock(),
        SetUpLimits.from_settings(settings()),
        lambda call: events.put,
        every,
        lambda: True,
        False,
    )
    made = door.Listener("127.0.0.1:0", lambda full: None if full else Lines(), MOST, house)
    made.start()
    yield made
    made.stop_accepting()
    made.close_all()


@pytest.mark.parametrize("says", [b"", HALF, b'{"type":"ping","id":"1"}\n'], ids=["silent", "half", "idle"])
def test_clients_that_never_hang_up_hold_no_more_places_than_there_are(
    listener: door.Listener, says: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """None of them ever closes its end; a caller with a call keeps its place, a new one finds one."""
    monkeypatch.setattr(door, "MOST_ROOM", 1e9)
    listener._may = 1e9
    held: list[int] = []
    admit = listener._admit

    def counted(sock: socket.socket, name: str) -> None:
        admit(sock, name)
        held.append(len(listener._sessions))

    monkeypatch.setattr(listener, "_admit", counted)
    address = ("127.0.0.1", listener.port)
    working = Peer(socket.create_connection(address), Lines(), queue.SimpleQueue())
    fields = {"class": "usual", "left": "5000"}
    working.send("setup", "00000000000000a1", fields=fields, sdp="v=0")
    until(lambda: listener._house.owed == 1)
    idle = []
    for number in range(6 * MOST):
        sock = socket.create_connection(address)
        sock.sendall(says)
        until(lambda number=number: len(held) == number + 2)  # type: ignore[misc]
        if says:  # it has been read: no message of theirs is on its way
            until(
                lambda: all(
                    one.connection.has_partial_message() or not one.silent for one in listener._sessions
                )
            )
        idle.append(sock)
    assert max(held) <= MOST, "let in before a place was free"
    late = Peer(socket.create_connection(address), Lines(), queue.SimpleQueue())
    late.send("setup", "00000000000000a2", fields=fields, sdp="v=0")
    until(lambda: listener._house.owed == 2)
    assert not working.closed.is_set()
    for sock in idle:
        sock.close()


def test_a_newcomer_finds_room_though_of_the_oldest_silent_clients_something_lies_unread(
    listener: door.Listener,
) -> None:
    """Their threads have not come to reading it, as under load; the others that say nothing go."""
    address = ("127.0.0.1", listener.port)
    idle = []
    for number in range(MOST):
        idle.append(socket.create_connection(address))
        until(lambda number=number: len(listener._sessions) == number + 1)  # type: ignore[misc]
    oldest = sorted(listener._sessions, key=lambda session: session.at_ms)[: door.ROOM]
    for session in oldest:
        session.connection._processing = True
    late = Peer(socket.create_connection(address), Lines(), queue.SimpleQueue())
    late.send("setup", "00000000000000a2", fields={"class": "usual", "left": "5000"}, sdp="v=0")
    until(lambda: listener._house.owed == 1 or late.closed.is_set())
    assert not late.closed.is_set() and listener._house.owed == 1
    assert all(session in listener._sessions for session in oldest)
    for session in oldest:
        session.connection._processing = False
    for sock in idle:
        sock.close()


def test_a_flood_while_the_board_is_down_leaves_the_list_the_links_and_callers_theirs(tmp_path: Path) -> None:
    limit, server = 96, BookingServer(False)
    with socket.create_server(("127.0.0.1", 0)) as free, socket.create_server(("127.0.0.1", 0)) as other:
        listen, board_port = f"127.0.0.1:{free.getsockname()[1]}", other.getsockname()[1]
    target = {"uid": "s0", "endpoint": server.endpoint, "pod_group": 0, "state": "up", "boot_ms": 0}
    config = table(f"127.0.0.1:{board_port}") | {
        "listen": listen,
        "limits": {"sockets": limit, "memory_mb": 96},
        "known": {"rev": 3, "notices": [{"rev": 3, "pool": {"rev": 3, "all": True, "targets": [target]}}]},
    }
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    program = Program(path, sockets=limit)
    crowd: list[socket.socket] = []
    most = 0

    def descriptors() -> int:
        return len(os.listdir(f"/proc/{program.process.pid}/fd"))

    try:
        program.says("serves on")
        link = server.peer()
        worker = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())

        def call(caller: Peer, number: int) -> None:
            kind = config["settings"]["categories"][0]["name"]
            fields = {"class": kind, "left": "9000", "key": f"k{number}", "extras": "dest:0"}
            caller.send("setup", f"{number:016x}", fields=fields, sdp="sdp")
            assert server.receive()["type"] == "setup"
            link.send("answer", f"{number:016x}", sdp="v=0")
            assert caller.receive()["type"] == "answer"

        call(worker, 1)
        for number in range(3 * limit):
            crowd.append(socket.create_connection(parse_endpoint(listen)))
            crowd[-1].sendall(HALF if number % 3 == 0 else b"")
            most = max(most, descriptors())
        call(worker, 2)  # a caller from before
        # A new one, and the list: it is back at the address where it was.
        call(Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue()), 3)
        board = BoardStandIn(board_port)
        assert board.poll() == "3"
        link.disconnect()
        link = server.peer()  # and a link is made anew
        call(worker, 4)
        assert max(most, descriptors()) < limit
        assert program.process.poll() is None
        program.process.send_signal(signal.SIGTERM)
        for number in (1, 2, 3, 4):  # a call may be ended on any connection
            worker.send("release", f"{number:016x}", cause=16)
        assert program.process.wait(PATIENCE_S) == 0
    finally:
        program.process.kill()
        program.process.wait()
        for sock in crowd:
            sock.close()


def share(sockets: int, planners: int = 1) -> tuple[int, int]:
    from capershelf.config import read

    config = read(table("") | {"limits": {"sockets": sockets, "memory_mb": 4096}, "planners": planners}, {})
    return callers_share(config), links_share(config) * planners


@pytest.mark.parametrize("planners", [1, 4])
@pytest.mark.parametrize("sockets", [75, 96, 128, 256, 512, 1024, 65536])
def test_what_callers_links_and_the_rest_may_hold_is_never_more_than_the_limit(
    sockets: int, planners: int
) -> None:
    callers, links = share(sockets, planners)
    assert callers + links + OWN_SOCKETS <= sockets or sockets < OWN_SOCKETS + (LEAST_LINKS + 1) * planners
    assert callers <= sockets // 3 and links >= LEAST_LINKS


def session_on(near: socket.socket) -> front.Session:
    house = House(
        SystemClock(),
        SetUpLimits.from_settings(settings()),
        lambda call: lambda event: None,
        lambda event: 1,
        lambda: True,
        False,
    )
    house.ended = lambda session: None
    return front.Session(near, Lines(), "127.0.0.1:1", house)


def test_a_set_up_in_the_moment_of_an_idle_connections_close_is_kept_or_crosses_the_close() -> None:
    """Its session is held up: what lies in the socket is not read yet."""
    line = (
        json.dumps(
            {
                "type": "setup",
                "id": "00000000000000a1",
                "sdp": "v=0",
                "fields": {"class": "usual", "left": "5000"},
            }
        ).encode()
        + b"\n"
    )
    near, far = socket.socketpair()
    session = session_on(near)
    far.sendall(line)
    assert not session.retire("full", at_once=True), "it would be closed on unread"
    assert session.connection.step(True) and not session.spare()
    assert not session.retire("full", at_once=True), "a set-up is open on it"
    near, far = socket.socketpair()
    session = session_on(near)
    assert session.retire("full", at_once=True)
    assert far.recv(1) == b"", "its client sees the close, and sends what crosses it once more"


class NoPoller:
    """Notes what it is told to do, and does none of it."""

    def call_soon(self, what: Any) -> None: ...
    def call_at(self, at_ms: float, what: Any) -> None: ...
    def register(self, sock: socket.socket, mask: int, came: Any) -> None: ...
    def unregister(self, sock: socket.socket) -> None: ...


def test_links_that_fall_silent_together_are_replaced_few_at_a_time() -> None:
    clock, replacement_slots = ManualClock(), ReplacementSlots(2)
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = "{}:{}".format(*server.getsockname())
        links = [
            Link(
                f"s{n}",
                address,
                clock,
                500.0,
                lambda event: None,
                NoPoller(),  # type: ignore[arg-type]
                replacement_slots=replacement_slots,
            )
            for n in range(4)
        ]
        for link in links:
            link._heartbeat_gap_ms = 500.0
            assert link._on_timeout()
        assert [link._connect_attempt is not None for link in links] == [True, True, False, False]
        assert links[2]._read_deadline(math.inf) >= clock.now_ms() + REPLACEMENT_RETRY_MS
        links[0]._on_connect_result(None, ConnectionRefusedError())
        assert links[3]._on_timeout() and links[3]._connect_attempt is not None, "a place is free again"
        for link in links:
            link._shut_down()
        assert replacement_slots._available == 2
