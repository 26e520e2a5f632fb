"""Measures a forwarder's periodic work against the messages that it holds.

Measured are the check for overdue messages, the log's summary line, rounds of the
garbage collector, and the demand that a heartbeat reports.
"""

from __future__ import annotations

import gc
import logging
import statistics
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import SimpleNamespace

from measure.scale import target
from measure.scale.growth import grow, run_isolated, sizes_by
from measure.scale.memory import resident_bytes
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import Role
from rainfall.dispatch import Event, MessageClass, MessageReceived, Settings, Tenant
from rainfall.forwarder.config.loading import Address, Config, EndpointList
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.engine.periodic_tasks import COLLECTION_INTERVAL_S
from rainfall.forwarder.fleet.member import FleetMember
from rainfall.journal.state import AcceptedMessage

LIVE = sizes_by(250, 4, 1_000_000)
UNUSED_ADDRESS = Address("127.0.0.1", 9)
LIFETIME_US = 3_600_000_000
CLASSES = tuple(
    MessageClass(name, 900_000_000, LIFETIME_US) for name in ("reminder", "receipt")
)
TENANTS = tuple(Tenant(name, 0) for name in ("city", "county"))
SETTINGS = Settings(
    max_in_flight=4, classes=CLASSES, max_open_messages=1 << 40, tenants=TENANTS
)
BODY = b"x" * 200
BATCH = 1_000
"""Messages accepted in one round."""
ROUNDS = 5
"""Number of timed rounds of the collector; the median is used."""
POINT_S = 240.0
"""Expected seconds of all repeats at one size, at most."""
MIN_MEASURED_S = 0.02
"""Each kind of work is repeated for at least this long, and averaged."""
WORK = {
    "ends": ("watch over messages' ends", Role.MESSAGE_PATH),
    "line": ("line that sums up", Role.MESSAGE_PATH),
    "collector": ("regular round of the collector", Role.MESSAGE_PATH),
    "full": ("full round of the collector", Role.MESSAGE_PATH),
    "demand": ("demand of one beat", Role.CONTROL_PART),
}


def filled_engine(folder: Path, live: int) -> Engine:
    """Build a forwarder that holds `live` messages.

    They are spread over destinations without an endpoint.
    """
    known = EndpointList(1, True, ())
    engine = Engine(
        Config(
            "n",
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            folder,
            1,
            1 << 20,
            256,
            10**12,
            known,
            SETTINGS,
            (),
        )
    )
    accept_messages(engine, 0, live)
    return engine


def accept_messages(engine: Engine, first: int, count: int) -> None:
    """Accept `count` more messages, in rounds."""
    now = engine.clock()
    for start in range(first, first + count, BATCH):
        arrivals: list[Event] = []
        for number in range(start, min(first + count, start + BATCH)):
            accepted = message(number, now)
            engine.store.append_message(accepted)
            arrivals.append(
                MessageReceived(
                    accepted.id,
                    accepted.destination,
                    accepted.class_name,
                    accepted.deadline_us,
                    None,
                    accepted.tenant,
                )
            )
        engine.store.flush()
        engine.dispatcher.handle(now, arrivals)


def message(number: int, now_us: int) -> AcceptedMessage:
    """Build a message; deadlines are spread over half a lifetime."""
    name = f"{number:016x}"
    due_us = now_us + LIFETIME_US // 2 + number * 7_919 % (LIFETIME_US // 2)
    return AcceptedMessage(
        name,
        CLASSES[number % 2].name,
        number % target.DOWN_DESTINATIONS,
        due_us,
        name * 2,
        TENANTS[number // 2 % 2].name,
        BODY,
    )


def seconds_per_run(work: Callable[[], object]) -> float:
    """Return the mean processor time of one run."""
    runs, spent = 0, 0.0
    while spent < MIN_MEASURED_S:
        began = time.process_time()
        work()
        spent += time.process_time() - began
        runs += 1
    return spent / runs


def collector_round_s(engine: Engine, live: int) -> float:
    """Return the processor time of a collector's round after usual traffic.

    The traffic is that of one collection interval at the target's rate.
    """
    count, spent = round(COLLECTION_INTERVAL_S * target.FORWARDER_PER_S), []
    for turn in range(ROUNDS):
        accept_messages(engine, live + turn * count, count)
        began = time.process_time()
        engine.periodic_tasks.collect_garbage()
        spent.append(time.process_time() - began)
    return statistics.median(spent)


def measure_upkeep(live: int) -> Mapping[str, float]:
    """Measure each kind of periodic work while `live` messages are held."""
    logging.disable(logging.CRITICAL)
    gc.collect()
    gc.freeze()  # as the program does once it has started
    with tempfile.TemporaryDirectory() as name:
        engine = filled_engine(Path(name), live)
        member = SimpleNamespace(forwarder=engine)
        FleetMember.unsent_demand(member)  # type: ignore[arg-type]  # the first count goes over all messages
        values = {
            "ends": seconds_per_run(engine.periodic_tasks.fail_overdue_messages),
            "line": seconds_per_run(
                lambda: engine.periodic_tasks.log_summary(time.monotonic())
            ),
            "full": seconds_per_run(gc.collect),
            "collector": collector_round_s(engine, live),
            "demand": seconds_per_run(lambda: FleetMember.unsent_demand(member)),  # type: ignore[arg-type]
            "memory": float(resident_bytes()),
        }
        engine.store.close()
    return values


def series(progress: Progress) -> Iterator[Series]:
    """Measure the periodic work against live messages."""
    growth = grow(
        LIVE,
        lambda live: run_isolated(measure_upkeep, live),
        progress,
        point_s=POINT_S,
        memory=lambda run: run["memory"],
    )
    for name, (title, role) in WORK.items():
        yield Series(
            f"forwarder: processor time of a {title}",
            role,
            "live message",
            "s",
            growth.points_of(name),
            growth.bound,
        )


MEASUREMENTS = (
    Measurement(
        "message-watch", "a forwarder's regular work beside live messages", series
    ),
)
