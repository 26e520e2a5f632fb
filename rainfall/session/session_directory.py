"""Who has a session now, for a message that comes to a forwarder that does not: pass it
on, or refuse it.

What a forwarder learns of a hand-over (it gave, took, or was told) outranks the map
until the map moves on or the note is old. Of two notes the one with more moves of the
session behind it is the later.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_HOPS = 1
"""The owner by the map may have given it away: it says so by passing on once more than
the first.
"""


@dataclass(frozen=True, slots=True)
class KnownOwner:
    owner: str
    migration_count: int
    valid_until_us: int


@dataclass(slots=True)
class SessionDirectory:
    name: str
    max_known_owners: int = 10_000
    known_owners: OrderedDict[str, KnownOwner] = field(default_factory=OrderedDict)

    def learn(
        self, key: str, owner: str, migration_count: int, valid_until_us: int
    ) -> bool:
        """False where something later is known already.

        The note longest known makes room.
        """
        known = self.known_owners.get(key)
        if known is not None and known.migration_count > migration_count:
            return False
        self.known_owners.pop(key, None)
        self.known_owners[key] = KnownOwner(owner, migration_count, valid_until_us)
        if len(self.known_owners) > self.max_known_owners:
            self.known_owners.popitem(last=False)
        return True

    def route(
        self,
        key: str,
        shard_owner: str | None,
        forwarded_by: tuple[str, ...],
        now_us: int,
    ) -> str | None:
        """The forwarder to go on to (our own name: take it on here), or None: refuse it
        503, with nothing taken on. `came`: who passed it on until here, first first;
        nobody is asked twice.
        """
        note = self.known_owners.get(key)
        if note is not None and note.valid_until_us <= now_us:
            del self.known_owners[key]
            note = None
        owner = note.owner if note is not None else shard_owner
        if owner == self.name:
            return owner
        if (
            owner is None
            or owner in forwarded_by
            or self.name in forwarded_by
            or len(forwarded_by) > MAX_HOPS
        ):
            return None
        return owner
