"""The taking side of one hand-over.

Every pair of state and event is in `docs/parts/session.md`.
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
    """`on(event, now_us)` gives what to do, in order.

    Like `Giver`, forked by `copy.copy`.
    """

    def handle_event(self, event: object, now_us: int) -> Actions:
        handler = TRANSITIONS[self.state].get(type(event))
        return handler(self, event, now_us) if handler else ()

    def tick(self, now_us: int) -> Actions:
        """To be called every `retry_us`."""
        late = self.state_deadline_us is not None and now_us >= self.state_deadline_us
        return self.handle_event(s.Timeout() if late else s.Retry(), now_us)

    @staticmethod
    def recover(
        record: w.StoredRecord,
        activated: bool,
        finalized: bool,
        number: int,
        limits: Limits,
        now_us: int,
    ) -> MigrationTarget:
        """After a restart.

        What had begun stays halted until it is known to be ours; what is shut is.
        """
        core = MigrationTarget(
            record.migration_id,
            record.key,
            record.migration_count,
            limits,
            None,
            started_at_us=now_us,
        )
        core.activated, core.ownership_final, core.last_number, core.last_outcome = (
            activated,
            finalized,
            number,
            "taken" if number else "",
        )
        if not activated:
            core.items, core.remembered_ids = record.items, record.remembered_ids
        core._enter(
            MigrationState.TAIL
            if finalized
            else MigrationState.COMMITTED
            if activated
            else MigrationState.COPIED,
            now_us,
        )
        return core

    # Copied: on disk, and not ours yet.

    def report_copy_stored(self, event: object, now_us: int) -> Actions:
        """Say that we hold it, which also asks whose it is."""
        if self.pending_records or self.lease_token is None:
            return ()
        return (s.Send(w.CopyStored(self.migration_id, self.lease_token)),)

    def fail_expired_message(self, event: s.MessageExpired, now_us: int) -> Actions:
        """Whoever it belongs to, nobody may deliver it any more, and the giver may be
        dead.
        """
        if all(i.id != event.id for i in self.items):
            return ()
        self.items = tuple(i for i in self.items if i.id != event.id)
        return (s.FailMessage(event.id),)

    def commit(self, event: w.Commit, now_us: int) -> Actions:
        """Ours, but only if the giver said so to the life that we lead now."""
        if event.lease_token != self.lease_token:
            return ()
        self.committed_lease_token = event.lease_token
        return self._activate(now_us)

    def take_ownership(self, event: object, now_us: int) -> Actions:
        self.ownership_final = True
        return self._activate(now_us)

    def _activate(self, now_us: int) -> Actions:
        if not self.activated:
            record = w.ActivatedRecord(self.migration_id)
            if record in self.pending_records:
                return ()
            self._enter(MigrationState.COMMITTED, now_us)
            return self._write(record)
        if self.lease_token is None or not (
            self.ownership_final or self.committed_lease_token == self.lease_token
        ):
            return ()  # the lease went while the record was written
        self._enter(MigrationState.TAIL, now_us)
        shut = (
            self._write(w.FinalizedRecord(self.migration_id))
            if self.ownership_final
            else ()
        )
        return s.Resume(), s.Send(w.Activated(self.migration_id, now_us)), *shut

    def ask_unknown_to_source(self, event: object, now_us: int) -> Actions:
        """The giver has no record: it lost its journal, took it back by the arbiter's
        word, or let go.
        """
        return (
            ()
            if self.ownership_final
            else (
                s.AskArbiter(
                    self.migration_id,
                    "taker",
                    self.migration_id.source,
                    unknown_to_source=True,
                ),
            )
        )

    def apply_verdict(self, event: s.Verdict, now_us: int) -> Actions:
        acting = (
            self.state is MigrationState.TAIL
        )  # by the giver's word to this very life of ours
        if (
            event.ruling == "wait"
            or self.ownership_final
            or (acting and event.ruling != "taker")
        ):
            return ()
        self.decided_by_arbiter = True
        if event.ruling == "taker":
            return self.take_ownership(event, now_us)
        return self.expire(event, now_us)

    def expire(self, event: object, now_us: int) -> Actions:
        """It is not ours, or whose it is nobody could say until it was over.

        What we took on since we began is nobody else's; and a giver that takes back
        what had begun ends the copies as well.
        """
        if (
            self.ownership_final
            or w.RefusedRecord(self.migration_id) in self.pending_records
        ):
            return self.retry_writes(event, now_us)
        return *((s.FailAll(),) if self.activated else ()), *self.refuse(event, now_us)

    def refuse(self, event: object, now_us: int) -> Actions:
        if self.state is MigrationState.OFFERED and self.pending_records:
            # the copy may be on disk soon: what refuses it is written after it, when
            # asked again
            return ()
        record = w.RefusedRecord(self.migration_id)
        if record in self.pending_records and record not in self.failed_records:
            return ()
        self._enter(MigrationState.ABORTED, now_us)
        self.items, self.remembered_ids, self.copy_parts, self.pending_records = (
            (),
            (),
            (),
            (),
        )
        return self._write(record)

    def retry_writes(self, event: object, now_us: int) -> Actions:
        return tuple(a for r in self.failed_records for a in self._write(r))

    def retry_and_ask(self, event: object, now_us: int) -> Actions:
        if self.pending_records:
            return self.retry_writes(event, now_us)
        return *self.report_copy_stored(event, now_us), *self._ask_arbiter(now_us)

    def _ask_arbiter(self, now_us: int) -> Actions:
        """The giver has had its time to answer."""
        if (
            self.ownership_final
            or now_us - self.state_entered_at_us < self.limits.ask_us
        ):
            return ()
        return (
            s.AskArbiter(
                self.migration_id,
                "taker",
                self.migration_id.source,
                cede=self.state is MigrationState.TAIL,
            ),
        )

    def request_abort(self, event: object, now_us: int) -> Actions:
        return (s.Send(w.Decline(self.migration_id, "draining")),)

    # On disk

    def record_persisted(self, event: s.RecordPersisted, now_us: int) -> Actions:
        if event.record not in self.pending_records:
            return ()
        self.pending_records = tuple(
            r for r in self.pending_records if r != event.record
        )
        match event.record:
            case w.StoredRecord():
                self._enter(MigrationState.COPIED, now_us)
                return self.report_copy_stored(event, now_us)
            case w.ActivatedRecord():
                items, memory, self.items, self.remembered_ids, self.activated = (
                    self.items,
                    self.remembered_ids,
                    (),
                    (),
                    True,
                )
                return s.ImportSession(items, memory), *self._activate(now_us)
            case w.TailAcceptedRecord(number=number, item=item):
                self.last_number, self.last_outcome = number, "taken"
                return s.AcceptMessage(item, answer_client=False), self._tail_result(
                    number, "taken", now_us
                )
            case w.RefusedRecord():
                return (
                    s.Send(w.Aborted(self.migration_id)),
                    *self._confirm(),
                    *self._finish(now_us),
                )
            case _:
                return self._confirm()

    def _confirm(self) -> Actions:
        return (
            (s.ConfirmVerdict(self.migration_id, "taker"),)
            if self.decided_by_arbiter
            else ()
        )

    def record_write_failed(self, event: s.RecordWriteFailed, now_us: int) -> Actions:
        """It may be on disk all the same.

        A copy of which we have not said that we hold it, we may refuse.
        """
        if event.record not in self.pending_records:
            return ()
        if isinstance(
            event.record, w.TailAcceptedRecord
        ):  # not answered, so the giver says it again
            self.pending_records = tuple(
                r for r in self.pending_records if r != event.record
            )
            self.unconfirmed_number = event.record.number
            return ()
        if isinstance(event.record, w.StoredRecord):
            self.pending_records = ()
            return s.Send(w.Decline(self.migration_id, "disk")), *self.refuse(
                event, now_us
            )
        self.failed_records = (*self.failed_records, event.record)
        return ()

    # The tail

    def report_activated(self, event: object, now_us: int) -> Actions:
        return (s.Send(w.Activated(self.migration_id, now_us)),)

    def retry_tail(self, event: object, now_us: int) -> Actions:
        again = self.retry_writes(event, now_us)
        return (
            again
            if self.ownership_final
            else (
                *again,
                *self.report_activated(event, now_us),
                *self._ask_arbiter(now_us),
            )
        )

    def finalize(self, event: object, now_us: int) -> Actions:
        """We act by the giver's word to this life, and it keeps nothing: it never can
        take it back.
        """
        if self.ownership_final:
            return ()
        self.ownership_final = True
        return self._write(w.FinalizedRecord(self.migration_id))

    def accept_tail_message(self, event: w.TailMessage, now_us: int) -> Actions:
        """One passed message at a time; one that was answered is answered alike, and an
        older one is over.
        """
        if event.number <= self.last_number:
            return (
                (self._tail_result(event.number, self.last_outcome, now_us),)
                if event.number == self.last_number
                else ()
            )
        if (
            event.stamp_us < self.started_at_us
        ):  # it may be one that we refused before the restart
            return (self._tail_result(event.number, "again", now_us),)
        if any(isinstance(r, w.TailAcceptedRecord) for r in self.pending_records):
            return ()
        item = w.with_local_times(event.item, event.stamp_us, self.limits.drift)
        until_us = w.to_local_time(
            event.valid_until_us, event.stamp_us, self.limits.drift
        )
        if (
            self.lease_token is None
            or self.out_of_capacity
            or min(item.deadline_us, until_us) <= now_us
        ):
            if event.number == self.unconfirmed_number:
                # it may be on disk, and go after a restart: it cannot be refused
                return ()
            self.last_number, self.last_outcome = event.number, "refused"
            return (self._tail_result(event.number, "refused", now_us),)
        return self._write(w.TailAcceptedRecord(self.migration_id, event.number, item))

    def _tail_result(self, number: int, how: Any, now_us: int) -> s.Send:
        return s.Send(w.TailMessageResult(self.migration_id, number, how, now_us))

    def end_tail(self, event: object, now_us: int) -> Actions:
        """The giver ends its tail only once it has let go, so `End` says `Closed` as
        well.
        """
        if self.ownership_final and not self.pending_records:
            return self._finish(now_us)
        self._enter(MigrationState.TAIL, now_us)
        return (
            self.finalize(event, now_us)
            if isinstance(event, w.TailEnd)
            else self.retry_tail(event, now_us)
        )

    # Our lease

    def acquire_lease(self, event: s.LeaseAcquired, now_us: int) -> Actions:
        self.lease_token = event.lease_token
        if self.state is MigrationState.COMMITTED and self.ownership_final:
            return self._activate(now_us)
        return (
            self.report_copy_stored(event, now_us)
            if self.state in (MigrationState.COPIED, MigrationState.COMMITTED)
            else ()
        )

    def lose_lease(self, event: object, now_us: int) -> Actions:
        self.lease_token = self.committed_lease_token = None
        return ()

    def halt(self, event: object, now_us: int) -> Actions:
        """While we are lost the giver may take it back, unless it is shut: then only
        the lease is missing.
        """
        self.lease_token = self.committed_lease_token = None
        if self.ownership_final:
            return ()
        self._enter(MigrationState.COMMITTED, now_us)
        return (s.Halt(),)


_T = MigrationTarget
_IN_EVERY_STATE: dict[type, Handler] = {
    s.RecordPersisted: _T.record_persisted,
    s.RecordWriteFailed: _T.record_write_failed,
    s.LeaseLost: _T.lose_lease,
    s.LeaseAcquired: _T.acquire_lease,
}
_IN_DOUBT: dict[type, Handler] = {
    **_IN_EVERY_STATE,
    w.Commit: _T.commit,
    w.Released: _T.take_ownership,
    w.UnknownMigration: _T.ask_unknown_to_source,
    s.Verdict: _T.apply_verdict,
    s.MessageExpired: _T.fail_expired_message,
    s.Retry: _T.retry_and_ask,
    s.Timeout: _T.expire,
}
TRANSITIONS: dict[MigrationState, dict[type, Handler]] = {
    MigrationState.OFFERED: {
        **_IN_EVERY_STATE,
        **dict.fromkeys(
            (w.Decline, s.Timeout, s.LinkLost, s.TargetDraining), _T.discard_copy
        ),
        w.Offer: _T.accept_offer,
        w.CopyPart: _T.collect_part,
        w.Abort: _T.refuse,
    },
    MigrationState.COPIED: {
        **_IN_DOUBT,
        w.CopyPart: _T.report_copy_stored,
        w.Abort: _T.refuse,
        s.TargetDraining: _T.request_abort,
    },
    MigrationState.COMMITTED: _IN_DOUBT,
    MigrationState.TAIL: {
        **_IN_EVERY_STATE,
        s.LeaseLost: _T.halt,
        w.Commit: _T.report_activated,
        w.Abort: _T.report_activated,
        w.Released: _T.finalize,
        w.UnknownMigration: _T.finalize,
        w.TailMessage: _T.accept_tail_message,
        w.TailEnd: _T.end_tail,
        s.Verdict: _T.apply_verdict,
        s.Retry: _T.retry_tail,
        s.Timeout: _T.end_tail,
    },
    MigrationState.DONE: {},
    MigrationState.ABORTED: {
        **_IN_EVERY_STATE,
        w.Abort: _T.refuse,
        s.Retry: _T.retry_writes,
    },
}
