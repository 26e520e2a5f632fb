"""Selects the messages sent in a round, and their order (Group EDF in PAPER).

The message with the earliest deadline and all messages with deadlines close to it
(within Gr of PAPER) form a group. Groups are sent in the order of their deadlines;
within a group, messages with shorter expected calls are sent first. Times are integer
microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heapreplace

from rainfall.dispatch.attempts import send
from rainfall.dispatch.capacity import (
    available_at,
    has_call_slot,
    has_capacity,
    update_availability,
)
from rainfall.dispatch.endpoint_selection import select_endpoint
from rainfall.dispatch.expiry import MIN_WAKEUP_INTERVAL_US, age, drop_time
from rainfall.dispatch.latency import shortest_expected_latency
from rainfall.dispatch.queues import ClassQueue, DeadlinePosition, Message
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER

GROUP_RANGE = 0.4
"""Gr in PAPER: span of a group as a fraction of its first message's remaining time."""
MIN_GROUP_SPAN_US = 0.5
"""Minimum span of a group: half a unit of time, so that messages with equal deadlines
are in one group even if no time remains.
"""

GroupEnd = tuple[DeadlinePosition, DeadlinePosition]
"""End of a group: a position for destinations up to 0, and one for those above 0.

The positions differ for messages due exactly at the end of a group. They belong to the
group, except that the newest message of all belongs to the next group if its
destination is above 0. The recorded decisions in tests/replay.json include this
difference.
"""


def release(state: DispatcherState) -> None:
    """Send the messages for which there is capacity, and schedule wakeups."""
    if has_call_slot(state):
        # Within a round a destination can only lose capacity.
        full_destinations: set[int] = set()
        for message in _in_release_order(state, full_destinations):
            endpoint = select_endpoint(state, message)
            if endpoint is not None:
                send(state, message, endpoint)
            elif not has_capacity(state, message.destination):
                full_destinations.add(message.destination)
    state.saturated = not has_call_slot(state)
    waiting = state.queues.by_destination.keys()
    for destination in sorted(state.dirty_destinations & waiting):
        _schedule_wakeup(state, destination)


def _schedule_wakeup(state: DispatcherState, destination: int) -> None:
    """Schedule a destination with waiting messages to be processed without an event."""
    capacity_at = min(
        (available_at(state, e) for e in state.serving(destination)), default=NEVER
    )
    queue = state.queues.by_destination[destination]
    change_at = min(
        due_at
        for class_queue in queue.class_queues.values()
        for due_at in _next_change_times(state, class_queue)
    )
    due_at = int(min(capacity_at, change_at)) + 1
    state.wakeups.add(max(state.now + MIN_WAKEUP_INTERVAL_US, due_at), destination)
    update_availability(state, destination)


def _next_change_times(state: DispatcherState, queue: ClassQueue) -> Iterator[float]:
    """Yield the times at which a class queue changes without an event.

    These are when the first message is given up, when the next message has waited for
    half of its latency objective, and when the next message may be shed.
    """
    state.work_count += 3
    now, objective = state.now, queue.message_class.latency_objective_us
    yield drop_time(state, queue.messages.head())
    young = queue.first_younger(now, (objective - 1) // 2)
    if young is not None:
        yield now + objective / 2 - age(young, now)
    protected = queue.first_not_sheddable(now)
    if protected is not None:
        yield queue.sheddable_at(protected.deadline)


def _in_release_order(
    state: DispatcherState, full_destinations: set[int]
) -> Iterator[Message]:
    """Yield the messages to send, in order; those over their tenant's quota come last.

    Destinations without capacity are skipped. The caller adds destinations that run out
    of capacity to `full_destinations` while iterating.
    """
    queues = _queues_with_capacity(state)
    if len(queues) == 1:
        yield from _by_deadline(state, queues[0], full_destinations)
        return
    for over_quota in sorted({queue.key.over_quota for queue in queues}):
        matching = [queue for queue in queues if queue.key.over_quota is over_quota]
        yield from _by_groups(state, matching, full_destinations)


def _queues_with_capacity(state: DispatcherState) -> list[ClassQueue]:
    """Return the class queues of all destinations to process that have capacity."""
    destinations = state.dirty_destinations
    if state.saturated:
        destinations = destinations | state.possibly_available
    queues: list[ClassQueue] = []
    for destination in destinations & state.queues.by_destination.keys():
        state.work_count += 1
        if has_capacity(state, destination):
            queues += state.queues.by_destination[destination].class_queues.values()
        elif destination not in state.dirty_destinations:
            update_availability(state, destination)
    return queues


def _by_deadline(
    state: DispatcherState, queue: ClassQueue, full_destinations: set[int]
) -> Iterator[Message]:
    """Yield the ready messages of a single class queue by deadline.

    Groups make no difference here, because the expected call is the same for all.
    """
    while (message := queue.ready.first()) is not None:
        if not _may_have_capacity(state, queue, full_destinations):
            return
        state.work_count += 1
        yield message
        if message.class_queue is queue:
            return


def _by_groups(
    state: DispatcherState, queues: list[ClassQueue], full_destinations: set[int]
) -> Iterator[Message]:
    """Yield the ready messages of several class queues, group by group.

    Groups are formed from all waiting messages, including those that are not ready.
    """
    end = _group_end(state, -NEVER)
    ready = [queue for queue in queues if queue.ready]
    while ready:
        state.work_count += len(queues) + len(ready)
        start, end = end, _next_group_end(state, queues, end)
        blocked_queues: set[ClassQueue] = set()
        yield from _by_expected_call(
            state, ready, start, end, blocked_queues, full_destinations
        )
        ready = [
            queue
            for queue in ready
            if queue not in blocked_queues
            and _may_have_capacity(state, queue, full_destinations)
            and queue.ready.first_after(end[queue.destination > 0]) is not None
        ]


def _next_group_end(
    state: DispatcherState, queues: list[ClassQueue], start: GroupEnd
) -> GroupEnd:
    """Return the end of the group that begins with the first message after `start`."""
    first_messages = [
        message
        for queue in queues
        if (message := queue.messages.first_after(start[queue.destination > 0]))
        is not None
    ]
    deadline = min(first_messages).deadline
    return _group_end(
        state, deadline + max(MIN_GROUP_SPAN_US, GROUP_RANGE * (deadline - state.now))
    )


def _by_expected_call(
    state: DispatcherState,
    ready: list[ClassQueue],
    start: GroupEnd,
    end: GroupEnd,
    blocked_queues: set[ClassQueue],
    full_destinations: set[int],
) -> Iterator[Message]:
    """Yield the ready messages of one group, shortest expected call first.

    If a message still waits after it was yielded, there was no endpoint for it, nor is
    there one for the messages after it in its class queue. The class queue is then
    added to `blocked_queues`.
    """
    group = [
        (shortest_expected_latency(state, message), message, queue)
        for queue in ready
        if (message := queue.next_ready(start, end)) is not None
    ]
    heapify(group)
    while group:
        expected, message, queue = group[0]
        state.work_count += 1
        if _may_have_capacity(state, queue, full_destinations):
            yield message
            if message.class_queue is queue:
                blocked_queues.add(queue)
            elif (later := queue.next_ready((message, message), end)) is not None:
                heapreplace(group, (expected, later, queue))
                continue
        heappop(group)


def _group_end(state: DispatcherState, limit: float) -> GroupEnd:
    """Return the end of a group whose latest deadline is `limit` (see `GroupEnd`)."""
    newest = state.newest_message_number
    return DeadlinePosition(limit, newest), DeadlinePosition(limit, newest - 1)


def _may_have_capacity(
    state: DispatcherState, queue: ClassQueue, full_destinations: set[int]
) -> bool:
    """Whether a destination may have capacity, in a new call or one of this round."""
    if queue.destination in full_destinations:
        return False
    return has_call_slot(state) or queue.destination in state.called_destinations
