"""Processes of the program: started, stopped, let go on and killed by the day, and none but its own."""

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
    """A port of this address that nobody uses; the address is the caller's alone."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Process:
    """One start of `serve`; module: what Python runs for it, with its first arguments."""

    def __init__(
        self,
        folder: Path,
        name: str,
        table: dict[str, Any],
        options: list[str],
        module: Sequence[str] = PROGRAM,
    ) -> None:
        config = folder / f"{name}.json"
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
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *module, "serve", *options],
                cwd=folder,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    @property
    def pid(self) -> int:
        return self._popen.pid

    def status(self) -> int | None:
        """The exit status, None while it runs."""
        return self._popen.poll()

    def wait(self, seconds: float) -> None:
        """Until it has ended by itself; subprocess.TimeoutExpired where it has not by then."""
        self._popen.wait(seconds)

    def end(self) -> None:
        """Whatever it does: it is gone afterwards."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self._popen.wait()
