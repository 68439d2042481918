"""What booking servers and callers saw, by one clock.  Times in Unix milliseconds.

Calls go by their id of 16 hex digits, booking servers by uid, proxies by number, each start of a proxy by its
life, counted from 1."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field


class End(enum.Enum):
    """How an attempt ended, as its booking server saw it."""

    OPEN = "open"
    ANSWERED = "answered"
    REFUSED = "refused"  # it never ran
    FAILED = "failed"
    GIVEN_UP = "given up"  # released by the proxy
    CLOSED = "closed"  # its connection ended, or its booking server died

    @property
    def may_have_run(self) -> bool:
        """Whether the call's release has to be awaited before it is sent again."""
        return self in (End.GIVEN_UP, End.CLOSED)


@dataclass(slots=True)
class Attempt:
    """A set-up at a booking server."""

    call: str
    server: str
    proxy: int
    life: int
    first_ms: float  # of its first byte
    whole_ms: float  # when it had arrived whole
    end: End = End.OPEN
    end_ms: float = math.inf
    description: str = ""  # what the booking server made for it
    ended_ms: float = math.inf  # when the booking server told the end of what stood
    let_go_ms: float = math.inf  # when the proxy released what stood
    server_died_ms: float = math.inf


class Outcome(enum.Enum):
    """What a caller was told."""

    NONE = "none"
    STANDS = "stands"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"  # its connection ended before


@dataclass(slots=True)
class Asked:
    """A caller's set-up."""

    call: str
    proxy: int
    life: int
    kind: str
    asked_ms: float  # its last byte was written
    left_ms: float
    outcome: Outcome = Outcome.NONE
    told_ms: float = math.inf
    description: str = ""
    words: int = 0  # outcomes told
    over_ms: float = math.inf  # when the caller was told that what stood is over
    cut: bool = False

    @property
    def by_ms(self) -> float:
        return self.asked_ms + self.left_ms


@dataclass(slots=True)
class Life:
    """One start of a proxy; inf: it has not come to that."""

    proxy: int
    number: int
    started_ms: float
    ready_ms: float = math.inf
    term_ms: float = math.inf
    killed_ms: float = math.inf
    ended_ms: float = math.inf
    status: int | None = None  # of its exit
    stalls: list[tuple[float, float]] = field(default_factory=list)  # when it was stopped and let go on


@dataclass(slots=True)
class Told:
    """A booking server's drain or end, as a proxy's notice board had it."""

    proxy: int
    life: int
    server: str
    at_ms: float
    back_ms: float = math.inf  # listed as up again


@dataclass(slots=True)
class Cold:
    """A booking server that has started cold."""

    server: str
    started_ms: float
    per_s: float  # what it does once warm


@dataclass(slots=True)
class Unheard:
    """A way that was dark or slow: what a proxy wrote there was heard only later."""

    proxy: int
    server: str
    from_ms: float
    to_ms: float = math.inf


@dataclass(slots=True)
class Seen:
    """All of a day."""

    attempts: list[Attempt] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    colds: list[Cold] = field(default_factory=list)
    unheard: list[Unheard] = field(default_factory=list)
    foul: list[str] = field(default_factory=list)  # messages that no party may send
    ended_ms: float = math.inf  # of the day: what was due later is not judged
    connections: int = 0  # that proxies opened to booking servers
    late_ms: float = 0.0  # the most that the stand-ins were late themselves
    late_at_ms: float = 0.0
    busy: float = 0.0  # share of the machine's processors that the day has used
