"""The stream's protocol, both ends, without I/O: messages come in as objects, steps go out.  See
docs/stream.md.

A host gives each message to receive() and carries the steps out in their order: Say is to be sent, Hang
ends the connection, the others are news for the host.  Nothing here waits, and nothing that a peer sends
makes it raise.
"""

from __future__ import annotations

import base64
import binascii
import json
import math
from dataclasses import dataclass, field
from typing import Any

from capershelf.stream import document as doc
from capershelf.stream.ledger import Ledger, Number
from capershelf.stream.signing import KeyRing, Signature

SPEAKS = 1
PART_BYTES = 8192  # of a version in one part, before base64
WINDOW = 16  # parts that may be on their way
MOST_FAULTS = 3  # parts that don't fit, before the version is refused
BEAT_MS = 2000.0  # each end says something at least so often
BASES = 32  # versions that a service keeps to make deltas against
Message = dict[str, Any]
UNSIGNED = Signature()


class NonsenseError(ValueError):
    """A message that is not of this protocol."""


def encode(message: Message) -> bytes:
    return doc.canonical(message)


def decode(line: bytes) -> Message:
    """The message in a line; NonsenseError for what is none."""
    try:
        found = json.loads(line.decode())
    except (ValueError, RecursionError) as problem:
        raise NonsenseError(f"no JSON: {problem}") from problem
    if not isinstance(found, dict) or not isinstance(found.get("type"), str):
        raise NonsenseError("not an object with a type")
    return found


def _count(message: Message, key: str, least: int = 0) -> int:
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value < 2**53:
        raise NonsenseError(f"{message['type']}: {key} must be a whole number, not {str(value)[:40]!r}")
    return value


def _text(message: Message, key: str, default: str | None = None) -> str:
    value = message.get(key, default)
    if not isinstance(value, str) or len(value) > 512:
        raise NonsenseError(f"{message['type']}: {key} must be a short text")
    return value


def _number(message: Message) -> Number:
    return Number(_count(message, "epoch"), _count(message, "version", 1))


# -- steps --------------------------------------------------------------------------------------------
@dataclass(frozen=True, slots=True)
class Say:
    """Send this."""

    message: Message


@dataclass(frozen=True, slots=True)
class Hang:
    """End the connection."""

    reason: str


@dataclass(frozen=True, slots=True)
class Arrived:
    """A whole version, its digests and signature proved; the host must answer taken() or refuse()."""

    number: Number
    digest: str
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Refusing:
    """A version was refused here, without the host."""

    number: Number
    code: str
    text: str


@dataclass(frozen=True, slots=True)
class Told:
    """At a service: what a proxy says of a version."""

    kind: str  # hello, ack, refuse or back
    proxy: str
    number: Number | None
    code: str = ""
    path: str = ""
    text: str = ""
    notes: tuple[str, ...] = ()


Step = Say | Hang | Arrived | Refusing | Told


# -- the proxy's end ----------------------------------------------------------------------------------
@dataclass(slots=True)
class Fetch:
    """A version on its way; it outlives its connection, so that the rest can be asked for on the next."""

    number: Number
    form: str
    length: int
    digest: str  # of the bytes that travel
    whole: str  # of the document that comes of them
    parts: int
    data: list[bytes] = field(default_factory=list)
    asked: int = 0  # parts that were asked for
    faults: int = 0


class ProxyEnd:
    """A proxy's side of one service at a time; connected() begins a connection."""

    def __init__(self, proxy: str, release: str, ledger: Ledger, ring: KeyRing | None) -> None:
        self.proxy, self.release, self.ledger, self.ring = proxy, release, ledger, ring
        self.base: dict[str, Any] | None = None  # the document of the last good version
        self.fetch: Fetch | None = None
        self.awaited: Arrived | None = None  # with the host
        self.service = ""
        self._whole_only: set[str] = set()
        self._welcomed = False

    def connected(self, service: str) -> list[Step]:
        """A new connection: what to say first."""
        self.service, self._welcomed, self.awaited = service, False, None
        self._whole_only.clear()
        hello: Message = {
            "type": "hello",
            "speaks": [SPEAKS],
            "proxy": self.proxy,
            "release": self.release,
            "can": ["whole", "delta"],
        }
        if self.ledger.good is not None:
            hello |= {
                "epoch": self.ledger.good.epoch,
                "version": self.ledger.good.version,
                "digest": self.ledger.digest,
            }
        return [Say(hello)]

    def receive(self, message: Message, now_ms: float) -> list[Step]:
        try:
            match message["type"]:
                case "welcome":
                    if _count(message, "speaks") != SPEAKS:
                        return [Hang("the service speaks another version of the protocol")]
                    self._welcomed = True
                    return []
                case "beat":
                    return []
                case "offer" if self._welcomed:
                    return self._offer(message, now_ms)
                case "part" if self._welcomed:
                    return self._part(message)
                case kind:
                    raise NonsenseError(f"{kind!r} may not come now")
        except NonsenseError as problem:
            return [Hang(str(problem))]

    def _offer(self, message: Message, now_ms: float) -> list[Step]:
        number, whole = _number(message), _text(message, "whole")
        if self.awaited is not None and self.awaited.number == number and self.awaited.digest == whole:
            return []  # offered again while the host looks at it
        verdict = self.ledger.judge(number, whole, self.service)
        if verdict.have:
            return [Say(self._ack(number, whole, ()))]
        if not verdict.fetch:
            return self._refuse(number, whole, verdict.code, "", verdict.text, remember=False)
        signature = Signature(
            _text(message, "key", ""), float(_count(message, "expires")), _text(message, "signature", "")
        )
        if self.ring is not None:
            code, text = self.ring.fault(number, whole, signature, now_ms)
            if code:  # not remembered: the same text may come again with another signature
                return self._refuse(number, whole, code, "", text, remember=False)
        form, length = _text(message, "form"), _count(message, "length", 1)
        if length > doc.MOST_BYTES:
            return self._refuse(number, whole, "too-long", "", f"{length} bytes, at most {doc.MOST_BYTES}")
        fetch = Fetch(number, form, length, _text(message, "digest"), whole, _count(message, "parts", 1))
        if fetch.parts != math.ceil(length / PART_BYTES) or form not in ("whole", "delta"):
            raise NonsenseError(f"offer: {fetch.parts} parts of form {form!r} for {length} bytes")
        if form == "delta" and (
            self.base is None or _text(message, "base", "") != self.ledger.digest or whole in self._whole_only
        ):
            self._whole_only.add(whole)
            return [Say(self._want(number, 0, whole=True))]
        kept = self.fetch
        if kept is not None and (kept.number, kept.digest, kept.whole) == (number, fetch.digest, whole):
            kept.asked = len(kept.data)
            fetch = kept  # the rest of what a break has left
        self.fetch, self.awaited = fetch, None  # only the newest matters
        return self._ask(fetch) or self._assemble(fetch)

    def _ask(self, fetch: Fetch) -> list[Step]:
        """Ask for more once half of the window has come."""
        have = len(fetch.data)
        if have >= fetch.parts or fetch.asked - have > WINDOW // 2 or fetch.asked >= fetch.parts:
            return []
        begin, fetch.asked = fetch.asked, min(fetch.parts, have + WINDOW)
        return [Say(self._want(fetch.number, begin, fetch.asked - begin))]

    @staticmethod
    def _want(number: Number, begin: int, most: int = WINDOW, whole: bool = False) -> Message:
        return {
            "type": "want",
            "epoch": number.epoch,
            "version": number.version,
            "from": begin,
            "most": most,
            "whole": whole,
        }

    def _part(self, message: Message) -> list[Step]:
        fetch, place = self.fetch, _count(message, "number")
        if fetch is None or _number(message) != fetch.number or place < len(fetch.data):
            return []  # of a version that was overtaken, or told twice
        have = len(fetch.data)
        try:
            data = base64.b64decode(str(message.get("data")), validate=True)
        except (binascii.Error, ValueError):
            data = b""
        last = have == fetch.parts - 1
        wanted = fetch.length - PART_BYTES * (fetch.parts - 1) if last else PART_BYTES
        if place != have or len(data) != wanted:
            fetch.faults += 1
            if fetch.faults >= MOST_FAULTS:
                self.fetch = None
                text = f"part {have} did not come whole in {MOST_FAULTS} tries"
                return self._refuse(fetch.number, fetch.whole, "parts", "", text, remember=False)
            fetch.asked = min(fetch.parts, have + WINDOW)
            return [Say(self._want(fetch.number, have, fetch.asked - have))]
        fetch.data.append(data)
        return self._ask(fetch) if len(fetch.data) < fetch.parts else self._assemble(fetch)

    def _assemble(self, fetch: Fetch) -> list[Step]:
        """All parts are here: prove them, and make the document."""
        self.fetch = None
        data = b"".join(fetch.data)
        if doc.digest(data) != fetch.digest:
            text = "the parts are not what was offered"
            return self._refuse(fetch.number, fetch.whole, "digest", "", text, remember=False)
        try:
            found = doc.read(data)
            if fetch.form == "delta":
                found = doc.apply(self.base or {}, found)
            proved = doc.digest(doc.canonical(found)) == fetch.whole
        except ValueError as problem:
            return self._refuse(fetch.number, fetch.whole, "unreadable", "", str(problem))
        if not proved:
            if fetch.form == "delta":
                self._whole_only.add(fetch.whole)
                return [Say(self._want(fetch.number, 0, whole=True))]
            text = "the document is not what was offered"
            return self._refuse(fetch.number, fetch.whole, "digest", "", text)
        self.awaited = Arrived(fetch.number, fetch.whole, found)
        return [self.awaited]

    # -- the host's answers ---------------------------------------------------------------------------
    def taken(self, arrived: Arrived, notes: tuple[str, ...]) -> list[Step]:
        """It is in force in every planner."""
        self.ledger.taken(arrived.number, arrived.digest)
        self.base = arrived.document
        return self._answer(arrived, [Say(self._ack(arrived.number, arrived.digest, notes))])

    def refuse(self, arrived: Arrived, code: str, path: str, text: str) -> list[Step]:
        """It breaks a rule; the last good version stays."""
        return self._answer(arrived, self._refuse(arrived.number, arrived.digest, code, path, text))

    def put_back(
        self, bad: Number, before: Number | None, base: dict[str, Any] | None, digest: str, text: str
    ) -> list[Step]:
        """The version in force did harm; the one before is in force again."""
        self.ledger.put_back(bad, self.ledger.digest, before, digest, text)
        self.base = base
        return [Say({"type": "back", "epoch": bad.epoch, "version": bad.version, "text": text[:500]})]

    def _answer(self, arrived: Arrived, steps: list[Step]) -> list[Step]:
        """Nothing is said on a connection that has not brought it."""
        if self.awaited is not arrived:
            return []
        self.awaited = None
        return steps

    def _ack(self, number: Number, digest: str, notes: tuple[str, ...]) -> Message:
        return {
            "type": "ack",
            "epoch": number.epoch,
            "version": number.version,
            "digest": digest,
            "notes": list(notes)[:64],
        }

    def _refuse(
        self, number: Number, digest: str, code: str, path: str, text: str, remember: bool = True
    ) -> list[Step]:
        if remember:
            self.ledger.refused(number, digest, code, text)
        return [
            Refusing(number, code, f"{path}: {text}" if path else text),
            Say(
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
    """A version as a service has it."""

    number: Number
    document: dict[str, Any]
    data: bytes
    digest: str
    signature: Signature = UNSIGNED

    @classmethod
    def of(cls, number: Number, found: dict[str, Any], signature: Signature = UNSIGNED) -> Published:
        data = doc.canonical(found)
        return cls(number, found, data, doc.digest(data), signature)


class Shelf:
    """The newest versions of a service, for deltas between them; shared by all of its connections."""

    def __init__(self) -> None:
        self._by_digest: dict[str, Published] = {}
        self._deltas: dict[tuple[str, str], bytes] = {}

    def add(self, published: Published) -> None:
        self._by_digest[published.digest] = published
        while len(self._by_digest) > BASES:
            gone = next(iter(self._by_digest))
            del self._by_digest[gone]
            self._deltas = {pair: data for pair, data in self._deltas.items() if gone not in pair}

    def delta(self, base: str, target: Published) -> bytes | None:
        """The bytes that make the target of the base, where that is shorter; each is worked out once."""
        known = self._by_digest.get(base)
        if known is None or target.digest not in self._by_digest:
            return None
        pair = (base, target.digest)
        if pair not in self._deltas:
            patch = doc.delta(known.document, target.document)
            made = doc.canonical(patch)
            fits = doc.apply(known.document, patch) == target.document  # a null can't be sent so
            self._deltas[pair] = made if fits else target.data
        made = self._deltas[pair]
        return made if len(made) < len(target.data) else None


class ServiceEnd:
    """A service's side of one proxy's connection."""

    def __init__(self, shelf: Shelf) -> None:
        self.proxy = ""
        self.digest = ""  # of the version that the proxy has
        self.good: Number | None = None
        self._shelf = shelf
        self._deltas = False
        self._offered: Published | None = None
        self._data = b""

    def receive(self, message: Message) -> list[Step]:
        try:
            kind = message["type"]
            if kind == "beat":
                return []
            if kind == "hello" and not self.proxy:
                return self._hello(message)
            if not self.proxy:
                raise NonsenseError(f"{kind!r} before hello")
            match kind:
                case "want":
                    return self._parts(message)
                case "ack":
                    self.good, self.digest = _number(message), _text(message, "digest")
                    notes = tuple(str(note) for note in message.get("notes") or ())
                    return [Told("ack", self.proxy, self.good, notes=notes)]
                case "refuse" | "back":
                    return [
                        Told(
                            kind,
                            self.proxy,
                            _number(message),
                            _text(message, "code", ""),
                            _text(message, "path", ""),
                            _text(message, "text", ""),
                        )
                    ]
            raise NonsenseError(f"{kind!r} is not known")
        except NonsenseError as problem:
            return [Hang(str(problem))]

    def _hello(self, message: Message) -> list[Step]:
        speaks = message.get("speaks")
        if not isinstance(speaks, list) or SPEAKS not in speaks:
            return [Hang("the proxy speaks no version of this protocol that is spoken here")]
        proxy = _text(message, "proxy")
        if not proxy:
            raise NonsenseError("hello: a proxy needs a name")
        can = message.get("can")
        self._deltas = isinstance(can, list) and "delta" in can
        if "version" in message:
            self.good, self.digest = _number(message), _text(message, "digest")
        self.proxy = proxy
        return [Say({"type": "welcome", "speaks": SPEAKS}), Told("hello", proxy, self.good)]

    def offer(self, published: Published, whole: bool = False) -> list[Step]:
        """Tell of a version; as a delta where the proxy can take one."""
        data = self._shelf.delta(self.digest, published) if self._deltas and not whole else None
        form = "whole" if data is None else "delta"
        self._offered, self._data = published, published.data if data is None else data
        number, signature = published.number, published.signature
        return [
            Say(
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

    def _parts(self, message: Message) -> list[Step]:
        number, begin = _number(message), _count(message, "from")
        most = min(WINDOW, _count(message, "most"))
        if self._offered is None or number != self._offered.number:
            return []  # overtaken by a newer offer
        if message.get("whole") is True and self._data is not self._offered.data:
            return self.offer(self._offered, whole=True)
        return [
            Say(
                {
                    "type": "part",
                    "epoch": number.epoch,
                    "version": number.version,
                    "number": place,
                    "data": base64.b64encode(
                        self._data[place * PART_BYTES : (place + 1) * PART_BYTES]
                    ).decode(),
                }
            )
            for place in range(begin, begin + most)
            if place * PART_BYTES < len(self._data)
        ]
