"""The small run of each role works, with real processes where the role has them."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import pytest

from lab.capacity import latency_role, plan, proxy_role
from lab.capacity.experiment import run
from lab.capacity.latency_role import STAGES

Found = dict[str, Any]


def role(name: str) -> Callable[[], Found]:
    return lambda: run((name,), True, lambda line: None)["roles"][name]


def proxy(extra: Found) -> Callable[[], Found]:
    return lambda: proxy_role.measure(12, 64, 256, proxy_role.QUICK, extra)


RUNS: dict[str, Callable[[], Found]] = {
    "server": role("server"),
    "all links": proxy({}),
    "a subset": proxy({"subset": {"size": 4}}),
    "latency": lambda: latency_role.measure(
        12, latency_role.QUICK_CALLS_S, {"subset": {"size": 4}}, traced=True
    ),
}


@pytest.fixture(scope="module")
def runs() -> dict[str, Future[Found]]:
    """Side by side: each waits more than it works, and none is judged by its times."""
    with ThreadPoolExecutor(len(RUNS)) as pool:
        return {name: pool.submit(what) for name, what in RUNS.items()}


def assert_sizes(found: Found, name: str) -> None:
    assert len({row[plan.SIZE_KEYS[name]] for row in found["rows"]}) >= 5


@pytest.mark.parametrize("name", ["module", "retry"])
def test_a_role_is_measured_at_small_sizes(name: str) -> None:
    assert_sizes(role(name)(), name)


def test_a_booking_server_is_measured_at_small_sizes(runs: dict[str, Future[Found]]) -> None:
    assert_sizes(runs["server"].result(), "server")


@pytest.mark.parametrize(("name", "links"), [("all links", 12), ("a subset", 4)])
def test_a_proxy_is_measured_with_and_without_a_subset(
    runs: dict[str, Future[Found]], name: str, links: int
) -> None:
    row = runs[name].result()
    assert row["links"] == links
    assert row["single"]["answered"] > 0 and row["single"]["refused"] == 0
    assert row["rest"]["states_per_s"] > 0.0 and row["rest"]["descriptors"] >= links


def test_a_traced_proxy_serves_and_every_stage_is_measured(runs: dict[str, Future[Found]]) -> None:
    row = runs["latency"].result()
    assert row["single"]["answered"] > 0 and row["single"]["refused"] == 0
    assert [stage["stage"] for stage in row["stages"]] == [one.name for one in STAGES]
    assert all(stage["took_ms"]["p50"] > 0.0 for stage in row["stages"])
    assert row["switches_a_call"] > 1.0 and row["processor_ms_a_call"] > 0.0
