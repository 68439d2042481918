"""The vocabulary of the protocol: JSON objects with type, id, fields, cause and description.

Both sides speak it, over lines or over WebSocket messages.  What can't be read raises
UnreadableError, with the id where there is one, so that its sender can still be answered.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass
from typing import Any

from capershelf import interface as api
from capershelf.core import model as m
from capershelf.net.buffers import MESSAGE_BYTES

HEX_ID = re.compile("[0-9a-fA-F]{16}")
WHOLE = re.compile("-?[0-9]{1,9}")
KEY_LENGTH = 64  # of the number called, at the most
REFUSED_MS = 1000.0
DEPTH = 16  # of brackets within each other; more is not of this protocol
WHYS = {
    "atb": api.RefusalReason.NO_LINE,
    "acc": api.RefusalReason.PROCESSOR_FULL,
    "sub": api.RefusalReason.NUMBER_BUSY,
}
RESULTS = {
    34: api.Result.FULL,
    17: api.Result.ERROR,
    47: api.Result.ERROR,
    102: api.Result.NOT_SENT,
    41: api.Result.RESET,
}


class UnreadableError(ValueError):
    """A message that is not of the vocabulary; id is its call's, if that could be read."""

    def __init__(self, problem: str, call_id: str = "") -> None:
        super().__init__(problem)
        self.id = call_id


class UnusableError(UnreadableError):
    """A set-up whose id can be read and which no booking server could use."""


@dataclass(frozen=True, slots=True)
class Terms:
    """What a set-up may name here."""

    deadlines: dict[str, float]  # how long a caller may wait at the most, by class
    widths: frozenset[int]
    places: frozenset[int] | None  # None: not told
    wait_ms: float  # how long a caller that is refused for its own number of calls is to stay away

    @classmethod
    def of(cls, settings: api.Settings) -> Terms:
        places: set[int] | None = set()
        for kind in settings.classes:
            places = places | set(kind.pools) if places is not None and kind.pools is not None else None
        return cls(
            {kind.name: kind.deadline_ms for kind in settings.classes},
            frozenset(kind.width for kind in settings.classes),
            frozenset(places) if places is not None else None,
            min(REFUSED_MS, settings.max_retry_after_ms),
        )


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
    kind: str,
    call_id: str,
    cause: int | None = None,
    sdp: str | None = None,
    fields: dict[str, str] | None = None,
) -> bytes:
    message: dict[str, Any] = {"type": kind, "id": call_id, "fields": fields or {}}
    if cause is not None:
        message["cause"] = cause
    if sdp is not None:
        message["sdp"] = sdp
    # Not as ASCII: guards a message of the allowed size from one of six times that on its way out.
    return json.dumps(message, separators=(",", ":"), ensure_ascii=False).encode()


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
    return int(number_of(message.get("cause", m.CAUSE_NORMAL), "cause", named))


def pairs_of(text: str) -> dict[str, str]:
    """name:value;name:value"""
    return {name: value for name, _, value in (pair.partition(":") for pair in text.split(";"))}


def whole_number(text: str, what: str, named: str) -> int:
    if not WHOLE.fullmatch(text):
        raise UnreadableError(f"its {what} is no whole number", named)
    return int(text)


def description_of(message: dict[str, Any], named: str) -> str:
    """The description, which must be there and be text that can be written out again."""
    sdp = message.get("sdp")
    if not isinstance(sdp, str) or not sdp:
        raise UnreadableError("it has no description", named)
    try:
        sdp.encode()
    except UnicodeEncodeError as problem:
        raise UnreadableError("its description is no text", named) from problem
    return sdp


def set_up_of(message: dict[str, Any], now_ms: float, terms: Terms) -> m.SetUp:
    """A caller's set-up, its `left` turned into a deadline at once.

    Guards the booking servers: nothing that one of them could not use or read gets past here.
    """
    named = call_id(message)
    try:
        return _set_up_of(message, named, now_ms, terms)
    except UnreadableError as problem:
        raise UnusableError(str(problem), named) from problem


def _set_up_of(message: dict[str, Any], named: str, now_ms: float, terms: Terms) -> m.SetUp:
    fields = fields_of(message, named)
    sdp = description_of(message, named)
    kind = fields.get("class")
    if not isinstance(kind, str) or kind not in terms.deadlines:
        raise UnreadableError(f"its class {str(kind)[:40]!r} is unknown", named)
    left_ms = number_of(fields.get("left"), "left", named)
    if not 0 < left_ms <= terms.deadlines[kind]:
        raise UnreadableError("its left is out of range", named)
    number = str(fields.get("key", ""))
    if len(number) > KEY_LENGTH or not number.isascii() or not number.isprintable():
        raise UnreadableError("its key is no number called", named)
    extras: dict[str, int] = {}
    for pair in filter(None, str(fields.get("extras", "")).split(";")):
        name, colon, value = pair.partition(":")
        if not colon:
            raise UnreadableError("its extras are not name:value", named)
        extras[name] = whole_number(value, f"extra {name[:20]!r}", named)
    far_end, width = extras.get("dest", -1), extras.get("width", min(terms.widths))
    if far_end != -1 and (far_end < 0 or terms.places is not None and far_end not in terms.places):
        raise UnreadableError("its dest is no place", named)
    if width not in terms.widths:
        raise UnreadableError("its width is out of range", named)
    request = m.SetUp(named, kind, now_ms + left_ms, number, sdp, far_end, width)
    if len(sdp) > MESSAGE_BYTES // 8 and len(set_up_bytes(request, left_ms)) > MESSAGE_BYTES:
        raise UnreadableError("it is too long to be passed on", named)
    return request


def report_of(fields: dict[str, str | int | float], named: str) -> api.LoadReport | None:
    """The load report among the fields, if there is one."""
    load = fields.get("load")
    if not isinstance(load, str) or not load:
        return None
    found: dict[str, float] = {}
    for name, value in pairs_of(load).items():
        number = number_of(value, f"load figure {name!r}", named)
        if number >= 0:
            found[name] = number
    return api.LoadReport.from_fields(found)


def server_event(server: str, message: dict[str, Any], replaced: bool = False) -> m.Event | None:
    """What a booking server says, perhaps on a connection that was replaced; None for what means nothing."""
    kind = message["type"]
    if kind in ("progress", "released", "ping"):
        return None
    if kind == "state":
        report = report_of(fields_of(message, ""), "")
        return m.ServerReported(server, report) if report is not None else None
    named = call_id(message)
    fields = fields_of(message, named)
    report = report_of(fields, named)
    if kind == "pong":
        return m.ServerReported(server, report or api.LoadReport(), named, cause_of(message, named) != 0)
    if kind == "answer":
        return m.ServerAnswered(server, named, description_of(message, named), report, replaced)
    if kind == "release":
        cause = cause_of(message, named)
        result = RESULTS.get(cause, api.Result.ERROR)
        why = WHYS.get(str(fields.get("note", "")), api.RefusalReason.UNSPECIFIED)
        return m.ServerReleased(server, named, cause, result, why, report, replaced)
    raise UnreadableError(f"unknown type {kind!r}", named)


def word_bytes(word: m.CallerMessage) -> bytes:
    """An outcome, or a call's end, as callers are told it."""
    match word:
        case m.Answered(named, description):
            return encode("answer", named, sdp=description)
        case m.Refused(named, wait_ms) if wait_ms > 0:
            return encode("release", named, m.CAUSE_NO_CAPACITY, fields={"wait": f"{math.ceil(wait_ms)}"})
        case m.Refused(named, _):
            return encode("release", named, m.CAUSE_NO_CAPACITY)
        case m.Failed(named, cause) | m.Ended(named, cause):
            return encode("release", named, cause)


def set_up_bytes(request: m.SetUp, left_ms: float) -> bytes:
    """The set-up as a booking server gets it: id, class, number and description unchanged."""
    fields = {"class": request.call_class, "left": str(max(1, math.floor(left_ms)))}
    if request.number:
        fields["key"] = request.number
    return encode("setup", request.id, sdp=request.description, fields=fields)
