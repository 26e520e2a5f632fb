"""Messages that arrive at the source during a migration.

They are buffered in order, and in the tail forwarded to the target. None of them is
accepted while it is buffered, so a failure here breaks no promise: a client without an
answer submits its message again.
"""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.states import Actions, Limits, MessageArrived, MigrationState


@dataclass(slots=True)
class BufferedMessages:
    """The buffer, and the tail that empties it.

    All handlers take an event and the time now, in microseconds of the local clock.
    """

    migration_id: w.MigrationId
    limits: Limits
    state: MigrationState = MigrationState.HELD
    stamp_us: int = 0
    """The target's newest stamp."""
    heard_us: int = 0
    """When that stamp arrived, by the local clock."""
    buffered: tuple[MessageArrived, ...] = ()
    in_flight: MessageArrived | None = None
    """Forwarded and not answered."""
    number: int = 0
    """Its number; one that was given up is never used again."""
    no_connections_left: bool = False
    """Whether each connection that brought messages of the key is closed."""

    def finish_tail(self, event: object, now_us: int) -> Actions:
        """End the tail."""
        raise NotImplementedError

    def accept_directly(self, event: MessageArrived, _now_us: int) -> Actions:
        """Accept a message: this member still owns the session."""
        return (s.AcceptMessage(event.item),)

    def buffer_message(self, event: MessageArrived, now_us: int) -> Actions:
        """Buffer a message, or reject it where the buffer is full."""
        size = sum(m.item.size for m in self.buffered) + event.item.size
        is_full = len(self.buffered) >= self.limits.hold_messages
        if is_full or size > self.limits.hold_bytes:
            return self.reject_message(event, now_us)
        self.buffered = (*self.buffered, event)
        self.no_connections_left = False
        return self._continue_tail(now_us)

    def reject_message(self, event: MessageArrived, _now_us: int) -> Actions:
        """Reject a message."""
        return (s.RejectMessage(event.item.id, self.limits.refuse_us),)

    def discard_message(self, event: s.ClientDisconnected, now_us: int) -> Actions:
        """Drop a message whose client has left."""
        self.buffered = tuple(m for m in self.buffered if m.item.id != event.id)
        if self.in_flight is not None and self.in_flight.item.id == event.id:
            # Nobody needs to know any more whether it was accepted.
            self.in_flight = None
        return self._continue_tail(now_us)

    def _continue_tail(self, now_us: int) -> Actions:
        if self.state is not MigrationState.TAIL:
            return ()
        return self._forward_next(now_us)

    def _reject_overdue(self, now_us: int) -> Actions:
        """Reject what was buffered for `hold_us`, before its client leaves.

        A message that was forwarded cannot be rejected any more: it is given up.
        """
        overdue = {m for m in self.buffered if self._is_overdue(m, now_us)}
        self.buffered = tuple(m for m in self.buffered if m not in overdue)
        if self.in_flight is not None and self._is_overdue(self.in_flight, now_us):
            self.in_flight = None
        return tuple(
            s.RejectMessage(m.item.id, self.limits.refuse_us)
            for m in sorted(overdue, key=lambda m: m.arrived_at_us)
        )

    def _is_overdue(self, message: MessageArrived, now_us: int) -> bool:
        return now_us - message.arrived_at_us >= self.limits.hold_us

    # The tail forwards one message at a time, so that none overtakes another.

    def _forward_next(self, now_us: int) -> Actions:
        if self.in_flight is None and self.buffered:
            self.in_flight = self.buffered[0]
            self.buffered = self.buffered[1:]
            self.number += 1
            return self._send_tail_message(now_us)
        if self.no_connections_left and self.in_flight is None:
            return self.finish_tail(None, now_us)
        return ()

    def _send_tail_message(self, _now_us: int) -> Actions:
        if self.in_flight is None:
            return ()
        item = w.with_relative_times(self.in_flight.item, self.heard_us)
        valid_until_us = self.in_flight.arrived_at_us + self.limits.hold_us
        frame = w.TailMessage(
            self.migration_id,
            self.stamp_us,
            self.number,
            valid_until_us - self.heard_us,
            item,
        )
        return (s.Send(frame),)

    def record_tail_result(self, event: w.TailMessageResult, now_us: int) -> Actions:
        """Answer the client of the message in flight, and forward the next one."""
        if event.number != self.number or self.in_flight is None:
            return ()
        if event.stamp_us < self.stamp_us:
            # The target restarted since, and may accept the message after all.
            return ()
        self.stamp_us = event.stamp_us
        self.heard_us = now_us
        if event.outcome == "again":
            return self._send_tail_message(now_us)
        message_id = self.in_flight.item.id
        self.in_flight = None
        return self._answer(message_id, event.outcome), *self._forward_next(now_us)

    def _answer(self, message_id: str, outcome: w.TailOutcome) -> s.Action:
        if outcome == "taken":
            return s.AnswerAccepted(message_id)
        return s.RejectMessage(message_id, self.limits.refuse_us)
