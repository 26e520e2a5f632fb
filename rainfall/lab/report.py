"""The report of a lab run: outcomes and latency per 100 ms over the timeline, the
faults drawn on it (PNG), and a page of figures (Markdown). Made from the records alone,
so ``report DIR`` can draw it again.
"""

from __future__ import annotations

import contextlib
import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any

from rainfall.lab import checker

BUCKET_NS = 100_000_000
SERIES = ("taken on", "refused", "no answer", "delivered")


def outcomes_by_bucket(
    records: Iterable[Mapping[str, Any]],
) -> dict[str, dict[int, int]]:
    """Counts per 100 ms bucket: tries by their answer (by send time), deliveries by
    their time.
    """
    counts: dict[str, dict[int, int]] = {name: defaultdict(int) for name in SERIES}
    for record in records:
        if record["kind"] == "try":
            name = (
                "taken on"
                if record["status"] in (200, 202)
                else "refused"
                if record["status"] in (429, 503)
                else ("no answer" if not record["status"] else "refused")
            )
            counts[name][record["sent_ns"] // BUCKET_NS] += 1
        elif record["kind"] == "call" and record["status"] == 200:
            counts["delivered"][record["at_ns"] // BUCKET_NS] += 1
    return counts


def latencies_by_bucket(records: Iterable[Mapping[str, Any]]) -> dict[int, list[float]]:
    """Milliseconds from the first send to the first delivery, by the bucket of the
    send.
    """
    first: dict[str, int] = {}
    done: dict[str, int] = {}
    owner: dict[str, str] = {}
    for record in records:
        if record["kind"] == "try":
            first.setdefault(record["key"], record["sent_ns"])
            owner[record["id"]] = record["key"]
        elif record["kind"] == "call" and record["status"] == 200:
            key = record.get("key") or owner.get(record["id"], "")
            done[key] = min(done.get(key, record["at_ns"]), record["at_ns"])
    out: dict[int, list[float]] = defaultdict(list)
    for key, at in done.items():
        if key in first:
            out[first[key] // BUCKET_NS].append((at - first[key]) / 1e6)
    return out


def load_run(folder: Path) -> tuple[list[dict[str, Any]], dict[str, Any]]:
    records = [
        json.loads(line)
        for line in (folder / "records.jsonl").read_text().splitlines()
        if line
    ]
    return records, json.loads((folder / "verdict.json").read_text())


def draw(folder: Path) -> Path:
    """Write ``report.png`` and ``report.md`` into the folder of a run;
    FileNotFoundError if it holds none.
    """
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    records, result = load_run(folder)
    figure, (top, bottom) = plt.subplots(2, 1, figsize=(11, 6.5), sharex=True)
    series = outcomes_by_bucket(records)
    span = [x for counts in series.values() for x in counts] or [0]
    xs = list(
        range(min(span), max(span) + 1)
    )  # empty buckets are drawn as 0, not left out
    for name, counts in series.items():
        top.plot(
            [x / 10 for x in xs],
            [counts.get(x, 0) for x in xs],
            label=name,
            linewidth=1.2,
        )
    latencies = latencies_by_bucket(records)
    xs = sorted(latencies)
    for q, style in ((50, "-"), (99, "--")):
        ys = [
            sorted(latencies[x])[
                min(len(latencies[x]) - 1, int(len(latencies[x]) * q / 100))
            ]
            for x in xs
        ]
        bottom.plot([x / 10 for x in xs], ys, style, label=f"p{q}", color="tab:purple")
    for record in records:
        if record["kind"] == "fault":
            for axis in (top, bottom):
                axis.axvspan(
                    record["at_ns"] / 1e9,
                    max(record["until_ns"], record["at_ns"] + 50_000_000) / 1e9,
                    color="tab:red",
                    alpha=0.15,
                )
            top.annotate(
                f"{record['fault']} {record['target']}",
                (record["at_ns"] / 1e9, top.get_ylim()[1] * 0.92),
                fontsize=8,
                color="tab:red",
            )
    top.set_ylabel("per 100 ms")
    top.legend(loc="upper right", fontsize=8)
    bottom.set_ylabel("latency, ms")
    bottom.set_yscale("log")
    bottom.set_xlabel("seconds from the start of the load")
    bottom.legend(loc="upper right", fontsize=8)
    top.set_title(
        f"{result.get('experiment', '')}, seed {result.get('seed', '')}: lost {result['lost']}, "
        f"doubled {result['doubled']}, resent {result['total'].get('resent', 0)}"
        f"{'' if result['valid'] else ', INVALID (load lagged)'}"
    )
    figure.tight_layout()
    picture = folder / "report.png"
    figure.savefig(picture, dpi=90)
    plt.close(figure)
    (folder / "report.md").write_text(markdown_page(result))
    return picture


def markdown_page(result: Mapping[str, Any]) -> str:
    names = checker.COUNTS[: checker.COUNTS.index("resent") + 1]
    lines = [
        f"# {result.get('experiment', '')}, seed {result.get('seed', '')}",
        "",
        f"valid: {result['valid']}; load lag {result['lag_ms']} ms",
        "",
        "| class | " + " | ".join(names) + " | p50 ms | p99 ms |",
        "|" + " --- |" * (len(names) + 3),
    ]
    for cls, tally in [*result["classes"].items(), ("all", result["total"])]:
        latency = tally.get("latency_ms") or {}
        lines.append(
            f"| {cls} | "
            + " | ".join(str(tally[n]) for n in names)
            + f" | {latency.get('p50', '-')} | {latency.get('p99', '-')} |"
        )
    for destination, budget in sorted(result.get("budgets", {}).items()):
        lines += [
            "",
            f"destination {destination}: whole {budget['whole']} calls in "
            f"{budget['span_ms']} ms, worst sliding span "
            f"{budget['worst']}, over by {budget['over']}, used {budget['used']}, refused for each delivery "
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
    """One message's way across processes, in time order: the lab's records of its
    tries, calls and notices, and every forwarder's JSON log lines of its ids, all in ns
    from the start of the load.
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
        if record["kind"] != "sent"
        and (
            record.get("key") == key or record.get("id") in ids
        )  # sent: a log line has it
    ]
    for log in sorted((folder / "members").glob("*/log-*.txt")):
        for text in log.read_text(errors="replace").splitlines():
            if '"message_id"' in text and any(i in text for i in ids):
                with contextlib.suppress(ValueError):
                    line = json.loads(text)
                    if line.get("message_id") in ids:
                        lines.append({**line, "t_ns": line["t_ns"] - result["t0_ns"]})
    return sorted(lines, key=lambda line: line["t_ns"])
