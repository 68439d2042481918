"""One signalling proxy: puts fronts, planners, links and registries together and stops them in order."""

from __future__ import annotations

import dataclasses
import threading
import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from capershelf import interface as api
from capershelf.config import Config
from capershelf.core import model as m
from capershelf.core.clock import Clock, SystemClock
from capershelf.core.planner import Planner
from capershelf.fronts.listener import Listener
from capershelf.fronts.session import FrontContext
from capershelf.net.connection import start_thread
from capershelf.net.framing import Framing, Lines
from capershelf.net.links import Links
from capershelf.net.vocabulary import SetUpLimits
from capershelf.net.websocket import WebSocket
from capershelf.registry.board import FRESH_MS, Board, read_notices
from capershelf.registry.eureka import Eureka
from capershelf.registry.source import Source
from capershelf.release import VERSION

if TYPE_CHECKING:
    from capershelf.memory.memory import Memory

STILL_ACCEPTING_MS = 900.0  # after SIGTERM: callers go on connecting for a while
OWN_MB = 22.0  # what the program holds without callers
CALLER_MB = 0.08  # what a caller's connection takes: thread, buffer and sockets
LINK_MB = 0.012  # and a link to a booking server
OWN_SOCKETS = 40  # descriptors for listening, the registry, signals, turning callers away, links under repair
LEAST_LINKS = 8
HELD_SHARE = 1 / 16  # of the memory may be descriptions of open set-ups
STANDING_MS = 9000.0  # and so long calls that stand are still passed their end
# The platform kills what was told to stop no sooner than the longest deadline, counted as 3 s where it is
# longer, and 0.7 s more.  Whoever still waits gets an outcome some time before that.
LONGEST_MS, KILLED_MS, EARLIER_MS = 3000.0, 700.0, 400.0
WRITTEN_MS = 500.0  # at the end, what is told may take so long to be written, and callers to hang up
LOOK_S = 0.01


def callers_share(config: Config) -> int:
    """How many callers may be connected: a third of the descriptors, and what the memory has room for.

    Less where few descriptors are allowed: those of the list and of some links are kept aside from callers.
    """
    sockets = min(config.sockets // 3, config.sockets - OWN_SOCKETS - LEAST_LINKS * config.planners)
    return max(1, min(sockets, int(max(0.0, config.memory_mb - OWN_MB) / CALLER_MB)))


def links_share(config: Config) -> int:
    """How many booking servers one planner may be connected to: what callers and the rest leave."""
    sockets = config.sockets - min(config.sockets // 3, callers_share(config)) - OWN_SOCKETS
    memory_mb = config.memory_mb - OWN_MB - CALLER_MB * callers_share(config)
    return max(LEAST_LINKS, min(sockets, int(memory_mb / LINK_MB)) // config.planners)


def planner_settings(settings: api.Settings, number: int, count: int) -> api.Settings:
    """A planner's own slot in a fleet of proxies times planners, so that the shares of each still add up."""
    return dataclasses.replace(
        settings,
        gateway_no=settings.gateway_no * count + number,
        gateway_count=settings.gateway_count * count,
    )


def lines_framing(full: bool) -> Framing | None:
    """JSON lines have no word for a front that is full: the caller is hung up on."""
    return None if full else Lines()


def websocket_framing(full: bool) -> Framing | None:
    return WebSocket(full=full)


def open_memory(config: Config, clock: Clock) -> Memory | None:
    """What survives restart, where an operator's file turns it on; nothing is imported for it else."""
    if config.memory is None:
        return None
    from capershelf.memory.memory import Memory, ProxyIdentity

    senders = config.settings.gateway_count
    return Memory(config.memory, ProxyIdentity(config.name, VERSION, senders, config.planners), clock)


def open_subset(config: Config, settings: api.Settings) -> m.Subset | None:
    """A planner's subset, where an operator's file turns it on; nothing is imported for it else."""
    if config.subset is None:
        return None
    from capershelf.subset import Membership

    return Membership(settings.gateway_no, config.subset.size, settings.ramp_ms, places_of(settings))


def places_of(settings: api.Settings) -> frozenset[int] | None:
    """Where calls of any class may go from here; None: anywhere."""
    places: set[int] = set()
    for kind in settings.classes:
        if kind.pools is None:
            return None
        places |= set(kind.pools)
    return frozenset(places)


class Node:
    """The running parts of one proxy."""

    def __init__(self, config: Config, clock: Clock | None = None) -> None:
        self.config = config
        self.clock = clock or SystemClock()
        self._stopping = threading.Event()
        self._reloading = threading.Lock()  # SIGHUP and the stream may come at once
        count = config.planners
        self.planners = [
            Planner(
                planner_settings(config.settings, number, count),
                config.seed + number,
                self.clock,
                config.connect_ms,
                f"planner {number}",
            )
            for number in range(count)
        ]
        for number, planner in enumerate(self.planners):
            planner.pending_set_ups = self._owed
            planner.subset = open_subset(config, planner_settings(config.settings, number, count))
            planner.servers = Links(
                self.clock,
                config.connect_ms,
                self._from_server(planner),
                config.settings.gateway_count,
                f"links of {planner.name}",
                links_share(config),
                planner.is_idle,
            )
        self.memory = open_memory(config, self.clock)
        if self.memory is not None:
            for planner, planner_memory in zip(self.planners, self.memory.planner_memories, strict=True):
                planner.memory = planner_memory
        self.fronts: list[Listener] = []
        self.houses: list[FrontContext] = []
        terms = SetUpLimits.from_settings(config.settings)
        wanted = [(config.listen, lines_framing, False)] if config.listen else []
        if config.websocket is not None:
            wanted.append((config.websocket.listen, websocket_framing, True))
        for listen, framing, outlived in wanted:
            most = max(1, callers_share(config) // len(wanted))
            house = FrontContext(
                self.clock,
                terms,
                self._route,
                self._every,
                self._ready,
                outlived,
                int(config.memory_mb * HELD_SHARE * 2**20) // len(wanted),
            )
            self.houses.append(house)
            self.fronts.append(Listener(listen, framing, most, house))
        self.sources: list[Source] = []
        self._versions = 0  # of the list; the source's thread, or whoever reads a list in the file
        if config.eureka is not None:
            self.sources.append(Eureka(config.eureka, config.name, config.listen, self.clock, self._news))
        elif config.board:
            board = Board(config.board, config.known, self.clock, self._news)
            self.sources.append(board)
            self.clock.detect_pauses(FRESH_MS)  # its thread reads the clock more often than this
            for planner in self.planners:
                planner.list_gate.is_fresh = board.fresh
        else:  # an operator may list the booking servers in the file
            for news in read_notices(config.known, -1)[1]:
                self._news(news)

    # -- ways into the planners -----------------------------------------------------------------------
    def _planner_of(self, call_id: str) -> Planner:
        if len(self.planners) == 1:
            return self.planners[0]
        return self.planners[zlib.crc32(call_id.lower().encode()) % len(self.planners)]

    def _route(self, call_id: str) -> Callable[[m.Event], None]:
        return self._planner_of(call_id).inbox.put

    def _from_server(self, planner: Planner) -> Callable[[m.Event], None]:
        """What a planner's link brings: a call's news goes to that call's planner, all else to the link's."""

        def post(event: m.Event) -> None:
            if isinstance(event, m.ServerAnswered | m.ServerReleased):
                self._planner_of(event.id).inbox.put(event)
            else:
                planner.inbox.put(event)

        return post

    def _news(self, news: m.ServerListUpdate) -> None:
        """Pass news of the list on, numbered here: no source's numbers that go back can stop the list."""
        self._versions += 1
        news = dataclasses.replace(news, version=self._versions)
        for planner in self.planners:
            planner.submit_update(news)

    def _every(self, event: m.Event) -> int:
        """Tell all planners; how many there are."""
        for planner in self.planners:
            planner.inbox.put(event)
        return len(self.planners)

    def _owed(self) -> int:
        return sum(house.pending_set_ups for house in self.houses)

    def _ready(self) -> bool:
        return not self._stopping.is_set()

    # -- life -----------------------------------------------------------------------------------------
    def start(self) -> None:
        for source in self.sources:
            start_thread(source.run, "registry")
        if self.memory is not None:
            self.memory.start()
        self._threads = [start_thread(planner.run, planner.name) for planner in self.planners]
        for front in self.fronts:
            front.start()
        logger.info(
            "{proxy} serves on {listen}",
            event="serving",
            proxy=self.config.name,
            listen=self.config.listen or "no JSON-lines front",
        )

    def adopt(self, config: Config, done: Callable[[], None]) -> bool:
        """Take a streamed version over; done is called once by each planner.  False: this proxy stops."""
        if self._stopping.is_set():
            return False
        for house in self.houses:
            house.terms = SetUpLimits.from_settings(config.settings)
        for number, planner in enumerate(self.planners):
            settings = planner_settings(config.settings, number, len(self.planners))
            planner.inbox.put(m.ApplySettings(settings, config.connect_ms, done))
        self.config = dataclasses.replace(
            self.config, settings=config.settings, connect_ms=config.connect_ms, table=config.table
        )
        self.reload(config)
        return True

    def ask_open(self, back: Callable[[set[str]], None]) -> int:
        """Have each planner call back with the classes that have open calls; how many planners there are."""
        return self._every(m.QueryOpenClasses(back))

    def outcomes(self) -> tuple[int, int]:
        """(given, refused or failed) since the start."""
        return sum(one.calls.outcome_count for one in self.planners), sum(
            one.calls.rejected_count for one in self.planners
        )

    def reload(self, config: Config) -> None:
        """Take over what a running proxy can: the registry's address, or a list in the file itself."""
        with self._reloading:
            self._reload(config)

    def _reload(self, config: Config) -> None:
        old, new = self.config, config
        address = new.eureka.url if new.eureka is not None else new.board
        was = old.eureka.url if old.eureka is not None else old.board
        same_kind = (old.eureka is None) is (new.eureka is None) and bool(address) is bool(was)
        if same_kind and address != was:
            for source in self.sources:
                source.move(address)
            logger.info(
                "the list of booking servers is now followed at {address}",
                event="registry-moved",
                address=address,
            )
        elif same_kind and not self.sources and new.known != old.known:
            for news in read_notices(new.known, -1)[1]:
                self._news(news)
        names = {field.name for field in dataclasses.fields(Config)}
        names -= {"board", "known", "seed", "eureka", "table"}
        changed = [name for name in sorted(names) if getattr(old, name) != getattr(new, name)]
        if not same_kind:
            changed.append("kind of registry")
        for name in changed:
            logger.warning("the new {field} holds from the next start on", event="next-start", field=name)
        self.config = (
            dataclasses.replace(old, board=new.board, known=new.known, eureka=new.eureka, table=new.table)
            if same_kind
            else old
        )

    def stop(self) -> None:
        """Go on for a while, answer all that was taken, then end."""
        self._stopping.set()
        began_ms = self.clock.now_ms()
        for source in self.sources:
            source.withdraw()
        time.sleep(self.clock.seconds_until(began_ms + STILL_ACCEPTING_MS) or 0.0)
        for house in self.houses:
            house.close()  # what still comes is refused at once
        for front in self.fronts:
            front.stop_accepting()
        longest_ms = max(kind.deadline_ms for kind in self.config.settings.classes)
        answer_ms = began_ms + min(longest_ms, LONGEST_MS) + KILLED_MS - EARLIER_MS
        for planner in self.planners:
            planner.inbox.put(m.Stop(began_ms + STANDING_MS, answer_ms))
        for thread in self._threads:
            thread.join()
        if self.memory is not None:
            for planner in self.planners:
                planner.save_learned()  # its thread has ended
            self.memory.close()
        for source in self.sources:
            source.end()
        by_ms = self.clock.now_ms() + WRITTEN_MS
        for front in self.fronts:
            front.close_all(by_ms)
        while self.clock.now_ms() < by_ms and not all(one.servers.is_flushed() for one in self.planners):
            time.sleep(LOOK_S)
        logger.info("{proxy} has answered all it took", event="stopped", proxy=self.config.name)
