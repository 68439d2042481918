"""When a changed field of a new version takes effect.  No I/O.

now         in every planner at the same moment, for open calls too
new calls   for calls accepted from then on; open calls keep the earlier value
next start  accepted and listed in the acknowledgement, or refused if the operator asks for that
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class EffectTime(Enum):
    """When a changed field takes effect."""

    NOW = "now"
    NEW_CALLS = "new calls"
    NEXT_START = "next start"


# The first match applies; any other field takes effect at the next start.
FIELDS: tuple[tuple[str, EffectTime], ...] = (
    (r"settings\.categories(\[\d+\])?(\..*)?", EffectTime.NEW_CALLS),
    (r"settings\.family-info\.(pools-by-class|channels-needed)(\[.*)?", EffectTime.NEW_CALLS),
    (r"settings\.family-info\.(release|t1|says-wait)", EffectTime.NOW),
    (
        r"settings\.bounds\.(cancel|connect-timeout|max-attempts|max-retry-after|may-probe|retry-after"
        r"|may-duplicate)",
        EffectTime.NOW,
    ),
    (r"settings\.contract\.[a-z-]+", EffectTime.NOW),
    (r"settings\.tenants(\[\d+\])?(\..*)?", EffectTime.NOW),
    (r"settings\.over-share-worth", EffectTime.NOW),
    (r"known(\..*|\[.*)?", EffectTime.NOW),
    (r"board", EffectTime.NOW),
    (r"eureka\.url", EffectTime.NOW),
)
_COMPILED = tuple((re.compile(pattern), when) for pattern, when in FIELDS)


@dataclass(frozen=True, slots=True)
class Change:
    """A field that differs between two versions."""

    path: str
    when: EffectTime


def effect_time_of(path: str) -> EffectTime:
    """When a new value at this path takes effect."""
    return next((when for pattern, when in _COMPILED if pattern.fullmatch(path)), EffectTime.NEXT_START)


def changes(old: Any, new: Any) -> list[Change]:
    """All fields that differ, sorted by path."""
    return [Change(path, effect_time_of(path)) for path in sorted(set(_changed_paths(old, new, "")))]


def _changed_paths(old: Any, new: Any, path: str) -> Iterator[str]:
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        for key in old.keys() | new.keys():
            field_path = f"{path}.{key}" if path else str(key)
            if key in old and key in new:
                yield from _changed_paths(old[key], new[key], field_path)
            else:
                yield field_path
    elif isinstance(old, list) and isinstance(new, list) and len(old) == len(new):
        for index, (old_value, new_value) in enumerate(zip(old, new, strict=True)):
            yield from _changed_paths(old_value, new_value, f"{path}[{index}]")
    elif old != new:
        yield path


def keep_until_start(old: Mapping[str, Any], new: Mapping[str, Any], path: str = "") -> dict[str, Any]:
    """The new table, but with the old value of each field that only a start can change."""
    kept: dict[str, Any] = {}
    for key in [*old, *(key for key in new if key not in old)]:
        field_path = f"{path}.{key}" if path else str(key)
        old_value, new_value = old.get(key), new.get(key)
        if isinstance(old_value, Mapping) and isinstance(new_value, Mapping):
            kept[key] = keep_until_start(old_value, new_value, field_path)
        elif effect_time_of(field_path) is EffectTime.NEXT_START:
            if key in old:
                kept[key] = old_value
        elif key in new:
            kept[key] = new_value
    return kept
