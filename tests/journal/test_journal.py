"""Tests of the journal's format, recovery and command, without a forwarder."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
import zlib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rainfall.journal import format as f
from rainfall.journal.recovery import read_journal
from rainfall.journal.state import encode_record
from tests.support.paths import ROOT

SALT = 0x1234ABCD
HEADER = f.FileHeader(f.VERSION, 0, SALT, 3, 1)


def made(*payloads: bytes, header: f.FileHeader = HEADER) -> bytes:
    """Return a file: header, checkpoint of one record, header copy, payloads."""
    data = (
        header.encode()
        + f.encode_frame(header.salt, 0, b'["l",1,[],""]', f.HEADER.size)
        + header.encode()
    )
    for index, payload in enumerate(payloads):
        data += f.encode_frame(header.salt, index + 1, payload, len(data))
    return data


def message_record(name: str, key: str | None = None, body: bytes = b"body") -> bytes:
    return encode_record("n", name, "pay", 7, 10**15, None, None, key, 0, body=body)


def version_1_file(*lines: tuple[list[object], bytes]) -> bytes:
    """Return a file in the format of version 1."""
    data = b""
    for line, body in lines:
        payload = json.dumps(line, separators=(",", ":")).encode() + b"\n" + body
        data += struct.pack("<II", len(payload), zlib.crc32(payload)) + payload
    return data


VERSION_1_FILE = version_1_file(
    (["taken", "a", "pay", 7, 10**15, None, None, 0, -1, "", [], None, 0], b'x\n["y'),
    (["taken", "b", "pay", 7, 10**15, None, None, 0, -1, "", [], None, 0], b"y" * 50),
    (["attempt", "b", 0, 5, "s1"], b""),
    (["over", "a"], b""),
)


def test_written_records_are_read_back() -> None:
    data = made(
        message_record("a"),
        message_record("b"),
        encode_record("a", "a", 0, 5, "s1"),
        encode_record("x", "b"),
    )
    state, report = read_journal(data)
    assert list(state.messages) == ["a"] and state.messages["a"].in_flight == {
        0: (5, "s1")
    }
    assert (report.records, report.damaged, report.torn, report.generation) == (
        5,
        False,
        0,
        3,
    )


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.binary(max_size=60).map(lambda b: b'["?"]\n' + b), max_size=8),
    st.data(),
)
def test_one_bit_costs_one_record_and_a_cut_the_last(
    payloads: list[bytes], data: st.DataObject
) -> None:
    whole = made(*payloads)
    expected = [(p.number, p.payload) for p in f.scan(whole).frames]
    assert [payload for _, payload in expected[1:]] == payloads
    bit = data.draw(st.integers(0, 8 * len(whole) - 1))
    flipped = bytearray(whole)
    flipped[bit // 8] ^= 1 << bit % 8
    found = f.scan(bytes(flipped))
    read = [(p.number, p.payload) for p in found.frames]
    assert found.damaged and not found.torn_bytes
    assert len(read) >= len(expected) - 1 and [p for p in expected if p in read] == read
    longest = max(len(payload) for _, payload in expected)
    assert sum(g.size for g in found.gaps) <= f.HEADER.size + f.FRAME.size + longest
    end = data.draw(st.integers(len(made()), len(whole)))
    cut = f.scan(whole[:end])
    read = [(p.number, p.payload) for p in cut.frames]
    assert (
        not cut.damaged
        and read == expected[: len(read)]
        and cut.end + cut.torn_bytes == end
    )


def test_a_flipped_bit_in_the_last_record_is_not_taken_for_a_torn_write() -> None:
    """Truncating a damaged attempt record as torn would allow a second execution of an
    at-most-once message.
    """
    data = made(message_record("a"), encode_record("a", "a", 0, 5, "s1"))
    last_frame = list(f.scan(data).frames)[-1]
    for bit in range(8 * last_frame.offset, 8 * last_frame.end):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        state, report = read_journal(bytes(flipped))
        assert report.gaps and not report.torn and state.messages["a"].in_doubt


def test_frames_within_a_message_body_are_not_read_as_records() -> None:
    """A message body may contain a copy of the same journal file, and the record that
    holds the body may be damaged.
    """
    embedded_file = made(
        message_record("evil"), encode_record("x", "a"), encode_record("x", "a")
    )
    data = bytearray(
        made(
            message_record("a"),
            message_record("b", body=embedded_file),
            message_record("c"),
        )
    )
    damaged_offset = bytes(data).index(b'"b"')
    data[damaged_offset] ^= 1
    state, report = read_journal(bytes(data))
    assert list(state.messages) == ["a", "c"] and [gap[2] for gap in report.gaps] == [1]
    other_file = made(message_record("evil"), header=HEADER._replace(salt=99))
    data = bytearray(made(message_record("a"), message_record("b", body=other_file)))
    data[data.index(b'"b"')] ^= 1
    assert list(read_journal(bytes(data))[0].messages) == ["a"]


def test_a_damaged_header_is_restored_from_its_copy() -> None:
    data = bytearray(made(message_record("a")))
    data[:30] = bytes(30)
    state, report = read_journal(bytes(data))
    assert "a" in state.messages and report.head_damaged


@pytest.mark.parametrize(
    "data", [b"", b"\0" * 5000, b"garbage" * 300, f.MAGIC, HEADER.encode()[:20]]
)
def test_empty_and_garbage_files_yield_no_messages(data: bytes) -> None:
    state, report = read_journal(data)
    assert not state.messages and report.damaged == bool(data)


def test_trailing_zeros_are_damage_except_with_level_power() -> None:
    """Synced bytes do not turn to zeros. Bytes that were written but not synced may be
    zeros after a power loss, which level `power` has to expect.
    """
    state, report = read_journal(made(message_record("a")) + bytes(100))
    assert report.gaps and state.messages["a"].in_doubt
    state, report = read_journal(
        made(message_record("a"), header=HEADER._replace(flags=f.FLAG_POWER))
        + bytes(100)
    )
    assert (
        report.torn == 100 and not report.damaged and not state.messages["a"].in_doubt
    )


def test_an_attempt_with_the_next_number_removes_the_doubt() -> None:
    lines = [
        message_record("a"),
        message_record("b"),
        encode_record("o", "lost", 0, True),
        encode_record("a", "a", 0, 5, "s1"),
        encode_record("a", "b", 1, 6, "s1"),
        message_record("c"),
    ]
    data = bytearray(made(*lines))
    data[data.index(b'"lost"') + 2] ^= 8
    state, _ = read_journal(bytes(data))
    assert [message.in_doubt for message in state.messages.values()] == [
        False,
        True,
        False,
    ]


def test_version_1_is_read_past_damage() -> None:
    state, report = read_journal(VERSION_1_FILE)
    assert report.version == 1 and not report.damaged
    assert list(state.messages) == ["b"] and state.messages["b"].in_flight == {
        0: (5, "s1")
    }
    data = bytearray(VERSION_1_FILE)
    data[VERSION_1_FILE.index(b"yyy")] ^= 1
    state, report = read_journal(bytes(data))
    assert not state.messages and report.lost == ["b"] and len(report.gaps) == 1
    state, report = read_journal(VERSION_1_FILE[:-3])
    assert list(state.messages) == ["a", "b"] and report.torn and not report.damaged


def run_command(*arguments: str) -> tuple[int, str, str]:
    result = subprocess.run(
        [sys.executable, "-m", "rainfall.journal", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert "Traceback" not in result.stderr
    return result.returncode, result.stdout, result.stderr


def test_command_reports_damage_and_shows_bodies_only_on_request(
    tmp_path: Path,
) -> None:
    path = tmp_path / "journal"
    path.write_bytes(
        made(
            message_record("a", body=b"secret"),
            message_record("b"),
            message_record("c"),
        )
    )
    exit_code, output, _ = run_command("check", str(tmp_path))
    assert exit_code == 0 and "3 messages held" in output and output.endswith("whole\n")
    exit_code, output, _ = run_command("show", str(tmp_path))
    assert exit_code == 0 and "held a: pay to 7" in output and "secret" not in output
    assert "secret" in run_command("show", "--bodies", str(tmp_path))[1]
    data = bytearray(path.read_bytes())
    data[data.index(b'"b"')] ^= 1
    path.write_bytes(data)
    exit_code, output, _ = run_command("check", str(tmp_path))
    assert (
        exit_code == 1
        and "1 records lost" in output
        and "in doubt" in output
        and ": a\n" in output
    )
    assert path.read_bytes() == data
    path.write_bytes(data[:-1])
    assert run_command("show", str(path))[0] == 1


@pytest.mark.parametrize(
    "words",
    [(), ("check",), ("mend", "."), ("check", "/nonexistent"), ("show", "tests")],
)
def test_invalid_command_calls_exit_with_2(words: tuple[str, ...]) -> None:
    exit_code, output, err = run_command(*words)
    assert exit_code == 2 and not output and err


def test_a_newer_version_is_rejected_in_one_line(tmp_path: Path) -> None:
    newer_file = f.FileHeader(f.VERSION + 1, 0, 1, 1, 0).encode() + b"whatever"
    (tmp_path / "journal").write_bytes(newer_file)
    exit_code, _, err = run_command("check", str(tmp_path))
    assert exit_code == 2 and "newer" in err and len(err.splitlines()) == 1
