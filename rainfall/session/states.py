"""States of a hand-over, what its cores hear beside frames, what they want done, and
their limits.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from typing import Literal

from rainfall.session.protocol import (
    Frame,
    LeaseToken,
    MigrationId,
    Record,
    TransferredMessage,
)

Side = Literal["giver", "taker"]
Ruling = Literal["giver", "taker", "wait"]


class MigrationState(Enum):
    HELD = "held"
    OFFERED = "offered"
    FROZEN = "frozen"
    COPIED = "copied"
    COMMITTED = "committed"
    TAIL = "tail"
    DONE = "done"
    ABORTED = "aborted"


# Events, beside the frames of `words`.


@dataclass(frozen=True, slots=True)
class StartMigration:
    """Hand it over; decided by `choose` or an operator."""

    messages: int = 0
    bytes: int = 0


@dataclass(frozen=True, slots=True)
class SessionQuiesced:
    """After `Freeze`: no call of the session is out.

    All its messages in order (times by our clock; one whose call was closed without an
    answer says that it may have run) and the ids it remembers against repeats.
    """

    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordPersisted:
    """A record that was asked for is on disk."""

    record: Record


@dataclass(frozen=True, slots=True)
class RecordWriteFailed:
    """It could not be written, or nobody knows whether it was: a disk that is full, or
    failed.
    """

    record: Record


@dataclass(frozen=True, slots=True)
class Verdict:
    """The arbiter's word."""

    migration_id: MigrationId
    ruling: Ruling


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A client hands in a message of this key; it is not answered yet."""

    item: TransferredMessage
    arrived_at_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """A client whose message waits has gone."""

    id: str


@dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """After `Tail`: no connection that has brought messages of this key is open any
    more.
    """


@dataclass(frozen=True, slots=True)
class MessageExpired:
    """The time of a copied message is up, for a taker in doubt (`offer_us` after its
    due).
    """

    id: str


@dataclass(frozen=True, slots=True)
class Retry:
    """Said every `retry_us`: whatever is not answered may have been lost."""


@dataclass(frozen=True, slots=True)
class Timeout:
    """The state's limit is over."""


@dataclass(frozen=True, slots=True)
class LinkLost:
    pass


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Our own lease is out by our own clock."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """We hold a lease again (or after a start), under this token."""

    lease_token: LeaseToken


@dataclass(frozen=True, slots=True)
class CancelMigration:
    """Not to be handed over after all."""


@dataclass(frozen=True, slots=True)
class TargetDraining:
    """The taker itself drains."""


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    frame: Frame


@dataclass(frozen=True, slots=True)
class PersistRecord:
    """Write it, sync it, then say `Kept`; what follows from it waits until then."""

    record: Record


@dataclass(frozen=True, slots=True)
class Freeze:
    """No further call of the session leaves; say `Quiet` once none is out.

    Until told otherwise the engine only ends messages whose time is up.
    """


@dataclass(frozen=True, slots=True)
class CloseCalls:
    """Close the calls that are still out: they may have run."""


@dataclass(frozen=True, slots=True)
class Resume:
    """The session is ours: go on with it."""


@dataclass(frozen=True, slots=True)
class ImportSession:
    """The session is to be ours: recall these messages in order and these ids, and wait
    for `Resume`.
    """

    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Halt:
    """The session may be another's: like `Freeze`, and what is out is not repeated."""


@dataclass(frozen=True, slots=True)
class ReleaseSession:
    """Its messages are the other side's: forget them without an end."""


@dataclass(frozen=True, slots=True)
class FailAll:
    """End every message of the session that is held here by `failed`."""


@dataclass(frozen=True, slots=True)
class FailMessage:
    id: str


@dataclass(frozen=True, slots=True)
class AcceptMessage:
    """Take it on as if it arrived now; `answer`: and answer its client."""

    item: TransferredMessage
    answer_client: bool = True


@dataclass(frozen=True, slots=True)
class AnswerAccepted:
    """202: the taker has taken it on."""

    id: str


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """503 with Retry-After: nobody has taken it on, and nobody will."""

    id: str
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class StartTail:
    """The taker has it (`where` learns it): say `TailOver` once no client's connection
    is left, which may be at once.
    """


@dataclass(frozen=True, slots=True)
class AskArbiter:
    """Ask the arbiter; a lost question or answer is asked again by the next `Retry`."""

    migration_id: MigrationId
    side: Side
    other_member: str
    committed: bool = False
    """The giver has committed: only where the taker is lost may it have the session
    back.
    """
    unknown_to_source: bool = False
    """The giver, asked by the taker, has no record of it."""
    cede: bool = False
    """The giver, which asked before, wants the taker to have it for good; or the taker
    acts by its word.
    """


@dataclass(frozen=True, slots=True)
class ConfirmVerdict:
    """Tell the arbiter that its word is carried out here and on disk."""

    migration_id: MigrationId
    side: Side


@dataclass(frozen=True, slots=True)
class MigrationFinished:
    """This core is done with; the desk may forget it."""


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


@dataclass(frozen=True, slots=True)
class Limits:
    """Microseconds, counts and bytes. `faults` names what cannot hold."""

    offer_us: int = 200_000
    """An answer to an offer that comes later is not used; it bounds by how much a
    taker's due is early.
    """
    calls_us: int = 300_000
    """How long calls that are out are waited for."""
    freeze_us: int = 600_000
    copy_us: int = 1_000_000
    commit_us: int = 600_000_000
    """Longer than any message may live: a doubt that nobody could end is over then, and
    all it was about.
    """
    tail_us: int = 30_000_000
    retry_us: int = 100_000
    ask_us: int = 500_000
    """In doubt for so long, the arbiter is asked."""
    hold_us: int = 250_000
    """How long a client's message waits for the owner; clients leave after 400 ms."""
    hold_messages: int = 64
    hold_bytes: int = 1 << 20
    refuse_us: int = 500_000
    """Retry-After of what is refused meanwhile."""
    least_left_us: int = 1_000_000
    """No session is handed over while one of its messages has less time left."""
    session_messages: int = 1_000
    session_bytes: int = 8 << 20
    memory: int = 256
    at_once: int = 8
    """Hand-overs that are out, and again as many that come in."""
    all_bytes: int = 32 << 20
    """What all of them together may hold, in each direction."""
    drift: float = 0.02

    def validation_errors(self) -> list[str]:
        """All of them, each beginning with its field; empty where the limits hold."""
        found = [
            f"{f.name}: must be above 0"
            for f in fields(self)
            if not getattr(self, f.name) > 0
        ]
        for low, high in (
            ("calls_us", "freeze_us"),
            ("retry_us", "offer_us"),
            ("hold_bytes", "all_bytes"),
            ("session_bytes", "all_bytes"),
            ("offer_us", "least_left_us"),
            ("tail_us", "commit_us"),
        ):
            if getattr(self, low) >= getattr(self, high):
                found.append(f"{low}: must be below {high}")
        if self.drift >= 0.5:
            found.append("drift: must be below 0.5")
        return found
