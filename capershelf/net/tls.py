"""TLS around another framing, without I/O.

Received data is decrypted into the inner framing, and the inner framing's output is encrypted.

A new context is created for each connection, so that keys and certificates replaced on disk take effect with
the next connection.
"""

from __future__ import annotations

import ssl
import stat
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from capershelf.net.buffers import MAX_MESSAGE_BYTES
from capershelf.net.framing import Buffered, CloseConnectionError, Framing, Reply


@dataclass(frozen=True, slots=True)
class Identity:
    """Paths of PEM files: ca verifies the peer, certificate and key identify this side."""

    ca: str = ""
    certificate: str = ""
    key: str = ""

    def context(self, server: bool) -> ssl.SSLContext:
        """A new TLS context; ValueError for unusable files, or a key file with permissions for others."""
        try:
            if self.key and Path(self.key).stat().st_mode & (stat.S_IRWXG | stat.S_IRWXO):
                raise ValueError(f"{self.key} is open to others (mode 600 wanted)")
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            if self.ca:
                context.load_verify_locations(self.ca)
                context.verify_mode = ssl.CERT_REQUIRED
            if self.certificate:
                context.load_cert_chain(self.certificate, self.key or None)
        except (OSError, ssl.SSLError) as error:
            raise ValueError(f"TLS: {error}") from error
        return context


class Tls(Buffered):
    """A framing over TLS; frame() may be called by any thread once it is open."""

    def __init__(self, inner: Framing, context: ssl.SSLContext, server: bool, host: str = "") -> None:
        super().__init__()
        self._inner = inner
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._incoming, self._outgoing, server_side=server, server_hostname=None if server else host
        )
        self._lock = threading.Lock()  # guards the TLS object
        self._handshake_done = False

    @property
    def opened(self) -> bool:
        return self._handshake_done and self._inner.opened

    @property
    def has_partial_message(self) -> bool:
        return self._inner.has_partial_message

    @property
    def parsed_lines(self) -> int:
        return self._inner.parsed_lines

    def handshake_data(self) -> bytes:
        with self._lock:
            self._do_handshake()
            return self._outgoing.read()

    def parse(self, count: int) -> Iterator[bytes]:
        self._incoming.write(bytes(self.buffer[self.filled_bytes : self.filled_bytes + count]))
        if not self._handshake_done:
            with self._lock:
                self._do_handshake()
                initial = self._encrypt(self._inner.handshake_data()) if self._handshake_done else b""
                output = initial or self._outgoing.read()
            if output:
                yield Reply(output)
        while self._handshake_done and (count := self._decrypt()):
            for item in self._inner.parse(count):
                yield Reply(self._lock_and_encrypt(item)) if isinstance(item, Reply) else item

    def _do_handshake(self) -> None:
        try:
            self._tls.do_handshake()
            self._handshake_done = True
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError as error:
            raise CloseConnectionError(
                f"TLS: {error.reason or error}", final_data=self._outgoing.read()
            ) from error

    def _decrypt(self) -> int:
        """Decrypt into the inner framing's buffer; returns the number of bytes, 0 if there are none left."""
        with self._lock:
            try:
                space = self._inner.read_buffer()
                count: Any = self._tls.read(min(len(space), MAX_MESSAGE_BYTES), space)
                return int(count)  # a byte count; the declared type, bytes, is for calls without a buffer
            except ssl.SSLWantReadError:
                return 0
            except ssl.SSLZeroReturnError as error:
                raise CloseConnectionError("TLS: closed") from error
            except ssl.SSLError as error:
                raise CloseConnectionError(f"TLS: {error.reason or error}") from error

    def _encrypt(self, data: bytes) -> bytes:
        """Encrypt data; the caller holds the lock."""
        if data:
            self._tls.write(data)
        return self._outgoing.read()

    def _lock_and_encrypt(self, data: bytes) -> bytes:
        with self._lock:
            return self._encrypt(data)

    def frame(self, message: bytes) -> bytes:
        return self._lock_and_encrypt(self._inner.frame(message))

    def close_frame(self, code: int, reason: str) -> bytes:
        if not self._handshake_done:
            return b""
        frame = self._inner.close_frame(code, reason)
        return self._lock_and_encrypt(frame) if frame else b""

    @property
    def last_pong(self) -> bytes:
        return self._inner.last_pong

    def ping_frame(self, payload: bytes) -> bytes:
        frame = self._inner.ping_frame(payload)
        return self._lock_and_encrypt(frame) if frame else b""

    def release_buffers(self) -> None:
        self._inner.release_buffers()
        super().release_buffers()
