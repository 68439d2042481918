"""The watch over servers with established calls, on a clock that the test advances."""

from __future__ import annotations

from capershelf.core.clock import ManualClock
from capershelf.core.silence_watch import TEST_AFTER_MS, TEST_TIMEOUT_MS, SilenceWatch
from capershelf.core.timers import Timers


class WatchRig:
    """A watch over one server whose messages and calls the test decides."""

    def __init__(self) -> None:
        self.clock, self.timers = ManualClock(), Timers()
        self.established = True
        self.received_ms = self.clock.now_ms()
        self.tests, self.interruptions = 0, 0
        self.watch = SilenceWatch(self.clock, self.timers.schedule, self)
        self.watch.watch("s0")

    def has_established(self, server: str) -> bool:
        return self.established

    def last_sign_of_life_ms(self, server: str) -> float:
        return self.received_ms

    def request_sign_of_life(self, server: str) -> None:
        self.tests += 1

    def interrupt_silent(self, server: str) -> None:
        self.interruptions += 1

    def advance(self, by_ms: float) -> None:
        self.clock.advance(by_ms)
        for timer in self.timers.pop_due(self.clock.now_ms()):
            timer.fire()


def test_a_silent_server_is_tested_once_and_then_given_up() -> None:
    rig = WatchRig()
    rig.advance(TEST_AFTER_MS - 1.0)
    assert (rig.tests, rig.interruptions) == (0, 0)
    rig.advance(1.0)
    rig.advance(TEST_TIMEOUT_MS - 1.0)
    assert (rig.tests, rig.interruptions) == (1, 0)
    rig.advance(1.0)
    assert (rig.tests, rig.interruptions) == (1, 1)
    assert not len(rig.timers)


def test_a_message_after_the_test_keeps_the_calls_and_a_later_silence_is_tested_again() -> None:
    rig = WatchRig()
    rig.advance(TEST_AFTER_MS)
    rig.received_ms = rig.clock.now_ms() + 1.0
    rig.advance(TEST_TIMEOUT_MS)
    rig.advance(TEST_AFTER_MS)
    assert (rig.tests, rig.interruptions) == (2, 0)


def test_messages_that_lay_unread_while_this_process_was_paused_keep_the_calls() -> None:
    rig = WatchRig()
    rig.advance(10 * TEST_AFTER_MS)
    rig.received_ms = rig.clock.now_ms()
    rig.advance(10 * TEST_TIMEOUT_MS)
    assert rig.interruptions == 0


def test_a_server_without_established_calls_is_not_watched() -> None:
    rig = WatchRig()
    rig.established = False
    rig.advance(10 * TEST_AFTER_MS)
    assert not len(rig.timers) and not rig.tests
    rig.established = True
    rig.watch.watch("s0")
    rig.watch.watch("s0")
    assert len(rig.timers) == 1


def test_a_sign_of_life_that_counts_for_less_by_now_is_checked_at_once() -> None:
    rig = WatchRig()
    rig.received_ms += TEST_AFTER_MS
    rig.advance(TEST_AFTER_MS)
    rig.received_ms -= TEST_AFTER_MS  # what was received last turns out to be no response
    rig.watch.check("s0")
    assert rig.tests == 1
    rig.advance(TEST_TIMEOUT_MS)
    assert rig.interruptions == 1
    assert rig.timers.next_ms == float("inf") or not rig.watch._watches
    rig.watch.check("s0")  # not watched any more
    assert (rig.tests, rig.interruptions) == (1, 1)
