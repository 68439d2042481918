"""Every decision of capershelf.  The types that come in and go out are in capershelf/interface.py.

One Controller serves one gateway.  Each server has a Gate: Patil's threshold-and-time detector
(docs/design.md) with the judged state of the server.  A call is held, out, or awaiting release;
once answered it is forgotten."""

from __future__ import annotations

import math
import random
import zlib
from collections import deque

from capershelf.interface import (
    Action,
    AttemptEnded,
    CallClass,
    CallAbandoned,
    Cancel,
    Event,
    Fail,
    LearnedServer,
    ListedServer,
    Log,
    NewCall,
    SettingsChanged,
    Probe,
    RestoredKnowledge,
    Refuse,
    LoadReport,
    Result,
    Send,
    ServerList,
    ServerReport,
    SetTimer,
    Settings,
    ServerStatus,
    AttemptSucceeded,
    TimerFired,
    ConnectionReplaced,
    RefusalReason,
)
from capershelf.estimation import RATE_FADE_MS, ColdTokens, FleetEstimates, Quotas, Rate, Timing

# The detector, as the paper and the design page have it.
RATIO = 1.2  # sent over answered above this, judged each interval, sets the overload flag
INTERVAL_MS = 500.0  # the paper's interval for dynamic requests
SMOOTHING = 0.3  # weight of the newest interval in the exponential averages
JUDGED_AFTER = 20  # set-ups before the ratio is judged
LEAST_OUT = 3.0  # outstanding weight under which the ratio says nothing: small counts swing past it by chance
LEAST_THRESHOLD = 10.0  # a ratio flag never sets the threshold lower
TRIES = 2  # servers that may answer 'full' before the call is refused

# The threshold in time: what a few set-ups a second tell of a processor's wait.
WRITTEN_FOR_MS = 262.5  # the wait threshold that the times below from HOLD to TRIAL are written for
WAIT_SHARE = 0.35  # a wait above this share of the least aim (or resend time) is over the threshold
DEAR_FACTOR = 1.6  # calls of more than usual worth may join a wait so much longer
POOR_FACTOR = 0.5  # calls of little worth only one so much shorter
NEWS_WEIGHT = 0.6  # weight of the newest answer in the seen wait
FADE_MS = 1500.0  # in which a wait is forgotten, where the server's load is seen otherwise
# Holding.
HOLD_SHARE = 0.55  # a call is held no longer than this share of its aim
LATE_HOLD_MS = 400.0  # and when its aim is past, or it is worth little, no longer than this
LATE_TRY_MS = 1500.0  # time-out of an attempt once the aim is past
POOR = 0.3  # share of the least class worth under which a call is worth little
PACE_MS = 6000.0  # own answers of so long make the pace
PACE = 2.0  # calls that waited pass a clear gate at so many times the pace of its answers,
MOST_PACE_MS = 400.0  # and never further apart than this;
USUAL = 0.5  # share of its part of the best rate that a warm server not pressed lately can surely do
IDLE_PACE = 0.5  # an idle server's gaps are so much shorter
IDLE_SHARE = 0.5  # a server is idle with no more out than is asked of it in this share of the wait threshold
# Silence.
SILENT_FACTOR = 2.0  # times the wait threshold, plus a usual answer time: no answer for so long is silence
OVERTAKEN = 0.5  # wait thresholds by which a set-up must have been sent sooner to be overtaken
ELSEWHERE = 0.5  # wait thresholds that most servers must wait for a slow one's set-ups to be left to it
PULSES = 1.8  # pulses of which one must have come from a server that lives
SLOW_FACTOR = 3.0  # usual answer times to add: a small server answers a sender but seldom
ERRORS = 8  # numbers that failed at a server with no success between: the server is failing.  One that fails
# two in five seldom has so many; what it does answer is worth more than what the others have no room for.
CALL_ERRORS = 3  # errors that a call may meet before it is given up
# Trials are paced by the sender's own traffic: their sum over any fleet is a share of a server's usual load.
TRIAL_GAPS = 1.2  # a flagged one after so many usual gaps, times its wait over the limit squared,
MOST_GAPS = 8.0  # and no more than these;
SILENT_GAPS = 3.0  # a silent one after so many at least,
TRIAL_MS = 1000.0  # and no sooner; probes of a server are no closer either
PROBES_S = 8.0  # probes a second that a server gets from all senders together, at the most
STALL_MS = 150.0  # own pauses: a timer so late tells that this gateway itself stood still,
WARY_MS = 10000.0  # which it may do again for so long;
PULSE_MS = 100.0  # a timer this often notices it
SURE_SENDS = 4.0  # set-ups a window that a cold server can do, knowing nothing, from all senders together
ASKED_SHARE = 0.4  # share of what is asked for that the servers can surely do, at the worst load and burst
BEST_MS = 60000.0  # and the best of the answered rate in so long
GONE_MS = 60000.0  # a server that is gone is remembered so long: one that comes back is taken for cold
# Worth.
STAY = 2.0  # wait, in thresholds, for which a caller must at least stay to be sent to a server in trouble
KEPT_LINES = 0.03  # share of a server's lines that calls of little worth leave free
REDIAL_MS = 20000.0  # a number asked for again within this is its caller dialling again
NUMBERS = 4000  # numbers that are remembered in any case
BUSY_MS = 5000.0  # a number whose lines were all busy is taken to be so for this long
BUSY_WORTH = 0.1  # worth of a call to such a number, of its class's
MANY = 60  # held calls above which only the tick looks at all of them
TICK_MS = 25.0  # the controller looks at ageing calls this often
LOG_MS = 5000.0  # one line of a kind for a server in this time


class Call:
    """A call's life here: held (server None), out (server set); ready_ms is when its release is over."""

    __slots__ = (
        "number",
        "id",
        "kind",
        "far_end",
        "weight",
        "expires_ms",
        "arrived_ms",
        "aim_at_ms",
        "worth",
        "attempts",
        "fulls",
        "tried",
        "server",
        "sent_ms",
        "ready_ms",
        "cancelled",
        "give_up_ms",
        "timeout_ms",
        "errors",
    )

    def __init__(self, event: NewCall, kind: CallClass, now_ms: float) -> None:
        self.id, self.number, self.far_end, self.kind = event.call, event.number, event.preferred_pool, kind
        self.weight = float(max(1, event.width))
        self.expires_ms = event.expires_ms
        self.arrived_ms = now_ms
        self.aim_at_ms = now_ms + kind.aim_ms
        self.worth = kind.worth
        self.attempts = self.fulls = self.errors = 0
        self.tried: set[str] = set()
        self.server: str | None = None
        self.sent_ms, self.ready_ms, self.cancelled = 0.0, now_ms, False
        self.give_up_ms = self.timeout_ms = math.inf  # the latter of its last attempt


class Gate:
    """Detector and gate of one server for this sender, with the server's judged state."""

    def __init__(self, listed: ListedServer, rank: int, overtaken_ms: float = math.inf) -> None:
        self.id = listed.server
        self.place = listed.pool
        self.rank = rank  # position in the sender's hash order
        self.standing = listed.status
        self.gone_ms = math.inf  # since when it is gone
        self.started_ms = listed.started_ms
        self.in_load = self.out_load = self.in_average = self.out_average = self.outstanding = 0.0
        self.set_ups, self.threshold = 0, math.inf
        self.ratio_high = self.flagged = self.silent = False
        self.out: dict[int, Call] = {}  # in the order of sending
        self.overtaken_ms = overtaken_ms
        self.told_ms = self.pulse_ms = -math.inf  # when it last told its state unasked, and the usual gap
        self.passed_ms = -math.inf  # when the latest of the set-ups that it has answered was sent
        self.seen_wait_ms, self.fade_ms = 0.0, math.inf
        self.base_ms = math.inf  # least answer time seen: the way there and back and an idle processor
        self.seen_at_ms = self.heard_ms = self.tried_ms = self.probed_ms = -math.inf
        self.usual_rate = 0.0  # answers a ms before this start, where that is remembered
        self.next_ms = -math.inf  # when the next of several waiting calls may pass, once clear
        self.pressed_ms = -math.inf  # when its wait was last over the limit, or it was silent
        self.free_lines: float | None = None
        self.lines = 0.0
        self.tokens = ColdTokens(0, 1, 0.0, 1.0)  # this sender's for it while it is cold
        self.sender_share = listed.sender_share
        self.answered_at: deque[float] = deque()
        self.errors: set[str] = set()  # numbers that failed there, and not elsewhere, since the last success
        self.failing = False  # silent for its errors
        self.logged: dict[str, float] = {}

    def recall(self, known: LearnedServer) -> None:
        """Start from what is remembered; the cold budget never comes to know of it."""
        self.usual_rate, self.silent = known.rate_per_s / 1000.0, known.ejected
        self.seen_wait_ms = known.wait_ms
        self.base_ms = math.inf if known.base_latency_ms is None else known.base_latency_ms
        self.threshold = math.inf if known.threshold is None else known.threshold

    # -- the detector ---------------------------------------------------------------------------------
    def judge(self) -> None:
        """The ratio test at the end of an interval, over exponential averages."""
        self.in_average += SMOOTHING * (self.in_load - self.in_average)
        self.out_average += SMOOTHING * (self.out_load - self.out_average)
        high = (
            self.in_load > 0
            and self.set_ups >= JUDGED_AFTER
            and self.outstanding >= LEAST_OUT  # at a few set-ups a second one on its way is no overload
            and self.in_average > RATIO * self.out_average
        )
        self.in_load = self.out_load = 0.0
        if high and not self.flagged:
            self.threshold = max(LEAST_THRESHOLD, self.outstanding)
        elif not high and self.outstanding > self.threshold:
            self.threshold = self.outstanding  # the paper's update step
        self.ratio_high = high

    def wait_ms(self, now_ms: float, since_ms: float) -> float:
        """The processor's wait as this sender can tell it: the last answers', or the oldest set-up's age.
        The age counts from since_ms, when this sender last woke: its own pause is not the server's."""
        if (call := self.oldest()) is not None:
            base_ms = self.base_ms if self.base_ms < math.inf else 0.0
            return max(self.seen(now_ms), now_ms - max(call.sent_ms, since_ms) - base_ms)
        return self.seen(now_ms)

    def seen(self, now_ms: float) -> float:
        """The wait last seen; it fades where what all senders ask of the server is known."""
        return self.seen_wait_ms * (
            1.0 if self.fade_ms == math.inf else math.exp(min(0.0, self.seen_at_ms - now_ms) / self.fade_ms)
        )

    def overtaken(self, call: Call) -> bool:
        """Whether one sent well after it was answered: its own answer is lost, or another's business.
        A processor has one line.  Guards a server that works from being held for slow by one lost answer."""
        return call.sent_ms < self.passed_ms - self.overtaken_ms

    def oldest(self) -> Call | None:
        """The set-up out for longest that may still be in the processor's line."""
        return next((call for call in self.out.values() if not self.overtaken(call)), None)

    def refresh_flag(self, now_ms: float, limit_ms: float, waiting: bool, since_ms: float = 0.0) -> None:
        """Set or clear the overload flag."""
        waits = self.wait_ms(now_ms, since_ms) > limit_ms
        over = waits or self.outstanding > self.threshold
        if waits or self.silent:
            self.pressed_ms = now_ms
        self.flagged = over or (self.ratio_high and waiting)
        if not self.flagged:
            self.ratio_high = False

    def pulse(self, now_ms: float) -> None:
        """It has told its state unasked: its process runs and its way is whole."""
        gap_ms = now_ms - self.told_ms
        if PULSE_MS <= gap_ms < math.inf:
            self.pulse_ms = gap_ms if self.pulse_ms < 0.0 else self.pulse_ms + 0.3 * (gap_ms - self.pulse_ms)
        self.told_ms = now_ms

    def lives(self, now_ms: float) -> bool:
        """Whether its last pulse is no older than that it can be the latest."""
        return now_ms - self.told_ms < PULSES * self.pulse_ms

    def news(self, now_ms: float, wait_ms: float, weight: float) -> None:
        """A wait told by an answer or a report."""
        self.seen_wait_ms = self.seen(now_ms) + weight * (max(0.0, wait_ms) - self.seen(now_ms))
        self.seen_at_ms = now_ms


class Controller:
    """Decides for one gateway: handle() takes an event and gives the actions it calls for."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.gates: dict[str, Gate] = {}
        self.quotas = Quotas(settings.gateway_count)
        self.estimates = FleetEstimates()
        self.adopt(settings)
        self.version = -1
        self.calls: dict[int, Call] = {}
        self.held: dict[int, Call] = {}
        self.first_asked: dict[str, float] = {}
        self.busy_until: dict[str, float] = {}
        self.most_numbers = NUMBERS  # in first_asked, before the old ones are looked for
        self.now_ms = self.judge_at_ms = -math.inf
        self.timer_ms = math.inf  # when the earliest timer asked for is due
        self.woke_ms = -math.inf  # when this gateway last found that it had stood still
        self.asked, self.answered = Rate(), Rate()  # first tries, and calls that stand
        self.best_rate = 0.0
        self.recalled: dict[str, LearnedServer] = {}  # of servers that no list has named yet
        self.asked_before, self.recalled_ms = 0.0, 0.0
        self.at_place: dict[int, list[Gate]] = {}
        self.actions: list[Action] = []

    def adopt(self, settings: Settings) -> None:
        """Go by these settings from here on; what was learned stays, and calls keep the class they have."""
        check(settings)
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.least_worth = min(kind.worth for kind in settings.classes)
        resend_ms = settings.resend_ms if settings.resend_ms > 0 else math.inf
        aim_ms = min(kind.aim_ms for kind in settings.classes)
        self.limit_ms = WAIT_SHARE * min(1.5 * resend_ms, aim_ms)
        self.estimates.timing = Timing(aim_ms, settings.cold_from, settings.ramp_ms)
        # Times that belong to the aims are written for one limit, and go with that of the settings.
        self.scale = self.limit_ms / WRITTEN_FOR_MS
        self.ask_ms = max(self.scale * TRIAL_MS, settings.gateway_count * 1000.0 / PROBES_S)
        self.pace_ms, self.trial_ms = self.scale * PACE_MS, self.scale * TRIAL_MS
        for gate in self.gates.values():
            gate.overtaken_ms = OVERTAKEN * self.limit_ms
        self.quotas.configure({tenant.name: tenant.quota_per_s for tenant in settings.tenants})

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; the host carries the actions out in their order."""
        if not now_ms >= self.now_ms:
            raise ValueError(f"time runs backwards: {now_ms} after {self.now_ms}")
        self.now_ms = now_ms
        self.actions = []
        if now_ms - self.timer_ms > STALL_MS:
            # This gateway stood still: what it finds now came long ago, and the silence was its own.
            self.woke_ms = now_ms
        match event:
            case NewCall():
                self.new_call(event)
            case AttemptSucceeded():
                self.stands(event)
            case AttemptEnded():
                self.attempt_over(event)
            case ServerList():
                self.follow_list(event)
            case ServerReport():
                gate = self.gates.get(event.server)
                if event.result is Result.OK:
                    self.take_report(gate, event.report)
                if gate is not None and not event.probe:
                    gate.pulse(now_ms)
            case ConnectionReplaced():
                if (gate := self.gates.get(event.server)) is not None and not gate.errors:
                    gate.silent, gate.seen_wait_ms, gate.pressed_ms = False, 0.0, -math.inf
            case CallAbandoned():
                self.forget(self.calls.get(event.call))
            case RestoredKnowledge():
                self.recalled = {known.server: known for known in event.servers}
                self.asked_before, self.recalled_ms = event.new_calls_per_s / 1000.0, now_ms
            case SettingsChanged():
                self.adopt(event.settings)
            case TimerFired():
                if now_ms >= self.timer_ms - 1.0:
                    self.timer_ms = math.inf
            case _:
                raise TypeError(f"unknown event: {event!r}")
        self.turn(event)
        return self.actions

    def learned(self, server: str) -> LearnedServer | None:
        """What is known of a server, to be remembered; None of one that is not in service."""
        if (gate := self.gates.get(server)) is None or gate.standing is not ServerStatus.ACTIVE:
            return None
        rate = sum(1000.0 / self.pace_ms for at_ms in gate.answered_at if at_ms > self.now_ms - self.pace_ms)
        base_ms, threshold = (None if x == math.inf else x for x in (gate.base_ms, gate.threshold))
        return LearnedServer(gate.id, rate, gate.seen_wait_ms, base_ms, threshold, gate.silent)

    # -- events ---------------------------------------------------------------------------------------
    def new_call(self, event: NewCall) -> None:
        if event.call in self.calls:
            return
        kind = self.classes.get(event.call_class)
        if kind is None:
            raise ValueError(f"call {event.call} is of no known class: {event.call_class!r}")
        call = Call(event, kind, self.now_ms)
        self.calls[call.id] = self.held[call.id] = call
        self.rate_worth(call, event.tenant)
        self.estimates.record_call(self.now_ms, kind.hold_ms, call.weight, call.worth)
        if self.estimates.should_shed(self.now_ms, call.worth, drawn(call, 0)):
            self.answer(call, Refuse(call.id))

    def out_at(self, gate: Gate | None, event: AttemptSucceeded | AttemptEnded) -> Call | None:
        """The call whose attempt the event tells of; None for what is late, repeated or unknown."""
        call = self.calls.get(event.call)
        if gate is None or call is None or call.server != gate.id or event.attempt != call.attempts - 1:
            return None
        return call

    def stands(self, event: AttemptSucceeded) -> None:
        gate = self.gates.get(event.server)
        call = self.out_at(gate, event)
        if gate is None or call is None:
            return
        gate.base_ms = min(gate.base_ms, event.wait_ms)
        if self.woke_ms < self.now_ms or event.wait_ms - gate.base_ms <= self.limit_ms:
            gate.news(self.now_ms, event.wait_ms - gate.base_ms, NEWS_WEIGHT)
            self.estimates.record_wait(self.now_ms, gate.id, event.wait_ms - gate.base_ms)
        gate.heard_ms = self.now_ms
        gate.passed_ms = max(gate.passed_ms, call.sent_ms)
        gate.answered_at.append(self.now_ms)
        while gate.answered_at[0] <= self.now_ms - self.pace_ms:
            gate.answered_at.popleft()
        if self.best_rate > 0:
            self.best_rate *= math.exp((self.answered.updated_ms - self.now_ms) / BEST_MS)
        self.answered.add(self.now_ms)
        self.best_rate = max(self.best_rate, self.answered.value(self.now_ms))
        gate.out_load += call.weight
        self.first_asked.pop(call.number, None)
        self.forget(call)
        gate.errors.clear()
        if gate.silent:
            gate.silent = gate.failing = False
            self.log(gate, "answers again")
        if gate.flagged:
            self.release(gate, call.weight)

    def attempt_over(self, event: AttemptEnded) -> None:
        gate = self.gates.get(event.server)
        self.take_report(gate, event.report)
        over = event.result is Result.OK and event.call not in self.calls
        if gate is not None and over and gate.free_lines is not None:
            gate.free_lines += 1.0  # a call of ours has ended: its line is free before a report says so
        call = self.out_at(gate, event)
        if gate is None or call is None:
            return
        self.take_back(call, gate)
        if event.result in (Result.TIMEOUT, Result.CANCELLED) and not gate.overtaken(call):
            # At least so long; not longer than it was given, whenever this gateway came to see it.
            gate.seen_wait_ms = max(gate.seen(self.now_ms), min(self.now_ms - call.sent_ms, call.timeout_ms))
            gate.seen_at_ms = self.now_ms
            self.estimates.record_wait(self.now_ms, gate.id, self.now_ms - call.sent_ms)
        if event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED):
            call.ready_ms = self.now_ms + self.settings.release_ms
            # It was out, not held: what is left of its aim after the release is worth a try.
            if call.ready_ms < call.aim_at_ms:
                call.give_up_ms = max(call.give_up_ms, min(call.aim_at_ms, call.ready_ms + 2.0 * TICK_MS))
        elif event.result is not Result.NOT_SENT and event.result is not Result.NO_CONNECTION:
            gate.heard_ms = self.now_ms
        if event.call_finished:
            self.forget(call)
            return
        self.held[call.id] = call
        if event.result is Result.ERROR:
            self.error(call, gate, event.reason)
        elif event.result is Result.FULL:
            call.tried.add(gate.id)
            call.fulls += 1
            if event.reason is RefusalReason.NO_LINE:
                gate.free_lines = 0.0
            else:
                gate.news(self.now_ms, event.reported_wait_ms or 3.0 * self.limit_ms, 1.0)
            if call.fulls >= TRIES:
                self.answer(call, Refuse(call.id))
        elif event.result is Result.NO_CONNECTION:
            call.tried.add(gate.id)
            self.fall_silent(gate)
        if call.id in self.held and call.ready_ms >= self.last_ms(call):
            self.answer(call, Refuse(call.id))  # no time to be sent again: not left to a timer

    def error(self, call: Call, gate: Gate, why: RefusalReason) -> None:
        """All lines of the number are busy, or the server fails its set-ups.

        A server that answers errors at once looks idle and would draw the traffic.  Errors on several numbers
        without a success between are taken for the server's, whatever it says: one call at a time tries it.
        Those on one number alone are its own, as on one that fails everywhere: nobody knows what it asks for.
        """
        number = call.number or str(call.id)
        others = [other for other in self.gates.values() if other is not gate]
        elsewhere = [other for other in others if number in other.errors]
        for other in elsewhere:
            other.errors.discard(number)
            if other.failing and len(other.errors) < ERRORS:
                other.silent = other.failing = False
        if not elsewhere and len(gate.errors) < ERRORS:
            gate.errors.add(number)
        if len(gate.errors) >= ERRORS and not gate.silent:
            self.fall_silent(gate, "fails set-ups")
            gate.failing = True
        call.tried.add(gate.id)
        call.errors += 1
        if why is RefusalReason.NUMBER_BUSY and not gate.silent:
            self.busy_until[call.number] = self.now_ms + BUSY_MS
            self.answer(call, Fail(call.id))
        elif call.errors >= CALL_ERRORS or not any(self.takes(other, call) for other in others):
            self.answer(call, Fail(call.id))
        elif not gate.silent and not any(self.takes(other, call) and self.open(other) for other in others):
            call.tried.discard(gate.id)  # it may do better there than held for one that has no room

    def follow_list(self, event: ServerList) -> None:
        if event.version < self.version:
            return
        self.version = event.version
        if event.complete:
            named = {listed.server for listed in event.servers}
            for known in self.gates.values():
                if known.id not in named:
                    known.standing = ServerStatus.REMOVED
        for listed in event.servers:
            if (gate := self.gates.get(listed.server)) is None:
                rank = zlib.crc32(f"{self.settings.gateway_no}/{listed.server}".encode())
                self.gates[listed.server] = gate = Gate(listed, rank, OVERTAKEN * self.limit_ms)
                gate.tokens = self.cold_tokens(gate)
                gate.probed_ms = self.now_ms - self.random.random() * self.ask_ms
                if (learned := self.recalled.pop(gate.id, None)) is not None:
                    gate.recall(learned)
                continue
            came_back = gate.standing is ServerStatus.REMOVED and listed.status is ServerStatus.ACTIVE
            if gate.standing is not listed.status:
                self.log(gate, f"is now {listed.status.value}")
            gate.place, gate.standing = listed.pool, listed.status
            gate.sender_share = listed.sender_share
            if listed.started_ms != gate.started_ms or came_back:
                gate.started_ms = listed.started_ms or (self.now_ms if came_back else None)
                gate.silent, gate.free_lines, gate.seen_wait_ms, gate.usual_rate = False, None, 0.0, 0.0
                gate.tokens = self.cold_tokens(gate)
        for gate in self.gates.values():
            gone = gate.standing is ServerStatus.REMOVED
            gate.gone_ms = min(gate.gone_ms, self.now_ms) if gone else math.inf
        kept = (g for g in self.gates.values() if g.out or self.now_ms - g.gone_ms < GONE_MS)
        self.gates = {gate.id: gate for gate in sorted(kept, key=lambda gate: gate.rank)}
        servers = self.gates.values()
        self.estimates.update_servers(
            (g.id, g.standing is ServerStatus.ACTIVE, g.started_ms) for g in servers
        )
        self.at_place = {}
        for gate in self.gates.values():
            self.at_place.setdefault(gate.place, []).append(gate)

    def take_report(self, gate: Gate | None, report: LoadReport | None) -> None:
        if gate is None or report is None:
            return
        if report.free_lines is not None:
            gate.free_lines, gate.lines = report.free_lines, report.lines or gate.lines
        self.estimates.record_report(
            self.now_ms, gate.id, report.free_lines, report.lines, report.allowed_per_s
        )
        gate.fade_ms = math.inf
        if self.estimates.load_known(gate.id):  # by this sender's own gaps: its next send tells it more
            gate.fade_ms = self.scale * FADE_MS + 1.0 / max(1e-6, self.part(gate) * self.new_call_rate())
        if report.wait_ms is not None:
            gate.news(self.now_ms, report.wait_ms, NEWS_WEIGHT)

    # -- the call's worth -----------------------------------------------------------------------------
    def rate_worth(self, call: Call, tenant: str | None) -> None:
        """What the call is worth now, and how long it may be held for it."""
        if call.number not in self.first_asked:
            self.asked.add(self.now_ms)
        asked_ms = self.first_asked.setdefault(call.number, self.now_ms) if call.number else self.now_ms
        if self.now_ms - asked_ms > REDIAL_MS:
            asked_ms = self.first_asked[call.number] = self.now_ms
        call.aim_at_ms = asked_ms + call.kind.aim_ms
        if call.aim_at_ms <= self.now_ms:
            call.worth *= call.kind.late_worth
        if self.busy_until.get(call.number, -math.inf) > self.now_ms:
            call.worth *= BUSY_WORTH
        if tenant is not None and self.quotas.is_exceeded(self.now_ms, tenant):
            call.worth *= self.settings.over_quota_worth
        hold_ms = HOLD_SHARE * call.kind.aim_ms
        if call.worth < POOR * self.least_worth or call.aim_at_ms <= self.now_ms:
            hold_ms = self.scale * LATE_HOLD_MS
        call.give_up_ms = self.now_ms + hold_ms
        if len(self.first_asked) > self.most_numbers:
            for table in (self.first_asked, self.busy_until):
                for number in [n for n, at_ms in table.items() if self.now_ms - at_ms > REDIAL_MS]:
                    del table[number]
            # Guards against a look at every number at every call, where so many are young.
            self.most_numbers = max(NUMBERS, 2 * len(self.first_asked))

    # -- routing and admission ------------------------------------------------------------------------
    def turn(self, event: Event) -> None:
        """After each event: judge, place held calls, give up on the aged, look at silence, arm the timer."""
        if self.now_ms >= self.judge_at_ms:
            self.judge_at_ms = self.now_ms + INTERVAL_MS
            for gate in self.gates.values():
                gate.judge()
        if isinstance(event, TimerFired):
            clear = next(filter(self.open, self.gates.values()), None)
            for gate in self.gates.values():
                if gate.out:
                    clear = self.watch(gate, clear)
        if isinstance(event, NewCall) and len(self.held) > 1:
            # The others are looked at by the timer and by what changes their gates: guards the host's time.
            call = self.held.get(event.call)
            placed = call is not None and self.place(call)
            if call is not None and not placed and self.now_ms >= self.last_ms(call):
                self.answer(call, Refuse(call.id))  # found after a pause, no time for a timer
        elif self.held and (len(self.held) <= MANY or isinstance(event, TimerFired)):
            self.place_held()
        self.arm()

    def place_held(self) -> None:
        """Send what may go, dearest first, then oldest; give up on the aged."""
        clear = {gate.id: gate for gate in self.gates.values() if self.open(gate) or self.due(gate)}
        for call in self.held_in_order() if clear else ():
            used = self.place(call, clear) if clear and call.id in self.held else None
            if used is not None and not self.open(used):
                del clear[used.id]
        for gate in self.gates.values():
            if self.held and self.due(gate):
                self.release(gate, math.inf, trial=True)
        for call in [call for call in self.held.values() if self.now_ms >= self.last_ms(call)]:
            self.answer(call, Refuse(call.id))

    def arm(self) -> None:
        """Ask for a timer for the next thing due, and for none when nothing is."""
        due_ms = self.now_ms + (TICK_MS if self.held else PULSE_MS)
        if (self.calls or self.now_ms < self.woke_ms + WARY_MS) and due_ms < self.timer_ms - 1.0:
            self.timer_ms = due_ms
            self.actions.append(SetTimer(due_ms - self.now_ms, "tick"))

    def look(self, gate: Gate) -> bool:
        """Refresh the flag; whether it is set."""
        was, high = gate.flagged, gate.ratio_high
        waiting = high and any(call.far_end == gate.place for call in self.held.values())
        gate.refresh_flag(self.now_ms, self.limit_ms, waiting, self.woke_ms)
        if gate.flagged and not was:
            self.log(gate, f"overloaded, wait about {gate.wait_ms(self.now_ms, self.woke_ms):.0f} ms")
        return gate.flagged

    def open(self, gate: Gate) -> bool:
        """Whether a call may pass now: neither flagged nor silent, paced, and warm or within budget."""
        shut = gate.standing is not ServerStatus.ACTIVE or self.look(gate) or gate.silent
        paced = len(self.held) > 1 and self.now_ms < gate.next_ms and not self.idle(gate)
        return not (shut or paced) and self.in_cold_budget(gate)

    def idle(self, gate: Gate) -> bool:
        """Whether so few of its part of what is asked for are out there that no pace is called for.
        Guards a busy site's first seconds: with few answers to make a pace from, idle servers stood by while
        calls that came at once were held and refused.  One that was pressed lately, or is cold, is paced."""
        if self.now_ms - gate.pressed_ms < self.pace_ms or self.warmth(gate) < 1.0:
            return False
        usual = self.part(gate) * self.new_call_rate() * IDLE_SHARE * self.limit_ms
        return gate.outstanding + 1.0 <= usual

    def due(self, gate: Gate) -> bool:
        """Whether this flagged or silent server, with nothing outstanding, may be tried with one call now.
        The design sends one at once; with many senders these keep a slow server full.  So each leaves it for
        some of its own usual gaps, the more the longer the wait it saw: in all a share of its usual load."""
        if gate.standing is not ServerStatus.ACTIVE or gate.out or not (gate.flagged or gate.silent):
            return False
        gap_ms = 1.0 / max(1e-9, self.part(gate) * self.new_call_rate())
        gaps = min(MOST_GAPS, TRIAL_GAPS * (gate.seen(self.now_ms) / self.limit_ms) ** 2)
        pause_ms = max(self.trial_ms, gap_ms * max(SILENT_GAPS, gaps)) if gate.silent else gap_ms * gaps
        return self.now_ms - gate.tried_ms >= pause_ms

    def new_call_rate(self) -> float:
        """What is asked for, by what was before this start until this life's own average stands."""
        before = self.asked_before * math.exp((self.recalled_ms - self.now_ms) / RATE_FADE_MS)
        return max(before, self.asked.value(self.now_ms))

    def part(self, gate: Gate) -> float:
        """The server's part of what all can do.  Guards against small servers crushed by calls led around to
        them as if all were of one size."""
        return self.estimates.capacity_share(gate.id)

    def watch(self, gate: Gate, clear: Gate | None) -> Gate | None:
        """Take a server for silent when set-ups go unanswered (hung, stopped, cut off); clear: any such."""
        self.look(gate)
        base_ms = gate.base_ms if gate.base_ms < math.inf else self.limit_ms
        silent_ms = SILENT_FACTOR * self.limit_ms + SLOW_FACTOR * base_ms
        if gate.lives(self.now_ms) and self.estimates.usual_wait_ms(self.now_ms) > ELSEWHERE * self.limit_ms:
            # It is slow, not silent, and so are the others: what waits is answered sooner than if sent again.
            silent_ms = max(silent_ms, self.estimates.timing.aim_ms)
        oldest_ms = call.sent_ms if (call := gate.oldest()) is not None else self.now_ms
        silence = self.now_ms - max(oldest_ms, gate.heard_ms, self.woke_ms) > silent_ms
        if silence and not gate.silent:
            self.fall_silent(gate)
        # One overtaken need not wait for a processor's line; but it is called off only where the way to the
        # server has lately been seen to work: it could not be heard there else.
        heard = self.now_ms - gate.heard_ms <= self.limit_ms
        soon_ms = silent_ms - self.limit_ms if heard else math.inf
        lost = [
            c
            for c in gate.out.values()
            if not c.cancelled
            and (
                self.now_ms - c.sent_ms
                > (soon_ms if gate.overtaken(c) else silent_ms if silence else math.inf)
            )
        ]
        if lost and self.settings.may_cancel and clear is not None:
            clear = clear if self.open(clear) else next(filter(self.open, self.gates.values()), None)
            for call in lost if clear is not None else ():
                call.cancelled = True
                self.actions.append(Cancel(call.id, call.attempts - 1))
        return clear

    def fall_silent(self, gate: Gate, what: str = "gives no answers") -> None:
        gate.silent = True
        self.log(gate, f"{what}: taken out, one call at a time will try it")

    def takes(self, gate: Gate, call: Call) -> bool:
        """Whether the call may go to the server at all now, its gate aside."""
        return (
            gate.standing is ServerStatus.ACTIVE
            and gate.id not in call.tried
            and (call.kind.pools is None or gate.place in call.kind.pools)
            and (gate.free_lines is None or gate.free_lines >= call.weight)
            # Not where its caller will not stay for the answer; one who stays a while may try any server.
            and min(gate.seen(self.now_ms), STAY * self.limit_ms) < call.expires_ms - self.now_ms
            # Late redials and others of little worth leave what is pressed, and the last lines, alone.
            and (
                call.worth >= POOR * self.least_worth
                or (
                    gate.seen(self.now_ms) <= POOR_FACTOR * self.limit_ms
                    and (gate.free_lines is None or gate.free_lines >= KEPT_LINES * gate.lines)
                )
            )
        )

    def way(self, call: Call, gate: Gate) -> tuple[bool, float]:
        """Where the server stands among the call's ways round, least first; drawn once, by size and room: no
        herd, no crowd at small servers.  Without sizes the draw is the sender's: its hash order.
        Before all warm ones comes a cold one that this sender has a token for: it can't be kept."""
        lot = drawn(call, gate.rank) if self.estimates.max_active_lines > 0 else 1.0 - gate.rank / 2**32
        room = max(0.05, 1.0 - gate.seen(self.now_ms) / self.limit_ms)
        far = -math.log(lot) / max(1e-9, self.estimates.reroute_weight(self.now_ms, gate.id) * room)
        return self.warmth(gate) >= 1.0, far

    def place(self, call: Call, clear: dict[str, Gate] | None = None) -> Gate | None:
        """Send the call to its first choice if that is clear, else to another clear server (of these)."""
        if self.now_ms < call.ready_ms:
            return None
        first = None
        for gate in self.at_place.get(call.far_end, ()):
            if self.takes(gate, call) and (clear is None or gate.id in clear):
                if self.open(gate):
                    if drawn(call, gate.rank) > self.estimates.first_choice_share(self.now_ms, gate.id):
                        first = gate  # all together have more for it than it can do: this call goes round
                        continue
                    return gate if self.send(call, gate) else None
                if gate.flagged or gate.silent:
                    if self.now_ms - gate.seen_at_ms > self.trial_ms:
                        self.ask(gate)  # only here would an answer change anything
                    # A server that all calls are led around would stay flagged for want of answers.
                    if self.due(gate) and call.worth <= self.least_worth and self.send(call, gate):
                        return gate
        others = (self.gates if clear is None else clear).values()
        ways = [g for g in others if g.place != call.far_end and self.takes(g, call) and self.open(g)]
        best = min(ways, key=lambda gate: self.way(call, gate), default=first)
        return best if best is not None and self.send(call, best) else None

    def held_in_order(self) -> list[Call]:
        """Held calls, dearest first, then oldest first."""
        return sorted(self.held.values(), key=lambda call: (-call.worth, call.arrived_ms))

    def release(self, gate: Gate, weight: float, trial: bool = False) -> None:
        """An answer lets held calls of its weight go, in their order."""
        wait_ms = gate.wait_ms(self.now_ms, self.woke_ms)
        for call in self.held_in_order():
            if call.weight > weight or self.now_ms < call.ready_ms or not self.takes(gate, call):
                continue
            if self.now_ms >= call.aim_at_ms:
                continue  # late already: only a clear server's work is spent on it
            factor = DEAR_FACTOR if call.worth > self.least_worth else 1.0
            factor = POOR_FACTOR if call.worth < POOR * self.least_worth else factor
            if not trial and wait_ms > self.limit_ms * factor:
                continue
            if self.send(call, gate):
                weight -= call.weight
                if trial:
                    return

    def last_ms(self, call: Call) -> float:
        """When a held call is given up: it can no longer stand in time, or its caller is about to leave."""
        return min(call.give_up_ms, call.expires_ms - 2.0 * self.settings.tick_ms - TICK_MS)

    # -- the rules: every send and every answer passes here -------------------------------------------
    def warmth(self, gate: Gate) -> float:
        """How far a server is through its warming up; 1 or more: warm."""
        if gate.started_ms is None:
            return math.inf
        return (self.now_ms - gate.started_ms) / self.settings.ramp_ms

    def cold_tokens(self, gate: Gate) -> ColdTokens:
        """None yet: a gateway that has just started has none.  Who gets the first differs between servers."""
        slot = self.settings.gateway_no + zlib.crc32(gate.id.encode())
        settings, share = self.settings, gate.sender_share
        return ColdTokens(slot, settings.gateway_count, self.now_ms, settings.fall_multiple, share)

    def in_cold_budget(self, gate: Gate) -> bool:
        """Rule 4: whether this gateway has a token for a cold server (estimation/cold_budget.py)."""
        if (age := self.warmth(gate)) >= 1.0:
            return True
        part = self.settings.cold_from + (1.0 - self.settings.cold_from) * max(0.0, age) ** 2
        if (carries := self.estimates.min_capacity_per_s(gate.id)) is not None:
            able = carries / 1000.0
        else:
            # What it does for this sender, its part of the answers or of what is asked for if none came, for
            # all of them: where each goes by its own, the sum is that of all.
            rate = max(self.best_rate, ASKED_SHARE * self.asked.value(self.now_ms))
            rate *= self.part(gate) * self.settings.gateway_count * gate.sender_share
            able = max(rate, SURE_SENDS / (self.settings.fall_multiple * part * self.settings.fall_ms))
        per_ms = self.settings.fall_multiple * part * able
        return gate.tokens.available(self.now_ms, per_ms, self.settings.fall_ms)

    def send(self, call: Call, gate: Gate) -> bool:
        """The one way out for an attempt; False if a rule forbids it now."""
        if (
            call.server is not None  # rule 2: never two attempts out
            or call.id not in self.calls  # rule 1: nothing more after the answer
            or self.now_ms < call.ready_ms  # rule 5: the release is awaited
            or gate.standing is not ServerStatus.ACTIVE  # rule 3: drains are kept, without using the grace
            or not self.in_cold_budget(gate)  # rule 4
        ):
            return False
        if call.attempts >= self.settings.max_attempts or self.now_ms >= call.expires_ms:
            self.answer(call, Refuse(call.id))
            return False
        del self.held[call.id]
        call.server, call.sent_ms, call.cancelled = gate.id, self.now_ms, False
        call.attempts += 1
        gate.out[call.id] = call
        self.estimates.in_flight[call.id] = self.now_ms
        gate.outstanding += call.weight
        gate.in_load += call.weight
        gate.set_ups += 1
        if gate.free_lines is not None:
            gate.free_lines = max(0.0, gate.free_lines - call.weight)  # until the next report
        gate.tried_ms = self.now_ms
        begin_by_ms = gate.tokens.consume() if self.warmth(gate) < 1.0 else math.inf
        # Calls that waited pass a cleared gate at a pace: twice that of its answers near the threshold, more
        # the less it waits.  Guards a server that has just recovered from the queues of all senders.
        load = gate.wait_ms(self.now_ms, self.woke_ms) / self.limit_ms
        rate = len(gate.answered_at) / self.pace_ms
        if self.now_ms - gate.pressed_ms >= self.pace_ms and self.warmth(gate) >= 1.0:
            # Guards a warm server that is new here, or back, from standing by for want of answers to make a
            # pace from: its part of the best that all have answered it can do, or what it did before.
            rate = max(rate, USUAL * max(gate.usual_rate, self.part(gate) * self.best_rate))
        gap_ms = min(self.scale * MOST_PACE_MS, 1.0 / (PACE * max(rate, 1.0 / self.pace_ms)))
        gate.next_ms = self.now_ms + gap_ms * max(IDLE_PACE, min(1.0, load))
        # A set-up still waiting at its aim is worth little but costs a full one's work and its resends: given
        # up, it is dropped there.  Guards against jams that feed on calls already late.
        in_time = call.aim_at_ms > self.now_ms + self.limit_ms
        last_ms = call.aim_at_ms if in_time else self.now_ms + self.scale * LATE_TRY_MS
        call.timeout_ms = min(last_ms, call.expires_ms) - self.now_ms
        self.actions.append(Send(call.id, gate.id, call.timeout_ms, begin_by_ms))
        gate.refresh_flag(self.now_ms, self.limit_ms, bool(self.held), self.woke_ms)
        return True

    def ask(self, gate: Gate) -> None:
        """Ask a server for its report, with what all senders ask of it so in mind: their times are spread."""
        if self.settings.may_probe and self.now_ms - gate.probed_ms > self.ask_ms:
            gate.probed_ms = self.now_ms
            self.actions.append(Probe(gate.id))

    def take_back(self, call: Call, gate: Gate) -> None:
        gate.out.pop(call.id, None)
        self.estimates.in_flight.pop(call.id, None)
        gate.outstanding = max(0.0, gate.outstanding - call.weight)
        call.server = None

    def answer(self, call: Call, action: Refuse | Fail) -> None:
        """The one way out for a final answer (rule 1)."""
        if call.id in self.calls:
            self.forget(call)
            self.actions.append(action)

    def forget(self, call: Call | None) -> None:
        """Drop a call that stands, was answered, or whose caller has left."""
        if call is not None:
            if call.server is not None:
                self.take_back(call, self.gates[call.server])
            self.held.pop(call.id, None)
            self.calls.pop(call.id, None)

    def log(self, gate: Gate, text: str) -> None:
        if self.now_ms - gate.logged.get(text[:10], -math.inf) >= LOG_MS:
            gate.logged[text[:10]] = self.now_ms
            self.actions.append(Log(f"server {gate.id} {text}", gate.id))


def drawn(call: Call, rank: int) -> float:
    """The call's own lot for a server, over 0 to 1: the same each time it is asked for."""
    return (zlib.crc32(b"%d/%d" % (call.id, rank)) + 1) / 2**32


def check(settings: Settings) -> None:
    """ValueError that names the first setting that makes no sense."""
    names = ("gateway_count", "max_attempts", "ramp_ms", "fall_multiple", "fall_ms")
    above_zero: dict[str, float] = {name: getattr(settings, name) for name in names}
    for index, kind in enumerate(settings.classes):
        above_zero |= {f"classes[{index}].{name}": getattr(kind, name) for name in ("aim_ms", "deadline_ms")}
    senseless = [key for key, value in above_zero.items() if not 0 < value < math.inf]
    senseless += ["cold_from"] * (not 0 < settings.cold_from <= 1) + ["classes"] * (not settings.classes)
    senseless += ["release_ms"] * (not 0 <= settings.release_ms < math.inf)
    if senseless:
        raise ValueError(f"settings: {senseless[0]} makes no sense")
