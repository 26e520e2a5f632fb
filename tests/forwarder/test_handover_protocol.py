"""Crossings in the talk of two processes at a hand-over: the link, the lock, who asks
and who is gone.
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

WORD = b'{"ended":["m",0,1,"delivered",5,true,0,null,false]}\n'


async def until(test: Any) -> None:
    """Let the loop go on until it is so; bounded, and nothing hangs on how long it
    takes.
    """
    async with asyncio.timeout(20):
        while not test():
            await asyncio.sleep(0.001)


async def linked(link: HandoverConnection) -> socket.socket:
    """One end is the program's link, the other the test's bare socket."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    ours.setblocking(False)
    await asyncio.get_running_loop().create_connection(lambda: link, sock=ours)
    return theirs


class Taker:
    """An engine that takes over and writes down what it is told."""

    def __init__(self) -> None:
        self.told: list[Any] = []
        self.doors: dict[str, Any] = {}
        self.left: list[str] = []

    def submit(self, handed: Any, door: Any) -> None:
        self.told.append(handed.id)
        self.doors[handed.id] = door
        door.on_disconnect = lambda: self.left.append(handed.id)

    def remote_attempt_finished(self, event: AttemptFinished) -> None:
        self.told.append((event.message_id, event.outcome))

    def set_detached(self, name: str, out: bool, answer: Any) -> None:
        self.told.append((name, out))

    def reload(self) -> None:
        self.told.append("reload")

    def source_lost(self) -> None:
        self.told.append("alone")


def test_outcome_told_right_before_the_old_process_died_is_read_though_a_write_to_it_fails() -> (
    None
):
    """A failed write used to end the link before its last lines were read: a payment
    delivered had failed.
    """

    async def scene() -> None:
        successor, engine = HandoverTarget(), Taker()
        theirs = await linked(successor.connection)
        successor.attach(engine)
        theirs.sendall(WORD)
        theirs.close()  # its death; the loop has not come to read yet, ...
        successor.connection.send(
            answer=[1, 202, "", {}]
        )  # ... and this write finds the other end gone
        await until(lambda: successor.disconnected)
        assert engine.told == [("m", Outcome.DELIVERED), "alone"]

    asyncio.run(scene())


def test_answer_sent_right_before_the_new_process_died_reaches_the_client() -> None:
    async def scene() -> None:
        class Giver:
            bereft_with: Any = None

            def target_lost(self) -> None:
                self.bereft_with = dict(predecessor.response_writers)

            def reload_inbound_settings(self) -> None:
                pass

        class Door:
            on_disconnect: Any = None
            said: list[int] = []

            def answer(self, status: int, text: str = "", **headers: str) -> None:
                self.said.append(int(status))

        giver: Any = Giver()
        predecessor = HandoverSource(giver)
        predecessor.connection, predecessor.transferred = (
            HandoverConnection(predecessor.on_message, predecessor.on_disconnect),
            True,
        )
        theirs = await linked(predecessor.connection)
        door = Door()
        predecessor.last_request_number, predecessor.response_writers = (
            1,
            {1: ("m", door)},
        )
        theirs.sendall(
            b'{"answer":[1,202,"",{}]}\n{"answ'
        )  # the last line cut in half by its death
        theirs.close()
        predecessor.reload()
        await until(lambda: giver.bereft_with is not None)
        assert door.said == [202] and giver.bereft_with == {}

    asyncio.run(scene())


HANDED = (
    b'{"hand_in":[1,{"id":"m","class_name":"pay","destination":7,"due_us":9,"key":null,'
    b'"order_key":null,"tenant":"acme","resent":false,"body":""}]}\n'
)


def test_request_told_before_the_engine_was_there_is_withdrawn_when_the_old_process_dies() -> (
    None
):
    """The new process hears the list before it serves: what was told meanwhile was
    taken on for nobody.
    """

    async def scene() -> None:
        successor, engine = HandoverTarget(), Taker()
        theirs = await linked(successor.connection)
        theirs.sendall(HANDED + WORD)
        theirs.close()
        await until(lambda: successor.disconnected)
        successor.attach(engine)
        assert engine.told == ["m", ("m", Outcome.DELIVERED), "alone"]
        assert engine.left == ["m"] and not successor.response_writers

    asyncio.run(scene())


class Giver:
    """An engine that serves, and stands still when the test says so."""

    def __init__(self) -> None:
        self.holds: list[Any] = []
        self.held = self.resumed = self.gave = 0
        self.predecessor = HandoverSource(self)

    def pause_for_handover(self, then: Any) -> None:
        self.holds.append(then)

    def stands(self) -> None:
        self.held += 1
        self.holds.pop(0)({"module": {}})

    def resume_after_handover(self) -> None:
        self.resumed += 1

    def transfer_ownership(self) -> None:
        self.gave += 1
        self.predecessor.confirm_transfer()

    def target_lost(self) -> None:
        pass

    def cancel_call(self, message: str, attempt: int) -> None:
        pass

    def reload_inbound_settings(self) -> None:
        pass


async def asks(giver: Giver) -> tuple[HandoverConnection, list[Any]]:
    """Another process comes and asks; what it is told goes into the list."""
    said: list[Any] = []
    mine, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    mine.setblocking(False)
    theirs.setblocking(False)
    loop = asyncio.get_running_loop()
    other = HandoverConnection(
        lambda link, line: said.append(line), lambda link: said.append("gone")
    )
    await loop.create_connection(
        lambda: HandoverConnection(
            giver.predecessor.on_message, giver.predecessor.on_disconnect
        ),
        sock=mine,
    )
    await loop.create_connection(lambda: other, sock=theirs)
    other.send(ask=True)
    return other, said


def test_one_that_asks_while_the_engine_stills_for_another_that_has_gone_is_refused() -> (
    None
):
    """The first one's end let the engine go on, with the second told what it knew: both
    would have sent.
    """

    async def scene() -> None:
        giver = Giver()
        first, _ = await asks(giver)
        await until(lambda: giver.holds)
        first.close()  # it dies, or waits no longer, while a slow disk still syncs
        await until(lambda: giver.predecessor.connection is None)
        _second, said = await asks(giver)
        await until(lambda: said or len(giver.holds) > 1)
        assert said[:1] == [{"no": True}] and len(giver.holds) == 1
        giver.stands()
        assert giver.resumed == 1 and giver.predecessor.connection is None
        third, heard = await asks(giver)
        await until(lambda: giver.holds)
        giver.stands()
        await until(lambda: heard)
        assert "memory" in heard[0] and giver.resumed == 1
        third.send(prepared=True)
        await until(lambda: giver.gave)

    asyncio.run(scene())


def test_process_that_has_given_all_away_gives_nothing_a_second_time() -> None:
    """The new one goes, and the next asks before the old one has begun again from the
    journal.
    """

    async def scene() -> None:
        giver = Giver()
        first, _said = await asks(giver)
        await until(lambda: giver.holds)
        giver.stands()
        first.send(prepared=True)
        await until(lambda: giver.gave)
        first.close()
        await until(lambda: giver.predecessor.connection is None)
        _, heard = await asks(giver)
        await until(lambda: heard or giver.holds)
        assert heard[:1] == [{"no": True}] and not giver.holds and giver.gave == 1

    asyncio.run(scene())


async def late_yes(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rainfall.forwarder.handover.target.SNAPSHOT_TIMEOUT_S", 0.2)
    giver = Giver()
    gate = asyncio.Event()
    give = giver.transfer_ownership

    async def late() -> None:
        await gate.wait()
        give()

    tasks: list[asyncio.Task[None]] = []
    giver.transfer_ownership = lambda: tasks.append(asyncio.create_task(late()))  # type: ignore[method-assign]
    await giver.predecessor.listen(folder)
    successor = HandoverTarget()
    asked = asyncio.create_task(successor.request_snapshot(folder))
    await until(lambda: giver.holds)
    giver.stands()
    assert await asked
    prepared = asyncio.create_task(successor.request_ownership())
    await until(lambda: tasks)
    done, _ = await asyncio.wait(
        {prepared}, timeout=0.4
    )  # twice as long as it was waited for
    assert not done
    gate.set()
    assert await prepared and giver.predecessor.connection is not None
    giver.predecessor.close()


def test_yes_of_an_old_process_that_is_slow_to_give_is_waited_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It used to be given up after 2 s, in which the old one may have given: both then
    began anew, and the old one could take all back.
    """
    asyncio.run(late_yes(tmp_path, monkeypatch))


def test_operators_call_on_its_way_is_answered_when_the_new_process_dies() -> None:
    async def scene() -> None:
        predecessor = HandoverSource(Giver())
        predecessor.connection, predecessor.transferred = (
            HandoverConnection(predecessor.on_message, predecessor.on_disconnect),
            True,
        )
        theirs = await linked(predecessor.connection)
        said: list[int] = []
        predecessor.set_detached(
            "s1", True, lambda status, text: said.append(int(status))
        )
        assert theirs.recv(1000) == b'{"rotate":[1,"s1",true]}\n' and not said
        theirs.close()
        await until(lambda: predecessor.connection is None)
        assert said == [503]

    asyncio.run(scene())


# Real engines in this process: the old one, and a new one or the test in its place
