"""WebSocket (RFC 6455) as a framing, in both roles: the opening handshake, then text messages.

Protocol violations close the connection with the close code that the RFC assigns: 1002 protocol error, 1003
unsupported data, 1007 invalid payload, 1009 message too big.  No extensions or subprotocols are negotiated.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import os
import struct
from collections.abc import Iterator

from capershelf.net.buffers import MAX_MESSAGE_BYTES, POOL
from capershelf.net.framing import Buffered, CloseConnectionError, Reply
from capershelf.net.http import MAX_HEAD_FIELDS, HttpError, parse_head

GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG = 0x0, 0x1, 0x2, 0x8, 0x9, 0xA  # opcodes
CLOSE_NORMAL = 1000
CLOSE_PROTOCOL_ERROR = 1002
CLOSE_UNSUPPORTED_DATA = 1003
CLOSE_INVALID_PAYLOAD = 1007
CLOSE_MESSAGE_TOO_BIG = 1009
CLOSE_TRY_AGAIN_LATER = 1013
RESERVED_CLOSE_CODES = (1004, 1005, 1006, 1015)  # must not be sent in a close frame


def accept_key(key: str) -> str:
    """The Sec-WebSocket-Accept value for a Sec-WebSocket-Key."""
    return base64.b64encode(hashlib.sha1(key.encode() + GUID).digest()).decode()


def apply_mask(data: bytes, mask: bytes) -> bytes:
    """XOR data with a four-byte mask; masking twice restores the data."""
    if not data:
        return data
    stream = (mask * (len(data) // 4 + 1))[: len(data)]
    return (int.from_bytes(data, "big") ^ int.from_bytes(stream, "big")).to_bytes(len(data), "big")


def build_frame(opcode: int, payload: bytes, mask: bytes = b"", fin: bool = True) -> bytes:
    """Encode a frame, masked if a mask is given."""
    first = opcode | (0x80 if fin else 0)
    bit = 0x80 if mask else 0
    if len(payload) < 126:
        head = struct.pack("!BB", first, bit | len(payload))
    elif len(payload) < 65536:
        head = struct.pack("!BBH", first, bit | 126, len(payload))
    else:
        head = struct.pack("!BBQ", first, bit | 127, len(payload))
    return head + mask + (apply_mask(payload, mask) if mask else payload)


def parse_close_code(payload: bytes) -> int:
    """The code of a close frame's payload, 1000 if it has none; ProtocolError if the payload is invalid."""
    if not payload:
        return CLOSE_NORMAL
    if len(payload) == 1:
        raise ProtocolError(CLOSE_PROTOCOL_ERROR, "half a close code")
    code: int = struct.unpack("!H", payload[:2])[0]
    if code < 1000 or code in RESERVED_CLOSE_CODES or 1014 < code < 3000 or code > 4999:
        raise ProtocolError(CLOSE_PROTOCOL_ERROR, f"close code {code}")
    try:
        payload[2:].decode("utf-8")
    except UnicodeDecodeError:
        raise ProtocolError(CLOSE_INVALID_PAYLOAD, "a close reason that is not UTF-8") from None
    return code


class ProtocolError(Exception):
    """The peer violated the protocol; code is the close code to send."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


class WebSocket(Buffered):
    """One end of a WebSocket: the server's, or the client's if a host is given.

    full: a server that accepts the handshake and then closes with 1013 (try again later).
    """

    def __init__(self, host: str = "", path: str = "/", full: bool = False) -> None:
        super().__init__()
        self.opened = False
        self._client = bool(host)
        self._host, self._path, self._full = host, path, full
        self._key = base64.b64encode(os.urandom(16)).decode() if host else ""
        self._closing = False
        self._fragments: bytearray | None = None  # the fragments of an incomplete message
        self._fragments_bytes = 0
        self.last_pong = b""  # payload of the last pong received

    @property
    def has_partial_message(self) -> bool:
        return self.filled_bytes > 0 or self._fragments is not None

    # -- sending --------------------------------------------------------------------------------------
    def handshake_data(self) -> bytes:
        """The client's handshake request; a server sends nothing first."""
        if not self._client:
            return b""
        return (
            f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\n"
            "Upgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {self._key}\r\nSec-WebSocket-Version: 13\r\n\r\n"
        ).encode()

    def frame(self, message: bytes) -> bytes:
        return self._build_frame(TEXT, message)

    def close_frame(self, code: int, reason: str) -> bytes:
        if not self.opened or self._closing:
            return b""
        self._closing = True
        return self._build_frame(CLOSE, struct.pack("!H", code) + reason.encode()[:120])

    def ping_frame(self, payload: bytes) -> bytes:
        """A ping, which the peer answers with a pong of the same payload (at most 125 bytes)."""
        return self._build_frame(PING, payload)

    def _build_frame(self, opcode: int, payload: bytes) -> bytes:
        return build_frame(opcode, payload, os.urandom(4) if self._client else b"")

    # -- receiving ------------------------------------------------------------------------------------
    def parse(self, count: int) -> Iterator[bytes]:
        self.filled_bytes += count
        try:
            if not self.opened:
                yield from self._parse_handshake()
            if self.opened:
                yield from self._parse_frames()
        except ProtocolError as error:
            raise CloseConnectionError(str(error), self.close_frame(error.code, str(error))) from error

    def _parse_handshake(self) -> Iterator[bytes]:
        end = self.buffer.find(b"\r\n\r\n", 0, self.filled_bytes)
        if end < 0:
            if self.filled_bytes > MAX_MESSAGE_BYTES:
                answer = self._http_response("431 Request Header Fields Too Large")
                raise CloseConnectionError("a handshake without an end", answer)
            return
        if self.buffer.count(b"\n", 0, end) > MAX_HEAD_FIELDS:
            answer = self._http_response("431 Request Header Fields Too Large")
            raise CloseConnectionError(f"a handshake of over {MAX_HEAD_FIELDS} fields", answer)
        try:
            first, fields = parse_head(bytes(self.buffer[:end]))
        except HttpError as error:
            raise CloseConnectionError(str(error), self._http_response("400 Bad Request")) from error
        self.discard(end + 4)
        upgrade = fields.get("upgrade", "").lower() == "websocket" and "upgrade" in [
            token.strip() for token in fields.get("connection", "").lower().split(",")
        ]
        if self._client:
            accepted = fields.get("sec-websocket-accept", "") == accept_key(self._key)
            if not (first.startswith("HTTP/1.1 101") and upgrade and accepted):
                raise CloseConnectionError(f"no WebSocket there: {first!r}")
            self.opened = True
            return
        method, _, rest = first.partition(" ")
        if method != "GET" or not rest.endswith(" HTTP/1.1") or not upgrade or "host" not in fields:
            raise CloseConnectionError("not a WebSocket handshake", self._http_response("400 Bad Request"))
        if fields.get("sec-websocket-version") != "13":
            answer = self._http_response("426 Upgrade Required", "Sec-WebSocket-Version: 13\r\n")
            raise CloseConnectionError("another version of WebSocket", answer)
        key = fields.get("sec-websocket-key", "")
        try:
            valid_key = len(base64.b64decode(key, validate=True)) == 16
        except (binascii.Error, ValueError):
            valid_key = False
        if not valid_key:
            raise CloseConnectionError("a handshake without a key", self._http_response("400 Bad Request"))
        yield Reply(
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Accept: {accept_key(key)}\r\n\r\n".encode()
        )
        self.opened = True
        if self._full:
            raise CloseConnectionError("turned away", self.close_frame(CLOSE_TRY_AGAIN_LATER, "full"))

    def _http_response(self, status: str, more: str = "") -> bytes:
        if self._client:
            return b""
        return f"HTTP/1.1 {status}\r\n{more}Connection: close\r\nContent-Length: 0\r\n\r\n".encode()

    def _parse_frames(self) -> Iterator[bytes]:
        offset = 0
        try:
            while (found := self._parse_frame(offset)) is not None:
                offset, fin, opcode, payload = found
                self._parsed_lines += 1
                if opcode >= CLOSE:
                    yield from self._handle_control(opcode, payload)
                elif (message := self._assemble(fin, opcode, payload)) is not None:
                    yield message
        finally:
            self.discard(offset)

    def _parse_frame(self, offset: int) -> tuple[int, bool, int, bytes] | None:
        """Parse the frame at the offset: its end, FIN bit, opcode and payload; None if it is incomplete."""
        if self.filled_bytes < offset + 2:
            return None
        first, second = self.buffer[offset], self.buffer[offset + 1]
        fin, opcode, length = bool(first & 0x80), first & 0x0F, second & 0x7F
        if first & 0x70:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a reserved bit is set")
        if opcode not in (CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG):
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, f"opcode {opcode}")
        if bool(second & 0x80) is self._client:
            raise ProtocolError(
                CLOSE_PROTOCOL_ERROR,
                "masked by a server" if self._client else "not masked by a client",
            )
        if opcode >= CLOSE and (not fin or length > 125):
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a control frame in pieces or too long")
        if opcode == BINARY:
            raise ProtocolError(CLOSE_UNSUPPORTED_DATA, "only text messages are understood")
        if opcode == CONTINUATION and self._fragments is None:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a continuation of nothing")
        if opcode == TEXT and self._fragments is not None:
            raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a new message within one in fragments")
        start = offset + 2
        if length >= 126:
            size = 2 if length == 126 else 8
            if self.filled_bytes < start + size:
                return None
            length = int.from_bytes(self.buffer[start : start + size], "big")
            start += size
            if length < (126 if size == 2 else 65536) or length >> 63:
                raise ProtocolError(CLOSE_PROTOCOL_ERROR, "a length in more bytes than it needs")
        if length + (self._fragments_bytes if opcode < CLOSE else 0) > MAX_MESSAGE_BYTES:
            raise ProtocolError(CLOSE_MESSAGE_TOO_BIG, f"a message of over {MAX_MESSAGE_BYTES} bytes")
        mask = b""
        if not self._client:
            mask = bytes(self.buffer[start : start + 4])
            start += 4
        if self.filled_bytes < start + length:
            return None
        payload = bytes(self.buffer[start : start + length])
        return start + length, fin, opcode, apply_mask(payload, mask) if mask else payload

    def _handle_control(self, opcode: int, payload: bytes) -> Iterator[bytes]:
        if opcode == PING:
            yield Reply(self._build_frame(PONG, payload))
        elif opcode == PONG:
            self.last_pong = payload
        elif opcode == CLOSE:
            code = parse_close_code(payload)
            raise CloseConnectionError(f"closed with {code}", self.close_frame(code, ""))

    def _assemble(self, fin: bool, opcode: int, payload: bytes) -> bytes | None:
        """Add a data frame; returns the complete message if this frame ends one."""
        if opcode == TEXT and fin:
            message = payload
        else:
            if self._fragments is None:
                self._fragments, self._fragments_bytes = POOL.acquire(), 0
            self._fragments[self._fragments_bytes : self._fragments_bytes + len(payload)] = payload
            self._fragments_bytes += len(payload)
            if not fin:
                return None
            message = bytes(self._fragments[: self._fragments_bytes])
            self._release_fragments()
        try:
            message.decode("utf-8")
        except UnicodeDecodeError:
            raise ProtocolError(CLOSE_INVALID_PAYLOAD, "text that is not UTF-8") from None
        return message

    def _release_fragments(self) -> None:
        if self._fragments is not None:
            POOL.release(self._fragments)
            self._fragments, self._fragments_bytes = None, 0

    def release_buffers(self) -> None:
        super().release_buffers()
        self._release_fragments()
