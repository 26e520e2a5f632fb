"""Events on their way to the next round, and when that round comes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rainfall.dispatch import AttemptFinished, Event, TimerExpired
from rainfall.forwarder.engine.engine_state import (
    MIN_ROUND_INTERVAL_US,
    Clock,
    EngineState,
)
from rainfall.forwarder.engine.outcomes import OutcomeRecorder
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.units import US_PER_SECOND

EARLY_TIMER_RETRY_S = 0.001
"""Before a timer that the event loop fired too early is looked at again."""


class EventQueue:
    """Collects events and schedules the round that decides on them."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        handover_source: HandoverSource,
        outcomes: OutcomeRecorder,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.handover_source, self.outcomes = handover_source, outcomes
        self.run_round = run_round
        self.pending_events: list[Event] = []
        self.round_scheduled = False
        self.last_round_us = 0

    def post(self, event: Event) -> None:
        """Have the next round decide on an event.

        Once the journal is another process's, that one hears of outcomes; once no round
        comes any more, they are only journaled.
        """
        if self.state.closed:
            # Calls that end as the process does are left open in the journal, because
            # they may have been executed.
            return
        if self.handover_source.transferred:
            if isinstance(event, AttemptFinished):
                self.handover_source.forward_outcome(event)
            return
        if self.state.frozen and isinstance(event, AttemptFinished):
            self.outcomes.record_outcome(event)
            self.store.flush()
            return
        self.pending_events.append(event)
        self.schedule_round()

    def enqueue(self, event: Event) -> None:
        """Add an event for the next round without scheduling that round."""
        self.pending_events.append(event)

    def enqueue_all(self, events: Iterable[Event]) -> None:
        """Add events for the next round without scheduling that round."""
        self.pending_events += events

    def requeue(self, events: list[Event]) -> None:
        """Put events that were taken and not decided on before all others."""
        self.pending_events = events + self.pending_events

    def take_events(self) -> list[Event]:
        """The events of a round; later ones are for the next."""
        events, self.pending_events = self.pending_events, []
        return events

    def clear_schedule(self) -> None:
        """The scheduled round runs now: the next event schedules another one."""
        self.round_scheduled = False

    def begin_round(self) -> int:
        """Count the time between rounds from now; returns the round's time."""
        self.last_round_us = self.clock()
        return self.last_round_us

    def schedule_round(self) -> None:
        """Run a round as soon as the last one is MIN_ROUND_INTERVAL_US ago."""
        if self.round_scheduled or self.state.frozen or self.state.paused_for_handover:
            return
        self.round_scheduled = True
        loop = asyncio.get_running_loop()
        delay_us = self.last_round_us + MIN_ROUND_INTERVAL_US - self.clock()
        if delay_us <= 0:
            loop.call_soon(self.run_round)
        else:
            loop.call_later(delay_us / US_PER_SECOND, self.run_round)

    def set_timer(self, at_us: int, token: str) -> None:
        """Post TimerExpired with this token at a time of the engine's clock."""
        asyncio.get_running_loop().call_later(
            max(0, at_us - self.clock()) / US_PER_SECOND, self.fire_timer, at_us, token
        )

    def fire_timer(self, at_us: int, token: str) -> None:
        """Post a timer's event, but never early.

        The event loop's timers may fire a little early, and the decisions would then
        only ask for another one.
        """
        if self.clock() < at_us:
            asyncio.get_running_loop().call_later(
                EARLY_TIMER_RETRY_S, self.fire_timer, at_us, token
            )
        else:
            self.post(TimerExpired(token))

    def record_waiting_outcomes(self) -> None:
        """Journal the outcomes that wait for a round which may not come."""
        for event in self.pending_events:
            if isinstance(event, AttemptFinished):
                self.outcomes.record_outcome(event)
