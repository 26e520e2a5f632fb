"""Crossings at a hand-over: each of two events that meet in one moment, in the order that a test forces."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from lemonshunt import interface as i
from lemonshunt.net.handover import Predecessor, Successor
from lemonshunt.net.link import Link

WORD = b'{"ended":["m",0,1,"delivered",5,true,0,null,false]}\n'


async def until(test: Any) -> None:
    """Let the loop go on until it is so; bounded, and nothing hangs on how long it takes."""
    async with asyncio.timeout(20):
        while not test():
            await asyncio.sleep(0.001)


async def linked(link: Link) -> socket.socket:
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

    def hand_in(self, handed: Any, door: Any) -> None:
        self.told.append(handed.id)
        self.doors[handed.id] = door
        door.left = lambda: self.left.append(handed.id)

    def told_end(self, event: i.Ended) -> None:
        self.told.append((event.message, event.outcome))

    def rotate(self, name: str, out: bool, answer: Any) -> None:
        self.told.append((name, out))

    def reload(self) -> None:
        self.told.append("reload")

    def alone(self) -> None:
        self.told.append("alone")


def test_outcome_told_right_before_the_old_process_died_is_read_though_a_write_to_it_fails() -> None:
    """A failed write used to end the link before its last lines were read: a payment delivered had failed."""
    async def scene() -> None:
        successor, engine = Successor(), Taker()
        theirs = await linked(successor.link)
        successor.attach(engine)
        theirs.sendall(WORD)
        theirs.close()  # its death; the loop has not come to read yet, ...
        successor.link.send(answer=[1, 202, "", {}])  # ... and this write finds the other end gone
        await until(lambda: successor.over)
        assert engine.told == [("m", i.Outcome.DELIVERED), "alone"]
    asyncio.run(scene())


def test_answer_sent_right_before_the_new_process_died_reaches_the_client() -> None:
    async def scene() -> None:
        class Giver:
            bereft_with: Any = None

            def bereft(self) -> None:
                self.bereft_with = dict(predecessor.doors)

        class Door:
            left: Any = None
            said: list[int] = []

            def answer(self, status: int, text: str = "", **headers: str) -> None:
                self.said.append(int(status))

        giver: Any = Giver()
        predecessor = Predecessor(giver)
        predecessor.link, predecessor.given = Link(predecessor.heard, predecessor.lost), True
        theirs = await linked(predecessor.link)
        door = Door()
        predecessor.asked, predecessor.doors = 1, {1: ("m", door)}
        theirs.sendall(b'{"answer":[1,202,"",{}]}\n{"answ')  # the last line cut in half by its death
        theirs.close()
        predecessor.reload()
        await until(lambda: giver.bereft_with is not None)
        assert door.said == [202] and giver.bereft_with == {}
    asyncio.run(scene())


HANDED = (b'{"hand_in":[1,{"id":"m","class_name":"pay","destination":7,"due_us":9,"key":null,'
          b'"order_key":null,"tenant":"acme","resent":false,"body":""}]}\n')


def test_request_told_before_the_engine_was_there_is_withdrawn_when_the_old_process_dies() -> None:
    """The new process hears the list before it serves: what was told meanwhile was taken on for nobody."""
    async def scene() -> None:
        successor, engine = Successor(), Taker()
        theirs = await linked(successor.link)
        theirs.sendall(HANDED + WORD)
        theirs.close()
        await until(lambda: successor.over)
        successor.attach(engine)
        assert engine.told == ["m", ("m", i.Outcome.DELIVERED), "alone"]
        assert engine.left == ["m"] and not successor.proxies
    asyncio.run(scene())
