"""The states of a migration; re-exports its events, actions and limits for both sides."""

from __future__ import annotations

from enum import Enum

from rainfall.session.actions import (
    AcceptMessage,
    Action,
    Actions,
    AnswerAccepted,
    AskArbiter,
    CloseCalls,
    ConfirmVerdict,
    FailAll,
    FailMessage,
    Freeze,
    Halt,
    ImportSession,
    MigrationFinished,
    PersistRecord,
    RejectMessage,
    ReleaseSession,
    Resume,
    Send,
    Side,
    StartTail,
)
from rainfall.session.events import (
    CancelMigration,
    ClientDisconnected,
    ConnectionsClosed,
    LeaseAcquired,
    LeaseLost,
    LinkLost,
    MessageArrived,
    MessageExpired,
    RecordPersisted,
    RecordWriteFailed,
    Retry,
    Ruling,
    SessionQuiesced,
    StartMigration,
    TargetDraining,
    Timeout,
    Verdict,
)
from rainfall.session.limits import Limits

__all__ = [
    "AcceptMessage",
    "Action",
    "Actions",
    "AnswerAccepted",
    "AskArbiter",
    "CancelMigration",
    "ClientDisconnected",
    "CloseCalls",
    "ConfirmVerdict",
    "ConnectionsClosed",
    "FailAll",
    "FailMessage",
    "Freeze",
    "Halt",
    "ImportSession",
    "LeaseAcquired",
    "LeaseLost",
    "Limits",
    "LinkLost",
    "MessageArrived",
    "MessageExpired",
    "MigrationFinished",
    "MigrationState",
    "PersistRecord",
    "RecordPersisted",
    "RecordWriteFailed",
    "RejectMessage",
    "ReleaseSession",
    "Resume",
    "Retry",
    "Ruling",
    "Send",
    "SessionQuiesced",
    "Side",
    "StartMigration",
    "StartTail",
    "TargetDraining",
    "Timeout",
    "Verdict",
]


class MigrationState(Enum):
    """The states of either side; the values are those of docs/parts/session.md."""

    HELD = "held"
    """The source owns the session, and no migration is in progress."""
    OFFERED = "offered"
    """The source has offered the session; the target collects its copy."""
    FROZEN = "frozen"
    """The source starts no more calls of the session."""
    COPIED = "copied"
    """The target may have the copy on disk."""
    COMMITTED = "committed"
    """The source has committed to the target, and has not released the session yet."""
    TAIL = "tail"
    """The target owns the session; the source forwards messages that still arrive there."""
    DONE = "done"
    """This side is finished."""
    ABORTED = "aborted"
    """The source is to keep the session, and the target to refuse it."""
