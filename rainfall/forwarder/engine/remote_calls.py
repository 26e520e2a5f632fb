"""Calls that the former process still has in flight after a handover."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from rainfall.dispatch import AttemptFinished, Event, Outcome
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import Clock
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool


class AttemptKey(NamedTuple):
    """One attempt of one message."""

    message_id: str
    attempt: int


class RemoteCall(NamedTuple):
    """The endpoint's number, and when the call was sent in the clock's microseconds."""

    endpoint: int
    sent_at_us: int


class RemoteCallTracker:
    """Keeps the former process's calls until their outcomes are heard."""

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

    def restore(self, calls: list[Any]) -> None:
        """Take over the calls that a handover snapshot lists.

        Args:
            calls: For each call its endpoint, what is known of it, and its attempts.
        """
        now = self.clock()
        self.calls = {
            AttemptKey(message_id, attempt): RemoteCall(
                endpoint, known.get("sent_at", now)
            )
            for endpoint, known, attempts in calls
            for message_id, attempt in attempts
        }

    def attempt_finished(self, event: AttemptFinished) -> None:
        """Take the outcome of such a call; of any other attempt it is ignored."""
        if self.calls.pop((event.message_id, event.attempt), None) is None:
            return
        message = self.store.messages.get(event.message_id)
        name = self.directory.names.get(event.endpoint, "")
        if event.retry_after_us and message is not None:
            self.pool.set_retry_after(
                self.directory.throttle_scope(
                    message.destination,
                    event.endpoint,
                    self.directory.endpoints.get(name),
                ),
                self.clock() + event.retry_after_us,
            )
        self.post(event)

    def fail_all(self) -> None:
        """The former process is gone: its calls were cut, and may have been executed."""
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
