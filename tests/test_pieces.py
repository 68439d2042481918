"""Set-ups that arrive in small pieces at a running process, over real sockets, get one outcome each."""

from __future__ import annotations

import json
import queue
import random
import socket
import threading
from pathlib import Path

from capershelf.net.addresses import parse_endpoint
from capershelf.net.framing import Lines
from tests.peers import PATIENCE_S, BookingServer, Peer
from tests.test_reload import Program, table

CONNECTIONS = 8
CALLS = 6  # per connection
MAX_PIECE_BYTES = 9


def set_up_line(call: str) -> bytes:
    fields = {"class": "slot-confirm", "left": "9000", "key": "k", "extras": "dest:0"}
    message = {"type": "setup", "id": call, "fields": fields, "sdp": f"größer als ein Byte: {call}\r\n"}
    return json.dumps(message, ensure_ascii=False).encode() + b"\n"


def pieces(data: bytes, rng: random.Random) -> list[bytes]:
    found = []
    while data:
        size = rng.randint(1, MAX_PIECE_BYTES)
        found.append(data[:size])
        data = data[size:]
    return found


def answer_all(server: BookingServer, link: Peer) -> None:
    while True:
        if (got := server.received.get())["type"] == "setup":
            link.send("answer", got["id"], sdp=got["sdp"])


def test_set_ups_split_at_any_byte_get_one_answer_each(tmp_path: Path) -> None:
    server = BookingServer(False)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    target = {"uid": "s0", "endpoint": server.endpoint, "pod_group": 0, "state": "up", "boot_ms": 0}
    known = {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": True, "targets": [target]}}]}
    path = tmp_path / "config.json"
    path.write_text(json.dumps(table("") | {"listen": listen, "known": known}))
    program, rng = Program(path), random.Random(3)
    try:
        program.wait_for_log("serves on")
        threading.Thread(target=answer_all, args=(server, server.peer()), daemon=True).start()
        callers = [
            Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
            for _ in range(CONNECTIONS)
        ]
        waiting = []
        for number, caller in enumerate(callers):
            caller.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            calls = [f"{number * CALLS + n + 1:016x}" for n in range(CALLS)]
            waiting.append((caller, calls, pieces(b"".join(map(set_up_line, calls)), rng)))
        while any(left for _, _, left in waiting):  # one piece per connection in turn
            for caller, _, left in waiting:
                if left:
                    caller.sock.sendall(left.pop(0))
        for caller, calls, _ in waiting:
            heard = [caller.received.get(timeout=PATIENCE_S) for _ in calls]
            assert sorted(one["id"] for one in heard) == calls
            for one in heard:
                assert one["type"] == "answer" and one["sdp"] == f"größer als ein Byte: {one['id']}\r\n"
            assert caller.received.empty()
    finally:
        program.process.kill()
        program.process.wait()
