"""The only thread that accesses the disk.  Planners send to its inbox and never wait for it."""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass

from loguru import logger

from capershelf.core.clock import Clock, Inbox
from capershelf.memory.planner_memory import Snapshot
from capershelf.memory.records import Checkpoint
from capershelf.memory.schedule import WriteSchedule, merge_records
from capershelf.memory.store import Store


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Write pending data, then stop."""


class Writer:
    """Writes checkpoints until Shutdown; failed writes are retried with exponential backoff."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        period_ms: float,
        release: str,
        proxy: str,
        senders: int,
        generation: int,
    ) -> None:
        self.inbox: Inbox[Snapshot | Shutdown] = Inbox(clock)
        self.ended = threading.Event()
        self.writes, self.failures = 0, 0
        self.last_write_bytes, self.last_write_ms = 0, 0.0
        self._store, self._clock = store, clock
        self._release, self._proxy, self._senders = release, proxy, senders
        self._generation = generation
        self._schedule = WriteSchedule(period_ms, clock.now_ms())
        self._snapshots: dict[int, Snapshot] = {}

    def run(self) -> None:
        """Process snapshots; only the newest of each planner is held, however slow the disk is."""
        try:
            ending = False
            while not ending:
                event = self.inbox.take(self._schedule.due_ms())
                if isinstance(event, Snapshot):
                    event.taken = True
                    self._snapshots[event.planner] = event
                    self._schedule.mark_changed(event.large)
                ending = isinstance(event, Shutdown)
                due = self._clock.now_ms() >= self._schedule.due_ms()
                if due or ending and self._schedule.due_ms() < math.inf:
                    self._write()
        finally:
            self.ended.set()

    def _write(self) -> None:
        started_ms = self._clock.now_ms()
        checkpoint = Checkpoint(
            release=self._release,
            proxy=self._proxy,
            generation=self._generation + 1,
            saved_ms=started_ms,
            senders=self._senders,
            asked_per_s=sum(snapshot.asked_per_s for snapshot in self._snapshots.values()),
            servers=merge_records([snapshot.servers for snapshot in self._snapshots.values()]),
        )
        try:
            self.last_write_bytes = self._store.save(checkpoint)
        except Exception as problem:  # a disk error must not stop the proxy: schedule a retry
            self.failures += 1
            retry_delay_ms = self._schedule.write_failed(self._clock.now_ms())
            logger.warning(
                "memory: write failed, retry in {again_s:.0f} s: {problem}",
                event="memory-unwritten",
                again_s=retry_delay_ms / 1000.0,
                problem=problem,
            )
            return
        if self.failures:
            logger.info(
                "memory: write succeeded after {count} failures",
                event="memory-written-again",
                count=self.failures,
            )
        self.writes, self.failures = self.writes + 1, 0
        self._generation = checkpoint.generation
        self.last_write_ms = self._clock.now_ms() - started_ms
        self._schedule.write_succeeded(self._clock.now_ms())
        logger.debug(
            "memory: {count} servers, {bytes} bytes in {took_ms:.1f} ms",
            event="memory-written",
            count=len(checkpoint.servers),
            bytes=self.last_write_bytes,
            took_ms=self.last_write_ms,
        )
