"""The actions of a migration: what its caller has to do, in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from rainfall.session.frames import Frame
from rainfall.session.messages import MigrationId, TransferredMessage
from rainfall.session.records import Record

Side = Literal["giver", "taker"]
"""The source or the target, as the arbiter's frames and journal name them."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a frame to the other side."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Write and sync a record, then report `RecordPersisted`.

    What follows from the record waits until then.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Freeze:
    """Start no more calls of the session; report `SessionQuiesced` once none is left.

    Until `Resume` the engine only ends messages that expire.
    """


@dataclass(frozen=True, slots=True)
class CloseCalls:
    """Close the calls in flight; each may have been executed."""


@dataclass(frozen=True, slots=True)
class Resume:
    """This member owns the session: go on with it."""


@dataclass(frozen=True, slots=True)
class ImportSession:
    """Restore these messages in order, and the remembered ids, and wait for `Resume`."""

    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Halt:
    """The session may be another member's: freeze it, and retry nothing in flight."""


@dataclass(frozen=True, slots=True)
class ReleaseSession:
    """The messages are the other side's: forget them without an outcome."""


@dataclass(frozen=True, slots=True)
class FailAll:
    """End each message of the session that is stored here as failed."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    """End a message as failed."""

    id: str


@dataclass(frozen=True, slots=True)
class AcceptMessage:
    """Accept a message as if it arrived now, and answer its client if asked to."""

    item: TransferredMessage
    answer_client: bool = True


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """Answer 202: the target has accepted the message."""

    id: str


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Answer 503 with Retry-After: nobody has accepted the message, and nobody will."""

    id: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class StartTail:
    """The target owns the session: report `ConnectionsClosed` once that holds.

    The session directory learns the new owner. It may hold at once.
    """


@dataclass(frozen=True, slots=True)
class AskArbiter:
    """Ask the arbiter who owns the session; the next `Retry` asks again."""

    migration_id: MigrationId
    side: Side
    other_member: str
    committed: bool = False
    """The source has committed: it may reclaim the session only if the target is lost."""
    unknown_to_source: bool = False
    """The source, asked by the target, has no record of the migration."""
    cede: bool = False
    """The source, which asked before, wants the target to own the session; or the target
    acts on the source's commit.
    """


@dataclass(frozen=True, slots=True)
class ConfirmVerdict:
    """Tell the arbiter that its verdict is carried out and on disk here."""

    migration_id: MigrationId
    side: Side


@dataclass(frozen=True, slots=True)
class MigrationFinished:
    """This side is finished; the migration manager may forget it."""


Action = (
    Send
    | PersistRecord
    | Freeze
    | CloseCalls
    | Resume
    | ImportSession
    | Halt
    | ReleaseSession
    | FailAll
    | FailMessage
    | AcceptMessage
    | AnswerAccepted
    | RejectMessage
    | StartTail
    | AskArbiter
    | ConfirmVerdict
    | MigrationFinished
)
Actions = tuple[Action, ...]
