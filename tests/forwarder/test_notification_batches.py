"""The size of one notification post, and the time to post all pending notifications."""

from __future__ import annotations

import asyncio
import json

import pytest

from rainfall.forwarder.discovery.endpoint_watch import (
    MAX_NOTIFICATIONS_PER_POST,
    encode_notifications,
    notification_latency_bound_s,
)
from rainfall.forwarder.http1 import MAX_BODY_BYTES
from rainfall.forwarder.message_store import PendingNotification
from tests.forwarder.test_endpoint_list_deadline import in_virtual_time
from tests.forwarder.test_notification_races import (
    TAKEN,
    PendingNotifications,
    create_notifier,
    scripted_platform,
)
from tests.support.loopback_peers import Answer

RESTART_NOTIFICATION_LIMIT_S = 1.5  # time limit for notifications pending at a restart


@pytest.mark.parametrize("character", ["m", '"'])
@pytest.mark.parametrize("length", [16, 128])
def test_post_holds_as_many_notifications_as_its_body_limit_allows(
    length: int, character: str
) -> None:
    """Guards against posts over 64 KiB: ids may have 128 characters, and some characters
    take two bytes in JSON, so 500 ids exceeded the limit.
    """
    pending = {
        f"{n:06}" + character * (length - 6): PendingNotification("returned", 3000)
        for n in range(3 * MAX_NOTIFICATIONS_PER_POST)
    }
    posted: list[str] = []
    posts = 0
    while pending:
        ids, body = encode_notifications(pending)
        assert (
            0 < len(ids) <= MAX_NOTIFICATIONS_PER_POST and len(body) <= MAX_BODY_BYTES
        )
        assert [json.loads(line)["id"] for line in body.splitlines()] == ids
        for message_id in ids:
            del pending[message_id]
        posted += ids
        posts += 1
    assert posted == sorted(posted) and len(posted) == 3 * MAX_NOTIFICATIONS_PER_POST
    if length == 16 and character == "m":
        assert posts == 3


@pytest.mark.parametrize("lost", [b"", None, Answer(503), b"HTTP/1.1 204 No"])
def test_notifications_pending_at_a_restart_arrive_in_time_although_a_post_is_lost(
    lost: Answer | bytes | None,
) -> None:
    """Three full posts of notifications, of which the second goes silent or breaks off.
    The oldest notifications go first.
    """

    async def scene() -> None:
        peer = await scripted_platform(TAKEN, lost, TAKEN)
        store = PendingNotifications(
            *(f"{n:016}" for n in range(3 * MAX_NOTIFICATIONS_PER_POST))
        )
        notifier = create_notifier(peer, store)
        started_at = asyncio.get_running_loop().time()
        notifier.post_pending()
        await store.until(lambda: not store.pending)
        assert (
            asyncio.get_running_loop().time() - started_at
            <= notification_latency_bound_s()
            < RESTART_NOTIFICATION_LIMIT_S
        )
        assert store.acknowledged == sorted(store.acknowledged)
        notifier.pause()

    in_virtual_time(scene)
