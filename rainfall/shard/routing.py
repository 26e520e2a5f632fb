"""Where a message goes from the member that has it.

It is processed there, forwarded to the owner of its key once, or rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

from rainfall.lease.fencing_token import Token
from rainfall.shard.ownership import RangeOwnership
from rainfall.shard.shard_map import ShardMap


class RejectionReason(StrEnum):
    """Why a message is rejected; the value is what log and metrics show."""

    NO_MAP = "no map"
    LATE = "late"
    """Its deadline has passed."""
    NOT_BEGUN = "not begun"
    """The key is this member's by the map, but not held by it yet."""
    LOOP = "loop"
    """It was forwarded here, though the key is another's by the same map."""
    GENERATION = "generation"
    """It was forwarded here by another map than this member's."""
    UNKNOWN_OWNER = "unknown owner"
    LINK_OUT = "link out"
    """There is no connection to the owner."""


@dataclass(frozen=True, slots=True)
class ActLocally:
    """This member processes the message, under this token."""

    token: Token


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """The message goes to the owner of its key."""

    owner: str
    generation: int
    """Of this member's map."""
    remaining_us: int
    """Until the message's deadline."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """503 with `Retry-After`: the message was not accepted."""

    reason: RejectionReason
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
    """Decide where a message goes.

    Whichever member acts on the key takes the message, whatever map its sender had: no
    other member acts on it. A message that was forwarded is never forwarded again, so
    there are no loops.

    Args:
        owned: This member's ranges and map.
        key: The message's key.
        now_us: The present time.
        deadline_us: The message's deadline.
        forwarded_generation: The map generation of the member that forwarded it; None
            if none did.
        members: Names of the members that are known.
        link_up: Whether there is a connection to a member.
        retry_after_s: For a rejection.
    """
    if deadline_us <= now_us:
        return Rejected(RejectionReason.LATE, retry_after_s)
    token = owned.may_act(key, now_us)
    if token is not None:
        return ActLocally(token)
    if owned.map is None:
        return Rejected(RejectionReason.NO_MAP, retry_after_s)
    owner = owned.map.owner(key)
    if forwarded_generation is not None:
        reason = _forwarded_rejection(owned, owner, owned.map, forwarded_generation)
        return Rejected(reason, retry_after_s)
    if owner == owned.name:
        return Rejected(RejectionReason.NOT_BEGUN, retry_after_s)
    if owner not in members:
        return Rejected(RejectionReason.UNKNOWN_OWNER, retry_after_s)
    if not link_up(owner):
        return Rejected(RejectionReason.LINK_OUT, retry_after_s)
    return ForwardToOwner(owner, owned.map.generation, deadline_us - now_us)


def _forwarded_rejection(
    owned: RangeOwnership, owner: str, shard_map: ShardMap, forwarded_generation: int
) -> RejectionReason:
    """Why a message that was forwarded here is not processed."""
    if forwarded_generation != shard_map.generation:
        return RejectionReason.GENERATION
    if owner != owned.name:
        return RejectionReason.LOOP
    return RejectionReason.NOT_BEGUN
