"""A model of leases for the model checker: two holders, a service, a guarded resource.

The lease classes are those that the processes run. Around them: messages that are lost,
duplicated and late without bound; clocks that run a quarter apart; a service that is
killed and restarted with its folder complete, lost, or two versions old; and holders
that may stop between the check and the guarded action for as long as the search lasts.
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
    "no margin",
    "from the answer",
    "restart forgets",
    "no wait",
    "no lift",
    "no guard",
    "told unwritten",
)
NAME, TTL, DRIFT = "x", 8, 0.25
SERVICE_RATE = 4
"""What the service's clock shows of one tick."""
RATES = (3, 4)
"""The same of the holders' clocks; the first holder's is the slow one."""
T = TypeVar("T", LeaseTable, LeaseHolder, FencingGuard)
Ask = tuple[str, int, int, Token | None, Token]


class HolderTimedFromAnswer(LeaseHolder):
    """Planted fault: the lease counts from its answer, not from its request."""

    def on_granted(self, now_us: int, sent: int, token: Token, ttl_us: int) -> bool:
        """Take an answer that grants or renews the lease."""
        if sent in self._pending_requests:
            self._pending_requests[sent] = replace(
                self._pending_requests[sent], sent_at_us=now_us
            )
        return super().on_granted(now_us, sent, token, ttl_us)


class TableWithoutWait(LeaseTable):
    """Planted fault: grants begin at once after an unknown history."""

    def _delay_grants(self) -> None:
        self._grants_from_us = self._started_at_us


class TableWithoutEpochRaise(LeaseTable):
    """Planted fault: a token seen elsewhere does not raise the epoch."""

    def observe_token(self, seen: Token) -> Record | None:
        """Ignore a token that a client has seen."""
        del seen
        return None


class GuardWithoutCheck(FencingGuard):
    """Planted fault: every token is served."""

    def check(self, name: str, token: Token) -> bool:
        """Accept any token."""
        del name, token
        return True


class ModelState(NamedTuple):
    """Never changed once made: holders, table and guard are copied before a change."""

    table: LeaseTable
    disk: tuple[dict[str, Any], ...]
    """The folder as it was two versions ago, one ago, and as it is."""
    holders: tuple[LeaseHolder, ...]
    checked: tuple[Token | None, ...]
    """The token each holder checked and has yet to act under."""
    net: Network
    guard: FencingGuard
    tick: int = 0
    asks: tuple[int, ...] = (0, 0)
    starts: int = 1
    told: Token = ZERO_TOKEN
    """Highest that a client told the service since its folder last failed it."""
    given: Token = ZERO_TOKEN
    """Highest that was ever granted."""
    served: tuple[Token, int] = (ZERO_TOKEN, -1)
    """Highest that the resource served, and for whom."""
    why: str = ""


class LeaseModel:
    """The steps that may happen, and what must hold.

    States that differ only in when they are reached count as one, so that a search can
    be complete. The parameters limit what may happen.

    Args:
        bug: One of `MUTATIONS`, or none.
        wall: The wall clock goes on: the service's hint grows with each start. Without
            it there is no hint.
        unnoticed: An older copy of the folder is taken for the complete one.
        asks: Requests of each holder.
        starts: Starts of the service.
        copies: Messages that may be duplicated.
        lets_go: Holders may relinquish their lease.
        held: The first holder has its lease at the start, requested just now.
    """

    def __init__(
        self,
        bug: str = "",
        wall: bool = True,
        unnoticed: bool = False,
        asks: tuple[int, int] = (2, 1),
        starts: int = 2,
        copies: int = 0,
        lets_go: bool = False,
        held: bool = False,
    ) -> None:
        if bug not in ("", *MUTATIONS):
            raise ValueError(f"no such bug: {bug}")
        self.bug, self.wall, self.unnoticed = bug, wall, unnoticed
        self.asks, self.starts, self.copies, self.lets_go = (
            asks,
            starts,
            copies,
            lets_go,
        )
        self.held = held
        self.drift = 0.0 if bug == "no margin" else DRIFT
        self.terms = LeaseSettings(self.drift, 1, TTL, 4)
        self.table_class = {
            "no wait": TableWithoutWait,
            "no lift": TableWithoutEpochRaise,
        }.get(bug, LeaseTable)
        self.holder_class = (
            HolderTimedFromAnswer if bug == "from the answer" else LeaseHolder
        )
        self.guard_class = GuardWithoutCheck if bug == "no guard" else FencingGuard

    def start(self) -> ModelState:
        """A service that has been up for long, with no lease in force.

        A lease of another name was released.
        """
        table = self.table_class(self.terms)
        table.commit(table.start(-100, False))
        made = table.acquire(-50, "y", "C", TTL)
        assert isinstance(made, LeaseGrant) and made.record
        table.commit(made.record)
        table.commit(table.release(-50, "y", made.token))
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
            ask = holders[0].start_request(0)
            state = self._serve_request(state, 0, ask.number, None, ZERO_TOKEN)
            state = self._deliver(
                state._replace(net=replace(state.net, in_transit=())),
                state.net.in_transit[0],
            )
        return state

    # -- steps
    # ---------------------------------------------------------------------------------------

    def steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Everything that may happen next."""
        yield "a tick", state._replace(tick=state.tick + 1)
        for who, name in enumerate("AB"):
            yield from self._holder_steps(state, who, name)
        for message, net in state.net.arrivals():
            yield f"{message} arrives", self._deliver(state._replace(net=net), message)
        out = state.table.next_expiry_us()
        if out is not None and out <= self._service_time(state):
            table = copy_core(state.table)
            records = table.expire(self._service_time(state))
            yield (
                "the service ends what is out",
                self._write_records(state, table, records, records[-1]),
            )
        if state.starts < self.starts:
            yield (
                "the service starts anew",
                self._restart_service(state, state.disk[-1], True),
            )
            yield (
                "the service starts anew, its folder two versions old",
                self._restart_service(state, state.disk[0], self.unnoticed),
            )
            yield (
                "the service starts anew, its folder lost",
                self._restart_service(state, None, False),
            )

    def _holder_steps(
        self, state: ModelState, who: int, name: str
    ) -> Iterator[tuple[str, ModelState]]:
        now = state.tick * RATES[who]
        if state.asks[who] < self.asks[who]:
            holder = copy_core(state.holders[who])
            ask = holder.start_request(now)
            net = state.net.send(("ask", who, ask.number, ask.token, ask.highest_seen))
            yield (
                f"{name} asks",
                self._with_holder(state, who, holder)._replace(
                    net=net, asks=replaced_at(state.asks, who, state.asks[who] + 1)
                ),
            )
        token = state.checked[who]
        if token is None and state.holders[who]._is_valid(now):
            yield (
                f"{name} checks",
                state._replace(
                    checked=replaced_at(state.checked, who, state.holders[who].token)
                ),
            )
        if token is not None:
            yield (
                f"{name} acts",
                self._act_under_token(
                    state._replace(checked=replaced_at(state.checked, who, None)),
                    who,
                    token,
                ),
            )
        if (
            self.lets_go
            and state.holders[who].token is not None
            and state.asks[who] < self.asks[who]
        ):
            holder = copy_core(state.holders[who])
            net = state.net.send(("let go", who, 0, holder.relinquish(), ZERO_TOKEN))
            yield (
                f"{name} lets go",
                self._with_holder(state, who, holder)._replace(net=net),
            )

    def _act_under_token(self, state: ModelState, who: int, token: Token) -> ModelState:
        guard, before = copy_core(state.guard), state.served
        try:
            guard.check(NAME, token)
        except LeaseRejectedError as error:
            holder = copy_core(state.holders[who])
            holder.on_fenced(error.conflicting_token)
            return self._with_holder(state, who, holder)
        why = ""
        # Without a hint a token may be issued twice, if nobody who saw it sends a
        # request: only an operator can prevent that.
        if self.wall and (
            token < before[0] or (token == before[0] and who != before[1])
        ):
            why = f"{token} of {'AB'[who]} was served after {before[0]}"
        return state._replace(
            guard=guard, served=max(before, (token, who)), why=why or state.why
        )

    def _deliver(self, state: ModelState, message: Hashable) -> ModelState:
        assert isinstance(message, tuple)
        kind, who, sent, token, seen = message
        if kind == "ask":
            return self._serve_request(state, who, sent, token, seen)
        if kind == "let go":
            table = copy_core(state.table)
            try:
                record = table.release(self._service_time(state), NAME, token)
            except LeaseRejectedError:
                return state
            return self._write_records(state, table, [record], record)
        holder, now = copy_core(state.holders[who]), state.tick * RATES[who]
        if kind == "yes":
            holder.on_granted(now, sent, token, TTL)
        else:
            holder.on_rejected(now, sent, seen)
        return self._with_holder(state, who, holder)

    def _serve_request(
        self, state: ModelState, who: int, sent: int, token: Token | None, seen: Token
    ) -> ModelState:
        table, now = copy_core(state.table), self._service_time(state)
        told = max(state.told, seen, token or ZERO_TOKEN)
        record: Record | None
        answer: tuple[Any, ...] | None = None
        try:
            made = (
                table.acquire(now, NAME, "AB"[who], TTL, seen)
                if token is None
                else table.renew(now, NAME, token, seen)
            )
            record = made.record
        except LeaseRejectedError as error:
            answer, record = (
                ("no", who, sent, None, error.conflicting_token),
                error.record,
            )
        else:
            if isinstance(made, LeaseGrant):
                answer = ("yes", who, sent, made.token, ZERO_TOKEN)
        why, given = "", state.given
        if record is not None and record["kind"] == "grant":
            fresh = Token(record["epoch"], record["n"])
            if fresh <= (max(given, told) if self.wall else told):
                why = f"{fresh} was granted, though {max(given, told)} was before"
            given = max(given, fresh)
        after = self._write_records(
            state, table, [record] if record else [], record or {}
        )
        net = state.net if answer is None else state.net.send(answer)
        return after._replace(net=net, told=told, given=given, why=why or state.why)

    def _write_records(
        self, state: ModelState, table: LeaseTable, records: list[Record], last: Record
    ) -> ModelState:
        for record in records:
            table.commit(record)
        disk = state.disk
        if records and not (
            self.bug == "told unwritten" and last.get("kind") == "grant"
        ):
            disk = (*disk[1:], table.snapshot())
        return state._replace(table=table, disk=disk)

    def _restart_service(
        self, state: ModelState, folder: dict[str, Any] | None, sure: bool
    ) -> ModelState:
        if folder is not None and self.bug == "restart forgets":
            folder = {**folder, "leases": []}
        table = (
            self.table_class(self.terms)
            if folder is None
            else self.table_class.from_snapshot(folder, self.terms)
        )
        starts = state.starts + 1
        record = table.start(
            self._service_time(state), sure, starts if self.wall else 0
        )
        whole = folder is not None and folder == state.disk[-1]
        state = state._replace(starts=starts, told=state.told if whole else ZERO_TOKEN)
        return self._write_records(state, table, [record], record)

    # -- what must hold
    # ------------------------------------------------------------------------------

    def broken(self, state: ModelState) -> str:
        """Tokens that went back, or two holders that may act at once.

        The latter by time alone, whatever the guard does.
        """
        if state.why:
            return state.why
        both = not self.unnoticed and all(
            holder._is_valid(state.tick * rate)
            for holder, rate in zip(state.holders, RATES, strict=True)
        )
        return "both holders may act" if both else ""

    def key(self, state: ModelState) -> Hashable:
        """What tells states apart, times as what is left of them."""
        table, now = state.table, self._service_time(state)
        holders = tuple(
            (
                h.token,
                max(h.valid_until_us - at, 0),
                h.highest_seen,
                h._ended_through,
                h._last_answered,
                state.checked[who],
                state.asks[who],
                tuple(
                    (a.number, a.token, max(a.sent_at_us - at, -TTL))
                    for a in h._pending_requests.values()
                ),
            )
            for who, h in enumerate(state.holders)
            for at in (state.tick * RATES[who],)
        )
        wait_us = table._started_at_us + service_expiry_us(TTL, self.drift) - now
        return (
            holders,
            state.net,
            state.starts,
            state.told,
            state.given,
            state.served,
            state.why,
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
            state.starts < self.starts and tuple(map(snapshot_key, state.disk)),
        )

    # -- helpers
    # -------------------------------------------------------------------------------------

    @staticmethod
    def _service_time(state: ModelState) -> int:
        return state.tick * SERVICE_RATE

    @staticmethod
    def _with_holder(state: ModelState, who: int, holder: LeaseHolder) -> ModelState:
        return state._replace(holders=replaced_at(state.holders, who, holder))


def snapshot_key(folder: dict[str, Any]) -> Hashable:
    """What tells snapshots of a table apart."""
    return (
        folder["epoch"],
        folder["number"],
        folder["unsure"],
        tuple((holder, *token) for _, holder, token, _, _, _ in folder["leases"]),
    )


def replaced_at(row: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    """The tuple with one item replaced."""
    return (*row[:at], value, *row[at + 1 :])


def copy_core(core: T) -> T:
    """A copy that shares only what never changes.

    The classes hold only plain values and flat dictionaries.
    """
    copy = object.__new__(type(core))
    found = copy.__dict__
    found.update(core.__dict__)
    for name, value in core.__dict__.items():
        if isinstance(value, dict):
            found[name] = value.copy()
    return copy
