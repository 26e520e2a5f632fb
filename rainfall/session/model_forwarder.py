"""A forwarder in the model of a migration.

It has the real migration manager, and the least engine and disk that can fail.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass, field, fields
from operator import attrgetter
from typing import Any, TypeVar

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.migration_manager import KeyedActions, MigrationManager
from rainfall.session.states import Limits

KEY = "k"
LIMITS = Limits(ask_us=0, calls_us=0, least_left_us=1, drift=0.0)
FIELDS_NOT_COMPARED = (
    "state_entered_at_us",
    "state_deadline_us",
    "limits",
    "migration_id",
    "key",
    "target",
    "target_site",
    "reason",
    "request",
    "heard_us",
)


CopiedType = TypeVar("CopiedType")


_getters: dict[tuple[type, tuple[str, ...]], Callable[[Any], tuple[Any, ...]]] = {}


def _getter(cls: type, but: tuple[str, ...] = ()) -> Callable[[Any], tuple[Any, ...]]:
    if (cls, but) not in _getters:
        _getters[cls, but] = attrgetter(
            *(f.name for f in fields(cls) if f.name not in but)
        )
    return _getters[cls, but]


def _copy(one: CopiedType) -> CopiedType:
    """Copy a dataclass; the search does it millions of times, and copy.copy is slower."""
    return type(one)(*_getter(type(one))(one))


_numbers: dict[Hashable, int] = {}


def _alike(key: Hashable) -> int:
    """Return one number for all equal keys, so that a key is hashed only once."""
    return _numbers.setdefault(key, len(_numbers))


@dataclass(slots=True)
class ModelForwarder:
    """One forwarder, as far as the migration concerns it."""

    name: str
    incarnation: int = 1
    """Also its clock: the migration only compares stamps of this start with those of the
    one before.
    """
    may_act: bool = False
    """Whether its engine may begin a call of the session, if the lease allows it."""
    alive: bool = True
    freezing: bool = False
    call_in_flight: int | None = None
    queue: tuple[tuple[int, bool], ...] = ()
    """On disk: messages in order, and whether each may have been executed."""
    remembered_ids: tuple[str, ...] = ()
    disk: tuple[w.Record, ...] = ()
    unapplied: tuple[w.Record, ...] = ()
    """Records on disk that the engine has not acted on: a restart will."""
    writing: tuple[w.Record, ...] = ()
    owned_at_start: bool = False
    """Whether the session began here."""
    manager: MigrationManager = field(
        default_factory=lambda: MigrationManager("", LIMITS)
    )
    cached_key: Hashable = None

    @staticmethod
    def of(name: str, owns: bool, ids: tuple[int, ...] = ()) -> ModelForwarder:
        """Return a forwarder at the start, with these messages if it owns the session."""
        return ModelForwarder(
            name,
            may_act=owns,
            queue=tuple((i, False) for i in ids),
            remembered_ids=("0",) if owns else (),
            owned_at_start=owns,
            manager=MigrationManager(name, LIMITS, lease_token=(1, 1)),
        )

    def fork(self) -> ModelForwarder:
        """Return a copy that may be changed."""
        twin, manager = _copy(self), _copy(self.manager)
        manager.outgoing = {h: _copy(c) for h, c in manager.outgoing.items()}
        manager.incoming = {h: _copy(c) for h, c in manager.incoming.items()}
        manager.refused_up_to, manager.migration_by_key, manager.finished = (
            dict(manager.refused_up_to),
            dict(manager.migration_by_key),
            dict(manager.finished),
        )
        twin.manager, twin.cached_key = manager, None
        return twin

    def key(self) -> Hashable:
        """Return a key that is equal for forwarders that behave alike.

        It is made once: a forwarder of a state that others can see never changes.
        """
        if self.cached_key is None:
            manager = self.manager
            cores = tuple(
                (c.migration_id, _getter(type(c), FIELDS_NOT_COMPARED)(c))
                for c in manager.migrations()
            )
            self.cached_key = _alike(
                (
                    self.incarnation,
                    self.may_act,
                    self.alive,
                    self.freezing,
                    self.call_in_flight,
                    self.queue,
                    self.remembered_ids,
                    self.disk,
                    self.unapplied,
                    self.writing,
                    cores,
                    tuple(manager.refused_up_to.items()),
                    tuple(manager.finished.items()),
                    manager.lease_token,
                    manager.last_sequence,
                )
            )
        return self.cached_key

    # Events of the migration manager

    def give(self) -> KeyedActions:
        """Start the migration."""
        return self.manager.start_migration(
            KEY, "t", "a", "test", 1, s.StartMigration(), self.incarnation
        )

    def hear(self, what: object) -> KeyedActions:
        """Handle a verdict or a frame of the other side."""
        if isinstance(what, s.Verdict):
            return self.manager.handle_verdict(what, self.incarnation)
        assert isinstance(what, w.Frame)
        return self.manager.handle_frame(
            "t" if self.name == "g" else "g", what, self.incarnation
        )

    def arrive(self, name: str) -> KeyedActions | None:
        """Handle a client's message; None where the session is not being migrated."""
        return self.manager.handle_session_event(
            KEY,
            s.MessageArrived(w.TransferredMessage(name, "", 0, 100), self.incarnation),
            self.incarnation,
        )

    def tell(self, event: object) -> KeyedActions:
        """Handle any other event."""
        if isinstance(event, (s.Retry, s.Timeout, s.MessageExpired)):
            return [
                a
                for c in self.manager.migrations()
                for a in self.manager.handle_event(c, event, self.incarnation)
            ]
        return self.manager.handle_session_event(KEY, event, self.incarnation) or []

    def quiet(self, fateless: bool, forgetful: bool) -> KeyedActions:
        """Report that no call is in flight; the parameters are mutations of the model."""
        items = tuple(
            w.TransferredMessage(
                str(n), "", 0, 100, executed_at_us=0 if ran and not fateless else None
            )
            for n, ran in self.queue
        )
        self.freezing = False
        return self.tell(
            s.SessionQuiesced(items, () if forgetful else self.remembered_ids)
        )

    def events(self) -> Iterator[tuple[str, object]]:
        """Yield the events that may come by themselves, each with the kind of its step.

        Time limits that no message outlives are left out.
        """
        if self.manager.migrations():
            yield "retry", s.Retry()
        limited = [
            s.MigrationState.OFFERED,
            s.MigrationState.TAIL,
            s.MigrationState.FROZEN,
            s.MigrationState.COPIED,
        ]
        if any(c.state in limited for c in self.manager.outgoing.values()) or any(
            c.state in limited[:2] for c in self.manager.incoming.values()
        ):
            yield "late", s.Timeout()
        if any(
            c.state is s.MigrationState.TAIL and not c.no_connections_left
            for c in self.manager.outgoing.values()
        ):
            yield "fair", s.ConnectionsClosed()

    # Actions that concern this forwarder alone

    def carry_out(self, action: s.Action) -> None:
        """Do what the migration manager demands of the engine and the disk."""
        match action:
            case s.PersistRecord(record):
                self.writing = (*self.writing, record)
            case s.Freeze():
                self.may_act, self.freezing = False, True
            case s.CloseCalls():
                self.call_in_flight = None
            case s.Halt():
                self.may_act = False
            case s.Resume():
                self.may_act, self.freezing = True, False
            case s.ImportSession(items, memory):
                self.recall(items, memory)
            case s.ReleaseSession():
                self.queue = ()

    def recall(
        self, items: tuple[w.TransferredMessage, ...], memory: tuple[str, ...]
    ) -> None:
        """Restore messages and remembered ids from a copy."""
        self.queue = (
            *self.queue,
            *((int(i.id), i.executed_at_us is not None) for i in items),
        )
        self.remembered_ids = memory

    # The disk

    def write(self, ok: bool, reached: bool) -> KeyedActions:
        """End the first write: whether it is reported as done, and reached the disk."""
        record, *rest = self.writing
        self.writing = tuple(rest)
        if reached:
            self.disk = (*self.disk, record)
            self.unapplied = (
                tuple(r for r in self.unapplied if r != record)
                if ok
                else (*self.unapplied, record)
            )
        return self.manager.handle_write_result(record, ok, self.incarnation)

    def crash(self, reached: bool) -> None:
        """Lose what is in memory; `reached`: writes under way have reached the disk.

        The queue is on disk as well, and so is what the records demand of it.
        """
        if reached:
            self.disk, self.unapplied = (
                (*self.disk, *self.writing),
                (*self.unapplied, *self.writing),
            )
        for record in self.unapplied:
            match record:
                case w.ActivatedRecord(hand) if w.RefusedRecord(hand) not in self.disk:
                    stored = next(
                        r
                        for r in self.disk
                        if isinstance(r, w.StoredRecord) and r.migration_id == hand
                    )
                    if all(
                        str(n) not in [i.id for i in stored.items]
                        for n, _ in self.queue
                    ):
                        self.recall(stored.items, stored.remembered_ids)
                case w.TailAcceptedRecord(_, _, item) if (
                    int(item.id),
                    False,
                ) not in self.queue:
                    self.queue = (*self.queue, (int(item.id), False))
                case w.ReleasedRecord():
                    self.queue = ()
        self.unapplied = self.writing = ()
        self.alive = self.may_act = self.freezing = False
        self.manager = MigrationManager(self.name, LIMITS)

    def restart(self) -> int | None:
        """Start again; returns the call that was in flight, if any."""
        cut, self.call_in_flight, self.alive, self.may_act = (
            self.call_in_flight,
            None,
            True,
            self.owned_at_start,
        )
        self.manager.recover(self.disk, self.incarnation + 1)
        for record in self.disk:
            if isinstance(
                record, (w.SealedRecord, w.ReclaimedRecord, w.FinalizedRecord)
            ):
                self.may_act = not isinstance(record, w.SealedRecord)
        return cut
