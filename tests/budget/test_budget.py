"""Fleet-wide budgets: division against a reference, ledger and quotas against recomputed
sliding spans, and searches of the budget model.
"""

from __future__ import annotations

import json
import random
from collections import Counter
from dataclasses import replace
from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from measure.budget_division import SimulatedFleet as Simulated
from rainfall.budget.account import QuotaGrant
from rainfall.budget.config import BudgetConfigError, parse_budgets
from rainfall.budget.demand import MAX_PARTS, DemandTracker
from rainfall.budget.fair_share import divide
from rainfall.budget.ledger import Change, Ledger, MemberGrant
from rainfall.budget.member_quota import MemberQuota
from rainfall.budget.model import BudgetModel
from rainfall.budget.model_mutations import MUTATIONS
from rainfall.budget.persistence import restore, snapshot
from rainfall.budget.sliding_window import EXACT_ENTRIES, GRAINS_PER_WINDOW
from rainfall.budget.types import Budget, Share, part_weight
from rainfall.lease.fencing_token import Token
from rainfall.model_checker.search import explore

NEEDS = st.dictionaries(
    st.sampled_from("abcdefg"),
    st.dictionaries(
        st.sampled_from(["", "gold", "free/acme", "gold/acme"]),
        st.integers(0, 12),
        max_size=3,
    ),
    min_size=1,
)
WEIGHTS = st.dictionaries(st.sampled_from(["gold", "free", "acme"]), st.integers(1, 5))


def poured(whole, needs, low):
    """Reference division: each call goes to the member with the fewest calls among those
    that want more, which is max-min fair by definition.
    """
    has = dict(low)
    for _ in range(whole - sum(low.values())):
        short = [member for member in sorted(needs) if has[member] < needs[member]]
        if not short:
            break
        has[min(short, key=lambda member: (has[member], member))] += 1
    return has


@settings(derandomize=True, deadline=None, max_examples=120)
@given(
    st.integers(0, 60),
    NEEDS,
    WEIGHTS,
    st.integers(1, 4),
    st.integers(0, 2),
    st.integers(0, 5),
)
def test_divided_by_demand_floors_and_weights(
    whole, needs, weights, least, floor, loose
):
    whole = max(whole, floor * len(needs))
    needs = dict(sorted(needs.items()))
    work = {m: sum(parts.values()) for m, parts in needs.items()}
    floors = dict.fromkeys(needs, floor)
    got = divide(whole, needs, weights, floors, least, {}, loose)
    assert (
        sum(got.shares.values()) + got.unassigned == whole and got.unassigned <= loose
    )
    low = poured(whole, {m: max(floor, min(least, work[m])) for m in needs}, floors)
    assert all(got.shares[m] >= low[m] for m in needs)
    assert sum(min(got.shares[m], max(work[m], floor)) for m in needs) >= min(
        whole, sum(work.values())
    )
    assert got.scarce == any(work[m] and not got.shares[m] for m in needs)
    # All demand in one part: member for member as if poured, but for who gets what is
    # left over.
    one = divide(
        whole, {m: {"": n} for m, n in work.items()}, {}, floors, least, {}, whole
    )
    slow = poured(whole, work, low)
    assert Counter(one.shares.values()) == Counter(slow.values())
    assert all(abs(one.shares[m] - slow[m]) <= 1 for m in needs)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(
    st.integers(30, 200),
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 90)), min_size=2, max_size=6
    ),
    st.dictionaries(st.sampled_from("abc"), st.integers(1, 6)),
)
def test_parts_share_by_weight(whole, told, weights):
    """No part has more for its weight than one that wants more still, by above a call
    and the least parts.
    """
    needs = {n: {part: calls} for n, (part, calls) in enumerate(told)}
    shares = divide(whole, needs, weights, {}, 1, {}).shares
    parts = sorted({part for part, _ in told})
    has = {p: sum(shares[n] for n in needs if p in needs[n]) for p in parts}
    asks = {p: sum(needs[n].get(p, 0) for n in needs) for p in parts}
    for p in parts:
        for q in parts:
            if has[p] < asks[p] and has[q] > len(told):
                assert Fraction(has[q] - 1, part_weight(q, weights)) <= Fraction(
                    has[p] + 1, part_weight(p, weights)
                )


@settings(derandomize=True, deadline=None, max_examples=25)
@given(st.integers(1, 6), st.integers(2, 12))
def test_scarce_calls_go_in_turns(whole, members):
    """In so many divisions as turns need everybody had one, and over many all had the
    same but for one.
    """
    needs = {n: {"": 5} for n in range(members)}
    had, credit = Counter(), {}
    rounds = -(-members // whole)
    for n in range(20 * members):
        division = divide(whole, needs, {}, {}, 1, credit)
        credit = division.credit
        had.update(division.shares)
        if n + 1 == rounds:
            assert min(had[m] for m in needs) >= 1
    assert max(had.values()) - min(had[m] for m in needs) <= 1


# -- a ledger and member quotas with clocks of their own, over a lossy network with delays

DRIFT, SPAN, SLACK, TTL = 0.1, 1_000, 30, 2_500


class Fleet:
    """A simulated service and its members, with true time `now` in microseconds.

    Each clock runs at its own rate. Every random choice comes from `rng`.
    """

    def __init__(self, rng, names, whole, reserve, members_max):
        self.rng, self.now, self.names, self.members_max, self.reserve = (
            rng,
            0,
            names,
            members_max,
            reserve,
        )
        self.rates = {
            n: 1 + DRIFT * rng.uniform(-0.49, 0.49) for n in [*names, "service"]
        }
        self.totals, self.sent, self.in_transit, self.writes = [(0, whole)], [], [], []
        self.suspended, self.tokens_by_quota = [], {}
        self.token_count, self.epoch, self.leases, self.names_by_token = 0, 1, {}, {}
        self.ledger = Ledger(
            [self.budget(whole)],
            self.scaled_ttl(1 + DRIFT),
            DRIFT,
            0,
            history_complete=True,
        )
        self.snapshot, self.lines = None, []
        self.processes = {
            n: [MemberQuota(0, DRIFT), None, None] for n in names
        }  # quota, token, follows

    def budget(self, whole):
        return Budget(
            "d",
            whole,
            SPAN,
            self.reserve,
            self.members_max,
            {},
            1,
            0.05,
            0.05,
            400,
            SLACK,
        )

    def scaled_ttl(self, factor):
        return int(TTL * factor)

    def clock(self, who):
        return int(self.now * self.rates[who])

    def plan(self, crash=False):
        change = self.ledger.plan(self.clock("service"))
        if change is not None:
            if crash and self.rng.random() < 0.5:
                return
            self.lines.append(json.loads(json.dumps(change.to_record())))
            if not crash:
                self.ledger.commit(change)

    def expire(self):
        at = self.clock("service")
        for token in sorted(held for held, until in self.leases.items() if until <= at):
            del self.leases[token]
            self.ledger.lease_expired(token, at)
        self.plan()

    def heartbeat(self, name):
        quota, token, follows = self.processes[name]
        need = {"d": {"": self.rng.choice([0, 0, 3, 40])}}
        held_shares = (
            {"d": quota.held_share(token)} if token and quota.held_share(token) else {}
        )
        requested_at = self.clock(name)
        kept_reserves = {"d": quota.share.reserve}
        self.transmit(
            lambda: self.serve_heartbeat(
                name,
                quota,
                token,
                follows,
                requested_at,
                need,
                held_shares,
                kept_reserves,
            )
        )

    def transmit(self, deliver):
        if self.rng.random() < 0.85:
            delay = self.rng.choice([25, 25, 50, 50, 250, 1_250, 5_000])
            self.in_transit.append((self.now + delay, deliver))

    def serve_heartbeat(
        self,
        name,
        quota,
        token,
        follows,
        requested_at,
        need,
        held_shares,
        kept_reserves,
    ):
        self.expire()
        at = self.clock("service")
        if token is None:
            token = self.tokens_by_quota.get(quota)  # a repeated join
        if token is None:
            self.token_count += 1
            token = self.tokens_by_quota[quota] = Token(self.epoch, self.token_count)
            self.names_by_token[token] = name
            self.ledger.member_joined(token, name, follows, at, kept_reserves)
            self.leases.pop(follows, None)
            self.leases[token] = 0
        if token not in self.leases:
            self.transmit(
                lambda: self.receive_answer(name, quota, token, requested_at, None)
            )
            return
        assert self.ledger.heartbeat(token, need, held_shares, at)
        self.leases[token] = at + self.scaled_ttl(1 + DRIFT)
        self.plan()
        shares = self.ledger.shares_for(token)
        self.transmit(
            lambda: self.receive_answer(name, quota, token, requested_at, shares)
        )

    def receive_answer(self, name, quota, token, requested_at, shares):
        process = self.processes[name]
        if process[0] is not quota or process[1] not in (None, token):
            return  # the process has ended, or joined by another answer
        if shares is None:
            quota.fence(self.clock(name))
            self.tokens_by_quota.pop(quota, None)
            process[1:] = None, token
            return
        process[1] = token
        if self.rng.random() < 0.7:
            self.send(
                name, quota
            )  # as many calls as possible, just before and just after the new shares
        for share in shares.values():
            quota.receive_share(
                share, requested_at + self.scaled_ttl(1 - DRIFT), self.clock(name)
            )
        if self.rng.random() < 0.7:
            self.send(name, quota)
        if self.rng.random() < 0.5:
            self.heartbeat(name)

    def send(self, name, quota):
        for _ in range(self.rng.choice([1, 50, 50])):
            if not quota.spend(self.clock(name)):
                at = quota.available_at(self.clock(name))
                assert at is None or at > self.clock(name)
                break
            self.sent.append(
                self.now + int(self.rng.uniform(0, SLACK - 1) / self.rates[name])
            )

    def crash(self, name):
        """Kill the process, close it with a record, let it leave for good, or suspend it.

        A successor takes over the folder at once. A suspended process runs on later,
        beside a second one that starts without its folder.
        """
        quota, token, follows = self.processes[name]
        at = self.clock(name)
        how = self.rng.choice(["killed", "ended", "left", "stopped"])
        if how == "stopped":
            self.suspended.append((name, quota))
            self.processes[name] = [MemberQuota(at, DRIFT), None, None]
            return
        record = (
            quota.to_record()
            if how == "killed"
            else quota.close(at, leaving=how == "left")
        )
        if how == "left" and token:
            self.transmit(lambda: self.process_ended(token))
        successor = MemberQuota.from_record(json.loads(json.dumps(record)), at, DRIFT)
        self.processes[name] = [successor, None, token or follows]

    def process_ended(self, token):
        self.leases.pop(token, None)
        self.ledger.process_ended(token, self.clock("service"))

    def restart(self, lost):
        self.plan(crash=True)
        self.epoch += 1
        if lost:
            self.snapshot, self.lines, self.leases = None, [], {}
        elif self.rng.random() < 0.5 and self.ledger.pending is None:
            self.snapshot, self.lines = (
                json.loads(json.dumps(snapshot(self.ledger))),
                [],
            )
        at = self.clock("service")
        self.ledger = restore(
            [self.budget(self.totals[-1][1])],
            self.scaled_ttl(1 + DRIFT),
            DRIFT,
            at,
            self.snapshot,
            self.lines,
            history_complete=not lost,
        )
        for token in self.leases:
            self.leases[token] = at + self.scaled_ttl(1 + DRIFT)
            self.ledger.member_joined(token, self.names_by_token[token], None, at)

    def step(self):
        self.now += self.rng.choice([0, 10, 20, 30, 50, 200, 900])
        for due in sorted(
            (d for d in self.in_transit if d[0] <= self.now), key=lambda d: d[0]
        ):
            self.in_transit.remove(due)
            due[1]()
        name, what = self.rng.choice(self.names), self.rng.random()
        if what < 0.45:
            self.heartbeat(name)
        elif what < 0.89:
            self.send(name, self.processes[name][0])
        elif what < 0.94:
            self.send(
                *self.rng.choice(self.suspended or [(name, self.processes[name][0])])
            )
        elif what < 0.96:
            self.crash(name)
        elif what < 0.98:
            self.expire()
        elif what < 0.99:
            self.restart(lost=self.rng.random() < 0.3)
        else:
            whole = self.rng.randint(self.reserve * self.members_max + 1, 30)
            self.totals.append((self.now, whole))
            self.ledger.configure([self.budget(whole)], self.clock("service"))
            self.plan()

    def check(self):
        """Check every sliding span of all calls sent against the highest total that was
        configured in it or up to two leases and four spans before.

        Returns the highest used fraction of the total.
        """
        sends, first, full = sorted(self.sent), 0, 0
        for n, at in enumerate(sends):
            while sends[first] <= at - SPAN:
                first += 1
            since = max(0, at - 2 * TTL - 4 * SPAN)
            before = [total for set_at, total in self.totals if set_at <= since][-1]
            whole = max(
                [before] + [total for set_at, total in self.totals if set_at > since]
            )
            assert n - first < whole, (
                f"{n - first + 1} calls in the span up to {at}, the total is {whole}"
            )
            full = max(full, (n - first + 1) / whole)
        return full


@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    st.integers(0, 1 << 30),
    st.integers(1, 4),
    st.integers(0, 2),
    st.integers(0, 1),
    st.integers(0, 20),
)
def test_no_sliding_span_is_over_the_whole(seed, members, reserve, spare, more):
    seats = members + spare
    names, whole = [f"f{n}" for n in range(members)], reserve * seats + 1 + more
    fleet = Fleet(random.Random(seed), names, whole, reserve, seats)
    for _ in range(300):
        fleet.step()
    fleet.check()


def acted(ledger, quota, token, now, valid_until=10**9):
    """A heartbeat that is answered at once; the quota stores the answered shares."""
    held_shares = quota.held_share(token)
    ledger.heartbeat(
        token, {"d": dict(quota.wanted)}, {"d": held_shares} if held_shares else {}, now
    )
    change = ledger.plan(now)
    if change:
        ledger.commit(change)
    for share in ledger.shares_for(token).values():
        quota.receive_share(share, valid_until, now)


def pair(whole=4, reserve=0, members_max=2, sure=True):
    """Two members at time 0; the first has demand and all calls that can be granted."""
    ledger = Ledger(
        [
            Budget(
                "d",
                whole,
                SPAN,
                reserve,
                members_max,
                unassigned_fraction=0.0,
                pause_us=0,
                slack_us=SLACK,
            )
        ],
        TTL,
        DRIFT,
        0,
        history_complete=sure,
    )
    tokens, quotas = (
        [Token(1, 1), Token(1, 2)],
        [MemberQuota(-10 * SPAN, DRIFT) for _ in range(2)],
    )
    for token, quota, need in zip(tokens, quotas, (9, 0), strict=True):
        ledger.member_joined(token, f"f{token.number}", None, 0)
        quota.wanted = {"": need}
    for _ in range(3):
        for token, quota in zip(tokens, quotas, strict=True):
            acted(ledger, quota, token, 0)
    return ledger, tokens, quotas


RATE = st.floats(1 - 0.49 * DRIFT, 1 + 0.49 * DRIFT)


@settings(derandomize=True, deadline=None, max_examples=25)
@given(RATE, RATE, st.booleans())
def test_a_freed_part_waits_a_span_by_any_clock(sender, service, restart):
    """The worst case: all is spent the moment before less is told, leaves as late as
    may be, is acknowledged at once, and the next one sends as soon as it is told.
    """
    ledger, (a, b), (old, new) = pair()
    old.wanted, new.wanted = {"": 0}, {"": 9}
    acted(ledger, new, b, 0)
    assert (
        all(old.spend(0) for _ in range(4))
        and old.is_late(0, SLACK + 1)
        and not old.is_late(0, SLACK)
    )
    last = SLACK / sender  # true time of the last first byte
    acted(ledger, old, a, 0)
    acted(ledger, old, a, 0)
    assert old.held_share(a)[0] == 0 and not old.spend(5 * SPAN)
    counted = ledger.budget_accounts["d"].committed_calls()
    ledger.heartbeat(a, {"d": {}}, {"d": (4, 1)}, 0)  # a beat of before, late
    assert ledger.budget_accounts["d"].committed_calls() == counted == 4
    begins = 0
    if restart:
        begins = SPAN // 2
        budgets = [book.budget for book in ledger.budget_accounts.values()]
        ledger = restore(
            budgets, TTL, DRIFT, begins, json.loads(json.dumps(snapshot(ledger))), []
        )
        for token in (a, b):
            ledger.member_joined(token, "f", None, begins)
    told = next(
        at
        for at in range(begins, 4 * SPAN, 7)
        if acted(ledger, new, b, at) or new.spend(at)
    )
    assert told / service - last >= SPAN


def test_reserve_moves_a_window_after_its_holder_has_left():
    """The only reserve is granted to a second process a window after the first left."""
    ledger, (first, second), (first_quota, second_quota) = pair(
        whole=1, reserve=1, members_max=1
    )
    assert first_quota.limit(0) == 1 and second_quota.held_share(second) is None
    assert first_quota.spend(0)
    gone = MemberQuota.from_record(
        json.loads(json.dumps(first_quota.close(0, leaving=True))), 1, DRIFT
    )
    ledger.process_ended(first, 0)
    assert not gone.spend(5 * SPAN) and not first_quota.spend(5 * SPAN)
    second_quota.wanted = {"": 1}
    sent_at = next(
        at
        for at in range(4 * SPAN)
        if acted(ledger, second_quota, second, at) or second_quota.spend(at)
    )
    assert sent_at >= (SPAN + SLACK) * (1 + DRIFT)


def test_service_restart_moves_no_calls():
    """The first member to send a heartbeat after the restart must not get calls that
    another member still holds but has not reported yet.
    """
    ledger, (first, second), (_, second_quota) = pair()
    restored = restore(
        [ledger.budget_accounts["d"].budget], TTL, DRIFT, 0, snapshot(ledger), []
    )
    for token in (first, second):
        restored.member_joined(token, "f", None, 0)
    acted(restored, second_quota, second, SPAN)
    assert restored.plan(10 * SPAN) is None and restored.shares_for(
        first
    ) == ledger.shares_for(first)


def test_share_missing_from_restored_records_is_counted_once_reported():
    """The service is restored from an older copy that lacks a member's share: the share
    counts once the member reports it.
    """
    ledger, (first, _), (first_quota, _) = pair()
    copy = json.loads(json.dumps(snapshot(ledger)))
    copy["books"]["d"]["accounts"][0][4] = [[1, 1, 0]]
    copy["books"]["d"]["accounts"][0][2] = 0
    restored = restore(
        [ledger.budget_accounts["d"].budget],
        TTL,
        DRIFT,
        0,
        copy,
        [],
        history_complete=False,
    )
    assert (
        restored.budget_accounts["d"].committed_calls() == 1
        and first_quota.held_share(first)[0] == 4
    )
    acted(restored, first_quota, first, 1)
    assert (
        restored.budget_accounts["d"].committed_calls() == 4
        and first_quota.limit(1) == 4
    )


def test_answer_from_before_the_lease_loss_is_ignored():
    ledger, (first, _), (first_quota, _) = pair(whole=4, reserve=1)
    share = ledger.shares_for(first)["d"]
    first_quota.fence(5)
    assert not first_quota.receive_share(share, 10**9, 6) and first_quota.limit(7) == 1
    assert (
        first_quota.receive_share(replace(share, token=Token(1, 9)), 10**9, 8)
        and first_quota.limit(8) == share.calls
    )
    assert not first_quota.receive_share(
        replace(share, token=Token(1, 9), number=0), 10**9, 9
    )


def test_successor_waits_a_window_and_takes_over_the_reserve():
    ledger, (first, _second), (first_quota, _second_quota) = pair(
        whole=3, reserve=1, members_max=2
    )
    assert first_quota.spend(0) and first_quota.spend(0)
    following = MemberQuota.from_record(first_quota.to_record(), 1, DRIFT)
    sends = next(at for at in range(1, 4 * SPAN) if following.spend(at))
    assert sends >= (SPAN + SLACK) * (1 + DRIFT) and following.limit(1) == 1
    ledger.member_joined(Token(1, 3), "f1", first, 1, {"d": 1})
    accounts = ledger.budget_accounts["d"]
    assert (
        accounts.accounts[Token(1, 3)].usable_calls() == 1
        and accounts.reserve_holders() == 2
        and accounts.committed_calls() == 3
    )
    assert accounts.free_calls({}) == 0 and not ledger.heartbeat(first, {}, {}, 1)


def test_reserve_reported_after_a_first_grant_is_counted():
    """A plan granted a share between the join and the report of the reserve. The process
    may never receive the share, so both count, also after a restart.
    """
    ledger, _, _ = pair(whole=9, reserve=1, members_max=2)
    before, late = snapshot(ledger), Token(1, 3)
    ledger.member_joined(late, "f3", None, 0)
    granted = Change(
        ledger.number + 1, (MemberGrant("d", "f3", late, QuotaGrant(1, 2, 0)),), ()
    )
    ledger.commit(granted)
    ledger.member_joined(late, "f3", Token(0, 9), 0, {"d": 1})
    claimed = ledger.plan(0)
    ledger.commit(claimed)
    restored = restore(
        [ledger.budget_accounts["d"].budget],
        TTL,
        DRIFT,
        0,
        before,
        [granted.to_record(), claimed.to_record()],
    )
    for tested_ledger in (ledger, restored):
        account = tested_ledger.budget_accounts["d"].accounts[late]
        assert (
            QuotaGrant(1, 2, 0) in account.grants
            and account.reserve() == 1
            and account.usable_calls() >= 2
        )


def test_after_a_lost_folder_only_reported_reserves_are_granted():
    """Nothing is granted for a lease and a window; a restart within them starts the wait
    again. No new reserve is granted until an operator confirms the reserves.
    """
    budgets = [
        Budget("d", 6, SPAN, 1, 3, unassigned_fraction=0.0, pause_us=0, slack_us=SLACK)
    ]
    first = restore(budgets, TTL, DRIFT, 0, None, [])
    first.lease_expired(Token(1, 1), 0)
    again = restore(
        budgets,
        TTL,
        DRIFT,
        1_000,
        None,
        [first.plan(0).to_record()] if first.plan(0) else [],
    )
    claimant, newcomer = Token(2, 1), Token(2, 2)
    again.member_joined(claimant, "f1", Token(1, 1), 1_000, {"d": 1})
    again.member_joined(newcomer, "f2", None, 1_000)
    begins = 0
    for at in range(1_000, 9_000, 50):
        for token in (claimant, newcomer):
            assert again.heartbeat(token, {"d": {"": 9}}, {}, at)
        change = again.plan(at)
        if change:
            again.commit(change)
            begins = begins or (at if any(g.grant.number for g in change.grants) else 0)
    assert begins >= 1_000 + TTL / (1 - DRIFT) + SPAN + SLACK
    assert (
        again.shares_for(claimant)["d"].reserve,
        again.shares_for(newcomer)["d"].reserve,
    ) == (1, 0)
    assert (
        restore(budgets, TTL, DRIFT, 9_000, snapshot(again), [])
        .budget_accounts["d"]
        .new_reserves_blocked
    )
    again.confirm_reserves()
    change = again.plan(9_000)
    assert not change.new_reserves_blocked
    again.commit(change)
    assert (
        again.shares_for(newcomer)["d"].reserve == 1
        and again.budget_accounts["d"].committed_calls() <= 6
    )


def test_lowered_total_also_sets_aside_reserves_of_missing_members():
    ledger, tokens, quotas = pair(whole=12, reserve=1, members_max=3)
    quotas[1].wanted = {"": 9}
    for whole, times, limits in ((12, (0, 0, 0, 3), [6, 5]), (4, (6, 6, 9), [2, 1])):
        ledger.configure(
            [replace(ledger.budget_accounts["d"].budget, calls=whole)], times[0] * SPAN
        )
        for at in times:
            for token, quota in zip(tokens, quotas, strict=True):
                acted(ledger, quota, token, at * SPAN)
        assert [quota.limit(at) for quota in quotas] == limits


def test_frozen_plan_writes_ends_but_grants_nothing():
    ledger, (first, second), (_first_quota, _second_quota) = pair()
    ledger.heartbeat(second, {"d": {"": 9}}, {}, 10 * SPAN)
    assert ledger.plan(10 * SPAN, frozen=True) is None
    ledger.lease_expired(first, 10 * SPAN)
    change = ledger.plan(10 * SPAN, frozen=True)
    assert change is not None and not change.grants and len(change.ends) == 1
    assert (
        ledger.plan(10 * SPAN) is change
    )  # a pending change is repeated, never replaced
    ledger.commit(change)
    assert {g.token for g in ledger.plan(20 * SPAN).grants} == {second}


def test_grouped_calls_keep_the_limit_and_bound_memory():
    """With more calls than `EXACT_ENTRIES` memory is bounded, the limit is kept, and a
    call counts at most one group too long.
    """
    quota = MemberQuota(-(10**9), 0.0)
    quota.receive_share(Share(Token(1, 1), 1, 5_000, 0, 5_000, 1 << 20, 0), 10**12, 0)
    send_times = [
        at
        for at in [*range(0, 1 << 20, 150), *range(1 << 20, 3 << 20, 40)]
        if quota.spend(at)
    ]
    assert len(quota.window.entries) <= EXACT_ENTRIES + GRAINS_PER_WINDOW + 2
    for first, after in zip(send_times, send_times[5_000:], strict=False):
        assert 1 << 20 <= after - first <= (1 << 20) + 1024 + 150
    assert len(send_times) > 10_000 and quota.available_at(3 << 20) >= 3 << 20


def test_demand_is_the_busiest_span_of_two_plus_waiting_calls():
    tracker = DemandTracker(400)
    for at in range(0, 800, 10):
        tracker.record_calls(at, "gold" if at < 400 else "free")
    assert tracker.demand_by_part(799, {"gold": 3, "new": 2}) == {
        "gold": 43,
        "free": 40,
        "new": 2,
    }
    assert (
        tracker.demand_by_part(1_250, {}) == {"free": 30}
        and tracker.demand_by_part(1_700, {}) == {}
        and not tracker.steps
    )
    for n in range(1_000):
        tracker.record_calls(1_700, f"part {n}")
    assert (
        len(tracker.demand_by_part(1_700, {})) == MAX_PARTS + 1
        and sum(tracker.demand_by_part(1_700, {}).values()) == 1_000
    )


FAULTS = [
    ({"budgets": 1}, ["budgets: a list"]),
    (
        [
            {
                "destination": "7",
                "calls": 10,
                "span_ms": 100,
                "members_max": 20,
                "reserve": 1,
            }
        ],
        ["budgets[0].reserve: 1 for each of 20 members are 20"],
    ),
    (
        [
            {
                "destination": "",
                "calls": 0,
                "span_ms": True,
                "weights": {"a": 0, "b/c": 1},
                "w": 1,
                "change": "x",
            }
        ],
        [
            "budgets[0].destination",
            "budgets[0].calls",
            "budgets[0].span_ms",
            "budgets[0].members_max",
            "budgets[0].change",
            "budgets[0].weights.a",
            "budgets[0].weights.b/c",
            "budgets[0].w",
        ],
    ),
    (
        [{"destination": "7", "calls": 1, "span_ms": 1, "members_max": 1}] * 2,
        ["budgets[1].destination"],
    ),
]


@pytest.mark.parametrize(("raw", "paths"), FAULTS)
def test_every_fault_of_a_budget_is_reported(raw, paths):
    with pytest.raises(BudgetConfigError) as caught:
        parse_budgets(raw)
    assert len(caught.value.faults) == len(paths)
    assert all(f.startswith(p) for f, p in zip(caught.value.faults, paths, strict=True))


# -- searches of the model

PLANTED = {
    "no window wait": {},
    "freed when answered": {},
    "restart drops unacknowledged grants": {"restarts": 1},
    "reserve not set aside": {"reserve": 1, "seats": 3, "whole": 4},
    "successor sends at once": {"reserve": 1, "whole": 2, "crashes": 1},
    "older share accepted": {"delays": 1, "ttl": 2, "span": 1},
    "no drift margin": {"drift": 0.5, "ttl": 3, "span": 1, "slows": 3},
    "lost folder grants at once": {"restarts": 1, "lost": True},
}


@pytest.mark.parametrize("bug", MUTATIONS)
def test_search_finds_each_mutation_and_no_violation_without_it(bug):
    result = explore(
        BudgetModel(demand_moves=True, first_only=True, bug=bug, **PLANTED[bug]),
        20,
        6_000,
    )
    assert result.violation
    clean_result = explore(
        BudgetModel(demand_moves=True, first_only=True, **PLANTED[bug]), 20, 200
    )
    assert not clean_result.violation


def test_turns_serve_every_member_of_a_fleet():
    """With 2 calls a span for 7 members with demand, all of them send, and no span exceeds
    the total.
    """
    fleet = Simulated(7, Budget("7", 2, 200_000, 0, 7, pause_us=100_000), 3)
    for member in fleet.members:
        member.set_arrivals(5)
    fleet.run(20_000_000)
    assert {n for _, n in fleet.sent} == set(
        range(7)
    ) and fleet.max_calls_in_span() <= 2
