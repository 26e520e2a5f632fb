"""Races around a notification: its answer is lost, late or on another connection, the
address changes, the process stops, or the call that timed out is answered 200.
"""

from __future__ import annotations

import asyncio
import json
import resource
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.discovery import endpoint_watch
from rainfall.forwarder.discovery.endpoint_watch import (
    NOTIFICATION_RESPONSE_TIMEOUT_LIMIT_S,
    NOTIFICATION_RESPONSE_TIMEOUT_S,
    Notifier,
    notification_latency_bound_s,
)
from rainfall.forwarder.message_store import PendingNotification
from tests.forwarder.test_endpoint_list_deadline import LargestDraw, in_virtual_time
from tests.forwarder.test_program import node_on, play, target
from tests.support.loopback_peers import OK, PATIENCE, Answer, Peer, Platform, Request

OVERDUE_S = 0.3  # latest time of a notification after the message's deadline
SILENT = b""
TAKEN = Answer(204)
Step = Answer | bytes | None


class PendingNotifications:
    """Stands for the message store: pending and acknowledged notifications."""

    def __init__(self, *ids: str) -> None:
        self.pending = {name: PendingNotification("failed", 0) for name in ids}
        self.acknowledged: list[str] = []
        self.changed = asyncio.Event()

    def pending_notifications(self) -> dict[str, PendingNotification]:
        return dict(self.pending)

    def acknowledge_notifications(self, ids: list[str]) -> None:
        for name in ids:
            self.pending.pop(name, None)
        self.acknowledged += ids
        self.changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def posted_ids(request: Request) -> list[str]:
    return [json.loads(line)["id"] for line in request.body.splitlines()]


async def scripted_platform(*steps: Step | Callable[[Request], Step]) -> Peer:
    """Start a platform that gives the answers in turn, on any connection, and repeats the
    last one.
    """
    left = list(steps)

    async def handler(request: Request) -> Step:
        step = left.pop(0) if len(left) > 1 else left[0]
        return step(request) if callable(step) else step

    return await Peer(handler).start()


def create_notifier(peer: Peer, store: PendingNotifications) -> Notifier:
    notifier = Notifier(Address("127.0.0.1", peer.port), store, 1)
    notifier.random = LargestDraw(1)
    return notifier


def test_silent_post_leaves_time_for_another() -> None:
    """By the constants, one silent post and one that failed stay under the overdue limit,
    the loop's own time included; the timeout grows for a platform that is always slow.
    """
    assert notification_latency_bound_s() <= OVERDUE_S - 0.05
    assert [
        Notifier.response_timeout_s(n) / NOTIFICATION_RESPONSE_TIMEOUT_S
        for n in range(3)
    ] == [1, 1, 2]
    assert (
        Notifier.response_timeout_s(10**6)
        == NOTIFICATION_RESPONSE_TIMEOUT_LIMIT_S
        > 4 * NOTIFICATION_RESPONSE_TIMEOUT_S
    )


@pytest.mark.parametrize(
    "lost",
    [SILENT, b"HTTP/1.1 204 No", None, Answer(503), Answer(200), b"nonsense\r\n"],
)
@pytest.mark.parametrize("kept", [True, False])
def test_notification_with_a_lost_204_is_posted_again_before_it_is_overdue(
    lost: Step, kept: bool
) -> None:
    """On a persistent or a new connection the answer is silence, a partial status line, a
    closed connection, an unexpected status or garbage. Guards against a timeout of 2.5 s
    for a silent post.
    """

    async def scene() -> None:
        steps = [TAKEN, lost] if kept else [lost]
        peer = await scripted_platform(*steps, TAKEN)
        store = PendingNotifications(*["first"] if kept else [])
        notifier = create_notifier(peer, store)
        loop = asyncio.get_running_loop()
        if kept:
            notifier.post_pending()
            await store.until(lambda: store.acknowledged == ["first"])
            store.acknowledged.clear()
        store.pending["m"] = PendingNotification("failed", 0)
        started_at = loop.time()
        notifier.post_pending()
        await store.until(lambda: bool(store.acknowledged))
        assert loop.time() - started_at <= notification_latency_bound_s() < OVERDUE_S
        assert store.acknowledged == ["m"] and [
            posted_ids(r) for r in peer.requests[-2:]
        ] == [
            ["m"],
            ["m"],
        ]
        if not isinstance(lost, Answer):
            assert peer.requests[-1].writer is not peer.requests[-2].writer
        notifier.pause()

    in_virtual_time(scene)


def test_late_204_of_a_silent_connection_acknowledges_no_other_post() -> None:
    """The first post's answer arrives while the second post, with one more notification,
    is in flight.
    """

    async def scene() -> None:
        def answer_first_post(request: Request) -> bytes:
            peer.requests[0].writer.write(b"HTTP/1.1 204 X\r\n\r\n")
            return SILENT

        def add_notification(request: Request) -> bytes:
            store.pending["b"] = PendingNotification("failed", 0)
            return SILENT

        peer = await scripted_platform(add_notification, answer_first_post, TAKEN)
        store = PendingNotifications("a")
        notifier = create_notifier(peer, store)
        notifier.post_pending()
        await store.until(lambda: bool(store.acknowledged))
        assert [posted_ids(r) for r in peer.requests] == [["a"], ["a", "b"], ["a", "b"]]
        assert store.acknowledged == ["a", "b"]
        assert len({r.writer for r in peer.requests}) == 3
        notifier.pause()

    in_virtual_time(scene)


def test_notification_added_during_a_post_is_not_acknowledged_with_it() -> None:
    async def scene() -> None:
        def add_notification(request: Request) -> Answer:
            store.pending["b"] = PendingNotification("returned", 5)
            notifier.post_pending()
            return TAKEN

        peer = await scripted_platform(add_notification, TAKEN)
        store = PendingNotifications("a")
        notifier = create_notifier(peer, store)
        notifier.post_pending()
        await store.until(lambda: len(store.acknowledged) == 2)
        assert [posted_ids(r) for r in peer.requests] == [["a"], ["b"]]
        assert b'"after_ms":5' in peer.requests[1].body
        notifier.pause()

    in_virtual_time(scene)


def test_address_change_right_after_the_204_posts_again_at_the_new_address() -> None:
    """The answer has arrived, the post's task has not resumed, and SIGHUP changes the
    address: a duplicate notification does no harm.
    """

    async def scene() -> None:
        old, new = await scripted_platform(SILENT), await scripted_platform(TAKEN)
        store = PendingNotifications("a")
        notifier = create_notifier(old, store)
        notifier.post_pending()
        await old.wait_for_requests(1)
        notifier.client.connection.data_received(b"HTTP/1.1 204 X\r\n\r\n")
        notifier.change_address(Address("127.0.0.1", new.port))
        await store.until(lambda: bool(store.acknowledged))
        assert store.acknowledged == ["a"] and [
            posted_ids(r) for r in new.requests
        ] == [["a"]]
        notifier.pause()

    in_virtual_time(scene)


def test_204_right_before_a_pause_is_not_acknowledged_and_sighup_does_not_post() -> (
    None
):
    """A paused or stopped process writes nothing: another may own the journal by then."""

    async def scene() -> None:
        old, new = await scripted_platform(SILENT), await scripted_platform(TAKEN)
        store = PendingNotifications("a")
        notifier = create_notifier(old, store)
        notifier.post_pending()
        await old.wait_for_requests(1)
        notifier.client.connection.data_received(b"HTTP/1.1 204 X\r\n\r\n")
        notifier.pause()
        notifier.change_address(Address("127.0.0.1", new.port))
        assert notifier.task is None
        await old.until(lambda: old.closed == 1)
        assert store.acknowledged == []
        notifier.post_pending()  # resumes posting
        await store.until(lambda: bool(store.acknowledged))
        assert [posted_ids(r) for r in new.requests] == [["a"]]
        notifier.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("slow_s", [0.15, 0.35, 0.7])
def test_notification_to_a_slow_platform_is_acknowledged_eventually(
    slow_s: float,
) -> None:
    """Guards against a timeout that does not grow: the post would be repeated forever and
    never be answered in time.
    """

    async def scene() -> None:
        async def handler(request: Request) -> Answer:
            await asyncio.sleep(slow_s)
            return TAKEN

        peer = await Peer(handler).start()
        store = PendingNotifications("a")
        notifier = create_notifier(peer, store)
        notifier.post_pending()
        await store.until(lambda: bool(store.acknowledged))
        assert store.acknowledged == ["a"] and len(peer.requests) <= 6
        notifier.pause()

    in_virtual_time(scene)


def test_post_without_a_free_descriptor_is_retried_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The process has no free descriptor; once one is free, the next post is made within
    the longest backoff.
    """

    async def scene() -> None:
        peer = await scripted_platform(TAKEN)
        store = PendingNotifications("a")
        notifier = create_notifier(peer, store)
        loop, before = (
            asyncio.get_running_loop(),
            resource.getrlimit(resource.RLIMIT_NOFILE),
        )
        dial, failures = loop.create_connection, []

        async def create(*args: Any, **options: Any) -> Any:
            try:
                return await dial(*args, **options)
            except OSError as error:
                failures.append((error.errno, loop.time()))
                if len(failures) == 8:
                    resource.setrlimit(resource.RLIMIT_NOFILE, before)
                raise

        monkeypatch.setattr(loop, "create_connection", create, raising=False)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, before[1]))
            notifier.post_pending()
            await store.until(lambda: bool(store.acknowledged))
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)
        assert [error_number for error_number, _ in failures] == [24] * 8
        assert (
            loop.time() - failures[-1][1]
            <= endpoint_watch.NOTIFICATION_BACKOFF_LIMIT_S + 0.01
            < OVERDUE_S
        )
        notifier.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("post", ["taken", "silent", "ended"])
def test_200_after_the_deadline_notification_makes_no_second_final_answer(
    tmp_path: Path, post: str
) -> None:
    """The deadline of an at-most-once message has passed and its notification is posted; at
    that moment its endpoint answers 200. The notification is the final answer, the
    message is not sent again, and the connection carries no other call.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        posted = asyncio.Event()

        async def late(request: Request) -> Answer:
            if request.headers["x-correlation-id"] == "late":
                await posted.wait()
            return OK

        peer = await target(platform, late)
        platform_handler = platform.handler

        async def handle(request: Request) -> Answer | bytes | None:
            if request.path != "/v1/notices":
                return await platform_handler(request)
            first = not posted.is_set()
            if first:
                posted.set()
                peer.requests[1].writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                )
                if post != "taken":
                    return SILENT if post == "silent" else None
            return await platform_handler(request)

        platform.handler = handle
        node = await node_on(folder, platform)
        assert (await node.hand_in("first", "pay"))[
            0
        ] == 202  # the connection is reused from the second call on
        await node.wait_for_metrics(lambda f: f["fulfilled"]["pay"] == 1)
        assert (await node.hand_in("late", "pay", left="0.6"))[0] == 202
        assert (await platform.notice("late"))["state"] == "failed"
        await node.wait_for_metrics(lambda f: f["open_requests"] == 0)
        assert (await node.hand_in("next", "pay"))[0] == 202
        figures = await node.wait_for_metrics(lambda f: f["fulfilled"]["pay"] == 2)
        assert figures["faulted"]["pay"] == 1
        assert [r.headers["x-correlation-id"] for r in peer.requests] == [
            "first",
            "late",
            "next",
        ]
        assert peer.requests[1].writer is not peer.requests[2].writer
        assert [n["id"] for n in platform.notices] == ["late"]
        await node.restart()
        assert (await node.hand_in("after", "pay"))[0] == 202
        await peer.wait_for_requests(4)
        assert [n["id"] for n in platform.notices] == [
            "late"
        ]  # a restart keeps the acknowledgement

    play(scene, tmp_path)


@pytest.mark.parametrize("lost", [SILENT, None])
def test_key_waits_until_the_repeated_notification_is_acknowledged(
    tmp_path: Path, lost: bytes | None
) -> None:
    """The first message of a key ends with a notification whose 204 is lost: it is
    finished once the second post is answered.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        second_post, gate = asyncio.Event(), asyncio.Event()

        async def endpoint(request: Request) -> Answer:
            return Answer(500) if request.headers["x-correlation-id"] == "one" else OK

        peer = await target(platform, endpoint)
        platform_handler, posts = platform.handler, []

        async def handle(request: Request) -> Answer | bytes | None:
            if request.path != "/v1/notices":
                return await platform_handler(request)
            posts.append(request)
            if len(posts) == 1:
                return lost
            if not second_post.is_set():
                second_post.set()
                return SILENT
            await gate.wait()
            return await platform_handler(request)

        platform.handler = handle
        node = await node_on(folder, platform, max_attempts=1)
        keyed = {"X_Session_Key": "k"}
        assert (await node.hand_in("one", "turns", **keyed))[0] == 202
        assert (await node.hand_in("two", "turns", **keyed))[0] == 202
        async with asyncio.timeout(PATIENCE):
            await second_post.wait()
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["one"]
        gate.set()
        await peer.wait_for_requests(2)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["one", "two"]
        assert [n["id"] for n in platform.notices if n["id"] != "one"] == []

    play(scene, tmp_path)
