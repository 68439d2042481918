"""Stores the last good version in a folder, in two generations (capershelf/memory/generations.py)."""

from __future__ import annotations

import msgspec

from capershelf.memory.disk import Disk
from capershelf.memory.generations import (
    Generations,
    NewerFormatError,
    RejectedFileError,
    CorruptFileError,
    frame,
    unframe,
)
from capershelf.stream import document as doc
from capershelf.stream.ledger import VersionNumber

MAGIC = b"CAPSHCFG"
FORMAT = 1


class StoredVersion(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A version that was in force, as canonical JSON."""

    proxy: str
    generation: int
    epoch: int
    version: int
    digest: str
    saved_ms: float
    document: bytes

    @property
    def number(self) -> VersionNumber:
        """Epoch and version together."""
        return VersionNumber(self.epoch, self.version)


class VersionStore:
    """The stored versions of one proxy.  Not thread-safe."""

    def __init__(self, disk: Disk, proxy: str) -> None:
        self._files, self._proxy = Generations(disk, "version"), proxy
        self._generation = 0

    def load(self) -> tuple[StoredVersion | None, list[str]]:
        """The newest intact version and a message for each file set aside.

        Raises NewerFormatError for a file that a later release wrote.
        """
        found, messages = [], []
        for name, data in list(self._files.read()):
            try:
                found.append(self._read(data))
            except NewerFormatError as problem:
                raise NewerFormatError(f"{name}: {problem}") from problem
            except (CorruptFileError, RejectedFileError) as problem:
                kind = "refused" if isinstance(problem, RejectedFileError) else "spoilt"
                messages.append(f"{name}: {problem}; kept as {self._files.quarantine(name, kind)}")
        newest = max(found, key=lambda kept: kept.generation, default=None)
        self._generation = newest.generation if newest is not None else 0
        return newest, messages

    def _read(self, data: bytes) -> StoredVersion:
        _, body = unframe(MAGIC, FORMAT, data, None)
        try:
            kept = msgspec.msgpack.decode(body, type=StoredVersion)
        except msgspec.DecodeError as problem:
            raise CorruptFileError(f"the body can't be read: {problem}") from problem
        if kept.proxy != self._proxy:
            raise RejectedFileError(f"it is the configuration of {kept.proxy!r}")
        if doc.digest(kept.document) != kept.digest:
            raise CorruptFileError("its document is not of its digest")
        return kept

    def save(self, number: VersionNumber, digest: str, document: bytes, now_ms: float) -> None:
        """Write a version; on OSError the previous one remains."""
        kept = StoredVersion(
            proxy=self._proxy,
            generation=self._generation + 1,
            epoch=number.epoch,
            version=number.version,
            digest=digest,
            saved_ms=now_ms,
            document=document,
        )
        self._files.write(kept.generation, frame(MAGIC, FORMAT, msgspec.msgpack.encode(kept), None))
        self._generation = kept.generation
