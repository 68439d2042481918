"""What a configured subset comes to, for `check-config`."""

from __future__ import annotations

from collections import Counter

from capershelf.config import Config
from capershelf.core.model import LocatedServer
from capershelf.interface import ServerStatus
from capershelf.registry.board import parse_notices
from capershelf.subset.selection import share


def summary(config: Config) -> str:
    """Members of each service, and links, going by the servers that are known at the start."""
    assert config.subset is not None
    size = config.subset.size
    listed: dict[str, LocatedServer] = {}
    for news in parse_notices(config.known, -1)[1]:
        listed |= {one.listed.server: one for one in news.servers}
    active = [one for one in listed.values() if one.listed.status is ServerStatus.ACTIVE]
    services = Counter(one.service for one in active)
    links = sum(min(size, count) for count in services.values())
    parts = [100.0 * share(size, count) for count in services.values()]
    text = f"up to {size} servers of each service"
    if not active:
        return f"{text}; the configuration lists none at the start"
    shares = f"{min(parts):.0f}%" if min(parts) == max(parts) else f"{min(parts):.0f} to {max(parts):.0f}%"
    linked = f"{links} links to {len(active)} listed in {len(services)} service(s)"
    return f"{text}: {linked}, each to {shares} of the proxies"
