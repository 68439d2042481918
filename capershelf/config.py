"""Configuration from the platform's file and an operator's; shared by the proxy and the simulator adapter."""

from __future__ import annotations

import json
import math
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from capershelf import control
from capershelf.interface import CallClass, LoadReportSource, Settings, Tenant
from capershelf.net.addresses import parse_endpoint

LOAD_REPORT_SOURCES = {  # by the platform's name
    "piggyback": LoadReportSource.ANSWERS,
    "pull": LoadReportSource.PROBES,
    "silent": LoadReportSource.NONE,
}


@dataclass(frozen=True, slots=True)
class WebSocketFront:
    """The WebSocket front; enabled by an operator's file only."""

    listen: str


@dataclass(frozen=True, slots=True)
class EurekaRegistry:
    """A Eureka registry; enabled by an operator's file only."""

    url: str
    app: str  # the application whose instances are the booking servers
    own_app: str  # the application that this proxy registers as; empty: it does not register
    fetch_ms: float
    renew_ms: float


@dataclass(frozen=True, slots=True)
class MemorySettings:
    """Memory that survives a restart (capershelf/memory/); enabled by an operator's file only.

    The keys of the [memory] table are derived from the names of these fields.
    """

    folder: str
    key_file: str = ""
    period_ms: float = 10_000.0
    most_age_ms: float = 7 * 86_400_000.0
    rate_half_life_ms: float = 12 * 3_600_000.0
    base_half_life_ms: float = 7 * 86_400_000.0
    threshold_half_life_ms: float = 600_000.0
    wait_half_life_ms: float = 15_000.0
    silence_half_life_ms: float = 10_000.0
    asked_half_life_ms: float = 600_000.0


@dataclass(frozen=True, slots=True)
class StreamSettings:
    """Streamed configuration (capershelf/stream/); enabled by an operator's file only."""

    services: tuple[str, ...]  # host:port or ws://host:port, in order of preference
    folder: str = ""  # for the last good version; empty: it is not stored
    keys: str = ""  # folder of trusted public keys; empty: unsigned versions are accepted
    ca: str = ""  # of TLS; empty: no TLS
    certificate: str = ""
    key_file: str = ""
    strict: bool = False  # reject a version with changes that need a restart, instead of logging them
    probation_ms: float = 0.0
    probation_margin: float = 0.2  # rise in the share of failed calls that rolls a version back
    probation_min_outcomes: int = 50  # before the shares are compared


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Deterministic subsetting (capershelf/subset/); enabled by an operator's file only."""

    size: int  # servers per service


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one signalling proxy."""

    name: str
    listen: str  # address of the JSON-lines front; empty: off
    seed: int
    sockets: int
    memory_mb: float
    board: str
    known: Any  # the document of notices that the list of servers starts from
    settings: Settings
    connect_ms: float
    planners: int = 1
    websocket: WebSocketFront | None = None
    eureka: EurekaRegistry | None = None
    memory: MemorySettings | None = None
    stream: StreamSettings | None = None
    subset: SubsetSettings | None = None
    table: dict[str, Any] = field(default_factory=dict, compare=False)  # the parsed input
    unread: tuple[str, ...] = field(default=())  # unknown keys


class ConfigurationError(ValueError):
    """A configuration cannot be used; the text names the key or the file, and what is wrong with it."""


def load(environ: Mapping[str, str], operator_file: str | None = None) -> Config:
    """Load the configuration: the platform's NODE_CONFIG, overridden by an operator's TOML file.

    Each file has to be sound in itself, also where the other one overrides it.  ValueError names in one line
    the missing or invalid key, or the standing rules that the operator's file violates.
    """
    table: dict[str, Any] = {}
    if path := environ.get("NODE_CONFIG"):
        table = _read_table(path, "NODE_CONFIG", json.loads)
        if operator_file is not None and "settings" in table:
            _read_checked_settings(table)
    if operator_file is not None:
        operator_table = _read_table(operator_file, "operator file", tomllib.loads)
        check_operator_table(operator_table, table)
        table |= operator_table
    if not table:
        raise ConfigurationError("no configuration: set NODE_CONFIG or give --config FILE")
    return read(table, environ)


def _read_table(path: str, source: str, parse: Callable[[str], Any]) -> dict[str, Any]:
    """The table in a file; ConfigurationError if it cannot be read or parsed, or holds nothing."""
    try:
        table = parse(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as problem:
        raise ConfigurationError(f"{source}: {problem}") from problem
    if not isinstance(table, dict):
        raise ConfigurationError(f"{source}: {path} holds no object")
    if not table:
        raise ConfigurationError(f"{source}: {path} is empty")
    return table


def check_operator_table(operator_table: dict[str, Any], platform: dict[str, Any]) -> None:
    """Check an operator's table against the standing rules; ValueError lists the violations.

    The contract comes from the platform's table.
    """
    from capershelf.stream import standing  # imported only if there is an operator's file

    settings = platform.get("settings")
    contract = settings.get("contract") if isinstance(settings, dict) else None
    if violations := standing.check(operator_table, contract):
        raise ValueError("; ".join(map(str, violations)))


# What reading a value of the wrong kind raises.
WRONG_KIND_ERRORS = (TypeError, KeyError, AttributeError, OverflowError)


def read(table: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """Build the configuration from a parsed table and check it; ValueError names what is missing or invalid.

    Every source of a configuration passes through here: a start, `check-config`, SIGHUP and the stream.
    """
    try:
        config = _read(table, environ)
    except WRONG_KIND_ERRORS as problem:
        raise ConfigurationError(f"a value of the wrong kind: {problem}") from problem
    control.validate(config.settings)
    _check_host_settings(config)
    return config


def _read_checked_settings(table: dict[str, Any]) -> None:
    """Check the settings of a table of which other keys may be missing."""
    try:
        control.validate(read_settings(table["settings"]))
    except WRONG_KIND_ERRORS as problem:
        raise ConfigurationError(f"a value of the wrong kind: {problem}") from problem


def _check_host_settings(config: Config) -> None:
    """Check what the controller's settings do not hold: limits, times and addresses."""
    above_zero = {
        "settings.bounds.connect-timeout": config.connect_ms,
        "limits.sockets": config.sockets,
        "limits.memory_mb": config.memory_mb,
    }
    if config.eureka is not None:
        above_zero |= {"eureka.fetch": config.eureka.fetch_ms, "eureka.renew": config.eureka.renew_ms}
    for key, value in above_zero.items():
        if value <= 0:
            raise ConfigurationError(f"{key} must be over 0, not {value:g}")
    for key, address in {
        "listen": config.listen,
        "websocket.listen": config.websocket.listen if config.websocket is not None else "",
        "board": config.board,
    }.items():
        if address:
            _check_address(key, address)
    if config.eureka is not None:
        scheme, separator, rest = config.eureka.url.partition("://")
        if scheme != "http" or not separator:
            raise ConfigurationError(f"eureka.url must begin with http://, not {config.eureka.url!r}")
        _check_address("eureka.url", rest.partition("/")[0])
    _check_known(config.known)


def _check_address(key: str, address: str) -> None:
    try:
        parse_endpoint(address)
    except ValueError as problem:
        raise ConfigurationError(f"{key} is {problem}") from problem


def _check_known(known: Any) -> None:
    """Check the form of the document of notices; a registry skips single notices that it cannot read."""
    if not isinstance(known, dict) or type(known.get("rev")) is not int:
        raise ConfigurationError("known must be an object with a whole number rev")
    if not isinstance(known.get("notices") or [], list):
        raise ConfigurationError("known.notices must be a list")


def missing_keys(in_force: Mapping[str, Any], proposed: Mapping[str, Any], path: str = "") -> list[str]:
    """The paths of the keys that a table in force has and a proposed one lacks.

    In a list of objects, the keys are those that all its objects in force have in common.
    """
    missing = []
    for key, value in in_force.items():
        if key not in proposed:
            missing.append(f"{path}{key}")
        elif isinstance(value, Mapping) and isinstance(proposed[key], Mapping):
            missing += missing_keys(value, proposed[key], f"{path}{key}.")
        elif isinstance(value, list) and isinstance(proposed[key], list):
            missing += _missing_in_entries(value, proposed[key], f"{path}{key}")
    return missing


def _missing_in_entries(in_force: list[Any], proposed: list[Any], path: str) -> list[str]:
    if not in_force or not all(isinstance(entry, Mapping) for entry in in_force):
        return []
    common = set.intersection(*(set(entry) for entry in in_force))
    return [
        f"{path}[{index}].{key}"
        for index, entry in enumerate(proposed)
        if isinstance(entry, Mapping)
        for key in sorted(common - set(entry))
    ]


def check_replacement(in_force: Mapping[str, Any], proposed: Mapping[str, Any]) -> None:
    """Refuse a file that lacks a key of the one in force, as one that is cut off or was not written whole.

    The list of booking servers is exempt: what it holds is the registry's.
    """
    kept = {key: {} if key == "known" else value for key, value in in_force.items()}
    if missing := missing_keys(kept, proposed):
        raise ConfigurationError(
            f"{', '.join(missing)} is missing, and in force: a key can be left out at a restart only"
        )


def _read(table: dict[str, Any], environ: Mapping[str, str]) -> Config:
    settings = _require(table, "", "settings")
    planners = int(_number(table, "", "planners", 1.0))
    if not 1 <= planners <= 4:
        raise ValueError("planners must be 1 to 4: each holds one link to each booking server")
    seed = table.get("seed", "0")
    try:
        seed_number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ValueError(f"seed must be hex digits, not {seed!r}") from None
    websocket = eureka = None
    if (websocket_table := table.get("websocket")) is not None:
        websocket = WebSocketFront(str(_require(websocket_table, "websocket.", "listen")))
    if (eureka_table := table.get("eureka")) is not None:
        eureka = EurekaRegistry(
            str(_require(eureka_table, "eureka.", "url")),
            str(_require(eureka_table, "eureka.", "app")),
            str(eureka_table.get("own-app", "")),
            _number(eureka_table, "eureka.", "fetch", 5000.0),
            _number(eureka_table, "eureka.", "renew", 30000.0),
        )
    memory = read_memory(table["memory"]) if "memory" in table else None
    stream = read_stream(table["stream"]) if "stream" in table else None
    subset = read_subset(table["subset"]) if "subset" in table else None
    if (
        memory is not None
        and stream is not None
        and stream.folder
        and (Path(memory.folder).resolve() == Path(stream.folder).resolve())
    ):
        raise ValueError("memory.folder and stream.folder must differ: each is locked by its owner")
    if eureka is not None and table.get("board"):
        raise ValueError("board and eureka are both set: one registry lists the booking servers")
    known_keys = {
        "name",
        "listen",
        "seed",
        "limits",
        "board",
        "known",
        "settings",
        "planners",
        "websocket",
        "eureka",
        "memory",
        "stream",
        "subset",
    }
    return Config(
        name=str(table.get("name") or environ.get("NODE_NAME") or "capershelf"),
        listen=str(table.get("listen", environ.get("NODE_LISTEN", ""))),
        seed=seed_number,
        sockets=int(_number(table.get("limits") or {}, "limits.", "sockets", 1024.0)),
        memory_mb=_number(table.get("limits") or {}, "limits.", "memory_mb", 1024.0),
        board=_text(table, "board"),
        known=table.get("known") or {"rev": 0, "notices": []},
        settings=read_settings(settings),
        connect_ms=_number(_require(settings, "settings.", "bounds"), "bounds.", "connect-timeout", 500.0),
        planners=planners,
        websocket=websocket,
        eureka=eureka,
        memory=memory,
        stream=stream,
        subset=subset,
        table=table,
        unread=tuple(sorted(set(table) - known_keys)),
    )


def read_memory(table: Any) -> MemorySettings:
    """Read the [memory] table; times in milliseconds.  ValueError names a missing, unknown or invalid key."""
    folder = _require(table, "memory.", "folder")
    if not isinstance(folder, str) or not folder:
        raise ValueError(f"settings: memory.folder must be a path, not {folder!r}")
    times = {field.name: field.default for field in fields(MemorySettings) if field.name.endswith("_ms")}
    names = {name.removesuffix("_ms").replace("_", "-"): name for name in times}
    if unknown := sorted(set(table) - set(names) - {"folder", "key-file"}):
        raise ValueError(f"settings: memory.{unknown[0]} is not a setting")
    values = {name: _number(table, "memory.", key, float(str(times[name]))) for key, name in names.items()}
    for key, name in names.items():
        if not 0 <= values[name] < float("inf") or name == "period_ms" and values[name] < 100:
            raise ValueError(f"settings: memory.{key} is out of range: {values[name]:g} ms")
    return MemorySettings(folder, str(table.get("key-file", "")), **values)


def read_subset(table: Any) -> SubsetSettings:
    """Read the [subset] table; ValueError names a key that is missing, unknown or too small."""
    from capershelf.subset import check_size  # imported only if subsetting is enabled

    size = _number(table, "subset.", "size")
    if unknown := sorted(set(table) - {"size"}):
        raise ValueError(f"settings: subset.{unknown[0]} is not a setting")
    if size != int(size):
        raise ValueError(f"settings: subset.size must be a whole number, not {size:g}")
    check_size(int(size))
    return SubsetSettings(int(size))


def read_stream(table: Any) -> StreamSettings:
    """Read the [stream] table; ValueError names a missing, unknown or invalid key."""
    services = _require(table, "stream.", "services")
    if (
        not isinstance(services, list)
        or not services
        or not all(isinstance(service, str) for service in services)
    ):
        raise ValueError(f"settings: stream.services must be a list of addresses, not {services!r}")
    path_names = {
        name.replace("_", "-"): name for name in ("folder", "keys", "ca", "certificate", "key_file")
    }
    if unknown := sorted(
        set(table) - set(path_names) - {"services", "strict", "probation", "margin", "least"}
    ):
        raise ValueError(f"settings: stream.{unknown[0]} is not a setting")
    values = {name: table.get(key, "") for key, name in path_names.items()}
    for key, name in path_names.items():
        if not isinstance(values[name], str):
            raise ValueError(f"settings: stream.{key} must be a path, not {values[name]!r}")
    return StreamSettings(
        tuple(services),
        strict=bool(table.get("strict", False)),
        probation_ms=_number(table, "stream.", "probation", 0.0),
        probation_margin=_number(table, "stream.", "margin", 0.2),
        probation_min_outcomes=int(_number(table, "stream.", "least", 50.0)),
        **values,
    )


def _require(table: dict[str, Any], path: str, key: str) -> Any:
    if not isinstance(table, dict) or key not in table:
        raise ValueError(f"settings lack {path}{key}")
    return table[key]


def _allowed_pools(family: dict[str, Any], index: int) -> frozenset[int] | None:
    """The pools that calls of this class may be sent to; None if the settings do not restrict them."""
    pools_by_class = family.get("pools-by-class") or []
    if index >= len(pools_by_class):
        return None
    pools = pools_by_class[index]
    if not isinstance(pools, list) or not all(type(pool) is int for pool in pools):
        raise ValueError(f"settings: family-info.pools-by-class[{index}] must be a list of whole numbers")
    return frozenset(pools)


def _number(table: dict[str, Any], path: str, key: str, default: float | None = None) -> float:
    value = _require(table, path, key) if default is None else table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < math.inf:
        raise ConfigurationError(f"settings: {path}{key} must be a number, not {value!r}")
    return float(value)


def _text(table: dict[str, Any], key: str) -> str:
    """An optional text; empty if it is missing."""
    value = table.get(key)
    if value is not None and not isinstance(value, str):
        raise ConfigurationError(f"{key} must be a text, not {value!r}")
    return value or ""


def read_settings(info: dict[str, Any]) -> Settings:
    """Convert the platform's settings to Settings; ValueError names a missing or invalid key."""
    family = _require(info, "", "family-info")
    if family.get("topology", "groups") != "groups":
        raise ValueError("settings: family-info.topology must be groups")
    bounds, contract = _require(info, "", "bounds"), _require(info, "", "contract")
    widths = family.get("channels-needed") or []
    lengths = family.get("call-length") or []
    classes = []
    for index, entry in enumerate(_require(info, "", "categories")):
        path = f"categories[{index}]."
        classes.append(
            CallClass(
                name=str(_require(entry, path, "name")),
                aim_ms=_number(entry, path, "aim"),
                deadline_ms=_number(entry, path, "deadline"),
                worth=_number(entry, path, "credit", 1.0),
                late_worth=_number(entry, path, "late-worth", 0.0),
                pools=_allowed_pools(family, index),
                width=int(widths[index]) if index < len(widths) else 1,
                hold_ms=_number({"": lengths[index]}, path, "") if index < len(lengths) else None,
            )
        )
    telemetry = info.get("telemetry") or {}
    advises_retry = bool(bounds.get("retry-after", False))
    tenants = tuple(
        Tenant(
            str(_require(entry, f"tenants[{index}].", "name")),
            _number(entry, f"tenants[{index}].", "quota-per-s"),
        )
        for index, entry in enumerate(info.get("tenants") or [])
    )
    return Settings(
        gateway_no=int(_number(info, "", "slot-no")),
        gateway_count=int(_number(info, "", "group-size")),
        classes=tuple(classes),
        cold_from=_number(contract, "contract.", "cold-from"),
        ramp_ms=_number(contract, "contract.", "ramp-time"),
        fall_multiple=_number(contract, "contract.", "tip-multiple"),
        fall_ms=_number(contract, "contract.", "fall"),
        release_ms=_number(family, "family-info.", "release"),
        drain_grace_ms=_number(contract, "contract.", "drain-grace", 0.0),
        answer_slack_ms=_number(contract, "contract.", "answer-slack", 0.0),
        tick_ms=_number(info, "", "period", 0.0),
        max_attempts=int(_number(bounds, "bounds.", "max-attempts")),
        resend_ms=_number(family, "family-info.", "t1", 0.0),
        tenants=tenants,
        over_quota_worth=_number(info, "", "over-share-worth", 1.0),
        may_cancel=bool(bounds.get("cancel", False)),
        may_probe=bool(bounds.get("may-probe", False)),
        max_retry_after_ms=_number(bounds, "bounds.", "max-retry-after", 0.0) if advises_retry else 0.0,
        load_report_source=LOAD_REPORT_SOURCES.get(
            str(telemetry.get("via", "silent")), LoadReportSource.NONE
        ),
        reports_wait=bool(family.get("says-wait", False)),
    )
