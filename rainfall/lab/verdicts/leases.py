"""Whether any lease was acted on by two, or its token went back.

``granted`` is the service's record that a lease has a holder under a token (a renewal
grants nothing new), ``acted`` a member's record of what it did under one. Tokens are
[epoch, number] and compare in that order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

SHOWN = 20
Token = tuple[int, int]
NONE: Token = (-1, -1)


@dataclass(slots=True)
class _Lease:
    granted: Token = NONE
    holder: str = ""
    acted: Token = NONE
    actor: str = ""


def check(records: Iterable[Mapping[str, Any]]) -> dict[str, Any]:
    """``overlaps``: acts by one member while the lease was another's (granted to that
    one before, under a higher token, or acted on by it under the same);
    ``tokens_back``: grants that do not rise, and acts under a token below one acted
    under before. Of records of one moment the grants count first.
    """
    kinds = {"granted": 0, "acted": 1}
    every = sorted(
        (r for r in records if r["kind"] in kinds),
        key=lambda r: (r["at_ns"], kinds[r["kind"]]),
    )
    leases: dict[str, _Lease] = {}
    overlaps: list[dict[str, Any]] = []
    back: list[dict[str, Any]] = []
    for r in every:
        now = leases.setdefault(r["lease"], _Lease())
        token: Token = (int(r["token"][0]), int(r["token"][1]))
        if r["kind"] == "granted":
            same = (
                token == now.granted and r["holder"] == now.holder
            )  # told again, nothing new
            if token <= now.granted and not same:
                back.append(dict(r))
            if token > now.granted:
                now.granted, now.holder = token, r["holder"]
            continue
        other_holds = now.granted > token and now.holder != r["member"]
        stolen = now.granted == token and now.holder != r["member"]
        shared = now.acted == token and now.actor != r["member"]
        if other_holds or stolen or shared:
            overlaps.append(dict(r))
        if token < now.acted:
            back.append(dict(r))
        if token >= now.acted:
            now.acted, now.actor = token, r["member"]
    return {
        "seen": len(every),
        "leases": len(leases),
        "overlaps": len(overlaps),
        "tokens_back": len(back),
        "overlap_records": overlaps[:SHOWN],
        "back_records": back[:SHOWN],
    }
