"""The target until it has the copy: nothing is on disk yet, and nothing is promised."""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.migration_side import MigrationSide
from rainfall.session.states import Actions, Limits, MigrationState


@dataclass(slots=True)
class IncomingCopy(MigrationSide):
    """What a target holds, and the steps until the copy is on its way to disk.

    All handlers take an event and the time now, in microseconds of the local clock.
    """

    migration_id: w.MigrationId
    key: str
    migration_count: int
    limits: Limits
    lease_token: w.LeaseToken | None
    """The lease that this member holds; without one nothing is activated."""
    stamp_us: int = 0
    """The stamp that the copy's times count from."""
    started_at_us: int = 0
    """When this process learned of the migration: its predecessor gave earlier stamps."""
    state: MigrationState = MigrationState.OFFERED
    state_entered_at_us: int = 0
    state_deadline_us: int | None = None
    pending_records: tuple[w.Record, ...] = ()
    """Records that were to be written and are not known to be on disk."""
    failed_records: tuple[w.Record, ...] = ()
    """Those of them that have to be written again."""
    copy_parts: tuple[w.CopyPart, ...] = ()
    items: tuple[w.TransferredMessage, ...] = ()
    remembered_ids: tuple[str, ...] = ()
    activated: bool = False
    """Whether the activation is on disk: then the engine has the messages."""
    committed_lease_token: w.LeaseToken | None = None
    """The lease of this member that the source committed to."""
    ownership_final: bool = False
    """Whether the source can never reclaim the session."""
    decided_by_arbiter: bool = False
    last_number: int = 0
    """Number of the last tail message that was answered."""
    last_outcome: str = ""
    """How that one was answered."""
    unconfirmed_number: int = 0
    """A tail message of which nobody knows whether it is on disk."""
    offered_bytes: int = 0
    """Bytes that the offer named. The copy may have a little more, as messages may arrive
    until the session is frozen, but less than twice that and one part.
    """
    out_of_capacity: bool = False
    """Set by the caller while there is no space for a tail message."""

    def _time_limits_us(self) -> dict[MigrationState, int]:
        return {
            MigrationState.OFFERED: 2 * self.limits.freeze_us + self.limits.copy_us,
            MigrationState.COPIED: self.limits.commit_us,
            MigrationState.COMMITTED: self.limits.commit_us,
            MigrationState.TAIL: 2 * self.limits.tail_us,
        }

    def _write(self, record: w.Record) -> Actions:
        if record not in self.pending_records:
            self.pending_records = (*self.pending_records, record)
        self.failed_records = tuple(r for r in self.failed_records if r != record)
        return (s.PersistRecord(record),)

    def _finish(self, now_us: int) -> Actions:
        self._enter(MigrationState.DONE, now_us)
        self._drop_copy()
        return (s.MigrationFinished(),)

    def _drop_copy(self) -> None:
        self.items = ()
        self.remembered_ids = ()
        self.copy_parts = ()

    def open(self, now_us: int) -> None:
        """Begin to wait for the copy."""
        self._enter(MigrationState.OFFERED, now_us)

    def accept_offer(self, _event: object, _now_us: int) -> Actions:
        """Accept the offer, again with the first stamp.

        An earlier stamp can only make deadlines earlier.
        """
        return (s.Send(w.Accept(self.migration_id, self.stamp_us)),)

    def discard_copy(self, _event: object, now_us: int) -> Actions:
        """Give up, unless the copy may be on disk."""
        return () if self.pending_records else self._finish(now_us)

    def collect_part(self, event: w.CopyPart, now_us: int) -> Actions:
        """Take a part of the copy, and write the copy once it is complete."""
        if self.pending_records:
            return ()
        if event.stamp_us != self.stamp_us:
            # The part is meant for a predecessor of this process.
            return (s.Send(w.Decline(self.migration_id, "restarted")),)
        if all(part.part != event.part for part in self.copy_parts):
            parts = sorted((*self.copy_parts, event), key=lambda part: part.part)
            self.copy_parts = tuple(parts)
        content = self._content()
        if not self._is_within_limits(content):
            decline = s.Send(w.Decline(self.migration_id, "too large"))
            return decline, *self._finish(now_us)
        if len(self.copy_parts) < event.parts:
            return ()
        self.items = content.items
        self.remembered_ids = content.remembered_ids
        self.copy_parts = ()
        record = w.StoredRecord(
            self.migration_id,
            self.key,
            self.migration_count,
            content.items,
            content.remembered_ids,
        )
        return self._write(record)

    def _content(self) -> w.CopyContent:
        """Return what has arrived so far, with times by the local clock."""
        items = tuple(
            w.with_local_times(item, self.stamp_us, self.limits.drift)
            for part in self.copy_parts
            for item in part.items
        )
        remembered_ids = tuple(
            message_id for part in self.copy_parts for message_id in part.remembered_ids
        )
        return w.CopyContent(items, remembered_ids)

    def _is_within_limits(self, content: w.CopyContent) -> bool:
        limits = self.limits
        if len(content.items) > limits.session_messages:
            return False
        if len(content.remembered_ids) > limits.memory:
            return False
        size = sum(item.size for item in content.items)
        expected_bytes = 2 * self.offered_bytes + w.PART_LIMIT_BYTES
        return size <= min(limits.session_bytes, expected_bytes)
