"""What becomes of a message at the member that has it: taken on, passed to the owner
once, or refused.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Literal

from rainfall.lease.token import Token
from rainfall.shard.owned import Owned


@dataclass(frozen=True, slots=True)
class Here:
    """This member acts on the key, under this token."""

    token: Token


@dataclass(frozen=True, slots=True)
class Pass:
    """To the owner, with the generation of this member's map and what is left of the
    message's own time.
    """

    to: str
    generation: int
    left_us: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """503 with `Retry-After`: nothing was taken on. `why` is for logs and figures."""

    why: Literal[
        "no map", "late", "not begun", "loop", "generation", "unknown owner", "link out"
    ]
    after_s: int


def route(
    owned: Owned,
    key: int,
    now_us: int,
    until_us: int,
    passed: int | None,
    members: Collection[str],
    link_up: Callable[[str], bool],
    after_s: int = 1,
) -> Here | Pass | Refuse:
    """`until_us`: the end of the message's own time. `passed`: None, or the map
    generation of the member that passed it here. `members`: names that this member
    knows of.

    Whoever acts on the key takes it, whatever map the sender had: there is no other who
    acts. A message that was passed is never passed on, so a loop cannot form; where the
    two maps differ, `why` says so.
    """
    if until_us <= now_us:
        return Refuse("late", after_s)
    if token := owned.may_act(key, now_us):
        return Here(token)
    if owned.map is None:
        return Refuse("no map", after_s)
    if passed is not None:
        return Refuse(
            "loop"
            if passed == owned.map.generation and owned.map.owner(key) != owned.name
            else "not begun"
            if passed == owned.map.generation
            else "generation",
            after_s,
        )
    owner = owned.map.owner(key)
    if owner == owned.name:
        return Refuse("not begun", after_s)
    if owner not in members:
        return Refuse("unknown owner", after_s)
    if not link_up(owner):
        return Refuse("link out", after_s)
    return Pass(owner, owned.map.generation, until_us - now_us)
