"""Calls to endpoints: a pool of connections, each with one call at a time.

Nothing is sent twice here: a further attempt is the dispatcher's decision.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from http import HTTPStatus

from rainfall.dispatch import AttemptFinished, LoadReport, Outcome
from rainfall.dispatch.endpoints import ThrottleScopeKey
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.http1 import (
    MalformedResponseError,
    ResponseReader,
    encode_request,
)
from rainfall.forwarder.outbound import responses
from rainfall.forwarder.outbound.batch import encode_batch, fits_batch
from rainfall.forwarder.outbound.connection import (
    AttemptResult,
    CallItem,
    EndpointConnection,
    OutboundCall,
    OutcomeSink,
)
from rainfall.forwarder.outbound.idle_connections import IdleConnections
from rainfall.forwarder.outbound.permits import PERMIT_GRANTED, PERMIT_TIME_UNKNOWN
from rainfall.forwarder.outbound.responses import parse_retry_after_us
from rainfall.forwarder.units import MS_PER_SECOND, US_PER_MS, US_PER_SECOND

__all__ = [
    "CallItem",
    "ConnectionPool",
    "EndpointConnection",
    "OutboundCall",
    "fits_batch",
    "parse_retry_after_us",
]
SINGLE_PATH = "/hook"
BATCH_PATH = "/hook/batch"
DEFAULT_DIAL_TIMEOUT_US = US_PER_SECOND
"""Time to connect where the settings give none."""
MIN_DIAL_TIMEOUT_S = 0.001
MIN_TIME_LEFT_MS = 1
"""A call never announces less time left than this."""
TIMEOUT_MARGIN_S = 0.001
"""A timer may be so much early by the dispatcher's clock."""
MAX_RETRY_AFTERS = 2048
"""Entries kept before expired ones are dropped: some hundred endpoints send one each."""
MALFORMED_LOG_INTERVAL_US = 5 * US_PER_SECOND
"""Between two log lines of malformed responses: some endpoints send many."""
MALFORMED_LOG_CHARACTERS = 200
PERMIT_WAIT_US = 50_000
"""A call waits for its permit at most so long before it is given back unsent."""
RESPONSE_COMPLETION_S = 0.5
"""A response that is incomplete so long after its start is malformed."""
LOCAL_DIAL_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
)
"""Causes for which a connection may fail to come up through no fault of the endpoint."""
log = logging.getLogger("rainfall.client")


class ConnectionPool(IdleConnections):
    """All connections to all endpoints, and the calls that are in flight on them."""

    def __init__(
        self,
        clock: Callable[[], int],
        sink: OutcomeSink,
        fields: tuple[str, ...],
        idle_us: int,
        dial_us: int,
        most: int,
    ) -> None:
        """Make an empty pool.

        Args:
            clock: The dispatcher's clock, in microseconds.
            sink: Gets the end of each attempt.
            fields: Names of the fields that endpoints report of their load.
            idle_us: Endpoints close idle connections after so long; 0 if not known.
            dial_us: Time to connect; 0 for the default.
            most: Connections at a time.
        """
        super().__init__(clock, idle_us)
        self.sink = sink
        self.max_connections = most
        self.configure(fields, idle_us, dial_us)
        self.retry_after_until: dict[ThrottleScopeKey, int] = {}
        """When each Retry-After that was received is over."""
        self.in_flight = 0
        """Calls that were started and have not ended."""
        self.messages_written = 0
        """Messages whose last byte was handed to a socket."""
        self.last_malformed_log_us = -MALFORMED_LOG_INTERVAL_US
        self.calls: dict[tuple[str, int], OutboundCall] = {}
        """Calls by message and attempt."""
        self.record_attempts: Callable[[OutboundCall], bool] | None = None
        """Asked once a call's connection is up: whether what must be persisted before
        its first byte is.
        """
        self.acquire_permit: Callable[[OutboundCall], int] | None = None
        """Asked last before a call's first byte: PERMIT_GRANTED if it may be sent, else
        after how many microseconds to ask again, or PERMIT_TIME_UNKNOWN.
        """
        self.on_call_sent: Callable[[OutboundCall], None] | None = None
        """Called right after a call's first byte."""

    def configure(self, fields: tuple[str, ...], idle_us: int, dial_us: int) -> None:
        """Apply settings; see the constructor."""
        self.report_fields = fields
        self.dial_timeout_us = dial_us or DEFAULT_DIAL_TIMEOUT_US
        self.set_idle_timeout(idle_us)

    # Starting

    def start(self, call: OutboundCall) -> None:
        """Send a call, on an idle connection or on a new one."""
        self.in_flight += 1
        for item in call.items:
            call.open_items[item.id] = item
            self.calls[(item.id, item.attempt)] = call
        call.dial_timeout_at_us = self.clock() + self.dial_timeout_us
        self.arm_timeout(call)
        self.connect(call)

    def connect(self, call: OutboundCall) -> None:
        """Find a connection for a call, or dial one."""
        if call.endpoint not in self.addresses:
            self.finish(call, AttemptResult(Outcome.NO_CONNECTION))
            return
        connection = self._take_idle(call.endpoint)
        if connection is not None:
            self.launch_if_still_allowed(call, connection)
            return
        if (
            len(self.connections) + len(self.dial_tasks) >= self.max_connections
            and not self.close_longest_idle()
        ):
            # For want of sockets here, which is no fault of the endpoint.
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            return
        task = asyncio.get_running_loop().create_task(
            self.dial(call, self.addresses[call.endpoint])
        )
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)

    def _take_idle(self, endpoint: int) -> EndpointConnection | None:
        """Take the last idle connection that can be used; others before it close."""
        idle = self.idle.get(endpoint, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable() and self.is_age_trusted(
                self.clock() - connection.idle_since_us
            ):
                return connection
            connection.close()
        return None

    async def dial(self, call: OutboundCall, address: Address) -> None:
        """Connect to an endpoint for a call, and send the call."""
        loop = asyncio.get_running_loop()
        timeout_us = min(self.dial_timeout_us, call.timeout_at_us - self.clock())
        timeout_s = max(MIN_DIAL_TIMEOUT_S, timeout_us / US_PER_SECOND)
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(self, address),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            was_shortened = timeout_us < self.dial_timeout_us
            self.finish(call, self._dial_result(error, was_shortened))
            return
        self.connections.add(connection)
        if connection.is_reusable():
            self.launch_if_still_allowed(call, connection)
            return
        # It came up and broke, perhaps unread as yet: an endpoint that accepts only so
        # many connections closes further ones. So the endpoint is known to be there,
        # and what breaks before the first byte was not executed.
        self.finish(call, AttemptResult(Outcome.NO_CONNECTION, weak_evidence=True))
        connection.close()

    @staticmethod
    def _dial_result(error: OSError, was_shortened: bool) -> AttemptResult:
        """Return what a failed dial says of the endpoint.

        A dial that had less time than the settings give one may have been cut off only
        by its own call's timeout.
        """
        is_local = error.errno in LOCAL_DIAL_ERRNOS
        was_cut_off = isinstance(error, TimeoutError) and was_shortened
        return AttemptResult(
            Outcome.NOT_SENT if is_local else Outcome.NO_CONNECTION,
            weak_evidence=was_cut_off or isinstance(error, ConnectionResetError),
        )

    def launch_if_still_allowed(
        self, call: OutboundCall, connection: EndpointConnection
    ) -> None:
        """Send a call on its connection, unless something speaks against it by now.

        What was received since the call was decided holds for it too, and time has
        passed while the connection came up.
        """
        now = self.clock()
        expired_items = [
            item for item in call.open_items.values() if 0 < item.send_before_us <= now
        ]
        for item in expired_items:
            self.finish_item(call, item, AttemptResult(Outcome.NOT_SENT))
        if expired_items:
            self.arm_timeout(call)
        if self.addresses.get(call.endpoint) != connection.address:
            # The endpoint was drained or moved while the connection came up: nothing
            # may be sent there any more.
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            connection.close()
        elif not call.open_items or now < self.retry_after_until.get(
            call.throttle_scope, 0
        ):
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            self.keep_idle(connection, call.endpoint)
        else:
            self.launch(call, connection)

    def launch(self, call: OutboundCall, connection: EndpointConnection) -> None:
        """Write a call if it gets its permit, with nothing between permit and socket.

        A call may come a moment early, as calls before it were sent later than they
        were decided; it is held for that moment.
        """
        data = self.render(call)
        permit_delay_us = self._record_and_acquire_permit(call)
        if permit_delay_us == PERMIT_GRANTED:
            connection.send_call(call, data)
            if self.on_call_sent is not None:
                self.on_call_sent(call)
        elif (
            0 < permit_delay_us <= PERMIT_WAIT_US
            and self.clock() + permit_delay_us < call.timeout_at_us
        ):
            call.dial_timeout_at_us = max(
                call.dial_timeout_at_us, self.clock() + 2 * PERMIT_WAIT_US
            )
            asyncio.get_running_loop().call_later(
                permit_delay_us / US_PER_SECOND, self.retry_launch, call, connection
            )
        else:
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            self.keep_idle(connection, call.endpoint)

    def _record_and_acquire_permit(self, call: OutboundCall) -> int:
        """Journal a call's attempts, and only then ask for its permit.

        Both belong right before the first byte: what is recorded or counted earlier
        would stand for a call that may never be sent.

        Returns:
            The answer of `acquire_permit`; PERMIT_TIME_UNKNOWN if the attempts could
            not be journaled, PERMIT_GRANTED where nobody is to be asked.
        """
        if self.record_attempts is not None and not self.record_attempts(call):
            return PERMIT_TIME_UNKNOWN
        if self.acquire_permit is None:
            return PERMIT_GRANTED
        return self.acquire_permit(call)

    def retry_launch(self, call: OutboundCall, connection: EndpointConnection) -> None:
        """Go on with a call that was held for its permit."""
        if connection.is_reusable():
            self.launch_if_still_allowed(call, connection)
            return
        connection.close()
        if call.open_items:
            self.connect(call)

    def render(self, call: OutboundCall) -> bytes:
        """Return a call's bytes, for those of its messages that are still open."""
        address = self.addresses[call.endpoint]
        host = f"{address.host}:{address.port}"
        items = list(call.open_items.values())
        call.batched = len(items) > 1
        call.message_count = len(items)
        time_left_ms = max(
            MIN_TIME_LEFT_MS, (call.timeout_at_us - self.clock()) // US_PER_MS
        )
        time_left = f"{time_left_ms / MS_PER_SECOND:.3f}"
        if len(items) == 1:
            item = items[0]
            headers = [("X-Correlation-Id", item.id), ("X-Time-Left", time_left)]
            if item.key is not None:
                headers.append(("Idempotency-Key", item.key))
            return encode_request("POST", SINGLE_PATH, host, headers, item.body)
        return encode_request(
            "POST",
            BATCH_PATH,
            host,
            [("Content-Type", "application/json"), ("X-Time-Left", time_left)],
            encode_batch(items),
        )

    # Ending

    def arm_timeout(self, call: OutboundCall) -> None:
        """Set the timer of a call, which the first of its messages to expire ends.

        A result for the others that came while the call is still in flight, for one
        whose end was already reported, would count for nobody.
        """
        self._cancel_timer(call)
        if call.open_items:
            call.timeout_at_us = min(
                item.timeout_at_us for item in call.open_items.values()
            )
            delay_s = max(0, call.timeout_at_us - self.clock()) / US_PER_SECOND
            call.timer = asyncio.get_running_loop().call_later(
                delay_s + TIMEOUT_MARGIN_S, self.on_timeout, call
            )

    @staticmethod
    def _cancel_timer(call: OutboundCall) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None

    def on_timeout(self, call: OutboundCall) -> None:
        """End a call whose time is over."""
        self.abandon(call, Outcome.TIMED_OUT)

    def cancel(self, message: str, attempt: int) -> None:
        """End the call that holds an attempt, if it has no outcome yet."""
        call = self.calls.get((message, attempt))
        if call is not None and message in call.open_items:
            self.abandon(call, Outcome.CANCELED)

    def defer_for_unread_input(
        self, call: OutboundCall, resume: Callable[[], None]
    ) -> bool:
        """Whether a call is not to be abandoned now.

        The response may lie unread at the socket while the event loop is busy. It is
        read in the loop's next turn, which handles sockets before timers. Then `resume`
        is called, however much more is unread by that time.
        """
        if not call.open_items or call.connection is None:
            return not call.open_items
        if call.connection.is_closing():
            # Its end was read, and is about to be reported.
            return True
        if not call.connection.has_unread_input():
            return False

        def go_on() -> None:
            if call.open_items and (
                call.connection is None or not call.connection.is_closing()
            ):
                resume()

        asyncio.get_running_loop().call_later(0, go_on)
        return True

    def abandon(
        self, call: OutboundCall, outcome: Outcome, input_checked: bool = False
    ) -> None:
        """Stop waiting for a call, with all its messages together.

        While its connection is open, each of them is still in flight. Once it is
        closed, so that a late response cannot be taken for the next call's, none is.
        """
        if not input_checked and self.defer_for_unread_input(
            call, lambda: self.abandon(call, outcome, True)
        ):
            return
        self.finish(call, AttemptResult(self._abandoned_outcome(call, outcome)))

    def _abandoned_outcome(self, call: OutboundCall, outcome: Outcome) -> Outcome:
        if self.has_success_status(call):
            return Outcome.DELIVERED
        if call.connection is not None and call.written:
            return outcome
        # A connection that still had time to come up says nothing of its endpoint.
        if call.connection is None and self.clock() < call.dial_timeout_at_us:
            return Outcome.NOT_SENT
        return Outcome.NO_CONNECTION

    def has_success_status(self, call: OutboundCall) -> bool:
        """Whether a call with one message is delivered.

        It is once the response's first line says 200, whatever follows.
        """
        return (
            not call.batched
            and call.connection is not None
            and call.connection.reader.status_line_code == HTTPStatus.OK
        )

    def on_response_started(self, call: OutboundCall) -> None:
        """Set a time for the rest of a response, so that it holds no slot for long."""
        if not call.response_started:
            call.response_started = True
            asyncio.get_running_loop().call_later(
                RESPONSE_COMPLETION_S, self.on_incomplete_response, call
            )

    def on_incomplete_response(
        self, call: OutboundCall, input_checked: bool = False
    ) -> None:
        """End a call whose response started and is still incomplete."""
        if not input_checked and self.defer_for_unread_input(
            call, lambda: self.on_incomplete_response(call, True)
        ):
            return
        if call.connection is not None:
            reader = call.connection.reader
            if not reader.response_started:
                # What had started was an interim response, in two parts.
                call.response_started = False
                return
            self.log_malformed_response(call, "not whole in time")
            self.detach_connection(call)
            self.on_response(call, reader, broken=True)

    def log_malformed_response(self, call: OutboundCall, error: object) -> None:
        """Log why a response cannot be read, one line now and then."""
        if self.clock() - self.last_malformed_log_us >= MALFORMED_LOG_INTERVAL_US:
            self.last_malformed_log_us = self.clock()
            log.warning(
                "target %d: spoilt answer: %s",
                call.endpoint,
                str(error)[:MALFORMED_LOG_CHARACTERS],
            )

    def detach_connection(self, call: OutboundCall) -> None:
        """Take a call off its connection, which is closed."""
        self._cancel_timer(call)
        connection = call.connection
        if connection is not None:
            call.connection = None
            connection.call = None
            connection.abort_call()

    def finish(
        self,
        call: OutboundCall,
        result: AttemptResult,
        report: LoadReport | None = None,
    ) -> None:
        """End a call with the same result for all its open messages.

        Its connection is closed first: the sink may make the next attempt at once, and
        there must not be two in flight.
        """
        self.detach_connection(call)
        for item in list(call.open_items.values()):
            self.finish_item(call, item, result, report)

    def finish_item(
        self,
        call: OutboundCall,
        item: CallItem,
        result: AttemptResult,
        report: LoadReport | None = None,
    ) -> None:
        """End a call for one of its messages."""
        del call.open_items[item.id]
        self.calls.pop((item.id, item.attempt), None)
        if result.retry_after_us:
            self.set_retry_after(
                call.throttle_scope, self.clock() + result.retry_after_us
            )
        if not call.open_items:
            self.in_flight -= 1
        self.sink(
            AttemptFinished(
                item.id,
                item.attempt,
                call.endpoint,
                result.outcome,
                self.clock() - call.sent_at_us,
                result.final or result.outcome is Outcome.DELIVERED,
                result.retry_after_us,
                report,
                result.weak_evidence,
            )
        )

    def on_response(
        self, call: OutboundCall, reader: ResponseReader, broken: bool = False
    ) -> None:
        """End a call by its response, or by the break of its connection."""
        self._cancel_timer(call)
        if broken:
            outcome = self._broken_outcome(call, reader)
            self.finish(
                call,
                AttemptResult(outcome, weak_evidence=outcome is not Outcome.DELIVERED),
            )
            return
        report = self.read_load_report(reader)
        if not call.batched:
            self.finish(call, responses.parse_single(reader), report)
        elif reader.status == HTTPStatus.OK:
            self.on_batch_response(call, reader, report)
        else:
            self.finish(call, responses.parse_shared(reader), report)

    @staticmethod
    def _broken_outcome(call: OutboundCall, reader: ResponseReader) -> Outcome:
        """Return the outcome where a response is missing, incomplete or malformed.

        A first line with 200 is a delivery, whatever follows; of a batch only the whole
        response tells. Whatever else it says, a malformed response shows that the call
        may have been executed, also where its first line denies it, and its report and
        Retry-After are not to be believed. An incomplete call was not started.
        """
        if reader.status_line_code == HTTPStatus.OK and not call.batched:
            return Outcome.DELIVERED
        if not call.written:
            return Outcome.NO_CONNECTION
        return Outcome.UNREADABLE if reader.any_bytes_received else Outcome.RESET

    def on_batch_response(
        self, call: OutboundCall, reader: ResponseReader, report: LoadReport | None
    ) -> None:
        """End a batch call by the states of its messages."""
        try:
            results = responses.parse_batch(reader)
        except MalformedResponseError as error:
            self.log_malformed_response(call, error)
            self.finish(call, AttemptResult(Outcome.UNREADABLE, weak_evidence=True))
            return
        unnamed = AttemptResult(Outcome.FAILED)
        for item in list(call.open_items.values()):
            self.finish_item(call, item, results.get(item.id, unnamed), report)

    def read_load_report(self, reader: ResponseReader) -> LoadReport | None:
        """Return the load report of a response, if it has a valid one."""
        return responses.parse_load_report(reader, self.report_fields)

    def fail_unconnected_calls(self) -> None:
        """Give back, unsent, each call that has no connection yet."""
        for call in {id(c): c for c in self.calls.values()}.values():
            if call.connection is None:
                self.finish(call, AttemptResult(Outcome.NOT_SENT))

    def set_retry_after(self, throttle_scope: ThrottleScopeKey, until: int) -> None:
        """Keep a Retry-After that was received; the longest one holds."""
        if len(self.retry_after_until) > MAX_RETRY_AFTERS:
            now = self.clock()
            self.retry_after_until = {
                scope: end for scope, end in self.retry_after_until.items() if end > now
            }
        self.retry_after_until[throttle_scope] = max(
            until, self.retry_after_until.get(throttle_scope, 0)
        )
