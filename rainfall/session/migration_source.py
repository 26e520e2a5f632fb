"""The giving side of one hand-over.

Every pair of state and event is in `docs/parts/session.md`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.buffered_messages import BufferedMessages
from rainfall.session.states import Actions, Limits, MessageArrived, MigrationState

Handler = Callable[["MigrationSource", Any, int], Actions]
NO_LEASE: w.LeaseToken = (0, 0)


@dataclass(slots=True)
class MigrationSource(BufferedMessages):
    """`on(event, now_us)` gives what to do, in order.

    Fields hold values that are never changed in place, so `copy.copy` forks it.
    """

    key: str = ""
    target: str = ""
    target_site: str = ""
    reason: str = ""
    migration_count: int = 1
    state: MigrationState = MigrationState.HELD
    state_entered_at_us: int = 0
    state_deadline_us: int | None = None
    request: s.StartMigration = s.StartMigration()
    pending_record: w.Record | None = None
    """Asked to be written and not yet known to be on disk."""
    writing: bool = False
    cancel_requested: bool = False
    """To be taken back as soon as the seal is written."""
    decided_by_arbiter: bool = False
    """The arbiter's word decided."""
    in_doubt: bool = False
    """Committed, and the arbiter was asked, perhaps before a restart. What it was asked
    may reach it late, so from now on only its word moves us: we neither let go nor
    commit to another life of the taker alone.
    """
    ownerless: bool = False
    """Nobody could say whose it is until it was over: neither side has it by this
    hand-over.
    """
    target_activated: bool = False
    """The taker has told that it began."""
    copy_parts: tuple[w.CopyPart, ...] = ()
    target_lease_token: w.LeaseToken | None = None
    """The taker's lease under which it last said that it holds the copy."""

    def handle_event(self, event: object, now_us: int) -> Actions:
        """What follows from an event.

        One that means nothing in this state does nothing.
        """
        handler = TRANSITIONS[self.state].get(type(event))
        return handler(self, event, now_us) if handler else ()

    def tick(self, now_us: int) -> Actions:
        """To be called every `retry_us`: `Timeout` where the state's limit is over,
        `Retry` otherwise.
        """
        late = self.state_deadline_us is not None and now_us >= self.state_deadline_us
        return self.handle_event(s.Timeout() if late else s.Retry(), now_us)

    @staticmethod
    def recover(
        record: w.SealedRecord, committed: bool, limits: Limits, now_us: int
    ) -> MigrationSource:
        """After a restart, from the journal.

        The session's messages stay with the engine, frozen.
        """
        core = MigrationSource(
            record.migration_id, limits, key=record.key, target=record.target
        )
        core.in_doubt = committed
        core._enter(
            MigrationState.COMMITTED if committed else MigrationState.ABORTED, now_us
        )
        return core

    def _enter(self, state: MigrationState, now_us: int) -> None:
        time_limit_us = {
            MigrationState.OFFERED: self.limits.offer_us,
            MigrationState.FROZEN: self.limits.freeze_us,
            MigrationState.COPIED: self.limits.copy_us,
            MigrationState.COMMITTED: self.limits.commit_us,
            MigrationState.ABORTED: self.limits.commit_us,
            MigrationState.TAIL: self.limits.tail_us,
        }.get(state)
        self.state, self.state_entered_at_us = state, now_us
        self.state_deadline_us = (
            None if time_limit_us is None else now_us + time_limit_us
        )

    def _write(self, record: w.Record) -> Actions:
        self.pending_record, self.writing = record, True
        return (s.PersistRecord(record),)

    # Before the seal: nothing has left, and the session is taken back alone.

    def send_offer(self, event: object, now_us: int) -> Actions:
        if isinstance(event, s.StartMigration):
            self.request = event
            self._enter(MigrationState.OFFERED, now_us)
        asked = self.request
        return (
            s.Send(
                w.Offer(
                    self.migration_id,
                    self.key,
                    self.target_site,
                    self.reason,
                    asked.messages,
                    asked.bytes,
                    self.migration_count,
                )
            ),
        )

    def withdraw_offer(self, event: object, now_us: int) -> Actions:
        self._enter(MigrationState.HELD, now_us)
        return s.Send(w.Decline(self.migration_id)), s.MigrationFinished()

    def freeze(self, event: w.Accept, now_us: int) -> Actions:
        self.stamp_us, self.heard_us = event.stamp_us, now_us
        self._enter(MigrationState.FROZEN, now_us)
        return (s.Freeze(),)

    def close_calls(self, event: object, now_us: int) -> Actions:
        out = (
            self.pending_record is None
            and now_us - self.state_entered_at_us >= self.limits.calls_us
        )
        return (*self._reject_overdue(now_us), *((s.CloseCalls(),) if out else ()))

    def unfreeze(self, event: object, now_us: int) -> Actions:
        if (
            self.pending_record is not None
        ):  # the seal may reach the disk: from there on the taker has to agree
            self.cancel_requested = True
            return ()
        return s.Send(w.Decline(self.migration_id)), *self._resume(now_us)

    def seal(self, event: s.SessionQuiesced, now_us: int) -> Actions:
        if self.pending_record is not None:
            return ()
        fits_limits = (
            len(event.items) <= self.limits.session_messages
            and sum(i.size for i in event.items) <= self.limits.session_bytes
        )
        shortest_time_left_us = (
            min(
                (i.deadline_us for i in event.items),
                default=now_us + self.limits.least_left_us,
            )
            - now_us
        )
        if not fits_limits or shortest_time_left_us < self.limits.least_left_us:
            return self.unfreeze(event, now_us)
        items = [w.with_relative_times(i, self.heard_us) for i in event.items]
        parts = list(
            w.split_into_parts(items, event.remembered_ids[-self.limits.memory :])
        )
        self.copy_parts = tuple(
            w.CopyPart(self.migration_id, self.stamp_us, n, len(parts), *p)
            for n, p in enumerate(parts)
        )
        return self._write(w.SealedRecord(self.migration_id, self.key, self.target))

    # Sealed: the taker may hold a copy.

    def record_persisted(self, event: s.RecordPersisted, now_us: int) -> Actions:
        if event.record != self.pending_record:
            return ()
        self.pending_record, self.writing = None, False
        match event.record:
            case w.SealedRecord():
                if self.cancel_requested:
                    return self.request_abort(event, now_us)
                self._enter(MigrationState.COPIED, now_us)
                return tuple(map(s.Send, self.copy_parts))
            case w.CommittedRecord():
                self.copy_parts = ()
                self._enter(MigrationState.COMMITTED, now_us)
                return self._send_commit()
            case w.ReleasedRecord() if self.ownerless:
                return s.ReleaseSession(), *self._confirm(), *self._finish(now_us)
            case w.ReleasedRecord():
                self._enter(MigrationState.TAIL, now_us)
                told = (
                    s.ReleaseSession(),
                    s.Send(w.Released(self.migration_id)),
                    *self._confirm(),
                    s.StartTail(),
                )
                return *told, *self._forward_next(now_us)
            case _:
                return *self._confirm(), *self._resume(now_us)

    def _confirm(self) -> Actions:
        return (
            (s.ConfirmVerdict(self.migration_id, "giver"),)
            if self.decided_by_arbiter
            else ()
        )

    def record_write_failed(self, event: s.RecordWriteFailed, now_us: int) -> Actions:
        """It may be on disk all the same: a seal is harmless, any other is written
        until it surely is.
        """
        if event.record != self.pending_record:
            return ()
        self.writing = False
        if not isinstance(self.pending_record, w.SealedRecord):
            return ()
        self.pending_record = None
        return self.unfreeze(event, now_us)

    def commit(self, event: w.CopyStored, now_us: int) -> Actions:
        self.target_lease_token = event.lease_token
        return (
            ()
            if self.pending_record is not None
            else self._write(w.CommittedRecord(self.migration_id))
        )

    def _send_commit(self) -> Actions:
        """Where we do not know the taker's life (a restart, the arbiter's word), it
        only wants an answer.
        """
        return (
            s.Send(w.Commit(self.migration_id, self.target_lease_token or NO_LEASE)),
        )

    def resend_commit(self, event: w.CopyStored, now_us: int) -> Actions:
        if self.pending_record is not None:
            return ()
        if self.in_doubt and event.lease_token != self.target_lease_token:
            return self._cede()
        self.target_lease_token = event.lease_token
        return self._send_commit()

    def _cede(self) -> Actions:
        return (
            s.AskArbiter(
                self.migration_id, "giver", self.target, committed=True, cede=True
            ),
        )

    def request_abort(self, event: object, now_us: int) -> Actions:
        if (
            self.pending_record is not None
        ):  # the commit may be on disk: there is no way back
            return self.retry_pending(event, now_us)
        self.copy_parts = ()
        self._enter(MigrationState.ABORTED, now_us)
        return (s.Send(w.Abort(self.migration_id)),)

    def resend_abort(self, event: object, now_us: int) -> Actions:
        return (s.Send(w.Abort(self.migration_id)),)

    def reclaim(self, event: object, now_us: int) -> Actions:
        return (
            ()
            if self.pending_record is not None
            else self._write(w.ReclaimedRecord(self.migration_id))
        )

    def reclaim_in_doubt(self, event: object, now_us: int) -> Actions:
        """We had committed, and the taker does not have it: what it ran of the copies
        nobody knows.
        """
        if self.pending_record is not None:
            return ()
        self._enter(MigrationState.ABORTED, now_us)
        return s.FailAll(), *self._write(w.ReclaimedRecord(self.migration_id))

    def release(self, event: w.Activated, now_us: int) -> Actions:
        if self.pending_record is not None:
            return ()
        self.stamp_us, self.heard_us, self.copy_parts, self.target_activated = (
            event.stamp_us,
            now_us,
            (),
            True,
        )
        return self._cede() if self.in_doubt else self._write_release(now_us)

    def _write_release(self, now_us: int) -> Actions:
        self._enter(MigrationState.COMMITTED, now_us)
        return self._write(w.ReleasedRecord(self.migration_id))

    def apply_verdict(self, event: s.Verdict, now_us: int) -> Actions:
        committed = self.state is MigrationState.COMMITTED
        if (
            self.pending_record is not None
            or event.ruling == "wait"
            or (committed and self.decided_by_arbiter)
        ):
            return ()
        if event.ruling == "taker":
            self.decided_by_arbiter, self.in_doubt = True, False
            if committed:
                return (
                    self._write_release(now_us)
                    if self.target_activated
                    else self._send_commit()
                )
            self._enter(
                MigrationState.COMMITTED, now_us
            )  # no record: after a restart the same word is given again
            return self._send_commit()
        self.decided_by_arbiter = True
        return (
            self.reclaim_in_doubt(event, now_us)
            if committed
            else self._write(w.ReclaimedRecord(self.migration_id))
        )

    def retry_pending(self, event: object, now_us: int) -> Actions:
        """What was not answered is said again; a record that may not be on disk is
        written again.
        """
        shed = self._reject_overdue(now_us)
        if self.pending_record is not None:
            return shed if self.writing else (*shed, *self._write(self.pending_record))
        committed = self.state is MigrationState.COMMITTED
        if self.state is MigrationState.COPIED:
            return *shed, *map(s.Send, self.copy_parts)
        if self.state is MigrationState.TAIL:
            return *shed, *self._send_tail_message(now_us), *self._forward_next(now_us)
        again = self._send_commit() if committed else self.resend_abort(event, now_us)
        if now_us - self.state_entered_at_us < self.limits.ask_us or (
            committed and self.decided_by_arbiter
        ):
            return *shed, *again
        self.in_doubt = committed
        return (
            *shed,
            *again,
            s.AskArbiter(self.migration_id, "giver", self.target, committed),
        )

    def expire(self, event: object, now_us: int) -> Actions:
        """No copy is alive any more, wherever it is; only ends that nobody told may be
        missing.
        """
        if self.pending_record is not None:
            return self.retry_pending(event, now_us)
        self.ownerless = self.state is MigrationState.ABORTED
        return s.FailAll(), *self._write_release(now_us)

    def _resume(self, now_us: int) -> Actions:
        waited, self.buffered, self.copy_parts = self.buffered, (), ()
        self._enter(MigrationState.HELD, now_us)
        return (
            s.Resume(),
            *(s.AcceptMessage(m.item) for m in waited),
            s.MigrationFinished(),
        )

    def confirm_release(self, event: object, now_us: int) -> Actions:
        if isinstance(event, w.Activated):
            self.stamp_us, self.heard_us = event.stamp_us, now_us
        return (s.Send(w.Released(self.migration_id)),)

    def end_tail(self, event: object, now_us: int) -> Actions:
        self.no_connections_left = True
        return self._forward_next(now_us)

    def finish_tail(self, event: object, now_us: int) -> Actions:
        return s.Send(w.TailEnd(self.migration_id)), *self._finish(now_us)

    def _finish(self, now_us: int) -> Actions:
        waited, self.buffered, self.in_flight = self.buffered, (), None
        self._enter(MigrationState.DONE, now_us)
        return *(
            s.RejectMessage(m.item.id, self.limits.refuse_us) for m in waited
        ), s.MigrationFinished()


_G = MigrationSource
_CANCELLING_EVENTS = (w.Decline, s.Timeout, s.LinkLost, s.LeaseLost, s.CancelMigration)
_BUFFERING: dict[type, Handler] = {
    MessageArrived: _G.buffer_message,
    s.ClientDisconnected: _G.discard_message,
}
_PERSISTENCE: dict[type, Handler] = {
    s.RecordPersisted: _G.record_persisted,
    s.RecordWriteFailed: _G.record_write_failed,
}
TRANSITIONS: dict[MigrationState, dict[type, Handler]] = {
    MigrationState.HELD: {
        s.StartMigration: _G.send_offer,
        MessageArrived: _G.accept_directly,
    },
    MigrationState.OFFERED: {
        **dict.fromkeys(_CANCELLING_EVENTS, _G.withdraw_offer),
        w.Accept: _G.freeze,
        MessageArrived: _G.accept_directly,
        s.Retry: _G.send_offer,
    },
    MigrationState.FROZEN: {
        **dict.fromkeys(_CANCELLING_EVENTS, _G.unfreeze),
        **_BUFFERING,
        **_PERSISTENCE,
        s.SessionQuiesced: _G.seal,
        s.Retry: _G.close_calls,
    },
    MigrationState.COPIED: {
        **dict.fromkeys(_CANCELLING_EVENTS, _G.request_abort),
        **_BUFFERING,
        **_PERSISTENCE,
        w.CopyStored: _G.commit,
        w.Activated: _G.release,
        s.Retry: _G.retry_pending,
    },
    MigrationState.COMMITTED: {
        **_BUFFERING,
        **_PERSISTENCE,
        w.CopyStored: _G.resend_commit,
        w.Activated: _G.release,
        w.Aborted: _G.reclaim_in_doubt,
        s.Verdict: _G.apply_verdict,
        s.Retry: _G.retry_pending,
        s.Timeout: _G.expire,
    },
    MigrationState.TAIL: {
        **_BUFFERING,
        w.CopyStored: _G.confirm_release,
        w.Activated: _G.confirm_release,
        w.TailMessageResult: _G.record_tail_result,
        s.ConnectionsClosed: _G.end_tail,
        s.Retry: _G.retry_pending,
        s.Timeout: _G.finish_tail,
    },
    MigrationState.DONE: {
        w.CopyStored: _G.confirm_release,
        w.Activated: _G.confirm_release,
        MessageArrived: _G.reject_message,
    },
    MigrationState.ABORTED: {
        **_BUFFERING,
        **_PERSISTENCE,
        w.CopyStored: _G.resend_abort,
        w.Activated: _G.release,
        w.Aborted: _G.reclaim,
        s.Verdict: _G.apply_verdict,
        s.Retry: _G.retry_pending,
        s.Timeout: _G.expire,
    },
}
