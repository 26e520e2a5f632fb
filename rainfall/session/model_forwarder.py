"""A forwarder in the model of a migration.

It has the real migration manager, and a minimal engine and disk that can fail.
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


def _getter(
    cls: type, excluded: tuple[str, ...] = ()
) -> Callable[[Any], tuple[Any, ...]]:
    if (cls, excluded) not in _getters:
        _getters[cls, excluded] = attrgetter(
            *(
                field_info.name
                for field_info in fields(cls)
                if field_info.name not in excluded
            )
        )
    return _getters[cls, excluded]


def _copy(instance: CopiedType) -> CopiedType:
    """Copy a dataclass. A search does so millions of times, and `copy.copy` is slower."""
    return type(instance)(*_getter(type(instance))(instance))


_key_numbers: dict[Hashable, int] = {}


def _intern_key(key: Hashable) -> int:
    """Return the same number for all equal keys, so that each key is hashed only once."""
    return _key_numbers.setdefault(key, len(_key_numbers))


@dataclass(slots=True)
class ModelForwarder:
    """One forwarder, reduced to the parts that a migration uses."""

    name: str
    incarnation: int = 1
    """Number of this process's start or lease; also its clock, as a migration only compares
    stamps of this start with those of the one before.
    """
    may_act: bool = False
    """Whether its engine may start calls of the session while it holds a lease."""
    alive: bool = True
    freezing: bool = False
    call_in_flight: int | None = None
    queue: tuple[tuple[int, bool], ...] = ()
    """The messages on disk in order, each with whether it may have been executed."""
    remembered_ids: tuple[str, ...] = ()
    disk: tuple[w.Record, ...] = ()
    unapplied: tuple[w.Record, ...] = ()
    """Records on disk that the engine has not applied; a restart applies them."""
    writing: tuple[w.Record, ...] = ()
    owned_at_start: bool = False
    """Whether it owned the session in the initial state."""
    manager: MigrationManager = field(
        default_factory=lambda: MigrationManager("", LIMITS)
    )
    cached_key: Hashable = None

    @staticmethod
    def initial(
        name: str, owns_session: bool, message_numbers: tuple[int, ...] = ()
    ) -> ModelForwarder:
        """Return a forwarder in the initial state, with messages if it owns the session."""
        return ModelForwarder(
            name,
            may_act=owns_session,
            queue=tuple((number, False) for number in message_numbers),
            remembered_ids=("0",) if owns_session else (),
            owned_at_start=owns_session,
            manager=MigrationManager(name, LIMITS, lease_token=(1, 1)),
        )

    def fork(self) -> ModelForwarder:
        """Return a copy that may be modified."""
        copied, manager = _copy(self), _copy(self.manager)
        manager.outgoing = {
            migration_id: _copy(side) for migration_id, side in manager.outgoing.items()
        }
        manager.incoming = {
            migration_id: _copy(side) for migration_id, side in manager.incoming.items()
        }
        manager.refused_up_to, manager.migration_by_key, manager.finished = (
            dict(manager.refused_up_to),
            dict(manager.migration_by_key),
            dict(manager.finished),
        )
        copied.manager, copied.cached_key = manager, None
        return copied

    def key(self) -> Hashable:
        """Return a key that is equal for forwarders with the same behaviour.

        It is computed once: the forwarder of a state that was returned is never modified.
        """
        if self.cached_key is None:
            manager = self.manager
            sides = tuple(
                (side.migration_id, _getter(type(side), FIELDS_NOT_COMPARED)(side))
                for side in manager.migrations()
            )
            self.cached_key = _intern_key(
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
                    sides,
                    tuple(manager.refused_up_to.items()),
                    tuple(manager.finished.items()),
                    manager.lease_token,
                    manager.last_sequence,
                )
            )
        return self.cached_key

    # Events of the migration manager

    def start_migration(self) -> KeyedActions:
        """Start the migration of the session to the target."""
        return self.manager.start_migration(
            KEY, "t", "a", "test", 1, s.StartMigration(), self.incarnation
        )

    def receive(self, content: object) -> KeyedActions:
        """Handle a verdict, or a frame of the other side."""
        if isinstance(content, s.Verdict):
            return self.manager.handle_verdict(content, self.incarnation)
        assert isinstance(content, w.Frame)
        return self.manager.handle_frame(
            "t" if self.name == "g" else "g", content, self.incarnation
        )

    def submit(self, message_id: str) -> KeyedActions | None:
        """Handle a client's message; None where the session is not being migrated."""
        return self.manager.handle_session_event(
            KEY,
            s.MessageArrived(
                w.TransferredMessage(message_id, "", 0, 100), self.incarnation
            ),
            self.incarnation,
        )

    def handle(self, event: object) -> KeyedActions:
        """Handle an event of the session, or one for all migrations."""
        if isinstance(event, (s.Retry, s.Timeout, s.MessageExpired)):
            return [
                action
                for side in self.manager.migrations()
                for action in self.manager.handle_event(side, event, self.incarnation)
            ]
        return self.manager.handle_session_event(KEY, event, self.incarnation) or []

    def report_quiesced(
        self, omit_executed_times: bool, omit_remembered_ids: bool
    ) -> KeyedActions:
        """Report that no call is in flight; the parameters switch mutations on."""
        items = tuple(
            w.TransferredMessage(
                str(number),
                "",
                0,
                100,
                executed_at_us=0
                if may_be_executed and not omit_executed_times
                else None,
            )
            for number, may_be_executed in self.queue
        )
        self.freezing = False
        return self.handle(
            s.SessionQuiesced(items, () if omit_remembered_ids else self.remembered_ids)
        )

    def events(self) -> Iterator[tuple[str, object]]:
        """Yield the events that no message causes, each with the kind of its step.

        Time limits longer than the lifetime of any message are left out.
        """
        if self.manager.migrations():
            yield "retry", s.Retry()
        states_with_timeout = [
            s.MigrationState.OFFERED,
            s.MigrationState.TAIL,
            s.MigrationState.FROZEN,
            s.MigrationState.COPIED,
        ]
        if any(
            side.state in states_with_timeout for side in self.manager.outgoing.values()
        ) or any(
            side.state in states_with_timeout[:2]
            for side in self.manager.incoming.values()
        ):
            yield "late", s.Timeout()
        if any(
            side.state is s.MigrationState.TAIL and not side.no_connections_left
            for side in self.manager.outgoing.values()
        ):
            yield "fair", s.ConnectionsClosed()

    # Actions on this forwarder

    def apply_action(self, action: s.Action) -> None:
        """Carry out an action of the migration manager on the engine or the disk."""
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
            case s.ImportSession(items, remembered_ids):
                self.import_session(items, remembered_ids)
            case s.ReleaseSession():
                self.queue = ()

    def import_session(
        self, items: tuple[w.TransferredMessage, ...], remembered_ids: tuple[str, ...]
    ) -> None:
        """Restore messages and remembered ids from a copy."""
        self.queue = (
            *self.queue,
            *((int(item.id), item.executed_at_us is not None) for item in items),
        )
        self.remembered_ids = remembered_ids

    # The disk

    def finish_write(self, reported_ok: bool, reached_disk: bool) -> KeyedActions:
        """Finish the oldest write.

        `reported_ok`: it is reported as successful; `reached_disk`: the record is on disk.
        """
        record, *rest = self.writing
        self.writing = tuple(rest)
        if reached_disk:
            self.disk = (*self.disk, record)
            self.unapplied = (
                tuple(other for other in self.unapplied if other != record)
                if reported_ok
                else (*self.unapplied, record)
            )
        return self.manager.handle_write_result(record, reported_ok, self.incarnation)

    def crash(self, writes_reached_disk: bool) -> None:
        """Lose all state in memory; optionally, writes in progress have reached the disk.

        The queue is on disk, so changes to it that the records imply are applied here.
        """
        if writes_reached_disk:
            self.disk, self.unapplied = (
                (*self.disk, *self.writing),
                (*self.unapplied, *self.writing),
            )
        for record in self.unapplied:
            match record:
                case w.ActivatedRecord(migration_id) if (
                    w.RefusedRecord(migration_id) not in self.disk
                ):
                    stored = next(
                        other
                        for other in self.disk
                        if isinstance(other, w.StoredRecord)
                        and other.migration_id == migration_id
                    )
                    if all(
                        str(number) not in [copied.id for copied in stored.items]
                        for number, _ in self.queue
                    ):
                        self.import_session(stored.items, stored.remembered_ids)
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
        """Restart; return the number of the call that was in flight, or None."""
        interrupted, self.call_in_flight, self.alive, self.may_act = (
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
        return interrupted
