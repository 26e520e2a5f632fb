"""Leases as a model for `rainfall.explore`: two holders, a forgetful service, a
guarded resource.

The cores are those that the processes run. Around them: messages that are lost, doubled
and late without bound, clocks a quarter apart, a service killed and started with its
folder whole, lost, or two versions old, and holders that may stand still between the
check and the guarded action for as long as the search lasts.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import replace
from typing import Any, NamedTuple, TypeVar

from rainfall.explore.net import Net
from rainfall.lease.guard import Guard
from rainfall.lease.holder import Holder
from rainfall.lease.table import Grant, Table
from rainfall.lease.terms import Record, Refused, Terms, surely_out_us
from rainfall.lease.token import NEVER, Token

BUGS = (
    "no margin",
    "from the answer",
    "restart forgets",
    "no wait",
    "no lift",
    "no guard",
    "told unwritten",
)
NAME, TTL, DRIFT = "x", 8, 0.25
SERVICE_RATE, RATES = (
    4,
    (3, 4),
)  # what each clock shows of one tick; the first holder's is the slow one
T = TypeVar("T", Table, Holder, Guard)
Ask = tuple[str, int, int, Token | None, Token]


class FromAnswer(Holder):
    def answered(self, now_us: int, sent: int, token: Token, ttl_us: int) -> bool:
        if sent in self._asks:
            self._asks[sent] = replace(self._asks[sent], at_us=now_us)
        return super().answered(now_us, sent, token, ttl_us)


class NoWait(Table):
    def _doubt(self) -> None:
        self._from_us = self._start_us


class NoLift(Table):
    def lift(self, seen: Token) -> Record | None:
        return None


class NoGuard(Guard):
    def check(self, name: str, token: Token) -> bool:
        return True


class State(NamedTuple):
    """Never changed once made; cores are forked before they are touched."""

    table: Table
    disk: tuple[dict[str, Any], ...]
    """The folder as it is, last, and as it was up to two versions ago."""
    holders: tuple[Holder, ...]
    checked: tuple[Token | None, ...]
    """The token each holder checked and has yet to act under."""
    net: Net
    guard: Guard
    tick: int = 0
    asks: tuple[int, ...] = (0, 0)
    starts: int = 1
    told: Token = NEVER
    """Highest that a client told the service since its folder last failed it."""
    given: Token = NEVER
    """Highest that was ever granted."""
    served: tuple[Token, int] = (NEVER, -1)
    """Highest that the resource served, and for whom."""
    why: str = ""


class Leases:
    """`wall`: the wall clock goes on, so the service's hint grows with each start;
    without it the hint is none at all. `unnoticed`: an older copy is taken for the
    whole folder. `held`: the first holder has its lease at the start, just asked for.
    The rest counts what may happen; time is not counted: states alike but for when they
    are reached are one, so a search can be complete.
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
        if bug not in ("", *BUGS):
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
        self.terms = Terms(self.drift, 1, TTL, 4)
        self.table = {"no wait": NoWait, "no lift": NoLift}.get(bug, Table)
        self.holder = FromAnswer if bug == "from the answer" else Holder
        self.guard = NoGuard if bug == "no guard" else Guard

    def start(self) -> State:
        """A service that was up for long; nobody holds anything, and a lease of another
        name was given up.
        """
        table = self.table(self.terms)
        table.commit(table.start(-100, False))
        made = table.acquire(-50, "y", "C", TTL)
        assert isinstance(made, Grant) and made.record
        table.commit(made.record)
        table.commit(table.release(-50, "y", made.token))
        holders = tuple(self.holder(TTL, self.drift, lambda: 0.5) for _ in RATES)
        state = State(
            table,
            (table.snapshot(),) * 3,
            holders,
            (None,) * len(holders),
            Net(most=3, copies=self.copies),
            self.guard(),
        )
        if self.held:
            ask = holders[0].asked(0)
            state = self._asked(state, 0, ask.sent, None, NEVER)
            state = self._arrives(
                state._replace(net=replace(state.net, bag=())), state.net.bag[0]
            )
        return state

    # -- steps
    # ---------------------------------------------------------------------------------------

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Everything that may happen next."""
        yield "a tick", state._replace(tick=state.tick + 1)
        for who, name in enumerate("AB"):
            yield from self._holder_steps(state, who, name)
        for message, net in state.net.arrivals():
            yield f"{message} arrives", self._arrives(state._replace(net=net), message)
        out = state.table.next_us()
        if out is not None and out <= self._at(state):
            table = fork(state.table)
            records = table.expire(self._at(state))
            yield (
                "the service ends what is out",
                self._written(state, table, records, records[-1]),
            )
        if state.starts < self.starts:
            yield "the service starts anew", self._started(state, state.disk[-1], True)
            yield (
                "the service starts anew, its folder two versions old",
                self._started(state, state.disk[0], self.unnoticed),
            )
            yield (
                "the service starts anew, its folder lost",
                self._started(state, None, False),
            )

    def _holder_steps(
        self, state: State, who: int, name: str
    ) -> Iterator[tuple[str, State]]:
        now = state.tick * RATES[who]
        if state.asks[who] < self.asks[who]:
            holder = fork(state.holders[who])
            ask = holder.asked(now)
            net = state.net.send(("ask", who, ask.sent, ask.token, ask.seen))
            yield (
                f"{name} asks",
                self._with(state, who, holder)._replace(
                    net=net, asks=put(state.asks, who, state.asks[who] + 1)
                ),
            )
        token = state.checked[who]
        if token is None and state.holders[who]._valid(now):
            yield (
                f"{name} checks",
                state._replace(
                    checked=put(state.checked, who, state.holders[who].token)
                ),
            )
        if token is not None:
            yield (
                f"{name} acts",
                self._acts(
                    state._replace(checked=put(state.checked, who, None)), who, token
                ),
            )
        if (
            self.lets_go
            and state.holders[who].token is not None
            and state.asks[who] < self.asks[who]
        ):
            holder = fork(state.holders[who])
            net = state.net.send(("let go", who, 0, holder.let_go(), NEVER))
            yield f"{name} lets go", self._with(state, who, holder)._replace(net=net)

    def _acts(self, state: State, who: int, token: Token) -> State:
        guard, before = fork(state.guard), state.served
        try:
            guard.check(NAME, token)
        except Refused as error:
            holder = fork(state.holders[who])
            holder.fenced(error.seen)
            return self._with(state, who, holder)
        why = ""
        # Without a hint a token may come twice where nobody who saw it speaks: only the
        # operator can help.
        if self.wall and (token < before[0] or token == before[0] and who != before[1]):
            why = f"{token} of {'AB'[who]} was served after {before[0]}"
        return state._replace(
            guard=guard, served=max(before, (token, who)), why=why or state.why
        )

    def _arrives(self, state: State, message: Hashable) -> State:
        assert isinstance(message, tuple)
        kind, who, sent, token, seen = message
        if kind == "ask":
            return self._asked(state, who, sent, token, seen)
        if kind == "let go":
            table = fork(state.table)
            try:
                record = table.release(self._at(state), NAME, token)
            except Refused:
                return state
            return self._written(state, table, [record], record)
        holder, now = fork(state.holders[who]), state.tick * RATES[who]
        if kind == "yes":
            holder.answered(now, sent, token, TTL)
        else:
            holder.refused(now, sent, seen)
        return self._with(state, who, holder)

    def _asked(
        self, state: State, who: int, sent: int, token: Token | None, seen: Token
    ) -> State:
        table, now = fork(state.table), self._at(state)
        told = max(state.told, seen, token or NEVER)
        record: Record | None
        answer: tuple[Any, ...] | None = None
        try:
            made = (
                table.acquire(now, NAME, "AB"[who], TTL, seen)
                if token is None
                else table.renew(now, NAME, token, seen)
            )
            record = made.record
        except Refused as error:
            answer, record = ("no", who, sent, None, error.seen), error.record
        else:
            if isinstance(made, Grant):
                answer = ("yes", who, sent, made.token, NEVER)
        why, given = "", state.given
        if record is not None and record["kind"] == "grant":
            fresh = Token(record["epoch"], record["n"])
            if fresh <= (max(given, told) if self.wall else told):
                why = f"{fresh} was granted, though {max(given, told)} was before"
            given = max(given, fresh)
        after = self._written(state, table, [record] if record else [], record or {})
        net = state.net if answer is None else state.net.send(answer)
        return after._replace(net=net, told=told, given=given, why=why or state.why)

    def _written(
        self, state: State, table: Table, records: list[Record], last: Record
    ) -> State:
        for record in records:
            table.commit(record)
        disk = state.disk
        if records and not (
            self.bug == "told unwritten" and last.get("kind") == "grant"
        ):
            disk = (*disk[1:], table.snapshot())
        return state._replace(table=table, disk=disk)

    def _started(
        self, state: State, folder: dict[str, Any] | None, sure: bool
    ) -> State:
        if folder is not None and self.bug == "restart forgets":
            folder = {**folder, "leases": []}
        table = (
            self.table(self.terms)
            if folder is None
            else self.table.restored(folder, self.terms)
        )
        starts = state.starts + 1
        record = table.start(self._at(state), sure, starts if self.wall else 0)
        whole = folder is not None and folder == state.disk[-1]
        state = state._replace(starts=starts, told=state.told if whole else NEVER)
        return self._written(state, table, [record], record)

    # -- what must hold
    # ------------------------------------------------------------------------------

    def broken(self, state: State) -> str:
        """Tokens that went back, and two that may act at once (by time alone: whatever
        the guard says).
        """
        if state.why:
            return state.why
        both = not self.unnoticed and all(
            holder._valid(state.tick * rate)
            for holder, rate in zip(state.holders, RATES, strict=True)
        )
        return "both holders may act" if both else ""

    def key(self, state: State) -> Hashable:
        table, now = state.table, self._at(state)
        holders = tuple(
            (
                h.token,
                max(h.valid_until_us - at, 0),
                h.seen,
                h._out,
                h._newest,
                state.checked[who],
                state.asks[who],
                tuple(
                    (a.sent, a.token, max(a.at_us - at, -TTL)) for a in h._asks.values()
                ),
            )
            for who, h in enumerate(state.holders)
            for at in (state.tick * RATES[who],)
        )
        wait_us = table._start_us + surely_out_us(TTL, self.drift) - now
        return (
            holders,
            state.net,
            state.starts,
            state.told,
            state.given,
            state.served,
            state.why,
            state.guard.seen(NAME),
            table._top,
            table.number,
            table.unsure,
            max(wait_us, 0),
            max(table._from_us - now, 0),
            table.epoch,
            tuple(
                (lease.holder, lease.token, max(lease.until_us - now, 0))
                for lease in table.leases.values()
            ),
            state.starts < self.starts and tuple(map(folder_key, state.disk)),
        )

    # -- helpers
    # -------------------------------------------------------------------------------------

    @staticmethod
    def _at(state: State) -> int:
        return state.tick * SERVICE_RATE

    @staticmethod
    def _with(state: State, who: int, holder: Holder) -> State:
        return state._replace(holders=put(state.holders, who, holder))


def folder_key(folder: dict[str, Any]) -> Hashable:
    return (
        folder["epoch"],
        folder["number"],
        folder["unsure"],
        tuple((holder, *token) for _, holder, token, _, _, _ in folder["leases"]),
    )


def put(row: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    return (*row[:at], value, *row[at + 1 :])


def fork(core: T) -> T:
    """A copy that shares only what never changes: the cores keep plain values and flat
    dictionaries.
    """
    copy = object.__new__(type(core))
    found = copy.__dict__
    found.update(core.__dict__)
    for name, value in core.__dict__.items():
        if isinstance(value, dict):
            found[name] = value.copy()
    return copy
