"""The size that the deployment is planned for, and its budgets (the operators' numbers)."""

from __future__ import annotations

SERVERS = 1100  # booking servers, each with its signalling proxy
PROXIES = 1100
SERVICES = 71
CALLS_PER_S = 53_000.0
DEPTH = 9  # services that a call passes at the most
ZONES = 8
CHANGES_PER_DAY = 2100
RESTARTS_PER_DAY = 99
DAY_S = 86_400.0

ADDED_P99_MS = 0.65
IN_FORCE_S = 9.0
CONTROL_CORE_PERCENT = 4.2  # of one core, for each proxy
CONTROL_MB = 64.0
CONTROL_BYTES_PER_S = 3000.0
DESCRIPTORS = 1024  # of one process, as the platform allows on scored days
CONTROL_MACHINES = 4

# Two readings of the calls a second.
CALLS_PER_PROXY_ALL_LEVELS = CALLS_PER_S / PROXIES  # 53,000 counted at every level
CALLS_PER_PROXY_EDGE = CALLS_PER_S * DEPTH / PROXIES  # 53,000 counted at the edge, all of them DEPTH deep
