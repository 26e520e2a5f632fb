"""Capacity limits on open messages: their number, disk space and memory.

The memory use of an open message was measured (docs/CAPACITY.md): about 340 bytes in the
dispatcher and 630 in the journal's state; at most 1,740 bytes in total while a
checkpoint is written. The message body is not included.
"""

from __future__ import annotations

from enum import Enum

BYTES_PER_MB = 1_000_000
BASE_PROCESS_BYTES = 24 * BYTES_PER_MB
"""Memory of the process without any open message."""
MESSAGE_BYTES = 1_800
"""Maximum memory of an open message, without its journal record."""
MESSAGE_MEMORY_FRACTION = 0.8
"""Fraction of the memory above BASE_PROCESS_BYTES that open messages may use; the rest
is for connections and calls.
"""
MIN_MESSAGE_MEMORY_BYTES = BYTES_PER_MB
"""Memory that open messages may use even if the process limit is lower than
BASE_PROCESS_BYTES or hardly above it.
"""


class CapacityLimit(Enum):
    """A capacity limit; the value is its description in the log."""

    MESSAGES = "the number of messages (max_open)"
    DISK = "the journal's share of the disk (disk_mb)"
    MEMORY = "the memory for held messages (memory_mb)"


def message_memory_bytes(memory_mb: int) -> int:
    """Return the bytes that open messages may use.

    Args:
        memory_mb: Memory limit of the process, in megabytes.
    """
    return max(
        MIN_MESSAGE_MEMORY_BYTES,
        int(MESSAGE_MEMORY_FRACTION * (memory_mb * BYTES_PER_MB - BASE_PROCESS_BYTES)),
    )


def has_memory(memory_mb: int, messages: int, live_bytes: int) -> bool:
    """Return whether a number of open messages fits into the memory limit.

    Args:
        memory_mb: Memory limit of the process, in megabytes.
        messages: Number of open messages, including the one to accept.
        live_bytes: Size of their journal records, including that message's.
    """
    return messages * MESSAGE_BYTES + live_bytes <= message_memory_bytes(memory_mb)
