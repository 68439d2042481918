"""The file format.  The frame never changes; the format of the body is numbered.

    0   8   b"CAPSHMEM"
    8   2   format of the body, big-endian
    10  2   flags: 1 = the digest is keyed
    12  4   length of the body in bytes, big-endian
    16  32  BLAKE3 over bytes 0 to 15 and the body, keyed where flag 1 is set
    48  ..  the body, MessagePack

The digest is verified before the format number is read, so that a flipped bit is never taken for a newer
release.
"""

from __future__ import annotations

import msgspec

from capershelf.memory.generations import CorruptFileError, frame, unframe
from capershelf.memory.records import Checkpoint, find_invalid_field

MAGIC = b"CAPSHMEM"
FORMAT = 1
KEY_BYTES = 32

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {FORMAT: msgspec.msgpack.Decoder(Checkpoint)}  # a later format keeps the decoders of those before


def encode(checkpoint: Checkpoint, key: bytes | None) -> bytes:
    """The file's bytes; keyed where a key of 32 bytes is given."""
    return frame(MAGIC, FORMAT, _ENCODER.encode(checkpoint), key)


def decode(data: bytes, key: bytes | None) -> Checkpoint:
    """Return the checkpoint in `data`.

    CorruptFileError, RejectedFileError and NewerFormatError give the reason in one line.
    """
    number, body = unframe(MAGIC, FORMAT, data, key)
    if number not in _DECODERS:
        raise CorruptFileError(f"no release wrote format {number}")
    try:
        checkpoint = _DECODERS[number].decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise CorruptFileError(f"the body can't be read: {problem}") from problem
    if what := find_invalid_field(checkpoint):
        raise CorruptFileError(f"{what} makes no sense")
    return checkpoint
