"""Least squares over sizes: a straight line with the interval of its slope, or the parabola that fits."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import Any

import numpy as np

MIN_SIZES = 5  # different sizes, under which no slope is given
# Student's t at 97.5%, by degrees of freedom from 1; the last holds for all further ones.
T_975 = (
    12.71,
    4.30,
    3.18,
    2.78,
    2.57,
    2.45,
    2.36,
    2.31,
    2.26,
    2.23,
    2.20,
    2.18,
    2.16,
    2.14,
    2.13,
    2.12,
    2.11,
    2.10,
    2.09,
    2.09,
    2.08,
    2.07,
    2.07,
    2.06,
    2.06,
    2.06,
    2.05,
    2.05,
    2.05,
    2.04,
    2.00,
)
# A coefficient or error whose share of the largest value is below this is what rounding left over.
ROUNDING_SHARE = 1e-12
BEND_SHARE = 0.10  # a square term counts if it is at least this share of the value at the largest size


class TooFewSizesError(ValueError):
    """A slope needs at least MIN_SIZES different sizes: measure at more."""


@dataclass(frozen=True, slots=True)
class Fit:
    """value = intercept + slope * size (+ square * size**2 where the points are not on a straight line).

    slope_error is half the width of the slope's 95% interval, of the straight line in any case.  errors are
    those of the intercept, slope and square of the form that was chosen; 0 for a coefficient that is exact.
    """

    intercept: float
    slope: float
    slope_error: float
    square: float
    smallest: float
    largest: float
    points: int
    errors: tuple[float, float, float] = (0.0, 0.0, 0.0)

    @property
    def straight(self) -> bool:
        return self.square == 0.0

    def at(self, size: float) -> float:
        """The fitted value at a size; beyond `largest` it is an extrapolation."""
        return self.intercept + self.slope * size + self.square * size**2

    def as_json(self) -> dict[str, Any]:
        return {
            key: round(value, 12) if isinstance(value, float) else value
            for key, value in asdict(self).items()
        }

    @classmethod
    def from_json(cls, found: dict[str, Any]) -> Fit:
        return cls(**found)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The line through the points, or a parabola where a square term is significant and of weight.

    TooFewSizesError for fewer than MIN_SIZES different sizes.
    """
    if len(set(sizes)) < MIN_SIZES:
        raise TooFewSizesError(f"{len(set(sizes))} sizes, at least {MIN_SIZES} are needed for a slope")
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    line, line_errors = _least_squares(x, y, 1)
    parabola, parabola_errors = _least_squares(x, y, 2)
    largest = float(x.max())
    square = parabola[2]
    significant = abs(square) > parabola_errors[2]
    heavy = abs(square) * largest**2 > BEND_SHARE * abs(
        parabola[0] + parabola[1] * largest + square * largest**2
    )
    bent = significant and heavy
    intercept, slope, square = parabola if bent else (*line, 0.0)
    errors = parabola_errors if bent else [*line_errors, 0.0]
    return Fit(
        intercept,
        slope,
        line_errors[1],
        square,
        float(x.min()),
        largest,
        len(x),
        (errors[0], errors[1], errors[2]),
    )


def _least_squares(x: Any, y: Any, degree: int) -> tuple[list[float], list[float]]:
    """Coefficients from the constant up, and half the widths of their 95% intervals."""
    scale = float(x.max()) or 1.0  # sizes to a square differ by millions else
    columns = np.vander(x / scale, degree + 1, increasing=True)
    found, *_ = np.linalg.lstsq(columns, y, rcond=None)
    freedom = len(x) - degree - 1
    variance = float(np.sum((y - columns @ found) ** 2)) / freedom if freedom > 0 else math.inf
    spread = np.sqrt(np.clip(np.diag(np.linalg.pinv(columns.T @ columns)), 0.0, None) * variance)
    rounding = ROUNDING_SHARE * float(np.abs(y).max())
    powers = [scale**power for power in range(degree + 1)]
    return (
        [_exact(float(one), rounding) / power for one, power in zip(found, powers, strict=True)],
        [
            _exact(float(one) * _t(freedom), rounding) / power
            for one, power in zip(spread, powers, strict=True)
        ],
    )


def _exact(value: float, rounding: float) -> float:
    """The value, or 0 where it is no more than what rounding left over."""
    return value if abs(value) > rounding else 0.0


def _t(freedom: int) -> float:
    return T_975[min(max(freedom, 1), len(T_975)) - 1]
