"""Messages that are given up without another attempt.

The unsent drop of the paper: a message whose time left is below its expected call is
answered now. In a congested queue messages that lost much of their weight are shed for
fresher ones, else all end late. Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator

from rainfall.dispatch.capacity import quota_available_at
from rainfall.dispatch.completion import give_up
from rainfall.dispatch.idempotency import may_retry
from rainfall.dispatch.latency import shortest_expected_latency
from rainfall.dispatch.message_queues import DestinationQueue
from rainfall.dispatch.queues import ClassQueue, Message
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER

MIN_WAKEUP_INTERVAL_US = 40_000
"""Least time between two looks at a destination where nothing happened."""


def drop_unsent(state: DispatcherState) -> None:
    """Give up the messages that no attempt can help any more.

    They have too little time left for a call, are shed, or may have no further attempt.
    """
    by_destination = state.queues.by_destination
    for destination in sorted(state.dirty_destinations & by_destination.keys()):
        _drop_from(state, destination, by_destination[destination])


def _drop_from(
    state: DispatcherState, destination: int, queue: DestinationQueue
) -> None:
    permit_at = quota_available_at(state, destination)
    if permit_at >= NEVER:
        permit_at = state.now  # another quota may come: only the deadline counts
    class_queues = queue.class_queues.values()
    may_shed = any(
        state.now > q.sheddable_at(q.messages.head().deadline) for q in class_queues
    )
    congested = may_shed and is_congested(state, queue)
    dropped = [
        message
        for class_queue in class_queues
        for message in _front(state, class_queue, permit_at, congested)
    ]
    for message in sorted(dropped, key=lambda message: message.queue_position):
        give_up(state, message, _reason(state, message, permit_at))


def _reason(state: DispatcherState, message: Message, permit_at: int) -> str:
    if not may_retry(state, message):
        return "may not be sent again"
    drop_at = drop_time(state, message)
    if permit_at < drop_at:
        return "makes way for fresh ones"
    return "no call could end in time" if state.now >= drop_at else "no share in time"


def _front(
    state: DispatcherState, queue: ClassQueue, permit_at: int, congested: bool
) -> Iterator[Message]:
    """The messages of a class queue that are given up now, in their order."""
    for message in queue.messages:
        state.work_count += 1
        out_of_time = permit_at >= drop_time(state, message)
        shed = congested and state.now > queue.sheddable_at(message.deadline)
        if not (out_of_time or shed or queue.key.exhausted):
            return
        yield message


def drop_time(state: DispatcherState, message: Message) -> int:
    """When the message's time left falls below its shortest expected call."""
    call = int(shortest_expected_latency(state, message))
    return message.deadline - max(call, MIN_WAKEUP_INTERVAL_US)


def age(message: Message, now: int) -> int:
    """How much of its time has passed, also at a forwarder before this one."""
    return message.message_class.deadline_us - (message.deadline - now)


def is_congested(state: DispatcherState, queue: DestinationQueue) -> bool:
    """Whether fresh messages wait too long in a queue.

    One has waited for more than half of its latency objective, and not yet for all of it.
    """
    state.work_count += len(queue.class_queues)
    for class_queue in queue.class_queues.values():
        objective = class_queue.message_class.latency_objective_us
        youngest = class_queue.first_younger(state.now, objective)
        if youngest is not None and objective / 2 < age(youngest, state.now):
            return True
    return False
