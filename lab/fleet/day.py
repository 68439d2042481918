"""Runs one day: starts the proxies, applies the script, checks the rules and stops every process."""

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
from lab.fleet.board import NoticeBoard
from lab.fleet.callers import CLASSES, CallerGroup, schedule
from lab.fleet.network import EventLoop
from lab.fleet.processes import AddressBlock, Process, free_port
from lab.fleet.records import DayRecord, LinkFault, Outcome, ProxyRun
from lab.fleet.rough_callers import RoughCallers
from lab.fleet.script import HANGS_WITH_REPORTS, Shape, Step, extra_config, script, uid
from lab.fleet.servers import BookingServer

READY_MS = 30_000.0  # the platform's limit on start-up; callers arrive once all proxies are ready
PROCESS_POLL_INTERVAL_MS = 20.0  # between checks for exited processes
MAX_CALL_END_WAIT_MS = checker.Contract().undelivered_end_ms  # until the last call end has been notified
WEBSOCKET_DAYS = ("storm",)  # with the WebSocket front on
MAX_VERDICT_LAG_MS = 400.0  # with more lag, a proxy's fault can't be told from the test rig's
# Short deadlines keep the days short; the other values are the site's.
CONTRACT = world.Contract(aim_ms=(500.0, 375.0), deadline_ms=2250.0, hold_ms=700.0, dear_share=0.22)
# The platform sends SIGKILL no sooner after SIGTERM than the longest deadline, 3 s at most, and 0.7 s.
KILL_AFTER_TERM_MS = min(CONTRACT.deadline_ms, 3000.0) + 700.0


@dataclass(frozen=True, slots=True)
class Plan:
    """A day to run.  load: share of the booking servers' total capacity; skew: traffic of every tenth proxy
    relative to the others."""

    name: str
    seed: int
    shape: Shape = field(default_factory=Shape)
    load: float = 0.6
    per_s: float = 15.0  # mean capacity of a booking server
    spread: float = 2.0  # ratio of the largest to the smallest capacity
    skew: float = 3.0
    memory_mb: int = 64
    sockets: int = 256
    options: tuple[str, ...] = ()  # command line options of `serve`
    extra: dict[str, Any] = field(default_factory=dict)  # additions to the configuration


@dataclass(slots=True)
class Report:
    """The result of a day."""

    plan: Plan
    record: DayRecord
    violations: list[checker.Violation]
    served: float  # value established in time over value offered, with a caller's redials counted as one call
    by_class: dict[str, float]
    tries: int
    outcomes: Counter[str]
    attempts: float  # mean per try
    ready_s: float
    logs: dict[str, str]

    @property
    def verdict(self) -> str:
        """Whether the rules were kept, or why that can't be judged."""
        if self.violations:
            return "rules broken"
        if self.record.max_lag_ms > MAX_VERDICT_LAG_MS:
            return f"no verdict: the stand-ins were {self.record.max_lag_ms:.0f} ms late"
        return "rules kept"

    def as_json(self) -> dict[str, Any]:
        """Return the report as a JSON object."""
        return {
            "day": self.plan.name,
            "seed": self.plan.seed,
            "proxies": self.plan.shape.proxies,
            "servers": self.plan.shape.servers,
            "load": self.plan.load,
            "verdict": self.verdict,
            "broken": dict(Counter(one.rule for one in self.violations)),
            "served": round(self.served, 4),
            "by_class": {name: round(value, 4) for name, value in self.by_class.items()},
            "tries": self.tries,
            "outcomes": dict(self.outcomes),
            "attempts": round(self.attempts, 4),
            "connections": self.record.connections,
            "late_ms": round(self.record.max_lag_ms, 1),
            "late_refusals": len(checker.late_refusals(self.record)),
            "ready_s": round(self.ready_s, 2),
            "busy": round(self.record.cpu_share, 2),
        }

    def text(self) -> str:
        """Return a one-line summary."""
        result = self.as_json()
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        return (
            f"{result['day']:<6} seed {result['seed']}: {self.verdict}; served {self.served:.3f}, "
            f"{self.tries} tries ({outcomes}), {self.attempts:.2f} attempts a try, "
            f"{result['connections']} connections, stand-ins {result['late_ms']:.0f} ms late at the most, "
            f"{100 * self.record.cpu_share:.0f}% of the machine"
        )

    def keep_logs(self, folder: str) -> None:
        """Write the processes' logs to a subfolder named after the day and the seed."""
        kept = Path(folder) / f"{self.plan.name}-{self.plan.seed}"
        kept.mkdir(parents=True, exist_ok=True)
        for name, text in self.logs.items():
            (kept / name).write_text(text)


class Day:
    """Assembles and runs one day; everything but play() runs on the event loop's thread."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan, self.folder = plan, folder
        self.loop, self.record = EventLoop(), DayRecord()
        shape, rng = plan.shape, random.Random(f"day {plan.seed}")
        count = shape.servers + shape.spares
        sizes = [plan.spread ** rng.uniform(-0.5, 0.5) for _ in range(count)]
        scale = plan.per_s * shape.servers / sum(sizes[: shape.servers])
        self.servers = [
            BookingServer(
                self.loop,
                self.record,
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
        self.runs: dict[int, ProxyRun] = {}
        self.processes: dict[int, Process] = {}
        self.address_block = AddressBlock()
        self.boards: list[NoticeBoard] = []
        self.caller_groups: list[CallerGroup] = []
        self.rough_callers: list[RoughCallers] = []
        self.addresses: list[tuple[str, int]] = []
        self.websocket_addresses: dict[int, tuple[str, int]] = {}  # where the day has that front
        for proxy in range(shape.proxies):
            high, low = divmod(proxy, 250)
            host = self.address_block.host(proxy)
            self.addresses.append((host, free_port(host)))
            if plan.name in WEBSOCKET_DAYS:
                self.websocket_addresses[proxy] = (host, free_port(host))
            self.boards.append(NoticeBoard(self.loop, self.record, proxy, host))
            self.caller_groups.append(
                CallerGroup(
                    self.loop,
                    self.record,
                    proxy,
                    self.addresses[-1],
                    (CONTRACT.deadline_ms,) * len(CLASSES),
                    random.Random(f"front {plan.seed} {proxy}"),
                )
            )
            self._add_rough_callers(proxy)
            for n, server in enumerate(self.servers):
                server.add_link(
                    proxy,
                    f"127.{2 + n % 200}.{high + 8 * (n // 200)}.{low + 1}",
                    functools.partial(self._current_run, proxy),
                )
        weights = np.array([plan.skew if n % 10 == 0 else 1.0 for n in range(shape.proxies)])
        self.traffic_bounds = np.cumsum(weights / weights.sum())

    def _add_rough_callers(self, proxy: int) -> None:
        group = self.caller_groups[proxy]
        rough = RoughCallers(
            self.loop,
            self.record,
            proxy,
            self.addresses[proxy],
            lambda: group.run,
            CONTRACT.deadline_ms,
            self.plan.shape.servers,
            random.Random(f"rough {self.plan.seed} {proxy}"),
            self.websocket_addresses.get(proxy),
            group.newest_open,
        )
        # Both come from one host, where the end of a call may be told on any connection.
        group.on_unknown, rough.on_unknown = rough.take, group.take
        group.redirect = self._redirect
        self.rough_callers.append(rough)

    def _redirect(self, arrival: world.Arrival) -> None:
        """Place a call at any proxy that can be reached."""
        any(group.place_call(arrival) for group in self.caller_groups)

    def _current_run(self, proxy: int) -> int:
        """Return the number of the proxy's current run, 0 before the first."""
        return self.runs[proxy].number if proxy in self.runs else 0

    # -- proxies --------------------------------------------------------------------------------------
    def config(self, proxy: int) -> dict[str, Any]:
        """Return the configuration that the platform gives a proxy at its start."""
        run = self.runs[proxy]
        known = self.boards[proxy].start_run(
            run.number, [s for n, s in enumerate(self.servers) if n in self.listed]
        )
        return self._table(proxy, known)

    def _table(self, proxy: int, known: dict[str, Any]) -> dict[str, Any]:
        run, shape = self.runs[proxy], self.plan.shape
        host, port = self.addresses[proxy]
        pools = list(range(shape.servers))
        return (
            {
                "name": f"n{proxy}",
                "listen": f"{host}:{port}",
                "board": self.boards[proxy].address,
                "known": known,
                "seed": f"{random.Random(f'{self.plan.seed} {proxy} {run.number}').getrandbits(64):016x}",
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
                        "pools-by-class": [pools, pools],
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
            | extra_config(self.plan.name, shape)
            | self._websocket_config(proxy)
            | self.plan.extra
        )

    def _websocket_config(self, proxy: int) -> dict[str, Any]:
        """The second front, with descriptors of its own, where the day has it."""
        if proxy not in self.websocket_addresses:
            return {}
        host, port = self.websocket_addresses[proxy]
        limits = {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": 2 * self.plan.sockets}
        return {"websocket": {"listen": f"{host}:{port}"}, "limits": limits}

    def start(self, proxy: int) -> None:
        """Start a new run of a proxy."""
        before = self.runs.get(proxy)
        run = ProxyRun(proxy, before.number + 1 if before else 1, self.loop.now_ms)
        self.runs[proxy] = run
        self.record.runs.append(run)
        self.processes[proxy] = Process(self.folder, f"n{proxy}", self.config(proxy), list(self.plan.options))
        self.caller_groups[proxy].await_run(run)

    def poll_processes(self) -> None:
        """Record exited processes, and restart those that were terminated."""
        for proxy, run in list(self.runs.items()):
            if run.ended_ms == math.inf and (status := self.processes[proxy].status()) is not None:
                run.ended_ms, run.status = self.loop.now_ms, status
                if run.term_ms < math.inf:
                    self.start(proxy)
        self.loop.after(PROCESS_POLL_INTERVAL_MS, self.poll_processes)

    def kill(self, proxy: int, run: ProxyRun) -> None:
        """Send SIGKILL if this run is still going on."""
        if self.runs[proxy] is run and run.ended_ms == math.inf:
            run.killed_ms = min(run.killed_ms, self.loop.now_ms)
            self.processes[proxy].signal(signal.SIGKILL)

    # -- the script -----------------------------------------------------------------------------------
    def apply(self, step: Step) -> None:
        """Apply a step of the script."""
        proxies = step.proxies or tuple(range(self.plan.shape.proxies))
        servers = step.servers or tuple(range(len(self.servers)))
        if step.action in ("dark", "light", "delay", "cut", "lose", "late", "pieces"):
            for server, proxy in ((self.servers[n], proxy) for n in servers for proxy in proxies):
                link = server.links[proxy]
                if step.action == "dark" or step.action == "delay" and step.value > 0.0:
                    self.record.link_faults.append(LinkFault(proxy, server.uid, self.loop.now_ms))
                elif step.action in ("light", "delay"):
                    for one in self.record.link_faults:
                        if (one.proxy, one.server) == (proxy, server.uid):
                            one.to_ms = min(one.to_ms, self.loop.now_ms + link.delay_ms)
                match step.action:
                    case "dark":
                        link.partition()
                    case "light":
                        link.heal()
                    case "delay":
                        link.delay_ms = step.value
                    case "cut":
                        link.reset_connections()
                    case "lose":
                        link.loss_rate = step.value
                    case "pieces":
                        link.fragmented = bool(step.value)
                    case "late" if step.value:
                        link.block_connects()
                    case "late":
                        link.unblock_connects()
        elif step.servers:
            self._apply_to_servers(step)
        else:
            for proxy in step.proxies:
                self._apply_to_proxy(step, proxy, self.runs[proxy])

    def _apply_to_proxy(self, step: Step, proxy: int, run: ProxyRun) -> None:
        now_ms, process = self.loop.now_ms, self.processes[proxy]
        match step.action:
            case "kill":
                self.kill(proxy, run)
            case "start":
                process.end()
                run.ended_ms = min(run.ended_ms, now_ms)
                self.start(proxy)
            case "term" if run.ended_ms == math.inf:
                run.term_ms = now_ms
                process.signal(signal.SIGTERM)
                self.loop.after(KILL_AFTER_TERM_MS, self.kill, proxy, run)
            case "stop":
                run.stalls.append((now_ms, math.inf))
                process.signal(signal.SIGSTOP)
            case "cont":
                run.stalls[-1] = (run.stalls[-1][0], now_ms)
                process.signal(signal.SIGCONT)
            case "hold":
                self.boards[proxy].held = True
            case "show":
                self.boards[proxy].release_held()
            case "down":
                self.boards[proxy].stop()
            case "up":
                self.boards[proxy].restart()
            case "mute":
                self.boards[proxy].partitioned = True
            case "unmute":
                self.boards[proxy].heal()
            case "move" | "reload":
                if step.action == "move":
                    self.boards[proxy].move()
                process.reload(self._table(proxy, self.boards[proxy].known()))
            case "rough":
                self.rough_callers[proxy].start(step.value)
            case "crowd":
                self.rough_callers[proxy].crowd(int(step.value))

    def _apply_to_servers(self, step: Step) -> None:
        chosen = [self.servers[n] for n in step.servers]
        for server in chosen:
            match step.action:
                case "drain":
                    server.state = "draining"
                case "die":
                    server.die()
                    if server.state == "draining":
                        server.state = "removed"
                case "vanish":
                    server.die()
                case "return":
                    server.restart(cold=False)
                case "back":
                    server.restart()
                case "add":
                    server.restart()
                    server.state = "up"
                case "slow":
                    server.model.slowness = step.value
                case "fail":
                    server.failure_rate = step.value
                case "hang":
                    server.set_hung(bool(step.value), reports=step.value == HANGS_WITH_REPORTS)
                case "deaf":
                    server.set_hung(bool(step.value))
                    server.set_listening(not step.value)
                case "spoil":
                    server.spoil(int(step.value))
        if step.action == "over":
            old, new = chosen
            old.state, new.state = "removed", "up"
            new.take_over(old)
            new.restart()
        if step.action in ("drain", "die", "back", "add", "over"):
            self.listed |= {n for n in step.servers if self.servers[n].state != "removed"}
            self.listed -= {n for n in step.servers if self.servers[n].state == "removed"}
            for board in self.boards:
                board.publish(chosen)

    # -- the day --------------------------------------------------------------------------------------
    def arrivals(self) -> list[world.Arrival]:
        """Draw the arrivals of calls."""
        shape = self.plan.shape
        rng = np.random.default_rng(self.plan.seed)
        shares = rng.dirichlet(np.full(shape.servers, 6.0))  # first choices, independent of capacities
        per_s = self.plan.load * self.plan.per_s * shape.servers
        return world.arrivals(rng, CONTRACT, 0.0, 1000.0 * shape.seconds, per_s, tuple(shares))

    def pick(self, chance: float) -> int:
        """Return the proxy for a uniform draw, by share of traffic."""
        return min(int(np.searchsorted(self.traffic_bounds, chance)), self.plan.shape.proxies - 1)

    def play(self) -> Report:
        """Run the day and return its report."""
        thread = threading.Thread(target=self.loop.poller.run, name="simulated-peers", daemon=True)
        thread.start()
        began_s, cpu_before_s = time.monotonic(), _cpu_seconds()
        arrivals = self.arrivals()
        try:
            self._run_on_loop(self._start_all)
            self._wait(lambda: all(run.ready_ms < math.inf for run in self.runs.values()), READY_MS)
            ready_s = time.monotonic() - began_s
            self._run_on_loop(lambda: self._begin(arrivals))
            time.sleep(self.plan.shape.seconds + 0.2)
            self._run_on_loop(self._stop_calls)
            self._wait(
                lambda: (
                    not any(
                        group.pending_count or rough.pending_count
                        for group, rough in zip(self.caller_groups, self.rough_callers, strict=True)
                    )
                ),
                CONTRACT.deadline_ms + 500.0,
            )
            # Established calls end, and their callers are notified, before the shutdown.
            self._wait(
                lambda: (
                    all(
                        a.end_notified_ms < math.inf
                        for a in self.record.setups
                        if a.outcome is Outcome.ESTABLISHED
                    )
                    and all(a.end_ms < math.inf for a in self.record.attempts)
                ),
                1000.0 + MAX_CALL_END_WAIT_MS,
            )
            self.record.ended_ms = self.loop.now_ms
            self.record.max_lag_ms, self.record.max_lag_at_ms = self.loop.max_lag_ms, self.loop.max_lag_at_ms
            self._run_on_loop(self._close)
        finally:
            self.loop.poller.end()
            thread.join(10.0)
            for process in self.processes.values():
                process.end()
            self.address_block.release()
        self.record.cpu_share = (
            (_cpu_seconds() - cpu_before_s) / (time.monotonic() - began_s) / (os.cpu_count() or 1)
        )
        if self.loop.poller.failures:
            raise RuntimeError(
                f"{len(self.loop.poller.failures)} exceptions in the simulated peers:\n"
                + self.loop.poller.failures[0]
            )
        return self._report(ready_s, arrivals)

    def _begin(self, arrivals: list[world.Arrival]) -> None:
        began_ms = self.loop.now_ms + 200.0
        self.loop.measure_lag()
        self.poll_processes()
        schedule(self.loop, arrivals, began_ms, self.caller_groups, self.pick)
        for step in script(self.plan.name, self.plan.shape, self.plan.seed):
            self.loop.poller.call_at(began_ms + step.at_ms, lambda step=step: self.apply(step))  # type: ignore[misc]

    def _start_all(self) -> None:
        for proxy in range(self.plan.shape.proxies):
            self.start(proxy)

    def _stop_calls(self) -> None:
        for group in self.caller_groups:
            group.stop_calls()
        for rough in self.rough_callers:
            rough.stop()

    def _close(self) -> None:
        for group in self.caller_groups:
            group.close()
        for rough in self.rough_callers:
            rough.close()
        for link in {link for server in self.servers for link in server.links.values()}:
            link.close()

    def _run_on_loop(self, callback: Any) -> None:
        done = threading.Event()

        def run() -> None:
            try:
                callback()
            finally:
                done.set()

        self.loop.poller.call_soon(run)
        done.wait(60.0)

    def _wait(self, condition: Any, timeout_ms: float) -> None:
        """Wait until the condition holds or the time is up; the checker reports what is missing then."""
        by_s = time.monotonic() + timeout_ms / 1000.0
        while time.monotonic() < by_s and not condition():
            time.sleep(0.02)

    def _report(self, ready_s: float, arrivals: list[world.Arrival]) -> Report:
        record = self.record
        limits = checker.Contract(
            CONTRACT.drain_grace_ms,
            CONTRACT.release_ms,
            CONTRACT.max_attempts,
            CONTRACT.cold_from,
            CONTRACT.ramp_ms,
            CONTRACT.fall_multiple,
            CONTRACT.fall_ms,
            kill_after_term_ms=KILL_AFTER_TERM_MS,
        )
        violations = checker.check(record, limits)
        offered: Counter[str] = Counter()
        for arrival in arrivals:
            offered[CLASSES[arrival.kind]] += 1
        in_time: Counter[str] = Counter()
        for one in record.setups:
            aim_ms = CONTRACT.aim_ms[CLASSES.index(one.kind)]
            if (
                one.outcome is Outcome.ESTABLISHED
                and not one.interrupted
                and one.outcome_ms - one.sent_ms <= aim_ms
            ):
                in_time[one.kind] += 1
        by_class = {name: min(1.0, in_time[name] / offered[name]) for name in CLASSES if offered[name]}
        worth = {name: CONTRACT.worth[n] * offered[name] for n, name in enumerate(CLASSES)}
        served = sum(by_class[name] * worth[name] for name in by_class) / max(1.0, sum(worth.values()))
        logs = {name.name: name.read_text(errors="replace") for name in sorted(self.folder.glob("*.log"))}
        return Report(
            self.plan,
            record,
            violations,
            served,
            by_class,
            len(record.setups),
            Counter(one.outcome.value for one in record.setups),
            len(record.attempts) / max(1, len(record.setups)),
            ready_s,
            logs,
        )


def _cpu_seconds() -> float:
    """Return the CPU seconds of this process and of its reaped children."""
    both = [resource.getrusage(who) for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)]
    return sum(one.ru_utime + one.ru_stime for one in both)


def play(plan: Plan) -> Report:
    """Run the day in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        return Day(plan, Path(folder)).play()
