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


def buckets(records: Iterable[Mapping[str, Any]]) -> dict[str, dict[int, int]]:
    """Counts per 100 ms bucket: tries by their answer (by send time), deliveries by
    their time.
    """
    counts: dict[str, dict[int, int]] = {name: defaultdict(int) for name in SERIES}
    for r in records:
        if r["kind"] == "try":
            name = (
                "taken on"
                if r["status"] in (200, 202)
                else "refused"
                if r["status"] in (429, 503)
                else ("no answer" if not r["status"] else "refused")
            )
            counts[name][r["sent_ns"] // BUCKET_NS] += 1
        elif r["kind"] == "call" and r["status"] == 200:
            counts["delivered"][r["at_ns"] // BUCKET_NS] += 1
    return counts


def latencies(records: Iterable[Mapping[str, Any]]) -> dict[int, list[float]]:
    """Milliseconds from the first send to the first delivery, by the bucket of the
    send.
    """
    first: dict[str, int] = {}
    done: dict[str, int] = {}
    owner: dict[str, str] = {}
    for r in records:
        if r["kind"] == "try":
            first.setdefault(r["key"], r["sent_ns"])
            owner[r["id"]] = r["key"]
        elif r["kind"] == "call" and r["status"] == 200:
            key = r.get("key") or owner.get(r["id"], "")
            done[key] = min(done.get(key, r["at_ns"]), r["at_ns"])
    out: dict[int, list[float]] = defaultdict(list)
    for key, at in done.items():
        if key in first:
            out[first[key] // BUCKET_NS].append((at - first[key]) / 1e6)
    return out


def load(folder: Path) -> tuple[list[dict[str, Any]], dict[str, Any]]:
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

    records, result = load(folder)
    figure, (top, low) = plt.subplots(2, 1, figsize=(11, 6.5), sharex=True)
    series = buckets(records)
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
    lat = latencies(records)
    xs = sorted(lat)
    for q, style in ((50, "-"), (99, "--")):
        ys = [
            sorted(lat[x])[min(len(lat[x]) - 1, int(len(lat[x]) * q / 100))] for x in xs
        ]
        low.plot([x / 10 for x in xs], ys, style, label=f"p{q}", color="tab:purple")
    for r in records:
        if r["kind"] == "fault":
            for axis in (top, low):
                axis.axvspan(
                    r["at_ns"] / 1e9,
                    max(r["until_ns"], r["at_ns"] + 50_000_000) / 1e9,
                    color="tab:red",
                    alpha=0.15,
                )
            top.annotate(
                f"{r['fault']} {r['target']}",
                (r["at_ns"] / 1e9, top.get_ylim()[1] * 0.92),
                fontsize=8,
                color="tab:red",
            )
    top.set_ylabel("per 100 ms")
    top.legend(loc="upper right", fontsize=8)
    low.set_ylabel("latency, ms")
    low.set_yscale("log")
    low.set_xlabel("seconds from the start of the load")
    low.legend(loc="upper right", fontsize=8)
    top.set_title(
        f"{result.get('experiment', '')}, seed {result.get('seed', '')}: lost {result['lost']}, "
        f"doubled {result['doubled']}, resent {result['total'].get('resent', 0)}"
        f"{'' if result['valid'] else ', INVALID (load lagged)'}"
    )
    figure.tight_layout()
    picture = folder / "report.png"
    figure.savefig(picture, dpi=90)
    plt.close(figure)
    (folder / "report.md").write_text(page(result))
    return picture


def page(result: Mapping[str, Any]) -> str:
    names = checker.COUNTS[: checker.COUNTS.index("resent") + 1]
    lines = [
        f"# {result.get('experiment', '')}, seed {result.get('seed', '')}",
        "",
        f"valid: {result['valid']}; load lag {result['lag_ms']} ms",
        "",
        "| class | " + " | ".join(names) + " | p50 ms | p99 ms |",
        "|" + " --- |" * (len(names) + 3),
    ]
    for cls, t in [*result["classes"].items(), ("all", result["total"])]:
        lat = t.get("latency_ms") or {}
        lines.append(
            f"| {cls} | "
            + " | ".join(str(t[n]) for n in names)
            + f" | {lat.get('p50', '-')} | {lat.get('p99', '-')} |"
        )
    for destination, b in sorted(result.get("budgets", {}).items()):
        lines += [
            "",
            f"destination {destination}: whole {b['whole']} calls in {b['span_ms']} ms, worst sliding span "
            f"{b['worst']}, over by {b['over']}, used {b['used']}, refused for each delivery "
            f"{b['refused_per_delivery']}",
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


def path(folder: Path, key: str) -> list[dict[str, Any]]:
    """One message's way across processes, in time order: the lab's records of its
    tries, calls and notices, and every forwarder's JSON log lines of its ids, all in ns
    from the start of the load.
    """
    records, result = load(folder)
    ids = {r["id"] for r in records if r["kind"] == "try" and r["key"] == key}
    lines = [
        {"t_ns": r.get("sent_ns", r.get("at_ns")), "process": "lab", **r}
        for r in records
        if r["kind"] != "sent"
        and (r.get("key") == key or r.get("id") in ids)  # sent: a log line has it
    ]
    for log in sorted((folder / "members").glob("*/log-*.txt")):
        for text in log.read_text(errors="replace").splitlines():
            if '"message_id"' in text and any(i in text for i in ids):
                with contextlib.suppress(ValueError):
                    line = json.loads(text)
                    if line.get("message_id") in ids:
                        lines.append({**line, "t_ns": line["t_ns"] - result["t0_ns"]})
    return sorted(lines, key=lambda line: line["t_ns"])
