"""What the core deals in: requests for a call, attempts at booking servers, outcomes for callers.

A front turns what its wire says into these and back; the core knows no wire.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from capershelf.interface import LearnedServer, ListedServer, Recalled, Report, Result, Settings, Why

NORMAL = 16  # causes that core and fronts agree on, with the numbers that the field gives them
FULL = 34
FAILED = 17
CUT = 41
INVALID = 100


@dataclass(frozen=True, slots=True)
class SetUp:
    """A caller's request; what a booking server is to see of it passes unchanged."""

    id: str
    call_class: str
    expires_ms: float  # absolute
    number: str
    description: str
    far_end: int = -1
    width: int = 1

    @property
    def key(self) -> int:
        return int(self.id, 16)


@dataclass(frozen=True, slots=True)
class Answered:
    """Outcome: the call stands, with the booking server's description as it was given."""

    id: str
    description: str


@dataclass(frozen=True, slots=True)
class Refused:
    """Outcome: not now; wait_ms tells the caller how long to stay away (0: not told)."""

    id: str
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Outcome: given up for good."""

    id: str
    cause: int = FAILED


@dataclass(frozen=True, slots=True)
class Ended:
    """Not an outcome: a call that stood is over."""

    id: str
    cause: int


Word = Answered | Refused | Failed | Ended


class Caller(Protocol):
    """The way back to whoever asked; a connection owns no call that stands."""

    outlived: bool  # a call still being set up outlives this connection, for its caller to come back to
    host: str

    def elsewhere(self) -> Caller | None:
        """Another open connection of the same caller, where a front takes any of them."""

    def tell(self, word: Word) -> bool:
        """Pass the word on; False when it can no longer be."""

    def waits(self, call_id: str) -> bool:
        """Whether somebody still waits for this call's outcome, as far as is known.  Any thread asks."""

    def over(self, call_id: str) -> None:
        """A call of this caller's has ended here, whatever it is told of it."""


class WriteGate(Protocol):
    """Asked by whichever thread writes a set-up, right before its first byte."""

    def may_begin(self) -> bool: ...

    def dropped(self) -> None:
        """It was not written, and never will be."""


class Servers(Protocol):
    """The ways to the booking servers, as one planner has them.  Nothing here waits."""

    def open(self, server: str, endpoint: str) -> None: ...

    def close(self, server: str) -> None: ...

    def wake(self, server: str) -> str:
        """Somebody needs this link now: connect at once; the server whose link makes room for it, if one."""

    def rest(self, server: str) -> None:
        """Nobody needs this link: close it, and connect no more until it is woken."""

    def set_up(self, server: str, epoch: int, request: SetUp, left_ms: float, gate: WriteGate) -> None: ...

    def withdraw(self, server: str, call_id: str = "") -> set[str]:
        """Take back set-ups (that call's, or all) of which no byte has been written: their calls' ids.

        One that is half written is broken off with its connection, where a call is named.
        """

    def release(self, server: str, call_id: str, cause: int) -> None: ...

    def probe(self, server: str, epoch: int, token: str) -> None: ...

    def written(self) -> bool:
        """Whether nothing waits to be written."""


class Memory(Protocol):
    """What keeps a planner's learning over a restart (capershelf/memory/); only its thread calls these."""

    def listed(self, news: News, now_ms: float) -> Recalled | None:
        """What is remembered of the servers that this news names; to reach the module before the news."""

    def touched(self, server: str) -> None:
        """Something was learned of this server."""

    def sweep(self, door: Learned, now_ms: float, everything: bool) -> float:
        """Take a bounded part of what was learned since (or everything); when to come again."""


class Subset(Protocol):
    """Which listed servers a planner has links to (capershelf/subset/); only its thread calls these."""

    def take_list(
        self, now_ms: float, servers: Iterable[Located], kept: frozenset[str] | None
    ) -> SubsetUpdate:
        """The list's news; kept as in News with a whole list, None with changes alone."""

    def review(
        self, now_ms: float, unavailable: Callable[[str], bool], idle: Callable[[str], bool]
    ) -> SubsetUpdate:
        """Look at the members again."""


class SubsetUpdate(Protocol):
    """What a subset makes of the list: changes, and whom of these to connect to at once."""

    @property
    def servers(self) -> tuple[Located, ...]: ...

    @property
    def urgent(self) -> tuple[str, ...]: ...


class Learned(Protocol):
    """The door by which a controller gives out what it has learned."""

    def learned(self, server: str) -> LearnedServer | None: ...

    def asked_rate(self) -> float:
        """First tries a millisecond."""


class State(Enum):
    """Where a call is in its life here."""

    OPEN = "open"  # its one outcome is owed
    STANDS = "stands"
    OVER = "over"


class Cancellable(Protocol):
    def cancel(self) -> None: ...


@dataclass(slots=True)
class Attempt:
    """One sending of a call to a booking server; epoch names the connection it went out on, once it did."""

    number: int
    server: str
    sent_ms: float
    deadline_ms: float
    connect_by_ms: float
    begin_by_ms: float = math.inf  # later than this it must not begin
    started_ms: float = -math.inf  # of the server's process that it is meant for
    epoch: int | None = None
    over: bool = False
    timers: list[Cancellable] = field(default_factory=list)

    def end(self) -> None:
        """It has ended, and its time-outs with it."""
        self.over = True
        for timer in self.timers:
            timer.cancel()


@dataclass(slots=True)
class Call:
    """A call in the table; caller is None while its connection is lost."""

    request: SetUp
    caller: Caller | None
    lost_host: str = ""  # of a caller whose connection is gone, where any of its connections will do
    state: State = State.OPEN
    attempts: int = 0
    attempt: Attempt | None = None
    not_before_ms: float = -math.inf  # the release of its last attempt is over then
    ended_at: str = ""  # the server that last ended an attempt itself,
    ended_ms: float = -math.inf  # and when
    server: str = ""  # where it stands,
    stood_ms: float = math.inf  # and since when
    answer: Word | None = None  # while it stands, for a caller whose connection broke under it
    unheard: Word | None = None  # what its caller has not been told for want of a connection
    timer: Cancellable | None = None  # when its time here is over


@dataclass(slots=True)
class ServerState:
    """A booking server as the planner knows it."""

    id: str
    endpoint: str
    epoch: int | None = None  # the open connection's number
    down_ms: float = math.inf  # since when there is none
    link_failed: bool = False  # its connection broke or did not come up, and none has come up since
    gone: bool = False
    draining: bool = False  # listed so: nothing new is written to it
    started_ms: float = -math.inf  # its process, as the list tells; -inf: it does not say
    calls: dict[int, Call] = field(default_factory=dict)  # out at it or standing there
    unsaid: dict[str, int] = field(default_factory=dict)  # releases (cause) that wait for a connection


# What comes into a planner's inbox.


@dataclass(frozen=True, slots=True)
class SetUpCame:
    request: SetUp
    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerReleased:
    id: str
    cause: int
    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerCame:
    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerLost:
    caller: Caller


@dataclass(frozen=True, slots=True)
class CallerBarred:
    """The caller is about to be hung up on for what it sent; done is called once its open calls are ended."""

    caller: Caller
    done: Callable[[], None]


@dataclass(frozen=True, slots=True)
class ServerAnswered:
    """replaced: it came on a connection that another has taken the place of, and that is heard out."""

    server: str
    id: str
    description: str
    report: Report | None
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class ServerReleased:
    server: str
    id: str
    cause: int
    result: Result  # what the release means for a call still being set up
    why: Why
    report: Report | None
    replaced: bool = False  # as with an answer


@dataclass(frozen=True, slots=True)
class NotBegun:
    """The set-up of this attempt was dropped where its first byte was to be written."""

    key: int
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class ServerTold:
    """A report: unasked where token is empty, else the answer to that probe."""

    server: str
    report: Report
    token: str = ""
    passed: bool = True


@dataclass(frozen=True, slots=True)
class LinkUp:
    server: str
    epoch: int
    mended: bool = False  # in place of one that was of no further use: the silence on it was not the server's


@dataclass(frozen=True, slots=True)
class LinkDown:
    """A connection broke (epoch) or never came up (None); refused proves that nobody listens there."""

    server: str
    epoch: int | None
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Located:
    """A listed server with its address."""

    listed: ListedServer
    endpoint: str
    zone: str = ""  # empty: not told
    service: str = ""  # empty: the default one, of all servers for which none is told


@dataclass(frozen=True, slots=True)
class News:
    """What a registry tells; whole: what is not in it is gone."""

    version: int
    whole: bool
    servers: tuple[Located, ...]
    vouches: bool = False  # its source shows every late start: one that shows none has not started since
    kept: frozenset[str] = frozenset()  # named in it and not to be read: these stay as they were


@dataclass(frozen=True, slots=True)
class Stop:
    """Answer what is owed, at the latest by answer_ms, then end, at the latest by by_ms."""

    by_ms: float
    answer_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class TakeOver:
    """Go by these settings from here on; done is called once they are in force."""

    settings: Settings
    connect_ms: float
    done: Callable[[], None]


@dataclass(frozen=True, slots=True)
class AskOpen:
    """Calls back with the names of the classes that have open calls."""

    back: Callable[[set[str]], None]


@dataclass(frozen=True, slots=True)
class Reached:
    """Calls back once all that was put in before it has been dealt with."""

    back: Callable[[], None]


Event = (
    SetUpCame
    | CallerReleased
    | CallerCame
    | CallerLost
    | CallerBarred
    | ServerAnswered
    | ServerReleased
    | NotBegun
    | ServerTold
    | LinkUp
    | LinkDown
    | News
    | Stop
    | TakeOver
    | AskOpen
    | Reached
)
