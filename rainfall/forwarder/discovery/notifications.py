"""Pending notifications: their encoding, and the timeouts and backoffs of posts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple, Protocol

from rainfall.forwarder.http1 import MAX_BODY_BYTES
from rainfall.forwarder.message_store import PendingNotification

NOTIFICATION_PATH = "/v1/notices"
"""Path of the platform to which notifications are posted."""
NOTIFICATION_MIN_RETRY_S = 0.02
"""Minimum delay after a failed post, to avoid a busy loop of retries."""
NOTIFICATION_FIRST_BACKOFF_S = 0.1
"""Maximum backoff after the first failed post; doubled by each further failure, up to
NOTIFICATION_BACKOFF_LIMIT_S.
"""
NOTIFICATION_BACKOFF_LIMIT_S = 0.2
"""Upper limit of the maximum backoff."""
NOTIFICATION_RESPONSE_TIMEOUT_S = 0.1
"""Timeout of a post, which the platform normally answers at once. It doubles with each
further timeout in a row, up to NOTIFICATION_RESPONSE_TIMEOUT_LIMIT_S.
"""
NOTIFICATION_RESPONSE_TIMEOUT_LIMIT_S = 0.8
"""Upper limit of the timeout of a post, for a platform that is permanently slow."""
DOUBLING_LIMIT = 8
"""Maximum number of doublings; every upper limit is reached with fewer."""
LOOP_ALLOWANCE_S = 0.03
"""Allowance for the delay of the event loop's timers."""
MAX_NOTIFICATIONS_PER_POST = 1024
"""Maximum number of notifications in one post. After a restart, as many may be pending
as there were messages.
"""

if TYPE_CHECKING:

    class NotificationSource(Protocol):
        """Stores notifications until they are acknowledged."""

        def pending_notifications(self) -> dict[str, PendingNotification]:
            """Return the notifications that may be sent, by message id."""

        def acknowledge_notifications(self, message_ids: list[str]) -> None:
            """Remove the notifications of these messages."""


class NotificationBatch(NamedTuple):
    """The notifications of one post."""

    message_ids: list[str]
    """Messages whose notifications the body holds."""
    body: bytes
    """The encoded notifications, one JSON object per line."""


def notification_latency_bound_s() -> float:
    """Return the maximum time, in seconds, from a notification to its 204.

    Covered are a first post without a response and a second one that ends in an error.
    The result must stay below the 0.3 s after which a notification is overdue.
    """
    return (
        NOTIFICATION_RESPONSE_TIMEOUT_S
        + NOTIFICATION_MIN_RETRY_S
        + NOTIFICATION_FIRST_BACKOFF_S
        + LOOP_ALLOWANCE_S
    )


def exponential_delay_s(initial_s: float, doublings: int, limit_s: float) -> float:
    """Return `initial_s` doubled `doublings` times, capped at `limit_s`."""
    return min(limit_s, initial_s * 2.0 ** min(doublings, DOUBLING_LIMIT))


def encode_notifications(
    pending: dict[str, PendingNotification],
) -> NotificationBatch:
    """Encode as many of the first pending notifications as one post may hold."""
    message_ids: list[str] = []
    body = bytearray()
    for message_id, notification in pending.items():
        line = encode_notification(message_id, notification)
        if (
            len(message_ids) == MAX_NOTIFICATIONS_PER_POST
            or len(body) + len(line) > MAX_BODY_BYTES
        ):
            break
        message_ids.append(message_id)
        body += line
    return NotificationBatch(message_ids, bytes(body))


def encode_notification(message_id: str, notification: PendingNotification) -> bytes:
    """Encode one notification as a line of JSON."""
    fields: dict[str, str | int] = {"id": message_id, "state": notification.state}
    if notification.after_ms > 0:
        fields["after_ms"] = notification.after_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
