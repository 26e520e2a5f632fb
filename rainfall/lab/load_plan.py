"""Plans the load of an experiment before it starts.

The load is open loop, so that a slow forwarder cannot slow it. Send times are a Poisson
process at the experiment's rate; each message's class, destination and first forwarder
are drawn too. The same seed gives the same messages at the same times. The messages of a
session go to one destination, each once the one before is answered (``load_generator``).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from rainfall.lab.experiment_model import NS_PER_S, Experiment

MAX_MESSAGES = 2_000_000
"""Messages of one run."""


@dataclass(frozen=True, slots=True)
class PlannedMessage:
    """One message of the load."""

    due_ns: int
    """When the message is to be sent, in ns from the start of the load."""
    key: str
    """Its idempotency key, the same in every attempt."""
    class_name: str
    destination: int
    forwarder: int
    """The index of the forwarder that receives the first attempt."""
    session: str = ""
    """The session's key; empty in a class without order."""
    number: int = 0
    """Its place in the session, from 0."""


def plan_messages(experiment: Experiment, seed: int) -> list[PlannedMessage]:
    """Every message of the run, in the order of send times.

    Raises:
        ValueError: There would be more than ``MAX_MESSAGES``.
    """
    rng = random.Random(seed)
    load = experiment.load
    classes = load.classes
    destinations = experiment.fleet.destinations
    forwarder_count = load.forwarders or experiment.fleet.forwarders
    next_numbers: dict[int, int] = {}
    weights = [load_class.share for load_class in classes]
    end_ns = int(experiment.duration_s * NS_PER_S)
    planned: list[PlannedMessage] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(load.rate_per_s)
        if at_s * NS_PER_S >= end_ns:
            return planned
        if len(planned) >= MAX_MESSAGES:
            raise ValueError(
                f"more than {MAX_MESSAGES} messages: lower the rate or the duration"
            )
        load_class = rng.choices(classes, weights)[0]
        # Drawn for every message, so that classes with order shift no later draw.
        destination = rng.choice(destinations)
        forwarder = rng.randrange(forwarder_count)
        session = ""
        number = 0
        if load_class.ordered:
            session_index = rng.randrange(load.sessions)
            session = f"s{seed:x}-{session_index}"
            number = next_numbers.get(session_index, 0)
            next_numbers[session_index] = number + 1
            destination = destinations[session_index % len(destinations)]
            if load.sessions_at == "home":
                forwarder = session_index % forwarder_count
        planned.append(
            PlannedMessage(
                due_ns=int(at_s * NS_PER_S),
                key=f"{seed:x}-{len(planned):07d}",
                class_name=load_class.name,
                destination=destination,
                forwarder=forwarder,
                session=session,
                number=number,
            )
        )
