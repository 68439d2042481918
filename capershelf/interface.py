"""Events and actions exchanged between the controller (the decision module) and its host.

The host is a gateway or the simulator's adapter.  Times are milliseconds on the host's monotonic clock.  A
call is one set-up requested by a caller; an attempt is one transmission of that set-up to a booking server
(a core switch).  This module defines types only and contains no decision logic.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls as configured for the deployment."""

    name: str
    aim_ms: float  # target set-up latency
    deadline_ms: float
    worth: float = 1.0  # relative value of a call, for load shedding
    late_worth: float = 0.0  # factor applied to worth after aim_ms
    pools: frozenset[int] | None = None  # server pools that may take the class; None: all
    width: int = 1
    hold_ms: float | None = None  # mean call duration


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota in calls per second, summed over all gateways."""

    name: str
    quota_per_s: float


class LoadReportSource(Enum):
    """How servers report their processor load."""

    NONE = "none"
    ANSWERS = "answers"
    PROBES = "probes"


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a controller."""

    gateway_no: int
    gateway_count: int
    classes: tuple[CallClass, ...]
    cold_from: float  # lower bound on a newly started server's share of its full capacity
    ramp_ms: float  # time from a server's start until it has its full capacity
    # A cold server collapses when it receives more than fall_multiple times its current capacity for fall_ms.
    fall_multiple: float
    fall_ms: float
    release_ms: float  # minimum gap between the end of an attempt that may have run and the next attempt
    drain_grace_ms: float = 0.0
    answer_slack_ms: float = 0.0
    tick_ms: float = 0.0  # shortest interval at which the host delivers events
    max_attempts: int = 2
    resend_ms: float = 0.0  # the network retransmits a queued set-up after this time; 0: never
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0  # factor applied to worth for a tenant over its quota
    may_cancel: bool = False
    may_probe: bool = False
    max_retry_after_ms: float = 0.0  # longest retry-after that callers follow; 0: they are given none
    load_report_source: LoadReportSource = LoadReportSource.NONE
    reports_wait: bool = False


class ServerStatus(Enum):
    """Status of a server in the server list."""

    ACTIVE = "active"
    DRAINING = "draining"
    REMOVED = "gone"


class Result(Enum):
    """Result of an attempt or a probe."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    NO_CONNECTION = "no_connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


class RefusalReason(Enum):
    """The reason that a server gives for refusing a set-up."""

    UNSPECIFIED = 0
    NO_LINE = 1
    PROCESSOR_FULL = 3
    NUMBER_BUSY = 4


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load figures reported by a server; None where a figure is missing."""

    free_lines: float | None = None
    lines: float | None = None
    wait_ms: float | None = None
    allowed_per_s: float | None = None  # new set-ups per second that it accepts from all senders together

    @classmethod
    def from_fields(cls, figures: dict[str, float]) -> LoadReport:
        """Build a report from figures keyed by their protocol names; unknown names are ignored."""
        return cls(*map(figures.get, ("spare", "total", "recent_ms", "allowed")))


@dataclass(frozen=True, slots=True)
class LearnedServer:
    """What a controller has learned about one booking server; exported, and restored at the next start.

    Rates and thresholds cover only this sender's share of the server's traffic.  Three kinds of state are
    left out on purpose: what the next start receives anyway (lines, free lines), what is stale within seconds
    (averages, outstanding set-ups), and what would let old data into the cold budget (the best rate over all
    servers).
    """

    server: str
    rate_per_s: float = 0.0  # successful answers per second, over the controller's pacing window
    wait_ms: float = 0.0  # last known queueing delay at the server's processor
    base_latency_ms: float | None = None  # lowest answer time seen: round trip plus an idle processor
    threshold: float | None = None  # outstanding weight above which the detector flags it; None: unlimited
    ejected: bool = False  # taken out of use because it was silent or returned errors


# Events, from the host to the controller.


@dataclass(frozen=True, slots=True)
class RestoredKnowledge:
    """State learned before this start, already aged and validated by the host (capershelf/memory/).

    It must precede the list that names its servers: a server that is already known keeps its newer state.
    """

    new_calls_per_s: float
    servers: tuple[LearnedServer, ...]


@dataclass(frozen=True, slots=True)
class NewCall:
    """A new call; this gateway must give it exactly one final answer before expires_ms."""

    call: int
    expires_ms: float
    call_class: str
    preferred_pool: int
    number: str = ""
    tenant: str | None = None
    width: int = 1


@dataclass(frozen=True, slots=True)
class AttemptSucceeded:
    """The attempt was answered with success, which is the call's final answer."""

    call: int
    attempt: int
    server: str
    wait_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt, or the call that it set up, has ended."""

    call: int
    attempt: int
    server: str
    result: Result
    call_finished: bool  # the call needs no further answer
    reason: RefusalReason = RefusalReason.UNSPECIFIED
    reported_wait_ms: float | None = None
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller has gone; the call needs no answer."""

    call: int


@dataclass(frozen=True, slots=True)
class ListedServer:
    """An entry of the server list."""

    server: str
    pool: int
    status: ServerStatus
    started_ms: float | None = None  # start of its process; None: long ago
    # Share of all senders that may send to it while it is cold; 0: this sender may not.
    sender_share: float = 1.0


@dataclass(frozen=True, slots=True)
class ServerList:
    """An update of the server list; if complete, servers that it does not name have been removed."""

    version: int
    complete: bool
    servers: tuple[ListedServer, ...]
    restored: bool = False  # the list from before a restart, possibly out of date


@dataclass(frozen=True, slots=True)
class ServerReport:
    """The result of a probe, or (with probe False) an unsolicited load report."""

    server: str
    result: Result
    report: LoadReport
    probe: bool


@dataclass(frozen=True, slots=True)
class ConnectionReplaced:
    """A dead connection was replaced by a working one: the connection was silent, not the server."""

    server: str


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings, effective immediately; gateway_no and gateway_count are unchanged."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set with SetTimer has fired."""

    name: str


Event = (
    NewCall
    | AttemptSucceeded
    | AttemptEnded
    | CallAbandoned
    | ServerList
    | ServerReport
    | ConnectionReplaced
    | RestoredKnowledge
    | SettingsChanged
    | TimerFired
)


# Actions, from the controller to the host, which carries them out in order.


@dataclass(frozen=True, slots=True)
class Send:
    """Send the call's next attempt (numbered from 0) to the server."""

    call: int
    server: str
    timeout_ms: float
    begin_by_ms: float = math.inf  # an attempt that cannot begin by then ends as NOT_SENT


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the call is refused; retry_after_ms is a hint for the caller (0: none)."""

    call: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the call has failed."""

    call: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an outstanding attempt; its AttemptEnded event still follows."""

    call: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Request a load report from the server."""

    server: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Start a timer with this name that fires after delay_ms."""

    delay_ms: float
    name: str


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' log; server is the server concerned, if any."""

    text: str
    server: str = ""


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Log
