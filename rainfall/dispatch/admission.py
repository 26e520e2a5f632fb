"""Accepting messages, new ones and those of before a restart, and shedding load.

Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.actions import FailMessage, LogNote
from rainfall.dispatch.completion import give_up
from rainfall.dispatch.events import MessageReceived, MessageRestored
from rainfall.dispatch.ordering import key_sequence
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import MessageClass
from rainfall.dispatch.state import FORGET_AFTER_US, SMALL_FLEET, DispatcherState
from rainfall.dispatch.tenant_quota import use_tenant_quota
from rainfall.dispatch.waiting import wait

SHEDDING_FILL_SHARE = 0.85
"""Share of the open messages allowed above which load is shed."""


def receive(state: DispatcherState, event: MessageReceived) -> None:
    """Accept a message.

    One of an unknown class fails: it is not known whether it may be executed twice.
    """
    message_class = state.classes.get(event.class_name)
    if message_class is None:
        state.actions.append(FailMessage(event.message_id, "unknown class"))
        return
    # What was accepted before a restart came over a while, and is counted no more: all
    # at once it would be far beyond any tenant's quota.
    over_quota = use_tenant_quota(state, event.tenant)
    _accept(state, _new_message(state, event, message_class, over_quota))


def restore(state: DispatcherState, event: MessageRestored) -> None:
    """Go on with a message that was accepted before a restart."""
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
        sequence = key_sequence(state, message.ordering_key)
        sequence.backoff_until = state.now + state.settings.key_backoff_us
    _accept(state, message)


def _new_message(
    state: DispatcherState,
    event: MessageReceived | MessageRestored,
    message_class: MessageClass,
    over_quota: bool,
) -> Message:
    number = state.next_sequence_number()
    state.newest_message_number = number
    return Message(
        event.message_id,
        event.destination,
        message_class,
        event.deadline_us,
        number,
        event.ordering_key if message_class.ordered else None,
        over_quota,
        state.settings.max_attempts,
        protected=state.settings.forwarder_count > SMALL_FLEET,
        queue_position=number,
        tenant=event.tenant,
    )


def _accept(state: DispatcherState, message: Message) -> None:
    """An accepted message waits from now on, behind those of its key."""
    state.messages[message.id] = message
    state.dirty_destinations.add(message.destination)
    state.received_now.append(message)
    if message.ordering_key is not None:
        sequence = key_sequence(state, message.ordering_key)
        sequence.messages[message.sequence_number] = message
    wait(state, message)


def shed_load(state: DispatcherState) -> None:
    """Reject what came in this round for the destination with most messages.

    Only while nearly all open messages allowed are there: one destination must not fill
    the buffer. What was accepted stays: its client would learn of its end by a
    notification only.
    """
    excess = (
        len(state.messages) - SHEDDING_FILL_SHARE * state.settings.max_open_messages
    )
    if excess <= 0 or not state.queues.by_destination:
        return
    worst = state.queues.largest_destination()
    candidates = [
        message
        for message in state.received_now
        if message.class_queue is not None
        and message.destination == worst
        and not message.restored
    ]
    candidates.sort(key=lambda m: (m.over_quota, m.deadline, m.sequence_number))
    if candidates and state.now - state.shedding_noted_at >= FORGET_AFTER_US:
        state.shedding_noted_at = state.now
        note = f"buffer nearly full: destination {worst} takes on no more"
        state.actions.append(LogNote(note))
    if len(state.queues.by_destination[worst]) > 1:
        for message in candidates[-max(1, int(excess)) :]:
            give_up(state, message, "buffer nearly full")
