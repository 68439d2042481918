"""From a version to a configuration that may be taken, or the reason why not.  Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from capershelf import config as configuration
from capershelf import control
from capershelf.config import Config
from capershelf.stream import standing
from capershelf.stream.fields import When, changes, keep_until_start
from capershelf.stream.standing import Offence

OWN = ("stream", "memory", "name")  # a service may not move a proxy to another one, or rename it


@dataclass(frozen=True, slots=True)
class TakeOver:
    """What is to be in force, and which fields wait for the next start."""

    config: Config
    notes: tuple[str, ...]


def contract_of(base: Mapping[str, Any]) -> Mapping[str, Any]:
    """The contract that no version may go beyond: that of the proxy's own file."""
    settings = base.get("settings")
    found = settings.get("contract") if isinstance(settings, Mapping) else None
    return found if isinstance(found, Mapping) else {}


def merged(base: Mapping[str, Any], document: Mapping[str, Any]) -> dict[str, Any]:
    """A version stands over the proxy's own file as that over the platform's: key by key at the top."""
    return {**base, **document}


def plan(
    base: Mapping[str, Any],
    in_force: Mapping[str, Any],
    document: dict[str, Any],
    open_classes: Mapping[str, float],
    strict: bool,
    environ: Mapping[str, str],
) -> TakeOver | Offence:
    """base: the proxy's own file; in_force: the table that holds now."""
    if offences := standing.check(document, contract_of(base), open_classes):
        return offences[0]
    for key in OWN:
        if key in document:
            return Offence("not-streamed", key, "only the proxy's own file may hold it")
    wanted = merged(base, document)
    kept = keep_until_start(in_force, wanted)
    notes = tuple(change.path for change in changes(in_force, wanted) if change.when is When.NEXT_START)
    if strict and notes:
        return Offence("next-start", notes[0], "only a start can change it")
    try:
        config = configuration.read(kept, environ)
        configuration.read(wanted, environ)  # what the next start would read must be readable too
        control.validate(config.settings)
    except (ValueError, TypeError, KeyError, AttributeError) as problem:
        return Offence("senseless", "", str(problem))
    return TakeOver(config, notes)
