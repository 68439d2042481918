"""All booking servers as one sender sees them: their sizes, how pressed each is, and how pressed all are.

What hundreds of senders see alike (lines told to all at once) sets shares, never a yes or no: each call has a
draw of its own, so that all of them together send what a server can take, whatever their number.  Pure: times
in milliseconds come in with each call.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from capershelf.estimation.server_rates import SPAN_MS, ArrivalRate, Capacity
from capershelf.estimation.rates import Rate

LEVEL = 0.5  # mean wait at the target load, of the least aim
NOW_MS = 3000.0  # a telling stands so long, fading, before the usual size is believed again
PRICE_MS = 4000.0  # the price rises and falls in so long for a load that is off by a factor e
AT_ONCE = 1.0  # and at once by this part of it
MOST_PRICE = 4.0  # natural logarithm: one call in 55
LEAST_PRICE = -0.7  # a server with room gets up to twice its share of what is led around
RESERVE = 1.5  # free lines below what comes in so many tellings are shared out,
ENDING = 0.3  # and so much on top for whom it is the first choice, for lines get free meanwhile
HELD_MOST = 1.3  # a server's taken lines show it to be over its target by no more than this
USUAL_TELL_MS = 1000.0
POOLED_MS = 2000.0  # waits seen so lately tell how pressed all are,
LEAST_WAITS, MOST_WAITS = 4, 31  # from so many on, and of no more
SHED_FROM, SHED_OVER = 0.3, 0.7  # calls are shed from this wait on, in aims, and all of them so much later
SHED_UNKNOWN = 0.8  # where nothing tells the servers' loads: a small server's usual work is a long wait, too
SHED_PART = 0.7
SHED_ASKED = 0.7  # and by this part of what comes above what all can take
MOST_SHED = 0.9
LINES_ERROR = 0.35  # relative, of a size told by lines alone
# Waits seen here: their price at the most, what one adds, what a short one takes off, and how it fades.
OWN_MOST, OWN_STEP, OWN_REST, OWN_MS, OWN_GAPS = 3.0, 1.5, 0.3, 3000.0, 2.0
OWN_DOUBT = 0.2  # over this the lines of a server do not speak for it: those given up on free them, too
LEAST_KNOWN = 0.5  # of all lines belong to servers whose size is known: less says nothing of all


@dataclass(frozen=True, slots=True)
class Timing:
    """What the settings tell of times."""

    aim_ms: float  # the least
    cold_from: float
    ramp_ms: float


@dataclass(slots=True)
class ServerEstimate:
    """One booking server."""

    lines: float = 0.0
    active: bool = True
    started_ms: float | None = None
    capacity: Capacity = field(default_factory=Capacity)
    arrivals: ArrivalRate = field(default_factory=ArrivalRate)
    free: float | None = None
    price: float = 0.0  # how far it is over its target, summed up over time
    push: float = 0.0  # and as it was last seen
    own_price: float = 0.0  # by the waits that this sender saw itself
    own_price_ms: float = -math.inf


def _per_line(servers: list[ServerEstimate]) -> float | None:
    """Set-ups a second for each line, over these servers."""
    lines = sum(estimate.lines for estimate in servers)
    return sum(estimate.capacity.per_s or 0.0 for estimate in servers) / lines if lines > 0 else None


class FleetEstimates:
    """Estimates of all booking servers for one sender."""

    def __init__(self) -> None:
        self.timing = Timing(math.inf, 1.0, 1.0)
        self.servers: dict[str, ServerEstimate] = {}
        self.most_servers = 1
        self.most_lines = 0.0  # of all active servers together, at most
        self.ratio: float | None = None  # set-ups a second for each line, over the servers that have told
        self.any_ratio: float | None = None  # the same of those that drain or are gone, where only these have
        self.least_lines = 0.0
        self.hold_ms, self.width, self.asked = 0.0, 1.0, 0.0
        self.asked_rate = Rate()  # set-ups asked of this sender, a ms
        self.worths: dict[float, float] = {}  # how much was asked of each worth, fading
        self.asked_over, self.loads_known = 0.0, False
        self.waits: deque[tuple[float, float]] = deque(maxlen=MOST_WAITS)  # (when seen, how long)
        self.in_flight: dict[int, float] = {}  # set-ups that are out, and when they were sent
        self.looked_ms = -math.inf

    # -- what comes in --------------------------------------------------------------------------------
    def update_servers(self, servers: Iterable[tuple[str, bool, float | None]]) -> None:
        """The list as it stands: server, whether it is active, and when its process started."""
        named: dict[str, ServerEstimate] = {}
        for server, active, started_ms in servers:
            estimate = self.servers.get(server) or ServerEstimate(started_ms=started_ms)
            if started_ms != estimate.started_ms:
                estimate.started_ms, estimate.price, estimate.push, estimate.free = started_ms, 0.0, 0.0, None
                estimate.arrivals.forget()
            estimate.active = active
            named[server] = estimate
        self.servers = named
        self.most_servers = max(self.most_servers, sum(1 for estimate in named.values() if estimate.active))
        self._sizes()

    def note_call(self, now_ms: float, hold_ms: float | None, width: float, worth: float) -> None:
        """A call that is asked for, with the mean length of its class where the settings tell it."""
        self.asked_rate.add(now_ms)
        self.asked = min(self.asked + 1.0, 500.0)
        part = 1.0 / self.asked
        self.width += part * (width - self.width)
        if hold_ms is not None and hold_ms > 0.0:
            self.hold_ms += part * (width * hold_ms - self.hold_ms) if self.hold_ms > 0.0 else width * hold_ms
        if self.asked % 50.0 == 0.0 or self.asked == 500.0:
            self.worths = {key: 0.99 * count for key, count in self.worths.items() if count > 0.05}
        self.worths[worth] = self.worths.get(worth, 0.0) + 1.0

    def take_report(
        self,
        now_ms: float,
        server: str,
        free: float | None,
        lines: float | None,
        per_s: float | None,
    ) -> None:
        """A report of the server's, asked for or not."""
        if (estimate := self.servers.get(server)) is None:
            return
        if per_s is not None:
            estimate.capacity.report(now_ms, per_s / self.warmth(now_ms, estimate))
        if lines is not None and lines != estimate.lines and free is not None:
            estimate.lines = lines
            self._sizes()
        elif per_s is not None:
            self._ratio()
        if free is None:
            return
        estimate.free = free
        before_ms = estimate.arrivals.at_ms
        taken = max(0.0, estimate.lines - free)
        if self.hold_ms > 0.0 and estimate.arrivals.report(now_ms, taken, self.hold_ms, self.width):
            self._price(now_ms, server, estimate, now_ms - before_ms)

    def note_wait(self, now_ms: float, server: str, wait_ms: float) -> None:
        """A wait seen at a server, at the least: of a set-up given up on, its age."""
        usual_ms = SHED_FROM * self.timing.aim_ms
        if (estimate := self.servers.get(server)) is not None:
            own = self.own_price(now_ms, server, estimate)
            late = wait_ms / usual_ms - 1.0
            own = min(OWN_MOST, own + min(OWN_STEP, late)) if late > 0.0 else max(0.0, own - OWN_REST)
            estimate.own_price, estimate.own_price_ms = own, now_ms
        self.waits.append((now_ms, max(0.0, wait_ms)))

    def usual_wait_ms(self, now_ms: float) -> float:
        """The wait of now at most servers: under it are SHED_PART of those seen lately and of what is out.

        Not the mean: a few crushed servers, where much is out for long, say nothing of all the others.
        """
        while self.waits and self.waits[0][0] < now_ms - POOLED_MS:
            self.waits.popleft()
        ages = [now_ms - at_ms for at_ms in self.in_flight.values()]
        found = sorted([wait_ms for _, wait_ms in self.waits] + ages)
        return found[int(SHED_PART * len(found))] if len(found) >= LEAST_WAITS else 0.0

    def own_price(self, now_ms: float, server: str, estimate: ServerEstimate) -> float:
        """The price by this sender's own waits there; it fades in so many of its usual gaps, for it learns by
        what it sends: where hundreds send seldom, all would come back before one has learned anything."""
        if estimate.own_price <= 0.0:
            return 0.0
        gap_ms = 1.0 / max(1e-6, self.share(server) * self.asked_rate.value(now_ms))
        return estimate.own_price * math.exp((estimate.own_price_ms - now_ms) / (OWN_MS + OWN_GAPS * gap_ms))

    # -- sizes ----------------------------------------------------------------------------------------
    def _sizes(self) -> None:
        self.least_lines = min((s.lines for s in self.servers.values() if s.lines > 0), default=0.0)
        self.most_lines = max(self.most_lines, sum(s.lines for s in self.servers.values() if s.active))
        self._ratio()

    def _ratio(self) -> None:
        known = [s for s in self.servers.values() if s.lines > 0 and s.capacity.per_s is not None]
        self.ratio = _per_line([estimate for estimate in known if estimate.active])
        of_any = self.ratio if self.ratio is not None else _per_line(known)
        self.any_ratio = of_any if of_any is not None else self.any_ratio

    def per_s(self, estimate: ServerEstimate) -> float | None:
        """Set-ups a second that it can do warm; by its lines where it has not told, None if neither."""
        if estimate.capacity.per_s is not None:
            return estimate.capacity.per_s
        return estimate.lines * self.ratio if estimate.lines > 0 and self.ratio is not None else None

    def sure_per_s(self, server: str) -> float | None:
        """Set-ups a second that it can surely do, warm: by what it told, or by what others of its size told
        or, where none tells, carry; None where nothing is seen of any."""
        estimate = self.servers[server]
        if estimate.capacity.per_s is not None:
            return estimate.capacity.per_s / (1.0 + estimate.capacity.error)
        lines = estimate.lines or self.least_lines
        if lines <= 0.0:
            return None
        if self.any_ratio is not None:
            return lines * self.any_ratio / (1.0 + LINES_ERROR)
        others = [
            one
            for one in self.servers.values()
            if one is not estimate and one.active and one.lines > 0.0 and one.arrivals.per_s is not None
        ]
        carried = sum(one.arrivals.per_s or 0.0 for one in others)
        return lines * carried / sum(one.lines for one in others) if carried > 0.0 else None

    def share(self, server: str) -> float:
        """The server's part of what all can do: by what they told, by their lines, or all alike."""
        estimate = self.servers[server]
        if self.most_lines <= 0.0:
            return 1.0 / self.most_servers
        if estimate.capacity.per_s is not None and self.ratio is not None:
            most = (
                estimate.lines / self.hold_ms * 1000.0
                if self.hold_ms > 0.0 and estimate.lines > 0.0
                else math.inf
            )
            return min(estimate.capacity.per_s, most) / self.ratio / self.most_lines
        lines = estimate.lines or self.least_lines
        return lines / self.most_lines if lines > 0 else 1.0 / self.most_servers

    def warmth(self, now_ms: float, estimate: ServerEstimate) -> float:
        """Part of its warm speed that a server has at least."""
        if estimate.started_ms is None:
            return 1.0
        age = max(0.0, (now_ms - estimate.started_ms) / self.timing.ramp_ms)
        return min(1.0, self.timing.cold_from + (1.0 - self.timing.cold_from) * age)

    # -- how pressed ----------------------------------------------------------------------------------
    def target(self, now_ms: float, estimate: ServerEstimate) -> float | None:
        """Set-ups a second that the server should get from all: so many that its mean wait stays at LEVEL.

        A processor with one line and equal work waits s * u / (2 - 2u) at a load of u; s is a set-up's work.
        """
        if (per_s := self.per_s(estimate)) is None:
            return None
        warm = per_s * self.warmth(now_ms, estimate)
        work_ms = 1000.0 / warm
        most = warm * (1.0 - work_ms / (2.0 * LEVEL * self.timing.aim_ms + work_ms))
        if self.hold_ms > 0.0 and estimate.lines > 0.0:
            most = min(most, estimate.lines / self.hold_ms * 1000.0)  # no more can stand there
        told = estimate.capacity.told_per_s * self.warmth(now_ms, estimate)
        if told < most:
            most -= (most - told) * math.exp((estimate.capacity.told_ms - now_ms) / NOW_MS)
        return most

    def _price(self, now_ms: float, server: str, estimate: ServerEstimate, span_ms: float) -> None:
        target = self.target(now_ms, estimate)
        if target is None or estimate.arrivals.per_s is None or estimate.arrivals.error() > 1.0:
            return
        # Set-ups that are given up free their lines: a jam looks idle by what changes, not by what is taken.
        usual = min(HELD_MOST * target, (estimate.lines - (estimate.free or 0.0)) / self.hold_ms * 1000.0)
        off = math.log(max(0.05, max(estimate.arrivals.per_s, usual) / max(target, 0.1)))
        error = estimate.capacity.error if estimate.capacity.per_s is not None else LINES_ERROR
        estimate.push = math.copysign(max(0.0, abs(off) - error), off)  # within its error nothing is known
        if self.own_price(now_ms, server, estimate) > OWN_DOUBT:
            estimate.push = max(0.0, estimate.push)
        price = estimate.price + estimate.push * min(span_ms, 2000.0) / PRICE_MS
        estimate.price = min(MOST_PRICE, max(LEAST_PRICE, price))
        if now_ms - self.looked_ms >= SPAN_MS:
            self.looked_ms, self.asked_over = now_ms, self._asked(now_ms)

    def _asked(self, now_ms: float) -> float:
        """Natural logarithm of what all are asked over what all can take; 0 where most are not known."""
        asked = able = lines = known = 0.0
        for estimate in self.servers.values():
            if not estimate.active or estimate.lines <= 0:
                continue
            lines += estimate.lines
            target = self.target(now_ms, estimate)
            if target is None or estimate.arrivals.per_s is None or now_ms - estimate.arrivals.at_ms > NOW_MS:
                continue
            known += estimate.lines
            asked += estimate.arrivals.per_s
            # A server with no line left takes what ends.
            able += min(target, estimate.arrivals.per_s + (estimate.free or 0.0) / self.width)
        self.loads_known = known > LEAST_KNOWN * lines and min(asked, able) > 0.0
        return math.log(asked / able) if self.loads_known else 0.0

    def capacity_known(self, server: str) -> bool:
        """Whether it has told what it can do."""
        return self.servers[server].capacity.per_s is not None

    def load_known(self, server: str) -> bool:
        """Whether the server's load stands on enough to go by."""
        estimate = self.servers[server]
        return estimate.arrivals.per_s is not None and self.per_s(estimate) is not None

    def first_choice_share(self, now_ms: float, server: str) -> float:
        """The part of the calls for this server that it should get; 1 where nothing speaks against it."""
        estimate = self.servers[server]
        if not self.load_known(server):
            return 1.0
        price = max(0.0, estimate.price) + AT_ONCE * max(0.0, estimate.push)
        lines = min(1.0, ENDING * ((estimate.free or 0.0) > 0.0) + self._lines(estimate))
        return math.exp(-max(price, self.own_price(now_ms, server, estimate))) * lines

    def reroute_weight(self, now_ms: float, server: str) -> float:
        """Its weight among those that calls may be led around to: what it can do, less where pressed."""
        estimate = self.servers[server]
        if not self.load_known(server):
            return self.share(server)
        price = max(
            estimate.price + AT_ONCE * estimate.push, self.own_price(now_ms, server, estimate) or -math.inf
        )
        return self.share(server) * math.exp(-price) * self._lines(estimate)

    def _lines(self, estimate: ServerEstimate) -> float:
        """Free lines against what comes until the next telling: few are shared out among all senders."""
        if estimate.free is None or estimate.arrivals.per_s is None:
            return 1.0
        coming = estimate.arrivals.per_s * self.width * USUAL_TELL_MS / 1000.0
        return min(1.0, estimate.free / max(1.0, RESERVE * coming))

    def overload(self, now_ms: float) -> float:
        """The part of what is asked for that is more than all can take in time.

        By the wait of all, which grows with what was too much before, and by what comes now: the first alone
        would answer late, the second alone would never work off what waits.
        """
        part = self.usual_wait_ms(now_ms) / self.timing.aim_ms
        if part < SHED_FROM / 2.0:
            return 0.0  # lines that fill up, as at the start of all, are no overload
        late = (part - (SHED_FROM if self.loads_known else SHED_UNKNOWN)) / SHED_OVER
        return min(MOST_SHED, max(0.0, late + SHED_ASKED * max(0.0, self.asked_over)))

    def sheds(self, now_ms: float, worth: float, drawn: float) -> bool:
        """Whether a call of this worth is more than all can take, least worth first; drawn: its own lot."""
        if (over := self.overload(now_ms)) <= 0.0:
            return False
        total = sum(self.worths.values())
        below = sum(count for key, count in self.worths.items() if key < worth)
        return drawn * self.worths.get(worth, 0.0) < over * total - below
