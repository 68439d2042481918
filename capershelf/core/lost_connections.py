"""Bounds how long calls count as established after the connection to their booking server was lost.

A new connection may lead to another process at the same address, which does not know the calls.  Neither the
new connection nor anything that the process says of itself tells the two apart.  Only a message about a call
from before the loss does: it proves that the process has lived since that call was established.  The calls
that nothing has confirmed in time are ended as interrupted.  Owned by the planner's thread.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Protocol

from capershelf.core import model
from capershelf.core.clock import Clock
from capershelf.core.timers import Timer

# From the last message on the lost connection, after which the process may have ended at any time.  Callers
# must be told within 8 s of that.
CONFIRMATION_TIMEOUT_MS = 6500.0


class EstablishedCalls(Protocol):
    """What is needed of the planner."""

    def established_at(self, server: str) -> list[model.Call]:
        """The calls established at the server."""

    def interrupt_unconfirmed(self, server: str, calls: Iterable[model.Call]) -> None:
        """End these calls, and release them at the server."""


class LostConnections:
    """Keeps which calls still have to be confirmed, and ends those that are not."""

    def __init__(
        self,
        clock: Clock,
        schedule: Callable[[float, Callable[[], None]], Timer],
        calls: EstablishedCalls,
    ) -> None:
        self._clock, self._schedule, self._calls = clock, schedule, calls
        self._unconfirmed: set[str] = set()  # servers with calls that have to be confirmed

    def connection_lost(self, server: str, last_message_ms: float) -> None:
        """The connection to the server was lost; last_message_ms: when the last message came on it."""
        found = [
            call
            for call in self._calls.established_at(server)
            if call.unconfirmed_since_ms == math.inf  # an earlier loss counts from an earlier message
        ]
        for call in found:
            call.unconfirmed_since_ms = last_message_ms
        if found:
            self._unconfirmed.add(server)
            self._schedule(last_message_ms + CONFIRMATION_TIMEOUT_MS, lambda: self._check(server))

    def confirm(self, server: str, known: model.Call) -> None:
        """The process at the server knows this call, so that it has those established since as well."""
        if server not in self._unconfirmed:
            return
        calls = self._calls.established_at(server)
        for call in calls:
            if call.established_ms >= known.established_ms:
                call.unconfirmed_since_ms = math.inf
        self._forget_if_confirmed(server, calls)

    def _forget_if_confirmed(self, server: str, calls: Iterable[model.Call]) -> None:
        if all(call.unconfirmed_since_ms == math.inf for call in calls):
            self._unconfirmed.discard(server)

    def _check(self, server: str) -> None:
        latest_ms = self._clock.now_ms() - CONFIRMATION_TIMEOUT_MS
        overdue = [
            call for call in self._calls.established_at(server) if call.unconfirmed_since_ms <= latest_ms
        ]
        if overdue:
            self._calls.interrupt_unconfirmed(server, overdue)
        self._forget_if_confirmed(server, self._calls.established_at(server))
