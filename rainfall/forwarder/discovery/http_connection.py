"""One HTTP connection to discovery, to the list service or to the platform."""

from __future__ import annotations

import asyncio

from rainfall.forwarder.http1 import (
    MAX_LIST_BYTES,
    MalformedResponseError,
    ResponseReader,
)


class HttpConnection(asyncio.Protocol):
    """A connection for one request after another."""

    def __init__(self) -> None:
        self.reader = ResponseReader(MAX_LIST_BYTES)
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[None] | None = None
        self.error: Exception | None = None
        """Why the last response failed."""
        self.retired = False
        """No request is sent on it any more."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport (called by the event loop)."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Read the response (called by the event loop)."""
        if self.response is None or self.response.done():
            # Nobody asked for it, and it must not become the next response's start.
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
        """End the response (called by the event loop)."""
        self.transport = None
        if error is None:
            # This completes a response that gave no length.
            self.reader.on_eof()
        self.finish_response(
            None
            if self.reader.complete
            else ConnectionResetError("the connection ended")
        )

    def finish_response(self, error: Exception | None) -> None:
        """End the wait for a response, with the reason if it failed."""
        if self.response is not None and not self.response.done():
            self.error = error
            self.response.set_result(None)

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def retire(self) -> None:
        """Use it no more, but keep its descriptor for the connection after it."""
        self.retired = True
        if self.transport is not None:
            self.transport.pause_reading()

    def is_open(self) -> bool:
        """Whether it holds a descriptor that is not being closed."""
        return self.transport is not None and not self.transport.is_closing()

    def is_usable(self) -> bool:
        """Whether a request may be sent on it."""
        return self.is_open() and not self.retired

    async def exchange(self, data: bytes, deadline: float) -> ResponseReader:
        """Send a request and return its response.

        A response that is there when a delayed event loop looks again is in time.

        Args:
            data: The request's bytes.
            deadline: When to stop waiting, by the event loop's clock, in seconds.

        Raises:
            TimeoutError: There was no response in time.
            ConnectionError: The connection ended.
            MalformedResponseError: The response cannot be read.
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
            self.response.cancel()  # Of no effect if it is done.
        if self.error is not None:
            raise self.error
        if not self.reader.keep_alive:
            self.close()
        return self.reader
