"""What remembering costs: on a planner's thread, on the disk and at a start, by the number of servers."""

from __future__ import annotations

import statistics
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from capershelf.core import model as m
from capershelf.interface import LearnedServer, ListedServer, ServerStatus
from capershelf.memory.ageing import HalfLives
from capershelf.memory.disk import Folder
from capershelf.memory.planner_memory import (
    MAX_SERVERS_PER_COLLECT,
    PlannerMemory,
    Snapshot,
    PlannerMemorySettings,
)
from capershelf.memory.records import Checkpoint
from capershelf.memory.schedule import merge_records
from capershelf.memory.store import Store

ROUNDS = 200
NOW_MS = 1_700_000_000_000.0


class Door:
    """A module that has always something to say, a little different each time."""

    def __init__(self) -> None:
        self.count = 0

    def learned(self, server: str) -> LearnedServer:
        self.count += 1
        return LearnedServer(server, 20.0 + self.count % 7, 5.0, 8.0, 40.0)

    def new_call_rate(self) -> float:
        return 0.1


def took_ms(what: Callable[[], object]) -> float:
    began = time.perf_counter()
    what()
    return 1000.0 * (time.perf_counter() - began)


def touch_all(keeper: PlannerMemory, uids: list[str]) -> None:
    for uid in uids:
        keeper.mark_changed(uid)


def keeper_of(
    servers: int, book: Checkpoint | None
) -> tuple[PlannerMemory, m.ServerListUpdate, list[Snapshot]]:
    handed: list[Snapshot] = []
    news = m.ServerListUpdate(
        1,
        True,
        tuple(
            m.LocatedServer(
                ListedServer(f"server-{n:06d}", n % 4, ServerStatus.ACTIVE, NOW_MS - 1e6), f"10.0.0.1:{n}"
            )
            for n in range(servers)
        ),
        reports_all_starts=True,
    )
    terms = PlannerMemorySettings(0, 1, 4, HalfLives(), 7 * 86_400_000.0)
    return PlannerMemory(terms, book, handed.append), news, handed


def cost(servers: int) -> dict[str, float]:
    """Times in milliseconds, the middle of many."""
    keeper, news, handed = keeper_of(servers, None)
    door = Door()
    keeper.recall(news, NOW_MS)
    for located in news.servers:
        keeper.mark_changed(located.listed.server)
    everything = took_ms(lambda: keeper.collect(door, NOW_MS, True))
    sweeps, touches = [], []
    for number in range(ROUNDS):
        handed[-1].taken = True  # each sweep hands a snapshot over
        touched = [
            f"server-{(number * MAX_SERVERS_PER_COLLECT + n) % servers:06d}"
            for n in range(MAX_SERVERS_PER_COLLECT)
        ]
        touches.append(took_ms(partial(touch_all, keeper, touched)) / MAX_SERVERS_PER_COLLECT)
        sweeps.append(took_ms(partial(keeper.collect, door, NOW_MS + 1000.0 * (number + 1), False)))
    book = Checkpoint(
        release="lab",
        proxy="p",
        generation=1,
        saved_ms=NOW_MS,
        senders=4,
        asked_per_s=100.0,
        servers=merge_records([handed[-1].servers]),
    )
    with tempfile.TemporaryDirectory() as folder:
        store = Store(Folder(Path(folder)), "p", None)
        size = store.save(book)
        writes = [took_ms(lambda: store.save(book)) for _ in range(20)]
        reads = [took_ms(store.load) for _ in range(20)]
    starts = []
    for _ in range(5):
        again, news, _ = keeper_of(servers, book)
        starts.append(took_ms(partial(again.recall, news, NOW_MS + 1000.0)))
    return {
        "servers": servers,
        "touch_ms": round(statistics.median(touches), 5),
        "snapshot_ms": round(statistics.median(sweeps), 4),
        "snapshot_p99_ms": round(sorted(sweeps)[int(0.99 * ROUNDS)], 4),
        "everything_ms": round(everything, 2),
        "bytes": size,
        "write_ms": round(statistics.median(writes), 2),
        "read_ms": round(statistics.median(reads), 2),
        "start_ms": round(statistics.median(starts), 2),
    }
