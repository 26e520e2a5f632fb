"""Checks the journal's growth as `docs/CAPACITY.md` states it, by bytes and records."""

from pathlib import Path

import pytest

from measure.scale import journal_growth
from measure.scale.message_traffic import SECOND_US, Traffic
from rainfall.forwarder.message_store import MessageStore
from rainfall.journal.format import MAX_RECORD_BYTES, scan

FEW, MANY = 500, 4_000
TOLERANCE = 0.05  # part of the bytes: names and numbers grow by a digit


def test_bytes_per_message_do_not_depend_on_live_messages() -> None:
    few, many = (journal_growth.measure_passing(live)["bytes"] for live in (FEW, MANY))
    assert many == pytest.approx(few, rel=TOLERANCE)


def test_checkpoint_has_one_record_per_live_message_and_a_fixed_rest(
    tmp_path: Path,
) -> None:
    sizes: dict[int, int] = {}
    beside: dict[int, int] = {}
    for live in (FEW, MANY):
        store = journal_growth.filled_store(tmp_path / str(live), live)
        store.compact()
        sizes[live] = store.size
        store.close()
        beside[live] = len(list(scan(store.path.read_bytes()).frames)) - live
    assert sizes[MANY] == pytest.approx(sizes[FEW] * MANY / FEW, rel=TOLERANCE)
    assert beside[MANY] == beside[FEW] < 10


def test_compaction_adds_at_most_a_third_to_the_bytes_written() -> None:
    written = journal_growth.measure_passing(MANY)["bytes"]
    alone = journal_growth.measure_passing(1)["bytes"]
    assert written <= alone * 4 / 3


def test_list_change_writes_one_endpoint_and_not_the_list() -> None:
    few, many = (
        journal_growth.measure_list_changes(endpoints)["bytes"]
        for endpoints in (FEW, MANY)
    )
    assert many == pytest.approx(few, rel=TOLERANCE)


def test_list_within_the_longest_record_is_recovered(tmp_path: Path) -> None:
    hosts = {
        str(entry["host"]): entry
        for entry in map(journal_growth.endpoint, range(10_000))
    }
    store = journal_growth.open_store(tmp_path)
    store.append_endpoint_list(1, hosts, journal_growth.NOW_US, "127.0.0.1:1")
    store.close()
    assert store.list_bytes <= MAX_RECORD_BYTES
    again = MessageStore(tmp_path, journal_growth.DISK_BYTES, write=False)
    assert again.hosts == hosts and not again.report.damaged


def test_simulated_traffic_neither_rejects_nor_fails_held_messages() -> None:
    traffic = Traffic(100, down=range(3))
    traffic.hold(600)
    spent = traffic.run(SECOND_US // 2, 60.0, SECOND_US // 2)
    assert not traffic.outcomes and spent.events > 900
