"""Decides which stored records are still valid.  Pure; the only way for a restored server to count as warm.

A record belongs to the running process if:

1. the list has the same uid at the same address, active, and no other active server at that address; and
2. a. its start time is the stored one, and earlier than the last update of the record; or
   b. neither the list nor the record has a start time, and the source reports every late start (a notice
      board, by its protocol).

Nothing else proves it.  Restored knowledge never affects the cold budget, proved or not: that uses the
start time in the list and what was observed since this proxy started.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from capershelf.core.model import LocatedServer, ServerListUpdate
from capershelf.interface import ServerStatus
from capershelf.memory.records import ServerRecord


class Eligibility(Enum):
    """Whether a stored record may be used, and if not, why."""

    SAME_PROCESS = "the same process"
    UNPROVEN = "nothing proves that it is the same process"
    STARTED_SINCE = "it has started since"
    MOVED = "it has another address"
    SHARED = "another server has the same address"
    LEAVING = "it is draining or gone"
    IMPOSSIBLE = "its start is later than what was learned of it"


@dataclass(frozen=True, slots=True)
class AssessedRecord:
    """A record and its eligibility."""

    record: ServerRecord
    eligibility: Eligibility


def assess_record(record: ServerRecord, located: LocatedServer, vouches: bool, shared: bool) -> Eligibility:
    """Compare the record with the server as it is listed now."""
    listed = located.listed
    if listed.status is not ServerStatus.ACTIVE:
        return Eligibility.LEAVING
    if located.endpoint != record.endpoint:
        return Eligibility.MOVED
    if shared:
        return Eligibility.SHARED
    now, then = listed.started_ms, record.started_ms
    if now is None and then is None:
        return Eligibility.SAME_PROCESS if vouches and record.vouched else Eligibility.UNPROVEN
    if now is None:
        return Eligibility.UNPROVEN  # a registry that lost the start time can't report the next start either
    if now != then:
        return Eligibility.STARTED_SINCE
    return Eligibility.SAME_PROCESS if now <= record.seen_ms else Eligibility.IMPOSSIBLE


def assess_records(records: dict[str, ServerRecord], news: ServerListUpdate) -> list[AssessedRecord]:
    """Assess every listed server that has a record."""
    active_per_endpoint = Counter(
        located.endpoint for located in news.servers if located.listed.status is ServerStatus.ACTIVE
    )
    return [
        AssessedRecord(
            record,
            assess_record(
                record, located, news.reports_all_starts, active_per_endpoint[located.endpoint] > 1
            ),
        )
        for located in news.servers
        if (record := records.get(located.listed.server)) is not None
    ]
