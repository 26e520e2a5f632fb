"""The queue of events for the dispatcher, and the scheduling of rounds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from rainfall.dispatch import AttemptFinished, Event, TimerExpired
from rainfall.forwarder.engine.engine_state import (
    MIN_ROUND_INTERVAL_US,
    Clock,
    EngineState,
)
from rainfall.forwarder.engine.outcome_recorder import OutcomeRecorder
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.units import US_PER_SECOND

EARLY_TIMER_RETRY_S = 0.001
"""Delay before a timer that the event loop fired too early is checked again."""


class EventQueue:
    """Collects events and schedules the round that handles them."""

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
        """Events for the next round, in the order in which they happened."""
        self.round_scheduled = False
        self.last_round_us = 0
        """Start of the last round, in microseconds of the engine's clock; 0 before the
        first one.
        """

    def post(self, event: Event) -> None:
        """Queue an event and schedule a round.

        After a transfer, outcomes are forwarded to the handover target, and other
        events are discarded. After the last round, outcomes are journaled at once. A
        closed engine discards all events.
        """
        if self.state.closed:
            # Calls that end with the process stay open in the journal, because they may
            # have been executed.
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
        """Queue an event without scheduling a round."""
        self.pending_events.append(event)

    def enqueue_all(self, events: Iterable[Event]) -> None:
        """Queue events without scheduling a round."""
        self.pending_events += events

    def requeue(self, events: list[Event]) -> None:
        """Put events that a round took but did not handle before all queued ones."""
        self.pending_events = events + self.pending_events

    def take_events(self) -> list[Event]:
        """Remove and return all queued events."""
        events, self.pending_events = self.pending_events, []
        return events

    def clear_schedule(self) -> None:
        """Note that a round starts, so that the next event schedules another one."""
        self.round_scheduled = False

    def begin_round(self) -> int:
        """Record and return the start time of a round."""
        self.last_round_us = self.clock()
        return self.last_round_us

    def schedule_round(self) -> None:
        """Schedule a round MIN_ROUND_INTERVAL_US after the start of the last one.

        Does nothing if one is scheduled already, after the last round, or during a
        handover pause.
        """
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
        """Post `TimerExpired` at a time of the engine's clock.

        Args:
            at_us: When to post the event.
            token: The token that the event carries.
        """
        asyncio.get_running_loop().call_later(
            max(0, at_us - self.clock()) / US_PER_SECOND, self.fire_timer, at_us, token
        )

    def fire_timer(self, at_us: int, token: str) -> None:
        """Post a timer's event, or wait a little longer if the timer is early.

        The event loop can fire a timer slightly early. A round at that time would have
        no effect except that the dispatcher sets the timer again.
        """
        if self.clock() < at_us:
            asyncio.get_running_loop().call_later(
                EARLY_TIMER_RETRY_S, self.fire_timer, at_us, token
            )
        else:
            self.post(TimerExpired(token))

    def record_pending_outcomes(self) -> None:
        """Journal the queued outcomes, in case no further round handles them."""
        for event in self.pending_events:
            if isinstance(event, AttemptFinished):
                self.outcomes.record_outcome(event)
