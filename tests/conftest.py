"""The log stays out of the tests' output but for warnings of a failing one; KNOWN-RED.txt is kept to."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from loguru import logger

from tests import known_red

if TYPE_CHECKING:
    from tests.peers import NodeHarness

logger.remove()
logger.add(sys.stderr, level="ERROR", format="{message}", backtrace=False, diagnose=False)

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
# How pytest files the result of a listed test.
RESULTS = {
    "xfailed": "failed",
    "xpassed": "passed",
    "failed": "passed, and its entry does not say that it may",
}


@pytest.fixture(params=[False, True], ids=["lines", "websocket"])
def harness(request: pytest.FixtureRequest) -> Iterator[NodeHarness]:
    """A node with peers that speak JSON lines, and one with peers that speak WebSocket."""
    yield from run_node(request.param)


@pytest.fixture
def websocket() -> Iterator[NodeHarness]:
    """A node with peers that speak WebSocket."""
    yield from run_node(True)


def run_node(websocket: bool) -> Iterator[NodeHarness]:
    from tests.peers import NodeHarness  # here, as test_known_red copies this file without it

    made = NodeHarness(websocket)
    yield made
    made.end()


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        entries = known_red.read(KNOWN_RED)
        if not config.args or config.args == ["tests"]:  # of the whole suite only: else the test is elsewhere
            known_red.check(entries, (item.nodeid for item in items))
    except known_red.KnownRedError as problem:
        raise pytest.UsageError(str(problem)) from problem
    for item in items:
        for entry in entries:
            if item.nodeid == entry.test:
                item.add_marker(pytest.mark.xfail(reason=str(entry), strict=not entry.intermittent))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    try:
        entries = known_red.read(KNOWN_RED)
    except known_red.KnownRedError:
        return  # the run has failed for it
    for entry in entries:
        result = result_of(terminalreporter, entry.test)
        terminalreporter.write_line(f"KNOWN-RED, passed over: {entry.test}: {result}: {entry}")


def result_of(terminalreporter: pytest.TerminalReporter, test: str) -> str:
    """The result of a listed test in this run."""
    for category, result in RESULTS.items():
        if any(report.nodeid == test for report in terminalreporter.stats.get(category, ())):
            return result
    return "not run"
