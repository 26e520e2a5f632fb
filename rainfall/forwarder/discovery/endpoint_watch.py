"""Discovery: follows the endpoint list by a watch, and posts notifications.

Both use `HttpClient`, which keeps one connection.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from rainfall.dispatch.endpoint_list import MAX_POLL_RETRY_US
from rainfall.forwarder.config.loading import Address, EndpointList, parse_endpoint_list
from rainfall.forwarder.discovery.http_connection import HttpConnection
from rainfall.forwarder.discovery.notifications import (
    LOOP_ALLOWANCE_S,
    MAX_NOTIFICATIONS_PER_POST,
    NOTIFICATION_FIRST_BACKOFF_S,
    NOTIFICATION_MIN_RETRY_S,
    NOTIFICATION_PATH,
    NOTIFICATION_RESPONSE_TIMEOUT_S,
    NOTIFICATION_TOP_BACKOFF_S,
    NOTIFICATION_TOP_RESPONSE_TIMEOUT_S,
    doubled_up_to,
    encode_notifications,
    notification_latency_bound_s,
)
from rainfall.forwarder.http1 import (
    MalformedResponseError,
    ResponseReader,
    encode_request,
)
from rainfall.forwarder.units import MS_PER_SECOND, US_PER_SECOND

if TYPE_CHECKING:
    from rainfall.forwarder.discovery.notifications import NotificationSource

__all__ = [
    "MAX_NOTIFICATIONS_PER_POST",
    "NOTIFICATION_RESPONSE_TIMEOUT_S",
    "NOTIFICATION_TOP_BACKOFF_S",
    "NOTIFICATION_TOP_RESPONSE_TIMEOUT_S",
    "NO_VERSION",
    "EndpointWatch",
    "HttpClient",
    "HttpConnection",
    "Notifier",
    "encode_notifications",
    "notification_latency_bound_s",
]
LIST_PATH = "/discovery/hosts"
NO_VERSION = -1
"""Version of a list that is not known yet; discovery counts from 0."""
WATCH_HOLD_MS = 1_500
"""How long a watch waits for a newer list; an answer without entries costs nothing."""
WATCH_GRACE_S = 0.5
"""A watch without an answer so long after that is dead: the agent is on this machine."""
RESPONSE_TIMEOUT_S = 0.6
"""How long any other answer may take, with its connection; the agent answers at once."""
MIN_WATCH_INTERVAL_S = 0.1
"""Between two watches where nothing changes; the next one must come within 0.2 s."""
INSIST_PERIOD_S = 4.0
"""After a change of discovery's address its list is needed so soon that the watch does
not wait for the dispatcher's poll.
"""
INSIST_RETRY_S = 0.2
"""Mean time between two polls in that period."""
PUSHED_RESPONSE_TIMEOUT_S = 0.2
"""Where lists are pushed, an agent on this machine answers at once or is silent, ..."""
PUSHED_RETRY_S = 0.03
"""... and its list binds from the moment that it has it: it is polled all the time."""
RETRY_JITTER = 1.5
"""A retry comes after up to this times the mean time, and as much less at the least."""
ROUND_ALLOWANCE_S = LOOP_ALLOWANCE_S
"""What the event loop's timers, and the rounds of a failure and of its answer, take."""
LIST_LATENCY_LIMIT_S = 6.0
"""A change counts as received so long after discovery had it, ..."""
LIST_LATENCY_LIMIT_AFTER_MOVE_S = 4.0
"""... and so long after a SIGHUP that changed discovery's address."""
LOGGED_FAILURES = 3
"""Each of the first failures in a row is logged where lists are polled, ..."""
FAILURE_LOG_INTERVAL = 20
"""... and then one of so many."""
log = logging.getLogger("rainfall.discovery")


class RequestTimes(NamedTuple):
    """The longest times of a request that fails, for the bounds below."""

    response_timeout_s: float
    retry_s: float


def list_latency_bound_s(pushed: bool) -> float:
    """Return the longest way from discovery's having a list to the round that heeds it.

    By the constants alone: a held watch goes silent right after it was asked and is
    found out; the request after it gets no answer either; the next ends as late as it
    may in an error status, an incomplete answer, or a version that went back; and the
    one after that is answered as late as it may. No backoff grows with the failures, so
    this holds at any number of them. The dial is within each answer's time. It must
    stay under LIST_LATENCY_LIMIT_S, with room.
    """
    if pushed:
        times = RequestTimes(PUSHED_RESPONSE_TIMEOUT_S, RETRY_JITTER * PUSHED_RETRY_S)
    else:
        poll_retry_s = MAX_POLL_RETRY_US / US_PER_SECOND + ROUND_ALLOWANCE_S
        times = RequestTimes(RESPONSE_TIMEOUT_S, poll_retry_s)
    return (
        WATCH_HOLD_MS / MS_PER_SECOND
        + WATCH_GRACE_S
        + 3 * times.retry_s
        + 3 * times.response_timeout_s
        + ROUND_ALLOWANCE_S
    )


def list_latency_bound_after_move_s(pushed: bool) -> float:
    """Return the same from SIGHUP on, at the address that it named.

    What was held is cut off, and the complete list is polled at once. Either two
    requests for it fail as late as they may, or it comes late and the watch after it
    goes silent at once. It must stay under LIST_LATENCY_LIMIT_AFTER_MOVE_S, with room.
    """
    if pushed:
        times = RequestTimes(PUSHED_RESPONSE_TIMEOUT_S, RETRY_JITTER * PUSHED_RETRY_S)
    else:
        times = RequestTimes(RESPONSE_TIMEOUT_S, RETRY_JITTER * INSIST_RETRY_S)
    two_failures_s = 2 * (times.response_timeout_s + times.retry_s)
    silent_watch_s = (
        times.response_timeout_s
        + WATCH_HOLD_MS / MS_PER_SECOND
        + WATCH_GRACE_S
        + times.retry_s
    )
    return (
        max(two_failures_s, silent_watch_s)
        + times.response_timeout_s
        + ROUND_ALLOWANCE_S
    )


class HttpClient:
    """Requests on one connection, which is kept.

    A connection that ended while idle is replaced once: all requests here may be
    repeated.
    """

    def __init__(self, where: Address) -> None:
        self.address = where
        self.connection = HttpConnection()

    async def request(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> ResponseReader:
        """Send a request and return its response.

        A request that fails, or is not waited for any longer, ends its own connection
        and no other, so that a late response is never taken for the next one. A silent
        connection is held until the next is dialled: where clients hold all other
        descriptors, its descriptor must not become theirs.

        Raises:
            OSError: The connection cannot be made or broke, or the time is over.
            MalformedResponseError: The response cannot be read.
        """
        data = encode_request(
            method, path, f"{self.address.host}:{self.address.port}", (), body
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = self.connection
        try:
            if connection.is_usable():
                try:
                    return await connection.exchange(data, deadline)
                except ConnectionError:
                    pass
            if connection.is_open():
                connection.close()
                # It is closed in this turn, before anyone else is served.
                await asyncio.sleep(0)
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
        """Close the connection; a further request makes a new one."""
        self.connection.close()


class EndpointWatch:
    """Follows the endpoint list from a version on.

    Where lists must be polled, it reports a failure and ends, and the dispatcher polls
    again. Where they are `pushed`, what the agent has counts as received whether or not
    it is polled, so a failure is not reported and the watch polls again at once.
    """

    def __init__(
        self,
        where: Address,
        seq: int,
        listed: Callable[[EndpointList | None], None],
        seed: int,
        pushed: bool = False,
    ) -> None:
        """Make a watch that does nothing until `subscribe`.

        Args:
            where: Discovery's address.
            seq: Version of the list that is known, or NO_VERSION.
            listed: Gets each list, and None after a failure.
            seed: For the jitter of retries.
            pushed: Whether lists are pushed.
        """
        self.client = HttpClient(where)
        self.version = seq
        self.on_list = listed
        self.random = random.Random(seed)
        self.subscribed = False
        self.insist_until_s = 0.0
        self.pushed = pushed
        self.confirmed = False
        """Discovery has answered since the last failure."""
        self.failures = 0
        """Failures in a row."""
        self.answered = asyncio.Event()
        """Discovery has sent its list at least once."""
        self.task: asyncio.Task[None] | None = None

    def subscribe(self) -> None:
        """Follow the list, if that is not done already."""
        self.subscribed = True
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.follow())

    def change_address(self, where: Address) -> None:
        """Follow the list at another address of discovery.

        The held request and its connection are dropped, and the complete list is polled
        there at once: its versions may be others, and the dispatcher may be waiting
        after a failure.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.client = HttpClient(where)
        self.version = NO_VERSION
        self.task = None
        self.insist_until_s = time.monotonic() + INSIST_PERIOD_S
        if self.subscribed:
            self.subscribe()

    def pause(self) -> None:
        """Report no list any more until the next `subscribe`."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        # So that a SIGHUP at the process's end does not start the watch again.
        self.subscribed = False
        self.client.close()

    async def follow(self) -> None:
        """Poll the list again and again, until a failure ends it."""
        self.confirmed = False
        while True:
            requested_at = time.monotonic()
            was_confirmed = self.confirmed
            previous_version = self.version
            try:
                await self._poll()
            # No answer, whatever it is, may end the watch for good.
            except Exception as error:
                if await self.on_failure(error):
                    continue
                self.task = None
                self.on_list(None)
                return
            self.confirmed = True
            self.failures = 0
            self.answered.set()
            if (
                was_confirmed
                and self.version == previous_version
                and time.monotonic() - requested_at < MIN_WATCH_INTERVAL_S
            ):
                # A discovery that answers at once must not make the watch spin.
                await asyncio.sleep(MIN_WATCH_INTERVAL_S)

    async def _poll(self) -> None:
        """Make one request, and report the list that it brings."""
        path, timeout_s = self.next_request()
        response = await self.client.request("GET", path, timeout_s)
        if response.status != HTTPStatus.OK:
            raise MalformedResponseError(f"status {response.status}")
        endpoints = parse_endpoint_list(json.loads(response.body))
        self.check_version(endpoints)
        self.on_list(endpoints)
        self.version = endpoints.version

    def check_version(self, endpoints: EndpointList) -> None:
        """Refuse changes to a list that is not the known one, and forget that one.

        Where the version went back, discovery was restored: what it had since is lost,
        and only the complete list will do.
        """
        if not endpoints.complete and (
            endpoints.version < self.version or self.version <= NO_VERSION
        ):
            previous = self.version
            self.version = NO_VERSION
            raise MalformedResponseError(
                f"changes of version {endpoints.version} to a list of version {previous}"
            )

    def next_request(self) -> tuple[str, float]:
        """Return the path of the next request, and how long its answer may take.

        The first request, and one after a failure, does not wait for a newer list: no
        answer to it means that discovery is silent, while a held watch looks the same
        where nothing is new.
        """
        immediate_timeout_s = (
            PUSHED_RESPONSE_TIMEOUT_S if self.pushed else RESPONSE_TIMEOUT_S
        )
        if self.version <= NO_VERSION:
            return LIST_PATH, immediate_timeout_s
        hold_ms = WATCH_HOLD_MS if self.confirmed else 0
        timeout_s = (
            WATCH_GRACE_S + hold_ms / MS_PER_SECOND if hold_ms else immediate_timeout_s
        )
        return f"{LIST_PATH}?from={self.version}&hold_ms={hold_ms}", timeout_s

    async def on_failure(self, error: Exception) -> bool:
        """Note a failure, and return whether to poll again, once that is due."""
        if self.failures % FAILURE_LOG_INTERVAL == 0 or (
            self.failures < LOGGED_FAILURES and not self.pushed
        ):
            log.warning("the list cannot be had: %s", error or type(error).__name__)
        self.confirmed = False
        self.failures += 1
        polls_again = time.monotonic() < self.insist_until_s or self.pushed
        if polls_again:
            await asyncio.sleep(self.retry_delay_s())
        return polls_again

    def retry_delay_s(self) -> float:
        """Return the time before the watch polls again itself.

        It is random, so that many forwarders do not poll in step, and never grows.
        """
        base_s = PUSHED_RETRY_S if self.pushed else INSIST_RETRY_S
        return self.random.uniform(2 - RETRY_JITTER, RETRY_JITTER) * base_s


class Notifier:
    """Posts pending notifications until the platform acknowledges them with a 204."""

    def __init__(self, where: Address, book: NotificationSource, seed: int) -> None:
        self.client = HttpClient(where)
        self.source = book
        self.random = random.Random(seed)
        self.wake = asyncio.Event()
        self.paused = False
        self.task: asyncio.Task[None] | None = None

    def kick(self) -> None:
        """Post what is pending now."""
        self.paused = False
        self.wake.set()
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def change_address(self, where: Address) -> None:
        """Post what is pending to another address.

        A post that is cut off is made again, which does no harm.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.client = HttpClient(where)
        self.task = None
        if not self.paused:
            self.kick()

    def pause(self) -> None:
        """Post nothing until the next kick.

        A post that is cut off is made again, which does no harm.
        """
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.paused = True
        self.client.close()

    @staticmethod
    def response_timeout_s(timeouts: int) -> float:
        """Return how long to wait for a 204, after so many timeouts in a row.

        It is short, as a silent connection must not hold up what is overdue after
        0.3 s; but a platform that is slow all the time is heard in the end. A
        notification that is posted twice does no harm.
        """
        return doubled_up_to(
            NOTIFICATION_RESPONSE_TIMEOUT_S,
            max(0, timeouts - 1),
            NOTIFICATION_TOP_RESPONSE_TIMEOUT_S,
        )

    def retry_delay_s(self, failures: int) -> float:
        """Return the backoff after so many posts in a row that failed before.

        It is random, so that many forwarders that fail at once do not retry in step,
        and stays short, as a notification is overdue 300 ms after its message's time.
        """
        longest_s = doubled_up_to(
            NOTIFICATION_FIRST_BACKOFF_S, failures, NOTIFICATION_TOP_BACKOFF_S
        )
        return self.random.uniform(NOTIFICATION_MIN_RETRY_S, longest_s)

    async def run(self) -> None:
        """Post what is pending at each kick, until all of it is acknowledged."""
        failures = 0
        timeouts = 0
        while True:
            await self.wake.wait()
            self.wake.clear()
            while pending := self.source.pending_notifications():
                batch = encode_notifications(pending)
                try:
                    await self._post(batch.body, self.response_timeout_s(timeouts))
                except (OSError, MalformedResponseError) as error:
                    if (failures + timeouts) % FAILURE_LOG_INTERVAL == 0:
                        log.warning(
                            "notices not accepted, trying again: %s",
                            error or type(error).__name__,
                        )
                    if isinstance(error, TimeoutError):
                        # It was waited for already: that replaces the backoff.
                        timeouts += 1
                        await asyncio.sleep(NOTIFICATION_MIN_RETRY_S)
                    else:
                        await asyncio.sleep(self.retry_delay_s(failures))
                        failures += 1
                    continue
                failures = 0
                timeouts = 0
                self.source.acknowledge_notifications(batch.message_ids)

    async def _post(self, body: bytes, timeout_s: float) -> None:
        response = await self.client.request("POST", NOTIFICATION_PATH, timeout_s, body)
        if response.status != HTTPStatus.NO_CONTENT:
            raise MalformedResponseError(f"status {response.status}")
