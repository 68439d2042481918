"""What the system says of a process: processor time, memory, threads, descriptors, waits (Linux's /proc)."""

from __future__ import annotations

import contextlib
import os
from dataclasses import dataclass
from pathlib import Path

TICKS_S = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
VOLUNTARY = "\nvoluntary_ctxt_switches:"


@dataclass(frozen=True, slots=True)
class ProcessStats:
    """Processor time since its start, resident memory, threads and open descriptors, and how often one of its
    threads has gone to sleep."""

    cpu_s: float
    rss_mb: float
    threads: int
    descriptors: int
    switches: int


def process_stats(pid: int) -> ProcessStats:
    """Read them now; OSError where the process has ended."""
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    # Counted from the third field of proc(5): utime is the 14th, stime the 15th, num_threads the 20th.
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_S
    resident_pages = int((folder / "statm").read_text().split()[1])
    descriptors = len(os.listdir(folder / "fd"))
    return ProcessStats(cpu_s, resident_pages * PAGE_MB, int(fields[17]), descriptors, _switches(folder))


def _switches(folder: Path) -> int:
    """Voluntary context switches of the threads that live."""
    count = 0
    for task in (folder / "task").iterdir():
        with contextlib.suppress(FileNotFoundError):  # the thread has ended meanwhile
            status = (task / "status").read_text()
            count += int(status.partition(VOLUNTARY)[2].split(maxsplit=1)[0])
    return count
