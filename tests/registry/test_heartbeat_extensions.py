"""Budgets and the shard map on a real service, through kills, restores and lost state.

Also covers the operators' calls for both.
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
from tests.support.fleet_service_scenes import (
    BUDGET,
    TOP,
    FleetScenario,
    Process,
    World,
)
from tests.support.list_service import until


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_keep_shares_within_the_total_and_one_owner_for_each_key(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(plan_scheduler, "PLAN_DELAY_S", 0.002)
    monkeypatch.setattr(plan_scheduler, "RETRY_DELAY_S", 0.01)

    async def run_schedule() -> None:
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
        for phase in range(2):
            for _ in range(80):
                await world.step()
            # the folder is lost and the wall clock has not advanced: members have seen a
            # higher epoch
            if phase:
                await world.stop(kill=True)
                shutil.rmtree(tmp_path / "s")
                await world.start()
                world.totals.append(100)
                await world.run.call("PUT", "/v1/budgets", {"budgets": [BUDGET]})
                seen = max(process.seen.epoch for process in world.all)
                assert world.run.parts.fleet.table.epoch <= seen
                if (
                    max(process.seen.epoch for process in world.here) < seen
                ):  # the operator raises the fence for the members that are cut off
                    await world.run.call("POST", "/v1/epoch", {"above": seen})
            await world.calm(38)
            # A lowered total is in effect by now. Safety must not cost utilisation: the
            # connected members have nearly all of it.
            del world.totals[:-1]
            world.check()
            total = world.totals[0]
            assert sum(process.most() for process in world.all) >= 0.8 * total - 20, (
                total,
                [process.share for process in world.all],
            )
            if phase:
                assert (await world.run.call("GET", "/v1/map"))[0] == 404
                raw = world.raw_map(1, sorted({process.name for process in world.here}))
                assert (await world.run.call("PUT", "/v1/map", raw))[0] == 200
                await world.calm(12)
            acting = union(
                own.key_range
                for process in world.here
                for own in process.owned.held_ranges(process.own())
            )
            assert acting == [(0, TOP)]
        await world.run.service.stop()

    asyncio.run(run_schedule())


def test_a_budget_change_is_applied_completely_or_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    file, options = tmp_path / "b.toml", {"reserves_known": True}
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
    play = FleetScenario(tmp_path / "s", monkeypatch)

    async def test() -> None:
        f1, f2 = await play.up("f1", "f2", budgets=[BUDGET], **options)
        before = await play.run.call("GET", "/v1/budgets")
        status, answer = await play.put(calls=-1, weights={"a/b": 0}, more=1)
        assert status == 422 and len(answer["faults"]) == 4
        assert (await play.put(match=1))[0] == 412
        play.run.files.failing = True
        assert (await play.put(calls=70))[0] == 507
        play.run.files.failing = False
        assert await play.run.call("GET", "/v1/budgets") == before
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
        # A lowered total is in effect from the next heartbeat.
        version = before[1]["version"]
        assert (await play.put(match=version, calls=40))[1] == {
            "version": version + 1,
            "changed": True,
        }
        await asyncio.gather(f1.beat(play.run), f2.beat(play.run))
        assert f1.most() + f2.most() <= 40
        # A plan for the previous budgets whose write failed is written before the new
        # budgets.
        await play.calm(8)
        await play.put(calls=100)
        await play.calm(8, f1=10, f2=10)
        play.run.files.failing, f2.need = True, 90
        old_number = f2.share["number"]
        for _ in range(2):
            await f2.beat(play.run)
            await play.run.settle()
        assert (
            f2.share["number"] == old_number
        )  # a share that is not stored is not sent
        number = play.run.parts.budgets.ledger.pending.number
        play.run.files.failing = False
        assert (await play.put(calls=40))[0] == 200
        rows = [
            line["row"]
            for line in decode_lines(
                (tmp_path / "s" / "fleet.log").read_bytes(), "log"
            )[0]
        ]
        index = max(n for n, row in enumerate(rows) if "config" in row)
        assert (
            rows[index]["config"][0]["calls"] == 40
            and rows[index - 1]["budgets"] == number
        )
        # Budgets in force survive a restart. A file is applied at the start if it has
        # changed since it was last applied, and at SIGHUP.
        await play.again()
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 40
        await play.world.stop(True)
        await play.up(budgets=[BUDGET])
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 40
        await play.world.stop(True)
        await play.up(budgets=[{**BUDGET, "calls": 90}])
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 90
        await play.put(calls=80)
        await command.reload_budgets(play.run.parts, file)  # has faults
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 80
        file.write_text(json.dumps({"budgets": [{**BUDGET, "calls": 90}]}))
        await command.reload_budgets(play.run.parts, file.rename(tmp_path / "b.json"))
        assert play.run.parts.budgets.raw_budgets[0]["calls"] == 90
        # An operator's confirmation frees the share of a process that has ended.
        ended = play.world.here.pop(0)
        await play.calm(15)
        assert (
            await play.run.call(
                "POST", "/v1/budgets/ended", {"token": f2.token.to_wire()}
            )
        )[0] == 409
        play.world.all.remove(ended)
        assert (
            await play.run.call(
                "POST", "/v1/budgets/ended", {"token": ended.token.to_wire()}
            )
        )[0] == 200
        await play.calm(6, f2=90)
        assert f2.most() == 75
        # A heartbeat's own answer has the calls it needs, if they are available.
        play.world.add("f3")
        play.world.here[-1].need = 9
        await play.world.here[-1].beat(play.run)
        assert play.world.here[-1].most() == 5
        await play.run.service.stop()

    asyncio.run(test())


@pytest.mark.parametrize("before", [False, True])
def test_a_longer_window_is_waited_for_also_after_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, before: bool
) -> None:
    play = FleetScenario(tmp_path / "s", monkeypatch)

    async def test() -> None:
        f1, f2 = await play.up("f1", "f2", budgets=[BUDGET], reserves_known=True)
        await play.calm(13)
        assert f1.token != ZERO_TOKEN and not f1.share["number"]
        await play.again()  # members without a share are restored too
        await play.calm(22, f1=200, f2=0)
        assert f1.most() > 50
        play.world.clock.us += 200_000
        f1.need, f2.need = 0, 200
        for process in (f1, f2):
            await process.beat(play.run)
            await play.run.settle()
            play.world.clock.us += 200_000
        await play.again()  # shares are frozen for a lease after the start
        await play.calm(8)
        assert (
            f1.most() < 20
            and play.run.parts.budgets.metrics(play.world.clock.us)["7"]["free"] > 50
        )
        # The calls that f1 gave up have cooled for the short window. The log is compacted
        # before or after the change.
        if before:
            await play.run.parts.fleet._compact_log()
        await play.put(span_ms=4_000)
        if not before:
            await play.run.parts.fleet._compact_log()
        changed_at, old_calls = play.world.clock.us, f2.most()
        await play.again()
        while play.world.clock.us < changed_at + 3_900_000:
            await play.calm(1, f2=200)
            assert f2.most() == old_calls
        await play.calm(12)
        assert f2.most() > old_calls
        await play.run.service.stop()

    asyncio.run(test())


def test_a_process_keeps_its_reserve_although_the_service_restarts_at_each_join(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = FleetScenario(tmp_path / "s", monkeypatch)
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
def test_after_a_lost_folder_or_an_older_copy_reserves_of_cut_off_members_are_not_reused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, copied: bool
) -> None:
    play, watermark_path = FleetScenario(tmp_path / "s", monkeypatch), tmp_path / "mark"

    async def test() -> None:
        await play.up(
            "f1",
            "f2",
            budgets=[BUDGET],
            reserves_known=True,
            watermark_path=watermark_path,
        )
        await play.calm(25, f1=200, f2=200)
        shutil.copytree(tmp_path / "s", tmp_path / "copy")
        play.world.add("f3")
        play.world.add("f4")
        await play.calm(15, f3=200, f4=200)
        del play.world.here[
            2:
        ]  # cut off from the service; they keep using their shares
        await play.world.stop(True)
        shutil.rmtree(tmp_path / "s")
        if copied:
            shutil.copytree(tmp_path / "copy", tmp_path / "s")
        await play.up("f5", "f6", budgets=[BUDGET], watermark_path=watermark_path)
        await play.calm(45, f5=200, f6=200)
        assert [p.share["reserve"] for p in play.world.all] == [5, 5, 5, 5, 0, 0]
        assert sum(p.most() for p in play.world.here) >= 85
        await play.run.service.stop()

    asyncio.run(test())


def test_a_map_is_applied_completely_or_rejected_and_moved_keys_have_one_owner(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = FleetScenario(tmp_path / "s", monkeypatch)

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
        # Rejected maps get all their faults, and the old map stays in force.
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
        # A second map is put in force during the migration to the first: each key moves
        # from its holder directly to its last owner.
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
        # A range is released and granted in one step, and sent only once that is stored.
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
        # A member with a different map of the same generation is granted nothing; the
        # map gets a higher generation than both.
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
        # After a revoke the keys are not granted until the lease must have expired.
        assert (await call("POST", "/v1/leases/member/f3/revoke", {}))[0] == 200
        play.world.here.remove(f3)
        assert (await call("POST", "/v1/map/move", {**top, "owner": "f2"}))[0] == 200
        await play.calm(9)
        assert not has(f2) and has(f3)
        await play.calm(4)
        assert has(f2) == [(TOP // 2 + 1, TOP)]
        # Two processes with the same name: while the heartbeat of one waits for the disk,
        # the other replaces it.
        body = {**f2.body(), "seen": [f2.token.epoch + 3, 0]}
        play.run.files.unblocked.clear()
        waits = [
            asyncio.ensure_future(
                call(
                    "POST",
                    "/v1/leases/x/acquire",
                    {"holder": "x", "ttl_ms": 500},
                    port=play.run.fleet,
                )
            )
        ]  # so that both are written in one batch
        for more in ({}, {"token": None, "shown": f2.token.to_wire(), "run": "other"}):
            await asyncio.sleep(0.02)
            waits.append(
                asyncio.ensure_future(
                    call(*beat, {**body, **more}, port=play.run.fleet)
                )
            )
        await asyncio.sleep(0.02)
        play.run.files.unblocked.set()
        _, (status, answer), (after, _) = await asyncio.gather(*waits)
        assert (status, answer.get("error"), after) == (409, "lost", 200)
        await play.run.service.stop()

    asyncio.run(test())


def test_the_holder_of_the_shard_planner_lease_plans_maps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = FleetScenario(tmp_path / "s", monkeypatch)
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
        # The operator revokes the lease and holds it for a while.
        await play.run.call("POST", "/v1/leases/shard-planner/revoke", {})

        async def lease_call(action: str, **body: Any) -> tuple[int, Any]:
            return await play.run.call(
                "POST", f"/v1/leases/shard-planner/{action}", body, port=play.run.fleet
            )

        while (await lease_call("acquire", holder="op", ttl_ms=1000))[0] != 200:
            await play.calm(1)
        token = table.read("shard-planner").token.to_wire()
        for _ in range(15):
            await play.calm(1)
            assert (await lease_call("renew", token=token))[0] == 200
        assert play.run.parts.maps.stored_map is None
        await lease_call("release", token=token)
        while play.world.clock.us < play.run.parts.planner.retry_at_us - 200_000:
            await play.calm(1)
        play.world.add("f3")  # with the lease again, the service plans for all members
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
        )  # many lost at once: the map is frozen for a lease
        await play.calm(8)
        assert maps.stored_map.generation == 2 and maps.stored_map.owners() == {"f1"}
        await play.run.service.stop()

    asyncio.run(test())


def test_a_change_wakes_only_the_concerned_watchers_and_all_in_small_batches(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    play = FleetScenario(tmp_path / "s", monkeypatch)

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
        )  # granted from the free calls, so that no other share changes
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
        futures = [watchers.add(f"f{n}") for n in range(6)]
        watchers.notify(None)
        watchers.notify({"f5"})
        assert [future.done() for future in futures] == [
            True,
            True,
            False,
            False,
            False,
            False,
        ]
        await until(lambda: any(future.done() for future in futures[2:]))
        assert [future.done() for future in futures] == [
            True,
            True,
            True,
            False,
            False,
            True,
        ]
        assert (
            watchers.is_behind(1, "f5")
            and not watchers.is_behind(1, "f4")
            and watchers.is_behind(0, "f4")
        )
        await until(lambda: all(future.done() for future in futures))
        await play.run.service.stop()

    asyncio.run(test())
