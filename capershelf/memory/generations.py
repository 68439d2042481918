"""Two generations of a file under one frame: at every instant the newest whole one can be read.

A write makes STEM.new, syncs it, moves it into the place of the older generation and syncs the folder;
the newer generation is not touched.  What can't be used is set aside under another name and never written
over.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

from blake3 import blake3

from capershelf.memory.disk import Disk

KEYED = 1
HEAD = struct.Struct(">8sHHI")  # magic, format of the body, flags, length of the body
DIGEST_BYTES = 32
FRAME_BYTES = HEAD.size + DIGEST_BYTES
MOST_BYTES = 64 * 2**20  # guards a start against a file that is none of ours


class SpoiltError(ValueError):
    """Not what was written: cut, changed, or never such a file."""


class RefusedError(ValueError):
    """Whole perhaps, but not to be believed here: another key, or another proxy's."""


class NewerError(ValueError):
    """Of a later release; to be left alone."""


def frame(magic: bytes, number: int, body: bytes, key: bytes | None) -> bytes:
    """The file's bytes; the digest is keyed where a key of 32 bytes is given."""
    head = HEAD.pack(magic, number, KEYED if key else 0, len(body))
    return head + digest(head, body, key) + body


def unframe(magic: bytes, newest: int, data: bytes, key: bytes | None) -> tuple[int, bytes]:
    """The format's number and the body, once the digest has proved both."""
    if len(data) < FRAME_BYTES or data[: len(magic)] != magic:
        raise SpoiltError("no such file of this program" if data else "empty")
    _, number, flags, length = HEAD.unpack_from(data)
    if length != len(data) - FRAME_BYTES:
        raise SpoiltError(f"{len(data) - FRAME_BYTES} bytes of body where {length} were written")
    keyed = bool(flags & KEYED)
    if keyed and key is None:
        raise RefusedError("it is keyed, and no key is set")
    body = data[FRAME_BYTES:]
    if digest(data[: HEAD.size], body, key if keyed else None) != data[HEAD.size : FRAME_BYTES]:
        raise SpoiltError("the digest is not that of its contents" + (" under this key" if keyed else ""))
    if key is not None and not keyed:
        raise RefusedError("it is not keyed, and a key is set")
    if number > newest:
        raise NewerError(f"format {number}; this release knows up to {newest}")
    return number, body


def digest(head: bytes, body: bytes, key: bytes | None) -> bytes:
    hasher = blake3(key=key) if key is not None else blake3()
    hasher.update(head)
    hasher.update(body)
    return hasher.digest(DIGEST_BYTES)


class Generations:
    """The two names and what is done to them; one thread at a time."""

    def __init__(self, disk: Disk, stem: str) -> None:
        self.names = (f"{stem}.0", f"{stem}.1")
        self._disk, self._new = disk, f"{stem}.new"

    def read(self) -> Iterator[tuple[str, bytes]]:
        """Each name that is there, with its bytes."""
        there = set(self._disk.names())
        for name in self.names:
            if name in there:
                yield name, self._disk.read(name, MOST_BYTES + FRAME_BYTES)

    def write(self, generation: int, data: bytes) -> None:
        """Write in place of the older generation.  OSError leaves both readable."""
        self._disk.write(self._new, data)
        self._disk.sync(self._new)
        self._disk.rename(self._new, self.names[generation % len(self.names)])
        self._disk.sync_folder()

    def set_aside(self, name: str, kind: str) -> str:
        """Keep it under another name, which is returned."""
        taken = set(self._disk.names())
        number = next(n for n in range(len(taken) + 1) if f"{name}.{kind}-{n}" not in taken)
        kept = f"{name}.{kind}-{number}"
        self._disk.rename(name, kept)
        self._disk.sync_folder()
        return kept
