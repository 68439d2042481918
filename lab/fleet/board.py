"""The notice board as each proxy sees it: numbered events, from 1 at each of its starts, by long polls."""

from __future__ import annotations

import json
import math
import socket
import select
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lab.fleet.records import Seen, Told
from lab.fleet.servers import BookingServer
from lab.fleet.stage import Stage, Wire


class Board:
    """One proxy's notice board.  held: what happens is put in only once it is let go."""

    def __init__(self, stage: Stage, seen: Seen, proxy: int, host: str) -> None:
        self.stage, self.seen, self.proxy = stage, seen, proxy
        self.life = 0
        self.held = self.dark = False
        self._events: list[dict[str, Any]] = []
        self._waiting: list[tuple[Wire, int, float]] = []
        self._held: list[list[BookingServer]] = []
        self._told: dict[str, Told] = {}
        self._listener = socket.create_server((host, 0), backlog=16)
        self._listener.setblocking(False)
        self.address = "{}:{}".format(*self._listener.getsockname())
        stage.poller.register(self._listener, select.POLLIN, self._accept)

    def begin(self, life: int, servers: list[BookingServer]) -> dict[str, Any]:
        """A new start of the proxy: the whole list is its first event, which the configuration holds."""
        self.life = life
        self._told.clear()
        self._held.clear()
        self._events = [self._event(1, servers, True)]
        for server in servers:
            self._note(server)
        return {"rev": 1, "notices": list(self._events)}

    def changed(self, servers: list[BookingServer]) -> None:
        """These are listed otherwise than before."""
        if not self.life:
            return
        if self.held:
            self._held.append(servers)
            return
        self._events.append(self._event(len(self._events) + 1, servers, False))
        for server in servers:
            self._note(server)
        self._answer_all()

    def let_go(self) -> None:
        self.held = False
        waiting, self._held = self._held, []
        for servers in waiting:
            self.changed(servers)

    def lighten(self) -> None:
        self.dark = False
        self._answer_all()

    def _event(self, number: int, servers: list[BookingServer], whole: bool) -> dict[str, Any]:
        targets = [
            {
                "uid": server.uid,
                "endpoint": server.ways[self.proxy].address,
                "az": f"z{server.zone}",
                "model": "std",
                "pod_group": server.place,
                "state": server.state,
                "boot_ms": server.boot_ms,
            }
            for server in servers
        ]
        return {"rev": number, "pool": {"rev": number, "all": whole, "targets": targets}}

    def _note(self, server: BookingServer) -> None:
        told = self._told.get(server.uid)
        if server.state == "up":
            if told is not None:
                told.back_ms = self.stage.now_ms
                del self._told[server.uid]
        elif told is None:
            self._told[server.uid] = told = Told(self.proxy, self.life, server.uid, self.stage.now_ms)
            self.seen.told.append(told)

    # -- HTTP -----------------------------------------------------------------------------------------
    def _accept(self, what: int) -> None:
        sock, _ = self._listener.accept()
        wire = Wire(self.stage, sock, lambda line, first_ms: self._line(wire, line), lambda: None)

    def _line(self, wire: Wire, line: bytes) -> None:
        """Only the request line matters here."""
        if not line.startswith(b"GET "):
            return
        asked = parse_qs(urlsplit(line.split()[1].decode()).query)
        by_ms = self.stage.now_ms + float(asked["linger"][0])
        self._waiting.append((wire, int(asked["watch"][0]), by_ms))
        self._answer_all()
        self.stage.poller.call_at(by_ms, self._answer_all)

    def _answer_all(self) -> None:
        if self.dark:
            return
        waiting, self._waiting = self._waiting, []
        for wire, after, by_ms in waiting:
            if len(self._events) <= after and by_ms > self.stage.now_ms + 0.5:
                self._waiting.append((wire, after, by_ms))
                continue
            body = json.dumps({"rev": len(self._events), "notices": self._events[after:]}).encode()
            wire.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + str(len(body)).encode()
                + b"\r\n\r\n"
                + body
            )

    def told_ms(self, uid: str) -> float:
        return self._told[uid].at_ms if uid in self._told else math.inf
