"""A planner's calls: open, established, or ended with a message that is not yet delivered.

No I/O.  Owned by the planner's thread; other threads may read the counters.  Times are Unix milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from capershelf.core import model
from capershelf.core.finished_calls import FinishedCalls


class CallTable:
    """Calls by key, with outcome counters."""

    def __init__(self) -> None:
        self.by_key: dict[int, model.Call] = {}
        # Ended established calls whose end is not yet delivered, or not yet confirmed.
        self.undelivered_ends: dict[int, model.Call] = {}
        # Calls that have lost the connection they were set up on, by front and host of their caller.
        self._detached: dict[model.Client, dict[int, model.Call]] = {}
        self.finished = FinishedCalls()
        self.open_count = 0
        # All outcomes; those that were Refused or Failed, without abandoned and expired calls.
        self.outcome_count, self.rejected_count = 0, 0
        # End of the release gap by key, for calls abandoned during an attempt: a new call may reuse the key.
        self._release_gap_ends: dict[int, float] = {}
        # Servers of recently reset attempts by call key: their answers may still arrive.
        self._recent_resets: dict[int, str] = {}

    def add(self, request: model.SetUp, caller: model.Caller) -> model.Call:
        """Add a new open call."""
        call = model.Call(request, caller, model.Client.of(caller), [caller])
        self.by_key[request.key] = call
        call.not_before_ms = self._release_gap_ends.get(request.key, -math.inf)
        self.open_count += 1
        return call

    def find(self, call_id: str) -> model.Call | None:
        """Look up a call by its id (16 hex digits)."""
        return self.by_key.get(int(call_id, 16))

    def open_calls(self) -> list[model.Call]:
        """Calls whose outcome is pending."""
        return [call for call in self.by_key.values() if call.state is model.CallState.OPEN]

    def for_caller(self, caller: model.Caller) -> list[model.Call]:
        """Calls whose messages go to this caller."""
        return [call for call in self.by_key.values() if call.caller is caller]

    def requested_by(self, caller: model.Caller) -> list[model.Call]:
        """Calls that were set up, or whose set-up was repeated, on this connection."""
        return [call for call in self.by_key.values() if caller in call.requested_on]

    def detach(self, call: model.Call, caller: model.Caller) -> None:
        """Let any connection of this caller's client take the call's messages."""
        call.detached_from = model.Client.of(caller)
        self._detached.setdefault(call.detached_from, {})[call.request.key] = call

    def detached_from(self, caller: model.Caller) -> list[model.Call]:
        """Calls in the table that a connection of the same front and host has lost."""
        found = self._detached.get(model.Client.of(caller), {})
        return [call for call in found.values() if self.by_key.get(call.request.key) is call]

    def all_ended(self) -> bool:
        """Whether no call is open or established."""
        return all(call.state is model.CallState.ENDED for call in self.by_key.values())

    def claim_outcome(self, call: model.Call) -> bool:
        """Mark an open call as ended, for its one outcome to be given; False if it has had its outcome."""
        if call.state is not model.CallState.OPEN:
            return False
        call.state = model.CallState.ENDED
        self.open_count -= 1
        self.outcome_count += 1
        return True

    def retain_undelivered(
        self, call: model.Call, message: model.CallerMessage, timer: model.Cancellable
    ) -> None:
        """Keep an ended call for a caller that is not connected; its timer removes it later."""
        call.undelivered, call.expiry_timer = message, timer
        self.by_key[call.request.key] = call
        if call.detached_from is not None:
            self._detached.setdefault(call.detached_from, {})[call.request.key] = call

    def retain_end(self, call: model.Call, message: model.Ended, timer: model.Cancellable) -> None:
        """Keep the end of an established call that is not yet known to be delivered."""
        self.retain_undelivered(call, message, timer)
        self.undelivered_ends[call.request.key] = call

    def remove(self, call: model.Call, now_ms: float) -> None:
        """Remove the call and cancel its timer; a newer call of the same key stays."""
        if call.expiry_timer is not None:
            call.expiry_timer.cancel()
        if self.by_key.get(call.request.key) is call:
            del self.by_key[call.request.key]
            if call.state is model.CallState.ENDED:
                self.finished.add(call, now_ms)
        self.undelivered_ends.pop(call.request.key, None)
        if call.detached_from is not None:
            self._remove_detached(call, call.detached_from)

    def _remove_detached(self, call: model.Call, origin: model.Client) -> None:
        found = self._detached.get(origin, {})
        if found.get(call.request.key) is call:
            del found[call.request.key]
            if not found:
                del self._detached[origin]

    def start_release_gap(self, key: int, until_ms: float) -> Callable[[], None]:
        """Delay a new call of this key until then; returns the callback to run at that time."""
        self._release_gap_ends[key] = until_ms

        def end_gap() -> None:
            if self._release_gap_ends.get(key) == until_ms:
                del self._release_gap_ends[key]

        return end_gap

    def record_reset(self, key: int, server: str) -> Callable[[], None]:
        """Record a reset attempt; returns the callback to run once it can no longer be answered."""
        self._recent_resets[key] = server
        return lambda: self._remove_reset(key)

    def _remove_reset(self, key: int) -> None:
        self._recent_resets.pop(key, None)

    def was_reset_at(self, call_id: str, server: str) -> bool:
        """Whether an attempt of the call was recently reset at the server."""
        return self._recent_resets.get(int(call_id, 16)) == server
