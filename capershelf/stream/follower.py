"""The proxy's client of the configuration stream: one thread, connected to one control service at a time.

The thread owns the protocol session, the version history and the file of the last good version.  Messages
of a service arrive in its inbox.  Their number is limited; the connection is not read beyond it.
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
from capershelf.stream.keep import VersionStore
from capershelf.stream.ledger import VersionHistory, VersionNumber
from capershelf.stream.order import ServiceFailover
from capershelf.stream.probation import OutcomeWindow, Probation, ProbationTerms
from capershelf.stream.signing import KeyRing
from capershelf.stream.standing import RuleViolation

CONNECT_MS = 2000.0
HANDSHAKE_MS = 3000.0
SILENCE_TIMEOUT_MS = 3.0 * protocol.HEARTBEAT_MS  # without any message of the service
PARTIAL_MESSAGE_TIMEOUT_MS = 2000.0
FETCH_TIMEOUT_MS = 30_000.0  # for a complete version; then the next service is tried
PLANNERS_TIMEOUT_MS = 5000.0  # for all planners to answer or to apply a version
MAX_QUEUED_MESSAGES = 32  # the connection is not read while as many are queued


class Host(Protocol):
    """The parts of the node that the follower uses."""

    config: Config

    def adopt(self, config: Config, done: Callable[[], None]) -> bool: ...

    def reload(self, config: Config) -> None: ...

    def ask_open(self, callback: Callable[[set[str]], None]) -> int: ...

    def outcomes(self) -> tuple[int, int]: ...


@dataclass(frozen=True, slots=True)
class Opened:
    """The connection's handshake is complete."""

    connection: int


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """The connection received a message."""

    connection: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """The connection is closed."""

    connection: int


@dataclass(frozen=True, slots=True)
class Rebase:
    """The proxy's own configuration file was reloaded."""

    config: Config


@dataclass(frozen=True, slots=True)
class End:
    """The proxy shuts down."""


@dataclass(frozen=True, slots=True)
class InForce:
    """The version in force; without a number, the proxy's own file alone is in force."""

    number: VersionNumber | None = None
    digest: str = ""
    document: dict[str, Any] | None = None


class Follower:
    """Follows the control services and applies their versions until it receives End."""

    def __init__(
        self,
        settings: StreamSettings,
        base: Config,
        started: InForce,
        ring: Callable[[], KeyRing | None],
        store: VersionStore | None,
        host: Host,
        clock: Clock,
        release: str,
        environ: Mapping[str, str],
    ) -> None:
        self.inbox: Inbox[Opened | MessageReceived | Closed | Rebase | End] = Inbox(clock)
        self._settings, self._base, self._host, self._clock = settings, base, host, clock
        self._store, self._environ = store, environ
        ledger = VersionHistory(started.number, started.digest)
        self._ring = ring
        self._session = protocol.ProxySession(base.name, release, ledger, ring())
        self._session.base = started.document
        self._in_force, self._previous = started, InForce()
        self._failover = ServiceFailover(settings.services, base.seed)
        self._identity = Identity(settings.ca, settings.certificate, settings.key_file)
        self._connection: Connection | None = None
        self._connection_number = 0  # of the connection
        self._service = ""
        self._last_received_ms = self._next_heartbeat_ms = 0.0
        self._fetch_deadline_ms = math.inf
        self._fetching: protocol.Fetch | None = None
        self._queue_slots = threading.Semaphore(MAX_QUEUED_MESSAGES)
        self._stopped = False
        self._outcomes = OutcomeWindow(max(1000.0, settings.probation_ms))
        self._last_outcomes = (0, 0)
        self._probation: Probation | None = None

    # -- the loop -------------------------------------------------------------------------------------
    def run(self) -> None:
        """Connect to one service after another until the end."""
        while not self._stopped:
            service, at_ms = self._failover.next(self._clock.now_ms())
            while not self._stopped and self._clock.now_ms() < at_ms:
                self._step(at_ms)
            if not self._stopped:
                try:
                    self._follow(service)
                except Exception:  # no input from a service may end this thread
                    logger.exception(
                        "stream: unexpected error while following {service}",
                        event="stream-fault",
                        service=service,
                    )
                    self._disconnect("internal error")
                self._failover.record_failure()

    def _follow(self, service: str) -> None:
        """Connect to the service and process events until the connection ends."""
        self._service = service
        websocket = service.startswith("ws://")
        address = service.removeprefix("ws://")
        host = address.rpartition(":")[0].strip("[]")
        now_ms = self._clock.now_ms()
        try:
            self._session.ring = self._ring()  # keys may have been added, removed or revoked since
            context = self._identity.context(server=False) if self._settings.ca else None
            sock = connect(address, self._clock, now_ms + CONNECT_MS)
        except (OSError, ValueError) as problem:
            logger.info(
                "stream: cannot connect to {service}: {problem}",
                event="service-unreachable",
                service=service,
                problem=problem,
            )
            return
        framing: Framing = WebSocket(host) if websocket else Lines()
        if context is not None:
            framing = Tls(framing, context, False, host)
        self._connection_number += 1
        number = self._connection_number
        self._queue_slots = queue_slots = threading.Semaphore(MAX_QUEUED_MESSAGES)
        self._last_received_ms, self._next_heartbeat_ms = now_ms, now_ms + protocol.HEARTBEAT_MS

        def message(data: bytes) -> None:
            queue_slots.acquire()
            self.inbox.put(MessageReceived(number, data))

        self._connection = connection = Connection(
            sock,
            framing,
            message,
            lambda: self.inbox.put(Closed(number)),
            f"control service {service}",
            self._clock,
            now_ms + HANDSHAKE_MS,
            lambda: self.inbox.put(Opened(number)),
            read_deadline=self._read_deadline,
        )
        connection.start()
        while self._connection is not None:
            self._step(min(self._next_heartbeat_ms, self._fetch_deadline_ms))
        if connection.drop_reason:
            logger.info(
                "stream: connection to {service} ended: {reason}",
                event="service-left",
                service=service,
                reason=connection.drop_reason,
            )

    def _read_deadline(self, partial_since_ms: float) -> float:
        return min(self._last_received_ms + SILENCE_TIMEOUT_MS, partial_since_ms + PARTIAL_MESSAGE_TIMEOUT_MS)

    def _disconnect(self, reason: str) -> None:
        if self._connection is not None:
            logger.warning(
                "stream: closed the connection to {service}: {reason}",
                event="service-hung-up",
                service=self._service,
                reason=reason,
            )
            self._connection.close()
            self._connection = None
            for _ in range(MAX_QUEUED_MESSAGES):
                self._queue_slots.release()  # unblock the reading thread

    def _step(self, until_ms: float) -> None:
        """Process one event, if one arrives in time, and then everything that is due."""
        if self._probation is not None:
            until_ms = min(until_ms, self._clock.now_ms() + 250.0)
        event = self.inbox.take(until_ms)
        match event:
            case End():
                self._stopped = True
                if self._connection is not None:
                    self._connection.close()
                    self._connection = None
            case Rebase(config):
                self._rebase(config)
            case Opened(number) if number == self._connection_number and self._connection is not None:
                self._carry_out(self._session.connected(self._service))
            case MessageReceived(number, data):
                if number == self._connection_number and self._connection is not None:
                    self._receive(data)
                    self._queue_slots.release()
            case Closed(number) if number == self._connection_number:
                self._connection = None
                self._fetch_deadline_ms, self._fetching = math.inf, None
        now_ms = self._clock.now_ms()
        if self._connection is not None and now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + protocol.HEARTBEAT_MS
            self._send({"type": "beat"})
        if self._connection is not None and now_ms >= self._fetch_deadline_ms:
            self._fetch_deadline_ms, self._fetching = math.inf, None
            self._disconnect("a version was not received completely in time")
        self._check_probation(now_ms)

    def _send(self, message: protocol.Message) -> None:
        if self._connection is not None:
            self._connection.send(protocol.encode(message))

    def _receive(self, data: bytes) -> None:
        self._last_received_ms = now_ms = self._clock.now_ms()
        try:
            message = protocol.decode(data)
        except protocol.ProtocolError as problem:
            self._disconnect(str(problem))
            return
        if message["type"] == "welcome":
            self._failover.record_success()
        self._carry_out(self._session.receive(message, now_ms))
        if self._session.fetch is not self._fetching:
            self._fetching = self._session.fetch
            self._fetch_deadline_ms = now_ms + FETCH_TIMEOUT_MS if self._fetching is not None else math.inf

    def _carry_out(self, steps: list[protocol.Step]) -> None:
        for step in steps:
            match step:
                case protocol.Send(message):
                    self._send(message)
                case protocol.Disconnect(reason):
                    self._disconnect(reason)
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
                    self._apply_version(step)

    # -- applying a version ----------------------------------------------------------------------------------
    def _open_classes(self) -> dict[str, float]:
        """The deadlines of the classes that have open calls."""
        answers: Inbox[set[str]] = Inbox(self._clock)
        deadline_ms = self._clock.now_ms() + PLANNERS_TIMEOUT_MS
        names: set[str] = set()
        for _ in range(self._host.ask_open(answers.put)):
            while (found := answers.take(deadline_ms)) is None and self._clock.now_ms() < deadline_ms:
                pass
            names |= found or set()
        classes = self._host.config.settings.classes
        return {kind.name: kind.deadline_ms for kind in classes if kind.name in names}

    def _plan(self, document: dict[str, Any]) -> takeover.ApplicablePlan | RuleViolation:
        return takeover.plan(
            self._base.table,
            self._host.config.table,
            document,
            self._open_classes(),
            self._settings.strict,
            self._environ,
        )

    def _adopt(self, config: Config) -> bool:
        """Apply the configuration in all planners and wait for them; False if the proxy shuts down."""
        done: Inbox[bool] = Inbox(self._clock)
        if not self._host.adopt(config, lambda: done.put(True)):
            return False
        deadline_ms = self._clock.now_ms() + PLANNERS_TIMEOUT_MS
        for _ in range(config.planners):
            while done.take(deadline_ms) is None and self._clock.now_ms() < deadline_ms:
                pass
        return True

    def _apply_version(self, arrived: protocol.VersionReceived) -> None:
        found = self._plan(arrived.document)
        if isinstance(found, RuleViolation):
            self._carry_out(self._session.refuse(arrived, found.code, found.path, found.text))
            return
        before = self._outcomes_before()
        if not self._adopt(found.config):
            self._disconnect("the proxy shuts down")
            return
        self._previous = self._in_force
        self._in_force = InForce(arrived.number, arrived.digest, arrived.document)
        self._save()
        logger.info(
            "stream: version {version} of {service} is in force{notes}",
            event="version-in-force",
            version=arrived.number,
            service=self._service,
            notes=f"; from the next start on: {', '.join(found.notes)}" if found.notes else "",
        )
        self._carry_out(self._session.accept(arrived, found.notes))
        if self._settings.probation_ms > 0:
            terms = ProbationTerms(
                self._settings.probation_ms,
                self._settings.probation_margin,
                self._settings.probation_min_outcomes,
            )
            self._probation = Probation(terms, self._clock.now_ms(), before)

    def _save(self) -> None:
        current = self._in_force
        if self._store is None or current.number is None or current.document is None:
            return
        try:
            self._store.save(
                current.number, current.digest, doc.canonical(current.document), self._clock.now_ms()
            )
        except OSError as problem:
            logger.warning(
                "stream: version {version} is in force but could not be saved: {problem}",
                event="version-unkept",
                version=current.number,
                problem=problem,
            )

    def _rebase(self, config: Config) -> None:
        """Reload on SIGHUP: apply the version in force on top of the new file."""
        if (document := self._in_force.document) is None:
            self._host.reload(config)
        else:
            wanted = takeover.plan(
                config.table, self._host.config.table, document, self._open_classes(), False, self._environ
            )
            if isinstance(wanted, RuleViolation):
                logger.error(
                    "stream: the reloaded file is not compatible with version {version}: {problem}",
                    event="rebase-refused",
                    version=self._in_force.number,
                    problem=wanted,
                )
                return
            if not self._adopt(wanted.config):  # shutting down: the server list is still followed
                self._host.reload(wanted.config)
        self._base = config

    # -- probation ------------------------------------------------------------------------------------
    def _outcomes_before(self) -> tuple[int, int]:
        """The outcomes of the last probation period."""
        now_ms = self._clock.now_ms()
        self._record_outcomes(now_ms)
        return self._outcomes.since(now_ms - self._settings.probation_ms)

    def _record_outcomes(self, now_ms: float) -> None:
        total, refused = self._host.outcomes()
        self._outcomes.record(now_ms, total - self._last_outcomes[0], refused - self._last_outcomes[1])
        self._last_outcomes = total, refused

    def _check_probation(self, now_ms: float) -> None:
        if self._settings.probation_ms <= 0:
            return
        self._record_outcomes(now_ms)
        if self._probation is None:
            return
        verdict = self._probation.verdict(now_ms, self._outcomes.since(self._probation.began_ms))
        if not verdict:
            return
        self._probation = None
        if verdict == "passed":
            logger.info(
                "stream: version {version} passed its probation",
                event="probation-passed",
                version=self._in_force.number,
            )
            return
        self._roll_back(verdict)

    def _roll_back(self, reason: str) -> None:
        bad, before = self._in_force, self._previous
        found = self._plan(before.document or {})
        if bad.number is None or isinstance(found, RuleViolation):
            logger.error(
                "stream: version {version} does harm ({reason}) but cannot be rolled back: {problem}",
                event="put-back-failed",
                version=bad.number,
                reason=reason,
                problem=found,
            )
            return
        if not self._adopt(found.config):
            return
        logger.warning(
            "stream: version {version} was rolled back: {reason}",
            event="version-put-back",
            version=bad.number,
            reason=reason,
        )
        self._in_force, self._previous = before, InForce()
        self._save()
        self._carry_out(
            self._session.roll_back(bad.number, before.number, before.document, before.digest, reason)
        )
