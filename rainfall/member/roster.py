"""The service's roster: members and their states, and the list that others watch.

A member is a lease named `member/NAME`. All that outlives the process is in the lease
table (site and dial address are the lease's note); the roster is a view of it, made
anew at each start. Versions count within `epoch`, the table's at the start.

All times are of the service's clock, in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, NamedTuple

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.table import Lease, LeaseGrant, LeaseTable, LeaseUnavailable
from rainfall.lease.types import (
    BAD_REQUEST,
    UNPROCESSABLE,
    EndReason,
    LeaseRejectedError,
    Record,
    RecordKind,
    service_expiry_us,
)

MEMBER_LEASE_PREFIX = "member/"
MAX_NAME_LENGTH = 180
"""Characters of a name, a site, a dial address and the name of a run."""
MAX_DEPARTED_MEMBERS = 8_192
"""Members lost or left that readers are still notified of: a whole fleet.

Each takes about 350 bytes.
"""
MASS_LOSS_MIN_MEMBERS = 2
"""The loss of a single member is no mass loss, however small the fleet."""


class MemberState(StrEnum):
    """A member's state; the value is its form on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Late with its renewal; its lease may still be in force."""
    LOST = "lost"
    LEFT = "left"


# Looking up an enum's member costs more than comparing it; heartbeats use these.
_ALIVE = MemberState.ALIVE
_SUSPECT = MemberState.SUSPECT


@dataclass(frozen=True, slots=True)
class Member:
    """One member as readers see it."""

    name: str
    site: str
    dial: str
    token: Token
    """Identifies its incarnation."""
    state: str
    """The value of a `MemberState`."""
    version: int
    """The version of the list that last changed it."""

    def to_wire(self) -> dict[str, Any]:
        """The member's entry in the list."""
        return {
            "name": self.name,
            "site": self.site,
            "dial": self.dial,
            "token": self.token.to_wire(),
            "state": str(self.state),
        }


class MemberChanges(NamedTuple):
    """The members that a reader has to be notified of."""

    complete: bool
    """Whether these are all active members, in place of what the reader has."""
    members: list[Member]
    """Ordered by name."""


@dataclass(slots=True)
class DivisionFreeze:
    """When the fleet is stable enough to divide work anew.

    It is once the service has been up, with members renewing, for a whole lease without
    a break.
    """

    lease_us: int
    stable_since_us: int | None = None
    last_renewal_us: int = 0
    recent_losses: dict[str, int] = field(default_factory=dict)
    """Members lost within the last whole lease, and when, the oldest first."""

    def record_renewal(self, now_us: int) -> None:
        """A member renewed its lease."""
        if (
            self.stable_since_us is None
            or now_us - self.last_renewal_us > self.lease_us
        ):
            self.stable_since_us = now_us
        self.last_renewal_us = now_us

    def record_loss(self, name: str, now_us: int) -> None:
        """A member was lost; forget losses that are a whole lease old."""
        self.recent_losses.pop(name, None)
        self.recent_losses[name] = now_us
        oldest = next(iter(self.recent_losses))
        while now_us - self.recent_losses[oldest] >= self.lease_us:
            del self.recent_losses[oldest]
            oldest = next(iter(self.recent_losses))

    def ends_at_us(self, now_us: int) -> int:
        """When the freeze ends at the soonest.

        A whole lease from now where members do not renew.
        """
        if (
            self.stable_since_us is None
            or now_us - self.last_renewal_us > self.lease_us
        ):
            return now_us + self.lease_us
        return self.stable_since_us + self.lease_us


class Roster:
    """The members, over a lease table that the caller starts.

    Every record that the table makes goes through `commit` here, whoever asked for it.

    Args:
        table: The lease table.
        ttl_us: The time to live of a member's lease.
        suspect_share: The share of it without a renewal that makes a member suspect.
        mass_loss_share: The share of members that, lost within one lease, stops every
            division.
    """

    def __init__(
        self,
        table: LeaseTable,
        ttl_us: int,
        suspect_share: float = 2 / 3,
        mass_loss_share: float = 0.5,
    ) -> None:
        faults = [
            f"{path}: a share above 0, below 1"
            for path, share in (("late", suspect_share), ("at_once", mass_loss_share))
            if not 0 < share < 1
        ]
        if not table.settings.min_ttl_us <= ttl_us <= table.settings.max_ttl_us:
            faults.append("ttl_us: not within the table's terms")
        if faults:
            raise LeaseRejectedError(UNPROCESSABLE, faults)
        self.table = table
        self.ttl_us = ttl_us
        self.suspect_after_us = int(ttl_us * suspect_share)
        self.mass_loss_share = mass_loss_share
        self.epoch = 0
        self.version = 0
        self.oldest_known_version = 0
        """Readers of older versions need the complete list."""
        self.members: dict[str, Member] = {}
        self._last_renewal_us: dict[str, int] = {}
        """Active members, and when each last renewed."""
        self._departed: dict[str, None] = {}
        """Members lost or left, the earliest first."""
        self._freeze = DivisionFreeze(service_expiry_us(ttl_us, table.settings.drift))
        self._now_us = 0

    def on_started(self, now_us: int) -> None:
        """Take over the table's members once its start record was committed.

        All count as renewed now.
        """
        self._now_us = now_us
        self.epoch = self.table.epoch
        self.version = 1
        self.oldest_known_version = 1
        for lease in self.table.with_prefix(MEMBER_LEASE_PREFIX):
            self._activate(lease)

    def join(
        self,
        now_us: int,
        name: str,
        site: str,
        dial: str,
        run: str = "",
        shown: Token = ZERO_TOKEN,
        seen: Token = ZERO_TOKEN,
    ) -> LeaseGrant | LeaseUnavailable:
        """Acquire the lease of a member; its token identifies the incarnation.

        It is unavailable while another process's lease is in force.

        Args:
            now_us: The present time.
            name: The member's name.
            site: Where it runs.
            dial: The address at which its peers reach it.
            run: Names this run of the process and no other. A join that is sent again
                with it, because its answer was lost, is answered with the same token.
            shown: The token of the lease in force, where the process knows it.
            seen: The highest token that the process has seen.

        Raises:
            LeaseRejectedError: 400 for an invalid call, 422 for too many leases.
        """
        now_us = self._advance_clock(now_us)
        if faults := _join_faults(name, site, dial, run):
            raise LeaseRejectedError(BAD_REQUEST, faults)
        # Without a run two joins of one name cannot be distinguished, so neither is
        # taken for the other.
        holder = f"run {run}" if run else f"join {self.table.next_record_number()}"
        answer = self.table.acquire(
            now_us,
            MEMBER_LEASE_PREFIX + name,
            holder,
            self.ttl_us,
            seen,
            shown,
            {"site": site, "dial": dial},
        )
        if isinstance(answer, LeaseGrant) and self._is_current(name, answer.token):
            self._record_heartbeat(now_us, name)
        return answer

    def heartbeat(
        self, now_us: int, name: str, token: Token, seen: Token = ZERO_TOKEN
    ) -> LeaseGrant | LeaseUnavailable:
        """Renew a member's lease.

        Raises:
            LeaseRejectedError: 409, the lease has expired or is another's: the member
                is fenced and has to join anew.
        """
        now_us = self._advance_clock(now_us)
        answer = self.table.renew(now_us, MEMBER_LEASE_PREFIX + name, token, seen)
        if isinstance(answer, LeaseGrant):
            self._record_heartbeat(now_us, name)
        return answer

    def leave(self, now_us: int, name: str, token: Token) -> Record:
        """Remove a member that shuts down; it does not count as lost.

        Raises:
            LeaseRejectedError: 404 no such member, 409 another token holds its lease.
        """
        now_us = self._advance_clock(now_us)
        return self.table.release(now_us, MEMBER_LEASE_PREFIX + name, token)

    def tick(self, now_us: int) -> list[Record]:
        """Make late members suspect.

        Call it by `next_tick_us` and before anything is divided.

        Returns:
            Records for all leases of the table that have expired on every clock.
        """
        now_us = self._advance_clock(now_us)
        for name in sorted(self._last_renewal_us):
            member = self.members[name]
            if (
                member.state == _ALIVE
                and now_us - self._last_renewal_us[name] >= self.suspect_after_us
            ):
                self._set_state(member, _SUSPECT)
        return self.table.expire(now_us)

    def next_tick_us(self) -> int | None:
        """When `tick` next has something to do; None where nobody holds a lease."""
        times_us = [
            renewed_at_us + self.suspect_after_us
            for name, renewed_at_us in self._last_renewal_us.items()
            if self.members[name].state == _ALIVE
        ]
        expiry_us = self.table.next_expiry_us()
        if expiry_us is not None:
            times_us.append(expiry_us)
        return min(times_us, default=None)

    def frozen_until_us(self, now_us: int) -> int:
        """When the fleet's work may be divided anew at the soonest.

        `now_us` or less: now. After a start or a mass loss, a whole lease has to pass
        from when members renew again.
        """
        return self._freeze.ends_at_us(self._advance_clock(now_us))

    def active_members(self) -> list[Member]:
        """Members that are alive or suspect, ordered by name.

        Only among these is the fleet's work divided.
        """
        return [self.members[name] for name in sorted(self._last_renewal_us)]

    def changes_since(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """The answer to a reader that has version `since` of `epoch`.

        `{"epoch", "version", "whole", "members"}`: see `members_changed_since`.
        """
        changes = self.members_changed_since(since, epoch)
        return {
            "epoch": self.epoch,
            "version": self.version,
            "whole": changes.complete,
            "members": [member.to_wire() for member in changes.members],
        }

    def members_changed_since(
        self, since: int | None, epoch: int | None
    ) -> MemberChanges:
        """The changes since version `since` of `epoch`, merged, with departed members.

        The complete list, without departed members, for a reader from another epoch,
        from a later version, or from one before the oldest that is known.
        """
        if (
            since is None
            or epoch != self.epoch
            or not self.oldest_known_version <= since <= self.version
        ):
            return MemberChanges(True, self.active_members())
        if since == self.version:  # The case of nearly every heartbeat.
            return MemberChanges(False, [])
        changed = [m for m in self.members.values() if m.version > since]
        return MemberChanges(False, sorted(changed, key=lambda m: m.name))

    def commit(self, record: Record) -> None:
        """Apply a record that is on disk to the table, and to the list."""
        lease_name = str(record.get("name", ""))
        before = self.table.read(lease_name)
        self.table.commit(record)
        # The epoch rises where this history was behind another's: then every reader
        # needs the complete list.
        self.epoch = self.table.epoch
        if not lease_name.startswith(MEMBER_LEASE_PREFIX):
            return
        name = lease_name[len(MEMBER_LEASE_PREFIX) :]
        lease = self.table.read(lease_name)
        if record["kind"] == RecordKind.GRANT and lease is not None:
            self._apply_join(name, before, lease)
        elif record["kind"] == RecordKind.END and name in self._last_renewal_us:
            self._apply_departure(name, record["why"])

    def _apply_join(self, name: str, before: Lease | None, lease: Lease) -> None:
        if before is not None and self._now_us >= before.expires_at_us:
            self._record_loss(name)
        self._activate(lease)
        self._record_heartbeat(self._now_us, name)

    def _apply_departure(self, name: str, reason: str) -> None:
        if reason == EndReason.EXPIRED:
            self._record_loss(name)
        del self._last_renewal_us[name]
        left = reason == EndReason.RELEASED
        state = MemberState.LEFT if left else MemberState.LOST
        self._set_state(self.members[name], state)
        self._departed[name] = None
        self._forget_departed()

    def _record_loss(self, name: str) -> None:
        freeze = self._freeze
        freeze.record_loss(name, self._now_us)
        if freeze.stable_since_us is None:  # An earlier loss stopped divisions already.
            return
        # Members late with their renewal are about to be lost too: to leave them out
        # would divide twice.
        lost = {
            *freeze.recent_losses,
            *(
                other
                for other in self._last_renewal_us
                if self.members[other].state == _SUSPECT
            ),
        }
        all_members = {*lost, *self._last_renewal_us}
        is_mass_loss = len(lost) > self.mass_loss_share * len(all_members)
        if len(lost) >= MASS_LOSS_MIN_MEMBERS and is_mass_loss:
            freeze.stable_since_us = None

    def _record_heartbeat(self, now_us: int, name: str) -> None:
        self._last_renewal_us[name] = now_us
        self._freeze.record_renewal(now_us)
        if self.members[name].state == _SUSPECT:
            self._set_state(self.members[name], _ALIVE)

    def _activate(self, lease: Lease) -> None:
        name = lease.name[len(MEMBER_LEASE_PREFIX) :]
        self.version += 1
        self._last_renewal_us[name] = self._now_us
        self._departed.pop(name, None)
        self.members[name] = Member(
            name,
            lease.note["site"],
            lease.note["dial"],
            lease.token,
            MemberState.ALIVE,
            self.version,
        )

    def _set_state(self, member: Member, state: MemberState) -> None:
        self.version += 1
        self.members[member.name] = replace(member, state=state, version=self.version)

    def _forget_departed(self) -> None:
        """Forget those that departed earliest, past `MAX_DEPARTED_MEMBERS`."""
        while len(self._departed) > MAX_DEPARTED_MEMBERS:
            name = next(iter(self._departed))
            del self._departed[name]
            self.oldest_known_version = max(
                self.oldest_known_version, self.members.pop(name).version
            )

    def _is_current(self, name: str, token: Token) -> bool:
        return name in self._last_renewal_us and self.members[name].token == token

    def _advance_clock(self, now_us: int) -> int:
        self._now_us = max(self._now_us, now_us)
        return self._now_us


def _join_faults(name: Any, site: Any, dial: Any, run: Any) -> list[str]:
    """What is wrong with a join, each fault with its path."""
    return [
        f"{path}: a string of {min_length} to {MAX_NAME_LENGTH} characters"
        for path, value, min_length in (
            ("name", name, 1),
            ("site", site, 1),
            ("dial", dial, 1),
            ("run", run, 0),
        )
        if not isinstance(value, str) or not min_length <= len(value) <= MAX_NAME_LENGTH
    ]
