"""A proxy process with the addresses and the event loop of its simulated peers."""

from __future__ import annotations

import json
import threading
from pathlib import Path
from typing import Any

from lab.fleet.network import EventLoop
from lab.fleet.processes import AddressBlock
from tests.peers import PATIENCE_S
from tests.test_reload import Program


class ProxyTrial:
    """Peers are created on `loop` first; start() then starts the process, which they answer."""

    program: Program

    def __init__(self) -> None:
        self.loop = EventLoop()
        self.addresses = AddressBlock()
        self.host = self.addresses.host(0)

    def start(self, folder: Path, config: dict[str, Any], sockets: int = 1024) -> None:
        """Start the peers and the process, and wait until that serves."""
        threading.Thread(target=self.loop.poller.run, daemon=True).start()
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        self.program = Program(path, sockets=sockets)
        self.program.wait_for_log("serves on")

    def end(self) -> None:
        """End the process that was started here, and the peers."""
        self.program.process.kill()
        self.program.process.wait(PATIENCE_S)
        self.loop.poller.end()
        self.addresses.release()
