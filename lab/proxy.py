"""A proxy of the model: a real Controller, a real PlannerMemory, and a small host that carries their
actions out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from capershelf import interface as api
from capershelf.control import Controller
from capershelf.core import model as m
from capershelf.memory.ageing import HalfLives
from capershelf.memory.planner_memory import PlannerMemory, Snapshot, PlannerMemorySettings
from capershelf.memory.records import Checkpoint
from capershelf.memory.schedule import merge_records
from lab.engine import Engine
from lab.rules import Rules
from lab.world import Arrival, Contract, Server, SetUp

WAY_MS = 4.0  # one way between a proxy and a booking server
MARGIN_MS = 15.0
CLASSES = ("slot-lookup", "slot-confirm")
OF_WHICH_RAN = (api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED)


def settings(contract: Contract, number: int, count: int) -> api.Settings:
    """The module's settings for this world."""
    return api.Settings(
        gateway_no=number,
        gateway_count=count,
        classes=tuple(
            api.CallClass(
                name,
                contract.aim_ms[n],
                contract.deadline_ms,
                contract.worth[n],
                contract.late_worth[n],
                hold_ms=contract.hold_ms if contract.told_ms > 0 else None,
            )
            for n, name in enumerate(CLASSES)
        ),
        cold_from=contract.cold_from,
        ramp_ms=contract.ramp_ms,
        fall_multiple=contract.fall_multiple,
        fall_ms=contract.fall_ms,
        release_ms=contract.release_ms,
        drain_grace_ms=contract.drain_grace_ms,
        answer_slack_ms=20.0,
        tick_ms=5.0,
        max_attempts=contract.max_attempts,
        resend_ms=contract.resend_ms,
        may_cancel=True,
        may_probe=contract.told_ms > 0,
        load_report_source=api.LoadReportSource.ANSWERS,
    )


@dataclass(slots=True)
class Asked:
    """A caller's set-up in a proxy's hands."""

    call: int
    arrival: Arrival
    expires_ms: float
    done: Callable[[str], None]  # stands, refused or failed
    attempt: int = -1
    server: Server | None = None
    setup: SetUp | None = None


class Proxy:
    """One proxy; down() and up() are its restart."""

    def __init__(
        self,
        engine: Engine,
        contract: Contract,
        rules: Rules,
        number: int,
        count: int,
        seed: int,
        servers: list[Server],
    ) -> None:
        self.engine, self.contract, self.rules = engine, contract, rules
        self.number, self.count, self.seed, self.servers = number, count, seed, servers
        self.life = 0
        self.alive = False
        self.handed: Snapshot | None = None
        self.asked: dict[int, Asked] = {}
        self.version = self.probes = 0

    def up(self, book: Checkpoint | None) -> None:
        """Start with what is remembered, or with nothing."""
        self.life += 1
        self.alive = True
        self.controller = Controller(settings(self.contract, self.number, self.count), self.seed + self.life)
        terms = PlannerMemorySettings(0, 1, self.count, HalfLives(), 7 * 86_400_000.0)
        self.keeper = PlannerMemory(terms, book, self._hand_over)
        self.list_servers()
        for server in self.servers:
            self.feed(api.ServerReport(server.uid, api.Result.OK, server.report(unasked=True), False))
        self._sweep(self.life)

    def list_servers(self) -> None:
        """The whole list, as a notice board gives it."""
        self.version += 1
        listed = tuple(
            m.LocatedServer(
                api.ListedServer(s.uid, s.place, api.ServerStatus.ACTIVE, s.started_ms), f"{s.uid}:1"
            )
            for s in self.servers
        )
        news = m.ServerListUpdate(self.version, True, listed, reports_all_starts=True)
        if (known := self.keeper.recall(news, self.engine.now_ms)) is not None:
            self.feed(known)
        self.feed(api.ServerList(self.version, True, tuple(one.listed for one in listed)))

    def down(self) -> Checkpoint | None:
        """Killed: the callers lose their connection, the servers their set-ups.  What the last write held."""
        self.alive = False
        self.life += 1
        for asked in list(self.asked.values()):
            if asked.setup is not None and asked.server is not None:
                asked.server.give_up(asked.setup)
                self.rules.ended(asked.call, self.engine.now_ms, True)
            asked.done("lost")
        self.asked.clear()
        if self.handed is None:
            return None
        return Checkpoint(
            release="lab",
            proxy=f"p{self.number}",
            generation=1,
            saved_ms=self.handed.at_ms,
            senders=self.count,
            asked_per_s=self.handed.asked_per_s,
            servers=merge_records([self.handed.servers]),
        )

    def _hand_over(self, snapshot: Snapshot) -> None:
        snapshot.taken = True
        self.handed = snapshot

    def _sweep(self, life: int) -> None:
        if life == self.life:
            self.engine.at(self.keeper.collect(self.controller, self.engine.now_ms, False), self._sweep, life)

    # -- callers --------------------------------------------------------------------------------------
    def ask(self, call: int, arrival: Arrival, expires_ms: float, done: Callable[[str], None]) -> None:
        self.asked[call] = Asked(call, arrival, expires_ms, done)
        kind, by_ms = CLASSES[arrival.kind], expires_ms - MARGIN_MS
        self.feed(api.NewCall(call, by_ms, kind, arrival.place, arrival.number))

    def _final(self, call: int, outcome: str) -> None:
        if (asked := self.asked.pop(call, None)) is not None:
            self.rules.told(call, self.engine.now_ms <= asked.expires_ms)
            asked.done(outcome)

    # -- the module -----------------------------------------------------------------------------------
    def feed(self, event: api.Event) -> None:
        if not self.alive:
            return
        actions = list(self.controller.handle(self.engine.now_ms, event))
        if isinstance(event, api.AttemptSucceeded | api.AttemptEnded | api.ServerReport):
            self.keeper.mark_changed(event.server)
        for action in actions:
            match action:
                case api.Send(call, uid, timeout_ms, _):
                    self._send(self.asked[call], next(s for s in self.servers if s.uid == uid), timeout_ms)
                case api.Refuse(call, _):
                    self._final(call, "refused")
                case api.Fail(call):
                    self._final(call, "failed")
                case api.Cancel(call, number):
                    asked = self.asked.get(call)
                    if asked is not None and asked.attempt == number:
                        self._end(
                            asked,
                            number,
                            api.Result.CANCELLED,
                            api.RefusalReason.UNSPECIFIED,
                            api.LoadReport(),
                        )
                case api.Probe(uid):
                    self.engine.after(2.0 * WAY_MS, self._probed, self.life, uid)
                case api.SetTimer(delay_ms, name):
                    self.engine.after(delay_ms, self._timer, self.life, name)
                case _:
                    pass

    def _probed(self, life: int, uid: str) -> None:
        server = next(one for one in self.servers if one.uid == uid)
        self.probes += 1
        if life == self.life and self.engine.now_ms >= server.up_ms:
            self.feed(api.ServerReport(uid, api.Result.OK, server.report(), True))

    def _timer(self, life: int, name: str) -> None:
        if life == self.life:
            self.feed(api.TimerFired(name))

    def _send(self, asked: Asked, server: Server, timeout_ms: float) -> None:
        asked.attempt += 1
        number, life, sent_ms = asked.attempt, self.life, self.engine.now_ms
        asked.server = server
        self.rules.sent(self.number, asked.call, server, sent_ms)

        def told(result: api.Result, why: api.RefusalReason, report: api.LoadReport) -> None:
            self.engine.after(WAY_MS, heard, result, why, report)

        def heard(result: api.Result, why: api.RefusalReason, report: api.LoadReport) -> None:
            if life != self.life or asked.setup is not setup:
                return
            if result is not api.Result.OK:
                self._end(asked, number, result, why, report)
                return
            asked.setup = None
            self.rules.ended(asked.call, self.engine.now_ms, False)
            self._final(asked.call, "stands")
            self.feed(api.AttemptSucceeded(asked.call, number, server.uid, self.engine.now_ms - sent_ms))
            if self.contract.told_ms <= 0:
                self.feed(api.ServerReport(server.uid, api.Result.OK, report, False))

        def over(report: api.LoadReport) -> None:
            if life == self.life:
                self.engine.after(
                    WAY_MS,
                    self.feed,
                    api.AttemptEnded(asked.call, number, server.uid, api.Result.OK, True, report=report),
                )

        setup = SetUp(asked.call, told, over)
        asked.setup = setup
        self.engine.after(WAY_MS, self._arrives, server, setup)
        self.engine.after(timeout_ms, self._due, life, asked, number)

    @staticmethod
    def _arrives(server: Server, setup: SetUp) -> None:
        if not setup.over:
            server.set_up(setup)

    def _due(self, life: int, asked: Asked, number: int) -> None:
        if life == self.life and asked.attempt == number and asked.setup is not None:
            self._end(asked, number, api.Result.TIMEOUT, api.RefusalReason.UNSPECIFIED, api.LoadReport())

    def _end(
        self, asked: Asked, number: int, result: api.Result, why: api.RefusalReason, report: api.LoadReport
    ) -> None:
        setup, server = asked.setup, asked.server
        if setup is None or server is None:
            return
        asked.setup = None
        if result in (api.Result.TIMEOUT, api.Result.CANCELLED):
            server.give_up(setup)
        self.rules.ended(asked.call, self.engine.now_ms, result in OF_WHICH_RAN)
        self.feed(api.AttemptEnded(asked.call, number, server.uid, result, False, why, None, report))
