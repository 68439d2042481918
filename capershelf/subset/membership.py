"""The members that a proxy has now: its subsets, with substitutes for members that can't be used.

A state machine without I/O.  The host tells it the list, and from time to time which members are unavailable
and at which of the servers that left no call is out or stands; it answers with the changes of the list as the
host is to take them.  A server that leaves the subset is first told to drain, so that its calls end as they
would have, and is gone once it holds none.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from capershelf.core.model import LocatedServer
from capershelf.interface import ServerStatus
from capershelf.subset.selection import Candidate, check_size, fixed_order, share

RETURN_MS = 5000.0  # a member is back for so long before its substitute is let go
SUBSTITUTES_PER_S = 2.0  # substitutes that may join a second, times the size; so many may join at once


@dataclass(frozen=True, slots=True)
class Update:
    """Changes of the list for the host; `urgent` are to be connected to at once, others when convenient."""

    servers: tuple[LocatedServer, ...] = ()
    urgent: tuple[str, ...] = ()


@dataclass(slots=True)
class Entry:
    """A listed server."""

    located: LocatedServer
    member: bool = False  # the host has it as the list does
    leaving: bool = False  # the host has it as one that drains, since it is not wanted here any more
    unavailable: bool = False
    recovered_ms: float = -math.inf  # when it was last found available after it was not

    @property
    def active(self) -> bool:
        return self.located.listed.status is ServerStatus.ACTIVE

    @property
    def may_leave(self) -> bool:
        """Not where it drains, which the list ends, nor out of reach: releases may have to be said there."""
        return self.active and not self.unavailable

    def usable(self, now_ms: float) -> bool:
        """Whether calls can count on it."""
        return not self.unavailable and now_ms - self.recovered_ms >= RETURN_MS


@dataclass(slots=True)
class Service:
    """One service's listed servers, in the order that they have for this slot while they are active."""

    entries: dict[str, Entry] = field(default_factory=dict)
    order: list[str] = field(default_factory=list)
    base: frozenset[str] = frozenset()  # the subset proper, without substitutes
    sender_share: float = 1.0  # the part of all proxies that have a given server in their subset
    grown: bool = False  # by servers that the host has not heard of yet


class Membership:
    """The subsets of all services for one slot of the fleet.

    ramp_ms: a server that has started so lately is cold.  places: those that calls go to from here; servers
    elsewhere are never members.  None: all.  SubsetSizeError for a size that is too small.
    """

    def __init__(self, slot: int, size: int, ramp_ms: float, places: frozenset[int] | None = None) -> None:
        check_size(size)
        self._slot, self._size, self._ramp_ms, self._places = slot, size, ramp_ms, places
        self._services: dict[str, Service] = {}
        self._service_of: dict[str, str] = {}
        self._allowance, self._allowance_ms = SUBSTITUTES_PER_S * size, -math.inf

    @property
    def members(self) -> frozenset[str]:
        """The servers that the host has as the list does: the subsets and their substitutes."""
        services = self._services.values()
        return frozenset(name for one in services for name, entry in one.entries.items() if entry.member)

    def update_list(
        self, now_ms: float, servers: Iterable[LocatedServer], kept: frozenset[str] | None
    ) -> Update:
        """The list's changes.  kept: with a whole list, the names of entries that stay though it has them
        not; None: these are changes alone."""
        changed: list[LocatedServer] = []
        named: set[str] = set()
        for located in servers:
            named.add(located.listed.server)
            changed += self._take_entry(located)
        if kept is not None:
            for server in [one for one in self._service_of if one not in named | kept]:
                changed += self._remove(server)
        urgent: list[str] = []
        for service in self._services.values():
            self._put_in_order(service)
            joined = self._balance(now_ms, service, changed)
            urgent += [] if service.grown else joined
            service.grown = False
        return Update(tuple(changed), tuple(urgent))

    def review(
        self, now_ms: float, unavailable: Callable[[str], bool], idle: Callable[[str], bool]
    ) -> Update:
        """Look at members again: substitutes join and leave, and what has left is let go of once idle."""
        changed: list[LocatedServer] = []
        urgent: list[str] = []
        for service in self._services.values():
            for server, entry in service.entries.items():
                if entry.leaving and idle(server):
                    entry.leaving = False
                    changed.append(_with_standing(entry.located, ServerStatus.REMOVED))
                elif entry.member:
                    _note(now_ms, entry, unavailable(server))
            urgent += self._balance(now_ms, service, changed)
        return Update(tuple(changed), tuple(urgent))

    # -- the list -------------------------------------------------------------------------------------
    def _take_entry(self, located: LocatedServer) -> list[LocatedServer]:
        """One entry of the list; what the host has to hear of it, other than that it joins."""
        server, place = located.listed.server, located.listed.pool
        if located.listed.status is ServerStatus.REMOVED:
            return self._remove(server)
        name = self._service_of.get(server)
        if name is None:
            if located.endpoint and (self._places is None or place in self._places):
                self._service_of[server] = located.service
                service = self._services.setdefault(located.service, Service())
                service.entries[server] = Entry(located)
                service.grown = True
            return []
        if located.endpoint and located.service != name:  # it has changed services: never in both
            return self._remove(server) + self._take_entry(located)
        entry = self._services[name].entries[server]
        entry.located = located if located.endpoint else _with_standing(entry.located, ServerStatus.DRAINING)
        if entry.member:
            return [self._shared(self._services[name], entry)]
        return [_with_standing(entry.located, ServerStatus.DRAINING)] if entry.leaving else []

    def _remove(self, server: str) -> list[LocatedServer]:
        """The list has it no more."""
        if (name := self._service_of.pop(server, None)) is None:
            return []
        entry = self._services[name].entries.pop(server)
        return [_with_standing(entry.located, ServerStatus.REMOVED)] if entry.member or entry.leaving else []

    def _put_in_order(self, service: Service) -> None:
        active = [
            Candidate(server, entry.located.zone) for server, entry in service.entries.items() if entry.active
        ]
        service.order = fixed_order(self._slot, self._size, active)
        service.base = frozenset(service.order[: self._size])
        service.sender_share = share(self._size, len(active))

    # -- members --------------------------------------------------------------------------------------
    def _balance(self, now_ms: float, service: Service, changed: list[LocatedServer]) -> list[str]:
        """Have the wanted servers join and the others leave; who has joined."""
        wanted = self._wanted(now_ms, service)
        joined = []
        for server, entry in service.entries.items():
            if server in wanted and not entry.member:
                entry.member, entry.leaving, entry.unavailable = True, False, False
                changed.append(self._shared(service, entry))
                joined.append(server)
            elif entry.member and entry.may_leave and server not in wanted:
                entry.member, entry.leaving = False, True
                changed.append(_with_standing(entry.located, ServerStatus.DRAINING))
        return joined

    def _wanted(self, now_ms: float, service: Service) -> set[str]:
        """The subset, and in the fixed order so many more that `size` of them can be used."""
        wanted: set[str] = set()
        usable = 0
        for server in service.order:
            if usable >= self._size:
                break
            entry = service.entries[server]
            if server in service.base or entry.member or self._may_substitute(now_ms, entry):
                wanted.add(server)
                usable += entry.usable(now_ms)
        return wanted

    def _may_substitute(self, now_ms: float, entry: Entry) -> bool:
        """At a bounded rate, and none that is cold: its budget is shared by the subsets that it is in."""
        started_ms = entry.located.listed.started_ms
        if started_ms is not None and now_ms - started_ms < self._ramp_ms:
            return False
        most = SUBSTITUTES_PER_S * self._size
        passed_s = max(0.0, now_ms - self._allowance_ms) / 1000.0
        self._allowance = min(most, self._allowance + passed_s * most)
        self._allowance_ms = now_ms
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _shared(self, service: Service, entry: Entry) -> LocatedServer:
        """The entry with the share of all proxies that may send to it while cold; 0 for a substitute."""
        server = entry.located.listed.server
        in_base = server in service.base
        listed = dataclasses.replace(
            entry.located.listed, sender_share=service.sender_share if in_base else 0.0
        )
        return dataclasses.replace(entry.located, listed=listed)


def _note(now_ms: float, entry: Entry, unavailable: bool) -> None:
    if entry.unavailable and not unavailable:
        entry.recovered_ms = now_ms
    entry.unavailable = unavailable


def _with_standing(located: LocatedServer, standing: ServerStatus) -> LocatedServer:
    return dataclasses.replace(located, listed=dataclasses.replace(located.listed, status=standing))
