"""Fits the growth of a value: its shape, its slope, and the value at another size.

Each shape is `value = base + slope * f(size)`, fitted by least squares on the medians.
Residuals are relative to the median, so that each decade of sizes counts the same.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from measure.scale.results import Point, Series

MAX_CONSTANT_RESIDUAL = 0.15
"""Root mean square of the relative residuals up to which medians count as constant."""
MAX_SHAPE_RESIDUAL = 0.15
"""The same for the shapes that grow."""
MIN_SIZES = 4
"""Sizes that a growing shape needs; two points would fit any shape."""


class Shape(Enum):
    """The shapes that are tried."""

    CONSTANT = "constant"
    LOGARITHM = "logarithm"
    LINEAR = "linear"
    LOG_LINEAR = "n log n"
    QUADRATIC = "quadratic"


TERMS: dict[Shape, Callable[[float], float]] = {
    Shape.LOGARITHM: lambda n: math.log2(n) if n > 0 else 0.0,
    Shape.LINEAR: lambda n: n,
    Shape.LOG_LINEAR: lambda n: n * math.log2(n) if n > 0 else 0.0,
    Shape.QUADRATIC: lambda n: n * n,
}
STEPS = {
    Shape.CONSTANT: "",
    Shape.LOGARITHM: "doubling of ",
    Shape.LINEAR: "",
    Shape.LOG_LINEAR: "n log2 n of ",
    Shape.QUADRATIC: "square of ",
}


@dataclass(frozen=True, slots=True)
class Line:
    """`base + slope * f(size)`."""

    base: float
    slope: float


@dataclass(frozen=True, slots=True)
class Spread:
    """A value with its spread over the repeats."""

    middle: float
    lowest: float
    highest: float


@dataclass(frozen=True, slots=True)
class Fit:
    """The growth of one series."""

    shape: Shape | None
    """None if no shape fits."""
    line: Line
    slope: Spread
    """Increase of the value for each unit of the shape's term; the value if `CONSTANT`.
    """
    residual: float
    """Root mean square of the relative residuals of the best shape."""
    repeats: tuple[Line, ...]
    """The same shape fitted to each repeat alone."""
    last_exponent: float
    """Exponent of the power law through the last two medians."""
    points: tuple[Point, ...]
    """The points, by rising size."""

    @property
    def last(self) -> Point:
        """The point of the largest size."""
        return self.points[-1]

    @property
    def plain(self) -> bool:
        """Whether some shape fits."""
        return self.shape is not None

    def at(self, size: float) -> Spread:
        """Estimate the value at another size.

        If no shape fits, the value is interpolated between the measured sizes.
        Beyond the largest size the power law through the last two points is
        extended, or the last value is kept if the power law falls.
        """
        if self.shape is None and self.points[0].size <= size <= self.last.size:
            return between(self.points, size)
        if self.shape is None:
            exponent = max(0.0, self.last_exponent)
            growth = (size / self.last.size) ** exponent if self.last.size else 1.0
            values = [value * growth for value in self.last.values]
            return Spread(self.last.median * growth, min(values), max(values))
        middle = value_of(self.shape, self.line, size)
        values = [value_of(self.shape, line, size) for line in self.repeats] or [middle]
        return Spread(middle, min(middle, *values), max(middle, *values))

    def describe(self, series: Series) -> str:
        """Describe the slope with its spread and the shape."""
        if self.shape is None:
            return f"shape not plain (last step ~ size^{self.last_exponent:.2f})"
        step = f" {series.value_unit}"
        if self.shape is not Shape.CONSTANT:
            step += f" a {STEPS[self.shape]}{series.size_unit}"
        slope = self.slope
        return f"{slope.middle:.4g} ({slope.lowest:.4g} to {slope.highest:.4g}){step}, {self.shape.value}"


def between(points: Sequence[Point], size: float) -> Spread:
    """Interpolate linearly between the points around a size."""
    after = next(n for n, point in enumerate(points) if point.size >= size)
    above = points[after]
    below = points[max(0, after - 1)]
    part = (
        (size - below.size) / (above.size - below.size)
        if above.size > below.size
        else 1.0
    )
    ends = [(below.median, above.median), (min(below.values), min(above.values))]
    ends.append((max(below.values), max(above.values)))
    return Spread(*(start + part * (end - start) for start, end in ends))


def value_of(shape: Shape, line: Line, size: float) -> float:
    """Return the value of a shape with these parameters."""
    if shape is Shape.CONSTANT:
        return line.base
    return line.base + line.slope * TERMS[shape](size)


def weighted_line(terms: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line by least squares, with residuals relative to the values."""
    weights = [1 / value**2 if value else 1.0 for value in values]
    whole = sum(weights)
    mean_term = sum(w * t for w, t in zip(weights, terms, strict=True)) / whole
    mean_value = sum(w * v for w, v in zip(weights, values, strict=True)) / whole
    above = sum(
        w * (t - mean_term) * (v - mean_value)
        for w, t, v in zip(weights, terms, values, strict=True)
    )
    below = sum(w * (t - mean_term) ** 2 for w, t in zip(weights, terms, strict=True))
    slope = above / below if below else 0.0
    return Line(mean_value - slope * mean_term, slope)


def fit_line(shape: Shape, sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the parameters with which a shape fits best."""
    if shape is Shape.CONSTANT:
        return Line(weighted_line([0.0] * len(values), values).base, 0.0)
    return weighted_line([TERMS[shape](size) for size in sizes], values)


def residual(
    shape: Shape, line: Line, sizes: Sequence[float], values: Sequence[float]
) -> float:
    """Return the root mean square of the relative residuals."""
    squares = [
        ((value_of(shape, line, size) - value) / (value or 1.0)) ** 2
        for size, value in zip(sizes, values, strict=True)
    ]
    return math.sqrt(sum(squares) / len(squares))


def last_exponent(points: Sequence[Point]) -> float:
    """Return the exponent of the power law through the last two medians.

    1 if there is no such law.
    """
    if len(points) < 2:
        return 1.0
    before, last = points[-2], points[-1]
    if min(before.median, last.median, before.size) <= 0 or last.size <= before.size:
        return 1.0
    return math.log(last.median / before.median) / math.log(last.size / before.size)


def fit(series: Series) -> Fit:
    """The plain shape of a series, or that there is none."""
    points = sorted(series.points, key=lambda point: point.size)
    sizes = [point.size for point in points]
    medians = [point.median for point in points]
    shape: Shape | None = Shape.CONSTANT
    line = fit_line(Shape.CONSTANT, sizes, medians)
    error = residual(Shape.CONSTANT, line, sizes, medians)
    if error > MAX_CONSTANT_RESIDUAL or len(sizes) < 2:
        lines = {tried: fit_line(tried, sizes, medians) for tried in TERMS}
        errors = {
            tried: residual(tried, lines[tried], sizes, medians) for tried in TERMS
        }
        best = min(errors, key=lambda tried: errors[tried])
        line, error = lines[best], errors[best]
        plain = (
            error <= MAX_SHAPE_RESIDUAL and len(sizes) >= MIN_SIZES and line.slope > 0
        )
        shape = best if plain else None
    if shape is None:
        return Fit(
            None,
            line,
            Spread(0.0, 0.0, 0.0),
            error,
            (),
            last_exponent(points),
            tuple(points),
        )
    repeats = tuple(
        fit_line(shape, sizes, [point.values[n] for point in points])
        for n in range(series.repeats)
    )
    flat = shape is Shape.CONSTANT
    slopes = [one.base if flat else one.slope for one in repeats]
    middle = line.base if flat else line.slope
    slope = Spread(middle, min(middle, *slopes), max(middle, *slopes))
    return Fit(shape, line, slope, error, repeats, last_exponent(points), tuple(points))
