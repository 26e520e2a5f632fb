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

ACCEPTED_STATUSES = (200, 202)
REJECTED_STATUSES = (429, 503)
LISTED_KEYS = 20
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
    class_name: str
    destination: int
    deadline_ns: int
    first_sent_ns: int = -1
    accepted: bool = False
    last_status: int = 0
    ids: set[str] = field(default_factory=set)
    delivered_at_ns: list[int] = field(default_factory=list)
    delivered_ids: list[str] = field(default_factory=list)
    misrouted: bool = False
    session: str = ""
    number: int = 0
    acceptances: list[tuple[str, str, int]] = field(default_factory=list)
    """Each hand-in that was taken on: id, forwarder, when."""

    def lost(self, noticed: Mapping[str, str], wiped: Mapping[str, int]) -> bool:
        """Taken on, without an end; ``wiped``: when a forwarder last lost its folder."""
        if (
            not self.accepted
            or self.delivered_at_ns
            or any(i in noticed for i in self.ids)
        ):
            return False
        return not self.is_wiped(wiped)

    def is_wiped(self, wiped: Mapping[str, int]) -> bool:
        return all(wiped.get(member, -1) >= at for _, member, at in self.acceptances)

    def doubled(self, effect: str) -> bool:
        return effect == "once" and len(set(self.delivered_ids)) < len(
            self.delivered_ids
        )


def _latency_percentiles(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    return {
        f"p{q:g}": histogram.get_value_at_percentile(q) / 1000
        for q in (50, 90, 99, 99.9)
    } | {"max": histogram.get_max_value() / 1000}


@dataclass(slots=True)
class JoinedRecords:
    """The records of a run, joined by message."""

    messages: dict[str, Message] = field(default_factory=dict)
    noticed: dict[str, str] = field(default_factory=dict)
    wiped: dict[str, int] = field(default_factory=dict)
    lags_ns: list[int] = field(default_factory=list)
    phantoms: list[str] = field(default_factory=list)


def join_records(
    records: Iterable[Mapping[str, Any]], deadlines_ns: Mapping[str, int]
) -> JoinedRecords:
    joined = JoinedRecords()
    calls: list[Mapping[str, Any]] = []
    for record in records:
        if record["kind"] == "try":
            _add_attempt(joined, record, deadlines_ns)
        elif record["kind"] == "call":
            calls.append(record)
        elif record["kind"] == "notice":
            joined.noticed[record["id"]] = record["state"]
        elif record["kind"] == "process" and record["did"] == "wiped":
            joined.wiped[record["member"]] = max(
                record["at_ns"], joined.wiped.get(record["member"], -1)
            )
    owner = {i: key for key, message in joined.messages.items() for i in message.ids}
    for call in calls:
        message = joined.messages.get(call.get("key") or owner.get(call["id"], ""))
        if message is None:
            joined.phantoms.append(
                call["id"]
            )  # no client handed it in: PROTOCOL voids such a run
            continue
        message.misrouted |= call["destination"] != message.destination
        if call["status"] == 200:
            message.delivered_at_ns.append(call["at_ns"])
            message.delivered_ids.append(call["id"])
    return joined


def _add_attempt(
    joined: JoinedRecords, record: Mapping[str, Any], deadlines_ns: Mapping[str, int]
) -> None:
    ready_ns = record.get(
        "ready_ns", record["due_ns"]
    )  # one that had to wait for its session's turn was due only then
    message = joined.messages.get(record["key"])
    if message is None:
        message = joined.messages[record["key"]] = Message(
            record["cls"],
            record["destination"],
            ready_ns + deadlines_ns[record["cls"]],
            session=record.get("session", ""),
            number=record.get("number", 0),
        )
        message.first_sent_ns = record["sent_ns"]
        joined.lags_ns.append(record["sent_ns"] - ready_ns)
    message.ids.add(record["id"])
    message.last_status = record["status"]
    if record["status"] in ACCEPTED_STATUSES:
        message.accepted = True
        message.acceptances.append(
            (record["id"], f"f{record['forwarder']}", record["answer_ns"])
        )


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
    joined = join_records(records, deadlines_ns)
    tallies: dict[str, Tally] = defaultdict(Tally)
    histograms: dict[str, HdrHistogram] = {}
    lost: list[str] = []
    doubled: list[str] = []
    for key, message in sorted(joined.messages.items()):
        tally = tallies[message.class_name]
        histogram = histograms.setdefault(
            message.class_name, HdrHistogram(1, 600_000_000, 3)
        )
        _tally_message(
            tally,
            message,
            joined,
            effects[message.class_name],
            histogram,
            key,
            lost,
            doubled,
        )
    for cls, tally in tallies.items():
        tally.latency_ms = _latency_percentiles(histograms[cls])
    total = Tally()
    for tally in tallies.values():
        for name in COUNTS:
            setattr(total, name, getattr(total, name) + getattr(tally, name))
    lag = HdrHistogram(1, 600_000_000, 3)
    for value in joined.lags_ns:
        lag.record_value(max(1, value // 1000))
    lag_ms = (
        {
            "p99": lag.get_value_at_percentile(99) / 1000,
            "max": lag.get_max_value() / 1000,
        }
        if joined.lags_ns
        else {}
    )
    return {
        "classes": {cls: asdict(tally) for cls, tally in sorted(tallies.items())},
        "total": asdict(total),
        "lost": total.lost,
        "doubled": total.doubled,
        "phantoms": len(joined.phantoms),
        "lost_keys": lost[:LISTED_KEYS],
        "doubled_keys": doubled[:LISTED_KEYS],
        "lag_ms": lag_ms,
        "valid": not joined.lags_ns or lag_ms["max"] <= max_lag_ms,
    }


def _tally_message(
    tally: Tally,
    message: Message,
    joined: JoinedRecords,
    effect: str,
    histogram: HdrHistogram,
    key: str,
    lost: list[str],
    doubled: list[str],
) -> None:
    tally.messages += 1
    tally.misrouted += message.misrouted
    if message.delivered_at_ns:
        tally.delivered += 1
        first = min(message.delivered_at_ns)
        tally.late += first > message.deadline_ns
        histogram.record_value(max(1, (first - message.first_sent_ns) // 1000))
        tally.unanswered_delivered += not message.accepted
        if message.doubled(effect):
            tally.doubled += 1
            doubled.append(key)
        tally.resent += effect == "once" and len(set(message.delivered_ids)) > 1
    if message.accepted:
        tally.accepted += 1
        if not message.delivered_at_ns:
            if any(i in joined.noticed for i in message.ids):
                tally.noticed += 1
            elif message.lost(joined.noticed, joined.wiped):
                tally.lost += 1
                lost.append(key)
            else:
                tally.wiped += 1
    elif message.last_status in REJECTED_STATUSES:
        tally.refused += 1
    else:
        tally.failed += 1


def has_breach(result: Mapping[str, Any]) -> bool:
    """Whether the run lost or doubled anything, or an endpoint got a message that
    nobody handed in: the lab's exit is 1 then.
    """
    return bool(result["lost"] or result["doubled"] or result["phantoms"])
