"""The service's table of leases: who holds which name, until when, under which token.

A change that must outlive the process is prepared here as a record; the caller writes
and syncs it, and only then is it taken by `commit` and answered. Renewals are not
written: a start counts every known lease as renewed. All numbers come from one counter
that the folder keeps, so a name need not be remembered for its token to grow.

All times are of the service's clock, in microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.types import (
    BAD_REQUEST,
    CONFLICT,
    MAX_EPOCH_JUMP,
    NOT_FOUND,
    UNPROCESSABLE,
    EndReason,
    LeaseRejectedError,
    LeaseSettings,
    Record,
    RecordKind,
    request_faults,
    service_expiry_us,
)

PENDING_WRITE_RETRY_US = 100_000
"""When to come again while a change of the same name is being written."""
UNKNOWN_HISTORY = "what was granted before this start is not known"


@dataclass(frozen=True, slots=True)
class Lease:
    """One lease as the service sees it."""

    name: str
    holder: str
    token: Token
    ttl_us: int
    expires_at_us: int
    """From then on it has expired on every clock."""
    note: Mapping[str, str]
    revoked: bool = False

    def to_row(self) -> list[Any]:
        """Its row in a snapshot; `_lease_from_row` reads it."""
        return [
            self.name,
            self.holder,
            self.token.to_wire(),
            self.ttl_us,
            dict(self.note),
            self.revoked,
        ]


def _lease_from_row(row: list[Any]) -> Lease:
    """A lease of a snapshot; the start that follows sets when it expires."""
    name, holder, token, ttl_us, note, revoked = row
    return Lease(
        name,
        holder,
        Token.from_wire(token),
        int(ttl_us),
        expires_at_us=0,
        note=note,
        revoked=bool(revoked),
    )


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The lease is the caller's."""

    name: str
    token: Token
    ttl_us: int
    record: Record | None = None
    """To be on disk and committed before the grant is answered."""


@dataclass(frozen=True, slots=True)
class LeaseUnavailable:
    """The lease cannot be granted now."""

    retry_after_us: int
    """The soonest that this can change."""
    reason: str
    record: Record | None = None
    """To be written all the same."""


class LeaseTable:
    """Named leases.

    Make it empty or with `from_snapshot`, `commit` the records of the log, then
    `start`.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        if faults := settings.faults():
            raise LeaseRejectedError(UNPROCESSABLE, faults)
        self.settings = settings
        self.leases: dict[str, Lease] = {}
        self.epoch = 0
        self.last_committed = 0
        self.history_uncertain = True
        """The folder's history may be incomplete, and nothing was granted since."""
        self.longest_ttl_us = 0
        """The longest lease that an uncertain history may hide."""
        self.started = False
        self._highest_issued = ZERO_TOKEN
        """The highest token given to any record, written or not."""
        self._pending_writes: dict[str, int] = {}
        """Names with a record that is being written, and the record's number."""
        self._start_record = 0
        self._now_us = 0
        self._started_at_us = 0
        self._grants_from_us = 0

    def start(self, now_us: int, sure: bool, min_epoch: int = 0) -> Record:
        """Begin an epoch; nothing is granted or renewed before its record is committed.

        Args:
            now_us: The present time.
            sure: The folder is the one the last process left, but for a torn last line.
                Where it is not, no known lease continues, and the longest lease has to
                pass before the first grant.
            min_epoch: A hint that only ever raises the epoch: a wall clock in seconds,
                or an operator's number.
        """
        self._now_us = now_us
        self._started_at_us = now_us
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
            RecordKind.START,
            epoch=self._highest_issued.epoch,
            sure=not self.history_uncertain,
            longest_us=self.longest_ttl_us,
        )
        self._start_record = record["n"]
        return record

    def observe_token(self, seen: Token) -> Record | None:
        """Take a token that a client has seen.

        One above all that this service issued raises the epoch above it. It ends no
        lease. `acquire` and `renew` call this themselves.

        Raises:
            LeaseRejectedError: 422, the token is further ahead than any epoch can be.
        """
        if seen <= self._highest_issued:
            return None
        if seen.epoch > self._highest_issued.epoch + MAX_EPOCH_JUMP:
            fault = (
                f"seen: epoch {seen.epoch} is no epoch of this service, which is at"
                f" {self._highest_issued.epoch}: raise its least epoch by hand if it is"
            )
            raise LeaseRejectedError(UNPROCESSABLE, [fault])
        self._delay_grants()
        self._raise_epoch(seen.epoch)
        return self._new_record(RecordKind.EPOCH, epoch=self._highest_issued.epoch)

    def _delay_grants(self) -> None:
        # Another history may hold leases until the longest one after this process's
        # start has expired.
        self._grants_from_us = self._started_at_us + service_expiry_us(
            self.longest_ttl_us, self.settings.drift
        )

    def _raise_epoch(self, above: int) -> None:
        self._highest_issued = Token(above + 1, self._highest_issued.number)

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
        """Acquire a lease.

        Args:
            now_us: The present time.
            name: What is leased.
            holder: Names one run of one process. Asked again by the same holder, its
                lease is answered again; a new one is granted where the holder has seen
                that one's token and no longer uses it.
            ttl_us: How long the lease lasts after each renewal.
            seen: The highest token that the caller has seen.
            shown: The token of the lease in force, as its process knows it after a
                restart: then it is granted anew at once.
            note: Kept with the lease for its readers.

        Raises:
            LeaseRejectedError: 400 for an invalid call, 422 for too many leases.
        """
        note = {} if note is None else note
        if faults := request_faults(self.settings, name, holder, ttl_us, note):
            raise LeaseRejectedError(BAD_REQUEST, faults)
        now_us = self._advance_clock(now_us)
        epoch_record = self.observe_token(seen)
        if unavailable := self._blocked_grant(now_us, name, epoch_record):
            return unavailable
        lease = self.leases.get(name)
        if lease is not None and now_us < lease.expires_at_us:
            same = lease.holder == holder and not lease.revoked
            if same and seen < lease.token:
                return self._renew_lease(now_us, lease, epoch_record)
            if not same and (shown != lease.token or lease.revoked):
                wait_us = lease.expires_at_us - now_us
                return LeaseUnavailable(wait_us, f"{name} is held", epoch_record)
        if lease is None:
            self._require_free_place(epoch_record)
        return self._grant(name, holder, ttl_us, note)

    def _blocked_grant(
        self, now_us: int, name: str, epoch_record: Record | None
    ) -> LeaseUnavailable | None:
        """Why no lease of this name can be granted to anybody now; None if it can."""
        if wait_us := self._time_until_grants_us(now_us):
            return LeaseUnavailable(wait_us, UNKNOWN_HISTORY, epoch_record)
        if name in self._pending_writes:
            reason = "a change of this name is being written"
            return LeaseUnavailable(PENDING_WRITE_RETRY_US, reason, epoch_record)
        return None

    def _require_free_place(self, epoch_record: Record | None) -> None:
        limit = self.settings.max_leases
        if len(self.leases) + len(self._pending_writes) >= limit:
            fault = f"name: {limit} leases are held, as many as may be"
            raise LeaseRejectedError(UNPROCESSABLE, [fault], record=epoch_record)

    def _grant(
        self, name: str, holder: str, ttl_us: int, note: Mapping[str, str]
    ) -> LeaseGrant:
        record = self._new_record(
            RecordKind.GRANT,
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
        """Renew a lease for its whole time to live.

        It is unavailable while its state cannot be known: the holder may act until its
        lease expires.

        Raises:
            LeaseRejectedError: 409, final for this token: the lease has expired, was
                revoked, or is another's.
        """
        now_us = self._advance_clock(now_us)
        epoch_record = self.observe_token(max(seen, token))
        if not self.started or (
            self.history_uncertain and self._time_until_grants_us(now_us)
        ):
            wait_us = self._time_until_grants_us(now_us)
            return LeaseUnavailable(wait_us, UNKNOWN_HISTORY, epoch_record)
        lease = self._require_held(name, token, epoch_record, CONFLICT)
        if now_us >= lease.expires_at_us:
            raise LeaseRejectedError(
                CONFLICT,
                [f"token: the lease on {name} is out"],
                lease.token,
                epoch_record,
            )
        if lease.revoked:
            raise LeaseRejectedError(
                CONFLICT,
                [f"token: the lease on {name} was revoked"],
                lease.token,
                epoch_record,
            )
        return self._renew_lease(now_us, lease, epoch_record)

    def release(self, now_us: int, name: str, token: Token) -> Record:
        """End a lease that its holder no longer acts under: it is free at once.

        Raises:
            LeaseRejectedError: 404 nobody holds it, 409 another token does.
        """
        self._advance_clock(now_us)
        lease = self._require_held(name, token, None, NOT_FOUND)
        return self._end_record(lease, EndReason.RELEASED)

    def revoke(self, now_us: int, name: str) -> Record:
        """End a lease on an operator's request.

        It is not renewed any more, and free once it has expired on every clock. Until
        then its holder may act, unless the guarded resource has seen a higher token.

        Raises:
            LeaseRejectedError: 404 nobody holds it, 409 a change is being written.
        """
        self._advance_clock(now_us)
        lease = self.leases.get(name)
        if lease is None:
            raise LeaseRejectedError(NOT_FOUND, [f"name: nobody holds {name}"])
        self._require_held(name, lease.token, None, NOT_FOUND)
        record = self._new_record(
            RecordKind.REVOKE, name=name, token=lease.token.to_wire()
        )
        self._pending_writes[name] = record["n"]
        return record

    def read(self, name: str) -> Lease | None:
        """The lease in force on this name."""
        return self.leases.get(name)

    def with_prefix(self, prefix: str) -> list[Lease]:
        """All leases whose names begin with `prefix`, ordered by name."""
        return [
            lease
            for name, lease in sorted(self.leases.items())
            if name.startswith(prefix)
        ]

    def expire(self, now_us: int) -> list[Record]:
        """Records for all leases that have expired on every clock, ordered by name."""
        now_us = self._advance_clock(now_us)
        if not self.started:
            return []
        return [
            self._end_record(
                lease, EndReason.REVOKED if lease.revoked else EndReason.EXPIRED
            )
            for name, lease in sorted(self.leases.items())
            if now_us >= lease.expires_at_us and name not in self._pending_writes
        ]

    def next_expiry_us(self) -> int | None:
        """When `expire` next has something to do; None without leases."""
        return min(
            (lease.expires_at_us for lease in self.leases.values()), default=None
        )

    def commit(self, record: Record) -> None:
        """Apply a record that is on disk, in the order of `n`.

        One that was applied before is skipped.
        """
        number = int(record["n"])
        name = record.get("name", "")
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
        kind = record["kind"]
        if kind == RecordKind.GRANT:
            self._apply_grant(number, record)
        elif kind == RecordKind.END:
            self.leases.pop(name, None)
        elif kind == RecordKind.REVOKE and name in self.leases:
            self.leases[name] = replace(self.leases[name], revoked=True)
        elif kind == RecordKind.START:
            self._apply_start(number, bool(record["sure"]), int(record["longest_us"]))

    def abandon(self, record: Record) -> None:
        """Give up a record that could not be written.

        Nothing is answered, and its number is never used again.
        """
        if self._pending_writes.get(record.get("name", "")) == record["n"]:
            del self._pending_writes[record["name"]]

    def _apply_grant(self, number: int, record: Record) -> None:
        self.history_uncertain = False
        name = record["name"]
        ttl_us = int(record["ttl_us"])
        self.leases[name] = Lease(
            name,
            record["holder"],
            Token(int(record["epoch"]), number),
            ttl_us,
            self._expiry_us(self._now_us, ttl_us),
            record["note"],
        )

    def _apply_start(self, number: int, sure: bool, longest_us: int) -> None:
        self.history_uncertain = not sure
        self.longest_ttl_us = longest_us
        if not sure:
            self.leases.clear()
        # The log also holds the starts of earlier processes.
        self.started = number == self._start_record
        for name, lease in self.leases.items():
            expires_at_us = self._expiry_us(self._started_at_us, lease.ttl_us)
            self.leases[name] = replace(lease, expires_at_us=expires_at_us)

    def _new_record(self, kind: RecordKind, **fields: Any) -> Record:
        number = self.next_record_number()
        self._highest_issued = Token(self._highest_issued.epoch, number)
        return {"n": number, "kind": kind.value, **fields}

    def _end_record(self, lease: Lease, reason: EndReason) -> Record:
        record = self._new_record(
            RecordKind.END,
            name=lease.name,
            token=lease.token.to_wire(),
            why=reason.value,
        )
        self._pending_writes[lease.name] = record["n"]
        return record

    def next_record_number(self) -> int:
        """The number of the next record: never used before in this history."""
        return self._highest_issued.number + 1

    def _advance_clock(self, now_us: int) -> int:
        # A clock that went back is taken to stand still: so no lease ends too soon.
        self._now_us = max(self._now_us, now_us)
        return self._now_us

    def _time_until_grants_us(self, now_us: int) -> int:
        if not self.started:
            return PENDING_WRITE_RETRY_US
        return max(self._grants_from_us - now_us, 0)

    def _expiry_us(self, at_us: int, ttl_us: int) -> int:
        return at_us + service_expiry_us(ttl_us, self.settings.drift)

    def _require_held(
        self, name: str, token: Token, epoch_record: Record | None, missing_status: int
    ) -> Lease:
        """The lease held under this token, with no change of it being written."""
        lease = self.leases.get(name)
        if lease is None:
            raise LeaseRejectedError(
                missing_status, [f"name: nobody holds {name}"], record=epoch_record
            )
        if lease.token != token:
            raise LeaseRejectedError(
                CONFLICT,
                [f"token: {name} is held under {lease.token.to_wire()}"],
                lease.token,
                epoch_record,
            )
        if name in self._pending_writes:
            raise LeaseRejectedError(
                CONFLICT,
                [f"token: another change of {name} is being written"],
                lease.token,
                epoch_record,
            )
        return lease

    def _renew_lease(
        self, now_us: int, lease: Lease, epoch_record: Record | None
    ) -> LeaseGrant:
        expires_at_us = self._expiry_us(now_us, lease.ttl_us)
        self.leases[lease.name] = replace(lease, expires_at_us=expires_at_us)
        return LeaseGrant(lease.name, lease.token, lease.ttl_us, epoch_record)

    def snapshot(self) -> dict[str, Any]:
        """What is committed, for JSON.

        When leases expire is left out: a start counts them as renewed.
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
        """Restore a table from its snapshot; call `start` next.

        Raises:
            KeyError, TypeError, ValueError: `raw` is no snapshot of a table.
        """
        table = LeaseTable(settings)
        table.epoch = int(raw["epoch"])
        table.last_committed = int(raw["number"])
        table.history_uncertain = bool(raw["unsure"])
        table.longest_ttl_us = int(raw["longest_us"])
        table._highest_issued = Token(table.epoch, table.last_committed)
        for row in raw["leases"]:
            lease = _lease_from_row(row)
            table.leases[lease.name] = lease
        return table
