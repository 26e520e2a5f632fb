"""One link between two forwarders, without I/O: who is at the other end, whether it
lives, and what is owed.

A link is one connection. Both say `Hello` first; a name that was seen under a later
lease is refused, so a process that was stopped and woke up, or a second one of that
name, is not heard. When the link ends, every forwarded message without an answer is
`unknown`: it may have been taken on, and its client is left alone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from rainfall.peer import frames as f
from rainfall.session.words import Life, leaving

NOBODY: Life = (0, 0)


@dataclass(frozen=True, slots=True)
class Write:
    data: bytes


@dataclass(frozen=True, slots=True)
class Heard:
    frame: msgspec.Struct


@dataclass(frozen=True, slots=True)
class Close:
    """The link is over; `why` is one line for the log."""

    why: str


@dataclass(frozen=True, slots=True)
class Became:
    """A forwarded message's end here: `taken` (202), `refused` (503) or `unknown` (no
    answer).
    """

    number: int
    how: str
    retry_after_us: int = 0


Do = Write | Heard | Close | Became


@dataclass(slots=True)
class Seen:
    """The highest lease seen of each name, shared by all links of a process."""

    lives: dict[str, Life] = field(default_factory=dict)

    def fresh(self, name: str, life: Life) -> bool:
        """False for one that is over. A peer without a lease is heard: it may say what
        it holds, and asks.
        """
        if life == NOBODY:
            return True
        if life < self.lives.get(name, NOBODY):
            return False
        self.lives[name] = life
        return True


@dataclass(slots=True)
class Link:
    """`expected`: the name that was dialled, "" for a link that came to us. All times
    are of one clock.
    """

    me: f.Hello
    seen: Seen
    expected: str = ""
    most_bytes: int = 4 << 20
    """What may wait to be written; past it nothing is sent but by saying so."""
    most_pending: int = 1_024
    silent_us: int = 2_000_000
    """The other side says `Room` several times in this time."""
    peer: f.Hello | None = None
    heard_us: int = 0
    stamp_us: int = 0
    """The other side's newest stamp, and when it came."""
    stamped_us: int = 0
    unwritten: int = 0
    number: int = 0
    last: int = 0
    """The highest number that the other side forwarded under."""
    pending: dict[int, None] = field(default_factory=dict)
    over: bool = False
    splitter: f.Splitter = field(default_factory=f.Splitter)

    def opened(self, now_us: int) -> list[Do]:
        self.heard_us = now_us
        return [Write(self._bytes(self.me))]

    def fed(self, data: bytes, now_us: int) -> list[Do]:
        """Bytes came."""
        if self.over:
            return []
        self.heard_us = now_us
        try:
            found = self.splitter.feed(data)
        except f.Malformed as error:
            return self.ended(f"cannot be read: {error}")
        done: list[Do] = []
        for frame in found:
            done += self._take(frame, now_us)
            if self.over:
                break
        return done

    def _take(self, frame: msgspec.Struct, now_us: int) -> list[Do]:
        if self.peer is None:
            return self._greet(frame)
        match frame:
            case f.Hello():
                return self.ended("said hello twice")
            case f.Room(stamp_us=stamp):
                self.stamp_us, self.stamped_us = stamp, now_us
            case f.Forward(number=number):
                if number <= self.last:
                    return self.ended(f"forwarded {number} after {self.last}")
                self.last = number
            case f.Forwarded(number=number, how=how, retry_after_us=wait):
                known = number in self.pending
                self.pending.pop(number, None)
                return [Became(number, how, wait)] if known else []
        return [Heard(frame)]

    def _greet(self, frame: msgspec.Struct) -> list[Do]:
        if not isinstance(frame, f.Hello):
            return self.ended("did not say hello first")
        if frame.version != f.VERSION:
            return self.ended(f"speaks version {frame.version}, not {f.VERSION}")
        if frame.name == self.me.name or self.expected not in ("", frame.name):
            return self.ended(f"is {frame.name}, not {self.expected or 'another'}")
        if not self.seen.fresh(frame.name, frame.life):
            return self.ended(f"{frame.name} comes under a lease that is over")
        self.peer = frame
        return [Heard(frame)]

    def send(self, frame: msgspec.Struct) -> list[Do] | None:
        """What to write; None where the link is not up, is over, or has too much
        waiting: as good as lost.
        """
        if self.over or self.peer is None or self.unwritten >= self.most_bytes:
            return None
        return [Write(self._bytes(frame))]

    def forward(self, frame: f.Forward) -> tuple[int, list[Do]] | None:
        """Send it (its due by our clock) under the next number; its end comes as
        `Became`. None: nothing was sent, and it may be refused or go elsewhere.
        """
        if len(self.pending) >= self.most_pending or not self.stamped_us:
            return None
        sent = self.send(
            msgspec.structs.replace(
                frame,
                number=self.number + 1,
                stamp_us=self.stamp_us,
                item=leaving(frame.item, self.stamped_us),
            )
        )
        if sent is None:
            return None
        self.number += 1
        self.pending[self.number] = None
        return self.number, sent

    def _bytes(self, frame: msgspec.Struct) -> bytes:
        data = f.encode(frame)
        self.unwritten += len(data)
        return data

    def written(self, size: int) -> None:
        """So many bytes have left."""
        self.unwritten -= size

    def tick(self, now_us: int) -> list[Do]:
        if not self.over and now_us - self.heard_us >= self.silent_us:
            return self.ended("is silent")
        return []

    def ended(self, why: str) -> list[Do]:
        """The connection broke, or has to. Said once."""
        if self.over:
            return []
        self.over = True
        unknown, self.pending = list(self.pending), {}
        name = self.peer.name if self.peer is not None else "peer"
        return [*(Became(n, "unknown") for n in unknown), Close(f"{name} {why}")]
