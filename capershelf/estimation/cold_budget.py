"""Tokens of one sender for a booking server that has just started: its part of the fleet's set-up budget.

Senders do not communicate, so the tokens of a shared bucket are issued round-robin, by slot.  A counter
advances at the rate at which the fleet may send, starting when this sender first saw the server.  This sender
gets a token when the counter passes its slot, then one for each further `sender_count`.  A token allows one
set-up and expires after a number of windows, used or not, so that tokens do not accumulate.  docs/cold.md
derives the bound.  Pure: callers pass the time in milliseconds.
"""

from __future__ import annotations

import math
from collections import deque

FLEET_SHARE = 0.9  # of the set-ups that the rules allow the fleet in a window; their square root comes on top
MIN_VALID_WINDOWS = 0.25  # shortest validity of a token, in windows


def token_valid_windows(multiple: float) -> float:
    """Validity of a token, in windows.

    The set-ups sent in a window used tokens issued in that window or within this time before it.  The rules
    allow `multiple` times the server's capacity, but set-ups beyond its capacity are of no use to it.  So
    about the capacity is issued, and the rest of the budget goes into the time that a token may wait for a
    call.
    """
    return max(MIN_VALID_WINDOWS, multiple - 1.0)


def fleet_limit(budget: float) -> float:
    """Upper bound, within one set-up, of what the fleet sends in any window.

    The rules allow for chance by adding two square roots of the budget, and two set-ups.
    """
    return FLEET_SHARE * budget + math.sqrt(budget)


def tokens_per_window(budget: float, multiple: float) -> float:
    """Tokens issued per window in which the rules allow the fleet `budget` set-ups."""
    return fleet_limit(budget) / (1.0 + token_valid_windows(multiple))


class ColdTokens:
    """Tokens of one of `sender_count` senders; there are none at the start.

    sender_share: the part of the senders that may send to the server, spread evenly over the slots.  The
    counter advances faster by its reciprocal, since the slots of the other senders use no tokens.  0: this
    sender may not send to the server.
    """

    __slots__ = (
        "_sender_count",
        "_next",
        "_counter",
        "_updated_ms",
        "_expiry_ms",
        "_multiple",
        "_sender_share",
    )

    def __init__(
        self, slot: int, sender_count: int, now_ms: float, multiple: float, sender_share: float = 1.0
    ) -> None:
        self._sender_count, self._sender_share = sender_count, sender_share
        self._multiple = multiple
        self._next = float(slot % sender_count + 1)  # counter value at which the next token is issued
        self._counter, self._updated_ms = 0.0, now_ms
        self._expiry_ms: deque[float] = deque()  # of each valid token, earliest first

    def __len__(self) -> int:
        return len(self._expiry_ms)

    def available(self, now_ms: float, per_ms: float, window_ms: float) -> bool:
        """Issue and expire tokens up to now_ms; True if there is a valid one.

        per_ms: set-ups per millisecond that the rules allow the fleet, since the previous call.
        """
        if self._sender_share <= 0.0:
            return False
        per_ms = tokens_per_window(per_ms * window_ms, self._multiple) / window_ms / self._sender_share
        valid_ms = token_valid_windows(self._multiple) * window_ms
        if now_ms > self._updated_ms and per_ms > 0.0:
            self._counter += per_ms * (now_ms - self._updated_ms)
            overdue = self._counter - per_ms * valid_ms - self._next
            if overdue > 0.0:  # skip tokens that would have expired already
                self._next += self._sender_count * math.ceil(overdue / self._sender_count)
            while self._next < self._counter:
                issued_ms = now_ms - (self._counter - self._next) / per_ms
                self._expiry_ms.append(max(issued_ms, self._updated_ms) + valid_ms)
                self._next += self._sender_count
        self._updated_ms = max(self._updated_ms, now_ms)
        while self._expiry_ms and self._expiry_ms[0] <= now_ms:
            self._expiry_ms.popleft()
        return bool(self._expiry_ms)

    def consume(self) -> float:
        """Use the token that expires first; returns the time by which its set-up must be written."""
        return self._expiry_ms.popleft()
