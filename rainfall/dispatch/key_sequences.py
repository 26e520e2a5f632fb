"""The sequence of messages with one ordering key. Times are integer microseconds."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from rainfall.dispatch.queues import Message


@dataclass(slots=True, eq=False)
class KeySequence:
    """The messages of one ordering key, and the conditions that block the next one."""

    messages: OrderedDict[int, Message] = field(default_factory=OrderedDict)
    """Messages without a final answer by sequence number, in order."""
    in_flight: int = 0
    """Attempts in flight."""
    backoff_until: int = 0
    """Until this time an attempt that ended without an answer may still run."""
    pending_notifications: int = 0
    """Number of final answers that are not yet acknowledged."""
    ready_head: Message | None = None
    """The first message, if the key does not block it; None otherwise."""

    def head(self) -> Message:
        """Return the first message; there must be one."""
        return next(iter(self.messages.values()))

    def has_work(self) -> bool:
        """Whether there are messages, attempts in flight or unacknowledged answers."""
        return bool(self.messages or self.in_flight or self.pending_notifications)

    def in_use(self, now: int) -> bool:
        """Whether the key has work or is in backoff at a given time."""
        return self.has_work() or self.backoff_until > now

    def clear_ready(self) -> None:
        """Remove the ready head, so that no message of the key may be sent."""
        head = self.ready_head
        if head is not None and head.class_queue is not None:
            head.class_queue.ready.remove(head)
        self.ready_head = None

    def set_ready(self, head: Message | None) -> None:
        """Set the message that may be sent as far as the key is concerned, or None."""
        if head is not self.ready_head:
            self.clear_ready()
            if head is not None and head.class_queue is not None:
                head.class_queue.ready.add(head)
                self.ready_head = head
