"""Discovery: the list of targets by a watch that is renewed at once, and notices until
acknowledged.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from rainfall.dispatch.endpoint_list import MAX_POLL_RETRY_US
from rainfall.net.config import Address, HostList, host_list
from rainfall.net.http import MOST_BODY, MOST_LIST, BadAnswer, ResponseReader, request
from rainfall.net.store import Owed

NO_VERSION = -1  # of a list that is not known yet; discovery counts from 0
# how long a watch waits for something newer; an answer without entries costs nothing
HOLD_MS = 1_500
LATE_S = (
    0.5  # a watch silent for so long after that is dead; the agent is on this machine
)
# how long another answer may take, with its connection; the agent answers at once
ANSWER_S = 0.6
LEAST_WATCH_S = 0.1  # the next watch must come within 0.2 s of the last answer
# after a move, what discovery tells binds so soon that the module's pauses are not
# waited out
INSIST_S = 4.0
INSIST_PAUSE_S = 0.2
# where lists are pushed, an agent on this machine answers at once or is silent, ...
PUSHED_ANSWER_S = 0.2
PUSHED_PAUSE_S = (
    0.03  # ... and from the moment that it has news they bind: it is asked all the time
)
# a pause of the watch is drawn from what it adds to 2 up to so many times its length
SPREAD = 1.5
ROUND_S = (
    0.03  # that the loop's timers and the rounds of a failure and of its answer take
)
TOLD_S, MOVED_S = (
    6.0,
    4.0,
)  # a change counts as told so long after discovery had it, and after SIGHUP
NOTICE_LEAST_S = 0.02  # between two posts that fail, so that no failure makes us spin
NOTICE_FIRST_S, NOTICE_TOP_S = (
    0.1,
    0.2,
)  # before the next post at most; doubles by each one that fails
NOTICE_ANSWER_S, NOTICE_PATIENCE_S = (
    0.1,
    0.8,
)  # for a 204, which comes at once, and where that is slow
MOST_NOTICES = (
    1024  # lines in one post: a restart may owe as many ends as it held messages
)
log = logging.getLogger("rainfall.discovery")


def told_within_s(pushed: bool) -> float:
    """The longest way from "discovery had it" to the round that heeds it, from the
    constants alone: a held watch goes silent right after it was asked and is found out;
    the call after it is silent too; the next ends as late as it may in an error status,
    half an answer, or a version that went back; and the one after that is answered as
    late as it may. No pause grows with the failures, so this holds at any number of
    them. The dial is within each answer's time. Must stay under TOLD_S, with room.
    """
    answer, pause = (
        (PUSHED_ANSWER_S, SPREAD * PUSHED_PAUSE_S)
        if pushed
        else (ANSWER_S, MAX_POLL_RETRY_US / 1_000_000 + ROUND_S)
    )
    return HOLD_MS / 1000 + LATE_S + 3 * pause + 3 * answer + ROUND_S


def told_after_move_s(pushed: bool) -> float:
    """The same from SIGHUP on, at the address that it named: what was held is cut off
    and the whole list asked for at once. Either two calls for it fail as late as they
    may, or it comes late and the watch after it goes silent at once. Must stay under
    MOVED_S, with room.
    """
    answer, pause = (
        (PUSHED_ANSWER_S, SPREAD * PUSHED_PAUSE_S)
        if pushed
        else (ANSWER_S, SPREAD * INSIST_PAUSE_S)
    )
    return (
        max(2 * (answer + pause), answer + HOLD_MS / 1000 + LATE_S + pause)
        + answer
        + ROUND_S
    )


def notice_within_s() -> float:
    """From the kick to the 204 where a post falls silent and the next one ends in an
    error: under the 0.3 s by which a notice is overdue.
    """
    return NOTICE_ANSWER_S + NOTICE_LEAST_S + NOTICE_FIRST_S + ROUND_S


class Channel(asyncio.Protocol):
    """One connection for one request after another."""

    def __init__(self) -> None:
        self.reader = ResponseReader(MOST_LIST)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[None] | None = None
        self.error: Exception | None = None
        self.retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if (
            self.answer is None or self.answer.done()
        ):  # nobody asked: it must not begin the next answer
            self.close()
            return
        try:
            self.reader.feed(data)
        except BadAnswer as error:
            self.end(error)
            self.close()
            return
        if self.reader.complete:
            self.end(None)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if error is None:
            self.reader.ended()  # so ends an answer that gave no length
        self.end(
            None
            if self.reader.complete
            else ConnectionResetError("the connection ended")
        )

    def end(self, error: Exception | None) -> None:
        if self.answer is not None and not self.answer.done():
            self.error = error
            self.answer.set_result(None)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def retire(self) -> None:
        """Nothing is asked or heard here any more; its descriptor is kept for the
        connection after it.
        """
        self.retired = True
        if self.transport is not None:
            self.transport.pause_reading()

    def open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def usable(self) -> bool:
        return self.open() and not self.retired

    async def ask(self, data: bytes, until: float) -> ResponseReader:
        """One answer, by the loop's clock `until` then. One that has come by the time
        that a loop which stood still looks again is in time.
        """
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.reader.renew()
        self.error, self.answer = None, loop.create_future()
        self.transport.write(data)
        try:
            await asyncio.wait({self.answer}, timeout=until - loop.time())
            if not self.answer.done():
                raise TimeoutError
        finally:
            self.answer.cancel()  # of no effect on one that came
        if self.error is not None:
            raise self.error
        if not self.reader.keep_alive:
            self.close()
        return self.reader


class Client:
    """Requests to discovery on one kept connection. One that ended while idle is
    replaced once: all that is asked of discovery may be asked twice.
    """

    def __init__(self, where: Address) -> None:
        self.where, self.channel = where, Channel()

    async def ask(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> ResponseReader:
        """A call that fails, or is not waited for any longer, takes its own connection
        with it, so that a late answer is never the next call's, and no connection but
        its own. One that says nothing is held until the next is dialled: where clients
        hold all other descriptors, it must not become theirs.
        """
        data = request(method, path, f"{self.where.host}:{self.where.port}", (), body)
        loop = asyncio.get_running_loop()
        until, channel = loop.time() + timeout_s, self.channel
        try:
            if channel.usable():
                try:
                    return await channel.ask(data, until)
                except ConnectionError:
                    pass
            if channel.open():
                channel.close()
                await asyncio.sleep(
                    0
                )  # it is closed in this turn, before anyone else is served
            async with asyncio.timeout_at(until):
                _, channel = await loop.create_connection(
                    Channel, self.where.host, self.where.port
                )
            self.channel = channel
            if not channel.usable():
                raise ConnectionResetError("the connection ended")
            return await channel.ask(data, until)
        except Exception:
            channel.retire()
            raise
        except BaseException:
            channel.close()
            raise

    def close(self) -> None:
        self.channel.close()


class Watch:
    """Follows the list from a version on. Where lists must be asked for, it tells a
    failure and ends, and the module asks again. Where they are `pushed`, what the agent
    has counts as told whether or not it is asked, so a failure is not told and it asks
    again at once.
    """

    def __init__(
        self,
        where: Address,
        seq: int,
        listed: Callable[[HostList | None], None],
        seed: int,
        pushed: bool = False,
    ) -> None:
        self.client, self.seq, self.listed, self.random = (
            Client(where),
            seq,
            listed,
            random.Random(seed),
        )
        self.wanted, self.insist_until = False, 0.0
        self.pushed, self.sure, self.failures = pushed, False, 0
        self.answered = asyncio.Event()  # the agent has told what it has, at least once
        self.task: asyncio.Task[None] | None = None

    def subscribe(self) -> None:
        self.wanted = True
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.follow())

    def move(self, where: Address) -> None:
        """Discovery has another address: the held call and its connection are let go,
        and the whole list is asked for there at once. Its versions may be others, and
        the module may be pausing after a failure.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.client, self.seq, self.task = Client(where), NO_VERSION, None
        self.insist_until = time.monotonic() + INSIST_S
        if self.wanted:
            self.subscribe()

    def pause(self) -> None:
        """Nothing of the list is told any more until it is asked for again."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.wanted = False  # a SIGHUP that comes in the end must not begin it anew
        self.client.close()

    async def follow(self) -> None:
        self.sure = False
        while True:
            path, wait = self.call()
            asked = time.monotonic()
            try:
                answer = await self.client.ask("GET", path, wait)
                if answer.status != 200:
                    raise BadAnswer(f"status {answer.status}")
                told = host_list(json.loads(answer.body))
                self.check(told)
                held, news = self.sure, told.seq != self.seq
                self.listed(told)
                self.seq = told.seq
            except (
                Exception
            ) as error:  # whatever comes back must not end the asking for good
                if await self.failed(error):
                    continue
                self.task = None
                self.listed(None)
                return
            self.sure, self.failures = True, 0
            self.answered.set()
            if held and not news and time.monotonic() - asked < LEAST_WATCH_S:
                await asyncio.sleep(
                    LEAST_WATCH_S
                )  # a discovery that answers at once must not spin us

    def check(self, told: HostList) -> None:
        """Changes are good for the list that they build on only. Where the version went
        back, discovery is not what it was (it was restored): what it held since is
        gone, and only the whole list tells all.
        """
        if not told.whole and (told.seq < self.seq or self.seq <= NO_VERSION):
            was, self.seq = self.seq, NO_VERSION
            raise BadAnswer(f"changes of version {told.seq} to a list of version {was}")

    def call(self) -> tuple[str, float]:
        """What to ask, and how long its answer may take. The first call, and one after
        a failure, does not wait for news: no answer to it means silence, where a held
        watch looks the same with nothing new.
        """
        at_once = PUSHED_ANSWER_S if self.pushed else ANSWER_S
        if self.seq <= NO_VERSION:
            return "/discovery/hosts", at_once
        hold = HOLD_MS if self.sure else 0
        return (
            f"/discovery/hosts?from={self.seq}&hold_ms={hold}",
            LATE_S + hold / 1000 if hold else at_once,
        )

    async def failed(self, error: Exception) -> bool:
        """Whether to ask again from here, and not before a while."""
        if self.failures % 20 == 0 or self.failures < 3 and not self.pushed:
            log.warning("the list cannot be had: %s", error or type(error).__name__)
        self.sure, self.failures = False, self.failures + 1
        insists = time.monotonic() < self.insist_until
        if insists or self.pushed:
            await asyncio.sleep(self.pause_s())
        return insists or self.pushed

    def pause_s(self) -> float:
        """Before it asks again itself. By chance, so that many do not ask in step; it
        never grows.
        """
        pause = PUSHED_PAUSE_S if self.pushed else INSIST_PAUSE_S
        return self.random.uniform(2 - SPREAD, SPREAD) * pause


if TYPE_CHECKING:

    class Platform(Protocol):
        """Where owed ends are kept until they are acknowledged."""

        def owed_ends(self) -> dict[str, Owed]: ...

        def acknowledged(self, names: list[str]) -> None: ...


class Notices:
    """Posts the ends that are owed, again and again until the platform has answered
    204.
    """

    def __init__(self, where: Address, book: Platform, seed: int) -> None:
        self.client, self.book, self.random = Client(where), book, random.Random(seed)
        self.wanted, self.paused = asyncio.Event(), False
        self.task: asyncio.Task[None] | None = None

    def kick(self) -> None:
        self.paused = False
        self.wanted.set()
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def move(self, where: Address) -> None:
        """What is owed goes to the new address. A post that is cut off is made again:
        that does no harm.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.client, self.task = Client(where), None
        if not self.paused:
            self.kick()

    def pause(self) -> None:
        """Post nothing until the next kick. A post that is cut off is made again: that
        does no harm.
        """
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.paused = True
        self.client.close()

    @staticmethod
    def patience_s(silent: int) -> float:
        """How long a 204 is waited for, after so many in a row that did not come. It is
        short, as a connection that says nothing must not hold up what is overdue 0.3 s
        after its time; but a platform that is slow all the time is heard in the end. A
        notice that is posted twice does no harm.
        """
        return float(
            min(NOTICE_PATIENCE_S, NOTICE_ANSWER_S * 2 ** min(max(0, silent - 1), 8))
        )

    def pause_s(self, failures: int) -> float:
        """By chance up to a time that doubles: many that failed at once must not ask
        again in step. It stays short, as a notice is overdue 300 ms after its message's
        time.
        """
        return self.random.uniform(
            NOTICE_LEAST_S, min(NOTICE_TOP_S, NOTICE_FIRST_S * 2 ** min(failures, 8))
        )

    async def run(self) -> None:
        failures = silent = 0
        while True:
            await self.wanted.wait()
            self.wanted.clear()
            while owed := self.book.owed_ends():
                names, body = post_body(owed)
                try:
                    answer = await self.client.ask(
                        "POST", "/v1/notices", self.patience_s(silent), body
                    )
                    if answer.status != 204:
                        raise BadAnswer(f"status {answer.status}")
                except (OSError, BadAnswer) as error:
                    if (failures + silent) % 20 == 0:
                        log.warning(
                            "notices not accepted, trying again: %s",
                            error or type(error).__name__,
                        )
                    if isinstance(
                        error, TimeoutError
                    ):  # it was waited for: no need for another pause
                        silent += 1
                        await asyncio.sleep(NOTICE_LEAST_S)
                    else:
                        await asyncio.sleep(self.pause_s(failures))
                        failures += 1
                    continue
                failures = silent = 0
                self.book.acknowledged(names)


def post_body(owed: dict[str, Owed]) -> tuple[list[str], bytes]:
    """The first of the ends that are owed, as many as one body holds: their ids and the
    body.
    """
    names: list[str] = []
    body = bytearray()
    for name, end in owed.items():
        told = line(name, end)
        if len(names) == MOST_NOTICES or len(body) + len(told) > MOST_BODY:
            break
        names.append(name)
        body += told
    return names, bytes(body)


def line(name: str, end: Owed) -> bytes:
    told: dict[str, str | int] = {"id": name, "state": end.state}
    if end.after_ms > 0:
        told["after_ms"] = end.after_ms
    return json.dumps(told, separators=(",", ":")).encode() + b"\n"
