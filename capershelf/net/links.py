"""Links to booking servers: one multiplexed connection each, kept open for what comes unasked.

All links of a planner are read by one thread (net/poller.py).
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

from capershelf.core import model as m
from capershelf.core.clock import Clock
from capershelf.net import vocabulary
from capershelf.net.addresses import AddressInfo, parse_endpoint, resolve
from capershelf.net.connection import Connection, spawn, start_thread
from capershelf.net.framing import Framing, Lines, OverError
from capershelf.net.poller import Poller
from capershelf.net.websocket import WebSocket

WS = "ws://"  # an endpoint that begins so is spoken to over WebSocket
# For the rest of a message that a server has begun.  Less than any release time: what is called off while the
# connection is dead and can't say so must not be sent again before its end has given it up at the server.
HALF_MS = 150.0
# Servers tell their state unasked.  Where that comes at even gaps, a connection on which nothing has come for
# somewhat more than one of them is of no further use, whatever is out on it.
PULSES, EVEN = 3, 1.25  # so many gaps, the longest no more than so many times the shortest
LATE_PULSE, LATE_MS = 1.4, 50.0  # gaps, and what may come on top
LATES = 4  # connections that miss it one after another: there is no pulse
# Connections being made in place of silent ones, and those that are heard out, over the links' share.
REPAIRS = 16
LATER_MS = 100.0  # with none of these left, a silent connection is looked at again after so long
HEAR_OUT_MS = 1000.0  # what comes on a connection that was replaced is still heard for so long
BACK_OFF_MS = (50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)
JITTER = 0.5  # of a pause, up or down: proxies that lost a server together do not come back together
# Links that nobody waits for yet are opened spread over time: so long for each server that is listed,
OPEN_MS = 5.0
FLEET_MS = 1.0  # and for each proxy that hears of a server with this one.

EPOCHS = itertools.count(1)  # of all links: guards a server's new link from the end of its old one
Post = Callable[[m.Event], None]


class Dial:
    """One attempt to connect, to each address of a host in turn; says once how it came out."""

    def __init__(
        self,
        address: str,
        poller: Poller,
        clock: Clock,
        by_ms: float,
        done: Callable[[socket.socket | None, Exception | None], None],
    ) -> None:
        self._poller, self._clock, self._by_ms, self._done = poller, clock, by_ms, done
        self._sock: socket.socket | None = None
        self._left: list[AddressInfo] = []
        self.over = False
        try:
            host, port = parse_endpoint(address)
            found = resolve(host, port, socket.AI_NUMERICHOST)
        except socket.gaierror:  # a name: looking it up takes as long as it takes, on a thread of its own
            spawn(lambda: self._look_up(host, port))
        except (OSError, ValueError) as problem:
            self._finish(None, problem)
        else:
            self._found(found)
        poller.at(by_ms, lambda: self._finish(None, TimeoutError("no answer in time")))

    def _look_up(self, host: str, port: int) -> None:
        try:
            found = resolve(host, port)
        except OSError as problem:
            self._poller.do(lambda problem=problem: self._finish(None, problem))  # type: ignore[misc]
        else:
            self._poller.do(lambda: self._found(found))

    def _found(self, found: list[AddressInfo]) -> None:
        self._left = found
        self._next(OSError("no address"))

    def _next(self, problem: Exception) -> None:
        """Try the next address; the problem is the last one's."""
        while self._left and not self.over:
            family, kind, protocol, _, address = self._left.pop(0)
            try:
                sock = socket.socket(family, kind, protocol)
            except OSError as fault:  # such as no descriptor left
                problem = fault
                continue
            sock.setblocking(False)
            number = sock.connect_ex(address)
            if number in (0, errno.EINPROGRESS):
                self._sock = sock
                self._poller.watch(sock, select.POLLOUT, self._came)
                return
            sock.close()
            problem = OSError(number, os.strerror(number))
        self._finish(None, problem)

    def _came(self, what: int) -> None:
        sock = self._sock
        assert sock is not None
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self._poller.forget(sock)
        self._sock = None
        if number:
            sock.close()
            self._next(OSError(number, os.strerror(number)))  # of the class that its number names
            return
        sock.setblocking(True)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._finish(sock, None)

    def end(self) -> None:
        """Nobody wants it any more."""
        self.over = True
        if self._sock is not None:
            self._poller.forget(self._sock)
            self._sock.close()
            self._sock = None

    def _finish(self, sock: socket.socket | None, problem: Exception | None) -> None:
        if self.over:
            if sock is not None:
                sock.close()
            return
        self.end()
        self._done(sock, problem)


class Repairs:
    """Descriptors that links may hold beyond their share while they replace each other; the poller's alone.

    Guards the list's connection, and callers, from a fault that silences several hundred links at once.
    """

    def __init__(self, most: int = REPAIRS) -> None:
        self._left = most

    def take(self) -> bool:
        if self._left <= 0:
            return False
        self._left -= 1
        return True

    def give(self) -> None:
        self._left += 1


class Link:
    """Connects, and connects again after a growing pause, which ends at once when a call needs it.

    wake(), end(), send() and withdraw() are for the planner's thread, all else is the poller's.
    """

    def __init__(
        self,
        server: str,
        endpoint: str,
        clock: Clock,
        connect_ms: float,
        post: Post,
        poller: Poller,
        spread_ms: float = 0.0,
        resting: bool = False,
        repairs: Repairs | None = None,
    ) -> None:
        self._repairs = repairs or Repairs()
        self._later_ms = -math.inf  # a silent connection is not replaced before this
        self.server, self.endpoint = server, endpoint
        self._clock, self._connect_ms, self._post, self._poller = clock, connect_ms, post, poller
        self._spread_ms = spread_ms
        self._lock = threading.Lock()
        self._connection: Connection | None = None
        self._epoch = 0
        self._ended = self._opened = self._woken = self._dropped = False
        self._resting = resting
        self._dial: Dial | None = None
        self._in_place = False  # the attempt is for one in place of a connection that has fallen silent
        self._repairing = False  # and takes a descriptor beyond the share
        self._late_ms = -math.inf  # since then
        self._failures = 0
        self._next_ms = math.inf  # when to connect, if nobody needs it before
        self._armed_ms = math.inf  # when the poller looks at the connection's time
        self._heard_ms = self._pulse_ms = clock.now_ms()
        self._states = 0  # told on this connection
        self._lates = 0  # connections that fell silent, one after another
        self._gap_ms = math.inf
        self._pulses: deque[float] = deque(maxlen=PULSES)  # the last gaps between two states
        if not resting:
            poller.do(lambda: self._pause(random.uniform(0.0, spread_ms)))

    # -- the planner's thread -------------------------------------------------------------------------
    def wake(self) -> None:
        if not self._woken:  # one is enough: guards the queue while a server stays away
            self._woken = True
            self._poller.do(self._now)

    def rest(self) -> None:
        """Close, and connect no more until woken."""
        self._poller.do(self._rest)

    def end(self) -> None:
        with self._lock:
            self._ended = True
            connection = self._connection
        if connection is not None:
            connection.close()
        self._poller.do(self._end)

    def send(
        self, data: bytes, epoch: int | None = None, tag: str = "", gate: m.WriteGate | None = None
    ) -> None:
        """Write on the connection of that number, or on the present one; one that is gone says so itself."""
        with self._lock:
            connection = self._connection if epoch is None or epoch == self._epoch else None
        if connection is not None:
            connection.post(data, tag, gate)

    def withdraw(self, tag: str) -> set[str]:
        with self._lock:
            connection = self._connection
        return connection.withdraw(tag) if connection is not None else set()

    def written(self) -> bool:
        """Whether nothing waits to be written."""
        with self._lock:
            return self._connection is None or self._connection.written()

    # -- connecting -----------------------------------------------------------------------------------
    def _pause(self, pause_ms: float) -> None:
        if self._resting:
            return
        self._next_ms = next_ms = self._clock.now_ms() + pause_ms
        self._poller.at(next_ms, lambda: self._connect() if self._next_ms == next_ms else None)

    def _rest(self) -> None:
        self._resting, self._next_ms, self._in_place = True, math.inf, False
        if self._dial is not None:
            self._dial.end()
            self._dial = None
        self._repaired()
        if self._connection is not None:
            self._connection.finish(1000, "not needed")
            self._down(self._connection)

    def _now(self) -> None:
        self._woken = self._resting = False
        if self._connection is None and self._dial is None:
            self._connect()

    def _connect(self) -> None:
        if not self._ended and self._dial is None:
            self._next_ms = math.inf
            address = self.endpoint.removeprefix(WS).partition("/")[0]
            by_ms = self._clock.now_ms() + self._connect_ms
            self._dial = Dial(address, self._poller, self._clock, by_ms, self._dialled)
            if self._dial.over:
                self._dial = None  # it has said so already

    def _dialled(self, sock: socket.socket | None, problem: Exception | None) -> None:
        self._dial = None
        self._repaired()
        if self._in_place:
            self._replaced(sock, problem)
        elif sock is not None:
            self._up(sock)
        else:
            if self._failures == 0:
                logger.info(
                    "server {server}: no connection: {problem}",
                    event="link-refused",
                    server=self.server,
                    problem=problem,
                )
            self._failed(isinstance(problem, ConnectionRefusedError))

    def _failed(self, refused: bool) -> None:
        """Tell that no connection came up, and pause."""
        if self._ended:
            return
        self._dropped = False
        self._post(m.LinkDown(self.server, None, refused))
        pause_ms = BACK_OFF_MS[min(self._failures, len(BACK_OFF_MS) - 1)]
        self._failures += 1
        self._pause(max(pause_ms, self._spread_ms) * random.uniform(1.0 - JITTER, 1.0 + JITTER))

    def _up(self, sock: socket.socket) -> None:
        self._opened = False
        now_ms = self._clock.now_ms()
        epoch = next(EPOCHS)
        connection = Connection(
            sock,
            self._framing(),
            lambda line: self._message(line, epoch),
            lambda: None,
            f"link {self.server}",
            self._clock,
            now_ms + self._connect_ms,
            self._open,
            self._due,
            on_late=self._late,
        )
        self._heard_ms, self._states = now_ms, 0
        with self._lock:
            self._epoch = epoch
            self._connection = connection
            ended = self._ended
        if ended:
            connection.close()
        self._sock = sock
        self._poller.watch(sock, select.POLLIN, lambda what: self._look(connection, True))
        if connection.begin():
            self._arm(connection)
        else:
            self._down(connection)

    def _look(self, connection: Connection, came: bool) -> None:
        """Something has come on the connection, or its time may be over."""
        if self._connection is not connection:
            return
        if connection.step(came):
            self._arm(connection)
        else:
            self._down(connection)

    def _arm(self, connection: Connection) -> None:
        """Have the connection looked at when it is due: once for all that comes before."""
        due_ms = connection.due_ms()
        if due_ms < self._armed_ms:
            self._armed_ms = due_ms
            self._poller.at(due_ms, lambda: self._rearm(connection, due_ms))

    def _rearm(self, connection: Connection, armed_ms: float) -> None:
        if self._connection is connection:
            if self._armed_ms == armed_ms:
                self._armed_ms = math.inf
            self._look(connection, False)

    def _hear_out(self, connection: Connection, sock: socket.socket) -> None:
        """Read what is still on its way on a connection that another has taken the place of, for a while.

        Guards against the end of a call that its server wrote there just before it saw the close.
        """
        over = False

        def end() -> None:
            nonlocal over
            if not over:
                over = True
                self._repairs.give()
                self._poller.forget(sock)
                connection.end()

        def look(what: int) -> None:
            if not connection.step(True):
                end()

        connection.finish(1001, connection.dropped)
        self._poller.watch(sock, select.POLLIN, look)
        self._poller.at(self._clock.now_ms() + HEAR_OUT_MS, end)

    def _down(self, connection: Connection, again: socket.socket | None = None) -> None:
        """The connection has ended; again: one that is up in its place."""
        with self._lock:
            self._connection = None
        self._armed_ms = math.inf
        self._poller.forget(self._sock)
        if again is not None and self._repairs.take():
            self._hear_out(connection, self._sock)
        else:
            connection.end()
        if self._in_place and self._dial is not None:  # what was meant to take its place may still come up
            self._in_place = False
        self._dropped = False
        if self._ended:
            if again is not None:
                again.close()
            return
        if not self._opened:  # connected, but no WebSocket came of it
            self._failed(False)
            return
        self._failures = 0
        if connection.dropped:
            logger.warning(
                "server {server}: connection dropped: {reason}",
                event="link-dropped",
                server=self.server,
                reason=connection.dropped,
            )
            self._dropped = True
        self._post(m.LinkDown(self.server, self._epoch))
        if again is not None:
            self._up(again)
        elif self._dial is None:
            self._pause(random.uniform(0.0, self._spread_ms))

    def _end(self) -> None:
        if self._dial is not None:
            self._dial.end()
            self._dial = None
        self._repaired()
        if (connection := self._connection) is not None:
            self._down(connection)

    def _framing(self) -> Framing:
        if self.endpoint.startswith(WS):
            host, slash, path = self.endpoint.removeprefix(WS).partition("/")
            return WebSocket(host, slash + path or "/")
        return Lines()

    def _open(self) -> None:
        self._opened = True
        self._post(m.LinkUp(self.server, self._epoch, self._dropped))

    # -- a server's pulse -----------------------------------------------------------------------------
    def _due(self, half_ms: float) -> float:
        """When the connection is of no further use if nothing has come by then."""
        late_ms = math.inf if self._in_place else self._heard_ms + LATE_PULSE * self._gap_ms + LATE_MS
        return min(max(late_ms, self._later_ms), half_ms + HALF_MS)

    def _pulse(self, now_ms: float) -> None:
        """A state came unasked.  The first of a connection comes with its opening, and tells no gap.

        What was learned holds for the next connections too: guards against one that dies young.
        """
        self._states += 1
        if self._states > 1:
            self._lates = 0
        if self._states > 2:
            self._pulses.append(now_ms - self._pulse_ms)
            if len(self._pulses) == PULSES and max(self._pulses) <= EVEN * min(self._pulses):
                self._gap_ms = max(self._pulses)
        self._pulse_ms = now_ms

    def _unlearn(self) -> None:
        self._pulses.clear()
        self._gap_ms = math.inf

    def _late(self) -> bool:
        """Nothing has come for too long: try for another connection, and keep this one until it is up.

        A server that drains is silent too, and takes no new connection.  The old one is kept then, for what
        stands there: guards against calls cut in a drain.
        """
        now_ms = self._clock.now_ms()
        if self._dial is None and not self._repairs.take():
            self._later_ms = now_ms + LATER_MS
            return True
        self._in_place, self._late_ms = True, now_ms
        if self._dial is None:
            self._repairing = True
            self._connect()
        return True

    def _repaired(self) -> None:
        """What was being made in place of a silent connection is up, has failed, or is wanted no more."""
        if self._repairing:
            self._repairing = False
            self._repairs.give()

    def _replaced(self, sock: socket.socket | None, problem: Exception | None) -> None:
        """How the attempt to connect in place of a silent connection came out."""
        self._in_place = False
        connection = self._connection
        if connection is not None and self._heard_ms > self._late_ms:  # it was only late
            if sock is not None:
                sock.close()
            self._arm(connection)
            return
        if isinstance(problem, ConnectionRefusedError):
            self._unlearn()
            return
        self._lates += 1
        if self._lates >= LATES:  # it has no pulse any more, and is not to be replaced for that for ever
            self._unlearn()
        if connection is not None:
            connection.dropped = "nothing came"
            self._down(connection, sock)
        elif sock is not None:
            self._up(sock)

    def _message(self, line: bytes, epoch: int) -> None:
        now_ms = self._clock.now_ms()
        present = epoch == self._epoch  # not one that has been replaced and is heard out
        if present:
            self._heard_ms = now_ms
        try:
            event = vocabulary.server_event(self.server, vocabulary.decode(line), not present)
        except vocabulary.UnreadableError as problem:
            # What follows on this connection can't be trusted either: its calls get their ends by the reset.
            raise OverError(f"a message that can't be read: {problem}", foul=True) from problem
        if present and isinstance(event, m.ServerReported) and not event.token:
            self._pulse(now_ms)
        if event is not None:
            self._post(event)


class Links:
    """All links of one planner; answers and releases are posted to whoever has the call.

    fleet: how many proxies hear of a server at about the same time.  most: links that may be up at a time;
    with more servers the others rest, and a call that needs one has the longest unused make room, where
    idle() says that no call is there.
    """

    def __init__(
        self,
        clock: Clock,
        connect_ms: float,
        post: Post,
        fleet: int = 1,
        name: str = "links",
        most: int = 1 << 20,
        idle: Callable[[str], bool] = lambda server: True,
    ) -> None:
        self._clock, self._connect_ms, self._post, self._fleet = clock, connect_ms, post, fleet
        self._most, self._idle = most, idle
        self._links: dict[str, Link] = {}
        self._awake: dict[str, None] = {}  # the servers whose links do not rest, longest unused first
        self.poller = Poller(clock, name)
        self._repairs = Repairs()
        self._thread: threading.Thread | None = None

    def open(self, server: str, endpoint: str) -> None:
        self.close(server)
        if self._thread is None:
            self._thread = start_thread(self.poller.run, self.poller.name)
        spread_ms = OPEN_MS * len(self._links) + FLEET_MS * self._fleet
        resting = len(self._awake) >= self._most
        self._links[server] = Link(
            server,
            endpoint,
            self._clock,
            self._connect_ms,
            self._post,
            self.poller,
            spread_ms,
            resting,
            self._repairs,
        )
        if not resting:
            self._awake[server] = None

    def _use(self, server: str) -> Link | None:
        """The link, used last."""
        if server in self._awake:
            del self._awake[server]
            self._awake[server] = None
        return self._links.get(server)

    def close(self, server: str) -> None:
        self._awake.pop(server, None)
        if (link := self._links.pop(server, None)) is not None:
            link.end()

    def connect(self, server: str) -> str:
        if (link := self._use(server)) is None:
            return ""
        rested = ""
        if server not in self._awake:
            if len(self._awake) >= self._most:
                rested = next((one for one in self._awake if self._idle(one)), "")
                if not rested:
                    return ""  # all have calls on them: this attempt ends as one without a connection
                self.disconnect(rested)
            self._awake[server] = None
        link.wake()
        return rested

    def disconnect(self, server: str) -> None:
        if server in self._awake:
            del self._awake[server]
            self._links[server].rest()

    def set_up(
        self, server: str, epoch: int, request: m.SetUp, remaining_ms: float, gate: m.WriteGate
    ) -> None:
        if (link := self._use(server)) is not None:
            link.send(vocabulary.set_up_bytes(request, remaining_ms), epoch, request.id, gate)

    def withdraw(self, server: str, call_id: str = "") -> set[str]:
        return link.withdraw(call_id) if (link := self._links.get(server)) is not None else set()

    def release(self, server: str, call_id: str, cause: int) -> None:
        if (link := self._links.get(server)) is not None:
            link.send(vocabulary.encode("release", call_id, cause))

    def probe(self, server: str, epoch: int, token: str) -> None:
        if (link := self._links.get(server)) is not None:
            link.send(vocabulary.encode("ping", token, 1), epoch)

    def is_flushed(self) -> bool:
        """Whether nothing waits to be written to any server."""
        return all(link.written() for link in self._links.values())
