"""Completion of a round after the commit of its records: responses and calls."""

from __future__ import annotations

from rainfall.dispatch import CancelAttempt, CloseIdleConnections
from rainfall.forwarder.discovery.endpoint_watch import Notifier
from rainfall.forwarder.engine.call_dispatch import CallDispatch, CallStep
from rainfall.forwarder.engine.engine_state import EngineState, Submission
from rainfall.forwarder.engine.intake import Intake
from rainfall.forwarder.engine.remote_calls import RemoteCallTracker
from rainfall.forwarder.handover.target import HandoverTarget
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool, OutboundCall


class RoundCompletion:
    """Answers clients, starts calls and notifies once a round's commit has ended."""

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
        """Answer the round's accepted messages, and execute its steps.

        Args:
            committed: Whether the round's records have the durability of the configured
                level. If not, its acceptances are revoked, and calls that need a
                journal record are not sent.
            submissions: The messages that the round accepted, by id.
            steps: The round's actions on connections, in order.
        """
        self.intake.acknowledge(submissions, committed)
        for step in steps:
            if isinstance(step, CloseIdleConnections):
                self.pool.close_idle(step.endpoint)
            elif isinstance(step, CancelAttempt):
                self.cancel_attempt(step)
            elif self.state.closed:
                # The commit ended only after the engine was closed.
                self.record_never_sent(step)
            elif self.call_dispatch.drop_unsendable(step, committed):
                self.pool.start(step)
        if self.store.pending_notifications:
            self.notifier.post_pending()

    def cancel_attempt(self, step: CancelAttempt) -> None:
        """Cancel an attempt in the process that has the call in flight."""
        is_remote = (step.message_id, step.attempt) in self.remote_calls.calls
        if is_remote and self.handover_target is not None:
            self.handover_target.cancel_call(step.message_id, step.attempt)
        else:
            self.pool.cancel(step.message_id, step.attempt)

    def record_never_sent(self, call: OutboundCall) -> None:
        """Journal that the attempts of a call that was never sent were not executed."""
        for item in call.items:
            if item.id in self.store.messages:
                message = self.store.messages[item.id]
                self.store.append_outcome(message, item.attempt, False)
