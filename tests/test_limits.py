"""The decision module's size, that its first lines name the interface, and what its work grows with."""

from __future__ import annotations

from _collections_abc import dict_items
from pathlib import Path

import pytest

from capershelf import config
from capershelf.control import NUMBERS, REDIAL_MS, Controller
from capershelf.interface import CallerGone, ListedServer, NewCall, ServerList, Standing
from lab.capacity.proxies import settings as planned_settings
from tests.rig import Rig

MODULE = Path(__file__).parent.parent / "capershelf" / "control.py"


def test_the_module_stays_within_its_limits() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 740
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

    rig.controller.first_asked = Watched()
    for number in range(3 * NUMBERS):
        rig.call(number, expires_in_ms=1)
        rig.tell(CallerGone(number))
    assert sum(looks) <= 2 * 3 * NUMBERS
    rig.now_ms += REDIAL_MS + 1.0
    for number in range(3 * NUMBERS, 9 * NUMBERS):
        rig.call(number, expires_in_ms=1)
        rig.tell(CallerGone(number))
    assert len(rig.controller.first_asked) <= 6 * NUMBERS


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
        ListedServer(f"s{place}", CountedPlace(place), Standing.ACTIVE) for place in range(0, places, 55)
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
