"""No list of processes, servers, destinations or records is cut below 1,024 entries, and the lists of the
largest fleet (540 forwarders, 44,000 destinations, 10,000 budgets) are taken whole."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from lemonshunt.net.address import Address
from lemonshunt.net.config import Config, Host, HostList, host
from lemonshunt.net.desk import MOST_GONE
from lemonshunt.net.engine import Engine
from lemonshunt.wirehost import settings
from tests.sockets import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
LEAST = 1_024
ENDPOINTS = 44_000


# Endpoints


def endpoint(n: int, health: str = "up") -> dict[str, Any]:
    return {"host": f"endpoint-{n:08}.zone-{n % 5}.example.internal",
            "dial": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8080", "site": f"zone-{n % 5}",
            "class": "standard", "block": n, "share": 0.000123456789, "born_ms": 1_790_000_000_000 + n,
            "health": health}


def listing(numbers: range, health: str = "up", whole: bool = True) -> HostList:
    return HostList(1, whole, tuple(map(host, (endpoint(n, health) for n in numbers))))


def engine(folder: Path) -> Engine:
    where = Address("127.0.0.1", 9)
    return Engine(Config("f1", where, where, folder, 1, 192, 40, 64_000_000, HostList(0, True, ()),
                         settings(SETTINGS), ()))


def known_by(e: Engine, told: HostList) -> None:
    """Each target that was told goes by one number, that leads back to its name."""
    entries = e.entries(told)
    e.take_list(told)
    hosts: dict[int, Host] = {entry.target: h for entry, h in zip(entries, told.hosts, strict=True)}
    assert len(hosts) == len(told.hosts) and {n: e.names.get(n) for n in hosts} == {
        n: h.name for n, h in hosts.items()}
    assert all(e.numbers[h.name] == n for n, h in hosts.items())


def test_a_first_list_of_44000_endpoints_goes_by_one_number_each(tmp_path: Path) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        known_by(e, listing(range(ENDPOINTS)))
        assert len(e.destinations) == ENDPOINTS
        known_by(e, listing(range(ENDPOINTS)))
        assert len(e.destinations) == ENDPOINTS
        e.store.close()
    asyncio.run(scene())


def test_endpoints_that_left_are_remembered_and_forgotten_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        known_by(e, listing(range(LEAST * 2)))
        before = dict(e.numbers)
        e.take_list(listing(range(LEAST * 2), "removed", whole=False))
        assert not e.hosts and e.numbers == before
        known_by(e, listing(range(LEAST * 2)))
        assert e.numbers == before  # they came back, and are who they were
        for n in range(3 * MOST_GONE):
            e.number(f"gone{n}")
            assert len(e.numbers) == len(e.names) <= len(e.hosts) + MOST_GONE + 1
        assert before.items() <= e.numbers.items() and f"gone{3 * MOST_GONE - LEAST}" in e.numbers
        e.store.close()
    asyncio.run(scene())


