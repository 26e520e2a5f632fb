"""Sessions handed over: the design page's tables, the searched model, long random play
of the same cores.
"""

import heapq
import itertools
import random
import re
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.model_checker.search import explore
from rainfall.peer import frames
from rainfall.session import (
    config,
    migration_policy,
    migration_source,
    migration_target,
)
from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.arbiter import DECISION_RETENTION_US, Arbiter
from rainfall.session.migration_manager import MigrationManager
from rainfall.session.model import MUTATIONS, SessionMigrationModel
from rainfall.session.session_directory import SessionDirectory
from tests.support.paths import ROOT

PAGE = ROOT / "docs/parts/session.md"
LIMITS = s.Limits()


# The tables on the design page are the ones that run


@pytest.mark.parametrize(
    "title, core", [("## Giver", migration_source), ("## Taker", migration_target)]
)
def test_every_event_in_every_state_is_as_the_page_says(title: str, core: Any) -> None:
    part = PAGE.read_text().split(title)[1].split("\n## ")[0]
    lines = re.findall(r"^\|.*\|$", part, re.M)
    head, _, *rows = [[c.strip() for c in line.strip("|").split("|")] for line in lines]
    told = {
        (event, state): cell
        for row in rows
        for event in row[0].split(", ")
        for state, cell in zip(head[1:], row[1:], strict=True)
    }
    built = {
        (event.__name__, state.value): handler.__name__
        for state, events in core.TRANSITIONS.items()
        for event, handler in events.items()
    }
    assert {pair: cell for pair, cell in told.items() if cell != "-"} == built


# The model


PART = (
    "g gives",
    "t hears Offer",
    "g hears Accept",
    "g is quiet",
    "g: kept SealedRecord",
    "t hears CopyPart",
    "t: kept StoredRecord",
    "g hears CopyStored (1, 1)",
    "g: kept CommittedRecord",
)
TAIL = (
    *PART,
    "t hears Commit (1, 1)",
    "t: kept ActivatedRecord",
    "g hears Activated",
    "g: kept ReleasedRecord",
    "t hears Released",
    "t: kept FinalizedRecord",
)


@pytest.mark.parametrize(
    "counts, states",
    [
        ({"fault": 1}, 1_000),
        ({"gone": "g", "late": 0}, 200),
        ({"gone": "t", "late": 0}, 200),
        ({"copies": 1, "late": 0}, 400),
        ({"crash_t": 1, "late": 0}, 1_200),
        ({"lease_g": 1, "late": 0}, 400),
        ({"arrive": 1, "late": 0}, 900),
        ({"messages": 2, "due": 3, "late": 0}, 1_000),
        ({"gone": "g", "amnesia": 1, "late": 0}, 300),
        ({"crash_g": 1, "late": 0}, 400),
        (
            {
                "crash_g": 1,
                "retry": 1,
                "late": 0,
                "most": 2,
                "messages": 0,
                "begin": PART[:-1],
            },
            1_000,
        ),
        (
            {
                "lease_t": 1,
                "retry": 1,
                "late": 0,
                "begin": (
                    *TAIL[:11],
                    "t works on 1",
                    "t's call 1 is delivered",
                    "t's lease is out by its clock",
                ),
            },
            1_000,
        ),
        ({"begin": TAIL[:-1], "messages": 0, "arrive": 1, "crash_t": 1}, 1_500),
        (
            {
                "begin": TAIL,
                "messages": 0,
                "arrive": 2,
                "full": 1,
                "crash_t": 1,
                "fault": 1,
                "retry": 1,
                "late": 0,
            },
            3_000,
        ),
    ],
)
def test_searched_whole(counts: dict[str, Any], states: int) -> None:
    """One owner, no message lost, sent twice or overtaken, and from each state it ends
    whole at one side.
    """
    found = explore(SessionMigrationModel(**counts), 80, 20_000)
    assert not found.violation, found.trace
    assert found.complete and found.states >= states


PLANTED: dict[str, dict[str, Any]] = {
    "lets go early": {},
    "begins early": {},
    "forgets repeats": {"repeat": 1},
    "fate untold": {"retry": 1},
    "tail overtakes": {"arrive": 1},
    "stale commit": {"lease_t": 1, "retry": 1, "begin": PART},
    "takes back alone": {"gone": "g"},
    "forgets refusals": {"copies": 1},
    "late due": {"messages": 2, "due": 3},
    "takes an old pass": {
        "arrive": 2,
        "crash_t": 1,
        "full": 1,
        "messages": 0,
        "copies": 1,
        "late": 0,
        "begin": TAIL,
    },
}
"""Where each shows, with the least that has to go wrong."""


@pytest.mark.parametrize("bug", MUTATIONS)
def test_planted_bug_is_found(bug: str) -> None:
    found = explore(SessionMigrationModel(bug, **PLANTED[bug]), 60, 20_000)
    assert found.violation and found.trace
    assert not explore(
        SessionMigrationModel(**PLANTED[bug]), len(found.trace), 20_000
    ).violation, "it is the bug that is found"


# Long play: many sessions, several forwarders, real frames, time, restarts


@dataclass
class Line:
    runs: bool = False
    freezing: bool = False
    queue: list[tuple[w.TransferredMessage, bool]] = field(default_factory=list)
    out: str = ""
    memory: tuple[str, ...] = ()


@dataclass
class Node:
    name: str
    desk: MigrationManager
    lines: dict[str, Line] = field(default_factory=dict)
    disk: list[w.Record] = field(default_factory=list)
    unseen: list[w.Record] = field(default_factory=list)
    begun: set[str] = field(default_factory=set)
    alive: bool = True
    held: bool = True
    life: int = 1
    start: int = 0


class Play:
    """Three forwarders and the arbiter on one clock. Faults end at `CALM`; then all
    must come to rest.
    """

    CALM, END = 12_000_000, 40_000_000

    def __init__(self, seed: int, keys: int) -> None:
        self.random, self.now, self.heap = random.Random(seed), 0, []  # type: ignore[var-annotated]
        self.order = itertools.count()
        limits = replace(LIMITS, least_left_us=400_000, tail_us=2_000_000, drift=0.02)
        self.limits = limits
        self.nodes = {n: Node(n, MigrationManager(n, limits, (1, 1))) for n in "abc"}
        self.arbiter = Arbiter(1, lambda n: self.nodes[n].held)
        self.sent: dict[str, list[int]] = {f"k{k}": [] for k in range(keys)}
        self.ends: dict[str, str] = {}
        self.promised: dict[str, int] = {}
        self.client: dict[str, tuple[int, str]] = {}
        self.at_node: dict[str, str] = {}
        for key in self.sent:
            self.nodes["a"].lines[key] = Line(True)
            self.at(0, lambda key=key: self.hand_in(key, 1))
        for n in self.nodes:
            self.at(50_000, lambda n=n: self.tick(n))
        self.at(100_000, self.mischief)

    def at(self, delay_us: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + delay_us, next(self.order), what))

    def run(self) -> None:
        while self.heap and self.heap[0][0] <= self.END:
            self.now, _, what = heapq.heappop(self.heap)
            what()
            for key in self.sent:
                acting = [
                    n
                    for n, x in self.nodes.items()
                    if x.alive
                    and x.held
                    and x.desk.lease_token
                    and x.lines.get(key, Line()).runs
                ]
                assert len(acting) <= 1, f"{key}: {acting} act"

    def mischief(self) -> None:
        if self.now >= self.CALM:
            for n, x in self.nodes.items():
                if not x.alive:
                    self.start(n)
            return
        n = self.random.choice("abc")
        x, chance = self.nodes[n], self.random.random()
        if not x.alive:
            self.start(n)
        elif chance < 0.08:
            self.die(n)
        elif chance < 0.15 and x.desk.lease_token:
            self.do(n, x.desk.set_lease(None, self.now))
            self.at(100_000, lambda life=x.life: self.lose(n, life))
            self.at(
                self.random.choice([60_000, 900_000]),
                lambda life=x.life: self.join(n, life),
            )
        else:
            mine = [
                k
                for k, line in x.lines.items()
                if line.runs and k not in x.desk.migration_by_key
            ]
            if mine and x.desk.lease_token:
                to, key = (
                    self.random.choice([o for o in "abc" if o != n]),
                    self.random.choice(mine),
                )
                self.do(
                    n,
                    x.desk.start_migration(
                        key, to, "", "", 1, s.StartMigration(9, 90_000), self.now
                    ),
                )
        self.at(self.random.randrange(10_000, 200_000), self.mischief)

    def tick(self, n: str) -> None:
        x = self.nodes[n]
        if x.alive:
            self.do(n, x.desk.tick(self.now))
            for key in sorted(x.lines):
                self.work(n, key)
        self.at(25_000, lambda: self.tick(n))

    def work(self, n: str, key: str) -> None:
        x, line = self.nodes[n], self.nodes[n].lines[key]
        for item, _ in [
            q
            for q in line.queue
            if q[0].deadline_us <= self.now and q[0].id != line.out
        ]:
            self.end(n, key, item.id, "failed")
        if line.freezing and not line.out:
            line.freezing = False
            items = tuple(
                replace_ran(i, self.now) if ran else i for i, ran in line.queue
            )
            self.do(
                n,
                x.desk.handle_session_event(
                    key, s.SessionQuiesced(items, line.memory), self.now
                )
                or [],
            )
        if not (line.runs and x.desk.lease_token and line.queue and not line.out):
            return
        item, ran = line.queue[0]
        if ran or item.executed_at_us is not None:
            self.end(n, key, item.id, "failed")
            return
        assert item.id not in self.ends, f"{item.id} is sent by {n} after its end"
        line.out, line.queue[0] = item.id, (item, True)
        self.sent[key].append(int(item.id.split(".")[1]))
        self.at(
            self.random.randrange(5_000, 60_000),
            lambda at=x.start: self.delivered(n, key, item.id, at),
        )

    def delivered(self, n: str, key: str, name: str, start: int) -> None:
        x = self.nodes[n]
        if x.alive and x.start == start and x.lines[key].out == name:
            x.lines[key].memory = (*x.lines[key].memory, name)[-LIMITS.memory :]
            self.end(n, key, name, "delivered")

    def end(self, n: str, key: str, name: str, how: str) -> None:
        line = self.nodes[n].lines[key]
        line.queue = [q for q in line.queue if q[0].id != name]
        line.out = "" if line.out == name else line.out
        self.ends.setdefault(name, how)

    # Clients: one message of a key after the other, handed in again after a refusal,
    # anew after silence

    def hand_in(self, key: str, number: int) -> None:
        if number > 25 or self.now > self.END - 10_000_000:
            return
        name, n = f"{key}.{number}", self.random.choice("abc")
        x = self.nodes[n]
        item = w.TransferredMessage(
            name, "m", 1, self.now + 3_000_000, bytes(self.random.choice([10, 30_000]))
        )
        if not x.alive:
            self.at(50_000, lambda: self.hand_in(key, number))
            return
        self.client[key], self.at_node[key] = (number, name), n
        done = x.desk.handle_session_event(
            key, s.MessageArrived(item, self.now), self.now
        )
        if done is None and x.desk.lease_token and x.lines.get(key, Line()).runs:
            done = [(key, s.AcceptMessage(item))]
        self.at(400_000, lambda mine=self.client[key]: self.give_up(n, key, mine))
        self.do(n, [(key, s.RejectMessage(name, 0))] if done is None else done)

    def give_up(self, n: str, key: str, mine: tuple[int, str]) -> None:
        if self.client.get(key) is mine:
            if self.nodes[n].alive:
                self.do(
                    n,
                    self.nodes[n].desk.handle_session_event(
                        key, s.ClientDisconnected(mine[1]), self.now
                    )
                    or [],
                )
            self.answer(key, mine[1], None)

    def answer(self, key: str, name: str, yes: bool | None) -> None:
        if self.client.get(key, (0, ""))[1] != name:
            return
        number, _ = self.client.pop(key)
        if yes:
            self.promised[name] = self.now
        again = (
            number if yes is False else number + 1
        )  # silence: the old id counts for nothing any more
        self.at(
            self.random.randrange(20_000, 120_000), lambda: self.hand_in(key, again)
        )

    # What the desks want

    def do(self, n: str, done: list[tuple[str, s.Action]]) -> None:
        x = self.nodes[n]
        for key, action in done:
            line = x.lines.setdefault(key, Line()) if key else Line()
            match action:
                case s.Send(frame):
                    self.send(n, frame)
                case s.PersistRecord(record):
                    self.at(
                        self.random.randrange(1_000, 30_000),
                        lambda r=record, start=x.start: self.written(n, r, start),
                    )
                case s.AskArbiter() | s.ConfirmVerdict():
                    if self.random.random() < 0.8:
                        slow = self.random.randrange(2_000, 300_000)
                        self.at(slow, lambda a=action: self.ask(n, a))
                case s.Freeze():
                    line.runs, line.freezing = False, True
                case s.CloseCalls():
                    line.out = ""
                case s.Halt():
                    line.runs = False
                case s.Resume():
                    line.runs, line.freezing = True, False
                case s.ImportSession(items, memory):
                    line.queue += [(i, i.executed_at_us is not None) for i in items]
                    line.memory = memory
                case s.ReleaseSession():
                    line.queue = []
                case s.FailAll():
                    for item, _ in list(line.queue):
                        self.end(n, key, item.id, "failed")
                case s.FailMessage(name):
                    self.ends.setdefault(name, "failed")
                case s.AcceptMessage(item, answer):
                    line.queue.append((item, False))
                    if answer:
                        self.answer(key, item.id, True)
                case s.AnswerAccepted(name):
                    self.answer(key, name, True)
                case s.RejectMessage(name):
                    self.answer(key, name, False)
                case s.StartTail():
                    self.at(300_000, lambda key=key: self.tail_over(n, key))

    def tail_over(self, n: str, key: str) -> None:
        if self.nodes[n].alive:
            self.do(
                n,
                self.nodes[n].desk.handle_session_event(
                    key, s.ConnectionsClosed(), self.now
                )
                or [],
            )

    def send(self, n: str, frame: w.Frame) -> None:
        data = frames.encode(frame)
        names = [frame.migration_id.source]
        if names == [n]:
            core = self.nodes[n].desk.outgoing.get(frame.migration_id)
            names = [core.target] if core else [o for o in "abc" if o != n]
        sound = self.now > self.CALM
        for name in names:
            for _ in range(self.random.choice([1] if sound else [0, 1, 1, 1, 1, 1, 2])):
                slow = self.random.randrange(1_000, 60_000 if sound else 150_000)
                self.at(slow, lambda name=name: self.heard(n, name, data))

    def heard(self, came: str, n: str, data: bytes) -> None:
        x = self.nodes[n]
        if x.alive:
            frame = frames.decode(data[frames.LENGTH_PREFIX_BYTES :])
            assert isinstance(frame, w.Frame)
            self.do(n, x.desk.handle_frame(came, frame, self.now))

    def ask(self, n: str, action: Any) -> None:
        if isinstance(action, s.ConfirmVerdict):
            self.arbiter.confirm(action)
        elif self.nodes[n].held:
            verdict, _ = self.arbiter.decide(action, self.now)
            if self.nodes[n].alive:
                self.do(n, self.nodes[n].desk.handle_verdict(verdict, self.now))

    def written(self, n: str, record: w.Record, start: int) -> None:
        x = self.nodes[n]
        if (
            not x.alive and self.random.random() < 0.5
        ):  # it was on its way when the process died
            x.disk, x.unseen = [*x.disk, record], [*x.unseen, record]
        if not x.alive or x.start != start:
            return
        ok = self.now > self.CALM or self.random.random() < 0.97
        reached = ok or self.random.random() < 0.5
        if reached:
            x.disk.append(w.decode_record(w.encode_record(record)))
            x.unseen = [r for r in x.unseen if what(r) != what(record)] + [record] * (
                not ok
            )
        if isinstance(record, w.ActivatedRecord) and ok:
            x.begun.add(str(record.migration_id))
        self.do(n, x.desk.handle_write_result(record, ok, self.now))

    # Processes and leases

    def lose(self, n: str, life: int) -> None:
        if self.nodes[n].life == life:
            self.nodes[n].held = False

    def join(self, n: str, life: int) -> None:
        x = self.nodes[n]
        if x.alive and x.life == life:
            x.life, x.held = x.life + 1, True
            self.do(n, x.desk.set_lease((1, x.life), self.now))

    def die(self, n: str) -> None:
        x = self.nodes[n]
        x.alive, x.desk = False, MigrationManager(n, self.limits)
        for key, (_, name) in list(self.client.items()):
            if self.at_node[key] == n:
                self.answer(key, name, None)
        for line in x.lines.values():
            line.runs = line.freezing = False
        self.at(
            self.random.choice([100_000, 700_000]),
            lambda life=x.life: self.lose(n, life),
        )

    def start(self, n: str) -> None:
        x = self.nodes[n]
        if x.alive:
            return
        x.alive, x.start = True, self.now
        for record in x.unseen:
            of = [r for r in x.disk if r.migration_id == record.migration_id]
            key = next(
                (r.key for r in of if isinstance(r, (w.StoredRecord, w.SealedRecord))),
                "",
            )
            line = x.lines.setdefault(key, Line()) if key else Line()
            refused = w.RefusedRecord(record.migration_id) in of
            if (
                isinstance(record, w.ActivatedRecord)
                and not refused
                and str(record.migration_id) not in x.begun
            ):
                stored = next(r for r in of if isinstance(r, w.StoredRecord))
                line.queue += [
                    (i, i.executed_at_us is not None)
                    for i in stored.items
                    if i.id not in self.ends
                ]
                line.memory = stored.remembered_ids
                x.begun.add(str(record.migration_id))
            elif isinstance(record, w.TailAcceptedRecord) and not refused:
                if all(q[0].id != record.item.id for q in line.queue):
                    line.queue.append((record.item, False))
            elif isinstance(record, w.ReleasedRecord):
                line.queue = []
        x.unseen = []
        owned: dict[str, bool] = dict.fromkeys(x.lines, n == "a")
        keys = {
            r.migration_id: r.key
            for r in x.disk
            if isinstance(r, (w.SealedRecord, w.StoredRecord))
        }
        for record in x.disk:
            if isinstance(
                record, (w.SealedRecord, w.ReclaimedRecord, w.FinalizedRecord)
            ):
                owned[keys[record.migration_id]] = not isinstance(
                    record, w.SealedRecord
                )
        x.desk.recover(x.disk, self.now)
        for key, line in x.lines.items():
            line.runs = owned.get(key, False)
            if line.out:
                self.end(n, key, line.out, "failed")
        x.life, x.held = x.life + 1, True
        self.do(n, x.desk.set_lease((1, x.life), self.now))


def what(record: w.Record) -> tuple[Any, ...]:
    return type(record), record.migration_id, getattr(record, "number", 0)


def replace_ran(item: w.TransferredMessage, now_us: int) -> w.TransferredMessage:
    return w.TransferredMessage(
        item.id,
        item.class_name,
        item.destination,
        item.deadline_us,
        item.body,
        executed_at_us=now_us,
    )


@settings(derandomize=True, deadline=None, max_examples=4)
@given(st.integers(0, 1 << 30))
def test_many_sessions_play_long(seed: int) -> None:
    play = Play(seed, keys=3)
    play.run()
    for key, sent in play.sent.items():
        assert len(sent) == len(set(sent)), f"{key}: {sent}"
        heard = [n for n in sent if f"{key}.{n}" in play.promised]
        assert heard == sorted(heard), f"{key}: {sent}"
        assert [
            n for n, x in play.nodes.items() if x.lines.get(key, Line()).runs
        ].__len__() == 1, key
    assert not [name for name in play.promised if name not in play.ends]
    assert not [x.desk.migrations() for x in play.nodes.values() if x.desk.migrations()]


# Times, bounds, choosing


@settings(derandomize=True, deadline=None, max_examples=120)
@given(
    st.integers(-(10**12), 10**12),
    st.floats(-0.019, 0.019),
    st.integers(0, 200_000),
    st.integers(0, 10**6),
    st.integers(1, 60 * 10**6),
)
def test_a_due_is_never_later_at_the_taker(
    apart: int, runs: float, way: int, wait: int, left: int
) -> None:
    """By whatever clock: at most the accept's way and the drift earlier, and never
    later.
    """

    def there(true_us: int) -> int:  # the taker's clock; the giver's is the true one
        return apart + round(true_us * (1 + runs))

    stamp, heard = there(0), way
    due = heard + wait + left
    item = w.with_local_times(
        w.with_relative_times(
            w.TransferredMessage("1", "", 0, due, executed_at_us=heard), heard
        ),
        stamp,
        0.02,
    )
    assert (
        item.deadline_us <= there(due) + 1
        and item.executed_at_us is not None
        and item.executed_at_us <= there(heard) + 1
    )
    assert item.deadline_us >= there(due - way) - round(0.04 * (wait + left)) - 2


def desk(name: str, **limits: Any) -> MigrationManager:
    return MigrationManager(name, replace(LIMITS, **limits), (1, 1))


def told(done: list[tuple[str, s.Action]], kind: type) -> list[Any]:
    return [
        a.frame if isinstance(a, s.Send) else a
        for _, a in done
        if isinstance(a, kind) or (isinstance(a, s.Send) and isinstance(a.frame, kind))
    ]


def frozen(at: MigrationManager) -> w.MigrationId:
    at.start_migration("k", "t", "a", "drain", 1, s.StartMigration(2, 900), 0)
    hand = at.migration_by_key["k"]
    assert told(at.handle_frame("t", w.Accept(hand, 5), 1_000), s.Freeze)
    return hand


def test_no_session_goes_over_with_50_ms_left_or_too_large() -> None:
    for items in (
        (w.TransferredMessage("1", "", 0, 51_000),),
        tuple(w.TransferredMessage(str(n), "", 0, 9**9) for n in range(1_001)),
    ):
        at = desk("g")
        frozen(at)
        done = at.handle_session_event("k", s.SessionQuiesced(items, ()), 1_000) or []
        assert (
            told(done, s.Resume)
            and told(done, w.Decline)
            and not told(done, s.PersistRecord)
            and not at.outgoing
        )


def test_what_waits_is_bounded_and_refused_in_time() -> None:
    at = desk("g", hold_messages=3, hold_bytes=2_000)
    hand = frozen(at)
    done = [
        at.handle_session_event(
            "k", s.MessageArrived(w.TransferredMessage(str(n), "", 0, 9**9), n), n
        )
        or []
        for n in range(5)
    ]
    assert [len(told(d, s.RejectMessage)) for d in done] == [0, 0, 0, 1, 1]
    assert [r.id for r in told(at.tick(LIMITS.hold_us + 1), s.RejectMessage)] == [
        "0",
        "1",
    ]
    assert [
        t.item.id
        for t in told(at.handle_frame("t", w.Decline(hand), 300_000), s.AcceptMessage)
    ] == ["2"]
    at = desk("g", hold_bytes=2_000)
    frozen(at)
    big = w.TransferredMessage("x", "", 0, 9**9, bytes(700))
    large = [
        at.handle_session_event("k", s.MessageArrived(big, n), n) or []
        for n in range(2)
    ]
    assert [len(told(d, s.RejectMessage)) for d in large] == [0, 1]


def kept(
    at: MigrationManager, kind: type, done: list[tuple[str, s.Action]]
) -> list[tuple[str, s.Action]]:
    (asked,) = told(done, s.PersistRecord)
    assert isinstance(asked.record, kind)
    return at.handle_write_result(asked.record, True, 2_000)


def test_a_seal_that_is_no_longer_wanted_is_taken_back_once_back_is_on_disk() -> None:
    at = desk("g")
    hand = frozen(at)
    sealing = (
        at.handle_session_event(
            "k", s.SessionQuiesced((w.TransferredMessage("1", "", 0, 9**9),), ()), 1_000
        )
        or []
    )
    assert at.handle_session_event("k", s.CancelMigration(), 1_500) == []
    assert told(kept(at, w.SealedRecord, sealing), w.Frame) == [w.Abort(hand)]
    back = at.handle_frame("t", w.Aborted(hand), 3_000)
    assert (
        not told(back, s.Resume)
        and told(kept(at, w.ReclaimedRecord, back), s.Resume)
        and not at.outgoing
    )


def test_a_copy_made_for_the_process_before_is_refused() -> None:
    """It counts from a stamp of that process, and its dues would come out late by the
    time between.
    """
    at, hand = desk("t"), w.MigrationId("g", 1, 1, 1)
    assert (
        told(
            at.handle_frame("g", w.Offer(hand, "k", "a", "", 1, 9, 1), 9_000), w.Accept
        )[0].stamp_us
        == 9_000
    )
    assert told(at.handle_frame("g", w.CopyPart(hand, 10, 0, 1), 9_500), w.Frame) == [
        w.Decline(hand, "restarted")
    ]
    assert told(
        at.handle_frame("g", w.CopyPart(hand, 9_000, 0, 1), 9_500), s.PersistRecord
    )


def test_what_is_over_is_remembered_and_never_taken_on_again() -> None:
    at, hand, key = desk("t"), w.MigrationId("g", 1, 1, 5), "k"
    stored = w.StoredRecord(hand, key, 1, (), ())
    at.handle_write_result(stored, True, 0)
    for late in (hand, w.MigrationId("g", 1, 1, 4)):
        assert told(
            at.handle_frame("g", w.Offer(late, key, "a", "", 1, 9, 1), 1), w.Decline
        )
    assert at.handle_frame("g", w.Abort(hand), 1) == [], (
        "it may have been ours: only the arbiter can say"
    )
    before = w.MigrationId("t", 1, 1, 1)
    assert (
        desk("t").recover(
            [
                w.SealedRecord(before, key, "x"),
                w.SealedRecord(hand, key, "x"),
                w.ReleasedRecord(hand),
            ],
            0,
        )
        == {}
    )
    at = MigrationManager("t", LIMITS)
    assert at.recover(
        [stored, w.ActivatedRecord(hand), w.FinalizedRecord(hand)], 0
    ) == {key: s.MigrationState.TAIL}
    at.set_lease((1, 1), 0)
    late_pass = w.TailMessage(hand, 10, 1, 500, w.TransferredMessage("1", "", 0, 9**9))
    assert (
        told(at.handle_frame("g", late_pass, 511), w.TailMessageResult)[0].outcome
        == "refused"
    ), "its client may have left"
    assert told(at.tick(2 * LIMITS.tail_us), s.MigrationFinished) and not at.incoming
    for frame in (w.Abort(hand), w.Commit(hand, (1, 1))):
        assert told(at.handle_frame("g", frame, 9), w.Activated)


def test_the_arbiters_first_word_holds() -> None:
    at = desk("g")
    hand = w.MigrationId("g", 1, 0, 1)
    at.recover([w.SealedRecord(hand, "k", "t"), w.CommittedRecord(hand)], 0)
    assert told(at.handle_frame("t", w.CopyStored(hand, (2, 2)), 1), s.AskArbiter)[
        0
    ].cede
    assert not told(at.handle_frame("t", w.Activated(hand, 1), 1), s.PersistRecord), (
        "what was asked may be answered yet"
    )
    assert told(
        kept(at, w.ReleasedRecord, at.handle_verdict(s.Verdict(hand, "taker"), 1)),
        w.Released,
    )
    at = desk("g")
    at.recover([w.SealedRecord(hand, "k", "t"), w.CommittedRecord(hand)], 0)
    assert told(at.handle_verdict(s.Verdict(hand, "taker"), 1), w.Commit)
    assert (
        at.handle_verdict(s.Verdict(hand, "giver"), 1) == []
        and told(at.tick(2), s.FailAll) == []
    )


def test_the_tail_passes_one_at_a_time_and_never_a_number_twice() -> None:
    at = desk("g")
    hand = frozen(at)
    at.handle_session_event(
        "k", s.MessageArrived(w.TransferredMessage("1", "", 0, 9**9), 1_500), 1_500
    )
    kept(
        at,
        w.SealedRecord,
        at.handle_session_event("k", s.SessionQuiesced((), ()), 1_000) or [],
    )
    committing = at.handle_frame("t", w.CopyStored(hand, (4, 4)), 2_000)
    assert told(kept(at, w.CommittedRecord, committing), w.Commit)[0].lease_token == (
        4,
        4,
    )
    first = told(
        kept(at, w.ReleasedRecord, at.handle_frame("t", w.Activated(hand, 70), 2_000)),
        w.TailMessage,
    )
    assert [(p.number, p.item.id, p.stamp_us) for p in first] == [(1, "1", 70)]
    assert (
        at.handle_session_event(
            "k", s.MessageArrived(w.TransferredMessage("2", "", 0, 9**9), 2_500), 2_500
        )
        == []
    )
    second = told(
        at.handle_session_event("k", s.ClientDisconnected("1"), 2_600) or [],
        w.TailMessage,
    )
    assert [(p.number, p.item.id) for p in second] == [(2, "2")]
    assert at.handle_frame("t", w.TailMessageResult(hand, 1, "taken", 80), 2_700) == []
    assert (
        at.handle_frame("t", w.TailMessageResult(hand, 2, "refused", 69), 2_700) == []
    ), "said before a restart"
    assert (
        at.handle_frame("x", w.TailMessageResult(hand, 2, "taken", 81), 2_700) == []
    ), "not the one it was given to"
    assert told(
        at.handle_frame("t", w.TailMessageResult(hand, 2, "taken", 81), 2_700),
        s.AnswerAccepted,
    ) == [s.AnswerAccepted("2")]
    assert (
        told(
            at.handle_session_event("k", s.ConnectionsClosed(), 2_800) or [], w.TailEnd
        )
        and not at.outgoing
    )
    assert told(at.handle_frame("t", w.CopyStored(hand, (4, 5)), 2_900), w.Released), (
        "it is remembered whose it is"
    )


def test_hand_overs_are_bounded_both_ways() -> None:
    giving, taking = (
        desk("g", at_once=2, all_bytes=9_000_000),
        desk("t", at_once=2, all_bytes=9_000_000),
    )
    offers = [
        told(
            giving.start_migration(
                f"k{n}", "t", "a", "", 1, s.StartMigration(1, 100), 0
            ),
            w.Offer,
        )
        for n in range(3)
    ]
    assert [len(o) for o in offers] == [1, 1, 0] and giving.start_migration(
        "k0", "t", "a", "", 1, s.StartMigration(1, 1), 0
    ) == []
    assert not desk("g", all_bytes=9_000_000).start_migration(
        "k", "t", "a", "", 1, s.StartMigration(1, 9_000_001), 0
    )
    answers = [
        taking.handle_frame(
            "g", w.Offer(w.MigrationId("g", 1, 1, n), f"k{n}", "a", "", 1, size, 1), 0
        )
        for n, size in enumerate((5_000_000, 8_388_609, 5_000_000, 10, 10))
    ]
    assert [bool(told(a, w.Accept)) for a in answers] == [
        True,
        False,
        False,
        True,
        False,
    ]
    taking.start_draining(0)
    late = w.Offer(w.MigrationId("g", 1, 1, 9), "k9", "a", "", 1, 1, 1)
    assert told(taking.handle_frame("g", late, 0), w.Decline)[0].reason == "draining"
    assert taking.handle_frame("x", w.Abort(w.MigrationId("g", 1, 1, 0)), 0) == [], (
        "not its hand-over"
    )


def test_largest_session_fits_its_frames() -> None:
    items = [
        w.TransferredMessage(
            f"{n:0200}",
            "c" * 200,
            n,
            -n,
            bytes(w.BODY_LIMIT_BYTES),
            "i" * 200,
            "t" * 200,
            executed_at_us=-n,
        )
        for n in range(9)
    ]
    memory = [f"{n:0200}" for n in range(256)]
    parts = list(w.split_into_parts(items, memory))
    assert [i for part in parts for i in part[0]] == items
    assert [m for part in parts for m in part[1]] == memory
    for n, part in enumerate(parts):
        assert (
            len(
                frames.encode(
                    w.CopyPart(
                        w.MigrationId("g" * 200, 1, 1, 1), 1, n, len(parts), *part
                    )
                )
            )
            < frames.FRAME_LIMIT_BYTES
        )


def test_arbiter_is_bounded_and_forgets_only_what_is_safe() -> None:
    alive = {"g": True, "t": True}
    arbiter = Arbiter(1, alive.__getitem__, max_decisions=1)
    one, two = (w.MigrationId("g", 1, 1, n) for n in (1, 2))
    assert arbiter.decide(s.AskArbiter(one, "taker", "g"), 0)[0].ruling == "wait"
    assert arbiter.decide(s.AskArbiter(one, "giver", "t"), 0) == (
        s.Verdict(one, "giver"),
        True,
    )
    alive["g"] = False
    assert arbiter.decide(s.AskArbiter(one, "taker", "g"), 0) == (
        s.Verdict(one, "giver"),
        False,
    )
    assert (
        arbiter.decide(s.AskArbiter(two, "taker", "g"), DECISION_RETENTION_US - 1)[
            0
        ].ruling
        == "wait"
    ), "no room"
    assert arbiter.decide(s.AskArbiter(two, "taker", "g"), DECISION_RETENTION_US) == (
        s.Verdict(two, "taker"),
        True,
    )
    assert arbiter.confirm(s.ConfirmVerdict(two, "taker")) and not arbiter.confirm(
        s.ConfirmVerdict(two, "taker")
    )
    assert arbiter.confirm(s.ConfirmVerdict(two, "giver")) and not arbiter.decisions
    for later in (arbiter, Arbiter(2, alive.__getitem__)):
        assert (
            later.decide(s.AskArbiter(one, "taker", "g"), DECISION_RETENTION_US)[
                0
            ].ruling
            == "wait"
        ), "forgotten: nobody knows"
        assert (
            later.decide(
                s.AskArbiter(one, "giver", "t", True, cede=True), DECISION_RETENTION_US
            )[0].ruling
            == "taker"
        )


def test_a_third_forwarder_passes_on_once() -> None:
    third, old, new = (
        SessionDirectory("x"),
        SessionDirectory("g"),
        SessionDirectory("t"),
    )
    assert (
        old.learn("k", "t", 1, 100)
        and new.learn("k", "t", 1, 100)
        and not old.learn("k", "g", 0, 100)
    )
    assert third.route("k", "g", (), 0) == "g" and old.route("k", "g", ("x",), 0) == "t"
    assert new.route("k", "g", ("x", "g"), 0) == "t", "its own: taken on"
    assert (
        old.route("k", "g", ("t",), 0) is None
        and third.route("k", "g", ("x",), 0) is None
    ), "a loop"
    assert (
        third.route("k", None, (), 0) is None and old.route("k", "g", (), 100) == "g"
    ), "the note is old"


def test_all_faults_of_the_table_are_told_with_their_paths() -> None:
    raw = {
        "sites": {"a": {"neighbours": {"a": 1, "z": 1, "b": -1}}, "b": 3},
        "over": 2,
        "at_once": "x",
        "what": 1,
        "limits": {"calls_us": 700_000, "none": 1},
    }
    with pytest.raises(config.SessionConfigError) as found:
        config.parse_config(raw)
    paths = [fault.split(":")[0] for fault in found.value.errors]
    assert paths == [
        "session.what",
        "session.at_once",
        "session.over",
        "session.sites.a.neighbours.a",
        "session.sites.a.neighbours.z",
        "session.sites.a.neighbours.b",
        "session.sites.b",
        "session.limits.none",
        "session.limits.calls_us",
    ]
    sound = {"sites": {"a": {"neighbours": {"b": 1}}, "b": {"neighbours": {}}}}
    assert config.parse_config(sound).sites == {"a": {"b": 1.0}, "b": {}}


@settings(derandomize=True, deadline=None, max_examples=8)
@given(st.integers(0, 1 << 30))
def test_sessions_never_swing_between_sites(seed: int) -> None:
    """Loads, drains and outages at random: who drains gets nothing, nothing returns
    within the pause or leaves too soon, and no more than `at_once` are out.
    """
    rng = random.Random(seed)
    rules = config.parse_config(
        {"sites": {n: {"neighbours": {o: 1.0 for o in "abc" if o != n}} for n in "abc"}}
    )
    choosers = {n: migration_policy.MigrationPolicy(rules) for n in "abc"}
    home = {
        f"k{n}": migration_policy.SessionStatus(
            f"k{n}", rng.randrange(1, 9_000), 1, 0, "", 0.03
        )
        for n in range(30)
    }
    place = {key: rng.choice("abc") for key in home}
    for now in range(0, 60_000_000, 500_000):
        load = {
            n: 0.03 * list(place.values()).count(n) + rng.choice([0, 0.3, 0.6])
            for n in "abc"
        }
        here = {
            n: migration_policy.LocalStatus(
                n, rng.random() < 0.1, load[n], rng.random() < 0.9, rng.randrange(3)
            )
            for n in "abc"
        }
        peers = [
            migration_policy.CandidatePeer(
                n,
                n,
                rng.random() < 0.9,
                h.draining,
                now - rng.choice([0, 4_000_000]),
                5,
                20_000,
                h.load,
                h.endpoints,
            )
            for n, h in here.items()
        ]
        for n in "abc":
            mine = [home[k] for k in place if place[k] == n]
            plans = choosers[n].plan_migrations(
                here[n], mine, [p for p in peers if p.name != n], now
            )
            assert len(plans) <= rules.at_once - here[n].migrations_in_progress
            for plan in plans:
                one, to = home[plan.key], here[plan.target]
                assert plan.target != n and not to.draining and to.endpoints
                back = (
                    one.arrived_from == to.site
                    and now - one.arrived_at_us < rules.pause_ms * 1000
                )
                stays = (
                    now - one.arrived_at_us < rules.least_stay_ms * 1000
                    and plan.reason != "drain"
                )
                assert not back and not stays
                taken = not choosers[plan.target].offer_rejection(
                    to, n, plan.reason, now
                )
                choosers[n].record_result(plan, taken, now)
                if taken:
                    home[plan.key], place[plan.key] = (
                        replace(one, arrived_at_us=now, arrived_from=n),
                        plan.target,
                    )


def test_two_sites_over_their_budget_hand_each_other_nothing() -> None:
    rules = config.parse_config(
        {"sites": {"a": {"neighbours": {"b": 1}}, "b": {"neighbours": {"a": 1}}}}
    )
    full, easy = (
        migration_policy.LocalStatus("a", load=0.95),
        migration_policy.LocalStatus("b", load=0.5),
    )
    one = migration_policy.SessionStatus("k", 10, 1, 0, load=0.1)
    taker = migration_policy.CandidatePeer(
        "f", "b", True, False, 9_000_000, 5, 100, 0.5
    )
    first, second = (
        migration_policy.MigrationPolicy(rules),
        migration_policy.MigrationPolicy(rules),
    )
    assert [
        p.target for p in first.plan_migrations(full, [one], [taker], 9_000_000)
    ] == ["f"]
    assert not first.plan_migrations(
        full, [one], [replace(taker, draining=True)], 9_000_000
    )
    assert not first.plan_migrations(
        full, [one], [replace(taker, load=0.65)], 9_000_000
    ), "it would be over itself"
    assert second.offer_rejection(easy, "a", "over", 9_000_000) == ""
    assert second.offer_rejection(full, "a", "over", 0) == "over"
    back = replace(taker, name="g", site="a")
    assert not second.plan_migrations(
        replace(easy, load=0.95), [one], [back], 9_500_000
    ), "it has just given us some"
    drains = replace(easy, load=0.95, draining=True)
    assert second.plan_migrations(drains, [one], [back], 9_500_000), "but a drain goes"
