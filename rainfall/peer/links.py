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
from rainfall.session.protocol import LeaseToken, with_relative_times

NO_LEASE: LeaseToken = (0, 0)


@dataclass(frozen=True, slots=True)
class WriteBytes:
    data: bytes


@dataclass(frozen=True, slots=True)
class FrameReceived:
    frame: msgspec.Struct


@dataclass(frozen=True, slots=True)
class CloseLink:
    """The link is over; `why` is one line for the log."""

    reason: str


@dataclass(frozen=True, slots=True)
class ForwardOutcome:
    """A forwarded message's end here: `taken` (202), `refused` (503) or `unknown` (no
    answer).
    """

    number: int
    outcome: str
    retry_after_us: int = 0


LinkAction = WriteBytes | FrameReceived | CloseLink | ForwardOutcome


@dataclass(slots=True)
class KnownLeases:
    """The highest lease seen of each name, shared by all links of a process."""

    highest_tokens: dict[str, LeaseToken] = field(default_factory=dict)

    def accept_token(self, name: str, life: LeaseToken) -> bool:
        """False for one that is over.

        A peer without a lease is heard: it may say what it holds, and asks.
        """
        if life == NO_LEASE:
            return True
        if life < self.highest_tokens.get(name, NO_LEASE):
            return False
        self.highest_tokens[name] = life
        return True


@dataclass(slots=True)
class Link:
    """`expected`: the name that was dialled, "" for a link that came to us.

    All times are of one clock.
    """

    own_hello: f.Hello
    known_leases: KnownLeases
    expected: str = ""
    max_unwritten_bytes: int = 4 << 20
    """What may wait to be written; past it nothing is sent but by saying so."""
    max_pending: int = 1_024
    silence_timeout_us: int = 2_000_000
    """The other side says `Room` several times in this time."""
    peer: f.Hello | None = None
    last_heard_us: int = 0
    peer_stamp_us: int = 0
    """The other side's newest stamp, and when it came."""
    peer_stamp_received_us: int = 0
    unwritten_bytes: int = 0
    last_sent_number: int = 0
    last_received_number: int = 0
    """The highest number that the other side forwarded under."""
    pending: dict[int, None] = field(default_factory=dict)
    closed: bool = False
    splitter: f.FrameSplitter = field(default_factory=f.FrameSplitter)

    def on_opened(self, now_us: int) -> list[LinkAction]:
        self.last_heard_us = now_us
        return [WriteBytes(self._encode(self.own_hello))]

    def on_data(self, data: bytes, now_us: int) -> list[LinkAction]:
        """Bytes came."""
        if self.closed:
            return []
        self.last_heard_us = now_us
        try:
            found = self.splitter.feed(data)
        except f.MalformedFrameError as error:
            return self.close(f"cannot be read: {error}")
        done: list[LinkAction] = []
        for frame in found:
            done += self._handle_frame(frame, now_us)
            if self.closed:
                break
        return done

    def _handle_frame(self, frame: msgspec.Struct, now_us: int) -> list[LinkAction]:
        if self.peer is None:
            return self._handle_hello(frame)
        match frame:
            case f.Hello():
                return self.close("said hello twice")
            case f.CapacityReport(stamp_us=stamp):
                self.peer_stamp_us, self.peer_stamp_received_us = stamp, now_us
            case f.Forward(number=number):
                if number <= self.last_received_number:
                    return self.close(
                        f"forwarded {number} after {self.last_received_number}"
                    )
                self.last_received_number = number
            case f.Forwarded(number=number, outcome=how, retry_after_us=wait):
                known = number in self.pending
                self.pending.pop(number, None)
                return [ForwardOutcome(number, how, wait)] if known else []
        return [FrameReceived(frame)]

    def _handle_hello(self, frame: msgspec.Struct) -> list[LinkAction]:
        if not isinstance(frame, f.Hello):
            return self.close("did not say hello first")
        if frame.version != f.PROTOCOL_VERSION:
            return self.close(
                f"speaks version {frame.version}, not {f.PROTOCOL_VERSION}"
            )
        if frame.name == self.own_hello.name or self.expected not in ("", frame.name):
            return self.close(f"is {frame.name}, not {self.expected or 'another'}")
        if not self.known_leases.accept_token(frame.name, frame.lease_token):
            return self.close(f"{frame.name} comes under a lease that is over")
        self.peer = frame
        return [FrameReceived(frame)]

    def send(self, frame: msgspec.Struct) -> list[LinkAction] | None:
        """What to write; None where the link is not up, is over, or has too much
        waiting: as good as lost.
        """
        if (
            self.closed
            or self.peer is None
            or self.unwritten_bytes >= self.max_unwritten_bytes
        ):
            return None
        return [WriteBytes(self._encode(frame))]

    def forward(self, frame: f.Forward) -> tuple[int, list[LinkAction]] | None:
        """Send it (its due by our clock) under the next number; its end comes as
        `Became`. None: nothing was sent, and it may be refused or go elsewhere.
        """
        if len(self.pending) >= self.max_pending or not self.peer_stamp_received_us:
            return None
        sent = self.send(
            msgspec.structs.replace(
                frame,
                number=self.last_sent_number + 1,
                stamp_us=self.peer_stamp_us,
                item=with_relative_times(frame.item, self.peer_stamp_received_us),
            )
        )
        if sent is None:
            return None
        self.last_sent_number += 1
        self.pending[self.last_sent_number] = None
        return self.last_sent_number, sent

    def _encode(self, frame: msgspec.Struct) -> bytes:
        data = f.encode(frame)
        self.unwritten_bytes += len(data)
        return data

    def on_written(self, size: int) -> None:
        """So many bytes have left."""
        self.unwritten_bytes -= size

    def tick(self, now_us: int) -> list[LinkAction]:
        if not self.closed and now_us - self.last_heard_us >= self.silence_timeout_us:
            return self.close("is silent")
        return []

    def close(self, why: str) -> list[LinkAction]:
        """The connection broke, or has to. Said once."""
        if self.closed:
            return []
        self.closed = True
        unknown, self.pending = list(self.pending), {}
        name = self.peer.name if self.peer is not None else "peer"
        return [
            *(ForwardOutcome(n, "unknown") for n in unknown),
            CloseLink(f"{name} {why}"),
        ]
