"""Final answers of messages that are given up. Times are integer microseconds.

Two kinds of final answers come from elsewhere: `admission.py` fails messages of unknown
classes, and the engine fails messages that are still open well past their deadline.
"""

from __future__ import annotations

from rainfall.dispatch.actions import FailMessage, RejectMessage
from rainfall.dispatch.capacity import quota_available_at
from rainfall.dispatch.idempotency import retry_deadline, usable_endpoints
from rainfall.dispatch.ordering import add_pending_notification, advance_key
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import Idempotency, IdempotencyScope
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER, SECOND_US
from rainfall.dispatch.waiting import dequeue

MIN_RETRY_AFTER_US = SECOND_US
"""Least Retry-After sent to a rejected client, so that it does not return at once. A
lower `max_retry_after_us` takes precedence.
"""


def give_up(state: DispatcherState, message: Message, reason: str) -> None:
    """Reject a message if the client may safely send it again, otherwise fail it."""
    retry_after_us = client_retry_after(state, message)
    if is_safe_to_resend(state, message, retry_after_us):
        state.actions.append(RejectMessage(message.id, retry_after_us, reason))
    else:
        state.actions.append(FailMessage(message.id, reason))
    if message.ordering_key is not None and state.settings.notifications_acknowledged:
        add_pending_notification(state, message.id, message.ordering_key)
    finish(state, message)


def is_safe_to_resend(
    state: DispatcherState, message: Message, retry_after_us: int
) -> bool:
    """Whether the client may send a message again without harm.

    With an idempotency key it may if it returns within the idempotency window.
    """
    message_class = message.message_class
    if message_class.idempotency is Idempotency.ALWAYS:
        return True
    if message.executed_at < 0 and not message.in_flight:
        return True
    if message_class.idempotency_scope is not IdempotencyScope.ALL:
        return False
    resend_at = state.now + max(retry_after_us, MIN_RETRY_AFTER_US)
    return resend_at < retry_deadline(message)


def client_retry_after(state: DispatcherState, message: Message) -> int:
    """Return the client's Retry-After: the time until the destination can be called.

    0 if the settings send no Retry-After.
    """
    if not state.settings.send_retry_after:
        return 0
    wait_ends = [
        max(e.throttle_scope.retry_after_until, e.throttle_scope.backoff_until)
        for e in usable_endpoints(state, message)
    ]
    permit_at = quota_available_at(state, message.destination)
    wait_end = max(
        min(wait_ends, default=state.now + SECOND_US),
        permit_at if permit_at < NEVER else 0,
    )
    retry_after = max(MIN_RETRY_AFTER_US, wait_end - state.now)
    return min(retry_after, state.settings.max_retry_after_us)


def finish(state: DispatcherState, message: Message) -> None:
    """Remove a finished message, and let the next message of its key be sent."""
    del state.messages[message.id]
    dequeue(state, message)
    if message.ordering_key is not None:
        sequence = state.key_sequences[message.ordering_key]
        del sequence.messages[message.sequence_number]
        advance_key(state, message.ordering_key)
