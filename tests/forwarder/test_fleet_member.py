"""Runs the real forwarder program as a fleet member against a scripted fleet service."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.dispatch import (
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    Event,
    MessageReceived,
    Outcome,
    QuotaChanged,
    RejectMessage,
    SendMessage,
    SetTimer,
)
from rainfall.dispatch.quota import NEVER, Quota, change_quota
from rainfall.forwarder.config.fleet_config import BudgetReserve
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.fleet.quotas import (
    UNKNOWN_PERIOD_CALLS,
    FleetQuotas,
    merge_spent,
)
from rainfall.forwarder.fleet.state_file import StateFile
from rainfall.forwarder.outbound import connection_pool
from rainfall.forwarder.outbound.connection_pool import OutboundCall
from rainfall.journal.files import LocalFileSystem
from rainfall.journal.recovery import this_boot
from rainfall.lease.fencing_token import Token
from tests.forwarder.test_parts import make_call, make_connection_pool
from tests.support.event_scripts import S
from tests.support.event_scripts import settings as script
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    ROOT,
    Answer,
    Node,
    Peer,
    Platform,
    Request,
    answer_in_turn,
)

SPAN_MS = 400


class Service(Peer):
    """The list service's fleet address as one member sees it. Tests script its
    responses.
    """

    def __init__(self) -> None:
        super().__init__(self.answer)
        self.token, self.ttl_ms, self.version = [3, 17], 900, 1
        self.shares: dict[str, dict[str, int]] = {}
        self.silent = self.lost = self.held = False
        self.heartbeats: list[dict[str, Any]] = []

    async def assign_share(self, calls: int, number: int) -> None:
        self.shares["7"] = {
            "calls": calls,
            "number": number,
            "whole": 100,
            "span_ms": SPAN_MS,
            "reserve": 1,
        }
        self.version += 1
        await self.note()

    async def answer(self, request: Request) -> Answer | None:
        if self.silent:
            await asyncio.sleep(3600)
        if request.method == "GET":
            seen = int(request.path.partition("from=")[2].partition("&")[0])
            async with self.changed:
                await self.changed.wait_for(lambda: self.version != seen)
            return Answer(200, body=json.dumps({"version": self.version}).encode())
        beat = json.loads(request.body)
        self.heartbeats.append(beat)
        await self.note()
        if self.lost and beat["token"] is not None:
            return Answer(
                409,
                body=b'{"error":"lost","seen":[3,90],"faults":["token: the lease is out"]}',
            )
        if self.held and beat["token"] is None:
            return Answer(
                409,
                body=b'{"error":"held","retry_ms":50,"faults":["the name is held"]}',
            )
        if beat["token"] is None:
            self.token = [self.token[0], self.token[1] + 1]
        return Answer(
            200,
            body=json.dumps(
                {
                    "token": self.token,
                    "ttl_ms": self.ttl_ms,
                    "sent": beat["sent"],
                    "version": self.version,
                    "state": "alive",
                    "list": [3, 1],
                    "members": [],
                    "shares": self.shares,
                }
            ).encode(),
        )

    async def until_heartbeat(
        self, condition: Callable[[dict[str, Any]], bool], since: int = -1
    ) -> dict[str, Any]:
        """Return the first heartbeat that satisfies `condition`, from now on or from
        index `since` on.
        """
        first = len(self.heartbeats) if since < 0 else since
        await self.until(lambda: any(condition(b) for b in self.heartbeats[first:]))
        return next(b for b in self.heartbeats[first:] if condition(b))


Scene = Callable[[Platform, Service, Path], Awaitable[None]]


def play(scene: Scene, folder: Path) -> None:
    async def run() -> None:
        platform, service = Platform(), Service()
        await platform.start()
        await service.start()
        platform.host("s1", (await Peer(answer_in_turn(OK)).start()).port)
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: None
        )  # ignores errors of peers whose connections are cut
        try:
            await scene(platform, service, folder)
        finally:
            for node in nodes:
                await node.end()
            nodes.clear()

    asyncio.run(run())


nodes: list[Node] = []


def member(folder: Path, platform: Platform, service: Service, **more: Any) -> Node:
    node = Node(folder, platform, max_open=200)
    budget = {
        "destination": 7,
        "reserve": 1,
        "span_ms": SPAN_MS,
        "calls": 100,
        "members": 10,
    }
    configure(
        node,
        log_format="json",
        fleet={
            "service": f"127.0.0.1:{service.port}",
            "site": "a",
            "lease_ms": 900,
            "budgets": [budget],
            **more,
        },
    )
    nodes.append(node)
    return node


def configure(node: Node, **changes: Any) -> dict[str, Any]:
    path = node.folder / "config.json"
    config = {**json.loads(path.read_text()), **changes}
    path.write_text(json.dumps(config))
    return config


def sent_times_ns(*logs: list[str]) -> list[int]:
    """Return the times in ns at which calls sent their first byte, from the processes'
    own log lines.
    """
    lines = [
        json.loads(line) for log in logs for line in log if '"event": "sent"' in line
    ]
    assert all(line["destination"] == 7 and line["target"] == "s1" for line in lines)
    return sorted(line["t_ns"] for line in lines)


def sent_ids(*logs: list[str]) -> list[str]:
    return [
        json.loads(line)["message_id"]
        for log in logs
        for line in log
        if '"event": "sent"' in line
    ]


def max_calls_in_window(times: list[int], span_ms: int = SPAN_MS) -> int:
    return max(
        (sum(t <= u < t + span_ms * 1_000_000 for u in times) for t in times), default=0
    )


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.01)


async def ready(node: Node) -> Node:
    await node.spawn()
    await node.until_logged('"event": "ready"')
    return node


def wait_for_fleet_state(node: Node, **wanted: Any) -> Awaitable[dict[str, Any]]:
    return node.wait_for_metrics(
        lambda v: all(v["fleet"][key] == value for key, value in wanted.items())
    )


async def hand_in(node: Node, prefix: str, count: int) -> None:
    client = await node.client()
    for n in range(count):
        assert (await client.hand_in(f"{prefix}{n}", "status", left="9"))[0] == 202
    client.writer.close()


def test_calls_stay_within_the_share_and_within_the_reserve_without_the_service(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, service: Service, folder: Path) -> None:
        await service.assign_share(20, 5)
        node = await ready(member(folder, platform, service))
        await service.until(lambda: bool(service.heartbeats))
        joined = service.heartbeats[0]
        assert (joined["name"], joined["site"], joined["token"]) == ("n0", "a", None)
        assert "shown" not in joined
        acknowledged = await service.until_heartbeat(
            lambda b: b.get("holds") == {"7": [20, 5]}
        )
        assert (
            acknowledged["token"] == service.token
            and acknowledged["run"] == joined["run"]
        )
        await hand_in(node, "a", 45)
        await until(lambda: len(sent_times_ns(node.log)) == 45)
        times = sent_times_ns(node.log)
        assert max_calls_in_window(times) == 20, "the whole share is used, and no more"
        service.silent = True
        variables = await node.wait_for_metrics(
            lambda v: v["fleet"]["budgets"]["7"]["by"] == "reserve"
        )
        assert (
            variables["fleet"]["valid_for_ms"] == 0
            and not variables["fleet"]["service"]["answers"]
        )
        before = len(sent_times_ns(node.log))
        await hand_in(node, "b", 3)
        await until(lambda: len(sent_times_ns(node.log)) == before + 3)
        assert max_calls_in_window(sent_times_ns(node.log)[before:]) == 1
        reasons = [
            json.loads(line)["why"]
            for line in node.log
            if "budget of destination" in line
        ]
        assert reasons == [
            "the configuration's reserve",
            "share 5 of the service",
            "the lease is out",
        ]

    play(scene, tmp_path)


def test_member_paused_past_its_lease_sends_only_the_reserve_and_rejoins(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, service: Service, folder: Path) -> None:
        await service.assign_share(20, 5)
        node = await ready(member(folder, platform, service))
        await wait_for_fleet_state(node, state="alive")
        await hand_in(node, "a", 45)
        await until(lambda: len(sent_times_ns(node.log)) >= 25)
        os.kill(node.process.pid, signal.SIGSTOP)
        service.lost = service.held = True
        await asyncio.sleep(service.ttl_ms / 1000)
        before = len(sent_times_ns(node.log))
        os.kill(node.process.pid, signal.SIGCONT)
        rejoined = await service.until_heartbeat(lambda b: b["token"] is None)
        assert (rejoined["shown"], rejoined["seen"], rejoined["keeps"]) == (
            [3, 18],
            [3, 90],
            {"7": 1},
        )
        assert "holds" not in rejoined
        budget = (await wait_for_fleet_state(node, state="held", lost=1, token=None))[
            "fleet"
        ]["budgets"]["7"]
        assert (budget["by"], budget["share"], budget["why"]) == (
            "reserve",
            1,
            "the lease was lost",
        )
        await until(lambda: len(sent_times_ns(node.log)) >= before + 2)
        assert max_calls_in_window(sent_times_ns(node.log)[before:]) == 1, (
            "only the reserve is used, from the first call on"
        )
        service.held, service.lost, service.token = False, False, [3, 91]
        await wait_for_fleet_state(node, state="alive", token=[3, 92])
        await until(lambda: len(sent_times_ns(node.log)) == 45)
        assert max_calls_in_window(sent_times_ns(node.log)) <= 20

    play(scene, tmp_path)


@pytest.mark.parametrize("sign", [signal.SIGTERM, signal.SIGKILL])
def test_restart_presents_the_old_token_and_does_not_exceed_the_window(
    tmp_path: Path, sign: int
) -> None:
    async def scene(platform: Platform, service: Service, folder: Path) -> None:
        await service.assign_share(6, 5)
        (folder / "state").mkdir()
        (folder / "state" / "fleet.json").write_text(
            "{"
        )  # cannot be parsed: treated as missing
        node = await ready(member(folder, platform, service))
        await hand_in(node, "a", 9)
        await until(lambda: len(sent_times_ns(node.log)) >= 7)
        token, since = service.token, len(service.heartbeats)
        await node.end(sign)
        logs, node.log = [node.log], []
        state_path = folder / "state" / "fleet.json"
        assert ("closed_us" in state_path.read_text()) is (sign == signal.SIGTERM), (
            "the spent calls are recorded"
        )
        await ready(node)
        assert "closed_us" not in state_path.read_text(), (
            "the record of spent calls is dropped before the first call"
        )
        joined = await service.until_heartbeat(lambda b: b["token"] is None, since)
        assert joined["shown"] == token and joined["keeps"] == {"7": 1}
        await hand_in(node, "b", 9)
        await until(lambda: len(set(sent_ids(*logs, node.log))) == 18)
        assert max_calls_in_window(sent_times_ns(*logs, node.log)) == 6

    play(scene, tmp_path)


def test_next_process_resumes_quotas_from_the_state_file(tmp_path: Path) -> None:
    """After an orderly end, the next process sends what is left of the window at once.
    After a crash or a reboot it waits for one full window. While the state file cannot
    be written, nothing is sent.
    """
    share = {
        "calls": 6,
        "number": 5,
        "whole": 100,
        "span_ms": 400,
        "reserve": 1,
        "slack_ms": None,
    }
    reserves, window_us, now_us = (
        [BudgetReserve(7, 1, 400_000, 100)],
        413_371,
        10_000_000,
    )

    def waits_with_lease(quotas: FleetQuotas, token: Token) -> list[int]:
        quotas.persisted = True
        quotas.apply_shares(token, {7: share}, now_us + 900_000, now_us)
        return [quotas.acquire_permit(7, now_us) for _ in range(7)]

    first = FleetQuotas(reserves, 0.02, {}, now_us - 500_000)
    assert first.acquire_permit(7, now_us) == -1, "the state is not persisted yet"
    assert first.quota_event(7, now_us, 0).used == ()
    assert waits_with_lease(first, Token(3, 1)) == [0] * 6 + [window_us]
    now_us += 100_000
    records_at_crash, disk = first.records(), FaultyFiles()
    event_before_end = first.quota_event(7, now_us, 0)
    state_file = StateFile(tmp_path, True, disk)
    for records, boot, waits in (
        (records_at_crash, "", [window_us] * 7),
        (first.close(now_us), "", [313_371] * 7),
        (first.close(now_us), "another", [window_us] * 7),
    ):
        assert (
            state_file.write(*state_file.encode(Token(3, 1), records)) is None
            and disk.synced
        )
        if boot:
            state_file.path.write_text(
                state_file.path.read_text().replace(this_boot(), boot)
            )
        token, stored_records = StateFile(tmp_path, False).read()
        second = FleetQuotas(reserves, 0.02, stored_records, now_us)
        assert (
            token == Token(3, 1)
            and second.known_reserves() == {"7": 1}
            and second.held_shares(token) == {"7": [1, 5]}
        )
        event = second.quota_event(7, now_us, 5)
        assert (event.calls, event.reserve_calls) == (0, 0), (
            "not persisted: the dispatcher sends nothing either"
        )
        assert event.used == (
            ((now_us + 5, UNKNOWN_PERIOD_CALLS),)
            if waits[0] == window_us
            else ((now_us - 99_995, 1),) * 6
        )
        assert waits_with_lease(second, Token(3, 2)) == waits
    assert event_before_end.used == () and event_before_end.calls == 6
    disk.fails = True
    assert (
        isinstance(state_file.write(*state_file.encode(Token(3, 9), {})), OSError)
        and StateFile(tmp_path, False).read()[1]
    )
    number, data = state_file.encode(Token(3, 3), {})
    disk.fails = False
    assert (
        state_file.write(number + 1, b"{}") is None
        and state_file.write(number, data) is None
    )
    assert state_file.path.read_bytes() == b"{}", (
        "an older write does not replace a newer one"
    )
    second.configure([BudgetReserve(7, 0, 400_000, 100)], now_us)
    assert (
        second.quota_event(7, now_us, 0).reserve_calls == 0
        and second.configure([], now_us) == []
    ), "the last shares of the service still name destination 7"
    second.apply_shares(Token(3, 2), {}, now_us + 900_000, now_us)
    assert second.configure([], now_us) == [7], (
        "neither the configuration nor the service names it"
    )
    third = FleetQuotas(reserves, 0.02, {}, now_us - 500_000)
    third.persisted = (
        third.apply_shares(Token(3, 4), {7: share}, now_us + 900_000, now_us) is False
    )
    assert [third.acquire_permit(7, now_us) for _ in range(4)] == [0] * 4
    third.on_call_sent(7, now_us, now_us + 5_000)
    third.on_call_sent(
        7, now_us, now_us + 5_001
    )  # paused between the permit and the write: counted from the write
    assert [third.acquire_permit(7, now_us + 5_001) == 0 for _ in range(3)] == [
        True,
        False,
        False,
    ]
    merged = merge_spent([[n, n, 1] for n in range(10)], 4)
    assert merged == [[0, 2, 3], [3, 5, 3], [6, 8, 3], [9, 9, 1]]


class FaultyFiles(LocalFileSystem):
    fails = synced = False

    def sync(self, fd: int) -> None:
        if self.fails:
            raise OSError(28, "No space left on device")
        self.synced = True


def test_handover_process_continues_the_window_and_presents_the_token(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, service: Service, folder: Path) -> None:
        await service.assign_share(6, 5)
        old = await ready(member(folder, platform, service))
        await wait_for_fleet_state(old, state="alive")
        await hand_in(old, "a", 20)
        await until(lambda: len(sent_times_ns(old.log)) >= 8)
        token = service.token
        since = len(service.heartbeats)
        new = await old.start_second_process()
        nodes.append(new)
        joined = await service.until_heartbeat(lambda b: b["token"] is None, since)
        assert joined["shown"] == token
        await until(lambda: len(sent_times_ns(old.log, new.log)) == 20)
        assert max_calls_in_window(sent_times_ns(old.log, new.log)) <= 6
        assert not [
            b
            for b in service.heartbeats[service.heartbeats.index(joined) :]
            if b["run"] != joined["run"]
        ]

    play(scene, tmp_path)


def test_changed_shares_and_needs_are_exchanged_before_the_next_interval(
    tmp_path: Path,
) -> None:
    """A third of this lease is longer than the test's timeout, so no heartbeat here was
    sent by the regular interval.
    """

    async def scene(platform: Platform, service: Service, folder: Path) -> None:
        service.ttl_ms = 120_000
        await service.assign_share(20, 5)
        node = await ready(member(folder, platform, service))
        await service.until(
            lambda: len(service.heartbeats) == 2
        )  # the interval after the first heartbeat is the configuration's
        await service.assign_share(
            7, 6
        )  # fewer calls: received by the watch, and acknowledged
        await service.until_heartbeat(lambda b: b.get("holds") == {"7": [7, 6]})
        since = len(service.heartbeats)
        await hand_in(node, "a", 45)
        needed = await service.until_heartbeat(
            lambda b: sum(b["needs"].get("7", {}).values()) > 7, since
        )
        assert set(needed["needs"]["7"]) == {"status/acme"} and needed["list"] == [3, 1]
        service.lost = service.held = True
        await service.assign_share(
            9, 7
        )  # the lease is valid for over a minute, but it was revoked
        lost = (await wait_for_fleet_state(node, lost=1, token=None))["fleet"][
            "budgets"
        ]["7"]
        assert (lost["by"], lost["share"], lost["valid_for_ms"]) == ("reserve", 1, 0)
        await node.end()
        assert max_calls_in_window(sent_times_ns(node.log)) <= 7

    play(scene, tmp_path)


async def check(node: Node, config: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    status, text = await node.operate(
        "POST", "/_config/check", json.dumps(config).encode()
    )
    return status, json.loads(text)


BAD = {
    "service": "nowhere",
    "lease_ms": 5,
    "drift": 0.7,
    "peers": {"f1": 9},
    "budgets": [
        {"destination": 3, "reserve": 11, "span_ms": 1000, "calls": 100, "members": 10},
        {"destination": 3, "span_ms": 0, "calls": True, "members": 10},
        {"destination": 3, "span_ms": 9, "calls": 100, "members": 10},
        8,
    ],
}
FAULTS = [
    "fleet.site",
    "fleet.lease_ms",
    "fleet.drift",
    "fleet.budgets[1].span_ms",
    "fleet.budgets[1].calls",
    "fleet.budgets[3]",
    "fleet.service",
    "fleet.peers.f1",
    "fleet.budgets[0].reserve",
    "fleet.budgets[2].destination",
]


def test_invalid_fleet_config_reports_every_fault_and_changes_nothing(
    tmp_path: Path,
) -> None:
    async def scene(platform: Platform, service: Service, folder: Path) -> None:
        await service.assign_share(20, 5)
        node = member(folder, platform, service)
        good = configure(node)
        configure(node, fleet=BAD)
        await node.spawn()
        assert await node.end(signal.SIGCONT) == 2 and len(node.log) == 1, (
            "a single log line"
        )
        assert [node.log[0].index(f"{path}: ") for path in FAULTS] == sorted(
            node.log[0].index(f"{path}: ") for path in FAULTS
        )
        configure(node, fleet=good["fleet"])
        node.log = []
        await ready(node)
        await node.wait_for_metrics(
            lambda v: v["fleet"]["budgets"]["7"]["by"] == "lease"
        )
        status, report = await check(node, {**good, "fleet": BAD})
        assert status == 422 and {f["path"] for f in report["faults"]} >= set(FAULTS)
        before = (await node.figures())["fleet"]["budgets"]["7"]
        configure(node, fleet=BAD)
        node.process.send_signal(signal.SIGHUP)
        await node.until_logged(
            "fleet.budgets[0].reserve: 11 for each of 10 members are 110"
        )
        after = (await node.figures())["fleet"]["budgets"]["7"]
        assert {**after, "valid_for_ms": 0} == {**before, "valid_for_ms": 0}
        for change in ({"fleet": None}, {"fleet": {**good["fleet"], "site": "b"}}):
            status, report = await check(node, {**good, **change})
            assert (status, report["restart"]) == (
                200,
                ["fleet.site" if change["fleet"] else "fleet"],
            )
        new_service = (
            Service()
        )  # new service address and lower reserve; the site needs a restart
        await new_service.start()
        new_service.token, new_service.shares = service.token, service.shares
        fleet = {
            **good["fleet"],
            "service": f"127.0.0.1:{new_service.port}",
            "site": "b",
        }
        configure(
            node, fleet={**fleet, "budgets": [{**fleet["budgets"][0], "reserve": 0}]}
        )
        node.process.send_signal(signal.SIGHUP)
        assert (await new_service.until_heartbeat(lambda b: True))["site"] == "a"
        await node.until_logged("takes effect at the next start: fleet.site")
        report = await node.wait_for_metrics(
            lambda v: v["fleet"]["budgets"]["7"]["reserve"] == 0
        )
        assert report["fleet"]["service"]["address"] == f"127.0.0.1:{new_service.port}"
        await service.assign_share(
            20, 5
        )  # a watch still open there would send another request
        request_count, since = len(service.requests), len(new_service.heartbeats)
        await new_service.until(lambda: len(new_service.heartbeats) > since + 2)
        assert len(service.requests) == request_count, (
            "the old address receives no more requests"
        )
        report = (await node.figures())["fleet"]["budgets"]["7"]
        assert (report["share"], report["reserve"]) == (20, 0), (
            "the lower of the service's reserve and its own"
        )

    play(scene, tmp_path)


OFF = """
import asyncio, json, sys, urllib.request
from rainfall.forwarder.process import serve
from rainfall.forwarder.config.loading import load_config
from rainfall.forwarder.config.validation import validate_replacement

async def run():
    config = load_config()
    serving = asyncio.create_task(serve(config))
    reader = writer = None
    while reader is None:
        await asyncio.sleep(0.01)
        try:
            reader, writer = await asyncio.open_connection(config.admin.host, config.admin.port)
            writer.write(b"GET /_vars HTTP/1.1\\r\\n\\r\\n")
            told = await reader.read()
            reader = reader if b" 200 " in told else None
        except OSError:
            pass
    assert b'"fleet"' not in told
    assert validate_replacement(json.dumps(config.raw).encode(), config).valid
    parts = ("msgspec", "rainfall.lease", "rainfall.budget", "rainfall.member",
        "rainfall.forwarder.fleet", "rainfall.forwarder.config.fleet_config")
    print([name for name in sys.modules if name.startswith(parts)])
    serving.cancel()
asyncio.run(run())
"""


def test_fleet_modules_are_not_imported_without_fleet_config(tmp_path: Path) -> None:
    async def scene(platform: Platform, service: Service, folder: Path) -> None:
        node = Node(folder, platform)
        env = {
            **os.environ,
            "LB_CONFIG": str(folder / "config.json"),
            "LB_STATE": str(folder / "state"),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", OFF, cwd=ROOT, env=env, stdout=asyncio.subprocess.PIPE
        )
        async with asyncio.timeout(PATIENCE):
            assert (await process.communicate())[0] == b"[]\n" and not node.log
        assert not service.requests

    play(scene, tmp_path)


@pytest.mark.parametrize("idle", [False, True])
def test_permit_is_acquired_right_before_the_first_byte(idle: bool) -> None:
    """Also on a new connection, and for a call that has to wait briefly for its permit.
    A call that was not sent is not counted as sent.
    """

    async def scene() -> None:
        finished: list[AttemptFinished] = []
        peer = await Peer(answer_in_turn(OK)).start()
        call_pool = make_connection_pool(finished)
        call_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        sent: list[str] = []
        call_pool.on_call_sent = lambda c: sent.extend(c.open_items)
        if idle:
            call_pool.start(make_call(Clock(), "first"))
            await until(lambda: len(finished) == 1)
        permit_requests: list[int] = []
        permits = [-1, 8_000, 8_000, 0, connection_pool.PERMIT_WAIT_US + 1]

        def acquire_permit(c: OutboundCall) -> int:
            permit_requests.append(len(peer.requests))
            return permits[len(permit_requests) - 1]

        call_pool.acquire_permit = acquire_permit
        for name, expected_requests in (("barred", 1), ("held", 4), ("late", 5)):
            call_pool.start(make_call(Clock(), name))
            await until(lambda n=name: any(e.message_id == n for e in finished))
            assert len(permit_requests) == expected_requests
        assert [(e.message_id, e.outcome) for e in finished[-3:]] == [
            ("barred", Outcome.NOT_SENT),
            ("held", Outcome.DELIVERED),
            ("late", Outcome.NOT_SENT),
        ]
        assert sent == ["first"] * idle + ["held"] and len(peer.requests) == 1 + idle
        assert len(call_pool.connections) == 1, "the connection is reused"
        call_pool.close()

    asyncio.run(scene())


def test_share_limits_sending_and_sets_retry_after() -> None:
    dispatcher = Dispatcher(
        script(
            max_in_flight=50,
            send_retry_after=True,
            max_retry_after_us=9 * S,
            endpoint_weights_known=True,
        ),
        1,
        0,
    )
    slow = EndpointEntry(
        1, 10, "north", "plain", weight=0.001
    )  # a pace of one call in 15 minutes
    dispatcher.handle(
        0,
        [
            EndpointListChanged(EndpointListKind.SNAPSHOT, (slow,)),
            QuotaChanged(10, 3, 2 * S, 30 * S, 1),
        ],
    )

    timers_us: list[int] = []

    def sent(now: int, *events: Event) -> list[str]:
        actions = dispatcher.handle(now, events)
        timers_us.extend(now + a.delay_us for a in actions if isinstance(a, SetTimer))
        return [a.message_id for a in actions if isinstance(a, SendMessage)]

    def delivered(now: int, name: str) -> list[str]:
        return sent(now, AttemptFinished(name, 0, 1, Outcome.DELIVERED, 10_000))

    assert sent(
        0, *(MessageReceived(f"m{n}", 10, "safe", 6 * S) for n in range(5))
    ) == ["m0"]
    assert delivered(10_000, "m0") == ["m1", "m2"]
    assert delivered(20_000, "m1") == delivered(20_000, "m2") == []
    reject_actions = dispatcher.handle(
        30_000,
        [
            MessageReceived("short", 10, "safe", S),
            MessageReceived("long", 10, "safe", 9 * S),
        ],
    )
    assert [
        (a.message_id, a.retry_after_us)
        for a in reject_actions
        if isinstance(a, RejectMessage)
    ] == [("short", 1_970_000)]
    now = 30_000
    while not (
        sent_ids_on_timer := sent(now := min(at for at in timers_us if at > now))
    ):
        assert now <= 2 * S, "a timer wakes it when the window allows a call"
    assert sent_ids_on_timer == ["m3"] and 2 * S <= now <= 2 * S + 1
    assert sent(now, QuotaChanged(10, 0, 2 * S, 3 * S, 0)) == []
    later_actions = dispatcher.handle(
        now, [MessageReceived("hopes", 10, "safe", 3 * S)]
    )
    assert not [a for a in later_actions if isinstance(a, RejectMessage)], (
        "another share may be assigned in time"
    )
    assert delivered(now + 20_000, "m3") == []
    assert sent(now + 30_000, QuotaChanged(10, 0, 0, 0, 0)) != [], (
        "no share limits the destination any more"
    )


class Slow:
    """Reference implementation of a quota that counts every call ever made."""

    def __init__(self) -> None:
        self.made: list[int] = []

    def fits(self, share: Quota, now: int) -> bool:
        limit = share.calls if now < share.expires_at else share.reserve_calls
        return sum(at > now - share.window_us for at in self.made) < limit


STEP = st.one_of(
    st.tuples(st.just("pass"), st.integers(1, 30)),
    st.tuples(st.just("send"), st.integers(1, 4)),
    st.tuples(
        st.just("told"), st.integers(0, 4), st.integers(1, 40), st.integers(0, 2)
    ),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(STEP, max_size=60))
def test_a_share_lets_go_what_its_sliding_span_allows_and_says_when(
    steps: list[tuple[Any, ...]],
) -> None:
    """Against the slow count, with a span below the grains (exact): the same yes and
    no, and the moment told is the first yes, unless something else is told before.
    """
    known: dict[int, Quota] = {}
    now, slow, span = 1_000, Slow(), 20
    change_quota(known, now, QuotaChanged(7, 2, span, 1_050, 1))
    for step in steps:
        share = known[7]
        if step[0] == "pass":
            opens = share.available_at(now)
            if opens < NEVER:
                assert not any(
                    slow.fits(share, t) for t in range(now, min(opens, now + step[1]))
                )
                assert slow.fits(share, opens) and opens >= now
            else:
                assert not any(slow.fits(share, t) for t in range(now, now + step[1]))
            now += step[1]
        elif step[0] == "send":
            for _ in range(step[1]):
                assert (share.available_at(now) <= now) is slow.fits(share, now)
                if share.available_at(now) <= now:
                    share.record_call(now)
                    slow.made.append(now)
        else:
            change_quota(
                known,
                now,
                QuotaChanged(7, step[1], span, now + step[2], min(step[1], step[3])),
            )
