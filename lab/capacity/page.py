"""The tables of docs/CAPACITY.md, made from a recorded run and put between the page's markers."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from lab.capacity.plan import LATENCY, Figure, Run, figures, over_budget

ROOT = Path(__file__).resolve().parents[2]
RECORD = ROOT / "docs" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
ROLES = ("proxy", "booking server", "discovery", "control service", "control machines", "callers")
MARKER = re.compile(r"<!-- table: (?P<name>[a-z -]+) -->\n(?P<body>.*?)<!-- end -->", re.DOTALL)


class PageError(ValueError):
    """The page and the run don't go together: write the page again with `lab capacity --page`."""


def read_record() -> Run:
    return Run(json.loads(RECORD.read_text()))


def record(found: dict[str, Any]) -> None:
    """Keep a run: its roles replace those of the record, the others stay as they were measured."""
    before = json.loads(RECORD.read_text())["roles"] if RECORD.exists() else {}
    RECORD.write_text(json.dumps(found | {"roles": before | found["roles"]}, indent=1) + "\n")


def render(page: str, run: Run) -> str:
    """The page with the tables of this run; PageError for a marker that names no table."""
    tables = tables_of(run)
    if unknown := sorted({match["name"] for match in MARKER.finditer(page)} - set(tables)):
        raise PageError(f"the page asks for a table that there is none of: {unknown[0]}")
    return MARKER.sub(
        lambda match: f"<!-- table: {match['name']} -->\n{tables[match['name']]}<!-- end -->", page
    )


def tables_of(run: Run) -> dict[str, str]:
    """All tables by name."""
    found = figures(run)
    tables = {role: _figures_table([one for one in found if one.role == role]) for role in ROLES}
    tables["over budget"] = _over_table(over_budget(found))
    tables["proxy rows"] = _proxy_rows(run)
    tables["retry rows"] = _retry_rows(run)
    tables["stages"] = _stages(run)
    tables["latency rows"] = _latency_rows(run)
    tables["run"] = _run_table(run)
    return tables


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """A Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def number(value: float) -> str:
    """Three significant digits, with thousands set apart."""
    if abs(value) >= 1000.0:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _figures_table(found: Sequence[Figure]) -> str:
    rows = [
        [
            one.situation,
            one.quantity,
            f"{number(one.value)} {one.unit}",
            _budget(one),
            one.formula,
            f"{one.basis.value}: {one.note}",
            one.mechanism,
        ]
        for one in found
    ]
    head = ("when", "what", "at full size", "budget", "formula", "stands on", "carried by")
    return table(head, rows)


def _budget(figure: Figure) -> str:
    if figure.budget is None:
        return ""
    return f"{number(figure.budget)}, {'over' if figure.over > 1.0 else 'within'} ({figure.over:.2g}x)"


def _over_table(found: Sequence[Figure]) -> str:
    rows = [
        [
            str(rank),
            one.role,
            one.situation,
            one.quantity,
            f"{number(one.value)} {one.unit}",
            f"{one.over:.3g}",
            one.basis.value,
            one.mechanism,
        ]
        for rank, one in enumerate(found, 1)
    ]
    return table(
        ("", "role", "when", "what", "at full size", "times its budget", "stands on", "carried by"), rows
    )


def _proxy_rows(run: Run) -> str:
    rows = [
        _proxy_row(row)
        for row in [*run.rows("proxy"), run.roles["proxy"]["allowed"], *run.roles["proxy"]["subset"]]
    ]
    head = (
        "listed",
        "links",
        "descriptors",
        "threads",
        "MB",
        "core % at rest",
        "core % with calls",
        "states B/s",
        "list B/s",
        "direct p50 / p99",
        "added p50 / p99 / p99.9",
        "9 in a row added p50 / p99",
        "calls answered, refused",
    )
    return table(head, rows)


def _proxy_row(row: dict[str, Any]) -> list[str]:
    rest, single, chain = row["rest"], row["single"], row["chain"]
    added, direct, chained = single["added"], single["direct"], chain["added"]
    limits = f" ({row['memory_mb']} MB, {row['descriptors_allowed']} allowed)"
    return [
        f"{row['servers']}{limits}",
        str(row["links"]),
        str(rest["descriptors"]),
        str(rest["threads"]),
        f"{rest['rss_mb']:.1f}",
        f"{rest['core_percent']:.2f}",
        f"{row['calls']['core_percent']:.1f}",
        f"{rest['state_bytes_per_s']:.0f}",
        f"{rest['list_bytes_per_s']:.0f}",
        f"{direct['p50']:.2f} / {direct['p99']:.2f}",
        f"{added['p50']:.2f} / {added['p99']:.2f} / {added['p99.9']:.2f}",
        f"{chained['p50']:.2f} / {chained['p99']:.2f}",
        f"{single['answered']}, {single['refused']}",
    ]


def _stages(run: Run) -> str:
    """The stages of a call, the means of the traced rows."""
    traced = [row["stages"] for row in run.rows(LATENCY) if row["traced"]]
    rows = [[stages[0]["stage"], *_stage(stages)] for stages in zip(*traced, strict=True)]
    hand_over = _percentiles([run.roles[LATENCY]["hand_over_ms"]])
    rows.append(["a hand-over in an idle process", *hand_over, "", ""])
    return table(("stage", "took, 50 in 100, ms", "99 in 100", "processor, 50 in 100, ms", "99 in 100"), rows)


def _stage(repeats: Sequence[dict[str, Any]]) -> list[str]:
    return [
        text
        for key in ("took_ms", "processor_ms")
        for text in _percentiles([repeat[key] for repeat in repeats])
    ]


def _percentiles(repeats: Sequence[dict[str, float]]) -> list[str]:
    """The means of both percentiles, empty where nothing was measured."""
    return [
        f"{sum(one[name] for one in repeats) / len(repeats):.3f}" if all(repeats) else ""
        for name in ("p50", "p99")
    ]


def _latency_rows(run: Run) -> str:
    rows = []
    for row in run.rows(LATENCY):
        direct, added = row["single"]["direct"], row["single"]["added"]
        rows.append(
            [
                f"{row['links']} of {row['servers']}",
                "traced" if row["traced"] else "as it is",
                f"{direct['p50']:.2f} / {direct['p99']:.2f}",
                f"{added['p50']:.2f} / {added['p99']:.2f}",
                f"{row['processor_ms_a_call']:.2f}",
                f"{row['switches_a_call']:.1f}",
                f"{row['single']['answered']}, {row['single']['refused']}",
            ]
        )
    return table(
        (
            "links",
            "program",
            "direct p50 / p99, ms",
            "added p50 / p99, ms",
            "processor a call, ms",
            "threads gone to sleep, a call",
            "calls answered, refused",
        ),
        rows,
    )


def _retry_rows(run: Run) -> str:
    rows = [
        [
            str(row["depth"]),
            str(row["seed"]),
            f"{row['attempts_per_call']:.2f}",
            f"{row['deepest_per_call']:.2f}",
            f"{row['bound']:,}",
            f"{row['healthy_per_call']:.2f}",
            f"{row['after_stands']} of {row['after_calls']}",
            "never" if row["first_stands_s"] is None else f"{row['first_stands_s']} s",
            "yes" if row["cut_off"] else "no",
        ]
        for row in run.rows("retry")
    ]
    return table(
        (
            "levels",
            "seed",
            "attempts a call",
            "of these at the deepest",
            "bound there",
            "when healthy",
            "stand in 30 s once mended",
            "the first after",
            "cut off",
        ),
        rows,
    )


def _run_table(run: Run) -> str:
    found = run.found
    rows = [[name, str(len(role["rows"]))] for name, role in found["roles"].items()]
    text = table(("role", "rows"), rows)
    return f"{text}\nProcessors {found['processors']}, Python {found['python']}, quick: {found['quick']}.\n"
