"""What the two sides of a hand-over say to each other, and what each writes down first.

All are msgspec structs that stand on the wire and on disk as arrays with a tag; bodies
are raw bytes. Times in a frame are microseconds from the zero point the frame names,
never another machine's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

BODY_LIMIT_BYTES = 65_536  # bytes of a message's body at most
# bytes of one Copy frame's content at most: a whole body and all beside it fit
PART_LIMIT_BYTES = 72_000
ITEM_LIMIT = 4_096  # messages or remembered ids in one frame at most
ITEM_OVERHEAD_BYTES = 400  # what an item costs beside its body and names

Identifier = Annotated[str, Meta(min_length=1, max_length=200)]
ShortText = Annotated[str, Meta(max_length=200)]
Count = Annotated[int, Meta(ge=0, lt=1 << 53)]
Body = Annotated[bytes, Meta(max_length=BODY_LIMIT_BYTES)]
TimeUs = Annotated[int, Meta(gt=-(1 << 60), lt=1 << 60)]
LeaseToken = tuple[Count, Count]
"""A member's lease token, `(epoch, number)`; a later life of the same name is
higher.
"""


class MigrationId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One hand-over's name.

    For one giver names only grow: its lease token, then a count within it.
    """

    source: Identifier
    epoch: Count
    lease_number: Count
    sequence: Count

    def __str__(self) -> str:
        return f"{self.source}.{self.epoch}.{self.lease_number}.{self.sequence}"


class TransferredMessage(msgspec.Struct, frozen=True, array_like=True):
    """A message as it goes over.

    `ran_us` is when it first may have run, None where it cannot have.
    """

    id: Identifier
    class_name: ShortText
    destination: Count
    deadline_us: TimeUs
    body: Body = b""
    idempotency_key: ShortText | None = None
    tenant: ShortText | None = None
    attempts: Count = 0
    max_attempts: Count = 0
    executed_at_us: TimeUs | None = None
    executed_on: ShortText = ""

    @property
    def size(self) -> int:
        return (
            len(self.body)
            + len(self.id)
            + len(self.idempotency_key or "")
            + ITEM_OVERHEAD_BYTES
        )


def with_relative_times(item: TransferredMessage, zero_us: int) -> TransferredMessage:
    """With its times counted from when the other side's stamp was heard (our clock,
    `zero_us`).
    """
    ran = None if item.executed_at_us is None else item.executed_at_us - zero_us
    return msgspec.structs.replace(
        item, deadline_us=item.deadline_us - zero_us, executed_at_us=ran
    )


def with_local_times(
    item: TransferredMessage, stamp_us: int, drift: float
) -> TransferredMessage:
    """With its times by our clock, in which `stamp_us` was given.

    The stamp was heard later than it was given, so no time comes out later than it
    truly is; the drift of two clocks is taken off as well.
    """
    ran = (
        None
        if item.executed_at_us is None
        else to_local_time(item.executed_at_us, stamp_us, drift)
    )
    return msgspec.structs.replace(
        item,
        deadline_us=to_local_time(item.deadline_us, stamp_us, drift),
        executed_at_us=ran,
    )


def to_local_time(told_us: int, stamp_us: int, drift: float) -> int:
    return stamp_us + told_us - round(abs(told_us) * drift)


CopyContent = tuple[tuple[TransferredMessage, ...], tuple[str, ...]]


def split_into_parts(
    items: Iterable[TransferredMessage], remembered_ids: Iterable[str]
) -> Iterator[CopyContent]:
    """A session in pieces that each fit a frame, in order; one empty piece where there
    is nothing.
    """
    messages: list[TransferredMessage] = []
    ids: list[str] = []
    size, any_yet = 0, False
    both: tuple[TransferredMessage | str, ...] = (*remembered_ids, *items)
    for one in both:
        added_size = (
            one.size if isinstance(one, TransferredMessage) else 4 * len(one) + 5
        )
        if (messages or ids) and (
            size + added_size > PART_LIMIT_BYTES
            or len(messages) + len(ids) >= ITEM_LIMIT
        ):
            yield tuple(messages), tuple(ids)
            messages, ids, size, any_yet = [], [], 0, True
        if isinstance(one, TransferredMessage):
            messages.append(one)
        else:
            ids.append(one)
        size += added_size
    if messages or ids or not any_yet:
        yield tuple(messages), tuple(ids)


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    migration_id: MigrationId


class Offer(Frame, frozen=True, tag="offer"):
    """May I hand you this session?

    `moves`: how often it was handed over, this time included.
    """

    key: Identifier
    site: ShortText
    reason: ShortText
    messages: Count
    bytes: Count
    migration_count: Count


class Accept(Frame, frozen=True, tag="accept"):
    stamp_us: TimeUs


class Decline(Frame, frozen=True, tag="no"):
    """Not now. Either side may say it; it binds nobody."""

    reason: ShortText = ""


class CopyPart(Frame, frozen=True, tag="copy"):
    stamp_us: TimeUs
    part: Count
    parts: Annotated[int, Meta(ge=1, le=ITEM_LIMIT)]
    items: Annotated[tuple[TransferredMessage, ...], Meta(max_length=ITEM_LIMIT)] = ()
    remembered_ids: Annotated[tuple[Identifier, ...], Meta(max_length=ITEM_LIMIT)] = ()


class CopyStored(Frame, frozen=True, tag="copied"):
    """The copy is on disk.

    Said again by a taker that does not know what holds: it asks.
    """

    lease_token: LeaseToken


class Commit(Frame, frozen=True, tag="commit"):
    """It is yours, if `life` is the lease that you hold now."""

    lease_token: LeaseToken


class Activated(Frame, frozen=True, tag="begun"):
    stamp_us: TimeUs


class Released(Frame, frozen=True, tag="closed"):
    """The giver keeps nothing of it and can never take it back."""


class Abort(Frame, frozen=True, tag="drop"):
    """The giver wants it back and has not committed."""


class Aborted(Frame, frozen=True, tag="dropped"):
    """The taker has it on disk that it will never begin."""


class UnknownMigration(Frame, frozen=True, tag="forgot"):
    """The giver has no record of it."""


class TailMessage(Frame, frozen=True, tag="pass"):
    stamp_us: TimeUs
    number: Count
    valid_until_us: TimeUs
    """Its client may have left after that: it is not taken any more."""
    item: TransferredMessage


class TailMessageResult(Frame, frozen=True, tag="passed"):
    number: Count
    outcome: Literal["taken", "refused", "again"]
    stamp_us: TimeUs


class TailEnd(Frame, frozen=True, tag="end"):
    """No more will be passed on."""


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


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    migration_id: MigrationId


class SealedRecord(Record, frozen=True, tag="sealed"):
    key: Identifier
    target: Identifier


class CommittedRecord(Record, frozen=True, tag="committed"):
    pass


class ReleasedRecord(Record, frozen=True, tag="gone"):
    """The taker has begun: the session's messages are over here, without an end."""


class ReclaimedRecord(Record, frozen=True, tag="back"):
    pass


class StoredRecord(Record, frozen=True, tag="stored"):
    """The whole copy, with times by the taker's clock."""

    key: Identifier
    migration_count: Count
    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[Identifier, ...]


class ActivatedRecord(Record, frozen=True, tag="began"):
    pass


class FinalizedRecord(Record, frozen=True, tag="shut"):
    """It is the taker's for good."""


class RefusedRecord(Record, frozen=True, tag="refused"):
    """Neither this hand nor any before it of this giver is taken on from now on."""


class TailAcceptedRecord(Record, frozen=True, tag="took"):
    number: Count
    item: TransferredMessage


SourceRecord = SealedRecord | CommittedRecord | ReleasedRecord | ReclaimedRecord
TargetRecord = (
    StoredRecord
    | ActivatedRecord
    | FinalizedRecord
    | RefusedRecord
    | TailAcceptedRecord
)
AnyRecord = SourceRecord | TargetRecord

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(AnyRecord)


def encode_record(record: Record) -> bytes:
    return _encoder.encode(record)


def decode_record(data: bytes) -> AnyRecord:
    """ValueError (msgspec's, which names the field) where it is no record."""
    return _decoder.decode(data)
