"""The target until the copy is complete: nothing is on disk, and it can still withdraw."""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.migration_side import MigrationSide
from rainfall.session.states import Actions, Limits, MigrationState


@dataclass(slots=True)
class IncomingCopy(MigrationSide):
    """The data of a target, and the steps until the write of the copy starts.

    All handlers take an event and the time now, in microseconds of the local clock.
    """

    migration_id: w.MigrationId
    key: str
    migration_count: int
    limits: Limits
    lease_token: w.LeaseToken | None
    """The lease that this member holds; without a lease no session is activated."""
    stamp_us: int = 0
    """The zero point of the copy's times, in microseconds of the local clock."""
    started_at_us: int = 0
    """When this process started the migration; earlier stamps are from its predecessor."""
    state: MigrationState = MigrationState.OFFERED
    state_entered_at_us: int = 0
    state_deadline_us: int | None = None
    pending_records: tuple[w.Record, ...] = ()
    """Records whose write was requested and is not confirmed."""
    failed_records: tuple[w.Record, ...] = ()
    """Pending records whose write failed and must be repeated."""
    copy_parts: tuple[w.CopyPart, ...] = ()
    items: tuple[w.TransferredMessage, ...] = ()
    remembered_ids: tuple[str, ...] = ()
    activated: bool = False
    """Whether the activation is on disk, and so the engine has the messages."""
    committed_lease_token: w.LeaseToken | None = None
    """The lease of this member that the source committed to."""
    ownership_final: bool = False
    """Whether the source can never reclaim the session."""
    decided_by_arbiter: bool = False
    last_number: int = 0
    """Number of the last tail message that was answered."""
    last_outcome: str = ""
    """The outcome that was sent for that message."""
    unconfirmed_number: int = 0
    """Number of a tail message whose write failed, so that it may be on disk or not."""
    offered_bytes: int = 0
    """Size of the session by the offer. The copy may be a little larger, as messages may
    arrive until the session is frozen; its limit is twice the size plus one part.
    """
    out_of_capacity: bool = False
    """Set by the caller while there is no capacity for a tail message."""

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
        self.failed_records = tuple(
            failed for failed in self.failed_records if failed != record
        )
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
        """Enter the state `offered` and wait for the copy."""
        self._enter(MigrationState.OFFERED, now_us)

    def accept_offer(self, _event: object, _now_us: int) -> Actions:
        """Accept the offer; a repeated offer is accepted with the same stamp.

        The older stamp is safe, as it can only make deadlines earlier.
        """
        return (s.Send(w.Accept(self.migration_id, self.stamp_us)),)

    def discard_copy(self, _event: object, now_us: int) -> Actions:
        """Withdraw and drop the copy, unless it may be on disk."""
        return () if self.pending_records else self._finish(now_us)

    def collect_part(self, event: w.CopyPart, now_us: int) -> Actions:
        """Store a part of the copy, and write the copy once it is complete."""
        if self.pending_records:
            return ()
        if event.stamp_us != self.stamp_us:
            # The part counts its times from a stamp of this process's predecessor.
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
        """Return the parts received so far, with times by the local clock."""
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
