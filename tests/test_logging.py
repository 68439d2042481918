"""Every log line has an event and fields that docs/logging.md lists; JSON lines can be parsed."""

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


def log_calls(path: Path) -> Iterator[tuple[int, str, set[str], set[str]]]:
    """Yield line number, event, fields and placeholders in the text of each log call in a file."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        owner = node.func.value
        if not isinstance(owner, ast.Name) or owner.id not in ("logger", "WARNING_LIMITER"):
            continue
        if node.func.attr not in LEVELS:
            continue
        fields = {keyword.arg: keyword.value for keyword in node.keywords if keyword.arg is not None}
        if not fields:  # forwards the fields of its caller
            assert any(keyword.arg is None for keyword in node.keywords), (path, node.lineno)
            continue
        event, text = fields.pop("event", None), node.args[-1]
        assert isinstance(event, ast.Constant), (path, node.lineno)
        assert isinstance(text, ast.Constant), (path, node.lineno)
        placeholders = set(re.findall(r"{([a-z_]+)", str(text.value)))
        yield node.lineno, str(event.value), set(fields), placeholders


def test_every_log_call_has_an_event_and_fields_that_the_page_lists() -> None:
    page = {
        match[1]: set(re.findall("`([a-z_]+)`", match[3]))
        for match in ROW.finditer((ROOT / "docs" / "logging.md").read_text())
    }
    events: dict[str, set[str]] = {}
    for path in sorted((ROOT / "capershelf").rglob("*.py")):
        for line, event, fields, placeholders in log_calls(path):
            assert placeholders <= fields, (path, line)
            events.setdefault(event, set()).update(fields)
    assert events == page
    assert len(events) > 60


def test_json_lines_contain_event_fields_and_exceptions() -> None:
    output = io.StringIO()
    sink_id = logger.add(
        logs.JsonSink(output), level="DEBUG", backtrace=False, diagnose=False, format="{message}"
    )
    try:
        logger.info("call {call}: {what!r}", event="call-test", call="a1", what=Path("x"))
        try:
            raise ValueError("broken\nline")
        except ValueError:
            logger.exception("a fault", event="fault-test")
    finally:
        logger.remove(sink_id)
    first, second = map(json.loads, output.getvalue().splitlines())
    assert (first["event"], first["call"], first["what"]) == ("call-test", "a1", "x")
    assert first["message"].startswith("call a1: ")
    assert second["fault"] == "ValueError: broken\nline"
    assert "test_logging.py" in second["traceback"]


def test_configure_writes_json_lines_and_rejects_an_unknown_format() -> None:
    with pytest.raises(ValueError, match="text or json"):
        logs.configure("INFO", "xml")
    code = (
        "from capershelf import logs; from loguru import logger; logs.configure('INFO', 'json'); "
        "logger.debug('no', event='x'); logger.info('yes', event='y')"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert [json.loads(line)["event"] for line in process.stderr.splitlines()] == ["y"]
