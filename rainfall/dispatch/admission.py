"""Accepts new and restored messages, and sheds load when the buffer is nearly full.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import FailMessage, LogNote
from rainfall.dispatch.completion import give_up
from rainfall.dispatch.events import MessageReceived, MessageRestored
from rainfall.dispatch.ordering import ensure_key_sequence
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import MessageClass
from rainfall.dispatch.state import SMALL_FLEET, STALE_AFTER_US, DispatcherState
from rainfall.dispatch.tenant_quota import use_tenant_quota
from rainfall.dispatch.waiting import enqueue

SHEDDING_FILL_SHARE = 0.85
"""Fraction of `max_open_messages` above which load is shed."""


def receive(state: DispatcherState, event: MessageReceived) -> None:
    """Accept a message, or fail it if its class is unknown.

    It is failed rather than rejected because it is not known whether a message of an
    unknown class may be executed twice.
    """
    message_class = state.classes.get(event.class_name)
    if message_class is None:
        state.actions.append(FailMessage(event.message_id, "unknown class"))
        return
    # Only new messages count against the tenant's quota. Restored messages arrived over
    # a longer time; counted all at once they would far exceed any quota.
    over_quota = use_tenant_quota(state, event.tenant)
    _accept(state, _new_message(state, event, message_class, over_quota))


def restore(state: DispatcherState, event: MessageRestored) -> None:
    """Accept a message that was already accepted before a restart."""
    message_class = event.message_class or state.classes.get(event.class_name)
    if message_class is None:
        state.actions.append(FailMessage(event.message_id, "unknown class"))
        return
    message_class = state.intern_class(message_class)
    message = _new_message(state, event, message_class, over_quota=False)
    message.attempts = event.attempts
    message.executed_at = event.executed_at_us
    message.executed_on = event.executed_on
    message.max_attempts = event.max_attempts or message.max_attempts
    message.restored = True
    if message.ordering_key is not None and event.interrupted:
        sequence = ensure_key_sequence(state, message.ordering_key)
        sequence.backoff_until = state.now + state.settings.key_backoff_us
    _accept(state, message)


def _new_message(
    state: DispatcherState,
    event: MessageReceived | MessageRestored,
    message_class: MessageClass,
    over_quota: bool,
) -> Message:
    sequence_number = state.next_sequence_number()
    state.newest_message_number = sequence_number
    return Message(
        event.message_id,
        event.destination,
        message_class,
        event.deadline_us,
        sequence_number,
        event.ordering_key if message_class.ordered else None,
        over_quota,
        state.settings.max_attempts,
        protected=state.settings.forwarder_count > SMALL_FLEET,
        queue_position=sequence_number,
        tenant=event.tenant,
    )


def _accept(state: DispatcherState, message: Message) -> None:
    """Add an accepted message to its queue and to the sequence of its ordering key."""
    state.messages[message.id] = message
    state.dirty_destinations.add(message.destination)
    state.newly_accepted.append(message)
    if message.ordering_key is not None:
        sequence = ensure_key_sequence(state, message.ordering_key)
        sequence.messages[message.sequence_number] = message
    enqueue(state, message)


def shed_load(state: DispatcherState) -> None:
    """Give up new messages for the destination with the most messages.

    This happens only while the buffer is nearly full, so that one destination does not
    fill it. Only messages accepted at the current time are given up: the client of an
    older one would learn of it only by a notification.
    """
    excess = (
        len(state.messages) - SHEDDING_FILL_SHARE * state.settings.max_open_messages
    )
    if excess <= 0 or not state.queues.by_destination:
        return
    largest = state.queues.largest_destination()
    candidates = [
        message
        for message in state.newly_accepted
        if message.class_queue is not None
        and message.destination == largest
        and not message.restored
    ]
    candidates.sort(key=lambda m: (m.over_quota, m.deadline, m.sequence_number))
    if candidates and state.now - state.shedding_logged_at >= STALE_AFTER_US:
        state.shedding_logged_at = state.now
        note = f"buffer nearly full: destination {largest} takes on no more"
        state.actions.append(LogNote(note))
    if len(state.queues.by_destination[largest]) > 1:
        for message in candidates[-max(1, int(excess)) :]:
            give_up(state, message, "buffer nearly full")
