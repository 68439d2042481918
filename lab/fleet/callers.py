"""Simulated callers: open-loop set-ups on connections that are kept until idle."""

from __future__ import annotations

import contextlib
import json
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lab.fleet.network import EventLoop, LineStream
from lab.fleet.records import CallerSetUp, DayRecord, Outcome, ProxyRun
from lab.fleet.servers import encode_message
from lab.world import Arrival

IDLE_TIMEOUT_MS = 4000.0  # a connection with no call on it is closed after this
MAX_CONNECTIONS = 3  # to one proxy
PROBE_INTERVAL_MS = 50.0  # between readiness probes of a starting proxy
CROSSED_CLOSE_MS = 50.0  # a set-up sent within this time before a close is resent once
NEW_CONNECTION_MS = 400.0  # callers open new connections for this long after SIGTERM
REFUSALS = (34, 42, 102)
CLASSES = ("slot-lookup", "slot-confirm")


@dataclass(slots=True)
class ProxyConnection:
    """A connection to a proxy and the calls sent on it."""

    stream: LineStream
    calls: dict[str, CallerSetUp] = field(default_factory=dict)
    used_ms: float = 0.0


class CallerGroup:
    """All callers of one proxy."""

    def __init__(
        self,
        loop: EventLoop,
        record: DayRecord,
        proxy: int,
        address: tuple[str, int],
        deadlines: tuple[float, ...],
        rng: random.Random,
    ) -> None:
        self.loop, self.record, self.proxy, self.address = loop, record, proxy, address
        self._deadlines = deadlines
        self.run: ProxyRun | None = None
        self._rng = rng
        self._connections: list[ProxyConnection] = []
        self._redialable: dict[str, Arrival] = {}  # arrivals that may be redialed, by call id
        self._dial_counts: dict[str, int] = {}
        self._closed = False
        self.on_unknown: Callable[[dict[str, Any]], None] = lambda message: (
            None
        )  # of the proxy's rough callers
        self.redirect: Callable[[Arrival], None] = lambda arrival: None  # places a call at another proxy

    # -- proxy runs -----------------------------------------------------------------------------------
    def await_run(self, run: ProxyRun) -> None:
        """Probe the proxy until it is ready; set-ups are sent to it from then on."""
        self.run = run
        for connection in list(self._connections):
            self._on_closed(connection)
        self._probe(run)

    def _probe(self, run: ProxyRun) -> None:
        if self.run is not run or run.ready_ms < run.killed_ms:
            return
        sock = socket.socket()
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            self.loop.after(PROBE_INTERVAL_MS, self._probe, run)
            return

        def on_line(line: bytes, first_byte_ms: float) -> None:
            message = json.loads(line)
            if message["type"] == "pong" and message.get("cause") == 1:
                run.ready_ms = min(run.ready_ms, self.loop.now_ms)
            else:
                self.loop.after(PROBE_INTERVAL_MS, self._probe, run)
            stream.close()

        def on_closed() -> None:
            self.loop.after(PROBE_INTERVAL_MS, self._probe, run)

        stream = LineStream(self.loop, sock, on_line, on_closed)
        stream.write(encode_message("ping", "1" * 16, cause=0))

    @property
    def pending_count(self) -> int:
        """Number of set-ups without an outcome."""
        return sum(
            one.outcome is Outcome.NONE
            for connection in self._connections
            for one in connection.calls.values()
        )

    def newest_open(self) -> CallerSetUp | None:
        """The latest set-up without an outcome, if there is one."""
        found = [
            one
            for connection in self._connections
            for one in connection.calls.values()
            if one.outcome is Outcome.NONE and one.given_up_ms == float("inf")
        ]
        return max(found, key=lambda one: one.sent_ms, default=None)

    def stop_calls(self) -> None:
        """Send no more set-ups and redials."""
        self._closed = True

    # -- set-ups --------------------------------------------------------------------------------------
    def place_call(self, arrival: Arrival) -> bool:
        """Send a set-up; return False if the proxy is not ready or is unreachable.

        Callers use open connections to a stopping proxy until it closes them.
        """
        run = self.run
        if self._closed or run is None or not run.ready_ms <= self.loop.now_ms:
            return False
        since_ms = self.loop.now_ms - run.term_ms
        connection = self._pick_connection(since_ms < NEW_CONNECTION_MS)
        if connection is None:
            return False
        kind = CLASSES[arrival.kind]
        setup = CallerSetUp(
            f"{self._rng.getrandbits(64):016x}",
            self.proxy,
            run.number,
            kind,
            0.0,
            self._deadlines[arrival.kind],
        )
        self._dial_counts.setdefault(arrival.number, 0)
        self._redialable[setup.call] = arrival
        self._send(connection, setup, arrival)
        return True

    def _send(self, connection: ProxyConnection, setup: CallerSetUp, arrival: Arrival) -> None:
        fields = {
            "class": setup.kind,
            "left": f"{setup.remaining_ms:.0f}",
            "key": arrival.number,
            "extras": f"dest:{arrival.place};width:1;via:-1",
        }
        connection.calls[setup.call] = setup
        if connection.stream.write(
            encode_message("setup", setup.call, fields=fields, sdp=f"asked for {setup.call}\r\n")
        ):
            setup.sent_ms = connection.used_ms = self.loop.now_ms
            self.record.setups.append(setup)
        else:
            del connection.calls[setup.call]  # the socket did not accept the whole message

    def _pick_connection(self, may_connect: bool) -> ProxyConnection | None:
        connections = [connection for connection in self._connections if connection.stream.open]
        if connections and (
            len(connections) >= MAX_CONNECTIONS or self._rng.random() < 0.8 or not may_connect
        ):
            return self._rng.choice(connections)
        if not may_connect:
            return None
        sock = socket.socket()
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            return None
        connection = ProxyConnection(
            LineStream(
                self.loop,
                sock,
                lambda data, first_byte_ms: self._on_message(connection, data),
                lambda: self._on_closed(connection),
            ),
            used_ms=self.loop.now_ms,
        )
        self._connections.append(connection)
        self._check_idle(connection)
        return connection

    def _check_idle(self, connection: ProxyConnection) -> None:
        if (
            connection.stream.open
            and not connection.calls
            and self.loop.now_ms - connection.used_ms >= IDLE_TIMEOUT_MS
        ):
            connection.stream.close()
            self._connections.remove(connection)
        elif connection.stream.open:
            self.loop.after(IDLE_TIMEOUT_MS / 4.0, self._check_idle, connection)

    # -- messages from proxies ------------------------------------------------------------------------
    def _on_message(self, connection: ProxyConnection, data: bytes) -> None:
        try:
            message = json.loads(data)
            kind, _ = message["type"], message["id"]
        except (ValueError, KeyError, TypeError):
            self.record.invalid_messages.append(f"proxy {self.proxy} to a caller: {data[:80]!r}")
            return
        if kind in ("answer", "release"):
            self.take(message, connection)

    def take(self, message: dict[str, Any], connection: ProxyConnection | None = None) -> None:
        """Handle an outcome or end; without a connection it came on one of the proxy's rough callers."""
        now_ms, kind, call = self.loop.now_ms, message["type"], message["id"]
        # An established call is not bound to a connection: its end may arrive on any of them.
        connections = [connection, *self._connections] if connection is not None else self._connections
        setup = next((one.calls[call] for one in connections if call in one.calls), None)
        if setup is None:
            if connection is not None:
                self.on_unknown(message)
            return
        if kind == "answer" or setup.outcome is Outcome.NONE:
            setup.outcome_count += 1
            setup.outcome_ms = min(setup.outcome_ms, now_ms)
        if kind == "answer":
            setup.outcome, setup.description = Outcome.ESTABLISHED, message.get("sdp", "")
            self._redialable.pop(call, None)
            return
        for one in self._connections:
            one.calls.pop(call, None)
        if connection is not None:
            connection.used_ms = now_ms
        if setup.outcome is Outcome.ESTABLISHED:
            setup.end_notified_ms, setup.interrupted = now_ms, message.get("cause") != 16
            return
        setup.outcome = Outcome.REFUSED if message.get("cause") in REFUSALS else Outcome.FAILED
        self._schedule_redial(call)

    def _schedule_redial(self, call: str) -> None:
        arrival = self._redialable.pop(call)
        dials = self._dial_counts[arrival.number]
        if dials < len(arrival.redials):
            self._dial_counts[arrival.number] += 1
            self.loop.after(arrival.redials[dials], self._redial, arrival)

    def _redial(self, arrival: Arrival) -> None:
        self.place_call(arrival)

    def _on_closed(self, connection: ProxyConnection) -> None:
        """The proxy closed the connection, or a new proxy run began."""
        now_ms = self.loop.now_ms
        connection.stream.close()
        if connection in self._connections:
            self._connections.remove(connection)
        calls = []
        was_killed = self.run is not None and self.run.killed_ms <= now_ms
        for setup in connection.calls.values():
            crossed = now_ms - setup.sent_ms <= CROSSED_CLOSE_MS and not was_killed
            if setup.outcome is Outcome.NONE and crossed:
                self._resend(setup)
            else:
                calls.append(setup)
        for setup in calls:
            if setup.outcome is Outcome.NONE:
                setup.outcome = Outcome.LOST
            elif (other := next(iter(self._connections), None)) is not None:
                other.calls[setup.call] = setup  # the call goes on; its end arrives on another connection

    def _resend(self, setup: CallerSetUp) -> None:
        """Send a set-up that crossed the close of its connection once more, here or to another proxy."""
        self.record.setups.remove(setup)
        arrival = self._redialable.pop(setup.call, None)
        if arrival is None:
            return
        replacement = self._pick_connection(True)
        if replacement is not None:
            self._redialable[setup.call] = arrival
            self._send(replacement, setup, arrival)
        else:
            self.redirect(arrival)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.stream.close()
        self._connections.clear()


def schedule(
    loop: EventLoop,
    arrivals: list[Arrival],
    began_ms: float,
    caller_groups: list[CallerGroup],
    pick: Callable[[float], int],
) -> None:
    """Start each call at its arrival time, with one timer pending at a time."""
    remaining = iter(arrivals)

    def schedule_next(*_: Any) -> None:
        arrival = next(remaining, None)
        if arrival is not None:

            def start_call() -> None:
                first = pick(arrival.chance)
                any(
                    caller_groups[(first + n) % len(caller_groups)].place_call(arrival)
                    for n in range(len(caller_groups))
                )
                schedule_next()

            loop.poller.call_at(began_ms + arrival.at_ms, start_call)

    schedule_next()
