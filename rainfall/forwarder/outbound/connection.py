"""A connection to an endpoint, and the call that is in flight on it.

If a connection breaks, the call's messages may have been executed only if its last byte
was handed to the socket: then the outcome is a reset, otherwise a failure to connect.
So all bytes are written here, and no library below buffers or resends any.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.dispatch.endpoints import ThrottleScopeKey
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.http1 import (
    REUSE_PAUSE_US,
    MalformedResponseError,
    ResponseReader,
)
from rainfall.forwarder.socket_state import (
    acknowledge_input,
    has_unread_input,
    unacknowledged_bytes,
)

STALE_CONNECTION_US = 30_000
"""A reused connection that breaks within this time of its next call was stale: the
endpoint had closed it while it was idle.
"""
NEVER_IDLE = -1
"""Value of an idle time where the connection was not idle."""


@dataclass(slots=True)
class CallItem:
    """One message of a call, with the attempt that the call makes of it."""

    id: str
    """The message's id."""
    attempt: int
    """Number of the attempt, from 0."""
    key: str | None
    """The message's idempotency key."""
    body: bytes
    timeout_at_us: int
    """When the attempt times out, by the dispatcher's clock."""
    send_before_us: int = 0
    """The attempt is not sent after this time. It is set for a message that may have
    been executed before: receivers may have dropped its idempotency key by then, and
    would execute it twice. 0 if it may be sent at any time.
    """


@dataclass(slots=True)
class OutboundCall:
    """One call to an endpoint, with one or more messages."""

    endpoint: int
    """The endpoint's number in this process."""
    throttle_scope: ThrottleScopeKey
    """The endpoint or destination to which a Retry-After in the response applies."""
    sent_at_us: int
    """When the dispatcher decided to send the call, by its clock."""
    items: list[CallItem]
    timeout_at_us: int = 0
    """When the first of the open messages times out, which ends the call."""
    dial_timeout_at_us: int = 0
    """A call that ends without a connection before this time counts as not sent, and
    not as a failure of the endpoint to accept connections.
    """
    connection: EndpointConnection | None = None
    """The connection on which the call is in flight."""
    timer: asyncio.TimerHandle | None = None
    """Fires at `timeout_at_us`."""
    written: bool = False
    """The last byte was handed to the socket, so the messages may be executed."""
    batched: bool = False
    """The call carries several messages, and its response a state for each."""
    message_count: int = 0
    """Number of messages in the encoded request."""
    checked_at_us: int = 0
    """When the clock was last read to decide that the call may still be sent."""
    waited_for_input: bool = False
    """The call has waited until unread responses of its throttle scope were read."""
    response_started: bool = False
    """A part of the response was received, and the timer for its completion is set."""
    open_items: dict[str, CallItem] = field(default_factory=dict)
    """Messages without an outcome, by id."""


@dataclass(slots=True)
class AttemptResult:
    """The result of an attempt."""

    outcome: Outcome
    final: bool = False
    """The endpoint reported that the message needs no further attempt."""
    retry_after_us: int = 0
    """The Retry-After of the response; 0 for none."""
    weak_evidence: bool = False
    """The outcome is weak evidence about the endpoint's health."""


OutcomeSink = Callable[[AttemptFinished], None]
"""Called at the end of each attempt."""


if TYPE_CHECKING:

    class ConnectionOwner(Protocol):
        """What an `EndpointConnection` requires of its pool."""

        clock: Callable[[], int]
        """The dispatcher's clock, in microseconds."""
        messages_written: int
        """Number of messages whose last byte was handed to a socket."""

        def log_malformed_response(self, call: OutboundCall, error: object) -> None:
            """Log why a response is malformed."""

        def on_response_started(self, call: OutboundCall) -> None:
            """Called when a part of a response was received."""

        def on_response(
            self, call: OutboundCall, reader: ResponseReader, broken: bool = False
        ) -> None:
            """End a call whose response is complete, or whose connection is broken."""

        def on_foreign_input(self, call: OutboundCall) -> None:
            """End a call whose connection received input that is not its response."""

        def record_staleness(self, age_us: int, stale: bool) -> None:
            """Record whether a connection that was idle for this time was stale."""

        def keep_idle(self, connection: EndpointConnection, endpoint: int) -> None:
            """Keep a connection without a call for reuse."""

        def on_connection_lost(self, connection: EndpointConnection) -> None:
            """Remove a closed connection."""


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint, with at most one call on it."""

    def __init__(self, pool: ConnectionOwner, address: Address) -> None:
        self.pool = pool
        self.address = address
        self.idle_since_us = NEVER_IDLE
        """When the connection became idle; NEVER_IDLE if it is not idle."""
        self.reusable_at_us = 0
        """When the pause after the last response ends; 0 before the first one."""
        self.batch_body_hash: int | None = None
        """Hash of the body of the last response, if that was a batch's; else None."""
        self.call_started_us = 0
        """When the last call was written."""
        self.idle_age_us = NEVER_IDLE
        """How long the connection was idle before its last call; NEVER_IDLE if it was
        new.
        """
        self.call: OutboundCall | None = None
        """The call in flight."""
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        # With a limit of 0, resume_writing() is called once all bytes are written.
        transport.set_write_buffer_limits(0)
        self.transport = transport

    def resume_writing(self) -> None:
        """Mark the call as written (called by the event loop)."""
        if self.call is not None:
            self.mark_written(self.call)

    def mark_written(self, call: OutboundCall) -> None:
        """Record that a call's last byte was handed to the socket."""
        if not call.written:
            call.written = True
            self.pool.messages_written += call.message_count

    def is_closing(self) -> bool:
        """Whether no call can be sent on the connection any more."""
        return self.transport is None or self.transport.is_closing()

    def is_reusable(self) -> bool:
        """Whether the connection is open and has no unread input.

        Unread input, such as the end of the stream, a second response or stray bytes,
        would be taken for the next call's response.
        """
        return not self.is_closing() and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Whether the socket holds input that the event loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        return has_unread_input(self.transport)

    def send_call(self, call: OutboundCall, data: bytes) -> None:
        """Write an encoded call.

        Args:
            call: The call, which becomes the one in flight.
            data: The complete encoded request.
        """
        assert self.transport is not None
        self.reader.reset()
        self.call_started_us = self.pool.clock()
        self.idle_age_us = NEVER_IDLE
        if self.idle_since_us >= 0:
            self.idle_age_us = self.call_started_us - self.idle_since_us
        self.idle_since_us = NEVER_IDLE
        self.call = call
        call.connection = self
        self.transport.write(data)
        # The buffer is also empty after a write that failed. Then the transport is
        # closing, and the socket has not taken the last byte.
        if (
            self.transport.get_write_buffer_size() == 0
            and not self.transport.is_closing()
        ):
            self.mark_written(call)

    def close(self) -> None:
        """Close immediately."""
        if self.transport is not None:
            self.transport.abort()

    def abort_call(self) -> None:
        """Close the connection while its call is in flight.

        The transport closes only in the next loop iteration, and the message's next
        attempt may be sent before that. So the sending side is shut down immediately,
        which also aborts the call at the endpoint.
        """
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # The endpoint closed it first.
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.close()

    def data_received(self, data: bytes) -> None:
        """Parse the call's response (called by the event loop)."""
        call = self.call
        if call is None:
            # Input without a request: the connection must not be reused.
            self.close()
            return
        if self._precedes_call():
            self._end_by_foreign_input(call)
            return
        try:
            self.reader.feed(data)
        except MalformedResponseError as error:
            self.pool.log_malformed_response(call, error)
            self._release_call(call)
            # The call may still be in flight, and the next attempt may be sent as soon
            # as its end is reported: so its sending ends first.
            self.abort_call()
            self.pool.on_response(call, self.reader, broken=True)
            return
        if self._repeats_batch_response(call):
            self._end_by_foreign_input(call)
        elif self.reader.complete:
            self._finish_call(call)
        elif self.reader.response_started:
            self.pool.on_response_started(call)

    def _precedes_call(self) -> bool:
        """Whether input that was just received was sent before the call arrived.

        Then it follows an earlier response. A response acknowledges the whole request,
        as an endpoint starts a call with its last byte. If the whole request is
        acknowledged, nothing is known.
        """
        return (
            self.idle_age_us >= 0
            and not self.reader.any_bytes_received
            and self.transport is not None
            and unacknowledged_bytes(self.transport) > 0
        )

    def _repeats_batch_response(self, call: OutboundCall) -> bool:
        """Whether a call with one message received the last batch's response again.

        The body of that response names the batch's messages, so no other call has it.
        """
        return (
            self.batch_body_hash is not None
            and not call.batched
            and self.reader.complete
            and hash(self.reader.body) == self.batch_body_hash
        )

    def _end_by_foreign_input(self, call: OutboundCall) -> None:
        """Close the connection, and end its call without a response."""
        self._release_call(call)
        self.abort_call()
        self.pool.on_foreign_input(call)

    def _release_call(self, call: OutboundCall) -> None:
        self.call = None
        call.connection = None

    def _finish_call(self, call: OutboundCall) -> None:
        self.pool.record_staleness(self.idle_age_us, False)
        self.reusable_at_us = self.pool.clock() + REUSE_PAUSE_US
        is_batch_response = call.batched and self.reader.status == HTTPStatus.OK
        self.batch_body_hash = hash(self.reader.body) if is_batch_response else None
        self._release_call(call)
        self.pool.on_response(call, self.reader)
        # If the endpoint answered before the request was complete, the rest must not be
        # sent: the endpoint would start the call only then.
        if self.reader.keep_alive and call.written and not self.is_closing():
            self._acknowledge_response()
            self.pool.keep_idle(self, call.endpoint)
        else:
            self.close()

    def _acknowledge_response(self) -> None:
        """Let the endpoint's machine send what it holds back, before the next call."""
        if self.transport is not None:
            acknowledge_input(self.transport)

    def eof_received(self) -> None:
        """Close if the call is not completely written (called by the event loop).

        Otherwise the transport would write the rest of the request before it closes. A
        request that was incomplete when the endpoint closed its side must not become
        complete.
        """
        if self.call is not None and not self.call.written:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the call in flight, if any (called by the event loop)."""
        self.pool.on_connection_lost(self)
        call = self.call
        self.call = None
        if call is not None:
            call.connection = None
            if error is None:
                self.reader.on_eof()
            if (
                self.idle_age_us >= 0
                and not self.reader.any_bytes_received
                and self.pool.clock() - self.call_started_us < STALE_CONNECTION_US
            ):
                self.pool.record_staleness(self.idle_age_us, True)
            self.pool.on_response(call, self.reader, broken=not self.reader.complete)
        self.reader.release_parser()
