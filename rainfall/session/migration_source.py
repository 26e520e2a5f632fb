"""The source's side of the migration of one session.

docs/parts/session.md has a table of every pair of state and event.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.buffered_messages import BufferedMessages
from rainfall.session.migration_side import MigrationSide
from rainfall.session.states import Actions, Limits, MessageArrived, MigrationState

Handler = Callable[["MigrationSource", Any, int], Actions]
NO_LEASE: w.LeaseToken = (0, 0)
"""A token that no member holds."""
NO_REQUEST = s.StartMigration()


@dataclass(slots=True)
class MigrationSource(BufferedMessages, MigrationSide):
    """The source as a state machine; each handler returns actions, in order.

    Values of fields are never modified in place, so `copy.copy` makes an independent
    copy. All handlers take an event and the time now, in microseconds of the local clock.
    """

    key: str = ""
    target: str = ""
    target_site: str = ""
    reason: str = ""
    migration_count: int = 1
    state: MigrationState = MigrationState.HELD
    state_entered_at_us: int = 0
    state_deadline_us: int | None = None
    request: s.StartMigration = NO_REQUEST
    pending_record: w.Record | None = None
    """The record whose write was requested and is not confirmed; None: there is none."""
    writing: bool = False
    """Whether the write of `pending_record` is in progress."""
    cancel_requested: bool = False
    """Whether to abort the migration once the seal is written."""
    decided_by_arbiter: bool = False
    """Whether the arbiter's verdict has decided the session's owner."""
    verdict_requested: bool = False
    """Whether the source may have requested a verdict after its commit.

    A restarted source cannot exclude an earlier request. A request may reach the arbiter
    late, so only the arbiter's verdict counts from then on: the source neither releases
    the session nor commits it to another lease of the target without a verdict.
    """
    ownerless: bool = False
    """Whether the owner was still undecided when the session's messages expired.

    Neither side then owns the session by this migration.
    """
    target_activated: bool = False
    """Whether the target has reported that it has activated the session."""
    copy_parts: tuple[w.CopyPart, ...] = ()
    target_lease_token: w.LeaseToken | None = None
    """The target's lease token in its last `CopyStored`; None before the first."""

    def handle_event(self, event: object, now_us: int) -> Actions:
        """Return the actions for an event; an event without a handler is ignored."""
        handler = TRANSITIONS[self.state].get(type(event))
        return handler(self, event, now_us) if handler else ()

    @staticmethod
    def recover(
        record: w.SealedRecord, committed: bool, limits: Limits, now_us: int
    ) -> MigrationSource:
        """Restore the source from its records after a restart.

        The session's messages stay in the engine, frozen.
        """
        source = MigrationSource(
            record.migration_id, limits, key=record.key, target=record.target
        )
        source.verdict_requested = committed
        state = MigrationState.COMMITTED if committed else MigrationState.ABORTED
        source._enter(state, now_us)
        return source

    def _time_limits_us(self) -> dict[MigrationState, int]:
        return {
            MigrationState.OFFERED: self.limits.offer_us,
            MigrationState.FROZEN: self.limits.freeze_us,
            MigrationState.COPIED: self.limits.copy_us,
            MigrationState.COMMITTED: self.limits.commit_us,
            MigrationState.ABORTED: self.limits.commit_us,
            MigrationState.TAIL: self.limits.tail_us,
        }

    def _write(self, record: w.Record) -> Actions:
        self.pending_record = record
        self.writing = True
        return (s.PersistRecord(record),)

    # Before the seal: no copy was sent, so the source can cancel without the target.

    def send_offer(self, event: object, now_us: int) -> Actions:
        """Offer the session, for the first time or again."""
        if isinstance(event, s.StartMigration):
            self.request = event
            self._enter(MigrationState.OFFERED, now_us)
        offer = w.Offer(
            self.migration_id,
            self.key,
            self.target_site,
            self.reason,
            self.request.messages,
            self.request.bytes,
            self.migration_count,
        )
        return (s.Send(offer),)

    def withdraw_offer(self, _event: object, now_us: int) -> Actions:
        """Cancel the migration before the target has accepted."""
        self._enter(MigrationState.HELD, now_us)
        return s.Send(w.Decline(self.migration_id)), s.MigrationFinished()

    def freeze(self, event: w.Accept, now_us: int) -> Actions:
        """Freeze the session, as the target accepts the offer."""
        self.stamp_us = event.stamp_us
        self.heard_us = now_us
        self._enter(MigrationState.FROZEN, now_us)
        return (s.Freeze(),)

    def close_calls(self, _event: object, now_us: int) -> Actions:
        """Close the calls in flight once the session has been frozen for `calls_us`."""
        frozen_us = now_us - self.state_entered_at_us
        rejected = self._reject_overdue(now_us)
        if self.pending_record is None and frozen_us >= self.limits.calls_us:
            return *rejected, s.CloseCalls()
        return rejected

    def unfreeze(self, _event: object, now_us: int) -> Actions:
        """Cancel and resume the session, unless its seal may be on disk."""
        if self.pending_record is not None:
            # Once the seal may be on disk, a cancellation needs the target's refusal.
            self.cancel_requested = True
            return ()
        return s.Send(w.Decline(self.migration_id)), *self._resume(now_us)

    def seal(self, event: s.SessionQuiesced, now_us: int) -> Actions:
        """Make the copy and write the seal, or resume a session unfit for migration."""
        if self.pending_record is not None:
            return ()
        if not self._is_fit(event, now_us):
            return self.unfreeze(event, now_us)
        items = [w.with_relative_times(item, self.heard_us) for item in event.items]
        remembered_ids = event.remembered_ids[-self.limits.memory :]
        parts = list(w.split_into_parts(items, remembered_ids))
        self.copy_parts = tuple(
            w.CopyPart(
                self.migration_id,
                self.stamp_us,
                number,
                len(parts),
                part.items,
                part.remembered_ids,
            )
            for number, part in enumerate(parts)
        )
        return self._write(w.SealedRecord(self.migration_id, self.key, self.target))

    def _is_fit(self, event: s.SessionQuiesced, now_us: int) -> bool:
        """Whether the session is within the limits, and no message expires too soon."""
        if len(event.items) > self.limits.session_messages:
            return False
        if sum(item.size for item in event.items) > self.limits.session_bytes:
            return False
        earliest_us = now_us + self.limits.least_left_us
        return all(item.deadline_us >= earliest_us for item in event.items)

    # After the seal: the target may have a copy.

    def record_persisted(self, event: s.RecordPersisted, now_us: int) -> Actions:
        """Continue the migration after the pending record was written to disk."""
        if event.record != self.pending_record:
            return ()
        self.pending_record = None
        self.writing = False
        match event.record:
            case w.SealedRecord():
                return self._send_copy(event, now_us)
            case w.CommittedRecord():
                self.copy_parts = ()
                self._enter(MigrationState.COMMITTED, now_us)
                return self._send_commit()
            case w.ReleasedRecord():
                return self._start_tail(now_us)
            case _:
                return *self._confirm(), *self._resume(now_us)

    def _send_copy(self, event: s.RecordPersisted, now_us: int) -> Actions:
        if self.cancel_requested:
            return self.request_abort(event, now_us)
        self._enter(MigrationState.COPIED, now_us)
        return tuple(map(s.Send, self.copy_parts))

    def _start_tail(self, now_us: int) -> Actions:
        if self.ownerless:
            return s.ReleaseSession(), *self._confirm(), *self._finish(now_us)
        self._enter(MigrationState.TAIL, now_us)
        return (
            s.ReleaseSession(),
            s.Send(w.Released(self.migration_id)),
            *self._confirm(),
            s.StartTail(),
            *self._forward_next(now_us),
        )

    def _confirm(self) -> Actions:
        if not self.decided_by_arbiter:
            return ()
        return (s.ConfirmVerdict(self.migration_id, "giver"),)

    def record_write_failed(self, event: s.RecordWriteFailed, now_us: int) -> Actions:
        """Handle a failed write, after which the record may be on disk or not.

        After a seal the session is resumed, as a seal on disk does no harm; any other
        record is written again until it is confirmed.
        """
        if event.record != self.pending_record:
            return ()
        self.writing = False
        if not isinstance(self.pending_record, w.SealedRecord):
            return ()
        self.pending_record = None
        return self.unfreeze(event, now_us)

    def commit(self, event: w.CopyStored, _now_us: int) -> Actions:
        """Write the commit, as the target has the copy."""
        self.target_lease_token = event.lease_token
        if self.pending_record is not None:
            return ()
        return self._write(w.CommittedRecord(self.migration_id))

    def _send_commit(self) -> Actions:
        """Send the commit for the target's last known lease.

        After a restart or a verdict no lease is known: the commit then matches none and
        only prompts an answer.
        """
        lease_token = self.target_lease_token or NO_LEASE
        return (s.Send(w.Commit(self.migration_id, lease_token)),)

    def resend_commit(self, event: w.CopyStored, _now_us: int) -> Actions:
        """Answer a target's query about the session's owner."""
        if self.pending_record is not None:
            return ()
        if self.verdict_requested and event.lease_token != self.target_lease_token:
            return self._cede()
        self.target_lease_token = event.lease_token
        return self._send_commit()

    def _cede(self) -> Actions:
        """Request that the arbiter assign the session to the target."""
        verdict_request = s.AskArbiter(
            self.migration_id, "giver", self.target, committed=True, cede=True
        )
        return (verdict_request,)

    def request_abort(self, event: object, now_us: int) -> Actions:
        """Request that the target refuse the session, unless the commit may be on disk."""
        if self.pending_record is not None:
            return self.retry_pending(event, now_us)
        self.copy_parts = ()
        self._enter(MigrationState.ABORTED, now_us)
        return (s.Send(w.Abort(self.migration_id)),)

    def resend_abort(self, _event: object, _now_us: int) -> Actions:
        """Repeat the request that the target refuse the session."""
        return (s.Send(w.Abort(self.migration_id)),)

    def reclaim(self, _event: object, _now_us: int) -> Actions:
        """Reclaim the session, which the target has refused."""
        if self.pending_record is not None:
            return ()
        return self._write(w.ReclaimedRecord(self.migration_id))

    def reclaim_in_doubt(self, _event: object, now_us: int) -> Actions:
        """Reclaim a committed session that the target does not own.

        The target may have executed any of the copied messages, so all are failed.
        """
        if self.pending_record is not None:
            return ()
        self._enter(MigrationState.ABORTED, now_us)
        return s.FailAll(), *self._write(w.ReclaimedRecord(self.migration_id))

    def release(self, event: w.Activated, now_us: int) -> Actions:
        """Release the session, which the target has activated."""
        if self.pending_record is not None:
            return ()
        self.stamp_us = event.stamp_us
        self.heard_us = now_us
        self.copy_parts = ()
        self.target_activated = True
        return self._cede() if self.verdict_requested else self._write_release(now_us)

    def _write_release(self, now_us: int) -> Actions:
        self._enter(MigrationState.COMMITTED, now_us)
        return self._write(w.ReleasedRecord(self.migration_id))

    def apply_verdict(self, event: s.Verdict, now_us: int) -> Actions:
        """Apply a verdict, unless a write is pending or a committed source already has one."""
        if self.pending_record is not None or event.ruling == "wait":
            return ()
        committed = self.state is MigrationState.COMMITTED
        if committed and self.decided_by_arbiter:
            return ()
        self.decided_by_arbiter = True
        if event.ruling == "taker":
            return self._yield_to_target(committed, now_us)
        if committed:
            return self.reclaim_in_doubt(event, now_us)
        return self._write(w.ReclaimedRecord(self.migration_id))

    def _yield_to_target(self, committed: bool, now_us: int) -> Actions:
        self.verdict_requested = False
        if committed and self.target_activated:
            return self._write_release(now_us)
        if not committed:
            # No record is needed: after a restart the arbiter returns the same verdict.
            self._enter(MigrationState.COMMITTED, now_us)
        return self._send_commit()

    def retry_pending(self, event: object, now_us: int) -> Actions:
        """Resend unanswered frames, and repeat a failed write."""
        rejected = self._reject_overdue(now_us)
        if self.pending_record is not None:
            if self.writing:
                return rejected
            return *rejected, *self._write(self.pending_record)
        if self.state is MigrationState.COPIED:
            return *rejected, *map(s.Send, self.copy_parts)
        if self.state is MigrationState.TAIL:
            resent = self._send_tail_message(now_us)
            return *rejected, *resent, *self._forward_next(now_us)
        return *rejected, *self._retry_in_doubt(event, now_us)

    def _retry_in_doubt(self, event: object, now_us: int) -> Actions:
        """Query the target again, and after `ask_us` also the arbiter."""
        committed = self.state is MigrationState.COMMITTED
        resent = self._send_commit() if committed else self.resend_abort(event, now_us)
        if now_us - self.state_entered_at_us < self.limits.ask_us:
            return resent
        if committed and self.decided_by_arbiter:
            return resent
        self.verdict_requested = committed
        verdict_request = s.AskArbiter(
            self.migration_id, "giver", self.target, committed
        )
        return *resent, verdict_request

    def expire(self, event: object, now_us: int) -> Actions:
        """Finish a migration whose owner is undecided after all its messages have expired.

        Messages that still have no outcome are failed, so that their failure is notified.
        """
        if self.pending_record is not None:
            return self.retry_pending(event, now_us)
        self.ownerless = self.state is MigrationState.ABORTED
        return s.FailAll(), *self._write_release(now_us)

    def _resume(self, now_us: int) -> Actions:
        buffered = self.buffered
        self.buffered = ()
        self.copy_parts = ()
        self._enter(MigrationState.HELD, now_us)
        return (
            s.Resume(),
            *(s.AcceptMessage(message.item) for message in buffered),
            s.MigrationFinished(),
        )

    def confirm_release(self, event: object, now_us: int) -> Actions:
        """Repeat to the target that the session is released."""
        if isinstance(event, w.Activated):
            self.stamp_us = event.stamp_us
            self.heard_us = now_us
        return (s.Send(w.Released(self.migration_id)),)

    def end_tail(self, _event: object, now_us: int) -> Actions:
        """Finish the tail once the buffer is empty, as no more messages will arrive."""
        self.no_connections_left = True
        return self._forward_next(now_us)

    def finish_tail(self, _event: object, now_us: int) -> Actions:
        """Send the end of the tail to the target and finish."""
        return s.Send(w.TailEnd(self.migration_id)), *self._finish(now_us)

    def _finish(self, now_us: int) -> Actions:
        buffered = self.buffered
        self.buffered = ()
        self.in_flight = None
        self._enter(MigrationState.DONE, now_us)
        return (
            *(
                s.RejectMessage(message.item.id, self.limits.refuse_us)
                for message in buffered
            ),
            s.MigrationFinished(),
        )


_CANCELLING_EVENTS = (w.Decline, s.Timeout, s.LinkLost, s.LeaseLost, s.CancelMigration)
_BUFFERING: dict[type, Handler] = {
    MessageArrived: MigrationSource.buffer_message,
    s.ClientDisconnected: MigrationSource.discard_message,
}
_PERSISTENCE: dict[type, Handler] = {
    s.RecordPersisted: MigrationSource.record_persisted,
    s.RecordWriteFailed: MigrationSource.record_write_failed,
}
TRANSITIONS: dict[MigrationState, dict[type, Handler]] = {
    MigrationState.HELD: {
        s.StartMigration: MigrationSource.send_offer,
        MessageArrived: MigrationSource.accept_directly,
    },
    MigrationState.OFFERED: {
        **dict.fromkeys(_CANCELLING_EVENTS, MigrationSource.withdraw_offer),
        w.Accept: MigrationSource.freeze,
        MessageArrived: MigrationSource.accept_directly,
        s.Retry: MigrationSource.send_offer,
    },
    MigrationState.FROZEN: {
        **dict.fromkeys(_CANCELLING_EVENTS, MigrationSource.unfreeze),
        **_BUFFERING,
        **_PERSISTENCE,
        s.SessionQuiesced: MigrationSource.seal,
        s.Retry: MigrationSource.close_calls,
    },
    MigrationState.COPIED: {
        **dict.fromkeys(_CANCELLING_EVENTS, MigrationSource.request_abort),
        **_BUFFERING,
        **_PERSISTENCE,
        w.CopyStored: MigrationSource.commit,
        w.Activated: MigrationSource.release,
        s.Retry: MigrationSource.retry_pending,
    },
    MigrationState.COMMITTED: {
        **_BUFFERING,
        **_PERSISTENCE,
        w.CopyStored: MigrationSource.resend_commit,
        w.Activated: MigrationSource.release,
        w.Aborted: MigrationSource.reclaim_in_doubt,
        s.Verdict: MigrationSource.apply_verdict,
        s.Retry: MigrationSource.retry_pending,
        s.Timeout: MigrationSource.expire,
    },
    MigrationState.TAIL: {
        **_BUFFERING,
        w.CopyStored: MigrationSource.confirm_release,
        w.Activated: MigrationSource.confirm_release,
        w.TailMessageResult: MigrationSource.record_tail_result,
        s.ConnectionsClosed: MigrationSource.end_tail,
        s.Retry: MigrationSource.retry_pending,
        s.Timeout: MigrationSource.finish_tail,
    },
    MigrationState.DONE: {
        w.CopyStored: MigrationSource.confirm_release,
        w.Activated: MigrationSource.confirm_release,
        MessageArrived: MigrationSource.reject_message,
    },
    MigrationState.ABORTED: {
        **_BUFFERING,
        **_PERSISTENCE,
        w.CopyStored: MigrationSource.resend_abort,
        w.Activated: MigrationSource.release,
        w.Aborted: MigrationSource.reclaim,
        s.Verdict: MigrationSource.apply_verdict,
        s.Retry: MigrationSource.retry_pending,
        s.Timeout: MigrationSource.expire,
    },
}
