"""The notice board: numbered events, by a poll that is always open."""

from __future__ import annotations

import json
from typing import Any

from loguru import logger

from capershelf import interface as api
from capershelf.core.clock import Clock, Inbox
from capershelf.core.model import LocatedServer, ServerListUpdate
from capershelf.net.addresses import parse_endpoint
from capershelf.net.http import HttpClient
from capershelf.registry.source import Tell

# A board that has gone silent is found out after these two: its news counts as told 2 s after the linger.
LINGER_MS = 1000.0
GRACE_MS = 500.0  # an answer that is so late does not come any more
AGAIN_MS = (0.0, 50.0, 100.0, 200.0, 400.0)  # pauses after failures
# An answer comes at least so often from a board that can be had.  Where none has, this process stood still or
# was starved, and what the board has told meanwhile lies unread.
FRESH_MS = LINGER_MS + GRACE_MS + 100.0
LATE_MS = 100.0  # an answer may come so long after the board's wait
OWN_MS = 150.0  # a poll that is found over so late was not the board's to lose
BACK = 3  # answers in a row that number back: the board has begun anew, and so does this side
NAME_LENGTH = 64  # of a zone or service, at the most
WS = "ws://"
STATES = {
    "up": api.ServerStatus.ACTIVE,
    "draining": api.ServerStatus.DRAINING,
    "removed": api.ServerStatus.REMOVED,
}
SHUT = {api.ServerStatus.ACTIVE: 0, api.ServerStatus.DRAINING: 1, api.ServerStatus.REMOVED: 2}


def read_notices(found: Any, after: int, vouches: bool = False) -> tuple[int, list[ServerListUpdate]]:
    """The number of the last event and the news after `after`; ValueError for what is not of the form.

    A notice that can't be read, or whose number goes back, is named in the log, and the others are taken:
    guards a list from standing still for one odd entry.  vouches: the list is a notice board's, which shows
    every late start; an operator's file shows none.
    """
    if not isinstance(found, dict) or not _whole(found.get("rev")):
        raise ValueError("notices without a rev")
    notices = found.get("notices") or []
    if not isinstance(notices, list):
        raise ValueError("its notices are not a list")
    news, before = [], after
    for notice in notices:
        try:
            if not isinstance(notice, dict):
                raise ValueError("a notice is not an object")
            number = notice.get("rev", after + 1)
            if not _whole(number):
                raise ValueError(f"a notice's rev is no number: {number!r}")
            if number <= after:
                if number > before:
                    raise ValueError(f"notice {number} comes after notice {after}")
                continue  # told before
            after = number
            if (pool := notice.get("pool")) is not None:
                news.append(read_pool(pool, vouches))
        except ValueError as problem:
            odd(problem)
    return found["rev"], news


def _whole(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def odd(problem: object) -> None:
    logger.warning("notice board: passed over: {problem}", event="board-odd", problem=problem)


def read_pool(pool: Any, vouches: bool) -> ServerListUpdate:
    """One event's news; targets that can't be read are named in the log and stay as they were."""
    if not isinstance(pool, dict) or not isinstance(pool.get("targets"), list):
        raise ValueError("a pool without targets")
    servers: dict[str, LocatedServer] = {}
    kept: set[str] = set()
    for target in pool["targets"]:
        uid = target.get("uid") if isinstance(target, dict) else None
        if not isinstance(uid, str) or not uid:
            odd(f"a target without a uid: {str(target)[:80]}")
            continue
        try:
            located = read_target(uid, target)
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            odd(f"target {uid[:40]} can't be read: {problem!r}"[:200])
            kept.add(uid)
            continue
        if (twice := servers.get(uid)) is not None:
            odd(f"target {uid[:40]} is listed twice")
            if SHUT[twice.listed.status] >= SHUT[located.listed.status]:
                continue  # that it takes nothing new counts, whatever else is said
        servers[uid] = located
    whole = bool(pool.get("all", False))
    return ServerListUpdate(0, whole, tuple(servers.values()), vouches, frozenset(kept - set(servers)))


def read_target(uid: str, target: dict[str, Any]) -> LocatedServer:
    """One target; of one that takes nothing new only the state has to be readable."""
    standing = STATES[target["state"]]
    try:
        place, endpoint = int(target["pod_group"]), str(target["endpoint"])
        parse_endpoint(endpoint.removeprefix(WS).partition("/")[0])
        started_ms = float(target.get("boot_ms") or 0)
    except (KeyError, TypeError, ValueError):
        if standing is api.ServerStatus.ACTIVE:
            raise
        place, endpoint, started_ms = -1, "", 0.0
    listed = api.ListedServer(uid, place, standing, started_ms or None)
    return LocatedServer(listed, endpoint, name_of(target, "az"), name_of(target, "service"))


def name_of(target: dict[str, Any], key: str) -> str:
    """A zone's or service's name, empty where none is told; ValueError for what is no short text."""
    name = target.get(key, "")
    if not isinstance(name, str) or len(name) > NAME_LENGTH:
        raise ValueError(f"its {key} is no name: {str(name)[:40]!r}")
    return name


class Board:
    """Follows one notice board, beginning after the events that were known at the start."""

    def __init__(self, endpoint: str, known: Any, clock: Clock, tell: Tell) -> None:
        self._client = HttpClient(endpoint, clock)
        self._clock, self._tell = clock, tell
        self._ended: Inbox[bool] = Inbox(clock)
        self._over = False
        self._back = 0  # answers in a row whose last event is before the last one here
        self._heard_ms = self._by_ms = clock.now_ms()  # of the last answer; when that to the last poll is due
        self._away = False  # the board could not be had
        self._rev, news = read_notices(known, -1, vouches=True)
        for one in news:
            tell(one)

    def withdraw(self) -> None:
        """The board holds booking servers only."""

    def move(self, address: str) -> None:
        """The numbering goes on: the new address is asked for what follows the last event here."""
        parse_endpoint(address)
        self._client.set_endpoint(address)

    def fresh(self) -> bool:
        """Whether the list here is the board's of just now, or it can't be had.  Any thread may ask."""
        return self._away or self._clock.now_ms() - self._heard_ms <= FRESH_MS

    def end(self) -> None:
        self._over = True
        self._ended.put(True)

    def run(self) -> None:
        failures = 0
        while not self._over:
            try:
                self.poll()
                failures = 0
            except (OSError, ValueError, RecursionError) as problem:
                self._away = self._clock.now_ms() - self._by_ms <= OWN_MS
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
        linger_ms = LINGER_MS if self.fresh() else 0.0  # no waiting for what may have happened long ago
        path = f"/board/poll?watch={self._rev}&linger={linger_ms:.0f}"
        asked_ms = self._clock.now_ms()
        self._by_ms = asked_ms + linger_ms + GRACE_MS
        status, body = self._client.request("GET", path, self._by_ms)
        if status != 200:
            raise ValueError(f"answered {status}")
        rev, news = read_notices(json.loads(body), self._rev, vouches=True)
        self._back = self._back + 1 if rev < self._rev else 0
        if self._back == 1:
            odd(f"its last event is {rev}, and {self._rev} was told before")
        if self._back >= BACK:  # no old answer that came late: the list would stand still for long
            logger.warning("notice board: numbered anew, its whole list is asked for", event="board-anew")
            self._rev, self._back = 0, 0
            return
        self._rev = max(self._rev, rev)  # guards against old events told again as new
        for one in news:
            self._tell(one)
        # Once all of it is told.  One that is read late may have lain here while the board had more to tell.
        self._heard_ms = min(self._clock.now_ms(), asked_ms + linger_ms + LATE_MS)
        self._away = False
