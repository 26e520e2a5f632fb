"""Types shared by holder and service: limits, clock drift margins, errors."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from rainfall.errors import RainfallError
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

Record = dict[str, Any]
"""A change as it is written to disk: a JSON object, numbered by `n`."""

MAX_TEXT_LENGTH = 200
"""Most characters of a name, of a holder, and of a note's key or value."""
MAX_NOTE_ENTRIES = 8
"""Most entries of a note; key and value have up to `MAX_TEXT_LENGTH` characters each."""
MAX_EPOCH_JUMP = 1 << 33
"""Most epochs by which one client's token may raise the service's epoch.

Above any wall clock in seconds, and far below `TOKEN_PART_LIMIT`.
"""
TTL_LIMIT_US = 1 << 42
"""Exclusive limit of a time to live."""
DRIFT_LIMIT = 0.5
"""Exclusive limit of the drift: clocks that differ by more cannot share a lease."""

BAD_REQUEST = 400
"""HTTP status: the request is invalid."""
NOT_FOUND = 404
"""HTTP status: the name is not leased."""
CONFLICT = 409
"""HTTP status: the request conflicts with another token or a pending change."""
UNPROCESSABLE = 422
"""HTTP status: the request is valid but exceeds a limit."""


class RecordKind(StrEnum):
    """The kind of a change; the value is the record's `kind` on disk."""

    START = "start"
    EPOCH = "epoch"
    GRANT = "grant"
    REVOKE = "revoke"
    END = "end"


class EndReason(StrEnum):
    """Why a lease ended; the value is the record's `why` on disk."""

    RELEASED = "released"
    REVOKED = "revoked"
    EXPIRED = "out"


class LeaseRejectedError(RainfallError):
    """A rejected request; no lease is changed.

    Attributes:
        status: The HTTP status of the answer: 400, 404, 409 or 422.
        faults: Each fault with its path.
        conflicting_token: The token that the request conflicts with.
        record: If not None, it has to be written although the request is rejected: a
            token that the client has seen raises the epoch in any case.
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
    """Fraction by which the rates of two clocks may differ."""
    min_ttl_us: int = 100_000
    max_ttl_us: int = 60_000_000
    max_leases: int = 10_000

    def faults(self) -> list[str]:
        """Invalid settings, each fault with its path."""
        found = []
        if not 0 <= self.drift < DRIFT_LIMIT:
            found.append("drift: a share from 0 below 0.5")
        if not 0 < self.min_ttl_us <= self.max_ttl_us < TTL_LIMIT_US:
            found.append("least_ttl_us: from 1 to most_ttl_us, which is below 2**42")
        if self.max_leases < 1:
            found.append("most_leases: at least 1")
        return found


def service_expiry_us(ttl_us: int, drift: float) -> int:
    """Time after the last grant or renewal at which a lease expires at the service.

    By then it has expired on every clock. Rounded up.
    """
    return math.ceil(ttl_us * (1 + drift))


def holder_validity_us(ttl_us: int, drift: float) -> int:
    """Time after sending a request for which its holder may use the lease, rounded down."""
    return math.floor(ttl_us * (1 - drift))


def request_faults(
    settings: LeaseSettings, name: Any, holder: Any, ttl_us: Any, note: Any
) -> list[str]:
    """All faults of an acquire request, each with its path."""
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
                f"{path}: key and value are strings of at most {MAX_TEXT_LENGTH} characters"
            )
    return faults


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH
