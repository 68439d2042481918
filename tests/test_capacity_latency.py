"""The stages of a call through a traced proxy: what is stamped where, and what is made of the stamps."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import pytest

from capershelf.core import model as m
from lab.capacity.caller import Placed
from lab.capacity.latency_role import STAGES, NoStampsError, read_stamps, stage_rows
from lab.capacity.traced_proxy import Point, Stamp, Stamps

CALL, OTHER = "00000000000000a1", "00000000000000a2"
MS = 1_000_000


def test_the_stages_follow_one_another_from_the_caller_and_back() -> None:
    assert STAGES[0].start is None and STAGES[-1].end is None
    for before, after in pairwise(STAGES):
        assert before.end is after.start is not None
    assert [stage.end for stage in STAGES[:-1]] == list(Point)


def test_each_stage_is_the_time_between_its_points_and_all_are_the_whole_call() -> None:
    stamps = [Stamp(point, CALL, (10 + point * (point + 1)) * MS, point * MS) for point in Point]
    rows = stage_rows(stamps, {CALL: Placed(9 * MS, 100 * MS)})
    took = [row["took_ms"]["p50"] for row in rows]
    assert took == [1.0, 2.0, 4.0, 6.0, 8.0, 10.0, 12.0, 14.0, 16.0, 18.0]
    assert sum(took) == 91.0
    on_one_thread = [row["processor_ms"].get("p50") for row in rows]
    assert on_one_thread == [None, 1.0, None, 1.0, 1.0, None, 1.0, None, 1.0, None]


@pytest.mark.parametrize(
    "placed",
    [{}, {CALL: Placed(9 * MS)}, {OTHER: Placed(9 * MS, 80 * MS)}],
    ids=["another caller's", "not answered", "another call"],
)
def test_a_call_that_is_not_whole_counts_in_no_stage(placed: dict[str, Placed]) -> None:
    stamps = [Stamp(point, CALL, 10 * MS, 0) for point in Point]
    assert all(row["took_ms"] == {} for row in stage_rows(stamps, placed))
    whole = {CALL: Placed(9 * MS, 80 * MS)}
    assert all(row["took_ms"] == {} for row in stage_rows(stamps[:-1], whole))


def test_only_set_ups_and_answers_are_stamped(tmp_path: Path) -> None:
    stamps = Stamps()
    line = b'{"type":"setup","id":"%s","fields":{}}' % CALL.encode()
    stamps.add_line(Point.SET_UP_READ, b'"type":"setup"', line)
    stamps.add_line(Point.ANSWER_READ, b'"type":"answer"', line)
    stamps.add_event(Point.SET_UP_TAKEN, Point.ANSWER_TAKEN, m.ServerAnswered("s0", OTHER, "", None))
    stamps.add_event(Point.SET_UP_TAKEN, Point.ANSWER_TAKEN, m.Stop(0.0))
    path = tmp_path / "stamps.json"
    stamps.save(path)
    assert [(stamp.point, stamp.call) for stamp in read_stamps(path)] == [
        (Point.SET_UP_READ, CALL),
        (Point.ANSWER_TAKEN, OTHER),
    ]
    with pytest.raises(NoStampsError, match="missing.json"):
        read_stamps(tmp_path / "missing.json")
