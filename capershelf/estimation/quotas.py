"""Whether a tenant asks for more than its share, by what one sender sees.  Pure: times (ms) come in."""

from __future__ import annotations

import math

QUOTA_SLACK = 1.3  # a tenant is beyond its share above so many times what the others' traffic suggests
FADE_S = 4.0  # of the rates
BURST = 3.0  # calls that a bucket holds at the least


class Quotas:
    """The tenants' rates and buckets at one sender of so many."""

    def __init__(self, senders: int) -> None:
        self._senders = senders
        self._per_s: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._buckets: dict[str, float] = {}
        self._at_ms = 0.0

    def adopt(self, per_s: dict[str, float]) -> None:
        """The tenants and their shares, over all senders; what was seen of each stays."""
        self._per_s = per_s
        self._rates = {name: self._rates.get(name, 0.0) for name in per_s}
        self._buckets = {name: self._buckets.get(name, BURST) for name in per_s}

    def beyond(self, now_ms: float, tenant: str) -> bool:
        """Whether this tenant's call is beyond its share, by what this sender's other traffic suggests."""
        if tenant not in self._per_s:
            return False
        elapsed_s = (now_ms - self._at_ms) / 1000.0
        self._at_ms = now_ms
        self._rates = {name: rate * math.exp(-elapsed_s / FADE_S) for name, rate in self._rates.items()}
        self._rates[tenant] += 1.0 / FADE_S
        others = sum(rate for name, rate in self._rates.items() if name != tenant)
        others_per_s = sum(per_s for name, per_s in self._per_s.items() if name != tenant)
        part = max(1.0 / self._senders, others / others_per_s if others_per_s > 0 else 0.0)
        for name, per_s in self._per_s.items():
            allowed = per_s * part * QUOTA_SLACK
            filled = self._buckets[name] + elapsed_s * allowed
            self._buckets[name] = min(BURST * max(1.0, allowed), filled)
        within = self._buckets[tenant] >= 1.0
        self._buckets[tenant] -= within
        return not within
