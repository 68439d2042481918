"""Every line has an event that docs/logging.md names, with its fields; JSON lines can be read again."""

from __future__ import annotations

import ast
import io
import json
import re
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from loguru import logger

from capershelf import logs

ROOT = Path(__file__).parent.parent
LEVELS = ("debug", "info", "warning", "error", "exception", "warn")
ROW = re.compile(r"\| `([a-z-]+)` \| ([a-z, ]+) \| (.*) \|")


def lines_in(path: Path) -> Iterator[tuple[int, str, set[str], set[str]]]:
    """Each call that writes a line: where, its event, its fields, and those that its text shows."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        owner = node.func.value
        if not isinstance(owner, ast.Name) or owner.id not in ("logger", "WARNING_LIMITER"):
            continue
        if node.func.attr not in LEVELS:
            continue
        given = {word.arg: word.value for word in node.keywords if word.arg is not None}
        if not given:  # passes on what it was given
            assert any(word.arg is None for word in node.keywords), (path, node.lineno)
            continue
        event, text = given.pop("event", None), node.args[-1]
        assert isinstance(event, ast.Constant), (path, node.lineno)
        assert isinstance(text, ast.Constant), (path, node.lineno)
        shown = set(re.findall(r"{([a-z_]+)", str(text.value)))
        yield node.lineno, str(event.value), set(given), shown


def test_every_line_has_an_event_and_fields_that_the_page_names() -> None:
    page = {
        m[1]: set(re.findall("`([a-z_]+)`", m[3]))
        for m in ROW.finditer((ROOT / "docs" / "logging.md").read_text())
    }
    found: dict[str, set[str]] = {}
    for path in sorted((ROOT / "capershelf").rglob("*.py")):
        for line, event, fields, shown in lines_in(path):
            assert shown <= fields, (path, line)
            found.setdefault(event, set()).update(fields)
    assert found == page
    assert len(found) > 60


def test_json_lines_hold_event_fields_and_faults() -> None:
    out = io.StringIO()
    number = logger.add(
        logs.JsonSink(out), level="DEBUG", backtrace=False, diagnose=False, format="{message}"
    )
    try:
        logger.info("call {call}: {what!r}", event="call-test", call="a1", what=Path("x"))
        try:
            raise ValueError("broken\nline")
        except ValueError:
            logger.exception("a fault", event="fault-test")
    finally:
        logger.remove(number)
    first, second = map(json.loads, out.getvalue().splitlines())
    assert (first["event"], first["call"], first["what"]) == ("call-test", "a1", "x")
    assert first["message"].startswith("call a1: ")
    assert second["fault"] == "ValueError: broken\nline"
    assert "test_logging.py" in second["traceback"]


def test_serve_writes_json_lines_and_refuses_what_it_does_not_know() -> None:
    with pytest.raises(ValueError, match="text or json"):
        logs.configure("INFO", "xml")
    code = (
        "from capershelf import logs; from loguru import logger; logs.configure('INFO', 'json'); "
        "logger.debug('no', event='x'); logger.info('yes', event='y')"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert [json.loads(line)["event"] for line in found.stderr.splitlines()] == ["y"]
