"""A longer fuzz of the stream's decoder and both ends, by hand; the tests hold a short one.

Sound conversations are taken and their lines broken: bits flipped, pieces cut, doubled, swapped, numbers
made huge. Nothing may raise, and nothing may arrive that was not published.
"""

from __future__ import annotations

import numpy as np

from capershelf.stream import protocol as p
from capershelf.stream.ledger import VersionHistory, VersionNumber

NUMBERS = (b"0", b"-1", b"1e999", b"9007199254740993", b"null", b"[]", b'"x"', b"true", b"9" * 20)


def broken(line: bytes, rng: np.random.Generator) -> bytes:
    """The line with one thing wrong."""
    data = bytearray(line)
    kind, place = int(rng.integers(6)), int(rng.integers(len(data)))
    if kind == 0:
        data[place] ^= 1 << int(rng.integers(8))
    elif kind == 1:
        del data[place : place + int(rng.integers(1, 40))]
    elif kind == 2:
        data[place:place] = data[place : place + int(rng.integers(1, 40))]
    elif kind == 3:
        data[place:place] = rng.bytes(int(rng.integers(1, 8)))
    elif kind == 4:
        digits = [n for n, byte in enumerate(data) if 48 <= byte <= 57] or [0]
        at = digits[int(rng.integers(len(digits)))]
        data[at : at + 1] = NUMBERS[int(rng.integers(len(NUMBERS)))]
    else:
        data = data[:place]
    return bytes(data)


def talk(rng: np.random.Generator, breaks: float) -> int:
    """One conversation; how many messages passed.  AssertionError for what must not be."""
    shelf, published = p.VersionCache(), []
    for number in range(1, 4):
        pad = rng.bytes(int(rng.integers(0, 12_000))).hex()
        published.append(p.Published.of(VersionNumber(1, number), {"n": number, "pad": pad}))
        shelf.add(published[-1])
    mine, theirs = p.ProxySession("p", "lab", VersionHistory(), None), p.ServiceSession(shelf)
    to_service = [p.encode(s.message) for s in mine.connected("s") if isinstance(s, p.Send)]
    to_proxy: list[bytes] = []
    passed, offered = 0, 0
    while passed < 200 and (to_service or to_proxy or offered < len(published)):
        if not to_service and not to_proxy:
            steps, out = theirs.offer(published[offered]), to_proxy
            offered += 1
        else:
            back = bool(to_service)
            line = (to_service if back else to_proxy).pop(0)
            if rng.random() < breaks:
                line = broken(line, rng)
            passed += 1
            try:
                message = p.decode(line)
            except p.ProtocolError:
                continue
            steps = theirs.receive(message) if back else mine.receive(message, 0.0)
            out = to_proxy if back else to_service
        for step in steps:
            if isinstance(step, p.VersionReceived):
                assert step.document in [one.document for one in published], "a version nobody published"
                steps = [*steps, *mine.accept(step, ())]
        out += [p.encode(step.message) for step in steps if isinstance(step, p.Send)]
    return passed


def experiment(conversations: int, seed: int) -> dict[str, int]:
    rng = np.random.Generator(np.random.PCG64(seed))
    messages = sum(talk(rng, 0.05) for _ in range(conversations))
    return {"conversations": conversations, "seed": seed, "messages": messages}
