"""A planner: one thread that owns a Controller, the call table and the timers.

Everything reaches it through its inbox.  It turns events into the module's, carries the module's actions out,
ends each attempt once and gives each call one outcome; it decides nothing of its own but what the rules on
sockets leave no choice in (a lost link, a deadline, a caller that left).
"""

from __future__ import annotations

import dataclasses
import functools
import math
from collections import deque
from collections.abc import Callable

from loguru import logger

from capershelf import interface as api
from capershelf.control import Controller
from capershelf.core import model as m
from capershelf.core.attempt_gate import AttemptGate
from capershelf.core.call_table import CallTable
from capershelf.core.clock import Clock, Inbox
from capershelf.core.list_gate import ListGate
from capershelf.core.probes import Probes
from capershelf.core.timers import Timer, Timers

DEADLINE_MARGIN_MS = 15.0  # an outcome sets out so long before its caller leaves
LOST_AFTER_MS = 4000.0  # calls that stood at a server out of reach for so long are taken to be cut
REMOVED_AFTER_MS = 1000.0  # and those at one that the list has dropped, after this
UNHEARD_MS = 8000.0  # the end of a call is kept so long for a caller without a connection
# An answer to an attempt that was reset may come so long after: what was replaced is heard out.
LATE_ANSWER_MS = 2000.0
REVIEW_MS = 100.0  # between two looks at the members of a subset


class Planner:
    """Owns the decisions for its part of the calls."""

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, connect_ms: float, name: str = "planner"
    ) -> None:
        self.name = name
        self.clock = clock
        self.inbox: Inbox[m.Event] = Inbox(clock)
        self.servers: m.ServerLinks
        self.memory: m.Memory | None = None  # off unless an operator's file turns it on,
        self.subset: m.Subset | None = None  # as is this: without it all listed servers are linked to
        self._settings = settings
        self._classes = {kind.name: kind for kind in settings.classes}
        self._controller = Controller(settings, seed)
        self._connect_ms = connect_ms
        self.calls = CallTable()
        self._known: dict[str, m.ServerState] = {}
        self._probes = Probes()
        self._todo: deque[api.Event] = deque()
        self._timers = Timers()
        self._stop: m.Stop | None = None
        self._news: deque[m.ServerListUpdate] = deque()  # goes before what waits in the inbox
        self.list_gate = ListGate(clock, self.at, self.has_news, self._list_came)
        self._list_version = 0
        self.owed: Callable[[], int] = lambda: 0  # set-ups that sessions have taken, here or on their way
        self._now_ms = 0.0

    # -- the loop -------------------------------------------------------------------------------------
    def run(self) -> None:
        """Serve until told to stop and nothing is owed."""
        if self.memory is not None:
            self._sweep()
        if self.subset is not None:
            self._review_subset()
        while not self.finished():
            self.step()

    def tell(self, news: m.ServerListUpdate) -> None:
        """The list has news: any thread may say so.

        Guards the drain rule from an inbox that a slow processor has let grow: which servers drain is known
        before anything that waits there is sent to one.
        """
        self._news.append(news)
        self.inbox.wake()

    def step(self) -> None:
        """Take one event or wait for the earliest deadline; then fire what is due."""
        event = self.inbox.take(self._timers.next_ms)
        while self._news:
            self._guarded(self._news.popleft())
        if event is not None:
            self._guarded(event)
        for timer in self._timers.due(self.clock.now_ms()):
            try:
                timer.fire()
            except Exception:  # as above
                logger.exception(
                    "{planner}: a timer could not be dealt with", event="timer-fault", planner=self.name
                )

    def _guarded(self, event: m.Event) -> None:
        try:
            self.take(event)
        except Exception:  # one bad event must not take the thread that everything rests on
            logger.exception(
                "{planner}: event {what} could not be dealt with",
                event="planner-fault",
                planner=self.name,
                what=type(event).__name__,
            )

    def finished(self) -> bool:
        if self._stop is None or self.calls.open_count or not self.inbox.empty():
            return False
        if self.owed() and self.clock.now_ms() < self._stop.answer_by_ms:
            return False  # a set-up was taken, and has not come here yet
        # Ends that nobody has heard keep nothing up: no new caller can come for them any more.
        return self.calls.all_over() or self.clock.now_ms() >= self._stop.end_by_ms

    def at(self, when_ms: float, fire: Callable[[], None]) -> Timer:
        """Have this done on the planner's thread at that time."""
        return self._timers.at(when_ms, fire)

    def take(self, event: m.Event) -> None:
        match event:
            case m.SetUpReceived():
                self._set_up(event.request, event.caller)
            case m.CallerReleased():
                self._caller_released(event)
            case m.CallerConnected():
                self._caller_came(event.caller)
            case m.CallerDisconnected():
                self._caller_lost(event.caller)
            case m.CallerRejected(caller, done):
                self._caller_barred(caller)
                done()
            case m.ServerAnswered():
                self._answered(event)
            case m.ServerReleased():
                self._server_released(event)
            case m.SetUpDropped(key, attempt):
                if (call := self.calls.by_key.get(key)) is not None and call.attempt is attempt:
                    self._not_begun(call)
            case m.ServerReported():
                self._told(event)
            case m.LinkUp():
                self._link_up(event)
            case m.LinkDown():
                self._link_down(event)
            case m.ServerListUpdate():
                self._listed(event)
            case m.ApplySettings():
                self._take_over(event)
            case m.QueryOpenClasses(back):
                back({call.request.call_class for call in self.calls.open()})
            case m.InboxBarrier(back):
                back()
            case m.Stop():
                self._stop = event
                self.at(event.end_by_ms, lambda: None)
                self.at(event.answer_by_ms, self._last_words)
                self.remember()  # now: nobody knows how long this end may take

    # -- callers --------------------------------------------------------------------------------------
    def _set_up(self, request: m.SetUp, caller: m.Caller) -> None:
        known = self.calls.by_key.get(request.key)
        if known is not None and not self._left_behind(known, caller):
            self._come_back(known, request, caller)
            return
        now_ms = self.clock.now_ms()
        if request.call_class not in self._classes:
            logger.warning(
                "call {call}: unknown class {call_class!r}",
                event="class-unknown",
                call=request.id,
                call_class=request.call_class,
            )
            caller.notify(m.Failed(request.id, m.CAUSE_INVALID))
            return
        call = self.calls.add(request, caller)
        # Guards against a call without an outcome, whatever the module does: the last word is here.
        call.expiry_timer = self.at(request.expires_ms, lambda: self._expire(call))
        expires_ms = max(now_ms, request.expires_ms - DEADLINE_MARGIN_MS)
        self._feed(
            api.NewCall(
                request.key,
                expires_ms,
                request.call_class,
                request.preferred_pool,
                request.number,
                None,
                request.width,
            )
        )

    def _left_behind(self, call: m.Call, caller: m.Caller) -> bool:
        """Whether the call is one whose caller has hung up, which is only not heard here yet: it is left.

        Guards a caller whose connection broke and who sends its set-up once more, on another.
        """
        before = call.caller
        if (
            caller.calls_outlive_connection
            or call.state is not m.CallState.OPEN
            or before is None
            or before is caller
            or (before.is_waiting(call.request.id))
        ):
            return False
        self._leave(call)
        return True

    def _come_back(self, call: m.Call, request: m.SetUp, caller: m.Caller) -> None:
        """A set-up with the id of a call that is here: its caller has come back; never a new attempt.

        Guards a call against one that only has its id: the description must be the same, and a front whose
        calls end with their connection has no one who could come back.
        """
        if call.caller is caller:
            return
        if not caller.calls_outlive_connection or call.request.description != request.description:
            logger.warning(
                "call {call}: its id was used again for another call", event="call-id-reused", call=request.id
            )
            caller.notify(m.Failed(request.id, m.CAUSE_INVALID))
            return
        logger.info(
            "call {call}: its caller is back, {state}",
            event="caller-back",
            call=call.request.id,
            state=call.state.value,
        )
        if call.caller is None and call.state is m.CallState.ESTABLISHED and caller.calls_outlive_connection:
            call.undelivered = call.answer  # a caller that asks again has not seen it
        call.caller = caller
        if call.undelivered is not None and caller.notify(call.undelivered):
            call.undelivered = None
            if call.state is m.CallState.ENDED:
                self._forget(call)

    def _caller_released(self, event: m.CallerReleased) -> None:
        call = self.calls.find(event.id)
        if call is None or call.state is m.CallState.ENDED:
            return
        if call.state is m.CallState.OPEN:
            self._leave(call)
        else:
            self._release(call.server, call.request.id, event.cause)
            self._end_standing(call, api.Result.OK)
            if event.caller is not call.caller:
                event.caller.call_ended(event.id)

    def _caller_came(self, caller: m.Caller) -> None:
        """A new connection is told of the ends that its host has not heard; no connection owns a call."""
        if caller.calls_outlive_connection:
            return
        for call in self.calls.unheard_of(caller.host):
            if call.undelivered is not None and caller.notify(call.undelivered):
                self._forget(call)

    def _caller_lost(self, caller: m.Caller) -> None:
        for call in self.calls.of(caller):
            if call.state is m.CallState.OPEN and not caller.calls_outlive_connection:
                self._leave(call)
            elif caller.calls_outlive_connection or call.state is m.CallState.OPEN:
                call.caller = None
            else:
                call.caller, call.lost_caller_host = caller.other_connection(), caller.host

    def _caller_barred(self, caller: m.Caller) -> None:
        for call in self.calls.of(caller):
            if call.state is m.CallState.OPEN:
                self._leave(call)
                self._say(call, m.Failed(call.request.id, m.CAUSE_INVALID))

    def _leave(self, call: m.Call, result: api.Result = api.Result.CANCELLED) -> None:
        """The caller has given the set-up up, or its time is over: nothing may be left out."""
        self.calls.latch(call)
        key, out = call.request.key, call.attempt is not None and call.attempt.epoch is not None
        self._end_attempt(call, result, settled=True)
        if out:
            rests_ms = self.clock.now_ms() + self._settings.release_ms
            self.at(rests_ms, self.calls.rest(key, rests_ms))
        self._feed(api.CallAbandoned(key))
        self._forget(call)
        if call.caller is not None:
            call.caller.call_ended(call.request.id)

    def _expire(self, call: m.Call) -> None:
        """The caller's time is over."""
        if call.state is m.CallState.OPEN:
            logger.warning(
                "call {call}: no outcome by its deadline", event="call-expired", call=call.request.id
            )
            self._leave(call, api.Result.TIMEOUT)
            self._say(call, m.Refused(call.request.id))
        elif call.state is m.CallState.ESTABLISHED and isinstance(call.undelivered, m.Answered):
            # Its caller never came back for the answer: what stands is released, once.
            self._release(call.server, call.request.id, m.CAUSE_NORMAL)
            self._end_standing(call, api.Result.OK)

    def _last_words(self) -> None:
        """This program may be killed at any moment from now on: whoever waits gets an outcome."""
        for call in self.calls.open():
            self._expire(call)

    def _say(self, call: m.Call, word: m.CallerMessage) -> bool:
        if (caller := call.caller) is not None:
            if caller.notify(word):
                return True
            if (
                isinstance(word, m.Ended)
                and (other := caller.other_connection()) is not None
                and other.notify(word)
            ):
                return True
            call.caller, call.lost_caller_host = None, "" if caller.calls_outlive_connection else caller.host
        return False

    def _final(self, call: m.Call, word: m.Refused | m.Failed) -> None:
        """A final answer goes out at once; for a caller out of reach it is kept until its time is over."""
        if not self.calls.latch(call):
            return
        self.calls.refused += 1
        self._forget(call)
        if not self._say(call, word):
            self.calls.keep(call, word, self.at(call.request.expires_ms, lambda: self._forget(call)))

    # -- booking servers ------------------------------------------------------------------------------
    def _answered(self, event: m.ServerAnswered) -> None:
        now_ms = self.clock.now_ms()
        call = self.calls.find(event.id)
        attempt = call.attempt if call is not None else None
        # An attempt still waiting for its connection can't have been answered: that is of an earlier one.
        there = attempt is not None and attempt.server == event.server and attempt.epoch is not None
        ours = there and not event.on_replaced_connection  # what was out on such a connection has been reset
        if call is None:
            # Of a call that is none of ours, or was ended at the server when it was ended here; but where the
            # connection broke and was heard out, the server does not know that nobody has it.
            if self.calls.was_reset_at(event.id, event.server):
                self._release(event.server, event.id, m.CAUSE_NORMAL)
            return
        if attempt is None or not ours:
            # To an earlier attempt there, on a connection that is heard out: a release by this id would end
            # the one that is out now.
            if not there and (call.state is not m.CallState.ESTABLISHED or call.server != event.server):
                # Guards against a call that stands for nobody: it was given up while this was on its way.
                self._release(event.server, event.id, m.CAUSE_NORMAL)
            return
        if event.id in self.servers.withdraw(event.server, event.id):
            # Its set-up has not left the outbox: an earlier attempt there is answered, given up since.
            self._end_attempt(call, api.Result.NOT_SENT)
            return
        attempt.end()
        call.attempt = None
        if not self.calls.latch(call):
            return
        call.state = m.CallState.ESTABLISHED
        call.server, call.established_ms = event.server, now_ms
        logger.debug(
            "call {call}: stands at {server}", event="call-stands", call=event.id, server=event.server
        )
        call.answer = m.Answered(event.id, event.description)
        caller = call.caller
        if not self._say(call, call.answer):
            call.undelivered = call.answer
        self._feed(
            api.AttemptSucceeded(call.request.key, attempt.number, event.server, now_ms - attempt.sent_ms)
        )
        if event.report is not None:
            self._feed(api.ServerReport(event.server, api.Result.OK, event.report, False))
        if call.undelivered is not None and caller is not None and not caller.calls_outlive_connection:
            self._expire(call)  # nobody can come back for it

    def _server_released(self, event: m.ServerReleased) -> None:
        call = self.calls.find(event.id)
        if call is None:
            return
        if call.state is m.CallState.ESTABLISHED and call.server == event.server:
            result = api.Result.RESET if event.cause == m.CAUSE_INTERRUPTED else api.Result.OK
            self._end_standing(call, result, event.cause, event.report)
        elif (
            (out := call.attempt) is not None
            and out.server == event.server
            and out.epoch is not None
            and (not event.on_replaced_connection)
        ):
            if event.cause == m.CAUSE_NORMAL:
                self._ended_unanswered(call, event)
                return
            call.last_ended_server, call.last_ended_ms = event.server, self.clock.now_ms()
            self._end_attempt(call, event.result, event.reason, event.report)

    def _ended_unanswered(self, call: m.Call, event: m.ServerReleased) -> None:
        """The call stood at the server and has come to its end there; the answer was lost or comes late.

        It has run: its caller is told that it is over, and no other server is asked for a second run.
        """
        self._end_attempt(call, api.Result.ERROR, report=event.report, settled=True)
        self._final(call, m.Failed(call.request.id, m.CAUSE_NORMAL))

    def _told(self, event: m.ServerReported) -> None:
        if event.token and self._probes.end(event.token) is None:
            return
        result = api.Result.OK if event.passed else api.Result.ERROR
        self._feed(api.ServerReport(event.server, result, event.report, bool(event.token)))

    def _end_standing(
        self, call: m.Call, result: api.Result, tell: int | None = None, report: api.LoadReport | None = None
    ) -> None:
        """A call that stood is over; tell is the cause for a caller that has not ended it itself."""
        call.state = m.CallState.ENDED
        server, number = call.server, call.attempts - 1
        logger.debug(
            "call {call}: over at {server}: {result}",
            event="call-over",
            call=call.request.id,
            server=server,
            result=result.value,
        )
        self._forget(call)
        if tell is None and call.caller is not None:
            call.caller.call_ended(call.request.id)
        word = m.Ended(call.request.id, tell if tell is not None else m.CAUSE_NORMAL)
        if tell is not None and not self._say(call, word):
            self.calls.keep(call, word, self.at(self.clock.now_ms() + UNHEARD_MS, lambda: self._forget(call)))
            self.calls.unheard[call.request.key] = call
        self._feed(api.AttemptEnded(call.request.key, number, server, result, True, report=report))

    def _end_attempt(
        self,
        call: m.Call,
        result: api.Result,
        why: api.RefusalReason = api.RefusalReason.UNSPECIFIED,
        report: api.LoadReport | None = None,
        settled: bool = False,
    ) -> None:
        """End the attempt that is out, once, whichever of its ends comes first."""
        attempt = call.attempt
        if attempt is None or attempt.ended:
            return
        attempt.end()
        call.attempt = None
        key, now_ms = call.request.key, self.clock.now_ms()
        if (server := self._known.get(attempt.server)) is not None:
            server.calls.pop(key, None)
        if attempt.epoch is not None and result in (
            api.Result.TIMEOUT,
            api.Result.RESET,
            api.Result.CANCELLED,
        ):
            call.not_before_ms = now_ms + self._settings.release_ms
        if attempt.epoch is not None and result is api.Result.RESET:
            self.at(now_ms + LATE_ANSWER_MS, self.calls.note_reset(key, attempt.server))
        logger.debug(
            "call {call}: attempt {attempt} at {server} is over: {result}",
            event="attempt-over",
            call=call.request.id,
            attempt=attempt.number,
            server=attempt.server,
            result=result.value,
        )
        if (
            attempt.epoch is not None
            and result in (api.Result.TIMEOUT, api.Result.CANCELLED)
            and (
                # Guards against a set-up that leaves an outbox when its call is out elsewhere already.
                call.request.id not in self.servers.withdraw(attempt.server, call.request.id)
            )
        ):
            self._release(attempt.server, call.request.id, m.CAUSE_NORMAL)
        self._feed(
            api.AttemptEnded(
                call.request.key, attempt.number, attempt.server, result, settled, why, None, report
            )
        )

    def _forget(self, call: m.Call) -> None:
        self.calls.forget(call)
        for server_id in {call.server, call.attempt.server if call.attempt else ""}:
            if (server := self._known.get(server_id)) is not None:
                server.calls.pop(call.request.key, None)
                self._rest_if_shut(server)

    def _release(self, server_id: str, call_id: str, cause: int) -> None:
        """Say it now, or on the next connection: guards a server's lines from calls that nobody has.

        Not to one that drains: it takes no new connection, and ends with what it has.
        """
        server = self._known.get(server_id)
        if server is None or server.epoch is not None or server.removed or server.draining:
            self.servers.release(server_id, call_id, cause)
            return
        server.pending_releases[call_id] = cause
        self._made_room(self.servers.connect(server_id))

    # -- links ----------------------------------------------------------------------------------------
    def _link_up(self, event: m.LinkUp) -> None:
        if (server := self._known.get(event.server)) is None:
            return
        server.epoch, server.disconnected_ms, server.link_failed = event.epoch, math.inf, False
        unsaid, server.pending_releases = server.pending_releases, {}
        for call_id, cause in unsaid.items():
            self.servers.release(server.id, call_id, cause)
        if event.replaces_broken:
            self._feed(api.ConnectionReplaced(event.server))
        for call in list(server.calls.values()):
            if call.attempt is not None and call.attempt.epoch is None and call.state is m.CallState.OPEN:
                self._dispatch(call, call.attempt, server)

    def _link_down(self, event: m.LinkDown) -> None:
        if (server := self._known.get(event.server)) is None:
            return
        now_ms = self.clock.now_ms()
        server.link_failed |= event.epoch is None or event.epoch == server.epoch
        if event.epoch is not None and event.epoch == server.epoch:
            server.epoch = None
            server.disconnected_ms = now_ms
            self.at(now_ms + LOST_AFTER_MS, lambda: self._cut_if_lost(server))
            if server.calls:
                # Whether its process died shows at once, or not any more: another may listen there soon.
                self._made_room(self.servers.connect(server.id))
        for call in list(server.calls.values()):
            attempt = call.attempt
            if attempt is not None and call.state is m.CallState.OPEN:
                if event.epoch is not None and attempt.epoch == event.epoch:
                    self._end_attempt(call, api.Result.RESET)
                elif event.epoch is None and attempt.epoch is None:
                    self._end_attempt(call, api.Result.NO_CONNECTION)
            elif call.state is m.CallState.ESTABLISHED and event.refused:
                # Nobody listens there any more: the process died, and its calls with it.
                self._end_standing(call, api.Result.RESET, m.CAUSE_INTERRUPTED)

    def _cut_if_lost(self, server: m.ServerState) -> None:
        """Guards against callers left on calls at a server that vanished without a word."""
        if server.epoch is None and self.clock.now_ms() - server.disconnected_ms >= LOST_AFTER_MS - 1.0:
            self._cut_all(server)
            server.pending_releases.clear()

    def _cut_all(self, server: m.ServerState) -> None:
        for call in list(server.calls.values()):
            if call.state is m.CallState.ESTABLISHED:
                self._end_standing(call, api.Result.RESET, m.CAUSE_INTERRUPTED)

    def _listed(self, event: m.ServerListUpdate) -> None:
        if self.subset is None:
            self._take_list(event)
            return
        kept = event.retained if event.complete else None
        update = self.subset.update_list(self.clock.now_ms(), event.servers, kept)
        self._take_update(event, update)

    def _take_update(self, event: m.ServerListUpdate, update: m.SubsetUpdate) -> None:
        """What the subset makes of the list's news, as news of its own."""
        self._take_list(
            dataclasses.replace(event, complete=False, servers=update.servers, retained=frozenset())
        )
        for server_id in update.urgent:
            self._made_room(self.servers.connect(server_id))

    def _review_subset(self) -> None:
        """Have substitutes join for members that can't be used, and leave when these are back."""
        if self.subset is None:
            return
        now_ms = self.clock.now_ms()
        update = self.subset.review(now_ms, self._unavailable, self._holds_nothing)
        if update.servers:
            self._take_update(m.ServerListUpdate(self._list_version, False, ()), update)
        self.at(now_ms + REVIEW_MS, self._review_subset)

    def _unavailable(self, server_id: str) -> bool:
        """Whether there is no way to the server, or the module has taken it out for its silence."""
        server = self._known.get(server_id)
        if server is None or server.link_failed:
            return True
        learned = self._controller.learned(server_id)
        return learned is not None and learned.ejected

    def _holds_nothing(self, server_id: str) -> bool:
        """Whether no call is out or stands at the server, and it need not be told of any."""
        server = self._known.get(server_id)
        return server is None or not (server.calls or server.pending_releases)

    def _take_list(self, event: m.ServerListUpdate) -> None:
        self._list_version = max(self._list_version, event.version)
        named = {located.listed.server for located in event.servers} | event.retained
        for located in event.servers:
            one = located.listed
            server = self._known.get(one.server)
            if server is not None:
                server.draining = one.status is not api.ServerStatus.ACTIVE
            if one.status is api.ServerStatus.REMOVED:
                if server is not None:
                    self._gone(server)
            elif not located.endpoint:
                continue  # it drains, and no more could be read of it
            elif server is None or server.removed or server.endpoint != located.endpoint:
                self._replace(located.endpoint, one.server)
                if server is None:
                    server = self._known[one.server] = m.ServerState(one.server, located.endpoint)
                    server.draining = one.status is not api.ServerStatus.ACTIVE
                server.endpoint, server.removed = located.endpoint, False
                self.servers.open(one.server, located.endpoint)
            if server is not None and one.started_ms is not None and one.started_ms > server.started_ms:
                self._restarted(server, one.started_ms)
        if event.complete:
            for server in list(self._known.values()):
                if server.id not in named:
                    server.draining = True
                    self._gone(server)
        if self.memory is not None and (known := self.memory.recall(event, self.clock.now_ms())) is not None:
            self._feed(known)
        listed, whole = tuple(s.listed for s in event.servers), event.complete
        if whole and event.retained:  # for the module, as the changes that it comes to
            gone = [server.id for server in self._known.values() if server.id not in named]
            listed += tuple(api.ListedServer(server_id, -1, api.ServerStatus.REMOVED) for server_id in gone)
            whole = False
        self._feed(api.ServerList(event.version, whole, listed))
        for server in [server for server in self._known.values() if server.draining]:
            self._withdraw(server)

    def _withdraw(self, server: m.ServerState) -> None:
        """Take back the set-ups to a server that drains of which no byte is written; they may go elsewhere.

        Guards the drain rule at the moment of writing, whatever a set-up waits for: connection or outbox.
        """
        unwritten = self.servers.withdraw(server.id)
        for call in list(server.calls.values()):
            attempt = call.attempt
            if (
                attempt is not None
                and call.state is m.CallState.OPEN
                and (attempt.epoch is None or call.request.id in unwritten)
            ):
                self._end_attempt(call, api.Result.NOT_SENT)
        self._rest_if_shut(server)

    def _restarted(self, server: m.ServerState, started_ms: float) -> None:
        """The server's process is a new one: what stood before its start went down with the old one.

        Guards against callers left on such calls where the old process gave no sign: its machine was cut off
        and came back, so that no connect was refused, and the new one knows nothing of them.
        """
        server.started_ms = started_ms
        for call in list(server.calls.values()):
            if call.state is m.CallState.ESTABLISHED and call.established_ms < started_ms:
                self._end_standing(call, api.Result.RESET, m.CAUSE_INTERRUPTED)

    def _replace(self, endpoint: str, by: str) -> None:
        """Guards a server from the calls of the one whose address it has taken over."""
        for server in [one for one in self._known.values() if one.endpoint == endpoint and one.id != by]:
            logger.info(
                "{planner}: server {server} has the address of {before}",
                event="address-taken",
                planner=self.name,
                server=by,
                before=server.id,
            )
            server.removed, server.epoch = True, None
            del self._known[server.id]
            self.servers.close(server.id)
            self._cut_all(server)
            for call in list(server.calls.values()):
                self._end_attempt(call, api.Result.RESET)
            server.calls.clear()

    def _gone(self, server: m.ServerState) -> None:
        if server.removed:
            return
        server.removed = True

        def clear() -> None:
            if server.removed:
                self._cut_all(server)
                if server.calls:  # a set-up is still out there: it ends by its own deadline first
                    self.at(self.clock.now_ms() + REMOVED_AFTER_MS, clear)
                    return
                if self._known.get(server.id) is server:
                    self.servers.close(server.id)
                    del self._known[server.id]

        self.at(self.clock.now_ms() + REMOVED_AFTER_MS, clear)

    # -- what outlives a restart ----------------------------------------------------------------------
    def _sweep(self) -> None:
        if self.memory is not None:
            now_ms = self.clock.now_ms()
            self.at(self.memory.collect(self._controller, now_ms, everything=False), self._sweep)

    def remember(self) -> None:
        """Hand over all that was learned: at SIGTERM, and once this planner has ended."""
        if self.memory is not None:
            self.memory.collect(self._controller, self.clock.now_ms(), everything=True)

    def _take_over(self, event: m.ApplySettings) -> None:
        """New settings, between two events: no call sees half of them."""
        self._settings, self._connect_ms = event.settings, event.connect_ms
        self._classes = {kind.name: kind for kind in event.settings.classes}
        self._feed(api.SettingsChanged(event.settings))
        event.done()

    # -- the module -----------------------------------------------------------------------------------
    def _feed(self, event: api.Event) -> None:
        """Hand the module an event and carry its actions out; what those bring about comes after."""
        self._todo.append(event)
        if len(self._todo) > 1:
            return
        while self._todo:
            try:
                # The module refuses a clock that goes back.
                self._now_ms = max(self._now_ms, self.clock.now_ms())
                for action in self._controller.handle(self._now_ms, self._todo[0]):
                    self._carry_out(action)
            except Exception:  # a call's outcome is owed all the same: its deadline is watched here
                logger.exception(
                    "{planner}: the module could not take {what}",
                    event="module-fault",
                    planner=self.name,
                    what=self._todo[0],
                )
            finally:
                done = self._todo.popleft()
            if self.memory is not None and isinstance(
                done, api.AttemptSucceeded | api.AttemptEnded | api.ServerReport
            ):
                self.memory.mark_changed(done.server)

    def _carry_out(self, action: api.Action) -> None:
        """Guards the actions after one that fails: without its timer the module looks at nothing again."""
        try:
            self._perform(action)
        except Exception:
            logger.exception(
                "{planner}: {what} could not be carried out",
                event="action-fault",
                planner=self.name,
                what=action,
            )

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send(key, server_id, timeout_ms, begin_by_ms):
                self._send(key, server_id, timeout_ms, begin_by_ms)
            case api.Refuse(key, stay_away_ms):
                if (call := self.calls.by_key.get(key)) is not None:
                    self._final(call, m.Refused(call.request.id, stay_away_ms))
            case api.Fail(key):
                if (call := self.calls.by_key.get(key)) is not None:
                    self._final(call, m.Failed(call.request.id))
            case api.Cancel(key, number):
                call = self.calls.by_key.get(key)
                if call is not None and call.attempt is not None and call.attempt.number == number:
                    self._end_attempt(call, api.Result.CANCELLED)
            case api.Probe(server_id):
                self._probe(server_id)
            case api.SetTimer(delay_ms, name):
                self.at(self.clock.now_ms() + delay_ms, lambda: self._feed(api.TimerFired(name)))
            case api.Log(text, server):
                logger.info(
                    "{planner}: {text}", event="decision", planner=self.name, server=server, text=text
                )

    def _send(self, key: int, server_id: str, timeout_ms: float, begin_by_ms: float) -> None:
        now_ms = self.clock.now_ms()
        call = self.calls.by_key.get(key)
        server = self._known.get(server_id)
        if call is None or call.state is not m.CallState.OPEN or call.attempt is not None:
            raise RuntimeError(f"a set-up of call {key:016x} that may not go out")
        deadline_ms = min(now_ms + timeout_ms, call.request.expires_ms)
        connect_by_ms = min(deadline_ms, now_ms + self._connect_ms)
        started_ms = server.started_ms if server is not None else -math.inf
        attempt = m.Attempt(
            call.attempts, server_id, now_ms, deadline_ms, connect_by_ms, begin_by_ms, started_ms
        )
        call.attempt = attempt
        call.attempts += 1
        attempt.timers.append(self.at(deadline_ms, lambda: self._attempt_due(call, attempt)))
        if server is None:
            self._end_attempt(call, api.Result.NO_CONNECTION)
            return
        if server.draining:  # the module knows it too; whatever it does, nothing more is written there
            self._end_attempt(call, api.Result.NOT_SENT)
            return
        server.calls[key] = call
        if server.epoch is not None:
            self._dispatch(call, attempt, server)
        else:
            attempt.timers.append(self.at(connect_by_ms, lambda: self._connect_due(call, attempt)))
            self._made_room(self.servers.connect(server_id))

    def idle(self, server_id: str) -> bool:
        """Whether no call is out at the server or stands there."""
        return (server := self._known.get(server_id)) is None or not server.calls

    def _made_room(self, server_id: str) -> None:
        """The link of this server rests from here on: what is sent there next waits for it."""
        if (server := self._known.get(server_id)) is not None:
            server.epoch, server.disconnected_ms = None, math.inf

    def _rest_if_shut(self, server: m.ServerState) -> None:
        """Guards servers that drain, and go, from a fleet that tries to come back to them for nothing."""
        if server.draining and not server.calls:
            self.servers.disconnect(server.id)
            self._made_room(server.id)

    def has_news(self) -> bool:
        """Whether the list has told what is not dealt with yet.  Any thread may ask."""
        return bool(self._news)

    def rests_until(self, call: m.Call, server_id: str) -> float:
        """Until when no attempt of the call may begin there.  Any thread may ask.

        After an end that the server told itself, as long: guards the next attempt at the same server from a
        second copy of that end, which would free the call for another while this one is out.
        """
        again_ms = (
            call.last_ended_ms + self._settings.release_ms
            if call.last_ended_server == server_id
            else -math.inf
        )
        return max(call.not_before_ms, again_ms)

    def _rested(self, call: m.Call, attempt: m.Attempt) -> None:
        if call.attempt is not attempt or attempt.epoch is not None:
            return
        server = self._known.get(attempt.server)
        if server is None or server.epoch is None:
            self._end_attempt(call, api.Result.NO_CONNECTION)  # it went meanwhile
        else:
            self._dispatch(call, attempt, server)

    def _not_begun(self, call: m.Call) -> None:
        """The gate has said no."""
        caller = call.caller
        if caller is not None and not caller.is_waiting(call.request.id):
            self._leave(call)
        else:
            self._end_attempt(call, api.Result.NOT_SENT)

    def _dispatch(self, call: m.Call, attempt: m.Attempt, server: m.ServerState) -> None:
        if server.epoch is None:
            return
        if (rests_ms := self.rests_until(call, server.id)) > self.clock.now_ms():
            attempt.timers.append(self.at(rests_ms, lambda: self._rested(call, attempt)))
            return
        if self.list_gate.holds():
            return  # held like a set-up without a connection, which news of a drain takes back
        gate = AttemptGate(self, call, attempt, server)
        if not gate.may_write():
            self._not_begun(call)
            return
        attempt.epoch = server.epoch
        left_ms = attempt.deadline_ms - self.clock.now_ms()
        logger.debug(
            "call {call}: attempt {attempt} to {server}",
            event="attempt-out",
            call=call.request.id,
            attempt=attempt.number,
            server=server.id,
        )
        self.servers.set_up(server.id, server.epoch, call.request, left_ms, gate)

    def _list_came(self, now_ms: float) -> None:
        """Send what waited for the list alone."""
        for server in list(self._known.values()):
            for call in list(server.calls.values()):
                attempt = call.attempt
                if attempt is not None and attempt.epoch is None and call.state is m.CallState.OPEN:
                    if server.epoch is not None:
                        self._dispatch(call, attempt, server)
                    elif now_ms >= attempt.connect_by_ms:
                        self._end_attempt(call, api.Result.NO_CONNECTION)  # its connection went meanwhile
                    else:
                        due = functools.partial(self._connect_due, call, attempt)
                        attempt.timers.append(self.at(attempt.connect_by_ms, due))

    def _attempt_due(self, call: m.Call, attempt: m.Attempt) -> None:
        if call.attempt is attempt:
            self._end_attempt(call, api.Result.TIMEOUT)

    def _connect_due(self, call: m.Call, attempt: m.Attempt) -> None:
        if call.attempt is attempt and attempt.epoch is None:
            self._end_attempt(call, api.Result.NO_CONNECTION)

    def _probe(self, server_id: str) -> None:
        server = self._known.get(server_id)
        if server is None or server.epoch is None:
            self._feed(api.ServerReport(server_id, api.Result.NO_CONNECTION, api.LoadReport(), True))
            return
        token = self._probes.begin(server_id)
        self.at(self.clock.now_ms() + self._connect_ms, lambda: self._probe_due(token))
        self.servers.probe(server_id, server.epoch, token)

    def _probe_due(self, token: str) -> None:
        if (server_id := self._probes.end(token)) is not None:
            self._feed(api.ServerReport(server_id, api.Result.TIMEOUT, api.LoadReport(), True))
