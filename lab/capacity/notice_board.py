"""A hollow notice board, which keeps one list of numbered events for any number of watchers."""

from __future__ import annotations

import json
import socket
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lab.capacity.event_loop import EventLoop, LineChannel, address_of, listen

HOST = "127.39.0.1"
ZONES = 8
SERVICES = 71


def target(number: int, endpoint: str, state: str = "up", boot_ms: int = 0) -> dict[str, Any]:
    """One entry of the list."""
    return {
        "uid": f"s-{number:08x}",
        "endpoint": endpoint,
        "az": f"zone-{number % ZONES}",
        "model": "std",
        "pod_group": number,
        "state": state,
        "capacity_hint": 4,
        "boot_ms": boot_ms,
    }


def event(number: int, targets: list[dict[str, Any]], whole: bool) -> dict[str, Any]:
    """One numbered event."""
    return {"rev": number, "pool": {"rev": number, "all": whole, "targets": targets}}


@dataclass(frozen=True, slots=True)
class Options:
    """The list at the start."""

    endpoints: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GetAddress:
    """Answered with host:port."""


@dataclass(frozen=True, slots=True)
class Change:
    """These servers get this state, as one event; answered with the event's number."""

    numbers: tuple[int, ...]
    state: str


@dataclass(frozen=True, slots=True)
class GetCounters:
    """Answered with Counters."""


@dataclass(frozen=True, slots=True)
class Counters:
    """What passed so far."""

    polls: int
    bytes_in: int
    bytes_out: int


class NoticeBoard:
    """Answers polls at once when there is news, else when their time is over."""

    def __init__(self, loop: EventLoop, options: Options) -> None:
        self._loop, self._endpoints = loop, options.endpoints
        targets = [target(number, endpoint) for number, endpoint in enumerate(options.endpoints)]
        self._events = [event(1, targets, True)]
        self._channels: set[LineChannel] = set()
        self._waiting: dict[LineChannel, int] = {}
        self._polls = self._closed_in = self._closed_out = 0
        self._listener = listen(loop, HOST, self._accept)

    def command(self, command: Any) -> Any:
        match command:
            case GetAddress():
                return address_of(self._listener)
            case Change(numbers, state):
                return self._change(numbers, state)
            case GetCounters():
                return Counters(
                    self._polls,
                    self._closed_in + sum(one.bytes_in for one in self._channels),
                    self._closed_out + sum(one.bytes_out for one in self._channels),
                )
        raise TypeError(f"unknown command {command!r}")

    def _change(self, numbers: tuple[int, ...], state: str) -> int:
        boot_ms = int(time.time() * 1000.0) if state == "up" else 0
        targets = [target(number, self._endpoints[number], state, boot_ms) for number in numbers]
        self._events.append(event(len(self._events) + 1, targets, False))
        waiting, self._waiting = self._waiting, {}
        for channel, after in waiting.items():
            self._answer(channel, after)
        return len(self._events)

    def _accept(self, sock: socket.socket) -> None:
        channel: LineChannel

        def closed() -> None:
            self._channels.discard(channel)
            self._waiting.pop(channel, None)
            self._closed_in += channel.bytes_in
            self._closed_out += channel.bytes_out

        channel = LineChannel(self._loop, sock, lambda line: self._line(channel, line), closed)
        self._channels.add(channel)

    def _line(self, channel: LineChannel, line: bytes) -> None:
        if not line.startswith(b"GET "):
            return  # of a request only its first line matters here
        self._polls += 1
        asked = parse_qs(urlsplit(line.split()[1].decode()).query)
        after, linger_s = int(asked["watch"][0]), float(asked["linger"][0]) / 1000.0
        if after < len(self._events):
            self._answer(channel, after)
            return
        self._waiting[channel] = after
        self._loop.call_later(linger_s, lambda: self._expire(channel, after))

    def _expire(self, channel: LineChannel, after: int) -> None:
        if self._waiting.get(channel) == after:
            del self._waiting[channel]
            self._answer(channel, after)

    def _answer(self, channel: LineChannel, after: int) -> None:
        body = json.dumps(
            {"rev": len(self._events), "notices": self._events[after:]}, separators=(",", ":")
        ).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        channel.send(head.encode() + body)
