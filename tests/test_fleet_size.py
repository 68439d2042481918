"""A proxy process with several hundred booking servers under low limits."""

from __future__ import annotations

import json
import os
import queue
import resource
import select
import signal
import socket
import threading
from pathlib import Path
from typing import Any

from capershelf.net.addresses import parse_endpoint
from capershelf.net.framing import Lines
from tests.peers import PATIENCE_S, Peer, until
from tests.test_reload import BoardStandIn, Program, table

SERVERS = 400
SOCKETS = 256
MEMORY_MB = 48


class Fleet:
    """Booking servers run by one thread: each answers every set-up and reports its load on connection."""

    def __init__(self, count: int) -> None:
        self.listeners = [socket.create_server(("127.0.0.1", 0), backlog=16) for _ in range(count)]
        self.endpoints = [f"127.0.0.1:{one.getsockname()[1]}" for one in self.listeners]
        self.peers: dict[int, tuple[int, socket.socket]] = {}
        self.partial_lines: dict[int, bytes] = {}
        self.got: queue.SimpleQueue[tuple[int, dict[str, Any]]] = queue.SimpleQueue()
        self.connections_accepted = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        poll = select.poll()
        number_of_listener = {listener.fileno(): number for number, listener in enumerate(self.listeners)}
        for listener_fd in number_of_listener:
            poll.register(listener_fd, select.POLLIN)
        while True:
            for fd, _ in poll.poll():
                if fd in number_of_listener:
                    try:
                        sock, _ = self.listeners[number_of_listener[fd]].accept()
                    except OSError:  # closed by the test
                        poll.unregister(fd)
                        continue
                    self.connections_accepted += 1
                    self.peers[sock.fileno()] = number_of_listener[fd], sock
                    self.partial_lines[sock.fileno()] = b""
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    poll.register(sock, select.POLLIN)
                    sock.sendall(b'{"type":"state","id":"","fields":{"load":"spare:50;total:50"}}\n')
                    continue
                number, sock = self.peers[fd]
                try:
                    data = sock.recv(65536)
                except OSError:
                    data = b""
                if not data:
                    poll.unregister(fd)
                    del self.peers[fd]
                    sock.close()
                    continue
                *lines, self.partial_lines[fd] = (self.partial_lines[fd] + data).split(b"\n")
                for line in lines:
                    message = json.loads(line)
                    self.got.put((number, message))
                    if message["type"] == "setup":
                        answer = {"type": "answer", "id": message["id"], "fields": {}, "sdp": "v=0"}
                        sock.sendall(json.dumps(answer).encode() + b"\n")


def targets(fleet: Fleet, states: dict[int, str]) -> list[dict[str, Any]]:
    return [
        {"uid": f"s{n}", "endpoint": endpoint, "pod_group": n, "state": states.get(n, "up"), "boot_ms": 0}
        for n, endpoint in enumerate(fleet.endpoints)
    ]


def notices(number: int, listed: list[dict[str, Any]], complete: bool) -> dict[str, Any]:
    return {
        "rev": number,
        "notices": [{"rev": number, "pool": {"rev": 1, "all": complete, "targets": listed}}],
    }


def test_hundreds_of_servers_are_listed_linked_drained_and_stopped_under_low_limits(tmp_path: Path) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4 * SERVERS)), hard))
    fleet, board = Fleet(SERVERS), BoardStandIn()
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    config = table(board.address) | {
        "listen": listen,
        "known": notices(3, targets(fleet, {}), True),
        "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
    }
    pools = list(range(SERVERS))
    config["settings"]["family-info"]["pools-by-class"] = [pools for _ in config["settings"]["categories"]]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    program = Program(path, sockets=SOCKETS)
    try:
        program.wait_for_log("serves on")
        sock = socket.create_connection(parse_endpoint(listen))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller = Peer(sock, Lines(), queue.SimpleQueue())
        call_class = config["settings"]["categories"][0]["name"]

        def call(number: int, pool: int) -> str:
            fields = {"class": call_class, "left": "5000", "key": f"k{number}", "extras": f"dest:{pool}"}
            caller.send("setup", f"{number:016x}", fields=fields, sdp=f"sdp {number}")
            assert caller.receive()["type"] == "answer"
            server, message = fleet.got.get(timeout=PATIENCE_S)
            assert (message["type"], message["id"]) == ("setup", f"{number:016x}")
            caller.send("release", f"{number:016x}", cause=16)
            assert fleet.got.get(timeout=PATIENCE_S)[1]["type"] == "release"
            return f"s{server}"

        # Each server is the preferred one of a call, so idle links are closed in favour of new ones.
        reached = [call(number, number) for number in range(SERVERS)]
        assert len(set(reached)) > SERVERS // 2
        status = Path(f"/proc/{program.process.pid}/status").read_text()
        threads, resident_kb = (
            int(status.split(f"{field}:")[1].split()[0]) for field in ("Threads", "VmRSS")
        )
        assert threads < 16, "one thread per server"
        assert resident_kb < MEMORY_MB * 1024
        assert len(os.listdir(f"/proc/{program.process.pid}/fd")) < SOCKETS
        # All but ten drain: they get no new calls and their links are closed.
        remaining = set(range(10))
        states = {n: "draining" for n in range(SERVERS) if n not in remaining}
        drained = notices(4, [one for one in targets(fleet, states) if one["state"] != "up"], False)
        while board.poll(drained) != "4":  # abandoned polls are answered too
            pass
        until(lambda: {number for number, _ in list(fleet.peers.values())} <= remaining)
        after = [call(SERVERS + number, number) for number in range(0, SERVERS, 20)]
        assert set(after) <= {f"s{n}" for n in remaining}
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(PATIENCE_S) == 0
        until(lambda: not fleet.peers)
    finally:
        program.process.kill()
        program.process.wait()
        for one in fleet.listeners:
            one.close()
