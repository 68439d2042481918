"""The notice board: a numbered event log, followed by long polling."""

from __future__ import annotations

import json
from typing import Any

from loguru import logger

from capershelf.core.clock import Clock, Inbox
from capershelf.core.model import LocatedServer, ServerListUpdate
from capershelf.interface import ListedServer, ServerStatus
from capershelf.net.addresses import parse_endpoint
from capershelf.net.http import HttpClient
from capershelf.registry.source import PublishUpdate

# A board that stops answering is noticed after the sum of these two.  An event counts as known to the proxies
# 2 s after the linger.
LINGER_MS = 1000.0
ANSWER_GRACE_MS = 500.0  # after the linger; a poll that is still unanswered then has failed
RETRY_DELAYS_MS = (0.0, 50.0, 100.0, 200.0, 400.0)  # by the number of failures in a row
# A reachable board answers at least this often.  A longer gap means that this process was suspended or
# starved of processor time, and that later events may be waiting unread.
MAX_LIST_AGE_MS = LINGER_MS + ANSWER_GRACE_MS + 100.0
MAX_TRANSIT_MS = 100.0  # from the end of the board's linger to the arrival of its answer
MAX_OVERRUN_MS = 150.0  # past its deadline; a poll that fails later than that was delayed by this process
STALE_ANSWERS_BEFORE_RESYNC = 3  # in a row; the board has then restarted its numbering
MAX_NAME_LENGTH = 64  # of a zone or service
WEBSOCKET_SCHEME = "ws://"
STATES = {
    "up": ServerStatus.ACTIVE,
    "draining": ServerStatus.DRAINING,
    "removed": ServerStatus.REMOVED,
}
RESTRICTIVENESS = {ServerStatus.ACTIVE: 0, ServerStatus.DRAINING: 1, ServerStatus.REMOVED: 2}


def parse_notices(
    document: Any, after: int, reports_all_starts: bool = False
) -> tuple[int, list[ServerListUpdate]]:
    """Return the number of the last event and the updates after `after`; ValueError for a malformed document.

    A notice that is malformed or out of sequence is logged and skipped, so that one bad entry does not block
    the rest of the list.  reports_all_starts: the document comes from a notice board, which shows every
    restart of a server; a list in an operator's file shows none.
    """
    if not isinstance(document, dict) or not _is_integer(document.get("rev")):
        raise ValueError("the document has no integer rev")
    notices = document.get("notices") or []
    if not isinstance(notices, list):
        raise ValueError("notices is not a list")
    updates, before = [], after
    for notice in notices:
        try:
            if not isinstance(notice, dict):
                raise ValueError("a notice is not an object")
            number = notice.get("rev", after + 1)
            if not _is_integer(number):
                raise ValueError(f"the rev of a notice is not an integer: {number!r}")
            if number <= after:
                if number > before:
                    raise ValueError(f"notice {number} comes after notice {after}")
                continue  # processed in an earlier answer
            after = number
            if (pool := notice.get("pool")) is not None:
                updates.append(parse_pool(pool, reports_all_starts))
        except ValueError as problem:
            log_skipped(problem)
    return document["rev"], updates


def _is_integer(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def log_skipped(problem: object) -> None:
    """Log an entry or answer that is ignored."""
    logger.warning("notice board: skipped: {problem}", event="board-odd", problem=problem)


def parse_pool(pool: Any, reports_all_starts: bool) -> ServerListUpdate:
    """Parse one event; targets that cannot be parsed are logged and keep their previous entry."""
    if not isinstance(pool, dict) or not isinstance(pool.get("targets"), list):
        raise ValueError("a pool has no list of targets")
    servers: dict[str, LocatedServer] = {}
    retained: set[str] = set()
    for target in pool["targets"]:
        uid = target.get("uid") if isinstance(target, dict) else None
        if not isinstance(uid, str) or not uid:
            log_skipped(f"a target without a uid: {str(target)[:80]}")
            continue
        try:
            located = parse_target(uid, target)
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            log_skipped(f"target {uid[:40]} cannot be parsed: {problem!r}"[:200])
            retained.add(uid)
            continue
        if (duplicate := servers.get(uid)) is not None:
            log_skipped(f"target {uid[:40]} is listed twice")
            if RESTRICTIVENESS[duplicate.listed.status] >= RESTRICTIVENESS[located.listed.status]:
                continue  # the most restrictive status of the duplicates applies
        servers[uid] = located
    complete = bool(pool.get("all", False))
    return ServerListUpdate(
        0, complete, tuple(servers.values()), reports_all_starts, frozenset(retained - set(servers))
    )


def parse_target(uid: str, target: dict[str, Any]) -> LocatedServer:
    """Parse one target; for a server that accepts no new calls only the state has to be valid."""
    status = STATES[target["state"]]
    try:
        pool, endpoint = int(target["pod_group"]), str(target["endpoint"])
        parse_endpoint(endpoint.removeprefix(WEBSOCKET_SCHEME).partition("/")[0])
        started_ms = float(target.get("boot_ms") or 0)
    except (KeyError, TypeError, ValueError):
        if status is ServerStatus.ACTIVE:
            raise
        pool, endpoint, started_ms = -1, "", 0.0
    listed = ListedServer(uid, pool, status, started_ms or None)
    return LocatedServer(listed, endpoint, parse_name(target, "az"), parse_name(target, "service"))


def parse_name(target: dict[str, Any], key: str) -> str:
    """Return a zone's or service's name, empty if absent; ValueError if it is not a short string."""
    name = target.get(key, "")
    if not isinstance(name, str) or len(name) > MAX_NAME_LENGTH:
        raise ValueError(f"{key} is not a valid name: {str(name)[:40]!r}")
    return name


class Board:
    """Follows one notice board, starting after the events in the configuration file."""

    def __init__(self, endpoint: str, known: Any, clock: Clock, publish: PublishUpdate) -> None:
        self._client = HttpClient(endpoint, clock)
        self._clock, self._publish = clock, publish
        self._wake_up: Inbox[bool] = Inbox(clock)  # ends a retry delay at stop()
        self._stopped = False
        self._stale_answers = 0  # in a row, whose last event precedes the last one processed here
        # When the list was last known to be current, and the deadline of the last poll.
        self._current_at_ms = self._poll_deadline_ms = clock.now_ms()
        self._unreachable = False
        self._rev, updates = parse_notices(known, -1, reports_all_starts=True)
        for update in updates:
            publish(update)

    def deregister(self) -> None:
        """Do nothing: the board lists booking servers only, not proxies."""

    def move(self, address: str) -> None:
        """Continue at another address with the events after the last one processed here."""
        parse_endpoint(address)
        self._client.set_endpoint(address)

    def is_current(self) -> bool:
        """Whether the list is up to date, or the board is unreachable.  Callable from any thread."""
        return self._unreachable or self._clock.now_ms() - self._current_at_ms <= MAX_LIST_AGE_MS

    def stop(self) -> None:
        """Stop polling; `run` returns when the poll in progress has ended."""
        self._stopped = True
        self._wake_up.put(True)

    def run(self) -> None:
        """Poll until stopped; a failed poll is retried and the last list stays in use."""
        failures = 0
        while not self._stopped:
            try:
                self.poll()
                failures = 0
            except (OSError, ValueError, RecursionError) as problem:
                self._unreachable = self._clock.now_ms() - self._poll_deadline_ms <= MAX_OVERRUN_MS
                if failures == 0:
                    logger.warning("notice board: {problem}", event="board-failed", problem=problem)
                delay_ms = RETRY_DELAYS_MS[min(failures, len(RETRY_DELAYS_MS) - 1)]
                failures += 1
                self._wake_up.take(self._clock.now_ms() + delay_ms)
            except Exception:  # no answer of the board may stop this thread
                logger.exception("notice board: an answer could not be processed", event="board-fault")
                self._wake_up.take(self._clock.now_ms() + RETRY_DELAYS_MS[-1])
        self._client.close()

    def poll(self) -> None:
        """Send one poll and publish the updates in its answer."""
        linger_ms = LINGER_MS if self.is_current() else 0.0  # an outdated list is refreshed without waiting
        path = f"/board/poll?watch={self._rev}&linger={linger_ms:.0f}"
        sent_ms = self._clock.now_ms()
        self._poll_deadline_ms = sent_ms + linger_ms + ANSWER_GRACE_MS
        status, body = self._client.request("GET", path, self._poll_deadline_ms)
        if status != 200:
            raise ValueError(f"answered with status {status}")
        rev, updates = parse_notices(json.loads(body), self._rev, reports_all_starts=True)
        self._stale_answers = self._stale_answers + 1 if rev < self._rev else 0
        if self._stale_answers == 1:
            log_skipped(f"its last event is {rev}, but {self._rev} was received before")
        # A single stale answer may be a delayed one.  With several the numbering has restarted, and without a
        # resync no event would be accepted until it has caught up.
        if self._stale_answers >= STALE_ANSWERS_BEFORE_RESYNC:
            logger.warning(
                "notice board: numbering restarted, fetching the complete list", event="board-anew"
            )
            self._rev, self._stale_answers = 0, 0
            return
        self._rev = max(self._rev, rev)  # keeps events of a stale answer from being applied again
        for update in updates:
            self._publish(update)
        # Set only after all updates are published.  An answer that is read late may have waited here while
        # the board had newer events, so its age counts from its latest plausible arrival.
        self._current_at_ms = min(self._clock.now_ms(), sent_ms + linger_ms + MAX_TRANSIT_MS)
        self._unreachable = False
