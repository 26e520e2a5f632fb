"""Rounds: the events of a while are decided on together, and the decisions carried out.

In each round what must be journaled is written before anything leaves that it precedes:
a message before its 202, an attempt before its call's first byte, an end before its
notification.
"""

from __future__ import annotations

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    Dispatcher,
    Event,
    FailMessage,
    MessageReceived,
    Outcome,
    RejectMessage,
)
from rainfall.forwarder.engine.action_runner import ActionRunner
from rainfall.forwarder.engine.engine_state import (
    LOG_INTERVAL_US,
    Clock,
    EngineState,
    Submission,
    log,
)
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.intake import Intake
from rainfall.forwarder.engine.outcomes import OutcomeRecorder
from rainfall.forwarder.engine.round_completion import RoundCompletion
from rainfall.forwarder.message_store import MessageStore


class Rounds:
    """Has the decisions made and carried out; decides nothing itself."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        dispatcher: Dispatcher,
        events: EventQueue,
        outcomes: OutcomeRecorder,
        intake: Intake,
        actions: ActionRunner,
        completion: RoundCompletion,
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.dispatcher, self.events, self.outcomes = dispatcher, events, outcomes
        self.intake, self.actions, self.completion = intake, actions, completion
        self.last_fault_log_us = -LOG_INTERVAL_US

    def run_round(self) -> None:
        """Decide on all events that came since the last round."""
        self.events.clear_schedule()
        if self.state.frozen or self.state.paused_for_handover:
            return
        now = self.events.begin_round()
        events = self.events.take_events()
        self.record_outcomes(events)
        undecided = self.intake.take_undecided()
        try:
            actions = self.dispatcher.handle(now, events)
        except Exception:  # a fault in one decision must not end the process
            actions = self.recover_from_fault(events, undecided)
        self.answer_rejected(actions, undecided)
        self.intake.accept(undecided)
        steps = self.actions.run_actions(actions, now)
        if undecided or steps or self.store.pending_notifications:
            self.store.commit(
                lambda committed: self.completion.complete_round(
                    committed, undecided, steps
                )
            )
        else:
            # Nobody waits for ends that need no notification: they cost no sync.
            self.store.flush()

    def record_outcomes(self, events: list[Event]) -> None:
        """Journal the outcomes among a round's events."""
        for event in events:
            if not isinstance(event, AttemptFinished):
                continue
            self.outcomes.record_outcome(event)
            if (
                event.outcome is Outcome.NOT_SENT
                and event.message_id in self.store.messages
            ):
                self.store.messages[event.message_id].unsent_attempts += 1

    def answer_rejected(
        self, actions: list[Action], undecided: dict[str, Submission]
    ) -> None:
        """Answer the round's new messages that were given up, and drop them."""
        for action in actions:
            if (
                isinstance(action, RejectMessage | FailMessage)
                and action.message_id in undecided
            ):
                self.intake.reject(undecided.pop(action.message_id), action)

    def recover_from_fault(
        self, events: list[Event], undecided: dict[str, Submission]
    ) -> list[Action]:
        """Go on after a fault in a decision, at the cost of that event alone.

        What was decided before the fault is part of the dispatcher's state and so is
        carried out. The events after it come again in the next round.

        Args:
            events: The round's events.
            undecided: The round's new messages; changed.

        Returns:
            What was decided before the fault.
        """
        if self.clock() - self.last_fault_log_us >= LOG_INTERVAL_US:
            self.last_fault_log_us = self.clock()
            log.exception("a decision failed")
        actions = list(self.dispatcher.state.actions)
        self.events.requeue(events[self.dispatcher.state.events_applied :])
        unread = {
            event.message_id
            for event in self.events.pending_events
            if isinstance(event, MessageReceived)
        }
        decided = self.dispatcher.state.messages.keys() | {
            action.message_id
            for action in actions
            if isinstance(action, RejectMessage | FailMessage)
        }
        for message_id in list(undecided):
            if message_id in unread:
                self.intake.put_back(undecided.pop(message_id))
            elif message_id not in decided:
                submitted, writer = undecided.pop(message_id)
                self.intake.answer_unavailable(submitted, writer, "internal fault")
        if self.events.pending_events:
            self.events.schedule_round()
        return actions
