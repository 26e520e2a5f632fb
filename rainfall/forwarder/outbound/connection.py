"""One connection to a target, and the call that is out on it.

What parts 'could not connect' (it never ran) from 'reset' (it may have run) is whether
the call's last byte was handed to the socket; so every byte is written here and no
library below keeps or resends one.
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from rainfall.dispatch import AttemptFinished, Outcome
from rainfall.forwarder.config.loading import Address
from rainfall.forwarder.http1 import (
    MAX_BODY_BYTES,
    MalformedResponseError,
    ResponseReader,
    has_unread_input,
)

STALE_CONNECTION_US = (
    30_000  # a kept connection that breaks so soon under its call was stale
)


@dataclass(slots=True)
class CallItem:
    """One message of a call."""

    id: str
    attempt: int
    key: str | None
    body: bytes
    timeout_at_us: int
    send_before_us: int = 0
    """When it may have run before: after this its receivers may have forgotten its key.
    0: at any time.
    """


@dataclass(slots=True)
class OutboundCall:
    endpoint: int
    throttle_scope: tuple[int, int]
    """What shares a wait: its destination, or one route where routes are apart."""
    sent_at_us: int
    items: list[CallItem]
    timeout_at_us: int = 0
    dial_timeout_at_us: int = 0
    connection: EndpointConnection | None = None
    timer: asyncio.TimerHandle | None = None
    written: bool = False
    batched: bool = False
    message_count: int = 0
    """Messages that its bytes hold."""
    response_started: bool = False
    """Some of its answer has come."""
    open_items: dict[str, CallItem] = field(default_factory=dict)


@dataclass(slots=True)
class AttemptResult:
    outcome: Outcome
    final: bool = False
    retry_after_us: int = 0
    weak_evidence: bool = False


OutcomeSink = Callable[[AttemptFinished], None]


if TYPE_CHECKING:

    class ConnectionOwner(Protocol):
        """The pool, as its connections need it."""

        clock: Callable[[], int]
        messages_written: int

        def log_malformed_response(self, call: OutboundCall, error: object) -> None: ...

        def on_response_started(self, call: OutboundCall) -> None: ...

        def on_response(
            self, call: OutboundCall, reader: ResponseReader, broken: bool = False
        ) -> None: ...

        def record_staleness(self, age_us: int, stale: bool) -> None: ...

        def keep_idle(self, connection: EndpointConnection, target: int) -> None: ...

        def on_connection_lost(self, connection: EndpointConnection) -> None: ...


class EndpointConnection(asyncio.Protocol):
    """A connection to a target, with at most one call on it."""

    def __init__(self, pool: ConnectionOwner, where: Address) -> None:
        self.pool, self.address, self.idle_since_us = pool, where, -1
        self.call_started_us, self.idle_age_us = (
            0,
            -1,
        )  # how long it had been idle before its call; -1 on a new one
        self.call: OutboundCall | None = None
        self.transport: asyncio.Transport | None = None
        self.reader = ResponseReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(
            0
        )  # so that resume_writing tells that the last byte is out
        self.transport = transport

    def resume_writing(self) -> None:
        if self.call is not None:
            self.mark_written(self.call)

    def mark_written(self, call: OutboundCall) -> None:
        """The call's last byte is out."""
        if not call.written:
            call.written = True
            self.pool.messages_written += call.message_count

    def is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def is_reusable(self) -> bool:
        """Whether nothing has come on it unasked.

        An end, a second answer or noise that waits unread would be taken for the next
        call's.
        """
        return not self.is_closing() and not self.has_unread_input()

    def has_unread_input(self) -> bool:
        """Whether something lies at its socket that the loop has not read: bytes, an
        end, a reset.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return has_unread_input(self.transport)

    def send_call(self, call: OutboundCall, data: bytes) -> None:
        assert self.transport is not None
        self.reader.reset()
        self.call_started_us = self.pool.clock()
        self.idle_age_us = (
            self.call_started_us - self.idle_since_us if self.idle_since_us >= 0 else -1
        )
        self.idle_since_us = -1
        self.call, call.connection = call, self
        self.transport.write(data)
        # A write that fails leaves the buffer empty, too: then the socket did not take
        # the last byte.
        if (
            self.transport.get_write_buffer_size() == 0
            and not self.transport.is_closing()
        ):
            self.mark_written(call)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def abort_call(self) -> None:
        """Close it with its call out.

        A transport closes in the loop's next turn, and by then the call's copy may have
        left: so the sending ends here and now, which gives the call up as well.
        """
        if self.transport is not None and not self.transport.is_closing():
            with suppress(OSError):  # the target was first
                self.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
        self.close()

    def data_received(self, data: bytes) -> None:
        call = self.call
        if call is None:  # nothing was asked: not to be trusted any more
            self.close()
            return
        try:
            self.reader.feed(data)
        except MalformedResponseError as error:
            self.pool.log_malformed_response(call, error)
            self.call, call.connection = None, None
            # before its end is told: the call may still be out, and its copy leave at
            # once
            self.abort_call()
            self.pool.on_response(call, self.reader, broken=True)
            return
        if not self.reader.complete:
            if self.reader.response_started:
                self.pool.on_response_started(call)
        else:
            self.pool.record_staleness(self.idle_age_us, False)
            self.call, call.connection = None, None
            self.pool.on_response(call, self.reader)
            # What is left of a request that was answered early must not follow: its
            # call would start yet.
            if self.reader.keep_alive and call.written and not self.is_closing():
                self.pool.keep_idle(self, call.endpoint)
            else:
                self.close()

    def eof_received(self) -> None:
        """The target's end.

        A transport would go on and write what is left of a request before it closes;
        and what is not whole by now must not become so.
        """
        if self.call is not None and not self.call.written:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.pool.on_connection_lost(self)
        call, self.call = self.call, None
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


def encode_batch(items: list[CallItem]) -> bytes:
    return json.dumps(
        [
            {
                "id": item.id,
                **({} if item.key is None else {"key": item.key}),
                "body": base64.b64encode(item.body).decode(),
            }
            for item in items
        ],
        separators=(",", ":"),
    ).encode()


def fits_batch(items: list[CallItem], item: CallItem) -> bool:
    """Whether one more message leaves the body of a batch call within what targets
    take.
    """
    return (
        sum(
            4 * len(x.body) // 3 + len(x.id) + len(x.key or "") + 64
            for x in [*items, item]
        )
        <= MAX_BODY_BYTES
    )
