"""Turns a version into a configuration to apply, or into the reason for its refusal.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from capershelf import config as configuration
from capershelf.config import Config
from capershelf.stream import standing
from capershelf.stream.fields import EffectTime, changes, keep_until_start
from capershelf.stream.standing import RuleViolation

LOCAL_KEYS = ("stream", "memory", "name")  # a service must not redirect or rename a proxy


@dataclass(frozen=True, slots=True)
class ApplicablePlan:
    """The configuration to apply, and the paths of the fields that change at the next start."""

    config: Config
    notes: tuple[str, ...]


def contract_of(base: Mapping[str, Any]) -> Mapping[str, Any]:
    """The contract in the proxy's own file, which limits every version."""
    settings = base.get("settings")
    found = settings.get("contract") if isinstance(settings, Mapping) else None
    return found if isinstance(found, Mapping) else {}


def merged(base: Mapping[str, Any], document: Mapping[str, Any]) -> dict[str, Any]:
    """The proxy's own file with the top-level keys of the version replacing its own."""
    return {**base, **document}


def plan(
    base: Mapping[str, Any],
    in_force: Mapping[str, Any],
    document: dict[str, Any],
    open_classes: Mapping[str, float],
    strict: bool,
    environ: Mapping[str, str],
) -> ApplicablePlan | RuleViolation:
    """Check a version and build the configuration to apply.

    base: the proxy's own file; in_force: the current table; open_classes: the deadlines of the classes with
    open calls; strict: refuse a version that has fields which only a start can change.
    """
    if violations := standing.check(document, contract_of(base), open_classes):
        return violations[0]
    for key in LOCAL_KEYS:
        if key in document:
            return RuleViolation("not-streamed", key, "only the proxy's own file may hold it")
    wanted = merged(base, document)
    effective = keep_until_start(in_force, wanted)
    notes = tuple(change.path for change in changes(in_force, wanted) if change.when is EffectTime.NEXT_START)
    if strict and notes:
        return RuleViolation("next-start", notes[0], "only a start can change it")
    try:
        config = configuration.read(effective, environ)
        configuration.read(wanted, environ)  # the next start must be able to read it as well
    except ValueError as problem:
        return RuleViolation("senseless", "", str(problem))
    if missing := configuration.missing_keys(in_force["settings"], wanted["settings"]):
        return RuleViolation("missing-field", f"settings.{missing[0]}", "missing, and in force")
    return ApplicablePlan(config, notes)
