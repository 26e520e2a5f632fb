"""The taking side until it has the copy: nothing is on disk yet, and nothing is owed."""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.states import Actions, Limits, MigrationState


@dataclass(slots=True)
class IncomingCopy:
    """What a taker holds, and what it does until the copy is on its way to disk."""

    migration_id: w.MigrationId
    key: str
    migration_count: int
    limits: Limits
    lease_token: w.LeaseToken | None
    """The lease we hold now; None while we hold none, and then nothing begins."""
    stamp_us: int = 0
    started_at_us: int = 0
    """When this process learned of the hand-over: stamps before it were given by the
    one before.
    """
    state: MigrationState = MigrationState.OFFERED
    state_entered_at_us: int = 0
    state_deadline_us: int | None = None
    pending_records: tuple[w.Record, ...] = ()
    """Asked to be written and not yet known to be on disk."""
    failed_records: tuple[w.Record, ...] = ()
    """Of those, the ones to be written again."""
    copy_parts: tuple[w.CopyPart, ...] = ()
    items: tuple[w.TransferredMessage, ...] = ()
    remembered_ids: tuple[str, ...] = ()
    activated: bool = False
    """`Began` is on disk: the engine has the messages."""
    committed_lease_token: w.LeaseToken | None = None
    """The lease of ours that the giver committed to."""
    ownership_final: bool = False
    """The giver can never take it back."""
    decided_by_arbiter: bool = False
    last_number: int = 0
    """Of the last message passed on, and how it was answered."""
    last_outcome: str = ""
    unconfirmed_number: int = 0
    """A message passed on of which nobody knows whether it is on disk."""
    offered_bytes: int = 0
    """Bytes that the offer named; the copy may have a little more, but not twice that
    and a body.
    """
    out_of_capacity: bool = False
    """Set by who runs it while there is no room for a message that is passed on."""

    def _enter(self, state: MigrationState, now_us: int) -> None:
        time_limit_us = {
            MigrationState.OFFERED: 2 * self.limits.freeze_us + self.limits.copy_us,
            MigrationState.COPIED: self.limits.commit_us,
            MigrationState.COMMITTED: self.limits.commit_us,
            MigrationState.TAIL: 2 * self.limits.tail_us,
        }.get(state)
        self.state, self.state_entered_at_us = state, now_us
        self.state_deadline_us = (
            None if time_limit_us is None else now_us + time_limit_us
        )

    def _write(self, record: w.Record) -> Actions:
        if record not in self.pending_records:
            self.pending_records = (*self.pending_records, record)
        self.failed_records = tuple(r for r in self.failed_records if r != record)
        return (s.PersistRecord(record),)

    def _finish(self, now_us: int) -> Actions:
        self._enter(MigrationState.DONE, now_us)
        self.items, self.remembered_ids, self.copy_parts = (), (), ()
        return (s.MigrationFinished(),)

    def open(self, now_us: int) -> None:
        self._enter(MigrationState.OFFERED, now_us)

    def accept_offer(self, event: object, now_us: int) -> Actions:
        """The first stamp is said again: an earlier one only makes a due earlier."""
        return (s.Send(w.Accept(self.migration_id, self.stamp_us)),)

    def discard_copy(self, event: object, now_us: int) -> Actions:
        return () if self.pending_records else self._finish(now_us)

    def collect_part(self, event: w.CopyPart, now_us: int) -> Actions:
        if self.pending_records:
            return ()
        if event.stamp_us != self.stamp_us:  # made for the process before this one
            return (s.Send(w.Decline(self.migration_id, "restarted")),)
        if all(p.part != event.part for p in self.copy_parts):
            self.copy_parts = tuple(
                sorted((*self.copy_parts, event), key=lambda p: p.part)
            )
        items = tuple(
            w.with_local_times(i, self.stamp_us, self.limits.drift)
            for p in self.copy_parts
            for i in p.items
        )
        memory = tuple(m for p in self.copy_parts for m in p.remembered_ids)
        if (
            len(items) > self.limits.session_messages
            or len(memory) > self.limits.memory
            or sum(i.size for i in items)
            > min(
                self.limits.session_bytes, 2 * self.offered_bytes + w.PART_LIMIT_BYTES
            )
        ):
            return s.Send(w.Decline(self.migration_id, "too large")), *self._finish(
                now_us
            )
        if len(self.copy_parts) < event.parts:
            return ()
        self.items, self.remembered_ids, self.copy_parts = items, memory, ()
        return self._write(
            w.StoredRecord(
                self.migration_id, self.key, self.migration_count, items, memory
            )
        )
