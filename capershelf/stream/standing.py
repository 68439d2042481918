"""The standing rules that no configuration may break, whichever way it comes.  Pure.

One checker serves a file, SIGHUP, `check-config` and the stream.  It names each offence with a code for
programs, the path of the field and a text for people.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

LEAST_RELEASE_MS = 200.0
MOST_ATTEMPTS = 6
MOST_GRACE_MS = 2000.0
SHARES_SLACK = 1e-6


@dataclass(frozen=True, slots=True)
class Offence:
    """Why a configuration can't be taken."""

    code: str
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text} [{self.code}]"


class Kind:
    """What a field may hold; number fields are finite and within bounds."""

    def __init__(self, what: str, least: float = -math.inf, most: float = math.inf) -> None:
        self.what, self.least, self.most = what, least, most

    def fault(self, value: Any) -> tuple[str, str] | None:
        if self.what == "number":
            if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
                return "not-a-number", f"a number is wanted, not {value!r}"
            if not self.least <= value <= self.most:
                return "out-of-range", f"{value:g} is outside {self.least:g} to {self.most:g}"
        elif self.what == "flag" and not isinstance(value, bool):
            return "not-a-flag", f"true or false is wanted, not {value!r}"
        elif self.what == "text" and not isinstance(value, str):
            return "not-a-text", f"a text is wanted, not {value!r}"
        elif self.what == "list" and not isinstance(value, list):
            return "not-a-list", f"a list is wanted, not {value!r}"
        return None


NUMBER, FLAG, TEXT, LIST, ANY = Kind("number"), Kind("flag"), Kind("text"), Kind("list"), Kind("any")
MS, COUNT, PART = Kind("number", 0.0), Kind("number", 1.0), Kind("number", 0.0, 1.0)
ABOVE = Kind("number", 1e-9)
Schema = Mapping[str, "Kind | Schema | list[Schema]"]

SCHEMA: Schema = {
    "name": TEXT,
    "listen": TEXT,
    "seed": ANY,
    "board": TEXT,
    "known": ANY,
    "planners": Kind("number", 1, 4),
    "limits": {"sockets": COUNT, "memory_mb": ABOVE, "cores": ABOVE},
    "websocket": {"listen": TEXT},
    "eureka": {"url": TEXT, "app": TEXT, "own-app": TEXT, "fetch": ABOVE, "renew": ABOVE},
    "memory": ANY,
    "stream": ANY,
    "subset": ANY,  # checked where they are read
    "settings": {
        "slot-no": MS,
        "group-size": COUNT,
        "period": MS,
        "tier": ANY,
        "tiers": LIST,
        "zone": TEXT,
        "zones": LIST,
        "kinds": LIST,
        "family": TEXT,
        "weights": TEXT,
        "counted-by": TEXT,
        "registry-mode": TEXT,
        "over-share-worth": PART,
        "clients": ANY,
        "costs": ANY,
        "scoring-mix": ANY,
        "bounds": {
            "cancel": FLAG,
            "connect-timeout": ABOVE,
            "cpu-us-per-request": MS,
            "cpu-us-per-s": MS,
            "idle-close": MS,
            "max-attempts": COUNT,
            "max-open": COUNT,
            "max-retry-after": MS,
            "may-duplicate": FLAG,
            "may-probe": FLAG,
            "multiplex": COUNT,
            "peers": FLAG,
            "retry-after": FLAG,
        },
        "contract": {
            "answer-slack": MS,
            "ask-within": MS,
            "cold-from": Kind("number", 1e-9, 1.0),
            "drain-grace": MS,
            "fall": ABOVE,
            "ramp-time": ABOVE,
            "tip-multiple": ABOVE,
        },
        "family-info": {
            "call-length": LIST,
            "channels-needed": LIST,
            "far-reports": TEXT,
            "here": NUMBER,
            "pools-by-class": LIST,
            "release": MS,
            "route-advice": FLAG,
            "says-wait": FLAG,
            "t1": MS,
            "topology": TEXT,
        },
        "telemetry": {"fields": LIST, "via": TEXT},
        "categories": [
            {
                "name": TEXT,
                "aim": ABOVE,
                "aim-stretch": MS,
                "deadline": ABOVE,
                "credit": MS,
                "late-worth": PART,
                "dedup-scope": TEXT,
                "effect": TEXT,
                "stream": FLAG,
                "window": MS,
            }
        ],
        "tenants": [{"name": TEXT, "quota-per-s": MS, "share": PART}],
    },
}


def check(
    table: Any, contract: Mapping[str, Any] | None = None, open_classes: Mapping[str, float] | None = None
) -> list[Offence]:
    """Every offence of a configuration, in the order of its fields; none: it may be taken.

    contract: the platform's or operator's own figures, which a version may only be more careful than.
    open_classes: classes with open calls, and the deadline in milliseconds that these were taken under.
    """
    if not isinstance(table, dict):
        return [Offence("not-a-table", "", f"an object is wanted, not {type(table).__name__}")]
    found = list(_shape(table, SCHEMA, ""))
    if not found:  # the rules read figures that must be figures first
        found += _rules(table.get("settings") or {}, contract or {}, open_classes or {})
    return found


def _shape(table: Mapping[str, Any], schema: Schema, path: str) -> Iterator[Offence]:
    for key, value in table.items():
        where = f"{path}{key}"
        wanted = schema.get(key)
        if wanted is None:
            yield Offence("unknown-field", where, "no such setting")
        elif isinstance(wanted, Kind):
            if (fault := wanted.fault(value)) is not None:
                yield Offence(fault[0], where, fault[1])
        elif isinstance(wanted, list):
            if not isinstance(value, list):
                yield Offence("not-a-list", where, f"a list is wanted, not {value!r}")
                continue
            for index, entry in enumerate(value):
                if isinstance(entry, dict):
                    yield from _shape(entry, wanted[0], f"{where}[{index}].")
                else:
                    yield Offence("not-a-table", f"{where}[{index}]", f"an object is wanted, not {entry!r}")
        elif isinstance(value, dict):
            yield from _shape(value, wanted, f"{where}.")
        else:
            yield Offence("not-a-table", where, f"an object is wanted, not {value!r}")


def _rules(
    settings: Mapping[str, Any], contract: Mapping[str, Any], open_classes: Mapping[str, float]
) -> Iterator[Offence]:
    bounds, family = settings.get("bounds") or {}, settings.get("family-info") or {}
    if (attempts := bounds.get("max-attempts", 1)) > MOST_ATTEMPTS:
        yield Offence("attempts", "settings.bounds.max-attempts", f"{attempts:g}, at most {MOST_ATTEMPTS}")
    if bounds.get("may-duplicate", False):
        yield Offence("second-copies", "settings.bounds.may-duplicate", "a call never has two attempts out")
    if (release := family.get("release", LEAST_RELEASE_MS)) < LEAST_RELEASE_MS:
        text = f"{release:g} ms from an attempt to the next, at least {LEAST_RELEASE_MS:g}"
        yield Offence("release-gap", "settings.family-info.release", text)
    yield from _contract(settings.get("contract") or {}, contract)
    yield from _classes(settings.get("categories"), open_classes)
    yield from _tenants(settings.get("tenants") or [])


def _contract(mine: Mapping[str, Any], theirs: Mapping[str, Any]) -> Iterator[Offence]:
    """A fleet may only be handled more carefully than was agreed."""
    path = "settings.contract."
    if (grace := mine.get("drain-grace", 0.0)) > MOST_GRACE_MS:
        yield Offence("drain-grace", path + "drain-grace", f"{grace:g} ms, at most {MOST_GRACE_MS:g}")
    for key, code, sign in (
        ("tip-multiple", "fall-multiple", 1),
        ("fall", "fall-time", 1),
        ("ramp-time", "ramp", -1),
        ("cold-from", "cold-share", 1),
    ):
        if key in mine and key in theirs and sign * mine[key] > sign * theirs[key]:
            bound = "at most" if sign > 0 else "at least"
            yield Offence(code, path + key, f"{mine[key]:g}, by the contract {bound} {theirs[key]:g}")


def _classes(categories: Any, open_classes: Mapping[str, float]) -> Iterator[Offence]:
    if categories is None:
        return
    names: set[str] = set()
    for index, entry in enumerate(categories):
        name = entry.get("name", "")
        where = f"settings.categories[{index}]"
        if not name or name in names:
            yield Offence("class-name", where + ".name", f"{name!r} is empty or there twice")
        names.add(name)
        if "aim" in entry and "deadline" in entry and entry["aim"] > entry["deadline"]:
            yield Offence("aim", where + ".aim", "it lies beyond the deadline")
        if name in open_classes and entry.get("deadline", math.inf) < open_classes[name]:
            text = f"{entry['deadline']:g} ms, and calls taken for {open_classes[name]:g} ms are open"
            yield Offence("deadline-open", where + ".deadline", text)
    for name in sorted(set(open_classes) - names):
        yield Offence("class-open", "settings.categories", f"{name!r} is gone, and calls of it are open")
    if not names:
        yield Offence("no-class", "settings.categories", "at least one class is needed")


def _tenants(tenants: Collection[Mapping[str, Any]]) -> Iterator[Offence]:
    names: set[str] = set()
    for index, entry in enumerate(tenants):
        where = f"settings.tenants[{index}]"
        if not entry.get("name") or entry["name"] in names:
            yield Offence("tenant-name", where + ".name", f"{entry.get('name')!r} is empty or there twice")
        names.add(entry.get("name", ""))
    shares = [entry["share"] for entry in tenants if "share" in entry]
    if shares and (len(shares) < len(tenants) or abs(sum(shares) - 1.0) > SHARES_SLACK):
        text = f"the shares of {len(shares)} of {len(tenants)} tenants add up to {sum(shares):g}, not to 1"
        yield Offence("quotas", "settings.tenants", text)
