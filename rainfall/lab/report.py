"""The report of a lab run: a chart (PNG) and a page of figures (Markdown).

The chart shows outcomes and latency over time, in buckets of 100 ms, with the faults.
Both are made from the files in the folder alone, so ``report DIR`` can write them again.
"""

from __future__ import annotations

import contextlib
import json
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from rainfall.lab import checker
from rainfall.lab.statuses import ACCEPTED_STATUSES, DELIVERED_STATUS

BUCKET_NS = 100_000_000
BUCKETS_PER_S = 10
NS_PER_S = 1e9
NS_PER_MS = 1e6
SERIES = ("accepted", "refused", "no answer", "delivered")
LATENCY_LINES = ((50, "-"), (99, "--"))
"""Percentiles in the chart, with their line styles."""
SHORTEST_DRAWN_FAULT_NS = 50_000_000
"""A shorter fault is drawn this long, so that it is visible."""
FIGURE_SIZE_INCHES = (11, 6.5)
FIGURE_DPI = 90


class LoadedRun(NamedTuple):
    """The records and the verdict of a run."""

    records: list[dict[str, Any]]
    result: dict[str, Any]
    """The verdict."""


def outcomes_by_bucket(
    records: Iterable[Mapping[str, Any]],
) -> dict[str, dict[int, int]]:
    """Counts by series, then by bucket.

    Attempts are counted by their response at their send time, deliveries at the time of
    the call.
    """
    counts: dict[str, dict[int, int]] = {name: defaultdict(int) for name in SERIES}
    for record in records:
        if record["kind"] == "try":
            name = _attempt_series(record["status"])
            counts[name][record["sent_ns"] // BUCKET_NS] += 1
        elif record["kind"] == "call" and record["status"] == DELIVERED_STATUS:
            counts["delivered"][record["at_ns"] // BUCKET_NS] += 1
    return counts


def _attempt_series(status: int) -> str:
    if status in ACCEPTED_STATUSES:
        return "accepted"
    return "refused" if status else "no answer"


def latencies_by_bucket(records: Iterable[Mapping[str, Any]]) -> dict[int, list[float]]:
    """Latencies in ms from first attempt to first delivery, by the bucket of the attempt."""
    first_sent_ns: dict[str, int] = {}
    delivered_ns: dict[str, int] = {}
    key_of_id: dict[str, str] = {}
    for record in records:
        if record["kind"] == "try":
            first_sent_ns.setdefault(record["key"], record["sent_ns"])
            key_of_id[record["id"]] = record["key"]
        elif record["kind"] == "call" and record["status"] == DELIVERED_STATUS:
            key = record.get("key") or key_of_id.get(record["id"], "")
            at_ns = record["at_ns"]
            delivered_ns[key] = min(delivered_ns.get(key, at_ns), at_ns)
    latencies_ms: dict[int, list[float]] = defaultdict(list)
    for key, at_ns in delivered_ns.items():
        if key in first_sent_ns:
            sent_ns = first_sent_ns[key]
            latencies_ms[sent_ns // BUCKET_NS].append((at_ns - sent_ns) / NS_PER_MS)
    return latencies_ms


def load_run(folder: Path) -> LoadedRun:
    """Load the records and the verdict of a run.

    Raises:
        FileNotFoundError: A file is missing in the folder.
    """
    records = [
        json.loads(line)
        for line in (folder / "records.jsonl").read_text().splitlines()
        if line
    ]
    return LoadedRun(records, json.loads((folder / "verdict.json").read_text()))


def write_report(folder: Path) -> Path:
    """Write ``report.png`` and ``report.md`` to a run's folder; return the PNG's path.

    Raises:
        FileNotFoundError: A file is missing in the folder.
    """
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    records, result = load_run(folder)
    figure, (outcome_axis, latency_axis) = plt.subplots(
        2, 1, figsize=FIGURE_SIZE_INCHES, sharex=True
    )
    _draw_outcomes(outcome_axis, records)
    _draw_latencies(latency_axis, records)
    for record in records:
        if record["kind"] == "fault":
            _draw_fault(outcome_axis, latency_axis, record)
    outcome_axis.set_ylabel("per 100 ms")
    outcome_axis.legend(loc="upper right", fontsize=8)
    outcome_axis.set_title(_title(result))
    latency_axis.set_ylabel("latency, ms")
    latency_axis.set_yscale("log")
    latency_axis.set_xlabel("seconds from the start of the load")
    latency_axis.legend(loc="upper right", fontsize=8)
    figure.tight_layout()
    chart_path = folder / "report.png"
    figure.savefig(chart_path, dpi=FIGURE_DPI)
    plt.close(figure)
    (folder / "report.md").write_text(markdown_page(result))
    return chart_path


def _title(result: Mapping[str, Any]) -> str:
    invalid = "" if result["valid"] else ", INVALID (load lagged)"
    return (
        f"{result.get('experiment', '')}, seed {result.get('seed', '')}: "
        f"lost {result['lost']}, doubled {result['doubled']}, "
        f"resent {result['total'].get('resent', 0)}{invalid}"
    )


def _draw_outcomes(axis: Any, records: list[dict[str, Any]]) -> None:
    series = outcomes_by_bucket(records)
    used_buckets = [bucket for counts in series.values() for bucket in counts] or [0]
    # Draw empty buckets as 0.
    buckets = range(min(used_buckets), max(used_buckets) + 1)
    times_s = [bucket / BUCKETS_PER_S for bucket in buckets]
    for name, counts in series.items():
        values = [counts.get(bucket, 0) for bucket in buckets]
        axis.plot(times_s, values, label=name, linewidth=1.2)


def _draw_latencies(axis: Any, records: list[dict[str, Any]]) -> None:
    latencies_ms = latencies_by_bucket(records)
    buckets = sorted(latencies_ms)
    times_s = [bucket / BUCKETS_PER_S for bucket in buckets]
    for percentile, style in LATENCY_LINES:
        values = [_percentile(latencies_ms[bucket], percentile) for bucket in buckets]
        axis.plot(times_s, values, style, label=f"p{percentile}", color="tab:purple")


def _percentile(values: list[float], percentile: int) -> float:
    index = int(len(values) * percentile / 100)
    return sorted(values)[min(len(values) - 1, index)]


def _draw_fault(
    outcome_axis: Any, latency_axis: Any, record: Mapping[str, Any]
) -> None:
    begin_ns = record["at_ns"]
    end_ns = max(record["until_ns"], begin_ns + SHORTEST_DRAWN_FAULT_NS)
    for axis in (outcome_axis, latency_axis):
        axis.axvspan(
            begin_ns / NS_PER_S, end_ns / NS_PER_S, color="tab:red", alpha=0.15
        )
    outcome_axis.annotate(
        f"{record['fault']} {record['target']}",
        (begin_ns / NS_PER_S, outcome_axis.get_ylim()[1] * 0.92),
        fontsize=8,
        color="tab:red",
    )


def markdown_page(result: Mapping[str, Any]) -> str:
    """The figures of a verdict as a Markdown page."""
    names = checker.COUNTS[: checker.COUNTS.index("resent") + 1]
    lines = [
        f"# {result.get('experiment', '')}, seed {result.get('seed', '')}",
        "",
        f"valid: {result['valid']}; load lag {result['lag_ms']} ms",
        "",
        "| class | " + " | ".join(names) + " | p50 ms | p99 ms |",
        "|" + " --- |" * (len(names) + 3),
    ]
    for class_name, tally in [*result["classes"].items(), ("all", result["total"])]:
        latency_ms = tally.get("latency_ms") or {}
        counts = " | ".join(str(tally[name]) for name in names)
        percentiles = f"{latency_ms.get('p50', '-')} | {latency_ms.get('p99', '-')}"
        lines.append(f"| {class_name} | {counts} | {percentiles} |")
    for destination, budget in sorted(result.get("budgets", {}).items()):
        lines += [
            "",
            f"destination {destination}: limit {budget['whole']} calls in "
            f"{budget['span_ms']} ms, fullest window "
            f"{budget['worst']}, over by {budget['over']}, used {budget['used']}, rejected per delivery "
            f"{budget['refused_per_delivery']}",
        ]
    lines += [
        "",
        f"breaches: {result.get('breaches', [])}",
        f"lost: {result['lost_keys']}",
        f"doubled: {result['doubled_keys']}",
        "",
        "![timeline](report.png)",
    ]
    return "\n".join(lines) + "\n"


def message_path(folder: Path, key: str) -> list[dict[str, Any]]:
    """The events of one message in all processes, ordered by time.

    These are the lab's records of attempts, calls and notifications of the message, and
    the log lines of all processes with its ids. Times are in ns from the start of the
    load.
    """
    records, result = load_run(folder)
    ids = {
        record["id"]
        for record in records
        if record["kind"] == "try" and record["key"] == key
    }
    lines = [
        {"t_ns": record.get("sent_ns", record.get("at_ns")), "process": "lab", **record}
        for record in records
        # Records of the kind "sent" come from log lines, which are added below.
        if record["kind"] != "sent"
        and (record.get("key") == key or record.get("id") in ids)
    ]
    for log_path in sorted((folder / "members").glob("*/log-*.txt")):
        for line in _log_lines(log_path, ids):
            lines.append({**line, "t_ns": line["t_ns"] - result["t0_ns"]})
    return sorted(lines, key=lambda line: line["t_ns"])


def _log_lines(log_path: Path, ids: set[str]) -> Iterator[dict[str, Any]]:
    """Yield the JSON lines of a log whose ``message_id`` is one of ``ids``."""
    for text in log_path.read_text(errors="replace").splitlines():
        if '"message_id"' not in text or not any(
            message_id in text for message_id in ids
        ):
            continue
        with contextlib.suppress(ValueError):
            line = json.loads(text)
            if line.get("message_id") in ids:
                yield line
