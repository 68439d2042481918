"""Test doubles for the memory: a disk with power cuts, a folder that kills its process, sample records."""

from __future__ import annotations

import os
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from capershelf import interface
from capershelf.core import model
from capershelf.memory.disk import Folder
from capershelf.memory.records import Checkpoint, ServerRecord

SECTOR_BYTES = 512
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
    """A checkpoint whose records all carry its generation as their rate."""
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
    status: interface.ServerStatus = interface.ServerStatus.ACTIVE,
) -> model.LocatedServer:
    return model.LocatedServer(interface.ListedServer(uid, 0, status, started_ms), endpoint or f"{uid}:1")


def news(
    *servers: model.LocatedServer, complete: bool = True, reports_all_starts: bool = True
) -> model.ServerListUpdate:
    return model.ServerListUpdate(1, complete, servers, reports_all_starts)


class PowerLossError(Exception):
    """Simulated power cut."""


class FileState:
    """The durable content of a file and the content written since."""

    def __init__(self) -> None:
        self.durable = b""
        self.written = b""


class CrashingDisk:
    """A Disk that loses power after a number of steps.

    Each unsynced write may then be lost, torn at a sector or kept, independently of the others; any subset of
    the unsynced creations and renames may be lost.
    """

    def __init__(self, steps_left: int) -> None:
        self.steps_left = steps_left
        self.durable: dict[str, FileState] = {}
        self.visible: dict[str, FileState] = {}
        self.pending: list[Callable[[dict[str, FileState]], None]] = []

    def _step(self) -> None:
        if self.steps_left == 0:
            raise PowerLossError
        self.steps_left -= 1

    def names(self) -> list[str]:
        return sorted(self.visible)

    def read(self, name: str, max_bytes: int) -> bytes:
        return self.visible[name].written[:max_bytes]

    def write(self, name: str, data: bytes) -> None:
        file = FileState()
        if name in self.visible:
            file = self.visible[name]  # emptied in place, as O_TRUNC does
            file.written = b""
        else:
            self.visible[name] = file
            self.pending.append(lambda names: names.__setitem__(name, file))
        for begin in range(0, len(data), SECTOR_BYTES):
            self._step()
            file.written += data[begin : begin + SECTOR_BYTES]
        self._step()

    def sync(self, name: str) -> None:
        self._step()
        self.visible[name].durable = self.visible[name].written

    def rename(self, old: str, new: str) -> None:
        self._step()
        file = self.visible[new] = self.visible.pop(old)

        def move(names: dict[str, FileState]) -> None:
            names.pop(old, None)
            names[new] = file

        self.pending.append(move)

    def sync_folder(self) -> None:
        self._step()
        for change in self.pending:
            change(self.durable)
        self.pending.clear()

    def after_power_loss(self, rng: random.Random) -> CrashingDisk:
        """Return one possible state of the folder after the power cut."""
        for change in self.pending:
            if rng.random() < 0.5:
                change(self.durable)
        restored = CrashingDisk(10_000)
        for name, file in self.durable.items():
            found = FileState()
            found.durable = found.written = self._torn(file, rng)
            restored.visible[name] = restored.durable[name] = found
        return restored

    @staticmethod
    def _torn(file: FileState, rng: random.Random) -> bytes:
        size = rng.choice([len(file.durable), len(file.written)])
        sectors = []
        for begin in range(0, size, SECTOR_BYTES):
            end = min(size, begin + SECTOR_BYTES)
            sector = rng.choice([file.durable, file.written])[begin:end]
            sectors.append(sector + bytes(end - begin - len(sector)))
        return b"".join(sectors)


class KillingFolder(Folder):
    """A real folder that kills its own process at a given step; a write is cut in the middle."""

    def __init__(self, path: Path, step: int, rng: random.Random) -> None:
        super().__init__(path)
        self.step, self.rng = step, rng

    def _count(self) -> None:
        self.step -= 1
        if self.step < 0:
            os.kill(os.getpid(), signal.SIGKILL)

    def write(self, name: str, data: bytes) -> None:
        if self.step == 0:
            super().write(name, data[: self.rng.randrange(len(data))])
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
