"""Calls that the handover source still has in flight after the takeover."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from rainfall.dispatch import AttemptFinished, Event, Outcome
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool


class AttemptKey(NamedTuple):
    """Identifies one attempt of one message."""

    message_id: str
    attempt: int


class RemoteCall(NamedTuple):
    """A call in flight in the handover source."""

    endpoint: int
    """Id of the endpoint."""
    sent_at_us: int
    """When the call was sent, in microseconds of the engine's clock."""


class RemoteCallTracker:
    """Tracks the handover source's calls until it reports their outcomes."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: MessageStore,
        pool: ConnectionPool,
        directory: EndpointDirectory,
        post: Callable[[Event], None],
    ) -> None:
        self.clock, self.store, self.pool = clock, store, pool
        self.directory, self.post = directory, post
        self.calls: dict[tuple[str, int], RemoteCall] = {}
        """Calls without an outcome, by message id and attempt; the attempts of one call
        have an entry each.
        """

    def restore(self, calls: list[Any]) -> None:
        """Start to track the calls that a handover snapshot lists.

        Args:
            calls: A list per call: the endpoint's id, the call's attributes by the
                dispatcher's snapshot keys, and a list of `[message id, attempt]`.
        """
        now = self.clock()
        self.calls = {
            AttemptKey(message_id, attempt): RemoteCall(
                endpoint, attributes.get("sent_at", now)
            )
            for endpoint, attributes, attempts in calls
            for message_id, attempt in attempts
        }

    def attempt_finished(self, event: AttemptFinished) -> None:
        """Apply the outcome of a tracked call and post it; ignore any other outcome."""
        if self.calls.pop((event.message_id, event.attempt), None) is None:
            return
        message = self.store.messages.get(event.message_id)
        endpoint_name = self.directory.names.get(event.endpoint, "")
        if event.retry_after_us and message is not None:
            self.pool.set_retry_after(
                self.directory.throttle_scope(
                    message.destination,
                    event.endpoint,
                    self.directory.endpoints.get(endpoint_name),
                ),
                self.clock() + event.retry_after_us,
            )
        self.post(event)

    def fail_all(self) -> None:
        """Report all tracked calls as reset, because the handover source has ended.

        They may have been executed. The outcome is marked as inconclusive, because it
        is only weak evidence against the endpoint.
        """
        now = self.clock()
        for (message_id, attempt), call in list(self.calls.items()):
            self.attempt_finished(
                AttemptFinished(
                    message_id,
                    attempt,
                    call.endpoint,
                    Outcome.RESET,
                    now - call.sent_at_us,
                    inconclusive=True,
                )
            )
