"""docs/CAPACITY.md holds what its recorded run gave."""

from __future__ import annotations

import json

import pytest

from lab.capacity import page, plan, requirements
from lab.capacity.experiment import ROLES


def test_the_pages_tables_are_those_of_its_run() -> None:
    text = page.PAGE.read_text()
    assert text == page.render(text, page.read_record()), "write it again: python -m lab capacity --page"
    assert {match["name"] for match in page.MARKER.finditer(text)} == set(page.tables_of(page.read_record()))


def test_the_run_is_a_full_one_of_all_roles() -> None:
    found = json.loads(page.RECORD.read_text())
    assert found["quick"] is False and set(found["roles"]) == set(ROLES)
    assert set(ROLES) - set(plan.SIZE_KEYS) == {plan.LATENCY}
    for role, rows in ((role, found["roles"][role]["rows"]) for role in plan.SIZE_KEYS):
        sizes = {row[plan.SIZE_KEYS[role]] for row in rows}
        assert len(sizes) >= 5, role
        assert max(sizes) == (requirements.DEPTH if role == "retry" else requirements.SERVERS)
    rows = found["roles"][plan.LATENCY]["rows"]
    assert {row["servers"] for row in rows} == {requirements.SERVERS}
    assert [row["traced"] for row in rows] == [False, True] * (len(rows) // 2) and len(rows) >= 4


def test_a_page_that_asks_for_no_table_or_lacks_a_role_is_refused() -> None:
    recorded = page.read_record()
    with pytest.raises(page.PageError, match="none of: nothing"):
        page.render("<!-- table: nothing -->\n<!-- end -->\n", recorded)
    roles = {name: role for name, role in recorded.roles.items() if name != "retry"}
    with pytest.raises(plan.MissingRoleError, match="retry"):
        plan.Run({"roles": roles})


def test_the_ranking_has_what_is_over_its_budget_worst_first() -> None:
    def figure(value: float, budget: float | None) -> plan.Figure:
        return plan.Figure("r", "s", f"{value}", "f", value, "u", plan.Basis.MEASURED, "n", "m", budget)

    found = [figure(9.0, 10.0), figure(20.0, 10.0), figure(99.0, None), figure(70.0, 10.0)]
    assert [one.value for one in plan.over_budget(found)] == [70.0, 20.0]
