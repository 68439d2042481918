"""Exponentially decaying event rates.  Pure: callers pass the time in milliseconds."""

from __future__ import annotations

import math

MIN_SPAN_MS = 3000.0  # lower bound of the averaging span, so that the first few events do not inflate a rate
RATE_FADE_MS = 10000.0  # time constant of the exponential average


class Rate:
    """Events per millisecond, averaged exponentially with the time constant RATE_FADE_MS."""

    def __init__(self) -> None:
        self.count = 0.0
        self.updated_ms = self.started_ms = math.nan

    def add(self, now_ms: float) -> None:
        """Count one event."""
        if math.isnan(self.updated_ms):
            self.updated_ms = self.started_ms = now_ms
        self.count = 1.0 + self.decayed_count(now_ms)
        self.updated_ms = now_ms

    def decayed_count(self, now_ms: float) -> float:
        """The weighted event count, decayed to now_ms."""
        return self.count * math.exp((self.updated_ms - now_ms) / RATE_FADE_MS)

    def value(self, now_ms: float) -> float:
        """Events per millisecond; 0 before the first event."""
        if math.isnan(self.updated_ms):
            return 0.0
        span_ms = RATE_FADE_MS * (1.0 - math.exp((self.started_ms - now_ms) / RATE_FADE_MS))
        return self.decayed_count(now_ms) / max(MIN_SPAN_MS, span_ms)
