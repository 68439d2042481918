"""The log: for people as text, for programs as one JSON object a line (docs/logging.md).

Every line has an event, which names its kind and stays the same over releases, and fields of its own.
"""

from __future__ import annotations

import json
import sys
from datetime import UTC
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

TEXT = "{time:HH:mm:ss.SSS} {level: <7} {message}"
FORMATS = ("text", "json")


def set_up(level: str, form: str = "text") -> None:
    """Lines of this level and above to standard error; ValueError for a level or form that is not known."""
    logger.remove()
    if form == "json":
        logger.add(Lines(sys.stderr), level=level, backtrace=False, diagnose=False, format="{message}")
    elif form == "text":
        logger.add(sys.stderr, level=level, backtrace=False, diagnose=False, format=TEXT)
    else:
        raise ValueError(f"log format {form!r}: {' or '.join(FORMATS)}")


class Lines:
    """A sink of JSON lines; a field that is no plain value is written as its text."""

    def __init__(self, out: TextIO) -> None:
        self._out = out

    def __call__(self, message: Message) -> None:
        record = message.record
        line: dict[str, Any] = {
            "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": "unnamed",
        }
        line |= {key: value for key, value in record["extra"].items() if key not in ("time", "level")}
        line["message"] = record["message"]
        if (fault := record["exception"]) is not None:
            line["fault"] = f"{fault.type.__name__ if fault.type else 'unknown'}: {fault.value}"
            line["traceback"] = str(message)[len(record["message"]) :].strip()
        self._out.write(json.dumps(line, default=str, ensure_ascii=False) + "\n")
        self._out.flush()
