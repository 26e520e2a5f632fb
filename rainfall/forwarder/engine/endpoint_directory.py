"""The listed endpoints, and the numeric ids that the dispatcher uses for them."""

from __future__ import annotations

from rainfall.dispatch import EndpointEntry, Settings
from rainfall.dispatch.endpoints import ANY_ENDPOINT, ThrottleScopeKey
from rainfall.forwarder.config.loading import EndpointList, ListedEndpoint
from rainfall.forwarder.message_store import MessageStore
from rainfall.forwarder.outbound.connection_pool import ConnectionPool

MAX_REMOVED_ENDPOINTS = 8_192
"""Endpoints that keep their id after they left the list; 180 bytes each."""
PRUNE_BATCH = MAX_REMOVED_ENDPOINTS // 8
"""Ids evicted at a time, so that the search for them doesn't run for every new name."""
MAX_DESTINATIONS = 100_000
"""Destinations for which messages are accepted; 70 bytes each."""
DEFAULT_BATCH_SIZE = 1
"""Maximum messages per call, for endpoints of a kind that the settings don't name."""


class EndpointDirectory:
    """Keeps the listed endpoints, assigns their ids and updates the connection pool."""

    def __init__(self, pool: ConnectionPool, store: MessageStore) -> None:
        self.pool, self.store = pool, store
        self.endpoints: dict[str, ListedEndpoint] = {}
        """The listed endpoints, by name; not only those that are up."""
        self.ids: dict[str, int] = {}
        """Ids by endpoint name, in the order of assignment; includes endpoints that
        left the list, so that one that is listed again keeps its id.
        """
        self.names: dict[int, str] = {}
        """The inverse of `ids`."""
        self.last_id = 0
        """The highest id assigned so far; ids are never reused."""
        self.known_destinations: set[int] = set()
        """Destinations that had an endpoint; a submission to any other gets 503."""
        self.batch_sizes: dict[str, int] = {}
        """Maximum messages per call, by kind of destination."""
        self.endpoint_scoped_kinds: set[str] = set()
        """Kinds of destination whose Retry-After applies to one endpoint alone."""

    def to_entries(self, endpoints: EndpointList) -> tuple[EndpointEntry, ...]:
        """Convert an endpoint list for the dispatcher; new endpoints get ids."""
        return tuple(
            endpoint.to_entry(self.get_or_assign_id(endpoint.name))
            for endpoint in endpoints.endpoints
        )

    def apply_endpoint_list(self, endpoints: EndpointList) -> None:
        """Apply an update: a complete list replaces the old one, others are merged."""
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
        self.prune_removed_endpoints()

    def update_pool_endpoints(self) -> None:
        """Set the endpoints that the pool may call: those that are up and attached.

        The pool checks them again right before a call's first byte.
        """
        self.pool.set_endpoints(
            {
                self.get_or_assign_id(endpoint.name): endpoint.address
                for endpoint in self.endpoints.values()
                if endpoint.health == "up" and endpoint.name not in self.store.detached
            }
        )

    def endpoint_id(self, name: str) -> int:
        """Return the id of an endpoint that is possibly not listed.

        Evicts ids of removed endpoints first if there are too many.
        """
        self.prune_removed_endpoints()
        return self.get_or_assign_id(name)

    def prune_removed_endpoints(self) -> None:
        """Evict the oldest ids of unlisted endpoints beyond MAX_REMOVED_ENDPOINTS.

        Detached endpoints keep their ids. Must not be called while a list is being
        applied: endpoints that are not merged yet would count as removed.
        """
        if len(self.ids) <= len(self.endpoints) + MAX_REMOVED_ENDPOINTS:
            return
        removed = [
            name
            for name in self.ids
            if name not in self.endpoints and name not in self.store.detached
        ]
        surplus = max(0, len(removed) - MAX_REMOVED_ENDPOINTS + PRUNE_BATCH)
        for name in removed[:surplus]:
            del self.names[self.ids.pop(name)]

    def get_or_assign_id(self, name: str) -> int:
        """Return the id of an endpoint, assigning the next one if it has none."""
        if name not in self.ids:
            self.last_id += 1
            self.ids[name] = self.last_id
            self.names[self.last_id] = name
        return self.ids[name]

    def restore_endpoint_ids(self, ids: dict[str, int], last_id: int) -> None:
        """Adopt the ids that the handover source assigned."""
        self.ids = dict(ids)
        self.names = {endpoint_id: name for name, endpoint_id in self.ids.items()}
        self.last_id = last_id

    def apply_endpoint_kinds(self, settings: Settings) -> None:
        """Apply the batch sizes and throttle scopes that the settings give each kind."""
        self.batch_sizes = {
            kind.name: kind.max_batch_size for kind in settings.destination_kinds
        }
        self.endpoint_scoped_kinds = {
            kind.name for kind in settings.destination_kinds if kind.endpoint_scoped
        }

    def batch_size(self, endpoint: ListedEndpoint) -> int:
        """Return the maximum number of messages in a call to an endpoint."""
        return self.batch_sizes.get(kind_name(endpoint), DEFAULT_BATCH_SIZE)

    def throttle_scope(
        self, destination: int, endpoint_id: int, endpoint: ListedEndpoint | None
    ) -> ThrottleScopeKey:
        """Return the scope to which a Retry-After from an endpoint applies.

        That is the endpoint alone if its kind is endpoint-scoped, otherwise its whole
        destination.

        Args:
            destination: The endpoint's destination.
            endpoint_id: The endpoint's id.
            endpoint: The endpoint as listed; None if it is not listed any more.
        """
        is_endpoint_scoped = (
            endpoint is not None and kind_name(endpoint) in self.endpoint_scoped_kinds
        )
        scoped_id = endpoint_id if is_endpoint_scoped else ANY_ENDPOINT
        return ThrottleScopeKey(destination, scoped_id)


def kind_name(endpoint: ListedEndpoint) -> str:
    """Return the kind of an endpoint's destination ("None" if discovery gives none)."""
    return str(endpoint.raw.get("class"))
