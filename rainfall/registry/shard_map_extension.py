"""The shard map on the beats: who has which map, who gave up what, and the ranges each
may act on from now.

`shard.moves` decides; a hold it gives in memory is told only once it is on disk, with
all that it rests on. A map comes into force in `commit`, when its row is written.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Mapping
from typing import Any

import msgspec

from rainfall.lease.fencing_token import Token
from rainfall.lease.types import service_expiry_us
from rainfall.member.roster import Member
from rainfall.registry.heartbeat_extension import (
    BaseHeartbeatExtension,
    HeartbeatResult,
    Row,
)
from rainfall.registry.request_error import RequestError
from rainfall.shard import map_planning
from rainfall.shard.auto_planner import AutoPlanner
from rainfall.shard.map_planning import PlanError
from rainfall.shard.map_validation import checked_map
from rainfall.shard.migration import (
    MAX_GENERATION_LEAD,
    HoldsAnswer,
    MigrationCoordinator,
    StaleHeartbeatError,
)
from rainfall.shard.shard_map import (
    MAX_GENERATION,
    ShardMap,
    format_key,
    format_range,
    parse_key,
    parse_range,
)

# of a map that the service plans: written out it is within the bound of a body
MAX_PLANNED_RANGES = 8_192
REPLAN_INTERVAL_US = 250_000  # between two looks at what the planner could not do yet
log = logging.getLogger("rainfall.registry")


class ShardMapExtension(BaseHeartbeatExtension):
    """`lease_us`: the longest lease there may be.

    `leading`: whether this process holds `shard-planner` at a time; None: it plans
    nothing by itself.
    """

    name = "maps"

    def __init__(
        self,
        lease_us: int,
        drift: float,
        is_planner: Callable[[int], bool] | None = None,
        auto_planner: AutoPlanner | None = None,
    ) -> None:
        self.longest_lease_us = service_expiry_us(lease_us, drift)
        self.is_planner, self.auto_planner = is_planner, auto_planner or AutoPlanner()
        self.migration = MigrationCoordinator(None, 0)
        self.stored_map: ShardMap | None = None
        """The map in force as it is on disk; only this is told."""
        self._epoch = 0
        self._next_plan_us: int | None = None
        self._change_count = 0  # counts changes in memory ...
        self._planned_count = 0  # ... up to the last plan ...
        self._stored_count = 0  # ... and those on disk
        self._changed_tokens: set[Token] = (
            set()
        )  # whose holds changed since they were last written
        self._in_flight: tuple[set[Token], ShardMap | None] = set(), None
        self._encoded_map: tuple[ShardMap | None, msgspec.Raw] = None, msgspec.Raw()

    # -- the start
    # -------------------------------------------------------------------------------------

    def epoch_raised(self, epoch: int) -> None:
        self._epoch = self.migration.epoch = epoch

    def restore(
        self, now_us: int, state_complete: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        raw: dict[str, Any] = dict(
            snapshot or {"map": None, "number": 0, "holders": []}
        )
        held = {Token.from_wire(h["token"]): h for h in raw["holders"]}
        for row in rows:
            raw["map"] = row.get("put", row.get("map", raw["map"]))
            raw["number"] = row.get("number", raw["number"])
            held.update(
                (Token.from_wire(h["token"]), h) for h in row.get("holders", ())
            )
        raw["holders"] = [
            h for _, h in sorted(held.items(), key=lambda pair: pair[0]) if h["holds"]
        ]
        out_us = now_us + self.longest_lease_us
        self.migration = MigrationCoordinator.from_snapshot(
            raw, self._epoch, out_us, 0 if state_complete else out_us
        )
        self.stored_map = self.migration.map

    def service_started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        for member, until_us in members:
            if member.token in self.migration.holders:
                self.migration.lease_renewed(member.token, member.name, until_us)

    # -- members
    # ---------------------------------------------------------------------------------------

    def find_faults(self, beat: Mapping[str, Any]) -> list[str]:
        if "map" not in beat:
            return [
                f"{name}: without map" for name in ("digest", "gave") if name in beat
            ]
        found: list[str] = []
        most = min(
            (self.migration.map.generation if self.migration.map else 0)
            + MAX_GENERATION_LEAD,
            MAX_GENERATION,
        )
        if type(beat["map"]) is not int or not 0 <= beat["map"] <= most:
            found.append(f"map: a generation, a whole number from 0 to {most}")
        elif beat["map"] and parse_key(beat.get("digest")) is None:
            found.append("digest: that of the map, 16 lower-case hexadecimal digits")
        gave = beat.get("gave", [])
        if not isinstance(gave, list):
            return [*found, "gave: a list of ranges"]
        for n, text in enumerate(gave):
            try:
                parse_range(text)
            except ValueError as error:
                found.append(f"gave[{n}]: {error}")
        return found

    def member_joined(
        self, now_us: int, name: str, token: Token, follows: Token | None
    ) -> None:
        if follows is not None:
            self.member_ended(now_us, follows)

    def member_resumed(
        self,
        now_us: int,
        name: str,
        token: Token,
        previous_token: Token,
        kept_reserves: Mapping[str, int],
    ) -> None:
        if previous_token != token:
            self.member_ended(now_us, previous_token)

    def lease_expired(self, now_us: int, token: Token) -> None:
        self.member_ended(now_us, token)

    def member_ended(self, now_us: int, token: Token) -> None:
        if holder := self.migration.holders.get(token):
            self.migration.release_all(token)
            if holder.holds:
                self._mark_changed({token})

    def handle_heartbeat(
        self,
        now_us: int,
        until_us: int,
        name: str,
        token: Token,
        beat: Mapping[str, Any],
    ) -> HeartbeatResult:
        """A member that says nothing of maps takes no part, and is given nothing."""
        if "map" not in beat:
            return HeartbeatResult(False, False, dict)
        self.migration.lease_renewed(token, name, until_us)
        held_map = beat["map"], int(beat.get("digest", "0"), 16)
        try:
            answer = self.migration.heartbeat(
                token,
                beat["sent"],
                *held_map,
                map(parse_range, beat.get("gave", ())),
                now_us,
            )
        except StaleHeartbeatError:
            late = RequestError(
                409,
                [
                    "sent: a later beat was answered already; nothing was done on this one"
                ],
            )
            late.extra_fields = {"error": "late"}
            raise late from None
        if answer.changed:
            self._mark_changed({token})
        # What this answer rests on: its own holds, or the map that it names.
        required_count = (
            self._change_count
            if token in self._unstored_tokens()
            or self.migration.map is not self.stored_map
            else 0
        )
        return HeartbeatResult(
            answer.changed,
            required_count > 0,
            lambda: self._answer_fields(answer, held_map, required_count),
        )

    def _answer_fields(
        self, answer: HoldsAnswer, held_map: tuple[int, int], required_count: int
    ) -> dict[str, Any]:
        if required_count > self._stored_count:
            raise OSError("what holds now is not on disk yet")
        parts = {
            "map": answer.generation,
            "ranges": [
                {
                    "keys": format_range(hold.first, hold.last),
                    "token": hold.token.to_wire(),
                    "begun": hold.since_generation,
                }
                for hold in answer.holds
            ],
        }
        if self.stored_map is not None and held_map != (
            self.stored_map.generation,
            self.stored_map.digest(),
        ):
            parts["shards"] = self.encoded_map()
        return parts

    def encoded_map(self) -> msgspec.Raw:
        """The map in force in the form of its file, encoded once."""
        if self.stored_map is not None and self._encoded_map[0] is not self.stored_map:
            self._encoded_map = (
                self.stored_map,
                msgspec.Raw(msgspec.json.encode(self.stored_map.to_wire())),
            )
        return self._encoded_map[1]

    # -- plans
    # -----------------------------------------------------------------------------------------

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        if out := self.migration.expire(now_us):
            self._mark_changed(set(out))
        rows, current = list[Row](), self.migration.map
        if self._changed_tokens or current is not self.stored_map:
            row: Row = {
                "number": self.migration.last_token_number,
                "holders": [
                    self._holder_row(token) for token in sorted(self._changed_tokens)
                ],
            }
            if current is not None and current is not self.stored_map:
                row["map"] = current.to_wire()
            rows.append(row)
        self._planned_count, self._in_flight, self._changed_tokens = (
            self._change_count,
            (self._changed_tokens, current),
            set(),
        )
        self._next_plan_us = self.migration.next_expiry_us()
        if self.is_planner is not None:
            rows += self._plan_automatically(
                now_us, frozen, members, self.is_planner(now_us)
            )
        return rows

    def _plan_automatically(
        self, now_us: int, frozen: bool, members: list[Member], leading: bool
    ) -> list[Row]:
        """A map for members who came or went for good, if it is time for one."""
        self.auto_planner.observe_members(
            {member.name: 1.0 for member in members}, now_us
        )
        owners = dict.fromkeys(
            self.migration.map.owners() if self.migration.map else (), 1.0
        )
        wanted = self.auto_planner.members_to_plan_for(owners, now_us, leading, frozen)
        due_us = self.auto_planner.next_plan_us(owners)
        if due_us is not None:
            due_us = max(due_us, now_us + REPLAN_INTERVAL_US)
            self._next_plan_us = (
                due_us
                if self._next_plan_us is None
                else min(self._next_plan_us, due_us)
            )
        if wanted is None:
            return []
        if (
            not owners
        ):  # where nobody has keys yet, who joined just now need not wait either
            wanted = {member.name: 1.0 for member in members}
        try:
            planned_map = map_planning.plan_map(
                wanted, self.migration.map, most_ranges=MAX_PLANNED_RANGES
            ).map
        except PlanError as error:
            log.error("no map planned", extra={"why": str(error)})
            return []
        return [{"put": planned_map.to_wire(), "why": "planned"}]

    def _holder_row(self, token: Token) -> dict[str, Any]:
        holder = self.migration.holders.get(token)
        holds = holder.holds if holder else ()
        return {
            "token": token.to_wire(),
            "name": holder.name if holder else "",
            "holds": [
                [
                    format_key(h.first),
                    format_key(h.last),
                    h.token.to_wire(),
                    h.since_generation,
                ]
                for h in holds
            ],
        }

    def next_us(self) -> int | None:
        return self._next_plan_us

    def commit(self, now_us: int, row: Row) -> None:
        if "put" in row:
            new = checked_map(row["put"])
            before = self.migration.map
            if before is not None and new.generation <= before.generation:
                # Meanwhile a member showed a later one: this goes above that, and is
                # written as it then is.
                new = ShardMap(before.generation + 1, new.ranges)
                self.migration.install_map(new)
                self._mark_changed(set())
            else:
                self.migration.install_map(new)
                self.stored_map = new
            self.auto_planner.on_planned(now_us)
            log.info(
                "map",
                extra={
                    "generation": new.generation,
                    "ranges": len(new.ranges),
                    "owners": len(new.owners()),
                    "why": row["why"],
                },
            )
            return
        tokens, current = self._in_flight
        self._in_flight, self._stored_count = (set(), None), self._planned_count
        if "map" in row:
            self.stored_map = current
            log.warning("map lifted", extra={"generation": row["map"]["generation"]})
        for holder in row["holders"]:
            log.info(
                "ranges",
                extra={
                    "token": holder["token"],
                    "member": holder["name"],
                    "keys": [
                        f"{first}-{last}" for first, last, *_ in holder["holds"][:16]
                    ],
                    "ranges": len(holder["holds"]),
                },
            )

    def abandon(self, row: Row) -> None:
        if "put" not in row:
            self._changed_tokens |= self._in_flight[0]
            self._in_flight = set(), None

    def concerned_members(self, row: Row) -> Collection[str] | None:
        """A map concerns all; ranges that were given up, those whose they are to be."""
        if "put" in row or "map" in row:
            return None
        return [owner for owner, spans in self.migration.free.items() if spans]

    def _mark_changed(self, tokens: set[Token]) -> None:
        self._change_count += 1
        self._changed_tokens |= tokens

    def _unstored_tokens(self) -> set[Token]:
        return self._changed_tokens | self._in_flight[0]

    # -- what is told of it
    # ----------------------------------------------------------------------------

    def snapshot(self) -> Row:
        return self.migration.to_snapshot()

    def gauges(self) -> dict[str, int]:
        return {
            "map_generation": self.stored_map.generation if self.stored_map else 0,
            "map_ranges": len(self.stored_map.ranges) if self.stored_map else 0,
            "map_holders": sum(bool(h.holds) for h in self.migration.holders.values()),
            "map_moving": len(self.migration.ranges_in_migration())
            if self.stored_map
            else 0,
        }
