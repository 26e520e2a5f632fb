"""What one post of notices holds, and how long all that is owed takes."""

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
from tests.forwarder.test_notification_races import TAKEN, Book, notices, platform_that
from tests.support.loopback_peers import Answer

TOLD_AFTER_READY_S = 1.5  # from when on an end of before a restart is overdue


@pytest.mark.parametrize("character", ["m", '"'])
@pytest.mark.parametrize("length", [16, 128])
def test_a_post_holds_as_many_ends_as_its_body_takes(
    length: int, character: str
) -> None:
    """Ids may have 128 characters, and some take two bytes in JSON: 500 of them were
    over 64 KiB.
    """
    owed = {
        f"{n:06}" + character * (length - 6): PendingNotification("returned", 3000)
        for n in range(3 * MAX_NOTIFICATIONS_PER_POST)
    }
    told: list[str] = []
    posts = 0
    while owed:
        names, body = encode_notifications(owed)
        assert (
            0 < len(names) <= MAX_NOTIFICATIONS_PER_POST and len(body) <= MAX_BODY_BYTES
        )
        assert [json.loads(line)["id"] for line in body.splitlines()] == names
        for name in names:
            del owed[name]
        told += names
        posts += 1
    assert told == sorted(told) and len(told) == 3 * MAX_NOTIFICATIONS_PER_POST
    if length == 16 and character == "m":
        assert posts == 3


@pytest.mark.parametrize("lost", [b"", None, Answer(503), b"HTTP/1.1 204 No"])
def test_all_that_a_restart_owes_is_told_soon_though_a_post_is_lost(
    lost: Answer | bytes | None,
) -> None:
    """Three thousand ends; the second post falls silent or breaks off. What was owed
    first goes first.
    """

    async def scene() -> None:
        peer = await platform_that(TAKEN, lost, TAKEN)
        book = Book(*(f"{n:016}" for n in range(3 * MAX_NOTIFICATIONS_PER_POST)))
        posts = notices(peer, book)
        kicked = asyncio.get_running_loop().time()
        posts.post_pending()
        await book.until(lambda: not book.owed)
        assert (
            asyncio.get_running_loop().time() - kicked
            <= notification_latency_bound_s()
            < TOLD_AFTER_READY_S
        )
        assert book.done == sorted(book.done)
        posts.pause()

    in_virtual_time(scene)
