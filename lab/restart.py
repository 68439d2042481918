"""What remembering is worth: the same day with and without memory, over a restart.

Arms: memory fresh, an hour old, a day old, none; and memory that is wrong, since the servers have become
twice as slow or have all started again since.  Each arm meets the same callers; the difference to the arm
without memory is taken seed by seed.
"""

from __future__ import annotations

import concurrent.futures
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import numpy as np

from capershelf.memory.records import Checkpoint
from lab.engine import Engine
from lab.proxy import Proxy
from lab.rules import Rules
from lab.world import Arrival, Contract, Server, arrivals, interval

BEGAN_MS = 1_700_000_000_000.0
BEFORE_MS = 20_000.0  # of learning before the restart
DOWN_MS = 1500.0
SERVERS_DOWN_MS, LISTED_AFTER_MS = 1000.0, 500.0  # where booking servers start again meanwhile
AFTER_MS = 30_000.0
WINDOWS_MS = (10_000.0, 30_000.0)
PROXIES = 4
PER_SERVER_S = (60.0, 40.0, 30.0)  # calls a second that the servers do when warm
LINES_FACTOR = 1.6  # lines for what stands there at full load, and more
HOUR_MS, DAY_MS = 3_600_000.0, 86_400_000.0
WORLDS = {
    "as it was": ("none", "fresh", "hour", "day"),
    "twice as slow": ("none", "fresh"),
    "all cold": ("none", "fresh"),
}


@dataclass(frozen=True, slots=True)
class Arm:
    """One run: who restarts, the load, what has become of the servers, and what is remembered."""

    everyone: bool
    load: float
    world: str
    memory: str
    seed: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """Worth served over worth asked for by window, and the rules.

    Of the whole fleet, whoever restarted: what one proxy takes for itself may be the others' loss.
    """

    worth: tuple[float, ...]
    broken: dict[str, int]
    most_cold: float


class Day:
    """One run."""

    def __init__(self, arm: Arm) -> None:
        self.arm, self.contract = arm, Contract()
        self.engine = Engine(BEGAN_MS)
        self.rules = Rules(self.contract)
        rng = np.random.Generator(np.random.PCG64(arm.seed))
        holds = np.random.Generator(np.random.PCG64([arm.seed, 1]))
        self.servers = [
            Server(
                self.engine,
                self.contract,
                f"s{place}",
                place,
                per_s,
                int(LINES_FACTOR * per_s * self.contract.hold_ms / 1000.0),
                lambda: float(holds.exponential(self.contract.hold_ms)),
            )
            for place, per_s in enumerate(PER_SERVER_S)
        ]
        self.proxies = [
            Proxy(self.engine, self.contract, self.rules, n, PROXIES, 1000 * arm.seed, self.servers)
            for n in range(PROXIES)
        ]
        total = sum(PER_SERVER_S)
        shares = tuple(per_s / total for per_s in PER_SERVER_S)
        for server in self.servers:
            self.rules.watch(server)
        self.restart_ms = BEGAN_MS + BEFORE_MS
        self.up_ms = self.restart_ms + DOWN_MS
        end_ms = self.up_ms + AFTER_MS
        callers = arrivals(rng, self.contract, BEGAN_MS, end_ms, arm.load * total, shares)
        self.calls = 0
        self.offered = [0.0] * len(WINDOWS_MS)
        self.served = [0.0] * len(WINDOWS_MS)
        for arrival in callers:
            self.engine.at(arrival.at_ms, self._dial, arrival, 0)
        self.engine.at(self.restart_ms, self._restart)

    def run(self) -> Outcome:
        for proxy in self.proxies:
            proxy.up(None)
        self.engine.run(self.up_ms + AFTER_MS + self.contract.deadline_ms)
        worth = tuple(s / o for s, o in zip(self.served, self.offered, strict=True))
        return Outcome(worth, dict(self.rules.broken), self.rules.most_cold)

    def _restart(self) -> None:
        restarted = self.proxies if self.arm.everyone else self.proxies[:1]
        for proxy in restarted:
            book = proxy.down()
            self.engine.after(DOWN_MS, proxy.up, self._remembered(book))
        if self.arm.world == "twice as slow":
            for server in self.servers:
                server.slowness = 2.0
        if self.arm.world == "all cold":
            for server in self.servers:
                server.restart(SERVERS_DOWN_MS)
            for proxy in self.proxies:
                if proxy.alive:  # they hear of it from the list, as the restarted ones do at their start
                    self.engine.after(LISTED_AFTER_MS, proxy.list_servers)

    def _remembered(self, book: Checkpoint | None) -> Checkpoint | None:
        if book is None or self.arm.memory == "none":
            return None
        older_ms = {"fresh": 0.0, "hour": HOUR_MS, "day": DAY_MS}[self.arm.memory]
        aged = tuple(
            msgspec.structs.replace(s, seen_ms=s.seen_ms - older_ms, rate_ms=s.rate_ms - older_ms)
            for s in book.servers
        )
        return msgspec.structs.replace(book, saved_ms=book.saved_ms - older_ms, servers=aged)

    def _dial(self, arrival: Arrival, tries: int) -> None:
        now_ms = self.engine.now_ms
        proxy = self.proxies[int(arrival.chance * PROXIES)]
        kind = arrival.kind
        counted = arrival.at_ms >= self.up_ms
        windows = [n for n, w in enumerate(WINDOWS_MS) if counted and arrival.at_ms < self.up_ms + w]
        if tries == 0:
            for n in windows:
                self.offered[n] += self.contract.worth[kind]
        last_ms = arrival.at_ms + self.contract.deadline_ms

        def done(outcome: str) -> None:
            at_ms = self.engine.now_ms
            if outcome == "stands":
                late = at_ms > arrival.at_ms + self.contract.aim_ms[kind]
                worth = self.contract.worth[kind] * (self.contract.late_worth[kind] if late else 1.0)
                for n in windows:
                    self.served[n] += worth
            elif tries < len(arrival.redials) and at_ms + arrival.redials[tries] < last_ms - 100.0:
                self.engine.after(arrival.redials[tries], self._dial, arrival, tries + 1)

        if not proxy.alive:
            done("lost")
            return
        self.calls += 1
        proxy.ask(self.calls, arrival, min(last_ms, now_ms + self.contract.deadline_ms), done)


def play(arm: Arm) -> Outcome:
    return Day(arm).run()


@dataclass(frozen=True, slots=True)
class Scope:
    """Which arms are run: everything, or a part with more seeds."""

    loads: tuple[float, ...] = (0.9, 1.0, 1.1)
    restarts: tuple[bool, ...] = (False, True)  # whether everyone restarts
    memories: tuple[str, ...] = ("fresh", "hour", "day")
    worlds: tuple[str, ...] = tuple(WORLDS)

    def groups(self) -> Iterator[tuple[bool, float, str, str]]:
        for everyone in self.restarts:
            for load in self.loads:
                for world in self.worlds:
                    for memory in WORLDS[world]:
                        if memory == "none" or memory in self.memories:
                            yield everyone, load, world, memory


def experiment(seeds: int, first: int, scope: Scope, workers: int) -> dict[str, object]:
    """All arms on all seeds; rows of differences to the arm without memory, with 95% intervals."""
    days = range(first, first + seeds)
    plan = [Arm(*group, seed) for group in scope.groups() for seed in days]
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        found = dict(zip(plan, pool.map(play, plan, chunksize=4), strict=True))
    rng = np.random.Generator(np.random.PCG64(first))
    rows = []
    broken: dict[str, int] = {}
    for outcome in found.values():
        for rule, times in outcome.broken.items():
            broken[rule] = broken.get(rule, 0) + times
    for everyone, load, world, memory in scope.groups():
        mine = [found[Arm(everyone, load, world, memory, seed)] for seed in days]
        none = [found[Arm(everyone, load, world, "none", seed)] for seed in days]
        for n, window_ms in enumerate(WINDOWS_MS):
            gains = [a.worth[n] - b.worth[n] for a, b in zip(mine, none, strict=True)]
            mean, low, high = interval(gains, rng)
            rows.append(
                {
                    "restart": "all" if everyone else "one",
                    "load": load,
                    "world": world,
                    "memory": memory,
                    "seconds": window_ms / 1000.0,
                    "worth": round(float(np.mean([a.worth[n] for a in mine])), 4),
                    "gain": round(mean, 4),
                    "low": round(low, 4),
                    "high": round(high, 4),
                    "most_cold": round(max(a.most_cold for a in mine), 3),
                }
            )
    return {
        "experiment": "restart",
        "seeds": seeds,
        "first": first,
        "runs": len(plan),
        "broken": broken,
        "rows": rows,
    }
