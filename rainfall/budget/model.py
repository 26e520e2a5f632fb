"""A model of budgets for the model checker: a service and members.

The budget classes are the production ones. A tick is one microsecond of the service's
clock. A member's clock may miss ticks, as far as `drift` allows. A paused process needs
no step of its own, since no step has to happen at any time. The invariants are checked
by the calls sent and the calls that the members' quotas allow, not by the ledger.
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
    AccountsFreedWhenAnswered,
    AccountsWithoutReserves,
    AccountsWithoutWindow,
    QuotaAcceptingOlderShares,
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
    """The steps and invariants of the model.

    A heartbeat and its answer arrive at once or are delayed; a delayed message arrives
    at any time, in any order, or never. The parameters limit which steps are possible:

    Args:
        whole: The budget's total.
        reserve: The reserve of each member.
        members: Number of members.
        seats: Most processes with a reserve; 0 for `members`.
        delays: Most delayed messages.
        slows: Most ticks that members' clocks miss; `drift` has to allow them.
        crashes: Most crashes of members.
        restarts: Most restarts of the service.
        lost: A restarted service has lost its folder.
        demand_moves: After the start the first member wants no calls and the others
            want the whole budget; otherwise each heartbeat may report either.
        first_only: Delays, missed ticks and crashes happen to the first member only.
        ttl: Ticks of a lease.
        span: Ticks of the budget's span.
        drift: Fraction by which the rates of two clocks may differ.
        bug: One of `MUTATIONS`, or none.
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
        demand_moves: bool = False,
        first_only: bool = False,
        ttl: int = 3,
        span: int = 2,
        drift: float = 0.0,
        bug: str = "",
    ) -> None:
        if bug and bug not in MUTATIONS:
            raise ValueError(f"unknown mutation: {bug}")
        self.budget = Budget(
            "d",
            whole,
            span,
            reserve,
            seats or members,
            min_gain_fraction=0.0,
            unassigned_fraction=0.0,
            pause_us=0,
            slack_us=0,
        )
        self.members, self.bug, self.lost, self.demand_moves, self.first_only = (
            members,
            bug,
            lost,
            demand_moves,
            first_only,
        )
        self.delays, self.slows, self.crashes, self.restarts = (
            delays,
            slows,
            crashes,
            restarts,
        )
        self.drift, self.ttl = drift, ttl
        # The holder counts ticks by its clock from sending the request, the service by
        # its own clock from answering it.
        self.holder_lease_ticks, self.service_lease_ticks = (
            int(ttl * (1 - drift)),
            math.ceil(ttl * (1 + drift)),
        )
        if bug == "no drift margin":
            self.holder_lease_ticks = self.service_lease_ticks = ttl

    # -- initial state

    def start(self) -> ModelState:
        """All members have joined, and the first holds all calls that can be granted."""
        ledger = Ledger(
            [self.budget],
            self.service_lease_ticks,
            self.drift,
            0,
            history_complete=True,
        )
        ledger = self._with_mutation(ledger)
        state = ModelState(
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
        tokens = [Token(1, index + 1) for index in range(self.members)]
        for index, token in enumerate(tokens):
            ledger.member_joined(token, f"f{index}", None, 0)
            ledger.heartbeat(
                token, {"d": {"": self.budget.calls if index == 0 else 0}}, {}, 0
            )
        disk = self._plan_and_commit(ledger, 0, {})
        window = self.budget.window_us(self.drift)
        members = []
        for index, token in enumerate(tokens):
            quota = self._new_quota(0)
            for share in ledger.shares_for(token).values():
                quota.receive_share(share, window + self.holder_lease_ticks, 0)
            held_share = quota.held_share(token)
            wanted_calls = self.budget.calls if index == 0 else 0
            ledger.heartbeat(
                token,
                {"d": {"": wanted_calls}},
                {"d": held_share} if held_share else {},
                0,
            )
            members.append(Process(index, token, None, quota, window))
        ledger.plan(window)
        return replace_fields(
            state,
            now=window,
            leases=dict.fromkeys(tokens, window + self.service_lease_ticks),
            disk=disk,
            members=tuple(members),
            tokens=self.members,
        )

    def _new_quota(
        self, start_time: int, record: dict[str, Any] | None = None
    ) -> MemberQuota:
        kind = (
            QuotaAcceptingOlderShares
            if self.bug == "older share accepted"
            else MemberQuota
        )
        quota = kind(start_time, self.drift)
        if record is not None:
            predecessor = MemberQuota.from_record(record, start_time, self.drift)
            quota.share, quota.window = predecessor.share, predecessor.window
            if self.bug == "successor sends at once":
                quota.window.unknown_until_us = -1_000
        return quota

    def _with_mutation(self, ledger: Ledger) -> Ledger:
        kinds = {
            "no window wait": AccountsWithoutWindow,
            "freed when answered": AccountsFreedWhenAnswered,
            "reserve not set aside": AccountsWithoutReserves,
        }
        if self.bug in kinds:
            for accounts in ledger.budget_accounts.values():
                accounts.__class__ = kinds[self.bug]
        return ledger

    def _plan_and_commit(
        self, ledger: Ledger, now: int, disk: dict[str, Any]
    ) -> dict[str, Any]:
        change = ledger.plan(now)
        if change is None:
            return disk
        ledger.commit(change)
        return snapshot(ledger)

    # -- steps

    def steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """Yield every step that is possible, and the state after it."""
        yield "tick", self._tick(state, -1)
        for index, process in enumerate(state.members):
            may_fail = not (self.first_only and index)
            if state.slows and may_fail and not process.missed_tick:
                yield f"tick that f{index}'s clock misses", self._tick(state, index)
            yield from self._heartbeat_steps(state, index, process)
            limit = process.quota.limit(process.local_time)
            quota = copy_quota(process.quota)
            sent_calls = sum(quota.spend(process.local_time) for _ in range(limit))
            if sent_calls:
                yield (
                    f"f{index} sends {sent_calls}",
                    replace_fields(
                        state,
                        members=replace_member(
                            state.members, index, replace_fields(process, quota=quota)
                        ),
                        sent=(*state.sent, (state.now, sent_calls)),
                    ),
                )
            if state.crashes and may_fail:
                quota = self._new_quota(process.local_time, process.quota.to_record())
                successor = Process(
                    process.pid + 10,
                    None,
                    process.token or process.follows,
                    quota,
                    process.local_time,
                    process.missed_tick,
                )
                yield (
                    f"f{index} crashes and restarts",
                    replace_fields(
                        state,
                        members=replace_member(state.members, index, successor),
                        crashes=state.crashes - 1,
                    ),
                )
        if state.restarts:
            yield "the service restarts", self._restart(state)
        for message, network in state.network.arrivals():
            after, answer = self._deliver(
                replace_fields(state, network=network), message
            )
            if answer:
                after = replace_fields(after, network=after.network.send(answer))
            yield f"arrives late: {describe_message(message)}", after

    def _tick(self, state: ModelState, slow_member: int) -> ModelState:
        now = state.now + 1
        members = tuple(
            replace_fields(
                process,
                missed_tick=index == slow_member,
                local_time=process.local_time + (index != slow_member),
            )
            for index, process in enumerate(state.members)
        )
        ledger, leases = copy_ledger(state.ledger), dict(state.leases)
        for token in sorted(
            held for held, until in state.leases.items() if until <= now
        ):
            del leases[token]
            ledger.lease_expired(token, now)
        sent = tuple(
            entry for entry in state.sent if entry[0] > now - self.budget.span_us
        )
        disk = self._plan_and_commit(ledger, now, state.disk)
        return replace_fields(
            state,
            now=now,
            ledger=ledger,
            leases=leases,
            members=members,
            sent=sent,
            disk=disk,
            slows=state.slows - (slow_member >= 0),
        )

    def _heartbeat_steps(
        self, state: ModelState, index: int, process: Process
    ) -> Iterator[tuple[str, ModelState]]:
        held_share = process.quota.held_share(process.token) if process.token else None
        demands = (0, self.budget.calls)
        for wanted_calls in (
            demands if not self.demand_moves else demands[1:] if index else demands[:1]
        ):
            message = (
                "beat",
                index,
                process.pid,
                process.token,
                process.follows,
                process.local_time,
                wanted_calls,
                held_share,
                process.quota.share.reserve,
            )
            after, answer = self._deliver(state, message)
            delivered = self._deliver(after, answer)[0]
            yield (
                f"f{index} beats, needs {wanted_calls}, holds {held_share}; {describe_message(answer)}",
                delivered,
            )
            if state.delays and not (self.first_only and index):
                delayed = replace_fields(
                    state, delays=state.delays - 1, network=state.network.send(message)
                )
                yield (
                    f"f{index} beats, needs {wanted_calls}, holds {held_share}; it is delayed",
                    delayed,
                )
                delayed = replace_fields(
                    after, delays=state.delays - 1, network=after.network.send(answer)
                )
                yield (
                    (
                        f"f{index} beats, needs {wanted_calls}, holds {held_share};"
                        f" delayed: {describe_message(answer)}"
                    ),
                    delayed,
                )

    def _restart(self, state: ModelState) -> ModelState:
        disk: dict[str, Any] | None = copy.deepcopy(state.disk)
        if self.bug == "restart drops unacknowledged grants" and disk is not None:
            for account in disk["books"]["d"]["accounts"]:
                account[4] = account[4][-1:]
        epoch = state.epoch
        if self.lost:
            disk, epoch = None, state.epoch + 1
        ledger = restore(
            [self.budget],
            self.service_lease_ticks,
            self.drift,
            state.now,
            disk,
            [],
            history_complete=not self.lost,
        )
        if self.bug == "lost folder grants at once":
            ledger.opened, ledger.budget_accounts["d"].grants_from_us = True, state.now
        leases = (
            {}
            if self.lost
            else dict.fromkeys(
                sorted(state.leases), state.now + self.service_lease_ticks
            )
        )
        for token in leases:
            ledger.member_joined(token, state.ledger.names[token], None, state.now)
        return replace_fields(
            state,
            ledger=self._with_mutation(ledger),
            leases=leases,
            epoch=epoch,
            restarts=state.restarts - 1,
        )

    def _deliver(self, state: ModelState, message: Any) -> tuple[ModelState, Any]:
        """The state after a message has arrived, and the answer, None without one."""
        if message[0] == "beat":
            return self._serve_heartbeat(state, message)
        _, index, pid, token, requested_at, shares = message
        process = state.members[index]
        if process.pid != pid or (process.token is not None and process.token != token):
            return state, None
        quota = copy_quota(process.quota)
        if shares is None:  # The lease is lost: the member joins again.
            quota.fence(process.local_time)
            fenced = replace_fields(process, token=None, follows=token, quota=quota)
            return replace_fields(
                state, members=replace_member(state.members, index, fenced)
            ), None
        for share in shares:
            quota.receive_share(
                share, requested_at + self.holder_lease_ticks, process.local_time
            )
        return replace_fields(
            state,
            members=replace_member(
                state.members, index, replace_fields(process, token=token, quota=quota)
            ),
        ), None

    def _serve_heartbeat(
        self, state: ModelState, message: Any
    ) -> tuple[ModelState, Any]:
        (
            _,
            index,
            pid,
            token,
            follows,
            requested_at,
            wanted_calls,
            held_share,
            kept_reserve,
        ) = message
        ledger, leases, tokens = (
            copy_ledger(state.ledger),
            dict(state.leases),
            state.tokens,
        )
        shares: tuple[Share, ...] | None = None
        if token is None:
            tokens += 1
            token = Token(state.epoch, tokens)
            ledger.member_joined(
                token, f"f{index}", follows, state.now, {"d": kept_reserve}
            )
            leases.pop(follows, None)
            leases[token] = 0
        disk = state.disk
        if token in leases:
            leases[token] = state.now + self.service_lease_ticks
            assert ledger.heartbeat(
                token,
                {"d": {"": wanted_calls}},
                {"d": held_share} if held_share else {},
                state.now,
            )
            disk = self._plan_and_commit(ledger, state.now, disk)
            shares = tuple(ledger.shares_for(token).values())
        after = replace_fields(
            state, ledger=ledger, leases=leases, tokens=tokens, disk=disk
        )
        return after, ("answer", index, pid, token, requested_at, shares)

    # -- invariants

    def violation(self, state: ModelState) -> str:
        """The violated invariant: calls sent, or allowed by quotas, stay within the total."""
        whole, reserve = self.budget.calls, self.budget.reserve
        recent = sum(
            count for at, count in state.sent if at > state.now - self.budget.span_us
        )
        if recent > whole:
            return f"{recent} calls in a span, the total is {whole}"
        usable_calls = sum(
            process.quota.limit(process.local_time) for process in state.members
        )
        reserve_holders = sum(
            process.quota.share.reserve > 0 for process in state.members
        )
        set_aside = reserve * max(0, self.budget.members_max - reserve_holders)
        if usable_calls + set_aside > whole:
            return (
                f"{usable_calls} calls in a span are allowed and {set_aside} are set aside,"
                f" the total is {whole}"
            )
        return ""

    def key(self, state: ModelState) -> Hashable:
        """The key of a state."""
        return state_key(state, self.ttl)
