"""Logging, as text or as one JSON object per line (docs/logging.md).

Every line has an event, a name for its kind that is stable across releases, and fields of its own.
"""

from __future__ import annotations

import json
import sys
from datetime import UTC
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {message}"
FORMATS = ("text", "json")


def configure(level: str, output_format: str = "text") -> None:
    """Log lines of this level and above to standard error; ValueError for an unknown level or format."""
    logger.remove()
    if output_format == "json":
        logger.add(JsonSink(sys.stderr), level=level, backtrace=False, diagnose=False, format="{message}")
    elif output_format == "text":
        logger.add(sys.stderr, level=level, backtrace=False, diagnose=False, format=TEXT_FORMAT)
    else:
        raise ValueError(f"log format {output_format!r}: {' or '.join(FORMATS)}")


class JsonSink:
    """Writes JSON lines; a field that has no JSON type is written as a string."""

    def __init__(self, output: TextIO) -> None:
        self._output = output

    def __call__(self, message: Message) -> None:
        record = message.record
        line: dict[str, Any] = {
            "time": record["time"].astimezone(UTC).isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "event": "unnamed",
        }
        line |= {key: value for key, value in record["extra"].items() if key not in ("time", "level")}
        line["message"] = record["message"]
        if (exception := record["exception"]) is not None:
            line["fault"] = f"{exception.type.__name__ if exception.type else 'unknown'}: {exception.value}"
            line["traceback"] = str(message)[len(record["message"]) :].strip()
        self._output.write(json.dumps(line, default=str, ensure_ascii=False) + "\n")
        self._output.flush()
