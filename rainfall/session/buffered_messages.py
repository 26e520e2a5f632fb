"""Messages that arrive at the source during a migration.

They are buffered in order, and forwarded to the target in the tail. No message is
accepted while it is buffered, so a failure here loses no accepted message: a client
without an answer submits its message again.
"""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.states import Actions, Limits, MessageArrived, MigrationState


@dataclass(slots=True)
class BufferedMessages:
    """The buffer of the source, and the tail that forwards its messages.

    All handlers take an event and the time now, in microseconds of the local clock.
    """

    migration_id: w.MigrationId
    limits: Limits
    state: MigrationState = MigrationState.HELD
    stamp_us: int = 0
    """The target's newest stamp, in microseconds of the target's clock."""
    heard_us: int = 0
    """When that stamp arrived, by the local clock."""
    buffered: tuple[MessageArrived, ...] = ()
    in_flight: MessageArrived | None = None
    """The message that was forwarded and not answered yet."""
    number: int = 0
    """Number of the message in flight; a number that was given up is never reused."""
    no_connections_left: bool = False
    """Whether all connections that brought messages of the key are closed."""

    def finish_tail(self, event: object, now_us: int) -> Actions:
        """Send the end of the tail to the target and finish."""
        raise NotImplementedError

    def accept_directly(self, event: MessageArrived, _now_us: int) -> Actions:
        """Accept a message: this member still owns the session."""
        return (s.AcceptMessage(event.item),)

    def buffer_message(self, event: MessageArrived, now_us: int) -> Actions:
        """Buffer a message, or reject it where the buffer is full."""
        size = sum(message.item.size for message in self.buffered) + event.item.size
        is_full = len(self.buffered) >= self.limits.hold_messages
        if is_full or size > self.limits.hold_bytes:
            return self.reject_message(event, now_us)
        self.buffered = (*self.buffered, event)
        self.no_connections_left = False
        return self._continue_tail(now_us)

    def reject_message(self, event: MessageArrived, _now_us: int) -> Actions:
        """Reject a message with a Retry-After of `refuse_us`."""
        return (s.RejectMessage(event.item.id, self.limits.refuse_us),)

    def discard_message(self, event: s.ClientDisconnected, now_us: int) -> Actions:
        """Drop a message whose client has disconnected."""
        self.buffered = tuple(
            message for message in self.buffered if message.item.id != event.id
        )
        if self.in_flight is not None and self.in_flight.item.id == event.id:
            # No client is waiting for the result of this message any more.
            self.in_flight = None
        return self._continue_tail(now_us)

    def _continue_tail(self, now_us: int) -> Actions:
        if self.state is not MigrationState.TAIL:
            return ()
        return self._forward_next(now_us)

    def _reject_overdue(self, now_us: int) -> Actions:
        """Reject messages buffered for `hold_us`, before their clients disconnect.

        A forwarded message can no longer be rejected, as the target may accept it; it is
        given up without an answer.
        """
        overdue = {
            message for message in self.buffered if self._is_overdue(message, now_us)
        }
        self.buffered = tuple(
            message for message in self.buffered if message not in overdue
        )
        if self.in_flight is not None and self._is_overdue(self.in_flight, now_us):
            self.in_flight = None
        return tuple(
            s.RejectMessage(message.item.id, self.limits.refuse_us)
            for message in sorted(overdue, key=lambda message: message.arrived_at_us)
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
            # The target has restarted since and may still accept the message.
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
