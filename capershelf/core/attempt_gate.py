"""The final check of an attempt, made right before the first byte of its set-up is written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from capershelf.core import model

if TYPE_CHECKING:
    from capershelf.core.planner import Planner


class AttemptGate:
    """Rechecks an attempt's preconditions right before its first byte is written.

    Runs on whichever thread writes, so it only reads state and does not end the attempt itself.  Each
    condition also reaches the planner as an event, but that event may still be queued when the byte is
    written.
    """

    __slots__ = ("_planner", "_call", "_attempt", "_server")

    def __init__(
        self, planner: Planner, call: model.Call, attempt: model.Attempt, server: model.ServerState
    ) -> None:
        self._planner, self._call, self._attempt, self._server = planner, call, attempt, server

    def may_write(self) -> bool:
        """Whether the set-up may still be written.  Thread-safe."""
        call, attempt, server = self._call, self._attempt, self._server
        now_ms = self._planner.clock.now_ms()
        caller = call.caller
        return (
            call.state is model.CallState.OPEN
            and call.attempt is attempt
            and not attempt.ended  # it is the call's only attempt
            and now_ms < min(attempt.deadline_ms, call.request.expires_ms)
            and now_ms <= attempt.begin_by_ms  # limit from the cold-server budget
            and now_ms >= self._planner.earliest_begin_ms(call, server.id)
            and not (server.draining or server.removed)
            and server.started_ms <= attempt.server_started_ms  # the process has not been replaced
            and not self._planner.has_pending_updates()  # one of which may set it to draining
            and (caller is None or caller.is_waiting(call.request.id))
        )

    def on_dropped(self) -> None:
        """Tell the planner that the set-up was not written and never will be."""
        self._planner.inbox.put(model.SetUpDropped(self._call.request.key, self._attempt))
