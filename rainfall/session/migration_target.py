"""The target's side of one migration.

docs/parts/session.md has a table of every pair of state and event.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.incoming_copy import IncomingCopy
from rainfall.session.states import Actions, Limits, MigrationState

Handler = Callable[["MigrationTarget", Any, int], Actions]


@dataclass(slots=True)
class MigrationTarget(IncomingCopy):
    """The target as a state machine; each handler returns actions, in order.

    Values of fields are never modified in place, so `copy.copy` makes an independent
    copy. All handlers take an event and the time now, in microseconds of the local clock.
    """

    def handle_event(self, event: object, now_us: int) -> Actions:
        """Return the actions for an event; an event without a handler is ignored."""
        handler = TRANSITIONS[self.state].get(type(event))
        return handler(self, event, now_us) if handler else ()

    @staticmethod
    def recover(
        record: w.StoredRecord,
        activated: bool,
        finalized: bool,
        number: int,
        limits: Limits,
        now_us: int,
    ) -> MigrationTarget:
        """Restore the target from its records after a restart.

        An activated session stays halted until its ownership is confirmed; a finalized
        one is owned. `number` is that of the last accepted tail message, or 0.
        """
        target = MigrationTarget(
            record.migration_id,
            record.key,
            record.migration_count,
            limits,
            None,
            started_at_us=now_us,
        )
        target.activated = activated
        target.ownership_final = finalized
        target.last_number = number
        target.last_outcome = "taken" if number else ""
        if not activated:
            target.items = record.items
            target.remembered_ids = record.remembered_ids
        state = MigrationState.COPIED
        if finalized:
            state = MigrationState.TAIL
        elif activated:
            state = MigrationState.COMMITTED
        target._enter(state, now_us)
        return target

    # Copied: the copy is on disk, and the source still owns the session.

    def report_copy_stored(self, _event: object, _now_us: int) -> Actions:
        """Report the stored copy; the frame also queries the session's owner."""
        if self.pending_records or self.lease_token is None:
            return ()
        return (s.Send(w.CopyStored(self.migration_id, self.lease_token)),)

    def fail_expired_message(self, event: s.MessageExpired, _now_us: int) -> Actions:
        """Fail a copied message that has expired.

        No owner of the session may deliver it any more, and the source may have crashed
        before it could fail the message.
        """
        if all(item.id != event.id for item in self.items):
            return ()
        self.items = tuple(item for item in self.items if item.id != event.id)
        return (s.FailMessage(event.id),)

    def commit(self, event: w.Commit, now_us: int) -> Actions:
        """Activate the session, if the source committed to the lease that is held now."""
        if event.lease_token != self.lease_token:
            return ()
        self.committed_lease_token = event.lease_token
        return self._activate(now_us)

    def take_ownership(self, _event: object, now_us: int) -> Actions:
        """Activate the session with final ownership."""
        self.ownership_final = True
        return self._activate(now_us)

    def _activate(self, now_us: int) -> Actions:
        if not self.activated:
            record = w.ActivatedRecord(self.migration_id)
            if record in self.pending_records:
                return ()
            self._enter(MigrationState.COMMITTED, now_us)
            return self._write(record)
        if not self._may_act():
            # The lease was lost while the record was written.
            return ()
        self._enter(MigrationState.TAIL, now_us)
        finalized: Actions = ()
        if self.ownership_final:
            finalized = self._write(w.FinalizedRecord(self.migration_id))
        return s.Resume(), s.Send(w.Activated(self.migration_id, now_us)), *finalized

    def _may_act(self) -> bool:
        if self.lease_token is None:
            return False
        return self.ownership_final or self.committed_lease_token == self.lease_token

    def ask_unknown_to_source(self, _event: object, _now_us: int) -> Actions:
        """Request a verdict on a migration that the source has no record of.

        The source lost its journal, reclaimed the session by a verdict, or released it.
        """
        if self.ownership_final:
            return ()
        question = s.AskArbiter(
            self.migration_id,
            "taker",
            self.migration_id.source,
            unknown_to_source=True,
        )
        return (question,)

    def apply_verdict(self, event: s.Verdict, now_us: int) -> Actions:
        """Apply the arbiter's verdict, unless ownership is final."""
        if event.ruling == "wait" or self.ownership_final:
            return ()
        # In the tail the target acts on the source's commit to its current lease.
        is_acting = self.state is MigrationState.TAIL
        if is_acting and event.ruling != "taker":
            return ()
        self.decided_by_arbiter = True
        if event.ruling == "taker":
            return self.take_ownership(event, now_us)
        return self.expire(event, now_us)

    def expire(self, event: object, now_us: int) -> Actions:
        """Refuse a session that the source owns, or whose owner stayed undecided too long.

        Messages accepted since the activation are stored only here, so they are failed; a
        source that reclaims an activated session fails the copied ones as well.
        """
        refused = w.RefusedRecord(self.migration_id) in self.pending_records
        if self.ownership_final or refused:
            return self.retry_writes(event, now_us)
        failed: Actions = (s.FailAll(),) if self.activated else ()
        return *failed, *self.refuse(event, now_us)

    def refuse(self, _event: object, now_us: int) -> Actions:
        """Write the record that the session will never be activated here."""
        if self.state is MigrationState.OFFERED and self.pending_records:
            # The write of the copy is pending, and the refusal must be written after it:
            # the source repeats its request.
            return ()
        record = w.RefusedRecord(self.migration_id)
        if record in self.pending_records and record not in self.failed_records:
            return ()
        self._enter(MigrationState.ABORTED, now_us)
        self._drop_copy()
        self.pending_records = ()
        return self._write(record)

    def retry_writes(self, _event: object, _now_us: int) -> Actions:
        """Write the records again whose write failed."""
        return tuple(
            action for record in self.failed_records for action in self._write(record)
        )

    def retry_and_ask(self, event: object, now_us: int) -> Actions:
        """Query the source again about the owner, and after `ask_us` also the arbiter."""
        if self.pending_records:
            return self.retry_writes(event, now_us)
        return *self.report_copy_stored(event, now_us), *self._ask_arbiter(now_us)

    def _ask_arbiter(self, now_us: int) -> Actions:
        """Request a verdict once the source had `ask_us` to answer."""
        undecided_us = now_us - self.state_entered_at_us
        if self.ownership_final or undecided_us < self.limits.ask_us:
            return ()
        question = s.AskArbiter(
            self.migration_id,
            "taker",
            self.migration_id.source,
            cede=self.state is MigrationState.TAIL,
        )
        return (question,)

    def request_abort(self, _event: object, _now_us: int) -> Actions:
        """Request that the source keep the session, as this member is draining."""
        return (s.Send(w.Decline(self.migration_id, "draining")),)

    # Records

    def record_persisted(self, event: s.RecordPersisted, now_us: int) -> Actions:
        """Take the step that depends on a record, which is on disk now."""
        if event.record not in self.pending_records:
            return ()
        self._drop_pending(event.record)
        match event.record:
            case w.StoredRecord():
                self._enter(MigrationState.COPIED, now_us)
                return self.report_copy_stored(event, now_us)
            case w.ActivatedRecord():
                return *self._import_session(), *self._activate(now_us)
            case w.TailAcceptedRecord(number=number, item=item):
                self.last_number = number
                self.last_outcome = "taken"
                result = self._tail_result(number, "taken", now_us)
                return s.AcceptMessage(item, answer_client=False), result
            case w.RefusedRecord():
                aborted = s.Send(w.Aborted(self.migration_id))
                return aborted, *self._confirm(), *self._finish(now_us)
            case _:
                return self._confirm()

    def _drop_pending(self, record: w.Record) -> None:
        self.pending_records = tuple(
            pending for pending in self.pending_records if pending != record
        )

    def _import_session(self) -> Actions:
        imported = s.ImportSession(self.items, self.remembered_ids)
        self.items = ()
        self.remembered_ids = ()
        self.activated = True
        return (imported,)

    def _confirm(self) -> Actions:
        if not self.decided_by_arbiter:
            return ()
        return (s.ConfirmVerdict(self.migration_id, "taker"),)

    def record_write_failed(self, event: s.RecordWriteFailed, now_us: int) -> Actions:
        """Handle a failed write, after which the record may be on disk or not.

        A copy is refused, as it was not reported to the source yet.
        """
        if event.record not in self.pending_records:
            return ()
        if isinstance(event.record, w.TailAcceptedRecord):
            # Without an answer the source sends the message again.
            self._drop_pending(event.record)
            self.unconfirmed_number = event.record.number
            return ()
        if isinstance(event.record, w.StoredRecord):
            self.pending_records = ()
            decline = s.Send(w.Decline(self.migration_id, "disk"))
            return decline, *self.refuse(event, now_us)
        self.failed_records = (*self.failed_records, event.record)
        return ()

    # The tail

    def report_activated(self, _event: object, now_us: int) -> Actions:
        """Report that this member has activated the session."""
        return (s.Send(w.Activated(self.migration_id, now_us)),)

    def retry_tail(self, event: object, now_us: int) -> Actions:
        """Repeat failed writes, and until ownership is final also the activation report."""
        rewritten = self.retry_writes(event, now_us)
        if self.ownership_final:
            return rewritten
        reported = self.report_activated(event, now_us)
        return *rewritten, *reported, *self._ask_arbiter(now_us)

    def finalize(self, _event: object, _now_us: int) -> Actions:
        """Make the ownership final, as the source has released the session."""
        if self.ownership_final:
            return ()
        self.ownership_final = True
        return self._write(w.FinalizedRecord(self.migration_id))

    def accept_tail_message(self, event: w.TailMessage, now_us: int) -> Actions:
        """Accept a tail message, one at a time; a repeated one gets the same result."""
        if event.number < self.last_number:
            return ()
        if event.number == self.last_number:
            return (self._tail_result(event.number, self.last_outcome, now_us),)
        if event.stamp_us < self.started_at_us:
            # The message may have been rejected before the restart.
            return (self._tail_result(event.number, "again", now_us),)
        if any(
            isinstance(pending, w.TailAcceptedRecord)
            for pending in self.pending_records
        ):
            return ()
        drift = self.limits.drift
        item = w.with_local_times(event.item, event.stamp_us, drift)
        until_us = w.to_local_time(event.valid_until_us, event.stamp_us, drift)
        if self._can_accept(min(item.deadline_us, until_us), now_us):
            record = w.TailAcceptedRecord(self.migration_id, event.number, item)
            return self._write(record)
        if event.number == self.unconfirmed_number:
            # Not rejected: it may be on disk and be delivered after a restart.
            return ()
        self.last_number = event.number
        self.last_outcome = "refused"
        return (self._tail_result(event.number, "refused", now_us),)

    def _can_accept(self, valid_until_us: int, now_us: int) -> bool:
        if self.lease_token is None or self.out_of_capacity:
            return False
        return valid_until_us > now_us

    def _tail_result(self, number: int, outcome: Any, now_us: int) -> s.Send:
        return s.Send(w.TailMessageResult(self.migration_id, number, outcome, now_us))

    def end_tail(self, event: object, now_us: int) -> Actions:
        """Finish the tail, once ownership is final and no write is pending.

        The source ends the tail only after it has released the session.
        """
        if self.ownership_final and not self.pending_records:
            return self._finish(now_us)
        self._enter(MigrationState.TAIL, now_us)
        if isinstance(event, w.TailEnd):
            return self.finalize(event, now_us)
        return self.retry_tail(event, now_us)

    # The lease of this member

    def acquire_lease(self, event: s.LeaseAcquired, now_us: int) -> Actions:
        """Set the new lease; activate an owned session, or query the owner of one in doubt."""
        self.lease_token = event.lease_token
        if self.state is MigrationState.COMMITTED and self.ownership_final:
            return self._activate(now_us)
        if self.state in (MigrationState.COPIED, MigrationState.COMMITTED):
            return self.report_copy_stored(event, now_us)
        return ()

    def lose_lease(self, _event: object, _now_us: int) -> Actions:
        """Clear the lease, and the commit that was bound to it."""
        self.lease_token = None
        self.committed_lease_token = None
        return ()

    def halt(self, event: object, now_us: int) -> Actions:
        """Halt the session: without a lease here the source may reclaim it.

        A session whose ownership is final only waits for the next lease.
        """
        self.lose_lease(event, now_us)
        if self.ownership_final:
            return ()
        self._enter(MigrationState.COMMITTED, now_us)
        return (s.Halt(),)


_IN_EVERY_STATE: dict[type, Handler] = {
    s.RecordPersisted: MigrationTarget.record_persisted,
    s.RecordWriteFailed: MigrationTarget.record_write_failed,
    s.LeaseLost: MigrationTarget.lose_lease,
    s.LeaseAcquired: MigrationTarget.acquire_lease,
}
_IN_DOUBT: dict[type, Handler] = {
    **_IN_EVERY_STATE,
    w.Commit: MigrationTarget.commit,
    w.Released: MigrationTarget.take_ownership,
    w.UnknownMigration: MigrationTarget.ask_unknown_to_source,
    s.Verdict: MigrationTarget.apply_verdict,
    s.MessageExpired: MigrationTarget.fail_expired_message,
    s.Retry: MigrationTarget.retry_and_ask,
    s.Timeout: MigrationTarget.expire,
}
TRANSITIONS: dict[MigrationState, dict[type, Handler]] = {
    MigrationState.OFFERED: {
        **_IN_EVERY_STATE,
        **dict.fromkeys(
            (w.Decline, s.Timeout, s.LinkLost, s.TargetDraining),
            MigrationTarget.discard_copy,
        ),
        w.Offer: MigrationTarget.accept_offer,
        w.CopyPart: MigrationTarget.collect_part,
        w.Abort: MigrationTarget.refuse,
    },
    MigrationState.COPIED: {
        **_IN_DOUBT,
        w.CopyPart: MigrationTarget.report_copy_stored,
        w.Abort: MigrationTarget.refuse,
        s.TargetDraining: MigrationTarget.request_abort,
    },
    MigrationState.COMMITTED: _IN_DOUBT,
    MigrationState.TAIL: {
        **_IN_EVERY_STATE,
        s.LeaseLost: MigrationTarget.halt,
        w.Commit: MigrationTarget.report_activated,
        w.Abort: MigrationTarget.report_activated,
        w.Released: MigrationTarget.finalize,
        w.UnknownMigration: MigrationTarget.finalize,
        w.TailMessage: MigrationTarget.accept_tail_message,
        w.TailEnd: MigrationTarget.end_tail,
        s.Verdict: MigrationTarget.apply_verdict,
        s.Retry: MigrationTarget.retry_tail,
        s.Timeout: MigrationTarget.end_tail,
    },
    MigrationState.DONE: {},
    MigrationState.ABORTED: {
        **_IN_EVERY_STATE,
        w.Abort: MigrationTarget.refuse,
        s.Retry: MigrationTarget.retry_writes,
    },
}
