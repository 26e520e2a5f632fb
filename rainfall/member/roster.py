"""The service's roster: members, their states, and the versioned member list.

A member is a lease named `member/NAME`, with its site and dial address in the lease's
note. Only the lease table is persisted; the roster is rebuilt from it at each start.
Versions of the list increase within an `epoch`, which is the lease table's.

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
"""Maximum length of a name, a site, a dial address and a run id, in characters."""
MAX_DEPARTED_MEMBERS = 8_192
"""Maximum number of lost or left members kept in the list for readers.

The limit has room for a whole fleet; each member takes about 350 bytes.
"""
MASS_LOSS_MIN_MEMBERS = 2
"""A loss of fewer members than this is not a mass loss, however small the fleet."""


class MemberState(StrEnum):
    """A member's state; the value is its form on the wire."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Its renewal is overdue; its lease may still be in force."""
    LOST = "lost"
    LEFT = "left"


# Attribute access on an enum costs more than the comparison; heartbeats use these.
_ALIVE = MemberState.ALIVE
_SUSPECT = MemberState.SUSPECT


@dataclass(frozen=True, slots=True)
class Member:
    """An entry of the member list."""

    name: str
    site: str
    dial: str
    token: Token
    """Identifies the member's incarnation."""
    state: str
    """The value of a `MemberState`."""
    version: int
    """The version of the list in which this entry last changed."""

    def to_wire(self) -> dict[str, Any]:
        """The entry's form on the wire."""
        return {
            "name": self.name,
            "site": self.site,
            "dial": self.dial,
            "token": self.token.to_wire(),
            "state": str(self.state),
        }


class MemberChanges(NamedTuple):
    """The entries to send to a reader."""

    complete: bool
    """Whether `members` is the complete list and replaces the reader's copy."""
    members: list[Member]
    """Ordered by name."""


@dataclass(slots=True)
class DivisionFreeze:
    """Stops the fleet's work from being divided anew until the fleet is stable.

    The fleet is stable once members have renewed for a whole lease since the start or
    the last mass loss, with no gap between renewals longer than a lease.
    """

    lease_us: int
    """The time until a lease has expired on every clock."""
    stable_since_us: int | None = None
    """When the current series of renewals without a gap began; None if there is none."""
    last_renewal_us: int = 0
    recent_losses: dict[str, int] = field(default_factory=dict)
    """Time of each loss within the last whole lease, by member, oldest first."""

    def record_renewal(self, now_us: int) -> None:
        """Record that a member renewed its lease."""
        if (
            self.stable_since_us is None
            or now_us - self.last_renewal_us > self.lease_us
        ):
            self.stable_since_us = now_us
        self.last_renewal_us = now_us

    def record_loss(self, name: str, now_us: int) -> None:
        """Record that a member was lost; drop losses that are a whole lease old."""
        self.recent_losses.pop(name, None)
        self.recent_losses[name] = now_us
        oldest = next(iter(self.recent_losses))
        while now_us - self.recent_losses[oldest] >= self.lease_us:
            del self.recent_losses[oldest]
            oldest = next(iter(self.recent_losses))

    def ends_at_us(self, now_us: int) -> int:
        """The earliest end of the freeze.

        A whole lease from now if no member has renewed within the last lease.
        """
        if (
            self.stable_since_us is None
            or now_us - self.last_renewal_us > self.lease_us
        ):
            return now_us + self.lease_us
        return self.stable_since_us + self.lease_us


class Roster:
    """The members of the fleet, by the leases of a table that the caller starts.

    Every record of the table has to be committed by `commit` of the roster, including
    records of leases that are not members.

    Args:
        table: The lease table.
        ttl_us: The time to live of a member's lease.
        suspect_fraction: A member becomes suspect without a renewal for this fraction of
            `ttl_us`.
        mass_loss_fraction: Divisions freeze when more than this fraction of the members is
            lost within one lease.

    Raises:
        LeaseRejectedError: 422, an argument is out of range.
    """

    def __init__(
        self,
        table: LeaseTable,
        ttl_us: int,
        suspect_fraction: float = 2 / 3,
        mass_loss_fraction: float = 0.5,
    ) -> None:
        faults = [
            f"{path}: must be above 0 and below 1"
            for path, fraction in (
                ("late", suspect_fraction),
                ("at_once", mass_loss_fraction),
            )
            if not 0 < fraction < 1
        ]
        if not table.settings.min_ttl_us <= ttl_us <= table.settings.max_ttl_us:
            faults.append("ttl_us: outside the lease table's limits")
        if faults:
            raise LeaseRejectedError(UNPROCESSABLE, faults)
        self.table = table
        self.ttl_us = ttl_us
        self.suspect_after_us = int(ttl_us * suspect_fraction)
        self.mass_loss_fraction = mass_loss_fraction
        self.epoch = 0
        self.version = 0
        self.oldest_known_version = 0
        """Readers of an older version are sent the complete list."""
        self.members: dict[str, Member] = {}
        self._last_renewal_us: dict[str, int] = {}
        """When each active member last renewed."""
        self._departed: dict[str, None] = {}
        """Members lost or left, the earliest first; the values are unused."""
        self._freeze = DivisionFreeze(service_expiry_us(ttl_us, table.settings.drift))
        self._now_us = 0

    def on_started(self, now_us: int) -> None:
        """Load the members from the table after its start record was committed.

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
        presented_token: Token = ZERO_TOKEN,
        highest_seen: Token = ZERO_TOKEN,
    ) -> LeaseGrant | LeaseUnavailable:
        """Acquire the lease of a member; its token identifies the incarnation.

        The result is `LeaseUnavailable` while another process's lease is in force.

        Args:
            now_us: The present time.
            name: The member's name.
            site: The site that the member runs at.
            dial: The address at which peers connect to the member.
            run: Unique id of this run of the process; may be empty. A join that is
                repeated with the same id, because its answer was lost, returns the same
                token.
            presented_token: The token of the lease in force, if the process has it.
            highest_seen: The highest token that the process has seen.

        Raises:
            LeaseRejectedError: 400 for an invalid request, 422 for too many leases.
        """
        now_us = self._advance_clock(now_us)
        if faults := _join_faults(name, site, dial, run):
            raise LeaseRejectedError(BAD_REQUEST, faults)
        # Without a run id a repeated join looks like another process's join, so each
        # join counts as another holder.
        holder = f"run {run}" if run else f"join {self.table.next_record_number()}"
        answer = self.table.acquire(
            now_us,
            MEMBER_LEASE_PREFIX + name,
            holder,
            self.ttl_us,
            highest_seen,
            presented_token,
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
            LeaseRejectedError: 409, the lease has expired or has another token: the
                member is fenced and has to join again.
        """
        now_us = self._advance_clock(now_us)
        answer = self.table.renew(now_us, MEMBER_LEASE_PREFIX + name, token, seen)
        if isinstance(answer, LeaseGrant):
            self._record_heartbeat(now_us, name)
        return answer

    def leave(self, now_us: int, name: str, token: Token) -> Record:
        """Remove a member that shuts down; it does not count as lost.

        Raises:
            LeaseRejectedError: 404, no such member; 409, its lease has another token.
        """
        now_us = self._advance_clock(now_us)
        return self.table.release(now_us, MEMBER_LEASE_PREFIX + name, token)

    def tick(self, now_us: int) -> list[Record]:
        """Mark members with an overdue renewal as suspect.

        Call it at `next_tick_us` at the latest, and before each division.

        Returns:
            Records that end all leases of the table that have expired on every clock.
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
        """When `tick` is due next; None without leases."""
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
        """When the fleet's work may be divided again at the earliest.

        It may be divided now if the result is `now_us` or less. After a start or a mass
        loss, a whole lease has to pass from the first renewal on.
        """
        return self._freeze.ends_at_us(self._advance_clock(now_us))

    def active_members(self) -> list[Member]:
        """Members that are alive or suspect, ordered by name.

        The fleet's work is divided only among them.
        """
        return [self.members[name] for name in sorted(self._last_renewal_us)]

    def changes_since(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """The list update for a reader that has version `since` of `epoch`.

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
        """The entries changed since version `since` of `epoch`, departed members included.

        The result is the complete list, without departed members, if the epoch differs,
        or if the version is later than the current or older than `oldest_known_version`.
        """
        if (
            since is None
            or epoch != self.epoch
            or not self.oldest_known_version <= since <= self.version
        ):
            return MemberChanges(True, self.active_members())
        if since == self.version:  # The case of nearly every heartbeat.
            return MemberChanges(False, [])
        changed = [member for member in self.members.values() if member.version > since]
        return MemberChanges(False, sorted(changed, key=lambda member: member.name))

    def commit(self, record: Record) -> None:
        """Apply a record that is on disk to the table and to the list."""
        lease_name = str(record.get("name", ""))
        before = self.table.read(lease_name)
        self.table.commit(record)
        # The epoch rises if a client has seen a token of a later history: every reader
        # then needs the complete list.
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
        self._evict_departed()

    def _record_loss(self, name: str) -> None:
        freeze = self._freeze
        freeze.record_loss(name, self._now_us)
        if freeze.stable_since_us is None:  # Already frozen by an earlier loss.
            return
        # Suspect members may be lost next: if they were not counted, work would be
        # divided once for this loss and again for theirs.
        lost = {
            *freeze.recent_losses,
            *(
                other
                for other in self._last_renewal_us
                if self.members[other].state == _SUSPECT
            ),
        }
        all_members = {*lost, *self._last_renewal_us}
        is_mass_loss = len(lost) > self.mass_loss_fraction * len(all_members)
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

    def _evict_departed(self) -> None:
        """Evict the earliest departed members beyond `MAX_DEPARTED_MEMBERS`."""
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
    """Faults of a join, each with its path."""
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
