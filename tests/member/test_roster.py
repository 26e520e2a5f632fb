"""The roster: states, the watched list and the renewed guard against a slow obvious
model; its hard cases.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.lease.fencing_token import Token
from rainfall.lease.table import LeaseGrant, LeaseTable, LeaseUnavailable
from rainfall.lease.types import LeaseRejectedError, LeaseSettings
from rainfall.member import roster as module
from rainfall.member.roster import Roster

TTL, OUT, LATE = 30, 33, 20
TERMS = LeaseSettings(0.1, 10, TTL, 50)


class Fleet:
    """A roster as the service runs it: every record goes through a log before it
    counts.
    """

    def __init__(self) -> None:
        self.log: list[str] = []
        self.start(0, True)

    def start(self, now: int, sure: bool) -> None:
        self.table = LeaseTable(TERMS)
        for line in self.log:
            self.table.commit(json.loads(line))
        self.roster = Roster(self.table, TTL)
        self.keep(self.table.start(now, sure))
        self.roster.on_started(now)

    def keep(self, *records: dict | None) -> None:
        for record in records:
            if record is not None:
                self.log.append(json.dumps(record))
                self.roster.commit(json.loads(self.log[-1]))

    def join(
        self, now: int, name: str, **more: object
    ) -> LeaseGrant | LeaseUnavailable:
        made = self.roster.join(now, name, "a", "127.0.0.1:1", **more)
        self.keep(made.record)
        return made

    def token(self, name: str) -> Token:
        return self.roster.members[name].token

    def beat(self, now: int, *names: str) -> None:
        for name in names:
            assert isinstance(
                self.roster.heartbeat(now, name, self.token(name)), LeaseGrant
            )

    def pass_to(self, now: int) -> None:
        self.keep(*self.roster.tick(now))

    def states(self) -> dict[str, str]:
        return {n: m.state for n, m in sorted(self.roster.members.items())}


TEN = [f"f{n}" for n in range(10)]


def ten(at: int) -> Fleet:
    """Ten members who have renewed for more than a whole lease, at `at` last; nothing
    is frozen.
    """
    fleet = Fleet()
    for now in range(at - 50, at + 1, 10):
        for name in TEN:
            if now == at - 50:
                assert isinstance(fleet.join(now, name), LeaseGrant)
            fleet.beat(now, name)
        fleet.pass_to(now)
    assert (
        fleet.roster.frozen_until_us(at) <= at
        and len(fleet.roster.active_members()) == 10
    )
    return fleet


def test_seven_in_ten_lost_and_back_at_once_divide_nothing_for_a_whole_lease() -> None:
    fleet = ten(100)
    fleet.beat(105, *TEN[1:7])
    for now in range(105, 140, 5):
        fleet.beat(now, *TEN[7:])
        fleet.pass_to(now)
        # The first that is lost stops it: the six that fell silent with it are suspect
        # by then.
        assert (fleet.roster.frozen_until_us(now) > now) == (now >= 135)
        assert list(fleet.states().values()).count("lost") == (now >= 135)
    fleet.beat(138, *TEN[7:])
    fleet.pass_to(138)
    assert list(fleet.states().values()) == ["lost"] * 7 + ["alive"] * 3
    assert (
        fleet.roster.frozen_until_us(138) == 138 + OUT
    )  # counted from a renewal after the last loss
    fleet.beat(140, *TEN[7:])
    for name in TEN[:7]:
        assert isinstance(fleet.join(141, name), LeaseGrant)
    fleet.beat(160, *TEN)
    assert fleet.roster.frozen_until_us(140 + OUT) == 140 + OUT


def test_nothing_is_divided_while_nobody_renews_however_long_the_service_is_up() -> (
    None
):
    fleet = ten(100)
    fleet.pass_to(200)
    assert fleet.roster.frozen_until_us(10_000) == 10_000 + OUT
    fleet.join(10_001, "f1")
    assert fleet.roster.frozen_until_us(10_001 + OUT) == 10_001 + OUT
    assert fleet.roster.frozen_until_us(10_001 + OUT + 1) == 10_001 + 2 * OUT + 1
    fleet.join(
        10_001 + OUT + 1, "f2"
    )  # the first renewed too late: the time up is counted anew
    assert fleet.roster.frozen_until_us(10_001 + OUT + 1) == 10_001 + 2 * OUT + 1


@pytest.mark.parametrize(
    "gone", ["left", "revoked", "one lost", "five lost", "six lost"]
)
def test_only_many_that_are_lost_freeze_not_those_that_leave_or_are_revoked(
    gone: str,
) -> None:
    fleet = ten(100)
    if gone == "one lost":
        fleet.roster.mass_loss_share = 0.05  # more than this share, but never one alone
    if gone == "left":
        for name in TEN[:7]:
            fleet.keep(fleet.roster.leave(101, name, fleet.token(name)))
    if gone == "revoked":
        for name in TEN[:7]:
            fleet.keep(fleet.table.revoke(101, f"member/{name}"))
    silent = {"one lost": 1, "five lost": 5, "six lost": 6}.get(gone, 7)
    for now in range(105, 140, 5):
        fleet.beat(now, *TEN[silent:])
        fleet.pass_to(now)
    assert len(fleet.roster.active_members()) == 10 - silent
    assert (fleet.roster.frozen_until_us(135) > 135) == (gone == "six lost")


def test_six_in_ten_lost_one_after_the_other_freeze_nothing() -> None:
    fleet = ten(100)
    for n in range(6):
        for now in range(100 + n * 70, 170 + n * 70, 10):
            fleet.beat(now, *TEN[n + 1 :])
            fleet.pass_to(now)
            assert fleet.roster.frozen_until_us(now) <= now
    assert len(fleet.roster.active_members()) == 4


def test_those_who_join_over_their_own_lost_lease_count_as_lost() -> None:
    fleet = ten(100)
    fleet.beat(130, *TEN[6:])
    for name in TEN[:6]:
        assert fleet.roster.frozen_until_us(135) <= 135 and isinstance(
            fleet.join(135, name), LeaseGrant
        )
    assert fleet.roster.frozen_until_us(135) == 135 + OUT


def test_two_processes_of_one_name_and_the_restart_of_the_same() -> None:
    fleet = Fleet()
    first = fleet.join(40, "f1", run="one")
    assert (
        isinstance(first, LeaseGrant) and first == fleet.join(41, "f1", run="one")
    ) or first.record
    for run in ("two", ""):
        other = fleet.join(42, "f1", run=run)
        assert (
            isinstance(other, LeaseUnavailable)
            and other.retry_after_us == 41 + OUT - 42
        )
    again = fleet.join(43, "f1", run="two", shown=first.token)
    assert isinstance(again, LeaseGrant) and again.token > first.token
    with pytest.raises(LeaseRejectedError) as told:
        fleet.roster.heartbeat(44, "f1", first.token)
    assert told.value.status == 409 and told.value.conflicting_token == again.token
    fleet.keep(fleet.roster.heartbeat(44, "f1", again.token, Token(99, 1)).record)
    assert (
        fleet.roster.changes_since(fleet.roster.version, 1)["whole"]
        and fleet.roster.epoch == 100
    )
    assert isinstance(fleet.join(45, "f2"), LeaseGrant) and isinstance(
        fleet.join(45, "f2"), LeaseUnavailable
    )


def test_after_a_restart_all_count_as_renewed_and_a_fenced_member_is_not_taken_back() -> (
    None
):
    fleet = Fleet()
    tokens = {name: fleet.join(40, name).token for name in ("f1", "f2")}
    fleet.beat(60, "f1")
    fleet.pass_to(75)
    assert fleet.states() == {"f1": "alive", "f2": "lost"}
    before = fleet.roster.changes_since(None, None)
    fleet.start(500, True)
    assert fleet.states() == {"f1": "alive"} and fleet.roster.frozen_until_us(500) > 500
    fleet.pass_to(500 + LATE)
    assert fleet.states() == {"f1": "suspect"}
    assert fleet.roster.changes_since(before["version"], before["epoch"])["whole"]
    fleet.beat(525, "f1")
    with pytest.raises(LeaseRejectedError):
        fleet.roster.heartbeat(525, "f2", tokens["f2"])
    fleet.start(600, False)
    assert fleet.states() == {} and isinstance(
        fleet.roster.heartbeat(601, "f1", tokens["f1"]), LeaseUnavailable
    )


steps = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(["join", "join", "beat", "beat", "beat", "leave"]),
            st.sampled_from(TEN[:3]),
        ),
        st.tuples(st.just("pass"), st.sampled_from([1, 6, 13, 20, 33])),
        st.tuples(st.just("read"), st.integers(0, 2)),
    ),
    min_size=15,
    max_size=40,
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(steps)
def test_states_and_watchers_are_those_of_the_slow_model(steps: list[tuple]) -> None:
    fleet, now = Fleet(), OUT
    last: dict[str, int] = {}  # in force: when renewed last
    gone: dict[str, str] = {}
    lists: list[dict] = [{}, {}, {}]
    at: list[tuple[int | None, int | None]] = [(None, None)] * 3
    fleet.pass_to(now)
    for kind, what in steps:
        if kind == "join":
            assert isinstance(fleet.join(now, what), LeaseUnavailable) == (what in last)
            last.setdefault(what, now)
            gone.pop(what, None)
        elif kind in ("beat", "leave"):
            token = fleet.token(what) if what in fleet.roster.members else Token(1, 1)
            try:
                if kind == "beat":
                    fleet.roster.heartbeat(now, what, token)
                else:
                    fleet.keep(fleet.roster.leave(now, what, token))
                assert what in last
                last[what] = now
                if kind == "leave":
                    gone[what] = "left"
                    del last[what]
            except LeaseRejectedError as error:
                assert what not in last and error.status == (
                    409 if kind == "beat" else 404
                )
        elif kind == "pass":
            due = fleet.roster.next_tick_us()
            assert due == min(
                (t + (LATE if now - t < LATE else OUT) for t in last.values()),
                default=None,
            )
            now, before = now + what, (fleet.roster.version, fleet.states())
            fleet.pass_to(now)
            assert (fleet.roster.version > before[0]) == (fleet.states() != before[1])
            gone.update((n, "lost") for n, t in last.items() if now - t >= OUT)
            last = {n: t for n, t in last.items() if now - t < OUT}
        else:
            told = fleet.roster.changes_since(*at[what])
            lists[what] = {} if told["whole"] else lists[what]
            lists[what].update((m["name"], m) for m in told["members"])
            lists[what] = {
                n: m
                for n, m in lists[what].items()
                if m["state"] in ("alive", "suspect")
            }
            at[what] = (told["version"], told["epoch"])
            assert lists[what] == {
                m.name: m.to_wire() for m in fleet.roster.active_members()
            }
        want = {n: "suspect" if now - t >= LATE else "alive" for n, t in last.items()}
        assert fleet.states() == {**want, **gone}


def test_a_reader_from_before_what_is_still_told_of_gets_all(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_DEPARTED_MEMBERS", 2)
    fleet = Fleet()
    versions = []
    for name in TEN[:4]:
        fleet.join(40, name)
        versions.append(fleet.roster.version)
        fleet.keep(fleet.roster.leave(40, name, fleet.token(name)))
    epoch = fleet.roster.epoch
    assert [fleet.roster.changes_since(v, epoch)["whole"] for v in versions] == [
        True,
        True,
        False,
        False,
    ]
    assert len(fleet.roster.members) == 2
    assert fleet.roster.changes_since(fleet.roster.version + 1, epoch)["whole"]
    assert fleet.roster.changes_since(versions[-1], epoch + 1)["whole"]


def test_all_faults_of_a_join_are_told() -> None:
    with pytest.raises(LeaseRejectedError) as told:
        Fleet().roster.join(40, "", "s" * 181, 7, "r" * 181)  # type: ignore[arg-type]
    assert told.value.status == 400
    assert [f.split(":")[0] for f in told.value.faults] == [
        "name",
        "site",
        "dial",
        "run",
    ]
    with pytest.raises(LeaseRejectedError) as told:
        Roster(LeaseTable(TERMS), 9, 1.0, 0.0)
    assert [f.split(":")[0] for f in told.value.faults] == ["late", "at_once", "ttl_us"]
