"""A member's side of a migration: which keys it may act on, and which it gives up.

    acting -> frozen:    a new map gives the keys to another member; no new message is
                         accepted, those in flight are finished
    frozen -> acting:    a newer map gives them back before they were given up
    frozen -> given up:  everything is finished; the service learns of it by the next
                         heartbeat, and this hold never acts again
    any    -> gone:      the service no longer lists them, or the lease has expired

A member begins to act on keys only where the service's answer lists them, under a
token, and its own map, of the answer's generation, says that they are its own.
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
    """What a member may do with keys that were granted to it."""

    ACTING = "acting"
    FROZEN = "frozen"
    """Only messages in flight are finished."""
    GIVEN_UP = "gave"


# Looking up an enum's member costs more than comparing it; each message needs these.
_ACTING = RangeState.ACTING
_FROZEN = RangeState.FROZEN
_GIVEN_UP = RangeState.GIVEN_UP


@dataclass(frozen=True, slots=True)
class OwnedRange:
    """Keys that were granted to this member."""

    hold: RangeHold
    state: RangeState
    given_up_generation: int = -1
    """The highest map generation under which a heartbeat has given them up."""

    @property
    def key_range(self) -> KeyRange:
        """Its keys."""
        return self.hold.first, self.hold.last

    def restricted_to(
        self, ranges: Sequence[KeyRange], state: RangeState | None = None
    ) -> list[OwnedRange]:
        """Ranges like this one on other keys, and in another state if one is given."""
        return [
            replace(self, hold=hold, state=state or self.state)
            for hold in self.hold.restricted_to(ranges)
        ]


@dataclass(frozen=True, slots=True)
class OwnershipReport:
    """What a heartbeat says of the map."""

    sent: int
    """The heartbeat's number."""
    generation: int
    """Of the member's map; 0 for none."""
    digest: int
    given_up: tuple[KeyRange, ...]


@dataclass(slots=True)
class RangeOwnership:
    """The ranges of one member.

    The caller passes on every answer, and the lease's end by its own clock. It acts
    only on keys for which `may_act` returns a token, and stops what is in flight once
    the lease has expired (`held_ranges` is empty from then on).
    """

    name: str
    map: ShardMap | None = None
    incarnation: Token | None = None
    lease_expires_at_us: int = 0
    ranges: list[OwnedRange] = field(default_factory=list)
    last_sent: int = 0
    """The number of the last heartbeat. It goes on over incarnations."""
    last_answered: int = 0
    """The last heartbeat whose answer counted; an answer to an earlier one is late."""
    service_generation: int = 0
    """Of the service's map; if it is above the own map's, the map is fetched."""
    bits: int = KEY_BITS
    _first_keys: list[int] = field(default_factory=list)
    """The first key of each range."""

    def may_act(self, key: int, now_us: int) -> Token | None:
        """The token under which a new message of `key` may be accepted.

        None: the key is not this member's now.
        """
        owned = self._range_at(key)
        if owned is None or owned.state is not _ACTING:
            return None
        return owned.hold.token if now_us < self.lease_expires_at_us else None

    def may_finish(self, key: int, now_us: int) -> Token | None:
        """The token under which a message in flight may be finished.

        None: stop at once.
        """
        owned = self._range_at(key)
        if owned is None or owned.state is _GIVEN_UP:
            return None
        return owned.hold.token if now_us < self.lease_expires_at_us else None

    def held_ranges(self, now_us: int) -> list[OwnedRange]:
        """All ranges that are acted on, or still being finished."""
        if now_us >= self.lease_expires_at_us:
            return []
        return [owned for owned in self.ranges if owned.state is not _GIVEN_UP]

    def frozen_ranges(self) -> list[KeyRange]:
        """Keys whose messages have to be finished: `mark_drained` is due for them."""
        return [owned.key_range for owned in self.ranges if owned.state is _FROZEN]

    def adopt_map(self, raw: Any) -> list[MapFault]:
        """Check a map, whoever sent it, and apply it.

        With any fault the former map stays; the map in force, received again, is no
        fault. How many keys move is checked by the service only: this member may have
        missed any number of maps.

        Returns:
            The map's faults.
        """
        new, faults = evaluate_update(raw, None, self.map, None, self.bits)
        if new is not None and not faults:
            self.apply_map(new)
        return faults

    def _mapped_ranges(self) -> list[KeyRange]:
        ranges = () if self.map is None else self.map.ranges
        return [(r.first, r.last) for r in ranges if r.owner == self.name]

    def apply_map(self, new: ShardMap) -> None:
        """Put a checked map in force.

        Freeze what is another's now; act again on what it gives back in time.
        """
        self.map = new
        mapped = self._mapped_ranges()
        updated: list[OwnedRange] = []
        for owned in self.ranges:
            if owned.state is _GIVEN_UP:
                updated.append(owned)
                continue
            mine = intersection([owned.key_range], mapped)
            others = difference([owned.key_range], mapped)
            updated += owned.restricted_to(mine, _ACTING)
            updated += owned.restricted_to(others, _FROZEN)
        self._set_ranges(updated)

    def mark_drained(self, ranges: Sequence[KeyRange]) -> None:
        """Give up frozen keys of which no message is in flight any more."""
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

    def on_joined(self, token: Token, until_us: int) -> None:
        """A new incarnation holds nothing."""
        self.on_lease_lost()
        self.incarnation = token
        self.lease_expires_at_us = until_us

    def on_lease_lost(self) -> None:
        """The lease has expired, or the service says so: everything stops at once."""
        self.incarnation = None
        self.lease_expires_at_us = 0
        self._set_ranges([])

    def next_report(self) -> OwnershipReport:
        """The report for a heartbeat that is sent now."""
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
        until_us: int,
    ) -> bool:
        """Take the answer to a heartbeat.

        Args:
            token: The incarnation's token.
            sent: The number of the heartbeat.
            generation: Of the service's map.
            holds: Everything that the member holds.
            until_us: The lease's end, counted from when the heartbeat was sent.

        Returns:
            False where the answer is late or another incarnation's: it does not count.
        """
        if token != self.incarnation or sent <= self.last_answered:
            return False
        self.last_answered = sent
        # Counted from a later request than before: if it is shorter, the lease is.
        self.lease_expires_at_us = until_us
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
                kept = intersection([owned.key_range], listed_ranges)
                updated += owned.restricted_to(kept)
            new = difference(listed_ranges, [owned.key_range for owned in known])
            if new and self.map is not None and generation == self.map.generation:
                updated += self._begin_holds(listed[0], new)
        self._set_ranges(updated)
        return True

    def _begin_holds(
        self, hold: RangeHold, ranges: Sequence[KeyRange]
    ) -> list[OwnedRange]:
        """Take keys that are newly listed under one token.

        Some are given up at once. Those that are another's by the map were granted
        before a newer map, and never acted on. Those that a heartbeat under way gives
        up may be released at the service in place of an earlier hold, since it was sent
        under a map newer than this hold.
        """
        uncertain = self.given_up_after(hold.since_generation)
        mine = intersection(ranges, self._mapped_ranges())
        begun = difference(mine, uncertain)
        given_up = difference(ranges, begun)
        return [
            *(OwnedRange(part, _ACTING) for part in hold.restricted_to(begun)),
            *(OwnedRange(part, _GIVEN_UP) for part in hold.restricted_to(given_up)),
        ]

    def given_up_after(self, generation: int) -> list[KeyRange]:
        """Keys that a heartbeat has given up under a later map than `generation`."""
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
