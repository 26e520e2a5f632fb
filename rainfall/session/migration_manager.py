"""All migrations of one forwarder: dispatch of events, limits and recovery.

The caller reports events, carries out the actions returned and calls `tick` every
`retry_us`. All times are microseconds of the forwarder's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.migration_source import MigrationSource
from rainfall.session.migration_target import MigrationTarget
from rainfall.session.states import Actions, Limits, MigrationState

MAX_FINISHED_MIGRATIONS = 10_000
"""Most finished migrations of all members that are recorded; 250 bytes each."""
NO_KEY = ""
"""Stands for the order key in an action that concerns no session."""
KeyedAction = tuple[str, s.Action]
"""An action with the order key of its session."""
KeyedActions = list[KeyedAction]
"""Actions in order."""
RecordsByType = dict[type, w.Record]


@dataclass(slots=True)
class MigrationManager:
    """The outgoing and incoming migrations of this forwarder."""

    name: str
    limits: Limits
    lease_token: w.LeaseToken | None = None
    """This member's lease; None while it holds none."""
    draining: bool = False
    last_sequence: int = 0
    outgoing: dict[w.MigrationId, MigrationSource] = field(default_factory=dict)
    incoming: dict[w.MigrationId, MigrationTarget] = field(default_factory=dict)
    refused_up_to: dict[str, w.MigrationId] = field(default_factory=dict)
    """By source: offers of unknown migrations up to this id are declined."""
    finished: dict[w.MigrationId, bool] = field(default_factory=dict)
    """The newest finished migrations: True where the target owns the session, False where
    it never will. The outcome of any other migration up to `refused_up_to` is unknown,
    and queries about it get no answer.
    """
    migration_by_key: dict[str, w.MigrationId] = field(default_factory=dict)
    """The migration in progress of each session, by order key."""

    # Outgoing migrations

    def start_migration(
        self,
        key: str,
        target: str,
        target_site: str,
        reason: str,
        migration_count: int,
        request: s.StartMigration,
        now_us: int,
    ) -> KeyedActions:
        """Offer a session to a target.

        Returns no actions without a lease, at the limits `at_once` and `all_bytes`, or
        while the session is already being migrated.
        """
        if self.lease_token is None or key in self.migration_by_key:
            return []
        if self._is_outgoing_full(request):
            return []
        self.last_sequence += 1
        source = MigrationSource(
            w.MigrationId(self.name, *self.lease_token, self.last_sequence),
            self.limits,
            key=key,
            target=target,
            target_site=target_site,
            reason=reason,
            migration_count=migration_count,
        )
        self.outgoing[source.migration_id] = source
        self.migration_by_key[key] = source.migration_id
        return self.handle_event(source, request, now_us)

    def _is_outgoing_full(self, request: s.StartMigration) -> bool:
        sources = self.outgoing.values()
        size = sum(source.request.bytes for source in sources) + request.bytes
        busy = sum(source.state is not MigrationState.TAIL for source in sources)
        return busy >= self.limits.at_once or size > self.limits.all_bytes

    def handle_session_event(
        self, key: str, event: object, now_us: int
    ) -> KeyedActions | None:
        """Handle an event of a session.

        The event is `SessionQuiesced`, `MessageArrived`, `ClientDisconnected`,
        `ConnectionsClosed` or `CancelMigration`. Returns None where the session is not
        being migrated from here, so that only the engine handles the event.
        """
        if key not in self.migration_by_key:
            return None
        source = self.outgoing.get(self.migration_by_key[key])
        if source is None:
            return None
        return self.handle_event(source, event, now_us)

    # Frames, records, leases and time

    def handle_frame(self, peer: str, frame: w.Frame, now_us: int) -> KeyedActions:
        """Handle a frame of the forwarder `peer`.

        A frame about a migration that is not between the two forwarders is ignored.
        """
        migration_id = frame.migration_id
        if migration_id.source == self.name:
            source = self.outgoing.get(migration_id)
            if source is None:
                return self._answer_target(frame)
            if source.target != peer:
                return []
            return self.handle_event(source, frame, now_us)
        if migration_id.source != peer:
            return []
        target = self.incoming.get(migration_id)
        if target is None:
            return self._handle_unknown(frame, now_us)
        return self.handle_event(target, frame, now_us)

    def _answer_target(self, frame: w.Frame) -> KeyedActions:
        """Answer a target's query about a migration that is finished or unknown here."""
        if not isinstance(frame, (w.CopyStored, w.Activated)):
            return []
        migration_id = frame.migration_id
        if self.finished.get(migration_id):
            return [(NO_KEY, s.Send(w.Released(migration_id)))]
        return [(NO_KEY, s.Send(w.UnknownMigration(migration_id)))]

    def _handle_unknown(self, frame: w.Frame, now_us: int) -> KeyedActions:
        """Handle a source's frame about a migration that is not in progress here."""
        match frame:
            case w.Offer():
                return self._handle_offer(frame, now_us)
            case w.CopyPart():
                decline = w.Decline(frame.migration_id, "unknown")
                return [(NO_KEY, s.Send(decline))]
            case w.Abort() | w.Commit():
                return self._answer_source(frame.migration_id, now_us)
        # A tail message may have been accepted before the migration was dropped, so it
        # must not be rejected.
        return []

    def _handle_offer(self, offer: w.Offer, now_us: int) -> KeyedActions:
        migration_id = offer.migration_id
        reason = self._rejection_reason(offer)
        if reason:
            return [(NO_KEY, s.Send(w.Decline(migration_id, reason)))]
        target = MigrationTarget(
            migration_id,
            offer.key,
            offer.migration_count,
            self.limits,
            self.lease_token,
            stamp_us=now_us,
            started_at_us=now_us,
            offered_bytes=offer.bytes,
        )
        target.open(now_us)
        self.incoming[migration_id] = target
        self.migration_by_key[offer.key] = migration_id
        return self._with_key(target, target.accept_offer(offer, now_us))

    def _answer_source(self, migration_id: w.MigrationId, now_us: int) -> KeyedActions:
        """Answer a source's query whether the session was activated here."""
        if migration_id in self.finished:
            answer: w.Frame = w.Aborted(migration_id)
            if self.finished[migration_id]:
                answer = w.Activated(migration_id, now_us)
            return [(NO_KEY, s.Send(answer))]
        if self._is_refused(migration_id):
            return []
        return [(NO_KEY, s.PersistRecord(w.RefusedRecord(migration_id)))]

    def _is_refused(self, migration_id: w.MigrationId) -> bool:
        refused_up_to = self.refused_up_to.get(migration_id.source)
        return refused_up_to is not None and migration_id <= refused_up_to

    def _rejection_reason(self, offer: w.Offer) -> str:
        """Return the reason to decline an offer; empty where it is accepted."""
        if self.draining:
            return "draining"
        if self.lease_token is None:
            return "no lease"
        if self._is_refused(offer.migration_id) or offer.key in self.migration_by_key:
            return "known"
        return "full" if self._is_incoming_full(offer) else ""

    def _is_incoming_full(self, offer: w.Offer) -> bool:
        targets = self.incoming.values()
        busy = sum(target.state is not MigrationState.TAIL for target in targets)
        size = sum(target.offered_bytes for target in targets) + offer.bytes
        return (
            busy >= self.limits.at_once
            or size > self.limits.all_bytes
            or offer.messages > self.limits.session_messages
            or offer.bytes > self.limits.session_bytes
        )

    def handle_write_result(
        self, record: w.Record, ok: bool, now_us: int
    ) -> KeyedActions:
        """Handle the result of a `PersistRecord`; `ok`: the record is on disk."""
        migration_id = record.migration_id
        if ok and isinstance(record, (w.StoredRecord, w.RefusedRecord)):
            self._raise_refused_up_to(record)
        side = self._find(migration_id)
        if side is not None:
            event = s.RecordPersisted(record) if ok else s.RecordWriteFailed(record)
            return self.handle_event(side, event, now_us)
        if ok and isinstance(record, w.RefusedRecord):
            return [(NO_KEY, s.Send(w.Aborted(migration_id)))]
        return []

    def _find(
        self, migration_id: w.MigrationId
    ) -> MigrationSource | MigrationTarget | None:
        return self.outgoing.get(migration_id) or self.incoming.get(migration_id)

    def handle_verdict(self, verdict: s.Verdict, now_us: int) -> KeyedActions:
        """Handle the arbiter's verdict on a migration."""
        side = self._find(verdict.migration_id)
        return [] if side is None else self.handle_event(side, verdict, now_us)

    def handle_message_expired(
        self, migration_id: w.MigrationId, message_id: str, now_us: int
    ) -> KeyedActions:
        """Handle the expiry of a message that was copied to this member."""
        target = self.incoming.get(migration_id)
        if target is None:
            return []
        return self.handle_event(target, s.MessageExpired(message_id), now_us)

    def handle_link_lost(self, peer: str, now_us: int) -> KeyedActions:
        """Handle the loss of the link to a peer."""
        return self._handle_all(s.LinkLost(), now_us, peer)

    def set_lease(self, lease_token: w.LeaseToken | None, now_us: int) -> KeyedActions:
        """Set the lease that is held; None: it has expired by the local clock."""
        if lease_token == self.lease_token:
            return []
        self.lease_token = lease_token
        if lease_token is None:
            return self._handle_all(s.LeaseLost(), now_us)
        return self._handle_all(s.LeaseAcquired(lease_token), now_us)

    def start_draining(self, now_us: int) -> KeyedActions:
        """Decline further offers, and request the abort of copies that are not committed."""
        self.draining = True
        return [
            action
            for target in list(self.incoming.values())
            for action in self.handle_event(target, s.TargetDraining(), now_us)
        ]

    def tick(self, now_us: int) -> KeyedActions:
        """Raise timeouts and retries of all migrations; to be called every `retry_us`."""
        return [
            action
            for side in self.migrations()
            for action in self._with_key(side, side.tick(now_us))
        ]

    def migrations(self) -> list[MigrationSource | MigrationTarget]:
        """Return all migrations, the outgoing ones first."""
        return [*self.outgoing.values(), *self.incoming.values()]

    def _handle_all(
        self, event: object, now_us: int, peer: str | None = None
    ) -> KeyedActions:
        """Pass an event to all migrations, or only to those with a peer."""
        actions: KeyedActions = []
        for side in self.migrations():
            if peer is None or peer == _other_member(side):
                actions += self.handle_event(side, event, now_us)
        return actions

    def handle_event(
        self, side: MigrationSource | MigrationTarget, event: object, now_us: int
    ) -> KeyedActions:
        """Pass an event to one side of a migration."""
        return self._with_key(side, side.handle_event(event, now_us))

    def _with_key(
        self, side: MigrationSource | MigrationTarget, actions: Actions
    ) -> KeyedActions:
        """Return a side's actions with its key; drop a side that has finished."""
        if any(isinstance(action, s.MigrationFinished) for action in actions):
            self._drop(side)
        return [(side.key, action) for action in actions]

    def _drop(self, side: MigrationSource | MigrationTarget) -> None:
        migration_id = side.migration_id
        if _is_owned_by_target(side):
            self._record_finished(migration_id, True)
        self.outgoing.pop(migration_id, None)
        self.incoming.pop(migration_id, None)
        if self.migration_by_key.get(side.key) == migration_id:
            del self.migration_by_key[side.key]

    def _raise_refused_up_to(self, record: w.Record) -> None:
        migration_id = record.migration_id
        previous = self.refused_up_to.get(migration_id.source, migration_id)
        self.refused_up_to[migration_id.source] = max(migration_id, previous)
        if isinstance(record, w.RefusedRecord):
            self._record_finished(migration_id, False)

    def _record_finished(
        self, migration_id: w.MigrationId, is_owned_by_target: bool
    ) -> None:
        self.finished[migration_id] = is_owned_by_target
        if len(self.finished) > MAX_FINISHED_MIGRATIONS:
            del self.finished[next(iter(self.finished))]

    # Recovery

    def recover(
        self, records: Iterable[w.Record], now_us: int
    ) -> Mapping[str, MigrationState]:
        """Restore the migrations from the journal's records, in the order written.

        To be called before any event. Returns the migration state of each session, by
        order key. The engine halts each of these sessions, except an incoming one in the
        state `tail`, which this member owns for good.
        """
        records_by_migration: dict[w.MigrationId, RecordsByType] = {}
        # An earlier migration of the same key has finished, whatever its last record.
        newest_by_key: dict[str, w.MigrationId] = {}
        for record in records:
            migration_id = record.migration_id
            if isinstance(record, (w.StoredRecord, w.RefusedRecord)):
                self._raise_refused_up_to(record)
            if isinstance(record, (w.StoredRecord, w.SealedRecord)):
                newest_by_key[record.key] = migration_id
            if isinstance(record, w.ReleasedRecord):
                self._record_finished(migration_id, True)
            records_by_type = records_by_migration.setdefault(migration_id, {})
            records_by_type[type(record)] = record
        for migration_id in newest_by_key.values():
            self._recover_migration(
                migration_id, records_by_migration[migration_id], now_us
            )
        return {side.key: side.state for side in self.migrations()}

    def _recover_migration(
        self, migration_id: w.MigrationId, records: RecordsByType, now_us: int
    ) -> None:
        sealed = records.get(w.SealedRecord)
        stored = records.get(w.StoredRecord)
        is_source_done = w.ReleasedRecord in records or w.ReclaimedRecord in records
        if isinstance(sealed, w.SealedRecord) and not is_source_done:
            self.outgoing[migration_id] = MigrationSource.recover(
                sealed, w.CommittedRecord in records, self.limits, now_us
            )
            self.migration_by_key[sealed.key] = migration_id
        elif isinstance(stored, w.StoredRecord) and w.RefusedRecord not in records:
            accepted = records.get(w.TailAcceptedRecord)
            number = 0
            if isinstance(accepted, w.TailAcceptedRecord):
                number = accepted.number
            self.incoming[migration_id] = MigrationTarget.recover(
                stored,
                w.ActivatedRecord in records,
                w.FinalizedRecord in records,
                number,
                self.limits,
                now_us,
            )
            self.migration_by_key[stored.key] = migration_id

    def checkpoint(self) -> list[w.Record]:
        """Return the records a compacted journal needs beside those of open migrations."""
        return [
            w.RefusedRecord(migration_id)
            for _, migration_id in sorted(self.refused_up_to.items())
        ]


def _other_member(side: MigrationSource | MigrationTarget) -> str:
    if isinstance(side, MigrationSource):
        return side.target
    return side.migration_id.source


def _is_owned_by_target(side: MigrationSource | MigrationTarget) -> bool:
    """Whether the finished migration left the session with the target."""
    if isinstance(side, MigrationTarget):
        return side.ownership_final
    return side.state is MigrationState.DONE and not side.ownerless
