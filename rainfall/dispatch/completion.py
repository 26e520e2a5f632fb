"""Final answers of messages that are given up. Times are integer microseconds.

Two others are given elsewhere: `admission.py` fails a message of an unknown class, and
the engine fails one that is still open well past its deadline.
"""

from __future__ import annotations

from rainfall.dispatch.actions import FailMessage, RejectMessage
from rainfall.dispatch.capacity import quota_available_at
from rainfall.dispatch.idempotency import retry_deadline, usable_endpoints
from rainfall.dispatch.ordering import add_pending_notification, turn_to_next
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import Idempotency, IdempotencyScope
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER, SECOND_US
from rainfall.dispatch.waiting import stop_waiting

MIN_RETRY_AFTER_US = SECOND_US
"""A rejected client always hears when to come back, and not at once."""


def give_up(state: DispatcherState, message: Message, reason: str) -> None:
    """Give a message its final answer.

    Rejected where the client may safely send it again, else failed.
    """
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
    """Whether a new attempt by the client does no harm.

    With an idempotency key it does none while the client comes back within the window.
    """
    message_class = message.message_class
    if message_class.idempotency is Idempotency.ALWAYS:
        return True
    if message.executed_at < 0 and not message.in_flight:
        return True
    if message_class.idempotency_scope is not IdempotencyScope.ALL:
        return False
    comes_back_at = state.now + max(retry_after_us, MIN_RETRY_AFTER_US)
    return comes_back_at < retry_deadline(message)


def client_retry_after(state: DispatcherState, message: Message) -> int:
    """How long the client should wait: until the destination can be called again."""
    if not state.settings.send_retry_after:
        return 0
    ends = [
        max(e.throttle_scope.retry_after_until, e.throttle_scope.backoff_until)
        for e in usable_endpoints(state, message)
    ]
    permit_at = quota_available_at(state, message.destination)
    ends_at = max(
        min(ends, default=state.now + SECOND_US), permit_at if permit_at < NEVER else 0
    )
    wait = max(MIN_RETRY_AFTER_US, ends_at - state.now)
    return min(wait, state.settings.max_retry_after_us)


def finish(state: DispatcherState, message: Message) -> None:
    """A message is over: nothing more is sent for it, and its key turns to the next."""
    del state.messages[message.id]
    stop_waiting(state, message)
    if message.ordering_key is not None:
        sequence = state.key_sequences[message.ordering_key]
        del sequence.messages[message.sequence_number]
        turn_to_next(state, message.ordering_key)
