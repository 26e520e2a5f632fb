"""Races in the protocol between the two processes of a handover: the connection, the
journal lock, snapshot requests and the death of either process.
"""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.forwarder.handover.connection import HandoverConnection
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.handover.target import HandoverTarget

ATTEMPT_LINE = b'{"ended":["m",0,1,"delivered",5,true,0,null,false]}\n'


async def until(condition: Any) -> None:
    """Run the event loop until the condition holds, for at most 20 s; no assertion
    depends on the time taken.
    """
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.001)


async def connect_to_socket(connection: HandoverConnection) -> socket.socket:
    """Connect a handover connection to a socket pair; returns the test's bare socket."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    ours.setblocking(False)
    await asyncio.get_running_loop().create_connection(lambda: connection, sock=ours)
    return theirs


class TargetEngine:
    """Stands for the engine of the new process; records the calls made to it."""

    def __init__(self) -> None:
        self.received: list[Any] = []
        self.response_writers: dict[str, Any] = {}
        self.disconnected: list[str] = []

    def submit(self, message: Any, response_writer: Any) -> None:
        self.received.append(message.id)
        self.response_writers[message.id] = response_writer
        response_writer.on_disconnect = lambda: self.disconnected.append(message.id)

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        self.received.append((event.message_id, event.outcome))

    def set_detached(self, name: str, detached: bool, answer: Any) -> None:
        self.received.append((name, detached))

    def reload(self) -> None:
        self.received.append("reload")

    def source_lost(self) -> None:
        self.received.append("alone")


def test_outcome_sent_before_old_process_died_is_read_although_a_write_fails() -> None:
    """Guards against a failed write that closes the connection before its last lines are
    read: a delivered payment was reported as failed.
    """

    async def scene() -> None:
        target, engine = HandoverTarget(), TargetEngine()
        theirs = await connect_to_socket(target.connection)
        target.attach(engine)
        theirs.sendall(ATTEMPT_LINE)
        theirs.close()  # the old process dies before the loop reads its line
        target.connection.send(
            answer=[1, 202, "", {}]
        )  # and this write fails, as the other end is closed
        await until(lambda: target.disconnected)
        assert engine.received == [("m", Outcome.DELIVERED), "alone"]

    asyncio.run(scene())


def test_answer_sent_before_new_process_died_reaches_the_client() -> None:
    async def scene() -> None:
        class Engine:
            writers_at_loss: Any = None

            def target_lost(self) -> None:
                self.writers_at_loss = dict(source.response_writers)

            def reload_inbound_settings(self) -> None:
                pass

        class Writer:
            on_disconnect: Any = None
            statuses: list[int] = []

            def answer(self, status: int, text: str = "", **headers: str) -> None:
                self.statuses.append(int(status))

        engine: Any = Engine()
        source = HandoverSource(engine)
        source.connection, source.transferred = (
            HandoverConnection(source.on_message, source.on_disconnect),
            True,
        )
        theirs = await connect_to_socket(source.connection)
        writer = Writer()
        source.last_request_number, source.response_writers = (
            1,
            {1: ("m", writer)},
        )
        theirs.sendall(
            b'{"answer":[1,202,"",{}]}\n{"answ'
        )  # the last line is cut off by the death of the new process
        theirs.close()
        source.reload()
        await until(lambda: engine.writers_at_loss is not None)
        assert writer.statuses == [202] and engine.writers_at_loss == {}

    asyncio.run(scene())


SUBMISSION_LINE = (
    b'{"hand_in":[1,{"id":"m","class_name":"pay","destination":7,"due_us":9,"key":null,'
    b'"order_key":null,"tenant":"acme","resent":false,"body":""}]}\n'
)


def test_early_request_is_cancelled_when_old_process_dies() -> None:
    """Guards against messages accepted for clients that are gone: the new process receives
    the endpoint list before it serves, and requests forwarded meanwhile are queued.
    """

    async def scene() -> None:
        target, engine = HandoverTarget(), TargetEngine()
        theirs = await connect_to_socket(target.connection)
        theirs.sendall(SUBMISSION_LINE + ATTEMPT_LINE)
        theirs.close()
        await until(lambda: target.disconnected)
        target.attach(engine)
        assert engine.received == ["m", ("m", Outcome.DELIVERED), "alone"]
        assert engine.disconnected == ["m"] and not target.response_writers

    asyncio.run(scene())


class SourceEngine:
    """Stands for the old process's engine; `enter_pause` begins a requested pause."""

    def __init__(self) -> None:
        self.pause_callbacks: list[Any] = []
        self.pauses = self.resumed = self.transfers = 0
        self.source = HandoverSource(self)

    def pause_for_handover(self, on_paused: Any) -> None:
        self.pause_callbacks.append(on_paused)

    def enter_pause(self) -> None:
        self.pauses += 1
        self.pause_callbacks.pop(0)({"module": {}})

    def resume_after_handover(self) -> None:
        self.resumed += 1

    def transfer_ownership(self) -> None:
        self.transfers += 1
        self.source.confirm_transfer()

    def target_lost(self) -> None:
        pass

    def cancel_call(self, message: str, attempt: int) -> None:
        pass

    def reload_inbound_settings(self) -> None:
        pass


async def connect_target(engine: SourceEngine) -> tuple[HandoverConnection, list[Any]]:
    """Connect a second process that requests the snapshot; returns its connection and the
    list of lines that it receives, with `"gone"` on disconnect.
    """
    received: list[Any] = []
    source_socket, target_socket = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    source_socket.setblocking(False)
    target_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    target = HandoverConnection(
        lambda connection, line: received.append(line),
        lambda connection: received.append("gone"),
    )
    await loop.create_connection(
        lambda: HandoverConnection(
            engine.source.on_message, engine.source.on_disconnect
        ),
        sock=source_socket,
    )
    await loop.create_connection(lambda: target, sock=target_socket)
    target.send(ask=True)
    return target, received


def test_snapshot_request_is_refused_while_engine_pauses_for_a_disconnected_target() -> (
    None
):
    """Guards against two sending processes: the first target's disconnect resumed the
    engine while the second target received the snapshot.
    """

    async def scene() -> None:
        engine = SourceEngine()
        first, _ = await connect_target(engine)
        await until(lambda: engine.pause_callbacks)
        first.close()  # it dies or times out while a slow disk still syncs
        await until(lambda: engine.source.connection is None)
        _second, second_received = await connect_target(engine)
        await until(lambda: second_received or len(engine.pause_callbacks) > 1)
        assert (
            second_received[:1] == [{"no": True}] and len(engine.pause_callbacks) == 1
        )
        engine.enter_pause()
        assert engine.resumed == 1 and engine.source.connection is None
        third, third_received = await connect_target(engine)
        await until(lambda: engine.pause_callbacks)
        engine.enter_pause()
        await until(lambda: third_received)
        assert "memory" in third_received[0] and engine.resumed == 1
        third.send(prepared=True)
        await until(lambda: engine.transfers)

    asyncio.run(scene())


def test_snapshot_request_is_refused_after_ownership_was_transferred() -> None:
    """The new process dies, and another requests the snapshot before the old one has
    restarted from the journal.
    """

    async def scene() -> None:
        engine = SourceEngine()
        first, _received = await connect_target(engine)
        await until(lambda: engine.pause_callbacks)
        engine.enter_pause()
        first.send(prepared=True)
        await until(lambda: engine.transfers)
        first.close()
        await until(lambda: engine.source.connection is None)
        _, received = await connect_target(engine)
        await until(lambda: received or engine.pause_callbacks)
        assert (
            received[:1] == [{"no": True}]
            and not engine.pause_callbacks
            and engine.transfers == 1
        )

    asyncio.run(scene())


async def delay_transfer(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rainfall.forwarder.handover.target.SNAPSHOT_TIMEOUT_S", 0.2)
    engine = SourceEngine()
    gate = asyncio.Event()
    transfer = engine.transfer_ownership

    async def transfer_late() -> None:
        await gate.wait()
        transfer()

    tasks: list[asyncio.Task[None]] = []
    engine.transfer_ownership = lambda: tasks.append(
        asyncio.create_task(transfer_late())
    )  # type: ignore[method-assign]
    await engine.source.listen(folder)
    target = HandoverTarget()
    snapshot_request = asyncio.create_task(target.request_snapshot(folder))
    await until(lambda: engine.pause_callbacks)
    engine.enter_pause()
    assert await snapshot_request
    ownership_request = asyncio.create_task(target.request_ownership())
    await until(lambda: tasks)
    done, _ = await asyncio.wait(
        {ownership_request}, timeout=0.4
    )  # twice the snapshot timeout
    assert not done
    gate.set()
    assert await ownership_request and engine.source.connection is not None
    engine.source.close()


def test_ownership_request_waits_for_a_slow_old_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a timeout of 2 s on the ownership request, during which the old
    process may have transferred ownership: both then restarted, and the old one could
    take everything back.
    """
    asyncio.run(delay_transfer(tmp_path, monkeypatch))


def test_forwarded_admin_request_is_answered_when_new_process_dies() -> None:
    async def scene() -> None:
        source = HandoverSource(SourceEngine())
        source.connection, source.transferred = (
            HandoverConnection(source.on_message, source.on_disconnect),
            True,
        )
        theirs = await connect_to_socket(source.connection)
        statuses: list[int] = []
        source.set_detached(
            "s1", True, lambda status, text: statuses.append(int(status))
        )
        assert theirs.recv(1000) == b'{"rotate":[1,"s1",true]}\n' and not statuses
        theirs.close()
        await until(lambda: source.connection is None)
        assert statuses == [503]

    asyncio.run(scene())
