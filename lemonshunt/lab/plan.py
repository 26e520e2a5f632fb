"""The load of an experiment, fixed in advance: open loop, so a slow forwarder cannot slow the load.

Send times are a Poisson process at the experiment's rate, drawn from ``--seed``; each message has its class,
destination and first forwarder drawn too. The same seed gives the same messages at the same times.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from lemonshunt.lab.experiment import Experiment

MAX_MESSAGES = 2_000_000


@dataclass(frozen=True, slots=True)
class Planned:
    due_ns: int
    """When the message is to be sent, in ns from the start of the load."""
    key: str
    """The message's name across every try: its idempotency key."""
    cls: str
    destination: int
    forwarder: int
    """Index of the forwarder that the front hands it to first."""


def messages(experiment: Experiment, seed: int) -> list[Planned]:
    """Every message of the run in order of its send time; ValueError past MAX_MESSAGES."""
    chance = random.Random(seed)
    classes = experiment.load.classes
    weights = [c.share for c in classes]
    end_ns = int(experiment.duration_s * 1e9)
    planned: list[Planned] = []
    at = 0.0
    while True:
        at += chance.expovariate(experiment.load.rate_per_s)
        if at * 1e9 >= end_ns:
            return planned
        if len(planned) >= MAX_MESSAGES:
            raise ValueError(f"more than {MAX_MESSAGES} messages: lower the rate or the duration")
        cls = chance.choices(classes, weights)[0]
        planned.append(
            Planned(
                due_ns=int(at * 1e9),
                key=f"{seed:x}-{len(planned):07d}",
                cls=cls.name,
                destination=chance.choice(experiment.fleet.destinations),
                forwarder=chance.randrange(experiment.fleet.forwarders),
            )
        )
