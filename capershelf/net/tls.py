"""TLS round another framing, without I/O: what is read is decrypted into the inner framing, what it
frames is encrypted.

Contexts are made anew for each connection, so that keys and certificates that were replaced on disk hold
from the next connection on.
"""

from __future__ import annotations

import ssl
import stat
import threading
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from capershelf.net.buffers import MESSAGE_BYTES
from capershelf.net.framing import Buffered, Framing, OverError, Reply


@dataclass(frozen=True, slots=True)
class Identity:
    """Files of PEM; ca proves the peer, certificate and key prove this end."""

    ca: str = ""
    certificate: str = ""
    key: str = ""

    def context(self, server: bool) -> ssl.SSLContext:
        """ValueError names a file that can't be used; a key that others may read is one."""
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
        except (OSError, ssl.SSLError) as problem:
            raise ValueError(f"TLS: {problem}") from problem
        return context


class Tls(Buffered):
    """A framing over TLS; frame() may be called by any thread once it has opened."""

    def __init__(self, inner: Framing, context: ssl.SSLContext, server: bool, host: str = "") -> None:
        super().__init__()
        self._inner = inner
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._in, self._out, server_side=server, server_hostname=None if server else host
        )
        self._lock = threading.Lock()  # over the TLS object
        self._shaken = False

    @property
    def opened(self) -> bool:
        return self._shaken and self._inner.opened

    @property
    def half(self) -> bool:
        return self._inner.half

    def opening(self) -> bytes:
        with self._lock:
            self._shake()
            return self._out.read()

    def filled(self, count: int) -> Iterator[bytes]:
        self._in.write(bytes(self.buffer[self.have : self.have + count]))
        if not self._shaken:
            with self._lock:
                self._shake()
                first = self._encrypt(self._inner.opening()) if self._shaken else b""
                said = first or self._out.read()
            if said:
                yield Reply(said)
        while self._shaken and (count := self._decrypt()):
            for found in self._inner.filled(count):
                yield Reply(self._sealed(found)) if isinstance(found, Reply) else found

    def _shake(self) -> None:
        try:
            self._tls.do_handshake()
            self._shaken = True
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError as problem:
            raise OverError(f"TLS: {problem.reason or problem}", farewell=self._out.read()) from problem

    def _decrypt(self) -> int:
        """Into the inner framing's space; 0 when there is no more."""
        with self._lock:
            try:
                space = self._inner.space()
                count: Any = self._tls.read(min(len(space), MESSAGE_BYTES), space)
                return int(count)  # how many were put there: the type says bytes, which come without a buffer
            except ssl.SSLWantReadError:
                return 0
            except ssl.SSLZeroReturnError as problem:
                raise OverError("TLS: closed") from problem
            except ssl.SSLError as problem:
                raise OverError(f"TLS: {problem.reason or problem}") from problem

    def _encrypt(self, data: bytes) -> bytes:
        if data:
            self._tls.write(data)
        return self._out.read()

    def _sealed(self, data: bytes) -> bytes:
        with self._lock:
            return self._encrypt(data)

    def frame(self, message: bytes) -> bytes:
        return self._sealed(self._inner.frame(message))

    def farewell(self, code: int, reason: str) -> bytes:
        if not self._shaken:
            return b""
        last = self._inner.farewell(code, reason)
        return self._sealed(last) if last else b""

    def done(self) -> None:
        self._inner.done()
        super().done()
