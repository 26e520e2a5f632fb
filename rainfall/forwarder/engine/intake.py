"""Submitted messages, until they are accepted, rejected or withdrawn by their clients."""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus

from rainfall.dispatch import (
    FailMessage,
    MessageReceived,
    MessageWithdrawn,
    NotificationAcknowledged,
    RejectMessage,
)
from rainfall.forwarder.admin.admin_server import Metrics
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
from rainfall.forwarder.engine.message_limits import (
    CapacityLimit,
    has_memory,
    message_memory_bytes,
)
from rainfall.forwarder.engine.outcome_recorder import OutcomeRecorder
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage
from rainfall.forwarder.message_store import AcceptedMessage, MessageStore
from rainfall.forwarder.units import US_PER_SECOND


class Intake:
    """Handles submissions whose clients still wait for the HTTP response."""

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
        max_connections: Callable[[], int],
    ) -> None:
        self.max_connections = max_connections
        """Returns the maximum number of client connections."""
        self.state, self.clock, self.store = state, clock, store
        self.metrics, self.handover_source = metrics, handover_source
        self.directory, self.events = directory, events
        self.outcomes, self.restoration = outcomes, restoration
        self.pending_submissions: dict[str, Submission] = {}
        """Submissions for the next round, by message id."""
        self.pending_body_bytes = 0
        """Size of the bodies of `pending_submissions`."""
        self.unacknowledged: set[str] = set()
        """Ids of accepted messages whose journal record is not committed yet."""
        self.withdrawing: set[str] = set()
        """Ids of accepted messages whose client disconnected before the commit. Until
        the commit ends, a submission with the same id is rejected.
        """
        self.last_full_log_us = -LOG_INTERVAL_US

    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Queue a message for the next round, or answer it at once.

        Duplicates are answered at once, and so are messages that are rejected without
        the dispatcher: beyond a capacity limit, after the last round, or for an unknown
        destination. After a transfer the message is forwarded to the handover target.
        """
        if self.handover_source.transferred:
            self.handover_source.submit(submitted, writer)
            return
        acceptance_pending = (
            submitted.id in self.unacknowledged or submitted.id in self.withdrawing
        )
        if not acceptance_pending and self.was_accepted(submitted.id):
            # A duplicate, which must not be delivered a second time.
            writer.answer(HTTPStatus.ACCEPTED)
            return
        if acceptance_pending or submitted.id in self.pending_submissions:
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

    def was_accepted(self, message_id: str) -> bool:
        """Return whether a message is open, or accepted and recently finished."""
        return (
            message_id in self.store.messages
            or message_id in self.outcomes.recently_finished
            or message_id in self.store.finished_ids
        )

    def admit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """Queue a message for the next round."""
        self._add_pending(Submission(submitted, writer))
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
        """Answer 503 with Retry-After; the client may retry here or at another forwarder.

        Args:
            submitted: The message, which is counted as throttled.
            writer: Writes the response.
            text: The reason, which is the body of the response.
        """
        self.metrics.throttled[submitted.class_name] += 1
        writer.answer(
            HTTPStatus.SERVICE_UNAVAILABLE, text, Retry_After=REJECTED_RETRY_AFTER_S
        )

    def is_full(self, submitted: SubmittedMessage) -> bool:
        """Return whether one more message would exceed a capacity limit.

        Logs the limit, at most once per LOG_INTERVAL_US.
        """
        exceeded = self.exceeded_limit(submitted)
        if exceeded is None:
            return False
        if self.clock() - self.last_full_log_us > LOG_INTERVAL_US:
            self.last_full_log_us = self.clock()
            log.warning(
                "full: %d messages held; new ones are turned away by %s",
                len(self.store.messages) + len(self.pending_submissions),
                exceeded.value,
            )
        return True

    def exceeded_limit(self, submitted: SubmittedMessage) -> CapacityLimit | None:
        """Return the capacity limit that one more message would exceed, if any.

        The limits apply to new messages only; no accepted message is ever dropped.
        """
        message_count = len(self.store.messages) + len(self.pending_submissions)
        extra_bytes = len(submitted.body) + self.pending_body_bytes
        config = self.state.config
        if message_count >= config.settings.max_open_messages:
            return CapacityLimit.MESSAGES
        memory = message_memory_bytes(config.memory_mb, self.max_connections())
        if not has_memory(
            memory, message_count + 1, self.store.live_bytes + extra_bytes
        ):
            return CapacityLimit.MEMORY
        return None if self.store.has_capacity(extra_bytes) else CapacityLimit.DISK

    def take_undecided(self) -> dict[str, Submission]:
        """Remove and return all submissions, for the round that starts."""
        undecided, self.pending_submissions = self.pending_submissions, {}
        self.pending_body_bytes = 0
        return undecided

    def _add_pending(self, submission: Submission) -> None:
        self.pending_submissions[submission.message.id] = submission
        self.pending_body_bytes += len(submission.message.body)

    def _remove_pending(self, message_id: str) -> bool:
        """Remove a submission; return whether there was one."""
        submission = self.pending_submissions.pop(message_id, None)
        if submission is None:
            return False
        self.pending_body_bytes -= len(submission.message.body)
        return True

    def requeue(self, submission: Submission) -> None:
        """Put back a submission that a round took but did not handle."""
        self._add_pending(submission)

    def withdraw(self, message_id: str) -> None:
        """Withdraw a message whose client disconnected before the response.

        The client may submit it to another forwarder, so this one must not deliver it.
        """
        if self._remove_pending(message_id):
            self.events.post(MessageWithdrawn(message_id))
        if message_id in self.unacknowledged:
            # Its record may be written and wait for a sync. Journaling the end now keeps
            # a process that starts after a kill from restoring the message.
            self.unacknowledged.discard(message_id)
            self.withdrawing.add(message_id)
            if message_id in self.store.messages:
                self.store.append_withdrawn(message_id)
                self.store.flush()
                self.events.post(MessageWithdrawn(message_id))

    def accept(self, submissions: dict[str, Submission]) -> None:
        """Journal the new messages that a round did not reject."""
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
        """Answer 202 for committed messages, and revoke the others.

        Args:
            submissions: The messages that a round accepted, by id.
            committed: Whether their journal records are committed.
        """
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
        """Undo the acceptance of a message that was withdrawn or not committed."""
        if submitted.id in self.unacknowledged:
            self.answer_unavailable(submitted, writer, "cannot be kept")
        if submitted.id in self.store.messages:
            self.store.append_withdrawn(submitted.id)
            self.events.post(MessageWithdrawn(submitted.id))
        if submitted.id in self.store.pending_notifications:
            # The message was rejected or failed during the commit. No notification is
            # sent for it, so later messages with its ordering key must not wait for one.
            self.store.append_acknowledgement(submitted.id)
            self.events.post(NotificationAcknowledged(submitted.id))

    def reject(
        self, submission: Submission, decision: RejectMessage | FailMessage
    ) -> None:
        """Answer a message that was rejected or failed in its first round.

        The response is 500 for a failure and 429 for a rejection, with Retry-After if
        the dispatcher gives a delay.
        """
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
            # The response replaces the notification, so later messages with the same
            # ordering key need not wait for one.
            self.events.post(NotificationAcknowledged(submitted.id))
