"""Types of the core: set-up requests, attempts at booking servers, and messages to callers.

A front translates its protocol to and from these types; the core is independent of any protocol.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from capershelf.interface import (
    LearnedServer,
    ListedServer,
    LoadReport,
    RefusalReason,
    RestoredKnowledge,
    Result,
    Settings,
)

# Release causes used between the core and the fronts, numbered as on the wire.
CAUSE_NORMAL = 16
CAUSE_NO_CAPACITY = 34
CAUSE_FAILED = 17
CAUSE_INTERRUPTED = 41
CAUSE_INVALID = 100


@dataclass(frozen=True, slots=True)
class SetUp:
    """A caller's set-up request; the description is forwarded to the booking server unchanged."""

    id: str
    call_class: str
    expires_ms: float  # absolute time
    number: str
    description: str
    preferred_pool: int = -1
    width: int = 1

    @property
    def key(self) -> int:
        return int(self.id, 16)


@dataclass(frozen=True, slots=True)
class Answered:
    """Outcome: the call is established; description is the booking server's, unchanged."""

    id: str
    description: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Outcome: refused for now; the caller may retry after retry_after_ms (0: no hint)."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Outcome: the call has failed for good."""

    id: str
    cause: int = CAUSE_FAILED


@dataclass(frozen=True, slots=True)
class Ended:
    """An established call has ended.  Unlike the other messages, this is not the outcome of a set-up."""

    id: str
    cause: int


CallerMessage = Answered | Refused | Failed | Ended


class Caller(Protocol):
    """The connection that a set-up came from; established calls do not belong to a connection."""

    # True if a pending set-up survives this connection, so that its caller can reconnect for the outcome.
    calls_outlive_connection: bool
    host: str
    name: str  # its address, for the log
    awaiting_first_message: bool
    messages_received: int

    def other_connection(self) -> Caller | None:
        """Another reachable connection from the same host to the same front."""

    def is_reachable(self) -> bool:
        """Whether messages sent now can still reach the caller, as far as known.  Thread-safe."""

    def attach(self, call_id: str) -> None:
        """Keep the connection open for a call that was set up on another one."""

    def detach(self, call_id: str) -> None:
        """The call is attached to another connection."""

    def ping(self) -> int:
        """Ping the caller, if the front has pings; returns the number for has_answered_ping()."""

    def has_answered_ping(self, number: int) -> bool:
        """Whether the caller has answered this ping, as far as the front can tell."""

    def close(self, reason: str) -> None:
        """Close the connection."""

    def notify(self, message: CallerMessage) -> bool:
        """Deliver the message; False if that is no longer possible."""

    def is_waiting(self, call_id: str) -> bool:
        """Whether the caller is still waiting for the call's outcome, as far as known.  Thread-safe."""

    def was_rejected(self, call_id: str) -> bool:
        """Whether a set-up with this id on this connection had a negative outcome.  Thread-safe."""

    def discard_set_up(self, call_id: str) -> None:
        """A set-up received here is a repetition whose outcome has been sent here: it gets no other one."""

    def call_ended(self, call_id: str) -> None:
        """A call of this caller has ended here, whether or not the caller is notified."""


class WriteGate(Protocol):
    """Consulted by the writing thread immediately before the first byte of a set-up."""

    def may_write(self) -> bool: ...

    def on_dropped(self) -> None:
        """The set-up was not written and never will be."""


@dataclass(frozen=True, slots=True)
class SignsOfLife:
    """When messages were last received from a server, or when its link was opened; Unix milliseconds."""

    message_ms: float  # any message
    after_first_report_ms: float  # without the load report that begins each connection
    response_ms: float  # without load reports sent unasked
    refusal_ms: float = -math.inf  # when a second connection was last refused while the first one was open


class ServerLinks(Protocol):
    """A planner's links to the booking servers.  No method blocks."""

    def open(self, server: str, endpoint: str) -> None: ...

    def close(self, server: str) -> None: ...

    def connect(self, server: str) -> str:
        """Connect at once, because the link is needed now.

        Returns the server whose link is closed to stay within the link limit, or an empty string.
        """

    def disconnect(self, server: str) -> None:
        """Close a link that is not needed, and do not reconnect until connect() is called."""

    def set_up(
        self, server: str, epoch: int, request: SetUp, remaining_ms: float, gate: WriteGate
    ) -> None: ...

    def withdraw(self, server: str, call_id: str = "") -> set[str]:
        """Remove unwritten set-ups (of one call, or all) from the write queue; returns their call ids.

        If a call is named and its set-up is partly written, the connection is closed to abort it.
        """

    def is_queued(self, server: str, call_id: str) -> bool:
        """Whether the set-up of this call is not yet wholly written."""

    def release(self, server: str, call_id: str, cause: int) -> None: ...

    def probe(self, server: str, epoch: int, token: str) -> None: ...

    def signs_of_life(self, server: str) -> SignsOfLife:
        """When messages were last received from the server; now if it has no link."""

    def replace_connection(self, server: str) -> None:
        """Connect anew, and drop the current connection once that has succeeded."""

    def is_flushed(self) -> bool:
        """Whether all write queues are empty."""


class Memory(Protocol):
    """Keeps a planner's learned state across restarts (capershelf/memory/).  Planner thread only."""

    def recall(self, update: ServerListUpdate, now_ms: float) -> RestoredKnowledge | None:
        """Remembered state of the servers in this update; feed it to the controller before the update."""

    def mark_changed(self, server: str) -> None:
        """Note that the learned state of this server has changed."""

    def collect(self, source: LearnedSource, now_ms: float, everything: bool) -> float:
        """Collect a bounded part of the changed state (or all of it); returns when to call again."""


class Subset(Protocol):
    """Selects the listed servers that a planner keeps links to (capershelf/subset/).  Planner thread only."""

    def update_list(
        self, now_ms: float, servers: Iterable[LocatedServer], retained: frozenset[str] | None
    ) -> SubsetUpdate:
        """Apply a list update; retained as in ServerListUpdate for a complete list, None for changes."""

    def review(
        self, now_ms: float, unavailable: Callable[[str], bool], idle: Callable[[str], bool]
    ) -> SubsetUpdate:
        """Re-evaluate the members of the subset."""


class SubsetUpdate(Protocol):
    """Changes to the subset, and the servers among them to connect to at once."""

    @property
    def servers(self) -> tuple[LocatedServer, ...]: ...

    @property
    def urgent(self) -> tuple[str, ...]: ...


class LearnedSource(Protocol):
    """Read access to what a controller has learned."""

    def learned(self, server: str) -> LearnedServer | None: ...

    def new_call_rate(self) -> float:
        """New calls per millisecond, retries excluded."""


class CallState(Enum):
    """State of a call in the call table."""

    OPEN = "open"  # its outcome is pending
    ESTABLISHED = "stands"
    ENDED = "over"


class Cancellable(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None: ...


@dataclass(slots=True)
class Attempt:
    """One transmission of a call to a booking server; epoch is the connection that carried it, once sent."""

    number: int
    server: str
    sent_ms: float
    deadline_ms: float
    connect_by_ms: float
    begin_by_ms: float = math.inf  # it must not begin later than this
    server_started_ms: float = -math.inf  # start time of the server process that it is meant for
    epoch: int | None = None
    ended: bool = False
    timers: list[Cancellable] = field(default_factory=list)

    def end(self) -> None:
        """Mark the attempt as ended and cancel its timers."""
        self.ended = True
        for timer in self.timers:
            timer.cancel()


@dataclass(frozen=True, slots=True)
class Client:
    """A client as far as its connections tell: the front and the host that they come from."""

    calls_outlive_connection: bool  # as in Caller; it differs between the fronts
    host: str

    @classmethod
    def of(cls, caller: Caller) -> Client:
        """The client of this connection."""
        return cls(caller.calls_outlive_connection, caller.host)


@dataclass(slots=True)
class Call:
    """An entry of the call table; caller is None while its connection is lost."""

    request: SetUp
    caller: Caller | None
    client: Client  # that set it up
    # Connections on which it was set up, or its set-up was repeated, and that have not closed since.
    requested_on: list[Caller] = field(default_factory=list)
    told_on: list[Caller] = field(default_factory=list)  # connections on which its outcome was sent
    # Released on a connection that repeated its set-up: it ends if its caller's own connection is lost.
    release_cause: int | None = None
    # A disconnected client: any connection of it may take the call's messages.
    detached_from: Client | None = None
    state: CallState = CallState.OPEN
    is_deferred: bool = False  # it begins when its client, which had left before it was handled, is back
    attempts: int = 0
    attempt: Attempt | None = None
    not_before_ms: float = -math.inf  # end of the release gap after its last attempt
    last_ended_server: str = ""  # the server that last ended an attempt itself
    last_ended_ms: float = -math.inf  # when it did
    server: str = ""  # the server where the call is established
    established_ms: float = math.inf
    was_established: bool = False
    # The last message before the loss of its server's connection, unless the server has confirmed it since.
    unconfirmed_since_ms: float = math.inf
    answer: CallerMessage | None = None  # kept while established, for a caller that lost its connection
    undelivered: CallerMessage | None = None  # not delivered to the caller, as far as known
    ping: int | None = None  # sent after its last message, which is kept until the ping is answered
    expiry_timer: Cancellable | None = None  # fires when the call leaves the table

    def was_told_unasked(self, caller: Caller) -> bool:
        """Whether its outcome was sent on this connection before a set-up of its own was handled."""
        return caller in self.told_on and caller not in self.requested_on


@dataclass(slots=True)
class ServerState:
    """A planner's state for one booking server."""

    id: str
    endpoint: str
    epoch: int | None = None  # number of the open connection
    disconnected_ms: float = math.inf  # since when there has been no connection
    link_failed: bool = False  # the connection broke or failed, and none has been established since
    removed: bool = False
    draining: bool = False  # listed as draining: no new set-up is written to it
    started_ms: float = -math.inf  # start of its process according to the list; -inf: unknown
    unanswered_ms: float = -math.inf  # when an attempt there last ended without any answer
    calls: dict[int, Call] = field(default_factory=dict)  # with an attempt there, or established there
    pending_releases: dict[str, int] = field(default_factory=dict)  # causes, until there is a connection


# Events in a planner's inbox.


@dataclass(frozen=True, slots=True)
class SetUpReceived:
    """A caller has sent a set-up."""

    request: SetUp
    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerReleased:
    """A caller has released a call."""

    id: str
    cause: int
    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerConnected:
    """A caller has opened a connection, or sent its first message on it."""

    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """A caller's connection has closed."""

    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerRejected:
    """The caller will be disconnected for invalid input; done is called once its open calls have ended."""

    caller: Caller
    done: Callable[[], None]


@dataclass(frozen=True, slots=True)
class ServerAnswered:
    """A server has accepted a call.

    on_replaced_connection: it arrived on a connection that has been replaced but is still being read.
    """

    server: str
    id: str
    description: str
    report: LoadReport | None
    on_replaced_connection: bool = False


@dataclass(frozen=True, slots=True)
class ServerReleased:
    """A server has released a call."""

    server: str
    id: str
    cause: int
    result: Result  # the attempt's result, if the call is still being set up
    reason: RefusalReason
    report: LoadReport | None
    on_replaced_connection: bool = False  # as in ServerAnswered


@dataclass(frozen=True, slots=True)
class SetUpDropped:
    """The set-up of this attempt was dropped right before its first byte was written."""

    key: int
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class ServerReported:
    """A load report: unsolicited if token is empty, otherwise the answer to that probe."""

    server: str
    report: LoadReport
    token: str = ""
    passed: bool = True


@dataclass(frozen=True, slots=True)
class LinkUp:
    """A connection to a server is established."""

    server: str
    epoch: int
    # It replaces a dead connection, so the silence on that one was not the server's.
    replaces_broken: bool = False


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A connection broke (epoch) or could not be made (None); refused proves that nothing listens there."""

    server: str
    epoch: int | None
    refused: bool = False
    last_message_ms: float = math.inf  # of the connection that broke; inf: not known to be past


@dataclass(frozen=True, slots=True)
class LocatedServer:
    """A listed server with its address."""

    listed: ListedServer
    endpoint: str
    zone: str = ""  # empty: unknown
    service: str = ""  # empty: the default service, shared by all servers that name none


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """An update from a registry; if complete, servers that it does not name have been removed."""

    version: int
    complete: bool
    servers: tuple[LocatedServer, ...]
    # The source reports every recent start: a server listed without one has not started recently.
    reports_all_starts: bool = False
    retained: frozenset[str] = frozenset()  # servers whose entries were unreadable; they stay unchanged


@dataclass(frozen=True, slots=True)
class Stop:
    """Answer all pending calls by answer_by_ms, then stop by end_by_ms."""

    end_by_ms: float
    answer_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class ApplySettings:
    """Switch to these settings; done is called once they are in effect."""

    settings: Settings
    connect_ms: float
    done: Callable[[], None]


@dataclass(frozen=True, slots=True)
class QueryOpenClasses:
    """Calls back with the names of the classes that have open calls."""

    callback: Callable[[set[str]], None]


@dataclass(frozen=True, slots=True)
class InboxBarrier:
    """Calls back once every event queued before it has been handled."""

    callback: Callable[[], None]


Event = (
    SetUpReceived
    | CallerReleased
    | CallerConnected
    | CallerDisconnected
    | CallerRejected
    | ServerAnswered
    | ServerReleased
    | SetUpDropped
    | ServerReported
    | LinkUp
    | LinkDown
    | ServerListUpdate
    | Stop
    | ApplySettings
    | QueryOpenClasses
    | InboxBarrier
)
