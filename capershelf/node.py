"""One signalling proxy: assembles its components, starts them and shuts them down in order."""

from __future__ import annotations

import dataclasses
import threading
import time
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from capershelf.config import Config
from capershelf.core.clock import Clock, SystemClock
from capershelf.core.model import (
    ApplySettings,
    Event,
    QueryOpenClasses,
    ServerAnswered,
    ServerListUpdate,
    ServerReleased,
    Stop,
    Subset,
)
from capershelf.core.planner import Planner
from capershelf.fronts.listener import Listener
from capershelf.fronts.session import FrontContext
from capershelf.interface import Settings
from capershelf.net.connection import start_thread
from capershelf.net.framing import Framing, Lines
from capershelf.net.links import Links
from capershelf.net.vocabulary import SetUpLimits
from capershelf.net.websocket import WebSocket
from capershelf.registry.board import MAX_LIST_AGE_MS, Board, parse_notices
from capershelf.registry.eureka import Eureka
from capershelf.registry.source import Source
from capershelf.release import VERSION

if TYPE_CHECKING:
    from capershelf.memory.memory import Memory

ACCEPT_AFTER_STOP_MS = 900.0  # callers keep connecting for a while after SIGTERM
BASE_MEMORY_MB = 22.0  # resident memory without callers, at the least
START_MEMORY_MB = 2.0  # what a start adds to the resident memory: threads, sockets, the first calls
CALLER_MEMORY_MB = 0.1  # of a caller's connection: thread, session, two buffers and socket
LINK_MEMORY_MB = 0.012  # of a link to a booking server
# Descriptors for listening, the registry, signals, rejecting callers and links that reconnect.
RESERVED_SOCKETS = 40
MIN_LINKS = 8  # of each planner
SET_UP_MEMORY_SHARE = 1 / 16  # of the memory limit, for the descriptions of open set-ups
ESTABLISHED_CALLS_MS = 9000.0  # after SIGTERM, for forwarding the ends of established calls
# The platform kills a process no sooner after SIGTERM than the longest deadline, capped at MAX_DEADLINE_MS,
# plus KILL_DELAY_MS.  Callers that still wait get an outcome KILL_MARGIN_MS before that.
MAX_DEADLINE_MS = 3000.0
KILL_DELAY_MS = 700.0
KILL_MARGIN_MS = 400.0
FLUSH_TIMEOUT_MS = 500.0  # at exit, for pending output to be written and callers to disconnect
FLUSH_POLL_S = 0.01


def max_callers(config: Config, base_memory_mb: float = BASE_MEMORY_MB) -> int:
    """The maximum number of connected callers: a third of the descriptors, as far as the memory allows.

    A low descriptor limit reduces it further, to leave enough for the registry and a minimum of links.
    """
    sockets = min(config.sockets // 3, config.sockets - RESERVED_SOCKETS - MIN_LINKS * config.planners)
    return max(1, min(sockets, int(max(0.0, config.memory_mb - base_memory_mb) / CALLER_MEMORY_MB)))


def max_links_per_planner(config: Config, base_memory_mb: float = BASE_MEMORY_MB) -> int:
    """The maximum number of links of one planner: what callers and the fixed costs leave over."""
    callers = max_callers(config, base_memory_mb)
    sockets = config.sockets - min(config.sockets // 3, callers) - RESERVED_SOCKETS
    memory_mb = config.memory_mb - base_memory_mb - CALLER_MEMORY_MB * callers
    return max(MIN_LINKS, min(sockets, int(memory_mb / LINK_MEMORY_MB)) // config.planners)


def planner_settings(settings: Settings, number: int, count: int) -> Settings:
    """Give a planner its own slot in a fleet of proxies times planners, so that the shares still add up."""
    return dataclasses.replace(
        settings,
        gateway_no=settings.gateway_no * count + number,
        gateway_count=settings.gateway_count * count,
    )


def lines_framing(full: bool) -> Framing | None:
    """Return None for a full front: JSON lines have no message for that, so the connection is just closed."""
    return None if full else Lines()


def websocket_framing(full: bool) -> Framing | None:
    """Return a framing whose handshake rejects the caller if the front is full."""
    return WebSocket(full=full)


def open_memory(config: Config, clock: Clock) -> Memory | None:
    """Create the memory that survives a restart, if configured; its modules are imported only then."""
    if config.memory is None:
        return None
    from capershelf.memory.memory import Memory, ProxyIdentity

    senders = config.settings.gateway_count
    return Memory(config.memory, ProxyIdentity(config.name, VERSION, senders, config.planners), clock)


def open_subset(config: Config, settings: Settings) -> Subset | None:
    """Create a planner's subset, if configured; its modules are imported only then."""
    if config.subset is None:
        return None
    from capershelf.subset import Membership

    return Membership(settings.gateway_no, config.subset.size, settings.ramp_ms, reachable_pools(settings))


def reachable_pools(settings: Settings) -> frozenset[int] | None:
    """The pools that calls of any class may be sent to; None for all pools."""
    pools: set[int] = set()
    for call_class in settings.classes:
        if call_class.pools is None:
            return None
        pools |= set(call_class.pools)
    return frozenset(pools)


class Node:
    """The running components of one proxy."""

    def __init__(self, config: Config, clock: Clock | None = None, resident_mb: float = 0.0) -> None:
        """resident_mb: the resident memory of the process so far, on which the memory limit leaves room."""
        self.config = config
        base_memory_mb = max(BASE_MEMORY_MB, resident_mb + START_MEMORY_MB)
        self.clock = clock or SystemClock()
        self._stopping = threading.Event()
        self._reloading = threading.Lock()  # SIGHUP and the configuration stream may reload concurrently
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
            planner.pending_set_ups = self._pending_set_ups
            planner.subset = open_subset(config, planner_settings(config.settings, number, count))
            planner.servers = Links(
                self.clock,
                config.connect_ms,
                self._from_server(planner),
                config.settings.gateway_count,
                f"links of {planner.name}",
                max_links_per_planner(config, base_memory_mb),
                planner.is_idle,
            )
        self.memory = open_memory(config, self.clock)
        if self.memory is not None:
            for planner, planner_memory in zip(self.planners, self.memory.planner_memories, strict=True):
                planner.memory = planner_memory
        self.fronts: list[Listener] = []
        self.front_contexts: list[FrontContext] = []
        terms = SetUpLimits.from_settings(config.settings)
        front_options = [(config.listen, lines_framing, False)] if config.listen else []
        if config.websocket is not None:
            front_options.append((config.websocket.listen, websocket_framing, True))
        for listen, framing, calls_outlive_connection in front_options:
            max_sessions = max(1, max_callers(config, base_memory_mb) // len(front_options))
            context = FrontContext(
                self.clock,
                terms,
                self._route,
                self._broadcast,
                self._is_ready,
                calls_outlive_connection,
                int(config.memory_mb * SET_UP_MEMORY_SHARE * 2**20) // len(front_options),
            )
            self.front_contexts.append(context)
            self.fronts.append(Listener(listen, framing, max_sessions, context))
        self.sources: list[Source] = []
        # Written by the source's thread, or by the thread that reads a list in the file.
        self._list_version = 0
        if config.eureka is not None:
            self.sources.append(
                Eureka(config.eureka, config.name, config.listen, self.clock, self._publish_update)
            )
        elif config.board:
            board = Board(config.board, config.known, self.clock, self._publish_update)
            self.sources.append(board)
            # The board's thread reads the clock more often than this.
            self.clock.detect_pauses(MAX_LIST_AGE_MS)
            for planner in self.planners:
                planner.list_gate.is_fresh = board.is_current
        else:  # an operator's file may list the booking servers itself
            for update in parse_notices(config.known, -1)[1]:
                self._publish_update(update)

    # -- events for the planners ----------------------------------------------------------------------
    def _planner_of(self, call_id: str) -> Planner:
        if len(self.planners) == 1:
            return self.planners[0]
        return self.planners[zlib.crc32(call_id.lower().encode()) % len(self.planners)]

    def _route(self, call_id: str) -> Callable[[Event], None]:
        return self._planner_of(call_id).inbox.put

    def _from_server(self, planner: Planner) -> Callable[[Event], None]:
        """The callback of a planner's links: a call's events go to its own planner, others to this one."""

        def post(event: Event) -> None:
            if isinstance(event, ServerAnswered | ServerReleased):
                self._planner_of(event.id).inbox.put(event)
            else:
                planner.inbox.put(event)

        return post

    def _publish_update(self, update: ServerListUpdate) -> None:
        """Pass an update to all planners, numbered here: decreasing numbers of a source must not block it."""
        self._list_version += 1
        update = dataclasses.replace(update, version=self._list_version)
        for planner in self.planners:
            planner.submit_update(update)

    def _broadcast(self, event: Event) -> int:
        """Post an event to all planners; returns their number."""
        for planner in self.planners:
            planner.inbox.put(event)
        return len(self.planners)

    def _pending_set_ups(self) -> int:
        return sum(context.pending_set_ups for context in self.front_contexts)

    def _is_ready(self) -> bool:
        return not self._stopping.is_set()

    # -- life cycle -----------------------------------------------------------------------------------
    def start(self) -> None:
        """Start all threads and open the listening sockets."""
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
        """Apply a streamed version; each planner calls done once.  False if this proxy is stopping."""
        if self._stopping.is_set():
            return False
        for context in self.front_contexts:
            context.terms = SetUpLimits.from_settings(config.settings)
        for number, planner in enumerate(self.planners):
            settings = planner_settings(config.settings, number, len(self.planners))
            planner.inbox.put(ApplySettings(settings, config.connect_ms, done))
        self.config = dataclasses.replace(
            self.config, settings=config.settings, connect_ms=config.connect_ms, table=config.table
        )
        self.reload(config)
        return True

    def ask_open(self, callback: Callable[[set[str]], None]) -> int:
        """Have each planner report its classes with open calls; returns the number of planners."""
        return self._broadcast(QueryOpenClasses(callback))

    def outcomes(self) -> tuple[int, int]:
        """Outcomes given since the start, and how many of them were refusals or failures."""
        return (
            sum(planner.calls.outcome_count for planner in self.planners),
            sum(planner.calls.rejected_count for planner in self.planners),
        )

    def reload(self, config: Config) -> None:
        """Apply what can change at run time: the registry's address, or the list of servers in the file."""
        with self._reloading:
            self._reload(config)

    def _reload(self, config: Config) -> None:
        old, new = self.config, config
        address = new.eureka.url if new.eureka is not None else new.board
        old_address = old.eureka.url if old.eureka is not None else old.board
        same_kind = (old.eureka is None) is (new.eureka is None) and bool(address) is bool(old_address)
        if same_kind and address != old_address:
            for source in self.sources:
                source.move(address)
            logger.info(
                "the list of booking servers is now followed at {address}",
                event="registry-moved",
                address=address,
            )
        elif same_kind and not self.sources and new.known != old.known:
            for update in parse_notices(new.known, -1)[1]:
                self._publish_update(update)
        names = {field.name for field in dataclasses.fields(Config)}
        names -= {"board", "known", "seed", "eureka", "table"}
        changed = [name for name in sorted(names) if getattr(old, name) != getattr(new, name)]
        if not same_kind:
            changed.append("kind of registry")
        for name in changed:
            logger.warning("the new {field} takes effect at the next start", event="next-start", field=name)
        self.config = (
            dataclasses.replace(old, board=new.board, known=new.known, eureka=new.eureka, table=new.table)
            if same_kind
            else old
        )

    def stop(self) -> None:
        """Keep serving for a short time, give every accepted set-up its outcome, then shut down."""
        self._stopping.set()
        stop_ms = self.clock.now_ms()
        for source in self.sources:
            source.deregister()
        time.sleep(self.clock.seconds_until(stop_ms + ACCEPT_AFTER_STOP_MS) or 0.0)
        for context in self.front_contexts:
            context.close()  # set-ups from here on are refused at once
        for front in self.fronts:
            front.stop_accepting()
        longest_deadline_ms = max(call_class.deadline_ms for call_class in self.config.settings.classes)
        answer_by_ms = stop_ms + min(longest_deadline_ms, MAX_DEADLINE_MS) + KILL_DELAY_MS - KILL_MARGIN_MS
        for planner in self.planners:
            planner.inbox.put(Stop(stop_ms + ESTABLISHED_CALLS_MS, answer_by_ms))
        for thread in self._threads:
            thread.join()
        if self.memory is not None:
            for planner in self.planners:
                planner.save_learned()  # safe: the planner's thread has ended
            self.memory.close()
        for source in self.sources:
            source.stop()
        flush_by_ms = self.clock.now_ms() + FLUSH_TIMEOUT_MS
        for front in self.fronts:
            front.close_all(flush_by_ms)
        while self.clock.now_ms() < flush_by_ms and not all(
            planner.servers.is_flushed() for planner in self.planners
        ):
            time.sleep(FLUSH_POLL_S)
        logger.info("{proxy} has answered all it took", event="stopped", proxy=self.config.name)
