"""How much of what was known still counts.  Pure: times and records in, records out.

Each kind of knowledge has a half-life of its own.  Its weight, between 0 and 1, halves with every
half-life:

    rate, asked   are multiplied by it: less is promised;
    wait          too: an old wait is no reason to hold a call;
    base, threshold   are divided by it: the way there counts as longer, the limit as higher, until under
                  LEAST_WEIGHT nothing is claimed;
    silence       is a yes or a no, so it holds while its weight is at least a half.  It costs one trial
                  where it is wrong, since a server recalled as silent is tried by the first call.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from capershelf.control import MIN_THRESHOLD
from capershelf.interface import LearnedServer
from capershelf.memory.records import Book, ServerRecord

LEAST_WEIGHT = 0.05  # under this weight a figure that is divided by it claims nothing


@dataclass(frozen=True, slots=True)
class HalfLives:
    """Milliseconds after which a kind of knowledge counts for half."""

    rate_ms: float = 12 * 3_600_000.0  # what a machine can do changes with releases and neighbours
    base_ms: float = 7 * 86_400_000.0  # the way there changes with routes
    threshold_ms: float = 600_000.0  # a jam of that size
    wait_ms: float = 15_000.0  # a processor's line
    silence_ms: float = 10_000.0
    asked_ms: float = 600_000.0  # traffic goes with the time of day


@dataclass(frozen=True, slots=True)
class Clocks:
    """A book's time against the reader's clock; after a step of either nobody can say which was right."""

    saved_ms: float
    now_ms: float

    @property
    def ahead_ms(self) -> float:
        """By how much the book is from the future; 0 usually."""
        return max(0.0, self.saved_ms - self.now_ms)

    def age_ms(self, at_ms: float) -> float:
        """How old is what was learned at at_ms: its age in the book, and the distance from the book to now.

        A book from the future is as old as it is ahead: guards against knowledge that a clock set back keeps
        fresh for as long as the clock was ahead.
        """
        return max(0.0, self.saved_ms - at_ms) + abs(self.now_ms - self.saved_ms)


def weight(age_ms: float, half_life_ms: float) -> float:
    """1 for what is new, a half after one half-life; a half-life of 0 lets nothing live on."""
    if half_life_ms <= 0.0:
        return 0.0 if age_ms > 0.0 else 1.0
    return float(0.5 ** min(1000.0, age_ms / half_life_ms))


def age_server(
    record: ServerRecord, clocks: Clocks, lives: HalfLives, most_age_ms: float, part: float
) -> LearnedServer | None:
    """The record as it counts now for one planner; None beyond the greatest age.

    part: this planner's part of what the proxy had.  Rates and thresholds are a sender's share of what a
    server does, so with another number of proxies or planners they are rescaled, not dropped.
    """
    age_ms = clocks.age_ms(record.seen_ms)
    if age_ms > most_age_ms:
        return None
    base_weight = weight(age_ms, lives.base_ms)
    base_ms = record.base_ms
    if base_ms is not None:
        base_ms = base_ms / base_weight if base_weight >= LEAST_WEIGHT else None
    threshold_weight = weight(age_ms, lives.threshold_ms)
    threshold = record.threshold
    if threshold is not None:
        claimed = threshold_weight >= LEAST_WEIGHT
        threshold = max(MIN_THRESHOLD, threshold * part / threshold_weight) if claimed else None
    rate = record.rate_per_s * part * weight(clocks.age_ms(record.rate_ms), lives.rate_ms)
    return LearnedServer(
        record.uid,
        rate,
        record.wait_ms * weight(age_ms, lives.wait_ms),
        base_ms,
        threshold,
        record.silent and weight(age_ms, lives.silence_ms) >= 0.5,
    )


def age_asked(book: Book, clocks: Clocks, lives: HalfLives, most_age_ms: float, planners: int) -> float:
    """First tries a second to expect at each planner.  What callers ask of a proxy doesn't go with the number
    of proxies alone (a front may not spread evenly), so this is shared among planners only."""
    age_ms = clocks.age_ms(book.saved_ms)
    if age_ms > most_age_ms:
        return 0.0
    return book.asked_per_s / planners * weight(age_ms, lives.asked_ms)


def part_of(senders_then: int, senders_now: int, planners: int) -> float:
    """A planner's part now of what the proxy had then: with twice the proxies each does half as much."""
    return senders_then / (senders_now * planners)


def way_only(known: LearnedServer) -> LearnedServer:
    """What is left where nothing proves that it is the same process: the way there, which is no process's."""
    return replace(known, rate_per_s=0.0, wait_ms=0.0, threshold=None, ejected=False)
