"""A model of leases for the model checker: two holders, a service, a guarded resource.

The lease classes are the production ones. The model adds messages that are lost,
duplicated and delayed without bound; clocks whose rates differ by a quarter; a service
that is killed and restarted with its folder complete, lost, or two versions old; and
holders that may pause for any time between the check and the guarded action.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import Any, NamedTuple, TypeVar

from rainfall.lease.fencing import FencingGuard
from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.holder import LeaseHolder
from rainfall.lease.table import LeaseGrant, LeaseTable
from rainfall.lease.types import (
    LeaseRejectedError,
    LeaseSettings,
    Record,
    service_expiry_us,
)
from rainfall.model_checker.network import Network

MUTATIONS = (
    "no drift margin",
    "validity from answer",
    "restart drops leases",
    "no start wait",
    "no epoch raise",
    "no token check",
    "grant answered unwritten",
)
NAME, TTL, DRIFT = "x", 8, 0.25
SERVICE_RATE = 4
"""Microseconds that pass on the service's clock in one tick."""
RATES = (3, 4)
"""Microseconds that pass on each holder's clock in one tick; the first is slower."""
T = TypeVar("T", LeaseTable, LeaseHolder, FencingGuard)
RequestMessage = tuple[str, int, int, Token | None, Token]
"""(kind, holder index, request number, token, highest token seen)."""


class HolderTimedFromAnswer(LeaseHolder):
    """Mutation: the validity is counted from the answer instead of the request."""

    def on_granted(
        self, now_us: int, request_number: int, token: Token, ttl_us: int
    ) -> bool:
        """Handle a grant as if its request had been sent now."""
        if request_number in self._pending_requests:
            self._pending_requests[request_number] = replace(
                self._pending_requests[request_number], sent_at_us=now_us
            )
        return super().on_granted(now_us, request_number, token, ttl_us)


class TableWithoutWait(LeaseTable):
    """Mutation: grants begin at once after an incomplete history."""

    def _delay_grants(self) -> None:
        self._grants_from_us = self._started_at_us


class TableWithoutEpochRaise(LeaseTable):
    """Mutation: a token of another history does not raise the epoch."""

    def observe_token(self, highest_seen: Token) -> Record | None:
        """Ignore the token."""
        del highest_seen
        return None


class GuardWithoutCheck(FencingGuard):
    """Mutation: every token is accepted."""

    def check(self, name: str, token: Token) -> bool:
        """Accept any token."""
        del name, token
        return True


class ModelState(NamedTuple):
    """A state; immutable: holders, table and guard are copied before a change."""

    table: LeaseTable
    disk: tuple[dict[str, Any], ...]
    """The folder's snapshots: two versions old, one version old, current."""
    holders: tuple[LeaseHolder, ...]
    checked: tuple[Token | None, ...]
    """Each holder's token between the validity check and the guarded action."""
    network: Network
    guard: FencingGuard
    tick: int = 0
    requests_sent: tuple[int, ...] = (0, 0)
    starts: int = 1
    highest_reported: Token = ZERO_TOKEN
    """Highest token sent to the service since it last restarted without a complete folder."""
    highest_granted: Token = ZERO_TOKEN
    """Highest token ever granted."""
    highest_served: tuple[Token, int] = (ZERO_TOKEN, -1)
    """Highest token that the resource accepted, and the index of its holder."""
    violation: str = ""


class LeaseModel:
    """The steps and invariants of the model.

    States that differ only in absolute time count as one, so that a search can be
    complete. The parameters limit which steps are possible.

    Args:
        bug: One of `MUTATIONS`, or none.
        wall: Each start passes a higher `min_epoch`, as by a wall clock; otherwise
            `min_epoch` is 0.
        unnoticed: A start with an older copy of the folder counts as `history_complete`.
        asks: Most requests of each holder.
        starts: Most starts of the service.
        copies: Most messages that may be duplicated.
        may_relinquish: Holders may relinquish their lease.
        held: The first holder has a lease at the start, requested at time 0.
    """

    def __init__(
        self,
        bug: str = "",
        wall: bool = True,
        unnoticed: bool = False,
        asks: tuple[int, int] = (2, 1),
        starts: int = 2,
        copies: int = 0,
        may_relinquish: bool = False,
        held: bool = False,
    ) -> None:
        if bug not in ("", *MUTATIONS):
            raise ValueError(f"unknown mutation: {bug}")
        self.bug, self.wall, self.unnoticed = bug, wall, unnoticed
        self.max_requests, self.max_starts, self.copies, self.may_relinquish = (
            asks,
            starts,
            copies,
            may_relinquish,
        )
        self.held = held
        self.drift = 0.0 if bug == "no drift margin" else DRIFT
        self.settings = LeaseSettings(self.drift, 1, TTL, 4)
        self.table_class = {
            "no start wait": TableWithoutWait,
            "no epoch raise": TableWithoutEpochRaise,
        }.get(bug, LeaseTable)
        self.holder_class = (
            HolderTimedFromAnswer if bug == "validity from answer" else LeaseHolder
        )
        self.guard_class = (
            GuardWithoutCheck if bug == "no token check" else FencingGuard
        )

    def start(self) -> ModelState:
        """The initial state: the service's start wait is over.

        A lease of another name was granted and released.
        """
        table = self.table_class(self.settings)
        table.commit(table.start(-100, False))
        result = table.acquire(-50, "y", "C", TTL)
        assert isinstance(result, LeaseGrant) and result.record
        table.commit(result.record)
        table.commit(table.release(-50, "y", result.token))
        holders = tuple(self.holder_class(TTL, self.drift, lambda: 0.5) for _ in RATES)
        state = ModelState(
            table,
            (table.snapshot(),) * 3,
            holders,
            (None,) * len(holders),
            Network(max_in_transit=3, duplicates_left=self.copies),
            self.guard_class(),
        )
        if self.held:
            request = holders[0].start_request(0)
            state = self._serve_request(state, 0, request.number, None, ZERO_TOKEN)
            state = self._deliver(
                state._replace(network=replace(state.network, in_transit=())),
                state.network.in_transit[0],
            )
        return state

    # -- steps

    def steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Yield every step that is possible, and the state after it."""
        yield "a tick", state._replace(tick=state.tick + 1)
        for holder_index, name in enumerate("AB"):
            yield from self._holder_steps(state, holder_index, name)
        for message, network in state.network.arrivals():
            yield (
                f"{message} arrives",
                self._deliver(state._replace(network=network), message),
            )
        expiry_us = state.table.next_expiry_us()
        if expiry_us is not None and expiry_us <= self._service_time(state):
            table = copy_instance(state.table)
            records = table.expire(self._service_time(state))
            yield (
                "the service ends expired leases",
                self._write_records(state, table, records, records[-1]),
            )
        if state.starts < self.max_starts:
            yield (
                "the service restarts",
                self._restart_service(state, state.disk[-1], True),
            )
            yield (
                "the service restarts, its folder two versions old",
                self._restart_service(state, state.disk[0], self.unnoticed),
            )
            yield (
                "the service restarts, its folder lost",
                self._restart_service(state, None, False),
            )

    def _holder_steps(
        self, state: ModelState, holder_index: int, name: str
    ) -> Iterator[tuple[str, ModelState]]:
        now = state.tick * RATES[holder_index]
        if state.requests_sent[holder_index] < self.max_requests[holder_index]:
            holder = copy_instance(state.holders[holder_index])
            request = holder.start_request(now)
            network = state.network.send(
                (
                    "ask",
                    holder_index,
                    request.number,
                    request.token,
                    request.highest_seen,
                )
            )
            yield (
                f"{name} sends a request",
                self._with_holder(state, holder_index, holder)._replace(
                    network=network,
                    requests_sent=replaced_at(
                        state.requests_sent,
                        holder_index,
                        state.requests_sent[holder_index] + 1,
                    ),
                ),
            )
        token = state.checked[holder_index]
        if token is None and state.holders[holder_index]._is_valid(now):
            yield (
                f"{name} checks its lease",
                state._replace(
                    checked=replaced_at(
                        state.checked, holder_index, state.holders[holder_index].token
                    )
                ),
            )
        if token is not None:
            yield (
                f"{name} acts",
                self._act_under_token(
                    state._replace(
                        checked=replaced_at(state.checked, holder_index, None)
                    ),
                    holder_index,
                    token,
                ),
            )
        if (
            self.may_relinquish
            and state.holders[holder_index].token is not None
            and state.requests_sent[holder_index] < self.max_requests[holder_index]
        ):
            holder = copy_instance(state.holders[holder_index])
            network = state.network.send(
                ("let go", holder_index, 0, holder.relinquish(), ZERO_TOKEN)
            )
            yield (
                f"{name} relinquishes its lease",
                self._with_holder(state, holder_index, holder)._replace(
                    network=network
                ),
            )

    def _act_under_token(
        self, state: ModelState, holder_index: int, token: Token
    ) -> ModelState:
        guard, previous = copy_instance(state.guard), state.highest_served
        try:
            guard.check(NAME, token)
        except LeaseRejectedError as error:
            holder = copy_instance(state.holders[holder_index])
            holder.on_fenced(error.conflicting_token)
            return self._with_holder(state, holder_index, holder)
        violation = ""
        # Without `min_epoch` a token may be issued twice if no client that has seen it
        # sends a request: only an operator can prevent that.
        if self.wall and (
            token < previous[0]
            or (token == previous[0] and holder_index != previous[1])
        ):
            violation = (
                f"{token} of {'AB'[holder_index]} was accepted after {previous[0]}"
            )
        return state._replace(
            guard=guard,
            highest_served=max(previous, (token, holder_index)),
            violation=violation or state.violation,
        )

    def _deliver(self, state: ModelState, message: Hashable) -> ModelState:
        assert isinstance(message, tuple)
        kind, holder_index, request_number, token, seen = message
        if kind == "ask":
            return self._serve_request(state, holder_index, request_number, token, seen)
        if kind == "let go":
            table = copy_instance(state.table)
            try:
                record = table.release(self._service_time(state), NAME, token)
            except LeaseRejectedError:
                return state
            return self._write_records(state, table, [record], record)
        holder, now = (
            copy_instance(state.holders[holder_index]),
            state.tick * RATES[holder_index],
        )
        if kind == "yes":
            holder.on_granted(now, request_number, token, TTL)
        else:
            holder.on_rejected(now, request_number, seen)
        return self._with_holder(state, holder_index, holder)

    def _serve_request(
        self,
        state: ModelState,
        holder_index: int,
        request_number: int,
        token: Token | None,
        seen: Token,
    ) -> ModelState:
        table, now = copy_instance(state.table), self._service_time(state)
        highest_reported = max(state.highest_reported, seen, token or ZERO_TOKEN)
        record: Record | None
        answer: tuple[Any, ...] | None = None
        try:
            result = (
                table.acquire(now, NAME, "AB"[holder_index], TTL, seen)
                if token is None
                else table.renew(now, NAME, token, seen)
            )
            record = result.record
        except LeaseRejectedError as error:
            answer, record = (
                ("no", holder_index, request_number, None, error.conflicting_token),
                error.record,
            )
        else:
            if isinstance(result, LeaseGrant):
                answer = ("yes", holder_index, request_number, result.token, ZERO_TOKEN)
        violation, highest_granted = "", state.highest_granted
        if record is not None and record["kind"] == "grant":
            new_token = Token(record["epoch"], record["n"])
            if new_token <= (
                max(highest_granted, highest_reported)
                if self.wall
                else highest_reported
            ):
                violation = f"{new_token} was granted after {max(highest_granted, highest_reported)}"
            highest_granted = max(highest_granted, new_token)
        after = self._write_records(
            state, table, [record] if record else [], record or {}
        )
        network = state.network if answer is None else state.network.send(answer)
        return after._replace(
            network=network,
            highest_reported=highest_reported,
            highest_granted=highest_granted,
            violation=violation or state.violation,
        )

    def _write_records(
        self, state: ModelState, table: LeaseTable, records: list[Record], last: Record
    ) -> ModelState:
        for record in records:
            table.commit(record)
        disk = state.disk
        if records and not (
            self.bug == "grant answered unwritten" and last.get("kind") == "grant"
        ):
            disk = (*disk[1:], table.snapshot())
        return state._replace(table=table, disk=disk)

    def _restart_service(
        self, state: ModelState, folder: dict[str, Any] | None, sure: bool
    ) -> ModelState:
        if folder is not None and self.bug == "restart drops leases":
            folder = {**folder, "leases": []}
        table = (
            self.table_class(self.settings)
            if folder is None
            else self.table_class.from_snapshot(folder, self.settings)
        )
        starts = state.starts + 1
        record = table.start(
            self._service_time(state), sure, starts if self.wall else 0
        )
        folder_complete = folder is not None and folder == state.disk[-1]
        state = state._replace(
            starts=starts,
            highest_reported=state.highest_reported if folder_complete else ZERO_TOKEN,
        )
        return self._write_records(state, table, [record], record)

    # -- invariants

    def violation(self, state: ModelState) -> str:
        """The violated invariant: tokens increase, and one holder at most may act.

        The latter is checked by the leases' validity alone, without the guard.
        """
        if state.violation:
            return state.violation
        both_valid = not self.unnoticed and all(
            holder._is_valid(state.tick * rate)
            for holder, rate in zip(state.holders, RATES, strict=True)
        )
        return "both holders may act at once" if both_valid else ""

    def key(self, state: ModelState) -> Hashable:
        """The key of a state, with times relative to now."""
        table, now = state.table, self._service_time(state)
        holders = tuple(
            (
                holder.token,
                max(holder.valid_until_us - holder_now, 0),
                holder.highest_seen,
                holder._ended_through,
                holder._last_answered,
                state.checked[holder_index],
                state.requests_sent[holder_index],
                tuple(
                    (
                        request.number,
                        request.token,
                        max(request.sent_at_us - holder_now, -TTL),
                    )
                    for request in holder._pending_requests.values()
                ),
            )
            for holder_index, holder in enumerate(state.holders)
            for holder_now in (state.tick * RATES[holder_index],)
        )
        wait_us = table._started_at_us + service_expiry_us(TTL, self.drift) - now
        return (
            holders,
            state.network,
            state.starts,
            state.highest_reported,
            state.highest_granted,
            state.highest_served,
            state.violation,
            state.guard.required_token(NAME),
            table._highest_issued,
            table.last_committed,
            table.history_uncertain,
            max(wait_us, 0),
            max(table._grants_from_us - now, 0),
            table.epoch,
            tuple(
                (lease.holder, lease.token, max(lease.expires_at_us - now, 0))
                for lease in table.leases.values()
            ),
            state.starts < self.max_starts and tuple(map(snapshot_key, state.disk)),
        )

    # -- helpers

    @staticmethod
    def _service_time(state: ModelState) -> int:
        return state.tick * SERVICE_RATE

    @staticmethod
    def _with_holder(
        state: ModelState, holder_index: int, holder: LeaseHolder
    ) -> ModelState:
        return state._replace(holders=replaced_at(state.holders, holder_index, holder))


def snapshot_key(folder: dict[str, Any]) -> Hashable:
    """The part of a table snapshot that belongs to a state's key."""
    return (
        folder["epoch"],
        folder["number"],
        folder["unsure"],
        tuple((holder, *token) for _, holder, token, _, _, _ in folder["leases"]),
    )


def replaced_at(items: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    """A copy of the tuple with one item replaced."""
    return (*items[:index], value, *items[index + 1 :])


def copy_instance(instance: T) -> T:
    """A copy that shares only immutable values with the original.

    The classes hold only immutable values and flat dictionaries.
    """
    copy = object.__new__(type(instance))
    attributes = copy.__dict__
    attributes.update(instance.__dict__)
    for name, value in instance.__dict__.items():
        if isinstance(value, dict):
            attributes[name] = value.copy()
    return copy
