"""Where the decisions lie and what they may use, and what the decision module's work grows with."""

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
    """The modules that a source imports, wherever in it; a relative import as dots."""
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


def test_the_decisions_lie_in_the_modules_that_the_deploy_file_names() -> None:
    assert Path(inspect.getfile(Controller)) in POLICY
    for path in POLICY:
        lines = path.read_text().splitlines()
        assert max(map(len, lines)) <= 110
        assert "capershelf/interface.py" in lines[0]


def test_numbers_all_young_are_not_looked_through_at_every_call() -> None:
    """Guards the processor: at some hundred calls a second the look at 4,000 numbers took most of a core."""
    rig = Rig(1)
    looks: list[int] = []

    class Watched(dict[str, float]):
        def items(self) -> dict_items[str, float]:
            looks.append(len(self))
            return super().items()

    rig.controller.first_dialled = Watched()
    for number in range(3 * MIN_TRACKED_NUMBERS):
        rig.call(number, expires_in_ms=1)
        rig.feed(CallAbandoned(number))
    assert sum(looks) <= 2 * 3 * MIN_TRACKED_NUMBERS
    rig.now_ms += REDIAL_WINDOW_MS + 1.0
    for number in range(3 * MIN_TRACKED_NUMBERS, 9 * MIN_TRACKED_NUMBERS):
        rig.call(number, expires_in_ms=1)
        rig.feed(CallAbandoned(number))
    assert len(rig.controller.first_dialled) <= 6 * MIN_TRACKED_NUMBERS


class CountedPlace(int):
    """A place that counts how often it is held against another."""

    compared = 0

    def __eq__(self, other: object) -> bool:
        CountedPlace.compared += 1
        return int(self) == other

    def __hash__(self) -> int:
        return hash(int(self))


def test_a_call_is_not_held_against_every_place_of_its_class(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the processor: with 1,100 places two fifths of a call's cost was the search in their list."""
    monkeypatch.setattr(CountedPlace, "compared", 0)
    places = 1100
    found = config.read_settings(planned_settings(places))
    controller = Controller(found, 1)
    members = [
        ListedServer(f"s{place}", CountedPlace(place), ServerStatus.ACTIVE) for place in range(0, places, 55)
    ]
    controller.handle(1000.0, ServerList(1, True, tuple(members)))
    CountedPlace.compared = 0
    calls = 50
    for number in range(calls):
        far_end = 55 * number + 1  # never at a member's place: all of them are looked at
        controller.handle(
            1000.0 + 20.0 * number, NewCall(number, 9000.0, found.classes[0].name, far_end, "n")
        )
    assert CountedPlace.compared <= 4 * calls * len(members)


def test_places_that_are_no_numbers_are_named() -> None:
    broken = planned_settings(3)
    for pool in (5, None, ["0"], [0, None], [True]):
        broken["family-info"]["pools-by-class"][1] = pool
        with pytest.raises(ValueError, match=r"pools-by-class\[1\] must be a list of whole numbers"):
            config.read_settings(broken)
