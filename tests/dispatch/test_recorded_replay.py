"""Recorded worlds: every action, in its order and at its time, as it was recorded in
replay.json.
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
def played(seed: int) -> list[Round]:
    return list(play(seed))


@pytest.mark.parametrize(
    "recorded", RECORDED, ids=[f"world-{r['seed']}" for r in RECORDED]
)
def test_every_action_is_as_recorded(recorded: dict[str, Any]) -> None:
    rounds, were = played(recorded["seed"]), recorded["actions"]
    kinds = Counter(recorded_name(a) for r in rounds for a in r.actions)
    differ = {
        kind: f"{were.get(kind, 0)} recorded, {kinds[kind]} now"
        for kind in sorted(kinds.keys() | were.keys())
        if kinds[kind] != were.get(kind)
    }
    for n, r in enumerate(rounds):
        assert recorded["rounds"][4 * n : 4 * n + 4] == r.digest[:4], (
            f"first differs in round {n} at {r.now} us, events {r.events}, actions now {r.actions}; {differ}"
        )
    assert rounds[-1].digest == recorded["sha256"] and not differ
    assert len(recorded["rounds"]) == 4 * len(rounds)


def test_worlds_play_every_event_outcome_and_action() -> None:
    assert [r["seed"] for r in RECORDED] == list(SEEDS)
    rounds = [r for seed in SEEDS[:16] for r in played(seed)]
    seen = {type(x) for r in rounds for x in (*r.events, *r.actions)}
    # No decision asks for a probe, and shares are newer than the record.
    assert seen >= {*get_args(Event), *get_args(Action)} - {
        CheckEndpointHealth,
        QuotaChanged,
    }
    assert {
        e.outcome for r in rounds for e in r.events if isinstance(e, AttemptFinished)
    } == set(Outcome)
