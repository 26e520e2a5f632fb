"""Requests in pieces and in every form that the protocol page allows are parsed as the
same message.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import pytest

from rainfall.forwarder.inbound.connection_registry import SETTLE_LOOP_ITERATIONS
from rainfall.forwarder.inbound.server import SubmittedMessage
from tests.forwarder.test_shutdown_races import ClientSocket, ServerHarness, play
from tests.support.loopback_peers import message

BODY = b"POST /order\r\n\r\n\0\xff\r\n"  # any bytes, also ones that look like a request


def head(*lines: str) -> bytes:
    return "\r\n".join(["POST /order HTTP/1.1", *lines]).encode() + b"\r\n\r\n"


HEADERS = (
    "Host: origin.svc",
    "X-Correlation-Id: m",
    "X-Account: acme",
    "X-Time-Left: 0.480",
    "Idempotency-Key: key-m",
    "X-Addressing: dest=7",
)
PLAIN = head(*HEADERS, f"Content-Length: {len(BODY)}") + BODY
CHUNKS = head(*HEADERS, "Transfer-Encoding: chunked") + (
    b"%x;note=1\r\n%b\r\n%X\r\n%b\r\n0\r\nX-Trailer: a\r\n\r\n"
    % (4, BODY[:4], len(BODY) - 4, BODY[4:])
)
FORMS = {
    "small letters": head(
        *(
            line.replace(line.partition(":")[0], line.partition(":")[0].lower())
            for line in HEADERS
        ),
        f"content-length: {len(BODY)}",
    )
    + BODY,
    "capitals": head(
        *(
            line.replace(line.partition(":")[0], line.partition(":")[0].upper())
            for line in HEADERS
        ),
        f"CONTENT-LENGTH: {len(BODY)}",
    )
    + BODY,
    "no space": head(
        *(line.replace(": ", ":") for line in HEADERS), f"Content-Length:{len(BODY)}"
    )
    + BODY,
    "spaces and tabs": head(
        *(line.replace(": ", ": \t ") + " \t" for line in HEADERS),
        f"Content-Length: {len(BODY)}  ",
    )
    + BODY,
    "another order": head(f"Content-Length: {len(BODY)}", *reversed(HEADERS)) + BODY,
    "others between": head(
        "Accept: */*",
        *HEADERS,
        "X-Empty:",
        f"Content-Length: {len(BODY)}",
        "Via: a",
        "Via: b",
    )
    + BODY,
    "a blank line ahead": b"\r\n" + PLAIN,
    "a query": PLAIN.replace(b"/order", b"/order?a=b", 1),
    "a longer path": PLAIN.replace(b"/order", b"/order/of/today", 1),
    "more in the address": PLAIN.replace(b"dest=7", b"zone=a; dest=7, x=y", 1),
    "the coding in capitals": CHUNKS.replace(b"chunked", b"Chunked", 1),
    "chunks": CHUNKS,
    "plain": PLAIN,
}


def is_expected_message(handed: SubmittedMessage) -> bool:
    return (
        handed.id,
        handed.class_name,
        handed.destination,
        handed.key,
        handed.tenant,
        handed.body,
    ) == ("m", "order", 7, "key-m", "acme", BODY)


async def send_apart(client: ClientSocket, data: bytes) -> None:
    """Send the bytes and let the forwarder read them apart from the next ones."""
    client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.send(data)
    for _ in range(SETTLE_LOOP_ITERATIONS):
        await asyncio.sleep(0)


@pytest.mark.parametrize("form", FORMS)
def test_each_form_is_parsed_as_the_same_message(form: str) -> None:
    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.ACCEPTED
        client = await harness.idle_client()
        for _ in range(2):  # the connection is reused
            client.send(FORMS[form])
            assert (await client.answer())[0] == 202
        assert len(harness.submitted) == 2 and all(
            is_expected_message(handed) for handed, _ in harness.submitted
        )

    play(scene)


@pytest.mark.parametrize("form", ["plain", "chunks", "spaces and tabs"])
def test_each_split_of_a_request_is_parsed_as_the_same_message(form: str) -> None:
    """The two pieces are read apart; nothing is accepted before the last byte."""

    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.ACCEPTED
        client, data = await harness.idle_client(), FORMS[form]
        for split_at in range(1, len(data)):
            await send_apart(client, data[:split_at])
            assert not harness.submitted, split_at
            client.send(data[split_at:])
            assert (await client.answer())[0] == 202, split_at
            assert (
                is_expected_message(harness.submitted.pop()[0])
                and not harness.submitted
            )

    play(scene)


@pytest.mark.parametrize("form", ["plain", "chunks"])
def test_request_sent_byte_by_byte_is_parsed_as_the_same_message(form: str) -> None:
    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.ACCEPTED
        client, data = ClientSocket(harness.port), FORMS[form]
        for place in range(len(data) - 1):
            await send_apart(client, data[place : place + 1])
        assert not harness.submitted
        client.send(data[-1:])
        assert (await client.answer())[0] == 202 and is_expected_message(
            harness.submitted[0][0]
        )

    play(scene)


@pytest.mark.parametrize("place", [1, 20, len(PLAIN) - len(BODY), len(PLAIN) - 1])
@pytest.mark.parametrize("step", ["drain", "sweep"])
def test_request_split_around_sigterm_is_answered(place: int, step: str) -> None:
    """Its last byte comes after the shutdown was decided: the request is answered, and
    then its connection ends.
    """

    async def scene(harness: ServerHarness) -> None:
        harness.immediate_status = HTTPStatus.ACCEPTED
        client = await harness.idle_client()
        await send_apart(client, PLAIN[:place])
        harness.server.draining = True
        getattr(harness.server, step)()
        await send_apart(client, PLAIN[place:-1])
        getattr(harness.server, step)()
        client.send(PLAIN[-1:])
        status, text = await client.answer()
        assert (
            status == 202
            and "Connection: close" in text
            and await client.read_to_end() == b""
        )
        assert is_expected_message(harness.submitted[0][0])

    play(scene)


@pytest.mark.parametrize("left", ["0", "0.000", "0.001", "-0", "-0.5", "-100000"])
def test_message_with_no_time_left_is_valid_and_due_at_once(left: str) -> None:
    async def scene(harness: ServerHarness) -> None:
        client = await harness.idle_client()
        client.send(message("m", left=left))
        await harness.until(lambda: bool(harness.submitted))
        assert harness.submitted[0][0].due_us <= harness.server.clock() + 1_000
        harness.submitted[0][1].answer(HTTPStatus.TOO_MANY_REQUESTS)
        assert (await client.answer())[0] == 429

    play(scene)
