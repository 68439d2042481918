"""Decides when the memory is written, and merges the records of several planners.

Pure: the schedule is notified of changes, writes and failures and returns when the next write is due.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from capershelf.memory.records import ServerRecord

MIN_WRITE_INTERVAL_MS = 1000.0  # also the delay of the write after a large change
MIN_BACKOFF_MS = 1000.0  # after the first failure; doubles with each further one
MAX_BACKOFF_MS = 300_000.0
LARGE_CHANGE_RATIO = 0.5  # relative difference of a rate that makes a change large
MIN_LARGE_RATE_PER_S = 1.0  # changes between lower rates are never large


class WriteSchedule:
    """Computes the time of the next write; used by the writer's thread only."""

    def __init__(self, period_ms: float, now_ms: float) -> None:
        self._period_ms = period_ms
        self._last_attempt_ms = now_ms
        self._backoff_ms = 0.0
        self._pending = self._large_change = False

    def mark_changed(self, large: bool) -> None:
        """Record that there is unwritten data."""
        self._pending = True
        self._large_change |= large

    def due_ms(self) -> float:
        """Return when to write next; infinity while there is nothing to write."""
        if not self._pending:
            return math.inf
        wait_ms = min(MIN_WRITE_INTERVAL_MS, self._period_ms) if self._large_change else self._period_ms
        return self._last_attempt_ms + max(wait_ms, self._backoff_ms)

    def write_succeeded(self, now_ms: float) -> None:
        """Record a successful write."""
        self._last_attempt_ms, self._backoff_ms = now_ms, 0.0
        self._pending = self._large_change = False

    def write_failed(self, now_ms: float) -> float:
        """Record a failed write and return the delay of the next one.

        The backoff keeps a failing disk from being written to, and the log from being filled, without limit.
        """
        self._last_attempt_ms = now_ms
        self._backoff_ms = min(MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2.0 * self._backoff_ms))
        return self._backoff_ms


def is_large_change(old: ServerRecord | None, new: ServerRecord | None) -> bool:
    """Whether a change justifies a write before the period ends.

    True for a server that is new, removed, restarted, newly ejected or readmitted, or that has a very
    different rate.
    """
    if old is None or new is None:
        return old is not new
    if (old.silent, old.started_ms, old.endpoint) != (new.silent, new.started_ms, new.endpoint):
        return True
    higher = max(old.rate_per_s, new.rate_per_s)
    return (
        higher >= MIN_LARGE_RATE_PER_S and abs(new.rate_per_s - old.rate_per_s) > LARGE_CHANGE_RATIO * higher
    )


def merge_records(parts: list[Mapping[str, ServerRecord]]) -> tuple[ServerRecord, ...]:
    """Merge the records of one proxy's planners: rates and thresholds add up, other fields are the newest.

    A planner that knows no threshold has not reached one, so it adds nothing to the sum.
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
