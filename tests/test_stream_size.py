"""A control service with many followers: the cost of a message or a scan must not grow with their square."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from capershelf.core.clock import ManualClock
from capershelf.stream import document, protocol
from capershelf.stream.ledger import VersionNumber
from capershelf.stream.rollout import Plan, Rollout
from capershelf.stream.service import (
    SCAN_INTERVAL_MS,
    STATE_FILE,
    ControlService,
    End,
    MessageReceived,
    ProxyConnection,
)

FOLLOWERS = 60


class FakeConnection:
    """Records the messages sent."""

    def __init__(self) -> None:
        self.sent: list[dict[str, Any]] = []

    def send(self, data: bytes) -> bool:
        self.sent.append(json.loads(data))
        return True

    def close(self) -> None: ...


class Rig:
    """A service whose followers sent hello, without sockets or threads."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        self.clock = ManualClock()
        self.folder = folder
        (folder / "1.1.json").write_bytes(document.canonical({"settings": {}}))
        self.service = ControlService(folder, "127.0.0.1:0", self.clock, plan)
        self.writes = 0
        write = self.service._disk.write

        def counted(name: str, data: bytes) -> None:
            self.writes += 1
            write(name, data)

        self.service._disk.write = counted  # type: ignore[method-assign]
        self.connections = [FakeConnection() for _ in range(FOLLOWERS)]
        for number, connection in enumerate(self.connections):
            end = protocol.ServiceSession(self.service._cache)
            self.service._connections[number] = ProxyConnection(connection, end, self.clock.now_ms())  # type: ignore[arg-type]
        self.scan()
        for number in range(FOLLOWERS):
            self.receive(
                number,
                {"type": "hello", "speaks": [1], "proxy": f"p{number:03d}", "release": "t", "can": ["whole"]},
            )

    def receive(self, number: int, message: dict[str, Any]) -> None:
        self.service._process(MessageReceived(number, protocol.encode(message)))

    def scan(self) -> None:
        self.clock.advance(SCAN_INTERVAL_MS)
        self.service._process(None)

    def state(self) -> dict[str, Any]:
        found: dict[str, Any] = json.loads((self.folder / STATE_FILE).read_text())
        return found

    def end(self) -> None:
        self.service.inbox.put(End())
        self.service.run()


def test_messages_of_a_whole_fleet_are_one_write_of_its_state(tmp_path: Path) -> None:
    rig = Rig(tmp_path, Plan())
    rig.scan()
    before = rig.writes
    digest = rig.connections[0].sent[-1]["whole"]
    for number in range(FOLLOWERS):
        rig.receive(number, {"type": "ack", "epoch": 1, "version": 1, "digest": digest, "notes": []})
    assert rig.writes == before
    rig.scan()
    assert rig.writes == before + 1
    assert len(rig.state()["rollout"]["acked"]) == FOLLOWERS
    for number in range(FOLLOWERS):
        rig.receive(number, {"type": "beat"})
    rig.scan()
    assert rig.writes == before + 1, "beats change nothing"
    rig.end()


def test_a_refusal_is_written_at_once_and_the_last_state_at_the_end(tmp_path: Path) -> None:
    rig = Rig(tmp_path, Plan())
    rig.receive(0, {"type": "refuse", "epoch": 1, "version": 1, "code": "c", "path": "", "text": "no"})
    assert rig.state()["rollout"]["halted"].startswith("p000")
    rig.receive(1, {"type": "ack", "epoch": 1, "version": 1, "digest": "d", "notes": []})
    assert "p001" not in rig.state()["rollout"]["acked"]
    rig.end()
    assert "p001" in rig.state()["rollout"]["acked"]


def test_a_look_puts_the_fleet_in_order_once_and_not_for_each_follower(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path, Plan((0.1, 1.0), 1e9))
    hashed = 0
    order = Rollout.sort_key

    def counted(rollout: Rollout, proxy: str) -> bytes:
        nonlocal hashed
        hashed += 1
        return order(rollout, proxy)

    monkeypatch.setattr(Rollout, "sort_key", counted)
    rig.scan()
    assert 0 < hashed <= 3 * FOLLOWERS
    rig.end()


def test_the_last_stage_is_everybody_without_an_order() -> None:
    proxies = {f"p{number}" for number in range(FOLLOWERS)}
    assert Rollout(VersionNumber(1, 1), Plan()).chosen(proxies) == proxies
    assert len(Rollout(VersionNumber(1, 1), Plan((0.1, 1.0))).chosen(proxies)) == FOLLOWERS // 10
