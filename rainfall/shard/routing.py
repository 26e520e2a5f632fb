"""Routing of a message at the member that received it.

The message is processed locally, forwarded once to the owner of its key, or rejected.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import StrEnum

from rainfall.lease.fencing_token import Token
from rainfall.shard.ownership import RangeOwnership
from rainfall.shard.shard_map import ShardMap


class RejectionReason(StrEnum):
    """Why a message is rejected; the values appear in logs and metrics."""

    NO_MAP = "no map"
    LATE = "late"
    """The deadline of the message has passed."""
    NOT_BEGUN = "not begun"
    """The map assigns the key to this member, which does not hold it yet."""
    LOOP = "loop"
    """A member with the same map forwarded the message to a member that is not the owner."""
    GENERATION = "generation"
    """The forwarding member used a map of another generation."""
    UNKNOWN_OWNER = "unknown owner"
    """The owner by the map is not among the known members."""
    LINK_DOWN = "link out"
    """The link to the owner is down."""


@dataclass(frozen=True, slots=True)
class ActLocally:
    """This member processes the message under `token`."""

    token: Token


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """The message is forwarded to the owner of its key."""

    owner: str
    generation: int
    """The generation of this member's map."""
    remaining_us: int
    """Time until the message's deadline."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The message is not accepted: 503 with `Retry-After`."""

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
    """Decide whether a message is processed locally, forwarded or rejected.

    A member that acts on the key accepts the message, whichever map the sender had, since
    no other member acts on the key. A forwarded message is never forwarded again, which
    prevents loops.

    Args:
        owned: This member's ranges and map.
        key: The message's key.
        now_us: The current time.
        deadline_us: The message's deadline.
        forwarded_generation: The map generation of the member that forwarded the
            message; None if it was not forwarded.
        members: Names of the known members.
        link_up: Returns whether the link to a member is up.
        retry_after_s: The `Retry-After` of a rejection, in seconds.
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
        return Rejected(RejectionReason.LINK_DOWN, retry_after_s)
    return ForwardToOwner(owner, owned.map.generation, deadline_us - now_us)


def _forwarded_rejection(
    owned: RangeOwnership, owner: str, shard_map: ShardMap, forwarded_generation: int
) -> RejectionReason:
    """Return why a message that was forwarded to this member is rejected."""
    if forwarded_generation != shard_map.generation:
        return RejectionReason.GENERATION
    if owner != owned.name:
        return RejectionReason.LOOP
    return RejectionReason.NOT_BEGUN
