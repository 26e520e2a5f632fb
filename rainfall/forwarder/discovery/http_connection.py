"""HTTP/1.1 client connection for control traffic: discovery, platform, list service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rainfall.forwarder.http1 import (
    MAX_LIST_BYTES,
    REUSE_PAUSE_US,
    MalformedResponseError,
    ResponseReader,
)
from rainfall.forwarder.socket_state import (
    acknowledge_input,
    has_unread_input,
    unacknowledged_bytes,
)
from rainfall.forwarder.units import US_PER_SECOND


class HttpConnection(asyncio.Protocol):
    """A connection that carries one request at a time."""

    def __init__(self) -> None:
        self.reader = ResponseReader(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[None] | None = None
        """Done once the response of the current request is complete or has failed."""
        self.error: Exception | None = None
        """Why the last response failed."""
        self.reusable_at_s = 0.0
        """When the pause after the last response ends, by the event loop's clock; 0
        before the first one.
        """
        self.retired = False
        """No further request may be sent. The socket stays open, so that its descriptor
        remains in use until the next connection is made.
        """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the response (called by the event loop)."""
        if self.response is None or self.response.done():
            # Input without a request must not become the start of the next response.
            self.close()
            return
        if self._precedes_request():
            self.finish_response(
                MalformedResponseError("input before the request had arrived")
            )
            self.close()
            return
        try:
            self.reader.feed(data)
        except MalformedResponseError as error:
            self.finish_response(error)
            self.close()
            return
        if self.reader.complete:
            if self.transport is not None:
                acknowledge_input(self.transport)
            self.finish_response(None)

    def _precedes_request(self) -> bool:
        """Whether input that was just received was sent before the request arrived.

        See `EndpointConnection`. On a new connection there is nothing that it could
        follow.
        """
        return (
            self.reusable_at_s > 0
            and not self.reader.any_bytes_received
            and self.transport is not None
            and unacknowledged_bytes(self.transport) > 0
        )

    def connection_lost(self, error: Exception | None) -> None:
        """End the current response (called by the event loop)."""
        self.transport = None
        if error is None:
            # The end of the stream completes a response without a length.
            self.reader.on_eof()
        self.finish_response(
            None
            if self.reader.complete
            else ConnectionResetError(
                "connection closed before the response was complete"
            )
        )

    def finish_response(self, error: Exception | None) -> None:
        """End the wait for the response.

        Args:
            error: Why it failed; None if it is complete.
        """
        if self.response is not None and not self.response.done():
            self.error = error
            self.response.set_result(None)

    def close(self) -> None:
        """Close immediately."""
        if self.transport is not None:
            self.transport.abort()

    def retire(self) -> None:
        """Allow no further requests, but keep the descriptor reserved."""
        self.retired = True
        if self.transport is not None:
            self.transport.pause_reading()

    def has_timed_out(self) -> bool:
        """Whether a request was sent whose response has not come in time."""
        return (
            self.is_open() and self.response is not None and self.response.cancelled()
        )

    def await_late_response(self, on_end: Callable[[], None]) -> None:
        """Go on reading the response of a request that timed out.

        No further request may be sent.

        Args:
            on_end: Called once the response is complete or has failed (`error`).
        """
        self.retired = True
        self.response = asyncio.get_running_loop().create_future()
        self.response.add_done_callback(lambda _response: on_end())
        if self.transport is not None:
            self.transport.resume_reading()

    def is_open(self) -> bool:
        """Whether the socket is open and not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def is_usable(self) -> bool:
        """Whether a request may be sent.

        Unread input, such as the end of the stream or a second response, would be taken
        for the response to the next request.
        """
        return (
            self.transport is not None
            and self.is_open()
            and not self.retired
            and not has_unread_input(self.transport)
        )

    async def wait_until_reusable(self) -> None:
        """Wait for the end of the pause after the last response."""
        pause_s = self.reusable_at_s - asyncio.get_running_loop().time()
        if pause_s > 0:
            await asyncio.sleep(pause_s)

    async def exchange(self, data: bytes, deadline: float) -> ResponseReader:
        """Send a request and return its response.

        A response that has arrived when a delayed event loop runs again is accepted,
        even if the deadline has passed.

        Args:
            data: The encoded request.
            deadline: When to stop waiting, in seconds of the event loop's clock.

        Raises:
            TimeoutError: The response was not complete in time.
            ConnectionError: The connection broke or was closed.
            MalformedResponseError: The response is malformed or too large.
        """
        assert self.transport is not None
        loop = asyncio.get_running_loop()
        self.reader.reset()
        self.error = None
        self.response = loop.create_future()
        self.transport.write(data)
        try:
            await asyncio.wait({self.response}, timeout=deadline - loop.time())
            if not self.response.done():
                raise TimeoutError
        finally:
            self.response.cancel()  # No effect if it is done.
        if self.error is not None:
            raise self.error
        self.reusable_at_s = loop.time() + REUSE_PAUSE_US / US_PER_SECOND
        if not self.reader.keep_alive:
            self.close()
        return self.reader
