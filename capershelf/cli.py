"""The command line."""

from __future__ import annotations

import importlib
import os
import signal
from typing import TYPE_CHECKING

import click
from loguru import logger

from capershelf import config as configuration
from capershelf import logs
from capershelf.net.connection import start_thread
from capershelf.node import Node
from capershelf.release import VERSION
from capershelf.signals import OVER, Signals

if TYPE_CHECKING:
    from capershelf.stream.stream import Stream

GROUPS = {  # imported only when asked for: `serve` pays for none
    "memory": "capershelf.commands.memory",
    "control": "capershelf.commands.control",
}
EXTRAS = {"memory": "memory", "control": "stream"}  # of this package, which hold their libraries


class Commands(click.Group):
    """The commands here, and groups of commands in modules of their own."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *GROUPS])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return super().get_command(context, name)
        try:
            command = importlib.import_module(GROUPS[name]).group
        except ModuleNotFoundError as problem:
            if problem.name is not None and problem.name.startswith("capershelf"):
                raise
            raise click.ClickException(
                f"{name} needs {problem.name}, which is not installed: the extra {EXTRAS[name]!r} has it"
            ) from problem
        assert isinstance(command, click.Command)
        return command


@click.group(cls=Commands, invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A signalling proxy for booking servers whose processors run short."""
    if context.invoked_subcommand is None:
        context.invoke(serve)


CONFIG = click.option("--config", "path", type=click.Path(dir_okay=False), help="An operator's TOML file.")


@main.command()
@CONFIG
@click.option("--log-level", default="INFO", show_default=True, help="As loguru names them.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), default="text", show_default=True)
def serve(path: str | None = None, log_level: str = "INFO", log_format: str = "text") -> None:
    """Serve until SIGTERM or SIGINT, then answer all that was taken and exit; SIGHUP reads the
    configuration again."""
    try:
        logs.set_up(log_level, log_format)
    except ValueError as problem:
        raise click.UsageError(str(problem)) from problem
    signals = Signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    try:
        config = configuration.load(os.environ, path)
        stream = open_stream(config)
        node = Node(stream.config if stream is not None else config)
    except (ValueError, OSError) as problem:
        raise click.ClickException(str(problem)) from problem
    except ModuleNotFoundError as problem:
        raise click.ClickException(
            f"the configuration turns on what needs {problem.name}: the extras 'memory' and 'stream' have it"
        ) from problem
    node.start()
    if stream is not None:
        stream.start(node)
    follow(signals, node, stream, path)


def follow(signals: Signals, node: Node, stream: Stream | None, path: str | None) -> None:
    """Obey signals until the node has stopped.

    A node that stops goes on obeying SIGHUP: guards the booking servers from a proxy that follows a list at
    an address that has been given up, and sends by it for as long as its last calls take.
    """

    def stop() -> None:
        try:
            node.stop()  # from here on it takes no streamed version over
            if stream is not None:
                stream.end()
        finally:
            signals.put(OVER)

    stopping = False
    while (told := signals.take()) != OVER:
        if told == signal.SIGHUP:
            reload(node, stream, path)
        elif not stopping:
            stopping = True
            logger.info("told to stop", event="stopping")
            start_thread(stop, "stop")


def open_stream(config: configuration.Config) -> Stream | None:
    """Streamed configuration, where an operator's file turns it on; nothing is imported for it else."""
    if config.stream is None:
        return None
    from capershelf.stream.stream import Stream

    return Stream(config, os.environ)


def reload(node: Node, stream: Stream | None, path: str | None) -> None:
    """Guards service against the new file: whatever is wrong with it, the old one stays in force."""
    try:
        config = configuration.load(os.environ, path)
        node.reload(config) if stream is None else stream.rebase(config)
    except Exception as problem:
        logger.error(
            "the new configuration is not taken, the old one stays in force: {problem}",
            event="reload-refused",
            problem=problem,
        )
    else:
        logger.info("the configuration has been read again", event="reloaded")


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata  # a fifth of all that `serve` would import, which has no use for it

    try:
        click.echo(metadata.version("capershelf"))
    except metadata.PackageNotFoundError:  # run from a checkout
        click.echo(VERSION)


def describe_subset(found: configuration.Config) -> str:
    """What subsetting comes to with the servers that the configuration itself lists."""
    if found.subset is None:
        return "off"
    from capershelf.subset.summary import summary

    return summary(found)


@main.command("check-config")
@CONFIG
def check_config(path: str | None) -> None:
    """Read the configuration, say what it turns on, and start nothing."""
    try:
        found = configuration.load(os.environ, path)
    except (ValueError, OSError) as problem:
        raise click.ClickException(str(problem)) from problem
    classes = ", ".join(kind.name for kind in found.settings.classes)
    click.echo(f"{found.name}: classes {classes}; {found.planners} planner(s)")
    click.echo(f"JSON lines: {found.listen or 'off'}")
    click.echo(f"WebSocket: {found.websocket.listen if found.websocket else 'off'}")
    click.echo(f"notice board: {found.board or 'off'}")
    click.echo(f"Eureka: {found.eureka.url if found.eureka else 'off'}")
    click.echo(f"memory: {found.memory.folder if found.memory else 'off'}")
    click.echo(f"stream: {', '.join(found.stream.services) if found.stream else 'off'}")
    click.echo(f"subset: {describe_subset(found)}")
    for name in found.unread:
        click.echo(f"note: {name!r} is not a setting of this program")
