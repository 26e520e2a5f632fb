"""Checks that recorded journals are recovered with the recorded values and that the same
operations write the recorded bytes.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from rainfall.journal.state import JournalState
from tests.compatibility import journals
from tests.compatibility.references import as_read, kept_bytes, kept_value


@pytest.mark.parametrize("name", journals.READ)
def test_recorded_journal_is_recovered_with_the_recorded_values(name: str) -> None:
    data = kept_bytes(name.partition(":")[0])
    expected = kept_value(f"{name.replace(':', '-')}-read")
    assert as_read(journals.READ[name](data)) == expected


def test_same_operations_write_the_recorded_journal() -> None:
    for name, data in {**journals.written(), **journals.written_synced()}.items():
        assert data == kept_bytes(name), name


def test_long_endpoint_list_is_read_and_written_compressed() -> None:
    """Compares the decompressed records: the compressed bytes depend on the zlib version."""
    data = kept_bytes("journal-2-long-list")
    read, again = JournalState(), JournalState()
    for payload in journals.payloads(data):
        read.apply_record(payload.encode("latin-1"))
    fresh = journals.written_long_list()["journal-2-long-list"]
    assert isinstance(fresh, bytes)
    for payload in journals.payloads(fresh):
        again.apply_record(payload.encode("latin-1"))
    assert not read.unknown_records and any(
        payload.startswith('["p"]\n') for payload in journals.payloads(fresh)
    )
    assert (read.seq, read.source) == (5, "127.0.0.1:9")
    assert list(read.hosts) == [f"h{number}" for number in range(600)]
    assert read.hosts["h599"] == {
        "host": "h599",
        "dial": "127.0.0.1:600",
        "site": "x",
        "class": "plain",
        "block": 7,
        "health": "up",
        "share": 1.5,
        "born_ms": 5,
    }
    assert again.hosts == read.hosts


def test_version_1_journal_is_rewritten_as_version_2() -> None:
    fresh = journals.rewritten(kept_bytes("journal-1"))
    assert fresh["journal-1-as-2"] == kept_bytes("journal-1-as-2")


@pytest.mark.parametrize("name", journals.TOOL)
def test_journal_tool_prints_the_recorded_output(name: str) -> None:
    shown = journals.tool_output(kept_bytes(name))
    assert as_read(shown) == kept_value(f"{name}-shown")


def names_in(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir())


def test_state_folder_file_names_are_unchanged() -> None:
    with journals.fixed_machine() as folder:
        journals.fill(journals.opened(folder))
        assert names_in(folder) == ["journal"]
        (folder / "journal.new").touch()  # left over by an interrupted checkpoint
        (folder / "journal").write_bytes(journals.spoilt(kept_bytes("journal-2")))
        journals.opened(folder)
        assert names_in(folder) == ["journal", "journal.damaged"]


def test_checkpoint_without_finished_ids_is_read_to_the_same_state() -> None:
    """The form of before finished ids were stored."""
    states = []
    for name in ("journal-2-checkpoint", "journal-2-checkpoint-former"):
        state = JournalState()
        for payload in journals.payloads(kept_bytes(name)):
            state.apply_record(payload.encode("latin-1"))
        assert not state.unknown_records
        states.append(state)
    now, former = states
    assert now.comparable_contents() == former.comparable_contents()
    assert now.finished_ids and not former.finished_ids
