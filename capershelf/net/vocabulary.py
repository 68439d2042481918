"""The vocabulary of the protocol: JSON objects with type, id, fields, cause and description.

Both sides speak it, over lines or over WebSocket messages.  What can't be read raises
UnreadableError, with the id where there is one, so that its sender can still be answered.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

from capershelf import interface as api
from capershelf.core import model as m

HEX_ID = re.compile("[0-9a-fA-F]{16}")
DEPTH = 16  # of brackets within each other; more is not of this protocol
WHYS = {"atb": api.Why.NO_LINE, "acc": api.Why.PROCESSOR_FULL, "sub": api.Why.NUMBER_BUSY}
RESULTS = {
    34: api.Result.FULL, 17: api.Result.ERROR, 47: api.Result.ERROR, 102: api.Result.NOT_SENT,
    41: api.Result.RESET,
}


class UnreadableError(ValueError):
    """A message that is not of the vocabulary; id is its call's, if that could be read."""

    def __init__(self, problem: str, call_id: str = "") -> None:
        super().__init__(problem)
        self.id = call_id


def decode(line: bytes) -> dict[str, Any]:
    """The object in a message."""
    if line.count(b"[") + line.count(b"{") > DEPTH and _depth(line) > DEPTH:
        raise UnreadableError("nested too deeply")  # guards a small stack against the JSON reader's recursion
    try:
        found = json.loads(line.decode("utf-8"))
    except (ValueError, RecursionError) as problem:
        raise UnreadableError(f"not JSON: {problem}") from problem
    if not isinstance(found, dict) or not isinstance(found.get("type"), str):
        raise UnreadableError("not an object with a type")
    return found


def _depth(line: bytes) -> int:
    """How deep brackets outside strings lie within each other."""
    depth = deepest = 0
    in_string = escaped = False
    for byte in line:
        if escaped:
            escaped = False
        elif in_string:
            in_string, escaped = byte != 0x22, byte == 0x5C
        elif byte == 0x22:
            in_string = True
        elif byte in b"[{":
            depth += 1
            deepest = max(deepest, depth)
        elif byte in b"]}":
            depth -= 1
    return deepest


def encode(
    kind: str, call_id: str, cause: int | None = None, sdp: str | None = None,
    fields: dict[str, str] | None = None,
) -> bytes:
    message: dict[str, Any] = {"type": kind, "id": call_id, "fields": fields or {}}
    if cause is not None:
        message["cause"] = cause
    if sdp is not None:
        message["sdp"] = sdp
    return json.dumps(message, separators=(",", ":")).encode()


def call_id(message: dict[str, Any]) -> str:
    found = message.get("id")
    if not isinstance(found, str) or not HEX_ID.fullmatch(found):
        raise UnreadableError("its id is not 16 hex digits")
    return found


def fields_of(message: dict[str, Any], named: str) -> dict[str, str | int | float]:
    found = message.get("fields", {})
    if not isinstance(found, dict):
        raise UnreadableError("its fields are not an object", named)
    for name, value in found.items():
        if isinstance(value, bool) or not isinstance(value, str | int | float):
            raise UnreadableError(f"its field {name!r} is neither text nor number", named)
    return found


def number_of(value: Any, what: str, named: str) -> float:
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        number = math.nan
    if not math.isfinite(number):
        raise UnreadableError(f"its {what} is no number", named)
    return number


def cause_of(message: dict[str, Any], named: str) -> int:
    return int(number_of(message.get("cause", m.NORMAL), "cause", named))


def pairs_of(text: str) -> dict[str, str]:
    """name:value;name:value"""
    return {name: value for name, _, value in (pair.partition(":") for pair in text.split(";"))}


def set_up_of(message: dict[str, Any], now_ms: float) -> m.SetUp:
    """A caller's set-up, its `left` turned into a deadline at once."""
    named = call_id(message)
    fields = fields_of(message, named)
    sdp = message.get("sdp", "")
    if not isinstance(sdp, str):
        raise UnreadableError("its sdp is no text", named)
    if not isinstance(fields.get("class"), str):
        raise UnreadableError("it names no class", named)
    left_ms = number_of(fields.get("left"), "left", named)
    if left_ms <= 0:
        raise UnreadableError("its time is over", named)
    extras = pairs_of(str(fields.get("extras", "")))
    far_end = int(number_of(extras.get("dest", "-1"), "dest", named))
    width = int(number_of(extras.get("width", "1"), "width", named))
    return m.SetUp(
        named, str(fields["class"]), now_ms + left_ms, str(fields.get("key", "")), sdp, far_end, max(1, width)
    )


def report_of(fields: dict[str, str | int | float], named: str) -> api.Report | None:
    """The load report among the fields, if there is one."""
    load = fields.get("load")
    if not isinstance(load, str) or not load:
        return None
    found: dict[str, float] = {}
    for name, value in pairs_of(load).items():
        number = number_of(value, f"load figure {name!r}", named)
        if number >= 0:
            found[name] = number
    return api.Report.of(found)


def server_event(server: str, message: dict[str, Any]) -> m.Event | None:
    """What a booking server says; None for what means nothing."""
    kind = message["type"]
    if kind in ("progress", "released", "ping"):
        return None
    if kind == "state":
        report = report_of(fields_of(message, ""), "")
        return m.ServerTold(server, report) if report is not None else None
    named = call_id(message)
    fields = fields_of(message, named)
    report = report_of(fields, named)
    if kind == "pong":
        return m.ServerTold(server, report or api.Report(), named, cause_of(message, named) != 0)
    if kind == "answer":
        sdp = message.get("sdp", "")
        if not isinstance(sdp, str):
            raise UnreadableError("its sdp is no text", named)
        return m.ServerAnswered(server, named, sdp, report)
    if kind == "release":
        cause = cause_of(message, named)
        result = RESULTS.get(cause, api.Result.ERROR)
        why = WHYS.get(str(fields.get("note", "")), api.Why.UNSAID)
        return m.ServerReleased(server, named, cause, result, why, report)
    raise UnreadableError(f"unknown type {kind!r}", named)


def word_bytes(word: m.Word) -> bytes:
    """An outcome, or a call's end, as callers are told it."""
    match word:
        case m.Answered(named, description):
            return encode("answer", named, sdp=description)
        case m.Refused(named, wait_ms) if wait_ms > 0:
            return encode("release", named, m.FULL, fields={"wait": f"{math.ceil(wait_ms)}"})
        case m.Refused(named, _):
            return encode("release", named, m.FULL)
        case m.Failed(named, cause) | m.Ended(named, cause):
            return encode("release", named, cause)


def set_up_bytes(request: m.SetUp, left_ms: float) -> bytes:
    """The set-up as a booking server gets it: id, class, number and description unchanged."""
    fields = {"class": request.call_class, "left": str(max(1, math.floor(left_ms)))}
    if request.number:
        fields["key"] = request.number
    return encode("setup", request.id, sdp=request.description, fields=fields)
