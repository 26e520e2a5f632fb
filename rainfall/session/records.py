"""Records that the two sides of a migration write before they act on them.

Each record is an array on disk: its tag, the migration's id, then the fields in order.
"""

from __future__ import annotations

import msgspec

from rainfall.session.messages import (
    Count,
    Identifier,
    MigrationId,
    TransferredMessage,
)


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all records of a migration."""

    migration_id: MigrationId


class SealedRecord(Record, frozen=True, tag="sealed"):
    """The source is about to send the copy, so the target may have one."""

    key: Identifier
    target: Identifier


class CommittedRecord(Record, frozen=True, tag="committed"):
    """The source will not reclaim the session unless the target has refused it."""


class ReleasedRecord(Record, frozen=True, tag="gone"):
    """The source has released the session, whose messages the target owns."""


class ReclaimedRecord(Record, frozen=True, tag="back"):
    """The source owns the session again."""


class StoredRecord(Record, frozen=True, tag="stored"):
    """The target has the full copy, with times by its own clock."""

    key: Identifier
    migration_count: Count
    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[Identifier, ...]


class ActivatedRecord(Record, frozen=True, tag="began"):
    """The target is about to activate the session."""


class FinalizedRecord(Record, frozen=True, tag="shut"):
    """The target owns the session, and the source can never reclaim it."""


class RefusedRecord(Record, frozen=True, tag="refused"):
    """The target refuses this migration and all earlier ones of its source."""


class TailAcceptedRecord(Record, frozen=True, tag="took"):
    """The target has accepted a tail message."""

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
    """Encode a record for the journal."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> AnyRecord:
    """Decode a record.

    Raises:
        ValueError: The data is not a valid record; msgspec's text names the field.
    """
    return _decoder.decode(data)
