"""The queues of waiting messages give the same actions in every round as the reference
in tests/reference, which sorts all messages anew.

By hand: `python -m tests.dispatch.test_reference_replay FIRST LAST` plays the random
worlds of the seeds from FIRST up to LAST, which is left out, and prints how often each
case occurred.
"""

import sys
from collections import Counter

import pytest

from tests.reference.crowd import Crowd
from tests.reference.pair import Pair
from tests.support.random_worlds import ROUNDS, SEEDS, World

RECORDED_SEEDS, LONG_QUEUE_SEEDS = SEEDS[:14], range(14)
EXPECTED_CASES = (
    # Events and outcomes
    "MessageReceived",
    "AttemptFinished",
    "MessageRestored",
    "OutageRestored",
    "EndpointListChanged",
    "EndpointDisabled",
    "EndpointEnabled",
    "QuotaChanged",
    "SettingsChanged",
    "SnapshotRestored",
    "MessageWithdrawn",
    "NotificationPending",
    "NotificationAcknowledged",
    "TimerExpired",
    "DELIVERED",
    "FAILED",
    "REJECTED",
    "TIMED_OUT",
    "NO_CONNECTION",
    "RESET",
    "UNREADABLE",
    "CANCELED",
    "NOT_SENT",
    # Actions and their causes
    "SendMessage",
    "CancelAttempt",
    "CloseIdleConnections",
    "SetTimer",
    "SubscribeEndpointList",
    "LogNote",
    "RecordOutage",
    "RejectMessage: may not be sent again",
    "FailMessage: may not be sent again",
    "RejectMessage: no call could end in time",
    "FailMessage: no call could end in time",
    "RejectMessage: no share in time",
    "RejectMessage: makes way for fresh ones",
    "FailMessage: makes way for fresh ones",
    "RejectMessage: buffer nearly full",
    # Cases of the queues, as tests/reference/pair.py counts them
    "several sends in one round",
    "sent over share",
    "sent again within a scope",
    "sent in its key's turn",
    "rest of a key over",
    "repeat window over while held",
    "line forgotten",
    "untried",
    "kept",
    "faded and held",
    "spent and held",
    "withdrawn while held",
    "withdrawn while out",
    "withdrawn from the middle of a line",
    "retuned with held",
    "retuned, other attempts",
    "retuned, other classes",
    "jammed with other destinations",
    "shut and not looked at in a jam",
    "many held",
)


def play(world_type: type[World], seed: int, seen: Counter[str]) -> None:
    world = world_type(
        seed,
        lambda settings, dispatcher_seed, now: Pair(
            settings, dispatcher_seed, now, seen
        ),
    )
    assert sum(1 for _ in world.play(ROUNDS)) == ROUNDS


@pytest.mark.parametrize("seed", RECORDED_SEEDS)
def test_recorded_worlds_match_the_reference(seed: int) -> None:
    play(World, seed, Counter())


@pytest.mark.parametrize("seed", LONG_QUEUE_SEEDS)
def test_worlds_with_long_queues_match_the_reference(seed: int) -> None:
    play(Crowd, seed, Counter())


def test_worlds_with_long_queues_reach_every_expected_case() -> None:
    seen: Counter[str] = Counter()
    for seed in LONG_QUEUE_SEEDS:
        play(Crowd, seed, seen)
    assert {name for name in EXPECTED_CASES if not seen[name]} == set()


if __name__ == "__main__":
    counted: Counter[str] = Counter()
    for number in range(int(sys.argv[1]), int(sys.argv[2])):
        play(World, number, counted)
        play(Crowd, number, counted)
    print("\n".join(f"{counted[name]:>9,} {name}" for name in sorted(counted)))
