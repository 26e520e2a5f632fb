"""Group commit: one task writes all items queued since its last batch, with one sync.

No outcome is reported before the batch is stored. That includes rejections and changes
that alter nothing, because they may depend on an earlier change that is not stored yet.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Generic, NamedTuple, TypeVar

from rainfall.errors import RainfallError
from rainfall.registry.endpoint_registry import Change, EndpointRegistry, PendingChanges
from rainfall.registry.request_error import RequestError
from rainfall.registry.storage import Storage, log_write_failure

T = TypeVar("T")
log = logging.getLogger("rainfall.registry")


class QueueFullError(RainfallError):
    """The write queue is full, or closed for shutdown."""


class OutcomeUnknownError(RainfallError):
    """The process exits before a write has finished: it may be stored or not."""


@dataclass(slots=True)
class QueuedItem(Generic[T]):
    """A queued item, and the future of its outcome.

    The caller may stop waiting for the outcome at any time.
    """

    item: T
    outcome: asyncio.Future[Any] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def resolve(self, outcome: Any) -> None:
        """Set the outcome as the future's result, or as its exception if it is one."""
        if self.outcome.done():
            return
        if isinstance(outcome, BaseException):
            self.outcome.set_exception(outcome)
            # Marks the exception as retrieved: if the caller has stopped waiting, the
            # event loop would log it.
            self.outcome.exception()
        else:
            self.outcome.set_result(outcome)


class GroupCommit(Generic[T]):
    """Queues items and writes them in batches, in the order in which they were added.

    `write_batch` writes a batch and resolves each of its items.
    """

    def __init__(
        self,
        write_batch: Callable[[list[QueuedItem[T]]], Awaitable[None]],
        max_queued: int,
    ) -> None:
        self.write_batch = write_batch
        self.max_queued = max_queued
        self.closed = False
        self.queue: list[QueuedItem[T]] = []
        self.batch: list[QueuedItem[T]] = []
        self.wakeup = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    @property
    def full(self) -> bool:
        """Whether no more bounded items are accepted."""
        return self.closed or len(self.queue) >= self.max_queued

    def add(self, item: T, bounded: bool = True) -> asyncio.Future[Any]:
        """Queue an item, and return the future of its outcome.

        The caller awaits the future in `asyncio.shield`, so that the item is written
        even if the caller is cancelled.

        Raises:
            QueueFullError: The queue is full; never raised if `bounded` is false.
        """
        if bounded and self.full:
            raise QueueFullError
        queued = QueuedItem(item)
        self.queue.append(queued)
        self.wakeup.set()
        return queued.outcome

    async def finish(self, within_s: float) -> bool:
        """Close the queue and write what is queued; False if not done in `within_s`."""
        self.closed = True
        self.wakeup.set()
        await asyncio.wait({self.task}, timeout=within_s)
        if self.task.done():
            return True
        for queued in (*self.batch, *self.queue):
            queued.resolve(OutcomeUnknownError())
        return False

    async def _run(self) -> None:
        while self.queue or not self.closed:
            await self.wakeup.wait()
            if not self.closed:
                self.wakeup.clear()
            self.batch = self.queue
            self.queue = []
            try:
                await self.write_batch(self.batch)
            except Exception as error:
                # The callers must not wait forever, whatever the failure.
                log.exception("cannot write batch")
                for queued in self.batch:
                    queued.resolve(error)
            self.batch = []


@dataclass(slots=True)
class ChangeRequest:
    """A change that is queued to be prepared and stored."""

    prepare: Callable[[PendingChanges], Change | int]
    """Makes the change, given the earlier changes that are not stored yet."""
    exclusive: bool = False
    """Whether it is written as a batch of its own, as for a new epoch or fence."""


class _PreparedChange(NamedTuple):
    queued: QueuedItem[ChangeRequest]
    outcome: Change | int | RequestError
    """A change to be stored, the version in force, or the rejection."""


class ChangeWriter:
    """The only writer of the endpoint registry and of its log."""

    def __init__(
        self,
        storage: Storage,
        registry: EndpointRegistry,
        max_queued: int,
        on_stored: Callable[[list[Change]], None],
        on_failed: Callable[[OSError], None],
    ) -> None:
        self.storage = storage
        self.registry = registry
        self.on_stored = on_stored
        self.on_failed = on_failed
        self.group_commit: GroupCommit[ChangeRequest] = GroupCommit(
            self._write_batch, max_queued
        )

    async def submit(self, request: ChangeRequest) -> Change | int:
        """Queue a change and return it once it is stored.

        Returns the version in force if the change alters nothing.

        Raises:
            QueueFullError: The write queue is full.
            RequestError: The change is rejected.
            OSError: The change could not be stored.
        """
        outcome: Change | int = await asyncio.shield(self.group_commit.add(request))
        return outcome

    async def _write_batch(self, batch: list[QueuedItem[ChangeRequest]]) -> None:
        pending = PendingChanges(self.registry.seq)
        prepared: list[_PreparedChange] = []
        for queued in batch:
            if queued.item.exclusive:
                await self._store(prepared)
                pending = PendingChanges(self.registry.seq)
                prepared = []
            prepared.append(_prepare(queued, pending))
            if queued.item.exclusive:
                await self._store(prepared)
                pending = PendingChanges(self.registry.seq)
                prepared = []
        await self._store(prepared)

    async def _store(self, prepared: list[_PreparedChange]) -> None:
        """Store and commit the changes, and resolve all prepared requests."""
        changes = [outcome for _, outcome in prepared if isinstance(outcome, Change)]
        if changes:
            try:
                await asyncio.to_thread(self.storage.append_changes, changes)
            except OSError as error:
                self.on_failed(error)
                log_write_failure("cannot write changes", error)
                _resolve_after_failure(prepared, error)
                return
            for change in changes:
                self.registry.commit(change)
            self.on_stored(changes)
        for queued, outcome in prepared:
            queued.resolve(outcome)
        if changes and self.storage.snapshot_due():
            await self._write_snapshot()

    async def _write_snapshot(self) -> None:
        try:
            await asyncio.to_thread(self.storage.write_snapshot, self.registry)
        except OSError as error:
            self.on_failed(error)
            log_write_failure("cannot write snapshot", error)


def _prepare(
    queued: QueuedItem[ChangeRequest], pending: PendingChanges
) -> _PreparedChange:
    try:
        return _PreparedChange(queued, queued.item.prepare(pending))
    except RequestError as error:
        return _PreparedChange(queued, error)


def _resolve_after_failure(prepared: list[_PreparedChange], error: OSError) -> None:
    """Resolve all requests, from the first change that was lost on with the error.

    Every later outcome was prepared as if that change were in force.
    """
    depends_on_lost_change = False
    for queued, outcome in prepared:
        depends_on_lost_change = depends_on_lost_change or isinstance(outcome, Change)
        queued.resolve(error if depends_on_lost_change else outcome)
