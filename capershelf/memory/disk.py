"""File operations on one folder, limited to the steps whose order decides what survives a power cut.

Also used by other packages.  Written data is durable after sync(); a file that was created, renamed or
removed is durable after sync_folder().  Tests substitute a folder that loses, tears and reorders whatever
was not synced.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Operations on one folder; each may raise OSError."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def read(self, name: str, max_bytes: int) -> bytes:
        """Return at most the first `max_bytes` bytes."""

    def write(self, name: str, data: bytes) -> None:
        """Create or truncate the file, then write; nothing is durable before sync()."""

    def sync(self, name: str) -> None:
        """Make the content of the file durable."""

    def rename(self, old: str, new: str) -> None:
        """Replace `new` atomically."""

    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""


class FolderLockedError(OSError):
    """Another process has locked the folder."""


class Folder:
    """A real folder; only the descriptor of the lock stays open."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._lock: int | None = None

    def lock(self) -> None:
        """Lock the folder until unlock() or the end of the process; FolderLockedError if it is locked."""
        descriptor = os.open(self.path / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as problem:
            os.close(descriptor)
            raise FolderLockedError(f"{self.path} is locked by another process") from problem
        except OSError:
            os.close(descriptor)
            raise
        self._lock = descriptor

    def unlock(self) -> None:
        """Release the lock, if held."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def names(self) -> list[str]:
        return sorted(os.listdir(self.path))

    def read(self, name: str, max_bytes: int) -> bytes:
        with open(self.path / name, "rb") as file:
            return file.read(max_bytes)

    def write(self, name: str, data: bytes) -> None:
        with self._opened(name, os.O_CREAT | os.O_TRUNC | os.O_WRONLY) as file:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(file, remaining) :]

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
