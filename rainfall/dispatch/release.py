"""Which messages are sent in a round, and in which order: the paper's group EDF.

The message with the least time left and all within Gr of it form a group. The earliest
group goes first, and in a group the message with the shortest expected call. Times are
integer microseconds.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heapreplace

from rainfall.dispatch.attempts import send
from rainfall.dispatch.capacity import (
    available_at,
    has_call_left,
    has_capacity,
    watch_opening,
)
from rainfall.dispatch.endpoint_selection import select_endpoint
from rainfall.dispatch.expiry import MIN_WAKEUP_INTERVAL_US, age, drop_time
from rainfall.dispatch.latency import shortest_expected_latency
from rainfall.dispatch.queues import ClassQueue, Deadline, Message
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER

GROUP_RANGE = 0.4
"""Gr of the paper: share of the least time left."""
TIE_US = 0.5
"""Half a unit of time: messages with just the same deadline are in one group also when
no time is left.
"""

GroupEnd = tuple[Deadline, Deadline]
"""The end of a group, for destinations up to 0 and for those above.

Among messages due just at a group's end, the newest of all is in the next group at a
destination above 0. This parting is part of the recorded decisions.
"""


def release(state: DispatcherState) -> None:
    """Send what can be sent, in the order of the groups."""
    if has_call_left(state):
        shut: set[int] = set()  # within a round a destination only loses capacity
        for message in _in_release_order(state, shut):
            endpoint = select_endpoint(state, message)
            if endpoint is not None:
                send(state, message, endpoint)
            elif not has_capacity(state, message.destination):
                shut.add(message.destination)
    state.saturated = not has_call_left(state)
    waiting = state.queues.by_destination.keys()
    for destination in sorted(state.dirty_destinations & waiting):
        _schedule_wakeup(state, destination)


def _schedule_wakeup(state: DispatcherState, destination: int) -> None:
    """When to look again at a destination where messages stay, whatever happens."""
    opens = min(
        (available_at(state, e) for e in state.serving(destination)), default=NEVER
    )
    queue = state.queues.by_destination[destination]
    changes = min(
        at for q in queue.class_queues.values() for at in _next_changes(state, q)
    )
    at = int(min(opens, changes)) + 1
    state.wakeups.add(max(state.now + MIN_WAKEUP_INTERVAL_US, at), destination)
    watch_opening(state, destination)


def _next_changes(state: DispatcherState, queue: ClassQueue) -> Iterator[float]:
    """When something changes in a class queue without an event.

    Its first message is given up, the next one has waited for half its latency objective,
    or the next may be shed.
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


def _in_release_order(state: DispatcherState, shut: set[int]) -> Iterator[Message]:
    """The messages to send next, in order.

    Those without capacity are skipped, and so are whole destinations in `shut`.
    """
    queues = _open_queues(state)
    if len(queues) == 1:
        yield from _by_deadline(state, queues[0], shut)
        return
    for over_quota in sorted({queue.key.over_quota for queue in queues}):
        same = [queue for queue in queues if queue.key.over_quota is over_quota]
        yield from _by_groups(state, same, shut)


def _open_queues(state: DispatcherState) -> list[ClassQueue]:
    """The class queues of all destinations to look at that have capacity."""
    destinations = state.dirty_destinations
    if state.saturated:
        destinations = destinations | state.possibly_open
    queues: list[ClassQueue] = []
    for destination in destinations & state.queues.by_destination.keys():
        state.work_count += 1
        if has_capacity(state, destination):
            queues += state.queues.by_destination[destination].class_queues.values()
        elif destination not in state.dirty_destinations:
            watch_opening(state, destination)
    return queues


def _by_deadline(
    state: DispatcherState, queue: ClassQueue, shut: set[int]
) -> Iterator[Message]:
    """The ready messages of a single class queue.

    Groups make no difference there: the expected call is the same for all.
    """
    while (message := queue.ready.first()) is not None:
        if not _can_call(state, queue, shut):
            return
        state.work_count += 1
        yield message
        if message.class_queue is queue:
            return


def _by_groups(
    state: DispatcherState, queues: list[ClassQueue], shut: set[int]
) -> Iterator[Message]:
    """The ready messages of several class queues, group by group.

    Groups are formed of all waiting messages, by the time left.
    """
    end = _group_end(state, -NEVER)
    ready = [queue for queue in queues if queue.ready]
    while ready:
        state.work_count += len(queues) + len(ready)
        start, end = end, _next_group_end(state, queues, end)
        stuck: set[ClassQueue] = set()
        yield from _by_expected_call(state, ready, start, end, stuck, shut)
        ready = [
            queue
            for queue in ready
            if queue not in stuck
            and _can_call(state, queue, shut)
            and queue.ready.first_after(end[queue.destination > 0]) is not None
        ]


def _next_group_end(
    state: DispatcherState, queues: list[ClassQueue], start: GroupEnd
) -> GroupEnd:
    """The end of the group that begins with the first message behind `start`."""
    firsts = [
        message
        for queue in queues
        if (message := queue.messages.first_after(start[queue.destination > 0]))
        is not None
    ]
    deadline = min(firsts).deadline
    return _group_end(
        state, deadline + max(TIE_US, GROUP_RANGE * (deadline - state.now))
    )


def _by_expected_call(
    state: DispatcherState,
    ready: list[ClassQueue],
    start: GroupEnd,
    end: GroupEnd,
    stuck: set[ClassQueue],
    shut: set[int],
) -> Iterator[Message]:
    """The ready messages of one group, shortest expected call first.

    A message that still waits afterwards found no endpoint, nor will any behind it in
    its class queue: that is added to `stuck`.
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
        if _can_call(state, queue, shut):
            yield message
            if message.class_queue is queue:
                stuck.add(queue)
            elif (later := queue.next_ready((message, message), end)) is not None:
                heapreplace(group, (expected, later, queue))
                continue
        heappop(group)


def _group_end(state: DispatcherState, limit: float) -> GroupEnd:
    """The end of a group at a deadline.

    Of the messages due just then, the newest of all belongs to the next group at
    destinations above 0.
    """
    newest = state.newest_message_number
    return Deadline(limit, newest), Deadline(limit, newest - 1)


def _can_call(state: DispatcherState, queue: ClassQueue, shut: set[int]) -> bool:
    """Whether a destination may still have capacity.

    For another call, or in one that begins in this round.
    """
    if queue.destination in shut:
        return False
    return has_call_left(state) or queue.destination in state.called_destinations
