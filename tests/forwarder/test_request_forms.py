"""Requests in pieces and in every form that the protocol page allows: they are the same
message.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus

import pytest

from rainfall.forwarder.inbound.client_connection import SETTLE_LOOP_ITERATIONS
from rainfall.forwarder.inbound.server import SubmittedMessage
from tests.forwarder.test_shutdown_races import Caller, Door, play
from tests.support.loopback_peers import message

BODY = b"POST /order\r\n\r\n\0\xff\r\n"  # any bytes, also such that look like a request


def head(*lines: str) -> bytes:
    return "\r\n".join(["POST /order HTTP/1.1", *lines]).encode() + b"\r\n\r\n"


NAMED = (
    "Host: origin.svc",
    "X-Correlation-Id: m",
    "X-Account: acme",
    "X-Time-Left: 0.480",
    "Idempotency-Key: key-m",
    "X-Addressing: dest=7",
)
PLAIN = head(*NAMED, f"Content-Length: {len(BODY)}") + BODY
CHUNKS = head(*NAMED, "Transfer-Encoding: chunked") + (
    b"%x;note=1\r\n%b\r\n%X\r\n%b\r\n0\r\nX-Trailer: a\r\n\r\n"
    % (4, BODY[:4], len(BODY) - 4, BODY[4:])
)
FORMS = {
    "small letters": head(
        *(
            line.replace(line.partition(":")[0], line.partition(":")[0].lower())
            for line in NAMED
        ),
        f"content-length: {len(BODY)}",
    )
    + BODY,
    "capitals": head(
        *(
            line.replace(line.partition(":")[0], line.partition(":")[0].upper())
            for line in NAMED
        ),
        f"CONTENT-LENGTH: {len(BODY)}",
    )
    + BODY,
    "no space": head(
        *(line.replace(": ", ":") for line in NAMED), f"Content-Length:{len(BODY)}"
    )
    + BODY,
    "spaces and tabs": head(
        *(line.replace(": ", ": \t ") + " \t" for line in NAMED),
        f"Content-Length: {len(BODY)}  ",
    )
    + BODY,
    "another order": head(f"Content-Length: {len(BODY)}", *reversed(NAMED)) + BODY,
    "others between": head(
        "Accept: */*",
        *NAMED,
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


def same(handed: SubmittedMessage) -> bool:
    return (
        handed.id,
        handed.class_name,
        handed.destination,
        handed.key,
        handed.tenant,
        handed.body,
    ) == ("m", "order", 7, "key-m", "acme", BODY)


async def read(client: Caller, data: bytes) -> None:
    """Say it, and let the forwarder read it apart from what comes next."""
    client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.say(data)
    for _ in range(SETTLE_LOOP_ITERATIONS):
        await asyncio.sleep(0)


@pytest.mark.parametrize("form", FORMS)
def test_each_form_is_the_same_message(form: str) -> None:
    async def scene(door: Door) -> None:
        door.at_once = HTTPStatus.ACCEPTED
        client = await door.resting()
        for _ in range(2):  # and the connection goes on
            client.say(FORMS[form])
            assert (await client.answer())[0] == 202
        assert len(door.handed) == 2 and all(same(handed) for handed, _ in door.handed)

    play(scene)


@pytest.mark.parametrize("form", ["plain", "chunks", "spaces and tabs"])
def test_each_split_of_a_request_is_the_same_message(form: str) -> None:
    """In two pieces that are read apart; nothing is taken in before the last byte."""

    async def scene(door: Door) -> None:
        door.at_once = HTTPStatus.ACCEPTED
        client, data = await door.resting(), FORMS[form]
        for place in range(1, len(data)):
            await read(client, data[:place])
            assert not door.handed, place
            client.say(data[place:])
            assert (await client.answer())[0] == 202, place
            assert same(door.handed.pop()[0]) and not door.handed

    play(scene)


@pytest.mark.parametrize("form", ["plain", "chunks"])
def test_request_that_comes_byte_by_byte_is_the_same_message(form: str) -> None:
    async def scene(door: Door) -> None:
        door.at_once = HTTPStatus.ACCEPTED
        client, data = Caller(door.port), FORMS[form]
        for place in range(len(data) - 1):
            await read(client, data[place : place + 1])
        assert not door.handed
        client.say(data[-1:])
        assert (await client.answer())[0] == 202 and same(door.handed[0][0])

    play(scene)


@pytest.mark.parametrize("place", [1, 20, len(PLAIN) - len(BODY), len(PLAIN) - 1])
@pytest.mark.parametrize("step", ["drain", "sweep"])
def test_request_in_pieces_around_sigterm_has_its_answer(place: int, step: str) -> None:
    """Its last byte comes after the shutdown was decided: it is answered, and its
    connection ends then.
    """

    async def scene(door: Door) -> None:
        door.at_once = HTTPStatus.ACCEPTED
        client = await door.resting()
        await read(client, PLAIN[:place])
        door.server.draining = True
        getattr(door.server, step)()
        await read(client, PLAIN[place:-1])
        getattr(door.server, step)()
        client.say(PLAIN[-1:])
        status, text = await client.answer()
        assert (
            status == 202 and "Connection: close" in text and await client.end() == b""
        )
        assert same(door.handed[0][0])

    play(scene)


@pytest.mark.parametrize("left", ["0", "0.000", "0.001", "-0", "-0.5", "-100000"])
def test_message_with_no_time_left_is_well_formed_and_due(left: str) -> None:
    async def scene(door: Door) -> None:
        client = await door.resting()
        client.say(message("m", left=left))
        await door.until(lambda: bool(door.handed))
        assert door.handed[0][0].due_us <= door.server.clock() + 1_000
        door.handed[0][1].answer(HTTPStatus.TOO_MANY_REQUESTS)
        assert (await client.answer())[0] == 429

    play(scene)
