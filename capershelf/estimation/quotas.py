"""Tenant quotas, estimated from the traffic of one sender.  Pure: callers pass the time in milliseconds."""

from __future__ import annotations

import math

QUOTA_SLACK = 1.3  # a tenant may exceed the rate suggested by the other tenants' traffic by this factor
RATE_FADE_S = 4.0  # time constant of the exponential rate averages
MIN_BURST_CALLS = 3.0  # smallest capacity of a token bucket


class Quotas:
    """Per-tenant call rates and token buckets at one of several senders."""

    def __init__(self, sender_count: int) -> None:
        self._sender_count = sender_count
        self._per_s: dict[str, float] = {}
        self._rates: dict[str, float] = {}
        self._buckets: dict[str, float] = {}
        self._updated_ms = 0.0

    def configure(self, per_s: dict[str, float]) -> None:
        """Set each tenant's quota over all senders; rates and buckets of known tenants are kept."""
        self._per_s = per_s
        self._rates = {name: self._rates.get(name, 0.0) for name in per_s}
        self._buckets = {name: self._buckets.get(name, MIN_BURST_CALLS) for name in per_s}

    def is_exceeded(self, now_ms: float, tenant: str) -> bool:
        """Count a call of the tenant; True if it exceeds the quota.

        One sender does not see the whole fleet's traffic.  The ratio of the other tenants' traffic here to
        their quotas estimates which part of this tenant's quota belongs to this sender.
        """
        if tenant not in self._per_s:
            return False
        elapsed_s = (now_ms - self._updated_ms) / 1000.0
        self._updated_ms = now_ms
        self._rates = {name: rate * math.exp(-elapsed_s / RATE_FADE_S) for name, rate in self._rates.items()}
        self._rates[tenant] += 1.0 / RATE_FADE_S
        others = sum(rate for name, rate in self._rates.items() if name != tenant)
        others_per_s = sum(per_s for name, per_s in self._per_s.items() if name != tenant)
        sender_part = max(1.0 / self._sender_count, others / others_per_s if others_per_s > 0 else 0.0)
        for name, per_s in self._per_s.items():
            allowed_per_s = per_s * sender_part * QUOTA_SLACK
            filled = self._buckets[name] + elapsed_s * allowed_per_s
            self._buckets[name] = min(MIN_BURST_CALLS * max(1.0, allowed_per_s), filled)
        within = self._buckets[tenant] >= 1.0
        self._buckets[tenant] -= within
        return not within
