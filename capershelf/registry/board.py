"""The notice board: numbered events, by a poll that is always open."""

from __future__ import annotations

import json
from typing import Any

from loguru import logger

from capershelf import interface as api
from capershelf.core.clock import Clock, Inbox
from capershelf.core.model import Located, News
from capershelf.net.connection import parse_endpoint
from capershelf.net.http import HttpClient
from capershelf.registry.source import Tell

# A board that has gone silent is found out after these two: its news counts as told 2 s after the linger.
LINGER_MS = 1000.0
GRACE_MS = 500.0  # an answer that is so late does not come any more
AGAIN_MS = (0.0, 50.0, 100.0, 200.0, 400.0)  # pauses after failures
STATES = {"up": api.Standing.ACTIVE, "draining": api.Standing.DRAINING, "removed": api.Standing.GONE}


def read_notices(found: Any, after: int, vouches: bool = False) -> tuple[int, list[News]]:
    """The number of the last event and the news after `after`; ValueError for what is not of the form.

    vouches: the list is a notice board's, which shows every late start; an operator's file shows none.
    """
    if not isinstance(found, dict) or not isinstance(found.get("rev"), int):
        raise ValueError("notices without a rev")
    news = []
    for notice in found.get("notices") or []:
        if not isinstance(notice, dict):
            raise ValueError("a notice is not an object")
        number = notice.get("rev", after + 1)
        if not isinstance(number, int) or number <= after:
            continue
        if (pool := notice.get("pool")) is not None:
            news.append(read_pool(pool, vouches))
    return found["rev"], news


def read_pool(pool: Any, vouches: bool) -> News:
    if not isinstance(pool, dict) or not isinstance(pool.get("targets"), list):
        raise ValueError("a pool without targets")
    servers = []
    for target in pool["targets"]:
        try:
            started_ms = float(target.get("boot_ms") or 0)
            listed = api.ListedServer(
                str(target["uid"]), int(target["pod_group"]), STATES[target["state"]], started_ms or None
            )
            servers.append(Located(listed, str(target["endpoint"])))
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            raise ValueError(f"a target that can't be read: {problem!r}") from problem
    return News(int(pool.get("rev", 0)), bool(pool.get("all", False)), tuple(servers), vouches)


class Board:
    """Follows one notice board, beginning after the events that were known at the start."""

    def __init__(self, endpoint: str, known: Any, clock: Clock, tell: Tell) -> None:
        self._client = HttpClient(endpoint, clock)
        self._clock, self._tell = clock, tell
        self._ended: Inbox[bool] = Inbox(clock)
        self._over = False
        self._rev, news = read_notices(known, -1, vouches=True)
        for one in news:
            tell(one)

    def withdraw(self) -> None:
        """The board holds booking servers only."""

    def move(self, address: str) -> None:
        """The numbering goes on: the new address is asked for what follows the last event here."""
        parse_endpoint(address)
        self._client.move(address)

    def end(self) -> None:
        self._over = True
        self._ended.put(True)

    def run(self) -> None:
        failures = 0
        while not self._over:
            try:
                self.poll()
                failures = 0
            except (OSError, ValueError) as problem:
                if failures == 0:
                    logger.warning("notice board: {problem}", event="board-failed", problem=problem)
                pause_ms = AGAIN_MS[min(failures, len(AGAIN_MS) - 1)]
                failures += 1
                self._ended.take(self._clock.now_ms() + pause_ms)
            except Exception:  # the board must not stop service, whatever it sends
                logger.exception("notice board: an answer could not be dealt with", event="board-fault")
                self._ended.take(self._clock.now_ms() + AGAIN_MS[-1])
        self._client.close()

    def poll(self) -> None:
        """One poll, and what it brings."""
        path = f"/board/poll?watch={self._rev}&linger={LINGER_MS:.0f}"
        status, body = self._client.request("GET", path, self._clock.now_ms() + LINGER_MS + GRACE_MS)
        if status != 200:
            raise ValueError(f"answered {status}")
        rev, news = read_notices(json.loads(body), self._rev, vouches=True)
        self._rev = max(self._rev, rev)  # guards against old events told again as new
        for one in news:
            self._tell(one)
