"""Plans the load of an experiment before it starts.

The load is open loop: a slow forwarder does not slow it down. Send times are a Poisson
process at the experiment's rate; the class, destination and first forwarder of each
message are random. The same seed gives the same messages at the same times. All messages
of a session go to one destination, and each is sent only after its predecessor was
answered (``load_generator``).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from rainfall.lab.experiment_model import NS_PER_S, Experiment

MAX_MESSAGES = 2_000_000
"""Most messages of one run."""


@dataclass(frozen=True, slots=True)
class PlannedMessage:
    """One message of the load."""

    due_ns: int
    """Planned send time, in ns from the start of the load."""
    key: str
    """The idempotency key, the same in every attempt."""
    class_name: str
    destination: int
    forwarder: int
    """The index of the forwarder that receives the first attempt."""
    session: str = ""
    """The session key; empty unless the class is ordered."""
    number: int = 0
    """The message's position in the session, from 0."""


def plan_messages(experiment: Experiment, seed: int) -> list[PlannedMessage]:
    """Plan all messages of a run, ordered by send time.

    Raises:
        ValueError: The plan exceeds ``MAX_MESSAGES``.
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
                f"over {MAX_MESSAGES} messages: lower the rate or the duration"
            )
        load_class = rng.choices(classes, weights)[0]
        # Drawn for ordered classes too, although the values are replaced below, so that an
        # ordered class omits no draw; the index of its session is one additional draw.
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
