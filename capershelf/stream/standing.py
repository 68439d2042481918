"""The validation rules that every configuration must satisfy, whatever its source.  No I/O.

The same check serves a file, SIGHUP, `check-config` and the stream.  It reports each violation with a code
for programs, the path of the field and a text for operators.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

MIN_RELEASE_GAP_MS = 200.0
MAX_ATTEMPTS = 6
MAX_DRAIN_GRACE_MS = 2000.0
SHARES_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule that a configuration violates."""

    code: str
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text} [{self.code}]"


class FieldType:
    """The type of a field's value; numbers must be finite and within bounds."""

    def __init__(self, type_name: str, minimum: float = -math.inf, maximum: float = math.inf) -> None:
        self.type_name, self.minimum, self.maximum = type_name, minimum, maximum

    def violation(self, value: Any) -> tuple[str, str] | None:
        """The code and text of what is wrong with the value, or None."""
        if self.type_name == "number":
            if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < math.inf:
                return "not-a-number", f"a number is wanted, not {value!r}"
            if not self.minimum <= value <= self.maximum:
                return "out-of-range", f"{value:g} is outside {self.minimum:g} to {self.maximum:g}"
        elif self.type_name == "flag" and not isinstance(value, bool):
            return "not-a-flag", f"true or false is wanted, not {value!r}"
        elif self.type_name == "text" and not isinstance(value, str):
            return "not-a-text", f"a text is wanted, not {value!r}"
        elif self.type_name == "list" and not isinstance(value, list):
            return "not-a-list", f"a list is wanted, not {value!r}"
        return None


NUMBER = FieldType("number")
FLAG = FieldType("flag")
TEXT = FieldType("text")
LIST = FieldType("list")
ANY = FieldType("any")
NON_NEGATIVE = FieldType("number", 0.0)
AT_LEAST_ONE = FieldType("number", 1.0)
FRACTION = FieldType("number", 0.0, 1.0)
POSITIVE = FieldType("number", 1e-9)
Schema = Mapping[str, "FieldType | Schema | list[Schema]"]

SCHEMA: Schema = {
    "name": TEXT,
    "listen": TEXT,
    "seed": ANY,
    "board": TEXT,
    "known": ANY,
    "planners": FieldType("number", 1, 4),
    "limits": {"sockets": AT_LEAST_ONE, "memory_mb": POSITIVE, "cores": POSITIVE},
    "websocket": {"listen": TEXT},
    "eureka": {"url": TEXT, "app": TEXT, "own-app": TEXT, "fetch": POSITIVE, "renew": POSITIVE},
    "memory": ANY,
    "stream": ANY,
    "subset": ANY,  # these three are checked where they are read
    "settings": {
        "slot-no": NON_NEGATIVE,
        "group-size": AT_LEAST_ONE,
        "period": NON_NEGATIVE,
        "tier": ANY,
        "tiers": LIST,
        "zone": TEXT,
        "zones": LIST,
        "kinds": LIST,
        "family": TEXT,
        "weights": TEXT,
        "counted-by": TEXT,
        "registry-mode": TEXT,
        "over-share-worth": FRACTION,
        "clients": ANY,
        "costs": ANY,
        "scoring-mix": ANY,
        "bounds": {
            "cancel": FLAG,
            "connect-timeout": POSITIVE,
            "cpu-us-per-request": NON_NEGATIVE,
            "cpu-us-per-s": NON_NEGATIVE,
            "idle-close": NON_NEGATIVE,
            "max-attempts": AT_LEAST_ONE,
            "max-open": AT_LEAST_ONE,
            "max-retry-after": NON_NEGATIVE,
            "may-duplicate": FLAG,
            "may-probe": FLAG,
            "multiplex": AT_LEAST_ONE,
            "peers": FLAG,
            "retry-after": FLAG,
        },
        "contract": {
            "answer-slack": NON_NEGATIVE,
            "ask-within": NON_NEGATIVE,
            "cold-from": FieldType("number", 1e-9, 1.0),
            "drain-grace": NON_NEGATIVE,
            "fall": POSITIVE,
            "ramp-time": POSITIVE,
            "tip-multiple": POSITIVE,
        },
        "family-info": {
            "call-length": LIST,
            "channels-needed": LIST,
            "far-reports": TEXT,
            "here": NUMBER,
            "pools-by-class": LIST,
            "release": NON_NEGATIVE,
            "route-advice": FLAG,
            "says-wait": FLAG,
            "t1": NON_NEGATIVE,
            "topology": TEXT,
        },
        "telemetry": {"fields": LIST, "via": TEXT},
        "categories": [
            {
                "name": TEXT,
                "aim": POSITIVE,
                "aim-stretch": NON_NEGATIVE,
                "deadline": POSITIVE,
                "credit": NON_NEGATIVE,
                "late-worth": FRACTION,
                "dedup-scope": TEXT,
                "effect": TEXT,
                "stream": FLAG,
                "window": NON_NEGATIVE,
            }
        ],
        "tenants": [{"name": TEXT, "quota-per-s": NON_NEGATIVE, "share": FRACTION}],
    },
}


def check(
    table: Any, contract: Mapping[str, Any] | None = None, open_classes: Mapping[str, float] | None = None
) -> list[RuleViolation]:
    """All violations of a configuration, in the order of its fields; empty if it is valid.

    contract: the platform's or operator's own values; a version may only be more conservative.
    open_classes: classes with open calls, and the deadline in milliseconds that applies to these calls.
    """
    if not isinstance(table, dict):
        return [RuleViolation("not-a-table", "", f"an object is wanted, not {type(table).__name__}")]
    found = list(_check_types(table, SCHEMA, ""))
    if not found:  # the rules need fields of the right types
        found += _check_rules(table.get("settings") or {}, contract or {}, open_classes or {})
    return found


def _check_types(table: Mapping[str, Any], schema: Schema, path: str) -> Iterator[RuleViolation]:
    for key, value in table.items():
        field_path = f"{path}{key}"
        wanted = schema.get(key)
        if wanted is None:
            yield RuleViolation("unknown-field", field_path, "no such setting")
        elif isinstance(wanted, FieldType):
            if (problem := wanted.violation(value)) is not None:
                yield RuleViolation(problem[0], field_path, problem[1])
        elif isinstance(wanted, list):
            if not isinstance(value, list):
                yield RuleViolation("not-a-list", field_path, f"a list is wanted, not {value!r}")
                continue
            for index, entry in enumerate(value):
                if isinstance(entry, dict):
                    yield from _check_types(entry, wanted[0], f"{field_path}[{index}].")
                else:
                    yield RuleViolation(
                        "not-a-table", f"{field_path}[{index}]", f"an object is wanted, not {entry!r}"
                    )
        elif isinstance(value, dict):
            yield from _check_types(value, wanted, f"{field_path}.")
        else:
            yield RuleViolation("not-a-table", field_path, f"an object is wanted, not {value!r}")


def _check_rules(
    settings: Mapping[str, Any], contract: Mapping[str, Any], open_classes: Mapping[str, float]
) -> Iterator[RuleViolation]:
    bounds, family = settings.get("bounds") or {}, settings.get("family-info") or {}
    if (attempts := bounds.get("max-attempts", 1)) > MAX_ATTEMPTS:
        yield RuleViolation(
            "attempts", "settings.bounds.max-attempts", f"{attempts:g}, at most {MAX_ATTEMPTS}"
        )
    if bounds.get("may-duplicate", False):
        yield RuleViolation(
            "second-copies", "settings.bounds.may-duplicate", "a call never has two attempts out"
        )
    if (release := family.get("release", MIN_RELEASE_GAP_MS)) < MIN_RELEASE_GAP_MS:
        text = f"{release:g} ms from an attempt to the next, at least {MIN_RELEASE_GAP_MS:g}"
        yield RuleViolation("release-gap", "settings.family-info.release", text)
    yield from _check_contract(settings.get("contract") or {}, contract)
    yield from _check_classes(settings.get("categories"), open_classes)
    yield from _check_tenants(settings.get("tenants") or [])


def _check_contract(proposed: Mapping[str, Any], agreed: Mapping[str, Any]) -> Iterator[RuleViolation]:
    """A version may only be more conservative than the agreed contract."""
    path = "settings.contract."
    if (grace := proposed.get("drain-grace", 0.0)) > MAX_DRAIN_GRACE_MS:
        yield RuleViolation(
            "drain-grace", path + "drain-grace", f"{grace:g} ms, at most {MAX_DRAIN_GRACE_MS:g}"
        )
    for key, code, sign in (
        ("tip-multiple", "fall-multiple", 1),
        ("fall", "fall-time", 1),
        ("ramp-time", "ramp", -1),
        ("cold-from", "cold-share", 1),
    ):
        if key in proposed and key in agreed and sign * proposed[key] > sign * agreed[key]:
            bound = "at most" if sign > 0 else "at least"
            yield RuleViolation(
                code, path + key, f"{proposed[key]:g}, by the contract {bound} {agreed[key]:g}"
            )


def _check_classes(categories: Any, open_classes: Mapping[str, float]) -> Iterator[RuleViolation]:
    if categories is None:
        return
    names: set[str] = set()
    for index, entry in enumerate(categories):
        name = entry.get("name", "")
        field_path = f"settings.categories[{index}]"
        if not name or name in names:
            yield RuleViolation("class-name", field_path + ".name", f"{name!r} is empty or there twice")
        names.add(name)
        if "aim" in entry and "deadline" in entry and entry["aim"] > entry["deadline"]:
            yield RuleViolation("aim", field_path + ".aim", "it lies beyond the deadline")
        if name in open_classes and entry.get("deadline", math.inf) < open_classes[name]:
            text = f"{entry['deadline']:g} ms, and calls taken for {open_classes[name]:g} ms are open"
            yield RuleViolation("deadline-open", field_path + ".deadline", text)
    for name in sorted(set(open_classes) - names):
        yield RuleViolation(
            "class-open", "settings.categories", f"{name!r} is gone, and calls of it are open"
        )
    if not names:
        yield RuleViolation("no-class", "settings.categories", "at least one class is needed")


def _check_tenants(tenants: Collection[Mapping[str, Any]]) -> Iterator[RuleViolation]:
    names: set[str] = set()
    for index, entry in enumerate(tenants):
        field_path = f"settings.tenants[{index}]"
        if not entry.get("name") or entry["name"] in names:
            yield RuleViolation(
                "tenant-name", field_path + ".name", f"{entry.get('name')!r} is empty or there twice"
            )
        names.add(entry.get("name", ""))
    shares = [entry["share"] for entry in tenants if "share" in entry]
    if shares and (len(shares) < len(tenants) or abs(sum(shares) - 1.0) > SHARES_TOLERANCE):
        text = f"the shares of {len(shares)} of {len(tenants)} tenants add up to {sum(shares):g}, not to 1"
        yield RuleViolation("quotas", "settings.tenants", text)
