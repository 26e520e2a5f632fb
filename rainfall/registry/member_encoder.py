"""Members as they stand in answers to beats: each is encoded once for each state it is
in.

A member that joins is told of all others, and after a start of the service each is.
With every answer encoded from the ground up, what a fleet's start costs would grow with
the square of its members many times over.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from rainfall.member.roster import Member

MAX_CACHED_MEMBERS = 20_000
"""Names kept, twice as many as may hold leases; past so many all are encoded anew as
they are asked for.
"""


class MemberEncoder:
    """Keeps the last encoding of each name."""

    def __init__(self) -> None:
        self._encodings: dict[str, tuple[Member, msgspec.Raw]] = {}

    def encoded(self, members: Iterable[Member]) -> list[msgspec.Raw]:
        """JSON of each, in the same order.

        A member object never changes: a new state is a new object.
        """
        if len(self._encodings) > MAX_CACHED_MEMBERS:
            self._encodings.clear()
        return [self._encode(member) for member in members]

    def _encode(self, member: Member) -> msgspec.Raw:
        known = self._encodings.get(member.name)
        if known is not None and known[0] is member:
            return known[1]
        raw = msgspec.Raw(msgspec.json.encode(member.to_wire()))
        self._encodings[member.name] = member, raw
        return raw
