"""A folder, reduced to the steps whose order decides what a power cut leaves.  Others may build on it.

What is written counts as kept after sync(); a name that was made, moved or removed after sync_folder().
Tests put a folder in its place that loses, tears and reorders all that was not yet synced.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """One folder; every step may raise OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str, most: int) -> bytes:
        """The first `most` bytes at the most."""

    def write(self, name: str, data: bytes) -> None:
        """Make the file or empty it, then write; nothing of it is safe before sync()."""

    def sync(self, name: str) -> None: ...

    def rename(self, old: str, new: str) -> None:
        """Put the file in the place of another at once."""

    def sync_folder(self) -> None: ...


class BusyError(OSError):
    """Another process holds the folder."""


class Folder:
    """A real folder.  No descriptor stays open but the lock's."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock: int | None = None

    def lock(self) -> None:
        """Hold the folder until unlock() or the process's end, however it ends; BusyError if another does."""
        held = os.open(self.path / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as problem:
            os.close(held)
            raise BusyError(f"{self.path} is held by another process") from problem
        except OSError:
            os.close(held)
            raise
        self._lock = held

    def unlock(self) -> None:
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str, most: int) -> bytes:
        with open(self.path / name, "rb") as file:
            return file.read(most)

    def write(self, name: str, data: bytes) -> None:
        with self._opened(name, os.O_CREAT | os.O_TRUNC | os.O_WRONLY) as file:
            left = memoryview(data)
            while left:
                left = left[os.write(file, left) :]

    def sync(self, name: str) -> None:
        with self._opened(name, os.O_RDONLY) as file:
            os.fsync(file)

    def rename(self, old: str, new: str) -> None:
        os.replace(self.path / old, self.path / new)

    def sync_folder(self) -> None:
        with self._opened(".", os.O_RDONLY | os.O_DIRECTORY) as folder:
            os.fsync(folder)

    @contextlib.contextmanager
    def _opened(self, name: str, flags: int) -> Iterator[int]:
        file = os.open(self.path / name, flags | os.O_CLOEXEC, 0o600)
        try:
            yield file
        finally:
            os.close(file)
