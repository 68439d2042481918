"""Clients that misbehave on one front of a proxy, as a process of its own: python -m lab.bad_clients --help.

They are bounded in number and time, and talk to loopback alone.
"""

from __future__ import annotations

import base64
import contextlib
import itertools
import json
import os
import random
import selectors
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import click

CLASS = "slot-confirm"
LARGE_BYTES = 15_000
SLOW_PIECE_BYTES = 8
SLOW_PIECE_S = 0.02
CHUNK_BYTES = 32 * 1024  # written at once by a flood
TEXT, CONTINUATION, PING = 0x1, 0x0, 0x9  # opcodes
NO_MASK = b"\0\0\0\0"  # a masking key that leaves the payload as it is


def set_up(call: str, description: str = "v=0", class_name: str = CLASS, **fields: str) -> bytes:
    """A set-up as JSON."""
    message = {
        "type": "setup",
        "id": call,
        "fields": {"class": class_name, "left": "2000", "key": call, "extras": "dest:0"} | fields,
        "sdp": description,
    }
    return json.dumps(message).encode()


def release(call: str) -> bytes:
    """A release as JSON."""
    return json.dumps({"type": "release", "id": call, "fields": {}, "cause": 16}).encode()


def frame(payload: bytes, opcode: int = TEXT, fin: bool = True) -> bytes:
    """A masked WebSocket frame."""
    first = opcode | (0x80 if fin else 0)
    if len(payload) < 126:
        return struct.pack("!BB", first, 0x80 | len(payload)) + NO_MASK + payload
    return struct.pack("!BBH", first, 0x80 | 126, len(payload)) + NO_MASK + payload


def handshake(more: str = "") -> bytes:
    """A WebSocket handshake with more header fields."""
    key = base64.b64encode(os.urandom(16)).decode()
    return (
        "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        f"Sec-WebSocket-Version: 13\r\n{more}Sec-WebSocket-Key: {key}\r\n\r\n"
    ).encode()


@dataclass(frozen=True, slots=True)
class Front:
    """The front that clients connect to."""

    host: str
    port: int
    websocket: bool

    def message(self, payload: bytes) -> bytes:
        """The message as it is sent there."""
        return frame(payload) if self.websocket else payload + b"\n"

    @property
    def opening(self) -> bytes:
        """What a client sends before its first message."""
        return handshake() if self.websocket else b""


@dataclass(slots=True)
class Writer:
    """One connection that writes what an iterator yields, and ignores what comes back."""

    sock: socket.socket
    pieces: Iterator[bytes]
    pending: bytes = b""
    due_s: float = field(default_factory=time.monotonic)


# What each connection writes, piece by piece.
Attack = Callable[[Front, random.Random], Iterator[bytes]]


def new_id(rng: random.Random) -> str:
    """A new call id."""
    return f"{rng.getrandbits(64):016x}"


def slow(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Large set-ups, some bytes at a time."""
    yield front.opening
    while True:
        data = front.message(set_up(new_id(rng), "x" * LARGE_BYTES))
        for start in range(0, len(data), SLOW_PIECE_BYTES):
            yield data[start : start + SLOW_PIECE_BYTES]


def half(front: Front, rng: random.Random) -> Iterator[bytes]:
    """The larger part of a large set-up, and no more."""
    data = front.message(set_up(new_id(rng), "x" * LARGE_BYTES))
    yield front.opening + data[: -len(data) // 8]


def fragments(front: Front, rng: random.Random) -> Iterator[bytes]:
    """On WebSocket a large message in fragments without an end, and a part of one more frame."""
    data = set_up(new_id(rng), "x" * LARGE_BYTES)
    if not front.websocket:
        yield data[:-10]
        return
    yield front.opening + frame(data[:8000], fin=False) + frame(data[8000:-300], CONTINUATION, False)
    yield frame(data[-300:], CONTINUATION)[:-1]


def short_fields(front: Front, rng: random.Random) -> Iterator[bytes]:
    """A head, or a message, of very many short fields."""
    if front.websocket:
        yield handshake("".join(f"{n:x}:\r\n" for n in range(2300)))
    while True:
        fields = {f"{n:x}": "" for n in range(1500)}
        yield front.message(set_up(new_id(rng), **fields))


def same_fields(front: Front, rng: random.Random) -> Iterator[bytes]:
    """A head of very many fields of one name; on JSON lines an array of very many numbers."""
    if front.websocket:
        yield handshake("a:\r\n" * 3900)
    while True:
        yield front.message(b"[" + b"0," * 7000 + b"0]")


def valid_set_ups(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Set-ups under ever new ids and numbers."""
    yield front.opening
    while True:
        yield b"".join(front.message(set_up(new_id(rng))) for _ in range(100))


def taken_back(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Set-ups that are released at once."""
    yield front.opening
    while True:
        calls = [new_id(rng) for _ in range(100)]
        yield b"".join(front.message(set_up(call)) + front.message(release(call)) for call in calls)


def unknown_releases(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Releases of ever new ids."""
    yield front.opening
    while True:
        yield b"".join(front.message(release(new_id(rng))) for _ in range(100))


def unusable(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Set-ups of ever new classes."""
    yield front.opening
    while True:
        yield b"".join(front.message(set_up(new_id(rng), class_name=f"c{new_id(rng)}")) for _ in range(100))


def garbage(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Messages that are no JSON."""
    yield front.opening
    while True:
        yield b"".join(front.message(new_id(rng).encode()) for _ in range(100))


def blank(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Blank lines, or empty frames that continue one message."""
    yield front.opening
    if front.websocket:
        yield frame(b"", fin=False)
    while True:
        yield (frame(b"", CONTINUATION, False) if front.websocket else b"\n") * 1000


def pings(front: Front, rng: random.Random) -> Iterator[bytes]:
    """Tests, the answers to which are not read."""
    yield front.opening
    ping = json.dumps({"type": "ping", "id": "0" * 16, "cause": 0}).encode()
    while True:
        yield front.message(ping) * 100


def control_frames(front: Front, rng: random.Random) -> Iterator[bytes]:
    """On WebSocket ping frames; on JSON lines messages that mean nothing."""
    yield front.opening
    nothing = front.message(json.dumps({"type": "progress", "id": "0" * 16}).encode())
    while True:
        yield (frame(b"", PING) if front.websocket else nothing) * 500


ATTACKS: dict[str, Attack] = {
    one.__name__: one
    for one in (
        slow,
        half,
        fragments,
        short_fields,
        same_fields,
        valid_set_ups,
        taken_back,
        unknown_releases,
        unusable,
        garbage,
        blank,
        pings,
        control_frames,
    )
}


class BadClients:
    """So many connections at a time that do the same; one that is closed is opened anew."""

    def __init__(self, front: Front, attack: Attack, connections: int, seed: int) -> None:
        self._front, self._attack, self._connections = front, attack, connections
        self._rng = random.Random(seed)
        self._selector = selectors.DefaultSelector()
        self._writers: set[socket.socket] = set()
        self.opened = self.written_bytes = 0

    def run(self, seconds: float) -> None:
        """Misbehave for that long, and close all connections."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            missing = self._connections - len(self._writers)
            for _ in itertools.repeat(None, min(missing, 20)):
                self._connect()
            for key, mask in self._selector.select(0.005):
                self._step(key.data, mask)
        for sock in self._writers:
            sock.close()

    def _connect(self) -> None:
        sock = socket.socket()
        try:
            sock.connect((self._front.host, self._front.port))
        except OSError:
            sock.close()
            return
        sock.setblocking(False)
        writer = Writer(sock, self._attack(self._front, self._rng))
        self._writers.add(sock)
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, writer)
        self.opened += 1

    def _step(self, writer: Writer, mask: int) -> None:
        try:
            if mask & selectors.EVENT_READ and self._attack is not pings and not writer.sock.recv(65536):
                self._close(writer)
                return
            if mask & selectors.EVENT_WRITE and time.monotonic() >= writer.due_s:
                self._write(writer)
        except BlockingIOError:
            return
        except OSError:
            self._close(writer)

    def _write(self, writer: Writer) -> None:
        while len(writer.pending) < (1 if self._attack is slow else CHUNK_BYTES):
            piece = next(writer.pieces, None)
            if piece is None:
                break
            writer.pending += piece
        if not writer.pending:
            self._selector.modify(writer.sock, selectors.EVENT_READ, writer)
            return
        sent = writer.sock.send(writer.pending)
        writer.pending = writer.pending[sent:]
        self.written_bytes += sent
        if self._attack is slow:
            writer.due_s = time.monotonic() + SLOW_PIECE_S

    def _close(self, writer: Writer) -> None:
        self._selector.unregister(writer.sock)
        self._writers.discard(writer.sock)
        with contextlib.suppress(OSError):
            writer.sock.close()


@click.command()
@click.argument("attack", type=click.Choice(sorted(ATTACKS)))
@click.argument("host")
@click.argument("port", type=int)
@click.option("--websocket", is_flag=True)
@click.option("--connections", default=1, show_default=True)
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(
    attack: str, host: str, port: int, websocket: bool, connections: int, seconds: float, seed: int
) -> None:
    """Misbehave on the front at HOST and PORT, which must be loopback."""
    if not host.startswith("127."):
        raise click.BadParameter("loopback addresses only", param_hint="HOST")
    clients = BadClients(Front(host, port, websocket), ATTACKS[attack], connections, seed)
    clients.run(seconds)
    click.echo(json.dumps({"opened": clients.opened, "written_bytes": clients.written_bytes}))


if __name__ == "__main__":
    main()
