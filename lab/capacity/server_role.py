"""One booking server with growing numbers of proxies connected to it.

The server is hollow: its processor time is the stand-in's and says how it grows, not what a booking server
will spend.  Connections, states and probes are counted as they are.
"""

from __future__ import annotations

import socket
import time
from dataclasses import dataclass
from typing import Any

from capershelf.control import MAX_PROBES_PER_S
from lab.capacity import booking_servers
from lab.capacity.booking_servers import message
from lab.capacity.event_loop import EventLoop, LineChannel
from lab.capacity.hollow import HollowProcess

SIZES = (10, 50, 100, 300, 600, 1100)
QUICK_SIZES = (4, 8, 12, 16, 20)
MEASURED_S, QUICK_S = 4.0, 2.5
CONNECTED_BY_S = 20.0


@dataclass(frozen=True, slots=True)
class Options:
    """How many proxies connect to which booking server."""

    count: int
    address: str


class Proxies:
    """Hollow proxies, one connection each; together they probe as often as the module lets a fleet."""

    def __init__(self, loop: EventLoop, options: Options) -> None:
        self._loop, self._options = loop, options
        host, _, port = options.address.rpartition(":")
        self._channels = [self._connect((host, int(port))) for _ in range(options.count)]
        self._number = 0
        loop.call_later(1.0 / MAX_PROBES_PER_S, self._probe)

    def command(self, command: Any) -> Any:
        raise TypeError(f"unknown command {command!r}")

    def _connect(self, address: tuple[str, int]) -> LineChannel:
        return LineChannel(self._loop, socket.create_connection(address), lambda line: None)

    def _probe(self) -> None:
        self._number += 1
        channel = self._channels[self._number % len(self._channels)]
        channel.send(message("ping", f"{self._number:016x}", cause=1))
        self._loop.call_later(1.0 / MAX_PROBES_PER_S, self._probe)


def measure(proxies: int, seconds: float) -> dict[str, Any]:
    """One row: a booking server with so many proxies."""
    server = HollowProcess(booking_servers.BookingServers, booking_servers.Options(1))
    (address,) = server.ask(booking_servers.GetEndpoints())
    peers = HollowProcess(Proxies, Options(proxies, address))
    try:
        by_s = time.monotonic() + CONNECTED_BY_S
        while server.ask(booking_servers.GetCounters()).connections < proxies and time.monotonic() < by_s:
            time.sleep(0.05)
        before, used, began_s = server.ask(booking_servers.GetCounters()), server.stats(), time.monotonic()
        time.sleep(seconds)
        after, stats = server.ask(booking_servers.GetCounters()), server.stats()
        took_s = time.monotonic() - began_s
    finally:
        peers.end()
        server.end()
    return {
        "proxies": proxies,
        "connections": after.connections,
        "descriptors": stats.descriptors,
        "states_per_s": round((after.states - before.states) / took_s, 2),
        "state_bytes_per_s": round((after.state_bytes - before.state_bytes) / took_s, 1),
        "probes_per_s": round((after.pings - before.pings) / took_s, 2),
        "core_percent": round(100.0 * (stats.cpu_s - used.cpu_s) / took_s, 3),
    }


def experiment(quick: bool) -> dict[str, Any]:
    sizes, seconds = (QUICK_SIZES, QUICK_S) if quick else (SIZES, MEASURED_S)
    return {"rows": [measure(size, seconds) for _ in range(1 if quick else 2) for size in sizes]}
