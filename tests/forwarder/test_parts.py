"""Tests of single forwarder components in situations that are hard to force in the
running program.
"""

from __future__ import annotations

import asyncio
import gc
import json
import socket
import time
import weakref
import zlib
from pathlib import Path
from typing import Any

import pytest

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    Dispatcher,
    EndpointEntry,
    EndpointListChanged,
    EndpointListKind,
    LoadReport,
    MessageReceived,
    MessageRestored,
    MessageWithdrawn,
    Outcome,
    RecordOutage,
    SendMessage,
)
from rainfall.dispatch.endpoint_list import (
    MAX_REMOVED_ENDPOINTS as MAX_REMOVED_DISPATCHER_ENDPOINTS,
)
from rainfall.forwarder.config.loading import (
    Address,
    Config,
    EndpointList,
    parse_endpoint,
)
from rainfall.forwarder.discovery.endpoint_watch import (
    NOTIFICATION_BACKOFF_LIMIT_S,
    WATCH_HOLD_MS,
    EndpointWatch,
    Notifier,
)
from rainfall.forwarder.engine.endpoint_directory import MAX_REMOVED_ENDPOINTS
from rainfall.forwarder.engine.engine import Engine
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.engine.outcome_recorder import MAX_RECENTLY_FINISHED
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.http1 import MalformedResponseError, ResponseReader
from rainfall.forwarder.inbound.client_connection import ClientConnection
from rainfall.forwarder.inbound.server import InboundServer, SubmittedMessage
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    MessageStore,
    PendingNotification,
)
from rainfall.forwarder.outbound.connection_pool import (
    CallItem,
    ConnectionPool,
    EndpointConnection,
    OutboundCall,
    parse_retry_after_us,
)
from rainfall.journal.format import V1_FRAME
from rainfall.wirehost import parse_settings
from tests.support.loopback_peers import (
    OK,
    SETTINGS,
    Answer,
    Peer,
    answer_in_turn,
    hang,
    message,
)


def accepted_message(name: str, size: int = 100) -> AcceptedMessage:
    return AcceptedMessage(
        name, "order", 7, 10**15, f"k-{name}", "acme", b"\n\0" * (size // 2)
    )


def test_store_reads_back_its_records_before_and_after_compaction(
    tmp_path: Path,
) -> None:
    store = MessageStore(tmp_path, 3_000_000)
    for name in "abcd":
        store.append_message(accepted_message(name))
    a, b = store.messages["a"], store.messages["b"]
    store.append_attempt(a, 0, 50, "s1")
    store.append_outcome(a, 0, True)
    store.append_attempt(a, 1, 60, "s2")
    store.append_attempt(b, 0, 70, "s1")
    store.append_outcome(b, 0, False)
    store.append_finished("c")
    store.append_notification("d", "returned", 500)
    store.append_endpoint_list(
        41, {"s1": {"host": "s1", "health": "draining"}}, 10, "127.0.0.1:8500"
    )
    store.append_outage("s1", 5, -1)
    for _ in range(2):
        store.flush()
        restored = MessageStore(tmp_path, 3_000_000)
        assert (
            list(restored.messages) == ["a", "b"]
            and restored.messages == store.messages
        )
        assert (a.attempts, a.executed_at_us, a.executed_on, a.in_flight) == (
            2,
            50,
            "s1",
            {1: (60, "s2")},
        )
        assert (
            restored.messages["b"].attempts,
            restored.messages["b"].executed_at_us,
        ) == (
            1,
            -1,
        )
        assert restored.pending_notifications == {
            "d": PendingNotification("returned", 500)
        } and restored.outages == {"s1": (5, -1)}
        assert (restored.seq, restored.source, restored.hosts) == (
            41,
            "127.0.0.1:8500",
            store.hosts,
        )
        assert restored.live_bytes == store.live_bytes
        assert store.compact()


def test_journal_size_stays_below_limit_under_steady_traffic(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000)
    for n in range(4000):
        store.append_message(accepted_message(f"m{n}", 2000))
        store.flush()
        store.append_finished(f"m{n}")
        store.flush()
        assert store.size < 1_000_000
    assert MessageStore(tmp_path, 1_000_000).messages == {}


def test_flipped_bit_loses_only_its_own_record(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000)
    for name in "abcd":
        store.append_message(accepted_message(name))
    store.flush()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.index(b'"k-c"') + 1] ^= 1
    (tmp_path / "journal").write_bytes(data)
    assert list(MessageStore(tmp_path, 1_000_000).messages) == ["a", "b", "d"]


def make_connection_pool(
    finished_attempts: list[AttemptFinished], idle_us: int = 5_000_000
) -> ConnectionPool:
    return ConnectionPool(
        Clock(), finished_attempts.append, ("x0", "x1"), idle_us, 1_000_000, 10
    )


def make_call(clock: Clock, name: str, left_us: int = 5_000_000) -> OutboundCall:
    return OutboundCall(
        1, (7, -1), clock(), [CallItem(name, 0, None, b"x", clock() + left_us)]
    )


def test_call_waiting_for_connection_is_not_sent_to_removed_endpoint() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(answer_in_turn(OK)).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        connection_pool.start(make_call(Clock(), "m"))
        connection_pool.set_endpoints({})
        await peer.until(lambda: peer.closed == 1)
        assert not peer.requests and [e.outcome for e in finished_attempts] == [
            Outcome.NOT_SENT
        ]
        assert connection_pool.in_flight == 0

    asyncio.run(scene())


def test_call_waiting_for_connection_respects_retry_after() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(
            answer_in_turn(Answer(429, {"X-RateLimit-Wait-Ms": "60000"}), OK)
        ).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        connection_pool.start(make_call(Clock(), "a"))
        while not finished_attempts:
            await asyncio.sleep(0.005)
        assert finished_attempts[0].retry_after_us == 60_000_000
        connection_pool.close_idle(1)
        connection_pool.start(make_call(Clock(), "b"))
        while len(finished_attempts) < 2:
            await asyncio.sleep(0.005)
        assert (
            finished_attempts[1].outcome is Outcome.NOT_SENT and len(peer.requests) == 1
        )
        connection_pool.close()

    asyncio.run(scene())


def test_removed_endpoints_stay_bounded_when_all_are_replaced_repeatedly() -> None:
    dispatcher = Dispatcher(parse_settings(SETTINGS), 1, 0)
    endpoint_count = 512  # replaced by each snapshot
    for first in range(0, 4 * MAX_REMOVED_DISPATCHER_ENDPOINTS, endpoint_count):
        new_endpoints = tuple(
            EndpointEntry(n, 7, kind="plain")
            for n in range(first, first + endpoint_count)
        )
        dispatcher.handle(
            first, [EndpointListChanged(EndpointListKind.SNAPSHOT, new_endpoints)]
        )
        assert (
            len(dispatcher.state.endpoints)
            <= MAX_REMOVED_DISPATCHER_ENDPOINTS + endpoint_count
            and first in dispatcher.state.endpoints
        )


def test_pool_closes_connection_at_idle_timeout() -> None:
    """The dispatcher closes some idle connections; the pool closes the others."""

    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(answer_in_turn(OK)).start()
        connection_pool = make_connection_pool(finished_attempts, 1_000_000)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        connection_pool.start(make_call(Clock(), "m"))
        await peer.until(lambda: peer.closed == 1)
        assert (
            [e.outcome for e in finished_attempts] == [Outcome.DELIVERED]
            and not connection_pool.idle
            and not connection_pool.sweeping
        )

    asyncio.run(scene())


class UnfinishedWriteTransport(asyncio.Transport):
    """A transport whose write buffer never empties."""

    def __init__(self) -> None:
        super().__init__()
        self.sockets = socket.socketpair()

    def write(self, data: object) -> None:
        pass

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self.sockets[0]

    def get_write_buffer_size(self) -> int:
        return 1

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        pass


def test_connection_lost_before_request_is_written_counts_as_not_executed() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", 9)})
        for drained in (False, True):
            connection = EndpointConnection(connection_pool, Address("127.0.0.1", 9))
            connection.connection_made(UnfinishedWriteTransport())
            connection_pool.keep_idle(connection, 1)
            connection_pool.start(make_call(Clock(), "m"))
            if drained:
                connection.resume_writing()
            connection.connection_lost(None)
        assert [e.outcome for e in finished_attempts] == [
            Outcome.NO_CONNECTION,
            Outcome.RESET,
        ]
        connection_pool.idle.clear()

    asyncio.run(scene())


def test_timeout_closes_connection_and_releases_call() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(hang).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        connection_pool.start(make_call(Clock(), "m", 150_000))
        await peer.wait_for_requests(1)
        assert connection_pool.in_flight == 1 and not finished_attempts
        while not finished_attempts:
            await asyncio.sleep(0.01)
        assert (
            finished_attempts[0].outcome is Outcome.TIMED_OUT
            and not finished_attempts[0].message_closed
        )
        while connection_pool.connections:
            await asyncio.sleep(0.01)
        assert (
            connection_pool.in_flight == 0
            and not connection_pool.calls
            and not connection_pool.idle
        )
        connection_pool.start(make_call(Clock(), "n"))
        await peer.wait_for_requests(2)
        connection_pool.cancel("n", 0)
        assert finished_attempts[1].outcome is Outcome.CANCELED
        connection_pool.close()

    asyncio.run(scene())


def test_canceling_one_message_cancels_batch_call_and_closes_connection() -> None:
    """Guards against canceling one message while the call stays open for the others:
    later results for these were ignored, and the next message of a key was sent while
    the endpoint still processed the previous one.
    """

    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(hang).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        now = Clock()()
        connection_pool.start(
            OutboundCall(
                1,
                (7, -1),
                now,
                [
                    CallItem("long", 0, None, b"", now + 10**9),
                    CallItem("short", 0, None, b"", now + 10**7),
                ],
            )
        )
        request = (await peer.wait_for_requests(1))[0]
        assert float(request.headers["x-time-left"]) <= 10
        connection_pool.cancel("short", 0)
        assert {(e.message_id, e.outcome) for e in finished_attempts} == {
            ("long", Outcome.CANCELED),
            ("short", Outcome.CANCELED),
        }
        while connection_pool.connections:
            await asyncio.sleep(0.005)
        assert connection_pool.in_flight == 0 and not connection_pool.calls
        connection_pool.close()

    asyncio.run(scene())


def test_batch_call_times_out_at_earliest_message_timeout() -> None:
    """Guards against a call that stays open for its other messages after the first
    timeout. A hung endpoint may respond once the platform considers the first message
    finished: its results for the others then counted in the forwarder only.
    """

    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(hang).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        now = Clock()()
        connection_pool.start(
            OutboundCall(
                1,
                (7, -1),
                now,
                [
                    CallItem("long", 0, None, b"", now + 10**9),
                    CallItem("short", 0, None, b"", now + 300_000),
                    CallItem("later", 0, None, b"", now + 10**7),
                ],
            )
        )
        request = (await peer.wait_for_requests(1))[0]
        assert float(request.headers["x-time-left"]) <= 0.3
        async with asyncio.timeout(10):
            while not finished_attempts:
                await asyncio.sleep(0.005)
        assert [(e.message_id, e.outcome) for e in finished_attempts] == [
            (name, Outcome.TIMED_OUT) for name in ("long", "short", "later")
        ]
        assert connection_pool.in_flight == 0 and not connection_pool.calls
        while connection_pool.connections:
            await asyncio.sleep(0.005)
        connection_pool.close()

    asyncio.run(scene())


def test_connections_are_reused_and_closed_on_request() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(answer_in_turn(OK)).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        for n in range(3):
            connection_pool.start(make_call(Clock(), f"m{n}"))
            while len(finished_attempts) <= n:
                await asyncio.sleep(0.005)
        assert len({r.writer for r in peer.requests}) == 1
        connection_pool.close_idle(1)
        await peer.until(lambda: peer.closed == 1)
        connection_pool.close()

    asyncio.run(scene())


def test_client_disconnect_before_answer_calls_on_disconnect() -> None:
    async def scene() -> None:
        submitted_messages: asyncio.Queue[SubmittedMessage] = asyncio.Queue()
        disconnected = asyncio.Event()

        def on_message(
            submitted: SubmittedMessage, connection: ClientConnection
        ) -> None:
            connection.on_disconnect = disconnected.set
            submitted_messages.put_nowait(submitted)

        server = InboundServer(parse_settings(SETTINGS), Clock(), 10, on_message)
        await server.listen("127.0.0.1", 0)
        assert server.listener is not None
        port = server.listener.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message("m"))
        assert (await submitted_messages.get()).id == "m" and not disconnected.is_set()
        writer.close()
        async with asyncio.timeout(20):
            await disconnected.wait()
        await server.close()

    asyncio.run(scene())


def test_client_limit_closes_longest_idle_connection() -> None:
    async def scene() -> None:
        server = InboundServer(
            parse_settings(SETTINGS), Clock(), 2, lambda submitted, connection: None
        )
        await server.listen("127.0.0.1", 0)
        assert server.listener is not None
        port = server.listener.sockets[0].getsockname()[1]
        oldest_client, *newer_clients = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(3)
        ]
        async with asyncio.timeout(20):
            assert await oldest_client[0].read() == b""
        newer_clients[1][1].write(b"GET /up HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(20):
            assert (await newer_clients[1][0].readline()).startswith(b"HTTP/1.1 200")
        await server.close()

    asyncio.run(scene())


def test_extra_bytes_after_response_close_connection_and_keep_response() -> None:
    """Guards against a second response that overwrites the first one, or that is left
    unread and taken as the response to the next call.
    """
    first_response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    second_response = (
        b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
    )
    for extra_bytes in (second_response, b"\0\1noise\r\n"):

        async def scene(extra_bytes: bytes = extra_bytes) -> None:
            finished_attempts: list[AttemptFinished] = []
            peer = await Peer(answer_in_turn(first_response + extra_bytes, OK)).start()
            connection_pool = make_connection_pool(finished_attempts)
            connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
            connection_pool.start(make_call(Clock(), "m"))
            await peer.until(lambda: peer.closed == 1)
            connection_pool.start(make_call(Clock(), "n"))
            while len(finished_attempts) < 2:
                await asyncio.sleep(0.005)
            assert [e.outcome for e in finished_attempts] == [
                Outcome.DELIVERED
            ] * 2 and finished_attempts[0].retry_after_us == 0
            assert len({r.writer for r in peer.requests}) == 2
            connection_pool.close()

        asyncio.run(scene())


def test_idle_connection_with_unread_bytes_is_not_reused() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        peer = await Peer(answer_in_turn(OK)).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        connection_pool.start(make_call(Clock(), "m"))
        while not finished_attempts:
            await asyncio.sleep(0.005)
        connection = connection_pool.idle[1][0]
        assert connection.transport is not None
        connection.transport.pause_reading()  # as if the bytes had just arrived
        peer.requests[0].writer.write(
            b"HTTP/1.1 500 Not yours\r\nContent-Length: 0\r\n\r\n"
        )
        await peer.requests[0].writer.drain()
        while connection.is_reusable():
            await asyncio.sleep(0.005)
        connection_pool.start(make_call(Clock(), "n"))
        while len(finished_attempts) < 2:
            await asyncio.sleep(0.005)
        assert [e.outcome for e in finished_attempts] == [Outcome.DELIVERED] * 2
        connection_pool.close()

    asyncio.run(scene())


def test_malformed_load_reports_and_waits_are_ignored() -> None:
    reader = ResponseReader()
    reader.complete, reader.status = True, 429
    connection_pool = make_connection_pool([])
    for wait in ("nan", "inf", "-5", "1e9", "9" * 40, "", "x", "1_0"):
        reader.headers = {"x-ratelimit-wait-ms": wait}
        assert parse_retry_after_us(reader) == 0
    for report in (
        "x0=nan,x1=1",
        "x0=0.5,x1=inf",
        "x0=-1,x1=5",
        "x0=0.5,x1=" + "9" * 30,
        "x0=0.5",
        "=,=",
        "\xff",
    ):
        reader.headers = {"x-backend-load": report}
        assert connection_pool.read_load_report(reader) is None
    reader.headers = {"x-backend-load": "x0=0.4, x1=25", "x-ratelimit-wait-ms": "12.5"}
    assert (
        connection_pool.read_load_report(reader) == LoadReport(0.4, 25.0)
        and parse_retry_after_us(reader) == 12_500
    )


def test_interim_responses_are_skipped_and_eof_ends_response_without_length() -> None:
    for data in (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ):
        reader = ResponseReader()
        for byte in data + b"HTTP/1.1 503 Full\r\nX-Over-Slots: 1\r\n\r\n":
            reader.feed(bytes([byte]))
        assert not reader.complete and reader.status_line_code == 503
        reader.on_eof()
        assert (
            reader.complete
            and reader.status == 503
            and reader.headers == {"x-over-slots": "1"}
        )
    with pytest.raises(MalformedResponseError):
        ResponseReader().feed(b"HTTP/1.1 100 Continue\r\n\r\n" * 5000)


def test_deeply_nested_batch_response_is_unreadable_and_releases_call() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        nested_body = b"[" * 60_000
        peer = await Peer(answer_in_turn(Answer(200, body=nested_body))).start()
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", peer.port)})
        batch_call = make_call(Clock(), "a")
        batch_call.items.append(
            CallItem("b", 0, None, b"x", batch_call.items[0].timeout_at_us)
        )
        connection_pool.start(batch_call)
        while len(finished_attempts) < 2:
            await asyncio.sleep(0.005)
        assert (
            {e.outcome for e in finished_attempts} == {Outcome.UNREADABLE}
            and connection_pool.in_flight == 0
            and not connection_pool.calls
        )
        connection_pool.close()

    asyncio.run(scene())


def test_flood_of_silent_clients_does_not_evict_active_client() -> None:
    async def scene() -> None:
        server = InboundServer(
            parse_settings(SETTINGS), Clock(), 5, lambda submitted, connection: None
        )
        await server.listen("127.0.0.1", 0)
        assert server.listener is not None
        port = server.listener.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for _ in range(2):
            writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            async with asyncio.timeout(20):
                assert (await reader.readline()).startswith(b"HTTP/1.1 200")
                await reader.readuntil(b"up\n")
            silent_clients = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(40)
            ]
            async with asyncio.timeout(20):
                for silent_reader, _ in silent_clients[:-5]:
                    assert await silent_reader.read() == b""
        await server.close()

    asyncio.run(scene())


def test_inconclusive_resets_do_not_record_outage() -> None:
    """Guards against two resets in a row that mark a healthy endpoint as down for
    seconds. Refused connections still mark it.
    """
    for outcome, is_inconclusive, outage_expected in (
        (Outcome.RESET, True, False),
        (Outcome.NO_CONNECTION, False, True),
    ):
        dispatcher = Dispatcher(parse_settings(SETTINGS), 1, 0)
        dispatcher.handle(
            0,
            [
                EndpointListChanged(
                    EndpointListKind.SNAPSHOT, (EndpointEntry(1, 7, kind="plain"),)
                )
            ],
        )
        actions: list[Action] = []
        now = 0
        for n in range(3):
            now += 50_000
            send_actions = dispatcher.handle(
                now, [MessageReceived(f"m{n}", 7, "status", now + 9_000_000)]
            )
            assert (n and outage_expected) or any(
                isinstance(a, SendMessage) for a in send_actions
            )
            now += 20_000
            actions += dispatcher.handle(
                now,
                [
                    AttemptFinished(
                        f"m{n}", 0, 1, outcome, 20_000, inconclusive=is_inconclusive
                    ),
                    MessageWithdrawn(f"m{n}"),
                ],
            )
        assert any(isinstance(a, RecordOutage) for a in actions) is outage_expected


def test_trusted_idle_age_is_learned_and_probed_again() -> None:
    connection_pool = make_connection_pool([])
    for _ in range(5):
        connection_pool.record_staleness(900_000, True)
        connection_pool.record_staleness(9_000, False)
    assert not connection_pool.is_age_trusted(
        800_000
    ) and connection_pool.is_age_trusted(9_000)
    for _ in range(100):
        connection_pool.is_age_trusted(800_000)
    assert connection_pool.is_age_trusted(800_000)


def test_moved_endpoint_keeps_no_connection_to_old_address() -> None:
    async def scene() -> None:
        finished_attempts: list[AttemptFinished] = []
        release_response = asyncio.Event()

        async def respond_late(request: object) -> Answer:
            await release_response.wait()
            return OK

        old_peer, new_peer = (
            await Peer(respond_late).start(),
            await Peer(answer_in_turn(OK)).start(),
        )
        connection_pool = make_connection_pool(finished_attempts)
        connection_pool.set_endpoints({1: Address("127.0.0.1", old_peer.port)})
        connection_pool.start(make_call(Clock(), "m"))
        await old_peer.wait_for_requests(1)
        connection_pool.set_endpoints({1: Address("127.0.0.1", new_peer.port)})
        release_response.set()
        await old_peer.until(lambda: old_peer.closed == 1)
        connection_pool.start(make_call(Clock(), "n"))
        await new_peer.wait_for_requests(1)
        connection_pool.close()

    asyncio.run(scene())


def make_engine(folder: Path) -> Engine:
    listen = Address("127.0.0.1", 9)
    hosts = tuple(
        parse_endpoint(
            {"host": f"s{n}", "dial": f"127.0.0.1:{n}", "block": 7, "health": "up"}
        )
        for n in range(1, 4)
    )
    return Engine(
        Config(
            "n",
            listen,
            listen,
            folder,
            1,
            192,
            256,
            3_000_000,
            EndpointList(1, True, hosts),
            parse_settings(SETTINGS),
            ("x0", "x1"),
        )
    )


def test_exception_in_dispatcher_loses_only_its_event(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against dropping the other events of the round: with a dropped
    `AttemptFinished` its slot was never released.
    """

    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        started: list[OutboundCall] = []
        monkeypatch.setattr(engine_under_test.pool, "start", started.append)
        engine_under_test.run_round()
        for n in range(3):
            engine_under_test.store.append_message(accepted_message(f"m{n}"))
            engine_under_test.post(MessageRestored(f"m{n}", 7, "order", 10**16))
        engine_under_test.run_round()
        assert engine_under_test.dispatcher.state.calls_in_flight == len(started) > 0
        sent_id = started[0].items[0].id
        original = Dispatcher.change_endpoint_list

        def raise_error(d: Dispatcher, event: EndpointListChanged) -> None:
            raise RuntimeError("a fault")

        monkeypatch.setattr(Dispatcher, "change_endpoint_list", raise_error)
        calls_before = engine_under_test.dispatcher.state.calls_in_flight
        engine_under_test.post(EndpointListChanged(EndpointListKind.CHANGES))
        engine_under_test.post(
            AttemptFinished(
                sent_id,
                0,
                started[0].endpoint,
                Outcome.DELIVERED,
                5,
                message_closed=True,
            )
        )
        engine_under_test.run_round()
        monkeypatch.setattr(Dispatcher, "change_endpoint_list", original)
        assert (
            engine_under_test.dispatcher.state.calls_in_flight == calls_before
            and len(engine_under_test.pending_events) == 1
        )
        engine_under_test.run_round()
        assert (
            sent_id not in engine_under_test.store.messages
            and sent_id not in engine_under_test.dispatcher.state.messages
        )
        assert (
            engine_under_test.dispatcher.state.calls_in_flight
            == sum(len(c.items) > 0 for c in started) - 1
        )
        engine_under_test.store.close()

    asyncio.run(scene())


def test_at_most_once_and_repeatable_messages_are_not_batched_together(
    tmp_path: Path,
) -> None:
    """A call is canceled as a whole: at-most-once messages wait for their response,
    repeatable ones may be canceled.
    """

    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        engine_under_test.batch_sizes[""] = engine_under_test.batch_sizes["None"] = 20
        calls: list[Any] = []
        forming: dict[tuple[int, bool], OutboundCall] = {}
        for n, name in enumerate(["status", "pay", "order", "pay"]):
            engine_under_test.store.append_message(
                AcceptedMessage(f"m{n}", name, 7, 10**16, None, None, b"")
            )
            engine_under_test.add_to_call(
                SendMessage(f"m{n}", 1, 10**6), 0, forming, calls
            )
        assert [[item.id for item in c.items] for c in calls] == [
            ["m0", "m2"],
            ["m1", "m3"],
        ]
        engine_under_test.store.close()

    asyncio.run(scene())


def test_endpoint_ids_and_finished_messages_are_bounded(tmp_path: Path) -> None:
    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        for n in range(3000):
            engine_under_test.endpoint_id(f"gone{n}")
            engine_under_test.remember_finished(f"m{n}", "delivered")
        assert (
            len(engine_under_test.endpoint_ids)
            == len(engine_under_test.endpoint_names)
            <= MAX_REMOVED_ENDPOINTS + len(engine_under_test.endpoints) + 1
        )
        assert (
            len(engine_under_test.recently_finished) == MAX_RECENTLY_FINISHED
            and "m2999" in engine_under_test.recently_finished
        )
        engine_under_test.add_to_call(
            SendMessage("m0", 1, 5), 0, {}, []
        )  # message and endpoint were both evicted
        engine_under_test.store.append_message(accepted_message("m"))
        engine_under_test.add_to_call(SendMessage("m", 10**6, 5), 0, {}, [])
        assert engine_under_test.store.messages["m"].attempts == 1
        engine_under_test.store.close()

    asyncio.run(scene())


def test_periodic_tick_collects_reference_cycles(
    tmp_path: Path,
) -> None:
    class CyclicObject:
        itself: object = None

    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        gc.collect()
        gc.disable()
        try:
            cyclic = CyclicObject()
            cyclic.itself = cyclic
            reference = weakref.ref(cyclic)
            del cyclic
            engine_under_test.periodic_tasks.tick(time.monotonic())
            assert reference() is None
        finally:
            gc.enable()
        engine_under_test.store.close()

    asyncio.run(scene())


def test_summary_line_reports_counts_and_resets_them(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        engine_under_test.store.append_message(accepted_message("m"))
        engine_under_test.outcomes.record_outcome(
            AttemptFinished("m", 0, 1, Outcome.REJECTED, 5)
        )
        with caplog.at_level("INFO"):
            engine_under_test.periodic_tasks.log_summary(
                engine_under_test.periodic_tasks.last_summary_s + 5
            )
            engine_under_test.periodic_tasks.log_summary(
                engine_under_test.periodic_tasks.last_summary_s + 5
            )
        first, second = caplog.messages
        assert (
            "in 5 s: 1 full; held 1, 1 for destination 7; calls out 0 of 8 slots"
            in first
        )
        assert "in 5 s: nothing; held 1" in second
        now = engine_under_test.clock()
        engine_under_test.dispatcher.handle(
            now,
            [EndpointListChanged(EndpointListKind.SNAPSHOT, (EndpointEntry(1, 7),))],
        )
        engine_under_test.dispatcher.state.endpoints[
            1
        ].throttle_scope.retry_after_until = now + 60_000_000
        caplog.clear()
        with caplog.at_level("INFO"):
            engine_under_test.periodic_tasks.log_summary(
                engine_under_test.periodic_tasks.last_summary_s + 5
            )
        assert (
            "destination 7: target 1 has 0 out, window 1, wait 5" in caplog.messages[1]
        )
        engine_under_test.store.close()

    asyncio.run(scene())


def test_endpoint_cannot_be_detached_before_journal_is_owned(
    tmp_path: Path,
) -> None:
    """During a takeover a process has read the journal but must not write to it yet."""

    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        engine_under_test.store.release()
        statuses: list[int] = []
        engine_under_test.set_detached(
            "s1", True, lambda status, text: statuses.append(status.value)
        )
        assert statuses == [503] and not engine_under_test.store.detached

    asyncio.run(scene())


def test_journal_record_without_rules_uses_current_class_rules(
    tmp_path: Path,
) -> None:
    record = ["taken", "m", "order", 7, 1 << 60, None, None, 0, -1, "", [], None]
    payload = json.dumps(record).encode() + b"\nhello"
    (tmp_path / "journal").write_bytes(
        V1_FRAME.pack(len(payload), zlib.crc32(payload)) + payload
    )

    async def scene() -> None:
        engine_under_test = make_engine(tmp_path)
        message_on_disk = engine_under_test.store.messages["m"]
        restored_event = next(
            x
            for x in engine_under_test.pending_events
            if isinstance(x, MessageRestored)
        )
        assert (
            restored_event.message_class
            == engine_under_test.store.class_of(message_on_disk)
            == engine_under_test.config.settings.classes[0]
        )
        engine_under_test.store.flush()
        engine_under_test.store.compact()
        engine_under_test.store.close()
        reopened_store = MessageStore(tmp_path, 3_000_000)
        assert (
            reopened_store.class_of(reopened_store.messages["m"])
            == engine_under_test.config.settings.classes[0]
        )
        reopened_store.close()

    asyncio.run(scene())


class NoPendingNotifications:
    """A notification source with nothing pending."""

    def pending_notifications(self) -> dict[str, PendingNotification]:
        return {}

    def acknowledge_notifications(self, names: list[str]) -> None:
        raise AssertionError("nothing was posted")


def test_notification_retries_of_40_forwarders_are_spread_out() -> None:
    """Guards against equal backoffs: forwarders whose notifications failed at the same
    time all retried at the same times.
    """
    notifiers = [
        Notifier(Address("127.0.0.1", 1), NoPendingNotifications(), seed)
        for seed in range(40)
    ]
    retry_times_s = [0.0] * 40
    for failures in range(6):
        retry_times_s = [
            retry_time_s + notifier.retry_delay_s(failures)
            for retry_time_s, notifier in zip(retry_times_s, notifiers, strict=True)
        ]
        slots = [int(retry_time_s / 0.01) for retry_time_s in retry_times_s]
        assert max(map(slots.count, slots)) <= 12
    assert all(
        0 < notifier.retry_delay_s(10**6) <= NOTIFICATION_BACKOFF_LIMIT_S
        for notifier in notifiers
    )


def test_pushed_list_watch_retries_and_reports_no_failure() -> None:
    """The agent's list takes effect as soon as the agent responds again. The
    dispatcher's own backoff had grown to seconds by then.
    """

    async def main() -> None:
        queries: list[str] = []
        received_lists: list[EndpointList | None] = []

        def list_response(seq: int, health: str) -> Answer:
            return Answer(
                200,
                body=json.dumps(
                    {
                        "seq": seq,
                        "whole": True,
                        "hosts": [
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
                        ],
                    }
                ).encode(),
            )

        answers = [
            list_response(1, "up"),
            None,
            Answer(503),
            Answer(503),
            None,
            list_response(2, "draining"),
        ]

        async def agent(request: Any) -> Answer | None:
            queries.append(request.path.partition("?")[2])
            if len(queries) > len(answers):
                await hang(request)
            return (
                answers[len(queries) - 1]
                if answers[len(queries) - 1]
                else await hang(request)
            )

        peer = await Peer(agent).start()
        watch = EndpointWatch(
            Address("127.0.0.1", peer.port), 0, received_lists.append, 1, pushed=True
        )
        watch.client.request, original_request = (
            (lambda method, path, wait: original_request(method, path, min(wait, 0.2))),
            watch.client.request,
        )  # type: ignore
        watch.subscribe()
        await peer.wait_for_requests(7)
        watch.pause()
        long_poll_query = f"from=1&hold_ms={WATCH_HOLD_MS}"
        assert queries == [
            "from=0&hold_ms=0",
            long_poll_query,
            *["from=1&hold_ms=0"] * 4,
            f"from=2&hold_ms={WATCH_HOLD_MS}",
        ]
        assert [
            received and received.endpoints[0].health for received in received_lists
        ] == [
            "up",
            "draining",
        ]  # no failure was reported to the callback

    asyncio.run(main())


def test_handover_source_runs_without_socket_if_it_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        async def raise_not_implemented(*args: Any, **options: Any) -> None:
            raise OSError(38, "Function not implemented")

        monkeypatch.setattr(
            asyncio.get_running_loop(),
            "create_unix_server",
            raise_not_implemented,
            raising=False,
        )
        engine: Any = None
        handover_source = HandoverSource(engine)
        await handover_source.listen(tmp_path)
        assert handover_source.listener is None
        handover_source.close()

    asyncio.run(main())
    assert "no handover" in caplog.text
