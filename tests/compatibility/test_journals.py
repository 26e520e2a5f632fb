"""Recorded journals are recovered as before, and written byte for byte as before."""

from __future__ import annotations

from pathlib import Path

import pytest

from rainfall.journal.state import JournalState
from tests.compatibility import journals
from tests.compatibility.references import as_read, kept_bytes, kept_value


@pytest.mark.parametrize("name", journals.READ)
def test_a_recorded_journal_is_recovered_value_by_value(name: str) -> None:
    data = kept_bytes(name.partition(":")[0])
    expected = kept_value(f"{name.replace(':', '-')}-read")
    assert as_read(journals.READ[name](data)) == expected


def test_the_same_operations_give_the_same_journal() -> None:
    for name, data in {**journals.written(), **journals.written_synced()}.items():
        assert data == kept_bytes(name), name


def test_a_long_list_is_read_and_written_compressed() -> None:
    """Of the compressed record the contents count: the bytes are zlib's."""
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


def test_a_journal_of_version_1_is_written_anew_as_version_2() -> None:
    fresh = journals.rewritten(kept_bytes("journal-1"))
    assert fresh["journal-1-as-2"] == kept_bytes("journal-1-as-2")


@pytest.mark.parametrize("name", journals.TOOL)
def test_the_journal_tool_prints_the_same(name: str) -> None:
    shown = journals.tool_output(kept_bytes(name))
    assert as_read(shown) == kept_value(f"{name}-shown")


def names_in(folder: Path) -> list[str]:
    return sorted(path.name for path in folder.iterdir())


def test_files_in_the_state_folder_keep_their_names() -> None:
    with journals.fixed_machine() as folder:
        journals.fill(journals.opened(folder))
        assert names_in(folder) == ["journal"]
        (folder / "journal.new").touch()  # what an interrupted checkpoint left
        (folder / "journal").write_bytes(journals.spoilt(kept_bytes("journal-2")))
        journals.opened(folder)
        assert names_in(folder) == ["journal", "journal.damaged"]
