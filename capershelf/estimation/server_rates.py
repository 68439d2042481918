"""Two figures of one booking server, each with its own error: what it can do, and what all senders ask of it.

Pure: times in milliseconds come in with each call, nothing is drawn, nothing is waited for.
"""

from __future__ import annotations

import math

# What a server can do.  It tells the new set-ups a second that it takes from all: noisy, less while pressed.
TOLD_ERROR = 0.12  # relative error of one telling, as the deployments give their reports' noise at the most
RISE = 0.5  # weight of a telling above the estimate, at the least: a pressed server never tells too much
FALL = 0.15  # and of one below it: pressed for a moment, or slowed for good
LEAST_ERROR = 0.05
# What is asked of it: by how its taken lines change, and by how many calls must have ended meanwhile.
SPAN_MS = 250.0  # tellings closer together are one
STALE_MS = 5000.0  # after a gap so long the flow is begun anew
FLOW_MS = 2000.0  # the flow is an average that fades in so long
DRIFT = 0.04  # square of the part by which a flow may move in a second


class Capacity:
    """Set-ups a second that the server can do, warm and not pressed; None until it has told anything."""

    __slots__ = ("per_s", "error", "told_per_s", "told_ms")

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.error = math.inf  # relative, one standard deviation
        self.told_per_s, self.told_ms = math.inf, -math.inf  # the newest telling

    def report(self, now_ms: float, per_s: float) -> None:
        """What the server says it can take, already brought to a warm server's."""
        if not 0.0 < per_s < math.inf:
            return
        self.told_per_s, self.told_ms = per_s, now_ms
        if self.per_s is None:
            self.per_s, self.error = per_s, TOLD_ERROR
            return
        gain = self.error**2 / (self.error**2 + TOLD_ERROR**2)
        gain = max(gain, RISE) if per_s > self.per_s else max(gain * FALL, FALL * RISE)
        self.per_s += gain * (per_s - self.per_s)
        self.error = max(LEAST_ERROR, math.sqrt((1.0 - gain) ** 2 * self.error**2 + gain**2 * TOLD_ERROR**2))


class ArrivalRate:
    """Set-ups a second that reach the server from all senders; None until two tellings stand.

    Between two tellings the taken lines change by what came less what ended.  What came is the change and the
    ends; the ends are not seen, but each taken line ends in its mean hold, by chance: their error is the root
    of their number.
    """

    __slots__ = ("per_s", "variance", "taken", "at_ms")

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.variance = math.inf  # of per_s, in set-ups a second squared
        self.taken, self.at_ms = 0.0, -math.inf

    def report(self, now_ms: float, taken: float, hold_ms: float, width: float) -> bool:
        """Lines taken at the server now; mean hold and lines of a call.  Whether the estimate has moved."""
        span_ms = now_ms - self.at_ms
        if span_ms < SPAN_MS:
            return False
        if span_ms > STALE_MS:
            self.per_s, self.variance = None, math.inf
            self.taken, self.at_ms = taken, now_ms
            return False
        ends = 0.5 * (taken + self.taken) * span_ms / hold_ms / width
        seen = max(0.0, (taken - self.taken) / width + ends) * 1000.0 / span_ms
        variance = max(1.0, ends) * (1000.0 / span_ms) ** 2
        self.taken, self.at_ms = taken, now_ms
        if self.per_s is None:
            self.per_s, self.variance = seen, variance
            return True
        self.variance += DRIFT * max(1.0, self.per_s) ** 2 * span_ms / 1000.0
        weight = max(self.variance / (self.variance + variance), 1.0 - math.exp(-span_ms / FLOW_MS))
        self.per_s += weight * (seen - self.per_s)
        self.variance = (1.0 - weight) ** 2 * self.variance + weight**2 * variance
        return True

    def error(self) -> float:
        """Relative, one standard deviation; infinite while nothing is known."""
        if self.per_s is None:
            return math.inf
        return math.sqrt(self.variance) / max(1.0, self.per_s)

    def forget(self) -> None:
        """Another process: its lines tell nothing of the last one's flow."""
        self.per_s, self.variance, self.at_ms = None, math.inf, -math.inf
