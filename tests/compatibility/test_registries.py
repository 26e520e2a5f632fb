"""Checks the list service's answers and stored files, and shard maps, against recorded data."""

from __future__ import annotations

import asyncio

import pytest

from tests.compatibility import registries, shards
from tests.compatibility.references import References, as_read, kept_bytes, kept_value


def test_list_service_answers_and_stored_files_equal_the_recorded_ones() -> None:
    for name, value in asyncio.run(registries.written()).items():
        found = value if isinstance(value, bytes) else as_read(value)
        assert found == kept_value(name), name


@pytest.mark.parametrize("kind", ["log", "snapshot"])
def test_list_service_starts_from_the_recorded_files(kind: str) -> None:
    files: References = {
        name: kept_bytes(name)
        for name in (f"registry-{kind}-{file}" for file in registries.FILES)
        if (kind, name) != ("log", "registry-log-state.json")
    }
    found = asyncio.run(registries.taken_up(registries.stored(files, kind)))
    assert as_read(found) == kept_value(f"registry-{kind}-read")


def test_shard_maps_are_planned_validated_and_read_as_recorded() -> None:
    for name, value in shards.made().items():
        found = value if isinstance(value, bytes) else as_read(value)
        assert found == kept_value(name), name
    files = {name: kept_bytes(f"shard-map-{name}") for name in shards.FILES}
    assert as_read(shards.digests(files)) == kept_value("shard-maps-read")
