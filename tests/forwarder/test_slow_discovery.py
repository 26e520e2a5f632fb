"""Discovery that answers each request later than the timeout of a request is still
heard, on a few connections.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from rainfall.forwarder.config.address import Address
from rainfall.forwarder.config.loading import EndpointList
from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch
from rainfall.forwarder.discovery.late_responses import MAX_LATE_CONNECTIONS
from tests.support.kernel_figures import open_connections
from tests.support.loopback_peers import PATIENCE, Answer, Platform, Request

LATE_S = 0.7
"""Later than the timeouts of a request, and than the grace of a held one."""


class SlowPlatform(Platform):
    """Answers each request `late_s` late."""

    def __init__(self, late_s: float) -> None:
        super().__init__()
        self.late_s = late_s
        self.handler = self.answer_late

    async def answer_late(self, request: Request) -> Answer | bytes | None:
        answer = await self.answer(request)
        await asyncio.sleep(self.late_s)
        return answer

    def open_connections(self) -> int:
        """Count the connections that the forwarder's side has open."""
        return sum(c.remote_port == self.port for c in open_connections())


class Subscriber:
    """Subscribes again after each failure, as the dispatcher does."""

    def __init__(self, platform: Platform, pushed: bool) -> None:
        self.versions: list[int] = []
        self.health: dict[str, str] = {}
        self.watch = EndpointWatch(
            Address("127.0.0.1", platform.port), -1, self.on_list, 1, pushed
        )

    def on_list(self, endpoints: EndpointList | None) -> None:
        if endpoints is None:
            asyncio.get_running_loop().call_later(0.1, self.watch.subscribe)
            return
        self.versions.append(endpoints.version)
        self.health.update({e.name: e.health for e in endpoints.endpoints})

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                await asyncio.sleep(0.01)


def play(
    scene: Callable[[SlowPlatform, Subscriber], Awaitable[None]],
    pushed: bool,
    late_s: float = LATE_S,
) -> None:
    async def run() -> None:
        platform = SlowPlatform(late_s)
        await platform.start()
        platform.host("s", 9)
        subscriber = Subscriber(platform, pushed)
        subscriber.watch.subscribe()
        try:
            await scene(platform, subscriber)
        finally:
            subscriber.watch.pause()
            platform.server.close()

    asyncio.run(run())


@pytest.mark.parametrize("pushed", [True, False])
@pytest.mark.parametrize("late_s", [LATE_S, 2.5])
def test_list_and_changes_of_slow_discovery_are_heard(
    late_s: float, pushed: bool
) -> None:
    async def scene(platform: SlowPlatform, subscriber: Subscriber) -> None:
        await subscriber.until(lambda: subscriber.health == {"s": "up"})
        await platform.change("s", "draining")
        await subscriber.until(lambda: subscriber.health == {"s": "draining"})
        assert subscriber.versions == sorted(subscriber.versions)

    play(scene, pushed, late_s)


def test_connections_to_silent_discovery_are_few() -> None:
    async def scene(platform: SlowPlatform, subscriber: Subscriber) -> None:
        await platform.wait_for_requests(12)
        late_responses = subscriber.watch.late_responses
        assert len(late_responses.timers) == MAX_LATE_CONNECTIONS
        # One more may be given up and not closed yet, and one is in use.
        assert 0 < platform.open_connections() <= MAX_LATE_CONNECTIONS + 2
        subscriber.watch.pause()
        assert not late_responses.timers

    play(scene, pushed=True, late_s=3600)


def test_late_responses_are_given_up_once_a_request_is_answered_in_time() -> None:
    async def scene(platform: SlowPlatform, subscriber: Subscriber) -> None:
        late_responses = subscriber.watch.late_responses
        await subscriber.until(lambda: bool(late_responses.timers))
        platform.late_s = 0.0
        await platform.change("s", "draining")
        await subscriber.until(lambda: subscriber.health == {"s": "draining"})
        assert not late_responses.timers
        assert subscriber.versions == sorted(subscriber.versions)

    play(scene, pushed=True)
