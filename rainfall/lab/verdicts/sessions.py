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

SHOWN = 20


def out_of_order(records: Iterable[Mapping[str, Any]]) -> list[tuple[str, int]]:
    """(session, number) of each message that an endpoint was called for, before its
    delivery, after a later one of its session was delivered. Only hand-ins that were
    taken on have an order: what was sent under an id that no answer came to counts for
    nothing (PROTOCOL).
    """
    place: dict[str, tuple[str, int]] = {}
    calls: list[Mapping[str, Any]] = []
    for r in records:
        if r["kind"] == "try" and r.get("session") and r["status"] in checker.TAKEN:
            place[r["id"]] = (r["session"], r["number"])
        elif r["kind"] == "call":
            calls.append(r)
    best: dict[str, int] = {}
    delivered: set[tuple[str, int]] = set()
    late: dict[tuple[str, int], None] = {}
    for c in sorted(calls, key=lambda c: c["at_ns"]):
        here = place.get(c["id"])
        if here is None:
            continue
        session, number = here
        if number < best.get(session, -1) and here not in delivered:
            late[here] = None
        if c["status"] == 200:
            delivered.add(here)
            best[session] = max(best.get(session, -1), number)
    return list(late)


@dataclass(slots=True)
class HandOvers:
    handed: int = 0
    aborted: int = 0
    split: int = 0
    """Hand-overs that one side ended as done and the other as aborted."""
    open: int = 0
    """Offered, and neither done nor aborted in the records."""
    longest_ns: int = 0


def hand_overs(records: Iterable[Mapping[str, Any]]) -> HandOvers:
    """A hand-over of a key goes from ``offered`` to the next ``offered`` of that key.
    Its pause is from ``frozen`` to the first ``committed`` or ``aborted`` after it.
    """
    steps = sorted(
        (r for r in records if r["kind"] == "session"), key=lambda r: r["at_ns"]
    )
    found = HandOvers()
    ends: dict[str, set[str]] = {}
    frozen: dict[str, int] = {}

    def close(key: str) -> None:
        had = ends.pop(key, None)
        if had is None:
            return
        found.handed += "done" in had
        found.aborted += "aborted" in had and "done" not in had
        found.split += {"done", "aborted"} <= had
        found.open += not had

    for r in steps:
        key, step = r["key"], r["step"]
        if step == "offered":
            close(key)
            ends[key] = set()
        elif step == "frozen":
            frozen[key] = r["at_ns"]
        elif step in ("committed", "aborted") and key in frozen:
            found.longest_ns = max(found.longest_ns, r["at_ns"] - frozen.pop(key))
        if step in ("done", "aborted"):
            ends.setdefault(key, set()).add(step)
    for key in list(ends):
        close(key)
    return found


def check(
    records: Sequence[Mapping[str, Any]],
    effects: Mapping[str, str],
    deadlines_ns: Mapping[str, int],
) -> dict[str, Any]:
    """``seen`` counts the forwarders' records, ``messages`` the keyed ones of the load;
    lost, doubled and out of order are of those.
    """
    joined = checker.join(records, deadlines_ns)
    keyed = [m for m in joined.messages.values() if m.session]
    late, moves = out_of_order(records), hand_overs(records)
    return {
        "seen": sum(r["kind"] == "session" for r in records),
        "keys": len({m.session for m in keyed}),
        "messages": len(keyed),
        "handed": moves.handed,
        "aborted": moves.aborted,
        "split": moves.split,
        "open": moves.open,
        "lost": sum(m.lost(joined.noticed, joined.wiped) for m in keyed),
        "doubled": sum(m.doubled(effects[m.cls]) for m in keyed),
        "out_of_order": len(late),
        "out_of_order_records": [
            f"{session} {number}" for session, number in late[:SHOWN]
        ],
        "longest_pause_ms": moves.longest_ns / 1e6,
    }
