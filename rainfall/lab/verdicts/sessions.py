"""Whether keyed sessions kept their order, whole, through hand-overs.

From the load's ``try`` records with ``session`` and ``number``, the endpoints' ``call``
records, and the forwarders' ``session`` records (``key``, ``step``, ``member``,
``at_ns``), whose steps are those of ``docs/parts.md``: held, offered, frozen, copied,
committed, tail, done, aborted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from rainfall.lab import checker

LISTED_RECORDS = 20


def out_of_order(records: Iterable[Mapping[str, Any]]) -> list[tuple[str, int]]:
    """(session, number) of each message that an endpoint was called for, before its
    delivery, after a later one of its session was delivered. Only hand-ins that were
    taken on have an order: what was sent under an id that no answer came to counts for
    nothing (PROTOCOL).
    """
    positions: dict[str, tuple[str, int]] = {}
    calls: list[Mapping[str, Any]] = []
    for record in records:
        if (
            record["kind"] == "try"
            and record.get("session")
            and record["status"] in checker.ACCEPTED_STATUSES
        ):
            positions[record["id"]] = (record["session"], record["number"])
        elif record["kind"] == "call":
            calls.append(record)
    highest_delivered: dict[str, int] = {}
    delivered: set[tuple[str, int]] = set()
    late: dict[tuple[str, int], None] = {}
    for call in sorted(calls, key=lambda c: c["at_ns"]):
        position = positions.get(call["id"])
        if position is None:
            continue
        session, number = position
        if number < highest_delivered.get(session, -1) and position not in delivered:
            late[position] = None
        if call["status"] == 200:
            delivered.add(position)
            highest_delivered[session] = max(highest_delivered.get(session, -1), number)
    return list(late)


@dataclass(slots=True)
class MigrationCounts:
    completed: int = 0
    aborted: int = 0
    split: int = 0
    """Hand-overs that one side ended as done and the other as aborted."""
    unfinished: int = 0
    """Offered, and neither done nor aborted in the records."""
    longest_pause_ns: int = 0


def count_migrations(records: Iterable[Mapping[str, Any]]) -> MigrationCounts:
    """A hand-over of a key goes from ``offered`` to the next ``offered`` of that key.

    Its pause is from ``frozen`` to the first ``committed`` or ``aborted`` after it.
    """
    steps = sorted(
        (record for record in records if record["kind"] == "session"),
        key=lambda r: r["at_ns"],
    )
    counts = MigrationCounts()
    ends: dict[str, set[str]] = {}
    frozen: dict[str, int] = {}

    def close(key: str) -> None:
        had = ends.pop(key, None)
        if had is None:
            return
        counts.completed += "done" in had
        counts.aborted += "aborted" in had and "done" not in had
        counts.split += {"done", "aborted"} <= had
        counts.unfinished += not had

    for record in steps:
        key, step = record["key"], record["step"]
        if step == "offered":
            close(key)
            ends[key] = set()
        elif step == "frozen":
            frozen[key] = record["at_ns"]
        elif step in ("committed", "aborted") and key in frozen:
            counts.longest_pause_ns = max(
                counts.longest_pause_ns, record["at_ns"] - frozen.pop(key)
            )
        if step in ("done", "aborted"):
            ends.setdefault(key, set()).add(step)
    for key in list(ends):
        close(key)
    return counts


def check(
    records: Sequence[Mapping[str, Any]],
    effects: Mapping[str, str],
    deadlines_ns: Mapping[str, int],
) -> dict[str, Any]:
    """``seen`` counts the forwarders' records, ``messages`` the keyed ones of the load;
    lost, doubled and out of order are of those.
    """
    joined = checker.join_records(records, deadlines_ns)
    session_messages = [
        message for message in joined.messages.values() if message.session
    ]
    late, migrations = out_of_order(records), count_migrations(records)
    return {
        "seen": sum(r["kind"] == "session" for r in records),
        "keys": len({message.session for message in session_messages}),
        "messages": len(session_messages),
        "handed": migrations.completed,
        "aborted": migrations.aborted,
        "split": migrations.split,
        "open": migrations.unfinished,
        "lost": sum(
            message.lost(joined.noticed, joined.wiped) for message in session_messages
        ),
        "doubled": sum(
            message.doubled(effects[message.class_name]) for message in session_messages
        ),
        "out_of_order": len(late),
        "out_of_order_records": [
            f"{session} {number}" for session, number in late[:LISTED_RECORDS]
        ],
        "longest_pause_ms": migrations.longest_pause_ns / 1e6,
    }
