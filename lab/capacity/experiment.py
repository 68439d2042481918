"""Runs the roles and keeps what came of them as one JSON object."""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Callable
from typing import Any

from lab.capacity import (
    control_role,
    discovery_role,
    latency_role,
    module_role,
    proxy_role,
    retry_role,
    server_role,
)

FORMAT = 1

ROLES: dict[str, Callable[[bool], dict[str, Any]]] = {
    "proxy": proxy_role.experiment,
    "latency": latency_role.experiment,
    "module": module_role.experiment,
    "server": server_role.experiment,
    "discovery": discovery_role.experiment,
    "control": control_role.experiment,
    "retry": retry_role.experiment,
}


def run(roles: tuple[str, ...], quick: bool, told: Callable[[str], None]) -> dict[str, Any]:
    """Measure these roles, one after the other; told hears a line for each."""
    found: dict[str, Any] = {
        "experiment": "capacity",
        "format": FORMAT,
        "quick": quick,
        "processors": os.cpu_count(),
        "python": platform.python_version(),
        "roles": {},
    }
    for role in roles:
        began_s = time.monotonic()
        found["roles"][role] = ROLES[role](quick)
        told(f"{role}: {len(found['roles'][role]['rows'])} rows in {time.monotonic() - began_s:.0f} s")
    return found
