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

from rainfall.session import words as w
from rainfall.session.words import Count, Item, Name, Text, Time

VERSION = 1
FRAME = 131_072
"""Bytes of a frame at most: a whole body of 64 KiB and all that may stand beside it,
with room to spare.
"""
HEAD = 4


class Malformed(ValueError):
    """A frame that cannot be taken; the text is one line and names the field by its
    path.
    """


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first frame of each side."""

    version: Count
    name: Name
    site: Text
    life: w.Life
    """The sender's lease token, or (0, 0) while it holds none."""


class Room(msgspec.Struct, frozen=True, array_like=True, tag="room"):
    """What the sender has room for, and its stamp, from which times in frames to it
    count. It lives.
    """

    stamp_us: Time
    sessions: Count
    bytes: Count
    load: Annotated[float, Meta(ge=0, le=1e6)]
    draining: bool
    endpoints: bool


class Forward(msgspec.Struct, frozen=True, array_like=True, tag="forward"):
    """A message of a key that the sender does not own. Its due counts from `stamp_us`,
    the receiver's own.
    """

    number: Count
    key: Name
    generation: Count
    """Of the map that the sender goes by."""
    came: Annotated[tuple[Name, ...], Meta(max_length=4)]
    """Who has passed it on, the sender last."""
    stamp_us: Time
    item: Item
    resent: bool = False


class Forwarded(msgspec.Struct, frozen=True, array_like=True, tag="forwarded"):
    """What became of it: taken on (its client is owed 202), or refused and not taken on
    anywhere (503).
    """

    number: Count
    how: Literal["taken", "refused"]
    retry_after_us: Count = 0
    generation: Count = 0


class Moved(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """The session of this key is with `owner` since its hand-over number `moves`."""

    key: Name
    owner: Name
    moves: Count


AnyFrame = Hello | Room | Forward | Forwarded | Moved | w.ToTaker | w.ToGiver
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyFrame] = msgspec.msgpack.Decoder(AnyFrame)


def encode(frame: msgspec.Struct) -> bytes:
    """With its length in front. Malformed where it would be too long for the other side
    to take.
    """
    data = _encoder.encode(frame)
    if len(data) > FRAME:
        raise Malformed(f"a frame of {len(data)} bytes; at most {FRAME} are taken")
    return len(data).to_bytes(HEAD, "big") + data


def decode(data: bytes | memoryview) -> AnyFrame:
    """One frame without its length."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise Malformed(str(error) or "nested too deep") from None


class Splitter:
    """Bytes as they come, to frames. It holds one frame at most."""

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[AnyFrame]:
        """The frames that are whole now. Malformed ends the stream: what follows cannot
        be told apart.
        """
        self.held += data
        found: list[AnyFrame] = []
        at = 0
        while len(self.held) - at >= HEAD:
            size = int.from_bytes(self.held[at : at + HEAD], "big")
            if size > FRAME:
                raise Malformed(f"a frame of {size} bytes; at most {FRAME} are taken")
            end = at + HEAD + size
            if len(self.held) < end:
                break
            found.append(decode(bytes(self.held[at + HEAD : end])))
            at = end
        del self.held[:at]
        return found
