"""The source's side of one migration.

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
    """The state of the source; each handler returns what is to be done, in order.

    Values of fields are never changed in place, so `copy.copy` makes an independent
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
    """A record that was to be written and is not known to be on disk."""
    writing: bool = False
    """Whether that record's write is under way."""
    cancel_requested: bool = False
    """Whether the session is to be reclaimed once the seal is written."""
    decided_by_arbiter: bool = False
    """Whether the arbiter's verdict has decided who owns the session."""
    in_doubt: bool = False
    """The session is committed, and the arbiter was asked, perhaps before a restart. A
    question may reach it late, so from now on only its verdict counts: the source neither
    releases the session nor commits it to another lease of the target by itself.
    """
    ownerless: bool = False
    """Nobody could say who owns the session until its messages expired: neither side gets
    it by this migration.
    """
    target_activated: bool = False
    """Whether the target has reported that it acts on the session."""
    copy_parts: tuple[w.CopyPart, ...] = ()
    target_lease_token: w.LeaseToken | None = None
    """The target's lease under which it last reported that it stores the copy."""

    def handle_event(self, event: object, now_us: int) -> Actions:
        """Return what an event demands; one of no meaning in this state does nothing."""
        handler = TRANSITIONS[self.state].get(type(event))
        return handler(self, event, now_us) if handler else ()

    @staticmethod
    def recover(
        record: w.SealedRecord, committed: bool, limits: Limits, now_us: int
    ) -> MigrationSource:
        """Return the source after a restart, from its records.

        The session's messages stay with the engine, frozen.
        """
        source = MigrationSource(
            record.migration_id, limits, key=record.key, target=record.target
        )
        source.in_doubt = committed
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

    # Before the seal: no copy has left, and the source may cancel by itself.

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
        """Give up before the target has accepted."""
        self._enter(MigrationState.HELD, now_us)
        return s.Send(w.Decline(self.migration_id)), s.MigrationFinished()

    def freeze(self, event: w.Accept, now_us: int) -> Actions:
        """Stop the session's calls: the target accepts the offer."""
        self.stamp_us = event.stamp_us
        self.heard_us = now_us
        self._enter(MigrationState.FROZEN, now_us)
        return (s.Freeze(),)

    def close_calls(self, _event: object, now_us: int) -> Actions:
        """Close calls that have been in flight for too long."""
        frozen_us = now_us - self.state_entered_at_us
        rejected = self._reject_overdue(now_us)
        if self.pending_record is None and frozen_us >= self.limits.calls_us:
            return *rejected, s.CloseCalls()
        return rejected

    def unfreeze(self, _event: object, now_us: int) -> Actions:
        """Go on with the session, unless its seal may be on disk."""
        if self.pending_record is not None:
            # From the seal on the target has to agree.
            self.cancel_requested = True
            return ()
        return s.Send(w.Decline(self.migration_id)), *self._resume(now_us)

    def seal(self, event: s.SessionQuiesced, now_us: int) -> Actions:
        """Make the copy and write the seal, or go on where the session is unfit."""
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
        """Whether the session is within its limits, and no message expires too soon."""
        if len(event.items) > self.limits.session_messages:
            return False
        if sum(item.size for item in event.items) > self.limits.session_bytes:
            return False
        earliest_us = now_us + self.limits.least_left_us
        return all(item.deadline_us >= earliest_us for item in event.items)

    # Sealed: the target may have a copy.

    def record_persisted(self, event: s.RecordPersisted, now_us: int) -> Actions:
        """Go on from a record that is on disk."""
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
        """Go on from a record that may be on disk or not.

        A seal is harmless there; any other record is written until it surely is.
        """
        if event.record != self.pending_record:
            return ()
        self.writing = False
        if not isinstance(self.pending_record, w.SealedRecord):
            return ()
        self.pending_record = None
        return self.unfreeze(event, now_us)

    def commit(self, event: w.CopyStored, _now_us: int) -> Actions:
        """Write the commit: the target has the copy."""
        self.target_lease_token = event.lease_token
        if self.pending_record is not None:
            return ()
        return self._write(w.CommittedRecord(self.migration_id))

    def _send_commit(self) -> Actions:
        """Send the commit to the target's last known lease.

        After a restart or a verdict none is known: then it only asks for an answer.
        """
        lease_token = self.target_lease_token or NO_LEASE
        return (s.Send(w.Commit(self.migration_id, lease_token)),)

    def resend_commit(self, event: w.CopyStored, _now_us: int) -> Actions:
        """Answer a target that asks who owns the session."""
        if self.pending_record is not None:
            return ()
        if self.in_doubt and event.lease_token != self.target_lease_token:
            return self._cede()
        self.target_lease_token = event.lease_token
        return self._send_commit()

    def _cede(self) -> Actions:
        question = s.AskArbiter(
            self.migration_id, "giver", self.target, committed=True, cede=True
        )
        return (question,)

    def request_abort(self, event: object, now_us: int) -> Actions:
        """Ask the target to refuse the session, unless the commit may be on disk."""
        if self.pending_record is not None:
            return self.retry_pending(event, now_us)
        self.copy_parts = ()
        self._enter(MigrationState.ABORTED, now_us)
        return (s.Send(w.Abort(self.migration_id)),)

    def resend_abort(self, _event: object, _now_us: int) -> Actions:
        """Ask the target again to refuse the session."""
        return (s.Send(w.Abort(self.migration_id)),)

    def reclaim(self, _event: object, _now_us: int) -> Actions:
        """Own the session again: the target has refused it."""
        if self.pending_record is not None:
            return ()
        return self._write(w.ReclaimedRecord(self.migration_id))

    def reclaim_in_doubt(self, _event: object, now_us: int) -> Actions:
        """Own a committed session again, which the target does not have.

        Nobody knows which of the copied messages it executed, so all are failed.
        """
        if self.pending_record is not None:
            return ()
        self._enter(MigrationState.ABORTED, now_us)
        return s.FailAll(), *self._write(w.ReclaimedRecord(self.migration_id))

    def release(self, event: w.Activated, now_us: int) -> Actions:
        """Release the session, on which the target acts."""
        if self.pending_record is not None:
            return ()
        self.stamp_us = event.stamp_us
        self.heard_us = now_us
        self.copy_parts = ()
        self.target_activated = True
        return self._cede() if self.in_doubt else self._write_release(now_us)

    def _write_release(self, now_us: int) -> Actions:
        self._enter(MigrationState.COMMITTED, now_us)
        return self._write(w.ReleasedRecord(self.migration_id))

    def apply_verdict(self, event: s.Verdict, now_us: int) -> Actions:
        """Follow the arbiter's verdict, unless one was followed or a write is pending."""
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
        self.in_doubt = False
        if committed and self.target_activated:
            return self._write_release(now_us)
        if not committed:
            # It needs no record: after a restart the arbiter rules the same.
            self._enter(MigrationState.COMMITTED, now_us)
        return self._send_commit()

    def retry_pending(self, event: object, now_us: int) -> Actions:
        """Send again what was not answered, and write again what may not be on disk."""
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
        """Ask the target again, and after `ask_us` the arbiter as well."""
        committed = self.state is MigrationState.COMMITTED
        resent = self._send_commit() if committed else self.resend_abort(event, now_us)
        if now_us - self.state_entered_at_us < self.limits.ask_us:
            return resent
        if committed and self.decided_by_arbiter:
            return resent
        self.in_doubt = committed
        question = s.AskArbiter(self.migration_id, "giver", self.target, committed)
        return *resent, question

    def expire(self, event: object, now_us: int) -> Actions:
        """End a doubt that has outlasted all messages of the session.

        What may be missing are failures that nobody was notified of.
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
        """Tell the target again that the session is released."""
        if isinstance(event, w.Activated):
            self.stamp_us = event.stamp_us
            self.heard_us = now_us
        return (s.Send(w.Released(self.migration_id)),)

    def end_tail(self, _event: object, now_us: int) -> Actions:
        """End the tail once the buffer is empty: no more messages will arrive."""
        self.no_connections_left = True
        return self._forward_next(now_us)

    def finish_tail(self, _event: object, now_us: int) -> Actions:
        """End the tail."""
        return s.Send(w.TailEnd(self.migration_id)), *self._finish(now_us)

    def _finish(self, now_us: int) -> Actions:
        buffered = self.buffered
        self.buffered = ()
        self.in_flight = None
        self._enter(MigrationState.DONE, now_us)
        return (
            *(s.RejectMessage(m.item.id, self.limits.refuse_us) for m in buffered),
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
