"""Stand-ins for the cases 6 to 10: booking servers, a notice board, callers, and a process of the program.

They use the standard library alone and follow the protocol page.  Every address is one of 127.0.0.0/8.  One
asyncio loop runs all stand-ins of a case; each process of the program is started by the command `run` of
deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit status
READY_S = 30.0  # for a process of the program to pass its first test
# An address for this run alone, so that scripts that run side by side don't take each other's ports.
HOST = f"127.{64 + os.getpid() % 64}.{os.getpid() // 64 % 256}.{random.randrange(1, 255)}"
ZONES = "oslo", "bergen", "trondheim", "tromso"  # of vestland-roster
REPORT_INTERVAL_S = 1.0  # told_ms of the deployments
MAX_LINE_BYTES = 1 << 17


class CaseError(Exception):
    """The case could not run."""


def now_ms() -> float:
    """The system's Unix clock in milliseconds."""
    return time.time() * 1000.0


def free_port(host: str) -> int:
    """A free TCP port of this loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Record:
    """Writes record.txt: a line for each event, with the time in milliseconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.start_ms = now_ms()
        self._file = (folder / "record.txt").open("w")
        self.line(f"trouble {'on' if TROUBLE else 'off'}")

    def line(self, text: str) -> None:
        """Append a line."""
        self._file.write(f"{now_ms() - self.start_ms:10.1f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Append a line and print it."""
        self.line(text)
        print(text, flush=True)


def settings(proxies: int, pools: int) -> dict[str, Any]:
    """The settings as the platform gives them: the example of the wire page, for a small deployment."""
    zones = ["ljubljana", "frankfurt", "amsterdam", "madrid"]
    names = {
        "dedup-scope": "all",
        "effect": "read_like",
        "stream": True,
        "window": 5000.0,
        "deadline": 9000.0,
    }
    reach = list(range(pools))
    return {
        "bounds": {
            "cancel": True,
            "connect-timeout": 500.0,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 300000,
            "idle-close": 600000.0,
            "max-attempts": 6,
            "max-open": 20000,
            "max-retry-after": 2000.0,
            "may-duplicate": False,
            "may-probe": True,
            "multiplex": 1048576,
            "peers": False,
            "retry-after": True,
        },
        "categories": [
            names | {"name": "slot-lookup", "aim": 2000.0, "credit": 1.0, "late-worth": 0.1},
            names | {"name": "slot-confirm", "aim": 1500.0, "credit": 3.0, "late-worth": 0.25},
        ],
        "clients": {"marks-retry": True},
        "contract": {
            "answer-slack": 20.0,
            "ask-within": 10000.0,
            "cold-from": 0.3,
            "drain-grace": 2000.0,
            "fall": 1000.0,
            "ramp-time": 14000.0,
            "tip-multiple": 3.0,
        },
        "counted-by": "request",
        "family": "trunks",
        "family-info": {
            "call-length": [7700.0, 11600.0],
            "channels-needed": [1, 1],
            "far-reports": "piggyback",
            "here": -1,
            "pools-by-class": [reach, reach],
            "release": 200.0,
            "route-advice": False,
            "says-wait": False,
            "t1": 500.0,
            "topology": "groups",
        },
        "group-size": proxies,
        "kinds": ["one-core"],
        "over-share-worth": 0.1,
        "period": 5.0,
        "registry-mode": "automatic",
        "slot-no": 0,
        "telemetry": {"fields": ["spare", "total", "allowed"], "via": "piggyback"},
        "tenants": [],
        "tier": 0,
        "tiers": ["booking-servers"],
        "weights": "silent",
        "zone": zones[0],
        "zones": zones,
    }


VESTLAND_CLASSES = "read-roster", "save-roster"


def vestland_settings(proxies: int, pools: int) -> dict[str, Any]:
    """The settings of the deployment vestland-roster, where proxies may not test booking servers."""
    found = settings(proxies, pools)
    found |= {
        "zone": ZONES[0],
        "zones": list(ZONES),
        "tiers": ["roster-servers"],
        "kinds": ["standard-1core"],
    }
    found["bounds"] |= {"may-probe": False}
    found["contract"] |= {"cold-from": 0.29, "drain-grace": 1000.0, "fall": 1500.0, "tip-multiple": 2.5}
    found["family-info"] |= {"call-length": [8700.0, 7000.0], "release": 500.0, "t1": 800.0}
    found["telemetry"] |= {"fields": ["spare", "total", "recent_ms", "allowed"]}
    for entry, name, late in zip(found["categories"], VESTLAND_CLASSES, (0.25, 0.1), strict=True):
        entry |= {"name": name, "aim": 1500.0, "late-worth": late}
    return found


def message(kind: str, call: str, **more: Any) -> bytes:
    """A message as a JSON line."""
    return json.dumps({"type": kind, "id": call, "fields": {}} | more).encode() + b"\n"


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """The next line, or nothing at the end of the connection, whatever ended it."""
    try:
        return await reader.readline()
    except (OSError, ValueError):
        return b""


class BookingServer:
    """A booking server with room for every call: it answers after answer_ms and ends calls after hold_s.

    refuse: answers each set-up with cause 34 and the note `acc` instead.
    """

    def __init__(
        self, record: Record, uid: str, pool: int, host: str, answer_ms: float, hold_s: float
    ) -> None:
        self.record, self.uid, self.pool = record, uid, pool
        self.answer_ms, self.hold_s, self.refuse, self.reports_wait = answer_ms, hold_s, False, False
        self.host, self.port, self.zone = host, free_port(host), "ljubljana"
        self.setups: list[tuple[float, str]] = []  # when each set-up had arrived, and its call
        self.made: dict[str, str] = {}  # the descriptions that it has given, by call
        self._calls: dict[str, asyncio.StreamWriter] = {}
        self._open: dict[asyncio.StreamWriter, set[str]] = {}
        self._unsent: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._random = random.Random(uid)
        self.boot_ms = 0
        self.lost_ms: dict[str, float] = {}  # calls that stood when the machine vanished, and when
        self.ended_ms: dict[str, float] = {}  # when each call came to its end here
        self.hung = False  # the processor takes set-ups and answers nothing; reports go on
        self._dark = False
        self._fillers: list[socket.socket] = []
        self._listener = socket.socket()

    @property
    def endpoint(self) -> str:
        """host:port."""
        return f"{self.host}:{self.port}"

    def target(self, state: str = "up") -> dict[str, Any]:
        """Its entry in an event of the notice board."""
        return {
            "uid": self.uid,
            "endpoint": self.endpoint,
            "az": self.zone,
            "model": "std",
            "pod_group": self.pool,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": self.boot_ms,
        }

    async def start(self) -> None:
        """Listen, and send a report on the open connections at even intervals."""
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.host, self.port))
        self._listener.listen(128)
        self._listener.setblocking(False)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)
        self._later(self._send_reports())

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, _ = self._listener.accept()
                sock.setblocking(False)
                self._later(self._admit(sock))

    async def _admit(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock, limit=MAX_LINE_BYTES)
        await self._serve(reader, writer)

    def stop(self) -> None:
        """End: stop listening and reset the connections, as when the process ends."""
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        for writer in list(self._open):
            writer.transport.abort()
        self._calls.clear()

    def vanish(self) -> None:
        """The machine vanishes: open connections stay open and silent, and new ones never come up.

        The accept queue is filled, so that the system drops further requests for a connection.
        """
        self._accept()
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._fillers.append(filler)
        self._dark = True
        for writer in self._open:
            writer.transport.pause_reading()
            self._open[writer].clear()
        self.lost_ms |= dict.fromkeys(self._calls, now_ms())
        self._calls.clear()
        self._unsent.clear()
        self.record.line(f"{self.uid} vanishes with {len(self.lost_ms)} calls")

    def return_cold(self) -> None:
        """The machine is back with a new process, which resets what it does not know."""
        self._dark, self.boot_ms = False, int(now_ms())
        for writer in list(self._open):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._listener.listen(128)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)
        self.record.line(f"{self.uid} is back")

    def _later(self, action: Any) -> None:
        task = asyncio.ensure_future(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _load(self) -> dict[str, str]:
        report = f"spare:{400 - len(self._calls)};total:400;allowed:200"
        return {"load": report + (";recent_ms:0" if self.reports_wait else "")}

    async def _send_reports(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            for writer in [] if self._dark else list(self._open)[:4]:
                writer.write(message("state", "0" * 16, fields=self._load()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open[writer] = set()
        writer.write(message("state", "0" * 16, fields=self._load()))
        unsent, self._unsent = self._unsent, []
        for call in unsent:
            writer.write(message("release", call, cause=16, fields=self._load()))
        while line := await read_line(reader):
            found = json.loads(line)
            kind, call = found["type"], found["id"]
            if kind == "setup":
                self.setups.append((now_ms(), call))
                self.record.line(f"{self.uid} got set-up {call}")
                self._open[writer].add(call)
                self._later(self._answer(call, writer))
            elif kind == "release":
                self.record.line(f"{self.uid} got release {call} cause {found.get('cause')}")
                self._open[writer].discard(call)
                self._calls.pop(call, None)
                writer.write(message("released", call))
            elif kind == "ping" and not self.hung:
                writer.write(message("pong", call, cause=1, fields=self._load()))
        self._open.pop(writer, None)  # what was open on it is given up
        writer.close()

    async def _answer(self, call: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.answer_ms / 1000.0)
        while self.hung:
            await asyncio.sleep(0.02)
        if call not in self._open.get(writer, ()):
            return
        self._open[writer].discard(call)
        if self.refuse:
            self.record.line(f"{self.uid} refuses {call}")
            writer.write(message("release", call, cause=34, fields=self._load() | {"note": "acc"}))
            return
        self.made[call] = f"made at {self.uid} for {call}\r\n"
        self._calls[call] = writer
        self.record.line(f"{self.uid} answers {call}")
        writer.write(message("answer", call, sdp=self.made[call], fields=self._load()))
        await asyncio.sleep(self.hold_s * self._random.uniform(0.7, 1.3))
        if call not in self._calls:
            return
        self.ended_ms[call] = now_ms()
        self.record.line(f"{self.uid}: {call} has come to its end")
        while self.hung:
            await asyncio.sleep(0.02)
        if self._calls.pop(call, None) is None:
            return
        self.record.line(f"{self.uid} ends {call}")
        open_ones = [writer] if writer in self._open else list(self._open)
        if open_ones:
            open_ones[0].write(message("release", call, cause=16, fields=self._load()))
        else:
            self._unsent.append(call)


class Board:
    """The notice board.  busy_ms: how long it takes to come to a request, as when it is crowded."""

    def __init__(self, record: Record, host: str) -> None:
        self.record, self.host, self.port, self.busy_ms = record, host, free_port(host), 0.0
        self.notices: list[dict[str, Any]] = []
        self.told_ms: dict[str, float] = {}  # when each state was put in, by `uid state`
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def known(self) -> dict[str, Any]:
        """The events so far."""
        return {"rev": len(self.notices), "notices": list(self.notices)}

    def put(self, *targets: dict[str, Any]) -> None:
        """Add an event; the first one holds the whole list."""
        number = len(self.notices) + 1
        pool = {"rev": number, "all": number == 1, "targets": list(targets)}
        self.notices.append({"rev": number, "pool": pool})
        for target in targets:
            self.told_ms[f"{target['uid']} {target['state']}"] = now_ms()
            self.record.line(f"board: event {number}: {target['uid']} is {target['state']}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while line := await read_line(reader):
                while (await read_line(reader)).strip():
                    pass
                path = line.decode().split()[1]
                query = dict(pair.split("=") for pair in path.partition("?")[2].split("&"))
                watch, linger_ms = int(query["watch"]), min(5000.0, float(query["linger"]))
                self.record.line(f"board: asked {path}")
                due_ms = now_ms() + linger_ms
                await asyncio.sleep(self.busy_ms / 1000.0)
                while len(self.notices) <= watch and now_ms() < due_ms:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), (due_ms - now_ms()) / 1000.0)
                answer = {"rev": len(self.notices), "notices": self.notices[watch:]}
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
                self.record.line(f"board: answered {path} with rev {answer['rev']}")
        writer.close()


class Proxy:
    """A process of the program, started by the command `run` of the deploy file."""

    def __init__(self, folder: Path, name: str, table: dict[str, Any], options: str = "") -> None:
        config = folder / f"{name}.json"
        environ = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        environ |= {"NODE_NAME": name, "TMPDIR": str(folder)}
        if table:
            config.write_text(json.dumps(table))
            environ |= {"NODE_CONFIG": str(config), "NODE_LISTEN": table["listen"]}
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = folder / f"{name}.log"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run + options], cwd=ROOT, env=environ, stdout=log, stderr=log
            )

    def stop(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    async def wait_ready(self, host: str, port: int) -> None:
        """Wait until the process passes a test; CaseError if it ends or is not ready in time."""
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CaseError(f"the process has ended:\n{self.log.read_text()[-2000:]}")
            with contextlib.suppress(OSError, ValueError, TimeoutError):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(message("ping", "0" * 16, cause=0))
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if json.loads(line).get("type") == "pong":
                    return
            await asyncio.sleep(0.1)
        raise CaseError("the process was not ready in time")


def platform_table(name: str, listen: str, board: Board, found: dict[str, Any]) -> dict[str, Any]:
    """The configuration that the platform gives a proxy."""
    return {
        "name": name,
        "listen": listen,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "board": f"{board.host}:{board.port}",
        "known": board.known,
        "settings": found,
    }


def new_id() -> str:
    """A new call id."""
    return os.urandom(8).hex()


def set_up(call: str, kind: str, left_ms: float, dest: int, description: str = "") -> dict[str, Any]:
    """A caller's set-up."""
    return {
        "type": "setup",
        "id": call,
        "fields": {
            "class": kind,
            "left": f"{left_ms:.0f}",
            "key": os.urandom(8).hex(),
            "extras": f"dest:{dest};width:1;via:-1",
        },
        "sdp": description or f"{call}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
    }


class Caller:
    """A client on one connection; received: what came, by call, as (time, message)."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.received: dict[str, list[tuple[float, dict[str, Any]]]] = {}
        self.sent_ms: dict[str, float] = {}
        self.closed = False
        self.on_message: Callable[[dict[str, Any]], None] = lambda found: None
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self, host: str, port: int, own_host: str = HOST) -> None:
        """Connect from own_host, and read from then on."""
        reader, self._writer = await asyncio.open_connection(
            host, port, local_addr=(own_host, 0), limit=MAX_LINE_BYTES
        )
        self.closed = False
        self.record.line(f"{self.name} connects from {own_host}")
        self._task = asyncio.ensure_future(self._read(reader))

    async def _next(self, reader: asyncio.StreamReader) -> bytes:
        return await read_line(reader)

    def _frame(self, data: bytes) -> bytes:
        return data + b"\n"

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while line := await self._next(reader):
            found = json.loads(line)
            if found["type"] in ("answer", "release"):
                cause = f" cause {found['cause']}" if "cause" in found else ""
                self.record.line(f"{self.name} receives {found['type']} {found['id']}{cause}")
                self.received.setdefault(found["id"], []).append((now_ms(), found))
            self.on_message(found)
        self.closed = True
        self.record.line(f"{self.name}: connection ended")

    def send(self, *messages: dict[str, Any]) -> None:
        """Send the messages in one piece."""
        assert self._writer is not None
        for one in messages:
            cause = f" cause {one['cause']}" if "cause" in one else ""
            self.record.line(f"{self.name} sends {one['type']} {one['id']}{cause}")
            if one["type"] == "setup":
                self.sent_ms[one["id"]] = now_ms()
        with contextlib.suppress(OSError):
            self._writer.write(b"".join(self._frame(json.dumps(one).encode()) for one in messages))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class WebSocketCaller(Caller):
    """A client of the WebSocket front (RFC 6455); it answers pings and sends a close frame when it closes."""

    async def connect(self, host: str, port: int, own_host: str = HOST) -> None:
        """Connect from own_host and shake hands, and read from then on."""
        reader, self._writer = await asyncio.open_connection(
            host, port, local_addr=(own_host, 0), limit=MAX_LINE_BYTES
        )
        key = base64.b64encode(os.urandom(16)).decode()
        self._writer.write(
            f"GET / HTTP/1.1\r\nHost: {host}:{port}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n\r\n".encode()
        )
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        if not head.startswith(b"HTTP/1.1 101"):
            raise CaseError(f"no WebSocket: {head[:80]!r}")
        self.closed = False
        self.record.line(f"{self.name} connects from {own_host}")
        self._task = asyncio.ensure_future(self._read(reader))

    def _control(self, opcode: int, payload: bytes) -> bytes:
        mask = os.urandom(4)
        data = bytes(byte ^ mask[index % 4] for index, byte in enumerate(payload))
        if len(payload) < 126:
            return struct.pack("!BB", 0x80 | opcode, 0x80 | len(payload)) + mask + data
        return struct.pack("!BBH", 0x80 | opcode, 0x80 | 126, len(payload)) + mask + data

    def _frame(self, data: bytes) -> bytes:
        return self._control(0x1, data)

    async def _next(self, reader: asyncio.StreamReader) -> bytes:
        assert self._writer is not None
        try:
            while True:
                first, length = await reader.readexactly(2)
                if length == 126:
                    (length,) = struct.unpack("!H", await reader.readexactly(2))
                payload = await reader.readexactly(length)
                if first & 0x0F == 0x1:
                    return payload
                if first & 0x0F == 0x9:
                    self._writer.write(self._control(0xA, payload))
                if first & 0x0F == 0x8:
                    self._writer.write(self._control(0x8, payload))
                    return b""
        except (OSError, asyncio.IncompleteReadError):
            return b""

    def close(self) -> None:
        """Close the WebSocket normally."""
        if self._writer is not None:
            self._writer.write(self._control(0x8, struct.pack("!H", 1000)))
            self._writer.close()


class Case:
    """What a case works with; the processes that it started are ended with it."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self._proxies: list[Proxy] = []

    def start_proxy(self, name: str, table: dict[str, Any], options: str = "") -> Proxy:
        """Start a process of the program."""
        proxy = Proxy(self.folder, name, table, options)
        self._proxies.append(proxy)
        self.record.line(f"{name} started")
        return proxy

    def check_running(self) -> None:
        """CaseError if a process of the program has ended."""
        for proxy in self._proxies:
            if proxy.process.poll() is not None:
                raise CaseError(f"a process has ended:\n{proxy.log.read_text()[-2000:]}")

    def stop(self) -> None:
        """End the processes, and keep what they logged in the record."""
        for proxy in self._proxies:
            proxy.stop()
            for line in proxy.log.read_text(errors="replace").splitlines():
                self.record.line(f"log of {proxy.log.stem}: {line}")


def run_case(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    play returns a line for each breach.
    """
    record = Record(folder)
    status = NOT_RUN
    sys.unraisablehook = lambda _: None  # of connections that are still open when the loop is closed
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(record, Path(temporary))

        def ended_from_outside(number: int, frame: object) -> None:
            record.say(f"ended by signal {number}")
            case.stop()
            os._exit(NOT_RUN)

        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, ended_from_outside)

        async def limited() -> list[str]:
            return await asyncio.wait_for(play(case), 110.0)

        try:
            breaches = asyncio.run(limited())
            case.check_running()
            for breach in breaches[:20]:
                record.say(f"BROKEN: {breach}")
            status = BROKEN if breaches else HELD
            record.say(f"{len(breaches)} breaches of the rule" if breaches else "the rule held")
        except Exception:
            record.say(f"the case could not run: {traceback.format_exc()}")
        finally:
            case.stop()
    sys.stdout.flush()
    os._exit(status)
