"""Booking servers whose processors run short, and callers who dial again.

A server has lines, held for as long as a call stands, and a processor with one line of work: each set-up,
answer and release takes its share.  A set-up that waits there is sent again by the network at gaps that
double, and each copy is work.  A processor that has just started is slow at first; in a slow spell it is
slow for a while.  Past its bound it turns away.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from capershelf.interface import LoadReport, RefusalReason, Result
from lab.engine import Time

SETUP_PART, ANSWER_PART, RELEASE_PART = 0.55, 0.25, 0.2  # of a call's work
COPY_PART = 0.2  # a copy of a set-up that already waits
REFUSAL_PART = 0.05  # turning one away
PRESSED_MS, RATE_LATE_MS, RATE_EVERY_MS = 500.0, 150.0, 500.0  # of the rate that a server tells


@dataclass(frozen=True, slots=True)
class Contract:
    """What all parties go by; milliseconds."""

    aim_ms: tuple[float, float] = (500.0, 375.0)
    deadline_ms: float = 2250.0
    worth: tuple[float, float] = (1.0, 3.0)
    late_worth: tuple[float, float] = (0.1, 0.25)
    dear_share: float = 0.4
    cold_from: float = 0.3
    ramp_ms: float = 14_000.0
    fall_multiple: float = 3.0
    fall_ms: float = 1000.0
    release_ms: float = 200.0
    resend_ms: float = 500.0
    drain_grace_ms: float = 2000.0
    max_attempts: int = 6
    hold_ms: float = 2500.0
    told_ms: float = 0.0  # free lines are told to all so often, its rate with ends; 0: lines with each answer
    patience_ms: float = math.inf  # a try is given up after this
    pauses: tuple[float, float] = (80.0, 300.0)  # before a redial: at least, and the mean beyond
    retries: int = 3
    turn_away_ms: float = 1200.0  # of waiting work


@dataclass(slots=True)
class Job:
    """A piece of work in the processor's line."""

    work_ms: float
    done: Callable[[], None]
    dropped: bool = False


@dataclass(slots=True)
class SetUp:
    """A set-up at a server; tell gives its end back to the proxy that sent it."""

    call: int
    tell: Callable[[Result, RefusalReason, LoadReport], None]
    ended: Callable[[LoadReport], None]
    jobs: list[Job] = field(default_factory=list)
    line: bool = False
    stands: bool = False
    over: bool = False


class Server:
    """One booking server."""

    def __init__(
        self,
        engine: Time,
        contract: Contract,
        uid: str,
        place: int,
        per_s: float,
        lines: int,
        hold: Callable[[], float],
    ) -> None:
        self.engine, self.contract, self.uid, self.place = engine, contract, uid, place
        self.call_ms = 1000.0 / per_s  # a call's work when warm
        self.lines, self.taken = lines, 0
        self.hold = hold
        self.started_ms: float | None = None  # as the list has it
        self.slowness = 1.0
        self.up_ms = -math.inf  # nobody listens before
        self.turn_away_ms = contract.turn_away_ms
        self.takes: deque[tuple[float, float]] = deque()  # when it may be known, and what it can take
        self.queue: deque[Job] = deque()
        self.waiting_ms = 0.0
        self.busy = False
        self.busy_ms = 0.0
        self.sent_on: Callable[[float], None] | None = None  # told of each set-up that comes
        self.setups: dict[int, SetUp] = {}

    def speed(self) -> float:
        """Of a warm processor's speed; 1: warm."""
        if self.started_ms is None:
            return 1.0 / self.slowness
        age = max(0.0, (self.engine.now_ms - self.started_ms) / self.contract.ramp_ms)
        cold = self.contract.cold_from
        return min(1.0, cold + (1.0 - cold) * age) / self.slowness

    def restart(self, down_ms: float) -> None:
        """The process is a new one: nothing waits, nothing stands, and once it listens it is cold."""
        self.started_ms = self.up_ms = self.engine.now_ms + down_ms
        for setup in list(self.setups.values()):
            self._close(setup)
            if setup.stands:
                setup.ended(self.report())
            else:
                setup.tell(Result.RESET, RefusalReason.UNSPECIFIED, LoadReport())
        for job in self.queue:
            job.dropped = True

    def report(self, unasked: bool = False) -> LoadReport:
        while len(self.takes) > 1 and self.takes[1][0] <= self.engine.now_ms:
            self.takes.popleft()
        takes = self.takes[0][1] if self.takes and not unasked else None
        return LoadReport(float(self.lines - self.taken), float(self.lines), None, takes)

    def tell_rate(self, noise: Callable[[], float]) -> None:
        """The set-ups a second that it can take from all: noisy, late, and less where its wait is long."""
        wait_ms = self.waiting_ms / self.speed()
        able = 1000.0 / self.call_ms * self.speed() * min(1.0, PRESSED_MS / max(1.0, wait_ms))
        self.takes.append((self.engine.now_ms + RATE_LATE_MS, able * noise()))
        self.engine.after(RATE_EVERY_MS, self.tell_rate, noise)

    # -- the processor --------------------------------------------------------------------------------
    def work(self, part: float, done: Callable[[], None]) -> Job:
        job = Job(part * self.call_ms, done)
        self.queue.append(job)
        self.waiting_ms += job.work_ms
        if not self.busy:
            self._next()
        return job

    def _next(self) -> None:
        while self.queue:
            job = self.queue.popleft()
            self.waiting_ms -= job.work_ms
            if job.dropped:
                continue
            self.busy = True
            took_ms = job.work_ms / self.speed()
            self.busy_ms += took_ms
            self.engine.after(took_ms, self._finish, job)
            return
        self.busy = False

    def _finish(self, job: Job) -> None:
        if not job.dropped:
            job.done()
        self._next()

    # -- what proxies send ----------------------------------------------------------------------------
    def set_up(self, setup: SetUp) -> None:
        if self.engine.now_ms < self.up_ms:
            setup.tell(Result.NO_CONNECTION, RefusalReason.UNSPECIFIED, LoadReport())
            return
        if self.sent_on is not None:
            self.sent_on(self.engine.now_ms)
        if self.taken >= self.lines:
            self.work(REFUSAL_PART, lambda: setup.tell(Result.FULL, RefusalReason.NO_LINE, self.report()))
            return
        if self.waiting_ms / self.speed() > self.turn_away_ms:
            self.work(0.0, lambda: None)
            setup.tell(Result.FULL, RefusalReason.PROCESSOR_FULL, self.report())
            return
        self.taken += 1
        setup.line = True
        self.setups[setup.call] = setup
        first = self.work(SETUP_PART, lambda: self._ring(setup))
        setup.jobs.append(first)
        self.engine.after(self.contract.resend_ms, self._again, setup, first, self.contract.resend_ms)

    def _again(self, setup: SetUp, first: Job, gap_ms: float) -> None:
        """The network's copy of a set-up that has had no word."""
        if setup.over or first not in self.queue:
            return
        setup.jobs.append(self.work(COPY_PART, lambda: None))
        self.engine.after(2.0 * gap_ms, self._again, setup, first, 2.0 * gap_ms)

    def _ring(self, setup: SetUp) -> None:
        if not setup.over:
            setup.jobs.append(self.work(ANSWER_PART, lambda: self._answer(setup)))

    def _answer(self, setup: SetUp) -> None:
        if setup.over:
            return
        setup.stands = True
        setup.tell(Result.OK, RefusalReason.UNSPECIFIED, self.report())
        self.engine.after(self.hold(), self._end, setup)

    def _end(self, setup: SetUp) -> None:
        if setup.over:
            return
        self.work(RELEASE_PART, lambda: None)
        self._close(setup)
        setup.ended(self.report())

    def give_up(self, setup: SetUp) -> None:
        """The proxy has called the set-up off."""
        if not setup.over:
            self._close(setup)
            for job in setup.jobs:
                job.dropped = True
            self.work(REFUSAL_PART, lambda: None)

    def _close(self, setup: SetUp) -> None:
        setup.over = True
        self.setups.pop(setup.call, None)
        if setup.line:
            self.taken -= 1
            setup.line = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A caller, with all that chance decides for it drawn ahead: all arms meet the same callers."""

    at_ms: float
    number: str
    kind: int
    place: int
    chance: float  # which proxy it is given to
    redials: tuple[float, ...]  # pauses after refusals


def arrivals(
    rng: np.random.Generator,
    contract: Contract,
    began_ms: float,
    ended_ms: float,
    per_s: float,
    shares: tuple[float, ...],
) -> list[Arrival]:
    """Callers as they come, at an even rate by chance; places by the servers' shares."""
    found: list[Arrival] = []
    at_ms = began_ms
    while True:
        at_ms += float(rng.exponential(1000.0 / per_s))
        if at_ms >= ended_ms:
            return found
        found.append(
            Arrival(
                at_ms,
                f"n{len(found)}",
                int(rng.random() < contract.dear_share),
                int(rng.choice(len(shares), p=shares)),
                float(rng.random()),
                tuple(map(float, contract.pauses[0] + rng.exponential(contract.pauses[1], contract.retries))),
            )
        )


def interval(values: list[float], rng: np.random.Generator) -> tuple[float, float, float]:
    """Mean and 95% bounds by bootstrap over paired seeds."""
    data = np.asarray(values)
    if len(data) < 2:
        return float(data.mean()), -math.inf, math.inf
    means = data[rng.integers(0, len(data), size=(4000, len(data)))].mean(axis=1)
    low, high = np.percentile(means, [2.5, 97.5])
    return float(data.mean()), float(low), float(high)
