"""Simulated notice board: numbered events served by long polling, renumbered from 1 at each proxy start."""

from __future__ import annotations

import json
import math
import select
import socket
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lab.fleet.network import EventLoop, LineStream
from lab.fleet.records import DayRecord, DrainNotice
from lab.fleet.servers import BookingServer


# After failed calls to discovery, a change counts as told this long after discovery could be reached again.
TOLD_AFTER_OUTAGE_MS = 6000.0
MAX_TOLD_MS = 7000.0  # a change counts as told no later than this, whether it arrived or not


class NoticeBoard:
    """One proxy's notice board.  While `held` is set, updates are queued and published on release.

    partitioned: polls are accepted and not answered.  A board that is down refuses connections.
    """

    def __init__(self, loop: EventLoop, record: DayRecord, proxy: int, host: str) -> None:
        self.loop, self.record, self.proxy = loop, record, proxy
        self.run = 0
        self.held = self.partitioned = False
        self._events: list[dict[str, Any]] = []
        self._waiting: list[tuple[LineStream, int, float]] = []
        self._held_updates: list[list[BookingServer]] = []
        self._open_notices: dict[str, DrainNotice] = {}
        self._unreached: list[DrainNotice] = []  # published while the board could not be reached
        self._host = host
        self._streams: list[LineStream] = []
        self._listener: socket.socket | None = None
        self._listen(0)

    def _listen(self, port: int) -> None:
        self._listener = socket.create_server((self._host, port), backlog=16)
        self._listener.setblocking(False)
        self.address = "{}:{}".format(*self._listener.getsockname())
        self.loop.poller.register(self._listener, select.POLLIN, self._accept)

    def stop(self) -> None:
        """Close the listener and reset all connections: the board is down."""
        if self._listener is not None:
            self.loop.poller.unregister(self._listener)
            self._listener.close()
            self._listener = None
        for stream in self._streams:
            stream.close(reset=True)
        self._streams.clear()
        self._waiting.clear()

    def restart(self) -> None:
        """Listen again at the same address."""
        if self._listener is None:
            self._listen(int(self.address.rpartition(":")[2]))
            self._reached()

    def move(self) -> None:
        """Listen at another port; the old address refuses connections."""
        self.stop()
        self._listen(0)

    def _reached(self) -> None:
        for notice in self._unreached:
            notice.at_ms = min(notice.at_ms + MAX_TOLD_MS, self.loop.now_ms + TOLD_AFTER_OUTAGE_MS)
        self._unreached.clear()

    def start_run(self, run: int, servers: list[BookingServer]) -> dict[str, Any]:
        """Start a proxy run with the complete list as event 1; return it for the proxy's configuration."""
        self.run = run
        self._open_notices.clear()
        self._held_updates.clear()
        self._events = [self._event(1, servers, True)]
        for server in servers:
            self._record_state(server)
        return {"rev": 1, "notices": list(self._events)}

    def known(self) -> dict[str, Any]:
        """Return all events of this run, as a new configuration holds them."""
        return {"rev": len(self._events), "notices": list(self._events)}

    def publish(self, servers: list[BookingServer]) -> None:
        """Publish the changed entries of these booking servers."""
        if not self.run:
            return
        if self.held:
            self._held_updates.append(servers)
            return
        self._events.append(self._event(len(self._events) + 1, servers, False))
        for server in servers:
            self._record_state(server)
        self._answer_all()

    def release_held(self) -> None:
        """Publish the queued updates."""
        self.held = False
        waiting, self._held_updates = self._held_updates, []
        for servers in waiting:
            self.publish(servers)

    def heal(self) -> None:
        """Answer polls again."""
        self.partitioned = False
        self._reached()
        self._answer_all()

    def _event(self, number: int, servers: list[BookingServer], complete: bool) -> dict[str, Any]:
        targets = [
            {
                "uid": server.uid,
                "endpoint": server.links[self.proxy].address,
                "az": f"z{server.zone}",
                "model": "std",
                "pod_group": server.pool,
                "state": server.state,
                "boot_ms": server.boot_ms,
            }
            for server in servers
        ]
        return {"rev": number, "pool": {"rev": number, "all": complete, "targets": targets}}

    def _record_state(self, server: BookingServer) -> None:
        notice = self._open_notices.get(server.uid)
        if server.state == "up":
            if notice is not None:
                notice.relisted_ms = self.loop.now_ms
                del self._open_notices[server.uid]
        elif notice is None:
            self._open_notices[server.uid] = notice = DrainNotice(
                self.proxy, self.run, server.uid, self.loop.now_ms
            )
            self.record.drain_notices.append(notice)
            if self.partitioned or self._listener is None:
                self._unreached.append(notice)

    # -- HTTP -----------------------------------------------------------------------------------------
    def _accept(self, events: int) -> None:
        if self._listener is None:
            return
        sock, _ = self._listener.accept()
        stream = LineStream(
            self.loop,
            sock,
            lambda line, first_byte_ms: self._on_line(stream, line),
            lambda: self._streams.remove(stream),
        )
        self._streams.append(stream)

    def _on_line(self, stream: LineStream, line: bytes) -> None:
        """Queue a long poll; only the request line is evaluated."""
        if not line.startswith(b"GET "):
            return
        query = parse_qs(urlsplit(line.split()[1].decode()).query)
        due_ms = self.loop.now_ms + float(query["linger"][0])
        self._waiting.append((stream, int(query["watch"][0]), due_ms))
        self._answer_all()
        self.loop.poller.call_at(due_ms, self._answer_all)

    def _answer_all(self) -> None:
        if self.partitioned:
            return
        waiting, self._waiting = self._waiting, []
        for stream, after, due_ms in waiting:
            if len(self._events) <= after and due_ms > self.loop.now_ms + 0.5:
                self._waiting.append((stream, after, due_ms))
                continue
            body = json.dumps({"rev": len(self._events), "notices": self._events[after:]}).encode()
            stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + str(len(body)).encode()
                + b"\r\n\r\n"
                + body
            )

    def notice_ms(self, uid: str) -> float:
        """Return when the booking server's drain or removal was published, inf if it is up."""
        return self._open_notices[uid].at_ms if uid in self._open_notices else math.inf
