"""The log stays out of the tests' output but for warnings of a failing one."""

from __future__ import annotations

import sys

from loguru import logger

logger.remove()
logger.add(sys.stderr, level="ERROR", format="{message}", backtrace=False, diagnose=False)
