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
from rainfall.forwarder.config.loading import Address, EndpointList, parse_endpoint_list
from rainfall.forwarder.http1 import (
    MAX_BODY_BYTES,
    MAX_LIST_BYTES,
    MalformedResponseError,
    ResponseReader,
    encode_request,
)
from rainfall.forwarder.message_store import PendingNotification

NO_VERSION = -1  # of a list that is not known yet; discovery counts from 0
# how long a watch waits for something newer; an answer without entries costs nothing
WATCH_HOLD_MS = 1_500
WATCH_GRACE_S = (
    0.5  # a watch silent for so long after that is dead; the agent is on this machine
)
# how long another answer may take, with its connection; the agent answers at once
RESPONSE_TIMEOUT_S = 0.6
MIN_WATCH_INTERVAL_S = 0.1  # the next watch must come within 0.2 s of the last answer
# after a move, what discovery tells binds so soon that the module's pauses are not
# waited out
INSIST_PERIOD_S = 4.0
INSIST_RETRY_S = 0.2
# where lists are pushed, an agent on this machine answers at once or is silent, ...
PUSHED_RESPONSE_TIMEOUT_S = 0.2
PUSHED_RETRY_S = (
    0.03  # ... and from the moment that it has news they bind: it is asked all the time
)
# a pause of the watch is drawn from what it adds to 2 up to so many times its length
RETRY_JITTER = 1.5
ROUND_ALLOWANCE_S = (
    0.03  # that the loop's timers and the rounds of a failure and of its answer take
)
LIST_LATENCY_LIMIT_S, LIST_LATENCY_LIMIT_AFTER_MOVE_S = (
    6.0,
    4.0,
)  # a change counts as told so long after discovery had it, and after SIGHUP
NOTIFICATION_MIN_RETRY_S = (
    0.02  # between two posts that fail, so that no failure makes us spin
)
NOTIFICATION_FIRST_BACKOFF_S, NOTIFICATION_TOP_BACKOFF_S = (
    0.1,
    0.2,
)  # before the next post at most; doubles by each one that fails
NOTIFICATION_RESPONSE_TIMEOUT_S, NOTIFICATION_TOP_RESPONSE_TIMEOUT_S = (
    0.1,
    0.8,
)  # for a 204, which comes at once, and where that is slow
MAX_NOTIFICATIONS_PER_POST = (
    1024  # lines in one post: a restart may owe as many ends as it held messages
)
log = logging.getLogger("rainfall.discovery")


def list_latency_bound_s(pushed: bool) -> float:
    """The longest way from "discovery had it" to the round that heeds it, from the
    constants alone: a held watch goes silent right after it was asked and is found out;
    the call after it is silent too; the next ends as late as it may in an error status,
    half an answer, or a version that went back; and the one after that is answered as
    late as it may. No pause grows with the failures, so this holds at any number of
    them. The dial is within each answer's time. Must stay under TOLD_S, with room.
    """
    response_timeout_s, retry_s = (
        (PUSHED_RESPONSE_TIMEOUT_S, RETRY_JITTER * PUSHED_RETRY_S)
        if pushed
        else (RESPONSE_TIMEOUT_S, MAX_POLL_RETRY_US / 1_000_000 + ROUND_ALLOWANCE_S)
    )
    return (
        WATCH_HOLD_MS / 1000
        + WATCH_GRACE_S
        + 3 * retry_s
        + 3 * response_timeout_s
        + ROUND_ALLOWANCE_S
    )


def list_latency_bound_after_move_s(pushed: bool) -> float:
    """The same from SIGHUP on, at the address that it named: what was held is cut off
    and the whole list asked for at once. Either two calls for it fail as late as they
    may, or it comes late and the watch after it goes silent at once. Must stay under
    MOVED_S, with room.
    """
    response_timeout_s, retry_s = (
        (PUSHED_RESPONSE_TIMEOUT_S, RETRY_JITTER * PUSHED_RETRY_S)
        if pushed
        else (RESPONSE_TIMEOUT_S, RETRY_JITTER * INSIST_RETRY_S)
    )
    return (
        max(
            2 * (response_timeout_s + retry_s),
            response_timeout_s + WATCH_HOLD_MS / 1000 + WATCH_GRACE_S + retry_s,
        )
        + response_timeout_s
        + ROUND_ALLOWANCE_S
    )


def notification_latency_bound_s() -> float:
    """From the kick to the 204 where a post falls silent and the next one ends in an
    error: under the 0.3 s by which a notice is overdue.
    """
    return (
        NOTIFICATION_RESPONSE_TIMEOUT_S
        + NOTIFICATION_MIN_RETRY_S
        + NOTIFICATION_FIRST_BACKOFF_S
        + ROUND_ALLOWANCE_S
    )


class HttpConnection(asyncio.Protocol):
    """One connection for one request after another."""

    def __init__(self) -> None:
        self.reader = ResponseReader(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[None] | None = None
        self.error: Exception | None = None
        self.retired = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if (
            self.response is None or self.response.done()
        ):  # nobody asked: it must not begin the next answer
            self.close()
            return
        try:
            self.reader.feed(data)
        except MalformedResponseError as error:
            self.finish_response(error)
            self.close()
            return
        if self.reader.complete:
            self.finish_response(None)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if error is None:
            self.reader.on_eof()  # so ends an answer that gave no length
        self.finish_response(
            None
            if self.reader.complete
            else ConnectionResetError("the connection ended")
        )

    def finish_response(self, error: Exception | None) -> None:
        if self.response is not None and not self.response.done():
            self.error = error
            self.response.set_result(None)

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

    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def is_usable(self) -> bool:
        return self.is_open() and not self.retired

    async def exchange(self, data: bytes, deadline: float) -> ResponseReader:
        """One answer, by the loop's clock `until` then.

        One that has come by the time that a loop which stood still looks again is in
        time.
        """
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.reader.reset()
        self.error, self.response = None, loop.create_future()
        self.transport.write(data)
        try:
            await asyncio.wait({self.response}, timeout=deadline - loop.time())
            if not self.response.done():
                raise TimeoutError
        finally:
            self.response.cancel()  # of no effect on one that came
        if self.error is not None:
            raise self.error
        if not self.reader.keep_alive:
            self.close()
        return self.reader


class HttpClient:
    """Requests to discovery on one kept connection.

    One that ended while idle is replaced once: all that is asked of discovery may be
    asked twice.
    """

    def __init__(self, where: Address) -> None:
        self.address, self.connection = where, HttpConnection()

    async def request(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> ResponseReader:
        """A call that fails, or is not waited for any longer, takes its own connection
        with it, so that a late answer is never the next call's, and no connection but
        its own. One that says nothing is held until the next is dialled: where clients
        hold all other descriptors, it must not become theirs.
        """
        data = encode_request(
            method, path, f"{self.address.host}:{self.address.port}", (), body
        )
        loop = asyncio.get_running_loop()
        deadline, connection = loop.time() + timeout_s, self.connection
        try:
            if connection.is_usable():
                try:
                    return await connection.exchange(data, deadline)
                except ConnectionError:
                    pass
            if connection.is_open():
                connection.close()
                await asyncio.sleep(
                    0
                )  # it is closed in this turn, before anyone else is served
            async with asyncio.timeout_at(deadline):
                _, connection = await loop.create_connection(
                    HttpConnection, self.address.host, self.address.port
                )
            self.connection = connection
            if not connection.is_usable():
                raise ConnectionResetError("the connection ended")
            return await connection.exchange(data, deadline)
        except Exception:
            connection.retire()
            raise
        except BaseException:
            connection.close()
            raise

    def close(self) -> None:
        self.connection.close()


class EndpointWatch:
    """Follows the list from a version on.

    Where lists must be asked for, it tells a failure and ends, and the module asks
    again. Where they are `pushed`, what the agent has counts as told whether or not it
    is asked, so a failure is not told and it asks again at once.
    """

    def __init__(
        self,
        where: Address,
        seq: int,
        listed: Callable[[EndpointList | None], None],
        seed: int,
        pushed: bool = False,
    ) -> None:
        self.client, self.version, self.on_list, self.random = (
            HttpClient(where),
            seq,
            listed,
            random.Random(seed),
        )
        self.subscribed, self.insist_until_s = False, 0.0
        self.pushed, self.confirmed, self.failures = pushed, False, 0
        self.answered = asyncio.Event()  # the agent has told what it has, at least once
        self.task: asyncio.Task[None] | None = None

    def subscribe(self) -> None:
        self.subscribed = True
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.follow())

    def change_address(self, where: Address) -> None:
        """Discovery has another address: the held call and its connection are let go,
        and the whole list is asked for there at once. Its versions may be others, and
        the module may be pausing after a failure.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.client, self.version, self.task = HttpClient(where), NO_VERSION, None
        self.insist_until_s = time.monotonic() + INSIST_PERIOD_S
        if self.subscribed:
            self.subscribe()

    def pause(self) -> None:
        """Nothing of the list is told any more until it is asked for again."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.subscribed = False  # a SIGHUP that comes in the end must not begin it anew
        self.client.close()

    async def follow(self) -> None:
        self.confirmed = False
        while True:
            path, timeout_s = self.next_request()
            requested_at = time.monotonic()
            try:
                answer = await self.client.request("GET", path, timeout_s)
                if answer.status != 200:
                    raise MalformedResponseError(f"status {answer.status}")
                endpoints = parse_endpoint_list(json.loads(answer.body))
                self.check_version(endpoints)
                was_confirmed, changed = (
                    self.confirmed,
                    endpoints.version != self.version,
                )
                self.on_list(endpoints)
                self.version = endpoints.version
            except (
                Exception
            ) as error:  # whatever comes back must not end the asking for good
                if await self.on_failure(error):
                    continue
                self.task = None
                self.on_list(None)
                return
            self.confirmed, self.failures = True, 0
            self.answered.set()
            if (
                was_confirmed
                and not changed
                and time.monotonic() - requested_at < MIN_WATCH_INTERVAL_S
            ):
                await asyncio.sleep(
                    MIN_WATCH_INTERVAL_S
                )  # a discovery that answers at once must not spin us

    def check_version(self, endpoints: EndpointList) -> None:
        """Changes are good for the list that they build on only.

        Where the version went back, discovery is not what it was (it was restored):
        what it held since is gone, and only the whole list tells all.
        """
        if not endpoints.complete and (
            endpoints.version < self.version or self.version <= NO_VERSION
        ):
            previous, self.version = self.version, NO_VERSION
            raise MalformedResponseError(
                f"changes of version {endpoints.version} to a list of version {previous}"
            )

    def next_request(self) -> tuple[str, float]:
        """What to ask, and how long its answer may take.

        The first call, and one after a failure, does not wait for news: no answer to it
        means silence, where a held watch looks the same with nothing new.
        """
        immediate_timeout_s = (
            PUSHED_RESPONSE_TIMEOUT_S if self.pushed else RESPONSE_TIMEOUT_S
        )
        if self.version <= NO_VERSION:
            return "/discovery/hosts", immediate_timeout_s
        hold = WATCH_HOLD_MS if self.confirmed else 0
        return (
            f"/discovery/hosts?from={self.version}&hold_ms={hold}",
            WATCH_GRACE_S + hold / 1000 if hold else immediate_timeout_s,
        )

    async def on_failure(self, error: Exception) -> bool:
        """Whether to ask again from here, and not before a while."""
        if self.failures % 20 == 0 or (self.failures < 3 and not self.pushed):
            log.warning("the list cannot be had: %s", error or type(error).__name__)
        self.confirmed, self.failures = False, self.failures + 1
        insists = time.monotonic() < self.insist_until_s
        if insists or self.pushed:
            await asyncio.sleep(self.retry_delay_s())
        return insists or self.pushed

    def retry_delay_s(self) -> float:
        """Before it asks again itself.

        By chance, so that many do not ask in step; it never grows.
        """
        base_s = PUSHED_RETRY_S if self.pushed else INSIST_RETRY_S
        return self.random.uniform(2 - RETRY_JITTER, RETRY_JITTER) * base_s


if TYPE_CHECKING:

    class NotificationSource(Protocol):
        """Where owed ends are kept until they are acknowledged."""

        def pending_notifications(self) -> dict[str, PendingNotification]: ...

        def acknowledge_notifications(self, names: list[str]) -> None: ...


class Notifier:
    """Posts the ends that are owed, again and again until the platform has answered
    204.
    """

    def __init__(self, where: Address, book: NotificationSource, seed: int) -> None:
        self.client, self.source, self.random = (
            HttpClient(where),
            book,
            random.Random(seed),
        )
        self.wake, self.paused = asyncio.Event(), False
        self.task: asyncio.Task[None] | None = None

    def kick(self) -> None:
        self.paused = False
        self.wake.set()
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def change_address(self, where: Address) -> None:
        """What is owed goes to the new address.

        A post that is cut off is made again: that does no harm.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.client, self.task = HttpClient(where), None
        if not self.paused:
            self.kick()

    def pause(self) -> None:
        """Post nothing until the next kick.

        A post that is cut off is made again: that does no harm.
        """
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.paused = True
        self.client.close()

    @staticmethod
    def response_timeout_s(timeouts: int) -> float:
        """How long a 204 is waited for, after so many in a row that did not come.

        It is short, as a connection that says nothing must not hold up what is overdue
        0.3 s after its time; but a platform that is slow all the time is heard in the
        end. A notice that is posted twice does no harm.
        """
        return float(
            min(
                NOTIFICATION_TOP_RESPONSE_TIMEOUT_S,
                NOTIFICATION_RESPONSE_TIMEOUT_S * 2 ** min(max(0, timeouts - 1), 8),
            )
        )

    def retry_delay_s(self, failures: int) -> float:
        """By chance up to a time that doubles: many that failed at once must not ask
        again in step. It stays short, as a notice is overdue 300 ms after its message's
        time.
        """
        return self.random.uniform(
            NOTIFICATION_MIN_RETRY_S,
            min(
                NOTIFICATION_TOP_BACKOFF_S,
                NOTIFICATION_FIRST_BACKOFF_S * 2 ** min(failures, 8),
            ),
        )

    async def run(self) -> None:
        failures = timeouts = 0
        while True:
            await self.wake.wait()
            self.wake.clear()
            while pending := self.source.pending_notifications():
                ids, body = encode_notifications(pending)
                try:
                    answer = await self.client.request(
                        "POST", "/v1/notices", self.response_timeout_s(timeouts), body
                    )
                    if answer.status != 204:
                        raise MalformedResponseError(f"status {answer.status}")
                except (OSError, MalformedResponseError) as error:
                    if (failures + timeouts) % 20 == 0:
                        log.warning(
                            "notices not accepted, trying again: %s",
                            error or type(error).__name__,
                        )
                    if isinstance(
                        error, TimeoutError
                    ):  # it was waited for: no need for another pause
                        timeouts += 1
                        await asyncio.sleep(NOTIFICATION_MIN_RETRY_S)
                    else:
                        await asyncio.sleep(self.retry_delay_s(failures))
                        failures += 1
                    continue
                failures = timeouts = 0
                self.source.acknowledge_notifications(ids)


def encode_notifications(
    pending: dict[str, PendingNotification],
) -> tuple[list[str], bytes]:
    """The first of the ends that are owed, as many as one body holds: their ids and the
    body.
    """
    ids: list[str] = []
    body = bytearray()
    for name, end in pending.items():
        encoded = encode_notification(name, end)
        if (
            len(ids) == MAX_NOTIFICATIONS_PER_POST
            or len(body) + len(encoded) > MAX_BODY_BYTES
        ):
            break
        ids.append(name)
        body += encoded
    return ids, bytes(body)


def encode_notification(message_id: str, notification: PendingNotification) -> bytes:
    fields: dict[str, str | int] = {"id": message_id, "state": notification.state}
    if notification.after_ms > 0:
        fields["after_ms"] = notification.after_ms
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"
