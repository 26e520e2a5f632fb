"""The list service answers, and writes and reads its folder, as recorded."""

from __future__ import annotations

import asyncio

import pytest

from tests.compatibility import registries, shards
from tests.compatibility.references import References, as_read, kept_bytes, kept_value


def test_every_call_has_the_recorded_answer_and_leaves_the_recorded_folder() -> None:
    for name, value in asyncio.run(registries.written()).items():
        found = value if isinstance(value, bytes) else as_read(value)
        assert found == kept_value(name), name


@pytest.mark.parametrize("kind", ["log", "snapshot"])
def test_a_recorded_folder_is_taken_up(kind: str) -> None:
    files: References = {
        name: kept_bytes(name)
        for name in (f"registry-{kind}-{file}" for file in registries.FILES)
        if (kind, name) != ("log", "registry-log-state.json")
    }
    found = asyncio.run(registries.taken_up(registries.stored(files, kind)))
    assert as_read(found) == kept_value(f"registry-{kind}-read")


def test_shard_maps_are_planned_checked_and_read_as_recorded() -> None:
    for name, value in shards.made().items():
        found = value if isinstance(value, bytes) else as_read(value)
        assert found == kept_value(name), name
    files = {name: kept_bytes(f"shard-map-{name}") for name in shards.FILES}
    assert as_read(shards.digests(files)) == kept_value("shard-maps-read")
