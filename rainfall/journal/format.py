"""The journal's bytes: a head, then frames.

What is in the frames, `state` knows; see docs/parts.md.

Version 1 has no head; its frames are a length, a checksum and the payload, all
little-endian.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from rainfall.errors import RainfallError

MAGIC, VERSION = b"RAINJRNL", 2
HEADER = struct.Struct(">8sHHIIII")
FRAME = struct.Struct(">IIHI")
V1_FRAME = struct.Struct("<II")
FRAME_MARKER = 0xB7
FLAG_POWER = 1  # flag in the head: written under the level `power`
MAX_RECORD_BYTES = (1 << 24) - 1  # bytes: what a frame's length can tell
MAX_V1_RECORD_BYTES = 1 << 21  # bytes, in version 1
MAX_FRAME_NUMBER = 1 << 32


class NewerVersionError(RainfallError):
    """The file is of a version that this program does not know."""


class FileHeader(NamedTuple):
    version: int
    flags: int
    salt: int
    generation: int
    checkpoint_frames: int
    """How many frames the checkpoint has."""

    @property
    def power(self) -> bool:
        return bool(self.flags & FLAG_POWER)

    def encode(self) -> bytes:
        data = HEADER.pack(MAGIC, *self, 0)[:-4]
        return data + struct.pack(">I", zlib.crc32(data))


class Frame(NamedTuple):
    offset: int
    number: int
    """-1 in version 1, which has none."""
    payload: bytes
    end: int


class Gap(NamedTuple):
    """Bytes that cannot be read."""

    offset: int
    size: int
    first_missing: int
    """The first record that is missing."""
    missing: int
    """How many are; -1 where that cannot be told."""


@dataclass(slots=True)
class Scan:
    """What a file holds, in its order."""

    version: int = VERSION
    header: FileHeader | None = None
    header_damaged: bool = False
    parts: list[Frame | Gap] = field(default_factory=list)
    end: int = 0
    """Behind the last whole frame."""
    torn_bytes: int = 0
    """Bytes behind it of a write that never came to its end."""

    @property
    def frames(self) -> Iterator[Frame]:
        return (p for p in self.parts if isinstance(p, Frame))

    @property
    def gaps(self) -> list[Gap]:
        return [p for p in self.parts if isinstance(p, Gap)]

    @property
    def damaged(self) -> bool:
        return self.header_damaged or any(isinstance(p, Gap) for p in self.parts)


def frame_header_checksum(first: bytes, at: int, salt: int) -> int:
    """The checksum of a frame's first half, bound to its place in its file."""
    return zlib.crc32(first, zlib.crc32(at.to_bytes(8), salt))


def encode_frame(salt: int, number: int, payload: bytes, at: int) -> bytes:
    first = (FRAME_MARKER << 24 | len(payload)).to_bytes(4) + number.to_bytes(4)
    check = frame_header_checksum(first, at, salt)
    return (
        first
        + (check & 0xFFFF).to_bytes(2)
        + zlib.crc32(payload, check).to_bytes(4)
        + payload
    )


def decode_header(data: bytes, at: int = 0) -> FileHeader | None:
    """The head that stands there, if it is sound; NewerVersion where it is of a later
    program.
    """
    if data[at : at + len(MAGIC)] != MAGIC or len(data) < at + HEADER.size:
        return None
    _, *parts, check = HEADER.unpack_from(data, at)
    head = FileHeader(*parts)
    if check != zlib.crc32(data[at : at + HEADER.size - 4]):
        return None
    if head.version > VERSION:
        raise NewerVersionError(
            f"version {head.version}; this program knows up to {VERSION}"
        )
    return head


def find_header(data: bytes) -> FileHeader | None:
    """The first head of which a frame in the file is: a body may hold something that
    looks like one.
    """
    at = data.find(MAGIC)
    while at >= 0:
        head = decode_header(data, at)
        if head is not None and next_frame(data, 0, head.salt, 0) is not None:
            return head
        at = data.find(MAGIC, at + 1)
    return None


def frame_at(data: bytes, at: int, salt: int) -> Frame | None:
    """The frame that begins there, if it is whole and sound."""
    if at + FRAME.size > len(data):
        return None
    word, number, half, check = FRAME.unpack_from(data, at)
    length = word & 0xFFFFFF
    if word >> 24 != FRAME_MARKER or length > MAX_RECORD_BYTES:
        return None
    first = frame_header_checksum(data[at : at + 8], at, salt)
    end = at + FRAME.size + length
    if first & 0xFFFF != half or end > len(data):
        return None
    payload = data[at + FRAME.size : end]
    return (
        Frame(at, number, payload, end) if zlib.crc32(payload, first) == check else None
    )


def next_frame(data: bytes, at: int, salt: int, lowest_number: int) -> Frame | None:
    """The first sound frame from there on whose number is not below `least`."""
    at = data.find(FRAME_MARKER, at)
    while at >= 0:
        found = frame_at(data, at, salt)
        if found is not None and found.number >= lowest_number:
            return found
        at = data.find(FRAME_MARKER, at + 1)
    return None


def is_torn_write(data: bytes, at: int, salt: int, number: int) -> bool:
    """Whether what stands there is a write that never came to its end, so that nothing
    was promised on it: the beginning of just the next frame.
    """
    rest = data[at : at + FRAME.size]
    expected = FRAME_MARKER.to_bytes(1)
    if len(rest) < FRAME.size:  # the length may be any, the number may not
        return (
            rest[:1] == expected[: len(rest)]
            and rest[4:8] == number.to_bytes(4)[: len(rest[4:8])]
        )
    word, told, half, _ = FRAME.unpack_from(data, at)
    sound = (
        word >> 24 == FRAME_MARKER
        and told == number
        and frame_header_checksum(rest[:8], at, salt) & 0xFFFF == half
    )
    return bool(sound and at + FRAME.size + (word & 0xFFFFFF) > len(data))


def scan(data: bytes) -> Scan:
    """Read a file of either version."""
    head = decode_header(data)
    if head is None and data[: len(MAGIC)] == MAGIC:
        told = int.from_bytes(data[8:10])
        head = find_header(data)
        if head is None and told > VERSION and len(data) >= HEADER.size:
            raise NewerVersionError(
                f"version {told}, or its head is damaged; this program knows up to {VERSION}"
            )
        return _scan(data, head, damaged=True)
    if head is not None:
        return _scan(data, head)
    old = scan_v1(data)
    if any(True for _ in old.frames):
        return old
    return _scan(data, find_header(data), damaged=bool(data))


def _scan(data: bytes, head: FileHeader | None, damaged: bool = False) -> Scan:
    found = Scan(header=head, header_damaged=damaged)
    if head is None:
        if data:
            found.parts.append(Gap(0, len(data), 0, -1))
        return found
    at, number, copied = HEADER.size, 0, False
    copy = head.encode()
    found.end = min(HEADER.size, len(data))
    while at < len(data):
        if number == head.checkpoint_frames and not copied:  # here it has to stand
            copied = True
            if data[at : at + HEADER.size] == copy or _only_header_copy_damaged(
                data, head, at, number
            ):
                found.header_damaged |= data[at : at + HEADER.size] != copy
                at = found.end = at + HEADER.size
                continue
        next_one = frame_at(data, at, head.salt)
        if next_one is None or next_one.number < number:
            next_one = next_frame(data, at + 1, head.salt, number)
        if next_one is None:
            begin = data.find(copy, at) if number < head.checkpoint_frames else -1
            if begin < 0:
                break
            found.parts.append(
                Gap(at, begin - at, number, head.checkpoint_frames - number)
            )
            at, number = begin, head.checkpoint_frames
            continue
        if next_one.offset > at or next_one.number > number:
            found.parts.append(
                Gap(at, next_one.offset - at, number, next_one.number - number)
            )
        found.parts.append(next_one)
        at, number = next_one.end, next_one.number + 1
        found.end = at
    _scan_tail(found, data, head, at, number)
    return found


def _only_header_copy_damaged(
    data: bytes, head: FileHeader, at: int, number: int
) -> bool:
    """Whether only the copy of the head is damaged: what follows is in its place."""
    behind = at + HEADER.size
    if behind == len(data):
        return True
    following = frame_at(data, behind, head.salt)
    return following is not None and following.number == number


def _scan_tail(
    found: Scan, data: bytes, head: FileHeader, at: int, number: int
) -> None:
    rest = data[at:]
    if not rest:
        if (
            number < head.checkpoint_frames
        ):  # cut off within what was whole when the file got its name
            found.parts.append(Gap(at, 0, number, head.checkpoint_frames - number))
        return
    copy = number == head.checkpoint_frames and head.encode().startswith(rest)
    zeros = head.power and not rest.strip(b"\0")
    if number >= head.checkpoint_frames and (
        copy or zeros or is_torn_write(data, at, head.salt, number)
    ):
        found.torn_bytes = len(rest)
    else:
        found.parts.append(Gap(at, len(rest), number, -1))


# Version 1


def v1_frame_at(data: bytes, at: int) -> Frame | None:
    if at < 0 or at + V1_FRAME.size > len(data):
        return None
    length, check = V1_FRAME.unpack_from(data, at)
    end = at + V1_FRAME.size + length
    if not 2 < length <= MAX_V1_RECORD_BYTES or end > len(data):
        return None
    payload = data[at + V1_FRAME.size : end]
    return Frame(at, -1, payload, end) if zlib.crc32(payload) == check else None


def next_v1_frame(data: bytes, at: int) -> Frame | None:
    """Each payload begins with the same two characters."""
    begin = data.find(b'["', at + V1_FRAME.size)
    while begin >= 0:
        found = v1_frame_at(data, begin - V1_FRAME.size)
        if found is not None:
            return found
        begin = data.find(b'["', begin + 1)
    return None


def scan_v1(data: bytes) -> Scan:
    found = Scan(version=1)
    at = 0
    while at < len(data):
        next_one = v1_frame_at(data, at)
        if next_one is None:
            next_one = next_v1_frame(data, at + 1)
            if next_one is None:
                break
            found.parts.append(Gap(at, next_one.offset - at, -1, -1))
        found.parts.append(next_one)
        at = found.end = next_one.end
    if at < len(data):
        if _is_torn_v1_write(data, at):
            found.torn_bytes = len(data) - at
        else:
            found.parts.append(Gap(at, len(data) - at, -1, -1))
    return found


def _is_torn_v1_write(data: bytes, at: int) -> bool:
    """As far as version 1 lets tell: a length that can be, and less than that of what
    begins as all do.
    """
    rest = data[at + V1_FRAME.size : at + V1_FRAME.size + 2]
    if at + V1_FRAME.size > len(data):
        return True
    length, _ = V1_FRAME.unpack_from(data, at)
    return (
        length <= MAX_V1_RECORD_BYTES
        and at + V1_FRAME.size + length > len(data)
        and b'["'.startswith(rest)
    )
