"""A control service: versions as files in a folder, offered to proxies by stages.  A stand-in, and a
tool.

One thread owns all that is known; connections reach it by its inbox.  In the folder lie
`EPOCH.VERSION.json`, each with `EPOCH.VERSION.sig` where it is signed, and `state.json`, which says what
each proxy has made of them.
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

SCAN_MS = 200.0
SILENT_MS = 4.0 * protocol.HEARTBEAT_MS
HANDSHAKE_MS = 3000.0
NAME = re.compile(r"(\d{1,15})\.(\d{1,15})\.json")
STATE, STATE_NEW = "state.json", "state.new"


def versions_in(folder: Path) -> list[VersionNumber]:
    """The numbers of all versions there, in their order."""
    found = (NAME.fullmatch(path.name) for path in folder.iterdir())
    return sorted(VersionNumber(int(match[1]), int(match[2])) for match in found if match)


def read_version(folder: Path, number: VersionNumber) -> protocol.Published:
    """A version with its signature; ValueError where one of its files can't be read."""
    try:
        found = doc.read((folder / f"{number}.json").read_bytes())
        signature = Signature()
        if (path := folder / f"{number}.sig").exists():
            told = doc.read(path.read_bytes())
            signature = Signature(str(told["key"]), float(told["expires"]), str(told["signature"]))
    except (OSError, KeyError, TypeError) as problem:
        raise ValueError(f"{number}: {problem!r}") from problem
    return protocol.Published.of(number, found, signature)


@dataclass(frozen=True, slots=True)
class Came:
    sock: socket.socket
    name: str


@dataclass(frozen=True, slots=True)
class Line:
    peer: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Gone:
    peer: int


@dataclass(frozen=True, slots=True)
class End:
    """Stop serving."""


@dataclass(slots=True)
class Peer:
    """A proxy's connection."""

    connection: Connection
    end: protocol.ServiceSession
    heard_ms: float
    offered: str = ""  # digest


@dataclass(slots=True)
class Fleet:
    """What is known of each proxy; it outlives their connections and, in state.json, this process."""

    proxies: dict[str, dict[str, Any]] = field(default_factory=dict)

    def note(self, proxy: str, now_ms: float, **what: Any) -> None:
        self.proxies.setdefault(proxy, {}).update(what, at_ms=now_ms)


class ControlService:
    """Serves a folder until told to end."""

    def __init__(
        self,
        folder: Path,
        listen: str,
        clock: Clock,
        plan: Plan,
        websocket: bool = False,
        identity: Identity | None = None,
    ) -> None:
        self.inbox: Inbox[Came | Line | Gone | End] = Inbox(clock)
        self._folder, self._disk, self._clock, self._plan = folder, Folder(folder), clock, plan
        self._websocket, self._identity = websocket, identity
        if identity is not None:
            identity.context(server=True)  # a file that can't be used is named before the first proxy comes
        self._sock = socket.create_server(parse_endpoint(listen), backlog=512)
        self.port: int = self._sock.getsockname()[1]
        self._shelf = protocol.VersionCache()
        self._peers: dict[int, Peer] = {}
        self._count = 0
        self.fleet = Fleet()
        self._rollout: Rollout | None = None
        self._newest: protocol.Published | None = None
        self._before: protocol.Published | None = None
        self._unreadable: set[VersionNumber] = set()
        self._scan_ms = 0.0
        self._stamp = 0  # of the newest version's signature
        self._state = ""
        self._changed = True  # since state.json was written
        self._read_state()

    # -- threads --------------------------------------------------------------------------------------
    def start(self) -> None:
        start_detached_thread(self._accept)

    def _accept(self) -> None:
        while True:
            try:
                sock, address = self._sock.accept()
            except OSError:
                return
            self.inbox.put(Came(sock, f"proxy {address[0]}:{address[1]}"))

    def run(self) -> None:
        """The owner's loop."""
        while True:
            event = self.inbox.take(self._scan_ms)
            if isinstance(event, End):
                break
            try:
                self._take(event)
            except Exception:  # one proxy must not end the service for all
                logger.exception("control: a fault", event="control-fault")
        self._write_state()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        for peer in self._peers.values():
            peer.connection.close()

    def _take(self, event: Came | Line | Gone | None) -> None:
        match event:
            case Came(sock, name):
                self._admit(sock, name)
            case Line(number, data):
                if (peer := self._peers.get(number)) is not None:
                    self._line(peer, data)
            case Gone(number):
                if (peer := self._peers.pop(number, None)) is not None and peer.end.proxy:
                    connected = any(one.end.proxy == peer.end.proxy for one in self._peers.values())
                    self.fleet.note(peer.end.proxy, self._clock.now_ms(), connected=connected)
                    self._changed = True
        now_ms = self._clock.now_ms()
        if now_ms >= self._scan_ms:
            self._scan_ms = now_ms + SCAN_MS
            self._scan()
            self._advance(now_ms)
            if self._changed:  # not at each message: guards a large fleet's service from its own file
                self._write_state()
            for peer in list(self._peers.values()):
                if now_ms - peer.heard_ms >= protocol.HEARTBEAT_MS / 2:
                    peer.heard_ms = now_ms
                    peer.connection.send(protocol.encode({"type": "beat"}))

    def _admit(self, sock: socket.socket, name: str) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        framing: Framing = WebSocket() if self._websocket else Lines()
        if self._identity is not None:
            try:
                framing = Tls(framing, self._identity.context(server=True), True)
            except ValueError as problem:
                logger.warning("control: {problem}", event="control-problem", problem=problem)
                sock.close()
                return
        self._count += 1
        number, heard = self._count, [self._clock.now_ms()]

        def message(data: bytes) -> None:
            heard[0] = self._clock.now_ms()
            self.inbox.put(Line(number, data))

        connection = Connection(
            sock,
            framing,
            message,
            lambda: self.inbox.put(Gone(number)),
            name,
            self._clock,
            heard[0] + HANDSHAKE_MS,
            read_deadline=lambda partial_since_ms: heard[0] + SILENT_MS,
        )
        self._peers[number] = Peer(connection, protocol.ServiceSession(self._shelf), heard[0])
        connection.start()

    def _line(self, peer: Peer, data: bytes) -> None:
        try:
            steps = peer.end.receive(protocol.decode(data))
        except protocol.ProtocolError as problem:
            steps = [protocol.Disconnect(str(problem))]
        self._carry_out(peer, steps)

    def _carry_out(self, peer: Peer, steps: list[protocol.Step]) -> None:
        for step in steps:
            match step:
                case protocol.Send(message):
                    peer.connection.send(protocol.encode(message))
                case protocol.Disconnect(reason):
                    logger.warning(
                        "control: {proxy} hung up on: {reason}",
                        event="control-hung-up",
                        proxy=peer.end.proxy or "a proxy",
                        reason=reason,
                    )
                    peer.connection.close()
                case protocol.ProxyReport():
                    self._told(peer, step)

    # -- versions -------------------------------------------------------------------------------------
    def _scan(self) -> None:
        self._look_at_signature()
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
            self._shelf.add(found)
            self._before, self._newest = self._newest, found
            self._changed = True
            known = self._rollout
            if known is None or known.number != number:
                self._rollout = Rollout(number, self._plan)
            logger.info(
                "control: version {version} goes out, {bytes} bytes",
                event="rollout-begins",
                version=number,
                bytes=len(found.data),
            )

    def _look_at_signature(self) -> None:
        """The newest version may be signed once more: who does not have it yet is offered it again."""
        if self._newest is None:
            return
        path = self._folder / f"{self._newest.number}.sig"
        try:
            stamp = path.stat().st_mtime_ns
        except OSError:
            return
        if stamp == self._stamp:
            return
        self._stamp = stamp
        try:
            found = read_version(self._folder, self._newest.number)
        except ValueError as problem:
            logger.error("control: {problem}", event="control-problem", problem=problem)
            return
        if found.digest != self._newest.digest or found.signature == self._newest.signature:
            return
        self._newest = found
        self._rollout = Rollout(found.number, self._plan, acked=self._rollout.acked if self._rollout else {})
        for peer in self._peers.values():
            peer.offered = ""

    def _advance(self, now_ms: float) -> None:
        if self._rollout is None or self._newest is None:
            return
        connected = {peer.end.proxy for peer in self._peers.values() if peer.end.proxy}
        while self._rollout.advance(set(self.fleet.proxies), connected, now_ms):
            self._changed = True
            logger.info(
                "control: version {version}: {state}",
                event="rollout-stage",
                version=self._rollout.number,
                state=self._rollout.state,
            )
        chosen = self._rollout.chosen(set(self.fleet.proxies))
        for peer in self._peers.values():
            if peer.end.proxy:
                self._offer(peer, chosen)

    def _offer(self, peer: Peer, chosen: set[str]) -> None:
        """What this proxy is to have now: the newest where its stage has come, else the one before."""
        if self._rollout is None or self._newest is None:
            return
        due = self._rollout.due(peer.end.proxy, chosen)
        target = self._newest if due else self._before
        if target is None or target.digest in (peer.end.digest, peer.offered):
            return
        if peer.end.good is not None and target.number < peer.end.good:
            return  # it has had the newer one already
        peer.offered = target.digest
        self._carry_out(peer, peer.end.offer(target))

    def _told(self, peer: Peer, told: protocol.ProxyReport) -> None:
        now_ms = self._clock.now_ms()
        self._changed = True
        number = str(told.number) if told.number is not None else ""
        newest = self._rollout is not None and told.number == self._rollout.number
        if told.kind == "hello":
            self.fleet.note(told.proxy, now_ms, connected=True, has=number)
            if newest and self._rollout is not None:
                self._rollout.ack(told.proxy, now_ms)
            if self._rollout is not None:
                self._offer(peer, self._rollout.chosen(set(self.fleet.proxies)))
        elif told.kind == "ack":
            self.fleet.note(told.proxy, now_ms, has=number, notes=list(told.notes))
            if newest and self._rollout is not None:
                self._rollout.ack(told.proxy, now_ms)
        else:
            self.fleet.note(
                told.proxy,
                now_ms,
                **{
                    told.kind: {
                        "version": number,
                        "code": told.code or "put-back",
                        "path": told.path,
                        "text": told.text,
                    }
                },
            )
            logger.warning(
                "control: {proxy} says {kind} of {version}: {path} {reason}",
                event="proxy-refuses",
                proxy=told.proxy,
                kind=told.kind,
                version=number,
                path=told.path,
                reason=told.text,
            )
            if newest and self._rollout is not None:
                self._rollout.refuse(told.proxy, told.code or "put-back", told.text)
            self._write_state()  # at once: a halt must outlive this process

    # -- state ----------------------------------------------------------------------------------------
    def _read_state(self) -> None:
        try:
            found = doc.read((self._folder / STATE).read_bytes())
            self.fleet.proxies = {str(k): dict(v) | {"connected": False} for k, v in found["proxies"].items()}
            if (told := found.get("rollout")) is not None:
                number = VersionNumber(int(told["epoch"]), int(told["version"]))
                acked = {str(k): float(v) for k, v in told["acked"].items()}
                stage = min(int(told["stage"]), len(self._plan.stages) - 1)
                self._rollout = Rollout(number, self._plan, stage, str(told["halted"]), acked)
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError, AttributeError) as problem:
            logger.warning(
                "control: {file} can't be read, the fleet is learned anew: {problem!r}",
                event="control-state-spoilt",
                file=STATE,
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
        if text == self._state:
            self._changed = False
            return
        try:
            self._disk.write(STATE_NEW, text.encode())
            self._disk.sync(STATE_NEW)
            self._disk.rename(STATE_NEW, STATE)
        except OSError as problem:
            logger.warning(
                "control: {file} not written: {problem}",
                event="control-state-unwritten",
                file=STATE,
                problem=problem,
            )
            return
        self._state, self._changed = text, False
