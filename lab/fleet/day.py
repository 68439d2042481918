"""One day of several processes: starts them, plays the script, has the rules checked, ends what it began."""

from __future__ import annotations

import functools
import math
import os
import random
import resource
import signal
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from lab import world
from lab.fleet import checker
from lab.fleet.board import Board
from lab.fleet.callers import CLASSES, Front, schedule
from lab.fleet.processes import Process, free_port
from lab.fleet.records import Life, Outcome, Seen, Unheard
from lab.fleet.script import Shape, Step, extra_of, script, uid
from lab.fleet.servers import BookingServer
from lab.fleet.stage import Stage

READY_MS = 30_000.0  # the platform's own bound, from which on callers come
LOOK_MS = 20.0  # between looks at the processes
AFTER_TERM_MS = 3700.0  # the platform kills what has not ended by then
LONGEST_MS = checker.Contract().unheard_ms  # until the last end is told
NO_VERDICT_MS = 400.0  # stand-ins later than this can't tell a proxy's fault from their own
# Deadlines are short so that days are; the rest is the site's.
CONTRACT = world.Contract(aim_ms=(500.0, 375.0), deadline_ms=2250.0, hold_ms=700.0, dear_share=0.22)


@dataclass(frozen=True, slots=True)
class Plan:
    """A day to play.  load: share of what all booking servers can do; skew: one proxy in ten gets so many
    times the others' traffic."""

    name: str
    seed: int
    shape: Shape = field(default_factory=Shape)
    load: float = 0.6
    per_s: float = 15.0  # what a booking server can do, on average
    spread: float = 2.0  # of sizes: the largest to the smallest
    skew: float = 3.0
    memory_mb: int = 64
    sockets: int = 256
    options: tuple[str, ...] = ()  # of `serve`
    extra: dict[str, Any] = field(default_factory=dict)  # of the configuration


@dataclass(slots=True)
class Report:
    """What came of it."""

    plan: Plan
    seen: Seen
    broken: list[checker.Broken]
    served: float  # worth that stood in time over worth asked for, a caller's further tries counted as one
    by_class: dict[str, float]
    tries: int
    outcomes: Counter[str]
    attempts: float  # for each try
    ready_s: float
    logs: dict[str, str]

    @property
    def verdict(self) -> str:
        if self.broken:
            return "rules broken"
        if self.seen.late_ms > NO_VERDICT_MS:
            return f"no verdict: the stand-ins were {self.seen.late_ms:.0f} ms late"
        return "rules kept"

    def as_json(self) -> dict[str, Any]:
        return {
            "day": self.plan.name,
            "seed": self.plan.seed,
            "proxies": self.plan.shape.proxies,
            "servers": self.plan.shape.servers,
            "load": self.plan.load,
            "verdict": self.verdict,
            "broken": dict(Counter(one.rule for one in self.broken)),
            "served": round(self.served, 4),
            "by_class": {name: round(value, 4) for name, value in self.by_class.items()},
            "tries": self.tries,
            "outcomes": dict(self.outcomes),
            "attempts": round(self.attempts, 4),
            "connections": self.seen.connections,
            "late_ms": round(self.seen.late_ms, 1),
            "ready_s": round(self.ready_s, 2),
            "busy": round(self.seen.busy, 2),
        }

    def text(self) -> str:
        """One line for a person."""
        told = self.as_json()
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        return (
            f"{told['day']:<6} seed {told['seed']}: {self.verdict}; served {self.served:.3f}, "
            f"{self.tries} tries ({outcomes}), {self.attempts:.2f} attempts a try, "
            f"{told['connections']} connections, stand-ins {told['late_ms']:.0f} ms late at the most, "
            f"{100 * self.seen.busy:.0f}% of the machine"
        )

    def keep_logs(self, folder: str) -> None:
        """The processes' logs, under the day's and the seed's name."""
        kept = Path(folder) / f"{self.plan.name}-{self.plan.seed}"
        kept.mkdir(parents=True, exist_ok=True)
        for name, text in self.logs.items():
            (kept / name).write_text(text)


class Day:
    """The parts of one day, put together; everything but play() runs on the stage's thread."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.stage, self.seen = Stage(), Seen()
        shape, rng = plan.shape, random.Random(f"day {plan.seed}")
        count = shape.servers + shape.spares
        sizes = [plan.spread ** rng.uniform(-0.5, 0.5) for _ in range(count)]
        scale = plan.per_s * shape.servers / sum(sizes[: shape.servers])
        self.servers = [
            BookingServer(
                self.stage,
                self.seen,
                uid(n),
                n if n < shape.servers else n - shape.servers,
                n % shape.zones,
                sizes[n] * scale,
                max(4, int(8.0 * sizes[n] * scale)),
                CONTRACT,
                random.Random(f"server {plan.seed} {n}"),
            )
            for n in range(count)
        ]
        self.listed = set(range(shape.servers))
        for spare in self.servers[shape.servers :]:
            spare.state = "removed"
        self.lives: dict[int, Life] = {}
        self.processes: dict[int, Process] = {}
        self.boards, self.fronts, self.addresses = [], [], []
        for proxy in range(shape.proxies):
            high, low = divmod(proxy, 250)
            host = f"127.1.{high}.{low + 1}"
            self.addresses.append((host, free_port(host)))
            self.boards.append(Board(self.stage, self.seen, proxy, host))
            self.fronts.append(
                Front(
                    self.stage,
                    self.seen,
                    proxy,
                    self.addresses[-1],
                    (CONTRACT.deadline_ms,) * len(CLASSES),
                    random.Random(f"front {plan.seed} {proxy}"),
                )
            )
            for n, server in enumerate(self.servers):
                server.way(
                    proxy,
                    f"127.{2 + n % 200}.{high + 8 * (n // 200)}.{low + 1}",
                    functools.partial(self._life_of, proxy),
                )
        weights = np.array([plan.skew if n % 10 == 0 else 1.0 for n in range(shape.proxies)])
        self.bounds = np.cumsum(weights / weights.sum())

    def _life_of(self, proxy: int) -> int:
        """The number of the proxy's present life, 0 before its first."""
        return self.lives[proxy].number if proxy in self.lives else 0

    # -- proxies --------------------------------------------------------------------------------------
    def table(self, proxy: int) -> dict[str, Any]:
        """What the platform tells a proxy."""
        life = self.lives[proxy]
        shape = self.plan.shape
        host, port = self.addresses[proxy]
        places = list(range(shape.servers))
        known = self.boards[proxy].begin(
            life.number, [s for n, s in enumerate(self.servers) if n in self.listed]
        )
        return (
            {
                "name": f"n{proxy}",
                "listen": f"{host}:{port}",
                "board": self.boards[proxy].address,
                "known": known,
                "seed": f"{random.Random(f'{self.plan.seed} {proxy} {life.number}').getrandbits(64):016x}",
                "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": self.plan.sockets},
                "settings": {
                    "slot-no": proxy,
                    "group-size": shape.proxies,
                    "period": 5.0,
                    "bounds": {
                        "cancel": True,
                        "connect-timeout": 300.0,
                        "max-attempts": CONTRACT.max_attempts,
                        "may-probe": True,
                    },
                    "contract": {
                        "answer-slack": 20.0,
                        "cold-from": CONTRACT.cold_from,
                        "fall": CONTRACT.fall_ms,
                        "drain-grace": CONTRACT.drain_grace_ms,
                        "ramp-time": CONTRACT.ramp_ms,
                        "tip-multiple": CONTRACT.fall_multiple,
                    },
                    "family-info": {
                        "release": CONTRACT.release_ms,
                        "t1": CONTRACT.resend_ms,
                        "topology": "groups",
                        "channels-needed": [1, 1],
                        "pools-by-class": [places, places],
                    },
                    "telemetry": {"via": "piggyback", "fields": ["spare", "total"]},
                    "categories": [
                        {
                            "name": name,
                            "aim": CONTRACT.aim_ms[n],
                            "deadline": CONTRACT.deadline_ms,
                            "credit": CONTRACT.worth[n],
                            "late-worth": CONTRACT.late_worth[n],
                        }
                        for n, name in enumerate(CLASSES)
                    ],
                },
            }
            | extra_of(self.plan.name, shape)
            | self.plan.extra
        )

    def start(self, proxy: int) -> None:
        before = self.lives.get(proxy)
        life = Life(proxy, before.number + 1 if before else 1, self.stage.now_ms)
        self.lives[proxy] = life
        self.seen.lives.append(life)
        self.processes[proxy] = Process(self.folder, f"n{proxy}", self.table(proxy), list(self.plan.options))
        self.fronts[proxy].await_life(life)

    def look(self) -> None:
        """What has become of the processes."""
        for proxy, life in list(self.lives.items()):
            if life.ended_ms == math.inf and (status := self.processes[proxy].status()) is not None:
                life.ended_ms, life.status = self.stage.now_ms, status
                if life.term_ms < math.inf:
                    self.start(proxy)
        self.stage.after(LOOK_MS, self.look)

    def kill(self, proxy: int, life: Life) -> None:
        if self.lives[proxy] is life and life.ended_ms == math.inf:
            life.killed_ms = min(life.killed_ms, self.stage.now_ms)
            self.processes[proxy].signal(signal.SIGKILL)

    # -- the script -----------------------------------------------------------------------------------
    def carry_out(self, step: Step) -> None:
        proxies = step.proxies or tuple(range(self.plan.shape.proxies))
        servers = step.servers or tuple(range(len(self.servers)))
        if step.verb in ("dark", "light", "delay", "cut", "lose"):
            for server, proxy in ((self.servers[n], proxy) for n in servers for proxy in proxies):
                way = server.ways[proxy]
                if step.verb == "dark" or step.verb == "delay" and step.value > 0.0:
                    self.seen.unheard.append(Unheard(proxy, server.uid, self.stage.now_ms))
                elif step.verb in ("light", "delay"):
                    for one in self.seen.unheard:
                        if (one.proxy, one.server) == (proxy, server.uid):
                            one.to_ms = min(one.to_ms, self.stage.now_ms + way.delay_ms)
                match step.verb:
                    case "dark":
                        way.darken()
                    case "light":
                        way.lighten()
                    case "delay":
                        way.delay_ms = step.value
                    case "cut":
                        way.cut()
                    case "lose":
                        way.lost = step.value
        elif step.servers:
            self._to_servers(step)
        else:
            for proxy in step.proxies:
                self._to_proxy(step, proxy, self.lives[proxy])

    def _to_proxy(self, step: Step, proxy: int, life: Life) -> None:
        now_ms, process = self.stage.now_ms, self.processes[proxy]
        match step.verb:
            case "kill":
                self.kill(proxy, life)
            case "start":
                process.end()
                life.ended_ms = min(life.ended_ms, now_ms)
                self.start(proxy)
            case "term" if life.ended_ms == math.inf:
                life.term_ms = now_ms
                process.signal(signal.SIGTERM)
                self.stage.after(AFTER_TERM_MS, self.kill, proxy, life)
            case "stop":
                life.stalls.append((now_ms, math.inf))
                process.signal(signal.SIGSTOP)
            case "cont":
                life.stalls[-1] = (life.stalls[-1][0], now_ms)
                process.signal(signal.SIGCONT)
            case "hold":
                self.boards[proxy].held = True
            case "show":
                self.boards[proxy].let_go()

    def _to_servers(self, step: Step) -> None:
        chosen = [self.servers[n] for n in step.servers]
        for server in chosen:
            match step.verb:
                case "drain":
                    server.state = "draining"
                case "die":
                    server.die()
                    if server.state == "draining":
                        server.state = "removed"
                case "back":
                    server.come_back()
                case "add":
                    server.come_back()
                    server.state = "up"
                case "slow":
                    server.model.slowness = step.value
                case "fail":
                    server.failing = step.value
                case "hang":
                    server.hung = bool(step.value)
        if step.verb == "over":
            old, new = chosen
            old.state, new.state = "removed", "up"
            new.take_over(old)
            new.come_back()
        if step.verb in ("drain", "die", "back", "add", "over"):
            self.listed |= {n for n in step.servers if self.servers[n].state != "removed"}
            self.listed -= {n for n in step.servers if self.servers[n].state == "removed"}
            for board in self.boards:
                board.changed(chosen)

    # -- the day --------------------------------------------------------------------------------------
    def arrivals(self) -> list[world.Arrival]:
        shape = self.plan.shape
        rng = np.random.default_rng(self.plan.seed)
        shares = rng.dirichlet(np.full(shape.servers, 6.0))  # first choices, by other shares than the sizes
        per_s = self.plan.load * self.plan.per_s * shape.servers
        return world.arrivals(rng, CONTRACT, 0.0, 1000.0 * shape.seconds, per_s, tuple(shares))

    def pick(self, chance: float) -> int:
        return min(int(np.searchsorted(self.bounds, chance)), self.plan.shape.proxies - 1)

    def play(self) -> Report:
        thread = threading.Thread(target=self.stage.poller.run, name="stage", daemon=True)
        thread.start()
        began_s, used_s = time.monotonic(), _used()
        arrivals = self.arrivals()
        try:
            self._on_stage(self._start_all)
            self._wait(lambda: all(life.ready_ms < math.inf for life in self.lives.values()), READY_MS)
            ready_s = time.monotonic() - began_s
            self._on_stage(lambda: self._begin(arrivals))
            time.sleep(self.plan.shape.seconds + 0.2)
            self._on_stage(self._close_doors)
            self._wait(lambda: not any(front.open_now for front in self.fronts), CONTRACT.deadline_ms + 500.0)
            # What stands comes to its end, and is told, before anything is taken down.
            self._wait(
                lambda: (
                    all(a.over_ms < math.inf for a in self.seen.asked if a.outcome is Outcome.STANDS)
                    and all(a.end_ms < math.inf for a in self.seen.attempts)
                ),
                1000.0 + LONGEST_MS,
            )
            self.seen.ended_ms = self.stage.now_ms
            self.seen.late_ms, self.seen.late_at_ms = self.stage.late_ms, self.stage.late_at_ms
            self._on_stage(self._close)
        finally:
            self.stage.poller.end()
            thread.join(10.0)
            for process in self.processes.values():
                process.end()
        self.seen.busy = (_used() - used_s) / (time.monotonic() - began_s) / (os.cpu_count() or 1)
        if self.stage.poller.faults:
            raise RuntimeError(
                f"{len(self.stage.poller.faults)} faults in the stand-ins:\n" + self.stage.poller.faults[0]
            )
        return self._report(ready_s, arrivals)

    def _begin(self, arrivals: list[world.Arrival]) -> None:
        began_ms = self.stage.now_ms + 200.0
        self.stage.watch_itself()
        self.look()
        schedule(self.stage, arrivals, began_ms, self.fronts, self.pick)
        for step in script(self.plan.name, self.plan.shape, self.plan.seed):
            self.stage.poller.call_at(began_ms + step.at_ms, lambda step=step: self.carry_out(step))  # type: ignore[misc]

    def _start_all(self) -> None:
        for proxy in range(self.plan.shape.proxies):
            self.start(proxy)

    def _close_doors(self) -> None:
        for front in self.fronts:
            front.close_door()

    def _close(self) -> None:
        for front in self.fronts:
            front.close()
        for way in {way for server in self.servers for way in server.ways.values()}:
            way.end()

    def _on_stage(self, what: Any) -> None:
        done = threading.Event()

        def run() -> None:
            try:
                what()
            finally:
                done.set()

        self.stage.poller.call_soon(run)
        done.wait(60.0)

    def _wait(self, holds: Any, most_ms: float) -> None:
        """Until it holds, for so long at the most; what does not hold then shows in the check."""
        by_s = time.monotonic() + most_ms / 1000.0
        while time.monotonic() < by_s and not holds():
            time.sleep(0.02)

    def _report(self, ready_s: float, arrivals: list[world.Arrival]) -> Report:
        seen = self.seen
        limits = checker.Contract(
            CONTRACT.drain_grace_ms,
            CONTRACT.release_ms,
            CONTRACT.max_attempts,
            CONTRACT.cold_from,
            CONTRACT.ramp_ms,
            CONTRACT.fall_multiple,
            CONTRACT.fall_ms,
        )
        broken = checker.check(seen, limits)
        offered: Counter[str] = Counter()
        for arrival in arrivals:
            offered[CLASSES[arrival.kind]] += 1
        stood: Counter[str] = Counter()
        for one in seen.asked:
            aim_ms = CONTRACT.aim_ms[CLASSES.index(one.kind)]
            if one.outcome is Outcome.STANDS and not one.cut and one.told_ms - one.asked_ms <= aim_ms:
                stood[one.kind] += 1
        by_class = {name: min(1.0, stood[name] / offered[name]) for name in CLASSES if offered[name]}
        worth = {name: CONTRACT.worth[n] * offered[name] for n, name in enumerate(CLASSES)}
        served = sum(by_class[name] * worth[name] for name in by_class) / max(1.0, sum(worth.values()))
        logs = {name.name: name.read_text(errors="replace") for name in sorted(self.folder.glob("*.log"))}
        return Report(
            self.plan,
            seen,
            broken,
            served,
            by_class,
            len(seen.asked),
            Counter(one.outcome.value for one in seen.asked),
            len(seen.attempts) / max(1, len(seen.asked)),
            ready_s,
            logs,
        )


def _used() -> float:
    """Processor seconds of this process and of those it started that have ended."""
    both = [resource.getrusage(who) for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)]
    return sum(one.ru_utime + one.ru_stime for one in both)


def play(plan: Plan) -> Report:
    """Play the day in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return Day(plan, Path(folder)).play()
