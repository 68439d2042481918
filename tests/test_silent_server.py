"""Callers are told of the end of calls at booking servers that fall silent, on a real proxy process."""

from __future__ import annotations

import json
import math
import queue
import socket
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path

import pytest

from capershelf.net.addresses import parse_endpoint
from capershelf.net.framing import Lines
from lab.fleet.checker import TIMING_SLACK_MS, Contract
from lab.fleet.network import EventLoop, Link, LinkConnection
from lab.fleet.processes import free_port
from lab.fleet.servers import encode_message
from tests.peers import Peer, until
from tests.proxy_trial import ProxyTrial
from tests.test_reload import table

HEARTBEAT_MS = 100.0
LEARNED_AFTER_REPORTS = 8  # unsolicited reports on one connection, more than the proxy needs
RECONNECT_AFTER_MS = 3000.0  # a watch that began anew there would end too late
LATER_CALLS = 100  # the number of the first call that is set up after the servers fell silent
DEADLINE_MS = Contract().undelivered_end_ms + TIMING_SLACK_MS
FAULTS = ("cut", "hung", "refusing", "reset and cut", "draining", "reporting", "greeting")
CASES = [f"{fault}, heartbeat {known}" for fault, known in product(FAULTS, ("known", "unknown"))]


class SilentServer:
    """Answers every set-up until it falls silent in one of several ways; its calls never end by a release."""

    def __init__(self, loop: EventLoop, case: str) -> None:
        self.loop, self.case = loop, case
        self.silent = False
        self.reports = 0
        self.link = Link(loop, "127.0.0.1", 0, lambda: 1.0, lambda: 1, self._on_connection)

    def _on_connection(self, connection: LinkConnection) -> None:
        connection.on_line = lambda line, first_byte_ms, read_ms: self._on_line(connection, line)
        self._report(connection)

    def _report(self, connection: LinkConnection) -> None:
        greets = self.case.startswith("greeting") and not self.reports
        reports = not self.silent or self.case.startswith("reporting") or greets
        if not reports or not connection.open:
            return
        connection.send(encode_message("state", "0" * 16, fields={"load": "spare:90;total:100"}))
        self.reports += 1
        if self.case.endswith(" known"):
            self.loop.after(HEARTBEAT_MS, self._report, connection)

    def _on_line(self, connection: LinkConnection, line: bytes) -> None:
        message = json.loads(line)
        if message["type"] == "setup" and not self.silent:
            connection.send(encode_message("answer", message["id"], sdp="v=0"))
        elif message["type"] == "ping" and (not self.silent or self.case.startswith("draining")):
            connection.send(encode_message("pong", message["id"], cause=1))

    def fall_silent(self) -> None:
        self.silent = True
        if self.case.startswith("reset"):
            self.link.reset_connections()
        if "cut" in self.case:
            self.link.partition()
        elif self.case.startswith(("refusing", "draining")):
            self.link.stop_listening()
        elif self.case.startswith("greeting"):
            self.loop.after(RECONNECT_AFTER_MS, self._reset)

    def _reset(self) -> None:
        """Reset the connections, so that the proxy opens one that begins with a report."""
        self.reports = 0
        self.link.reset_connections()


class Trial(ProxyTrial):
    """A proxy process, one server for each case, and a call established at each."""

    def __init__(self, folder: Path, may_probe: bool) -> None:
        super().__init__()
        self.servers = [SilentServer(self.loop, case) for case in CASES]
        listen = f"{self.host}:{free_port(self.host)}"
        self.start(folder, self._config(listen, may_probe))
        self.caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
        self.told_after_ms: dict[str, float] = {}

    def _config(self, listen: str, may_probe: bool) -> dict[str, object]:
        targets = [
            {"uid": f"s{n}", "endpoint": s.link.address, "pod_group": n, "state": "up", "boot_ms": 0}
            for n, s in enumerate(self.servers)
        ]
        pool = {"rev": 1, "all": True, "targets": targets}
        config = table("") | {"listen": listen, "known": {"rev": 1, "notices": [{"rev": 1, "pool": pool}]}}
        config["settings"]["bounds"]["may-probe"] = may_probe
        pools = list(range(len(CASES)))
        config["settings"]["family-info"]["pools-by-class"] = [pools] * len(config["settings"]["categories"])
        return config

    def play(self) -> None:
        """Establish the calls, silence the servers and record when each caller is told of the end."""
        until(lambda: all(s.reports for s in self.servers))
        for number in range(len(CASES)):
            self.caller.set_up(f"{number:016x}", extras=f"dest:{number}")
        for _ in CASES:
            assert self.caller.receive()["type"] == "answer"
        until(
            lambda: all(s.reports > LEARNED_AFTER_REPORTS for s in self.servers if s.case.endswith(" known"))
        )
        silent_from_ms = self.loop.now_ms
        for server in self.servers:
            self.loop.poller.call_soon(server.fall_silent)
        for number, server in enumerate(self.servers):
            if server.case.startswith("reporting"):  # its silence shows only where something is asked of it
                self.caller.set_up(f"{LATER_CALLS + number:016x}", left_ms=2000, extras=f"dest:{number}")
        while (remaining_ms := silent_from_ms + DEADLINE_MS - self.loop.now_ms) > 0.0:
            try:
                message = self.caller.received.get(timeout=remaining_ms / 1000.0)
            except queue.Empty:
                return
            assert message["type"] == "release"
            if (number := int(message["id"], 16)) < LATER_CALLS:
                self.told_after_ms[CASES[number]] = self.loop.now_ms - silent_from_ms


@pytest.fixture(scope="module")
def trials(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[bool, Trial]]:
    """The same faults where booking servers may be probed and where they may not."""
    made = {may_probe: Trial(tmp_path_factory.mktemp("silent"), may_probe) for may_probe in (True, False)}
    try:
        with ThreadPoolExecutor() as pool:
            list(pool.map(Trial.play, made.values()))
        yield made
    finally:
        for trial in made.values():
            trial.end()


@pytest.mark.parametrize("may_probe", [True, False])
def test_callers_are_told_of_the_end_of_calls_at_a_server_that_fell_silent(
    trials: dict[bool, Trial], may_probe: bool
) -> None:
    trial = trials[may_probe]
    # Without pings, reports count as a sign of life.
    excepted = ("draining",) if may_probe else ("draining", "reporting", "greeting")
    expected = [case for case in CASES if not case.startswith(excepted)]
    late = [case for case in expected if trial.told_after_ms.get(case, math.inf) > DEADLINE_MS]
    assert not late, trial.program.log


def test_calls_go_on_at_a_draining_server_that_still_answers_pings(trials: dict[bool, Trial]) -> None:
    trial = trials[True]
    cut = [case for case in trial.told_after_ms if case.startswith("draining")]
    assert not cut, trial.program.log
