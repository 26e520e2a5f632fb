"""The frames that the two sides of a migration send each other.

Each is an array on the wire: its tag, the migration's id, then the fields in order.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from rainfall.session.messages import (
    ITEM_LIMIT,
    Count,
    Identifier,
    LeaseToken,
    MigrationId,
    ShortText,
    TimeUs,
    TransferredMessage,
)

TailOutcome = Literal["taken", "refused", "again"]
"""`taken`: accepted; `refused`: rejected; `again`: the target needs it again."""


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What all frames of a migration have."""

    migration_id: MigrationId


class Offer(Frame, frozen=True, tag="offer"):
    """The source asks whether the target would take a session.

    `migration_count` is how often it was migrated, this time included.
    """

    key: Identifier
    site: ShortText
    reason: ShortText
    messages: Count
    bytes: Count
    migration_count: Count


class Accept(Frame, frozen=True, tag="accept"):
    """The target would take it; the copy's times are to count from its stamp."""

    stamp_us: TimeUs


class Decline(Frame, frozen=True, tag="no"):
    """Either side gives up before the commit; it binds nobody."""

    reason: ShortText = ""


class CopyPart(Frame, frozen=True, tag="copy"):
    """A part of the session's copy; times count from the target's stamp."""

    stamp_us: TimeUs
    part: Count
    parts: Annotated[int, Meta(ge=1, le=ITEM_LIMIT)]
    items: Annotated[tuple[TransferredMessage, ...], Meta(max_length=ITEM_LIMIT)] = ()
    remembered_ids: Annotated[tuple[Identifier, ...], Meta(max_length=ITEM_LIMIT)] = ()


class CopyStored(Frame, frozen=True, tag="copied"):
    """The target has the copy on disk.

    It is sent again as a question by a target that does not know who owns the session.
    """

    lease_token: LeaseToken


class Commit(Frame, frozen=True, tag="commit"):
    """The target owns the session, if it still holds the lease of that token."""

    lease_token: LeaseToken


class Activated(Frame, frozen=True, tag="begun"):
    """The target acts on the session."""

    stamp_us: TimeUs


class Released(Frame, frozen=True, tag="closed"):
    """The source has released the session and can never reclaim it."""


class Abort(Frame, frozen=True, tag="drop"):
    """The source, which has not committed, wants to keep the session."""


class Aborted(Frame, frozen=True, tag="dropped"):
    """The target has recorded on disk that it will never activate the session."""


class UnknownMigration(Frame, frozen=True, tag="forgot"):
    """The source has no record of the migration."""


class TailMessage(Frame, frozen=True, tag="pass"):
    """A message that a client still sent to the source."""

    stamp_us: TimeUs
    number: Count
    valid_until_us: TimeUs
    """Its client may have left after that: it must not be accepted any more."""
    item: TransferredMessage


class TailMessageResult(Frame, frozen=True, tag="passed"):
    """Whether the target has accepted a tail message, or has to get it again."""

    number: Count
    outcome: TailOutcome
    stamp_us: TimeUs


class TailEnd(Frame, frozen=True, tag="end"):
    """No more tail messages will follow."""


FrameToTarget = (
    Offer
    | Decline
    | CopyPart
    | Commit
    | Abort
    | Released
    | UnknownMigration
    | TailMessage
    | TailEnd
)
FrameToSource = Accept | Decline | CopyStored | Activated | Aborted | TailMessageResult
