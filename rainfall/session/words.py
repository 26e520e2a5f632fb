"""What the two sides of a hand-over say to each other, and what each writes down first.

All are msgspec structs that stand on the wire and on disk as arrays with a tag; bodies
are raw bytes. Times in a frame are microseconds from the zero point the frame names,
never another machine's clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

BODY = 65_536  # bytes of a message's body at most
# bytes of one Copy frame's content at most: a whole body and all beside it fit
PART = 72_000
ITEMS = 4_096  # messages or remembered ids in one frame at most
PER_ITEM = 400  # what an item costs beside its body and names

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Text = Annotated[str, Meta(max_length=200)]
Count = Annotated[int, Meta(ge=0, lt=1 << 53)]
Body = Annotated[bytes, Meta(max_length=BODY)]
Time = Annotated[int, Meta(gt=-(1 << 60), lt=1 << 60)]
Life = tuple[Count, Count]
"""A member's lease token, `(epoch, number)`; a later life of the same name is
higher.
"""


class Hand(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One hand-over's name. For one giver names only grow: its lease token, then a
    count within it.
    """

    giver: Name
    epoch: Count
    life: Count
    count: Count

    def __str__(self) -> str:
        return f"{self.giver}.{self.epoch}.{self.life}.{self.count}"


class Item(msgspec.Struct, frozen=True, array_like=True):
    """A message as it goes over. `ran_us` is when it first may have run, None where it
    cannot have.
    """

    id: Name
    class_name: Text
    destination: Count
    due_us: Time
    body: Body = b""
    idempotency: Text | None = None
    tenant: Text | None = None
    attempts: Count = 0
    most_attempts: Count = 0
    ran_us: Time | None = None
    ran_on: Text = ""

    @property
    def size(self) -> int:
        return len(self.body) + len(self.id) + len(self.idempotency or "") + PER_ITEM


def leaving(item: Item, zero_us: int) -> Item:
    """With its times counted from when the other side's stamp was heard (our clock,
    `zero_us`).
    """
    ran = None if item.ran_us is None else item.ran_us - zero_us
    return msgspec.structs.replace(item, due_us=item.due_us - zero_us, ran_us=ran)


def arriving(item: Item, stamp_us: int, drift: float) -> Item:
    """With its times by our clock, in which `stamp_us` was given. The stamp was heard
    later than it was given, so no time comes out later than it truly is; the drift of
    two clocks is taken off as well.
    """
    ran = None if item.ran_us is None else our_time(item.ran_us, stamp_us, drift)
    return msgspec.structs.replace(
        item, due_us=our_time(item.due_us, stamp_us, drift), ran_us=ran
    )


def our_time(told_us: int, stamp_us: int, drift: float) -> int:
    return stamp_us + told_us - round(abs(told_us) * drift)


Piece = tuple[tuple[Item, ...], tuple[str, ...]]


def in_parts(items: Iterable[Item], memory: Iterable[str]) -> Iterator[Piece]:
    """A session in pieces that each fit a frame, in order; one empty piece where there
    is nothing.
    """
    held: list[Item] = []
    ids: list[str] = []
    size, any_yet = 0, False
    both: tuple[Item | str, ...] = (*memory, *items)
    for one in both:
        more = one.size if isinstance(one, Item) else 4 * len(one) + 5
        if (held or ids) and (size + more > PART or len(held) + len(ids) >= ITEMS):
            yield tuple(held), tuple(ids)
            held, ids, size, any_yet = [], [], 0, True
        if isinstance(one, Item):
            held.append(one)
        else:
            ids.append(one)
        size += more
    if held or ids or not any_yet:
        yield tuple(held), tuple(ids)


class Frame(msgspec.Struct, frozen=True, array_like=True, tag=True):
    hand: Hand


class Offer(Frame, frozen=True, tag="offer"):
    """May I hand you this session? `moves`: how often it was handed over, this time
    included.
    """

    key: Name
    site: Text
    why: Text
    messages: Count
    bytes: Count
    moves: Count


class Accept(Frame, frozen=True, tag="accept"):
    stamp_us: Time


class No(Frame, frozen=True, tag="no"):
    """Not now. Either side may say it; it binds nobody."""

    why: Text = ""


class Copy(Frame, frozen=True, tag="copy"):
    stamp_us: Time
    part: Count
    parts: Annotated[int, Meta(ge=1, le=ITEMS)]
    items: Annotated[tuple[Item, ...], Meta(max_length=ITEMS)] = ()
    memory: Annotated[tuple[Name, ...], Meta(max_length=ITEMS)] = ()


class Copied(Frame, frozen=True, tag="copied"):
    """The copy is on disk. Said again by a taker that does not know what holds: it
    asks.
    """

    life: Life


class Commit(Frame, frozen=True, tag="commit"):
    """It is yours, if `life` is the lease that you hold now."""

    life: Life


class Begun(Frame, frozen=True, tag="begun"):
    stamp_us: Time


class Closed(Frame, frozen=True, tag="closed"):
    """The giver keeps nothing of it and can never take it back."""


class Drop(Frame, frozen=True, tag="drop"):
    """The giver wants it back and has not committed."""


class Dropped(Frame, frozen=True, tag="dropped"):
    """The taker has it on disk that it will never begin."""


class Forgot(Frame, frozen=True, tag="forgot"):
    """The giver has no record of it."""


class Pass(Frame, frozen=True, tag="pass"):
    stamp_us: Time
    number: Count
    until_us: Time
    """Its client may have left after that: it is not taken any more."""
    item: Item


class Passed(Frame, frozen=True, tag="passed"):
    number: Count
    how: Literal["taken", "refused", "again"]
    stamp_us: Time


class End(Frame, frozen=True, tag="end"):
    """No more will be passed on."""


ToTaker = Offer | No | Copy | Commit | Drop | Closed | Forgot | Pass | End
ToGiver = Accept | No | Copied | Begun | Dropped | Passed


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    hand: Hand


class Sealed(Record, frozen=True, tag="sealed"):
    key: Name
    taker: Name


class Committed(Record, frozen=True, tag="committed"):
    pass


class Gone(Record, frozen=True, tag="gone"):
    """The taker has begun: the session's messages are over here, without an end."""


class Back(Record, frozen=True, tag="back"):
    pass


class Stored(Record, frozen=True, tag="stored"):
    """The whole copy, with times by the taker's clock."""

    key: Name
    moves: Count
    items: tuple[Item, ...]
    memory: tuple[Name, ...]


class Began(Record, frozen=True, tag="began"):
    pass


class Shut(Record, frozen=True, tag="shut"):
    """It is the taker's for good."""


class Refused(Record, frozen=True, tag="refused"):
    """Neither this hand nor any before it of this giver is taken on from now on."""


class Took(Record, frozen=True, tag="took"):
    number: Count
    item: Item


GiverRecord = Sealed | Committed | Gone | Back
TakerRecord = Stored | Began | Shut | Refused | Took
AnyRecord = GiverRecord | TakerRecord

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyRecord] = msgspec.msgpack.Decoder(AnyRecord)


def pack(record: Record) -> bytes:
    return _encoder.encode(record)


def unpack(data: bytes) -> AnyRecord:
    """ValueError (msgspec's, which names the field) where it is no record."""
    return _decoder.decode(data)
