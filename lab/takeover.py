"""What a take-over costs the calls on loopback: answer times with and without a version each second.

A node in a process of its own, as in service, with a thread that plans and takes over as a follower does;
two booking servers that answer at once and a caller at an even pace in this one.  Pairs
of runs, in turn with and without versions, so that both meet the same machine.
"""

from __future__ import annotations

import json
import multiprocessing
import queue
import socket
import sys
import threading
import time
from multiprocessing.connection import Connection as Pipe
from typing import Any

import numpy as np
from loguru import logger

from capershelf import config as configuration
from capershelf.core.clock import SystemClock
from capershelf.net.connection import Connection
from capershelf.net.framing import Lines
from capershelf.node import Node
from capershelf.stream import document as doc
from capershelf.stream import takeover
from lab.stream import settings as sized

CLOCK = SystemClock()


def table(endpoints: list[str], attempts: int) -> dict[str, Any]:
    targets = [
        {"uid": f"s{n}", "endpoint": one, "pod_group": n, "state": "up"} for n, one in enumerate(endpoints)
    ]
    known = {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": True, "targets": targets}}]}
    contract = {"cold-from": 0.3, "ramp-time": 14000, "tip-multiple": 3, "fall": 1000, "drain-grace": 2000}
    return {
        "listen": "127.0.0.1:0",
        "known": known,
        "settings": sized(1)["settings"]
        | {
            "slot-no": 0,
            "group-size": 1,
            "contract": contract,
            "family-info": {"release": 200, "t1": 500},
            "bounds": {"max-attempts": attempts, "cancel": True},
        },
    }


def booking_server() -> str:
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            held: list[Connection] = []

            def message(line: bytes, held: list[Connection] = held) -> None:
                found = json.loads(line)
                if found["type"] == "setup":
                    held[0].send(
                        json.dumps({"type": "answer", "id": found["id"], "fields": {}, "sdp": "v=0"}).encode()
                    )
                    held[0].send(
                        json.dumps({"type": "release", "id": found["id"], "fields": {}, "cause": 16}).encode()
                    )

            by_ms = CLOCK.now_ms() + 9000.0
            held.append(Connection(sock, Lines(), message, lambda: None, "proxy", CLOCK, by_ms))
            held[0].start()

    threading.Thread(target=serve, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def node_process(pipe: Pipe, endpoints: list[str], versions: bool, switch_ms: float) -> None:
    """Serve until the pipe says otherwise; then tell how long each take-over took."""
    logger.remove()
    if switch_ms > 0:
        sys.setswitchinterval(switch_ms / 1000.0)
    base = table(endpoints, 6)
    node = Node(configuration.read(base, {}))
    node.start()
    pipe.send(node.fronts[0].port)
    took: list[tuple[float, float]] = []
    number = 0
    while not pipe.poll(1.0):
        if not versions:
            continue
        number += 1
        data = doc.canonical({"settings": table(endpoints, 2 + number % 5)["settings"]})
        done = threading.Event()
        began = time.perf_counter()
        found = takeover.plan(base, node.config.table, doc.read(data), {}, False, {})
        assert isinstance(found, takeover.ApplicablePlan)
        planned = time.perf_counter()
        node.adopt(found.config, done.set)
        done.wait()
        took.append((1000.0 * (planned - began), 1000.0 * (time.perf_counter() - planned)))
    pipe.send(took)


def run(
    seconds: float, a_second: float, versions: bool, switch_ms: float
) -> tuple[list[float], list[tuple[float, float]]]:
    """Answer times of calls; how long planning and taking over took, each time; milliseconds."""
    endpoints = [booking_server() for _ in range(2)]
    spawn = multiprocessing.get_context("spawn")
    pipe, theirs = spawn.Pipe()
    process = spawn.Process(target=node_process, args=(theirs, endpoints, versions, switch_ms), daemon=True)
    process.start()
    port = pipe.recv()
    heard: queue.SimpleQueue[tuple[str, float]] = queue.SimpleQueue()

    def message(line: bytes) -> None:
        found = json.loads(line)
        if found["type"] == "answer":
            heard.put((found["id"], time.perf_counter()))

    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    caller = Connection(sock, Lines(), message, lambda: None, "node", CLOCK, CLOCK.now_ms() + 9000.0)
    caller.start()
    time.sleep(0.5)
    sent: dict[str, float] = {}
    began = time.perf_counter()
    for number in range(int(seconds * a_second)):
        left = began + number / a_second - time.perf_counter()
        if left > 0:
            time.sleep(left)
        call = f"{number + 1:016x}"
        sent[call] = time.perf_counter()
        caller.send(
            json.dumps(
                {
                    "type": "setup",
                    "id": call,
                    "fields": {
                        "class": f"class-{number % 12}",
                        "left": "2000",
                        "key": call,
                        "extras": f"dest:{number % 2}",
                    },
                    "sdp": "v=0\r\n",
                }
            ).encode()
        )
    time.sleep(0.5)
    pipe.send("end")
    took = pipe.recv()
    found = []
    while not heard.empty():
        call, at = heard.get()
        found.append(1000.0 * (at - sent[call]))
    caller.close()
    process.terminate()
    process.join()
    return found, took


def experiment(pairs: int, seconds: float, a_second: float, switch_ms: float) -> dict[str, Any]:
    calls: dict[bool, list[float]] = {False: [], True: []}
    took: list[tuple[float, float]] = []
    for _ in range(pairs):
        for versions in (False, True):
            found, more = run(seconds, a_second, versions, switch_ms)
            calls[versions] += found
            took += more
    rows = {}
    for versions, name in ((False, "without"), (True, "with")):
        low, high = np.percentile(calls[versions], [50.0, 99.9])
        rows[name] = {
            "calls": len(calls[versions]),
            "p50_ms": round(float(low), 3),
            "p999_ms": round(float(high), 3),
        }
    return {
        "experiment": "takeover",
        "pairs": pairs,
        "seconds": seconds,
        "calls_a_second": a_second,
        "switch_ms": switch_ms,
        "without": rows["without"],
        "with": rows["with"],
        "versions": len(took),
        "p999_difference_ms": round(rows["with"]["p999_ms"] - rows["without"]["p999_ms"], 3),
        "plan_p50_ms": round(float(np.median([one for one, _ in took])), 3),
        "takeover_p50_ms": round(float(np.median([one for _, one in took])), 3),
        "takeover_most_ms": round(max(one for _, one in took), 3),
    }
