"""The frames between forwarders: length-prefixed, tagged msgpack arrays.

The length prefix is a big-endian integer of four bytes; message bodies are raw bytes. A
frame that is longer than `FRAME_LIMIT_BYTES`, has an unknown tag, or has a field out of
bounds ends the link. The error names the field by its path (`$[2]` is the third element
of the array, the tag included).
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from rainfall.errors import RainfallError
from rainfall.session import protocol as session_protocol
from rainfall.session.protocol import (
    Count,
    Identifier,
    ShortText,
    TimeUs,
    TransferredMessage,
)

PROTOCOL_VERSION = 1
FRAME_LIMIT_BYTES = 131_072
"""A message body of 64 KiB fits, together with all other fields of its frame."""
LENGTH_PREFIX_BYTES = 4


class MalformedFrameError(RainfallError, ValueError):
    """A frame cannot be decoded; the text is one line and names the field by its path."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first frame of each side of a link."""

    version: Count
    name: Identifier
    site: ShortText
    lease_token: session_protocol.LeaseToken
    """The sender's lease token, or (0, 0) while it holds none."""


class CapacityReport(msgspec.Struct, frozen=True, array_like=True, tag="room"):
    """A heartbeat with the sender's load and free capacity.

    Times in frames to the sender are relative to its newest received `stamp_us`.
    """

    stamp_us: TimeUs
    """The time of the report by the sender's clock."""
    sessions: Count
    """How many more sessions the sender can accept."""
    bytes: Count
    """How many more bytes the sender can accept."""
    load: Annotated[float, Meta(ge=0, le=1e6)]
    """The used part of the sender's budget."""
    draining: bool
    """Whether the sender shuts down or an operator drains it."""
    endpoints: bool
    """Whether endpoints of the sender's site serve."""


class Forward(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A message whose key the sender does not own, for the owner of the key.

    The deadline in `item` is relative to `stamp_us`, the receiver's newest stamp.
    """

    number: Count
    """Increases with each message that is forwarded over the link."""
    key: Identifier
    generation: Count
    """The generation of the sender's shard map."""
    forwarded_by: Annotated[tuple[Identifier, ...], Meta(max_length=4)]
    """The names of all forwarders that have forwarded the message, the sender last."""
    stamp_us: TimeUs
    item: TransferredMessage
    resent: bool = False


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """The outcome of a `Forward`: accepted (the client gets 202) or rejected (503).

    No forwarder has accepted a rejected message.
    """

    number: Count
    """The number of the `Forward`."""
    outcome: Literal["taken", "refused"]
    retry_after_us: Count = 0
    generation: Count = 0


class SessionMoved(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """The session of `key` is at `owner` after `migration_count` migrations."""

    key: Identifier
    owner: Identifier
    migration_count: Count


AnyFrame = (
    Hello
    | CapacityReport
    | Forward
    | Forwarded
    | SessionMoved
    | session_protocol.FrameToTarget
    | session_protocol.FrameToSource
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyFrame] = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: msgspec.Struct) -> bytes:
    """Encode a frame with its length prefix.

    Raises:
        MalformedFrameError: The frame is longer than `FRAME_LIMIT_BYTES`.
    """
    data = _encoder.encode(frame)
    if len(data) > FRAME_LIMIT_BYTES:
        raise MalformedFrameError(
            f"frame of {len(data)} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes"
        )
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


def decode(data: bytes | memoryview) -> AnyFrame:
    """Decode a frame without its length prefix.

    Raises:
        MalformedFrameError: `data` is not a valid frame.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedFrameError(str(error) or "nested too deep") from None


class FrameSplitter:
    """Splits a byte stream into frames; at most one incomplete frame stays buffered."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[AnyFrame]:
        """Append `data` to the buffer and return the frames that are complete.

        Raises:
            MalformedFrameError: A frame is too long or invalid; the rest of the stream
                cannot be decoded.
        """
        self.buffer += data
        frames: list[AnyFrame] = []
        offset = 0
        while len(self.buffer) - offset >= LENGTH_PREFIX_BYTES:
            begin = offset + LENGTH_PREFIX_BYTES
            size = int.from_bytes(self.buffer[offset:begin], "big")
            if size > FRAME_LIMIT_BYTES:
                raise MalformedFrameError(
                    f"frame of {size} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes"
                )
            end = begin + size
            if len(self.buffer) < end:
                break
            frames.append(decode(bytes(self.buffer[begin:end])))
            offset = end
        del self.buffer[:offset]
        return frames
