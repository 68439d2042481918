"""A low-discrepancy sequence for each server: where the slots of a fleet's proxies fall on it.

A digital (0, 1)-sequence in base 2 (Niederreiter, "Random Number Generation and Quasi-Monte Carlo Methods",
1992, chapter 4): an upper triangular generator matrix with ones on its diagonal and bits drawn from the
server's name above it, and a digital shift.  Any 2**k consecutive slots from a multiple of that on fall one
into each of the 2**k equal parts of the range, so a server that takes the slots of one part has as many
proxies as any other; and the matrices of two servers have little in common, so what one takes says nothing of
the other.
"""

from __future__ import annotations

import functools
import zlib

BITS = 32
RANGE = 1 << BITS
MASK = RANGE - 1
MULTIPLIER, INCREMENT = 6364136223846793005, 1442695040888963407  # Knuth's linear congruential generator
STATE_MASK = (1 << 64) - 1
CACHED = 8192  # positions: a list's, which one process asks for again at every change


def seed_of(*names: str) -> int:
    """A seed of 32 bits from names; the same on every machine."""
    return zlib.crc32("\0".join(names).encode())


@functools.lru_cache(maxsize=CACHED)
def position(slot: int, seed: int) -> int:
    """Where the slot falls in the sequence with this seed: 0 to 2**32 - 1."""
    state = _step(_step(seed))
    found = state >> BITS  # the digital shift
    for column in range(slot.bit_length()):
        state = _step(state)
        if slot >> column & 1:
            diagonal = 1 << (BITS - 1 - column)
            found ^= diagonal | state >> BITS & ~((diagonal << 1) - 1) & MASK
    return found


def _step(state: int) -> int:
    return (state * MULTIPLIER + INCREMENT) & STATE_MASK
