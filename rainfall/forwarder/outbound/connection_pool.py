"""Calls to targets: a pool of connections for each, one call at a time on a connection,
no resend.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from rainfall.dispatch import AttemptFinished, LoadReport, Outcome
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.http1 import ResponseReader, encode_request
from rainfall.forwarder.outbound import responses
from rainfall.forwarder.outbound.connection import (
    AttemptResult,
    CallItem,
    EndpointConnection,
    OutboundCall,
    OutcomeSink,
    encode_batch,
    fits_batch,
)
from rainfall.forwarder.outbound.idle_connections import IdleConnections
from rainfall.forwarder.outbound.responses import parse_retry_after_us

__all__ = [
    "CallItem",
    "ConnectionPool",
    "EndpointConnection",
    "OutboundCall",
    "fits_batch",
    "parse_retry_after_us",
]
US_PER_SECOND = 1_000_000
# kept before those that are over are looked for: some hundred endpoints tell one each
MAX_RETRY_AFTERS = 2048
MALFORMED_LOG_INTERVAL_US = 5 * US_PER_SECOND
NO_PERMIT_SOON = -1
# how long the last gate holds a call at most, rather than send it back undone
PERMIT_WAIT_US = 50_000
RESPONSE_COMPLETION_S = (
    0.5  # an answer that has begun and is not whole after this is spoilt
)
LOCAL_DIAL_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
)
"""Why a connection may fail to come up that is no fault of the target's."""
log = logging.getLogger("rainfall.client")


class ConnectionPool(IdleConnections):
    """All connections to all targets, and the calls that are out on them."""

    def __init__(
        self,
        clock: Callable[[], int],
        sink: OutcomeSink,
        fields: tuple[str, ...],
        idle_us: int,
        dial_us: int,
        most: int,
    ) -> None:
        super().__init__(clock, idle_us)
        self.sink, self.max_connections = sink, most
        self.configure(fields, idle_us, dial_us)
        self.retry_after_until: dict[tuple[int, int], int] = {}
        self.in_flight = 0
        self.messages_written = 0  # messages written whole to targets
        self.last_malformed_log_us = -MALFORMED_LOG_INTERVAL_US
        self.calls: dict[tuple[str, int], OutboundCall] = {}
        self.record_attempts: Callable[[OutboundCall], bool] | None = None
        """Asked once its connection is up: whether what must be kept of a call before
        it leaves is.
        """
        self.acquire_permit: Callable[[OutboundCall], int] | None = None
        """Asked last before a call's first byte: 0, it leaves; else when to ask again,
        in microseconds; below 0, not soon.
        """
        self.on_call_sent: Callable[[OutboundCall], None] | None = None
        """Told right after its first byte."""

    def configure(self, fields: tuple[str, ...], idle_us: int, dial_us: int) -> None:
        self.report_fields, self.dial_timeout_us = fields, dial_us or US_PER_SECOND
        self.set_idle_timeout(idle_us)

    # Starting

    def start(self, call: OutboundCall) -> None:
        """Send a call, on a connection that is open or on a new one."""
        self.in_flight += 1
        for item in call.items:
            call.open_items[item.id] = item
            self.calls[(item.id, item.attempt)] = call
        call.dial_timeout_at_us = self.clock() + self.dial_timeout_us
        self.arm_timeout(call)
        self.connect(call)

    def connect(self, call: OutboundCall) -> None:
        if call.endpoint not in self.addresses:
            self.finish(call, AttemptResult(Outcome.NO_CONNECTION))
            return
        idle = self.idle.get(call.endpoint, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable() and self.is_age_trusted(
                self.clock() - connection.idle_since_us
            ):
                self.revalidate(call, connection)
                return
            connection.close()
        if (
            len(self.connections) + len(self.dial_tasks) >= self.max_connections
            and not self.close_longest_idle()
        ):
            self.finish(
                call, AttemptResult(Outcome.NOT_SENT)
            )  # for want of sockets here: no fault of the target's
            return
        task = asyncio.get_running_loop().create_task(
            self.dial(call, self.addresses[call.endpoint])
        )
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)

    async def dial(self, call: OutboundCall, address: Address) -> None:
        loop = asyncio.get_running_loop()
        timeout_us = min(self.dial_timeout_us, call.timeout_at_us - self.clock())
        try:
            async with asyncio.timeout(max(0.001, timeout_us / US_PER_SECOND)):
                _, connection = await loop.create_connection(
                    lambda: EndpointConnection(self, address),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            is_local_error = (
                isinstance(error, OSError) and error.errno in LOCAL_DIAL_ERRNOS
            )
            # A dial that had less time than the settings give one may just have been
            # cut by its own call.
            was_shortened = (
                isinstance(error, TimeoutError) and timeout_us < self.dial_timeout_us
            )
            self.finish(
                call,
                AttemptResult(
                    Outcome.NOT_SENT if is_local_error else Outcome.NO_CONNECTION,
                    weak_evidence=was_shortened
                    or isinstance(error, ConnectionResetError),
                ),
            )
            return
        self.connections.add(connection)
        if not connection.is_reusable():
            # It came up and broke, perhaps unread as yet: a target that holds only so
            # many lets go of more. That it is there is known, and what breaks before
            # the first byte never ran.
            self.finish(call, AttemptResult(Outcome.NO_CONNECTION, weak_evidence=True))
            connection.close()
        else:
            self.revalidate(call, connection)

    def revalidate(self, call: OutboundCall, connection: EndpointConnection) -> None:
        """What was told since the call was decided binds it, too, on whichever
        connection it came here; and so does the time that this took.
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
            # Drained while the connection was coming up: what was queued for it must
            # not leave any more.
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
        """The last gate: nothing stands between its yes and the socket.

        A call that comes a moment early, as those before it left later than they were
        decided, is held for that moment.
        """
        data = self.render(call)
        recorded = self.record_attempts is None or self.record_attempts(call)
        permit_delay_us = (
            NO_PERMIT_SOON
            if not recorded
            else 0
            if self.acquire_permit is None
            else self.acquire_permit(call)
        )
        if not permit_delay_us:
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

    def retry_launch(self, call: OutboundCall, connection: EndpointConnection) -> None:
        if connection.is_reusable():
            self.revalidate(call, connection)
            return
        connection.close()
        if call.open_items:
            self.connect(call)

    def render(self, call: OutboundCall) -> bytes:
        """The bytes of a call for those of its messages that are still open."""
        address = self.addresses[call.endpoint]
        host = f"{address.host}:{address.port}"
        items = list(call.open_items.values())
        call.batched, call.message_count = len(items) > 1, len(items)
        time_left = f"{max(1, (call.timeout_at_us - self.clock()) // 1000) / 1000:.3f}"
        if len(items) == 1:
            item = items[0]
            headers = [("X-Correlation-Id", item.id), ("X-Time-Left", time_left)]
            if item.key is not None:
                headers.append(("Idempotency-Key", item.key))
            return encode_request("POST", "/hook", host, headers, item.body)
        return encode_request(
            "POST",
            "/hook/batch",
            host,
            [("Content-Type", "application/json"), ("X-Time-Left", time_left)],
            encode_batch(items),
        )

    # Ending

    def arm_timeout(self, call: OutboundCall) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        if call.open_items:
            # The first of its messages to run out of time ends it for all: what comes
            # for the others while it is still out for one whose end was told counts for
            # nobody.
            call.timeout_at_us = min(
                item.timeout_at_us for item in call.open_items.values()
            )
            delay = max(0, call.timeout_at_us - self.clock()) / US_PER_SECOND
            call.timer = asyncio.get_running_loop().call_later(
                delay + 0.001, self.on_timeout, call
            )

    def on_timeout(self, call: OutboundCall) -> None:
        self.abandon(call, Outcome.TIMED_OUT)

    def cancel(self, message: str, attempt: int) -> None:
        call = self.calls.get((message, attempt))
        if call is not None and message in call.open_items:
            self.abandon(call, Outcome.CANCELED)

    def defer_for_unread_input(
        self, call: OutboundCall, resume: Callable[[], None]
    ) -> bool:
        """Whether a call is not to be given up as yet.

        What a busy loop has not read counts first, as the answer may lie at the socket:
        it is read in the next turn, which sees to sockets before timers. Then this goes
        on, however much more lies there by that time.
        """
        if not call.open_items or call.connection is None:
            return not call.open_items
        if (
            call.connection.is_closing()
        ):  # its end was read, and is on its way to the call
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
        """Stop waiting for a call, all its messages together: while its connection is
        open each of them is still out, and once it is closed, as a late answer must not
        be taken for the next call's, none is.
        """
        if not input_checked and self.defer_for_unread_input(
            call, lambda: self.abandon(call, outcome, True)
        ):
            return
        sent = call.connection is not None and call.written
        if self.has_success_status(call):
            outcome = Outcome.DELIVERED
        elif (
            not sent
        ):  # a connection that still had time to come up tells nothing of its target
            early = call.connection is None and self.clock() < call.dial_timeout_at_us
            outcome = Outcome.NOT_SENT if early else Outcome.NO_CONNECTION
        self.finish(call, AttemptResult(outcome))

    def has_success_status(self, call: OutboundCall) -> bool:
        """Whether the first line of a call with one message says 200: it is delivered,
        whatever follows.
        """
        return (
            not call.batched
            and call.connection is not None
            and call.connection.reader.status_line_code == 200
        )

    def on_response_started(self, call: OutboundCall) -> None:
        """Some of the answer is here: the rest must follow soon, and not hold a slot
        until a time-out.
        """
        if not call.response_started:
            call.response_started = True
            asyncio.get_running_loop().call_later(
                RESPONSE_COMPLETION_S, self.on_incomplete_response, call
            )

    def on_incomplete_response(
        self, call: OutboundCall, input_checked: bool = False
    ) -> None:
        if not input_checked and self.defer_for_unread_input(
            call, lambda: self.on_incomplete_response(call, True)
        ):
            return
        if call.connection is not None:
            reader = call.connection.reader
            if (
                not reader.response_started
            ):  # it was one ahead of the answer, in two parts
                call.response_started = False
                return
            self.log_malformed_response(call, "not whole in time")
            self.detach_connection(call)
            self.on_response(call, reader, broken=True)

    def log_malformed_response(self, call: OutboundCall, error: object) -> None:
        """One line now and then: some targets spoil many answers."""
        if self.clock() - self.last_malformed_log_us >= MALFORMED_LOG_INTERVAL_US:
            self.last_malformed_log_us = self.clock()
            log.warning("target %d: spoilt answer: %s", call.endpoint, str(error)[:200])

    def detach_connection(self, call: OutboundCall) -> None:
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        if call.connection is not None:
            connection, call.connection = call.connection, None
            connection.call = None
            connection.abort_call()

    def finish(
        self,
        call: OutboundCall,
        result: AttemptResult,
        report: LoadReport | None = None,
    ) -> None:
        """The same end for all that is still open.

        What hears of it may send the copy at once: while the call is out on an open
        connection, that would be a second one.
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
        """An answer came, or the connection broke before it was whole."""
        if call.timer is not None:
            call.timer.cancel()
            call.timer = None
        is_batch = call.batched
        if broken:
            # A first line with 200 is a delivery though the rest is spoilt; of several,
            # only the whole answer tells. Whatever else it says, a spoilt answer shows
            # that the call may have run, also where its first line denies it, and its
            # report and wait are not to be believed. A call that is not whole has not
            # started.
            if reader.status_line_code == 200 and not is_batch:
                outcome = Outcome.DELIVERED
            elif not call.written:
                outcome = Outcome.NO_CONNECTION
            else:
                outcome = (
                    Outcome.UNREADABLE if reader.any_bytes_received else Outcome.RESET
                )
            self.finish(
                call,
                AttemptResult(outcome, weak_evidence=outcome is not Outcome.DELIVERED),
            )
            return
        report = self.read_load_report(reader)
        if reader.status == 200 and is_batch:
            self.on_batch_response(call, reader, report)
            return
        self.finish(
            call,
            responses.parse_shared(reader)
            if is_batch
            else responses.parse_single(reader),
            report,
        )

    def on_batch_response(
        self, call: OutboundCall, reader: ResponseReader, report: LoadReport | None
    ) -> None:
        try:
            ends = responses.parse_batch(reader)
        except (
            ValueError,
            TypeError,
            KeyError,
            RecursionError,
        ) as error:  # nested without end
            self.log_malformed_response(call, error)
            self.finish(call, AttemptResult(Outcome.UNREADABLE, weak_evidence=True))
            return
        for item in list(call.open_items.values()):
            self.finish_item(
                call, item, ends.get(item.id, AttemptResult(Outcome.FAILED)), report
            )

    def read_load_report(self, reader: ResponseReader) -> LoadReport | None:
        return responses.parse_load_report(reader, self.report_fields)

    def fail_unconnected_calls(self) -> None:
        """What is not on a connection yet goes back unsent."""
        for call in {id(c): c for c in self.calls.values()}.values():
            if call.connection is None:
                self.finish(call, AttemptResult(Outcome.NOT_SENT))

    def set_retry_after(self, throttle_scope: tuple[int, int], until: int) -> None:
        """A wait that was told."""
        if len(self.retry_after_until) > MAX_RETRY_AFTERS:
            now = self.clock()
            self.retry_after_until = {
                p: end for p, end in self.retry_after_until.items() if end > now
            }
        self.retry_after_until[throttle_scope] = max(
            until, self.retry_after_until.get(throttle_scope, 0)
        )
