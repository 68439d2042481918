"""A caller that places calls at an even pace, through a proxy and straight at a booking server in turn."""

from __future__ import annotations

import json
import random
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import numpy as np

from lab.capacity.booking_servers import message
from lab.capacity.event_loop import EventLoop, LineChannel
from lab.capacity.proxies import CLASSES, DEADLINE_MS

DEPTH = 9  # calls of a chain, each placed when the one before stands
CONNECT_S = 10.0
ANSWER_S = 10.0
PERCENTILES = (50.0, 99.0, 99.9)


class NoProxyError(ConnectionError):
    """The proxy did not take a connection in time: see its log."""


@dataclass(slots=True)
class Latencies:
    """Milliseconds from set-up to answer, and calls that were refused or failed."""

    answered_ms: list[float] = field(default_factory=list)
    refused: int = 0

    def percentiles(self) -> dict[str, float]:
        """By name: p50, p99, p99.9; empty without an answer."""
        if not self.answered_ms:
            return {}
        found = np.percentile(self.answered_ms, PERCENTILES)
        return {f"p{name:g}": round(float(value), 3) for name, value in zip(PERCENTILES, found, strict=True)}


@dataclass(slots=True)
class Placed:
    """When a call was sent and answered, in nanoseconds of the monotonic clock; 0: not yet."""

    sent_ns: int
    answered_ns: int = 0


class Line:
    """One connection on which calls are placed, to a proxy or to a booking server."""

    def __init__(self, loop: EventLoop, address: tuple[str, int], places: int) -> None:
        self._loop, self._places = loop, places
        self._random = random.Random(1)
        self._waiting: dict[str, Callable[[bool], None]] = {}
        self._number = 0
        self.placed: dict[str, Placed] = {}
        self._channel = LineChannel(loop, _connect(address), self._line)

    @property
    def idle(self) -> bool:
        return not self._waiting

    def place(self, done: Callable[[bool], None]) -> None:
        """Set a call up; done is told whether it stands."""
        self._number += 1
        call = f"{self._number:016x}"
        name = CLASSES[self._number % len(CLASSES)][0]
        self._waiting[call] = done
        self.placed[call] = Placed(time.monotonic_ns())
        self._channel.send(
            message(
                "setup",
                call,
                fields={
                    "class": name,
                    "left": f"{DEADLINE_MS:.0f}",
                    "key": f"n{self._number}",
                    "extras": f"dest:{self._random.randrange(self._places)};width:1",
                },
                sdp=f"offer of {call}\r\n",
            )
        )

    def close(self) -> None:
        self._channel.close()

    def _line(self, line: bytes) -> None:
        found = json.loads(line)
        if (done := self._waiting.pop(found["id"], None)) is not None:
            self.placed[found["id"]].answered_ns = time.monotonic_ns()
            done(found["type"] == "answer")


def _connect(address: tuple[str, int]) -> socket.socket:
    by_s = time.monotonic() + CONNECT_S
    while True:
        try:
            return socket.create_connection(address, timeout=1.0)
        except OSError as problem:
            if time.monotonic() > by_s:
                raise NoProxyError(f"{address[0]}:{address[1]}: {problem}") from problem
            time.sleep(0.05)


def place_calls(
    loop: EventLoop, lines: Sequence[Line], per_s: float, seconds: float, depth: int = 1
) -> list[Latencies]:
    """Place `per_s` calls a second on each line for so long; with a depth, so many in a row count as one.

    The lines take turns, half a gap apart, so that all meet the same machine.
    """
    found = [Latencies() for _ in lines]
    gap_s = depth / per_s
    began_s = time.monotonic() + 0.05
    for number in range(max(1, round(seconds / gap_s))):
        for index, (line, latencies) in enumerate(zip(lines, found, strict=True)):
            at_s = began_s + gap_s * (number + index / len(lines))
            loop.call_at(at_s, lambda line=line, into=latencies: _place_chain(line, into, depth))  # type: ignore[misc]
    loop.run_for(began_s + seconds - time.monotonic())
    loop.run_until(lambda: all(line.idle for line in lines), time.monotonic() + ANSWER_S)
    return found


def _place_chain(line: Line, latencies: Latencies, depth: int) -> None:
    began_s = time.monotonic()
    left = depth

    def done(stands: bool) -> None:
        nonlocal left
        left -= 1
        if not stands:
            latencies.refused += 1
        elif left > 0:
            line.place(done)
        else:
            latencies.answered_ms.append(1000.0 * (time.monotonic() - began_s))

    line.place(done)
