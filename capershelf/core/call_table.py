"""The calls that a planner has: open, standing, or over and not yet told to a caller.

Pure, and owned by the planner's thread; others may read the counters.  Times are Unix milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from capershelf.core import model as m


class CallTable:
    """Calls by their key, and how many outcomes were given."""

    def __init__(self) -> None:
        self.by_key: dict[int, m.Call] = {}
        self.unheard: dict[int, m.Call] = {}  # ended, and not yet told to a caller
        self.open_count = 0
        self.given, self.refused = 0, 0  # outcomes, and those among them that were no
        # Calls that were given up while they were out: until when their id rests, should it come again.
        self._resting: dict[int, float] = {}
        self._reset_at: dict[int, str] = {}  # where an attempt was reset lately: its answer may still come

    def add(self, request: m.SetUp, caller: m.Caller) -> m.Call:
        """A new open call."""
        call = self.by_key[request.key] = m.Call(request, caller)
        call.not_before_ms = self._resting.get(request.key, -math.inf)
        self.open_count += 1
        return call

    def find(self, call_id: str) -> m.Call | None:
        """The call of this id, 16 hex digits."""
        return self.by_key.get(int(call_id, 16))

    def open(self) -> list[m.Call]:
        """Those whose outcome is owed."""
        return [call for call in self.by_key.values() if call.state is m.CallState.OPEN]

    def of(self, caller: m.Caller) -> list[m.Call]:
        """Those that this caller hears of."""
        return [call for call in self.by_key.values() if call.caller is caller]

    def unheard_of(self, host: str) -> list[m.Call]:
        """Those whose end is to be told to any caller of this host."""
        return [call for call in self.unheard.values() if call.lost_caller_host == host]

    def all_over(self) -> bool:
        """Whether no outcome and no end is owed any more."""
        return all(call.state is m.CallState.ENDED for call in self.by_key.values())

    def latch(self, call: m.Call) -> bool:
        """Whether the call's one outcome is still to be given; it counts as given from here on."""
        if call.state is not m.CallState.OPEN:
            return False
        call.state = m.CallState.ENDED
        self.open_count -= 1
        self.given += 1
        return True

    def keep(self, call: m.Call, word: m.CallerMessage, timer: m.Cancellable) -> None:
        """Keep a call that is over for a caller out of reach, until the timer forgets it."""
        call.undelivered, call.expiry_timer = word, timer
        self.by_key[call.request.key] = call

    def forget(self, call: m.Call) -> None:
        """Let go of the call and its timer; another of the same key stays."""
        if call.expiry_timer is not None:
            call.expiry_timer.cancel()
        if self.by_key.get(call.request.key) is call:
            del self.by_key[call.request.key]
        self.unheard.pop(call.request.key, None)

    def rest(self, key: int, until_ms: float) -> Callable[[], None]:
        """A call of this key that comes again waits so long; what to do once that time is over."""
        self._resting[key] = until_ms

        def rested() -> None:
            if self._resting.get(key) == until_ms:
                del self._resting[key]

        return rested

    def note_reset(self, key: int, server: str) -> Callable[[], None]:
        """An attempt was reset at the server; what to do once its answer can't come any more."""
        self._reset_at[key] = server
        return lambda: self._heard_out(key)

    def _heard_out(self, key: int) -> None:
        self._reset_at.pop(key, None)

    def was_reset_at(self, call_id: str, server: str) -> bool:
        """Whether an attempt of the call was reset at the server lately."""
        return self._reset_at.get(int(call_id, 16)) == server
