"""`serve` with a time stamp at each hand-over of a call: python -m lab.capacity.traced_proxy FILE serve ...

The program itself is unchanged: its methods are wrapped before it starts, and the stamps are written to FILE
as JSON once it has stopped.
"""

from __future__ import annotations

import json
import re
import sys
import time
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import Any, NamedTuple

from capershelf.cli import main
from capershelf.core import model as m
from capershelf.core.clock import Inbox
from capershelf.core.planner import Planner
from capershelf.fronts.session import Session
from capershelf.net.links import Link, Links

CALL_ID = re.compile(rb'"id":"([0-9a-f]{16})"')
SET_UP, ANSWER = b'"type":"setup"', b'"type":"answer"'


class Point(IntEnum):
    """Where a call is stamped, in the order in which it passes."""

    SET_UP_READ = 0  # by the session's thread
    SET_UP_QUEUED = 1
    SET_UP_TAKEN = 2  # by the planner's thread
    SET_UP_DECIDED = 3
    SET_UP_WRITTEN = 4
    ANSWER_READ = 5  # by the thread that reads the links
    ANSWER_QUEUED = 6
    ANSWER_TAKEN = 7  # by the planner's thread
    ANSWER_WRITTEN = 8


class Stamp(NamedTuple):
    """A call at a point: the monotonic clock, and the processor time of the thread, in nanoseconds."""

    point: int
    call: str
    at_ns: int
    thread_ns: int


class Stamps:
    """What was stamped, in order."""

    def __init__(self) -> None:
        self.found: list[Stamp] = []

    def add(self, point: Point, call: str) -> None:
        self.found.append(Stamp(point, call, time.monotonic_ns(), time.thread_time_ns()))

    def add_line(self, point: Point, kind: bytes, line: bytes) -> None:
        """Stamp a message of this kind as it came off the wire."""
        if kind in line and (match := CALL_ID.search(line)) is not None:
            self.add(point, match[1].decode())

    def add_event(self, set_up: Point, answer: Point, event: object) -> None:
        match event:
            case m.SetUpReceived(request):
                self.add(set_up, request.id)
            case m.ServerAnswered():
                self.add(answer, event.id)

    def save(self, path: Path) -> None:
        path.write_text(json.dumps(self.found))


def before(owner: type, name: str, stamp: Callable[..., None]) -> None:
    """Have a method stamped as it begins."""
    method = getattr(owner, name)

    def wrapped(self: Any, *values: Any) -> Any:
        stamp(*values)
        return method(self, *values)

    setattr(owner, name, wrapped)


def after(owner: type, name: str, stamp: Callable[..., None]) -> None:
    """Have a method stamped as it ends."""
    method = getattr(owner, name)

    def wrapped(self: Any, *values: Any) -> Any:
        result = method(self, *values)
        stamp(*values)
        return result

    setattr(owner, name, wrapped)


def trace(stamps: Stamps) -> None:
    """Wrap the program's methods where a call changes hands."""
    before(Session, "_on_message", lambda line: stamps.add_line(Point.SET_UP_READ, SET_UP, line))
    before(Link, "_message", lambda line, epoch: stamps.add_line(Point.ANSWER_READ, ANSWER, line))
    before(Inbox, "put", lambda event: stamps.add_event(Point.SET_UP_QUEUED, Point.ANSWER_QUEUED, event))
    before(Planner, "handle", lambda event: stamps.add_event(Point.SET_UP_TAKEN, Point.ANSWER_TAKEN, event))
    before(Links, "set_up", lambda server, epoch, request, *_: stamps.add(Point.SET_UP_DECIDED, request.id))
    after(Links, "set_up", lambda server, epoch, request, *_: stamps.add(Point.SET_UP_WRITTEN, request.id))

    def told(word: m.CallerMessage) -> None:
        if isinstance(word, m.Answered):
            stamps.add(Point.ANSWER_WRITTEN, word.id)

    after(Session, "notify", told)


if __name__ == "__main__":
    stamps = Stamps()
    trace(stamps)
    try:
        main(args=sys.argv[2:], prog_name="capershelf")
    finally:
        stamps.save(Path(sys.argv[1]))
