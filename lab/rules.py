"""The rules, checked from outside: by what reaches servers and callers, not by what the module believes."""

from __future__ import annotations

import functools
from collections import Counter, deque

from lab.world import Contract, Server

COLD_SLACK = 4.0  # set-ups in a window that are never held against a fleet


class Rules:
    """Notes every broken rule by its name."""

    def __init__(self, contract: Contract) -> None:
        self.contract = contract
        self.broken: Counter[str] = Counter()
        self.attempts = 0
        self._out: set[int] = set()
        self._sends: Counter[int] = Counter()
        self._free_ms: dict[int, float] = {}
        self._told: set[int] = set()
        self._cold: dict[str, deque[float]] = {}
        self.most_cold = 0.0  # greatest part of its budget that a cold server was sent
        self.draining_ms: dict[tuple[int, str], float] = {}  # (proxy, server): when it was told

    def sent(self, proxy: int, call: int, server: Server, now_ms: float) -> None:
        if call in self._out:
            self.broken["two attempts at once"] += 1
        if call in self._told:
            self.broken["sent after its outcome"] += 1
        if now_ms < self._free_ms.get(call, 0.0) - 1e-6:
            self.broken["sent again too soon"] += 1
        self.attempts += 1
        self._out.add(call)
        self._sends[call] += 1
        if self._sends[call] > self.contract.max_attempts:
            self.broken["too many attempts"] += 1
        told_ms = self.draining_ms.get((proxy, server.uid))
        if told_ms is not None and now_ms - told_ms > self.contract.drain_grace_ms:
            self.broken["sent to a draining server"] += 1

    def watch(self, server: Server) -> None:
        """Hold what reaches this server against its cold budget."""
        server.sent_on = functools.partial(self._budget, server)

    def _budget(self, server: Server, now_ms: float) -> None:
        """What came in any window of that length, against the multiple of what the server could do in it."""
        window = self._cold.setdefault(server.uid, deque())
        window.append(now_ms)
        while window[0] <= now_ms - self.contract.fall_ms:
            window.popleft()
        if server.started_ms is None or now_ms - server.started_ms >= self.contract.ramp_ms:
            return
        able = server.speed() * self.contract.fall_ms / server.call_ms
        part = (len(window) - COLD_SLACK) / (self.contract.fall_multiple * able)
        self.most_cold = max(self.most_cold, part)
        if part > 1.0:
            self.broken["a cold server was pushed over"] += 1

    def ended(self, call: int, now_ms: float, may_have_run: bool) -> None:
        self._out.discard(call)
        if may_have_run:
            self._free_ms[call] = now_ms + self.contract.release_ms

    def told(self, call: int, in_time: bool) -> None:
        if call in self._told:
            self.broken["two outcomes"] += 1
        if not in_time:
            self.broken["told too late"] += 1
        self._told.add(call)
