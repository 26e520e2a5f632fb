"""The member's side of a migration: the state of each range granted to it.

    acting -> frozen:    a new map assigns the keys to another member; new messages are
                         rejected, messages in flight are finished
    frozen -> acting:    a newer map assigns the keys to this member again
    frozen -> given up:  the range is drained; the next heartbeat reports it, and the
                         member never acts under this hold again
    any    -> removed:   the service no longer lists the range, or the lease has expired

A member starts to act on keys only if the service's answer lists them under a token, and
its own map has the answer's generation and assigns the keys to it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any

from rainfall.lease.fencing_token import Token
from rainfall.shard.key_ranges import KeyRange, difference, intersection, union
from rainfall.shard.map_validation import MapFault, evaluate_update
from rainfall.shard.migration import RangeHold
from rainfall.shard.shard_map import KEY_BITS, ShardMap


class RangeState(StrEnum):
    """The state of a range of keys that was granted to a member."""

    ACTING = "acting"
    FROZEN = "frozen"
    """New messages are rejected; messages in flight are finished."""
    GIVEN_UP = "gave"


# Used for each message: an enum attribute lookup is slower than a comparison.
_ACTING = RangeState.ACTING
_FROZEN = RangeState.FROZEN
_GIVEN_UP = RangeState.GIVEN_UP


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """A range of keys that was granted to this member."""

    hold: RangeHold
    state: RangeState
    given_up_generation: int = -1
    """The highest map generation under which a heartbeat reported the keys as given up."""

    @property
    def key_range(self) -> KeyRange:
        """The keys as (first, last)."""
        return self.hold.first, self.hold.last

    def restricted_to(
        self, ranges: Sequence[KeyRange], state: RangeState | None = None
    ) -> list[OwnedRange]:
        """Return copies of this range for other keys, with `state` if given."""
        return [
            replace(self, hold=hold, state=state or self.state)
            for hold in self.hold.restricted_to(ranges)
        ]


@dataclass(frozen=True, slots=True)
class OwnershipReport:
    """The part of a heartbeat that concerns the map."""

    sent: int
    """The number of the heartbeat."""
    generation: int
    """The generation of the member's map; 0 for none."""
    digest: int
    """The digest of the member's map; 0 for none."""
    given_up: tuple[KeyRange, ...]
    """All keys that are given up and still listed."""


@dataclass(slots=True)
class RangeOwnership:
    """The ranges granted to one member.

    The caller passes in every heartbeat answer, and the lease's end by its own clock. It
    acts only on keys for which `may_act` returns a token, and aborts work in flight when
    the lease has expired (`held_ranges` is then empty).
    """

    name: str
    map: ShardMap | None = None
    incarnation: Token | None = None
    lease_expires_at_us: int = 0
    ranges: list[OwnedRange] = field(default_factory=list)
    last_sent: int = 0
    """The number of the last heartbeat; not reset by a new incarnation."""
    last_answered: int = 0
    """The last heartbeat whose answer was applied; answers to earlier ones are stale."""
    service_generation: int = 0
    """The generation of the service's map; if it is higher, the caller fetches the map."""
    bits: int = KEY_BITS
    _first_keys: list[int] = field(default_factory=list)
    """The first key of each range, for bisection."""

    def may_act(self, key: int, now_us: int) -> Token | None:
        """Return the token under which a new message of `key` may be accepted.

        Returns None if this member may not act on the key now.
        """
        owned = self._range_at(key)
        if owned is None or owned.state is not _ACTING:
            return None
        return owned.hold.token if now_us < self.lease_expires_at_us else None

    def may_finish(self, key: int, now_us: int) -> Token | None:
        """Return the token under which a message in flight may be finished.

        Returns None if the message must be aborted immediately.
        """
        owned = self._range_at(key)
        if owned is None or owned.state is _GIVEN_UP:
            return None
        return owned.hold.token if now_us < self.lease_expires_at_us else None

    def held_ranges(self, now_us: int) -> list[OwnedRange]:
        """Return the acting and frozen ranges; none after the lease has expired."""
        if now_us >= self.lease_expires_at_us:
            return []
        return [owned for owned in self.ranges if owned.state is not _GIVEN_UP]

    def frozen_ranges(self) -> list[KeyRange]:
        """Return the keys to drain; call `mark_drained` when their messages are finished."""
        return [owned.key_range for owned in self.ranges if owned.state is _FROZEN]

    def adopt_map(self, raw: Any) -> list[MapFault]:
        """Check a map from any sender, and apply it.

        A map with faults is rejected; receiving the current map again is no fault. Only
        the service limits the share of moved keys, since this member may have missed any
        number of maps.

        Returns:
            The map's faults.
        """
        new, faults = evaluate_update(raw, None, self.map, None, self.bits)
        if new is not None and not faults:
            self.apply_map(new)
        return faults

    def _mapped_ranges(self) -> list[KeyRange]:
        ranges = () if self.map is None else self.map.ranges
        return [
            (map_range.first, map_range.last)
            for map_range in ranges
            if map_range.owner == self.name
        ]

    def apply_map(self, new: ShardMap) -> None:
        """Put a checked map in force.

        Freezes ranges of other owners, and resumes frozen ranges that are assigned to
        this member again.
        """
        self.map = new
        mapped = self._mapped_ranges()
        updated: list[OwnedRange] = []
        for owned in self.ranges:
            if owned.state is _GIVEN_UP:
                updated.append(owned)
                continue
            own = intersection([owned.key_range], mapped)
            others = difference([owned.key_range], mapped)
            updated += owned.restricted_to(own, _ACTING)
            updated += owned.restricted_to(others, _FROZEN)
        self._set_ranges(updated)

    def mark_drained(self, ranges: Sequence[KeyRange]) -> None:
        """Give up frozen keys without messages in flight."""
        drained = union(ranges)
        updated: list[OwnedRange] = []
        for owned in self.ranges:
            if owned.state is not _FROZEN:
                updated.append(owned)
                continue
            given_up = intersection([owned.key_range], drained)
            remaining = difference([owned.key_range], drained)
            updated += owned.restricted_to(given_up, _GIVEN_UP)
            updated += owned.restricted_to(remaining)
        self._set_ranges(updated)

    def on_joined(self, token: Token, lease_expires_at_us: int) -> None:
        """Start a new incarnation, which holds no keys."""
        self.on_lease_lost()
        self.incarnation = token
        self.lease_expires_at_us = lease_expires_at_us

    def on_lease_lost(self) -> None:
        """Drop all ranges: the lease has expired, or the service has fenced the member."""
        self.incarnation = None
        self.lease_expires_at_us = 0
        self._set_ranges([])

    def next_report(self) -> OwnershipReport:
        """Return the report for the next heartbeat, and record what it gives up."""
        self.last_sent += 1
        generation = 0
        digest = 0
        if self.map is not None:
            generation = self.map.generation
            digest = self.map.digest()
        self._set_ranges(
            [
                replace(owned, given_up_generation=generation)
                if owned.state is _GIVEN_UP
                else owned
                for owned in self.ranges
            ]
        )
        given_up = union(
            owned.key_range for owned in self.ranges if owned.state is _GIVEN_UP
        )
        return OwnershipReport(self.last_sent, generation, digest, tuple(given_up))

    def apply_answer(
        self,
        token: Token,
        sent: int,
        generation: int,
        holds: Sequence[RangeHold],
        lease_expires_at_us: int,
    ) -> bool:
        """Apply the answer to a heartbeat.

        Args:
            token: The incarnation's token.
            sent: The number of the heartbeat.
            generation: The generation of the service's map.
            holds: All holds of the member.
            lease_expires_at_us: The lease's end, counted from when the heartbeat was sent.

        Returns:
            False if the answer is stale or for another incarnation; it is then ignored.
        """
        if token != self.incarnation or sent <= self.last_answered:
            return False
        self.last_answered = sent
        # Set even if it is earlier: it counts from a later heartbeat than the old value.
        self.lease_expires_at_us = lease_expires_at_us
        self.service_generation = generation
        owned_by_token: dict[Token, list[OwnedRange]] = {}
        for owned in self.ranges:
            owned_by_token.setdefault(owned.hold.token, []).append(owned)
        holds_by_token: dict[Token, list[RangeHold]] = {}
        for hold in sorted(holds):
            holds_by_token.setdefault(hold.token, []).append(hold)
        updated: list[OwnedRange] = []
        for hold_token, listed in sorted(holds_by_token.items()):
            listed_ranges = [hold.key_range for hold in listed]
            known = owned_by_token.get(hold_token, [])
            for owned in known:
                still_held = intersection([owned.key_range], listed_ranges)
                updated += owned.restricted_to(still_held)
            new = difference(listed_ranges, [owned.key_range for owned in known])
            if new and self.map is not None and generation == self.map.generation:
                updated += self._start_holds(listed[0], new)
        self._set_ranges(updated)
        return True

    def _start_holds(
        self, hold: RangeHold, ranges: Sequence[KeyRange]
    ) -> list[OwnedRange]:
        """Return ranges for keys that are newly listed under one token.

        Two kinds of keys are given up immediately. Keys that the map assigns to another
        member were granted under an older map, and were never acted on. Keys that a
        heartbeat in flight gives up may be released by the service although the
        heartbeat meant an earlier hold, since it was sent under a map newer than this
        hold.
        """
        pending_give_ups = self.given_up_after(hold.since_generation)
        own = intersection(ranges, self._mapped_ranges())
        started = difference(own, pending_give_ups)
        given_up = difference(ranges, started)
        return [
            *(OwnedRange(part, _ACTING) for part in hold.restricted_to(started)),
            *(OwnedRange(part, _GIVEN_UP) for part in hold.restricted_to(given_up)),
        ]

    def given_up_after(self, generation: int) -> list[KeyRange]:
        """Return the keys that a heartbeat gave up under a map newer than `generation`."""
        return union(
            owned.key_range
            for owned in self.ranges
            if owned.state is _GIVEN_UP and owned.given_up_generation > generation
        )

    def _set_ranges(self, ranges: list[OwnedRange]) -> None:
        self.ranges = sorted(ranges, key=lambda owned: owned.hold)
        self._first_keys = [owned.hold.first for owned in self.ranges]

    def _range_at(self, key: int) -> OwnedRange | None:
        index = bisect_right(self._first_keys, key) - 1
        if index < 0:
            return None
        owned = self.ranges[index]
        return owned if key <= owned.hold.last else None
