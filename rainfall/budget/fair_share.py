"""Max-min fair division of a whole number of calls: by demand, weights, floors, and
turns where it is scarce.

All is integer arithmetic, so that equal input divides equally everywhere and the shares
add up exactly.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from rainfall.budget.types import part_weight

K = TypeVar("K")
CREDIT_UNIT = 1_000_000  # credit is counted in millionths of a call
MAX_CREDIT = (
    2 * CREDIT_UNIT
)  # owed or in debt at most: a long wait earns a turn, not a row of them


class Claim(NamedTuple, Generic[K]):
    """One taker: it is given at least `low` and at most `high`, in proportion to
    `weight` between them.
    """

    key: K
    weight: int
    minimum: int
    maximum: int


@dataclass(frozen=True, slots=True)
class Division(Generic[K]):
    shares: dict[K, int]
    unassigned: int
    """Not given to anybody; shares and this add up to the whole."""
    credit: dict[K, int]
    """To be handed to the next division: what rounding and turns still owe, in
    millionths of a call.
    """
    scarce: bool
    """Fewer calls than members with work: some have none, and are served in turn by
    later divisions.
    """


def water_fill(
    total: int, claims: Sequence[Claim[K]], credit: Mapping[K, int]
) -> tuple[dict[K, int], dict[K, int]]:
    """Water-filling: each is given clamp(weight * level, low, high), with the level
    that uses up `whole`. Rounded to whole numbers; a call left over goes where the lost
    fraction and `credit` together are most, then by order. Returns what each is given
    and what rounding owes each. O(n log n). ValueError where the lows are more than the
    whole.
    """
    low = sum(claim.minimum for claim in claims)
    if low > total:
        raise ValueError("the least parts are more than the whole")
    if sum(claim.maximum for claim in claims) <= total:
        return {claim.key: claim.maximum for claim in claims}, {}
    numerator, denominator = _fill_level(total, low, claims)
    given: dict[K, int] = {}
    lost: list[tuple[int, int, K]] = []
    for n, claim in enumerate(claims):
        calls, rest = divmod(claim.weight * numerator, denominator)
        given[claim.key] = min(max(calls, claim.minimum), claim.maximum)
        if rest and claim.minimum <= calls < claim.maximum:
            owed = rest * CREDIT_UNIT // denominator
            lost.append((-owed - credit.get(claim.key, 0), n, claim.key))
    left = total - sum(given.values())
    lost.sort(key=lambda entry: entry[:2])
    owes = {key: -rank - credit.get(key, 0) for rank, _, key in lost}
    for _, _, key in lost[:left]:
        given[key] += 1
        owes[key] -= CREDIT_UNIT
    return given, owes


def _fill_level(total: int, low: int, claims: Sequence[Claim[K]]) -> tuple[int, int]:
    """The level as a fraction: each taker grows with it from low/weight to high/weight,
    one sweep.
    """
    scale = math.lcm(
        *(claim.weight for claim in claims)
    )  # so that the turning points are whole numbers
    turns: list[tuple[int, int, int]] = []
    for claim in claims:
        if claim.maximum > claim.minimum:
            turns.append(
                (claim.minimum * (scale // claim.weight), claim.weight, -claim.minimum)
            )
            turns.append(
                (claim.maximum * (scale // claim.weight), -claim.weight, claim.maximum)
            )
    turns.sort()
    fixed, growing = low, 0
    for at, grows, fixes in turns:
        if growing and fixed * scale + growing * at >= total * scale:
            break
        growing, fixed = growing + grows, fixed + fixes
    return (total - fixed, growing) if growing else (0, 1)


def divide(
    total: int,
    needs: Mapping[K, Mapping[str, int]],
    weights: Mapping[str, int],
    floors: Mapping[K, int],
    least: int,
    credit: Mapping[K, int],
    loose: int = 0,
) -> Division[K]:
    """Divide `whole` among the members of `needs` (calls wanted in a span, by typed
    part of demand).

    In this order: each keeps its floor (its reserve); each with work has `least` (or
    all it needs), in turns by `credit` where that is more than there is; the parts
    share by weight what their demand asks, and within a part its members share evenly;
    what nobody needs is spread evenly as headroom, but for `loose`. Members count in
    the order of `needs`. ValueError where the floors are more than the whole.
    """
    work = {key: sum(parts.values()) for key, parts in needs.items()}
    floor = {key: floors.get(key, 0) for key in needs}
    firsts = [Claim(k, 1, floor[k], max(floor[k], min(least, work[k]))) for k in needs]
    base, owed = water_fill(total, firsts, credit)
    shares = dict(base)
    by_part: dict[str, list[Claim[K]]] = {}
    for key in needs:
        taken = base[key]
        # What a member has at least serves its weightiest parts first, and counts as
        # given to them.
        for part in sorted(needs[key], key=lambda p: (-part_weight(p, weights), p)):
            wanted = needs[key][part]
            served = min(taken, wanted)
            taken -= served
            shares[key] -= served
            by_part.setdefault(part, []).append(Claim(key, 1, served, wanted))
    over = sum(shares.values())  # above all need: fixed, no part's
    parts = [
        Claim(
            p,
            part_weight(p, weights),
            sum(w.minimum for w in by_part[p]),
            sum(w.maximum for w in by_part[p]),
        )
        for p in sorted(by_part)
    ]
    to_parts, _ = water_fill(total - over, parts, {})
    for name in sorted(by_part):
        given, owes = water_fill(to_parts[name], by_part[name], credit)
        for key, calls in given.items():
            shares[key] += calls
        for key, millionths in owes.items():
            owed[key] = owed.get(key, 0) + millionths
    unused = total - sum(shares.values())
    kept = min(unused, loose) if needs else unused
    spread, _ = water_fill(unused - kept, [Claim(k, 1, 0, total) for k in needs], {})
    for key, calls in spread.items():
        shares[key] += calls
    return Division(
        shares,
        kept,
        _carried_credit(needs, work, credit, owed),
        any(work[k] and not shares[k] for k in needs),
    )


def _carried_credit(
    needs: Mapping[K, Mapping[str, int]],
    work: Mapping[K, int],
    credit: Mapping[K, int],
    owed: Mapping[K, int],
) -> dict[K, int]:
    """Credit is earned by waiting with work; without work none is kept, but a debt is."""
    carried: dict[K, int] = {}
    for key in needs:
        now = credit.get(key, 0) + owed.get(key, 0)
        now = min(max(now, -MAX_CREDIT), MAX_CREDIT if work[key] else 0)
        if now:
            carried[key] = now
    return carried
