"""The settings, from the platform's file or an operator's; the one reader that both programs use."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any

from capershelf import interface as api

REPORTS = {
    "piggyback": api.LoadReportSource.ANSWERS,
    "pull": api.LoadReportSource.PROBES,
    "silent": api.LoadReportSource.NONE,
}


@dataclass(frozen=True, slots=True)
class WebSocketFront:
    """The second front, off unless an operator's file turns it on."""

    listen: str


@dataclass(frozen=True, slots=True)
class EurekaRegistry:
    """A Eureka registry, off unless an operator's file turns it on."""

    url: str
    app: str  # the application whose instances are the booking servers
    own_app: str  # and the one under which this proxy registers itself; empty: it does not
    fetch_ms: float
    renew_ms: float


@dataclass(frozen=True, slots=True)
class MemorySettings:
    """Learning that survives restart (capershelf/memory/), off unless an operator's file turns it on."""

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
    """Streamed configuration (capershelf/stream/), off unless an operator's file turns it on."""

    services: tuple[str, ...]  # in the order of preference: host:port, or ws://host:port
    folder: str = ""  # where the last good version is kept; empty: nowhere
    keys: str = ""  # folder of the public keys that are trusted; empty: unsigned versions are taken
    ca: str = ""  # TLS, where it is set
    certificate: str = ""
    key_file: str = ""
    strict: bool = False  # refuse what only a start can change, instead of noting it
    probation_ms: float = 0.0
    margin: float = 0.2
    least: int = 50


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Deterministic subsetting (capershelf/subset/), off unless an operator's file turns it on."""

    size: int  # members of each service


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that one signalling proxy is told."""

    name: str
    listen: str  # of the JSON-lines front; empty: off
    seed: int
    sockets: int
    memory_mb: float
    board: str
    known: Any
    settings: api.Settings
    connect_ms: float
    planners: int = 1
    websocket: WebSocketFront | None = None
    eureka: EurekaRegistry | None = None
    memory: MemorySettings | None = None
    stream: StreamSettings | None = None
    subset: SubsetSettings | None = None
    table: dict[str, Any] = field(default_factory=dict, compare=False)  # as it was read
    unread: tuple[str, ...] = field(default=())


def load(environ: Mapping[str, str], operator_file: str | None = None) -> Config:
    """The configuration: NODE_CONFIG from the platform, then an operator's TOML over it.

    ValueError says in one line what is missing or senseless, or which standing rules an operator breaks.
    """
    table: dict[str, Any] = {}
    if path := environ.get("NODE_CONFIG"):
        try:
            table = json.loads(Path(path).read_text())
        except OSError as problem:
            raise ValueError(f"NODE_CONFIG: {problem}") from problem
    if operator_file is not None:
        try:
            own = tomllib.loads(Path(operator_file).read_text())
            check_standing(own, table)
            table |= own
        except OSError as problem:
            raise ValueError(f"operator file: {problem}") from problem
    if not table:
        raise ValueError("no configuration: set NODE_CONFIG or give --config FILE")
    if not isinstance(table, dict):
        raise ValueError("the configuration is not an object")
    return read(table, environ)


def check_standing(own: dict[str, Any], platform: dict[str, Any]) -> None:
    """An operator's own table must keep the standing rules; the platform's figures are the contract."""
    from capershelf.stream import standing  # only where an operator's file is read

    settings = platform.get("settings")
    contract = settings.get("contract") if isinstance(settings, dict) else None
    if offences := standing.check(own, contract):
        raise ValueError("; ".join(map(str, offences)))


def read(table: dict[str, Any], environ: Mapping[str, str]) -> Config:
    info = _need(table, "", "settings")
    planners = int(_number(table, "", "planners", 1.0))
    if not 1 <= planners <= 4:
        raise ValueError("planners must be 1 to 4: each holds one link to each booking server")
    seed = table.get("seed", "0")
    try:
        seed_number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ValueError(f"seed must be hex digits, not {seed!r}") from None
    websocket = eureka = None
    if (ws := table.get("websocket")) is not None:
        websocket = WebSocketFront(str(_need(ws, "websocket.", "listen")))
    if (eu := table.get("eureka")) is not None:
        eureka = EurekaRegistry(
            str(_need(eu, "eureka.", "url")),
            str(_need(eu, "eureka.", "app")),
            str(eu.get("own-app", "")),
            _number(eu, "eureka.", "fetch", 5000.0),
            _number(eu, "eureka.", "renew", 30000.0),
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
        raise ValueError("memory.folder and stream.folder must be two: each is locked by its owner")
    if eureka is not None and table.get("board"):
        raise ValueError("board and eureka are both set: one registry lists the booking servers")
    known = {
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
        board=str(table.get("board") or ""),
        known=table.get("known") or {"rev": 0, "notices": []},
        settings=read_settings(info),
        connect_ms=_number(_need(info, "settings.", "bounds"), "bounds.", "connect-timeout", 500.0),
        planners=planners,
        websocket=websocket,
        eureka=eureka,
        memory=memory,
        stream=stream,
        subset=subset,
        table=table,
        unread=tuple(sorted(set(table) - known)),
    )


def read_memory(table: Any) -> MemorySettings:
    """The [memory] table; times in milliseconds.  ValueError names what is missing, unknown or senseless."""
    folder = _need(table, "memory.", "folder")
    if not isinstance(folder, str) or not folder:
        raise ValueError(f"settings: memory.folder must be a path, not {folder!r}")
    times = {field.name: field.default for field in fields(MemorySettings) if field.name.endswith("_ms")}
    names = {name.removesuffix("_ms").replace("_", "-"): name for name in times}
    if unknown := sorted(set(table) - set(names) - {"folder", "key-file"}):
        raise ValueError(f"settings: memory.{unknown[0]} is not a setting")
    given = {name: _number(table, "memory.", key, float(str(times[name]))) for key, name in names.items()}
    for key, name in names.items():
        if not 0 <= given[name] < float("inf") or name == "period_ms" and given[name] < 100:
            raise ValueError(f"settings: memory.{key} makes no sense: {given[name]:g} ms")
    return MemorySettings(folder, str(table.get("key-file", "")), **given)


def read_subset(table: Any) -> SubsetSettings:
    """The [subset] table; ValueError names what is missing, unknown or too small."""
    from capershelf.subset import check_size  # only where it is turned on

    size = _number(table, "subset.", "size")
    if unknown := sorted(set(table) - {"size"}):
        raise ValueError(f"settings: subset.{unknown[0]} is not a setting")
    if size != int(size):
        raise ValueError(f"settings: subset.size must be a whole number, not {size:g}")
    check_size(int(size))
    return SubsetSettings(int(size))


def read_stream(table: Any) -> StreamSettings:
    """The [stream] table; ValueError names what is missing, unknown or senseless."""
    services = _need(table, "stream.", "services")
    if not isinstance(services, list) or not services or not all(isinstance(one, str) for one in services):
        raise ValueError(f"settings: stream.services must be a list of addresses, not {services!r}")
    texts = {name.replace("_", "-"): name for name in ("folder", "keys", "ca", "certificate", "key_file")}
    if unknown := sorted(set(table) - set(texts) - {"services", "strict", "probation", "margin", "least"}):
        raise ValueError(f"settings: stream.{unknown[0]} is not a setting")
    given = {name: table.get(key, "") for key, name in texts.items()}
    for key, name in texts.items():
        if not isinstance(given[name], str):
            raise ValueError(f"settings: stream.{key} must be a path, not {given[name]!r}")
    return StreamSettings(
        tuple(services),
        strict=bool(table.get("strict", False)),
        probation_ms=_number(table, "stream.", "probation", 0.0),
        margin=_number(table, "stream.", "margin", 0.2),
        least=int(_number(table, "stream.", "least", 50.0)),
        **given,
    )


def _need(table: dict[str, Any], path: str, key: str) -> Any:
    if not isinstance(table, dict) or key not in table:
        raise ValueError(f"settings lack {path}{key}")
    return table[key]


def _places(family: dict[str, Any], index: int) -> frozenset[int] | None:
    """The places that calls of this class may go to; None where the settings name none."""
    pools = family.get("pools-by-class") or []
    if index >= len(pools):
        return None
    pool = pools[index]
    if not isinstance(pool, list) or not all(type(place) is int for place in pool):
        raise ValueError(f"settings: family-info.pools-by-class[{index}] must be a list of whole numbers")
    return frozenset(pool)


def _number(table: dict[str, Any], path: str, key: str, default: float | None = None) -> float:
    value = _need(table, path, key) if default is None else table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"settings: {path}{key} must be a number, not {value!r}")
    return float(value)


def read_settings(info: dict[str, Any]) -> api.Settings:
    """The wire's settings as the project's own; ValueError names a key that is missing or senseless."""
    family = _need(info, "", "family-info")
    if family.get("topology", "groups") != "groups":
        raise ValueError("settings: family-info.topology must be groups")
    bounds, contract = _need(info, "", "bounds"), _need(info, "", "contract")
    widths = family.get("channels-needed") or []
    lengths = family.get("call-length") or []
    classes = []
    for index, entry in enumerate(_need(info, "", "categories")):
        path = f"categories[{index}]."
        classes.append(
            api.CallClass(
                name=str(_need(entry, path, "name")),
                aim_ms=_number(entry, path, "aim"),
                deadline_ms=_number(entry, path, "deadline"),
                worth=_number(entry, path, "credit", 1.0),
                late_worth=_number(entry, path, "late-worth", 0.0),
                pools=_places(family, index),
                width=int(widths[index]) if index < len(widths) else 1,
                hold_ms=_number({"": lengths[index]}, path, "") if index < len(lengths) else None,
            )
        )
    telemetry = info.get("telemetry") or {}
    advice = bool(bounds.get("retry-after", False))
    tenants = tuple(
        api.Tenant(str(_need(t, f"tenants[{i}].", "name")), _number(t, f"tenants[{i}].", "quota-per-s"))
        for i, t in enumerate(info.get("tenants") or [])
    )
    return api.Settings(
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
        max_retry_after_ms=_number(bounds, "bounds.", "max-retry-after", 0.0) if advice else 0.0,
        load_report_source=REPORTS.get(str(telemetry.get("via", "silent")), api.LoadReportSource.NONE),
        reports_wait=bool(family.get("says-wait", False)),
    )
