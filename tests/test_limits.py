"""The decision module's size, and that its first lines name the interface."""

from pathlib import Path

MODULE = Path(__file__).parent.parent / "capershelf" / "control.py"


def test_the_module_stays_within_its_limits() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 650
    assert max(map(len, lines)) <= 110
    assert "capershelf/interface.py" in lines[0]
