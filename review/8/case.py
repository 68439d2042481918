"""A set-up crosses the end of a resting WebSocket, and its client sends it once more on a new one."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))

import stand

HOST = stand.HOST
ROUNDS = 12
CALLS = 4  # set-ups that the client sends at once
LEFT_MS = 3000.0
ANSWER_MS = 15.0
REST_S = 1.5  # before each set-up: no call of the client is open or stands
AGAIN_S = 0.03  # from the end of the WebSocket until the client has a new one; the page allows 50 ms
SLACK_MS = 570.0  # half a second after its time; 50 ms of slack, 20 ms of the settings


class Relay:
    """Passes bytes between the client and the front; where armed, it ends the connection after a message."""

    def __init__(self, port: int) -> None:
        self.port, self._to, self.armed = stand.free_port(HOST), port, False

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        front_reader, front_writer = await asyncio.open_connection(HOST, self._to)

        async def back() -> None:
            with contextlib.suppress(OSError):
                while data := await front_reader.read(65536):
                    writer.write(data)
            writer.close()

        task = asyncio.ensure_future(back())
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                front_writer.write(data)
                if self.armed:
                    self.armed = False
                    task.cancel()
                    break
        front_writer.close()
        writer.close()


async def play(case: stand.Case) -> list[str]:
    """One gate system with one WebSocket at a time; it sets up some calls, one lot after another."""
    record = case.record
    servers = [stand.BookingServer(record, f"s-{n}", n, HOST, ANSWER_MS, 0.5) for n in range(2)]
    for server in servers:
        await server.start()
    board = stand.Board(record, HOST)
    board.put(*(server.target() for server in servers))
    await board.start()
    port, websocket_port = stand.free_port(HOST), stand.free_port(HOST)
    operator_file = case.folder / "operator.toml"
    operator_file.write_text(f'[websocket]\nlisten = "{HOST}:{websocket_port}"\n')
    table = stand.platform_table("n0", f"{HOST}:{port}", board, stand.settings(1, len(servers)))
    proxy = case.start_proxy("n0", table, f" --config {operator_file}")
    await proxy.wait_ready(HOST, port)
    relay = Relay(websocket_port)
    await relay.start()
    gate = stand.WebSocketCaller(record, "gate system")
    await gate.connect(HOST, relay.port)
    for _ in range(ROUNDS):
        setups = [stand.set_up(stand.new_id(), "slot-lookup", LEFT_MS, number % 2) for number in range(CALLS)]
        relay.armed = stand.TROUBLE
        gate.send(*setups)
        if stand.TROUBLE:
            sent_ms = {one["id"]: gate.sent_ms[one["id"]] for one in setups}
            while not gate.closed:
                await asyncio.sleep(0.001)
            await asyncio.sleep(AGAIN_S)
            await gate.connect(HOST, relay.port)
            for one in setups:
                one["fields"]["left"] = f"{LEFT_MS - (stand.now_ms() - sent_ms[one['id']]):.0f}"
            gate.send(*setups)
            gate.sent_ms |= sent_ms
        await asyncio.sleep(REST_S)
    await asyncio.sleep((LEFT_MS + SLACK_MS) / 1000.0)
    breaches = []
    for call, sent_ms in gate.sent_ms.items():
        messages = gate.received.get(call, [])
        answers = [at_ms for at_ms, one in messages if one["type"] == "answer"]
        if not messages or messages[0][0] > sent_ms + LEFT_MS + SLACK_MS:
            breaches.append(f"call {call} got no final outcome")
        elif len(answers) > 1:
            breaches.append(f"call {call} got {len(answers)} answers on one WebSocket")
    record.say(f"{len(gate.sent_ms)} calls")
    return breaches


if __name__ == "__main__":
    stand.run_case(Path(__file__).resolve().parent, play)
