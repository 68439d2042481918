"""A version's bytes: canonical JSON, its digest, and deltas against a named base (RFC 7396).  No I/O."""

from __future__ import annotations

import json
from typing import Any

from blake3 import blake3

MAX_BYTES = 1 << 20  # of one version, complete or as a delta
MAX_NESTING = 24  # nesting of brackets
NON_BRACKET_BYTES = bytes(byte for byte in range(256) if byte not in b"[]{}")


class InvalidDocumentError(ValueError):
    """The bytes are not a valid document."""


def canonical(document: Any) -> bytes:
    """The unique encoding of a document: JSON with sorted keys, without spaces, in UTF-8."""
    return json.dumps(
        document, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    ).encode()


def digest(data: bytes) -> str:
    """The BLAKE3 digest as 64 hex digits."""
    return blake3(data).hexdigest()


def read(data: bytes) -> dict[str, Any]:
    """Parse a document; raises InvalidDocumentError if the bytes are not a valid one."""
    depth = deepest = 0
    for byte in data.translate(None, NON_BRACKET_BYTES):  # brackets in strings count too
        if byte in b"[{":
            depth += 1
            deepest = max(deepest, depth)
        else:
            depth -= 1
    if deepest > MAX_NESTING:
        raise InvalidDocumentError(f"nested {deepest} deep")
    try:
        found = json.loads(data.decode(), parse_constant=_no_constant)
    except (ValueError, RecursionError) as problem:
        raise InvalidDocumentError(f"no JSON: {problem}") from problem
    if not isinstance(found, dict):
        raise InvalidDocumentError("not an object")
    return found


def _no_constant(name: str) -> float:
    raise ValueError(f"{name} is no number")


def delta(base: dict[str, Any], target: dict[str, Any]) -> dict[str, Any]:
    """The merge patch that turns base into target.  Lists are replaced as a whole; null removes a key."""
    patch: dict[str, Any] = dict.fromkeys(base.keys() - target.keys())
    for key, value in target.items():
        if key not in base:
            patch[key] = value
        elif isinstance(value, dict) and isinstance(base[key], dict):
            if inner := delta(base[key], value):
                patch[key] = inner
        elif base[key] != value or type(base[key]) is not type(value):
            patch[key] = value
    return patch


def apply(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    """A copy of the base with the patch applied."""
    merged = dict(base)
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        elif isinstance(value, dict):
            inner = merged.get(key)
            merged[key] = apply(inner if isinstance(inner, dict) else {}, value)
        else:
            merged[key] = value
    return merged
