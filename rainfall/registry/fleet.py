"""The fleet at the list service: leases and members run on disk and clock, and what
rides on their beats.

`lease.Table` and `member.Roster` decide; this writes each record they make to
`fleet.log`, synced in groups, commits it, and only then lets its answer be told; it
ticks them by a timer, and wakes who watches.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

from rainfall.lease.table import Grant, Held, Table
from rainfall.lease.terms import Record, Refused, Terms
from rainfall.lease.token import Token
from rainfall.member.roster import PREFIX, Roster
from rainfall.registry.bodies import VERSIONS
from rainfall.registry.book import LEASE, Book, Rows
from rainfall.registry.disk import Damaged
from rainfall.registry.house import House
from rainfall.registry.plans import PLAN_S as PLAN_S
from rainfall.registry.plans import RETRY_S, Plans
from rainfall.registry.rider import Rider, Riding, Row, heard
from rainfall.registry.watch import Watchers
from rainfall.registry.writer import Asked, Full, Rounds

PATIENCE_S = 1.0  # how long a beat waits for the plan that its answer rests on
log = logging.getLogger("rainfall.registry")


class Fleet:
    """`start` once, before its door opens. `mark`: a file outside the state folder
    (such as under /run) that holds the last number written; a folder that does not
    agree with it is taken for an older copy.
    """

    def __init__(
        self,
        house: House,
        path: Path,
        terms: Terms,
        ttl_us: int,
        riders: Iterable[Rider] = (),
        mark: Path | None = None,
    ) -> None:
        self.house, self.ttl_us, self.terms = house, ttl_us, terms
        self.book = Book(path, house.disk.files, mark)
        self.riders = {rider.name: rider for rider in riders}
        self.table = Table(terms)
        self.roster = Roster(self.table, ttl_us)
        self.watchers = Watchers()
        self.rounds: Rounds[Rows] = Rounds(self._round, house.bounds.queued)
        # A record a lease at most, and one plan at a time: queued past the bound of
        # calls.
        self.plans = Plans(
            house.now_us,
            self._ends,
            self._make,
            lambda rows: self.rounds.add(rows, bounded=False),
            self._next_us,
        )
        self._shown = (
            0,
            0,
        )  # the roster's epoch and version that the watchers' version tells of
        self._epoch = 0  # that riders were told
        self._tasks: set[asyncio.Future[Any]] = set()

    @property
    def version(self) -> int:
        return self.watchers.version

    # -- the start
    # -------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Read the log, begin an epoch, and have it on disk. Raises Damaged,
        OSError.
        """
        kept, found = self.book.load()
        now_us = self.house.now_us()
        try:
            if LEASE in kept:
                self.table = Table.restored(kept[LEASE], self.terms)
                self.roster = Roster(self.table, self.ttl_us)
            for row in found.get(LEASE, []):
                self.table.commit(row)
            # A wall clock and the list's own folder only help: what members have seen
            # lifts past both.
            least = max(self.house.registry.fence + 1, self.house.now_ms() // 1_000)
            record = self.table.start(now_us, self.book.whole(self.table.number), least)
            sure = bool(record["sure"])
            self._lifted(int(record["epoch"]))
            for name, rider in self.riders.items():
                rider.restored(now_us, sure, kept.get(name), found.get(name, []))
        except (KeyError, TypeError, ValueError) as error:
            raise Damaged(
                f"{self.book.log.path.name} cannot be read: {error!r}"
            ) from None
        await asyncio.shield(self.rounds.add([(LEASE, record)]))
        self.roster.started(now_us)
        members = [
            (m, self.table.leases[PREFIX + m.name].until_us)
            for m in self.roster.in_force()
        ]
        for riding in self._riding():
            riding.started(now_us, members)
        for row in found.get(LEASE, []):
            self._said(row, now_us)
        self.watchers.began(self.table.epoch << 20)  # grows over restarts, as epochs do
        self._shown = self.roster.epoch, self.roster.version
        await self.house.lift(self.table.epoch - 1)
        self.house.parts.append(self.state)
        self.house.rounds.append(self.rounds)
        self.house.on_end.append(self._end)
        self.house.on_fence.append(self._fence)
        self.plans.alarmed()
        log.info(
            "fleet",
            extra={
                "epoch": self.table.epoch,
                "sure": sure,
                "leases": len(self.table.leases),
            },
        )

    # -- what calls ask for
    # ----------------------------------------------------------------------------

    async def settle(
        self, decide: Callable[[int], Grant | Held | Record]
    ) -> Grant | Held | Record:
        """Let the table decide, and return what it says once its record is on disk and
        committed. Raises Full, OSError, and Refused after its record (what a client has
        seen) is kept too.
        """
        if self.rounds.ended or len(self.rounds.queue) >= self.rounds.most:
            raise Full
        refused: Refused | None = None
        try:
            made: Any = decide(self.house.now_us())
            record = made if isinstance(made, dict) else made.record
        except Refused as error:
            refused, record = error, error.record
        self._show()
        if record is not None:
            # Queued with no await since it was made: records go to disk in the order of
            # their numbers.
            await asyncio.shield(self.rounds.add([(LEASE, record)]))
        if refused is not None:
            raise refused
        return made  # type: ignore[no-any-return]

    async def beaten(
        self, name: str, token: Token, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Hand a beat to the riders, and their parts of the answer back. An answer that
        rests on what is not planned or not written yet waits for it: better than a
        further beat. Raises OSError, Refused.
        """
        now_us, parts = self.house.now_us(), dict[str, Any]()
        lease = self.table.read(PREFIX + name)
        if (
            lease is None or lease.token != token
        ):  # another took its place while it waited for the disk
            raise Refused(
                409,
                [f"token: the lease on {name} is another's"],
                lease.token if lease else token,
            )
        made = [
            heard(rider, now_us, lease.until_us, name, token, body)
            for rider in self.riders.values()
        ]
        if any(h.plan for h in made):
            self.plans.soon()
        if any(h.waits for h in made):
            await asyncio.wait({self.plans.next()}, timeout=PATIENCE_S)
        for h in made:
            parts.update(h.tell())
        return parts

    async def decide(self, name: str, make: Callable[[int], list[Row]]) -> None:
        """Rows that a call brings a rider (an operator's map), made between two plans,
        never on top of one, and kept. Raises what `make` raises, and Full, OSError
        where they are not kept.
        """
        if self.rounds.ended or len(self.rounds.queue) >= self.rounds.most:
            raise Full
        while self.plans.flying is not None:
            await asyncio.wait({self.plans.flying})
        if rows := [(name, row) for row in make(self.house.now_us())]:
            await asyncio.shield(self.plans.fly(rows))

    def frozen_us(self, now_us: int) -> int:
        """For how long nothing is divided anew, at the least; 0: it may be."""
        return max(self.roster.frozen_until(now_us) - now_us, 0)

    # -- the log
    # ---------------------------------------------------------------------------------------

    async def _round(self, batch: list[Asked[Rows]]) -> None:
        rows = [row for asked in batch for row in asked.what]
        try:
            if rows:
                await asyncio.to_thread(self.book.append, rows)
        except OSError as error:
            self.house.figures.write_failures += 1
            log.error("fleet not kept", extra={"why": str(error)})
            for of, row in rows:
                self.table.abandon(row) if of == LEASE else self.riders[of].abandon(row)
            for asked in batch:
                asked.tell(error)
            self.plans.alarmed(RETRY_S)
            return
        for of, row in rows:
            with self._guarded(of):
                self._commit_lease(row) if of == LEASE else self.riders[of].commit(
                    self.house.now_us(), row
                )
        self._show(rows)
        for asked in batch:
            asked.tell(None)
        if rows:
            self.plans.alarmed()
        if self.book.due():
            await self._rewrite()

    async def _rewrite(self) -> None:
        parts = {
            LEASE: self.table.snapshot(),
            **{n: r.snapshot() for n, r in self.riders.items()},
        }
        try:
            await asyncio.to_thread(self.book.rewrite, parts)
        except OSError as error:
            self.house.figures.write_failures += 1
            log.error("fleet log not written anew", extra={"why": str(error)})

    def _commit_lease(self, record: Record) -> None:
        name, now_us = str(record.get("name", "")), self.house.now_us()
        before = self.table.read(name)
        self.roster.commit(record)
        self._lifted(self.table.epoch)
        if self.table.epoch > self.house.registry.fence:
            self._lift(self.table.epoch)
        if not name.startswith(PREFIX):
            return
        after, member = self.table.read(name), name[len(PREFIX) :]
        log.info("lease", extra={"record": record})
        for rider in self.riders.values():
            if record["kind"] == "grant" and after is not None:
                out = before is not None and now_us >= before.until_us
                if before is not None and out:
                    rider.out(now_us, before.token)
                rider.joined(
                    now_us,
                    member,
                    after.token,
                    None if before is None or out else before.token,
                )
            elif record["kind"] == "end" and before is not None:
                (rider.ended if record["why"] == "released" else rider.out)(
                    now_us, before.token
                )
        self._said(record, now_us)
        self.plans.soon()

    def _said(self, record: Record, now_us: int) -> None:
        """What a join said of the process before it stands beside the lease's record,
        for riders alone.
        """
        name = str(record.get("name", ""))[len(PREFIX) :]
        member = self.roster.members.get(name)
        if (
            "shown" in record
            and member is not None
            and member.token.number == record["n"]
        ):
            for riding in self._riding():
                riding.said(
                    now_us,
                    name,
                    member.token,
                    Token.of(record["shown"]),
                    record["keeps"],
                )

    def _lifted(self, epoch: int) -> None:
        if epoch > self._epoch:
            self._epoch = epoch
            for riding in self._riding():
                riding.lifted(epoch)

    def _riding(self) -> list[Riding]:
        return [rider for rider in self.riders.values() if isinstance(rider, Riding)]

    @contextlib.contextmanager
    def _guarded(self, part: str) -> Iterator[None]:
        """A fault in one part must not keep the others' rows, or the ends of leases,
        from being taken.
        """
        try:
            yield
        except Exception:
            log.exception("a part of the fleet failed", extra={"part": part})

    # -- time
    # ------------------------------------------------------------------------------------------

    def _next_us(self) -> int | None:
        due = (
            self.roster.next_us(),
            *(rider.next_us() for rider in self.riders.values()),
        )
        return min((at for at in due if at is not None), default=None)

    def _ends(self) -> Rows:
        ends: Rows = [
            (LEASE, record) for record in self.roster.tick(self.house.now_us())
        ]
        self._show()
        return ends

    def _make(self) -> Rows:
        rows: Rows = []
        now_us = self.house.now_us()
        frozen, members = self.frozen_us(now_us) > 0, self.roster.in_force()
        for name, rider in self.riders.items():
            with self._guarded(name):
                rows.extend((name, row) for row in rider.plan(now_us, frozen, members))
        return rows

    # -- who watches
    # -----------------------------------------------------------------------------------

    def _show(self, rows: Rows | None = None) -> None:
        """A new version where what members would be told has changed, for those whom it
        concerns.
        """
        now, concerned = (self.roster.epoch, self.roster.version), set[str]()
        told, all_of_them = now != self._shown, now != self._shown
        self._shown = now
        for of, row in rows or ():
            if of == LEASE:
                continue
            told, rider = True, self.riders[of]
            names = rider.concerns(row) if isinstance(rider, Riding) else None
            concerned.update(names or ())
            all_of_them = all_of_them or names is None
        if told:
            self.watchers.changed(None if all_of_them else concerned)

    def _end(self) -> None:
        self.plans.stop()
        self.watchers.stop()

    def _fence(self, fence: int) -> None:
        """An operator raised the fence: tokens are granted from there on."""
        if fence > self.table.epoch:
            record = self.table.lift(Token(fence - 1, VERSIONS - 1))
            if record is not None:
                self.rounds.add([(LEASE, record)], bounded=False)

    def _lift(self, fence: int) -> None:
        """The list's folder knows it too: a help for a start without this log, and no
        more than that.
        """

        async def lift() -> None:
            with contextlib.suppress(OSError, Full):  # counted and logged by the writer
                await self.house.lift(fence - 1)

        task = asyncio.ensure_future(lift())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- figures
    # --------------------------------------------------------------------------------------

    def state(self) -> dict[str, int]:
        states = [member.state for member in self.roster.in_force()]
        return {
            "fleet_epoch": self.table.epoch,
            "fleet_version": self.version,
            "fleet_syncs": self.book.log.syncs,
            "leases": len(self.table.leases),
            "members_alive": states.count("alive"),
            "members_suspect": states.count("suspect"),
            "frozen_ms": self.frozen_us(self.house.now_us()) // 1_000,
        }
