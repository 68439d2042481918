"""A sender's tokens for one booking server that has just started: its share of the whole fleet's budget.

Senders share nothing, so the tokens of a bucket that all of them draw from are issued round-robin, by slot.
A counter runs at the pace at which the fleet may send, from when this sender heard of the server; each time
it passes this sender's slot, and then each `count` further, this sender gets a token.  A token is one set-up,
and it expires after some windows, used or not: nothing is saved up.  docs/cold.md
argues the sum.  Pure: times (ms) come in.
"""

from __future__ import annotations

import math
from collections import deque

FLEET_SHARE = 0.9  # of what the rules let the fleet send in any window, and the root of that on top
LEAST_WINDOWS = 0.25  # windows for which a token is valid at the least


def token_windows(multiple: float) -> float:
    """Windows for which a token is valid.

    What is sent in a window used tokens that were issued in it or so long before it.  More than a server can
    do is of no use to it: about that is issued, a multiple-th of what the rules allow, and the rest of it
    goes into the time for which a token waits for a call.
    """
    return max(LEAST_WINDOWS, multiple - 1.0)


def fleet_limit(budget: float) -> float:
    """What the fleet sends in any window at the most, and one.  The rules leave chance two roots and two."""
    return FLEET_SHARE * budget + math.sqrt(budget)


def issued(budget: float, multiple: float) -> float:
    """Tokens that are issued in a window in which the rules allow the budget."""
    return fleet_limit(budget) / (1.0 + token_windows(multiple))


class ColdTokens:
    """One sender's tokens, one of `count` senders; begins empty.

    share: the part of these that may send to the server at all, spread evenly over the slots; the counter
    passes the slots of the others, which use no tokens, so much faster.  0: this sender may not send to it.
    """

    __slots__ = ("_count", "_next", "_passed", "_at_ms", "_valid_until", "_multiple", "_share")

    def __init__(self, slot: int, count: int, now_ms: float, multiple: float, share: float = 1.0) -> None:
        self._count, self._share = count, share
        self._multiple = multiple
        self._next = float(slot % count + 1)  # where the counter issues the next token
        self._passed, self._at_ms = 0.0, now_ms
        self._valid_until: deque[float] = deque()  # when each token expires

    def __len__(self) -> int:
        return len(self._valid_until)

    def available(self, now_ms: float, per_ms: float, window_ms: float) -> bool:
        """Whether there is a valid token now.

        per_ms: set-ups that the rules allow the fleet, over the time since this was asked last.
        """
        if self._share <= 0.0:
            return False
        per_ms = issued(per_ms * window_ms, self._multiple) / window_ms / self._share
        valid_ms = token_windows(self._multiple) * window_ms
        if now_ms > self._at_ms and per_ms > 0.0:
            self._passed += per_ms * (now_ms - self._at_ms)
            behind = self._passed - per_ms * valid_ms - self._next
            if behind > 0.0:  # tokens that have expired by now
                self._next += self._count * math.ceil(behind / self._count)
            while self._next < self._passed:
                issued_ms = now_ms - (self._passed - self._next) / per_ms
                self._valid_until.append(max(issued_ms, self._at_ms) + valid_ms)
                self._next += self._count
        self._at_ms = max(self._at_ms, now_ms)
        while self._valid_until and self._valid_until[0] <= now_ms:
            self._valid_until.popleft()
        return bool(self._valid_until)

    def use(self) -> float:
        """Use the token that expires first; until when its set-up must have begun."""
        return self._valid_until.popleft()
