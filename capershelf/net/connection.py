"""A connection: one thread that reads, and a bounded outbox that only a slow peer ever fills.

post() never waits: it writes what the socket takes at once and leaves the rest to a writer thread of the
connection's own, so that a slow reader stalls only itself.  One that lets its outbox overflow is closed.
"""

from __future__ import annotations

import _thread
import contextlib
import math
import select
import socket
import threading
from collections import deque
from collections.abc import Callable

from loguru import logger

from capershelf.core.clock import Clock
from capershelf.core.model import WriteGate
from capershelf.net.addresses import parse_endpoint, resolve
from capershelf.net.buffers import MESSAGE_BYTES
from capershelf.net.framing import Framing, OverError, Reply

OUTBOX_BYTES = 64 * 1024
DRAIN_MS = 250.0  # a peer that was told goodbye may take so long to hang up,
DRAIN_BYTES = 64 * 1024  # and what it still sends is read so far: then it is hung up on
FOUL = 1008  # the close code for a peer whose messages can't be dealt with, where the framing has codes
STACK_BYTES = 256 * 1024


def spawn(target: Callable[[], None]) -> None:
    """A thread with a small stack that nobody will join.

    Unlike threading's, this does not wait until the new thread runs: guards the thread that accepts callers
    from standing in line with all the others, once for each caller.
    """
    threading.stack_size(STACK_BYTES)
    _thread.start_new_thread(target, ())


def start_thread(target: Callable[[], None], name: str) -> threading.Thread:
    """A daemon thread with a small stack."""
    threading.stack_size(STACK_BYTES)
    thread = threading.Thread(target=target, name=name, daemon=True)
    thread.start()
    return thread


def connect(endpoint: str, clock: Clock, deadline_ms: float) -> socket.socket:
    """A connected socket by the deadline, to the first address that takes it, or an OSError."""
    host, port = parse_endpoint(endpoint)
    problem = OSError(f"no address: {endpoint}")
    for family, kind, protocol, _, address in resolve(host, port):
        sock = socket.socket(family, kind, protocol)
        try:
            bound(sock, clock, deadline_ms)
            sock.connect(address)
        except OSError as fault:
            sock.close()
            problem = fault
            continue
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock
    raise problem


def bound(sock: socket.socket, clock: Clock, deadline_ms: float) -> None:
    """Let the socket wait no longer than to the deadline: here, and above, it becomes the socket's own."""
    left = clock.seconds_until(deadline_ms)
    if left == 0.0:
        raise TimeoutError("the deadline is over")
    sock.settimeout(left)


def readable(sock: socket.socket, clock: Clock, deadline_ms: float) -> bool:
    """Wait for something to read; False at the deadline.

    The socket itself stays without a time-out: guards those who write to it from waiting along.
    """
    left = clock.seconds_until(deadline_ms)
    waiting = select.poll()
    waiting.register(sock, select.POLLIN)
    return bool(waiting.poll(None if left is None else math.ceil(left * 1000.0)))


def writable(sock: socket.socket) -> None:
    """Wait until something can be written, or until the socket is shut down."""
    waiting = select.poll()
    with contextlib.suppress(ValueError):  # closed meanwhile
        waiting.register(sock, select.POLLOUT)
        waiting.poll()


class Connection:
    """A socket with its framing; on_opened, on_message and, once and last, on_closed are called on the thread
    that reads.  A peer that has not finished the framing's handshake by open_by_ms is hung up on.

    due is told since when half a message lies here (inf: none does) and says by when the peer must have
    sent something; at that time the connection is over, unless on_late says that it may go on.  on_foul may
    say last words to a peer that is hung up on, and tells whether it has.  Afterwards dropped says why this
    end hung up, if it did.
    """

    def __init__(
        self,
        sock: socket.socket,
        framing: Framing,
        on_message: Callable[[bytes], None],
        on_closed: Callable[[], None],
        name: str,
        clock: Clock,
        open_by_ms: float,
        on_opened: Callable[[], None] = lambda: None,
        due: Callable[[float], float] = lambda half_ms: math.inf,
        on_foul: Callable[[str], bool] = lambda reason: False,
        on_late: Callable[[], bool] = lambda: False,
    ) -> None:
        self.name = name
        self._sock = sock
        self._framing = framing
        self._on_message = on_message
        self._on_closed = on_closed
        self._clock, self._open_by_ms, self._on_opened = clock, open_by_ms, on_opened
        self._due, self._on_foul, self._on_late = due, on_foul, on_late
        self._changed = threading.Condition()
        # What is left of each message, its tag, and who is asked before its first byte.
        self._outbox: deque[tuple[bytes, str, WriteGate | None]] = deque()
        self._begun = False  # a part of the first of them has been written
        self._queued = 0
        self._writing = False
        self._closed = self._opened = self._said = self._finishing = self._busy = False
        self._half_ms = math.inf  # since when half a message lies here
        self.dropped = ""

    def start(self) -> None:
        spawn(self.read)

    def post(self, message: bytes, tag: str = "", gate: WriteGate | None = None) -> bool:
        """Send a message; False if the connection is not open or its peer too slow.

        One with a tag can be taken back until its first byte has been written; one with a gate is written
        only if that says so right before its first byte, whenever that may be, and is dropped else.
        """
        return self._framing.opened and self._post(self._framing.frame(message), tag, gate)

    def withdraw(self, tag: str = "") -> set[str]:
        """Take back what waits under this tag, or under any; the tags of which nothing was written.

        One asked for by name that is half written is broken off with the connection: its rest never arrives.
        """
        with self._changed:
            first = self._outbox[0] if self._outbox else None
            if tag and self._begun and first is not None and first[1] == tag:
                self._shut()
                return set()
            found = {one[1] for one in self._outbox if one[1] and tag in ("", one[1])}
            if self._begun and first is not None:
                found.discard(first[1])
            if found:
                self._outbox = deque(one for one in self._outbox if one[1] not in found)
                self._queued = sum(len(data) for data, _, _ in self._outbox)
            return found

    def _post(self, data: bytes, tag: str = "", gate: WriteGate | None = None) -> bool:
        with self._changed:
            if self._closed or self._finishing:
                return False
            begun = False
            if not self._outbox:
                if gate is not None and not gate.may_write():
                    gate.on_dropped()
                    return True
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self._shut()
                    return False
                if sent == len(data):
                    return True
                data, begun = data[sent:], sent > 0
            if self._queued + len(data) > OUTBOX_BYTES:
                logger.warning("{peer}: its peer reads too slowly, closed", event="peer-slow", peer=self.name)
                self._shut()
                return False
            self._outbox.append((data, tag, gate))
            self._begun = self._begun or begun
            self._queued += len(data)
            if not self._writing:
                self._writing = True
                spawn(self._write)
            return True

    def close(self, code: int = 1000, reason: str = "") -> None:
        """End the connection; the reading thread then says so."""
        if farewell := self._framing.farewell(code, reason):
            self._post(farewell)
        with self._changed:
            self._shut()

    def finish(self, code: int = 1000, reason: str = "") -> None:
        """End the connection for this side once all that was posted is written; its peer hears that."""
        if farewell := self._framing.farewell(code, reason):
            self._post(farewell)
        with self._changed:
            self._finishing = True
            if not self._outbox:
                self._last_written()

    def _last_written(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def written(self) -> bool:
        """Whether nothing waits to be written."""
        return self._closed or not self._outbox

    def half(self) -> bool:
        """Whether a part of a message lies here."""
        return self._half_ms < math.inf

    def hung_up(self) -> bool:
        """Whether the peer has closed its end, or the connection is gone, though nobody has read that yet."""
        waiting = select.poll()
        try:
            waiting.register(self._sock, select.POLLRDHUP)
        except ValueError:  # closed here
            return True
        return bool(waiting.poll(0))

    def quiet(self) -> bool:
        """Whether nothing has come that is not dealt with yet; looked at in the order in which it is read."""
        try:
            return not readable(self._sock, self._clock, -math.inf) and not self._busy
        except ValueError:  # closed
            return not self._busy

    def _shut(self) -> None:
        self._closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)  # wakes the reader and a writer that is stuck

    def _write(self) -> None:
        """Send the outbox, then end: the next overflow starts another writer."""
        while True:
            # Only with the lock, and no more than the socket takes: what has not begun can be taken back.
            with self._changed:
                if self._closed or not self._outbox:
                    self._writing = False
                    if self._finishing:
                        self._last_written()
                    return
                data, tag, gate = self._outbox[0]
                if gate is not None and not self._begun and not gate.may_write():
                    self._outbox.popleft()
                    self._queued -= len(data)
                    gate.on_dropped()
                    continue
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self._writing = False
                    self._shut()
                    return
                self._queued -= sent
                self._begun = sent < len(data) and (sent > 0 or self._begun)
                if sent == len(data):
                    self._outbox.popleft()
                    continue
                self._outbox[0] = data[sent:], tag, gate
            writable(self._sock)

    def read(self) -> None:
        """Read to the connection's end, on a thread of its own."""
        if self.begin():
            while self._step(lambda: self._wait() and self.receive()):
                pass
        self.end(drain=True)

    # -- for a thread that reads many (net/poller.py): begin(), step() until it says no, then end() ----
    def begin(self) -> bool:
        """Before the first reading; False: it has ended already, as with step()."""
        return self._step(self._begin)

    def step(self, readable_now: bool) -> bool:
        """Something has come, or due_ms() is over; False: the connection has ended."""
        return self._step(self.receive if readable_now else self._overdue)

    def due_ms(self) -> float:
        """When to look at it again if nothing has come."""
        return self._due(self._half_ms) if self._opened else self._open_by_ms

    def end(self, drain: bool = False) -> None:
        """Once, when it has ended; drain: there is time to wait for the peer to hear the last words."""
        if drain and self._said:
            with contextlib.suppress(OSError):
                self._drain()
        with self._changed:
            self._shut()
            self._outbox.clear()
            self._sock.close()
        self._framing.done()
        self._on_closed()

    def _step(self, what: Callable[[], bool]) -> bool:
        try:
            try:
                return what()
            except OverError as over:
                self.dropped = str(over)
                said = over.foul and self._on_foul(self.dropped)
                farewell = over.farewell or (self._framing.farewell(FOUL, self.dropped) if over.foul else b"")
                self._said = self._post(farewell) if farewell else said
        except OSError:
            pass  # reset: an end like any other
        except Exception:  # a fault in one connection must not pass without a word, nor reach the others
            logger.exception("{peer}: ended by a fault", event="connection-fault", peer=self.name)
        return False

    def _begin(self) -> bool:
        self._opened = self._framing.opened
        if self._opened:
            self._on_opened()
        else:
            self._post(self._framing.opening())
        return True

    def receive(self) -> bool:
        """Read what has come into the framing's space and deal with it; False at the peer's end."""
        self._busy = True  # guards what is read and not dealt with from a close by another thread
        try:
            count = self._sock.recv_into(self._framing.space(), 0, socket.MSG_DONTWAIT)
            if not count:
                return False
            messages = self._take(count)
        except BlockingIOError:
            return True  # it was somebody else's
        finally:
            self._framing.rest()
            self._busy = False
        if not self._framing.half:
            self._half_ms = math.inf
        elif messages or self._half_ms == math.inf:
            self._half_ms = self._clock.now_ms()
        return True

    def _wait(self) -> bool:
        while not readable(self._sock, self._clock, self.due_ms()):
            self._overdue()
        return True

    def _overdue(self) -> bool:
        """due_ms() may be over: True if the connection goes on all the same, as where that was put off."""
        if self._clock.now_ms() < self.due_ms():
            return True
        if not self._opened:
            raise OverError("its handshake was not over in time")
        half = self._half_ms < math.inf
        if half or not self._on_late():
            raise OverError("half a message without its rest" if half else "nothing came", foul=half)
        return True

    def _take(self, count: int) -> int:
        """Deal with what was read; how many messages it held."""
        messages = 0
        for found in self._framing.filled(count):
            self._note_opened()
            if isinstance(found, Reply):
                self._post(found)
            else:
                messages += 1
                self._on_message(found)
        self._note_opened()
        return messages

    def _note_opened(self) -> None:
        if not self._opened and self._framing.opened:
            self._opened = True
            self._on_opened()

    def _drain(self) -> None:
        """Wait for the peer to close: an end with unread bytes would reset, and take the farewell with it."""
        self._sock.shutdown(socket.SHUT_WR)
        until_ms = self._clock.now_ms() + DRAIN_MS
        most = DRAIN_BYTES
        while most > 0 and readable(self._sock, self._clock, until_ms):
            if not (rest := self._sock.recv(MESSAGE_BYTES)):
                return
            most -= len(rest)
