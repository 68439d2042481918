"""A short soak of seeded fault combinations; `python -m lab soak` plays more seeds."""

from __future__ import annotations

from lab.fleet import soak
from lab.fleet.processes import PROXIES_PER_BLOCK, AddressBlock

SEEDS = range(1, 13)
WORKERS = 4
MIN_TRIES = 50


def test_proxies_keep_every_rule_under_seeded_combinations_of_faults() -> None:
    results = list(soak.play(SEEDS, WORKERS))
    assert all(result.kept for result in results), "\n".join(r.text for r in results if not r.kept)
    assert all(result.tries >= MIN_TRIES for result in results)


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
