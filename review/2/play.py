"""SIGHUP with a broken file (a deadline of 0) that names another notice board; then a server drains."""

from __future__ import annotations

import asyncio
import copy
import random
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import standins as s  # noqa: E402

# vestland-roster: deploy, extra = [6, 10] (the drain), less notice_s = [1.1, 5]: the board tells of it late.
DRAIN_S = 8.9
GRACE_MS = 1000.0  # vestland-roster: drain_grace_ms
TOLD_MS = 7000.0  # PROTOCOL: "counts as told no later than 7 s afterwards, whether it arrived or not"
CALL_GAP_S = 0.08  # 12 calls a second: one proxy of five


def call_length_s() -> float:
    return random.expovariate(1.0 / 8.75)  # vestland-roster: hold_s = [7.8, 9.7]


async def scenario(record: s.Record, folder: Path) -> int:
    servers = [
        s.BookingServer(record, f"s-{n}", n, s.host(s.SERVER, n), call_length_s, reports_wait=True)
        for n in range(2)
    ]
    board = s.NoticeBoard(record, s.host(s.BOARD))
    await board.start(servers)
    for server in servers:
        server.start()
    listen = s.free_address(s.host(s.PROXY))
    table = s.config("n1", listen, board, s.VESTLAND_ROSTER)
    proxy = s.Proxy(record, folder, "n1", listen, table)
    leaving = servers[1]
    try:
        await proxy.ready()
        client = s.Client(record, "client", listen, s.host(s.CLIENT))
        await client.connect()

        async def place_calls() -> None:
            number = 0
            while True:
                if not client.open:
                    await client.connect()
                client.set_up("save-roster" if number % 5 == 0 else "read-roster", 3600, number % 2)
                number += 1
                await asyncio.sleep(CALL_GAP_S)

        calls = asyncio.create_task(place_calls())
        await asyncio.sleep(4.0)
        changed = copy.deepcopy(table)
        if s.trouble():
            changed["settings"]["categories"][0]["deadline"] = 0.0
            changed["board"] = s.free_address(s.host(s.BOARD, 1))  # where nothing listens
        proxy.replace_config(changed)
        record.note("platform", "the file is replaced, SIGHUP", broken=s.trouble(), board=changed["board"])
        proxy.process.send_signal(signal.SIGHUP)
        hup_ms = s.now_ms()
        await asyncio.sleep(random.uniform(4.0, 6.0))
        waiter = asyncio.create_task(s.told_by_waiting(board, len(board.events)))
        await asyncio.sleep(1.0)
        leaving.state = "draining"
        before = len(leaving.set_ups)
        notice_ms = board.publish([leaving])
        await asyncio.sleep(DRAIN_S)
        leaving.die()
        leaving.state = "removed"
        board.publish([leaving])
        await asyncio.sleep(1.0)
        calls.cancel()
        proxy.check()
        if before < 10:
            record.say("could not run: too few set-ups came to the booking server before its drain")
            return 2
        waited_ms = waiter.result() - notice_ms if waiter.done() else float("inf")
        record.say(f"a poller of the board in force was told {waited_ms:.0f} ms after the notice")
        polls = sum(at_ms > hup_ms + 1000.0 for at_ms in board.asked)
        record.say(f"{polls} polls of the proxy at the board in force later than 1 s after SIGHUP")
        due_ms = notice_ms + TOLD_MS + s.SLACK_MS + GRACE_MS + s.SLACK_MS
        after = [at_ms - notice_ms for at_ms, _ in leaving.set_ups if at_ms > notice_ms]
        late = [(at_ms, call) for at_ms, call in leaving.set_ups if at_ms > due_ms]
        for at_ms, call in late:
            how = leaving.ended.get(call, (0.0, "not set up"))[1]
            since_ms = round(at_ms - notice_ms)
            record.note("judge", "sent too late", call=call, ms_after_notice=since_ms, end=how)
        cut = sum(how == "died" for _, how in leaving.ended.values())
        last_ms = max(after, default=0.0)
        record.say(
            f"{len(after)} set-ups to {leaving.uid} after the notice of its drain, the last {last_ms:.0f} ms"
            f" after it; {cut} calls cut when it stopped"
        )
        record.say(f"{len(late)} set-ups later than {due_ms - notice_ms:.0f} ms after the notice (drain)")
        return 1 if late else 0
    finally:
        proxy.end()


if __name__ == "__main__":
    sys.exit(s.play(CASE, scenario))
