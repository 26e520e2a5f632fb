"""Limits attempts so that no message is executed twice if that does harm.

Implements WIRE, no duplicated effect. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import Idempotency, IdempotencyScope
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER

MAX_SEND_DELAY_US = 150_000
"""Longest time for which a process may be held up between reading its clock and writing
(FLEET). A retry that is allowed this long before the end of its window is still sent
within it.
"""


def retry_deadline(message: Message, sent_at: int = -NEVER) -> int:
    """Return the time from which a possibly executed message must not be resent.

    NEVER if it may always be resent, -NEVER if it must not be resent at all.

    `sent_at` is used if the message has not been executed yet: the send time of the
    call that may execute it first. The endpoint starts the window of a key when that
    call arrives, which is no earlier than it was sent.
    """
    message_class = message.message_class
    if message_class.idempotency is Idempotency.ALWAYS:
        return NEVER
    if message_class.idempotency is Idempotency.AT_MOST_ONCE:
        return -NEVER
    first_sent_at = message.executed_at if message.executed_at >= 0 else sent_at
    return first_sent_at + message_class.idempotency_window_us - MAX_SEND_DELAY_US


def may_attempt(state: DispatcherState, message: Message) -> bool:
    """Whether a message may have an attempt, its first or a retry."""
    if message.executed_at >= 0 and state.now >= retry_deadline(message):
        return False
    return message.attempts < min(message.max_attempts, state.settings.max_attempts)


def is_bound_to_scope(message: Message) -> bool:
    """Whether only some endpoints recognize a message's idempotency key.

    This concerns messages that may have been executed; they may be resent only to these
    endpoints.
    """
    message_class = message.message_class
    return (
        message.executed_at >= 0
        and message_class.idempotency is Idempotency.WITH_KEY
        and message_class.idempotency_scope is not IdempotencyScope.ALL
    )


def usable_endpoints(state: DispatcherState, message: Message) -> list[Endpoint]:
    """Return the serving endpoints of a message's destination to which it may be sent.

    For a message bound to a scope these are the endpoints that recognize its key.
    """
    endpoints = state.serving(message.destination)
    if not is_bound_to_scope(message):
        return endpoints
    first = state.endpoints.get(message.executed_on)
    if first is None:  # called before a restart, and no longer in the endpoint list
        return []
    scope = message.message_class.idempotency_scope
    zone = first.zone if scope is IdempotencyScope.ZONE else None
    return [e for e in endpoints if e is first or e.zone == zone]
