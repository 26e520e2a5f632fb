"""A model of shard migrations for the model checker.

The service's coordinator and the members' ownership are those that the processes run.
Around them: heartbeats and answers that are lost, duplicated, late and out of order;
maps that change in the middle; leases that expire on clocks that run apart; members
that crash and come back; a service that restarts from its disk.

A stopped member needs no step of its own: it is one that takes no step while the clocks
go on.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from typing import Any

from rainfall.lease.fencing_token import Token
from rainfall.model_checker.network import Network
from rainfall.shard.key_ranges import KeyRange, intersection, union
from rainfall.shard.migration import (
    FencedError,
    MigrationCoordinator,
    RangeHold,
    RangeHolder,
    StaleHeartbeatError,
)
from rainfall.shard.ownership import RangeOwnership
from rainfall.shard.shard_map import Range, ShardMap

MODEL_KEY_BITS = 4
MOVE_THERE_AND_BACK = ("ab", "bb", "ab", "bb")
"""The owners of the two halves of the space in one map after another."""
LEASE_TICKS = 3
DRIFT_MARGIN_TICKS = 1
"""The holder counts a lease shorter by this, the service longer."""
MUTATIONS = ("early", "unfrozen", "no margin", "stale", "unsaid")


class CoordinatorTakingKeysEarly(MigrationCoordinator):
    """Planted fault: a new map takes keys from their holder at once."""

    def install_map(self, new: ShardMap) -> None:
        """Put a map in force, and take keys that are another member's by it."""
        super().install_map(new)
        for holder in self.holders.values():
            mine = [(r.first, r.last) for r in new.ranges if r.owner == holder.name]
            held = [(h.first, h.last) for h in holder.holds]
            holder.holds = [
                part
                for h in holder.holds
                for part in h.restricted_to(intersection([(h.first, h.last)], mine))
            ]
            kept = [(h.first, h.last) for h in holder.holds]
            self._release([span for span in held if span not in kept])


class CoordinatorTakingStaleGiveUps(MigrationCoordinator):
    """Planted fault: a give-up counts, whatever map it was sent under."""

    def give_up_applies(self, hold: RangeHold, generation: int) -> bool:
        """Always."""
        del hold, generation
        return True


class OwnershipGivenUpUndrained(RangeOwnership):
    """Planted fault: keys are given up while messages of theirs are in flight."""

    def next_report(self) -> Any:
        """The report for a heartbeat that is sent now."""
        had = self.ranges
        self.mark_drained(self.frozen_ranges())
        said = RangeOwnership.next_report(self)
        self._set_ranges(had)
        return said


class OwnershipIgnoringPendingGiveUps(RangeOwnership):
    """Planted fault: a hold begins although a heartbeat under way may give it up."""

    def given_up_after(self, generation: int) -> list[KeyRange]:
        """Nothing."""
        del generation
        return []


@dataclass(slots=True)
class ModelState:
    """One state.

    Clocks matter only relative to each other and to the times that were sent.
    """

    moves: MigrationCoordinator
    members: dict[str, RangeOwnership]
    clocks: dict[str, int]
    net: Network
    now: int = 0
    maps: int = 1
    incarnations: int = 0
    remaining: dict[str, int] = field(default_factory=dict)
    """How often each kind of step may still happen, by its name."""

    def fork(self) -> ModelState:
        """A copy that shares the coordinator and the members with this state.

        Whoever changes one of them gets a copy from `own_service` or `own_member`.
        """
        return ModelState(
            self.moves,
            dict(self.members),
            dict(self.clocks),
            self.net,
            self.now,
            self.maps,
            self.incarnations,
            dict(self.remaining),
        )

    def own_service(self) -> MigrationCoordinator:
        """Replace the coordinator by a copy, and return it."""
        m = self.moves
        holders = {
            t: RangeHolder(h.name, h.expires_at_us, list(h.holds), h.last_heartbeat)
            for t, h in m.holders.items()
        }
        self.moves = type(m)(
            m.map,
            m.epoch,
            m.grants_from_us,
            m.last_token_number,
            holders,
            dict(m.free),
            m.bits,
        )
        return self.moves

    def own_member(self, name: str) -> RangeOwnership:
        """Replace a member by a copy, and return it."""
        o = self.members[name]
        self.members[name] = type(o)(
            o.name,
            o.map,
            o.incarnation,
            o.lease_expires_at_us,
            list(o.ranges),
            o.last_sent,
            o.last_answered,
            o.service_generation,
            o.bits,
            list(o._first_keys),
        )
        return self.members[name]

    def consume(self, what: str) -> bool:
        """Count a step; whether it may still happen."""
        self.remaining[what] = self.remaining.get(what, 0) - 1
        return self.remaining[what] >= 0


class ShardModel:
    """The steps that may happen, and what must hold.

    `maps`: the maps that come into force, one after another. `asked`: heartbeats that
    each member may send. `past`: steps taken from the start before the search begins,
    to search deeper around them. The others limit how often something happens.
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
        assert not bug or bug in MUTATIONS, bug
        self.past, self.bug, self.net = (
            past,
            bug,
            Network(max_in_transit=most, losses_left=losses, duplicates_left=copies),
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
        half = 1 << (MODEL_KEY_BITS - 1)
        self.maps = [
            ShardMap(
                n + 1,
                tuple(
                    Range(at * half, at * half + half - 1, owner)
                    for at, owner in enumerate(owners)
                ),
                MODEL_KEY_BITS,
            )
            for n, owners in enumerate(maps)
        ]

    def start(self) -> ModelState:
        """The first map is in force, and all members act on their keys.

        All leases were requested and answered just now.
        """
        moves = {
            "early": CoordinatorTakingKeysEarly,
            "stale": CoordinatorTakingStaleGiveUps,
        }.get(self.bug, MigrationCoordinator)(self.maps[0], 1, bits=MODEL_KEY_BITS)
        owned = {
            "unfrozen": OwnershipGivenUpUndrained,
            "unsaid": OwnershipIgnoringPendingGiveUps,
        }.get(self.bug, RangeOwnership)
        fleet = ModelState(
            moves,
            {},
            {},
            Network(),
            remaining={f"beat {name}": 1 for name in self.names},
        )
        for name in self.names:
            fleet.members[name] = owned(name, bits=MODEL_KEY_BITS)
            fleet.clocks[name] = 0
            self._join(fleet, name)
            fleet.members[name].apply_map(self.maps[0])
            self._send_heartbeat(fleet, name)
            for _ in range(2):  # The heartbeat, then its answer.
                message, fleet.net = next(fleet.net.arrivals())
                self._deliver(fleet, message)
        fleet.net, fleet.remaining = self.net, dict(self.left)
        for step in self.past:
            fleet = dict(self.steps(fleet))[step]
        return fleet

    def _join(self, fleet: ModelState, name: str) -> None:
        fleet.incarnations += 1
        token = Token(1, fleet.incarnations)
        fleet.own_service().lease_renewed(
            token, name, fleet.now + self._service_lease_ticks()
        )
        fleet.own_member(name).on_joined(
            token, fleet.clocks[name] + LEASE_TICKS - DRIFT_MARGIN_TICKS
        )

    def _service_lease_ticks(self) -> int:
        return (
            LEASE_TICKS - DRIFT_MARGIN_TICKS
            if self.bug == "no margin"
            else LEASE_TICKS + DRIFT_MARGIN_TICKS
        )

    # -- steps
    # -----------------------------------------------------------------------------------

    def steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Everything that may happen next."""
        for name, act in self._acts(state):
            after = state.fork()
            if act(after):
                yield name, after
        for message, net in state.net.arrivals():
            after = state.fork()
            after.net = net
            self._deliver(after, message)
            yield f"arrives: {_describe_message(message)}", after
        for message, net in state.net.lost():
            after = state.fork()
            after.net = net
            yield f"lost: {_describe_message(message)}", after

    def _acts(
        self, state: ModelState
    ) -> Iterator[tuple[str, Callable[[ModelState], bool]]]:
        """What may happen next beside messages; each returns whether it does."""
        if state.maps < len(self.maps):
            yield f"map {state.maps + 1}", self._next_map
        if state.remaining["tick"]:
            yield "tick", partial(self._tick, stands="")
            for name in self.names if state.remaining["slow"] else ():
                yield f"tick, {name}'s clock stands", partial(self._tick, stands=name)
        if state.remaining["restart"]:
            yield "the service restarts", self._restart
        for name, member in sorted(state.members.items()):
            yield from self._member_acts(state, name, member)

    def _member_acts(
        self, state: ModelState, name: str, member: RangeOwnership
    ) -> Iterator[tuple[str, Callable[[ModelState], bool]]]:
        if state.remaining["crash"]:
            yield f"{name} crashes", partial(self._crash, name=name)
        if member.incarnation is None and state.remaining["join"]:
            yield f"{name} joins", partial(self._join_anew, name=name)
        elif member.incarnation is not None and state.remaining[f"beat {name}"]:
            yield f"{name} asks", partial(self._send_heartbeat, name=name)
        if member.frozen_ranges():
            yield f"{name} drained", partial(self._drain, name=name)
        for n in range(member.map.generation if member.map else 0, state.maps):
            yield (
                f"{name} adopts map {n + 1}",
                partial(self._adopt, name=name, number=n),
            )

    def _next_map(self, s: ModelState) -> bool:
        s.own_service().install_map(self.maps[s.maps])
        s.maps += 1
        return True

    def _tick(self, s: ModelState, stands: str) -> bool:
        s.now += 1
        for name in s.clocks:
            s.clocks[name] += name != stands
        s.own_service().expire(s.now)
        return s.consume("tick") and (not stands or s.consume("slow"))

    def _restart(self, s: ModelState) -> bool:
        again = MigrationCoordinator.from_snapshot(
            s.moves.to_snapshot(),
            s.moves.epoch,
            s.now + self._service_lease_ticks(),
            bits=MODEL_KEY_BITS,
        )
        s.moves = type(s.moves)(
            again.map,
            again.epoch,
            0,
            again.last_token_number,
            again.holders,
            again.free,
            MODEL_KEY_BITS,
        )
        return s.consume("restart")

    def _crash(self, s: ModelState, name: str) -> bool:
        s.own_member(name).on_lease_lost()
        s.members[name].map = None
        return s.consume("crash")

    def _join_anew(self, s: ModelState, name: str) -> bool:
        self._join(s, name)
        return s.consume("join")

    def _drain(self, s: ModelState, name: str) -> bool:
        s.own_member(name).mark_drained(s.members[name].frozen_ranges())
        return True

    def _adopt(self, s: ModelState, name: str, number: int) -> bool:
        s.own_member(name).apply_map(self.maps[number])
        return True

    def _send_heartbeat(self, s: ModelState, name: str) -> bool:
        member = s.own_member(name)
        if member.incarnation is None:
            return False
        word = member.next_report()
        s.net = s.net.send(
            (
                name,
                member.incarnation.number,
                word.sent,
                s.clocks[name],
                "asks",
                word.generation,
                word.digest,
                word.given_up,
            )
        )
        return s.consume(f"beat {name}")

    def _deliver(self, s: ModelState, message: Any) -> None:
        name, number, sent, asked, kind, generation, *rest = message
        token = Token(1, number)
        if kind == "is told":
            holds = [
                RangeHold(first, last, Token(1, n), begun)
                for first, last, n, begun in rest[0]
            ]
            s.own_member(name).apply_answer(
                token, sent, generation, holds, asked + LEASE_TICKS - DRIFT_MARGIN_TICKS
            )
            return
        try:
            digest, gave = rest
            answer = s.own_service().heartbeat(
                token, sent, generation, digest, gave, s.now
            )
        except (FencedError, StaleHeartbeatError):
            return
        s.moves.lease_renewed(token, name, s.now + self._service_lease_ticks())
        told = tuple(
            (h.first, h.last, h.token.number, h.since_generation) for h in answer.holds
        )
        s.net = s.net.send(
            (name, number, sent, asked, "is told", answer.generation, told)
        )

    # -- what has to hold
    # --------------------------------------------------------------------------

    def broken(self, state: ModelState) -> str:
        """Keys that two members act on, or that the service counts twice or never."""
        spans: list[tuple[KeyRange, str]] = []
        for name, member in sorted(state.members.items()):
            spans += [
                (own.key_range, name) for own in member.held_ranges(state.clocks[name])
            ]
        spans.sort()
        for (a, who), (b, other) in pairwise(spans):
            if b[0] <= a[1]:
                return f"{who} and {other} both act on keys {b[0]:x} to {min(a[1], b[1]):x}"
        held = [
            (h.first, h.last)
            for holder in state.moves.holders.values()
            for h in holder.holds
        ]
        free = [span for owned in state.moves.free.values() for span in owned]
        sizes = sum(last - first + 1 for first, last in held + free)
        if sizes != 1 << MODEL_KEY_BITS or union(held + free) != [
            (0, (1 << MODEL_KEY_BITS) - 1)
        ]:
            return (
                "a key is held twice by the service's table, or neither held nor free"
            )
        return ""

    def key(self, state: ModelState) -> Hashable:
        """What tells states apart, times as what is left of them.

        All expired leases count as equal.
        """
        moves = state.moves
        return (
            moves.map.generation if moves.map else 0,
            moves.last_token_number,
            tuple(
                (
                    t,
                    h.name,
                    max(0, h.expires_at_us - state.now),
                    tuple(h.holds),
                    h.last_heartbeat,
                )
                for t, h in sorted(moves.holders.items())
            ),
            tuple(
                (
                    m.map.generation if m.map else 0,
                    m.incarnation,
                    max(0, m.lease_expires_at_us - state.clocks[n]),
                    tuple(m.ranges),
                    m.last_sent,
                    m.last_answered,
                )
                for n, m in sorted(state.members.items())
            ),
            tuple(self._message(state, message) for message in state.net.in_transit),
            state.net.losses_left,
            state.net.duplicates_left,
            tuple(sorted(state.remaining.items())),
        )

    def _message(self, state: ModelState, message: Any) -> Hashable:
        """A message by the effect that it can still have.

        The time of its request counts as what is left of the lease that it brings.
        """
        name, _, _, asked, *_ = message
        return (
            *message[:3],
            max(0, asked + LEASE_TICKS - DRIFT_MARGIN_TICKS - state.clocks[name]),
            *message[4:],
        )


def _describe_message(message: Any) -> str:
    name, number, sent, _, kind, generation, *rest = message
    what = "gave" if kind == "asks" else "holds"
    spans = " ".join(f"{span[0]:x}-{span[1]:x}" for span in rest[-1])
    return f"{name}({number}) {kind}, beat {sent}, map {generation}, {what} {spans or 'nothing'}"
