"""What became of every message of a lab run, from the records of both sides.

Records are dicts (one JSON line each), all times in ns of one monotonic clock from the start of the load:

- ``try``: the load's hand-in of message ``key`` as ``id`` to ``forwarder``: ``due_ns``, ``sent_ns``,
  ``status`` (the HTTP status, 0 where no answer came) and ``cls``;
- ``call``: a call at endpoint ``endpoint`` of ``destination``: ``key``, ``id``, ``status``, ``at_ns``;
- ``notice``: a notice (PROTOCOL, Notices) for ``id`` with ``state``.

A message is *lost* when a forwarder took it on (200 or 202) and no endpoint answered 200 for it and no notice
ended it; *doubled* when endpoints answered 200 to one hand-in (one ``id``) more than once in a class whose
effect is ``once``. A message that the client handed in again after no answer (PROTOCOL: what is sent under
the old id then counts for nothing) and that was delivered under two ids is counted apart, as *resent*.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

TAKEN = (200, 202)
REFUSED = (429, 503)
SHOWN = 20
"""How many names of lost or doubled messages a verdict lists."""


@dataclass(slots=True)
class Tally:
    messages: int = 0
    accepted: int = 0
    refused: int = 0
    failed: int = 0
    delivered: int = 0
    late: int = 0
    noticed: int = 0
    lost: int = 0
    doubled: int = 0
    resent: int = 0
    misrouted: int = 0
    unanswered_delivered: int = 0
    latency_ms: dict[str, float] = field(default_factory=dict)


COUNTS = tuple(name for name in Tally.__dataclass_fields__ if name != "latency_ms")
"""The tally's counts, in the order in which reports show them."""


@dataclass(slots=True)
class _Message:
    cls: str
    destination: int
    deadline_ns: int
    first_sent_ns: int = -1
    accepted: bool = False
    last_status: int = 0
    ids: set[str] = field(default_factory=set)
    delivered_at: list[int] = field(default_factory=list)
    delivered_ids: list[str] = field(default_factory=list)
    wrong_place: bool = False


def _latency(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    return {f"p{q:g}": histogram.get_value_at_percentile(q) / 1000 for q in (50, 90, 99, 99.9)} | {
        "max": histogram.get_max_value() / 1000
    }


def _messages(
    records: Iterable[Mapping[str, Any]],
    deadlines_ns: Mapping[str, int],
) -> tuple[dict[str, _Message], dict[str, str], list[int], list[str]]:
    messages: dict[str, _Message] = {}
    noticed: dict[str, str] = {}
    lags: list[int] = []
    calls: list[Mapping[str, Any]] = []
    for r in records:
        if r["kind"] == "try":
            m = messages.setdefault(
                r["key"], _Message(r["cls"], r["destination"], r["due_ns"] + deadlines_ns[r["cls"]])
            )
            if m.first_sent_ns < 0:
                m.first_sent_ns = r["sent_ns"]
                lags.append(r["sent_ns"] - r["due_ns"])
            m.ids.add(r["id"])
            m.last_status = r["status"]
            m.accepted |= r["status"] in TAKEN
        elif r["kind"] == "call":
            calls.append(r)
        elif r["kind"] == "notice":
            noticed[r["id"]] = r["state"]
    phantoms: list[str] = []
    owner = {i: key for key, m in messages.items() for i in m.ids}
    for c in calls:
        found = messages.get(c.get("key") or owner.get(c["id"], ""))
        if found is None:
            phantoms.append(c["id"])  # no client handed it in: PROTOCOL voids such a run
            continue
        m = found
        m.wrong_place |= c["destination"] != m.destination
        if c["status"] == 200:
            m.delivered_at.append(c["at_ns"])
            m.delivered_ids.append(c["id"])
    return messages, noticed, lags, phantoms


def verdict(
    records: Iterable[Mapping[str, Any]],
    effects: Mapping[str, str],
    deadlines_ns: Mapping[str, int],
    max_lag_ms: float,
) -> dict[str, Any]:
    """The verdict as a JSON-ready dict: a tally per class and in all, the names of lost and doubled messages,
    the load's lag behind its schedule, and ``valid`` (False where the lag passed ``max_lag_ms``)."""
    messages, noticed, lags, phantoms = _messages(records, deadlines_ns)
    tallies: dict[str, Tally] = defaultdict(Tally)
    histograms: dict[str, HdrHistogram] = {}
    lost: list[str] = []
    doubled: list[str] = []
    for key, m in sorted(messages.items()):
        t = tallies[m.cls]
        histogram = histograms.setdefault(m.cls, HdrHistogram(1, 600_000_000, 3))
        _count(t, m, noticed, effects[m.cls], histogram, key, lost, doubled)
    for cls, t in tallies.items():
        t.latency_ms = _latency(histograms[cls])
    total = Tally()
    for t in tallies.values():
        for name in COUNTS:
            setattr(total, name, getattr(total, name) + getattr(t, name))
    lag = HdrHistogram(1, 600_000_000, 3)
    for value in lags:
        lag.record_value(max(1, value // 1000))
    lag_ms = (
        {"p99": lag.get_value_at_percentile(99) / 1000, "max": lag.get_max_value() / 1000} if lags else {}
    )
    return {
        "classes": {cls: asdict(t) for cls, t in sorted(tallies.items())},
        "total": asdict(total),
        "lost": total.lost,
        "doubled": total.doubled,
        "phantoms": len(phantoms),
        "lost_keys": lost[:SHOWN],
        "doubled_keys": doubled[:SHOWN],
        "lag_ms": lag_ms,
        "valid": not lags or lag_ms["max"] <= max_lag_ms,
    }


def _count(
    t: Tally,
    m: _Message,
    noticed: Mapping[str, str],
    effect: str,
    histogram: HdrHistogram,
    key: str,
    lost: list[str],
    doubled: list[str],
) -> None:
    t.messages += 1
    t.misrouted += m.wrong_place
    if m.delivered_at:
        t.delivered += 1
        first = min(m.delivered_at)
        t.late += first > m.deadline_ns
        histogram.record_value(max(1, (first - m.first_sent_ns) // 1000))
        t.unanswered_delivered += not m.accepted
        if effect == "once" and len(set(m.delivered_ids)) < len(m.delivered_ids):
            t.doubled += 1
            doubled.append(key)
        t.resent += effect == "once" and len(set(m.delivered_ids)) > 1
    if m.accepted:
        t.accepted += 1
        if not m.delivered_at:
            if any(i in noticed for i in m.ids):
                t.noticed += 1
            else:
                t.lost += 1
                lost.append(key)
    elif m.last_status in REFUSED:
        t.refused += 1
    else:
        t.failed += 1


def bad(result: Mapping[str, Any]) -> bool:
    """Whether the run lost or doubled anything, or an endpoint got a message that nobody handed in: the
    lab's exit is 1 then."""
    return bool(result["lost"] or result["doubled"] or result["phantoms"])
