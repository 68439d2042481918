"""A pool of receive buffers of one size."""

from __future__ import annotations

import threading

MAX_MESSAGE_BYTES = 16 * 1024
BUFFER_BYTES = MAX_MESSAGE_BYTES + 512  # a message with its line feed or frame header
MAX_FREE_BUFFERS = 64  # unused buffers that are kept; further ones are freed


class BufferPool:
    """Hands out buffers; each must be released once."""

    def __init__(self) -> None:
        self._free: list[bytearray] = []
        self._lock = threading.Lock()
        self.in_use = 0

    def acquire(self) -> bytearray:
        """A buffer of BUFFER_BYTES with arbitrary content."""
        with self._lock:
            self.in_use += 1
            return self._free.pop() if self._free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Take a buffer back for reuse."""
        with self._lock:
            self.in_use -= 1
            if len(self._free) < MAX_FREE_BUFFERS:
                self._free.append(buffer)


POOL = BufferPool()
