"""A WebSocket client of the simulated callers, on the event loop."""

from __future__ import annotations

import socket
from collections.abc import Callable

from capershelf.net.framing import CloseConnectionError, Reply
from capershelf.net.websocket import WebSocket
from lab.fleet.network import EventLoop, LineStream


class WebSocketStream(LineStream):
    """Like a LineStream: messages without their line feed come in, and lines are written as messages."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_line: Callable[[bytes, float], None],
        on_closed: Callable[[], None],
    ) -> None:
        super().__init__(loop, sock, on_line, on_closed)
        self._framing = WebSocket("proxy")
        self._unsent: list[bytes] = []  # until the handshake is over
        self._parsing = False
        self._write_now(self._framing.handshake_data())

    def write(self, data: bytes) -> bool:
        """Write or queue a line as a message; return whether the connection is open."""
        if not self._framing.opened:
            self._unsent.append(data)
            return self.open
        return self._write_now(self._framing.frame(data.rstrip(b"\n")))

    def _receive(self, data: bytes) -> None:
        self._parsing = True
        try:
            while data and self.open:
                space = self._framing.read_buffer()
                part, data = data[: len(space)], data[len(space) :]
                space[: len(part)] = part
                self._parse(len(part))
        except CloseConnectionError as ending:
            if self.open:
                self._write_now(ending.final_data)
                self.close()
                self._on_closed()
        finally:
            self._parsing = False
            if not self.open:
                self._framing.release_buffers()

    def _parse(self, count: int) -> None:
        for item in self._framing.parse(count):
            if isinstance(item, Reply):
                self._write_now(item)
            else:
                self._on_line(item, self.loop.now_ms)
        if self._framing.opened:
            unsent, self._unsent = self._unsent, []
            for line in unsent:
                self.write(line)

    def close(self, reset: bool = False) -> None:
        """Close without calling `on_closed`."""
        super().close(reset)
        if not self._parsing:
            self._framing.release_buffers()
