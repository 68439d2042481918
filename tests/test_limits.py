"""The decision module's location, its allowed imports, and how its work grows."""

from __future__ import annotations

import ast
import inspect
import tomllib
from _collections_abc import dict_items
from collections.abc import Iterator
from pathlib import Path

import pytest

from capershelf import config
from capershelf.control import MIN_TRACKED_NUMBERS, REDIAL_WINDOW_MS, Controller
from capershelf.interface import CallAbandoned, ListedServer, NewCall, ServerList, ServerStatus
from lab.capacity.proxies import settings as planned_settings
from tests.rig import Rig

ROOT = Path(__file__).parent.parent
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
ESTIMATION = sorted((ROOT / "capershelf" / "estimation").glob("*.py"))
OWN_IMPORTS = ("capershelf.interface", "capershelf.estimation")
PURE_IMPORTS = {"__future__", "collections", "collections.abc", "dataclasses", "math", "random", "zlib"}
IO_BUILTINS = {"__import__", "breakpoint", "compile", "eval", "exec", "input", "open", "print"}


def imports_of(tree: ast.Module) -> Iterator[str]:
    """Yield the modules that a source imports at any depth; a relative import starts with dots."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield "." * node.level + (node.module or "")


def is_allowed(module: str) -> bool:
    own = any(module == name or module.startswith(name + ".") for name in OWN_IMPORTS)
    return own or module in PURE_IMPORTS


@pytest.mark.parametrize("path", [*POLICY, *ESTIMATION], ids=lambda path: str(path.relative_to(ROOT)))
def test_decisions_do_no_input_or_output(path: Path) -> None:
    """A decision module imports the interface, the estimation and pure standard modules, nothing else."""
    tree = ast.parse(path.read_text())
    assert [module for module in imports_of(tree) if not is_allowed(module)] == []
    names = {node.id for node in ast.walk(tree) if isinstance(node, ast.Name)}
    assert names & IO_BUILTINS == set()


def test_the_controller_is_in_the_modules_that_the_deploy_file_names() -> None:
    assert Path(inspect.getfile(Controller)) in POLICY
    for path in POLICY:
        lines = path.read_text().splitlines()
        assert max(map(len, lines)) <= 110
        assert "capershelf/interface.py" in lines[0]


def test_recent_numbers_are_not_scanned_at_every_call() -> None:
    """At some hundred calls a second, scanning 4,000 numbers at every call took most of a core."""
    rig = Rig(1)
    scans: list[int] = []

    class CountedDict(dict[str, float]):
        def items(self) -> dict_items[str, float]:
            scans.append(len(self))
            return super().items()

    rig.controller.first_dialled_ms = CountedDict()
    for number in range(3 * MIN_TRACKED_NUMBERS):
        rig.call(number, expires_in_ms=1)
        rig.feed(CallAbandoned(number))
    assert sum(scans) <= 2 * 3 * MIN_TRACKED_NUMBERS
    rig.now_ms += REDIAL_WINDOW_MS + 1.0
    for number in range(3 * MIN_TRACKED_NUMBERS, 9 * MIN_TRACKED_NUMBERS):
        rig.call(number, expires_in_ms=1)
        rig.feed(CallAbandoned(number))
    assert len(rig.controller.first_dialled_ms) <= 6 * MIN_TRACKED_NUMBERS


class CountedPool(int):
    """A pool id that counts its comparisons."""

    compared = 0

    def __eq__(self, other: object) -> bool:
        CountedPool.compared += 1
        return int(self) == other

    def __hash__(self) -> int:
        return hash(int(self))


def test_a_call_is_not_compared_with_every_pool_of_its_class(monkeypatch: pytest.MonkeyPatch) -> None:
    """With 1,100 pools, searching their list was two fifths of the cost of a call."""
    monkeypatch.setattr(CountedPool, "compared", 0)
    pools = 1100
    found = config.read_settings(planned_settings(pools))
    controller = Controller(found, 1)
    members = [
        ListedServer(f"s{pool}", CountedPool(pool), ServerStatus.ACTIVE) for pool in range(0, pools, 55)
    ]
    controller.handle(1000.0, ServerList(1, True, tuple(members)))
    CountedPool.compared = 0
    calls = 50
    for number in range(calls):
        preferred_pool = 55 * number + 1  # never a member's pool: all of them are considered
        controller.handle(
            1000.0 + 20.0 * number, NewCall(number, 9000.0, found.classes[0].name, preferred_pool, "n")
        )
    assert CountedPool.compared <= 4 * calls * len(members)


def test_pools_that_are_not_numbers_are_named() -> None:
    broken = planned_settings(3)
    for pool in (5, None, ["0"], [0, None], [True]):
        broken["family-info"]["pools-by-class"][1] = pool
        with pytest.raises(ValueError, match=r"pools-by-class\[1\] must be a list of whole numbers"):
            config.read_settings(broken)
