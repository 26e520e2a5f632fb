"""Writes the tables of `docs/CAPACITY.md` from the stored results.

    python -m measure.scale.page [--check]

Each table stands between its markers. With `--check` nothing is written; the exit
status is 1 if the page differs from the results.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Callable, Iterable, Sequence

from measure.scale import results, target
from measure.scale.failures import (
    FAILURES,
    Failure,
    control_figures,
    held_messages,
    lost_per_s,
    others_per_s,
)
from measure.scale.fit import Spread, fit
from measure.scale.needs import (
    MESSAGE_NEEDS,
    Kind,
    Need,
    NeedResult,
    SeriesUse,
    evaluate_need,
)
from measure.scale.needs_control import CONTROL_NEEDS, REQUIRED_SHARES
from measure.scale.results import Entry, LocatedSeries, find_series
from measure.scale.target import Role

PAGE = results.ROOT / "docs" / "CAPACITY.md"
NOT_MEASURED = "not measured"
RATE_SERIES = "forwarder: processor time a message"
BLOCK = re.compile(
    r"(<!-- table: (?P<name>[a-z]+) -->\n).*?(<!-- end of table -->)", re.S
)
NEEDS: tuple[Need, ...] = MESSAGE_NEEDS + CONTROL_NEEDS


def format_number(value: float) -> str:
    """Format a figure with three digits and a metric prefix."""
    for factor, letter in ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")):
        if abs(value) >= factor * 0.9995:
            return f"{value / factor:.3g} {letter}"
    return f"{value:.3g}"


def format_quantity(value: float, unit: str) -> str:
    """Format a figure with its unit; bytes are shortened, as in 5 MB/s."""
    text = format_number(value)
    if not unit.startswith("byte"):
        return f"{text} {unit}"
    short = "B" + unit.removeprefix("byte")
    return text + short if text[-1].isalpha() else f"{text} {short}"


def format_spread(span: Spread) -> str:
    """Format the range of a value's repeats."""
    return f"{format_number(span.lowest)} to {format_number(span.highest)}"


def markdown_table(headers: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Format a table in Markdown."""
    lines = [headers, ["---"] * len(headers), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def format_grounds(found: NeedResult) -> str:
    """Describe how far a need lies beyond the measured range, and the fitted shapes."""
    if found.value is None:
        return NOT_MEASURED
    past = max(use.past_range(found.need.size) for use in found.uses)
    shapes = ", ".join(dict.fromkeys(shape_name(use) for use in found.uses))
    if past <= 1:
        return f"within the range; {shapes}"
    return f"{past:.3g} x past the range; {shapes}, assumed to go on"


def shape_name(use: SeriesUse) -> str:
    """Return the name of the fitted shape."""
    return use.fit.shape.value if use.fit.shape is not None else "not plain"


def format_allowance(need: Need) -> str:
    """Format an allowance with its source."""
    return f"{format_quantity(need.allowance, need.unit)} ({need.source})"


def ordered_results(entries: dict[str, Entry]) -> list[NeedResult]:
    """Evaluate all needs, by falling ratio; those that were not measured come last."""
    answers = [evaluate_need(need, entries) for need in NEEDS]
    return sorted(
        answers, key=lambda found: -(found.ratio if found.ratio is not None else -1.0)
    )


def ratios_table(entries: dict[str, Entry]) -> str:
    """Build the table of all needs by their ratio to the allowance."""
    rows = []
    for found in ordered_results(entries):
        need, value = found.need, found.value
        rows.append(
            (
                format_number(found.ratio) if found.ratio is not None else "-",
                f"{need.role}: {need.name}",
                f"{format_quantity(value.middle, need.unit)} ({format_spread(value)})"
                if value
                else NOT_MEASURED,
                format_allowance(need),
                format_grounds(found),
                need.mechanism,
            )
        )
    return markdown_table(
        ("ratio", "need", "comes to (spread)", "allowed", "grounds", "carried by"), rows
    )


def roles_table(entries: dict[str, Entry]) -> str:
    """Build the table of the largest ratio of each role and kind."""
    answers = [found for found in ordered_results(entries) if found.value is not None]

    def cell(role: Role, kind: Kind) -> str:
        for found in answers:
            if (
                found.need.role is role
                and found.need.kind is kind
                and found.value
                and found.ratio is not None
            ):
                quantity = format_quantity(found.value.middle, found.need.unit)
                return f"{quantity} ({format_number(found.ratio)})"
        return NOT_MEASURED

    rows = [(role.value, *(cell(role, kind) for kind in Kind)) for role in Role]
    return markdown_table(("role", *Kind), rows)


def slopes_table(entries: dict[str, Entry]) -> str:
    """Build the table of every series that a need uses: its growth and its run."""
    used = sorted({name for need in NEEDS for name in need.series})
    rows = []
    for name in used:
        found = find_series(entries, name)
        if found is None:
            rows.append((name, NOT_MEASURED, "-", "-", "-"))
            continue
        series, origin = found.series, found.origin
        least, most = series.range
        rows.append(
            (
                name,
                fit(series).describe(series),
                f"{format_number(least)} to {format_number(most)} {series.size_unit} x {series.repeats}",
                series.bound or "not said",
                f"`{origin.command}` at {origin.commit}",
            )
        )
    return markdown_table(
        (
            "series",
            "slope (spread over repeats), shape",
            "range, repeats",
            "bound",
            "run",
        ),
        rows,
    )


def required_shares_table(entries: dict[str, Entry]) -> str:
    """Build the table of the shares that have to be 1.

    It gives the largest measured size at which a share is 1, and the share at the
    target's size.
    """
    rows = []
    for required in REQUIRED_SHARES:
        found = find_series(entries, required.series)
        if found is None:
            rows.append((required.name, NOT_MEASURED, "-", "-"))
            continue
        points = sorted(found.series.points, key=lambda point: point.size)
        sound = [point.size for point in points if min(point.values) >= 1]
        at_target = next(
            (point for point in points if point.size == target.DESTINATIONS), None
        )
        share = NOT_MEASURED if at_target is None else f"{at_target.median:.2%}"
        run = f"`{found.origin.command}` at {found.origin.commit}"
        rows.append((required.name, f"{max(sound, default=0.0):,.0f}", share, run))
    return markdown_table(
        (
            "share of endpoints or lists",
            "whole up to",
            "at the target's endpoints",
            "run",
        ),
        rows,
    )


def others_cores(failure: Failure, entries: dict[str, Entry]) -> str:
    """Format the load of each other forwarder and the cores that it takes."""
    found = find_series(entries, RATE_SERIES)
    if found is None:
        return NOT_MEASURED
    per_s = others_per_s(failure)
    message_us = fit(found.series).at(per_s).middle
    return f"{format_number(per_s)}/s, {per_s * message_us / 1e6:.3g} core"


def control_figure(label: str, found: LocatedSeries | None) -> str:
    """Format a control figure at the target's number of forwarders.

    If fewer were measured, the figure is that of the largest measured number.
    """
    if found is None:
        return f"{label}: {NOT_MEASURED}"
    size = min(float(target.FORWARDERS), found.series.range[1])
    where = "" if size == target.FORWARDERS else f" (with {format_number(size)})"
    return f"{label}: {format_number(fit(found.series).at(size).middle)}{where}"


def control_text(failure: Failure, entries: dict[str, Entry]) -> str:
    """Format the control figures of a failure."""
    figures = control_figures(failure, entries)
    return (
        "; ".join(control_figure(label, found) for label, found in figures)
        or NOT_MEASURED
    )


def failures_table(entries: dict[str, Entry]) -> str:
    """Build the table of failures."""
    rows = []
    for failure in FAILURES:
        lost = lost_per_s(failure)
        share = lost / target.MESSAGES_PER_S
        held = held_messages(failure)
        peak = f"{format_number(lost)}/s ({share:.2%})"
        if failure.held_back_per_s:
            peak = f"{format_number(failure.held_back_per_s)}/s held back"
        rows.append(
            (
                failure.name,
                peak,
                others_cores(failure, entries),
                format_number(held) if held else "0",
                control_text(failure, entries),
                failure.remaining_service,
            )
        )
    headers = (
        "failure",
        "peak cost",
        "each other forwarder",
        "held meanwhile",
        "control",
        "who goes on",
    )
    return markdown_table(headers, rows)


TABLES: dict[str, Callable[[dict[str, Entry]], str]] = {
    "first": ratios_table,
    "roles": roles_table,
    "whole": required_shares_table,
    "failures": failures_table,
    "slopes": slopes_table,
}


def fill_tables(text: str, entries: dict[str, Entry]) -> str:
    """Return the page with every table built from the results."""
    return BLOCK.sub(
        lambda block: (
            block[1] + "\n" + TABLES[block["name"]](entries) + "\n" + block[3]
        ),
        text,
    )


def main(arguments: Sequence[str]) -> int:
    """Write or check the page; return the exit status."""
    text = PAGE.read_text()
    new_text = fill_tables(text, results.load_entries())
    if "--check" in arguments:
        return int(new_text != text)
    PAGE.write_text(new_text)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
