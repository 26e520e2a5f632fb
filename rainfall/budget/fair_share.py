"""Max-min fair division of an integer number of calls.

The division is by demand, weights and floors; scarce calls rotate between the members.
It uses integer arithmetic only, so that equal input gives equal shares on every machine
and the shares add up exactly.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, TypeVar

from rainfall.budget.types import part_weight

K = TypeVar("K")
CREDIT_UNIT = 1_000_000
"""Credit units in a call: credit is counted in millionths of a call."""
MAX_CREDIT = 2 * CREDIT_UNIT
"""Limit of credit and of debt: a long wait earns one turn, not several in a row."""


class Claim(NamedTuple, Generic[K]):
    """A claim to between `minimum` and `maximum` calls, by weight between the two."""

    key: K
    weight: int
    minimum: int
    maximum: int


class Filling(NamedTuple, Generic[K]):
    """The result of `water_fill`."""

    calls_by_key: dict[K, int]
    credit_by_key: dict[K, int]
    """Credit from rounding, in millionths of a call; negative for a debt."""


class FillLevel(NamedTuple):
    """A water level, calls for each unit of weight, as a fraction."""

    numerator: int
    denominator: int


@dataclass(frozen=True, slots=True)
class Division(Generic[K]):
    """The shares of all members."""

    shares: dict[K, int]
    unassigned: int
    """Calls in no share; the shares and `unassigned` add up to the total."""
    credit: dict[K, int]
    """Credit from rounding and turns, for the next division, in millionths of a call."""
    scarce: bool
    """Whether members with demand have no calls; later divisions serve them in turn."""


def water_fill(
    total: int, claims: Sequence[Claim[K]], credit: Mapping[K, int]
) -> Filling[K]:
    """Divide `total` by water-filling, in O(n log n).

    Each claim gets clamp(weight * level, minimum, maximum), rounded down, with the
    level at which the total is used up. Calls left over go to the rounded claims with
    the highest sum of lost fraction and `credit`; ties go by order.

    Raises:
        ValueError: The sum of the minimums exceeds the total.
    """
    minimum = sum(claim.minimum for claim in claims)
    if minimum > total:
        raise ValueError("the sum of the minimums exceeds the total")
    if sum(claim.maximum for claim in claims) <= total:
        return Filling({claim.key: claim.maximum for claim in claims}, {})
    level = _fill_level(total, minimum, claims)
    calls_by_key: dict[K, int] = {}
    rounded_down: list[tuple[int, int, K, int]] = []
    for order, claim in enumerate(claims):
        calls, remainder = divmod(claim.weight * level.numerator, level.denominator)
        calls_by_key[claim.key] = min(max(calls, claim.minimum), claim.maximum)
        if remainder and claim.minimum <= calls < claim.maximum:
            lost_credit = remainder * CREDIT_UNIT // level.denominator
            rank = -lost_credit - credit.get(claim.key, 0)
            rounded_down.append((rank, order, claim.key, lost_credit))
    rounded_down.sort(key=lambda entry: entry[:2])
    rounding_credit = {key: lost_credit for _, _, key, lost_credit in rounded_down}
    left_over = total - sum(calls_by_key.values())
    for _, _, key, _ in rounded_down[:left_over]:
        calls_by_key[key] += 1
        rounding_credit[key] -= CREDIT_UNIT
    return Filling(calls_by_key, rounding_credit)


def _fill_level(total: int, minimum: int, claims: Sequence[Claim[K]]) -> FillLevel:
    """The level at which the total is used up, found in one sweep.

    The calls of a claim grow between the levels minimum/weight and maximum/weight.
    """
    # Scaled, every level at which a claim starts or stops growing is an integer.
    scale = math.lcm(*(claim.weight for claim in claims))
    # (scaled level, change of the growing weight, change of the fixed calls)
    breakpoints: list[tuple[int, int, int]] = []
    for claim in claims:
        if claim.maximum > claim.minimum:
            step = scale // claim.weight
            breakpoints.append((claim.minimum * step, claim.weight, -claim.minimum))
            breakpoints.append((claim.maximum * step, -claim.weight, claim.maximum))
    breakpoints.sort()
    fixed = minimum
    growing = 0
    for level, weight_change, fixed_change in breakpoints:
        if growing and fixed * scale + growing * level >= total * scale:
            break
        growing += weight_change
        fixed += fixed_change
    return FillLevel(total - fixed, growing) if growing else FillLevel(0, 1)


def divide(
    total: int,
    demand: Mapping[K, Mapping[str, int]],
    weights: Mapping[str, int],
    floors: Mapping[K, int],
    min_calls: int,
    credit: Mapping[K, int],
    loose: int = 0,
) -> Division[K]:
    """Divide `total` calls among the members of `demand`.

    The steps, in this order:

    1. Each member gets its floor.
    2. Each member with demand gets `min_calls` calls, or its demand if lower. If there are
       too few calls, members get them in turn, by `credit`.
    3. The rest goes to the parts of demand by weight, up to their demand; the members
       of a part share its calls evenly.
    4. Calls beyond all demand are spread evenly as headroom, except `loose`.

    Args:
        total: Calls to divide.
        demand: Calls wanted in a span, by member and part of demand. Ties go by the
            order of members.
        weights: Weights of classes and tenants.
        floors: Each member's reserve.
        min_calls: Calls for each member with demand, in step 2.
        credit: The credit of the previous division, in millionths of a call.
        loose: Most calls beyond all demand that stay unassigned.

    Raises:
        ValueError: The sum of the floors exceeds the total.
    """
    demand_by_key = {key: sum(parts.values()) for key, parts in demand.items()}
    floor_by_key = {key: floors.get(key, 0) for key in demand}
    first_claims = [
        Claim(
            key,
            1,
            floor_by_key[key],
            max(floor_by_key[key], min(min_calls, demand_by_key[key])),
        )
        for key in demand
    ]
    base_shares, rounding_credit = water_fill(total, first_claims, credit)
    shares = dict(base_shares)
    claims_by_part = _claims_by_part(demand, weights, base_shares, shares)
    # The calls left in `shares` are beyond their member's demand and belong to no part.
    part_total = total - sum(shares.values())
    calls_by_part = _divide_between_parts(part_total, claims_by_part, weights)
    for part in sorted(claims_by_part):
        filling = water_fill(calls_by_part[part], claims_by_part[part], credit)
        for key, calls in filling.calls_by_key.items():
            shares[key] += calls
        for key, millionths in filling.credit_by_key.items():
            rounding_credit[key] = rounding_credit.get(key, 0) + millionths
    unassigned = _spread_headroom(total, shares, demand, loose)
    return Division(
        shares,
        unassigned,
        _carried_credit(demand, demand_by_key, credit, rounding_credit),
        any(demand_by_key[key] and not shares[key] for key in demand),
    )


def _claims_by_part(
    needs: Mapping[K, Mapping[str, int]],
    weights: Mapping[str, int],
    base_shares: Mapping[K, int],
    shares: dict[K, int],
) -> dict[str, list[Claim[K]]]:
    """Each part's claims; the minimums of the claims are subtracted from `shares`.

    A member's base share serves its parts with the highest weight first.
    """
    claims: dict[str, list[Claim[K]]] = {}
    for key, demand in needs.items():
        available = base_shares[key]
        for part in sorted(
            demand, key=lambda name: (-part_weight(name, weights), name)
        ):
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
    """Calls of each part, by weight and demand."""
    claims = [
        Claim(
            part,
            part_weight(part, weights),
            sum(claim.minimum for claim in claims_by_part[part]),
            sum(claim.maximum for claim in claims_by_part[part]),
        )
        for part in sorted(claims_by_part)
    ]
    return water_fill(total, claims, {}).calls_by_key


def _spread_headroom(
    total: int,
    shares: dict[K, int],
    needs: Mapping[K, Mapping[str, int]],
    loose: int,
) -> int:
    """Add calls beyond all demand to the shares, evenly; return those not spread."""
    unused = total - sum(shares.values())
    unassigned = min(unused, loose) if needs else unused
    claims = [Claim(key, 1, 0, total) for key in needs]
    for key, calls in water_fill(unused - unassigned, claims, {}).calls_by_key.items():
        shares[key] += calls
    return unassigned


def _carried_credit(
    needs: Mapping[K, Mapping[str, int]],
    demand_by_key: Mapping[K, int],
    credit: Mapping[K, int],
    rounding_credit: Mapping[K, int],
) -> dict[K, int]:
    """The credit for the next division; a member without demand keeps only a debt."""
    carried: dict[K, int] = {}
    for key in needs:
        balance = credit.get(key, 0) + rounding_credit.get(key, 0)
        balance = min(
            max(balance, -MAX_CREDIT), MAX_CREDIT if demand_by_key[key] else 0
        )
        if balance:
            carried[key] = balance
    return carried
