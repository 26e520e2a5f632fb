"""The messages of one ordering key. Times are integer microseconds."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from rainfall.dispatch.queues import Message


@dataclass(slots=True, eq=False)
class KeySequence:
    """The messages of one ordering key, and what keeps the next one from going."""

    messages: OrderedDict[int, Message] = field(default_factory=OrderedDict)
    """By sequence number."""
    in_flight: int = 0
    backoff_until: int = 0
    """An attempt may still run until then."""
    pending_notifications: int = 0
    """How many have a final answer that is still on its way."""
    ready_head: Message | None = None
    """The head, while nothing but its destination keeps it from going."""

    def head(self) -> Message:
        """The next message; there must be one."""
        return next(iter(self.messages.values()))

    def has_work(self) -> bool:
        """Whether it has messages, attempts or answers on their way."""
        return bool(self.messages or self.in_flight or self.pending_notifications)

    def in_use(self, now: int) -> bool:
        """Whether it has work or a backoff at a given time."""
        return self.has_work() or self.backoff_until > now

    def clear_ready(self) -> None:
        """Nothing of it may go for now."""
        head = self.ready_head
        if head is not None and head.class_queue is not None:
            head.class_queue.ready.remove(head)
        self.ready_head = None

    def set_ready(self, head: Message | None) -> None:
        """Its head may go, as far as the key is concerned; None where the key blocks."""
        if head is not self.ready_head:
            self.clear_ready()
            if head is not None and head.class_queue is not None:
                head.class_queue.ready.add(head)
                self.ready_head = head
