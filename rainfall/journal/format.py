"""The journal's file format: a header, then frames with one record each.

`records` says what a record holds; docs/parts.md describes the format. A checkpoint
stands first in a file, and a copy of the header behind it. All integers of version 2
are big-endian.

Version 1 has no header; its frames are a length, a checksum and the payload, all
little-endian.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from rainfall.errors import RainfallError

MAGIC = b"RAINJRNL"
VERSION = 2
HEADER = struct.Struct(">8sHHIIII")
"""Magic, version, flags, salt, generation, frames of the checkpoint, checksum."""
CHECKSUM = struct.Struct(">I")
FRAME = struct.Struct(">IIHI")
"""Marker and payload length, number, checksum of both, checksum of the payload."""
V1_FRAME = struct.Struct("<II")
"""Payload length, checksum of the payload."""
FRAME_MARKER = 0xB7
"""The first byte of each frame."""
LENGTH_BITS = 24
LENGTH_MASK = (1 << LENGTH_BITS) - 1
NUMBERED_BYTES = 8
"""Bytes of a frame that its first checksum covers: marker, length, number."""
SHORT_CHECKSUM_MASK = 0xFFFF
FLAG_POWER = 1
"""Flag in the header: the file was written under the level `power`."""
MAX_RECORD_BYTES = LENGTH_MASK
"""The longest payload that a frame's length field can state."""
MAX_V1_RECORD_BYTES = 1 << 21
"""The longest payload of version 1."""
MAX_FRAME_NUMBER = 1 << 32
V1_PAYLOAD_START = b'["'
"""What each payload of version 1 begins with."""
MIN_V1_PAYLOAD_BYTES = 3
UNKNOWN = -1
"""A number or count that is not known."""


class NewerVersionError(RainfallError):
    """The file is of a version that this program does not know."""


class FileHeader(NamedTuple):
    """The header of a file of version 2."""

    version: int
    flags: int
    salt: int
    """It enters each checksum, so that no frame of another file is taken for one."""
    generation: int
    checkpoint_frames: int
    """How many frames the checkpoint has."""

    @property
    def power(self) -> bool:
        """Whether the file was written under the level `power`."""
        return bool(self.flags & FLAG_POWER)

    def encode(self) -> bytes:
        """Encode the header with its checksum."""
        data = HEADER.pack(MAGIC, *self, 0)[: -CHECKSUM.size]
        return data + CHECKSUM.pack(zlib.crc32(data))


class Frame(NamedTuple):
    """A frame that was read."""

    offset: int
    number: int
    """-1 in version 1, which numbers no frames."""
    payload: bytes
    end: int
    """Offset behind the frame."""


class Gap(NamedTuple):
    """Bytes that cannot be read."""

    offset: int
    size: int
    first_missing: int
    """Number of the first missing record; -1 where that is not known."""
    missing: int
    """How many are missing; -1 where that is not known."""


@dataclass(slots=True)
class Scan:
    """What a file holds, in its order."""

    version: int = VERSION
    header: FileHeader | None = None
    header_damaged: bool = False
    parts: list[Frame | Gap] = field(default_factory=list)
    end: int = 0
    """Offset behind the last sound frame."""
    torn_bytes: int = 0
    """Bytes behind it of a write that was never finished."""

    @property
    def frames(self) -> Iterator[Frame]:
        """The frames that were read."""
        return (part for part in self.parts if isinstance(part, Frame))

    @property
    def gaps(self) -> list[Gap]:
        """The gaps between them."""
        return [part for part in self.parts if isinstance(part, Gap)]

    @property
    def damaged(self) -> bool:
        """Whether something cannot be read that had been written in full."""
        return self.header_damaged or any(isinstance(part, Gap) for part in self.parts)


# Frames and headers of version 2


def frame_header_checksum(numbered: bytes, at: int, salt: int) -> int:
    """Return the checksum of a frame's marker, length and number.

    It depends on the frame's offset and file, so that a copy elsewhere is not sound.
    """
    return zlib.crc32(numbered, zlib.crc32(at.to_bytes(8), salt))


def encode_frame(salt: int, number: int, payload: bytes, at: int) -> bytes:
    """Encode a frame that is to stand at an offset of the file with that salt."""
    marker_and_length = FRAME_MARKER << LENGTH_BITS | len(payload)
    numbered = marker_and_length.to_bytes(4) + number.to_bytes(4)
    checksum = frame_header_checksum(numbered, at, salt)
    return (
        numbered
        + (checksum & SHORT_CHECKSUM_MASK).to_bytes(2)
        + zlib.crc32(payload, checksum).to_bytes(4)
        + payload
    )


def decode_header(data: bytes, at: int = 0) -> FileHeader | None:
    """Return the header that stands at an offset, if it is sound.

    Raises:
        NewerVersionError: It is that of a later version.
    """
    if data[at : at + len(MAGIC)] != MAGIC or len(data) < at + HEADER.size:
        return None
    _, *parts, checksum = HEADER.unpack_from(data, at)
    header = FileHeader(*parts)
    if checksum != zlib.crc32(data[at : at + HEADER.size - CHECKSUM.size]):
        return None
    if header.version > VERSION:
        raise NewerVersionError(
            f"version {header.version}; this program knows up to {VERSION}"
        )
    return header


def find_header(data: bytes) -> FileHeader | None:
    """Return the first header in the data that some frame in it belongs to.

    A message's body may hold bytes that look like a header.
    """
    at = data.find(MAGIC)
    while at >= 0:
        header = decode_header(data, at)
        if header is not None and next_frame(data, 0, header.salt, 0) is not None:
            return header
        at = data.find(MAGIC, at + 1)
    return None


def frame_at(data: bytes, at: int, salt: int) -> Frame | None:
    """Return the frame that begins at an offset, if it is complete and sound."""
    if at + FRAME.size > len(data):
        return None
    marker_and_length, number, short_checksum, checksum = FRAME.unpack_from(data, at)
    length = marker_and_length & LENGTH_MASK
    if marker_and_length >> LENGTH_BITS != FRAME_MARKER or length > MAX_RECORD_BYTES:
        return None
    expected = frame_header_checksum(data[at : at + NUMBERED_BYTES], at, salt)
    end = at + FRAME.size + length
    if expected & SHORT_CHECKSUM_MASK != short_checksum or end > len(data):
        return None
    payload = data[at + FRAME.size : end]
    if zlib.crc32(payload, expected) != checksum:
        return None
    return Frame(at, number, payload, end)


def next_frame(data: bytes, at: int, salt: int, lowest_number: int) -> Frame | None:
    """Return the first sound frame from an offset on with that number or a higher one."""
    at = data.find(FRAME_MARKER, at)
    while at >= 0:
        found = frame_at(data, at, salt)
        if found is not None and found.number >= lowest_number:
            return found
        at = data.find(FRAME_MARKER, at + 1)
    return None


def is_torn_write(data: bytes, at: int, salt: int, number: int) -> bool:
    """Whether the data ends in the beginning of the frame of that number.

    Such a write was never finished, and nothing was promised on it.
    """
    rest = data[at : at + FRAME.size]
    marker = FRAME_MARKER.to_bytes(1)
    if len(rest) < FRAME.size:
        # The length may be any; the marker and the number are known.
        stored_number = rest[4:NUMBERED_BYTES]
        return (
            rest[:1] == marker[: len(rest)]
            and stored_number == number.to_bytes(4)[: len(stored_number)]
        )
    marker_and_length, found_number, short_checksum, _ = FRAME.unpack_from(data, at)
    expected = frame_header_checksum(rest[:NUMBERED_BYTES], at, salt)
    sound = (
        marker_and_length >> LENGTH_BITS == FRAME_MARKER
        and found_number == number
        and expected & SHORT_CHECKSUM_MASK == short_checksum
    )
    end = at + FRAME.size + (marker_and_length & LENGTH_MASK)
    return bool(sound and end > len(data))


# Files


def scan(data: bytes) -> Scan:
    """Read a file of either version.

    Raises:
        NewerVersionError: It is of a later version.
    """
    header = decode_header(data)
    if header is not None:
        return _FileScanner(data, header).scan()
    if data[: len(MAGIC)] == MAGIC:
        return _scan_behind_damaged_header(data)
    version_1 = scan_v1(data)
    if any(True for _ in version_1.frames):
        return version_1
    return _scan_with_header(data, find_header(data), damaged=bool(data))


def _scan_behind_damaged_header(data: bytes) -> Scan:
    header = find_header(data)
    version = int.from_bytes(data[len(MAGIC) : len(MAGIC) + 2])
    if header is None and version > VERSION and len(data) >= HEADER.size:
        raise NewerVersionError(
            f"version {version}, or its head is damaged; "
            f"this program knows up to {VERSION}"
        )
    return _scan_with_header(data, header, damaged=True)


def _scan_with_header(data: bytes, header: FileHeader | None, damaged: bool) -> Scan:
    if header is not None:
        return _FileScanner(data, header, damaged).scan()
    found = Scan(header_damaged=damaged)
    if data:
        found.parts.append(Gap(0, len(data), 0, UNKNOWN))
    return found


class _FileScanner:
    """Reads a file of version 2 whose header is known, from its beginning."""

    def __init__(self, data: bytes, header: FileHeader, damaged: bool = False) -> None:
        self.data = data
        self.header = header
        self.header_copy = header.encode()
        self.found = Scan(header=header, header_damaged=damaged)
        self.found.end = min(HEADER.size, len(data))
        self.offset = HEADER.size
        self.number = 0
        """Number of the next frame."""
        self.copy_passed = False
        """Whether the place of the header's copy, behind the checkpoint, is passed."""

    def scan(self) -> Scan:
        """Read all frames, and tell damage from a torn write at the end."""
        while self.offset < len(self.data):
            if not self._read_part():
                break
        self._read_tail()
        return self.found

    def _read_part(self) -> bool:
        """Read a frame, the header's copy or a gap; False where nothing is left."""
        if self._read_header_copy():
            return True
        frame = frame_at(self.data, self.offset, self.header.salt)
        if frame is None or frame.number < self.number:
            salt = self.header.salt
            frame = next_frame(self.data, self.offset + 1, salt, self.number)
        if frame is None:
            return self._skip_to_header_copy()
        if frame.offset > self.offset or frame.number > self.number:
            self._add_gap(frame.offset - self.offset, frame.number - self.number)
        self.found.parts.append(frame)
        self.offset = frame.end
        self.number = frame.number + 1
        self.found.end = self.offset
        return True

    def _read_header_copy(self) -> bool:
        if self.number != self.header.checkpoint_frames or self.copy_passed:
            return False
        self.copy_passed = True
        end = self.offset + HEADER.size
        intact = self.data[self.offset : end] == self.header_copy
        if not intact and not self._is_only_copy_damaged(end):
            return False
        self.found.header_damaged |= not intact
        self.offset = end
        self.found.end = end
        return True

    def _is_only_copy_damaged(self, end: int) -> bool:
        """Whether what follows the header's copy is in its place."""
        if end == len(self.data):
            return True
        following = frame_at(self.data, end, self.header.salt)
        return following is not None and following.number == self.number

    def _skip_to_header_copy(self) -> bool:
        checkpoint_frames = self.header.checkpoint_frames
        if self.number >= checkpoint_frames:
            return False
        copy_offset = self.data.find(self.header_copy, self.offset)
        if copy_offset < 0:
            return False
        self._add_gap(copy_offset - self.offset, checkpoint_frames - self.number)
        self.offset = copy_offset
        self.number = checkpoint_frames
        return True

    def _read_tail(self) -> None:
        rest = self.data[self.offset :]
        checkpoint_frames = self.header.checkpoint_frames
        if not rest:
            if self.number < checkpoint_frames:
                # The checkpoint was complete when the file got its name.
                self._add_gap(0, checkpoint_frames - self.number)
        elif self.number >= checkpoint_frames and self._is_unfinished(rest):
            self.found.torn_bytes = len(rest)
        else:
            self._add_gap(len(rest), UNKNOWN)

    def _is_unfinished(self, rest: bytes) -> bool:
        if self.number == self.header.checkpoint_frames and self.header_copy.startswith(
            rest
        ):
            return True
        if self.header.power and not rest.strip(b"\0"):
            return True
        return is_torn_write(self.data, self.offset, self.header.salt, self.number)

    def _add_gap(self, size: int, missing: int) -> None:
        self.found.parts.append(Gap(self.offset, size, self.number, missing))


# Version 1


def v1_frame_at(data: bytes, at: int) -> Frame | None:
    """Return the frame of version 1 that begins at an offset, if it is sound."""
    if at < 0 or at + V1_FRAME.size > len(data):
        return None
    length, checksum = V1_FRAME.unpack_from(data, at)
    end = at + V1_FRAME.size + length
    if not MIN_V1_PAYLOAD_BYTES <= length <= MAX_V1_RECORD_BYTES or end > len(data):
        return None
    payload = data[at + V1_FRAME.size : end]
    if zlib.crc32(payload) != checksum:
        return None
    return Frame(at, UNKNOWN, payload, end)


def next_v1_frame(data: bytes, at: int) -> Frame | None:
    """Return the first sound frame of version 1 from an offset on."""
    begin = data.find(V1_PAYLOAD_START, at + V1_FRAME.size)
    while begin >= 0:
        found = v1_frame_at(data, begin - V1_FRAME.size)
        if found is not None:
            return found
        begin = data.find(V1_PAYLOAD_START, begin + 1)
    return None


def scan_v1(data: bytes) -> Scan:
    """Read a file of version 1."""
    found = Scan(version=1)
    at = 0
    while at < len(data):
        frame = v1_frame_at(data, at)
        if frame is None:
            frame = next_v1_frame(data, at + 1)
            if frame is None:
                break
            found.parts.append(Gap(at, frame.offset - at, UNKNOWN, UNKNOWN))
        found.parts.append(frame)
        at = frame.end
        found.end = at
    if at < len(data):
        if _is_torn_v1_write(data, at):
            found.torn_bytes = len(data) - at
        else:
            found.parts.append(Gap(at, len(data) - at, UNKNOWN, UNKNOWN))
    return found


def _is_torn_v1_write(data: bytes, at: int) -> bool:
    """Whether a write was not finished, as far as version 1 lets tell.

    Then the length is possible, more than what is there, and the payload begins as all
    do.
    """
    payload_at = at + V1_FRAME.size
    if payload_at > len(data):
        return True
    payload_start = data[payload_at : payload_at + len(V1_PAYLOAD_START)]
    length, _ = V1_FRAME.unpack_from(data, at)
    return (
        length <= MAX_V1_RECORD_BYTES
        and payload_at + length > len(data)
        and V1_PAYLOAD_START.startswith(payload_start)
    )
