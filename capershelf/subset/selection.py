"""Which servers of a service a proxy's slot selects, and in which order others take their places.

Each zone gives as many members as its part of the service's servers: the whole number by systematic sampling
over the zones, with the slot's position as the start.  Within a zone the servers with the lowest positions of
the slot are taken.  So each server is in an even number of subsets; one more or less changes only the subsets
that it enters or leaves, and a few at the zones' rounding.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from capershelf.subset.sequence import RANGE, position, seed_of

ZONES_SEED = seed_of("zones")
MIN_SIZE = 4  # two zones, and in each a second server for a call that was turned away


class SubsetSizeError(ValueError):
    """subset.size is too small to keep the rules: set it to MIN_SIZE or more."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may be selected."""

    server: str
    zone: str = ""


def check_size(size: int) -> None:
    """SubsetSizeError for a size below what zones and further attempts need."""
    if size < MIN_SIZE:
        raise SubsetSizeError(
            f"subset.size must be {MIN_SIZE} or more, not {size}: two zones, and a second server in each"
        )


def fixed_order(slot: int, size: int, candidates: Iterable[Candidate]) -> list[str]:
    """All servers of a service in this slot's order: the subset, `size` of them, then its substitutes."""
    by_zone: dict[str, list[tuple[int, str]]] = {}
    for one in candidates:
        place = position(slot, seed_of(one.server))
        by_zone.setdefault(one.zone, []).append((place, one.server))
    for servers in by_zone.values():
        servers.sort()
    chosen: list[tuple[int, str]] = []
    rest: list[tuple[int, str]] = []
    for zone, count in _counts(slot, size, by_zone).items():
        chosen += by_zone[zone][:count]
        rest += by_zone[zone][count:]
    return [server for _, server in sorted(chosen) + sorted(rest)]


def share(size: int, servers: int) -> float:
    """The part of all proxies that have a given server of the service in their subset."""
    return min(1.0, size / servers) if servers else 1.0


def _counts(slot: int, size: int, by_zone: dict[str, list[tuple[int, str]]]) -> dict[str, int]:
    """Members from each zone, in proportion to its servers; never all from one zone where there are two."""
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
    full = max(counts, key=lambda zone: (counts[zone], zone))
    if counts[full] == size and len(counts) > 1:
        other = max((zone for zone in counts if zone != full), key=lambda zone: (len(by_zone[zone]), zone))
        counts[full] -= 1
        counts[other] += 1
    return counts
