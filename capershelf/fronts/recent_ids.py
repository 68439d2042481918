"""A bounded memory of call ids."""

from __future__ import annotations


class RecentIds:
    """The ids that were added last; beyond the limit the oldest are dropped.  Not thread-safe."""

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: dict[str, None] = {}

    def add(self, call_id: str) -> None:
        """Remember an id, as the latest."""
        self._ids.pop(call_id, None)
        self._ids[call_id] = None
        if len(self._ids) > self._max_ids:
            del self._ids[next(iter(self._ids))]

    def take(self, call_id: str) -> bool:
        """Forget an id; returns whether it was remembered."""
        return self._ids.pop(call_id, self) is None

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._ids
