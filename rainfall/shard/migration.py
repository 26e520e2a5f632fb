"""The service's side of a move: who holds which keys, and when the next one may begin.

A key is either held by one incarnation of one member, or free. Only two things free it:
its holder's word that it has stopped (a give-up, said under a map newer than the one
the hold began under), or that the holder's lease is surely out. Only a free key is
given to its owner in the map in force, under a new token, and only in the answer to a
beat that says the owner has that very map. A new map changes no hold.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from rainfall.errors import RainfallError
from rainfall.lease.fencing_token import Token
from rainfall.shard.key_ranges import KeyRange, difference, intersection, union
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

MAX_GENERATION_LEAD = (
    1 << 32
)  # a member's map is at most so far above the service's: no beat uses up all of them


class FencedError(RainfallError):
    """The incarnation is not (any more) one that may hold anything: 409, it stops and
    joins anew.
    """


class StaleHeartbeatError(RainfallError):
    """A beat that was sent before one already answered: 409, nothing is done on it."""


@dataclass(frozen=True, slots=True, order=True)
class RangeHold:
    """Keys that one incarnation may act on under `token`, given while generation
    `begun` was in force.
    """

    first: int
    last: int
    token: Token
    since_generation: int

    def restricted_to(self, spans: Iterable[KeyRange]) -> list[RangeHold]:
        return [
            RangeHold(first, last, self.token, self.since_generation)
            for first, last in spans
        ]


@dataclass(slots=True)
class RangeHolder:
    name: str
    expires_at_us: int
    """From here on its lease is surely out, by the service's clock."""
    holds: list[RangeHold] = field(default_factory=list)
    last_heartbeat: int = -1
    """The last beat answered. Not on disk: beats under way die with the connections of
    a restart.
    """


@dataclass(frozen=True, slots=True)
class HoldsAnswer:
    """What now holds for one member: everything it may act on, so that what is missing
    here is not its own. `dirty`: holds were given or ended, or the map lifted: that has
    to be on disk before this is told.
    """

    generation: int
    holds: tuple[RangeHold, ...]
    changed: bool


@dataclass(slots=True)
class MigrationCoordinator:
    """Built by `Moves(map, epoch, quiet_until_us)` or, after a restart, by `Moves.of`."""

    map: ShardMap | None
    epoch: int
    grants_from_us: int = 0
    """Nothing is given before. Where holds may be forgotten: one longest lease (and
    drift) from now.
    """
    last_token_number: int = 0
    """Of the last token given."""
    holders: dict[Token, RangeHolder] = field(default_factory=dict)
    free: dict[str, list[KeyRange]] = field(default_factory=dict)
    """Keys that nobody holds, by their owner in the map in force ("" where there is no
    map).
    """
    bits: int = KEY_BITS

    def __post_init__(self) -> None:
        if not self.free and not self.holders:
            self._release([(0, (1 << self.bits) - 1)])

    # -- maps
    # ------------------------------------------------------------------------------------

    def submit_map(
        self,
        raw: Any,
        members: Collection[str] | None = None,
        most_moved: Fraction | None = MAX_MOVED_SHARE,
    ) -> list[MapFault]:
        """Put a map in force, as decoded from JSON.

        With any fault (422) the old one stays whole. The map in force, written again,
        is no fault and changes nothing. Has to be on disk before it is answered.
        """
        new, faults = evaluate_update(raw, members, self.map, most_moved, self.bits)
        if new is not None and not faults:
            self.install_map(new)
        return faults

    def install_map(self, new: ShardMap) -> None:
        """A checked map comes into force. Every hold stays as it is."""
        free = union(span for spans in self.free.values() for span in spans)
        self.map, self.free = new, {}
        self._release(free)

    def _raise_generation(self, generation: int) -> None:
        """A member has a map of a generation that this service never gave out (its
        folder was lost or is a copy): what is in force here goes on, above whatever was
        seen.
        """
        if self.map is not None and generation < MAX_GENERATION:
            self.install_map(ShardMap(generation + 1, self.map.ranges, self.bits))

    def _release(self, spans: Sequence[KeyRange]) -> None:
        owned: dict[str, list[KeyRange]] = {}
        for first, last in spans:
            if self.map is None:
                owned.setdefault("", []).append((first, last))
                continue
            for r in self.map.overlapping(first, last):
                owned.setdefault(r.owner, []).append(
                    (max(first, r.first), min(last, r.last))
                )
        for owner, more in owned.items():
            self.free[owner] = union([*self.free.get(owner, ()), *more])

    # -- members
    # ---------------------------------------------------------------------------------

    def lease_renewed(self, token: Token, name: str, expires_at_us: int) -> None:
        """The member joined or renewed: it acts until its lease is out, at `out_us` at
        the latest.
        """
        holder = self.holders.setdefault(token, RangeHolder(name, expires_at_us))
        holder.expires_at_us = max(holder.expires_at_us, expires_at_us)

    def expire(self, now_us: int) -> list[Token]:
        """Incarnations whose lease is surely out hold nothing any more."""
        out = sorted(t for t, h in self.holders.items() if h.expires_at_us <= now_us)
        for token in out:
            self.release_all(token)
        return out

    def release_all(self, token: Token) -> None:
        """The incarnation said itself that it has stopped acting on everything, for
        good.
        """
        if holder := self.holders.pop(token, None):
            self._release([(h.first, h.last) for h in holder.holds])

    def next_expiry_us(self) -> int | None:
        """When `expire` has something to do next."""
        return min((h.expires_at_us for h in self.holders.values()), default=None)

    def heartbeat(
        self,
        token: Token,
        sent: int,
        generation: int,
        digest: int,
        given_up: Iterable[KeyRange],
        now_us: int,
    ) -> HoldsAnswer:
        """A member's word: the map it has (generation 0 where none) and its digest, and
        the keys that it does not act on, though it was told they are its own. Fenced,
        Late; ValueError where it cannot be.
        """
        current = self.map
        if generation > (current.generation if current else 0) + MAX_GENERATION_LEAD:
            raise ValueError("map: a generation far above any that there was")
        holder = self.holders.get(token)
        if holder is None or holder.expires_at_us <= now_us:
            raise FencedError
        if sent <= holder.last_heartbeat:
            raise StaleHeartbeatError
        holder.last_heartbeat = sent
        before = self.map, tuple(holder.holds)
        self._apply_give_up(holder, generation, union(given_up))
        if current is not None and (
            generation > current.generation
            or (generation == current.generation and digest != current.digest())
        ):
            self._raise_generation(generation)
        self._grant_free_ranges(token, holder, generation, now_us)
        after = self.map, tuple(holder.holds)
        return HoldsAnswer(
            0 if self.map is None else self.map.generation, after[1], after != before
        )

    def _apply_give_up(
        self, holder: RangeHolder, generation: int, given_up: Sequence[KeyRange]
    ) -> None:
        """A give-up said under `generation` ends the holds that began before it, and
        none that began with it or later: then it was said of an earlier hold, and is
        only late.
        """
        if not given_up:
            return
        freed: list[KeyRange] = []
        kept: list[RangeHold] = []
        for hold in holder.holds:
            span = [(hold.first, hold.last)]
            if self.give_up_applies(hold, generation):
                freed += intersection(span, given_up)
                span = difference(span, given_up)
            kept += hold.restricted_to(span)
        holder.holds = kept
        self._release(freed)

    def give_up_applies(self, hold: RangeHold, generation: int) -> bool:
        return generation > hold.since_generation

    def _grant_free_ranges(
        self, token: Token, holder: RangeHolder, generation: int, now_us: int
    ) -> None:
        """What is free and this member's by the map is now held by it, if it has the
        map. Of two incarnations of one name only the newest is given anything.
        """
        if (
            self.map is None
            or generation != self.map.generation
            or now_us < self.grants_from_us
        ):
            return
        if not self.free.get(holder.name) or any(
            h.name == holder.name and t > token for t, h in self.holders.items()
        ):
            return
        self.last_token_number += 1
        given = Token(self.epoch, self.last_token_number)
        spans = self.free.pop(holder.name)
        holder.holds = sorted(
            [*holder.holds, *(RangeHold(*span, given, generation) for span in spans)]
        )

    def ranges_in_migration(self) -> list[tuple[int, int, str, str]]:
        """For staff: keys that their owner in the map does not hold: first, last, who
        holds them ("" nobody), whose they are to be.
        """
        out = [
            (first, last, "", owner)
            for owner, spans in self.free.items()
            for first, last in spans
        ]
        for holder in self.holders.values():
            for hold in holder.holds:
                for r in (
                    self.map.overlapping(hold.first, hold.last)
                    if self.map is not None
                    else ()
                ):
                    if r.owner != holder.name:
                        out.append(
                            (
                                max(hold.first, r.first),
                                min(hold.last, r.last),
                                holder.name,
                                r.owner,
                            )
                        )
        return sorted(out)

    # -- on disk
    # ---------------------------------------------------------------------------------

    def to_snapshot(self) -> dict[str, Any]:
        """All that a restart needs, as JSON. What is free follows from it."""
        return {
            "map": None if self.map is None else self.map.to_wire(),
            "number": self.last_token_number,
            "holders": [
                {
                    "token": token.to_wire(),
                    "name": holder.name,
                    "holds": [
                        [
                            format_key(h.first, self.bits),
                            format_key(h.last, self.bits),
                            h.token.to_wire(),
                            h.since_generation,
                        ]
                        for h in holder.holds
                    ],
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
        """After a restart: each lease known counts as renewed just now, so it is out at
        `out_us` at the earliest. ValueError (Faulty among the causes) where `raw` is
        not what `told` gave.
        """
        try:
            made = MigrationCoordinator(
                checked_map(raw["map"], bits=bits) if raw["map"] is not None else None,
                epoch,
                grants_from_us,
                int(raw["number"]),
                bits=bits,
            )
            held: list[KeyRange] = []
            for row in raw["holders"]:
                holds = [
                    RangeHold(
                        _required_key(first, bits),
                        _required_key(last, bits),
                        Token.from_wire(token),
                        int(begun),
                    )
                    for first, last, token, begun in row["holds"]
                ]
                made.holders[Token.from_wire(row["token"])] = RangeHolder(
                    str(row["name"]), expires_at_us, sorted(holds)
                )
                held += [(h.first, h.last) for h in holds]
        except (
            Exception
        ) as error:  # whatever is wrong with it, it is not what this service wrote
            raise ValueError(f"no state of moves: {error!r}") from error
        if sum(b - a + 1 for a, b in held) != sum(b - a + 1 for a, b in union(held)):
            raise ValueError("no state of moves: keys held twice")
        whole = [(0, (1 << bits) - 1)]
        made.free = {}
        made._release(difference(whole, union(held)))
        return made


def _required_key(text: Any, bits: int) -> int:
    if (key := parse_key(text, bits)) is None:
        raise ValueError(f"{text!r} is no key")
    return key
