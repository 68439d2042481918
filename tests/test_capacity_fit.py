"""The fits that the capacity page stands on."""

from __future__ import annotations

from typing import Any

import numpy as np
import pytest

from lab.capacity.fit import Fit, TooFewSizesError
from lab.capacity.fit import fit as fit_points

SIZES = [10, 50, 100, 300, 600, 1100] * 2


def fit(sizes: list[int], values: Any) -> Fit:
    return fit_points(sizes, [float(value) for value in values])


def noise(seed: int, size: float) -> Any:
    return np.random.Generator(np.random.PCG64(seed)).normal(0.0, size, len(SIZES))


def test_a_line_is_found_with_an_interval_that_holds_its_slope() -> None:
    held = 0
    for seed in range(100):
        found = fit(SIZES, 5.0 + 0.2 * np.array(SIZES) + noise(seed, 2.0))
        held += found.straight and abs(found.slope - 0.2) <= found.slope_error
        assert found.at(1100) == pytest.approx(225.0, rel=0.05)
    assert held >= 88, "a 95% interval, over 100 runs"


def test_what_is_not_a_line_is_given_as_a_parabola() -> None:
    found = fit(SIZES, 1.0 + 0.01 * np.array(SIZES) + 2e-4 * np.array(SIZES) ** 2 + noise(1, 0.5))
    assert not found.straight
    assert found.square == pytest.approx(2e-4, rel=0.05)
    assert found.at(1100) == pytest.approx(254.0, rel=0.02)


def test_a_bend_of_no_weight_stays_a_line() -> None:
    assert fit(SIZES, np.array(SIZES) + 1e-5 * np.array(SIZES) ** 2).straight


def test_a_slope_needs_five_sizes() -> None:
    with pytest.raises(TooFewSizesError, match="4 sizes"):
        fit([1, 2, 3, 4, 4], [1, 2, 3, 4, 4])
    assert fit([1, 2, 3, 4, 5], [2, 2, 2, 2, 2]).at(100) == pytest.approx(2.0)
