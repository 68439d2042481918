"""The one thread that touches the disk.  Planners reach it by its inbox and never wait for it."""

from __future__ import annotations

import math
import threading
from dataclasses import dataclass

from loguru import logger

from capershelf.core.clock import Clock, Inbox
from capershelf.memory.keeper import Snapshot
from capershelf.memory.records import Book
from capershelf.memory.schedule import Schedule, merge
from capershelf.memory.store import Store


@dataclass(frozen=True, slots=True)
class End:
    """Write what is not yet written, then end."""


class Writer:
    """Runs until it is told to end; a disk that fails is tried again ever more seldom."""

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
        self.inbox: Inbox[Snapshot | End] = Inbox(clock)
        self.ended = threading.Event()
        self.writes, self.failures = 0, 0
        self.last_bytes, self.last_ms = 0, 0.0
        self._store, self._clock = store, clock
        self._release, self._proxy, self._senders = release, proxy, senders
        self._generation = generation
        self._schedule = Schedule(period_ms, clock.now_ms())
        self._parts: dict[int, Snapshot] = {}

    def run(self) -> None:
        """One snapshot a planner is all that is ever kept, however long the disk takes."""
        try:
            ending = False
            while not ending:
                event = self.inbox.take(self._schedule.due_ms())
                if isinstance(event, Snapshot):
                    event.taken = True
                    self._parts[event.planner] = event
                    self._schedule.changed(event.large)
                ending = isinstance(event, End)
                due = self._clock.now_ms() >= self._schedule.due_ms()
                if due or ending and self._schedule.due_ms() < math.inf:
                    self._write()
        finally:
            self.ended.set()

    def _write(self) -> None:
        began_ms = self._clock.now_ms()
        book = Book(
            release=self._release,
            proxy=self._proxy,
            generation=self._generation + 1,
            saved_ms=began_ms,
            senders=self._senders,
            asked_per_s=sum(part.asked_per_s for part in self._parts.values()),
            servers=merge([part.servers for part in self._parts.values()]),
        )
        try:
            self.last_bytes = self._store.save(book)
        except Exception as problem:  # whatever a disk does, service goes on and the next try is planned
            self.failures += 1
            again_ms = self._schedule.failed(self._clock.now_ms())
            logger.warning(
                "memory: not written, again in {again_s:.0f} s: {problem}",
                event="memory-unwritten",
                again_s=again_ms / 1000.0,
                problem=problem,
            )
            return
        if self.failures:
            logger.info(
                "memory: written again after {count} failures",
                event="memory-written-again",
                count=self.failures,
            )
        self.writes, self.failures = self.writes + 1, 0
        self._generation = book.generation
        self.last_ms = self._clock.now_ms() - began_ms
        self._schedule.wrote(self._clock.now_ms())
        logger.debug(
            "memory: {count} servers, {bytes} bytes in {took_ms:.1f} ms",
            event="memory-written",
            count=len(book.servers),
            bytes=self.last_bytes,
            took_ms=self.last_ms,
        )
