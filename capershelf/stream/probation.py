"""Whether a version that was taken does harm.  Pure; off unless the operator gives it a time.

The measure is the share of calls refused or failed here: before the version, over the same length of
time, and since. A version is put back once it has refused `margin` more of at least `least` calls than
the one before.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """time_ms 0: no probation."""

    time_ms: float = 0.0
    margin: float = 0.2
    least: int = 50


class Measure:
    """Outcomes in a sliding window, in slots, so that its size does not go with the calls."""

    SLOTS = 32

    def __init__(self, window_ms: float) -> None:
        self._slot_ms = max(1.0, window_ms / self.SLOTS)
        self._slots: deque[tuple[int, list[int]]] = deque(maxlen=self.SLOTS)

    def note(self, now_ms: float, given: int, refused: int) -> None:
        """Outcomes given since the last note, and how many of them were no."""
        slot = int(now_ms // self._slot_ms)
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append((slot, [0, 0]))
        counts = self._slots[-1][1]
        counts[0] += given
        counts[1] += refused

    def since(self, at_ms: float) -> tuple[int, int]:
        """(given, refused) from the first slot that lies wholly after at_ms."""
        first = int(at_ms // self._slot_ms) + 1
        kept = [counts for slot, counts in self._slots if slot >= first]
        return sum(c[0] for c in kept), sum(c[1] for c in kept)


class Probation:
    """One version's trial, against what was before it."""

    def __init__(self, terms: Terms, began_ms: float, before: tuple[int, int]) -> None:
        self.terms, self.began_ms = terms, began_ms
        given, refused = before
        self._before = refused / given if given else 0.0

    def verdict(self, now_ms: float, since: tuple[int, int]) -> str:
        """'' while it goes on, 'passed', or why the version is to be put back."""
        given, refused = since
        if given >= self.terms.least:
            share = refused / given
            if share - self._before > self.terms.margin:
                return (
                    f"{100 * share:.0f}% of {given} calls refused or failed since, "
                    f"{100 * self._before:.0f}% before"
                )
        return "passed" if now_ms - self.began_ms >= self.terms.time_ms else ""
