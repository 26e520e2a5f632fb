"""What leases are agreed on: bounds, margins for drift, and how a fault is told."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from rainfall.errors import RainfallError
from rainfall.lease.fencing_token import ZERO_TOKEN, Token

Record = dict[str, Any]
"""One change as it goes to disk: a plain object for JSON, numbered by `n`."""

MAX_TEXT_LENGTH = 200  # characters of a name and of a holder
MAX_NOTE_ENTRIES = 8  # entries of a note, each of two strings of MOST_TEXT characters
MAX_EPOCH_JUMP = (
    1 << 33
    # epochs one client may lift: past any clock in seconds, far below the end of the range
)


class LeaseRejectedError(RainfallError):
    """A change that is not made.

    `status` is the HTTP answer (400, 404, 409 or 422), `faults` name each fault with
    its path. `seen` is the token that was in the way. `record`, where there is one, is
    to be written all the same (what the client said it saw lifts the epoch, also where
    the call is refused).
    """

    def __init__(
        self,
        status: int,
        faults: list[str],
        conflicting_token: Token = ZERO_TOKEN,
        record: Record | None = None,
    ) -> None:
        super().__init__("; ".join(faults))
        self.status, self.faults, self.conflicting_token, self.record = (
            status,
            faults,
            conflicting_token,
            record,
        )


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Bounds of a table.

    Times in microseconds; `drift` is the share by which two clocks may run apart.
    """

    drift: float = 0.02
    min_ttl_us: int = 100_000
    max_ttl_us: int = 60_000_000
    max_leases: int = 10_000

    def faults(self) -> list[str]:
        """What is wrong with these terms themselves, each with its path; empty where
        nothing is.
        """
        found = []
        if not 0 <= self.drift < 0.5:
            found.append("drift: a share from 0 below 0.5")
        if not 0 < self.min_ttl_us <= self.max_ttl_us < 1 << 42:
            found.append("least_ttl_us: from 1 to most_ttl_us, which is below 2**42")
        if self.max_leases < 1:
            found.append("most_leases: at least 1")
        return found


def service_expiry_us(ttl_us: int, drift: float) -> int:
    """How long after the last answer the service waits until the lease is out on every
    clock.
    """
    return math.ceil(ttl_us * (1 + drift))


def holder_validity_us(ttl_us: int, drift: float) -> int:
    """How long after the asking its holder may act on a lease."""
    return math.floor(ttl_us * (1 - drift))


def request_faults(
    settings: LeaseSettings, name: Any, holder: Any, ttl_us: Any, note: Any
) -> list[str]:
    """All faults of a call for a lease, each with its path."""
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
    for n, (key, value) in enumerate(note.items()):
        if (
            not _is_text(key)
            or not isinstance(value, str)
            or len(value) > MAX_TEXT_LENGTH
        ):
            where = f"note.{key}" if _is_text(key) else f"note[{n}]"
            faults.append(
                f"{where}: a string of at most {MAX_TEXT_LENGTH} characters under a name as long"
            )
    return faults


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH
