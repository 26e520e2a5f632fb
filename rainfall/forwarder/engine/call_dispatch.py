"""Attempts that become calls to endpoints, and the journal records before they leave."""

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
from rainfall.dispatch.idempotency import TRANSIT_SLACK_US
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
"""By so much at most a call ends before its message's deadline when the event loop is
late.
"""
EARLY_TIMEOUT_DIVISOR = 4
"""And by no more than this fraction of the time that is left."""
UNPERSISTED_RETRY_S = 0.25
"""Before an attempt that could not be journaled is decided on again; it doubles."""

CallStep = CloseIdleConnections | OutboundCall | CancelAttempt
"""What a round does to connections, in its order."""


class CallDispatch:
    """Puts attempts into calls and says which of them may leave."""

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
        calls: list[CallStep],
    ) -> None:
        """Count an attempt and put it into a call.

        The attempts of one round to one endpoint share calls. A call times out as a
        whole, so messages that wait until their deadline share none with those that may
        be retried sooner.

        Args:
            action: The attempt that was decided on.
            now: The round's time.
            open_calls: The round's calls that may take more attempts, by endpoint and
                by whether they wait until the deadline; changed.
            calls: The round's steps; a new call is added.
        """
        message = self.store.messages.get(action.message_id)
        if message is None:
            # Only after a fault in a decision: the slot has to come free again.
            self.post_not_sent(action, 0, message_closed=True)
            return
        endpoint_name = self.directory.names.get(action.endpoint, "")
        attempt = message.attempts
        endpoint = self.checked_endpoint(endpoint_name, message.destination)
        if endpoint is None:
            message.attempts += 1
            self.post_not_sent(action, attempt)
            return
        self.count_attempt(message, attempt, now, endpoint_name)
        message_class = self.store.class_of(message)
        item = self.to_item(message, message_class, attempt, now, action.timeout_us)
        waits_until_deadline = is_awaited_until_deadline(
            message, message_class, action.timeout_us, now
        )
        call = open_calls.get((action.endpoint, waits_until_deadline))
        if call is None or not self.has_space(call, endpoint, item):
            throttle_scope = self.directory.throttle_scope(
                message.destination, action.endpoint, endpoint
            )
            call = OutboundCall(action.endpoint, throttle_scope, now, [])
            open_calls[action.endpoint, waits_until_deadline] = call
            calls.append(call)
        call.items.append(item)

    def checked_endpoint(self, name: str, destination: int) -> ListedEndpoint | None:
        """An endpoint, if it is one of this destination.

        This is the last check before the wire: a message that reaches the wrong
        destination cannot be called back.
        """
        endpoint = self.directory.endpoints.get(name)
        if endpoint is not None and endpoint.destination == destination:
            return endpoint
        log.error("held back: %s is no target of destination %d", name, destination)
        return None

    def post_not_sent(
        self, action: SendMessage, attempt: int, *, message_closed: bool = False
    ) -> None:
        """Report an attempt that was decided on and cannot be made."""
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

    def count_attempt(
        self, message: AcceptedMessage, attempt: int, now: int, endpoint_name: str
    ) -> None:
        """Journal that an attempt is about to be made, as the durability level asks."""
        if self.state.config.power:
            # It has to be synced, and its connection is established meanwhile.
            self.store.append_attempt(message, attempt, now, endpoint_name)
            return
        # This record says nothing yet. It shows whether the disk has room for those
        # that will follow.
        message.attempts = attempt + 1
        self.store.append_outcome(message, attempt, False)

    def to_item(
        self,
        message: AcceptedMessage,
        message_class: MessageClass | None,
        attempt: int,
        now: int,
        timeout_us: int,
    ) -> CallItem:
        """An attempt as a call has it."""
        timeout_at_us = now + min(timeout_us, self.call_timeout_us(message, now))
        return CallItem(
            message.id,
            attempt,
            message.idempotency_key,
            message.body,
            timeout_at_us,
            send_before_us(message, message_class),
        )

    def has_space(
        self, call: OutboundCall, endpoint: ListedEndpoint, item: CallItem
    ) -> bool:
        """Whether one more attempt may share a call."""
        return len(call.items) < self.directory.batch_size(endpoint) and fits_batch(
            call.items, item
        )

    def call_timeout_us(self, message: AcceptedMessage, now: int) -> int:
        """How long a call may take at most.

        A late event loop ends it so much sooner, or its message would be past its
        deadline by then; an attempt with little time keeps most of it.
        """
        remaining_us = message.deadline_us - now
        return remaining_us - min(
            self.server.expected_loop_delay_us,
            MAX_EARLY_TIMEOUT_US,
            remaining_us // EARLY_TIMEOUT_DIVISOR,
        )

    def drop_unsendable(self, call: OutboundCall, committed: bool) -> bool:
        """Leave out of a call the attempts that must not leave.

        These are the ones of messages withdrawn meanwhile and, where attempts cannot be
        journaled, those that a restart must not repeat. Their slots come free after a
        while: at once, a failing disk would have them retried without a pause.

        Returns:
            Whether any attempt is left.
        """
        kept: list[CallItem] = []
        # A Retry-After may have come while the record was synced, or shutdown may have
        # frozen the process: then the attempt counts as never sent.
        must_wait = self.state.frozen or (
            self.state.config.power
            and self.clock() < self.pool.retry_after_until.get(call.throttle_scope, 0)
        )
        for item in call.items:
            message = self.store.messages.get(item.id)
            if (
                message is not None
                and not must_wait
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
                delay_s = self.unpersisted_retry_s(message, item.attempt)
                asyncio.get_running_loop().call_later(
                    delay_s, self.events.post, not_sent
                )
        call.items = kept
        return bool(kept)

    def record_attempts(self, call: OutboundCall) -> bool:
        """Journal a call's attempts right before its first byte, and no sooner.

        If the process is killed while the connection is being established, it is then
        known that the call was never executed.

        Returns:
            Whether the call may leave.
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
        """Report that a call's first byte was handed to its socket."""
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

    def unpersisted_retry_s(self, message: AcceptedMessage, attempt: int) -> float:
        """How long after an attempt that could not be journaled the next one may come.

        Each one uses up an attempt: at a steady pace, all would be used up before a
        full disk has room again.
        """
        remaining_s = (message.deadline_us - self.clock()) / US_PER_SECOND
        return max(0.0, min(UNPERSISTED_RETRY_S * 2.0**attempt, remaining_s))

    def may_send_unrecorded(self, message: AcceptedMessage) -> bool:
        """Whether an attempt may leave that a restart would not know of.

        At the durability level `power` none may.
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
    """Whether an attempt's response is waited for until the message's deadline."""
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
    """When the last byte of an attempt must have left, in the clock's microseconds.

    It binds a message with an idempotency key that may have been executed; 0 where
    there is no such bound.
    """
    if (
        message_class is None
        or message_class.idempotency is not Idempotency.WITH_KEY
        or message.executed_at_us < 0
    ):
        return 0
    window_end_us = message.executed_at_us + message_class.idempotency_window_us
    return window_end_us - TRANSIT_SLACK_US
