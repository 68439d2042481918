"""Limits how often and how much one connection is read, so that no peer takes the processor from the others.

What is not read stays in the peer's socket, which slows the peer down.  Times are seconds of the monotonic
clock, as a pause is a real wait of the connection's own thread.
"""

from __future__ import annotations

import time

UNITS_PER_S = 1000.0  # messages that are read in the long run
EMPTY_UNITS = 0.25  # of a line or frame without a message, such as a pong
BURST_UNITS = 1000.0
MAX_PAUSE_S = 0.25  # keeps deadlines and the end of the connection in sight
# Before the next read, after so many reads in a row that completed no message of which a part had come.  A
# message arrives in few pieces unless its sender is slow.
PARTIAL_READ_PAUSES_S = (0.0, 0.005, 0.02, 0.05, 0.1)


class ReadPacer:
    """The pacing of one connection; for its reading thread alone."""

    __slots__ = ("_units", "_refilled_s", "_partial_reads")

    def __init__(self) -> None:
        self._units = BURST_UNITS
        self._refilled_s = time.monotonic()
        self._partial_reads = 0

    def pause_s(self, messages: int, lines: int, is_partial: bool) -> float:
        """How long to wait before the next read.

        messages, lines: how many the last read completed, frames counting as lines; is_partial: a part of
        another one is buffered.
        """
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * UNITS_PER_S
        used = messages + EMPTY_UNITS * max(0, lines - messages)
        self._units = min(BURST_UNITS, self._units + refill) - used
        self._refilled_s = now_s
        self._partial_reads = self._partial_reads + 1 if is_partial and not lines else 0
        pause_s = max(0.0, -self._units / UNITS_PER_S)
        if self._partial_reads:
            index = min(self._partial_reads, len(PARTIAL_READ_PAUSES_S)) - 1
            pause_s = max(pause_s, PARTIAL_READ_PAUSES_S[index])
        return min(pause_s, MAX_PAUSE_S)
