"""What all addresses of the list service share: the registry, its writer, who waits,
epochs, the fence.
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
    TokenBucket,
)
from rainfall.registry.group_commit import (
    ChangeRequest,
    ChangeWriter,
    GroupCommit,
    QueuedItem,
    QueueFullError,
)
from rainfall.registry.limits import Limits
from rainfall.registry.metrics import MetricsCollector, ServiceMetrics
from rainfall.registry.request_schemas import RequestError
from rainfall.registry.storage import Storage

MAX_CACHED_ANSWER_BYTES = (
    64 * 1024 * 1024
)  # of encoded answers kept until the next change: seven lists of 44,000
log = logging.getLogger("rainfall.registry")


def wall_clock_ms() -> int:
    return time.time_ns() // 1_000_000


def monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


class ServiceContext:
    """`now_ms` is the wall clock (it only helps new versions to be high), `now_us` an
    own monotonic one.
    """

    def __init__(
        self,
        storage: Storage,
        registry: EndpointRegistry,
        now_ms: Callable[[], int] = wall_clock_ms,
        limits: Limits | None = None,
        now_us: Callable[[], int] = monotonic_us,
    ) -> None:
        self.storage, self.registry, self.now_ms, self.now_us = (
            storage,
            registry,
            now_ms,
            now_us,
        )
        self.limits, self.metrics = limits or Limits(), ServiceMetrics()
        self.metric_tables: dict[
            str, tuple[str, Callable[[], dict[str, dict[str, int]]]]
        ] = {}
        """Figures of several things alike, by part: the label they are told apart by,
        and each one's own.
        """
        self.metrics_collector = MetricsCollector(
            self.metrics, self.gauges, self.metric_tables
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
        self.gauge_sources: list[
            Callable[[], dict[str, int]]
        ] = []  # figures of what is built on this
        self.on_stop: list[Callable[[], None]] = []
        self.on_fence_raised: list[Callable[[int], None]] = []
        self._answers: dict[int | None, bytes] = {}
        self._answer_bytes = 0
        self._epoch_bucket = TokenBucket(
            self.limits.epoch_burst, int(self.limits.epoch_interval_s * 1_000_000)
        )
        self._claim = (
            0,
            0,
        )  # highest version and epoch that readers showed, not gone past yet
        self._claim_lock = asyncio.Lock()
        self._claim_timer: asyncio.TimerHandle | None = None
        self._claim_task: asyncio.Task[None] | None = None

    # -- reading and waiting
    # ---------------------------------------------------------------------------

    def encoded_answer(self, since: int | None, epoch: int | None) -> bytes:
        """What a reader is owed, encoded once for all who are owed the same."""
        delta = since is not None and self.registry.floor <= since <= self.registry.seq
        key = since if delta and epoch in (None, self.registry.epoch) else None
        if key not in self._answers:
            made = msgspec.json.encode(self.registry.answer_for(since, epoch))
            if self._answer_bytes + len(made) > MAX_CACHED_ANSWER_BYTES:
                self._forget_answers()
            self._answers[key] = made
            self._answer_bytes += len(made)
        return self._answers[key]

    def _forget_answers(self) -> None:
        self._answers.clear()
        self._answer_bytes = 0

    async def hold_watch(self, changed: asyncio.Future[None], hold_ms: int) -> None:
        """Wait until `changed` (taken with no await since the check, so that no change
        falls between). A watcher that leaves is cancelled here, and counts no more.
        Raises Refused past the bound.
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
        self._forget_answers()
        changed, self.list_changed = (
            self.list_changed,
            asyncio.get_running_loop().create_future(),
        )
        changed.set_result(None)

    def _on_changes_stored(self, changes: list[Change]) -> None:
        self.metrics.changes += sum(bool(change.hosts) for change in changes)
        self.metrics.epochs += sum(bool(change.base) for change in changes)
        self.metrics.fence_lifts += sum(bool(change.fence) for change in changes)
        for change in changes:
            for callback in self.on_fence_raised if change.fence else ():
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

    # -- epochs and the fence
    # --------------------------------------------------------------------------

    async def begin_history(self) -> None:
        """Begin a history on an empty folder, at the operator's word.

        Raises OSError.
        """
        await self.writer.submit(
            ChangeRequest(lambda _: self.registry.initial_epoch(self.now_ms()), True)
        )

    async def begin_epoch(self, past_version: int = 0, past_epoch: int = 0) -> None:
        """Begin an epoch past a version and an epoch; durable when this returns.

        Raises OSError.
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
        """Raise the fence past `above` where it is not: for tokens that members have
        seen, and operators, never for a reader of the list. Durable when this returns
        the fence. Raises Refused, OSError.
        """
        await self.writer.submit(
            ChangeRequest(lambda _: self.registry.raise_fence(above), True)
        )
        return self.registry.fence

    async def observe_claim(self, since: int | None, epoch: int | None) -> None:
        """A reader shows what it has seen.

        Where that is past us, a new epoch goes past it and is on disk before the reader
        is told; but only so often, as anyone may claim anything. A claim put off is
        gone past when its time comes; its reader is told the whole list meanwhile.
        """
        if self.registry.claim_ahead(since, epoch) is None:
            return
        async with self._claim_lock:
            claim = self.registry.claim_ahead(since, epoch)
            if claim is None:
                return  # another's claim took us past this one too
            self._claim = max(self._claim[0], claim[0]), max(self._claim[1], claim[1])
            await self._advance_past_claims()

    async def _advance_past_claims(self) -> None:
        now = self.now_us()
        if not self._epoch_bucket.try_acquire(now):
            self.metrics.lifts_put_off += 1
            if self._claim_timer is None and not self.stopping:
                loop = asyncio.get_running_loop()
                self._claim_timer = loop.call_later(
                    self._epoch_bucket.wait_us(now) / 1e6, self._on_claim_timer
                )
            return
        claim, self._claim = self._claim, (0, 0)
        try:
            await asyncio.shield(asyncio.ensure_future(self.begin_epoch(*claim)))
        except (
            OSError,
            QueueFullError,
        ):  # counted by the writer; the next reader who is ahead tries again
            self._claim = claim

    def _on_claim_timer(self) -> None:
        self._claim_timer = None

        async def past() -> None:
            async with self._claim_lock:
                if self._claim > (0, 0) and (
                    self._claim[0] > self.registry.seq
                    or self._claim[1] > self.registry.epoch
                ):
                    await self._advance_past_claims()
                else:
                    self._claim = (0, 0)

        self._claim_task = asyncio.get_running_loop().create_task(past())

    # -- changes and notices
    # ---------------------------------------------------------------------------

    async def apply_change(
        self, body: Any, digest: str, match: int | None
    ) -> Change | int:
        """Raises Refused, Full, OSError."""

        def make(pending: PendingChanges) -> Change | int:
            if match is not None and match != pending.seq:
                raise RequestError(412, [f"version {pending.seq} is in force"])
            return self.registry.prepare(body, digest, pending)

        return await self.writer.submit(ChangeRequest(make))

    async def _write_notices(
        self, batch: list[QueuedItem[list[dict[str, Any]]]]
    ) -> None:
        told = [notice for asked in batch for notice in asked.item]
        if not told:
            return
        try:
            await asyncio.to_thread(self.storage.append_notices, told, self.now_ms())
        except OSError as error:
            self.metrics.write_failures += 1
            log.error("notices not kept", extra={"why": str(error), "count": len(told)})

    # -- figures and the end
    # ---------------------------------------------------------------------------

    def gauges(self) -> dict[str, int]:
        more = {
            name: value for part in self.gauge_sources for name, value in part().items()
        }
        return {
            **more,
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
        tables = {part: figures() for part, (_, figures) in self.metric_tables.items()}
        return {**self.gauges(), **vars(self.metrics), **tables}

    async def finish(self) -> bool:
        """Answer every held watch, and keep what was asked; False where the disk did
        not end in time.
        """
        self.stopping = True
        if self._claim_timer is not None:
            self._claim_timer.cancel()
        self.wake_watchers()
        for end in self.on_stop:
            end()
        return all(
            await asyncio.gather(
                *(
                    rounds.finish(self.limits.shutdown_timeout_s)
                    for rounds in self.group_commits
                )
            )
        )
