"""Framings: split a connection's byte stream into messages.  They use pooled buffers and do no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from capershelf.net.buffers import MAX_MESSAGE_BYTES, POOL


class Reply(bytes):
    """Bytes that the framing itself sends to the peer, already framed."""


class CloseConnectionError(Exception):
    """Raised to close a connection: the peer has closed it or violated the protocol.

    final_data is sent before closing.  invalid_message: the peer sent something that cannot be processed, and
    the connection's owner may send it a final message.
    """

    def __init__(self, reason: str, final_data: bytes = b"", invalid_message: bool = False) -> None:
        super().__init__(reason)
        self.final_data, self.invalid_message = final_data, invalid_message


class Framing(Protocol):
    """One connection's framing: read into read_buffer(), then iterate over parse()."""

    @property
    def opened(self) -> bool:
        """Whether the handshake is complete, so that messages may be sent."""

    @property
    def has_partial_message(self) -> bool:
        """Whether an incomplete message is buffered."""

    @property
    def parsed_lines(self) -> int:
        """How many lines, or frames, have been parsed, those without a message included."""

    def handshake_data(self) -> bytes:
        """What this side sends when the connection starts."""

    def read_buffer(self) -> memoryview:
        """The free part of the buffer, to receive into."""

    def parse(self, count: int) -> Iterator[bytes]:
        """Yield the messages and Replies that count received bytes complete.

        Raises CloseConnectionError where the connection is to be closed.
        """

    def frame(self, message: bytes) -> bytes:
        """The message as it is sent."""

    def close_frame(self, code: int, reason: str) -> bytes:
        """What to send before closing; empty if this framing has no close frames or one was already built."""

    @property
    def last_pong(self) -> bytes:
        """The payload of the last pong received."""

    def ping_frame(self, payload: bytes) -> bytes:
        """A ping to send; empty if this framing has no pings."""

    def release_if_empty(self) -> None:
        """Return the buffer to the pool if all received bytes have been processed."""

    def release_buffers(self) -> None:
        """Return all buffers to the pool."""


NO_BUFFER = bytearray()


class Buffered:
    """A framing's receive buffer: bytes are appended at the end, complete messages are removed at the front.

    The buffer is acquired from the pool on reading and released when it is empty, so that hundreds of idle
    connections hold no buffers.
    """

    def __init__(self) -> None:
        self.buffer = NO_BUFFER
        self.filled_bytes = 0
        self._parsed_lines = 0

    @property
    def has_partial_message(self) -> bool:
        return self.filled_bytes > 0

    @property
    def parsed_lines(self) -> int:
        return self._parsed_lines

    def read_buffer(self) -> memoryview:
        if self.buffer is NO_BUFFER:
            self.buffer = POOL.acquire()
        return memoryview(self.buffer)[self.filled_bytes :]

    def discard(self, count: int) -> None:
        """Remove count bytes from the front."""
        self.buffer[: self.filled_bytes - count] = self.buffer[count : self.filled_bytes]
        self.filled_bytes -= count

    def release_if_empty(self) -> None:
        """Release the buffer unless it holds part of a message."""
        if not self.filled_bytes:
            Buffered.release_buffers(self)  # not a subclass's, which would drop message fragments

    def release_buffers(self) -> None:
        if self.buffer is not NO_BUFFER:
            POOL.release(self.buffer)
            self.buffer, self.filled_bytes = NO_BUFFER, 0


class Lines(Buffered):
    """JSON lines: each message ends with a line feed; an oversized message closes the connection.

    At most one buffer's worth of a message is ever read, so an endless line cannot exhaust memory.
    """

    last_pong = b""

    def __init__(self) -> None:
        super().__init__()
        self.opened = True
        self._scanned = 0  # length of the prefix known to hold no line feed

    def parse(self, count: int) -> Iterator[bytes]:
        self.filled_bytes += count
        start = 0
        while (end := self.buffer.find(b"\n", max(start, self._scanned), self.filled_bytes)) >= 0:
            line = bytes(self.buffer[start:end])
            start = self._scanned = end + 1
            self._parsed_lines += 1
            if len(line) > MAX_MESSAGE_BYTES:
                break
            if line.strip():
                yield line
        self.discard(start)
        self._scanned = self.filled_bytes
        if end >= 0 or self.filled_bytes > MAX_MESSAGE_BYTES:
            raise CloseConnectionError(f"a line of over {MAX_MESSAGE_BYTES} bytes", invalid_message=True)

    def handshake_data(self) -> bytes:
        return b""

    def frame(self, message: bytes) -> bytes:
        return message + b"\n"

    def close_frame(self, code: int, reason: str) -> bytes:
        return b""

    def ping_frame(self, payload: bytes) -> bytes:
        return b""
