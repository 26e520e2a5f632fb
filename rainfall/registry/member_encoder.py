"""Encodes members for the answers to heartbeats, and caches the encodings.

A member that joins receives the list of all members, and after a restart of the service
every member does. Without a cache the encoding cost is quadratic in the fleet's size.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from rainfall.member.roster import Member

MAX_CACHED_MEMBERS = 20_000
"""Names in the cache, twice the limit of leases; above this the cache is cleared."""


class _CachedEncoding(NamedTuple):
    member: Member
    encoding: msgspec.Raw


class MemberEncoder:
    """Encodes members as JSON, and caches the last encoding of each name."""

    def __init__(self) -> None:
        self._encodings: dict[str, _CachedEncoding] = {}

    def encoded(self, members: Iterable[Member]) -> list[msgspec.Raw]:
        """Return the JSON of each member, in the same order.

        Members are immutable, so an encoding is valid as long as the object is the same.
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
