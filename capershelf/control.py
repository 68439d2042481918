"""The decision module of capershelf; its event and action types are in capershelf/interface.py.

One Controller serves one gateway.  Each server has a Gate: Patil's threshold-and-time overload detector
(docs/design.md) together with the state inferred for that server.  A call is held, sent, or waiting for its
release to finish; once answered it is dropped."""

from __future__ import annotations

import math
import random
import zlib
from collections import deque

from capershelf.interface import (
    Action,
    AttemptEnded,
    AttemptSucceeded,
    CallAbandoned,
    CallClass,
    Cancel,
    ConnectionReplaced,
    Event,
    Fail,
    LearnedServer,
    ListedServer,
    LoadReport,
    Log,
    NewCall,
    Probe,
    Refuse,
    RefusalReason,
    RestoredKnowledge,
    Result,
    Send,
    ServerList,
    ServerReport,
    ServerStatus,
    SetTimer,
    Settings,
    SettingsChanged,
    TimerFired,
)
from capershelf.estimation import RATE_FADE_MS, ColdTokens, FleetEstimates, Quotas, Rate, Timing

# Overload detector, as in the paper and docs/design.md.
OVERLOAD_RATIO = 1.2  # a server is overloaded above this ratio of sent to answered load
RATIO_INTERVAL_MS = 500.0  # the paper's interval for dynamic requests
RATIO_SMOOTHING = 0.3  # weight of the newest interval in the exponential averages
MIN_RATIO_SET_UPS = 20  # set-ups sent before the ratio is evaluated
MIN_RATIO_OUTSTANDING = 3.0  # outstanding weight below which the ratio is ignored: it varies by chance there
MIN_THRESHOLD = 10.0  # lower bound of a threshold set by a high ratio
MAX_FULL_ANSWERS = 2  # servers that may answer 'full' before the call is refused

# Wait limit: with only a few set-ups a second, the processor's wait is what shows overload.
REFERENCE_WAIT_LIMIT_MS = 262.5  # wait limit for which the times multiplied by time_scale are given
WAIT_LIMIT_SHARE = 0.35  # wait limit as a share of the least aim, or of 1.5 resend times if that is less
HIGH_WORTH_WAIT_FACTOR = 1.6  # factor on the wait limit for held calls of more than the least class worth
LOW_WORTH_WAIT_FACTOR = 0.5  # factor on the wait limit for calls of low worth
WAIT_SMOOTHING = 0.6  # weight of the newest answer in the observed wait
WAIT_DECAY_MS = 1500.0  # time constant of the observed wait where reports show the server's load
# Holding.
MAX_HOLD_SHARE = 0.55  # longest hold of a call, as a share of its class's aim
LATE_HOLD_MS = 400.0  # longest hold of a call that is past its aim or of low worth
LATE_ATTEMPT_TIMEOUT_MS = 1500.0  # time-out of an attempt that is too late for the aim
LOW_WORTH_SHARE = 0.3  # share of the least class worth below which a call is of low worth
PACE_WINDOW_MS = 6000.0  # the pace of held calls comes from a server's answers in this window
PACE_FACTOR = 2.0  # held calls pass an open gate at this multiple of the server's answer rate
MAX_PACE_GAP_MS = 400.0  # longest gap between two paced calls
ASSUMED_RATE_SHARE = 0.5  # part of its share of the best rate that a warm server not lately overloaded can do
MIN_PACE_GAP_FACTOR = 0.5  # factor on the pace gap at a server without load
IDLE_LIMIT_SHARE = 0.5  # an idle server has no more outstanding than its new calls in this share of the limit
# Silence.
SILENCE_LIMIT_FACTOR = 2.0  # wait limits without an answer, plus usual answer times, that mean silence
OVERTAKEN_LIMIT_SHARE = 0.5  # wait limits by which an overtaken set-up was sent before an answered one
SLOW_FLEET_LIMIT_SHARE = 0.5  # usual wait, in wait limits, above which set-ups are left at a slow server
MAX_HEARTBEAT_GAPS = 1.8  # usual heartbeat gaps within which a server that is alive sends one
SILENCE_LATENCY_FACTOR = 3.0  # usual answer times to add: a small server seldom answers any one sender
# Numbers that failed at a server, without a success in between, after which it is ejected.  A server that
# fails two set-ups in five seldom reaches this; the calls that it does establish are worth more than those
# that the other servers have no room for.
MAX_FAILED_NUMBERS = 8
MAX_CALL_ERRORS = 3  # error answers after which a call fails
# Trials of overloaded and ejected servers are paced by the sender's own traffic, so that those of all senders
# add up to a share of a server's usual load, whatever the size of the fleet.
TRIAL_GAPS = 1.2  # usual gaps between calls before a trial, times the square of wait over limit
MAX_TRIAL_GAPS = 8.0  # upper bound of these gaps
MIN_EJECTED_TRIAL_GAPS = 3.0  # lower bound of these gaps for an ejected server
MIN_TRIAL_INTERVAL_MS = 1000.0  # least interval of trials of an ejected server, and of probes of any server
MAX_PROBES_PER_S = 8.0  # probes that a server receives from all senders together
# Stalls of this gateway.
STALL_LAG_MS = 150.0  # a timer that fires this late shows that this gateway itself stood still
STALL_WATCH_MS = 10000.0  # time after a stall during which another is likely, so that the timer goes on
IDLE_TIMER_MS = 100.0  # timer interval while no call is held, to notice stalls; also the least heartbeat gap
# Capacity.
ASSUMED_COLD_SET_UPS = 4.0  # set-ups per window, of all senders, that a cold server of unknown rate can do
ASSUMED_SERVED_SHARE = 0.4  # share of the new calls that the servers can do at the worst load and burst
BEST_RATE_DECAY_MS = 60000.0  # time constant of the best rate of established calls
REMOVED_RETENTION_MS = 60000.0  # time for which a removed server is kept; if it returns, it is taken for cold
# Worth.
PATIENT_CALLER_LIMITS = 2.0  # wait limits for which a caller must stay to be sent to a server in any state
RESERVED_LINES_SHARE = 0.03  # share of a server's lines that calls of low worth leave free
REDIAL_WINDOW_MS = 20000.0  # a number called again within this time is a redial by the same caller
MIN_TRACKED_NUMBERS = 4000  # numbers that are tracked before old ones are pruned
NUMBER_BUSY_MS = 5000.0  # a number whose lines were all busy is assumed to stay so for this long
BUSY_NUMBER_WORTH_FACTOR = 0.1  # factor on the worth of a call to such a number
MAX_HELD_PER_EVENT = 60  # held calls above which only the timer looks at all of them
HELD_TIMER_MS = 25.0  # timer interval while calls are held
LOG_INTERVAL_MS = 5000.0  # least interval of log lines of one kind about one server


class Call:
    """A call that is not answered yet.

    It is held while server is None and sent while server is set; release_done_ms is when the release of its
    last attempt is over."""

    __slots__ = (
        "number",
        "id",
        "call_class",
        "preferred_pool",
        "weight",
        "expires_ms",
        "arrived_ms",
        "aim_due_ms",
        "worth",
        "attempts",
        "full_answers",
        "tried_servers",
        "server",
        "sent_ms",
        "release_done_ms",
        "cancelled",
        "give_up_ms",
        "timeout_ms",
        "error_count",
    )

    def __init__(self, event: NewCall, call_class: CallClass, now_ms: float) -> None:
        self.id, self.number, self.preferred_pool, self.call_class = (
            event.call,
            event.number,
            event.preferred_pool,
            call_class,
        )
        self.weight = float(max(1, event.width))
        self.expires_ms = event.expires_ms
        self.arrived_ms = now_ms
        self.aim_due_ms = now_ms + call_class.aim_ms
        self.worth = call_class.worth
        self.attempts = self.full_answers = self.error_count = 0
        self.tried_servers: set[str] = set()
        self.server: str | None = None
        self.sent_ms, self.release_done_ms, self.cancelled = 0.0, now_ms, False
        self.give_up_ms = self.timeout_ms = math.inf  # timeout_ms: of the last attempt


class Gate:
    """The overload detector and admission gate of one server, with the state inferred for the server."""

    def __init__(self, listed: ListedServer, rank: int, overtake_margin_ms: float = math.inf) -> None:
        self.id = listed.server
        self.pool = listed.pool
        self.rank = rank  # position in this sender's hash order
        self.status = listed.status
        self.removed_ms = math.inf  # when the server was removed
        self.started_ms = listed.started_ms
        self.sent_load = self.answered_load = self.sent_average = self.answered_average = self.outstanding = (
            0.0
        )
        self.set_ups, self.threshold = 0, math.inf
        self.ratio_high = self.overloaded = self.ejected = False
        self.pending: dict[int, Call] = {}  # calls sent and not answered, in the order of sending
        self.overtake_margin_ms = overtake_margin_ms
        # When the server last sent a report unasked, and the usual gap between such reports.
        self.last_heartbeat_ms = self.heartbeat_gap_ms = -math.inf
        self.newest_answered_sent_ms = -math.inf  # send time of the newest set-up that has been answered
        self.observed_wait_ms, self.wait_decay_ms = 0.0, math.inf
        self.base_latency_ms = math.inf  # least answer time: the round trip and an idle processor
        self.observed_at_ms = self.last_answer_ms = self.last_sent_ms = self.last_probe_ms = -math.inf
        self.restored_rate_per_ms = 0.0  # answers per ms before this process started, if known
        self.paced_until_ms = -math.inf  # when the next of several held calls may pass, once the gate is open
        self.last_overload_ms = -math.inf  # when the wait was last over the limit, or the server was ejected
        self.free_lines: float | None = None
        self.lines = 0.0
        self.tokens = ColdTokens(0, 1, 0.0, 1.0)  # this sender's for the server while it is cold
        self.sender_share = listed.sender_share
        self.answer_times_ms: deque[float] = deque()
        # Numbers that failed at this server, and at no other, since its last success.
        self.failed_numbers: set[str] = set()
        self.ejected_for_errors = False
        self.last_logged_ms: dict[str, float] = {}

    def restore(self, known: LearnedServer) -> None:
        """Start from restored knowledge.  The cold budget must not use any of it."""
        self.restored_rate_per_ms, self.ejected = known.rate_per_s / 1000.0, known.ejected
        self.observed_wait_ms = known.wait_ms
        self.base_latency_ms = math.inf if known.base_latency_ms is None else known.base_latency_ms
        self.threshold = math.inf if known.threshold is None else known.threshold

    # -- the detector ---------------------------------------------------------------------------------
    def update_ratio(self) -> None:
        """Evaluate the ratio of sent to answered load, as exponential averages, after an interval."""
        self.sent_average += RATIO_SMOOTHING * (self.sent_load - self.sent_average)
        self.answered_average += RATIO_SMOOTHING * (self.answered_load - self.answered_average)
        high = (
            self.sent_load > 0
            and self.set_ups >= MIN_RATIO_SET_UPS
            # At a few set-ups a second, one that is not answered yet is no overload.
            and self.outstanding >= MIN_RATIO_OUTSTANDING
            and self.sent_average > OVERLOAD_RATIO * self.answered_average
        )
        self.sent_load = self.answered_load = 0.0
        if high and not self.overloaded:
            self.threshold = max(MIN_THRESHOLD, self.outstanding)
        elif not high and self.outstanding > self.threshold:
            self.threshold = self.outstanding  # the paper's update step
        self.ratio_high = high

    def estimated_wait_ms(self, now_ms: float, since_ms: float) -> float:
        """Estimate the processor's wait from the last answers or from the age of the oldest pending set-up.

        The age counts from since_ms, the end of this gateway's last stall: time in which the gateway itself
        stood still must not be attributed to the server."""
        if (call := self.oldest_pending()) is not None:
            base_ms = self.base_latency_ms if self.base_latency_ms < math.inf else 0.0
            return max(self.decayed_wait_ms(now_ms), now_ms - max(call.sent_ms, since_ms) - base_ms)
        return self.decayed_wait_ms(now_ms)

    def decayed_wait_ms(self, now_ms: float) -> float:
        """Return the observed wait; it decays where the load that all senders put on the server is known."""
        return self.observed_wait_ms * (
            1.0
            if self.wait_decay_ms == math.inf
            else math.exp(min(0.0, self.observed_at_ms - now_ms) / self.wait_decay_ms)
        )

    def is_overtaken(self, call: Call) -> bool:
        """Report whether a set-up sent well after this call's has been answered.

        A processor has a single queue, so the answer to this call was lost, or the delay has another cause.
        Without this test one lost answer makes a working server look slow."""
        return call.sent_ms < self.newest_answered_sent_ms - self.overtake_margin_ms

    def oldest_pending(self) -> Call | None:
        """Return the oldest set-up that may still be in the processor's queue."""
        return next((call for call in self.pending.values() if not self.is_overtaken(call)), None)

    def update_overloaded(self, now_ms: float, limit_ms: float, waiting: bool, since_ms: float = 0.0) -> None:
        """Set or clear the overload flag; waiting: calls are held for this server."""
        wait_high = self.estimated_wait_ms(now_ms, since_ms) > limit_ms
        over = wait_high or self.outstanding > self.threshold
        if wait_high or self.ejected:
            self.last_overload_ms = now_ms
        self.overloaded = over or (self.ratio_high and waiting)
        if not self.overloaded:
            self.ratio_high = False

    def note_heartbeat(self, now_ms: float) -> None:
        """Record a report that was sent unasked: the server's process runs and its connection works."""
        gap_ms = now_ms - self.last_heartbeat_ms
        if IDLE_TIMER_MS <= gap_ms < math.inf:
            self.heartbeat_gap_ms = (
                gap_ms
                if self.heartbeat_gap_ms < 0.0
                else self.heartbeat_gap_ms + 0.3 * (gap_ms - self.heartbeat_gap_ms)
            )
        self.last_heartbeat_ms = now_ms

    def is_alive(self, now_ms: float) -> bool:
        """Report whether the last heartbeat is recent, measured by the usual gap."""
        return now_ms - self.last_heartbeat_ms < MAX_HEARTBEAT_GAPS * self.heartbeat_gap_ms

    def observe_wait(self, now_ms: float, wait_ms: float, weight: float) -> None:
        """Blend in a wait taken from an answer or a report."""
        self.observed_wait_ms = self.decayed_wait_ms(now_ms) + weight * (
            max(0.0, wait_ms) - self.decayed_wait_ms(now_ms)
        )
        self.observed_at_ms = now_ms


class Controller:
    """Makes the decisions of one gateway: handle() takes an event and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.gates: dict[str, Gate] = {}
        self.quotas = Quotas(settings.gateway_count)
        self.estimates = FleetEstimates()
        self.apply_settings(settings)
        self.list_version = -1
        self.calls: dict[int, Call] = {}
        self.held: dict[int, Call] = {}
        # By number: when it was first called, and until when it is assumed to be busy.
        self.first_dialled_ms: dict[str, float] = {}
        self.number_busy_until_ms: dict[str, float] = {}
        self.prune_above = MIN_TRACKED_NUMBERS  # size of first_dialled_ms above which old numbers are pruned
        self.now_ms = self.next_ratio_ms = -math.inf
        self.timer_due_ms = math.inf  # when the earliest timer requested is due
        self.stall_ended_ms = -math.inf  # when this gateway last found that it had stood still
        # First attempts of callers, and calls established.
        self.new_call_meter, self.established_meter = Rate(), Rate()
        self.best_rate = 0.0
        self.restored: dict[str, LearnedServer] = {}  # of servers that no list has named yet
        self.restored_calls_per_ms, self.restored_ms = 0.0, 0.0
        self.gates_by_pool: dict[int, list[Gate]] = {}
        self.actions: list[Action] = []

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on; learned state stays, and present calls keep their class."""
        validate(settings)
        self.settings = settings
        self.classes = {call_class.name: call_class for call_class in settings.classes}
        self.min_worth = min(call_class.worth for call_class in settings.classes)
        resend_ms = settings.resend_ms if settings.resend_ms > 0 else math.inf
        aim_ms = min(call_class.aim_ms for call_class in settings.classes)
        self.wait_limit_ms = WAIT_LIMIT_SHARE * min(1.5 * resend_ms, aim_ms)
        self.estimates.timing = Timing(aim_ms, settings.cold_from, settings.ramp_ms)
        # Times that depend on the aims are given for the reference wait limit and scale with the actual one.
        self.time_scale = self.wait_limit_ms / REFERENCE_WAIT_LIMIT_MS
        self.probe_interval_ms = max(
            self.time_scale * MIN_TRIAL_INTERVAL_MS, settings.gateway_count * 1000.0 / MAX_PROBES_PER_S
        )
        self.pace_window_ms, self.trial_interval_ms = (
            self.time_scale * PACE_WINDOW_MS,
            self.time_scale * MIN_TRIAL_INTERVAL_MS,
        )
        for gate in self.gates.values():
            gate.overtake_margin_ms = OVERTAKEN_LIMIT_SHARE * self.wait_limit_ms
        self.quotas.configure({tenant.name: tenant.quota_per_s for tenant in settings.tenants})

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process one event; the host carries out the returned actions in order."""
        if not now_ms >= self.now_ms:
            raise ValueError(f"time went backwards: {now_ms} after {self.now_ms}")
        self.now_ms = now_ms
        self.actions = []
        if now_ms - self.timer_due_ms > STALL_LAG_MS:
            # This gateway stood still: the events it finds now arrived long ago, and the silence was its own.
            self.stall_ended_ms = now_ms
        match event:
            case NewCall():
                self.on_new_call(event)
            case AttemptSucceeded():
                self.on_attempt_succeeded(event)
            case AttemptEnded():
                self.on_attempt_ended(event)
            case ServerList():
                self.on_server_list(event)
            case ServerReport():
                gate = self.gates.get(event.server)
                if event.result is Result.OK:
                    self.apply_report(gate, event.report)
                if gate is not None and not event.probe:
                    gate.note_heartbeat(now_ms)
            case ConnectionReplaced():
                if (gate := self.gates.get(event.server)) is not None and not gate.failed_numbers:
                    gate.ejected, gate.observed_wait_ms, gate.last_overload_ms = False, 0.0, -math.inf
            case CallAbandoned():
                self.drop_call(self.calls.get(event.call))
            case RestoredKnowledge():
                self.restored = {known.server: known for known in event.servers}
                self.restored_calls_per_ms, self.restored_ms = event.new_calls_per_s / 1000.0, now_ms
            case SettingsChanged():
                self.apply_settings(event.settings)
            case TimerFired():
                if now_ms >= self.timer_due_ms - 1.0:
                    self.timer_due_ms = math.inf
            case _:
                raise TypeError(f"unknown event: {event!r}")
        self.after_event(event)
        return self.actions

    def learned(self, server: str) -> LearnedServer | None:
        """Return what is known of a server, for storage; None for a server that is not active."""
        if (gate := self.gates.get(server)) is None or gate.status is not ServerStatus.ACTIVE:
            return None
        rate = sum(
            1000.0 / self.pace_window_ms
            for at_ms in gate.answer_times_ms
            if at_ms > self.now_ms - self.pace_window_ms
        )
        base_ms, threshold = (None if x == math.inf else x for x in (gate.base_latency_ms, gate.threshold))
        return LearnedServer(gate.id, rate, gate.observed_wait_ms, base_ms, threshold, gate.ejected)

    # -- events ---------------------------------------------------------------------------------------
    def on_new_call(self, event: NewCall) -> None:
        """Register a call as held, or refuse it at once where the fleet sheds load."""
        if event.call in self.calls:
            return
        call_class = self.classes.get(event.call_class)
        if call_class is None:
            raise ValueError(f"call {event.call} has no known class: {event.call_class!r}")
        call = Call(event, call_class, self.now_ms)
        self.calls[call.id] = self.held[call.id] = call
        self.assess_worth(call, event.tenant)
        self.estimates.record_call(self.now_ms, call_class.hold_ms, call.weight, call.worth)
        if self.estimates.should_shed(self.now_ms, call.worth, hash_draw(call, 0)):
            self.answer(call, Refuse(call.id))

    def current_call(self, gate: Gate | None, event: AttemptSucceeded | AttemptEnded) -> Call | None:
        """Return the call of the event's attempt; None if the event is late, repeated or unknown."""
        call = self.calls.get(event.call)
        if gate is None or call is None or call.server != gate.id or event.attempt != call.attempts - 1:
            return None
        return call

    def on_attempt_succeeded(self, event: AttemptSucceeded) -> None:
        """Record the server's answer time and rate, and drop the established call."""
        gate = self.gates.get(event.server)
        call = self.current_call(gate, event)
        if gate is None or call is None:
            return
        gate.base_latency_ms = min(gate.base_latency_ms, event.wait_ms)
        if self.stall_ended_ms < self.now_ms or event.wait_ms - gate.base_latency_ms <= self.wait_limit_ms:
            gate.observe_wait(self.now_ms, event.wait_ms - gate.base_latency_ms, WAIT_SMOOTHING)
            self.estimates.record_wait(self.now_ms, gate.id, event.wait_ms - gate.base_latency_ms)
        gate.last_answer_ms = self.now_ms
        gate.newest_answered_sent_ms = max(gate.newest_answered_sent_ms, call.sent_ms)
        gate.answer_times_ms.append(self.now_ms)
        while gate.answer_times_ms[0] <= self.now_ms - self.pace_window_ms:
            gate.answer_times_ms.popleft()
        if self.best_rate > 0:
            self.best_rate *= math.exp((self.established_meter.updated_ms - self.now_ms) / BEST_RATE_DECAY_MS)
        self.established_meter.add(self.now_ms)
        self.best_rate = max(self.best_rate, self.established_meter.value(self.now_ms))
        gate.answered_load += call.weight
        self.first_dialled_ms.pop(call.number, None)
        self.drop_call(call)
        gate.failed_numbers.clear()
        if gate.ejected:
            gate.ejected = gate.ejected_for_errors = False
            self.log(gate, "responding again, no longer ejected")
        if gate.overloaded:
            self.release_held(gate, call.weight)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Process the end of an attempt that did not establish its call, or of an established call."""
        gate = self.gates.get(event.server)
        self.apply_report(gate, event.report)
        established_ended = event.result is Result.OK and event.call not in self.calls
        if gate is not None and established_ended and gate.free_lines is not None:
            gate.free_lines += 1.0  # the ended call's line is free before a report says so
        call = self.current_call(gate, event)
        if gate is None or call is None:
            return
        self.withdraw(call, gate)
        if event.result in (Result.TIMEOUT, Result.CANCELLED) and not gate.is_overtaken(call):
            # The wait was at least this long, but not longer than the time-out, however late this gateway
            # processes the event.
            gate.observed_wait_ms = max(
                gate.decayed_wait_ms(self.now_ms), min(self.now_ms - call.sent_ms, call.timeout_ms)
            )
            gate.observed_at_ms = self.now_ms
            self.estimates.record_wait(self.now_ms, gate.id, self.now_ms - call.sent_ms)
        if event.result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED):
            call.release_done_ms = self.now_ms + self.settings.release_ms
            # The call was sent, not held: what is left of its aim after the release is worth another attempt.
            if call.release_done_ms < call.aim_due_ms:
                call.give_up_ms = max(
                    call.give_up_ms, min(call.aim_due_ms, call.release_done_ms + 2.0 * HELD_TIMER_MS)
                )
        elif event.result is not Result.NOT_SENT and event.result is not Result.NO_CONNECTION:
            gate.last_answer_ms = self.now_ms
        if event.call_finished:
            self.drop_call(call)
            return
        self.held[call.id] = call
        if event.result is Result.ERROR:
            self.on_error(call, gate, event.reason)
        elif event.result is Result.FULL:
            call.tried_servers.add(gate.id)
            call.full_answers += 1
            if event.reason is RefusalReason.NO_LINE:
                gate.free_lines = 0.0
            else:
                gate.observe_wait(self.now_ms, event.reported_wait_ms or 3.0 * self.wait_limit_ms, 1.0)
            if call.full_answers >= MAX_FULL_ANSWERS:
                self.answer(call, Refuse(call.id))
        elif event.result is Result.NO_CONNECTION:
            call.tried_servers.add(gate.id)
            self.eject(gate)
        if call.id in self.held and call.release_done_ms >= self.hold_deadline_ms(call):
            self.answer(call, Refuse(call.id))  # too late for another attempt: no need to wait for a timer

    def on_error(self, call: Call, gate: Gate, reason: RefusalReason) -> None:
        """Process an error answer: all lines of the number are busy, or the server fails set-ups.

        A server that returns errors at once looks idle and would attract traffic.  Errors on several numbers
        without a success in between are therefore attributed to the server, whatever reason it gives, and it
        is ejected.  Errors on one number alone are attributed to the number, and so are those on a number
        that fails at other servers too: callers may ask for numbers that no server knows.
        """
        number = call.number or str(call.id)
        others = [other for other in self.gates.values() if other is not gate]
        also_failed = [other for other in others if number in other.failed_numbers]
        for other in also_failed:
            other.failed_numbers.discard(number)
            if other.ejected_for_errors and len(other.failed_numbers) < MAX_FAILED_NUMBERS:
                other.ejected = other.ejected_for_errors = False
        if not also_failed and len(gate.failed_numbers) < MAX_FAILED_NUMBERS:
            gate.failed_numbers.add(number)
        if len(gate.failed_numbers) >= MAX_FAILED_NUMBERS and not gate.ejected:
            self.eject(gate, "failing set-ups")
            gate.ejected_for_errors = True
        call.tried_servers.add(gate.id)
        call.error_count += 1
        if reason is RefusalReason.NUMBER_BUSY and not gate.ejected:
            self.number_busy_until_ms[call.number] = self.now_ms + NUMBER_BUSY_MS
            self.answer(call, Fail(call.id))
        elif call.error_count >= MAX_CALL_ERRORS or not any(
            self.is_eligible(other, call) for other in others
        ):
            self.answer(call, Fail(call.id))
        elif not gate.ejected and not any(
            self.is_eligible(other, call) and self.is_open(other) for other in others
        ):
            call.tried_servers.discard(gate.id)  # a retry there is better than being held for a full server

    def on_server_list(self, event: ServerList) -> None:
        """Apply a server list: add, update and remove gates.  Lists older than the last one are ignored."""
        if event.version < self.list_version:
            return
        self.list_version = event.version
        if event.complete:
            listed_ids = {listed.server for listed in event.servers}
            for known in self.gates.values():
                if known.id not in listed_ids:
                    known.status = ServerStatus.REMOVED
        for listed in event.servers:
            if (gate := self.gates.get(listed.server)) is None:
                rank = zlib.crc32(f"{self.settings.gateway_no}/{listed.server}".encode())
                self.gates[listed.server] = gate = Gate(
                    listed, rank, OVERTAKEN_LIMIT_SHARE * self.wait_limit_ms
                )
                gate.tokens = self.new_cold_tokens(gate)
                gate.last_probe_ms = self.now_ms - self.random.random() * self.probe_interval_ms
                if (learned := self.restored.pop(gate.id, None)) is not None:
                    gate.restore(learned)
                continue
            returned = gate.status is ServerStatus.REMOVED and listed.status is ServerStatus.ACTIVE
            if gate.status is not listed.status:
                self.log(gate, f"is now {listed.status.value}")
            gate.pool, gate.status = listed.pool, listed.status
            gate.sender_share = listed.sender_share
            if listed.started_ms != gate.started_ms or returned:
                gate.started_ms = listed.started_ms or (self.now_ms if returned else None)
                gate.ejected, gate.free_lines, gate.observed_wait_ms, gate.restored_rate_per_ms = (
                    False,
                    None,
                    0.0,
                    0.0,
                )
                gate.tokens = self.new_cold_tokens(gate)
        for gate in self.gates.values():
            removed = gate.status is ServerStatus.REMOVED
            gate.removed_ms = min(gate.removed_ms, self.now_ms) if removed else math.inf
        retained = (
            g for g in self.gates.values() if g.pending or self.now_ms - g.removed_ms < REMOVED_RETENTION_MS
        )
        self.gates = {gate.id: gate for gate in sorted(retained, key=lambda gate: gate.rank)}
        servers = self.gates.values()
        self.estimates.update_servers((g.id, g.status is ServerStatus.ACTIVE, g.started_ms) for g in servers)
        self.gates_by_pool = {}
        for gate in self.gates.values():
            self.gates_by_pool.setdefault(gate.pool, []).append(gate)

    def apply_report(self, gate: Gate | None, report: LoadReport | None) -> None:
        """Apply a load report to the gate and to the fleet's estimates."""
        if gate is None or report is None:
            return
        if report.free_lines is not None:
            gate.free_lines, gate.lines = report.free_lines, report.lines or gate.lines
        self.estimates.record_report(
            self.now_ms, gate.id, report.free_lines, report.lines, report.allowed_per_s
        )
        gate.wait_decay_ms = math.inf
        if self.estimates.load_known(gate.id):
            # Slower by this sender's own gap between calls to the server: its next set-up measures the wait.
            gate.wait_decay_ms = self.time_scale * WAIT_DECAY_MS + 1.0 / max(
                1e-6, self.capacity_share(gate) * self.new_call_rate()
            )
        if report.wait_ms is not None:
            gate.observe_wait(self.now_ms, report.wait_ms, WAIT_SMOOTHING)

    # -- the call's worth -----------------------------------------------------------------------------
    def assess_worth(self, call: Call, tenant: str | None) -> None:
        """Set the call's worth and, by it, how long the call may be held."""
        if call.number not in self.first_dialled_ms:
            self.new_call_meter.add(self.now_ms)
        dialled_ms = (
            self.first_dialled_ms.setdefault(call.number, self.now_ms) if call.number else self.now_ms
        )
        if self.now_ms - dialled_ms > REDIAL_WINDOW_MS:
            dialled_ms = self.first_dialled_ms[call.number] = self.now_ms
        call.aim_due_ms = dialled_ms + call.call_class.aim_ms
        if call.aim_due_ms <= self.now_ms:
            call.worth *= call.call_class.late_worth
        if self.number_busy_until_ms.get(call.number, -math.inf) > self.now_ms:
            call.worth *= BUSY_NUMBER_WORTH_FACTOR
        if tenant is not None and self.quotas.is_exceeded(self.now_ms, tenant):
            call.worth *= self.settings.over_quota_worth
        hold_ms = MAX_HOLD_SHARE * call.call_class.aim_ms
        if call.worth < LOW_WORTH_SHARE * self.min_worth or call.aim_due_ms <= self.now_ms:
            hold_ms = self.time_scale * LATE_HOLD_MS
        call.give_up_ms = self.now_ms + hold_ms
        if len(self.first_dialled_ms) > self.prune_above:
            for table in (self.first_dialled_ms, self.number_busy_until_ms):
                for number in [n for n, at_ms in table.items() if self.now_ms - at_ms > REDIAL_WINDOW_MS]:
                    del table[number]
            # Where most numbers are recent, pruning removes few of them: without a higher limit every call
            # would scan the whole table.
            self.prune_above = max(MIN_TRACKED_NUMBERS, 2 * len(self.first_dialled_ms))

    # -- routing and admission ------------------------------------------------------------------------
    def after_event(self, event: Event) -> None:
        """Run the steps due after any event: ratios, silence, held calls, expiry of holds, and the timer."""
        if self.now_ms >= self.next_ratio_ms:
            self.next_ratio_ms = self.now_ms + RATIO_INTERVAL_MS
            for gate in self.gates.values():
                gate.update_ratio()
        if isinstance(event, TimerFired):
            open_gate = next(filter(self.is_open, self.gates.values()), None)
            for gate in self.gates.values():
                if gate.pending:
                    open_gate = self.check_silence(gate, open_gate)
        if isinstance(event, NewCall) and len(self.held) > 1:
            # Only the new call is looked at, to save processor time; the other held calls are looked at by
            # the timer and by events that change their gates.
            call = self.held.get(event.call)
            sent = call is not None and self.dispatch(call)
            if call is not None and not sent and self.now_ms >= self.hold_deadline_ms(call):
                self.answer(call, Refuse(call.id))  # seen only after a stall: too late to wait for a timer
        elif self.held and (len(self.held) <= MAX_HELD_PER_EVENT or isinstance(event, TimerFired)):
            self.dispatch_held()
        self.arm_timer()

    def dispatch_held(self) -> None:
        """Send the held calls that may go, by worth and then by age, and refuse those held for too long."""
        open_gates = {
            gate.id: gate for gate in self.gates.values() if self.is_open(gate) or self.is_trial_due(gate)
        }
        for call in self.held_in_order() if open_gates else ():
            used = self.dispatch(call, open_gates) if open_gates and call.id in self.held else None
            if used is not None and not self.is_open(used):
                del open_gates[used.id]
        for gate in self.gates.values():
            if self.held and self.is_trial_due(gate):
                self.release_held(gate, math.inf, trial=True)
        for call in [call for call in self.held.values() if self.now_ms >= self.hold_deadline_ms(call)]:
            self.answer(call, Refuse(call.id))

    def arm_timer(self) -> None:
        """Request a timer for the next check; none where there are no calls and no recent stall."""
        due_ms = self.now_ms + (HELD_TIMER_MS if self.held else IDLE_TIMER_MS)
        if (
            self.calls or self.now_ms < self.stall_ended_ms + STALL_WATCH_MS
        ) and due_ms < self.timer_due_ms - 1.0:
            self.timer_due_ms = due_ms
            self.actions.append(SetTimer(due_ms - self.now_ms, "tick"))

    def check_overload(self, gate: Gate) -> bool:
        """Update the gate's overload flag and return it."""
        was_overloaded, high = gate.overloaded, gate.ratio_high
        waiting = high and any(call.preferred_pool == gate.pool for call in self.held.values())
        gate.update_overloaded(self.now_ms, self.wait_limit_ms, waiting, self.stall_ended_ms)
        if gate.overloaded and not was_overloaded:
            self.log(
                gate,
                "overloaded, estimated wait"
                f" {gate.estimated_wait_ms(self.now_ms, self.stall_ended_ms):.0f} ms",
            )
        return gate.overloaded

    def is_open(self, gate: Gate) -> bool:
        """Report whether a call may pass now.

        The server must be active, neither overloaded nor ejected, due by its pace, and warm or within the
        cold budget."""
        closed = gate.status is not ServerStatus.ACTIVE or self.check_overload(gate) or gate.ejected
        paced = len(self.held) > 1 and self.now_ms < gate.paced_until_ms and not self.is_idle(gate)
        return not (closed or paced) and self.in_cold_budget(gate)

    def is_idle(self, gate: Gate) -> bool:
        """Report whether so little of its share of the new calls is outstanding that no pacing is needed.

        In the first seconds of a busy site there are few answers to derive a pace from.  Without this test,
        idle servers went unused while calls that arrived together were held and refused.  A server that is
        cold, or was overloaded lately, is always paced."""
        if self.now_ms - gate.last_overload_ms < self.pace_window_ms or self.ramp_progress(gate) < 1.0:
            return False
        usual = self.capacity_share(gate) * self.new_call_rate() * IDLE_LIMIT_SHARE * self.wait_limit_ms
        return gate.outstanding + 1.0 <= usual

    def is_trial_due(self, gate: Gate) -> bool:
        """Report whether an overloaded or ejected server with no pending call may be tried with one call now.

        The paper's design sends one at once; with many senders such trials keep a slow server full.  So each
        sender waits for several of its own usual gaps between calls to the server, the more the longer the
        observed wait: the trials of all senders add up to a share of the server's usual load."""
        if gate.status is not ServerStatus.ACTIVE or gate.pending or not (gate.overloaded or gate.ejected):
            return False
        gap_ms = 1.0 / max(1e-9, self.capacity_share(gate) * self.new_call_rate())
        gaps = min(MAX_TRIAL_GAPS, TRIAL_GAPS * (gate.decayed_wait_ms(self.now_ms) / self.wait_limit_ms) ** 2)
        pause_ms = (
            max(self.trial_interval_ms, gap_ms * max(MIN_EJECTED_TRIAL_GAPS, gaps))
            if gate.ejected
            else gap_ms * gaps
        )
        return self.now_ms - gate.last_sent_ms >= pause_ms

    def new_call_rate(self) -> float:
        """Return the new calls per ms: the measured average, or the restored rate while that is higher."""
        restored = self.restored_calls_per_ms * math.exp((self.restored_ms - self.now_ms) / RATE_FADE_MS)
        return max(restored, self.new_call_meter.value(self.now_ms))

    def capacity_share(self, gate: Gate) -> float:
        """Return the server's share of the capacity of all servers.

        Rerouting that took all servers to be of one size overloaded the small ones."""
        return self.estimates.capacity_share(gate.id)

    def check_silence(self, gate: Gate, open_gate: Gate | None) -> Gate | None:
        """Eject a server that leaves set-ups unanswered (hung, stopped or unreachable).

        Where another server is open, its overdue attempts are cancelled, to be sent there.  open_gate is any
        open gate, or None; returns the one to use from here on."""
        self.check_overload(gate)
        base_ms = gate.base_latency_ms if gate.base_latency_ms < math.inf else self.wait_limit_ms
        silent_ms = SILENCE_LIMIT_FACTOR * self.wait_limit_ms + SILENCE_LATENCY_FACTOR * base_ms
        if (
            gate.is_alive(self.now_ms)
            and self.estimates.usual_wait_ms(self.now_ms) > SLOW_FLEET_LIMIT_SHARE * self.wait_limit_ms
        ):
            # The server is slow, not silent, and so are the others: its pending set-ups are answered sooner
            # than if they were sent again.
            silent_ms = max(silent_ms, self.estimates.timing.aim_ms)
        oldest_ms = call.sent_ms if (call := gate.oldest_pending()) is not None else self.now_ms
        silent = self.now_ms - max(oldest_ms, gate.last_answer_ms, self.stall_ended_ms) > silent_ms
        if silent and not gate.ejected:
            self.eject(gate)
        # An overtaken set-up is not in the processor's queue any more and can be cancelled sooner, but only
        # where a recent answer shows that the connection works: the cancellation would not arrive otherwise.
        responsive = self.now_ms - gate.last_answer_ms <= self.wait_limit_ms
        overtaken_ms = silent_ms - self.wait_limit_ms if responsive else math.inf
        overdue = [
            c
            for c in gate.pending.values()
            if not c.cancelled
            and (
                self.now_ms - c.sent_ms
                > (overtaken_ms if gate.is_overtaken(c) else silent_ms if silent else math.inf)
            )
        ]
        if overdue and self.settings.may_cancel and open_gate is not None:
            open_gate = (
                open_gate
                if self.is_open(open_gate)
                else next(filter(self.is_open, self.gates.values()), None)
            )
            for call in overdue if open_gate is not None else ():
                call.cancelled = True
                self.actions.append(Cancel(call.id, call.attempts - 1))
        return open_gate

    def eject(self, gate: Gate, reason: str = "not responding") -> None:
        """Take a server out of use, but for one trial call at a time."""
        gate.ejected = True
        self.log(gate, f"{reason}: ejected, only trial calls are sent, one at a time")

    def is_eligible(self, gate: Gate, call: Call) -> bool:
        """Report whether the call may go to the server now, apart from the state of its gate."""
        return (
            gate.status is ServerStatus.ACTIVE
            and gate.id not in call.tried_servers
            and (call.call_class.pools is None or gate.pool in call.call_class.pools)
            and (gate.free_lines is None or gate.free_lines >= call.weight)
            # Not where the caller would leave before the answer; a call of a patient caller may go anywhere.
            and min(gate.decayed_wait_ms(self.now_ms), PATIENT_CALLER_LIMITS * self.wait_limit_ms)
            < call.expires_ms - self.now_ms
            # Late redials and other calls of low worth avoid servers under load and the last free lines.
            and (
                call.worth >= LOW_WORTH_SHARE * self.min_worth
                or (
                    gate.decayed_wait_ms(self.now_ms) <= LOW_WORTH_WAIT_FACTOR * self.wait_limit_ms
                    and (gate.free_lines is None or gate.free_lines >= RESERVED_LINES_SHARE * gate.lines)
                )
            )
        )

    def reroute_key(self, call: Call, gate: Gate) -> tuple[bool, float]:
        """Return the sort key of a server among those that the call may be rerouted to; the least is chosen.

        The draw is fixed for each call and server, and weighted by the server's size and room, so that calls
        neither all choose the same server nor crowd small ones.  While no sizes are known, the sender's hash
        order replaces the draw.  A cold server that this sender has a token for precedes all warm ones,
        because a token can't be kept."""
        draw = hash_draw(call, gate.rank) if self.estimates.max_active_lines > 0 else 1.0 - gate.rank / 2**32
        room = max(0.05, 1.0 - gate.decayed_wait_ms(self.now_ms) / self.wait_limit_ms)
        distance = -math.log(draw) / max(1e-9, self.estimates.reroute_weight(self.now_ms, gate.id) * room)
        return self.ramp_progress(gate) >= 1.0, distance

    def dispatch(self, call: Call, open_gates: dict[str, Gate] | None = None) -> Gate | None:
        """Send the call to its preferred pool if a server there is open, else to another open server.

        open_gates limits the choice.  Returns the gate used, or None if the call was not sent."""
        if self.now_ms < call.release_done_ms:
            return None
        preferred = None
        for gate in self.gates_by_pool.get(call.preferred_pool, ()):
            if self.is_eligible(gate, call) and (open_gates is None or gate.id in open_gates):
                if self.is_open(gate):
                    if hash_draw(call, gate.rank) > self.estimates.first_choice_share(self.now_ms, gate.id):
                        # All senders together have more calls for this server than it can do: rerouted.
                        preferred = gate
                        continue
                    return gate if self.send(call, gate) else None
                if gate.overloaded or gate.ejected:
                    if self.now_ms - gate.observed_at_ms > self.trial_interval_ms:
                        self.probe(gate)  # only in this state can a report change a decision
                    # Without trials, a server that all calls avoid would stay overloaded for want of answers.
                    if self.is_trial_due(gate) and call.worth <= self.min_worth and self.send(call, gate):
                        return gate
        others = (self.gates if open_gates is None else open_gates).values()
        candidates = [
            g
            for g in others
            if g.pool != call.preferred_pool and self.is_eligible(g, call) and self.is_open(g)
        ]
        best = min(candidates, key=lambda gate: self.reroute_key(call, gate), default=preferred)
        return best if best is not None and self.send(call, best) else None

    def held_in_order(self) -> list[Call]:
        """Return the held calls by descending worth, then by age, the oldest first."""
        return sorted(self.held.values(), key=lambda call: (-call.worth, call.arrived_ms))

    def release_held(self, gate: Gate, weight: float, trial: bool = False) -> None:
        """Send held calls, in order, up to the weight of an answer; for a trial, one call."""
        wait_ms = gate.estimated_wait_ms(self.now_ms, self.stall_ended_ms)
        for call in self.held_in_order():
            if call.weight > weight or self.now_ms < call.release_done_ms or not self.is_eligible(gate, call):
                continue
            if self.now_ms >= call.aim_due_ms:
                continue  # already late: only an open server's capacity is spent on it
            factor = HIGH_WORTH_WAIT_FACTOR if call.worth > self.min_worth else 1.0
            factor = LOW_WORTH_WAIT_FACTOR if call.worth < LOW_WORTH_SHARE * self.min_worth else factor
            if not trial and wait_ms > self.wait_limit_ms * factor:
                continue
            if self.send(call, gate):
                weight -= call.weight
                if trial:
                    return

    def hold_deadline_ms(self, call: Call) -> float:
        """Return when a held call is refused: too late for its aim, or its caller is about to leave."""
        return min(call.give_up_ms, call.expires_ms - 2.0 * self.settings.tick_ms - HELD_TIMER_MS)

    # -- the rules: every send and every answer goes through these methods ----------------------------
    def ramp_progress(self, gate: Gate) -> float:
        """Return how far a server is through its warm-up; it is warm at 1 and above."""
        if gate.started_ms is None:
            return math.inf
        return (self.now_ms - gate.started_ms) / self.settings.ramp_ms

    def new_cold_tokens(self, gate: Gate) -> ColdTokens:
        """Create the tokens of a cold server: none yet, as for a gateway that has just started.

        The slot includes a hash of the server's id, so that the first tokens of different servers go to
        different gateways."""
        slot = self.settings.gateway_no + zlib.crc32(gate.id.encode())
        settings, share = self.settings, gate.sender_share
        return ColdTokens(slot, settings.gateway_count, self.now_ms, settings.fall_multiple, share)

    def in_cold_budget(self, gate: Gate) -> bool:
        """Rule 4: report whether the server is warm or a token is available (estimation/cold_budget.py)."""
        if (progress := self.ramp_progress(gate)) >= 1.0:
            return True
        ramp_share = self.settings.cold_from + (1.0 - self.settings.cold_from) * max(0.0, progress) ** 2
        if (sure_per_s := self.estimates.min_capacity_per_s(gate.id)) is not None:
            capacity = sure_per_s / 1000.0
        else:
            # What the server does for this sender, times the number of senders: its share of the answers, or
            # of the new calls if none were answered.  As each sender goes by its own, the sum is that of all.
            rate = max(self.best_rate, ASSUMED_SERVED_SHARE * self.new_call_meter.value(self.now_ms))
            rate *= self.capacity_share(gate) * self.settings.gateway_count * gate.sender_share
            capacity = max(
                rate,
                ASSUMED_COLD_SET_UPS / (self.settings.fall_multiple * ramp_share * self.settings.fall_ms),
            )
        per_ms = self.settings.fall_multiple * ramp_share * capacity
        return gate.tokens.available(self.now_ms, per_ms, self.settings.fall_ms)

    def send(self, call: Call, gate: Gate) -> bool:
        """Send an attempt, if the rules allow it now; every attempt goes through this method."""
        if (
            call.server is not None  # rule 2: at most one attempt at a time
            or call.id not in self.calls  # rule 1: nothing after the final answer
            or self.now_ms < call.release_done_ms  # rule 5: the last attempt's release has to be over
            or gate.status is not ServerStatus.ACTIVE  # rule 3: nothing new while draining, even in the grace
            or not self.in_cold_budget(gate)  # rule 4
        ):
            return False
        if call.attempts >= self.settings.max_attempts or self.now_ms >= call.expires_ms:
            self.answer(call, Refuse(call.id))
            return False
        del self.held[call.id]
        call.server, call.sent_ms, call.cancelled = gate.id, self.now_ms, False
        call.attempts += 1
        gate.pending[call.id] = call
        self.estimates.in_flight[call.id] = self.now_ms
        gate.outstanding += call.weight
        gate.sent_load += call.weight
        gate.set_ups += 1
        if gate.free_lines is not None:
            gate.free_lines = max(0.0, gate.free_lines - call.weight)  # until the next report
        gate.last_sent_ms = self.now_ms
        begin_by_ms = gate.tokens.consume() if self.ramp_progress(gate) < 1.0 else math.inf
        # Held calls pass an open gate at a pace: twice its answer rate near the wait limit, faster at a
        # shorter wait.  Otherwise a server that just recovered would get the queues of all senders at once.
        load = gate.estimated_wait_ms(self.now_ms, self.stall_ended_ms) / self.wait_limit_ms
        rate = len(gate.answer_times_ms) / self.pace_window_ms
        if self.now_ms - gate.last_overload_ms >= self.pace_window_ms and self.ramp_progress(gate) >= 1.0:
            # A warm server that is new to this sender, or back, has few answers to derive a pace from and
            # would go unused.  So its rate is taken from its share of the best rate of all servers, or from
            # its restored rate, where these are higher.
            rate = max(
                rate,
                ASSUMED_RATE_SHARE
                * max(gate.restored_rate_per_ms, self.capacity_share(gate) * self.best_rate),
            )
        gap_ms = min(
            self.time_scale * MAX_PACE_GAP_MS, 1.0 / (PACE_FACTOR * max(rate, 1.0 / self.pace_window_ms))
        )
        gate.paced_until_ms = self.now_ms + gap_ms * max(MIN_PACE_GAP_FACTOR, min(1.0, load))
        # A set-up that still waits at its aim is worth little but costs as much work as any, and its resends:
        # timed out at the aim, it leaves the server's queue.  Otherwise calls already late sustain overload.
        in_time = call.aim_due_ms > self.now_ms + self.wait_limit_ms
        ends_ms = call.aim_due_ms if in_time else self.now_ms + self.time_scale * LATE_ATTEMPT_TIMEOUT_MS
        call.timeout_ms = min(ends_ms, call.expires_ms) - self.now_ms
        self.actions.append(Send(call.id, gate.id, call.timeout_ms, begin_by_ms))
        gate.update_overloaded(self.now_ms, self.wait_limit_ms, bool(self.held), self.stall_ended_ms)
        return True

    def probe(self, gate: Gate) -> None:
        """Request a server's load report, at an interval that bounds the probes of all senders together."""
        if self.settings.may_probe and self.now_ms - gate.last_probe_ms > self.probe_interval_ms:
            gate.last_probe_ms = self.now_ms
            self.actions.append(Probe(gate.id))

    def withdraw(self, call: Call, gate: Gate) -> None:
        """Remove the call's attempt from the server's pending ones."""
        gate.pending.pop(call.id, None)
        self.estimates.in_flight.pop(call.id, None)
        gate.outstanding = max(0.0, gate.outstanding - call.weight)
        call.server = None

    def answer(self, call: Call, action: Refuse | Fail) -> None:
        """Give the final answer; every refusal and failure goes through this method (rule 1)."""
        if call.id in self.calls:
            self.drop_call(call)
            self.actions.append(action)

    def drop_call(self, call: Call | None) -> None:
        """Drop a call that is established or answered, or whose caller has left."""
        if call is not None:
            if call.server is not None:
                self.withdraw(call, self.gates[call.server])
            self.held.pop(call.id, None)
            self.calls.pop(call.id, None)

    def log(self, gate: Gate, text: str) -> None:
        """Log a line about a server, limited in rate per kind; the first ten characters identify the kind."""
        if self.now_ms - gate.last_logged_ms.get(text[:10], -math.inf) >= LOG_INTERVAL_MS:
            gate.last_logged_ms[text[:10]] = self.now_ms
            self.actions.append(Log(f"server {gate.id} {text}", gate.id))


def hash_draw(call: Call, rank: int) -> float:
    """Return the call's draw for a server, uniform over 0 to 1 and the same at each request."""
    return (zlib.crc32(b"%d/%d" % (call.id, rank)) + 1) / 2**32


def validate(settings: Settings) -> None:
    """Raise ValueError naming the first setting with an invalid value."""
    names = ("gateway_count", "max_attempts", "ramp_ms", "fall_multiple", "fall_ms")
    above_zero: dict[str, float] = {name: getattr(settings, name) for name in names}
    for index, call_class in enumerate(settings.classes):
        above_zero |= {
            f"classes[{index}].{name}": getattr(call_class, name) for name in ("aim_ms", "deadline_ms")
        }
    invalid = [key for key, value in above_zero.items() if not 0 < value < math.inf]
    invalid += ["cold_from"] * (not 0 < settings.cold_from <= 1) + ["classes"] * (not settings.classes)
    invalid += ["release_ms"] * (not 0 <= settings.release_ms < math.inf)
    if invalid:
        raise ValueError(f"settings: {invalid[0]} has an invalid value")
