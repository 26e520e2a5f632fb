"""Leases: the table against a reference model, holder and guard with delayed answers, and
searches of the lease model.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.lease.fencing import FencingGuard
from rainfall.lease.fencing_token import ZERO_TOKEN, Token
from rainfall.lease.holder import LeaseHolder
from rainfall.lease.model import MUTATIONS, LeaseModel
from rainfall.lease.table import LeaseGrant, LeaseTable, LeaseUnavailable
from rainfall.lease.types import (
    LeaseRejectedError,
    LeaseSettings,
    holder_validity_us,
    service_expiry_us,
)
from rainfall.model_checker.search import explore

DRIFT = 0.25
SETTINGS = LeaseSettings(DRIFT, 8, 40, 2)
OUT = service_expiry_us(40, DRIFT)
names, holders = st.sampled_from("xxxxyz"), st.sampled_from("AB")
steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("acquire"),
            names,
            holders,
            st.sampled_from([8, 40]),
            st.booleans(),
            st.booleans(),
        ),
        st.tuples(
            st.just("acquire"),
            st.just("x"),
            holders,
            st.just(40),
            st.booleans(),
            st.booleans(),
        ),
        st.tuples(
            st.sampled_from(["renew", "renew", "release"]),
            names,
            st.sampled_from([0, 0, 0, 1]),
        ),
        st.tuples(st.just("revoke"), names),
        st.tuples(st.just("pass"), st.sampled_from([1, 9, 10, 30, 49, 50])),
        st.tuples(st.just("back"), st.just(40)),
        st.tuples(
            st.just("start"),
            st.sampled_from(["kept", "kept", "lost", "older"]),
            st.booleans(),
        ),
        st.tuples(st.just("lift"), st.integers(0, 9), st.integers(0, 9)),
    ),
    min_size=8,
    max_size=30,
)


class Slow:
    """Reference model of the table, written from docs/parts/lease.md alone.

    `held` maps a name to [holder, token, ttl, expiry, revoked]. No lease is granted
    before `closed`. `top` is the highest token granted or reported.
    """

    def __init__(self) -> None:
        self.held: dict[str, list] = {}
        self.now, self.closed = OUT, OUT
        self.top = ZERO_TOKEN

    def acquire(
        self, name: str, holder: str, ttl: int, seen: Token, shown: Token
    ) -> object:
        found = self.held.get(name)
        if self.now < self.closed:
            return "held"
        if found and self.now < found[3]:
            if found[0] == holder and not found[4] and seen < found[1]:
                found[3] = self.now + service_expiry_us(found[2], DRIFT)
                return found[1]
            if found[4] or (holder != found[0] and shown != found[1]):
                return "held"
        if not found and len(self.held) >= 2:
            return 422
        return "new"

    def renew(self, name: str, token: Token) -> object:
        found = self.held.get(name)
        if not found or found[1] != token or found[4] or self.now >= found[3]:
            return 409
        found[3] = self.now + service_expiry_us(found[2], DRIFT)
        return token


class Service:
    """The table with a folder: a snapshot, and a log that overlaps it.

    Each log entry is a record and the snapshot from just before it.
    """

    def __init__(self) -> None:
        self.table, self.old, self.log = (
            LeaseTable(SETTINGS),
            json.dumps(LeaseTable(SETTINGS).snapshot()),
            [],
        )
        self.keep(self.table.start(0, False))

    def keep(self, record: dict | None) -> None:
        if record is not None:
            line = json.dumps(record)
            self.log.append((line, json.dumps(self.table.snapshot())))
            self.table.commit(json.loads(line))

    def start(self, now: int, folder: str, least: int) -> None:
        if folder == "lost":
            self.table, self.log = LeaseTable(SETTINGS), []
        else:
            lines = self.log[: len(self.log) // 2] if folder == "older" else self.log
            # A crash after writing the snapshot but before truncating the log: records
            # that the snapshot contains are replayed.
            self.table = LeaseTable.from_snapshot(
                json.loads(lines[-1][1] if lines else self.old), SETTINGS
            )
            for line, _ in lines:
                self.table.commit(json.loads(line))
            self.log = lines
        assert isinstance(
            self.table.acquire(now, "x", "A", 8), LeaseUnavailable
        )  # the table is not started yet
        self.keep(self.table.start(now, folder == "kept", least))


@settings(derandomize=True, deadline=None, max_examples=110)
@given(steps)
def test_the_table_is_the_slow_one_and_its_tokens_only_grow(steps: list[tuple]) -> None:
    slow, real, hint, behind = Slow(), Service(), 100, 0
    assert real.table.expire(slow.now) == []
    for kind, *rest in steps:
        now = slow.now
        token = slow.held[rest[0]][1] if rest[0] in slow.held else Token(1, 1)
        try:
            if kind == "acquire":
                name, holder, ttl, let_go, show = rest
                seen, shown = (
                    token if let_go else ZERO_TOKEN,
                    token if show else ZERO_TOKEN,
                )
                want = slow.acquire(name, holder, ttl, seen, shown)
                made = real.table.acquire(now - behind, name, holder, ttl, seen, shown)
                real.keep(made.record)
                if want == "new":
                    assert (
                        isinstance(made, LeaseGrant)
                        and made.record
                        and made.token > slow.top
                    )
                    slow.top = made.token
                    slow.held[name] = [
                        holder,
                        made.token,
                        ttl,
                        now + service_expiry_us(ttl, DRIFT),
                        False,
                    ]
                else:
                    assert want == (
                        "held" if isinstance(made, LeaseUnavailable) else made.token
                    )
                    assert (
                        not isinstance(made, LeaseUnavailable)
                        or made.retry_after_us > 0
                    )
            elif kind == "renew":
                token = Token(token.epoch, token.number - rest[1])
                want = (
                    "held"
                    if real.table.history_uncertain and now < slow.closed
                    else slow.renew(rest[0], token)
                )
                made = real.table.renew(now - behind, rest[0], token)
                assert want == (
                    "held" if isinstance(made, LeaseUnavailable) else made.token
                )
            elif kind in ("release", "revoke"):
                found = slow.held.get(rest[0])
                want = (
                    404 if not found else 409 if kind == "release" and rest[1] else 200
                )
                token = Token(
                    token.epoch, token.number - (rest[1] if kind == "release" else 0)
                )
                real.keep(
                    real.table.release(now - behind, rest[0], token)
                    if kind == "release"
                    else real.table.revoke(now - behind, rest[0])
                )
                assert want == 200
                if kind == "release":
                    del slow.held[rest[0]]
                else:
                    slow.held[rest[0]][4] = True
            elif kind == "pass":
                slow.now, behind = slow.now + rest[0], 0
                for record in real.table.expire(slow.now):
                    real.keep(record)
                slow.held = {n: f for n, f in slow.held.items() if slow.now < f[3]}
            elif kind == "back":  # the clock stands still for the table
                behind = rest[0]
            elif kind == "lift":
                seen = Token(real.table.epoch + rest[0] - 4, rest[1])
                ahead = seen > real.table._highest_issued
                real.keep(real.table.observe_token(seen))
                slow.top = max(slow.top, seen)
                slow.closed = (
                    max(slow.closed, real.table._started_at_us + OUT)
                    if ahead
                    else slow.closed
                )
                assert real.table.epoch > seen.epoch or not ahead
            else:
                # Where the clock was set back too, what was granted has to be told by
                # one who saw it.
                hint, behind = hint + 100, 0
                was_unsure = real.table.history_uncertain
                real.start(now, rest[0], hint if rest[1] else 0)
                if rest[0] != "kept" and not rest[1]:
                    real.keep(real.table.observe_token(slow.top))
                if rest[0] != "kept" or was_unsure:
                    slow.held, slow.closed = {}, now + OUT
                else:
                    slow.closed = 0
                    for found in slow.held.values():
                        found[3] = now + service_expiry_us(found[2], DRIFT)
        except LeaseRejectedError as error:
            real.keep(error.record)
            assert error.status == want and error.faults
        told = {
            n: [
                lease.holder,
                lease.token,
                lease.ttl_us,
                lease.expires_at_us,
                lease.revoked,
            ]
            for n in "xyz"
            if (lease := real.table.read(n))
        }
        assert told == slow.held


def test_invalid_acquire_reports_all_faults_and_changes_nothing() -> None:
    table = Service().table
    before = table.snapshot()
    with pytest.raises(LeaseRejectedError) as raised:
        table.acquire(OUT, "", "h" * 201, 7, note={"site": "a" * 201, "dial": "b"})
    assert raised.value.status == 400
    assert [f.split(":")[0] for f in raised.value.faults] == [
        "name",
        "holder",
        "ttl_us",
        "note.site",
    ]
    with pytest.raises(LeaseRejectedError) as raised:
        table.acquire(OUT, "x", "A", 8, highest_seen=Token(1 << 40, 1))
    assert raised.value.status == 422 and "epoch 1099511627776" in str(raised.value)
    assert table.snapshot() == before and table._highest_issued == Token(1, 1)


def test_abandoned_record_is_not_answered_and_its_number_not_reused() -> None:
    real = Service()
    grant = real.table.acquire(OUT, "x", "A", 8)
    assert isinstance(grant, LeaseGrant) and grant.record
    assert isinstance(real.table.acquire(OUT, "x", "B", 8), LeaseUnavailable)
    real.table.abandon(grant.record)
    again = real.table.acquire(OUT, "x", "B", 8)
    assert isinstance(again, LeaseGrant) and again.token > grant.token
    real.keep(again.record)
    real.keep(real.table.release(OUT, "x", again.token))
    real.table.commit(again.record or {})  # replayed after its end record: skipped
    assert (
        real.table.read("x") is None
        and real.table.last_committed == again.token.number + 1
    )


def test_uncertain_history_delays_grants_again_until_a_lease_is_granted() -> None:
    real = Service()
    real.start(OUT - 1, "kept", 0)
    assert isinstance(real.table.acquire(OUT + 1, "x", "A", 40), LeaseUnavailable)
    real.keep(real.table.acquire(2 * OUT, "x", "A", 40).record)
    real.start(2 * OUT, "kept", 0)
    assert isinstance(
        real.table.renew(2 * OUT, "x", real.table.leases["x"].token), LeaseGrant
    )
    assert real.table.epoch == 3  # one for each start, also without `min_epoch`


request_events, grant_events = (
    st.tuples(st.just("ask"), st.integers(0, 9)),
    st.tuples(
        st.just("yes"),
        st.integers(0, 6),
        st.sampled_from([0, 0, 0, 1, 2]),
        st.sampled_from([1, 2, 2, 2, 3]),
    ),
)
events = st.lists(
    st.one_of(
        request_events,
        request_events,
        request_events,
        grant_events,
        grant_events,
        grant_events,
        st.tuples(st.just("no"), st.integers(0, 6), st.sampled_from([0, 0, 1, 2])),
        st.tuples(
            st.sampled_from(["fenced", "fenced", "back", "let go"]), st.integers(0, 4)
        ),
    ),
    min_size=10,
    max_size=30,
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(events)
def test_whatever_comes_late_or_twice_a_holder_acts_only_by_its_newest_answer(
    events: list[tuple],
) -> None:
    holder, now = LeaseHolder(40, DRIFT, lambda: 0.5), 100
    asks: dict[int, tuple[int, int]] = {}  # sent -> when, token's number (0: none)
    own = over = newest = until = 0
    for kind, n, *rest in events:
        rest[:1] = (
            [max(asks, default=0) - rest[0]] if rest else []
        )  # the newest, or one before it
        if kind == "ask":
            now += n
            ask = holder.start_request(now)
            assert (ask.token.number if ask.token else 0) == own
            assert (
                now < holder.next_renewal_us <= now + holder_validity_us(40, DRIFT) // 3
            )
            asks = dict(sorted({**asks, ask.number: (now, own)}.items())[-8:])
        elif kind in ("yes", "no"):
            now += n
            asked = asks.pop(rest[0], None)  # known and not answered before
            if kind == "yes":
                taken = (
                    asked is not None
                    and rest[0] > newest
                    and rest[1] > over
                    and rest[1] >= own
                )
                assert holder.on_granted(now, rest[0], Token(1, rest[1]), 40) == taken
                if taken and asked:
                    newest, own, until = rest[0], rest[1], asked[0] + 30
            else:
                holder.on_rejected(now, rest[0])
                over = max(over, asked[1]) if asked else over
        elif kind == "fenced":
            holder.on_fenced(Token(1, n))
            over = max(over, own) if n > own else over
        elif kind == "let go":
            assert (holder.relinquish() or Token(1, 0)).number == own
            over = max(over, own)
        else:
            now, asks, until = now - 1, {}, 0
        own = own if own > over else 0
        assert holder.may_act(now) == (own > 0 and now < until)
        assert holder.token == (Token(1, own) if own else None)
    first, *_ = [holder.start_request(now).number for _ in range(9)]
    assert not holder.on_granted(now, first, Token(9, 9), 40)


def test_late_rejection_of_an_ended_token_keeps_the_newer_token() -> None:
    holder = LeaseHolder(40, DRIFT, lambda: 0.5)
    assert holder.on_granted(1, holder.start_request(0).number, Token(1, 1), 40)
    old, new = holder.start_request(2).number, holder.start_request(3).number
    assert holder.on_granted(4, new, Token(1, 3), 40) and not holder.on_granted(
        4, new, Token(1, 3), 40
    )
    holder.on_rejected(5, old)
    assert holder.may_act(5) and holder.token == Token(1, 3) == holder.highest_seen
    assert not holder.on_granted(
        5, holder.start_request(5).number, Token(1, 2), 40
    )  # from a service restored from an older copy
    holder.on_rejected(6, holder.start_request(5).number, Token(1, 7))
    assert (
        not holder.may_act(6)
        and holder.start_request(6).token is None
        and holder.highest_seen == Token(1, 7)
    )


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(names, st.integers(1, 9), st.booleans()), max_size=30))
def test_a_guard_with_room_for_two_serves_no_token_below_one_it_served(
    checks: list[tuple],
) -> None:
    guard, served = FencingGuard(2), dict.fromkeys("xyz", 0)
    for name, number, again in checks:
        guard = (
            FencingGuard.from_snapshot(json.loads(json.dumps(guard.snapshot())), 2)
            if again
            else guard
        )
        try:
            guard.check(name, Token(1, number))
            assert number >= served[name]
            served[name] = number
        except LeaseRejectedError as error:
            assert error.status == 409 and error.conflicting_token > Token(1, number)
            # A name that is known is refused for its own sake only; any other for a
            # name it made room for.
            assert number < served[name] or error.conflicting_token == guard.floor
        assert len(guard.snapshot()["seen"]) <= 2


@pytest.mark.parametrize(
    ("most", "more"),
    [
        (12_000, {"asks": (1, 1)}),
        (1_600, {"asks": (1, 0), "held": True, "wall": False}),
        (1_000, {"asks": (0, 1), "held": True, "unnoticed": True}),
    ],
)
def test_complete_search_finds_no_two_active_holders_and_no_lower_token(
    most: int, more: dict
) -> None:
    result = explore(LeaseModel(**more), 99)
    assert result.complete and not result.violation and result.states > most, result


@pytest.mark.parametrize("bug", MUTATIONS)
def test_search_finds_each_mutation(bug: str) -> None:
    # Only without `min_epoch` from the clock does a lost folder depend on the tokens
    # that clients send, so that a missing epoch raise is detected.
    result = explore(
        LeaseModel(
            bug,
            wall=bug != "no epoch raise",
            held=bug == "no epoch raise",
            asks=(1, 1),
            starts=1 if bug == "no token check" else 2,
        ),
        20,
        20_000,
    )
    assert result.violation and result.trace, (bug, result.states)
