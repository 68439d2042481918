"""Test helpers: settings, listed servers, and a controller with a manual clock."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from capershelf import interface as api
from capershelf.control import Controller

BASE = api.Settings(
    gateway_no=0,
    gateway_count=4,
    classes=(
        api.CallClass("usual", aim_ms=1500, deadline_ms=9000, worth=1, late_worth=0.25),
        api.CallClass("dear", aim_ms=1200, deadline_ms=9000, worth=3, late_worth=0.1),
    ),
    cold_from=0.35,
    ramp_ms=12000,
    fall_multiple=2,
    fall_ms=3000,
    release_ms=300,
    drain_grace_ms=1000,
    answer_slack_ms=20,
    tick_ms=5,
    max_attempts=6,
    resend_ms=800,
    may_cancel=True,
)

A = TypeVar("A")


def settings(**changes: Any) -> api.Settings:
    return replace(BASE, **changes)


def listed(
    server: str,
    pool: int,
    status: api.ServerStatus = api.ServerStatus.ACTIVE,
    started_ms: float | None = None,
) -> api.ListedServer:
    return api.ListedServer(server, pool, status, started_ms)


class Rig:
    """A controller with a manual clock, and the actions it has returned so far."""

    def __init__(self, servers: int = 2, **changes: Any) -> None:
        self.controller = Controller(settings(**changes), 1)
        self.now_ms = 1000.0
        self.version = 0
        self.last: list[api.Action] = []
        self.all: list[api.Action] = []
        self.attempts: dict[int, int] = {}
        if servers:
            self.list_of(*(listed(f"s{pool}", pool) for pool in range(servers)))

    def feed(self, event: api.Event, at_ms: float | None = None) -> list[api.Action]:
        if at_ms is not None:
            self.now_ms = at_ms
        self.last = self.controller.handle(self.now_ms, event)
        self.all += self.last
        for action in self.of(api.Send):
            self.attempts[action.call] = self.attempts.get(action.call, -1) + 1
        return self.last

    def of(self, kind: type[A]) -> list[A]:
        return [action for action in self.last if isinstance(action, kind)]

    def list_of(self, *servers: api.ListedServer, complete: bool = True) -> list[api.Action]:
        self.version += 1
        return self.feed(api.ServerList(self.version, complete, tuple(servers)))

    def call(
        self,
        call_id: int,
        call_class: str = "usual",
        preferred_pool: int = 0,
        expires_in_ms: float = 3000,
        **more: Any,
    ) -> list[api.Action]:
        more.setdefault("number", f"n{call_id}")
        return self.feed(
            api.NewCall(call_id, self.now_ms + expires_in_ms, call_class, preferred_pool, **more)
        )

    def succeed(self, number: int, server: str = "s0", wait_ms: float = 50) -> list[api.Action]:
        return self.feed(api.AttemptSucceeded(number, self.attempts.get(number, 0), server, wait_ms))

    def end_attempt(self, number: int, server: str, result: api.Result, **more: Any) -> list[api.Action]:
        more.setdefault("call_finished", False)
        return self.feed(api.AttemptEnded(number, self.attempts.get(number, 0), server, result, **more))

    def tick(self, after_ms: float = 25) -> list[api.Action]:
        """Advance the clock, firing timers as a host that is not stalled does: none more than 25 ms late."""
        actions: list[api.Action] = []
        end_ms = self.now_ms + after_ms
        while True:
            actions += self.feed(api.TimerFired("tick"), min(end_ms, self.now_ms + 25))
            if self.now_ms >= end_ms:
                self.last = actions
                return actions
