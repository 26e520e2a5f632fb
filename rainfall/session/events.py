"""Events of a migration other than received frames."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from rainfall.session.messages import LeaseToken, MigrationId, TransferredMessage
from rainfall.session.records import Record

Ruling = Literal["giver", "taker", "wait"]
"""The owner of the session: the source (`giver`), the target (`taker`), or undecided."""


@dataclass(frozen=True, slots=True)
class StartMigration:
    """The migration policy or an operator requests the migration of a session.

    `messages` and `bytes` are the size of the session, which the offer states.
    """

    messages: int = 0
    bytes: int = 0


@dataclass(frozen=True, slots=True)
class SessionQuiesced:
    """No call of the session is in flight any more; follows `Freeze`.

    `items` are all its messages in order, with times by the local clock; a message whose
    call was closed without an answer is marked as possibly executed. `remembered_ids`
    are the ids that the session rejects as repeats.
    """

    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RecordPersisted:
    """A record is on disk."""

    record: Record


@dataclass(frozen=True, slots=True)
class RecordWriteFailed:
    """The write failed, as the disk is full or broken; the record may be on disk or not."""

    record: Record


@dataclass(frozen=True, slots=True)
class Verdict:
    """The arbiter's answer on the owner of a session."""

    migration_id: MigrationId
    ruling: Ruling


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A client has submitted a message of this key and waits for the answer."""

    item: TransferredMessage
    arrived_at_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a buffered message has disconnected."""

    id: str


@dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """All connections that brought messages of this key are closed; follows `StartTail`."""


@dataclass(frozen=True, slots=True)
class MessageExpired:
    """A copied message has expired at a target in doubt.

    There a message expires `offer_us` after its deadline.
    """

    id: str


@dataclass(frozen=True, slots=True)
class Retry:
    """Sent every `retry_us`: frames that are not answered may have been lost."""


@dataclass(frozen=True, slots=True)
class Timeout:
    """The time limit of the state has passed."""


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to the other side's forwarder was closed."""


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This member's lease has expired by its own clock."""


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This member holds a lease, for the first time or again."""

    lease_token: LeaseToken


@dataclass(frozen=True, slots=True)
class CancelMigration:
    """The migration policy or an operator cancels the migration."""


@dataclass(frozen=True, slots=True)
class TargetDraining:
    """This member, the target, has started to drain."""
