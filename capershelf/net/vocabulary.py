"""Encoding and parsing of protocol messages: JSON objects with type, id, fields, cause and description.

Callers and booking servers use the same messages, as JSON lines or WebSocket messages.  Parsing an invalid
message raises InvalidMessageError with the message's id, if it has one, so that the sender can be answered.
"""

from __future__ import annotations

import json
import math
import re
from dataclasses import dataclass
from typing import Any

from capershelf.core.model import (
    CAUSE_NO_CAPACITY,
    CAUSE_NORMAL,
    Answered,
    CallerMessage,
    Ended,
    Event,
    Failed,
    Refused,
    ServerAnswered,
    ServerReleased,
    ServerReported,
    SetUp,
)
from capershelf.interface import LoadReport, RefusalReason, Result, Settings
from capershelf.net.buffers import MAX_MESSAGE_BYTES

HEX_ID = re.compile("[0-9a-fA-F]{16}")
WHOLE_NUMBER = re.compile("-?[0-9]{1,9}")
MAX_KEY_LENGTH = 64  # characters of the number called
REFUSED_RETRY_AFTER_MS = 1000.0
MAX_NESTING_DEPTH = 16  # brackets; no message of this protocol nests deeper
REFUSAL_REASONS = {
    "atb": RefusalReason.NO_LINE,
    "acc": RefusalReason.PROCESSOR_FULL,
    "sub": RefusalReason.NUMBER_BUSY,
}
RESULTS_BY_CAUSE = {
    34: Result.FULL,
    17: Result.ERROR,
    47: Result.ERROR,
    102: Result.NOT_SENT,
    41: Result.RESET,
}


class InvalidMessageError(ValueError):
    """A message that violates the protocol; id is its call id, if that could be parsed."""

    def __init__(self, problem: str, call_id: str = "") -> None:
        super().__init__(problem)
        self.id = call_id


class InvalidSetUpError(InvalidMessageError):
    """A set-up with a valid id that no booking server could process."""


@dataclass(frozen=True, slots=True)
class SetUpLimits:
    """The values that a set-up may contain, from the settings."""

    max_remaining_ms: dict[str, float]  # the longest time left that a set-up may state, by class
    widths: frozenset[int]
    pools: frozenset[int] | None  # None: unknown, any pool is accepted
    retry_after_ms: float  # retry-after for a caller that has too many open calls

    @classmethod
    def from_settings(cls, settings: Settings) -> SetUpLimits:
        pools: set[int] | None = set()
        for kind in settings.classes:
            pools = pools | set(kind.pools) if pools is not None and kind.pools is not None else None
        return cls(
            {kind.name: kind.deadline_ms for kind in settings.classes},
            frozenset(kind.width for kind in settings.classes),
            frozenset(pools) if pools is not None else None,
            min(REFUSED_RETRY_AFTER_MS, settings.max_retry_after_ms),
        )


def decode(line: bytes) -> dict[str, Any]:
    """Decode a message to its JSON object."""
    if line.count(b"[") + line.count(b"{") > MAX_NESTING_DEPTH and _depth(line) > MAX_NESTING_DEPTH:
        raise InvalidMessageError(
            "nested too deeply"
        )  # the JSON decoder's recursion would overflow a small stack
    try:
        found = json.loads(line.decode("utf-8"))
    except (ValueError, RecursionError) as problem:
        raise InvalidMessageError(f"not JSON: {problem}") from problem
    if not isinstance(found, dict) or not isinstance(found.get("type"), str):
        raise InvalidMessageError("not an object with a type")
    return found


def _depth(line: bytes) -> int:
    """The nesting depth of brackets outside strings."""
    depth = max_depth = 0
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
            max_depth = max(max_depth, depth)
        elif byte in b"]}":
            depth -= 1
    return max_depth


def encode(
    kind: str,
    call_id: str,
    cause: int | None = None,
    sdp: str | None = None,
    fields: dict[str, str] | None = None,
) -> bytes:
    """Encode a message of this type."""
    message: dict[str, Any] = {"type": kind, "id": call_id, "fields": fields or {}}
    if cause is not None:
        message["cause"] = cause
    if sdp is not None:
        message["sdp"] = sdp
    # ASCII escapes could make a message of the maximum size six times as long when it is forwarded.
    return json.dumps(message, separators=(",", ":"), ensure_ascii=False).encode()


def parse_call_id(message: dict[str, Any]) -> str:
    """The message's call id."""
    found = message.get("id")
    if not isinstance(found, str) or not HEX_ID.fullmatch(found):
        raise InvalidMessageError("its id is not 16 hex digits")
    return found


def parse_fields(message: dict[str, Any], message_id: str) -> dict[str, str | int | float]:
    """The message's fields, checked to be text or numbers."""
    found = message.get("fields", {})
    if not isinstance(found, dict):
        raise InvalidMessageError("its fields are not an object", message_id)
    for name, value in found.items():
        if isinstance(value, bool) or not isinstance(value, str | int | float):
            raise InvalidMessageError(f"its field {name!r} is neither text nor number", message_id)
    return found


def parse_number(value: Any, what: str, message_id: str) -> float:
    """A finite number; what names the value in the error."""
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        number = math.nan
    if not math.isfinite(number):
        raise InvalidMessageError(f"its {what} is no number", message_id)
    return number


def parse_cause(message: dict[str, Any], message_id: str) -> int:
    """The message's cause as an integer."""
    return int(parse_number(message.get("cause", CAUSE_NORMAL), "cause", message_id))


def parse_pairs(text: str) -> dict[str, str]:
    """Parse name:value;name:value."""
    return {name: value for name, _, value in (pair.partition(":") for pair in text.split(";"))}


def parse_whole_number(text: str, what: str, message_id: str) -> int:
    """An integer of at most nine digits; what names the value in the error."""
    if not WHOLE_NUMBER.fullmatch(text):
        raise InvalidMessageError(f"its {what} is no whole number", message_id)
    return int(text)


def parse_description(message: dict[str, Any], message_id: str) -> str:
    """The description; it is required and must be encodable as UTF-8."""
    sdp = message.get("sdp")
    if not isinstance(sdp, str) or not sdp:
        raise InvalidMessageError("it has no description", message_id)
    try:
        sdp.encode()
    except UnicodeEncodeError as problem:
        raise InvalidMessageError("its description is no text", message_id) from problem
    return sdp


def parse_set_up(message: dict[str, Any], now_ms: float, limits: SetUpLimits) -> SetUp:
    """Parse a caller's set-up and convert its `left` to a deadline.

    Rejects everything that a booking server could not parse or process.
    """
    message_id = parse_call_id(message)
    try:
        return _parse_set_up(message, message_id, now_ms, limits)
    except InvalidMessageError as problem:
        raise InvalidSetUpError(str(problem), message_id) from problem


def _parse_set_up(message: dict[str, Any], message_id: str, now_ms: float, limits: SetUpLimits) -> SetUp:
    fields = parse_fields(message, message_id)
    sdp = parse_description(message, message_id)
    kind = fields.get("class")
    if not isinstance(kind, str) or kind not in limits.max_remaining_ms:
        raise InvalidMessageError(f"its class {str(kind)[:40]!r} is unknown", message_id)
    remaining_ms = parse_number(fields.get("left"), "left", message_id)
    if not 0 < remaining_ms <= limits.max_remaining_ms[kind]:
        raise InvalidMessageError("its left is out of range", message_id)
    number = str(fields.get("key", ""))
    if len(number) > MAX_KEY_LENGTH or not number.isascii() or not number.isprintable():
        raise InvalidMessageError("its key is no number called", message_id)
    extras: dict[str, int] = {}
    for pair in filter(None, str(fields.get("extras", "")).split(";")):
        name, colon, value = pair.partition(":")
        if not colon:
            raise InvalidMessageError("its extras are not name:value", message_id)
        extras[name] = parse_whole_number(value, f"extra {name[:20]!r}", message_id)
    preferred_pool, width = extras.get("dest", -1), extras.get("width", min(limits.widths))
    if preferred_pool != -1 and (
        preferred_pool < 0 or limits.pools is not None and preferred_pool not in limits.pools
    ):
        raise InvalidMessageError("its dest is no place", message_id)
    if width not in limits.widths:
        raise InvalidMessageError("its width is out of range", message_id)
    request = SetUp(message_id, kind, now_ms + remaining_ms, number, sdp, preferred_pool, width)
    if len(sdp) > MAX_MESSAGE_BYTES // 8 and len(encode_set_up(request, remaining_ms)) > MAX_MESSAGE_BYTES:
        raise InvalidMessageError("it is too long to be passed on", message_id)
    return request


def parse_load_report(fields: dict[str, str | int | float], message_id: str) -> LoadReport | None:
    """The load report in the fields, if there is one."""
    load = fields.get("load")
    if not isinstance(load, str) or not load:
        return None
    found: dict[str, float] = {}
    for name, value in parse_pairs(load).items():
        number = parse_number(value, f"load figure {name!r}", message_id)
        if number >= 0:
            found[name] = number
    return LoadReport.from_fields(found)


def parse_server_message(server: str, message: dict[str, Any], replaced: bool = False) -> Event | None:
    """The event for a booking server's message, or None if it is ignored.

    replaced: the message was received on a connection that has been replaced.
    """
    kind = message["type"]
    if kind in ("progress", "released", "ping"):
        return None
    if kind == "state":
        report = parse_load_report(parse_fields(message, ""), "")
        return ServerReported(server, report) if report is not None else None
    message_id = parse_call_id(message)
    fields = parse_fields(message, message_id)
    report = parse_load_report(fields, message_id)
    if kind == "pong":
        return ServerReported(
            server, report or LoadReport(), message_id, parse_cause(message, message_id) != 0
        )
    if kind == "answer":
        return ServerAnswered(server, message_id, parse_description(message, message_id), report, replaced)
    if kind == "release":
        cause = parse_cause(message, message_id)
        result = RESULTS_BY_CAUSE.get(cause, Result.ERROR)
        refusal_reason = REFUSAL_REASONS.get(str(fields.get("note", "")), RefusalReason.UNSPECIFIED)
        return ServerReleased(server, message_id, cause, result, refusal_reason, report, replaced)
    raise InvalidMessageError(f"unknown type {kind!r}", message_id)


def encode_caller_message(message: CallerMessage) -> bytes:
    """Encode a call's outcome or end for its caller."""
    match message:
        case Answered(message_id, description):
            return encode("answer", message_id, sdp=description)
        case Refused(message_id, wait_ms) if wait_ms > 0:
            return encode("release", message_id, CAUSE_NO_CAPACITY, fields={"wait": f"{math.ceil(wait_ms)}"})
        case Refused(message_id, _):
            return encode("release", message_id, CAUSE_NO_CAPACITY)
        case Failed(message_id, cause) | Ended(message_id, cause):
            return encode("release", message_id, cause)


def encode_set_up(request: SetUp, remaining_ms: float) -> bytes:
    """Encode a set-up for a booking server, with id, class, number and description unchanged."""
    fields = {"class": request.call_class, "left": str(max(1, math.floor(remaining_ms)))}
    if request.number:
        fields["key"] = request.number
    return encode("setup", request.id, sdp=request.description, fields=fields)
