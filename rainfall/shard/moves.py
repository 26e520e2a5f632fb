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

from rainfall.lease.token import Token
from rainfall.shard.check import MOST_MOVED, Fault, checked, judged
from rainfall.shard.maps import BITS, MOST_GENERATION, ShardMap, hexed, key_from
from rainfall.shard.spans import Span, both, minus, union

MOST_AHEAD = (
    1 << 32
)  # a member's map is at most so far above the service's: no beat uses up all of them


class Fenced(Exception):
    """The incarnation is not (any more) one that may hold anything: 409, it stops and
    joins anew.
    """


class Late(Exception):
    """A beat that was sent before one already answered: 409, nothing is done on it."""


@dataclass(frozen=True, slots=True, order=True)
class Hold:
    """Keys that one incarnation may act on under `token`, given while generation
    `begun` was in force.
    """

    first: int
    last: int
    token: Token
    begun: int

    def cut(self, spans: Iterable[Span]) -> list[Hold]:
        return [Hold(first, last, self.token, self.begun) for first, last in spans]


@dataclass(slots=True)
class Holder:
    name: str
    out_us: int
    """From here on its lease is surely out, by the service's clock."""
    holds: list[Hold] = field(default_factory=list)
    sent: int = -1
    """The last beat answered. Not on disk: beats under way die with the connections of
    a restart.
    """


@dataclass(frozen=True, slots=True)
class Answer:
    """What now holds for one member: everything it may act on, so that what is missing
    here is not its own. `dirty`: holds were given or ended, or the map lifted: that has
    to be on disk before this is told.
    """

    generation: int
    holds: tuple[Hold, ...]
    dirty: bool


@dataclass(slots=True)
class Moves:
    """Built by `Moves(map, epoch, quiet_until_us)` or, after a restart, by
    `Moves.of`.
    """

    map: ShardMap | None
    epoch: int
    quiet_until_us: int = 0
    """Nothing is given before. Where holds may be forgotten: one longest lease (and
    drift) from now.
    """
    number: int = 0
    """Of the last token given."""
    holders: dict[Token, Holder] = field(default_factory=dict)
    free: dict[str, list[Span]] = field(default_factory=dict)
    """Keys that nobody holds, by their owner in the map in force ("" where there is no
    map).
    """
    bits: int = BITS

    def __post_init__(self) -> None:
        if not self.free and not self.holders:
            self._release([(0, (1 << self.bits) - 1)])

    # -- maps
    # ------------------------------------------------------------------------------------

    def write(
        self,
        raw: Any,
        members: Collection[str] | None = None,
        most_moved: Fraction | None = MOST_MOVED,
    ) -> list[Fault]:
        """Put a map in force, as decoded from JSON. With any fault (422) the old one
        stays whole. The map in force, written again, is no fault and changes nothing.
        Has to be on disk before it is answered.
        """
        new, faults = judged(raw, members, self.map, most_moved, self.bits)
        if new is not None and not faults:
            self.put(new)
        return faults

    def put(self, new: ShardMap) -> None:
        """A checked map comes into force. Every hold stays as it is."""
        free = union(span for spans in self.free.values() for span in spans)
        self.map, self.free = new, {}
        self._release(free)

    def _lift(self, generation: int) -> None:
        """A member has a map of a generation that this service never gave out (its
        folder was lost or is a copy): what is in force here goes on, above whatever was
        seen.
        """
        if self.map is not None and generation < MOST_GENERATION:
            self.put(ShardMap(generation + 1, self.map.ranges, self.bits))

    def _release(self, spans: Sequence[Span]) -> None:
        owned: dict[str, list[Span]] = {}
        for first, last in spans:
            if self.map is None:
                owned.setdefault("", []).append((first, last))
                continue
            for r in self.map.over(first, last):
                owned.setdefault(r.owner, []).append(
                    (max(first, r.first), min(last, r.last))
                )
        for owner, more in owned.items():
            self.free[owner] = union([*self.free.get(owner, ()), *more])

    # -- members
    # ---------------------------------------------------------------------------------

    def alive(self, token: Token, name: str, out_us: int) -> None:
        """The member joined or renewed: it acts until its lease is out, at `out_us` at
        the latest.
        """
        holder = self.holders.setdefault(token, Holder(name, out_us))
        holder.out_us = max(holder.out_us, out_us)

    def expire(self, now_us: int) -> list[Token]:
        """Incarnations whose lease is surely out hold nothing any more."""
        out = sorted(t for t, h in self.holders.items() if h.out_us <= now_us)
        for token in out:
            self.left(token)
        return out

    def left(self, token: Token) -> None:
        """The incarnation said itself that it has stopped acting on everything, for
        good.
        """
        if holder := self.holders.pop(token, None):
            self._release([(h.first, h.last) for h in holder.holds])

    def next_us(self) -> int | None:
        """When `expire` has something to do next."""
        return min((h.out_us for h in self.holders.values()), default=None)

    def beat(
        self,
        token: Token,
        sent: int,
        generation: int,
        digest: int,
        gave: Iterable[Span],
        now_us: int,
    ) -> Answer:
        """A member's word: the map it has (generation 0 where none) and its digest, and
        the keys that it does not act on, though it was told they are its own. Fenced,
        Late; ValueError where it cannot be.
        """
        current = self.map
        if generation > (current.generation if current else 0) + MOST_AHEAD:
            raise ValueError("map: a generation far above any that there was")
        holder = self.holders.get(token)
        if holder is None or holder.out_us <= now_us:
            raise Fenced
        if sent <= holder.sent:
            raise Late
        holder.sent = sent
        before = self.map, tuple(holder.holds)
        self._take_back(holder, generation, union(gave))
        if current is not None and (
            generation > current.generation
            or (generation == current.generation and digest != current.digest())
        ):
            self._lift(generation)
        self._begin(token, holder, generation, now_us)
        after = self.map, tuple(holder.holds)
        return Answer(
            0 if self.map is None else self.map.generation, after[1], after != before
        )

    def _take_back(self, holder: Holder, generation: int, gave: Sequence[Span]) -> None:
        """A give-up said under `generation` ends the holds that began before it, and
        none that began with it or later: then it was said of an earlier hold, and is
        only late.
        """
        if not gave:
            return
        freed: list[Span] = []
        kept: list[Hold] = []
        for hold in holder.holds:
            span = [(hold.first, hold.last)]
            if self.counts(hold, generation):
                freed += both(span, gave)
                span = minus(span, gave)
            kept += hold.cut(span)
        holder.holds = kept
        self._release(freed)

    def counts(self, hold: Hold, generation: int) -> bool:
        return generation > hold.begun

    def _begin(
        self, token: Token, holder: Holder, generation: int, now_us: int
    ) -> None:
        """What is free and this member's by the map is now held by it, if it has the
        map. Of two incarnations of one name only the newest is given anything.
        """
        if (
            self.map is None
            or generation != self.map.generation
            or now_us < self.quiet_until_us
        ):
            return
        if not self.free.get(holder.name) or any(
            h.name == holder.name and t > token for t, h in self.holders.items()
        ):
            return
        self.number += 1
        given = Token(self.epoch, self.number)
        spans = self.free.pop(holder.name)
        holder.holds = sorted(
            [*holder.holds, *(Hold(*span, given, generation) for span in spans)]
        )

    def moving(self) -> list[tuple[int, int, str, str]]:
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
                    self.map.over(hold.first, hold.last) if self.map is not None else ()
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

    def told(self) -> dict[str, Any]:
        """All that a restart needs, as JSON. What is free follows from it."""
        return {
            "map": None if self.map is None else self.map.told(),
            "number": self.number,
            "holders": [
                {
                    "token": token.told(),
                    "name": holder.name,
                    "holds": [
                        [
                            hexed(h.first, self.bits),
                            hexed(h.last, self.bits),
                            h.token.told(),
                            h.begun,
                        ]
                        for h in holder.holds
                    ],
                }
                for token, holder in sorted(self.holders.items())
            ],
        }

    @staticmethod
    def of(
        raw: Any, epoch: int, out_us: int, quiet_until_us: int = 0, bits: int = BITS
    ) -> Moves:
        """After a restart: each lease known counts as renewed just now, so it is out at
        `out_us` at the earliest. ValueError (Faulty among the causes) where `raw` is
        not what `told` gave.
        """
        try:
            made = Moves(
                checked(raw["map"], bits=bits) if raw["map"] is not None else None,
                epoch,
                quiet_until_us,
                int(raw["number"]),
                bits=bits,
            )
            held: list[Span] = []
            for row in raw["holders"]:
                holds = [
                    Hold(
                        _key(first, bits), _key(last, bits), Token.of(token), int(begun)
                    )
                    for first, last, token, begun in row["holds"]
                ]
                made.holders[Token.of(row["token"])] = Holder(
                    str(row["name"]), out_us, sorted(holds)
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
        made._release(minus(whole, union(held)))
        return made


def _key(text: Any, bits: int) -> int:
    if (key := key_from(text, bits)) is None:
        raise ValueError(f"{text!r} is no key")
    return key
