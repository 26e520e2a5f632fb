"""Which further attempts a message may have: none may execute it twice by mistake.

WIRE, no duplicated effect. Times are integer microseconds.
"""

from __future__ import annotations

from rainfall.dispatch.endpoints import Endpoint
from rainfall.dispatch.queues import Message
from rainfall.dispatch.settings import Idempotency, IdempotencyScope
from rainfall.dispatch.state import DispatcherState
from rainfall.dispatch.times import NEVER

TRANSIT_SLACK_US = 50_000
"""A retry may be in transit for so long and still has to arrive within the window."""


def retry_deadline(message: Message, sent_at: int = -NEVER) -> int:
    """Until when a message can be sent again that may have been executed.

    `sent_at` is the time of a call by which it may be executed first. The endpoint
    counts a key's window from when that call came, which is no sooner than it was sent.
    """
    message_class = message.message_class
    if message_class.idempotency is Idempotency.ALWAYS:
        return NEVER
    if message_class.idempotency is Idempotency.AT_MOST_ONCE:
        return -NEVER
    first_sent_at = message.executed_at if message.executed_at >= 0 else sent_at
    return first_sent_at + message_class.idempotency_window_us - TRANSIT_SLACK_US


def may_retry(state: DispatcherState, message: Message) -> bool:
    """Whether a message may have another attempt, its first included."""
    if message.executed_at >= 0 and state.now >= retry_deadline(message):
        return False
    return message.attempts < min(message.max_attempts, state.settings.max_attempts)


def is_bound_to_scope(message: Message) -> bool:
    """Whether only some endpoints would recognize a message's idempotency key."""
    message_class = message.message_class
    return (
        message.executed_at >= 0
        and message_class.idempotency is Idempotency.WITH_KEY
        and message_class.idempotency_scope is not IdempotencyScope.ALL
    )


def usable_endpoints(state: DispatcherState, message: Message) -> list[Endpoint]:
    """Serving endpoints of the message's destination within its key's scope."""
    endpoints = state.serving(message.destination)
    if not is_bound_to_scope(message):
        return endpoints
    first = state.endpoints.get(message.executed_on)
    if first is None:  # it was called before a restart, and has left the list since
        return []
    scope = message.message_class.idempotency_scope
    zone = first.zone if scope is IdempotencyScope.ZONE else None
    return [e for e in endpoints if e is first or e.zone == zone]
