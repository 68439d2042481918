"""Opens the memory for a node, provides one PlannerMemory per planner, and closes it at the end."""

from __future__ import annotations

import stat
from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from capershelf.config import MemorySettings
from capershelf.core.clock import Clock
from capershelf.memory.ageing import HalfLives
from capershelf.memory.disk import FolderLockedError, Folder
from capershelf.memory.format import KEY_BYTES
from capershelf.memory.generations import NewerFormatError
from capershelf.memory.planner_memory import PlannerMemory, PlannerMemorySettings
from capershelf.memory.records import Checkpoint
from capershelf.memory.store import Store
from capershelf.memory.writer import Shutdown, Writer
from capershelf.net.connection import start_thread

CLOSE_MS = 2000.0  # limit for the last write


@dataclass(frozen=True, slots=True)
class ProxyIdentity:
    """The proxy that owns the memory."""

    name: str
    release: str
    senders: int  # proxies that share the booking servers
    planners: int


def half_lives_from(settings: MemorySettings) -> HalfLives:
    """Return the configured half-lives."""
    return HalfLives(
        rate_ms=settings.rate_half_life_ms,
        base_ms=settings.base_half_life_ms,
        threshold_ms=settings.threshold_half_life_ms,
        wait_ms=settings.wait_half_life_ms,
        silence_ms=settings.silence_half_life_ms,
        asked_ms=settings.asked_half_life_ms,
    )


def read_key(path: str) -> bytes | None:
    """Return the key, 32 bytes or 64 hex digits; ValueError for a file that group or others may access."""
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
    """The stored knowledge of one proxy; with an unusable folder the proxy serves without it."""

    def __init__(self, settings: MemorySettings, identity: ProxyIdentity, clock: Clock) -> None:
        self.planner_memories: list[PlannerMemory | None] = [None] * identity.planners
        self._clock = clock
        self._writer: Writer | None = None
        self._folder = Folder(Path(settings.folder))
        key = read_key(settings.key_file)
        try:
            self._folder.lock()
            store = Store(self._folder, identity.name, key)
            checkpoint, messages = store.load()
        except FolderLockedError as problem:
            logger.warning(
                "memory: {problem}; this proxy serves without memory", event="memory-held", problem=problem
            )
            return
        except NewerFormatError as problem:
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
        for line in messages:
            logger.warning("memory: {problem}", event="memory-set-aside", problem=line)
        self._log_loaded(checkpoint, clock.now_ms(), settings.most_age_ms)
        self._writer = writer = Writer(
            store,
            clock,
            settings.period_ms,
            identity.release,
            identity.name,
            identity.senders,
            checkpoint.generation if checkpoint is not None else 0,
        )
        half_lives = half_lives_from(settings)
        for number in range(identity.planners):
            planner_settings = PlannerMemorySettings(
                number, identity.planners, identity.senders, half_lives, settings.most_age_ms
            )
            self.planner_memories[number] = PlannerMemory(planner_settings, checkpoint, writer.inbox.put)

    @staticmethod
    def _log_loaded(checkpoint: Checkpoint | None, now_ms: float, max_age_ms: float) -> None:
        if checkpoint is None:
            logger.info("memory: nothing is known yet", event="memory-empty")
            return
        age_s = (now_ms - checkpoint.saved_ms) / 1000.0
        if age_s < 0:
            logger.warning(
                "memory: saved {ahead_s:.0f} s in the future; its age is taken to be that difference",
                event="memory-from-the-future",
                ahead_s=-age_s,
            )
        if abs(age_s) * 1000.0 > max_age_ms:
            logger.warning(
                "memory: {age_s:.0f} s old, older than the maximum age: ignored",
                event="memory-too-old",
                age_s=abs(age_s),
            )
        logger.info(
            "memory: generation {generation} of release {release}, {age_s:.0f} s old, {count} servers",
            event="memory-read",
            generation=checkpoint.generation,
            release=checkpoint.release,
            age_s=age_s,
            count=len(checkpoint.servers),
        )

    def start(self) -> None:
        """Start the writer's thread."""
        if self._writer is not None:
            start_thread(self._writer.run, "memory")

    def close(self) -> None:
        """Write pending data; a disk that does not respond within CLOSE_MS is abandoned."""
        if self._writer is None:
            return
        end_by_ms = self._clock.now_ms() + CLOSE_MS
        self._writer.inbox.put(Shutdown())
        if not self._writer.ended.wait(self._clock.seconds_until(end_by_ms)):
            logger.warning(
                "memory: the last write did not finish in time; the previous one remains valid",
                event="memory-last-write-late",
            )
        self._folder.unlock()
