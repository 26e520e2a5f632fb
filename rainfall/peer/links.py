"""The state machine of one link between two forwarders, without I/O.

A link is one connection. Both sides send `Hello` first. A hello with an older lease token
than the highest one seen of that peer is rejected; the rejection fences off a process that
was suspended, or a second process of the same name. When the link ends, the outcome of each
forwarded message without an answer is `unknown`: the peer may have accepted the message,
so its client gets no answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from rainfall.peer import frames as peer_frames
from rainfall.session.protocol import LeaseToken, with_relative_times

NO_LEASE: LeaseToken = (0, 0)
"""The lease token in the hello of a peer without a lease."""
UNKNOWN_OUTCOME = "unknown"


@dataclass(frozen=True, slots=True)
class WriteBytes:
    """Write `data` to the connection."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FrameReceived:
    """Pass a frame that the peer sent to the local forwarder."""

    frame: msgspec.Struct


@dataclass(frozen=True, slots=True)
class CloseLink:
    """Close the connection; the reason is one line for the log."""

    reason: str


@dataclass(frozen=True, slots=True)
class ForwardOutcome:
    """The outcome of a forwarded message.

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
        """Record a peer's lease token; returns False if a higher one was seen.

        A peer without a lease is accepted: it may still report the messages it stores
        and send requests.
        """
        if lease_token == NO_LEASE:
            return True
        if lease_token < self.highest_tokens.get(name, NO_LEASE):
            return False
        self.highest_tokens[name] = lease_token
        return True


@dataclass(slots=True)
class Link:
    """The state of a link; all times are microseconds of one local clock.

    `expected_name` is the peer's name for an outgoing connection, and empty for an
    incoming one.
    """

    own_hello: peer_frames.Hello
    known_leases: KnownLeases
    expected_name: str = ""
    max_unwritten_bytes: int = 4 << 20
    """Frames are dropped while at least this many bytes wait to be written."""
    max_pending: int = 1_024
    """Limit of forwarded messages without an answer."""
    silence_timeout_us: int = 2_000_000
    """The link is closed after this time without data.

    A peer sends several capacity reports within it.
    """
    peer: peer_frames.Hello | None = None
    last_received_us: int = 0
    peer_stamp_us: int = 0
    """The `stamp_us` of the newest capacity report, by the peer's clock."""
    peer_stamp_received_us: int = 0
    """When the newest capacity report arrived, by the local clock; 0 before the first."""
    unwritten_bytes: int = 0
    last_sent_number: int = 0
    last_received_number: int = 0
    """The highest number of a message that the peer forwarded."""
    pending: dict[int, None] = field(default_factory=dict)
    """Numbers of forwarded messages without an answer, in the order of sending."""
    closed: bool = False
    splitter: peer_frames.FrameSplitter = field(
        default_factory=peer_frames.FrameSplitter
    )

    def on_opened(self, now_us: int) -> list[LinkAction]:
        """Send the hello; called when the connection is open."""
        self.last_received_us = now_us
        return [WriteBytes(self._encode(self.own_hello))]

    def on_data(self, data: bytes, now_us: int) -> list[LinkAction]:
        """Process bytes from the connection."""
        if self.closed:
            return []
        self.last_received_us = now_us
        try:
            frames = self.splitter.feed(data)
        except peer_frames.MalformedFrameError as error:
            return self.close(f"sent a malformed frame: {error}")
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
            case peer_frames.Hello():
                return self.close("sent a second hello")
            case peer_frames.CapacityReport():
                self.peer_stamp_us = frame.stamp_us
                self.peer_stamp_received_us = now_us
            case peer_frames.Forward():
                last_number = self.last_received_number
                if frame.number <= last_number:
                    return self.close(
                        f"forwarded message number {frame.number} after {last_number}"
                    )
                self.last_received_number = frame.number
            case peer_frames.Forwarded():
                return self._handle_answer(frame)
        return [FrameReceived(frame)]

    def _handle_answer(self, answer: peer_frames.Forwarded) -> list[LinkAction]:
        if answer.number not in self.pending:
            return []
        del self.pending[answer.number]
        return [ForwardOutcome(answer.number, answer.outcome, answer.retry_after_us)]

    def _handle_hello(self, frame: msgspec.Struct) -> list[LinkAction]:
        if not isinstance(frame, peer_frames.Hello):
            return self.close("sent another frame before its hello")
        if frame.version != peer_frames.PROTOCOL_VERSION:
            return self.close(
                f"uses protocol version {frame.version}, not {peer_frames.PROTOCOL_VERSION}"
            )
        if frame.name == self.own_hello.name or self.expected_name not in (
            "",
            frame.name,
        ):
            return self.close(
                f"reports the name {frame.name}, expected {self.expected_name or 'another'}"
            )
        if not self.known_leases.accept_token(frame.name, frame.lease_token):
            return self.close(f"{frame.name} has an outdated lease token")
        self.peer = frame
        return [FrameReceived(frame)]

    def send(self, frame: msgspec.Struct) -> list[LinkAction] | None:
        """Return the actions that send a frame.

        Returns None, and drops the frame, if the hello of the peer is missing, the link
        is closed, or `max_unwritten_bytes` is reached.
        """
        if self.closed or self.peer is None:
            return None
        if self.unwritten_bytes >= self.max_unwritten_bytes:
            return None
        return [WriteBytes(self._encode(frame))]

    def forward(
        self, frame: peer_frames.Forward
    ) -> tuple[int, list[LinkAction]] | None:
        """Forward a message; its deadline is given by the local clock.

        Returns the message's number, which its `ForwardOutcome` carries, and the actions.
        Returns None if nothing was sent; the caller may then reject the message or send
        it elsewhere.
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
        data = peer_frames.encode(frame)
        self.unwritten_bytes += len(data)
        return data

    def on_written(self, size: int) -> None:
        """Record that `size` bytes were written to the connection."""
        self.unwritten_bytes -= size

    def tick(self, now_us: int) -> list[LinkAction]:
        """Close the link after `silence_timeout_us` without data; to be called regularly."""
        if (
            not self.closed
            and now_us - self.last_received_us >= self.silence_timeout_us
        ):
            return self.close("sent no data within the silence timeout")
        return []

    def close(self, reason: str) -> list[LinkAction]:
        """Close the link; called when the connection is broken or must be closed.

        The first call returns the actions; later calls return an empty list.
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
