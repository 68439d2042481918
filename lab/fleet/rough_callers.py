"""Callers that misbehave: broken messages, slow writers, early departures and crowds of short connections.

Each acts on a connection of its own.  Set-ups that are complete are recorded like any other caller's.
"""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Callable
from typing import Any

from lab.fleet.callers import CLASSES, CROSSED_CLOSE_MS, NEW_CONNECTION_MS, REFUSALS
from lab.fleet.network import PIECES, EventLoop, LineStream
from lab.fleet.records import CallerSetUp, DayRecord, Outcome, ProxyRun
from lab.fleet.servers import encode_message
from lab.fleet.websocket_stream import WebSocketStream

GARBAGE = (
    b"\xfe\xff\n",
    b"{}\n",
    b'{"type":"setup","id":"12"}\n',
    b'{"type":"setup","id":"00000000000000ff","fields":{"class":"none","left":"1"},"sdp":"v"}\n',
    b"[" * 400 + b"\n",
    b"y" * 20_000 + b"\n",
    b'{"type":"set',
)
CROWD_CONNECTIONS = 40  # at one proxy at a time
PIPELINED = 5  # set-ups written at once
UNREAD = 40  # set-ups that a caller writes at once before it leaves
FLOOD = 300  # small or unsound messages written at once
SHORT_FIELDS = 1200  # in one message
REPEAT_AFTER_MS = 30.0  # from a close until the set-up is sent once more
SHORT_REMAINING_MS = (50.0, 300.0)  # of callers with little time left
CROWD_PAUSE_MS = 5.0  # between two connections of a crowd


class RoughCallers:
    """The misbehaving callers of one proxy."""

    def __init__(
        self,
        loop: EventLoop,
        record: DayRecord,
        proxy: int,
        address: tuple[str, int],
        current_run: Callable[[], ProxyRun | None],
        deadline_ms: float,
        places: int,
        rng: random.Random,
        websocket_address: tuple[str, int] | None = None,
        newest_open: Callable[[], CallerSetUp | None] = lambda: None,
    ) -> None:
        self.loop, self.record, self.proxy, self.address = loop, record, proxy, address
        self._websocket_address, self._newest_open = websocket_address, newest_open
        self._current_run, self._deadline_ms, self._places, self._rng = current_run, deadline_ms, places, rng
        self._streams: list[LineStream] = []
        self._setups: dict[str, CallerSetUp] = {}
        self._streams_of: dict[str, LineStream] = {}  # by call id
        self._closed = False
        self.on_unknown: Callable[[dict[str, Any]], None] = lambda message: (
            None
        )  # of the proxy's other callers
        self._returning: set[str] = (
            set()
        )  # calls whose caller changes its connection once they are established
        self._acts = (
            self._garbage,
            self._half_message,
            self._slow_writer,
            self._pipeline,
            self._give_up,
            self._hang_up,
            self._come_again,
            self._misuse_id,
            self._cross_close,
            self._leave_unread,
            self._flood,
            self._short_fields,
        )

    @property
    def pending_count(self) -> int:
        """Set-ups without an outcome whose callers still wait."""
        return sum(s.outcome is Outcome.NONE and s.given_up_ms == float("inf") for s in self._setups.values())

    def start(self, per_s: float) -> None:
        """Misbehave at this mean rate until close() is called."""
        self._schedule_act(per_s)

    def _schedule_act(self, per_s: float) -> None:
        def act() -> None:
            if not self._closed:
                self._rng.choice(self._acts)()
                self._schedule_act(per_s)

        self.loop.after(1000.0 * self._rng.expovariate(per_s), act)

    def crowd(self, count: int) -> None:
        """Open connections one after another, each with one call, and close each after its outcome."""

        def connect_next(remaining: int) -> None:
            if remaining == 0 or self._closed:
                return
            if len(self._streams) < CROWD_CONNECTIONS and (stream := self._connect()) is not None:
                self._set_up(stream)
            self.loop.after(CROWD_PAUSE_MS, connect_next, remaining - 1)

        connect_next(count)

    def stop(self) -> None:
        """Begin nothing new."""
        self._closed = True

    def close(self) -> None:
        """Close all connections."""
        for stream in list(self._streams):
            stream.close()
        self._streams.clear()

    # -- kinds of misbehaviour ------------------------------------------------------------------------
    def _garbage(self) -> None:
        if (stream := self._connect()) is not None:
            stream.write(self._rng.choice(GARBAGE))
            self.loop.after(self._rng.uniform(0.0, 1500.0), self._close_stream, stream)

    def _half_message(self) -> None:
        """Write half of a set-up and close."""
        if (stream := self._connect()) is not None:
            data, _ = self._new_set_up()
            stream.write(data[: self._rng.randrange(1, len(data) - 1)])
            self.loop.after(self._rng.uniform(0.0, 300.0), self._close_stream, stream)

    def _slow_writer(self) -> None:
        """Write a valid set-up in pieces."""
        if (stream := self._connect()) is not None:
            self._set_up(stream, self._rng.uniform(5.0, 200.0))

    def _pipeline(self) -> None:
        """Write several set-ups at once, in pieces that are not whole messages."""
        if (stream := self._connect()) is None:
            return
        made = [self._new_set_up() for _ in range(PIPELINED)]
        delay_ms = self._rng.uniform(1.0, 40.0)
        for _, setup in made:
            self._setups[setup.call], self._streams_of[setup.call] = setup, stream
            setup.sent_ms = self.loop.now_ms + PIECES * delay_ms  # by then all are written
            self.record.setups.append(setup)
        stream.write_in_pieces(b"".join(data for data, _ in made), delay_ms)

    def _come_again(self) -> None:
        """Close the connection once the call is established, and open another one for its end."""
        if (stream := self._connect()) is not None:
            self._returning.add(self._set_up(stream).call)

    def _return(self, stream: LineStream) -> None:
        self._close_stream(stream)
        if (other := self._connect()) is not None and self._rng.random() < 0.5:
            other.write(encode_message("ping", "0" * 16, cause=0))

    def _give_up(self) -> None:
        """Release a set-up soon after sending it."""
        if (stream := self._connect()) is None:
            return
        setup = self._set_up(stream)

        def give_up() -> None:
            if setup.outcome is Outcome.NONE and stream.open:
                setup.given_up_ms = self.loop.now_ms
                stream.write(encode_message("release", setup.call, cause=16))
                self.loop.after(100.0, self._close_stream, stream)

        self.loop.after(self._rng.uniform(0.0, 120.0), give_up)

    def _hang_up(self) -> None:
        """Close the connection under a set-up."""
        if (stream := self._connect()) is None:
            return
        setup = self._set_up(stream)

        def hang_up() -> None:
            if setup.outcome is Outcome.NONE:
                setup.given_up_ms = self.loop.now_ms
                self._close_stream(stream)

        self.loop.after(self._rng.choice((0.0, 1.0, 30.0)), hang_up)

    def _misuse_id(self) -> None:
        """Use the id of another client's open set-up, with another description or class, and take it back."""
        victim = self._newest_open()
        if victim is None or (stream := self._connect(self._rng.random() < 0.5, hears=False)) is None:
            return
        kind = self._rng.choice((*CLASSES, "no class"))
        fields = {"class": kind, "left": "900", "key": "x", "extras": "dest:0;width:1;via:-1"}
        if self._rng.random() < 0.8:
            stream.write(encode_message("setup", victim.call, fields=fields, sdp="another description"))
        stream.write(encode_message("release", victim.call, cause=16))
        self.loop.after(100.0, self._close_stream, stream)

    def _cross_close(self) -> None:
        """Send a set-up that crosses the close of its connection, and once more on a new one."""
        websocket = self._websocket_address is not None and self._rng.random() < 0.7
        host = self._own_host()
        if (stream := self._connect(websocket, host)) is None:
            return

        def set_up() -> None:
            if stream.open:
                data, setup = self._new_set_up()
                self._setups[setup.call], self._streams_of[setup.call] = setup, stream
                stream.write(data)
                setup.sent_ms = self.loop.now_ms
                self.record.setups.append(setup)
                self.loop.after(self._rng.uniform(0.0, 25.0), close, setup)

        def close(setup: CallerSetUp) -> None:
            if stream.open and setup.outcome is Outcome.NONE:
                stream.close(reset=self._rng.random() < 0.3)
                self._streams.remove(stream)
                self.loop.after(REPEAT_AFTER_MS, self._repeat, setup, websocket, host)

        self.loop.after(self._rng.uniform(20.0, 400.0), set_up)

    def _repeat(self, setup: CallerSetUp, websocket: bool, host: str) -> None:
        remaining_ms = setup.deadline_ms - self.loop.now_ms
        stream = self._connect(websocket, host) if remaining_ms > 1.0 else None
        if stream is None:  # it does not wait any longer
            setup.given_up_ms = self.loop.now_ms
            return
        self._streams_of[setup.call] = stream
        stream.write(self._encode_set_up(setup, remaining_ms))

    def _leave_unread(self) -> None:
        """Write many set-ups at once, and close before they can be read."""
        if (stream := self._connect()) is None:
            return
        for _ in range(UNREAD):
            setup = self._set_up(stream)
            setup.given_up_ms = self.loop.now_ms
        self._close_stream(stream)

    def _flood(self) -> None:
        """Write small or unsound messages as fast as they can be written."""
        if (stream := self._connect(self._rng.random() < 0.5, hears=False)) is None:
            return
        kind, cause = self._rng.choice((("ping", 0), ("progress", 0), ("release", 16), ("none", 0)))
        for _ in range(FLOOD):
            stream.write(encode_message(kind, f"{self._rng.getrandbits(64):016x}", cause=cause))
        self.loop.after(self._rng.uniform(0.0, 500.0), self._close_stream, stream)

    def _short_fields(self) -> None:
        """Write a message of very many short fields."""
        if (stream := self._connect(self._rng.random() < 0.5, hears=False)) is None:
            return
        fields = {f"{n:x}": "" for n in range(SHORT_FIELDS)}
        stream.write(encode_message("ping", "0" * 16, cause=0, fields=fields))
        self.loop.after(self._rng.uniform(0.0, 500.0), self._close_stream, stream)

    # -- connections ----------------------------------------------------------------------------------
    def _own_host(self) -> str:
        """An address for one client, which no other one has."""
        return f"127.250.{self._rng.randrange(1, 255)}.{self._rng.randrange(1, 255)}"

    def _connect(self, websocket: bool = False, own_host: str = "", hears: bool = True) -> LineStream | None:
        """Connect to a front of the proxy.

        hears: messages on the connection are for these callers.  One that does not hear is another client, at
        an address of its own: ends may be told on any connection of a client's address.
        """
        if not hears:
            own_host = self._own_host()
        run = self._current_run()
        if run is None or not run.ready_ms <= self.loop.now_ms < run.term_ms + NEW_CONNECTION_MS:
            return None
        websocket = websocket and self._websocket_address is not None
        address = self._websocket_address if websocket and self._websocket_address else self.address
        sock = socket.socket()
        try:
            if own_host:
                sock.bind((own_host, 0))
            sock.connect(address)
        except OSError:
            sock.close()
            return None
        stream = (WebSocketStream if websocket else LineStream)(
            self.loop,
            sock,
            lambda data, first_byte_ms: self._on_message(stream, data) if hears else None,
            lambda: self._on_closed(stream),
        )
        self._streams.append(stream)
        return stream

    def _close_stream(self, stream: LineStream) -> None:
        stream.close()
        if stream in self._streams:
            self._streams.remove(stream)

    def _new_set_up(self) -> tuple[bytes, CallerSetUp]:
        run = self._current_run()
        assert run is not None
        call = f"{self._rng.getrandbits(64):016x}"
        kind = self._rng.choice(CLASSES)
        setup = CallerSetUp(call, self.proxy, run.number, kind, float("inf"), self._deadline_ms)
        remaining_ms = self._rng.choice((self._deadline_ms, self._deadline_ms, *SHORT_REMAINING_MS))
        setup.remaining_ms = remaining_ms
        return self._encode_set_up(setup, remaining_ms), setup

    def _encode_set_up(self, setup: CallerSetUp, remaining_ms: float) -> bytes:
        call = setup.call
        fields = {
            "class": setup.kind,
            "left": f"{remaining_ms:.0f}",
            "key": f"r{call[:6]}",
            "extras": f"dest:{self._rng.randrange(self._places)};width:1;via:-1",
        }
        return encode_message("setup", call, fields=fields, sdp=f"asked for {call}\r\n")

    def _set_up(self, stream: LineStream, piece_delay_ms: float | None = None) -> CallerSetUp:
        data, setup = self._new_set_up()
        self._setups[setup.call], self._streams_of[setup.call] = setup, stream

        def written() -> None:
            setup.sent_ms = self.loop.now_ms
            self.record.setups.append(setup)

        if piece_delay_ms is not None:
            stream.write_in_pieces(data, piece_delay_ms, written)
        elif stream.write(data):
            written()
        return setup

    def _on_message(self, stream: LineStream, data: bytes) -> None:
        self.take(json.loads(data), stream)

    def take(self, message: dict[str, Any], stream: LineStream | None = None) -> None:
        """Handle a message; without a stream it came on a connection of the proxy's other callers."""
        setup = self._setups.get(message.get("id", ""))
        if setup is None:
            if stream is not None:
                self.on_unknown(message)
            return
        if message["type"] == "answer":
            setup.outcome_count += 1
            setup.outcome_ms = min(setup.outcome_ms, self.loop.now_ms)
            setup.outcome, setup.description = Outcome.ESTABLISHED, message.get("sdp", "")
            if setup.call in self._returning and stream is not None:
                self._return(stream)
        elif message["type"] == "release":
            if setup.outcome is Outcome.ESTABLISHED:
                setup.end_notified_ms = min(setup.end_notified_ms, self.loop.now_ms)
                setup.interrupted = message.get("cause") != 16
            elif setup.given_up_ms == float("inf"):
                setup.outcome_count += 1
                setup.outcome_ms = min(setup.outcome_ms, self.loop.now_ms)
                refused = message.get("cause") in REFUSALS
                setup.outcome = Outcome.REFUSED if refused else Outcome.FAILED
            if stream is not None and not self._has_calls(stream):
                self._close_stream(stream)

    def _has_calls(self, stream: LineStream) -> bool:
        """Whether set-ups of this connection are unanswered or their calls have not ended."""
        return any(
            self._streams_of[setup.call] is stream
            and (
                setup.outcome is Outcome.NONE
                or setup.outcome is Outcome.ESTABLISHED
                and setup.end_notified_ms == float("inf")
            )
            for setup in self._setups.values()
        )

    def _on_closed(self, stream: LineStream) -> None:
        """The proxy closed the connection: what is unanswered is lost, unless it crossed the close."""
        self._streams.remove(stream)
        run = self._current_run()
        was_killed = run is not None and run.killed_ms <= self.loop.now_ms
        for setup in self._setups.values():
            if self._streams_of.get(setup.call) is not stream or setup.outcome is not Outcome.NONE:
                continue
            if setup not in self.record.setups or setup.sent_ms > self.loop.now_ms:
                setup.given_up_ms = self.loop.now_ms  # not all of it was written
            elif self.loop.now_ms - setup.sent_ms <= CROSSED_CLOSE_MS and not was_killed:
                self.record.setups.remove(setup)
            setup.outcome = Outcome.LOST
