"""The door: what `serve` opens before its node, starts beside it, and ends."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path

from loguru import logger

from capershelf import config as configuration
from capershelf.config import Config
from capershelf.core.clock import Clock, SystemClock
from capershelf.memory.disk import BusyError, Folder
from capershelf.memory.generations import NewerError
from capershelf.net.connection import start_thread
from capershelf.release import VERSION
from capershelf.stream import document as doc
from capershelf.stream import standing, takeover
from capershelf.stream.follower import End, Follower, Host, InForce, Rebase
from capershelf.stream.keep import Keep, Kept
from capershelf.stream.signing import KeyRing, read_ring

SWITCH_S = 0.0005  # between switches of threads, where configuration is streamed


class Stream:
    """Streamed configuration for one proxy.

    config: what to start with, which is the proxy's own file under the last good version that was kept.
    """

    def __init__(self, base: Config, environ: Mapping[str, str], clock: Clock | None = None) -> None:
        assert base.stream is not None
        self._base, self._environ, self._settings = base, environ, base.stream
        self._clock = clock or SystemClock()
        self._read_ring()  # keys that can't be read are named before anything starts
        self._folder = Folder(Path(base.stream.folder)) if base.stream.folder else None
        self._keep: Keep | None = None
        self._follower: Follower | None = None
        self.config, self._started = base, InForce()
        if (kept := self._load()) is not None:
            self._begin_with(kept)

    def _read_ring(self) -> KeyRing | None:
        return read_ring(Path(self._settings.keys)) if self._settings.keys else None

    def _load(self) -> Kept | None:
        if self._folder is None:
            return None
        try:
            self._folder.lock()
            keep = Keep(self._folder, self._base.name)
            kept, said = keep.load()
        except (BusyError, NewerError, OSError) as problem:
            logger.warning(
                "stream: {problem}; no version is read or kept there",
                event="version-folder-unusable",
                problem=problem,
            )
            self._folder.unlock()
            return None
        for line in said:
            logger.warning("stream: {problem}", event="version-set-aside", problem=line)
        self._keep = keep
        return kept

    def _begin_with(self, kept: Kept) -> None:
        """The version of before, marked as old: a control service may have a newer one."""
        age_s = (self._clock.now_ms() - kept.saved_ms) / 1000.0
        try:
            found = doc.read(kept.document)
            if violations := standing.check(found, takeover.contract_of(self._base.table)):
                raise ValueError(str(violations[0]))
            self.config = configuration.read(takeover.merged(self._base.table, found), self._environ)
        except (ValueError, TypeError, KeyError, AttributeError) as problem:
            logger.warning(
                "stream: version {version} that was kept can't be used: {problem}",
                event="version-kept-unusable",
                version=kept.number,
                problem=problem,
            )
            return
        self._started = InForce(kept.number, kept.digest, found)
        logger.info(
            "stream: starts with version {version}, kept {age_s:.0f} s ago",
            event="version-kept",
            version=kept.number,
            age_s=age_s,
        )

    def start(self, host: Host) -> None:
        """Follow the control services from here on."""
        self._follower = Follower(
            self._settings,
            self._base,
            self._started,
            self._read_ring,
            self._keep,
            host,
            self._clock,
            VERSION,
            self._environ,
        )
        # Checking a version is some 10 ms of work beside the planners.  At the usual 5 ms between switches a
        # planner that wakes up meanwhile would wait so long for its turn, and its calls with it.
        sys.setswitchinterval(SWITCH_S)
        start_thread(self._follower.run, "stream")

    def rebase(self, config: Config) -> None:
        """The proxy's own file was read again."""
        if self._follower is not None:
            self._follower.inbox.put(Rebase(config))

    def end(self) -> None:
        """Take nothing over any more."""
        if self._follower is not None:
            self._follower.inbox.put(End())
