"""A version's bytes: canonical JSON, its digest, and deltas against a named base (RFC 7396).  Pure."""

from __future__ import annotations

import json
from typing import Any

from blake3 import blake3

MOST_BYTES = 1 << 20  # of one version, whole or delta
DEPTH = 24  # of brackets within each other
NO_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")


class UnreadableError(ValueError):
    """Bytes that are no document."""


def canonical(document: Any) -> bytes:
    """One spelling for one document: sorted keys, no spaces, UTF-8."""
    return json.dumps(
        document, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    ).encode()


def digest(data: bytes) -> str:
    """BLAKE3, 64 hex digits."""
    return blake3(data).hexdigest()


def read(data: bytes) -> dict[str, Any]:
    """The document in the bytes; UnreadableError says why there is none."""
    depth = deepest = 0
    for byte in data.translate(None, NO_BRACKETS):  # those within texts count too: nobody needs so many
        if byte in b"[{":
            depth += 1
            deepest = max(deepest, depth)
        else:
            depth -= 1
    if deepest > DEPTH:
        raise UnreadableError(f"nested {deepest} deep")
    try:
        found = json.loads(data.decode(), parse_constant=_no_constant)
    except (ValueError, RecursionError) as problem:
        raise UnreadableError(f"no JSON: {problem}") from problem
    if not isinstance(found, dict):
        raise UnreadableError("not an object")
    return found


def _no_constant(name: str) -> float:
    raise ValueError(f"{name} is no number")


def delta(base: dict[str, Any], target: dict[str, Any]) -> dict[str, Any]:
    """The merge patch that makes target of base.  Lists go whole; null takes a key away."""
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
    """The base with the patch applied; neither is changed."""
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
