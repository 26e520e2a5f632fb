"""Races of the endpoint list: a watch that goes silent against every other step, late
responses, versions that go back, responses that end with their connection, and no
descriptor left for a dial.
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
    answer_in_turn,
)

SILENT = b""  # writes nothing and keeps the connection open


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


def ok_response(body: bytes) -> bytes:
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


UP = ok_response(listing(1, ("s1", "up")))
DRAINED = ok_response(listing(2, ("s1", "draining"), whole=False))
HALF = DRAINED[: len(DRAINED) // 2]


class WatchRecorder:
    """Records what a watch reports, and subscribes again after a failure as the
    dispatcher does.
    """

    def __init__(
        self, where: Peer, seq: int = NO_VERSION, pushed: bool = False
    ) -> None:
        self.received: list[EndpointList | None] = []
        self.news = asyncio.Event()
        self.watch = EndpointWatch(
            Address("127.0.0.1", where.port), seq, self.on_list, 1, pushed
        )
        self.watch.subscribe()

    def on_list(self, endpoint_list: EndpointList | None) -> None:
        self.received.append(endpoint_list)
        self.news.set()
        if endpoint_list is None:
            self.watch.subscribe()

    @property
    def changes(self) -> list[tuple[int, dict[str, str]]]:
        """Versions and healths received, without failures and without lists that change
        nothing.
        """
        return [
            (t.version, {h.name: h.health for h in t.endpoints})
            for t in self.received
            if t and t.endpoints
        ]

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE):
            while not condition():
                self.news.clear()
                await self.news.wait()


def scripted(*answers: bytes | Callable[[Request], bytes | None] | None) -> Handler:
    """Return a handler that gives these responses in turn, on whatever connection a
    request comes. After the last one, requests stay unanswered until their timeout.
    """
    left = list(answers)

    async def handler(request: Request) -> bytes | None:
        if not left:
            await asyncio.sleep(3600)
        step = left.pop(0)
        return step(request) if callable(step) else step

    return handler


def watch_query(version: int) -> str:
    return f"?from={version}&hold_ms={WATCH_HOLD_MS}"


def paths(peer: Peer) -> list[str]:
    return [r.path.removeprefix("/discovery/hosts") for r in peer.requests]


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("after", [0, 1, 3])
@pytest.mark.parametrize("cut", [SILENT, HALF, DRAINED[:9], DRAINED[:-1]])
def test_watch_reopens_when_a_response_stalls_or_does_not_come(
    cut: bytes, after: int, pushed: bool
) -> None:
    """The response stops in the watch's first second or later. The next request is sent
    on a new connection with the last known version, and a late response on the silent
    connection is ignored.
    """

    async def scene() -> None:
        def late(request: Request) -> bytes:
            silent.requests[-2].writer.write(ok_response(listing(9, ("s9", "up"))))
            return DRAINED

        unchanged = ok_response(listing(1, whole=False))
        silent = await Peer(scripted(UP, *[unchanged] * after, cut, late)).start()
        recorder = WatchRecorder(silent, pushed=pushed)
        await recorder.until(lambda: len(recorder.changes) == 2)
        assert recorder.changes == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
        watch, fresh = (
            silent.requests[-2:]
            if len(silent.requests) == after + 3
            else silent.requests[-3:-1]
        )
        assert watch.path.endswith(watch_query(1)) and fresh.path.endswith(
            "from=1&hold_ms=0"
        )
        assert watch.writer is not fresh.writer
        await silent.until(lambda: silent.closed >= 1)
        await silent.wait_for_requests(
            after + 4
        )  # the watch continues on the new connection
        assert silent.requests[after + 3].writer is fresh.writer
        assert recorder.changes[2:] == []
        recorder.watch.pause()

    in_virtual_time(scene)


def test_old_address_response_in_the_iteration_of_a_move_is_discarded() -> None:
    """The response bytes have arrived and the watch has not been woken yet when the
    signal changes the address.
    """

    async def scene() -> None:
        old = await Peer(
            scripted(UP, ok_response(listing(2, ("s1", "draining"))))
        ).start()
        new = await Peer(scripted(ok_response(listing(0, ("s2", "up"))))).start()
        recorder = WatchRecorder(old)
        finish_response, finished = HttpConnection.finish_response, []

        def finish_and_move(
            connection: HttpConnection, error: Exception | None
        ) -> None:
            finish_response(connection, error)
            finished.append(connection)
            if len(finished) == 2:
                recorder.watch.change_address(Address("127.0.0.1", new.port))

        HttpConnection.finish_response = finish_and_move  # type: ignore[method-assign]
        try:
            await recorder.until(lambda: len(recorder.changes) == 2)
            await new.wait_for_requests(2)
        finally:
            HttpConnection.finish_response = finish_response  # type: ignore[method-assign]
        assert recorder.changes == [(1, {"s1": "up"}), (0, {"s2": "up"})]
        assert paths(new)[0] == "" and recorder.watch.version == 0
        recorder.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("first", [SILENT, HALF, None])
def test_address_change_succeeds_when_both_addresses_are_silent_at_first(
    first: bytes | None,
) -> None:
    """The old watch is silent, so is the first request at the new address, and the old
    address responds late.
    """

    async def scene() -> None:
        def late(request: Request) -> bytes:
            old.requests[1].writer.write(DRAINED)
            return ok_response(listing(0, ("s2", "up")))

        old = await Peer(scripted(UP, SILENT)).start()
        new = await Peer(scripted(first, late)).start()
        recorder = WatchRecorder(old)
        await old.wait_for_requests(2)
        recorder.watch.change_address(Address("127.0.0.1", new.port))
        await recorder.until(lambda: len(recorder.changes) == 2)
        assert recorder.changes == [(1, {"s1": "up"}), (0, {"s2": "up"})]
        assert (
            None not in recorder.received
        )  # the dispatcher's pause after failures does not apply
        assert (
            paths(new)[:2] == ["", ""]
            and new.requests[0].writer is not new.requests[1].writer
        )
        recorder.watch.pause()

    in_virtual_time(scene)


def test_paused_watch_reports_nothing_and_is_not_restarted_by_sighup() -> None:
    """A response arrives in the loop iteration of the pause; then the configuration
    names another address.
    """

    async def scene() -> None:
        old = await Peer(scripted(UP, SILENT)).start()
        new = await Peer(answer_in_turn(UP)).start()
        recorder = WatchRecorder(old)
        await old.wait_for_requests(2)
        assert recorder.watch.client.connection.response is not None
        recorder.watch.client.connection.data_received(
            ok_response(listing(2, ("s1", "draining")))
        )
        recorder.watch.pause()
        recorder.watch.change_address(Address("127.0.0.1", new.port))
        assert recorder.watch.task is None
        await old.until(lambda: old.closed == 1)
        assert recorder.changes == [(1, {"s1": "up"})]
        # the new process is gone: this one resumes at the configured address
        recorder.watch.subscribe()
        await recorder.until(lambda: len(recorder.changes) == 2)
        assert paths(new)[0] == ""
        recorder.watch.pause()

    in_virtual_time(scene)


def test_pause_and_subscribe_in_one_iteration_keep_the_new_connection() -> None:
    """The cancelled request ends after the new one began, and closes no connection but
    its own.
    """

    async def scene() -> None:
        peer = await Peer(scripted(UP, SILENT, DRAINED)).start()
        recorder = WatchRecorder(peer)
        await peer.wait_for_requests(2)
        recorder.watch.pause()
        recorder.watch.subscribe()
        await recorder.until(lambda: len(recorder.changes) == 2)
        assert (
            recorder.changes[1] == (2, {"s1": "draining"})
            and None not in recorder.received
        )
        assert peer.requests[2].writer is not peer.requests[1].writer
        recorder.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("pushed", [False, True])
def test_dial_that_times_out_is_repeated(pushed: bool) -> None:
    """The machine accepts no connection (its backlog is full) while the new watch
    dials; later it does.
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
        recorder = WatchRecorder(peer, seq=1, pushed=pushed)
        async with asyncio.timeout(PATIENCE):
            while recorder.watch.failures < 2:
                await asyncio.sleep(0.1)
        assert recorder.changes == []
        for filler in fillers:
            filler.close()
        server = await asyncio.start_server(peer.serve, sock=listener)
        await recorder.until(lambda: bool(recorder.changes))
        assert paths(peer)[0] == "?from=1&hold_ms=0"
        recorder.watch.pause()
        server.close()

    in_virtual_time(scene)


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("hosts", [(), (("s1", "up"),)])
@pytest.mark.parametrize("watched", [False, True])
def test_changes_with_an_older_version_are_not_applied(
    watched: bool, hosts: tuple[tuple[str, str], ...], pushed: bool
) -> None:
    """Discovery was restored from an older version. Later versions are lost there, so
    its changes do not apply to the list held here.
    """

    async def scene() -> None:
        newer = ok_response(listing(43, ("s1", "draining"), ("s2", "up")))
        older_changes = ok_response(listing(41, *hosts, whole=False))
        steps = (
            [newer, ok_response(listing(43, whole=False)), older_changes]
            if watched
            else [newer, older_changes]
        )
        peer = await Peer(
            scripted(*steps, ok_response(listing(41, ("s1", "draining"))))
        ).start()
        recorder = WatchRecorder(peer, pushed=pushed)
        await peer.wait_for_requests(len(steps) + 2)
        assert recorder.changes == [
            (43, {"s1": "draining", "s2": "up"}),
            (41, {"s1": "draining"}),
        ]
        assert paths(peer)[len(steps) :] == ["", watch_query(41)]
        recorder.watch.pause()

    in_virtual_time(scene)


def test_whole_list_with_an_older_version_replaces_the_list() -> None:
    async def scene() -> None:
        peer = await Peer(
            scripted(
                ok_response(listing(43, ("s1", "up"), ("s2", "up"))),
                ok_response(listing(5, ("s1", "up"))),
            )
        ).start()
        recorder = WatchRecorder(peer)
        await peer.wait_for_requests(3)
        assert recorder.changes == [(43, {"s1": "up", "s2": "up"}), (5, {"s1": "up"})]
        assert paths(peer) == ["", watch_query(43), watch_query(5)]
        recorder.watch.pause()

    in_virtual_time(scene)


def test_changes_in_place_of_the_whole_list_are_rejected() -> None:
    """Endpoints of the previous list that the new one lacks would stay listed."""

    async def scene() -> None:
        peer = await Peer(
            scripted(ok_response(listing(7, ("s1", "up"), whole=False)), UP)
        ).start()
        recorder = WatchRecorder(peer)
        await peer.wait_for_requests(3)
        assert recorder.changes == [(1, {"s1": "up"})] and paths(peer)[:2] == ["", ""]
        recorder.watch.pause()

    in_virtual_time(scene)


def test_list_that_fails_to_apply_is_requested_again() -> None:
    """Requests used to continue only after responses that could not be parsed, not
    after lists that failed to apply.
    """

    async def scene() -> None:
        peer = await Peer(scripted(UP, DRAINED, DRAINED)).start()
        recorder = WatchRecorder(peer)
        on_list, raised = recorder.watch.on_list, []

        def raise_once(endpoint_list: EndpointList | None) -> None:
            if endpoint_list is not None and endpoint_list.version == 2 and not raised:
                raised.append(endpoint_list)
                raise ValueError("bad entry")
            on_list(endpoint_list)

        recorder.watch.on_list = raise_once
        await peer.wait_for_requests(4)
        assert recorder.changes == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
        assert paths(peer)[1:3] == [watch_query(1), "?from=1&hold_ms=0"]
        recorder.watch.pause()

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
        (ok_response(INDENTED), False),
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
def test_each_response_format_is_parsed_also_at_the_end_of_a_connection(
    bytes_: bytes, last: bool
) -> None:
    """Indented, chunked, announced as the connection's last, and delimited only by the
    connection's end.
    """

    async def scene() -> None:
        def write(request: Request) -> bytes | None:
            request.writer.write(bytes_)
            return None if last else b""

        peer = await Peer(scripted(UP, write)).start()
        recorder = WatchRecorder(peer)
        await peer.wait_for_requests(3)
        assert (
            recorder.changes == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
            and None not in recorder.received
        )
        assert paths(peer)[2] == watch_query(2)
        closes = last or bytes_ is CLOSES
        assert (peer.requests[2].writer is not peer.requests[1].writer) is closes
        recorder.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize(
    "cut",
    [DRAINED[:-1], HALF, DRAINED[:5], chunked(BODY, 9)[:-7], ENDED[:-9], ENDED[:40]],
)
def test_list_truncated_by_its_connections_end_is_discarded_and_requested_again(
    cut: bytes,
) -> None:
    """The request is repeated once on another connection; if that response is cut off
    too, it has failed.
    """

    async def scene() -> None:
        def write(request: Request) -> None:
            request.writer.write(cut)

        peer = await Peer(scripted(UP, write, write, DRAINED)).start()
        recorder = WatchRecorder(peer)
        await recorder.until(lambda: len(recorder.changes) == 2)
        assert recorder.changes == [(1, {"s1": "up"}), (2, {"s1": "draining"})]
        assert set(paths(peer)[1:4]) <= {watch_query(1), "?from=1&hold_ms=0"}
        recorder.watch.pause()

    in_virtual_time(scene)


def test_unsolicited_bytes_are_not_part_of_the_next_response() -> None:
    """Half of an unsolicited response arrives between two requests, the rest of it with
    the next response.
    """

    async def scene() -> None:
        stray = ok_response(b"stray")

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
def test_late_response_to_an_abandoned_request_is_not_used_for_the_next(
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
            await peer.wait_for_requests(2)
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


def test_dial_timeout_does_not_return_the_previous_response() -> None:
    async def scene() -> None:
        peer = await Peer(
            answer_in_turn(Answer(200, {"Connection": "close"}, b"old"))
        ).start()
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


def test_response_that_arrived_while_the_loop_was_blocked_is_in_time() -> None:
    """The timeout expires and the response arrives, and the loop sees both in the same
    iteration.
    """
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
        deadline = time.monotonic() + 0.35
        go.set()
        assert sent.wait(PATIENCE)
        time.sleep(
            max(0.0, deadline - time.monotonic())
        )  # blocks the loop past the request's timeout
        assert (await task).status == 200
        client.close()

    thread = threading.Thread(target=serve)
    thread.start()
    asyncio.run(scene())
    thread.join()
    listener.close()


@pytest.mark.parametrize("pushed", [False, True])
def test_dial_without_free_descriptors_is_repeated_soon(
    pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Idle clients hold all descriptors when the connection to discovery has to be
    reopened.
    """

    async def scene() -> None:
        peer = await Peer(scripted(UP, None, DRAINED)).start()
        recorder = WatchRecorder(peer, pushed=pushed)
        old_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        failed: list[OSError] = []
        dial = asyncio.get_running_loop().create_connection

        async def create(*args: Any, **more: Any) -> Any:
            try:
                return await dial(*args, **more)
            except OSError as error:
                failed.append(error)
                if len(failed) == 3:  # descriptors become available
                    resource.setrlimit(resource.RLIMIT_NOFILE, old_limit)
                raise

        monkeypatch.setattr(
            asyncio.get_running_loop(), "create_connection", create, raising=False
        )
        await peer.wait_for_requests(1)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, old_limit[1]))
            await recorder.until(lambda: len(recorder.changes) == 2)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, old_limit)
        assert [error.errno for error in failed] == [24] * 3
        assert recorder.changes[1] == (2, {"s1": "draining"})
        recorder.watch.pause()

    in_virtual_time(scene)


def test_descriptor_of_a_silent_connection_is_reused_by_the_next_connection() -> None:
    """Discovery does not respond, and idle clients take every descriptor that becomes
    free at once.
    """

    async def scene() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        client = HttpClient(Address("127.0.0.1", listener.getsockname()[1]))
        idle_descriptors: list[int] = []
        old_limit = resource.getrlimit(resource.RLIMIT_NOFILE)

        def take_free_descriptors() -> None:
            with contextlib.suppress(OSError):
                while True:
                    idle_descriptors.append(os.open(os.devnull, os.O_RDONLY))

        try:
            limit = max(map(int, os.listdir("/proc/self/fd"))) + 3
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, old_limit[1]))
            for _ in range(4):
                with pytest.raises(TimeoutError):
                    await client.request("GET", "/discovery/hosts", 0.1)
                for _ in range(3):
                    await asyncio.sleep(0)
                take_free_descriptors()
            assert idle_descriptors
        finally:
            for number in idle_descriptors:
                os.close(number)
            resource.setrlimit(resource.RLIMIT_NOFILE, old_limit)
        client.close()
        listener.close()

    in_virtual_time(scene)


def test_unusable_response_keeps_the_connection() -> None:
    """After an error status, garbage or a version that went back, the next request
    reuses the connection.
    """

    async def scene() -> None:
        steps = [
            b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
            ok_response(b"{"),
            ok_response(listing(0, whole=False)),
            ok_response(listing(2, ("s1", "draining"))),
        ]
        peer = await Peer(scripted(UP, *steps)).start()
        recorder = WatchRecorder(peer)
        await peer.wait_for_requests(6)
        assert recorder.changes[-1] == (2, {"s1": "draining"})
        assert len({r.writer for r in peer.requests}) == 1
        recorder.watch.pause()

    in_virtual_time(scene)


@pytest.mark.parametrize("rests", [True, False])
@pytest.mark.parametrize("form", ["changes", "whole"])
def test_endpoint_readded_at_another_address_gets_its_calls_there(
    tmp_path: Path, form: str, rests: bool
) -> None:
    """Both changes come in one response; the connection to the old address is idle or
    has a call in flight. The old address may belong to another host by now.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        gate = asyncio.Event()

        async def respond(request: Request) -> Answer:
            if request.headers["x-correlation-id"] == "before":
                await gate.wait()
            return OK

        old = await target(platform, respond)
        node = await node_on(folder, platform)
        assert (await node.hand_in("first"))[
            0
        ] == 202  # the connection stays open after the first call
        await node.wait_for_metrics(lambda f: sum(f["fulfilled"].values()) == 1)
        assert (await node.hand_in("before"))[0] == 202
        await old.wait_for_requests(2)
        if rests:
            gate.set()
            await node.wait_for_metrics(lambda f: sum(f["fulfilled"].values()) == 2)
        new = await target(platform, answer_in_turn(OK))
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
            original_handler = platform.handler

            async def send_whole_list(request: Request) -> Answer | bytes | None:
                response = await original_handler(request)
                if request.path.startswith("/discovery/hosts?from=1&"):
                    return Answer(200, body=json.dumps(platform.listing()).encode())
                return response

            platform.handler = send_whole_list
        await platform.note()
        await platform.until(
            lambda: any("from=2&" in r.path for r in platform.requests)
        )
        gate.set()
        await node.wait_for_metrics(lambda f: sum(f["fulfilled"].values()) == 2)
        assert (await node.hand_in("after"))[0] == 202
        assert [
            r.headers["x-correlation-id"] for r in await new.wait_for_requests(1)
        ] == ["after"]
        await old.until(
            lambda: (
                old.closed >= 1 and old.closed == len({r.writer for r in old.requests})
            )
        )
        assert len(old.requests) == 2

    play(scene, tmp_path)


def test_shutdown_does_not_wait_for_a_silent_watch_or_notification(
    tmp_path: Path,
) -> None:
    """The watch and the notification are in flight and unanswered; SIGTERM, then SIGHUP
    with another address.
    """

    async def scene(platform: Platform, folder: Path) -> None:
        await target(platform, answer_in_turn(Answer(500)))
        node = await node_on(folder, platform)
        silent = asyncio.Event()

        async def stay_silent(request: Request) -> bytes:
            if request.path == "/v1/notices":
                silent.set()
            return SILENT

        platform.handler = stay_silent
        assert (await node.hand_in("m", "pay"))[0] == 202
        async with asyncio.timeout(PATIENCE):
            await silent.wait()
        node.process.send_signal(signal.SIGTERM)
        await node.until_logged("stopping")
        configure(node, discovery="127.0.0.1:1")
        node.process.send_signal(signal.SIGHUP)
        assert await node.end(signal.SIGTERM) == 0
        assert any("1 owed ends stay in the journal" in line for line in node.log)
        platform.handler = platform.answer
        configure(node, discovery=f"127.0.0.1:{platform.port}")
        await node.start()
        assert (await platform.notice("m"))["state"] == "failed"

    play(scene, tmp_path)
    assert os.path.exists(tmp_path / "state")
