"""The list service over its limits, with a blocked or failing disk, behind its readers,
and at shutdown.
"""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch, HttpClient
from rainfall.registry import json_reader, request_schemas
from rainfall.registry.endpoint_registry import CLAIM_LIMIT
from rainfall.registry.request_error import RequestError
from rainfall.registry.storage import RecordLog, Storage
from tests.support.list_service import (
    Clock,
    FaultyFileSystem,
    RunningService,
    read_response,
    run_service,
    until,
)


def test_watches_are_limited_and_a_disconnected_one_is_not_counted(
    tmp_path: Path,
) -> None:
    async def test(run: RunningService) -> None:
        metrics, path = (
            run.service.metrics,
            f"/discovery/hosts?from={run.service.registry.seq}&hold_ms=60000",
        )
        _, leaving = await asyncio.open_connection("127.0.0.1", run.list)
        leaving.write(f"GET {path} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
        staying = asyncio.ensure_future(run.request(path))
        await until(lambda: metrics.watches_held == 2)
        status, headers, _ = await run.request(path)
        assert status == 503 and headers["retry-after"] == "1" and metrics.busy == 1
        leaving.close()
        await until(lambda: metrics.watches_held == 1)
        assert metrics.watchers_left == 1 and not staying.done()
        other = asyncio.ensure_future(run.request(path))
        await until(lambda: metrics.watches_held == 2)
        await run.change("s-1")
        for status, _, answer in await asyncio.gather(staying, other):
            assert (
                status == 200
                and [h["host"] for h in answer["hosts"]] == ["s-1"]
                and not answer["whole"]
            )

    run_service(tmp_path, test, watchers=2)


def test_connections_are_limited_and_idle_ones_are_closed(tmp_path: Path) -> None:
    async def test(run: RunningService) -> None:
        held = [await asyncio.open_connection("127.0.0.1", run.list) for _ in range(2)]
        await until(lambda: run.service.metrics.connections == 2)
        status, headers, _ = await run.request("/_ready")
        assert (
            status == 503
            and headers["retry-after"] == "1"
            and run.service.metrics.busy == 1
        )
        for reader, writer in held:
            assert (
                await asyncio.wait_for(reader.read(), 5) == b""
            )  # closed after `idle_s`
            writer.close()
        await until(lambda: run.service.metrics.connections == 0)
        assert (await run.request("/_ready"))[0] == 200

    run_service(tmp_path, test, connections=2, idle_s=0.3)


def test_a_reader_that_receives_nothing_is_aborted_over_unsent_bytes(
    tmp_path: Path,
) -> None:
    async def test(run: RunningService) -> None:
        assert (await run.change(*(f"s-{n}" for n in range(1000))))[0] == 200
        sock = socket.create_connection(("127.0.0.1", run.list))
        sock.sendall(
            b"GET /discovery/hosts HTTP/1.1\r\nHost: r\r\n\r\n" * 200
        )  # 25 MB of answers
        await until(lambda: run.service.metrics.slow_closed == 1)
        status, _, answer = await run.request("/discovery/hosts")
        assert (
            status == 200 and len(answer["hosts"]) == 1000
        )  # a reader that reads gets the complete list
        await until(
            lambda: run.service.metrics.connections == 0
        )  # although the peer has not closed its end
        sock.close()

    run_service(tmp_path, test, unsent_bytes=256 * 1024)


def test_request_heads_and_bodies_are_limited(tmp_path: Path) -> None:
    async def test(run: RunningService) -> None:
        big = b"".join(b"X-%d: %s\r\n" % (n, b"a" * 4000) for n in range(5))
        post = b"POST /v1/hosts HTTP/1.1\r\nHost: r\r\n"
        for status, data in (
            (400, b"GET /_ready HTTP/1.1\r\nHost: r\r\n" + big + b"\r\n"),
            (400, b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\n\r\n"),
            (400, b"no request\r\n\r\n"),
            (413, post + b"Content-Length: 2000000\r\n\r\n"),
            (
                413,
                post
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + b"800\r\n"
                + b" " * 2048
                + b"\r\n0\r\n\r\n",
            ),
            (
                400,
                post + b"Content-Length: 9\r\n\r\n{",
            ),  # the rest of the body never arrives
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", run.write)
            writer.write(data)
            answer = await read_response(reader)
            assert answer[0] == status and answer[2]["faults"], data[:40]
            assert await asyncio.wait_for(reader.read(), 5) == b""  # closed
            writer.close()

    run_service(tmp_path, test, body_bytes=1024, body_timeout_s=0.1)


def test_queued_changes_are_limited_and_are_stored_and_answered_at_shutdown(
    tmp_path: Path,
) -> None:
    async def test(run: RunningService) -> None:
        held = asyncio.ensure_future(
            run.request(f"/v1/hosts?from={run.service.registry.seq}&hold_ms=60000")
        )
        await until(lambda: run.service.metrics.watches_held == 1)
        run.files.unblocked.clear()
        waiting = [asyncio.ensure_future(run.change("s-0"))]
        await until(lambda: len(run.service.writer.group_commit.batch) == 1)
        waiting += [asyncio.ensure_future(run.change(f"s-{n}")) for n in (1, 2)]
        await until(lambda: len(run.service.writer.group_commit.queue) == 2)
        status, headers, _ = await run.change("s-3")
        assert status == 503 and headers["retry-after"] == "1"
        stop = asyncio.ensure_future(run.service.stop())
        assert (await held)[0] == 200  # immediately, although the disk is blocked
        assert not any(call.done() for call in waiting)
        run.files.unblocked.set()
        assert [status for status, _, _ in await asyncio.gather(*waiting)] == [200] * 3
        assert await stop

    run_service(tmp_path, test, queued=2)
    assert sorted(Storage(tmp_path).load()[0].entries) == ["s-0", "s-1", "s-2"]


def test_a_blocked_disk_does_not_delay_the_shutdown(tmp_path: Path) -> None:
    async def test(run: RunningService) -> None:
        run.files.unblocked.clear()
        waiting = asyncio.ensure_future(run.change("s-0"))
        await until(lambda: len(run.service.writer.group_commit.batch) == 1)
        assert not await run.service.stop()
        status, _, answer = await waiting
        assert (
            status == 500 and "nobody knows" in answer["faults"][0]
        )  # the outcome is unknown

    run_service(tmp_path, test, shutdown_timeout_s=0.1)


def test_no_answer_depends_on_a_change_lost_in_a_failed_sync(tmp_path: Path) -> None:
    async def test(run: RunningService) -> None:
        seq = run.service.registry.seq
        run.files.unblocked.clear()
        first = asyncio.ensure_future(run.change("s-9"))
        await until(lambda: len(run.service.writer.group_commit.batch) == 1)
        calls = [
            run.change("s-0", key="k"),
            run.change("s-0", key="k"),
            run.change("s-0"),
            run.request("/v1/hosts", {"ops": [{"op": "drain", "host": "s-0"}]}),
        ]
        waiting = [asyncio.ensure_future(call) for call in calls]
        await until(lambda: len(run.service.writer.group_commit.queue) == 4)
        run.files.failing = True
        run.files.unblocked.set()
        assert (await first)[0] == 507
        # The repeat and the change that alters nothing depend on a change that was lost.
        assert [status for status, _, _ in await asyncio.gather(*waiting)] == [507] * 4
        assert not Storage(tmp_path).load()[0].entries
        run.files.failing = False
        assert (await run.request("/v1/hosts"))[2]["seq"] == seq
        assert (await run.change("s-1"))[2]["seq"] == seq + 1

    run_service(tmp_path, test)
    assert list(Storage(tmp_path).load()[0].entries) == ["s-1"]
    files = FaultyFileSystem()
    log = RecordLog(tmp_path / "log", files)
    log.load()
    files.failing = files.fail_truncate = True
    with pytest.raises(OSError):
        log.append([{"n": 1}, {"n": 2}])
    files.failing = files.fail_truncate = False
    log.append([{"n": 3}])
    assert RecordLog(tmp_path / "log").load() == [
        {"n": 3}
    ]  # no bytes of the failed append after it


def test_a_watch_of_the_same_version_in_another_epoch_gets_the_complete_list(
    tmp_path: Path,
) -> None:
    async def test(run: RunningService) -> None:
        await run.change("s-1")
        now = run.service.registry
        for epoch in (now.epoch - 1, now.epoch + 5):
            path = f"/v1/hosts?from={now.seq}&epoch={epoch}&hold_ms=60000"
            _, _, answer = await asyncio.wait_for(run.request(path), 5)
            assert answer["whole"] and len(answer["hosts"]) == 1
            assert answer["epoch"] > epoch

    run_service(tmp_path, test)


def test_versions_exceed_those_of_readers_after_two_losses_with_the_clock_set_back(
    tmp_path: Path,
) -> None:
    clock, last_answer = Clock(), dict[str, int]()

    async def first_start(run: RunningService) -> None:
        await run.change("s-1")
        last_answer.update((await run.request("/v1/hosts"))[2])

    async def start_after_loss(run: RunningService) -> None:
        assert (await run.request("/v1/hosts"))[2]["seq"] < last_answer[
            "seq"
        ]  # the lower clock gives lower versions
        status, _, answer = await run.request(
            f"/v1/hosts?from={last_answer['seq']}&epoch={last_answer['epoch']}&hold_ms=60000"
        )
        assert status == 200 and answer["whole"]
        assert (
            answer["epoch"] > last_answer["epoch"]
            and answer["seq"] > last_answer["seq"]
        )
        last_answer.update(answer)

    async def restart(run: RunningService) -> None:
        assert run.had and {
            key: run.service.registry.answer_for(None, None)[key]
            for key in ("seq", "epoch")
        } == {key: last_answer[key] for key in ("seq", "epoch")}

    for number, step in enumerate((first_start, start_after_loss, start_after_loss)):
        clock.ms = 1_000_000 - 1_000 * number
        run_service(tmp_path / str(number), step, clock)
    run_service(tmp_path / "2", restart, clock)  # the answered epoch was stored


def test_readers_ahead_begin_epochs_at_a_limited_rate_and_never_raise_the_fence(
    tmp_path: Path,
) -> None:
    clock = Clock()

    async def test(run: RunningService) -> None:
        now, fence = run.service.registry, run.service.registry.fence
        at = [now.seq]
        for _ in range(4):
            claimed = now.seq + 10
            _, _, answer = await run.request(
                f"/v1/hosts?from={claimed}&epoch={now.epoch}"
            )
            assert answer["whole"]
            at.append(answer["seq"])
        assert (
            at[0] < at[1] < at[2] == at[3] == at[4]
        )  # two epochs in a burst, then only the complete list
        assert run.service.metrics.epochs_delayed == 2 and now.fence == fence
        # after the interval one more epoch begins for the delayed claim
        clock.us += 100_000
        await until(lambda: now.seq > claimed)
        for path in (
            f"from={CLAIM_LIMIT}",
            f"epoch={CLAIM_LIMIT}",
        ):  # no service can have sent that
            seq = now.seq
            assert (await run.request(f"/v1/hosts?{path}&hold_ms=60000"))[2][
                "whole"
            ] and now.seq == seq
        assert now.fence == fence

    run_service(tmp_path, test, clock, epoch_burst=2, epoch_interval_s=0.1)


def test_tokens_and_operators_raise_the_fence_durably(tmp_path: Path) -> None:
    async def test(run: RunningService) -> None:
        now = run.service.registry
        fence, seq = now.fence, now.seq
        assert (
            await run.service.raise_fence(fence - 1) == fence
            and run.service.metrics.fence_raises == 1
        )
        assert await run.service.raise_fence(fence + 7) == fence + 8 and now.seq == seq
        with pytest.raises(RequestError):
            await run.service.raise_fence(1 << 60)
        status, _, answer = await run.request("/v1/epoch", {"above": fence + 20})
        assert status == 200 and answer["fence"] == fence + 21 and answer["seq"] > seq
        run.files.failing = True
        with pytest.raises(OSError):
            await run.service.raise_fence(fence + 30)
        assert now.fence == fence + 21
        status, _, answer = await run.request(f"/v1/hosts?from={now.seq + 9}")
        assert (
            status == 200 and answer["whole"] and answer["seq"] == now.seq
        )  # answered, although no epoch could be stored
        run.files.failing = False
        await run.service.raise_fence(fence + 40)
        run.service.storage.write_snapshot(now)
        assert Storage(tmp_path).load()[0].fence == fence + 41
        await run.service.raise_fence(fence + 50)

    run_service(tmp_path, test)
    assert Storage(tmp_path).load()[0].fence == 1_051


def test_every_fault_of_a_change_is_reported_with_its_path() -> None:
    def faults(body: str) -> list[str]:
        with pytest.raises(RequestError) as rejected:
            request_schemas.parse_change(json_reader.parse_json(body.encode()))
        assert rejected.value.status == 400
        return rejected.value.faults

    assert [
        f.partition(":")[0]
        for f in faults(
            '{"id": 7, "ops": [{"op":"drain"}, {"op":"register","host":"","dial":"x","site":"a","class":5,'
            '"block":true,"share":1001,"born_ms":-1,"health":"gone"}, {"op":"no"}, 3,'
            '{"op":"share","host":"a","share":"1"}]}'
        )
    ] == [
        "id",
        "ops[0].host",
        "ops[1].host",
        "ops[1].dial",
        "ops[1].class",
        "ops[1].block",
        "ops[1].share",
        "ops[1].born_ms",
        "ops[1].health",
        "ops[2].op",
        "ops[3].op",
        "ops[4].share",
    ]
    assert [
        f.partition(":")[0]
        for f in faults(
            '{"id":"a","id":"b","ops":[{"op":"share","host":"s","host":"t","share":NaN},{"share":1e999}]}'
        )
    ] == ["id", "ops[0].host", "ops[0].share", "ops[1].share"]
    for broken in (
        "",
        "{",
        "[" * 100_000,
        '{"id":"\\ud800"}',
        "[]",
        '{"ops":[]}',
        "9" * 5000,
    ):
        assert len(faults(broken)) == 1


def test_a_forwarder_client_reads_watches_and_posts_notices(tmp_path: Path) -> None:
    async def test(run: RunningService) -> None:
        lists: list[Any] = []
        where = Address("127.0.0.1", run.list)
        watch = EndpointWatch(where, -1, lists.append, 1)
        watch.subscribe()
        await until(lambda: run.service.metrics.watches_held == 1)
        await run.change("s-1")
        await until(lambda: len(lists) == 2)
        assert lists[0].complete and [h.name for h in lists[1].endpoints] == ["s-1"]
        watch.pause()
        client = HttpClient(where)
        for body, status in (
            (b'{"id":"a","state":"failed"}\n{"id":"b"}\n', 204),
            (b'{"id":"a"}\n{"x":1}\nno', 400),
        ):
            assert (
                await client.request("POST", "/v1/notices", 2.0, body)
            ).status == status
        client.close()
        await until(lambda: run.service.storage.next_notice_number == 2)
        rows = (await run.request("/v1/notices?from=1"))[2]
        assert rows["next"] == 2 and [r["notice"]["id"] for r in rows["notices"]] == [
            "b"
        ]
        reader, writer = await asyncio.open_connection("127.0.0.1", run.list)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        assert "\nlemonshunt_registry_notices_total 2.0\n" in text
        assert f"\nlemonshunt_registry_listed {float(1)}\n" in text
        writer.close()

    run_service(tmp_path, test)


def test_an_empty_folder_needs_the_option_new(tmp_path: Path) -> None:
    state = tmp_path / "state"
    run = subprocess.run(
        [
            sys.executable,
            "-m",
            "rainfall.registry",
            "--state",
            str(state),
            "--listen",
            "127.0.0.1:0",
            "--write",
            "127.0.0.1:0",
        ],
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert (
        run.returncode == 2
        and len(run.stderr.splitlines()) == 1
        and "--new" in run.stderr
    )
    assert not state.exists()
