"""Encodes members for the answers to heartbeats, once for each state of a member.

A member that joins receives the list of all others, and after a restart of the service
every member does. Without a cache the cost of that is the square of the fleet's size.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from rainfall.member.roster import Member

MAX_CACHED_MEMBERS = 20_000
"""Names in the cache, twice as many as may hold leases; past it the cache is emptied."""


class _CachedEncoding(NamedTuple):
    member: Member
    encoding: msgspec.Raw


class MemberEncoder:
    """Caches the last encoding of each name."""

    def __init__(self) -> None:
        self._encodings: dict[str, _CachedEncoding] = {}

    def encoded(self, members: Iterable[Member]) -> list[msgspec.Raw]:
        """JSON of each member, in the same order.

        A member object is immutable: a new state is a new object.
        """
        if len(self._encodings) > MAX_CACHED_MEMBERS:
            self._encodings.clear()
        return [self._encode(member) for member in members]

    def _encode(self, member: Member) -> msgspec.Raw:
        cached = self._encodings.get(member.name)
        if cached is not None and cached.member is member:
            return cached.encoding
        encoding = msgspec.Raw(msgspec.json.encode(member.to_wire()))
        self._encodings[member.name] = _CachedEncoding(member, encoding)
        return encoding
