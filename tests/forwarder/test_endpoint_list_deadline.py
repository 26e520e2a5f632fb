"""A change to the list binds 6 s after discovery had it, and 4 s after SIGHUP: the sum
of the longest way by the constants, and the watch with the module on a clock that the
test moves.
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

ROOM_S = 0.5  # that the longest way leaves
SECOND = 1_000_000
REAL_S = 0.006  # what was written to a loopback socket has surely come by then


class Jumps(selectors.DefaultSelector):
    """Waits on sockets as ever, but where nothing comes it lets the loop's clock jump
    to its next timer.
    """

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(timeout if timeout is None or timeout <= 0 else REAL_S)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


def in_virtual_time(scene: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """On a clock of the loop's own: seconds of waiting pass at once, and a busy machine
    takes none.
    """
    jumps = Jumps()
    loop = asyncio.SelectorEventLoop(jumps)
    loop.time = lambda: jumps.now  # type: ignore[method-assign]
    with (
        pytest.MonkeyPatch.context() as patch,
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        patch.setattr(endpoint_watch, "time", SimpleNamespace(monotonic=loop.time))
        runner.run(scene())


class Rig:
    """The watch and the module as the engine joins them: rounds, timers, and the list
    in the module.
    """

    def __init__(self, where: Address, pushed: bool, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        known = replace(
            parse_settings(
                {**SETTINGS, "discovery": "pushed" if pushed else "on_request"}
            )
        )
        self.dispatcher = Dispatcher(known, seed, self.now())
        self.watch = EndpointWatch(where, 0, self.listed, seed, pushed=pushed)
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

    def listed(self, told: EndpointList | None) -> None:
        if told is None:
            self.post(EndpointListChanged(EndpointListKind.FAILED))
            return
        kind = EndpointListKind.SNAPSHOT if told.complete else EndpointListKind.CHANGES
        self.events.append(
            EndpointListChanged(kind, tuple(h.to_entry(1) for h in told.endpoints))
        )
        self.round()
        self.changed.set()

    def serves(self) -> bool:
        """Whether the module still sends to the one endpoint that there is."""
        return bool(self.dispatcher.state.serving_endpoints)

    async def until(self, test: Callable[[], bool]) -> None:
        while not test():
            self.changed.clear()
            await self.changed.wait()


def listing(seq: int, health: str | None, whole: bool = True) -> Answer:
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
        200, body=json.dumps({"seq": seq, "whole": whole, "hosts": hosts}).encode()
    )


SILENT = b""
HALF = b'HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{"seq": 2, '


class Agent:
    """Discovery's agent: answers `left` in turn, then what it has. A watch is held for
    its time and silence is an answer of no bytes; a call's answer comes as late as it
    may where `slow`.
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
                return listing(self.seq, None, whole=False)
        if self.slow:
            await asyncio.sleep(self.slow)
        return listing(self.seq, self.health)


@pytest.mark.parametrize("pushed", [False, True])
def test_the_longest_way_stays_under_the_time_from_which_a_change_binds(
    pushed: bool,
) -> None:
    assert list_latency_bound_s(pushed) <= LIST_LATENCY_LIMIT_S - ROOM_S
    assert (
        list_latency_bound_after_address_change_s(pushed)
        <= LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S - 0.4
    )
    answer = (
        endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
        if pushed
        else endpoint_watch.RESPONSE_TIMEOUT_S
    )
    held = endpoint_watch.WATCH_HOLD_MS / 1000 + endpoint_watch.WATCH_GRACE_S
    pause = (
        endpoint_watch.RETRY_JITTER * endpoint_watch.PUSHED_RETRY_S
        if pushed
        else MAX_POLL_RETRY_US / SECOND
    )
    assert list_latency_bound_s(pushed) >= held + 3 * (pause + answer)
    # A watch continues only where the next call comes within 200 ms, and counts for 2 s
    # after its wait.
    assert endpoint_watch.MIN_WATCH_INTERVAL_S <= 0.1
    assert endpoint_watch.WATCH_HOLD_MS / 1000 + 2.0 <= LIST_LATENCY_LIMIT_S


@pytest.mark.parametrize("pushed", [False, True])
def test_how_long_each_call_may_take_is_what_the_sum_counts(pushed: bool) -> None:
    async def scene() -> None:
        watch = EndpointWatch(Address("127.0.0.1", 1), 5, lambda told: None, 1, pushed)
        answer = (
            endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
            if pushed
            else endpoint_watch.RESPONSE_TIMEOUT_S
        )
        assert watch.next_request() == ("/discovery/hosts?from=5&hold_ms=0", answer)
        watch.confirmed = True
        assert watch.next_request() == (
            f"/discovery/hosts?from=5&hold_ms={endpoint_watch.WATCH_HOLD_MS}",
            endpoint_watch.WATCH_HOLD_MS / 1000 + endpoint_watch.WATCH_GRACE_S,
        )
        watch.version = endpoint_watch.NO_VERSION
        assert watch.next_request() == ("/discovery/hosts", answer)
        most = SimpleNamespace(uniform=lambda a, b: b)
        watch.random = most  # type: ignore[assignment]
        for watch.failures in range(11):
            assert watch.retry_delay_s() == endpoint_watch.RETRY_JITTER * (
                endpoint_watch.PUSHED_RETRY_S if pushed else endpoint_watch.FAST_RETRY_S
            )

    asyncio.run(scene())


@pytest.mark.parametrize("failures", range(11))
def test_the_modules_pause_is_the_same_at_any_number_of_failures(failures: int) -> None:
    """It doubled, from 0.5 to 4 s and as much again by chance: over the 6 s on its
    own.
    """
    for seed in range(20):
        known = parse_settings(SETTINGS)
        dispatcher, now = Dispatcher(known, seed, 0), 0
        assert any(
            isinstance(a, SubscribeEndpointList) for a in dispatcher.handle(0, [])
        )
        for _ in range(failures + 1):
            failed = now
            actions = dispatcher.handle(
                now, [EndpointListChanged(EndpointListKind.FAILED)]
            )
            while not any(isinstance(a, SubscribeEndpointList) for a in actions):
                now += next(a.delay_us for a in actions if isinstance(a, SetTimer))
                actions = dispatcher.handle(now, [TimerExpired("look")])
            assert MIN_POLL_RETRY_US <= now - failed < MAX_POLL_RETRY_US


class Longest(Random):
    """Draws the longest of what may be drawn."""

    def uniform(self, a: float, b: float) -> float:
        return b

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        return (start if stop is None else stop) - 1


@pytest.mark.parametrize("failures", [0, 1, 2, 3, 5, 10])
@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("last", ["status", "half", "cut", "stale", "garbage"])
def test_a_change_reaches_the_module_in_time_on_the_longest_way(
    pushed: bool, failures: int, last: str
) -> None:
    """So many failures, then one good answer; the watch after it goes silent, and
    discovery gets the drain in that moment. The next call is silent, the one after is
    spoilt, the last is as late as it may.
    """
    spoilt: dict[str, Answer | bytes | None] = {
        "status": Answer(503),
        "half": HALF,
        "cut": None,
        "stale": listing(0, None, whole=False),
        "garbage": Answer(200, body=b"{"),
    }

    async def scene() -> None:
        agent = Agent()
        agent.left = [listing(1, "up"), *[SILENT] * failures]
        if failures:  # the answer before the watch goes silent again
            agent.left.append(listing(1, None, whole=False))
        peer = await Peer(agent).start()
        rig = Rig(Address("127.0.0.1", peer.port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = Longest(3)
        await rig.until(lambda: rig.serves() and not agent.left)
        assert rig.watch.failures == 0
        agent.silent.clear()
        agent.left = [SILENT]
        await agent.silent.wait()
        had = rig.loop.time()  # the held watch is dead, and now the drain comes
        agent.health, agent.seq = "draining", 2
        agent.left = [SILENT, spoilt[last]]
        agent.slow = 0.95 * (
            endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
            if pushed
            else endpoint_watch.RESPONSE_TIMEOUT_S
        )
        await rig.until(lambda: not rig.serves())
        took = rig.loop.time() - had
        assert (
            endpoint_watch.WATCH_HOLD_MS / 1000
            < took
            <= list_latency_bound_s(pushed)
            <= LIST_LATENCY_LIMIT_S - ROOM_S
        )
        rig.watch.pause()
        peer.server.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("silent", [0.1, 1.0, 1.7, 2.1, 3.0, 20.0])
@pytest.mark.parametrize("pushed", [False, True])
def test_an_agent_that_was_silent_is_heard_at_once_on_its_return(
    pushed: bool, silent: float
) -> None:
    """However many calls it left unanswered, what it has then is heard within a call, a
    pause, a call.
    """

    async def scene() -> None:
        agent = Agent()
        peer = await Peer(agent).start()
        rig = Rig(Address("127.0.0.1", peer.port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = Longest(3)
        await rig.until(rig.serves)
        agent.left = [SILENT] * 10_000
        await agent.silent.wait()
        await asyncio.sleep(silent)
        agent.health, agent.seq, agent.left = "draining", 2, []
        back = rig.loop.time()
        await rig.until(lambda: not rig.serves())
        answer, pause = (
            (
                endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S,
                endpoint_watch.RETRY_JITTER * endpoint_watch.PUSHED_RETRY_S,
            )
            if pushed
            else (endpoint_watch.RESPONSE_TIMEOUT_S, MAX_POLL_RETRY_US / SECOND)
        )
        held = max(
            0.0,
            endpoint_watch.WATCH_HOLD_MS / 1000 + endpoint_watch.WATCH_GRACE_S - silent,
        )
        assert (
            rig.loop.time() - back
            <= max(held, answer) + pause + endpoint_watch.ROUND_ALLOWANCE_S
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
        (HALF, Answer(200, body=b"[")),
        (None, HALF),
        (listing(3, None, whole=False), SILENT),
    ],
)
def test_after_sighup_the_new_address_is_heard_in_time(
    pushed: bool, first: Answer | bytes | None, second: Answer | bytes | None
) -> None:
    """Two calls there that fail as late as they may; the module may be pausing after
    failures of before.
    """

    async def scene() -> None:
        old, new = Agent(), Agent()
        old.left = [listing(1, "up"), *[SILENT] * 10_000]
        peers = [await Peer(agent).start() for agent in (old, new)]
        rig = Rig(Address("127.0.0.1", peers[0].port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = Longest(3)
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
        signal = rig.loop.time()
        rig.watch.change_address(Address("127.0.0.1", peers[1].port))
        await rig.until(lambda: not rig.serves())
        assert (
            rig.loop.time() - signal
            <= list_latency_bound_after_address_change_s(pushed)
            <= LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S - 0.4
        )
        assert [r.path for r in peers[1].requests][:3] == ["/discovery/hosts"] * 3
        rig.watch.pause()
        for peer in peers:
            peer.server.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("pushed", [False, True])
def test_after_sighup_a_watch_that_goes_silent_at_once_is_found_out_in_time(
    pushed: bool,
) -> None:
    async def scene() -> None:
        old, new = Agent(), Agent()
        peers = [await Peer(agent).start() for agent in (old, new)]
        rig = Rig(Address("127.0.0.1", peers[0].port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = Longest(3)
        await rig.until(rig.serves)
        new.left = [listing(1, "up"), SILENT]
        new.slow = 0.95 * (
            endpoint_watch.PUSHED_RESPONSE_TIMEOUT_S
            if pushed
            else endpoint_watch.RESPONSE_TIMEOUT_S
        )
        signal = rig.loop.time()
        rig.watch.change_address(Address("127.0.0.1", peers[1].port))
        await new.silent.wait()
        new.health, new.seq = "draining", 2
        await rig.until(lambda: not rig.serves())
        assert (
            rig.loop.time() - signal
            <= list_latency_bound_after_address_change_s(pushed)
            <= LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S - 0.4
        )
        rig.watch.pause()
        for peer in peers:
            peer.server.close()

    in_virtual_time(scene)
