"""Buffers of one size, used again."""

from __future__ import annotations

import threading

MESSAGE_BYTES = 16 * 1024  # no message holds more
BUFFER_BYTES = MESSAGE_BYTES + 512  # a whole message with its line feed or frame header
SPARE = 64  # buffers that are kept; the rest go back to the system


class Pool:
    """Hands out buffers; what is taken is given back once its connection has ended."""

    def __init__(self) -> None:
        self._free: list[bytearray] = []
        self._lock = threading.Lock()
        self.out = 0

    def take(self) -> bytearray:
        with self._lock:
            self.out += 1
            return self._free.pop() if self._free else bytearray(BUFFER_BYTES)

    def give(self, buffer: bytearray) -> None:
        with self._lock:
            self.out -= 1
            if len(self._free) < SPARE:
                self._free.append(buffer)


POOL = Pool()
