"""Updates of the endpoint list, from discovery to the dispatcher."""

from __future__ import annotations

from collections.abc import Callable

from rainfall.dispatch import EndpointListChanged, EndpointListKind
from rainfall.forwarder.config.loading import EndpointList
from rainfall.forwarder.engine.endpoint_directory import EndpointDirectory
from rainfall.forwarder.engine.engine_state import Clock, EngineState, log
from rainfall.forwarder.engine.event_queue import EventQueue
from rainfall.forwarder.message_store import MessageStore


class EndpointUpdates:
    """Applies and journals the updates that discovery delivers."""

    def __init__(
        self,
        *,
        state: EngineState,
        clock: Clock,
        store: MessageStore,
        directory: EndpointDirectory,
        events: EventQueue,
        run_round: Callable[[], None],
    ) -> None:
        self.state, self.clock, self.store = state, clock, store
        self.directory, self.events = directory, events
        self.run_round = run_round

    def on_endpoint_list(self, update: EndpointList | None) -> None:
        """Apply an update and run a round at once.

        Not waiting for the next round makes a drain take effect immediately: nothing
        new may be sent to a draining endpoint.

        Args:
            update: A complete list or changes; None if discovery could not be reached.
        """
        if update is None:
            self.events.post(EndpointListChanged(EndpointListKind.FAILED))
            return
        if update.endpoints or update.complete:
            entries = self.directory.to_entries(update)
            self.apply(update)
        else:
            entries = ()
        kind = (
            EndpointListKind.SNAPSHOT if update.complete else EndpointListKind.CHANGES
        )
        self.events.enqueue(EndpointListChanged(kind, entries))
        if not self.state.frozen:
            self.run_round()

    def apply(self, update: EndpointList) -> None:
        """Apply an update to the directory, log it and journal the resulting list."""
        self.directory.apply_endpoint_list(update)
        endpoints = self.directory.endpoints
        log.info(
            "endpoint list version %d: %d of %d endpoints up%s",
            update.version,
            sum(endpoint.health == "up" for endpoint in endpoints.values()),
            len(endpoints),
            "" if update.complete else f", {len(update.endpoints)} changed",
        )
        self.store.append_endpoint_list(
            update.version,
            {endpoint.name: endpoint.raw for endpoint in endpoints.values()},
            self.clock(),
            str(self.state.config.discovery),
        )
