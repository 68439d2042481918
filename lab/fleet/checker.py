"""The rules, held against what booking servers and callers saw.  Pure, and knows nothing of the program.

Every time limit has the protocol's slack, and on top what the stand-ins were late themselves: a time that
they stamped late is not the proxy's fault.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from lab.fleet.records import Asked, Attempt, End, Life, Outcome, Seen

SLACK_MS = 50.0  # the protocol's, on every limit
DOOR_MS = 700.0  # after SIGTERM: what comes later than this may be left to SIGKILL
KILL_MS = 3700.0  # after SIGTERM the platform may kill


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures of the settings, in milliseconds."""

    drain_grace_ms: float = 2000.0
    release_ms: float = 200.0
    most_attempts: int = 6
    cold_from: float = 0.3
    ramp_ms: float = 14_000.0
    fall_multiple: float = 3.0
    fall_ms: float = 1000.0
    end_ms: float = 1000.0  # what is over is told to its caller within this
    unheard_ms: float = 8000.0  # or within this, where no release could be sent
    cold_slack: float = 4.0  # set-ups in a window that are never held against a fleet


@dataclass(frozen=True, slots=True)
class Broken:
    rule: str
    call: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.call} {self.text}"


def check(seen: Seen, contract: Contract) -> list[Broken]:
    """Every broken rule, in the order of the rules."""
    slack_ms = SLACK_MS + seen.late_ms
    lives = {(life.proxy, life.number): life for life in seen.lives}
    by_call: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in seen.attempts:
        by_call[attempt.call].append(attempt)
    for attempts in by_call.values():
        attempts.sort(key=lambda one: one.whole_ms)
    asked = {one.call: one for one in seen.asked}
    return [
        *_lives(seen),
        *(Broken("foul", "", text) for text in seen.foul),
        *_outcomes(seen, by_call, lives, slack_ms),
        *_attempts(seen, by_call, asked, contract, slack_ms),
        *_drains(seen, contract, slack_ms),
        *_cold(seen, contract),
        *_ends(seen, by_call, asked, lives, contract, slack_ms),
    ]


def _lives(seen: Seen) -> list[Broken]:
    """No proxy ends by itself, fails to start, or ends badly after SIGTERM."""
    found = []
    for life in seen.lives:
        name = f"proxy {life.proxy}, life {life.number}"
        if life.ready_ms == math.inf and min(life.term_ms, life.killed_ms) == math.inf:
            found.append(Broken("crash", "", f"{name} never became ready"))
        ended_alone = life.ended_ms < math.inf and life.term_ms == life.killed_ms == math.inf
        if ended_alone or (
            life.term_ms < math.inf and life.status not in (0, None) and life.killed_ms == math.inf
        ):
            found.append(Broken("crash", "", f"{name} ended with status {life.status}"))
    return found


def excused(one: Asked, life: Life, slack_ms: float) -> bool:
    """Whether nobody can be held to an outcome of it: the proxy was killed, or stood still at its time."""
    if life.killed_ms <= one.by_ms + slack_ms and life.killed_ms <= one.told_ms:
        # What SIGKILL finds unanswered is excused where it came without SIGTERM, or with it in good time.
        return (
            life.term_ms == math.inf
            or one.asked_ms > life.term_ms + DOOR_MS
            or (life.killed_ms < life.term_ms + KILL_MS)
        )
    if one.asked_ms > life.term_ms + DOOR_MS:
        return True
    return any(
        stopped <= one.by_ms and one.by_ms <= went_on + slack_ms + 250.0 for stopped, went_on in life.stalls
    )


def _outcomes(
    seen: Seen, by_call: dict[str, list[Attempt]], lives: dict[tuple[int, int], Life], slack_ms: float
) -> list[Broken]:
    """Rule 1: one final outcome for each call, in time, and nothing served that no booking server made."""
    found = []
    for one in seen.asked:
        if one.words > 1:
            found.append(Broken("lost", one.call, f"was given {one.words} outcomes"))
        if one.outcome is Outcome.STANDS:
            made = [a.description for a in by_call.get(one.call, []) if a.end is End.ANSWERED]
            if one.description not in made:
                found.append(Broken("lost", one.call, "served with what no booking server made for it"))
        if excused(one, lives[one.proxy, one.life], slack_ms):
            continue
        if one.outcome in (Outcome.NONE, Outcome.LOST):
            found.append(Broken("lost", one.call, f"outcome {one.outcome.value} at proxy {one.proxy}"))
        elif one.told_ms > one.by_ms + slack_ms:
            found.append(Broken("late", one.call, f"told {one.told_ms - one.by_ms:.0f} ms after its time"))
    return found


def _unheard(seen: Seen, before: Attempt, after: Attempt) -> bool:
    """Whether the proxy may have given the one up before the other, and its word was still on its way; or the
    other, heard late, was the earlier one."""
    return any(
        one.proxy == before.proxy
        and one.server in (before.server, after.server)
        and one.from_ms < after.whole_ms
        and one.to_ms > min(before.first_ms, after.first_ms)
        for one in seen.unheard
    )


def _attempts(
    seen: Seen,
    by_call: dict[str, list[Attempt]],
    asked: dict[str, Asked],
    contract: Contract,
    slack_ms: float,
) -> list[Broken]:
    """Rules 2, 5 and the bound: one attempt at a time, the release awaited, six at most."""
    found = []
    for call, attempts in by_call.items():
        if call not in asked:
            found.append(Broken("foul", call, "a set-up that no caller sent"))
        if len(attempts) > contract.most_attempts:
            found.append(Broken("attempts", call, f"{len(attempts)} attempts"))
        for before, after in zip(attempts, attempts[1:], strict=False):
            # Of one given up the proxy's word counts: its time here is that of its reading, so it can only
            # be late.  What the booking server ended itself it wrote before the proxy could know.
            if _unheard(seen, before, after):
                continue
            grace_ms = slack_ms if before.end.may_have_run else 0.0
            if after.whole_ms < before.end_ms - grace_ms:
                found.append(
                    Broken(
                        "two attempts",
                        call,
                        f"at {after.server} while out at {before.server}, which ended "
                        f"{before.end_ms - after.whole_ms:.0f} ms later ({before.end.value})",
                    )
                )
            elif before.end is End.GIVEN_UP and (
                after.first_ms < before.end_ms + contract.release_ms - slack_ms
            ):
                gap_ms = after.first_ms - before.end_ms
                found.append(Broken("release", call, f"sent again {gap_ms:.0f} ms after it was given up"))
            elif before.end is End.CLOSED and (
                after.first_ms < before.end_ms + contract.release_ms - slack_ms
            ):
                gap_ms = after.first_ms - before.end_ms
                found.append(Broken("release", call, f"sent again {gap_ms:.0f} ms after its reset"))
    return found


def _drains(seen: Seen, contract: Contract, slack_ms: float) -> list[Broken]:
    """Rule 3: nothing new to a booking server over 2 s after its drain or end was told."""
    told = defaultdict(list)
    for one in seen.told:
        told[one.proxy, one.life, one.server].append(one)
    found = []
    for attempt in seen.attempts:
        for one in told.get((attempt.proxy, attempt.life, attempt.server), ()):
            if one.at_ms + contract.drain_grace_ms + slack_ms < attempt.first_ms < one.back_ms:
                late_ms = attempt.first_ms - one.at_ms
                found.append(
                    Broken(
                        "drain",
                        attempt.call,
                        f"to {attempt.server} by proxy {attempt.proxy} {late_ms:.0f} ms after it was told",
                    )
                )
    return found


def _cold(seen: Seen, contract: Contract) -> list[Broken]:
    """Rule 4: all proxies together keep a cold booking server's budget, in every window."""
    found = []
    for cold in seen.colds:
        sent = sorted(
            a.first_ms
            for a in seen.attempts
            if a.server == cold.server and cold.started_ms <= a.first_ms < cold.started_ms + contract.ramp_ms
        )
        began = 0
        for count, at_ms in enumerate(sent, 1):
            while sent[began] <= at_ms - contract.fall_ms:
                began += 1
            warmth = (at_ms - cold.started_ms) / contract.ramp_ms
            part = contract.cold_from + (1.0 - contract.cold_from) * warmth
            most = contract.fall_multiple * part * cold.per_s * contract.fall_ms / 1000.0
            if count - began > most + contract.cold_slack:
                text = f"{cold.server} was sent {count - began} set-ups in a window, {most:.1f} allowed"
                found.append(Broken("cold", "", text))
                break
    return found


def _ends(
    seen: Seen,
    by_call: dict[str, list[Attempt]],
    asked: dict[str, Asked],
    lives: dict[tuple[int, int], Life],
    contract: Contract,
    slack_ms: float,
) -> list[Broken]:
    """What stood and is over is told its caller; what stands for nobody is released."""
    found = []
    for call, attempts in by_call.items():
        one = asked.get(call)
        for attempt in attempts:
            if one is None or attempt.end is not End.ANSWERED:
                continue
            life = lives[attempt.proxy, attempt.life]
            over_ms = min(attempt.ended_ms, attempt.let_go_ms)
            gone_ms = min(attempt.server_died_ms, over_ms)
            mine = one.outcome is Outcome.STANDS and one.description == attempt.description
            due_ms = attempt.end_ms + contract.unheard_ms
            unheard = gone_ms == math.inf and due_ms < seen.ended_ms
            if not mine and unheard and min(life.killed_ms, life.term_ms) == math.inf:
                found.append(Broken("left standing", call, f"at {attempt.server}, for nobody"))
            if not mine or gone_ms == math.inf:
                continue
            within_ms = contract.end_ms if over_ms <= attempt.server_died_ms else contract.unheard_ms
            by_ms = gone_ms + within_ms + slack_ms
            stalled = any(began <= by_ms and gone_ms <= went_on for began, went_on in life.stalls)
            judged_ms = min(life.killed_ms, life.term_ms, seen.ended_ms)
            if one.over_ms > by_ms and judged_ms > by_ms and not stalled:
                text = f"over at {attempt.server}, its caller not told within {within_ms:.0f} ms"
                found.append(Broken("end untold", call, text))
    return found
