"""A model of budgets for the model checker: a service and members.

The budget classes are those that the processes run. A tick is one microsecond of the
service's clock. A member's clock may miss ticks, as far as `drift` allows. A pause
needs no step: nobody has to do anything at any time. A violation is found by what was
really sent and by what members' quotas would really allow, never by what the ledger
holds.
"""

from __future__ import annotations

import copy
import math
from collections.abc import Hashable, Iterator
from typing import Any

from rainfall.budget.ledger import Ledger
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.model_mutations import (
    MUTATIONS,
    AccountsFreedWhenTold,
    AccountsWithoutReserves,
    AccountsWithoutWindow,
    QuotaTakingOlderShares,
)
from rainfall.budget.model_state import (
    ModelState,
    Process,
    copy_ledger,
    copy_quota,
    describe_message,
    replace_fields,
    replace_member,
    state_key,
)
from rainfall.budget.persistence import restore, snapshot
from rainfall.budget.types import Budget, Share
from rainfall.lease.fencing_token import Token
from rainfall.model_checker.network import Network


class BudgetModel:
    """The steps that may happen, and what must hold.

    A heartbeat and its answer arrive at once, or are under way from then on: to arrive
    at any time, in any order, or never. The parameters limit what may happen: how often
    a message is delayed (`delays`), ticks that members' clocks miss (`slows`, with a
    `drift` that allows them), crashes of members, restarts of the service (`lost`: with
    its folder gone). `moves`: from now on the first member needs nothing and all others
    the whole budget, where else each heartbeat may report either. `first`: what is
    limited of members happens to the first only.
    """

    def __init__(
        self,
        whole: int = 3,
        reserve: int = 0,
        members: int = 2,
        seats: int = 0,
        delays: int = 0,
        slows: int = 0,
        crashes: int = 0,
        restarts: int = 0,
        lost: bool = False,
        moves: bool = False,
        first: bool = False,
        ttl: int = 3,
        span: int = 2,
        drift: float = 0.0,
        bug: str = "",
    ) -> None:
        if bug and bug not in MUTATIONS:
            raise ValueError(f"no bug {bug}")
        self.budget = Budget(
            "d",
            whole,
            span,
            reserve,
            seats or members,
            change=0.0,
            loose=0.0,
            pause_us=0,
            slack_us=0,
        )
        self.members, self.bug, self.lost, self.moves, self.first = (
            members,
            bug,
            lost,
            moves,
            first,
        )
        self.delays, self.slows, self.crashes, self.restarts = (
            delays,
            slows,
            crashes,
            restarts,
        )
        self.drift, self.ttl = drift, ttl
        # Ticks by the holder's clock, from when it asked; by the service's, from when
        # it answered.
        self.holder_lease_ticks, self.service_lease_ticks = (
            int(ttl * (1 - drift)),
            math.ceil(ttl * (1 + drift)),
        )
        if bug == "no drift margin":
            self.holder_lease_ticks = self.service_lease_ticks = ttl

    # -- the start: all joined, the first member holds what can be had
    # ------------------------------------

    def start(self) -> ModelState:
        """All have joined, and the first member holds all that can be had."""
        ledger = Ledger(
            [self.budget], self.service_lease_ticks, self.drift, 0, sure=True
        )
        ledger = self._with_mutation(ledger)
        world = ModelState(
            0,
            ledger,
            {},
            {},
            (),
            Network(),
            (),
            self.delays,
            self.slows,
            self.crashes,
            self.restarts,
        )
        tokens = [Token(1, n + 1) for n in range(self.members)]
        for n, token in enumerate(tokens):
            ledger.member_joined(token, f"f{n}", None, 0)
            ledger.heartbeat(
                token, {"d": {"": self.budget.calls if n == 0 else 0}}, {}, 0
            )
        disk = self._plan_and_commit(ledger, 0, {})
        window = self.budget.window_us(self.drift)
        members = []
        for n, token in enumerate(tokens):
            purse = self._new_quota(0)
            for share in ledger.shares_for(token).values():
                purse.receive_share(share, window + self.holder_lease_ticks, 0)
            holds = purse.held_share(token)
            need = self.budget.calls if n == 0 else 0
            ledger.heartbeat(token, {"d": {"": need}}, {"d": holds} if holds else {}, 0)
            members.append(Process(n, token, None, purse, window))
        ledger.plan(window)
        return replace_fields(
            world,
            now=window,
            leases=dict.fromkeys(tokens, window + self.service_lease_ticks),
            disk=disk,
            members=tuple(members),
            tokens=self.members,
        )

    def _new_quota(self, at: int, record: dict[str, Any] | None = None) -> MemberQuota:
        kind = (
            QuotaTakingOlderShares
            if self.bug == "older answer adopted"
            else MemberQuota
        )
        purse = kind(at, self.drift)
        if record is not None:
            old = MemberQuota.from_record(record, at, self.drift)
            purse.share, purse.window = old.share, old.window
            if self.bug == "new process sends at once":
                purse.window.unknown_until_us = -1_000
        return purse

    def _with_mutation(self, ledger: Ledger) -> Ledger:
        kinds = {
            "span not waited for": AccountsWithoutWindow,
            "freed when told": AccountsFreedWhenTold,
            "reserve not counted": AccountsWithoutReserves,
        }
        if self.bug in kinds:
            for book in ledger.budget_accounts.values():
                book.__class__ = kinds[self.bug]
        return ledger

    def _plan_and_commit(
        self, ledger: Ledger, now: int, disk: dict[str, Any]
    ) -> dict[str, Any]:
        change = ledger.plan(now)
        if change is None:
            return disk
        ledger.commit(change)
        return snapshot(ledger)

    # -- what can happen
    # ---------------------------------------------------------------------------------

    def steps(self, w: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Everything that may happen next."""
        yield "tick", self._tick(w, -1)
        for n, p in enumerate(w.members):
            struck = not (self.first and n)
            if w.slows and struck and not p.slow:
                yield f"tick that f{n}'s clock misses", self._tick(w, n)
            yield from self._heartbeat_steps(w, n, p)
            limit = p.purse.limit(p.at)
            purse = copy_quota(p.purse)
            went = sum(purse.spend(p.at) for _ in range(limit))
            if went:
                yield (
                    f"f{n} sends {went}",
                    replace_fields(
                        w,
                        members=replace_member(
                            w.members, n, replace_fields(p, purse=purse)
                        ),
                        sent=(*w.sent, (w.now, went)),
                    ),
                )
            if w.crashes and struck:
                purse = self._new_quota(p.at, p.purse.to_record())
                fresh = Process(
                    p.pid + 10, None, p.token or p.follows, purse, p.at, p.slow
                )
                yield (
                    f"f{n} crashes and starts again",
                    replace_fields(
                        w,
                        members=replace_member(w.members, n, fresh),
                        crashes=w.crashes - 1,
                    ),
                )
        if w.restarts:
            yield "the service starts again", self._restart(w)
        for message, net in w.net.arrivals():
            after, answer = self._deliver(replace_fields(w, net=net), message)
            if answer:
                after = replace_fields(after, net=after.net.send(answer))
            yield f"arrives late: {describe_message(message)}", after

    def _tick(self, w: ModelState, slow: int) -> ModelState:
        now = w.now + 1
        members = tuple(
            replace_fields(p, slow=n == slow, at=p.at + (n != slow))
            for n, p in enumerate(w.members)
        )
        ledger, leases = copy_ledger(w.ledger), dict(w.leases)
        for token in sorted(t for t, until in w.leases.items() if until <= now):
            del leases[token]
            ledger.lease_expired(token, now)
        sent = tuple(s for s in w.sent if s[0] > now - self.budget.span_us)
        disk = self._plan_and_commit(ledger, now, w.disk)
        return replace_fields(
            w,
            now=now,
            ledger=ledger,
            leases=leases,
            members=members,
            sent=sent,
            disk=disk,
            slows=w.slows - (slow >= 0),
        )

    def _heartbeat_steps(
        self, w: ModelState, n: int, p: Process
    ) -> Iterator[tuple[str, ModelState]]:
        holds = p.purse.held_share(p.token) if p.token else None
        needs = (0, self.budget.calls)
        for need in needs if not self.moves else needs[1:] if n else needs[:1]:
            message = (
                "beat",
                n,
                p.pid,
                p.token,
                p.follows,
                p.at,
                need,
                holds,
                p.purse.share.reserve,
            )
            after, answer = self._deliver(w, message)
            done = self._deliver(after, answer)[0]
            yield (
                f"f{n} beats, needs {need}, holds {holds}; {describe_message(answer)}",
                done,
            )
            if w.delays and not (self.first and n):
                late = replace_fields(w, delays=w.delays - 1, net=w.net.send(message))
                yield f"f{n} beats, needs {need}, holds {holds}; it is under way", late
                late = replace_fields(
                    after, delays=w.delays - 1, net=after.net.send(answer)
                )
                yield (
                    f"f{n} beats, needs {need}, holds {holds}; under way: {describe_message(answer)}",
                    late,
                )

    def _restart(self, w: ModelState) -> ModelState:
        disk: dict[str, Any] | None = copy.deepcopy(w.disk)
        if self.bug == "restart forgets what is unacknowledged" and disk is not None:
            for account in disk["books"]["d"]["accounts"]:
                account[4] = account[4][-1:]
        epoch = w.epoch
        if self.lost:
            disk, epoch = None, w.epoch + 1
        ledger = restore(
            [self.budget],
            self.service_lease_ticks,
            self.drift,
            w.now,
            disk,
            [],
            sure=not self.lost,
        )
        if self.bug == "lost folder grants at once":
            ledger.opened, ledger.budget_accounts["d"].grants_from_us = True, w.now
        leases = (
            {}
            if self.lost
            else dict.fromkeys(sorted(w.leases), w.now + self.service_lease_ticks)
        )
        for token in leases:
            ledger.member_joined(token, w.ledger.names[token], None, w.now)
        return replace_fields(
            w,
            ledger=self._with_mutation(ledger),
            leases=leases,
            epoch=epoch,
            restarts=w.restarts - 1,
        )

    def _deliver(self, w: ModelState, message: Any) -> tuple[ModelState, Any]:
        """The state after a message arrived, and the answer to it, if there is one."""
        if message[0] == "beat":
            return self._serve_heartbeat(w, message)
        _, n, pid, token, asked, shares = message
        p = w.members[n]
        if p.pid != pid or (p.token is not None and p.token != token):
            return w, None
        purse = copy_quota(p.purse)
        if shares is None:  # lost: it joins anew
            purse.fence(p.at)
            fenced = replace_fields(p, token=None, follows=token, purse=purse)
            return replace_fields(w, members=replace_member(w.members, n, fenced)), None
        for share in shares:
            purse.receive_share(share, asked + self.holder_lease_ticks, p.at)
        return replace_fields(
            w,
            members=replace_member(
                w.members, n, replace_fields(p, token=token, purse=purse)
            ),
        ), None

    def _serve_heartbeat(self, w: ModelState, message: Any) -> tuple[ModelState, Any]:
        _, n, pid, token, follows, asked, need, holds, keeps = message
        ledger, leases, tokens = copy_ledger(w.ledger), dict(w.leases), w.tokens
        shares: tuple[Share, ...] | None = None
        if token is None:
            tokens += 1
            token = Token(w.epoch, tokens)
            ledger.member_joined(token, f"f{n}", follows, w.now, {"d": keeps})
            leases.pop(follows, None)
            leases[token] = 0
        disk = w.disk
        if token in leases:
            leases[token] = w.now + self.service_lease_ticks
            assert ledger.heartbeat(
                token, {"d": {"": need}}, {"d": holds} if holds else {}, w.now
            )
            disk = self._plan_and_commit(ledger, w.now, disk)
            shares = tuple(ledger.shares_for(token).values())
        after = replace_fields(
            w, ledger=ledger, leases=leases, tokens=tokens, disk=disk
        )
        return after, ("answer", n, pid, token, asked, shares)

    # -- what must hold
    # ----------------------------------------------------------------------------------

    def broken(self, w: ModelState) -> str:
        """More calls in a span than the budget, or more that may be sent."""
        whole, reserve = self.budget.calls, self.budget.reserve
        recent = sum(count for at, count in w.sent if at > w.now - self.budget.span_us)
        if recent > whole:
            return f"{recent} calls in a span, the whole is {whole}"
        acting = sum(p.purse.limit(p.at) for p in w.members)
        seated = sum(p.purse.share.reserve > 0 for p in w.members)
        aside = reserve * max(0, self.budget.members_max - seated)
        if acting + aside > whole:
            return f"{acting} calls in a span may be acted on and {aside} are set aside, the whole is {whole}"
        return ""

    def key(self, w: ModelState) -> Hashable:
        """What tells states apart."""
        return state_key(w, self.ttl)
