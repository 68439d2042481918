"""Both ends of the stream's protocol: lost connections, duplicates, reordering and false offers.  No I/O."""

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
from capershelf.stream import protocol
from capershelf.stream.ledger import VersionHistory, VersionNumber

NOW_MS = 1e12


def version(number: int, size: int = 0, epoch: int = 1) -> protocol.Published:
    pad = random.Random(number).randbytes(size).hex()
    return protocol.Published.of(VersionNumber(epoch, number), {"n": number, "pad": pad})


def proxy(history: VersionHistory | None = None) -> protocol.ProxySession:
    return protocol.ProxySession("p1", "0.2.0", history or VersionHistory(), None)


def sent(steps: list[protocol.Step]) -> list[protocol.Message]:
    return [json.loads(protocol.encode(step.message)) for step in steps if isinstance(step, protocol.Send)]


class Wire:
    """A connection between the two ends; messages are queued until they are delivered."""

    def __init__(self, proxy_end: protocol.ProxySession, cache: protocol.VersionCache) -> None:
        self.proxy_end, self.service_end = proxy_end, protocol.ServiceSession(cache)
        self.to_proxy: list[protocol.Message] = []
        self.events: list[protocol.Step] = []
        self.disconnected = False
        self.to_service: list[protocol.Message] = []
        for hello in sent(proxy_end.connected("s")):
            self.put(self.service_end.receive(hello), True)
        for welcome in self.to_proxy:
            self.put(proxy_end.receive(welcome, NOW_MS), False)
        self.to_proxy.clear()

    def put(self, steps: list[protocol.Step], to_proxy: bool) -> None:
        (self.to_proxy if to_proxy else self.to_service).extend(sent(steps))
        self.events += [step for step in steps if not isinstance(step, protocol.Send)]
        self.disconnected |= any(isinstance(step, protocol.Disconnect) for step in steps)

    def offer(self, published: protocol.Published) -> None:
        self.put(self.service_end.offer(published), True)

    def deliver(self, most: int = 10_000) -> None:
        """Deliver messages until both queues are empty, accepting each version received."""
        while most > 0 and (self.to_proxy or self.to_service):
            most -= 1
            if self.to_service:
                self.put(self.service_end.receive(self.to_service.pop(0)), True)
            else:
                self.put(self.proxy_end.receive(self.to_proxy.pop(0), NOW_MS), False)
            for step in [one for one in self.events if isinstance(one, protocol.VersionReceived)]:
                self.events.remove(step)
                self.put(self.proxy_end.accept(step, ()), False)


def cache_of(*versions: protocol.Published) -> protocol.VersionCache:
    cache = protocol.VersionCache()
    for one in versions:
        cache.add(one)
    return cache


def test_a_version_in_many_parts_is_taken_and_the_next_comes_as_a_delta() -> None:
    big = version(1, 150_000)
    small = protocol.Published.of(VersionNumber(1, 2), big.document | {"n": 2})
    proxy_end = proxy()
    wire = Wire(proxy_end, cache_of(big, small))
    wire.offer(big)
    wire.deliver()
    assert (proxy_end.history.good, proxy_end.base) == (VersionNumber(1, 1), big.document)
    wire.offer(small)
    assert wire.to_proxy[-1]["form"] == "delta"
    assert wire.to_proxy[-1]["length"] < 100
    wire.deliver()
    assert (proxy_end.history.good, proxy_end.base) == (VersionNumber(1, 2), small.document)
    assert [step.kind for step in wire.events if isinstance(step, protocol.ProxyReport)] == [
        "hello",
        "ack",
        "ack",
    ]


def test_after_a_reconnect_only_the_missing_parts_are_requested() -> None:
    big, proxy_end = version(1, 200_000), proxy()
    wire = Wire(proxy_end, cache_of(big))
    wire.offer(big)
    wire.deliver(40)
    have = len(proxy_end.fetch.data) if proxy_end.fetch is not None else 0
    assert have > 16
    again = Wire(proxy_end, cache_of(big))
    again.offer(big)
    again.deliver(1)
    assert again.to_service[-1]["from"] == have
    again.deliver()
    assert proxy_end.base == big.document


def test_a_delta_against_a_base_that_is_not_there_is_asked_for_whole() -> None:
    one, two = version(1, 3000), version(2, 3000)
    two = protocol.Published.of(VersionNumber(1, 2), one.document | {"n": 2})
    proxy_end = proxy()
    wire = Wire(proxy_end, cache_of(one, two))
    wire.offer(one)
    wire.deliver()
    proxy_end.base = {"something": "else"}  # the delta then yields another document than the signed one
    wire.offer(two)
    wire.deliver()
    assert proxy_end.base == two.document
    false_service = protocol.ServiceSession(cache_of(one, two))
    false_service.receive(
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
    [offer] = sent(false_service.offer(two))
    fresh = proxy()
    fresh.connected("s")
    fresh.receive({"type": "welcome", "speaks": 1}, NOW_MS)
    [want] = sent(fresh.receive(offer, NOW_MS))
    assert want["whole"] is True


def ready(history: VersionHistory | None = None) -> protocol.ProxySession:
    proxy_end = proxy(history)
    proxy_end.connected("s")
    proxy_end.receive({"type": "welcome", "speaks": 1}, NOW_MS)
    return proxy_end


def offer_of(published: protocol.Published, **changes: Any) -> protocol.Message:
    service_end = protocol.ServiceSession(cache_of(published))
    return sent(service_end.offer(published))[0] | changes


def part(published: protocol.Published, number: int, data: bytes | None = None) -> protocol.Message:
    import base64

    piece = (
        published.data[number * protocol.PART_BYTES : (number + 1) * protocol.PART_BYTES]
        if data is None
        else data
    )
    return {
        "type": "part",
        "epoch": published.number.epoch,
        "version": published.number.version,
        "number": number,
        "data": base64.b64encode(piece).decode(),
    }


def test_parts_doubled_out_of_order_or_of_another_length_are_asked_for_again_then_refused() -> None:
    one = version(1, 20_000)
    proxy_end = ready()
    proxy_end.receive(offer_of(one), NOW_MS)
    proxy_end.receive(part(one, 0), NOW_MS)
    assert proxy_end.receive(part(one, 0), NOW_MS) == []
    for wrong in (part(one, 3), part(one, 1, b"short")):
        [want] = sent(proxy_end.receive(wrong, NOW_MS))
        assert (want["type"], want["from"]) == ("want", 1)
    refused = sent(proxy_end.receive(part(one, 1, b"x" * (protocol.PART_BYTES + 1)), NOW_MS))[-1]
    assert (refused["type"], refused["code"]) == ("refuse", "parts")
    proxy_end.receive(offer_of(one), NOW_MS)  # it may be offered again
    found: list[protocol.Step] = []
    for number in range(10):
        found += proxy_end.receive(part(one, number), NOW_MS)
    assert any(isinstance(step, protocol.VersionReceived) for step in found)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"digest": "0" * 64}, "digest"),
        ({"whole": "0" * 64}, "digest"),
        ({"length": 3 * 2**30, "parts": 393_216}, "too-long"),
    ],
)
def test_content_that_differs_from_the_offer_is_refused(changes: protocol.Message, code: str) -> None:
    one, proxy_end = version(1), ready()
    steps = proxy_end.receive(offer_of(one, **changes), NOW_MS) + proxy_end.receive(part(one, 0), NOW_MS)
    assert [message["code"] for message in sent(steps) if message["type"] == "refuse"] == [code]
    assert proxy_end.history.good is None


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
def test_an_invalid_offer_closes_the_connection(changes: protocol.Message) -> None:
    steps = ready().receive(offer_of(version(1), **changes), NOW_MS)
    assert [type(step) for step in steps] == [protocol.Disconnect]


def test_only_the_newest_of_thousands_matters_and_memory_stays_bounded() -> None:
    proxy_end, cache = ready(), protocol.VersionCache()
    for number in range(1, 3000):
        one = version(number, 20)
        cache.add(one)
        proxy_end.receive(offer_of(one), NOW_MS)
        assert proxy_end.fetch is not None
        assert proxy_end.fetch.number == one.number
    assert len(proxy_end.history._seen) <= 64
    assert len(cache._by_digest) <= protocol.MAX_CACHED_VERSIONS
    found = proxy_end.receive(part(version(2999, 20), 0), NOW_MS)
    assert isinstance(found[0], protocol.VersionReceived)


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
def test_no_input_makes_either_end_raise_or_accept_a_version(lines: list[bytes]) -> None:
    proxy_end, service_end = (
        ready(VersionHistory(VersionNumber(1, 3), "three")),
        protocol.ServiceSession(cache_of(version(1))),
    )
    service_end.offer(version(1))
    for line in lines:
        try:
            message = protocol.decode(line)
        except protocol.ProtocolError:
            continue
        steps = proxy_end.receive(message, NOW_MS)
        assert not any(isinstance(step, protocol.VersionReceived) for step in steps)
        service_end.receive(message)
    assert proxy_end.history.good == VersionNumber(1, 3)


@seed(0x62403CA0E1150C22FF8118BA5F9E1580D97CCE1BA368326BC622B3E0F7F8A0A567B4ABE761EDFFF3EF5010016ABCFE15)
class Streaming(RuleBasedStateMachine):
    """Both ends over connections that break anywhere, compared with a model of the last good version."""

    @initialize()
    def begin(self) -> None:
        self.cache = protocol.VersionCache()
        self.proxy_end = proxy()
        self.published: list[protocol.Published] = []
        self.good: protocol.Published | None = None
        self.bad: set[str] = set()
        self.wire: Wire | None = None
        self.connect()

    @rule()
    def connect(self) -> None:
        self.wire = Wire(self.proxy_end, self.cache)

    @rule(size=st.sampled_from([0, 10, 5000, 40_000]), bad=st.booleans(), near=st.booleans())
    def publish(self, size: int, bad: bool, near: bool) -> None:
        number = len(self.published) + 1
        one = version(number, size)
        if near and self.good is not None:
            one = protocol.Published.of(VersionNumber(1, number), self.good.document | {"n": number})
        if bad:
            self.bad.add(one.digest)
        self.published.append(one)
        self.cache.add(one)

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
                wire.put(wire.service_end.receive(wire.to_service.pop(0)), True)
            elif wire.to_proxy:
                self.take(wire, self.proxy_end.receive(wire.to_proxy.pop(0), NOW_MS))
        assert not wire.disconnected

    def take(self, wire: Wire, steps: list[protocol.Step]) -> None:
        for step in steps:
            if isinstance(step, protocol.VersionReceived):
                source = next(one for one in self.published if one.number == step.number)
                assert step.document == source.document
                assert self.good is None or step.number > self.good.number
                if step.digest in self.bad:
                    wire.put(self.proxy_end.refuse(step, "rule", "a.b", "no"), False)
                else:
                    self.good = source
                    wire.put(self.proxy_end.accept(step, ()), False)
            else:
                wire.put([step], False)

    @rule(place=st.integers(0, 5), double=st.booleans())
    def lose_or_double(self, place: int, double: bool) -> None:
        """Drop or duplicate a part: the fetch continues with the next offer."""
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
        if not hasattr(self, "proxy_end"):
            return
        wanted = None if self.good is None else self.good.number
        assert self.proxy_end.history.good == wanted
        if self.good is not None:
            assert self.proxy_end.base == self.good.document
            assert self.proxy_end.history.digest == doc.digest(doc.canonical(self.proxy_end.base))

    def teardown(self) -> None:
        """Whatever happened before, a good version arrives over an intact connection."""
        if not hasattr(self, "cache"):
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
