"""Whether two members used a lease at once, or a fencing token went back.

A ``granted`` record is the service's: a lease has a holder under a token (a renewal
grants nothing new). An ``acted`` record is a member's: it did something under a token.
Tokens are [epoch, number] and compare in that order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from rainfall.lab.verdicts.listing import LISTED_RECORDS

Token = tuple[int, int]
NO_TOKEN: Token = (-1, -1)
KIND_ORDER = {"granted": 0, "acted": 1}
"""Of records with the same time the grants come first."""


@dataclass(slots=True)
class _Lease:
    """The highest grant of a lease, and the highest token that was used."""

    granted: Token = NO_TOKEN
    holder: str = ""
    acted: Token = NO_TOKEN
    actor: str = ""

    def grant_goes_back(self, token: Token, holder: str) -> bool:
        """Whether a grant does not raise the token; the same grant again may stand."""
        is_same = token == self.granted and holder == self.holder
        return token <= self.granted and not is_same

    def overlaps(self, token: Token, member: str) -> bool:
        """Whether a member uses a token while the lease is another's."""
        is_superseded = self.granted > token and self.holder != member
        is_others = self.granted == token and self.holder != member
        is_shared = self.acted == token and self.actor != member
        return is_superseded or is_others or is_shared


def check(records: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """The result for the verdict.

    ``overlaps`` counts uses by one member while the lease was another's: granted to that
    one under a higher token, or used by it under the same. ``tokens_back`` counts grants
    that do not raise the token, and uses of a token below one used before.
    """
    ordered = sorted(
        (record for record in records if record["kind"] in KIND_ORDER),
        key=lambda record: (record["at_ns"], KIND_ORDER[record["kind"]]),
    )
    leases: dict[str, _Lease] = {}
    overlaps: list[dict[str, Any]] = []
    regressions: list[dict[str, Any]] = []
    for record in ordered:
        lease = leases.setdefault(record["lease"], _Lease())
        epoch, number = record["token"]
        token: Token = (int(epoch), int(number))
        if record["kind"] == "granted":
            if lease.grant_goes_back(token, record["holder"]):
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
            lease.actor = record["member"]
    return {
        "seen": len(ordered),
        "leases": len(leases),
        "overlaps": len(overlaps),
        "tokens_back": len(regressions),
        "overlap_records": overlaps[:LISTED_RECORDS],
        "back_records": regressions[:LISTED_RECORDS],
    }
