"""When to write.  Pure: it is told of changes, writes and failures, and says when the next write is due."""

from __future__ import annotations

import math
from collections.abc import Mapping

from capershelf.memory.records import ServerRecord

SOON_MS = 1000.0  # after a large change, and the least time between two writes
FIRST_BACK_OFF_MS = 1000.0  # after a failure, doubling
MOST_BACK_OFF_MS = 300_000.0
LARGE = 0.5  # part by which a rate must differ to be a large change,
LEAST_RATE_PER_S = 1.0  # where it is no less than this


class Schedule:
    """Owned by the writer's thread."""

    def __init__(self, period_ms: float, now_ms: float) -> None:
        self._period_ms = period_ms
        self._last_ms = now_ms
        self._back_off_ms = 0.0
        self._changed = self._large = False

    def changed(self, large: bool) -> None:
        """There is something to write."""
        self._changed = True
        self._large |= large

    def due_ms(self) -> float:
        """When to write next; infinity while there is nothing new."""
        if not self._changed:
            return math.inf
        wait_ms = min(SOON_MS, self._period_ms) if self._large else self._period_ms
        return self._last_ms + max(wait_ms, self._back_off_ms)

    def wrote(self, now_ms: float) -> None:
        self._last_ms, self._back_off_ms = now_ms, 0.0
        self._changed = self._large = False

    def failed(self, now_ms: float) -> float:
        """A write failed; how long the next waits.  Guards the log and the disk against endless tries."""
        self._last_ms = now_ms
        self._back_off_ms = min(MOST_BACK_OFF_MS, max(FIRST_BACK_OFF_MS, 2.0 * self._back_off_ms))
        return self._back_off_ms


def large_change(old: ServerRecord | None, new: ServerRecord | None) -> bool:
    """Whether this is worth a write before the period is over: a server new, gone, started again, silent or
    back, or of quite another rate."""
    if old is None or new is None:
        return old is not new
    if (old.silent, old.started_ms, old.endpoint) != (new.silent, new.started_ms, new.endpoint):
        return True
    most = max(old.rate_per_s, new.rate_per_s)
    return most >= LEAST_RATE_PER_S and abs(new.rate_per_s - old.rate_per_s) > LARGE * most


def merge(parts: list[Mapping[str, ServerRecord]]) -> tuple[ServerRecord, ...]:
    """What several planners of one proxy know, as one: rates and thresholds add up, of the rest the newest.

    A planner that knows no threshold has met none, so it adds nothing to the others'.
    """
    by_uid: dict[str, list[ServerRecord]] = {}
    for part in parts:
        for uid, record in part.items():
            by_uid.setdefault(uid, []).append(record)
    return tuple(_merged(records) for _, records in sorted(by_uid.items()))


def _merged(records: list[ServerRecord]) -> ServerRecord:
    newest = max(records, key=lambda record: record.seen_ms)
    if len(records) == 1:
        return newest
    same = [r for r in records if (r.started_ms, r.endpoint) == (newest.started_ms, newest.endpoint)]
    bases = [r.base_ms for r in same if r.base_ms is not None]
    thresholds = [r.threshold for r in same if r.threshold is not None]
    return ServerRecord(
        uid=newest.uid,
        endpoint=newest.endpoint,
        started_ms=newest.started_ms,
        vouched=newest.vouched,
        seen_ms=newest.seen_ms,
        rate_per_s=sum(r.rate_per_s for r in same),
        rate_ms=max(r.rate_ms for r in same),
        wait_ms=newest.wait_ms,
        base_ms=min(bases) if bases else None,
        threshold=sum(thresholds) if thresholds else None,
        silent=newest.silent,
    )
