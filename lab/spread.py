"""How evenly hundreds of proxies load the booking servers, each seeing little of it; in virtual time.

Arms meet the same callers: the module (as it stands, or as it was in a commit), and routers that no proxy can
be: one that sees the true state at once, one that sees it 0.5 s late, and one that draws by size.  At each
refusal the day looks at what the booking servers could have done in truth, and at what the refusing proxy
believed of them.
"""

from __future__ import annotations

import concurrent.futures
import functools
import math
import subprocess
import sys
import types
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import numpy as np

from capershelf import control
from capershelf import interface as api
from lab.engine import Engine
from lab.proxy import WAY_MS, Asked, Proxy
from lab.rules import Rules
from lab.world import Arrival, Contract, Server, arrivals, interval

BEGAN_MS = 1_700_000_000_000.0
LATE_MS = 500.0  # the age of the state that the late-seeing router sees
LOOK_MS = 100.0  # between two looks at it
SECOND_MS = 1000.0
LEAST_S, MOST_S = 5.0, 15.0  # calls a second of a warm booking server
LINES_FACTOR = 1.6
IDLE = 0.3  # a booking server so little busy in a second stands by
ABLE = 200.0 / 375.0  # of the least aim: one whose line is shorter could have taken the call in time
# The form `planned`: lines were planned for other traffic than comes, processors are of other sizes still.
PLANNED = Contract(
    aim_ms=(2000.0, 1500.0),
    deadline_ms=9000.0,
    dear_share=0.25,
    hold_ms=9000.0,
    told_ms=1000.0,
    patience_ms=3200.0,
    pauses=(400.0, 800.0),
    retries=2,
    turn_away_ms=2500.0,
)
MEAN_S = 40.0  # calls a second of a warm booking server there
SIZE_CV, SPEED_CV, SHARE_CV, UNASKED = 0.5, 0.35, 0.5, 8  # one place in UNASKED is nobody's first choice
SPARE = 5.0  # square roots of a server's planned load in lines
NOISE = 0.08
FORMS = ("even", "planned")
LEAD_MS = 2000.0  # from the start, which is not judged
WORST_MS = 10_000.0
GREEDY, GREED = 10, 5.0  # one proxy in so many has so many times the others' traffic
WORLDS = ("quiet", "burst", "slow", "failing", "cold", "replaced")
ROUTERS = ("true", "late", "random")


@dataclass(frozen=True, slots=True)
class Arm:
    """One run.  who: module, module@COMMIT or one of ROUTERS."""

    proxies: int
    load: float
    world: str
    who: str
    seed: int
    servers: int = 24
    seconds: float = 20.0
    form: str = "even"


@dataclass(frozen=True, slots=True)
class Outcome:
    """Worth served over worth asked for, and where the rest went."""

    service: float
    worst: float  # of any ten seconds
    by_class: tuple[float, ...]
    tries: int
    refused: int
    refused_while_able: int  # an eligible booking server could have taken it in time
    beliefs: dict[str, int]  # what kept the refusing proxy from the least pressed of those
    idle_seconds: float  # share of seconds with refusals in which a booking server stood by
    attempts: float  # for each try
    late: float  # share of calls that stood too late
    broken: dict[str, int]


class Router:
    """Stands where a Controller does: sends a call to whom choose() says, and once more after a refusal."""

    def __init__(self, choose: Callable[[frozenset[str], api.NewCall], str | None]) -> None:
        self._choose = choose
        self._calls: dict[int, tuple[api.NewCall, set[str]]] = {}

    def learned(self, server: str) -> None:
        return None

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        match event:
            case api.NewCall():
                self._calls[event.call] = event, set()
                return self._send(now_ms, event.call)
            case api.AttemptSucceeded():
                self._calls.pop(event.call, None)
            case api.AttemptEnded() if event.call in self._calls and not event.call_finished:
                self._calls[event.call][1].add(event.server)
                ran = event.result in (api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED)
                if not ran and len(self._calls[event.call][1]) < control.MAX_FULL_ANSWERS:
                    return self._send(now_ms, event.call)
                del self._calls[event.call]
                return [api.Refuse(event.call)]
        return []

    def _send(self, now_ms: float, call: int) -> list[api.Action]:
        event, tried = self._calls[call]
        server = self._choose(frozenset(tried), event)
        if server is None:
            del self._calls[call]
            return [api.Refuse(call)]
        return [api.Send(call, server, event.expires_ms - now_ms)]


class Watched(Proxy):
    """A proxy whose refusals are looked at."""

    refusing: Callable[[Proxy, Asked], None]

    def _final(self, call: int, outcome: str) -> None:
        if outcome == "refused" and call in self.asked:
            self.refusing(self, self.asked[call])
        super()._final(call, outcome)


class FailingServer(Server):
    """One that may fail its set-ups at once."""

    failing = 0.0
    draw: Callable[[], float]

    def set_up(self, setup: Any) -> None:
        if self.failing > 0.0 and self.draw() < self.failing:
            if self.sent_on is not None:
                self.sent_on(self.engine.now_ms)
            setup.tell(api.Result.ERROR, api.RefusalReason.UNSPECIFIED, self.report())
        else:
            super().set_up(setup)


@functools.cache
def module_at(commit: str) -> types.ModuleType:
    """This project's control.py as it was in that commit, if its imports still have their names."""
    found = subprocess.run(
        ["git", "show", f"{commit}:capershelf/control.py"],
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
        check=True,
    )
    module = types.ModuleType(f"control_{commit}")
    sys.modules[module.__name__] = module
    exec(compile(found.stdout, module.__name__, "exec"), module.__dict__)
    return module


class Day:
    """One run."""

    def __init__(self, arm: Arm) -> None:
        self.arm, self.engine = arm, Engine(BEGAN_MS)
        self.contract = PLANNED if arm.form == "planned" else Contract()
        self.able_ms = ABLE * min(self.contract.aim_ms)
        self.rules = Rules(self.contract)
        rng = np.random.Generator(np.random.PCG64(arm.seed))
        chance = np.random.Generator(np.random.PCG64([arm.seed, 1]))
        sizes, lines, wanted = (
            _even(rng, self.contract, arm) if arm.form == "even" else _planned(rng, self.contract, arm)
        )
        self.servers = [
            FailingServer(
                self.engine,
                self.contract,
                f"s{place}",
                place,
                float(per_s),
                int(lines[place]),
                lambda: float(chance.exponential(self.contract.hold_ms)),
            )
            for place, per_s in enumerate(sizes)
        ]
        for server in self.servers:
            server.draw = lambda: float(chance.random())
            self.rules.watch(server)
            if self.contract.told_ms > 0:
                server.tell_rate(lambda: math.exp(NOISE * float(chance.standard_normal())))
        self.by_id = {server.uid: server for server in self.servers}
        self.proxies = [
            Watched(
                self.engine,
                self.contract,
                self.rules,
                n,
                arm.proxies,
                1000 * (arm.proxies * arm.seed + n),
                list(self.servers),
            )
            for n in range(arm.proxies)
        ]
        weights = np.array([GREED if n % GREEDY == GREEDY - 1 else 1.0 for n in range(arm.proxies)])
        self.bounds = np.cumsum(weights / weights.sum())
        shares = tuple(float(x) for x in wanted)
        end_ms = BEGAN_MS + 1000.0 * arm.seconds
        per_s = arm.load * float(sizes.sum())
        callers = arrivals(rng, self.contract, BEGAN_MS, end_ms, per_s, shares)
        if arm.world == "burst":
            burst_ms = BEGAN_MS + 6000.0, BEGAN_MS + 11_000.0
            callers += arrivals(rng, self.contract, *burst_ms, 0.5 * per_s, shares)
            callers.sort(key=lambda arrival: arrival.at_ms)
            callers = [replace(arrival, number=f"n{n}") for n, arrival in enumerate(callers)]
        for arrival in callers:
            self.engine.at(arrival.at_ms, self._dial, arrival, 0)
        self.calls = self.refused = self.able = self.stood = self.late = 0
        self.offered, self.served = Counter[tuple[int, int]](), Counter[tuple[int, int]]()  # second and class
        self.beliefs = Counter[str]()
        self.busy_ms = dict.fromkeys(self.by_id, 0.0)
        self.since = 0  # refusals in this second
        self.seconds_refusing = self.seconds_idle = 0
        self.views: deque[tuple[float, dict[str, tuple[float, int]]]] = deque()
        self._befall()

    # -- what happens ---------------------------------------------------------------------------------
    def _befall(self) -> None:
        at = self.engine.at
        begin_ms, servers = BEGAN_MS + 6000.0, self.servers
        match self.arm.world:
            case "slow":
                at(begin_ms, setattr, servers[0], "slowness", 3.0)
                at(begin_ms + 8000.0, setattr, servers[0], "slowness", 1.0)
            case "failing":
                at(begin_ms, setattr, servers[0], "failing", 0.9)
                at(begin_ms + 8000.0, setattr, servers[0], "failing", 0.0)
            case "cold":  # a zone is lost and returns
                for server in servers[::4]:
                    at(begin_ms, server.restart, 3000.0)
                at(begin_ms + 3500.0, self._list)
            case "replaced":
                for n, server in enumerate(servers[::2]):
                    at(begin_ms + 800.0 * n, server.restart, 500.0)
                    at(begin_ms + 800.0 * n + 1000.0, self._list)

    def _tell(self, server: Server) -> None:
        """The server's free lines, unasked, to all proxies."""
        if self.engine.now_ms >= server.up_ms:
            news = api.ServerReport(server.uid, api.Result.OK, server.report(unasked=True), False)
            for proxy in self.proxies:
                self.engine.after(WAY_MS, proxy.feed, news)
        self.engine.after(self.contract.told_ms, self._tell, server)

    def _list(self) -> None:
        for proxy in self.proxies:
            proxy.list_servers()

    def _look(self) -> None:
        """The true state, kept for the router that sees it late."""
        now_ms = self.engine.now_ms
        self.views.append((now_ms, {s.uid: self._state(s) for s in self.servers}))
        while len(self.views) > 1 and self.views[1][0] <= now_ms - LATE_MS:
            self.views.popleft()
        self.engine.after(LOOK_MS, self._look)

    def _second(self) -> None:
        idle = False
        for server in self.servers:
            busy_ms, self.busy_ms[server.uid] = server.busy_ms - self.busy_ms[server.uid], server.busy_ms
            idle |= busy_ms < IDLE * SECOND_MS and server.up_ms < self.engine.now_ms - SECOND_MS
        if self.since and self.engine.now_ms >= BEGAN_MS + LEAD_MS + SECOND_MS:
            self.seconds_refusing += 1
            self.seconds_idle += idle
        self.since = 0
        self.engine.after(SECOND_MS, self._second)

    # -- the truth ------------------------------------------------------------------------------------
    @staticmethod
    def _state(server: Server) -> tuple[float, int]:
        """Waiting work in ms, and free lines."""
        up = server.engine.now_ms >= server.up_ms
        return (server.waiting_ms / server.speed() if up else math.inf), server.lines - server.taken

    def _choose(self, tried: frozenset[str], event: api.NewCall) -> str | None:
        who = self.arm.who
        if who == "random":
            left = [s for s in self.servers if s.uid not in tried]
            draw = np.random.Generator(np.random.PCG64([event.call, len(tried)]))
            sizes = np.array([1.0 / s.call_ms for s in left])
            return left[int(draw.choice(len(left), p=sizes / sizes.sum()))].uid
        state = {s.uid: self._state(s) for s in self.servers} if who == "true" else self.views[0][1]
        left = [
            s
            for s in self.servers
            if s.uid not in tried and state[s.uid][1] > 0 and state[s.uid][0] < self.able_ms and not s.failing
        ]
        # Of a late state all would choose the same: drawn by size among those with room.
        if who == "late" and left:
            draw = np.random.Generator(np.random.PCG64([event.call, len(tried)]))
            room = np.array([(1.0 - state[s.uid][0] / self.able_ms) / s.call_ms for s in left])
            return left[int(draw.choice(len(left), p=room / room.sum()))].uid
        return min(left, key=lambda s: state[s.uid][0] + s.call_ms).uid if left else None

    def _refusing(self, proxy: Proxy, asked: Asked) -> None:
        """A proxy turns a call away: who could have taken it, and what did the proxy believe?"""
        self.refused += 1
        self.since += 1
        state = {s.uid: self._state(s) for s in self.servers}
        able = [
            s for s in self.servers if state[s.uid][0] < self.able_ms and state[s.uid][1] and not s.failing
        ]
        if not able:
            return
        self.able += 1
        best = min(able, key=lambda s: state[s.uid][0])
        controller = proxy.controller
        gate = getattr(controller, "gates", {}).get(best.uid)
        if gate is not None:
            self.beliefs[self._belief(controller, gate)] += 1

    @staticmethod
    def _belief(controller: Any, gate: Any) -> str:
        if gate.ejected:
            return "failing" if gate.ejected_for_errors else "silent"
        if gate.overloaded:
            now_ms = controller.now_ms
            if gate.estimated_wait_ms(now_ms, controller.stall_ended_ms) > controller.wait_limit_ms:
                oldest = gate.oldest_pending()
                if gate.observed_wait_ms <= controller.wait_limit_ms:
                    return "flagged: its oldest set-up's age"
                stale = now_ms - gate.observed_at_ms > 500.0 and oldest is None
                return "flagged: a wait seen long ago" if stale else "flagged: a wait seen"
            return "flagged: ratio" if gate.ratio_high else "flagged: threshold"
        if gate.free_lines is not None and gate.free_lines < 1.0:
            return "no free line"
        if not controller.in_cold_budget(gate):
            return "cold budget"
        return "paced" if controller.now_ms < gate.paced_until_ms else "two were full, or its time was over"

    # -- callers --------------------------------------------------------------------------------------
    def _dial(self, arrival: Arrival, tries: int) -> None:
        proxy = self.proxies[min(int(np.searchsorted(self.bounds, arrival.chance)), len(self.proxies) - 1)]
        key = int((arrival.at_ms - BEGAN_MS) // SECOND_MS), arrival.kind
        counted = arrival.at_ms >= BEGAN_MS + LEAD_MS
        if tries == 0 and counted:
            self.offered[key] += 1
        last_ms = arrival.at_ms + self.contract.deadline_ms

        def done(outcome: str) -> None:
            now_ms = self.engine.now_ms
            if outcome == "stands":
                in_time = now_ms <= arrival.at_ms + self.contract.aim_ms[arrival.kind]
                self.stood += 1
                self.late += not in_time
                if counted and in_time:
                    self.served[key] += 1
            elif tries < len(arrival.redials) and now_ms + arrival.redials[tries] < last_ms - 100.0:
                self.engine.after(arrival.redials[tries], self._dial, arrival, tries + 1)

        self.calls += 1
        proxy.ask(self.calls, arrival, min(last_ms, self.engine.now_ms + self.contract.patience_ms), done)

    def run(self) -> Outcome:
        self._look()
        commit = self.arm.who.partition("@")[2]
        for proxy in self.proxies:
            proxy.refusing = self._refusing
            proxy.up(None)
            if self.arm.who in ROUTERS:
                proxy.controller = Router(self._choose)  # type: ignore[assignment]
            elif commit:
                settings = proxy.controller.settings
                proxy.controller = module_at(commit).Controller(settings, proxy.seed + proxy.life)
                proxy.list_servers()
                for server in self.servers:
                    proxy.feed(api.ServerReport(server.uid, api.Result.OK, server.report(), False))
        self._second()
        for place, server in enumerate(self.servers if self.contract.told_ms > 0 else ()):
            self.engine.after(self.contract.told_ms * place / len(self.servers), self._tell, server)
        self.engine.run(BEGAN_MS + 1000.0 * self.arm.seconds + self.contract.deadline_ms)
        worth = self.contract.worth
        seconds = sorted({second for second, _ in self.offered})

        def service(of: list[int]) -> float:
            asked = sum(worth[kind] * self.offered[s, kind] for s in of for kind in range(len(worth)))
            given = sum(worth[kind] * self.served[s, kind] for s in of for kind in range(len(worth)))
            return given / max(1e-9, asked)

        span = int(WORST_MS / SECOND_MS)
        windows = [seconds[n : n + span] for n in range(max(1, len(seconds) - span + 1))]
        by_class = tuple(
            sum(self.served[s, kind] for s in seconds) / max(1, sum(self.offered[s, kind] for s in seconds))
            for kind in range(len(worth))
        )
        return Outcome(
            service(seconds),
            min(map(service, windows)),
            by_class,
            self.calls,
            self.refused,
            self.able,
            dict(self.beliefs),
            self.seconds_idle / max(1, self.seconds_refusing),
            self.rules.attempts / max(1, self.calls),
            self.late / max(1, self.stood),
            dict(self.rules.broken),
        )


Sizes = tuple[np.ndarray[Any, Any], np.ndarray[Any, Any], np.ndarray[Any, Any]]


def _even(rng: np.random.Generator, contract: Contract, arm: Arm) -> Sizes:
    """Calls a second of each server, its lines, and its share of first choices: other shares than sizes."""
    sizes = rng.uniform(LEAST_S, MOST_S, arm.servers)
    return (
        sizes,
        np.ceil(LINES_FACTOR * sizes * contract.hold_ms / 1000.0),
        rng.dirichlet(8.0 * sizes / sizes.mean()),
    )


def _planned(rng: np.random.Generator, contract: Contract, arm: Arm) -> Sizes:
    """The same where lines were planned for traffic that comes otherwise, and processors for neither."""

    def spread(cv: float) -> np.ndarray[Any, Any]:
        return np.exp(rng.normal(0.0, math.sqrt(math.log(1.0 + cv * cv)), arm.servers))

    planned = spread(SIZE_CV)
    sizes = planned * spread(SPEED_CV)
    sizes *= MEAN_S / sizes.mean()
    held = planned / planned.mean() * MEAN_S * contract.hold_ms / 1000.0
    wanted = planned * spread(SHARE_CV) * (rng.permutation(arm.servers) >= arm.servers // UNASKED)
    return sizes, np.ceil(held + SPARE * np.sqrt(held)), wanted / wanted.sum()


def play(arm: Arm) -> Outcome:
    return Day(arm).run()


def experiment(arms: list[Arm], workers: int) -> dict[str, Any]:
    """All arms; a row for each group of seeds with means, intervals and the beliefs at refusals."""
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        found = dict(zip(arms, pool.map(play, arms), strict=True))
    rng = np.random.Generator(np.random.PCG64(1))
    rows = []
    for group in dict.fromkeys(replace(arm, seed=0) for arm in arms):
        mine = [outcome for arm, outcome in found.items() if replace(arm, seed=0) == group]
        mean, low, high = interval([one.service for one in mine], rng)
        beliefs, broken = Counter[str](), Counter[str]()
        for one in mine:
            beliefs.update(one.beliefs)
            broken.update(one.broken)
        refused = sum(one.refused for one in mine)
        rows.append(
            {
                "form": group.form,
                "proxies": group.proxies,
                "load": group.load,
                "world": group.world,
                "who": group.who,
                "seeds": len(mine),
                "service": round(mean, 4),
                "low": round(low, 4),
                "high": round(high, 4),
                "worst": round(float(np.mean([one.worst for one in mine])), 4),
                "by_class": [
                    round(float(np.mean(kind)), 4)
                    for kind in zip(*(one.by_class for one in mine), strict=True)
                ],
                "refused": round(refused / sum(one.tries for one in mine), 4),
                "while_able": round(sum(one.refused_while_able for one in mine) / max(1, refused), 4),
                "idle_seconds": round(float(np.mean([one.idle_seconds for one in mine])), 4),
                "attempts": round(float(np.mean([one.attempts for one in mine])), 4),
                "late": round(float(np.mean([one.late for one in mine])), 4),
                "beliefs": dict(beliefs.most_common()),
                "broken": dict(broken),
            }
        )
    return {"experiment": "spread", "rows": rows}
