"""Checks heartbeats, the fleet state file, peer frames and session records against
recorded data.
"""

from __future__ import annotations

import asyncio
import json
import zlib

import pytest

from rainfall.peer.frames import AnyFrame
from rainfall.session.protocol import AnyRecord
from tests.compatibility import frames, members
from tests.compatibility.references import as_read, kept_bytes, kept_value


def test_heartbeats_and_fleet_state_file_equal_the_recorded_ones() -> None:
    for name, value in asyncio.run(members.beaten()).items():
        found = value if isinstance(value, bytes) else as_read(value)
        assert found == kept_value(name), name


def test_recorded_heartbeats_cover_every_key() -> None:
    rounds = kept_value("heartbeats")
    keys: set[str] = set()
    for row in rounds:
        assert isinstance(row, list)
        keys.update(json.loads(row[0][2]))
    assert keys == {
        "name",
        "site",
        "dial",
        "sent",
        "run",
        "token",
        "seen",
        "needs",
        "shown",
        "keeps",
        "list",
        "holds",
    }


@pytest.mark.parametrize("name", members.FILES)
def test_recorded_fleet_state_file_is_restored(name: str) -> None:
    found = asyncio.run(members.taken_up(kept_bytes(name)))
    assert as_read(found) == kept_value(f"{name}-read")


def test_long_fleet_state_file_is_compressed_and_read() -> None:
    kept = kept_bytes("fleet-file-long")
    assert zlib.decompress(members.long_file()) == zlib.decompress(kept)
    token, records = members.read_file(kept)
    assert [token.epoch, token.number] == [3, 17]
    assert records == members.many_records()


def test_peer_frames_are_encoded_and_decoded_as_recorded() -> None:
    assert frames.sent() == kept_bytes("peer-frames")
    assert frames.heard(kept_bytes("peer-frames")) == frames.FRAMES
    assert {type(frame) for frame in frames.FRAMES} == set(AnyFrame.__args__)


def test_session_records_are_encoded_and_decoded_as_recorded() -> None:
    assert frames.packed(frames.RECORDS) == kept_bytes("session-records")
    assert frames.unpacked(kept_bytes("session-records")) == frames.RECORDS
    assert {type(record) for record in frames.RECORDS} == set(AnyRecord.__args__)


def test_session_configurations_are_parsed_and_their_errors_reported_as_recorded() -> (
    None
):
    found = [frames.read_table(raw) for raw in frames.TABLES]
    assert as_read(found) == kept_value("session-tables")
