"""Connects the lease table, the member list and the extensions to disk and clock.

`lease.LeaseTable` and `member.Roster` make the decisions. This module stores each of
their records in `fleet.log` and commits it before the answer is sent. It also runs their
timers and those of the heartbeat extensions, and wakes watchers.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Collection, Iterable, Iterator
from pathlib import Path
from typing import Any

from rainfall.lease.fencing_token import Token
from rainfall.lease.table import Lease, LeaseGrant, LeaseTable, LeaseUnavailable
from rainfall.lease.types import LeaseRejectedError, LeaseSettings, Record
from rainfall.member.roster import MEMBER_LEASE_PREFIX, Roster
from rainfall.registry.fleet_log import (
    LEASE_TABLE,
    FleetLog,
    LoadedFleetLog,
    TaggedRows,
)
from rainfall.registry.fleet_watch import Watchers
from rainfall.registry.group_commit import GroupCommit, QueuedItem, QueueFullError
from rainfall.registry.heartbeat_extension import (
    BaseHeartbeatExtension,
    HeartbeatExtension,
    Row,
    dispatch_heartbeat,
)
from rainfall.registry.plan_scheduler import RETRY_DELAY_S, PlanScheduler
from rainfall.registry.request_schemas import VERSION_LIMIT
from rainfall.registry.service_context import ServiceContext
from rainfall.registry.storage import DamagedStateError, log_write_failure

PLAN_WAIT_TIMEOUT_S = 1.0
"""The longest wait of a heartbeat for a plan that its answer depends on."""
EPOCH_SHIFT = 20
"""The fleet's version starts at the epoch shifted left by this many bits."""
MS_PER_S = 1_000
log = logging.getLogger("rainfall.registry")


class FleetCoordinator:
    """The leases, members and extensions of the fleet.

    Call `start` once, before the service listens at the fleet's address. `watermark_path`
    is a file outside the state folder, such as under /run, with the number of the last
    lease record; a log that ends below that number is treated as an older copy.
    """

    def __init__(
        self,
        context: ServiceContext,
        path: Path,
        lease_settings: LeaseSettings,
        ttl_us: int,
        extensions: Iterable[HeartbeatExtension] = (),
        watermark_path: Path | None = None,
    ) -> None:
        self.context = context
        self.ttl_us = ttl_us
        self.lease_settings = lease_settings
        self.fleet_log = FleetLog(path, context.storage.files, watermark_path)
        self.extensions = {extension.name: extension for extension in extensions}
        self.table = LeaseTable(lease_settings)
        self.roster = Roster(self.table, ttl_us)
        self.watchers = Watchers()
        self.group_commit: GroupCommit[TaggedRows] = GroupCommit(
            self._write_batch, context.limits.queued
        )
        # Not bounded: at most one record for each lease and one plan are queued.
        self.plan_scheduler = PlanScheduler(
            context.now_us,
            self._expired_lease_rows,
            self._plan_rows,
            lambda rows: self.group_commit.add(rows, bounded=False),
            self._next_us,
        )
        self._notified_version = (0, 0)
        """The epoch and version of the member list that watchers were last woken for."""
        self._notified_epoch = 0
        """The epoch last passed to the extensions."""
        self._tasks: set[asyncio.Future[Any]] = set()

    @property
    def version(self) -> int:
        """The fleet's version, which grows with every change that concerns a member."""
        return self.watchers.version

    async def start(self) -> None:
        """Load the log, begin an epoch, and store it.

        Raises:
            DamagedStateError: The log is damaged.
            OSError: The log cannot be read or written.
        """
        loaded = self.fleet_log.load()
        now_us = self.context.now_us()
        try:
            start_record = self._restore(loaded, now_us)
        except (KeyError, TypeError, ValueError) as error:
            raise DamagedStateError(
                f"{self.fleet_log.record_log.path.name} cannot be read: {error!r}"
            ) from None
        await asyncio.shield(self.group_commit.add([(LEASE_TABLE, start_record)]))
        self.roster.on_started(now_us)
        self._notify_start(loaded.rows_since.get(LEASE_TABLE, []), now_us)
        # Epochs grow over restarts, so the version does too.
        self.watchers.start_at(self.table.epoch << EPOCH_SHIFT)
        self._notified_version = self._list_version()
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
                "sure": bool(start_record["sure"]),
                "leases": len(self.table.leases),
            },
        )

    def _restore(self, loaded: LoadedFleetLog, now_us: int) -> Record:
        """Restore the table and the extensions, and return the record of the new epoch."""
        if LEASE_TABLE in loaded.snapshots:
            self.table = LeaseTable.from_snapshot(
                loaded.snapshots[LEASE_TABLE], self.lease_settings
            )
            self.roster = Roster(self.table, self.ttl_us)
        for row in loaded.rows_since.get(LEASE_TABLE, []):
            self.table.commit(row)
        # The clock and the list's fence are only a likely lower bound of the epoch:
        # tokens reported by members raise it further if needed.
        min_epoch = max(
            self.context.registry.fence + 1, self.context.now_ms() // MS_PER_S
        )
        is_current = self.fleet_log.is_current(self.table.last_committed)
        record = self.table.start(now_us, is_current, min_epoch)
        self._notify_epoch(int(record["epoch"]))
        for name, extension in self.extensions.items():
            extension.restore(
                now_us,
                bool(record["sure"]),
                loaded.snapshots.get(name),
                loaded.rows_since.get(name, []),
            )
        return record

    def _notify_start(self, lease_rows: list[Row], now_us: int) -> None:
        """Pass the active members, and resumed members, to the extensions."""
        members = [
            (member, self.table.leases[MEMBER_LEASE_PREFIX + member.name].expires_at_us)
            for member in self.roster.active_members()
        ]
        for extension in self._base_extensions():
            extension.service_started(now_us, members)
        for row in lease_rows:
            self._notify_resumed_member(row, now_us)

    async def persist_decision(
        self, decide: Callable[[int], LeaseGrant | LeaseUnavailable | Record]
    ) -> LeaseGrant | LeaseUnavailable | Record:
        """Call `decide` with the time, and return its decision once it is committed.

        Raises:
            LeaseRejectedError: The call is rejected. Its record, which raises the epoch
                past the token that the client has seen, is stored first.
            QueueFullError: The write queue is full.
            OSError: The record could not be stored.
        """
        if self.group_commit.full:
            raise QueueFullError
        outcome: LeaseGrant | LeaseUnavailable | Record | LeaseRejectedError
        try:
            outcome = decide(self.context.now_us())
        except LeaseRejectedError as error:
            outcome = error
        record = outcome if isinstance(outcome, dict) else outcome.record
        self._notify_watchers()
        if record is not None:
            # There is no await between `decide` and here, so that records are stored in
            # the order of their numbers.
            await asyncio.shield(self.group_commit.add([(LEASE_TABLE, record)]))
        if isinstance(outcome, LeaseRejectedError):
            raise outcome
        return outcome

    async def handle_heartbeat(
        self, name: str, token: Token, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Pass a heartbeat to the extensions, and return their fields of the answer.

        An answer that depends on an unfinished plan is delayed until the plan is stored;
        otherwise the member would receive the plan's result only one heartbeat later.

        Raises:
            LeaseRejectedError: The lease on the name has another token.
            RequestError: An extension rejects the heartbeat.
            OSError: State that the answer depends on could not be stored.
        """
        now_us = self.context.now_us()
        lease = self.table.read(MEMBER_LEASE_PREFIX + name)
        if lease is None or lease.token != token:
            # Another process replaced the member while the lease's record was written.
            raise LeaseRejectedError(
                409,
                [f"token: the lease on {name} has another token"],
                lease.token if lease else token,
            )
        results = [
            dispatch_heartbeat(
                extension, now_us, lease.expires_at_us, name, token, body
            )
            for extension in self.extensions.values()
        ]
        if any(result.plan_soon for result in results):
            self.plan_scheduler.schedule_soon()
        if any(result.waits_for_plan for result in results):
            await asyncio.wait(
                {self.plan_scheduler.next_plan_written()}, timeout=PLAN_WAIT_TIMEOUT_S
            )
        fields: dict[str, Any] = {}
        for result in results:
            fields.update(result.answer_fields())
        return fields

    async def apply_rows(self, name: str, make: Callable[[int], list[Row]]) -> None:
        """Make and store rows of an extension, such as a shard map from an operator.

        `make` is called with the time, when no plan is in flight.

        Raises:
            QueueFullError: The write queue is full.
            OSError: The rows could not be stored.
            Exception: Any exception of `make`.
        """
        if self.group_commit.full:
            raise QueueFullError
        while self.plan_scheduler.plan_in_flight is not None:
            await asyncio.wait({self.plan_scheduler.plan_in_flight})
        rows = [(name, row) for row in make(self.context.now_us())]
        if rows:
            await asyncio.shield(self.plan_scheduler.write_plan(rows))

    def frozen_us(self, now_us: int) -> int:
        """Return the least remaining time of the rebalancing freeze; 0 if there is none."""
        return max(self.roster.frozen_until_us(now_us) - now_us, 0)

    async def _write_batch(self, batch: list[QueuedItem[TaggedRows]]) -> None:
        rows = [row for queued in batch for row in queued.item]
        try:
            if rows:
                await asyncio.to_thread(self.fleet_log.append, rows)
        except OSError as error:
            self.context.metrics.write_failures += 1
            log_write_failure("cannot write fleet records", error)
            self._abandon(rows)
            for queued in batch:
                queued.resolve(error)
            self.plan_scheduler.schedule_when_due(RETRY_DELAY_S)
            return
        self._commit(rows)
        self._notify_watchers(rows)
        for queued in batch:
            queued.resolve(None)
        if rows:
            self.plan_scheduler.schedule_when_due()
        if self.fleet_log.compaction_due():
            await self._compact_log()

    def _commit(self, rows: TaggedRows) -> None:
        for part, row in rows:
            with self._log_failures(part):
                if part == LEASE_TABLE:
                    self._commit_lease(row)
                else:
                    self.extensions[part].commit(self.context.now_us(), row)

    def _abandon(self, rows: TaggedRows) -> None:
        for part, row in rows:
            if part == LEASE_TABLE:
                self.table.abandon(row)
            else:
                self.extensions[part].abandon(row)

    async def _compact_log(self) -> None:
        parts = {LEASE_TABLE: self.table.snapshot()}
        for name, extension in self.extensions.items():
            parts[name] = extension.snapshot()
        try:
            await asyncio.to_thread(self.fleet_log.compact, parts)
        except OSError as error:
            self.context.metrics.write_failures += 1
            log_write_failure("cannot compact fleet log", error)

    def _commit_lease(self, record: Record) -> None:
        """Apply a stored lease record, and notify the extensions of member changes."""
        name = str(record.get("name", ""))
        now_us = self.context.now_us()
        before = self.table.read(name)
        self.roster.commit(record)
        self._notify_epoch(self.table.epoch)
        if self.table.epoch > self.context.registry.fence:
            self._raise_list_fence(self.table.epoch)
        if not name.startswith(MEMBER_LEASE_PREFIX):
            return
        after = self.table.read(name)
        log.info("lease", extra={"record": record})
        if record["kind"] == "grant" and after is not None:
            member_name = name.removeprefix(MEMBER_LEASE_PREFIX)
            self._notify_join(member_name, before, after, now_us)
        elif record["kind"] == "end" and before is not None:
            was_released = record["why"] == "released"
            self._notify_end(before.token, was_released, now_us)
        self._notify_resumed_member(record, now_us)
        self.plan_scheduler.schedule_soon()

    def _notify_join(
        self, name: str, before: Lease | None, after: Lease, now_us: int
    ) -> None:
        """Notify the extensions of a new member, and of the lease that it replaces."""
        replaced = before.token if before is not None else None
        is_expired = before is not None and now_us >= before.expires_at_us
        for extension in self.extensions.values():
            if replaced is not None and is_expired:
                extension.lease_expired(now_us, replaced)
            extension.member_joined(
                now_us, name, after.token, None if is_expired else replaced
            )

    def _notify_end(self, token: Token, was_released: bool, now_us: int) -> None:
        for extension in self.extensions.values():
            if was_released:
                extension.member_ended(now_us, token)
            else:
                extension.lease_expired(now_us, token)

    def _notify_resumed_member(self, record: Record, now_us: int) -> None:
        """Pass a join's previous token and kept reserves to the extensions.

        Both are stored in the lease's record, beside its own fields.
        """
        name = str(record.get("name", ""))[len(MEMBER_LEASE_PREFIX) :]
        member = self.roster.members.get(name)
        if (
            "shown" in record
            and member is not None
            and member.token.number == record["n"]
        ):
            for extension in self._base_extensions():
                extension.member_resumed(
                    now_us,
                    name,
                    member.token,
                    Token.from_wire(record["shown"]),
                    record["keeps"],
                )

    def _notify_epoch(self, epoch: int) -> None:
        if epoch > self._notified_epoch:
            self._notified_epoch = epoch
            for extension in self._base_extensions():
                extension.epoch_raised(epoch)

    def _base_extensions(self) -> list[BaseHeartbeatExtension]:
        return [
            extension
            for extension in self.extensions.values()
            if isinstance(extension, BaseHeartbeatExtension)
        ]

    @contextlib.contextmanager
    def _log_failures(self, part: str) -> Iterator[None]:
        """Log and suppress any exception of a part: the lease table or an extension.

        A faulty part must not prevent the rows of other parts, or the ends of leases,
        from being committed.
        """
        try:
            yield
        except Exception:  # Any failure of the part; see the docstring.
            log.exception("fleet extension or lease table failed", extra={"part": part})

    def _next_us(self) -> int | None:
        due = (
            self.roster.next_tick_us(),
            *(extension.next_us() for extension in self.extensions.values()),
        )
        return min((at_us for at_us in due if at_us is not None), default=None)

    def _expired_lease_rows(self) -> TaggedRows:
        ends: TaggedRows = [
            (LEASE_TABLE, record) for record in self.roster.tick(self.context.now_us())
        ]
        self._notify_watchers()
        return ends

    def _plan_rows(self) -> TaggedRows:
        rows: TaggedRows = []
        now_us = self.context.now_us()
        frozen = self.frozen_us(now_us) > 0
        members = self.roster.active_members()
        for name, extension in self.extensions.items():
            with self._log_failures(name):
                rows.extend(
                    (name, row) for row in extension.plan(now_us, frozen, members)
                )
        return rows

    def _notify_watchers(self, rows: TaggedRows | None = None) -> None:
        """Raise the version if the member list or rows changed, and wake watchers."""
        list_version = self._list_version()
        has_changes = list_version != self._notified_version
        concerns_all = has_changes
        concerned: set[str] = set()
        self._notified_version = list_version
        for part, row in rows or ():
            if part == LEASE_TABLE:
                continue
            has_changes = True
            names = self._concerned_members(part, row)
            concerned.update(names or ())
            concerns_all = concerns_all or names is None
        if has_changes:
            self.watchers.notify(None if concerns_all else concerned)

    def _list_version(self) -> tuple[int, int]:
        return self.roster.epoch, self.roster.version

    def _concerned_members(self, part: str, row: Row) -> Collection[str] | None:
        extension = self.extensions[part]
        if isinstance(extension, BaseHeartbeatExtension):
            return extension.concerned_members(row)
        return None

    def _stop(self) -> None:
        self.plan_scheduler.stop()
        self.watchers.stop()

    def _raise_table_epoch(self, fence: int) -> None:
        """Raise the epoch of new tokens to the list's fence after an operator raised it."""
        if fence > self.table.epoch:
            record = self.table.observe_token(Token(fence - 1, VERSION_LIMIT - 1))
            if record is not None:
                self.group_commit.add([(LEASE_TABLE, record)], bounded=False)

    def _raise_list_fence(self, fence: int) -> None:
        """Store the epoch as the list's fence too, in case this log is lost."""

        async def raise_fence() -> None:
            # The writer counts and logs these errors.
            with contextlib.suppress(OSError, QueueFullError):
                await self.context.raise_fence(fence - 1)

        task = asyncio.ensure_future(raise_fence())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def gauges(self) -> dict[str, int]:
        """Return the fleet's gauges, by exported name."""
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
