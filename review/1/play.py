"""A client whose calls stand loses its only connection, connects again and listens."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins as s  # noqa: E402

CALLS = 90
PAUSE_S = 1.5  # slot-booking-eu: clients, backoff_ms = [750, 1600]
LEFT_MS = 3600  # a try is given up after 30 to 40% of 9 s
WATCH_S = 24.0
END_BY_MS = 8000.0  # PROTOCOL: "or, if no release could be sent, within 8 s of its end"


def call_length_s() -> float:
    return random.expovariate(1.0 / 12.9)  # slot-confirm: 11 to 15 s on average


async def scenario(record: s.Record, folder: Path) -> int:
    servers = [s.BookingServer(record, f"s-{n}", n, f"127.0.12.{n + 1}", call_length_s) for n in range(2)]
    board = s.NoticeBoard(record, "127.0.13.1")
    await board.start(servers)
    for server in servers:
        server.start()
    listen = s.free_address("127.0.11.1")
    proxy = s.Proxy(record, folder, "n1", listen, s.config("n1", listen, board, s.SLOT_BOOKING_EU))
    try:
        await proxy.ready()
        path = s.ClientPath(record, listen, "127.0.15.1")
        await path.start()
        client = s.Client(record, "client", path.address, "127.0.14.1")
        await client.connect()
        for number in range(CALLS):
            client.set_up("slot-confirm", LEFT_MS, number % 2)
            await asyncio.sleep(0.11)  # 9 calls a second: one proxy of seven
        await asyncio.sleep(0.5)
        calls = set(client.stands())
        if len(calls) < CALLS / 4 or len(client.outcomes) < CALLS:
            record.say("could not run: too few calls stand, or a set-up has no answer")
            return 2
        if s.trouble():
            path.reset_all()  # the connection rests: no set-up is open on it
        until_ms = s.now_ms() + WATCH_S * 1000.0
        connections = 1
        while s.now_ms() < until_ms:
            if not client.open:
                await asyncio.sleep(PAUSE_S)
                await client.connect()
                connections += 1
            await asyncio.sleep(0.005)
        due = untold = never = 0
        for server in servers:
            for call, (over_ms, _) in server.ended.items():
                due_ms = over_ms + END_BY_MS + s.SLACK_MS
                if call not in calls or due_ms > until_ms:
                    continue
                due += 1
                heard_ms = client.over.get(call, (float("inf"),))[0]
                if heard_ms > due_ms:
                    untold += 1
                    never += heard_ms == float("inf")
                    record.note("judge", "its client was not told within 8 s of its end", call=call)
        record.say(
            f"{len(calls)} calls stood when the connection ended; the client connected {connections} times"
        )
        record.say(
            f"{due} of them came to their end; {untold} ends not told within 8 s, {never} of these never"
        )
        return 1 if untold else 0
    finally:
        proxy.end()


if __name__ == "__main__":
    sys.exit(s.play(CASE, scenario))
