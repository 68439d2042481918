"""Streamed configuration for `serve`: opened before the node, started with it and ended with it."""

from __future__ import annotations

import sys
from collections.abc import Mapping
from pathlib import Path

from loguru import logger

from capershelf import config as configuration
from capershelf.config import Config
from capershelf.core.clock import Clock, SystemClock
from capershelf.memory.disk import FolderLockedError, Folder
from capershelf.memory.generations import NewerFormatError
from capershelf.net.connection import start_thread
from capershelf.release import VERSION
from capershelf.stream import document as doc
from capershelf.stream import standing, takeover
from capershelf.stream.follower import End, Follower, Host, InForce, Rebase
from capershelf.stream.keep import VersionStore, StoredVersion
from capershelf.stream.signing import KeyRing, read_ring

THREAD_SWITCH_INTERVAL_S = 0.0005  # see start()


class Stream:
    """Streamed configuration for one proxy.

    config: the configuration to start with, the proxy's own file with the last good version on top.
    """

    def __init__(self, base: Config, environ: Mapping[str, str], clock: Clock | None = None) -> None:
        assert base.stream is not None
        self._base, self._environ, self._settings = base, environ, base.stream
        self._clock = clock or SystemClock()
        self._read_ring()  # report unreadable keys before anything starts
        self._folder = Folder(Path(base.stream.folder)) if base.stream.folder else None
        self._store: VersionStore | None = None
        self._follower: Follower | None = None
        self.config, self._started = base, InForce()
        if (stored := self._load()) is not None:
            self._start_with(stored)

    def _read_ring(self) -> KeyRing | None:
        return read_ring(Path(self._settings.keys)) if self._settings.keys else None

    def _load(self) -> StoredVersion | None:
        if self._folder is None:
            return None
        try:
            self._folder.lock()
            store = VersionStore(self._folder, self._base.name)
            stored, messages = store.load()
        except (FolderLockedError, NewerFormatError, OSError) as problem:
            logger.warning(
                "stream: {problem}; versions are neither loaded nor saved",
                event="version-folder-unusable",
                problem=problem,
            )
            self._folder.unlock()
            return None
        for line in messages:
            logger.warning("stream: {problem}", event="version-set-aside", problem=line)
        self._store = store
        return stored

    def _start_with(self, stored: StoredVersion) -> None:
        """Start with the stored version; a control service may offer a newer one."""
        age_s = (self._clock.now_ms() - stored.saved_ms) / 1000.0
        try:
            found = doc.read(stored.document)
            if violations := standing.check(found, takeover.contract_of(self._base.table)):
                raise ValueError(str(violations[0]))
            self.config = configuration.read(takeover.merged(self._base.table, found), self._environ)
        except (ValueError, TypeError, KeyError, AttributeError) as problem:
            logger.warning(
                "stream: the stored version {version} cannot be used: {problem}",
                event="version-kept-unusable",
                version=stored.number,
                problem=problem,
            )
            return
        self._started = InForce(stored.number, stored.digest, found)
        logger.info(
            "stream: starting with version {version}, saved {age_s:.0f} s ago",
            event="version-kept",
            version=stored.number,
            age_s=age_s,
        )

    def start(self, host: Host) -> None:
        """Start following the control services."""
        self._follower = Follower(
            self._settings,
            self._base,
            self._started,
            self._read_ring,
            self._store,
            host,
            self._clock,
            VERSION,
            self._environ,
        )
        # Checking a version takes about 10 ms of CPU time.  At the default switch interval (5 ms) a planner
        # that wakes up meanwhile, and its calls, would wait that long for the interpreter lock.
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        start_thread(self._follower.run, "stream")

    def rebase(self, config: Config) -> None:
        """Apply the reloaded configuration file of the proxy."""
        if self._follower is not None:
            self._follower.inbox.put(Rebase(config))

    def end(self) -> None:
        """Stop following: no further version is applied."""
        if self._follower is not None:
            self._follower.inbox.put(End())
