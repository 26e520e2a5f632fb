"""The frames between forwarders: msgpack arrays with a tag, each behind its length in
four bytes.

Bodies go as raw bytes. A frame is never longer than `FRAME`; what is longer, of no
known kind, or has a field out of bounds ends the link, and the fault is told with its
path (`$[2]` is the frame's third element).
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
"""Bytes of a frame at most: a whole body of 64 KiB and all that may stand beside it,
with room to spare.
"""
LENGTH_PREFIX_BYTES = 4


class MalformedFrameError(RainfallError, ValueError):
    """A frame that cannot be taken; the text is one line and names the field by its
    path.
    """


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first frame of each side."""

    version: Count
    name: Identifier
    site: ShortText
    lease_token: w.LeaseToken
    """The sender's lease token, or (0, 0) while it holds none."""


class CapacityReport(msgspec.Struct, frozen=True, array_like=True, tag="room"):
    """What the sender has room for, and its stamp, from which times in frames to it
    count. It lives.
    """

    stamp_us: TimeUs
    sessions: Count
    bytes: Count
    load: Annotated[float, Meta(ge=0, le=1e6)]
    draining: bool
    endpoints: bool


class Forward(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A message of a key that the sender does not own.

    Its due counts from `stamp_us`, the receiver's own.
    """

    number: Count
    key: Identifier
    generation: Count
    """Of the map that the sender goes by."""
    forwarded_by: Annotated[tuple[Identifier, ...], Meta(max_length=4)]
    """Who has passed it on, the sender last."""
    stamp_us: TimeUs
    item: TransferredMessage
    resent: bool = False


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """What became of it: taken on (its client is owed 202), or refused and not taken on
    anywhere (503).
    """

    number: Count
    outcome: Literal["taken", "refused"]
    retry_after_us: Count = 0
    generation: Count = 0


class SessionMoved(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """The session of this key is with `owner` since its hand-over number `moves`."""

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
    """With its length in front.

    Malformed where it would be too long for the other side to take.
    """
    data = _encoder.encode(frame)
    if len(data) > FRAME_LIMIT_BYTES:
        raise MalformedFrameError(
            f"a frame of {len(data)} bytes; at most {FRAME_LIMIT_BYTES} are taken"
        )
    return len(data).to_bytes(LENGTH_PREFIX_BYTES, "big") + data


def decode(data: bytes | memoryview) -> AnyFrame:
    """One frame without its length."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedFrameError(str(error) or "nested too deep") from None


class FrameSplitter:
    """Bytes as they come, to frames. It holds one frame at most."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[AnyFrame]:
        """The frames that are whole now.

        Malformed ends the stream: what follows cannot be told apart.
        """
        self.buffer += data
        found: list[AnyFrame] = []
        at = 0
        while len(self.buffer) - at >= LENGTH_PREFIX_BYTES:
            size = int.from_bytes(self.buffer[at : at + LENGTH_PREFIX_BYTES], "big")
            if size > FRAME_LIMIT_BYTES:
                raise MalformedFrameError(
                    f"a frame of {size} bytes; at most {FRAME_LIMIT_BYTES} are taken"
                )
            end = at + LENGTH_PREFIX_BYTES + size
            if len(self.buffer) < end:
                break
            found.append(decode(bytes(self.buffer[at + LENGTH_PREFIX_BYTES : end])))
            at = end
        del self.buffer[:at]
        return found
