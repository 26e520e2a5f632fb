"""The roster: states, the member list and the division freeze, against a reference model
and in corner cases.
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
SETTINGS = LeaseSettings(0.1, 10, TTL, 50)


class Fleet:
    """A roster as the service runs it: every record is logged before it is committed."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self.start(0, True)

    def start(self, now: int, sure: bool) -> None:
        self.table = LeaseTable(SETTINGS)
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
        self, now: int, name: str, **options: object
    ) -> LeaseGrant | LeaseUnavailable:
        answer = self.roster.join(now, name, "a", "127.0.0.1:1", **options)
        self.keep(answer.record)
        return answer

    def token(self, name: str) -> Token:
        return self.roster.members[name].token

    def heartbeat(self, now: int, *names: str) -> None:
        for name in names:
            assert isinstance(
                self.roster.heartbeat(now, name, self.token(name)), LeaseGrant
            )

    def pass_to(self, now: int) -> None:
        self.keep(*self.roster.tick(now))

    def states(self) -> dict[str, str]:
        return {
            name: member.state for name, member in sorted(self.roster.members.items())
        }


TEN = [f"f{n}" for n in range(10)]


def fleet_of_ten(at: int) -> Fleet:
    """Ten members that have renewed for more than a lease, last at `at`; the fleet is not
    frozen.
    """
    fleet = Fleet()
    for now in range(at - 50, at + 1, 10):
        for name in TEN:
            if now == at - 50:
                assert isinstance(fleet.join(now, name), LeaseGrant)
            fleet.heartbeat(now, name)
        fleet.pass_to(now)
    assert (
        fleet.roster.frozen_until_us(at) <= at
        and len(fleet.roster.active_members()) == 10
    )
    return fleet


def test_loss_of_seven_in_ten_freezes_divisions_for_a_whole_lease() -> None:
    fleet = fleet_of_ten(100)
    fleet.heartbeat(105, *TEN[1:7])
    for now in range(105, 140, 5):
        fleet.heartbeat(now, *TEN[7:])
        fleet.pass_to(now)
        # The first loss freezes divisions: the six members that stopped renewing with it
        # are suspect by then.
        assert (fleet.roster.frozen_until_us(now) > now) == (now >= 135)
        assert list(fleet.states().values()).count("lost") == (now >= 135)
    fleet.heartbeat(138, *TEN[7:])
    fleet.pass_to(138)
    assert list(fleet.states().values()) == ["lost"] * 7 + ["alive"] * 3
    assert (
        fleet.roster.frozen_until_us(138) == 138 + OUT
    )  # counted from the first renewal after the last loss
    fleet.heartbeat(140, *TEN[7:])
    for name in TEN[:7]:
        assert isinstance(fleet.join(141, name), LeaseGrant)
    fleet.heartbeat(160, *TEN)
    assert fleet.roster.frozen_until_us(140 + OUT) == 140 + OUT


def test_divisions_stay_frozen_while_no_member_renews() -> None:
    fleet = fleet_of_ten(100)
    fleet.pass_to(200)
    assert fleet.roster.frozen_until_us(10_000) == 10_000 + OUT
    fleet.join(10_001, "f1")
    assert fleet.roster.frozen_until_us(10_001 + OUT) == 10_001 + OUT
    assert fleet.roster.frozen_until_us(10_001 + OUT + 1) == 10_001 + 2 * OUT + 1
    fleet.join(
        10_001 + OUT + 1, "f2"
    )  # the gap between renewals is too long: the stable time starts again
    assert fleet.roster.frozen_until_us(10_001 + OUT + 1) == 10_001 + 2 * OUT + 1


@pytest.mark.parametrize(
    "gone", ["left", "revoked", "one lost", "five lost", "six lost"]
)
def test_only_mass_loss_freezes_divisions_not_leaving_or_revocation(
    gone: str,
) -> None:
    fleet = fleet_of_ten(100)
    if gone == "one lost":
        fleet.roster.mass_loss_fraction = (
            0.05  # a single loss never freezes, whatever the share
        )
    if gone == "left":
        for name in TEN[:7]:
            fleet.keep(fleet.roster.leave(101, name, fleet.token(name)))
    if gone == "revoked":
        for name in TEN[:7]:
            fleet.keep(fleet.table.revoke(101, f"member/{name}"))
    silent = {"one lost": 1, "five lost": 5, "six lost": 6}.get(gone, 7)
    for now in range(105, 140, 5):
        fleet.heartbeat(now, *TEN[silent:])
        fleet.pass_to(now)
    assert len(fleet.roster.active_members()) == 10 - silent
    assert (fleet.roster.frozen_until_us(135) > 135) == (gone == "six lost")


def test_losses_more_than_a_lease_apart_do_not_freeze_divisions() -> None:
    fleet = fleet_of_ten(100)
    for n in range(6):
        for now in range(100 + n * 70, 170 + n * 70, 10):
            fleet.heartbeat(now, *TEN[n + 1 :])
            fleet.pass_to(now)
            assert fleet.roster.frozen_until_us(now) <= now
    assert len(fleet.roster.active_members()) == 4


def test_members_that_rejoin_over_their_expired_lease_count_as_lost() -> None:
    fleet = fleet_of_ten(100)
    fleet.heartbeat(130, *TEN[6:])
    for name in TEN[:6]:
        assert fleet.roster.frozen_until_us(135) <= 135 and isinstance(
            fleet.join(135, name), LeaseGrant
        )
    assert fleet.roster.frozen_until_us(135) == 135 + OUT


def test_two_processes_of_one_name_and_a_restarted_process() -> None:
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
    again = fleet.join(43, "f1", run="two", presented_token=first.token)
    assert isinstance(again, LeaseGrant) and again.token > first.token
    with pytest.raises(LeaseRejectedError) as raised:
        fleet.roster.heartbeat(44, "f1", first.token)
    assert raised.value.status == 409 and raised.value.conflicting_token == again.token
    fleet.keep(fleet.roster.heartbeat(44, "f1", again.token, Token(99, 1)).record)
    assert (
        fleet.roster.changes_since(fleet.roster.version, 1)["whole"]
        and fleet.roster.epoch == 100
    )
    assert isinstance(fleet.join(45, "f2"), LeaseGrant) and isinstance(
        fleet.join(45, "f2"), LeaseUnavailable
    )


def test_restart_counts_members_as_renewed_and_rejects_a_fenced_member() -> None:
    fleet = Fleet()
    tokens = {name: fleet.join(40, name).token for name in ("f1", "f2")}
    fleet.heartbeat(60, "f1")
    fleet.pass_to(75)
    assert fleet.states() == {"f1": "alive", "f2": "lost"}
    before = fleet.roster.changes_since(None, None)
    fleet.start(500, True)
    assert fleet.states() == {"f1": "alive"} and fleet.roster.frozen_until_us(500) > 500
    fleet.pass_to(500 + LATE)
    assert fleet.states() == {"f1": "suspect"}
    assert fleet.roster.changes_since(before["version"], before["epoch"])["whole"]
    fleet.heartbeat(525, "f1")
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


def test_reader_older_than_the_known_changes_gets_the_complete_list(
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
    assert [
        fleet.roster.changes_since(version, epoch)["whole"] for version in versions
    ] == [
        True,
        True,
        False,
        False,
    ]
    assert len(fleet.roster.members) == 2
    assert fleet.roster.changes_since(fleet.roster.version + 1, epoch)["whole"]
    assert fleet.roster.changes_since(versions[-1], epoch + 1)["whole"]


def test_invalid_join_reports_all_faults() -> None:
    with pytest.raises(LeaseRejectedError) as raised:
        Fleet().roster.join(40, "", "s" * 181, 7, "r" * 181)  # type: ignore[arg-type]
    assert raised.value.status == 400
    assert [f.split(":")[0] for f in raised.value.faults] == [
        "name",
        "site",
        "dial",
        "run",
    ]
    with pytest.raises(LeaseRejectedError) as raised:
        Roster(LeaseTable(SETTINGS), 9, 1.0, 0.0)
    assert [f.split(":")[0] for f in raised.value.faults] == [
        "late",
        "at_once",
        "ttl_us",
    ]
