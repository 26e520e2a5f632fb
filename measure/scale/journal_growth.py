"""Measures what the journal writes, keeps in memory and reads.

The sizes are numbers of live messages and of listed endpoints.
"""

from __future__ import annotations

import gc
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path

from measure.scale import target
from measure.scale.growth import grow, run_isolated, sizes_by
from measure.scale.memory import peak_bytes, resident_bytes
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import Role
from rainfall.dispatch import MessageClass
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)

LIVE = sizes_by(250, 4, 1_000_000)
ENDPOINTS = sizes_by(100, 4, target.DESTINATIONS)
DISK_BYTES = 10**12
BODY = b"x" * 200
NOW_US = 1_700_000_000_000_000
DUE_US = NOW_US + 3_600_000_000
MESSAGE_CLASS = MessageClass("free", 1_000_000, 3_600_000_000)
HOST = "s-5be2a07c"
MESSAGES_PER_FLUSH = 3
"""Messages of one round while messages pass through the journal."""
LIST_CHANGES = 10


def accepted_message(number: int) -> AcceptedMessage:
    """Build a message; numbers go over all destinations in turn."""
    name = f"{number:016x}"
    return AcceptedMessage(
        name,
        MESSAGE_CLASS.name,
        number % target.DESTINATIONS,
        DUE_US,
        name * 2,
        None,
        BODY,
    )


def open_store(folder: Path) -> MessageStore:
    """Open a message store in a folder."""
    store = MessageStore(folder, DISK_BYTES)
    store.use_rules(DeliveryRules(8, (MESSAGE_CLASS,)))
    return store


def filled_store(folder: Path, live: int) -> MessageStore:
    """Write a journal with `live` live messages, each tried once."""
    store = open_store(folder)
    for number in range(live):
        message = accepted_message(number)
        store.append_message(message)
        store.append_attempt(message, 0, NOW_US, HOST)
        store.append_outcome(message, 0, True)
        if number % 1_000 == 0:
            store.flush()
    store.flush()
    return store


def measure_checkpoint(live: int) -> Mapping[str, float]:
    """Measure one compaction of all live messages, and reading the result."""
    with tempfile.TemporaryDirectory() as name:
        store = filled_store(Path(name), live)
        gc.collect()
        held = resident_bytes()
        began = time.process_time()
        store.compact()
        spent = time.process_time() - began
        size, peak = store.size, peak_bytes()
        store.close()
        read = run_isolated(measure_recovery, name)
    return {
        "seconds": spent,
        "size": float(size),
        "held": float(held),
        "peak": float(peak),
        **read,
    }


def measure_recovery(folder: str) -> Mapping[str, float]:
    """Measure the reading of a journal at a start.

    Raises RuntimeError if it is damaged or empty.
    """
    began = time.process_time()
    store = MessageStore(Path(folder), DISK_BYTES, write=False)
    spent = time.process_time() - began
    if store.report.damaged or not store.messages:
        raise RuntimeError(store.report.summary())
    return {"read_s": spent, "read_peak": float(peak_bytes())}


CHECKPOINT = (
    ("seconds", "processor time of a checkpoint", "s"),
    ("size", "size of a checkpoint", "byte"),
    ("held", "memory of a process with a journal alone", "byte"),
    ("peak", "most memory while a checkpoint is written", "byte"),
    ("read_s", "processor time to read it at a start", "s"),
    ("read_peak", "most memory while it is read at a start", "byte"),
)


def checkpoint_series(progress: Progress) -> Iterator[Series]:
    """Measure compaction and recovery against live messages."""
    growth = grow(
        LIVE,
        lambda live: run_isolated(measure_checkpoint, live),
        progress,
        point_s=240.0,
        memory=lambda run: run["peak"],
    )
    for name, title, unit in CHECKPOINT:
        yield Series(
            f"journal: {title}",
            Role.JOURNAL,
            "live message",
            unit,
            growth.points_of(name),
            growth.bound,
        )


def measure_passing(live: int) -> Mapping[str, float]:
    """Measure messages that pass through while `live` others stay.

    The measurement lasts for two compactions of the journal.
    """
    with tempfile.TemporaryDirectory() as name:
        store = filled_store(Path(name), live)
        store.compact()
        bytes_before, rewrites_before = store.log.bytes_written, store.log.rewrites
        passed = 0
        began = time.process_time()
        while store.log.rewrites < rewrites_before + 2:
            for number in range(live + passed, live + passed + MESSAGES_PER_FLUSH):
                message = accepted_message(number)
                store.append_message(message)
                store.append_attempt(message, 0, NOW_US, HOST)
            store.flush()
            for number in range(live + passed, live + passed + MESSAGES_PER_FLUSH):
                store.append_finished(f"{number:016x}")
            store.flush()
            passed += MESSAGES_PER_FLUSH
        spent = time.process_time() - began
        written = store.log.bytes_written - bytes_before
        store.close()
    return {"bytes": written / passed, "message": spent / passed * 1e6}


def passing_series(progress: Progress) -> Iterator[Series]:
    """Measure messages that pass through against live messages."""
    growth = grow(LIVE, lambda live: run_isolated(measure_passing, live), progress)
    for name, title, unit in (
        ("bytes", "bytes written a message, rewriting included", "byte"),
        ("message", "processor time a message, rewriting included", "us"),
    ):
        yield Series(
            f"journal: {title}",
            Role.JOURNAL,
            "live message",
            unit,
            growth.points_of(name),
            growth.bound,
        )


def endpoint(number: int) -> dict[str, object]:
    """Build an endpoint as discovery delivers it."""
    return {
        "host": f"s-{number:08x}",
        "dial": "10.1.2.3:8080",
        "site": "a",
        "class": "plain",
        "block": number,
        "health": "up",
        "share": 100.0,
        "born_ms": 0,
    }


def measure_list_changes(endpoints: int) -> Mapping[str, float]:
    """Measure changes of the list, each of one endpoint."""
    hosts = {str(entry["host"]): entry for entry in map(endpoint, range(endpoints))}
    changed = next(iter(hosts))
    with tempfile.TemporaryDirectory() as name:
        store = open_store(Path(name))
        store.append_endpoint_list(0, hosts, NOW_US, "127.0.0.1:1")
        store.flush()
        before = store.log.bytes_written
        began = time.process_time()
        for version in range(1, LIST_CHANGES + 1):
            hosts = hosts | {changed: hosts[changed] | {"born_ms": version}}
            store.append_endpoint_list(version, hosts, NOW_US, "127.0.0.1:1")
            store.flush()
        spent = time.process_time() - began
        written = store.log.bytes_written - before
        store.close()
        record = float(store.list_bytes)
    return {
        "bytes": written / LIST_CHANGES,
        "seconds": spent / LIST_CHANGES,
        "record": record,
    }


def list_series(progress: Progress) -> Iterator[Series]:
    """Measure changes of the list against listed endpoints."""
    growth = grow(
        ENDPOINTS,
        lambda endpoints: run_isolated(measure_list_changes, endpoints),
        progress,
    )
    for name, title, unit in (
        ("bytes", "bytes written a change of the list, rewriting included", "byte"),
        ("seconds", "processor time a change of the list, rewriting included", "s"),
        ("record", "size of the list's record", "byte"),
    ):
        yield Series(
            f"journal: {title}",
            Role.JOURNAL,
            "listed endpoint",
            unit,
            growth.points_of(name),
            growth.bound,
        )


MEASUREMENTS = (
    Measurement(
        "journal-checkpoint", "rewriting and reading all that lives", checkpoint_series
    ),
    Measurement(
        "journal-passing", "messages that pass through beside live ones", passing_series
    ),
    Measurement("journal-list", "changes of the list of endpoints", list_series),
)
