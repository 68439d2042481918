"""When each field of a new version holds.  Pure.

now         in every planner at the same moment, for open calls too
new calls   for calls taken from then on; open ones keep what they were taken under
next start  taken and noted in the acknowledgement, or refused where the operator wants it so
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class When(Enum):
    """From when on a field holds."""

    NOW = "now"
    NEW_CALLS = "new calls"
    NEXT_START = "next start"


# The first that matches; anything else holds from the next start on.
FIELDS: tuple[tuple[str, When], ...] = (
    (r"settings\.categories(\[\d+\])?(\..*)?", When.NEW_CALLS),
    (r"settings\.family-info\.(pools-by-class|channels-needed)(\[.*)?", When.NEW_CALLS),
    (r"settings\.family-info\.(release|t1|says-wait)", When.NOW),
    (
        r"settings\.bounds\.(cancel|connect-timeout|max-attempts|max-retry-after|may-probe|retry-after"
        r"|may-duplicate)",
        When.NOW,
    ),
    (r"settings\.contract\.[a-z-]+", When.NOW),
    (r"settings\.tenants(\[\d+\])?(\..*)?", When.NOW),
    (r"settings\.over-share-worth", When.NOW),
    (r"known(\..*|\[.*)?", When.NOW),
    (r"board", When.NOW),
    (r"eureka\.url", When.NOW),
)
_COMPILED = tuple((re.compile(pattern), when) for pattern, when in FIELDS)


@dataclass(frozen=True, slots=True)
class Change:
    """A field that differs between two versions."""

    path: str
    when: When


def when_of(path: str) -> When:
    """From when on a new value at this path holds."""
    return next((when for pattern, when in _COMPILED if pattern.fullmatch(path)), When.NEXT_START)


def changes(old: Any, new: Any) -> list[Change]:
    """Every field that differs, in the order of their paths."""
    return [Change(path, when_of(path)) for path in sorted(set(_differing(old, new, "")))]


def _differing(old: Any, new: Any, path: str) -> Iterator[str]:
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key in old.keys() | new.keys():
            where = f"{path}.{key}" if path else str(key)
            if key in old and key in new:
                yield from _differing(old[key], new[key], where)
            else:
                yield where
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        for index, (one, other) in enumerate(zip(old, new, strict=True)):
            yield from _differing(one, other, f"{path}[{index}]")
    elif old != new:
        yield path


def keep_until_start(old: Mapping[str, Any], new: Mapping[str, Any], path: str = "") -> dict[str, Any]:
    """The new table with every field that only a start may change as it is now."""
    kept: dict[str, Any] = {}
    for key in [*old, *(key for key in new if key not in old)]:
        where = f"{path}.{key}" if path else str(key)
        one, other = old.get(key), new.get(key)
        if isinstance(one, Mapping) and isinstance(other, Mapping):
            kept[key] = keep_until_start(one, other, where)
        elif when_of(where) is When.NEXT_START:
            if key in old:
                kept[key] = one
        elif key in new:
            kept[key] = other
    return kept
