"""A sender's turns at one booking server that has just started: its share of the whole fleet's budget.

Senders share nothing, so what they may send together is dealt out beforehand.  A counter runs at the pace at
which the fleet may send, from when this sender heard of the server; each time it passes this sender's slot,
and then each `count` further, a turn of this sender's opens.  A turn is one set-up, and it is over after some
windows, used or not: nothing is saved up.  docs/cold.md argues the sum.  Pure: times (ms) come in.
"""

from __future__ import annotations

import math
from collections import deque

MOST = 0.9  # of what the rules let the fleet send in any window, and the root of that on top
LEAST_OPEN = 0.25  # windows that a turn lasts at the least


def lasts(multiple: float) -> float:
    """Windows for which a turn stays open.

    What is sent in a window used turns that opened in it or so long before it.  More than a server can do is
    of no use to it: dealt out is about that, a multiple-th of what the rules allow, and the rest of it goes
    into the time for which a turn waits for a call.
    """
    return max(LEAST_OPEN, multiple - 1.0)


def most(budget: float) -> float:
    """What the fleet sends in any window at the most, and one.  The rules leave chance two roots and two."""
    return MOST * budget + math.sqrt(budget)


def dealt(budget: float, multiple: float) -> float:
    """What is dealt out in a window in which the rules allow the budget."""
    return most(budget) / (1.0 + lasts(multiple))


class Turns:
    """One sender's turns, one of `count` senders; begins empty.

    share: the part of these that may send to the server at all, spread evenly over the slots; the counter
    passes the slots of the others, which use no turns, so much faster.  0: this sender may not send to it.
    """

    __slots__ = ("_count", "_next", "_passed", "_at_ms", "_open", "_multiple", "_share")

    def __init__(self, slot: int, count: int, now_ms: float, multiple: float, share: float = 1.0) -> None:
        self._count, self._share = count, share
        self._multiple = multiple
        self._next = float(slot % count + 1)  # where the counter opens the next turn
        self._passed, self._at_ms = 0.0, now_ms
        self._open: deque[float] = deque()  # until when each open turn lasts

    def __len__(self) -> int:
        return len(self._open)

    def open(self, now_ms: float, per_ms: float, window_ms: float) -> bool:
        """Whether a turn is open now.  per_ms: set-ups that the rules allow the fleet, over the time since
        this was asked last."""
        if self._share <= 0.0:
            return False
        per_ms = dealt(per_ms * window_ms, self._multiple) / window_ms / self._share
        lasts_ms = lasts(self._multiple) * window_ms
        if now_ms > self._at_ms and per_ms > 0.0:
            self._passed += per_ms * (now_ms - self._at_ms)
            behind = self._passed - per_ms * lasts_ms - self._next
            if behind > 0.0:  # turns that are over by now
                self._next += self._count * math.ceil(behind / self._count)
            while self._next < self._passed:
                opened_ms = now_ms - (self._passed - self._next) / per_ms
                self._open.append(max(opened_ms, self._at_ms) + lasts_ms)
                self._next += self._count
        self._at_ms = max(self._at_ms, now_ms)
        while self._open and self._open[0] <= now_ms:
            self._open.popleft()
        return bool(self._open)

    def take(self) -> float:
        """Use the turn that is over first; until when its set-up must have begun."""
        return self._open.popleft()
