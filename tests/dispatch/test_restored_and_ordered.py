"""What the renewed terms ask of decisions: when an untried message may be given up, and
who waits in turn.
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
from tests.support.event_scripts import MS, S, ask, end, finals, sends, settings

OK, FULL = Outcome.DELIVERED, Outcome.REJECTED
ONE = (EndpointEntry(1, 10, "north", "plain"),)
STEP = 20 * MS
UNTRIED_LEAST = (
    0.7  # of its time, before which an untried message is not to be given up
)
BEHIND_MOST = 0.3  # more often than others those behind an open one may be refused


class Play:
    """One destination that answers each call in the same time, and refuses those above
    its rate.
    """

    def __init__(self, seed: int, balancers: int, rate: float, took: int) -> None:
        self.random, self.now = Random(seed), 10 * S
        self.dispatcher = Dispatcher(
            settings(forwarder_count=balancers, max_in_flight=20), seed, self.now
        )
        self.rate, self.took = rate, took
        self.out: list[tuple[int, SendMessage, int, Outcome]] = []
        self.room = 1.0
        self.tried: set[str] = set()
        self.given: dict[str, int] = {}
        self.delivered: set[str] = set()
        self.carry_out(
            self.dispatcher.handle(
                self.now, [EndpointListChanged(EndpointListKind.CACHED, ONE)]
            )
        )

    def carry_out(self, actions: list[Action]) -> None:
        for send in sends(actions):
            self.tried.add(send.message_id)
            full = self.room < 1
            self.room -= not full
            number = self.dispatcher.state.messages[send.message_id].attempts - 1
            self.out.append(
                (
                    self.now + (5 * MS if full else self.took),
                    send,
                    number,
                    FULL if full else OK,
                )
            )
        for a in finals(actions):
            self.given[a.message_id] = self.now

    def step(self, events: list[Event]) -> None:
        self.now += STEP
        self.room = min(2.0, self.room + self.rate * STEP / S)
        due = [o for o in self.out if o[0] <= self.now]
        self.out = [o for o in self.out if o[0] > self.now]
        self.delivered |= {
            send.message_id for _, send, _, outcome in due if outcome is OK
        }
        ends = [end(send, outcome, number, 5 * MS) for _, send, number, outcome in due]
        self.carry_out(
            self.dispatcher.handle(self.now, [*ends, *events, TimerExpired("look")])
        )


@pytest.mark.parametrize("seed", range(4))
def test_an_untried_message_is_kept_for_seven_tenths_of_its_time_in_a_large_fleet(
    seed: int,
) -> None:
    """Twice as many come as go, so most are given up; those without a call not
    before.
    """
    play, came = Play(seed, 230, rate=4, took=40 * MS), dict[str, int]()
    for _ in range(500):
        arrives = [f"m{len(came)}"] if play.random.random() < 8 * STEP / S else []
        came |= dict.fromkeys(arrives, play.now + STEP)
        play.step([ask(name, due=play.now + STEP + 6 * S) for name in arrives])
    untried = {
        name: at - came[name]
        for name, at in play.given.items()
        if name not in play.tried and at > came[name]
    }
    assert len(untried) > 10 and min(untried.values()) >= UNTRIED_LEAST * 6 * S


def refused_in_turn(seed: int, balancers: int) -> tuple[int, int, int, int]:
    """Messages that came behind an open one of their key, all others, and how many of
    each were refused.
    """
    play = Play(seed, balancers, rate=30, took=60 * MS)
    behind, others, of_key = set[str](), set[str](), dict[str, set[str]]()
    for number in range(1500):
        name, due = f"m{number}", play.now + STEP + 9 * S
        drawn = play.random.random() * S / STEP
        if drawn < 4:
            key = f"k{play.random.randrange(8)}"
            before = of_key.setdefault(key, set())
            (behind if before - play.given.keys() - play.delivered else others).add(
                name
            )
            before.add(name)
            play.step([ask(name, cls="turns", due=due, ordering_key=key)])
        elif drawn < 8:
            others.add(name)
            play.step([ask(name, cls="keyed", due=due)])
        else:
            play.step([])
    given = play.given.keys()
    return len(behind), len(others), len(behind & given), len(others & given)


@pytest.mark.parametrize("balancers", [2, 20])
def test_those_behind_an_open_one_are_not_refused_much_more_often(
    balancers: int,
) -> None:
    """Messages that go in turn, of eight keys, beside as many that do not, on a calm
    day.
    """
    counted = [refused_in_turn(seed, balancers) for seed in range(8)]
    behind, others, behind_refused, others_refused = (
        sum(column) for column in zip(*counted, strict=True)
    )
    assert behind > 20 and others > 1000
    assert behind_refused / behind - others_refused / others <= BEHIND_MOST
