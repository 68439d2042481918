"""Simulated booking servers: the lab's processor model on real sockets, with a list state and faults."""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from capershelf import interface
from lab import world
from lab.fleet.network import EventLoop, Link, LinkConnection
from lab.fleet.records import Attempt, AttemptEnd, ColdStart, DayRecord

REPORT_INTERVAL_MS = 300.0  # between two unsolicited load reports
REPORT_CONNECTIONS = 4  # open connections that each report is sent on
SPOILT_MESSAGES = (
    b'{"\xfe\xff":1}\n',
    b'{"type":"state"',  # and no more of it
    b"x" * 20_000 + b"\n",
    b"[]\n",
    b'{"type":"answer","id":"zz","fields":{}}\n',
)
CAUSES = {interface.Result.FULL: (34, AttemptEnd.REFUSED), interface.Result.ERROR: (17, AttemptEnd.FAILED)}
REASON_NOTES = {interface.RefusalReason.NO_LINE: "atb", interface.RefusalReason.PROCESSOR_FULL: "acc"}


def encode_message(kind: str, call: str, **more: Any) -> bytes:
    """Return a message as a JSON line."""
    return json.dumps({"type": kind, "id": call, "fields": {}} | more).encode() + b"\n"


@dataclass(slots=True)
class HeldSetUp:
    """A set-up that a booking server is processing, or an established call."""

    attempt: Attempt
    setup: world.SetUp
    connection: LinkConnection
    answer_sent: bool = False  # the answer was written to an open connection


class BookingServer:
    """One booking server: a listener for each proxy in front of one processor model."""

    def __init__(
        self,
        loop: EventLoop,
        record: DayRecord,
        uid: str,
        pool: int,
        zone: int,
        per_s: float,
        lines: int,
        contract: world.Contract,
        rng: random.Random,
    ) -> None:
        self.loop, self.record, self.uid, self.pool = loop, record, uid, pool
        self.zone, self.per_s = zone, per_s
        self.state = "up"  # on the notice board
        self.boot_ms = 0
        self.failure_rate = 0.0  # share of set-ups that fail immediately
        self.hung = False  # no message is answered, but connections stay open
        self._reports_while_hung = False
        self.alive = True
        self.links: dict[int, Link] = {}
        self._rng = rng
        self._connections: list[LinkConnection] = []
        self._held: dict[str, HeldSetUp] = {}
        self._undelivered_ends: list[HeldSetUp] = []  # call ends for which no connection was open
        self._unsent_ends: list[HeldSetUp] = []  # call ends while it hung
        self._unsent_results: list[Callable[[], None]] = []  # results of set-ups while it hung
        self._spoilt_messages = 0  # how many of its next messages are to be spoilt
        self.model = world.Server(
            loop, contract, uid, pool, per_s, lines, lambda: rng.expovariate(1.0 / contract.hold_ms)
        )
        self._generation = 0
        self.start()

    def add_link(self, proxy: int, host: str, current_run: Callable[[], int]) -> Link:
        """Create the link to this proxy, with its own address."""
        link = Link(
            self.loop, host, proxy, self._rng.random, current_run, self.connection_handler(current_run)
        )
        self.links[proxy] = link
        return link

    def connection_handler(self, current_run: Callable[[], int]) -> Callable[[LinkConnection], None]:
        """Return the handler for new connections on a link."""

        def on_connection(connection: LinkConnection) -> None:
            connection.run = current_run()
            self._on_connection(connection)

        return on_connection

    # -- process lifecycle ----------------------------------------------------------------------------
    def start(self) -> None:
        """Start sending load reports."""
        self._generation += 1
        self.loop.after(REPORT_INTERVAL_MS * self._rng.random(), self._send_report, self._generation)

    def die(self) -> None:
        """End the process: connections are reset, calls are interrupted and listeners closed."""
        self.alive = False
        self._generation += 1
        now_ms = self.loop.now_ms
        for held in self._held.values():
            held.setup.over = True
            if held.attempt.end is AttemptEnd.OPEN:
                held.attempt.end, held.attempt.end_ms = AttemptEnd.CLOSED, now_ms
            else:
                held.attempt.server_died_ms = now_ms
        self._held.clear()
        self._undelivered_ends.clear()
        self._unsent_ends.clear()
        self._unsent_results.clear()
        for link in self.links.values():
            link.reset_connections()
            link.stop_listening()

    def restart(self, cold: bool = True) -> None:
        """Start a new process at the old addresses, cold by default."""
        self.alive = True
        old = self.model
        self.model = world.Server(
            self.loop, old.contract, self.uid, self.pool, self.per_s, old.lines, old.hold
        )
        if cold:
            self.model.started_ms = self.loop.now_ms
            self.boot_ms = int(self.loop.now_ms)
            self.record.cold_starts.append(ColdStart(self.uid, self.loop.now_ms, self.per_s))
        for link in self.links.values():
            link.listen()
        self.start()

    def take_over(self, old: BookingServer) -> None:
        """Listen at the addresses of a booking server that has died."""
        for proxy, link in old.links.items():
            self.links[proxy] = link
            link.listen(self.connection_handler(link.current_run))

    # -- connections ----------------------------------------------------------------------------------
    def _on_connection(self, connection: LinkConnection) -> None:
        self.record.connections += 1
        self._connections.append(connection)
        connection.on_line = lambda line, first_byte_ms, read_ms: self._on_line(
            connection, line, first_byte_ms, read_ms
        )
        connection.on_closed = lambda at_ms: self._on_disconnect(connection, at_ms)
        if self._sends_reports:
            connection.send(self._report())
        if self.hung:
            return
        mine = [held for held in self._undelivered_ends if held.attempt.proxy == connection.link.proxy]
        self._undelivered_ends = [
            held for held in self._undelivered_ends if held.attempt.proxy != connection.link.proxy
        ]
        for held in mine:
            self._send_call_end(held, connection)

    def _on_disconnect(self, connection: LinkConnection, at_ms: float) -> None:
        """Abandon the connection's set-ups, including those whose answer was lost or in transit, since they
        are still open for the proxy.  Established calls go on."""
        if connection in self._connections:
            self._connections.remove(connection)
        for call, held in list(self._held.items()):
            if held.connection is connection and not (held.setup.stands and held.answer_sent):
                self._abandon(call, held, AttemptEnd.CLOSED, at_ms)

    def _abandon(self, call: str, held: HeldSetUp, how: AttemptEnd, at_ms: float) -> None:
        held.attempt.end, held.attempt.end_ms = how, at_ms
        self.model.give_up(held.setup)
        del self._held[call]

    def set_hung(self, hung: bool, reports: bool = False) -> None:
        """Answer nothing from now on, or answer again and send the ends of calls that are due.

        reports: load reports are still sent.
        """
        self.hung, self._reports_while_hung = hung, reports
        if hung:
            return
        results, self._unsent_results = self._unsent_results, []
        for send_result in results:
            send_result()
        due, self._unsent_ends = self._unsent_ends, []
        for held in due:
            if self._held.pop(held.attempt.call, None) is held:
                self._send_call_end(held, held.connection)

    @property
    def _sends_reports(self) -> bool:
        return not self.hung or self._reports_while_hung

    def set_listening(self, listening: bool) -> None:
        """Refuse new connections while the open ones stay, or accept them again."""
        for link in self.links.values():
            if listening:
                link.listen()
            else:
                link.stop_listening()

    def spoil(self, count: int) -> None:
        """Make the next messages unreadable for the proxies."""
        self._spoilt_messages = count

    def _spoil_next(self, data: bytes) -> bytes:
        if self._spoilt_messages <= 0:
            return data
        self._spoilt_messages -= 1
        return SPOILT_MESSAGES[self._rng.randrange(len(SPOILT_MESSAGES))]

    def _load_field(self) -> str:
        report = self.model.report()
        return f"spare:{report.free_lines:.0f};total:{report.lines:.0f}"

    def _report(self) -> bytes:
        return encode_message("state", "0" * 16, fields={"load": self._load_field()})

    def _send_report(self, generation: int) -> None:
        if generation != self._generation:
            return
        for connection in (
            [one for one in self._connections if one.open][:REPORT_CONNECTIONS] if self._sends_reports else ()
        ):
            connection.send(self._spoil_next(self._report()))
        self.loop.after(REPORT_INTERVAL_MS, self._send_report, generation)

    # -- messages from proxies ------------------------------------------------------------------------
    def _on_line(self, connection: LinkConnection, line: bytes, first_byte_ms: float, read_ms: float) -> None:
        try:
            message = json.loads(line)
            kind, call = message["type"], message["id"]
        except (ValueError, KeyError, TypeError):
            self.record.invalid_messages.append(f"to {self.uid}: {line[:80]!r}")
            return
        if kind == "setup":
            self._set_up(connection, call, first_byte_ms)
        elif kind == "release":
            self._release(connection, call, read_ms)
        elif kind == "ping" and not self.hung:
            connection.send(encode_message("pong", call, cause=1, fields={"load": self._load_field()}))

    def _set_up(self, connection: LinkConnection, call: str, first_byte_ms: float) -> None:
        attempt = Attempt(
            call, self.uid, connection.link.proxy, connection.run, first_byte_ms, self.loop.now_ms
        )
        self.record.attempts.append(attempt)
        if call in self._held:
            self.record.invalid_messages.append(
                f"to {self.uid}: {call} is outstanding or established there already"
            )
            return
        attempt.description = f"made at {self.uid} for {call}, {len(self.record.attempts)}\r\n"
        setup = world.SetUp(
            int(call, 16),
            lambda result, reason, report: self._setup_finished(call, result, reason, setup),
            lambda report: self._call_ended(call, setup),
        )
        self._held[call] = HeldSetUp(attempt, setup, connection)
        if self.hung:
            return
        if self.failure_rate > 0.0 and self._rng.random() < self.failure_rate:
            self._setup_finished(call, interface.Result.ERROR, interface.RefusalReason.UNSPECIFIED, setup)
            return
        self.model.set_up(setup)

    def _release(self, connection: LinkConnection, call: str, read_ms: float) -> None:
        if (held := self._held.get(call)) is None:
            return
        if held.setup.stands:
            held.attempt.released_ms = read_ms
            held.setup.over = True
            self.model.setups.pop(held.setup.call, None)
            self.model.taken -= 1
            self.model.work(world.RELEASE_PART, lambda: None)
            del self._held[call]
        else:
            # The read time is the closest known to when the proxy wrote the release.
            self._abandon(call, held, AttemptEnd.RELEASED, read_ms)
        if not self.hung:
            connection.send(encode_message("released", call))

    # -- results of the processor model ---------------------------------------------------------------
    def _setup_finished(
        self, call: str, result: interface.Result, reason: interface.RefusalReason, setup: world.SetUp
    ) -> None:
        """Record and send the result of a set-up."""
        held = self._held.get(call)
        if held is None or held.setup is not setup:
            return
        if self.hung:
            self._unsent_results.append(lambda: self._setup_finished(call, result, reason, setup))
            return
        attempt = held.attempt
        attempt.end_ms = self.loop.now_ms
        if result is interface.Result.OK:
            attempt.end = AttemptEnd.ANSWERED
            data = encode_message(
                "answer", call, sdp=attempt.description, fields={"load": self._load_field()}
            )
        else:
            cause, attempt.end = CAUSES[result]
            setup.over = True
            del self._held[call]
            fields = {"load": self._load_field()} | (
                {"note": REASON_NOTES[reason]} if reason in REASON_NOTES else {}
            )
            data = encode_message("release", call, cause=cause, fields=fields)

        def done(taken: bool) -> None:
            held.answer_sent = taken

        held.connection.send(self._spoil_next(data), done, droppable=True)

    def _call_ended(self, call: str, setup: world.SetUp) -> None:
        """An established call has ended; notify the proxy."""
        held = self._held.get(call)
        if held is None or held.setup is not setup:
            return
        held.attempt.finished_ms = self.loop.now_ms
        if self.hung:
            self._unsent_ends.append(held)
            return
        del self._held[call]
        self._send_call_end(held, held.connection)

    def _send_call_end(self, held: HeldSetUp, connection: LinkConnection) -> None:
        """Send the end of a call on this connection, on any open one, or on the next one opened."""
        others = [one for one in self._connections if one.link.proxy == held.attempt.proxy and one.open]
        target = connection if connection.open else next(iter(others), None)
        if target is None:
            self._undelivered_ends.append(held)
            return

        is_repeated = held.attempt.ended_ms < math.inf

        def done(taken: bool) -> None:
            if taken:
                held.attempt.ended_ms = min(held.attempt.ended_ms, self.loop.now_ms)
            # It is sent again on the next connection, as the proxy may not have read it on this one.
            if not self.alive or is_repeated:
                return
            if taken:
                self._undelivered_ends.append(held)
            else:
                self._send_call_end(held, connection)

        target.send(
            encode_message("release", held.attempt.call, cause=16, fields={"load": self._load_field()}), done
        )
