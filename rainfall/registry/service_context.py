"""What all addresses of the list service share.

That is the endpoint registry and its writer, watches, epochs and the fence, notices,
metrics, and the shutdown.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

import msgspec

from rainfall.registry.endpoint_registry import (
    Change,
    EndpointRegistry,
    PendingChanges,
)
from rainfall.registry.epoch_claims import EpochClaims
from rainfall.registry.group_commit import (
    ChangeRequest,
    ChangeWriter,
    GroupCommit,
    QueuedItem,
)
from rainfall.registry.limits import Limits
from rainfall.registry.metrics import (
    GaugeTable,
    MetricsCollector,
    ServiceMetrics,
    service_variables,
)
from rainfall.registry.request_error import RequestError
from rainfall.registry.storage import Storage, log_write_failure

MAX_CACHED_ANSWER_BYTES = 64 * 1024 * 1024
"""Encoded answers cached until the next change: seven lists of 44,000 endpoints."""
log = logging.getLogger("rainfall.registry")


def wall_clock_ms() -> int:
    """Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def monotonic_us() -> int:
    """Microseconds of the process's monotonic clock."""
    return time.monotonic_ns() // 1_000


class ServiceContext:
    """The state of the service, and what its addresses ask of it.

    `now_ms` is the wall clock, which only makes new versions higher than old ones;
    `now_us` is a monotonic clock.
    """

    def __init__(
        self,
        storage: Storage,
        registry: EndpointRegistry,
        now_ms: Callable[[], int] = wall_clock_ms,
        limits: Limits | None = None,
        now_us: Callable[[], int] = monotonic_us,
    ) -> None:
        self.storage = storage
        self.registry = registry
        self.now_ms = now_ms
        self.now_us = now_us
        self.limits = limits or Limits()
        self.metrics = ServiceMetrics()
        self.gauge_tables: list[GaugeTable] = []
        self.gauge_sources: list[Callable[[], dict[str, int]]] = []
        """Gauges of the parts built on this service, by the name that is sent."""
        self.metrics_collector = MetricsCollector(
            self.metrics, self.gauges, self.gauge_tables
        )
        self.writer = ChangeWriter(
            storage,
            registry,
            self.limits.queued,
            self._on_changes_stored,
            self._on_write_failed,
        )
        self.notice_commit: GroupCommit[list[dict[str, Any]]] = GroupCommit(
            self._write_notices, self.limits.queued
        )
        self.list_changed = asyncio.get_running_loop().create_future()
        self.stopping = False
        self.group_commits: list[GroupCommit[Any]] = [
            self.writer.group_commit,
            self.notice_commit,
        ]
        self.on_stop: list[Callable[[], None]] = []
        self.on_fence_raised: list[Callable[[int], None]] = []
        self.epoch_claims = EpochClaims(
            registry, self.begin_epoch, self.limits, self.metrics, now_us
        )
        self._answers: dict[int | None, bytes] = {}
        self._answer_bytes = 0

    def encoded_answer(self, since: int | None, epoch: int | None) -> bytes:
        """The answer to a reader, encoded once for all readers with the same answer."""
        has_delta = (
            since is not None and self.registry.floor <= since <= self.registry.seq
        )
        key = since if has_delta and epoch in (None, self.registry.epoch) else None
        if key not in self._answers:
            answer = msgspec.json.encode(self.registry.answer_for(since, epoch))
            if self._answer_bytes + len(answer) > MAX_CACHED_ANSWER_BYTES:
                self._forget_answers()
            self._answers[key] = answer
            self._answer_bytes += len(answer)
        return self._answers[key]

    def _forget_answers(self) -> None:
        self._answers.clear()
        self._answer_bytes = 0

    async def hold_watch(self, changed: asyncio.Future[None], hold_ms: int) -> None:
        """Wait until `changed` is done, or the time is over.

        The caller takes `changed` with no await since it checked that nothing is new,
        so that no change is missed. A watcher that disconnects is cancelled here.

        Raises:
            RequestError: 503, too many watches are held.
        """
        if self.metrics.watches_held >= self.limits.watchers:
            self.metrics.busy += 1
            raise RequestError(503, ["too many watches are held"])
        self.metrics.watches_held += 1
        try:
            await asyncio.wait({changed}, timeout=hold_ms / 1000)
            self.metrics.watches_answered += 1
        except asyncio.CancelledError:
            self.metrics.watchers_left += 1
            raise
        finally:
            self.metrics.watches_held -= 1

    def wake_watchers(self) -> None:
        """End all watches of the endpoint list."""
        self._forget_answers()
        changed = self.list_changed
        self.list_changed = asyncio.get_running_loop().create_future()
        changed.set_result(None)

    def _on_changes_stored(self, changes: list[Change]) -> None:
        self.metrics.changes += sum(bool(change.hosts) for change in changes)
        self.metrics.epochs += sum(bool(change.base) for change in changes)
        self.metrics.fence_raises += sum(bool(change.fence) for change in changes)
        for change in changes:
            if change.fence:
                for callback in self.on_fence_raised:
                    callback(self.registry.fence)
            if change.base or change.fence:
                log.warning(
                    "new epoch" if change.base else "new fence",
                    extra={
                        "epoch": change.epoch,
                        "base": change.base,
                        "fence": self.registry.fence,
                    },
                )
        if any(change.base or change.hosts for change in changes):
            self.wake_watchers()

    def _on_write_failed(self, _: OSError) -> None:
        self.metrics.write_failures += 1

    async def begin_history(self) -> None:
        """Begin a history on an empty folder, as an operator asked for.

        Raises:
            OSError: It could not be stored.
        """
        await self.writer.submit(
            ChangeRequest(lambda _: self.registry.initial_epoch(self.now_ms()), True)
        )

    async def begin_epoch(self, past_version: int = 0, past_epoch: int = 0) -> None:
        """Begin an epoch past a version and an epoch; it is stored when this returns.

        Raises:
            OSError: It could not be stored.
        """
        await self.writer.submit(
            ChangeRequest(
                lambda _: self.registry.new_epoch(
                    self.now_ms(), past_version, past_epoch
                ),
                True,
            )
        )

    async def raise_fence(self, above: int) -> int:
        """Raise the fence past `above` if it is not, and return the fence once stored.

        Members raise it by the tokens they have seen, and operators; readers of the
        list never do.

        Raises:
            RequestError: 422, `above` is further ahead than any fence can be.
            OSError: It could not be stored.
        """
        await self.writer.submit(
            ChangeRequest(lambda _: self.registry.raise_fence(above), True)
        )
        return self.registry.fence

    async def apply_change(
        self, body: Any, digest: str, match: int | None
    ) -> Change | int:
        """Store a change; returns it, or the version in force where it alters nothing.

        `digest` is that of the body, `match` the version that must be in force.

        Raises:
            RequestError: The change is rejected.
            QueueFullError: Too much waits to be written.
            OSError: It could not be stored.
        """

        def make(pending: PendingChanges) -> Change | int:
            if match is not None and match != pending.seq:
                raise RequestError(412, [f"version {pending.seq} is in force"])
            return self.registry.prepare(body, digest, pending)

        return await self.writer.submit(ChangeRequest(make))

    async def _write_notices(
        self, batch: list[QueuedItem[list[dict[str, Any]]]]
    ) -> None:
        notices = [notice for queued in batch for notice in queued.item]
        if not notices:
            return
        try:
            await asyncio.to_thread(self.storage.append_notices, notices, self.now_ms())
        except OSError as error:
            self.metrics.write_failures += 1
            log_write_failure("notices not kept", error, count=len(notices))

    def gauges(self) -> dict[str, int]:
        """All gauges that are read from the state, by the name that is sent."""
        gauges: dict[str, int] = {}
        for read_gauges in self.gauge_sources:
            gauges.update(read_gauges())
        return {
            **gauges,
            "epoch": self.registry.epoch,
            "fence": self.registry.fence,
            "seq": self.registry.seq,
            "floor": self.registry.floor,
            "listed": self.registry.listed_count(),
            "entries_kept": len(self.registry.entries),
            "syncs": self.storage.sync_count,
            "queued": len(self.writer.group_commit.queue),
        }

    def snapshot_variables(self) -> dict[str, Any]:
        """The content of `/_vars`."""
        tables = {table.name: table.read() for table in self.gauge_tables}
        return {**self.gauges(), **service_variables(self.metrics), **tables}

    async def finish(self) -> bool:
        """End all watches and write what was asked for.

        Returns False if the disk did not finish in time.
        """
        self.stopping = True
        self.epoch_claims.stop()
        self.wake_watchers()
        for stop in self.on_stop:
            stop()
        timeout_s = self.limits.shutdown_timeout_s
        finished = await asyncio.gather(
            *(group_commit.finish(timeout_s) for group_commit in self.group_commits)
        )
        return all(finished)
