"""A booking server hangs while calls stand there; the state of its group of lines still comes unasked."""

from __future__ import annotations

import asyncio
import copy
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins as s  # noqa: E402

SERVERS = 20  # STANDING.md: "one of twenty booking servers hangs"
CALL_GAP_S = 0.08  # 12 calls a second: one proxy of five
HOT_SHARE = 0.3  # of the calls name the server that will hang as their first choice
LEFT_MS = 3600  # a try is given up after 30 to 40% of 9 s
BEFORE_S = 12.0
WATCH_S = 24.0
END_BY_MS = 8000.0  # PROTOCOL: "or, if no release could be sent, within 8 s of its end"


def call_length_s() -> float:
    return random.expovariate(1.0 / 8.75)  # vestland-roster: hold_s = [7.8, 9.7]


async def scenario(record: s.Record, folder: Path) -> int:
    servers = [
        s.BookingServer(record, f"s-{n}", n, f"127.0.12.{n + 1}", call_length_s) for n in range(SERVERS)
    ]
    board = s.NoticeBoard(record, "127.0.13.1")
    await board.start(servers)
    for server in servers:
        server.start()
    settings = copy.deepcopy(s.VESTLAND_ROSTER)
    settings["family-info"]["pools-by-class"] = [list(range(SERVERS))] * 2
    listen = s.free_address("127.0.11.1")
    proxy = s.Proxy(record, folder, "n1", listen, s.config("n1", listen, board, settings))
    hanging = servers[7]
    try:
        await proxy.ready()
        client = s.Client(record, "client", listen, "127.0.14.1")
        await client.connect()

        async def place_calls() -> None:
            while True:
                if not client.open:
                    await client.connect()
                hot = random.random() < HOT_SHARE
                client.set_up("read-roster", LEFT_MS, hanging.pool if hot else random.randrange(SERVERS))
                await asyncio.sleep(CALL_GAP_S)

        calls = asyncio.create_task(place_calls())
        await asyncio.sleep(BEFORE_S)
        standing = set(hanging.standing) & set(client.stands())
        if len(standing) < 8:
            record.say("could not run: too few calls stand at the booking server")
            return 2
        if s.trouble():
            hanging.hang()
        hung_ms = s.now_ms()
        await asyncio.sleep(WATCH_S)
        calls.cancel()
        until_ms = s.now_ms()
        due = untold = never = 0
        for call in sorted(standing):
            over_ms, how = hanging.ended.get(call, (float("inf"), "stands"))
            due_ms = over_ms + END_BY_MS + s.SLACK_MS
            if due_ms > until_ms:
                continue
            due += 1
            heard_ms = client.over.get(call, (float("inf"),))[0]
            if heard_ms > due_ms:
                untold += 1
                never += heard_ms == float("inf")
                since_ms = round(over_ms - hung_ms)
                record.note(
                    "judge", "its client was not told", call=call, over_ms_after_hang=since_ms, how=how
                )
        record.say(f"{len(standing)} calls stood at {hanging.uid}, {due} of them came to their end")
        record.say(
            f"{untold} ends not told within 8 s, {never} of these not in {WATCH_S:.0f} s (left standing)"
        )
        return 1 if untold else 0
    finally:
        proxy.end()


if __name__ == "__main__":
    sys.exit(s.play(CASE, scenario))
