"""Event loop of the simulated peers, and the links between proxies and booking servers with injected faults.

All simulated peers of a day share one Poller thread, so their events have one order and one clock and need
no locks.  Every link (one proxy, one booking server) has a listener on its own address in 127.0.0.0/8: the
address identifies the connecting proxy, and a fault can affect one link, zone, proxy or booking server.
"""

from __future__ import annotations

import contextlib
import itertools
import math
import select
import socket
import struct
import traceback
from collections import deque
from collections.abc import Callable
from typing import Any

from capershelf.core.clock import SystemClock
from capershelf.net.poller import Poller

READ_SIZE_BYTES = 65536
LAG_CHECK_INTERVAL_MS = 10.0
LISTEN_BACKLOG = 64
PIECES = 3  # into which a fragmented message is split
PIECE_DELAY_MS = 20.0  # between the pieces of a booking server's message
FILLER_CONNECTIONS = 4  # fill the accept queue of a partitioned link's listener
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with zero timeout: close sends a reset


class RecordingPoller(Poller):
    """Records exceptions of the simulated peers, so that they are not mistaken for faults of a proxy."""

    def __init__(self, clock: SystemClock) -> None:
        super().__init__(clock, "simulated-peers")
        self.failures: list[str] = []

    def _run_logged(self, what: Callable[[], None]) -> None:
        try:
            what()
        except Exception:
            self.failures.append(traceback.format_exc())


class EventLoop:
    """The poller thread's clock and timers, and the measured lag of the loop."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.poller = RecordingPoller(self.clock)
        self.max_lag_ms = 0.0  # largest delay of a lag check after its due time
        self.max_lag_at_ms = 0.0
        self._lag_check_ms = self.now_ms
        self._measuring_lag = False

    @property
    def now_ms(self) -> float:
        """The current time in Unix milliseconds."""
        return self.clock.now_ms()

    def after(self, delay_ms: float, callback: Callable[..., None], *args: Any) -> None:
        """Call `callback` after the delay."""
        self.poller.call_at(self.now_ms + delay_ms, lambda: callback(*args))

    def measure_lag(self) -> None:
        """Start measuring the lag of the loop."""
        self._measuring_lag = True
        self._schedule_lag_check()

    def _schedule_lag_check(self) -> None:
        due_ms = self.now_ms + LAG_CHECK_INTERVAL_MS

        def check_lag() -> None:
            if (lag_ms := self.now_ms - due_ms) > self.max_lag_ms:
                self.max_lag_ms, self.max_lag_at_ms = lag_ms, self.now_ms
            self._schedule_lag_check()

        if self._measuring_lag:
            self.poller.call_at(due_ms, check_lag)


class LineStream:
    """A non-blocking socket that reads lines, each with the time of its first byte, and writes bytes.

    Lines are timestamped when they are read, before the link delays them.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_line: Callable[[bytes, float], None],
        on_closed: Callable[[], None],
    ) -> None:
        self.loop, self.sock, self._on_line, self._on_closed = loop, sock, on_line, on_closed
        self.open = True
        self._inbound = bytearray()
        self._first_byte_ms = 0.0  # of the buffered partial line
        self._outbound = bytearray()
        # Still to be written, one after a delay each, and what to call once it is.
        self._pieces: deque[tuple[bytes, Callable[[], None] | None]] = deque()
        self._piece_delay_ms, self._writing_pieces = 0.0, False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.poller.register(sock, select.POLLIN, self._on_ready)

    def _on_ready(self, what: int) -> None:
        if self._outbound and what & select.POLLOUT:
            self._flush()
        if not self.open or not what & (select.POLLIN | select.POLLHUP | select.POLLERR):
            return
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            self._on_closed()
            return
        self._receive(data)

    def _receive(self, data: bytes) -> None:
        now_ms = self.loop.now_ms
        if not self._inbound:
            self._first_byte_ms = now_ms
        self._inbound += data
        while self.open and (end := self._inbound.find(b"\n")) >= 0:
            line = bytes(self._inbound[:end])
            del self._inbound[: end + 1]
            first_byte_ms, self._first_byte_ms = self._first_byte_ms, now_ms
            self._on_line(line, first_byte_ms)

    def write(self, data: bytes) -> bool:
        """Write or queue the data; return whether the socket accepted all of it immediately."""
        if self._writing_pieces:
            self._pieces.append((data, None))
            return self.open
        return self._write_now(data)

    def _write_now(self, data: bytes) -> bool:
        if not self.open:
            return False
        was_pending = bool(self._outbound)
        self._outbound += data
        if not was_pending:
            self._flush()
        return self.open and not self._outbound

    def write_in_pieces(
        self, data: bytes, delay_ms: float, on_written: Callable[[], None] | None = None
    ) -> None:
        """Write the data in pieces with delays between them; what is written meanwhile comes after it.

        on_written is called with the last piece.
        """
        size = max(1, math.ceil(len(data) / PIECES))
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        self._pieces += [(piece, None) for piece in pieces[:-1]]
        self._pieces.append((pieces[-1], on_written))
        self._piece_delay_ms = delay_ms
        if not self._writing_pieces:
            self._writing_pieces = True
            self._write_next_piece()

    def _write_next_piece(self) -> None:
        if not self.open:
            return
        data, on_written = self._pieces.popleft()
        self._write_now(data)
        if on_written is not None:
            on_written()
        if self._pieces:
            self.loop.after(self._piece_delay_ms, self._write_next_piece)
        else:
            self._writing_pieces = False

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self._outbound)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # the closed connection is detected on read
        pending = len(self._outbound) > sent
        del self._outbound[:sent]
        self.loop.poller.register(
            self.sock, select.POLLIN | (select.POLLOUT if pending else 0), self._on_ready
        )

    def close(self, reset: bool = False) -> None:
        """Close without calling `on_closed`."""
        if self.open:
            self.open = False
            self.loop.poller.unregister(self.sock)
            if reset:
                with contextlib.suppress(OSError):
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.sock.close()


class Link:
    """The link between one proxy and one booking server: a listener, its connections and injected faults.

    partitioned: silently cut off; data is delivered only after healing, and new connections do not complete.
    delay_ms: latency added in each direction.  loss_rate: share of the booking server's droppable messages
    that are lost, decided by `draw`.
    """

    def __init__(
        self,
        loop: EventLoop,
        host: str,
        proxy: int,
        draw: Callable[[], float],
        current_run: Callable[[], int],
        on_connection: Callable[[LinkConnection], None],
    ) -> None:
        self.loop, self.proxy, self._draw, self._on_connection = loop, proxy, draw, on_connection
        self.current_run = current_run  # returns the number of the proxy's current run
        self.partitioned, self.delay_ms, self.loss_rate = False, 0.0, 0.0
        self.fragmented = False  # what the booking server sends arrives in pieces
        self.connections: list[LinkConnection] = []
        self._fillers: list[socket.socket] = []
        self._orphaned: list[LineStream] = []  # closed by the server during a partition, reset on healing
        self._listening = True
        self._listener: socket.socket | None = socket.create_server((host, 0), backlog=LISTEN_BACKLOG)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._port = self._listener.getsockname()[1]
        self._host = host
        self._watch()

    def _watch(self) -> None:
        assert self._listener is not None
        self._listener.setblocking(False)
        self.loop.poller.register(self._listener, select.POLLIN, self._accept)

    def _accept(self, what: int) -> None:
        if self._listener is None:
            return
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        connection = LinkConnection(self, sock)
        self.connections.append(connection)
        self._on_connection(connection)

    def partition(self) -> None:
        """Cut the link off: nothing is delivered, and new connections do not come up."""
        if not self.partitioned:
            self.partitioned = True
            self.block_connects()

    def block_connects(self) -> None:
        """Let new connections wait: the accept queue is filled, so the kernel drops new SYNs."""
        if self._fillers or self._listener is None:
            return
        self.loop.poller.unregister(self._listener)
        self._listener.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)

    def heal(self) -> None:
        """Restore the link and deliver what was held."""
        if not self.partitioned:
            return
        self.partitioned = False
        for stream in self._orphaned:
            stream.close(reset=True)
        self._orphaned.clear()
        self.unblock_connects()
        for connection in list(self.connections):
            connection.deliver_due()

    def unblock_connects(self) -> None:
        """Accept new connections again, unless the link is partitioned or the server does not listen."""
        if self.partitioned:
            return
        for filler in self._fillers:
            filler.close()
        if self._fillers and self._listener is not None:
            with contextlib.suppress(OSError):
                while True:  # discard the closed filler connections
                    self._listener.accept()[0].close()
            self._listener.listen(LISTEN_BACKLOG)
            self._watch()
            if not self._listening:
                self.stop_listening()
        self._fillers.clear()

    def reset_connections(self) -> None:
        """Reset every connection; during a partition the proxy sees the resets only after healing."""
        for connection in list(self.connections):
            if self.partitioned:
                connection.orphan()
                self._orphaned.append(connection.stream)
            else:
                connection.close(reset=True)

    def stop_listening(self) -> None:
        """Refuse new connections, as after a process exit; during a partition only after healing."""
        self._listening = False
        if self._listener is not None and not self.partitioned:
            for filler in self._fillers:
                filler.close()
            self._fillers.clear()
            self.loop.poller.unregister(self._listener)
            self._listener.close()
            self._listener = None

    def listen(self, on_connection: Callable[[LinkConnection], None] | None = None) -> None:
        """Listen again on the same address, with another handler if one is given."""
        self._on_connection = on_connection or self._on_connection
        self._listening = True
        if self._listener is None:
            self._listener = socket.create_server((self._host, self._port), backlog=LISTEN_BACKLOG)
            self._watch()
            if self.partitioned:
                self.block_connects()

    def close(self) -> None:
        """Heal the link, stop listening and close all connections."""
        self.heal()
        self.stop_listening()
        for connection in list(self.connections):
            connection.close()

    def should_drop(self) -> bool:
        """Decide whether to lose one message."""
        return self.loss_rate > 0.0 and self._draw() < self.loss_rate


class LinkConnection:
    """The booking server's end of one connection on a link."""

    def __init__(self, link: Link, sock: socket.socket) -> None:
        self.link, self.loop = link, link.loop
        self.on_line: Callable[[bytes, float, float], None] = lambda line, first_byte_ms, read_ms: None
        self.on_closed: Callable[[float], None] = lambda at_ms: None
        self.run = 0
        self.server_end_open = True
        self._inbound: deque[tuple[float, Callable[[], None]]] = deque()  # due time and action
        self._outbound: deque[tuple[float, bytes, Callable[[bool], None] | None]] = deque()
        self._fragments_done: deque[Callable[[bool], None] | None] = deque()  # of messages written in part
        self._timer_set = False
        self.stream = LineStream(self.loop, sock, self._line_received, self._stream_closed)

    @property
    def open(self) -> bool:
        """Whether both ends of the connection are open."""
        return self.stream.open and self.server_end_open

    def _line_received(self, line: bytes, first_byte_ms: float) -> None:
        read_ms = self.loop.now_ms
        self._inbound.append(
            (read_ms + self.link.delay_ms, lambda: self.on_line(line, first_byte_ms, read_ms))
        )
        self.deliver_due()

    def _stream_closed(self) -> None:
        at_ms = self.loop.now_ms
        self._inbound.append((at_ms + self.link.delay_ms, lambda: self._disconnected(at_ms)))
        self.deliver_due()

    def _disconnected(self, at_ms: float) -> None:
        if self in self.link.connections:
            self.link.connections.remove(self)
            self.on_closed(at_ms)
        unsent, self._outbound = [one[2] for one in self._outbound], deque()
        fragmented, self._fragments_done = self._fragments_done, deque()
        for done in (*fragmented, *unsent):
            if done is not None:
                done(False)

    def send(self, data: bytes, done: Callable[[bool], None] | None = None, droppable: bool = False) -> None:
        """Send to the proxy; `done` is called once with whether the connection was open to take the data."""
        if droppable and self.link.should_drop():
            return
        self._outbound.append((self.loop.now_ms + self.link.delay_ms, data, done))
        self.deliver_due()

    def deliver_due(self) -> None:
        """Deliver all due data in both directions, in order."""
        if self.link.partitioned:
            return
        while self._inbound and self._inbound[0][0] <= self.loop.now_ms:
            self._inbound.popleft()[1]()
        while self._outbound and self._outbound[0][0] <= self.loop.now_ms:
            _, data, done = self._outbound.popleft()
            if self.link.fragmented and self.open:
                self._fragments_done.append(done)
                self.stream.write_in_pieces(data, PIECE_DELAY_MS, self._fragments_written)
                continue
            taken = self.open
            self.stream.write(data)
            if done is not None:
                done(taken)
        due_times = [
            *(one[0] for one in itertools.islice(self._inbound, 1)),
            *(one[0] for one in itertools.islice(self._outbound, 1)),
        ]
        if due_times and not self._timer_set:
            self._timer_set = True
            self.loop.poller.call_at(min(due_times), self._on_timer)

    def _on_timer(self) -> None:
        self._timer_set = False
        self.deliver_due()

    def _fragments_written(self) -> None:
        if not self._fragments_done:
            return  # the booking server's end is gone, as it vanished during a partition
        done = self._fragments_done.popleft()
        if done is not None:
            done(True)

    def orphan(self) -> None:
        """Drop the booking server's end during a partition; the proxy can't detect it yet."""
        self.on_line, self.server_end_open = (lambda line, first_byte_ms, read_ms: None), False
        self._inbound.clear()
        self._disconnected(self.loop.now_ms)

    def close(self, reset: bool = False) -> None:
        """Close from the booking server's end; data in transit to the server is lost."""
        self.stream.close(reset)
        self._inbound.clear()
        self._disconnected(self.loop.now_ms)
