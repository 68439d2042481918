"""SIGHUP on a running proxy: the board moves, event numbers continue, an invalid file changes nothing."""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import queue
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

import pytest

from capershelf import config as configuration
from capershelf.config import EurekaRegistry
from capershelf.core.clock import ManualClock
from capershelf.net.addresses import parse_endpoint
from capershelf.net.framing import Lines
from capershelf.node import Node
from capershelf.registry.eureka import Eureka
from tests.peers import OPERATOR, PATIENCE_S, BookingServer, Peer, until


class BoardStandIn:
    """A notice board that keeps each poll open until the test answers it."""

    def __init__(self, port: int = 0) -> None:
        self.polls: queue.SimpleQueue[tuple[str, socket.socket]] = queue.SimpleQueue()
        self.listener = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._read, args=(sock,), daemon=True).start()

    def _read(self, sock: socket.socket) -> None:
        while data := sock.recv(4096):
            self.polls.put((data.decode().split("watch=")[1].split("&")[0], sock))

    def poll(self, answer: dict[str, Any] | None = None) -> str:
        """Return the event number of the next poll, and answer the poll if an answer is given."""
        watched, sock = self.polls.get(timeout=PATIENCE_S)
        if answer is not None:
            body = json.dumps(answer).encode()
            with contextlib.suppress(OSError):  # the proxy has closed the connection
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        return watched


def table(board: str) -> dict[str, Any]:
    """A configuration that follows a notice board; empty: a list in the file."""
    operator_table = tomllib.loads(OPERATOR.read_text())
    del operator_table["eureka"], operator_table["websocket"]
    return operator_table | {"listen": "127.0.0.1:0", "board": board, "known": {"rev": 3, "notices": []}}


class Program:
    """A proxy process and its log."""

    def __init__(
        self,
        path: Path,
        command: Sequence[str] = (sys.executable, "-m", "capershelf", "serve"),
        sockets: int = 1024,
    ) -> None:
        environ = os.environ | {"NODE_CONFIG": str(path)}
        self.process = subprocess.Popen(command, env=environ, stderr=subprocess.PIPE, text=True)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        self.lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self.log: list[str] = []  # every line read so far
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line.rstrip())
            self.lines.put(line)

    def wait_for_log(self, text: str) -> None:
        """Read the log up to a line with this text."""
        while text not in self.lines.get(timeout=PATIENCE_S):
            pass


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Callable[[str], tuple[Program, Path]]]:
    started: list[Program] = []

    def start(board: str, **more: Any) -> tuple[Program, Path]:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(table(board) | more))
        started.append(Program(path))
        started[-1].wait_for_log("serves on")
        return started[-1], path

    yield start
    for program in started:
        program.process.kill()
        program.process.wait()


def test_sighup_switches_to_the_new_board_and_continues_the_event_numbers(
    run: Callable[[str], tuple[Program, Path]],
) -> None:
    old, new = BoardStandIn(), BoardStandIn()
    program, path = run(old.address)
    assert old.poll({"rev": 7, "notices": []}) == "3"
    assert old.poll() == "7"  # stays open: the old board sends nothing more
    path.write_text(json.dumps(table(new.address)))
    program.process.send_signal(signal.SIGHUP)
    assert new.poll({"rev": 9, "notices": []}) == "7"
    assert new.poll() == "9"
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(PATIENCE_S) == 0


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_until_the_very_end_of_a_stop_do_not_kill_the_process(
    run: Callable[[str], tuple[Program, Path]], number: signal.Signals
) -> None:
    program, _ = run("")
    program.process.send_signal(signal.SIGTERM)
    while program.process.poll() is None:  # the interpreter's own exit is a few milliseconds long
        program.process.send_signal(number)
        time.sleep(0.0005)
    assert program.process.returncode == 0


def signal_thread(process: subprocess.Popen[str], number: int) -> None:
    """Signal a thread other than the main one; the system may do so for a signal to the process."""
    other = next(int(tid) for tid in os.listdir(f"/proc/{process.pid}/task") if int(tid) != process.pid)
    assert ctypes.CDLL(None).tgkill(process.pid, other, number) == 0


def test_a_signal_is_handled_whichever_thread_receives_it(run: Callable[[str], tuple[Program, Path]]) -> None:
    old, new = BoardStandIn(), BoardStandIn()
    program, path = run(old.address)
    assert old.poll() == "3"
    path.write_text(json.dumps(table(new.address)))
    signal_thread(program.process, signal.SIGHUP)
    assert new.poll() == "3"
    signal_thread(program.process, signal.SIGTERM)
    assert program.process.wait(PATIENCE_S) == 0


def test_sighup_during_interpreter_startup_does_not_end_the_process(tmp_path: Path) -> None:
    """Uses the run command of the platform."""
    command = tomllib.loads((OPERATOR.parent / "balancer.toml").read_text())["run"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(table("")))
    program = Program(path, ["/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)])
    until(lambda: Path(f"/proc/{program.process.pid}/cmdline").read_text().startswith(sys.executable))
    program.process.send_signal(signal.SIGHUP)
    program.wait_for_log("serves on")
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(PATIENCE_S) == 0


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_signal_during_startup_is_handled_once_the_proxy_serves(
    tmp_path: Path, number: signal.Signals
) -> None:
    """The configuration file is a named pipe, which blocks the startup until the test writes to it."""
    path = tmp_path / "config.json"
    os.mkfifo(path)
    program = Program(path)
    config = os.open(path, os.O_WRONLY)  # returns once the proxy has opened it
    program.process.send_signal(number)
    os.write(config, json.dumps(table("")).encode())
    os.close(config)
    program.wait_for_log("serves on")
    program.wait_for_log("stop signal received")
    assert program.process.wait(PATIENCE_S) == 0


def test_a_stopping_proxy_follows_a_board_that_moves(run: Callable[..., tuple[Program, Path]]) -> None:
    """Two moves after SIGTERM, a truncated file before each; an established call keeps the proxy running."""
    old, new, newest, server = BoardStandIn(), BoardStandIn(), BoardStandIn(), BookingServer(False)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    target = {"uid": "s0", "endpoint": server.endpoint, "pod_group": 0, "state": "up", "boot_ms": 0}
    notice = {"rev": 3, "pool": {"rev": 3, "all": True, "targets": [target]}}
    more = {"listen": listen, "known": {"rev": 3, "notices": [notice]}}
    program, path = run(old.address, **more)
    assert old.poll() == "3"
    link = server.peer()
    caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
    caller.set_up("00000000000000a1")
    assert server.receive()["type"] == "setup"
    link.send("answer", "00000000000000a1", sdp="a")
    assert caller.receive()["type"] == "answer"
    program.process.send_signal(signal.SIGTERM)
    program.wait_for_log("stop signal received")
    for board in (new, newest):
        path.write_text(json.dumps(table(board.address) | more)[:60])
        program.process.send_signal(signal.SIGHUP)
        program.wait_for_log("the old one stays in force")
        path.write_text(json.dumps(table(board.address) | more))
        program.process.send_signal(signal.SIGHUP)
        assert board.poll() == "3"
    program.process.send_signal(signal.SIGTERM)  # a second SIGTERM has no effect
    caller.send("release", "00000000000000a1", cause=16)
    assert program.process.wait(PATIENCE_S) == 0


@pytest.mark.parametrize("content", ["", "{", "[]", '{"board": 5}', '{"settings": {}}'])
def test_an_invalid_file_leaves_the_old_configuration_in_force(
    run: Callable[[str], tuple[Program, Path]], content: str
) -> None:
    board, new = BoardStandIn(), BoardStandIn()
    program, path = run(board.address)
    assert board.poll() == "3"
    path.write_text(content)
    program.process.send_signal(signal.SIGHUP)
    program.wait_for_log("the old one stays in force")
    path.write_text(json.dumps(table(new.address)))  # a valid file is applied later
    program.process.send_signal(signal.SIGHUP)
    assert new.poll() == "3"


def test_reload_applies_a_list_in_the_file_and_ignores_changes_that_need_a_restart() -> None:
    def listing(number: int, state: str) -> dict[str, Any]:
        target = {"uid": "s0", "endpoint": "127.0.0.1:9", "pod_group": 0, "state": state, "boot_ms": 0}
        notice = {"rev": number, "pool": {"rev": number, "all": True, "targets": [target]}}
        return {"rev": number, "notices": [notice]}

    first = table("") | {"known": listing(1, "up"), "listen": "127.0.0.1:0"}
    node = Node(configuration.read(first, {}), ManualClock())
    planner = node.planners[0]
    while not planner.inbox.empty():
        planner.step()
    assert not planner._server_states["s0"].removed
    node.reload(configuration.read(first | {"known": listing(2, "removed"), "planners": 2}, {}))
    while not planner.inbox.empty():
        planner.step()
    assert planner._server_states["s0"].removed
    assert node.config.planners == 1
    node.reload(configuration.read(first | {"board": "127.0.0.1:9"}, {}))
    assert node.config.board == ""
    planner.servers.close("s0")
    node.fronts[0].stop_accepting()


def test_a_move_to_another_eureka_fetches_the_list_and_registers_there() -> None:
    asked: list[tuple[str, str]] = []
    config = EurekaRegistry("http://127.0.0.1:1/eureka", "BOOKING", "PROXY", 1000.0, 5000.0)
    eureka = Eureka(config, "p1", "127.0.0.1:5060", ManualClock(), lambda news: None)

    def request(method: str, path: str, *_: Any) -> tuple[int, bytes]:
        asked.append((method, path))
        return (204, b"") if method == "POST" else (200, b'{"applications":{"apps__hashcode":""}}')

    eureka._client.request = request  # type: ignore[method-assign,assignment]
    eureka.renew()
    eureka.fetch()
    eureka._switch_registry("http://127.0.0.1:2/other")
    eureka.renew()
    eureka.fetch()
    assert asked == [
        ("POST", "/eureka/apps/PROXY"),
        ("GET", "/eureka/apps"),
        ("POST", "/other/apps/PROXY"),
        ("GET", "/other/apps"),
    ]
    assert eureka._client._endpoint == "127.0.0.1:2"
