"""The figures of the full size, worked out from a recorded run.  Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from lab.capacity import requirements as need
from lab.capacity.fit import Fit, fit

MISSING = "missing"
EXACT_DIGITS = 10  # significant digits of a coefficient without an error
MEASURED_REACH = 1.05  # a size so little beyond a measured one counts as measured
SIZE_KEYS = {
    "proxy": "servers",
    "module": "servers",
    "server": "proxies",
    "discovery": "watchers",
    "control": "followers",
    "retry": "depth",
}
LATENCY = "latency"  # a role of one size, in rows with stages


class Basis(Enum):
    """What a figure stands on."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    ESTIMATE = "estimate"


class MissingRoleError(ValueError):
    """The run lacks a role that the page needs: run `python -m lab capacity` with all roles."""


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of one role at the full size."""

    role: str
    situation: str
    quantity: str
    formula: str
    value: float
    unit: str
    basis: Basis
    note: str  # how far extrapolated, or why it is an estimate
    mechanism: str  # what in the code carries it
    budget: float | None = None

    @property
    def over(self) -> float:
        """Times the budget; 0 without one."""
        return self.value / self.budget if self.budget else 0.0


def column(rows: Iterable[dict[str, Any]], *path: str) -> list[float]:
    """The value under this path in each row."""
    found = []
    for row in rows:
        value: Any = row
        for key in path:
            value = value[key]
        found.append(float(value))
    return found


class Run:
    """A recorded run with its fits."""

    def __init__(self, found: dict[str, Any]) -> None:
        if lacking := sorted({*SIZE_KEYS, LATENCY} - set(found.get("roles", {}))):
            raise MissingRoleError(f"the run has no {', '.join(lacking)}")
        self.found = found
        self.roles: dict[str, Any] = found["roles"]

    def rows(self, role: str) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = self.roles[role]["rows"]
        return rows

    def fit(self, role: str, *path: str) -> Fit:
        """The fit of one quantity of a role over its sizes."""
        rows = self.rows(role)
        return fit(column(rows, SIZE_KEYS[role]), column(rows, *path))

    def mean_at_largest(self, role: str, *path: str) -> float:
        """The mean of a quantity at the largest size that was measured."""
        rows = self.rows(role)
        sizes = column(rows, SIZE_KEYS[role])
        values = [value for size, value in zip(sizes, column(rows, *path), strict=True) if size == max(sizes)]
        return sum(values) / len(values)


def formula_of(found: Fit, symbol: str) -> str:
    """The fit as text, each coefficient to its error, and with the slope's interval."""
    intercept, slope, square = (
        to_error(value, error)
        for value, error in zip((found.intercept, found.slope, found.square), found.errors, strict=True)
    )
    text = f"{intercept} + {slope} {symbol}"
    if found.straight:
        return f"{text} (slope ±{found.slope_error:.2g})" if found.slope_error else f"{text} (exact)"
    return f"{text} + {square} {symbol}² (not straight)"


def to_error(value: float, error: float) -> str:
    """The value, rounded to the second significant digit of its error; an exact one to EXACT_DIGITS."""
    if error == 0.0:
        return f"{value:.{EXACT_DIGITS}g}"
    decimals = 1 - math.floor(math.log10(error))
    rounded = round(value, decimals) + 0.0  # no negative zero
    return f"{rounded:.{max(0, decimals)}f}"


def reach(found: Fit, size: float) -> tuple[Basis, str]:
    """Whether the size lies within what was measured, and how far beyond."""
    span = f"{found.smallest:g} to {found.largest:g}"
    if size <= found.largest:
        return Basis.MEASURED, span
    return Basis.EXTRAPOLATED, f"{span}, {size / found.largest:.1f} times beyond"


@dataclass(frozen=True, slots=True)
class Entry:
    """A figure that is a fit read at the full size."""

    role: str
    situation: str
    quantity: str
    path: tuple[str, ...]
    unit: str
    mechanism: str
    budget: float | None = None
    measured_role: str = ""  # whose rows it is fitted over; the role's own if empty


ONE_LINK_EACH = "`net/links.py`: a link to every listed server"
EVERY_LINK = "a link to every server; less with `subset/`"
FITTED = (
    Entry("proxy", "at rest", "links", ("links",), "links", ONE_LINK_EACH),
    Entry(
        "proxy",
        "at rest",
        "descriptors",
        ("rest", "descriptors"),
        "descriptors",
        ONE_LINK_EACH,
        need.DESCRIPTORS,
    ),
    Entry("proxy", "at rest", "threads", ("rest", "threads"), "threads", "`net/poller.py`"),
    Entry(
        "proxy",
        "at rest",
        "memory",
        ("rest", "rss_mb"),
        "MB",
        "`node.py`: shares of the limits",
        need.CONTROL_MB,
    ),
    Entry(
        "proxy",
        "at rest",
        "processor",
        ("rest", "core_percent"),
        "% of a core",
        EVERY_LINK,
        need.CONTROL_CORE_PERCENT,
    ),
    Entry(
        "proxy",
        "at rest",
        "states heard",
        ("rest", "state_bytes_per_s"),
        "bytes/s",
        EVERY_LINK,
        need.CONTROL_BYTES_PER_S,
    ),
    Entry(
        "proxy",
        "at rest",
        "the list",
        ("rest", "list_bytes_per_s"),
        "bytes/s",
        "`registry/board.py`: one long poll",
        need.CONTROL_BYTES_PER_S,
    ),
    Entry("proxy", "48 calls/s", "memory", ("calls", "rss_mb"), "MB", "`node.py`", need.CONTROL_MB),
    Entry("proxy", "48 calls/s", "processor", ("calls", "core_percent"), "% of a core", "`core/planner.py`"),
    Entry("proxy", "48 calls/s", "added, 50 in 100", ("single", "added", "p50"), "ms", "`core/planner.py`"),
    Entry(
        "proxy",
        "48 calls/s",
        "added, 99 in 100",
        ("single", "added", "p99"),
        "ms",
        "`core/planner.py`, `control.py`",
        need.ADDED_P99_MS,
    ),
    Entry(
        "proxy", "48 calls/s", "added, 99.9 in 100", ("single", "added", "p99.9"), "ms", "`core/planner.py`"
    ),
    Entry(
        "proxy",
        "48 calls/s, 9 in a row",
        "added, 50 in 100",
        ("chain", "added", "p50"),
        "ms",
        "`core/planner.py`",
    ),
    Entry(
        "proxy",
        "48 calls/s, 9 in a row",
        "added, 99 in 100",
        ("chain", "added", "p99"),
        "ms",
        "`core/planner.py`",
    ),
    Entry(
        "proxy",
        "module alone",
        "a call",
        ("call_ms",),
        "ms of processor",
        "`control.py`",
        measured_role="module",
    ),
    Entry(
        "proxy",
        "module alone",
        "a state",
        ("state_ms",),
        "ms of processor",
        "`control.py`",
        measured_role="module",
    ),
    Entry(
        "proxy",
        "module alone",
        "a tick",
        ("tick_ms",),
        "ms of processor",
        "`control.py`",
        measured_role="module",
    ),
    Entry(
        "proxy",
        "the whole list again",
        "reading it",
        ("read_list_ms",),
        "ms of processor",
        "`registry/board.py`",
        measured_role="module",
    ),
    Entry(
        "proxy",
        "the whole list again",
        "the module's part",
        ("list_ms",),
        "ms of processor",
        "`control.py`",
        measured_role="module",
    ),
    Entry(
        "booking server",
        "at rest",
        "connections",
        ("connections",),
        "connections",
        EVERY_LINK,
        measured_role="server",
    ),
    Entry(
        "booking server",
        "at rest",
        "states told",
        ("state_bytes_per_s",),
        "bytes/s",
        EVERY_LINK,
        measured_role="server",
    ),
    Entry(
        "booking server",
        "at rest",
        "probes",
        ("probes_per_s",),
        "probes/s",
        "`control.py`: 8 a second over all senders",
        measured_role="server",
    ),
    Entry("discovery", "at rest", "polls", ("rest", "polls_per_s"), "polls/s", "`registry/board.py`"),
    Entry("discovery", "at rest", "bytes", ("rest", "bytes_per_s"), "bytes/s", "`registry/board.py`"),
    Entry("discovery", "one change", "bytes", ("one_change", "bytes"), "bytes", "`registry/board.py`"),
    Entry(
        "discovery",
        "one change",
        "until the last has it",
        ("one_change", "last_s"),
        "s",
        "`registry/board.py`",
    ),
    Entry("discovery", "a zone lost", "bytes", ("zone_lost", "bytes"), "bytes", "relays: " + MISSING),
    Entry(
        "discovery",
        "a zone lost",
        "until the last has it",
        ("zone_lost", "last_s"),
        "s",
        "relays: " + MISSING,
    ),
    Entry(
        "discovery",
        "a zone back",
        "until the last has it",
        ("zone_back", "last_s"),
        "s",
        "relays: " + MISSING,
    ),
    Entry(
        "discovery", "after an hour's split", "bytes", ("coming_back", "bytes"), "bytes", "relays: " + MISSING
    ),
    Entry(
        "discovery",
        "after an hour's split",
        "until the last has it",
        ("coming_back", "last_s"),
        "s",
        "relays: " + MISSING,
    ),
    Entry(
        "control service",
        "at rest",
        "processor",
        ("rest", "core_percent"),
        "% of a core",
        "`stream/service.py`",
        measured_role="control",
    ),
    Entry(
        "control service",
        "at rest",
        "memory",
        ("rest", "rss_mb"),
        "MB",
        "`stream/service.py`",
        measured_role="control",
    ),
    Entry(
        "control service",
        "at rest",
        "threads",
        ("rest", "threads"),
        "threads",
        "`stream/service.py`: one for each follower",
        measured_role="control",
    ),
    Entry(
        "control service",
        "at rest",
        "bytes",
        ("rest", "bytes_per_s"),
        "bytes/s",
        "`stream/protocol.py`",
        measured_role="control",
    ),
    Entry(
        "control service",
        "all followers join",
        "until the last has the version",
        ("joined_s",),
        "s",
        "`stream/service.py`",
        need.IN_FORCE_S,
        "control",
    ),
    Entry(
        "control service",
        "a version",
        "until in force at the last",
        ("version", "last_s"),
        "s",
        "`stream/service.py`",
        need.IN_FORCE_S,
        "control",
    ),
    Entry(
        "control service",
        "a version",
        "processor",
        ("version", "cpu_s"),
        "s",
        "`stream/service.py`",
        measured_role="control",
    ),
    Entry(
        "control service",
        "a version",
        "bytes",
        ("version", "bytes_out"),
        "bytes",
        "`stream/protocol.py`: deltas",
        measured_role="control",
    ),
    Entry(
        "control service",
        "a version, one in ten restarts",
        "until in force at the last",
        ("with_restarts", "last_s"),
        "s",
        "`stream/service.py`",
        need.IN_FORCE_S,
        "control",
    ),
    Entry(
        "control service",
        "a version, the service killed",
        "until in force at the last",
        ("killed", "last_s"),
        "s",
        "replicas: " + MISSING,
        need.IN_FORCE_S,
        "control",
    ),
)


def figures(run: Run) -> list[Figure]:
    """All figures of the page."""
    return [_fitted(run, entry) for entry in FITTED] + _derived(run)


def _fitted(run: Run, entry: Entry) -> Figure:
    role = entry.measured_role or entry.role
    found = run.fit(role, *entry.path)
    basis, note = reach(found, need.SERVERS)
    value = run.mean_at_largest(role, *entry.path) if basis is Basis.MEASURED else found.at(need.SERVERS)
    return Figure(
        entry.role,
        entry.situation,
        entry.quantity,
        formula_of(found, "n"),
        value,
        entry.unit,
        basis,
        note,
        entry.mechanism,
        entry.budget,
    )


def _derived(run: Run) -> list[Figure]:
    """Figures that join several quantities."""
    return [
        _control_bytes(run),
        *(_calls_processor(run, *one) for one in READINGS),
        *_with_subset(run),
        _deepest(run),
        *_machines(run),
    ]


READINGS = (
    ("53,000 over all levels", need.CALLS_PER_PROXY_ALL_LEVELS),
    ("53,000 at the edge, 9 deep", need.CALLS_PER_PROXY_EDGE),
)


def _control_bytes(run: Run) -> Figure:
    """All that a proxy hears and says for control, at rest and on a day's mean of changes."""
    states = run.mean_at_largest("proxy", "rest", "state_bytes_per_s")
    polls = run.mean_at_largest("proxy", "rest", "list_bytes_per_s")
    stream = _stream_bytes(run)
    formula = f"states {states:.0f} + list {polls:.0f} + stream {stream:.1f}"
    return Figure(
        "proxy",
        "at rest",
        "all control",
        formula,
        states + polls + stream,
        "bytes/s",
        Basis.MEASURED,
        "sum of measured parts",
        EVERY_LINK,
        need.CONTROL_BYTES_PER_S,
    )


def _calls_processor(run: Run, reading: str, calls_per_s: float) -> Figure:
    """Processor share of a proxy with a subset at a reading of the calls a second.

    Not from the rows with a link to every server: there the processor is full, which hides what a call costs.
    """
    rows: list[dict[str, Any]] = run.roles["proxy"]["subset"]
    rest = _mean(column(rows, "rest", "core_percent"))
    measured_per_s = float(run.roles["proxy"]["calls_per_s"])
    each = (_mean(column(rows, "calls", "core_percent")) - rest) / measured_per_s
    beyond = calls_per_s / measured_per_s
    basis = Basis.MEASURED if beyond <= MEASURED_REACH else Basis.EXTRAPOLATED
    note = f"a subset of {run.roles['proxy']['subset_size']}, measured at {measured_per_s:g} calls/s"
    if basis is Basis.EXTRAPOLATED:
        note += f", {beyond:.1f} times beyond"
    return Figure(
        "proxy",
        reading,
        "processor",
        f"{rest:.3g} + {each:.3g} x {calls_per_s:.0f} calls/s",
        rest + each * calls_per_s,
        "% of a core",
        basis,
        note,
        "`core/planner.py`, `control.py`",
        100.0,
    )


SUBSET = "`subset/`: `[subset]` in an operator's file"
WITH_SUBSET: tuple[tuple[str, tuple[str, ...], str, float | None], ...] = (
    ("links", ("links",), "links", None),
    ("descriptors", ("rest", "descriptors"), "descriptors", need.DESCRIPTORS),
    ("memory", ("rest", "rss_mb"), "MB", need.CONTROL_MB),
    ("processor", ("rest", "core_percent"), "% of a core", need.CONTROL_CORE_PERCENT),
    ("processor with calls", ("calls", "core_percent"), "% of a core", None),
    ("added, 50 in 100", ("single", "added", "p50"), "ms", None),
    ("added, 99 in 100", ("single", "added", "p99"), "ms", need.ADDED_P99_MS),
)


def _with_subset(run: Run) -> list[Figure]:
    """A proxy with all servers listed and a subset of them, under the limits that are allowed."""
    rows: list[dict[str, Any]] = run.roles["proxy"]["subset"]
    size = run.roles["proxy"]["subset_size"]
    situation = f"a subset of {size}"
    note = f"{rows[0]['servers']} listed, {rows[0]['memory_mb']} MB, mean of {len(rows)}"
    found = [
        Figure(
            "proxy",
            situation,
            quantity,
            "as measured",
            _mean(column(rows, *path)),
            unit,
            Basis.MEASURED,
            note,
            SUBSET,
            budget,
        )
        for quantity, path, unit, budget in WITH_SUBSET
    ]
    states = _mean(column(rows, "rest", "state_bytes_per_s"))
    polls = _mean(column(rows, "rest", "list_bytes_per_s"))
    stream = _stream_bytes(run)
    found.append(
        Figure(
            "proxy",
            situation,
            "all control",
            f"states {states:.0f} + list {polls:.0f} + stream {stream:.1f}",
            states + polls + stream,
            "bytes/s",
            Basis.MEASURED,
            note,
            SUBSET,
            need.CONTROL_BYTES_PER_S,
        )
    )
    return found


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _stream_bytes(run: Run) -> float:
    """Bytes a second of a follower: beats, and a day's changes spread over it."""
    followers = run.mean_at_largest("control", "followers")
    beats = run.mean_at_largest("control", "rest", "bytes_per_s") / followers
    version = run.mean_at_largest("control", "version", "bytes_out") / followers
    return beats + need.CHANGES_PER_DAY / need.DAY_S * version


def _deepest(run: Run) -> Figure:
    """Attempts for each call offered when the deepest of all levels fails."""
    rows = [row for row in run.rows("retry") if row["depth"] == max(column(run.rows("retry"), "depth"))]
    value = sum(column(rows, "attempts_per_call")) / len(rows)
    return Figure(
        "callers",
        f"the deepest of {rows[0]['depth']} services fails",
        "attempts a call",
        f"all levels together; 6 a level would allow {rows[0]['bound']:,} at the deepest",
        value,
        "attempts",
        Basis.MEASURED,
        "virtual time, the real module",
        "`control.py`: failing servers; retry budget over levels: " + MISSING,
    )


def _machines(run: Run) -> list[Figure]:
    """The machines set aside for control: what the two services need on them."""
    memory = run.mean_at_largest("control", "rest", "rss_mb")
    board = run.mean_at_largest("discovery", "rest", "core_percent")
    control = run.mean_at_largest("control", "rest", "core_percent")
    why = "discovery is a stand-in here, and there is one of each service"
    return [
        Figure(
            "control machines",
            "at rest",
            "processor, one of each service",
            f"control {control:.3g} + discovery {board:.3g}",
            control + board,
            "% of a core",
            Basis.ESTIMATE,
            why,
            "replicas, relays: " + MISSING,
            100.0 * need.CONTROL_MACHINES,
        ),
        Figure(
            "control machines",
            "at rest",
            "memory of the control service",
            "as measured",
            memory,
            "MB",
            Basis.ESTIMATE,
            why,
            "replicas: " + MISSING,
        ),
    ]


def over_budget(found: Iterable[Figure]) -> list[Figure]:
    """What is over its budget, the worst first."""
    over = [figure for figure in found if figure.over > 1.0]
    return sorted(over, key=lambda figure: (-figure.over, figure.role, figure.situation, figure.quantity))
