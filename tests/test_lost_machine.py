"""What stood at a machine that is gone is released in time, whoever answers there; on a real process."""

from __future__ import annotations

import json
import math
import queue
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
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
from tests.test_reload import BoardStandIn, table

HEARTBEAT_MS = 250.0
DEADLINE_MS = Contract().undelivered_end_ms + TIMING_SLACK_MS
CALLS_PER_SERVER = 3
LATER_CALL_MS = 900.0  # when a call is set up at the process that is back by then
LATER_CALLS = 1000  # the number of the first of these
END_CALL_MS = 1500.0  # when a process that only lost its connections sends the end of a call


@dataclass(frozen=True, slots=True)
class Case:
    """What becomes of a machine: times of its losses and of new processes, from the first loss."""

    name: str
    lost_ms: tuple[float, ...] = (0.0,)
    back_ms: tuple[float, ...] = ()
    draining: bool = False
    greets: bool = True  # a new process begins each connection with a report
    process_lives: bool = False
    # When the list says what of it: draining, removed, up, or started (up, with the time of the start).
    listed: tuple[tuple[float, str], ...] = ()


CASES = (
    Case("back at once", back_ms=(0.0,)),
    Case("back early", back_ms=(300.0,)),
    Case("back after the heartbeat", back_ms=(1200.0,)),
    Case("back after 3 s, silent at first", back_ms=(3000.0,), greets=False),
    Case("back late", back_ms=(5000.0,)),
    Case("back too late", back_ms=(7500.0,)),
    Case("never back"),
    Case("back twice", (0.0, 1500.0), (400.0, 3500.0)),
    Case("back twice at once", (0.0, 2000.0), (0.0, 2000.0)),
    Case("draining, never back", draining=True),
    Case("draining, back early", back_ms=(300.0,), draining=True),
    Case("draining, back late", back_ms=(5000.0,), draining=True),
    Case("back early, the start listed late", back_ms=(300.0,), listed=((4500.0, "started"),)),
    Case("back late, the start listed too late", back_ms=(5000.0,), listed=((9000.0, "started"),)),
    Case("back early, then listed as draining", back_ms=(300.0,), listed=((1500.0, "draining"),)),
    Case("listed as draining while it is gone", back_ms=(5000.0,), listed=((1000.0, "draining"),)),
    Case("removed late, never back", listed=((4000.0, "draining"), (7000.0, "removed"))),
    Case("removed and listed again", back_ms=(2500.0,), listed=((500.0, "removed"), (1000.0, "up"))),
    Case(
        "drained and up again while it is gone",
        back_ms=(3000.0,),
        listed=((500.0, "draining"), (2000.0, "up")),
    ),
    Case("only disconnected", back_ms=(0.0,), process_lives=True),
    Case("only cut off", back_ms=(2500.0,), process_lives=True),
    Case("draining, only silent", draining=True, process_lives=True),
)


class Machine:
    """A booking server whose machine is lost and comes back as its case says; only a test ends its calls."""

    def __init__(self, loop: EventLoop, case: Case) -> None:
        self.loop, self.case = loop, case
        self.reports, self.calls, self.lost_at_ms = 0, set[str](), dict[str, float]()
        self.started_ms = 0  # of the process that came back
        self._silent = False
        self._greets = True
        self.link = Link(loop, "127.0.0.1", 0, lambda: 1.0, lambda: 1, self._on_connection)

    def _on_connection(self, connection: LinkConnection) -> None:
        connection.on_line = lambda line, first_byte_ms, read_ms: self._on_line(connection, line)
        if self._greets:
            self._send_report(connection)
        self.loop.after(HEARTBEAT_MS, self._report, connection)

    def _send_report(self, connection: LinkConnection) -> None:
        self.reports += 1
        connection.send(encode_message("state", "0" * 16, fields={"load": "spare:90;total:100"}))

    def _report(self, connection: LinkConnection) -> None:
        if connection.open and not self._silent:
            self._send_report(connection)
            self.loop.after(HEARTBEAT_MS, self._report, connection)

    def _on_line(self, connection: LinkConnection, line: bytes) -> None:
        message = json.loads(line)
        if message["type"] == "setup":
            self.calls.add(message["id"])
            connection.send(encode_message("answer", message["id"], sdp="v=0"))
        elif message["type"] == "release":
            self.calls.discard(message["id"])
        elif message["type"] == "ping":
            connection.send(encode_message("pong", message["id"], cause=1))

    def begin(self) -> None:
        """Schedule what becomes of the machine."""
        case = self.case
        if case.process_lives and case.draining:  # as a server that drains: no reports, no new connections
            self._silent = True
            self.link.stop_listening()
            return
        for at_ms in case.lost_ms:
            self.loop.after(at_ms, self._lose)
        for at_ms in case.back_ms:
            self.loop.after(at_ms, self._return)
        if case.process_lives:
            self.loop.after(case.back_ms[-1] + END_CALL_MS, self._end_a_call)

    def _lose(self) -> None:
        if not self.case.process_lives:
            self.lost_at_ms |= dict.fromkeys(self.calls, self.loop.now_ms)
            self.calls.clear()
            self._greets = self.case.greets
        self.link.partition()
        self.link.reset_connections()

    def _return(self) -> None:
        self.started_ms = int(self.loop.now_ms)
        self.link.heal()

    def _end_a_call(self) -> None:
        """Show that the process knows its calls; the others go on."""
        open_ones = [one for one in self.link.connections if one.open]
        open_ones[0].send(encode_message("release", min(self.calls), cause=16))


class Trial(ProxyTrial):
    """A proxy process, a machine for each case, and some calls established at each."""

    def __init__(self, folder: Path, may_probe: bool) -> None:
        super().__init__()
        self.board = BoardStandIn()
        self.machines = [Machine(self.loop, case) for case in CASES]
        listen = f"{self.host}:{free_port(self.host)}"
        self.start(folder, self._config(listen, may_probe))
        self.caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
        self.told_at_ms: dict[str, float] = {}
        self.causes: dict[str, int] = {}

    def _event(self, number: int, chosen: list[int], state: str) -> dict[str, object]:
        targets = [
            {
                "uid": f"s{n}",
                "endpoint": self.machines[n].link.address,
                "pod_group": n,
                "state": "up" if state == "started" else state,
                "boot_ms": self.machines[n].started_ms if state == "started" else 0,
            }
            for n in chosen
        ]
        return {"rev": number, "pool": {"rev": number, "all": number == 1, "targets": targets}}

    def _config(self, listen: str, may_probe: bool) -> dict[str, object]:
        pools = list(range(len(CASES)))
        known = {"rev": 1, "notices": [self._event(1, pools, "up")]}
        config = table(self.board.address) | {"listen": listen, "known": known}
        config["settings"]["bounds"]["may-probe"] = may_probe
        config["settings"]["family-info"]["pools-by-class"] = [pools] * len(config["settings"]["categories"])
        return config

    def play(self) -> None:
        """Establish the calls, lose the machines and record when the caller is told of each end."""
        until(lambda: all(machine.reports for machine in self.machines))
        for number in range(CALLS_PER_SERVER):
            for n in range(len(CASES)):
                self.caller.set_up(f"{n * CALLS_PER_SERVER + number:016x}", extras=f"dest:{n}")
            for _ in CASES:
                assert self.caller.receive()["type"] == "answer"
        draining = [n for n, case in enumerate(CASES) if case.draining]
        assert self.board.poll({"rev": 2, "notices": [self._event(2, draining, "draining")]}) == "1"
        began_ms = self.loop.now_ms
        for machine in self.machines:
            self.loop.poller.call_soon(machine.begin)
        threading.Thread(target=self._tell, args=(began_ms,), daemon=True).start()
        later = [n for n, case in enumerate(CASES) if len(case.lost_ms) > 1]
        self._record_until(began_ms + LATER_CALL_MS)
        for n in later:
            self.caller.set_up(f"{LATER_CALLS + n:016x}", left_ms=400, extras=f"dest:{n}")
        self._record_until(began_ms + max(max(case.lost_ms) for case in CASES) + DEADLINE_MS)

    def _tell(self, began_ms: float) -> None:
        """Let the list say what it says of each machine, in the order of time."""
        told = sorted((at_ms, n, state) for n, case in enumerate(CASES) for at_ms, state in case.listed)
        for number, (at_ms, n, state) in enumerate(told, 3):
            time.sleep(max(0.0, began_ms + at_ms - self.loop.now_ms) / 1000.0)
            self.board.poll({"rev": number, "notices": [self._event(number, [n], state)]})

    def _record_until(self, end_ms: float) -> None:
        while (remaining_ms := end_ms - self.loop.now_ms) > 0.0:
            try:
                message = self.caller.received.get(timeout=remaining_ms / 1000.0)
            except queue.Empty:
                return
            if message["type"] == "release":
                self.told_at_ms[message["id"]] = self.loop.now_ms
                self.causes[message["id"]] = message["cause"]

    def end(self) -> None:
        super().end()
        self.board.listener.close()


@pytest.fixture(scope="module")
def trials(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[bool, Trial]]:
    """The same losses where booking servers may be probed and where they may not."""
    made = {may_probe: Trial(tmp_path_factory.mktemp("lost"), may_probe) for may_probe in (True, False)}
    try:
        with ThreadPoolExecutor() as pool:
            list(pool.map(Trial.play, made.values()))
        yield made
    finally:
        for trial in made.values():
            trial.end()


@pytest.mark.parametrize("may_probe", [True, False], ids=["probes", "no probes"])
@pytest.mark.parametrize(
    "case", [case for case in CASES if not case.process_lives], ids=lambda case: case.name
)
def test_callers_are_told_of_the_end_of_calls_at_a_machine_that_is_gone(
    trials: dict[bool, Trial], case: Case, may_probe: bool
) -> None:
    """Guards against a new process at the address that counts as a sign of life of the old calls."""
    trial = trials[may_probe]
    machine = trial.machines[CASES.index(case)]
    assert len(machine.lost_at_ms) >= CALLS_PER_SERVER
    after_ms = {
        call: trial.told_at_ms.get(call, math.inf) - at_ms for call, at_ms in machine.lost_at_ms.items()
    }
    assert max(after_ms.values()) <= DEADLINE_MS, (after_ms, trial.program.log)


@pytest.mark.parametrize("may_probe", [True, False], ids=["probes", "no probes"])
@pytest.mark.parametrize("case", [case for case in CASES if case.process_lives], ids=lambda case: case.name)
def test_calls_go_on_at_a_process_that_shows_that_it_has_them(
    trials: dict[bool, Trial], case: Case, may_probe: bool
) -> None:
    """Guards against cutting every call at a booking server that only lost its connections, or drains."""
    trial = trials[may_probe]
    first = CASES.index(case) * CALLS_PER_SERVER
    mine = [f"{n:016x}" for n in range(first, first + CALLS_PER_SERVER)]
    cut = [call for call in mine if trial.causes.get(call, 16) != 16]
    assert not cut, trial.program.log
