"""What becomes of a message at the member that has it: taken on, passed to the owner
once, or refused.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Literal

from rainfall.lease.fencing_token import Token
from rainfall.shard.ownership import RangeOwnership


@dataclass(frozen=True, slots=True)
class ActLocally:
    """This member acts on the key, under this token."""

    token: Token


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """To the owner, with the generation of this member's map and what is left of the
    message's own time.
    """

    owner: str
    generation: int
    remaining_us: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """503 with `Retry-After`: nothing was taken on. `why` is for logs and figures."""

    reason: Literal[
        "no map", "late", "not begun", "loop", "generation", "unknown owner", "link out"
    ]
    retry_after_s: int


def route(
    owned: RangeOwnership,
    key: int,
    now_us: int,
    deadline_us: int,
    forwarded_generation: int | None,
    members: Collection[str],
    link_up: Callable[[str], bool],
    retry_after_s: int = 1,
) -> ActLocally | ForwardToOwner | Rejected:
    """`until_us`: the end of the message's own time.

    `passed`: None, or the map generation of the member that passed it here. `members`:
    names that this member knows of.

    Whoever acts on the key takes it, whatever map the sender had: there is no other who
    acts. A message that was passed is never passed on, so a loop cannot form; where the
    two maps differ, `why` says so.
    """
    if deadline_us <= now_us:
        return Rejected("late", retry_after_s)
    if token := owned.may_act(key, now_us):
        return ActLocally(token)
    if owned.map is None:
        return Rejected("no map", retry_after_s)
    if forwarded_generation is not None:
        return Rejected(
            "loop"
            if forwarded_generation == owned.map.generation
            and owned.map.owner(key) != owned.name
            else "not begun"
            if forwarded_generation == owned.map.generation
            else "generation",
            retry_after_s,
        )
    owner = owned.map.owner(key)
    if owner == owned.name:
        return Rejected("not begun", retry_after_s)
    if owner not in members:
        return Rejected("unknown owner", retry_after_s)
    if not link_up(owner):
        return Rejected("link out", retry_after_s)
    return ForwardToOwner(owner, owned.map.generation, deadline_us - now_us)
