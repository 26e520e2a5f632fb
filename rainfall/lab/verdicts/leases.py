"""Whether any lease was acted on by two, or its token went back.

``granted`` is the service's record that a lease has a holder under a token (a renewal
grants nothing new), ``acted`` a member's record of what it did under one. Tokens are
[epoch, number] and compare in that order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

LISTED_RECORDS = 20
Token = tuple[int, int]
NO_TOKEN: Token = (-1, -1)


@dataclass(slots=True)
class _Lease:
    granted: Token = NO_TOKEN
    holder: str = ""
    acted: Token = NO_TOKEN
    actor: str = ""


def check(records: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """``overlaps``: acts by one member while the lease was another's (granted to that
    one before, under a higher token, or acted on by it under the same);
    ``tokens_back``: grants that do not rise, and acts under a token below one acted
    under before. Of records of one moment the grants count first.
    """
    kinds = {"granted": 0, "acted": 1}
    ordered = sorted(
        (record for record in records if record["kind"] in kinds),
        key=lambda r: (r["at_ns"], kinds[r["kind"]]),
    )
    leases: dict[str, _Lease] = {}
    overlaps: list[dict[str, Any]] = []
    regressions: list[dict[str, Any]] = []
    for record in ordered:
        lease = leases.setdefault(record["lease"], _Lease())
        token: Token = (int(record["token"][0]), int(record["token"][1]))
        if record["kind"] == "granted":
            same = (
                token == lease.granted and record["holder"] == lease.holder
            )  # told again, nothing new
            if token <= lease.granted and not same:
                regressions.append(dict(record))
            if token > lease.granted:
                lease.granted, lease.holder = token, record["holder"]
            continue
        other_holds = lease.granted > token and lease.holder != record["member"]
        stolen = lease.granted == token and lease.holder != record["member"]
        shared = lease.acted == token and lease.actor != record["member"]
        if other_holds or stolen or shared:
            overlaps.append(dict(record))
        if token < lease.acted:
            regressions.append(dict(record))
        if token >= lease.acted:
            lease.acted, lease.actor = token, record["member"]
    return {
        "seen": len(ordered),
        "leases": len(leases),
        "overlaps": len(overlaps),
        "tokens_back": len(regressions),
        "overlap_records": overlaps[:LISTED_RECORDS],
        "back_records": regressions[:LISTED_RECORDS],
    }
