"""Drops queued messages that cannot be delivered in time.

A message with less time left than its call is expected to take gets its final answer
at once (PAPER, drop of unsent messages). In a congested queue, messages that have lost
enough of their weight (`ClassQueue.sheddable_after`) are shed in favor of newer ones;
otherwise all messages would be late. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator

from rainfall.dispatch.capacity import quota_available_at
from rainfall.dispatch.completion import give_up
from rainfall.dispatch.idempotency import may_attempt
from rainfall.dispatch.latency import shortest_expected_latency
from rainfall.dispatch.message_queues import DestinationQueue
from rainfall.dispatch.queues import ClassQueue, Message
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER

MIN_WAKEUP_INTERVAL_US = 40_000
"""Minimum time until a destination is processed again without an event."""


def drop_undeliverable(state: DispatcherState) -> None:
    """Drop queued messages of the destinations that are processed in this round.

    A message is dropped if it has too little time left for a call, is shed in a congested
    queue, or may not have another attempt.
    """
    by_destination = state.queues.by_destination
    for destination in sorted(state.dirty_destinations & by_destination.keys()):
        _drop_from_queue(state, destination, by_destination[destination])


def _drop_from_queue(
    state: DispatcherState, destination: int, queue: DestinationQueue
) -> None:
    permit_at = quota_available_at(state, destination)
    if permit_at >= NEVER:
        # No permit is due, but a new quota may arrive at any time: messages are kept
        # until their own drop time.
        permit_at = state.now
    class_queues = queue.class_queues.values()
    may_shed = any(
        state.now > candidate.sheddable_at(candidate.messages.head().deadline)
        for candidate in class_queues
    )
    congested = may_shed and is_congested(state, queue)
    dropped = [
        message
        for class_queue in class_queues
        for message in _messages_to_drop(state, class_queue, permit_at, congested)
    ]
    for message in sorted(dropped, key=lambda message: message.queue_position):
        give_up(state, message, _drop_reason(state, message, permit_at))


def _drop_reason(state: DispatcherState, message: Message, permit_at: int) -> str:
    if not may_attempt(state, message):
        return "may not be sent again"
    drop_at = drop_time(state, message)
    if permit_at < drop_at:
        return "makes way for fresh ones"
    return "no call could end in time" if state.now >= drop_at else "no share in time"


def _messages_to_drop(
    state: DispatcherState, queue: ClassQueue, permit_at: int, congested: bool
) -> Iterator[Message]:
    """Yield the messages of a class queue to drop now, in the order of their deadlines.

    All of them are at the front of the queue.
    """
    for message in queue.messages:
        state.work_count += 1
        out_of_time = permit_at >= drop_time(state, message)
        shed = congested and state.now > queue.sheddable_at(message.deadline)
        if not (out_of_time or shed or queue.key.exhausted):
            return
        yield message


def drop_time(state: DispatcherState, message: Message) -> int:
    """Return the time from which too little time is left for a message's shortest call.

    The call is assumed to take at least `MIN_WAKEUP_INTERVAL_US`.
    """
    call = int(shortest_expected_latency(state, message))
    return message.deadline - max(call, MIN_WAKEUP_INTERVAL_US)


def age(message: Message, now: int) -> int:
    """Return the time since a message was first accepted, by this or another forwarder."""
    return message.message_class.deadline_us - (message.deadline - now)


def is_congested(state: DispatcherState, queue: DestinationQueue) -> bool:
    """Whether new messages wait too long in a queue.

    This is the case if a message has waited for more than half of its latency objective
    but not for all of it.
    """
    state.work_count += len(queue.class_queues)
    for class_queue in queue.class_queues.values():
        objective = class_queue.message_class.latency_objective_us
        oldest_in_time = class_queue.first_younger(state.now, objective)
        if oldest_in_time is not None and objective / 2 < age(
            oldest_in_time, state.now
        ):
            return True
    return False
