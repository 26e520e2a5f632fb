"""Tests of recovery: random histories on a simulated disk, checked against a simple
model, and single difficult cases. The disk loses what a real disk may lose.
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
from tests.journal.test_journal import HEADER, VERSION_1_FILE, f
from tests.support.memory_disk import Died, Disk, ManualSyncWorker

FOLDER = Path("/state")
SECOND_US = 1_000_000
CLASSES = (
    MessageClass("status", SECOND_US, 10 * SECOND_US),
    MessageClass("pay", SECOND_US, 10 * SECOND_US, Idempotency.AT_MOST_ONCE),
    MessageClass("turn", SECOND_US, 10 * SECOND_US, ordered=True),
)
RULES = DeliveryRules(6, CLASSES)


@pytest.fixture(autouse=True)
def current_boot(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("rainfall.forwarder.message_store.this_boot", lambda: "boot 1")


def accepted_message(
    name: str, class_name: str = "pay", order_key: str | None = None, size: int = 20
) -> AcceptedMessage:
    return AcceptedMessage(
        name, class_name, 7, 10**15, None, None, b"\xb7" * size, order_key
    )


def open_store(
    disk: Disk,
    sync_worker: ManualSyncWorker | None = None,
    max_bytes: int = 200_000,
    **options: int,
) -> MessageStore:
    store = MessageStore(
        FOLDER,
        max_bytes,
        files=disk,
        worker=sync_worker,
        base_us=options.get("base", 0),
    )
    store.use_rules(RULES)
    return store


@dataclass
class ExpectedMessage:
    """The expected state of a message."""

    message: AcceptedMessage
    accepted: bool = False
    """Whether its acceptance was confirmed to the client."""
    possibly_sent: list[int] = field(default_factory=list)
    """Numbers of attempts whose first byte may have been sent."""
    not_executed: set[int] = field(default_factory=set)
    """Those of `possibly_sent` whose outcome says that they were not executed."""
    finished: bool = False
    end_reported: bool = False
    """Whether its end may have been reported to the platform."""


class World:
    """A random history of journal operations, and the effects visible outside."""

    def __init__(self, seed: int, power: bool) -> None:
        self.random = random.Random(seed)
        self.disk = Disk(seed)
        self.sync_worker = ManualSyncWorker() if power else None
        self.power = power
        self.expected: dict[str, ExpectedMessage] = {}
        self.accepted_by_key: dict[str, list[str]] = {}
        self.detached: set[str] = set()
        self.message_count = 0
        self.store = open_store(self.disk, self.sync_worker)

    def commit_entries(
        self, entries: list[ExpectedMessage], attempt: int = -1, end: bool = False
    ) -> None:
        def on_persisted(persisted: bool) -> None:
            for entry in entries if persisted else []:
                if attempt >= 0:
                    entry.possibly_sent.append(attempt)
                elif end:
                    entry.end_reported = True
                else:
                    entry.accepted = True

        self.store.commit(on_persisted)

    def do_random_step(self) -> None:
        live = [
            entry
            for entry in self.expected.values()
            if entry.message.id in self.store.messages
        ]
        choice = self.random.random()
        if choice < 0.3 or not live:
            self.accept_messages()
        elif choice < 0.6:
            self.start_attempt(self.random.choice(live))
        elif choice < 0.75:
            self.end_attempt(self.random.choice(live))
        elif choice < 0.87:
            self.end_message(self.random.choice(live))
        elif choice < 0.92:
            name = f"s{self.random.randrange(3)}"
            self.store.append_detached(name, True)
            self.store.commit(
                lambda persisted: self.detached.add(name) if persisted else None
            )
        elif choice < 0.96:
            self.store.compact()
        else:
            for name in list(self.store.pending_notifications)[:1]:
                self.store.append_acknowledgement(name)
            self.store.flush()
        if self.sync_worker is not None and self.random.random() < 0.5:
            self.sync_worker.work()

    def accept_messages(self) -> None:
        entries = []
        for _ in range(self.random.randint(1, 3)):
            self.message_count += 1
            class_name = self.random.choice(("status", "pay", "turn"))
            order_key = self.random.choice("AB") if class_name == "turn" else None
            message = accepted_message(
                f"m{self.message_count}",
                class_name,
                order_key,
                self.random.randint(0, 80),
            )
            self.store.append_message(message)
            entries.append(
                self.expected.setdefault(message.id, ExpectedMessage(message))
            )
            if order_key:
                self.accepted_by_key.setdefault(order_key, []).append(message.id)
        self.commit_entries(entries)

    def start_attempt(self, entry: ExpectedMessage) -> None:
        order_key = entry.message.order_key
        if order_key:
            earlier = self.accepted_by_key[order_key][
                : self.accepted_by_key[order_key].index(entry.message.id)
            ]
            if any(
                message_id in self.store.messages
                or message_id in self.store.pending_notifications
                for message_id in earlier
            ):
                return  # messages of one order key are sent one at a time
        if entry.message.class_name == "pay" and (
            entry.message.in_flight or entry.message.executed_at_us >= 0
        ):
            return  # an at-most-once message that may have run is not sent again
        number = entry.message.attempts
        self.store.append_attempt(entry.message, number, 5 * SECOND_US + number, "s1")
        self.commit_entries([entry], number)

    def end_attempt(self, entry: ExpectedMessage) -> None:
        if entry.message.in_flight and set(entry.message.in_flight) <= set(
            entry.possibly_sent
        ):
            number = min(entry.message.in_flight)
            executed = self.random.random() < 0.5
            self.store.append_outcome(entry.message, number, executed)
            if not executed:
                entry.not_executed.add(number)
            self.store.flush()

    def end_message(self, entry: ExpectedMessage) -> None:
        if not entry.accepted or entry.message.in_flight:
            return
        entry.finished = True
        if self.random.random() < 0.5:
            self.store.append_finished(entry.message.id)
            self.store.flush()
        else:
            self.store.append_notification(entry.message.id, "returned", 5)
            self.commit_entries([entry], end=True)

    def check(self, recovered: MessageStore, most_lost: int = 0) -> None:
        lost = [
            entry
            for entry in self.expected.values()
            if entry.accepted
            and not entry.finished
            and entry.message.id not in recovered.messages
            and entry.message.id not in recovered.pending_notifications
        ]
        assert len(lost) <= most_lost, [entry.message.id for entry in lost]
        for entry in self.expected.values():
            message = recovered.messages.get(entry.message.id)
            if message is None:
                continue
            if entry.message.class_name == "pay":
                may_have_executed = set(entry.possibly_sent) - entry.not_executed
                assert (
                    not may_have_executed
                    or message.in_flight
                    or message.executed_at_us >= 0
                ), f"{message.id} could be executed twice"
                assert (
                    not entry.end_reported
                    or message.in_flight
                    or message.executed_at_us >= 0
                ), f"{message.id} was reported as returned"
            elif not most_lost:
                assert not entry.end_reported, f"{message.id} was reported as returned"
            if message.order_key:
                accepted_ids = self.accepted_by_key[message.order_key]
                later = accepted_ids[accepted_ids.index(message.id) + 1 :]
                assert not any(
                    self.expected[message_id].possibly_sent for message_id in later
                ), f"a later message was sent before {message.id}"
        message_ids = [message_id for message_id in recovered.messages]
        assert message_ids == sorted(
            message_ids, key=lambda message_id: int(message_id[1:])
        )
        if not most_lost:
            assert self.detached <= set(recovered.detached)

    def recovered(self) -> MessageStore:
        sync_worker = ManualSyncWorker() if self.power else None
        recovered = open_store(self.disk, sync_worker)
        while sync_worker is not None and sync_worker.work():
            pass
        return recovered

    def run(self, steps: int) -> None:
        try:
            for _ in range(steps):
                self.do_random_step()
        except Died:
            pass


def recover_again(world: World, recovered: MessageStore) -> None:
    """Check that a second recovery, after a kill or a power loss, changes nothing."""
    recovered.flush()
    contents = recovered.comparable_contents()
    if world.power:
        world.disk.power_lost()
    else:
        world.disk.killed()
    recovered_again = world.recovered()
    assert (
        recovered_again.comparable_contents() == contents
        and not recovered_again.report.damaged
        and not recovered_again.report.messages_in_doubt
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


# Single difficult cases


def test_death_at_any_file_operation_of_a_rewrite_or_upgrade_loses_nothing() -> None:
    for power in (False, True):
        for fuse in range(14):
            disk = Disk(fuse)
            sync_worker = ManualSyncWorker() if power else None
            store = open_store(disk, sync_worker)
            for index in range(5):
                store.append_message(accepted_message(f"m{index}"))
            store.append_attempt(store.messages["m1"], 0, 5, "s1")
            store.commit(lambda persisted: None)
            while sync_worker is not None and sync_worker.work():
                pass
            contents, disk.fuse = store.comparable_contents(), fuse
            run_until_death(store.compact, sync_worker)
            disk.power_lost() if power else disk.killed()
            assert (
                open_store(
                    disk, ManualSyncWorker() if power else None
                ).comparable_contents()
                == contents
            )
    for fuse in range(10):
        disk = Disk(fuse)
        disk.names["journal"] = disk.synced_names["journal"] = inode = inode_with(
            VERSION_1_FILE
        )
        inode.synced = bytes(inode.data)
        disk.fuse = fuse
        run_until_death(lambda disk=disk: open_store(disk), None)
        disk.killed()
        recovered = open_store(disk)
        assert (
            list(recovered.messages) == ["b"] and recovered.messages["b"].attempts == 1
        )
        recovered_again = open_store(disk)
        assert (
            recovered_again.report.version == 2
            and recovered_again.comparable_contents() == recovered.comparable_contents()
        )


def inode_with(data: bytes):  # type: ignore[no-untyped-def]
    from tests.support.memory_disk import Inode

    inode = Inode()
    inode.data = bytearray(data)
    return inode


def run_until_death(call, sync_worker: ManualSyncWorker | None) -> None:  # type: ignore[no-untyped-def]
    try:
        call()
        while sync_worker is not None and sync_worker.work():
            pass
    except Died:
        pass


def test_no_commit_is_confirmed_before_the_directory_is_synced() -> None:
    disk, sync_worker = Disk(), ManualSyncWorker()
    store = open_store(disk, sync_worker)
    results: list[bool] = []
    store.append_message(accepted_message("a"))
    store.commit(results.append)
    job, done = sync_worker.jobs.pop(0)
    sync_folder, disk.sync_directory = disk.sync_directory, lambda path: None  # type: ignore[method-assign]
    job()
    assert (
        not results and "journal" in disk.names and "journal" not in disk.synced_names
    )
    disk.sync_directory = sync_folder  # type: ignore[method-assign]
    disk.sync_directory(FOLDER)
    done(None)
    while sync_worker.work():
        pass
    assert results == [True]


def test_one_sync_confirms_all_waiting_commits_and_none_early() -> None:
    disk, sync_worker = Disk(), ManualSyncWorker()
    store = open_store(disk, sync_worker)
    while sync_worker.work():
        pass
    results: list[int] = []
    before = disk.syncs
    for index in range(5):
        store.append_message(accepted_message(f"m{index}"))
        store.commit(lambda persisted, index=index: results.append(index))  # type: ignore[misc]
    assert not results and len(sync_worker.jobs) == 1
    sync_worker.work()
    assert results == [0] and disk.syncs == before + 1
    sync_worker.work()
    assert (
        results == [0, 1, 2, 3, 4] and disk.syncs == before + 2 and not sync_worker.jobs
    )


def test_a_second_sync_does_not_hide_a_failed_one() -> None:
    """Linux marks the pages clean after a failed sync, so a second sync succeeds
    although the bytes are not on the disk.
    """
    disk, sync_worker = Disk(), ManualSyncWorker()
    store = open_store(disk, sync_worker)
    while sync_worker.work():
        pass
    results: list[bool] = []
    store.append_message(accepted_message("a"))
    store.commit(results.append)
    disk.bad_sync = True
    assert sum(sync_worker.work() for _ in range(10)) < 10  # retries are delayed
    assert results == [False] and not store.has_capacity(10) and store.log.incomplete
    disk.bad_sync = False
    store.log.retry_at = 0
    store.append_message(accepted_message("b"))
    store.commit(results.append)
    while sync_worker.work():
        pass
    store.log.retry_after_failure()
    while sync_worker.work():
        pass
    assert results == [False, True] and store.has_capacity(10)
    disk.power_lost()
    assert list(open_store(disk, ManualSyncWorker()).messages) == ["a", "b"]


def test_a_notification_is_not_sent_before_its_sync_with_level_power() -> None:
    disk, sync_worker = Disk(), ManualSyncWorker()
    store = open_store(disk, sync_worker)
    store.append_message(accepted_message("a"))
    store.commit(lambda persisted: None)
    while sync_worker.work():
        pass
    store.append_notification("a", "returned", 5)
    store.commit(lambda persisted: None)
    assert store.sendable_notifications(0) == {} and store.pending_notifications
    while sync_worker.work():
        pass
    assert store.sendable_notifications(0) == {"a": PendingNotification("returned", 5)}


def test_a_full_disk_at_startup_keeps_messages_and_rejects_new_ones() -> None:
    disk = Disk()
    store = open_store(disk)
    store.append_message(accepted_message("a"))
    store.flush()
    disk.killed()
    disk.flip("journal")
    disk.room = disk.used()
    recovered = MessageStore(FOLDER, 200_000, files=disk, base_us=0)
    assert (
        recovered.failed and not recovered.has_capacity(10) and "journal" in disk.names
    )
    results: list[bool] = []
    recovered.use_rules(RULES)
    recovered.commit(results.append)
    assert results == [False]
    disk.room = 1 << 40
    recovered.log.retry_at = 0
    recovered.log.retry_after_failure()
    assert not recovered.failed and recovered.has_capacity(10)


def test_a_partial_write_on_a_full_disk_leaves_a_readable_file() -> None:
    disk = Disk()
    store = open_store(disk)
    store.append_message(accepted_message("a"))
    store.flush()
    disk.room = disk.used() + 10
    results: list[bool] = []
    store.append_message(accepted_message("b"))
    store.commit(results.append)
    assert results == [False] and store.failed
    disk.killed()
    disk.room = 1 << 40
    recovered = open_store(disk)
    assert list(recovered.messages) == ["a"] and not recovered.report.damaged


def test_a_message_rejected_for_a_full_disk_is_not_recovered() -> None:
    """The record of a rejected message may be complete within a partial write. The
    client was told to send the message elsewhere.
    """
    disk = Disk()
    store = open_store(disk)
    store.flush()
    before = disk.used()
    store.append_message(accepted_message("a"))
    store.flush()
    disk.room = disk.used() + (disk.used() - before) + 10
    results: list[bool] = []
    store.append_message(accepted_message("b"))
    store.append_message(accepted_message("c"))
    store.commit(results.append)
    assert results == [False]
    disk.killed()
    assert list(open_store(disk).messages) == ["a"]


def test_a_damaged_file_is_kept_only_if_it_fits() -> None:
    for max_bytes, kept in ((400_000, True), (136_000, False)):
        disk = Disk()
        store = open_store(disk, max_bytes=max_bytes)
        store.append_message(accepted_message("a", size=4000))
        store.flush()
        disk.killed()
        data = disk.names["journal"].data
        data[len(data) // 2] ^= 1
        damaged_data = bytes(data)
        recovered = open_store(disk, max_bytes=max_bytes)
        assert recovered.report.gaps and ("journal.damaged" in disk.names) is kept
        if kept:
            assert disk.read(
                FOLDER / "journal.damaged"
            ) == damaged_data and recovered.log.damaged_bytes == len(damaged_data)
            recovered.max_bytes = (
                2 * (recovered.live_bytes + 10_000) + 131_072 + 3_000
            )  # the messages need the space, so the damaged file is removed
            assert (
                recovered.has_capacity(10_000) and "journal.damaged" not in disk.names
            )


def test_a_message_whose_attempt_may_be_in_a_gap_is_not_sent_again() -> None:
    """The damaged record holds the attempt of an at-most-once message."""
    disk = Disk()
    store = open_store(disk)
    for name, class_name, order_key in (
        ("p", "pay", None),
        ("s", "status", None),
        ("t", "turn", "K"),
    ):
        store.append_message(accepted_message(name, class_name, order_key))
    store.append_attempt(store.messages["p"], 0, 5, "hidden")
    store.append_message(accepted_message("later"))
    store.flush()
    disk.killed()
    data = disk.names["journal"].data
    data[data.index(b"hidden")] ^= 1
    recovered = open_store(disk)
    assert (
        recovered.messages["p"].in_flight
        and recovered.messages["s"].in_flight
        and not recovered.messages["later"].in_flight
    )
    assert (
        recovered.pending_notifications == {"t": PendingNotification("failed", 0, "K")}
        and "t" not in recovered.messages
    )
    assert (
        recovered.report.messages_in_doubt,
        recovered.report.ordered_messages_failed,
    ) == (2, 1)


@pytest.mark.parametrize("by_s", [-3600, 3600])
def test_stored_times_follow_a_clock_that_was_set(by_s: int) -> None:
    disk = Disk()
    store = open_store(disk)
    store.append_message(accepted_message("a"))
    store.append_attempt(store.messages["a"], 0, 10**15 - 5, "s1")
    store.append_outage("s1", 10**14, -1)
    store.flush()
    disk.killed()
    recovered = open_store(disk, base=by_s * SECOND_US)
    message = recovered.messages["a"]
    assert (
        message.deadline_us == 10**15 + by_s * SECOND_US
        and message.in_flight[0][0] == message.deadline_us - 5
    )
    assert recovered.outages == {"s1": (10**14 + by_s * SECOND_US, -1)}
    disk.killed()  # a second recovery must not shift the times again
    recovered_again = open_store(disk, base=by_s * SECOND_US)
    assert (
        recovered_again.messages["a"].deadline_us == message.deadline_us
        and not recovered_again.report.shifted_us
    )


def test_a_reboot_leaves_messages_in_doubt_unless_all_was_synced(
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
        disk, sync_worker = Disk(), ManualSyncWorker() if power else None
        store = open_store(disk, sync_worker)
        store.append_message(accepted_message("a"))
        store.commit(lambda persisted: None)
        while sync_worker is not None and sync_worker.work():
            pass
        if closed:
            store.close()
        disk.power_lost() if power else disk.killed()
        monkeypatch.setattr(
            "rainfall.forwarder.message_store.this_boot", lambda: "boot 2"
        )
        recovered = open_store(
            disk, ManualSyncWorker() if power else None, base=10**15 - SECOND_US
        )
        assert (
            recovered.report.another_boot
            and recovered.report.messages_in_doubt == doubted
        )
        assert bool(recovered.messages["a"].in_flight) is bool(doubted)


def test_a_clock_set_back_over_a_reboot_does_not_extend_deadlines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a clock set back by a day, a message with a deadline of ten seconds would
    stay for a day.
    """
    disk = Disk()
    store = open_store(disk)
    store.append_message(accepted_message("a"))
    store.flush()
    disk.killed()
    monkeypatch.setattr("rainfall.forwarder.message_store.this_boot", lambda: "boot 2")
    monkeypatch.setattr(recovery.time, "monotonic_ns", lambda: 0)
    recovered = open_store(disk, base=10**15 - 86_400 * SECOND_US)
    assert (
        recovered.messages["a"].deadline_us
        <= 10**15 - 86_400 * SECOND_US + 10 * SECOND_US
    )


def test_a_file_of_a_newer_version_is_not_changed() -> None:
    disk = Disk()
    newer_file = f.FileHeader(f.VERSION + 1, 0, 1, 1, 0).encode() + b"whatever"
    disk.names["journal"] = inode_with(newer_file)
    with pytest.raises(UnusableJournalError):
        open_store(disk)
    assert disk.read(FOLDER / "journal") == newer_file


def test_a_concurrent_reader_sees_only_complete_records() -> None:
    disk = Disk()
    store = open_store(disk)
    matches = []
    for index in range(300):
        store.append_message(accepted_message(f"m{index}", size=2000))
        store.append_finished(f"m{index - 3}")
        store.flush()
        read_state, report = read_journal(disk.read(FOLDER / "journal"))
        assert not report.damaged and not report.torn
        matches.append(list(read_state.messages) == list(store.messages))
    assert all(matches) and store.log.rewrites > 1


def test_repeated_end_and_acknowledgement_records_have_no_further_effect() -> None:
    disk = Disk()
    store = open_store(disk)
    store.append_message(accepted_message("a"))
    store.append_notification("a", "failed", 0)
    store.append_notification("a", "failed", 0)
    store.append_acknowledgement("a")
    store.append_acknowledgement("a")
    store.append_finished("a")
    store.flush()
    disk.killed()
    recovered = open_store(disk)
    assert (
        not recovered.messages
        and not recovered.pending_notifications
        and recovered.live_bytes == 0
    )
    assert HEADER.version == 2
