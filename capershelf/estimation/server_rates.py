"""Estimates for one booking server, each with its error: its capacity, and the arrivals from all senders.

Pure: callers pass the time in milliseconds; nothing is random and nothing blocks.
"""

from __future__ import annotations

import math

# Capacity.  A server reports the new set-ups per second that it accepts from all senders.  The reports are
# noisy, and lower while the server is under pressure.
REPORT_ERROR = 0.12  # relative error of one report: the largest report noise that the deployments state
MIN_RISE_GAIN = 0.5  # for a report above the estimate: a server under pressure never reports too much
FALL_GAIN = 0.15  # for one below it, which may mean brief pressure or a permanently slower server
MIN_ERROR = 0.05  # relative

# Arrival rate, derived from the change of the lines in use and the calls expected to have ended meanwhile.
MIN_REPORT_SPACING_MS = 250.0  # a report that follows the last one sooner is ignored
MAX_REPORT_GAP_MS = 5000.0  # after a longer gap the estimate starts again
ARRIVAL_FADE_MS = 2000.0  # time constant of the exponential average
ARRIVAL_DRIFT = 0.04  # variance per second of the relative change of the arrival rate


class Capacity:
    """Set-ups per second that the server can handle, warm and not under pressure; None before any report."""

    __slots__ = ("per_s", "error", "reported_per_s", "reported_ms")

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.error = math.inf  # relative standard deviation
        self.reported_per_s, self.reported_ms = math.inf, -math.inf  # the latest report and its time

    def update(self, now_ms: float, per_s: float) -> None:
        """Apply a reported capacity, already scaled to that of a warm server."""
        if not 0.0 < per_s < math.inf:
            return
        self.reported_per_s, self.reported_ms = per_s, now_ms
        if self.per_s is None:
            self.per_s, self.error = per_s, REPORT_ERROR
            return
        gain = self.error**2 / (self.error**2 + REPORT_ERROR**2)
        gain = (
            max(gain, MIN_RISE_GAIN)
            if per_s > self.per_s
            else max(gain * FALL_GAIN, FALL_GAIN * MIN_RISE_GAIN)
        )
        self.per_s += gain * (per_s - self.per_s)
        self.error = max(MIN_ERROR, math.sqrt((1.0 - gain) ** 2 * self.error**2 + gain**2 * REPORT_ERROR**2))


class ArrivalRate:
    """Set-ups per second that reach the server from all senders; None before the second report.

    Between two reports the lines in use change by the arrivals less the ended calls.  The ended calls are not
    observed; each line in use ends at random with the mean hold time, so the standard error of their number
    is its square root.
    """

    __slots__ = ("per_s", "variance", "lines_in_use", "updated_ms")

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.variance = math.inf  # of per_s, in (set-ups per second) squared
        self.lines_in_use, self.updated_ms = 0.0, -math.inf

    def update(self, now_ms: float, lines_in_use: float, hold_ms: float, width: float) -> bool:
        """Apply the lines in use now; True if the estimate changed.

        hold_ms and width: mean hold time and mean lines of a call.
        """
        span_ms = now_ms - self.updated_ms
        if span_ms < MIN_REPORT_SPACING_MS:
            return False
        if span_ms > MAX_REPORT_GAP_MS:
            self.per_s, self.variance = None, math.inf
            self.lines_in_use, self.updated_ms = lines_in_use, now_ms
            return False
        ended = 0.5 * (lines_in_use + self.lines_in_use) * span_ms / hold_ms / width
        observed = max(0.0, (lines_in_use - self.lines_in_use) / width + ended) * 1000.0 / span_ms
        variance = max(1.0, ended) * (1000.0 / span_ms) ** 2
        self.lines_in_use, self.updated_ms = lines_in_use, now_ms
        if self.per_s is None:
            self.per_s, self.variance = observed, variance
            return True
        self.variance += ARRIVAL_DRIFT * max(1.0, self.per_s) ** 2 * span_ms / 1000.0
        gain = max(self.variance / (self.variance + variance), 1.0 - math.exp(-span_ms / ARRIVAL_FADE_MS))
        self.per_s += gain * (observed - self.per_s)
        self.variance = (1.0 - gain) ** 2 * self.variance + gain**2 * variance
        return True

    def relative_error(self) -> float:
        """Relative standard deviation; infinite while there is no estimate."""
        if self.per_s is None:
            return math.inf
        return math.sqrt(self.variance) / max(1.0, self.per_s)

    def reset(self) -> None:
        """Start again for a restarted server: its lines say nothing about the previous process's arrivals."""
        self.per_s, self.variance, self.updated_ms = None, math.inf, -math.inf
