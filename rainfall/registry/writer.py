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

from rainfall.registry.bodies import Refused
from rainfall.registry.core import Change, Pending, Registry
from rainfall.registry.disk import Disk

T = TypeVar("T")
log = logging.getLogger("rainfall.registry")


class Full(Exception):
    """Too much waits already."""


class Unknown(Exception):
    """The process ends before the disk has answered: what was asked may be kept, or
    not.
    """


@dataclass(slots=True)
class Asked(Generic[T]):
    """One thing that waits, and where its outcome is told. Whoever waits may have left
    meanwhile.
    """

    what: T
    done: asyncio.Future[Any] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )

    def tell(self, outcome: Any) -> None:
        if self.done.done():
            return
        if isinstance(outcome, BaseException):
            self.done.set_exception(outcome)
            # seen: its asker may have left, and the loop would complain of that
            self.done.exception()
        else:
            self.done.set_result(outcome)


class Rounds(Generic[T]):
    """`write` is given all that came since the last round, in order; it tells each."""

    def __init__(
        self, write: Callable[[list[Asked[T]]], Awaitable[None]], most: int
    ) -> None:
        self.write, self.most, self.ended = write, most, False
        self.queue: list[Asked[T]] = []
        self.batch: list[Asked[T]] = []
        self.kick = asyncio.Event()
        self.task = asyncio.get_running_loop().create_task(self._run())

    def add(self, what: T, bounded: bool = True) -> asyncio.Future[Any]:
        """Raises Full (never where not `bounded`). Whoever awaits the future shields
        it: what was asked is done though its asker left.
        """
        if bounded and (self.ended or len(self.queue) >= self.most):
            raise Full
        asked = Asked(what)
        self.queue.append(asked)
        self.kick.set()
        return asked.done

    async def finish(self, within_s: float) -> bool:
        """Take no more, and write what waits; False where it is not done in time."""
        self.ended = True
        self.kick.set()
        await asyncio.wait({self.task}, timeout=within_s)
        for asked in () if self.task.done() else (*self.batch, *self.queue):
            asked.tell(Unknown())
        return self.task.done()

    async def _run(self) -> None:
        while self.queue or not self.ended:
            await self.kick.wait()
            if not self.ended:
                self.kick.clear()
            self.batch, self.queue = self.queue, []
            try:
                await self.write(self.batch)
            except (
                Exception
            ) as error:  # a fault of ours must not leave its askers waiting for good
                log.exception("a round failed")
                for asked in self.batch:
                    asked.tell(error)
            self.batch = []


@dataclass(slots=True)
class Wish:
    """A change to be made once its turn comes, from what is then in force and pending.
    `alone` begins a new epoch or fence: what comes after it is checked against what it
    left.
    """

    make: Callable[[Pending], Change | int]
    alone: bool = False


class Writer:
    """The only one who changes the registry and writes its log."""

    def __init__(
        self,
        disk: Disk,
        registry: Registry,
        most: int,
        kept: Callable[[list[Change]], None],
        failed: Callable[[OSError], None],
    ) -> None:
        self.disk, self.registry, self.kept, self.failed = disk, registry, kept, failed
        self.rounds: Rounds[Wish] = Rounds(self._round, most)

    async def ask(self, wish: Wish) -> Change | int:
        """The change made, on disk; or the version in force. Raises Full, Refused,
        OSError.
        """
        told: Change | int = await asyncio.shield(self.rounds.add(wish))
        return told

    async def _round(self, batch: list[Asked[Wish]]) -> None:
        pending, made = (
            Pending(self.registry.seq),
            list[tuple[Asked[Wish], Change | int | Refused]](),
        )
        for asked in batch:
            if asked.what.alone:
                await self._keep(made)
                pending, made = Pending(self.registry.seq), []
            try:
                made.append((asked, asked.what.make(pending)))
            except Refused as error:
                made.append((asked, error))
            if asked.what.alone:
                await self._keep(made)
                pending, made = Pending(self.registry.seq), []
        await self._keep(made)

    async def _keep(
        self, made: list[tuple[Asked[Wish], Change | int | Refused]]
    ) -> None:
        changes = [told for _, told in made if isinstance(told, Change)]
        if changes:
            try:
                await asyncio.to_thread(self.disk.write, changes)
            except OSError as error:
                self.failed(error)
                log.error("changes not kept", extra={"why": str(error)})
                # from the first lost change on, each outcome rests on what is not there
                resting = False
                for asked, told in made:
                    resting = resting or isinstance(told, Change)
                    asked.tell(error if resting else told)
                return
            for change in changes:
                self.registry.commit(change)
            self.kept(changes)
        for asked, told in made:
            asked.tell(told)
        if changes and self.disk.due():
            try:
                await asyncio.to_thread(self.disk.snapshot, self.registry)
            except OSError as error:
                self.failed(error)
                log.error("snapshot not written", extra={"why": str(error)})
