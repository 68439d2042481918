"""Test callers and booking servers over either transport, and a node on a manual clock."""

from __future__ import annotations

import json
import queue
import socket
import threading
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from capershelf import config as configuration
from capershelf.core import model as m
from capershelf.core.clock import ManualClock, SystemClock
from capershelf.net.connection import Connection
from capershelf.net.framing import Framing, Lines
from capershelf.net.websocket import WebSocket
from capershelf.node import Node

PATIENCE_S = 20.0  # a test that waits this long has hung; no result depends on shorter times
OPERATOR = Path(__file__).parent.parent / "deploy" / "operator.toml"


def until(holds: Callable[[], object]) -> None:
    """Wait until another thread has made the condition true."""
    pause = threading.Event()
    for _ in range(int(PATIENCE_S * 1000)):
        if holds():
            return
        pause.wait(0.001)
    raise AssertionError("the condition never became true")


class Peer:
    """One end of a connection that keeps the messages it receives."""

    def __init__(
        self, sock: socket.socket, framing: Framing, received: queue.SimpleQueue[dict[str, Any]]
    ) -> None:
        self.sock, self.received = sock, received
        self.closed, self.opened, self.may_read = threading.Event(), threading.Event(), threading.Event()
        self.may_read.set()
        self.connection = Connection(
            sock,
            framing,
            self._message,
            self._closed,
            "peer",
            SystemClock(),
            SystemClock().now_ms() + 1000.0 * PATIENCE_S,
            self.opened.set,
        )
        self.connection.start()
        assert self.opened.wait(PATIENCE_S)

    def _closed(self) -> None:
        self.closed.set()
        self.opened.set()  # a full listener may close before the connection has opened

    def _message(self, line: bytes) -> None:
        self.received.put(json.loads(line))
        self.may_read.wait(PATIENCE_S)

    def send(self, kind: str, call_id: str, **more: Any) -> None:
        assert self.connection.send(json.dumps({"type": kind, "id": call_id, "fields": {}} | more).encode())

    def receive(self) -> dict[str, Any]:
        return self.received.get(timeout=PATIENCE_S)

    def set_up(self, call_id: str, left_ms: int = 9000, **fields: Any) -> None:
        fields = {"class": "slot-confirm", "left": str(left_ms), "key": "k", "extras": "dest:0"} | fields
        self.send("setup", call_id, fields=fields, sdp=f"sdp of {call_id}\r\n")

    def disconnect(self) -> None:
        """Shut down the connection without a message."""
        self.sock.shutdown(socket.SHUT_RDWR)
        assert self.closed.wait(PATIENCE_S)


class BookingServer:
    """Listens, and keeps the messages received on all of its connections."""

    def __init__(self, websocket: bool) -> None:
        self.websocket = websocket
        self.received: queue.SimpleQueue[dict[str, Any]] = queue.SimpleQueue()
        self.peers: queue.SimpleQueue[Peer] = queue.SimpleQueue()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.endpoint = f"{'ws://' if websocket else ''}127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.peers.put(Peer(sock, WebSocket() if self.websocket else Lines(), self.received))

    def peer(self) -> Peer:
        return self.peers.get(timeout=PATIENCE_S)

    def receive(self) -> dict[str, Any]:
        return self.received.get(timeout=PATIENCE_S)


class NodeHarness:
    """A node with both listeners, and booking servers, on a clock that the test advances."""

    def __init__(self, websocket: bool, servers: int = 2, **changes: Any) -> None:
        self.websocket = websocket
        self.clock = ManualClock()
        self.servers = [BookingServer(websocket) for _ in range(servers)]
        table = tomllib.loads(OPERATOR.read_text())
        table |= {"listen": "127.0.0.1:0", "websocket": {"listen": "127.0.0.1:0"}} | changes
        del table["eureka"]
        targets = [
            {"uid": f"s{n}", "endpoint": server.endpoint, "pod_group": n, "state": "up", "boot_ms": 0}
            for n, server in enumerate(self.servers)
        ]
        pool = {"rev": 1, "all": True, "targets": targets}
        table["known"] = {"rev": 1, "notices": [{"rev": 1, "pool": pool}]}
        self.node = Node(configuration.read(table, {}), self.clock)
        self.attempts: list[tuple[float, str, str, float]] = []  # time, call, server, time left
        self.planner = self.node.planners[0]
        links = self.planner.servers
        send: Callable[[str, int, m.SetUp, float, m.WriteGate], None] = links.set_up

        def noted(server: str, epoch: int, request: m.SetUp, remaining_ms: float, gate: m.WriteGate) -> None:
            self.attempts.append((self.clock.now_ms() - 1_000_000.0, request.id, server, remaining_ms))
            send(server, epoch, request, remaining_ms, gate)

        links.set_up = noted  # type: ignore[method-assign]
        self.node.start()
        self.settle()
        for server in self.planner._server_states:
            links.connect(server)  # otherwise links open after a random delay
        self.links = [server.peer() for server in self.servers]
        self.until(lambda: all(known.epoch is not None for known in self.planner._server_states.values()))
        self._epochs = {known.id: known.epoch for known in self.planner._server_states.values()}

    def reconnect(self, number: int, name: str = "") -> Peer:
        """Reconnect to that server without backoff, and wait until the planner has seen the connection."""
        name = name or f"s{number}"
        self.settle()
        self.planner.servers.connect(name)
        peer = self.servers[number].peer()
        self.until(lambda: self._epoch(name) not in (None, self._epochs.get(name)))
        self._epochs[name] = self._epoch(name)
        return peer

    def _epoch(self, name: str) -> int | None:
        return known.epoch if (known := self.planner._server_states.get(name)) is not None else None

    def caller(self) -> Peer:
        front = self.node.fronts[1 if self.websocket else 0]
        sock = socket.create_connection(("127.0.0.1", front.port))
        framing = WebSocket("127.0.0.1") if self.websocket else Lines()
        return Peer(sock, framing, queue.SimpleQueue())

    def settle(self) -> None:
        """Wait until the planner has handled all events put so far."""
        done = threading.Event()
        self.planner.inbox.put(m.InboxBarrier(done.set))
        assert done.wait(PATIENCE_S)

    def until(self, holds: Callable[[], bool]) -> None:
        def settled() -> bool:
            self.settle()
            return holds()

        until(settled)

    def advance(self, by_ms: float) -> None:
        for _ in range(int(by_ms / 5.0)):
            self.clock.advance(5.0)
            self.settle()

    def end(self) -> None:
        self.planner.inbox.put(m.Stop(0.0))
        for front in self.node.fronts:
            front.stop_accepting()
            front.close_all()
        for server in self.servers:
            server.listener.close()
        for link in self.links:
            link.connection.close()
