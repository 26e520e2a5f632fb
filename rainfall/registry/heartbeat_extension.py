"""Heartbeat extensions: parts of the fleet that exchange data in members' heartbeats.

Budgets and the shard map are extensions. Each has its own fields in heartbeats and their
answers and its own rows in `fleet.log`, and is notified of members that join and leave.
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
    """The result of one heartbeat at one extension."""

    plan_soon: bool
    """Whether `plan` should be called soon."""
    waits_for_plan: bool
    """Whether the answer waits for the next plan to be stored, for at most a second."""
    answer_fields: Callable[[], dict[str, Any]]
    """Makes the extension's fields of the answer to this heartbeat.

    Raises OSError if the state that the answer depends on is not stored: the heartbeat is
    answered 507, and the member retries.
    """


class HeartbeatExtension(Protocol):
    """The interface of an extension; all methods are called from the event loop.

    Times are microseconds of the service's monotonic clock. No decision of an extension
    is sent before it is stored: `plan` makes rows, and only `commit` puts them in force.
    """

    name: str
    """The part name of its rows in `fleet.log`; stored, so it must never change."""

    def restore(
        self, now_us: int, state_complete: bool, snapshot: Row | None, rows: list[Row]
    ) -> None:
        """Restore the state from the log; called once, at the start.

        `state_complete` is false if the log may be an older copy. Raises KeyError,
        TypeError or ValueError if the rows are not valid rows of this extension.
        """

    def find_faults(self, body: Mapping[str, Any]) -> list[str]:
        """Return all faults of the extension's fields in a heartbeat, with their paths.

        A heartbeat in which any extension finds a fault is rejected without effect.
        """

    def member_joined(
        self, now_us: int, name: str, token: Token, replaced_token: Token | None
    ) -> None:
        """A member has joined.

        `replaced_token` is the previous token of the same member, if its lease has not
        expired; no process acts under that token any more.
        """

    def on_heartbeat(
        self, now_us: int, name: str, token: Token, body: Mapping[str, Any]
    ) -> bool:
        """A member has sent a heartbeat with the validated body `body`.

        Returns whether `plan` should be called soon.
        """

    def answer_fields(self, now_us: int, name: str, token: Token) -> dict[str, Any]:
        """Return the extension's fields of the answer to a heartbeat."""

    def lease_expired(self, now_us: int, token: Token) -> None:
        """The lease has expired on every clock: no process acts under the token any more."""

    def member_ended(self, now_us: int, token: Token) -> None:
        """The member has released its lease: it does not act under the token any more."""

    def plan(self, now_us: int, frozen: bool, members: list[Member]) -> list[Row]:
        """Return the rows to store now.

        Not called again before each row of the last plan was committed or abandoned.
        `frozen` is true for a time after a start, or after many members were lost: the
        extension then does not rebalance among members, but still plans changes that make
        the state safer.
        """

    def commit(self, now_us: int, row: Row) -> None:
        """Put a stored row in force; its content may be sent from now on."""

    def abandon(self, row: Row) -> None:
        """Handle the failed write of a row: the row is not in force."""

    def next_us(self) -> int | None:
        """Return when `plan` is due without a heartbeat; None if only heartbeats trigger it."""

    def snapshot(self) -> Row:
        """Return the committed state, which replaces all rows stored so far."""


class BaseHeartbeatExtension(HeartbeatExtension):
    """An extension with further notifications and control over its answers.

    The default methods add nothing.
    """

    def handle_heartbeat(
        self,
        now_us: int,
        _until_us: int,
        name: str,
        token: Token,
        body: Mapping[str, Any],
    ) -> HeartbeatResult:
        """Handle a heartbeat, and return the result for this heartbeat in particular.

        Called instead of `on_heartbeat` and `answer_fields`. The second argument is the
        time when the lease has expired on every clock. May raise RequestError; the
        heartbeat has then only renewed the lease.
        """
        plan_soon = self.on_heartbeat(now_us, name, token, body)
        return HeartbeatResult(
            plan_soon, False, lambda: self.answer_fields(now_us, name, token)
        )

    def on_heartbeat(
        self, _now_us: int, _name: str, _token: Token, _body: Mapping[str, Any]
    ) -> bool:
        """Return False: by default no plan is needed."""
        return False

    def answer_fields(self, _now_us: int, _name: str, _token: Token) -> dict[str, Any]:
        """Return no fields by default."""
        return {}

    def epoch_raised(self, epoch: int) -> None:
        """New tokens are granted in this epoch from now on.

        Called once before `restore`, and whenever the epoch rises.
        """

    def service_started(self, now_us: int, members: list[tuple[Member, int]]) -> None:
        """The service has started; called once, after `restore`.

        `members` are the members in force, each with the time when its lease has expired
        on every clock, counted as if it were renewed now.
        """

    def member_resumed(
        self,
        now_us: int,
        name: str,
        token: Token,
        previous_token: Token,
        kept_reserves: Mapping[str, int],
    ) -> None:
        """A member has resumed under a new token in place of `previous_token`.

        It is the same process, or a successor that has taken over the state folder under
        its lock. Called after `member_joined`, and again after a restart of the service.
        `kept_reserves` are the calls of each earlier reserve that stay in use, by
        destination.
        """

    def concerned_members(self, _row: Row) -> Collection[str] | None:
        """Return the names of the members that a committed row concerns; None: all."""
        return None


def dispatch_heartbeat(
    extension: HeartbeatExtension,
    now_us: int,
    until_us: int,
    name: str,
    token: Token,
    body: Mapping[str, Any],
) -> HeartbeatResult:
    """Pass a heartbeat to an extension, whether or not it is a base extension."""
    if isinstance(extension, BaseHeartbeatExtension):
        return extension.handle_heartbeat(now_us, until_us, name, token, body)
    plan_soon = extension.on_heartbeat(now_us, name, token, body)
    return HeartbeatResult(
        plan_soon, False, lambda: extension.answer_fields(now_us, name, token)
    )
