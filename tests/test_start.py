"""A start on a share of a core: nothing is imported that `serve` has no use for, nothing is compiled anew."""

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
# Each of these cost a start a tenth or more of its time once, or belongs to a part that is off.
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


def test_serve_imports_nothing_that_it_has_no_use_for() -> None:
    code = "import sys, capershelf.cli, capershelf.node; print(*sorted(sys.modules))"
    ran = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=100, check=True
    )
    found = ran.stdout.split()
    assert "capershelf.core.planner" in found
    assert not set(UNUSED) & set(found)


def test_the_build_leaves_every_module_compiled(tmp_path: Path) -> None:
    """Where the files are read-only, as on the platform, each start would compile all of them again."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    compiling = build.rpartition("&& ")[2].replace(".venv/bin/python", sys.executable)
    bare = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "capershelf", tmp_path / "capershelf", ignore=bare)
    subprocess.run(["/bin/sh", "-c", compiling], cwd=tmp_path, timeout=100, check=True)
    sources = list((tmp_path / "capershelf").rglob("*.py"))
    compiled = {path.name.partition(".")[0] for path in (tmp_path / "capershelf").rglob("*.pyc")}
    assert len(sources) > 50 and {path.stem for path in sources} <= compiled


def test_nothing_is_imported_once_threads_run(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Threads that import, or load a library, wait for the others' locks in the middle of a start: connecting
    to the first address brought the codec for international names in, whatever the address was."""
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
        program.says("capershelf.cli")
        program.says("serves on")
        assert board.poll() == "3"
        link = server.peer()
        caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
        caller.set_up("00000000000000a1")
        assert server.receive()["type"] == "setup"
        link.send("answer", "00000000000000a1", sdp="a")
        assert caller.receive()["type"] == "answer"
        caller.send("release", "00000000000000a1", cause=16)
        program.process.send_signal(signal.SIGHUP)
        program.says("read again")
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(PATIENCE_S) == 0
    finally:
        program.process.kill()
        program.process.wait()
    program.says("has answered all it took")
    log = program.log
    last = max(number for number, line in enumerate(log) if line.endswith("| capershelf.cli"))
    assert [line for line in log[last + 1 :] if line.startswith("import time:")] == []


def test_an_address_is_found_for_numbers_and_names_and_for_no_nonsense() -> None:
    assert resolve("127.0.0.1", 80)[0][4] == ("127.0.0.1", 80)
    assert resolve("::1", 80)[0][4][:2] == ("::1", 80)
    assert ("127.0.0.1", 80) in [one[4] for one in resolve("localhost", 80)]
    with pytest.raises(OSError):
        resolve("127.0.0.1.5.5", 80, socket.AI_NUMERICHOST)


def test_of_many_starts_at_once_each_serves(tmp_path: Path) -> None:
    """All at once on one machine: none may come up and then answer nobody."""
    programs, listens = [], []
    for number in range(STARTS):
        with socket.create_server(("127.0.0.1", 0)) as free:
            listens.append(f"127.0.0.1:{free.getsockname()[1]}")
        path = tmp_path / f"{number}.json"
        path.write_text(json.dumps(table("") | {"listen": listens[-1]}))
        programs.append(Program(path))
    try:
        for program, listen in zip(programs, listens, strict=True):
            program.says("serves on")
            caller = Peer(socket.create_connection(parse_endpoint(listen)), Lines(), queue.SimpleQueue())
            caller.send("ping", "00000000000000a1", cause=0)
            assert caller.receive()["cause"] == 1
    finally:
        for program in programs:
            program.process.kill()
            program.process.wait()
