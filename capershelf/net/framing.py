"""What cuts a connection's bytes into messages; it reads into a buffer of the pool and touches no socket."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from loguru import logger

from capershelf.net.buffers import MESSAGE_BYTES, POOL


class Reply(bytes):
    """Bytes that the framing itself wants sent back, as they are."""


class OverError(Exception):
    """The peer has ended the connection, or broken its rules; farewell goes out first."""

    def __init__(self, reason: str, farewell: bytes = b"") -> None:
        super().__init__(reason)
        self.farewell = farewell


class Framing(Protocol):
    """One connection's framing: fill space(), then take what filled() finds."""

    opened: bool  # whether messages may be sent yet

    def opening(self) -> bytes:
        """What this end sends first."""

    def space(self) -> memoryview: ...

    def filled(self, count: int) -> Iterator[bytes]:
        """Whole messages, and Replies; raises OverError at the connection's end."""

    def frame(self, message: bytes) -> bytes: ...

    def farewell(self, code: int, reason: str) -> bytes:
        """What to send before closing, if this framing has such a thing."""

    def done(self) -> None:
        """Give the buffers back."""


class Buffered:
    """A framing's buffer: bytes come in at the end, whole messages leave at the front."""

    def __init__(self) -> None:
        self.buffer = POOL.take()
        self.have = 0
        self._given_back = False

    def space(self) -> memoryview:
        return memoryview(self.buffer)[self.have :]

    def drop(self, count: int) -> None:
        """Move what is left to the front."""
        self.buffer[: self.have - count] = self.buffer[count : self.have]
        self.have -= count

    def done(self) -> None:
        if not self._given_back:
            self._given_back = True
            POOL.give(self.buffer)


class Lines(Buffered):
    """JSON lines: a line feed ends a message.

    A line of more than the allowed size is passed over up to its line feed; the connection goes on.
    """

    def __init__(self) -> None:
        super().__init__()
        self.opened = True
        self._seen = 0  # bytes known to hold no line feed
        self._skipping = False

    def filled(self, count: int) -> Iterator[bytes]:
        self.have += count
        start = 0
        while (end := self.buffer.find(b"\n", max(start, self._seen), self.have)) >= 0:
            line = bytes(self.buffer[start:end])
            start = self._seen = end + 1
            if self._skipping or len(line) > MESSAGE_BYTES:
                logger.warning("a line of over {} bytes was passed over", MESSAGE_BYTES)
                self._skipping = False
            elif line.strip():
                yield line
        self.drop(start)
        self._seen = self.have
        if self.have > MESSAGE_BYTES:  # guards the buffer against a line without an end
            self._skipping = True
            self.have = self._seen = 0

    def opening(self) -> bytes:
        return b""

    def frame(self, message: bytes) -> bytes:
        return message + b"\n"

    def farewell(self, code: int, reason: str) -> bytes:
        return b""
