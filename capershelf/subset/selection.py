"""Selects the servers of a service for a proxy's slot, and the order in which substitutes replace them.

Each zone contributes members in proportion to its servers, rounded by systematic sampling over the zones with
a start derived from the slot.  Within a zone the servers with the lowest sequence positions for the slot are
selected.  So all servers are in about equally many subsets.  Adding or removing one changes only the subsets
that it enters or leaves, and a few by the rounding over the zones.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from capershelf.subset.sequence import RANGE, position, seed_of

ZONES_SEED = seed_of("zones")
MIN_SIZE = 4  # two zones, and in each a second server for a call that was refused


class SubsetSizeError(ValueError):
    """subset.size is less than MIN_SIZE."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be selected."""

    server: str
    zone: str = ""


def check_size(size: int) -> None:
    """Raise SubsetSizeError for a size with too few members for two zones and further attempts."""
    if size < MIN_SIZE:
        raise SubsetSizeError(
            f"subset.size must be {MIN_SIZE} or more, not {size}: two zones, and a second server in each"
        )


def fixed_order(slot: int, size: int, candidates: Iterable[Candidate]) -> list[str]:
    """All servers of a service in this slot's order: first the `size` members, then their substitutes."""
    by_zone: dict[str, list[tuple[int, str]]] = {}
    for candidate in candidates:
        offset = position(slot, seed_of(candidate.server))
        by_zone.setdefault(candidate.zone, []).append((offset, candidate.server))
    for servers in by_zone.values():
        servers.sort()
    chosen: list[tuple[int, str]] = []
    substitutes: list[tuple[int, str]] = []
    for zone, count in _members_per_zone(slot, size, by_zone).items():
        chosen += by_zone[zone][:count]
        substitutes += by_zone[zone][count:]
    return [server for _, server in sorted(chosen) + sorted(substitutes)]


def proxy_share(size: int, servers: int) -> float:
    """The part of all proxies that have a given one of the service's servers in their subset."""
    return min(1.0, size / servers) if servers else 1.0


def _members_per_zone(slot: int, size: int, by_zone: dict[str, list[tuple[int, str]]]) -> dict[str, int]:
    """Members per zone, in proportion to its servers; from at least two zones if there are two."""
    total = sum(map(len, by_zone.values()))
    if size >= total:
        return {zone: len(servers) for zone, servers in by_zone.items()}
    start = position(slot, ZONES_SEED) / RANGE
    counts, servers_before, members_before = {}, 0, 0
    for zone in sorted(by_zone):
        servers_before += len(by_zone[zone])
        members = int(size * servers_before / total + start)
        counts[zone] = members - members_before
        members_before = members
    largest = max(counts, key=lambda zone: (counts[zone], zone))
    if counts[largest] == size and len(counts) > 1:
        other = max((zone for zone in counts if zone != largest), key=lambda zone: (len(by_zone[zone]), zone))
        counts[largest] -= 1
        counts[other] += 1
    return counts
