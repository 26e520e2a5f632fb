"""Checks fits, limits, needs and the results file of `measure.scale`.

Fitted shapes are distinguished, and a run replaces only its own entry.
"""

from collections.abc import Callable
from pathlib import Path

import pytest

from measure.scale import page, results
from measure.scale.__main__ import discover_measurements, main
from measure.scale.fit import Shape, fit
from measure.scale.growth import expected_s, grow, sizes_by
from measure.scale.needs import Kind, Need, Source, evaluate_need
from measure.scale.results import Entry, Origin, Point, Series
from measure.scale.target import Role

SIZES = (100, 1_000, 10_000, 100_000)
ORIGIN = Origin(
    "0123abc", "python -m measure.scale x", "2 cores", "2026-01-01T00:00:00Z"
)


def series(
    of: Callable[[float], float], name: str = "cost", sizes: tuple[int, ...] = SIZES
) -> Series:
    points = tuple(Point(n, (of(n) * 0.97, of(n), of(n) * 1.04)) for n in sizes)
    return Series(
        name, Role.MESSAGE_PATH, "message", "us", points, "largest size wanted"
    )


@pytest.mark.parametrize(
    ("shape", "of"),
    [
        (Shape.CONSTANT, lambda n: 7.0),
        (Shape.LOGARITHM, lambda n: 3 * n.bit_length()),
        (Shape.LINEAR, lambda n: 50 + 2 * n),
        (Shape.LOG_LINEAR, lambda n: n * n.bit_length()),
        (Shape.QUADRATIC, lambda n: 10 + n * n / 100),
    ],
)
def test_fit_distinguishes_shapes(shape: Shape, of: Callable[[float], float]) -> None:
    found = fit(series(of))
    assert found.shape is shape
    at_target = found.at(1_000_000)
    assert at_target.middle == pytest.approx(of(1_000_000), rel=0.1)
    assert at_target.lowest < at_target.middle < at_target.highest
    assert found.slope.lowest < found.slope.middle < found.slope.highest


def test_fit_has_no_shape_if_none_fits() -> None:
    steps = dict(zip(SIZES, (1.0, 50.0, 55.0, 4_000.0), strict=True))
    assert fit(series(steps.__getitem__)).shape is None
    few = fit(series(lambda n: 2 * n, sizes=SIZES[:2]))
    assert few.shape is None
    assert "not plain" in few.describe(series(lambda n: 2 * n))
    assert few.at(10_000).middle == pytest.approx(
        20_000
    )  # extended from the last two points


def test_growth_stops_at_its_bounds() -> None:
    lines: list[str] = []
    whole = grow(
        sizes_by(10, 10, 500), lambda n: {"twice": 2.0 * n}, lines.append, repeats=2
    )
    assert [point.size for point in whole.points_of("twice")] == [10, 100, 500]
    assert whole.bound == "largest size wanted" and len(lines) == 3
    held = grow(
        (1, 2, 3),
        lambda n: {"bytes": 1e15},
        lines.append,
        repeats=1,
        memory=lambda run: run["bytes"],
    )
    assert len(held.points_of("bytes")) == 1 and held.bound.startswith("memory: size 2")
    assert expected_s(15.5, 15.0, 10.0) == pytest.approx(
        20.5
    )  # the part that every size takes does not grow
    late = grow((1, 2), lambda n: {"one": 1.0}, lines.append, repeats=1, point_s=0.0)
    assert late.bound.startswith("time: size 2")


def test_run_replaces_only_its_own_entry(tmp_path: Path) -> None:
    path = tmp_path / "results.json"
    first, other = (
        Entry(name, ORIGIN, (series(float, name),)) for name in ("first", "other")
    )
    results.merge_entries([first, other], path)
    again = Entry("first", ORIGIN, (series(lambda n: 5.0, "first"),))
    results.merge_entries([again], path)
    assert results.load_entries(path) == {"first": again, "other": other}
    found = results.find_series(results.load_entries(path), "other")
    assert found and found.series == other.series[0] and found.origin == ORIGIN


def test_measurements_are_discovered_and_listed(
    capsys: pytest.CaptureFixture[str],
) -> None:
    main(["--list"])
    listed = capsys.readouterr().out.splitlines()
    assert [line.split(":")[0] for line in listed] == list(discover_measurements())
    with pytest.raises(SystemExit):
        main(["no such measurement"])


def test_the_page_has_what_the_results_give() -> None:
    text = page.PAGE.read_text()
    assert {block["name"] for block in page.BLOCK.finditer(text)} == set(page.TABLES)
    assert page.fill_tables(text, results.load_entries()) == text, (
        "python -m measure.scale.page writes it anew"
    )


def test_a_need_is_the_sum_of_its_series_at_the_targets_size() -> None:
    entries = {
        "x": Entry(
            "x",
            ORIGIN,
            (series(lambda n: 2 * n, "out"), series(lambda n: 3 * n, "back")),
        )
    }
    need = Need(
        Role.MEMBERS,
        Kind.MESSAGES,
        "both ways",
        ("out", "back"),
        1_000_000,
        1e7,
        Source.STATED,
        "byte/s",
        "beats",
        4.0,
    )
    found = evaluate_need(need, entries)
    assert found.value and found.value.middle == pytest.approx(2e7)
    assert found.ratio == pytest.approx(2.0)
    assert page.format_grounds(found) == "10 x past the range; linear, assumed to go on"
    assert evaluate_need(need, {}).ratio is None  # not measured is no ratio


def test_value_without_a_shape_is_interpolated() -> None:
    steps = dict(zip(SIZES, (1.0, 50.0, 55.0, 4_000.0), strict=True))
    assert fit(series(steps.__getitem__)).at(5_500).middle == pytest.approx(52.5)


def test_falling_series_is_not_extrapolated_downwards() -> None:
    falling = dict(zip(SIZES, (9.0, 8.0, 4.0, 2.0), strict=True))
    found = fit(series(falling.__getitem__))
    assert found.shape is None and found.at(10_000_000).middle == pytest.approx(2.0)
