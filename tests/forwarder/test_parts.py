"""Parts of the real forwarder that the whole program cannot be brought to show at
will.
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
from rainfall.dispatch.endpoint_list import MAX_REMOVED_ENDPOINTS as MOST_TARGETS_GONE
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
    always,
    hang,
    message,
)


def taken(name: str, size: int = 100) -> AcceptedMessage:
    return AcceptedMessage(
        name, "order", 7, 10**15, f"k-{name}", "acme", b"\n\0" * (size // 2)
    )


def test_store_gives_back_what_it_was_told_also_after_compacting(
    tmp_path: Path,
) -> None:
    store = MessageStore(tmp_path, 3_000_000)
    for name in "abcd":
        store.append_message(taken(name))
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
        back = MessageStore(tmp_path, 3_000_000)
        assert list(back.messages) == ["a", "b"] and back.messages == store.messages
        assert (a.attempts, a.executed_at_us, a.executed_on, a.in_flight) == (
            2,
            50,
            "s1",
            {1: (60, "s2")},
        )
        assert (back.messages["b"].attempts, back.messages["b"].executed_at_us) == (
            1,
            -1,
        )
        assert back.pending_notifications == {
            "d": PendingNotification("returned", 500)
        } and back.outages == {"s1": (5, -1)}
        assert (back.seq, back.source, back.hosts) == (
            41,
            "127.0.0.1:8500",
            store.hosts,
        )
        assert back.live_bytes == store.live_bytes
        assert store.compact()


def test_store_bounds_its_files_under_steady_traffic(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000)
    for n in range(4000):
        store.append_message(taken(f"m{n}", 2000))
        store.flush()
        store.append_finished(f"m{n}")
        store.flush()
        assert store.size < 1_000_000
    assert MessageStore(tmp_path, 1_000_000).messages == {}


def test_a_bit_gone_wrong_costs_its_record_only(tmp_path: Path) -> None:
    store = MessageStore(tmp_path, 1_000_000)
    for name in "abcd":
        store.append_message(taken(name))
    store.flush()
    data = bytearray((tmp_path / "journal").read_bytes())
    data[data.index(b'"k-c"') + 1] ^= 1
    (tmp_path / "journal").write_bytes(data)
    assert list(MessageStore(tmp_path, 1_000_000).messages) == ["a", "b", "d"]


def pool(ends: list[AttemptFinished], idle_us: int = 5_000_000) -> ConnectionPool:
    return ConnectionPool(Clock(), ends.append, ("x0", "x1"), idle_us, 1_000_000, 10)


def call(clock: Clock, name: str, left_us: int = 5_000_000) -> OutboundCall:
    return OutboundCall(
        1, (7, -1), clock(), [CallItem(name, 0, None, b"x", clock() + left_us)]
    )


def test_send_that_waits_for_its_connection_never_reaches_a_target_drained_meanwhile() -> (
    None
):
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m"))
        p.set_endpoints({})
        await peer.until(lambda: peer.closed == 1)
        assert not peer.requests and [e.outcome for e in ends] == [Outcome.NOT_SENT]
        assert p.in_flight == 0

    asyncio.run(scene())


def test_send_that_waits_for_its_connection_heeds_a_wait_told_meanwhile() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(
            always(Answer(429, {"X-RateLimit-Wait-Ms": "60000"}), OK)
        ).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "a"))
        while not ends:
            await asyncio.sleep(0.005)
        assert ends[0].retry_after_us == 60_000_000
        p.close_idle(1)
        p.start(call(Clock(), "b"))
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert ends[1].outcome is Outcome.NOT_SENT and len(peer.requests) == 1
        p.close()

    asyncio.run(scene())


def test_targets_replaced_for_months_do_not_pile_up() -> None:
    d = Dispatcher(parse_settings(SETTINGS), 1, 0)
    replaced = 512  # at once
    for first in range(0, 4 * MOST_TARGETS_GONE, replaced):
        newest = tuple(
            EndpointEntry(n, 7, kind="plain") for n in range(first, first + replaced)
        )
        d.handle(first, [EndpointListChanged(EndpointListKind.SNAPSHOT, newest)])
        assert (
            len(d.state.endpoints) <= MOST_TARGETS_GONE + replaced
            and first in d.state.endpoints
        )


def test_idle_connection_is_closed_before_its_target_would() -> None:
    """The module closes some by itself; the pool must close what it leaves."""

    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends, 1_000_000)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m"))
        await peer.until(lambda: peer.closed == 1)
        assert (
            [e.outcome for e in ends] == [Outcome.DELIVERED]
            and not p.idle
            and not p.sweeping
        )

    asyncio.run(scene())


class HalfWritten(asyncio.Transport):
    """A transport whose peer takes no more."""

    def __init__(self) -> None:
        super().__init__()
        self.ends = socket.socketpair()

    def write(self, data: object) -> None:
        pass

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self.ends[0]

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


def test_connection_that_breaks_before_the_last_byte_is_written_never_ran() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", 9)})
        for drained in (False, True):
            connection = EndpointConnection(p, Address("127.0.0.1", 9))
            connection.connection_made(HalfWritten())
            p.keep_idle(connection, 1)
            p.start(call(Clock(), "m"))
            if drained:
                connection.resume_writing()
            connection.connection_lost(None)
        assert [e.outcome for e in ends] == [Outcome.NO_CONNECTION, Outcome.RESET]
        p.idle.clear()

    asyncio.run(scene())


def test_time_out_closes_its_connection_and_frees_its_call() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(hang).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m", 150_000))
        await peer.got(1)
        assert p.in_flight == 1 and not ends
        while not ends:
            await asyncio.sleep(0.01)
        assert ends[0].outcome is Outcome.TIMED_OUT and not ends[0].message_closed
        while p.connections:
            await asyncio.sleep(0.01)
        assert p.in_flight == 0 and not p.calls and not p.idle
        p.start(call(Clock(), "n"))
        await peer.got(2)
        p.cancel("n", 0)
        assert ends[1].outcome is Outcome.CANCELED
        p.close()

    asyncio.run(scene())


def test_shared_call_is_given_up_as_a_whole_with_its_connection() -> None:
    """One message used to be given up while the call stayed open for the others: what
    came for these later did not count, and the next of a key went out while the target
    still had the one before.
    """

    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(hang).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        now = Clock()()
        p.start(
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
        request = (await peer.got(1))[0]
        assert float(request.headers["x-time-left"]) <= 10
        p.cancel("short", 0)
        assert {(e.message_id, e.outcome) for e in ends} == {
            ("long", Outcome.CANCELED),
            ("short", Outcome.CANCELED),
        }
        while p.connections:
            await asyncio.sleep(0.005)
        assert p.in_flight == 0 and not p.calls
        p.close()

    asyncio.run(scene())


def test_shared_call_ends_for_all_with_the_first_of_its_messages_to_run_out_of_time() -> (
    None
):
    """It used to stay out for the others. An endpoint that hung may answer when the
    platform holds the first to be over: what it said of the others counted here, and
    for nobody else.
    """

    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(hang).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        now = Clock()()
        p.start(
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
        request = (await peer.got(1))[0]
        assert float(request.headers["x-time-left"]) <= 0.3
        async with asyncio.timeout(10):
            while not ends:
                await asyncio.sleep(0.005)
        assert [(e.message_id, e.outcome) for e in ends] == [
            (name, Outcome.TIMED_OUT) for name in ("long", "short", "later")
        ]
        assert p.in_flight == 0 and not p.calls
        while p.connections:
            await asyncio.sleep(0.005)
        p.close()

    asyncio.run(scene())


def test_connections_are_used_again_and_closed_on_demand() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        for n in range(3):
            p.start(call(Clock(), f"m{n}"))
            while len(ends) <= n:
                await asyncio.sleep(0.005)
        assert len({r.writer for r in peer.requests}) == 1
        p.close_idle(1)
        await peer.until(lambda: peer.closed == 1)
        p.close()

    asyncio.run(scene())


def test_client_gone_before_its_answer_withdraws_the_message() -> None:
    async def scene() -> None:
        came: asyncio.Queue[SubmittedMessage] = asyncio.Queue()
        gone = asyncio.Event()

        def hand_in(handed: SubmittedMessage, door: ClientConnection) -> None:
            door.on_disconnect = gone.set
            came.put_nowait(handed)

        server = InboundServer(parse_settings(SETTINGS), Clock(), 10, hand_in)
        await server.listen("127.0.0.1", 0)
        assert server.listener is not None
        port = server.listener.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(message("m"))
        assert (await came.get()).id == "m" and not gone.is_set()
        writer.close()
        async with asyncio.timeout(20):
            await gone.wait()
        await server.close()

    asyncio.run(scene())


def test_too_many_clients_cost_the_one_idle_longest() -> None:
    async def scene() -> None:
        server = InboundServer(
            parse_settings(SETTINGS), Clock(), 2, lambda handed, door: None
        )
        await server.listen("127.0.0.1", 0)
        assert server.listener is not None
        port = server.listener.sockets[0].getsockname()[1]
        first, *others = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(3)
        ]
        async with asyncio.timeout(20):
            assert await first[0].read() == b""
        others[1][1].write(b"GET /up HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(20):
            assert (await others[1][0].readline()).startswith(b"HTTP/1.1 200")
        await server.close()

    asyncio.run(scene())


def test_more_than_was_asked_for_spoils_the_connection_and_not_the_answer() -> None:
    """A second answer behind a good one used to overwrite it; unread, it was taken for
    the next call's.
    """
    good = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    copy = b"HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 0\r\n\r\n"
    for more in (copy, b"\0\1noise\r\n"):

        async def scene(more: bytes = more) -> None:
            ends: list[AttemptFinished] = []
            peer = await Peer(always(good + more, OK)).start()
            p = pool(ends)
            p.set_endpoints({1: Address("127.0.0.1", peer.port)})
            p.start(call(Clock(), "m"))
            await peer.until(lambda: peer.closed == 1)
            p.start(call(Clock(), "n"))
            while len(ends) < 2:
                await asyncio.sleep(0.005)
            assert [e.outcome for e in ends] == [Outcome.DELIVERED] * 2 and ends[
                0
            ].retry_after_us == 0
            assert len({r.writer for r in peer.requests}) == 2
            p.close()

        asyncio.run(scene())


def test_idle_connection_with_something_unread_is_not_used() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        peer = await Peer(always(OK)).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        p.start(call(Clock(), "m"))
        while not ends:
            await asyncio.sleep(0.005)
        connection = p.idle[1][0]
        assert connection.transport is not None
        connection.transport.pause_reading()  # as if it had come this very moment
        peer.requests[0].writer.write(
            b"HTTP/1.1 500 Not yours\r\nContent-Length: 0\r\n\r\n"
        )
        await peer.requests[0].writer.drain()
        while connection.is_reusable():
            await asyncio.sleep(0.005)
        p.start(call(Clock(), "n"))
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert [e.outcome for e in ends] == [Outcome.DELIVERED] * 2
        p.close()

    asyncio.run(scene())


def test_reports_and_waits_that_are_no_numbers_count_as_not_told() -> None:
    reader = ResponseReader()
    reader.complete, reader.status = True, 429
    p = pool([])
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
        assert p.read_load_report(reader) is None
    reader.headers = {"x-backend-load": "x0=0.4, x1=25", "x-ratelimit-wait-ms": "12.5"}
    assert (
        p.read_load_report(reader) == LoadReport(0.4, 25.0)
        and parse_retry_after_us(reader) == 12_500
    )


def test_answers_ahead_are_left_out_and_an_end_may_stand_for_a_length() -> None:
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


def test_batch_answer_nested_without_end_is_spoilt_and_frees_its_call() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        deep = b"[" * 60_000
        peer = await Peer(always(Answer(200, body=deep))).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", peer.port)})
        two = call(Clock(), "a")
        two.items.append(CallItem("b", 0, None, b"x", two.items[0].timeout_at_us))
        p.start(two)
        while len(ends) < 2:
            await asyncio.sleep(0.005)
        assert (
            {e.outcome for e in ends} == {Outcome.UNREADABLE}
            and p.in_flight == 0
            and not p.calls
        )
        p.close()

    asyncio.run(scene())


def test_silent_flood_does_not_push_out_who_comes_with_requests() -> None:
    async def scene() -> None:
        server = InboundServer(
            parse_settings(SETTINGS), Clock(), 5, lambda handed, door: None
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
            silent = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(40)
            ]
            async with asyncio.timeout(20):
                for r, _ in silent[:-5]:
                    assert await r.read() == b""
        await server.close()

    asyncio.run(scene())


def test_broken_connections_are_weak_signs_of_an_outage() -> None:
    """Two resets running used to make a sound target cold for seconds; refused
    connections still do.
    """
    for outcome, weak, marked in (
        (Outcome.RESET, True, False),
        (Outcome.NO_CONNECTION, False, True),
    ):
        d = Dispatcher(parse_settings(SETTINGS), 1, 0)
        d.handle(
            0,
            [
                EndpointListChanged(
                    EndpointListKind.SNAPSHOT, (EndpointEntry(1, 7, kind="plain"),)
                )
            ],
        )
        seen: list[Action] = []
        now = 0
        for n in range(3):
            now += 50_000
            sent = d.handle(
                now, [MessageReceived(f"m{n}", 7, "status", now + 9_000_000)]
            )
            assert (n and marked) or any(isinstance(a, SendMessage) for a in sent)
            now += 20_000
            seen += d.handle(
                now,
                [
                    AttemptFinished(f"m{n}", 0, 1, outcome, 20_000, inconclusive=weak),
                    MessageWithdrawn(f"m{n}"),
                ],
            )
        assert any(isinstance(a, RecordOutage) for a in seen) is marked


def test_how_long_idle_connections_hold_is_learned_and_tried_again() -> None:
    p = pool([])
    for _ in range(5):
        p.record_staleness(900_000, True)
        p.record_staleness(9_000, False)
    assert not p.is_age_trusted(800_000) and p.is_age_trusted(9_000)
    for _ in range(100):
        p.is_age_trusted(800_000)
    assert p.is_age_trusted(800_000)


def test_target_that_moved_keeps_no_connection_to_its_old_address() -> None:
    async def scene() -> None:
        ends: list[AttemptFinished] = []
        free = asyncio.Event()

        async def late(request: object) -> Answer:
            await free.wait()
            return OK

        old, new = await Peer(late).start(), await Peer(always(OK)).start()
        p = pool(ends)
        p.set_endpoints({1: Address("127.0.0.1", old.port)})
        p.start(call(Clock(), "m"))
        await old.got(1)
        p.set_endpoints({1: Address("127.0.0.1", new.port)})
        free.set()
        await old.until(lambda: old.closed == 1)
        p.start(call(Clock(), "n"))
        await new.got(1)
        p.close()

    asyncio.run(scene())


def engine(folder: Path) -> Engine:
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


def test_fault_in_a_decision_costs_its_event_only(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The other events of its round used to be dropped: ends among them, and with these
    their slots.
    """

    async def scene() -> None:
        e = engine(tmp_path)
        started: list[OutboundCall] = []
        monkeypatch.setattr(e.pool, "start", started.append)
        e.run_round()
        for n in range(3):
            e.store.append_message(taken(f"m{n}"))
            e.post(MessageRestored(f"m{n}", 7, "order", 10**16))
        e.run_round()
        assert e.dispatcher.state.calls_in_flight == len(started) > 0
        sent = started[0].items[0].id
        whole = Dispatcher.change_endpoint_list

        def faulty(d: Dispatcher, event: EndpointListChanged) -> None:
            raise RuntimeError("a fault")

        monkeypatch.setattr(Dispatcher, "change_endpoint_list", faulty)
        out = e.dispatcher.state.calls_in_flight
        e.post(EndpointListChanged(EndpointListKind.CHANGES))
        e.post(
            AttemptFinished(
                sent, 0, started[0].endpoint, Outcome.DELIVERED, 5, message_closed=True
            )
        )
        e.run_round()
        monkeypatch.setattr(Dispatcher, "change_endpoint_list", whole)
        assert e.dispatcher.state.calls_in_flight == out and len(e.pending_events) == 1
        e.run_round()
        assert sent not in e.store.messages and sent not in e.dispatcher.state.messages
        assert (
            e.dispatcher.state.calls_in_flight
            == sum(len(c.items) > 0 for c in started) - 1
        )
        e.store.close()

    asyncio.run(scene())


def test_once_only_messages_share_no_call_with_those_that_may_be_repeated(
    tmp_path: Path,
) -> None:
    """They are waited for till their end, the others are not, and a call is given up as
    a whole.
    """

    async def scene() -> None:
        e = engine(tmp_path)
        e.batch_sizes[""] = e.batch_sizes["None"] = 20
        calls: list[Any] = []
        forming: dict[tuple[int, bool], OutboundCall] = {}
        for n, name in enumerate(["status", "pay", "order", "pay"]):
            e.store.append_message(
                AcceptedMessage(f"m{n}", name, 7, 10**16, None, None, b"")
            )
            e.add_to_call(SendMessage(f"m{n}", 1, 10**6), 0, forming, calls)
        assert [[item.id for item in c.items] for c in calls] == [
            ["m0", "m2"],
            ["m1", "m3"],
        ]
        e.store.close()

    asyncio.run(scene())


def test_names_and_ids_are_forgotten_in_time(tmp_path: Path) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        for n in range(3000):
            e.endpoint_id(f"gone{n}")
            e.remember_finished(f"m{n}", "delivered")
        assert (
            len(e.endpoint_ids)
            == len(e.endpoint_names)
            <= MAX_REMOVED_ENDPOINTS + len(e.endpoints) + 1
        )
        assert (
            len(e.recently_finished) == MAX_RECENTLY_FINISHED
            and "m2999" in e.recently_finished
        )
        e.add_to_call(
            SendMessage("m0", 1, 5), 0, {}, []
        )  # of a target and a message that are forgotten
        e.store.append_message(taken("m"))
        e.add_to_call(SendMessage("m", 10**6, 5), 0, {}, [])
        assert e.store.messages["m"].attempts == 1
        e.store.close()

    asyncio.run(scene())


def test_closed_connections_do_not_wait_for_the_rare_full_round_of_the_collector(
    tmp_path: Path,
) -> None:
    class Ring:
        me: object = None

    async def scene() -> None:
        e = engine(tmp_path)
        gc.collect()
        gc.disable()
        try:
            ring = Ring()
            ring.me = ring
            gone = weakref.ref(ring)
            del ring
            e.periodic_tasks.tick(time.monotonic())
            assert gone() is None
        finally:
            gc.enable()
        e.store.close()

    asyncio.run(scene())


def test_a_line_sums_up_what_was_done_and_starts_anew(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        e = engine(tmp_path)
        e.store.append_message(taken("m"))
        e.outcomes.record_outcome(AttemptFinished("m", 0, 1, Outcome.REJECTED, 5))
        with caplog.at_level("INFO"):
            e.periodic_tasks.log_summary(e.periodic_tasks.last_summary_s + 5)
            e.periodic_tasks.log_summary(e.periodic_tasks.last_summary_s + 5)
        first, second = caplog.messages
        assert (
            "in 5 s: 1 full; held 1, 1 for destination 7; calls out 0 of 8 slots"
            in first
        )
        assert "in 5 s: nothing; held 1" in second
        now = e.clock()
        e.dispatcher.handle(
            now,
            [EndpointListChanged(EndpointListKind.SNAPSHOT, (EndpointEntry(1, 7),))],
        )
        e.dispatcher.state.endpoints[1].throttle_scope.retry_after_until = (
            now + 60_000_000
        )
        caplog.clear()
        with caplog.at_level("INFO"):
            e.periodic_tasks.log_summary(e.periodic_tasks.last_summary_s + 5)
        assert (
            "destination 7: target 1 has 0 out, window 1, wait 5" in caplog.messages[1]
        )
        e.store.close()

    asyncio.run(scene())


def test_nothing_is_taken_out_before_the_journal_is_this_process_s(
    tmp_path: Path,
) -> None:
    """A process that is still taking over has read the journal, and must not write
    it.
    """

    async def scene() -> None:
        e = engine(tmp_path)
        e.store.release()
        said: list[int] = []
        e.set_detached("s1", True, lambda status, text: said.append(status.value))
        assert said == [503] and not e.store.detached

    asyncio.run(scene())


def test_journal_of_before_the_rules_is_read_under_those_in_force(
    tmp_path: Path,
) -> None:
    line = ["taken", "m", "order", 7, 1 << 60, None, None, 0, -1, "", [], None]
    payload = json.dumps(line).encode() + b"\nhello"
    (tmp_path / "journal").write_bytes(
        V1_FRAME.pack(len(payload), zlib.crc32(payload)) + payload
    )

    async def scene() -> None:
        e = engine(tmp_path)
        m = e.store.messages["m"]
        recalled = next(x for x in e.pending_events if isinstance(x, MessageRestored))
        assert (
            recalled.message_class
            == e.store.class_of(m)
            == e.config.settings.classes[0]
        )
        e.store.flush()
        e.store.compact()
        e.store.close()
        again = MessageStore(tmp_path, 3_000_000)
        assert again.class_of(again.messages["m"]) == e.config.settings.classes[0]
        again.close()

    asyncio.run(scene())


class Book:
    """Owes nothing."""

    def pending_notifications(self) -> dict[str, PendingNotification]:
        return {}

    def acknowledge_notifications(self, names: list[str]) -> None:
        raise AssertionError("nothing was posted")


def test_notices_that_40_could_not_post_are_not_posted_again_in_step() -> None:
    """The pauses were the same for all: those that failed at once met again at each
    further try.
    """
    fleet = [Notifier(Address("127.0.0.1", 1), Book(), seed) for seed in range(40)]
    times = [0.0] * 40
    for failures in range(6):
        times = [
            t + n.retry_delay_s(failures) for t, n in zip(times, fleet, strict=True)
        ]
        slots = [int(t / 0.01) for t in times]
        assert max(map(slots.count, slots)) <= 12
    assert all(
        0 < n.retry_delay_s(10**6) <= NOTIFICATION_BACKOFF_LIMIT_S for n in fleet
    )


def test_pushed_lists_are_asked_for_through_silence_and_refusals_without_the_module() -> (
    None
):
    """What the agent has binds as soon as it speaks again; the pauses of the module
    were seconds by then.
    """

    async def main() -> None:
        asked: list[str] = []
        told: list[EndpointList | None] = []

        def listing(seq: int, health: str) -> Answer:
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
            listing(1, "up"),
            None,
            Answer(503),
            Answer(503),
            None,
            listing(2, "draining"),
        ]

        async def agent(request: Any) -> Answer | None:
            asked.append(request.path.partition("?")[2])
            if len(asked) > len(answers):
                await hang(request)
            return (
                answers[len(asked) - 1]
                if answers[len(asked) - 1]
                else await hang(request)
            )

        peer = await Peer(agent).start()
        watch = EndpointWatch(
            Address("127.0.0.1", peer.port), 0, told.append, 1, pushed=True
        )
        watch.client.request, ask = (
            (lambda m, p, wait: ask(m, p, min(wait, 0.2))),
            watch.client.request,
        )  # type: ignore
        watch.subscribe()
        await peer.got(7)
        watch.pause()
        held = f"from=1&hold_ms={WATCH_HOLD_MS}"
        assert asked == [
            "from=0&hold_ms=0",
            held,
            *["from=1&hold_ms=0"] * 4,
            f"from=2&hold_ms={WATCH_HOLD_MS}",
        ]
        assert [t and t.endpoints[0].health for t in told] == [
            "up",
            "draining",
        ]  # no failure reached the module

    asyncio.run(main())


def test_a_refused_handover_socket_does_not_keep_it_from_serving(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def main() -> None:
        async def refused(*args: Any, **more: Any) -> None:
            raise OSError(38, "Function not implemented")

        monkeypatch.setattr(
            asyncio.get_running_loop(), "create_unix_server", refused, raising=False
        )
        engine: Any = None
        predecessor = HandoverSource(engine)
        await predecessor.listen(tmp_path)
        assert predecessor.listener is None
        predecessor.close()

    asyncio.run(main())
    assert "no handover" in caplog.text
