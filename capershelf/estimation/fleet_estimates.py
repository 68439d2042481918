"""One sender's estimates of all booking servers: capacity and load of each server, and load of the fleet.

Hundreds of senders act on the same data, since every server reports its lines to all of them at once.  So an
estimate sets a probability rather than a yes or no: each call decides by its own random draw, so that the
senders together send what a server can handle, however many they are.  Pure: callers pass the time in
milliseconds.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from capershelf.estimation.server_rates import MIN_REPORT_SPACING_MS, ArrivalRate, Capacity
from capershelf.estimation.rates import Rate

# The load controller of a server: proportional and integral terms of its load error, which is the natural
# logarithm of its arrival rate over its target rate.
TARGET_WAIT = 0.5  # mean wait at the target rate, as a part of the smallest aim
REPORT_FADE_MS = 3000.0  # decay of a report below the capacity estimate; an older arrival rate is ignored
INTEGRAL_TIME_MS = 4000.0
PROPORTIONAL_GAIN = 1.0
MAX_INTEGRAL = 4.0  # admits one call in 55
MIN_INTEGRAL = -0.7  # a server with spare capacity gets up to twice its share of the rerouted calls
MAX_HELD_LOAD = 1.3  # upper bound of the load derived from the lines in use, relative to the target rate

# Free lines.
LINE_RESERVE = 1.5  # free lines are rationed below this multiple of the need per report interval
FIRST_CHOICE_LINES = 0.3  # added for first-choice calls, since lines become free before the next report
REPORT_INTERVAL_MS = 1000.0

# Load shedding, by the waits recently seen at all servers; waits are relative to the smallest aim.
WAIT_WINDOW_MS = 2000.0
MIN_WAIT_SAMPLES = 4
MAX_WAIT_SAMPLES = 31
WAIT_QUANTILE = 0.7
SHED_START = 0.3  # wait above which calls are shed
SHED_START_LOAD_UNKNOWN = (
    0.8  # without load reports, for the service time of a small server is a long wait, too
)
SHED_SPAN = 0.7  # wait above the start at which all calls would be shed
EXCESS_DEMAND_GAIN = 0.7  # part of the excess demand that is shed on top
MAX_SHED = 0.9
MIN_KNOWN_LINES = 0.5  # part of all lines on servers of known load, below which demand is not estimated

LINE_ESTIMATE_ERROR = 0.35  # relative error of a capacity estimated from lines alone

# The penalty of a server for the waits that this sender itself saw there.
MAX_WAIT_PENALTY = 3.0
WAIT_PENALTY_STEP = 1.5  # most that one long wait adds
WAIT_PENALTY_RELIEF = 0.3  # what one short wait takes off
WAIT_PENALTY_FADE_MS = 3000.0  # time constant of the decay, without the call gaps
WAIT_PENALTY_FADE_GAPS = 2.0  # mean gaps between this sender's calls to the server that extend the decay
LINES_DISTRUST_PENALTY = 0.2  # above it free lines are not trusted: abandoned set-ups free them, too


@dataclass(frozen=True, slots=True)
class Timing:
    """Times and speeds from the settings."""

    aim_ms: float  # smallest target set-up latency of all classes
    cold_from: float  # speed of a server that has just started, as a part of its warm speed
    ramp_ms: float  # time from the start of a server until it is warm


@dataclass(slots=True)
class ServerEstimate:
    """What is known of one booking server."""

    lines: float = 0.0
    active: bool = True
    started_ms: float | None = None
    capacity: Capacity = field(default_factory=Capacity)
    arrivals: ArrivalRate = field(default_factory=ArrivalRate)
    free_lines: float | None = None
    load_integral: float = 0.0  # of load_error over time
    load_error: float = 0.0  # logarithm of the arrival rate over the target rate, outside the error margin
    wait_penalty: float = 0.0  # from this sender's own waits, as of wait_penalty_ms
    wait_penalty_ms: float = -math.inf


def _per_s_per_line(servers: list[ServerEstimate]) -> float | None:
    """Set-ups per second per line, over these servers."""
    lines = sum(estimate.lines for estimate in servers)
    return sum(estimate.capacity.per_s or 0.0 for estimate in servers) / lines if lines > 0 else None


class FleetEstimates:
    """Estimates of all booking servers for one sender."""

    def __init__(self) -> None:
        self.timing = Timing(math.inf, 1.0, 1.0)
        self.servers: dict[str, ServerEstimate] = {}
        self.max_active_servers = 1
        self.max_active_lines = 0.0  # largest total of all active servers
        self.per_s_per_line: float | None = None  # over the active servers that report their capacity
        self.fallback_per_s_per_line: float | None = None  # includes draining servers; the last known value
        self.min_lines = 0.0  # of the smallest server that reports its lines
        self.mean_hold_ms, self.mean_width, self.call_samples = 0.0, 1.0, 0.0
        self.call_rate = Rate()  # calls offered to this sender per millisecond
        self.calls_by_worth: dict[float, float] = {}  # decaying counts
        self.excess_demand, self.loads_known = 0.0, False
        self.recent_waits: deque[tuple[float, float]] = deque(maxlen=MAX_WAIT_SAMPLES)  # (time, wait)
        self.in_flight: dict[int, float] = {}  # send time of each outstanding set-up, by call
        self.demand_measured_ms = -math.inf

    # -- input ----------------------------------------------------------------------------------------
    def update_servers(self, servers: Iterable[tuple[str, bool, float | None]]) -> None:
        """Replace the server list: name, whether it is active, and when its process started."""
        listed: dict[str, ServerEstimate] = {}
        for server, active, started_ms in servers:
            estimate = self.servers.get(server) or ServerEstimate(started_ms=started_ms)
            if started_ms != estimate.started_ms:
                estimate.started_ms, estimate.load_integral, estimate.load_error, estimate.free_lines = (
                    started_ms,
                    0.0,
                    0.0,
                    None,
                )
                estimate.arrivals.reset()
            estimate.active = active
            listed[server] = estimate
        self.servers = listed
        self.max_active_servers = max(
            self.max_active_servers, sum(1 for estimate in listed.values() if estimate.active)
        )
        self._update_line_totals()

    def record_call(self, now_ms: float, hold_ms: float | None, width: float, worth: float) -> None:
        """Count an offered call; hold_ms is the mean hold time of its class if the settings have it."""
        self.call_rate.add(now_ms)
        self.call_samples = min(self.call_samples + 1.0, 500.0)
        weight = 1.0 / self.call_samples
        self.mean_width += weight * (width - self.mean_width)
        if hold_ms is not None and hold_ms > 0.0:
            self.mean_hold_ms += (
                weight * (width * hold_ms - self.mean_hold_ms) if self.mean_hold_ms > 0.0 else width * hold_ms
            )
        if self.call_samples % 50.0 == 0.0 or self.call_samples == 500.0:
            self.calls_by_worth = {
                key: 0.99 * count for key, count in self.calls_by_worth.items() if count > 0.05
            }
        self.calls_by_worth[worth] = self.calls_by_worth.get(worth, 0.0) + 1.0

    def record_report(
        self,
        now_ms: float,
        server: str,
        free_lines: float | None,
        lines: float | None,
        per_s: float | None,
    ) -> None:
        """Apply a load report of a server, whether or not it was requested."""
        if (estimate := self.servers.get(server)) is None:
            return
        if per_s is not None:
            estimate.capacity.update(now_ms, per_s / self.warmth(now_ms, estimate))
        if lines is not None and lines != estimate.lines and free_lines is not None:
            estimate.lines = lines
            self._update_line_totals()
        elif per_s is not None:
            self._update_per_line_rates()
        if free_lines is None:
            return
        estimate.free_lines = free_lines
        before_ms = estimate.arrivals.updated_ms
        in_use = max(0.0, estimate.lines - free_lines)
        if self.mean_hold_ms > 0.0 and estimate.arrivals.update(
            now_ms, in_use, self.mean_hold_ms, self.mean_width
        ):
            self._update_load_error(now_ms, server, estimate, now_ms - before_ms)

    def record_wait(self, now_ms: float, server: str, wait_ms: float) -> None:
        """Record a wait at a server; for an abandoned set-up its age, which is a lower bound."""
        normal_ms = SHED_START * self.timing.aim_ms
        if (estimate := self.servers.get(server)) is not None:
            penalty = self.wait_penalty(now_ms, server, estimate)
            late = wait_ms / normal_ms - 1.0
            penalty = (
                min(MAX_WAIT_PENALTY, penalty + min(WAIT_PENALTY_STEP, late))
                if late > 0.0
                else max(0.0, penalty - WAIT_PENALTY_RELIEF)
            )
            estimate.wait_penalty, estimate.wait_penalty_ms = penalty, now_ms
        self.recent_waits.append((now_ms, max(0.0, wait_ms)))

    def usual_wait_ms(self, now_ms: float) -> float:
        """Quantile WAIT_QUANTILE of the recent waits at all servers and of the ages of outstanding set-ups.

        Not the mean: a few overloaded servers, with many old set-ups, say nothing about the others.
        """
        while self.recent_waits and self.recent_waits[0][0] < now_ms - WAIT_WINDOW_MS:
            self.recent_waits.popleft()
        ages = [now_ms - sent_ms for sent_ms in self.in_flight.values()]
        samples = sorted([wait_ms for _, wait_ms in self.recent_waits] + ages)
        return samples[int(WAIT_QUANTILE * len(samples))] if len(samples) >= MIN_WAIT_SAMPLES else 0.0

    def wait_penalty(self, now_ms: float, server: str, estimate: ServerEstimate) -> float:
        """The penalty for this sender's own waits at the server, decayed to now_ms.

        The decay scales with the mean gap between this sender's calls to the server, since only its own calls
        show whether the server has recovered.  With a fixed time constant, hundreds of senders that each send
        rarely would all return before any of them had a new measurement.
        """
        if estimate.wait_penalty <= 0.0:
            return 0.0
        gap_ms = 1.0 / max(1e-6, self.capacity_share(server) * self.call_rate.value(now_ms))
        return estimate.wait_penalty * math.exp(
            (estimate.wait_penalty_ms - now_ms) / (WAIT_PENALTY_FADE_MS + WAIT_PENALTY_FADE_GAPS * gap_ms)
        )

    # -- capacity -------------------------------------------------------------------------------------
    def _update_line_totals(self) -> None:
        self.min_lines = min((s.lines for s in self.servers.values() if s.lines > 0), default=0.0)
        self.max_active_lines = max(
            self.max_active_lines, sum(s.lines for s in self.servers.values() if s.active)
        )
        self._update_per_line_rates()

    def _update_per_line_rates(self) -> None:
        known = [s for s in self.servers.values() if s.lines > 0 and s.capacity.per_s is not None]
        self.per_s_per_line = _per_s_per_line([estimate for estimate in known if estimate.active])
        of_any = self.per_s_per_line if self.per_s_per_line is not None else _per_s_per_line(known)
        self.fallback_per_s_per_line = of_any if of_any is not None else self.fallback_per_s_per_line

    def capacity_per_s(self, estimate: ServerEstimate) -> float | None:
        """Set-ups per second that the server can handle when warm, by its reports or else by its lines."""
        if estimate.capacity.per_s is not None:
            return estimate.capacity.per_s
        return (
            estimate.lines * self.per_s_per_line
            if estimate.lines > 0 and self.per_s_per_line is not None
            else None
        )

    def min_capacity_per_s(self, server: str) -> float | None:
        """Lower bound of the set-ups per second that the server can handle when warm.

        From its own reports, or from those of other servers in proportion to the lines, or, where no server
        reports its capacity, from the arrival rates that others carry; None where nothing is known of any.
        """
        estimate = self.servers[server]
        if estimate.capacity.per_s is not None:
            return estimate.capacity.per_s / (1.0 + estimate.capacity.error)
        lines = estimate.lines or self.min_lines
        if lines <= 0.0:
            return None
        if self.fallback_per_s_per_line is not None:
            return lines * self.fallback_per_s_per_line / (1.0 + LINE_ESTIMATE_ERROR)
        others = [
            other
            for other in self.servers.values()
            if other is not estimate
            and other.active
            and other.lines > 0.0
            and other.arrivals.per_s is not None
        ]
        carried_per_s = sum(other.arrivals.per_s or 0.0 for other in others)
        return lines * carried_per_s / sum(other.lines for other in others) if carried_per_s > 0.0 else None

    def capacity_share(self, server: str) -> float:
        """The server's part of the fleet's capacity: as reported, else by lines, else equal for all."""
        estimate = self.servers[server]
        if self.max_active_lines <= 0.0:
            return 1.0 / self.max_active_servers
        if estimate.capacity.per_s is not None and self.per_s_per_line is not None:
            max_per_s = (
                estimate.lines / self.mean_hold_ms * 1000.0
                if self.mean_hold_ms > 0.0 and estimate.lines > 0.0
                else math.inf
            )
            return min(estimate.capacity.per_s, max_per_s) / self.per_s_per_line / self.max_active_lines
        lines = estimate.lines or self.min_lines
        return lines / self.max_active_lines if lines > 0 else 1.0 / self.max_active_servers

    def warmth(self, now_ms: float, estimate: ServerEstimate) -> float:
        """Lower bound of the server's speed, as a part of its warm speed."""
        if estimate.started_ms is None:
            return 1.0
        age = max(0.0, (now_ms - estimate.started_ms) / self.timing.ramp_ms)
        return min(1.0, self.timing.cold_from + (1.0 - self.timing.cold_from) * age)

    # -- load -----------------------------------------------------------------------------------------
    def target_per_s(self, now_ms: float, estimate: ServerEstimate) -> float | None:
        """Set-ups per second from all senders at which the server's mean wait is TARGET_WAIT of the aim.

        The mean wait of an M/D/1 queue is s * u / (2 - 2u) at the utilization u and the service time s.
        """
        if (per_s := self.capacity_per_s(estimate)) is None:
            return None
        warm = per_s * self.warmth(now_ms, estimate)
        service_ms = 1000.0 / warm
        target = warm * (1.0 - service_ms / (2.0 * TARGET_WAIT * self.timing.aim_ms + service_ms))
        if self.mean_hold_ms > 0.0 and estimate.lines > 0.0:
            target = min(target, estimate.lines / self.mean_hold_ms * 1000.0)  # limited by its lines
        reported = estimate.capacity.reported_per_s * self.warmth(now_ms, estimate)
        if reported < target:
            target -= (target - reported) * math.exp(
                (estimate.capacity.reported_ms - now_ms) / REPORT_FADE_MS
            )
        return target

    def _update_load_error(
        self, now_ms: float, server: str, estimate: ServerEstimate, span_ms: float
    ) -> None:
        target = self.target_per_s(now_ms, estimate)
        if target is None or estimate.arrivals.per_s is None or estimate.arrivals.relative_error() > 1.0:
            return
        # Abandoned set-ups free their lines, so the change of the lines in use makes a congested server look
        # idle; their number does not.
        held_per_s = min(
            MAX_HELD_LOAD * target,
            (estimate.lines - (estimate.free_lines or 0.0)) / self.mean_hold_ms * 1000.0,
        )
        deviation = math.log(max(0.05, max(estimate.arrivals.per_s, held_per_s) / max(target, 0.1)))
        margin = estimate.capacity.error if estimate.capacity.per_s is not None else LINE_ESTIMATE_ERROR
        estimate.load_error = math.copysign(max(0.0, abs(deviation) - margin), deviation)
        if self.wait_penalty(now_ms, server, estimate) > LINES_DISTRUST_PENALTY:
            estimate.load_error = max(0.0, estimate.load_error)
        integral = estimate.load_integral + estimate.load_error * min(span_ms, 2000.0) / INTEGRAL_TIME_MS
        estimate.load_integral = min(MAX_INTEGRAL, max(MIN_INTEGRAL, integral))
        if now_ms - self.demand_measured_ms >= MIN_REPORT_SPACING_MS:
            self.demand_measured_ms, self.excess_demand = now_ms, self._measure_excess_demand(now_ms)

    def _measure_excess_demand(self, now_ms: float) -> float:
        """Natural logarithm of the fleet's arrival rate over its capacity; 0 where most loads are unknown."""
        demand = capacity = lines = known_lines = 0.0
        for estimate in self.servers.values():
            if not estimate.active or estimate.lines <= 0:
                continue
            lines += estimate.lines
            target = self.target_per_s(now_ms, estimate)
            if (
                target is None
                or estimate.arrivals.per_s is None
                or now_ms - estimate.arrivals.updated_ms > REPORT_FADE_MS
            ):
                continue
            known_lines += estimate.lines
            demand += estimate.arrivals.per_s
            # A server without free lines takes only as many calls as end.
            capacity += min(target, estimate.arrivals.per_s + (estimate.free_lines or 0.0) / self.mean_width)
        self.loads_known = known_lines > MIN_KNOWN_LINES * lines and min(demand, capacity) > 0.0
        return math.log(demand / capacity) if self.loads_known else 0.0

    def capacity_known(self, server: str) -> bool:
        """Whether the server has reported its capacity."""
        return self.servers[server].capacity.per_s is not None

    def load_known(self, server: str) -> bool:
        """Whether both the arrival rate and the capacity of the server are estimated."""
        estimate = self.servers[server]
        return estimate.arrivals.per_s is not None and self.capacity_per_s(estimate) is not None

    def first_choice_share(self, now_ms: float, server: str) -> float:
        """The part of its first-choice calls that the server should get; 1 if its load is unknown."""
        estimate = self.servers[server]
        if not self.load_known(server):
            return 1.0
        penalty = max(0.0, estimate.load_integral) + PROPORTIONAL_GAIN * max(0.0, estimate.load_error)
        lines = min(
            1.0,
            FIRST_CHOICE_LINES * ((estimate.free_lines or 0.0) > 0.0) + self._line_availability(estimate),
        )
        return math.exp(-max(penalty, self.wait_penalty(now_ms, server, estimate))) * lines

    def reroute_weight(self, now_ms: float, server: str) -> float:
        """Weight of the server as a target of rerouted calls: its capacity share, reduced by its load."""
        estimate = self.servers[server]
        if not self.load_known(server):
            return self.capacity_share(server)
        penalty = max(
            estimate.load_integral + PROPORTIONAL_GAIN * estimate.load_error,
            self.wait_penalty(now_ms, server, estimate) or -math.inf,
        )
        return self.capacity_share(server) * math.exp(-penalty) * self._line_availability(estimate)

    def _line_availability(self, estimate: ServerEstimate) -> float:
        """Free lines over the lines needed until the next report, at most 1.

        The factor rations the last free lines, since all senders see them at once.
        """
        if estimate.free_lines is None or estimate.arrivals.per_s is None:
            return 1.0
        expected_lines = estimate.arrivals.per_s * self.mean_width * REPORT_INTERVAL_MS / 1000.0
        return min(1.0, estimate.free_lines / max(1.0, LINE_RESERVE * expected_lines))

    def overload(self, now_ms: float) -> float:
        """Part of the offered calls that the fleet cannot serve in time.

        It combines the fleet's wait, which grows with past excess demand, and the present excess demand: the
        wait alone reacts late, and the demand alone would never drain the queues.
        """
        wait = self.usual_wait_ms(now_ms) / self.timing.aim_ms
        if wait < SHED_START / 2.0:
            return (
                0.0  # lines that fill up without long waits, as after a start of all servers, are no overload
            )
        late = (wait - (SHED_START if self.loads_known else SHED_START_LOAD_UNKNOWN)) / SHED_SPAN
        return min(MAX_SHED, max(0.0, late + EXCESS_DEMAND_GAIN * max(0.0, self.excess_demand)))

    def should_shed(self, now_ms: float, worth: float, draw: float) -> bool:
        """Whether to shed a call of this worth; calls of the least worth go first.

        draw: the call's own random number between 0 and 1.
        """
        if (overload := self.overload(now_ms)) <= 0.0:
            return False
        total = sum(self.calls_by_worth.values())
        below = sum(count for key, count in self.calls_by_worth.items() if key < worth)
        return draw * self.calls_by_worth.get(worth, 0.0) < overload * total - below
