"""Pending notifications: their encoding, and the limits on the time they may take."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple, Protocol

from rainfall.forwarder.http1 import MAX_BODY_BYTES
from rainfall.forwarder.message_store import PendingNotification

NOTIFICATION_PATH = "/v1/notices"
NOTIFICATION_MIN_RETRY_S = 0.02
"""Between two posts that fail, so that no failure makes the notifier spin."""
NOTIFICATION_FIRST_BACKOFF_S = 0.1
"""Longest backoff after the first post that fails; it doubles by each further one, ..."""
NOTIFICATION_TOP_BACKOFF_S = 0.2
"""... up to this."""
NOTIFICATION_RESPONSE_TIMEOUT_S = 0.1
"""How long a response is waited for: it comes at once. It doubles by each timeout ..."""
NOTIFICATION_TOP_RESPONSE_TIMEOUT_S = 0.8
"""... up to this, for a platform that is slow all the time."""
DOUBLING_LIMIT = 8
"""Doublings are not counted beyond this; every limit is reached long before."""
LOOP_ALLOWANCE_S = 0.03
"""What the event loop's timers take."""
MAX_NOTIFICATIONS_PER_POST = 1024
"""Lines in one post: after a restart, as many may be pending as messages were held."""

if TYPE_CHECKING:

    class NotificationSource(Protocol):
        """Where notifications are kept until they are acknowledged."""

        def pending_notifications(self) -> dict[str, PendingNotification]:
            """Return those that may be sent, by message."""

        def acknowledge_notifications(self, names: list[str]) -> None:
            """Forget the notifications of these messages."""


class NotificationBatch(NamedTuple):
    """The notifications of one post."""

    message_ids: list[str]
    body: bytes


def notification_latency_bound_s() -> float:
    """Return the longest way from a notification to the 204 with one failed post.

    The post gets no response, and the next one ends in an error. This must stay below
    the 0.3 s after which a notification is overdue.
    """
    return (
        NOTIFICATION_RESPONSE_TIMEOUT_S
        + NOTIFICATION_MIN_RETRY_S
        + NOTIFICATION_FIRST_BACKOFF_S
        + LOOP_ALLOWANCE_S
    )


def doubled_up_to(first_s: float, doublings: int, top_s: float) -> float:
    """Return a time that was doubled so often, and `top_s` at most."""
    return min(top_s, first_s * 2.0 ** min(doublings, DOUBLING_LIMIT))


def encode_notifications(
    pending: dict[str, PendingNotification],
) -> NotificationBatch:
    """Encode the first pending notifications, as many as one body holds."""
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
