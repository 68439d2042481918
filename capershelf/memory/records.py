"""What is kept: a book of one proxy with a record for each booking server.

Times are Unix milliseconds, rates those of the whole proxy (all of its planners together).
"""

from __future__ import annotations

import math

import msgspec


class ServerRecord(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One booking server, as this proxy last knew it."""

    uid: str
    endpoint: str
    started_ms: float | None  # as its registry gave it; None: long ago
    vouched: bool  # the registry shows every late start (core.model.ServerListUpdate)
    seen_ms: float  # the last thing learned of it
    rate_per_s: float  # best rate of answers with success,
    rate_ms: float  # and when it was reached
    wait_ms: float
    base_ms: float | None
    threshold: float | None
    silent: bool


class Book(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Everything that one proxy remembers."""

    release: str
    proxy: str
    generation: int  # counts writes; of two files the greater is the newer, whatever the clock says
    saved_ms: float
    senders: int  # proxies that shared the servers (settings: group-size)
    asked_per_s: float  # first tries, over all planners
    servers: tuple[ServerRecord, ...]


def fault(book: Book) -> str:
    """The path of the first value that can't be, or '': a file may be whole and still make no sense."""
    if not (book.proxy and book.generation >= 0 and book.senders >= 1):
        return "proxy, generation or senders"
    if not _sound(book.saved_ms, book.asked_per_s):
        return "saved_ms or asked_per_s"
    seen: set[str] = set()
    for index, server in enumerate(book.servers):
        optional = (server.started_ms, server.base_ms, server.threshold)
        figures = (server.seen_ms, server.rate_per_s, server.rate_ms, server.wait_ms)
        if not _sound(*figures, *(x for x in optional if x is not None)):
            return f"servers[{index}]"
        if not server.uid or server.uid in seen:
            return f"servers[{index}].uid"
        seen.add(server.uid)
    return ""


def _sound(*figures: float) -> bool:
    return all(math.isfinite(x) and x >= 0.0 for x in figures)
