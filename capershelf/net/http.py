"""A small HTTP/1.1 client with one connection and one request at a time, and a parser for message heads."""

from __future__ import annotations

import contextlib
import socket
import threading

from capershelf.core.clock import Clock
from capershelf.net.buffers import POOL
from capershelf.net.connection import connect, set_timeout_until

MAX_HEAD_BYTES = 8 * 1024
MAX_HEAD_FIELDS = 64
CONNECT_TIMEOUT_MS = 1000.0
MAX_BODY_BYTES = 4 * 1024 * 1024  # enough for a registry's complete list


class HttpError(OSError):
    """An invalid response."""


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Parse a head into its first line and its header fields, with names in lower case."""
    try:
        first, *rest = head.decode("latin-1").split("\r\n")
        if len(rest) > MAX_HEAD_FIELDS:
            raise HttpError(f"over {MAX_HEAD_FIELDS} fields")
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
    """Reuses its connection between requests as long as the server keeps it open."""

    def __init__(self, endpoint: str, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()  # guards what set_endpoint() changes
        self._endpoint, self._endpoint_changed = endpoint, False
        self._sock: socket.socket | None = None
        self._unparsed = bytearray()

    def request(
        self,
        method: str,
        path: str,
        deadline_ms: float,
        body: bytes = b"",
        fields: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Status and body by the deadline, or an OSError; a reused connection that was closed is reopened."""
        head = ""
        for name, value in (fields or {}).items():
            head += f"{name}: {value}\r\n"
        if body or method in ("POST", "PUT"):
            head += f"Content-Length: {len(body)}\r\n"
        data = head.encode() + b"\r\n" + body
        line = f"{method} {path} HTTP/1.1\r\n"
        reused = self._sock is not None
        try:
            return self._exchange(line, data, deadline_ms)
        except (ConnectionError, HttpError) as problem:
            self.close()
            if not reused or isinstance(problem, HttpError):
                raise
            return self._exchange(line, data, deadline_ms)
        except OSError:
            self.close()
            raise

    def set_endpoint(self, endpoint: str) -> None:
        """Use another address from now on; may be called by any thread.  A waiting request is sent again."""
        with self._lock:
            self._endpoint, self._endpoint_changed = endpoint, True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes the reading thread

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        with self._lock:
            sock, self._sock = self._sock, None
        if sock is not None:
            sock.close()
        self._unparsed.clear()

    def _get_connection(self, deadline_ms: float) -> tuple[socket.socket, str]:
        """A connection to the current endpoint, and that endpoint."""
        if self._endpoint_changed:
            self.close()
        with self._lock:
            endpoint, self._endpoint_changed = self._endpoint, False
            sock = self._sock
        if sock is None:
            sock = connect(endpoint, self._clock, min(deadline_ms, self._clock.now_ms() + CONNECT_TIMEOUT_MS))
            with self._lock:
                self._sock = sock
                if self._endpoint_changed:  # while connecting: do not wait at an endpoint that is out of use
                    raise ConnectionResetError("the address has changed")
        return sock, endpoint

    def _exchange(self, line: str, data: bytes, deadline_ms: float) -> tuple[int, bytes]:
        sock, endpoint = self._get_connection(deadline_ms)
        set_timeout_until(sock, self._clock, deadline_ms)
        sock.sendall(f"{line}Host: {endpoint}\r\n".encode() + data)
        while True:
            first, fields = parse_head(self._read_until(b"\r\n\r\n", MAX_HEAD_BYTES, deadline_ms))
            parts = first.split(" ", 2)
            if len(parts) < 2 or not parts[0].startswith("HTTP/1.") or not parts[1].isdigit():
                raise HttpError(f"not an HTTP response: {first[:80]!r}")
            status = int(parts[1])
            if status >= 200:
                break  # 1xx responses are interim
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = self._read_chunked(deadline_ms)
        elif status in (204, 304):
            body = b""
        elif "content-length" in fields:
            if not fields["content-length"].isdigit():
                raise HttpError("its content-length is no number")
            body = self._read_exactly(int(fields["content-length"]), deadline_ms)
        else:
            body = self._read_to_end(deadline_ms)
        if fields.get("connection", "").lower() == "close" or parts[0] == "HTTP/1.0":
            self.close()
        return status, body

    def _receive(self, deadline_ms: float) -> bool:
        """Receive more data; False at the end of the stream."""
        if self._sock is None:
            return False
        set_timeout_until(self._sock, self._clock, deadline_ms)
        buffer = POOL.acquire()
        try:
            count = self._sock.recv_into(buffer)
            self._unparsed += memoryview(buffer)[:count]
        finally:
            POOL.release(buffer)
        if len(self._unparsed) > MAX_BODY_BYTES:
            raise HttpError("the response is too long")
        return count > 0

    def _read_until(self, delimiter: bytes, max_bytes: int, deadline_ms: float) -> bytes:
        """Read up to the delimiter and consume it."""
        while (end := self._unparsed.find(delimiter)) < 0:
            if len(self._unparsed) > max_bytes:
                raise HttpError("the head is too long")
            if not self._receive(deadline_ms):
                raise ConnectionResetError("closed within a response")
        found = bytes(self._unparsed[:end])
        del self._unparsed[: end + len(delimiter)]
        return found

    def _read_exactly(self, count: int, deadline_ms: float) -> bytes:
        if count > MAX_BODY_BYTES:
            raise HttpError("the response is too long")
        while len(self._unparsed) < count:
            if not self._receive(deadline_ms):
                raise HttpError("closed within a response")
        found = bytes(self._unparsed[:count])
        del self._unparsed[:count]
        return found

    def _read_chunked(self, deadline_ms: float) -> bytes:
        body = bytearray()
        while True:
            size_text = self._read_until(b"\r\n", MAX_HEAD_BYTES, deadline_ms).split(b";")[0].strip()
            try:
                size = int(size_text, 16)
            except ValueError as problem:
                raise HttpError("a chunk's size is no number") from problem
            if size < 0 or len(body) + size > MAX_BODY_BYTES:
                raise HttpError("the response is too long")
            if size == 0:
                while self._read_until(b"\r\n", MAX_HEAD_BYTES, deadline_ms):
                    pass  # skip trailer fields
                return bytes(body)
            body += self._read_exactly(size, deadline_ms)
            if self._read_exactly(2, deadline_ms) != b"\r\n":
                raise HttpError("a chunk without an end")

    def _read_to_end(self, deadline_ms: float) -> bytes:
        while self._receive(deadline_ms):
            pass
        found = bytes(self._unparsed)
        self.close()
        return found
