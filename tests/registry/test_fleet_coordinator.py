"""The fleet coordinator with a manual clock: durable answers, extensions, older copies.

No answer may contain state that is not stored. Also covers operators' fence and revoke
calls.
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
    RunningService,
    acquire,
    beat,
    run_service,
    until,
    with_fleet,
)


class TallyExtension:
    """A heartbeat extension that stores the highest `calls` requested by each member.

    Answers contain the stored value. Notifications are recorded in `events`.
    """

    name = "tally"

    def __init__(self) -> None:
        self.requested, self.stored, self.events = (
            dict[str, int](),
            dict[str, int](),
            list[tuple[str, Any]](),
        )
        self.unstored_rows = 0  # rows of a plan that are not stored yet

    def restore(self, now_us: int, sure: bool, snapshot: Any, rows: list[Any]) -> None:
        self.events.append(("restored", sure))
        self.stored.update(snapshot or {})
        for row in rows:
            self.stored[row["name"]] = row["calls"]

    def find_faults(self, beat: Any) -> list[str]:
        return (
            [] if isinstance(beat.get("calls", 0), int) else ["calls: a whole number"]
        )

    def on_heartbeat(self, now_us: int, name: str, token: Any, beat: Any) -> bool:
        self.requested[name] = beat.get("calls", 0)
        return True

    def answer_fields(self, now_us: int, name: str, token: Any) -> dict[str, Any]:
        return {"tally": self.stored.get(name, 0)}

    def __getattr__(self, kind: str) -> Any:  # The other notifications.
        return lambda now_us, *more: self.events.append((kind, *more))

    def plan(self, now_us: int, frozen: bool, members: Any) -> list[Any]:
        if self.unstored_rows:
            self.events.append(("planned twice", None))
        names = [member.name for member in members]
        rows = [
            {"name": name, "calls": calls}
            for name, calls in self.requested.items()
            if calls > self.stored.get(name, 0) and name in names
        ]
        self.unstored_rows = len(rows)
        return rows

    def commit(self, now_us: int, row: Any) -> None:
        self.stored[row["name"]] = row["calls"]
        self.unstored_rows = max(self.unstored_rows - 1, 0)

    def abandon(self, row: Any) -> None:
        self.events.append(("abandoned", row["calls"]))
        self.requested.clear()
        self.unstored_rows = max(self.unstored_rows - 1, 0)

    def next_us(self) -> int | None:
        return None

    def snapshot(self) -> Any:
        return dict(self.stored)


def test_extensions_answer_only_stored_state_and_are_notified_of_every_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tally, clock, tokens = TallyExtension(), Clock(), list[Any]()

    async def before_restart(run: RunningService) -> None:
        # The state may have been lost, so nothing is granted for the longest lease.
        assert (await beat(run, "f1"))[0] == 409
        clock.us += 2 * TTL_US
        status, answer = await beat(run, "f1", calls=5)
        assert status == 200 and answer["tally"] == 0  # planned, but not stored yet
        tokens.append(answer["token"])
        await until(lambda: tally.stored == {"f1": 5})
        status, answer = await beat(run, "f1", tokens[0], calls=7, list=answer["list"])
        assert answer["tally"] == 5 and answer["members"] == [] and not answer["whole"]
        run.files.failing = True
        await until(lambda: ("abandoned", 7) in tally.events)
        assert (await beat(run, "f1", tokens[0]))[1]["tally"] == 5
        run.files.failing = False
        run.files.unblocked.clear()
        for calls in (8, 9):  # the second arrives while the first plan is being written
            await beat(run, "f1", tokens[0], calls=calls)
            await until(lambda: tally.unstored_rows == 1)
            await asyncio.sleep(2 * plan_scheduler.PLAN_DELAY_S)
        applied = asyncio.ensure_future(
            run.service.fleet.apply_rows(
                "tally",
                lambda _: [] if tally.unstored_rows else [{"name": "x", "calls": 1}],
            )
        )
        await asyncio.sleep(0.01)
        run.files.unblocked.set()
        await applied
        await until(lambda: tally.stored == {"f1": 9, "x": 1})
        assert ("planned twice", None) not in tally.events
        status, answer = await beat(run, "f1", [1, 2, 3], sent=-1, seen="no", calls="x")
        assert status == 400 and [f.partition(":")[0] for f in answer["faults"]] == [
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
            await run.request(
                f"/v1/fleet/watch?from={version}&hold_ms=9000", port=run.fleet
            )
        )[2] == {"version": version}:
            pass
        await until(
            lambda: ("lease_expired", _token(tokens[2])) in tally.events
        )  # woken already when the member became suspect
        status, answer = await beat(run, "f1", tokens[2])
        assert status == 409 and answer["error"] == "lost"
        monkeypatch.setattr(fleet_log, "COMPACT_AFTER_LINES", 1)
        clock.us += 2 * TTL_US
        assert (await beat(run, "f2"))[0] == 200  # and the log is compacted
        await until(lambda: run.service.fleet.fleet_log.record_log.row_count == 2)

    run_service(tmp_path, before_restart, clock, with_fleet(tally))
    token_1, token_2, token_3 = map(_token, tokens)
    assert [
        event
        for event in tally.events
        if event[0] in ("member_joined", "member_ended", "lease_expired")
    ][:5] == [
        ("member_joined", "f1", token_1, None),
        ("member_joined", "f1", token_2, token_1),
        ("member_ended", token_2),
        ("member_joined", "f1", token_3, None),
        ("lease_expired", token_3),
    ]
    restored = TallyExtension()

    async def after_restart(run: RunningService) -> None:
        assert restored.events == [("restored", True)] and restored.stored == {
            "f1": 9,
            "x": 1,
        }
        assert [
            member["name"] for member in (await run.request("/v1/fleet"))[2]["members"]
        ] == ["f2"]

    run_service(tmp_path, after_restart, clock, with_fleet(restored))


def _token(pair: list[int]) -> Any:
    return fleet_coordinator.Token(*pair)


def test_a_grant_that_is_not_stored_is_not_answered_and_lease_ends_are_retried(
    tmp_path: Path,
) -> None:
    clock = Clock()

    async def test(run: RunningService) -> None:
        clock.us += 2 * TTL_US
        before = (await acquire(run, "a"))[1]["token"]
        run.files.failing = True
        assert (await acquire(run, "b"))[0] == 507
        assert (await run.request("/v1/leases/b"))[0] == 404
        clock.us += TTL_US  # the lease on a has expired, and its end cannot be written
        await until(lambda: run.service.metrics.write_failures >= 2)
        run.files.failing = False
        await until(lambda: run.service.fleet.table.read("a") is None)
        status, answer = await acquire(run, "b")
        assert status == 200 and answer["token"] > before
        # Member leases are granted by heartbeats only; operators raise the fence and revoke.
        assert (await acquire(run, "member/f1"))[0] == 403
        above = answer["token"][0] + 10
        assert (await run.request("/v1/epoch", {"above": above}))[2][
            "fence"
        ] == above + 1
        token = (await acquire(run, "c/d"))[1]["token"]
        assert token[0] == above + 1
        assert (await run.request("/v1/leases/c/d/revoke", {}))[0] == 200
        assert (await run.request("/v1/leases/c/d/renew", {"token": token}, run.fleet))[
            0
        ] == 409

    run_service(tmp_path, test, clock, with_fleet())


def test_an_older_copy_is_detected_by_the_watermark_file(tmp_path: Path) -> None:
    clock, log, watermark_path, top = (
        Clock(),
        tmp_path / "s" / "fleet.log",
        tmp_path / "mark",
        [0, 0],
    )

    async def acquire_succeeds(run: RunningService) -> None:
        clock.us += 2 * TTL_US
        status, answer = await acquire(run, "a")
        nonlocal top
        assert status == 200 and answer["token"] > top
        top = answer["token"]

    async def acquire_is_held(run: RunningService) -> None:
        status, answer = await acquire(run, "b")
        assert status == 409 and answer["error"] == "held"

    run_service(
        tmp_path / "s",
        acquire_succeeds,
        clock,
        with_fleet(watermark_path=watermark_path),
    )
    copy = log.read_bytes()
    run_service(
        tmp_path / "s",
        acquire_succeeds,
        clock,
        with_fleet(watermark_path=watermark_path),
    )
    full_log = RecordLog(log)
    full_row_count = len(full_log.load())
    log.write_bytes(copy)
    run_service(
        tmp_path / "s",
        acquire_is_held,
        clock,
        with_fleet(watermark_path=watermark_path),
    )
    assert (
        len(RecordLog(log).load()) < full_row_count
    )  # the service has started on the copy
    run_service(
        tmp_path / "s",
        acquire_succeeds,
        clock,
        with_fleet(watermark_path=watermark_path),
    )  # above all earlier tokens, though the copy has no record of them
