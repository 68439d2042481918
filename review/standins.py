"""Stand-ins for the cases: booking servers, a notice board, clients, and one proxy process.

Everything runs on one asyncio loop and on loopback addresses.  Times are Unix milliseconds; the record holds
one JSON object a line with the time since the start of the play in milliseconds.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import copy
import json
import logging
import os
import secrets
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
READ_BYTES = 65536
SLACK_MS = 50.0  # every time limit of the protocol is this much longer on sockets
# Hosts of this play alone, so that plays side by side can't take each other's ports for their own.
NETWORK = f"127.{64 + secrets.randbelow(190)}.{1 + secrets.randbelow(254)}"
PROXY, SERVER, BOARD, CLIENT, PATH = 10, 20, 50, 60, 90  # the first host of each kind


def now_ms() -> float:
    return time.time() * 1000.0


def host(kind: int, number: int = 0) -> str:
    """The address of one of this play's hosts, on loopback."""
    return f"{NETWORK}.{kind + number}"


def trouble() -> bool:
    """Whether the disruption is played; TROUBLE=0 turns it off."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self.began_ms = now_ms()

    def note(self, who: str, what: str, **more: Any) -> None:
        line = {"ms": round(now_ms() - self.began_ms, 1), "who": who, "what": what} | more
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Note a line of the verdict, and print it."""
        self.note("judge", text)
        print(text, flush=True)


def encode(kind: str, call: str, **more: Any) -> bytes:
    return json.dumps({"type": kind, "id": call, "fields": {}} | more).encode() + b"\n"


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class ServerConnection:
    """A proxy's connection to a booking server."""

    def __init__(self, server: BookingServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.server, self.reader, self.writer = server, reader, writer
        self.open = True

    def send(self, data: bytes) -> None:
        if self.open:
            self.writer.write(data)


class BookingServer:
    """A booking server that answers each set-up after a short time and ends calls by itself."""

    def __init__(
        self,
        record: Record,
        uid: str,
        pool: int,
        host: str,
        hold_s: Callable[[], float] = lambda: 9.0,
        answer_ms: float = 8.0,
        lines: int = 400,
        per_s: float = 60.0,
        report_ms: float = 1000.0,
        reports_wait: bool = False,  # where the settings name recent_ms
    ) -> None:
        self.record, self.uid, self.pool, self.host = record, uid, pool, host
        self.hold_s, self.answer_ms, self.lines, self.per_s = hold_s, answer_ms, lines, per_s
        self.report_ms, self.reports_wait = report_ms, reports_wait
        self.state, self.boot_ms = "up", 0
        self.alive = True
        self.connections: list[ServerConnection] = []
        self.setting_up: dict[str, ServerConnection] = {}
        self.standing: dict[str, float] = {}  # since when, by call
        self.ended: dict[str, tuple[float, str]] = {}  # when a standing call ended, and how
        self.set_ups: list[tuple[float, str]] = []  # arrival, call
        self.owed: list[bytes] = []  # releases that are sent on the next connection as well
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._accepting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._sock = socket.create_server((host, 0), backlog=64)
        self._sock.setblocking(False)
        self.endpoint = f"{host}:{self._sock.getsockname()[1]}"

    # -- listening ------------------------------------------------------------------------------------
    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._accepting = loop.create_task(self._accept())
        loop.call_later(self.report_ms / 1000.0, self._report_all)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader, writer = await asyncio.open_connection(sock=sock)
            connection = ServerConnection(self, reader, writer)
            self.connections.append(connection)
            self.record.note(self.uid, "connection up")
            connection.send(self.state_message())
            for data in self.owed:
                connection.send(data)
            self.owed.clear()
            task = loop.create_task(self._serve(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def load(self) -> dict[str, str]:
        taken = len(self.standing) + len(self.setting_up)
        wait = ";recent_ms:0" if self.reports_wait else ""
        return {"load": f"spare:{self.lines - taken};total:{self.lines}{wait};allowed:{self.per_s:.0f}"}

    def state_message(self) -> bytes:
        """The state of the group of lines, which comes unasked: the figures of the processor are -1."""
        taken = len(self.standing) + len(self.setting_up)
        wait = ";recent_ms:-1" if self.reports_wait else ""
        load = f"spare:{self.lines - taken};total:{self.lines}{wait};allowed:-1"
        return encode("state", "0" * 16, fields={"load": load})

    def _report_all(self) -> None:
        if self.alive:
            for connection in self.connections:
                connection.send(self.state_message())
        asyncio.get_running_loop().call_later(self.report_ms / 1000.0, self._report_all)

    def die(self) -> None:
        """The process ends: connections are reset, calls are cut, nothing listens."""
        self.alive = False
        for timer in self._timers.values():
            timer.cancel()
        for call in list(self.standing):
            self._end(call, "died")
        self.setting_up.clear()
        self.owed.clear()
        for connection in self.connections:
            connection.open = False
            reset(connection.writer)
        self.connections.clear()
        assert self._accepting is not None
        self._accepting.cancel()
        self._sock.close()

    # -- messages -------------------------------------------------------------------------------------
    async def _serve(self, connection: ServerConnection) -> None:
        buffered = b""
        with contextlib.suppress(OSError):
            while True:
                data = await connection.reader.read(READ_BYTES)
                if not data:
                    break
                *lines, buffered = (buffered + data).split(b"\n")
                for line in lines:
                    self.on_message(connection, json.loads(line))
        connection.open = False
        if connection in self.connections:
            self.connections.remove(connection)
            self.record.note(self.uid, "connection closed")
        for call, owner in list(self.setting_up.items()):
            if owner is connection:
                del self.setting_up[call]
                self.record.note(self.uid, "set-up given up with its connection", call=call)
        with contextlib.suppress(OSError):
            connection.writer.close()

    def on_message(self, connection: ServerConnection, message: dict[str, Any]) -> None:
        kind, call = message["type"], message["id"]
        if kind == "ping":
            connection.send(encode("pong", call, cause=1, fields=self.load()))
        elif kind == "setup":
            self.record.note(self.uid, "set-up received", call=call, left=message["fields"].get("left"))
            self.set_ups.append((now_ms(), call))
            self.setting_up[call] = connection
            self.handle_set_up(connection, call)
        elif kind == "release":
            self.record.note(self.uid, "release received", call=call, cause=message.get("cause"))
            self.setting_up.pop(call, None)
            if call in self.standing:
                self._end(call, "released by the proxy")
            connection.send(encode("released", call))

    def handle_set_up(self, connection: ServerConnection, call: str) -> None:
        asyncio.get_running_loop().call_later(self.answer_ms / 1000.0, self.answer, connection, call)

    def answer(self, connection: ServerConnection, call: str) -> None:
        if self.setting_up.get(call) is not connection:
            return
        del self.setting_up[call]
        self.standing[call] = now_ms()
        self.record.note(self.uid, "answer sent, the call stands", call=call)
        description = f"made at {self.uid} for {call}\r\n"
        connection.send(encode("answer", call, sdp=description, fields=self.load()))
        timer = asyncio.get_running_loop().call_later(self.hold_s(), self.finish, call, connection)
        self._timers[call] = timer

    def _end(self, call: str, how: str) -> None:
        self.ended[call] = (now_ms(), how)
        del self.standing[call]
        if (timer := self._timers.pop(call, None)) is not None:
            timer.cancel()
        self.record.note(self.uid, "call over", call=call, how=how)

    def finish(self, call: str, connection: ServerConnection) -> None:
        """The call has come to its end: release it on its connection, or any, and on the next one."""
        if call not in self.standing:
            return
        data = encode("release", call, cause=16, fields=self.load())
        taken = connection if connection.open else next((c for c in self.connections if c.open), None)
        self._end(call, "came to its end, released" if taken is not None else "came to its end, not sent yet")
        if taken is not None:
            taken.send(data)
        self.owed.append(data)


class NoticeBoard:
    """The notice board of one proxy.  turn_s: how long each poll waits in turn before it is looked at."""

    def __init__(self, record: Record, host: str) -> None:
        self.record, self.host = record, host
        self.events: list[dict[str, Any]] = []
        self.turn_s = 0.0
        self.asked: list[float] = []  # when the proxy sent a poll
        self.heard: list[float] = []  # the same, of those whose answer it still waited for
        self.address = ""
        self._changed = asyncio.Event()

    async def start(self, servers: list[BookingServer]) -> None:
        self.publish(servers, True)
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.address = f"{self.host}:{server.sockets[0].getsockname()[1]}"

    def publish(self, servers: list[BookingServer], whole: bool = False) -> float:
        """Add an event; returns when."""
        number = len(self.events) + 1
        targets = [
            {
                "uid": one.uid,
                "endpoint": one.endpoint,
                "az": "ljubljana",
                "model": "std",
                "pod_group": one.pool,
                "state": one.state,
                "capacity_hint": 1,
                "boot_ms": one.boot_ms,
            }
            for one in servers
        ]
        self.events.append({"rev": number, "pool": {"rev": number, "all": whole, "targets": targets}})
        self.record.note("board", "event", rev=number, states={one.uid: one.state for one in servers})
        self._changed.set()
        self._changed = asyncio.Event()
        return now_ms()

    def known(self) -> dict[str, Any]:
        return {"rev": len(self.events), "notices": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = dict(one.split("=") for one in head.split()[1].partition("?")[2].split("&"))
                after, asked_ms = int(query["watch"]), now_ms()
                by_proxy = f"Host: {self.address}" in head  # else the case's own poller
                if by_proxy:
                    self.asked.append(asked_ms)
                if self.turn_s:
                    await asyncio.sleep(self.turn_s)
                linger_s = float(query["linger"]) / 1000.0
                if len(self.events) <= after and linger_s > 0.0:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), linger_s)
                if by_proxy and not reader.at_eof():
                    self.heard.append(asked_ms)
                body = json.dumps({"rev": len(self.events), "notices": self.events[after:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
                if len(self.events) > after or self.turn_s:
                    self.record.note(
                        "board",
                        "poll answered",
                        watch=after,
                        rev=len(self.events),
                        after_ms=round(now_ms() - asked_ms),
                        hung_up=reader.at_eof(),
                        by="proxy" if by_proxy else "case",
                    )
        writer.close()


async def told_by_waiting(board: NoticeBoard, after: int) -> float:
    """Poll the board as PROTOCOL says and wait for each answer; returns when it tells of a later event."""
    host, _, port = board.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    while True:
        writer.write(f"GET /board/poll?watch={after}&linger=1000 HTTP/1.1\r\nHost: board\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        size = int(head.rpartition("Content-Length:")[2].split()[0])
        if json.loads(await reader.readexactly(size))["rev"] > after:
            writer.close()
            return now_ms()


class Client:
    """A client with one connection to the proxy; it keeps what it sent and what it was told."""

    def __init__(self, record: Record, name: str, listen: str, host: str) -> None:
        self.record, self.name, self.listen, self.host = record, name, listen, host
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.open = False
        self.closed_ms = 0.0
        self.sent: dict[str, float] = {}  # when the last byte of a set-up was written, by call
        self.outcomes: dict[str, list[dict[str, Any]]] = {}  # answers and refusals, by call
        self.outcome_ms: dict[str, float] = {}  # of the first outcome
        self.answered_ms: dict[str, float] = {}
        self.over: dict[str, tuple[float, Any]] = {}  # when the client heard of the end, and the cause
        self._reading: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        address, _, port = self.listen.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            address, int(port), local_addr=(self.host, 0)
        )
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._greet()
        self.open = True
        self.record.note(self.name, "connected")
        self._reading = asyncio.get_running_loop().create_task(self._read(self.reader))

    async def _greet(self) -> None:
        """Open the framing; JSON lines have nothing to open."""

    async def _message(self, reader: asyncio.StreamReader) -> bytes:
        """The next message; empty at the end of the connection."""
        return await reader.readline()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while message := await self._message(reader):
                self._on_message(json.loads(message))
        if reader is self.reader:
            self.open = False
            self.closed_ms = now_ms()
            self.record.note(self.name, "connection over")

    def _on_message(self, message: dict[str, Any]) -> None:
        kind, call = message["type"], message["id"]
        self.record.note(self.name, f"{kind} heard", call=call, cause=message.get("cause"))
        if kind not in ("answer", "release"):
            return
        if call in self.answered_ms and kind == "release":
            self.over.setdefault(call, (now_ms(), message.get("cause")))
            return
        self.outcomes.setdefault(call, []).append(message)
        self.outcome_ms.setdefault(call, now_ms())
        if kind == "answer":
            self.answered_ms[call] = now_ms()

    def send(self, message: bytes) -> None:
        self.writer.write(message)

    def set_up_line(self, call: str, call_class: str, left_ms: int, dest: int) -> bytes:
        fields = {
            "class": call_class,
            "left": str(left_ms),
            "key": call[::-1],
            "extras": f"dest:{dest};width:1;via:-1",
        }
        return encode("setup", call, fields=fields, sdp=f"{call}\r\nc=IN IP4 127.0.4.7\r\n")

    def set_up(self, call_class: str, left_ms: int = 9000, dest: int = 0) -> str:
        call = secrets.token_hex(8)
        self.send(self.set_up_line(call, call_class, left_ms, dest))
        self.sent[call] = now_ms()
        self.record.note(self.name, "set-up sent", call=call, dest=dest, left=left_ms)
        return call

    def repeat_set_up(self, call: str, call_class: str, left_ms: int, dest: int) -> None:
        """Send a set-up once more, with the same id and description."""
        self.send(self.set_up_line(call, call_class, left_ms, dest))
        self.record.note(self.name, "set-up repeated", call=call, dest=dest, left=left_ms)

    def stands(self) -> list[str]:
        """The calls that stand as far as the client knows."""
        return [call for call in self.answered_ms if call not in self.over]


class WebSocketClient(Client):
    """A client on the second front: RFC 6455, one message in one text frame."""

    async def _greet(self) -> None:
        key = base64.b64encode(os.urandom(16)).decode()
        self.writer.write(
            f"GET / HTTP/1.1\r\nHost: {self.listen}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {key}\r\nSec-WebSocket-Version: 13\r\n\r\n".encode()
        )
        head = await self.reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 101 "):
            raise RuntimeError(f"no WebSocket: {head!r}")

    def send(self, message: bytes) -> None:
        payload, mask = message.rstrip(b"\n"), os.urandom(4)
        size = len(payload)
        head = struct.pack("!BB", 0x81, 0x80 | size) if size < 126 else struct.pack("!BBH", 0x81, 0xFE, size)
        self.writer.write(head + mask + bytes(byte ^ mask[n % 4] for n, byte in enumerate(payload)))

    async def _message(self, reader: asyncio.StreamReader) -> bytes:
        while True:
            first, size = await reader.readexactly(2)
            if size == 126:
                (size,) = struct.unpack("!H", await reader.readexactly(2))
            payload = await reader.readexactly(size)
            if first & 0x0F == 0x8:  # a close frame
                return b""
            if first & 0x0F == 0x1:
                return payload


class ClientPath:
    """The network between clients and one front of the proxy."""

    def __init__(self, record: Record, listen: str, host: str) -> None:
        self.record, self.listen, self.host = record, listen, host
        self.address = ""
        # Both ends of each connection that is up, by the client's address.
        self._pairs: dict[tuple[str, int], tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = {}

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.address = f"{self.host}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address, _, port = self.listen.rpartition(":")
        client = writer.get_extra_info("peername")
        try:  # the proxy sees the client's own host
            far_reader, far_writer = await asyncio.open_connection(
                address, int(port), local_addr=(client[0], 0)
            )
        except OSError:
            reset(writer)
            return
        for one in (writer, far_writer):
            one.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._pairs[client] = writer, far_writer
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        self._pairs.pop(client, None)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(READ_BYTES):
                writer.write(data)
            if writer.can_write_eof():
                writer.write_eof()

    def lose(self, client: Client) -> None:
        """Reset the client's connection at both ends."""
        self.record.note("path", f"the connection of {client.name} is reset at both ends")
        for writer in self._pairs.pop(client.writer.get_extra_info("sockname")):
            reset(writer)


class Proxy:
    """One process started by the deploy file's `run`; operator: the text of an operator's file, if any."""

    def __init__(
        self, record: Record, folder: Path, name: str, listen: str, table: dict[str, Any], operator: str = ""
    ) -> None:
        self.record, self.name, self.listen = record, name, listen
        self.config = folder / f"{name}.json"
        self.config.write_text(json.dumps(table))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if operator:
            (folder / f"{name}.toml").write_text(operator)
            run += f" --config {folder / f'{name}.toml'}"
        environ = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        environ |= {
            "NODE_NAME": name,
            "NODE_LISTEN": listen,
            "NODE_CONFIG": str(self.config),
            "TMPDIR": str(folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = folder / f"{name}.log"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def replace_config(self, table: dict[str, Any]) -> None:
        """Write another configuration beside the file and rename it, so that it is never half there."""
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(table))
        new.rename(self.config)

    async def ready(self) -> None:
        """Wait until the proxy passes a test."""
        host, _, port = self.listen.rpartition(":")
        for _ in range(600):
            self.check()
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(encode("ping", "0" * 16, cause=0))
                passed = json.loads(await reader.readline() or b"{}").get("cause") == 1
                writer.close()
                if passed and "serves on" in self.log.read_text():  # this process, not another one
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the proxy did not pass a test within 30 s")

    def check(self) -> None:
        """Raise if the process has ended, so that its silence is not judged."""
        if self.process.poll() is not None:
            raise RuntimeError(f"the proxy ended: {self.log.read_text()[-800:]}")

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


def free_address(host: str) -> str:
    with socket.create_server((host, 0)) as sock:
        return f"{host}:{sock.getsockname()[1]}"


def config(
    name: str, listen: str, board: NoticeBoard | None, settings: dict[str, Any], **more: Any
) -> dict[str, Any]:
    """The platform's configuration file."""
    table: dict[str, Any] = {
        "name": name,
        "listen": listen,
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
    }
    if board is not None:
        table |= {"board": board.address, "known": board.known()}
    return table | more


def play(case: Path, scenario: Callable[[Record, Path], Any]) -> int:
    """Run a scenario; the exit status is 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # so that the proxy is ended too
    record = Record(case / "record.txt")
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder:
        try:
            return int(asyncio.run(asyncio.wait_for(scenario(record, Path(folder)), 110.0)))
        except Exception as problem:
            record.say(f"could not run: {problem!r}")
            return 2
        finally:
            for log in sorted(Path(folder).glob("*.log")):
                for line in log.read_text(errors="replace").splitlines():
                    record.note(f"log of {log.stem}", line)


SLOT_BOOKING_EU: dict[str, Any] = {
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
        {"name": "slot-lookup", "aim": 2000.0, "deadline": 9000.0, "credit": 1.0, "late-worth": 0.1},
        {"name": "slot-confirm", "aim": 1500.0, "deadline": 9000.0, "credit": 3.0, "late-worth": 0.25},
    ],
    "contract": {
        "answer-slack": 20.0,
        "ask-within": 10000.0,
        "cold-from": 0.3,
        "drain-grace": 2000.0,
        "fall": 1000.0,
        "ramp-time": 14000.0,
        "tip-multiple": 3.0,
    },
    "family": "trunks",
    "family-info": {
        "call-length": [8600.0, 12900.0],
        "channels-needed": [1, 1],
        "far-reports": "piggyback",
        "here": -1,
        "pools-by-class": [[0, 1], [0, 1]],
        "release": 200.0,
        "says-wait": False,
        "t1": 500.0,
        "topology": "groups",
    },
    "group-size": 6,
    "period": 5.0,
    "slot-no": 0,
    "telemetry": {"fields": ["spare", "total", "allowed"], "via": "piggyback"},
    "zone": "ljubljana",
    "zones": ["ljubljana", "frankfurt", "amsterdam", "madrid"],
}

VESTLAND_ROSTER = copy.deepcopy(SLOT_BOOKING_EU)
VESTLAND_ROSTER["bounds"]["may-probe"] = False
VESTLAND_ROSTER["telemetry"]["fields"] = ["spare", "total", "recent_ms", "allowed"]
VESTLAND_ROSTER["contract"] |= {"drain-grace": 1000.0, "tip-multiple": 2.5, "fall": 1500.0, "cold-from": 0.29}
VESTLAND_ROSTER["family-info"] |= {"release": 500.0, "t1": 800.0, "call-length": [8750.0, 7000.0]}
VESTLAND_ROSTER["categories"] = [
    {"name": "read-roster", "aim": 1500.0, "deadline": 9000.0, "credit": 1.0, "late-worth": 0.25},
    {"name": "save-roster", "aim": 1500.0, "deadline": 9000.0, "credit": 3.0, "late-worth": 0.1},
]
