"""The file, to the byte.  The frame never changes; the body's format has a number.

    0   8   b"CAPSHMEM"
    8   2   format of the body, big-endian
    10  2   flags: 1 = the digest is keyed
    12  4   length of the body in bytes, big-endian
    16  32  BLAKE3 over bytes 0 to 15 and the body, keyed where flag 1 is set
    48  ..  the body, MessagePack

The digest is looked at before the format number, so that a flipped bit is never taken for a newer
release.
"""

from __future__ import annotations

import msgspec

from capershelf.memory.generations import SpoiltError, frame, unframe
from capershelf.memory.records import Book, fault

MAGIC = b"CAPSHMEM"
FORMAT = 1
KEY_BYTES = 32

_ENCODER = msgspec.msgpack.Encoder()
_READERS = {FORMAT: msgspec.msgpack.Decoder(Book)}  # a later format keeps the decoders of those before


def encode(book: Book, key: bytes | None) -> bytes:
    """The file's bytes; keyed where a key of 32 bytes is given."""
    return frame(MAGIC, FORMAT, _ENCODER.encode(book), key)


def decode(data: bytes, key: bytes | None) -> Book:
    """The book in the bytes; SpoiltError, RefusedError or NewerError say in one line why there is none."""
    number, body = unframe(MAGIC, FORMAT, data, key)
    if number not in _READERS:
        raise SpoiltError(f"no release wrote format {number}")
    try:
        book = _READERS[number].decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise SpoiltError(f"the body can't be read: {problem}") from problem
    if what := fault(book):
        raise SpoiltError(f"{what} makes no sense")
    return book
