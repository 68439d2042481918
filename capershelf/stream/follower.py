"""A proxy's side of the stream: one thread that follows one control service at a time.

It owns the protocol's state, the ledger and the file of the last good version.  What a service sends
comes in through its inbox, no more than a few messages at a time: the connection waits else.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from capershelf.config import Config, StreamSettings
from capershelf.core.clock import Clock, Inbox
from capershelf.net.connection import Connection, connect
from capershelf.net.framing import Framing, Lines
from capershelf.net.tls import Identity, Tls
from capershelf.net.websocket import WebSocket
from capershelf.stream import document as doc
from capershelf.stream import protocol, takeover
from capershelf.stream.keep import Keep
from capershelf.stream.ledger import VersionHistory, VersionNumber
from capershelf.stream.order import Order
from capershelf.stream.probation import Measure, Probation, Terms
from capershelf.stream.signing import KeyRing
from capershelf.stream.standing import Offence

CONNECT_MS = 2000.0
HANDSHAKE_MS = 3000.0
SILENT_MS = 3.0 * protocol.HEARTBEAT_MS  # a service that says nothing for so long is left
HALF_MS = 2000.0  # and one that does not end a message
FETCH_MS = 30_000.0  # a version must come whole within this, else another service is asked for it
PLANNERS_MS = 5000.0  # for all planners to have taken a version over
WAITING = 32  # messages that may wait here; the connection is not read further


class Host(Protocol):
    """The node, as the follower needs it."""

    config: Config

    def adopt(self, config: Config, done: Callable[[], None]) -> bool: ...

    def reload(self, config: Config) -> None: ...

    def ask_open(self, back: Callable[[set[str]], None]) -> int: ...

    def outcomes(self) -> tuple[int, int]: ...


@dataclass(frozen=True, slots=True)
class Opened:
    connection: int


@dataclass(frozen=True, slots=True)
class Line:
    connection: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    connection: int


@dataclass(frozen=True, slots=True)
class Rebase:
    """The proxy's own file was read again."""

    config: Config


@dataclass(frozen=True, slots=True)
class End:
    """The proxy stops."""


@dataclass(frozen=True, slots=True)
class InForce:
    """A version in force, or none: then the proxy's own file alone."""

    number: VersionNumber | None = None
    digest: str = ""
    document: dict[str, Any] | None = None


class Follower:
    """Runs until it is told to end."""

    def __init__(
        self,
        settings: StreamSettings,
        base: Config,
        started: InForce,
        ring: Callable[[], KeyRing | None],
        keep: Keep | None,
        host: Host,
        clock: Clock,
        release: str,
        environ: Mapping[str, str],
    ) -> None:
        self.inbox: Inbox[Opened | Line | Closed | Rebase | End] = Inbox(clock)
        self._settings, self._base, self._host, self._clock = settings, base, host, clock
        self._keep, self._environ = keep, environ
        ledger = VersionHistory(started.number, started.digest)
        self._ring = ring
        self._end = protocol.ProxySession(base.name, release, ledger, ring())
        self._end.base = started.document
        self._in_force, self._before = started, InForce()
        self._order = Order(settings.services, base.seed)
        self._identity = Identity(settings.ca, settings.certificate, settings.key_file)
        self._connection: Connection | None = None
        self._number = 0  # of the connection
        self._service = ""
        self._heard_ms = self._beat_ms = 0.0
        self._fetch_by_ms = math.inf
        self._fetching: protocol.Fetch | None = None
        self._room = threading.Semaphore(WAITING)
        self._over = False
        self._measure = Measure(max(1000.0, settings.probation_ms))
        self._counted = (0, 0)
        self._probation: Probation | None = None

    # -- the loop -------------------------------------------------------------------------------------
    def run(self) -> None:
        while not self._over:
            service, at_ms = self._order.next(self._clock.now_ms())
            while not self._over and self._clock.now_ms() < at_ms:
                self._step(at_ms)
            if not self._over:
                try:
                    self._follow(service)
                except Exception:  # nothing that a service sends may end the following
                    logger.exception("stream: a fault with {service}", event="stream-fault", service=service)
                    self._hang_up("a fault here")
                self._order.failed()

    def _follow(self, service: str) -> None:
        """Connect, and stay for as long as the connection lasts."""
        self._service = service
        websocket = service.startswith("ws://")
        address = service.removeprefix("ws://")
        host = address.rpartition(":")[0].strip("[]")
        now_ms = self._clock.now_ms()
        try:
            self._end.ring = self._ring()  # keys may have come, gone or been revoked meanwhile
            context = self._identity.context(server=False) if self._settings.ca else None
            sock = connect(address, self._clock, now_ms + CONNECT_MS)
        except (OSError, ValueError) as problem:
            logger.info(
                "stream: {service}: {problem}", event="service-unreachable", service=service, problem=problem
            )
            return
        framing: Framing = WebSocket(host) if websocket else Lines()
        if context is not None:
            framing = Tls(framing, context, False, host)
        self._number += 1
        number = self._number
        self._room = room = threading.Semaphore(WAITING)
        self._heard_ms, self._beat_ms = now_ms, now_ms + protocol.HEARTBEAT_MS

        def message(data: bytes) -> None:
            room.acquire()
            self.inbox.put(Line(number, data))

        self._connection = connection = Connection(
            sock,
            framing,
            message,
            lambda: self.inbox.put(Closed(number)),
            f"control service {service}",
            self._clock,
            now_ms + HANDSHAKE_MS,
            lambda: self.inbox.put(Opened(number)),
            read_deadline=self._due,
        )
        connection.start()
        while self._connection is not None:
            self._step(min(self._beat_ms, self._fetch_by_ms))
        if connection.drop_reason:
            logger.info(
                "stream: {service} left: {reason}",
                event="service-left",
                service=service,
                reason=connection.drop_reason,
            )

    def _due(self, half_ms: float) -> float:
        return min(self._heard_ms + SILENT_MS, half_ms + HALF_MS)

    def _hang_up(self, reason: str) -> None:
        if self._connection is not None:
            logger.warning(
                "stream: {service} hung up on: {reason}",
                event="service-hung-up",
                service=self._service,
                reason=reason,
            )
            self._connection.close()
            self._connection = None
            for _ in range(WAITING):
                self._room.release()  # the reading thread must not wait for room that nobody makes

    def _step(self, until_ms: float) -> None:
        """Deal with one event, or with what is due."""
        if self._probation is not None:
            until_ms = min(until_ms, self._clock.now_ms() + 250.0)
        event = self.inbox.take(until_ms)
        match event:
            case End():
                self._over = True
                if self._connection is not None:
                    self._connection.close()
                    self._connection = None
            case Rebase(config):
                self._rebase(config)
            case Opened(number) if number == self._number and self._connection is not None:
                self._carry_out(self._end.connected(self._service))
            case Line(number, data):
                if number == self._number and self._connection is not None:
                    self._line(data)
                    self._room.release()
            case Closed(number) if number == self._number:
                self._connection = None
                self._fetch_by_ms, self._fetching = math.inf, None
        now_ms = self._clock.now_ms()
        if self._connection is not None and now_ms >= self._beat_ms:
            self._beat_ms = now_ms + protocol.HEARTBEAT_MS
            self._say({"type": "beat"})
        if self._connection is not None and now_ms >= self._fetch_by_ms:
            self._fetch_by_ms, self._fetching = math.inf, None
            self._hang_up("a version did not come whole in time")
        self._watch(now_ms)

    def _say(self, message: protocol.Message) -> None:
        if self._connection is not None:
            self._connection.send(protocol.encode(message))

    def _line(self, data: bytes) -> None:
        self._heard_ms = now_ms = self._clock.now_ms()
        try:
            message = protocol.decode(data)
        except protocol.ProtocolError as problem:
            self._hang_up(str(problem))
            return
        if message["type"] == "welcome":
            self._order.served()
        self._carry_out(self._end.receive(message, now_ms))
        if self._end.fetch is not self._fetching:
            self._fetching = self._end.fetch
            self._fetch_by_ms = now_ms + FETCH_MS if self._fetching is not None else math.inf

    def _carry_out(self, steps: list[protocol.Step]) -> None:
        for step in steps:
            match step:
                case protocol.Send(message):
                    self._say(message)
                case protocol.Disconnect(reason):
                    self._hang_up(reason)
                case protocol.VersionRefused(number, code, text):
                    logger.warning(
                        "stream: version {version} of {service} refused: {reason} [{code}]",
                        event="version-refused",
                        version=number,
                        service=self._service,
                        reason=text,
                        code=code,
                    )
                case protocol.VersionReceived():
                    self._consider(step)

    # -- taking over ----------------------------------------------------------------------------------
    def _open_classes(self) -> dict[str, float]:
        """Classes with open calls, and the deadlines that these have."""
        answers: Inbox[set[str]] = Inbox(self._clock)
        by_ms = self._clock.now_ms() + PLANNERS_MS
        names: set[str] = set()
        for _ in range(self._host.ask_open(answers.put)):
            while (found := answers.take(by_ms)) is None and self._clock.now_ms() < by_ms:
                pass
            names |= found or set()
        kinds = self._host.config.settings.classes
        return {kind.name: kind.deadline_ms for kind in kinds if kind.name in names}

    def _plan(self, document: dict[str, Any]) -> takeover.TakeOver | Offence:
        return takeover.plan(
            self._base.table,
            self._host.config.table,
            document,
            self._open_classes(),
            self._settings.strict,
            self._environ,
        )

    def _adopt(self, config: Config) -> bool:
        """All planners, or none: whether all have taken it over."""
        done: Inbox[bool] = Inbox(self._clock)
        if not self._host.adopt(config, lambda: done.put(True)):
            return False
        by_ms = self._clock.now_ms() + PLANNERS_MS
        for _ in range(config.planners):
            while done.take(by_ms) is None and self._clock.now_ms() < by_ms:
                pass
        return True

    def _consider(self, arrived: protocol.VersionReceived) -> None:
        found = self._plan(arrived.document)
        if isinstance(found, Offence):
            self._carry_out(self._end.refuse(arrived, found.code, found.path, found.text))
            return
        before = self._share()
        if not self._adopt(found.config):
            self._hang_up("this proxy stops")
            return
        self._before = self._in_force
        self._in_force = InForce(arrived.number, arrived.digest, arrived.document)
        self._save()
        logger.info(
            "stream: version {version} of {service} is in force{notes}",
            event="version-in-force",
            version=arrived.number,
            service=self._service,
            notes=f"; from the next start on: {', '.join(found.notes)}" if found.notes else "",
        )
        self._carry_out(self._end.accept(arrived, found.notes))
        if self._settings.probation_ms > 0:
            terms = Terms(self._settings.probation_ms, self._settings.margin, self._settings.least)
            self._probation = Probation(terms, self._clock.now_ms(), before)

    def _save(self) -> None:
        held = self._in_force
        if self._keep is None or held.number is None or held.document is None:
            return
        try:
            self._keep.save(held.number, held.digest, doc.canonical(held.document), self._clock.now_ms())
        except OSError as problem:
            logger.warning(
                "stream: version {version} is in force but not kept: {problem}",
                event="version-unkept",
                version=held.number,
                problem=problem,
            )

    def _rebase(self, config: Config) -> None:
        """SIGHUP: the new file under the version in force."""
        if (document := self._in_force.document) is None:
            self._host.reload(config)
        else:
            wanted = takeover.plan(
                config.table, self._host.config.table, document, self._open_classes(), False, self._environ
            )
            if isinstance(wanted, Offence):
                logger.error(
                    "stream: the file that was read again does not go with version {version}: {problem}",
                    event="rebase-refused",
                    version=self._in_force.number,
                    problem=wanted,
                )
                return
            if not self._adopt(wanted.config):  # the proxy stops, but follows its list to the end
                self._host.reload(wanted.config)
        self._base = config

    # -- probation ------------------------------------------------------------------------------------
    def _share(self) -> tuple[int, int]:
        """Outcomes in the time before now that a probation takes."""
        now_ms = self._clock.now_ms()
        self._count(now_ms)
        return self._measure.since(now_ms - self._settings.probation_ms)

    def _count(self, now_ms: float) -> None:
        given, refused = self._host.outcomes()
        self._measure.note(now_ms, given - self._counted[0], refused - self._counted[1])
        self._counted = given, refused

    def _watch(self, now_ms: float) -> None:
        if self._settings.probation_ms <= 0:
            return
        self._count(now_ms)
        if self._probation is None:
            return
        verdict = self._probation.verdict(now_ms, self._measure.since(self._probation.began_ms))
        if not verdict:
            return
        self._probation = None
        if verdict == "passed":
            logger.info(
                "stream: version {version} has passed its probation",
                event="probation-passed",
                version=self._in_force.number,
            )
            return
        self._put_back(verdict)

    def _put_back(self, why: str) -> None:
        bad, before = self._in_force, self._before
        found = self._plan(before.document or {})
        if bad.number is None or isinstance(found, Offence):
            logger.error(
                "stream: version {version} does harm ({reason}), can't be put back: {problem}",
                event="put-back-failed",
                version=bad.number,
                reason=why,
                problem=found,
            )
            return
        if not self._adopt(found.config):
            return
        logger.warning(
            "stream: version {version} is put back: {reason}",
            event="version-put-back",
            version=bad.number,
            reason=why,
        )
        self._in_force, self._before = before, InForce()
        self._save()
        self._carry_out(self._end.roll_back(bad.number, before.number, before.document, before.digest, why))
