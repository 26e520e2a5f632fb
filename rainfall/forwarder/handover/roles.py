"""The public names of the handover to a new version of the program.

The new process, the target, asks the one that serves, the source, over a Unix socket
beside the journal; `messages` has what they say. What is handed over, the engine knows.
"""

from __future__ import annotations

from rainfall.forwarder.handover.connection import HandoverConnection
from rainfall.forwarder.handover.journal_lock import JournalLock
from rainfall.forwarder.handover.messages import HandoverMessage
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.handover.target import (
    HandoverTarget,
    ProxiedResponseWriter,
    claim_journal,
)

__all__ = [
    "HandoverConnection",
    "HandoverMessage",
    "HandoverSource",
    "HandoverTarget",
    "JournalLock",
    "ProxiedResponseWriter",
    "claim_journal",
]
