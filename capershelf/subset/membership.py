"""Tracks the members of a proxy's subsets, and substitutes for members that are unavailable.

A state machine without I/O.  The host passes in the server list, and periodically which members are
unavailable and which draining servers hold no call; each call returns the list changes for the host to apply.
A server that leaves the subset is first marked as draining, so that its calls end normally, and removed once
it holds none.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from capershelf.core.model import LocatedServer
from capershelf.interface import ServerStatus
from capershelf.subset.selection import Candidate, check_size, fixed_order, proxy_share

RECOVERY_HOLD_MS = 5000.0  # time that a recovered member stays available before its substitute is released
SUBSTITUTES_PER_S = 2.0  # substitutes that may join, per member; the burst is one second's


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """List changes for the host, which connects to `urgent` servers at once and to others when convenient."""

    servers: tuple[LocatedServer, ...] = ()
    urgent: tuple[str, ...] = ()


@dataclass(slots=True)
class Entry:
    """State of a listed server."""

    located: LocatedServer
    member: bool = False  # the host has it with the status of the list
    leaving: bool = False  # the host has it as draining, since it left the subset
    unavailable: bool = False
    recovered_ms: float = -math.inf  # when it last became available again

    @property
    def active(self) -> bool:
        return self.located.listed.status is ServerStatus.ACTIVE

    @property
    def may_drain(self) -> bool:
        """Whether it may leave the subset by draining.

        Not if the list has it as draining, since the list then removes it.  Not while it is unavailable,
        since calls may have to be released there once it is back.
        """
        return self.active and not self.unavailable

    def usable(self, now_ms: float) -> bool:
        """Whether it counts towards the subset's size: available, and not only just recovered."""
        return not self.unavailable and now_ms - self.recovered_ms >= RECOVERY_HOLD_MS


@dataclass(slots=True)
class Service:
    """The listed servers of one service, and the order of the active ones for this slot."""

    entries: dict[str, Entry] = field(default_factory=dict)
    order: list[str] = field(default_factory=list)
    subset: frozenset[str] = frozenset()  # the regular members, without substitutes
    sender_share: float = 1.0  # part of all proxies that have a given server in their subset
    has_new_servers: bool = False  # servers were listed that the host does not have yet


class Membership:
    """The subsets of all services for one slot of the fleet.

    ramp_ms: time from the start of a server until it is warm.  pools: the pools that this proxy's calls may
    use; servers of other pools never become members.  None: all.  Raises SubsetSizeError for a size that is
    too small.
    """

    def __init__(self, slot: int, size: int, ramp_ms: float, pools: frozenset[int] | None = None) -> None:
        check_size(size)
        self._slot, self._size, self._ramp_ms, self._pools = slot, size, ramp_ms, pools
        self._services: dict[str, Service] = {}
        self._service_of: dict[str, str] = {}
        self._substitute_tokens, self._refilled_ms = SUBSTITUTES_PER_S * size, -math.inf

    @property
    def members(self) -> frozenset[str]:
        """The members of all subsets and their substitutes, without the servers that are leaving."""
        services = self._services.values()
        return frozenset(
            name for service in services for name, entry in service.entries.items() if entry.member
        )

    def update_list(
        self, now_ms: float, servers: Iterable[LocatedServer], retained: frozenset[str] | None
    ) -> MembershipUpdate:
        """Apply a list update.

        retained: for a complete list, the names of servers that stay although it does not contain them;
        None if `servers` holds only changes.
        """
        changed: list[LocatedServer] = []
        listed: set[str] = set()
        for located in servers:
            listed.add(located.listed.server)
            changed += self._take_entry(located)
        if retained is not None:
            for server in [name for name in self._service_of if name not in listed | retained]:
                changed += self._remove(server)
        urgent: list[str] = []
        for service in self._services.values():
            self._update_order(service)
            joined = self._update_members(now_ms, service, changed)
            urgent += [] if service.has_new_servers else joined
            service.has_new_servers = False
        return MembershipUpdate(tuple(changed), tuple(urgent))

    def review(
        self, now_ms: float, unavailable: Callable[[str], bool], idle: Callable[[str], bool]
    ) -> MembershipUpdate:
        """Let substitutes join and leave as availability changes; remove leaving servers that are idle."""
        changed: list[LocatedServer] = []
        urgent: list[str] = []
        for service in self._services.values():
            for server, entry in service.entries.items():
                if entry.leaving and idle(server):
                    entry.leaving = False
                    changed.append(_with_status(entry.located, ServerStatus.REMOVED))
                elif entry.member:
                    _update_availability(now_ms, entry, unavailable(server))
            urgent += self._update_members(now_ms, service, changed)
        return MembershipUpdate(tuple(changed), tuple(urgent))

    # -- list updates ---------------------------------------------------------------------------------
    def _take_entry(self, located: LocatedServer) -> list[LocatedServer]:
        """Apply one list entry; returns the changes for the host, other than its joining as a member."""
        server, pool = located.listed.server, located.listed.pool
        if located.listed.status is ServerStatus.REMOVED:
            return self._remove(server)
        name = self._service_of.get(server)
        if name is None:
            if located.endpoint and (self._pools is None or pool in self._pools):
                self._service_of[server] = located.service
                service = self._services.setdefault(located.service, Service())
                service.entries[server] = Entry(located)
                service.has_new_servers = True
            return []
        if located.endpoint and located.service != name:  # it moved to another service: never in both
            return self._remove(server) + self._take_entry(located)
        entry = self._services[name].entries[server]
        entry.located = located if located.endpoint else _with_status(entry.located, ServerStatus.DRAINING)
        if entry.member:
            return [self._with_sender_share(self._services[name], entry)]
        return [_with_status(entry.located, ServerStatus.DRAINING)] if entry.leaving else []

    def _remove(self, server: str) -> list[LocatedServer]:
        """Forget a server that is no longer listed; returns the change for the host, if any."""
        if (name := self._service_of.pop(server, None)) is None:
            return []
        entry = self._services[name].entries.pop(server)
        return [_with_status(entry.located, ServerStatus.REMOVED)] if entry.member or entry.leaving else []

    def _update_order(self, service: Service) -> None:
        """Recompute the order and the regular members from the active servers."""
        active = [
            Candidate(server, entry.located.zone) for server, entry in service.entries.items() if entry.active
        ]
        service.order = fixed_order(self._slot, self._size, active)
        service.subset = frozenset(service.order[: self._size])
        service.sender_share = proxy_share(self._size, len(active))

    # -- members --------------------------------------------------------------------------------------
    def _update_members(self, now_ms: float, service: Service, changed: list[LocatedServer]) -> list[str]:
        """Let wanted servers join and others leave; appends to `changed` and returns those that joined."""
        wanted = self._wanted_servers(now_ms, service)
        joined = []
        for server, entry in service.entries.items():
            if server in wanted and not entry.member:
                entry.member, entry.leaving, entry.unavailable = True, False, False
                changed.append(self._with_sender_share(service, entry))
                joined.append(server)
            elif entry.member and entry.may_drain and server not in wanted:
                entry.member, entry.leaving = False, True
                changed.append(_with_status(entry.located, ServerStatus.DRAINING))
        return joined

    def _wanted_servers(self, now_ms: float, service: Service) -> set[str]:
        """The regular members, and in the fixed order enough substitutes to have `size` usable servers."""
        wanted: set[str] = set()
        usable = 0
        for server in service.order:
            if usable >= self._size:
                break
            entry = service.entries[server]
            if server in service.subset or entry.member or self._admit_substitute(now_ms, entry):
                wanted.add(server)
                usable += entry.usable(now_ms)
        return wanted

    def _admit_substitute(self, now_ms: float, entry: Entry) -> bool:
        """Whether a server may become a substitute now; uses a token of the rate limit if so.

        Never a cold server: its set-up budget is divided among the proxies whose subset it is in.
        """
        started_ms = entry.located.listed.started_ms
        if started_ms is not None and now_ms - started_ms < self._ramp_ms:
            return False
        max_tokens = SUBSTITUTES_PER_S * self._size
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / 1000.0
        self._substitute_tokens = min(max_tokens, self._substitute_tokens + elapsed_s * max_tokens)
        self._refilled_ms = now_ms
        if self._substitute_tokens < 1.0:
            return False
        self._substitute_tokens -= 1.0
        return True

    def _with_sender_share(self, service: Service, entry: Entry) -> LocatedServer:
        """The entry with the part of all proxies that may send to it while cold; 0 for a substitute."""
        server = entry.located.listed.server
        in_subset = server in service.subset
        listed = dataclasses.replace(
            entry.located.listed, sender_share=service.sender_share if in_subset else 0.0
        )
        return dataclasses.replace(entry.located, listed=listed)


def _update_availability(now_ms: float, entry: Entry, unavailable: bool) -> None:
    """Record whether a member is unavailable, and when it became available again."""
    if entry.unavailable and not unavailable:
        entry.recovered_ms = now_ms
    entry.unavailable = unavailable


def _with_status(located: LocatedServer, status: ServerStatus) -> LocatedServer:
    return dataclasses.replace(located, listed=dataclasses.replace(located.listed, status=status))
