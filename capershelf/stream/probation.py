"""Detects a version in force that does harm.  No I/O; off unless the operator sets its duration.

It compares the share of calls refused or failed at this proxy since the version came into force with the
share in a period of the same length before.  A version is rolled back when its share exceeds the earlier
one by more than `margin`, over at least `min_calls` calls.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProbationTerms:
    """The parameters of a probation; duration_ms 0 turns it off."""

    duration_ms: float = 0.0
    margin: float = 0.2
    min_calls: int = 50


class OutcomeWindow:
    """Counts of outcomes in a sliding window of slots, so that memory does not grow with the calls."""

    SLOTS = 32

    def __init__(self, window_ms: float) -> None:
        self._slot_ms = max(1.0, window_ms / self.SLOTS)
        self._slots: deque[tuple[int, list[int]]] = deque(maxlen=self.SLOTS)

    def record(self, now_ms: float, total: int, refused: int) -> None:
        """Add the outcomes since the last call and how many of them were refusals or failures."""
        slot = int(now_ms // self._slot_ms)
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append((slot, [0, 0]))
        counts = self._slots[-1][1]
        counts[0] += total
        counts[1] += refused

    def since(self, at_ms: float) -> tuple[int, int]:
        """(total, refused), counted from the first slot that begins after at_ms."""
        first = int(at_ms // self._slot_ms) + 1
        kept = [counts for slot, counts in self._slots if slot >= first]
        return sum(c[0] for c in kept), sum(c[1] for c in kept)


class Probation:
    """The observation of one version against the outcomes before it."""

    def __init__(self, terms: ProbationTerms, began_ms: float, before: tuple[int, int]) -> None:
        self.terms, self.began_ms = terms, began_ms
        total, refused = before
        self._share_before = refused / total if total else 0.0

    def verdict(self, now_ms: float, since: tuple[int, int]) -> str:
        """'' while it lasts, 'passed', or the reason to roll the version back."""
        total, refused = since
        if total >= self.terms.min_calls:
            share = refused / total
            if share - self._share_before > self.terms.margin:
                return (
                    f"{100 * share:.0f}% of {total} calls refused or failed since, "
                    f"{100 * self._share_before:.0f}% before"
                )
        return "passed" if now_ms - self.began_ms >= self.terms.duration_ms else ""
