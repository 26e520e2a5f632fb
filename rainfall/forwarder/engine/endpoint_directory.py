"""The endpoints that are listed, and the numbers that the decisions know them by."""

from __future__ import annotations

from rainfall.dispatch import EndpointEntry, Settings
from rainfall.dispatch.endpoints import ANY_ENDPOINT, ThrottleScopeKey
from rainfall.forwarder.config.loading import EndpointList, ListedEndpoint
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

MAX_REMOVED_ENDPOINTS = 8_192
"""Endpoints remembered by name that left the list; 180 bytes each."""
FORGET_BATCH = MAX_REMOVED_ENDPOINTS // 8
"""Forgotten at once, so that not each new name has all of them searched."""
MAX_DESTINATIONS = 100_000
"""Destinations that messages are accepted for; 70 bytes each."""
DEFAULT_BATCH_SIZE = 1
"""Messages in a call to an endpoint of a kind that the settings do not name."""


class EndpointDirectory:
    """Maps endpoints to numbers and tells the pool which of them may be called."""

    def __init__(self, pool: ConnectionPool, store: MessageStore) -> None:
        self.pool, self.store = pool, store
        self.endpoints: dict[str, ListedEndpoint] = {}
        self.ids: dict[str, int] = {}
        self.names: dict[int, str] = {}
        self.last_id = 0
        self.known_destinations: set[int] = set()
        self.batch_sizes: dict[str, int] = {}
        self.endpoint_scoped_kinds: set[str] = set()

    def to_entries(self, endpoints: EndpointList) -> tuple[EndpointEntry, ...]:
        """A list as the decisions read it; new names get their numbers."""
        return tuple(
            endpoint.to_entry(self.assign_endpoint_id(endpoint.name))
            for endpoint in endpoints.endpoints
        )

    def apply_endpoint_list(self, endpoints: EndpointList) -> None:
        """Replace what is listed by a full snapshot, or change it by an update."""
        if endpoints.complete:
            self.endpoints = {}
            if len(self.known_destinations) > MAX_DESTINATIONS:
                self.known_destinations = set()
        for endpoint in endpoints.endpoints:
            self.known_destinations.add(endpoint.destination)
            if endpoint.health == "removed":
                self.endpoints.pop(endpoint.name, None)
            else:
                self.endpoints[endpoint.name] = endpoint
        self.update_pool_endpoints()
        self.forget_removed_endpoints()

    def update_pool_endpoints(self) -> None:
        """Tell the pool who may be called; it asks again before a call's first byte."""
        self.pool.set_endpoints(
            {
                self.assign_endpoint_id(endpoint.name): endpoint.address
                for endpoint in self.endpoints.values()
                if endpoint.health == "up" and endpoint.name not in self.store.detached
            }
        )

    def endpoint_id(self, name: str) -> int:
        """The number of an endpoint that may be in no list.

        Those that left the list long ago are forgotten.
        """
        self.forget_removed_endpoints()
        return self.assign_endpoint_id(name)

    def forget_removed_endpoints(self) -> None:
        """Forget the oldest names that are in no list, past MAX_REMOVED_ENDPOINTS.

        Not while a list is being applied: until it is complete, each of its names looks
        like one that was removed.
        """
        if len(self.ids) <= len(self.endpoints) + MAX_REMOVED_ENDPOINTS:
            return
        removed = [
            name
            for name in self.ids
            if name not in self.endpoints and name not in self.store.detached
        ]
        surplus = max(0, len(removed) - MAX_REMOVED_ENDPOINTS + FORGET_BATCH)
        for name in removed[:surplus]:
            del self.names[self.ids.pop(name)]

    def assign_endpoint_id(self, name: str) -> int:
        """The number of an endpoint, a new one where it has none."""
        if name not in self.ids:
            self.last_id += 1
            self.ids[name] = self.last_id
            self.names[self.last_id] = name
        return self.ids[name]

    def restore_endpoint_ids(self, ids: dict[str, int], last_id: int) -> None:
        """Go on from the numbers that the former process gave."""
        self.ids = dict(ids)
        self.names = {number: name for name, number in self.ids.items()}
        self.last_id = last_id

    def apply_endpoint_kinds(self, settings: Settings) -> None:
        """Take over what the settings say of each kind of destination."""
        self.batch_sizes = {
            kind.name: kind.max_batch_size for kind in settings.destination_kinds
        }
        self.endpoint_scoped_kinds = {
            kind.name for kind in settings.destination_kinds if kind.endpoint_scoped
        }

    def batch_size(self, endpoint: ListedEndpoint) -> int:
        """How many messages one call to an endpoint may have."""
        return self.batch_sizes.get(kind_name(endpoint), DEFAULT_BATCH_SIZE)

    def throttle_scope(
        self, destination: int, endpoint_id: int, endpoint: ListedEndpoint | None
    ) -> ThrottleScopeKey:
        """What a Retry-After from an endpoint binds: it alone, or its destination."""
        is_endpoint_scoped = (
            endpoint is not None and kind_name(endpoint) in self.endpoint_scoped_kinds
        )
        scoped_id = endpoint_id if is_endpoint_scoped else ANY_ENDPOINT
        return ThrottleScopeKey(destination, scoped_id)


def kind_name(endpoint: ListedEndpoint) -> str:
    """The name of the kind of destination that an endpoint is of."""
    return str(endpoint.raw.get("class"))
