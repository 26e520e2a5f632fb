"""The shard map in heartbeats: members report their map, and receive their ranges.

`shard.migration` decides which member holds which range. A hold granted in memory is sent
only once it is stored together with the state it depends on. A map comes into force in
`commit`, once its row is stored.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple

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

MAX_PLANNED_RANGES = 8_192
"""Ranges of a planned map, so that its JSON fits the limit of a request's body."""
REPLAN_INTERVAL_US = 250_000
"""The least interval between two attempts to plan a map."""
LOGGED_RANGES = 16
"""Ranges of one member listed in a log line."""
log = logging.getLogger("rainfall.registry")


class _PlanInFlight(NamedTuple):
    """The content of the plan that is being written."""

    changed_tokens: set[Token]
    map: ShardMap | None


class _EncodedMap(NamedTuple):
    map: ShardMap | None
    encoding: msgspec.Raw


class ShardMapExtension(BaseHeartbeatExtension):
    """The shard map of the fleet.

    `lease_us` is the longest possible lease. `is_planner` returns whether this process
    holds the lease `shard-planner` at a time; without it the service plans no maps.
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
        self.is_planner = is_planner
        self.auto_planner = auto_planner or AutoPlanner()
        self.migration = MigrationCoordinator(None, 0)
        self.stored_map: ShardMap | None = None
        """The stored map in force; no other map is sent."""
        self._epoch = 0
        self._next_plan_us: int | None = None
        self._change_count = 0
        """Number of changes of holds and maps in memory."""
        self._planned_count = 0
        """How many changes the last plan includes."""
        self._stored_count = 0
        """How many changes are stored."""
        self._changed_tokens: set[Token] = set()
        """Tokens whose holds have changed since the last plan."""
        self._in_flight = _PlanInFlight(set(), None)
        self._encoded_map = _EncodedMap(None, msgspec.Raw())

    def epoch_raised(self, epoch: int) -> None:
        """See `BaseHeartbeatExtension`."""
        self._epoch = epoch
        self.migration.epoch = epoch

    def restore(
        self, now_us: int, state_complete: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        """Restore map and holds; see `HeartbeatExtension`.

        If the state may be an older copy, no range is granted for the longest lease.
        """
        raw: dict[str, Any] = dict(
            snapshot or {"map": None, "number": 0, "holders": []}
        )
        holders = {
            Token.from_wire(holder["token"]): holder for holder in raw["holders"]
        }
        for row in rows:
            raw["map"] = row.get("put", row.get("map", raw["map"]))
            raw["number"] = row.get("number", raw["number"])
            for holder in row.get("holders", ()):
                holders[Token.from_wire(holder["token"])] = holder
        raw["holders"] = [
            holders[token] for token in sorted(holders) if holders[token]["holds"]
        ]
        expires_at_us = now_us + self.longest_lease_us
        grants_from_us = 0 if state_complete else expires_at_us
        self.migration = MigrationCoordinator.from_snapshot(
            raw, self._epoch, expires_at_us, grants_from_us
        )
        self.stored_map = self.migration.map

    def service_started(self, _now_us: int, members: list[tuple[Member, int]]) -> None:
        """See `BaseHeartbeatExtension`."""
        for member, until_us in members:
            if member.token in self.migration.holders:
                self.migration.lease_renewed(member.token, member.name, until_us)

    def find_faults(self, body: Mapping[str, Any]) -> list[str]:
        """Return the faults of the heartbeat fields `map`, `digest` and `gave`."""
        if "map" not in body:
            return [
                f"{name}: without map" for name in ("digest", "gave") if name in body
            ]
        faults: list[str] = []
        generation = self.migration.map.generation if self.migration.map else 0
        highest = min(generation + MAX_GENERATION_LEAD, MAX_GENERATION)
        if type(body["map"]) is not int or not 0 <= body["map"] <= highest:
            faults.append(f"map: a generation, a whole number from 0 to {highest}")
        elif body["map"] and parse_key(body.get("digest")) is None:
            faults.append("digest: that of the map, 16 lower-case hexadecimal digits")
        return faults + _given_up_faults(body.get("gave", []))

    def member_joined(
        self, now_us: int, _name: str, _token: Token, replaced_token: Token | None
    ) -> None:
        """End the holds of the token that the new one replaces."""
        if replaced_token is not None:
            self.member_ended(now_us, replaced_token)

    def member_resumed(
        self,
        now_us: int,
        _name: str,
        token: Token,
        previous_token: Token,
        _kept_reserves: Mapping[str, int],
    ) -> None:
        """End the holds of the process's former token."""
        if previous_token != token:
            self.member_ended(now_us, previous_token)

    def lease_expired(self, now_us: int, token: Token) -> None:
        """End the holds of the token."""
        self.member_ended(now_us, token)

    def member_ended(self, _now_us: int, token: Token) -> None:
        """End the holds of the token."""
        holder = self.migration.holders.get(token)
        if holder is None:
            return
        self.migration.release_all(token)
        if holder.holds:
            self._mark_changed({token})

    def handle_heartbeat(
        self,
        now_us: int,
        until_us: int,
        name: str,
        token: Token,
        body: Mapping[str, Any],
    ) -> HeartbeatResult:
        """Pass a member's report to the migration, and answer with the member's ranges.

        A member that reports no map does not take part in sharding.

        Raises:
            RequestError: 409, a later heartbeat was already answered.
        """
        if "map" not in body:
            return HeartbeatResult(False, False, dict)
        self.migration.lease_renewed(token, name, until_us)
        held_map = (body["map"], int(body.get("digest", "0"), 16))
        generation, digest = held_map
        given_up = map(parse_range, body.get("gave", ()))
        try:
            answer = self.migration.heartbeat(
                token, body["sent"], generation, digest, given_up, now_us
            )
        except StaleHeartbeatError:
            raise _stale_heartbeat_error() from None
        if answer.changed:
            self._mark_changed({token})
        # The answer depends on the member's own holds, and on the map whose generation
        # it reports.
        depends_on_unstored = (
            token in self._changed_tokens
            or token in self._in_flight.changed_tokens
            or self.migration.map is not self.stored_map
        )
        required_count = self._change_count if depends_on_unstored else 0
        return HeartbeatResult(
            answer.changed,
            required_count > 0,
            lambda: self._answer_fields(answer, held_map, required_count),
        )

    def _answer_fields(
        self, answer: HoldsAnswer, held_map: tuple[int, int], required_count: int
    ) -> dict[str, Any]:
        """Return the fields of an answer that depends on the first `required_count` changes.

        Raises:
            OSError: Not all of those changes are stored.
        """
        if required_count > self._stored_count:
            raise OSError("what holds now is not on disk yet")
        fields = {
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
        stored = self.stored_map
        if stored is not None and held_map != (stored.generation, stored.digest()):
            fields["shards"] = self.encoded_map()
        return fields

    def encoded_map(self) -> msgspec.Raw:
        """Return the encoding of the stored map in force, cached until the next map."""
        stored = self.stored_map
        if stored is not None and self._encoded_map.map is not stored:
            encoding = msgspec.Raw(msgspec.json.encode(stored.to_wire()))
            self._encoded_map = _EncodedMap(stored, encoding)
        return self._encoded_map.encoding

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        """Return rows of changed holds and of a new map; see `HeartbeatExtension`."""
        expired = self.migration.expire(now_us)
        if expired:
            self._mark_changed(set(expired))
        current = self.migration.map
        rows: list[Row] = []
        if self._changed_tokens or current is not self.stored_map:
            rows.append(self._holds_row(current))
        self._planned_count = self._change_count
        self._in_flight = _PlanInFlight(self._changed_tokens, current)
        self._changed_tokens = set()
        self._next_plan_us = self.migration.next_expiry_us()
        if self.is_planner is not None:
            is_planner = self.is_planner(now_us)
            rows += self._plan_map(now_us, frozen, members, is_planner)
        return rows

    def _holds_row(self, current: ShardMap | None) -> Row:
        """Return a row of the changed holds, and of the map in force if it is not stored."""
        row: Row = {
            "number": self.migration.last_token_number,
            "holders": [
                self._holder_row(token) for token in sorted(self._changed_tokens)
            ],
        }
        if current is not None and current is not self.stored_map:
            row["map"] = current.to_wire()
        return row

    def _plan_map(
        self, now_us: int, frozen: bool, members: list[Member], is_planner: bool
    ) -> list[Row]:
        """Return the row of a new map if one is due for members that joined or left."""
        self.auto_planner.observe_members(
            {member.name: 1.0 for member in members}, now_us
        )
        owners = dict.fromkeys(
            self.migration.map.owners() if self.migration.map else (), 1.0
        )
        wanted = self.auto_planner.members_to_plan_for(
            owners, now_us, is_planner, frozen
        )
        due_us = self.auto_planner.next_plan_us(owners)
        if due_us is not None:
            due_us = max(due_us, now_us + REPLAN_INTERVAL_US)
            if self._next_plan_us is not None:
                due_us = min(self._next_plan_us, due_us)
            self._next_plan_us = due_us
        if wanted is None:
            return []
        if not owners:
            # No member owns keys yet, so new members need not wait for theirs.
            wanted = {member.name: 1.0 for member in members}
        try:
            planned_map = map_planning.plan_map(
                wanted, self.migration.map, most_ranges=MAX_PLANNED_RANGES
            ).map
        except PlanError as error:
            _log_plan_error(error)
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
                    format_key(hold.first),
                    format_key(hold.last),
                    hold.token.to_wire(),
                    hold.since_generation,
                ]
                for hold in holds
            ],
        }

    def next_us(self) -> int | None:
        """See `HeartbeatExtension`."""
        return self._next_plan_us

    def commit(self, now_us: int, row: Row) -> None:
        """Put a stored map in force, or make stored holds available to answers."""
        if "put" in row:
            self._commit_map(now_us, row)
        else:
            self._commit_holds(row)

    def _commit_map(self, now_us: int, row: Row) -> None:
        new = checked_map(row["put"])
        before = self.migration.map
        if before is not None and new.generation <= before.generation:
            # A member has reported a later generation since the plan: the new map gets
            # the next generation, and the next plan stores it with that one.
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

    def _commit_holds(self, row: Row) -> None:
        planned_map = self._in_flight.map
        self._in_flight = _PlanInFlight(set(), None)
        self._stored_count = self._planned_count
        if "map" in row:
            self.stored_map = planned_map
            log.warning("map lifted", extra={"generation": row["map"]["generation"]})
        for holder in row["holders"]:
            log.info(
                "ranges",
                extra={
                    "token": holder["token"],
                    "member": holder["name"],
                    "keys": [
                        f"{first}-{last}"
                        for first, last, *_ in holder["holds"][:LOGGED_RANGES]
                    ],
                    "ranges": len(holder["holds"]),
                },
            )

    def abandon(self, row: Row) -> None:
        """Include the holds in the next plan again."""
        if "put" not in row:
            self._changed_tokens |= self._in_flight.changed_tokens
            self._in_flight = _PlanInFlight(set(), None)

    def concerned_members(self, row: Row) -> Collection[str] | None:
        """Return all members for a map, the owners of free ranges for changed holds."""
        if "put" in row or "map" in row:
            return None
        return [
            owner for owner, free_ranges in self.migration.free.items() if free_ranges
        ]

    def _mark_changed(self, tokens: set[Token]) -> None:
        self._change_count += 1
        self._changed_tokens |= tokens

    def snapshot(self) -> Row:
        """See `HeartbeatExtension`."""
        return self.migration.to_snapshot()

    def gauges(self) -> dict[str, int]:
        """Return the map's gauges, by exported name."""
        holders = self.migration.holders.values()
        gauges = {
            "map_generation": 0,
            "map_ranges": 0,
            "map_holders": sum(bool(holder.holds) for holder in holders),
            "map_moving": 0,
        }
        if self.stored_map is not None:
            gauges["map_generation"] = self.stored_map.generation
            gauges["map_ranges"] = len(self.stored_map.ranges)
            gauges["map_moving"] = len(self.migration.ranges_in_migration())
        return gauges


def _given_up_faults(given_up: Any) -> list[str]:
    if not isinstance(given_up, list):
        return ["gave: a list of ranges"]
    faults: list[str] = []
    for index, text in enumerate(given_up):
        try:
            parse_range(text)
        except ValueError as error:
            faults.append(f"gave[{index}]: {error}")
    return faults


def _stale_heartbeat_error() -> RequestError:
    error = RequestError(
        409, ["sent: a later beat was answered already; nothing was done on this one"]
    )
    error.extra_fields = {"error": "late"}
    return error


def _log_plan_error(error: PlanError) -> None:
    """Log the error without a traceback; its message names the fault of the map."""
    log.error("cannot plan shard map", extra={"why": str(error)})
