"""A proxy process before a booking server, a usual client, and misbehaving ones in a process of their own."""

from __future__ import annotations

import json
import math
import queue
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from capershelf.net.framing import Framing, Lines
from capershelf.net.websocket import WebSocket
from lab.fleet.network import EventLoop, Link, LinkConnection
from lab.fleet.processes import ROOT, free_port
from lab.fleet.servers import encode_message
from tests.peers import Peer, until
from tests.proxy_trial import ProxyTrial
from tests.test_reload import table

CALL_GAP_S = 0.04
CALL_LEFT_MS = 2000
HOLD_MS = 200.0
USUAL_PREFIX = "feed"  # begins the ids of the usual client's calls
REPORT_MS = 500.0


class CountingServer:
    """Answers every set-up at once, ends each call, and keeps what it was sent."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.set_ups: list[tuple[float, str]] = []  # arrival and call
        self.processes: list[list[str]] = [[]]  # the set-ups that reached each process, in their order
        self.hold_ms = HOLD_MS
        self.replaced_ms = -math.inf  # when the present process took the place of another one
        self._unanswered: dict[str, LinkConnection] = {}
        self.released: list[str] = []
        self.answers = True
        self.link = Link(loop, "127.0.0.1", 0, lambda: 1.0, lambda: 1, self._on_connection)

    def _on_connection(self, connection: LinkConnection) -> None:
        connection.on_line = lambda line, first_byte_ms, read_ms: self._on_line(connection, line)
        self._report(connection)

    def _report(self, connection: LinkConnection) -> None:
        if connection.open:
            connection.send(encode_message("state", "0" * 16, fields={"load": "spare:900;total:1000"}))
            self.loop.after(REPORT_MS, self._report, connection)

    def _on_line(self, connection: LinkConnection, line: bytes) -> None:
        message = json.loads(line)
        call = message["id"]
        if message["type"] == "setup":
            self.set_ups.append((self.loop.now_ms, call))
            self.processes[-1].append(call)
            self._unanswered[call] = connection
            if self.answers:
                self._answer(call)
        elif message["type"] == "release":
            self.released.append(call)
            self._unanswered.pop(call, None)
        elif message["type"] == "ping":
            connection.send(encode_message("pong", call, cause=1))

    def restart(self) -> None:
        """Put another process, which answers, at the address of this one.  For any thread."""

        def replace() -> None:
            self.replaced_ms = self.loop.now_ms
            self._unanswered.clear()
            self.processes.append([])
            self.answers = True
            self.link.reset_connections()

        self.loop.poller.call_soon(replace)

    def answer(self, call: str) -> None:
        """Answer a set-up that was left unanswered, unless it was given up.  For any thread."""
        self.loop.poller.call_soon(lambda: self._answer(call))

    def _answer(self, call: str) -> None:
        if (connection := self._unanswered.pop(call, None)) is not None:
            connection.send(encode_message("answer", call, sdp=f"of {call}"))
            self.loop.after(self.hold_ms, connection.send, encode_message("release", call, cause=16))


@dataclass(slots=True)
class Waits:
    """How long the usual client waited for its outcomes; inf: none came."""

    waits_ms: list[float]
    answered: int

    @property
    def longest_ms(self) -> float:
        """The longest wait."""
        return max(self.waits_ms, default=math.inf)

    @property
    def median_ms(self) -> float:
        """The median wait."""
        return sorted(self.waits_ms)[len(self.waits_ms) // 2]

    @property
    def missing(self) -> int:
        """How many outcomes did not come."""
        return sum(wait == math.inf for wait in self.waits_ms)


class ProxyRig(ProxyTrial):
    """A real proxy process with both fronts."""

    def __init__(self, folder: Path, memory_mb: int = 64, sockets: int = 1024) -> None:
        super().__init__()
        self.server = CountingServer(self.loop)
        self.ports = free_port(self.host), free_port(self.host)
        self.memory_mb = memory_mb
        self.start(folder, self._config(memory_mb, sockets), sockets)
        until(lambda: self.server.link.connections)

    def _config(self, memory_mb: int, sockets: int) -> dict[str, Any]:
        target = {
            "uid": "s0",
            "endpoint": self.server.link.address,
            "pod_group": 0,
            "state": "up",
            "boot_ms": 0,
        }
        pool = {"rev": 1, "all": True, "targets": [target]}
        config = table("") | {
            "listen": f"{self.host}:{self.ports[0]}",
            "websocket": {"listen": f"{self.host}:{self.ports[1]}"},
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]},
        }
        config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        family = config["settings"]["family-info"]
        family["pools-by-class"] = [[0]] * len(config["settings"]["categories"])
        return config

    def caller(self, websocket: bool) -> Peer:
        """A client on that front."""
        sock = socket.create_connection((self.host, self.ports[int(websocket)]))
        framing: Framing = WebSocket(self.host) if websocket else Lines()
        return Peer(sock, framing, queue.SimpleQueue())

    def status(self, name: str) -> float:
        """A figure of the process's memory from its status file, in MB."""
        lines = Path(f"/proc/{self.program.process.pid}/status").read_text().splitlines()
        return float(next(line for line in lines if line.startswith(name + ":")).split()[1]) / 1024.0

    def attack(
        self, name: str, websocket: bool, connections: int = 1, seconds: float = 4.0
    ) -> subprocess.Popen[str]:
        """Start misbehaving clients; the caller waits for them."""
        command = [sys.executable, "-m", "lab.bad_clients", name, self.host, str(self.ports[int(websocket)])]
        command += ["--connections", str(connections), "--seconds", str(seconds)]
        return subprocess.Popen(
            command + ["--websocket"] * websocket, cwd=ROOT, stdout=subprocess.PIPE, text=True
        )

    def usual_calls(self, websocket: bool, seconds: float) -> Waits:
        """Calls of a usual client at even gaps, and how long it waited for each outcome."""
        caller = self.caller(websocket)
        sent_s: dict[str, float] = {}
        waits_ms: dict[str, float] = {}
        answered = 0

        def collect(until_s: float) -> None:
            nonlocal answered
            while (remaining_s := until_s - time.monotonic()) > 0.0:
                try:
                    message = caller.received.get(timeout=remaining_s)
                except queue.Empty:
                    return
                if (call := message["id"]) in sent_s and call not in waits_ms:
                    waits_ms[call] = 1000.0 * (time.monotonic() - sent_s[call])
                    answered += message["type"] == "answer"

        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s and not caller.closed.is_set():
            call = f"{USUAL_PREFIX}{time.monotonic_ns() & (1 << 48) - 1:012x}"
            sent_s[call] = time.monotonic()
            caller.set_up(call, CALL_LEFT_MS)
            collect(time.monotonic() + CALL_GAP_S)
        until_s = time.monotonic() + CALL_LEFT_MS / 1000.0 + 0.2
        while len(waits_ms) < len(sent_s) and time.monotonic() < until_s:
            collect(min(until_s, time.monotonic() + 0.1))
        return Waits([waits_ms.get(call, math.inf) for call in sent_s], answered)
