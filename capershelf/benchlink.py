"""The bench's wire on standard input and output; translates only, decides nothing.

Run as ``python -m capershelf.benchlink``.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from typing import TextIO

from capershelf import interface as api
from capershelf.config import read_settings
from capershelf.control import Controller

RESULTS = {
    "pass": api.Result.OK,
    "fault": api.Result.ERROR,
    "no_room": api.Result.FULL,
    "too_slow": api.Result.TIMEOUT,
    "no_route": api.Result.NO_CONNECTION,
    "cut": api.Result.RESET,
    "undone": api.Result.CANCELLED,
    "stale_send": api.Result.NOT_SENT,
}
STANDINGS = {
    "active": api.ServerStatus.ACTIVE,
    "leaving": api.ServerStatus.DRAINING,
    "left": api.ServerStatus.REMOVED,
}
WHYS = {1: api.RefusalReason.NO_LINE, 3: api.RefusalReason.PROCESSOR_FULL, 4: api.RefusalReason.NUMBER_BUSY}
EMPTY = api.LoadReport()


class WireError(Exception):
    """A line that is not of the wire."""


def read_report(text: str) -> api.LoadReport:
    """A load report; fields that are unknown or negative count as not given."""
    if text == "-":
        return EMPTY
    found: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        number = float(value)
        if number >= 0:
            found[name] = number
    return api.LoadReport.from_fields(found)


class Adapter:
    """Hosts one controller for each instance and turns wire lines into events."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.sheets: dict[int, tuple[api.ListedServer, ...]] = {}

    def event(self, parts: list[str], lines: Iterator[str]) -> tuple[int, api.Event] | None:
        """The event in a line; a start, a stop or a sheet is dealt with here."""
        verb = parts[0]
        if verb == "sheet":
            self.sheets[int(parts[1])] = tuple(self._entry(next(lines)) for _ in range(int(parts[2])))
            return None
        who = int(parts[1])
        if verb == "launch":
            self.controllers[who] = Controller(read_settings(json.loads(" ".join(parts[3:]))), int(parts[2]))
            return None
        if verb == "shutdown":
            self.controllers.pop(who, None)
            return None
        if verb == "ingress":
            _, _, call, expires, profile, far_end, _, _, org, number, width, _ = parts
            tenant = None if org == "-" else org
            return who, api.NewCall(
                int(call), float(expires), profile, int(float(far_end)), number, tenant, int(float(width))
            )
        if verb == "alarm":
            return who, api.TimerFired(parts[2])
        if verb == "ack_first":
            return who, api.AttemptSucceeded(int(parts[2]), int(parts[3]), parts[4], float(parts[5]))
        if verb == "completed":
            _, _, call, reason, settled, note, _, server, attempt, pressure = parts
            code = 0 if note == "-" else int(float(note))
            stated = float(code >> 4) if code & 15 == 3 and code > 15 else None
            why = WHYS.get(code & 15, api.RefusalReason.UNSPECIFIED)
            report = None if pressure == "-" else read_report(pressure)
            over = api.AttemptEnded(
                int(call), int(attempt), server, RESULTS[reason], settled == "1", why, stated, report
            )
            return who, over
        if verb == "client_gone":
            return who, api.CallAbandoned(int(parts[2]))
        if verb == "health":
            wait_ms = float(parts[4])
            result = RESULTS[parts[3]]
            asked = result is not api.Result.OK or wait_ms > 0
            return who, api.ServerReport(parts[2], result, read_report(parts[5]), asked)
        if verb == "announce":
            form = parts[4]
            if form == "unavailable":
                return None
            whole = form != "update"
            return who, api.ServerList(int(parts[2]), whole, self.sheets[int(parts[3])], form == "restored")
        if verb == "note_from":
            return None
        raise WireError(f"unknown message {verb!r}")

    @staticmethod
    def _entry(line: str) -> api.ListedServer:
        word, server, _, _, place, status, _, started = line.split(" ")
        if word != "switch":
            raise WireError("a sheet's entry must begin with 'switch'")
        started_ms = None if started in ("-", "0", "0.0") else float(started)
        return api.ListedServer(server, int(place), STANDINGS[status], started_ms)

    def batch(self, now_ms: float, lines: Iterator[str]) -> Iterator[str]:
        """The reply's lines to one batch, without the last."""
        for line in lines:
            if line == "your_turn":
                return
            try:
                found = self.event(line.split(" "), lines)
            except StopIteration:
                raise WireError("input ended within a sheet") from None
            except (ValueError, KeyError, IndexError, WireError, AttributeError, TypeError) as problem:
                raise WireError(f"bad line {line!r}: {problem}") from problem
            if found is None:
                continue
            who, event = found
            controller = self.controllers.get(who)
            if controller is None:
                raise WireError(f"bad line {line!r}: instance {who} is not running")
            for action in controller.handle(now_ms, event):
                yield self.action(who, action)
        raise WireError("input ended within a batch")

    @staticmethod
    def action(who: int, action: api.Action) -> str:
        """An action as a line of the wire."""
        match action:
            case api.Send(call, server, timeout_ms, _):
                return f"issue {who} {call} {server} {timeout_ms:.3f}"
            case api.Refuse(call, stay_away_ms):
                return f"turn_away {who} {call} {stay_away_ms:.3f}"
            case api.Fail(call):
                return f"error {who} {call}"
            case api.Cancel(call, attempt):
                return f"abort_attempt {who} {call} {attempt}"
            case api.Probe(server):
                return f"inspect {who} {server}"
            case api.SetTimer(delay_ms, name):
                return f"arm {who} {delay_ms:.3f} {name}"
            case api.Log(text, _):
                return f"debug {who} {text}"


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends."""
    adapter = Adapter()
    lines = (line.rstrip("\n") for line in source)
    for line in lines:
        if not line:
            continue
        parts = line.split(" ")
        if parts[0] != "frame" or len(parts) != 3:
            raise WireError(f"bad line {line!r}: expected 'frame TIME NUMBER'")
        try:
            now_ms = float(parts[1])
        except ValueError:
            raise WireError(f"bad line {line!r}: the clock is not a number") from None
        reply = list(adapter.batch(now_ms, lines))
        reply.append(f"end {parts[2]}\n")
        sink.write("\n".join(reply))
        sink.flush()


def main() -> int:
    """Run the adapter; 0 at the end of input, 1 after a plain message on what was malformed."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, ValueError) as problem:
        print(f"capershelf: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
