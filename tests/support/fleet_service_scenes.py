"""Members, an operator and a clock for tests of budgets and the shard map on the real
service. Members lose answers, are partitioned, die and restart. The calls and key ranges
permitted at any moment are computed here independently, from received answers and the clocks.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from pathlib import Path
from typing import Any

import pytest

from rainfall.budget.types import reuse_window_us
from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import LeaseSettings
from rainfall.registry import plan_scheduler
from rainfall.registry.fleet_services import start_fleet_services
from rainfall.registry.limits import Limits
from rainfall.shard.migration import RangeHold
from rainfall.shard.ownership import RangeOwnership
from rainfall.shard.shard_map import format_key, format_range, parse_range
from tests.support.list_service import Clock, RunningService, read_response

TTL, DRIFT, SPAN, SLACK = 1_000_000, 0.02, 400_000, 5_000
TOP = (1 << 64) - 1
RUNS = itertools.count()
BUDGET = {
    "destination": "7",
    "calls": 100,
    "span_ms": SPAN // 1_000,
    "reserve": 5,
    "members_max": 4,
    "pause_ms": 100,
}


class FleetServiceRun(RunningService):
    """A list service with all its fleet services on a manual clock."""

    async def up(self, **more: Any) -> FleetServiceRun:
        if not self.had:
            await self.service.begin_history()
        self.parts = await start_fleet_services(
            self.service, LeaseSettings(DRIFT, 1_000, TTL), TTL, **more
        )
        self.write = await self.parts.listen_write("127.0.0.1", 0)
        self.fleet = await self.parts.listen_fleet("127.0.0.1", 0)
        return self

    async def call(
        self, method: str, path: str, body: Any = None, match: Any = "", port: int = 0
    ) -> tuple[int, Any]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.write)
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: r\r\nIf-Match: {match}\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        try:
            status, _, answer = await read_response(reader)
        finally:
            writer.close()
        return status, answer

    async def settle(self) -> None:
        """Waits until everything that is due is planned and written."""
        for _ in range(2):
            self.parts.fleet.plan_scheduler.schedule_soon(0)
            await asyncio.wait(
                {self.parts.fleet.plan_scheduler.next_plan_written()}, timeout=0.6
            )


class Process:
    """A member that behaves as documented and uses all permitted calls and all its key ranges.

    `rate` is the speed of its clock relative to the service's.
    """

    def __init__(
        self, name: str, rate: float, clock: Clock, before: Process | None = None
    ) -> None:
        self.name, self.rate, self.clock = name, rate, clock
        self.run = f"{name}-{next(RUNS)}"
        self.token, self.shown = ZERO_TOKEN, before.known() if before else ZERO_TOKEN
        self.seen: Token = (
            before.seen if before else ZERO_TOKEN
        )  # stored in its state folder
        self.share: dict[str, Any] = {
            "calls": 0,
            "number": 0,
            "reserve": before.share["reserve"] if before else 0,
        }
        self.until = 0
        self.idle = self.own() + reuse_window_us(
            SPAN, SLACK, DRIFT
        )  # calls sent before the start are not known
        self.sent: list[tuple[int, int, int]] = []
        self.owned = RangeOwnership(name)
        self.need = 0

    def own(self) -> int:
        return int(self.clock.us * self.rate)

    def known(self) -> Token:
        return self.token if self.token != ZERO_TOKEN else self.shown

    def most(self) -> int:
        """Returns the calls per span that it may make now, or could make if it were running."""
        return int(
            self.share["calls"] if self.own() < self.until else self.share["reserve"]
        )

    def send(self) -> None:
        now, span = self.own(), reuse_window_us(SPAN, SLACK, DRIFT)
        count = self.most() - sum(n for _, at, n in self.sent if at > now - span)
        if now >= self.idle and count > 0:
            self.sent.append((self.clock.us, now, count))

    def body(self) -> dict[str, Any]:
        report = self.owned.next_report()
        is_join = self.token == ZERO_TOKEN
        return {
            "name": self.name,
            "site": "a",
            "dial": "h:1",
            "run": self.run,
            "sent": report.sent,
            "token": None if is_join else self.token.to_wire(),
            "seen": self.seen.to_wire(),
            **(
                {"shown": self.shown.to_wire(), "keeps": {"7": self.share["reserve"]}}
                if is_join and self.shown != ZERO_TOKEN
                else {}
            ),
            "needs": {"7": self.need},
            "map": report.generation,
            "digest": format_key(report.digest),
            "gave": [format_range(*span) for span in report.given_up],
            "holds": {"7": [self.share["calls"], self.share["number"]]}
            if self.share["number"]
            else {},
        }

    async def beat(
        self, run: FleetServiceRun, lost: bool = False, drain: bool = True
    ) -> int:
        if drain:
            self.owned.mark_drained(self.owned.frozen_ranges())
        asked, body = self.own(), self.body()
        status, answer = await run.call("POST", "/v1/fleet/beat", body, port=run.fleet)
        if not lost:
            self.heard(status, answer, asked, body["sent"])
        return status

    def heard(self, status: int, answer: Any, asked: int, sent: int) -> None:
        if status == 409 and answer["error"] == "lost" and self.token != ZERO_TOKEN:
            self.shown, self.token, self.until = self.token, ZERO_TOKEN, 0
            self.share = {**self.share, "number": 0}
            self.owned.on_lease_lost()
        assert status in (200, 507) or (
            status == 409 and answer["error"] in ("lost", "held")
        ), answer
        if status != 200:
            return
        token, valid_until_us = (
            Token.from_wire(answer["token"]),
            asked + int(answer["ttl_ms"] * 1_000 * (1 - DRIFT)),
        )
        if token != self.token:
            self.token = token
            self.run += "+"
            self.owned.on_joined(token, valid_until_us)
        self.seen = max(
            self.seen,
            token,
            Token(answer["list"][0], 0),
            *(Token.from_wire(range_["token"]) for range_ in answer["ranges"]),
        )
        if "7" in answer["shares"]:
            assert answer["shares"]["7"]["number"] >= self.share["number"]
            self.share, self.until = answer["shares"]["7"], valid_until_us
        if "shards" in answer:
            assert not self.owned.adopt_map(answer["shards"])
        self.owned.apply_answer(
            token,
            sent,
            answer["map"],
            [
                RangeHold(
                    *parse_range(range_["keys"]),
                    Token.from_wire(range_["token"]),
                    range_["begun"],
                )
                for range_ in answer["ranges"]
            ],
            valid_until_us,
        )


class World:
    """Processes and a service driven by a seed; the invariants are checked at every step."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.rng, self.folder, self.clock = random.Random(seed), folder, Clock()
        self.totals = [100]  # budgets whose grants may still be in use
        self.all: list[
            Process
        ] = []  # processes that may be running, partitioned or not
        self.here: list[Process] = []  # processes that send heartbeats
        self.gone: list[
            tuple[int, int, int]
        ] = []  # calls sent by processes that have ended
        self.fence: set[tuple[int, int, Token]] = (
            set()
        )  # tokens seen by a resource that is fenced by key range

    async def start(self) -> None:
        self.run = await FleetServiceRun(self.folder, Limits(), self.clock).up()

    async def stop(self, kill: bool) -> None:
        self.run.files.failing = kill  # pending writes then fail
        await self.run.service.stop()

    def add(self, name: str, before: Process | None = None) -> None:
        process = Process(name, self.rng.choice((0.991, 1.009)), self.clock, before)
        if before is not None:
            self.all.remove(before)
            self.gone += before.sent
        self.all.append(process)
        self.here = [p for p in self.here if p is not before] + [process]

    def check(self) -> None:
        now = self.clock.us
        for process in self.all:
            process.send()
        reserve_holders = sum(member.share["reserve"] > 0 for member in self.all)
        permitted = (
            sum(member.most() for member in self.all) + max(0, 4 - reserve_holders) * 5
        )
        assert permitted <= max(self.totals), (now, permitted)
        sent_calls = [
            *self.gone,
            *(sent_call for member in self.all for sent_call in member.sent),
        ]
        assert sum(index for at, _, index in sent_calls if at > now - SPAN) <= max(
            self.totals
        ), now
        acting = [
            (*owned.key_range, owned.hold.token)
            for member in self.all
            for owned in member.owned.held_ranges(member.own())
        ]
        assert not any(
            a <= last and first <= b
            for index, (a, b, _) in enumerate(acting)
            for first, last, _ in acting[:index]
        ), (now, acting)
        assert not any(
            a <= last and first <= b and token < other
            for a, b, token in acting
            for first, last, other in self.fence
        ), (now, acting)
        self.fence.update(acting)

    def raw_map(self, generation: int, owners: list[str]) -> dict[str, Any]:
        cuts = [0, *sorted(self.rng.randrange(1, TOP) for _ in owners[1:])]
        return {
            "generation": generation,
            "ranges": [
                {"from": format_key(first), "to": format_key(last - 1), "owner": owner}
                for first, last, owner in zip(
                    cuts, [*cuts[1:], TOP + 1], owners, strict=True
                )
            ],
        }

    async def operate(self) -> None:
        if self.rng.random() < 0.2:
            calls = self.rng.choice((80, 100))
            status, _ = await self.run.call(
                "PUT", "/v1/budgets", {"budgets": [{**BUDGET, "calls": calls}]}
            )
            if status == 200:
                self.totals.append(calls)
        else:
            first = self.rng.randrange(16) << 60
            status, answer = await self.run.call(
                "POST",
                "/v1/map/move",
                {
                    "from": format_key(first),
                    "to": format_key(
                        min(first + (self.rng.randrange(1, 5) << 60), TOP)
                    ),
                    "owner": self.rng.choice(self.here).name,
                },
            )
            assert status in (200, 404, 507) or {
                fault.split()[0] for fault in answer["faults"]
            } <= {"moves-too-much", "unknown-owner"}, answer

    async def step(self) -> None:
        rng, run = self.rng, self.run
        self.clock.us += rng.choice((0, 20_000, 80_000, 150_000))
        self.check()
        draw = rng.random()
        if draw < 0.04:
            self.add(
                (restarted := rng.choice(self.here)).name, restarted
            )  # restarted with its state folder
        elif draw < 0.07 and len(self.here) > 2:
            partitioned = self.here.pop(
                rng.randrange(len(self.here))
            )  # partitioned; continues with the quota and ranges it holds
            self.add(
                partitioned.name
            )  # another process of the same name starts without the state folder
        elif draw < 0.17:
            await self.operate()
        elif draw < 0.21:
            run.files.failing = True
        elif draw < 0.24 or (run.files.failing and draw < 0.5):
            if run.files.failing and draw < 0.37:
                run.files.failing = False
            else:
                await self.stop(kill=rng.random() < 0.7)
                await self.start()
        else:
            for process in rng.sample(self.here, rng.randrange(1, len(self.here) + 1)):
                process.need = (
                    rng.choice((0, 5, 40, 200)) if rng.random() < 0.3 else process.need
                )
                await process.beat(
                    run, lost=rng.random() < 0.1, drain=rng.random() < 0.8
                )
                self.check()
        await self.run.settle()

    async def calm(self, steps: int) -> None:
        """Runs steps without faults in which every connected process demands more than the budget."""
        self.run.files.failing = False
        for _ in range(steps):
            self.clock.us += 100_000
            self.check()
            for process in self.here:
                process.need = 200
                await process.beat(self.run)
                self.check()
            await self.run.settle()


class FleetScenario:
    """A service and processes driven by a test, with short planning delays."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(plan_scheduler, "PLAN_DELAY_S", 0.002)
        monkeypatch.setattr(plan_scheduler, "RETRY_DELAY_S", 0.02)
        self.world = World(folder, 0)

    async def up(self, *names: str, **more: Any) -> list[Process]:
        world = self.world
        self.run = world.run = await FleetServiceRun(
            world.folder, Limits(), world.clock
        ).up(**more)
        for name in names:
            world.add(name)
        return world.here

    async def calm(self, steps: int = 15, **needs: int) -> None:
        """Advances by `steps` tenths of a second, with one heartbeat of each process in each."""
        for _ in range(steps):
            self.world.clock.us += 100_000
            for process in self.world.here:
                process.need = needs.get(process.name, process.need)
                await process.beat(self.run)
            self.world.check()
            if self.run.parts.planner is not None:
                await self.run.parts.planner.renew(self.run.parts.fleet)
            await self.run.settle()

    async def again(self, kill: bool = True) -> None:
        await self.world.stop(kill)
        await self.up()

    async def put(self, match: Any = "", **more: Any) -> tuple[int, Any]:
        return await self.run.call(
            "PUT", "/v1/budgets", {"budgets": [{**BUDGET, **more}]}, match
        )
