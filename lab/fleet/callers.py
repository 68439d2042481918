"""The front before the proxies: callers' set-ups as they come, on connections kept a while."""

from __future__ import annotations

import contextlib
import json
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lab.fleet.records import Asked, Life, Outcome, Seen
from lab.fleet.servers import line_of
from lab.fleet.stage import Stage, Wire
from lab.world import Arrival

IDLE_MS = 4000.0  # a connection with no call on it is closed after this
CONNECTIONS = 3  # to one proxy
TEST_MS = 50.0  # between tests of a proxy that is not up yet
CROSSED_MS = 50.0  # a set-up that crosses a close within this is sent once more
NEW_MS, OLD_MS = 300.0, 500.0  # after SIGTERM: new connections, and requests on open ones, for so long
REFUSALS = (34, 42, 102)
CLASSES = ("slot-lookup", "slot-confirm")


@dataclass(slots=True)
class Line:
    """One connection to a proxy, with its calls."""

    wire: Wire
    calls: dict[str, Asked] = field(default_factory=dict)
    used_ms: float = 0.0


class Front:
    """All callers of one proxy."""

    def __init__(
        self,
        stage: Stage,
        seen: Seen,
        proxy: int,
        address: tuple[str, int],
        deadlines: tuple[float, ...],
        rng: random.Random,
    ) -> None:
        self.stage, self.seen, self.proxy, self.address = stage, seen, proxy, address
        self._deadlines = deadlines
        self.life: Life | None = None
        self._rng = rng
        self._lines: list[Line] = []
        self._again: dict[str, Arrival] = {}  # whose callers may dial again, by the call's id
        self._dials: dict[str, int] = {}
        self._over = False

    # -- the proxy's life -----------------------------------------------------------------------------
    def await_life(self, life: Life) -> None:
        """Test the proxy until it is ready; from then on it is asked."""
        self.life = life
        for line in list(self._lines):
            self._ended(line)
        self._test(life)

    def _test(self, life: Life) -> None:
        if self.life is not life or life.ready_ms < life.killed_ms:
            return
        sock = socket.socket()
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            self.stage.after(TEST_MS, self._test, life)
            return

        def came(line: bytes, first_ms: float) -> None:
            message = json.loads(line)
            if message["type"] == "pong" and message.get("cause") == 1:
                life.ready_ms = min(life.ready_ms, self.stage.now_ms)
            else:
                self.stage.after(TEST_MS, self._test, life)
            wire.close()

        def ended() -> None:
            self.stage.after(TEST_MS, self._test, life)

        wire = Wire(self.stage, sock, came, ended)
        wire.write(line_of("ping", "1" * 16, cause=0))

    @property
    def open_now(self) -> int:
        """Calls that wait for an outcome."""
        return sum(one.outcome is Outcome.NONE for line in self._lines for one in line.calls.values())

    def close_door(self) -> None:
        """Nobody asks or dials again from here on."""
        self._over = True

    # -- set-ups --------------------------------------------------------------------------------------
    def arrive(self, arrival: Arrival) -> bool:
        """A caller asks, if the front has taken the proxy in and can reach it."""
        life = self.life
        if self._over or life is None or not life.ready_ms <= self.stage.now_ms:
            return False
        since_ms = self.stage.now_ms - life.term_ms
        line = self._line(since_ms < NEW_MS) if since_ms < OLD_MS else None
        if line is None:
            return False
        kind = CLASSES[arrival.kind]
        asked = Asked(
            f"{self._rng.getrandbits(64):016x}",
            self.proxy,
            life.number,
            kind,
            0.0,
            self._deadlines[arrival.kind],
        )
        self._dials.setdefault(arrival.number, 0)
        self._again[asked.call] = arrival
        self._send(line, asked, arrival)
        return True

    def _send(self, line: Line, asked: Asked, arrival: Arrival) -> None:
        fields = {
            "class": asked.kind,
            "left": f"{asked.left_ms:.0f}",
            "key": arrival.number,
            "extras": f"dest:{arrival.place};width:1;via:-1",
        }
        line.calls[asked.call] = asked
        if line.wire.write(line_of("setup", asked.call, fields=fields, sdp=f"asked for {asked.call}\r\n")):
            asked.asked_ms = line.used_ms = self.stage.now_ms
            self.seen.asked.append(asked)
        else:
            del line.calls[asked.call]  # never taken whole

    def _line(self, may_connect: bool) -> Line | None:
        lines = [line for line in self._lines if line.wire.open]
        if lines and (len(lines) >= CONNECTIONS or self._rng.random() < 0.8 or not may_connect):
            return self._rng.choice(lines)
        if not may_connect:
            return None
        sock = socket.socket()
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            return None
        line = Line(
            Wire(self.stage, sock, lambda data, first_ms: self._heard(line, data), lambda: self._ended(line)),
            used_ms=self.stage.now_ms,
        )
        self._lines.append(line)
        self._idle(line)
        return line

    def _idle(self, line: Line) -> None:
        if line.wire.open and not line.calls and self.stage.now_ms - line.used_ms >= IDLE_MS:
            line.wire.close()
            self._lines.remove(line)
        elif line.wire.open:
            self.stage.after(IDLE_MS / 4.0, self._idle, line)

    # -- what proxies say -----------------------------------------------------------------------------
    def _heard(self, line: Line, data: bytes) -> None:
        now_ms = self.stage.now_ms
        try:
            message = json.loads(data)
            kind, call = message["type"], message["id"]
        except (ValueError, KeyError, TypeError):
            self.seen.foul.append(f"proxy {self.proxy} to a caller: {data[:80]!r}")
            return
        if kind not in ("answer", "release"):
            return
        # No connection owns a call that stands: its end may come on any.
        asked = next((one.calls[call] for one in [line, *self._lines] if call in one.calls), None)
        if asked is None:
            return
        if kind == "answer" or asked.outcome is Outcome.NONE:
            asked.words += 1
            asked.told_ms = min(asked.told_ms, now_ms)
        if kind == "answer":
            asked.outcome, asked.description = Outcome.STANDS, message.get("sdp", "")
            self._again.pop(call, None)
            return
        for one in self._lines:
            one.calls.pop(call, None)
        line.used_ms = now_ms
        if asked.outcome is Outcome.STANDS:
            asked.over_ms, asked.cut = now_ms, message.get("cause") != 16
            return
        asked.outcome = Outcome.REFUSED if message.get("cause") in REFUSALS else Outcome.FAILED
        self._dial_again(call)

    def _dial_again(self, call: str) -> None:
        arrival = self._again.pop(call)
        dials = self._dials[arrival.number]
        if dials < len(arrival.redials):
            self._dials[arrival.number] += 1
            self.stage.after(arrival.redials[dials], self._redial, arrival)

    def _redial(self, arrival: Arrival) -> None:
        self.arrive(arrival)

    def _ended(self, line: Line) -> None:
        """The proxy has ended the connection, or its life is over."""
        now_ms = self.stage.now_ms
        line.wire.close()
        if line in self._lines:
            self._lines.remove(line)
        calls = list(line.calls.values())
        if len(calls) == 1 and calls[0].outcome is Outcome.NONE and now_ms - calls[0].asked_ms <= CROSSED_MS:
            again = self._line(True)
            arrival = self._again.get(calls[0].call)
            if again is not None and arrival is not None:
                self.seen.asked.remove(calls[0])
                self._send(again, calls[0], arrival)
                return
        for asked in calls:
            if asked.outcome is Outcome.NONE:
                asked.outcome = Outcome.LOST
            elif (other := next(iter(self._lines), None)) is not None:
                other.calls[asked.call] = asked  # what stands lives on, and its end comes on another

    def close(self) -> None:
        for line in self._lines:
            with contextlib.suppress(OSError):
                line.wire.close()
        self._lines.clear()


def schedule(
    stage: Stage, arrivals: list[Arrival], began_ms: float, fronts: list[Front], pick: Callable[[float], int]
) -> None:
    """Have each caller come at its time, one timer ahead at a time."""
    coming = iter(arrivals)

    def next_one(*_: Any) -> None:
        arrival = next(coming, None)
        if arrival is not None:

            def come() -> None:
                first = pick(arrival.chance)
                any(fronts[(first + n) % len(fronts)].arrive(arrival) for n in range(len(fronts)))
                next_one()

            stage.poller.call_at(began_ms + arrival.at_ms, come)

    next_one()
