"""What peers other than clients make the forwarder hold is limited, too: heads of many
fields in responses, bodies of operators' calls, messages for a handover target.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Any

import pytest

from rainfall.forwarder.admin import admin_server
from rainfall.forwarder.admin.admin_server import AdminServer
from rainfall.forwarder.config.address import Address
from rainfall.forwarder.handover import connection as handover_connection
from rainfall.forwarder.handover.connection import HandoverConnection
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.http1 import (
    LOAD_HEADER,
    MAX_HEADER_BYTES,
    RETRY_AFTER_HEADER,
    ResponseReader,
)
from rainfall.forwarder.inbound.server import SubmittedMessage
from tests.support.client_pressure import short_fields
from tests.support.loopback_peers import PATIENCE, free_port


def test_response_head_of_many_fields_keeps_only_those_that_are_read() -> None:
    head = (
        b"HTTP/1.1 429 X\r\nContent-Length: 0\r\nX-RateLimit-Wait-Ms: 70\r\n"
        + short_fields(2_400)
        + b"X-Backend-Load: x0=1\r\n\r\n"
    )
    assert 0.8 * MAX_HEADER_BYTES < len(head) < MAX_HEADER_BYTES
    reader = ResponseReader()
    reader.feed(head)
    assert reader.complete and reader.status == HTTPStatus.TOO_MANY_REQUESTS
    assert reader.headers == {
        "content-length": "0",
        RETRY_AFTER_HEADER: "70",
        LOAD_HEADER: "x0=1",
    }


def test_half_configurations_of_many_operators_are_bounded_and_calls_are_answered() -> (
    None
):
    async def scene() -> None:
        admin = AdminServer()
        port = free_port()
        await admin.listen(Address("127.0.0.1", port))
        head = b"POST /_config/check HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"
        callers = []
        for _ in range(admin_server.MAX_CONNECTIONS):
            callers.append(await asyncio.open_connection("127.0.0.1", port))
            callers[-1][1].write(head + bytes(900_000))
        most = 0
        async with asyncio.timeout(PATIENCE):
            while not (most and any(c.response_sent for c in admin.connections)):
                await asyncio.sleep(0)
                most = max(most, sum(len(c.body) for c in admin.connections))
        assert most <= admin_server.MAX_HELD_BYTES
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(PATIENCE):
            assert (await reader.readline()).startswith(b"HTTP/1.1 503")
        for _, caller in callers:
            caller.close()
        async with asyncio.timeout(PATIENCE):
            while admin.connections:
                await asyncio.sleep(0.01)
        assert admin.held_bytes == 0
        admin.close()
        writer.close()

    asyncio.run(scene())


class Transport:
    """Stands for the connection to a handover target that reads nothing."""

    def __init__(self) -> None:
        self.unsent = 0

    def write(self, data: bytes) -> None:
        self.unsent += len(data)

    def get_write_buffer_size(self) -> int:
        return self.unsent


class Writer:
    def __init__(self) -> None:
        self.on_disconnect: Any = None
        self.statuses: list[HTTPStatus] = []

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        assert "Retry_After" in headers
        self.statuses.append(status)


@pytest.mark.parametrize("body_bytes", [200, 60_000])
def test_messages_for_a_target_that_does_not_read_are_bounded(body_bytes: int) -> None:
    source = HandoverSource(engine=None)  # type: ignore[arg-type]
    source.connection = HandoverConnection(source.on_message, source.on_disconnect)
    transport = Transport()
    source.connection.transport = transport  # type: ignore[assignment]
    source.transferred = True
    writers = []
    for number in range(30_000_000 // (body_bytes + 200)):
        message = SubmittedMessage(
            f"m{number}", "pay", 7, 0, None, None, None, False, bytes(body_bytes)
        )
        writers.append(Writer())
        source.submit(message, writers[-1])
        if writers[-1].statuses:
            break
    assert writers[-1].statuses == [HTTPStatus.SERVICE_UNAVAILABLE]
    assert (
        transport.unsent <= handover_connection.MAX_UNSENT_BYTES + 2 * body_bytes + 500
    )
    assert not any(writer.statuses for writer in writers[:-1])
