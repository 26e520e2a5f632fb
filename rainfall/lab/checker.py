"""What became of every message of a lab run, from the records of both sides.

Records are dicts (one JSON line each), all times in ns of one monotonic clock from the
start of the load:

- ``try``: the load's hand-in of message ``key`` as ``id`` to ``forwarder``: ``due_ns``,
  ``sent_ns``,
  ``status`` (the HTTP status, 0 where no answer came) and ``cls``;
- ``call``: a call at endpoint ``endpoint`` of ``destination``: ``key``, ``id``,
  ``status``, ``at_ns``;
- ``notice``: a notice (PROTOCOL, Notices) for ``id`` with ``state``;
- ``process``: what became of a process: ``member``, ``did`` (``started``, ``ended``,
  ``wiped``), ``at_ns``.

A message is *lost* when a forwarder took it on (200 or 202) and no endpoint answered
200 for it and no notice ended it; where each forwarder that took it on lost its folder
later it is *wiped* instead (PROTOCOL: it is owed its end while the disk lasts);
*doubled* when endpoints answered 200 to one hand-in (one ``id``) more than once in a
class whose effect is ``once``. A message that the client handed in again after no
answer (PROTOCOL: what is sent under the old id then counts for nothing) and that was
delivered under two ids is counted apart, as *resent*.
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
    wiped: int = 0
    doubled: int = 0
    resent: int = 0
    misrouted: int = 0
    unanswered_delivered: int = 0
    latency_ms: dict[str, float] = field(default_factory=dict)


COUNTS = tuple(name for name in Tally.__dataclass_fields__ if name != "latency_ms")
"""The tally's counts, in the order in which reports show them."""


@dataclass(slots=True)
class Message:
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
    session: str = ""
    number: int = 0
    taken: list[tuple[str, str, int]] = field(default_factory=list)
    """Each hand-in that was taken on: id, forwarder, when."""

    def lost(self, noticed: Mapping[str, str], wiped: Mapping[str, int]) -> bool:
        """Taken on, without an end; ``wiped``: when a forwarder last lost its
        folder.
        """
        if (
            not self.accepted
            or self.delivered_at
            or any(i in noticed for i in self.ids)
        ):
            return False
        return not self.gone(wiped)

    def gone(self, wiped: Mapping[str, int]) -> bool:
        return all(wiped.get(member, -1) >= at for _, member, at in self.taken)

    def doubled(self, effect: str) -> bool:
        return effect == "once" and len(set(self.delivered_ids)) < len(
            self.delivered_ids
        )


def _latency(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    return {
        f"p{q:g}": histogram.get_value_at_percentile(q) / 1000
        for q in (50, 90, 99, 99.9)
    } | {"max": histogram.get_max_value() / 1000}


@dataclass(slots=True)
class Joined:
    """The records of a run, joined by message."""

    messages: dict[str, Message] = field(default_factory=dict)
    noticed: dict[str, str] = field(default_factory=dict)
    wiped: dict[str, int] = field(default_factory=dict)
    lags: list[int] = field(default_factory=list)
    phantoms: list[str] = field(default_factory=list)


def join(
    records: Iterable[Mapping[str, Any]], deadlines_ns: Mapping[str, int]
) -> Joined:
    j = Joined()
    calls: list[Mapping[str, Any]] = []
    for r in records:
        if r["kind"] == "try":
            _try(j, r, deadlines_ns)
        elif r["kind"] == "call":
            calls.append(r)
        elif r["kind"] == "notice":
            j.noticed[r["id"]] = r["state"]
        elif r["kind"] == "process" and r["did"] == "wiped":
            j.wiped[r["member"]] = max(r["at_ns"], j.wiped.get(r["member"], -1))
    owner = {i: key for key, m in j.messages.items() for i in m.ids}
    for c in calls:
        m = j.messages.get(c.get("key") or owner.get(c["id"], ""))
        if m is None:
            j.phantoms.append(
                c["id"]
            )  # no client handed it in: PROTOCOL voids such a run
            continue
        m.wrong_place |= c["destination"] != m.destination
        if c["status"] == 200:
            m.delivered_at.append(c["at_ns"])
            m.delivered_ids.append(c["id"])
    return j


def _try(j: Joined, r: Mapping[str, Any], deadlines_ns: Mapping[str, int]) -> None:
    ready = r.get(
        "ready_ns", r["due_ns"]
    )  # one that had to wait for its session's turn was due only then
    m = j.messages.get(r["key"])
    if m is None:
        m = j.messages[r["key"]] = Message(
            r["cls"],
            r["destination"],
            ready + deadlines_ns[r["cls"]],
            session=r.get("session", ""),
            number=r.get("number", 0),
        )
        m.first_sent_ns = r["sent_ns"]
        j.lags.append(r["sent_ns"] - ready)
    m.ids.add(r["id"])
    m.last_status = r["status"]
    if r["status"] in TAKEN:
        m.accepted = True
        m.taken.append((r["id"], f"f{r['forwarder']}", r["answer_ns"]))


def verdict(
    records: Iterable[Mapping[str, Any]],
    effects: Mapping[str, str],
    deadlines_ns: Mapping[str, int],
    max_lag_ms: float,
) -> dict[str, Any]:
    """The verdict as a JSON-ready dict: a tally per class and in all, the names of lost
    and doubled messages, the load's lag behind its schedule, and ``valid`` (False where
    the lag passed ``max_lag_ms``).
    """
    j = join(records, deadlines_ns)
    tallies: dict[str, Tally] = defaultdict(Tally)
    histograms: dict[str, HdrHistogram] = {}
    lost: list[str] = []
    doubled: list[str] = []
    for key, m in sorted(j.messages.items()):
        t = tallies[m.cls]
        histogram = histograms.setdefault(m.cls, HdrHistogram(1, 600_000_000, 3))
        _count(t, m, j, effects[m.cls], histogram, key, lost, doubled)
    for cls, t in tallies.items():
        t.latency_ms = _latency(histograms[cls])
    total = Tally()
    for t in tallies.values():
        for name in COUNTS:
            setattr(total, name, getattr(total, name) + getattr(t, name))
    lag = HdrHistogram(1, 600_000_000, 3)
    for value in j.lags:
        lag.record_value(max(1, value // 1000))
    lag_ms = (
        {
            "p99": lag.get_value_at_percentile(99) / 1000,
            "max": lag.get_max_value() / 1000,
        }
        if j.lags
        else {}
    )
    return {
        "classes": {cls: asdict(t) for cls, t in sorted(tallies.items())},
        "total": asdict(total),
        "lost": total.lost,
        "doubled": total.doubled,
        "phantoms": len(j.phantoms),
        "lost_keys": lost[:SHOWN],
        "doubled_keys": doubled[:SHOWN],
        "lag_ms": lag_ms,
        "valid": not j.lags or lag_ms["max"] <= max_lag_ms,
    }


def _count(
    t: Tally,
    m: Message,
    j: Joined,
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
        if m.doubled(effect):
            t.doubled += 1
            doubled.append(key)
        t.resent += effect == "once" and len(set(m.delivered_ids)) > 1
    if m.accepted:
        t.accepted += 1
        if not m.delivered_at:
            if any(i in j.noticed for i in m.ids):
                t.noticed += 1
            elif m.lost(j.noticed, j.wiped):
                t.lost += 1
                lost.append(key)
            else:
                t.wiped += 1
    elif m.last_status in REFUSED:
        t.refused += 1
    else:
        t.failed += 1


def bad(result: Mapping[str, Any]) -> bool:
    """Whether the run lost or doubled anything, or an endpoint got a message that
    nobody handed in: the lab's exit is 1 then.
    """
    return bool(result["lost"] or result["doubled"] or result["phantoms"])
