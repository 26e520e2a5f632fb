"""The service's roster: members as leases named `member/NAME`, their states, and the
list that is watched.

All that outlives the process is in the lease table (site and dial addresses are the
lease's note); the roster is a view of it and can be made anew at any start. Versions
count within `epoch`, the table's at the start.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.table import Lease, LeaseGrant, LeaseTable, LeaseUnavailable
from rainfall.lease.types import LeaseRejectedError, Record, service_expiry_us

MEMBER_LEASE_PREFIX = "member/"
MAX_NAME_LENGTH = 180  # characters of a name and of a run
# members lost or left that are still told of, so a whole fleet; 350 bytes each
MAX_DEPARTED_MEMBERS = 8_192


@dataclass(frozen=True, slots=True)
class Member:
    """One member as it is told.

    `token` is its incarnation, `state` alive, suspect, lost or left, `version` the one
    that last changed it.
    """

    name: str
    site: str
    dial: str
    token: Token
    state: str
    version: int

    def to_wire(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "site": self.site,
            "dial": self.dial,
            "token": self.token.to_wire(),
            "state": self.state,
        }


@dataclass(slots=True)
class DivisionFreeze:
    """The renewed guard: how long the service has been up, unbroken, with members
    renewing.
    """

    lease_us: int
    stable_since_us: int | None = None
    last_renewal_us: int = 0
    recent_losses: dict[str, int] = field(default_factory=dict)

    def record_renewal(self, now_us: int) -> None:
        if (
            self.stable_since_us is None
            or now_us - self.last_renewal_us > self.lease_us
        ):
            self.stable_since_us = now_us
        self.last_renewal_us = now_us

    def record_loss(self, name: str, now_us: int) -> None:
        """Of those lost, the ones of the last whole lease stay, in their order."""
        self.recent_losses.pop(name, None)
        self.recent_losses[name] = now_us
        while (
            now_us - self.recent_losses[oldest := next(iter(self.recent_losses))]
            >= self.lease_us
        ):
            del self.recent_losses[oldest]

    def ends_at_us(self, now_us: int) -> int:
        """When it is over at the soonest; a whole lease from now where members do not
        renew.
        """
        if (
            self.stable_since_us is None
            or now_us - self.last_renewal_us > self.lease_us
        ):
            return now_us + self.lease_us
        return self.stable_since_us + self.lease_us


class Roster:
    """Over a table that the caller starts.

    Every record the table makes, whoever asked for it, goes through `commit` here.
    `late`: the share of the ttl without a renewal that makes a member suspect.
    `at_once`: the share of members that, lost within one lease, stops every division.
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
            raise LeaseRejectedError(422, faults)
        self.table, self.ttl_us, self.suspect_after_us, self.mass_loss_share = (
            table,
            ttl_us,
            int(ttl_us * suspect_share),
            mass_loss_share,
        )
        self.epoch = self.version = self.oldest_known_version = 0
        self.members: dict[str, Member] = {}
        self._last_renewal_us: dict[str, int] = {}
        """Members in force, and when each last renewed."""
        self._departed: dict[str, None] = {}
        """Members lost or left, the one that went first before the others."""
        self._freeze = DivisionFreeze(service_expiry_us(ttl_us, table.settings.drift))
        self._now_us = 0

    def on_started(self, now_us: int) -> None:
        """Right after the table's start record was committed: all it knows count as
        renewed now.
        """
        self._now_us, self.epoch = now_us, self.table.epoch
        self.version = self.oldest_known_version = 1
        for lease in self.table.with_prefix(MEMBER_LEASE_PREFIX):
            self._activate(lease)

    # -- what members call
    # ----------------------------------------------------------------------------

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
        """A lease on the name; its token is the incarnation.

        Held (to be told as 409, with when to come again) while another process's lease
        is in force, unless its token is `shown`. `run` names this run of the process
        and no other: a join sent again with it, its answer lost, is told the same
        token. Refused: 400, 422 as the table's.
        """
        now_us = self._advance_clock(now_us)
        if faults := [
            f"{path}: a string of {least} to {MAX_NAME_LENGTH} characters"
            for path, value, least in (
                ("name", name, 1),
                ("site", site, 1),
                ("dial", dial, 1),
                ("run", run, 0),
            )
            if not isinstance(value, str) or not least <= len(value) <= MAX_NAME_LENGTH
        ]:
            raise LeaseRejectedError(400, faults)
        # Without a run two joins of one name cannot be told apart, so neither is taken
        # for the other.
        holder = f"run {run}" if run else f"join {self.table.next_record_number()}"
        made = self.table.acquire(
            now_us,
            MEMBER_LEASE_PREFIX + name,
            holder,
            self.ttl_us,
            seen,
            shown,
            {"site": site, "dial": dial},
        )
        if isinstance(made, LeaseGrant) and self._is_current(name, made.token):
            self._record_heartbeat(now_us, name)
        return made

    def heartbeat(
        self, now_us: int, name: str, token: Token, seen: Token = ZERO_TOKEN
    ) -> LeaseGrant | LeaseUnavailable:
        """Renewed.

        Refused(409): the lease is out or another's, the member is fenced and joins
        anew.
        """
        now_us = self._advance_clock(now_us)
        made = self.table.renew(now_us, MEMBER_LEASE_PREFIX + name, token, seen)
        if isinstance(made, LeaseGrant):
            self._record_heartbeat(now_us, name)
        return made

    def leave(self, now_us: int, name: str, token: Token) -> Record:
        """In order: gone at once, and not counted as lost. Refused: 404, 409."""
        return self.table.release(
            self._advance_clock(now_us), MEMBER_LEASE_PREFIX + name, token
        )

    # -- time
    # ------------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> list[Record]:
        """Late members become suspect; records for all leases of the table that are
        surely out. Call it by `next_us` and before anything is divided.
        """
        now_us = self._advance_clock(now_us)
        for name in sorted(self._last_renewal_us):
            member = self.members[name]
            if (
                member.state == "alive"
                and now_us - self._last_renewal_us[name] >= self.suspect_after_us
            ):
                self._set_state(member, "suspect")
        return self.table.expire(now_us)

    def next_tick_us(self) -> int | None:
        """When `tick` next has something to do; None where nobody holds anything."""
        late = [
            at + self.suspect_after_us
            for name, at in self._last_renewal_us.items()
            if self.members[name].state == "alive"
        ]
        out = self.table.next_expiry_us()
        return min([*late, *([] if out is None else [out])], default=None)

    def frozen_until_us(self, now_us: int) -> int:
        """Before this nothing fleet-wide is divided anew, at the soonest; `now_us` or
        less: it may be. So for a whole lease after a start or a loss of many, counted
        from where members renew again.
        """
        return self._freeze.ends_at_us(self._advance_clock(now_us))

    # -- the list
    # --------------------------------------------------------------------------------------

    def active_members(self) -> list[Member]:
        """Alive and suspect, by name: among these, and only these, the fleet is
        divided.
        """
        return [self.members[name] for name in sorted(self._last_renewal_us)]

    def changes_since(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """The answer to a reader who has version `since` of `epoch`: `{"epoch",
        "version", "whole", "members"}`. Changes since then, merged, those that are gone
        included; the whole list, without them, to a reader from another epoch, from
        ahead, or from before what is still told of.
        """
        whole, found = self.members_changed_since(since, epoch)
        return {
            "epoch": self.epoch,
            "version": self.version,
            "whole": whole,
            "members": [m.to_wire() for m in found],
        }

    def members_changed_since(
        self, since: int | None, epoch: int | None
    ) -> tuple[bool, list[Member]]:
        """Whether these are the whole list, and the members that `owed` tells of, by
        name.
        """
        if (
            since is None
            or epoch != self.epoch
            or not self.oldest_known_version <= since <= self.version
        ):
            return True, self.active_members()
        if since == self.version:  # nearly every beat
            return False, []
        changed = [m for m in self.members.values() if m.version > since]
        return False, sorted(changed, key=lambda m: m.name)

    # -- records
    # ---------------------------------------------------------------------------------------

    def commit(self, record: Record) -> None:
        """Take a record that is on disk into the table, and into the list where it is a
        member's.
        """
        full = str(record.get("name", ""))
        before = self.table.read(full)
        self.table.commit(record)
        self.epoch = (
            self.table.epoch
        )  # a history found to be behind another's: all read the whole list
        if not full.startswith(MEMBER_LEASE_PREFIX):
            return
        name, lease = full[len(MEMBER_LEASE_PREFIX) :], self.table.read(full)
        if record["kind"] == "grant" and lease is not None:
            if before is not None and self._now_us >= before.expires_at_us:
                self._record_loss(name)
            self._activate(lease)
            self._record_heartbeat(self._now_us, name)
        elif record["kind"] == "end" and name in self._last_renewal_us:
            if record["why"] == "out":
                self._record_loss(name)
            del self._last_renewal_us[name]
            self._set_state(
                self.members[name], "left" if record["why"] == "released" else "lost"
            )
            self._departed[name] = None
            self._forget_departed()

    # -- helpers
    # ---------------------------------------------------------------------------------------

    def _record_loss(self, name: str) -> None:
        quiet, now_us = self._freeze, self._now_us
        quiet.record_loss(name, now_us)
        if (
            quiet.stable_since_us is None
        ):  # many at once: those before this one have stopped it already
            return
        # Those whose renewals are late already will be lost in moments: waiting for
        # them would divide twice.
        gone = {
            *quiet.recent_losses,
            *(n for n in self._last_renewal_us if self.members[n].state == "suspect"),
        }
        there = {*gone, *self._last_renewal_us}
        if len(gone) >= 2 and len(gone) > self.mass_loss_share * len(there):
            quiet.stable_since_us = None

    def _record_heartbeat(self, now_us: int, name: str) -> None:
        self._last_renewal_us[name] = now_us
        self._freeze.record_renewal(now_us)
        if self.members[name].state == "suspect":
            self._set_state(self.members[name], "alive")

    def _activate(self, lease: Lease) -> None:
        name, note = lease.name[len(MEMBER_LEASE_PREFIX) :], lease.note
        self.version += 1
        self._last_renewal_us[name] = self._now_us
        self._departed.pop(name, None)
        self.members[name] = Member(
            name, note["site"], note["dial"], lease.token, "alive", self.version
        )

    def _set_state(self, member: Member, state: str) -> None:
        self.version += 1
        self.members[member.name] = replace(member, state=state, version=self.version)

    def _forget_departed(self) -> None:
        """The one that has been gone longest, past MOST_GONE of them: without a look at
        all the others.
        """
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
