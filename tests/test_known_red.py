"""KNOWN-RED.txt passes over just what it lists, and a run by it fails where the page is not true."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

HERE = Path(__file__).parent
SUITE = "def test_sound() -> None: ...\n\ndef test_red() -> None:\n    assert False\n"


def run(root: Path, page: str, suite: str = SUITE) -> subprocess.CompletedProcess[str]:
    """The project's own conftest over a suite of two tests."""
    tests = root / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py", "__init__.py"):
        shutil.copy(HERE / name, tests / name)
    (tests / "test_it.py").write_text(suite)
    (root / "KNOWN-RED.txt").write_text(page)
    (root / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    words = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(words, cwd=root, capture_output=True, text=True, timeout=100, check=False)


@pytest.mark.parametrize(
    ("page", "suite", "status", "says"),
    [
        (
            "tests/test_it.py::test_red, the server forgets, issue 27\n",
            SUITE,
            0,
            "KNOWN-RED, passed over: tests/test_it.py::test_red: the server forgets (issue 27)",
        ),
        ("", SUITE, 1, "test_red"),
        ("tests/test_it.py::test_sound, was mended, issue 27\n", SUITE.split("\n\n")[0], 1, "XPASS(strict)"),
        (
            "tests/test_it.py::test_gone, x, issue 27\n",
            SUITE,
            4,
            "there is no test tests/test_it.py::test_gone",
        ),
        (
            "tests/test_it.py::test_red, no issue\n",
            SUITE,
            4,
            "line 1: not 'tests/file.py::test, cause, issue'",
        ),
        ("tests/test_it.py::test_red, x, issue 27\n" * 4, SUITE, 4, "has 4 lines, 3 are allowed"),
    ],
    ids=["listed", "not listed", "passes again", "fits no test", "half a line", "a fourth line"],
)
def test_a_run_passes_over_just_what_the_page_lists(
    tmp_path: Path, page: str, suite: str, status: int, says: str
) -> None:
    found = run(tmp_path, page, suite)
    assert found.returncode == status, found.stdout + found.stderr
    assert says in found.stdout + found.stderr


def test_the_cause_may_hold_commas(tmp_path: Path) -> None:
    page = tmp_path / "KNOWN-RED.txt"
    page.write_text("tests/a.py::t, a, b and c, issue 9\n\n")
    assert known_red.read(page) == [known_red.Known("tests/a.py::t", "a, b and c", "issue 9")]
    assert known_red.read(tmp_path / "none.txt") == []
