"""Parses and validates the message in a client's HTTP request."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from rainfall.dispatch import Idempotency, MessageClass, Settings
from rainfall.forwarder.inbound.requests import BadRequestError, Request
from rainfall.forwarder.units import US_PER_SECOND

MESSAGE_ID_LENGTH = 128
"""Maximum length of a message id, in characters."""
KEY_LENGTH = 256
"""Maximum length of an idempotency key or an ordering key, in characters."""
DESTINATION_DIGITS = 10
"""Maximum number of digits in a destination's number."""
TIME_LEFT_FORMAT = re.compile(r"-?[0-9]{1,9}(\.[0-9]{0,9})?", re.ASCII)
"""Accepted notation of X-Time-Left, in seconds. float() alone would also accept nan,
1e9 and 1_0.
"""
TIME_LEFT_LIMIT_FACTOR = 2.0
"""Maximum X-Time-Left, as a multiple of the deadline of the message's class."""


@dataclass(slots=True)
class SubmittedMessage:
    """A well-formed message that a client submitted and that is not accepted yet."""

    id: str
    class_name: str
    destination: int
    due_us: int
    """Deadline by the dispatcher's clock, in microseconds."""
    key: str | None
    """Idempotency key, None if the client gave none."""
    order_key: str | None
    """Ordering key, None if the client gave none or the class is not ordered. Messages
    with the same ordering key are sent one at a time, in the order of submission.
    """
    tenant: str | None
    """Value of X-Account."""
    resent: bool
    """Whether the client marks the message as a repeated submission (X-Repeat: 1)."""
    body: bytes


class ResponseWriter(Protocol):
    """Writes the response to the client that submitted a message."""

    on_disconnect: Callable[[], None] | None
    """Called if the client disconnects before the response is written."""

    def answer(self, status: HTTPStatus, text: str = "", **headers: str) -> None:
        """Write the response; underscores in header names stand for hyphens."""


def parse_message(request: Request, settings: Settings) -> SubmittedMessage:
    """Return the message that a request submits.

    Args:
        request: A complete request.
        settings: Defines the valid message classes and tenants.

    Raises:
        BadRequestError: The request is not a well-formed message.
    """
    message_class = _find_class(request, settings)
    if request.method != "POST":
        raise BadRequestError(
            HTTPStatus.METHOD_NOT_ALLOWED, "messages are handed in by POST"
        )
    headers = request.headers
    message_id = _read_message_id(headers)
    time_left_us = _read_time_left_us(headers, message_class)
    destination = _read_destination(headers)
    key = _read_idempotency_key(headers, message_class)
    order_key = _read_ordering_key(headers, message_class)
    tenant = headers.get("x-account")
    if settings.tenants and tenant not in {known.name for known in settings.tenants}:
        raise _malformed("X-Account is missing or unknown")
    return SubmittedMessage(
        message_id,
        message_class.name,
        destination,
        request.received_at_us + time_left_us,
        key,
        order_key,
        tenant,
        headers.get("x-repeat") == "1",
        bytes(request.body),
    )


def _malformed(text: str) -> BadRequestError:
    return BadRequestError(HTTPStatus.BAD_REQUEST, text)


def _is_printable_ascii(text: str) -> bool:
    return text.isascii() and text.isprintable()


def _find_class(request: Request, settings: Settings) -> MessageClass:
    path = request.path.partition("?")[0].strip("/")
    class_name = path.partition("/")[0]
    for message_class in settings.classes:
        if message_class.name == class_name:
            return message_class
    raise BadRequestError(HTTPStatus.NOT_FOUND, "no such class of message")


def _read_message_id(headers: dict[str, str]) -> str:
    message_id = headers.get("x-correlation-id", "")
    if (
        not 0 < len(message_id) <= MESSAGE_ID_LENGTH
        or not _is_printable_ascii(message_id)
        or " " in message_id
    ):
        raise _malformed("X-Correlation-Id is missing or malformed")
    return message_id


def _read_time_left_us(headers: dict[str, str], message_class: MessageClass) -> int:
    time_left = headers.get("x-time-left", "")
    if TIME_LEFT_FORMAT.fullmatch(time_left):
        time_left_us = float(time_left) * US_PER_SECOND
        if time_left_us <= TIME_LEFT_LIMIT_FACTOR * message_class.deadline_us:
            return int(time_left_us)
    raise _malformed("X-Time-Left is missing, malformed or too long")


def _read_destination(headers: dict[str, str]) -> int:
    """Return the destination's number, which X-Addressing must contain exactly once."""
    parts = headers.get("x-addressing", "").replace(",", ";").split(";")
    destinations = [
        value
        for name, _, value in (part.strip().partition("=") for part in parts)
        if name == "dest"
    ]
    destination = destinations[0] if len(destinations) == 1 else ""
    if (
        not destination.isascii()
        or not destination.isdigit()
        or len(destination) > DESTINATION_DIGITS
    ):
        raise _malformed("X-Addressing names no destination")
    return int(destination)


def _read_idempotency_key(
    headers: dict[str, str], message_class: MessageClass
) -> str | None:
    key = headers.get("idempotency-key")
    if key is not None and (len(key) > KEY_LENGTH or not _is_printable_ascii(key)):
        raise _malformed("Idempotency-Key is malformed")
    if message_class.idempotency is Idempotency.WITH_KEY and not key:
        raise _malformed("Idempotency-Key is missing")
    return key


def _read_ordering_key(
    headers: dict[str, str], message_class: MessageClass
) -> str | None:
    if not message_class.ordered:
        return None
    order_key = headers.get("x-session-key")
    if order_key is not None and (
        not 0 < len(order_key) <= KEY_LENGTH or not _is_printable_ascii(order_key)
    ):
        raise _malformed("X-Session-Key is malformed")
    return order_key
