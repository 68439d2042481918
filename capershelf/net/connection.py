"""A framed socket connection with one reading thread and a bounded write queue.

send() never blocks: it writes what the socket accepts immediately and queues the remainder for a writer
thread that belongs to this connection, so a slow peer delays only itself.  A connection whose write queue
overflows is closed.
"""

from __future__ import annotations

import _thread
import contextlib
import fcntl
import math
import select
import socket
import struct
import termios
import threading
from collections import deque
from collections.abc import Callable

from loguru import logger

from capershelf.core.clock import Clock
from capershelf.core.model import WriteGate
from capershelf.net.addresses import parse_endpoint, resolve
from capershelf.net.buffers import MAX_MESSAGE_BYTES
from capershelf.net.framing import CloseConnectionError, Framing, Reply
from capershelf.net.read_pacing import ReadPacer

MAX_WRITE_QUEUE_BYTES = 64 * 1024
CLOSE_DRAIN_MS = 250.0  # how long a peer may take to close its end after the close frame
CLOSE_DRAIN_BYTES = 64 * 1024  # how much of a peer's data is read and discarded meanwhile
CLOSE_POLICY_VIOLATION = 1008  # close code for unprocessable messages, in framings that have close codes
THREAD_STACK_BYTES = 256 * 1024


def start_detached_thread(target: Callable[[], None]) -> None:
    """Start a thread with a small stack that is never joined.

    Unlike threading.Thread.start(), this does not wait until the new thread runs.  The accepting thread would
    otherwise wait, once per connection, for its turn among all running threads.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    _thread.start_new_thread(target, ())


def start_thread(target: Callable[[], None], name: str) -> threading.Thread:
    """Start a daemon thread with a small stack."""
    threading.stack_size(THREAD_STACK_BYTES)
    thread = threading.Thread(target=target, name=name, daemon=True)
    thread.start()
    return thread


def connect(endpoint: str, clock: Clock, deadline_ms: float) -> socket.socket:
    """Connect by the deadline to the first address that accepts; OSError if none does."""
    host, port = parse_endpoint(endpoint)
    last_error = OSError(f"no address: {endpoint}")
    for family, kind, protocol, _, address in resolve(host, port):
        sock = socket.socket(family, kind, protocol)
        try:
            set_timeout_until(sock, clock, deadline_ms)
            sock.connect(address)
        except OSError as error:
            sock.close()
            last_error = error
            continue
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock
    raise last_error


def set_timeout_until(sock: socket.socket, clock: Clock, deadline_ms: float) -> None:
    """Set the socket's timeout to the time until the deadline; TimeoutError if that has passed."""
    remaining_s = clock.seconds_until(deadline_ms)
    if remaining_s == 0.0:
        raise TimeoutError("the deadline is over")
    sock.settimeout(remaining_s)


def wait_readable(sock: socket.socket, clock: Clock, deadline_ms: float) -> bool:
    """Wait until the socket is readable; False at the deadline.

    Polls instead of setting a socket timeout, which would also apply to threads that write to the socket.
    """
    remaining_s = clock.seconds_until(deadline_ms)
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(None if remaining_s is None else math.ceil(remaining_s * 1000.0)))


def wait_shut_down(sock: socket.socket, seconds: float) -> None:
    """Wait that long, or until the socket is shut down or reset, whatever can be read meanwhile."""
    poll = select.poll()
    poll.register(sock, 0)  # a hang-up and an error are always reported
    poll.poll(math.ceil(seconds * 1000.0))


def wait_writable(sock: socket.socket) -> None:
    """Wait until the socket is writable or shut down."""
    poll = select.poll()
    with contextlib.suppress(ValueError):  # closed in the meantime
        poll.register(sock, select.POLLOUT)
        poll.poll()


class Connection:
    """A socket with its framing.

    on_opened, on_message and, once and last, on_closed are called on the reading thread.  A peer that has not
    completed the framing's handshake by handshake_deadline_ms is disconnected.

    read_deadline takes the time since which an incomplete message is buffered (inf: none is) and returns when
    the peer must have sent more data.  At that time the connection is closed unless on_timeout returns True.
    on_invalid_message may send a final message to a peer that is about to be disconnected; it returns whether
    it did.  After the end, drop_reason holds why this side closed the connection, if it did.
    """

    def __init__(
        self,
        sock: socket.socket,
        framing: Framing,
        on_message: Callable[[bytes], None],
        on_closed: Callable[[], None],
        name: str,
        clock: Clock,
        handshake_deadline_ms: float,
        on_opened: Callable[[], None] = lambda: None,
        read_deadline: Callable[[float], float] = lambda partial_since_ms: math.inf,
        on_invalid_message: Callable[[str], bool] = lambda reason: False,
        on_timeout: Callable[[], bool] = lambda: False,
    ) -> None:
        self.name = name
        self._sock = sock
        self._framing = framing
        self._on_message = on_message
        self._on_closed = on_closed
        self._clock, self._handshake_deadline_ms, self._on_opened = clock, handshake_deadline_ms, on_opened
        self._read_deadline, self._on_invalid_message, self._on_timeout = (
            read_deadline,
            on_invalid_message,
            on_timeout,
        )
        self._pacer: ReadPacer | None = None  # of a connection with a thread of its own
        self._pause_s = 0.0  # before the next read
        self._lock = threading.Condition()
        # The unwritten part of each message, its tag, and the gate to check before its first byte.
        self._write_queue: deque[tuple[bytes, str, WriteGate | None]] = deque()
        self._head_started = False  # the first queued message is partly written
        self._queued_bytes = 0
        self._writing = False
        self._closed = self._opened = self._close_sent = self._closing_after_flush = self._processing = False
        self._ending = False  # a close frame is sent or answered: no message may follow
        self._partial_since_ms = math.inf  # since when an incomplete message is buffered
        self.drop_reason = ""
        self.was_reset = False  # the peer may not have read what was sent last

    def start(self) -> None:
        """Run the connection on a thread of its own."""
        start_detached_thread(self.run)

    def send(self, message: bytes, tag: str = "", gate: WriteGate | None = None) -> bool:
        """Send a message; False if the connection is not open or its write queue overflows.

        A message with a tag can be withdrawn until its first byte is written.  A message with a gate is
        written only if the gate allows it immediately before the first byte, and is dropped otherwise.
        """
        if self._ending or not self._framing.opened:
            return False
        return self._enqueue(self._framing.frame(message), tag, gate)

    def ping(self, payload: bytes) -> None:
        """Ping the peer, if the framing has pings; last_pong() is its last answer."""
        if not self._ending and (frame := self._framing.ping_frame(payload)):
            self._enqueue(frame)

    def last_pong(self) -> bytes:
        """The payload of the last answered ping."""
        return self._framing.last_pong

    def withdraw(self, tag: str = "") -> set[str]:
        """Remove queued messages with this tag, or with any tag; returns the tags of those removed.

        If the message named by tag is partly written, the connection is closed so that it never arrives
        complete.
        """
        with self._lock:
            first = self._write_queue[0] if self._write_queue else None
            if tag and self._head_started and first is not None and first[1] == tag:
                self._shut_down()
                return set()
            tags = {entry[1] for entry in self._write_queue if entry[1] and tag in ("", entry[1])}
            if self._head_started and first is not None:
                tags.discard(first[1])
            if tags:
                self._write_queue = deque(entry for entry in self._write_queue if entry[1] not in tags)
                self._queued_bytes = sum(len(data) for data, _, _ in self._write_queue)
            return tags

    def is_queued(self, tag: str) -> bool:
        """Whether a message with this tag is not yet wholly written."""
        with self._lock:
            return any(queued_tag == tag for _, queued_tag, _ in self._write_queue)

    def _enqueue(self, data: bytes, tag: str = "", gate: WriteGate | None = None) -> bool:
        with self._lock:
            if self._closed or self._closing_after_flush:
                return False
            started = False
            if not self._write_queue:
                if gate is not None and not gate.may_write():
                    gate.on_dropped()
                    return True
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self.was_reset = True
                    self._shut_down()
                    return False
                if sent == len(data):
                    return True
                data, started = data[sent:], sent > 0
            if self._queued_bytes + len(data) > MAX_WRITE_QUEUE_BYTES:
                logger.warning(
                    "{peer}: peer reads too slowly, connection closed", event="peer-slow", peer=self.name
                )
                self._shut_down()
                return False
            self._write_queue.append((data, tag, gate))
            self._head_started = self._head_started or started
            self._queued_bytes += len(data)
            if not self._writing:
                self._writing = True
                start_detached_thread(self._flush)
            return True

    def close(self, code: int = 1000, reason: str = "") -> None:
        """Close the connection at once; the reading thread then calls on_closed."""
        self._ending = True
        if close_frame := self._framing.close_frame(code, reason):
            self._enqueue(close_frame)
        with self._lock:
            self._shut_down()

    def close_after_flush(self, code: int = 1000, reason: str = "") -> None:
        """Send a close frame and shut down writing once the write queue is empty; reading continues."""
        self._ending = True
        if close_frame := self._framing.close_frame(code, reason):
            self._enqueue(close_frame)
        with self._lock:
            self._closing_after_flush = True
            if not self._write_queue:
                self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def is_flushed(self) -> bool:
        """Whether the write queue is empty."""
        return self._closed or not self._write_queue

    def has_partial_message(self) -> bool:
        """Whether an incomplete message is buffered."""
        return self._partial_since_ms < math.inf

    def is_ending(self) -> bool:
        """Whether a close has begun, so that no message can be sent any more."""
        return self._ending or self._closed

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its end or the connection is gone, even if that has not been read."""
        poll = select.poll()
        try:
            poll.register(self._sock, select.POLLRDHUP)
        except ValueError:  # closed on this side
            return True
        return bool(poll.poll(0))

    def is_idle(self) -> bool:
        """Whether no received data is unread or in processing; checked in the order of reading."""
        try:
            return not wait_readable(self._sock, self._clock, -math.inf) and not self._processing
        except ValueError:  # closed
            return not self._processing

    def _shut_down(self) -> None:
        self._closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)  # wakes the reader and a blocked writer

    def _flush(self) -> None:
        """Write until the queue is empty; the next message that has to be queued starts a new writer."""
        while True:
            # Under the lock and without blocking, so that messages not yet started can still be withdrawn.
            with self._lock:
                if self._closed or not self._write_queue:
                    self._writing = False
                    if self._closing_after_flush:
                        self._shut_down_writing()
                    return
                data, tag, gate = self._write_queue[0]
                if gate is not None and not self._head_started and not gate.may_write():
                    self._write_queue.popleft()
                    self._queued_bytes -= len(data)
                    gate.on_dropped()
                    continue
                try:
                    sent = self._sock.send(data, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    sent = 0
                except OSError:
                    self.was_reset = True
                    self._writing = False
                    self._shut_down()
                    return
                self._queued_bytes -= sent
                self._head_started = sent < len(data) and (sent > 0 or self._head_started)
                if sent == len(data):
                    self._write_queue.popleft()
                    continue
                self._write_queue[0] = data[sent:], tag, gate
            wait_writable(self._sock)

    def run(self) -> None:
        """Read until the connection ends; runs on the connection's own thread."""
        self._pacer = ReadPacer()
        if self.begin():
            while self._step(lambda: self._wait() and self.receive()):
                pass
        self.end(drain=True)

    # -- for an event loop (net/poller.py): begin(), then step() while it returns True, then end() ----
    def begin(self) -> bool:
        """Start before the first read; False: the connection has already ended, as with step()."""
        return self._step(self._begin)

    def step(self, readable_now: bool) -> bool:
        """Handle readable data or a passed deadline_ms(); False: the connection has ended."""
        return self._step(self.receive if readable_now else self._check_deadline)

    def deadline_ms(self) -> float:
        """When to call step() next if no data arrives."""
        return self._read_deadline(self._partial_since_ms) if self._opened else self._handshake_deadline_ms

    def end(self, drain: bool = False) -> None:
        """Release the connection after it has ended; drain: wait for the peer to read the close frame."""
        if drain and self._close_sent:
            with contextlib.suppress(OSError):
                self._drain()
        with self._lock:
            self.was_reset = self.was_reset or self._has_undelivered_data()
            self._shut_down()
            self._write_queue.clear()
            self._sock.close()
        self._framing.release_buffers()
        self._on_closed()

    def _has_undelivered_data(self) -> bool:
        """Whether the peer has closed without receiving all that was sent.

        Data that crosses the peer's close is answered with a reset.  The end of the stream is read before
        that, so that the reset shows in the socket alone.
        """
        with contextlib.suppress(OSError):  # closed, or a socket without these queries
            if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            unacknowledged = fcntl.ioctl(self._sock, termios.TIOCOUTQ, struct.pack("i", 0))
            return bool(struct.unpack("i", unacknowledged)[0])
        return False

    def _step(self, action: Callable[[], bool]) -> bool:
        try:
            try:
                return action()
            except CloseConnectionError as ending:
                self.drop_reason = str(ending)
                sent = ending.invalid_message and self._on_invalid_message(self.drop_reason)
                self._ending = True
                final_data = ending.final_data or (
                    self._framing.close_frame(CLOSE_POLICY_VIOLATION, self.drop_reason)
                    if ending.invalid_message
                    else b""
                )
                self._close_sent = self._enqueue(final_data) if final_data else sent
        except OSError:
            self.was_reset = True  # otherwise handled like any other end
        except Exception:  # log an unexpected error and keep it from affecting other connections
            logger.exception(
                "{peer}: closed after an unexpected error", event="connection-fault", peer=self.name
            )
        return False

    def _begin(self) -> bool:
        self._opened = self._framing.opened
        if self._opened:
            self._on_opened()
        else:
            self._enqueue(self._framing.handshake_data())
        return True

    def receive(self) -> bool:
        """Read available data into the framing's buffer and process it; False at end of stream."""
        self._processing = True  # is_idle() must not be True while read data is unprocessed
        lines_before = self._framing.parsed_lines
        try:
            count = self._sock.recv_into(self._framing.read_buffer(), 0, socket.MSG_DONTWAIT)
            if not count:
                return False
            messages = self._process(count)
        except BlockingIOError:
            return True  # spurious wake-up
        finally:
            self._framing.release_if_empty()
            self._processing = False
        if not self._framing.has_partial_message:
            self._partial_since_ms = math.inf
        elif messages or self._partial_since_ms == math.inf:
            self._partial_since_ms = self._clock.now_ms()
        if self._pacer is not None:
            lines = self._framing.parsed_lines - lines_before
            self._pause_s = self._pacer.pause_s(messages, lines, self._framing.has_partial_message)
        return True

    def _wait(self) -> bool:
        if self._pause_s > 0.0:
            wait_shut_down(self._sock, self._pause_s)
        while not wait_readable(self._sock, self._clock, self.deadline_ms()):
            self._check_deadline()
        return True

    def _check_deadline(self) -> bool:
        """End the connection if deadline_ms() has passed; True if it stays open."""
        if self._clock.now_ms() < self.deadline_ms():
            return True
        if not self._opened:
            raise CloseConnectionError("its handshake was not over in time")
        partial = self._partial_since_ms < math.inf
        if partial or not self._on_timeout():
            raise CloseConnectionError(
                "half a message without its rest" if partial else "nothing came", invalid_message=partial
            )
        return True

    def _process(self, count: int) -> int:
        """Process received bytes; returns how many messages they completed."""
        messages = 0
        for item in self._framing.parse(count):
            self._notify_opened()
            if isinstance(item, Reply):
                self._enqueue(item)
            else:
                messages += 1
                self._on_message(item)
        self._notify_opened()
        return messages

    def _notify_opened(self) -> None:
        if not self._opened and self._framing.opened:
            self._opened = True
            self._on_opened()

    def _drain(self) -> None:
        """Wait for the peer to close.

        Closing a socket that has unread data resets the connection, and the peer may lose the close frame.
        """
        self._sock.shutdown(socket.SHUT_WR)
        until_ms = self._clock.now_ms() + CLOSE_DRAIN_MS
        remaining_bytes = CLOSE_DRAIN_BYTES
        while remaining_bytes > 0 and wait_readable(self._sock, self._clock, until_ms):
            if not (data := self._sock.recv(MAX_MESSAGE_BYTES)):
                return
            remaining_bytes -= len(data)
