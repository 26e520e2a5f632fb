"""What responses to calls say: outcomes, Retry-After, an endpoint's load.

A malformed header counts as absent.
"""

from __future__ import annotations

import json
import logging
import re
from http import HTTPStatus

from rainfall.dispatch import LoadReport, Outcome
from rainfall.forwarder.http1 import MalformedResponseError, ResponseReader
from rainfall.forwarder.outbound.connection import AttemptResult
from rainfall.forwarder.units import US_PER_MS

RETRY_AFTER_HEADER = "x-ratelimit-wait-ms"
OVER_SLOTS_HEADER = "x-over-slots"
"""Stands beside 503 where the endpoint had no free slot and did not start the call."""
LOAD_HEADER = "x-backend-load"
REMAINING_SHARE_FIELD = "x0"
"""The share of the endpoint's limit that is left."""
LIMIT_FIELD = "x1"
"""The endpoint's limit in calls a second."""
MAX_RETRY_AFTER_US = 600_000_000
"""A longer Retry-After is malformed."""
MAX_LIMIT_PER_S = 1e6
"""A higher limit is malformed."""
HIGHEST_SHARE = 10
"""A higher share is malformed; one above 1 counts as 1."""
PLAIN_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?", re.ASCII)
"""A number as these headers have it: float() also reads nan, inf and 1_0."""
MALFORMED_NUMBER = -1.0
SHARED_STATUSES = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.INTERNAL_SERVER_ERROR,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
"""Statuses that hold for all messages of a call."""
EXPIRED_STATE = "expired"
OUTCOME_BY_STATE = {
    "accepted": Outcome.DELIVERED,
    "fault": Outcome.FAILED,
    "deferred": Outcome.REJECTED,
    EXPIRED_STATE: Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
"""What the state of a message in a batch's response means."""
log = logging.getLogger("rainfall.client")


def parse_number(text: str) -> float:
    """Read a number from a header; MALFORMED_NUMBER for anything else."""
    stripped = text.strip()
    return float(stripped) if PLAIN_NUMBER.fullmatch(stripped) else MALFORMED_NUMBER


def parse_retry_after_us(reader: ResponseReader) -> int:
    """Return the Retry-After, rounded up to a microsecond; 0 where there is none."""
    wait_ms = parse_number(reader.headers.get(RETRY_AFTER_HEADER, ""))
    wait_us = -int(-wait_ms * US_PER_MS // 1)
    return wait_us if 0 < wait_us <= MAX_RETRY_AFTER_US else 0


def parse_single(reader: ResponseReader) -> AttemptResult:
    """Return what a response's status says of the one message of a call."""
    match reader.status:
        case HTTPStatus.OK:
            return AttemptResult(Outcome.DELIVERED, final=True)
        case HTTPStatus.TOO_MANY_REQUESTS:
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
        log.warning("a target answered %d", reader.status)
    return AttemptResult(Outcome.FAILED)


def parse_shared(reader: ResponseReader) -> AttemptResult:
    """Return what a status other than 200 says of all messages of a batch call.

    That a message is over, or has had all its attempts, can only be said of each: a
    response that says so of all may mean that they were executed.
    """
    if reader.status in SHARED_STATUSES:
        return parse_single(reader)
    return AttemptResult(Outcome.FAILED)


def parse_batch(reader: ResponseReader) -> dict[str, AttemptResult]:
    """Return the results of a batch call's messages by id; those not named failed.

    Raises:
        MalformedResponseError: The body cannot be read, or names a message twice.
    """
    retry_after_us = parse_retry_after_us(reader)
    try:
        states = [(item["id"], item["state"]) for item in json.loads(reader.body)]
        results: dict[str, AttemptResult] = {}
        for message_id, state in states:
            if message_id in results:
                # It may have been executed, whichever of the two states holds.
                raise MalformedResponseError("a message named twice")
            results[message_id] = _result_of_state(state, retry_after_us)
    # The recursion limit ends the reading of objects nested without end.
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise MalformedResponseError(str(error)) from error
    return results


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
    """Return the endpoint's load report, or None where there is no valid one.

    Args:
        reader: Holds the complete response.
        fields: Names of the fields that endpoints report.
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
