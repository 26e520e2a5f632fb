"""Budgets and the shard map on the real service that is killed, restored, loses its
folder; and operators.
"""

from __future__ import annotations

import asyncio
import json
import shutil
from pathlib import Path
from typing import Any

import pytest

from rainfall.lease.fencing_token import ZERO_TOKEN
from rainfall.registry import __main__ as command
from rainfall.registry import (
    fleet_coordinator,
    fleet_watch,
    plan_scheduler,
    planner_lease,
)
from rainfall.registry.fleet_watch import Watchers
from rainfall.registry.storage import decode_lines
from rainfall.shard.auto_planner import AutoPlanner, PlanDelays
from rainfall.shard.key_ranges import union
from rainfall.shard.shard_map import Range, ShardMap, format_key
from tests.support.fleet_service_scenes import BUDGET, TOP, Play, Process, World
from tests.support.list_service import until


@pytest.mark.parametrize("seed", [1, 2])
def test_whatever_comes_shares_stay_within_the_whole_and_keys_have_one_owner(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(plan_scheduler, "PLAN_DELAY_S", 0.002)
    monkeypatch.setattr(plan_scheduler, "RETRY_DELAY_S", 0.01)

    async def walk() -> None:
        world = World(tmp_path / "s", seed)
        await world.start()
        await world.run.call("PUT", "/v1/budgets", {"budgets": [BUDGET]})
        await world.run.call("POST", "/v1/budgets/reserves-known")
        for name in ("f1", "f2", "f3"):
            world.add(name)
        await world.calm(25)
        assert (await world.run.call("PUT", "/v1/map", world.raw_map(1, ["f1", "f2"])))[
            0
        ] == 200
        for turn in range(2):
            for _ in range(80):
                await world.step()
            # the folder is lost, and the wall clock as it was: members have seen more
            if turn:
                await world.stop(kill=True)
                shutil.rmtree(tmp_path / "s")
                await world.start()
                world.wholes.append(100)
                await world.run.call("PUT", "/v1/budgets", {"budgets": [BUDGET]})
                seen = max(p.seen.epoch for p in world.all)
                assert world.run.parts.fleet.table.epoch <= seen
                if (
                    max(p.seen.epoch for p in world.here) < seen
                ):  # the operator knows better
                    await world.run.call("POST", "/v1/epoch", {"above": seen})
            await world.calm(38)
            # A lowered whole binds by now. What is safe is also of use: nearly all is
            # had, by who is there.
            del world.wholes[:-1]
            world.check()
            whole = world.wholes[0]
            assert sum(p.most() for p in world.all) >= 0.8 * whole - 20, (
                whole,
                [p.share for p in world.all],
            )
            if turn:
                assert (await world.run.call("GET", "/v1/map"))[0] == 404
                raw = world.raw_map(1, sorted({p.name for p in world.here}))
                assert (await world.run.call("PUT", "/v1/map", raw))[0] == 200
                await world.calm(12)
            acting = union(
                own.key_range
                for p in world.here
                for own in p.owned.held_ranges(p.own())
            )
            assert acting == [(0, TOP)]
        await world.run.service.stop()

    asyncio.run(walk())


def test_budgets_are_taken_whole_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file, known = tmp_path / "b.toml", {"reserves_known": True}
    file.write_text(
        "[[budgets]]\ndestination = '7'\ncalls = 0\nspan_ms = 400\n[[budgets]]\n"
    )
    args = [
        *[
            "--listen",
            "127.0.0.1:0",
            "--write",
            "127.0.0.1:0",
            "--fleet",
            "127.0.0.1:0",
            "--new",
        ],
        "--state",
        str(tmp_path / "s"),
        "--budgets",
        str(file),
    ]
    assert command.main(args) == 2 and not (tmp_path / "s").exists()
    faults = capsys.readouterr().err.splitlines()
    assert [line.split(": ")[2] for line in faults] == [
        f"budgets[{n}].{name}"
        for n, names in enumerate(
            (
                ("calls", "members_max"),
                ("destination", "calls", "span_ms", "members_max"),
            )
        )
        for name in names
    ]
    play = Play(tmp_path / "s", monkeypatch)

    async def test() -> None:
        f1, f2 = await play.up("f1", "f2", budgets=[BUDGET], **known)
        calm = await play.run.call("GET", "/v1/budgets")
        status, answer = await play.put(calls=-1, weights={"a/b": 0}, more=1)
        assert status == 422 and len(answer["faults"]) == 4
        assert (await play.put(match=1))[0] == 412
        play.run.files.failing = True
        assert (await play.put(calls=70))[0] == 507
        play.run.files.failing = False
        assert await play.run.call("GET", "/v1/budgets") == calm
        await play.calm(25, f1=80, f2=20)
        assert (f1.most(), f2.most()) == (70, 20) and f1.share["reserve"] == f2.share[
            "reserve"
        ] == 5
        held = (await play.run.call("GET", "/v1/budgets"))[1]["held"]["7"]
        assert [
            (m["name"], m["calls"], m["acked"], m["left_ms"] > 900)
            for m in held["members"]
        ] == [(p.name, p.most(), p.share["number"], True) for p in (f1, f2)]
        assert (await play.run.call("GET", "/_vars"))[1]["budget"]["7"][
            "set_aside"
        ] == 10
        # A lowered whole binds at the next beat.
        version = calm[1]["version"]
        assert (await play.put(match=version, calls=40))[1] == {
            "version": version + 1,
            "changed": True,
        }
        await asyncio.gather(f1.beat(play.run), f2.beat(play.run))
        assert f1.most() + f2.most() <= 40
        # A plan whose write failed, made by the budgets before, is written before those
        # that come after it.
        await play.calm(8)
        await play.put(calls=100)
        await play.calm(8, f1=10, f2=10)
        play.run.files.failing, f2.need = True, 90
        had = f2.share["number"]
        for _ in range(2):
            await f2.beat(play.run)
            await play.run.settle()
        assert f2.share["number"] == had  # what is not on disk is not told
        number = play.run.parts.budgets.ledger.pending.number
        play.run.files.failing = False
        assert (await play.put(calls=40))[0] == 200
        rows = [
            line["row"]
            for line in decode_lines(
                (tmp_path / "s" / "fleet.log").read_bytes(), "log"
            )[0]
        ]
        at = max(n for n, row in enumerate(rows) if "config" in row)
        assert (
            rows[at]["config"][0]["calls"] == 40 and rows[at - 1]["budgets"] == number
        )
        # Those in force outlive the process. A file counts where it says something new,
        # or at SIGHUP.
        await play.again()
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 40
        await play.world.stop(True)
        await play.up(budgets=[BUDGET])
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 40
        await play.world.stop(True)
        await play.up(budgets=[{**BUDGET, "calls": 90}])
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 90
        await play.put(calls=80)
        await command.reload_budgets(play.run.parts, file)  # faulty
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 80
        file.write_text(json.dumps({"budgets": [{**BUDGET, "calls": 90}]}))
        await command.reload_budgets(play.run.parts, file.rename(tmp_path / "b.json"))
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 90
        # An operator's word frees what a process that never comes back keeps.
        cut = play.world.here.pop(0)
        await play.calm(15)
        assert (
            await play.run.call(
                "POST", "/v1/budgets/ended", {"token": f2.token.to_wire()}
            )
        )[0] == 409
        play.world.all.remove(cut)
        assert (
            await play.run.call(
                "POST", "/v1/budgets/ended", {"token": cut.token.to_wire()}
            )
        )[0] == 200
        await play.calm(6, f2=90)
        assert f2.most() == 75
        # What a beat asks for is in its own answer, where it can be had.
        play.world.add("f3")
        play.world.here[-1].need = 9
        await play.world.here[-1].beat(play.run)
        assert play.world.here[-1].most() == 5
        await play.run.service.stop()

    asyncio.run(test())


@pytest.mark.parametrize("before", [False, True])
def test_a_longer_span_is_waited_for_also_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, before: bool
) -> None:
    play = Play(tmp_path / "s", monkeypatch)

    async def test() -> None:
        f1, f2 = await play.up("f1", "f2", budgets=[BUDGET], reserves_known=True)
        await play.calm(13)
        assert f1.token != ZERO_TOKEN and not f1.share["number"]
        await play.again()  # members who have no share yet are known all the same
        await play.calm(22, f1=200, f2=0)
        assert f1.most() > 50
        play.world.clock.us += 200_000
        f1.need, f2.need = 0, 200
        for process in (f1, f2):
            await process.beat(play.run)
            await play.run.settle()
            play.world.clock.us += 200_000
        await play.again()  # nothing is divided for a lease
        await play.calm(8)
        assert (
            f1.most() < 20
            and play.run.parts.budgets.metrics(play.world.clock.us)["7"]["free"] > 50
        )
        # What f1 gave up has cooled by the short span. The log is written anew, before
        # or after the change.
        if before:
            await play.run.parts.fleet._compact_log()
        await play.put(span_ms=4_000)
        if not before:
            await play.run.parts.fleet._compact_log()
        at, had = play.world.clock.us, f2.most()
        await play.again()
        while play.world.clock.us < at + 3_900_000:
            await play.calm(1, f2=200)
            assert f2.most() == had
        await play.calm(12)
        assert f2.most() > had
        await play.run.service.stop()

    asyncio.run(test())


def test_a_reserve_goes_on_with_its_process_though_the_service_dies_at_each_join(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = Play(tmp_path / "s", monkeypatch)
    monkeypatch.setattr(fleet_coordinator, "PLAN_WAIT_TIMEOUT_S", 0.02)

    async def test() -> None:
        await play.up("f1", budgets=[BUDGET], reserves_known=True)
        await play.calm(25)
        for _ in range(5):
            play.world.add("f1", play.world.here[0])
            monkeypatch.setattr(plan_scheduler, "PLAN_DELAY_S", 5.0)
            assert await play.world.here[0].beat(play.run) == 200
            monkeypatch.setattr(plan_scheduler, "PLAN_DELAY_S", 0.002)
            await play.again()
            await play.calm(12)
            assert play.world.here[0].share["reserve"] == 5
        assert play.run.parts.budgets.metrics(0)["7"]["holders"] == 1
        await play.run.service.stop()

    asyncio.run(test())


@pytest.mark.parametrize("copied", [False, True])
def test_after_a_lost_folder_or_an_older_copy_nobody_new_has_the_reserve_of_who_is_cut_off(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, copied: bool
) -> None:
    play, mark = Play(tmp_path / "s", monkeypatch), tmp_path / "mark"

    async def test() -> None:
        await play.up(
            "f1", "f2", budgets=[BUDGET], reserves_known=True, watermark_path=mark
        )
        await play.calm(25, f1=200, f2=200)
        shutil.copytree(tmp_path / "s", tmp_path / "copy")
        play.world.add("f3")
        play.world.add("f4")
        await play.calm(15, f3=200, f4=200)
        del play.world.here[2:]  # cut off, and they go on by what they have
        await play.world.stop(True)
        shutil.rmtree(tmp_path / "s")
        if copied:
            shutil.copytree(tmp_path / "copy", tmp_path / "s")
        await play.up("f5", "f6", budgets=[BUDGET], watermark_path=mark)
        await play.calm(45, f5=200, f6=200)
        assert [p.share["reserve"] for p in play.world.all] == [5, 5, 5, 5, 0, 0]
        assert sum(p.most() for p in play.world.here) >= 85
        await play.run.service.stop()

    asyncio.run(test())


def test_a_map_is_taken_whole_or_not_at_all_and_a_move_has_one_owner(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = Play(tmp_path / "s", monkeypatch)

    def raw(generation: int, *owners: str) -> dict[str, Any]:
        cuts = [n * (TOP + 1) // len(owners) for n in range(len(owners) + 1)]
        return {
            "generation": generation,
            "ranges": [
                {"from": format_key(a), "to": format_key(b - 1), "owner": owner}
                for a, b, owner in zip(cuts, cuts[1:], owners, strict=False)
            ],
        }

    def has(process: Process) -> list[tuple[int, int]]:
        return union(own.key_range for own in process.owned.held_ranges(process.own()))

    async def test() -> None:
        f1, f2, f3 = await play.up("f1", "f2", "f3")
        await play.calm(14)
        call = play.run.call
        assert (await call("GET", "/v1/map"))[0] == 404 and f1.owned.map is None
        whole = raw(3, "f1", "f2")
        assert (await call("PUT", "/v1/map", whole)) == (
            200,
            {"generation": 3, "changed": True},
        )
        assert (await call("PUT", "/v1/map", whole)) == (
            200,
            {"generation": 3, "changed": False},
        )
        await play.calm(2)
        assert has(f1) == [(0, TOP // 2)] and has(f2) == [(TOP // 2 + 1, TOP)]
        # Refused, each with all its faults: the old one is whole and in force.
        other = raw(3, "f2", "f1")
        other["ranges"][0] |= {"owner": "f9", "to": "7000000000000000"}
        status, answer = await call("PUT", "/v1/map", other)
        assert status == 422 and [f.split()[0] for f in answer["faults"]] == [
            "unknown-owner",
            "gap",
            "stale-generation",
            "moves-too-much",
        ]
        assert [
            f.split()[0]
            for f in (await call("PUT", "/v1/map", raw(3, "f1", "f3")))[1]["faults"]
        ] == ["stale-generation"]
        assert (await call("PUT", "/v1/map", raw(4, "f1", "f3"), match=2))[0] == 412
        status, answer = await call(
            "POST", "/v1/map/move", {"from": "f", "to": "g", "who": 1}
        )
        assert status == 400 and len(answer["faults"]) == 4
        play.run.files.failing = True
        assert (await call("PUT", "/v1/map", raw(4, "f1", "f3")))[0] == 507
        play.run.files.failing = False
        assert (await call("GET", "/v1/map")) == (200, whole)
        # A second map comes while the first is carried out: each key goes from its
        # holder to its last owner.
        top = {"from": format_key(TOP // 2 + 1), "to": format_key(TOP)}
        assert (await call("POST", "/v1/map/move", {**top, "owner": "f1"}))[0] == 200
        await f2.beat(play.run, drain=False)
        await f2.beat(play.run, drain=False)
        await f1.beat(play.run)
        assert has(f2) == [(TOP // 2 + 1, TOP)] and not f2.owned.may_act(TOP, f2.own())
        assert (await call("POST", "/v1/map/move", {**top, "owner": "f3"}))[1][
            "generation"
        ] == 5
        moves = (await call("GET", "/v1/map/moves"))[1]["moving"]
        assert moves == [{**top, "held_by": "f2", "owner": "f3"}]
        await f3.beat(play.run)
        assert not has(f3)
        # Given up and given on at once, and only told once it is on disk.
        play.run.files.failing = True
        for process in (f2, f3, f2, f3):
            assert await process.beat(play.run) == 507 and not has(process)
            await play.run.settle()
        play.run.files.failing = False
        await play.run.settle()
        await play.calm(2)
        assert (has(f1), has(f2), has(f3)) == (
            [(0, TOP // 2)],
            [],
            [(TOP // 2 + 1, TOP)],
        )
        # A member with another map of this generation is given nothing; the map goes
        # above both.
        f1.owned.apply_map(
            ShardMap(
                5, tuple(Range(r.first, r.last, "f1") for r in f1.owned.map.ranges)
            )
        )
        f1.owned.on_lease_lost()
        f1.token, f1.shown = ZERO_TOKEN, f1.token
        await play.calm(3)
        assert (await call("GET", "/v1/map"))[1]["generation"] == 6 and has(f1) == [
            (0, TOP // 2)
        ]
        body = f1.body()
        beat = ("POST", "/v1/fleet/beat")
        assert (await call(*beat, {**body, "sent": 1}, port=play.run.fleet))[1][
            "error"
        ] == "late"
        status, answer = await call(
            *beat,
            {
                **body,
                "map": 1 << 40,
                "digest": 3,
                "gave": ["1"],
                "needs": 3,
                "holds": {"7": [1]},
            },
            port=play.run.fleet,
        )
        assert status == 400 and [f.partition(":")[0] for f in answer["faults"]] == [
            "map",
            "gave[0]",
            "needs",
            "holds.7",
        ]
        # Revoked: nobody acts on its keys until its lease is surely out.
        assert (await call("POST", "/v1/leases/member/f3/revoke", {}))[0] == 200
        play.world.here.remove(f3)
        assert (await call("POST", "/v1/map/move", {**top, "owner": "f2"}))[0] == 200
        await play.calm(9)
        assert not has(f2) and has(f3)
        await play.calm(4)
        assert has(f2) == [(TOP // 2 + 1, TOP)]
        # Two processes of one name: while the one's beat waits for the disk, the other
        # takes its place.
        body = {**f2.body(), "seen": [f2.token.epoch + 3, 0]}
        play.run.files.free.clear()
        waits = [
            asyncio.ensure_future(
                call(
                    "POST",
                    "/v1/leases/x/acquire",
                    {"holder": "x", "ttl_ms": 500},
                    port=play.run.fleet,
                )
            )
        ]  # so that both are written in one round
        for more in ({}, {"token": None, "shown": f2.token.to_wire(), "run": "other"}):
            await asyncio.sleep(0.02)
            waits.append(
                asyncio.ensure_future(
                    call(*beat, {**body, **more}, port=play.run.fleet)
                )
            )
        await asyncio.sleep(0.02)
        play.run.files.free.set()
        _, (status, answer), (after, _) = await asyncio.gather(*waits)
        assert (status, answer.get("error"), after) == (409, "lost", 200)
        await play.run.service.stop()

    asyncio.run(test())


def test_the_holder_of_shard_planner_plans_by_itself(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = Play(tmp_path / "s", monkeypatch)
    auto = AutoPlanner(
        PlanDelays(
            leave_delay_us=500_000, join_delay_us=800_000, plan_interval_us=1_000_000
        )
    )

    async def test() -> None:
        monkeypatch.setattr(planner_lease, "RETRY_AFTER_LEASES", 4)
        await play.up("f1", "f2", plan_shards=True, auto_planner=auto)
        table = play.run.parts.fleet.table
        await play.calm(12)
        assert table.read("shard-planner").holder.startswith("list service")
        # The operator takes it away and keeps it for a while.
        await play.run.call("POST", "/v1/leases/shard-planner/revoke", {})

        async def lease(how: str, **body: Any) -> tuple[int, Any]:
            return await play.run.call(
                "POST", f"/v1/leases/shard-planner/{how}", body, port=play.run.fleet
            )

        while (await lease("acquire", holder="op", ttl_ms=1000))[0] != 200:
            await play.calm(1)
        token = table.read("shard-planner").token.to_wire()
        for _ in range(15):
            await play.calm(1)
            assert (await lease("renew", token=token))[0] == 200
        assert play.run.parts.maps.stored_map is None
        await lease("release", token=token)
        while play.world.clock.us < play.run.parts.planner.retry_at_us - 200_000:
            await play.calm(1)
        play.world.add(
            "f3"
        )  # asked for again, the lease lets the service divide among all
        await play.calm(5)
        maps = play.run.parts.maps
        assert maps.stored_map.generation == 1 and maps.stored_map.owners() == {
            "f1",
            "f2",
            "f3",
        }
        del play.world.here[1:]
        await play.calm(18)
        assert (
            maps.stored_map.generation == 1
        )  # many lost at once: all stays for a lease
        await play.calm(8)
        assert maps.stored_map.generation == 2 and maps.stored_map.owners() == {"f1"}
        await play.run.service.stop()

    asyncio.run(test())


def test_a_change_wakes_whom_it_concerns_and_all_only_a_few_at_a_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = Play(tmp_path / "s", monkeypatch)

    async def test() -> None:
        await play.up("f1", "f2", budgets=[BUDGET], reserves_known=True)
        await play.calm(25, f1=10, f2=10)
        version, held = play.run.parts.fleet.version, []
        for name in ("f1", "f2", ""):
            path = f"/v1/fleet/watch?from={version}&hold_ms=9000&name={name}"
            held.append(
                asyncio.ensure_future(play.run.call("GET", path, port=play.run.fleet))
            )
        await until(lambda: play.run.service.metrics.watches_held == 3)
        f1 = play.world.here[0]
        f1.need = (
            f1.most() + 3
        )  # lent from the loose rest, so that nobody else's share changes
        await f1.beat(play.run)
        await play.run.settle()
        done, _ = await asyncio.wait([held[0], held[2]], timeout=5)
        assert (
            len(done) == 2
            and not held[1].done()
            and play.run.parts.fleet.version > version
        )
        await play.run.call("PUT", "/v1/map", play.world.raw_map(1, ["f1"]))
        assert (await asyncio.wait_for(held[1], 5))[0] == 200
        watchers = Watchers()
        monkeypatch.setattr(fleet_watch, "WAKE_BATCH_SIZE", 2)
        several = [watchers.add(f"f{n}") for n in range(6)]
        watchers.notify(None)
        watchers.notify({"f5"})
        assert [f.done() for f in several] == [True, True, False, False, False, False]
        await until(lambda: any(f.done() for f in several[2:]))
        assert [f.done() for f in several] == [True, True, True, False, False, True]
        assert (
            watchers.is_behind(1, "f5")
            and not watchers.is_behind(1, "f4")
            and watchers.is_behind(0, "f4")
        )
        await until(lambda: all(f.done() for f in several))
        await play.run.service.stop()

    asyncio.run(test())
