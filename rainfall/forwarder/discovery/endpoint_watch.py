"""Clients of discovery: the watch of the endpoint list, and the notifier.

`EndpointWatch` follows the endpoint list by long polling, `Notifier` posts pending
notifications. Each has an `HttpClient` with one persistent connection.
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
from rainfall.forwarder.discovery.late_responses import LateResponses
from rainfall.forwarder.discovery.notifications import (
    LOOP_ALLOWANCE_S,
    MAX_NOTIFICATIONS_PER_POST,
    NOTIFICATION_BACKOFF_LIMIT_S,
    NOTIFICATION_FIRST_BACKOFF_S,
    NOTIFICATION_MIN_RETRY_S,
    NOTIFICATION_PATH,
    NOTIFICATION_RESPONSE_TIMEOUT_LIMIT_S,
    NOTIFICATION_RESPONSE_TIMEOUT_S,
    encode_notifications,
    exponential_delay_s,
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
    "NOTIFICATION_BACKOFF_LIMIT_S",
    "NOTIFICATION_RESPONSE_TIMEOUT_LIMIT_S",
    "NOTIFICATION_RESPONSE_TIMEOUT_S",
    "NO_VERSION",
    "EndpointWatch",
    "HttpClient",
    "HttpConnection",
    "Notifier",
    "encode_notifications",
    "notification_latency_bound_s",
]
LIST_PATH = "/discovery/hosts"
"""Path of the endpoint list."""
NO_VERSION = -1
"""Version while no endpoint list is known; discovery counts from 0."""
WATCH_HOLD_MS = 1_500
"""How long discovery may hold a poll until there is a newer list. A response without
entries is cheap.
"""
WATCH_GRACE_S = 0.5
"""Additional time after which a held poll without a response has timed out. Discovery's
agent runs on this machine.
"""
RESPONSE_TIMEOUT_S = 0.6
"""Timeout of a poll that is not held, including the time to connect. Discovery's agent
answers at once.
"""
MIN_WATCH_INTERVAL_S = 0.1
"""Minimum interval between two held polls while nothing changes. The next poll must be
sent within 0.2 s of a response.
"""
FAST_RETRY_PERIOD_S = 4.0
"""Period after a change of discovery's address in which the watch itself retries a
failed poll. The list is needed sooner than the dispatcher's retry would fetch it.
"""
FAST_RETRY_S = 0.2
"""Mean delay of a retry within FAST_RETRY_PERIOD_S."""
PUSHED_RESPONSE_TIMEOUT_S = 0.2
"""Timeout of a poll that is not held, where lists are pushed: the agent on this machine
answers at once or not at all.
"""
PUSHED_RETRY_S = 0.03
"""Mean delay of a retry where lists are pushed. A pushed list applies from the moment
the agent has it, so the agent is polled without long pauses.
"""
RETRY_JITTER = 1.5
"""Maximum delay of a retry as a multiple of the mean; the minimum is as far below the
mean as the maximum is above it.
"""
ROUND_ALLOWANCE_S = LOOP_ALLOWANCE_S
"""Allowance for the delay of the event loop's timers, and for the engine's rounds that
handle a failure and the list after it.
"""
LIST_LATENCY_LIMIT_S = 6.0
"""A change counts as received this long after discovery has it, so it must be applied
by then.
"""
LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S = 4.0
"""The list of a new address counts as received this long after the SIGHUP that changed
discovery's address.
"""
LOGGED_FAILURES = 3
"""Number of failures in a row, from the first, that are each logged where lists are
polled.
"""
FAILURE_LOG_INTERVAL = 20
"""After the first ones in a row, one of this many failures is logged."""
log = logging.getLogger("rainfall.discovery")


class RequestTimes(NamedTuple):
    """Maximum times of a failing request, for the latency bounds below."""

    response_timeout_s: float
    """Timeout of the request."""
    retry_s: float
    """Maximum delay between its failure and the next request."""


def list_latency_bound_s(pushed: bool) -> float:
    """Return the maximum delay, in seconds, until a new list is applied.

    The delay runs from the moment discovery has the list to the engine's round that
    applies it, and is computed from the constants alone. Covered is this sequence: a
    held poll goes silent right after it was sent, and times out; the next request times
    out too; the one after it fails as late as possible, by an error status, an
    incomplete response or a version that went back; and the fourth is answered as late
    as possible. Retry delays do not grow with the number of failures, so the bound
    holds for any number. Each timeout includes the time to connect.

    The result must stay below LIST_LATENCY_LIMIT_S, with a margin.

    Args:
        pushed: Whether lists are pushed.
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


def list_latency_bound_after_address_change_s(pushed: bool) -> float:
    """Return the maximum delay, in seconds, after a change of discovery's address.

    The delay runs from the SIGHUP to the engine's round that applies the list of the
    new address. The held poll is dropped, and the complete list is requested at once.
    The worst case is the longer of two: either two requests fail as late as possible,
    or the list arrives late and the held poll after it goes silent at once.

    The result must stay below LIST_LATENCY_LIMIT_AFTER_ADDRESS_CHANGE_S, with a margin.

    Args:
        pushed: Whether lists are pushed.
    """
    if pushed:
        times = RequestTimes(PUSHED_RESPONSE_TIMEOUT_S, RETRY_JITTER * PUSHED_RETRY_S)
    else:
        times = RequestTimes(RESPONSE_TIMEOUT_S, RETRY_JITTER * FAST_RETRY_S)
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
    """Sends requests to one address on a persistent connection, one at a time.

    If the connection was closed while idle, the request is repeated once on a new one:
    every request sent by this class may be repeated.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.connection = HttpConnection()

    async def request(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> ResponseReader:
        """Send a request and return its response.

        The connection of a failed or canceled request is not used again, so that a late
        response is never taken for that of the next request. After a failure it stays
        open until the next request replaces it: if clients use up all other
        descriptors, they must not get this one.

        Args:
            method: The HTTP method.
            path: The request target.
            timeout_s: Timeout in seconds, including the time to connect.
            body: The request body.

        Raises:
            OSError: The connection cannot be established or broke, or the request timed
                out (`TimeoutError`).
            MalformedResponseError: The response is malformed or too large.
        """
        data = encode_request(
            method, path, f"{self.address.host}:{self.address.port}", (), body
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = self.connection
        try:
            await connection.wait_until_reusable()
            if connection.is_usable():
                try:
                    return await connection.exchange(data, deadline)
                except ConnectionError:
                    pass
            if connection.is_open():
                connection.close()
                # The socket is closed in the next loop iteration, before other I/O is
                # handled.
                await asyncio.sleep(0)
            async with asyncio.timeout_at(deadline):
                _, connection = await loop.create_connection(
                    HttpConnection, self.address.host, self.address.port
                )
            self.connection = connection
            if not connection.is_usable():
                raise ConnectionResetError(
                    "connection closed right after it was established"
                )
            return await connection.exchange(data, deadline)
        except Exception:
            connection.retire()
            raise
        except BaseException:
            connection.close()
            raise

    def detach_connection(self) -> HttpConnection:
        """Return the connection, and use a new one for the next request."""
        connection, self.connection = self.connection, HttpConnection()
        return connection

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        self.connection.close()


class EndpointWatch:
    """Follows the endpoint list from a known version on.

    Where lists are polled, the watch reports a failure and ends, and the dispatcher
    decides when to subscribe again. Where lists are `pushed`, a list applies as soon as
    discovery's agent on this machine has it, whether or not it is polled. So failures
    are not reported, and the watch retries after a short delay.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        on_list: Callable[[EndpointList | None], None],
        seed: int,
        pushed: bool = False,
    ) -> None:
        """Create a watch that does nothing until `subscribe`.

        Args:
            address: Discovery's address.
            version: Version of the known list, or NO_VERSION.
            on_list: Called with each list, and with None after a failure.
            seed: Seed of the jitter of retries.
            pushed: Whether lists are pushed.
        """
        self.client = HttpClient(address)
        self.late_responses = LateResponses(self.on_late_response)
        self.version = version
        self.on_list = on_list
        self.random = random.Random(seed)
        self.subscribed = False
        """`subscribe` was called, and not `pause` since."""
        self.fast_retry_until_s = 0.0
        """Until when the watch itself retries failed polls, by `time.monotonic`."""
        self.pushed = pushed
        """Lists are pushed, see the class."""
        self.confirmed = False
        """Discovery has responded since the last failure, so a poll may be held."""
        self.failures = 0
        """Number of failures in a row."""
        self.list_received = asyncio.Event()
        """Set once discovery has responded with the list, or with changes of it."""
        self.task: asyncio.Task[None] | None = None

    def subscribe(self) -> None:
        """Start following the list, unless that is already running."""
        self.subscribed = True
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.follow())

    def change_address(self, address: Address) -> None:
        """Follow the list at another address of discovery.

        The held poll and its connection are dropped. The complete list is requested at
        once, since its versions may be numbered differently, and the dispatcher may be
        waiting after a failure.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.late_responses.close()
        self.client = HttpClient(address)
        self.version = NO_VERSION
        self.task = None
        self.fast_retry_until_s = time.monotonic() + FAST_RETRY_PERIOD_S
        if self.subscribed:
            self.subscribe()

    def pause(self) -> None:
        """Stop polling until the next `subscribe`."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        # A SIGHUP while the process ends must not restart the watch.
        self.subscribed = False
        self.client.close()
        self.late_responses.close()

    async def follow(self) -> None:
        """Poll the list repeatedly, until a failure is reported."""
        self.confirmed = False
        while True:
            requested_at = time.monotonic()
            was_confirmed = self.confirmed
            previous_version = self.version
            try:
                await self._poll()
            # Every failure is reported or retried: the watch must not end silently.
            except Exception as error:
                if await self.on_failure(error):
                    continue
                self.task = None
                self.on_list(None)
                return
            self.confirmed = True
            self.failures = 0
            self.list_received.set()
            if (
                was_confirmed
                and self.version == previous_version
                and time.monotonic() - requested_at < MIN_WATCH_INTERVAL_S
            ):
                # Discovery may answer held polls at once: avoid a busy loop.
                await asyncio.sleep(MIN_WATCH_INTERVAL_S)

    async def _poll(self) -> None:
        """Request the list once, and report it."""
        path, timeout_s = self.next_request()
        try:
            response = await self.client.request("GET", path, timeout_s)
        except TimeoutError:
            # A held poll that falls silent is broken, and opened anew.
            if not self.confirmed:
                self._await_late_response()
            raise
        self.late_responses.close()
        endpoints = self._parse(response)
        self.check_version(endpoints)
        self.on_list(endpoints)
        self.version = endpoints.version

    def _await_late_response(self) -> None:
        """Go on reading the response of a request that timed out, on its connection."""
        if self.client.connection.has_timed_out() and self.late_responses.has_room():
            self.late_responses.keep(self.client.detach_connection())

    def on_late_response(self, response: ResponseReader) -> None:
        """Apply a list that came after its request had timed out, if it is newer.

        It holds all changes since the version that was known when it was requested, so
        it applies to each version in between.
        """
        try:
            endpoints = self._parse(response)
        # A malformed response is no better for being late.
        except Exception as error:
            log.warning("cannot read a late endpoint list: %s", error)
            return
        if not self.subscribed or endpoints.version <= self.version:
            return
        if not endpoints.complete and self.version <= NO_VERSION:
            return
        self.on_list(endpoints)
        self.version = endpoints.version
        self.list_received.set()

    @staticmethod
    def _parse(response: ResponseReader) -> EndpointList:
        if response.status != HTTPStatus.OK:
            raise MalformedResponseError(f"unexpected status {response.status}")
        return parse_endpoint_list(json.loads(response.body))

    def check_version(self, endpoints: EndpointList) -> None:
        """Reject changes that do not apply to the known list.

        If the version went back, discovery was restored from an older state, and its
        later changes are lost. The known version is then discarded, so that the
        complete list is requested next.

        Raises:
            MalformedResponseError: The changes do not apply.
        """
        if not endpoints.complete and (
            endpoints.version < self.version or self.version <= NO_VERSION
        ):
            previous = self.version
            self.version = NO_VERSION
            raise MalformedResponseError(
                f"changes to version {endpoints.version} do not apply to version {previous}"
            )

    def next_request(self) -> tuple[str, float]:
        """Return the path of the next request, and its timeout in seconds.

        The first request and the first one after a failure are not held: if they time
        out, discovery is not responding. A held poll without a response may just mean
        that nothing has changed.
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
        """Handle a failed poll.

        Returns:
            Whether the watch polls again; the retry delay has passed then.
        """
        if self.failures % FAILURE_LOG_INTERVAL == 0 or (
            self.failures < LOGGED_FAILURES and not self.pushed
        ):
            log.warning(
                "cannot fetch the endpoint list: %s", error or type(error).__name__
            )
        self.confirmed = False
        self.failures += 1
        will_retry = time.monotonic() < self.fast_retry_until_s or self.pushed
        if will_retry:
            await asyncio.sleep(self.retry_delay_s())
        return will_retry

    def retry_delay_s(self) -> float:
        """Return the delay in seconds before the watch retries.

        It is random, so that many forwarders do not poll in step, and does not grow
        with the number of failures.
        """
        mean_s = PUSHED_RETRY_S if self.pushed else FAST_RETRY_S
        return self.random.uniform(2 - RETRY_JITTER, RETRY_JITTER) * mean_s


class Notifier:
    """Posts pending notifications until the platform acknowledges them with a 204.

    A notification that is posted twice does no harm.
    """

    def __init__(self, address: Address, source: NotificationSource, seed: int) -> None:
        self.client = HttpClient(address)
        self.source = source
        self.random = random.Random(seed)
        """Source of the jitter of backoffs."""
        self.wake = asyncio.Event()
        """Set when notifications may be pending."""
        self.paused = False
        """`pause` was called, and not `post_pending` since."""
        self.task: asyncio.Task[None] | None = None
        """Runs `run`."""

    def post_pending(self) -> None:
        """Post all pending notifications now."""
        self.paused = False
        self.wake.set()
        if self.task is None or self.task.done():
            self.task = asyncio.get_running_loop().create_task(self.run())

    def change_address(self, address: Address) -> None:
        """Post pending notifications to another address.

        An interrupted post is repeated there.
        """
        if self.task is not None:
            self.task.cancel()
        self.client.close()
        self.client = HttpClient(address)
        self.task = None
        if not self.paused:
            self.post_pending()

    def pause(self) -> None:
        """Post nothing until the next `post_pending`.

        An interrupted post is repeated after that.
        """
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.paused = True
        self.client.close()

    @staticmethod
    def response_timeout_s(timeouts: int) -> float:
        """Return the timeout of a post in seconds, after `timeouts` timeouts in a row.

        It is short at first, since a silent connection must not delay notifications
        that are overdue after 0.3 s. It grows, so that the responses of a permanently
        slow platform are received as well.
        """
        return exponential_delay_s(
            NOTIFICATION_RESPONSE_TIMEOUT_S,
            max(0, timeouts - 1),
            NOTIFICATION_RESPONSE_TIMEOUT_LIMIT_S,
        )

    def retry_delay_s(self, failures: int) -> float:
        """Return the backoff in seconds after a failed post.

        It is random, so that many forwarders that fail at once do not retry in step,
        and stays short, since a notification is overdue 300 ms after its message's
        deadline.

        Args:
            failures: Number of posts in a row that failed before this one.
        """
        longest_s = exponential_delay_s(
            NOTIFICATION_FIRST_BACKOFF_S, failures, NOTIFICATION_BACKOFF_LIMIT_S
        )
        return self.random.uniform(NOTIFICATION_MIN_RETRY_S, longest_s)

    async def run(self) -> None:
        """After each `post_pending`, post pending notifications until all are acknowledged."""
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
                            "cannot post notifications, retrying: %s",
                            error or type(error).__name__,
                        )
                    if isinstance(error, TimeoutError):
                        # The time spent waiting replaces the backoff.
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
            raise MalformedResponseError(f"unexpected status {response.status}")
