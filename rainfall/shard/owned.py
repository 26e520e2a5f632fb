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

from rainfall.lease.token import Token
from rainfall.shard.check import Fault, judged
from rainfall.shard.maps import BITS, ShardMap
from rainfall.shard.moves import Hold
from rainfall.shard.spans import Span, both, minus, union

State = Literal["acting", "frozen", "gave"]


@dataclass(frozen=True, slots=True)
class Own:
    hold: Hold
    state: State
    gave_at: int = -1
    """The highest map generation under which a beat has said `gave` of it."""

    @property
    def span(self) -> Span:
        return self.hold.first, self.hold.last

    def cut(self, spans: Sequence[Span], state: State | None = None) -> list[Own]:
        return [
            replace(self, hold=h, state=state or self.state)
            for h in self.hold.cut(spans)
        ]


@dataclass(frozen=True, slots=True)
class Word:
    """What a beat says of the map: its generation (0: none), its digest, and the keys
    not acted on.
    """

    sent: int
    generation: int
    digest: int
    gave: tuple[Span, ...]


@dataclass(slots=True)
class Owned:
    """The shell hands in every answer, and the lease's end by its own clock; it acts
    only on what `may_act` gives a token for, and ends what is out once the lease is
    (`holding` is empty from then on).
    """

    name: str
    map: ShardMap | None = None
    incarnation: Token | None = None
    until_us: int = 0
    owns: list[Own] = field(default_factory=list)
    sent: int = 0
    """Of the last beat. It goes on over incarnations."""
    heard: int = 0
    """The last beat whose answer was taken; an answer to one before it is late."""
    wanted: int = 0
    """The generation the service has; above the map's, the map is fetched."""
    bits: int = BITS
    _firsts: list[int] = field(default_factory=list)

    # -- what the shell asks
    # ---------------------------------------------------------------------

    def may_act(self, key: int, now_us: int) -> Token | None:
        """The token to take on a new message of `key` under; None: it is not this
        member's now.
        """
        own = self._at(key)
        return (
            own.hold.token
            if own and own.state == "acting" and now_us < self.until_us
            else None
        )

    def may_end(self, key: int, now_us: int) -> Token | None:
        """The token under which a message already taken on may be carried to its end;
        None: stop at once.
        """
        own = self._at(key)
        return (
            own.hold.token
            if own and own.state != "gave" and now_us < self.until_us
            else None
        )

    def holding(self, now_us: int) -> list[Own]:
        """All that is acted on or still being ended."""
        return (
            [own for own in self.owns if own.state != "gave"]
            if now_us < self.until_us
            else []
        )

    def frozen(self) -> list[Span]:
        """What has to come to its end: `drained` is owed for it."""
        return [own.span for own in self.owns if own.state == "frozen"]

    # -- maps
    # ------------------------------------------------------------------------------------

    def adopt(self, raw: Any) -> list[Fault]:
        """Take a map, whoever sent it. With any fault it is refused, all faults are
        told and the old one stays; the very map in force is no fault. How much it moves
        is the service's affair: a member that was away may have missed any number of
        maps.
        """
        new, faults = judged(raw, None, self.map, None, self.bits)
        if new is not None and not faults:
            self.turn(new)
        return faults

    def _mine(self) -> list[Span]:
        ranges = () if self.map is None else self.map.ranges
        return [(r.first, r.last) for r in ranges if r.owner == self.name]

    def turn(self, new: ShardMap) -> None:
        """By a checked map: freeze what is another's now, thaw what is given back
        before it was given up.
        """
        self.map = new
        mine = self._mine()
        turned: list[Own] = []
        for own in self.owns:
            if own.state == "gave":
                turned.append(own)
            else:
                turned += own.cut(both([own.span], mine), "acting")
                turned += own.cut(minus([own.span], mine), "frozen")
        self._set(turned)

    def drained(self, spans: Sequence[Span]) -> None:
        """Of these frozen keys nothing is out and nothing is held any more: they can be
        given up.
        """
        done = union(spans)
        after: list[Own] = []
        for own in self.owns:
            if own.state == "frozen":
                after += own.cut(both([own.span], done), "gave")
                after += own.cut(minus([own.span], done))
            else:
                after.append(own)
        self._set(after)

    # -- beats
    # -----------------------------------------------------------------------------------

    def joined(self, token: Token, until_us: int) -> None:
        """A new incarnation holds nothing."""
        self.lost()
        self.incarnation, self.until_us = token, until_us

    def lost(self) -> None:
        """The lease is out, or the service says so: everything stops at once."""
        self.incarnation, self.until_us = None, 0
        self._set([])

    def word(self) -> Word:
        """For a beat that leaves now."""
        self.sent += 1
        generation, digest = (
            (0, 0) if self.map is None else (self.map.generation, self.map.digest())
        )
        self._set(
            [
                replace(own, gave_at=generation) if own.state == "gave" else own
                for own in self.owns
            ]
        )
        gave = union(own.span for own in self.owns if own.state == "gave")
        return Word(self.sent, generation, digest, tuple(gave))

    def answered(
        self,
        token: Token,
        sent: int,
        generation: int,
        holds: Sequence[Hold],
        until_us: int,
    ) -> bool:
        """The answer to beat `sent`, with the lease's end counted from when that beat
        was asked. False where it is late or another incarnation's: nothing is done on
        it.
        """
        if token != self.incarnation or sent <= self.heard:
            return False
        self.heard = sent
        # asked later than what it replaces; where it is shorter, the lease is
        self.until_us = until_us
        self.wanted = generation
        had: dict[Token, list[Own]] = {}
        for own in self.owns:
            had.setdefault(own.hold.token, []).append(own)
        told: dict[Token, list[Hold]] = {}
        for hold in sorted(holds):
            told.setdefault(hold.token, []).append(hold)
        after: list[Own] = []
        for number, listed in sorted(told.items()):
            spans = [(h.first, h.last) for h in listed]
            kept = had.get(number, [])
            for own in kept:
                after += own.cut(both([own.span], spans))
            left = minus(spans, [own.span for own in kept])
            if left and self.map is not None and generation == self.map.generation:
                after += self._begin(listed[0], left)
        self._set(after)
        return True

    def _begin(self, hold: Hold, spans: Sequence[Span]) -> list[Own]:
        """Keys newly listed under one token. What is another's by the map was given
        before a newer map and never acted on: it is given up. So is what a beat still
        under way may give up in this hold's stead, since it was said of the one before,
        under a map newer than this hold.
        """
        doubtful = self.said(hold.begun)
        begun = minus(both(spans, self._mine()), doubtful)
        return [Own(h, "acting") for h in hold.cut(begun)] + [
            Own(h, "gave") for h in hold.cut(minus(spans, begun))
        ]

    def said(self, begun: int) -> list[Span]:
        """Keys that a beat has given up under a generation above `begun`."""
        return union(
            own.span for own in self.owns if own.state == "gave" and own.gave_at > begun
        )

    def _set(self, owns: list[Own]) -> None:
        self.owns = sorted(owns, key=lambda own: own.hold)
        self._firsts = [own.hold.first for own in self.owns]

    def _at(self, key: int) -> Own | None:
        n = bisect_right(self._firsts, key) - 1
        return self.owns[n] if n >= 0 and key <= self.owns[n].hold.last else None
