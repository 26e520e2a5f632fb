"""Two events that cross at a notice: its answer lost, late or from another connection,
a move, a stop, and a 200 of the call that was given up.
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
from tests.forwarder.test_endpoint_list_deadline import Longest, in_virtual_time
from tests.forwarder.test_program import node_on, play, target
from tests.support.loopback_peers import OK, PATIENCE, Answer, Peer, Platform, Request

OVERDUE_S = 0.3  # after its message's time a notice is late
SILENT = b""
TAKEN = Answer(204)
Step = Answer | bytes | None


class Book:
    """What is owed, and what was acknowledged."""

    def __init__(self, *names: str) -> None:
        self.owed = {name: PendingNotification("failed", 0) for name in names}
        self.done: list[str] = []
        self.changed = asyncio.Event()

    def pending_notifications(self) -> dict[str, PendingNotification]:
        return dict(self.owed)

    def acknowledge_notifications(self, names: list[str]) -> None:
        for name in names:
            self.owed.pop(name, None)
        self.done += names
        self.changed.set()

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                self.changed.clear()
                await self.changed.wait()


def names(request: Request) -> list[str]:
    return [json.loads(line)["id"] for line in request.body.splitlines()]


async def platform_that(*steps: Step | Callable[[Request], Step]) -> Peer:
    """Answers in turn, whatever connection asks; the last for ever."""
    left = list(steps)

    async def handler(request: Request) -> Step:
        step = left.pop(0) if len(left) > 1 else left[0]
        return step(request) if callable(step) else step

    return await Peer(handler).start()


def notices(peer: Peer, book: Book) -> Notifier:
    made = Notifier(Address("127.0.0.1", peer.port), book, 1)
    made.random = Longest(1)
    return made


def test_a_post_that_falls_silent_leaves_time_for_another() -> None:
    """From the constants: one silent post and one that ended in an error stay under
    what is overdue, also with the loop's own time; a platform that is slow all the time
    is waited for ever longer.
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
def test_a_notice_whose_204_is_lost_is_posted_again_before_it_is_overdue(
    lost: Step, kept: bool
) -> None:
    """On a kept connection or a new one: silent, half a first line, ended, refused,
    spoilt. A silent post was waited for for 2.5 s.
    """

    async def scene() -> None:
        steps = [TAKEN, lost] if kept else [lost]
        peer = await platform_that(*steps, TAKEN)
        book = Book(*["first"] if kept else [])
        posts = notices(peer, book)
        loop = asyncio.get_running_loop()
        if kept:
            posts.post_pending()
            await book.until(lambda: book.done == ["first"])
            book.done.clear()
        book.owed["m"] = PendingNotification("failed", 0)
        kicked = loop.time()
        posts.post_pending()
        await book.until(lambda: bool(book.done))
        assert loop.time() - kicked <= notification_latency_bound_s() < OVERDUE_S
        assert book.done == ["m"] and [names(r) for r in peer.requests[-2:]] == [
            ["m"],
            ["m"],
        ]
        if not isinstance(lost, Answer):
            assert peer.requests[-1].writer is not peer.requests[-2].writer
        posts.pause()

    in_virtual_time(scene)


def test_the_late_204_of_a_silent_connection_acknowledges_no_other_post() -> None:
    """The first post's answer comes while the second, which tells one more end, is
    out.
    """

    async def scene() -> None:
        def late(request: Request) -> bytes:
            peer.requests[0].writer.write(b"HTTP/1.1 204 X\r\n\r\n")
            return SILENT

        def add(request: Request) -> bytes:
            book.owed["b"] = PendingNotification("failed", 0)
            return SILENT

        peer = await platform_that(add, late, TAKEN)
        book = Book("a")
        posts = notices(peer, book)
        posts.post_pending()
        await book.until(lambda: bool(book.done))
        assert [names(r) for r in peer.requests] == [["a"], ["a", "b"], ["a", "b"]]
        assert book.done == ["a", "b"]
        assert len({r.writer for r in peer.requests}) == 3
        posts.pause()

    in_virtual_time(scene)


def test_what_is_owed_while_a_post_is_out_is_not_acknowledged_with_it() -> None:
    async def scene() -> None:
        def add(request: Request) -> Answer:
            book.owed["b"] = PendingNotification("returned", 5)
            posts.post_pending()
            return TAKEN

        peer = await platform_that(add, TAKEN)
        book = Book("a")
        posts = notices(peer, book)
        posts.post_pending()
        await book.until(lambda: len(book.done) == 2)
        assert [names(r) for r in peer.requests] == [["a"], ["b"]]
        assert b'"after_ms":5' in peer.requests[1].body
        posts.pause()

    in_virtual_time(scene)


def test_a_move_in_the_turn_of_the_204_posts_again_at_the_new_address() -> None:
    """The answer is here, the post has not been woken, and SIGHUP moves it: a notice
    twice does no harm.
    """

    async def scene() -> None:
        old, new = await platform_that(SILENT), await platform_that(TAKEN)
        book = Book("a")
        posts = notices(old, book)
        posts.post_pending()
        await old.got(1)
        posts.client.connection.data_received(b"HTTP/1.1 204 X\r\n\r\n")
        posts.change_address(Address("127.0.0.1", new.port))
        await book.until(lambda: bool(book.done))
        assert book.done == ["a"] and [names(r) for r in new.requests] == [["a"]]
        posts.pause()

    in_virtual_time(scene)


def test_a_204_in_the_turn_of_a_pause_is_not_booked_and_no_sighup_posts_anew() -> None:
    """What is held or ended writes no more: the journal may be another's by then."""

    async def scene() -> None:
        old, new = await platform_that(SILENT), await platform_that(TAKEN)
        book = Book("a")
        posts = notices(old, book)
        posts.post_pending()
        await old.got(1)
        posts.client.connection.data_received(b"HTTP/1.1 204 X\r\n\r\n")
        posts.pause()
        posts.change_address(Address("127.0.0.1", new.port))
        assert posts.task is None
        await old.until(lambda: old.closed == 1)
        assert book.done == []
        posts.post_pending()  # it goes on
        await book.until(lambda: bool(book.done))
        assert [names(r) for r in new.requests] == [["a"]]
        posts.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("slow_s", [0.15, 0.35, 0.7])
def test_a_platform_that_is_slow_all_the_time_is_heard_in_the_end(
    slow_s: float,
) -> None:
    """A patience that does not grow would post for ever, and hear no answer."""

    async def scene() -> None:
        async def handler(request: Request) -> Answer:
            await asyncio.sleep(slow_s)
            return TAKEN

        peer = await Peer(handler).start()
        book = Book("a")
        posts = notices(peer, book)
        posts.post_pending()
        await book.until(lambda: bool(book.done))
        assert book.done == ["a"] and len(peer.requests) <= 6
        posts.pause()

    in_virtual_time(scene)


def test_a_post_with_no_descriptor_left_is_made_again_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Idle clients hold them all; room is made, and the next post is there within the
    longest pause.
    """

    async def scene() -> None:
        peer = await platform_that(TAKEN)
        book = Book("a")
        posts = notices(peer, book)
        loop, before = (
            asyncio.get_running_loop(),
            resource.getrlimit(resource.RLIMIT_NOFILE),
        )
        dial, failed = loop.create_connection, []

        async def create(*args: Any, **more: Any) -> Any:
            try:
                return await dial(*args, **more)
            except OSError as error:
                failed.append((error.errno, loop.time()))
                if len(failed) == 8:
                    resource.setrlimit(resource.RLIMIT_NOFILE, before)
                raise

        monkeypatch.setattr(loop, "create_connection", create, raising=False)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, before[1]))
            posts.post_pending()
            await book.until(lambda: bool(book.done))
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)
        assert [number for number, _ in failed] == [24] * 8
        assert (
            loop.time() - failed[-1][1]
            <= endpoint_watch.NOTIFICATION_BACKOFF_LIMIT_S + 0.01
            < OVERDUE_S
        )
        posts.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("post", ["taken", "silent", "ended"])
def test_a_200_that_comes_after_its_message_was_given_up_makes_no_second_end(
    tmp_path: Path, post: str
) -> None:
    """A once-only message's time is up and its notice is posted; in that moment its
    endpoint answers 200. The notice is its end, it is sent no more, and the connection
    carries no other call.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        posted = asyncio.Event()

        async def late(request: Request) -> Answer:
            if request.headers["x-correlation-id"] == "late":
                await posted.wait()
            return OK

        peer = await target(platform, late)
        inner = platform.handler

        async def noticed(request: Request) -> Answer | bytes | None:
            if request.path != "/v1/notices":
                return await inner(request)
            first = not posted.is_set()
            if first:
                posted.set()
                peer.requests[1].writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                )
                if post != "taken":
                    return SILENT if post == "silent" else None
            return await inner(request)

        platform.handler = noticed
        node = await node_on(folder, platform)
        assert (await node.hand_in("first", "pay"))[
            0
        ] == 202  # a connection is kept from the second call on
        await node.shows(lambda f: f["fulfilled"]["pay"] == 1)
        assert (await node.hand_in("late", "pay", left="0.6"))[0] == 202
        assert (await platform.notice("late"))["state"] == "failed"
        await node.shows(lambda f: f["open_requests"] == 0)
        assert (await node.hand_in("next", "pay"))[0] == 202
        figures = await node.shows(lambda f: f["fulfilled"]["pay"] == 2)
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
        await peer.got(4)
        assert [n["id"] for n in platform.notices] == [
            "late"
        ]  # what was acknowledged is kept as such

    play(scene, tmp_path)


@pytest.mark.parametrize("lost", [SILENT, None])
def test_a_key_waits_for_the_notice_that_is_answered_and_not_for_the_one_that_was_lost(
    tmp_path: Path, lost: bytes | None
) -> None:
    """The first of a key ends by a notice whose 204 is lost: it is over once the second
    post is answered.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        answered, gate = asyncio.Event(), asyncio.Event()

        async def endpoint(request: Request) -> Answer:
            return Answer(500) if request.headers["x-correlation-id"] == "one" else OK

        peer = await target(platform, endpoint)
        inner, posts = platform.handler, []

        async def noticed(request: Request) -> Answer | bytes | None:
            if request.path != "/v1/notices":
                return await inner(request)
            posts.append(request)
            if len(posts) == 1:
                return lost
            if not answered.is_set():
                answered.set()
                return SILENT
            await gate.wait()
            return await inner(request)

        platform.handler = noticed
        node = await node_on(folder, platform, max_attempts=1)
        keyed = {"X_Session_Key": "k"}
        assert (await node.hand_in("one", "turns", **keyed))[0] == 202
        assert (await node.hand_in("two", "turns", **keyed))[0] == 202
        async with asyncio.timeout(PATIENCE):
            await answered.wait()
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["one"]
        gate.set()
        await peer.got(2)
        assert [r.headers["x-correlation-id"] for r in peer.requests] == ["one", "two"]
        assert [n["id"] for n in platform.notices if n["id"] != "one"] == []

    play(scene, tmp_path)
