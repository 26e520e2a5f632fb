"""Tests of session migration: the design page's transition tables, exhaustive search of
the model, and long randomized runs of the same state machines.
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


# Transition tables against the design page


@pytest.mark.parametrize(
    "title, core", [("## Giver", migration_source), ("## Taker", migration_target)]
)
def test_transitions_match_design_page(title: str, core: Any) -> None:
    section = PAGE.read_text().split(title)[1].split("\n## ")[0]
    lines = re.findall(r"^\|.*\|$", section, re.M)
    header, _, *rows = [
        [field_text.strip() for field_text in line.strip("|").split("|")]
        for line in lines
    ]
    documented = {
        (event, state): cell
        for row in rows
        for event in row[0].split(", ")
        for state, cell in zip(header[1:], row[1:], strict=True)
    }
    implemented = {
        (event.__name__, state.value): handler.__name__
        for state, events in core.TRANSITIONS.items()
        for event, handler in events.items()
    }
    assert {
        pair: cell for pair, cell in documented.items() if cell != "-"
    } == implemented


# Search of the model


STEPS_TO_COMMIT = (
    "g starts the migration",
    "t receives Offer",
    "g receives Accept",
    "g is quiesced",
    "g: kept SealedRecord",
    "t receives CopyPart",
    "t: kept StoredRecord",
    "g receives CopyStored (1, 1)",
    "g: kept CommittedRecord",
)
STEPS_TO_TAIL = (
    *STEPS_TO_COMMIT,
    "t receives Commit (1, 1)",
    "t: kept ActivatedRecord",
    "g receives Activated",
    "g: kept ReleasedRecord",
    "t receives Released",
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
                "begin": STEPS_TO_COMMIT[:-1],
            },
            1_000,
        ),
        (
            {
                "lease_t": 1,
                "retry": 1,
                "late": 0,
                "begin": (
                    *STEPS_TO_TAIL[:11],
                    "t starts call 1",
                    "t's call 1 is delivered",
                    "t's lease expires by its clock",
                ),
            },
            1_000,
        ),
        (
            {"begin": STEPS_TO_TAIL[:-1], "messages": 0, "arrive": 1, "crash_t": 1},
            1_500,
        ),
        (
            {
                "begin": STEPS_TO_TAIL,
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
def test_model_search_finds_no_violation(counts: dict[str, Any], states: int) -> None:
    """At most one owner, no message lost, called twice or overtaken; from each state the
    session settles with all its messages at one side.
    """
    result = explore(SessionMigrationModel(**counts), 80, 20_000)
    assert not result.violation, result.trace
    assert result.complete and result.states >= states


MUTATION_SCENARIOS: dict[str, dict[str, Any]] = {
    "source releases before commit": {},
    "target activates before commit": {},
    "remembered ids omitted": {"repeat": 1},
    "executed times omitted": {"retry": 1},
    "tail message overtakes": {"arrive": 1},
    "stale commit": {"lease_t": 1, "retry": 1, "begin": STEPS_TO_COMMIT},
    "source reclaims without refusal": {"gone": "g"},
    "target drops refusals": {"copies": 1},
    "target expires late": {"messages": 2, "due": 3},
    "outdated tail message accepted": {
        "arrive": 2,
        "crash_t": 1,
        "full": 1,
        "messages": 0,
        "copies": 1,
        "late": 0,
        "begin": STEPS_TO_TAIL,
    },
}
"""By mutation, the fewest events with which a search detects it."""


@pytest.mark.parametrize("bug", MUTATIONS)
def test_model_search_detects_mutation(bug: str) -> None:
    result = explore(SessionMigrationModel(bug, **MUTATION_SCENARIOS[bug]), 60, 20_000)
    assert result.violation and result.trace
    assert not explore(
        SessionMigrationModel(**MUTATION_SCENARIOS[bug]), len(result.trace), 20_000
    ).violation, "the violation has another cause than the mutation"


# Randomized runs: several sessions and forwarders, real frames, time and restarts


@dataclass
class Line:
    """A session in the engine of one forwarder; `runs`: it may start calls."""

    runs: bool = False
    freezing: bool = False
    queue: list[tuple[w.TransferredMessage, bool]] = field(default_factory=list)
    call_in_flight: str = ""
    remembered_ids: tuple[str, ...] = ()


@dataclass
class Node:
    """A forwarder process with its sessions and its disk; `desk` is its manager."""

    name: str
    desk: MigrationManager
    lines: dict[str, Line] = field(default_factory=dict)
    disk: list[w.Record] = field(default_factory=list)
    unapplied: list[w.Record] = field(default_factory=list)
    activated: set[str] = field(default_factory=set)
    alive: bool = True
    has_valid_lease: bool = True
    lease_number: int = 1
    started_at_us: int = 0


class Play:
    """A simulation of three forwarders and the arbiter on one clock.

    Faults end at `FAULTS_END_US`; after that all migrations must finish.
    """

    FAULTS_END_US, END_US = 12_000_000, 40_000_000

    def __init__(self, seed: int, keys: int) -> None:
        self.random, self.now_us, self.timers = random.Random(seed), 0, []  # type: ignore[var-annotated]
        self.timer_sequence = itertools.count()
        limits = replace(LIMITS, least_left_us=400_000, tail_us=2_000_000, drift=0.02)
        self.limits = limits
        self.nodes = {
            name: Node(name, MigrationManager(name, limits, (1, 1))) for name in "abc"
        }
        self.arbiter = Arbiter(1, lambda name: self.nodes[name].has_valid_lease)
        self.sent: dict[str, list[int]] = {f"k{number}": [] for number in range(keys)}
        self.ends: dict[str, str] = {}
        self.promised: dict[str, int] = {}
        self.waiting_clients: dict[str, tuple[int, str]] = {}
        self.submitted_to: dict[str, str] = {}
        for key in self.sent:
            self.nodes["a"].lines[key] = Line(True)
            self.schedule(0, lambda key=key: self.submit(key, 1))
        for name in self.nodes:
            self.schedule(50_000, lambda name=name: self.tick(name))
        self.schedule(100_000, self.inject_faults)

    def schedule(self, delay_us: int, callback: Callable[[], None]) -> None:
        heapq.heappush(
            self.timers, (self.now_us + delay_us, next(self.timer_sequence), callback)
        )

    def run(self) -> None:
        while self.timers and self.timers[0][0] <= self.END_US:
            self.now_us, _, callback = heapq.heappop(self.timers)
            callback()
            for key in self.sent:
                acting = [
                    name
                    for name, node in self.nodes.items()
                    if node.alive
                    and node.has_valid_lease
                    and node.desk.lease_token
                    and node.lines.get(key, Line()).runs
                ]
                assert len(acting) <= 1, f"{key}: more than one owner acts: {acting}"

    def inject_faults(self) -> None:
        if self.now_us >= self.FAULTS_END_US:
            for name, node in self.nodes.items():
                if not node.alive:
                    self.restart(name)
            return
        name = self.random.choice("abc")
        node, chance = self.nodes[name], self.random.random()
        if not node.alive:
            self.restart(name)
        elif chance < 0.08:
            self.crash(name)
        elif chance < 0.15 and node.desk.lease_token:
            self.apply_actions(name, node.desk.set_lease(None, self.now_us))
            self.schedule(
                100_000,
                lambda lease_number=node.lease_number: self.expire_lease(
                    name, lease_number
                ),
            )
            self.schedule(
                self.random.choice([60_000, 900_000]),
                lambda lease_number=node.lease_number: self.acquire_lease(
                    name, lease_number
                ),
            )
        else:
            owned_keys = [
                candidate
                for candidate, line in node.lines.items()
                if line.runs and candidate not in node.desk.migration_by_key
            ]
            if owned_keys and node.desk.lease_token:
                target, key = (
                    self.random.choice([other for other in "abc" if other != name]),
                    self.random.choice(owned_keys),
                )
                self.apply_actions(
                    name,
                    node.desk.start_migration(
                        key, target, "", "", 1, s.StartMigration(9, 90_000), self.now_us
                    ),
                )
        self.schedule(self.random.randrange(10_000, 200_000), self.inject_faults)

    def tick(self, name: str) -> None:
        node = self.nodes[name]
        if node.alive:
            self.apply_actions(name, node.desk.tick(self.now_us))
            for key in sorted(node.lines):
                self.run_session(name, key)
        self.schedule(25_000, lambda: self.tick(name))

    def run_session(self, name: str, key: str) -> None:
        node, line = self.nodes[name], self.nodes[name].lines[key]
        for item, _ in [
            entry
            for entry in line.queue
            if entry[0].deadline_us <= self.now_us
            and entry[0].id != line.call_in_flight
        ]:
            self.finish_message(name, key, item.id, "failed")
        if line.freezing and not line.call_in_flight:
            line.freezing = False
            items = tuple(
                mark_executed(queued, self.now_us) if may_be_executed else queued
                for queued, may_be_executed in line.queue
            )
            self.apply_actions(
                name,
                node.desk.handle_session_event(
                    key, s.SessionQuiesced(items, line.remembered_ids), self.now_us
                )
                or [],
            )
        if not (
            line.runs
            and node.desk.lease_token
            and line.queue
            and not line.call_in_flight
        ):
            return
        item, may_be_executed = line.queue[0]
        if may_be_executed or item.executed_at_us is not None:
            self.finish_message(name, key, item.id, "failed")
            return
        assert item.id not in self.ends, (
            f"{item.id} is called by {name} after its outcome"
        )
        line.call_in_flight, line.queue[0] = item.id, (item, True)
        self.sent[key].append(int(item.id.split(".")[1]))
        self.schedule(
            self.random.randrange(5_000, 60_000),
            lambda started_at_us=node.started_at_us: self.finish_call(
                name, key, item.id, started_at_us
            ),
        )

    def finish_call(
        self, name: str, key: str, message_id: str, started_at_us: int
    ) -> None:
        node = self.nodes[name]
        if (
            node.alive
            and node.started_at_us == started_at_us
            and node.lines[key].call_in_flight == message_id
        ):
            node.lines[key].remembered_ids = (
                *node.lines[key].remembered_ids,
                message_id,
            )[-LIMITS.memory :]
            self.finish_message(name, key, message_id, "delivered")

    def finish_message(
        self, name: str, key: str, message_id: str, outcome: str
    ) -> None:
        line = self.nodes[name].lines[key]
        line.queue = [entry for entry in line.queue if entry[0].id != message_id]
        line.call_in_flight = (
            "" if line.call_in_flight == message_id else line.call_in_flight
        )
        self.ends.setdefault(message_id, outcome)

    # Clients submit one message of a key after the other: the same one again after a
    # rejection, the next one after no answer

    def submit(self, key: str, number: int) -> None:
        if number > 25 or self.now_us > self.END_US - 10_000_000:
            return
        message_id, name = f"{key}.{number}", self.random.choice("abc")
        node = self.nodes[name]
        item = w.TransferredMessage(
            message_id,
            "m",
            1,
            self.now_us + 3_000_000,
            bytes(self.random.choice([10, 30_000])),
        )
        if not node.alive:
            self.schedule(50_000, lambda: self.submit(key, number))
            return
        self.waiting_clients[key], self.submitted_to[key] = (number, message_id), name
        actions = node.desk.handle_session_event(
            key, s.MessageArrived(item, self.now_us), self.now_us
        )
        if (
            actions is None
            and node.desk.lease_token
            and node.lines.get(key, Line()).runs
        ):
            actions = [(key, s.AcceptMessage(item))]
        self.schedule(
            400_000,
            lambda submission=self.waiting_clients[key]: self.disconnect_client(
                name, key, submission
            ),
        )
        self.apply_actions(
            name,
            [(key, s.RejectMessage(message_id, 0))] if actions is None else actions,
        )

    def disconnect_client(
        self, name: str, key: str, submission: tuple[int, str]
    ) -> None:
        if self.waiting_clients.get(key) is submission:
            if self.nodes[name].alive:
                self.apply_actions(
                    name,
                    self.nodes[name].desk.handle_session_event(
                        key, s.ClientDisconnected(submission[1]), self.now_us
                    )
                    or [],
                )
            self.answer_client(key, submission[1], None)

    def answer_client(self, key: str, message_id: str, accepted: bool | None) -> None:
        if self.waiting_clients.get(key, (0, ""))[1] != message_id:
            return
        number, _ = self.waiting_clients.pop(key)
        if accepted:
            self.promised[message_id] = self.now_us
        next_number = (
            number if accepted is False else number + 1
        )  # without an answer, the old id is not used again
        self.schedule(
            self.random.randrange(20_000, 120_000),
            lambda: self.submit(key, next_number),
        )

    # Actions of the migration managers

    def apply_actions(self, name: str, actions: list[tuple[str, s.Action]]) -> None:
        node = self.nodes[name]
        for key, action in actions:
            line = node.lines.setdefault(key, Line()) if key else Line()
            match action:
                case s.Send(frame):
                    self.send_frame(name, frame)
                case s.PersistRecord(record):
                    self.schedule(
                        self.random.randrange(1_000, 30_000),
                        lambda written=record, started_at_us=node.started_at_us: (
                            self.finish_write(name, written, started_at_us)
                        ),
                    )
                case s.AskArbiter() | s.ConfirmVerdict():
                    if self.random.random() < 0.8:
                        delay_us = self.random.randrange(2_000, 300_000)
                        self.schedule(
                            delay_us,
                            lambda request=action: self.handle_request(name, request),
                        )
                case s.Freeze():
                    line.runs, line.freezing = False, True
                case s.CloseCalls():
                    line.call_in_flight = ""
                case s.Halt():
                    line.runs = False
                case s.Resume():
                    line.runs, line.freezing = True, False
                case s.ImportSession(items, remembered_ids):
                    line.queue += [
                        (copied, copied.executed_at_us is not None) for copied in items
                    ]
                    line.remembered_ids = remembered_ids
                case s.ReleaseSession():
                    line.queue = []
                case s.FailAll():
                    for item, _ in list(line.queue):
                        self.finish_message(name, key, item.id, "failed")
                case s.FailMessage(message_id):
                    self.ends.setdefault(message_id, "failed")
                case s.AcceptMessage(item, answer_client):
                    line.queue.append((item, False))
                    if answer_client:
                        self.answer_client(key, item.id, True)
                case s.AnswerAccepted(message_id):
                    self.answer_client(key, message_id, True)
                case s.RejectMessage(message_id):
                    self.answer_client(key, message_id, False)
                case s.StartTail():
                    self.schedule(
                        300_000, lambda key=key: self.close_connections(name, key)
                    )

    def close_connections(self, name: str, key: str) -> None:
        if self.nodes[name].alive:
            self.apply_actions(
                name,
                self.nodes[name].desk.handle_session_event(
                    key, s.ConnectionsClosed(), self.now_us
                )
                or [],
            )

    def send_frame(self, name: str, frame: w.Frame) -> None:
        data = frames.encode(frame)
        receivers = [frame.migration_id.source]
        if receivers == [name]:
            source = self.nodes[name].desk.outgoing.get(frame.migration_id)
            receivers = (
                [source.target]
                if source
                else [other for other in "abc" if other != name]
            )
        is_fault_free = self.now_us > self.FAULTS_END_US
        for receiver in receivers:
            for _ in range(
                self.random.choice([1] if is_fault_free else [0, 1, 1, 1, 1, 1, 2])
            ):
                delay_us = self.random.randrange(
                    1_000, 60_000 if is_fault_free else 150_000
                )
                self.schedule(
                    delay_us,
                    lambda receiver=receiver: self.receive_frame(name, receiver, data),
                )

    def receive_frame(self, sender: str, name: str, data: bytes) -> None:
        node = self.nodes[name]
        if node.alive:
            frame = frames.decode(data[frames.LENGTH_PREFIX_BYTES :])
            assert isinstance(frame, w.Frame)
            self.apply_actions(name, node.desk.handle_frame(sender, frame, self.now_us))

    def handle_request(self, name: str, request: Any) -> None:
        if isinstance(request, s.ConfirmVerdict):
            self.arbiter.confirm(request)
        elif self.nodes[name].has_valid_lease:
            verdict, _ = self.arbiter.decide(request, self.now_us)
            if self.nodes[name].alive:
                self.apply_actions(
                    name, self.nodes[name].desk.handle_verdict(verdict, self.now_us)
                )

    def finish_write(self, name: str, record: w.Record, started_at_us: int) -> None:
        node = self.nodes[name]
        if (
            not node.alive and self.random.random() < 0.5
        ):  # the write was in progress when the process crashed
            node.disk, node.unapplied = [*node.disk, record], [*node.unapplied, record]
        if not node.alive or node.started_at_us != started_at_us:
            return
        ok = self.now_us > self.FAULTS_END_US or self.random.random() < 0.97
        reached_disk = ok or self.random.random() < 0.5
        if reached_disk:
            node.disk.append(w.decode_record(w.encode_record(record)))
            node.unapplied = [
                other
                for other in node.unapplied
                if record_identity(other) != record_identity(record)
            ] + [record] * (not ok)
        if isinstance(record, w.ActivatedRecord) and ok:
            node.activated.add(str(record.migration_id))
        self.apply_actions(name, node.desk.handle_write_result(record, ok, self.now_us))

    # Processes and leases

    def expire_lease(self, name: str, lease_number: int) -> None:
        if self.nodes[name].lease_number == lease_number:
            self.nodes[name].has_valid_lease = False

    def acquire_lease(self, name: str, lease_number: int) -> None:
        node = self.nodes[name]
        if node.alive and node.lease_number == lease_number:
            node.lease_number, node.has_valid_lease = node.lease_number + 1, True
            self.apply_actions(
                name, node.desk.set_lease((1, node.lease_number), self.now_us)
            )

    def crash(self, name: str) -> None:
        node = self.nodes[name]
        node.alive, node.desk = False, MigrationManager(name, self.limits)
        for key, (_, message_id) in list(self.waiting_clients.items()):
            if self.submitted_to[key] == name:
                self.answer_client(key, message_id, None)
        for line in node.lines.values():
            line.runs = line.freezing = False
        self.schedule(
            self.random.choice([100_000, 700_000]),
            lambda lease_number=node.lease_number: self.expire_lease(
                name, lease_number
            ),
        )

    def restart(self, name: str) -> None:
        node = self.nodes[name]
        if node.alive:
            return
        node.alive, node.started_at_us = True, self.now_us
        for record in node.unapplied:
            migration_records = [
                other
                for other in node.disk
                if other.migration_id == record.migration_id
            ]
            key = next(
                (
                    other.key
                    for other in migration_records
                    if isinstance(other, (w.StoredRecord, w.SealedRecord))
                ),
                "",
            )
            line = node.lines.setdefault(key, Line()) if key else Line()
            refused = w.RefusedRecord(record.migration_id) in migration_records
            if (
                isinstance(record, w.ActivatedRecord)
                and not refused
                and str(record.migration_id) not in node.activated
            ):
                stored = next(
                    other
                    for other in migration_records
                    if isinstance(other, w.StoredRecord)
                )
                line.queue += [
                    (item, item.executed_at_us is not None)
                    for item in stored.items
                    if item.id not in self.ends
                ]
                line.remembered_ids = stored.remembered_ids
                node.activated.add(str(record.migration_id))
            elif isinstance(record, w.TailAcceptedRecord) and not refused:
                if all(entry[0].id != record.item.id for entry in line.queue):
                    line.queue.append((record.item, False))
            elif isinstance(record, w.ReleasedRecord):
                line.queue = []
        node.unapplied = []
        is_owned: dict[str, bool] = dict.fromkeys(node.lines, name == "a")
        keys = {
            other.migration_id: other.key
            for other in node.disk
            if isinstance(other, (w.SealedRecord, w.StoredRecord))
        }
        for record in node.disk:
            if isinstance(
                record, (w.SealedRecord, w.ReclaimedRecord, w.FinalizedRecord)
            ):
                is_owned[keys[record.migration_id]] = not isinstance(
                    record, w.SealedRecord
                )
        node.desk.recover(node.disk, self.now_us)
        for key, line in node.lines.items():
            line.runs = is_owned.get(key, False)
            if line.call_in_flight:
                self.finish_message(name, key, line.call_in_flight, "failed")
        node.lease_number, node.has_valid_lease = node.lease_number + 1, True
        self.apply_actions(
            name, node.desk.set_lease((1, node.lease_number), self.now_us)
        )


def record_identity(record: w.Record) -> tuple[Any, ...]:
    return type(record), record.migration_id, getattr(record, "number", 0)


def mark_executed(item: w.TransferredMessage, now_us: int) -> w.TransferredMessage:
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


# Deadlines, limits and the migration policy


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


def new_manager(name: str, **limits: Any) -> MigrationManager:
    return MigrationManager(name, replace(LIMITS, **limits), (1, 1))


def of_type(actions: list[tuple[str, s.Action]], wanted_type: type) -> list[Any]:
    """Return the actions, or the frames in `Send` actions, of a type."""
    return [
        action.frame if isinstance(action, s.Send) else action
        for _, action in actions
        if isinstance(action, wanted_type)
        or (isinstance(action, s.Send) and isinstance(action.frame, wanted_type))
    ]


def freeze_session(manager: MigrationManager) -> w.MigrationId:
    """Start a migration to `t` up to the frozen session."""
    manager.start_migration("k", "t", "a", "drain", 1, s.StartMigration(2, 900), 0)
    migration_id = manager.migration_by_key["k"]
    assert of_type(
        manager.handle_frame("t", w.Accept(migration_id, 5), 1_000), s.Freeze
    )
    return migration_id


def test_session_near_expiry_or_too_large_is_not_migrated() -> None:
    for items in (
        (w.TransferredMessage("1", "", 0, 51_000),),
        tuple(
            w.TransferredMessage(str(number), "", 0, 9**9) for number in range(1_001)
        ),
    ):
        manager = new_manager("g")
        freeze_session(manager)
        actions = (
            manager.handle_session_event("k", s.SessionQuiesced(items, ()), 1_000) or []
        )
        assert (
            of_type(actions, s.Resume)
            and of_type(actions, w.Decline)
            and not of_type(actions, s.PersistRecord)
            and not manager.outgoing
        )


def test_buffer_is_bounded_and_rejects_overdue_messages() -> None:
    manager = new_manager("g", hold_messages=3, hold_bytes=2_000)
    migration_id = freeze_session(manager)
    results = [
        manager.handle_session_event(
            "k",
            s.MessageArrived(w.TransferredMessage(str(number), "", 0, 9**9), number),
            number,
        )
        or []
        for number in range(5)
    ]
    assert [len(of_type(actions, s.RejectMessage)) for actions in results] == [
        0,
        0,
        0,
        1,
        1,
    ]
    assert [
        rejection.id
        for rejection in of_type(manager.tick(LIMITS.hold_us + 1), s.RejectMessage)
    ] == [
        "0",
        "1",
    ]
    assert [
        acceptance.item.id
        for acceptance in of_type(
            manager.handle_frame("t", w.Decline(migration_id), 300_000), s.AcceptMessage
        )
    ] == ["2"]
    manager = new_manager("g", hold_bytes=2_000)
    freeze_session(manager)
    large_message = w.TransferredMessage("x", "", 0, 9**9, bytes(700))
    large_results = [
        manager.handle_session_event(
            "k", s.MessageArrived(large_message, number), number
        )
        or []
        for number in range(2)
    ]
    assert [len(of_type(actions, s.RejectMessage)) for actions in large_results] == [
        0,
        1,
    ]


def confirm_write(
    manager: MigrationManager, record_type: type, actions: list[tuple[str, s.Action]]
) -> list[tuple[str, s.Action]]:
    """Report the only requested write as successful; return the actions that follow."""
    (request,) = of_type(actions, s.PersistRecord)
    assert isinstance(request.record, record_type)
    return manager.handle_write_result(request.record, True, 2_000)


def test_canceled_seal_is_reclaimed_once_its_record_is_on_disk() -> None:
    manager = new_manager("g")
    migration_id = freeze_session(manager)
    sealing = (
        manager.handle_session_event(
            "k", s.SessionQuiesced((w.TransferredMessage("1", "", 0, 9**9),), ()), 1_000
        )
        or []
    )
    assert manager.handle_session_event("k", s.CancelMigration(), 1_500) == []
    assert of_type(confirm_write(manager, w.SealedRecord, sealing), w.Frame) == [
        w.Abort(migration_id)
    ]
    reclaiming = manager.handle_frame("t", w.Aborted(migration_id), 3_000)
    assert (
        not of_type(reclaiming, s.Resume)
        and of_type(confirm_write(manager, w.ReclaimedRecord, reclaiming), s.Resume)
        and not manager.outgoing
    )


def test_copy_for_previous_process_is_declined() -> None:
    """Its times count from a stamp of that process, so its deadlines would be late by the
    time between the two stamps.
    """
    manager, migration_id = new_manager("t"), w.MigrationId("g", 1, 1, 1)
    assert (
        of_type(
            manager.handle_frame(
                "g", w.Offer(migration_id, "k", "a", "", 1, 9, 1), 9_000
            ),
            w.Accept,
        )[0].stamp_us
        == 9_000
    )
    assert of_type(
        manager.handle_frame("g", w.CopyPart(migration_id, 10, 0, 1), 9_500), w.Frame
    ) == [w.Decline(migration_id, "restarted")]
    assert of_type(
        manager.handle_frame("g", w.CopyPart(migration_id, 9_000, 0, 1), 9_500),
        s.PersistRecord,
    )


def test_finished_migrations_are_remembered_and_not_accepted_again() -> None:
    manager, migration_id, key = new_manager("t"), w.MigrationId("g", 1, 1, 5), "k"
    stored = w.StoredRecord(migration_id, key, 1, (), ())
    manager.handle_write_result(stored, True, 0)
    for old_id in (migration_id, w.MigrationId("g", 1, 1, 4)):
        assert of_type(
            manager.handle_frame("g", w.Offer(old_id, key, "a", "", 1, 9, 1), 1),
            w.Decline,
        )
    assert manager.handle_frame("g", w.Abort(migration_id), 1) == [], (
        "the session may be owned here: only the arbiter can decide"
    )
    earlier_id = w.MigrationId("t", 1, 1, 1)
    assert (
        new_manager("t").recover(
            [
                w.SealedRecord(earlier_id, key, "x"),
                w.SealedRecord(migration_id, key, "x"),
                w.ReleasedRecord(migration_id),
            ],
            0,
        )
        == {}
    )
    manager = MigrationManager("t", LIMITS)
    assert manager.recover(
        [stored, w.ActivatedRecord(migration_id), w.FinalizedRecord(migration_id)], 0
    ) == {key: s.MigrationState.TAIL}
    manager.set_lease((1, 1), 0)
    late_tail_message = w.TailMessage(
        migration_id, 10, 1, 500, w.TransferredMessage("1", "", 0, 9**9)
    )
    assert (
        of_type(manager.handle_frame("g", late_tail_message, 511), w.TailMessageResult)[
            0
        ].outcome
        == "refused"
    ), "its client may have disconnected"
    assert (
        of_type(manager.tick(2 * LIMITS.tail_us), s.MigrationFinished)
        and not manager.incoming
    )
    for frame in (w.Abort(migration_id), w.Commit(migration_id, (1, 1))):
        assert of_type(manager.handle_frame("g", frame, 9), w.Activated)


def test_first_verdict_of_arbiter_is_final() -> None:
    manager = new_manager("g")
    migration_id = w.MigrationId("g", 1, 0, 1)
    manager.recover(
        [w.SealedRecord(migration_id, "k", "t"), w.CommittedRecord(migration_id)], 0
    )
    assert of_type(
        manager.handle_frame("t", w.CopyStored(migration_id, (2, 2)), 1), s.AskArbiter
    )[0].cede
    assert not of_type(
        manager.handle_frame("t", w.Activated(migration_id, 1), 1), s.PersistRecord
    ), "the arbiter may still answer the pending request"
    assert of_type(
        confirm_write(
            manager,
            w.ReleasedRecord,
            manager.handle_verdict(s.Verdict(migration_id, "taker"), 1),
        ),
        w.Released,
    )
    manager = new_manager("g")
    manager.recover(
        [w.SealedRecord(migration_id, "k", "t"), w.CommittedRecord(migration_id)], 0
    )
    assert of_type(
        manager.handle_verdict(s.Verdict(migration_id, "taker"), 1), w.Commit
    )
    assert (
        manager.handle_verdict(s.Verdict(migration_id, "giver"), 1) == []
        and of_type(manager.tick(2), s.FailAll) == []
    )


def test_tail_forwards_one_message_at_a_time_with_unique_numbers() -> None:
    manager = new_manager("g")
    migration_id = freeze_session(manager)
    manager.handle_session_event(
        "k", s.MessageArrived(w.TransferredMessage("1", "", 0, 9**9), 1_500), 1_500
    )
    confirm_write(
        manager,
        w.SealedRecord,
        manager.handle_session_event("k", s.SessionQuiesced((), ()), 1_000) or [],
    )
    committing = manager.handle_frame("t", w.CopyStored(migration_id, (4, 4)), 2_000)
    assert of_type(confirm_write(manager, w.CommittedRecord, committing), w.Commit)[
        0
    ].lease_token == (
        4,
        4,
    )
    first = of_type(
        confirm_write(
            manager,
            w.ReleasedRecord,
            manager.handle_frame("t", w.Activated(migration_id, 70), 2_000),
        ),
        w.TailMessage,
    )
    assert [(frame.number, frame.item.id, frame.stamp_us) for frame in first] == [
        (1, "1", 70)
    ]
    assert (
        manager.handle_session_event(
            "k", s.MessageArrived(w.TransferredMessage("2", "", 0, 9**9), 2_500), 2_500
        )
        == []
    )
    second = of_type(
        manager.handle_session_event("k", s.ClientDisconnected("1"), 2_600) or [],
        w.TailMessage,
    )
    assert [(frame.number, frame.item.id) for frame in second] == [(2, "2")]
    assert (
        manager.handle_frame(
            "t", w.TailMessageResult(migration_id, 1, "taken", 80), 2_700
        )
        == []
    )
    assert (
        manager.handle_frame(
            "t", w.TailMessageResult(migration_id, 2, "refused", 69), 2_700
        )
        == []
    ), "sent before a restart of the target"
    assert (
        manager.handle_frame(
            "x", w.TailMessageResult(migration_id, 2, "taken", 81), 2_700
        )
        == []
    ), "not from the target of the migration"
    assert of_type(
        manager.handle_frame(
            "t", w.TailMessageResult(migration_id, 2, "taken", 81), 2_700
        ),
        s.AnswerAccepted,
    ) == [s.AnswerAccepted("2")]
    assert (
        of_type(
            manager.handle_session_event("k", s.ConnectionsClosed(), 2_800) or [],
            w.TailEnd,
        )
        and not manager.outgoing
    )
    assert of_type(
        manager.handle_frame("t", w.CopyStored(migration_id, (4, 5)), 2_900), w.Released
    ), "the finished migration is remembered"


def test_migrations_are_bounded_in_both_directions() -> None:
    source, target = (
        new_manager("g", at_once=2, all_bytes=9_000_000),
        new_manager("t", at_once=2, all_bytes=9_000_000),
    )
    offers = [
        of_type(
            source.start_migration(
                f"k{number}", "t", "a", "", 1, s.StartMigration(1, 100), 0
            ),
            w.Offer,
        )
        for number in range(3)
    ]
    assert [len(sent_offers) for sent_offers in offers] == [
        1,
        1,
        0,
    ] and source.start_migration("k0", "t", "a", "", 1, s.StartMigration(1, 1), 0) == []
    assert not new_manager("g", all_bytes=9_000_000).start_migration(
        "k", "t", "a", "", 1, s.StartMigration(1, 9_000_001), 0
    )
    answers = [
        target.handle_frame(
            "g",
            w.Offer(
                w.MigrationId("g", 1, 1, number), f"k{number}", "a", "", 1, size, 1
            ),
            0,
        )
        for number, size in enumerate((5_000_000, 8_388_609, 5_000_000, 10, 10))
    ]
    assert [bool(of_type(actions, w.Accept)) for actions in answers] == [
        True,
        False,
        False,
        True,
        False,
    ]
    target.start_draining(0)
    late_offer = w.Offer(w.MigrationId("g", 1, 1, 9), "k9", "a", "", 1, 1, 1)
    assert (
        of_type(target.handle_frame("g", late_offer, 0), w.Decline)[0].reason
        == "draining"
    )
    assert target.handle_frame("x", w.Abort(w.MigrationId("g", 1, 1, 0)), 0) == [], (
        "not a migration of this peer"
    )


def test_largest_session_fits_its_frames() -> None:
    items = [
        w.TransferredMessage(
            f"{number:0200}",
            "c" * 200,
            number,
            -number,
            bytes(w.BODY_LIMIT_BYTES),
            "i" * 200,
            "t" * 200,
            executed_at_us=-number,
        )
        for number in range(9)
    ]
    remembered_ids = [f"{number:0200}" for number in range(256)]
    parts = list(w.split_into_parts(items, remembered_ids))
    assert [item for part in parts for item in part[0]] == items
    assert [message_id for part in parts for message_id in part[1]] == remembered_ids
    for number, part in enumerate(parts):
        assert (
            len(
                frames.encode(
                    w.CopyPart(
                        w.MigrationId("g" * 200, 1, 1, 1), 1, number, len(parts), *part
                    )
                )
            )
            < frames.FRAME_LIMIT_BYTES
        )


def test_arbiter_is_bounded_and_evicts_only_old_decisions() -> None:
    alive = {"g": True, "t": True}
    arbiter = Arbiter(1, alive.__getitem__, max_decisions=1)
    first, second = (w.MigrationId("g", 1, 1, sequence) for sequence in (1, 2))
    assert arbiter.decide(s.AskArbiter(first, "taker", "g"), 0)[0].ruling == "wait"
    assert arbiter.decide(s.AskArbiter(first, "giver", "t"), 0) == (
        s.Verdict(first, "giver"),
        True,
    )
    alive["g"] = False
    assert arbiter.decide(s.AskArbiter(first, "taker", "g"), 0) == (
        s.Verdict(first, "giver"),
        False,
    )
    assert (
        arbiter.decide(s.AskArbiter(second, "taker", "g"), DECISION_RETENTION_US - 1)[
            0
        ].ruling
        == "wait"
    ), "the store is full"
    assert arbiter.decide(
        s.AskArbiter(second, "taker", "g"), DECISION_RETENTION_US
    ) == (
        s.Verdict(second, "taker"),
        True,
    )
    assert arbiter.confirm(s.ConfirmVerdict(second, "taker")) and not arbiter.confirm(
        s.ConfirmVerdict(second, "taker")
    )
    assert arbiter.confirm(s.ConfirmVerdict(second, "giver")) and not arbiter.decisions
    for later in (arbiter, Arbiter(2, alive.__getitem__)):
        assert (
            later.decide(s.AskArbiter(first, "taker", "g"), DECISION_RETENTION_US)[
                0
            ].ruling
            == "wait"
        ), "evicted: the earlier verdict is unknown"
        assert (
            later.decide(
                s.AskArbiter(first, "giver", "t", True, cede=True),
                DECISION_RETENTION_US,
            )[0].ruling
            == "taker"
        )


def test_third_forwarder_forwards_once() -> None:
    third, source, target = (
        SessionDirectory("x"),
        SessionDirectory("g"),
        SessionDirectory("t"),
    )
    assert (
        source.learn("k", "t", 1, 100)
        and target.learn("k", "t", 1, 100)
        and not source.learn("k", "g", 0, 100)
    )
    assert (
        third.route("k", "g", (), 0) == "g" and source.route("k", "g", ("x",), 0) == "t"
    )
    assert target.route("k", "g", ("x", "g"), 0) == "t", (
        "the owner itself accepts the message"
    )
    assert (
        source.route("k", "g", ("t",), 0) is None
        and third.route("k", "g", ("x",), 0) is None
    ), "forwarding loop detected"
    assert (
        third.route("k", None, (), 0) is None and source.route("k", "g", (), 100) == "g"
    ), "the directory entry has expired"


def test_all_config_errors_are_reported_with_paths() -> None:
    raw = {
        "sites": {"a": {"neighbours": {"a": 1, "z": 1, "b": -1}}, "b": 3},
        "over": 2,
        "at_once": "x",
        "what": 1,
        "limits": {"calls_us": 700_000, "none": 1},
    }
    with pytest.raises(config.SessionConfigError) as raised:
        config.parse_config(raw)
    paths = [error.split(":")[0] for error in raised.value.errors]
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
    valid = {"sites": {"a": {"neighbours": {"b": 1}}, "b": {"neighbours": {}}}}
    assert config.parse_config(valid).sites == {"a": {"b": 1.0}, "b": {}}


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


def test_overloaded_sites_do_not_migrate_to_each_other() -> None:
    session_config = config.parse_config(
        {"sites": {"a": {"neighbours": {"b": 1}}, "b": {"neighbours": {"a": 1}}}}
    )
    overloaded, underloaded = (
        migration_policy.LocalStatus("a", load=0.95),
        migration_policy.LocalStatus("b", load=0.5),
    )
    session = migration_policy.SessionStatus("k", 10, 1, 0, load=0.1)
    peer = migration_policy.CandidatePeer("f", "b", True, False, 9_000_000, 5, 100, 0.5)
    first_policy, second_policy = (
        migration_policy.MigrationPolicy(session_config),
        migration_policy.MigrationPolicy(session_config),
    )
    assert [
        plan.target
        for plan in first_policy.plan_migrations(
            overloaded, [session], [peer], 9_000_000
        )
    ] == ["f"]
    assert not first_policy.plan_migrations(
        overloaded, [session], [replace(peer, draining=True)], 9_000_000
    )
    assert not first_policy.plan_migrations(
        overloaded, [session], [replace(peer, load=0.65)], 9_000_000
    ), "the target would be overloaded"
    assert second_policy.offer_rejection(underloaded, "a", "over", 9_000_000) == ""
    assert second_policy.offer_rejection(overloaded, "a", "over", 0) == "over"
    peer_of_first = replace(peer, name="g", site="a")
    assert not second_policy.plan_migrations(
        replace(underloaded, load=0.95), [session], [peer_of_first], 9_500_000
    ), "its site sent sessions because of its load just now"
    draining = replace(underloaded, load=0.95, draining=True)
    assert second_policy.plan_migrations(
        draining, [session], [peer_of_first], 9_500_000
    ), "a drain is not restricted by that"
