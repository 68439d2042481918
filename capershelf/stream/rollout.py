"""Staged rollout of a version: the next stage begins when all proxies of the current one passed.  No I/O.

A hash orders the proxies anew for each version, so that the first stage is not always the same proxies.  A
stage is a share of all known proxies.  It is passed when each connected proxy in it has acknowledged the
version and the observation time is over.  A proxy that refuses the version or rolls it back halts the
rollout until another version is published.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from blake3 import blake3

from capershelf.stream.ledger import VersionNumber


@dataclass(frozen=True, slots=True)
class Plan:
    """Ascending shares of all proxies, the last one 1, and how long to observe a stage after its last ack."""

    stages: tuple[float, ...] = (1.0,)
    watch_ms: float = 0.0

    def __post_init__(self) -> None:
        if not self.stages or any(not 0 < share <= 1 for share in self.stages) or self.stages[-1] != 1:
            raise ValueError("stages: shares over 0 to 1, the last of them 1")
        if list(self.stages) != sorted(self.stages):
            raise ValueError("stages: no share may be smaller than the one before")


@dataclass(slots=True)
class Rollout:
    """The rollout of one version to the fleet."""

    number: VersionNumber
    plan: Plan
    stage: int = 0
    halted: str = ""
    acked: dict[str, float] = field(default_factory=dict)  # time in ms

    def sort_key(self, proxy: str) -> bytes:
        """The position of the proxy in this version's order."""
        return blake3(f"{self.number}/{proxy}".encode()).digest(8)

    def chosen(self, proxies: set[str]) -> set[str]:
        """The proxies of the stages so far, at least one.  Sorts all proxies, so call it once for many."""
        count = max(1, math.ceil(self.plan.stages[self.stage] * len(proxies) - 1e-9))
        if count >= len(proxies):
            return proxies
        return set(sorted(proxies, key=self.sort_key)[:count])

    def should_offer(self, proxy: str, chosen: set[str]) -> bool:
        """Whether to offer the version to this proxy, given the chosen proxies."""
        return proxy in self.acked or not self.halted and proxy in chosen

    def ack(self, proxy: str, now_ms: float) -> None:
        """Record the first acknowledgement of a proxy."""
        self.acked.setdefault(proxy, now_ms)

    def refuse(self, proxy: str, code: str, text: str) -> None:
        """Halt the rollout: a proxy refused the version or rolled it back."""
        self.acked.pop(proxy, None)
        if not self.halted:
            self.halted = f"{proxy}: {text} [{code}]"

    def advance(self, proxies: set[str], connected: set[str], now_ms: float) -> bool:
        """Start the next stage if the current one passed; returns whether it did."""
        if self.halted or self.stage == len(self.plan.stages) - 1:
            return False
        chosen = self.chosen(proxies) & connected
        if not chosen or not chosen <= self.acked.keys():
            return False
        if now_ms - max(self.acked[proxy] for proxy in chosen) < self.plan.watch_ms:
            return False
        self.stage += 1
        return True

    @property
    def state(self) -> str:
        """The progress, as a text for operators."""
        if self.halted:
            return f"halted at stage {self.stage + 1}: {self.halted}"
        return f"stage {self.stage + 1} of {len(self.plan.stages)}"
