"""An example caller: places calls one after another and prints their outcomes.

python examples/toy_caller.py --connect 127.0.0.1:5060 --calls 3
python examples/toy_caller.py --connect 127.0.0.1:5061 --websocket
"""

from __future__ import annotations

import json
import queue
import secrets
from typing import Any

import click

from capershelf.core.clock import SystemClock
from capershelf.net.connection import Connection, connect
from capershelf.net.framing import Framing, Lines
from capershelf.net.websocket import WebSocket

CLOCK = SystemClock()
CONNECT_TIMEOUT_MS = 3000.0


@click.command()
@click.option("--connect", "endpoint", default="127.0.0.1:5060", show_default=True)
@click.option("--websocket", is_flag=True, help="Speak WebSocket instead of JSON lines.")
@click.option("--calls", default=1, show_default=True)
@click.option("--class", "call_class", default="slot-lookup", show_default=True)
@click.option("--left", default=2000, show_default=True, help="Milliseconds until the deadline.")
@click.option("--dest", default=0, show_default=True, help="Preferred pool.")
def main(endpoint: str, websocket: bool, calls: int, call_class: str, left: int, dest: int) -> None:
    """Place calls and print their outcomes."""
    messages: queue.SimpleQueue[dict[str, Any]] = queue.SimpleQueue()
    opened: queue.SimpleQueue[bool] = queue.SimpleQueue()
    framing: Framing = WebSocket(endpoint) if websocket else Lines()
    connection = Connection(
        connect(endpoint, CLOCK, CLOCK.now_ms() + CONNECT_TIMEOUT_MS),
        framing,
        lambda line: messages.put(json.loads(line)),
        lambda: opened.put(False),
        "proxy",
        CLOCK,
        CLOCK.now_ms() + CONNECT_TIMEOUT_MS,
        lambda: opened.put(True),
    )
    connection.start()
    if not opened.get():
        raise click.ClickException("the proxy closed the connection")
    for _ in range(calls):
        call_id = secrets.token_hex(8)
        number = secrets.token_hex(4)
        fields = {"class": call_class, "left": str(left), "key": number, "extras": f"dest:{dest}"}
        message = {"type": "setup", "id": call_id, "fields": fields, "sdp": "v=0\r\n"}
        sent_ms = CLOCK.now_ms()
        connection.send(json.dumps(message).encode())
        while (answer := messages.get())["id"] != call_id or answer["type"] not in ("answer", "release"):
            pass
        elapsed_ms = CLOCK.now_ms() - sent_ms
        if answer["type"] == "answer":
            click.echo(f"{call_id} established after {elapsed_ms:.0f} ms")
        else:
            retry_after_ms = answer["fields"].get("wait")
            advice = f", retry after {retry_after_ms} ms" if retry_after_ms else ""
            click.echo(f"{call_id} released with cause {answer['cause']} after {elapsed_ms:.0f} ms{advice}")
    connection.close()


if __name__ == "__main__":
    main()
