"""The decision module's size, and that its first lines name the interface."""

from __future__ import annotations

from _collections_abc import dict_items
from pathlib import Path

from capershelf.control import NUMBERS, REDIAL_MS
from capershelf.interface import CallerGone
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
