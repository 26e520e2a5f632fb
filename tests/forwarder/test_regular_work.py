"""Periodic tasks (the overdue check, the summary line, the demand in a heartbeat, the
garbage collector) find all that a scan of every message finds, and their cost does not
grow with the number of messages held.
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
from tests.forwarder.test_parts import accepted_message, make_engine
from tests.support.event_scripts import (
    MS,
    S,
    attempt_finished,
    message_received,
    send_actions,
    settings,
)

TARGETS = (EndpointEntry(1, 10), EndpointEntry(2, 11))
TENANTS = (Tenant("city", 0), Tenant("county", 0))


def accepted(name: str, destination: int, due_us: int) -> AcceptedMessage:
    return AcceptedMessage(name, "notice", destination, due_us, None, None, b"")


@pytest.mark.parametrize("seed", range(8))
def test_deadlines_and_counts_match_a_full_scan(seed: int) -> None:
    random, state = Random(seed), JournalState()
    for step in range(600):
        kind = random.randrange(5)
        if kind < 3 or not state.messages:  # may reuse the id of a live message
            state._add_message(
                accepted(
                    f"m{random.randrange(200)}",
                    random.randrange(4),
                    random.randrange(2 * S),
                )
            )
        elif kind == 3:
            state.remove_message(random.choice(list(state.messages)))
        else:
            stored = state.messages[random.choice(list(state.messages))]
            state.move_deadline(stored, random.randrange(2 * S))
        if step % 100 == 99:
            state.shift_times(random.randrange(-S, S))
        time_us = random.randrange(-S, 3 * S)
        assert sorted(state.live_index.with_deadline_before(time_us)) == sorted(
            stored.id
            for stored in state.messages.values()
            if stored.deadline_us < time_us
        )
        assert state.live_index.by_destination == Counter(
            stored.destination for stored in state.messages.values()
        )


def test_discarded_messages_are_in_no_index() -> None:
    state = JournalState()
    state._add_message(accepted("m", 7, 5))
    state.clear_messages()
    assert (
        not state.messages
        and not state.live_index.with_deadline_before(S)
        and not state.live_index.by_destination
    )


def test_overdue_check_visits_only_due_messages() -> None:
    visited = []
    for held in (100, 100_000):
        state = JournalState()
        for number in range(held):
            state._add_message(accepted(f"m{number}", 7, 10 * S + number * MS))
        state._add_message(accepted("late", 7, 2 * MS))
        for _ in range(10):
            assert state.live_index.with_deadline_before(5 * S) == ["late"]
        visited.append(state.live_index.entries_visited)
    assert visited == [10, 10]


@pytest.mark.parametrize("seed", range(4))
def test_demand_matches_a_full_scan(seed: int) -> None:
    random, now = Random(seed), 10 * S
    dispatcher = Dispatcher(settings(max_in_flight=3, tenants=TENANTS), seed, now)
    actions = dispatcher.handle(
        now, [EndpointListChanged(EndpointListKind.CACHED, TARGETS)]
    )
    dispatcher.state.queues.count_by_demand()
    in_flight: list[SendMessage] = []
    for number in range(300):
        now += random.randrange(30) * MS
        events: list[Event] = [TimerExpired("look")]
        if random.random() < 0.7:
            tenant = random.choice(("city", "county", None))
            events.append(
                message_received(
                    f"m{number}",
                    dest=random.choice((10, 11)),
                    class_name=random.choice(("safe", "keyed")),
                    deadline_us=now + random.randrange(200, 4000) * MS,
                    tenant=tenant,
                )
            )
        elif in_flight:
            send = in_flight.pop(random.randrange(len(in_flight)))
            attempt = dispatcher.state.messages[send.message_id].attempts - 1
            outcome = random.choice(
                (Outcome.DELIVERED, Outcome.REJECTED, Outcome.NOT_SENT)
            )
            events.append(attempt_finished(send, outcome, attempt, 5 * MS))
        actions = dispatcher.handle(now, events)
        in_flight += send_actions(actions)
        scanned = {
            destination: Counter(
                (m.message_class.name, m.tenant) for m in queue.values()
            )
            for destination, queue in dispatcher.state.queues.by_destination.items()
        }
        assert dispatcher.state.queues.count_by_demand() == scanned
    assert dispatcher.state.last_sequence_number > 150


def test_above_a_message_count_only_young_generations_are_collected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tested_engine, generations = make_engine(tmp_path), list[int]()
    monkeypatch.setattr(periodic_tasks, "FULL_COLLECTION_MESSAGES", 2)
    monkeypatch.setattr(gc, "collect", generations.append)
    for number in range(4):
        tested_engine.store.append_message(accepted_message(f"m{number}"))
        tested_engine.periodic_tasks.collect_garbage()
    assert generations == [2, 2, 1, 1]
    tested_engine.store.close()
