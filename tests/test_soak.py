"""A short soak of seeded fault combinations; `python -m lab soak` plays more seeds."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from lab.fleet import soak
from lab.fleet.processes import PROXIES_PER_BLOCK, AddressBlock

SEEDS = (*range(1, 13), 16)
WORKERS = 2  # days at a time
MIN_TRIES = 50


@pytest.fixture(scope="module")
def results(request: pytest.FixtureRequest) -> Iterator[dict[int, Future[soak.SeedResult]]]:
    """The results of the seeds of which tests are run, played in their order."""
    seeds = [
        int(str(item.callspec.params["seed"]))
        for item in request.session.items
        if isinstance(item, pytest.Function) and item.path == Path(__file__) and hasattr(item, "callspec")
    ]
    with ThreadPoolExecutor(WORKERS) as pool:
        yield {seed: pool.submit(soak.play_seed, seed) for seed in seeds}


@pytest.mark.parametrize("seed", SEEDS)
def test_proxies_keep_every_rule_under_seeded_combinations_of_faults(
    results: dict[int, Future[soak.SeedResult]], seed: int
) -> None:
    result = results[seed].result()
    assert result.kept, result.text
    assert result.tries >= MIN_TRIES


def test_days_at_the_same_time_have_no_address_in_common() -> None:
    blocks = [AddressBlock() for _ in range(3)]
    hosts = [{block.host(proxy) for proxy in range(PROXIES_PER_BLOCK)} for block in blocks]
    assert not hosts[0] & hosts[1] and not hosts[1] & hosts[2] and not hosts[0] & hosts[2]
    released = blocks[1].host(0)
    blocks[1].release()
    blocks[1] = AddressBlock()
    assert blocks[1].host(0) == released
    for block in blocks:
        block.release()
