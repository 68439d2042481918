"""A small event loop on epoll for hollow peers: many sockets and timers on one thread."""

from __future__ import annotations

import heapq
import itertools
import select
import socket
import time
from collections.abc import Callable

CHUNK_BYTES = 65536
BACKLOG = 4096  # connections that may wait to be accepted: whole fleets come at once


class EventLoop:
    """Calls back when sockets are ready and when times are due; times are time.monotonic() in seconds."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.stopped = False

    def watch(self, descriptor: int, mask: int, callback: Callable[[int], None]) -> None:
        known = descriptor in self._callbacks
        self._callbacks[descriptor] = callback
        if known:
            self._epoll.modify(descriptor, mask)
        else:
            self._epoll.register(descriptor, mask)

    def forget(self, descriptor: int) -> None:
        if self._callbacks.pop(descriptor, None) is not None:
            self._epoll.unregister(descriptor)

    def call_at(self, at_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._timers, (at_s, next(self._numbers), callback))

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        self.call_at(time.monotonic() + delay_s, callback)

    def step(self, until_s: float) -> None:
        """Wait for the next socket or timer, no longer than to until_s."""
        next_s = min(until_s, self._timers[0][0]) if self._timers else until_s
        for descriptor, mask in self._epoll.poll(max(0.0, next_s - time.monotonic())):
            if (callback := self._callbacks.get(descriptor)) is not None:
                callback(mask)
        now_s = time.monotonic()
        while self._timers and self._timers[0][0] <= now_s:
            heapq.heappop(self._timers)[2]()

    def run_until(self, holds: Callable[[], bool], by_s: float) -> bool:
        """Step until it holds; False if it does not by then."""
        while not (done := holds()) and time.monotonic() < by_s:
            self.step(min(by_s, time.monotonic() + 0.05))
        return done

    def run_for(self, seconds: float) -> None:
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            self.step(until_s)


class LineChannel:
    """A non-blocking connection that carries lines, with the bytes and lines that passed each way."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_line: Callable[[bytes], None],
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        self._loop, self._sock = loop, sock
        self._on_line, self._on_closed = on_line, on_closed
        self._incoming, self._outgoing = bytearray(), bytearray()
        self.open = True
        self.bytes_in = self.bytes_out = self.lines_in = self.lines_out = 0
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        loop.watch(sock.fileno(), select.EPOLLIN, self._ready)

    def send(self, data: bytes) -> None:
        """Lines, each with its line feed."""
        if not self.open:
            return
        self.bytes_out += len(data)
        self.lines_out += data.count(b"\n")
        waits = bool(self._outgoing)
        self._outgoing += data
        if not waits:
            self._flush()

    def close(self) -> None:
        if self.open:
            self.open = False
            self._loop.forget(self._sock.fileno())
            self._sock.close()

    def _ready(self, mask: int) -> None:
        if mask & select.EPOLLOUT:
            self._flush()
        if not self.open or not mask & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
            return
        try:
            data = self._sock.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            self._on_closed()
            return
        self.bytes_in += len(data)
        self._incoming += data
        while self.open and (end := self._incoming.find(b"\n")) >= 0:
            line = bytes(self._incoming[:end])
            del self._incoming[: end + 1]
            self.lines_in += 1
            self._on_line(line)

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._outgoing)
        except BlockingIOError:
            sent = 0
        except OSError:
            return  # the end is seen on reading
        del self._outgoing[:sent]
        mask = select.EPOLLIN | (select.EPOLLOUT if self._outgoing else 0)
        self._loop.watch(self._sock.fileno(), mask, self._ready)


def listen(loop: EventLoop, host: str, on_accept: Callable[[socket.socket], None]) -> socket.socket:
    """A listener on a free port of this address."""
    listener = socket.create_server((host, 0), backlog=BACKLOG)
    listener.setblocking(False)

    def accept(mask: int) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                return
            except OSError:
                return  # closed, or no descriptor left: whoever knocks sees it
            on_accept(sock)

    loop.watch(listener.fileno(), select.EPOLLIN, accept)
    return listener


def address_of(listener: socket.socket) -> str:
    """host:port"""
    host, port = listener.getsockname()
    return f"{host}:{port}"
