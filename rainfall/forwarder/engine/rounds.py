"""Rounds, the engine's unit of work.

A round passes the queued events to the dispatcher, and executes the actions that it
returns. Journal records are written before the effects that depend on them: a message's
record before its 202, an attempt's before the first byte of the call, and the end of a
message before its notification.
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
from rainfall.forwarder.engine.outcome_recorder import OutcomeRecorder
from rainfall.forwarder.engine.round_completion import RoundCompletion
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import MessageStore


class Rounds:
    """Runs rounds; the dispatcher makes all decisions."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        dispatcher: Dispatcher,
        server: InboundServer,
        events: EventQueue,
        outcomes: OutcomeRecorder,
        intake: Intake,
        actions: ActionRunner,
        completion: RoundCompletion,
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.dispatcher, self.events, self.outcomes = dispatcher, events, outcomes
        self.intake, self.actions, self.completion = intake, actions, completion
        self.server = server
        self.last_fault_log_us = -LOG_INTERVAL_US

    def run_round(self) -> None:
        """Run a round on all events queued since the last one.

        Does nothing after the last round or during a handover pause.
        """
        self.server.reject_departed()
        self.events.clear_schedule()
        if self.state.frozen or self.state.paused_for_handover:
            return
        now = self.events.begin_round()
        events = self.events.take_events()
        self.record_outcomes(events)
        undecided = self.intake.take_undecided()
        try:
            actions = self.dispatcher.handle(now, events)
        except Exception:  # a bug in the dispatcher must not end the process
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
            # No client, call or notification waits for the remaining records, so they
            # are written without a sync.
            self.store.flush()

    def record_outcomes(self, events: list[Event]) -> None:
        """Journal the outcomes among a round's events, and count unsent attempts."""
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
        """Answer the new messages that the round rejected or failed.

        Args:
            actions: The round's actions.
            undecided: The round's submissions by message id; the answered ones are
                removed.
        """
        for action in actions:
            if (
                isinstance(action, RejectMessage | FailMessage)
                and action.message_id in undecided
            ):
                self.intake.reject(undecided.pop(action.message_id), action)

    def recover_from_fault(
        self, events: list[Event], undecided: dict[str, Submission]
    ) -> list[Action]:
        """Continue after an exception in the dispatcher; only the event at fault is lost.

        Actions created before the exception are part of the dispatcher's state, so they
        are executed. Events after the one at fault are queued for the next round. A new
        message that is neither queued nor handled is answered with 503.

        Args:
            events: The round's events.
            undecided: The round's submissions by message id; modified.

        Returns:
            The actions created before the exception.
        """
        if self.clock() - self.last_fault_log_us >= LOG_INTERVAL_US:
            self.last_fault_log_us = self.clock()
            log.exception("exception in the dispatcher; skipping the event at fault")
        actions = list(self.dispatcher.state.actions)
        self.events.requeue(events[self.dispatcher.state.events_applied :])
        queued_ids = {
            event.message_id
            for event in self.events.pending_events
            if isinstance(event, MessageReceived)
        }
        handled_ids = self.dispatcher.state.messages.keys() | {
            action.message_id
            for action in actions
            if isinstance(action, RejectMessage | FailMessage)
        }
        for message_id in list(undecided):
            if message_id in queued_ids:
                self.intake.requeue(undecided.pop(message_id))
            elif message_id not in handled_ids:
                submitted, writer = undecided.pop(message_id)
                self.intake.answer_unavailable(submitted, writer, "internal fault")
        if self.events.pending_events:
            self.events.schedule_round()
        return actions
