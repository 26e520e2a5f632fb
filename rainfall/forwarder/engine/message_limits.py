"""Division of the memory limit, and the capacity limits on open messages.

What clients make the process hold has three parts, each with a limit of its own: their
connections, the requests that are being read or wait, and the open messages. The memory
use of an open message was measured (docs/CAPACITY.md): about 340 bytes in the dispatcher
and 630 in the journal's state; at most 1,740 bytes in total while a checkpoint is
written. The message body is not included.
"""

from __future__ import annotations

from enum import Enum

BYTES_PER_MB = 1_000_000
BASE_PROCESS_BYTES = 24 * BYTES_PER_MB
"""Memory of the process without any client or open message."""
CONNECTION_BYTES = 7_000
"""Memory of a client's connection without its requests."""
INPUT_MEMORY_FRACTION = 0.125
"""Fraction of the memory above BASE_PROCESS_BYTES that clients' requests may use."""
MIN_INPUT_MEMORY_BYTES = BYTES_PER_MB // 2
MAX_INPUT_MEMORY_BYTES = 16 * BYTES_PER_MB
"""Memory that requests may use at most: half of what 512 clients with the largest
requests send.
"""
MESSAGE_BYTES = 1_800
"""Maximum memory of an open message, without its journal record."""
RECORD_COPIES = 3
"""How often a message's journal record, with its body, may be in memory: held, as part of
an encoded call, and in a checkpoint that is being written.
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


def input_memory_bytes(memory_mb: int) -> int:
    """Return the bytes that the requests of all clients may use.

    Args:
        memory_mb: Memory limit of the process, in megabytes.
    """
    share = INPUT_MEMORY_FRACTION * _available_bytes(memory_mb)
    return max(MIN_INPUT_MEMORY_BYTES, min(MAX_INPUT_MEMORY_BYTES, int(share)))


def message_memory_bytes(memory_mb: int, max_connections: int) -> int:
    """Return the bytes that open messages may use.

    Args:
        memory_mb: Memory limit of the process, in megabytes.
        max_connections: Maximum number of client connections.
    """
    others = CONNECTION_BYTES * max_connections + input_memory_bytes(memory_mb)
    left = _available_bytes(memory_mb) - others
    return max(MIN_MESSAGE_MEMORY_BYTES, left)


def _available_bytes(memory_mb: int) -> int:
    return memory_mb * BYTES_PER_MB - BASE_PROCESS_BYTES


def has_memory(message_memory: int, messages: int, live_bytes: int) -> bool:
    """Return whether a number of open messages fits into the memory for them.

    Args:
        message_memory: Bytes that open messages may use.
        messages: Number of open messages, including the one to accept.
        live_bytes: Size of their journal records, including that message's.
    """
    return messages * MESSAGE_BYTES + RECORD_COPIES * live_bytes <= message_memory
