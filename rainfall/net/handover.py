"""Handing over to a new version that starts while this one serves: the talk of the two
processes over a Unix socket in the shared folder. What is handed over, the engine
knows.

  new: ask                    old: memory, or no
  new: prepared               old: yours, once the lock is free
  new: answer, rotated, cancel    old: hand_in, gone, ended, rotate, reload
"""

from __future__ import annotations

import asyncio
import base64
import logging
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

from rainfall.dispatch import AttemptFinished, LoadReport, Outcome
from rainfall.net.admin import Answer
from rainfall.net.link import Line, Link, short_path
from rainfall.net.lock import PAUSE_S, Lock
from rainfall.net.server import Asker, Handed

__all__ = ["Line", "Link", "Lock", "Predecessor", "Proxy", "Successor", "claim"]
SOCKET = "handover"
# a new process that takes longer to read the journal is not waited for: clients are
HOLD_S = 1.5
MOST_HOLD_S = (
    3.0  # one that comes again gets twice the time; its yes is due 6 s after its start
)
ASK_S = 2.0  # how long the old process may take to stand still
log = logging.getLogger("rainfall.handover")


if TYPE_CHECKING:

    class Giver(Protocol):
        """What the engine that serves does for the handover."""

        def hold(self, then: Callable[[Line | None], None]) -> None: ...

        def resume(self) -> None: ...

        def give(self) -> None: ...

        def bereft(self) -> None: ...

        def call_off(self, message: str, attempt: int) -> None: ...

        def reread(self) -> None: ...


class Predecessor:
    """The side of the process that serves, until another one asks for what it holds."""

    def __init__(self, engine: Giver) -> None:
        self.engine, self.given, self.stood = engine, False, True
        self.link: Link | None = None
        self.listener: asyncio.Server | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.hold_s, self.rest_until = HOLD_S, 0.0
        self.asked = 0
        self.doors: dict[int, tuple[str, Asker]] = {}
        self.rotations: dict[int, Answer] = {}

    async def listen(self, folder: Path) -> None:
        """Where such a socket cannot be had, this process serves without: a new one
        waits for its end.
        """
        try:
            with short_path(folder / SOCKET) as path:
                self.listener = await asyncio.get_running_loop().create_unix_server(
                    lambda: Link(self.heard, self.lost), path
                )
        except (OSError, NotImplementedError) as error:
            log.warning(
                "no handover to a new version from here: %s",
                error or type(error).__name__,
            )

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        if self.link is not None:
            self.link.close()

    def heard(self, link: Link, line: Line) -> None:
        if "ask" in line:
            self.ask(link)
        elif link is not self.link:
            link.close()
        elif "prepared" in line and not self.given:
            self.stop_timer()
            self.given = True
            self.engine.give()
        elif "answer" in line:
            number, status, text, headers = line["answer"]
            waiting = self.doors.pop(number, None)
            if waiting is not None:
                waiting[1].answer(HTTPStatus(status), text, **headers)
        elif "rotated" in line:
            number, status, text = line["rotated"]
            self.rotations.pop(number)(HTTPStatus(status), text)
        elif "cancel" in line:
            self.engine.call_off(*line["cancel"])

    def ask(self, link: Link) -> None:
        # Also while the engine still stands still for one that has gone meanwhile, and
        # a while after one that was too slow: asked again at once, it would stand still
        # for good.
        busy = self.link is not None or self.given or not self.stood
        if busy or time.monotonic() < self.rest_until:
            self.refuse(link)
            return
        self.link = link
        self.stood = False
        self.engine.hold(lambda memory: self.held(link, memory))

    def refuse(self, link: Link) -> None:
        link.send(no=True)
        link.close()

    def held(self, link: Link, memory: Line | None) -> None:
        """All stands still, or cannot."""
        self.stood = True
        if memory is None or link is not self.link:
            if link is self.link:
                self.link = None
            self.refuse(link)
            self.engine.resume()
            return
        link.send(memory=memory)
        self.timer = asyncio.get_running_loop().call_later(self.hold_s, self.too_slow)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def too_slow(self) -> None:
        """Who waits is served for as long as all stood still; then the next try has
        longer.
        """
        self.rest_until = time.monotonic() + self.hold_s
        self.hold_s = min(2 * self.hold_s, MOST_HOLD_S)
        self.abort()

    def abort(self) -> None:
        """The new process is not waited for any longer, unless all is its already."""
        if self.link is not None and not self.given:
            link, self.link = self.link, None
            self.stop_timer()
            link.close()
            log.warning("the new process did not take over; going on")
            if self.stood:  # else it goes on as soon as all stands still
                self.engine.resume()

    def lost(self, link: Link) -> None:
        if link is not self.link:
            return
        if self.given:
            self.link = None
            rotations, self.rotations = self.rotations, {}
            for answer in rotations.values():
                answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            self.engine.bereft()
        else:
            self.abort()

    # Once all is given away

    def yours(self) -> None:
        if self.link is not None:
            self.link.send(yours=True)

    def hand_in(self, handed: Handed, door: Asker) -> None:
        """A request that came over a connection of this process is answered by the new
        one.
        """
        if self.link is None:
            door.answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", Retry_After="1")
            return
        self.asked += 1
        number = self.asked
        self.doors[number] = (handed.id, door)
        door.left = lambda: self.gone(number)
        self.link.send(
            hand_in=[
                number,
                {**asdict(handed), "body": base64.b64encode(handed.body).decode()},
            ]
        )

    def gone(self, number: int) -> None:
        if self.doors.pop(number, None) is not None and self.link is not None:
            self.link.send(gone=number)

    def ended(self, e: AttemptFinished) -> None:
        if self.link is not None:
            report = (
                None
                if e.load_report is None
                else [e.load_report.remaining_share, e.load_report.limit_per_s]
            )
            self.link.send(
                ended=[
                    e.message_id,
                    e.attempt,
                    e.endpoint,
                    e.outcome.value,
                    e.duration_us,
                    e.message_closed,
                    e.retry_after_us,
                    report,
                    e.inconclusive,
                ]
            )

    def reload(self) -> None:
        """SIGHUP came here, but the settings are the new process's now."""
        self.engine.reread()
        if self.link is not None:
            self.link.send(reload=True)

    def rotate(self, name: str, out: bool, answer: Answer) -> None:
        if self.link is None:
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            return
        self.asked += 1
        self.rotations[self.asked] = answer
        self.link.send(rotate=[self.asked, name, out])


if TYPE_CHECKING:

    class Taker(Protocol):
        """What the engine that takes over does for the handover."""

        def hand_in(self, handed: Handed, door: Asker) -> None: ...

        def told_end(self, event: AttemptFinished) -> None: ...

        def rotate(self, name: str, out: bool, answer: Answer) -> None: ...

        def reload(self) -> None: ...

        def alone(self) -> None: ...


class Proxy:
    """A client's connection that the old process holds."""

    def __init__(self, successor: Successor, number: int) -> None:
        self.successor, self.number = successor, number
        self.left: Callable[[], None] | None = None

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        self.left = None
        self.successor.proxies.pop(self.number, None)
        self.successor.link.send(answer=[self.number, status.value, text, headers])


class Successor:
    """The side of the process that takes over."""

    def __init__(self) -> None:
        self.link = Link(self.heard, self.lost)
        self.memory: Line = {}
        self.engine: Taker | None = None
        self.early: list[Line] = []
        self.proxies: dict[int, Proxy] = {}
        self.turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.over = False

    async def ask(self, folder: Path) -> bool:
        """Whether the old process holds still and has told what it knows."""
        try:
            with short_path(folder / SOCKET) as path:
                await asyncio.get_running_loop().create_unix_connection(
                    lambda: self.link, path
                )
        except OSError:
            return False
        return await self.request("ask", ASK_S)

    async def prepared(self) -> bool:
        """Whether all is this process's from now on. The old one says so, ends the
        talk, or dies: to give up before might cross its yes, and then each would leave
        all to the other.
        """
        return await self.request("prepared", None)

    async def request(self, word: str, patience_s: float | None) -> bool:
        if self.over:
            return False
        self.turn = asyncio.get_running_loop().create_future()
        self.link.send(**{word: True})
        try:
            async with asyncio.timeout(patience_s):
                return await self.turn
        except TimeoutError:
            self.link.close()
            return False

    def attach(self, engine: Taker) -> None:
        self.engine = engine
        early, self.early = self.early, []
        for line in early:
            self.heard(self.link, line)
        if self.over:
            self.part(engine)

    def heard(self, link: Link, line: Line) -> None:
        if "memory" in line or "yours" in line or "no" in line:
            self.memory = line.get("memory", self.memory)
            if not self.turn.done():
                self.turn.set_result("no" not in line)
        elif self.engine is None:
            self.early.append(line)
        elif "hand_in" in line:
            number, parts = line["hand_in"]
            door = self.proxies[number] = Proxy(self, number)
            self.engine.hand_in(
                Handed(**{**parts, "body": base64.b64decode(parts["body"])}), door
            )
        elif "gone" in line:
            proxy = self.proxies.pop(line["gone"], None)
            if proxy is not None and proxy.left is not None:
                proxy.left()
        elif "ended" in line:
            (
                message,
                attempt,
                target,
                outcome,
                took_us,
                closed,
                wait_us,
                report,
                weak,
            ) = line["ended"]
            told = None if report is None else LoadReport(*report)
            self.engine.told_end(
                AttemptFinished(
                    message,
                    attempt,
                    target,
                    Outcome(outcome),
                    took_us,
                    closed,
                    wait_us,
                    told,
                    weak,
                )
            )
        elif "reload" in line:
            self.engine.reload()
        elif "rotate" in line:
            number, name, out = line["rotate"]
            self.engine.rotate(
                name,
                out,
                lambda status, text: self.link.send(
                    rotated=[number, status.value, text]
                ),
            )

    def lost(self, link: Link) -> None:
        self.over = True
        if not self.turn.done():
            self.turn.set_result(False)
        if self.engine is not None:
            self.part(self.engine)

    def part(self, engine: Taker) -> None:
        """The clients of the process before went with it, also those whose requests
        were told before there was an engine to take them: none of them can hear an
        answer.
        """
        for proxy in list(self.proxies.values()):
            if proxy.left is not None:
                proxy.left()
        self.proxies.clear()
        engine.alone()


async def claim(lock: Lock, folder: Path) -> Successor | None:
    """Become the one that holds the journal: at once where nobody does, else by asking
    who does. A process that neither answers nor ends is waited for: two writers would
    cost what is held.
    """
    waited = False
    while not lock.take():
        successor = Successor()
        if await successor.ask(folder):
            return successor
        with suppress(OSError):
            successor.link.close()
        if not waited:
            waited = True
            log.warning(
                "another process holds the journal and does not hand it over; waiting"
            )
        await asyncio.sleep(PAUSE_S)
    return None
