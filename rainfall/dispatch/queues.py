"""Messages and the class queues in which they wait, ordered by deadline.

For the rules, the messages of a class queue differ only in their deadlines, so that it
is sufficient to examine the front of the queue. Times are integer microseconds.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from sortedcontainers import SortedList  # type: ignore[import-untyped]

from rainfall.dispatch.settings import MessageClass


@dataclass(slots=True)
class DeadlinePosition:
    """A position in the order of deadlines, for comparison with messages."""

    deadline: float
    sequence_number: int

    def __lt__(self, other: DeadlinePosition | Message) -> bool:
        return self.deadline < other.deadline or (
            self.deadline == other.deadline
            and self.sequence_number < other.sequence_number
        )


class DemandKey(NamedTuple):
    """The class and tenant under which a waiting message counts as demand."""

    class_name: str
    tenant: str | None


@dataclass(slots=True, eq=False)
class Message:
    """A message without a final answer.

    Messages sort by deadline, and with equal deadlines by sequence number.
    """

    id: str
    destination: int
    message_class: MessageClass
    deadline: int
    sequence_number: int
    """Increases with each accepted message since the process started."""
    ordering_key: str | None
    """None if the class is not ordered."""
    over_quota: bool
    """Whether its tenant had used up its quota when the message arrived."""
    max_attempts: int
    """The limit on attempts under which the message was accepted."""
    attempts: int = 0
    """Number of attempts sent."""
    in_flight: int = 0
    """Number of attempts in flight."""
    executed_at: int = -1
    """Send time of the first attempt that may have been executed; -1 without one."""
    executed_on: int = -1
    """Endpoint of that attempt; -1 if there is none."""
    last_timeout: int = 0
    """Duration of the last attempt that timed out; 0 if there is none."""
    last_failed_endpoint: int = -1
    """Endpoint of the last attempt that was not delivered; -1 if there is none."""
    protected: bool = False
    """Whether the message, while it has certainly not been executed, is not shed before
    `PROTECTED_TIME_SHARE` of its time has passed.
    """
    restored: bool = False
    """Whether a previous process accepted the message."""
    queue_position: int = 0
    """Order among the waiting messages of its destination; a message that is requeued
    moves to the end.
    """
    class_queue: ClassQueue | None = None
    """The queue in which it waits; None if it does not wait."""
    tenant: str | None = None

    def __lt__(self, other: DeadlinePosition | Message) -> bool:
        return self.deadline < other.deadline or (
            self.deadline == other.deadline
            and self.sequence_number < other.sequence_number
        )

    @property
    def demand_key(self) -> DemandKey:
        """The class and tenant under which the message counts as demand."""
        return DemandKey(self.message_class.name, self.tenant)

    def move_deadline(self, deadline: int) -> None:
        """Change the deadline and the message's position in its queues."""
        queue = self.class_queue
        queues = [] if queue is None else queue.queues_containing(self)
        for containing_queue in queues:
            containing_queue.remove(self)
        self.deadline = deadline
        for containing_queue in queues:
            containing_queue.add(self)


class DeadlineQueue(SortedList):  # type: ignore[misc]
    """Messages by deadline. Adding, removing and finding take logarithmic time."""

    def remove(self, message: Message) -> None:
        """Remove a message, which must be in the queue."""
        if len(self) == 1:
            self.clear()  # faster, and common because messages are usually sent at once
        else:
            super().remove(message)

    def head(self) -> Message:
        """Return the first message; there must be one."""
        message: Message = self[0]
        return message

    def first(self) -> Message | None:
        """Return the first message, or None."""
        return self[0] if self else None

    def first_from(self, position: DeadlinePosition | Message) -> Message | None:
        """Return the first message at or after a position, or None."""
        first = self.first()
        if first is None or not first < position:
            return first
        return next(self.irange(position), None)

    def first_after(self, position: DeadlinePosition | Message) -> Message | None:
        """Return the first message after a position, or None."""
        first = self.first()
        if first is None or position < first:
            return first
        return next(self.irange(position, inclusive=(False, True)), None)


class ClassQueueKey(NamedTuple):
    """The properties that the messages of one class queue share."""

    class_id: int
    """`id` of the class object, which the queue keeps alive."""
    over_quota: bool
    """Whether their tenant's quota was used up when they arrived."""
    executed_on: int
    """Endpoint whose idempotency scope the messages are bound to; -1 if not bound."""
    restored_untried: bool
    """Whether a previous process accepted them and they have had no attempt."""
    protected: bool
    """Whether shedding is barred until `PROTECTED_TIME_SHARE` of their time is over."""
    ordered: bool
    """Whether they have ordering keys."""
    exhausted: bool
    """Whether they may not be sent again; they are given up when next processed."""


@dataclass(slots=True, eq=False)
class ClassQueue:
    """Waiting messages of one destination with the same `ClassQueueKey`."""

    destination: int
    message_class: MessageClass
    key: ClassQueueKey
    sheddable_after: float
    """Time from a message's acceptance until it has lost enough weight to be shed."""
    protected_before_deadline: int | None
    """A message may be shed at most this long before its deadline; None: no bound."""
    messages: DeadlineQueue = field(default_factory=DeadlineQueue)
    ready: DeadlineQueue = field(init=False)
    """Messages that may be sent as far as their ordering keys are concerned. The same
    object as `messages` unless the messages are ordered or exhausted.
    """

    def __post_init__(self) -> None:
        waits = self.key.ordered or self.key.exhausted
        self.ready = DeadlineQueue() if waits else self.messages

    def queues_containing(self, message: Message) -> list[DeadlineQueue]:
        """Return the queues out of `messages` and `ready` that contain a message.

        The message must be in `messages`.
        """
        if self.ready is not self.messages and message in self.ready:
            return [self.messages, self.ready]
        return [self.messages]

    def sheddable_at(self, deadline: int) -> float:
        """Return the time from which a message with a given deadline may be shed."""
        if self.key.restored_untried:
            return deadline  # not shed: restored messages get an attempt first
        protected_until = 0
        if self.protected_before_deadline is not None:
            protected_until = deadline - self.protected_before_deadline
        started_at = deadline - self.message_class.deadline_us
        return max(started_at + self.sheddable_after, protected_until)

    def next_ready(
        self,
        starts: Sequence[DeadlinePosition | Message],
        ends: Sequence[DeadlinePosition],
    ) -> Message | None:
        """Return the first ready message after a start and not after an end, or None.

        Each of `starts` and `ends` holds a position for destinations up to 0 and one
        for destinations above 0.
        """
        above = self.destination > 0
        message = self.ready.first_after(starts[above])
        return None if message is None or ends[above] < message else message

    def first_younger(self, now: int, age_us: int) -> Message | None:
        """Return the first message that was accepted at most `age_us` ago, or None."""
        deadline = now + self.message_class.deadline_us - age_us
        return self.messages.first_from(DeadlinePosition(deadline, -1))

    def first_not_sheddable(self, now: int) -> Message | None:
        """Return the first message that may not be shed yet, or None.

        The queue must not be empty.
        """
        first, last = self.messages.head(), self.messages[-1]
        if self.sheddable_at(first.deadline) > now:
            return first
        deadlines = range(first.deadline, last.deadline + 1)
        deadline = first.deadline + bisect_left(
            deadlines, True, key=lambda deadline: self.sheddable_at(deadline) > now
        )
        return self.messages.first_from(DeadlinePosition(deadline, -1))
