"""Messages that clients submit: admitted, accepted, rejected or withdrawn."""

from __future__ import annotations

import logging
from http import HTTPStatus

from rainfall.dispatch import (
    FailMessage,
    MessageReceived,
    MessageWithdrawn,
    NotificationAcknowledged,
    RejectMessage,
)
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.engine.capacity import CapacityBound, has_memory
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import (
    LOG_INTERVAL_US,
    REJECTED_RETRY_AFTER_S,
    Clock,
    EngineState,
    EventKind,
    Submission,
    log,
    trace_log,
)
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.outcomes import OutcomeRecorder
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage
from rainfall.forwarder.message_store import AcceptedMessage, MessageStore
from rainfall.forwarder.units import US_PER_SECOND


class Intake:
    """Owns the messages whose clients still wait for an answer."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        metrics: Metrics,
        handover_source: HandoverSource,
        directory: EndpointDirectory,
        events: EventQueue,
        outcomes: OutcomeRecorder,
        restoration: Restoration,
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.metrics, self.handover_source = metrics, handover_source
        self.directory, self.events = directory, events
        self.outcomes, self.restoration = outcomes, restoration
        self.undecided: dict[str, Submission] = {}
        """Submitted, and not decided on yet."""
        self.unacknowledged: set[str] = set()
        """Accepted, and not yet as durable as the configured level promises."""
        self.withdrawing: set[str] = set()
        """Accepted ones whose client disconnected: until their sync is over nobody may
        submit the same id.
        """
        self.last_full_log_us = -LOG_INTERVAL_US

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Take a message to the next round, or answer at once.

        Only what the decisions need not see is answered here.
        """
        if self.handover_source.transferred:
            self.handover_source.submit(submitted, writer)
            return
        acceptance_pending = (
            submitted.id in self.unacknowledged or submitted.id in self.withdrawing
        )
        if not acceptance_pending and self.is_known(submitted.id):
            # Accepted before, so it must not be delivered twice.
            writer.answer(HTTPStatus.ACCEPTED)
            return
        if acceptance_pending or submitted.id in self.undecided:
            self.answer_unavailable(submitted, writer, "handed in twice at once")
            return
        if self.state.frozen or self.is_full(submitted):
            self.state.event_counts[EventKind.REJECTED_FULL] += 1
            self.answer_unavailable(submitted, writer, "full")
            return
        if submitted.destination not in self.directory.known_destinations:
            self.answer_unavailable(submitted, writer, "no such destination")
            return
        if submitted.order_key is not None and self.restoration.backlog:
            self.restoration.restore_key_sequence(submitted.order_key)
        self.admit(submitted, writer)

    def is_known(self, message_id: str) -> bool:
        """Whether a message is accepted, or was until recently."""
        return (
            message_id in self.store.messages
            or message_id in self.outcomes.recently_finished
        )

    def admit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Have the next round decide on a message."""
        self.undecided[submitted.id] = Submission(submitted, writer)
        writer.on_disconnect = lambda: self.withdraw(submitted.id)
        self.events.post(
            MessageReceived(
                submitted.id,
                submitted.destination,
                submitted.class_name,
                submitted.due_us,
                submitted.order_key,
                submitted.tenant,
                submitted.resent,
            )
        )
        if self.state.fleet is not None:
            self.state.fleet.record_demand(
                submitted.destination, submitted.class_name, submitted.tenant
            )
        if trace_log.isEnabledFor(logging.INFO):
            trace_log.info(
                "arrived",
                extra={"message_id": submitted.id, "cls": submitted.class_name},
            )

    def answer_unavailable(
        self, submitted: SubmittedMessage, writer: ResponseWriter, text: str
    ) -> None:
        """Answer 503: the client may come again soon, here or elsewhere."""
        self.metrics.throttled[submitted.class_name] += 1
        writer.answer(
            HTTPStatus.SERVICE_UNAVAILABLE, text, Retry_After=REJECTED_RETRY_AFTER_S
        )

    def is_full(self, submitted: SubmittedMessage) -> bool:
        """Whether one more message would exceed a bound; logged now and then."""
        exceeded = self.exceeded_bound(submitted)
        if exceeded is None:
            return False
        if self.clock() - self.last_full_log_us > LOG_INTERVAL_US:
            self.last_full_log_us = self.clock()
            log.warning(
                "full: %d messages held; new ones are turned away by %s",
                len(self.store.messages) + len(self.undecided),
                exceeded.value,
            )
        return True

    def exceeded_bound(self, submitted: SubmittedMessage) -> CapacityBound | None:
        """The bound that one more message would exceed, if any.

        Messages that are accepted already stay whatever is full.
        """
        message_count = len(self.store.messages) + len(self.undecided)
        extra_bytes = len(submitted.body) + sum(
            len(other.message.body) for other in self.undecided.values()
        )
        config = self.state.config
        if message_count >= config.settings.max_open_messages:
            return CapacityBound.MESSAGES
        if not has_memory(
            config.memory_mb, message_count + 1, self.store.live_bytes + extra_bytes
        ):
            return CapacityBound.MEMORY
        return None if self.store.has_capacity(extra_bytes) else CapacityBound.DISK

    def take_undecided(self) -> dict[str, Submission]:
        """The submissions that the round which starts now decides on."""
        undecided, self.undecided = self.undecided, {}
        return undecided

    def put_back(self, submission: Submission) -> None:
        """Leave a submission that was taken to the next round."""
        self.undecided[submission.message.id] = submission

    def withdraw(self, message_id: str) -> None:
        """Give up a message whose client disconnected before its answer.

        The client may submit it elsewhere, so it must not be delivered from here.
        """
        if self.undecided.pop(message_id, None) is not None:
            self.events.post(MessageWithdrawn(message_id))
        if message_id in self.unacknowledged:
            # Its record may be in the file and wait for a sync: after a kill the next
            # process must not find it.
            self.unacknowledged.discard(message_id)
            self.withdrawing.add(message_id)
            if message_id in self.store.messages:
                self.store.append_finished(message_id)
                self.store.flush()
                self.events.post(MessageWithdrawn(message_id))

    def accept(self, submissions: dict[str, Submission]) -> None:
        """Journal the messages of a round that it did not reject."""
        self.unacknowledged.update(submissions)
        for submitted, _ in submissions.values():
            self.store.append_message(
                AcceptedMessage(
                    submitted.id,
                    submitted.class_name,
                    submitted.destination,
                    submitted.due_us,
                    submitted.key,
                    submitted.tenant,
                    submitted.body,
                    submitted.order_key,
                )
            )

    def acknowledge(self, submissions: dict[str, Submission], committed: bool) -> None:
        """Answer 202 for journaled messages; revoke the others."""
        for message_id, (submitted, writer) in submissions.items():
            if committed and message_id in self.unacknowledged:
                self.state.event_counts[EventKind.ACCEPTED] += 1
                self.metrics.messages_accepted += 1
                writer.answer(HTTPStatus.ACCEPTED)
            else:
                self.revoke_acceptance(submitted, writer)
        self.unacknowledged.difference_update(submissions)
        self.withdrawing.difference_update(submissions)

    def revoke_acceptance(
        self, submitted: SubmittedMessage, writer: ResponseWriter
    ) -> None:
        """Undo an acceptance that was withdrawn or could not be journaled."""
        if submitted.id in self.unacknowledged:
            self.answer_unavailable(submitted, writer, "cannot be kept")
        if submitted.id in self.store.messages:
            self.store.append_finished(submitted.id)
            self.events.post(MessageWithdrawn(submitted.id))
        if submitted.id in self.store.pending_notifications:
            # It was given up meanwhile, and its ordering key must not wait for a
            # notification.
            self.store.append_acknowledgement(submitted.id)
            self.events.post(NotificationAcknowledged(submitted.id))

    def reject(
        self, submission: Submission, decision: RejectMessage | FailMessage
    ) -> None:
        """Answer a message that was given up in the round in which it came."""
        submitted, writer = submission
        self.state.event_counts[EventKind.REJECTED] += 1
        if isinstance(decision, FailMessage):
            self.metrics.faulted[submitted.class_name] += 1
            writer.answer(HTTPStatus.INTERNAL_SERVER_ERROR, "cannot be delivered")
        else:
            self.metrics.throttled[submitted.class_name] += 1
            headers: dict[str, str] = {}
            if decision.retry_after_us > 0:
                retry_after_s = decision.retry_after_us / US_PER_SECOND
                headers["Retry_After"] = f"{retry_after_s:.3f}"
            writer.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused", **headers)
        if submitted.order_key is not None:
            # The answer itself tells the client, so no notification is waited for.
            self.events.post(NotificationAcknowledged(submitted.id))
