"""A model of shard migrations for the model checker.

`MigrationCoordinator` and `RangeOwnership` are the classes that the processes run. The
model adds their environment: heartbeats and answers that are lost, duplicated, delayed
and reordered; map changes during a migration; leases that expire on drifting clocks;
members that crash and rejoin; and a service that restarts from its snapshot.

A suspended member needs no step of its own: it is a member that takes no step while the
clocks advance.
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
"""Maps in the order of their generations; each names the owners of the two halves."""
LEASE_TICKS = 3
DRIFT_MARGIN_TICKS = 1
"""The holder shortens a lease by this margin, the service extends it."""
MUTATIONS = ("early", "unfrozen", "no margin", "stale", "unsaid")
"""Names of the planted faults that the search has to find."""


class CoordinatorTakingKeysEarly(MigrationCoordinator):
    """Planted fault: a new map revokes the holds of other members immediately."""

    def install_map(self, new: ShardMap) -> None:
        """Put a map in force, and revoke holds on keys that it assigns to another member."""
        super().install_map(new)
        for holder in self.holders.values():
            own = [
                (map_range.first, map_range.last)
                for map_range in new.ranges
                if map_range.owner == holder.name
            ]
            held = [(hold.first, hold.last) for hold in holder.holds]
            holder.holds = [
                part
                for hold in holder.holds
                for part in hold.restricted_to(
                    intersection([(hold.first, hold.last)], own)
                )
            ]
            still_held = [(hold.first, hold.last) for hold in holder.holds]
            self._release(
                [key_range for key_range in held if key_range not in still_held]
            )


class CoordinatorTakingStaleGiveUps(MigrationCoordinator):
    """Planted fault: a give-up is applied regardless of the map it was sent under."""

    def give_up_applies(self, hold: RangeHold, generation: int) -> bool:
        """Return True."""
        del hold, generation
        return True


class OwnershipGivenUpUndrained(RangeOwnership):
    """Planted fault: keys are given up while their messages are in flight."""

    def next_report(self) -> Any:
        """Return a report that gives up frozen keys too, without changing the ranges."""
        ranges_before = self.ranges
        self.mark_drained(self.frozen_ranges())
        report = RangeOwnership.next_report(self)
        self._set_ranges(ranges_before)
        return report


class OwnershipIgnoringPendingGiveUps(RangeOwnership):
    """Planted fault: a hold starts although a heartbeat in flight may give it up."""

    def given_up_after(self, generation: int) -> list[KeyRange]:
        """Return no keys."""
        del generation
        return []


@dataclass(slots=True)
class ModelState:
    """One state of the service, the members and the network; times are in ticks.

    Clocks matter only relative to each other and to the times in messages.
    """

    coordinator: MigrationCoordinator
    members: dict[str, RangeOwnership]
    clocks: dict[str, int]
    """The clock of each member, by name."""
    network: Network
    now: int = 0
    """The clock of the service."""
    map_count: int = 1
    """How many maps have been put in force."""
    incarnations: int = 0
    """How many incarnations have joined."""
    remaining: dict[str, int] = field(default_factory=dict)
    """How often each kind of step may still happen, by name."""

    def fork(self) -> ModelState:
        """Return a copy that shares the coordinator and the members with this state.

        A step that changes one of them must use `copy_coordinator` or `copy_member`.
        """
        return ModelState(
            self.coordinator,
            dict(self.members),
            dict(self.clocks),
            self.network,
            self.now,
            self.map_count,
            self.incarnations,
            dict(self.remaining),
        )

    def copy_coordinator(self) -> MigrationCoordinator:
        """Replace the coordinator with a copy, and return the copy."""
        coordinator = self.coordinator
        holders = {
            token: RangeHolder(
                holder.name,
                holder.expires_at_us,
                list(holder.holds),
                holder.last_heartbeat,
            )
            for token, holder in coordinator.holders.items()
        }
        self.coordinator = type(coordinator)(
            coordinator.map,
            coordinator.epoch,
            coordinator.grants_from_us,
            coordinator.last_token_number,
            holders,
            dict(coordinator.free),
            coordinator.bits,
        )
        return self.coordinator

    def copy_member(self, name: str) -> RangeOwnership:
        """Replace a member with a copy, and return the copy."""
        member = self.members[name]
        self.members[name] = type(member)(
            member.name,
            member.map,
            member.incarnation,
            member.lease_expires_at_us,
            list(member.ranges),
            member.last_sent,
            member.last_answered,
            member.service_generation,
            member.bits,
            list(member._first_keys),
        )
        return self.members[name]

    def consume(self, kind: str) -> bool:
        """Count a step of a kind, and return whether its limit allowed it."""
        self.remaining[kind] = self.remaining.get(kind, 0) - 1
        return self.remaining[kind] >= 0


class ShardModel:
    """The possible steps, and the invariants of a state.

    `maps`: the maps that are put in force, in this order. `asked`: the number of
    heartbeats that each member may send. `max_in_transit`: the number of messages in the
    network at once. `past`: steps taken before the search starts, to search deeper after
    them. `bug`: the planted fault, one of `MUTATIONS`; empty for none. `ticks`, `slow`
    (ticks in which one member's clock stands still), `crashes`, `restarts`, `losses` and
    `copies` (duplicated messages) limit how often each event happens.
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
        max_in_transit: int = 2,
        past: Sequence[str] = (),
        bug: str = "",
    ) -> None:
        assert not bug or bug in MUTATIONS, bug
        self.past, self.bug, self.network = (
            past,
            bug,
            Network(
                max_in_transit=max_in_transit,
                losses_left=losses,
                duplicates_left=copies,
            ),
        )
        self.step_limits = {
            "tick": ticks,
            "slow": slow,
            "crash": crashes,
            "join": crashes,
            "restart": restarts,
        }
        self.names = sorted(set("".join(maps)))
        asked = asked if isinstance(asked, dict) else dict.fromkeys(self.names, asked)
        self.step_limits |= {f"beat {name}": asked[name] for name in self.names}
        half = 1 << (MODEL_KEY_BITS - 1)
        self.maps = [
            ShardMap(
                index + 1,
                tuple(
                    Range(position * half, position * half + half - 1, owner)
                    for position, owner in enumerate(owners)
                ),
                MODEL_KEY_BITS,
            )
            for index, owners in enumerate(maps)
        ]

    def start(self) -> ModelState:
        """Return the initial state, after the steps in `past`.

        The first map is in force, all members act on their keys, and all leases were
        renewed at time 0.
        """
        coordinator = {
            "early": CoordinatorTakingKeysEarly,
            "stale": CoordinatorTakingStaleGiveUps,
        }.get(self.bug, MigrationCoordinator)(self.maps[0], 1, bits=MODEL_KEY_BITS)
        ownership = {
            "unfrozen": OwnershipGivenUpUndrained,
            "unsaid": OwnershipIgnoringPendingGiveUps,
        }.get(self.bug, RangeOwnership)
        state = ModelState(
            coordinator,
            {},
            {},
            Network(),
            remaining={f"beat {name}": 1 for name in self.names},
        )
        for name in self.names:
            state.members[name] = ownership(name, bits=MODEL_KEY_BITS)
            state.clocks[name] = 0
            self._join(state, name)
            state.members[name].apply_map(self.maps[0])
            self._send_heartbeat(state, name)
            for _ in range(2):  # The heartbeat and its answer.
                message, state.network = next(state.network.arrivals())
                self._deliver(state, message)
        state.network, state.remaining = self.network, dict(self.step_limits)
        for step in self.past:
            state = dict(self.steps(state))[step]
        return state

    def _join(self, state: ModelState, name: str) -> None:
        state.incarnations += 1
        token = Token(1, state.incarnations)
        state.copy_coordinator().lease_renewed(
            token, name, state.now + self._service_lease_ticks()
        )
        state.copy_member(name).on_joined(
            token, state.clocks[name] + LEASE_TICKS - DRIFT_MARGIN_TICKS
        )

    def _service_lease_ticks(self) -> int:
        return (
            LEASE_TICKS - DRIFT_MARGIN_TICKS
            if self.bug == "no margin"
            else LEASE_TICKS + DRIFT_MARGIN_TICKS
        )

    # Steps.

    def steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Yield each possible step by name, with the state after it."""
        for name, step in self._local_steps(state):
            after = state.fork()
            if step(after):
                yield name, after
        for message, network in state.network.arrivals():
            after = state.fork()
            after.network = network
            self._deliver(after, message)
            yield f"arrives: {_describe_message(message)}", after
        for message, network in state.network.lost():
            after = state.fork()
            after.network = network
            yield f"lost: {_describe_message(message)}", after

    def _local_steps(
        self, state: ModelState
    ) -> Iterator[tuple[str, Callable[[ModelState], bool]]]:
        """Yield the possible steps except those of messages.

        A step modifies the state, and returns whether its limit allowed it.
        """
        if state.map_count < len(self.maps):
            yield f"map {state.map_count + 1}", self._next_map
        if state.remaining["tick"]:
            yield "tick", partial(self._tick, stopped_clock="")
            for name in self.names if state.remaining["slow"] else ():
                yield (
                    f"tick, {name}'s clock stands",
                    partial(self._tick, stopped_clock=name),
                )
        if state.remaining["restart"]:
            yield "the service restarts", self._restart
        for name, member in sorted(state.members.items()):
            yield from self._member_steps(state, name, member)

    def _member_steps(
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
        for index in range(member.map.generation if member.map else 0, state.map_count):
            yield (
                f"{name} adopts map {index + 1}",
                partial(self._adopt, name=name, index=index),
            )

    def _next_map(self, state: ModelState) -> bool:
        state.copy_coordinator().install_map(self.maps[state.map_count])
        state.map_count += 1
        return True

    def _tick(self, state: ModelState, stopped_clock: str) -> bool:
        state.now += 1
        for name in state.clocks:
            state.clocks[name] += name != stopped_clock
        state.copy_coordinator().expire(state.now)
        return state.consume("tick") and (not stopped_clock or state.consume("slow"))

    def _restart(self, state: ModelState) -> bool:
        restored = MigrationCoordinator.from_snapshot(
            state.coordinator.to_snapshot(),
            state.coordinator.epoch,
            state.now + self._service_lease_ticks(),
            bits=MODEL_KEY_BITS,
        )
        state.coordinator = type(state.coordinator)(
            restored.map,
            restored.epoch,
            0,
            restored.last_token_number,
            restored.holders,
            restored.free,
            MODEL_KEY_BITS,
        )
        return state.consume("restart")

    def _crash(self, state: ModelState, name: str) -> bool:
        state.copy_member(name).on_lease_lost()
        state.members[name].map = None
        return state.consume("crash")

    def _join_anew(self, state: ModelState, name: str) -> bool:
        self._join(state, name)
        return state.consume("join")

    def _drain(self, state: ModelState, name: str) -> bool:
        state.copy_member(name).mark_drained(state.members[name].frozen_ranges())
        return True

    def _adopt(self, state: ModelState, name: str, index: int) -> bool:
        state.copy_member(name).apply_map(self.maps[index])
        return True

    def _send_heartbeat(self, state: ModelState, name: str) -> bool:
        member = state.copy_member(name)
        if member.incarnation is None:
            return False
        report = member.next_report()
        state.network = state.network.send(
            (
                name,
                member.incarnation.number,
                report.sent,
                state.clocks[name],
                "asks",
                report.generation,
                report.digest,
                report.given_up,
            )
        )
        return state.consume(f"beat {name}")

    def _deliver(self, state: ModelState, message: Any) -> None:
        name, incarnation, sent, requested_at, kind, generation, *rest = message
        token = Token(1, incarnation)
        if kind == "is told":
            holds = [
                RangeHold(first, last, Token(1, number), since_generation)
                for first, last, number, since_generation in rest[0]
            ]
            state.copy_member(name).apply_answer(
                token,
                sent,
                generation,
                holds,
                requested_at + LEASE_TICKS - DRIFT_MARGIN_TICKS,
            )
            return
        try:
            digest, given_up = rest
            answer = state.copy_coordinator().heartbeat(
                token, sent, generation, digest, given_up, state.now
            )
        except (FencedError, StaleHeartbeatError):
            return
        state.coordinator.lease_renewed(
            token, name, state.now + self._service_lease_ticks()
        )
        holds_answered = tuple(
            (hold.first, hold.last, hold.token.number, hold.since_generation)
            for hold in answer.holds
        )
        state.network = state.network.send(
            (
                name,
                incarnation,
                sent,
                requested_at,
                "is told",
                answer.generation,
                holds_answered,
            )
        )

    # Invariants.

    def violation(self, state: ModelState) -> str:
        """Return a violated invariant; empty if none.

        At most one member acts on a key, and the service counts each key exactly once, as
        held or free.
        """
        acting_ranges: list[tuple[KeyRange, str]] = []
        for name, member in sorted(state.members.items()):
            acting_ranges += [
                (owned.key_range, name)
                for owned in member.held_ranges(state.clocks[name])
            ]
        acting_ranges.sort()
        for (low, low_name), (high, high_name) in pairwise(acting_ranges):
            if high[0] <= low[1]:
                return f"{low_name} and {high_name} both act on keys {high[0]:x} to {min(low[1], high[1]):x}"
        held = [
            (hold.first, hold.last)
            for holder in state.coordinator.holders.values()
            for hold in holder.holds
        ]
        free = [
            key_range
            for ranges in state.coordinator.free.values()
            for key_range in ranges
        ]
        sizes = sum(last - first + 1 for first, last in held + free)
        if sizes != 1 << MODEL_KEY_BITS or union(held + free) != [
            (0, (1 << MODEL_KEY_BITS) - 1)
        ]:
            return "the service counts a key as held twice, or as neither held nor free"
        return ""

    def key(self, state: ModelState) -> Hashable:
        """Return the identity of a state, with times as remaining times.

        All expired leases count as equal.
        """
        coordinator = state.coordinator
        return (
            coordinator.map.generation if coordinator.map else 0,
            coordinator.last_token_number,
            tuple(
                (
                    token,
                    holder.name,
                    max(0, holder.expires_at_us - state.now),
                    tuple(holder.holds),
                    holder.last_heartbeat,
                )
                for token, holder in sorted(coordinator.holders.items())
            ),
            tuple(
                (
                    member.map.generation if member.map else 0,
                    member.incarnation,
                    max(0, member.lease_expires_at_us - state.clocks[name]),
                    tuple(member.ranges),
                    member.last_sent,
                    member.last_answered,
                )
                for name, member in sorted(state.members.items())
            ),
            tuple(
                self._message(state, message) for message in state.network.in_transit
            ),
            state.network.losses_left,
            state.network.duplicates_left,
            tuple(sorted(state.remaining.items())),
        )

    def _message(self, state: ModelState, message: Any) -> Hashable:
        """Return the identity of a message by the effect that it can still have.

        The time of the request is replaced by the remaining time of the lease that the
        message renews.
        """
        name, _, _, requested_at, *_ = message
        return (
            *message[:3],
            max(
                0, requested_at + LEASE_TICKS - DRIFT_MARGIN_TICKS - state.clocks[name]
            ),
            *message[4:],
        )


def _describe_message(message: Any) -> str:
    name, incarnation, sent, _, kind, generation, *rest = message
    verb = "gave" if kind == "asks" else "holds"
    ranges = " ".join(f"{item[0]:x}-{item[1]:x}" for item in rest[-1])
    return f"{name}({incarnation}) {kind}, beat {sent}, map {generation}, {verb} {ranges or 'nothing'}"
