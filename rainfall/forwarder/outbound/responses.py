"""What calls' answers say: outcomes, waits, a target's limit.

Garbage counts as nothing said.
"""

from __future__ import annotations

import json
import logging
import re

from rainfall.dispatch import LoadReport, Outcome
from rainfall.forwarder.http1 import ResponseReader
from rainfall.forwarder.outbound.connection import AttemptResult

MAX_RETRY_AFTER_US = 600_000_000  # a longer wait is not to be believed
MAX_LIMIT_PER_S = 1e6
PLAIN_NUMBER = re.compile(
    r"[0-9]{1,12}(\.[0-9]{0,12})?", re.ASCII
)  # float() reads more: nan, inf, 1_0
SHARED_STATUSES = (429, 500, 503)  # how all messages of a call may fare alike
OUTCOME_BY_STATE = {
    "accepted": Outcome.DELIVERED,
    "fault": Outcome.FAILED,
    "deferred": Outcome.REJECTED,
    "expired": Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
log = logging.getLogger("rainfall.client")


def parse_number(text: str) -> float:
    """A number as these headers have it; -1 for anything else."""
    return float(text) if PLAIN_NUMBER.fullmatch(text := text.strip()) else -1.0


def parse_retry_after_us(reader: ResponseReader) -> int:
    """The told wait; garbage counts as none told."""
    wait = -int(
        -parse_number(reader.headers.get("x-ratelimit-wait-ms", "")) * 1000 // 1
    )
    return wait if 0 < wait <= MAX_RETRY_AFTER_US else 0


def parse_single(reader: ResponseReader) -> AttemptResult:
    """The outcome that a status stands for."""
    status = reader.status
    if status == 200:
        return AttemptResult(Outcome.DELIVERED, final=True)
    if status == 429:
        return AttemptResult(
            Outcome.REJECTED, retry_after_us=parse_retry_after_us(reader)
        )
    if status == 503:
        return AttemptResult(
            Outcome.NOT_SENT if "x-over-slots" in reader.headers else Outcome.REJECTED
        )
    if status in (410, 504):
        return AttemptResult(Outcome.NOT_SENT, final=status == 410)
    if status != 500:
        log.warning("a target answered %d", status)
    return AttemptResult(Outcome.FAILED)


def parse_shared(reader: ResponseReader) -> AttemptResult:
    """The outcome that a status other than 200 stands for where a call has several
    messages. That one is over, or has had all its attempts, can only be told of each:
    what says so of all may have run.
    """
    return (
        parse_single(reader)
        if reader.status in SHARED_STATUSES
        else AttemptResult(Outcome.FAILED)
    )


def parse_batch(reader: ResponseReader) -> dict[str, AttemptResult]:
    """The ends of a batch call's messages, by id; those not named failed.

    Raises ValueError, TypeError, KeyError or RecursionError where its body cannot be
    read.
    """
    retry_after_us, results = parse_retry_after_us(reader), {}
    for name, state in [(e["id"], e["state"]) for e in json.loads(reader.body)]:
        if name in results:
            raise ValueError(
                "a message named twice"
            )  # it may have run, whichever of the two holds
        outcome = (
            OUTCOME_BY_STATE.get(state, Outcome.FAILED)
            if isinstance(state, str)
            else Outcome.FAILED
        )
        results[name] = AttemptResult(
            outcome,
            state == "expired",
            retry_after_us if outcome is Outcome.REJECTED else 0,
        )
    return results


def parse_load_report(
    reader: ResponseReader, fields: tuple[str, ...]
) -> LoadReport | None:
    """What the target told of its limit; garbage counts as nothing told."""
    text = reader.headers.get("x-backend-load")
    if not text or "x0" not in fields or "x1" not in fields:
        return None
    values = {
        k.strip(): parse_number(v)
        for k, _, v in (part.partition("=") for part in text.split(","))
    }
    left, limit = values.get("x0", -1.0), values.get("x1", -1.0)
    return (
        LoadReport(min(1.0, left), limit)
        if 0 <= left <= 10 and 0 <= limit <= MAX_LIMIT_PER_S
        else None
    )
