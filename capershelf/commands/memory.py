"""`capershelf memory`: inspect the memory of a proxy, and edit it while the proxy is stopped.

Exit codes: 0 success, 1 corrupt, inaccessible or empty memory, 2 wrong usage, 3 an unsupported newer format.
"""

from __future__ import annotations

import datetime
import functools
import json
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NoReturn, ParamSpec

import click
import msgspec
from rich.console import Console
from rich.table import Table

from capershelf import config as configuration
from capershelf.config import MemorySettings
from capershelf.memory.ageing import CheckpointAge, HalfLives, age_new_call_rate, age_server, planner_share
from capershelf.memory.disk import FolderLockedError, Folder
from capershelf.memory.format import FORMAT, encode
from capershelf.memory.memory import half_lives_from, read_key
from capershelf.memory.records import Checkpoint
from capershelf.memory.store import FoundFile, Store

EXIT_SUCCESS = 0
EXIT_UNUSABLE = 1
EXIT_NEWER_FORMAT = 3
VALUE_COLUMNS = ("answers/s", "wait ms", "way ms", "threshold", "silent")
P = ParamSpec("P")


@click.group(name="memory")
def group() -> None:
    """What a proxy remembers of its booking servers (docs/memory.md)."""


class MemoryFolder:
    """The memory folder given by the options: --folder, or --config with an operator's file."""

    def __init__(self, path: str | None, folder: str | None, key_file: str | None) -> None:
        if (path is None) is (folder is None):
            raise click.UsageError("give either --config FILE or --folder FOLDER")
        try:
            config = configuration.load({}, path) if path is not None else None
            settings = config.memory if config is not None else MemorySettings(str(folder))
            if settings is None:
                raise click.UsageError(f"{path} has no [memory] table")
            self.key = read_key(key_file or settings.key_file)
        except ValueError as problem:
            raise click.UsageError(str(problem)) from problem
        self.settings: MemorySettings = settings
        self.senders = config.settings.gateway_count if config is not None else 0
        self.planners = config.planners if config is not None else 1
        self.folder = Folder(Path(settings.folder))
        self.store = Store(self.folder, "", self.key)

    def read_generations(self) -> list[FoundFile]:
        """Read both generations, newest first; exits if the folder is inaccessible."""
        try:
            return self.store.inspect()
        except OSError as problem:
            fail(f"{self.settings.folder}: {problem}", EXIT_UNUSABLE)

    def book(self) -> Checkpoint:
        """Return the newest valid book; exits if there is none."""
        generations = self.read_generations()
        for generation in generations:
            if generation.kind == "newer":
                fail(f"{generation.name}: {generation.problem}", EXIT_NEWER_FORMAT)
        if (
            book := next((one.checkpoint for one in generations if one.checkpoint is not None), None)
        ) is None:
            problems = "\n".join(f"{one.name}: {one.problem}" for one in generations)
            fail(problems or "nothing is remembered here", EXIT_UNUSABLE)
        return book

    def lock(self) -> None:
        """Lock the folder until the command ends, so that no proxy overwrites its changes."""
        click.get_current_context().call_on_close(self.folder.unlock)
        try:
            self.folder.lock()
        except FolderLockedError:
            fail("a running proxy holds this folder; stop it first", EXIT_UNUSABLE)
        except OSError as problem:
            fail(str(problem), EXIT_UNUSABLE)

    def save(self, book: Checkpoint) -> None:
        """Write a book; exits if it cannot be written."""
        try:
            self.store.save(book)
        except OSError as problem:
            fail(f"not written: {problem}", EXIT_UNUSABLE)


def fail(text: str, code: int) -> NoReturn:
    """Print an error message and exit."""
    click.echo(text, err=True)
    sys.exit(code)


def folder_options(command: Callable[P, None]) -> Callable[P, None]:
    """Add the options that select the memory folder, and pass it as the first argument."""

    @click.option("--config", "path", type=click.Path(dir_okay=False), help="An operator's TOML file.")
    @click.option("--folder", type=click.Path(file_okay=False), help="The folder itself.")
    @click.option("--key-file", type=click.Path(dir_okay=False), help="The operator's key.")
    @functools.wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> None:
        options: dict[str, Any] = dict(kwargs)
        memory = MemoryFolder(options.pop("path"), options.pop("folder"), options.pop("key_file"))
        command(memory, **options)  # type: ignore[arg-type]

    return wrapped


JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="One JSON object.")


def to_json_object(book: Checkpoint) -> dict[str, Any]:
    """Return a book as an object that json can write."""
    fields = msgspec.to_builtins(book)
    assert isinstance(fields, dict)
    return fields


def format_time(at_ms: float | None) -> str:
    """Format a time in milliseconds since the epoch as UTC."""
    if at_ms is None:
        return "long ago"
    return datetime.datetime.fromtimestamp(at_ms / 1000.0, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


def format_value(value: float | None, spec: str = ".1f") -> str:
    """Format a number; `-` if it is unknown."""
    return "-" if value is None else format(value, spec)


def show_table(title: str, columns: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> None:
    """Print a table at the terminal's width, or at a fixed one without a terminal; values align right."""
    console = Console(width=None if sys.stdout.isatty() else 160, highlight=False)
    table = Table(title=title, title_justify="left")
    for number, column in enumerate(columns):
        is_text = number < len(columns) - len(VALUE_COLUMNS)
        table.add_column(column, justify="left" if is_text else "right", no_wrap=True)
    for row in rows:
        table.add_row(*row)
    console.print(table)


@group.command()
@folder_options
@JSON_OPTION
def show(memory: MemoryFolder, as_json: bool) -> None:
    """Show the newest valid book, as it was written."""
    book = memory.book()
    if as_json:
        click.echo(json.dumps(to_json_object(book)))
        return
    rows = [
        (
            s.uid,
            s.endpoint,
            format_time(s.started_ms),
            format_time(s.seen_ms),
            format_value(s.rate_per_s, ".2f"),
            format_value(s.wait_ms),
            format_value(s.base_ms),
            format_value(s.threshold),
            "yes" if s.silent else "",
        )
        for s in book.servers
    ]
    title = (
        f"{book.proxy}, generation {book.generation}, {format_time(book.saved_ms)} UTC, "
        f"release {book.release}, one of {book.senders} proxies, {book.asked_per_s:.1f} asked a second"
    )
    show_table(title, ("server", "address", "started", "seen", *VALUE_COLUMNS), rows)


@group.command()
@folder_options
@JSON_OPTION
def check(memory: MemoryFolder, as_json: bool) -> None:
    """Check both generations; changes nothing."""
    generations = memory.read_generations()
    if as_json:
        click.echo(
            json.dumps(
                {
                    "generations": [
                        {
                            "name": one.name,
                            "kind": one.kind or "good",
                            "problem": one.problem,
                            "generation": one.checkpoint.generation if one.checkpoint else None,
                        }
                        for one in generations
                    ]
                }
            )
        )
    else:
        for one in generations:
            state = (
                f"good, generation {one.checkpoint.generation}"
                if one.checkpoint
                else f"{one.kind}: {one.problem}"
            )
            click.echo(f"{one.name}: {state}")
        if not generations:
            click.echo("nothing is remembered here")
    if any(one.kind == "newer" for one in generations):
        sys.exit(EXIT_NEWER_FORMAT)
    sys.exit(
        EXIT_SUCCESS
        if generations and all(one.checkpoint is not None for one in generations)
        else EXIT_UNUSABLE
    )


@group.command()
@folder_options
@JSON_OPTION
@click.option(
    "--at",
    "at",
    default="now",
    show_default=True,
    help="now, a UTC time (2026-12-01T12:00:00), or seconds after the write (+30).",
)
def age(memory: MemoryFolder, as_json: bool, at: str) -> None:
    """Show the values of a proxy that starts then, before the list tells which servers are unchanged."""
    book = memory.book()
    at_ms = parse_time(at, book)
    clocks = CheckpointAge(book.saved_ms, at_ms)
    half_lives: HalfLives = half_lives_from(memory.settings)
    max_age_ms = memory.settings.most_age_ms
    share = planner_share(book.senders, memory.senders or book.senders, memory.planners)
    aged = [age_server(record, clocks, half_lives, max_age_ms, share) for record in book.servers]
    new_calls_per_s = age_new_call_rate(book, clocks, half_lives, max_age_ms, memory.planners)
    known = [one for one in aged if one is not None]
    if as_json:
        click.echo(
            json.dumps(
                {
                    "at_ms": at_ms,
                    "age_ms": at_ms - book.saved_ms,
                    "asked_per_s": new_calls_per_s,
                    "servers": [msgspec.to_builtins(one) for one in known],
                }
            )
        )
        return
    if clocks.ahead_ms:
        ahead_s = clocks.ahead_ms / 1000.0
        click.echo(f"the book is {ahead_s:.0f} s from the future; the same time is taken as its age")
    rows = [
        (
            one.server,
            format_value(one.rate_per_s, ".2f"),
            format_value(one.wait_ms),
            format_value(one.base_latency_ms),
            format_value(one.threshold),
            "yes" if one.ejected else "",
        )
        for one in known
    ]
    after_s = (at_ms - book.saved_ms) / 1000.0
    title = f"{book.proxy} {after_s:.0f} s after the write, {new_calls_per_s:.1f} asked a second"
    show_table(title, ("server", *VALUE_COLUMNS), rows)


def parse_time(at: str, book: Checkpoint) -> float:
    """Return the time given by --at in milliseconds since the epoch."""
    try:
        if at == "now":
            return time.time() * 1000.0
        if at.startswith("+"):
            return book.saved_ms + 1000.0 * float(at)
        moment = datetime.datetime.fromisoformat(at)
        return moment.replace(tzinfo=moment.tzinfo or datetime.UTC).timestamp() * 1000.0
    except ValueError:
        raise click.UsageError(f"--at: {at!r} is not a time") from None


@group.command()
@folder_options
@click.option(
    "--out",
    type=click.Path(dir_okay=False, writable=True),
    help="Write to this file instead of standard output.",
)
def export(memory: MemoryFolder, out: str | None) -> None:
    """Write the newest valid book as JSON, for other tools."""
    text = json.dumps(to_json_object(memory.book()), indent=1)
    if out is None:
        click.echo(text)
        return
    try:
        Path(out).write_text(text + "\n")
    except OSError as problem:
        fail(str(problem), EXIT_UNUSABLE)


@group.command()
@folder_options
@click.option("--new-key-file", type=click.Path(dir_okay=False), help="Use this key from now on.")
@click.option("--unkey", is_flag=True, help="Store the memory without a key.")
def migrate(memory: MemoryFolder, new_key_file: str | None, unkey: bool) -> None:
    """Rewrite the book in this release's format, with the same key or another one."""
    if unkey and new_key_file:
        raise click.UsageError("--unkey and --new-key-file exclude each other")
    try:
        key = None if unkey else read_key(new_key_file) if new_key_file else memory.key
    except ValueError as problem:
        raise click.UsageError(str(problem)) from problem
    memory.lock()
    book = memory.book()
    memory.store = Store(memory.folder, "", key)
    # Both files: a generation with the old key would be discarded at the next start.
    for generation in (book.generation + 1, book.generation + 2):
        book = msgspec.structs.replace(book, generation=generation)
        memory.save(book)
    click.echo(f"generation {book.generation}, format {FORMAT}, {len(encode(book, key))} bytes")


@group.command()
@folder_options
@click.argument("server")
def forget(memory: MemoryFolder, server: str) -> None:
    """Forget one server, by its uid, in both generations."""
    memory.lock()
    book = memory.book()
    kept = tuple(record for record in book.servers if record.uid != server)
    if len(kept) == len(book.servers):
        fail(f"{server} is not remembered", EXIT_UNUSABLE)
    for generation in (book.generation + 1, book.generation + 2):
        memory.save(msgspec.structs.replace(book, generation=generation, servers=kept))
    click.echo(f"{server} is forgotten")
