"""A planner's side of the memory, on its thread: it never waits and does a bounded piece at a time.

What was learned lies in a persistent map, so that handing it over costs one reference whatever its size:
the writer reads the map as it was while the planner goes on making newer ones that share nearly all of
it.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from immutables import Map
from loguru import logger

from capershelf.core import model as m
from capershelf.interface import LearnedServer, RestoredKnowledge, ServerStatus
from capershelf.memory.ageing import Clocks, HalfLives, age_asked, age_server, part_of, way_only, weight
from capershelf.memory.records import Book, ServerRecord
from capershelf.memory.schedule import large_change
from capershelf.memory.trust import Verdict, judge_list
from capershelf.estimation import RATE_FADE_MS

SWEEP_MS = 100.0  # between two looks at what was learned,
A_SWEEP = 16  # of no more servers than this: some 0.1 ms
HAND_OVER_MS = 500.0  # between two hand-overs without a large change


@dataclass(slots=True)
class Snapshot:
    """What one planner knows; taken is set by the writer: no more than one ever waits in its inbox."""

    planner: int
    servers: Map[str, ServerRecord]
    asked_per_s: float
    at_ms: float
    large: bool
    taken: bool = False


@dataclass(frozen=True, slots=True)
class Terms:
    """What a keeper goes by."""

    planner: int
    planners: int
    senders: int
    lives: HalfLives
    most_age_ms: float


class Keeper:
    """Implements core.model.Memory."""

    def __init__(self, terms: Terms, book: Book | None, hand_over: Callable[[Snapshot], None]) -> None:
        self._terms, self._book, self._hand_over = terms, book, hand_over
        self._recalled = {record.uid: record for record in book.servers} if book is not None else {}
        self._first = True
        self.servers: Map[str, ServerRecord] = Map()
        self._listed: dict[str, tuple[m.LocatedServer, bool]] = {}  # in service now, and whether vouched for
        self._touched: dict[str, None] = {}  # in the order of touching
        self._large = self._new = False
        self._last: Snapshot | None = None
        self._asked_before, self._began_ms = 0.0, 0.0
        self._asked_per_s = 0.0
        self._ending = False

    # -- reading --------------------------------------------------------------------------------------
    def recall(self, news: m.ServerListUpdate, now_ms: float) -> RestoredKnowledge | None:
        self._follow(news, now_ms)
        if self._book is None or not self._recalled and not self._first:
            return None
        clocks = Clocks(self._book.saved_ms, now_ms)
        part = part_of(self._book.senders, self._terms.senders, self._terms.planners)
        known: list[LearnedServer] = []
        counts: Counter[Verdict] = Counter()
        for judged in judge_list(self._recalled, news):
            record = self._recalled.pop(judged.record.uid)
            aged = age_server(record, clocks, self._terms.lives, self._terms.most_age_ms, part)
            if judged.verdict is Verdict.UNPROVEN and aged is not None:
                aged = way_only(aged)
            elif judged.verdict is not Verdict.SAME:
                aged = None
            counts[judged.verdict] += 1
            if aged is not None:
                known.append(aged)
                located, vouched = self._listed[record.uid]
                self._put(self._carried(record, aged, located, vouched, now_ms))
        if counts:
            said = ", ".join(f"{number} ({verdict.value})" for verdict, number in counts.items())
            logger.info(
                "memory: {count} servers start from what was known; listed: {listed}",
                event="memory-recalled",
                count=len(known),
                listed=said,
            )
        if self._first:
            self._first, self._began_ms = False, now_ms
            self._asked_before = age_asked(
                self._book, clocks, self._terms.lives, self._terms.most_age_ms, self._terms.planners
            )
        # The module goes by the newest figure it is told and lets it fade: a server that is listed a little
        # later must neither wipe out what callers ask here nor make it new.
        asked = self._asked_before * math.exp((self._began_ms - now_ms) / RATE_FADE_MS)
        return RestoredKnowledge(asked, tuple(known)) if known or asked else None

    def _carried(
        self, old: ServerRecord, aged: LearnedServer, located: m.LocatedServer, vouched: bool, now_ms: float
    ) -> ServerRecord:
        """What goes on in the next book until it is learned anew, with its own age, not as if it were new."""
        clocks = Clocks(self._book.saved_ms if self._book else now_ms, now_ms)
        return ServerRecord(
            uid=old.uid,
            endpoint=located.endpoint,
            started_ms=located.listed.started_ms,
            vouched=vouched,
            seen_ms=now_ms - clocks.age_ms(old.seen_ms),
            rate_per_s=aged.rate_per_s,
            rate_ms=now_ms,
            wait_ms=aged.wait_ms,
            base_ms=old.base_ms,
            threshold=aged.threshold,
            silent=aged.ejected,
        )

    def _follow(self, news: m.ServerListUpdate, now_ms: float) -> None:
        """Who is in service.  What drains, goes or starts again leaves nothing, to itself or a successor."""
        if news.complete:
            for uid in set(self._listed) - {located.listed.server for located in news.servers}:
                self._drop(uid)
        for located in news.servers:
            uid = located.listed.server
            if located.listed.status is not ServerStatus.ACTIVE:
                self._drop(uid)
                continue
            was = self._listed.get(uid)
            self._listed[uid] = located, news.reports_all_starts
            if was is not None and (
                was[0].endpoint != located.endpoint or was[0].listed.started_ms != located.listed.started_ms
            ):
                self._remove(uid)
                self._touched[uid] = None

    def _drop(self, uid: str) -> None:
        self._listed.pop(uid, None)
        self._touched.pop(uid, None)
        self._recalled.pop(uid, None)
        self._remove(uid)

    def _remove(self, uid: str) -> None:
        if uid in self.servers:
            self.servers = self.servers.delete(uid)
            self._large = self._new = True

    def _put(self, record: ServerRecord) -> None:
        self._large |= large_change(self.servers.get(record.uid), record)
        self._new = True
        self.servers = self.servers.set(record.uid, record)

    # -- learning -------------------------------------------------------------------------------------
    def mark_changed(self, server: str) -> None:
        self._touched[server] = None

    def collect(self, door: m.LearnedSource, now_ms: float, everything: bool) -> float:
        left = len(self._touched) if everything else A_SWEEP
        while self._touched and left > 0:
            left -= 1
            uid = next(iter(self._touched))
            del self._touched[uid]
            known = door.learned(uid)
            if known is not None and uid in self._listed:
                self._put(self._record(known, now_ms))
        last = self._last
        soon = self._large or everything or last is None or now_ms - last.at_ms >= HAND_OVER_MS
        if (last is None or last.taken or everything) and soon and self._new:
            # An end is handed over even where the one before still waits: there is no next time.
            if not self._ending:  # what callers ask of a proxy that no longer accepts them says nothing
                self._asked_per_s = 1000.0 * door.new_call_rate()
            self._ending |= everything
            self._last = Snapshot(
                self._terms.planner, self.servers, self._asked_per_s, now_ms, self._large or everything
            )
            self._large = self._new = False
            self._hand_over(self._last)
        return now_ms + SWEEP_MS

    def _record(self, known: LearnedServer, now_ms: float) -> ServerRecord:
        """The newest of all but the rate, which is the best there was, faded: a quiet hour proves nothing."""
        located, vouched = self._listed[known.server]
        rate, rate_ms = known.rate_per_s, now_ms
        if (old := self.servers.get(known.server)) is not None:
            faded = old.rate_per_s * weight(now_ms - old.rate_ms, self._terms.lives.rate_ms)
            if faded > rate:
                rate, rate_ms = old.rate_per_s, old.rate_ms
        return ServerRecord(
            uid=known.server,
            endpoint=located.endpoint,
            started_ms=located.listed.started_ms,
            vouched=vouched,
            seen_ms=now_ms,
            rate_per_s=rate,
            rate_ms=rate_ms,
            wait_ms=known.wait_ms,
            base_ms=known.base_latency_ms,
            threshold=known.threshold,
            silent=known.ejected,
        )
