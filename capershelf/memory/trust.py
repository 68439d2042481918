"""Whose knowledge still holds.  Pure; the only way for a remembered server to count as warm.

What proves that the process is the one that was known:

1. the list names the same uid at the same address, in service, and no other server at that address; and
2. a. it gives the same start instant as then, which lies before the last thing that was learned of it; or
   b. it gives none, then and now, and its source shows every late start (a notice board, by its protocol).

Nothing else does.  Knowledge never enters the cold budget, proved or not: that rests on the list's start
instant and on what this life has seen.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from capershelf.core.model import LocatedServer, ServerListUpdate
from capershelf.interface import ServerStatus
from capershelf.memory.records import ServerRecord


class Verdict(Enum):
    """What of a record may be used."""

    SAME = "the same process"
    UNPROVEN = "nothing proves that it is the same process"
    STARTED_SINCE = "it has started since"
    MOVED = "it has another address"
    SHARED = "another server has the same address"
    LEAVING = "it is draining or gone"
    IMPOSSIBLE = "its start is later than what was learned of it"


@dataclass(frozen=True, slots=True)
class Judged:
    """A record with what may be used of it."""

    record: ServerRecord
    verdict: Verdict


def judge(record: ServerRecord, located: LocatedServer, vouches: bool, shared: bool) -> Verdict:
    """What of the record may be used for the server that is listed now."""
    listed = located.listed
    if listed.status is not ServerStatus.ACTIVE:
        return Verdict.LEAVING
    if located.endpoint != record.endpoint:
        return Verdict.MOVED
    if shared:
        return Verdict.SHARED
    now, then = listed.started_ms, record.started_ms
    if now is None and then is None:
        return Verdict.SAME if vouches and record.vouched else Verdict.UNPROVEN
    if now is None:
        return Verdict.UNPROVEN  # a registry that has forgotten the start can't show the next one either
    if now != then:
        return Verdict.STARTED_SINCE
    return Verdict.SAME if now <= record.seen_ms else Verdict.IMPOSSIBLE


def judge_list(records: dict[str, ServerRecord], news: ServerListUpdate) -> list[Judged]:
    """All servers that the news names and a record knows."""
    places = Counter(
        located.endpoint for located in news.servers if located.listed.status is ServerStatus.ACTIVE
    )
    return [
        Judged(record, judge(record, located, news.reports_all_starts, places[located.endpoint] > 1))
        for located in news.servers
        if (record := records.get(located.listed.server)) is not None
    ]
