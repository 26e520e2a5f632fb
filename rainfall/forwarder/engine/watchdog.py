"""The engine's regular checks on itself, its garbage collection and summary lines.

Beside these it fails messages: one that is past its deadline and that the dispatcher
left without an end gets it here (`Watchdog.fail_overdue_messages`).
The fleet's tick and the journal's retry after a failed write run in the same turns.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable

from rainfall.dispatch import Dispatcher, MessageWithdrawn, NotificationPending
from rainfall.dispatch.endpoints import Endpoint
from rainfall.forwarder.admin.admin_server import Metrics
from rainfall.forwarder.engine.engine_state import (
    TICK_INTERVAL_S,
    Clock,
    EngineState,
    log,
)
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.engine.restoration import Restoration
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    MessageStore,
    NotificationState,
)
from rainfall.forwarder.outbound.connection_pool import ConnectionPool
from rainfall.forwarder.units import MS_PER_SECOND, US_PER_MS

LOOP_LAG_S = 0.1
"""A delay of the event loop that is logged."""
LOOP_LAG_LOG_INTERVAL_S = 10.0
"""Least time between two lines about it."""
SUMMARY_INTERVAL_S = 5.0
"""Between two lines that sum up what was done."""
COLLECTION_INTERVAL_S = 2.0
"""Between two garbage collections; what was made at the start is left out of them."""
FULL_COLLECTION_MESSAGES = 10_000
"""Messages up to which a full collection takes about a hundredth of a second."""
FULL_COLLECTION = 2
"""The collector's generation up to which a full collection looks."""
YOUNG_COLLECTION = 1
"""The collector's generation up to which a partial collection looks."""
OVERDUE_GRACE_US = 120_000
"""Past its deadline by so much, a message without an end is failed here."""
BYTES_PER_KB = 1000


class Watchdog:
    """Ten times a second checks that the event loop and the decisions keep up.

    A message whose end the decisions failed to bring is journaled as failed, its client
    is notified, and the dispatcher is told to forget it. Each tick also collects
    garbage, logs the summary line, retries a failed write of the journal and calls the
    fleet member's tick, as each is due.
    """

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
        events: EventQueue,
        restoration: Restoration,
        started_s: float,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.dispatcher, self.metrics = dispatcher, metrics
        self.server, self.pool = server, pool
        self.events, self.restoration = events, restoration
        self.run_round = run_round
        self.last_lag_log_s = -LOOP_LAG_LOG_INTERVAL_S
        self.last_collection_s = 0.0
        self.last_summary_s = started_s

    def tick(self, due_s: float) -> None:
        """Run the checks that are due, and come again after TICK_INTERVAL_S.

        Args:
            due_s: When this run was due, in seconds of the monotonic clock.
        """
        now_s = time.monotonic()
        if self.state.closed:
            return
        self.check_loop_lag(now_s, now_s - due_s)
        if now_s - self.last_collection_s >= COLLECTION_INTERVAL_S:
            # asyncio's transports refer to themselves: with ever new clients, hundreds
            # of closed ones would wait for the collector's rare full run, and the
            # memory in use would grow for minutes.
            self.last_collection_s = now_s
            self.collect_garbage()
        if now_s - self.last_summary_s >= SUMMARY_INTERVAL_S:
            self.log_summary(now_s)
        self.store.log.retry_after_failure()
        if self.state.fleet is not None and not self.state.paused_for_handover:
            self.state.fleet.tick()
        self.fail_overdue_messages()
        asyncio.get_running_loop().call_later(
            TICK_INTERVAL_S, self.tick, now_s + TICK_INTERVAL_S
        )

    def check_loop_lag(self, now_s: float, lag_s: float) -> None:
        """Log that the event loop was blocked, now and then."""
        if lag_s > LOOP_LAG_S and now_s - self.last_lag_log_s > LOOP_LAG_LOG_INTERVAL_S:
            self.last_lag_log_s = now_s
            log.warning("the loop stood still for %d ms", lag_s * MS_PER_SECOND)

    def collect_garbage(self) -> None:
        """Collect garbage, without all that is held where that is much.

        A full collection visits every object. With many messages only objects that are
        new since the last collections are visited, and full ones are left to Python's
        own thresholds.
        """
        gc.collect(
            FULL_COLLECTION
            if len(self.store.messages) <= FULL_COLLECTION_MESSAGES
            else YOUNG_COLLECTION
        )

    def overdue_messages(self) -> list[AcceptedMessage]:
        """The messages whose end the decisions should have brought by now."""
        due_before_us = (
            0
            if self.state.frozen or self.state.paused_for_handover
            else self.clock() - OVERDUE_GRACE_US
        )
        late = self.store.live_index.with_deadline_before(due_before_us)
        return [
            self.store.messages[name]
            for name in late
            if name in self.store.messages and name not in self.restoration.backlog
        ]

    def fail_overdue_messages(self) -> None:
        """Fail the messages that the decisions left without an end.

        After the event loop was blocked, their ends may be among the events that came
        meanwhile: these are decided on first.
        """
        if self.events.pending_events and self.overdue_messages():
            self.run_round()
        for message in self.overdue_messages():
            log.error("message %s was left without an end", message.id)
            self.metrics.record_finished(self.metrics.faulted, message.class_name)
            self.store.append_notification(
                message.id, NotificationState.FAILED.value, 0
            )
            if message.order_key is not None:
                # Later messages with its ordering key wait for the notification.
                self.events.post(NotificationPending(message.id, message.order_key))
            self.events.post(MessageWithdrawn(message.id))

    def log_summary(self, now_s: float) -> None:
        """Log a line from which alone one can tell where messages wait."""
        message_counts = self.store.live_index.by_destination
        largest = message_counts.most_common(1)
        log.info(
            "in %.0f s: %s; held %d%s; %s; %d clients, %d connections, journal %d kB",
            now_s - self.last_summary_s,
            self.describe_event_counts(),
            len(self.store.messages),
            "".join(f", {count} for destination {d}" for d, count in largest),
            self.describe_calls(),
            len(self.server.connections),
            len(self.pool.connections),
            self.store.size // BYTES_PER_KB,
        )
        for destination, _ in largest:
            endpoints = self.dispatcher.state.serving_endpoints.get(destination, [])
            if endpoints:
                log.info(
                    "destination %d: %s",
                    destination,
                    "; ".join(map(self.describe_endpoint, endpoints)),
                )
        self.last_summary_s = now_s
        self.state.event_counts.clear()

    def describe_event_counts(self) -> str:
        """What happened how often since the last summary."""
        counts = sorted(self.state.event_counts.items())
        return ", ".join(f"{count} {kind}" for kind, count in counts) or "nothing"

    def describe_calls(self) -> str:
        """How many calls are in flight, and how many of them to suspect endpoints."""
        attempts = self.dispatcher.state.attempts.values()
        calls = {id(attempt.call): attempt.call for attempt in attempts}.values()
        calls_to_unhealthy = sum(
            self.dispatcher.in_slow_start(call.endpoint) for call in calls
        )
        oldest_us = max((self.clock() - call.sent_at for call in calls), default=0)
        return (
            f"calls out {self.dispatcher.state.calls_in_flight} of "
            f"{self.state.config.settings.max_in_flight} slots ({calls_to_unhealthy} "
            f"to targets in or after an outage, oldest {oldest_us // US_PER_MS} ms)"
        )

    def describe_endpoint(self, endpoint: Endpoint) -> str:
        """What an endpoint has in flight, and what keeps the next call from it."""
        now = self.clock()
        waits = "".join(
            f", {name} {(at_us - now) // US_PER_MS} ms"
            for name, at_us in self.gates(endpoint, now).items()
            if at_us > now
        )
        window = endpoint.throttle_scope.concurrency_window
        return (
            f"target {endpoint.id} has {endpoint.in_flight} out, "
            f"window {window:.0f}{self.describe_health(endpoint)}{waits}"
        )

    def describe_health(self, endpoint: Endpoint) -> str:
        """Whether an endpoint is in an outage or warming up after one."""
        if not self.dispatcher.in_slow_start(endpoint):
            return ""
        return ", in outage" if endpoint.recovered_at < 0 else ", warming"

    def gates(self, endpoint: Endpoint, now: int) -> dict[str, int]:
        """Until when each rule keeps the next call from an endpoint, by its log name.

        `wait` is Retry-After, `rest` the backoff, `turn` slow start, `share` the quota.
        """
        dispatcher = self.dispatcher
        scope = endpoint.throttle_scope
        gates = {
            "wait": scope.retry_after_until,
            "rest": scope.backoff_until,
            "pace": scope.next_permit_at,
            "turn": 0,
        }
        if dispatcher.in_slow_start(endpoint):
            ramp_us = int(
                endpoint.next_interval_factor * dispatcher.ramp_interval(endpoint)
            )
            gates["turn"] = endpoint.last_attempt_at + ramp_us
        quota = dispatcher.state.quotas.get(endpoint.destination)
        if quota is not None:
            del gates["pace"]
            gates["share"] = quota.available_at(now)
        return gates
