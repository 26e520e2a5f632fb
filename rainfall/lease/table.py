"""The service's lease table: holder, expiry and token of each leased name.

Each change that must survive a restart is returned as a record. The caller writes and
syncs the record, passes it to `commit`, and only then answers the request. Renewals are
not written: a start treats every known lease as just renewed. All tokens take their
number from one persisted counter, so the tokens of a name increase although the table
does not store names without a lease.

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
"""Retry delay while a change of the same name is being written."""
UNKNOWN_HISTORY = "what was granted before this start is not known"


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease in the table."""

    name: str
    holder: str
    token: Token
    ttl_us: int
    expires_at_us: int
    """When the lease has expired on every clock."""
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
    """Decode a snapshot row; the following start sets `expires_at_us`."""
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
    """A granted or renewed lease."""

    name: str
    token: Token
    ttl_us: int
    record: Record | None = None
    """If not None, it must be on disk and committed before the grant is answered."""


@dataclass(frozen=True, slots=True)
class LeaseUnavailable:
    """The lease cannot be granted now."""

    retry_after_us: int
    """Earliest time from now at which the lease may become available."""
    reason: str
    record: Record | None = None
    """If not None, it has to be written although no lease is granted."""


class LeaseTable:
    """The leases in force, by name.

    Create the table empty or with `from_snapshot`, `commit` the records of the log,
    then call `start`.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        if faults := settings.faults():
            raise LeaseRejectedError(UNPROCESSABLE, faults)
        self.settings = settings
        self.leases: dict[str, Lease] = {}
        self.epoch = 0
        self.last_committed = 0
        self.history_uncertain = True
        """Whether the stored history may be incomplete; the next grant clears it."""
        self.longest_ttl_us = 0
        """The longest time to live that a missing record may have granted."""
        self.started = False
        self._highest_issued = ZERO_TOKEN
        """The highest token of any record, written or not."""
        self._pending_writes: dict[str, int] = {}
        """Number of the record that is being written, by name."""
        self._start_record = 0
        """Number of the record of this process's start."""
        self._now_us = 0
        self._started_at_us = 0
        self._grants_from_us = 0
        """No lease is granted before this time."""

    def start(self, now_us: int, history_complete: bool, min_epoch: int = 0) -> Record:
        """Begin an epoch; no lease is granted or renewed until its record is committed.

        Args:
            now_us: The present time.
            history_complete: Whether the folder is complete, as the last process left it; a torn
                last line is allowed. If it is not, all known leases are dropped, and
                the first grant waits for the longest lease to expire.
            min_epoch: Lower limit of the new epoch: a wall clock in seconds, or a
                number set by an operator.
        """
        self._now_us = now_us
        self._started_at_us = now_us
        self.history_uncertain = (
            self.history_uncertain or not history_complete or not self.epoch
        )
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

    def observe_token(self, highest_seen: Token) -> Record | None:
        """Process a token that a client has seen.

        If it is above every token that this service issued, the service's epoch is
        raised above the token's. No lease is ended. `acquire` and `renew` call this.

        Returns:
            The record of the new epoch; None if the epoch is unchanged.

        Raises:
            LeaseRejectedError: 422, the token's epoch is more than `MAX_EPOCH_JUMP`
                above the service's.
        """
        if highest_seen <= self._highest_issued:
            return None
        if highest_seen.epoch > self._highest_issued.epoch + MAX_EPOCH_JUMP:
            fault = (
                f"seen: epoch {highest_seen.epoch} is too far above this service's epoch"
                f" {self._highest_issued.epoch}: if it is valid, raise the service's minimum epoch"
            )
            raise LeaseRejectedError(UNPROCESSABLE, [fault])
        self._delay_grants()
        self._raise_epoch(highest_seen.epoch)
        return self._new_record(RecordKind.EPOCH, epoch=self._highest_issued.epoch)

    def _delay_grants(self) -> None:
        # Leases granted in another history may be in force until the longest time to live
        # after this process's start has passed.
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
        highest_seen: Token = ZERO_TOKEN,
        presented_token: Token = ZERO_TOKEN,
        note: Mapping[str, str] | None = None,
    ) -> LeaseGrant | LeaseUnavailable:
        """Acquire a lease.

        Args:
            now_us: The present time.
            name: The name to lease.
            holder: Identifies one run of one process. A repeated request of the same
                holder renews its lease if `highest_seen` is below the lease's token: the answer
                with the token may have been lost. Otherwise the holder counts as having
                received the token and given it up, and a new lease is granted.
            ttl_us: How long the lease lasts after each renewal.
            highest_seen: The highest token that the caller has seen.
            presented_token: The token of the lease in force, presented by its process after a
                restart: the lease is then granted again at once.
            note: Stored with the lease for its readers.

        Raises:
            LeaseRejectedError: 400 for an invalid request, 422 for too many leases.
        """
        note = {} if note is None else note
        if faults := request_faults(self.settings, name, holder, ttl_us, note):
            raise LeaseRejectedError(BAD_REQUEST, faults)
        now_us = self._advance_clock(now_us)
        epoch_record = self.observe_token(highest_seen)
        if unavailable := self._blocked_grant(now_us, name, epoch_record):
            return unavailable
        lease = self.leases.get(name)
        if lease is not None and now_us < lease.expires_at_us:
            is_own_lease = lease.holder == holder and not lease.revoked
            if is_own_lease and highest_seen < lease.token:
                return self._renew_lease(now_us, lease, epoch_record)
            if not is_own_lease and (presented_token != lease.token or lease.revoked):
                wait_us = lease.expires_at_us - now_us
                return LeaseUnavailable(wait_us, f"{name} is held", epoch_record)
        if lease is None:
            self._require_capacity(epoch_record)
        return self._grant(name, holder, ttl_us, note)

    def _blocked_grant(
        self, now_us: int, name: str, epoch_record: Record | None
    ) -> LeaseUnavailable | None:
        """Why no lease of this name can be granted to any holder now; None if it can."""
        if wait_us := self._time_until_grants_us(now_us):
            return LeaseUnavailable(wait_us, UNKNOWN_HISTORY, epoch_record)
        if name in self._pending_writes:
            reason = "a change of this name is being written"
            return LeaseUnavailable(PENDING_WRITE_RETRY_US, reason, epoch_record)
        return None

    def _require_capacity(self, epoch_record: Record | None) -> None:
        limit = self.settings.max_leases
        if len(self.leases) + len(self._pending_writes) >= limit:
            fault = f"name: the limit of {limit} leases is reached"
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
        self, now_us: int, name: str, token: Token, highest_seen: Token = ZERO_TOKEN
    ) -> LeaseGrant | LeaseUnavailable:
        """Renew a lease for its whole time to live.

        The result is `LeaseUnavailable` while the state of the lease is unknown; the
        holder may use the lease until it expires.

        Raises:
            LeaseRejectedError: 409, final for this token: the lease has expired, was
                revoked, or has another token. 409 also while a change of the name is
                being written.
        """
        now_us = self._advance_clock(now_us)
        epoch_record = self.observe_token(max(highest_seen, token))
        if not self.started or (
            self.history_uncertain and self._time_until_grants_us(now_us)
        ):
            wait_us = self._time_until_grants_us(now_us)
            return LeaseUnavailable(wait_us, UNKNOWN_HISTORY, epoch_record)
        lease = self._require_held(name, token, epoch_record, CONFLICT)
        if now_us >= lease.expires_at_us:
            raise LeaseRejectedError(
                CONFLICT,
                [f"token: the lease on {name} has expired"],
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
        """Release a lease that its holder no longer uses; the name is free at once.

        Raises:
            LeaseRejectedError: 404, the name is not leased; 409, it is leased under
                another token, or a change of it is being written.
        """
        self._advance_clock(now_us)
        lease = self._require_held(name, token, None, NOT_FOUND)
        return self._end_record(lease, EndReason.RELEASED)

    def revoke(self, now_us: int, name: str) -> Record:
        """Revoke a lease on an operator's request.

        The lease is no longer renewed, and its name is free once the lease has expired
        on every clock. Until then the holder may use it, unless the guarded resource
        has seen a higher token.

        Raises:
            LeaseRejectedError: 404, the name is not leased; 409, a change of it is being
                written.
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
        """The lease of this name; None without one."""
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
        """When the next lease expires; None without leases."""
        return min(
            (lease.expires_at_us for lease in self.leases.values()), default=None
        )

    def commit(self, record: Record) -> None:
        """Apply a record that is on disk; records come in the order of `n`.

        A record that was applied before is skipped.
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
        """Discard a record that could not be written.

        The request is not answered, and the record's number is never reused.
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
        # The log also contains the start records of earlier processes.
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
        """The number of the next record; not used before in this history."""
        return self._highest_issued.number + 1

    def _advance_clock(self, now_us: int) -> int:
        # A clock that goes back counts as unchanged, so that no lease expires too early.
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
        """The lease with this token, if no change of it is being written; raise otherwise."""
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
        """The committed state as a JSON object.

        Expiry times are left out: a start treats every lease as just renewed.
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
            KeyError, TypeError, ValueError: `raw` is not a table snapshot.
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
