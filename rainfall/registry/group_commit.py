"""Group sync: one task takes whatever was asked since its last round, writes it, and
then tells it.

Nothing is told before it is on disk: not a change, not that a change alters nothing
beside one that waits, and no refusal that rests on one that waits.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from rainfall.errors import RainfallError
from rainfall.registry.endpoint_registry import Change, EndpointRegistry, PendingChanges
from rainfall.registry.request_error import RequestError
from rainfall.registry.storage import Storage

T = TypeVar("T")
log = logging.getLogger("rainfall.registry")


class QueueFullError(RainfallError):
    """Too much waits already."""


class OutcomeUnknownError(RainfallError):
    """The process ends before the disk has answered: what was asked may be kept, or
    not.
    """


@dataclass(slots=True)
class QueuedItem(Generic[T]):
    """One thing that waits, and where its outcome is told.

    Whoever waits may have left meanwhile.
    """

    item: T
    outcome: asyncio.Future[Any] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def resolve(self, outcome: Any) -> None:
        if self.outcome.done():
            return
        if isinstance(outcome, BaseException):
            self.outcome.set_exception(outcome)
            # seen: its asker may have left, and the loop would complain of that
            self.outcome.exception()
        else:
            self.outcome.set_result(outcome)


class GroupCommit(Generic[T]):
    """`write` is given all that came since the last round, in order; it tells each."""

    def __init__(
        self,
        write_batch: Callable[[list[QueuedItem[T]]], Awaitable[None]],
        max_queued: int,
    ) -> None:
        self.write_batch, self.max_queued, self.closed = write_batch, max_queued, False
        self.queue: list[QueuedItem[T]] = []
        self.batch: list[QueuedItem[T]] = []
        self.wakeup = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def add(self, item: T, bounded: bool = True) -> asyncio.Future[Any]:
        """Raises Full (never where not `bounded`).

        Whoever awaits the future shields it: what was asked is done though its asker
        left.
        """
        if bounded and (self.closed or len(self.queue) >= self.max_queued):
            raise QueueFullError
        queued = QueuedItem(item)
        self.queue.append(queued)
        self.wakeup.set()
        return queued.outcome

    async def finish(self, within_s: float) -> bool:
        """Take no more, and write what waits; False where it is not done in time."""
        self.closed = True
        self.wakeup.set()
        await asyncio.wait({self.task}, timeout=within_s)
        for queued in () if self.task.done() else (*self.batch, *self.queue):
            queued.resolve(OutcomeUnknownError())
        return self.task.done()

    async def _run(self) -> None:
        while self.queue or not self.closed:
            await self.wakeup.wait()
            if not self.closed:
                self.wakeup.clear()
            self.batch, self.queue = self.queue, []
            try:
                await self.write_batch(self.batch)
            except (
                Exception
            ) as error:  # a fault of ours must not leave its askers waiting for good
                log.exception("a round failed")
                for queued in self.batch:
                    queued.resolve(error)
            self.batch = []


@dataclass(slots=True)
class ChangeRequest:
    """A change to be made once its turn comes, from what is then in force and pending.

    `alone` begins a new epoch or fence: what comes after it is checked against what it
    left.
    """

    prepare: Callable[[PendingChanges], Change | int]
    exclusive: bool = False


class ChangeWriter:
    """The only one who changes the registry and writes its log."""

    def __init__(
        self,
        storage: Storage,
        registry: EndpointRegistry,
        max_queued: int,
        on_stored: Callable[[list[Change]], None],
        on_failed: Callable[[OSError], None],
    ) -> None:
        self.storage, self.registry, self.on_stored, self.on_failed = (
            storage,
            registry,
            on_stored,
            on_failed,
        )
        self.group_commit: GroupCommit[ChangeRequest] = GroupCommit(
            self._write_batch, max_queued
        )

    async def submit(self, request: ChangeRequest) -> Change | int:
        """The change made, on disk; or the version in force.

        Raises Full, Refused, OSError.
        """
        outcome: Change | int = await asyncio.shield(self.group_commit.add(request))
        return outcome

    async def _write_batch(self, batch: list[QueuedItem[ChangeRequest]]) -> None:
        pending, outcomes = (
            PendingChanges(self.registry.seq),
            list[tuple[QueuedItem[ChangeRequest], Change | int | RequestError]](),
        )
        for queued in batch:
            if queued.item.exclusive:
                await self._store(outcomes)
                pending, outcomes = PendingChanges(self.registry.seq), []
            try:
                outcomes.append((queued, queued.item.prepare(pending)))
            except RequestError as error:
                outcomes.append((queued, error))
            if queued.item.exclusive:
                await self._store(outcomes)
                pending, outcomes = PendingChanges(self.registry.seq), []
        await self._store(outcomes)

    async def _store(
        self,
        outcomes: list[tuple[QueuedItem[ChangeRequest], Change | int | RequestError]],
    ) -> None:
        changes = [outcome for _, outcome in outcomes if isinstance(outcome, Change)]
        if changes:
            try:
                await asyncio.to_thread(self.storage.append_changes, changes)
            except OSError as error:
                self.on_failed(error)
                log.error("changes not kept", extra={"why": str(error)})
                # from the first lost change on, each outcome rests on what is not there
                depends_on_lost_change = False
                for queued, outcome in outcomes:
                    depends_on_lost_change = depends_on_lost_change or isinstance(
                        outcome, Change
                    )
                    queued.resolve(error if depends_on_lost_change else outcome)
                return
            for change in changes:
                self.registry.commit(change)
            self.on_stored(changes)
        for queued, outcome in outcomes:
            queued.resolve(outcome)
        if changes and self.storage.snapshot_due():
            try:
                await asyncio.to_thread(self.storage.write_snapshot, self.registry)
            except OSError as error:
                self.on_failed(error)
                log.error("snapshot not written", extra={"why": str(error)})
