"""Both ends of the stream against each other: cut, doubled, out of order, lying.  No I/O."""

from __future__ import annotations

import json
import random
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from capershelf.stream import document as doc
from capershelf.stream import protocol as p
from capershelf.stream.ledger import VersionHistory, VersionNumber

NOW_MS = 1e12


def version(number: int, size: int = 0, epoch: int = 1) -> p.Published:
    pad = random.Random(number).randbytes(size).hex()
    return p.Published.of(VersionNumber(epoch, number), {"n": number, "pad": pad})


def proxy(ledger: VersionHistory | None = None) -> p.ProxySession:
    return p.ProxySession("p1", "0.2.0", ledger or VersionHistory(), None)


def says(steps: list[p.Step]) -> list[p.Message]:
    return [json.loads(p.encode(step.message)) for step in steps if isinstance(step, p.Send)]


class Wire:
    """A connection between the two ends; what each says waits until it is delivered."""

    def __init__(self, mine: p.ProxySession, shelf: p.VersionCache) -> None:
        self.mine, self.theirs = mine, p.ServiceSession(shelf)
        self.to_proxy: list[p.Message] = []
        self.news: list[p.Step] = []
        self.hung = False
        self.to_service: list[p.Message] = []
        for hello in says(mine.connected("s")):
            self.put(self.theirs.receive(hello), True)
        for welcome in self.to_proxy:
            self.put(mine.receive(welcome, NOW_MS), False)
        self.to_proxy.clear()

    def put(self, steps: list[p.Step], to_proxy: bool) -> None:
        (self.to_proxy if to_proxy else self.to_service).extend(says(steps))
        self.news += [step for step in steps if not isinstance(step, p.Send)]
        self.hung |= any(isinstance(step, p.Disconnect) for step in steps)

    def offer(self, published: p.Published) -> None:
        self.put(self.theirs.offer(published), True)

    def deliver(self, most: int = 10_000) -> None:
        """Let messages pass until nobody has more to say, taking what arrives."""
        while most > 0 and (self.to_proxy or self.to_service):
            most -= 1
            if self.to_service:
                self.put(self.theirs.receive(self.to_service.pop(0)), True)
            else:
                self.put(self.mine.receive(self.to_proxy.pop(0), NOW_MS), False)
            for step in [one for one in self.news if isinstance(one, p.VersionReceived)]:
                self.news.remove(step)
                self.put(self.mine.accept(step, ()), False)


def shelf_of(*versions: p.Published) -> p.VersionCache:
    shelf = p.VersionCache()
    for one in versions:
        shelf.add(one)
    return shelf


def test_a_version_in_many_parts_is_taken_and_the_next_comes_as_a_delta() -> None:
    big = version(1, 150_000)
    small = p.Published.of(VersionNumber(1, 2), big.document | {"n": 2})
    mine = proxy()
    wire = Wire(mine, shelf_of(big, small))
    wire.offer(big)
    wire.deliver()
    assert (mine.history.good, mine.base) == (VersionNumber(1, 1), big.document)
    wire.offer(small)
    assert wire.to_proxy[-1]["form"] == "delta"
    assert wire.to_proxy[-1]["length"] < 100
    wire.deliver()
    assert (mine.history.good, mine.base) == (VersionNumber(1, 2), small.document)
    assert [step.kind for step in wire.news if isinstance(step, p.ProxyReport)] == ["hello", "ack", "ack"]


def test_after_a_break_only_the_rest_is_asked_for() -> None:
    big, mine = version(1, 200_000), proxy()
    wire = Wire(mine, shelf_of(big))
    wire.offer(big)
    wire.deliver(40)
    have = len(mine.fetch.data) if mine.fetch is not None else 0
    assert have > 16
    again = Wire(mine, shelf_of(big))
    again.offer(big)
    again.deliver(1)
    assert again.to_service[-1]["from"] == have
    again.deliver()
    assert mine.base == big.document


def test_a_delta_against_a_base_that_is_not_there_is_asked_for_whole() -> None:
    one, two = version(1, 3000), version(2, 3000)
    two = p.Published.of(VersionNumber(1, 2), one.document | {"n": 2})
    mine = proxy()
    wire = Wire(mine, shelf_of(one, two))
    wire.offer(one)
    wire.deliver()
    mine.base = {"something": "else"}  # a delta then gives another text than was signed
    wire.offer(two)
    wire.deliver()
    assert mine.base == two.document
    liar = p.ServiceSession(shelf_of(one, two))
    liar.receive(
        {
            "type": "hello",
            "proxy": "x",
            "speaks": [1],
            "can": ["delta"],
            "epoch": 1,
            "version": 1,
            "digest": one.digest,
        }
    )
    [offer] = says(liar.offer(two))
    fresh = proxy()
    fresh.connected("s")
    fresh.receive({"type": "welcome", "speaks": 1}, NOW_MS)
    [want] = says(fresh.receive(offer, NOW_MS))
    assert want["whole"] is True


def ready(ledger: VersionHistory | None = None) -> p.ProxySession:
    mine = proxy(ledger)
    mine.connected("s")
    mine.receive({"type": "welcome", "speaks": 1}, NOW_MS)
    return mine


def offer_of(published: p.Published, **changes: Any) -> p.Message:
    theirs = p.ServiceSession(shelf_of(published))
    return says(theirs.offer(published))[0] | changes


def part(published: p.Published, number: int, data: bytes | None = None) -> p.Message:
    import base64

    piece = published.data[number * p.PART_BYTES : (number + 1) * p.PART_BYTES] if data is None else data
    return {
        "type": "part",
        "epoch": published.number.epoch,
        "version": published.number.version,
        "number": number,
        "data": base64.b64encode(piece).decode(),
    }


def test_parts_doubled_out_of_order_or_of_another_length_are_asked_for_again_then_refused() -> None:
    one = version(1, 20_000)
    mine = ready()
    mine.receive(offer_of(one), NOW_MS)
    mine.receive(part(one, 0), NOW_MS)
    assert mine.receive(part(one, 0), NOW_MS) == []
    for wrong in (part(one, 3), part(one, 1, b"short")):
        [want] = says(mine.receive(wrong, NOW_MS))
        assert (want["type"], want["from"]) == ("want", 1)
    refused = says(mine.receive(part(one, 1, b"x" * (p.PART_BYTES + 1)), NOW_MS))[-1]
    assert (refused["type"], refused["code"]) == ("refuse", "parts")
    mine.receive(offer_of(one), NOW_MS)  # and it may come again, sound
    found: list[p.Step] = []
    for number in range(10):
        found += mine.receive(part(one, number), NOW_MS)
    assert any(isinstance(step, p.VersionReceived) for step in found)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"digest": "0" * 64}, "digest"),
        ({"whole": "0" * 64}, "digest"),
        ({"length": 3 * 2**30, "parts": 393_216}, "too-long"),
    ],
)
def test_what_is_not_as_offered_is_refused(changes: p.Message, code: str) -> None:
    one, mine = version(1), ready()
    steps = mine.receive(offer_of(one, **changes), NOW_MS) + mine.receive(part(one, 0), NOW_MS)
    assert [message["code"] for message in says(steps) if message["type"] == "refuse"] == [code]
    assert mine.history.good is None


@pytest.mark.parametrize(
    "changes",
    [
        {"parts": 9},
        {"length": 0},
        {"length": "5"},
        {"epoch": -1},
        {"version": 0},
        {"version": True},
        {"form": "other"},
        {"digest": 5},
        {"whole": "x" * 600},
        {"type": "hello"},
        {"epoch": 2**60},
    ],
)
def test_nonsense_ends_the_connection(changes: p.Message) -> None:
    steps = ready().receive(offer_of(version(1), **changes), NOW_MS)
    assert [type(step) for step in steps] == [p.Disconnect]


def test_only_the_newest_of_thousands_matters_and_memory_stays_bounded() -> None:
    mine, shelf = ready(), p.VersionCache()
    for number in range(1, 3000):
        one = version(number, 20)
        shelf.add(one)
        mine.receive(offer_of(one), NOW_MS)
        assert mine.fetch is not None
        assert mine.fetch.number == one.number
    assert len(mine.history._seen) <= 64
    assert len(shelf._by_digest) <= p.MAX_CACHED_VERSIONS
    found = mine.receive(part(version(2999, 20), 0), NOW_MS)
    assert isinstance(found[0], p.VersionReceived)


# Written out: hypothesis derives the seed from the test's source text otherwise, so a rename changes it.
@seed(0xE761FD4EC6708988F442CB577E5B492DBAE8E71106E1E67F8F5FFF9EE9FFB9B51EF09E51F2BBED69E100906B7E4F19B3)
@hypothesis_settings(derandomize=True, deadline=None, max_examples=300, database=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.from_regex(rb'\{"type":"(offer|part|welcome|want|ack)".{0,80}\}', fullmatch=True),
            st.dictionaries(
                st.sampled_from(
                    [
                        "type",
                        "epoch",
                        "version",
                        "number",
                        "data",
                        "length",
                        "parts",
                        "form",
                        "digest",
                        "whole",
                        "from",
                        "most",
                        "proxy",
                        "speaks",
                        "can",
                    ]
                ),
                st.one_of(
                    st.integers(-2, 10),
                    st.sampled_from(["offer", "part", "hello", "want", "ack", "whole", "delta", "p"]),
                    st.none(),
                    st.lists(st.integers(0, 2), max_size=2),
                ),
            ).map(lambda found: json.dumps(found).encode()),
        ),
        max_size=12,
    )
)
def test_nothing_that_comes_makes_either_end_raise_or_take_anything(lines: list[bytes]) -> None:
    mine, theirs = ready(VersionHistory(VersionNumber(1, 3), "three")), p.ServiceSession(shelf_of(version(1)))
    theirs.offer(version(1))
    for line in lines:
        try:
            message = p.decode(line)
        except p.ProtocolError:
            continue
        steps = mine.receive(message, NOW_MS)
        assert not any(isinstance(step, p.VersionReceived) for step in steps)
        theirs.receive(message)
    assert mine.history.good == VersionNumber(1, 3)


@seed(0x62403CA0E1150C22FF8118BA5F9E1580D97CCE1BA368326BC622B3E0F7F8A0A567B4ABE761EDFFF3EF5010016ABCFE15)
class Streaming(RuleBasedStateMachine):
    """Both ends over connections that break anywhere, against a reference of the last good version."""

    @initialize()
    def begin(self) -> None:
        self.shelf = p.VersionCache()
        self.mine = proxy()
        self.published: list[p.Published] = []
        self.good: p.Published | None = None
        self.bad: set[str] = set()
        self.wire: Wire | None = None
        self.connect()

    @rule()
    def connect(self) -> None:
        self.wire = Wire(self.mine, self.shelf)

    @rule(size=st.sampled_from([0, 10, 5000, 40_000]), bad=st.booleans(), near=st.booleans())
    def publish(self, size: int, bad: bool, near: bool) -> None:
        number = len(self.published) + 1
        one = version(number, size)
        if near and self.good is not None:
            one = p.Published.of(VersionNumber(1, number), self.good.document | {"n": number})
        if bad:
            self.bad.add(one.digest)
        self.published.append(one)
        self.shelf.add(one)

    @rule(back=st.integers(0, 3))
    def offer(self, back: int) -> None:
        if self.wire is not None and len(self.published) > back:
            self.wire.offer(self.published[-1 - back])

    @rule(most=st.integers(1, 30))
    def deliver(self, most: int) -> None:
        wire = self.wire
        if wire is None:
            return
        for _ in range(most):
            if wire.to_service:
                wire.put(wire.theirs.receive(wire.to_service.pop(0)), True)
            elif wire.to_proxy:
                self.take(wire, self.mine.receive(wire.to_proxy.pop(0), NOW_MS))
        assert not wire.hung

    def take(self, wire: Wire, steps: list[p.Step]) -> None:
        for step in steps:
            if isinstance(step, p.VersionReceived):
                source = next(one for one in self.published if one.number == step.number)
                assert step.document == source.document
                assert self.good is None or step.number > self.good.number
                if step.digest in self.bad:
                    wire.put(self.mine.refuse(step, "rule", "a.b", "no"), False)
                else:
                    self.good = source
                    wire.put(self.mine.accept(step, ()), False)
            else:
                wire.put([step], False)

    @rule(place=st.integers(0, 5), double=st.booleans())
    def lose_or_double(self, place: int, double: bool) -> None:
        """A part that never comes, or comes twice: the fetch goes on with the next offer."""
        wire = self.wire
        assert wire is not None
        parts = [n for n, one in enumerate(wire.to_proxy) if one["type"] == "part"]
        if place < len(parts):
            if double:
                wire.to_proxy.insert(parts[place], wire.to_proxy[parts[place]])
            else:
                del wire.to_proxy[parts[place]]

    @invariant()
    def the_last_good_version_holds(self) -> None:
        if not hasattr(self, "mine"):
            return
        wanted = None if self.good is None else self.good.number
        assert self.mine.history.good == wanted
        if self.good is not None:
            assert self.mine.base == self.good.document
            assert self.mine.history.digest == doc.digest(doc.canonical(self.mine.base))

    def teardown(self) -> None:
        """Whatever went before, a good version comes through on a sound connection."""
        if not hasattr(self, "shelf"):
            return
        self.publish(9000, False, False)
        self.connect()
        self.offer(0)
        for _ in range(60):
            self.deliver(30)
        assert self.good is self.published[-1]


TestStreaming = Streaming.TestCase
TestStreaming.settings = hypothesis_settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=30, database=None
)
