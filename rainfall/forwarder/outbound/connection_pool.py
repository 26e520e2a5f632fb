"""Sends calls to endpoints on pooled connections; a connection has one call at a time.

Nothing is retried here: the dispatcher decides on further attempts.
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
from rainfall.forwarder.outbound.permits import PERMIT_GRANTED
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
"""Path of a call with one message."""
BATCH_PATH = "/hook/batch"
"""Path of a call with several messages."""
DEFAULT_DIAL_TIMEOUT_US = US_PER_SECOND
"""Timeout for connecting where the settings give none."""
MIN_DIAL_TIMEOUT_S = 0.001
"""Minimum timeout for connecting, however little time the call has left."""
MIN_TIME_LEFT_MS = 1
"""Minimum X-Time-Left of a call."""
TIMEOUT_MARGIN_S = 0.001
"""Added to a timer's delay, as timers may fire early by the dispatcher's clock."""
MAX_RETRY_AFTERS = 2048
"""Number of stored Retry-After entries above which expired ones are removed. Some
hundred endpoints may each have one.
"""
UNREADABLE_RESULT = AttemptResult(Outcome.UNREADABLE, weak_evidence=True)
"""Result of a call whose response cannot be read: it may have been executed."""
MALFORMED_LOG_INTERVAL_US = 5 * US_PER_SECOND
"""Minimum interval between log lines about malformed responses: some endpoints send
many.
"""
MALFORMED_LOG_CHARACTERS = 200
"""Maximum length of the error text in such a line."""
PERMIT_WAIT_US = 50_000
"""Maximum delay for which a call waits for its permit; else it ends as not sent."""
SEND_DELAY_WARNING_US = 50_000
"""A call that is written later than this after its last check is logged."""
RESPONSE_COMPLETION_S = 0.5
"""A response that is still incomplete this long after its start is malformed."""
LOCAL_DIAL_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
)
"""Errors of connecting that are caused by this machine and not by the endpoint."""
log = logging.getLogger("rainfall.client")


class ConnectionPool(IdleConnections):
    """All connections to endpoints, and the calls in flight on them."""

    def __init__(
        self,
        clock: Callable[[], int],
        sink: OutcomeSink,
        report_fields: tuple[str, ...],
        endpoint_idle_timeout_us: int,
        dial_timeout_us: int,
        max_connections: int,
    ) -> None:
        """Create an empty pool.

        Args:
            clock: The dispatcher's clock, in microseconds.
            sink: Called at the end of each attempt.
            report_fields: Names of the fields in the endpoints' load reports.
            endpoint_idle_timeout_us: The endpoints' idle timeout; 0 for the default.
            dial_timeout_us: Timeout for connecting; 0 for the default.
            max_connections: Maximum number of connections, including those being
                established.
        """
        super().__init__(clock, endpoint_idle_timeout_us)
        self.sink = sink
        self.max_connections = max_connections
        self.configure(report_fields, endpoint_idle_timeout_us, dial_timeout_us)
        self.retry_after_until: dict[ThrottleScopeKey, int] = {}
        """When each received Retry-After expires, by throttle scope."""
        self.in_flight = 0
        """Number of calls that were started and have not ended."""
        self.messages_written = 0
        """Number of messages whose last byte was handed to a socket."""
        self.last_malformed_log_us = -MALFORMED_LOG_INTERVAL_US
        """When a malformed response was last logged."""
        self.calls: dict[tuple[str, int], OutboundCall] = {}
        """Calls in flight, by message id and attempt number."""
        self.record_attempts: Callable[[OutboundCall], bool] | None = None
        """Called once a call's connection is established, to journal the call's
        attempts before its first byte. Returns whether the call may be sent.
        """
        self.acquire_permit: Callable[[OutboundCall], int] | None = None
        """Called right before a call's first byte. Returns PERMIT_GRANTED if the call
        may be sent, else the delay in microseconds after which to request the permit
        again, or PERMIT_TIME_UNKNOWN.
        """
        self.on_call_sent: Callable[[OutboundCall], None] | None = None
        """Called right after a call's first bytes were written."""

    def configure(
        self,
        report_fields: tuple[str, ...],
        endpoint_idle_timeout_us: int,
        dial_timeout_us: int,
    ) -> None:
        """Apply changed settings; for the arguments see the constructor."""
        self.report_fields = report_fields
        self.dial_timeout_us = dial_timeout_us or DEFAULT_DIAL_TIMEOUT_US
        self.set_idle_timeout(endpoint_idle_timeout_us)

    # Starting

    def start(self, call: OutboundCall) -> None:
        """Start a call, on an idle connection or on a new one."""
        self.in_flight += 1
        for item in call.items:
            call.open_items[item.id] = item
            self.calls[(item.id, item.attempt)] = call
        call.dial_timeout_at_us = self.clock() + self.dial_timeout_us
        self.arm_timeout(call)
        self.connect(call)

    def connect(self, call: OutboundCall) -> None:
        """Take an idle connection for a call, or dial a new one."""
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
            # The local connection limit is no evidence against the endpoint.
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            return
        task = asyncio.get_running_loop().create_task(
            self.dial(call, self.addresses[call.endpoint])
        )
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)

    async def dial(self, call: OutboundCall, address: Address) -> None:
        """Connect to an endpoint, and launch the call on the new connection."""
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
        # The connection was established, but has broken or has unread input. An
        # endpoint with a connection limit closes further connections like this. So the
        # endpoint is alive, and nothing was executed, as no byte was sent.
        self.finish(call, AttemptResult(Outcome.NO_CONNECTION, weak_evidence=True))
        connection.close()

    @staticmethod
    def _dial_result(error: OSError, was_shortened: bool) -> AttemptResult:
        """Return the result of a call whose connection could not be established.

        Args:
            error: Why connecting failed.
            was_shortened: The call's own timeout left less time than the settings allow
                for connecting, so a timeout is weak evidence against the endpoint.
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
        """Launch a call after its connection's pause, unless it must not be sent any more.

        Since the dispatcher's decision, and while the connection was established, a
        message may have expired, the endpoint may have been removed or have got another
        address, or a Retry-After may have been received.
        """
        self._drop_late_items(call)
        if self.addresses.get(call.endpoint) != connection.address:
            # The endpoint was drained, or its address changed, while the connection was
            # established: nothing may be sent to the former address.
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            connection.close()
        elif not call.open_items or self.clock() < self.retry_after_until.get(
            call.throttle_scope, 0
        ):
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            self.keep_idle(connection, call.endpoint)
        elif not call.waited_for_input and self._has_unread_response(call):
            # It may be a Retry-After for this call. Timers run after the sockets are read.
            call.waited_for_input = True
            asyncio.get_running_loop().call_later(
                0, self.retry_launch, call, connection
            )
        elif pause_us := self.reuse_pause_us(connection):
            asyncio.get_running_loop().call_later(
                pause_us / US_PER_SECOND, self.retry_launch, call, connection
            )
        else:
            self.launch(call, connection)

    def _has_unread_response(self, call: OutboundCall) -> bool:
        """Whether a response to another call of the same throttle scope is unread.

        That is so after the process was held up.
        """
        connections = {
            other.connection
            for other in self.calls.values()
            if other.throttle_scope == call.throttle_scope
            and other.connection is not None
        }
        return any(connection.has_unread_input() for connection in connections)

    def _drop_late_items(self, call: OutboundCall) -> None:
        """End the attempts of a call that must not be sent any more at this time."""
        now = self.clock()
        call.checked_at_us = now
        late_items = [
            item for item in call.open_items.values() if 0 < item.send_before_us <= now
        ]
        for item in late_items:
            self.finish_item(call, item, AttemptResult(Outcome.NOT_SENT))
        if late_items:
            self.arm_timeout(call)

    def launch(self, call: OutboundCall, connection: EndpointConnection) -> None:
        """Journal a call's attempts, and write the call if it may still be sent.

        The journal comes before the last reading of the clock, so that a slow disk
        cannot delay the call beyond its limits. The permit may become available slightly
        later than the dispatcher expected, because earlier calls were sent later than
        planned. The call then waits for up to PERMIT_WAIT_US.
        """
        recorded = self.record_attempts is None or self.record_attempts(call)
        self._drop_late_items(call)
        if not recorded or not call.open_items:
            self.finish(call, AttemptResult(Outcome.NOT_SENT))
            self.keep_idle(connection, call.endpoint)
            return
        if connection.idle_since_us >= 0 and not connection.is_reusable():
            # Something arrived meanwhile, or the endpoint has closed the connection.
            connection.close()
            self.connect(call)
            return
        data = self.encode_call(call)
        permit_delay_us = self.acquire_permit(call) if self.acquire_permit else 0
        if permit_delay_us == PERMIT_GRANTED:
            connection.send_call(call, data)
            self._log_send_delay(call)
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

    def _log_send_delay(self, call: OutboundCall) -> None:
        """Log a call that was written long after its limits in time were checked."""
        send_delay_us = self.clock() - call.checked_at_us
        if send_delay_us > SEND_DELAY_WARNING_US:
            log.warning(
                "target %d: call written %d ms after the last check of its limits",
                call.endpoint,
                send_delay_us // US_PER_MS,
            )

    def retry_launch(self, call: OutboundCall, connection: EndpointConnection) -> None:
        """Launch a call that waited for its permit or for its connection's pause."""
        if connection.is_reusable():
            self.launch_if_still_allowed(call, connection)
            return
        connection.close()
        if call.open_items:
            self.connect(call)

    def encode_call(self, call: OutboundCall) -> bytes:
        """Return a call's encoded request, with its messages without an outcome."""
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
        """Set a call's timer for the earliest timeout of its open messages.

        The timeout of one message ends the call for all of them. If the call stayed in
        flight for the others, its response could no longer count for that message.
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
        """End a call that has timed out."""
        self.abandon(call, Outcome.TIMED_OUT)

    def cancel(self, message: str, attempt: int) -> None:
        """Cancel the call that carries an attempt, if that has no outcome yet."""
        call = self.calls.get((message, attempt))
        if call is not None and message in call.open_items:
            self.abandon(call, Outcome.CANCELED)

    def defer_for_unread_input(
        self, call: OutboundCall, resume: Callable[[], None]
    ) -> bool:
        """Return whether the caller must not abandon a call now.

        If the event loop was busy, the socket may hold a response that was not read.
        The next loop iteration reads it, since it handles sockets before timers. After
        that `resume` is called, even if there is unread input again.

        Returns:
            True if the call has ended already, if its unread input or the end of its
            connection ends it, or if `resume` is scheduled.
        """
        if not call.open_items or call.connection is None:
            return not call.open_items
        if call.connection.is_closing():
            # The event loop is about to report the connection's end.
            return True
        if not call.connection.has_unread_input():
            return False

        def resume_if_open() -> None:
            if call.open_items and (
                call.connection is None or not call.connection.is_closing()
            ):
                resume()

        asyncio.get_running_loop().call_later(0, resume_if_open)
        return True

    def abandon(
        self, call: OutboundCall, outcome: Outcome, input_checked: bool = False
    ) -> None:
        """End a call without its response, for all its open messages.

        The connection is closed, which ends the call for each of its messages: a late
        response must not be taken for the response to the next call.

        Args:
            call: The call to end.
            outcome: The outcome of its attempts, if the call was completely written and
                no success status was received.
            input_checked: Unread input has already been waited for.
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
        # A dial that is still within its own timeout is no evidence against the endpoint.
        if call.connection is None and self.clock() < call.dial_timeout_at_us:
            return Outcome.NOT_SENT
        return Outcome.NO_CONNECTION

    def has_success_status(self, call: OutboundCall) -> bool:
        """Whether a call with one message is delivered.

        That is so once a status line with 200 was received, whatever follows it.
        """
        return (
            not call.batched
            and call.connection is not None
            and call.connection.reader.status_line_code == HTTPStatus.OK
        )

    def on_response_started(self, call: OutboundCall) -> None:
        """Limit the time for the rest of a response, as its call occupies a slot."""
        if not call.response_started:
            call.response_started = True
            asyncio.get_running_loop().call_later(
                RESPONSE_COMPLETION_S, self.on_incomplete_response, call
            )

    def on_incomplete_response(
        self, call: OutboundCall, input_checked: bool = False
    ) -> None:
        """End a call whose response has started and is still incomplete."""
        if not input_checked and self.defer_for_unread_input(
            call, lambda: self.on_incomplete_response(call, True)
        ):
            return
        if call.connection is not None:
            reader = call.connection.reader
            if not reader.response_started:
                # Only an interim response (1xx), received in parts, had started.
                call.response_started = False
                return
            self.log_malformed_response(call, "incomplete response timed out")
            self.detach_connection(call)
            self.on_response(call, reader, broken=True)

    def log_malformed_response(self, call: OutboundCall, error: object) -> None:
        """Log why a response is malformed, at most every MALFORMED_LOG_INTERVAL_US."""
        if self.clock() - self.last_malformed_log_us >= MALFORMED_LOG_INTERVAL_US:
            self.last_malformed_log_us = self.clock()
            log.warning(
                "target %d: malformed response: %s",
                call.endpoint,
                str(error)[:MALFORMED_LOG_CHARACTERS],
            )

    def detach_connection(self, call: OutboundCall) -> None:
        """Detach a call from its connection, and close the connection."""
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

        The connection is closed first: the sink may start the next attempt immediately,
        and two attempts must not be in flight at once.

        Args:
            call: The call to end.
            result: The result of each open message.
            report: The endpoint's load report, if the response has one.
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
        """Report the result of one of a call's messages."""
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
        """End a call whose response is complete, or whose connection is broken.

        Args:
            call: The call to end.
            reader: Holds what was received of the response.
            broken: The response is missing, incomplete or malformed.
        """
        self._cancel_timer(call)
        if broken:
            outcome = self._broken_outcome(call, reader)
            self.finish(
                call,
                AttemptResult(outcome, weak_evidence=outcome is not Outcome.DELIVERED),
            )
            return
        report = self.read_load_report(reader)
        if call.batched and reader.status == HTTPStatus.OK:
            self.on_batch_response(call, reader, report)
            return
        parse = responses.parse_shared if call.batched else responses.parse_single
        try:
            result = parse(reader)
        except MalformedResponseError as error:
            reader.keep_alive = False
            self.log_malformed_response(call, error)
            result, report = UNREADABLE_RESULT, None
        self.finish(call, result, report)

    def on_foreign_input(self, call: OutboundCall) -> None:
        """End a call whose connection received input that is not its response.

        The call may have been executed all the same, if it was completely written.
        """
        self._cancel_timer(call)
        self.log_malformed_response(call, "input that belongs to an earlier call")
        outcome = Outcome.UNREADABLE if call.written else Outcome.NO_CONNECTION
        self.finish(call, AttemptResult(outcome, weak_evidence=True))

    @staticmethod
    def _broken_outcome(call: OutboundCall, reader: ResponseReader) -> Outcome:
        """Return the outcome where a response is missing, incomplete or malformed.

        A status line with 200 means delivery, whatever follows; for a batch only the
        complete response counts. A call that was not completely written was not
        executed. In all other cases it may have been executed, even if the status line
        denies that; the load report and Retry-After are ignored.
        """
        if reader.status_line_code == HTTPStatus.OK and not call.batched:
            return Outcome.DELIVERED
        if not call.written:
            return Outcome.NO_CONNECTION
        return Outcome.UNREADABLE if reader.any_bytes_received else Outcome.RESET

    def on_batch_response(
        self, call: OutboundCall, reader: ResponseReader, report: LoadReport | None
    ) -> None:
        """End a batch call by the states of its messages in the response.

        A response that names other messages belongs, at least in part, to another call.
        """
        unlisted = AttemptResult(Outcome.FAILED)
        unreadable = UNREADABLE_RESULT
        try:
            results = responses.parse_batch(reader)
        except MalformedResponseError as error:
            reader.keep_alive = False
            self.log_malformed_response(call, error)
            self.finish(call, unreadable)
            return
        if not results.keys() <= call.open_items.keys():
            reader.keep_alive = False
            self.log_malformed_response(call, "response names messages of other calls")
            unlisted = unreadable
        for item in list(call.open_items.values()):
            self.finish_item(call, item, results.get(item.id, unlisted), report)

    def read_load_report(self, reader: ResponseReader) -> LoadReport | None:
        """Return the load report of a response, if it has a valid one."""
        return responses.parse_load_report(reader, self.report_fields)

    def fail_unconnected_calls(self) -> None:
        """End each call that has no connection yet as not sent."""
        for call in {id(carrier): carrier for carrier in self.calls.values()}.values():
            if call.connection is None:
                self.finish(call, AttemptResult(Outcome.NOT_SENT))

    def set_retry_after(self, throttle_scope: ThrottleScopeKey, until: int) -> None:
        """Store a received Retry-After; the latest expiry of a throttle scope applies.

        Args:
            throttle_scope: The endpoint or destination to which it applies.
            until: When it expires, by the dispatcher's clock in microseconds.
        """
        if len(self.retry_after_until) > MAX_RETRY_AFTERS:
            now = self.clock()
            self.retry_after_until = {
                scope: end for scope, end in self.retry_after_until.items() if end > now
            }
        self.retry_after_until[throttle_scope] = max(
            until, self.retry_after_until.get(throttle_scope, 0)
        )
