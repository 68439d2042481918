"""The door: what a node opens, gives to its planners, and closes at its end."""

from __future__ import annotations

import stat
from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from capershelf.config import MemorySettings
from capershelf.core.clock import Clock
from capershelf.memory.ageing import HalfLives
from capershelf.memory.disk import BusyError, Folder
from capershelf.memory.format import KEY_BYTES
from capershelf.memory.generations import NewerError
from capershelf.memory.keeper import Keeper, Terms
from capershelf.memory.records import Book
from capershelf.memory.store import Store
from capershelf.memory.writer import End, Writer
from capershelf.net.connection import start_thread

CLOSE_MS = 2000.0  # at the end a disk has so long for the last write


@dataclass(frozen=True, slots=True)
class Who:
    """The proxy whose memory it is."""

    name: str
    release: str
    senders: int  # proxies that share the booking servers
    planners: int


def lives_of(settings: MemorySettings) -> HalfLives:
    """The half-lives of the configuration."""
    return HalfLives(
        rate_ms=settings.rate_half_life_ms,
        base_ms=settings.base_half_life_ms,
        threshold_ms=settings.threshold_half_life_ms,
        wait_ms=settings.wait_half_life_ms,
        silence_ms=settings.silence_half_life_ms,
        asked_ms=settings.asked_half_life_ms,
    )


def read_key(path: str) -> bytes | None:
    """The operator's key: 32 bytes, or 64 hex digits; ValueError for a file that others may read."""
    if not path:
        return None
    file = Path(path)
    try:
        mode, data = file.stat().st_mode, file.read_bytes()
    except OSError as problem:
        raise ValueError(f"memory.key-file: {problem}") from problem
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise ValueError(f"memory.key-file: {path} is open to others (mode {mode & 0o777:03o}, 600 wanted)")
    if len(data) != KEY_BYTES:
        try:
            data = bytes.fromhex(data.decode().strip())
        except ValueError:
            data = b""
    if len(data) != KEY_BYTES:
        raise ValueError(f"memory.key-file: {path} must hold {KEY_BYTES} bytes or {2 * KEY_BYTES} hex digits")
    return data


class Memory:
    """What one proxy remembers; a folder that can't be used leaves it without, and service untouched."""

    def __init__(self, settings: MemorySettings, who: Who, clock: Clock) -> None:
        self.keepers: list[Keeper | None] = [None] * who.planners
        self._clock = clock
        self._writer: Writer | None = None
        self._folder = Folder(Path(settings.folder))
        key = read_key(settings.key_file)
        try:
            self._folder.lock()
            store = Store(self._folder, who.name, key)
            book, said = store.load()
        except BusyError as problem:
            logger.warning(
                "memory: {problem}; this proxy serves without memory", event="memory-held", problem=problem
            )
            return
        except NewerError as problem:
            logger.warning(
                "memory: {problem}; left untouched, this proxy serves without memory",
                event="memory-newer",
                problem=problem,
            )
            self._folder.unlock()
            return
        except OSError as problem:
            logger.warning(
                "memory: {problem}; this proxy serves without memory until its next start",
                event="memory-unusable",
                problem=problem,
            )
            self._folder.unlock()
            return
        for line in said:
            logger.warning("memory: {problem}", event="memory-set-aside", problem=line)
        self._say(book, clock.now_ms(), settings.most_age_ms)
        self._writer = writer = Writer(
            store,
            clock,
            settings.period_ms,
            who.release,
            who.name,
            who.senders,
            book.generation if book is not None else 0,
        )
        lives = lives_of(settings)
        for number in range(who.planners):
            terms = Terms(number, who.planners, who.senders, lives, settings.most_age_ms)
            self.keepers[number] = Keeper(terms, book, writer.inbox.put)

    @staticmethod
    def _say(book: Book | None, now_ms: float, most_age_ms: float) -> None:
        if book is None:
            logger.info("memory: nothing is known yet", event="memory-empty")
            return
        age_s = (now_ms - book.saved_ms) / 1000.0
        if age_s < 0:
            logger.warning(
                "memory: written {ahead_s:.0f} s in the future; taken to be as old as that",
                event="memory-from-the-future",
                ahead_s=-age_s,
            )
        if abs(age_s) * 1000.0 > most_age_ms:
            logger.warning(
                "memory: {age_s:.0f} s old, beyond the greatest age: nothing of it counts",
                event="memory-too-old",
                age_s=abs(age_s),
            )
        logger.info(
            "memory: generation {generation} of release {release}, {age_s:.0f} s old, {count} servers",
            event="memory-read",
            generation=book.generation,
            release=book.release,
            age_s=age_s,
            count=len(book.servers),
        )

    def start(self) -> None:
        if self._writer is not None:
            start_thread(self._writer.run, "memory")

    def close(self) -> None:
        """Write what is not yet written; a disk that does not come back is left behind."""
        if self._writer is None:
            return
        by_ms = self._clock.now_ms() + CLOSE_MS
        self._writer.inbox.put(End())
        if not self._writer.ended.wait(self._clock.seconds_until(by_ms)):
            logger.warning(
                "memory: the last write did not end in time; the one before holds",
                event="memory-last-write-late",
            )
        self._folder.unlock()
