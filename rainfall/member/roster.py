"""The service's roster: members as leases named `member/NAME`, their states, and the
list that is watched.

All that outlives the process is in the lease table (site and dial addresses are the
lease's note); the roster is a view of it and can be made anew at any start. Versions
count within `epoch`, the table's at the start.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from rainfall.lease.table import Grant, Held, Lease, Table
from rainfall.lease.terms import Record, Refused, surely_out_us
from rainfall.lease.token import NEVER, Token

PREFIX = "member/"
MOST_NAME = 180  # characters of a name and of a run
# members lost or left that are still told of, so a whole fleet; 350 bytes each
MOST_GONE = 8_192


@dataclass(frozen=True, slots=True)
class Member:
    """One member as it is told. `token` is its incarnation, `state` alive, suspect,
    lost or left, `version` the one that last changed it.
    """

    name: str
    site: str
    dial: str
    token: Token
    state: str
    version: int

    def told(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "site": self.site,
            "dial": self.dial,
            "token": self.token.told(),
            "state": self.state,
        }


@dataclass(slots=True)
class Quiet:
    """The renewed guard: how long the service has been up, unbroken, with members
    renewing.
    """

    whole_us: int
    began_us: int | None = None
    last_us: int = 0
    lost: dict[str, int] = field(default_factory=dict)

    def renewed(self, now_us: int) -> None:
        if self.began_us is None or now_us - self.last_us > self.whole_us:
            self.began_us = now_us
        self.last_us = now_us

    def lose(self, name: str, now_us: int) -> None:
        """Of those lost, the ones of the last whole lease stay, in their order."""
        self.lost.pop(name, None)
        self.lost[name] = now_us
        while now_us - self.lost[oldest := next(iter(self.lost))] >= self.whole_us:
            del self.lost[oldest]

    def until_us(self, now_us: int) -> int:
        """When it is over at the soonest; a whole lease from now where members do not
        renew.
        """
        if self.began_us is None or now_us - self.last_us > self.whole_us:
            return now_us + self.whole_us
        return self.began_us + self.whole_us


class Roster:
    """Over a table that the caller starts. Every record the table makes, whoever asked
    for it, goes through `commit` here. `late`: the share of the ttl without a renewal
    that makes a member suspect. `at_once`: the share of members that, lost within one
    lease, stops every division.
    """

    def __init__(
        self, table: Table, ttl_us: int, late: float = 2 / 3, at_once: float = 0.5
    ) -> None:
        faults = [
            f"{path}: a share above 0, below 1"
            for path, share in (("late", late), ("at_once", at_once))
            if not 0 < share < 1
        ]
        if not table.terms.least_ttl_us <= ttl_us <= table.terms.most_ttl_us:
            faults.append("ttl_us: not within the table's terms")
        if faults:
            raise Refused(422, faults)
        self.table, self.ttl_us, self.late_us, self.at_once = (
            table,
            ttl_us,
            int(ttl_us * late),
            at_once,
        )
        self.epoch = self.version = self.floor = 0
        self.members: dict[str, Member] = {}
        self._renewed_us: dict[str, int] = {}
        """Members in force, and when each last renewed."""
        self._gone: dict[str, None] = {}
        """Members lost or left, the one that went first before the others."""
        self._quiet = Quiet(surely_out_us(ttl_us, table.terms.drift))
        self._now_us = 0

    def started(self, now_us: int) -> None:
        """Right after the table's start record was committed: all it knows count as
        renewed now.
        """
        self._now_us, self.epoch = now_us, self.table.epoch
        self.version = self.floor = 1
        for lease in self.table.under(PREFIX):
            self._put(lease)

    # -- what members call
    # ----------------------------------------------------------------------------

    def join(
        self,
        now_us: int,
        name: str,
        site: str,
        dial: str,
        run: str = "",
        shown: Token = NEVER,
        seen: Token = NEVER,
    ) -> Grant | Held:
        """A lease on the name; its token is the incarnation. Held (to be told as 409,
        with when to come again) while another process's lease is in force, unless its
        token is `shown`. `run` names this run of the process and no other: a join sent
        again with it, its answer lost, is told the same token. Refused: 400, 422 as the
        table's.
        """
        now_us = self._clock(now_us)
        if faults := [
            f"{path}: a string of {least} to {MOST_NAME} characters"
            for path, value, least in (
                ("name", name, 1),
                ("site", site, 1),
                ("dial", dial, 1),
                ("run", run, 0),
            )
            if not isinstance(value, str) or not least <= len(value) <= MOST_NAME
        ]:
            raise Refused(400, faults)
        # Without a run two joins of one name cannot be told apart, so neither is taken
        # for the other.
        holder = f"run {run}" if run else f"join {self.table.next_number()}"
        made = self.table.acquire(
            now_us,
            PREFIX + name,
            holder,
            self.ttl_us,
            seen,
            shown,
            {"site": site, "dial": dial},
        )
        if isinstance(made, Grant) and self._is_now(name, made.token):
            self._beaten(now_us, name)
        return made

    def beat(
        self, now_us: int, name: str, token: Token, seen: Token = NEVER
    ) -> Grant | Held:
        """Renewed. Refused(409): the lease is out or another's, the member is fenced
        and joins anew.
        """
        now_us = self._clock(now_us)
        made = self.table.renew(now_us, PREFIX + name, token, seen)
        if isinstance(made, Grant):
            self._beaten(now_us, name)
        return made

    def leave(self, now_us: int, name: str, token: Token) -> Record:
        """In order: gone at once, and not counted as lost. Refused: 404, 409."""
        return self.table.release(self._clock(now_us), PREFIX + name, token)

    # -- time
    # ------------------------------------------------------------------------------------------

    def tick(self, now_us: int) -> list[Record]:
        """Late members become suspect; records for all leases of the table that are
        surely out. Call it by `next_us` and before anything is divided.
        """
        now_us = self._clock(now_us)
        for name in sorted(self._renewed_us):
            member = self.members[name]
            if (
                member.state == "alive"
                and now_us - self._renewed_us[name] >= self.late_us
            ):
                self._state(member, "suspect")
        return self.table.expire(now_us)

    def next_us(self) -> int | None:
        """When `tick` next has something to do; None where nobody holds anything."""
        late = [
            at + self.late_us
            for name, at in self._renewed_us.items()
            if self.members[name].state == "alive"
        ]
        out = self.table.next_us()
        return min([*late, *([] if out is None else [out])], default=None)

    def frozen_until(self, now_us: int) -> int:
        """Before this nothing fleet-wide is divided anew, at the soonest; `now_us` or
        less: it may be. So for a whole lease after a start or a loss of many, counted
        from where members renew again.
        """
        return self._quiet.until_us(self._clock(now_us))

    # -- the list
    # --------------------------------------------------------------------------------------

    def in_force(self) -> list[Member]:
        """Alive and suspect, by name: among these, and only these, the fleet is
        divided.
        """
        return [self.members[name] for name in sorted(self._renewed_us)]

    def owed(self, since: int | None, epoch: int | None) -> dict[str, Any]:
        """The answer to a reader who has version `since` of `epoch`: `{"epoch",
        "version", "whole", "members"}`. Changes since then, merged, those that are gone
        included; the whole list, without them, to a reader from another epoch, from
        ahead, or from before what is still told of.
        """
        whole, found = self.owed_members(since, epoch)
        return {
            "epoch": self.epoch,
            "version": self.version,
            "whole": whole,
            "members": [m.told() for m in found],
        }

    def owed_members(
        self, since: int | None, epoch: int | None
    ) -> tuple[bool, list[Member]]:
        """Whether these are the whole list, and the members that `owed` tells of, by
        name.
        """
        if (
            since is None
            or epoch != self.epoch
            or not self.floor <= since <= self.version
        ):
            return True, self.in_force()
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
        if not full.startswith(PREFIX):
            return
        name, lease = full[len(PREFIX) :], self.table.read(full)
        if record["kind"] == "grant" and lease is not None:
            if before is not None and self._now_us >= before.until_us:
                self._lost(name)
            self._put(lease)
            self._beaten(self._now_us, name)
        elif record["kind"] == "end" and name in self._renewed_us:
            if record["why"] == "out":
                self._lost(name)
            del self._renewed_us[name]
            self._state(
                self.members[name], "left" if record["why"] == "released" else "lost"
            )
            self._gone[name] = None
            self._forget()

    # -- helpers
    # ---------------------------------------------------------------------------------------

    def _lost(self, name: str) -> None:
        quiet, now_us = self._quiet, self._now_us
        quiet.lose(name, now_us)
        if (
            quiet.began_us is None
        ):  # many at once: those before this one have stopped it already
            return
        # Those whose renewals are late already will be lost in moments: waiting for
        # them would divide twice.
        gone = {
            *quiet.lost,
            *(n for n in self._renewed_us if self.members[n].state == "suspect"),
        }
        there = {*gone, *self._renewed_us}
        if len(gone) >= 2 and len(gone) > self.at_once * len(there):
            quiet.began_us = None

    def _beaten(self, now_us: int, name: str) -> None:
        self._renewed_us[name] = now_us
        self._quiet.renewed(now_us)
        if self.members[name].state == "suspect":
            self._state(self.members[name], "alive")

    def _put(self, lease: Lease) -> None:
        name, note = lease.name[len(PREFIX) :], lease.note
        self.version += 1
        self._renewed_us[name] = self._now_us
        self._gone.pop(name, None)
        self.members[name] = Member(
            name, note["site"], note["dial"], lease.token, "alive", self.version
        )

    def _state(self, member: Member, state: str) -> None:
        self.version += 1
        self.members[member.name] = replace(member, state=state, version=self.version)

    def _forget(self) -> None:
        """The one that has been gone longest, past MOST_GONE of them: without a look at
        all the others.
        """
        while len(self._gone) > MOST_GONE:
            name = next(iter(self._gone))
            del self._gone[name]
            self.floor = max(self.floor, self.members.pop(name).version)

    def _is_now(self, name: str, token: Token) -> bool:
        return name in self._renewed_us and self.members[name].token == token

    def _clock(self, now_us: int) -> int:
        self._now_us = max(self._now_us, now_us)
        return self._now_us
