"""What may ride on a member's beat: budgets, the shard map, whatever else rests on who
is in force.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from rainfall.lease.fencing_token import Token
from rainfall.member.roster import Member

Row = dict[str, Any]
"""One change of a rider as it goes to `fleet.log`: a plain object for JSON."""


@dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """What a beat comes to at one rider."""

    plan_soon: bool
    """`plan` is asked soon."""
    waits_for_plan: bool
    """The answer waits until the next plan was made and written, or a second has
    gone.
    """
    answer_fields: Callable[[], dict[str, Any]]
    """The rider's part of the answer to this very beat, by key. Raises OSError where
    what it would tell is not on disk: the beat is answered 507, and comes again.
    """


class HeartbeatExtension(Protocol):
    """Called from the service's loop only; times are its own clock's.

    Nothing a rider decides is told before the rows of it are on disk: it makes rows in
    `plan`, and changes what it tells in `commit`.
    """

    name: str
    """Of its rows on disk; never changed."""

    def restore(
        self, now_us: int, state_complete: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        """Once, at the start.

        `sure`: the folder is whole as the last process left it. Raises KeyError,
        TypeError or ValueError where the rows are none of its own.
        """

    def find_faults(self, beat: Mapping[str, Any]) -> list[str]:
        """All faults of its part of a beat, each with its path; nothing is changed
        where anyone has one.
        """

    def member_joined(
        self, now_us: int, name: str, token: Token, follows: Token | None
    ) -> None:
        """A member is in force from now on.

        `follows`: the same member's token that this one replaces while its lease was
        not out; the process that had it acts under it no more.
        """

    def on_heartbeat(
        self, now_us: int, name: str, token: Token, beat: Mapping[str, Any]
    ) -> bool:
        """A member in force has beaten; `beat` is the whole body, checked.

        True: `plan` is asked soon.
        """

    def answer_fields(self, now_us: int, name: str, token: Token) -> dict[str, Any]:
        """Its part of the answer, by key."""

    def lease_expired(self, now_us: int, token: Token) -> None:
        """The lease is surely out on every clock: nothing more is done under this
        token.
        """

    def member_ended(self, now_us: int, token: Token) -> None:
        """The member itself said that it does nothing more under this token."""

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        """What is to change, to be written.

        Not asked again before all rows of the last plan were committed or abandoned.
        `frozen`: after a mass loss or a start; nothing is divided anew among members,
        though what makes things safer may go on.
        """

    def commit(self, now_us: int, row: Row) -> None:
        """A row is on disk: from now on it holds, and may be told."""

    def abandon(self, row: Row) -> None:
        """A row could not be written, and does not hold."""

    def next_us(self) -> int | None:
        """When `plan` has something to do though nobody beats; None where only a beat
        can bring it.
        """

    def snapshot(self) -> Row:
        """All that is committed."""


class BaseHeartbeatExtension(HeartbeatExtension):
    """A rider that asks for more than members' lives.

    Each of these has a default that asks for nothing.
    """

    def handle_heartbeat(
        self,
        now_us: int,
        until_us: int,
        name: str,
        token: Token,
        beat: Mapping[str, Any],
    ) -> HeartbeatResult:
        """In place of `beat` and `told`, where an answer must be that of one beat.

        `until_us`: the lease is surely out then. May raise bodies.Refused: the beat
        renewed the lease, and did nothing else.
        """
        return HeartbeatResult(
            self.on_heartbeat(now_us, name, token, beat),
            False,
            lambda: self.answer_fields(now_us, name, token),
        )

    def on_heartbeat(
        self, now_us: int, name: str, token: Token, beat: Mapping[str, Any]
    ) -> bool:
        return False

    def answer_fields(self, now_us: int, name: str, token: Token) -> dict[str, Any]:
        return {}

    def epoch_raised(self, epoch: int) -> None:
        """The epoch of tokens given from now on: once before `restored`, and whenever
        it rises.
        """

    def service_started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        """Once, after `restored`: who is in force, as if renewed now, and when each
        lease is surely out.
        """

    def member_resumed(
        self,
        now_us: int,
        name: str,
        token: Token,
        previous_token: Token,
        kept_reserves: Mapping[str, int],
    ) -> None:
        """After `joined`, also after a start again: the same process, or the one whose
        folder it took over under lock, was known by the token `shown` before, and keeps
        so much of each reserve from then.
        """

    def concerned_members(self, row: Row) -> Collection[str] | None:
        """Names of the members who are told something new by a row just committed;
        None: all.
        """
        return None


def dispatch_heartbeat(
    extension: HeartbeatExtension,
    now_us: int,
    until_us: int,
    name: str,
    token: Token,
    beat: Mapping[str, Any],
) -> HeartbeatResult:
    """A beat at any rider."""
    if isinstance(extension, BaseHeartbeatExtension):
        return extension.handle_heartbeat(now_us, until_us, name, token, beat)
    return HeartbeatResult(
        extension.on_heartbeat(now_us, name, token, beat),
        False,
        lambda: extension.answer_fields(now_us, name, token),
    )
