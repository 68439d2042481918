"""Streamed configuration at sizes that sockets don't reach: many proxies' state machines against one
service.

Virtual time: a message takes WAY_MS and a bit by chance, and each end SERVICE_US for each message of its
own.
"""

from __future__ import annotations

import json
import tracemalloc
from typing import Any

import numpy as np

from capershelf.stream import document as doc
from capershelf.stream import protocol as p
from capershelf.stream.ledger import VersionHistory, VersionNumber
from lab.engine import Engine

WAY_MS = 5.0
SERVICE_US = 60.0  # for a message at the service, one after another
CLASSES = 12


def settings(version: int) -> dict[str, Any]:
    """A configuration of some size, of which each version changes one class."""
    return {
        "settings": {
            "categories": [
                {
                    "name": f"class-{n}",
                    "aim": 2000.0 + (version if n == version % CLASSES else 0),
                    "deadline": 9000.0,
                    "credit": 1.0,
                    "late-worth": 0.1,
                }
                for n in range(CLASSES)
            ],
            "bounds": {"max-attempts": 1 + version % 6},
            "tenants": [
                {"name": f"tenant-{n}", "quota-per-s": 10.0 + n, "share": 1 / 200} for n in range(200)
            ],
        }
    }


class Fleet:
    """One service and its proxies."""

    def __init__(self, proxies: int, seed: int) -> None:
        self.engine = Engine(0.0)
        self.rng = np.random.Generator(np.random.PCG64(seed))
        self.shelf = p.VersionCache()
        self.bytes = 0
        self.arrived: dict[tuple[int, str], float] = {}
        self.busy_ms = 0.0  # until when the service works
        self.acked: dict[str, float] = {}
        self.wanted = VersionNumber(0, 0)
        self.proxies = [p.ProxySession(f"p{n}", "lab", VersionHistory(), None) for n in range(proxies)]
        self.ends = [p.ServiceSession(self.shelf) for _ in self.proxies]
        for n, proxy in enumerate(self.proxies):
            self.from_proxy(n, proxy.connected("s"))
        self.engine.run(self.engine.now_ms + 1000.0)

    def _way(self, n: int, direction: str, from_ms: float) -> float:
        """When a message arrives; a connection keeps the order of its messages."""
        at_ms = from_ms + WAY_MS + float(self.rng.exponential(1.0))
        self.arrived[n, direction] = max(at_ms, self.arrived.get((n, direction), 0.0))
        return self.arrived[n, direction]

    def from_proxy(self, n: int, steps: list[p.Step]) -> None:
        for step in steps:
            if isinstance(step, p.Send):
                at_ms = self._way(n, "from", self.engine.now_ms)
                self.engine.at(at_ms, self.at_service, n, p.encode(step.message))
            elif isinstance(step, p.VersionReceived):
                self.from_proxy(n, self.proxies[n].accept(step, ()))

    def at_service(self, n: int, line: bytes) -> None:
        self.busy_ms = max(self.busy_ms, self.engine.now_ms) + SERVICE_US / 1000.0
        self.engine.at(self.busy_ms, self.served, n, line)

    def served(self, n: int, line: bytes) -> None:
        self.from_service(n, self.ends[n].receive(p.decode(line)))

    def from_service(self, n: int, steps: list[p.Step]) -> None:
        for step in steps:
            if isinstance(step, p.Send):
                line = p.encode(step.message)
                self.bytes += len(line)
                self.busy_ms = max(self.busy_ms, self.engine.now_ms) + SERVICE_US / 1000.0
                self.engine.at(self._way(n, "to", self.busy_ms), self.at_proxy, n, line)
            elif isinstance(step, p.ProxyReport) and step.kind == "ack" and step.number == self.wanted:
                self.acked.setdefault(step.proxy, self.engine.now_ms)

    def at_proxy(self, n: int, line: bytes) -> None:
        self.from_proxy(n, self.proxies[n].receive(p.decode(line), self.engine.now_ms))

    def push(self, version: int, whole: bool = False) -> dict[str, float]:
        """Publish; how long until the last proxy has acknowledged, and how many bytes went out for it."""
        published = p.Published.of(VersionNumber(1, version), settings(version))
        self.shelf.add(published)
        self.wanted, self.acked, before = published.number, {}, self.bytes
        began_ms = self.engine.now_ms
        for n, end in enumerate(self.ends):
            self.from_service(n, end.offer(published, whole))
        self.engine.run(began_ms + 60_000.0)
        assert len(self.acked) == len(self.proxies), "not all proxies have it"
        return {
            "last_ack_ms": round(max(self.acked.values()) - began_ms, 2),
            "bytes_a_proxy": round((self.bytes - before) / len(self.proxies), 1),
        }


def flat_memory(versions: int) -> dict[str, float]:
    """Kilobytes held after a tenth of so many versions, and after all of them."""
    fleet = Fleet(1, 1)
    tracemalloc.start()
    held = []
    for version in range(1, versions + 1):
        published = p.Published.of(VersionNumber(1, version), settings(version))
        fleet.shelf.add(published)
        fleet.wanted = published.number
        fleet.from_service(0, fleet.ends[0].offer(published))
        fleet.engine.run(fleet.engine.now_ms + 100.0)
        if version in (versions // 10, versions):
            held.append(tracemalloc.get_traced_memory()[0] / 1024.0)
    tracemalloc.stop()
    assert fleet.proxies[0].history.good == VersionNumber(1, versions)
    return {"versions": versions, "early_kb": round(held[0], 1), "late_kb": round(held[1], 1)}


def experiment(sizes: tuple[int, ...], versions: int, seed: int) -> dict[str, Any]:
    rows = []
    for proxies in sizes:
        fleet = Fleet(proxies, seed)
        first = fleet.push(1)
        delta = fleet.push(2)
        whole = fleet.push(3, whole=True)
        rows.append({"proxies": proxies, "first": first, "delta": delta, "whole": whole})
    size = len(doc.canonical(settings(1)))
    return {
        "experiment": "stream",
        "seed": seed,
        "document_bytes": size,
        "rows": rows,
        "memory": flat_memory(versions),
    }


def text_of(found: dict[str, Any]) -> list[str]:
    lines = [f"document of {found['document_bytes']} bytes"]
    for row in found["rows"]:
        for form in ("first", "delta", "whole"):
            got = row[form]
            lines.append(
                f"{row['proxies']:>5} proxies, {form:<5}: last ack after {got['last_ack_ms']:.1f} "
                f"ms, {got['bytes_a_proxy']:.0f} bytes for each"
            )
    lines.append(json.dumps(found["memory"]))
    return lines
