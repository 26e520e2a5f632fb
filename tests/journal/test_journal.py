"""The journal's format, recovery and tool, without a forwarder."""

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
HEAD = f.FileHeader(f.VERSION, 0, SALT, 3, 1)


def made(*payloads: bytes, head: f.FileHeader = HEAD) -> bytes:
    """A file: a checkpoint of one record, the head's copy, and the rest."""
    data = (
        head.encode()
        + f.encode_frame(head.salt, 0, b'["l",1,[],""]', f.HEADER.size)
        + head.encode()
    )
    for n, payload in enumerate(payloads):
        data += f.encode_frame(head.salt, n + 1, payload, len(data))
    return data


def new(name: str, key: str | None = None, body: bytes = b"body") -> bytes:
    return encode_record("n", name, "pay", 7, 10**15, None, None, key, 0, body=body)


def old(*lines: tuple[list[object], bytes]) -> bytes:
    """A file as version 1 wrote it."""
    data = b""
    for line, body in lines:
        payload = json.dumps(line, separators=(",", ":")).encode() + b"\n" + body
        data += struct.pack("<II", len(payload), zlib.crc32(payload)) + payload
    return data


OLD = old(
    (["taken", "a", "pay", 7, 10**15, None, None, 0, -1, "", [], None, 0], b'x\n["y'),
    (["taken", "b", "pay", 7, 10**15, None, None, 0, -1, "", [], None, 0], b"y" * 50),
    (["attempt", "b", 0, 5, "s1"], b""),
    (["over", "a"], b""),
)


def test_what_was_written_is_read() -> None:
    data = made(
        new("a"), new("b"), encode_record("a", "a", 0, 5, "s1"), encode_record("x", "b")
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


def test_every_bit_of_a_last_record_s_first_half_is_told_from_a_torn_write() -> None:
    """Taken for torn, an attempt that has left would be cut, and a once-only message go
    twice.
    """
    data = made(new("a"), encode_record("a", "a", 0, 5, "s1"))
    last = list(f.scan(data).frames)[-1]
    for bit in range(8 * last.offset, 8 * last.end):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        state, report = read_journal(bytes(flipped))
        assert report.gaps and not report.torn and state.messages["a"].in_doubt


def test_bytes_that_look_like_a_frame_are_not_read_as_one() -> None:
    """A body may hold a copy of this very file, and its record may be the damaged
    one.
    """
    inner = made(new("evil"), encode_record("x", "a"), encode_record("x", "a"))
    data = bytearray(made(new("a"), new("b", body=inner), new("c")))
    at = bytes(data).index(b'"b"')
    data[at] ^= 1
    state, report = read_journal(bytes(data))
    assert list(state.messages) == ["a", "c"] and [g[2] for g in report.gaps] == [1]
    other = made(new("evil"), head=HEAD._replace(salt=99))
    data = bytearray(made(new("a"), new("b", body=other)))
    data[data.index(b'"b"')] ^= 1
    assert list(read_journal(bytes(data))[0].messages) == ["a"]


def test_a_damaged_head_costs_nothing_while_its_copy_stands() -> None:
    data = bytearray(made(new("a")))
    data[:30] = bytes(30)
    state, report = read_journal(bytes(data))
    assert "a" in state.messages and report.head_damaged


@pytest.mark.parametrize(
    "data", [b"", b"\0" * 5000, b"garbage" * 300, f.MAGIC, HEAD.encode()[:20]]
)
def test_empty_and_garbage_hold_nothing(data: bytes) -> None:
    state, report = read_journal(data)
    assert not state.messages and report.damaged == bool(data)


def test_zeros_at_the_end_are_a_sign_of_damage_but_under_power() -> None:
    """Synced bytes do not turn to zeros; what was only written may do so when the
    machine goes down.
    """
    state, report = read_journal(made(new("a")) + bytes(100))
    assert report.gaps and state.messages["a"].in_doubt
    state, report = read_journal(
        made(new("a"), head=HEAD._replace(flags=f.FLAG_POWER)) + bytes(100)
    )
    assert (
        report.torn == 100 and not report.damaged and not state.messages["a"].in_doubt
    )


def test_a_number_that_shows_the_next_attempt_ends_a_doubt() -> None:
    lines = [
        new("a"),
        new("b"),
        encode_record("o", "lost", 0, True),
        encode_record("a", "a", 0, 5, "s1"),
        encode_record("a", "b", 1, 6, "s1"),
        new("c"),
    ]
    data = bytearray(made(*lines))
    data[data.index(b'"lost"') + 2] ^= 8
    state, _ = read_journal(bytes(data))
    assert [m.in_doubt for m in state.messages.values()] == [False, True, False]


def test_version_1_is_read_also_behind_damage() -> None:
    state, report = read_journal(OLD)
    assert report.version == 1 and not report.damaged
    assert list(state.messages) == ["b"] and state.messages["b"].in_flight == {
        0: (5, "s1")
    }
    data = bytearray(OLD)
    data[OLD.index(b"yyy")] ^= 1
    state, report = read_journal(bytes(data))
    assert not state.messages and report.lost == ["b"] and len(report.gaps) == 1
    state, report = read_journal(OLD[:-3])
    assert list(state.messages) == ["a", "b"] and report.torn and not report.damaged


def tool(*words: str) -> tuple[int, str, str]:
    done = subprocess.run(
        [sys.executable, "-m", "rainfall.journal", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert "Traceback" not in done.stderr
    return done.returncode, done.stdout, done.stderr


def test_the_tool_tells_whole_from_damaged_and_shows_no_bodies_unasked(
    tmp_path: Path,
) -> None:
    path = tmp_path / "journal"
    path.write_bytes(made(new("a", body=b"secret"), new("b"), new("c")))
    code, out, _ = tool("check", str(tmp_path))
    assert code == 0 and "3 messages held" in out and out.endswith("whole\n")
    code, out, _ = tool("show", str(tmp_path))
    assert code == 0 and "held a: pay to 7" in out and "secret" not in out
    assert "secret" in tool("show", "--bodies", str(tmp_path))[1]
    data = bytearray(path.read_bytes())
    data[data.index(b'"b"')] ^= 1
    path.write_bytes(data)
    code, out, _ = tool("check", str(tmp_path))
    assert (
        code == 1 and "1 records lost" in out and "in doubt" in out and ": a\n" in out
    )
    assert path.read_bytes() == data
    path.write_bytes(data[:-1])
    assert tool("show", str(path))[0] == 1


@pytest.mark.parametrize(
    "words",
    [(), ("check",), ("mend", "."), ("check", "/nonexistent"), ("show", "tests")],
)
def test_the_tool_s_unusable_calls_end_with_2(words: tuple[str, ...]) -> None:
    code, out, err = tool(*words)
    assert code == 2 and not out and err


def test_a_newer_version_is_refused_in_one_line(tmp_path: Path) -> None:
    newer = f.FileHeader(f.VERSION + 1, 0, 1, 1, 0).encode() + b"whatever"
    (tmp_path / "journal").write_bytes(newer)
    code, _, err = tool("check", str(tmp_path))
    assert code == 2 and "newer" in err and len(err.splitlines()) == 1
