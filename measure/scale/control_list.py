"""Measures the cost of the list of endpoints against its length.

Measured are the bytes of the list, the time and memory that a forwarder needs to read
it and to apply changes, and the time that the list service needs to send it.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import json
import tempfile
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from measure.scale import control_fixtures as fixtures
from measure.scale import process_probe as probe
from measure.scale.growth import grow, run_isolated, sizes_by
from measure.scale.results import Measurement, Progress, Series
from measure.scale.target import DESTINATIONS, Role
from rainfall.dispatch import (
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
)
from rainfall.forwarder.config.loading import Address, EndpointList, parse_endpoint_list
from rainfall.forwarder.discovery.endpoint_watch import RESPONSE_TIMEOUT_S, HttpClient
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.http1 import (
    MAX_LIST_BYTES,
    MalformedResponseError,
    ResponseReader,
)
from rainfall.forwarder.message_store import MessageStore
from rainfall.registry.endpoint_registry import EndpointRegistry
from rainfall.registry.server import RegistryServer
from rainfall.registry.storage import Storage

SIZES = (100, 1_000, 10_000, DESTINATIONS)
LARGEST_LIST = 3 * DESTINATIONS
"""Three endpoints for each destination."""
REPEATS = 5
READ_BYTES = 256 * 1024
"""The most that the event loop reads from a socket at once."""


def read_from_wire(body: bytes) -> bytes:
    """Read the body of a response in pieces, as the forwarder reads it from a socket.

    Raises MalformedResponseError if the response is incomplete.
    """
    reader = ResponseReader(MAX_LIST_BYTES)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for offset in range(0, len(answer), READ_BYTES):
        reader.feed(answer[offset : offset + READ_BYTES])
    if not reader.complete:
        raise MalformedResponseError("list response is incomplete")
    return reader.body


def parse_list(body: bytes) -> EndpointList:
    """Read and parse a response as `EndpointWatch` does."""
    return parse_endpoint_list(json.loads(read_from_wire(body)))


def measure_follower(path: str) -> dict[str, float]:
    """Measure a forwarder that reads a whole list and then single changes.

    The forwarder starts without endpoints and reads the list from the file `path`.
    Runs in a process of its own.
    """
    body = Path(path).read_bytes()

    async def run(folder: Path) -> dict[str, float]:
        engine = fixtures.engine(folder)
        engine.run_round()
        before = probe.resident_bytes()
        probe.reset_peak()
        found: list[EndpointList] = []
        read_ms = probe.processor_ms(lambda: found.append(parse_list(body)))
        take_ms = probe.processor_ms(lambda: engine.on_endpoint_list(found.pop()))
        peak = probe.peak_bytes() - before
        kept = probe.resident_bytes() - before
        found_shares = {
            "reachable": reachable_share(engine),
            "recovered": recovered_share(engine, folder),
        }
        sweep_ms = probe.processor_ms(gc.collect, freeze=False)
        return {
            "read_ms": read_ms,
            "take_ms": take_ms,
            "peak_bytes": peak,
            "kept_bytes": kept,
            "sweep_ms": sweep_ms,
            **found_shares,
            **measure_change(engine),
        }

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(Path(folder)))


def reachable_share(engine: Engine) -> float:
    """Return the share of the listed endpoints that can be called.

    For these the dispatcher and the engine use the same number; messages to all
    others are held.
    """
    targets = engine.dispatcher.state.endpoints.values()
    names = {engine.endpoint_names.get(t.id) for t in targets if t.serving}
    return len(names & engine.endpoints.keys()) / len(engine.endpoints)


def recovered_share(engine: Engine, folder: Path) -> float:
    """Return the share of the listed endpoints that a restart finds in the journal."""
    return len(MessageStore(folder, fixtures.DISK_BYTES, write=False).hosts) / len(
        engine.endpoints
    )


def measure_change(engine: Engine) -> dict[str, float]:
    """Measure the change of one entry: processor time (ms) and bytes journaled.

    The time is that of the loop's turn from the parsed answer on.
    """
    count, written = len(engine.endpoints), engine.store.metrics()["bytes"]
    updates = changes(count)
    rounds = 4
    spent_ms = [
        probe.processor_ms(lambda: engine.on_endpoint_list(next(updates)))
        for _ in range(rounds)
    ]
    journaled = engine.store.metrics()["bytes"] - written
    return {
        "change_ms": sum(spent_ms) / rounds,
        "change_journal_bytes": journaled / rounds,
    }


def changes(count: int) -> Iterator[EndpointList]:
    """Yield changes of the middle endpoint, draining and up in turn, without end."""
    for health in itertools.cycle(("draining", "up")):
        yield fixtures.changed_entry(count, count // 2, health)


def measure_read(size: int) -> dict[str, float]:
    """Measure the bytes of a whole list, and a forwarder that reads it."""
    body = fixtures.whole_list(size)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "list.json")
        path.write_bytes(body)
        return {"bytes": len(body), **run_isolated(measure_follower, str(path))}


def entries(count: int) -> tuple[EndpointEntry, ...]:
    """Build the whole list as the entries that the dispatcher receives."""
    listed = parse_endpoint_list(
        {"seq": 1, "whole": True, "hosts": [fixtures.endpoint(n) for n in range(count)]}
    )
    return tuple(
        host.to_entry(number) for number, host in enumerate(listed.endpoints, 1)
    )


def measure_dispatcher(size: int) -> dict[str, float]:
    """Measure a dispatcher's round with the whole list, and one with one change."""
    with tempfile.TemporaryDirectory() as folder:
        dispatcher = Dispatcher(fixtures.config(Path(folder)).settings, 1, 0)
    whole = EndpointListChanged(EndpointListKind.SNAPSHOT, entries(size))
    one = EndpointListChanged(
        EndpointListKind.CHANGES, whole.entries[size // 2 : size // 2 + 1]
    )
    whole_ms = probe.processor_ms(lambda: dispatcher.handle(1, [whole]))
    return {
        "whole_ms": whole_ms,
        "change_ms": probe.processor_ms_each(lambda: dispatcher.handle(2, [one])),
    }


def measure_service(size: int) -> dict[str, float]:
    """Measure the list service: encoding the whole list, one change, and its answer."""
    registry = fixtures.registry(size)
    whole_ms = probe.processor_ms_each(
        lambda: msgspec.json.encode(registry.answer_for(None, None))
    )
    shares = itertools.cycle((100.0, 200.0))

    def change() -> None:
        operation = {
            "op": "share",
            "host": fixtures.endpoint(size // 2)["host"],
            "share": next(shares),
        }
        registry.commit(registry.prepare({"ops": [operation]}, ""))  # type: ignore[arg-type]

    change_ms = probe.processor_ms_each(change)
    answer_ms = probe.processor_ms_each(lambda: change_for_watcher(registry))
    return {
        "whole_ms": whole_ms,
        "change_ms": change_ms,
        "tell_ms": answer_ms,
        "tell_bytes": len(change_for_watcher(registry)),
    }


def change_for_watcher(registry: EndpointRegistry) -> bytes:
    """Encode the answer to a watcher that lacks only the last change.

    The service encodes it once for all watchers at the same version.
    """
    return msgspec.json.encode(registry.answer_for(registry.seq - 1, registry.epoch))


async def list_arrives(count: int) -> bool:
    """Return whether a client receives the whole list over a loopback socket.

    Client and list service are the program's own.
    """
    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(Path(folder))
        storage.load()
        service = RegistryServer(storage, fixtures.registry(count))
        port = await service.listen("127.0.0.1", 0, False)
        client = HttpClient(Address("127.0.0.1", port))
        try:
            answer = await client.request(
                "GET", "/discovery/hosts", 10 * RESPONSE_TIMEOUT_S
            )
            return (
                answer.status == 200 and len(json.loads(answer.body)["hosts"]) == count
            )
        except (OSError, MalformedResponseError):
            return False
        finally:
            client.close()
            await service.stop()


def measure_arrival(size: int) -> dict[str, float]:
    """Measure whether the whole list arrives: 1.0 or 0.0."""
    return {"arrived": float(asyncio.run(list_arrives(size)))}


def read_series(progress: Progress) -> Iterable[Series]:
    """Measure a forwarder's reading of the list against the number of endpoints."""
    growth = grow(SIZES, measure_read, progress, REPEATS)

    def series(name: str, key: str, unit: str) -> Series:
        return Series(
            name,
            Role.CONTROL_PART,
            "endpoints",
            unit,
            growth.points_of(key),
            growth.bound,
        )

    yield series("list_whole_bytes", "bytes", "bytes")
    yield series("list_read_ms", "read_ms", "ms of processor time")
    yield series("list_take_ms", "take_ms", "ms of processor time")
    yield series("list_peak_bytes", "peak_bytes", "bytes")
    yield series("list_kept_bytes", "kept_bytes", "bytes")
    yield series("list_sweep_ms", "sweep_ms", "ms of processor time")
    yield series("list_reachable", "reachable", "share of the endpoints")
    yield series("list_recovered", "recovered", "share of the endpoints")
    yield series("list_change_ms", "change_ms", "ms of processor time")
    yield series("list_change_journal_bytes", "change_journal_bytes", "bytes")


def dispatcher_series(progress: Progress) -> Iterable[Series]:
    """Measure the dispatcher's part against the number of endpoints."""
    growth = grow(SIZES, measure_dispatcher, progress, REPEATS)
    for key in ("whole_ms", "change_ms"):
        yield Series(
            f"list_module_{key}",
            Role.CONTROL_PART,
            "endpoints",
            "ms of processor time",
            growth.points_of(key),
            growth.bound,
        )


def service_series(progress: Progress) -> Iterable[Series]:
    """Measure the list service's work against the number of endpoints."""
    growth = grow(SIZES, measure_service, progress, REPEATS)

    def series(name: str, key: str, unit: str) -> Series:
        return Series(
            name,
            Role.LIST_SERVICE,
            "endpoints",
            unit,
            growth.points_of(key),
            growth.bound,
        )

    yield series("list_service_whole_ms", "whole_ms", "ms of processor time")
    yield series("list_service_change_ms", "change_ms", "ms of processor time")
    yield series("list_service_tell_ms", "tell_ms", "ms of processor time")
    yield series("list_service_tell_bytes", "tell_bytes", "bytes")


def arrival_series(progress: Progress) -> Iterable[Series]:
    """Measure the arrival of whole lists of up to `LARGEST_LIST` endpoints."""
    growth = grow([*sizes_by(11_000, 2, LARGEST_LIST)], measure_arrival, progress, 3)
    yield Series(
        "list_arrives",
        Role.LIST_SERVICE,
        "endpoints",
        "share of whole lists that arrive",
        growth.points_of("arrived"),
        growth.bound,
    )


MEASUREMENTS = (
    Measurement(
        "control_list_read",
        "a forwarder reads the whole list, and one change of it",
        read_series,
    ),
    Measurement("control_list_module", "the module's share of that", dispatcher_series),
    Measurement(
        "control_list_service",
        "the service makes the whole list, a change, its news",
        service_series,
    ),
    Measurement(
        "control_list_arrival",
        "whole lists over loopback from the service",
        arrival_series,
    ),
)
