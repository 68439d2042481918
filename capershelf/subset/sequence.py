"""A low-discrepancy sequence for each server, which maps the slots of a fleet's proxies to positions.

A digital (0, 1)-sequence in base 2 (Niederreiter, "Random Number Generation and Quasi-Monte Carlo Methods",
1992, chapter 4): an upper triangular generator matrix with ones on its diagonal and pseudo-random bits above
it, seeded by the server's name, and a digital shift.  Any 2**k consecutive slots that start at a multiple of
2**k fall one into each of the 2**k equal parts of the range, so a server that is selected by the slots in one
part has as many proxies as any other.  The matrices of two servers have little in common, so the slots that
select one say nothing about the slots that select the other.
"""

from __future__ import annotations

import functools
import zlib

BITS = 32
RANGE = 1 << BITS
MASK = RANGE - 1
MULTIPLIER, INCREMENT = 6364136223846793005, 1442695040888963407  # Knuth's linear congruential generator
STATE_MASK = (1 << 64) - 1
CACHED_POSITIONS = 8192  # positions of one server list: a process needs them again at every list change


def seed_of(*names: str) -> int:
    """A 32-bit seed derived from names; the same on every machine."""
    return zlib.crc32("\0".join(names).encode())


@functools.lru_cache(maxsize=CACHED_POSITIONS)
def position(slot: int, seed: int) -> int:
    """Position of the slot in the sequence with this seed: 0 to 2**32 - 1."""
    state = _next_state(_next_state(seed))
    result = state >> BITS  # the digital shift
    for column in range(slot.bit_length()):
        state = _next_state(state)
        if slot >> column & 1:
            diagonal = 1 << (BITS - 1 - column)
            result ^= diagonal | state >> BITS & ~((diagonal << 1) - 1) & MASK
    return result


def _next_state(state: int) -> int:
    """The next state of the linear congruential generator."""
    return (state * MULTIPLIER + INCREMENT) & STATE_MASK
