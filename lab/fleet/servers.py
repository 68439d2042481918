"""Scripted booking servers: lab's processor on real sockets, with a list state and faults of their own."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from capershelf import interface as api
from lab import world
from lab.fleet.records import Attempt, Cold, End, Seen
from lab.fleet.stage import Passage, Stage, Way

STATE_MS = 300.0  # between two states told unasked,
STATES_TO = 4  # on so many of the open connections
CAUSES = {api.Result.FULL: (34, End.REFUSED), api.Result.ERROR: (17, End.FAILED)}
NOTES = {api.RefusalReason.NO_LINE: "atb", api.RefusalReason.PROCESSOR_FULL: "acc"}


def line_of(kind: str, call: str, **more: Any) -> bytes:
    return json.dumps({"type": kind, "id": call, "fields": {}} | more).encode() + b"\n"


@dataclass(slots=True)
class Held:
    """A set-up that a booking server works on, or a call that stands there."""

    attempt: Attempt
    setup: world.SetUp
    passage: Passage
    heard: bool = False  # its answer was taken for the proxy


class BookingServer:
    """One booking server: a listener for each proxy, and lab's processor behind them all."""

    def __init__(
        self,
        stage: Stage,
        seen: Seen,
        uid: str,
        place: int,
        zone: int,
        per_s: float,
        lines: int,
        contract: world.Contract,
        rng: random.Random,
    ) -> None:
        self.stage, self.seen, self.uid, self.place = stage, seen, uid, place
        self.zone, self.per_s = zone, per_s
        self.state = "up"  # as the list has it
        self.boot_ms = 0
        self.failing = 0.0  # share of its set-ups that it fails at once
        self.hung = False  # its machine answers nothing, though connections stay
        self.alive = True
        self.ways: dict[int, Way] = {}
        self._rng = rng
        self._passages: list[Passage] = []
        self._held: dict[str, Held] = {}
        self._untold: list[Held] = []  # ends for which no connection was there
        self.model = world.Server(
            stage, contract, uid, place, per_s, lines, lambda: rng.expovariate(1.0 / contract.hold_ms)
        )
        self._life = 0
        self.start()

    def way(self, proxy: int, host: str, life_of: Callable[[], int]) -> Way:
        """The way of this proxy, with an address of its own."""
        way = Way(self.stage, host, proxy, self._rng.random, life_of, self.arrivals(life_of))
        self.ways[proxy] = way
        return way

    def arrivals(self, life_of: Callable[[], int]) -> Callable[[Passage], None]:
        """What takes this server's connections in."""

        def arrived(passage: Passage) -> None:
            passage.life = life_of()
            self._arrived(passage)

        return arrived

    # -- its process ----------------------------------------------------------------------------------
    def start(self) -> None:
        self._life += 1
        self.stage.after(STATE_MS * self._rng.random(), self._tell_state, self._life)

    def die(self) -> None:
        """The process ends at once: connections are reset, calls cut, nobody listens."""
        self.alive = False
        self._life += 1
        now_ms = self.stage.now_ms
        for held in self._held.values():
            held.setup.over = True
            if held.attempt.end is End.OPEN:
                held.attempt.end, held.attempt.end_ms = End.CLOSED, now_ms
            else:
                held.attempt.server_died_ms = now_ms
        self._held.clear()
        self._untold.clear()
        for way in self.ways.values():
            way.cut()
            way.shut()

    def come_back(self, cold: bool = True) -> None:
        """A new process at the old addresses, cold as any that has just started."""
        self.alive = True
        old = self.model
        self.model = world.Server(
            self.stage, old.contract, self.uid, self.place, self.per_s, old.lines, old.hold
        )
        if cold:
            self.model.started_ms = self.stage.now_ms
            self.boot_ms = int(self.stage.now_ms)
            self.seen.colds.append(Cold(self.uid, self.stage.now_ms, self.per_s))
        for way in self.ways.values():
            way.listen()
        self.start()

    def take_over(self, old: BookingServer) -> None:
        """Listen at the addresses of one that has gone."""
        for proxy, way in old.ways.items():
            self.ways[proxy] = way
            way.listen(self.arrivals(way.life_of))

    # -- connections ----------------------------------------------------------------------------------
    def _arrived(self, passage: Passage) -> None:
        self.seen.connections += 1
        self._passages.append(passage)
        passage.came = lambda line, first_ms, read_ms: self._line(passage, line, first_ms, read_ms)
        passage.ended = lambda at_ms: self._over(passage, at_ms)
        passage.say(self._state())
        mine = [held for held in self._untold if held.attempt.proxy == passage.way.proxy]
        self._untold = [held for held in self._untold if held.attempt.proxy != passage.way.proxy]
        for held in mine:
            self._tell_end(held, passage)

    def _over(self, passage: Passage, at_ms: float) -> None:
        """The set-ups open on it are given up, those too whose answer got lost or was on its way: for the
        proxy they are open.  What stands lives on."""
        if passage in self._passages:
            self._passages.remove(passage)
        for call, held in list(self._held.items()):
            if held.passage is passage and not (held.setup.stands and held.heard):
                self._give_up(call, held, End.CLOSED, at_ms)

    def _give_up(self, call: str, held: Held, how: End, at_ms: float) -> None:
        held.attempt.end, held.attempt.end_ms = how, at_ms
        self.model.give_up(held.setup)
        del self._held[call]

    def _load(self) -> str:
        told = self.model.report()
        return f"spare:{told.free_lines:.0f};total:{told.lines:.0f}"

    def _state(self) -> bytes:
        return line_of("state", "0" * 16, fields={"load": self._load()})

    def _tell_state(self, life: int) -> None:
        if life != self._life:
            return
        for passage in [one for one in self._passages if one.open][:STATES_TO] if not self.hung else ():
            passage.say(self._state())
        self.stage.after(STATE_MS, self._tell_state, life)

    # -- what proxies say -----------------------------------------------------------------------------
    def _line(self, passage: Passage, line: bytes, first_ms: float, read_ms: float) -> None:
        try:
            message = json.loads(line)
            kind, call = message["type"], message["id"]
        except (ValueError, KeyError, TypeError):
            self.seen.foul.append(f"to {self.uid}: {line[:80]!r}")
            return
        if kind == "setup":
            self._set_up(passage, call, first_ms)
        elif kind == "release":
            self._release(passage, call, read_ms)
        elif kind == "ping" and not self.hung:
            passage.say(line_of("pong", call, cause=1, fields={"load": self._load()}))

    def _set_up(self, passage: Passage, call: str, first_ms: float) -> None:
        attempt = Attempt(call, self.uid, passage.way.proxy, passage.life, first_ms, self.stage.now_ms)
        self.seen.attempts.append(attempt)
        if call in self._held:
            self.seen.foul.append(f"to {self.uid}: {call} is out or stands there already")
            return
        attempt.description = f"made at {self.uid} for {call}, {len(self.seen.attempts)}\r\n"
        setup = world.SetUp(
            int(call, 16),
            lambda result, why, report: self._tell(call, result, why, setup),
            lambda report: self._end(call, setup),
        )
        self._held[call] = Held(attempt, setup, passage)
        if self.hung:
            return
        if self.failing > 0.0 and self._rng.random() < self.failing:
            self._tell(call, api.Result.ERROR, api.RefusalReason.UNSPECIFIED, setup)
            return
        self.model.set_up(setup)

    def _release(self, passage: Passage, call: str, read_ms: float) -> None:
        if (held := self._held.get(call)) is None:
            return
        if held.setup.stands:
            held.attempt.let_go_ms = read_ms
            held.setup.over = True
            self.model.setups.pop(held.setup.call, None)
            self.model.taken -= 1
            self.model.work(world.RELEASE_PART, lambda: None)
            del self._held[call]
        else:
            # Given up when the proxy wrote it, as far as that can be seen from here.
            self._give_up(call, held, End.GIVEN_UP, read_ms)
        if not self.hung:
            passage.say(line_of("released", call))

    # -- what the processor says ----------------------------------------------------------------------
    def _tell(self, call: str, result: api.Result, why: api.RefusalReason, setup: world.SetUp) -> None:
        """The end of a set-up."""
        held = self._held.get(call)
        if held is None or held.setup is not setup:
            return
        attempt = held.attempt
        attempt.end_ms = self.stage.now_ms
        if result is api.Result.OK:
            attempt.end = End.ANSWERED
            data = line_of("answer", call, sdp=attempt.description, fields={"load": self._load()})
        else:
            cause, attempt.end = CAUSES[result]
            setup.over = True
            del self._held[call]
            fields = {"load": self._load()} | ({"note": NOTES[why]} if why in NOTES else {})
            data = line_of("release", call, cause=cause, fields=fields)

        def done(taken: bool) -> None:
            held.heard = taken

        held.passage.say(data, done, may_lose=True)

    def _end(self, call: str, setup: world.SetUp) -> None:
        """What stood has come to its end: told on its connection, on any open one, or on the next."""
        held = self._held.get(call)
        if held is None or held.setup is not setup or self.hung:
            return
        del self._held[call]
        self._tell_end(held, held.passage)

    def _tell_end(self, held: Held, passage: Passage) -> None:
        """On this connection, on any open one, or on the next."""
        others = [one for one in self._passages if one.way.proxy == held.attempt.proxy and one.open]
        told = passage if passage.open else next(iter(others), None)
        if told is None:
            self._untold.append(held)
            return

        def done(taken: bool) -> None:
            if taken:
                held.attempt.ended_ms = self.stage.now_ms
            elif self.alive:
                self._untold.append(held)

        told.say(line_of("release", held.attempt.call, cause=16, fields={"load": self._load()}), done)
