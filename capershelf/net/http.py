"""A small HTTP/1.1 client and the parsing of heads; one connection, one request at a time."""

from __future__ import annotations

import contextlib
import socket
import threading

from capershelf.core.clock import Clock
from capershelf.net.buffers import POOL
from capershelf.net.connection import bound, connect

HEAD_BYTES = 8 * 1024
CONNECT_MS = 1000.0  # no connection in so long: there is none to be had now
BODY_BYTES = 4 * 1024 * 1024  # a registry's whole list at the most


class HttpError(OSError):
    """An answer that can't be used."""


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """The first line and the fields, their names in lower case."""
    try:
        first, *rest = head.decode("latin-1").split("\r\n")
        fields: dict[str, str] = {}
        for line in rest:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise HttpError(f"not a field: {line!r}")
            name = name.lower()
            fields[name] = f"{fields[name]}, {value.strip()}" if name in fields else value.strip()
    except ValueError as problem:
        raise HttpError(str(problem)) from problem
    return first, fields


class HttpClient:
    """Keeps its connection between requests while the server does."""

    def __init__(self, endpoint: str, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()  # over what move() changes
        self._endpoint, self._moved = endpoint, False
        self._sock: socket.socket | None = None
        self._rest = bytearray()

    def request(
        self,
        method: str,
        path: str,
        deadline_ms: float,
        body: bytes = b"",
        fields: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Status and body by the deadline, or an OSError; a kept connection found closed is opened again."""
        head = ""
        for name, value in (fields or {}).items():
            head += f"{name}: {value}\r\n"
        if body or method in ("POST", "PUT"):
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        line = f"{method} {path} HTTP/1.1\r\n"
        kept = self._sock is not None
        try:
            return self._exchange(line, data, deadline_ms)
        except (ConnectionError, HttpError) as problem:
            self.close()
            if not kept or isinstance(problem, HttpError):
                raise
            return self._exchange(line, data, deadline_ms)
        except OSError:
            self.close()
            raise

    def move(self, endpoint: str) -> None:
        """Ask another address from now on.  Any thread may say so; what waits at the old one asks again."""
        with self._lock:
            self._endpoint, self._moved = endpoint, True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that reads

    def close(self) -> None:
        with self._lock:
            sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        self._rest.clear()

    def _connected(self, deadline_ms: float) -> tuple[socket.socket, str]:
        """A connection to the present address, and that address."""
        if self._moved:
            self.close()
        with self._lock:
            endpoint, self._moved = self._endpoint, False
            sock = self._sock
        if sock is None:
            sock = connect(endpoint, self._clock, min(deadline_ms, self._clock.now_ms() + CONNECT_MS))
            with self._lock:
                self._sock = sock
                if self._moved:  # while it connected: guards against a wait at an address that is given up
                    raise ConnectionResetError("the address has changed")
        return sock, endpoint

    def _exchange(self, line: str, data: bytes, deadline_ms: float) -> tuple[int, bytes]:
        sock, endpoint = self._connected(deadline_ms)
        bound(sock, self._clock, deadline_ms)
        sock.sendall(f"{line}Host: {endpoint}\r\n".encode() + data)
        while True:
            first, fields = parse_head(self._until(b"\r\n\r\n", HEAD_BYTES, deadline_ms))
            parts = first.split(" ", 2)
            if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
                raise HttpError(f"not an HTTP answer: {first[:80]!r}")
            status = int(parts[1])
            if status >= 200:
                break  # 1xx only say that the answer is on its way
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = self._chunks(deadline_ms)
        elif status in (204, 304):
            body = b""
        elif "content-length" in fields:
            if not fields["content-length"].isdigit():
                raise HttpError("its content-length is no number")
            body = self._exactly(int(fields["content-length"]), deadline_ms)
        else:
            body = self._to_the_end(deadline_ms)
        if fields.get("connection", "").lower() == "close" or parts[0] == "HTTP/1.0":
            self.close()
        return status, body

    def _more(self, deadline_ms: float) -> bool:
        if self._sock is None:
            return False
        bound(self._sock, self._clock, deadline_ms)
        buffer = POOL.take()
        try:
            count = self._sock.recv_into(buffer)
            self._rest += memoryview(buffer)[:count]
        finally:
            POOL.give(buffer)
        if len(self._rest) > BODY_BYTES:
            raise HttpError("the answer is too long")
        return count > 0

    def _until(self, mark: bytes, most: int, deadline_ms: float) -> bytes:
        while (end := self._rest.find(mark)) < 0:
            if len(self._rest) > most:
                raise HttpError("the head is too long")
            if not self._more(deadline_ms):
                raise ConnectionResetError("closed within an answer")
        found = bytes(self._rest[:end])
        del self._rest[: end + len(mark)]
        return found

    def _exactly(self, count: int, deadline_ms: float) -> bytes:
        if count > BODY_BYTES:
            raise HttpError("the answer is too long")
        while len(self._rest) < count:
            if not self._more(deadline_ms):
                raise HttpError("closed within an answer")
        found = bytes(self._rest[:count])
        del self._rest[:count]
        return found

    def _chunks(self, deadline_ms: float) -> bytes:
        body = bytearray()
        while True:
            size_text = self._until(b"\r\n", HEAD_BYTES, deadline_ms).split(b";")[0].strip()
            try:
                size = int(size_text, 16)
            except ValueError as problem:
                raise HttpError("a chunk's size is no number") from problem
            if size < 0 or len(body) + size > BODY_BYTES:
                raise HttpError("the answer is too long")
            if size == 0:
                while self._until(b"\r\n", HEAD_BYTES, deadline_ms):
                    pass  # trailing fields
                return bytes(body)
            body += self._exactly(size, deadline_ms)
            if self._exactly(2, deadline_ms) != b"\r\n":
                raise HttpError("a chunk without an end")

    def _to_the_end(self, deadline_ms: float) -> bytes:
        while self._more(deadline_ms):
            pass
        found = bytes(self._rest)
        self.close()
        return found
