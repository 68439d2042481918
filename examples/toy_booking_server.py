"""An example booking server: answers set-ups, ends calls after a fixed time and refuses a share of set-ups.

python examples/toy_booking_server.py --listen 127.0.0.1:7001
python examples/toy_booking_server.py --listen 127.0.0.1:7002 --websocket --refuse 0.3
"""

from __future__ import annotations

import json
import random
import socket
import threading
from typing import Any

import click

from capershelf.core.clock import SystemClock
from capershelf.net.addresses import parse_endpoint
from capershelf.net.connection import Connection
from capershelf.net.framing import Framing, Lines
from capershelf.net.websocket import WebSocket

CLOCK = SystemClock()
HANDSHAKE_TIMEOUT_MS = 3000.0


class ProxyConnection:
    """A connection from one proxy and the calls on it."""

    def __init__(
        self, sock: socket.socket, framing: Framing, hold_s: float, refused_share: float, capacity: int
    ) -> None:
        self.hold_s = hold_s
        self.refused_share = refused_share
        self.capacity = capacity
        self.calls: dict[str, threading.Timer] = {}
        self.connection = Connection(
            sock,
            framing,
            self.on_message,
            self.on_closed,
            "proxy",
            CLOCK,
            CLOCK.now_ms() + HANDSHAKE_TIMEOUT_MS,
            self.on_opened,
        )
        self.connection.start()

    def send(self, kind: str, call_id: str, **more: Any) -> None:
        """Send one message."""
        self.connection.send(json.dumps({"type": kind, "id": call_id, "fields": {}} | more).encode())

    def load_report(self) -> dict[str, str]:
        """The fields that report this server's load."""
        return {"load": f"spare:{self.capacity - len(self.calls)};total:{self.capacity};allowed:100"}

    def on_opened(self) -> None:
        """Report the load once the connection is open."""
        self.send("state", "0" * 16, fields=self.load_report())

    def on_message(self, line: bytes) -> None:
        """Handle one message from the proxy."""
        message = json.loads(line)
        kind, call_id = message["type"], message["id"]
        if kind == "ping":
            self.send("pong", call_id, cause=1, fields=self.load_report())
        elif kind == "release":
            if (timer := self.calls.pop(call_id, None)) is not None:
                timer.cancel()
                click.echo(f"{call_id} released by the proxy")
            self.send("released", call_id)
        elif kind == "setup":
            if random.random() < self.refused_share or len(self.calls) >= self.capacity:
                click.echo(f"{call_id} refused")
                self.send("release", call_id, cause=34, fields={"note": "acc"} | self.load_report())
                return
            fields = message["fields"]
            click.echo(f"{call_id} {fields['class']} established, {fields['left']} ms before its deadline")
            self.calls[call_id] = timer = threading.Timer(self.hold_s, self.end_call, [call_id])
            timer.daemon = True
            timer.start()
            self.send("answer", call_id, sdp=f"v=0\r\ns={call_id}\r\n", fields=self.load_report())

    def end_call(self, call_id: str) -> None:
        """End a call from this side."""
        if self.calls.pop(call_id, None) is not None:
            click.echo(f"{call_id} ended")
            self.send("release", call_id, cause=16)

    def on_closed(self) -> None:
        """Log that the connection is closed."""
        click.echo("connection closed by the proxy")


@click.command()
@click.option("--listen", default="127.0.0.1:7001", show_default=True)
@click.option("--websocket", is_flag=True, help="Speak WebSocket instead of JSON lines.")
@click.option("--hold", default=3.0, show_default=True, help="Duration of a call in seconds.")
@click.option(
    "--refuse",
    default=0.0,
    show_default=True,
    help="Share of set-ups refused for lack of processor capacity.",
)
@click.option("--lines", default=10, show_default=True, help="Number of simultaneous calls.")
def main(listen: str, websocket: bool, hold: float, refuse: float, lines: int) -> None:
    """Accept connections from proxies."""
    listener = socket.create_server(parse_endpoint(listen))
    click.echo(f"booking server listening on {listen}")
    while True:
        sock, _ = listener.accept()
        ProxyConnection(sock, WebSocket() if websocket else Lines(), hold, refuse, lines)


if __name__ == "__main__":
    main()
