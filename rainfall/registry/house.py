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

from rainfall.registry.bodies import Refused
from rainfall.registry.bounds import Bounds
from rainfall.registry.core import Change, Pending, Registry, Spaced
from rainfall.registry.disk import Disk
from rainfall.registry.figures import Figures, Metrics
from rainfall.registry.writer import Asked, Full, Rounds, Wish, Writer

MOST_KEPT_BYTES = (
    64 * 1024 * 1024
)  # of encoded answers kept until the next change: seven lists of 44,000
log = logging.getLogger("rainfall.registry")


def wall_ms() -> int:
    return time.time_ns() // 1_000_000


def own_us() -> int:
    return time.monotonic_ns() // 1_000


class House:
    """`now_ms` is the wall clock (it only helps new versions to be high), `now_us` an
    own monotonic one.
    """

    def __init__(
        self,
        disk: Disk,
        registry: Registry,
        now_ms: Callable[[], int] = wall_ms,
        bounds: Bounds | None = None,
        now_us: Callable[[], int] = own_us,
    ) -> None:
        self.disk, self.registry, self.now_ms, self.now_us = (
            disk,
            registry,
            now_ms,
            now_us,
        )
        self.bounds, self.figures = bounds or Bounds(), Figures()
        self.tables: dict[str, tuple[str, Callable[[], dict[str, dict[str, int]]]]] = {}
        """Figures of several things alike, by part: the label they are told apart by,
        and each one's own.
        """
        self.metrics = Metrics(self.figures, self.state, self.tables)
        self.writer = Writer(
            disk, registry, self.bounds.queued, self._kept, self._failed
        )
        self.noting: Rounds[list[dict[str, Any]]] = Rounds(
            self._note, self.bounds.queued
        )
        self.changed = asyncio.get_running_loop().create_future()
        self.stopping = False
        self.rounds: list[Rounds[Any]] = [self.writer.rounds, self.noting]
        self.parts: list[
            Callable[[], dict[str, int]]
        ] = []  # figures of what is built on this
        self.on_end: list[Callable[[], None]] = []
        self.on_fence: list[Callable[[int], None]] = []
        self._answers: dict[int | None, bytes] = {}
        self._answer_bytes = 0
        self._spaced = Spaced(self.bounds.lifts, int(self.bounds.lift_s * 1_000_000))
        self._claim = (
            0,
            0,
        )  # highest version and epoch that readers showed, not gone past yet
        self._claiming = asyncio.Lock()
        self._later: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    # -- reading and waiting
    # ---------------------------------------------------------------------------

    def answer(self, since: int | None, epoch: int | None) -> bytes:
        """What a reader is owed, encoded once for all who are owed the same."""
        delta = since is not None and self.registry.floor <= since <= self.registry.seq
        key = since if delta and epoch in (None, self.registry.epoch) else None
        if key not in self._answers:
            made = msgspec.json.encode(self.registry.owed(since, epoch))
            if self._answer_bytes + len(made) > MOST_KEPT_BYTES:
                self._forget_answers()
            self._answers[key] = made
            self._answer_bytes += len(made)
        return self._answers[key]

    def _forget_answers(self) -> None:
        self._answers.clear()
        self._answer_bytes = 0

    async def hold(self, changed: asyncio.Future[None], hold_ms: int) -> None:
        """Wait until `changed` (taken with no await since the check, so that no change
        falls between). A watcher that leaves is cancelled here, and counts no more.
        Raises Refused past the bound.
        """
        if self.figures.watches_held >= self.bounds.watchers:
            self.figures.busy += 1
            raise Refused(503, ["too many watches are held"])
        self.figures.watches_held += 1
        try:
            await asyncio.wait({changed}, timeout=hold_ms / 1000)
            self.figures.watches_answered += 1
        except asyncio.CancelledError:
            self.figures.watchers_left += 1
            raise
        finally:
            self.figures.watches_held -= 1

    def wake(self) -> None:
        self._forget_answers()
        changed, self.changed = self.changed, asyncio.get_running_loop().create_future()
        changed.set_result(None)

    def _kept(self, changes: list[Change]) -> None:
        self.figures.changes += sum(bool(change.hosts) for change in changes)
        self.figures.epochs += sum(bool(change.base) for change in changes)
        self.figures.fence_lifts += sum(bool(change.fence) for change in changes)
        for change in changes:
            for told in self.on_fence if change.fence else ():
                told(self.registry.fence)
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
            self.wake()

    def _failed(self, _: OSError) -> None:
        self.figures.write_failures += 1

    # -- epochs and the fence
    # --------------------------------------------------------------------------

    async def begin(self) -> None:
        """Begin a history on an empty folder, at the operator's word. Raises
        OSError.
        """
        await self.writer.ask(Wish(lambda _: self.registry.begun(self.now_ms()), True))

    async def begin_epoch(self, asked: int = 0, seen: int = 0) -> None:
        """Begin an epoch past a version and an epoch; durable when this returns. Raises
        OSError.
        """
        await self.writer.ask(
            Wish(lambda _: self.registry.new_epoch(self.now_ms(), asked, seen), True)
        )

    async def lift(self, above: int) -> int:
        """Raise the fence past `above` where it is not: for tokens that members have
        seen, and operators, never for a reader of the list. Durable when this returns
        the fence. Raises Refused, OSError.
        """
        await self.writer.ask(Wish(lambda _: self.registry.lifted(above), True))
        return self.registry.fence

    async def seen(self, since: int | None, epoch: int | None) -> None:
        """A reader shows what it has seen. Where that is past us, a new epoch goes past
        it and is on disk before the reader is told; but only so often, as anyone may
        claim anything. A claim put off is gone past when its time comes; its reader is
        told the whole list meanwhile.
        """
        if self.registry.overtaken(since, epoch) is None:
            return
        async with self._claiming:
            claim = self.registry.overtaken(since, epoch)
            if claim is None:
                return  # another's claim took us past this one too
            self._claim = max(self._claim[0], claim[0]), max(self._claim[1], claim[1])
            await self._past_claims()

    async def _past_claims(self) -> None:
        now = self.now_us()
        if not self._spaced.take(now):
            self.figures.lifts_put_off += 1
            if self._later is None and not self.stopping:
                loop = asyncio.get_running_loop()
                self._later = loop.call_later(
                    self._spaced.wait_us(now) / 1e6, self._due
                )
            return
        claim, self._claim = self._claim, (0, 0)
        try:
            await asyncio.shield(asyncio.ensure_future(self.begin_epoch(*claim)))
        except (
            OSError,
            Full,
        ):  # counted by the writer; the next reader who is ahead tries again
            self._claim = claim

    def _due(self) -> None:
        self._later = None

        async def past() -> None:
            async with self._claiming:
                if self._claim > (0, 0) and (
                    self._claim[0] > self.registry.seq
                    or self._claim[1] > self.registry.epoch
                ):
                    await self._past_claims()
                else:
                    self._claim = (0, 0)

        self._task = asyncio.get_running_loop().create_task(past())

    # -- changes and notices
    # ---------------------------------------------------------------------------

    async def change(self, body: Any, digest: str, match: int | None) -> Change | int:
        """Raises Refused, Full, OSError."""

        def make(pending: Pending) -> Change | int:
            if match is not None and match != pending.seq:
                raise Refused(412, [f"version {pending.seq} is in force"])
            return self.registry.prepare(body, digest, pending)

        return await self.writer.ask(Wish(make))

    async def _note(self, batch: list[Asked[list[dict[str, Any]]]]) -> None:
        told = [notice for asked in batch for notice in asked.what]
        if not told:
            return
        try:
            await asyncio.to_thread(self.disk.notices, told, self.now_ms())
        except OSError as error:
            self.figures.write_failures += 1
            log.error("notices not kept", extra={"why": str(error), "count": len(told)})

    # -- figures and the end
    # ---------------------------------------------------------------------------

    def state(self) -> dict[str, int]:
        more = {name: value for part in self.parts for name, value in part().items()}
        return {
            **more,
            "epoch": self.registry.epoch,
            "fence": self.registry.fence,
            "seq": self.registry.seq,
            "floor": self.registry.floor,
            "listed": self.registry.listed(),
            "entries_kept": len(self.registry.entries),
            "syncs": self.disk.syncs,
            "queued": len(self.writer.rounds.queue),
        }

    def vars(self) -> dict[str, Any]:
        tables = {part: figures() for part, (_, figures) in self.tables.items()}
        return {**self.state(), **vars(self.figures), **tables}

    async def finish(self) -> bool:
        """Answer every held watch, and keep what was asked; False where the disk did
        not end in time.
        """
        self.stopping = True
        if self._later is not None:
            self._later.cancel()
        self.wake()
        for end in self.on_end:
            end()
        return all(
            await asyncio.gather(
                *(rounds.finish(self.bounds.stop_s) for rounds in self.rounds)
            )
        )
