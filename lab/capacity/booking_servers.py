"""Hollow booking servers: they listen, tell their states, answer every set-up at once and end every call."""

from __future__ import annotations

import json
import random
import socket
from dataclasses import dataclass, field
from typing import Any

from lab.capacity.event_loop import EventLoop, LineChannel, address_of, listen

STATE_S = 1.2  # between two states, as the fleet test's booking servers tell them
LINES = 400
HOST_NETWORK = 40  # 127.40.0.0 and on
HOSTS_PER_BLOCK = 250
NO_CALL = "0" * 16


@dataclass(frozen=True, slots=True)
class Options:
    """How many servers, and how long a call stands there."""

    count: int
    hold_s: float = 5.0
    state_s: float = STATE_S


@dataclass(frozen=True, slots=True)
class GetEndpoints:
    """Answered with a list of host:port, by number."""


@dataclass(frozen=True, slots=True)
class GetCounters:
    """Answered with Counters."""


@dataclass(slots=True)
class Counters:
    """What passed so far, of all servers together."""

    connections: int = 0
    states: int = 0
    state_bytes: int = 0
    set_ups: int = 0
    pings: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(slots=True)
class BookingServer:
    """One server's listener and its open connections."""

    listener: socket.socket
    channels: list[LineChannel] = field(default_factory=list)
    taken: int = 0


class BookingServers:
    """All of them, on one loop."""

    def __init__(self, loop: EventLoop, options: Options) -> None:
        self._loop, self._options = loop, options
        self._random = random.Random(options.count)
        self._counters = Counters()
        self._closed_in = self._closed_out = 0
        self._servers = [self._start(number) for number in range(options.count)]

    def command(self, command: Any) -> Any:
        match command:
            case GetEndpoints():
                return [address_of(server.listener) for server in self._servers]
            case GetCounters():
                return self._count()
        raise TypeError(f"unknown command {command!r}")

    def _count(self) -> Counters:
        channels = [channel for server in self._servers for channel in server.channels]
        self._counters.connections = len(channels)
        self._counters.bytes_in = self._closed_in + sum(one.bytes_in for one in channels)
        self._counters.bytes_out = self._closed_out + sum(one.bytes_out for one in channels)
        return self._counters

    def _start(self, number: int) -> BookingServer:
        block, host = divmod(number, HOSTS_PER_BLOCK)
        server: BookingServer

        def accept(sock: socket.socket) -> None:
            self._accept(server, sock)

        server = BookingServer(listen(self._loop, f"127.{HOST_NETWORK + block}.0.{host + 1}", accept))
        self._loop.call_later(self._options.state_s * self._random.random(), lambda: self._tell_all(server))
        return server

    def _accept(self, server: BookingServer, sock: socket.socket) -> None:
        channel: LineChannel

        def closed() -> None:
            server.channels.remove(channel)
            self._closed_in += channel.bytes_in
            self._closed_out += channel.bytes_out

        channel = LineChannel(self._loop, sock, lambda line: self._line(server, channel, line), closed)
        server.channels.append(channel)
        self._tell(server, channel)

    def _tell_all(self, server: BookingServer) -> None:
        for channel in server.channels:
            self._tell(server, channel)
        self._loop.call_later(self._options.state_s, lambda: self._tell_all(server))

    def _tell(self, server: BookingServer, channel: LineChannel) -> None:
        state = message("state", NO_CALL, fields={"load": load_of(server)})
        self._counters.states += 1
        self._counters.state_bytes += len(state)
        channel.send(state)

    def _line(self, server: BookingServer, channel: LineChannel, line: bytes) -> None:
        found = json.loads(line)
        if found["type"] == "setup":
            self._set_up(server, channel, found["id"])
        elif found["type"] == "ping":
            self._counters.pings += 1
            channel.send(message("pong", found["id"], fields={"load": load_of(server)}, cause=1))

    def _set_up(self, server: BookingServer, channel: LineChannel, call: str) -> None:
        self._counters.set_ups += 1
        server.taken += 1
        answer = message("answer", call, fields={"load": load_of(server)}, sdp=f"answer to {call}\r\n")
        channel.send(answer)

        def over() -> None:
            server.taken -= 1
            channel.send(message("release", call, fields={"load": load_of(server)}, cause=16))

        self._loop.call_later(self._options.hold_s, over)


def load_of(server: BookingServer) -> str:
    """The load report, with the fields of the settings in `proxies.settings`."""
    return f"spare:{LINES - server.taken};total:{LINES};allowed:60"


def message(kind: str, call: str, **more: Any) -> bytes:
    """One line of the protocol."""
    return json.dumps({"type": kind, "id": call} | more, separators=(",", ":")).encode() + b"\n"
