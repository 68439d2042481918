"""The real control service with growing numbers of hollow followers: versions, restarts, a killed service."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from capershelf.stream import document
from capershelf.stream.ledger import VersionNumber
from lab import stream
from lab.capacity import followers
from lab.capacity.hollow import HollowProcess
from lab.capacity.process_stats import ProcessStats, process_stats
from lab.fleet.processes import ROOT, free_port

SIZES = (10, 50, 100, 300, 600, 1100)
QUICK_SIZES = (4, 8, 12, 16, 20)
HOST = "127.37.0.1"
REST_S, QUICK_S = 4.0, 1.0
IN_FORCE_BY_S = 20.0  # what is not in force by then is over the budget in any case
LOOK_S = 0.005
RESTARTED = 0.1  # of the followers
KILLED_AT = 0.001  # of the followers have the version, so any, when the service is killed
NEW_FILE = "new"


class Service:
    """A process of `capershelf control serve`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.address = f"{HOST}:{free_port(HOST)}"
        self.start()

    def start(self) -> None:
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        with (self._folder.parent / "service.log").open("ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "capershelf",
                    "control",
                    "serve",
                    str(self._folder),
                    "--listen",
                    self.address,
                ],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def stats(self) -> ProcessStats:
        return process_stats(self._process.pid)

    def kill(self) -> None:
        self._process.send_signal(signal.SIGKILL)
        self._process.wait()


class Fleet:
    """A control service with its followers; ended as a context."""

    def __init__(self, count: int) -> None:
        self.count = count
        self._temporary = tempfile.TemporaryDirectory(prefix="capacity-")
        self._versions = Path(self._temporary.name) / "versions"
        self._versions.mkdir()
        self._last = 0
        self.publish()
        self.service = Service(self._versions)
        self.followers = HollowProcess(followers.Followers, followers.Options(self.service.address, count))

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        self.followers.end()
        self.service.kill()
        self._temporary.cleanup()

    @property
    def newest(self) -> VersionNumber:
        return VersionNumber(1, self._last)

    def publish(self) -> None:
        """Put the next version into the service's folder, whole at once."""
        self._last += 1
        new = self._versions / NEW_FILE
        new.write_bytes(document.canonical(stream.settings(self._last)) + b"\n")
        new.rename(self._versions / f"{self.newest}.json")

    def progress(self) -> followers.Progress:
        found: followers.Progress = self.followers.ask(followers.GetProgress(self.newest))
        return found

    def await_share(self, share: float) -> followers.Progress:
        """Wait until this share of the followers has the newest version, or until the time is over."""
        by_s = time.monotonic() + IN_FORCE_BY_S
        while (found := self.progress()).have < share * self.count and time.monotonic() < by_s:
            time.sleep(LOOK_S)
        return found

    def measured(self, act: Callable[[], None]) -> dict[str, float]:
        """Publish, act, and wait until the version is in force at all; times are from the publishing."""
        before, used, began_s = self.progress(), self.service.stats(), time.monotonic()
        self.publish()
        act()
        found = self.await_share(1.0)
        time.sleep(LOOK_S)
        stats = self.service.stats()
        cpu_s = stats.cpu_s - used.cpu_s
        return {
            "have": found.have,
            "last_s": round(found.last_s - began_s, 3),
            "bytes_out": found.bytes_in - before.bytes_in,
            "bytes_in": found.bytes_out - before.bytes_out,
            "cpu_s": round(cpu_s if cpu_s >= 0.0 else stats.cpu_s, 3),
        }

    def restart_some(self) -> None:
        self.followers.ask(followers.Restart(RESTARTED))

    def kill_in_the_middle(self) -> None:
        """Kill the service once some have the version, and start it again at once."""
        self.await_share(KILLED_AT)
        self.service.kill()
        self.service.start()


def measure(count: int, rest_s: float) -> dict[str, Any]:
    """One row: a control service with so many followers."""
    with Fleet(count) as fleet:
        began_s = time.monotonic()
        first = fleet.await_share(1.0)
        joined_s = first.last_s - began_s
        time.sleep(1.0)
        before, used, rested_s = fleet.progress(), fleet.service.stats(), time.monotonic()
        time.sleep(rest_s)
        after, stats, took_s = fleet.progress(), fleet.service.stats(), time.monotonic() - rested_s
        passed = after.bytes_in + after.bytes_out - before.bytes_in - before.bytes_out
        return {
            "followers": count,
            "joined": first.have,
            "joined_s": round(joined_s, 3),
            "rest": {
                "core_percent": round(100.0 * (stats.cpu_s - used.cpu_s) / took_s, 3),
                "bytes_per_s": round(passed / took_s, 1),
                "rss_mb": round(stats.rss_mb, 2),
                "threads": stats.threads,
                "descriptors": stats.descriptors,
            },
            "version": fleet.measured(lambda: None),
            "with_restarts": fleet.measured(fleet.restart_some),
            "killed": fleet.measured(fleet.kill_in_the_middle),
        }


def experiment(quick: bool) -> dict[str, Any]:
    sizes, rest_s = (QUICK_SIZES, QUICK_S) if quick else (SIZES, REST_S)
    return {
        "rows": [measure(size, rest_s) for _ in range(1 if quick else 2) for size in sizes],
        "document_bytes": len(document.canonical(stream.settings(1))),
        "restarted": RESTARTED,
        "killed_at": KILLED_AT,
    }
