"""Reads how much memory this process holds, and bounds what the C library keeps of it."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

try:
    import ctypes
except ImportError:  # an interpreter that was built without it
    ctypes = None  # type: ignore[assignment]

M_ARENA_MAX = -8  # of mallopt(3)
STATM = Path("/proc/self/statm")  # in pages: total, resident, shared, ...


def resident_memory_mb() -> float:
    """The resident memory of this process in MB, shared pages included; 0 if the system does not tell."""
    try:
        resident_pages = int(STATM.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return resident_pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def limit_arenas() -> None:
    """Let all threads share one arena of the C library's allocator; without effect where it has none.

    Hundreds of threads would otherwise leave their freed memory in dozens of arenas.  They hold the
    interpreter's lock whenever they allocate, so that they do not compete for the one arena.
    """
    if ctypes is None:
        return
    with contextlib.suppress(OSError, AttributeError):  # a C library without it
        ctypes.CDLL(None).mallopt(M_ARENA_MAX, 1)
