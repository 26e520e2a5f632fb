"""The frames between forwarders: msgpack arrays with a tag, behind their length.

The length takes four bytes; bodies are raw bytes. A frame that is longer than
`FRAME_LIMIT_BYTES`, of an unknown kind, or with a field out of bounds ends the link. The
error names the field by its path (`$[2]` is the frame's third element).
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from rainfall.errors import RainfallError
from rainfall.session import protocol as w
from rainfall.session.protocol import (
    Count,
    Identifier,
    ShortText,
    TimeUs,
    TransferredMessage,
)

PROTOCOL_VERSION = 1
FRAME_LIMIT_BYTES = 131_072
"""A body of 64 KiB fits, with all that may stand beside it."""
LENGTH_PREFIX_BYTES = 4


class MalformedFrameError(RainfallError, ValueError):
    """A frame cannot be read; the text is one line and names the field by its path."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first frame of each side of a link."""

    version: Count
    name: Identifier
    site: ShortText
    lease_token: w.LeaseToken
    """The sender's lease token, or (0, 0) while it holds none."""


class CapacityReport(msgspec.Struct, frozen=True, array_like=True, tag="room"):
    """What the sender can take; it is sent regularly, and shows that the sender is alive.

    Times in frames to the sender count from the newest stamp that it has sent.
    """

    stamp_us: TimeUs
    sessions: Count
    bytes: Count
    load: Annotated[float, Meta(ge=0, le=1e6)]
    draining: bool
    endpoints: bool


class Forward(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A message of a key that the sender does not own.

    Its deadline counts from `stamp_us`, the receiver's own.
    """

    number: Count
    key: Identifier
    generation: Count
    """Of the shard map that the sender uses."""
    forwarded_by: Annotated[tuple[Identifier, ...], Meta(max_length=4)]
    """Who has forwarded it so far, the sender last."""
    stamp_us: TimeUs
    item: TransferredMessage
    resent: bool = False


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """A forwarded message was accepted (its client gets 202), or rejected (503).

    A rejected message was accepted nowhere.
    """

    number: Count
    outcome: Literal["taken", "refused"]
    retry_after_us: Count = 0
    generation: Count = 0


class SessionMoved(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """`owner` has the session of a key since so many migrations of it."""

    key: Identifier
    owner: Identifier
    migration_count: Count


AnyFrame = (
    Hello
    | CapacityReport
    | Forward
    | Forwarded
    | SessionMoved
    | w.FrameToTarget
    | w.FrameToSource
)
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyFrame] = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: msgspec.Struct) -> bytes:
    """Encode a frame, with its length in front.

    Raises:
        MalformedFrameError: It is too long for the other side.
    """
    data = _encoder.encode(frame)
    if len(data) > FRAME_LIMIT_BYTES:
        raise MalformedFrameError(
            f"a frame of {len(data)} bytes; at most {FRAME_LIMIT_BYTES} are taken"
        )
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


def decode(data: bytes | memoryview) -> AnyFrame:
    """Decode a frame without its length.

    Raises:
        MalformedFrameError: It is no frame.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedFrameError(str(error) or "nested too deep") from None


class FrameSplitter:
    """Splits a stream of bytes into frames; it buffers one frame at most."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[AnyFrame]:
        """Return the frames that are complete by now.

        Raises:
            MalformedFrameError: The stream cannot be split any further.
        """
        self.buffer += data
        frames: list[AnyFrame] = []
        offset = 0
        while len(self.buffer) - offset >= LENGTH_PREFIX_BYTES:
            begin = offset + LENGTH_PREFIX_BYTES
            size = int.from_bytes(self.buffer[offset:begin], "big")
            if size > FRAME_LIMIT_BYTES:
                raise MalformedFrameError(
                    f"a frame of {size} bytes; at most {FRAME_LIMIT_BYTES} are taken"
                )
            end = begin + size
            if len(self.buffer) < end:
                break
            frames.append(decode(bytes(self.buffer[begin:end])))
            offset = end
        del self.buffer[:offset]
        return frames
