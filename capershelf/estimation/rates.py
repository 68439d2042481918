"""How often something happens, as an average that fades.  Pure: times in milliseconds come in."""

from __future__ import annotations

import math

LEAST_SPAN_MS = 3000.0  # a rate is never read over less
RATE_MS = 10000.0  # rates are averages that fade in so long


class Rate:
    """Events for each ms, as an average that fades in RATE_MS."""

    def __init__(self) -> None:
        self.count = 0.0
        self.at_ms = self.began_ms = math.nan

    def add(self, now_ms: float) -> None:
        if math.isnan(self.at_ms):
            self.at_ms = self.began_ms = now_ms
        self.count = 1.0 + self.faded(now_ms)
        self.at_ms = now_ms

    def faded(self, now_ms: float) -> float:
        return self.count * math.exp((self.at_ms - now_ms) / RATE_MS)

    def value(self, now_ms: float) -> float:
        if math.isnan(self.at_ms):
            return 0.0
        span_ms = RATE_MS * (1.0 - math.exp((self.began_ms - now_ms) / RATE_MS))
        return self.faded(now_ms) / max(LEAST_SPAN_MS, span_ms)
