"""Two clients behind one address; the connection of one is reset while its calls stand."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins as s  # noqa: E402

ADDRESS = "127.0.14.1"  # of both clients, as behind the router of one office
CALLS = 40
PAUSE_S = 0.75  # slot-booking-eu: clients, backoff_ms = [750, 1600]
LEFT_MS = 3600  # a try is given up after 30 to 40% of 9 s
WATCH_S = 22.0
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
        paths = [s.ClientPath(record, listen, f"127.0.15.{n + 1}") for n in range(2)]
        for path in paths:
            await path.start()
        one, other = (s.Client(record, f"client {n}", paths[n].address, ADDRESS) for n in range(2))
        for client in (one, other):
            await client.connect()
        for number in range(CALLS):
            one.set_up("slot-confirm", LEFT_MS, number % 2)
            if number % 10 == 0:
                other.set_up("slot-confirm", LEFT_MS, number % 2)
            await asyncio.sleep(0.11)  # 9 calls a second: one proxy of seven
        await asyncio.sleep(0.5)
        calls = set(one.stands())
        if len(calls) < CALLS / 4:
            record.say("could not run: too few calls stand")
            return 2
        one.set_up("slot-confirm", LEFT_MS, 0)  # not judged: it is open when the connection is reset
        await asyncio.sleep(0.004)
        if s.trouble():
            paths[0].reset_all()
        until_ms = s.now_ms() + WATCH_S * 1000.0

        async def go_on(client: s.Client) -> None:
            """Connect again after the usual pause, and place a call each second."""
            while s.now_ms() < until_ms:
                if not client.open:
                    await asyncio.sleep(PAUSE_S)
                    await client.connect()
                client.set_up("slot-lookup", LEFT_MS, 0)
                await asyncio.sleep(1.0)

        await asyncio.gather(go_on(one), go_on(other))
        untold = 0
        for server in servers:
            for call, (over_ms, _) in server.ended.items():
                due_ms = over_ms + END_BY_MS + s.SLACK_MS
                if call in calls and due_ms < until_ms and one.over.get(call, (due_ms + 1.0,))[0] > due_ms:
                    untold += 1
                    told = call in other.foreign
                    record.note("judge", "its client was never told", call=call, client_1_was_told=told)
        foreign = len(calls & set(other.foreign))
        record.say(f"{len(calls)} calls of client 0 stood; the ends of {foreign} were sent to client 1")
        record.say(f"{untold} calls were over and client 0 was not told within 8 s (left standing)")
        return 1 if untold else 0
    finally:
        proxy.end()


if __name__ == "__main__":
    sys.exit(s.play(CASE, scenario))
