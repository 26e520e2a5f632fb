"""All waiting messages, by destination. Nothing is decided here."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from rainfall.dispatch.queues import ClassQueue, ClassQueueKey, DemandKey, Message

MAX_SPARE_DESTINATION_QUEUES = 2_000
"""Empty destination queues that are kept to be filled again."""
MAX_SPARE_CLASS_QUEUES = 4
"""Empty class queues that are kept in each destination queue."""
LARGE_QUEUE_SIZE = 64
"""Messages from which on a destination queue is indexed by its size."""


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """The waiting messages of one destination."""

    class_queues: dict[ClassQueueKey, ClassQueue] = field(default_factory=dict)
    spare_class_queues: dict[ClassQueueKey, ClassQueue] = field(default_factory=dict)
    """Empty ones, to be filled again."""
    size: int = 0

    def __len__(self) -> int:
        return self.size

    def values(self) -> Iterator[Message]:
        """All messages, by class queue and in each by deadline."""
        for class_queue in self.class_queues.values():
            yield from class_queue.messages


@dataclass(slots=True)
class MessageQueues:
    """All waiting messages. Neither empty destination nor empty class queues stay."""

    by_destination: dict[int, DestinationQueue] = field(default_factory=dict)
    spare_destination_queues: dict[int, DestinationQueue] = field(default_factory=dict)
    """Empty ones, to be filled again: where messages are sent at once, each fills one."""
    by_size: dict[int, set[int]] = field(default_factory=dict)
    """Destinations of large queues, by the number of their messages."""
    largest_size: int = 0
    """The greatest number in `by_size`; 0 where there is none."""
    demand_by_destination: dict[int, Counter[DemandKey]] | None = None
    """How many wait for each class and tenant; None until it is asked for."""

    def count_by_demand(self) -> dict[int, Counter[DemandKey]]:
        """How many messages wait, by destination and by whose demand they are.

        Counted whole at the first call, and kept up to date from then on.
        """
        if self.demand_by_destination is None:
            self.demand_by_destination = {
                destination: Counter(m.demand_key for m in queue.values())
                for destination, queue in self.by_destination.items()
            }
        return self.demand_by_destination

    def adjust_demand(self, message: Message, change: int) -> None:
        """Count a message that waits from now on, or no more."""
        assert self.demand_by_destination is not None
        counts = self.demand_by_destination.setdefault(message.destination, Counter())
        counts[message.demand_key] += change
        if not counts[message.demand_key]:
            del counts[message.demand_key]
        if not counts:
            del self.demand_by_destination[message.destination]

    def largest_destination(self) -> int:
        """The destination with most messages, of equal ones the last by number.

        There must be one.
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
        """Follow a queue that had `size` messages and has one more or less."""
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
        make: Callable[[Message, ClassQueueKey], ClassQueue],
    ) -> None:
        """Let a message wait in the class queue of a key, made where there is none."""
        queue = self._destination_queue(message.destination)
        class_queue = queue.class_queues.get(key)
        if class_queue is None:
            spare = queue.spare_class_queues.pop(key, None)
            class_queue = make(message, key) if spare is None else spare
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
        """Take a message out of its queue, if it waits.

        It must not be the ready head of its key any more.
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

    def drop_spare(self) -> None:
        """Let the empty queues go."""
        self.spare_destination_queues.clear()
        for queue in self.by_destination.values():
            queue.spare_class_queues.clear()
