"""Start-up cost on a fraction of a core: `serve` imports only what it needs, and modules are precompiled."""

from __future__ import annotations

import json
import queue
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from capershelf.net.addresses import parse_endpoint, resolve
from capershelf.net.framing import Lines
from tests.peers import PATIENCE_S, BookingServer, Peer
from tests.test_reload import BoardStandIn, Program, table

ROOT = Path(__file__).parent.parent
STARTS = 16
# Each of these took a tenth or more of the start-up time, or belongs to a feature that is disabled.
UNUSED = (
    "importlib.metadata",
    "capershelf.memory",
    "capershelf.stream",
    "capershelf.subset",
    "capershelf.commands.control",
    "capershelf.commands.memory",
    "cryptography",
    "msgspec",
    "numpy",
    "rich",
    "capershelf.benchlink",
)


def test_serve_imports_no_unused_module() -> None:
    code = "import sys, capershelf.cli, capershelf.node; print(*sorted(sys.modules))"
    process = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=100, check=True
    )
    imported = process.stdout.split()
    assert "capershelf.core.planner" in imported
    assert not set(UNUSED) & set(imported)


def test_the_build_leaves_every_module_compiled(tmp_path: Path) -> None:
    """The platform's files are read-only: a module that is not precompiled is compiled at every start."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    compile_command = build.rpartition("&& ")[2].replace(".venv/bin/python", sys.executable)
    without_cache = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "capershelf", tmp_path / "capershelf", ignore=without_cache)
    subprocess.run(["/bin/sh", "-c", compile_command], cwd=tmp_path, timeout=100, check=True)
    sources = list((tmp_path / "capershelf").rglob("*.py"))
    compiled = {path.name.partition(".")[0] for path in (tmp_path / "capershelf").rglob("*.pyc")}
    assert len(sources) > 50 and {path.stem for path in sources} <= compiled


def test_nothing_is_imported_once_threads_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Threads that import a module wait for each other's import locks and delay the start.

    Guards against the idna codec, which name resolution imported at the first connection to any address.
    """
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    board, server = BoardStandIn(), BookingServer(False)
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    target = {"uid": "s0", "endpoint": server.endpoint, "pod_group": 0, "state": "up", "boot_ms": 0}
    notice = {"rev": 3, "pool": {"rev": 3, "all": True, "targets": [target]}}
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(table(board.address) | {"listen": listen, "known": {"rev": 3, "notices": [notice]}})
    )
    program = Program(path)
    try:
        program.wait_for_log("capershelf.cli")
        program.wait_for_log("serves on")
        assert board.poll() == "3"
        link = server.peer()
        caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
        caller.set_up("00000000000000a1")
        assert server.receive()["type"] == "setup"
        link.send("answer", "00000000000000a1", sdp="a")
        assert caller.receive()["type"] == "answer"
        caller.send("release", "00000000000000a1", cause=16)
        program.process.send_signal(signal.SIGHUP)
        program.wait_for_log("read again")
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(PATIENCE_S) == 0
    finally:
        program.process.kill()
        program.process.wait()
    program.wait_for_log("has answered all it took")
    log = program.log
    last = max(number for number, line in enumerate(log) if line.endswith("| capershelf.cli"))
    assert [line for line in log[last + 1 :] if line.startswith("import time:")] == []


def test_numeric_addresses_and_names_are_resolved_and_malformed_ones_rejected() -> None:
    assert resolve("127.0.0.1", 80)[0][4] == ("127.0.0.1", 80)
    assert resolve("::1", 80)[0][4][:2] == ("::1", 80)
    assert ("127.0.0.1", 80) in [one[4] for one in resolve("localhost", 80)]
    with pytest.raises(OSError):
        resolve("127.0.0.1.5.5", 80, socket.AI_NUMERICHOST)


def test_all_of_many_proxies_that_start_at_once_serve(tmp_path: Path) -> None:
    """On one machine; every proxy that listens must also answer."""
    programs, listens = [], []
    for number in range(STARTS):
        with socket.create_server(("127.0.0.1", 0)) as free:
            listens.append(f"127.0.0.1:{free.getsockname()[1]}")
        path = tmp_path / f"{number}.json"
        path.write_text(json.dumps(table("") | {"listen": listens[-1]}))
        programs.append(Program(path))
    try:
        for program, listen in zip(programs, listens, strict=True):
            program.wait_for_log("serves on")
            caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
            caller.send("ping", "00000000000000a1", cause=0)
            assert caller.receive()["cause"] == 1
    finally:
        for program in programs:
            program.process.kill()
            program.process.wait()
