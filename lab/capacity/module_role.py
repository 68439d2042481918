"""The decision module alone: processor time of a call, a tick, a state and a list over growing lists."""

from __future__ import annotations

import json
import time
from typing import Any

from capershelf import config
from capershelf import interface as api
from capershelf.control import Controller
from capershelf.registry.board import parse_notices
from lab.capacity import notice_board
from lab.capacity.proxies import CLASSES, settings

SIZES = (10, 50, 100, 300, 600, 1100)
QUICK_SIZES = (4, 8, 12, 16, 20)
CALLS, QUICK_CALLS = 400, 40
TICKS = 60
STATES_PER_SERVER = 4
GAP_MS = 1000.0 / 48.0  # between calls, at the planned rate
STATE_GAP_MS = 300.0
OUT = 24  # calls that are out while ticks are measured
WAIT_MS = 3.0
REPORT = api.LoadReport(300.0, 400.0, None, 60.0)


class Module:
    """A controller with so many listed servers, and a clock moved by hand."""

    def __init__(self, servers: int) -> None:
        self.names = [f"s-{number:08x}" for number in range(servers)]
        self.controller = Controller(config.read_settings(settings(servers)), 1)
        self.now_ms = 1_000_000.0
        listed = tuple(
            api.ListedServer(name, place, api.ServerStatus.ACTIVE) for place, name in enumerate(self.names)
        )
        self.list_cpu_s = self.timed(lambda: self.feed(api.ServerList(1, True, listed)))
        self._call = 0

    def feed(self, event: api.Event) -> list[api.Action]:
        return self.controller.handle(self.now_ms, event)

    @staticmethod
    def timed(what: Any) -> float:
        began_s = time.process_time()
        what()
        return time.process_time() - began_s

    def states(self, rounds: int) -> float:
        """Have every server tell its state so often; processor time of one state in ms."""

        def tell() -> None:
            for _ in range(rounds):
                self.now_ms += STATE_GAP_MS
                for name in self.names:
                    self.feed(api.ServerReport(name, api.Result.OK, REPORT, False))

        return 1000.0 * self.timed(tell) / (rounds * len(self.names))

    def place(self) -> tuple[int, str] | None:
        """Ask for one call; the server it was sent to, None if it was held."""
        self._call += 1
        kind = CLASSES[self._call % len(CLASSES)][0]
        event = api.NewCall(
            self._call, self.now_ms + 9000.0, kind, self._call * 7919 % len(self.names), f"n{self._call}"
        )
        for action in self.feed(event):
            if isinstance(action, api.Send):
                return self._call, action.server
        return None

    def answer(self, call: int, server: str) -> None:
        self.feed(api.AttemptSucceeded(call, 0, server, WAIT_MS))
        self.feed(api.AttemptEnded(call, 0, server, api.Result.OK, True, report=REPORT))

    def calls(self, count: int) -> float:
        """Place calls at the planned pace, each answered at once; processor time of one in ms."""

        def place_all() -> None:
            for _ in range(count):
                self.now_ms += GAP_MS
                if (sent := self.place()) is not None:
                    self.answer(*sent)

        return 1000.0 * self.timed(place_all) / count

    def ticks(self, count: int) -> float:
        """Fire the module's timer while calls are out; processor time of one tick in ms."""
        for _ in range(OUT):
            self.place()

        def tick() -> None:
            for _ in range(count):
                self.now_ms += 1.0  # so close that no silence is found meanwhile
                self.feed(api.TimerFired("tick"))

        return 1000.0 * self.timed(tick) / count


def read_list_ms(servers: int) -> float:
    """Processor time of reading a list's event from its JSON, in ms."""
    targets = [notice_board.target(number, "127.0.0.1:5060") for number in range(servers)]
    body = json.dumps({"rev": 1, "notices": [notice_board.event(1, targets, True)]}).encode()
    return 1000.0 * Module.timed(lambda: parse_notices(json.loads(body), -1, reports_all_starts=True))


def measure(servers: int, calls: int) -> dict[str, Any]:
    """One row: the module with so many listed servers; milliseconds of processor time."""
    module = Module(servers)
    state_ms = module.states(STATES_PER_SERVER)
    module.calls(calls // 4)  # warm
    return {
        "servers": servers,
        "call_ms": round(module.calls(calls), 5),
        "state_ms": round(state_ms, 5),
        "tick_ms": round(module.ticks(TICKS), 5),
        "list_ms": round(1000.0 * module.list_cpu_s, 4),
        "read_list_ms": round(read_list_ms(servers), 4),
    }


def experiment(quick: bool) -> dict[str, Any]:
    sizes, calls = (QUICK_SIZES, QUICK_CALLS) if quick else (SIZES, CALLS)
    return {"rows": [measure(size, calls) for _ in range(1 if quick else 3) for size in sizes]}
