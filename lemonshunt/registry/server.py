"""The list service's I/O: the discovery address, the write address, watches and the writer.

Reads and watches as PROTOCOL "Discovery" and "Notices" say; writes as docs/parts.md "Writes".
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lemonshunt.registry import http
from lemonshunt.registry.core import Change, Pending, Refused, Registry
from lemonshunt.registry.disk import Disk

MOST_HOLD_MS = 60_000
MOST_WATCHERS = 10_000
MOST_CONNECTIONS = 20_000
MOST_HELD_BYTES = 4 * 1024 * 1024  # unsent answers a slow watcher may hold
MOST_QUEUED = 10_000  # changes waiting for the writer
log = logging.getLogger("lemonshunt.registry")


@dataclass
class Figures:
    reads: int = 0
    watches_held: int = 0
    watches_answered: int = 0
    changes: int = 0
    refused: int = 0
    epochs: int = 0
    notices: int = 0
    slow_closed: int = 0
    busy: int = 0
    connections: int = 0
    write_failures: int = 0


@dataclass
class Service:
    disk: Disk
    registry: Registry
    now_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000
    figures: Figures = field(default_factory=Figures)

    def __post_init__(self) -> None:
        self.changed = asyncio.get_running_loop().create_future()
        self.queue: list[tuple[Any, str, int | None, asyncio.Future[Change | int]]] = []
        self.kick = asyncio.Event()
        self.stopping = False
        self.writer = asyncio.get_running_loop().create_task(self._write_loop())
        self.servers: list[asyncio.Server] = []

    async def listen(self, host: str, port: int, writes: bool) -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._connection(reader, writer, writes)

        server = await asyncio.start_server(serve, host, port, limit=http.MOST_HEAD)
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Answer every held watch, stop taking connections, let the writer finish what it has."""
        self.stopping = True
        self._wake()
        for server in self.servers:
            server.close()
        self.kick.set()
        await asyncio.sleep(0.05)
        self.writer.cancel()

    # -- connections ---------------------------------------------------------------------------------

    async def _connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, writes: bool
    ) -> None:
        self.figures.connections += 1
        try:
            if self.figures.connections > MOST_CONNECTIONS:
                self.figures.busy += 1
                writer.write(http.answer(503, Retry_After="1"))
                return
            while not self.stopping:
                try:
                    request = await http.read(reader)
                except http.Unreadable as error:
                    writer.write(http.fault(error.status, [str(error)]))
                    return
                if request is None:
                    return
                writer.write(await self._answer(request, writes, writer))
                if writer.transport.get_write_buffer_size() > MOST_HELD_BYTES:
                    self.figures.slow_closed += 1
                    return
                if not request.keep_alive:
                    return
        except ConnectionError:
            pass
        finally:
            self.figures.connections -= 1
            writer.close()

    async def _answer(self, request: http.Request, writes: bool, writer: asyncio.StreamWriter) -> bytes:
        route = (request.method, request.path)
        if route == ("GET", "/_ready"):
            return http.answer(503 if self.stopping else 200, {"ready": not self.stopping})
        if route == ("GET", "/_vars"):
            return http.answer(200, self.vars())
        if route == ("POST", "/v1/notices"):
            return self._notices(bytes(request.body))
        if route in (("GET", "/discovery/hosts"), ("GET", "/v1/hosts")):
            return await self._read(request.query)
        if writes and route == ("POST", "/v1/hosts"):
            return await self._change(request)
        if writes and route == ("GET", "/v1/notices"):
            return self._read_notices(request.query)
        return http.answer(404)

    # -- reads and watches -----------------------------------------------------------------------------

    async def _read(self, query: dict[str, str]) -> bytes:
        try:
            since = int(query["from"]) if query.get("from") else None
            epoch = int(query["epoch"]) if query.get("epoch") else None
            hold = min(max(int(query.get("hold_ms") or 0), 0), MOST_HOLD_MS)
        except ValueError:
            return http.fault(400, ["from, epoch and hold_ms are whole numbers"])
        if since is not None and not 0 <= since < 1 << 53:
            return http.fault(400, ["from: a version from 0 below 2**53"])
        self.figures.reads += 1
        if self.registry.ahead(since, epoch):
            await self.begin_epoch(since or 0)
        elif since == self.registry.seq and hold and not self.stopping:
            if self.figures.watches_held >= MOST_WATCHERS:
                self.figures.busy += 1
                return http.answer(503, Retry_After="1")
            await self._hold(hold)
        return http.answer(200, self.registry.owed(since, epoch))

    async def _hold(self, hold_ms: int) -> None:
        # Taken before any await: a change committed after the check wakes this watch (no gap).
        changed = self.changed
        self.figures.watches_held += 1
        try:
            await asyncio.wait_for(asyncio.shield(changed), hold_ms / 1000)
        except TimeoutError:
            pass
        finally:
            self.figures.watches_held -= 1
            self.figures.watches_answered += 1

    def _wake(self) -> None:
        if not self.changed.done():
            self.changed.set_result(None)
        self.changed = asyncio.get_running_loop().create_future()

    # -- writes ----------------------------------------------------------------------------------------

    async def _change(self, request: http.Request) -> bytes:
        try:
            body = json.loads(bytes(request.body), object_pairs_hook=_unique, parse_constant=_no_constant)
        except ValueError as error:
            self.figures.refused += 1
            return http.fault(400, [f"not JSON: {error}"])
        match = request.headers.get("if-match", "").strip('" ')
        if match and not match.isdigit():
            self.figures.refused += 1
            return http.fault(400, ["If-Match: a version, a whole number"])
        if len(self.queue) >= MOST_QUEUED:
            self.figures.busy += 1
            return http.answer(503, Retry_After="1")
        digest = hashlib.sha256(json.dumps(body, sort_keys=True).encode()).hexdigest()[:32]
        done: asyncio.Future[Change | int] = asyncio.get_running_loop().create_future()
        self.queue.append((body, digest, int(match) if match else None, done))
        self.kick.set()
        try:
            told = await done
        except Refused as error:
            self.figures.refused += 1
            return http.fault(error.status, error.faults)
        except OSError as error:
            return http.fault(507, [f"the change could not be kept: {error.strerror or error}"])
        seq = told.seq if isinstance(told, Change) else told
        made = {"seq": seq, "epoch": self.registry.epoch, "changed": isinstance(told, Change)}
        return http.answer(200, made, ETag=f'"{seq}"')

    async def _write_loop(self) -> None:
        """Takes every change queued, checks them in order, syncs them once, then tells them."""
        while True:
            await self.kick.wait()
            self.kick.clear()
            batch, self.queue = self.queue, []
            pending, made = Pending(self.registry.seq), []
            for body, digest, match, done in batch:
                try:
                    if match is not None and match != pending.seq:
                        raise Refused(412, [f"version {pending.seq} is in force"])
                    told = self.registry.prepare(body, digest, pending)
                except Refused as error:
                    done.set_exception(error)
                    continue
                if isinstance(told, Change):
                    made.append((told, done))
                else:
                    done.set_result(told)
            await self._keep(made)

    async def _keep(self, waiting: list[tuple[Change, asyncio.Future[Change | int]]]) -> None:
        changes = [change for change, _ in waiting]
        if not changes:
            return
        try:
            await asyncio.to_thread(self.disk.write, changes)
        except OSError as error:
            self.figures.write_failures += 1
            log.error("changes not kept", extra={"why": str(error)})
            for _, done in waiting:
                done.set_exception(error)
            return
        for change, done in waiting:
            self.registry.commit(change)
            done.set_result(change)
        self.figures.changes += len(changes)
        self._wake()
        if self.disk.due():
            try:
                await asyncio.to_thread(self.disk.snapshot, self.registry)
            except OSError as error:
                log.error("snapshot not written", extra={"why": str(error)})

    async def begin_epoch(self, asked: int) -> None:
        change = self.registry.new_epoch(self.now_ms(), asked)
        await asyncio.to_thread(self.disk.write, [change])
        self.registry.commit(change)
        self.figures.epochs += 1
        log.warning("new epoch", extra={"epoch": change.epoch, "base": change.base, "asked": asked})
        self._wake()

    # -- notices ---------------------------------------------------------------------------------------

    def _notices(self, body: bytes) -> bytes:
        try:
            told = [json.loads(line) for line in body.splitlines() if line.strip()]
        except ValueError as error:
            return http.fault(400, [f"a line is not JSON: {error}"])
        if not all(isinstance(n, dict) and isinstance(n.get("id"), str) for n in told):
            return http.fault(400, ["each line is an object with an id"])
        self.figures.notices += len(told)
        asyncio.get_running_loop().create_task(self._keep_notices(told))
        return http.answer(204)  # at once, as PROTOCOL asks; keeping them is the service's own work

    async def _keep_notices(self, told: list[dict[str, Any]]) -> None:
        try:
            await asyncio.to_thread(self.disk.notices, told, self.now_ms())
        except OSError as error:
            self.figures.write_failures += 1
            log.error("notices not kept", extra={"why": str(error), "count": len(told)})

    def _read_notices(self, query: dict[str, str]) -> bytes:
        try:
            since, most = int(query.get("from") or 0), min(int(query.get("most") or 1000), 10_000)
        except ValueError:
            return http.fault(400, ["from and most are whole numbers"])
        rows = self.disk.read_notices(since, most)
        after = rows[-1]["n"] + 1 if rows else max(since, self.disk.notice_count)
        return http.answer(200, {"next": after, "notices": rows})

    def vars(self) -> dict[str, Any]:
        return {
            "epoch": self.registry.epoch,
            "seq": self.registry.seq,
            "floor": self.registry.floor,
            "listed": self.registry.listed(),
            "entries_kept": len(self.registry.entries),
            "syncs": self.disk.syncs,
            "queued": len(self.queue),
            **vars(self.figures),
        }


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise ValueError(f"the key {key!r} comes twice")
        found[key] = value
    return found


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a number JSON allows")
