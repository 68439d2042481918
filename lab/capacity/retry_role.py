"""Repeated attempts through levels of services when the deepest fails, in virtual time with the real module.

Each booking server has a proxy of its own, whose module sends to the servers of the next service.  A server
answers its caller as its own call one level deeper came out: it stands, it was refused (the server says that
it is full), or it failed (the server says that it failed).
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from capershelf import config
from capershelf import interface as api
from capershelf.control import Controller
from lab.capacity.proxies import CLASSES, settings
from lab.engine import Engine

DEPTHS = (1, 2, 3, 5, 7, 9)
QUICK_DEPTHS = (1, 2, 3, 4, 5)
SERVERS = 3  # of each service
CALLS_PER_S = 4.0
HEALTHY_S, FAILED_S, AFTER_S = 5.0, 30.0, 30.0
WAY_MS = 1.0
WORK_MS = 2.0
DEADLINE_MS = 9000.0
MARGIN_MS = 50.0  # a caller leaves its callee so much less time than it has itself
MAX_ATTEMPTS = 6
ATTEMPTS_BY_LEVEL_LIMIT = 400_000  # the run is cut off there, and says so


@dataclass(slots=True)
class Counts:
    """Attempts at each level, and outcomes at the edge."""

    attempts: list[int]
    calls: int = 0
    stands: int = 0
    refused: int = 0
    failed: int = 0
    cut_off: bool = False
    first_stands_ms: float = math.inf


@dataclass(slots=True)
class Asked:
    """A call in a proxy's hands."""

    done: Callable[[api.Result], None]
    expires_ms: float
    attempt: int = -1


class Proxy:
    """A real module, with a host that sends to the servers of one service."""

    def __init__(self, tree: Tree, level: int, seed: int) -> None:
        self._tree, self._level = tree, level
        self._controller = Controller(config.read_settings(settings(SERVERS, fleet=SERVERS)), seed)
        self._asked: dict[int, Asked] = {}
        listed = tuple(
            api.ListedServer(f"{level}-{place}", place, api.ServerStatus.ACTIVE) for place in range(SERVERS)
        )
        self._feed(api.ServerList(1, True, listed))

    def place(self, expires_ms: float, done: Callable[[api.Result], None]) -> None:
        """Set a call up; done is told OK, FULL (refused) or ERROR (failed)."""
        tree = self._tree
        tree.last_call += 1
        call = tree.last_call
        self._asked[call] = Asked(done, expires_ms)
        place = tree.random.randrange(SERVERS)
        tree.engine.at(expires_ms, self._final, call, api.Result.FULL)
        self._feed(api.NewCall(call, expires_ms - MARGIN_MS / 2, CLASSES[0][0], place, f"n{call}"))

    def _final(self, call: int, result: api.Result) -> None:
        if (asked := self._asked.pop(call, None)) is not None:
            asked.done(result)

    def _feed(self, event: api.Event) -> None:
        for action in self._controller.handle(self._tree.engine.now_ms, event):
            match action:
                case api.Send(call, server, timeout_ms, _):
                    self._send(call, server, timeout_ms)
                case api.Refuse(call, _):
                    self._final(call, api.Result.FULL)
                case api.Fail(call):
                    self._final(call, api.Result.ERROR)
                case api.Cancel(call, number):
                    self._tree.engine.after(0.0, self._end, call, number, "", api.Result.CANCELLED)
                case api.SetTimer(delay_ms, name):
                    self._tree.engine.after(delay_ms, self._feed, api.TimerFired(name))
                case api.Probe(server):
                    report = api.ServerReport(server, api.Result.OK, api.LoadReport(), True)
                    self._tree.engine.after(2 * WAY_MS, self._feed, report)

    def _send(self, call: int, server: str, timeout_ms: float) -> None:
        asked = self._asked.get(call)
        if asked is None:
            return
        asked.attempt += 1
        number, now_ms = asked.attempt, self._tree.engine.now_ms
        expires_ms = min(now_ms + timeout_ms, asked.expires_ms)

        def done(result: api.Result) -> None:
            self._tree.engine.after(WAY_MS, self._end, call, number, server, result)

        self._tree.engine.after(WAY_MS, self._tree.arrive, self._level, server, expires_ms, done)
        self._tree.engine.at(expires_ms, self._end, call, number, server, api.Result.TIMEOUT)

    def _end(self, call: int, number: int, server: str, result: api.Result) -> None:
        """An attempt has ended, once: whatever comes later for it is passed over."""
        asked = self._asked.get(call)
        if asked is None or asked.attempt != number:
            return
        name = server or self._controller.calls[call].server or ""
        if result is api.Result.OK:
            self._asked.pop(call).done(result)
            now_ms = self._tree.engine.now_ms
            sent_ms = self._controller.calls[call].sent_ms if call in self._controller.calls else now_ms
            self._feed(api.AttemptSucceeded(call, number, name, now_ms - sent_ms))
            return
        asked.attempt = number  # the next one gets a number of its own
        if call in self._controller.calls and self._controller.calls[call].server is not None:
            self._feed(api.AttemptEnded(call, number, name, result, False))


@dataclass
class Tree:
    """Services one below the other; the edge's proxies call level 0."""

    depth: int
    seed: int
    engine: Engine = field(default_factory=lambda: Engine(1_000_000.0))
    last_call: int = 0
    failing: bool = False

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.counts = Counts([0] * self.depth)
        self._edge = Proxy(self, 0, self.seed)
        self._proxies = {
            (level, place): Proxy(self, level + 1, self.seed + 100 * level + place)
            for level in range(self.depth - 1)
            for place in range(SERVERS)
        }

    def arrive(self, level: int, server: str, expires_ms: float, done: Callable[[api.Result], None]) -> None:
        """A set-up has reached a server of this level."""
        self.counts.attempts[level] += 1
        if self.counts.attempts[level] >= ATTEMPTS_BY_LEVEL_LIMIT:
            self.counts.cut_off = True
            return
        if level == self.depth - 1:
            result = api.Result.ERROR if self.failing else api.Result.OK
            self.engine.after(WORK_MS, done, result)
            return
        place = int(server.partition("-")[2])
        self.engine.after(WORK_MS, self._proxies[level, place].place, expires_ms - MARGIN_MS, done)

    def offer(self) -> None:
        """One call at the edge."""
        counts = self.counts
        counts.calls += 1

        def done(result: api.Result) -> None:
            counts.stands += result is api.Result.OK
            if result is api.Result.OK:
                counts.first_stands_ms = min(counts.first_stands_ms, self.engine.now_ms)
            counts.refused += result is api.Result.FULL
            counts.failed += result is api.Result.ERROR

        self._edge.place(self.engine.now_ms + DEADLINE_MS, done)

    def run(self, seconds: float) -> Counts:
        """Offer calls for so long; what was counted in that time."""
        self.counts = Counts([0] * self.depth)
        count = round(seconds * CALLS_PER_S)
        for number in range(count):
            self.engine.after(1000.0 * number / CALLS_PER_S, self.offer)
        self.engine.run(self.engine.now_ms + 1000.0 * seconds)
        return self.counts


def measure(depth: int, seed: int) -> dict[str, Any]:
    """One row: so many levels, of which the deepest fails for FAILED_S."""
    tree = Tree(depth, seed)
    before = tree.run(HEALTHY_S)
    tree.failing = True
    during = tree.run(FAILED_S)
    tree.failing = False
    mended_ms = tree.engine.now_ms
    after = tree.run(AFTER_S)
    return {
        "depth": depth,
        "seed": seed,
        "calls": during.calls,
        "attempts_per_call": round(sum(during.attempts) / during.calls, 4),
        "deepest_per_call": round(during.attempts[-1] / during.calls, 4),
        "by_level": during.attempts,
        "bound": MAX_ATTEMPTS**depth,
        "cut_off": during.cut_off,
        "healthy_per_call": round(sum(before.attempts) / before.calls, 4),
        "after_stands": after.stands,
        "after_calls": after.calls,
        "first_stands_s": seconds_after(mended_ms, after.first_stands_ms),
    }


def seconds_after(began_ms: float, at_ms: float) -> float | None:
    """None where it never came."""
    return round((at_ms - began_ms) / 1000.0, 2) if at_ms < math.inf else None


def experiment(quick: bool) -> dict[str, Any]:
    depths, seeds = (QUICK_DEPTHS, (1,)) if quick else (DEPTHS, (1, 2))
    return {
        "rows": [measure(depth, seed) for seed in seeds for depth in depths],
        "failed_s": FAILED_S,
        "calls_per_s": CALLS_PER_S,
        "servers": SERVERS,
    }
