"""A booking server's zone is partitioned for 6 s, and clients end calls that stand there meanwhile."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins as s  # noqa: E402

PARTITION_S = 6.0  # STANDING.md, split+mass: "for 6 s a zone is partitioned"
CLIENTS_END_S = 3.0  # after the partition began
ENDED_CALLS = 20
CALLS = 80
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
    far = servers[0]
    try:
        await proxy.ready()
        client = s.Client(record, "client", listen, "127.0.14.1")
        await client.connect()
        for number in range(CALLS):
            client.set_up("slot-confirm", 3600, number % 2)
            await asyncio.sleep(0.11)  # 9 calls a second: one proxy of seven
        await asyncio.sleep(0.5)
        cut_ms = s.now_ms()
        if s.trouble():
            record.note("path", f"the path to {far.uid} is partitioned")
            far.cut_off()
        await asyncio.sleep(CLIENTS_END_S)
        ended = [call for call in client.stands() if call in far.standing][:ENDED_CALLS]
        if len(ended) < ENDED_CALLS / 2:
            record.say("could not run: too few calls stand")
            return 2
        for call in ended:
            client.release(call)
        await asyncio.sleep(PARTITION_S - (s.now_ms() - cut_ms) / 1000.0)
        if s.trouble():
            record.note("path", "the partition is over")
            far.heal()
        due_ms = s.now_ms() + END_BY_MS + s.SLACK_MS
        await asyncio.sleep(END_BY_MS / 1000.0 + 0.5)
        left = [call for call in ended if call not in far.ended or far.ended[call][0] > due_ms]
        for call in left:
            record.note("judge", "left standing", call=call, server=far.uid)
        heard = sum(far.ended.get(call, (0.0, ""))[1].startswith("released") for call in ended)
        record.say(f"{len(ended)} calls ended by their client; {far.uid} was released {heard} of them")
        record.say(f"{len(left)} of them still stand at {far.uid} 8 s after the partition (left standing)")
        return 1 if left else 0
    finally:
        proxy.end()


if __name__ == "__main__":
    sys.exit(s.play(CASE, scenario))
