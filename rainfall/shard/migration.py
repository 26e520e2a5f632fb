"""The service's side of a migration: tracks which member holds which keys.

A key is either held by one incarnation of one member, or free. Only two events free a
key: its holder reports that it has given the key up, or the holder's lease has expired on
every clock. The report counts only if the holder gave the key up under a newer map than
the one that was in force when the key was granted. Only a free key is granted to its owner
in the map in force, under a new fencing token, and only in the answer to a heartbeat that
reports the same map. A new map changes no hold.

All times are microseconds of the service's clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any, NamedTuple

from rainfall.errors import RainfallError
from rainfall.lease.fencing_token import Token
from rainfall.shard.key_ranges import (
    KeyRange,
    count_keys,
    difference,
    intersection,
    union,
)
from rainfall.shard.map_validation import (
    MAX_MOVED_SHARE,
    MapFault,
    checked_map,
    evaluate_update,
)
from rainfall.shard.shard_map import (
    KEY_BITS,
    MAX_GENERATION,
    ShardMap,
    format_key,
    parse_key,
)

MAX_GENERATION_LEAD = 1 << 32
"""Highest accepted lead of a member's map generation over the service's.

The limit prevents a heartbeat from exhausting the generations.
"""
NO_OWNER = ""
"""Stands for the owner of a key if there is no map, and for the holder of a free key."""


class FencedError(RainfallError):
    """The lease of the incarnation has ended (409); the member must stop and join again."""


class StaleHeartbeatError(RainfallError):
    """A heartbeat older than one that was answered (409); it has no effect."""


@dataclass(frozen=True, slots=True, order=True)
class RangeHold:
    """A range of keys that one incarnation may act on under `token`."""

    first: int
    last: int
    token: Token
    since_generation: int
    """The generation of the map in force when the keys were granted."""

    @property
    def key_range(self) -> KeyRange:
        """The keys as (first, last)."""
        return (self.first, self.last)

    def restricted_to(self, ranges: Iterable[KeyRange]) -> list[RangeHold]:
        """Return holds with the same token and generation on other ranges."""
        return [
            RangeHold(first, last, self.token, self.since_generation)
            for first, last in ranges
        ]

    def to_row(self, bits: int) -> list[Any]:
        """Return the JSON row of the hold in a snapshot."""
        return [
            format_key(self.first, bits),
            format_key(self.last, bits),
            self.token.to_wire(),
            self.since_generation,
        ]

    @staticmethod
    def from_row(row: Iterable[Any], bits: int) -> RangeHold:
        """Decode a row of `to_row`."""
        first, last, token, since_generation = row
        return RangeHold(
            _required_key(first, bits),
            _required_key(last, bits),
            Token.from_wire(token),
            int(since_generation),
        )


@dataclass(slots=True)
class RangeHolder:
    """One incarnation of a member and its holds."""

    name: str
    expires_at_us: int
    """When the lease has expired on every clock."""
    holds: list[RangeHold] = field(default_factory=list)
    last_heartbeat: int = -1
    """The number of the last answered heartbeat.

    Not persisted: a restart closes the connections of heartbeats in flight.
    """


@dataclass(frozen=True, slots=True)
class HoldsAnswer:
    """The answer to one member's heartbeat."""

    generation: int
    """The generation of the map in force; 0 if there is none."""
    holds: tuple[RangeHold, ...]
    """All holds of the member; it must stop acting on all other keys."""
    changed: bool
    """Whether holds or the map changed; the change must be on disk before the answer."""


class MigratingRange(NamedTuple):
    """Keys that their owner in the map does not hold yet."""

    first: int
    last: int
    holder: str
    """The current holder; `NO_OWNER` if the keys are free."""
    owner: str


@dataclass(slots=True)
class MigrationCoordinator:
    """The holds of all members; `from_snapshot` restores them after a restart."""

    map: ShardMap | None
    epoch: int
    """The epoch of granted tokens."""
    grants_from_us: int = 0
    """No keys are granted before this time.

    If holds may be unknown after a restart, it is the time of the restart plus the longest
    lease, extended for clock drift.
    """
    last_token_number: int = 0
    """The number of the last token granted."""
    holders: dict[Token, RangeHolder] = field(default_factory=dict)
    """Holders by the token of the incarnation."""
    free: dict[str, list[KeyRange]] = field(default_factory=dict)
    """Free keys, by their owner in the map in force."""
    bits: int = KEY_BITS

    def __post_init__(self) -> None:
        if not self.free and not self.holders:
            self._release([_key_space(self.bits)])

    def submit_map(
        self,
        raw: Any,
        members: Collection[str] | None = None,
        max_moved_share: Fraction | None = MAX_MOVED_SHARE,
    ) -> list[MapFault]:
        """Check a map, as decoded from JSON, and put it in force.

        A map with faults (422) is rejected, and the current map stays. Submitting the map
        in force again is no fault and changes nothing. The change must be on disk before
        the request is answered.

        Returns:
            The map's faults.
        """
        new, faults = evaluate_update(
            raw, members, self.map, max_moved_share, self.bits
        )
        if new is not None and not faults:
            self.install_map(new)
        return faults

    def install_map(self, new: ShardMap) -> None:
        """Put a checked map in force; holds are unchanged."""
        free = union(key_range for ranges in self.free.values() for key_range in ranges)
        self.map = new
        self.free = {}
        self._release(free)

    def _raise_generation(self, generation: int) -> None:
        """Raise the generation of the map in force above one that a member reports.

        The service never issued the reported map, so its folder was lost or restored from
        a copy.
        """
        if self.map is not None and generation < MAX_GENERATION:
            self.install_map(ShardMap(generation + 1, self.map.ranges, self.bits))

    def _release(self, ranges: Sequence[KeyRange]) -> None:
        """Mark keys as free, by their owner in the map in force."""
        by_owner: dict[str, list[KeyRange]] = {}
        for first, last in ranges:
            if self.map is None:
                by_owner.setdefault(NO_OWNER, []).append((first, last))
                continue
            for owned in self.map.overlapping(first, last):
                part = (max(first, owned.first), min(last, owned.last))
                by_owner.setdefault(owned.owner, []).append(part)
        for owner, released in by_owner.items():
            self.free[owner] = union([*self.free.get(owner, ()), *released])

    def lease_renewed(self, token: Token, name: str, expires_at_us: int) -> None:
        """Record that a member joined or renewed its lease.

        The member stops acting at `expires_at_us` at the latest.
        """
        holder = self.holders.setdefault(token, RangeHolder(name, expires_at_us))
        holder.expires_at_us = max(holder.expires_at_us, expires_at_us)

    def expire(self, now_us: int) -> list[Token]:
        """Release the holds of incarnations whose lease has expired on every clock.

        Returns:
            The tokens of these incarnations.
        """
        expired = sorted(
            token
            for token, holder in self.holders.items()
            if holder.expires_at_us <= now_us
        )
        for token in expired:
            self.release_all(token)
        return expired

    def release_all(self, token: Token) -> None:
        """Release all holds of an incarnation that has stopped permanently."""
        holder = self.holders.pop(token, None)
        if holder is not None:
            self._release([hold.key_range for hold in holder.holds])

    def next_expiry_us(self) -> int | None:
        """Return when the next lease expires; None without holders."""
        return min(
            (holder.expires_at_us for holder in self.holders.values()), default=None
        )

    def heartbeat(
        self,
        token: Token,
        sent: int,
        generation: int,
        digest: int,
        given_up: Iterable[KeyRange],
        now_us: int,
    ) -> HoldsAnswer:
        """Process a member's heartbeat and grant free keys.

        Args:
            token: The incarnation's token.
            sent: The number of the heartbeat.
            generation: The generation of the member's map; 0 for none.
            digest: The digest of the member's map.
            given_up: Granted keys that the member has stopped acting on.
            now_us: The current time.

        Raises:
            FencedError: The lease of the incarnation has ended.
            StaleHeartbeatError: A later heartbeat was answered.
            ValueError: The generation is more than `MAX_GENERATION_LEAD` above the
                service's.
        """
        current = self.map
        current_generation = current.generation if current else 0
        if generation > current_generation + MAX_GENERATION_LEAD:
            raise ValueError("map: generation too far above the map in force")
        holder = self._live_holder(token, now_us)
        if sent <= holder.last_heartbeat:
            raise StaleHeartbeatError
        holder.last_heartbeat = sent
        holds_before = tuple(holder.holds)
        self._apply_give_up(holder, generation, union(given_up))
        if current is not None and (
            generation > current.generation
            or (generation == current.generation and digest != current.digest())
        ):
            self._raise_generation(generation)
        self._grant_free_ranges(token, holder, generation, now_us)
        holds = tuple(holder.holds)
        changed = (self.map, holds) != (current, holds_before)
        new_generation = 0 if self.map is None else self.map.generation
        return HoldsAnswer(new_generation, holds, changed)

    def _live_holder(self, token: Token, now_us: int) -> RangeHolder:
        holder = self.holders.get(token)
        if holder is None or holder.expires_at_us <= now_us:
            raise FencedError
        return holder

    def _apply_give_up(
        self, holder: RangeHolder, generation: int, given_up: Sequence[KeyRange]
    ) -> None:
        """Release keys that were given up under a map of `generation`.

        Only holds that began before that map are ended. For a later hold the report is
        stale: it refers to an earlier hold of the same keys.
        """
        if not given_up:
            return
        freed: list[KeyRange] = []
        remaining_holds: list[RangeHold] = []
        for hold in holder.holds:
            remaining = [hold.key_range]
            if self.give_up_applies(hold, generation):
                freed += intersection(remaining, given_up)
                remaining = difference(remaining, given_up)
            remaining_holds += hold.restricted_to(remaining)
        holder.holds = remaining_holds
        self._release(freed)

    def give_up_applies(self, hold: RangeHold, generation: int) -> bool:
        """Return whether a give-up under a map of `generation` can refer to this hold."""
        return generation > hold.since_generation

    def _grant_free_ranges(
        self, token: Token, holder: RangeHolder, generation: int, now_us: int
    ) -> None:
        """Grant a member the free keys that it owns, if it has the map in force.

        Of several incarnations of one name, only the newest receives grants.
        """
        if (
            self.map is None
            or generation != self.map.generation
            or now_us < self.grants_from_us
            or not self.free.get(holder.name)
            or self._is_superseded(token, holder.name)
        ):
            return
        self.last_token_number += 1
        granted = Token(self.epoch, self.last_token_number)
        new_holds = [
            RangeHold(first, last, granted, generation)
            for first, last in self.free.pop(holder.name)
        ]
        holder.holds = sorted([*holder.holds, *new_holds])

    def _is_superseded(self, token: Token, name: str) -> bool:
        return any(
            holder.name == name and other > token
            for other, holder in self.holders.items()
        )

    def ranges_in_migration(self) -> list[MigratingRange]:
        """Return the keys that their owner in the map does not hold, for operators."""
        found = [
            MigratingRange(first, last, NO_OWNER, owner)
            for owner, ranges in self.free.items()
            for first, last in ranges
        ]
        for holder in self.holders.values():
            for hold in holder.holds:
                found += self._owned_by_others(holder.name, hold)
        return sorted(found)

    def _owned_by_others(self, name: str, hold: RangeHold) -> list[MigratingRange]:
        if self.map is None:
            return []
        return [
            MigratingRange(
                max(hold.first, owned.first),
                min(hold.last, owned.last),
                name,
                owned.owner,
            )
            for owned in self.map.overlapping(hold.first, hold.last)
            if owned.owner != name
        ]

    def to_snapshot(self) -> dict[str, Any]:
        """Return the state to restore after a restart, for JSON.

        Free keys are not stored: they are all keys without a hold.
        """
        return {
            "map": None if self.map is None else self.map.to_wire(),
            "number": self.last_token_number,
            "holders": [
                {
                    "token": token.to_wire(),
                    "name": holder.name,
                    "holds": [hold.to_row(self.bits) for hold in holder.holds],
                }
                for token, holder in sorted(self.holders.items())
            ],
        }

    @staticmethod
    def from_snapshot(
        raw: Any,
        epoch: int,
        expires_at_us: int,
        grants_from_us: int = 0,
        bits: int = KEY_BITS,
    ) -> MigrationCoordinator:
        """Restore the coordinator after a restart.

        Args:
            raw: The result of `to_snapshot`.
            epoch: The epoch of granted tokens.
            expires_at_us: When the known leases expire, counted as renewed now.
            grants_from_us: No keys are granted before this time.
            bits: The width of the key space.

        Raises:
            ValueError: `raw` is not a valid snapshot; the cause may be an
                `InvalidMapError`.
        """
        try:
            shard_map = None
            if raw["map"] is not None:
                shard_map = checked_map(raw["map"], bits=bits)
            number = int(raw["number"])
            rows = [
                (
                    Token.from_wire(row["token"]),
                    _restored_holder(row, expires_at_us, bits),
                )
                for row in raw["holders"]
            ]
        # Any error means that this service did not write the snapshot.
        except Exception as error:
            raise ValueError(f"invalid migration snapshot: {error!r}") from error
        # Count the rows, not `dict(rows)`, which would hide a duplicate token.
        held = [hold.key_range for _, holder in rows for hold in holder.holds]
        if count_keys(held) != count_keys(union(held)):
            raise ValueError("invalid migration snapshot: several holds on one key")
        restored = MigrationCoordinator(
            shard_map, epoch, grants_from_us, number, bits=bits
        )
        restored.holders = dict(rows)
        restored.free = {}
        restored._release(difference([_key_space(bits)], union(held)))
        return restored


def _restored_holder(
    row: Mapping[str, Any], expires_at_us: int, bits: int
) -> RangeHolder:
    holds = sorted(RangeHold.from_row(hold, bits) for hold in row["holds"])
    return RangeHolder(str(row["name"]), expires_at_us, holds)


def _key_space(bits: int) -> KeyRange:
    """Return the range of all keys."""
    return (0, (1 << bits) - 1)


def _required_key(text: Any, bits: int) -> int:
    key = parse_key(text, bits)
    if key is None:
        raise ValueError(f"{text!r} is not a key")
    return key
