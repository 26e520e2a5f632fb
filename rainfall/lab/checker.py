"""Determines the outcome of every message of a lab run from the records.

Records are dicts, stored as JSON lines. All times are in ns of one monotonic clock,
counted from the start of the load:

- ``try``: an attempt of the load generator to send message ``key`` with the id ``id`` to
  ``forwarder``: ``due_ns``, ``sent_ns``, ``status`` (the HTTP status, or 0 if no answer
  came) and ``cls`` (the class);
- ``call``: a call received by endpoint ``endpoint`` of ``destination``: ``key``, ``id``,
  ``status``, ``at_ns``;
- ``notice``: a notification (PROTOCOL, Notices) for ``id`` with ``state``;
- ``process``: an event of process ``member``: ``did`` (``started``, ``ended``, or
  ``wiped`` when its state folder was deleted) and ``at_ns``.

A message is *lost* if a forwarder accepted it (200 or 202), no endpoint answered 200 for
it, and no notification reported its final state. If each forwarder that accepted it lost
its state folder later, it counts as *wiped* instead: PROTOCOL requires a final state only
while the disk survives.

A message is *doubled* if its class has the effect ``once`` and endpoints answered 200 more
than once to one attempt (one ``id``). A message that the client sent again because no
answer came, and that was delivered under two ids, counts as *resent*: PROTOCOL requires
nothing for the earlier id.

A *phantom* is a call for a message that the load never sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from rainfall.lab.statuses import (
    ACCEPTED_STATUSES,
    DELIVERED_STATUS,
    REJECTED_STATUSES,
)

LISTED_KEYS = 20
"""How many keys of lost messages, and of doubled ones, a verdict lists."""
LONGEST_LATENCY_US = 600_000_000
"""Highest latency that the histograms can record: 10 minutes."""
LATENCY_DIGITS = 3
"""Significant decimal digits that the histograms keep."""
LATENCY_PERCENTILES = (50, 90, 99, 99.9)
LAG_PERCENTILE = 99
NS_PER_US = 1_000
US_PER_MS = 1_000


@dataclass(slots=True)
class Tally:
    """The counts for one class or for all; the fields are the keys of the verdict."""

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
"""The counting fields of ``Tally``, in the order in which reports show them."""


class Acceptance(NamedTuple):
    """An attempt that a forwarder accepted."""

    message_id: str
    forwarder: str
    at_ns: int


@dataclass(slots=True)
class Message:
    """One message, with the attempts and deliveries found in the records."""

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
    acceptances: list[Acceptance] = field(default_factory=list)

    def is_notified(self, notified_states: Mapping[str, str]) -> bool:
        """Whether a notification reported the final state of any attempt."""
        return any(message_id in notified_states for message_id in self.ids)

    def is_lost(
        self, notified_states: Mapping[str, str], wiped_at_ns: Mapping[str, int]
    ) -> bool:
        """Whether the message was accepted and never reached a final state.

        ``notified_states`` maps ids to final states. ``wiped_at_ns`` maps forwarders to
        the time at which they last lost their state folder.
        """
        if (
            not self.accepted
            or self.delivered_at_ns
            or self.is_notified(notified_states)
        ):
            return False
        return not self.is_wiped(wiped_at_ns)

    def is_wiped(self, wiped_at_ns: Mapping[str, int]) -> bool:
        """Whether every forwarder that accepted it lost its state folder later."""
        return all(
            wiped_at_ns.get(acceptance.forwarder, -1) >= acceptance.at_ns
            for acceptance in self.acceptances
        )

    def is_doubled(self, effect: str) -> bool:
        """Whether an attempt was executed twice although ``effect`` is ``once``."""
        distinct_ids = set(self.delivered_ids)
        return effect == "once" and len(distinct_ids) < len(self.delivered_ids)


def _new_histogram() -> HdrHistogram:
    """An empty latency histogram, in microseconds."""
    return HdrHistogram(1, LONGEST_LATENCY_US, LATENCY_DIGITS)


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    value: float = histogram.get_value_at_percentile(percentile) / US_PER_MS
    return value


def _longest_ms(histogram: HdrHistogram) -> float:
    value: float = histogram.get_max_value() / US_PER_MS
    return value


def _latencies_ms(histogram: HdrHistogram) -> dict[str, float]:
    if not histogram.get_total_count():
        return {}
    latencies_ms = {
        f"p{percentile:g}": _percentile_ms(histogram, percentile)
        for percentile in LATENCY_PERCENTILES
    }
    latencies_ms["max"] = _longest_ms(histogram)
    return latencies_ms


@dataclass(slots=True)
class JoinedRecords:
    """The records of a run, grouped by message."""

    messages: dict[str, Message] = field(default_factory=dict)
    notified_states: dict[str, str] = field(default_factory=dict)
    wiped_at_ns: dict[str, int] = field(default_factory=dict)
    lags_ns: list[int] = field(default_factory=list)
    phantoms: list[str] = field(default_factory=list)
    """Ids of calls for messages that were never sent; PROTOCOL voids such a run."""


def join_records(
    records: Iterable[Mapping[str, Any]], deadlines_ns: Mapping[str, int]
) -> JoinedRecords:
    """Group the records of a run by message; ``deadlines_ns`` is by class."""
    joined = JoinedRecords()
    calls: list[Mapping[str, Any]] = []
    for record in records:
        if record["kind"] == "try":
            _add_attempt(joined, record, deadlines_ns)
        elif record["kind"] == "call":
            calls.append(record)
        elif record["kind"] == "notice":
            joined.notified_states[record["id"]] = record["state"]
        elif record["kind"] == "process" and record["did"] == "wiped":
            joined.wiped_at_ns[record["member"]] = max(
                record["at_ns"], joined.wiped_at_ns.get(record["member"], -1)
            )
    _add_calls(joined, calls)
    return joined


def _add_calls(joined: JoinedRecords, calls: list[Mapping[str, Any]]) -> None:
    key_of_id = {
        message_id: key
        for key, message in joined.messages.items()
        for message_id in message.ids
    }
    for call in calls:
        key = call.get("key") or key_of_id.get(call["id"], "")
        message = joined.messages.get(key)
        if message is None:
            joined.phantoms.append(call["id"])
            continue
        message.misrouted |= call["destination"] != message.destination
        if call["status"] == DELIVERED_STATUS:
            message.delivered_at_ns.append(call["at_ns"])
            message.delivered_ids.append(call["id"])


def _add_attempt(
    joined: JoinedRecords, record: Mapping[str, Any], deadlines_ns: Mapping[str, int]
) -> None:
    # A message that waited for its predecessor in the session became due only then.
    ready_ns = record.get("ready_ns", record["due_ns"])
    message = joined.messages.get(record["key"])
    if message is None:
        message = Message(
            record["cls"],
            record["destination"],
            ready_ns + deadlines_ns[record["cls"]],
            session=record.get("session", ""),
            number=record.get("number", 0),
        )
        joined.messages[record["key"]] = message
        message.first_sent_ns = record["sent_ns"]
        joined.lags_ns.append(record["sent_ns"] - ready_ns)
    message.ids.add(record["id"])
    message.last_status = record["status"]
    if record["status"] in ACCEPTED_STATUSES:
        message.accepted = True
        message.acceptances.append(
            Acceptance(record["id"], f"f{record['forwarder']}", record["answer_ns"])
        )


def verdict(
    records: Iterable[Mapping[str, Any]],
    effects: Mapping[str, str],
    deadlines_ns: Mapping[str, int],
    max_lag_ms: float,
) -> dict[str, Any]:
    """The verdict on the messages, as a JSON-serializable dict.

    It holds the counts of each class and the total, the keys of lost and doubled
    messages, the load's lag behind its schedule, and ``valid``, which is False if the
    lag exceeded ``max_lag_ms``.
    """
    joined = join_records(records, deadlines_ns)
    tallies: dict[str, _ClassTally] = {}
    for key, message in sorted(joined.messages.items()):
        class_tally = tallies.get(message.class_name)
        if class_tally is None:
            class_tally = _ClassTally(effects[message.class_name])
            tallies[message.class_name] = class_tally
        class_tally.add(key, message, joined)
    total = Tally()
    classes: dict[str, Tally] = {}
    for name, class_tally in sorted(tallies.items()):
        tally = class_tally.counts
        tally.latency_ms = _latencies_ms(class_tally.latencies_us)
        classes[name] = tally
        for count in COUNTS:
            setattr(total, count, getattr(total, count) + getattr(tally, count))
    lost_keys = sorted(key for tally in tallies.values() for key in tally.lost_keys)
    doubled_keys = sorted(
        key for tally in tallies.values() for key in tally.doubled_keys
    )
    lag_ms = _lag_ms(joined.lags_ns)
    return {
        "classes": {name: asdict(tally) for name, tally in classes.items()},
        "total": asdict(total),
        "lost": total.lost,
        "doubled": total.doubled,
        "phantoms": len(joined.phantoms),
        "lost_keys": lost_keys[:LISTED_KEYS],
        "doubled_keys": doubled_keys[:LISTED_KEYS],
        "lag_ms": lag_ms,
        "valid": not joined.lags_ns or lag_ms["max"] <= max_lag_ms,
    }


def _lag_ms(lags_ns: list[int]) -> dict[str, float]:
    """The 99th percentile and maximum of the load's lag; empty without messages."""
    if not lags_ns:
        return {}
    lags_us = _new_histogram()
    for lag_ns in lags_ns:
        lags_us.record_value(max(1, lag_ns // NS_PER_US))
    return {
        "p99": _percentile_ms(lags_us, LAG_PERCENTILE),
        "max": _longest_ms(lags_us),
    }


class _ClassTally:
    """Accumulates the counts and latencies of one class."""

    def __init__(self, effect: str) -> None:
        self.effect = effect
        self.counts = Tally()
        self.latencies_us = _new_histogram()
        self.lost_keys: list[str] = []
        self.doubled_keys: list[str] = []

    def add(self, key: str, message: Message, joined: JoinedRecords) -> None:
        self.counts.messages += 1
        self.counts.misrouted += message.misrouted
        if message.delivered_at_ns:
            self._add_delivery(key, message)
        if message.accepted:
            self._add_accepted(key, message, joined)
        elif message.last_status in REJECTED_STATUSES:
            self.counts.refused += 1
        else:
            self.counts.failed += 1

    def _add_delivery(self, key: str, message: Message) -> None:
        counts = self.counts
        counts.delivered += 1
        first_delivery_ns = min(message.delivered_at_ns)
        counts.late += first_delivery_ns > message.deadline_ns
        latency_us = (first_delivery_ns - message.first_sent_ns) // NS_PER_US
        self.latencies_us.record_value(max(1, latency_us))
        counts.unanswered_delivered += not message.accepted
        if message.is_doubled(self.effect):
            counts.doubled += 1
            self.doubled_keys.append(key)
        counts.resent += self.effect == "once" and len(set(message.delivered_ids)) > 1

    def _add_accepted(self, key: str, message: Message, joined: JoinedRecords) -> None:
        counts = self.counts
        counts.accepted += 1
        if message.delivered_at_ns:
            return
        if message.is_notified(joined.notified_states):
            counts.noticed += 1
        elif message.is_lost(joined.notified_states, joined.wiped_at_ns):
            counts.lost += 1
            self.lost_keys.append(key)
        else:
            counts.wiped += 1


def has_breach(result: Mapping[str, Any]) -> bool:
    """Whether a verdict counts a lost, doubled or phantom message."""
    return bool(result["lost"] or result["doubled"] or result["phantoms"])
