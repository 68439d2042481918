"""The soak: many seeds of the day `storm`, several at a time, each in a process of its own."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from lab.fleet.processes import ROOT

# A handful of proxies before few booking servers: short and dense.
SHAPE = ("--proxies", "6", "--servers", "3", "--spares", "3", "--seconds", "10")
SEED_TIMEOUT_S = 120.0


@dataclass(frozen=True, slots=True)
class SeedResult:
    """The result of one seed; text is its summary line and its violations."""

    seed: int
    kept: bool
    tries: int
    text: str


def play_seed(seed: int, options: tuple[str, ...] = ()) -> SeedResult:
    """Run one seed in a process of its own."""
    command = [sys.executable, "-m", "lab", "fleet", "storm", "--seed", str(seed), *SHAPE, "--json", *options]
    try:
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=SEED_TIMEOUT_S, check=False
        )
    except subprocess.TimeoutExpired:
        return SeedResult(seed, False, 0, f"seed {seed}: not over after {SEED_TIMEOUT_S:.0f} s")
    try:
        report = json.loads(done.stdout)
    except ValueError:
        return SeedResult(seed, False, 0, f"seed {seed}: no report\n{done.stderr[-2000:]}")
    text = (
        f"seed {seed}: {report['verdict']}; served {report['served']:.3f}, {report['tries']} tries, "
        f"{report['late_refusals']} refused late"
    )
    if done.returncode:
        text += "\n" + done.stderr.rstrip()
    return SeedResult(seed, done.returncode == 0 and report["verdict"] == "rules kept", report["tries"], text)


def play(seeds: Iterable[int], workers: int, options: tuple[str, ...] = ()) -> Iterator[SeedResult]:
    """Run the seeds, that many at a time, and yield the results in order."""
    with ThreadPoolExecutor(workers) as pool:
        yield from pool.map(lambda seed: play_seed(seed, options), seeds)
