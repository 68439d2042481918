"""One real signalling proxy against growing lists of booking servers: at rest and with calls."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lab.capacity import booking_servers, notice_board
from lab.capacity.caller import DEPTH, Latencies, Line, NoProxyError, place_calls
from lab.capacity.event_loop import EventLoop
from lab.capacity.hollow import HollowProcess
from lab.capacity.process_stats import ProcessStats, process_stats
from lab.capacity.proxies import start_proxy
from lab.fleet.processes import PROGRAM, Process

SIZES = (10, 50, 100, 300, 600, 1100)
QUICK_SIZES = (4, 8, 12, 16, 20)
AMPLE_MB, AMPLE_DESCRIPTORS = 2048, 4096  # so that a slope shows what is needed, not what is allowed
ALLOWED_MB, ALLOWED_DESCRIPTORS = 64, 1024
CALLS_PER_S = 48.0
SUBSET_SIZE = 20
LINKS_BY_S = 40.0  # links are opened spread over the list and the fleet: 5 ms a server and 1 ms a proxy
SETTLE_S = 2.0
LOOK_S = 0.1


@dataclass(frozen=True, slots=True)
class Durations:
    """How long each part is measured, in seconds."""

    rest_s: float = 6.0
    calls_s: float = 8.0
    chains_s: float = 6.0


QUICK = Durations(1.0, 1.5, 1.5)


@dataclass(frozen=True, slots=True)
class Sample:
    """Counters of the proxy and its peers at one moment."""

    at_s: float
    proxy: ProcessStats
    servers: booking_servers.Counters
    board: notice_board.Counters


class Bench:
    """A proxy with its hollow booking servers and notice board; ended as a context."""

    def __init__(
        self,
        servers: int,
        memory_mb: int,
        descriptors: int,
        extra: dict[str, Any] | None = None,
        module: Sequence[str] = PROGRAM,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="capacity-")
        self.servers = HollowProcess(booking_servers.BookingServers, booking_servers.Options(servers))
        self.endpoints: list[str] = self.servers.ask(booking_servers.GetEndpoints())
        self.board = HollowProcess(notice_board.NoticeBoard, notice_board.Options(tuple(self.endpoints)))
        address = self.board.ask(notice_board.GetAddress())
        self.proxy: Process
        self.proxy, self.address = start_proxy(
            Path(self._folder.name), self.endpoints, address, memory_mb, descriptors, extra, module
        )

    def __enter__(self) -> Bench:
        return self

    def __exit__(self, *_: object) -> None:
        self.proxy.end()
        self.servers.end()
        self.board.end()
        self._folder.cleanup()

    def sample(self) -> Sample:
        return Sample(
            time.monotonic(),
            process_stats(self.proxy.pid),
            self.servers.ask(booking_servers.GetCounters()),
            self.board.ask(notice_board.GetCounters()),
        )

    def await_links(self) -> int:
        """Wait until no more links come up; how many there are."""
        by_s = time.monotonic() + LINKS_BY_S
        links, since_s = 0, time.monotonic()
        while time.monotonic() < by_s and links < len(self.endpoints):
            if self.proxy.status() is not None:
                raise NoProxyError(f"the proxy has ended:\n{self.proxy.log.read_text()[-2000:]}")
            now = self.servers.ask(booking_servers.GetCounters()).connections
            if now != links:
                links, since_s = now, time.monotonic()
            elif links and time.monotonic() - since_s > SETTLE_S:
                break
            time.sleep(LOOK_S)
        time.sleep(SETTLE_S)
        return links


class BothWays:
    """Callers through the proxy and straight at a booking server, in turn; ended as a context."""

    def __init__(self, bench: Bench) -> None:
        self._loop = EventLoop()
        places = len(bench.endpoints)
        host, _, port = bench.endpoints[0].rpartition(":")
        self.proxied = Line(self._loop, bench.address, places)
        self.direct = Line(self._loop, (host, int(port)), places)

    def __enter__(self) -> BothWays:
        return self

    def __exit__(self, *_: object) -> None:
        self.proxied.close()
        self.direct.close()

    def place(self, seconds: float, depth: int = 1) -> list[Latencies]:
        """Calls at the planned pace for so long; what the proxied and the direct ones took."""
        return place_calls(self._loop, [self.proxied, self.direct], CALLS_PER_S, seconds, depth)


def measure(
    servers: int,
    memory_mb: int,
    descriptors: int,
    durations: Durations,
    extra: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """One row: a proxy with so many listed booking servers."""
    with Bench(servers, memory_mb, descriptors, extra) as bench:
        links = bench.await_links()
        before = bench.sample()
        time.sleep(durations.rest_s)
        rest = rates(before, bench.sample())
        with BothWays(bench) as callers:
            callers.place(durations.rest_s / 2.0)  # warm
            before = bench.sample()
            single = callers.place(durations.calls_s)
            calls = rates(before, bench.sample())
            chains = callers.place(durations.chains_s, DEPTH)
    return {
        "servers": servers,
        "memory_mb": memory_mb,
        "descriptors_allowed": descriptors,
        "links": links,
        "rest": rest,
        "calls": calls,
        "single": latencies(*single),
        "chain": latencies(*chains),
    }


def rates(before: Sample, after: Sample) -> dict[str, float]:
    """What the proxy used between two samples; bytes count both ways."""
    seconds = after.at_s - before.at_s
    states = after.servers.state_bytes - before.servers.state_bytes
    polled = after.board.bytes_in + after.board.bytes_out - before.board.bytes_in - before.board.bytes_out
    pings = after.servers.pings - before.servers.pings
    return {
        "core_percent": round(100.0 * (after.proxy.cpu_s - before.proxy.cpu_s) / seconds, 3),
        "rss_mb": round(after.proxy.rss_mb, 2),
        "threads": after.proxy.threads,
        "descriptors": after.proxy.descriptors,
        "states_per_s": round((after.servers.states - before.servers.states) / seconds, 2),
        "state_bytes_per_s": round(states / seconds, 1),
        "list_bytes_per_s": round(polled / seconds, 1),
        "probes_per_s": round(pings / seconds, 3),
    }


def latencies(proxied: Latencies, direct: Latencies) -> dict[str, Any]:
    """Percentiles both ways, and what the proxy adds: the difference of the percentiles."""
    through, straight = proxied.percentiles(), direct.percentiles()
    added = {name: round(through[name] - straight[name], 3) for name in through if name in straight}
    return {
        "answered": len(proxied.answered_ms),
        "refused": proxied.refused,
        "through": through,
        "direct": straight,
        "added": added,
    }


def experiment(quick: bool) -> dict[str, Any]:
    """Each size twice with ample limits, the largest with those that are allowed, and with a subset."""
    sizes, durations = (QUICK_SIZES, QUICK) if quick else (SIZES, Durations())
    repeats = 1 if quick else 2
    rows = [measure(size, AMPLE_MB, AMPLE_DESCRIPTORS, durations) for _ in range(repeats) for size in sizes]
    return {
        "rows": rows,
        "allowed": measure(sizes[-1], ALLOWED_MB, ALLOWED_DESCRIPTORS, durations),
        "subset": [
            measure(sizes[-1], ALLOWED_MB, ALLOWED_DESCRIPTORS, durations, {"subset": {"size": SUBSET_SIZE}})
            for _ in range(repeats)
        ],
        "subset_size": SUBSET_SIZE,
        "calls_per_s": CALLS_PER_S,
        "depth": DEPTH,
        "state_s": booking_servers.STATE_S,
    }
