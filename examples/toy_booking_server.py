"""A toy booking server: answers set-ups, ends calls after a while, and can be made to refuse.

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


class Toy:
    """One connection from a proxy."""

    def __init__(
        self, sock: socket.socket, framing: Framing, hold_s: float, refuse: float, lines: int
    ) -> None:
        self.hold_s, self.refuse, self.lines = hold_s, refuse, lines
        self.calls: dict[str, threading.Timer] = {}
        self.connection = Connection(
            sock, framing, self.message, self.closed, "proxy", CLOCK, CLOCK.now_ms() + 3000.0, self.state
        )
        self.connection.start()

    def say(self, kind: str, call_id: str, **more: Any) -> None:
        self.connection.send(json.dumps({"type": kind, "id": call_id, "fields": {}} | more).encode())

    def load(self) -> dict[str, str]:
        return {"load": f"spare:{self.lines - len(self.calls)};total:{self.lines};allowed:100"}

    def state(self) -> None:
        self.say("state", "0" * 16, fields=self.load())

    def message(self, line: bytes) -> None:
        message = json.loads(line)
        kind, call_id = message["type"], message["id"]
        if kind == "ping":
            self.say("pong", call_id, cause=1, fields=self.load())
        elif kind == "release":
            if (timer := self.calls.pop(call_id, None)) is not None:
                timer.cancel()
                click.echo(f"{call_id} released by the proxy")
            self.say("released", call_id)
        elif kind == "setup":
            if random.random() < self.refuse or len(self.calls) >= self.lines:
                click.echo(f"{call_id} refused")
                self.say("release", call_id, cause=34, fields={"note": "acc"} | self.load())
                return
            fields = message["fields"]
            click.echo(f"{call_id} {fields['class']} stands, {fields['left']} ms were left")
            self.calls[call_id] = timer = threading.Timer(self.hold_s, self.end, [call_id])
            timer.daemon = True
            timer.start()
            self.say("answer", call_id, sdp=f"v=0\r\ns={call_id}\r\n", fields=self.load())

    def end(self, call_id: str) -> None:
        if self.calls.pop(call_id, None) is not None:
            click.echo(f"{call_id} came to its end")
            self.say("release", call_id, cause=16)

    def closed(self) -> None:
        click.echo("the proxy has gone")


@click.command()
@click.option("--listen", default="127.0.0.1:7001", show_default=True)
@click.option("--websocket", is_flag=True, help="Speak WebSocket instead of JSON lines.")
@click.option("--hold", default=3.0, show_default=True, help="Seconds until a call comes to its end.")
@click.option("--refuse", default=0.0, show_default=True, help="Share of set-ups refused as processor full.")
@click.option("--lines", default=10, show_default=True, help="Calls that it can hold.")
def main(listen: str, websocket: bool, hold: float, refuse: float, lines: int) -> None:
    listener = socket.create_server(parse_endpoint(listen))
    click.echo(f"toy booking server on {listen}")
    while True:
        sock, _ = listener.accept()
        Toy(sock, WebSocket() if websocket else Lines(), hold, refuse, lines)


if __name__ == "__main__":
    main()
