"""The journal's file format: a header, then frames with one record each.

The module `records` defines the records; docs/parts.md describes the format. A file of
version 2 is the header, the frames of a checkpoint, a copy of the header, and the
frames that were appended since. All integers of version 2 are big-endian.

Version 1 has no header. A frame of version 1 is a length, a checksum and the payload;
its integers are little-endian.
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
"""Magic, version, flags, salt, generation, number of checkpoint frames, checksum."""
CHECKSUM = struct.Struct(">I")
FRAME = struct.Struct(">IIHI")
"""Marker and payload length, frame number, frame header checksum, payload checksum."""
V1_FRAME = struct.Struct("<II")
"""Payload length, checksum of the payload."""
FRAME_MARKER = 0xB7
"""The first byte of each frame."""
LENGTH_BITS = 24
LENGTH_MASK = (1 << LENGTH_BITS) - 1
NUMBERED_BYTES = 8
"""Bytes that the frame header checksum covers: marker, length and number."""
SHORT_CHECKSUM_MASK = 0xFFFF
FLAG_POWER = 1
"""Header flag: the file was written with durability level `power`."""
MAX_RECORD_BYTES = LENGTH_MASK
"""The longest payload that the length field of a frame can express."""
MAX_V1_RECORD_BYTES = 1 << 21
"""The longest payload of version 1."""
MAX_FRAME_NUMBER = 1 << 32
V1_PAYLOAD_START = b'["'
"""Every payload of version 1 starts with these bytes."""
MIN_V1_PAYLOAD_BYTES = 3
UNKNOWN = -1
"""Stands for an unknown number or count."""


class NewerVersionError(RainfallError):
    """The file has a later version than this program supports."""


class FileHeader(NamedTuple):
    """The header of a file of version 2."""

    version: int
    flags: int
    salt: int
    """Seeds each checksum, so that a frame copied from another file is not valid."""
    generation: int
    checkpoint_frames: int
    """Number of frames in the checkpoint."""

    @property
    def power(self) -> bool:
        """Whether the file was written with durability level `power`."""
        return bool(self.flags & FLAG_POWER)

    def encode(self) -> bytes:
        """Encode the header with its checksum."""
        data = HEADER.pack(MAGIC, *self, 0)[: -CHECKSUM.size]
        return data + CHECKSUM.pack(zlib.crc32(data))


class Frame(NamedTuple):
    """A valid frame."""

    offset: int
    number: int
    """-1 in version 1, whose frames have no numbers."""
    payload: bytes
    end: int
    """Offset of the first byte after the frame."""


class Gap(NamedTuple):
    """A range of bytes that cannot be decoded."""

    offset: int
    size: int
    first_missing: int
    """Number of the first missing record; -1: unknown."""
    missing: int
    """Number of missing records; -1: unknown."""


@dataclass(slots=True)
class Scan:
    """The decoded contents of a file, in file order."""

    version: int = VERSION
    header: FileHeader | None = None
    header_damaged: bool = False
    parts: list[Frame | Gap] = field(default_factory=list)
    end: int = 0
    """Offset of the first byte after the last valid frame."""
    torn_bytes: int = 0
    """Bytes after `end` that belong to a write that was never completed."""

    @property
    def frames(self) -> Iterator[Frame]:
        """The valid frames."""
        return (part for part in self.parts if isinstance(part, Frame))

    @property
    def gaps(self) -> list[Gap]:
        """The ranges that cannot be decoded."""
        return [part for part in self.parts if isinstance(part, Gap)]

    @property
    def damaged(self) -> bool:
        """Whether bytes that were written completely cannot be decoded."""
        return self.header_damaged or any(isinstance(part, Gap) for part in self.parts)


# Frames and headers of version 2


def frame_header_checksum(marker_length_number: bytes, offset: int, salt: int) -> int:
    """Return the checksum of a frame's marker, length and number.

    The salt and the offset enter the checksum, so that a copy of the frame in another
    file or at another offset is not valid.
    """
    return zlib.crc32(marker_length_number, zlib.crc32(offset.to_bytes(8), salt))


def encode_frame(salt: int, number: int, payload: bytes, offset: int) -> bytes:
    """Encode a frame for an offset in the file with the given salt."""
    marker_and_length = FRAME_MARKER << LENGTH_BITS | len(payload)
    marker_length_number = marker_and_length.to_bytes(4) + number.to_bytes(4)
    checksum = frame_header_checksum(marker_length_number, offset, salt)
    return (
        marker_length_number
        + (checksum & SHORT_CHECKSUM_MASK).to_bytes(2)
        + zlib.crc32(payload, checksum).to_bytes(4)
        + payload
    )


def decode_header(data: bytes, offset: int = 0) -> FileHeader | None:
    """Return the header at an offset; None unless it is valid.

    Raises:
        NewerVersionError: The header has a later version.
    """
    if data[offset : offset + len(MAGIC)] != MAGIC or len(data) < offset + HEADER.size:
        return None
    _, *parts, checksum = HEADER.unpack_from(data, offset)
    header = FileHeader(*parts)
    if checksum != zlib.crc32(data[offset : offset + HEADER.size - CHECKSUM.size]):
        return None
    if header.version > VERSION:
        raise NewerVersionError(
            f"version {header.version}; this program supports up to {VERSION}"
        )
    return header


def find_header(data: bytes) -> FileHeader | None:
    """Return the first valid header whose salt matches some frame in the data.

    The match is required because a message body may contain bytes of a header.
    """
    offset = data.find(MAGIC)
    while offset >= 0:
        header = decode_header(data, offset)
        if header is not None and next_frame(data, 0, header.salt, 0) is not None:
            return header
        offset = data.find(MAGIC, offset + 1)
    return None


def frame_at(data: bytes, offset: int, salt: int) -> Frame | None:
    """Return the frame at an offset; None unless it is complete and valid."""
    if offset + FRAME.size > len(data):
        return None
    marker_and_length, number, short_checksum, checksum = FRAME.unpack_from(
        data, offset
    )
    length = marker_and_length & LENGTH_MASK
    if marker_and_length >> LENGTH_BITS != FRAME_MARKER or length > MAX_RECORD_BYTES:
        return None
    expected = frame_header_checksum(
        data[offset : offset + NUMBERED_BYTES], offset, salt
    )
    end = offset + FRAME.size + length
    if expected & SHORT_CHECKSUM_MASK != short_checksum or end > len(data):
        return None
    payload = data[offset + FRAME.size : end]
    if zlib.crc32(payload, expected) != checksum:
        return None
    return Frame(offset, number, payload, end)


def next_frame(data: bytes, offset: int, salt: int, lowest_number: int) -> Frame | None:
    """Return the first valid frame from an offset on, of `lowest_number` or more."""
    offset = data.find(FRAME_MARKER, offset)
    while offset >= 0:
        found = frame_at(data, offset, salt)
        if found is not None and found.number >= lowest_number:
            return found
        offset = data.find(FRAME_MARKER, offset + 1)
    return None


def is_torn_write(data: bytes, offset: int, salt: int, number: int) -> bool:
    """Whether the data ends with an incomplete frame of that number.

    Such a write was never completed, and nothing that depends on it was sent.
    """
    rest = data[offset : offset + FRAME.size]
    marker = FRAME_MARKER.to_bytes(1)
    if len(rest) < FRAME.size:
        # The length cannot be checked; the marker and the number can.
        stored_number = rest[4:NUMBERED_BYTES]
        return (
            rest[:1] == marker[: len(rest)]
            and stored_number == number.to_bytes(4)[: len(stored_number)]
        )
    marker_and_length, found_number, short_checksum, _ = FRAME.unpack_from(data, offset)
    expected = frame_header_checksum(rest[:NUMBERED_BYTES], offset, salt)
    sound = (
        marker_and_length >> LENGTH_BITS == FRAME_MARKER
        and found_number == number
        and expected & SHORT_CHECKSUM_MASK == short_checksum
    )
    end = offset + FRAME.size + (marker_and_length & LENGTH_MASK)
    return bool(sound and end > len(data))


# Files


def scan(data: bytes) -> Scan:
    """Decode a file of version 1 or 2.

    Raises:
        NewerVersionError: The file has a later version.
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
            f"version {version}, or its header is damaged; "
            f"this program supports up to {VERSION}"
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
    """Decodes a file of version 2 whose header is known."""

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
        """Whether the position of the header copy after the checkpoint was reached."""

    def scan(self) -> Scan:
        """Decode all frames; distinguish damage from a torn write at the end."""
        while self.offset < len(self.data):
            if not self._read_part():
                break
        self._read_tail()
        return self.found

    def _read_part(self) -> bool:
        """Decode the header copy, a frame with the gap before it, or a gap.

        Returns False if no more can be decoded.
        """
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
        """Whether the file ends or the expected frame starts after the header copy."""
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
                # A file replaces the journal only with a complete checkpoint.
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


def v1_frame_at(data: bytes, offset: int) -> Frame | None:
    """Return the frame of version 1 at an offset; None unless it is valid."""
    if offset < 0 or offset + V1_FRAME.size > len(data):
        return None
    length, checksum = V1_FRAME.unpack_from(data, offset)
    end = offset + V1_FRAME.size + length
    if not MIN_V1_PAYLOAD_BYTES <= length <= MAX_V1_RECORD_BYTES or end > len(data):
        return None
    payload = data[offset + V1_FRAME.size : end]
    if zlib.crc32(payload) != checksum:
        return None
    return Frame(offset, UNKNOWN, payload, end)


def next_v1_frame(data: bytes, offset: int) -> Frame | None:
    """Return the first valid frame of version 1 at or after an offset."""
    payload_offset = data.find(V1_PAYLOAD_START, offset + V1_FRAME.size)
    while payload_offset >= 0:
        found = v1_frame_at(data, payload_offset - V1_FRAME.size)
        if found is not None:
            return found
        payload_offset = data.find(V1_PAYLOAD_START, payload_offset + 1)
    return None


def scan_v1(data: bytes) -> Scan:
    """Decode a file of version 1."""
    found = Scan(version=1)
    offset = 0
    while offset < len(data):
        frame = v1_frame_at(data, offset)
        if frame is None:
            frame = next_v1_frame(data, offset + 1)
            if frame is None:
                break
            found.parts.append(Gap(offset, frame.offset - offset, UNKNOWN, UNKNOWN))
        found.parts.append(frame)
        offset = frame.end
        found.end = offset
    if offset < len(data):
        if _is_torn_v1_write(data, offset):
            found.torn_bytes = len(data) - offset
        else:
            found.parts.append(Gap(offset, len(data) - offset, UNKNOWN, UNKNOWN))
    return found


def _is_torn_v1_write(data: bytes, offset: int) -> bool:
    """Whether the data ends with an incomplete frame, as far as version 1 can show it.

    The frame is incomplete if its length is possible but exceeds the remaining data,
    and the payload starts with `V1_PAYLOAD_START`.
    """
    payload_offset = offset + V1_FRAME.size
    if payload_offset > len(data):
        return True
    payload_start = data[payload_offset : payload_offset + len(V1_PAYLOAD_START)]
    length, _ = V1_FRAME.unpack_from(data, offset)
    return (
        length <= MAX_V1_RECORD_BYTES
        and payload_offset + length > len(data)
        and V1_PAYLOAD_START.startswith(payload_start)
    )
