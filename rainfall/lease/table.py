"""The service's table of leases: who holds which name, until when, under which fencing
token.

A change that must outlive the process is *prepared* here as a record, written and
synced by the caller, and only then taken by `commit` and told. Renewals are not
written: a start counts every known lease as renewed. All numbers come from one counter
that the folder keeps, so no name need be remembered for its token to grow.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from rainfall.lease.terms import (
    MOST_LEAP,
    Record,
    Refused,
    Terms,
    ask_faults,
    surely_out_us,
)
from rainfall.lease.token import NEVER, Token

BUSY_US = 100_000  # when to come again while a change of the same name is being written


@dataclass(frozen=True, slots=True)
class Lease:
    """One lease as the service sees it. `until_us`: from then on it is out on every
    clock.
    """

    name: str
    holder: str
    token: Token
    ttl_us: int
    until_us: int
    note: Mapping[str, str]
    revoked: bool = False

    def kept(self) -> list[Any]:
        return [
            self.name,
            self.holder,
            self.token.told(),
            self.ttl_us,
            dict(self.note),
            self.revoked,
        ]


@dataclass(frozen=True, slots=True)
class Grant:
    """The lease is the caller's. A `record` is to be on disk and committed before this
    is told.
    """

    name: str
    token: Token
    ttl_us: int
    record: Record | None = None


@dataclass(frozen=True, slots=True)
class Held:
    """Not now: come again in `retry_us`, the soonest that it can change. A `record` is
    to be written.
    """

    retry_us: int
    why: str
    record: Record | None = None


class Table:
    """Named leases. Make it empty or with `restored`, `commit` what the log holds, then
    `start`.
    """

    def __init__(self, terms: Terms) -> None:
        if faults := terms.faults():
            raise Refused(422, faults)
        self.terms = terms
        self.leases: dict[str, Lease] = {}
        self.epoch = self.number = 0
        self.unsure = True
        """The folder's history is not known to be whole, and nothing was granted
        since.
        """
        self.longest_us = 0
        """The longest lease that may run beside an unsure history."""
        self.started = False
        self._top = NEVER
        """Highest that was given to any record, written or not."""
        self._pending: dict[str, int] = {}
        self._start_n = 0
        self._now_us = 0
        self._start_us = 0
        self._from_us = 0

    # -- the start
    # -----------------------------------------------------------------------------------

    def start(self, now_us: int, sure: bool, least_epoch: int = 0) -> Record:
        """Begin an epoch; nothing is granted or renewed before its record is committed.
        `sure`: the folder is the one the last process left, a torn last line at most.
        Where it is not, no known lease goes on, and one longest lease passes before the
        first grant. `least_epoch` is a hint (a wall clock in seconds, an operator's
        number) that only ever raises.
        """
        self._now_us = self._start_us = now_us
        self.unsure = self.unsure or not sure or not self.epoch
        self.longest_us = max(
            self.longest_us if self.unsure else 0,
            self.terms.most_ttl_us,
            *(lease.ttl_us for lease in self.leases.values()),
        )
        if self.unsure:
            self._doubt()
        self._raise_epoch(max(self._top.epoch, least_epoch - 1))
        record = self._record(
            "start",
            epoch=self._top.epoch,
            sure=not self.unsure,
            longest_us=self.longest_us,
        )
        self._start_n = record["n"]
        return record

    def lift(self, seen: Token) -> Record | None:
        """What a client has seen: an epoch above it where it is above all this service
        gave. Ends no lease. Acquire and renew do it by themselves. Refused(422) where
        it leaps further than any epoch can be.
        """
        if seen <= self._top:
            return None
        if seen.epoch > self._top.epoch + MOST_LEAP:
            raise Refused(
                422,
                [
                    f"seen: epoch {seen.epoch} is no epoch of this service, which is at"
                    f" {self._top.epoch}: raise its least epoch by hand if it is"
                ],
            )
        self._doubt()
        self._raise_epoch(seen.epoch)
        return self._record("epoch", epoch=self._top.epoch)

    def _doubt(self) -> None:
        # A history that is not ours may hold leases until one longest lease after this
        # process began.
        self._from_us = self._start_us + surely_out_us(
            self.longest_us, self.terms.drift
        )

    def _raise_epoch(self, above: int) -> None:
        self._top = Token(above + 1, self._top.number)

    # -- calls
    # ---------------------------------------------------------------------------------------

    def acquire(
        self,
        now_us: int,
        name: str,
        holder: str,
        ttl_us: int,
        seen: Token = NEVER,
        shown: Token = NEVER,
        note: Mapping[str, str] | None = None,
    ) -> Grant | Held:
        """A lease on `name`. `holder` names one run of one process and no other: asked
        again by it, its lease is told again, and a new one granted where it has `seen`
        that one and let go of it. `shown` is the lease's own token, as its process
        after a restart knows it: then it is granted anew at once. Refused: 400 faults
        of the call, 422 too many leases.
        """
        note = {} if note is None else note
        if faults := ask_faults(self.terms, name, holder, ttl_us, note):
            raise Refused(400, faults)
        now_us, lifted = self._clock(now_us), self.lift(seen)
        if wait_us := self._closed_us(now_us):
            return Held(
                wait_us, "what was granted before this start is not known", lifted
            )
        if name in self._pending:
            return Held(BUSY_US, "a change of this name is being written", lifted)
        lease = self.leases.get(name)
        if lease is not None and now_us < lease.until_us:
            same = lease.holder == holder and not lease.revoked
            if same and seen < lease.token:
                return self._renewed(now_us, lease, lifted)
            if not same and (shown != lease.token or lease.revoked):
                return Held(lease.until_us - now_us, f"{name} is held", lifted)
        if (
            lease is None
            and len(self.leases) + len(self._pending) >= self.terms.most_leases
        ):
            raise Refused(
                422,
                [f"name: {self.terms.most_leases} leases are held, as many as may be"],
                record=lifted,
            )
        record = self._record(
            "grant",
            epoch=self._top.epoch,
            name=name,
            holder=holder,
            ttl_us=ttl_us,
            note=dict(note),
        )
        self._pending[name] = record["n"]
        return Grant(name, self._top, ttl_us, record)

    def renew(
        self, now_us: int, name: str, token: Token, seen: Token = NEVER
    ) -> Grant | Held:
        """The same lease for a whole ttl more. Refused(409) once it is out, revoked or
        another's: final for this token. Held while it cannot be known: the holder may
        run out what it has.
        """
        now_us, lifted = self._clock(now_us), self.lift(max(seen, token))
        if not self.started or self.unsure and self._closed_us(now_us):
            return Held(
                self._closed_us(now_us),
                "what was granted before this start is not known",
                lifted,
            )
        lease = self._own(name, token, lifted, 409)
        if now_us >= lease.until_us:
            raise Refused(
                409, [f"token: the lease on {name} is out"], lease.token, lifted
            )
        if lease.revoked:
            raise Refused(
                409, [f"token: the lease on {name} was revoked"], lease.token, lifted
            )
        return self._renewed(now_us, lease, lifted)

    def release(self, now_us: int, name: str, token: Token) -> Record:
        """Given up by its holder, which acts on it no more: free at once. Refused: 404,
        409.
        """
        self._clock(now_us)
        return self._ended(self._own(name, token, None, 404), "released")

    def revoke(self, now_us: int, name: str) -> Record:
        """By hand: renewed no more, and free once surely out (its holder may act until
        then, unless what it guards has seen a higher token). Refused: 404 nobody holds
        it, 409 a change is being written.
        """
        self._clock(now_us)
        lease = self.leases.get(name)
        if lease is None:
            raise Refused(404, [f"name: nobody holds {name}"])
        self._own(name, lease.token, None, 404)
        record = self._record("revoke", name=name, token=lease.token.told())
        self._pending[name] = record["n"]
        return record

    def read(self, name: str) -> Lease | None:
        """The lease as it is in force, or None."""
        return self.leases.get(name)

    def under(self, prefix: str) -> list[Lease]:
        """All leases whose names begin so, in the order of their names."""
        return [
            lease
            for name, lease in sorted(self.leases.items())
            if name.startswith(prefix)
        ]

    def expire(self, now_us: int) -> list[Record]:
        """Records for all leases that are surely out, in the order of their names."""
        now_us = self._clock(now_us)
        if not self.started:
            return []
        return [
            self._ended(lease, "revoked" if lease.revoked else "out")
            for name, lease in sorted(self.leases.items())
            if now_us >= lease.until_us and name not in self._pending
        ]

    def next_us(self) -> int | None:
        """When `expire` next has something to do; None with no lease."""
        return min((lease.until_us for lease in self.leases.values()), default=None)

    # -- records
    # -------------------------------------------------------------------------------------

    def commit(self, record: Record) -> None:
        """Take a record that is on disk, in the order of `n`; one that was taken before
        is left out.
        """
        n, name = int(record["n"]), record.get("name", "")
        if n <= self.number:
            return
        self.number = n
        self.epoch = max(self.epoch, int(record.get("epoch", 0)))
        self._top = Token(max(self.epoch, self._top.epoch), max(n, self._top.number))
        if self._pending.get(name) == n:
            del self._pending[name]
        if record["kind"] == "grant":
            self.unsure = False
            ttl_us, token = int(record["ttl_us"]), Token(int(record["epoch"]), n)
            self.leases[name] = Lease(
                name,
                record["holder"],
                token,
                ttl_us,
                self._out_us(self._now_us, ttl_us),
                record["note"],
            )
        elif record["kind"] == "end":
            self.leases.pop(name, None)
        elif record["kind"] == "revoke" and name in self.leases:
            self.leases[name] = replace(self.leases[name], revoked=True)
        elif record["kind"] == "start":
            self._begin(n, bool(record["sure"]), int(record["longest_us"]))

    def abandon(self, record: Record) -> None:
        """A record that could not be written: nothing is told, its number is never used
        again.
        """
        if self._pending.get(record.get("name", "")) == record["n"]:
            del self._pending[record["name"]]

    def _begin(self, n: int, sure: bool, longest_us: int) -> None:
        self.unsure, self.longest_us = not sure, longest_us
        if not sure:
            self.leases.clear()
        self.started = n == self._start_n  # not so for a start that the log tells of
        for name, lease in self.leases.items():
            self.leases[name] = replace(
                lease, until_us=self._out_us(self._start_us, lease.ttl_us)
            )

    def _record(self, kind: str, **more: Any) -> Record:
        self._top = Token(self._top.epoch, self._top.number + 1)
        return {"n": self._top.number, "kind": kind, **more}

    def _ended(self, lease: Lease, why: str) -> Record:
        record = self._record("end", name=lease.name, token=lease.token.told(), why=why)
        self._pending[lease.name] = record["n"]
        return record

    def next_number(self) -> int:
        """Of the record that is made next: never used before in this history."""
        return self._top.number + 1

    # -- helpers
    # -------------------------------------------------------------------------------------

    def _clock(self, now_us: int) -> int:
        # A clock that went back would end nothing too soon if it stood still instead.
        self._now_us = max(self._now_us, now_us)
        return self._now_us

    def _closed_us(self, now_us: int) -> int:
        return max(self._from_us - now_us, 0) if self.started else BUSY_US

    def _out_us(self, at_us: int, ttl_us: int) -> int:
        return at_us + surely_out_us(ttl_us, self.terms.drift)

    def _own(self, name: str, token: Token, lifted: Record | None, none: int) -> Lease:
        lease = self.leases.get(name)
        if lease is None:
            raise Refused(none, [f"name: nobody holds {name}"], record=lifted)
        if lease.token != token:
            raise Refused(
                409,
                [f"token: {name} is held under {lease.token.told()}"],
                lease.token,
                lifted,
            )
        if name in self._pending:
            raise Refused(
                409,
                [f"token: another change of {name} is being written"],
                lease.token,
                lifted,
            )
        return lease

    def _renewed(self, now_us: int, lease: Lease, lifted: Record | None) -> Grant:
        self.leases[lease.name] = replace(
            lease, until_us=self._out_us(now_us, lease.ttl_us)
        )
        return Grant(lease.name, lease.token, lease.ttl_us, lifted)

    # -- snapshot
    # ------------------------------------------------------------------------------------

    def snapshot(self) -> dict[str, Any]:
        """What is committed, for JSON; when leases end is left out: a start counts them
        as renewed.
        """
        return {
            "epoch": self.epoch,
            "number": self.number,
            "unsure": self.unsure,
            "longest_us": self.longest_us,
            "leases": [lease.kept() for _, lease in sorted(self.leases.items())],
        }

    @staticmethod
    def restored(raw: Mapping[str, Any], terms: Terms) -> Table:
        """From a snapshot; KeyError, TypeError or ValueError where it is none. `start`
        is still owed.
        """
        table = Table(terms)
        table.epoch, table.number = int(raw["epoch"]), int(raw["number"])
        table.unsure, table.longest_us = bool(raw["unsure"]), int(raw["longest_us"])
        table._top = Token(table.epoch, table.number)
        for name, holder, token, ttl_us, note, revoked in raw["leases"]:
            table.leases[name] = Lease(
                name, holder, Token.of(token), int(ttl_us), 0, note, bool(revoked)
            )
        return table
