"""Journaling and counting of the outcomes of attempts and the ends of messages."""

from __future__ import annotations

import logging
from collections import OrderedDict

from rainfall.dispatch import (
    NEVER_EXECUTED,
    AttemptFinished,
    FailMessage,
    Outcome,
    RejectMessage,
)
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import (
    Clock,
    EngineState,
    trace_log,
)
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.units import US_PER_MS

MAX_RECENTLY_FINISHED = 2_048
"""Finished messages whose ids are kept to detect duplicates; 100 bytes each."""


class OutcomeRecorder:
    """Records outcomes, and keeps the ids of recently finished messages."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        metrics: Metrics,
        directory: EndpointDirectory,
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.metrics, self.directory = metrics, directory
        self.recently_finished: OrderedDict[str, None] = OrderedDict()
        """Ids of the last MAX_RECENTLY_FINISHED finished messages, oldest first."""

    def record_outcome(self, event: AttemptFinished) -> None:
        """Journal and count the outcome of an attempt.

        An attempt that ended before it was journaled is journaled first, because it
        counts towards the message's maximum. If the attempt ends the message, its end
        is journaled too.
        """
        message = self.store.messages.get(event.message_id)
        if (
            message is not None
            and event.attempt not in message.in_flight
            and not event.message_closed
        ):
            endpoint_name = self.directory.names.get(event.endpoint, "")
            self.store.append_attempt(
                message, event.attempt, self.clock(), endpoint_name
            )
        self.state.event_counts[event.outcome.value] += 1
        if message is None:
            return
        if event.message_closed or event.outcome is Outcome.DELIVERED:
            is_delivered = event.outcome is Outcome.DELIVERED
            self.metrics.record_finished(
                self.metrics.fulfilled if is_delivered else self.metrics.faulted,
                message.class_name,
            )
            self.store.append_finished(message.id)
            self.remember_finished(message.id, event.outcome.value)
            return
        may_have_executed = event.outcome not in NEVER_EXECUTED
        self.store.append_outcome(message, event.attempt, may_have_executed)
        if self.state.fleet is not None and event.outcome is not Outcome.NOT_SENT:
            self.state.fleet.record_demand(
                message.destination, message.class_name, message.tenant
            )

    def remember_finished(self, message_id: str, outcome: str) -> None:
        """Add a message to the recently finished ones, and trace its outcome.

        Clients give every message a new id, so a submission with a recent id is a
        duplicate.
        """
        if trace_log.isEnabledFor(logging.INFO):
            trace_log.info(
                "ended", extra={"message_id": message_id, "outcome": outcome}
            )
        self.recently_finished[message_id] = None
        if len(self.recently_finished) > MAX_RECENTLY_FINISHED:
            self.recently_finished.popitem(last=False)

    def restore_finished(self, message_ids: list[str]) -> None:
        """Adopt recently finished messages, oldest first, after those known already.

        They come from the journal and from the handover source.
        """
        for message_id in message_ids:
            self.recently_finished[message_id] = None
        while len(self.recently_finished) > MAX_RECENTLY_FINISHED:
            self.recently_finished.popitem(last=False)

    def count_unattempted(
        self, decision: RejectMessage | FailMessage, now: int
    ) -> None:
        """Count an accepted message that ended without an attempt, by reason.

        Attempts that were never sent don't count as attempts here.
        """
        message = self.store.messages[decision.message_id]
        if message.attempts > message.unsent_attempts:
            return
        self.state.event_counts[f"untried: {decision.reason}"] += 1
        if trace_log.isEnabledFor(logging.INFO):
            trace_log.info(
                "given up untried",
                extra={
                    "message_id": message.id,
                    "cause": decision.reason,
                    "left_ms": (message.deadline_us - now) // US_PER_MS,
                },
            )
