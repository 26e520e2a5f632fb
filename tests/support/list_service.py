"""Runs the list service in the test's process, with a disk that can fail, and calls it."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from rainfall.journal.files import LocalFileSystem
from rainfall.lease.types import LeaseSettings
from rainfall.registry.limits import Limits
from rainfall.registry.server import RegistryServer
from rainfall.registry.storage import Storage

TTL_US = 200_000


class FaultyFileSystem(LocalFileSystem):
    """A file system whose syncs can be delayed and whose syncs and truncations can fail."""

    def __init__(self) -> None:
        self.unblocked, self.failing, self.fail_truncate = (
            threading.Event(),
            False,
            False,
        )
        self.unblocked.set()

    def truncate(self, fd: int, size: int) -> None:
        if self.fail_truncate:
            raise OSError(5, "Input/output error")
        super().truncate(fd, size)

    def sync(self, fd: int) -> None:
        self.unblocked.wait(10)
        if self.failing:
            raise OSError(28, "No space left on device")
        super().sync(fd)


class Clock:
    ms, us = 1_000_000, 0


class RunningService:
    """A service in this process with its list, write and fleet ports, and calls to it."""

    def __init__(self, folder: Path, bounds: Limits, clock: Clock) -> None:
        self.files, self.clock = FaultyFileSystem(), clock
        disk = Storage(folder, self.files)
        registry, self.had = disk.load()
        self.service = RegistryServer(
            disk, registry, lambda: clock.ms, bounds, lambda: clock.us
        )

    async def open(
        self, lead: Callable[[RegistryServer], Awaitable[Any]] | None
    ) -> RunningService:
        if not self.had:
            await self.service.begin_history()
        if lead is not None:
            await lead(self.service)
            self.fleet = await self.service.listen_fleet("127.0.0.1", 0)
        self.list = await self.service.listen("127.0.0.1", 0, False)
        self.write = await self.service.listen("127.0.0.1", 0, True)
        return self

    async def request(
        self, path: str, body: Any = None, port: int = 0
    ) -> tuple[int, dict[str, str], Any]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.write)
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{'POST' if data else 'GET'} {path} HTTP/1.1\r\nHost: r\r\n"
        writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        try:
            return await read_response(reader)
        finally:
            writer.close()

    def change(
        self, *hosts: str, key: str = ""
    ) -> Awaitable[tuple[int, dict[str, str], Any]]:
        operations = [
            {
                "op": "register",
                "host": host,
                "dial": "h:1",
                "site": "a",
                "class": "m",
                "block": 0,
                "share": 1.0,
                "born_ms": 0,
            }
            for host in hosts
        ]
        return self.request("/v1/hosts", {"id": key, "ops": operations})


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], Any]:
    async with asyncio.timeout(5):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in head[1:] if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head[0].split()[1]), headers, json.loads(body or b"null")


async def until(true: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not true():
            await asyncio.sleep(0.005)


def run_service(
    folder: Path,
    test: Callable[[RunningService], Awaitable[None]],
    clock: Clock | None = None,
    lead: Callable[[RegistryServer], Awaitable[Any]] | None = None,
    **bounds: Any,
) -> None:
    async def whole() -> None:
        run = await RunningService(folder, Limits(**bounds), clock or Clock()).open(
            lead
        )
        try:
            await test(run)
        finally:
            run.files.unblocked.set()
            await run.service.stop()

    asyncio.run(whole())


def with_fleet(*extensions: Any, watermark_path: Path | None = None) -> Any:
    async def start_fleet(service: RegistryServer) -> None:
        await service.start_fleet(
            LeaseSettings(0.02, 1_000, TTL_US), TTL_US, extensions, watermark_path
        )

    return start_fleet


async def beat(
    run: RunningService, name: str, token: Any = None, **more: Any
) -> tuple[int, Any]:
    body = {"name": name, "site": "a", "dial": "h:1", "token": token, "sent": 1, **more}
    status, _, answer = await run.request("/v1/fleet/beat", body, run.fleet)
    return status, answer


async def acquire(run: RunningService, name: str, **more: Any) -> tuple[int, Any]:
    body = {"holder": "h", "ttl_ms": 100, **more}
    status, _, answer = await run.request(f"/v1/leases/{name}/acquire", body, run.fleet)
    return status, answer
