"""Rounds: the events of a while are decided on together, and the decisions carried out.

In each round what must be journaled is written before anything leaves that it precedes:
a message before its 202, an attempt before its call's first byte, an end before its
notification.
"""

from __future__ import annotations

from rainfall.dispatch import (
    Action,
    AttemptFinished,
    CancelAttempt,
    CloseIdleConnections,
    Dispatcher,
    Event,
    FailMessage,
    LogNote,
    MessageReceived,
    Outcome,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    SubscribeEndpointList,
)
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch, Notifier
from rainfall.forwarder.engine.call_dispatch import CallDispatch, CallStep
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
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
from rainfall.forwarder.engine.remote_calls import RemoteCallTracker
from rainfall.forwarder.handover.target import HandoverTarget
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool, OutboundCall

US_PER_MS = 1000


class ActionRunner:
    """Journals a round's decisions, and lists the steps that wait for the journal."""

    def __init__(
        self,
        *,
        state: EngineState,
        store: MessageStore,
        metrics: Metrics,
        watch: EndpointWatch,
        directory: EndpointDirectory,
        events: EventQueue,
        outcomes: OutcomeRecorder,
        call_dispatch: CallDispatch,
    ) -> None:
        self.state, self.store, self.metrics = state, store, metrics
        self.watch, self.directory, self.events = watch, directory, events
        self.outcomes, self.call_dispatch = outcomes, call_dispatch

    def run_actions(self, actions: list[Action], now: int) -> list[CallStep]:
        """Carry out a round's actions in order.

        Returns:
            The steps that have to wait until the journal is committed.
        """
        steps: list[CallStep] = []
        open_calls: dict[tuple[int, bool], OutboundCall] = {}
        for action in actions:
            if isinstance(action, SendMessage):
                self.call_dispatch.add_to_call(action, now, open_calls, steps)
            elif isinstance(action, CloseIdleConnections | CancelAttempt):
                steps.append(action)
            else:
                self.run_action(action, now)
        return steps

    def run_action(self, action: Action, now: int) -> None:
        """Carry out an action that waits for nothing."""
        match action:
            case RejectMessage() | FailMessage():
                if action.message_id in self.store.messages:
                    self.give_up(action, now)
            case SetTimer():
                self.events.set_timer(now + action.delay_us, action.token)
            case SubscribeEndpointList():
                self.watch.subscribe()
            case RecordOutage():
                if action.endpoint in self.directory.names:
                    self.store.append_outage(
                        self.directory.names[action.endpoint],
                        action.started_at_us,
                        action.recovered_at_us,
                    )
            case LogNote():
                log.info("%s", action.text)

    def give_up(self, decision: RejectMessage | FailMessage, now: int) -> None:
        """Journal that a message was given up, for its client to be notified."""
        if isinstance(decision, RejectMessage):
            event_kind, state = "returned", "returned"
            counts = self.metrics.throttled
            retry_after_ms = -(-decision.retry_after_us // US_PER_MS)  # rounded up
        else:
            event_kind, state = "given up", "failed"
            counts = self.metrics.faulted
            retry_after_ms = 0
        message_id = decision.message_id
        self.state.event_counts[event_kind] += 1
        self.outcomes.count_unattempted(decision, now)
        self.metrics.record_finished(counts, self.store.messages[message_id].class_name)
        self.store.append_notification(message_id, state, retry_after_ms)
        self.outcomes.remember_finished(message_id, state)


class RoundCompletion:
    """Sends a round's answers and calls once its records are committed."""

    def __init__(
        self,
        *,
        state: EngineState,
        store: MessageStore,
        pool: ConnectionPool,
        notifier: Notifier,
        handover_target: HandoverTarget | None,
        intake: Intake,
        call_dispatch: CallDispatch,
        remote_calls: RemoteCallTracker,
    ) -> None:
        self.state, self.store, self.pool = state, store, pool
        self.notifier, self.handover_target = notifier, handover_target
        self.intake, self.call_dispatch = intake, call_dispatch
        self.remote_calls = remote_calls

    def complete_round(
        self,
        committed: bool,
        submissions: dict[str, Submission],
        steps: list[CallStep],
    ) -> None:
        """Let a round's answers and calls leave.

        Args:
            committed: Whether its records are as durable as the level promises; if not,
                what depends on them is revoked.
            submissions: The messages that it accepted.
            steps: What it does to connections, in order.
        """
        self.intake.acknowledge(submissions, committed)
        for step in steps:
            if isinstance(step, CloseIdleConnections):
                self.pool.close_idle(step.endpoint)
            elif isinstance(step, CancelAttempt):
                self.cancel_attempt(step)
            elif self.state.closed:
                # The sync took longer than the process lasts.
                self.record_never_sent(step)
            elif self.call_dispatch.drop_unsendable(step, committed):
                self.pool.start(step)
        if self.store.pending_notifications:
            self.notifier.kick()

    def cancel_attempt(self, step: CancelAttempt) -> None:
        """Cancel an attempt at the process that has it in flight."""
        is_remote = (step.message_id, step.attempt) in self.remote_calls.calls
        if is_remote and self.handover_target is not None:
            self.handover_target.cancel_call(step.message_id, step.attempt)
        else:
            self.pool.cancel(step.message_id, step.attempt)

    def record_never_sent(self, call: OutboundCall) -> None:
        """Journal that a call's attempts were not executed."""
        for item in call.items:
            if item.id in self.store.messages:
                message = self.store.messages[item.id]
                self.store.append_outcome(message, item.attempt, False)


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
