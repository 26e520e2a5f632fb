"""The engine's part at the door: messages handed in, turned away, taken back; and news
of the list.
"""

from __future__ import annotations

import logging
from http import HTTPStatus

from rainfall.dispatch import (
    EndpointListChanged,
    EndpointListKind,
    FailMessage,
    MessageReceived,
    MessageWithdrawn,
    NotificationAcknowledged,
    RejectMessage,
)
from rainfall.forwarder.config.loading import EndpointList
from rainfall.forwarder.engine.capacity import CapacityBound, has_memory
from rainfall.forwarder.engine.engine_state import (
    LOG_INTERVAL_US,
    REJECTED_RETRY_AFTER_S,
    US_PER_SECOND,
    EngineState,
    log,
    trace_log,
)
from rainfall.forwarder.inbound.server import ResponseWriter, SubmittedMessage


class Intake(EngineState):
    def submit(self, submitted: SubmittedMessage, writer: ResponseWriter) -> None:
        """A message came in.

        At the door only what the module never sees is turned away.
        """
        if self.handover_source.transferred:
            self.handover_source.submit(submitted, writer)
            return
        acceptance_pending = (
            submitted.id in self.unacknowledged or submitted.id in self.withdrawing
        )
        known = (
            submitted.id in self.store.messages
            or submitted.id in self.recently_finished
        )
        if known and not acceptance_pending:
            writer.answer(
                HTTPStatus.ACCEPTED
            )  # it is ours already, or was: it must not be delivered twice
            return
        if submitted.id in self.undecided or acceptance_pending:
            self.metrics.throttled[submitted.class_name] += 1
            writer.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "handed in twice at once",
                Retry_After=REJECTED_RETRY_AFTER_S,
            )
            return
        exceeded = None if self.frozen else self.exceeded_bound(submitted)
        if self.frozen or exceeded is not None:
            if (
                exceeded is not None
                and self.clock() - self.last_full_log_us > LOG_INTERVAL_US
            ):
                self.last_full_log_us = self.clock()
                log.warning(
                    "full: %d messages held; new ones are turned away by %s",
                    len(self.store.messages) + len(self.undecided),
                    exceeded.value,
                )
            self.event_counts["turned away full"] += 1
            self.metrics.throttled[submitted.class_name] += 1
            writer.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "full",
                Retry_After=REJECTED_RETRY_AFTER_S,
            )
            return
        if submitted.destination not in self.known_destinations:
            self.metrics.throttled[submitted.class_name] += 1
            writer.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "no such destination",
                Retry_After=REJECTED_RETRY_AFTER_S,
            )
            return
        if submitted.order_key is not None and self.restore_backlog:
            self.restore_key_sequence(submitted.order_key)
        self.undecided[submitted.id] = (submitted, writer)
        writer.on_disconnect = lambda: self.withdraw(submitted.id)
        self.post(
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
        if self.fleet is not None:
            self.fleet.record_demand(
                submitted.destination, submitted.class_name, submitted.tenant
            )
        if trace_log.isEnabledFor(logging.INFO):
            trace_log.info(
                "arrived",
                extra={"message_id": submitted.id, "cls": submitted.class_name},
            )

    def exceeded_bound(self, submitted: SubmittedMessage) -> CapacityBound | None:
        """The bound that one more message would pass, if any.

        What was taken on stays whatever is full.
        """
        message_count = len(self.store.messages) + len(self.undecided)
        extra_bytes = len(submitted.body) + sum(
            len(other.body) for other, _ in self.undecided.values()
        )
        if message_count >= self.config.settings.max_open_messages:
            return CapacityBound.MESSAGES
        if not has_memory(
            self.config.memory_mb,
            message_count + 1,
            self.store.live_bytes + extra_bytes,
        ):
            return CapacityBound.MEMORY
        return None if self.store.has_capacity(extra_bytes) else CapacityBound.DISK

    def restore_key_sequence(self, key: str) -> None:
        """What was taken on before goes before what comes now."""
        for name in [
            name
            for name, event in self.restore_backlog.items()
            if event.ordering_key == key
        ]:
            self.pending_events.append(self.restore_backlog.pop(name))

    def withdraw(self, message_id: str) -> None:
        """The client has gone before its answer: it may hand the message in elsewhere,
        so it is not ours.
        """
        if self.undecided.pop(message_id, None) is not None:
            self.post(MessageWithdrawn(message_id))
        if message_id in self.unacknowledged:
            # Its record may be in the file, and waits to be synced: a process killed
            # now must not find it.
            self.unacknowledged.discard(message_id)
            self.withdrawing.add(message_id)
            if message_id in self.store.messages:
                self.store.append_finished(message_id)
                self.store.flush()
                self.post(MessageWithdrawn(message_id))

    def revoke_acceptance(
        self, submitted: SubmittedMessage, writer: ResponseWriter
    ) -> None:
        """Its client has gone before the answer, or it could not be kept: it was never
        taken on.
        """
        if submitted.id in self.unacknowledged:
            self.metrics.throttled[submitted.class_name] += 1
            writer.answer(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "cannot be kept",
                Retry_After=REJECTED_RETRY_AFTER_S,
            )
        if submitted.id in self.store.messages:
            self.store.append_finished(submitted.id)
            self.post(MessageWithdrawn(submitted.id))
        if (
            submitted.id in self.store.pending_notifications
        ):  # given up meanwhile: its key must not wait for a notice
            self.store.append_acknowledgement(submitted.id)
            self.post(NotificationAcknowledged(submitted.id))

    def reject(
        self,
        submitted: SubmittedMessage,
        writer: ResponseWriter,
        decision: RejectMessage | FailMessage,
    ) -> None:
        """Given up in the round in which it came: the client hears so, and it was never
        taken on.
        """
        self.event_counts["turned away"] += 1
        counts = (
            self.metrics.faulted
            if isinstance(decision, FailMessage)
            else self.metrics.throttled
        )
        counts[submitted.class_name] += 1
        if isinstance(decision, FailMessage):
            writer.answer(HTTPStatus.INTERNAL_SERVER_ERROR, "cannot be delivered")
        elif decision.retry_after_us > 0:
            writer.answer(
                HTTPStatus.TOO_MANY_REQUESTS,
                "refused",
                Retry_After=f"{decision.retry_after_us / US_PER_SECOND:.3f}",
            )
        else:
            writer.answer(HTTPStatus.TOO_MANY_REQUESTS, "refused")

    def on_endpoint_list(self, update: EndpointList | None) -> None:
        """News of the list reaches the module at once: a drained target must get
        nothing from now on.
        """
        if update is None:
            self.post(EndpointListChanged(EndpointListKind.FAILED))
            return
        if update.endpoints or update.complete:
            entries = self.to_entries(update)
            self.apply_endpoint_list(update)
            log.info(
                "list %d: %d of %d targets up%s",
                update.version,
                sum(h.health == "up" for h in self.endpoints.values()),
                len(self.endpoints),
                "" if update.complete else f", {len(update.endpoints)} changed",
            )
            self.store.append_endpoint_list(
                update.version,
                {h.name: h.raw for h in self.endpoints.values()},
                self.clock(),
                str(self.config.discovery),
            )
        else:
            entries = ()
        kind = (
            EndpointListKind.SNAPSHOT if update.complete else EndpointListKind.CHANGES
        )
        self.pending_events.append(EndpointListChanged(kind, entries))
        if not self.frozen:
            self.run_round()
