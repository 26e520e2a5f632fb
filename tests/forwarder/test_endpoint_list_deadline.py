"""A change to the endpoint list takes effect within 6 s of its arrival at discovery, and
within 4 s of SIGHUP: checked as the sum of the constants on the longest path, and with
the watch and the dispatcher on virtual time.
"""

from __future__ import annotations

import asyncio
import json
import selectors
from collections.abc import Callable, Coroutine
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from rainfall.dispatch import (
    Dispatcher,
    EndpointListChanged,
    EndpointListKind,
    Event,
    SetTimer,
    SubscribeEndpointList,
    TimerExpired,
)
from rainfall.dispatch.endpoint_list import MAX_POLL_RETRY_US, MIN_POLL_RETRY_US
from rainfall.forwarder.config.loading import Address, EndpointList
from rainfall.forwarder.discovery import endpoint_watch
from rainfall.forwarder.discovery.endpoint_watch import (
    LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S,
    LIST_LATENCY_LIMIT_S,
    EndpointWatch,
    list_latency_bound_after_address_change_s,
    list_latency_bound_s,
)
from rainfall.forwarder.engine.engine_state import MIN_ROUND_INTERVAL_US
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import SETTINGS, Answer, Peer, Request

ROOM_S = 0.5  # margin that the longest path leaves under the limit
SECOND = 1_000_000
REAL_S = 0.006  # real wait within which loopback data arrives


class VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that waits `REAL_S` for sockets and, if none is ready, advances the virtual
    clock to the loop's next timer.
    """

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(timeout if timeout is None or timeout <= 0 else REAL_S)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


def in_virtual_time(scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the scene on a virtual loop clock: waits take almost no real time, and a busy
    machine adds none to the virtual time.
    """
    selector = VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    with (
        pytest.MonkeyPatch.context() as patch,
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        patch.setattr(endpoint_watch, "time", SimpleNamespace(monotonic=loop.time))
        runner.run(scene())


class WatchAndDispatcher:
    """The watch and the dispatcher, connected as the engine connects them: rounds, timers
    and endpoint list events.
    """

    def __init__(self, address: Address, pushed: bool, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        dispatch_settings = replace(
            parse_settings(
                {**SETTINGS, "discovery": "pushed" if pushed else "on_request"}
            )
        )
        self.dispatcher = Dispatcher(dispatch_settings, seed, self.now())
        self.watch = EndpointWatch(address, 0, self.listed, seed, pushed=pushed)
        self.events: list[Event] = []
        self.changed = asyncio.Event()
        self.watch.subscribe()
        self.round()

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def post(self, event: Event) -> None:
        self.events.append(event)
        self.loop.call_later(MIN_ROUND_INTERVAL_US / SECOND, self.round)

    def round(self) -> None:
        events, self.events = self.events, []
        for action in self.dispatcher.handle(self.now(), events):
            if isinstance(action, SetTimer):
                self.loop.call_later(
                    action.delay_us / SECOND + 0.001,
                    self.post,
                    TimerExpired(action.token),
                )
            elif isinstance(action, SubscribeEndpointList):
                self.watch.subscribe()

    def listed(self, endpoint_list: EndpointList | None) -> None:
        if endpoint_list is None:
            self.post(EndpointListChanged(EndpointListKind.FAILED))
            return
        kind = (
            EndpointListKind.SNAPSHOT
            if endpoint_list.complete
            else EndpointListKind.CHANGES
        )
        self.events.append(
            EndpointListChanged(
                kind,
                tuple(endpoint.to_entry(1) for endpoint in endpoint_list.endpoints),
            )
        )
        self.round()
        self.changed.set()

    def sends_to_endpoint(self) -> bool:
        """Whether the dispatcher still sends to the only endpoint."""
        return bool(self.dispatcher.state.serving_endpoints)

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.changed.clear()
            await self.changed.wait()


def listing(seq: int, health: str | None, complete: bool = True) -> Answer:
    hosts = (
        []
        if health is None
        else [
            {
                "host": "s1",
                "dial": "127.0.0.1:9",
                "site": "x",
                "class": "plain",
                "block": 7,
                "health": health,
                "share": 1.0,
                "born_ms": 0,
            }
        ]
    )
    return Answer(
        200, body=json.dumps({"seq": seq, "whole": complete, "hosts": hosts}).encode()
    )


SILENT = b""
PARTIAL_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{"seq": 2, '


class Agent:
    """Discovery's agent: gives the answers in `left` in turn, then its current list. It
    holds a watch for the requested time; `SILENT` is an answer of no bytes; `slow`
    delays other answers by that many seconds.
    """

    def __init__(self) -> None:
        self.left: list[Answer | bytes | None] = []
        self.health, self.seq, self.slow = "up", 1, 0.0
        self.silent = asyncio.Event()

    async def __call__(self, request: Request) -> Answer | bytes | None:
        if self.left:
            answer = self.left.pop(0)
            if answer == SILENT:
                self.silent.set()
            elif self.slow:
                await asyncio.sleep(self.slow)
            return answer
        if "from=" in request.path:
            since = int(request.path.partition("from=")[2].partition("&")[0])
            hold_ms = int(request.path.partition("hold_ms=")[2])
            if since == self.seq:
                await asyncio.sleep(hold_ms / 1000)
                return listing(self.seq, None, complete=False)
        if self.slow:
            await asyncio.sleep(self.slow)
        return listing(self.seq, self.health)


@pytest.mark.parametrize("pushed", [False, True])
def test_longest_path_of_a_list_change_stays_under_its_limit(
    pushed: bool,
) -> None:
    assert list_latency_bound_s(pushed) <= LIST_LATENCY_LIMIT_S - ROOM_S
    assert (
        list_latency_bound_after_address_change_s(pushed)
        <= LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S - 0.4
    )
    response_timeout_s = (
        endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
        if pushed
        else endpoint_watch.RESPONSE_TIMEOUT_S
    )
    watch_timeout_s = endpoint_watch.WATCH_HOLD_MS / 1000 + endpoint_watch.WATCH_GRACE_S
    max_pause_s = (
        endpoint_watch.RETRY_JITTER * endpoint_watch.PUSHED_RETRY_S
        if pushed
        else MAX_POLL_RETRY_US / SECOND
    )
    assert list_latency_bound_s(pushed) >= watch_timeout_s + 3 * (
        max_pause_s + response_timeout_s
    )
    # A watch continues only if the next call arrives within 200 ms, and counts for 2 s
    # after its hold time.
    assert endpoint_watch.MIN_WATCH_INTERVAL_S <= 0.1
    assert endpoint_watch.WATCH_HOLD_MS / 1000 + 2.0 <= LIST_LATENCY_LIMIT_S


@pytest.mark.parametrize("pushed", [False, True])
def test_call_timeouts_and_pauses_match_the_latency_bound(pushed: bool) -> None:
    async def scene() -> None:
        watch = EndpointWatch(
            Address("127.0.0.1", 1), 5, lambda endpoint_list: None, 1, pushed
        )
        response_timeout_s = (
            endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
            if pushed
            else endpoint_watch.RESPONSE_TIMEOUT_S
        )
        assert watch.next_request() == (
            "/discovery/hosts?from=5&hold_ms=0",
            response_timeout_s,
        )
        watch.confirmed = True
        assert watch.next_request() == (
            f"/discovery/hosts?from=5&hold_ms={endpoint_watch.WATCH_HOLD_MS}",
            endpoint_watch.WATCH_HOLD_MS / 1000 + endpoint_watch.WATCH_GRACE_S,
        )
        watch.version = endpoint_watch.NO_VERSION
        assert watch.next_request() == ("/discovery/hosts", response_timeout_s)
        largest_draw = SimpleNamespace(uniform=lambda a, b: b)
        watch.random = largest_draw  # type: ignore[assignment]
        for watch.failures in range(11):
            assert watch.retry_delay_s() == endpoint_watch.RETRY_JITTER * (
                endpoint_watch.PUSHED_RETRY_S if pushed else endpoint_watch.FAST_RETRY_S
            )

    asyncio.run(scene())


@pytest.mark.parametrize("failures", range(11))
def test_poll_retry_pause_does_not_grow_with_failures(failures: int) -> None:
    """Guards against exponential backoff here: from 0.5 to 4 s, doubled again by jitter,
    the pause alone exceeded the 6 s.
    """
    for seed in range(20):
        dispatch_settings = parse_settings(SETTINGS)
        dispatcher, now = Dispatcher(dispatch_settings, seed, 0), 0
        assert any(
            isinstance(action, SubscribeEndpointList)
            for action in dispatcher.handle(0, [])
        )
        for _ in range(failures + 1):
            failed_at = now
            actions = dispatcher.handle(
                now, [EndpointListChanged(EndpointListKind.FAILED)]
            )
            while not any(
                isinstance(action, SubscribeEndpointList) for action in actions
            ):
                now += next(
                    action.delay_us
                    for action in actions
                    if isinstance(action, SetTimer)
                )
                actions = dispatcher.handle(now, [TimerExpired("look")])
            assert MIN_POLL_RETRY_US <= now - failed_at < MAX_POLL_RETRY_US


class LargestDraw(Random):
    """Random source that always draws the largest value."""

    def uniform(self, a: float, b: float) -> float:
        return b

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        return (start if stop is None else stop) - 1


@pytest.mark.parametrize("failures", [0, 1, 2, 3, 5, 10])
@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("last", ["status", "half", "cut", "stale", "garbage"])
def test_list_change_reaches_the_dispatcher_in_time_on_the_longest_path(
    pushed: bool, failures: int, last: str
) -> None:
    """After `failures` failed calls comes one good answer; the next watch goes silent, and
    discovery receives the drain at that moment. The next call is silent, the one after
    gets the faulty answer `last`, and the final one is nearly as late as its timeout.
    """
    faulty: dict[str, Answer | bytes | None] = {
        "status": Answer(503),
        "half": PARTIAL_RESPONSE,
        "cut": None,
        "stale": listing(0, None, complete=False),
        "garbage": Answer(200, body=b"{"),
    }

    async def scene() -> None:
        agent = Agent()
        agent.left = [listing(1, "up"), *[SILENT] * failures]
        if failures:  # the good answer before the watch goes silent again
            agent.left.append(listing(1, None, complete=False))
        peer = await Peer(agent).start()
        rig = WatchAndDispatcher(Address("127.0.0.1", peer.port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = LargestDraw(3)
        await rig.until(lambda: rig.sends_to_endpoint() and not agent.left)
        assert rig.watch.failures == 0
        agent.silent.clear()
        agent.left = [SILENT]
        await agent.silent.wait()
        drained_at = rig.loop.time()  # the drain arrives while the watch is silent
        agent.health, agent.seq = "draining", 2
        agent.left = [SILENT, faulty[last]]
        agent.slow = 0.95 * (
            endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
            if pushed
            else endpoint_watch.RESPONSE_TIMEOUT_S
        )
        await rig.until(lambda: not rig.sends_to_endpoint())
        latency_s = rig.loop.time() - drained_at
        assert (
            endpoint_watch.WATCH_HOLD_MS / 1000
            < latency_s
            <= list_latency_bound_s(pushed)
            <= LIST_LATENCY_LIMIT_S - ROOM_S
        )
        rig.watch.pause()
        peer.server.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("silent", [0.1, 1.0, 1.7, 2.1, 3.0, 20.0])
@pytest.mark.parametrize("pushed", [False, True])
def test_list_of_a_returning_agent_arrives_within_two_calls_and_a_pause(
    pushed: bool, silent: float
) -> None:
    """However many calls the agent left unanswered, its list arrives within one call, one
    pause and one more call.
    """

    async def scene() -> None:
        agent = Agent()
        peer = await Peer(agent).start()
        rig = WatchAndDispatcher(Address("127.0.0.1", peer.port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = LargestDraw(3)
        await rig.until(rig.sends_to_endpoint)
        agent.left = [SILENT] * 10_000
        await agent.silent.wait()
        await asyncio.sleep(silent)
        agent.health, agent.seq, agent.left = "draining", 2, []
        returned_at = rig.loop.time()
        await rig.until(lambda: not rig.sends_to_endpoint())
        response_timeout_s, max_pause_s = (
            (
                endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S,
                endpoint_watch.RETRY_JITTER * endpoint_watch.PUSHED_RETRY_S,
            )
            if pushed
            else (endpoint_watch.RESPONSE_TIMEOUT_S, MAX_POLL_RETRY_US / SECOND)
        )
        watch_rest_s = max(
            0.0,
            endpoint_watch.WATCH_HOLD_MS / 1000 + endpoint_watch.WATCH_GRACE_S - silent,
        )
        assert (
            rig.loop.time() - returned_at
            <= max(watch_rest_s, response_timeout_s)
            + max_pause_s
            + endpoint_watch.ROUND_ALLOWANCE_S
        )
        rig.watch.pause()
        peer.server.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize(
    "first, second",
    [
        (SILENT, SILENT),
        (SILENT, Answer(503)),
        (PARTIAL_RESPONSE, Answer(200, body=b"[")),
        (None, PARTIAL_RESPONSE),
        (listing(3, None, complete=False), SILENT),
    ],
)
def test_after_sighup_list_of_the_new_address_arrives_in_time(
    pushed: bool, first: Answer | bytes | None, second: Answer | bytes | None
) -> None:
    """Two calls to the new address fail; the dispatcher may still be in its pause after
    earlier failures.
    """

    async def scene() -> None:
        old, new = Agent(), Agent()
        old.left = [listing(1, "up"), *[SILENT] * 10_000]
        peers = [await Peer(agent).start() for agent in (old, new)]
        rig = WatchAndDispatcher(Address("127.0.0.1", peers[0].port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = LargestDraw(3)
        await old.silent.wait()
        await asyncio.sleep(
            endpoint_watch.WATCH_HOLD_MS / 1000 + endpoint_watch.WATCH_GRACE_S + 0.05
        )
        new.health, new.seq, new.left = "draining", 0, [first, second]
        new.slow = 0.95 * (
            endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
            if pushed
            else endpoint_watch.RESPONSE_TIMEOUT_S
        )
        signalled_at = rig.loop.time()
        rig.watch.change_address(Address("127.0.0.1", peers[1].port))
        await rig.until(lambda: not rig.sends_to_endpoint())
        assert (
            rig.loop.time() - signalled_at
            <= list_latency_bound_after_address_change_s(pushed)
            <= LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S - 0.4
        )
        assert [r.path for r in peers[1].requests][:3] == ["/discovery/hosts"] * 3
        rig.watch.pause()
        for peer in peers:
            peer.server.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("pushed", [False, True])
def test_after_sighup_a_silent_watch_is_detected_in_time(
    pushed: bool,
) -> None:
    async def scene() -> None:
        old, new = Agent(), Agent()
        peers = [await Peer(agent).start() for agent in (old, new)]
        rig = WatchAndDispatcher(Address("127.0.0.1", peers[0].port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = LargestDraw(3)
        await rig.until(rig.sends_to_endpoint)
        new.left = [listing(1, "up"), SILENT]
        new.slow = 0.95 * (
            endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
            if pushed
            else endpoint_watch.RESPONSE_TIMEOUT_S
        )
        signalled_at = rig.loop.time()
        rig.watch.change_address(Address("127.0.0.1", peers[1].port))
        await new.silent.wait()
        new.health, new.seq = "draining", 2
        await rig.until(lambda: not rig.sends_to_endpoint())
        assert (
            rig.loop.time() - signalled_at
            <= list_latency_bound_after_address_change_s(pushed)
            <= LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S - 0.4
        )
        rig.watch.pause()
        for peer in peers:
            peer.server.close()

    in_virtual_time(scene)
