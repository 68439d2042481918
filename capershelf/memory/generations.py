"""Two generations of a file in a common frame: the newest valid one can be read at every instant.

A write creates STEM.new, syncs it, renames it over the older generation and syncs the folder; the newer
generation is not touched.  An unusable file is renamed (quarantined) and never overwritten.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from blake3 import blake3

from capershelf.memory.disk import Disk

FLAG_KEYED = 1
HEADER = struct.Struct(">8sHHI")  # magic, format of the body, flags, length of the body
DIGEST_BYTES = 32
FRAME_BYTES = HEADER.size + DIGEST_BYTES
MAX_BODY_BYTES = 64 * 2**20  # keeps a foreign file from filling memory at start


class CorruptFileError(ValueError):
    """The file is truncated, altered or of another type."""


class RejectedFileError(ValueError):
    """The file may be intact but isn't accepted: it has another key or belongs to another proxy."""


class NewerFormatError(ValueError):
    """The file was written by a later release and must not be changed."""


def frame(magic: bytes, number: int, body: bytes, key: bytes | None) -> bytes:
    """Return the file's bytes; with a key of 32 bytes the digest is keyed."""
    header = HEADER.pack(magic, number, FLAG_KEYED if key else 0, len(body))
    return header + digest(header, body, key) + body


def unframe(magic: bytes, newest: int, data: bytes, key: bytes | None) -> tuple[int, bytes]:
    """Return the format number and the body after verifying the digest."""
    if len(data) < FRAME_BYTES or data[: len(magic)] != magic:
        raise CorruptFileError("no such file of this program" if data else "empty")
    _, number, flags, length = HEADER.unpack_from(data)
    if length != len(data) - FRAME_BYTES:
        raise CorruptFileError(f"{len(data) - FRAME_BYTES} bytes of body where {length} were written")
    keyed = bool(flags & FLAG_KEYED)
    if keyed and key is None:
        raise RejectedFileError("it is keyed, and no key is set")
    body = data[FRAME_BYTES:]
    if digest(data[: HEADER.size], body, key if keyed else None) != data[HEADER.size : FRAME_BYTES]:
        raise CorruptFileError(
            "the digest is not that of its contents" + (" under this key" if keyed else "")
        )
    if key is not None and not keyed:
        raise RejectedFileError("it is not keyed, and a key is set")
    if number > newest:
        raise NewerFormatError(f"format {number}; this release knows up to {newest}")
    return number, body


def digest(header: bytes, body: bytes, key: bytes | None) -> bytes:
    """Return the BLAKE3 digest of header and body."""
    hasher = blake3(key=key) if key is not None else blake3()
    hasher.update(header)
    hasher.update(body)
    return hasher.digest(DIGEST_BYTES)


class Generations:
    """Reads, writes and quarantines the two files; not thread-safe."""

    def __init__(self, disk: Disk, stem: str) -> None:
        self.names = (f"{stem}.0", f"{stem}.1")
        self._disk, self._new = disk, f"{stem}.new"

    def read(self) -> Iterator[tuple[str, bytes]]:
        """Yield the name and the bytes of each existing file."""
        existing = set(self._disk.names())
        for name in self.names:
            if name in existing:
                yield name, self._disk.read(name, MAX_BODY_BYTES + FRAME_BYTES)

    def write(self, generation: int, data: bytes) -> None:
        """Replace the older generation.  After an OSError both are still readable."""
        self._disk.write(self._new, data)
        self._disk.sync(self._new)
        self._disk.rename(self._new, self.names[generation % len(self.names)])
        self._disk.sync_folder()

    def quarantine(self, name: str, kind: str) -> str:
        """Rename an unusable file and return the new name."""
        taken = set(self._disk.names())
        number = next(n for n in range(len(taken) + 1) if f"{name}.{kind}-{n}" not in taken)
        quarantined = f"{name}.{kind}-{number}"
        self._disk.rename(name, quarantined)
        self._disk.sync_folder()
        return quarantined
