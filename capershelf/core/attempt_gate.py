"""The last check of an attempt, where the first byte of its set-up is written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from capershelf.core import model as m

if TYPE_CHECKING:
    from capershelf.core.planner import Planner


class AttemptGate:
    """All that must hold where an attempt's first byte is written, with what is known then.

    Asked on whichever thread writes, so it only looks at what others may have changed meanwhile and ends
    nothing by itself.  Each of these conditions is also an event in the planner's inbox in the end; the gate
    is what those events can't come too late for.
    """

    __slots__ = ("_planner", "_call", "_attempt", "_server")

    def __init__(self, planner: Planner, call: m.Call, attempt: m.Attempt, server: m.ServerState) -> None:
        self._planner, self._call, self._attempt, self._server = planner, call, attempt, server

    def may_write(self) -> bool:
        """Whether the set-up may be written now."""
        call, attempt, server = self._call, self._attempt, self._server
        now_ms = self._planner.clock.now_ms()
        caller = call.caller
        return (
            call.state is m.CallState.OPEN
            and call.attempt is attempt
            and not attempt.ended  # no other is out
            and now_ms < min(attempt.deadline_ms, call.request.expires_ms)
            and now_ms <= attempt.begin_by_ms  # the cold budget
            and now_ms >= self._planner.rests_until(call, server.id)
            and not (server.draining or server.removed)
            and server.started_ms <= attempt.server_started_ms  # its process is the one that it was meant for
            and not self._planner.has_news()  # which may say that it drains
            and (caller is None or caller.is_waiting(call.request.id))
        )

    def on_dropped(self) -> None:
        """The set-up was not written, and never will be."""
        self._planner.inbox.put(m.SetUpDropped(self._call.request.key, self._attempt))
