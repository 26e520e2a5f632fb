"""Max-min fair division of a whole number of calls.

By demand, weights and floors, and in turns where calls are scarce. All of it is integer
arithmetic, so that equal input divides equally everywhere and the shares add up
exactly.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from rainfall.budget.types import part_weight

K = TypeVar("K")
CREDIT_UNIT = 1_000_000
"""Credit is counted in millionths of a call."""
MAX_CREDIT = 2 * CREDIT_UNIT
"""Credit or debt at most: a long wait earns one turn, not a row of them."""


class Claim(NamedTuple, Generic[K]):
    """One claimant: given from `minimum` to `maximum`, by its weight between them."""

    key: K
    weight: int
    minimum: int
    maximum: int


class Filling(NamedTuple, Generic[K]):
    """What `water_fill` gave to each claimant."""

    given: dict[K, int]
    owed: dict[K, int]
    """What rounding owes each, in `CREDIT_UNIT`; negative for a debt."""


class FillLevel(NamedTuple):
    """A level as a fraction."""

    numerator: int
    denominator: int


@dataclass(frozen=True, slots=True)
class Division(Generic[K]):
    """The shares of all members."""

    shares: dict[K, int]
    unassigned: int
    """Given to nobody; the shares and this add up to the total."""
    credit: dict[K, int]
    """For the next division: what rounding and turns still owe, in `CREDIT_UNIT`."""
    scarce: bool
    """Some members with work have no calls: later divisions serve them in turn."""


def water_fill(
    total: int, claims: Sequence[Claim[K]], credit: Mapping[K, int]
) -> Filling[K]:
    """Divide `total` by water-filling, in O(n log n).

    Each is given clamp(weight * level, minimum, maximum), with the level that uses up
    the total. Rounded to whole numbers; a call left over goes where the lost fraction
    and `credit` together are highest, then by order.

    Raises:
        ValueError: The minimums are more than the total.
    """
    minimum = sum(claim.minimum for claim in claims)
    if minimum > total:
        raise ValueError("the least parts are more than the whole")
    if sum(claim.maximum for claim in claims) <= total:
        return Filling({claim.key: claim.maximum for claim in claims}, {})
    level = _fill_level(total, minimum, claims)
    given: dict[K, int] = {}
    rounded_down: list[tuple[int, int, K, int]] = []
    for order, claim in enumerate(claims):
        calls, rest = divmod(claim.weight * level.numerator, level.denominator)
        given[claim.key] = min(max(calls, claim.minimum), claim.maximum)
        if rest and claim.minimum <= calls < claim.maximum:
            lost = rest * CREDIT_UNIT // level.denominator
            rank = -lost - credit.get(claim.key, 0)
            rounded_down.append((rank, order, claim.key, lost))
    rounded_down.sort(key=lambda entry: entry[:2])
    owed = {key: lost for _, _, key, lost in rounded_down}
    left_over = total - sum(given.values())
    for _, _, key, _ in rounded_down[:left_over]:
        given[key] += 1
        owed[key] -= CREDIT_UNIT
    return Filling(given, owed)


def _fill_level(total: int, minimum: int, claims: Sequence[Claim[K]]) -> FillLevel:
    """The level that uses up the total, found in one sweep.

    Each claimant's part grows with the level from minimum/weight to maximum/weight.
    """
    # The scale makes every level at which a part starts or stops growing a whole number.
    scale = math.lcm(*(claim.weight for claim in claims))
    # (scaled level, change of the growing weight, change of the fixed calls)
    turns: list[tuple[int, int, int]] = []
    for claim in claims:
        if claim.maximum > claim.minimum:
            step = scale // claim.weight
            turns.append((claim.minimum * step, claim.weight, -claim.minimum))
            turns.append((claim.maximum * step, -claim.weight, claim.maximum))
    turns.sort()
    fixed = minimum
    growing = 0
    for level, weight_change, fixed_change in turns:
        if growing and fixed * scale + growing * level >= total * scale:
            break
        growing += weight_change
        fixed += fixed_change
    return FillLevel(total - fixed, growing) if growing else FillLevel(0, 1)


def divide(
    total: int,
    needs: Mapping[K, Mapping[str, int]],
    weights: Mapping[str, int],
    floors: Mapping[K, int],
    least: int,
    credit: Mapping[K, int],
    loose: int = 0,
) -> Division[K]:
    """Divide `total` calls among the members of `needs`.

    In this order: each keeps its floor; each with work has `least` (or all it needs),
    in turns by `credit` where that is more than there is; the parts share by weight
    what their demand asks, and within a part its members share evenly; what nobody
    needs is spread evenly as headroom, except `loose`.

    Args:
        total: Calls to divide.
        needs: Calls wanted in a span, by member and part of demand. Members count in
            this order.
        weights: Of classes and tenants.
        floors: Each member's reserve.
        least: See above.
        credit: The previous division's, in `CREDIT_UNIT`.
        loose: Unneeded calls that are not spread.

    Raises:
        ValueError: The floors are more than the total.
    """
    work = {key: sum(parts.values()) for key, parts in needs.items()}
    floor = {key: floors.get(key, 0) for key in needs}
    first_claims = [
        Claim(key, 1, floor[key], max(floor[key], min(least, work[key])))
        for key in needs
    ]
    base, owed = water_fill(total, first_claims, credit)
    shares = dict(base)
    claims_by_part = _claims_by_part(needs, weights, base, shares)
    # What is left in `shares` is above all need: no part's.
    part_total = total - sum(shares.values())
    calls_by_part = _divide_between_parts(part_total, claims_by_part, weights)
    for part in sorted(claims_by_part):
        filling = water_fill(calls_by_part[part], claims_by_part[part], credit)
        for key, calls in filling.given.items():
            shares[key] += calls
        for key, millionths in filling.owed.items():
            owed[key] = owed.get(key, 0) + millionths
    unassigned = _spread_headroom(total, shares, needs, loose)
    return Division(
        shares,
        unassigned,
        _carried_credit(needs, work, credit, owed),
        any(work[key] and not shares[key] for key in needs),
    )


def _claims_by_part(
    needs: Mapping[K, Mapping[str, int]],
    weights: Mapping[str, int],
    base: Mapping[K, int],
    shares: dict[K, int],
) -> dict[str, list[Claim[K]]]:
    """Each part's claims; what a part's minimum takes is taken out of `shares`.

    What a member has at least serves its weightiest parts first.
    """
    claims: dict[str, list[Claim[K]]] = {}
    for key, demand in needs.items():
        available = base[key]
        for part in sorted(demand, key=lambda p: (-part_weight(p, weights), p)):
            wanted = demand[part]
            served = min(available, wanted)
            available -= served
            shares[key] -= served
            claims.setdefault(part, []).append(Claim(key, 1, served, wanted))
    return claims


def _divide_between_parts(
    total: int,
    claims_by_part: Mapping[str, Sequence[Claim[K]]],
    weights: Mapping[str, int],
) -> dict[str, int]:
    """Calls of each part."""
    claims = [
        Claim(
            part,
            part_weight(part, weights),
            sum(claim.minimum for claim in claims_by_part[part]),
            sum(claim.maximum for claim in claims_by_part[part]),
        )
        for part in sorted(claims_by_part)
    ]
    return water_fill(total, claims, {}).given


def _spread_headroom(
    total: int,
    shares: dict[K, int],
    needs: Mapping[K, Mapping[str, int]],
    loose: int,
) -> int:
    """Add what nobody needs to the shares, evenly; return what is not spread."""
    unused = total - sum(shares.values())
    unassigned = min(unused, loose) if needs else unused
    claims = [Claim(key, 1, 0, total) for key in needs]
    for key, calls in water_fill(unused - unassigned, claims, {}).given.items():
        shares[key] += calls
    return unassigned


def _carried_credit(
    needs: Mapping[K, Mapping[str, int]],
    work: Mapping[K, int],
    credit: Mapping[K, int],
    owed: Mapping[K, int],
) -> dict[K, int]:
    """Credit is earned by waiting with work; without work only a debt is carried."""
    carried: dict[K, int] = {}
    for key in needs:
        now = credit.get(key, 0) + owed.get(key, 0)
        now = min(max(now, -MAX_CREDIT), MAX_CREDIT if work[key] else 0)
        if now:
            carried[key] = now
    return carried
