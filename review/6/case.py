"""A bad client uses the id of an open request of another client, and takes it back."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))

import stand

HOST = stand.HOST
CALLS = 60
CALL_GAP_S = 0.25
LEFT_MS = 3000.0  # a try is given up after 30 to 40% of 9 s
SLACK_MS = 570.0  # half a second after its time it only earns nothing; 50 ms of slack, 20 ms of the settings
EVERY = 6  # a bad client picks one open request of so many


async def play(case: stand.Case) -> list[str]:
    """Usual callers at 4 calls a second; a bad client beside them."""
    record, board = case.record, stand.Board(case.record, HOST)
    servers = [stand.BookingServer(record, f"s-{n}", n, HOST, 150.0, 8.0) for n in range(2)]
    for server in servers:
        await server.start()
    board.put(*(server.target() for server in servers))
    await board.start()
    port = stand.free_port(HOST)
    table = stand.platform_table("n0", f"{HOST}:{port}", board, stand.settings(1, len(servers)))
    await case.start_proxy("n0", table).wait_ready(HOST, port)
    good = stand.Caller(record, "good")
    await good.connect(HOST, port)
    picked: set[str] = set()
    generator = random.Random(6)
    for number in range(CALLS):
        call = stand.new_id()
        good.send(stand.set_up(call, "slot-lookup", LEFT_MS, number % 2))
        await asyncio.sleep(0.03)
        if stand.TROUBLE and number % EVERY == EVERY - 1 and call not in good.received:
            picked.add(call)
            bad = stand.Caller(record, "bad")
            await bad.connect(HOST, port)
            bad.send(
                stand.set_up(call, "slot-lookup", LEFT_MS, number % 2, "another description\r\n"),
                {"type": "release", "id": call, "fields": {}, "cause": 16},
            )
            await asyncio.sleep(0.1)
            bad.close()
        await asyncio.sleep(CALL_GAP_S * generator.uniform(0.6, 1.4))
    await asyncio.sleep((LEFT_MS + SLACK_MS) / 1000.0 + 0.5)
    breaches = []
    for call, sent_ms in good.sent_ms.items():
        found = good.received.get(call, [])
        by_ms = sent_ms + LEFT_MS + SLACK_MS
        note = "its id was used by the bad client" if call in picked else "a usual call"
        if not found:
            breaches.append(f"call {call} got no final outcome within {by_ms - sent_ms:.0f} ms ({note})")
        elif found[0][0] > by_ms:
            breaches.append(f"call {call} got its outcome after {found[0][0] - sent_ms:.0f} ms ({note})")
        elif sum(1 for _, one in found if one["type"] == "answer") > 1:
            breaches.append(f"call {call} got two answers ({note})")
    record.say(f"{len(good.sent_ms)} calls of the usual client, {len(picked)} ids used by the bad one")
    if stand.TROUBLE and not picked:
        raise stand.CaseError("no request was open when the bad client came")
    return breaches


if __name__ == "__main__":
    stand.run_case(Path(__file__).resolve().parent, play)
