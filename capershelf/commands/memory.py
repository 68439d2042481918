"""`capershelf memory`: look into what a proxy remembers, and mend it while the proxy is stopped.

Exit codes: 0 good, 1 spoilt (or refused, or nothing there), 2 usage, 3 a format newer than known.
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

GOOD, SPOILT, NEWER = 0, 1, 3
FIGURES = ("answers/s", "wait ms", "way ms", "threshold", "silent")
P = ParamSpec("P")


@click.group(name="memory")
def group() -> None:
    """What a proxy remembers of its booking servers (docs/memory.md)."""


class Opened:
    """A folder as the options name it: by an operator's file, or by itself."""

    def __init__(self, path: str | None, folder: str | None, key_file: str | None) -> None:
        if (path is None) is (folder is None):
            raise click.UsageError("give either --config FILE or --folder FOLDER")
        try:
            found = configuration.load({}, path) if path is not None else None
            settings = found.memory if found is not None else MemorySettings(str(folder))
            if settings is None:
                raise click.UsageError(f"{path} has no [memory] table")
            self.key = read_key(key_file or settings.key_file)
        except ValueError as problem:
            raise click.UsageError(str(problem)) from problem
        self.settings: MemorySettings = settings
        self.senders = found.settings.gateway_count if found is not None else 0
        self.planners = found.planners if found is not None else 1
        self.folder = Folder(Path(settings.folder))
        self.store = Store(self.folder, "", self.key)

    def look(self) -> list[FoundFile]:
        try:
            return self.store.inspect()
        except OSError as problem:
            fail(f"{self.settings.folder}: {problem}", SPOILT)

    def book(self) -> Checkpoint:
        """The newest whole book; ends the program where there is none."""
        found = self.look()
        for one in found:
            if one.kind == "newer":
                fail(f"{one.name}: {one.problem}", NEWER)
        if (book := next((one.checkpoint for one in found if one.checkpoint is not None), None)) is None:
            said = "\n".join(f"{one.name}: {one.problem}" for one in found)
            fail(said or "nothing is remembered here", SPOILT)
        return book

    def hold(self) -> None:
        """Guards the file against a proxy that would write over what is changed here."""
        click.get_current_context().call_on_close(self.folder.unlock)
        try:
            self.folder.lock()
        except FolderLockedError:
            fail("a running proxy holds this folder; stop it first", SPOILT)
        except OSError as problem:
            fail(str(problem), SPOILT)

    def save(self, book: Checkpoint) -> None:
        try:
            self.store.save(book)
        except OSError as problem:
            fail(f"not written: {problem}", SPOILT)


def fail(text: str, code: int) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(code)


def on_a_folder(command: Callable[P, None]) -> Callable[P, None]:
    """The options that name the folder."""

    @click.option("--config", "path", type=click.Path(dir_okay=False), help="An operator's TOML file.")
    @click.option("--folder", type=click.Path(file_okay=False), help="The folder itself.")
    @click.option("--key-file", type=click.Path(dir_okay=False), help="The operator's key.")
    @functools.wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> None:
        options: dict[str, Any] = dict(kwargs)
        opened = Opened(options.pop("path"), options.pop("folder"), options.pop("key_file"))
        command(opened, **options)  # type: ignore[arg-type]

    return wrapped


AS_JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object.")


def plain(book: Checkpoint) -> dict[str, Any]:
    found = msgspec.to_builtins(book)
    assert isinstance(found, dict)
    return found


def instant(at_ms: float | None) -> str:
    if at_ms is None:
        return "long ago"
    return datetime.datetime.fromtimestamp(at_ms / 1000.0, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


def figure(value: float | None, form: str = ".1f") -> str:
    return "-" if value is None else format(value, form)


def show_table(title: str, columns: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> None:
    """Numbers to the right, at the terminal's width; wide enough for all where there is no terminal."""
    console = Console(width=None if sys.stdout.isatty() else 160, highlight=False)
    table = Table(title=title, title_justify="left")
    for number, column in enumerate(columns):
        left = number < len(columns) - len(FIGURES)
        table.add_column(column, justify="left" if left else "right", no_wrap=True)
    for row in rows:
        table.add_row(*row)
    console.print(table)


@group.command()
@on_a_folder
@AS_JSON
def show(opened: Opened, as_json: bool) -> None:
    """The newest whole book, as it was written."""
    book = opened.book()
    if as_json:
        click.echo(json.dumps(plain(book)))
        return
    rows = [
        (
            s.uid,
            s.endpoint,
            instant(s.started_ms),
            instant(s.seen_ms),
            figure(s.rate_per_s, ".2f"),
            figure(s.wait_ms),
            figure(s.base_ms),
            figure(s.threshold),
            "yes" if s.silent else "",
        )
        for s in book.servers
    ]
    title = (
        f"{book.proxy}, generation {book.generation}, {instant(book.saved_ms)} UTC, "
        f"release {book.release}, one of {book.senders} proxies, {book.asked_per_s:.1f} asked a second"
    )
    show_table(title, ("server", "address", "started", "seen", *FIGURES), rows)


@group.command()
@on_a_folder
@AS_JSON
def check(opened: Opened, as_json: bool) -> None:
    """Read both generations and say what each is; changes nothing."""
    found = opened.look()
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
                        for one in found
                    ]
                }
            )
        )
    else:
        for one in found:
            state = (
                f"good, generation {one.checkpoint.generation}"
                if one.checkpoint
                else f"{one.kind}: {one.problem}"
            )
            click.echo(f"{one.name}: {state}")
        if not found:
            click.echo("nothing is remembered here")
    if any(one.kind == "newer" for one in found):
        sys.exit(NEWER)
    sys.exit(GOOD if found and all(one.checkpoint is not None for one in found) else SPOILT)


@group.command()
@on_a_folder
@AS_JSON
@click.option(
    "--at",
    "at",
    default="now",
    show_default=True,
    help="now, a UTC time (2026-12-01T12:00:00), or seconds after the write (+30).",
)
def age(opened: Opened, as_json: bool, at: str) -> None:
    """What a start would go by then, before the list says which servers are still the same."""
    book = opened.book()
    at_ms = when(at, book)
    clocks = CheckpointAge(book.saved_ms, at_ms)
    lives: HalfLives = half_lives_from(opened.settings)
    most_ms = opened.settings.most_age_ms
    part = planner_share(book.senders, opened.senders or book.senders, opened.planners)
    aged = [age_server(record, clocks, lives, most_ms, part) for record in book.servers]
    asked = age_new_call_rate(book, clocks, lives, most_ms, opened.planners)
    known = [one for one in aged if one is not None]
    if as_json:
        click.echo(
            json.dumps(
                {
                    "at_ms": at_ms,
                    "age_ms": at_ms - book.saved_ms,
                    "asked_per_s": asked,
                    "servers": [msgspec.to_builtins(one) for one in known],
                }
            )
        )
        return
    if clocks.ahead_ms:
        ahead_s = clocks.ahead_ms / 1000.0
        click.echo(f"the book is {ahead_s:.0f} s from the future and taken to be as old as that")
    rows = [
        (
            one.server,
            figure(one.rate_per_s, ".2f"),
            figure(one.wait_ms),
            figure(one.base_latency_ms),
            figure(one.threshold),
            "yes" if one.ejected else "",
        )
        for one in known
    ]
    after_s = (at_ms - book.saved_ms) / 1000.0
    title = f"{book.proxy} {after_s:.0f} s after the write, {asked:.1f} asked a second"
    show_table(title, ("server", *FIGURES), rows)


def when(at: str, book: Checkpoint) -> float:
    try:
        if at == "now":
            return time.time() * 1000.0
        if at.startswith("+"):
            return book.saved_ms + 1000.0 * float(at)
        moment = datetime.datetime.fromisoformat(at)
        return moment.replace(tzinfo=moment.tzinfo or datetime.UTC).timestamp() * 1000.0
    except ValueError:
        raise click.UsageError(f"--at: {at!r} is no time") from None


@group.command()
@on_a_folder
@click.option("--out", type=click.Path(dir_okay=False, writable=True), help="A file instead of the output.")
def export(opened: Opened, out: str | None) -> None:
    """The newest whole book as JSON, for other tools."""
    text = json.dumps(plain(opened.book()), indent=1)
    if out is None:
        click.echo(text)
        return
    try:
        Path(out).write_text(text + "\n")
    except OSError as problem:
        fail(str(problem), SPOILT)


@group.command()
@on_a_folder
@click.option("--new-key-file", type=click.Path(dir_okay=False), help="Key it with this one from here on.")
@click.option("--unkey", is_flag=True, help="Leave it without a key.")
def migrate(opened: Opened, new_key_file: str | None, unkey: bool) -> None:
    """Write the book anew in this release's format, under the same key or another."""
    if unkey and new_key_file:
        raise click.UsageError("--unkey and --new-key-file exclude each other")
    try:
        key = None if unkey else read_key(new_key_file) if new_key_file else opened.key
    except ValueError as problem:
        raise click.UsageError(str(problem)) from problem
    opened.hold()
    book = opened.book()
    opened.store = Store(opened.folder, "", key)
    # Both names: a generation left under the old key would be set aside at the next start.
    for generation in (book.generation + 1, book.generation + 2):
        book = msgspec.structs.replace(book, generation=generation)
        opened.save(book)
    click.echo(f"generation {book.generation}, format {FORMAT}, {len(encode(book, key))} bytes")


@group.command()
@on_a_folder
@click.argument("server")
def forget(opened: Opened, server: str) -> None:
    """Forget one server, by its uid, in both generations."""
    opened.hold()
    book = opened.book()
    kept = tuple(record for record in book.servers if record.uid != server)
    if len(kept) == len(book.servers):
        fail(f"{server} is not remembered", SPOILT)
    for generation in (book.generation + 1, book.generation + 2):
        opened.save(msgspec.structs.replace(book, generation=generation, servers=kept))
    click.echo(f"{server} is forgotten")
