"""What the system says of a process: processor time, memory, threads and descriptors (Linux's /proc)."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
NANOSECONDS = 1e9


@dataclass(frozen=True, slots=True)
class ProcessStats:
    """Processor time since its start, resident memory, threads and open descriptors."""

    cpu_s: float
    rss_mb: float
    threads: int
    descriptors: int


def process_stats(pid: int) -> ProcessStats:
    """Read them now; OSError where the process has ended."""
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    # Counted from the third field of proc(5): utime is the 14th, stime the 15th, num_threads the 20th.
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_S
    resident_pages = int((folder / "statm").read_text().split()[1])
    return ProcessStats(cpu_s, resident_pages * PAGE_MB, int(fields[17]), len(os.listdir(folder / "fd")))
