"""One link between two forwarders, without I/O.

A link is one connection. Both sides send `Hello` first; a peer that was seen under a
later lease is not accepted, so a process that was suspended, or a second one of that
name, cannot go on. When the link ends, the outcome of each forwarded message without an
answer is `unknown`: it may have been accepted, so its client gets no answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from rainfall.peer import frames as f
from rainfall.session.protocol import LeaseToken, with_relative_times

NO_LEASE: LeaseToken = (0, 0)
"""The token in the hello of a peer that holds no lease."""
UNKNOWN_OUTCOME = "unknown"


@dataclass(frozen=True, slots=True)
class WriteBytes:
    """Write to the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """Handle a frame from the peer."""

    frame: msgspec.Struct


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the connection; the reason is one line for the log."""

    reason: str


@dataclass(frozen=True, slots=True)
class ForwardOutcome:
    """How a forwarded message ended.

    `outcome` is `taken` (the client gets 202), `refused` (503) or `unknown` (no answer).
    """

    number: int
    outcome: str
    retry_after_us: int = 0


LinkAction = WriteBytes | FrameReceived | CloseLink | ForwardOutcome


@dataclass(slots=True)
class KnownLeases:
    """The highest lease token seen of each peer, shared by all links of a process."""

    highest_tokens: dict[str, LeaseToken] = field(default_factory=dict)

    def accept_token(self, name: str, lease_token: LeaseToken) -> bool:
        """Note a peer's lease token; returns False where a later one was seen.

        A peer without a lease is accepted: it may report what it stores, and ask.
        """
        if lease_token == NO_LEASE:
            return True
        if lease_token < self.highest_tokens.get(name, NO_LEASE):
            return False
        self.highest_tokens[name] = lease_token
        return True


@dataclass(slots=True)
class Link:
    """The state of a link; all times are microseconds of one clock.

    `expected` is the peer's name for a connection that was dialled, and empty for one
    that was accepted.
    """

    own_hello: f.Hello
    known_leases: KnownLeases
    expected: str = ""
    max_unwritten_bytes: int = 4 << 20
    """Nothing is sent while so much waits to be written."""
    max_pending: int = 1_024
    """Forwarded messages without an answer."""
    silence_timeout_us: int = 2_000_000
    """A peer sends several capacity reports within that time."""
    peer: f.Hello | None = None
    last_heard_us: int = 0
    peer_stamp_us: int = 0
    """The peer's newest stamp."""
    peer_stamp_received_us: int = 0
    """When it arrived, by the local clock."""
    unwritten_bytes: int = 0
    last_sent_number: int = 0
    last_received_number: int = 0
    """The highest number of a message that the peer forwarded."""
    pending: dict[int, None] = field(default_factory=dict)
    """Numbers of forwarded messages without an answer, in order."""
    closed: bool = False
    splitter: f.FrameSplitter = field(default_factory=f.FrameSplitter)

    def on_opened(self, now_us: int) -> list[LinkAction]:
        """Greet the peer: the connection is open."""
        self.last_heard_us = now_us
        return [WriteBytes(self._encode(self.own_hello))]

    def on_data(self, data: bytes, now_us: int) -> list[LinkAction]:
        """Handle bytes from the connection."""
        if self.closed:
            return []
        self.last_heard_us = now_us
        try:
            frames = self.splitter.feed(data)
        except f.MalformedFrameError as error:
            return self.close(f"cannot be read: {error}")
        actions: list[LinkAction] = []
        for frame in frames:
            actions += self._handle_frame(frame, now_us)
            if self.closed:
                break
        return actions

    def _handle_frame(self, frame: msgspec.Struct, now_us: int) -> list[LinkAction]:
        if self.peer is None:
            return self._handle_hello(frame)
        match frame:
            case f.Hello():
                return self.close("said hello twice")
            case f.CapacityReport():
                self.peer_stamp_us = frame.stamp_us
                self.peer_stamp_received_us = now_us
            case f.Forward():
                last_number = self.last_received_number
                if frame.number <= last_number:
                    return self.close(f"forwarded {frame.number} after {last_number}")
                self.last_received_number = frame.number
            case f.Forwarded():
                return self._handle_answer(frame)
        return [FrameReceived(frame)]

    def _handle_answer(self, answer: f.Forwarded) -> list[LinkAction]:
        if answer.number not in self.pending:
            return []
        del self.pending[answer.number]
        return [ForwardOutcome(answer.number, answer.outcome, answer.retry_after_us)]

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
        """Return the actions that send a frame.

        None: the link is not up, is closed, or has too much to write, so the frame counts
        as lost.
        """
        if self.closed or self.peer is None:
            return None
        if self.unwritten_bytes >= self.max_unwritten_bytes:
            return None
        return [WriteBytes(self._encode(frame))]

    def forward(self, frame: f.Forward) -> tuple[int, list[LinkAction]] | None:
        """Forward a message, with its deadline by the local clock.

        Returns its number, which the later `ForwardOutcome` names, and the actions. None:
        nothing was sent, and the message may be rejected or sent elsewhere.
        """
        if len(self.pending) >= self.max_pending or not self.peer_stamp_received_us:
            return None
        number = self.last_sent_number + 1
        numbered = msgspec.structs.replace(
            frame,
            number=number,
            stamp_us=self.peer_stamp_us,
            item=with_relative_times(frame.item, self.peer_stamp_received_us),
        )
        actions = self.send(numbered)
        if actions is None:
            return None
        self.last_sent_number = number
        self.pending[number] = None
        return number, actions

    def _encode(self, frame: msgspec.Struct) -> bytes:
        data = f.encode(frame)
        self.unwritten_bytes += len(data)
        return data

    def on_written(self, size: int) -> None:
        """Note that the connection has taken so many bytes."""
        self.unwritten_bytes -= size

    def tick(self, now_us: int) -> list[LinkAction]:
        """Close the link of a silent peer; to be called regularly."""
        if not self.closed and now_us - self.last_heard_us >= self.silence_timeout_us:
            return self.close("is silent")
        return []

    def close(self, reason: str) -> list[LinkAction]:
        """Close the link, whose connection is broken or has to be closed.

        The first call returns the actions, any later one none.
        """
        if self.closed:
            return []
        self.closed = True
        unanswered = list(self.pending)
        self.pending = {}
        name = self.peer.name if self.peer is not None else "peer"
        return [
            *(ForwardOutcome(number, UNKNOWN_OUTCOME) for number in unanswered),
            CloseLink(f"{name} {reason}"),
        ]
