"""The events of a migration, beside the frames that arrive."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from rainfall.session.messages import LeaseToken, MigrationId, TransferredMessage
from rainfall.session.records import Record

Ruling = Literal["giver", "taker", "wait"]
"""Who owns the session: the source, the target, or it is not decided yet."""


@dataclass(frozen=True, slots=True)
class StartMigration:
    """The migration policy or an operator wants the session migrated."""

    messages: int = 0
    bytes: int = 0


@dataclass(frozen=True, slots=True)
class SessionQuiesced:
    """After `Freeze`: no call of the session is in flight.

    `items` are all its messages in order, with times by the local clock; one whose call
    was closed without an answer says that it may have been executed. `remembered_ids`
    are those that the session rejects as repeats.
    """

    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordPersisted:
    """A record is on disk."""

    record: Record


@dataclass(frozen=True, slots=True)
class RecordWriteFailed:
    """The disk is full or failed: the record may be written, or not."""

    record: Record


@dataclass(frozen=True, slots=True)
class Verdict:
    """The arbiter's answer."""

    migration_id: MigrationId
    ruling: Ruling


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A client has submitted a message of this key; it is not answered yet."""

    item: TransferredMessage
    arrived_at_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a buffered message has left."""

    id: str


@dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """After `StartTail`: each connection that brought messages of this key is closed."""


@dataclass(frozen=True, slots=True)
class MessageExpired:
    """A copied message has expired for a target in doubt.

    That is `offer_us` after its deadline.
    """

    id: str


@dataclass(frozen=True, slots=True)
class Retry:
    """Comes every `retry_us`: whatever is not answered may have been lost."""


@dataclass(frozen=True, slots=True)
class Timeout:
    """The state's time limit is over."""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to the other side is lost."""


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This member's lease has expired by its own clock."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This member holds a lease, for the first time or again."""

    lease_token: LeaseToken


@dataclass(frozen=True, slots=True)
class CancelMigration:
    """The migration is no longer wanted."""


@dataclass(frozen=True, slots=True)
class TargetDraining:
    """The target itself is draining."""
