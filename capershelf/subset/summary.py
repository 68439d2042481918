"""Summarizes a configured subset for `check-config`."""

from __future__ import annotations

from collections import Counter

from capershelf.config import Config
from capershelf.core.model import LocatedServer
from capershelf.interface import ServerStatus
from capershelf.registry.board import parse_notices
from capershelf.subset.selection import proxy_share


def summary(config: Config) -> str:
    """Members and links per proxy, computed from the servers that the configuration lists at the start."""
    assert config.subset is not None
    size = config.subset.size
    listed: dict[str, LocatedServer] = {}
    for update in parse_notices(config.known, -1)[1]:
        listed |= {located.listed.server: located for located in update.servers}
    active = [located for located in listed.values() if located.listed.status is ServerStatus.ACTIVE]
    services = Counter(located.service for located in active)
    links = sum(min(size, count) for count in services.values())
    percentages = [100.0 * proxy_share(size, count) for count in services.values()]
    text = f"up to {size} servers of each service"
    if not active:
        return f"{text}; the configuration lists none at the start"
    shares = (
        f"{min(percentages):.0f}%"
        if min(percentages) == max(percentages)
        else f"{min(percentages):.0f} to {max(percentages):.0f}%"
    )
    link_counts = f"{links} links to {len(active)} listed in {len(services)} service(s)"
    return f"{text}: {link_counts}, each to {shares} of the proxies"
