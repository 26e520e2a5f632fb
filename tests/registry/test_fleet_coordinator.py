"""The fleet's shell on a clock by hand: nothing told before it is on disk, riders, old
copies, operators.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from rainfall.registry import fleet_coordinator, fleet_log, plan_scheduler
from rainfall.registry.storage import RecordLog
from tests.support.list_service import (
    TTL_US,
    Clock,
    Run,
    acquire,
    beat,
    lead,
    play,
    until,
)


class Tally:
    """A rider: the highest `calls` that each member in force asked for, once it is on
    disk.
    """

    name = "tally"

    def __init__(self) -> None:
        self.asked, self.held, self.heard = (
            dict[str, int](),
            dict[str, int](),
            list[tuple[str, Any]](),
        )
        self.flying = 0  # rows of a plan that are not on disk yet

    def restore(self, now_us: int, sure: bool, snapshot: Any, rows: list[Any]) -> None:
        self.heard.append(("restored", sure))
        self.held.update(snapshot or {})
        for row in rows:
            self.held[row["name"]] = row["calls"]

    def find_faults(self, beat: Any) -> list[str]:
        return (
            [] if isinstance(beat.get("calls", 0), int) else ["calls: a whole number"]
        )

    def on_heartbeat(self, now_us: int, name: str, token: Any, beat: Any) -> bool:
        self.asked[name] = beat.get("calls", 0)
        return True

    def answer_fields(self, now_us: int, name: str, token: Any) -> dict[str, Any]:
        return {"tally": self.held.get(name, 0)}

    def __getattr__(self, kind: str) -> Any:  # joined, expired, ended
        return lambda now_us, *more: self.heard.append((kind, *more))

    def plan(self, now_us: int, frozen: bool, members: Any) -> list[Any]:
        if self.flying:
            self.heard.append(("planned twice", None))
        names = [m.name for m in members]
        rows = [
            {"name": n, "calls": c}
            for n, c in self.asked.items()
            if c > self.held.get(n, 0) and n in names
        ]
        self.flying = len(rows)
        return rows

    def commit(self, now_us: int, row: Any) -> None:
        self.held[row["name"]] = row["calls"]
        self.flying = max(self.flying - 1, 0)

    def abandon(self, row: Any) -> None:
        self.heard.append(("abandoned", row["calls"]))
        self.asked.clear()
        self.flying = max(self.flying - 1, 0)

    def next_us(self) -> int | None:
        return None

    def snapshot(self) -> Any:
        return dict(self.held)


def test_riders_are_told_only_what_is_on_disk_and_hear_of_every_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tally, clock, tokens = Tally(), Clock(), list[Any]()

    async def first(run: Run) -> None:
        assert (await beat(run, "f1"))[0] == 409  # nobody knows what went before
        clock.us += 2 * TTL_US
        status, told = await beat(run, "f1", calls=5)
        assert status == 200 and told["tally"] == 0  # planned, and not on disk yet
        tokens.append(told["token"])
        await until(lambda: tally.held == {"f1": 5})
        status, told = await beat(run, "f1", tokens[0], calls=7, list=told["list"])
        assert told["tally"] == 5 and told["members"] == [] and not told["whole"]
        run.files.failing = True
        await until(lambda: ("abandoned", 7) in tally.heard)
        assert (await beat(run, "f1", tokens[0]))[1]["tally"] == 5
        run.files.failing = False
        run.files.free.clear()
        for calls in (8, 9):  # the second while the first one's plan is being written
            await beat(run, "f1", tokens[0], calls=calls)
            await until(lambda: tally.flying == 1)
            await asyncio.sleep(2 * plan_scheduler.PLAN_DELAY_S)
        decided = asyncio.ensure_future(
            run.service.fleet.apply_rows(
                "tally", lambda _: [] if tally.flying else [{"name": "x", "calls": 1}]
            )
        )
        await asyncio.sleep(0.01)
        run.files.free.set()
        await decided
        await until(lambda: tally.held == {"f1": 9, "x": 1})
        assert ("planned twice", None) not in tally.heard
        status, told = await beat(run, "f1", [1, 2, 3], sent=-1, seen="no", calls="x")
        assert status == 400 and [f.partition(":")[0] for f in told["faults"]] == [
            "token",
            "sent",
            "seen",
            "calls",
        ]
        tokens.append((await beat(run, "f1", shown=tokens[0]))[1]["token"])
        assert (await beat(run, "f1", tokens[1], leave=True))[1]["state"] == "left"
        tokens.append((await beat(run, "f1"))[1]["token"])
        version = run.service.fleet.version
        clock.us += 2 * TTL_US
        while (
            await run.ask(
                f"/v1/fleet/watch?from={version}&hold_ms=9000", port=run.fleet
            )
        )[2] == {"version": version}:
            pass
        await until(
            lambda: ("lease_expired", _of(tokens[2])) in tally.heard
        )  # woken as it was suspect already
        status, told = await beat(run, "f1", tokens[2])
        assert status == 409 and told["error"] == "lost"
        monkeypatch.setattr(fleet_log, "COMPACT_AFTER_LINES", 1)
        clock.us += 2 * TTL_US
        assert (await beat(run, "f2"))[0] == 200  # and the log is written anew
        await until(lambda: run.service.fleet.fleet_log.record_log.row_count == 2)

    play(tmp_path, first, clock, lead(tally))
    one, two, three = map(_of, tokens)
    assert [
        h
        for h in tally.heard
        if h[0] in ("member_joined", "member_ended", "lease_expired")
    ][:5] == [
        ("member_joined", "f1", one, None),
        ("member_joined", "f1", two, one),
        ("member_ended", two),
        ("member_joined", "f1", three, None),
        ("lease_expired", three),
    ]
    again = Tally()

    async def second(run: Run) -> None:
        assert again.heard == [("restored", True)] and again.held == {"f1": 9, "x": 1}
        assert [m["name"] for m in (await run.ask("/v1/fleet"))[2]["members"]] == ["f2"]

    play(tmp_path, second, clock, lead(again))


def _of(pair: list[int]) -> Any:
    return fleet_coordinator.Token(*pair)


def test_a_grant_that_is_not_kept_is_not_told_and_ends_are_tried_again(
    tmp_path: Path,
) -> None:
    clock = Clock()

    async def test(run: Run) -> None:
        clock.us += 2 * TTL_US
        before = (await acquire(run, "a"))[1]["token"]
        run.files.failing = True
        assert (await acquire(run, "b"))[0] == 507
        assert (await run.ask("/v1/leases/b"))[0] == 404
        clock.us += TTL_US  # the lease on a is out, and its end cannot be written
        await until(lambda: run.service.metrics.write_failures >= 2)
        run.files.failing = False
        await until(lambda: run.service.fleet.table.read("a") is None)
        status, told = await acquire(run, "b")
        assert status == 200 and told["token"] > before
        # Members are joined by beats alone; an operator raises the fence, and revokes.
        assert (await acquire(run, "member/f1"))[0] == 403
        above = told["token"][0] + 10
        assert (await run.ask("/v1/epoch", {"above": above}))[2]["fence"] == above + 1
        token = (await acquire(run, "c/d"))[1]["token"]
        assert token[0] == above + 1
        assert (await run.ask("/v1/leases/c/d/revoke", {}))[0] == 200
        assert (await run.ask("/v1/leases/c/d/renew", {"token": token}, run.fleet))[
            0
        ] == 409

    play(tmp_path, test, clock, lead())


def test_an_older_copy_is_known_by_the_mark_outside_of_it(tmp_path: Path) -> None:
    clock, log, mark, top = (
        Clock(),
        tmp_path / "s" / "fleet.log",
        tmp_path / "mark",
        [0, 0],
    )

    async def grants(run: Run) -> None:
        clock.us += 2 * TTL_US
        status, told = await acquire(run, "a")
        nonlocal top
        assert status == 200 and told["token"] > top
        top = told["token"]

    async def held(run: Run) -> None:
        status, told = await acquire(run, "b")
        assert status == 409 and told["error"] == "held"

    play(tmp_path / "s", grants, clock, lead(mark=mark))
    copy = log.read_bytes()
    play(tmp_path / "s", grants, clock, lead(mark=mark))
    at_once = RecordLog(log)
    count = len(at_once.load())
    log.write_bytes(copy)
    play(tmp_path / "s", held, clock, lead(mark=mark))
    assert len(RecordLog(log).load()) < count  # it was the copy that it started on
    play(
        tmp_path / "s", grants, clock, lead(mark=mark)
    )  # above all before, though the copy never knew them
