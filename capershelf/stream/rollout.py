"""Which proxies get a new version when: by stages, on only when all of a stage have passed.  Pure.

Proxies are in an order of their own for each version, by a hash, so that not the same ones always go
first.  A stage is a share of all proxies that are known.  It is passed when each of them that is
connected has acknowledged and its probation time is over; one that refuses, or puts the version back,
halts the roll-out until another version comes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from blake3 import blake3

from capershelf.stream.ledger import VersionNumber


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares of all proxies, growing, the last 1; and how long each stage is watched after its last ack."""

    stages: tuple[float, ...] = (1.0,)
    watch_ms: float = 0.0

    def __post_init__(self) -> None:
        if not self.stages or any(not 0 < share <= 1 for share in self.stages) or self.stages[-1] != 1:
            raise ValueError("stages: shares over 0 to 1, the last of them 1")
        if list(self.stages) != sorted(self.stages):
            raise ValueError("stages: no share may be smaller than the one before")


@dataclass(slots=True)
class Rollout:
    """One version on its way through the fleet."""

    number: VersionNumber
    plan: Plan
    stage: int = 0
    halted: str = ""
    acked: dict[str, float] = field(default_factory=dict)  # when

    def order(self, proxy: str) -> bytes:
        return blake3(f"{self.number}/{proxy}".encode()).digest(8)

    def chosen(self, proxies: set[str]) -> set[str]:
        """Those of the stages so far; at least one.  Sorts all of them: ask once for many proxies."""
        most = max(1, math.ceil(self.plan.stages[self.stage] * len(proxies) - 1e-9))
        if most >= len(proxies):
            return proxies
        return set(sorted(proxies, key=self.order)[:most])

    def due(self, proxy: str, chosen: set[str]) -> bool:
        """Whether this proxy is to be offered the version now, where these are chosen."""
        return proxy in self.acked or not self.halted and proxy in chosen

    def ack(self, proxy: str, now_ms: float) -> None:
        self.acked.setdefault(proxy, now_ms)

    def refuse(self, proxy: str, code: str, text: str) -> None:
        """A proxy will not have it, or has put it back."""
        self.acked.pop(proxy, None)
        if not self.halted:
            self.halted = f"{proxy}: {text} [{code}]"

    def advance(self, proxies: set[str], connected: set[str], now_ms: float) -> bool:
        """Go on to the next stage if this one has passed; whether it did."""
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
        if self.halted:
            return f"halted at stage {self.stage + 1}: {self.halted}"
        return f"stage {self.stage + 1} of {len(self.plan.stages)}"
