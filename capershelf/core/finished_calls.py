"""Remembers calls that have ended until their deadlines, so that a repeated set-up is not run again.

A set-up that crosses the close of its connection is sent once more on another one, under the same id.  By
then the call may have had its outcome, on the new connection even, and may have left the call table.
Owned by the planner's thread.
"""

from __future__ import annotations

import weakref
from collections.abc import Iterable
from dataclasses import dataclass

from capershelf.core import model

MAX_FINISHED_CALLS = 8192  # the oldest are dropped


class ConnectionRefs:
    """Connections that are not kept in memory by being remembered here."""

    __slots__ = ("_refs",)

    def __init__(self, connections: Iterable[model.Caller] = ()) -> None:
        self._refs = [weakref.ref(one) for one in connections]

    def add(self, connection: model.Caller) -> None:
        """Remember a connection."""
        self._refs.append(weakref.ref(connection))

    def __contains__(self, connection: model.Caller) -> bool:
        return any(one() is connection for one in self._refs)


@dataclass(frozen=True, slots=True)
class FinishedCall:
    """What is kept of a call that has left the call table."""

    client: model.Client
    call_class: str
    description_hash: int
    was_established: bool
    requested_on: ConnectionRefs
    told_on: ConnectionRefs
    expires_ms: float

    @classmethod
    def of(cls, call: model.Call) -> FinishedCall:
        """What is kept of this call."""
        return cls(
            call.client,
            call.request.call_class,
            hash(call.request.description),
            call.was_established,
            ConnectionRefs(call.requested_on),
            ConnectionRefs(call.told_on),
            call.request.expires_ms,
        )

    def was_told_unasked(self, caller: model.Caller) -> bool:
        """Whether its outcome was sent on this connection before a set-up of its own was handled."""
        return caller in self.told_on and caller not in self.requested_on

    def is_same_set_up(self, request: model.SetUp, caller: model.Caller) -> bool:
        """Whether the set-up is that of the call, sent once more by its client."""
        return (
            self.client == model.Client.of(caller)
            and self.call_class == request.call_class
            and self.description_hash == hash(request.description)
        )


class FinishedCalls:
    """Finished calls by key, in the order of their ends: those that stood, or whose outcome nobody asked for
    where it was sent."""

    def __init__(self) -> None:
        self._by_key: dict[int, FinishedCall] = {}

    def add(self, call: model.Call, now_ms: float) -> None:
        """Remember a call until its deadline, if a set-up under its id is not simply a new call."""
        if call.was_established or any(call.was_told_unasked(one) for one in call.told_on):
            self._drop_expired(now_ms)
            self._by_key.pop(call.request.key, None)
            self._by_key[call.request.key] = FinishedCall.of(call)

    def find(self, key: int, now_ms: float) -> FinishedCall | None:
        """The finished call of this key, if its deadline has not passed."""
        found = self._by_key.get(key)
        return found if found is not None and now_ms < found.expires_ms else None

    def _drop_expired(self, now_ms: float) -> None:
        """Drop the oldest ones, as far as they have expired or are too many."""
        while self._by_key:
            oldest = next(iter(self._by_key))
            if now_ms < self._by_key[oldest].expires_ms and len(self._by_key) < MAX_FINISHED_CALLS:
                return
            del self._by_key[oldest]
