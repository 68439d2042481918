"""The part of the memory that runs on a planner's thread: it never blocks, and its steps are bounded.

Records are held in a persistent (immutable) map, so publishing a snapshot costs one reference whatever
its size: the writer reads the published map while the planner derives newer ones that share most nodes.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from immutables import Map
from loguru import logger

from capershelf.core import model
from capershelf.interface import LearnedServer, RestoredKnowledge, ServerStatus
from capershelf.memory.ageing import (
    CheckpointAge,
    HalfLives,
    age_new_call_rate,
    age_server,
    planner_share,
    latency_only,
    weight,
)
from capershelf.memory.records import Checkpoint, ServerRecord
from capershelf.memory.schedule import is_large_change
from capershelf.memory.trust import Eligibility, assess_records
from capershelf.estimation import RATE_FADE_MS

COLLECT_INTERVAL_MS = 100.0
MAX_SERVERS_PER_COLLECT = 16  # takes about 0.1 ms
MIN_SNAPSHOT_INTERVAL_MS = 500.0  # without a large change


@dataclass(slots=True)
class Snapshot:
    """The records of one planner at one time.

    The writer sets `taken`; until then the planner publishes no other, so that its inbox stays bounded.
    """

    planner: int
    servers: Map[str, ServerRecord]
    asked_per_s: float
    at_ms: float
    large: bool
    taken: bool = False


@dataclass(frozen=True, slots=True)
class PlannerMemorySettings:
    """The planner's number, the numbers of planners and senders, and the limits on age."""

    planner: int
    planners: int
    senders: int
    half_lives: HalfLives
    max_age_ms: float


class PlannerMemory:
    """Restores and collects the records of one planner; implements core.model.Memory."""

    def __init__(
        self,
        settings: PlannerMemorySettings,
        checkpoint: Checkpoint | None,
        publish: Callable[[Snapshot], None],
    ) -> None:
        self._settings, self._checkpoint, self._publish = settings, checkpoint, publish
        self._unmatched = (
            {record.uid: record for record in checkpoint.servers} if checkpoint is not None else {}
        )
        self._is_first_list = True
        self.servers: Map[str, ServerRecord] = Map()
        self._active: dict[str, tuple[model.LocatedServer, bool]] = {}  # active servers; reports_all_starts
        self._changed_uids: dict[str, None] = {}  # in the order of change
        self._large_change = self._unpublished = False
        self._last_snapshot: Snapshot | None = None
        self._restored_call_rate, self._restored_ms = 0.0, 0.0
        self._asked_per_s = 0.0
        self._ending = False

    # -- restoring ------------------------------------------------------------------------------------
    def recall(self, news: model.ServerListUpdate, now_ms: float) -> RestoredKnowledge | None:
        self._apply_list(news, now_ms)
        if self._checkpoint is None or not self._unmatched and not self._is_first_list:
            return None
        checkpoint_age = CheckpointAge(self._checkpoint.saved_ms, now_ms)
        part = planner_share(self._checkpoint.senders, self._settings.senders, self._settings.planners)
        known: list[LearnedServer] = []
        counts: Counter[Eligibility] = Counter()
        for assessed in assess_records(self._unmatched, news):
            record = self._unmatched.pop(assessed.record.uid)
            aged = age_server(
                record, checkpoint_age, self._settings.half_lives, self._settings.max_age_ms, part
            )
            if assessed.eligibility is Eligibility.UNPROVEN and aged is not None:
                aged = latency_only(aged)
            elif assessed.eligibility is not Eligibility.SAME_PROCESS:
                aged = None
            counts[assessed.eligibility] += 1
            if aged is not None:
                known.append(aged)
                located, vouched = self._active[record.uid]
                self._store_record(self._restored_record(record, aged, located, vouched, now_ms))
        if counts:
            summary = ", ".join(f"{number} ({eligibility.value})" for eligibility, number in counts.items())
            logger.info(
                "memory: {count} servers start from what was known; listed: {listed}",
                event="memory-recalled",
                count=len(known),
                listed=summary,
            )
        if self._is_first_list:
            self._is_first_list, self._restored_ms = False, now_ms
            self._restored_call_rate = age_new_call_rate(
                self._checkpoint,
                checkpoint_age,
                self._settings.half_lives,
                self._settings.max_age_ms,
                self._settings.planners,
            )
        # The decision module uses the newest rate that it is given and decays it: a server that is listed
        # later must neither reset the rate of new calls nor renew it.
        asked = self._restored_call_rate * math.exp((self._restored_ms - now_ms) / RATE_FADE_MS)
        return RestoredKnowledge(asked, tuple(known)) if known or asked else None

    def _restored_record(
        self,
        old: ServerRecord,
        aged: LearnedServer,
        located: model.LocatedServer,
        vouched: bool,
        now_ms: float,
    ) -> ServerRecord:
        """Return the restored record for the next checkpoint; it keeps its age until it is updated."""
        checkpoint_age = CheckpointAge(self._checkpoint.saved_ms if self._checkpoint else now_ms, now_ms)
        return ServerRecord(
            uid=old.uid,
            endpoint=located.endpoint,
            started_ms=located.listed.started_ms,
            vouched=vouched,
            seen_ms=now_ms - checkpoint_age.age_ms(old.seen_ms),
            rate_per_s=aged.rate_per_s,
            rate_ms=now_ms,
            wait_ms=aged.wait_ms,
            base_ms=old.base_ms,
            threshold=aged.threshold,
            silent=aged.ejected,
        )

    def _apply_list(self, news: model.ServerListUpdate, now_ms: float) -> None:
        """Update the active servers; one that drains, is removed or restarts loses its record."""
        if news.complete:
            for uid in set(self._active) - {located.listed.server for located in news.servers}:
                self._forget(uid)
        for located in news.servers:
            uid = located.listed.server
            if located.listed.status is not ServerStatus.ACTIVE:
                self._forget(uid)
                continue
            was = self._active.get(uid)
            self._active[uid] = located, news.reports_all_starts
            if was is not None and (
                was[0].endpoint != located.endpoint or was[0].listed.started_ms != located.listed.started_ms
            ):
                self._delete_record(uid)
                self._changed_uids[uid] = None

    def _forget(self, uid: str) -> None:
        self._active.pop(uid, None)
        self._changed_uids.pop(uid, None)
        self._unmatched.pop(uid, None)
        self._delete_record(uid)

    def _delete_record(self, uid: str) -> None:
        if uid in self.servers:
            self.servers = self.servers.delete(uid)
            self._large_change = self._unpublished = True

    def _store_record(self, record: ServerRecord) -> None:
        self._large_change |= is_large_change(self.servers.get(record.uid), record)
        self._unpublished = True
        self.servers = self.servers.set(record.uid, record)

    # -- learning -------------------------------------------------------------------------------------
    def mark_changed(self, server: str) -> None:
        """Queue the server for the next collect()."""
        self._changed_uids[server] = None

    def collect(self, source: model.LearnedSource, now_ms: float, everything: bool) -> float:
        """Update changed records, publish a snapshot when due, and return when to call this next."""
        left = len(self._changed_uids) if everything else MAX_SERVERS_PER_COLLECT
        while self._changed_uids and left > 0:
            left -= 1
            uid = next(iter(self._changed_uids))
            del self._changed_uids[uid]
            known = source.learned(uid)
            if known is not None and uid in self._active:
                self._store_record(self._learned_record(known, now_ms))
        last = self._last_snapshot
        is_due = (
            self._large_change
            or everything
            or last is None
            or now_ms - last.at_ms >= MIN_SNAPSHOT_INTERVAL_MS
        )
        if (last is None or last.taken or everything) and is_due and self._unpublished:
            # The final snapshot is published even if the previous one is not taken yet: no other follows.
            if not self._ending:  # a stopping proxy accepts no calls, so its rate means nothing
                self._asked_per_s = 1000.0 * source.new_call_rate()
            self._ending |= everything
            self._last_snapshot = Snapshot(
                self._settings.planner,
                self.servers,
                self._asked_per_s,
                now_ms,
                self._large_change or everything,
            )
            self._large_change = self._unpublished = False
            self._publish(self._last_snapshot)
        return now_ms + COLLECT_INTERVAL_MS

    def _learned_record(self, known: LearnedServer, now_ms: float) -> ServerRecord:
        """The newest values, but the best decayed rate: low traffic doesn't show a low capacity."""
        located, vouched = self._active[known.server]
        rate, rate_ms = known.rate_per_s, now_ms
        if (old := self.servers.get(known.server)) is not None:
            faded = old.rate_per_s * weight(now_ms - old.rate_ms, self._settings.half_lives.rate_ms)
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
