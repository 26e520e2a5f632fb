"""Rules of the revised terms: when a message without an attempt may be given up, and how
messages wait for others of their ordering key.
"""

from __future__ import annotations

from random import Random

import pytest

from rainfall.dispatch import (
    Action,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    Outcome,
    SendMessage,
    TimerExpired,
)
from tests.support.event_scripts import (
    MS,
    S,
    attempt_finished,
    finals,
    message_received,
    send_actions,
    settings,
)

DELIVERED, REJECTED = Outcome.DELIVERED, Outcome.REJECTED
ONE_ENDPOINT = (EndpointEntry(1, 10, "north", "plain"),)
STEP = 20 * MS
# Share of its time before which a message without an attempt must not be given up.
LEAST_UNTRIED_TIME_SHARE = 0.7
# By how much the share of rejected messages may be higher behind an open message of the
# same key than among all others.
MOST_EXTRA_REJECTIONS_SHARE = 0.3


class Simulation:
    """A dispatcher and one destination, which answers every call after the same time and
    rejects those above its rate.
    """

    def __init__(
        self, seed: int, forwarder_count: int, rate_per_s: float, duration_us: int
    ) -> None:
        self.random, self.now = Random(seed), 10 * S
        self.dispatcher = Dispatcher(
            settings(forwarder_count=forwarder_count, max_in_flight=20), seed, self.now
        )
        self.rate_per_s, self.duration_us = rate_per_s, duration_us
        self.in_flight: list[tuple[int, SendMessage, int, Outcome]] = []
        self.tokens = 1.0
        self.tried_ids: set[str] = set()
        self.answered_at: dict[str, int] = {}
        self.delivered_ids: set[str] = set()
        self.carry_out(
            self.dispatcher.handle(
                self.now, [EndpointListChanged(EndpointListKind.CACHED, ONE_ENDPOINT)]
            )
        )

    def carry_out(self, actions: list[Action]) -> None:
        for send in send_actions(actions):
            self.tried_ids.add(send.message_id)
            is_over_rate = self.tokens < 1
            self.tokens -= not is_over_rate
            attempt = self.dispatcher.state.messages[send.message_id].attempts - 1
            self.in_flight.append(
                (
                    self.now + (5 * MS if is_over_rate else self.duration_us),
                    send,
                    attempt,
                    REJECTED if is_over_rate else DELIVERED,
                )
            )
        for answer in finals(actions):
            self.answered_at[answer.message_id] = self.now

    def step(self, events: list[Event]) -> None:
        self.now += STEP
        self.tokens = min(2.0, self.tokens + self.rate_per_s * STEP / S)
        finished = [call for call in self.in_flight if call[0] <= self.now]
        self.in_flight = [call for call in self.in_flight if call[0] > self.now]
        self.delivered_ids |= {
            send.message_id for _, send, _, outcome in finished if outcome is DELIVERED
        }
        outcomes = [
            attempt_finished(send, outcome, attempt, 5 * MS)
            for _, send, attempt, outcome in finished
        ]
        self.carry_out(
            self.dispatcher.handle(self.now, [*outcomes, *events, TimerExpired("look")])
        )


@pytest.mark.parametrize("seed", range(4))
def test_large_fleet_keeps_untried_messages_for_most_of_their_time(
    seed: int,
) -> None:
    """Twice as many messages arrive as the destination accepts, so most are given up,
    but none without an attempt before seven tenths of its time.
    """
    simulation, received_at = (
        Simulation(seed, 230, rate_per_s=4, duration_us=40 * MS),
        dict[str, int](),
    )
    for _ in range(500):
        new_ids = (
            [f"m{len(received_at)}"]
            if simulation.random.random() < 8 * STEP / S
            else []
        )
        received_at |= dict.fromkeys(new_ids, simulation.now + STEP)
        simulation.step(
            [
                message_received(message_id, deadline_us=simulation.now + STEP + 6 * S)
                for message_id in new_ids
            ]
        )
    untried_times = {
        message_id: answered_at - received_at[message_id]
        for message_id, answered_at in simulation.answered_at.items()
        if message_id not in simulation.tried_ids
        and answered_at > received_at[message_id]
    }
    assert (
        len(untried_times) > 10
        and min(untried_times.values()) >= LEAST_UNTRIED_TIME_SHARE * 6 * S
    )


def count_rejections(seed: int, forwarder_count: int) -> tuple[int, int, int, int]:
    """Counts the messages that arrived behind an open one of their key, all others, and
    how many of each were rejected.
    """
    simulation = Simulation(seed, forwarder_count, rate_per_s=30, duration_us=60 * MS)
    behind_open, other_ids, ids_by_key = set[str](), set[str](), dict[str, set[str]]()
    for number in range(1500):
        message_id, deadline = f"m{number}", simulation.now + STEP + 9 * S
        draw = simulation.random.random() * S / STEP
        if draw < 4:
            key = f"k{simulation.random.randrange(8)}"
            former_ids = ids_by_key.setdefault(key, set())
            (
                behind_open
                if former_ids - simulation.answered_at.keys() - simulation.delivered_ids
                else other_ids
            ).add(message_id)
            former_ids.add(message_id)
            simulation.step(
                [
                    message_received(
                        message_id,
                        class_name="turns",
                        deadline_us=deadline,
                        ordering_key=key,
                    )
                ]
            )
        elif draw < 8:
            other_ids.add(message_id)
            simulation.step(
                [message_received(message_id, class_name="keyed", deadline_us=deadline)]
            )
        else:
            simulation.step([])
    answered = simulation.answered_at.keys()
    return (
        len(behind_open),
        len(other_ids),
        len(behind_open & answered),
        len(other_ids & answered),
    )


@pytest.mark.parametrize("balancers", [2, 20])
def test_ordered_messages_behind_an_open_one_are_not_rejected_much_more_often(
    balancers: int,
) -> None:
    """Half of the messages are ordered, by eight keys, and half are not; the destination
    has no faults.
    """
    counts = [count_rejections(seed, balancers) for seed in range(8)]
    behind_open, others, behind_rejected, others_rejected = (
        sum(column) for column in zip(*counts, strict=True)
    )
    assert behind_open > 20 and others > 1000
    assert (
        behind_rejected / behind_open - others_rejected / others
        <= MOST_EXTRA_REJECTIONS_SHARE
    )
