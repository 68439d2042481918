"""Hollow proxies as a notice board sees them: each keeps one poll open, as capershelf/registry/board.py."""

from __future__ import annotations

import json
import re
import socket
import time
from dataclasses import dataclass
from typing import Any

from capershelf.registry.board import LINGER_MS
from lab.capacity.event_loop import CHUNK_BYTES, EventLoop

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
READ_MASK = 1  # EPOLLIN


@dataclass(frozen=True, slots=True)
class Options:
    """The board and how many watch it."""

    address: str
    count: int


@dataclass(frozen=True, slots=True)
class Connect:
    """All begin to poll, after this event."""

    after: int


@dataclass(frozen=True, slots=True)
class Disconnect:
    """All hang up."""


@dataclass(frozen=True, slots=True)
class GetProgress:
    """Answered with Progress towards this event."""

    number: int


@dataclass(frozen=True, slots=True)
class Progress:
    """How many have the event, and when the last of them got it (time.monotonic(), seconds)."""

    have: int
    last_s: float


class Watcher:
    """One poll after the other on one connection."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], after: int) -> None:
        self._loop, self.after = loop, after
        self._incoming = bytearray()
        self.got_s: dict[int, float] = {}
        self._sock = socket.socket()
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.connect(address)
        self._sock.setblocking(False)
        loop.watch(self._sock.fileno(), READ_MASK, self._ready)
        self._poll()

    def close(self) -> None:
        self._loop.forget(self._sock.fileno())
        self._sock.close()

    def _poll(self) -> None:
        path = f"/board/poll?watch={self.after}&linger={LINGER_MS:.0f}"
        self._sock.send(f"GET {path} HTTP/1.1\r\nHost: board\r\n\r\n".encode())

    def _ready(self, mask: int) -> None:
        try:
            data = self._sock.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self._incoming += data
        while (end := self._incoming.find(b"\r\n\r\n")) >= 0:
            found = LENGTH.search(self._incoming[:end])
            whole = end + 4 + (int(found[1]) if found else 0)
            if len(self._incoming) < whole:
                return
            body = bytes(self._incoming[end + 4 : whole])
            del self._incoming[:whole]
            self._take(json.loads(body)["rev"])

    def _take(self, number: int) -> None:
        if number > self.after:
            self.got_s[number] = time.monotonic()
            self.after = number
        self._poll()


class Watchers:
    """All of them, on one loop."""

    def __init__(self, loop: EventLoop, options: Options) -> None:
        self._loop, self._options = loop, options
        self._watchers: list[Watcher] = []

    def command(self, command: Any) -> Any:
        match command:
            case Connect(after):
                host, _, port = self._options.address.rpartition(":")
                self._watchers = [
                    Watcher(self._loop, (host, int(port)), after) for _ in range(self._options.count)
                ]
                return None
            case Disconnect():
                for watcher in self._watchers:
                    watcher.close()
                self._watchers.clear()
                return None
            case GetProgress(number):
                got = [
                    min(at_s for reached, at_s in watcher.got_s.items() if reached >= number)
                    for watcher in self._watchers
                    if watcher.after >= number and watcher.got_s
                ]
                return Progress(len(got), max(got, default=0.0))
        raise TypeError(f"unknown command {command!r}")
