"""Periodic tasks of the engine, run ten times a second from one timer.

They are: monitoring the event loop's delay, garbage collection, the summary lines in
the log, retrying a failed journal write, the fleet member's tick, and failing messages
that the dispatcher left open past their deadline (`PeriodicTasks.fail_overdue_messages`).
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
from rainfall.forwarder.memory_usage import read_memory_usage
from rainfall.forwarder.message_store import (
    AcceptedMessage,
    MessageStore,
    NotificationState,
)
from rainfall.forwarder.outbound.connection_pool import ConnectionPool
from rainfall.forwarder.units import MS_PER_SECOND, US_PER_MS

LOOP_LAG_THRESHOLD_S = 0.1
"""A longer delay of the event loop is logged."""
LOOP_LAG_LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines about the event loop's delay."""
REJECTION_LOG_INTERVAL_S = 5.0
"""Minimum time between two log lines about client requests that exceed their memory."""
SUMMARY_INTERVAL_S = 5.0
"""Time between two summary lines."""
COLLECTION_INTERVAL_S = 2.0
"""Time between two garbage collections.

They skip the objects created at the start, which are frozen (`gc.freeze`).
"""
COLLECTION_CONNECTIONS = 256
"""Client connections that have ended since the last collection, at which the next one
runs without waiting for COLLECTION_INTERVAL_S: each leaves a reference cycle of asyncio.
"""
FULL_COLLECTION_MESSAGES = 10_000
"""Open messages up to which a full collection takes about 10 ms."""
FULL_COLLECTION_GENERATION = 2
"""Argument of `gc.collect` for a full collection."""
PARTIAL_COLLECTION_GENERATION = 1
"""Argument of `gc.collect` for a collection of the two younger generations."""
OVERDUE_GRACE_US = 120_000
"""Time past its deadline after which a message that is still open is failed."""
BYTES_PER_KB = 1000


class PeriodicTasks:
    """Runs the engine's periodic tasks (see the module's docstring).

    An open message past its deadline is journaled as failed, its client is notified, and
    it is withdrawn from the dispatcher.
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
        self.ended_at_collection = 0
        """Client connections that had ended by the last collection."""
        self.last_summary_s = started_s
        self.last_rejection_log_s = -REJECTION_LOG_INTERVAL_S
        self.logged_rejections = 0
        """Rejected requests that the log has told of."""

    def tick(self, due_s: float) -> None:
        """Run the tasks that are due, and reschedule after TICK_INTERVAL_S.

        Stops once the engine is closed.

        Args:
            due_s: When this tick was due, in seconds of the monotonic clock.
        """
        now_s = time.monotonic()
        if self.state.closed:
            return
        self.check_loop_lag(now_s, now_s - due_s)
        if self.is_collection_due(now_s):
            # asyncio's transports are reference cycles. With many short connections,
            # hundreds of closed transports would wait for Python's rare full
            # collection, and memory would grow for minutes.
            self.last_collection_s = now_s
            self.ended_at_collection = self.server.statistics.ended_connections
            self.collect_garbage()
        self.warn_of_rejected_requests(now_s)
        if now_s - self.last_summary_s >= SUMMARY_INTERVAL_S:
            self.log_summary(now_s)
            self.log_memory()
        self.store.log.retry_after_failure()
        if self.state.fleet is not None and not self.state.paused_for_handover:
            self.state.fleet.tick()
        self.fail_overdue_messages()
        asyncio.get_running_loop().call_later(
            TICK_INTERVAL_S, self.tick, now_s + TICK_INTERVAL_S
        )

    def check_loop_lag(self, now_s: float, lag_s: float) -> None:
        """Log a delay of the event loop, at most once per LOOP_LAG_LOG_INTERVAL_S.

        Args:
            now_s: The current time, in seconds of the monotonic clock.
            lag_s: How late this tick is, in seconds.
        """
        if (
            lag_s > LOOP_LAG_THRESHOLD_S
            and now_s - self.last_lag_log_s > LOOP_LAG_LOG_INTERVAL_S
        ):
            self.last_lag_log_s = now_s
            log.warning("event loop blocked for %d ms", lag_s * MS_PER_SECOND)

    def is_collection_due(self, now_s: float) -> bool:
        """Return whether to collect garbage now."""
        ended = self.server.statistics.ended_connections - self.ended_at_collection
        return (
            now_s - self.last_collection_s >= COLLECTION_INTERVAL_S
            or ended >= COLLECTION_CONNECTIONS
        )

    def collect_garbage(self) -> None:
        """Run a full garbage collection, or a partial one if many messages are open.

        A full collection visits every object, so its duration grows with the open
        messages. Beyond FULL_COLLECTION_MESSAGES only recently created objects are
        visited, and full collections are left to Python's own thresholds.
        """
        gc.collect(
            FULL_COLLECTION_GENERATION
            if len(self.store.messages) <= FULL_COLLECTION_MESSAGES
            else PARTIAL_COLLECTION_GENERATION
        )

    def overdue_messages(self) -> list[AcceptedMessage]:
        """Return the open messages that are past their deadline by OVERDUE_GRACE_US.

        Messages in the restoration backlog are left out, because the dispatcher has not
        received them yet. While no rounds run, the list is empty.
        """
        due_before_us = (
            0
            if self.state.frozen or self.state.paused_for_handover
            else self.clock() - OVERDUE_GRACE_US
        )
        overdue_ids = self.store.live_index.with_deadline_before(due_before_us)
        return [
            self.store.messages[message_id]
            for message_id in overdue_ids
            if message_id in self.store.messages
            and message_id not in self.restoration.backlog
        ]

    def fail_overdue_messages(self) -> None:
        """Fail the messages that the dispatcher left open past their deadline.

        After the event loop was blocked, the queued events may contain the outcomes
        that end these messages, so a round handles them first.
        """
        if self.events.pending_events and self.overdue_messages():
            self.run_round()
        for message in self.overdue_messages():
            log.error(
                "message %s is still open past its deadline; failing it", message.id
            )
            self.metrics.record_finished(self.metrics.faulted, message.class_name)
            self.store.append_notification(
                message.id, NotificationState.FAILED.value, 0
            )
            if message.order_key is not None:
                # Later messages with its ordering key wait until the notification is
                # acknowledged.
                self.events.post(NotificationPending(message.id, message.order_key))
            self.events.post(MessageWithdrawn(message.id))

    def log_summary(self, now_s: float) -> None:
        """Log the activity since the last summary, and where open messages wait.

        A second line shows the endpoints of the destination with the most messages.

        Args:
            now_s: The current time, in seconds of the monotonic clock.
        """
        message_counts = self.store.live_index.by_destination
        largest = message_counts.most_common(1)
        log.info(
            "in %.0f s: %s; held %d%s; %s; %d clients, %d connections, journal %d kB",
            now_s - self.last_summary_s,
            self.describe_event_counts(),
            len(self.store.messages),
            "".join(
                f", {count} for destination {destination_id}"
                for destination_id, count in largest
            ),
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

    def log_memory(self) -> None:
        """Log the process's memory, and what clients occupied since the last line.

        Client connections that were closed since then are counted by reason.
        """
        usage = read_memory_usage()
        budget = self.server.input_budget
        closed = self.server.statistics.take_recent_closes()
        log.info(
            "memory %d kB, peak %d kB; client requests up to %d of %d kB; "
            "clients closed: %s",
            usage.resident_kb,
            usage.peak_kb,
            budget.take_recent_peak_bytes() // BYTES_PER_KB,
            budget.limit_bytes // BYTES_PER_KB,
            ", ".join(f"{count} {reason}" for reason, count in sorted(closed.items()))
            or "none",
        )

    def warn_of_rejected_requests(self, now_s: float) -> None:
        """Log that client requests exceed their memory, at most once per interval."""
        budget = self.server.input_budget
        rejected = budget.rejected_requests - self.logged_rejections
        if rejected and now_s - self.last_rejection_log_s >= REJECTION_LOG_INTERVAL_S:
            self.last_rejection_log_s = now_s
            self.logged_rejections = budget.rejected_requests
            log.warning(
                "client requests exceed %d kB: %d answered 503, process at %d kB",
                budget.limit_bytes // BYTES_PER_KB,
                rejected,
                read_memory_usage().resident_kb,
            )

    def describe_event_counts(self) -> str:
        """Describe the events since the last summary, e.g. "3 taken, 1 returned"."""
        counts = sorted(self.state.event_counts.items())
        return ", ".join(f"{count} {kind}" for kind, count in counts) or "nothing"

    def describe_calls(self) -> str:
        """Describe the calls in flight: how many, how many in slow start, the oldest."""
        attempts = self.dispatcher.state.attempts.values()
        calls = {id(attempt.call): attempt.call for attempt in attempts}.values()
        slow_start_calls = sum(
            self.dispatcher.in_slow_start(call.endpoint) for call in calls
        )
        oldest_us = max((self.clock() - call.sent_at for call in calls), default=0)
        return (
            f"calls out {self.dispatcher.state.calls_in_flight} of "
            f"{self.state.config.settings.max_in_flight} slots ({slow_start_calls} "
            f"to targets in or after an outage, oldest {oldest_us // US_PER_MS} ms)"
        )

    def describe_endpoint(self, endpoint: Endpoint) -> str:
        """Describe an endpoint's calls in flight and the rules that delay its next one."""
        now = self.clock()
        delays = "".join(
            f", {name} {(until_us - now) // US_PER_MS} ms"
            for name, until_us in self.blocked_until(endpoint, now).items()
            if until_us > now
        )
        window = endpoint.throttle_scope.concurrency_window
        return (
            f"target {endpoint.id} has {endpoint.in_flight} out, "
            f"window {window:.0f}{self.describe_health(endpoint)}{delays}"
        )

    def describe_health(self, endpoint: Endpoint) -> str:
        """Return ", in outage", ", warming" after an outage, or nothing if healthy."""
        if not self.dispatcher.in_slow_start(endpoint):
            return ""
        return ", in outage" if endpoint.recovered_at < 0 else ", warming"

    def blocked_until(self, endpoint: Endpoint, now: int) -> dict[str, int]:
        """Return until when each rule delays the next call to an endpoint.

        The keys are the rules' names in the log: `wait` is a Retry-After, `rest` the
        backoff, `pace` the estimated rate limit, `turn` slow start, and `share` the
        quota, which replaces `pace` where there is one. The values are in microseconds
        of the engine's clock; 0 or a past time means no delay.
        """
        dispatcher = self.dispatcher
        scope = endpoint.throttle_scope
        blocked_until = {
            "wait": scope.retry_after_until,
            "rest": scope.backoff_until,
            "pace": scope.next_permit_at,
            "turn": 0,
        }
        if dispatcher.in_slow_start(endpoint):
            ramp_us = int(
                endpoint.next_interval_factor * dispatcher.ramp_interval(endpoint)
            )
            blocked_until["turn"] = endpoint.last_attempt_at + ramp_us
        quota = dispatcher.state.quotas.get(endpoint.destination)
        if quota is not None:
            del blocked_until["pace"]
            blocked_until["share"] = quota.available_at(now)
        return blocked_until
