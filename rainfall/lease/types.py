"""What both sides of a lease agree on: limits, margins for clock drift, and errors."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from rainfall.errors import RainfallError
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

Record = dict[str, Any]
"""One change as it goes to disk: a plain object for JSON, numbered by `n`."""

MAX_TEXT_LENGTH = 200
"""Characters of a name, of a holder, and of a note's key or value."""
MAX_NOTE_ENTRIES = 8
"""Entries of a note, each of two strings of `MAX_TEXT_LENGTH` characters."""
MAX_EPOCH_JUMP = 1 << 33
"""Epochs by which one client may raise the service's epoch.

Above any clock in seconds, and far below the end of the range.
"""
TTL_LIMIT_US = 1 << 42
"""Every time to live is below it."""
DRIFT_LIMIT = 0.5
"""The drift is below it: two clocks that differ by more cannot share a lease."""

BAD_REQUEST = 400
"""HTTP status: the call itself is invalid."""
NOT_FOUND = 404
"""HTTP status: nobody holds the lease."""
CONFLICT = 409
"""HTTP status: another token, or another change, is in the way."""
UNPROCESSABLE = 422
"""HTTP status: valid, but above a limit."""


class RecordKind(StrEnum):
    """What a record changes; the value is its `kind` on disk."""

    START = "start"
    EPOCH = "epoch"
    GRANT = "grant"
    REVOKE = "revoke"
    END = "end"


class EndReason(StrEnum):
    """Why a lease ended; the value is the `why` of its record on disk."""

    RELEASED = "released"
    REVOKED = "revoked"
    EXPIRED = "out"


class LeaseRejectedError(RainfallError):
    """A change that is not made.

    Attributes:
        status: The HTTP status of the answer: 400, 404, 409 or 422.
        faults: Each fault with its path.
        conflicting_token: The token that was in the way.
        record: Where there is one, it has to be written although the call is rejected:
            a token that the client has seen raises the epoch in any case.
    """

    def __init__(
        self,
        status: int,
        faults: list[str],
        conflicting_token: Token = ZERO_TOKEN,
        record: Record | None = None,
    ) -> None:
        super().__init__("; ".join(faults))
        self.status = status
        self.faults = faults
        self.conflicting_token = conflicting_token
        self.record = record


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Limits of a lease table."""

    drift: float = 0.02
    """The share by which the rates of two clocks may differ."""
    min_ttl_us: int = 100_000
    max_ttl_us: int = 60_000_000
    max_leases: int = 10_000

    def faults(self) -> list[str]:
        """What is wrong with the settings themselves, each fault with its path."""
        found = []
        if not 0 <= self.drift < DRIFT_LIMIT:
            found.append("drift: a share from 0 below 0.5")
        if not 0 < self.min_ttl_us <= self.max_ttl_us < TTL_LIMIT_US:
            found.append("least_ttl_us: from 1 to most_ttl_us, which is below 2**42")
        if self.max_leases < 1:
            found.append("most_leases: at least 1")
        return found


def service_expiry_us(ttl_us: int, drift: float) -> int:
    """How long after its last answer the service regards a lease as in force.

    After that the lease has expired on every clock.
    """
    return math.ceil(ttl_us * (1 + drift))


def holder_validity_us(ttl_us: int, drift: float) -> int:
    """How long after the request was sent its holder may act under a lease."""
    return math.floor(ttl_us * (1 - drift))


def request_faults(
    settings: LeaseSettings, name: Any, holder: Any, ttl_us: Any, note: Any
) -> list[str]:
    """All faults of a request for a lease, each with its path."""
    faults = [
        f"{path}: a string of 1 to {MAX_TEXT_LENGTH} characters"
        for path, value in (("name", name), ("holder", holder))
        if not _is_text(value)
    ]
    if (
        type(ttl_us) is not int
        or not settings.min_ttl_us <= ttl_us <= settings.max_ttl_us
    ):
        faults.append(
            f"ttl_us: a whole number from {settings.min_ttl_us} to {settings.max_ttl_us}"
        )
    if not isinstance(note, Mapping) or len(note) > MAX_NOTE_ENTRIES:
        return [*faults, f"note: an object of at most {MAX_NOTE_ENTRIES} entries"]
    return [*faults, *_note_faults(note)]


def _note_faults(note: Mapping[Any, Any]) -> list[str]:
    faults = []
    for index, (key, value) in enumerate(note.items()):
        if (
            not _is_text(key)
            or not isinstance(value, str)
            or len(value) > MAX_TEXT_LENGTH
        ):
            path = f"note.{key}" if _is_text(key) else f"note[{index}]"
            faults.append(
                f"{path}: a string of at most {MAX_TEXT_LENGTH} characters under a name as long"
            )
    return faults


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH
