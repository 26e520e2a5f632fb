"""The bounds on messages held: their number, the disk and the memory.

The memory of a held message was measured (docs/CAPACITY.md): some 340 bytes in the
decisions, 630 in the journal's state, and at most 1,740 with both while a checkpoint is
written; its body comes on top.
"""

from __future__ import annotations

from enum import Enum

MEGABYTE = 1_000_000
"""In bytes."""
PROCESS_BYTES = 24 * MEGABYTE
"""Memory of the process with no messages held."""
MESSAGE_BYTES = 1_800
"""Memory of a held message at most, beside what the journal keeps of it."""
HELD_SHARE = 0.8
"""Of the memory beside the process's own; the rest is for connections and calls."""
MIN_HELD_BYTES = MEGABYTE
"""Memory for messages where the limit is hardly above the process's own."""


class CapacityBound(Enum):
    """A bound that is reached. The value is a phrase for the log."""

    MESSAGES = "the number of messages (max_open)"
    DISK = "the journal's share of the disk (disk_mb)"
    MEMORY = "the memory for held messages (memory_mb)"


def held_message_bytes(memory_mb: int) -> int:
    """The bytes that held messages may take within a limit of the process in megabytes."""
    return max(MIN_HELD_BYTES, int(HELD_SHARE * (memory_mb * MEGABYTE - PROCESS_BYTES)))


def has_memory(memory_mb: int, messages: int, live_bytes: int) -> bool:
    """Whether so many messages fit into the memory.

    Args:
        memory_mb: The limit of the process, in megabytes.
        messages: How many there are, with the one to accept.
        live_bytes: The bytes of their journal records, with that one's.
    """
    return messages * MESSAGE_BYTES + live_bytes <= held_message_bytes(memory_mb)
