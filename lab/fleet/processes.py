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
ADDRESS_BLOCKS = 32
PROXIES_PER_BLOCK = 2000
ADDRESS_LOCK_PORT = 45999


def free_port(host: str) -> int:
    """Return a free port of this address, which must not be shared with other users."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class AddressBlock:
    """Loopback addresses for the proxies of one day, reserved against other days on this machine.

    A port is free only until somebody else takes it: two days that used the same addresses could be given
    the same ports.  The lock is a datagram socket, which ends with its process.
    """

    def __init__(self) -> None:
        for number in range(ADDRESS_BLOCKS):
            self._lock = socket.socket(type=socket.SOCK_DGRAM)
            self._first_octet = PROXIES_PER_BLOCK // 250 * number
            try:
                self._lock.bind((f"127.1.{self._first_octet}.255", ADDRESS_LOCK_PORT))
            except OSError:
                self._lock.close()
                continue
            return
        raise RuntimeError(f"{ADDRESS_BLOCKS} days run on this machine already: wait for one to end")

    def host(self, proxy: int) -> str:
        """Return the proxy's address."""
        high, low = divmod(proxy, 250)
        return f"127.1.{self._first_octet + high}.{low + 1}"

    def release(self) -> None:
        """Let another day use the addresses."""
        self._lock.close()


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
