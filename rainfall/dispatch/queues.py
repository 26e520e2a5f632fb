"""Messages, and the class queues in which they wait, ordered by deadline.

Within a class queue every rule gives the same figure up to the deadline, so that only
its front has to be looked at. Nothing is decided here. Times are integer microseconds.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from sortedcontainers import SortedList  # type: ignore[import-untyped]

from rainfall.dispatch.settings import MessageClass


@dataclass(slots=True)
class Deadline:
    """A position in the order by deadline: before or after a message, or between two."""

    deadline: float
    sequence_number: int

    def __lt__(self, other: Deadline | Message) -> bool:
        return self.deadline < other.deadline or (
            self.deadline == other.deadline
            and self.sequence_number < other.sequence_number
        )


class DemandKey(NamedTuple):
    """Whose demand a message is."""

    class_name: str
    tenant: str | None


@dataclass(slots=True, eq=False)
class Message:
    """A message that has no final answer yet.

    Sorts by deadline, and among equal ones by sequence number.
    """

    id: str
    destination: int
    message_class: MessageClass
    deadline: int
    sequence_number: int
    """Order of acceptance since the start."""
    ordering_key: str | None
    over_quota: bool
    """Its tenant had used up its quota when it came."""
    max_attempts: int
    """The attempts that it was accepted with."""
    attempts: int = 0
    in_flight: int = 0
    executed_at: int = -1
    """When the first attempt that may have been executed was sent; -1 without one."""
    executed_on: int = -1
    """That attempt's endpoint."""
    last_timeout: int = 0
    """How long the attempt that timed out last was waited for."""
    last_failed_endpoint: int = -1
    protected: bool = False
    """While it has surely not been executed, it is not shed before a share of its
    time.
    """
    restored: bool = False
    """A former process accepted it."""
    queue_position: int = 0
    """Among the waiting of its destination: one that is put back goes behind all."""
    class_queue: ClassQueue | None = None
    """Where it waits; None while it does not."""
    tenant: str | None = None

    def __lt__(self, other: Deadline | Message) -> bool:
        return self.deadline < other.deadline or (
            self.deadline == other.deadline
            and self.sequence_number < other.sequence_number
        )

    @property
    def demand_key(self) -> DemandKey:
        """Whose demand it is."""
        return DemandKey(self.message_class.name, self.tenant)

    def move_deadline(self, deadline: int) -> None:
        """Change the deadline, and with it the place in the queues."""
        queue = self.class_queue
        queues = [] if queue is None else queue.queues_containing(self)
        for q in queues:
            q.remove(self)
        self.deadline = deadline
        for q in queues:
            q.add(self)


class MessageQueue(SortedList):  # type: ignore[misc]
    """Messages by deadline. Adding, removing and finding take logarithmic time."""

    def remove(self, message: Message) -> None:
        """Take out a message; it must be there."""
        if len(self) == 1:
            self.clear()  # the common case where messages are sent at once
        else:
            super().remove(message)

    def head(self) -> Message:
        """The first; there must be one."""
        message: Message = self[0]
        return message

    def first(self) -> Message | None:
        """The first, if there is one."""
        return self[0] if self else None

    def first_from(self, position: Deadline | Message) -> Message | None:
        """The first that does not come before a position."""
        first = self.first()
        if first is None or not first < position:
            return first
        return next(self.irange(position), None)

    def first_after(self, position: Deadline | Message) -> Message | None:
        """The first that comes behind a position."""
        first = self.first()
        if first is None or position < first:
            return first
        return next(self.irange(position, inclusive=(False, True)), None)


class ClassQueueKey(NamedTuple):
    """What the messages of one class queue have in common."""

    class_id: int
    """Identity of the class object, which the queue keeps alive."""
    over_quota: bool
    executed_on: int
    """The endpoint to whose scope their idempotency keys are bound; -1 without one."""
    restored_untried: bool
    """A former process accepted them, and they have had no attempt."""
    protected: bool
    """They are not shed before a share of their time."""
    ordered: bool
    exhausted: bool
    """They may not be sent again, and are given up in the next round."""


@dataclass(slots=True, eq=False)
class ClassQueue:
    """Waiting messages of one destination that the rules treat alike."""

    destination: int
    message_class: MessageClass
    key: ClassQueueKey
    sheddable_after: float
    """Time from a message's start until it has lost so much weight that it may be
    shed.
    """
    protected_before_deadline: int | None
    """It is not shed earlier than this before its deadline; None without such a bound."""
    messages: MessageQueue = field(default_factory=MessageQueue)
    ready: MessageQueue = field(init=False)
    """Those that their key does not block; the same queue as `messages` where none waits
    for another.
    """

    def __post_init__(self) -> None:
        waits = self.key.ordered or self.key.exhausted
        self.ready = MessageQueue() if waits else self.messages

    def queues_containing(self, message: Message) -> list[MessageQueue]:
        """Its queues in which one of its messages stands."""
        if self.ready is not self.messages and message in self.ready:
            return [self.messages, self.ready]
        return [self.messages]

    def sheddable_at(self, deadline: int) -> float:
        """When a message of a given deadline may be shed."""
        if self.key.restored_untried:
            return deadline  # it has the first claim to an attempt
        protected_until = 0
        if self.protected_before_deadline is not None:
            protected_until = deadline - self.protected_before_deadline
        started_at = deadline - self.message_class.deadline_us
        return max(started_at + self.sheddable_after, protected_until)

    def next_ready(
        self, starts: Sequence[Deadline | Message], ends: Sequence[Deadline]
    ) -> Message | None:
        """The first ready message behind one position and not behind another.

        Each is given for destinations up to 0 and for those above.
        """
        above = self.destination > 0
        message = self.ready.first_after(starts[above])
        return None if message is None or ends[above] < message else message

    def first_younger(self, now: int, age_us: int) -> Message | None:
        """The first message that is at most so old."""
        deadline = now + self.message_class.deadline_us - age_us
        return self.messages.first_from(Deadline(deadline, -1))

    def first_not_sheddable(self, now: int) -> Message | None:
        """The first message that may not be shed yet. There must be messages."""
        first, last = self.messages.head(), self.messages[-1]
        if self.sheddable_at(first.deadline) > now:
            return first
        deadlines = range(first.deadline, last.deadline + 1)
        deadline = first.deadline + bisect_left(
            deadlines, True, key=lambda deadline: self.sheddable_at(deadline) > now
        )
        return self.messages.first_from(Deadline(deadline, -1))
