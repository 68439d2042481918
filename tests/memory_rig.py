"""Stand-ins for the memory's tests: a folder under a power supply that fails, books, a writing process."""

from __future__ import annotations

import os
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from capershelf import interface as api
from capershelf.core import model as m
from capershelf.memory.disk import Folder
from capershelf.memory.records import Checkpoint, ServerRecord

SECTOR = 512
NOW_MS = 1_700_000_000_000.0


def record(uid: str = "s0", **changes: Any) -> ServerRecord:
    known = ServerRecord(
        uid=uid,
        endpoint=f"{uid}:1",
        started_ms=NOW_MS - 1e6,
        vouched=True,
        seen_ms=NOW_MS,
        rate_per_s=20.0,
        rate_ms=NOW_MS,
        wait_ms=100.0,
        base_ms=8.0,
        threshold=40.0,
        silent=False,
    )
    return msgspec.structs.replace(known, **changes)


def checkpoint(generation: int = 1, count: int = 3, **changes: Any) -> Checkpoint:
    """A checkpoint that is told apart from others by its generation, in every record."""
    known = Checkpoint(
        release="0.2.0",
        proxy="p1",
        generation=generation,
        saved_ms=NOW_MS + generation,
        senders=4,
        asked_per_s=float(generation),
        servers=tuple(record(f"s{n}", rate_per_s=float(generation)) for n in range(count)),
    )
    return msgspec.structs.replace(known, **changes)


def located(
    uid: str = "s0",
    started_ms: float | None = NOW_MS - 1e6,
    endpoint: str = "",
    standing: api.ServerStatus = api.ServerStatus.ACTIVE,
) -> m.LocatedServer:
    return m.LocatedServer(api.ListedServer(uid, 0, standing, started_ms), endpoint or f"{uid}:1")


def news(*servers: m.LocatedServer, whole: bool = True, vouches: bool = True) -> m.ServerListUpdate:
    return m.ServerListUpdate(1, whole, servers, vouches)


class PowerLossError(Exception):
    """The power is gone."""


class File:
    """What the disk holds for sure, and what was written since."""

    def __init__(self) -> None:
        self.kept = b""
        self.written = b""


class CrashingDisk:
    """A Disk that loses its power after so many steps; then every write not yet synced may be lost, torn at a
    sector or kept, each for itself, and so may every change of a name, in any choice of them."""

    def __init__(self, steps: int) -> None:
        self.steps = steps
        self.kept: dict[str, File] = {}
        self.now: dict[str, File] = {}
        self.pending: list[Callable[[dict[str, File]], None]] = []

    def _step(self) -> None:
        if self.steps == 0:
            raise PowerLossError
        self.steps -= 1

    def names(self) -> list[str]:
        return sorted(self.now)

    def read(self, name: str, max_bytes: int) -> bytes:
        return self.now[name].written[:max_bytes]

    def write(self, name: str, data: bytes) -> None:
        file = File()
        if name in self.now:
            file = self.now[name]  # emptied in place, as O_TRUNC does
            file.written = b""
        else:
            self.now[name] = file
            self.pending.append(lambda names: names.__setitem__(name, file))
        for begin in range(0, len(data), SECTOR):
            self._step()
            file.written += data[begin : begin + SECTOR]
        self._step()

    def sync(self, name: str) -> None:
        self._step()
        self.now[name].kept = self.now[name].written

    def rename(self, old: str, new: str) -> None:
        self._step()
        file = self.now[new] = self.now.pop(old)

        def move(names: dict[str, File]) -> None:
            names.pop(old, None)
            names[new] = file

        self.pending.append(move)

    def sync_folder(self) -> None:
        self._step()
        for change in self.pending:
            change(self.kept)
        self.pending.clear()

    def after_power_loss(self, chance: random.Random) -> CrashingDisk:
        """The folder as it may be found when the power is back."""
        for change in self.pending:
            if chance.random() < 0.5:
                change(self.kept)
        back = CrashingDisk(10_000)
        for name, file in self.kept.items():
            found = File()
            found.kept = found.written = self._torn(file, chance)
            back.now[name] = back.kept[name] = found
        return back

    @staticmethod
    def _torn(file: File, chance: random.Random) -> bytes:
        size = chance.choice([len(file.kept), len(file.written)])
        sectors = []
        for begin in range(0, size, SECTOR):
            end = min(size, begin + SECTOR)
            sector = chance.choice([file.kept, file.written])[begin:end]
            sectors.append(sector + bytes(end - begin - len(sector)))
        return b"".join(sectors)


class KillingFolder(Folder):
    """A real folder that kills its own process at a step, and in the middle of a write."""

    def __init__(self, path: Path, step: int, chance: random.Random) -> None:
        super().__init__(path)
        self.step, self.chance = step, chance

    def _count(self) -> None:
        self.step -= 1
        if self.step < 0:
            os.kill(os.getpid(), signal.SIGKILL)

    def write(self, name: str, data: bytes) -> None:
        if self.step == 0:
            super().write(name, data[: self.chance.randrange(len(data))])
        self._count()
        super().write(name, data)

    def sync(self, name: str) -> None:
        self._count()
        super().sync(name)

    def rename(self, old: str, new: str) -> None:
        self._count()
        super().rename(old, new)

    def sync_folder(self) -> None:
        self._count()
        super().sync_folder()
