"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root, three lines at most.

A line is `tests/file.py::test, cause, issue`.  They are run, printed and passed over; everything else counts.
A line that fits no test, a fourth line, and a test that passes by now all fail the run: the page must stay
true.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

MOST = 3


class KnownRedError(ValueError):
    """KNOWN-RED.txt is not as it has to be; says which line, and what to do about it."""


@dataclass(frozen=True, slots=True)
class Known:
    """One line."""

    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Known]:
    """The lines of the page; none where there is no page."""
    lines = [line.strip() for line in path.read_text().splitlines()] if path.exists() else []
    lines = [line for line in lines if line]
    if len(lines) > MOST:
        raise KnownRedError(f"{path.name} has {len(lines)} lines, {MOST} are allowed: mend one first")
    found = []
    for number, line in enumerate(lines, 1):
        test, _, rest = (part.strip() for part in line.partition(","))
        cause, _, issue = (part.strip() for part in rest.rpartition(","))
        if "::" not in test or not cause or not issue:
            raise KnownRedError(f"{path.name}, line {number}: not 'tests/file.py::test, cause, issue'")
        found.append(Known(test, cause, issue))
    return found


def check(known: Iterable[Known], tests: Iterable[str]) -> None:
    """Every line names a test that is there."""
    there = set(tests)
    for one in known:
        if one.test not in there:
            raise KnownRedError(f"KNOWN-RED.txt: there is no test {one.test}: take the line out or mend it")
