"""Which bound keeps the forwarder from taking on one more message: their number, the
disk, or the memory.

The memory of a held message was measured (docs/CAPACITY.md): some 340 bytes in the
module, 630 in the journal's state, and at most 1,740 with both while a checkpoint is
written; its body comes on top.
"""

from __future__ import annotations

from enum import Enum

MEGABYTE = 1_000_000  # bytes
PROCESS_BYTES = 24 * MEGABYTE  # of the process with nothing held
MESSAGE_BYTES = 1_800  # of a held message beside what the journal keeps of it, at most
# of what the process leaves of its memory; the rest is for clients, calls and answers
HELD_SHARE = 0.8
MIN_HELD_BYTES = MEGABYTE  # where a limit is hardly above the process's own need


class CapacityBound(Enum):
    """What is full. The value is a phrase for the log."""

    MESSAGES = "the number of messages (max_open)"
    DISK = "the journal's share of the disk (disk_mb)"
    MEMORY = "the memory for held messages (memory_mb)"


def held_message_bytes(memory_mb: int) -> int:
    """The bytes that held messages may take within a limit of the process in megabytes."""
    return max(MIN_HELD_BYTES, int(HELD_SHARE * (memory_mb * MEGABYTE - PROCESS_BYTES)))


def has_memory(memory_mb: int, messages: int, live_bytes: int) -> bool:
    """Whether one more message is within the memory, beside so many held whose journal
    records have so many bytes; the new one is counted among both.
    """
    return messages * MESSAGE_BYTES + live_bytes <= held_message_bytes(memory_mb)
