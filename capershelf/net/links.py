"""Links to booking servers: one multiplexed connection each, kept open for unsolicited load reports.

One event loop (net/poller.py) reads all links of a planner.
"""

from __future__ import annotations

import errno
import itertools
import math
import os
import random
import select
import socket
import threading
from collections import deque
from collections.abc import Callable

from loguru import logger

from capershelf.core.clock import Clock
from capershelf.core.model import Event, LinkDown, LinkUp, ServerReported, SetUp, SignsOfLife, WriteGate
from capershelf.net import vocabulary
from capershelf.net.addresses import AddressInfo, parse_endpoint, resolve
from capershelf.net.connection import Connection, start_detached_thread, start_thread
from capershelf.net.framing import CloseConnectionError, Framing, Lines
from capershelf.net.poller import Poller
from capershelf.net.websocket import WebSocket

WEBSOCKET_SCHEME = "ws://"  # endpoints with this prefix use WebSocket, all others JSON lines
# How long the rest of an incomplete message may take.  Less than any release time: where a release can't be
# delivered, the call must not be set up again before the end of the connection has released it at the server.
PARTIAL_MESSAGE_TIMEOUT_MS = 150.0
# Servers send load reports unasked.  Reports at regular gaps serve as a heartbeat: a connection on which
# nothing arrives for somewhat more than one gap counts as dead, whatever is outstanding on it.
GAP_SAMPLES = 3  # consecutive gaps needed to recognise a heartbeat
MAX_GAP_RATIO = 1.25  # between the longest and the shortest of these gaps
HEARTBEAT_TIMEOUT_GAPS = 1.4
HEARTBEAT_TIMEOUT_SLACK_MS = 50.0  # added to the gaps
MAX_HEARTBEAT_TIMEOUTS = 4  # on consecutive connections, after which the server counts as having no heartbeat
# Descriptors beyond the links' share, for attempts to replace silent connections and replaced connections.
MAX_REPLACEMENTS = 16
REPLACEMENT_RETRY_MS = 100.0  # before a silent connection is checked again when no replacement slot was free
REPLACED_READ_MS = 1000.0  # how long a replaced connection is still read
BACKOFF_MS = (50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)
BACKOFF_JITTER = 0.5  # either way, so that proxies which lost a server together do not reconnect together
# Links that no call needs yet are opened at random times within a period that grows with the number of listed
# servers and with the number of proxies that learn of a server together.
SPREAD_PER_SERVER_MS = 5.0
SPREAD_PER_PROXY_MS = 1.0

# Epochs are unique across links, so that the end of a server's old link is not taken for its new one's.
EPOCH_COUNTER = itertools.count(1)
EventSink = Callable[[Event], None]


class ConnectAttempt:
    """An attempt to connect to a host, trying its addresses in turn; calls on_done once with the result."""

    def __init__(
        self,
        address: str,
        poller: Poller,
        clock: Clock,
        deadline_ms: float,
        on_done: Callable[[socket.socket | None, Exception | None], None],
    ) -> None:
        self._poller, self._clock, self._deadline_ms, self._on_done = poller, clock, deadline_ms, on_done
        self._sock: socket.socket | None = None
        self._addresses: list[AddressInfo] = []
        self.finished = False
        try:
            host, port = parse_endpoint(address)
            found = resolve(host, port, socket.AI_NUMERICHOST)
        except socket.gaierror:  # a host name: look it up on a separate thread, as that may block
            start_detached_thread(lambda: self._resolve(host, port))
        except (OSError, ValueError) as problem:
            self._finish(None, problem)
        else:
            self._start(found)
        poller.call_at(deadline_ms, lambda: self._finish(None, TimeoutError("no answer in time")))

    def _resolve(self, host: str, port: int) -> None:
        try:
            found = resolve(host, port)
        except OSError as problem:
            self._poller.call_soon(lambda problem=problem: self._finish(None, problem))  # type: ignore[misc]
        else:
            self._poller.call_soon(lambda: self._start(found))

    def _start(self, found: list[AddressInfo]) -> None:
        self._addresses = found
        self._try_next(OSError("no address"))

    def _try_next(self, problem: Exception) -> None:
        """Try the next address; problem is the error of the previous one."""
        while self._addresses and not self.finished:
            family, kind, protocol, _, address = self._addresses.pop(0)
            try:
                sock = socket.socket(family, kind, protocol)
            except OSError as fault:  # for example, no free descriptor
                problem = fault
                continue
            sock.setblocking(False)
            error_number = sock.connect_ex(address)
            if error_number in (0, errno.EINPROGRESS):
                self._sock = sock
                self._poller.register(sock, select.POLLOUT, self._on_writable)
                return
            sock.close()
            problem = OSError(error_number, os.strerror(error_number))
        self._finish(None, problem)

    def _on_writable(self, events: int) -> None:
        sock = self._sock
        assert sock is not None
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._poller.unregister(sock)
        self._sock = None
        if error_number:
            sock.close()
            self._try_next(OSError(error_number, os.strerror(error_number)))  # the subclass for this errno
            return
        sock.setblocking(True)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._finish(sock, None)

    def cancel(self) -> None:
        """Abandon the attempt without calling on_done."""
        self.finished = True
        if self._sock is not None:
            self._poller.unregister(self._sock)
            self._sock.close()
            self._sock = None

    def _finish(self, sock: socket.socket | None, problem: Exception | None) -> None:
        if self.finished:
            if sock is not None:
                sock.close()
            return
        self.cancel()
        self._on_done(sock, problem)


class ReplacementSlots:
    """Limits the descriptors that links hold beyond their share while connections are replaced.

    Without the limit, a fault that silences several hundred links at once would use up the descriptors of the
    registry connection and the callers.  For the poller's thread only.
    """

    def __init__(self, limit: int = MAX_REPLACEMENTS) -> None:
        self._available = limit

    def acquire(self) -> bool:
        """Take a slot; False if none is free."""
        if self._available <= 0:
            return False
        self._available -= 1
        return True

    def release(self) -> None:
        """Return a slot."""
        self._available += 1


class Link:
    """A connection to one server that is reopened with backoff, or at once when a call needs it.

    connect(), disconnect(), end(), send(), withdraw(), replace_connection() and is_flushed() are called by
    the planner's thread, the other methods by the poller's.
    """

    def __init__(
        self,
        server: str,
        endpoint: str,
        clock: Clock,
        connect_timeout_ms: float,
        emit: EventSink,
        poller: Poller,
        spread_ms: float = 0.0,
        suspended: bool = False,
        replacement_slots: ReplacementSlots | None = None,
    ) -> None:
        self._replacement_slots = replacement_slots or ReplacementSlots()
        self._replace_after_ms = -math.inf  # a silent connection is not replaced before this
        self.server, self.endpoint = server, endpoint
        self._clock, self._connect_timeout_ms, self._emit, self._poller = (
            clock,
            connect_timeout_ms,
            emit,
            poller,
        )
        self._spread_ms = spread_ms
        self._lock = threading.Lock()
        self._connection: Connection | None = None
        self._epoch = 0
        self._ended = self._opened = self._connect_requested = self._was_dropped = False
        self._was_up = False  # a connection to the server has been established before
        self._suspended = suspended
        self._connect_attempt: ConnectAttempt | None = None
        self._replacing = False  # the attempt is to replace a silent connection
        self._holds_slot = False  # the attempt holds a replacement slot
        self._replacing_since_ms = -math.inf
        self._failures = 0
        self._connect_at_ms = math.inf  # when to connect if no call needs it earlier
        self._timer_at_ms = math.inf  # when the poller checks the connection's deadline
        # On any connection.
        self._last_message_ms = self._last_response_ms = self._last_later_report_ms = clock.now_ms()
        self._last_received_ms = self._last_report_ms = self._last_message_ms
        self._last_refusal_ms = -math.inf  # of an attempt to replace an open connection
        self._report_count = 0  # load reports received unasked on this connection
        self._heartbeat_timeouts = 0  # on consecutive connections
        self._heartbeat_gap_ms = math.inf
        self._gaps_ms: deque[float] = deque(maxlen=GAP_SAMPLES)
        if not suspended:
            poller.call_soon(lambda: self._schedule_connect(random.uniform(0.0, spread_ms)))

    # -- the planner's thread -------------------------------------------------------------------------
    def connect(self) -> None:
        """Connect now instead of when the backoff ends."""
        if not self._connect_requested:  # at most one request is queued while a server is unreachable
            self._connect_requested = True
            self._poller.call_soon(self._connect_now)

    def disconnect(self) -> None:
        """Close the connection and do not reconnect until connect() is called."""
        self._poller.call_soon(self._suspend)

    def end(self) -> None:
        """Close the link for good."""
        with self._lock:
            self._ended = True
            connection = self._connection
        if connection is not None:
            connection.close()
        self._poller.call_soon(self._shut_down)

    def send(
        self, data: bytes, epoch: int | None = None, tag: str = "", gate: WriteGate | None = None
    ) -> None:
        """Send on the connection with that epoch, or on the current one.

        Data for a connection that is gone is discarded; LinkDown reports that end.
        """
        with self._lock:
            connection = self._connection if epoch is None or epoch == self._epoch else None
        if connection is not None:
            connection.send(data, tag, gate)

    def withdraw(self, tag: str) -> set[str]:
        """Remove unwritten messages with this tag, as Connection.withdraw() does."""
        with self._lock:
            connection = self._connection
        return connection.withdraw(tag) if connection is not None else set()

    def is_queued(self, tag: str) -> bool:
        """Whether a message with this tag is not yet wholly written."""
        with self._lock:
            connection = self._connection
        return connection is not None and connection.is_queued(tag)

    def signs_of_life(self) -> SignsOfLife:
        """When messages were last received.  Thread-safe."""
        response_ms = self._last_response_ms
        return SignsOfLife(
            self._last_message_ms,
            max(response_ms, self._last_later_report_ms),
            response_ms,
            self._last_refusal_ms,
        )

    def replace_connection(self) -> None:
        """Replace the connection as after a missed heartbeat."""
        self._poller.call_soon(self._replace_silent)

    def is_flushed(self) -> bool:
        """Whether the write queue is empty."""
        with self._lock:
            return self._connection is None or self._connection.is_flushed()

    # -- connecting -----------------------------------------------------------------------------------
    def _schedule_connect(self, pause_ms: float) -> None:
        if self._suspended:
            return
        self._connect_at_ms = connect_at_ms = self._clock.now_ms() + pause_ms
        self._poller.call_at(
            connect_at_ms, lambda: self._connect() if self._connect_at_ms == connect_at_ms else None
        )

    def _suspend(self) -> None:
        self._suspended, self._connect_at_ms, self._replacing = True, math.inf, False
        if self._connect_attempt is not None:
            self._connect_attempt.cancel()
            self._connect_attempt = None
        self._release_slot()
        if self._connection is not None:
            self._connection.close_after_flush(1000, "not needed")
            self._connection_ended(self._connection)

    def _connect_now(self) -> None:
        self._connect_requested = self._suspended = False
        if self._connection is None and self._connect_attempt is None:
            self._connect()

    def _connect(self) -> None:
        if not self._ended and self._connect_attempt is None:
            self._connect_at_ms = math.inf
            address = self.endpoint.removeprefix(WEBSOCKET_SCHEME).partition("/")[0]
            deadline_ms = self._clock.now_ms() + self._connect_timeout_ms
            self._connect_attempt = ConnectAttempt(
                address, self._poller, self._clock, deadline_ms, self._on_connect_result
            )
            if self._connect_attempt.finished:
                self._connect_attempt = None  # its result has been handled already

    def _on_connect_result(self, sock: socket.socket | None, problem: Exception | None) -> None:
        self._connect_attempt = None
        self._release_slot()
        if self._replacing:
            self._on_replacement_result(sock, problem)
        elif sock is not None:
            self._start_connection(sock)
        else:
            if self._failures == 0:
                logger.info(
                    "server {server}: no connection: {problem}",
                    event="link-refused",
                    server=self.server,
                    problem=problem,
                )
            self._connect_failed(isinstance(problem, ConnectionRefusedError))

    def _connect_failed(self, refused: bool) -> None:
        """Report that no connection was established, and schedule the next attempt."""
        if self._ended:
            return
        self._was_dropped = False
        self._emit(LinkDown(self.server, None, refused))
        pause_ms = BACKOFF_MS[min(self._failures, len(BACKOFF_MS) - 1)]
        self._failures += 1
        self._schedule_connect(
            max(pause_ms, self._spread_ms) * random.uniform(1.0 - BACKOFF_JITTER, 1.0 + BACKOFF_JITTER)
        )

    def _start_connection(self, sock: socket.socket) -> None:
        self._opened = False
        now_ms = self._clock.now_ms()
        epoch = next(EPOCH_COUNTER)
        connection = Connection(
            sock,
            self._framing(),
            lambda line: self._message(line, epoch),
            lambda: None,
            f"link {self.server}",
            self._clock,
            now_ms + self._connect_timeout_ms,
            self._on_opened,
            self._read_deadline,
            on_timeout=self._on_timeout,
        )
        self._last_received_ms, self._report_count = now_ms, 0
        with self._lock:
            self._epoch = epoch
            self._connection = connection
            ended = self._ended
        if ended:
            connection.close()
        self._sock = sock
        self._poller.register(sock, select.POLLIN, lambda events: self._step(connection, True))
        if connection.begin():
            self._arm_timer(connection)
        else:
            self._connection_ended(connection)

    def _step(self, connection: Connection, readable: bool) -> None:
        """Handle readable data or a passed deadline."""
        if self._connection is not connection:
            return
        if connection.step(readable):
            self._arm_timer(connection)
        else:
            self._connection_ended(connection)

    def _arm_timer(self, connection: Connection) -> None:
        """Schedule a check at the connection's deadline, unless an earlier check is scheduled."""
        due_ms = connection.deadline_ms()
        if due_ms < self._timer_at_ms:
            self._timer_at_ms = due_ms
            self._poller.call_at(due_ms, lambda: self._on_timer(connection, due_ms))

    def _on_timer(self, connection: Connection, timer_at_ms: float) -> None:
        if self._connection is connection:
            if self._timer_at_ms == timer_at_ms:
                self._timer_at_ms = math.inf
            self._step(connection, False)

    def _read_remaining(self, connection: Connection, sock: socket.socket) -> None:
        """Keep reading a replaced connection for REPLACED_READ_MS.

        Otherwise the end of a call would be lost that the server sent just before it saw the close.
        """
        ended = False

        def end() -> None:
            nonlocal ended
            if not ended:
                ended = True
                self._replacement_slots.release()
                self._poller.unregister(sock)
                connection.end()

        def on_readable(events: int) -> None:
            if not connection.step(True):
                end()

        connection.close_after_flush(1001, connection.drop_reason)
        self._poller.register(sock, select.POLLIN, on_readable)
        self._poller.call_at(self._clock.now_ms() + REPLACED_READ_MS, end)

    def _connection_ended(self, connection: Connection, replacement: socket.socket | None = None) -> None:
        """Handle the end of the connection; replacement: the socket that takes its place, if any."""
        with self._lock:
            self._connection = None
        self._timer_at_ms = math.inf
        self._poller.unregister(self._sock)
        if replacement is not None and self._replacement_slots.acquire():
            self._read_remaining(connection, self._sock)
        else:
            connection.end()
        if self._replacing and self._connect_attempt is not None:
            # The attempt continues as an ordinary one.
            self._replacing = False
        self._was_dropped = False
        if self._ended:
            if replacement is not None:
                replacement.close()
            return
        if not self._opened:  # connected, but the WebSocket handshake failed
            self._connect_failed(False)
            return
        self._failures = 0
        if connection.drop_reason:
            logger.warning(
                "server {server}: connection dropped: {reason}",
                event="link-dropped",
                server=self.server,
                reason=connection.drop_reason,
            )
            self._was_dropped = True
        else:
            logger.info(
                "server {server}: connection closed by the server",
                event="link-closed",
                server=self.server,
                epoch=self._epoch,
            )
        self._emit(LinkDown(self.server, self._epoch, last_message_ms=self._last_message_ms))
        if replacement is not None:
            self._start_connection(replacement)
        elif self._connect_attempt is None:
            self._schedule_connect(random.uniform(0.0, self._spread_ms))

    def _shut_down(self) -> None:
        if self._connect_attempt is not None:
            self._connect_attempt.cancel()
            self._connect_attempt = None
        self._release_slot()
        if (connection := self._connection) is not None:
            self._connection_ended(connection)

    def _framing(self) -> Framing:
        if self.endpoint.startswith(WEBSOCKET_SCHEME):
            host, slash, path = self.endpoint.removeprefix(WEBSOCKET_SCHEME).partition("/")
            return WebSocket(host, slash + path or "/")
        return Lines()

    def _on_opened(self) -> None:
        self._opened = True
        if self._was_up:
            logger.info(
                "server {server}: connection restored",
                event="link-restored",
                server=self.server,
                epoch=self._epoch,
            )
        else:  # a start opens hundreds at once
            logger.debug(
                "server {server}: connection up", event="link-up", server=self.server, epoch=self._epoch
            )
        self._was_up = True
        self._emit(LinkUp(self.server, self._epoch, self._was_dropped))

    # -- a server's heartbeat -------------------------------------------------------------------------
    def _read_deadline(self, partial_since_ms: float) -> float:
        """When the connection counts as dead if nothing arrives by then."""
        heartbeat_deadline_ms = (
            math.inf
            if self._replacing
            else self._last_received_ms
            + HEARTBEAT_TIMEOUT_GAPS * self._heartbeat_gap_ms
            + HEARTBEAT_TIMEOUT_SLACK_MS
        )
        return min(
            max(heartbeat_deadline_ms, self._replace_after_ms), partial_since_ms + PARTIAL_MESSAGE_TIMEOUT_MS
        )

    def _record_report(self, now_ms: float) -> None:
        """Record a load report that arrived unasked, and learn the gap between reports.

        The first report of a connection is sent when it opens, out of step, so it starts no gap.  The learned
        gap is kept for later connections, so that one that dies before it could be learned is noticed too.
        """
        self._report_count += 1
        if self._report_count > 1:
            self._heartbeat_timeouts = 0
        if self._report_count > 2:
            self._gaps_ms.append(now_ms - self._last_report_ms)
            if len(self._gaps_ms) == GAP_SAMPLES and max(self._gaps_ms) <= MAX_GAP_RATIO * min(self._gaps_ms):
                if self._heartbeat_gap_ms == math.inf:
                    logger.debug(
                        "server {server}: heartbeat learned, {gap_ms:.0f} ms",
                        event="heartbeat-learned",
                        server=self.server,
                        gap_ms=max(self._gaps_ms),
                    )
                self._heartbeat_gap_ms = max(self._gaps_ms)
        self._last_report_ms = now_ms

    def _forget_heartbeat(self, reason: str) -> None:
        logger.info(
            "server {server}: heartbeat no longer expected: {reason}",
            event="heartbeat-forgotten",
            server=self.server,
            reason=reason,
        )
        self._gaps_ms.clear()
        self._heartbeat_gap_ms = math.inf

    def _on_timeout(self) -> bool:
        """Handle a missed heartbeat: try a new connection, and keep this one until that is established.

        A server that drains is silent too, and refuses new connections.  The old connection is kept then, so
        that a drain does not interrupt its established calls.
        """
        now_ms = self._clock.now_ms()
        if self._connect_attempt is None and not self._replacement_slots.acquire():
            self._replace_after_ms = now_ms + REPLACEMENT_RETRY_MS
            return True
        self._replacing, self._replacing_since_ms = True, now_ms
        logger.info(
            "server {server}: nothing received for {silent_ms:.0f} ms, connecting anew",
            event="heartbeat-missed",
            server=self.server,
            epoch=self._epoch,
            silent_ms=now_ms - self._last_received_ms,
        )
        if self._connect_attempt is None:
            self._holds_slot = True
            self._connect()
        return True

    def _replace_silent(self) -> None:
        if self._connection is not None and not self._replacing:
            self._on_timeout()

    def _release_slot(self) -> None:
        """Free the replacement slot, if one is held: its attempt has succeeded, failed or been cancelled."""
        if self._holds_slot:
            self._holds_slot = False
            self._replacement_slots.release()

    def _on_replacement_result(self, sock: socket.socket | None, problem: Exception | None) -> None:
        """Handle the result of an attempt to replace a silent connection."""
        self._replacing = False
        connection = self._connection
        if connection is not None and self._last_received_ms > self._replacing_since_ms:  # it was only slow
            if sock is not None:
                sock.close()
            self._arm_timer(connection)
            return
        if isinstance(problem, ConnectionRefusedError):
            self._last_refusal_ms = self._clock.now_ms()
            self._forget_heartbeat("a new connection was refused")
            return
        self._heartbeat_timeouts += 1
        if self._heartbeat_timeouts >= MAX_HEARTBEAT_TIMEOUTS:
            # There is no heartbeat any more: stop replacing connections for it.
            self._forget_heartbeat("it was missed on several connections in a row")
        if connection is not None:
            connection.drop_reason = "nothing came"
            self._connection_ended(connection, sock)
        elif sock is not None:
            self._start_connection(sock)

    def _message(self, line: bytes, epoch: int) -> None:
        self._last_message_ms = now_ms = self._clock.now_ms()
        is_current = epoch == self._epoch  # false: a replaced connection that is still read
        if is_current:
            self._last_received_ms = now_ms
        try:
            event = vocabulary.parse_server_message(self.server, vocabulary.decode(line), not is_current)
        except vocabulary.InvalidMessageError as problem:
            # The data that follows can't be trusted either: closing the connection ends its calls.
            raise CloseConnectionError(
                f"a message that can't be read: {problem}", invalid_message=True
            ) from problem
        if not isinstance(event, ServerReported) or event.token:
            self._last_response_ms = now_ms
        elif is_current:
            self._record_report(now_ms)
            if self._report_count > 1:
                self._last_later_report_ms = now_ms
        if event is not None:
            self._emit(event)


class Links:
    """All links of one planner; what the servers send is passed on as events.

    fleet_size: the number of proxies that learn of a server at about the same time.  max_open: the number of
    links that may be open at a time.  With more servers, the other links are suspended; a call that needs one
    of them suspends the least recently used link for which is_idle() returns True.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout_ms: float,
        emit: EventSink,
        fleet_size: int = 1,
        name: str = "links",
        max_open: int = 1 << 20,
        is_idle: Callable[[str], bool] = lambda server: True,
    ) -> None:
        self._clock, self._connect_timeout_ms, self._emit, self._fleet_size = (
            clock,
            connect_timeout_ms,
            emit,
            fleet_size,
        )
        self._max_open, self._is_idle = max_open, is_idle
        self._links: dict[str, Link] = {}
        self._active: dict[str, None] = {}  # servers whose links are not suspended, least recently used first
        self.poller = Poller(clock, name)
        self._replacement_slots = ReplacementSlots()
        self._thread: threading.Thread | None = None

    def open(self, server: str, endpoint: str) -> None:
        """Open a link to a server, replacing its previous one."""
        self.close(server)
        if self._thread is None:
            self._thread = start_thread(self.poller.run, self.poller.name)
        spread_ms = SPREAD_PER_SERVER_MS * len(self._links) + SPREAD_PER_PROXY_MS * self._fleet_size
        suspended = len(self._active) >= self._max_open
        self._links[server] = Link(
            server,
            endpoint,
            self._clock,
            self._connect_timeout_ms,
            self._emit,
            self.poller,
            spread_ms,
            suspended,
            self._replacement_slots,
        )
        if not suspended:
            self._active[server] = None

    def _touch(self, server: str) -> Link | None:
        """Mark the server's link as most recently used, and return it."""
        if server in self._active:
            del self._active[server]
            self._active[server] = None
        return self._links.get(server)

    def close(self, server: str) -> None:
        """Close the server's link for good."""
        self._active.pop(server, None)
        if (link := self._links.pop(server, None)) is not None:
            link.end()

    def connect(self, server: str) -> str:
        """Connect the server's link now; returns the server whose link was suspended for it, if any."""
        if (link := self._touch(server)) is None:
            return ""
        suspended_server = ""
        if server not in self._active:
            if len(self._active) >= self._max_open:
                suspended_server = next(
                    (candidate for candidate in self._active if self._is_idle(candidate)), ""
                )
                if not suspended_server:
                    return ""  # all links have calls: the attempt fails for lack of a connection
                self.disconnect(suspended_server)
            self._active[server] = None
        link.connect()
        return suspended_server

    def disconnect(self, server: str) -> None:
        """Close the server's connection until connect() is called."""
        if server in self._active:
            del self._active[server]
            self._links[server].disconnect()

    def set_up(self, server: str, epoch: int, request: SetUp, remaining_ms: float, gate: WriteGate) -> None:
        """Send a set-up on the connection with this epoch."""
        if (link := self._touch(server)) is not None:
            link.send(vocabulary.encode_set_up(request, remaining_ms), epoch, request.id, gate)

    def withdraw(self, server: str, call_id: str = "") -> set[str]:
        """Withdraw the unwritten set-up of a call, or of all calls; returns the call ids."""
        return link.withdraw(call_id) if (link := self._links.get(server)) is not None else set()

    def is_queued(self, server: str, call_id: str) -> bool:
        """Whether the set-up of this call is not yet wholly written."""
        return (link := self._links.get(server)) is not None and link.is_queued(call_id)

    def release(self, server: str, call_id: str, cause: int) -> None:
        """Send a release for a call."""
        if (link := self._links.get(server)) is not None:
            link.send(vocabulary.encode("release", call_id, cause))

    def probe(self, server: str, epoch: int, token: str) -> None:
        """Send a ping whose pong will carry the token."""
        if (link := self._links.get(server)) is not None:
            link.send(vocabulary.encode("ping", token, 1), epoch)

    def signs_of_life(self, server: str) -> SignsOfLife:
        """When messages were last received from the server; now if it has no link."""
        if (link := self._links.get(server)) is None:
            now_ms = self._clock.now_ms()
            return SignsOfLife(now_ms, now_ms, now_ms)
        return link.signs_of_life()

    def replace_connection(self, server: str) -> None:
        """Connect to the server anew, and drop the current connection once that has succeeded."""
        if (link := self._links.get(server)) is not None:
            link.replace_connection()

    def is_flushed(self) -> bool:
        """Whether the write queues of all links are empty."""
        return all(link.is_flushed() for link in self._links.values())
