"""Ages stored knowledge.  Pure: times and records in, records out.

Each kind of knowledge has its own half-life.  Its weight, between 0 and 1, halves with each half-life:

    rate, new calls   are multiplied by the weight: less is assumed;
    wait              too: an old wait is no reason to hold a call;
    base, threshold   are divided by it, so the latency and the limit grow, until below MIN_WEIGHT
                      the value is dropped;
    ejection          is binary, so it holds while its weight is at least a half.  If it is wrong it costs
                      one trial, since a server restored as ejected is tried with the first call.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from capershelf.control import MIN_THRESHOLD
from capershelf.interface import LearnedServer
from capershelf.memory.records import Checkpoint, ServerRecord

MIN_WEIGHT = 0.05  # below it, values that are divided by the weight are dropped


@dataclass(frozen=True, slots=True)
class HalfLives:
    """Time after which the weight of each kind of knowledge is halved."""

    rate_ms: float = 12 * 3_600_000.0  # capacity changes with releases and co-located load
    base_ms: float = 7 * 86_400_000.0  # network latency changes with routes
    threshold_ms: float = 600_000.0  # lasts as long as an overload
    wait_ms: float = 15_000.0  # the processor's queue
    silence_ms: float = 10_000.0
    asked_ms: float = 600_000.0  # traffic varies with the time of day


@dataclass(frozen=True, slots=True)
class CheckpointAge:
    """The save time against the reader's clock; after a clock step it is unknown which was right."""

    saved_ms: float
    now_ms: float

    @property
    def ahead_ms(self) -> float:
        """How far the save time lies in the future; usually 0."""
        return max(0.0, self.saved_ms - self.now_ms)

    def age_ms(self, at_ms: float) -> float:
        """Age of what was learned at at_ms: its age when saved plus the time between the save and now.

        A checkpoint from the future is as old as it is ahead: otherwise, after the clock was set back, its
        knowledge would stay fresh for as long as the clock had been ahead.
        """
        return max(0.0, self.saved_ms - at_ms) + abs(self.now_ms - self.saved_ms)


def weight(age_ms: float, half_life_ms: float) -> float:
    """1 at age 0, a half after one half-life; with a half-life of 0 nothing is kept."""
    if half_life_ms <= 0.0:
        return 0.0 if age_ms > 0.0 else 1.0
    return float(0.5 ** min(1000.0, age_ms / half_life_ms))


def age_server(
    record: ServerRecord, checkpoint_age: CheckpointAge, half_lives: HalfLives, max_age_ms: float, part: float
) -> LearnedServer | None:
    """Return the aged record for one planner; None beyond the maximum age.

    part: this planner's share of the proxy's rate.  Rates and thresholds are one sender's share of a server,
    so with another number of proxies or planners they are rescaled, not dropped.
    """
    age_ms = checkpoint_age.age_ms(record.seen_ms)
    if age_ms > max_age_ms:
        return None
    base_weight = weight(age_ms, half_lives.base_ms)
    base_ms = record.base_ms
    if base_ms is not None:
        base_ms = base_ms / base_weight if base_weight >= MIN_WEIGHT else None
    threshold_weight = weight(age_ms, half_lives.threshold_ms)
    threshold = record.threshold
    if threshold is not None:
        claimed = threshold_weight >= MIN_WEIGHT
        threshold = max(MIN_THRESHOLD, threshold * part / threshold_weight) if claimed else None
    rate = record.rate_per_s * part * weight(checkpoint_age.age_ms(record.rate_ms), half_lives.rate_ms)
    return LearnedServer(
        record.uid,
        rate,
        record.wait_ms * weight(age_ms, half_lives.wait_ms),
        base_ms,
        threshold,
        record.silent and weight(age_ms, half_lives.silence_ms) >= 0.5,
    )


def age_new_call_rate(
    checkpoint: Checkpoint,
    checkpoint_age: CheckpointAge,
    half_lives: HalfLives,
    max_age_ms: float,
    planners: int,
) -> float:
    """Return the expected new calls per second of each planner.

    The load of a proxy doesn't depend on the number of proxies alone (a front may not spread evenly), so the
    rate is divided among planners only.
    """
    age_ms = checkpoint_age.age_ms(checkpoint.saved_ms)
    if age_ms > max_age_ms:
        return 0.0
    return checkpoint.asked_per_s / planners * weight(age_ms, half_lives.asked_ms)


def planner_share(senders_then: int, senders_now: int, planners: int) -> float:
    """A planner's share of the proxy's former rate: with twice the proxies each handles half as much."""
    return senders_then / (senders_now * planners)


def latency_only(known: LearnedServer) -> LearnedServer:
    """Keep only the base latency, which belongs to the network path and not to the process."""
    return replace(known, rate_per_s=0.0, wait_ms=0.0, threshold=None, ejected=False)
