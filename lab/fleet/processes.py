"""Starts, signals and stops processes of the program; only those started here are touched."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ("capershelf",)


def free_port(host: str) -> int:
    """Return a free port of this address, which must not be shared with other users."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Process:
    """A running `serve` process; `module` is the Python module to run and its first arguments."""

    def __init__(
        self,
        folder: Path,
        name: str,
        table: dict[str, Any],
        options: list[str],
        module: Sequence[str] = PROGRAM,
    ) -> None:
        config = self._config = folder / f"{name}.json"
        config.write_text(json.dumps(table))
        self.log = folder / f"{name}.log"
        environ = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        environ |= {
            "NODE_CONFIG": str(config),
            "NODE_NAME": table["name"],
            "NODE_LISTEN": table["listen"],
            "PYTHONPATH": str(ROOT),
        }
        with self.log.open("ab") as log:
            # As in deploy/balancer.toml: a SIGHUP while the interpreter starts must not end the process.
            self._popen = subprocess.Popen(
                [
                    "/bin/sh",
                    "-c",
                    'trap "" HUP; exec "$@"',
                    "sh",
                    sys.executable,
                    "-m",
                    *module,
                    "serve",
                    *options,
                ],
                cwd=folder,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def reload(self, table: dict[str, Any]) -> None:
        """Replace the configuration file and send SIGHUP."""
        replacement = self._config.with_suffix(".new")
        replacement.write_text(json.dumps(table))
        replacement.replace(self._config)
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    @property
    def pid(self) -> int:
        return self._popen.pid

    def status(self) -> int | None:
        """Return the exit status, or None while the process runs."""
        return self._popen.poll()

    def wait(self, seconds: float) -> None:
        """Wait for the process to exit; raises subprocess.TimeoutExpired after the given time."""
        self._popen.wait(seconds)

    def end(self) -> None:
        """Kill the process, even a stopped one, and reap it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._popen.wait()
