"""Adapter for the simulator's line protocol on standard input and output; it translates and decides nothing.

Run as ``python -m capershelf.benchlink``.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from typing import TextIO

from capershelf.config import read_settings
from capershelf.control import Controller
from capershelf.interface import (
    Action,
    AttemptEnded,
    AttemptSucceeded,
    CallAbandoned,
    Cancel,
    Event,
    Fail,
    ListedServer,
    LoadReport,
    Log,
    NewCall,
    Probe,
    RefusalReason,
    Refuse,
    Result,
    Send,
    ServerList,
    ServerReport,
    ServerStatus,
    SetTimer,
    TimerFired,
)

RESULTS = {
    "pass": Result.OK,
    "fault": Result.ERROR,
    "no_room": Result.FULL,
    "too_slow": Result.TIMEOUT,
    "no_route": Result.NO_CONNECTION,
    "cut": Result.RESET,
    "undone": Result.CANCELLED,
    "stale_send": Result.NOT_SENT,
}
SERVER_STATUSES = {
    "active": ServerStatus.ACTIVE,
    "leaving": ServerStatus.DRAINING,
    "left": ServerStatus.REMOVED,
}
REFUSAL_REASONS = {
    1: RefusalReason.NO_LINE,
    3: RefusalReason.PROCESSOR_FULL,
    4: RefusalReason.NUMBER_BUSY,
}
EMPTY_REPORT = LoadReport()


class WireError(Exception):
    """A line that violates the protocol."""


def parse_report(text: str) -> LoadReport:
    """Parse a load report; unknown and negative fields count as absent."""
    if text == "-":
        return EMPTY_REPORT
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        number = float(value)
        if number >= 0:
            values[name] = number
    return LoadReport.from_fields(values)


class Adapter:
    """Runs one controller per instance and converts lines to events and actions to lines."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.server_lists: dict[int, tuple[ListedServer, ...]] = {}

    def parse_event(self, parts: list[str], lines: Iterator[str]) -> tuple[int, Event] | None:
        """Return the instance and the event of a line.

        None for a line without an event; a launch, a shutdown or a sheet is processed here.
        """
        kind = parts[0]
        if kind == "sheet":
            self.server_lists[int(parts[1])] = tuple(
                self._parse_entry(next(lines)) for _ in range(int(parts[2]))
            )
            return None
        instance = int(parts[1])
        if kind == "launch":
            self.controllers[instance] = Controller(
                read_settings(json.loads(" ".join(parts[3:]))), int(parts[2])
            )
            return None
        if kind == "shutdown":
            self.controllers.pop(instance, None)
            return None
        if kind == "ingress":
            _, _, call, expires, class_name, preferred_pool, _, _, org, number, width, _ = parts
            tenant = None if org == "-" else org
            return instance, NewCall(
                int(call),
                float(expires),
                class_name,
                int(float(preferred_pool)),
                number,
                tenant,
                int(float(width)),
            )
        if kind == "alarm":
            return instance, TimerFired(parts[2])
        if kind == "ack_first":
            return instance, AttemptSucceeded(int(parts[2]), int(parts[3]), parts[4], float(parts[5]))
        if kind == "completed":
            _, _, call, result_name, finished, note, _, server, attempt, load = parts
            code = 0 if note == "-" else int(float(note))
            reported_wait_ms = float(code >> 4) if code & 15 == 3 and code > 15 else None
            reason = REFUSAL_REASONS.get(code & 15, RefusalReason.UNSPECIFIED)
            report = None if load == "-" else parse_report(load)
            ended = AttemptEnded(
                int(call),
                int(attempt),
                server,
                RESULTS[result_name],
                finished == "1",
                reason,
                reported_wait_ms,
                report,
            )
            return instance, ended
        if kind == "client_gone":
            return instance, CallAbandoned(int(parts[2]))
        if kind == "health":
            wait_ms = float(parts[4])
            result = RESULTS[parts[3]]
            is_probe = result is not Result.OK or wait_ms > 0
            return instance, ServerReport(parts[2], result, parse_report(parts[5]), is_probe)
        if kind == "announce":
            form = parts[4]
            if form == "unavailable":
                return None
            complete = form != "update"
            return instance, ServerList(
                int(parts[2]), complete, self.server_lists[int(parts[3])], form == "restored"
            )
        if kind == "note_from":
            return None
        raise WireError(f"unknown message {kind!r}")

    @staticmethod
    def _parse_entry(line: str) -> ListedServer:
        kind, server, _, _, pool, status, _, started = line.split(" ")
        if kind != "switch":
            raise WireError("a sheet's entry must begin with 'switch'")
        started_ms = None if started in ("-", "0", "0.0") else float(started)
        return ListedServer(server, int(pool), SERVER_STATUSES[status], started_ms)

    def handle_batch(self, now_ms: float, lines: Iterator[str]) -> Iterator[str]:
        """Process one batch; yields the lines of the reply except the final `end`."""
        for line in lines:
            if line == "your_turn":
                return
            try:
                parsed = self.parse_event(line.split(" "), lines)
            except StopIteration:
                raise WireError("input ended within a sheet") from None
            except (ValueError, KeyError, IndexError, WireError, AttributeError, TypeError) as problem:
                raise WireError(f"bad line {line!r}: {problem}") from problem
            if parsed is None:
                continue
            instance, event = parsed
            controller = self.controllers.get(instance)
            if controller is None:
                raise WireError(f"bad line {line!r}: instance {instance} is not running")
            for action in controller.handle(now_ms, event):
                yield self.format_action(instance, action)
        raise WireError("input ended within a batch")

    @staticmethod
    def format_action(instance: int, action: Action) -> str:
        """Return the line for an action."""
        match action:
            case Send(call, server, timeout_ms, _):
                return f"issue {instance} {call} {server} {timeout_ms:.3f}"
            case Refuse(call, retry_after_ms):
                return f"turn_away {instance} {call} {retry_after_ms:.3f}"
            case Fail(call):
                return f"error {instance} {call}"
            case Cancel(call, attempt):
                return f"abort_attempt {instance} {call} {attempt}"
            case Probe(server):
                return f"inspect {instance} {server}"
            case SetTimer(delay_ms, name):
                return f"arm {instance} {delay_ms:.3f} {name}"
            case Log(text, _):
                return f"debug {instance} {text}"


def serve(source: TextIO, sink: TextIO) -> None:
    """Answer batches until the input ends; WireError for a malformed line."""
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
        reply = list(adapter.handle_batch(now_ms, lines))
        reply.append(f"end {parts[2]}\n")
        sink.write("\n".join(reply))
        sink.flush()


def main() -> int:
    """Run the adapter; returns 0 at the end of input, 1 after an error message for malformed input."""
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, ValueError) as problem:
        print(f"capershelf: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
