"""Budgets, members' shares of them, and reuse windows with margins for clock drift."""

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
"""Separates the class and the tenant of a part of demand."""


def widen_for_drift(duration_us: int, drift: float) -> int:
    """The time by one clock after which `duration_us` have passed by every other clock.

    The rates of two clocks differ by the fraction `drift` at most.
    """
    return math.ceil(duration_us / (1.0 - drift))


def reuse_window_us(span_us: int, slack_us: int, drift: float) -> int:
    """The time after a `spend`, by any clock, until the call's quota may be used again.

    The call's first byte may be sent up to `slack_us` after the `spend`, by the clock of
    its sender.
    """
    return widen_for_drift(span_us + widen_for_drift(slack_us, drift), drift)


def part_weight(part: str, weights: Mapping[str, int]) -> int:
    """The weight of a part of demand, "CLASS" or "CLASS/TENANT".

    The product of the weights of class and tenant; an unset weight is 1.
    """
    return math.prod(weights.get(piece, 1) for piece in part.split(PART_SEPARATOR))


@dataclass(frozen=True, slots=True)
class Budget:
    """One destination's budget, as validated by `config.parse_budgets`."""

    destination: str
    calls: int
    """The total: most calls in any sliding span, over all members."""
    span_us: int
    reserve: int = 0
    """Calls in a span that a process may make without a valid lease.

    Part of the total, for each of `members_max` processes.
    """
    members_max: int = 1
    weights: Mapping[str, int] = field(default_factory=dict)
    """Weights of classes and tenants; an unset weight is 1."""
    min_calls: int = 1
    """Calls that a member with demand gets at least, or its demand, if calls suffice."""
    min_gain_fraction: float = 0.05
    """Fraction of the total that a division for changed demand must serve in addition."""
    unassigned_fraction: float = 0.05
    """Fraction of the total that is left unassigned, to be lent to bursts, if not wanted."""
    pause_us: int = 1_000_000
    """Minimum time between divisions; shorter if a member with demand has no share."""
    slack_us: int = 5_000
    """Longest time from a `spend` to the call's first byte; after it, `spend` is repeated."""

    def window_us(self, drift: float) -> int:
        """The time after a `spend` until the call's quota may be used again."""
        return reuse_window_us(self.span_us, self.slack_us, drift)


@dataclass(frozen=True, slots=True)
class Share:
    """One member's share of one budget, as sent to it."""

    token: Token
    """The member's incarnation; (token, number) increases with each share."""
    number: int
    calls: int
    """Most calls in any sliding span while the lease is valid; includes the reserve."""
    reserve: int
    """Most calls in any sliding span without a valid lease."""
    total: int
    """The budget's total."""
    span_us: int
    slack_us: int
