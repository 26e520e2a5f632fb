"""What the forwarder does regularly (its watch over ends, the line that sums up, the
demand of a beat, the collector) finds all that a walk over every message finds, and
does not grow with the messages held.
"""

from __future__ import annotations

import gc
from collections import Counter
from pathlib import Path
from random import Random

import pytest

from rainfall.dispatch import (
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    Outcome,
    SendMessage,
    Tenant,
    TimerExpired,
)
from rainfall.forwarder.engine import periodic_tasks
from rainfall.journal.state import AcceptedMessage, JournalState
from tests.forwarder.test_parts import engine, taken
from tests.support.event_scripts import MS, S, ask, end, sends, settings

TARGETS = (EndpointEntry(1, 10), EndpointEntry(2, 11))
TENANTS = (Tenant("city", 0), Tenant("county", 0))


def live(name: str, destination: int, due_us: int) -> AcceptedMessage:
    return AcceptedMessage(name, "notice", destination, due_us, None, None, b"")


@pytest.mark.parametrize("seed", range(8))
def test_deadlines_and_counts_are_those_of_a_walk_over_all(seed: int) -> None:
    draw, state = Random(seed), JournalState()
    for step in range(600):
        kind = draw.randrange(5)
        if kind < 3 or not state.messages:  # also of a name that lives already
            state._add_message(
                live(
                    f"m{draw.randrange(200)}", draw.randrange(4), draw.randrange(2 * S)
                )
            )
        elif kind == 3:
            state.remove_message(draw.choice(list(state.messages)))
        else:
            m = state.messages[draw.choice(list(state.messages))]
            state.move_deadline(m, draw.randrange(2 * S))
        if step % 100 == 99:
            state.shift_times(draw.randrange(-S, S))
        at = draw.randrange(-S, 3 * S)
        assert sorted(state.live_index.with_deadline_before(at)) == sorted(
            m.id for m in state.messages.values() if m.deadline_us < at
        )
        assert state.live_index.by_destination == Counter(
            m.destination for m in state.messages.values()
        )


def test_messages_given_away_are_in_no_index() -> None:
    state = JournalState()
    state._add_message(live("m", 7, 5))
    state.forget_messages()
    assert (
        not state.messages
        and not state.live_index.with_deadline_before(S)
        and not state.live_index.by_destination
    )


def test_the_watch_over_ends_visits_only_what_is_due() -> None:
    visited = []
    for held in (100, 100_000):
        state = JournalState()
        for number in range(held):
            state._add_message(live(f"m{number}", 7, 10 * S + number * MS))
        state._add_message(live("late", 7, 2 * MS))
        for _ in range(10):
            assert state.live_index.with_deadline_before(5 * S) == ["late"]
        visited.append(state.live_index.entries_visited)
    assert visited == [10, 10]


@pytest.mark.parametrize("seed", range(4))
def test_demand_is_that_of_a_walk_over_all_held(seed: int) -> None:
    draw, now = Random(seed), 10 * S
    dispatcher = Dispatcher(settings(max_in_flight=3, tenants=TENANTS), seed, now)
    actions = dispatcher.handle(
        now, [EndpointListChanged(EndpointListKind.CACHED, TARGETS)]
    )
    dispatcher.state.queues.count_by_demand()
    out: list[SendMessage] = []
    for number in range(300):
        now += draw.randrange(30) * MS
        events: list[Event] = [TimerExpired("look")]
        if draw.random() < 0.7:
            tenant = draw.choice(("city", "county", None))
            events.append(
                ask(
                    f"m{number}",
                    dest=draw.choice((10, 11)),
                    cls=draw.choice(("safe", "keyed")),
                    due=now + draw.randrange(200, 4000) * MS,
                    tenant=tenant,
                )
            )
        elif out:
            send = out.pop(draw.randrange(len(out)))
            attempt = dispatcher.state.messages[send.message_id].attempts - 1
            outcome = draw.choice(
                (Outcome.DELIVERED, Outcome.REJECTED, Outcome.NOT_SENT)
            )
            events.append(end(send, outcome, attempt, 5 * MS))
        actions = dispatcher.handle(now, events)
        out += sends(actions)
        walked = {
            destination: Counter(
                (m.message_class.name, m.tenant) for m in pile.values()
            )
            for destination, pile in dispatcher.state.queues.by_destination.items()
        }
        assert dispatcher.state.queues.count_by_demand() == walked
    assert dispatcher.state.last_sequence_number > 150


def test_past_a_bound_of_messages_the_collector_looks_through_what_is_new_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    e, rounds = engine(tmp_path), list[int]()
    monkeypatch.setattr(periodic_tasks, "FULL_COLLECTION_MESSAGES", 2)
    monkeypatch.setattr(gc, "collect", rounds.append)
    for number in range(4):
        e.store.append_message(taken(f"m{number}"))
        e.periodic_tasks.collect_garbage()
    assert rounds == [2, 2, 1, 1]
    e.store.close()
