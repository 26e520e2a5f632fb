"""Outgoing calls: batching attempts, journaling them and final checks before sending."""

from __future__ import annotations

import asyncio
import logging
import time

from rainfall.dispatch import (
    AttemptFinished,
    CancelAttempt,
    CloseIdleConnections,
    Idempotency,
    MessageClass,
    Outcome,
    SendMessage,
)
from rainfall.dispatch.idempotency import MAX_SEND_DELAY_US
from rainfall.forwarder.config.loading import ListedEndpoint
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import (
    Clock,
    EngineState,
    log,
    trace_log,
)
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.inbound.server import InboundServer
from rainfall.forwarder.message_store import AcceptedMessage, MessageStore
from rainfall.forwarder.outbound.connection_pool import (
    CallItem,
    ConnectionPool,
    OutboundCall,
    fits_batch,
)
from rainfall.forwarder.units import US_PER_SECOND

MAX_EARLY_TIMEOUT_US = 150_000
"""Maximum time by which a call times out before its message's deadline, to allow for a
delayed event loop.
"""
EARLY_TIMEOUT_DIVISOR = 4
"""The early timeout is also at most the time left until the deadline divided by this."""
JOURNAL_FAILURE_BACKOFF_S = 0.25
"""Backoff if a message's first attempt could not be journaled; doubles per attempt."""

CallStep = CloseIdleConnections | OutboundCall | CancelAttempt
"""An action on connections that waits until the round's records are committed."""


class CallDispatch:
    """Batches attempts into calls, and decides which of them may still be sent."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        pool: ConnectionPool,
        server: InboundServer,
        directory: EndpointDirectory,
        events: EventQueue,
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.pool, self.server = pool, server
        self.directory, self.events = directory, events

    def add_to_call(
        self,
        action: SendMessage,
        now: int,
        open_calls: dict[tuple[int, bool], OutboundCall],
        steps: list[CallStep],
    ) -> None:
        """Add an attempt to a call, and journal it as the durability level requires.

        Attempts of the same round to the same endpoint are batched. A call times out as
        a whole, so an attempt that waits until the message's deadline is never batched
        with one that can be retried sooner.

        Args:
            action: The attempt to make.
            now: Start of the round, in microseconds of the engine's clock.
            open_calls: The round's last call, by endpoint and by whether its attempts
                wait until their message's deadline; modified.
            steps: The round's steps; a new call is appended.
        """
        message = self.store.messages.get(action.message_id)
        if message is None:
            # The message can be missing only after an exception in the dispatcher. The
            # outcome makes the dispatcher release the attempt's concurrency slot.
            self.post_not_sent(action, 0, message_closed=True)
            return
        endpoint_name = self.directory.names.get(action.endpoint, "")
        attempt = message.attempts
        endpoint = self.find_endpoint(endpoint_name, message.destination)
        if endpoint is None:
            message.attempts += 1
            self.post_not_sent(action, attempt)
            return
        self.journal_planned_attempt(message, attempt, now, endpoint_name)
        message_class = self.store.class_of(message)
        item = self.to_call_item(
            message, message_class, attempt, now, action.timeout_us
        )
        waits_until_deadline = is_awaited_until_deadline(
            message, message_class, action.timeout_us, now
        )
        call = open_calls.get((action.endpoint, waits_until_deadline))
        if call is None or not self.fits_call(call, endpoint, item):
            throttle_scope = self.directory.throttle_scope(
                message.destination, action.endpoint, endpoint
            )
            call = OutboundCall(action.endpoint, throttle_scope, now, [])
            open_calls[action.endpoint, waits_until_deadline] = call
            steps.append(call)
        call.items.append(item)

    def find_endpoint(self, name: str, destination: int) -> ListedEndpoint | None:
        """Return the listed endpoint of that name if it belongs to the destination.

        Otherwise log an error and return None. This is the last check before sending: a
        message that was sent to the wrong destination cannot be recalled.
        """
        endpoint = self.directory.endpoints.get(name)
        if endpoint is not None and endpoint.destination == destination:
            return endpoint
        log.error(
            "attempt not sent: endpoint %r is not listed for destination %d",
            name,
            destination,
        )
        return None

    def post_not_sent(
        self, action: SendMessage, attempt: int, *, message_closed: bool = False
    ) -> None:
        """Post the outcome NOT_SENT for an attempt that cannot be made."""
        self.events.post(
            AttemptFinished(
                action.message_id,
                attempt,
                action.endpoint,
                Outcome.NOT_SENT,
                0,
                message_closed=message_closed,
            )
        )

    def journal_planned_attempt(
        self, message: AcceptedMessage, attempt: int, now: int, endpoint_name: str
    ) -> None:
        """Append the journal record that precedes the commit of the round.

        With the level `power` the attempt itself is recorded, because the record has to
        be synced before the call starts. With `process` the outcome "not executed" is
        recorded as a placeholder: `record_attempts` journals the attempt later, and a
        disk without space for its record already fails on the placeholder.
        """
        if self.state.config.power:
            self.store.append_attempt(message, attempt, now, endpoint_name)
            return
        message.attempts = attempt + 1
        self.store.append_outcome(message, attempt, False)

    def to_call_item(
        self,
        message: AcceptedMessage,
        message_class: MessageClass | None,
        attempt: int,
        now: int,
        timeout_us: int,
    ) -> CallItem:
        """Return an attempt as an item of a call, with its timeout and send limit."""
        timeout_at_us = now + min(timeout_us, self.call_timeout_us(message, now))
        return CallItem(
            message.id,
            attempt,
            message.idempotency_key,
            message.body,
            timeout_at_us,
            send_before_us(message, message_class),
        )

    def fits_call(
        self, call: OutboundCall, endpoint: ListedEndpoint, item: CallItem
    ) -> bool:
        """Return whether an item can be added to a call, by batch size and bytes."""
        return len(call.items) < self.directory.batch_size(endpoint) and fits_batch(
            call.items, item
        )

    def call_timeout_us(self, message: AcceptedMessage, now: int) -> int:
        """Return the maximum duration of a call, in microseconds.

        It ends before the deadline by the expected delay of the event loop, because the
        timeout itself fires that late. The margin is limited by MAX_EARLY_TIMEOUT_US
        and EARLY_TIMEOUT_DIVISOR, so that an attempt with little time left keeps most
        of it.
        """
        remaining_us = message.deadline_us - now
        return remaining_us - min(
            self.server.expected_loop_delay_us,
            MAX_EARLY_TIMEOUT_US,
            remaining_us // EARLY_TIMEOUT_DIVISOR,
        )

    def drop_unsendable(self, call: OutboundCall, committed: bool) -> bool:
        """Remove from a call the attempts that must not be sent any more.

        They are reported with the outcome NOT_SENT. The reasons are:

        - The message was withdrawn during the commit.
        - Shutdown has frozen the engine, or, with the level `power`, a Retry-After was
          received during the sync.
        - The commit failed, and the message is one that a restart must not send again
          (`may_send_unrecorded`). This outcome is delayed by a backoff: reported at once,
          it would make the dispatcher retry in a tight loop for as long as the disk
          fails.

        Args:
            call: The call; its items are replaced.
            committed: Whether the round's records were committed.

        Returns:
            Whether any item is left.
        """
        kept: list[CallItem] = []
        must_not_send = self.state.frozen or (
            self.state.config.power
            and self.clock() < self.pool.retry_after_until.get(call.throttle_scope, 0)
        )
        for item in call.items:
            message = self.store.messages.get(item.id)
            if (
                message is not None
                and not must_not_send
                and (committed or self.may_send_unrecorded(message))
            ):
                kept.append(item)
                continue
            not_sent = AttemptFinished(
                item.id,
                item.attempt,
                call.endpoint,
                Outcome.NOT_SENT,
                0,
                message_closed=message is None,
            )
            if message is None or committed:
                self.events.post(not_sent)
            else:
                delay_s = self.journal_failure_backoff_s(message, item.attempt)
                asyncio.get_running_loop().call_later(
                    delay_s, self.events.post, not_sent
                )
        call.items = kept
        return bool(kept)

    def record_attempts(self, call: OutboundCall) -> bool:
        """Journal a call's attempts right before its first byte is sent.

        They are not journaled earlier, so that if the process is killed while the
        connection is being established, the journal shows that the call was never
        executed. With the level `power` they are journaled already.

        Returns:
            Whether the call may be sent.
        """
        if self.state.config.power:
            return True
        messages = [
            self.store.messages[item.id]
            for item in call.open_items.values()
            if item.id in self.store.messages
        ]
        endpoint_name = self.directory.names.get(call.endpoint, "")
        for message in messages:
            self.store.append_attempt(
                message,
                call.open_items[message.id].attempt,
                call.sent_at_us,
                endpoint_name,
            )
        self.store.flush()
        return not self.store.log.incomplete or all(
            map(self.may_send_unrecorded, messages)
        )

    def on_call_sent(self, call: OutboundCall) -> None:
        """Count a call against the fleet quota and trace it, after its first byte."""
        at_ns = time.monotonic_ns()
        if self.state.fleet is not None:
            self.state.fleet.on_call_sent(call)
        if trace_log.isEnabledFor(logging.INFO):
            destination = call.throttle_scope.destination
            for item in call.open_items.values():
                trace_log.info(
                    "sent",
                    extra={
                        "message_id": item.id,
                        "attempt": item.attempt,
                        "target": self.directory.names.get(call.endpoint, ""),
                        "destination": destination,
                        "t_ns": at_ns,
                    },
                )

    def journal_failure_backoff_s(
        self, message: AcceptedMessage, attempt: int
    ) -> float:
        """Return the backoff after an attempt that could not be journaled, in seconds.

        Every such attempt counts towards the message's maximum. At a constant interval
        all attempts could be used up before a full disk has space again, so the backoff
        doubles. It ends at the message's deadline at the latest.
        """
        remaining_s = (message.deadline_us - self.clock()) / US_PER_SECOND
        return max(0.0, min(JOURNAL_FAILURE_BACKOFF_S * 2.0**attempt, remaining_s))

    def may_send_unrecorded(self, message: AcceptedMessage) -> bool:
        """Return whether an attempt may be sent without a journal record.

        A restart could repeat such an attempt. So the message must be idempotent in
        itself and have no ordering key, and the durability level must be `process`.
        """
        message_class = self.store.class_of(message)
        return (
            not self.state.config.power
            and message_class is not None
            and message_class.idempotency is Idempotency.ALWAYS
            and message.order_key is None
        )


def is_awaited_until_deadline(
    message: AcceptedMessage,
    message_class: MessageClass | None,
    timeout_us: int,
    now: int,
) -> bool:
    """Return whether an attempt waits for its response until the message's deadline."""
    if message_class is None:
        return False
    if message_class.idempotency is Idempotency.AT_MOST_ONCE:
        return True
    return (
        timeout_us >= message.deadline_us - now
        and message.order_key is None
        and message_class.idempotency is Idempotency.WITH_KEY
    )


def send_before_us(message: AcceptedMessage, message_class: MessageClass | None) -> int:
    """Return the time from which an attempt must not be sent; 0 for no limit.

    The limit applies to a message with an idempotency key that may have been executed
    already: later, the endpoint may have dropped the key and would execute the message
    again. The process may be held up for MAX_SEND_DELAY_US after it compared this time
    with its clock. In microseconds of the engine's clock.
    """
    if (
        message_class is None
        or message_class.idempotency is not Idempotency.WITH_KEY
        or message.executed_at_us < 0
    ):
        return 0
    window_end_us = message.executed_at_us + message_class.idempotency_window_us
    return window_end_us - MAX_SEND_DELAY_US
