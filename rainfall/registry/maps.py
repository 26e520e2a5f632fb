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

from rainfall.lease.terms import surely_out_us
from rainfall.lease.token import Token
from rainfall.member.roster import Member
from rainfall.registry.bodies import Refused
from rainfall.registry.rider import Heard, Riding, Row
from rainfall.shard import plan
from rainfall.shard.auto import AutoPlanner
from rainfall.shard.check import checked
from rainfall.shard.maps import (
    MOST_GENERATION,
    ShardMap,
    hexed,
    key_from,
    span_from,
    span_text,
)
from rainfall.shard.moves import MOST_AHEAD, Answer, Late, Moves
from rainfall.shard.plan import BadPlan

# of a map that the service plans: written out it is within the bound of a body
MOST_RANGES = 8_192
AGAIN_US = 250_000  # between two looks at what the planner could not do yet
log = logging.getLogger("rainfall.registry")


class Maps(Riding):
    """`lease_us`: the longest lease there may be. `leading`: whether this process holds
    `shard-planner` at a time; None: it plans nothing by itself.
    """

    name = "maps"

    def __init__(
        self,
        lease_us: int,
        drift: float,
        leading: Callable[[int], bool] | None = None,
        auto: AutoPlanner | None = None,
    ) -> None:
        self.longest_us = surely_out_us(lease_us, drift)
        self.leading, self.auto = leading, auto or AutoPlanner()
        self.moves = Moves(None, 0)
        self.map: ShardMap | None = None
        """The map in force as it is on disk; only this is told."""
        self._epoch = 0
        self._due_us: int | None = None
        self._made = 0  # counts changes in memory ...
        self._planned = 0  # ... up to the last plan ...
        self._kept = 0  # ... and those on disk
        self._touched: set[Token] = (
            set()
        )  # whose holds changed since they were last written
        self._flying: tuple[set[Token], ShardMap | None] = set(), None
        self._text: tuple[ShardMap | None, msgspec.Raw] = None, msgspec.Raw()

    # -- the start
    # -------------------------------------------------------------------------------------

    def lifted(self, epoch: int) -> None:
        self._epoch = self.moves.epoch = epoch

    def restored(
        self, now_us: int, sure: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        raw: dict[str, Any] = dict(
            snapshot or {"map": None, "number": 0, "holders": []}
        )
        held = {Token.of(h["token"]): h for h in raw["holders"]}
        for row in rows:
            raw["map"] = row.get("put", row.get("map", raw["map"]))
            raw["number"] = row.get("number", raw["number"])
            held.update((Token.of(h["token"]), h) for h in row.get("holders", ()))
        raw["holders"] = [
            h for _, h in sorted(held.items(), key=lambda pair: pair[0]) if h["holds"]
        ]
        out_us = now_us + self.longest_us
        self.moves = Moves.of(raw, self._epoch, out_us, 0 if sure else out_us)
        self.map = self.moves.map

    def started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        for member, until_us in members:
            if member.token in self.moves.holders:
                self.moves.alive(member.token, member.name, until_us)

    # -- members
    # ---------------------------------------------------------------------------------------

    def faults(self, beat: Mapping[str, Any]) -> list[str]:
        if "map" not in beat:
            return [
                f"{name}: without map" for name in ("digest", "gave") if name in beat
            ]
        found: list[str] = []
        most = min(
            (self.moves.map.generation if self.moves.map else 0) + MOST_AHEAD,
            MOST_GENERATION,
        )
        if type(beat["map"]) is not int or not 0 <= beat["map"] <= most:
            found.append(f"map: a generation, a whole number from 0 to {most}")
        elif beat["map"] and key_from(beat.get("digest")) is None:
            found.append("digest: that of the map, 16 lower-case hexadecimal digits")
        gave = beat.get("gave", [])
        if not isinstance(gave, list):
            return [*found, "gave: a list of ranges"]
        for n, text in enumerate(gave):
            try:
                span_from(text)
            except ValueError as error:
                found.append(f"gave[{n}]: {error}")
        return found

    def joined(
        self, now_us: int, name: str, token: Token, follows: Token | None
    ) -> None:
        if follows is not None:
            self.ended(now_us, follows)

    def said(
        self,
        now_us: int,
        name: str,
        token: Token,
        shown: Token,
        keeps: Mapping[str, int],
    ) -> None:
        if shown != token:
            self.ended(now_us, shown)

    def out(self, now_us: int, token: Token) -> None:
        self.ended(now_us, token)

    def ended(self, now_us: int, token: Token) -> None:
        if holder := self.moves.holders.get(token):
            self.moves.left(token)
            if holder.holds:
                self._touch({token})

    def heard(
        self,
        now_us: int,
        until_us: int,
        name: str,
        token: Token,
        beat: Mapping[str, Any],
    ) -> Heard:
        """A member that says nothing of maps takes no part, and is given nothing."""
        if "map" not in beat:
            return Heard(False, False, dict)
        self.moves.alive(token, name, until_us)
        has = beat["map"], int(beat.get("digest", "0"), 16)
        try:
            told = self.moves.beat(
                token, beat["sent"], *has, map(span_from, beat.get("gave", ())), now_us
            )
        except Late:
            late = Refused(
                409,
                [
                    "sent: a later beat was answered already; nothing was done on this one"
                ],
            )
            late.more = {"error": "late"}
            raise late from None
        if told.dirty:
            self._touch({token})
        # What this answer rests on: its own holds, or the map that it names.
        rests = (
            self._made
            if token in self._unkept() or self.moves.map is not self.map
            else 0
        )
        return Heard(told.dirty, rests > 0, lambda: self._tell(told, has, rests))

    def _tell(self, told: Answer, has: tuple[int, int], rests: int) -> dict[str, Any]:
        if rests > self._kept:
            raise OSError("what holds now is not on disk yet")
        parts = {
            "map": told.generation,
            "ranges": [
                {
                    "keys": span_text(h.first, h.last),
                    "token": h.token.told(),
                    "begun": h.begun,
                }
                for h in told.holds
            ],
        }
        if self.map is not None and has != (self.map.generation, self.map.digest()):
            parts["shards"] = self.text()
        return parts

    def text(self) -> msgspec.Raw:
        """The map in force in the form of its file, encoded once."""
        if self.map is not None and self._text[0] is not self.map:
            self._text = self.map, msgspec.Raw(msgspec.json.encode(self.map.told()))
        return self._text[1]

    # -- plans
    # -----------------------------------------------------------------------------------------

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        if out := self.moves.expire(now_us):
            self._touch(set(out))
        rows, current = list[Row](), self.moves.map
        if self._touched or current is not self.map:
            row: Row = {
                "number": self.moves.number,
                "holders": [self._holder(token) for token in sorted(self._touched)],
            }
            if current is not None and current is not self.map:
                row["map"] = current.told()
            rows.append(row)
        self._planned, self._flying, self._touched = (
            self._made,
            (self._touched, current),
            set(),
        )
        self._due_us = self.moves.next_us()
        if self.leading is not None:
            rows += self._auto(now_us, frozen, members, self.leading(now_us))
        return rows

    def _auto(
        self, now_us: int, frozen: bool, members: list[Member], leading: bool
    ) -> list[Row]:
        """A map for members who came or went for good, if it is time for one."""
        self.auto.saw({member.name: 1.0 for member in members}, now_us)
        owners = dict.fromkeys(self.moves.map.owners() if self.moves.map else (), 1.0)
        wanted = self.auto.wanted(owners, now_us, leading, frozen)
        due_us = self.auto.next_us(owners)
        if due_us is not None:
            due_us = max(due_us, now_us + AGAIN_US)
            self._due_us = due_us if self._due_us is None else min(self._due_us, due_us)
        if wanted is None:
            return []
        if (
            not owners
        ):  # where nobody has keys yet, who joined just now need not wait either
            wanted = {member.name: 1.0 for member in members}
        try:
            made = plan.plan(wanted, self.moves.map, most_ranges=MOST_RANGES).map
        except BadPlan as error:
            log.error("no map planned", extra={"why": str(error)})
            return []
        return [{"put": made.told(), "why": "planned"}]

    def _holder(self, token: Token) -> dict[str, Any]:
        holder = self.moves.holders.get(token)
        holds = holder.holds if holder else ()
        return {
            "token": token.told(),
            "name": holder.name if holder else "",
            "holds": [
                [hexed(h.first), hexed(h.last), h.token.told(), h.begun] for h in holds
            ],
        }

    def next_us(self) -> int | None:
        return self._due_us

    def commit(self, now_us: int, row: Row) -> None:
        if "put" in row:
            new = checked(row["put"])
            before = self.moves.map
            if before is not None and new.generation <= before.generation:
                # Meanwhile a member showed a later one: this goes above that, and is
                # written as it then is.
                new = ShardMap(before.generation + 1, new.ranges)
                self.moves.put(new)
                self._touch(set())
            else:
                self.moves.put(new)
                self.map = new
            self.auto.planned(now_us)
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
        tokens, current = self._flying
        self._flying, self._kept = (set(), None), self._planned
        if "map" in row:
            self.map = current
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
            self._touched |= self._flying[0]
            self._flying = set(), None

    def concerns(self, row: Row) -> Collection[str] | None:
        """A map concerns all; ranges that were given up, those whose they are to be."""
        if "put" in row or "map" in row:
            return None
        return [owner for owner, spans in self.moves.free.items() if spans]

    def _touch(self, tokens: set[Token]) -> None:
        self._made += 1
        self._touched |= tokens

    def _unkept(self) -> set[Token]:
        return self._touched | self._flying[0]

    # -- what is told of it
    # ----------------------------------------------------------------------------

    def snapshot(self) -> Row:
        return self.moves.told()

    def state(self) -> dict[str, int]:
        return {
            "map_generation": self.map.generation if self.map else 0,
            "map_ranges": len(self.map.ranges) if self.map else 0,
            "map_holders": sum(bool(h.holds) for h in self.moves.holders.values()),
            "map_moving": len(self.moves.moving()) if self.map else 0,
        }
