"""What leases are agreed on: bounds, margins for drift, and how a fault is told."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from rainfall.lease.token import NEVER, Token

Record = dict[str, Any]
"""One change as it goes to disk: a plain object for JSON, numbered by `n`."""

MOST_TEXT = 200  # characters of a name and of a holder
MOST_NOTE = 8  # entries of a note, each of two strings of MOST_TEXT characters
MOST_LEAP = (
    1 << 33
    # epochs one client may lift: past any clock in seconds, far below the end of the range
)


class Refused(Exception):
    """A change that is not made. `status` is the HTTP answer (400, 404, 409 or 422),
    `faults` name each fault with its path. `seen` is the token that was in the way.
    `record`, where there is one, is to be written all the same (what the client said it
    saw lifts the epoch, also where the call is refused).
    """

    def __init__(
        self,
        status: int,
        faults: list[str],
        seen: Token = NEVER,
        record: Record | None = None,
    ) -> None:
        super().__init__("; ".join(faults))
        self.status, self.faults, self.seen, self.record = status, faults, seen, record


@dataclass(frozen=True, slots=True)
class Terms:
    """Bounds of a table. Times in microseconds; `drift` is the share by which two
    clocks may run apart.
    """

    drift: float = 0.02
    least_ttl_us: int = 100_000
    most_ttl_us: int = 60_000_000
    most_leases: int = 10_000

    def faults(self) -> list[str]:
        """What is wrong with these terms themselves, each with its path; empty where
        nothing is.
        """
        found = []
        if not 0 <= self.drift < 0.5:
            found.append("drift: a share from 0 below 0.5")
        if not 0 < self.least_ttl_us <= self.most_ttl_us < 1 << 42:
            found.append("least_ttl_us: from 1 to most_ttl_us, which is below 2**42")
        if self.most_leases < 1:
            found.append("most_leases: at least 1")
        return found


def surely_out_us(ttl_us: int, drift: float) -> int:
    """How long after the last answer the service waits until the lease is out on every
    clock.
    """
    return math.ceil(ttl_us * (1 + drift))


def surely_held_us(ttl_us: int, drift: float) -> int:
    """How long after the asking its holder may act on a lease."""
    return math.floor(ttl_us * (1 - drift))


def ask_faults(
    terms: Terms, name: Any, holder: Any, ttl_us: Any, note: Any
) -> list[str]:
    """All faults of a call for a lease, each with its path."""
    faults = [
        f"{path}: a string of 1 to {MOST_TEXT} characters"
        for path, value in (("name", name), ("holder", holder))
        if not _text(value)
    ]
    if type(ttl_us) is not int or not terms.least_ttl_us <= ttl_us <= terms.most_ttl_us:
        faults.append(
            f"ttl_us: a whole number from {terms.least_ttl_us} to {terms.most_ttl_us}"
        )
    if not isinstance(note, Mapping) or len(note) > MOST_NOTE:
        return [*faults, f"note: an object of at most {MOST_NOTE} entries"]
    for n, (key, value) in enumerate(note.items()):
        if not _text(key) or not isinstance(value, str) or len(value) > MOST_TEXT:
            where = f"note.{key}" if _text(key) else f"note[{n}]"
            faults.append(
                f"{where}: a string of at most {MOST_TEXT} characters under a name as long"
            )
    return faults


def _text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MOST_TEXT
