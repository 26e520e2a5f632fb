"""Creates the snapshot for a process that takes over, and restores it there."""

from __future__ import annotations

from collections.abc import Mapping, Set
from typing import Any

from rainfall.dispatch import DestinationKind
from tests.reference.books import Books
from tests.reference.giving import next_in
from tests.reference.state import (
    CALL_KEPT,
    MESSAGE_KEPT,
    PLACE_KEPT,
    TARGET_KEPT,
    Attempt,
    Call,
    Line,
    Target,
    kept,
    learn,
)


def memory(b: Books, out: Set[tuple[str, int]]) -> dict[str, Any]:
    """Returns the snapshot: the state that a process that takes over needs besides the
    messages. The attempts `out` are in flight. Endpoints keep their numbers.
    """
    calls: dict[int, tuple[Call, list[tuple[str, int]]]] = {}
    for named, attempt in b.attempts.items():
        if named in out:
            calls.setdefault(id(attempt.call), (attempt.call, []))[1].append(named)
    return {
        "targets": [
            [t.id, t.destination, t.kind, kept(t, TARGET_KEPT)]
            for t in b.targets.values()
        ],
        "places": [[*whose, kept(p, PLACE_KEPT)] for whose, p in b.places.items()],
        "messages": [[m.id, kept(m, MESSAGE_KEPT)] for m in b.messages.values()],
        "lines": [[key, line.rest_until] for key, line in b.lines.items()],
        "calls": [
            [c.target.id, kept(c, CALL_KEPT), names] for c, names in calls.values()
        ],
        "purses": b.purses,
        "idle_us": b.idle_us,
    }


def remember(b: Books, told: Mapping[str, Any]) -> None:
    """Restores a snapshot. Missing parts, and entries of removed endpoints or messages, are
    skipped.
    """
    for number, destination, kind, known in told.get("targets", []):
        if (
            number not in b.targets
        ):  # removed from the list, perhaps with a call in flight
            apart = b.kinds.get(kind, DestinationKind(kind)).endpoint_scoped
            b.targets[number] = Target(
                number,
                destination,
                "",
                0.0,
                b.place(destination, number, apart),
                kind,
                1,
                apart,
                False,
            )
        learn(b.targets[number], known, TARGET_KEPT)
    for destination, number, known in told.get("places", []):
        if (destination, number) in b.places:
            learn(b.places[destination, number], known, PLACE_KEPT)
            b.places[destination, number].shares = min(
                b.places[destination, number].shares, float(b.s.forwarder_count)
            )
        # the scope of a rate limit has changed between destination and endpoint: a reported
        # retry-after applies to every scope that it may concern
        else:
            for whose, place in b.places.items():
                if whose[0] == destination and -1 in (number, whose[1]):
                    place.wait_until = max(place.wait_until, known.get("wait_until", 0))
    for name, known in told.get("messages", []):
        if name in b.messages:
            learn(b.messages[name], known, MESSAGE_KEPT)
    for key, rest_until in told.get("lines", []):
        line = b.lines.setdefault(key, Line())
        line.rest_until = max(line.rest_until, rest_until)
        next_in(b, line)
    for number, known, names in told.get("calls", []):
        still_out(
            b, number, known, [(name, n) for name, n in names if name in b.messages]
        )
    b.purses.update(told.get("purses", {}))
    b.idle_us = min(b.idle_top, told.get("idle_us", b.idle_us))


def still_out(
    b: Books, number: int, known: Mapping[str, Any], names: list[tuple[str, int]]
) -> None:
    """Restores a call of the previous process; it uses a slot until its outcomes arrive."""
    target = b.targets.get(number)
    if target is None or not names:
        return
    call = Call(target, b.now)
    learn(call, known, CALL_KEPT)
    b.calls_out += 1
    target.out, target.place.out = target.out + 1, target.place.out + 1
    for named in names:
        m = b.messages[named[0]]
        call.messages, m.out = call.messages + 1, m.out + 1
        b.held.remove(m)
        b.attempts[named] = Attempt(m, call)
        if m.key is not None:
            b.lines[m.key].out += 1
