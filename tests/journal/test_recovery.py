"""Random histories on a disk that loses what it may, against a simple model; and the
hard cases singly.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.dispatch import Idempotency, MessageClass
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
    PendingNotification,
)
from rainfall.journal import recovery
from rainfall.journal.recovery import UnusableJournalError, read_journal
from tests.journal.test_journal import HEAD, OLD, f
from tests.support.memory_disk import Died, Disk, Hands

FOLDER = Path("/state")
SECOND = 1_000_000
CLASSES = (
    MessageClass("status", SECOND, 10 * SECOND),
    MessageClass("pay", SECOND, 10 * SECOND, Idempotency.AT_MOST_ONCE),
    MessageClass("turn", SECOND, 10 * SECOND, ordered=True),
)
RULES = DeliveryRules(6, CLASSES)


@pytest.fixture(autouse=True)
def boot(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rainfall.forwarder.message_store.this_boot", lambda: "boot 1")


def taken(
    name: str, cls: str = "pay", key: str | None = None, size: int = 20
) -> AcceptedMessage:
    return AcceptedMessage(name, cls, 7, 10**15, None, None, b"\xb7" * size, key)


def opened(
    disk: Disk, hands: Hands | None = None, most: int = 200_000, **more: int
) -> MessageStore:
    store = MessageStore(
        FOLDER, most, files=disk, worker=hands, base_us=more.get("base", 0)
    )
    store.use_rules(RULES)
    return store


@dataclass
class Told:
    """What the model knows of a message."""

    m: AcceptedMessage
    accepted: bool = False
    """Its client heard that it is taken on."""
    left: list[int] = field(default_factory=list)
    """Attempts whose first byte may have left."""
    never: set[int] = field(default_factory=set)
    """Of these, those whose outcome says that they never ran."""
    over: bool = False
    gone: bool = False
    """Its end may have been told."""


class World:
    """A history: what a forwarder does with a journal, and what it said outside."""

    def __init__(self, seed: int, power: bool) -> None:
        self.r = random.Random(seed)
        self.disk = Disk(seed)
        self.hands = Hands() if power else None
        self.power = power
        self.told: dict[str, Told] = {}
        self.lines: dict[str, list[str]] = {}
        self.out: set[str] = set()
        self.serial = 0
        self.store = opened(self.disk, self.hands)

    def note(self, done: list[Told], attempt: int = -1, end: bool = False) -> None:
        def then(ok: bool) -> None:
            for t in done if ok else []:
                if attempt >= 0:
                    t.left.append(attempt)
                elif end:
                    t.gone = True
                else:
                    t.accepted = True

        self.store.commit(then)

    def act(self) -> None:
        live = [t for t in self.told.values() if t.m.id in self.store.messages]
        choice = self.r.random()
        if choice < 0.3 or not live:
            self.take()
        elif choice < 0.6:
            self.attempt(self.r.choice(live))
        elif choice < 0.75:
            self.outcome(self.r.choice(live))
        elif choice < 0.87:
            self.end(self.r.choice(live))
        elif choice < 0.92:
            name = f"s{self.r.randrange(3)}"
            self.store.append_detached(name, True)
            self.store.commit(lambda ok: self.out.add(name) if ok else None)
        elif choice < 0.96:
            self.store.compact()
        else:
            for name in list(self.store.pending_notifications)[:1]:
                self.store.append_acknowledgement(name)
            self.store.flush()
        if self.hands is not None and self.r.random() < 0.5:
            self.hands.work()

    def take(self) -> None:
        done = []
        for _ in range(self.r.randint(1, 3)):
            self.serial += 1
            cls = self.r.choice(("status", "pay", "turn"))
            key = self.r.choice("AB") if cls == "turn" else None
            m = taken(f"m{self.serial}", cls, key, self.r.randint(0, 80))
            self.store.append_message(m)
            done.append(self.told.setdefault(m.id, Told(m)))
            if key:
                self.lines.setdefault(key, []).append(m.id)
        self.note(done)

    def attempt(self, t: Told) -> None:
        key = t.m.order_key
        if key:
            before = self.lines[key][: self.lines[key].index(t.m.id)]
            if any(
                n in self.store.messages or n in self.store.pending_notifications
                for n in before
            ):
                return  # the module sends one at a time
        if t.m.class_name == "pay" and (t.m.in_flight or t.m.executed_at_us >= 0):
            return  # nor does it send again what may have run
        number = t.m.attempts
        self.store.append_attempt(t.m, number, 5 * SECOND + number, "s1")
        self.note([t], number)

    def outcome(self, t: Told) -> None:
        if t.m.in_flight and set(t.m.in_flight) <= set(t.left):
            number = min(t.m.in_flight)
            ran = self.r.random() < 0.5
            self.store.append_outcome(t.m, number, ran)
            if not ran:
                t.never.add(number)
            self.store.flush()

    def end(self, t: Told) -> None:
        if not t.accepted or t.m.in_flight:
            return
        t.over = True
        if self.r.random() < 0.5:
            self.store.append_finished(t.m.id)
            self.store.flush()
        else:
            self.store.append_notification(t.m.id, "returned", 5)
            self.note([t], end=True)

    def check(self, back: MessageStore, most_lost: int = 0) -> None:
        lost = [
            t
            for t in self.told.values()
            if t.accepted
            and not t.over
            and t.m.id not in back.messages
            and t.m.id not in back.pending_notifications
        ]
        assert len(lost) <= most_lost, [t.m.id for t in lost]
        for t in self.told.values():
            m = back.messages.get(t.m.id)
            if m is None:
                continue
            if t.m.class_name == "pay":
                hidden = set(t.left) - t.never
                assert not hidden or m.in_flight or m.executed_at_us >= 0, (
                    f"{m.id} would go twice"
                )
                assert not t.gone or m.in_flight or m.executed_at_us >= 0, (
                    f"{m.id} was told to be returned"
                )
            elif not most_lost:
                assert not t.gone, f"{m.id} was told to be returned"
            if m.order_key:
                line = self.lines[m.order_key]
                later = line[line.index(m.id) + 1 :]
                assert not any(self.told[n].left for n in later), (
                    f"{m.id} would be overtaken"
                )
        order = [n for n in back.messages]
        assert order == sorted(order, key=lambda n: int(n[1:]))
        if not most_lost:
            assert self.out <= set(back.detached)

    def recovered(self) -> MessageStore:
        hands = Hands() if self.power else None
        back = opened(self.disk, hands)
        while hands is not None and hands.work():
            pass
        return back

    def run(self, steps: int) -> None:
        try:
            for _ in range(steps):
                self.act()
        except Died:
            pass


def recover_again(world: World, back: MessageStore) -> None:
    """A recovery of what was recovered finds nothing new: not after a kill, and not
    after the power went.
    """
    back.flush()
    facts = back.comparable_contents()
    if world.power:
        world.disk.power_lost()
    else:
        world.disk.killed()
    again = world.recovered()
    assert (
        again.comparable_contents() == facts
        and not again.report.damaged
        and not again.report.doubted
    )


@settings(derandomize=True, deadline=None, max_examples=250)
@given(st.integers(0, 2**32), st.integers(0, 60), st.integers(0, 150))
def test_a_killed_process_loses_nothing_and_doubles_nothing(
    seed: int, steps: int, fuse: int
) -> None:
    world = World(seed, power=False)
    world.disk.fuse = fuse
    world.run(steps)
    world.disk.killed()
    back = world.recovered()
    assert not back.report.damaged
    world.check(back)
    recover_again(world, back)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.integers(0, 2**32), st.integers(0, 60), st.integers(0, 200))
def test_a_lost_machine_loses_nothing_that_was_promised_under_power(
    seed: int, steps: int, fuse: int
) -> None:
    world = World(seed, power=True)
    world.disk.fuse = fuse
    world.run(steps)
    world.disk.power_lost()
    back = world.recovered()
    world.check(back)
    recover_again(world, back)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.integers(0, 2**32), st.integers(5, 60), st.booleans())
def test_a_flipped_bit_costs_one_message_at_most_and_no_rule(
    seed: int, steps: int, power: bool
) -> None:
    world = World(seed, power)
    world.run(steps)
    world.disk.killed()
    if "journal" not in world.disk.names:
        return
    world.disk.flip("journal")
    back = world.recovered()
    world.check(back, most_lost=1)
    recover_again(world, back)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(0, 2**32), st.integers(5, 60), st.integers(0, 3000))
def test_a_full_disk_breaks_no_promise(seed: int, steps: int, room: int) -> None:
    world = World(seed, power=bool(seed % 2))
    world.run(steps // 2)
    world.disk.room = world.disk.used() + room
    world.run(steps)
    if world.power:
        world.disk.power_lost()
    else:
        world.disk.killed()
    world.disk.room = 1 << 40
    world.check(world.recovered())


# The hard cases one by one


def test_death_at_every_call_of_a_rewrite_and_of_the_carry_over_keeps_all() -> None:
    for power in (False, True):
        for fuse in range(14):
            disk = Disk(fuse)
            hands = Hands() if power else None
            store = opened(disk, hands)
            for n in range(5):
                store.append_message(taken(f"m{n}"))
            store.append_attempt(store.messages["m1"], 0, 5, "s1")
            store.commit(lambda ok: None)
            while hands is not None and hands.work():
                pass
            facts, disk.fuse = store.comparable_contents(), fuse
            with_death(store.compact, hands)
            disk.power_lost() if power else disk.killed()
            assert (
                opened(disk, Hands() if power else None).comparable_contents() == facts
            )
    for fuse in range(10):
        disk = Disk(fuse)
        disk.names["journal"] = disk.synced_names["journal"] = inode = f_inode(OLD)
        inode.synced = bytes(inode.data)
        disk.fuse = fuse
        with_death(lambda disk=disk: opened(disk), None)
        disk.killed()
        back = opened(disk)
        assert list(back.messages) == ["b"] and back.messages["b"].attempts == 1
        again = opened(disk)
        assert (
            again.report.version == 2
            and again.comparable_contents() == back.comparable_contents()
        )


def f_inode(data: bytes):  # type: ignore[no-untyped-def]
    from tests.support.memory_disk import Inode

    inode = Inode()
    inode.data = bytearray(data)
    return inode


def with_death(call, hands: Hands | None) -> None:  # type: ignore[no-untyped-def]
    try:
        call()
        while hands is not None and hands.work():
            pass
    except Died:
        pass


def test_renamed_and_the_folder_not_synced_nothing_is_promised_yet() -> None:
    disk, hands = Disk(), Hands()
    store = opened(disk, hands)
    said: list[bool] = []
    store.append_message(taken("a"))
    store.commit(said.append)
    job, done = hands.jobs.pop(0)
    sync_folder, disk.sync_directory = disk.sync_directory, lambda path: None  # type: ignore[method-assign]
    job()
    assert not said and "journal" in disk.names and "journal" not in disk.synced_names
    disk.sync_directory = sync_folder  # type: ignore[method-assign]
    disk.sync_directory(FOLDER)
    done(None)
    while hands.work():
        pass
    assert said == [True]


def test_one_sync_serves_all_that_wait_and_none_is_served_before() -> None:
    disk, hands = Disk(), Hands()
    store = opened(disk, hands)
    while hands.work():
        pass
    said: list[int] = []
    before = disk.syncs
    for n in range(5):
        store.append_message(taken(f"m{n}"))
        store.commit(lambda ok, n=n: said.append(n))  # type: ignore[misc]
    assert not said and len(hands.jobs) == 1
    hands.work()
    assert said == [0] and disk.syncs == before + 1
    hands.work()
    assert said == [0, 1, 2, 3, 4] and disk.syncs == before + 2 and not hands.jobs


def test_a_sync_that_failed_is_not_taken_for_done_by_a_second_one() -> None:
    """Linux marks the pages clean: a second sync of the file says yes, and the bytes
    are not there.
    """
    disk, hands = Disk(), Hands()
    store = opened(disk, hands)
    while hands.work():
        pass
    said: list[bool] = []
    store.append_message(taken("a"))
    store.commit(said.append)
    disk.bad_sync = True
    assert sum(hands.work() for _ in range(10)) < 10  # it does not try without a pause
    assert said == [False] and not store.has_capacity(10) and store.log.incomplete
    disk.bad_sync = False
    store.log.retry_at = 0
    store.append_message(taken("b"))
    store.commit(said.append)
    while hands.work():
        pass
    store.log.retry_after_failure()
    while hands.work():
        pass
    assert said == [False, True] and store.has_capacity(10)
    disk.power_lost()
    assert list(opened(disk, Hands()).messages) == ["a", "b"]


def test_an_end_is_not_told_before_it_is_kept_under_power() -> None:
    disk, hands = Disk(), Hands()
    store = opened(disk, hands)
    store.append_message(taken("a"))
    store.commit(lambda ok: None)
    while hands.work():
        pass
    store.append_notification("a", "returned", 5)
    store.commit(lambda ok: None)
    assert store.sendable_notifications(0) == {} and store.pending_notifications
    while hands.work():
        pass
    assert store.sendable_notifications(0) == {"a": PendingNotification("returned", 5)}


def test_a_full_disk_at_the_start_holds_what_was_held_and_takes_nothing_on() -> None:
    disk = Disk()
    store = opened(disk)
    store.append_message(taken("a"))
    store.flush()
    disk.killed()
    disk.flip("journal")
    disk.room = disk.used()
    back = MessageStore(FOLDER, 200_000, files=disk, base_us=0)
    assert back.failed and not back.has_capacity(10) and "journal" in disk.names
    said: list[bool] = []
    back.use_rules(RULES)
    back.commit(said.append)
    assert said == [False]
    disk.room = 1 << 40
    back.log.retry_at = 0
    back.log.retry_after_failure()
    assert not back.failed and back.has_capacity(10)


def test_a_record_cut_short_by_a_full_disk_leaves_a_file_that_can_be_read() -> None:
    disk = Disk()
    store = opened(disk)
    store.append_message(taken("a"))
    store.flush()
    disk.room = disk.used() + 10
    said: list[bool] = []
    store.append_message(taken("b"))
    store.commit(said.append)
    assert said == [False] and store.failed
    disk.killed()
    disk.room = 1 << 40
    back = opened(disk)
    assert list(back.messages) == ["a"] and not back.report.damaged


def test_what_was_refused_for_a_full_disk_does_not_come_back() -> None:
    """Its record is whole in a write that was cut short; its client was told to go
    elsewhere with it.
    """
    disk = Disk()
    store = opened(disk)
    store.flush()
    before = disk.used()
    store.append_message(taken("a"))
    store.flush()
    disk.room = disk.used() + (disk.used() - before) + 10
    said: list[bool] = []
    store.append_message(taken("b"))
    store.append_message(taken("c"))
    store.commit(said.append)
    assert said == [False]
    disk.killed()
    assert list(opened(disk).messages) == ["a"]


def test_a_damaged_file_is_set_aside_only_where_it_fits() -> None:
    for most, kept in ((400_000, True), (136_000, False)):
        disk = Disk()
        store = opened(disk, most=most)
        store.append_message(taken("a", size=4000))
        store.flush()
        disk.killed()
        data = disk.names["journal"].data
        data[len(data) // 2] ^= 1
        spoilt = bytes(data)
        back = opened(disk, most=most)
        assert back.report.gaps and ("journal.damaged" in disk.names) is kept
        if kept:
            assert disk.read(
                FOLDER / "journal.damaged"
            ) == spoilt and back.log.damaged_bytes == len(spoilt)
            back.max_bytes = (
                2 * (back.live_bytes + 10_000) + 131_072 + 3_000
            )  # messages want the room: it makes way
            assert back.has_capacity(10_000) and "journal.damaged" not in disk.names


def test_what_a_gap_may_hide_is_not_sent_again() -> None:
    """The attempt of a once-only message stands in the damaged record."""
    disk = Disk()
    store = opened(disk)
    for name, cls, key in (
        ("p", "pay", None),
        ("s", "status", None),
        ("t", "turn", "K"),
    ):
        store.append_message(taken(name, cls, key))
    store.append_attempt(store.messages["p"], 0, 5, "hidden")
    store.append_message(taken("later"))
    store.flush()
    disk.killed()
    data = disk.names["journal"].data
    data[data.index(b"hidden")] ^= 1
    back = opened(disk)
    assert (
        back.messages["p"].in_flight
        and back.messages["s"].in_flight
        and not back.messages["later"].in_flight
    )
    assert (
        back.pending_notifications == {"t": PendingNotification("failed", 0, "K")}
        and "t" not in back.messages
    )
    assert (back.report.doubted, back.report.ended) == (2, 1)


@pytest.mark.parametrize("by_s", [-3600, 3600])
def test_a_clock_that_was_set_moves_no_message_s_time(by_s: int) -> None:
    disk = Disk()
    store = opened(disk)
    store.append_message(taken("a"))
    store.append_attempt(store.messages["a"], 0, 10**15 - 5, "s1")
    store.append_outage("s1", 10**14, -1)
    store.flush()
    disk.killed()
    back = opened(disk, base=by_s * SECOND)
    m = back.messages["a"]
    assert (
        m.deadline_us == 10**15 + by_s * SECOND
        and m.in_flight[0][0] == m.deadline_us - 5
    )
    assert back.outages == {"s1": (10**14 + by_s * SECOND, -1)}
    disk.killed()  # and once moved, they are not moved again
    again = opened(disk, base=by_s * SECOND)
    assert (
        again.messages["a"].deadline_us == m.deadline_us and not again.report.shifted_us
    )


def test_another_boot_leaves_the_end_in_doubt_unless_all_was_synced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for power, closed, doubted in (
        (False, False, 1),
        (False, True, 0),
        (True, False, 0),
    ):
        monkeypatch.setattr(
            "rainfall.forwarder.message_store.this_boot", lambda: "boot 1"
        )
        disk, hands = Disk(), Hands() if power else None
        store = opened(disk, hands)
        store.append_message(taken("a"))
        store.commit(lambda ok: None)
        while hands is not None and hands.work():
            pass
        if closed:
            store.close()
        disk.power_lost() if power else disk.killed()
        monkeypatch.setattr(
            "rainfall.forwarder.message_store.this_boot", lambda: "boot 2"
        )
        back = opened(disk, Hands() if power else None, base=10**15 - SECOND)
        assert back.report.another_boot and back.report.doubted == doubted
        assert bool(back.messages["a"].in_flight) is bool(doubted)


def test_time_does_not_run_backwards_over_a_boot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Set back by a day, the clock would have kept a message of ten seconds for a
    day.
    """
    disk = Disk()
    store = opened(disk)
    store.append_message(taken("a"))
    store.flush()
    disk.killed()
    monkeypatch.setattr("rainfall.forwarder.message_store.this_boot", lambda: "boot 2")
    monkeypatch.setattr(recovery.time, "monotonic_ns", lambda: 0)
    back = opened(disk, base=10**15 - 86_400 * SECOND)
    assert back.messages["a"].deadline_us <= 10**15 - 86_400 * SECOND + 10 * SECOND


def test_a_newer_file_is_left_alone() -> None:
    disk = Disk()
    newer = f.FileHeader(f.VERSION + 1, 0, 1, 1, 0).encode() + b"whatever"
    disk.names["journal"] = f_inode(newer)
    with pytest.raises(UnusableJournalError):
        opened(disk)
    assert disk.read(FOLDER / "journal") == newer


def test_a_reader_beside_the_writer_sees_whole_records_only() -> None:
    disk = Disk()
    store = opened(disk)
    facts = []
    for n in range(300):
        store.append_message(taken(f"m{n}", size=2000))
        store.append_finished(f"m{n - 3}")
        store.flush()
        other, report = read_journal(disk.read(FOLDER / "journal"))
        assert not report.damaged and not report.torn
        facts.append(list(other.messages) == list(store.messages))
    assert all(facts) and store.log.rewrites > 1


def test_the_same_end_told_twice_is_one_end() -> None:
    disk = Disk()
    store = opened(disk)
    store.append_message(taken("a"))
    store.append_notification("a", "failed", 0)
    store.append_notification("a", "failed", 0)
    store.append_acknowledgement("a")
    store.append_acknowledgement("a")
    store.append_finished("a")
    store.flush()
    disk.killed()
    back = opened(disk)
    assert not back.messages and not back.pending_notifications and back.live_bytes == 0
    assert HEAD.version == 2
