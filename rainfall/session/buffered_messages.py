"""Messages that come while a session is handed over: they wait in order, and in the
tail they are passed on.

None of them is taken on while it waits, so whatever dies here, no promise is broken: a
client that was not answered hands its message in again.
"""

from __future__ import annotations

from dataclasses import dataclass

from rainfall.session import protocol as w
from rainfall.session import states as s
from rainfall.session.states import Actions, Limits, MessageArrived, MigrationState


@dataclass(slots=True)
class BufferedMessages:
    migration_id: w.MigrationId
    limits: Limits
    state: MigrationState = MigrationState.HELD
    stamp_us: int = 0
    """The taker's newest stamp, and when we heard it."""
    heard_us: int = 0
    buffered: tuple[MessageArrived, ...] = ()
    in_flight: MessageArrived | None = None
    """Passed on, not answered."""
    number: int = 0
    """Its number; one that was given up is never used again."""
    no_connections_left: bool = False
    """No client's connection is left."""

    def finish_tail(self, event: object, now_us: int) -> Actions:
        raise NotImplementedError

    def accept_directly(self, event: MessageArrived, now_us: int) -> Actions:
        return (s.AcceptMessage(event.item),)

    def buffer_message(self, event: MessageArrived, now_us: int) -> Actions:
        size = sum(m.item.size for m in self.buffered) + event.item.size
        if (
            len(self.buffered) >= self.limits.hold_messages
            or size > self.limits.hold_bytes
        ):
            return self.reject_message(event, now_us)
        self.buffered, self.no_connections_left = (*self.buffered, event), False
        return self._forward_next(now_us) if self.state is MigrationState.TAIL else ()

    def reject_message(self, event: MessageArrived, now_us: int) -> Actions:
        return (s.RejectMessage(event.item.id, self.limits.refuse_us),)

    def discard_message(self, event: s.ClientDisconnected, now_us: int) -> Actions:
        self.buffered = tuple(m for m in self.buffered if m.item.id != event.id)
        if self.in_flight is not None and self.in_flight.item.id == event.id:
            # its number is never used again; whether it was taken, nobody needs to know
            self.in_flight = None
        return self._forward_next(now_us) if self.state is MigrationState.TAIL else ()

    def _reject_overdue(self, now_us: int) -> Actions:
        """Whoever has waited `hold_us` is refused, before its client leaves; one passed
        on cannot be.
        """
        overdue = {
            m for m in self.buffered if now_us - m.arrived_at_us >= self.limits.hold_us
        }
        self.buffered = tuple(m for m in self.buffered if m not in overdue)
        if (
            self.in_flight is not None
            and now_us - self.in_flight.arrived_at_us >= self.limits.hold_us
        ):
            self.in_flight = None
        return tuple(
            s.RejectMessage(m.item.id, self.limits.refuse_us)
            for m in sorted(overdue, key=lambda m: m.arrived_at_us)
        )

    # The tail: one message at a time is passed on, so that none overtakes another.

    def _forward_next(self, now_us: int) -> Actions:
        if self.in_flight is None and self.buffered:
            self.in_flight, *rest = self.buffered
            self.buffered, self.number = tuple(rest), self.number + 1
            return self._send_tail_message(now_us)
        if self.no_connections_left and self.in_flight is None:
            return self.finish_tail(None, now_us)
        return ()

    def _send_tail_message(self, now_us: int) -> Actions:
        if self.in_flight is None:
            return ()
        item = w.with_relative_times(self.in_flight.item, self.heard_us)
        until_us = self.in_flight.arrived_at_us + self.limits.hold_us - self.heard_us
        return (
            s.Send(
                w.TailMessage(
                    self.migration_id, self.stamp_us, self.number, until_us, item
                )
            ),
        )

    def record_tail_result(self, event: w.TailMessageResult, now_us: int) -> Actions:
        if (
            event.number != self.number
            or self.in_flight is None
            or event.stamp_us < self.stamp_us
        ):
            # the last: said before a restart, after which it may be taken all the same
            return ()
        self.stamp_us, self.heard_us = event.stamp_us, now_us
        if event.outcome == "again":
            return self._send_tail_message(now_us)
        name, self.in_flight = self.in_flight.item.id, None
        told = (
            s.AnswerAccepted(name)
            if event.outcome == "taken"
            else s.RejectMessage(name, self.limits.refuse_us)
        )
        return told, *self._forward_next(now_us)
