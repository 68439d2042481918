"""A zone with one booking server is lost for 5 s and returns cold."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand2"))

import stand

HOST = stand.HOST
PROXIES = 4
SERVERS = 3
CALLS_PER_S = 40.0
BEFORE_S = 14.0
LOST_S = 5.0  # a zone is lost for 5 s and returns cold
LISTED_S = 4.5  # until the list tells of the start; vestland-roster: notice_s up to 5, the page: up to 7
LIMIT_MS = 8050.0  # within 8 s of its end; 50 ms of slack
LEFT_MS = 3000.0


async def play(case: stand.Case) -> list[str]:
    """Steady traffic at four proxies; one of three booking servers is lost and comes back."""
    record, callers = case.record, []
    servers = [stand.BookingServer(record, f"s-{n}", n, HOST, 60.0, 8.0) for n in range(SERVERS)]
    for server in servers:
        server.reports_wait, server.zone = True, stand.ZONES[server.pool]
        await server.start()
    board = stand.Board(record, HOST)
    board.put(*(server.target() for server in servers))
    await board.start()
    for number in range(PROXIES):
        port = stand.free_port(HOST)
        found = stand.vestland_settings(PROXIES, SERVERS) | {"slot-no": number}
        table = stand.platform_table(f"n{number}", f"{HOST}:{port}", board, found)
        await case.start_proxy(f"n{number}", table).wait_ready(HOST, port)
        caller = stand.Caller(record, f"callers of n{number}")
        await caller.connect(HOST, port)
        callers.append(caller)
    generator = random.Random(10)

    async def offer() -> None:
        while True:
            kind = stand.VESTLAND_CLASSES[generator.random() < 0.22]
            call = stand.set_up(stand.new_id(), kind, LEFT_MS, generator.randrange(SERVERS))
            generator.choice(callers).send(call)
            await asyncio.sleep(generator.expovariate(CALLS_PER_S))

    traffic = asyncio.ensure_future(offer())
    await asyncio.sleep(BEFORE_S)
    lost = servers[-1]  # alone in its zone
    if stand.TROUBLE:
        lost.vanish()
        await asyncio.sleep(LOST_S)
        lost.return_cold()
        await asyncio.sleep(LISTED_S)
        board.put(lost.target())
    await asyncio.sleep(12.0)
    traffic.cancel()
    breaches, waits = [], []
    received = {call: found for caller in callers for call, found in caller.received.items()}
    for call, at_ms in lost.lost_ms.items():
        found = received.get(call, [])
        if not found or found[0][1]["type"] != "answer":
            continue  # its answer was on its way
        over = [one_ms - at_ms for one_ms, one in found if one["type"] == "release"]
        waits.append(over[0] if over else float("inf"))
        if waits[-1] > LIMIT_MS:
            breaches.append(f"call {call} of {lost.uid} was released {waits[-1]:.0f} ms after its end")
    ended = 0
    for server in servers:
        for call, ended_ms in server.ended_ms.items():
            found = received.get(call, [])
            if ended_ms > stand.now_ms() - LIMIT_MS or not found or found[0][1]["type"] != "answer":
                continue
            ended += 1
            told = [one_ms - ended_ms for one_ms, one in found if one["type"] == "release"]
            if not told or told[0] > LIMIT_MS:
                breaches.append(f"call {call} of {server.uid} came to its end and was not released in time")
    record.say(f"{ended} calls came to their end at a booking server that was not lost then")
    record.say(f"{len(waits)} calls were lost, told after {sorted(int(one) for one in waits)} ms")
    return breaches


if __name__ == "__main__":
    stand.run_case(Path(__file__).resolve().parent, play)
