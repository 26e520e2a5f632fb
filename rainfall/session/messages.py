"""Identifiers, and messages with their times, as two members exchange them.

All structs are arrays on the wire and on disk, so their field names are not encoded;
bodies are raw bytes. Times in a frame are microseconds relative to the frame's stamp,
never readings of another machine's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

BODY_LIMIT_BYTES = 65_536
"""Largest body of one message."""
PART_LIMIT_BYTES = 72_000
"""Largest part of a copy; a message with the largest body fits."""
ITEM_LIMIT = 4_096
"""Most messages and remembered ids in one frame."""
ITEM_OVERHEAD_BYTES = 400
"""Bytes that a message takes beside its body, id and idempotency key."""
REMEMBERED_ID_OVERHEAD_BYTES = 5
"""The length prefix of a remembered id."""
CHARACTER_LIMIT_BYTES = 4
"""The longest encoding of one character in UTF-8."""

Identifier = Annotated[str, Meta(min_length=1, max_length=200)]
ShortText = Annotated[str, Meta(max_length=200)]
Count = Annotated[int, Meta(ge=0, lt=1 << 53)]
Body = Annotated[bytes, Meta(max_length=BODY_LIMIT_BYTES)]
TimeUs = Annotated[int, Meta(gt=-(1 << 60), lt=1 << 60)]
LeaseToken = tuple[Count, Count]
"""A member's lease token, `(epoch, number)`; each new lease of a name is higher."""


class MigrationId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies one migration.

    The ids of one source increase: by its lease token, then by a sequence within the lease.
    """

    source: Identifier
    epoch: Count
    lease_number: Count
    sequence: Count

    def __str__(self) -> str:
        return f"{self.source}.{self.epoch}.{self.lease_number}.{self.sequence}"


class TransferredMessage(msgspec.Struct, frozen=True, array_like=True):
    """A message of a session that is migrated.

    `executed_at_us` is the earliest time at which it may have been executed; None: it has
    not been executed.
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
        """Bytes that the message may take in a frame."""
        return (
            len(self.body)
            + len(self.id)
            + len(self.idempotency_key or "")
            + ITEM_OVERHEAD_BYTES
        )


def with_relative_times(
    message: TransferredMessage, zero_us: int
) -> TransferredMessage:
    """Return a message with its times relative to `zero_us`.

    `zero_us` is when the other side's stamp arrived, by the local clock.
    """
    executed_at_us = message.executed_at_us
    if executed_at_us is not None:
        executed_at_us -= zero_us
    return msgspec.structs.replace(
        message,
        deadline_us=message.deadline_us - zero_us,
        executed_at_us=executed_at_us,
    )


def with_local_times(
    message: TransferredMessage, stamp_us: int, drift: float
) -> TransferredMessage:
    """Return a message with its times by the local clock.

    `stamp_us` is the local time that was sent as the stamp. The other side received the
    stamp later than that, so no result is later than the true time. `drift`, a fraction,
    allows for different rates of the two clocks.
    """
    executed_at_us = message.executed_at_us
    if executed_at_us is not None:
        executed_at_us = to_local_time(executed_at_us, stamp_us, drift)
    return msgspec.structs.replace(
        message,
        deadline_us=to_local_time(message.deadline_us, stamp_us, drift),
        executed_at_us=executed_at_us,
    )


def to_local_time(relative_us: int, stamp_us: int, drift: float) -> int:
    """Convert a relative time to the local clock, earlier by the possible clock drift."""
    return stamp_us + relative_us - round(abs(relative_us) * drift)


class CopyContent(NamedTuple):
    """The content of one part of a session's copy."""

    items: tuple[TransferredMessage, ...]
    remembered_ids: tuple[str, ...]


def split_into_parts(
    items: Iterable[TransferredMessage], remembered_ids: Iterable[str]
) -> Iterator[CopyContent]:
    """Yield a session's copy in order, in parts that each fit a frame.

    Remembered ids precede the messages. An empty session yields one empty part.
    """
    messages: list[TransferredMessage] = []
    ids: list[str] = []
    size = 0
    is_first = True
    entries: tuple[TransferredMessage | str, ...] = (*remembered_ids, *items)
    for entry in entries:
        added_size = _entry_size(entry)
        count = len(messages) + len(ids)
        if count and (size + added_size > PART_LIMIT_BYTES or count >= ITEM_LIMIT):
            yield CopyContent(tuple(messages), tuple(ids))
            messages = []
            ids = []
            size = 0
            is_first = False
        if isinstance(entry, TransferredMessage):
            messages.append(entry)
        else:
            ids.append(entry)
        size += added_size
    if messages or ids or is_first:
        yield CopyContent(tuple(messages), tuple(ids))


def _entry_size(entry: TransferredMessage | str) -> int:
    if isinstance(entry, TransferredMessage):
        return entry.size
    return CHARACTER_LIMIT_BYTES * len(entry) + REMEMBERED_ID_OVERHEAD_BYTES
