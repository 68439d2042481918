"""Second front: a client's WebSocket is closed while calls stand; the client is back after 0.75 s."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins as s  # noqa: E402

CALL_GAP_S = 0.2  # of each of the three clients
LEFT_MS = 3600  # slot-booking-eu: a try is given up after 30 to 40% of 9 s
BEFORE_S = 10.0
PAUSE_S = 0.75  # slot-booking-eu: clients, backoff_ms = [750, 1600]
WATCH_S = 22.0
END_BY_MS = 8000.0  # PROTOCOL: "or, if no release could be sent, within 8 s of its end"


def call_length_s() -> float:
    return random.expovariate(1.0 / 8.6)  # slot-booking-eu: hold_s = [7.5, 9.7]


async def scenario(record: s.Record, folder: Path) -> int:
    servers = [s.BookingServer(record, f"s-{n}", n, s.host(s.SERVER, n), call_length_s) for n in range(2)]
    board = s.NoticeBoard(record, s.host(s.BOARD))
    await board.start(servers)
    for server in servers:
        server.start()
    listen, websocket = s.free_address(s.host(s.PROXY)), s.free_address(s.host(s.PROXY, 1))
    table = s.config("n1", listen, board, s.SLOT_BOOKING_EU)
    operator = f'[websocket]\nlisten = "{websocket}"\n'  # as in deploy/operator.toml
    proxy = s.Proxy(record, folder, "n1", listen, table, operator)
    try:
        await proxy.ready()
        paths = [
            s.ClientPath(record, listen, s.host(s.PATH)),
            s.ClientPath(record, websocket, s.host(s.PATH, 1)),
        ]
        for path in paths:
            await path.start()
        lines = s.Client(record, "lines", paths[0].address, s.host(s.CLIENT))
        gate = s.WebSocketClient(record, "websocket", paths[1].address, s.host(s.CLIENT, 1))
        # Not judged: it also repeats the set-ups of its standing calls, a way that docs/websocket.md offers.
        repeating = s.WebSocketClient(record, "repeating", paths[1].address, s.host(s.CLIENT, 2))
        clients = [lines, gate, repeating]
        for client in clients:
            await client.connect()

        async def place_calls(client: s.Client) -> None:
            number = 0
            while True:
                if client.open:
                    client.set_up("slot-lookup", LEFT_MS, number % 2)
                    number += 1
                await asyncio.sleep(CALL_GAP_S)

        calls = [asyncio.create_task(place_calls(client)) for client in clients]
        await asyncio.sleep(BEFORE_S)
        stood = {client.name: set(client.stands()) for client in clients}
        if s.trouble():
            for client in clients:
                paths[client is not lines].lose(client)
            await asyncio.sleep(PAUSE_S)
            for client in clients:
                await client.connect()
            for call in repeating.stands():
                repeating.repeat_set_up(call, "slot-lookup", LEFT_MS, 0)
        back_ms = s.now_ms()
        await asyncio.sleep(WATCH_S)
        for task in calls:
            task.cancel()
        proxy.check()
        if min(map(len, stood.values())) < 10:
            record.say("could not run: too few calls stood when the connections were closed")
            return 2
        until_ms = s.now_ms()

        def untold(client: s.Client, among: set[str]) -> tuple[int, list[str]]:
            """How many of these calls ended long enough ago, and those whose client was not told in time."""
            due, found = 0, []
            for call in among:
                for server in servers:
                    over_ms, how = server.ended.get(call, (float("inf"), ""))
                    due_ms = over_ms + END_BY_MS + s.SLACK_MS
                    if due_ms <= until_ms and how.startswith("came to its end"):
                        due += 1
                        if client.over.get(call, (float("inf"),))[0] > due_ms:
                            found.append(call)
            return due, found

        for client in clients:
            due, found = untold(client, stood[client.name])
            later_due, later = untold(client, set(client.answered_ms) - stood[client.name])
            never = sum(call not in client.over for call in found)
            twice = sum(len(client.outcomes[call]) > 1 for call in stood[client.name])
            record.say(
                f"{client.name}: {len(found)} of {due} ends not told within 8 s, of calls that stood when its"
                f" connection was closed, {never} of these never; {len(later)} of {later_due} of later calls;"
                f" {twice} answered twice"
            )
        missed = [call for client in (lines, gate) for call in untold(client, stood[client.name])[1]]
        ended = {call: over_ms for server in servers for call, (over_ms, _) in server.ended.items()}
        for call in missed:
            since_ms = round(ended[call] - back_ms)
            record.note("judge", "its client was not told", call=call, over_ms_after_return=since_ms)
        return 1 if missed else 0
    finally:
        proxy.end()


if __name__ == "__main__":
    sys.exit(s.play(CASE, scenario))
