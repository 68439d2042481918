"""The stored records: a checkpoint of one proxy with a record for each booking server.

Times are Unix milliseconds; rates are those of the whole proxy (the sum of its planners).
"""

from __future__ import annotations

import math

import msgspec


class ServerRecord(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The last known state of one booking server."""

    uid: str
    endpoint: str
    started_ms: float | None  # as listed; None: long ago
    vouched: bool  # core.model.ServerListUpdate.reports_all_starts
    seen_ms: float  # last update
    rate_per_s: float  # best rate of successful answers
    rate_ms: float  # when that rate was reached
    wait_ms: float
    base_ms: float | None
    threshold: float | None
    silent: bool


class Checkpoint(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Everything that one proxy stores."""

    release: str
    proxy: str
    generation: int  # write counter: orders two files independently of the clock
    saved_ms: float
    senders: int  # proxies that shared the servers (settings: group-size)
    asked_per_s: float  # new calls of all planners, without retries
    servers: tuple[ServerRecord, ...]


def find_invalid_field(checkpoint: Checkpoint) -> str:
    """Return the path of the first invalid value, or '': a file may be intact and still be invalid."""
    if not (checkpoint.proxy and checkpoint.generation >= 0 and checkpoint.senders >= 1):
        return "proxy, generation or senders"
    if not _are_valid(checkpoint.saved_ms, checkpoint.asked_per_s):
        return "saved_ms or asked_per_s"
    seen: set[str] = set()
    for index, server in enumerate(checkpoint.servers):
        optional = (server.started_ms, server.base_ms, server.threshold)
        values = (server.seen_ms, server.rate_per_s, server.rate_ms, server.wait_ms)
        if not _are_valid(*values, *(x for x in optional if x is not None)):
            return f"servers[{index}]"
        if not server.uid or server.uid in seen:
            return f"servers[{index}].uid"
        seen.add(server.uid)
    return ""


def _are_valid(*values: float) -> bool:
    return all(math.isfinite(x) and x >= 0.0 for x in values)
