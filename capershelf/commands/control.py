"""`capershelf control`: runs the control service and prepares and signs configuration versions.

Exit codes: 0 success, 1 invalid or unreadable input, 2 wrong usage.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import click
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from rich.console import Console
from rich.table import Table

from capershelf import logs
from capershelf.core.clock import SystemClock
from capershelf.net.tls import Identity
from capershelf.stream import document, standing
from capershelf.stream.ledger import VersionNumber
from capershelf.stream.protocol import Published
from capershelf.stream.rollout import Plan
from capershelf.stream.service import STATE_FILE, ControlService, End, read_version, versions_in
from capershelf.stream.signing import read_private, sign

FOLDER_ARGUMENT = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))


@click.group(name="control")
def group() -> None:
    """Publish configuration to a fleet (docs/stream.md)."""


@group.command()
@FOLDER_ARGUMENT
@click.option("--listen", default="127.0.0.1:7100", show_default=True)
@click.option("--websocket", is_flag=True, help="Speak WebSocket instead of JSON lines.")
@click.option("--stages", default="1", show_default=True, help="Shares of the fleet, such as 0.1,0.5,1.")
@click.option("--watch", default=0.0, show_default=True, help="Seconds each stage is watched.")
@click.option("--certificate", default="", help="TLS: this service's certificate,")
@click.option("--key-file", default="", help="its key,")
@click.option("--client-ca", default="", help="and the CA that proxies' certificates must come from.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), default="text", show_default=True)
def serve(
    folder: Path,
    listen: str,
    websocket: bool,
    stages: str,
    watch: float,
    certificate: str,
    key_file: str,
    client_ca: str,
    log_format: str,
) -> None:
    """Offer the versions in FOLDER until SIGTERM or SIGINT."""
    logs.configure("INFO", log_format)
    try:
        plan = Plan(tuple(float(share) for share in stages.split(",")), 1000.0 * watch)
        identity = Identity(client_ca, certificate, key_file) if certificate else None
        service = ControlService(folder, listen, SystemClock(), plan, websocket, identity)
    except (ValueError, OSError) as problem:
        raise click.ClickException(str(problem)) from problem
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: service.inbox.put(End()))
    service.start()
    click.echo(f"control service on {listen}, versions in {folder}")
    service.run()


@group.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def check(file: Path) -> None:
    """Check a version against the standing rules; the proxies check it against their contract too."""
    read_valid_version(file)
    click.echo("good")


def read_valid_version(file: Path) -> dict[str, Any]:
    """Read a version and check it against the standing rules; exits with an error if it violates one."""
    try:
        version = document.read(file.read_bytes())
    except (OSError, ValueError) as problem:
        raise click.ClickException(f"{file}: {problem}") from problem
    if violations := standing.check(version):
        raise click.ClickException("\n".join(str(violation) for violation in violations))
    return version


@group.command()
@FOLDER_ARGUMENT
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--epoch", type=click.IntRange(1), help="Start this epoch, which restarts the version numbers.")
@click.option("--sign-with", type=click.Path(dir_okay=False, path_type=Path), help="A private key file.")
@click.option("--key-name", default="", help="The key's name on the proxies; by default that of the file.")
@click.option("--valid", default=30.0, show_default=True, help="Days until the signature expires.")
@click.option("--unchecked", is_flag=True, help="Publish a version that violates a rule, to see it refused.")
def push(
    folder: Path,
    file: Path,
    epoch: int | None,
    sign_with: Path | None,
    key_name: str,
    valid: float,
    unchecked: bool,
) -> None:
    """Publish FILE as the next version."""
    settings = document.read(file.read_bytes()) if unchecked else read_valid_version(file)
    last = max(versions_in(folder), default=VersionNumber(1, 0))
    number = VersionNumber(last.epoch, last.version + 1)
    if epoch is not None and epoch != last.epoch:
        if epoch < last.epoch:
            raise click.UsageError(f"epoch {epoch} has ended, the current one is {last.epoch}")
        number = VersionNumber(epoch, 1)
    if sign_with is not None:
        sign_version(folder, Published.of(number, settings), sign_with, key_name, valid)
    write_atomically(folder / f"{number}.json", document.canonical(settings) + b"\n")
    click.echo(f"version {number}")


@group.command("sign")
@FOLDER_ARGUMENT
@click.argument("number")
@click.option("--sign-with", required=True, type=click.Path(dir_okay=False, path_type=Path))
@click.option("--key-name", default="", help="The key's name on the proxies; by default that of the file.")
@click.option("--valid", default=30.0, show_default=True, help="Days until the signature expires.")
def sign_command(folder: Path, number: str, sign_with: Path, key_name: str, valid: float) -> None:
    """Sign version NUMBER (EPOCH.VERSION) again; a running service offers the newest version again."""
    try:
        epoch, version = number.split(".")
        published = read_version(folder, VersionNumber(int(epoch), int(version)))
    except ValueError as problem:
        raise click.ClickException(f"{number}: {problem}") from problem
    sign_version(folder, published, sign_with, key_name, valid)
    click.echo(f"version {number} is signed")


def sign_version(folder: Path, published: Published, key: Path, key_name: str, valid_days: float) -> None:
    """Write the signature of a version next to it."""
    try:
        private = read_private(key)
    except ValueError as problem:
        raise click.ClickException(str(problem)) from problem
    expires_ms = float(int(time.time() * 1000.0 + 86_400_000.0 * valid_days))
    signature = sign(private, key_name or key.stem, published.number, published.digest, expires_ms)
    write_atomically(
        folder / f"{published.number}.sig",
        document.canonical(
            {"key": signature.key, "expires": signature.expires_ms, "signature": signature.value}
        ),
    )


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file by renaming: a running service may read it at any time."""
    temporary = path.with_suffix(".new")
    try:
        temporary.write_bytes(data)
        os.replace(temporary, path)
    except OSError as problem:
        raise click.ClickException(str(problem)) from problem


@group.command()
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.argument("name")
def key(folder: Path, name: str) -> None:
    """Create a key pair, NAME.key and NAME.pub, in FOLDER; the proxies need NAME.pub."""
    private = Ed25519PrivateKey.generate()
    private_path, public_path = folder / f"{name}.key", folder / f"{name}.pub"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        with open(os.open(private_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
            file.write(private.private_bytes_raw().hex() + "\n")
        public_path.write_text(private.public_key().public_bytes_raw().hex() + "\n")
        public_path.chmod(0o644)
    except OSError as problem:
        raise click.ClickException(str(problem)) from problem
    click.echo(f"{private_path} signs, {public_path} is for the proxies")


@group.command()
@FOLDER_ARGUMENT
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def status(folder: Path, as_json: bool) -> None:
    """Show the version of each proxy, refused versions and the progress of the roll-out."""
    try:
        state = document.read((folder / STATE_FILE).read_bytes())
    except FileNotFoundError:
        state = {"proxies": {}, "rollout": None}
    except (OSError, ValueError) as problem:
        raise click.ClickException(str(problem)) from problem
    if as_json:
        click.echo(json.dumps(state))
        return
    rollout = state["rollout"]
    newest = f"{rollout['epoch']}.{rollout['version']}" if rollout else "none"
    table = Table(
        title=f"newest {newest}: {rollout['state'] if rollout else 'nothing is published'}",
        title_justify="left",
    )
    for column in ("proxy", "connected", "has", "last refusal", "notes"):
        table.add_column(column, no_wrap=True)
    for name, proxy in sorted(state["proxies"].items()):
        refusal = proxy.get("refuse") or proxy.get("back") or {}
        refusal_text = (
            f"{refusal['version']} [{refusal['code']}] {refusal['path']} {refusal['text']}" if refusal else ""
        )
        table.add_row(
            name,
            "yes" if proxy.get("connected") else "no",
            proxy.get("has", ""),
            refusal_text,
            ", ".join(proxy.get("notes") or ()),
        )
    Console(width=None if sys.stdout.isatty() else 200, highlight=False).print(table)
