"""What one post of notices holds, and how long all that is owed takes."""

from __future__ import annotations

import asyncio
import json

import pytest

from rainfall.net.discovery import MOST_NOTICES, notice_within_s, post_body
from rainfall.net.http import MOST_BODY
from rainfall.net.store import Owed
from tests.sockets import Answer
from tests.test_crossing_notices import TAKEN, Book, notices, platform_that
from tests.test_list_told_in_time import in_virtual_time

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
        f"{n:06}" + character * (length - 6): Owed("returned", 3000)
        for n in range(3 * MOST_NOTICES)
    }
    told: list[str] = []
    posts = 0
    while owed:
        names, body = post_body(owed)
        assert 0 < len(names) <= MOST_NOTICES and len(body) <= MOST_BODY
        assert [json.loads(line)["id"] for line in body.splitlines()] == names
        for name in names:
            del owed[name]
        told += names
        posts += 1
    assert told == sorted(told) and len(told) == 3 * MOST_NOTICES
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
        book = Book(*(f"{n:016}" for n in range(3 * MOST_NOTICES)))
        posts = notices(peer, book)
        kicked = asyncio.get_running_loop().time()
        posts.kick()
        await book.until(lambda: not book.owed)
        assert (
            asyncio.get_running_loop().time() - kicked
            <= notice_within_s()
            < TOLD_AFTER_READY_S
        )
        assert book.done == sorted(book.done)
        posts.pause()

    in_virtual_time(scene)
