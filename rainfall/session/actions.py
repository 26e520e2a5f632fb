"""Actions that a migration returns; the caller carries them out in order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from rainfall.session.frames import Frame
from rainfall.session.messages import MigrationId, TransferredMessage
from rainfall.session.records import Record

Side = Literal["giver", "taker"]
"""A side of a migration: `giver` is the source and `taker` the target.

The arbiter's frames and its journal use these values.
"""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a frame to the other side."""

    frame: Frame


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Write and sync a record, then report `RecordPersisted` or `RecordWriteFailed`.

    Actions that depend on the record are returned only after it is on disk.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Freeze:
    """Start no more calls of the session; report `SessionQuiesced` once none is left.

    Until `Resume` the engine only fails messages that expire.
    """


@dataclass(frozen=True, slots=True)
class CloseCalls:
    """Close the calls in flight; the endpoint may have executed each of them."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Resume calls of the session, which this member owns."""


@dataclass(frozen=True, slots=True)
class ImportSession:
    """Restore the copied messages in order and the remembered ids; wait for `Resume`."""

    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Halt:
    """Freeze the session and retry no call in flight: another member may own it."""


@dataclass(frozen=True, slots=True)
class ReleaseSession:
    """Remove the session's messages without an outcome: the other side owns them."""


@dataclass(frozen=True, slots=True)
class FailAll:
    """Fail each message of the session that is stored here."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    """Fail one message."""

    id: str


@dataclass(frozen=True, slots=True)
class AcceptMessage:
    """Accept a message as if it arrived now; `answer_client`: also answer its client."""

    item: TransferredMessage
    answer_client: bool = True


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """Answer 202: the target has accepted the message."""

    id: str


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Answer 503 with Retry-After: neither side has accepted the message or will."""

    id: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class StartTail:
    """Record the target as owner in the session directory.

    Report `ConnectionsClosed` once all connections that brought messages of the session
    are closed, which may be the case at once.
    """


@dataclass(frozen=True, slots=True)
class AskArbiter:
    """Request a verdict on the session's owner; the next `Retry` repeats the request."""

    migration_id: MigrationId
    side: Side
    other_member: str
    committed: bool = False
    """Whether the source has committed.

    A committed source may reclaim the session only if the target's lease is lost.
    """
    unknown_to_source: bool = False
    """Whether the source has replied to the target that it has no such migration."""
    cede: bool = False
    """Whether the sender requires a verdict for the target.

    Set by a source that has sent a request before, and by a target that acts on the
    source's commit.
    """


@dataclass(frozen=True, slots=True)
class ConfirmVerdict:
    """Report to the arbiter that its verdict is applied and on disk here."""

    migration_id: MigrationId
    side: Side


@dataclass(frozen=True, slots=True)
class MigrationFinished:
    """This side is finished; the migration manager may drop it."""


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
