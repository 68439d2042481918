"""Floods of silent connections that never close: list, links and callers keep their file descriptors."""

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

from capershelf.core import model
from capershelf.core.clock import ManualClock, SystemClock
from capershelf.fronts import listener as listener_module
from capershelf.fronts import session as session_module
from capershelf.fronts.session import FrontContext
from capershelf.net.addresses import parse_endpoint
from capershelf.net.framing import Lines
from capershelf.net.links import REPLACEMENT_RETRY_MS, Link, ReplacementSlots
from capershelf.net.vocabulary import SetUpLimits
from capershelf.node import MIN_LINKS, RESERVED_SOCKETS, max_callers, max_links_per_planner
from tests.peers import PATIENCE_S, BookingServer, Peer, until
from tests.rig import settings
from tests.test_reload import BoardStandIn, Program, table

MAX_SESSIONS = 8
PARTIAL_SET_UP = b'{"type":"setup","id":"'


@pytest.fixture
def listener(monkeypatch: pytest.MonkeyPatch) -> Iterator[listener_module.Listener]:
    """A front with few session slots, whose timeouts for silent connections never expire."""
    for name in ("FIRST_MESSAGE_TIMEOUT_MS", "PARTIAL_MESSAGE_TIMEOUT_MS", "IDLE_TIMEOUT_MS"):
        monkeypatch.setattr(session_module, name, 1e9)
    events: queue.SimpleQueue[model.Event] = queue.SimpleQueue()

    def broadcast(event: model.Event) -> int:
        events.put(event)
        return 1

    context = FrontContext(
        SystemClock(),
        SetUpLimits.from_settings(settings()),
        lambda call: events.put,
        broadcast,
        lambda: True,
        False,
    )
    made = listener_module.Listener(
        "127.0.0.1:0", lambda full: None if full else Lines(), MAX_SESSIONS, context
    )
    made.start()
    yield made
    made.stop_accepting()
    made.close_all()


@pytest.mark.parametrize(
    "says", [b"", PARTIAL_SET_UP, b'{"type":"ping","id":"1"}\n'], ids=["silent", "half", "idle"]
)
def test_clients_that_never_disconnect_do_not_exceed_the_session_limit(
    listener: listener_module.Listener, says: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No client closes its end.  A caller with a call keeps its session, and a new caller is admitted."""
    monkeypatch.setattr(listener_module, "EVICTION_BURST", 1e9)
    listener._eviction_tokens = 1e9
    session_counts: list[int] = []
    admit = listener._admit

    def counted(sock: socket.socket, name: str) -> None:
        admit(sock, name)
        session_counts.append(len(listener._sessions))

    monkeypatch.setattr(listener, "_admit", counted)
    address = ("127.0.0.1", listener.port)
    active = Peer(socket.create_connection(address), Lines(), queue.SimpleQueue())
    fields = {"class": "usual", "left": "5000"}
    active.send("setup", "00000000000000a1", fields=fields, sdp="v=0")
    until(lambda: listener._context.pending_set_ups == 1)
    idle = []
    for number in range(6 * MAX_SESSIONS):
        sock = socket.create_connection(address)
        sock.sendall(says)
        until(lambda number=number: len(session_counts) == number + 2)  # type: ignore[misc]
        if says:  # wait until it has been read, so that no message is in flight
            until(
                lambda: all(
                    one.connection.has_partial_message() or not one.awaiting_first_message
                    for one in listener._sessions
                )
            )
        idle.append(sock)
    assert max(session_counts) <= MAX_SESSIONS, "admitted before a slot was free"
    newcomer = Peer(socket.create_connection(address), Lines(), queue.SimpleQueue())
    newcomer.send("setup", "00000000000000a2", fields=fields, sdp="v=0")
    until(lambda: listener._context.pending_set_ups == 2)
    assert not active.closed.is_set()
    for sock in idle:
        sock.close()


def test_a_newcomer_is_admitted_although_the_oldest_silent_clients_have_unread_data(
    listener: listener_module.Listener,
) -> None:
    """Under load their threads have not read it yet; the other silent connections are evicted instead."""
    address = ("127.0.0.1", listener.port)
    idle = []
    for number in range(MAX_SESSIONS):
        idle.append(socket.create_connection(address))
        until(lambda number=number: len(listener._sessions) == number + 1)  # type: ignore[misc]
    oldest = sorted(listener._sessions, key=lambda session: session.last_activity_ms)[
        : listener_module.EVICTION_BATCH
    ]
    for session in oldest:
        session.connection._processing = True
    newcomer = Peer(socket.create_connection(address), Lines(), queue.SimpleQueue())
    newcomer.send("setup", "00000000000000a2", fields={"class": "usual", "left": "5000"}, sdp="v=0")
    until(lambda: listener._context.pending_set_ups == 1 or newcomer.closed.is_set())
    assert not newcomer.closed.is_set() and listener._context.pending_set_ups == 1
    assert all(session in listener._sessions for session in oldest)
    for session in oldest:
        session.connection._processing = False
    for sock in idle:
        sock.close()


def test_a_flood_while_the_board_is_down_leaves_descriptors_for_list_links_and_callers(
    tmp_path: Path,
) -> None:
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
    flood: list[socket.socket] = []
    peak = 0

    def descriptors() -> int:
        return len(os.listdir(f"/proc/{program.process.pid}/fd"))

    try:
        program.wait_for_log("serves on")
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
            flood.append(socket.create_connection(parse_endpoint(listen)))
            flood[-1].sendall(PARTIAL_SET_UP if number % 3 == 0 else b"")
            peak = max(peak, descriptors())
        call(worker, 2)  # on a connection older than the flood
        # A new caller; then the notice board comes back at its old address.
        call(Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue()), 3)
        board = BoardStandIn(board_port)
        assert board.poll() == "3"
        link.disconnect()
        link = server.peer()  # the link is re-established
        call(worker, 4)
        assert max(peak, descriptors()) < limit
        assert program.process.poll() is None
        program.process.send_signal(signal.SIGTERM)
        for number in (1, 2, 3, 4):  # a call may be released on any connection
            worker.send("release", f"{number:016x}", cause=16)
        assert program.process.wait(PATIENCE_S) == 0
    finally:
        program.process.kill()
        program.process.wait()
        for sock in flood:
            sock.close()


def descriptor_shares(sockets: int, planners: int = 1) -> tuple[int, int]:
    from capershelf.config import read

    config = read(table("") | {"limits": {"sockets": sockets, "memory_mb": 4096}, "planners": planners}, {})
    return max_callers(config), max_links_per_planner(config) * planners


@pytest.mark.parametrize("planners", [1, 4])
@pytest.mark.parametrize("sockets", [75, 96, 128, 256, 512, 1024, 65536])
def test_descriptor_shares_of_callers_links_and_the_rest_stay_within_the_limit(
    sockets: int, planners: int
) -> None:
    callers, links = descriptor_shares(sockets, planners)
    assert (
        callers + links + RESERVED_SOCKETS <= sockets
        or sockets < RESERVED_SOCKETS + (MIN_LINKS + 1) * planners
    )
    assert callers <= sockets // 3 and links >= MIN_LINKS


def session_on(near: socket.socket) -> session_module.Session:
    context = FrontContext(
        SystemClock(),
        SetUpLimits.from_settings(settings()),
        lambda call: lambda event: None,
        lambda event: 1,
        lambda: True,
        False,
    )
    context.on_session_ended = lambda session: None
    return session_module.Session(near, Lines(), "127.0.0.1:1", context)


def test_a_set_up_arriving_as_an_idle_connection_closes_is_kept_or_crosses_the_close() -> None:
    """The session's thread is delayed, so the data in the socket is still unread."""
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
    assert not session.close_if_idle("full", at_once=True), "it would be closed with unread data"
    assert session.connection.step(True) and not session.is_idle()
    assert not session.close_if_idle("full", at_once=True), "a set-up is open on it"
    near, far = socket.socketpair()
    session = session_on(near)
    assert session.close_if_idle("full", at_once=True)
    assert far.recv(1) == b"", "its client sees the close and resends what crossed it"


class NoPoller:
    """A poller that ignores every request."""

    def call_soon(self, what: Any) -> None: ...
    def call_at(self, at_ms: float, what: Any) -> None: ...
    def register(self, sock: socket.socket, mask: int, came: Any) -> None: ...
    def unregister(self, sock: socket.socket) -> None: ...


def test_links_that_fall_silent_together_are_replaced_a_few_at_a_time() -> None:
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
        assert links[3]._on_timeout() and links[3]._connect_attempt is not None, "a slot is free again"
        for link in links:
            link._shut_down()
        assert replacement_slots._available == 2
