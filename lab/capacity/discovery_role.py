"""Discovery with growing numbers of watchers: at rest, one change, a zone lost and back, all coming back.

The notice board is hollow: its processor time is the stand-in's.  Polls, bytes and times are as they are.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from lab.capacity import notice_board, watchers
from lab.capacity.hollow import HollowProcess

SIZES = (10, 50, 100, 300, 600, 1100)
QUICK_SIZES = (4, 8, 12, 16, 20)
SERVERS = 1100
ZONE = tuple(number for number in range(SERVERS) if number % notice_board.ZONES == 0)  # 138 servers
REST_S, QUICK_S = 4.0, 1.5
SPREAD_BY_S = 60.0
LOOK_S = 0.02
MISSED_CHANGES = 88  # of 2,100 changes a day, those of one hour


class Discovery:
    """A board with its watchers; ended as a context."""

    def __init__(self, count: int) -> None:
        endpoints = tuple(f"127.60.{number // 250}.{number % 250 + 1}:5060" for number in range(SERVERS))
        self.board = HollowProcess(notice_board.NoticeBoard, notice_board.Options(endpoints))
        self.address: str = self.board.ask(notice_board.GetAddress())
        self.watchers = HollowProcess(watchers.Watchers, watchers.Options(self.address, count))
        self.count, self.last = count, 1

    def __enter__(self) -> Discovery:
        return self

    def __exit__(self, *_: object) -> None:
        self.watchers.end()
        self.board.end()

    def change(self, numbers: tuple[int, ...], state: str) -> None:
        self.last = self.board.ask(notice_board.Change(numbers, state))

    def measured(self, act: Callable[[], None]) -> dict[str, float]:
        """Do it, wait until all watchers have the last event; time, bytes and processor time."""
        before, used, began_s = (
            self.board.ask(notice_board.GetCounters()),
            self.board.stats(),
            time.monotonic(),
        )
        act()
        progress = self._await()
        after, stats = self.board.ask(notice_board.GetCounters()), self.board.stats()
        return {
            "have": progress.have,
            "last_s": round(progress.last_s - began_s, 4),
            "polls": after.polls - before.polls,
            "bytes": after.bytes_out - before.bytes_out,
            "cpu_s": round(stats.cpu_s - used.cpu_s, 3),
        }

    def _await(self) -> watchers.Progress:
        by_s = time.monotonic() + SPREAD_BY_S
        while True:
            found: watchers.Progress = self.watchers.ask(watchers.GetProgress(self.last))
            if found.have >= self.count or time.monotonic() > by_s:
                return found
            time.sleep(LOOK_S)


def measure(count: int, rest_s: float) -> dict[str, Any]:
    """One row: a board with so many watchers."""
    with Discovery(count) as discovery:
        discovery.watchers.ask(watchers.Connect(1))
        time.sleep(min(1.0, rest_s))
        before, used, began_s = (
            discovery.board.ask(notice_board.GetCounters()),
            discovery.board.stats(),
            time.monotonic(),
        )
        time.sleep(rest_s)
        after, stats = discovery.board.ask(notice_board.GetCounters()), discovery.board.stats()
        took_s = time.monotonic() - began_s
        row: dict[str, Any] = {
            "watchers": count,
            "rest": {
                "polls_per_s": round((after.polls - before.polls) / took_s, 2),
                "bytes_per_s": round(
                    (after.bytes_in + after.bytes_out - before.bytes_in - before.bytes_out) / took_s, 1
                ),
                "core_percent": round(100.0 * (stats.cpu_s - used.cpu_s) / took_s, 3),
            },
            "one_change": discovery.measured(lambda: discovery.change((1,), "draining")),
            "zone_lost": discovery.measured(lambda: discovery.change(ZONE, "removed")),
            "zone_back": discovery.measured(lambda: discovery.change(ZONE, "up")),
        }
        known = discovery.last
        discovery.watchers.ask(watchers.Disconnect())
        for number in range(MISSED_CHANGES):
            discovery.change((number % SERVERS,), "draining" if number % 2 else "up")
        row["coming_back"] = discovery.measured(lambda: discovery.watchers.ask(watchers.Connect(known)))
    return row


def experiment(quick: bool) -> dict[str, Any]:
    sizes, rest_s = (QUICK_SIZES, QUICK_S) if quick else (SIZES, REST_S)
    return {
        "rows": [measure(size, rest_s) for _ in range(1 if quick else 2) for size in sizes],
        "listed": SERVERS,
        "zone": len(ZONE),
        "missed_changes": MISSED_CHANGES,
    }
