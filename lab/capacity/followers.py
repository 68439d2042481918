"""Hollow proxies as a control service sees them: the real protocol's end, without a proxy behind it."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from dataclasses import dataclass, field
from typing import Any

from capershelf.stream import protocol
from capershelf.stream.ledger import VersionHistory, VersionNumber
from capershelf.stream.order import ServiceFailover
from lab.capacity.event_loop import EventLoop, LineChannel

RESTART_S = 0.5  # a follower that restarts is away so long


@dataclass(frozen=True, slots=True)
class Options:
    """The service and how many follow it."""

    address: str
    count: int


@dataclass(frozen=True, slots=True)
class Restart:
    """This share of the followers begins anew, with nothing known."""

    share: float


@dataclass(frozen=True, slots=True)
class GetProgress:
    """Answered with Progress towards this version."""

    number: VersionNumber


@dataclass(frozen=True, slots=True)
class Progress:
    """Followers that have it in force, when the last took it (time.monotonic()), and bytes both ways."""

    have: int
    last_s: float
    connected: int
    bytes_in: int
    bytes_out: int


@dataclass(slots=True)
class Traffic:
    """Bytes of connections that are closed."""

    bytes_in: int = 0
    bytes_out: int = 0


@dataclass(slots=True)
class Follower:
    """One follower; `life` tells its restarts apart."""

    name: str
    seed: int
    life: int = 0
    channel: LineChannel | None = None
    taken_s: dict[VersionNumber, float] = field(default_factory=dict)
    end: protocol.ProxySession = field(init=False)
    order: ServiceFailover = field(init=False)


class Followers:
    """All of them, on one loop."""

    def __init__(self, loop: EventLoop, options: Options) -> None:
        self._loop = loop
        self._address = options.address
        self._traffic = Traffic()
        self._random = random.Random(options.count)
        self._followers = [Follower(f"proxy-{number:04d}", number) for number in range(options.count)]
        for follower in self._followers:
            self._begin(follower)
        loop.call_later(protocol.HEARTBEAT_MS / 1000.0, self._beat)

    def command(self, command: Any) -> Any:
        match command:
            case Restart(share):
                chosen = self._random.sample(self._followers, round(share * len(self._followers)))
                for follower in chosen:
                    self._restart(follower)
                return len(chosen)
            case GetProgress(number):
                return self._progress(number)
        raise TypeError(f"unknown command {command!r}")

    def _progress(self, number: VersionNumber) -> Progress:
        taken = [one.taken_s[number] for one in self._followers if number in one.taken_s]
        channels = [one.channel for one in self._followers if one.channel is not None]
        return Progress(
            len(taken),
            max(taken, default=0.0),
            len(channels),
            self._traffic.bytes_in + sum(one.bytes_in for one in channels),
            self._traffic.bytes_out + sum(one.bytes_out for one in channels),
        )

    def _begin(self, follower: Follower) -> None:
        follower.end = protocol.ProxySession(follower.name, "lab", VersionHistory(), None)
        follower.order = ServiceFailover((self._address,), follower.seed)
        follower.taken_s.clear()
        self._connect_next(follower)

    def _restart(self, follower: Follower) -> None:
        follower.life += 1
        self._close(follower)
        self._loop.call_later(RESTART_S, lambda: self._begin(follower))

    def _close(self, follower: Follower) -> None:
        if (channel := follower.channel) is not None:
            channel.close()
            self._traffic.bytes_in += channel.bytes_in
            self._traffic.bytes_out += channel.bytes_out
            follower.channel = None

    def _connect_next(self, follower: Follower) -> None:
        """Connect when the order of services says so."""
        life = follower.life
        now_ms = time.time() * 1000.0
        _, at_ms = follower.order.next(now_ms)

        def connect() -> None:
            if follower.life == life and follower.channel is None:
                self._connect(follower)

        self._loop.call_later(max(0.0, at_ms - now_ms) / 1000.0, connect)

    def _connect(self, follower: Follower) -> None:
        host, _, port = self._address.rpartition(":")
        sock = socket.socket()
        try:
            sock.connect((host, int(port)))
        except OSError:
            sock.close()
            follower.order.record_failure()
            self._connect_next(follower)
            return
        life = follower.life

        def closed() -> None:
            if follower.life == life:
                self._close(follower)
                follower.order.record_failure()
                self._connect_next(follower)

        follower.channel = LineChannel(self._loop, sock, lambda line: self._line(follower, line), closed)
        self._carry_out(follower, follower.end.connected(self._address))

    def _line(self, follower: Follower, line: bytes) -> None:
        found = protocol.decode(line)
        if found["type"] == "welcome":
            follower.order.record_success()
        self._carry_out(follower, follower.end.receive(found, time.time() * 1000.0))

    def _carry_out(self, follower: Follower, steps: list[protocol.Step]) -> None:
        for step in steps:
            match step:
                case protocol.Send(said) if follower.channel is not None:
                    follower.channel.send(protocol.encode(said) + b"\n")
                case protocol.VersionReceived():
                    follower.taken_s[step.number] = time.monotonic()
                    self._carry_out(follower, follower.end.accept(step, ()))

    def _beat(self) -> None:
        for follower in self._followers:
            if follower.channel is not None:
                with contextlib.suppress(OSError):
                    follower.channel.send(protocol.encode({"type": "beat"}) + b"\n")
        self._loop.call_later(protocol.HEARTBEAT_MS / 1000.0, self._beat)
