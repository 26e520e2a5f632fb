"""Checks that no two members used a lease at once, and that fencing tokens increase.

A ``granted`` record comes from the lease service: ``holder`` got the lease with a fencing
token (a renewal keeps the token). An ``acted`` record comes from a member that used the
lease with a token. Tokens are [epoch, number] and compare in that order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from rainfall.lab.verdicts.listing import LISTED_RECORDS

Token = tuple[int, int]
NO_TOKEN: Token = (-1, -1)
KIND_ORDER = {"granted": 0, "acted": 1}
"""Grants sort before uses at the same time."""


@dataclass(slots=True)
class _LeaseState:
    """The highest token of a lease that was granted, and the highest that was used."""

    granted: Token = NO_TOKEN
    holder: str = ""
    acted: Token = NO_TOKEN
    last_user: str = ""

    def is_regression(self, token: Token, holder: str) -> bool:
        """Whether a grant does not increase the token; repeating a grant is allowed."""
        is_same = token == self.granted and holder == self.holder
        return token <= self.granted and not is_same

    def overlaps(self, token: Token, member: str) -> bool:
        """Whether a member uses a token while another member has the lease."""
        is_superseded = self.granted > token and self.holder != member
        is_granted_to_other = self.granted == token and self.holder != member
        is_shared = self.acted == token and self.last_user != member
        return is_superseded or is_granted_to_other or is_shared


def check(records: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """The result of the check.

    ``overlaps`` counts uses by a member while another member had the lease: granted with
    the same or a higher token, or used with the same token. ``tokens_back`` counts
    grants that do not increase the token, and uses of a token lower than an earlier one.
    """
    ordered = sorted(
        (record for record in records if record["kind"] in KIND_ORDER),
        key=lambda record: (record["at_ns"], KIND_ORDER[record["kind"]]),
    )
    leases: dict[str, _LeaseState] = {}
    overlaps: list[dict[str, Any]] = []
    regressions: list[dict[str, Any]] = []
    for record in ordered:
        lease = leases.setdefault(record["lease"], _LeaseState())
        epoch, number = record["token"]
        token: Token = (int(epoch), int(number))
        if record["kind"] == "granted":
            if lease.is_regression(token, record["holder"]):
                regressions.append(dict(record))
            if token > lease.granted:
                lease.granted = token
                lease.holder = record["holder"]
            continue
        if lease.overlaps(token, record["member"]):
            overlaps.append(dict(record))
        if token < lease.acted:
            regressions.append(dict(record))
        else:
            lease.acted = token
            lease.last_user = record["member"]
    return {
        "seen": len(ordered),
        "leases": len(leases),
        "overlaps": len(overlaps),
        "tokens_back": len(regressions),
        "overlap_records": overlaps[:LISTED_RECORDS],
        "back_records": regressions[:LISTED_RECORDS],
    }
