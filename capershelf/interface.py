"""Types between a host (a gateway, or the bench's adapter) and the controller.

Times are milliseconds on the host's clock, which only goes forward.  A call is one set-up asked for by a
caller; an attempt is one sending of it to a core switch (server).  Nothing here decides anything.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls, as the deployment's settings give it."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    places: frozenset[int] | None = None  # places whose servers may take it; None: any
    width: int = 1
    hold_ms: float | None = None  # mean length of a call


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the rate that is in its share, over all gateways."""

    name: str
    quota_per_s: float


class Reports(Enum):
    """How servers tell of their processors."""

    NONE = "none"
    ANSWERS = "answers"
    PROBES = "probes"


@dataclass(frozen=True, slots=True)
class Settings:
    """What a controller is told at start."""

    gateway_no: int
    gateway_count: int
    classes: tuple[CallClass, ...]
    cold_from: float  # share of its capacity that a server just started has at least
    ramp_ms: float  # and after this it is warm
    fall_multiple: float  # sent more than this multiple of what it can do at that moment
    fall_ms: float  # for this long, a cold server falls over
    release_ms: float  # from the end of an attempt that may have run to the next one
    drain_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    tick_ms: float = 0.0  # the host hands events over at most this often
    max_attempts: int = 2
    resend_ms: float = 0.0  # a set-up that waits this long is sent again by the network; 0: never
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0
    may_cancel: bool = False
    may_probe: bool = False
    retry_after_max_ms: float = 0.0  # longest stay-away advice that callers follow; 0: none is passed on
    reports: Reports = Reports.NONE
    states_wait: bool = False


class Standing(Enum):
    """A server's state in the list."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class Why(Enum):
    """What a server says of a set-up that it did not take."""

    UNSAID = 0
    NO_LINE = 1
    PROCESSOR_FULL = 3
    NUMBER_BUSY = 4


@dataclass(frozen=True, slots=True)
class Report:
    """A server's figures; None where a figure was not given."""

    free_lines: float | None = None
    lines: float | None = None
    wait_ms: float | None = None
    takes_per_s: float | None = None  # new set-ups a second that it can take from all senders together

    @classmethod
    def of(cls, figures: dict[str, float]) -> Report:
        """From the figures by their names on the wires; names that are unknown are passed over."""
        return cls(*map(figures.get, ("spare", "total", "recent_ms", "allowed")))


@dataclass(frozen=True, slots=True)
class LearnedServer:
    """What a controller has learned of one booking server; it gives this out and can start from it.

    Rates and thresholds are those of one sender: its part of what the server does.  Left out on purpose is
    whatever the next start is told anyway (lines, free lines), what is over in seconds (averages, set-ups
    that are out) and what would let old knowledge into the cold budget (the best rate of all servers).
    """

    server: str
    rate_per_s: float = 0.0  # answers with success in the module's pace window
    wait_ms: float = 0.0  # at its processor, as last seen
    base_ms: float | None = None  # least answer time seen: the way there and back and an idle processor
    threshold: float | None = None  # outstanding weight over which the detector flags it; None: unlimited
    silent: bool = False  # taken out for its silence or its errors


# Events: what the host tells.


@dataclass(frozen=True, slots=True)
class Recalled:
    """What is remembered from before this start, already aged and judged by the host (capershelf/memory/).

    It must come before the list that names its servers: a server known already keeps what was learned since.
    """

    asked_per_s: float
    servers: tuple[LearnedServer, ...]


@dataclass(frozen=True, slots=True)
class NewCall:
    """A call set-up that this gateway now owes one final answer, before expires_ms."""

    call: int
    expires_ms: float
    call_class: str
    far_end: int  # place of first choice
    number: str = ""
    tenant: str | None = None
    width: int = 1


@dataclass(frozen=True, slots=True)
class Stands:
    """The attempt was answered with success; that is the call's final answer."""

    call: int
    attempt: int
    server: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class AttemptOver:
    """An attempt, or the call that it set up, has ended."""

    call: int
    attempt: int
    server: str
    result: Result
    settled: bool  # nothing is owed for the call any more
    why: Why = Why.UNSAID
    stated_wait_ms: float | None = None
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has left; nothing is owed."""

    call: int


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server as the pool list has it."""

    server: str
    place: int
    standing: Standing
    started_ms: float | None = None  # None: long ago
    # The part of all senders that may send to it while it is cold; 0: this one may not.
    sender_share: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """News from the pool list; whole: what is not in it is gone."""

    version: int
    whole: bool
    servers: tuple[ListedServer, ...]
    restored: bool = False  # the list as it was before a restart, perhaps out of date


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A probe's end, or free lines told unasked (probe False)."""

    server: str
    result: Result
    report: Report
    probe: bool


@dataclass(frozen=True, slots=True)
class WayMended:
    """A connection of no further use was replaced by one that works: the silence was the connection's."""

    server: str


@dataclass(frozen=True, slots=True)
class NewSettings:
    """Settings that hold from here on; gateway_no and gateway_count are as they were."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the controller asked for."""

    name: str


Event = (
    NewCall
    | Stands
    | AttemptOver
    | CallerGone
    | ServerList
    | ServerReport
    | WayMended
    | Recalled
    | NewSettings
    | TimerFired
)


# Actions: what the host must do, in order.


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call's next attempt (numbered from 0) to the server."""

    call: int
    server: str
    timeout_ms: float
    begin_by_ms: float = math.inf  # if it can't begin by then, it ends as NOT_SENT


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away; stay_away_ms is advice for the caller (0: none)."""

    call: int
    stay_away_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: given up."""

    call: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call off an attempt that is out; its AttemptOver still comes."""

    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask the server for its report."""

    server: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Fire a timer of this name after delay_ms."""

    delay_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' log; server: the one it is about."""

    text: str
    server: str = ""


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Log
