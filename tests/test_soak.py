"""A short soak of seeded fault combinations; `python -m lab soak` plays more seeds."""

from __future__ import annotations

from lab.fleet import soak

SEEDS = range(1, 13)
WORKERS = 4
MIN_TRIES = 50


def test_proxies_keep_every_rule_under_seeded_combinations_of_faults() -> None:
    results = list(soak.play(SEEDS, WORKERS))
    assert all(result.kept for result in results), "\n".join(r.text for r in results if not r.kept)
    assert all(result.tries >= MIN_TRIES for result in results)
