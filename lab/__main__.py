"""python -m lab"""

from __future__ import annotations

import json
import os
import sys
from typing import Any

import click
from loguru import logger

from lab import fuzz, memory_cost, restart, spread, stream, takeover
from lab.capacity import experiment as capacity
from lab.capacity import page as capacity_page
from lab.capacity.hollow import HollowPeerError
from lab.fleet import day as fleet_day
from lab.fleet import soak
from lab.fleet.script import SCRIPTS, Shape


@click.group()
def main() -> None:
    """Experiments in virtual time."""


@main.command("restart")
@click.option("--seeds", default=20, show_default=True, help="Days for each arm.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--load", "loads", multiple=True, type=float, default=(0.9, 1.0, 1.1), show_default=True)
@click.option("--restart", "who", type=click.Choice(["one", "all"]), help="Who restarts; both if left out.")
@click.option(
    "--memory",
    "memories",
    multiple=True,
    type=click.Choice(["fresh", "hour", "day"]),
    default=("fresh", "hour", "day"),
    show_default=True,
)
@click.option(
    "--world",
    "worlds",
    multiple=True,
    type=click.Choice(list(restart.WORLDS)),
    default=tuple(restart.WORLDS),
    show_default=True,
)
@click.option("--workers", default=max(1, (os.cpu_count() or 2) - 2), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object on the last line.")
def restart_command(
    seeds: int,
    first: int,
    loads: tuple[float, ...],
    who: str | None,
    memories: tuple[str, ...],
    worlds: tuple[str, ...],
    workers: int,
    as_json: bool,
) -> None:
    """Worth served after a restart, with memory and without."""
    logger.remove()
    restarts = (False, True) if who is None else (who == "all",)
    scope = restart.Scope(loads, restarts, memories, worlds)
    found = restart.experiment(seeds, first, scope, workers)
    rows: Any = found["rows"]
    for row in rows:
        line = (
            f"{row['restart']:>4} at {row['load']:.1f}, {row['world']:<13} {row['seconds']:>2.0f} s "
            f"{row['memory']:<5} {row['worth']:.3f}"
        )
        if row["memory"] != "none":
            line += f"  {row['gain']:+.4f} ({row['low']:+.4f} to {row['high']:+.4f})"
        click.echo(line)
    click.echo(f"rules broken: {found['broken'] or 'none'}")
    if as_json:
        click.echo(json.dumps(found))


@main.command("memory-cost")
@click.option("--servers", multiple=True, type=int, default=(10, 1000, 5000), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object on the last line.")
def memory_cost_command(servers: tuple[int, ...], as_json: bool) -> None:
    """What remembering costs a planner, the disk and a start."""
    logger.remove()
    rows = [memory_cost.cost(number) for number in servers]
    for row in rows:
        click.echo("  ".join(f"{name} {value:g}" for name, value in row.items()))
    if as_json:
        click.echo(json.dumps({"experiment": "memory-cost", "rows": rows}))


@main.command("spread")
@click.option("--proxies", "sizes", multiple=True, type=int, default=(4, 50, 200), show_default=True)
@click.option("--load", "loads", multiple=True, type=float, default=(0.6, 0.85), show_default=True)
@click.option(
    "--world",
    "worlds",
    multiple=True,
    type=click.Choice(spread.WORLDS),
    default=("quiet",),
    show_default=True,
)
@click.option(
    "--form",
    type=click.Choice(spread.FORMS),
    default="even",
    show_default=True,
    help="planned: lines and processors of other sizes than the traffic, states told unasked.",
)
@click.option(
    "--who",
    "whos",
    multiple=True,
    default=("module", *spread.ROUTERS),
    show_default=True,
    help="module, module@COMMIT for the module as it was, or a router that no proxy can be.",
)
@click.option("--seeds", default=3, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--servers", default=24, show_default=True)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--workers", default=max(1, (os.cpu_count() or 2) - 2), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object on the last line.")
def spread_command(
    sizes: tuple[int, ...],
    loads: tuple[float, ...],
    worlds: tuple[str, ...],
    form: str,
    whos: tuple[str, ...],
    seeds: int,
    first: int,
    servers: int,
    seconds: float,
    workers: int,
    as_json: bool,
) -> None:
    """How evenly proxies that see little load the booking servers, and what kept them where they did not."""
    logger.remove()
    for who in whos:
        if who != "module" and who not in spread.ROUTERS and not who.startswith("module@"):
            raise click.BadParameter(f"{who}: module, module@COMMIT, {', '.join(spread.ROUTERS)}")
    found = spread.experiment(
        [
            spread.Arm(size, load, world, who, seed, servers, seconds, form)
            for size in sizes
            for load in loads
            for world in worlds
            for who in whos
            for seed in range(first, first + seeds)
        ],
        workers,
    )
    for row in found["rows"]:
        beliefs = ", ".join(f"{name} {count}" for name, count in row["beliefs"].items())
        click.echo(
            f"{row['proxies']:>4} proxies at {row['load']:.2f}, {row['world']:<8} {row['who']:<14} "
            f"{row['service']:.3f} ({row['low']:.3f} to {row['high']:.3f}), worst 10 s "
            f"{row['worst']:.3f}; refused {row['refused']:.3f}, "
            f"of that while able {row['while_able']:.3f}, "
            f"late {row['late']:.3f}{'; ' + beliefs if beliefs else ''}"
        )
    if as_json:
        click.echo(json.dumps(found))


@main.command("stream")
@click.option("--proxies", "sizes", multiple=True, type=int, default=(1, 100, 1000), show_default=True)
@click.option("--versions", default=10_000, show_default=True, help="For the look at memory.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object on the last line.")
def stream_command(sizes: tuple[int, ...], versions: int, seed: int, as_json: bool) -> None:
    """Versions from one service to many proxies, in virtual time."""
    found = stream.experiment(sizes, versions, seed)
    for line in stream.text_of(found):
        click.echo(line)
    if as_json:
        click.echo(json.dumps(found))


@main.command("takeover")
@click.option("--pairs", default=5, show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="For each run.")
@click.option("--rate", default=200.0, show_default=True, help="Calls a second.")
@click.option(
    "--switch",
    default=0.5,
    show_default=True,
    help="Milliseconds between switches of threads, as the stream sets them; 0: the usual 5.",
)
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object on the last line.")
def takeover_command(pairs: int, seconds: float, rate: float, switch: float, as_json: bool) -> None:
    """What a version each second costs the calls, on loopback."""
    logger.remove()
    found = takeover.experiment(pairs, seconds, rate, switch)
    click.echo("\n".join(f"{name}: {value}" for name, value in found.items()))
    if as_json:
        click.echo(json.dumps(found))


@main.command("fuzz")
@click.option("--conversations", default=20_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object on the last line.")
def fuzz_command(conversations: int, seed: int, as_json: bool) -> None:
    """Break the stream's conversations; fails where an end raises or takes what nobody published."""
    found = fuzz.experiment(conversations, seed)
    click.echo(f"{found['messages']} messages in {conversations} conversations, seed {seed}: nothing wrong")
    if as_json:
        click.echo(json.dumps({"experiment": "fuzz"} | found))


@main.command("capacity")
@click.option(
    "--role",
    "roles",
    multiple=True,
    type=click.Choice(list(capacity.ROLES)),
    default=tuple(capacity.ROLES),
    help="These roles only.  [default: all]",
)
@click.option("--quick", is_flag=True, help="Small sizes, under two minutes.")
@click.option("--record", is_flag=True, help="Keep what these roles gave in docs/capacity.json.")
@click.option("--page", is_flag=True, help="Measure nothing: write docs/CAPACITY.md from docs/capacity.json.")
@click.option("--json", "as_json", is_flag=True, help="The result as one JSON object on the last line.")
def capacity_command(roles: tuple[str, ...], quick: bool, record: bool, page: bool, as_json: bool) -> None:
    """What each role costs at growing sizes, and the page that is made of it."""
    logger.remove()
    if record and quick:
        raise click.UsageError("--record needs the full sizes")
    try:
        if page:
            capacity_page.PAGE.write_text(
                capacity_page.render(capacity_page.PAGE.read_text(), capacity_page.read_record())
            )
            return
        found = capacity.run(roles, quick, lambda line: click.echo(line, err=True))
    except (OSError, ValueError, HollowPeerError) as problem:
        raise click.ClickException(str(problem)) from problem
    if record:
        capacity_page.record(found)
    if as_json:
        click.echo(json.dumps(found))
    elif not record:
        click.echo(json.dumps(found, indent=1))


@main.command("fleet")
@click.argument("days", nargs=-1, type=click.Choice(list(SCRIPTS)))
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,), show_default=True)
@click.option("--proxies", default=8, show_default=True, help="Processes of the program.")
@click.option("--servers", default=4, show_default=True)
@click.option("--spares", default=2, show_default=True, help="Booking servers that may come up later.")
@click.option("--zones", default=2, show_default=True)
@click.option("--seconds", default=8.0, show_default=True, help="In which callers come.")
@click.option("--load", default=0.6, show_default=True, help="Of what the booking servers can do together.")
@click.option("--per-server", default=15.0, show_default=True, help="Calls a second that one does.")
@click.option("--subset", default=0, show_default=True, help="Members of a service for each proxy; 0: all.")
@click.option("--logs", type=click.Path(file_okay=False), help="Folder to keep the processes' logs in.")
@click.option("--log-level", default="INFO", show_default=True, help="Of the processes.")
@click.option("--json", "as_json", is_flag=True, help="Each day as one JSON object on a line.")
def fleet_command(
    days: tuple[str, ...],
    seeds: tuple[int, ...],
    proxies: int,
    servers: int,
    spares: int,
    zones: int,
    seconds: float,
    load: float,
    per_server: float,
    subset: int,
    logs: str | None,
    log_level: str,
    as_json: bool,
) -> None:
    """Days of several processes with faults between them; fails where a rule is broken.

    Days named: these; none: all.
    """
    kept = True
    extra = {"subset": {"size": subset}} if subset else {}
    for name in days or tuple(SCRIPTS):
        for seed in seeds:
            shape = Shape(proxies, servers, zones, spares, seconds)
            report = fleet_day.play(
                fleet_day.Plan(
                    name, seed, shape, load, per_server, options=("--log-level", log_level), extra=extra
                )
            )
            kept &= not report.violations
            if as_json:
                click.echo(json.dumps(report.as_json()))
            else:
                click.echo(report.text())
            for one in report.violations[:20]:
                click.echo(f"  {one}", err=True)
            if logs is not None:
                report.keep_logs(logs)
    sys.exit(not kept)


@main.command("soak")
@click.option("--seeds", default=50, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--workers", default=8, show_default=True, help="Seeds at a time.")
@click.option("--logs", type=click.Path(file_okay=False), help="Folder to keep the processes' logs in.")
def soak_command(seeds: int, first: int, workers: int, logs: str | None) -> None:
    """Seeds of the day storm; fails where a rule is broken or a seed gives no verdict."""
    options = ("--logs", os.path.abspath(logs), "--log-level", "DEBUG") if logs is not None else ()
    kept = 0
    for result in soak.play(range(first, first + seeds), workers, options):
        kept += result.kept
        click.echo(result.text)
    click.echo(f"rules kept on {kept} of {seeds} seeds")
    sys.exit(kept != seeds)


if __name__ == "__main__":
    main(prog_name="python -m lab")
