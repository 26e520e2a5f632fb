"""Watches that go silent late, while they are held, and lists that come whole and
indented.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.discovery.endpoint_watch import (
    LIST_LATENCY_LIMIT_S,
    list_latency_bound_s,
)
from tests.forwarder.test_endpoint_list_deadline import (
    ROOM_S,
    SILENT,
    Agent,
    LargestDraw,
    WatchAndDispatcher,
    in_virtual_time,
    listing,
)
from tests.support.loopback_peers import Answer, Peer, Request

LATE_S = 13.0


class SilentLater(Agent):
    """Gives no response to the requests that are open when `fall_silent` is called. Its
    responses are indented, and always the whole list if `whole`.
    """

    def __init__(self, whole: bool) -> None:
        super().__init__()
        self.whole = whole
        self.open: set[int] = set()
        self.dead: set[int] = set()

    def fall_silent(self) -> None:
        self.dead |= self.open

    async def __call__(self, request: Request) -> Answer | bytes | None:
        number = id(request)
        self.open.add(number)
        answer = await super().__call__(request)
        self.open.discard(number)
        if number in self.dead:
            return SILENT
        assert isinstance(answer, Answer)
        listed = json.loads(answer.body)
        if self.whole and not listed["whole"]:
            listed = {
                **listed,
                "whole": True,
                "hosts": json.loads(listing(self.seq, self.health).body)["hosts"],
            }
        return Answer(200, body=json.dumps(listed, indent=4).encode())


@pytest.mark.parametrize("into_hold", [0.0, 0.7, 1.4])
@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("pushed", [False, True])
def test_list_latency_stays_bounded_when_a_watch_goes_silent_after_13_s(
    pushed: bool, whole: bool, into_hold: float
) -> None:
    async def scene() -> None:
        agent = SilentLater(whole)
        peer = await Peer(agent).start()
        rig = WatchAndDispatcher(Address("127.0.0.1", peer.port), pushed, 3)
        rig.watch.random = rig.dispatcher.state.random = LargestDraw(3)
        await rig.until(rig.sends_to_endpoint)
        await asyncio.sleep(LATE_S + into_hold)
        assert rig.sends_to_endpoint() and agent.open
        agent.fall_silent()
        agent.health, agent.seq = "draining", 2
        silent_since = rig.loop.time()
        await rig.until(lambda: not rig.sends_to_endpoint())
        assert (
            rig.loop.time() - silent_since
            <= list_latency_bound_s(pushed)
            <= LIST_LATENCY_LIMIT_S - ROOM_S
        )
        rig.watch.pause()
        peer.server.close()

    in_virtual_time(scene)
