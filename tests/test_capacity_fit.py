"""The fits that the capacity page stands on."""

from __future__ import annotations

from typing import Any

import numpy as np
import pytest

from lab.capacity.fit import Fit, TooFewSizesError
from lab.capacity.fit import fit as fit_points
from lab.capacity.plan import formula_of, to_error

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


def test_an_exact_line_has_neither_rounding_residue_nor_an_error() -> None:
    """Guards against a capacity page that differs between kinds of machine in the last digits."""
    for slope, intercept in ((1.0, 0.0), (1.0, 9.0), (17579.0, 0.0), (0.0, 5.0)):
        found = fit(SIZES, intercept + slope * np.array(SIZES))
        assert found.slope_error == 0.0 and found.errors == (0.0, 0.0, 0.0)
        assert formula_of(found, "n") == f"{intercept:g} + {slope:g} n (exact)"


def test_last_digits_of_the_points_do_not_change_what_is_printed() -> None:
    values = 5.0 + 0.2 * np.array(SIZES) + noise(3, 2.0)
    nudged = values * (1.0 + 1e-13 * noise(4, 1.0))
    assert formula_of(fit(SIZES, values), "n") == formula_of(fit(SIZES, nudged), "n")


@pytest.mark.parametrize(
    ("value", "error", "text"),
    [
        (0.0124813, 0.00018, "0.01248"),
        (76.6312, 0.012, "76.631"),
        (-190.93, 48.0, "-191"),
        (1773.4, 290.0, "1770"),
        (-0.0000001, 0.01, "0.000"),
        (17579.0, 0.0, "17579"),
    ],
)
def test_a_figure_is_printed_to_its_error(value: float, error: float, text: str) -> None:
    assert to_error(value, error) == text
