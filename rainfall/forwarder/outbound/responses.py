"""Interprets the responses to calls: outcomes, Retry-After and load reports.

A malformed load report is treated as absent. A response that is malformed otherwise
proves nothing: its call may have been executed.
"""

from __future__ import annotations

import json
import logging
import re
from http import HTTPStatus

from rainfall.dispatch import LoadReport, Outcome
from rainfall.forwarder.http1 import (
    LOAD_HEADER,
    OVER_SLOTS_HEADER,
    RETRY_AFTER_HEADER,
    MalformedResponseError,
    ResponseReader,
)
from rainfall.forwarder.outbound.connection import AttemptResult
from rainfall.forwarder.units import US_PER_MS

REMAINING_SHARE_FIELD = "x0"
"""Load report field: the share of the endpoint's rate limit that remains."""
LIMIT_FIELD = "x1"
"""Load report field: the endpoint's rate limit in calls per second."""
MAX_RETRY_AFTER_US = 600_000_000
"""A longer Retry-After is treated as malformed."""
MAX_LIMIT_PER_S = 1e6
"""A higher rate limit is treated as malformed."""
HIGHEST_SHARE = 10
"""A higher share is treated as malformed; one between 1 and this counts as 1."""
PLAIN_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?", re.ASCII)
"""Accepted notation of numbers in these headers. float() alone would also accept nan,
inf and 1_0.
"""
MALFORMED_NUMBER = -1.0
"""Result of `parse_number` for anything else."""
SHARED_STATUSES = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
"""Statuses of a batch call that apply to each of its messages."""
EXPIRED_STATE = "expired"
"""State of a message that has expired at the endpoint: no further attempt is needed."""
OUTCOME_BY_STATE = {
    "accepted": Outcome.DELIVERED,
    "fault": Outcome.FAILED,
    "deferred": Outcome.REJECTED,
    EXPIRED_STATE: Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
"""Outcome of a message by its state in the response to a batch call."""
log = logging.getLogger("rainfall.client")


def parse_number(text: str) -> float:
    """Return the non-negative number in a header, MALFORMED_NUMBER for other text."""
    stripped = text.strip()
    return float(stripped) if PLAIN_NUMBER.fullmatch(stripped) else MALFORMED_NUMBER


def parse_retry_after_us(reader: ResponseReader) -> int:
    """Return the Retry-After in microseconds, rounded up; 0 without a valid one."""
    wait_ms = parse_number(reader.headers.get(RETRY_AFTER_HEADER, ""))
    wait_us = -int(-wait_ms * US_PER_MS // 1)
    return wait_us if 0 < wait_us <= MAX_RETRY_AFTER_US else 0


def parse_single(reader: ResponseReader) -> AttemptResult:
    """Return the result of a call with one message, by the response's status.

    Raises:
        MalformedResponseError: The response rejects the call with a Retry-After that
            cannot be read.
    """
    match reader.status:
        case HTTPStatus.OK:
            return AttemptResult(Outcome.DELIVERED, final=True)
        case HTTPStatus.TOO_MANY_REQUESTS:
            _check_retry_after(reader)
            return AttemptResult(
                Outcome.REJECTED, retry_after_us=parse_retry_after_us(reader)
            )
        case HTTPStatus.SERVICE_UNAVAILABLE:
            if OVER_SLOTS_HEADER in reader.headers:
                return AttemptResult(Outcome.NOT_SENT)
            return AttemptResult(Outcome.REJECTED)
        case HTTPStatus.GONE:
            return AttemptResult(Outcome.NOT_SENT, final=True)
        case HTTPStatus.GATEWAY_TIMEOUT:
            return AttemptResult(Outcome.NOT_SENT)
    if reader.status != HTTPStatus.INTERNAL_SERVER_ERROR:
        log.warning("unexpected response status %d from a target", reader.status)
    return AttemptResult(Outcome.FAILED)


def _check_retry_after(reader: ResponseReader) -> None:
    text = reader.headers.get(RETRY_AFTER_HEADER)
    if text is not None and parse_number(text) == MALFORMED_NUMBER:
        raise MalformedResponseError(f"{RETRY_AFTER_HEADER} is no number: {text!r}")


def parse_shared(reader: ResponseReader) -> AttemptResult:
    """Return the result of a batch call's messages, by a status other than 200.

    That a message has expired, or has used up its attempts, can only be stated for each
    message. A status that states it for a whole batch counts as a failure, after which
    the messages may have been executed.

    Raises:
        MalformedResponseError: As `parse_single`.
    """
    if reader.status in SHARED_STATUSES:
        return parse_single(reader)
    return AttemptResult(Outcome.FAILED)


def parse_batch(reader: ResponseReader) -> dict[str, AttemptResult]:
    """Return the results of a batch call by message id.

    A message that the body does not list has failed; the caller adds that result.

    Raises:
        MalformedResponseError: The body is not a list of ids and states, lists a message
            twice, or has a key twice.
    """
    retry_after_us = parse_retry_after_us(reader)
    try:
        items = json.loads(reader.body, object_pairs_hook=_unique_keys)
        states = [(item["id"], item["state"]) for item in items]
        results: dict[str, AttemptResult] = {}
        for message_id, state in states:
            if message_id in results:
                # The two states may contradict each other, so the message may have been
                # executed.
                raise MalformedResponseError(f"message {message_id!r} is listed twice")
            results[message_id] = _result_of_state(state, retry_after_us)
    # Deeply nested JSON exceeds the recursion limit.
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise MalformedResponseError(str(error)) from error
    return results


def _unique_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return a JSON object; json.loads alone would keep the last of repeated keys.

    Raises:
        MalformedResponseError: A key is repeated, so that its values may contradict.
    """
    values = dict(pairs)
    if len(values) != len(pairs):
        raise MalformedResponseError("a key is repeated in an object")
    return values


def _result_of_state(state: object, retry_after_us: int) -> AttemptResult:
    outcome = Outcome.FAILED
    if isinstance(state, str):
        outcome = OUTCOME_BY_STATE.get(state, Outcome.FAILED)
    return AttemptResult(
        outcome,
        final=state == EXPIRED_STATE,
        retry_after_us=retry_after_us if outcome is Outcome.REJECTED else 0,
    )


def parse_load_report(
    reader: ResponseReader, fields: tuple[str, ...]
) -> LoadReport | None:
    """Return the endpoint's load report, or None without a valid one.

    Args:
        reader: Holds the complete response.
        fields: Names of the fields that endpoints report, by the configuration.
    """
    text = reader.headers.get(LOAD_HEADER)
    if not text or REMAINING_SHARE_FIELD not in fields or LIMIT_FIELD not in fields:
        return None
    values: dict[str, float] = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        values[name.strip()] = parse_number(value)
    remaining_share = values.get(REMAINING_SHARE_FIELD, MALFORMED_NUMBER)
    limit_per_s = values.get(LIMIT_FIELD, MALFORMED_NUMBER)
    if 0 <= remaining_share <= HIGHEST_SHARE and 0 <= limit_per_s <= MAX_LIMIT_PER_S:
        return LoadReport(min(1.0, remaining_share), limit_per_s)
    return None
