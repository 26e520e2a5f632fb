"""What one post of notices holds."""

from __future__ import annotations

import json

import pytest

from lemonshunt.net.discovery import MOST_NOTICES, post_body
from lemonshunt.net.http import MOST_BODY
from lemonshunt.net.store import Owed


@pytest.mark.parametrize("character", ["m", '"'])
@pytest.mark.parametrize("length", [16, 128])
def test_a_post_holds_as_many_ends_as_its_body_takes(length: int, character: str) -> None:
    """Ids may have 128 characters, and some take two bytes in JSON: 500 of them were over 64 KiB."""
    owed = {f"{n:06}" + character * (length - 6): Owed("returned", 3000) for n in range(3 * MOST_NOTICES)}
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
