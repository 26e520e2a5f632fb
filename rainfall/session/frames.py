"""Frames that the two sides of a migration exchange.

Each frame is an array on the wire: its tag, the migration's id, then the fields in order.
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
"""`taken`: accepted; `refused`: rejected; `again`: the source must send it again."""


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all frames of a migration."""

    migration_id: MigrationId


class Offer(Frame, frozen=True, tag="offer"):
    """The source offers a session to the target.

    `messages` and `bytes` are its size; `migration_count` is the number of its migrations,
    this one included.
    """

    key: Identifier
    site: ShortText
    reason: ShortText
    messages: Count
    bytes: Count
    migration_count: Count


class Accept(Frame, frozen=True, tag="accept"):
    """The target accepts the offer; times in the copy count from `stamp_us`."""

    stamp_us: TimeUs


class Decline(Frame, frozen=True, tag="no"):
    """Either side withdraws before the commit."""

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

    A target in doubt about the session's owner sends it again, as a query.
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
    """The target has a record on disk that it will never activate the session."""


class UnknownMigration(Frame, frozen=True, tag="forgot"):
    """The source has no record of the migration."""


class TailMessage(Frame, frozen=True, tag="pass"):
    """A message that arrived at the source and is forwarded in the tail."""

    stamp_us: TimeUs
    number: Count
    valid_until_us: TimeUs
    """The message must not be accepted later: its client may have disconnected."""
    item: TransferredMessage


class TailMessageResult(Frame, frozen=True, tag="passed"):
    """The target's result of a tail message."""

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
