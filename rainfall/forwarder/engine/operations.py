"""Operators' requests (metrics, detaching, configuration checks) and notifications."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from rainfall.dispatch import (
    Dispatcher,
    EndpointDisabled,
    EndpointEnabled,
    NotificationAcknowledged,
)
from rainfall.forwarder.admin.admin_server import AdminResponder, Metrics
from rainfall.forwarder.config.validation import validate_replacement
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import Clock, EngineState, log
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.handover_pause import HandoverPause
from rainfall.forwarder.handover.source import HandoverSource
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.memory_usage import read_memory_usage
from rainfall.forwarder.message_store import MessageStore, PendingNotification
from rainfall.forwarder.outbound.connection_pool import ConnectionPool


class Operations:
    """Handles operators' requests, and serves notifications to the notifier."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        dispatcher: Dispatcher,
        server: InboundServer,
        pool: ConnectionPool,
        metrics: Metrics,
        handover_source: HandoverSource,
        directory: EndpointDirectory,
        events: EventQueue,
        pause: HandoverPause,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.dispatcher, self.metrics = dispatcher, metrics
        self.server, self.pool = server, pool
        self.handover_source, self.directory = handover_source, directory
        self.events, self.pause, self.run_round = events, pause, run_round

    def metrics_report(self) -> dict[str, Any]:
        """Return all metrics, by the names that the admin interface publishes."""
        metrics, member = self.metrics, self.state.fleet
        fleet = {} if member is None else {"fleet": member.metrics_report()}
        return {
            "fulfilled": metrics.fulfilled,
            "throttled": metrics.throttled,
            "faulted": metrics.faulted,
            "relayed": self.pool.messages_written,
            "open_requests": len(self.store.messages),
            "registry_entries": len(self.directory.endpoints),
            "out_of_rotation": sum(
                self.dispatcher.is_avoided(self.directory.ids[name])
                for name in self.directory.endpoints
            ),
            "cfg_accepted": metrics.configs_accepted,
            "cfg_invalid": metrics.configs_rejected,
            "journal": self.store.metrics(),
            "memory": read_memory_usage()._asdict(),
            "clients": self.client_metrics(),
            **fleet,
        }

    def client_metrics(self) -> dict[str, Any]:
        """Return what clients occupy, and why their connections were closed."""
        budget, statistics = self.server.input_budget, self.server.statistics
        return {
            "connections": len(self.server.connections),
            "connections_limit": self.server.max_connections,
            "request_bytes": budget.held_bytes,
            "request_bytes_peak": budget.peak_bytes,
            "request_bytes_limit": budget.limit_bytes,
            "departed": statistics.departed,
            "closed": statistics.report(),
        }

    def set_detached(
        self, endpoint: str, detached: bool, answer: AdminResponder
    ) -> None:
        """Detach an endpoint from the rotation, or attach it again.

        After a transfer the request is forwarded to the handover target; during a
        handover pause it is deferred.

        Args:
            endpoint: Name of the endpoint.
            detached: True to detach it, False to attach it.
            answer: Called when the change is in force and its commit has ended, or when
                the request is rejected.
        """
        if self.handover_source.transferred:
            self.handover_source.set_detached(endpoint, detached, answer)
            return
        if self.state.paused_for_handover:
            self.pause.defer(lambda: self.set_detached(endpoint, detached, answer))
            return
        if not self.state.serving or self.state.closed:
            # This process doesn't own the journal yet, or is about to close it.
            answer(HTTPStatus.SERVICE_UNAVAILABLE, "not ready\n")
            return
        if endpoint not in self.directory.ids:
            answer(HTTPStatus.NOT_FOUND, "no such endpoint\n")
            return
        if detached is not (endpoint in self.store.detached):
            self.apply_detached(endpoint, detached)
        success_text = "detached\n" if detached else "attached\n"

        def on_committed(committed: bool) -> None:
            if committed:
                answer(HTTPStatus.OK, success_text)
            else:
                answer(
                    HTTPStatus.INSUFFICIENT_STORAGE,
                    "in force, but it would not outlast a restart\n",
                )

        self.store.commit(on_committed)

    def apply_detached(self, endpoint: str, detached: bool) -> None:
        """Journal that an endpoint is detached or attached, and run a round."""
        endpoint_id = self.directory.ids[endpoint]
        log.info(
            "target %d (%s) %s by operators",
            endpoint_id,
            endpoint,
            "taken out" if detached else "put back",
        )
        self.store.append_detached(endpoint, detached)
        self.directory.update_pool_endpoints()
        self.events.enqueue(
            EndpointDisabled(endpoint_id) if detached else EndpointEnabled(endpoint_id)
        )
        self.run_round()

    def check_config(self, text: bytes, answer: AdminResponder) -> None:
        """Answer with the validation report of a configuration; nothing is changed.

        The status is 200 if it is valid, 400 if it cannot be parsed, and 422 otherwise.
        """
        report = validate_replacement(text, self.state.config)
        status = HTTPStatus.OK if report.valid else HTTPStatus.UNPROCESSABLE_ENTITY
        answer(
            HTTPStatus.BAD_REQUEST if report.parse_error else status,
            json.dumps(report.to_json()),
        )

    def pending_notifications(self) -> dict[str, PendingNotification]:
        """Return the notifications that may be delivered now, by message id."""
        return self.store.sendable_notifications(self.clock())

    def acknowledge_notifications(self, ids: list[str]) -> None:
        """Journal that notifications were delivered, and release their ordering keys."""
        for message_id in ids:
            notification = self.store.pending_notifications.get(message_id)
            self.store.append_acknowledgement(message_id)
            if notification is not None and notification.order_key is not None:
                self.events.post(NotificationAcknowledged(message_id))
        self.store.flush()
