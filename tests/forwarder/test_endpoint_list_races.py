"""Two events that cross at the list: a watch that goes silent against each other step,
late answers, versions that go back, answers that end with their connection, and no
descriptor left for the dial.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from rainfall.forwarder.config.loading import Address, EndpointList
from rainfall.forwarder.discovery.endpoint_watch import (
    NO_VERSION,
    WATCH_HOLD_MS,
    EndpointWatch,
    HttpClient,
    HttpConnection,
)
from tests.forwarder.test_endpoint_list_deadline import in_virtual_time
from tests.forwarder.test_program import configure, node_on, play, target
from tests.support.loopback_peers import (
    OK,
    PATIENCE,
    Answer,
    Handler,
    Peer,
    Platform,
    Request,
    always,
)

SILENT = b""  # nothing is written, and the connection stays


def listing(
    seq: int, *hosts: tuple[str, str] | tuple[str, str, int], whole: bool = True
) -> bytes:
    entries = [
        {
            "host": name,
            "dial": f"127.0.0.1:{port[0] if port else 9}",
            "site": "x",
            "class": "plain",
            "block": 7,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }
        for name, health, *port in hosts
    ]
    return json.dumps({"seq": seq, "whole": whole, "hosts": entries}).encode()


def answer(body: bytes) -> bytes:
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


UP = answer(listing(1, ("s1", "up")))
DRAINED = answer(listing(2, ("s1", "draining"), whole=False))
HALF = DRAINED[: len(DRAINED) // 2]


class Heard:
    """What a watch told; it is asked to go on after a failure, as the module does."""

    def __init__(
        self, where: Peer, seq: int = NO_VERSION, pushed: bool = False
    ) -> None:
        self.all: list[EndpointList | None] = []
        self.news = asyncio.Event()
        self.watch = EndpointWatch(
            Address("127.0.0.1", where.port), seq, self.listed, 1, pushed
        )
        self.watch.subscribe()

    def listed(self, told: EndpointList | None) -> None:
        self.all.append(told)
        self.news.set()
        if told is None:
            self.watch.subscribe()

    @property
    def told(self) -> list[tuple[int, dict[str, str]]]:
        """Without failures, and what changed nothing."""
        return [
            (t.version, {h.name: h.health for h in t.endpoints})
            for t in self.all
            if t and t.endpoints
        ]

    async def until(self, test: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not test():
                self.news.clear()
                await self.news.wait()


def scripted(*answers: bytes | Callable[[Request], bytes | None] | None) -> Handler:
    """These in turn, whatever connection asks; then watches are held until they are
    given up.
    """
    left = list(answers)

    async def handler(request: Request) -> bytes | None:
        if not left:
            await asyncio.sleep(3600)
        step = left.pop(0)
        return step(request) if callable(step) else step

    return handler


def held(version: int) -> str:
    return f"?from={version}&hold_ms={WATCH_HOLD_MS}"


def paths(peer: Peer) -> list[str]:
    return [r.path.removeprefix("/discovery/hosts") for r in peer.requests]


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("after", [0, 1, 3])
@pytest.mark.parametrize("cut", [SILENT, HALF, DRAINED[:9], DRAINED[:-1]])
def test_silence_right_after_an_answer_or_half_of_one_opens_the_watch_anew(
    cut: bytes, after: int, pushed: bool
) -> None:
    """In its first second or later: the call after it comes on a connection of its own,
    from the version before, and what the silent one says then is nobody's answer.
    """

    async def scene() -> None:
        def late(request: Request) -> bytes:
            silent.requests[-2].writer.write(answer(listing(9, ("s9", "up"))))
            return DRAINED

        quiet = answer(listing(1, whole=False))
        silent = await Peer(scripted(UP, *[quiet] * after, cut, late)).start()
        heard = Heard(silent, pushed=pushed)
        await heard.until(lambda: len(heard.told) == 2)
        assert heard.told == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
        watch, fresh = (
            silent.requests[-2:]
            if len(silent.requests) == after + 3
            else silent.requests[-3:-1]
        )
        assert watch.path.endswith(held(1)) and fresh.path.endswith("from=1&hold_ms=0")
        assert watch.writer is not fresh.writer
        await silent.until(lambda: silent.closed >= 1)
        await silent.got(after + 4)  # the watch goes on on the fresh one
        assert silent.requests[after + 3].writer is fresh.writer
        assert heard.told[2:] == []
        heard.watch.pause()

    in_virtual_time(scene)


def test_an_answer_that_came_in_the_turn_of_sighups_move_is_not_of_the_new_address() -> (
    None
):
    """The bytes are here, the watch has not been woken yet, and then the signal moves
    it.
    """

    async def scene() -> None:
        old = await Peer(scripted(UP, answer(listing(2, ("s1", "draining"))))).start()
        new = await Peer(scripted(answer(listing(0, ("s2", "up"))))).start()
        heard = Heard(old)
        channel_end, ends = HttpConnection.finish_response, []

        def end(channel: HttpConnection, error: Exception | None) -> None:
            channel_end(channel, error)
            ends.append(channel)
            if len(ends) == 2:
                heard.watch.change_address(Address("127.0.0.1", new.port))

        HttpConnection.finish_response = end  # type: ignore[method-assign]
        try:
            await heard.until(lambda: len(heard.told) == 2)
            await new.got(2)
        finally:
            HttpConnection.finish_response = channel_end  # type: ignore[method-assign]
        assert heard.told == [(1, {"s1": "up"}), (0, {"s2": "up"})]
        assert paths(new)[0] == "" and heard.watch.version == 0
        heard.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("first", [SILENT, HALF, None])
def test_silence_during_sighups_move_at_both_addresses(first: bytes | None) -> None:
    """The old watch is silent, the first call at the new address is too, and the old
    one speaks late.
    """

    async def scene() -> None:
        def late(request: Request) -> bytes:
            old.requests[1].writer.write(DRAINED)
            return answer(listing(0, ("s2", "up")))

        old = await Peer(scripted(UP, SILENT)).start()
        new = await Peer(scripted(first, late)).start()
        heard = Heard(old)
        await old.got(2)
        heard.watch.change_address(Address("127.0.0.1", new.port))
        await heard.until(lambda: len(heard.told) == 2)
        assert heard.told == [(1, {"s1": "up"}), (0, {"s2": "up"})]
        assert None not in heard.all  # the module's pause is not waited out
        assert (
            paths(new)[:2] == ["", ""]
            and new.requests[0].writer is not new.requests[1].writer
        )
        heard.watch.pause()

    in_virtual_time(scene)


def test_a_watch_that_ended_in_a_stop_tells_nothing_and_no_sighup_begins_it_anew() -> (
    None
):
    """An answer has come in the turn of the pause; then the configuration names another
    address.
    """

    async def scene() -> None:
        old = await Peer(scripted(UP, SILENT)).start()
        new = await Peer(always(UP)).start()
        heard = Heard(old)
        await old.got(2)
        assert heard.watch.client.connection.response is not None
        heard.watch.client.connection.data_received(
            answer(listing(2, ("s1", "draining")))
        )
        heard.watch.pause()
        heard.watch.change_address(Address("127.0.0.1", new.port))
        assert heard.watch.task is None
        await old.until(lambda: old.closed == 1)
        assert heard.told == [(1, {"s1": "up"})]
        # the new process is gone: this one goes on, where it was told to
        heard.watch.subscribe()
        await heard.until(lambda: len(heard.told) == 2)
        assert paths(new)[0] == ""
        heard.watch.pause()

    in_virtual_time(scene)


def test_a_stop_and_its_taking_back_in_one_turn_leave_the_fresh_watch_its_connection() -> (
    None
):
    """The call that was cancelled ends after the fresh one began, and closes no
    connection but its own.
    """

    async def scene() -> None:
        peer = await Peer(scripted(UP, SILENT, DRAINED)).start()
        heard = Heard(peer)
        await peer.got(2)
        heard.watch.pause()
        heard.watch.subscribe()
        await heard.until(lambda: len(heard.told) == 2)
        assert heard.told[1] == (2, {"s1": "draining"}) and None not in heard.all
        assert peer.requests[2].writer is not peer.requests[1].writer
        heard.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("pushed", [False, True])
def test_a_dial_that_does_not_come_up_is_made_again(pushed: bool) -> None:
    """The machine takes no connection (its backlog is full) while the fresh watch
    dials; then it does.
    """

    async def scene() -> None:
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        where = listener.getsockname()
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(where)
        peer = Peer(scripted(UP))
        peer.port = where[1]
        heard = Heard(peer, seq=1, pushed=pushed)
        async with asyncio.timeout(PATIENCE):
            while heard.watch.failures < 2:
                await asyncio.sleep(0.1)
        assert heard.told == []
        for filler in fillers:
            filler.close()
        server = await asyncio.start_server(peer.serve, sock=listener)
        await heard.until(lambda: bool(heard.told))
        assert paths(peer)[0] == "?from=1&hold_ms=0"
        heard.watch.pause()
        server.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("hosts", [(), (("s1", "up"),)])
@pytest.mark.parametrize("watched", [False, True])
def test_changes_of_a_version_that_went_back_are_not_built_on(
    watched: bool, hosts: tuple[tuple[str, str], ...], pushed: bool
) -> None:
    """Discovery was restored: what came after is gone there, and changes to it say
    nothing of our list.
    """

    async def scene() -> None:
        ours = answer(listing(43, ("s1", "draining"), ("s2", "up")))
        back = answer(listing(41, *hosts, whole=False))
        steps = (
            [ours, answer(listing(43, whole=False)), back] if watched else [ours, back]
        )
        peer = await Peer(
            scripted(*steps, answer(listing(41, ("s1", "draining"))))
        ).start()
        heard = Heard(peer, pushed=pushed)
        await peer.got(len(steps) + 2)
        assert heard.told == [
            (43, {"s1": "draining", "s2": "up"}),
            (41, {"s1": "draining"}),
        ]
        assert paths(peer)[len(steps) :] == ["", held(41)]
        heard.watch.pause()

    in_virtual_time(scene)


def test_a_whole_list_of_a_version_that_went_back_is_what_there_is_now() -> None:
    async def scene() -> None:
        peer = await Peer(
            scripted(
                answer(listing(43, ("s1", "up"), ("s2", "up"))),
                answer(listing(5, ("s1", "up"))),
            )
        ).start()
        heard = Heard(peer)
        await peer.got(3)
        assert heard.told == [(43, {"s1": "up", "s2": "up"}), (5, {"s1": "up"})]
        assert paths(peer) == ["", held(43), held(5)]
        heard.watch.pause()

    in_virtual_time(scene)


def test_changes_in_place_of_the_whole_list_are_refused() -> None:
    """What the list of before held and the new one does not would stay in it."""

    async def scene() -> None:
        peer = await Peer(
            scripted(answer(listing(7, ("s1", "up"), whole=False)), UP)
        ).start()
        heard = Heard(peer)
        await peer.got(3)
        assert heard.told == [(1, {"s1": "up"})] and paths(peer)[:2] == ["", ""]
        heard.watch.pause()

    in_virtual_time(scene)


def test_a_list_that_cannot_be_booked_is_asked_for_again() -> None:
    """Whatever is wrong with it, the asking went on before only where the answer could
    not be read.
    """

    async def scene() -> None:
        peer = await Peer(scripted(UP, DRAINED, DRAINED)).start()
        heard = Heard(peer)
        listed, raised = heard.watch.on_list, []

        def once(told: EndpointList | None) -> None:
            if told is not None and told.version == 2 and not raised:
                raised.append(told)
                raise ValueError("bad entry")
            listed(told)

        heard.watch.on_list = once
        await peer.got(4)
        assert heard.told == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
        assert paths(peer)[1:3] == [held(1), "?from=1&hold_ms=0"]
        heard.watch.pause()

    in_virtual_time(scene)


def chunked(body: bytes, size: int) -> bytes:
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    return (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
        + b"0\r\n\r\n"
    )


BODY = listing(2, ("s1", "draining"), whole=False)
INDENTED = (
    json.dumps(json.loads(BODY), indent=4).replace("\n", "\r\n").encode() + b"\r\n\r\n"
)
ENDED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY
CLOSES = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)


@pytest.mark.parametrize(
    "bytes_, last",
    [
        (answer(INDENTED), False),
        (chunked(BODY, 1), False),
        (chunked(INDENTED, 7), False),
        (CLOSES, False),
        (CLOSES, True),
        (DRAINED, True),
        (chunked(BODY, 5), True),
        (ENDED, True),
        (b"HTTP/1.0 200 OK\r\n\r\n" + INDENTED, True),
    ],
)
def test_each_form_of_an_answer_is_heard_also_where_the_connection_ends_with_it(
    bytes_: bytes, last: bool
) -> None:
    """Indented, chunked, told to be the last, and with no length but the connection's
    end.
    """

    async def scene() -> None:
        def write(request: Request) -> bytes | None:
            request.writer.write(bytes_)
            return None if last else b""

        peer = await Peer(scripted(UP, write)).start()
        heard = Heard(peer)
        await peer.got(3)
        assert (
            heard.told == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
            and None not in heard.all
        )
        assert paths(peer)[2] == held(2)
        closes = last or bytes_ is CLOSES
        assert (peer.requests[2].writer is not peer.requests[1].writer) is closes
        heard.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize(
    "cut",
    [DRAINED[:-1], HALF, DRAINED[:5], chunked(BODY, 9)[:-7], ENDED[:-9], ENDED[:40]],
)
def test_a_list_cut_off_by_its_connections_end_is_asked_for_again_and_not_believed(
    cut: bytes,
) -> None:
    """The call is made once more on another connection; where that is cut off too, it
    has failed.
    """

    async def scene() -> None:
        def write(request: Request) -> None:
            request.writer.write(cut)

        peer = await Peer(scripted(UP, write, write, DRAINED)).start()
        heard = Heard(peer)
        await heard.until(lambda: len(heard.told) == 2)
        assert heard.told == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
        assert set(paths(peer)[1:4]) <= {held(1), "?from=1&hold_ms=0"}
        heard.watch.pause()

    in_virtual_time(scene)


def test_bytes_that_nobody_asked_for_do_not_begin_the_next_answer() -> None:
    """Half of a second answer comes between two calls, the rest of it with the next
    answer.
    """

    async def scene() -> None:
        stray = answer(b"stray")

        def second(request: Request) -> bytes:
            peer.requests[0].writer.write(stray[20:])
            return DRAINED

        peer = await Peer(scripted(UP, second)).start()
        client = HttpClient(Address("127.0.0.1", peer.port))
        assert (await client.request("GET", "/a", PATIENCE)).body == UP.partition(
            b"\r\n\r\n"
        )[2]
        peer.requests[0].writer.write(stray[:20])
        async with asyncio.timeout(PATIENCE):
            while client.connection.is_usable() and client.connection.reader.keep_alive:
                await asyncio.sleep(0.005)
        assert (await client.request("GET", "/b", PATIENCE)).body == DRAINED.partition(
            b"\r\n\r\n"
        )[2]
        client.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("how", ["cancelled", "given up"])
def test_the_late_answer_of_a_call_that_is_not_waited_for_is_not_the_next_calls(
    how: str,
) -> None:
    async def scene() -> None:
        def second(request: Request) -> bytes:
            peer.requests[1].writer.write(UP)
            return DRAINED

        peer = await Peer(scripted(UP, SILENT, second)).start()
        client = HttpClient(Address("127.0.0.1", peer.port))
        await client.request("GET", "/first", PATIENCE)
        if how == "cancelled":
            task = asyncio.create_task(client.request("GET", "/a", PATIENCE))
            await peer.got(2)
            client.connection.data_received(HALF)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
        else:
            with pytest.raises(TimeoutError):
                await client.request("GET", "/a", 0.1)
        assert not client.connection.is_usable()
        assert (await client.request("GET", "/b", PATIENCE)).body == DRAINED.partition(
            b"\r\n\r\n"
        )[2]
        assert peer.requests[2].writer is not peer.requests[1].writer
        client.close()

    in_virtual_time(scene)


def test_a_dial_given_up_takes_no_answer_of_the_call_before() -> None:
    async def scene() -> None:
        peer = await Peer(always(Answer(200, {"Connection": "close"}, b"old"))).start()
        client = HttpClient(Address("127.0.0.1", peer.port))
        assert (await client.request("GET", "/a", PATIENCE)).body == b"old"
        peer.server.close()
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        client.address = Address("127.0.0.1", listener.getsockname()[1])
        with pytest.raises(TimeoutError):
            await client.request("GET", "/b", 0.1)
        for s in (listener, *fillers):
            s.close()

    in_virtual_time(scene)


def test_an_answer_that_came_while_the_loop_stood_still_is_in_time() -> None:
    """The time is up and the answer is here, both seen in the same turn of the loop."""
    listener = socket.create_server(("127.0.0.1", 0))
    go, sent = threading.Event(), threading.Event()

    def serve() -> None:
        connection, _ = listener.accept()
        connection.recv(4096)
        go.wait(PATIENCE)
        connection.sendall(UP)
        sent.set()
        connection.recv(1)
        connection.close()

    async def scene() -> None:
        client = HttpClient(Address("127.0.0.1", listener.getsockname()[1]))
        task = asyncio.create_task(client.request("GET", "/a", 0.3))
        while client.connection.response is None:
            await asyncio.sleep(0)
        until = time.monotonic() + 0.35
        go.set()
        assert sent.wait(PATIENCE)
        time.sleep(
            max(0.0, until - time.monotonic())
        )  # the loop stands still past the call's time
        assert (await task).status == 200
        client.close()

    thread = threading.Thread(target=serve)
    thread.start()
    asyncio.run(scene())
    thread.join()
    listener.close()


@pytest.mark.parametrize("pushed", [False, True])
def test_a_dial_with_no_descriptor_left_is_made_again_soon(
    pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Idle clients hold them all when discovery's connection has to be made anew."""

    async def scene() -> None:
        peer = await Peer(scripted(UP, None, DRAINED)).start()
        heard = Heard(peer, pushed=pushed)
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        failed: list[OSError] = []
        dial = asyncio.get_running_loop().create_connection

        async def create(*args: Any, **more: Any) -> Any:
            try:
                return await dial(*args, **more)
            except OSError as error:
                failed.append(error)
                if len(failed) == 3:  # room is made
                    resource.setrlimit(resource.RLIMIT_NOFILE, before)
                raise

        monkeypatch.setattr(
            asyncio.get_running_loop(), "create_connection", create, raising=False
        )
        await peer.got(1)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, before[1]))
            await heard.until(lambda: len(heard.told) == 2)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)
        assert [error.errno for error in failed] == [24] * 3
        assert heard.told[1] == (2, {"s1": "draining"})
        heard.watch.pause()

    in_virtual_time(scene)


def test_a_silent_connections_descriptor_goes_to_the_one_after_it_and_to_no_client() -> (
    None
):
    """Discovery says nothing, and whatever descriptor comes free is taken at once by
    clients that rest.
    """

    async def scene() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        client = HttpClient(Address("127.0.0.1", listener.getsockname()[1]))
        resting: list[int] = []
        before = resource.getrlimit(resource.RLIMIT_NOFILE)

        def flood() -> None:
            with contextlib.suppress(OSError):
                while True:
                    resting.append(os.open(os.devnull, os.O_RDONLY))

        try:
            most = max(map(int, os.listdir("/proc/self/fd"))) + 3
            resource.setrlimit(resource.RLIMIT_NOFILE, (most, before[1]))
            for _ in range(4):
                with pytest.raises(TimeoutError):
                    await client.request("GET", "/discovery/hosts", 0.1)
                for _ in range(3):
                    await asyncio.sleep(0)
                flood()
            assert resting
        finally:
            for number in resting:
                os.close(number)
            resource.setrlimit(resource.RLIMIT_NOFILE, before)
        client.close()
        listener.close()

    in_virtual_time(scene)


def test_an_answer_of_no_use_costs_no_connection() -> None:
    """An error status, garbage and a version that went back: the next call goes on the
    same one.
    """

    async def scene() -> None:
        steps = [
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            answer(b"{"),
            answer(listing(0, whole=False)),
            answer(listing(2, ("s1", "draining"))),
        ]
        peer = await Peer(scripted(UP, *steps)).start()
        heard = Heard(peer)
        await peer.got(6)
        assert heard.told[-1] == (2, {"s1": "draining"})
        assert len({r.writer for r in peer.requests}) == 1
        heard.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("rests", [True, False])
@pytest.mark.parametrize("form", ["changes", "whole"])
def test_a_target_removed_and_added_again_at_another_address_gets_its_calls_there(
    tmp_path: Path, form: str, rests: bool
) -> None:
    """Within one answer; the connection to the old address rests, or has its call out.
    Whose the address is by now nobody knows.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        gate = asyncio.Event()

        async def second(request: Request) -> Answer:
            if request.headers["x-correlation-id"] == "before":
                await gate.wait()
            return OK

        old = await target(platform, second)
        node = await node_on(folder, platform)
        assert (await node.hand_in("first"))[
            0
        ] == 202  # a connection is kept from the second call on
        await node.shows(lambda f: sum(f["fulfilled"].values()) == 1)
        assert (await node.hand_in("before"))[0] == 202
        await old.got(2)
        if rests:
            gate.set()
            await node.shows(lambda f: sum(f["fulfilled"].values()) == 2)
        new = await target(platform, always(OK))
        platform.seq = 2
        platform.news[2] = [
            {
                **platform.hosts["s1"],
                "dial": f"127.0.0.1:{old.port}",
                "health": "removed",
            },
            dict(platform.hosts["s1"]),
        ]
        if form == "whole":
            inner = platform.handler

            async def whole(request: Request) -> Answer | bytes | None:
                told = await inner(request)
                if request.path.startswith("/discovery/hosts?from=1&"):
                    return Answer(200, body=json.dumps(platform.listing()).encode())
                return told

            platform.handler = whole
        await platform.note()
        await platform.until(
            lambda: any("from=2&" in r.path for r in platform.requests)
        )
        gate.set()
        await node.shows(lambda f: sum(f["fulfilled"].values()) == 2)
        assert (await node.hand_in("after"))[0] == 202
        assert [r.headers["x-correlation-id"] for r in await new.got(1)] == ["after"]
        await old.until(
            lambda: (
                old.closed >= 1 and old.closed == len({r.writer for r in old.requests})
            )
        )
        assert len(old.requests) == 2

    play(scene, tmp_path)


def test_a_stop_does_not_wait_for_a_silent_watch_or_a_silent_post(
    tmp_path: Path,
) -> None:
    """The watch and the notice are out and unanswered; SIGTERM, then SIGHUP with
    another address.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, always(Answer(500)))
        node = await node_on(folder, platform)
        silent = asyncio.Event()

        async def quiet(request: Request) -> bytes:
            if request.path == "/v1/notices":
                silent.set()
            return SILENT

        platform.handler = quiet
        assert (await node.hand_in("m", "pay"))[0] == 202
        async with asyncio.timeout(PATIENCE):
            await silent.wait()
        node.process.send_signal(signal.SIGTERM)
        await node.until_logged("stopping")
        configure(node, discovery="127.0.0.1:1")
        node.process.send_signal(signal.SIGHUP)
        assert await node.end(signal.SIGTERM) == 0
        assert any(
            "1 pending notifications stay in the journal" in line for line in node.log
        )
        platform.handler = platform.answer
        configure(node, discovery=f"127.0.0.1:{platform.port}")
        await node.start()
        assert (await platform.notice("m"))["state"] == "failed"

    play(scene, tmp_path)
    assert os.path.exists(tmp_path / "state")
