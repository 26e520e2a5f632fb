"""A model of moves for `rainfall.explore`: the service's `Moves` and the members'
`Owned`, with beats and answers lost, doubled, late and out of order, maps that change
in the middle, leases that run out on clocks that run apart, members that crash and come
back, a service that restarts from its disk.

A stopped member needs no step of its own: it is one that takes no step while the clocks
go on.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from rainfall.explore.net import Net
from rainfall.lease.token import Token
from rainfall.shard.maps import Range, ShardMap
from rainfall.shard.moves import Fenced, Hold, Holder, Late, Moves
from rainfall.shard.owned import Owned
from rainfall.shard.spans import Span, both, union

BITS = 4
MOVE_THERE_AND_BACK = ("ab", "bb", "ab", "bb")
"""The owners of the two halves of the space in one map after another."""
TTL = 3  # ticks
# of drift, to either side: the holder counts TTL - MARGIN, the service TTL + MARGIN
MARGIN = 1
BUGS = ("early", "unfrozen", "no margin", "stale", "unsaid")


class Early(Moves):
    """Planted: a new map takes keys from their holder at once."""

    def put(self, new: ShardMap) -> None:
        super().put(new)
        for holder in self.holders.values():
            mine = [(r.first, r.last) for r in new.ranges if r.owner == holder.name]
            held = [(h.first, h.last) for h in holder.holds]
            holder.holds = [
                part
                for h in holder.holds
                for part in h.cut(both([(h.first, h.last)], mine))
            ]
            kept = [(h.first, h.last) for h in holder.holds]
            self._release([span for span in held if span not in kept])


class Stale(Moves):
    """Planted: a give-up counts, whichever generation it was said under."""

    def counts(self, hold: Hold, generation: int) -> bool:
        return True


class Unfrozen(Owned):
    """Planted: keys that a new map takes away are given up while messages of theirs are
    still out.
    """

    def word(self) -> Any:
        had = self.owns
        self.drained(self.frozen())
        said = Owned.word(self)
        self._set(had)
        return said


class Unsaid(Owned):
    """Planted: a hold is begun on although a beat under way may give it up."""

    def said(self, begun: int) -> list[Span]:
        return []


@dataclass(slots=True)
class Fleet:
    """One state. Clocks only matter against each other and against what was said in
    them.
    """

    moves: Moves
    members: dict[str, Owned]
    clocks: dict[str, int]
    net: Net
    now: int = 0
    maps: int = 1
    incarnations: int = 0
    left: dict[str, int] = field(default_factory=dict)
    """What may still happen, by its name: ticks, slow ticks, crashes, joins,
    restarts.
    """

    def fork(self) -> Fleet:
        """Shares the cores with this state: whoever changes one takes its own from
        `service` or `member`.
        """
        return Fleet(
            self.moves,
            dict(self.members),
            dict(self.clocks),
            self.net,
            self.now,
            self.maps,
            self.incarnations,
            dict(self.left),
        )

    def service(self) -> Moves:
        m = self.moves
        holders = {
            t: Holder(h.name, h.out_us, list(h.holds), h.sent)
            for t, h in m.holders.items()
        }
        self.moves = type(m)(
            m.map, m.epoch, m.quiet_until_us, m.number, holders, dict(m.free), m.bits
        )
        return self.moves

    def member(self, name: str) -> Owned:
        o = self.members[name]
        self.members[name] = type(o)(
            o.name,
            o.map,
            o.incarnation,
            o.until_us,
            list(o.owns),
            o.sent,
            o.heard,
            o.wanted,
            o.bits,
            list(o._firsts),
        )
        return self.members[name]

    def spend(self, what: str) -> bool:
        self.left[what] = self.left.get(what, 0) - 1
        return self.left[what] >= 0


class Shards:
    """`maps`: the maps that come, one after another. `asked`: beats that each member
    may send. `past`: steps taken from the start before the search begins, to search
    deeper around them.
    """

    def __init__(
        self,
        maps: Sequence[str] = MOVE_THERE_AND_BACK,
        asked: int | dict[str, int] = 3,
        ticks: int = 0,
        slow: int = 0,
        crashes: int = 0,
        restarts: int = 0,
        losses: int = 0,
        copies: int = 0,
        most: int = 2,
        past: Sequence[str] = (),
        bug: str = "",
    ) -> None:
        assert not bug or bug in BUGS, bug
        self.past, self.bug, self.net = (
            past,
            bug,
            Net(most=most, losses=losses, copies=copies),
        )
        self.left = {
            "tick": ticks,
            "slow": slow,
            "crash": crashes,
            "join": crashes,
            "restart": restarts,
        }
        self.names = sorted(set("".join(maps)))
        asked = asked if isinstance(asked, dict) else dict.fromkeys(self.names, asked)
        self.left |= {f"beat {name}": asked[name] for name in self.names}
        half = 1 << (BITS - 1)
        self.maps = [
            ShardMap(
                n + 1,
                tuple(
                    Range(at * half, at * half + half - 1, owner)
                    for at, owner in enumerate(owners)
                ),
                BITS,
            )
            for n, owners in enumerate(maps)
        ]

    def start(self) -> Fleet:
        """The first map is in force and all begun, and all leases were asked for and
        answered just now.
        """
        moves = {"early": Early, "stale": Stale}.get(self.bug, Moves)(
            self.maps[0], 1, bits=BITS
        )
        owned = {"unfrozen": Unfrozen, "unsaid": Unsaid}.get(self.bug, Owned)
        fleet = Fleet(
            moves, {}, {}, Net(), left={f"beat {name}": 1 for name in self.names}
        )
        for name in self.names:
            fleet.members[name] = owned(name, bits=BITS)
            fleet.clocks[name] = 0
            self._join(fleet, name)
            fleet.members[name].turn(self.maps[0])
            self._ask(fleet, name)
            for _ in range(2):  # the beat, then its answer
                message, fleet.net = next(fleet.net.arrivals())
                self._arrive(fleet, message)
        fleet.net, fleet.left = self.net, dict(self.left)
        for step in self.past:
            fleet = dict(self.steps(fleet))[step]
        return fleet

    def _join(self, fleet: Fleet, name: str) -> None:
        fleet.incarnations += 1
        token = Token(1, fleet.incarnations)
        fleet.service().alive(token, name, fleet.now + self._margin())
        fleet.member(name).joined(token, fleet.clocks[name] + TTL - MARGIN)

    def _margin(self) -> int:
        return TTL - MARGIN if self.bug == "no margin" else TTL + MARGIN

    # -- steps
    # -----------------------------------------------------------------------------------

    def steps(self, state: Fleet) -> Iterator[tuple[str, Fleet]]:
        for name, act in self._acts(state):
            after = state.fork()
            if act(after):
                yield name, after
        for message, net in state.net.arrivals():
            after = state.fork()
            after.net = net
            self._arrive(after, message)
            yield f"arrives: {_said(message)}", after
        for message, net in state.net.lost():
            after = state.fork()
            after.net = net
            yield f"lost: {_said(message)}", after

    def _acts(self, state: Fleet) -> Iterator[tuple[str, Callable[[Fleet], bool]]]:
        """What may happen next; each tells whether it does."""
        if state.maps < len(self.maps):
            yield f"map {state.maps + 1}", self._next_map
        if state.left["tick"]:
            yield "tick", partial(self._tick, stands="")
            for name in self.names if state.left["slow"] else ():
                yield f"tick, {name}'s clock stands", partial(self._tick, stands=name)
        if state.left["restart"]:
            yield "the service restarts", self._restart
        for name, member in sorted(state.members.items()):
            if state.left["crash"]:
                yield f"{name} crashes", partial(self._crash, name=name)
            if member.incarnation is None and state.left["join"]:
                yield f"{name} joins", partial(self._join_anew, name=name)
            elif member.incarnation is not None and state.left[f"beat {name}"]:
                yield f"{name} asks", partial(self._ask, name=name)
            if member.frozen():
                yield f"{name} drained", partial(self._drain, name=name)
            for n in range(member.map.generation if member.map else 0, state.maps):
                yield (
                    f"{name} adopts map {n + 1}",
                    partial(self._adopt, name=name, number=n),
                )

    def _next_map(self, s: Fleet) -> bool:
        s.service().put(self.maps[s.maps])
        s.maps += 1
        return True

    def _tick(self, s: Fleet, stands: str) -> bool:
        s.now += 1
        for name in s.clocks:
            s.clocks[name] += name != stands
        s.service().expire(s.now)
        return s.spend("tick") and (not stands or s.spend("slow"))

    def _restart(self, s: Fleet) -> bool:
        again = Moves.of(
            s.moves.told(), s.moves.epoch, s.now + self._margin(), bits=BITS
        )
        s.moves = type(s.moves)(
            again.map, again.epoch, 0, again.number, again.holders, again.free, BITS
        )
        return s.spend("restart")

    def _crash(self, s: Fleet, name: str) -> bool:
        s.member(name).lost()
        s.members[name].map = None
        return s.spend("crash")

    def _join_anew(self, s: Fleet, name: str) -> bool:
        self._join(s, name)
        return s.spend("join")

    def _drain(self, s: Fleet, name: str) -> bool:
        s.member(name).drained(s.members[name].frozen())
        return True

    def _adopt(self, s: Fleet, name: str, number: int) -> bool:
        s.member(name).turn(self.maps[number])
        return True

    def _ask(self, s: Fleet, name: str) -> bool:
        member = s.member(name)
        if member.incarnation is None:
            return False
        word = member.word()
        s.net = s.net.send(
            (
                name,
                member.incarnation.number,
                word.sent,
                s.clocks[name],
                "asks",
                word.generation,
                word.digest,
                word.gave,
            )
        )
        return s.spend(f"beat {name}")

    def _arrive(self, s: Fleet, message: Any) -> None:
        name, number, sent, asked, kind, generation, *rest = message
        token = Token(1, number)
        if kind == "is told":
            holds = [
                Hold(first, last, Token(1, n), begun)
                for first, last, n, begun in rest[0]
            ]
            s.member(name).answered(
                token, sent, generation, holds, asked + TTL - MARGIN
            )
            return
        try:
            digest, gave = rest
            answer = s.service().beat(token, sent, generation, digest, gave, s.now)
        except (Fenced, Late):
            return
        s.moves.alive(token, name, s.now + self._margin())
        told = tuple((h.first, h.last, h.token.number, h.begun) for h in answer.holds)
        s.net = s.net.send(
            (name, number, sent, asked, "is told", answer.generation, told)
        )

    # -- what has to hold
    # --------------------------------------------------------------------------

    def broken(self, state: Fleet) -> str:
        spans: list[tuple[Span, str]] = []
        for name, member in sorted(state.members.items()):
            spans += [(own.span, name) for own in member.holding(state.clocks[name])]
        spans.sort()
        for (a, who), (b, other) in zip(spans, spans[1:], strict=False):
            if b[0] <= a[1]:
                return f"{who} and {other} both act on keys {b[0]:x} to {min(a[1], b[1]):x}"
        held = [
            (h.first, h.last)
            for holder in state.moves.holders.values()
            for h in holder.holds
        ]
        free = [span for owned in state.moves.free.values() for span in owned]
        sizes = sum(last - first + 1 for first, last in held + free)
        if sizes != 1 << BITS or union(held + free) != [(0, (1 << BITS) - 1)]:
            return (
                "a key is held twice by the service's table, or neither held nor free"
            )
        return ""

    def key(self, state: Fleet) -> Hashable:
        """Times as what is left of them; a lease out is out, by however much."""
        moves = state.moves
        return (
            moves.map.generation if moves.map else 0,
            moves.number,
            tuple(
                (t, h.name, max(0, h.out_us - state.now), tuple(h.holds), h.sent)
                for t, h in sorted(moves.holders.items())
            ),
            tuple(
                (
                    m.map.generation if m.map else 0,
                    m.incarnation,
                    max(0, m.until_us - state.clocks[n]),
                    tuple(m.owns),
                    m.sent,
                    m.heard,
                )
                for n, m in sorted(state.members.items())
            ),
            tuple(self._message(state, message) for message in state.net.bag),
            state.net.losses,
            state.net.copies,
            tuple(sorted(state.left.items())),
        )

    def _message(self, state: Fleet, message: Any) -> Hashable:
        """As it counts from here on: when it was asked by what the lease it brings has
        left.
        """
        name, _, _, asked, *_ = message
        return (
            *message[:3],
            max(0, asked + TTL - MARGIN - state.clocks[name]),
            *message[4:],
        )


def _said(message: Any) -> str:
    name, number, sent, _, kind, generation, *rest = message
    what = "gave" if kind == "asks" else "holds"
    spans = " ".join(f"{span[0]:x}-{span[1]:x}" for span in rest[-1])
    return f"{name}({number}) {kind}, beat {sent}, map {generation}, {what} {spans or 'nothing'}"
