"""Heartbeat extensions: parts of the fleet that exchange data in members' heartbeats.

Budgets and the shard map are extensions. Each has its own fields in a heartbeat and its
answer, its own rows in `fleet.log`, and learns who is a member.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from rainfall.lease.fencing_token import Token
from rainfall.member.roster import Member

Row = dict[str, Any]
"""One change of an extension as it is stored in `fleet.log`: a plain object for JSON."""


@dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """What one heartbeat leads to at one extension."""

    plan_soon: bool
    """Whether `plan` is to be called soon."""
    waits_for_plan: bool
    """Whether the answer waits until the next plan is stored, or a second is over."""
    answer_fields: Callable[[], dict[str, Any]]
    """Makes the extension's fields of the answer to this heartbeat.

    Raises OSError if what the answer would say is not stored: the heartbeat is answered
    507, and the member sends another.
    """


class HeartbeatExtension(Protocol):
    """What the fleet asks of each extension, from the event loop alone.

    Times are microseconds of the service's monotonic clock. Nothing that an extension
    decides is sent before it is stored: `plan` makes rows, and `commit` changes what is
    sent.
    """

    name: str
    """The part of its rows in `fleet.log`; never changed."""

    def restore(
        self, now_us: int, state_complete: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        """Called once, at the start.

        `state_complete` says that the log is as the last process left it. Raises
        KeyError, TypeError or ValueError if the rows are not the extension's.
        """

    def find_faults(self, body: Mapping[str, Any]) -> list[str]:
        """All faults of its fields in a heartbeat, each with its path.

        The heartbeat changes nothing if any extension finds a fault.
        """

    def member_joined(
        self, now_us: int, name: str, token: Token, replaced_token: Token | None
    ) -> None:
        """A member is in force from now on.

        `replaced_token` is the same member's token that this one replaces before its lease has
        expired; the process that had it does nothing more under it.
        """

    def on_heartbeat(
        self, now_us: int, name: str, token: Token, body: Mapping[str, Any]
    ) -> bool:
        """A member in force has sent a heartbeat; `body` is its checked body.

        Returns whether `plan` is to be called soon.
        """

    def answer_fields(self, now_us: int, name: str, token: Token) -> dict[str, Any]:
        """Its fields of the answer."""

    def lease_expired(self, now_us: int, token: Token) -> None:
        """The lease has expired on every clock: nothing more is done under the token."""

    def member_ended(self, now_us: int, token: Token) -> None:
        """The member itself said that it does nothing more under the token."""

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        """The rows that are to be stored now.

        Not called again before each row of the last plan was committed or abandoned.
        `frozen` is set for a time after a start, or after many members were lost:
        nothing is then divided anew among members, though what makes things safer goes
        on.
        """

    def commit(self, now_us: int, row: Row) -> None:
        """A row is stored: it is in force from now on, and may be sent."""

    def abandon(self, row: Row) -> None:
        """A row could not be stored, and is not in force."""

    def next_us(self) -> int | None:
        """When `plan` has something to do without a heartbeat; None: only with one."""

    def snapshot(self) -> Row:
        """All that is committed."""


class BaseHeartbeatExtension(HeartbeatExtension):
    """An extension that learns more than who is a member.

    Its further methods have defaults that do nothing.
    """

    def handle_heartbeat(
        self,
        now_us: int,
        _until_us: int,
        name: str,
        token: Token,
        body: Mapping[str, Any],
    ) -> HeartbeatResult:
        """Handle a heartbeat whose answer has to be that of this very heartbeat.

        Called in place of `on_heartbeat` and `answer_fields`. The second argument is
        when the lease has expired on every clock. May raise RequestError: the heartbeat
        has renewed the lease, and does nothing else.
        """
        plan_soon = self.on_heartbeat(now_us, name, token, body)
        return HeartbeatResult(
            plan_soon, False, lambda: self.answer_fields(now_us, name, token)
        )

    def on_heartbeat(
        self, _now_us: int, _name: str, _token: Token, _beat: Mapping[str, Any]
    ) -> bool:
        """By default nothing is to be planned."""
        return False

    def answer_fields(self, _now_us: int, _name: str, _token: Token) -> dict[str, Any]:
        """By default the answer has no further fields."""
        return {}

    def epoch_raised(self, epoch: int) -> None:
        """The epoch of tokens granted from now on.

        Called once before `restore`, and whenever the epoch rises.
        """

    def service_started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        """Called once, after `restore`.

        Each member in force comes with the time when its lease has expired on every
        clock, as if it were renewed now.
        """

    def member_resumed(
        self,
        now_us: int,
        name: str,
        token: Token,
        previous_token: Token,
        kept_reserves: Mapping[str, int],
    ) -> None:
        """A member is the process, or its successor, that had `previous_token`.

        Called after `member_joined`, and again after a restart of the service. A
        successor has taken over the state folder under its lock. `kept_reserves` is
        what it uses of each reserve from before, by destination.
        """

    def concerned_members(self, _row: Row) -> Collection[str] | None:
        """The names of members to whom a committed row says something new; None: all."""
        return None


def dispatch_heartbeat(
    extension: HeartbeatExtension,
    now_us: int,
    until_us: int,
    name: str,
    token: Token,
    body: Mapping[str, Any],
) -> HeartbeatResult:
    """Let an extension of either kind handle a heartbeat."""
    if isinstance(extension, BaseHeartbeatExtension):
        return extension.handle_heartbeat(now_us, until_us, name, token, body)
    plan_soon = extension.on_heartbeat(now_us, name, token, body)
    return HeartbeatResult(
        plan_soon, False, lambda: extension.answer_fields(now_us, name, token)
    )
