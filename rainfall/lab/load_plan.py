"""The load of an experiment, fixed in advance: open loop, so a slow forwarder cannot
slow the load.

Send times are a Poisson process at the experiment's rate, drawn from ``--seed``; each
message has its class, destination and first forwarder drawn too. The same seed gives
the same messages at the same times. A session's messages go to one destination, each
handed in once the one before has its answer (``load.py``).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from rainfall.lab.experiment import Experiment

MAX_MESSAGES = 2_000_000


@dataclass(frozen=True, slots=True)
class PlannedMessage:
    due_ns: int
    """When the message is to be sent, in ns from the start of the load."""
    key: str
    """The message's name across every try: its idempotency key."""
    class_name: str
    destination: int
    forwarder: int
    """Index of the forwarder that the front hands it to first."""
    session: str = ""
    """The key of its order, of a class that keeps it; ``number`` counts that session's
    messages from 0.
    """
    number: int = 0


def plan_messages(experiment: Experiment, seed: int) -> list[PlannedMessage]:
    """Every message of the run in order of its send time; ValueError past MAX_MESSAGES."""
    rng = random.Random(seed)
    load, classes = experiment.load, experiment.load.classes
    forwarder_count = load.forwarders or experiment.fleet.forwarders
    numbers: dict[int, int] = {}
    weights = [c.share for c in classes]
    end_ns = int(experiment.duration_s * 1e9)
    planned: list[PlannedMessage] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(load.rate_per_s)
        if at_s * 1e9 >= end_ns:
            return planned
        if len(planned) >= MAX_MESSAGES:
            raise ValueError(
                f"more than {MAX_MESSAGES} messages: lower the rate or the duration"
            )
        load_class = rng.choices(classes, weights)[0]
        destination = rng.choice(experiment.fleet.destinations)
        forwarder = rng.randrange(forwarder_count)
        session, number = "", 0
        if load_class.ordered:
            session_index = rng.randrange(load.sessions)
            session, number = (
                f"s{seed:x}-{session_index}",
                numbers.get(session_index, 0),
            )
            numbers[session_index] = number + 1
            destination = experiment.fleet.destinations[
                session_index % len(experiment.fleet.destinations)
            ]
            forwarder = (
                session_index % forwarder_count
                if load.sessions_at == "home"
                else forwarder
            )
        planned.append(
            PlannedMessage(
                due_ns=int(at_s * 1e9),
                key=f"{seed:x}-{len(planned):07d}",
                class_name=load_class.name,
                destination=destination,
                forwarder=forwarder,
                session=session,
                number=number,
            )
        )
