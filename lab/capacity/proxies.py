"""Real processes of the program, configured as one proxy of the fleet that is planned for."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from lab.capacity import notice_board
from lab.fleet.processes import PROGRAM, Process, free_port

HOST = "127.38.0.1"
FLEET = 1100  # proxies of the whole fleet: waits that grow with group-size are as they will be
PERIOD_MS = 5.0
CLASSES = (("slot-lookup", 2000.0, 1.0), ("slot-confirm", 1500.0, 3.0))
DEADLINE_MS = 9000.0


def settings(places: int, slot: int = 0, fleet: int = FLEET) -> dict[str, Any]:
    """The settings that a platform tells a proxy, for servers at so many places."""
    return {
        "slot-no": slot,
        "group-size": fleet,
        "period": PERIOD_MS,
        "bounds": {"cancel": True, "connect-timeout": 500.0, "max-attempts": 6, "may-probe": True},
        "contract": {
            "answer-slack": 20.0,
            "cold-from": 0.3,
            "drain-grace": 2000.0,
            "fall": 1000.0,
            "ramp-time": 14000.0,
            "tip-multiple": 3.0,
        },
        "family-info": {
            "release": 200.0,
            "t1": 500.0,
            "topology": "groups",
            "channels-needed": [1, 1],
            "pools-by-class": [list(range(places))] * len(CLASSES),
            "call-length": [5000.0] * len(CLASSES),
        },
        "telemetry": {"via": "piggyback", "fields": ["spare", "total", "allowed"]},
        "categories": [
            {"name": name, "aim": aim_ms, "deadline": DEADLINE_MS, "credit": credit, "late-worth": 0.1}
            for name, aim_ms, credit in CLASSES
        ],
    }


def configuration(
    endpoints: list[str], board: str, listen: str, memory_mb: int, descriptors: int
) -> dict[str, Any]:
    """A proxy's whole configuration, with the list that is known at its start."""
    targets = [notice_board.target(number, endpoint) for number, endpoint in enumerate(endpoints)]
    known = {"rev": 1, "notices": [notice_board.event(1, targets, True)]}
    return {
        "name": "proxy",
        "listen": listen,
        "board": board,
        "known": known,
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors},
        "settings": settings(len(endpoints)),
    }


def start_proxy(
    folder: Path,
    endpoints: list[str],
    board: str,
    memory_mb: int,
    descriptors: int,
    extra: dict[str, Any] | None = None,
    module: Sequence[str] = PROGRAM,
) -> tuple[Process, tuple[str, int]]:
    """A running proxy and the address where callers reach it; module: what runs in place of the program."""
    address = HOST, free_port(HOST)
    table = configuration(endpoints, board, f"{address[0]}:{address[1]}", memory_mb, descriptors)
    return Process(folder, "proxy", table | (extra or {}), [], module), address
