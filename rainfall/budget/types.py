"""What a budget is, what a member is told of it, and the one widening that makes
differing clocks safe.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from rainfall.lease.fencing_token import Token


def widen_for_drift(us: int, drift: float) -> int:
    """So long by one clock that `us` have passed by every other; rates differ by
    `drift` at most.
    """
    return math.ceil(us / (1.0 - drift))


def reuse_window_us(span_us: int, slack_us: int, drift: float) -> int:
    """How long after a `spend`, by any clock, the call's place may be used again: its
    first byte may have left `slack_us` later, by the clock of its sender.
    """
    return widen_for_drift(span_us + widen_for_drift(slack_us, drift), drift)


def part_weight(part: str, weights: Mapping[str, int]) -> int:
    """Of a part of demand, "CLASS" or "CLASS/TENANT": its pieces' weights multiplied, 1
    where none is set.
    """
    return math.prod(weights.get(piece, 1) for piece in part.split("/"))


@dataclass(frozen=True, slots=True)
class Budget:
    """One destination's whole, as configured. Checked by `config.checked`."""

    destination: str
    calls: int
    """The whole: calls in every sliding span, from all members together."""
    span_us: int
    reserve: int = 0
    """Calls in a span that each of `members_max` processes keeps without the service;
    part of the whole.
    """
    members_max: int = 1
    weights: Mapping[str, int] = field(default_factory=dict)
    least: int = 1
    """No member with work is given less, nor less than it needs if that is below, while
    the whole lasts.
    """
    change: float = 0.05
    """Part of the whole that a new division must move to be worth it."""
    loose: float = 0.05
    """Part of the whole, out of what nobody needs, that is not spread but lent to
    bursts at once.
    """
    pause_us: int = 1_000_000
    """Least time between divisions; a quarter of it where a member with work has no
    share.
    """
    slack_us: int = 5_000
    """A call's first byte leaves so long after its `spend` at most, or it is spent for
    again.
    """

    def window_us(self, drift: float) -> int:
        return reuse_window_us(self.span_us, self.slack_us, drift)


@dataclass(frozen=True, slots=True)
class Share:
    """What one member is told of one budget."""

    token: Token
    """The incarnation it is told to; (token, number) only grows."""
    number: int
    calls: int
    """In every sliding span while its lease is valid; the reserve is in it."""
    reserve: int
    """And after that."""
    whole: int
    span_us: int
    slack_us: int
