"""Random worlds with long queues: bursts, quotas, equal deadlines, saturation and clock jumps."""

from __future__ import annotations

from dataclasses import replace

from rainfall.dispatch import (
    Action,
    Event,
    MessageReceived,
    MessageWithdrawn,
    OutageRestored,
    QuotaChanged,
    Settings,
)
from tests.support.random_worlds import MS, S, World

GRAIN = 10 * MS
"""In half of the worlds, deadlines and round times are multiples of this, so that many are
equal.
"""


class Crowd(World):
    def settings(self) -> Settings:
        base = super().settings()
        aims = (301 * MS + 1, 500 * MS, S)
        worths = (0.0, 0.5, 0.9, 1.0)
        classes = tuple(
            replace(
                c,
                latency_objective_us=self.pick(c.latency_objective_us, *aims),
                late_priority_weight=self.pick(*worths),
            )
            for c in base.classes
        )
        return replace(
            base,
            classes=classes,
            max_in_flight=self.pick(1, 2, 6, 30, 200),
            forwarder_count=self.pick(1, 2, 8, 9, 60, 500),
            max_open_messages=self.pick(150, 10**6, 10**6),
            max_attempts=self.pick(1, 2, 4, 10**6),
            idle_connection_us=self.pick(0, S, 60 * S),
        )

    def pick_time(self, time: int) -> int:
        return time // GRAIN * GRAIN if self.seed % 2 else time

    def arrival(self) -> MessageReceived:
        event = super().arrival()
        key = self.pick(event.ordering_key, f"key {self.r.randrange(12)}", "k")
        changed = replace(
            event,
            ordering_key=key,
            deadline_us=self.pick_time(event.deadline_us),
            destination=self.pick(event.destination, event.destination, 0, 10),
        )
        if event.message_id in self.open:
            self.open[event.message_id].event = changed
        return changed

    def happened(self) -> list[Event]:
        events = super().happened()
        if self.luck(0.03):
            events += [self.arrival() for _ in range(self.pick(20, 60, 200))]
        if self.luck(0.04):
            events.append(self.share())
        if self.luck(0.02):
            events += [self.withdrawal() for _ in range(min(len(self.open), 30))]
        if self.luck(0.01):
            since = self.now - self.r.randrange(9 * S)
            back = self.pick(-1, -1, min(self.now, since + S))
            events.append(OutageRestored(self.pick(*self.entries), since, back))
        return events

    def share(self) -> QuotaChanged:
        span = self.pick(0, 0, S, 5 * S)
        spent = self.pick((), ((self.now - S // 2, 2), (self.now, 1)))
        return QuotaChanged(
            10 + self.r.randrange(5),
            self.pick(0, 1, 4, 50),
            span,
            self.now + self.pick(-S, 2 * S, 90 * S),
            self.pick(0, 0, 1, 3),
            spent,
        )

    def withdrawal(self) -> MessageWithdrawn:
        name = self.pick(*self.open)
        del self.open[name]
        return MessageWithdrawn(name)

    def carry_out(self, actions: list[Action]) -> None:
        super().carry_out(actions)
        if self.luck(0.003):  # the machine was suspended
            self.now += self.pick(3 * S, 60 * S, 3600 * S)
        self.now = self.pick_time(self.now + GRAIN - 1)
