"""Both ends of the configuration stream's protocol, without I/O.  See docs/stream.md.

The host passes each received message to receive() and carries out the returned steps in order: Send is to
be sent, Disconnect closes the connection, the others are events for the host.  Nothing here blocks, and
no message from a peer raises an exception.
"""

from __future__ import annotations

import base64
import binascii
import json
import math
from dataclasses import dataclass, field
from typing import Any

from capershelf.stream import document as doc
from capershelf.stream.ledger import VersionHistory, VersionNumber
from capershelf.stream.signing import KeyRing, Signature

PROTOCOL_VERSION = 1
PART_BYTES = 8192  # payload of one part, before base64
WINDOW_PARTS = 16  # parts requested but not yet received, at most
MAX_PART_FAULTS = 3  # unexpected or malformed parts before the version is refused
HEARTBEAT_MS = 2000.0  # each end sends a message at least this often
MAX_CACHED_VERSIONS = 32  # versions that a service keeps as bases of deltas
Message = dict[str, Any]
UNSIGNED = Signature()


class ProtocolError(ValueError):
    """A message that violates the protocol."""


def encode(message: Message) -> bytes:
    """The bytes of a message, as canonical JSON."""
    return doc.canonical(message)


def decode(line: bytes) -> Message:
    """Parse a line into a message; raises ProtocolError if it is not one."""
    try:
        found = json.loads(line.decode())
    except (ValueError, RecursionError) as problem:
        raise ProtocolError(f"no JSON: {problem}") from problem
    if not isinstance(found, dict) or not isinstance(found.get("type"), str):
        raise ProtocolError("not an object with a type")
    return found


def _integer(message: Message, key: str, least: int = 0) -> int:
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value < 2**53:
        raise ProtocolError(f"{message['type']}: {key} must be a whole number, not {str(value)[:40]!r}")
    return value


def _text(message: Message, key: str, default: str | None = None) -> str:
    value = message.get(key, default)
    if not isinstance(value, str) or len(value) > 512:
        raise ProtocolError(f"{message['type']}: {key} must be a short text")
    return value


def _version_number(message: Message) -> VersionNumber:
    return VersionNumber(_integer(message, "epoch"), _integer(message, "version", 1))


# -- steps --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Send:
    """The host sends this message."""

    message: Message


@dataclass(frozen=True, slots=True)
class Disconnect:
    """The host closes the connection."""

    reason: str


@dataclass(frozen=True, slots=True)
class VersionReceived:
    """A complete version with verified digests and signature; the host answers accept() or refuse()."""

    number: VersionNumber
    digest: str
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class VersionRefused:
    """A version was refused; an event for the host to log."""

    number: VersionNumber
    code: str
    text: str


@dataclass(frozen=True, slots=True)
class ProxyReport:
    """At a service: what a proxy reported about a version."""

    kind: str  # hello, ack, refuse or back
    proxy: str
    number: VersionNumber | None
    code: str = ""
    path: str = ""
    text: str = ""
    notes: tuple[str, ...] = ()


Step = Send | Disconnect | VersionReceived | VersionRefused | ProxyReport


# -- the proxy's end ----------------------------------------------------------------------------------
@dataclass(slots=True)
class Fetch:
    """A version being fetched.  It survives its connection: the next one requests only the missing parts."""

    number: VersionNumber
    form: str
    length: int
    digest: str  # of the transferred bytes
    document_digest: str
    parts: int
    data: list[bytes] = field(default_factory=list)
    requested: int = 0  # parts
    faults: int = 0


class ProxySession:
    """The proxy's end of the protocol, with one service at a time; connected() starts a connection."""

    def __init__(self, proxy: str, release: str, history: VersionHistory, ring: KeyRing | None) -> None:
        self.proxy, self.release, self.history, self.ring = proxy, release, history, ring
        self.base: dict[str, Any] | None = None  # the document of the last good version
        self.fetch: Fetch | None = None
        self.awaiting_host: VersionReceived | None = None  # handed to the host, not yet answered
        self.service = ""
        self._no_delta: set[str] = set()
        self._ready = False

    def connected(self, service: str) -> list[Step]:
        """Start a connection; returns the hello message."""
        self.service, self._ready, self.awaiting_host = service, False, None
        self._no_delta.clear()
        hello: Message = {
            "type": "hello",
            "speaks": [PROTOCOL_VERSION],
            "proxy": self.proxy,
            "release": self.release,
            "can": ["whole", "delta"],
        }
        if self.history.good is not None:
            hello |= {
                "epoch": self.history.good.epoch,
                "version": self.history.good.version,
                "digest": self.history.digest,
            }
        return [Send(hello)]

    def receive(self, message: Message, now_ms: float) -> list[Step]:
        try:
            match message["type"]:
                case "welcome":
                    if _integer(message, "speaks") != PROTOCOL_VERSION:
                        return [Disconnect("the service speaks another version of the protocol")]
                    self._ready = True
                    return []
                case "beat":
                    return []
                case "offer" if self._ready:
                    return self._receive_offer(message, now_ms)
                case "part" if self._ready:
                    return self._receive_part(message)
                case kind:
                    raise ProtocolError(f"{kind!r} may not come now")
        except ProtocolError as problem:
            return [Disconnect(str(problem))]

    def _receive_offer(self, message: Message, now_ms: float) -> list[Step]:
        number, whole = _version_number(message), _text(message, "whole")
        if (
            self.awaiting_host is not None
            and self.awaiting_host.number == number
            and self.awaiting_host.digest == whole
        ):
            return []  # offered again while the host checks it
        decision = self.history.evaluate_offer(number, whole, self.service)
        if decision.in_force:
            return [Send(self._ack(number, whole, ()))]
        if not decision.fetch:
            return self._refuse(number, whole, decision.code, "", decision.text, record=False)
        signature = Signature(
            _text(message, "key", ""), float(_integer(message, "expires")), _text(message, "signature", "")
        )
        if self.ring is not None:
            code, text = self.ring.fault(number, whole, signature, now_ms)
            if code:  # not recorded: the same document may be offered again with another signature
                return self._refuse(number, whole, code, "", text, record=False)
        form, length = _text(message, "form"), _integer(message, "length", 1)
        if length > doc.MAX_BYTES:
            return self._refuse(number, whole, "too-long", "", f"{length} bytes, at most {doc.MAX_BYTES}")
        fetch = Fetch(number, form, length, _text(message, "digest"), whole, _integer(message, "parts", 1))
        if fetch.parts != math.ceil(length / PART_BYTES) or form not in ("whole", "delta"):
            raise ProtocolError(f"offer: {fetch.parts} parts of form {form!r} for {length} bytes")
        if form == "delta" and (
            self.base is None or _text(message, "base", "") != self.history.digest or whole in self._no_delta
        ):
            self._no_delta.add(whole)
            return [Send(self._request_message(number, 0, whole=True))]
        previous = self.fetch
        if previous is not None and (previous.number, previous.digest, previous.document_digest) == (
            number,
            fetch.digest,
            whole,
        ):
            previous.requested = len(previous.data)
            fetch = previous  # resume the fetch of the previous connection
        self.fetch, self.awaiting_host = fetch, None  # the newest offer replaces any earlier one
        return self._request_parts(fetch) or self._assemble(fetch)

    def _request_parts(self, fetch: Fetch) -> list[Step]:
        """Request more parts once half of the window was received."""
        have = len(fetch.data)
        if (
            have >= fetch.parts
            or fetch.requested - have > WINDOW_PARTS // 2
            or fetch.requested >= fetch.parts
        ):
            return []
        begin, fetch.requested = fetch.requested, min(fetch.parts, have + WINDOW_PARTS)
        return [Send(self._request_message(fetch.number, begin, fetch.requested - begin))]

    @staticmethod
    def _request_message(
        number: VersionNumber, begin: int, most: int = WINDOW_PARTS, whole: bool = False
    ) -> Message:
        return {
            "type": "want",
            "epoch": number.epoch,
            "version": number.version,
            "from": begin,
            "most": most,
            "whole": whole,
        }

    def _receive_part(self, message: Message) -> list[Step]:
        fetch, index = self.fetch, _integer(message, "number")
        if fetch is None or _version_number(message) != fetch.number or index < len(fetch.data):
            return []  # a part of a superseded version, or a duplicate
        have = len(fetch.data)
        try:
            data = base64.b64decode(str(message.get("data")), validate=True)
        except (binascii.Error, ValueError):
            data = b""
        last = have == fetch.parts - 1
        wanted = fetch.length - PART_BYTES * (fetch.parts - 1) if last else PART_BYTES
        if index != have or len(data) != wanted:
            fetch.faults += 1
            if fetch.faults >= MAX_PART_FAULTS:
                self.fetch = None
                text = f"part {have} did not come whole in {MAX_PART_FAULTS} tries"
                return self._refuse(fetch.number, fetch.document_digest, "parts", "", text, record=False)
            fetch.requested = min(fetch.parts, have + WINDOW_PARTS)
            return [Send(self._request_message(fetch.number, have, fetch.requested - have))]
        fetch.data.append(data)
        return self._request_parts(fetch) if len(fetch.data) < fetch.parts else self._assemble(fetch)

    def _assemble(self, fetch: Fetch) -> list[Step]:
        """Verify the received parts and build the document from them."""
        self.fetch = None
        data = b"".join(fetch.data)
        if doc.digest(data) != fetch.digest:
            text = "the parts are not what was offered"
            return self._refuse(fetch.number, fetch.document_digest, "digest", "", text, record=False)
        try:
            found = doc.read(data)
            if fetch.form == "delta":
                found = doc.apply(self.base or {}, found)
            proved = doc.digest(doc.canonical(found)) == fetch.document_digest
        except ValueError as problem:
            return self._refuse(fetch.number, fetch.document_digest, "unreadable", "", str(problem))
        if not proved:
            if fetch.form == "delta":
                self._no_delta.add(fetch.document_digest)
                return [Send(self._request_message(fetch.number, 0, whole=True))]
            text = "the document is not what was offered"
            return self._refuse(fetch.number, fetch.document_digest, "digest", "", text)
        self.awaiting_host = VersionReceived(fetch.number, fetch.document_digest, found)
        return [self.awaiting_host]

    # -- answers of the host ---------------------------------------------------------------------------
    def accept(self, arrived: VersionReceived, notes: tuple[str, ...]) -> list[Step]:
        """Acknowledge a version that is in force in every planner."""
        self.history.mark_accepted(arrived.number, arrived.digest)
        self.base = arrived.document
        return self._answer(arrived, [Send(self._ack(arrived.number, arrived.digest, notes))])

    def refuse(self, arrived: VersionReceived, code: str, path: str, text: str) -> list[Step]:
        """Refuse a version that breaks a rule; the last good version stays in force."""
        return self._answer(arrived, self._refuse(arrived.number, arrived.digest, code, path, text))

    def roll_back(
        self,
        bad: VersionNumber,
        before: VersionNumber | None,
        base: dict[str, Any] | None,
        digest: str,
        text: str,
    ) -> list[Step]:
        """Report that the harmful version was replaced by the previous one."""
        self.history.roll_back(bad, self.history.digest, before, digest, text)
        self.base = base
        return [Send({"type": "back", "epoch": bad.epoch, "version": bad.version, "text": text[:500]})]

    def _answer(self, arrived: VersionReceived, steps: list[Step]) -> list[Step]:
        """The steps of an answer; none if the version came over an earlier connection."""
        if self.awaiting_host is not arrived:
            return []
        self.awaiting_host = None
        return steps

    def _ack(self, number: VersionNumber, digest: str, notes: tuple[str, ...]) -> Message:
        return {
            "type": "ack",
            "epoch": number.epoch,
            "version": number.version,
            "digest": digest,
            "notes": list(notes)[:64],
        }

    def _refuse(
        self, number: VersionNumber, digest: str, code: str, path: str, text: str, record: bool = True
    ) -> list[Step]:
        if record:
            self.history.mark_refused(number, digest, code, text)
        return [
            VersionRefused(number, code, f"{path}: {text}" if path else text),
            Send(
                {
                    "type": "refuse",
                    "epoch": number.epoch,
                    "version": number.version,
                    "code": code,
                    "path": path,
                    "text": text[:500],
                }
            ),
        ]


# -- the service's end --------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Published:
    """A version as a service publishes it."""

    number: VersionNumber
    document: dict[str, Any]
    data: bytes
    digest: str
    signature: Signature = UNSIGNED

    @classmethod
    def of(cls, number: VersionNumber, found: dict[str, Any], signature: Signature = UNSIGNED) -> Published:
        data = doc.canonical(found)
        return cls(number, found, data, doc.digest(data), signature)


class VersionCache:
    """The newest versions of a service and the deltas between them, shared by all connections."""

    def __init__(self) -> None:
        self._by_digest: dict[str, Published] = {}
        self._deltas: dict[tuple[str, str], bytes] = {}

    def add(self, published: Published) -> None:
        self._by_digest[published.digest] = published
        while len(self._by_digest) > MAX_CACHED_VERSIONS:
            evicted = next(iter(self._by_digest))
            del self._by_digest[evicted]
            self._deltas = {pair: data for pair, data in self._deltas.items() if evicted not in pair}

    def delta(self, base: str, target: Published) -> bytes | None:
        """The encoded delta from the base to the target if it is shorter than the target; computed once."""
        known = self._by_digest.get(base)
        if known is None or target.digest not in self._by_digest:
            return None
        pair = (base, target.digest)
        if pair not in self._deltas:
            patch = doc.delta(known.document, target.document)
            made = doc.canonical(patch)
            fits = (
                doc.apply(known.document, patch) == target.document
            )  # a merge patch cannot set a value to null
            self._deltas[pair] = made if fits else target.data
        made = self._deltas[pair]
        return made if len(made) < len(target.data) else None


class ServiceSession:
    """The service's end of the protocol, for one connection of a proxy."""

    def __init__(self, cache: VersionCache) -> None:
        self.proxy = ""
        self.digest = ""  # of the version in force at the proxy
        self.good: VersionNumber | None = None
        self._cache = cache
        self._accepts_deltas = False
        self._offered: Published | None = None
        self._data = b""

    def receive(self, message: Message) -> list[Step]:
        try:
            kind = message["type"]
            if kind == "beat":
                return []
            if kind == "hello" and not self.proxy:
                return self._receive_hello(message)
            if not self.proxy:
                raise ProtocolError(f"{kind!r} before hello")
            match kind:
                case "want":
                    return self._send_parts(message)
                case "ack":
                    self.good, self.digest = _version_number(message), _text(message, "digest")
                    notes = tuple(str(note) for note in message.get("notes") or ())
                    return [ProxyReport("ack", self.proxy, self.good, notes=notes)]
                case "refuse" | "back":
                    return [
                        ProxyReport(
                            kind,
                            self.proxy,
                            _version_number(message),
                            _text(message, "code", ""),
                            _text(message, "path", ""),
                            _text(message, "text", ""),
                        )
                    ]
            raise ProtocolError(f"{kind!r} is not known")
        except ProtocolError as problem:
            return [Disconnect(str(problem))]

    def _receive_hello(self, message: Message) -> list[Step]:
        speaks = message.get("speaks")
        if not isinstance(speaks, list) or PROTOCOL_VERSION not in speaks:
            return [Disconnect("the proxy speaks no version of this protocol that is spoken here")]
        proxy = _text(message, "proxy")
        if not proxy:
            raise ProtocolError("hello: a proxy needs a name")
        can = message.get("can")
        self._accepts_deltas = isinstance(can, list) and "delta" in can
        if "version" in message:
            self.good, self.digest = _version_number(message), _text(message, "digest")
        self.proxy = proxy
        return [Send({"type": "welcome", "speaks": PROTOCOL_VERSION}), ProxyReport("hello", proxy, self.good)]

    def offer(self, published: Published, whole: bool = False) -> list[Step]:
        """Offer a version, as a delta if the proxy supports deltas and one is available."""
        data = self._cache.delta(self.digest, published) if self._accepts_deltas and not whole else None
        form = "whole" if data is None else "delta"
        self._offered, self._data = published, published.data if data is None else data
        number, signature = published.number, published.signature
        return [
            Send(
                {
                    "type": "offer",
                    "epoch": number.epoch,
                    "version": number.version,
                    "form": form,
                    "base": "" if data is None else self.digest,
                    "length": len(self._data),
                    "digest": doc.digest(self._data),
                    "whole": published.digest,
                    "parts": math.ceil(len(self._data) / PART_BYTES),
                    "key": signature.key,
                    "expires": int(signature.expires_ms),
                    "signature": signature.value,
                }
            )
        ]

    def _send_parts(self, message: Message) -> list[Step]:
        number, begin = _version_number(message), _integer(message, "from")
        most = min(WINDOW_PARTS, _integer(message, "most"))
        if self._offered is None or number != self._offered.number:
            return []  # superseded by a newer offer
        if message.get("whole") is True and self._data is not self._offered.data:
            return self.offer(self._offered, whole=True)
        return [
            Send(
                {
                    "type": "part",
                    "epoch": number.epoch,
                    "version": number.version,
                    "number": index,
                    "data": base64.b64encode(
                        self._data[index * PART_BYTES : (index + 1) * PART_BYTES]
                    ).decode(),
                }
            )
            for index in range(begin, begin + most)
            if index * PART_BYTES < len(self._data)
        ]
