"""A forwarder's fleet heartbeats, and the state file that it leaves for its successor."""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from unittest import mock

from rainfall.dispatch import QuotaChanged
from rainfall.forwarder.config.address import Address
from rainfall.forwarder.discovery.endpoint_watch import HttpClient
from rainfall.forwarder.fleet.member import FleetMember
from rainfall.forwarder.fleet.quotas import FleetQuotas
from rainfall.forwarder.fleet.state_file import QuotaRecords, StateFile
from rainfall.forwarder.http1 import ResponseReader
from rainfall.lease.fencing_token import Token
from tests.compatibility.forwarders import FLEET, forwarder
from tests.compatibility.journals import fixed_machine
from tests.compatibility.references import References

START_US = 5_000_000_000
SHARES: dict[str, object] = {
    "7": {"calls": 20, "number": 5, "whole": 100, "span_ms": 500, "reserve": 4}
    | {"slack_ms": 6},
    "8": {"calls": 9, "number": 2, "whole": 30, "span_ms": 1000},
}
MEMBERS = [
    {"name": "n1", "site": "south", "dial": "127.0.0.1:7"}
    | {"token": [3, 9], "state": "alive"}
]


@dataclass
class MachineClock:
    """The monotonic clock of a member's lease, in microseconds, set by the test."""

    now_us: int = START_US


@contextlib.contextmanager
def fixed_member() -> Iterator[tuple[Path, MachineClock]]:
    """Yields a state folder and a clock that advances only when the test sets it."""
    clock = MachineClock()
    with (
        fixed_machine() as folder,
        mock.patch.object(secrets, "token_hex", lambda count: "ab" * count),
        mock.patch.object(
            time, "clock_gettime_ns", lambda number: clock.now_us * 1_000
        ),
    ):
        yield folder, clock


class ScriptedClient(HttpClient):
    """Answers each request with the next scripted answer and records the requests."""

    def __init__(self) -> None:
        super().__init__(Address("127.0.0.1", 9))
        self.answers: list[tuple[int, bytes]] = []
        self.asked: list[tuple[str, str, str]] = []

    async def request(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> ResponseReader:
        self.asked.append((method, path, body.decode()))
        status, data = self.answers.pop(0)
        reader = ResponseReader()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
        reader.feed(head.encode() + data)
        return reader


def granted(sent: int, token: list[int], shares: dict[str, object]) -> bytes:
    answer = {
        "token": token,
        "ttl_ms": 3000,
        "sent": sent,
        "version": 5,
        "state": "alive",
        "list": [3, 8],
        "whole": True,
        "members": MEMBERS,
        "shares": shares,
    }
    return json.dumps(answer).encode()


def fewer(calls: int, number: int) -> dict[str, object]:
    return {"7": {"calls": calls, "number": number, "whole": 100, "span_ms": 500}}


ANSWERS: list[tuple[int, bytes]] = [
    (409, b'{"error":"held","retry_ms":700,"faults":["name: it is held"]}'),
    (200, granted(2, [3, 17], SHARES)),
    (200, granted(3, [3, 17], fewer(12, 6))),
    (409, b'{"error":"lost","seen":[3,90],"faults":["token: the lease is out"]}'),
    (200, granted(5, [3, 91], SHARES)),
    (503, b""),
    (200, granted(7, [3, 91], SHARES)),
]
"""Heartbeat answers: name still held, join, renewal, lease lost, join, unavailable, renewal."""


def share_table(event: QuotaChanged) -> list[object]:
    used = [list(entry) for entry in event.used]
    limits: list[object] = [event.destination, event.calls, event.window_us]
    return [*limits, event.expires_at_us, event.reserve_calls, used]


def books_table(books: FleetQuotas, now_us: int) -> dict[str, object]:
    return {
        "figures": books.metrics(now_us),
        "keeps": books.known_reserves(),
        "module": [
            share_table(books.quota_event(destination, now_us, 1_000))
            for destination in sorted(books.accounts)
        ],
    }


def fleet_of(folder: Path) -> FleetMember:
    fleet = forwarder(folder, fleet=FLEET).fleet
    assert fleet is not None
    return fleet


async def beaten() -> References:
    """Returns each heartbeat with its answer and the metrics after it, and the state files."""
    with fixed_member() as (folder, clock):
        fleet, client = fleet_of(folder), ScriptedClient()
        fleet.write_state(fleet.quotas.records())
        files: References = {"fleet-file-start": (folder / "fleet.json").read_bytes()}
        heartbeats: list[object] = []
        for number, answer in enumerate(ANSWERS):
            client.answers.append(answer)
            fleet.record_demand(7, "order", "acme")
            fleet.record_demand(8 + number, "pay", None)
            await fleet.send_heartbeat(client)
            clock.now_us += 600_000
            for _ in range(3):
                clock.now_us += 1_000
                fleet.quotas.acquire_permit(7, clock.now_us)
            heartbeats.append(
                [client.asked[-1], answer[1].decode(), fleet.metrics_report()]
            )
            if number == 2:
                name = "fleet-file-standing"
                files[name] = (folder / "fleet.json").read_bytes()
        fleet.pause()
        files["fleet-file-closed"] = (folder / "fleet.json").read_bytes()
        return files | {"heartbeats": heartbeats}


FILES = ("fleet-file-start", "fleet-file-standing", "fleet-file-closed")


async def taken_up(data: bytes) -> dict[str, object]:
    """Returns the quotas that a member restores from a state file, and its first heartbeat."""
    with fixed_member() as (folder, clock):
        (folder / "fleet.json").write_bytes(data)
        clock.now_us += 7_000_000
        fleet, client = fleet_of(folder), ScriptedClient()
        table = books_table(fleet.quotas, clock.now_us)
        fleet.quotas.persisted = True
        permits = [fleet.quotas.acquire_permit(7, clock.now_us) for _ in range(6)]
        client.answers.append((503, b""))
        await fleet.send_heartbeat(client)
        previous_token = [fleet.previous_token.epoch, fleet.previous_token.number]
        results = {
            "shown": previous_token,
            "leaves": permits,
            "beat": client.asked[-1][2],
        }
        return table | results


def many_records() -> QuotaRecords:
    """Returns 700 records, enough that their state file is compressed."""
    record = {"form": 1, "token": [3, 17], "number": 6, "reserve": 5, "whole": 100}
    return {n: {**record, "span_us": 500_000, "slack_us": 5_000} for n in range(700)}


def long_file() -> bytes:
    with fixed_member() as (folder, _):
        state_file = StateFile(folder, False)
        state_file.write(*state_file.encode(Token(3, 17), many_records()))
        return (folder / "fleet.json").read_bytes()


def read_file(data: bytes) -> tuple[Token, QuotaRecords]:
    with fixed_member() as (folder, _):
        (folder / "fleet.json").write_bytes(data)
        return StateFile(folder, False).read()


async def made_async() -> References:
    references = await beaten()
    for name in FILES:
        data = references[name]
        assert isinstance(data, bytes)
        references[f"{name}-read"] = await taken_up(data)
    return references | {"fleet-file-long": long_file()}


def made() -> References:
    return asyncio.run(made_async())
