"""Recorded worlds: every action equals the one recorded in replay.json, in the same order
and at the same time.
"""

import json
from collections import Counter
from functools import cache
from typing import Any, get_args

import pytest

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CheckEndpointHealth,
    Event,
    Outcome,
    QuotaChanged,
)
from tests.support.paths import ROOT
from tests.support.random_worlds import SEEDS, Round, play
from tests.support.recorded_names import recorded_name

RECORDED: list[dict[str, Any]] = json.loads((ROOT / "tests/replay.json").read_text())


@cache
def play_rounds(seed: int) -> list[Round]:
    return list(play(seed))


@pytest.mark.parametrize(
    "recorded", RECORDED, ids=[f"world-{played['seed']}" for played in RECORDED]
)
def test_every_action_is_as_recorded(recorded: dict[str, Any]) -> None:
    rounds, recorded_counts = play_rounds(recorded["seed"]), recorded["actions"]
    counts = Counter(
        recorded_name(action) for played in rounds for action in played.actions
    )
    differences = {
        kind: f"{recorded_counts.get(kind, 0)} recorded, {counts[kind]} now"
        for kind in sorted(counts.keys() | recorded_counts.keys())
        if counts[kind] != recorded_counts.get(kind)
    }
    for index, played in enumerate(rounds):
        assert recorded["rounds"][4 * index : 4 * index + 4] == played.digest[:4], (
            f"first differs in round {index} at {played.now} us, events {played.events}, "
            f"actions now {played.actions}; {differences}"
        )
    assert rounds[-1].digest == recorded["sha256"] and not differences
    assert len(recorded["rounds"]) == 4 * len(rounds)


def test_worlds_play_every_event_outcome_and_action() -> None:
    assert [played["seed"] for played in RECORDED] == list(SEEDS)
    rounds = [played for seed in SEEDS[:16] for played in play_rounds(seed)]
    seen = {
        type(item) for played in rounds for item in (*played.events, *played.actions)
    }
    # No rule makes health checks, and quotas are newer than the record.
    assert seen >= {*get_args(Event), *get_args(Action)} - {
        CheckEndpointHealth,
        QuotaChanged,
    }
    assert {
        event.outcome
        for played in rounds
        for event in played.events
        if isinstance(event, AttemptFinished)
    } == set(Outcome)
