"""Signals as a queue: a pipe that the interpreter writes the number of each signal to."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterable

STOPPED = 0  # put by the thread that has stopped the proxy; no signal has this number


class Signals:
    """Queues the given signals, whichever thread the system delivers them to.

    A signal handler in Python runs on the main thread only, and a main thread that blocks on a queue does not
    wake up for a signal that interrupted another thread.  The wake-up pipe is written on delivery.
    """

    def __init__(self, numbers: Iterable[int]) -> None:
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._writer, False)  # a full pipe already holds far more signals than need handling
        self._numbers = tuple(numbers)
        for number in self._numbers:
            signal.signal(number, lambda received, _: None)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)

    def take(self) -> int:
        """Wait for the next signal, or the next call of put, and return its number."""
        return os.read(self._reader, 1)[0]

    def put(self, number: int) -> None:
        """Add a number to the queue."""
        os.write(self._writer, bytes([number]))

    def ignore(self) -> None:
        """Ignore the signals from now on.

        At its exit the interpreter restores the default action of handled signals, which ends the process.
        """
        for number in self._numbers:
            signal.signal(number, signal.SIG_IGN)
