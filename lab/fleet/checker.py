"""Checks the protocol rules against the record of booking servers and callers.

Pure functions, independent of the program under test.  Every time limit is extended by the protocol's slack
and by the event loop's measured lag, since a late timestamp of the simulated peers is not the proxy's fault.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from lab.fleet.records import Attempt, AttemptEnd, CallerSetUp, DayRecord, Outcome, ProxyRun

TIMING_SLACK_MS = 50.0  # the protocol's allowance on every time limit
KILL_CROSSING_MS = 50.0  # a set-up sent this shortly before SIGKILL may stay unanswered


@dataclass(frozen=True, slots=True)
class Contract:
    """Limits from the proxies' settings."""

    drain_grace_ms: float = 2000.0
    release_ms: float = 200.0
    max_attempts: int = 6
    cold_from: float = 0.3
    ramp_ms: float = 14_000.0
    fall_multiple: float = 3.0
    fall_ms: float = 1000.0
    end_ms: float = 1000.0  # the caller is notified of a call's end within this
    undelivered_end_ms: float = 8000.0  # the same where the booking server could send no release
    kill_after_term_ms: float = 3700.0  # the platform may send SIGKILL this long after SIGTERM
    cold_slack: float = 4.0  # set-ups per window allowed on top of the budget
    # A call that is refused this long after its deadline earns nothing, but is not lost.
    late_refusal_ms: float = 500.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule, with the call it concerns, if any."""

    rule: str
    call: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.call} {self.text}"


def check(record: DayRecord, contract: Contract) -> list[Violation]:
    """Return all violations, in the order of the rules."""
    slack_ms = TIMING_SLACK_MS + record.max_lag_ms
    runs = {(run.proxy, run.number): run for run in record.runs}
    attempts_by_call: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in record.attempts:
        attempts_by_call[attempt.call].append(attempt)
    for attempts in attempts_by_call.values():
        attempts.sort(key=lambda one: one.received_ms)
    setups = {one.call: one for one in record.setups}
    return [
        *_check_runs(record),
        *(Violation("foul", "", text) for text in record.invalid_messages),
        *_check_outcomes(record, attempts_by_call, runs, contract, slack_ms),
        *_check_attempts(record, attempts_by_call, setups, contract, slack_ms),
        *_check_drains(record, contract, slack_ms),
        *_check_cold_starts(record, contract),
        *_check_call_ends(record, attempts_by_call, setups, runs, contract, slack_ms),
    ]


def _check_runs(record: DayRecord) -> list[Violation]:
    """No proxy exits unasked, fails to start, or exits with an error after SIGTERM."""
    found = []
    for run in record.runs:
        name = f"proxy {run.proxy}, run {run.number}"
        if run.ready_ms == math.inf and min(run.term_ms, run.killed_ms) == math.inf:
            found.append(Violation("crash", "", f"{name} never became ready"))
        ended_alone = run.ended_ms < math.inf and run.term_ms == run.killed_ms == math.inf
        if ended_alone or (
            run.term_ms < math.inf and run.status not in (0, None) and run.killed_ms == math.inf
        ):
            found.append(Violation("crash", "", f"{name} ended with status {run.status}"))
    return found


def is_excused(one: CallerSetUp, run: ProxyRun, contract: Contract, slack_ms: float) -> bool:
    """Whether a missing outcome is allowed: the caller gave up, or the proxy was killed or stopped."""
    if one.given_up_ms < math.inf:
        return True
    if run.killed_ms <= one.deadline_ms + slack_ms and run.killed_ms <= one.outcome_ms:
        # SIGKILL excuses unanswered calls if no SIGTERM preceded it, if the kill came before the platform's
        # grace period had passed, or if it crossed the set-up.
        return (
            run.term_ms == math.inf
            or run.killed_ms < run.term_ms + contract.kill_after_term_ms
            or one.sent_ms > run.killed_ms - KILL_CROSSING_MS - slack_ms
        )
    return any(
        paused <= one.deadline_ms and one.deadline_ms <= resumed + slack_ms + 250.0
        for paused, resumed in run.stalls
    )


def _check_outcomes(
    record: DayRecord,
    attempts_by_call: dict[str, list[Attempt]],
    runs: dict[tuple[int, int], ProxyRun],
    contract: Contract,
    slack_ms: float,
) -> list[Violation]:
    """Rule 1: each call gets exactly one outcome by its deadline, with a description made for it."""
    found = []
    for one in record.setups:
        if one.outcome_count > 1:
            found.append(Violation("lost", one.call, f"was given {one.outcome_count} outcomes"))
        if one.outcome is Outcome.ESTABLISHED:
            made = [a.description for a in attempts_by_call.get(one.call, []) if a.end is AttemptEnd.ANSWERED]
            if one.description not in made:
                found.append(
                    Violation(
                        "lost", one.call, "answered with a description that no booking server made for it"
                    )
                )
        if is_excused(one, runs[one.proxy, one.run], contract, slack_ms):
            continue
        if one.outcome in (Outcome.NONE, Outcome.LOST):
            found.append(Violation("lost", one.call, f"outcome {one.outcome.value} at proxy {one.proxy}"))
        elif one.outcome_ms > _outcome_due_ms(one, contract, slack_ms):
            found.append(
                Violation(
                    "late", one.call, f"answered {one.outcome_ms - one.deadline_ms:.0f} ms after its deadline"
                )
            )
    return found


def _outcome_due_ms(one: CallerSetUp, contract: Contract, slack_ms: float) -> float:
    """The time from which the outcome breaks the rule: a refusal leaves the caller free to try again."""
    grace_ms = contract.late_refusal_ms if one.outcome is Outcome.REFUSED else 0.0
    return one.deadline_ms + grace_ms + slack_ms


def late_refusals(record: DayRecord) -> list[CallerSetUp]:
    """The set-ups that were refused after their deadline, whether or not that breaks the rule."""
    slack_ms = TIMING_SLACK_MS + record.max_lag_ms
    return [
        one
        for one in record.setups
        if one.outcome is Outcome.REFUSED and one.outcome_ms > one.deadline_ms + slack_ms
    ]


def _is_link_delayed(record: DayRecord, before: Attempt, after: Attempt) -> bool:
    """Whether a link fault explains an apparent overlap: the release of `before` was still in transit, or
    `after` was delivered late and was in fact sent first."""
    return any(
        one.proxy == before.proxy
        and one.server in (before.server, after.server)
        and one.from_ms < after.received_ms
        and one.to_ms > min(before.first_byte_ms, after.first_byte_ms)
        for one in record.link_faults
    )


def _check_attempts(
    record: DayRecord,
    attempts_by_call: dict[str, list[Attempt]],
    setups: dict[str, CallerSetUp],
    contract: Contract,
    slack_ms: float,
) -> list[Violation]:
    """Rules 2 and 5 and the attempt limit: one attempt at a time, resent only after the release time."""
    found = []
    for call, attempts in attempts_by_call.items():
        if call not in setups:
            found.append(Violation("foul", call, "a set-up that no caller sent"))
        if len(attempts) > contract.max_attempts:
            found.append(Violation("attempts", call, f"{len(attempts)} attempts"))
        for before, after in zip(attempts, attempts[1:], strict=False):
            # The end of a released attempt is the time at which the booking server read the release, so it
            # can only be late and gets slack.  An end that the booking server sent itself precedes the
            # proxy's knowledge of it and gets none.
            if _is_link_delayed(record, before, after):
                continue
            grace_ms = slack_ms if before.end.may_have_run else 0.0
            if after.received_ms < before.end_ms - grace_ms:
                found.append(
                    Violation(
                        "two attempts",
                        call,
                        f"at {after.server} while outstanding at {before.server}, which ended "
                        f"{before.end_ms - after.received_ms:.0f} ms later ({before.end.value})",
                    )
                )
            elif before.end is AttemptEnd.RELEASED and (
                after.first_byte_ms < before.end_ms + contract.release_ms - slack_ms
            ):
                gap_ms = after.first_byte_ms - before.end_ms
                found.append(Violation("release", call, f"sent again {gap_ms:.0f} ms after it was released"))
            elif before.end is AttemptEnd.CLOSED and (
                after.first_byte_ms < before.end_ms + contract.release_ms - slack_ms
            ):
                gap_ms = after.first_byte_ms - before.end_ms
                found.append(Violation("release", call, f"sent again {gap_ms:.0f} ms after its reset"))
    return found


def _check_drains(record: DayRecord, contract: Contract, slack_ms: float) -> list[Violation]:
    """Rule 3: no set-up to a booking server after the drain grace that follows its drain or removal."""
    notices = defaultdict(list)
    for one in record.drain_notices:
        notices[one.proxy, one.run, one.server].append(one)
    found = []
    for attempt in record.attempts:
        for one in notices.get((attempt.proxy, attempt.run, attempt.server), ()):
            if one.at_ms + contract.drain_grace_ms + slack_ms < attempt.first_byte_ms < one.relisted_ms:
                since_notice_ms = attempt.first_byte_ms - one.at_ms
                found.append(
                    Violation(
                        "drain",
                        attempt.call,
                        f"to {attempt.server} by proxy {attempt.proxy} "
                        f"{since_notice_ms:.0f} ms after the notice",
                    )
                )
    return found


def _check_cold_starts(record: DayRecord, contract: Contract) -> list[Violation]:
    """Rule 4: all proxies together stay within a cold booking server's budget in every window."""
    found = []
    for cold in record.cold_starts:
        sent_times_ms = sorted(
            a.first_byte_ms
            for a in record.attempts
            if a.server == cold.server
            and cold.started_ms <= a.first_byte_ms < cold.started_ms + contract.ramp_ms
        )
        window_start = 0
        for count, at_ms in enumerate(sent_times_ms, 1):
            while sent_times_ms[window_start] <= at_ms - contract.fall_ms:
                window_start += 1
            ramp_share = (at_ms - cold.started_ms) / contract.ramp_ms
            rate_share = contract.cold_from + (1.0 - contract.cold_from) * ramp_share
            allowed = contract.fall_multiple * rate_share * cold.per_s * contract.fall_ms / 1000.0
            if count - window_start > allowed + contract.cold_slack:
                text = (
                    f"{cold.server} was sent {count - window_start} set-ups in a window, "
                    f"{allowed:.1f} allowed"
                )
                found.append(Violation("cold", "", text))
                break
    return found


def _check_call_ends(
    record: DayRecord,
    attempts_by_call: dict[str, list[Attempt]],
    setups: dict[str, CallerSetUp],
    runs: dict[tuple[int, int], ProxyRun],
    contract: Contract,
    slack_ms: float,
) -> list[Violation]:
    """Callers are notified of the end of established calls; calls without a caller are released."""
    found = []
    for call, attempts in attempts_by_call.items():
        one = setups.get(call)
        for attempt in attempts:
            if one is None or attempt.end is not AttemptEnd.ANSWERED:
                continue
            run = runs[attempt.proxy, attempt.run]
            ended_or_released_ms = min(attempt.ended_ms, attempt.released_ms)
            untold_end_ms = min(attempt.server_died_ms, attempt.finished_ms)
            over_at_ms = min(untold_end_ms, ended_or_released_ms)
            is_callers = (
                one.outcome is Outcome.ESTABLISHED
                and one.description == attempt.description
                and one.given_up_ms == math.inf
            )
            due_ms = attempt.end_ms + contract.undelivered_end_ms
            not_over = over_at_ms == math.inf and due_ms < record.ended_ms
            if not is_callers and not_over and min(run.killed_ms, run.term_ms) == math.inf:
                found.append(Violation("left standing", call, f"at {attempt.server}, without a caller"))
            if not is_callers or over_at_ms == math.inf:
                continue
            notify_by_ms = slack_ms + min(
                ended_or_released_ms + contract.end_ms, untold_end_ms + contract.undelivered_end_ms
            )
            stalled = any(paused <= notify_by_ms and over_at_ms <= resumed for paused, resumed in run.stalls)
            checked_until_ms = min(run.killed_ms, run.ended_ms, record.ended_ms)
            if one.end_notified_ms > notify_by_ms and checked_until_ms > notify_by_ms and not stalled:
                due_ms = notify_by_ms - over_at_ms
                text = f"ended at {attempt.server}, its caller not notified within {due_ms:.0f} ms"
                found.append(Violation("end untold", call, text))
    return found
