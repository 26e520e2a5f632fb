"""Checks that sessions keep their order and lose no message during migrations.

The check uses the load's ``try`` records with ``session`` and ``number``, the endpoints'
``call`` records, and the forwarders' ``session`` records (``key``, ``step``, ``member``,
``at_ns``). ``docs/parts.md`` defines the steps: held, offered, frozen, copied, committed,
tail, done, aborted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from rainfall.lab import checker
from rainfall.lab.statuses import ACCEPTED_STATUSES, DELIVERED_STATUS
from rainfall.lab.verdicts.listing import LISTED_RECORDS

NS_PER_MS = 1e6


class SessionPosition(NamedTuple):
    """A message's position in its session."""

    session: str
    number: int


def out_of_order(records: Iterable[Mapping[str, Any]]) -> list[SessionPosition]:
    """The messages with a call after a later message of the session was delivered.

    Calls after the delivery of the message itself do not count. Only accepted attempts
    are ordered: PROTOCOL requires nothing for an id without an answer.
    """
    positions: dict[str, SessionPosition] = {}
    calls: list[Mapping[str, Any]] = []
    for record in records:
        if (
            record["kind"] == "try"
            and record.get("session")
            and record["status"] in ACCEPTED_STATUSES
        ):
            position = SessionPosition(record["session"], record["number"])
            positions[record["id"]] = position
        elif record["kind"] == "call":
            calls.append(record)
    highest_delivered: dict[str, int] = {}
    delivered: set[SessionPosition] = set()
    overtaken: dict[SessionPosition, None] = {}
    for call in sorted(calls, key=lambda call: call["at_ns"]):
        called = positions.get(call["id"])
        if called is None:
            continue
        highest = highest_delivered.get(called.session, -1)
        if called.number < highest and called not in delivered:
            overtaken[called] = None
        if call["status"] == DELIVERED_STATUS:
            delivered.add(called)
            highest_delivered[called.session] = max(highest, called.number)
    return list(overtaken)


@dataclass(slots=True)
class MigrationCounts:
    """The number of session migrations by outcome."""

    completed: int = 0
    aborted: int = 0
    split: int = 0
    """Migrations that one side completed and the other aborted."""
    unfinished: int = 0
    """Migrations that were offered but neither completed nor aborted."""
    longest_pause_ns: int = 0

    def add(self, ends: set[str]) -> None:
        """Count a migration; ``ends`` holds those of its steps that end a migration."""
        self.completed += "done" in ends
        self.aborted += "aborted" in ends and "done" not in ends
        self.split += ends >= {"done", "aborted"}
        self.unfinished += not ends


def count_migrations(records: Iterable[Mapping[str, Any]]) -> MigrationCounts:
    """Count the migrations; each lasts from ``offered`` to the next ``offered`` of the key.

    The pause of a migration lasts from ``frozen`` to the next ``committed`` or
    ``aborted``.
    """
    steps = sorted(
        (record for record in records if record["kind"] == "session"),
        key=lambda record: record["at_ns"],
    )
    counts = MigrationCounts()
    open_migrations: dict[str, set[str]] = {}
    frozen_at_ns: dict[str, int] = {}
    for record in steps:
        key = record["key"]
        step = record["step"]
        if step == "offered":
            if key in open_migrations:
                counts.add(open_migrations.pop(key))
            open_migrations[key] = set()
        elif step == "frozen":
            frozen_at_ns[key] = record["at_ns"]
        elif step in ("committed", "aborted") and key in frozen_at_ns:
            pause_ns = record["at_ns"] - frozen_at_ns.pop(key)
            counts.longest_pause_ns = max(counts.longest_pause_ns, pause_ns)
        if step in ("done", "aborted"):
            open_migrations.setdefault(key, set()).add(step)
    for ends in open_migrations.values():
        counts.add(ends)
    return counts


def check(
    records: Sequence[Mapping[str, Any]],
    effects: Mapping[str, str],
    deadlines_ns: Mapping[str, int],
) -> dict[str, Any]:
    """The result of the check.

    ``seen`` counts the forwarders' records and ``messages`` the load's messages with a
    session. ``lost``, ``doubled`` and ``out_of_order`` count only such messages.
    """
    joined = checker.join_records(records, deadlines_ns)
    session_messages = [
        message for message in joined.messages.values() if message.session
    ]
    overtaken = out_of_order(records)
    migrations = count_migrations(records)
    return {
        "seen": sum(record["kind"] == "session" for record in records),
        "keys": len({message.session for message in session_messages}),
        "messages": len(session_messages),
        "handed": migrations.completed,
        "aborted": migrations.aborted,
        "split": migrations.split,
        "open": migrations.unfinished,
        "lost": sum(
            message.is_lost(joined.notified_states, joined.wiped_at_ns)
            for message in session_messages
        ),
        "doubled": sum(
            message.is_doubled(effects[message.class_name])
            for message in session_messages
        ),
        "out_of_order": len(overtaken),
        "out_of_order_records": [
            f"{session} {number}" for session, number in overtaken[:LISTED_RECORDS]
        ],
        "longest_pause_ms": migrations.longest_pause_ns / NS_PER_MS,
    }
