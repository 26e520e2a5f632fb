"""Restoring an engine's state from the journal and from a handover snapshot."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from rainfall.dispatch import (
    EndpointDisabled,
    EndpointListChanged,
    EndpointListKind,
    MessageRestored,
    NotificationPending,
    OutageRestored,
    SnapshotRestored,
)
from rainfall.dispatch.endpoints import ThrottleScopeKey
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.config.loading import EndpointList, parse_endpoint
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import Clock, EngineState, log
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.outcome_recorder import OutcomeRecorder
from rainfall.forwarder.engine.remote_calls import RemoteCallTracker
from rainfall.forwarder.handover.messages import HandoverSnapshot
from rainfall.forwarder.handover.target import HandoverTarget
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    DeliveryRules,
    MessageStore,
)
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

RESTORE_BATCH = 100
"""Messages restored in one round; a small batch doesn't delay new messages."""
RESTORE_INTERVAL_S = 0.01
"""Time between two batches."""
NO_ENDPOINT = -1
"""Value of `MessageRestored.executed_on` if no attempt may have been executed."""


class Restoration:
    """Restores the state at the start, and open messages in batches between rounds."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        pool: ConnectionPool,
        metrics: Metrics,
        handover_target: HandoverTarget | None,
        directory: EndpointDirectory,
        events: EventQueue,
        outcomes: OutcomeRecorder,
        remote_calls: RemoteCallTracker,
        allocate_sockets: Callable[[int], None],
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.pool, self.metrics = pool, metrics
        self.handover_target = handover_target
        self.directory, self.events = directory, events
        self.outcomes, self.remote_calls = outcomes, remote_calls
        self.allocate_sockets = allocate_sockets
        self.backlog: dict[str, MessageRestored] = {}
        """Events of the open messages that are not restored yet, by message id."""

    def restore_state(self) -> int:
        """Queue the events that restore the journal's state.

        After a handover all messages are queued at once, followed by the source's
        dispatcher snapshot. Otherwise only the first batch of messages is queued.

        Returns:
            The version of the newest known endpoint list.
        """
        snapshot = self.handover_snapshot()
        self.outcomes.restore_finished(list(self.store.finished_ids))
        if snapshot is not None:
            self.apply_handover_snapshot(snapshot)
        version = self.restore_endpoints()
        self.restore_notifications()
        settings = self.state.config.settings
        self.store.use_rules(DeliveryRules(settings.max_attempts, settings.classes))
        self.fill_backlog()
        if snapshot is not None:
            self.restore_messages()
            self.events.enqueue(SnapshotRestored(snapshot.dispatcher))
        else:
            self.restore_batch()
        self.metrics.messages_accepted = len(self.store.messages)
        if self.store.messages or self.store.pending_notifications:
            log.info(
                "restored %d messages and %d pending notifications",
                len(self.store.messages),
                len(self.store.pending_notifications),
            )
        return version

    def handover_snapshot(self) -> HandoverSnapshot | None:
        """Return the handover source's snapshot; None if there was no handover."""
        if self.handover_target is None or not self.handover_target.snapshot:
            return None
        return HandoverSnapshot.from_json(self.handover_target.snapshot)

    def apply_handover_snapshot(self, snapshot: HandoverSnapshot) -> None:
        """Restore the handover source's state that is not in the journal.

        While the source keeps its connections open, this process may use only the
        descriptors that the source doesn't.
        """
        self.directory.restore_endpoint_ids(
            snapshot.endpoint_ids, snapshot.last_endpoint_id
        )
        self.outcomes.restore_finished(snapshot.recently_finished)
        self.pool.retry_after_until = {
            ThrottleScopeKey(destination, endpoint): until_us
            for destination, endpoint, until_us in snapshot.retry_afters
        }
        self.remote_calls.restore(snapshot.dispatcher["calls"])
        self.allocate_sockets(self.state.config.max_sockets - snapshot.descriptors)

    def restore_endpoints(self) -> int:
        """Restore the newest endpoint list, detached endpoints and outages.

        Returns:
            The list's version.
        """
        newest, store = self.state.config.known_endpoints, self.store
        # The journaled list may contain drains that are newer than the configured list.
        if store.seq >= newest.version:
            newest = EndpointList(
                store.seq,
                True,
                tuple(parse_endpoint(raw) for raw in store.hosts.values()),
            )
        self.directory.apply_endpoint_list(newest)
        entries = self.directory.to_entries(newest)
        self.events.enqueue(EndpointListChanged(EndpointListKind.CACHED, entries))
        self.events.enqueue_all(
            [
                EndpointDisabled(self.directory.endpoint_id(name))
                for name in store.detached
            ]
        )
        for name, (started_at_us, recovered_at_us) in store.outages.items():
            if name in self.directory.ids:
                endpoint_id = self.directory.ids[name]
                self.events.enqueue(
                    OutageRestored(endpoint_id, started_at_us, recovered_at_us)
                )
        return newest.version

    def restore_notifications(self) -> None:
        """Queue the pending notifications that have an ordering key.

        Later messages with the same key wait until these are acknowledged.
        """
        self.events.enqueue_all(
            [
                NotificationPending(message_id, notification.order_key)
                for message_id, notification in self.store.pending_notifications.items()
                if notification.order_key is not None
            ]
        )

    def fill_backlog(self) -> None:
        """Add the open messages to the backlog, overdue ones first."""
        now = self.clock()
        for message in sorted(
            self.store.messages.values(), key=lambda m: m.deadline_us > now
        ):
            if message.rules_number not in self.store.rules:
                # A journal of an older version doesn't hold the message's rules.
                message.rules_number = self.store.current_rules_number
            self.backlog[message.id] = self.to_restored(message)

    def to_restored(self, message: AcceptedMessage) -> MessageRestored:
        """Return the event that restores a message.

        Attempts that were in flight when their process ended are journaled as possibly
        executed, because their outcomes are unknown.
        """
        interrupted_attempts = [
            attempt
            for attempt in message.in_flight
            if (message.id, attempt) not in self.remote_calls.calls
        ]
        for attempt in interrupted_attempts:
            self.store.append_outcome(message, attempt, True)
        return MessageRestored(
            message.id,
            message.destination,
            message.class_name,
            message.deadline_us,
            message.order_key,
            message.tenant,
            message.attempts,
            message.executed_at_us,
            self.directory.endpoint_id(message.executed_on)
            if message.executed_on
            else NO_ENDPOINT,
            bool(interrupted_attempts),
            self.store.class_of(message),
            self.store.rules[message.rules_number].attempts,
        )

    def restore_batch(self) -> None:
        """Queue the next RESTORE_BATCH messages of the backlog."""
        self.restore_messages(RESTORE_BATCH)

    def restore_messages(self, limit: int | None = None) -> None:
        """Queue messages of the backlog: at most `limit`, or all of them by default."""
        for message_id in list(self.backlog)[:limit]:
            self.events.enqueue(self.backlog.pop(message_id))

    def restore_key_sequence(self, key: str) -> None:
        """Queue all messages of an ordering key, which precede a new one with that key."""
        message_ids = [
            message_id
            for message_id, event in self.backlog.items()
            if event.ordering_key == key
        ]
        for message_id in message_ids:
            self.events.enqueue(self.backlog.pop(message_id))

    def continue_restoring(self) -> None:
        """Restore the next batch, and reschedule until the backlog is empty.

        Skips batches during a handover pause, and stops after the last round.
        """
        if self.backlog and not self.state.frozen:
            if not self.state.paused_for_handover:
                self.restore_batch()
                self.events.schedule_round()
            asyncio.get_running_loop().call_later(
                RESTORE_INTERVAL_S, self.continue_restoring
            )
