"""WebSocket (RFC 6455) as a framing, in both roles: the opening handshake, then messages of text.

What breaks the protocol ends the connection with the close code that the RFC gives it:
1002 protocol, 1003 not text, 1007 not UTF-8, 1009 too big.  No extension and no subprotocol is agreed.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import os
import struct
from collections.abc import Iterator

from capershelf.net.buffers import MESSAGE_BYTES, POOL
from capershelf.net.framing import Buffered, OverError, Reply
from capershelf.net.http import HttpError, parse_head

GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG = 0x0, 0x1, 0x2, 0x8, 0x9, 0xA
NORMAL, PROTOCOL, NOT_TEXT, NOT_UTF8, TOO_BIG, TRY_LATER = 1000, 1002, 1003, 1007, 1009, 1013
NEVER_SENT = (1004, 1005, 1006, 1015)  # codes that only ever stand for what happened, never in a frame


def accept_key(key: str) -> str:
    return base64.b64encode(hashlib.sha1(key.encode() + GUID).digest()).decode()


def masked(data: bytes, mask: bytes) -> bytes:
    """Data under a mask of four bytes; the same again takes it off."""
    if not data:
        return data
    stream = (mask * (len(data) // 4 + 1))[: len(data)]
    return (int.from_bytes(data, "big") ^ int.from_bytes(stream, "big")).to_bytes(len(data), "big")


def build_frame(opcode: int, payload: bytes, mask: bytes = b"", fin: bool = True) -> bytes:
    first = opcode | (0x80 if fin else 0)
    bit = 0x80 if mask else 0
    if len(payload) < 126:
        head = struct.pack("!BB", first, bit | len(payload))
    elif len(payload) < 65536:
        head = struct.pack("!BBH", first, bit | 126, len(payload))
    else:
        head = struct.pack("!BBQ", first, bit | 127, len(payload))
    return head + mask + (masked(payload, mask) if mask else payload)


def close_code(payload: bytes) -> int:
    """The code in a close frame, 1000 where there is none; raises BrokenError for what may not be there."""
    if not payload:
        return NORMAL
    if len(payload) == 1:
        raise BrokenError(PROTOCOL, "half a close code")
    code: int = struct.unpack("!H", payload[:2])[0]
    if code < 1000 or code in NEVER_SENT or 1014 < code < 3000 or code > 4999:
        raise BrokenError(PROTOCOL, f"close code {code}")
    try:
        payload[2:].decode("utf-8")
    except UnicodeDecodeError:
        raise BrokenError(NOT_UTF8, "a close reason that is not UTF-8") from None
    return code


class BrokenError(Exception):
    """The peer broke the protocol; code is what it is told."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


class WebSocket(Buffered):
    """One end of a WebSocket: the server's, or with a host the client's."""

    def __init__(self, host: str = "", path: str = "/", full: bool = False) -> None:
        super().__init__()
        self.opened = False
        self._client = bool(host)
        self._host, self._path, self._full = host, path, full
        self._key = base64.b64encode(os.urandom(16)).decode() if host else ""
        self._closing = False
        self._parts: bytearray | None = None  # a message in fragments
        self._parts_have = 0

    @property
    def half(self) -> bool:
        return self.have > 0 or self._parts is not None

    # -- sending --------------------------------------------------------------------------------------
    def opening(self) -> bytes:
        """What the client sends first."""
        if not self._client:
            return b""
        return (
            f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\n"
            "Upgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {self._key}\r\nSec-WebSocket-Version: 13\r\n\r\n"
        ).encode()

    def frame(self, message: bytes) -> bytes:
        return self._frame(TEXT, message)

    def farewell(self, code: int, reason: str) -> bytes:
        if not self.opened or self._closing:
            return b""
        self._closing = True
        return self._frame(CLOSE, struct.pack("!H", code) + reason.encode()[:120])

    def _frame(self, opcode: int, payload: bytes) -> bytes:
        return build_frame(opcode, payload, os.urandom(4) if self._client else b"")

    # -- receiving ------------------------------------------------------------------------------------
    def filled(self, count: int) -> Iterator[bytes]:
        self.have += count
        try:
            if not self.opened:
                yield from self._handshake()
            if self.opened:
                yield from self._frames()
        except BrokenError as broken:
            raise OverError(str(broken), self.farewell(broken.code, str(broken))) from broken

    def _handshake(self) -> Iterator[bytes]:
        end = self.buffer.find(b"\r\n\r\n", 0, self.have)
        if end < 0:
            if self.have > MESSAGE_BYTES:
                answer = self._http("431 Request Header Fields Too Large")
                raise OverError("a handshake without an end", answer)
            return
        try:
            first, fields = parse_head(bytes(self.buffer[:end]))
        except HttpError as problem:
            raise OverError(str(problem), self._http("400 Bad Request")) from problem
        self.drop(end + 4)
        upgrade = fields.get("upgrade", "").lower() == "websocket" and "upgrade" in [
            token.strip() for token in fields.get("connection", "").lower().split(",")
        ]
        if self._client:
            accepted = fields.get("sec-websocket-accept", "") == accept_key(self._key)
            if not (first.startswith("HTTP/1.1 101") and upgrade and accepted):
                raise OverError(f"no WebSocket there: {first!r}")
            self.opened = True
            return
        method, _, rest = first.partition(" ")
        if method != "GET" or not rest.endswith(" HTTP/1.1") or not upgrade or "host" not in fields:
            raise OverError("not a WebSocket handshake", self._http("400 Bad Request"))
        if fields.get("sec-websocket-version") != "13":
            answer = self._http("426 Upgrade Required", "Sec-WebSocket-Version: 13\r\n")
            raise OverError("another version of WebSocket", answer)
        key = fields.get("sec-websocket-key", "")
        try:
            right = len(base64.b64decode(key, validate=True)) == 16
        except (binascii.Error, ValueError):
            right = False
        if not right:
            raise OverError("a handshake without a key", self._http("400 Bad Request"))
        yield Reply(
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Accept: {accept_key(key)}\r\n\r\n".encode()
        )
        self.opened = True
        if self._full:
            raise OverError("turned away", self.farewell(TRY_LATER, "full"))

    def _http(self, status: str, more: str = "") -> bytes:
        if self._client:
            return b""
        return f"HTTP/1.1 {status}\r\n{more}Connection: close\r\nContent-Length: 0\r\n\r\n".encode()

    def _frames(self) -> Iterator[bytes]:
        at = 0
        try:
            while (found := self._next(at)) is not None:
                at, fin, opcode, payload = found
                if opcode >= CLOSE:
                    yield from self._control(opcode, payload)
                elif (message := self._assemble(fin, opcode, payload)) is not None:
                    yield message
        finally:
            self.drop(at)

    def _next(self, at: int) -> tuple[int, bool, int, bytes] | None:
        """The frame at that place: where it ends, whether it is the last, its opcode, its payload."""
        if self.have < at + 2:
            return None
        first, second = self.buffer[at], self.buffer[at + 1]
        fin, opcode, length = bool(first & 0x80), first & 0x0F, second & 0x7F
        if first & 0x70:
            raise BrokenError(PROTOCOL, "a reserved bit is set")
        if opcode not in (CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG):
            raise BrokenError(PROTOCOL, f"opcode {opcode}")
        if bool(second & 0x80) is self._client:
            raise BrokenError(PROTOCOL, "masked by a server" if self._client else "not masked by a client")
        if opcode >= CLOSE and (not fin or length > 125):
            raise BrokenError(PROTOCOL, "a control frame in pieces or too long")
        if opcode == BINARY:
            raise BrokenError(NOT_TEXT, "only text messages are understood")
        if opcode == CONTINUATION and self._parts is None:
            raise BrokenError(PROTOCOL, "a continuation of nothing")
        if opcode == TEXT and self._parts is not None:
            raise BrokenError(PROTOCOL, "a new message within one in fragments")
        start = at + 2
        if length >= 126:
            size = 2 if length == 126 else 8
            if self.have < start + size:
                return None
            length = int.from_bytes(self.buffer[start : start + size], "big")
            start += size
            if length < (126 if size == 2 else 65536) or length >> 63:
                raise BrokenError(PROTOCOL, "a length in more bytes than it needs")
        if length + (self._parts_have if opcode < CLOSE else 0) > MESSAGE_BYTES:
            raise BrokenError(TOO_BIG, f"a message of over {MESSAGE_BYTES} bytes")
        mask = b""
        if not self._client:
            mask = bytes(self.buffer[start : start + 4])
            start += 4
        if self.have < start + length:
            return None
        payload = bytes(self.buffer[start : start + length])
        return start + length, fin, opcode, masked(payload, mask) if mask else payload

    def _control(self, opcode: int, payload: bytes) -> Iterator[bytes]:
        if opcode == PING:
            yield Reply(self._frame(PONG, payload))
        elif opcode == CLOSE:
            code = close_code(payload)
            raise OverError(f"closed with {code}", self.farewell(code, ""))

    def _assemble(self, fin: bool, opcode: int, payload: bytes) -> bytes | None:
        """The whole message, if this frame ends one."""
        if opcode == TEXT and fin:
            message = payload
        else:
            if self._parts is None:
                self._parts, self._parts_have = POOL.take(), 0
            self._parts[self._parts_have : self._parts_have + len(payload)] = payload
            self._parts_have += len(payload)
            if not fin:
                return None
            message = bytes(self._parts[: self._parts_have])
            self._give_parts()
        try:
            message.decode("utf-8")
        except UnicodeDecodeError:
            raise BrokenError(NOT_UTF8, "text that is not UTF-8") from None
        return message

    def _give_parts(self) -> None:
        if self._parts is not None:
            POOL.give(self._parts)
            self._parts, self._parts_have = None, 0

    def done(self) -> None:
        super().done()
        self._give_parts()
