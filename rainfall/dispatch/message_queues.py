"""Holds all waiting messages by destination. Contains no rules."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rainfall.dispatch.queues import ClassQueue, ClassQueueKey, DemandKey, Message

MAX_SPARE_DESTINATION_QUEUES = 2_000
"""Number of empty destination queues kept for reuse."""
MAX_SPARE_CLASS_QUEUES = 4
"""Number of empty class queues kept for reuse in each destination queue."""
LARGE_QUEUE_SIZE = 64
"""Number of messages from which a destination queue is indexed by its size."""


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """The waiting messages of one destination."""

    class_queues: dict[ClassQueueKey, ClassQueue] = field(default_factory=dict)
    spare_class_queues: dict[ClassQueueKey, ClassQueue] = field(default_factory=dict)
    """Empty class queues kept for reuse."""
    size: int = 0
    """Number of messages."""

    def __len__(self) -> int:
        return self.size

    def values(self) -> Iterator[Message]:
        """Yield all messages by class queue, and by deadline within each."""
        for class_queue in self.class_queues.values():
            yield from class_queue.messages


@dataclass(slots=True)
class MessageQueues:
    """All waiting messages, in nonempty destination queues and class queues."""

    by_destination: dict[int, DestinationQueue] = field(default_factory=dict)
    spare_destination_queues: dict[int, DestinationQueue] = field(default_factory=dict)
    """Empty destination queues kept for reuse: a message that is sent at once needs a
    queue only for a moment.
    """
    by_size: dict[int, set[int]] = field(default_factory=dict)
    """Destinations with at least `LARGE_QUEUE_SIZE` messages, by number of messages."""
    largest_size: int = 0
    """The largest key of `by_size`; 0 if it is empty."""
    demand_by_destination: dict[int, Counter[DemandKey]] | None = None
    """Number of waiting messages by destination, class and tenant; None until the first
    call of `count_by_demand`.
    """

    def count_by_demand(self) -> dict[int, Counter[DemandKey]]:
        """Return the number of waiting messages by destination, class and tenant.

        The first call counts all messages; from then on the counts are kept up to date.
        """
        if self.demand_by_destination is None:
            self.demand_by_destination = {
                destination: Counter(m.demand_key for m in queue.values())
                for destination, queue in self.by_destination.items()
            }
        return self.demand_by_destination

    def adjust_demand(self, message: Message, change: int) -> None:
        """Add `change` (1 or -1) to the count of a message's class and tenant."""
        assert self.demand_by_destination is not None
        counts = self.demand_by_destination.setdefault(message.destination, Counter())
        counts[message.demand_key] += change
        if not counts[message.demand_key]:
            del counts[message.demand_key]
        if not counts:
            del self.demand_by_destination[message.destination]

    def largest_destination(self) -> int:
        """Return the destination with the most messages; ties go to the highest number.

        There must be at least one message.
        """
        if self.largest_size:
            return max(self.by_size[self.largest_size])
        return max(
            self.by_destination,
            key=lambda destination: (
                self.by_destination[destination].size,
                destination,
            ),
        )

    def reindex_size(self, destination: int, size: int, change: int) -> None:
        """Update `by_size` after a queue of `size` messages changed by 1 or -1."""
        changed = size + change
        if size in self.by_size:
            self.by_size[size].discard(destination)
            if not self.by_size[size]:
                del self.by_size[size]
        if changed >= LARGE_QUEUE_SIZE:
            self.by_size.setdefault(changed, set()).add(destination)
        shrank = size == self.largest_size and size not in self.by_size
        if changed > self.largest_size or shrank:
            self.largest_size = changed if changed >= LARGE_QUEUE_SIZE else 0

    def add(
        self,
        message: Message,
        key: ClassQueueKey,
        make_queue: Callable[[Message, ClassQueueKey], ClassQueue],
    ) -> None:
        """Add a message to the class queue of a key; `make_queue` creates a new one."""
        queue = self._destination_queue(message.destination)
        class_queue = queue.class_queues.get(key)
        if class_queue is None:
            spare = queue.spare_class_queues.pop(key, None)
            class_queue = make_queue(message, key) if spare is None else spare
            queue.class_queues[key] = class_queue
        queue.size += 1
        if queue.size >= LARGE_QUEUE_SIZE:
            self.reindex_size(message.destination, queue.size - 1, 1)
        class_queue.messages.add(message)
        message.class_queue = class_queue
        if self.demand_by_destination is not None:
            self.adjust_demand(message, 1)

    def _destination_queue(self, destination: int) -> DestinationQueue:
        queue = self.by_destination.get(destination)
        if queue is None:
            spare = self.spare_destination_queues.pop(destination, None)
            queue = DestinationQueue() if spare is None else spare
            self.by_destination[destination] = queue
        return queue

    def remove(self, message: Message) -> None:
        """Remove a message from its queue; do nothing if it is not waiting.

        If it is the ready head of its ordering key, the caller must clear that first.
        """
        class_queue = message.class_queue
        if class_queue is None:
            return
        class_queue.messages.remove(message)
        message.class_queue = None
        if self.demand_by_destination is not None:
            self.adjust_demand(message, -1)
        queue = self.by_destination[class_queue.destination]
        queue.size -= 1
        if queue.size + 1 >= LARGE_QUEUE_SIZE:
            self.reindex_size(class_queue.destination, queue.size + 1, -1)
        if not class_queue.messages:
            del queue.class_queues[class_queue.key]
            if len(queue.spare_class_queues) < MAX_SPARE_CLASS_QUEUES:
                queue.spare_class_queues[class_queue.key] = class_queue
        if not queue.size:
            del self.by_destination[class_queue.destination]
            if len(self.spare_destination_queues) < MAX_SPARE_DESTINATION_QUEUES:
                self.spare_destination_queues[class_queue.destination] = queue

    def discard_spare_queues(self) -> None:
        """Delete the empty queues that were kept for reuse."""
        self.spare_destination_queues.clear()
        for queue in self.by_destination.values():
            queue.spare_class_queues.clear()
