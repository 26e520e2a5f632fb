"""Execution of the dispatcher's actions: journal records, timers and outgoing calls."""

from __future__ import annotations

from rainfall.dispatch import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailMessage,
    LogNote,
    RecordOutage,
    RejectMessage,
    SendMessage,
    SetTimer,
    SubscribeEndpointList,
)
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.discovery.endpoint_watch import EndpointWatch
from rainfall.forwarder.engine.call_dispatch import CallDispatch, CallStep
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import (
    EngineState,
    EventKind,
    log,
)
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.outcome_recorder import OutcomeRecorder
from rainfall.forwarder.message_store import MessageStore, NotificationState
from rainfall.forwarder.outbound.connection_pool import OutboundCall
from rainfall.forwarder.units import US_PER_MS


class ActionRunner:
    """Executes the actions of one round.

    Actions that must not take effect before the round's journal records are committed
    are returned as steps for `RoundCompletion`.
    """

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
        """Execute a round's actions in order.

        Args:
            actions: The dispatcher's actions.
            now: Start of the round, in microseconds of the engine's clock.

        Returns:
            The steps to execute once the round's records are committed, in order.
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
        """Execute an action that doesn't have to wait for the commit."""
        match action:
            case RejectMessage() | FailMessage():
                if action.message_id in self.store.messages:
                    self.journal_final_answer(action, now)
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

    def journal_final_answer(
        self, decision: RejectMessage | FailMessage, now: int
    ) -> None:
        """Journal and count the rejection or failure of an accepted message.

        The client receives the journaled state in a notification. `EventKind` lists the
        names that each place uses for the two states.
        """
        if isinstance(decision, RejectMessage):
            event_kind = EventKind.RETURNED
            state = NotificationState.RETURNED
            counts = self.metrics.throttled
            retry_after_ms = -(-decision.retry_after_us // US_PER_MS)  # round up
        else:
            event_kind = EventKind.FAILED
            state = NotificationState.FAILED
            counts = self.metrics.faulted
            retry_after_ms = 0
        message_id = decision.message_id
        self.state.event_counts[event_kind] += 1
        self.outcomes.count_unattempted(decision, now)
        self.metrics.record_finished(counts, self.store.messages[message_id].class_name)
        self.store.append_notification(message_id, state.value, retry_after_ms)
        self.outcomes.remember_finished(message_id, state.value)
