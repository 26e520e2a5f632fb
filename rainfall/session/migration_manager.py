"""All hand-overs of one forwarder: which core a frame is for, how many, how large, what
a restart finds.

The shell that runs it carries out the actions, calls `tick` every `retry_us`, and hands
in what it hears.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.migration_source import MigrationSource
from rainfall.session.migration_target import MigrationTarget
from rainfall.session.states import Actions, Limits, MigrationState

MAX_FINISHED_MIGRATIONS = (
    10_000  # hand-overs remembered after their end, of a fleet's; 250 bytes each
)
KeyedActions = list[tuple[str, s.Action]]
"""Actions in order, each with the order key of the session that it is about ("" where
there is none).
"""


@dataclass(slots=True)
class MigrationManager:
    name: str
    limits: Limits
    lease_token: w.LeaseToken | None = None
    """Our lease; None while we hold none."""
    draining: bool = False
    last_sequence: int = 0
    outgoing: dict[w.MigrationId, MigrationSource] = field(default_factory=dict)
    incoming: dict[w.MigrationId, MigrationTarget] = field(default_factory=dict)
    refused_up_to: dict[str, w.MigrationId] = field(default_factory=dict)
    """By giver: at or below it, what is not known is never taken on."""
    finished: dict[w.MigrationId, bool] = field(default_factory=dict)
    """The newest that are over here: whether they went to the taker for good, or (given
    back, refused) never will. Of one that is at its giver's floor and not in it we know
    nothing, and say nothing.
    """
    migration_by_key: dict[str, w.MigrationId] = field(default_factory=dict)
    """Whose session is being handed over."""

    # Giving

    def start_migration(
        self,
        key: str,
        taker: str,
        site: str,
        why: str,
        moves: int,
        asked: s.StartMigration,
        now_us: int,
    ) -> KeyedActions:
        """Offer a session.

        Nothing is done, and () returned, while we hold no lease, have as many out as
        `at_once` or as many bytes as `all_bytes`, or the session itself is in a
        hand-over.
        """
        size = sum(g.request.bytes for g in self.outgoing.values()) + asked.bytes
        busy = sum(g.state is not MigrationState.TAIL for g in self.outgoing.values())
        full = busy >= self.limits.at_once or size > self.limits.all_bytes
        if self.lease_token is None or key in self.migration_by_key or full:
            return []
        self.last_sequence += 1
        core = MigrationSource(
            w.MigrationId(self.name, *self.lease_token, self.last_sequence),
            self.limits,
            key=key,
            target=taker,
            target_site=site,
            reason=why,
            migration_count=moves,
        )
        self.outgoing[core.migration_id], self.migration_by_key[key] = (
            core,
            core.migration_id,
        )
        return self.handle_event(core, asked, now_us)

    def handle_session_event(
        self, key: str, event: object, now_us: int
    ) -> KeyedActions | None:
        """`Quiet`, `Arrived`, `Left`, `TailOver`, `Stop`: for a session by its key.

        None where it is not being given away: then the event is the engine's alone.
        """
        core = (
            self.outgoing.get(self.migration_by_key[key])
            if key in self.migration_by_key
            else None
        )
        return None if core is None else self.handle_event(core, event, now_us)

    # What comes from outside

    def handle_frame(self, peer: str, frame: w.Frame, now_us: int) -> KeyedActions:
        """A frame of the forwarder `peer`.

        Of a hand-over that is not between us two it is passed over.
        """
        if frame.migration_id.source == self.name:
            giver = self.outgoing.get(frame.migration_id)
            if giver is None:
                asks = isinstance(frame, (w.CopyStored, w.Activated))
                answer_type = (
                    w.Released
                    if self.finished.get(frame.migration_id)
                    else w.UnknownMigration
                )
                return [("", s.Send(answer_type(frame.migration_id)))] if asks else []
            return (
                self.handle_event(giver, frame, now_us) if giver.target == peer else []
            )
        if frame.migration_id.source != peer:
            return []
        taker = self.incoming.get(frame.migration_id)
        if taker is None:
            return self._handle_unknown(frame, now_us)
        return self.handle_event(taker, frame, now_us)

    def _handle_unknown(self, frame: w.Frame, now_us: int) -> KeyedActions:
        hand, floor = (
            frame.migration_id,
            self.refused_up_to.get(frame.migration_id.source),
        )
        match frame:
            case w.Offer():
                why = self._rejection_reason(frame, floor)
                if why:
                    return [("", s.Send(w.Decline(hand, why)))]
                core = MigrationTarget(
                    hand,
                    frame.key,
                    frame.migration_count,
                    self.limits,
                    self.lease_token,
                    now_us,
                    now_us,
                    offered_bytes=frame.bytes,
                )
                core.open(now_us)
                self.incoming[hand], self.migration_by_key[frame.key] = core, hand
                return self._with_key(core, core.accept_offer(frame, now_us))
            case w.CopyPart():
                return [("", s.Send(w.Decline(hand, "unknown")))]
            case (
                w.Abort() | w.Commit()
            ):  # the giver waits for our word that it never will begin here
                if hand in self.finished:
                    return [
                        (
                            "",
                            s.Send(
                                w.Activated(hand, now_us)
                                if self.finished[hand]
                                else w.Aborted(hand)
                            ),
                        )
                    ]
                if floor is not None and hand <= floor:
                    return []
                return [("", s.PersistRecord(w.RefusedRecord(hand)))]
        # a Pass too: it may have been taken before we forgot, so it cannot be refused
        return []

    def _rejection_reason(self, offer: w.Offer, floor: w.MigrationId | None) -> str:
        """Why an offer is not taken; empty where it is."""
        if self.draining or self.lease_token is None:
            return "draining" if self.draining else "no lease"
        if (
            floor is not None and offer.migration_id <= floor
        ) or offer.key in self.migration_by_key:
            return "known"
        busy = sum(t.state is not MigrationState.TAIL for t in self.incoming.values())
        size = sum(t.offered_bytes for t in self.incoming.values()) + offer.bytes
        if (
            busy >= self.limits.at_once
            or size > self.limits.all_bytes
            or offer.messages > self.limits.session_messages
            or offer.bytes > self.limits.session_bytes
        ):
            return "full"
        return ""

    def handle_write_result(
        self, record: w.Record, ok: bool, now_us: int
    ) -> KeyedActions:
        """The disk's answer to a `Journal`."""
        hand = record.migration_id
        if ok and isinstance(record, (w.StoredRecord, w.RefusedRecord)):
            self._raise_refused_up_to(record)
        core = self.outgoing.get(hand) or self.incoming.get(hand)
        if core is not None:
            return self.handle_event(
                core,
                s.RecordPersisted(record) if ok else s.RecordWriteFailed(record),
                now_us,
            )
        return (
            [("", s.Send(w.Aborted(hand)))]
            if ok and isinstance(record, w.RefusedRecord)
            else []
        )

    def handle_verdict(self, verdict: s.Verdict, now_us: int) -> KeyedActions:
        core = self.outgoing.get(verdict.migration_id) or self.incoming.get(
            verdict.migration_id
        )
        return [] if core is None else self.handle_event(core, verdict, now_us)

    def handle_message_expired(
        self, hand: w.MigrationId, name: str, now_us: int
    ) -> KeyedActions:
        core = self.incoming.get(hand)
        return (
            []
            if core is None
            else self.handle_event(core, s.MessageExpired(name), now_us)
        )

    def handle_link_lost(self, peer: str, now_us: int) -> KeyedActions:
        return self._handle_all(s.LinkLost(), now_us, peer)

    def set_lease(self, life: w.LeaseToken | None, now_us: int) -> KeyedActions:
        """Our lease is out by our own clock (None), or is held under this token."""
        if life == self.lease_token:
            return []
        self.lease_token = life
        return self._handle_all(
            s.LeaseLost() if life is None else s.LeaseAcquired(life), now_us
        )

    def start_draining(self, now_us: int) -> KeyedActions:
        """We drain: no offer is taken any more; what is copied and not committed is
        asked to be dropped.
        """
        self.draining = True
        return [
            a
            for t in list(self.incoming.values())
            for a in self.handle_event(t, s.TargetDraining(), now_us)
        ]

    def tick(self, now_us: int) -> KeyedActions:
        return [
            a
            for core in self.migrations()
            for a in self._with_key(core, core.tick(now_us))
        ]

    def migrations(self) -> list[MigrationSource | MigrationTarget]:
        return [*self.outgoing.values(), *self.incoming.values()]

    def _handle_all(
        self, event: object, now_us: int, peer: str | None = None
    ) -> KeyedActions:
        done: KeyedActions = []
        for core in self.migrations():
            other = (
                core.target
                if isinstance(core, MigrationSource)
                else core.migration_id.source
            )
            if peer in (None, other):
                done += self.handle_event(core, event, now_us)
        return done

    def handle_event(
        self, core: MigrationSource | MigrationTarget, event: object, now_us: int
    ) -> KeyedActions:
        """One core hears one event."""
        return self._with_key(core, core.handle_event(event, now_us))

    def _with_key(
        self, core: MigrationSource | MigrationTarget, actions: Actions
    ) -> KeyedActions:
        if any(isinstance(a, s.MigrationFinished) for a in actions):
            if (
                core.ownership_final
                if isinstance(core, MigrationTarget)
                else core.state is MigrationState.DONE and not core.ownerless
            ):
                self._remember_finished(core.migration_id, True)
            self.outgoing.pop(core.migration_id, None)
            self.incoming.pop(core.migration_id, None)
            if self.migration_by_key.get(core.key) == core.migration_id:
                del self.migration_by_key[core.key]
        return [(core.key, a) for a in actions]

    def _raise_refused_up_to(self, record: w.Record) -> None:
        hand = record.migration_id
        self.refused_up_to[hand.source] = max(
            hand, self.refused_up_to.get(hand.source, hand)
        )
        if isinstance(record, w.RefusedRecord):
            self._remember_finished(hand, False)

    def _remember_finished(self, hand: w.MigrationId, ours: bool) -> None:
        self.finished[hand] = ours
        if len(self.finished) > MAX_FINISHED_MIGRATIONS:
            del self.finished[next(iter(self.finished))]

    # After a restart

    def recover(
        self, records: Iterable[w.Record], now_us: int
    ) -> Mapping[str, MigrationState]:
        """Before anything is heard or sent: what the journal holds, in its order.

        Returns the sessions that are in a hand-over. The engine halts each, but for
        those that we take and that are in `tail`: they are ours for good.
        """
        records_by_migration: dict[w.MigrationId, dict[type, w.Record]] = {}
        newest: dict[
            str, w.MigrationId
        ] = {}  # an earlier one of the same key is over, whatever is missing of it
        for record in records:
            if isinstance(record, (w.StoredRecord, w.RefusedRecord)):
                self._raise_refused_up_to(record)
            if isinstance(record, (w.StoredRecord, w.SealedRecord)):
                newest[record.key] = record.migration_id
            if isinstance(record, w.ReleasedRecord):
                self._remember_finished(record.migration_id, True)
            records_by_migration.setdefault(record.migration_id, {})[type(record)] = (
                record
            )
        for hand in newest.values():
            records_by_type = records_by_migration[hand]
            sealed, stored, tail_accepted = (
                records_by_type.get(w.SealedRecord),
                records_by_type.get(w.StoredRecord),
                records_by_type.get(w.TailAcceptedRecord),
            )
            if isinstance(sealed, w.SealedRecord) and not (
                w.ReleasedRecord in records_by_type
                or w.ReclaimedRecord in records_by_type
            ):
                self.outgoing[hand] = MigrationSource.recover(
                    sealed, w.CommittedRecord in records_by_type, self.limits, now_us
                )
                self.migration_by_key[sealed.key] = hand
            elif (
                isinstance(stored, w.StoredRecord)
                and w.RefusedRecord not in records_by_type
            ):
                number = (
                    tail_accepted.number
                    if isinstance(tail_accepted, w.TailAcceptedRecord)
                    else 0
                )
                self.incoming[hand] = MigrationTarget.recover(
                    stored,
                    w.ActivatedRecord in records_by_type,
                    w.FinalizedRecord in records_by_type,
                    number,
                    self.limits,
                    now_us,
                )
                self.migration_by_key[stored.key] = hand
        return {core.key: core.state for core in self.migrations()}

    def checkpoint(self) -> list[w.Record]:
        """What must stay when the journal is compacted, beside the records of the open
        hand-overs.
        """
        return [w.RefusedRecord(hand) for _, hand in sorted(self.refused_up_to.items())]
