"""Adds messages to and removes them from the class queues in which they wait.

Times are integer microseconds.
"""

from __future__ import annotations

import math

from rainfall.dispatch.idempotency import is_bound_to_scope, may_attempt, retry_deadline
from rainfall.dispatch.ordering import update_ready_head
from rainfall.dispatch.queues import ClassQueue, ClassQueueKey, Message
from rainfall.dispatch.settings import MessageClass, Settings
from rainfall.dispatch.state import DispatcherState

PROTECTED_TIME_SHARE = 0.7
"""Fraction of its time during which a message that was not executed is not shed.

Applies in fleets larger than `SMALL_FLEET`, where giving up an accepted message early
counts against the service.
"""
SHEDDABLE_WEIGHT_SHARE = 0.6
"""A message may be shed once less than this fraction of its weight is left."""


def enqueue(state: DispatcherState, message: Message) -> None:
    """Add a message to the class queue that it now belongs to, or move it there."""
    if message.class_queue is not None:
        dequeue(state, message)
    key = class_queue_key(state, message)

    def make_queue(message: Message, key: ClassQueueKey) -> ClassQueue:
        return new_class_queue(state.settings, message, key)

    state.queues.add(message, key, make_queue)
    state.work_count += 1
    if message.executed_at >= 0 and not key.exhausted:
        expires_at = retry_deadline(message)
        if expires_at < message.deadline:
            state.retry_expirations.add(expires_at, message.id)
    if message.ordering_key is not None:
        update_ready_head(state, message.ordering_key)


def requeue(state: DispatcherState, message: Message) -> None:
    """Add a message to its queue again, behind all others of its destination.

    A message that is already waiting keeps its position.
    """
    if message.class_queue is None:
        message.queue_position = state.next_sequence_number()
        state.possibly_available.add(message.destination)
    enqueue(state, message)


def dequeue(state: DispatcherState, message: Message) -> None:
    """Remove a message from its class queue, if it is waiting."""
    if message.class_queue is None:
        return
    state.work_count += 1
    if message.ordering_key is not None:
        sequence = state.key_sequences[message.ordering_key]
        if sequence.ready_head is message:
            sequence.clear_ready()
    state.queues.remove(message)


def class_queue_key(state: DispatcherState, message: Message) -> ClassQueueKey:
    """Return the key of the class queue that a message now belongs to."""
    executed = message.executed_at >= 0
    tried = executed or message.attempts > 0
    return ClassQueueKey(
        class_id=id(message.message_class),
        over_quota=message.over_quota,
        executed_on=message.executed_on if is_bound_to_scope(message) else -1,
        restored_untried=message.restored and not message.attempts,
        protected=message.protected and not executed,
        ordered=message.ordering_key is not None,
        exhausted=tried and not may_attempt(state, message),
    )


def new_class_queue(
    settings: Settings, message: Message, key: ClassQueueKey
) -> ClassQueue:
    """Return an empty class queue for the messages with the given key."""
    message_class = message.message_class
    protected_before_deadline = None
    if key.protected:
        unprotected = 1 - PROTECTED_TIME_SHARE
        protected_before_deadline = int(unprotected * message_class.deadline_us)
    return ClassQueue(
        message.destination,
        message_class,
        key,
        sheddable_after(settings, message_class),
        protected_before_deadline,
    )


def sheddable_after(settings: Settings, message_class: MessageClass) -> float:
    """Return the age from which a message has lost enough weight to be shed.

    From that age on less than `SHEDDABLE_WEIGHT_SHARE` of the weight is left.
    """
    objective = message_class.latency_objective_us
    if settings.late_weight_halves:
        return objective * (1 - math.log2(SHEDDABLE_WEIGHT_SHARE))
    late_time = message_class.deadline_us - objective
    lost_at_deadline = max(1e-9, 1 - message_class.late_priority_weight)
    return objective + late_time * (1 - SHEDDABLE_WEIGHT_SHARE) / lost_at_deadline


def expire_retries(state: DispatcherState) -> None:
    """Move the messages that may no longer be retried to exhausted class queues."""
    for message_id in state.retry_expirations.pop_due(state.now):
        state.work_count += 1
        message = state.messages.get(message_id)
        if message is None or message.class_queue is None:
            continue
        if not message.class_queue.key.exhausted and not may_attempt(state, message):
            enqueue(state, message)


def apply_settings_to_queues(state: DispatcherState, previous: Settings) -> None:
    """Update the class queues after a change of settings.

    Messages are moved between queues only if the limit on attempts has changed.
    """
    state.queues.discard_spare_queues()
    queues = [
        class_queue
        for queue in state.queues.by_destination.values()
        for class_queue in queue.class_queues.values()
    ]
    for class_queue in queues:
        class_queue.sheddable_after = sheddable_after(
            state.settings, class_queue.message_class
        )
    if state.settings.max_attempts != previous.max_attempts:
        changed = [
            message
            for class_queue in queues
            for message in class_queue.messages
            if may_attempt(state, message) is class_queue.key.exhausted
        ]
        for message in changed:
            enqueue(state, message)
