"""One connection to an endpoint, and the call that is in flight on it.

Whether a call could not connect (its messages were not executed) or was reset (they may
have been) depends on whether its last byte was handed to the socket. So every byte is
written here, and no library below keeps or resends one.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.dispatch.endpoints import ThrottleScopeKey
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.http1 import (
    MalformedResponseError,
    ResponseReader,
    has_unread_input,
)

STALE_CONNECTION_US = 30_000
"""An idle connection that breaks so soon under its next call was stale."""
NEVER_IDLE = -1
"""Stands for an idle time where a connection has not been idle."""


@dataclass(slots=True)
class CallItem:
    """One message of a call, with the attempt that the call makes of it."""

    id: str
    attempt: int
    key: str | None
    body: bytes
    timeout_at_us: int
    send_before_us: int = 0
    """Receivers may have forgotten its idempotency key after this, which matters where
    it may have been executed before; 0 where it may be sent at any time.
    """


@dataclass(slots=True)
class OutboundCall:
    """One call to an endpoint, with one or more messages."""

    endpoint: int
    throttle_scope: ThrottleScopeKey
    """What a Retry-After in its response binds."""
    sent_at_us: int
    items: list[CallItem]
    timeout_at_us: int = 0
    dial_timeout_at_us: int = 0
    connection: EndpointConnection | None = None
    timer: asyncio.TimerHandle | None = None
    written: bool = False
    """Its last byte was handed to the socket."""
    batched: bool = False
    message_count: int = 0
    """Messages in the bytes that are written."""
    response_started: bool = False
    """Some of its response has come."""
    open_items: dict[str, CallItem] = field(default_factory=dict)
    """Messages without an outcome, by id."""


@dataclass(slots=True)
class AttemptResult:
    """What came of an attempt."""

    outcome: Outcome
    final: bool = False
    """The endpoint said that the message needs no other attempt."""
    retry_after_us: int = 0
    """The Retry-After that was received; 0 for none."""
    weak_evidence: bool = False
    """It says little about the endpoint's health."""


OutcomeSink = Callable[[AttemptFinished], None]
"""Gets the end of each attempt."""


if TYPE_CHECKING:

    class ConnectionOwner(Protocol):
        """What connections need of their pool."""

        clock: Callable[[], int]
        messages_written: int

        def log_malformed_response(self, call: OutboundCall, error: object) -> None:
            """Log why a response cannot be read."""

        def on_response_started(self, call: OutboundCall) -> None:
            """Note that some of a response has come."""

        def on_response(
            self, call: OutboundCall, reader: ResponseReader, broken: bool = False
        ) -> None:
            """End a call by its response, or by the break of its connection."""

        def record_staleness(self, age_us: int, stale: bool) -> None:
            """Learn whether a connection that was idle so long was stale."""

        def keep_idle(self, connection: EndpointConnection, target: int) -> None:
            """Keep a connection without a call for the next one."""

        def on_connection_lost(self, connection: EndpointConnection) -> None:
            """Forget a connection."""


class EndpointConnection(asyncio.Protocol):
    """A connection to an endpoint, with at most one call on it."""

    def __init__(self, pool: ConnectionOwner, where: Address) -> None:
        self.pool = pool
        self.address = where
        self.idle_since_us = NEVER_IDLE
        self.call_started_us = 0
        self.idle_age_us = NEVER_IDLE
        """How long it had been idle before its call."""
        self.call: OutboundCall | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        # With this limit, resume_writing tells that the last byte is written.
        transport.set_write_buffer_limits(0)
        self.transport = transport

    def resume_writing(self) -> None:
        """Note that all bytes are written (called by the event loop)."""
        if self.call is not None:
            self.mark_written(self.call)

    def mark_written(self, call: OutboundCall) -> None:
        """Note that a call's last byte was handed to the socket."""
        if not call.written:
            call.written = True
            self.pool.messages_written += call.message_count

    def is_closing(self) -> bool:
        """Whether nothing can be sent on it any more."""
        return self.transport is None or self.transport.is_closing()

    def is_reusable(self) -> bool:
        """Whether it is open and without unread input.

        An end, a second response or noise that waits unread would be taken for the next
        call's response.
        """
        return not self.is_closing() and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Whether its socket holds what the event loop has not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        return has_unread_input(self.transport)

    def send_call(self, call: OutboundCall, data: bytes) -> None:
        """Write a call's bytes."""
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
        # A write that fails leaves the buffer empty, too: then the socket did not take
        # the last byte.
        if (
            self.transport.get_write_buffer_size() == 0
            and not self.transport.is_closing()
        ):
            self.mark_written(call)

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def abort_call(self) -> None:
        """Close with the call in flight.

        A transport closes in the loop's next turn, and by then the message's next
        attempt may have been sent: so sending ends here and now, which abandons the
        call as well.
        """
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # The endpoint closed it first.
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.close()

    def data_received(self, data: bytes) -> None:
        """Read the call's response (called by the event loop)."""
        call = self.call
        if call is None:
            # Input that nobody asked for: the connection is not to be trusted any more.
            self.close()
            return
        try:
            self.reader.feed(data)
        except MalformedResponseError as error:
            self.pool.log_malformed_response(call, error)
            self._release_call(call)
            # The call ends only after its sending: it may still be in flight, and the
            # next attempt may be sent at once.
            self.abort_call()
            self.pool.on_response(call, self.reader, broken=True)
            return
        if self.reader.complete:
            self._finish_call(call)
        elif self.reader.response_started:
            self.pool.on_response_started(call)

    def _release_call(self, call: OutboundCall) -> None:
        self.call = None
        call.connection = None

    def _finish_call(self, call: OutboundCall) -> None:
        self.pool.record_staleness(self.idle_age_us, False)
        self._release_call(call)
        self.pool.on_response(call, self.reader)
        # What is left of a request that was answered early must not be sent: its call
        # would only start then.
        if self.reader.keep_alive and call.written and not self.is_closing():
            self.pool.keep_idle(self, call.endpoint)
        else:
            self.close()

    def eof_received(self) -> None:
        """Close if the call is not written (called by the event loop).

        A transport would go on and write the rest of a request before it closes; and a
        request that is incomplete at the endpoint's end must not become complete.
        """
        if self.call is not None and not self.call.written:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """End the call, if there is one (called by the event loop)."""
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
