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

from rainfall.lease.fencing_token import Token
from rainfall.lease.table import LeaseGrant, LeaseTable, LeaseUnavailable
from rainfall.lease.types import LeaseRejectedError, LeaseSettings, Record
from rainfall.member.roster import MEMBER_LEASE_PREFIX, Roster
from rainfall.registry.fleet_log import LEASE_TABLE, FleetLog, TaggedRows
from rainfall.registry.fleet_watch import Watchers
from rainfall.registry.group_commit import GroupCommit, QueuedItem, QueueFullError
from rainfall.registry.heartbeat_extension import (
    BaseHeartbeatExtension,
    HeartbeatExtension,
    Row,
    dispatch_heartbeat,
)
from rainfall.registry.plan_scheduler import PLAN_DELAY_S as PLAN_DELAY_S
from rainfall.registry.plan_scheduler import RETRY_DELAY_S, PlanScheduler
from rainfall.registry.request_schemas import VERSION_LIMIT
from rainfall.registry.service_context import ServiceContext
from rainfall.registry.storage import DamagedStateError

PLAN_WAIT_TIMEOUT_S = 1.0  # how long a beat waits for the plan that its answer rests on
log = logging.getLogger("rainfall.registry")


class FleetCoordinator:
    """`start` once, before its door opens.

    `mark`: a file outside the state folder (such as under /run) that holds the last
    number written; a folder that does not agree with it is taken for an older copy.
    """

    def __init__(
        self,
        context: ServiceContext,
        path: Path,
        terms: LeaseSettings,
        ttl_us: int,
        extensions: Iterable[HeartbeatExtension] = (),
        watermark_path: Path | None = None,
    ) -> None:
        self.context, self.ttl_us, self.terms = context, ttl_us, terms
        self.fleet_log = FleetLog(path, context.storage.files, watermark_path)
        self.extensions = {rider.name: rider for rider in extensions}
        self.table = LeaseTable(terms)
        self.roster = Roster(self.table, ttl_us)
        self.watchers = Watchers()
        self.group_commit: GroupCommit[TaggedRows] = GroupCommit(
            self._write_batch, context.limits.queued
        )
        # A record a lease at most, and one plan at a time: queued past the bound of
        # calls.
        self.plan_scheduler = PlanScheduler(
            context.now_us,
            self._expired_lease_rows,
            self._plan_rows,
            lambda rows: self.group_commit.add(rows, bounded=False),
            self._next_us,
        )
        self._announced_version = (
            0,
            0,
        )  # the roster's epoch and version that the watchers' version tells of
        self._announced_epoch = 0  # that riders were told
        self._tasks: set[asyncio.Future[Any]] = set()

    @property
    def version(self) -> int:
        return self.watchers.version

    # -- the start
    # -------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Read the log, begin an epoch, and have it on disk.

        Raises Damaged, OSError.
        """
        snapshots, rows_since = self.fleet_log.load()
        now_us = self.context.now_us()
        try:
            if LEASE_TABLE in snapshots:
                self.table = LeaseTable.from_snapshot(
                    snapshots[LEASE_TABLE], self.terms
                )
                self.roster = Roster(self.table, self.ttl_us)
            for row in rows_since.get(LEASE_TABLE, []):
                self.table.commit(row)
            # A wall clock and the list's own folder only help: what members have seen
            # lifts past both.
            least = max(self.context.registry.fence + 1, self.context.now_ms() // 1_000)
            record = self.table.start(
                now_us, self.fleet_log.is_current(self.table.last_committed), least
            )
            state_complete = bool(record["sure"])
            self._announce_epoch(int(record["epoch"]))
            for name, extension in self.extensions.items():
                extension.restore(
                    now_us,
                    state_complete,
                    snapshots.get(name),
                    rows_since.get(name, []),
                )
        except (KeyError, TypeError, ValueError) as error:
            raise DamagedStateError(
                f"{self.fleet_log.record_log.path.name} cannot be read: {error!r}"
            ) from None
        await asyncio.shield(self.group_commit.add([(LEASE_TABLE, record)]))
        self.roster.on_started(now_us)
        members = [
            (m, self.table.leases[MEMBER_LEASE_PREFIX + m.name].expires_at_us)
            for m in self.roster.active_members()
        ]
        for riding in self._base_extensions():
            riding.service_started(now_us, members)
        for row in rows_since.get(LEASE_TABLE, []):
            self._announce_resumed_member(row, now_us)
        self.watchers.start_at(
            self.table.epoch << 20
        )  # grows over restarts, as epochs do
        self._announced_version = self.roster.epoch, self.roster.version
        await self.context.raise_fence(self.table.epoch - 1)
        self.context.gauge_sources.append(self.gauges)
        self.context.group_commits.append(self.group_commit)
        self.context.on_stop.append(self._stop)
        self.context.on_fence_raised.append(self._raise_table_epoch)
        self.plan_scheduler.schedule_when_due()
        log.info(
            "fleet",
            extra={
                "epoch": self.table.epoch,
                "sure": state_complete,
                "leases": len(self.table.leases),
            },
        )

    # -- what calls ask for
    # ----------------------------------------------------------------------------

    async def persist_decision(
        self, decide: Callable[[int], LeaseGrant | LeaseUnavailable | Record]
    ) -> LeaseGrant | LeaseUnavailable | Record:
        """Let the table decide, and return what it says once its record is on disk and
        committed. Raises Full, OSError, and Refused after its record (what a client has
        seen) is kept too.
        """
        if (
            self.group_commit.closed
            or len(self.group_commit.queue) >= self.group_commit.max_queued
        ):
            raise QueueFullError
        refused: LeaseRejectedError | None = None
        try:
            made: Any = decide(self.context.now_us())
            record = made if isinstance(made, dict) else made.record
        except LeaseRejectedError as error:
            refused, record = error, error.record
        self._announce_changes()
        if record is not None:
            # Queued with no await since it was made: records go to disk in the order of
            # their numbers.
            await asyncio.shield(self.group_commit.add([(LEASE_TABLE, record)]))
        if refused is not None:
            raise refused
        return made  # type: ignore[no-any-return]

    async def handle_heartbeat(
        self, name: str, token: Token, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Hand a beat to the riders, and their parts of the answer back.

        An answer that rests on what is not planned or not written yet waits for it:
        better than a further beat. Raises OSError, Refused.
        """
        now_us, parts = self.context.now_us(), dict[str, Any]()
        lease = self.table.read(MEMBER_LEASE_PREFIX + name)
        if (
            lease is None or lease.token != token
        ):  # another took its place while it waited for the disk
            raise LeaseRejectedError(
                409,
                [f"token: the lease on {name} is another's"],
                lease.token if lease else token,
            )
        results = [
            dispatch_heartbeat(rider, now_us, lease.expires_at_us, name, token, body)
            for rider in self.extensions.values()
        ]
        if any(h.plan_soon for h in results):
            self.plan_scheduler.schedule_soon()
        if any(h.waits_for_plan for h in results):
            await asyncio.wait(
                {self.plan_scheduler.next_plan_written()}, timeout=PLAN_WAIT_TIMEOUT_S
            )
        for h in results:
            parts.update(h.answer_fields())
        return parts

    async def apply_rows(self, name: str, make: Callable[[int], list[Row]]) -> None:
        """Rows that a call brings a rider (an operator's map), made between two plans,
        never on top of one, and kept. Raises what `make` raises, and Full, OSError
        where they are not kept.
        """
        if (
            self.group_commit.closed
            or len(self.group_commit.queue) >= self.group_commit.max_queued
        ):
            raise QueueFullError
        while self.plan_scheduler.plan_in_flight is not None:
            await asyncio.wait({self.plan_scheduler.plan_in_flight})
        if rows := [(name, row) for row in make(self.context.now_us())]:
            await asyncio.shield(self.plan_scheduler.write_plan(rows))

    def frozen_us(self, now_us: int) -> int:
        """For how long nothing is divided anew, at the least; 0: it may be."""
        return max(self.roster.frozen_until_us(now_us) - now_us, 0)

    # -- the log
    # ---------------------------------------------------------------------------------------

    async def _write_batch(self, batch: list[QueuedItem[TaggedRows]]) -> None:
        rows = [row for asked in batch for row in asked.item]
        try:
            if rows:
                await asyncio.to_thread(self.fleet_log.append, rows)
        except OSError as error:
            self.context.metrics.write_failures += 1
            log.error("fleet not kept", extra={"why": str(error)})
            for part, row in rows:
                self.table.abandon(row) if part == LEASE_TABLE else self.extensions[
                    part
                ].abandon(row)
            for asked in batch:
                asked.resolve(error)
            self.plan_scheduler.schedule_when_due(RETRY_DELAY_S)
            return
        for part, row in rows:
            with self._log_failures(part):
                self._commit_lease(row) if part == LEASE_TABLE else self.extensions[
                    part
                ].commit(self.context.now_us(), row)
        self._announce_changes(rows)
        for asked in batch:
            asked.resolve(None)
        if rows:
            self.plan_scheduler.schedule_when_due()
        if self.fleet_log.compaction_due():
            await self._compact_log()

    async def _compact_log(self) -> None:
        parts = {
            LEASE_TABLE: self.table.snapshot(),
            **{n: r.snapshot() for n, r in self.extensions.items()},
        }
        try:
            await asyncio.to_thread(self.fleet_log.compact, parts)
        except OSError as error:
            self.context.metrics.write_failures += 1
            log.error("fleet log not written anew", extra={"why": str(error)})

    def _commit_lease(self, record: Record) -> None:
        name, now_us = str(record.get("name", "")), self.context.now_us()
        before = self.table.read(name)
        self.roster.commit(record)
        self._announce_epoch(self.table.epoch)
        if self.table.epoch > self.context.registry.fence:
            self._raise_list_fence(self.table.epoch)
        if not name.startswith(MEMBER_LEASE_PREFIX):
            return
        after, member = self.table.read(name), name[len(MEMBER_LEASE_PREFIX) :]
        log.info("lease", extra={"record": record})
        for extension in self.extensions.values():
            if record["kind"] == "grant" and after is not None:
                expired = before is not None and now_us >= before.expires_at_us
                if before is not None and expired:
                    extension.lease_expired(now_us, before.token)
                extension.member_joined(
                    now_us,
                    member,
                    after.token,
                    None if before is None or expired else before.token,
                )
            elif record["kind"] == "end" and before is not None:
                (
                    extension.member_ended
                    if record["why"] == "released"
                    else extension.lease_expired
                )(now_us, before.token)
        self._announce_resumed_member(record, now_us)
        self.plan_scheduler.schedule_soon()

    def _announce_resumed_member(self, record: Record, now_us: int) -> None:
        """What a join said of the process before it stands beside the lease's record,
        for riders alone.
        """
        name = str(record.get("name", ""))[len(MEMBER_LEASE_PREFIX) :]
        member = self.roster.members.get(name)
        if (
            "shown" in record
            and member is not None
            and member.token.number == record["n"]
        ):
            for riding in self._base_extensions():
                riding.member_resumed(
                    now_us,
                    name,
                    member.token,
                    Token.from_wire(record["shown"]),
                    record["keeps"],
                )

    def _announce_epoch(self, epoch: int) -> None:
        if epoch > self._announced_epoch:
            self._announced_epoch = epoch
            for riding in self._base_extensions():
                riding.epoch_raised(epoch)

    def _base_extensions(self) -> list[BaseHeartbeatExtension]:
        return [
            rider
            for rider in self.extensions.values()
            if isinstance(rider, BaseHeartbeatExtension)
        ]

    @contextlib.contextmanager
    def _log_failures(self, part: str) -> Iterator[None]:
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
            self.roster.next_tick_us(),
            *(rider.next_us() for rider in self.extensions.values()),
        )
        return min((at for at in due if at is not None), default=None)

    def _expired_lease_rows(self) -> TaggedRows:
        ends: TaggedRows = [
            (LEASE_TABLE, record) for record in self.roster.tick(self.context.now_us())
        ]
        self._announce_changes()
        return ends

    def _plan_rows(self) -> TaggedRows:
        rows: TaggedRows = []
        now_us = self.context.now_us()
        frozen, members = self.frozen_us(now_us) > 0, self.roster.active_members()
        for name, extension in self.extensions.items():
            with self._log_failures(name):
                rows.extend(
                    (name, row) for row in extension.plan(now_us, frozen, members)
                )
        return rows

    # -- who watches
    # -----------------------------------------------------------------------------------

    def _announce_changes(self, rows: TaggedRows | None = None) -> None:
        """A new version where what members would be told has changed, for those whom it
        concerns.
        """
        current, concerned = (self.roster.epoch, self.roster.version), set[str]()
        has_changes, concerns_all = (
            current != self._announced_version,
            current != self._announced_version,
        )
        self._announced_version = current
        for part, row in rows or ():
            if part == LEASE_TABLE:
                continue
            has_changes, extension = True, self.extensions[part]
            names = (
                extension.concerned_members(row)
                if isinstance(extension, BaseHeartbeatExtension)
                else None
            )
            concerned.update(names or ())
            concerns_all = concerns_all or names is None
        if has_changes:
            self.watchers.notify(None if concerns_all else concerned)

    def _stop(self) -> None:
        self.plan_scheduler.stop()
        self.watchers.stop()

    def _raise_table_epoch(self, fence: int) -> None:
        """An operator raised the fence: tokens are granted from there on."""
        if fence > self.table.epoch:
            record = self.table.observe_token(Token(fence - 1, VERSION_LIMIT - 1))
            if record is not None:
                self.group_commit.add([(LEASE_TABLE, record)], bounded=False)

    def _raise_list_fence(self, fence: int) -> None:
        """The list's folder knows it too: a help for a start without this log, and no
        more than that.
        """

        async def lift() -> None:
            with contextlib.suppress(
                OSError, QueueFullError
            ):  # counted and logged by the writer
                await self.context.raise_fence(fence - 1)

        task = asyncio.ensure_future(lift())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # -- figures
    # --------------------------------------------------------------------------------------

    def gauges(self) -> dict[str, int]:
        states = [member.state for member in self.roster.active_members()]
        return {
            "fleet_epoch": self.table.epoch,
            "fleet_version": self.version,
            "fleet_syncs": self.fleet_log.record_log.sync_count,
            "leases": len(self.table.leases),
            "members_alive": states.count("alive"),
            "members_suspect": states.count("suspect"),
            "frozen_ms": self.frozen_us(self.context.now_us()) // 1_000,
        }
