"""The state that all addresses of the list service share.

It comprises the endpoint registry and its writer, watches, epochs, the fence, notices,
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
"""Bytes of encoded answers cached until the next change.

Room for seven lists of 44,000 endpoints.
"""
log = logging.getLogger("rainfall.registry")


def wall_clock_ms() -> int:
    """Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


def monotonic_us() -> int:
    """Monotonic time in microseconds."""
    return time.monotonic_ns() // 1_000


class ServiceContext:
    """The shared state of the service, and the operations on it.

    `now_ms` is the wall clock, used only to prepare new versions higher than old ones;
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
        """Functions that return further gauges, by exported name."""
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
        """Return the encoded answer to a reader, cached for readers of the same version."""
        has_delta = (
            since is not None and self.registry.floor <= since <= self.registry.seq
        )
        key = since if has_delta and epoch in (None, self.registry.epoch) else None
        if key not in self._answers:
            answer = msgspec.json.encode(self.registry.answer_for(since, epoch))
            if self._answer_bytes + len(answer) > MAX_CACHED_ANSWER_BYTES:
                self._clear_answer_cache()
            self._answers[key] = answer
            self._answer_bytes += len(answer)
        return self._answers[key]

    def _clear_answer_cache(self) -> None:
        self._answers.clear()
        self._answer_bytes = 0

    async def hold_watch(self, changed: asyncio.Future[None], hold_ms: int) -> None:
        """Wait until `changed` completes, or `hold_ms` has passed.

        The caller must not await between its check for changes and taking `changed`, or
        it could miss a change. The disconnect of a watcher cancels the wait.

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
        self._clear_answer_cache()
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
        """Initialize an empty state folder, as requested by an operator.

        Raises:
            OSError: The initial epoch could not be stored.
        """
        await self.writer.submit(
            ChangeRequest(lambda _: self.registry.initial_epoch(self.now_ms()), True)
        )

    async def begin_epoch(self, past_version: int = 0, past_epoch: int = 0) -> None:
        """Begin an epoch past a version and an epoch, and store it.

        Raises:
            OSError: The epoch could not be stored.
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
        """Raise the fence past `above` unless it is already, store it, and return it.

        The fence is raised for tokens that members have seen, and by operators, but never
        for readers of the list.

        Raises:
            RequestError: 422, `above` exceeds the fence by more than `MAX_EPOCH_JUMP`.
            OSError: The fence could not be stored.
        """
        await self.writer.submit(
            ChangeRequest(lambda _: self.registry.raise_fence(above), True)
        )
        return self.registry.fence

    async def apply_change(
        self, body: Any, digest: str, expected_version: int | None
    ) -> Change | int:
        """Store a change and return it; or return a version if the change alters nothing.

        `digest` is the digest of the body. `expected_version`, unless None, must be the
        version in force.

        Raises:
            RequestError: The change is rejected.
            QueueFullError: The write queue is full.
            OSError: The change could not be stored.
        """

        def prepare(pending: PendingChanges) -> Change | int:
            if expected_version is not None and expected_version != pending.seq:
                raise RequestError(412, [f"version {pending.seq} is in force"])
            return self.registry.prepare(body, digest, pending)

        return await self.writer.submit(ChangeRequest(prepare))

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
            log_write_failure("cannot write notices", error, count=len(notices))

    def gauges(self) -> dict[str, int]:
        """Return all gauges that are read from the state, by exported name."""
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
        """Return the content of `/_vars`."""
        tables = {table.name: table.read() for table in self.gauge_tables}
        return {**self.gauges(), **service_variables(self.metrics), **tables}

    async def finish(self) -> bool:
        """End all watches and finish the pending writes.

        Returns False if the writes did not finish within `Limits.shutdown_timeout_s`.
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
