"""What a budget is, and what a member is sent of it.

Also the windows that stay safe although clocks run at different rates.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from rainfall.lease.fencing_token import Token

HeldShare = tuple[int, int]
"""(calls, number) of the share that a member holds.

A plain tuple: the model checker orders messages by their `repr`.
"""
PART_SEPARATOR = "/"
"""Between the class and the tenant of a part of demand."""


def widen_for_drift(us: int, drift: float) -> int:
    """How long to wait by one clock until `us` have passed by every other.

    The rates of two clocks differ by `drift` at most.
    """
    return math.ceil(us / (1.0 - drift))


def reuse_window_us(span_us: int, slack_us: int, drift: float) -> int:
    """How long after a `spend`, by any clock, the call's quota may be used again.

    The call's first byte may leave `slack_us` after it, by the clock of its sender.
    """
    return widen_for_drift(span_us + widen_for_drift(slack_us, drift), drift)


def part_weight(part: str, weights: Mapping[str, int]) -> int:
    """The weight of a part of demand, "CLASS" or "CLASS/TENANT".

    The product of the weights of class and tenant, 1 where none is set.
    """
    return math.prod(weights.get(piece, 1) for piece in part.split(PART_SEPARATOR))


@dataclass(frozen=True, slots=True)
class Budget:
    """One destination's budget, as configured and checked by `config.parse_budgets`."""

    destination: str
    calls: int
    """The total: calls in every sliding span, from all members together."""
    span_us: int
    reserve: int = 0
    """Calls in a span that each of `members_max` processes keeps without the service.

    Part of the total.
    """
    members_max: int = 1
    weights: Mapping[str, int] = field(default_factory=dict)
    """Of classes and tenants."""
    least: int = 1
    """No member with work is given less, or less than all it needs, if calls suffice."""
    change: float = 0.05
    """Share of the total that a new division must move to be worth it."""
    loose: float = 0.05
    """Share of the total, out of what nobody needs, that is kept to be lent to bursts."""
    pause_us: int = 1_000_000
    """Least time between divisions; less where a member with work has no share."""
    slack_us: int = 5_000
    """A call's first byte leaves so long after its `spend`, or it is spent for again."""

    def window_us(self, drift: float) -> int:
        """How long after a `spend` the call's quota may be used again."""
        return reuse_window_us(self.span_us, self.slack_us, drift)


@dataclass(frozen=True, slots=True)
class Share:
    """What one member is granted of one budget."""

    token: Token
    """The incarnation it is granted to; (token, number) only grows."""
    number: int
    calls: int
    """In every sliding span while its lease is valid; the reserve is part of it."""
    reserve: int
    """Calls in every sliding span once the lease is not valid."""
    whole: int
    """The budget's total."""
    span_us: int
    slack_us: int
