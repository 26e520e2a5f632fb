"""Directory of migrated sessions: the forwarder that owns each of them.

An entry, learned as a side of a migration or from a peer, overrides the shard map until
it expires. Of two owners of a session the one after more migrations is the newer.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_HOPS = 1
"""Forwards after the first: the shard map's owner may have migrated the session."""


@dataclass(frozen=True, slots=True)
class KnownOwner:
    """The owner of a session after `migration_count` migrations, valid until a time."""

    owner: str
    migration_count: int
    valid_until_us: int


@dataclass(slots=True)
class SessionDirectory:
    """The owners of migrated sessions, as recorded by the forwarder `name`."""

    name: str
    max_known_owners: int = 10_000
    known_owners: OrderedDict[str, KnownOwner] = field(default_factory=OrderedDict)

    def learn(
        self, key: str, owner: str, migration_count: int, valid_until_us: int
    ) -> bool:
        """Record a session's owner; return False where a newer one is recorded.

        At `max_known_owners` the oldest entry is evicted.
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
        """Return the forwarder that has to handle a message.

        Args:
            key: The session's order key.
            shard_owner: The owner by the shard map.
            forwarded_by: The forwarders that have forwarded the message, in order; none of
                them receives it again.
            now_us: The time now, in the clock of `valid_until_us`.

        Returns:
            This forwarder's own name where the message is to be accepted here; None where
            it is to be rejected.
        """
        owner = self._known_owner(key, now_us)
        if owner is None:
            owner = shard_owner
        if owner is None or owner == self.name:
            return owner
        if owner in forwarded_by or self.name in forwarded_by:
            return None
        return None if len(forwarded_by) > MAX_HOPS else owner

    def _known_owner(self, key: str, now_us: int) -> str | None:
        known = self.known_owners.get(key)
        if known is None:
            return None
        if known.valid_until_us <= now_us:
            del self.known_owners[key]
            return None
        return known.owner
