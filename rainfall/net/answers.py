"""What calls' answers say: outcomes, waits, a target's limit. Garbage counts as nothing
said.
"""

from __future__ import annotations

import json
import logging
import re

from rainfall.dispatch import LoadReport, Outcome
from rainfall.net.connection import Result
from rainfall.net.http import ResponseReader

MOST_WAIT_US = 600_000_000  # a longer wait is not to be believed
MOST_LIMIT = 1e6
PLAIN = re.compile(
    r"[0-9]{1,12}(\.[0-9]{0,12})?", re.ASCII
)  # float() reads more: nan, inf, 1_0
SAME_FOR_ALL = (429, 500, 503)  # how all messages of a call may fare alike
STATES = {
    "accepted": Outcome.DELIVERED,
    "fault": Outcome.FAILED,
    "deferred": Outcome.REJECTED,
    "expired": Outcome.NOT_SENT,
    "no_more": Outcome.NOT_SENT,
}
log = logging.getLogger("rainfall.client")


def plain(text: str) -> float:
    """A number as these headers have it; -1 for anything else."""
    return float(text) if PLAIN.fullmatch(text := text.strip()) else -1.0


def wait_us(reader: ResponseReader) -> int:
    """The told wait; garbage counts as none told."""
    wait = -int(-plain(reader.headers.get("x-ratelimit-wait-ms", "")) * 1000 // 1)
    return wait if 0 < wait <= MOST_WAIT_US else 0


def single(reader: ResponseReader) -> Result:
    """The outcome that a status stands for."""
    status = reader.status
    if status == 200:
        return Result(Outcome.DELIVERED, closed=True)
    if status == 429:
        return Result(Outcome.REJECTED, wait_us=wait_us(reader))
    if status == 503:
        return Result(
            Outcome.NOT_SENT if "x-over-slots" in reader.headers else Outcome.REJECTED
        )
    if status in (410, 504):
        return Result(Outcome.NOT_SENT, closed=status == 410)
    if status != 500:
        log.warning("a target answered %d", status)
    return Result(Outcome.FAILED)


def same_for_all(reader: ResponseReader) -> Result:
    """The outcome that a status other than 200 stands for where a call has several
    messages. That one is over, or has had all its attempts, can only be told of each:
    what says so of all may have run.
    """
    return single(reader) if reader.status in SAME_FOR_ALL else Result(Outcome.FAILED)


def several(reader: ResponseReader) -> dict[str, Result]:
    """The ends of a batch call's messages, by id; those not named failed. Raises
    ValueError, TypeError, KeyError or RecursionError where its body cannot be read.
    """
    wait, ends = wait_us(reader), {}
    for name, state in [(e["id"], e["state"]) for e in json.loads(reader.body)]:
        if name in ends:
            raise ValueError(
                "a message named twice"
            )  # it may have run, whichever of the two holds
        outcome = (
            STATES.get(state, Outcome.FAILED)
            if isinstance(state, str)
            else Outcome.FAILED
        )
        ends[name] = Result(
            outcome, state == "expired", wait if outcome is Outcome.REJECTED else 0
        )
    return ends


def load(reader: ResponseReader, fields: tuple[str, ...]) -> LoadReport | None:
    """What the target told of its limit; garbage counts as nothing told."""
    text = reader.headers.get("x-backend-load")
    if not text or "x0" not in fields or "x1" not in fields:
        return None
    told = {
        k.strip(): plain(v)
        for k, _, v in (part.partition("=") for part in text.split(","))
    }
    left, limit = told.get("x0", -1.0), told.get("x1", -1.0)
    return (
        LoadReport(min(1.0, left), limit)
        if 0 <= left <= 10 and 0 <= limit <= MOST_LIMIT
        else None
    )
