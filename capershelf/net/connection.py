"""A connection: one thread that reads, and a bounded outbox that only a slow peer ever fills.

post() never waits: it writes what the socket takes at once and leaves the rest to a writer thread of the
connection's own, so that a slow reader stalls only itself.  One that lets its outbox overflow is closed.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections import deque
from collections.abc import Callable

from loguru import logger

from capershelf.core.clock import Clock
from capershelf.net.framing import Framing, OverError, Reply

OUTBOX_BYTES = 256 * 1024
DRAIN_MS = 1000.0  # a peer that was told goodbye may take so long to hang up
STACK_BYTES = 256 * 1024


def start_thread(target: Callable[[], None], name: str) -> threading.Thread:
    """A daemon thread with a small stack."""
    threading.stack_size(STACK_BYTES)
    thread = threading.Thread(target=target, name=name, daemon=True)
    thread.start()
    return thread


def parse_endpoint(text: str) -> tuple[str, int]:
    """host:port, with brackets round an IPv6 host."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not host:port: {text!r}")
    return host.strip("[]"), int(port)


def connect(endpoint: str, clock: Clock, deadline_ms: float) -> socket.socket:
    """A connected socket by the deadline, or an OSError."""
    host, port = parse_endpoint(endpoint)
    left = clock.seconds_until(deadline_ms)
    if left == 0.0:
        raise TimeoutError("the deadline is over")
    sock = socket.create_connection((host, port), left)
    sock.settimeout(None)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def bound(sock: socket.socket, clock: Clock, deadline_ms: float) -> None:
    """Let the socket wait no longer than to the deadline: here, and above, it becomes the socket's own."""
    left = clock.seconds_until(deadline_ms)
    if left == 0.0:
        raise TimeoutError("the deadline is over")
    sock.settimeout(left)


class Connection:
    """A socket with its framing; on_opened, on_message and, once and last, on_closed are called on the thread
    that reads.  A peer that has not finished the framing's handshake by open_by_ms is hung up on."""

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
    ) -> None:
        self.name = name
        self._sock = sock
        self._framing = framing
        self._on_message = on_message
        self._on_closed = on_closed
        self._clock, self._open_by_ms, self._on_opened = clock, open_by_ms, on_opened
        self._changed = threading.Condition()
        self._outbox: deque[bytes] = deque()
        self._queued = 0
        self._writing = False
        self._closed = False

    def start(self) -> None:
        start_thread(self.read, self.name)

    def post(self, message: bytes) -> bool:
        """Send a message; False if the connection is not open or its peer too slow."""
        return self._framing.opened and self._post(self._framing.frame(message))

    def _post(self, data: bytes) -> bool:
        with self._changed:
            if self._closed:
                return False
            if not self._outbox:
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self._shut()
                    return False
                if sent == len(data):
                    return True
                data = data[sent:]
            if self._queued + len(data) > OUTBOX_BYTES:
                logger.warning("{}: its peer reads too slowly, closed", self.name)
                self._shut()
                return False
            self._outbox.append(data)
            self._queued += len(data)
            if not self._writing:
                self._writing = True
                start_thread(self._write, f"{self.name} writer")
            return True

    def close(self, code: int = 1000, reason: str = "") -> None:
        """End the connection; the reading thread then says so."""
        if farewell := self._framing.farewell(code, reason):
            self._post(farewell)
        with self._changed:
            self._shut()

    def _shut(self) -> None:
        self._closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)  # wakes the reader and a writer that is stuck

    def _write(self) -> None:
        """Send the outbox, then end: the next overflow starts another writer."""
        while True:
            with self._changed:
                if self._closed or not self._outbox:
                    self._writing = False
                    return
                data = self._outbox[0]
            try:
                self._sock.sendall(data)
            except OSError:
                with self._changed:
                    self._writing = False
                    self._shut()
                return
            with self._changed:
                # Only now: while it stands in the outbox nobody else may write past it.
                self._outbox.popleft()
                self._queued -= len(data)

    def read(self) -> None:
        """Read to the connection's end."""
        try:
            self._read()
        except OSError:
            pass  # reset: an end like any other
        except Exception:  # a fault in one connection must not pass without a word, nor reach the others
            logger.exception("{}: ended by a fault", self.name)
        finally:
            with self._changed:
                self._shut()
                self._outbox.clear()
                self._sock.close()
            self._framing.done()
            self._on_closed()

    def _read(self) -> None:
        opened = self._framing.opened
        if opened:
            self._on_opened()
        else:
            self._post(self._framing.opening())
            bound(self._sock, self._clock, self._open_by_ms)
        while count := self._sock.recv_into(self._framing.space()):
            try:
                for found in self._framing.filled(count):
                    if not opened and self._framing.opened:
                        opened = self._open()
                    if isinstance(found, Reply):
                        self._post(found)
                    else:
                        self._on_message(found)
                if not opened and self._framing.opened:
                    opened = self._open()
            except OverError as over:
                logger.debug("{}: {}", self.name, over)
                if over.farewell and self._post(over.farewell):
                    self._drain()
                return

    def _open(self) -> bool:
        self._sock.settimeout(None)
        self._on_opened()
        return True

    def _drain(self) -> None:
        """Wait for the peer to close: an end with unread bytes would reset, and take the farewell with it."""
        self._sock.shutdown(socket.SHUT_WR)
        until_ms = self._clock.now_ms() + DRAIN_MS
        bound(self._sock, self._clock, until_ms)
        while self._sock.recv_into(self._framing.space()):
            bound(self._sock, self._clock, until_ms)
