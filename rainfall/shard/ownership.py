"""A member's side of a move: which keys it may act on right now, and what it says of
those it may not.

    acting -> frozen: a new map gives the keys to another; nothing new is taken, what is
    out comes to its end frozen -> acting: a newer map gives them back before anything
    was said
    frozen -> gave:   all is ended; from the next beat on the service is told, and this
      hold never acts again
    any    -> gone:   the service no longer lists them, or the lease is out

Keys begin to be acted on only where the service's answer lists them, under a token, and
this member's own map, of the answer's generation, says that they are its own.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any, Literal

from rainfall.lease.fencing_token import Token
from rainfall.shard.key_ranges import KeyRange, difference, intersection, union
from rainfall.shard.map_validation import MapFault, evaluate_update
from rainfall.shard.migration import RangeHold
from rainfall.shard.shard_map import KEY_BITS, ShardMap

RangeState = Literal["acting", "frozen", "gave"]


@dataclass(frozen=True, slots=True)
class OwnedRange:
    hold: RangeHold
    state: RangeState
    given_up_generation: int = -1
    """The highest map generation under which a beat has said `gave` of it."""

    @property
    def key_range(self) -> KeyRange:
        return self.hold.first, self.hold.last

    def restricted_to(
        self, spans: Sequence[KeyRange], state: RangeState | None = None
    ) -> list[OwnedRange]:
        return [
            replace(self, hold=h, state=state or self.state)
            for h in self.hold.restricted_to(spans)
        ]


@dataclass(frozen=True, slots=True)
class OwnershipReport:
    """What a beat says of the map: its generation (0: none), its digest, and the keys
    not acted on.
    """

    sent: int
    generation: int
    digest: int
    given_up: tuple[KeyRange, ...]


@dataclass(slots=True)
class RangeOwnership:
    """The shell hands in every answer, and the lease's end by its own clock; it acts
    only on what `may_act` gives a token for, and ends what is out once the lease is
    (`holding` is empty from then on).
    """

    name: str
    map: ShardMap | None = None
    incarnation: Token | None = None
    lease_expires_at_us: int = 0
    ranges: list[OwnedRange] = field(default_factory=list)
    last_sent: int = 0
    """Of the last beat. It goes on over incarnations."""
    last_answered: int = 0
    """The last beat whose answer was taken; an answer to one before it is late."""
    service_generation: int = 0
    """The generation the service has; above the map's, the map is fetched."""
    bits: int = KEY_BITS
    _first_keys: list[int] = field(default_factory=list)

    # -- what the shell asks
    # ---------------------------------------------------------------------

    def may_act(self, key: int, now_us: int) -> Token | None:
        """The token to take on a new message of `key` under; None: it is not this
        member's now.
        """
        own = self._range_at(key)
        return (
            own.hold.token
            if own and own.state == "acting" and now_us < self.lease_expires_at_us
            else None
        )

    def may_finish(self, key: int, now_us: int) -> Token | None:
        """The token under which a message already taken on may be carried to its end;
        None: stop at once.
        """
        own = self._range_at(key)
        return (
            own.hold.token
            if own and own.state != "gave" and now_us < self.lease_expires_at_us
            else None
        )

    def held_ranges(self, now_us: int) -> list[OwnedRange]:
        """All that is acted on or still being ended."""
        return (
            [own for own in self.ranges if own.state != "gave"]
            if now_us < self.lease_expires_at_us
            else []
        )

    def frozen_ranges(self) -> list[KeyRange]:
        """What has to come to its end: `drained` is owed for it."""
        return [own.key_range for own in self.ranges if own.state == "frozen"]

    # -- maps
    # ------------------------------------------------------------------------------------

    def adopt_map(self, raw: Any) -> list[MapFault]:
        """Take a map, whoever sent it.

        With any fault it is refused, all faults are told and the old one stays; the
        very map in force is no fault. How much it moves is the service's affair: a
        member that was away may have missed any number of maps.
        """
        new, faults = evaluate_update(raw, None, self.map, None, self.bits)
        if new is not None and not faults:
            self.apply_map(new)
        return faults

    def _mapped_ranges(self) -> list[KeyRange]:
        ranges = () if self.map is None else self.map.ranges
        return [(r.first, r.last) for r in ranges if r.owner == self.name]

    def apply_map(self, new: ShardMap) -> None:
        """By a checked map: freeze what is another's now, thaw what is given back
        before it was given up.
        """
        self.map = new
        mine = self._mapped_ranges()
        turned: list[OwnedRange] = []
        for own in self.ranges:
            if own.state == "gave":
                turned.append(own)
            else:
                turned += own.restricted_to(
                    intersection([own.key_range], mine), "acting"
                )
                turned += own.restricted_to(difference([own.key_range], mine), "frozen")
        self._set_ranges(turned)

    def mark_drained(self, spans: Sequence[KeyRange]) -> None:
        """Of these frozen keys nothing is out and nothing is held any more: they can be
        given up.
        """
        done = union(spans)
        after: list[OwnedRange] = []
        for own in self.ranges:
            if own.state == "frozen":
                after += own.restricted_to(intersection([own.key_range], done), "gave")
                after += own.restricted_to(difference([own.key_range], done))
            else:
                after.append(own)
        self._set_ranges(after)

    # -- beats
    # -----------------------------------------------------------------------------------

    def on_joined(self, token: Token, until_us: int) -> None:
        """A new incarnation holds nothing."""
        self.on_lease_lost()
        self.incarnation, self.lease_expires_at_us = token, until_us

    def on_lease_lost(self) -> None:
        """The lease is out, or the service says so: everything stops at once."""
        self.incarnation, self.lease_expires_at_us = None, 0
        self._set_ranges([])

    def next_report(self) -> OwnershipReport:
        """For a beat that leaves now."""
        self.last_sent += 1
        generation, digest = (
            (0, 0) if self.map is None else (self.map.generation, self.map.digest())
        )
        self._set_ranges(
            [
                replace(own, given_up_generation=generation)
                if own.state == "gave"
                else own
                for own in self.ranges
            ]
        )
        gave = union(own.key_range for own in self.ranges if own.state == "gave")
        return OwnershipReport(self.last_sent, generation, digest, tuple(gave))

    def apply_answer(
        self,
        token: Token,
        sent: int,
        generation: int,
        holds: Sequence[RangeHold],
        until_us: int,
    ) -> bool:
        """The answer to beat `sent`, with the lease's end counted from when that beat
        was asked. False where it is late or another incarnation's: nothing is done on
        it.
        """
        if token != self.incarnation or sent <= self.last_answered:
            return False
        self.last_answered = sent
        # asked later than what it replaces; where it is shorter, the lease is
        self.lease_expires_at_us = until_us
        self.service_generation = generation
        had: dict[Token, list[OwnedRange]] = {}
        for own in self.ranges:
            had.setdefault(own.hold.token, []).append(own)
        told: dict[Token, list[RangeHold]] = {}
        for hold in sorted(holds):
            told.setdefault(hold.token, []).append(hold)
        after: list[OwnedRange] = []
        for number, listed in sorted(told.items()):
            spans = [(h.first, h.last) for h in listed]
            kept = had.get(number, [])
            for own in kept:
                after += own.restricted_to(intersection([own.key_range], spans))
            left = difference(spans, [own.key_range for own in kept])
            if left and self.map is not None and generation == self.map.generation:
                after += self._begin_holds(listed[0], left)
        self._set_ranges(after)
        return True

    def _begin_holds(
        self, hold: RangeHold, spans: Sequence[KeyRange]
    ) -> list[OwnedRange]:
        """Keys newly listed under one token.

        What is another's by the map was given before a newer map and never acted on: it
        is given up. So is what a beat still under way may give up in this hold's stead,
        since it was said of the one before, under a map newer than this hold.
        """
        doubtful = self.given_up_after(hold.since_generation)
        begun = difference(intersection(spans, self._mapped_ranges()), doubtful)
        return [OwnedRange(h, "acting") for h in hold.restricted_to(begun)] + [
            OwnedRange(h, "gave") for h in hold.restricted_to(difference(spans, begun))
        ]

    def given_up_after(self, begun: int) -> list[KeyRange]:
        """Keys that a beat has given up under a generation above `begun`."""
        return union(
            own.key_range
            for own in self.ranges
            if own.state == "gave" and own.given_up_generation > begun
        )

    def _set_ranges(self, owns: list[OwnedRange]) -> None:
        self.ranges = sorted(owns, key=lambda own: own.hold)
        self._first_keys = [own.hold.first for own in self.ranges]

    def _range_at(self, key: int) -> OwnedRange | None:
        n = bisect_right(self._first_keys, key) - 1
        return self.ranges[n] if n >= 0 and key <= self.ranges[n].hold.last else None
