"""A control service that offers the versions in a folder to proxies, stage by stage.

It stands in for a platform's own service and is a tool for operators.  One thread owns the state;
connections reach it through its inbox.  The folder holds `EPOCH.VERSION.json`, with `EPOCH.VERSION.sig` for
signed versions, and `state.json`, which records the state of each proxy.
"""

from __future__ import annotations

import contextlib
import json
import re
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from loguru import logger

from capershelf.core.clock import Clock, Inbox
from capershelf.memory.disk import Folder
from capershelf.net.addresses import parse_endpoint
from capershelf.net.connection import Connection, start_detached_thread
from capershelf.net.framing import Framing, Lines
from capershelf.net.tls import Identity, Tls
from capershelf.net.websocket import WebSocket
from capershelf.stream import document as doc
from capershelf.stream import protocol
from capershelf.stream.ledger import VersionNumber
from capershelf.stream.rollout import Plan, Rollout
from capershelf.stream.signing import Signature

SCAN_INTERVAL_MS = 200.0
SILENCE_TIMEOUT_MS = 4.0 * protocol.HEARTBEAT_MS
HANDSHAKE_TIMEOUT_MS = 3000.0
VERSION_FILE_NAME = re.compile(r"(\d{1,15})\.(\d{1,15})\.json")
STATE_FILE = "state.json"
TEMPORARY_STATE_FILE = "state.new"


def versions_in(folder: Path) -> list[VersionNumber]:
    """The numbers of all versions in the folder, in ascending order."""
    found = (VERSION_FILE_NAME.fullmatch(path.name) for path in folder.iterdir())
    return sorted(VersionNumber(int(match[1]), int(match[2])) for match in found if match)


def read_version(folder: Path, number: VersionNumber) -> protocol.Published:
    """Read a version with its signature; raises ValueError if one of its files is unreadable."""
    try:
        found = doc.read((folder / f"{number}.json").read_bytes())
        signature = Signature()
        if (path := folder / f"{number}.sig").exists():
            stored = doc.read(path.read_bytes())
            signature = Signature(str(stored["key"]), float(stored["expires"]), str(stored["signature"]))
    except (OSError, KeyError, TypeError) as problem:
        raise ValueError(f"{number}: {problem!r}") from problem
    return protocol.Published.of(number, found, signature)


@dataclass(frozen=True, slots=True)
class ProxyConnected:
    """The listener accepted a connection."""

    sock: socket.socket
    name: str


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A connection received a message."""

    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ProxyDisconnected:
    """A connection is closed."""

    peer: int


@dataclass(frozen=True, slots=True)
class End:
    """Stop serving."""


@dataclass(slots=True)
class ProxyConnection:
    """A connection of a proxy and its protocol session."""

    connection: Connection
    session: protocol.ServiceSession
    last_heartbeat_ms: float
    offered: tuple[VersionNumber, str] | None = None  # number and digest of the last offer


@dataclass(slots=True)
class Fleet:
    """The state of each proxy.  It survives connections and, in state.json, restarts of this process."""

    proxies: dict[str, dict[str, Any]] = field(default_factory=dict)

    def update(self, proxy: str, now_ms: float, **fields: Any) -> None:
        self.proxies.setdefault(proxy, {}).update(fields, at_ms=now_ms)


class ControlService:
    """Serves the versions in a folder until it receives End."""

    def __init__(
        self,
        folder: Path,
        listen: str,
        clock: Clock,
        plan: Plan,
        websocket: bool = False,
        identity: Identity | None = None,
    ) -> None:
        self.inbox: Inbox[ProxyConnected | MessageReceived | ProxyDisconnected | End] = Inbox(clock)
        self._folder, self._disk, self._clock, self._plan = folder, Folder(folder), clock, plan
        self._websocket, self._identity = websocket, identity
        if identity is not None:
            identity.context(server=True)  # report an unusable file before any proxy connects
        self._sock = socket.create_server(parse_endpoint(listen), backlog=512)
        self.port: int = self._sock.getsockname()[1]
        self._cache = protocol.VersionCache()
        self._connections: dict[int, ProxyConnection] = {}
        self._last_number = 0
        self.fleet = Fleet()
        self._rollout: Rollout | None = None
        self._newest: protocol.Published | None = None
        self._previous: protocol.Published | None = None
        self._unreadable: set[VersionNumber] = set()
        self._next_scan_ms = 0.0
        self._signature_mtime_ns = 0  # modification time of the newest version's signature
        self._written_state = ""
        self._changed = True  # since state.json was written
        self._read_state()

    # -- threads --------------------------------------------------------------------------------------
    def start(self) -> None:
        """Start accepting connections."""
        start_detached_thread(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError:
                return
            self.inbox.put(ProxyConnected(sock, f"proxy {address[0]}:{address[1]}"))

    def run(self) -> None:
        """Process events until End; this thread owns the state."""
        while True:
            event = self.inbox.take(self._next_scan_ms)
            if isinstance(event, End):
                break
            try:
                self._process(event)
            except Exception:  # one proxy must not end the service for all
                logger.exception("control: unexpected error", event="control-fault")
        self._write_state()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        for peer in self._connections.values():
            peer.connection.close()

    def _process(self, event: ProxyConnected | MessageReceived | ProxyDisconnected | None) -> None:
        match event:
            case ProxyConnected(sock, name):
                self._add_connection(sock, name)
            case MessageReceived(number, data):
                if (peer := self._connections.get(number)) is not None:
                    self._receive(peer, data)
            case ProxyDisconnected(number):
                if (peer := self._connections.pop(number, None)) is not None and peer.session.proxy:
                    connected = any(
                        one.session.proxy == peer.session.proxy for one in self._connections.values()
                    )
                    self.fleet.update(peer.session.proxy, self._clock.now_ms(), connected=connected)
                    self._changed = True
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_scan_ms:
            self._next_scan_ms = now_ms + SCAN_INTERVAL_MS
            self._scan()
            self._advance(now_ms)
            if self._changed:  # not per message: with a large fleet the writes would slow the service
                self._write_state()
            for peer in list(self._connections.values()):
                if now_ms - peer.last_heartbeat_ms >= protocol.HEARTBEAT_MS / 2:
                    peer.last_heartbeat_ms = now_ms
                    peer.connection.send(protocol.encode({"type": "beat"}))

    def _add_connection(self, sock: socket.socket, name: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        framing: Framing = WebSocket() if self._websocket else Lines()
        if self._identity is not None:
            try:
                framing = Tls(framing, self._identity.context(server=True), True)
            except ValueError as problem:
                logger.warning("control: {problem}", event="control-problem", problem=problem)
                sock.close()
                return
        self._last_number += 1
        number, last_received_ms = self._last_number, [self._clock.now_ms()]

        def message(data: bytes) -> None:
            last_received_ms[0] = self._clock.now_ms()
            self.inbox.put(MessageReceived(number, data))

        connection = Connection(
            sock,
            framing,
            message,
            lambda: self.inbox.put(ProxyDisconnected(number)),
            name,
            self._clock,
            last_received_ms[0] + HANDSHAKE_TIMEOUT_MS,
            read_deadline=lambda partial_since_ms: last_received_ms[0] + SILENCE_TIMEOUT_MS,
        )
        self._connections[number] = ProxyConnection(
            connection, protocol.ServiceSession(self._cache), last_received_ms[0]
        )
        connection.start()

    def _receive(self, peer: ProxyConnection, data: bytes) -> None:
        try:
            steps = peer.session.receive(protocol.decode(data))
        except protocol.ProtocolError as problem:
            steps = [protocol.Disconnect(str(problem))]
        self._carry_out(peer, steps)

    def _carry_out(self, peer: ProxyConnection, steps: list[protocol.Step]) -> None:
        for step in steps:
            match step:
                case protocol.Send(message):
                    peer.connection.send(protocol.encode(message))
                case protocol.Disconnect(reason):
                    logger.warning(
                        "control: closed the connection to {proxy}: {reason}",
                        event="control-hung-up",
                        proxy=peer.session.proxy or "a proxy",
                        reason=reason,
                    )
                    peer.connection.close()
                case protocol.ProxyReport():
                    self._process_report(peer, step)

    # -- versions -------------------------------------------------------------------------------------
    def _scan(self) -> None:
        self._check_signature()
        for number in versions_in(self._folder):
            newest = self._newest.number if self._newest is not None else VersionNumber(0, 0)
            if number <= newest or number in self._unreadable:
                continue
            try:
                found = read_version(self._folder, number)
            except ValueError as problem:
                self._unreadable.add(number)
                logger.error("control: {problem}", event="control-problem", problem=problem)
                continue
            self._cache.add(found)
            self._previous, self._newest = self._newest, found
            self._changed = True
            known = self._rollout
            if known is None or known.number != number:
                self._rollout = Rollout(number, self._plan)
            logger.info(
                "control: rollout of version {version} begins, {bytes} bytes",
                event="rollout-begins",
                version=number,
                bytes=len(found.data),
            )

    def _check_signature(self) -> None:
        """Offer the newest version again, with its new signature, if it was signed again."""
        if self._newest is None:
            return
        path = self._folder / f"{self._newest.number}.sig"
        try:
            mtime_ns = path.stat().st_mtime_ns
        except OSError:
            return
        if mtime_ns == self._signature_mtime_ns:
            return
        self._signature_mtime_ns = mtime_ns
        try:
            found = read_version(self._folder, self._newest.number)
        except ValueError as problem:
            logger.error("control: {problem}", event="control-problem", problem=problem)
            return
        if found.digest != self._newest.digest or found.signature == self._newest.signature:
            return
        self._newest = found
        self._rollout = Rollout(found.number, self._plan, acked=self._rollout.acked if self._rollout else {})
        for peer in self._connections.values():
            peer.offered = None

    def _advance(self, now_ms: float) -> None:
        if self._rollout is None or self._newest is None:
            return
        connected = {peer.session.proxy for peer in self._connections.values() if peer.session.proxy}
        while self._rollout.advance(set(self.fleet.proxies), connected, now_ms):
            self._changed = True
            logger.info(
                "control: version {version}: {state}",
                event="rollout-stage",
                version=self._rollout.number,
                state=self._rollout.state,
            )
        chosen = self._rollout.chosen(set(self.fleet.proxies))
        for peer in self._connections.values():
            if peer.session.proxy:
                self._offer(peer, chosen)

    def _offer(self, peer: ProxyConnection, chosen: set[str]) -> None:
        """Offer the newest version if the rollout has reached this proxy, else the previous one."""
        if self._rollout is None or self._newest is None:
            return
        due = self._rollout.should_offer(peer.session.proxy, chosen)
        target = self._newest if due else self._previous
        if target is None:
            return
        offer = target.number, target.digest  # two versions may hold the same document
        if offer in ((peer.session.good, peer.session.digest), peer.offered):
            return
        if peer.session.good is not None and target.number < peer.session.good:
            return  # the proxy already has a newer version
        peer.offered = offer
        self._carry_out(peer, peer.session.offer(target))

    def _process_report(self, peer: ProxyConnection, report: protocol.ProxyReport) -> None:
        now_ms = self._clock.now_ms()
        self._changed = True
        number = str(report.number) if report.number is not None else ""
        newest = self._rollout is not None and report.number == self._rollout.number
        if report.kind == "hello":
            self.fleet.update(report.proxy, now_ms, connected=True, has=number)
            if newest and self._rollout is not None:
                self._rollout.ack(report.proxy, now_ms)
            if self._rollout is not None:
                self._offer(peer, self._rollout.chosen(set(self.fleet.proxies)))
        elif report.kind == "ack":
            self.fleet.update(report.proxy, now_ms, has=number, notes=list(report.notes))
            if newest and self._rollout is not None:
                self._rollout.ack(report.proxy, now_ms)
        else:
            self.fleet.update(
                report.proxy,
                now_ms,
                **{
                    report.kind: {
                        "version": number,
                        "code": report.code or "put-back",
                        "path": report.path,
                        "text": report.text,
                    }
                },
            )
            logger.warning(
                "control: {proxy} reports {kind} for {version}: {path} {reason}",
                event="proxy-refuses",
                proxy=report.proxy,
                kind=report.kind,
                version=number,
                path=report.path,
                reason=report.text,
            )
            if newest and self._rollout is not None:
                self._rollout.refuse(report.proxy, report.code or "put-back", report.text)
            self._write_state()  # at once: a halted rollout must survive a restart

    # -- state ----------------------------------------------------------------------------------------
    def _read_state(self) -> None:
        try:
            found = doc.read((self._folder / STATE_FILE).read_bytes())
            self.fleet.proxies = {str(k): dict(v) | {"connected": False} for k, v in found["proxies"].items()}
            if (stored := found.get("rollout")) is not None:
                number = VersionNumber(int(stored["epoch"]), int(stored["version"]))
                acked = {str(k): float(v) for k, v in stored["acked"].items()}
                stage = min(int(stored["stage"]), len(self._plan.stages) - 1)
                self._rollout = Rollout(number, self._plan, stage, str(stored["halted"]), acked)
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as problem:
            logger.warning(
                "control: cannot read {file}, starting without known proxies: {problem!r}",
                event="control-state-spoilt",
                file=STATE_FILE,
                problem=problem,
            )

    def _write_state(self) -> None:
        rollout = self._rollout
        text = json.dumps(
            {
                "proxies": self.fleet.proxies,
                "rollout": None
                if rollout is None
                else {
                    "epoch": rollout.number.epoch,
                    "version": rollout.number.version,
                    "stage": rollout.stage,
                    "halted": rollout.halted,
                    "acked": rollout.acked,
                    "state": rollout.state,
                },
            },
            sort_keys=True,
            indent=1,
        )
        if text == self._written_state:
            self._changed = False
            return
        try:
            self._disk.write(TEMPORARY_STATE_FILE, text.encode())
            self._disk.sync(TEMPORARY_STATE_FILE)
            self._disk.rename(TEMPORARY_STATE_FILE, STATE_FILE)
        except OSError as problem:
            logger.warning(
                "control: could not write {file}: {problem}",
                event="control-state-unwritten",
                file=STATE_FILE,
                problem=problem,
            )
            return
        self._written_state, self._changed = text, False
