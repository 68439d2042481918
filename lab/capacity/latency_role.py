"""Where the time of a call goes: each hand-over between threads and each part on one thread, by itself."""

from __future__ import annotations

import json
import queue
import signal
import tempfile
import threading
import time
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from lab.capacity.caller import Placed
from lab.capacity.proxy_role import (
    ALLOWED_DESCRIPTORS,
    ALLOWED_MB,
    CALLS_PER_S,
    SUBSET_SIZE,
    Bench,
    BothWays,
    latencies,
)
from lab.capacity.traced_proxy import Point, Stamp
from lab.fleet.processes import PROGRAM

SERVERS, QUICK_SERVERS = 1100, 12
CALLS_S, QUICK_CALLS_S = 16.0, 1.5
WARM_S = 2.0
REPEATS = 2
HAND_OVERS = 400  # between two threads of a process that does nothing else
HAND_OVER_GAP_S = 1.0 / CALLS_PER_S  # as far apart as calls
STOP_S = 12.0  # a proxy that was told to stop has ended by then
PERCENTILES = (50.0, 99.0)


@dataclass(frozen=True, slots=True)
class Stage:
    """A part of a call's way; None where it begins or ends at the caller."""

    name: str
    start: Point | None
    end: Point | None
    on_one_thread: bool = False


STAGES = (
    Stage("caller's write to the session's thread", None, Point.SET_UP_READ),
    Stage("session: parse the set-up", Point.SET_UP_READ, Point.SET_UP_QUEUED, True),
    Stage("hand-over to the planner's thread", Point.SET_UP_QUEUED, Point.SET_UP_TAKEN),
    Stage("planner: decide", Point.SET_UP_TAKEN, Point.SET_UP_DECIDED, True),
    Stage("planner: write the set-up", Point.SET_UP_DECIDED, Point.SET_UP_WRITTEN, True),
    Stage("booking server, to the links' thread", Point.SET_UP_WRITTEN, Point.ANSWER_READ),
    Stage("links: parse the answer", Point.ANSWER_READ, Point.ANSWER_QUEUED, True),
    Stage("hand-over to the planner's thread, back", Point.ANSWER_QUEUED, Point.ANSWER_TAKEN),
    Stage("planner: write the answer", Point.ANSWER_TAKEN, Point.ANSWER_WRITTEN, True),
    Stage("proxy's write to the caller", Point.ANSWER_WRITTEN, None),
)


class NoStampsError(RuntimeError):
    """The traced proxy wrote no stamps: its log says why."""


def percentiles_ms(values_ns: Iterable[int]) -> dict[str, float]:
    """By name, in milliseconds; empty without a value."""
    values = list(values_ns)
    if not values:
        return {}
    found = np.percentile(np.asarray(values) / 1e6, PERCENTILES)
    return {f"p{name:g}": round(float(value), 4) for name, value in zip(PERCENTILES, found, strict=True)}


def stage_rows(stamps: Sequence[Stamp], placed: dict[str, Placed]) -> list[dict[str, Any]]:
    """A row for each stage: latency, and processor time of a stage that lies on one thread."""
    by_call: dict[str, dict[int, tuple[int, int]]] = defaultdict(dict)
    for stamp in stamps:
        by_call[stamp.call].setdefault(stamp.point, (stamp.at_ns, stamp.thread_ns))
    whole = [(found, placed[call]) for call, found in by_call.items() if _is_whole(found, placed.get(call))]
    return [_stage_row(stage, whole) for stage in STAGES]


def _stage_row(stage: Stage, whole: Sequence[tuple[dict[int, tuple[int, int]], Placed]]) -> dict[str, Any]:
    start, end = stage.start, stage.end
    took_ns, processor_ns = [], []
    for found, call in whole:
        began_ns = call.sent_ns if start is None else found[start][0]
        ended_ns = call.answered_ns if end is None else found[end][0]
        took_ns.append(ended_ns - began_ns)
        if stage.on_one_thread and start is not None and end is not None:
            processor_ns.append(found[end][1] - found[start][1])
    return {
        "stage": stage.name,
        "took_ms": percentiles_ms(took_ns),
        "processor_ms": percentiles_ms(processor_ns),
    }


def _is_whole(found: dict[int, tuple[int, int]], placed: Placed | None) -> bool:
    return placed is not None and placed.answered_ns > 0 and len(found) == len(Point)


def hand_over_ms(gap_s: float, count: int) -> dict[str, float]:
    """What the machine takes to hand an object to a thread that waits on a queue, in an idle process."""
    inbox: queue.SimpleQueue[int | None] = queue.SimpleQueue()
    took_ns: list[int] = []

    def receive() -> None:
        while (sent_ns := inbox.get()) is not None:
            took_ns.append(time.monotonic_ns() - sent_ns)

    thread = threading.Thread(target=receive, daemon=True)
    thread.start()
    for _ in range(count):
        time.sleep(gap_s)
        inbox.put(time.monotonic_ns())
    inbox.put(None)
    thread.join()
    return percentiles_ms(took_ns)


def read_stamps(path: Path) -> list[Stamp]:
    """NoStampsError where there are none."""
    if not path.exists():
        raise NoStampsError(f"{path.name} was not written")
    return [Stamp(*values) for values in json.loads(path.read_text())]


def measure(servers: int, calls_s: float, extra: dict[str, Any], traced: bool) -> dict[str, Any]:
    """One row: calls at an even pace through a proxy, each hand-over stamped where traced."""
    with tempfile.TemporaryDirectory(prefix="latency-") as folder:
        stamps_file = Path(folder) / "stamps.json"
        module = ("lab.capacity.traced_proxy", str(stamps_file)) if traced else PROGRAM
        with Bench(servers, ALLOWED_MB, ALLOWED_DESCRIPTORS, extra, module) as bench:
            links = bench.await_links()
            with BothWays(bench) as callers:
                callers.place(WARM_S)
                before = bench.sample()
                found = callers.place(calls_s)
                after = bench.sample()
            calls = len(found[0].answered_ms)
            row = {
                "servers": servers,
                "links": links,
                "traced": traced,
                "single": latencies(*found),
                "processor_ms_a_call": round(1000.0 * (after.proxy.cpu_s - before.proxy.cpu_s) / calls, 3),
                "switches_a_call": round((after.proxy.switches - before.proxy.switches) / calls, 2),
            }
            if traced:
                bench.proxy.signal(signal.SIGTERM)
                bench.proxy.wait(STOP_S)
                row["stages"] = stage_rows(read_stamps(stamps_file), callers.proxied.placed)
    return row


def experiment(quick: bool) -> dict[str, Any]:
    """A proxy with a subset of the list, traced and untraced in turn."""
    servers, calls_s, repeats = (QUICK_SERVERS, QUICK_CALLS_S, 1) if quick else (SERVERS, CALLS_S, REPEATS)
    size = min(SUBSET_SIZE, servers // 2)
    extra = {"subset": {"size": size}}
    rows = [measure(servers, calls_s, extra, traced) for _ in range(repeats) for traced in (False, True)]
    return {
        "rows": rows,
        "subset_size": size,
        "calls_per_s": CALLS_PER_S,
        "hand_over_ms": hand_over_ms(HAND_OVER_GAP_S, HAND_OVERS // (10 if quick else 1)),
    }
