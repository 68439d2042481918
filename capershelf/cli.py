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
from capershelf.process_stats import limit_arenas, resident_memory_mb
from capershelf.release import VERSION
from capershelf.reload import Reloader
from capershelf.signals import STOPPED, Signals

if TYPE_CHECKING:
    from capershelf.stream.stream import Stream

COMMAND_MODULES = {  # imported on use only, to keep the start of `serve` short
    "memory": "capershelf.commands.memory",
    "control": "capershelf.commands.control",
}
# The extra of this package that installs a command's libraries.
EXTRAS = {"memory": "memory", "control": "stream"}


class Commands(click.Group):
    """The commands of this module and the command groups that are imported on use."""

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *COMMAND_MODULES])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in COMMAND_MODULES:
            return super().get_command(context, name)
        try:
            command = importlib.import_module(COMMAND_MODULES[name]).group
        except ModuleNotFoundError as problem:
            if problem.name is not None and problem.name.startswith("capershelf"):
                raise
            raise click.ClickException(
                f"{name} needs {problem.name}, which is not installed: install the extra {EXTRAS[name]!r}"
            ) from problem
        assert isinstance(command, click.Command)
        return command


@click.group(cls=Commands, invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """A signalling proxy for booking servers whose processors run short."""
    if context.invoked_subcommand is None:
        context.invoke(serve)


CONFIG_OPTION = click.option(
    "--config", "path", type=click.Path(dir_okay=False), help="An operator's TOML file."
)


@main.command()
@CONFIG_OPTION
@click.option("--log-level", default="INFO", show_default=True, help="As loguru names them.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), default="text", show_default=True)
def serve(path: str | None = None, log_level: str = "INFO", log_format: str = "text") -> None:
    """Serve until SIGTERM or SIGINT, then answer all that was taken and exit; SIGHUP reads the
    configuration again."""
    try:
        logs.configure(log_level, log_format)
    except ValueError as problem:
        raise click.UsageError(str(problem)) from problem
    signals = Signals((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    limit_arenas()
    try:
        config = configuration.load(os.environ, path)
        stream = open_stream(config)
        in_force = stream.config if stream is not None else config
        node = Node(in_force, resident_mb=resident_memory_mb())
    except (ValueError, OSError) as problem:
        raise click.ClickException(str(problem)) from problem
    except ModuleNotFoundError as problem:
        raise click.ClickException(
            f"the configuration needs {problem.name}, which the extras 'memory' and 'stream' install"
        ) from problem
    node.start()
    if stream is not None:
        stream.start(node)
    reloader = Reloader(config, os.environ, path, node, stream)
    handle_signals(signals, node, stream, reloader)
    signals.ignore()


def handle_signals(signals: Signals, node: Node, stream: Stream | None, reloader: Reloader) -> None:
    """Handle signals until the node has stopped.

    SIGHUP is handled during the shutdown too: the registry may move meanwhile, and a proxy that still
    followed the old address would send its last calls by an outdated list.
    """

    def stop() -> None:
        try:
            node.stop()  # from here on the node applies no streamed version
            if stream is not None:
                stream.end()
        finally:
            signals.put(STOPPED)

    stopping = False
    while (number := signals.take()) != STOPPED:
        if number == signal.SIGHUP:
            reloader.reload()
        elif not stopping:
            stopping = True
            logger.info("stop signal received", event="stopping")
            start_thread(stop, "stop")


def open_stream(config: configuration.Config) -> Stream | None:
    """Create the client of streamed configuration, if configured; its modules are imported only then."""
    if config.stream is None:
        return None
    from capershelf.stream.stream import Stream

    return Stream(config, os.environ)


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata  # would be a fifth of the imports of `serve`, which does not need it

    try:
        click.echo(metadata.version("capershelf"))
    except metadata.PackageNotFoundError:  # running from a checkout
        click.echo(VERSION)


def describe_subset(config: configuration.Config) -> str:
    """Describe the subset of the servers that the configuration itself lists."""
    if config.subset is None:
        return "off"
    from capershelf.subset.summary import summary

    return summary(config)


@main.command("check-config")
@CONFIG_OPTION
def check_config(path: str | None) -> None:
    """Read the configuration, say what it turns on, and start nothing."""
    try:
        config = configuration.load(os.environ, path)
    except (ValueError, OSError) as problem:
        raise click.ClickException(str(problem)) from problem
    classes = ", ".join(call_class.name for call_class in config.settings.classes)
    click.echo(f"{config.name}: classes {classes}; {config.planners} planner(s)")
    click.echo(f"JSON lines: {config.listen or 'off'}")
    click.echo(f"WebSocket: {config.websocket.listen if config.websocket else 'off'}")
    click.echo(f"notice board: {config.board or 'off'}")
    click.echo(f"Eureka: {config.eureka.url if config.eureka else 'off'}")
    click.echo(f"memory: {config.memory.folder if config.memory else 'off'}")
    click.echo(f"stream: {', '.join(config.stream.services) if config.stream else 'off'}")
    click.echo(f"subset: {describe_subset(config)}")
    for name in config.unread:
        click.echo(f"note: {name!r} is not a setting of this program")
