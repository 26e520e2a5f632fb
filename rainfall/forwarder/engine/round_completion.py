"""What leaves once a round's records are committed: answers and calls."""

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
