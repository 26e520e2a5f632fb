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

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import (
    MAX_EPOCH_JUMP,
    LeaseRejectedError,
    LeaseSettings,
    Record,
    request_faults,
    service_expiry_us,
)

PENDING_WRITE_RETRY_US = (
    100_000  # when to come again while a change of the same name is being written
)


@dataclass(frozen=True, slots=True)
class Lease:
    """One lease as the service sees it.

    `until_us`: from then on it is out on every clock.
    """

    name: str
    holder: str
    token: Token
    ttl_us: int
    expires_at_us: int
    note: Mapping[str, str]
    revoked: bool = False

    def to_row(self) -> list[Any]:
        return [
            self.name,
            self.holder,
            self.token.to_wire(),
            self.ttl_us,
            dict(self.note),
            self.revoked,
        ]


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The lease is the caller's.

    A `record` is to be on disk and committed before this is told.
    """

    name: str
    token: Token
    ttl_us: int
    record: Record | None = None


@dataclass(frozen=True, slots=True)
class LeaseUnavailable:
    """Not now: come again in `retry_us`, the soonest that it can change.

    A `record` is to be written.
    """

    retry_after_us: int
    reason: str
    record: Record | None = None


class LeaseTable:
    """Named leases.

    Make it empty or with `restored`, `commit` what the log holds, then `start`.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        if faults := settings.faults():
            raise LeaseRejectedError(422, faults)
        self.settings = settings
        self.leases: dict[str, Lease] = {}
        self.epoch = self.last_committed = 0
        self.history_uncertain = True
        """The folder's history is not known to be whole, and nothing was granted
        since.
        """
        self.longest_ttl_us = 0
        """The longest lease that may run beside an unsure history."""
        self.started = False
        self._highest_issued = ZERO_TOKEN
        """Highest that was given to any record, written or not."""
        self._pending_writes: dict[str, int] = {}
        self._start_record = 0
        self._now_us = 0
        self._started_at_us = 0
        self._grants_from_us = 0

    # -- the start
    # -----------------------------------------------------------------------------------

    def start(self, now_us: int, sure: bool, min_epoch: int = 0) -> Record:
        """Begin an epoch; nothing is granted or renewed before its record is committed.

        `sure`: the folder is the one the last process left, a torn last line at most.
        Where it is not, no known lease goes on, and one longest lease passes before the
        first grant. `least_epoch` is a hint (a wall clock in seconds, an operator's
        number) that only ever raises.
        """
        self._now_us = self._started_at_us = now_us
        self.history_uncertain = self.history_uncertain or not sure or not self.epoch
        self.longest_ttl_us = max(
            self.longest_ttl_us if self.history_uncertain else 0,
            self.settings.max_ttl_us,
            *(lease.ttl_us for lease in self.leases.values()),
        )
        if self.history_uncertain:
            self._delay_grants()
        self._raise_epoch(max(self._highest_issued.epoch, min_epoch - 1))
        record = self._new_record(
            "start",
            epoch=self._highest_issued.epoch,
            sure=not self.history_uncertain,
            longest_us=self.longest_ttl_us,
        )
        self._start_record = record["n"]
        return record

    def observe_token(self, seen: Token) -> Record | None:
        """What a client has seen: an epoch above it where it is above all this service
        gave. Ends no lease. Acquire and renew do it by themselves. Refused(422) where
        it leaps further than any epoch can be.
        """
        if seen <= self._highest_issued:
            return None
        if seen.epoch > self._highest_issued.epoch + MAX_EPOCH_JUMP:
            raise LeaseRejectedError(
                422,
                [
                    f"seen: epoch {seen.epoch} is no epoch of this service, which is at"
                    f" {self._highest_issued.epoch}: raise its least epoch by hand if it is"
                ],
            )
        self._delay_grants()
        self._raise_epoch(seen.epoch)
        return self._new_record("epoch", epoch=self._highest_issued.epoch)

    def _delay_grants(self) -> None:
        # A history that is not ours may hold leases until one longest lease after this
        # process began.
        self._grants_from_us = self._started_at_us + service_expiry_us(
            self.longest_ttl_us, self.settings.drift
        )

    def _raise_epoch(self, above: int) -> None:
        self._highest_issued = Token(above + 1, self._highest_issued.number)

    # -- calls
    # ---------------------------------------------------------------------------------------

    def acquire(
        self,
        now_us: int,
        name: str,
        holder: str,
        ttl_us: int,
        seen: Token = ZERO_TOKEN,
        shown: Token = ZERO_TOKEN,
        note: Mapping[str, str] | None = None,
    ) -> LeaseGrant | LeaseUnavailable:
        """A lease on `name`.

        `holder` names one run of one process and no other: asked again by it, its lease
        is told again, and a new one granted where it has `seen` that one and let go of
        it. `shown` is the lease's own token, as its process after a restart knows it:
        then it is granted anew at once. Refused: 400 faults of the call, 422 too many
        leases.
        """
        note = {} if note is None else note
        if faults := request_faults(self.settings, name, holder, ttl_us, note):
            raise LeaseRejectedError(400, faults)
        now_us, lifted = self._advance_clock(now_us), self.observe_token(seen)
        if wait_us := self._time_until_grants_us(now_us):
            return LeaseUnavailable(
                wait_us, "what was granted before this start is not known", lifted
            )
        if name in self._pending_writes:
            return LeaseUnavailable(
                PENDING_WRITE_RETRY_US, "a change of this name is being written", lifted
            )
        lease = self.leases.get(name)
        if lease is not None and now_us < lease.expires_at_us:
            same = lease.holder == holder and not lease.revoked
            if same and seen < lease.token:
                return self._renew_lease(now_us, lease, lifted)
            if not same and (shown != lease.token or lease.revoked):
                return LeaseUnavailable(
                    lease.expires_at_us - now_us, f"{name} is held", lifted
                )
        if (
            lease is None
            and len(self.leases) + len(self._pending_writes) >= self.settings.max_leases
        ):
            raise LeaseRejectedError(
                422,
                [
                    f"name: {self.settings.max_leases} leases are held, as many as may be"
                ],
                record=lifted,
            )
        record = self._new_record(
            "grant",
            epoch=self._highest_issued.epoch,
            name=name,
            holder=holder,
            ttl_us=ttl_us,
            note=dict(note),
        )
        self._pending_writes[name] = record["n"]
        return LeaseGrant(name, self._highest_issued, ttl_us, record)

    def renew(
        self, now_us: int, name: str, token: Token, seen: Token = ZERO_TOKEN
    ) -> LeaseGrant | LeaseUnavailable:
        """The same lease for a whole ttl more.

        Refused(409) once it is out, revoked or another's: final for this token. Held
        while it cannot be known: the holder may run out what it has.
        """
        now_us, lifted = (
            self._advance_clock(now_us),
            self.observe_token(max(seen, token)),
        )
        if not self.started or (
            self.history_uncertain and self._time_until_grants_us(now_us)
        ):
            return LeaseUnavailable(
                self._time_until_grants_us(now_us),
                "what was granted before this start is not known",
                lifted,
            )
        lease = self._require_held(name, token, lifted, 409)
        if now_us >= lease.expires_at_us:
            raise LeaseRejectedError(
                409, [f"token: the lease on {name} is out"], lease.token, lifted
            )
        if lease.revoked:
            raise LeaseRejectedError(
                409, [f"token: the lease on {name} was revoked"], lease.token, lifted
            )
        return self._renew_lease(now_us, lease, lifted)

    def release(self, now_us: int, name: str, token: Token) -> Record:
        """Given up by its holder, which acts on it no more: free at once.

        Refused: 404, 409.
        """
        self._advance_clock(now_us)
        return self._end_record(self._require_held(name, token, None, 404), "released")

    def revoke(self, now_us: int, name: str) -> Record:
        """By hand: renewed no more, and free once surely out (its holder may act until
        then, unless what it guards has seen a higher token). Refused: 404 nobody holds
        it, 409 a change is being written.
        """
        self._advance_clock(now_us)
        lease = self.leases.get(name)
        if lease is None:
            raise LeaseRejectedError(404, [f"name: nobody holds {name}"])
        self._require_held(name, lease.token, None, 404)
        record = self._new_record("revoke", name=name, token=lease.token.to_wire())
        self._pending_writes[name] = record["n"]
        return record

    def read(self, name: str) -> Lease | None:
        """The lease as it is in force, or None."""
        return self.leases.get(name)

    def with_prefix(self, prefix: str) -> list[Lease]:
        """All leases whose names begin so, in the order of their names."""
        return [
            lease
            for name, lease in sorted(self.leases.items())
            if name.startswith(prefix)
        ]

    def expire(self, now_us: int) -> list[Record]:
        """Records for all leases that are surely out, in the order of their names."""
        now_us = self._advance_clock(now_us)
        if not self.started:
            return []
        return [
            self._end_record(lease, "revoked" if lease.revoked else "out")
            for name, lease in sorted(self.leases.items())
            if now_us >= lease.expires_at_us and name not in self._pending_writes
        ]

    def next_expiry_us(self) -> int | None:
        """When `expire` next has something to do; None with no lease."""
        return min(
            (lease.expires_at_us for lease in self.leases.values()), default=None
        )

    # -- records
    # -------------------------------------------------------------------------------------

    def commit(self, record: Record) -> None:
        """Take a record that is on disk, in the order of `n`; one that was taken before
        is left out.
        """
        number, name = int(record["n"]), record.get("name", "")
        if number <= self.last_committed:
            return
        self.last_committed = number
        self.epoch = max(self.epoch, int(record.get("epoch", 0)))
        self._highest_issued = Token(
            max(self.epoch, self._highest_issued.epoch),
            max(number, self._highest_issued.number),
        )
        if self._pending_writes.get(name) == number:
            del self._pending_writes[name]
        if record["kind"] == "grant":
            self.history_uncertain = False
            ttl_us, token = int(record["ttl_us"]), Token(int(record["epoch"]), number)
            self.leases[name] = Lease(
                name,
                record["holder"],
                token,
                ttl_us,
                self._expiry_us(self._now_us, ttl_us),
                record["note"],
            )
        elif record["kind"] == "end":
            self.leases.pop(name, None)
        elif record["kind"] == "revoke" and name in self.leases:
            self.leases[name] = replace(self.leases[name], revoked=True)
        elif record["kind"] == "start":
            self._apply_start(number, bool(record["sure"]), int(record["longest_us"]))

    def abandon(self, record: Record) -> None:
        """A record that could not be written: nothing is told, its number is never used
        again.
        """
        if self._pending_writes.get(record.get("name", "")) == record["n"]:
            del self._pending_writes[record["name"]]

    def _apply_start(self, number: int, sure: bool, longest_us: int) -> None:
        self.history_uncertain, self.longest_ttl_us = not sure, longest_us
        if not sure:
            self.leases.clear()
        self.started = (
            number == self._start_record
        )  # not so for a start that the log tells of
        for name, lease in self.leases.items():
            self.leases[name] = replace(
                lease, expires_at_us=self._expiry_us(self._started_at_us, lease.ttl_us)
            )

    def _new_record(self, kind: str, **more: Any) -> Record:
        self._highest_issued = Token(
            self._highest_issued.epoch, self._highest_issued.number + 1
        )
        return {"n": self._highest_issued.number, "kind": kind, **more}

    def _end_record(self, lease: Lease, why: str) -> Record:
        record = self._new_record(
            "end", name=lease.name, token=lease.token.to_wire(), why=why
        )
        self._pending_writes[lease.name] = record["n"]
        return record

    def next_record_number(self) -> int:
        """Of the record that is made next: never used before in this history."""
        return self._highest_issued.number + 1

    # -- helpers
    # -------------------------------------------------------------------------------------

    def _advance_clock(self, now_us: int) -> int:
        # A clock that went back would end nothing too soon if it stood still instead.
        self._now_us = max(self._now_us, now_us)
        return self._now_us

    def _time_until_grants_us(self, now_us: int) -> int:
        return (
            max(self._grants_from_us - now_us, 0)
            if self.started
            else PENDING_WRITE_RETRY_US
        )

    def _expiry_us(self, at_us: int, ttl_us: int) -> int:
        return at_us + service_expiry_us(ttl_us, self.settings.drift)

    def _require_held(
        self, name: str, token: Token, lifted: Record | None, missing_status: int
    ) -> Lease:
        lease = self.leases.get(name)
        if lease is None:
            raise LeaseRejectedError(
                missing_status, [f"name: nobody holds {name}"], record=lifted
            )
        if lease.token != token:
            raise LeaseRejectedError(
                409,
                [f"token: {name} is held under {lease.token.to_wire()}"],
                lease.token,
                lifted,
            )
        if name in self._pending_writes:
            raise LeaseRejectedError(
                409,
                [f"token: another change of {name} is being written"],
                lease.token,
                lifted,
            )
        return lease

    def _renew_lease(
        self, now_us: int, lease: Lease, lifted: Record | None
    ) -> LeaseGrant:
        self.leases[lease.name] = replace(
            lease, expires_at_us=self._expiry_us(now_us, lease.ttl_us)
        )
        return LeaseGrant(lease.name, lease.token, lease.ttl_us, lifted)

    # -- snapshot
    # ------------------------------------------------------------------------------------

    def snapshot(self) -> dict[str, Any]:
        """What is committed, for JSON; when leases end is left out: a start counts them
        as renewed.
        """
        return {
            "epoch": self.epoch,
            "number": self.last_committed,
            "unsure": self.history_uncertain,
            "longest_us": self.longest_ttl_us,
            "leases": [lease.to_row() for _, lease in sorted(self.leases.items())],
        }

    @staticmethod
    def from_snapshot(raw: Mapping[str, Any], settings: LeaseSettings) -> LeaseTable:
        """From a snapshot; KeyError, TypeError or ValueError where it is none.

        `start` is still owed.
        """
        table = LeaseTable(settings)
        table.epoch, table.last_committed = int(raw["epoch"]), int(raw["number"])
        table.history_uncertain, table.longest_ttl_us = (
            bool(raw["unsure"]),
            int(raw["longest_us"]),
        )
        table._highest_issued = Token(table.epoch, table.last_committed)
        for name, holder, token, ttl_us, note, revoked in raw["leases"]:
            table.leases[name] = Lease(
                name,
                holder,
                Token.from_wire(token),
                int(ttl_us),
                0,
                note,
                bool(revoked),
            )
        return table
